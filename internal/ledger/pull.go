package ledger

import (
	"context"
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/register"
)

const (
	// maxOfferPrograms is the number of programs that one Offer looks at.
	maxOfferPrograms = 2000
	// maxFetchBytes is the size of inputs and outputs at which a reply to Fetch is
	// ended.
	maxFetchBytes = 1 << 20
	// maxFetchPrograms is the number of programs that one Fetch asks for.
	maxFetchPrograms = 256
)

// peerState is what another store reported of itself when this one pulled everything
// from it under the current stamp.
type peerState struct {
	completeStamp uint64
	damaged       bool
	empty         bool // it held no programs at all
	sets          []*register.DiskSet
	pulledAt      time.Duration
}

// Offer lists the programs that this store holds for another one, in order of
// arrival after the given position. It adopts the other's set first.
func (s *Store) Offer(_ context.Context, request *OfferRequest) (*OfferReply, error) {
	s.mu.Lock()
	s.refreshIdentity()
	s.adoptSet(request.Set)
	set := s.currentSet()
	ack := &Ack{}
	switch {
	case s.logErr != nil:
		ack.Why = "broken"
	case s.diskID == "" || request.Target.GetDisk() != s.diskID:
		ack.Why = "blank"
	case request.Target.Stamp != set.Stamp:
		ack.Why, ack.Set = "set", set
	}
	if ack.Why != "" {
		s.mu.Unlock()
		return &OfferReply{Ack: ack}, nil
	}
	reply := &OfferReply{Whole: s.completeStamp, Damaged: s.damaged, Sets: s.sets, Next: request.After, End: true}
	element := s.byArrival.Front()
	if request.After > 0 {
		element = nil
		for e := s.byArrival.Back(); e != nil && e.Value.(*program).arrival > request.After; e = e.Prev() {
			element = e
		}
	}
	for seen := 0; element != nil; element = element.Next() {
		if seen++; seen > maxOfferPrograms {
			reply.End = false
			break
		}
		p := element.Value.(*program)
		reply.Next = p.arrival
		if slices.Contains(s.replicasOf(p), request.Disk) {
			reply.Programs = append(reply.Programs, &Offered{Program: p.id, Digest: p.digest(), Turns: base.Map(p.turns, func(t *turn) string { return t.id })})
		}
	}
	reply.Ack = s.unlockAndSync(ack)
	return reply, nil
}

// Fetch returns the selected parts of an offer, as far as they fit into one reply.
func (s *Store) Fetch(ctx context.Context, request *FetchRequest) (*FetchReply, error) {
	s.mu.Lock()
	if s.logErr != nil || s.diskID == "" || request.Target.GetDisk() != s.diskID {
		s.mu.Unlock()
		return &FetchReply{Ack: &Ack{Why: "blank"}}, nil
	}
	reply := &FetchReply{Ack: &Ack{}}
	selected := [][]selectedTurn{} // by record
	now, size := s.storeTime(), 0
	for _, wanted := range request.Programs {
		p := s.programs[wanted.Program]
		if p == nil {
			continue
		}
		record := &Record{Program: p.id, UntilMs: p.retainUntil - now}
		if wanted.State {
			record = p.stateRecord(p.retainUntil - now)
		}
		turns := []selectedTurn{}
		for _, id := range wanted.Turns {
			if t := p.findTurn(id); t != nil && size < maxFetchBytes {
				turns = append(turns, t.selected(t.retainUntil-now))
				size += t.size
			}
		}
		reply.Records = append(reply.Records, record)
		selected = append(selected, turns)
	}
	s.mu.Unlock()
	if memory.LeaseFrom(ctx).Grow(replyCopies*size) != nil {
		return &FetchReply{Ack: &Ack{Why: "stalled"}}, nil
	}
	for index, record := range reply.Records {
		var ok bool
		if record.Turns, ok = s.loadTurns(selected[index]); !ok {
			return &FetchReply{Ack: &Ack{Why: "stalled"}}, nil
		}
	}
	return reply, nil
}

func (s *Store) peerClient(entry *register.DiskEntry) Ledger {
	return NewLedgerProtobufClient("http://"+entry.Addr, s.httpClient)
}

// pullLoop adopts newer sets and pulls from other stores until the store is closed.
//
// When the disk set changes, and at each start, a store goes through what every
// other store holds for it and fetches what it lacks. A store that is asked first
// writes the newer set to its disk, so that it accepts no more writes under the
// older one: the pull sees everything acknowledged under the older set. A store is
// complete for a set once it has pulled from enough of the stores that may hold
// what it lacks.
func (s *Store) pullLoop() {
	for !s.isClosed() {
		nextSetChange := s.setNotifier.Next()
		s.mu.Lock()
		s.refreshIdentity()
		set := s.currentSet()
		if s.diskID != "" && set != nil {
			for _, entry := range s.peersToPull() {
				s.pulling[entry.Id] = set.Stamp
				s.clock.Go(func() { s.pull(set, entry) })
			}
		}
		s.mu.Unlock()
		nextSetChange.Wait(s.retryInterval())
	}
}

// retryInterval is the time between looks for stores to pull from. It is shorter
// while this store is incomplete.
func (s *Store) retryInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskID == "" || s.completeStamp < s.currentSet().GetStamp() {
		return s.bounds.Load().HeartbeatInterval() / 4
	}
	return s.bounds.Load().SuspectTimeout()
}

// pull pulls everything from another store and then checks whether this one is
// complete.
func (s *Store) pull(set *register.DiskSet, entry *register.DiskEntry) {
	state, err := s.pullPrograms(base.NewCtx(s.clock, s.bounds.Load().Recovery), set, entry)
	if err != nil {
		s.counters.Add("ledger_pulls_failed", 1)
		s.clock.Sleep(s.retryInterval())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling[entry.Id] == set.Stamp {
		delete(s.pulling, entry.Id)
	}
	if err != nil || s.currentSet().Stamp != set.Stamp {
		return
	}
	state.pulledAt = s.clock.Now()
	s.peers[entry.Id] = state
	if s.completeStamp < set.Stamp && findEntry(set, s.diskID) != nil && s.coversOlderSets() {
		s.completeStamp, s.damaged = set.Stamp, false
		s.appendMarks()
		s.counters.Add("ledger_whole", 1)
		s.commitNotifier.Notify()
	}
	s.setNotifier.Notify()
}

// knownSets returns all sets that this store or the peers it has pulled from know,
// by stamp.
func (s *Store) knownSets() map[uint64]*register.DiskSet {
	known := map[uint64]*register.DiskSet{}
	for _, set := range s.sets {
		known[set.Stamp] = set
	}
	for _, id := range base.SortedKeys(s.peers) {
		for _, set := range s.peers[id].sets {
			known[set.Stamp] = set
		}
	}
	return known
}

// peersToPull returns the disks of all known sets to pull from: those not pulled
// from under the current stamp, and, while this store is incomplete, those that
// were incomplete themselves at the time.
func (s *Store) peersToPull() []*register.DiskEntry {
	set := s.currentSet()
	if findEntry(set, s.diskID) == nil {
		return nil
	}
	peers := map[string]*register.DiskEntry{}
	for _, known := range s.knownSets() {
		for _, entry := range known.Disks {
			state := s.peers[entry.Id]
			retry := state != nil && s.completeStamp < set.Stamp && state.completeStamp < set.Stamp && s.clock.Now()-state.pulledAt > s.bounds.Load().HeartbeatInterval()/2
			if entry.Id != s.diskID && (state == nil || retry) && s.pulling[entry.Id] != set.Stamp {
				peers[entry.Id] = entry
			}
		}
	}
	return base.Map(base.SortedKeys(peers), func(id string) *register.DiskEntry { return peers[id] })
}

// coversOlderSets reports whether this store has seen everything acknowledged under
// older stamps. It looks for a set in which every program had a complete replica,
// and such that under it and every later set no quorum can consist only of damaged
// stores and stores that were not pulled from. A set that none of the peers knows
// is skipped: nothing was acknowledged under it, since a store complete at that
// time would belong to the set before, and none of those pulled from went through
// the skipped one.
func (s *Store) coversOlderSets() bool {
	known, set := s.knownSets(), s.currentSet()
	own := &peerState{completeStamp: s.completeStamp, damaged: s.damaged, sets: s.sets}
	stateOf := func(id string) *peerState {
		if id == s.diskID {
			return own
		}
		return s.peers[id]
	}
	count := func(set *register.DiskSet, matches func(*peerState) bool) int {
		return len(base.Filter(set.Disks, func(entry *register.DiskEntry) bool { return matches(stateOf(entry.Id)) }))
	}
	mayHideWrite := func(stamp uint64) bool {
		_, quorum := quorumSize(len(known[stamp].Disks), s.faultTolerance)
		return count(known[stamp], func(state *peerState) bool { return state == nil || state.damaged }) >= quorum
	}
	lastRequired := set.Stamp
	if !s.damaged {
		lastRequired--
	}
	skipped := false
	for stamp := set.Stamp; stamp >= 1; stamp-- {
		if known[stamp] == nil {
			skipped = true
			continue
		}
		if skipped && count(known[stamp], func(state *peerState) bool { return state != nil && state.sets[0].Stamp > stamp }) > 0 {
			break
		}
		skipped = false
		if stamp <= lastRequired && mayHideWrite(stamp) {
			break
		}
		replicas, _ := quorumSize(len(known[stamp].Disks), s.faultTolerance)
		if count(known[stamp], func(state *peerState) bool { return state == nil || state.completeStamp < stamp }) < replicas {
			return true
		}
	}
	return s.isUnusedSet(set)
}

// isInitialSet reports whether no store of the set ever held anything.
func (s *Store) isUnusedSet(set *register.DiskSet) bool {
	if s.damaged || s.completeStamp > 0 {
		return false
	}
	for _, entry := range set.Disks {
		if state := s.peers[entry.Id]; entry.Id != s.diskID && (state == nil || state.completeStamp > 0 || state.damaged || !state.empty) {
			return false
		}
	}
	return true
}

// pullPrograms fetches everything that another store holds for this one and that
// this one lacks.
func (s *Store) pullPrograms(ctx *base.Ctx, set *register.DiskSet, entry *register.DiskEntry) (*peerState, error) {
	state := &peerState{empty: true}
	inFlight := []turnKey{}
	for after := uint64(0); ; {
		reply, err := s.peerClient(entry).Offer(ctx.WithTimeout(s.bounds.Load().DiskTimeout()), &OfferRequest{Target: &Target{Disk: entry.Id, Stamp: set.Stamp}, Set: set, Disk: s.diskID, After: after})
		if err != nil {
			return nil, err
		}
		if reply.Ack.GetWhy() != "" {
			s.mu.Lock()
			s.adoptSet(reply.Ack.Set)
			s.mu.Unlock()
			return nil, base.Busy(503, "disk_"+reply.Ack.Why, 1, "the store at %s declined: %s", entry.Addr, reply.Ack.Why)
		}
		state.completeStamp, state.damaged, state.sets = reply.Whole, reply.Damaged, reply.Sets
		state.empty = state.empty && reply.Next == 0
		s.mu.Lock()
		wantedPrograms, busy := s.selectMissing(reply.Programs)
		s.mu.Unlock()
		inFlight = append(inFlight, busy...)
		if err := s.fetch(ctx, entry, wantedPrograms); err != nil {
			return nil, err
		}
		after = reply.Next
		if reply.End {
			break
		}
	}
	return state, s.awaitFetches(ctx, entry, inFlight)
}

// selectMissing selects what this store lacks of an offer and marks those turns as
// being fetched. Turns that are already being fetched from another store are
// returned in busy.
func (s *Store) selectMissing(offered []*Offered) (wantedPrograms []*Wanted, busy []turnKey) {
	for _, offer := range offered {
		p := s.programs[offer.Program]
		wanted := &Wanted{Program: offer.Program, State: p == nil || p.digest() != offer.Digest}
		for _, id := range offer.Turns {
			key := turnKey{offer.Program, id}
			switch {
			case p != nil && p.findTurn(id) != nil:
			case s.fetching[key]:
				busy = append(busy, key)
			default:
				s.fetching[key] = true
				wanted.Turns = append(wanted.Turns, id)
			}
		}
		if wanted.State || len(wanted.Turns) > 0 {
			wantedPrograms = append(wantedPrograms, wanted)
		}
	}
	return wantedPrograms, busy
}

// fetch fetches and merges the selected parts. At the end it unmarks all selected
// turns, so that those it could not get may be fetched from another store.
func (s *Store) fetch(ctx *base.Ctx, entry *register.DiskEntry, wantedPrograms []*Wanted) (err error) {
	requested := wantedPrograms
	defer func() {
		s.mu.Lock()
		for _, wanted := range requested {
			for _, id := range wanted.Turns {
				delete(s.fetching, turnKey{wanted.Program, id})
			}
		}
		s.mu.Unlock()
	}()
	for len(wantedPrograms) > 0 {
		count := min(len(wantedPrograms), maxFetchPrograms)
		reply, err := s.peerClient(entry).Fetch(ctx.WithTimeout(s.bounds.Load().DiskTimeout()), &FetchRequest{Target: &Target{Disk: entry.Id}, Programs: wantedPrograms[:count]})
		if err != nil {
			return err
		}
		if reply.Ack.GetWhy() != "" {
			return base.Busy(503, "disk_"+reply.Ack.Why, 1, "the store at %s declined: %s", entry.Addr, reply.Ack.Why)
		}
		received := 0
		s.mu.Lock()
		for _, record := range reply.Records {
			received += len(record.Turns)
			s.mergePulled(record)
		}
		rest := []*Wanted{}
		for _, wanted := range wantedPrograms[:count] {
			p := s.programs[wanted.Program]
			turns := base.Filter(wanted.Turns, func(id string) bool { return p == nil || p.findTurn(id) == nil })
			if len(turns) > 0 && received > 0 {
				rest = append(rest, &Wanted{Program: wanted.Program, Turns: turns})
			}
		}
		s.counters.Add("ledger_turns_pulled", int64(received))
		if err := s.unlockAndThrottle(); err != nil {
			return err
		}
		wantedPrograms = append(rest, wantedPrograms[count:]...)
	}
	return nil
}

// unlockAndThrottle releases the lock, and waits for the log if much is queued.
// Pulled records need no sync of their own: the marks that declare this store
// complete follow them in the log.
func (s *Store) unlockAndThrottle() error {
	if len(s.nextBatch.payload) < s.queuedLimit/4 {
		s.mu.Unlock()
		s.commitNotifier.Notify()
		return nil
	}
	if ack := s.unlockAndSync(&Ack{}); ack.Why != "" {
		return base.Busy(503, "disk_"+ack.Why, 1, "cannot store pulled turns: the ledger's log is %s", ack.Why)
	}
	return nil
}

// mergePulled merges a record of another store, whose times are remaining time.
func (s *Store) mergePulled(record *Record) {
	now := s.storeTime()
	record.UntilMs += now
	for _, t := range record.Turns {
		t.UntilMs += now
	}
	p, added, changed := s.mergeRecord(record)
	if !changed {
		return
	}
	// Each turn has a record of its own, so that it can be read alone.
	turns := record.Turns
	record.Turns = nil
	s.appendRecord(record, p, nil)
	for index, message := range turns {
		s.appendRecord(&Record{Program: record.Program, UntilMs: record.UntilMs, Turns: []*Turn{message}}, p, added[index:index+1])
	}
}

// awaitFetches waits until the turns that were being fetched from other stores have
// arrived, and fetches those that were not obtained there.
func (s *Store) awaitFetches(ctx *base.Ctx, entry *register.DiskEntry, pending []turnKey) error {
	for len(pending) > 0 {
		if ctx.Expired() {
			return base.Busy(503, "pull_late", 1, "%d turns are still being fetched from other stores", len(pending))
		}
		waiting, offers := []turnKey{}, []*Offered{}
		s.mu.Lock()
		for _, key := range pending {
			p := s.programs[key.program]
			if p != nil && p.findTurn(key.turn) != nil {
				continue
			}
			if s.fetching[key] {
				waiting = append(waiting, key)
				continue
			}
			offers = append(offers, &Offered{Program: key.program, Turns: []string{key.turn}})
		}
		wantedPrograms, busy := s.selectMissing(offers)
		s.mu.Unlock()
		pending = append(waiting, busy...)
		if err := s.fetch(ctx, entry, wantedPrograms); err != nil {
			return err
		}
		if len(pending) > 0 {
			s.clock.Sleep(s.bounds.Load().DiskHedgeDelay() / 8)
		}
	}
	return nil
}

// findMissingLoop looks for missing ancestors of held turns, which belong to
// another program or were missed, so that a store that holds a turn holds its whole
// chain.
func (s *Store) findMissingLoop() {
	for !s.isClosed() {
		s.mu.Lock()
		pause := choose(len(s.missing) > 0, 2*s.bounds.Load().HeartbeatInterval(), s.bounds.Load().SuspectTimeout())
		s.mu.Unlock()
		s.clock.Sleep(pause)
		s.mu.Lock()
		dueKeys := []turnKey{}
		for key, wanted := range s.missing {
			if s.clock.Now() >= wanted.retryAt {
				dueKeys = append(dueKeys, key)
			}
		}
		set := s.currentSet()
		s.mu.Unlock()
		slices.SortFunc(dueKeys, func(a, b turnKey) int { return compareTurnKeys(a, b) })
		for _, key := range dueKeys[:min(len(dueKeys), maxFetchPrograms)] {
			s.findMissing(set, key)
		}
	}
}

// compareTurnKeys orders by program, then by turn.
func compareTurnKeys(a, b turnKey) int {
	switch {
	case a == b:
		return 0
	case a.program < b.program || a.program == b.program && a.turn < b.turn:
		return -1
	}
	return 1
}

// findMissing copies a turn and its chain from another program of this store or,
// failing that, from another store. A turn that no store has is given up.
func (s *Store) findMissing(set *register.DiskSet, key turnKey) {
	s.mu.Lock()
	wanted, stillMissing := s.missing[key]
	selected := s.localChain(key.turn)
	s.mu.Unlock()
	if !stillMissing {
		return
	}
	chain, ok := s.loadTurns(selected)
	if !ok || len(chain) < len(selected) {
		return // it is tried again
	}
	confirmedAbsent := 1
	if len(chain) == 0 {
		for _, entry := range placeReplicas(set, key.program, len(set.GetDisks())) {
			if entry.Id == s.diskID {
				continue
			}
			reply, err := s.peerClient(entry).Chain(base.NewCtx(s.clock, s.bounds.Load().DiskTimeout()), &ChainRequest{Target: &Target{Disk: entry.Id, Stamp: set.Stamp}, Turn: key.turn})
			if err != nil || reply.Ack.GetWhy() != "" {
				continue
			}
			if chain = reply.Turns; len(chain) > 0 {
				break
			}
			if reply.Ack.Whole {
				confirmedAbsent++
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.programs[key.program] == nil || len(chain) == 0 && confirmedAbsent == len(set.GetDisks()):
		delete(s.missing, key)
	case len(chain) == 0:
		wanted.retryAt = s.clock.Now() + s.bounds.Load().SuspectTimeout()
		s.missing[key] = wanted
	default:
		s.mergePulled(&Record{Program: key.program, Turns: chain})
		s.commitNotifier.Notify()
		s.counters.Add("ledger_turns_copied", int64(len(chain)))
	}
}

// localChain lists a held turn and its held ancestors, oldest first, with their
// remaining time and without their payloads.
func (s *Store) localChain(id string) []selectedTurn {
	chain, now := []selectedTurn{}, s.storeTime()
	for size := 0; id != "" && size < maxChainBytes; {
		t := s.longestRetained(id)
		if t == nil {
			break
		}
		size += t.size
		chain = append(chain, t.selected(t.retainUntil-now))
		id = t.previous
	}
	slices.Reverse(chain)
	return chain
}
