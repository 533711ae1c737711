// How a store comes to lack nothing. When the disk set changes, and at each
// start, every store goes through what every other holds for it and takes what
// it lacks. Whoever is asked first takes the newer set, on the disk, so that
// from then on it answers no write under the older one: what was acknowledged
// under that is seen, and nothing more comes. A store lacks nothing of a set
// once it has heard out enough of those that could hold what it does not.

package ledger

import (
	"context"
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

const (
	offerLimit = 2000
	fetchLimit = 1 << 20
	fetchWidth = 256
)

// peer is a store that was heard out under the present stamp.
type peer struct {
	whole   uint64
	damaged bool
	empty   bool
	sets    []*register.DiskSet
	at      time.Duration
}

// Offer lists what this store holds for another, from a place in the order of
// arrival on. It takes the other's set first.
func (s *Store) Offer(_ context.Context, request *OfferRequest) (*OfferReply, error) {
	s.mu.Lock()
	s.identify()
	s.adopt(request.Set)
	set := s.set()
	ack := &Ack{}
	switch {
	case s.broken != nil:
		ack.Why = "broken"
	case s.id == "" || request.Target.GetDisk() != s.id:
		ack.Why = "blank"
	case request.Target.Stamp != set.Stamp:
		ack.Why, ack.Set = "set", set
	}
	if ack.Why != "" {
		s.mu.Unlock()
		return &OfferReply{Ack: ack}, nil
	}
	reply := &OfferReply{Whole: s.whole, Damaged: s.damaged, Sets: s.sets, Next: request.After, End: true}
	element := s.order.Front()
	if request.After > 0 {
		element = nil
		for at := s.order.Back(); at != nil && at.Value.(*program).arrival > request.After; at = at.Prev() {
			element = at
		}
	}
	for seen := 0; element != nil; element = element.Next() {
		if seen++; seen > offerLimit {
			reply.End = false
			break
		}
		p := element.Value.(*program)
		reply.Next = p.arrival
		if slices.Contains(s.ranks(p), request.Disk) {
			reply.Programs = append(reply.Programs, &Offered{Program: p.id, Digest: p.digest(), Turns: base.Map(p.turns, func(held *turn) string { return held.id })})
		}
	}
	reply.Ack = s.finish(ack)
	return reply, nil
}

// Fetch gives what was chosen of an offer, as far as one reply holds it.
func (s *Store) Fetch(_ context.Context, request *FetchRequest) (*FetchReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil || s.id == "" || request.Target.GetDisk() != s.id {
		return &FetchReply{Ack: &Ack{Why: "blank"}}, nil
	}
	reply := &FetchReply{Ack: &Ack{}}
	now, size := s.now(), 0
	for _, want := range request.Programs {
		p := s.programs[want.Program]
		if p == nil {
			continue
		}
		record := &Record{Program: p.id, UntilMs: p.until - now}
		if want.State {
			record = p.state(p.until - now)
		}
		for _, id := range want.Turns {
			if held := p.turn(id); held != nil && size < fetchLimit {
				record.Turns = append(record.Turns, held.message(held.until-now))
				size += len(held.input) + len(held.output)
			}
		}
		reply.Records = append(reply.Records, record)
	}
	return reply, nil
}

func (s *Store) client(entry *register.DiskEntry) Ledger {
	return NewLedgerProtobufClient("http://"+entry.Addr, s.wire)
}

// follow takes newer sets and hears others out, until closed.
func (s *Store) follow() {
	for !s.isClosed() {
		next := s.news.Next()
		s.mu.Lock()
		s.identify()
		set := s.set()
		if s.id != "" && set != nil {
			for _, entry := range s.others() {
				s.hearing[entry.Id] = set.Stamp
				s.clock.Go(func() { s.ask(set, entry) })
			}
		}
		s.mu.Unlock()
		next.Wait(s.patience())
	}
}

// patience is how long this store waits to look again: it is short while it
// lacks something.
func (s *Store) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == "" || s.whole < s.set().GetStamp() {
		return s.bounds.Load().Beat() / 4
	}
	return s.bounds.Load().Suspect()
}

// ask hears another store out, and looks whether this one then lacks nothing.
func (s *Store) ask(set *register.DiskSet, entry *register.DiskEntry) {
	heard, err := s.hear(base.NewCtx(s.clock, s.bounds.Load().Recover), set, entry)
	if err != nil {
		s.counters.Add("ledger_pulls_failed", 1)
		s.clock.Sleep(s.patience())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hearing[entry.Id] == set.Stamp {
		delete(s.hearing, entry.Id)
	}
	if err != nil || s.set().Stamp != set.Stamp {
		return
	}
	heard.at = s.clock.Now()
	s.peers[entry.Id] = heard
	if s.whole < set.Stamp && entryIn(set, s.id) != nil && s.covered() {
		s.whole, s.damaged = set.Stamp, false
		s.mark()
		s.counters.Add("ledger_whole", 1)
		s.bell.Ring()
	}
	s.news.Ring()
}

// known are all sets that this store or those it heard out know, by stamp.
func (s *Store) known() map[uint64]*register.DiskSet {
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

// others are the disks of all known sets that are to be heard out: those not
// heard under this stamp, and those that lacked something then, as long as
// this store does.
func (s *Store) others() []*register.DiskEntry {
	set := s.set()
	if entryIn(set, s.id) == nil {
		return nil
	}
	found := map[string]*register.DiskEntry{}
	for _, known := range s.known() {
		for _, entry := range known.Disks {
			one := s.peers[entry.Id]
			again := one != nil && s.whole < set.Stamp && one.whole < set.Stamp && s.clock.Now()-one.at > s.bounds.Load().Beat()/2
			if entry.Id != s.id && (one == nil || again) && s.hearing[entry.Id] != set.Stamp {
				found[entry.Id] = entry
			}
		}
	}
	return base.Map(base.SortedKeys(found), func(id string) *register.DiskEntry { return found[id] })
}

// covered tells whether everything acknowledged under an older stamp has been
// seen. It looks for a set such that every program had a replica there that
// lacked nothing of it, and that no quorum under it or a later one can have
// been made of stores not heard out. Under a set that none of those knows
// nothing was acknowledged: whoever lacked nothing then was of the set before,
// and all of those heard out passed it over.
func (s *Store) covered() bool {
	known, set := s.known(), s.set()
	self := &peer{whole: s.whole, damaged: s.damaged, sets: s.sets}
	heard := func(id string) *peer {
		if id == s.id {
			return self
		}
		return s.peers[id]
	}
	count := func(set *register.DiskSet, fails func(*peer) bool) int {
		return len(base.Filter(set.Disks, func(entry *register.DiskEntry) bool { return fails(heard(entry.Id)) }))
	}
	hides := func(stamp uint64) bool {
		_, need := quorum(len(known[stamp].Disks), s.tolerate)
		return count(known[stamp], func(one *peer) bool { return one == nil || one.damaged }) >= need
	}
	last := set.Stamp
	if !s.damaged {
		last--
	}
	passed := false
	for from := set.Stamp; from >= 1; from-- {
		if known[from] == nil {
			passed = true
			continue
		}
		if passed && count(known[from], func(one *peer) bool { return one != nil && one.sets[0].Stamp > from }) > 0 {
			break
		}
		passed = false
		if from <= last && hides(from) {
			break
		}
		replicas, _ := quorum(len(known[from].Disks), s.tolerate)
		if count(known[from], func(one *peer) bool { return one == nil || one.whole < from }) < replicas {
			return true
		}
	}
	return s.founds(set)
}

// founds tells that no store of the set ever held anything.
func (s *Store) founds(set *register.DiskSet) bool {
	if s.damaged || s.whole > 0 {
		return false
	}
	for _, entry := range set.Disks {
		if one := s.peers[entry.Id]; entry.Id != s.id && (one == nil || one.whole > 0 || one.damaged || !one.empty) {
			return false
		}
	}
	return true
}

// hear goes through all that another store holds for this one.
func (s *Store) hear(ctx *base.Ctx, set *register.DiskSet, entry *register.DiskEntry) (*peer, error) {
	heard := &peer{empty: true}
	late := []wanted{}
	for after := uint64(0); ; {
		reply, err := s.client(entry).Offer(ctx.Within(s.bounds.Load().DiskLimit()), &OfferRequest{Target: &Target{Disk: entry.Id, Stamp: set.Stamp}, Set: set, Disk: s.id, After: after})
		if err != nil {
			return nil, err
		}
		if reply.Ack.GetWhy() != "" {
			s.mu.Lock()
			s.adopt(reply.Ack.Set)
			s.mu.Unlock()
			return nil, base.Busy(503, "disk_"+reply.Ack.Why, 1, "the store at %s declined: %s", entry.Addr, reply.Ack.Why)
		}
		heard.whole, heard.damaged, heard.sets = reply.Whole, reply.Damaged, reply.Sets
		heard.empty = heard.empty && reply.Next == 0
		s.mu.Lock()
		wants, busy := s.lacking(reply.Programs)
		s.mu.Unlock()
		late = append(late, busy...)
		if err := s.fetch(ctx, entry, wants); err != nil {
			return nil, err
		}
		after = reply.Next
		if reply.End {
			break
		}
	}
	return heard, s.await(ctx, entry, late)
}

// lacking chooses of an offer what this store does not hold. What is being
// fetched from another is told apart.
func (s *Store) lacking(offered []*Offered) (wants []*Wanted, busy []wanted) {
	for _, offer := range offered {
		p := s.programs[offer.Program]
		want := &Wanted{Program: offer.Program, State: p == nil || p.digest() != offer.Digest}
		for _, id := range offer.Turns {
			key := wanted{offer.Program, id}
			switch {
			case p != nil && p.turn(id) != nil:
			case s.fetching[key]:
				busy = append(busy, key)
			default:
				s.fetching[key] = true
				want.Turns = append(want.Turns, id)
			}
		}
		if want.State || len(want.Turns) > 0 {
			wants = append(wants, want)
		}
	}
	return wants, busy
}

// fetch takes what was chosen, and releases what it could not get.
func (s *Store) fetch(ctx *base.Ctx, entry *register.DiskEntry, wants []*Wanted) (err error) {
	chosen := wants
	defer func() {
		s.mu.Lock()
		for _, want := range chosen {
			for _, id := range want.Turns {
				delete(s.fetching, wanted{want.Program, id})
			}
		}
		s.mu.Unlock()
	}()
	for len(wants) > 0 {
		width := min(len(wants), fetchWidth)
		reply, err := s.client(entry).Fetch(ctx.Within(s.bounds.Load().DiskLimit()), &FetchRequest{Target: &Target{Disk: entry.Id}, Programs: wants[:width]})
		if err != nil {
			return err
		}
		if reply.Ack.GetWhy() != "" {
			return base.Busy(503, "disk_"+reply.Ack.Why, 1, "the store at %s declined: %s", entry.Addr, reply.Ack.Why)
		}
		got := 0
		s.mu.Lock()
		for _, record := range reply.Records {
			got += len(record.Turns)
			s.take(record)
		}
		rest := []*Wanted{}
		for _, want := range wants[:width] {
			p := s.programs[want.Program]
			turns := base.Filter(want.Turns, func(id string) bool { return p == nil || p.turn(id) == nil })
			if len(turns) > 0 && got > 0 {
				rest = append(rest, &Wanted{Program: want.Program, Turns: turns})
			}
		}
		s.counters.Add("ledger_turns_pulled", int64(got))
		if err := s.ease(); err != nil {
			return err
		}
		wants = append(rest, wants[width:]...)
	}
	return nil
}

// ease unlocks, and waits for the log where much is queued. What was taken
// rests on the disk once the mark does that says what this store lacks, since
// that follows it in the log.
func (s *Store) ease() error {
	if len(s.forming.payload) < queueLimit/4 {
		s.mu.Unlock()
		s.bell.Ring()
		return nil
	}
	if ack := s.finish(&Ack{}); ack.Why != "" {
		return base.Busy(503, "disk_"+ack.Why, 1, "the ledger's log: %s", ack.Why)
	}
	return nil
}

// take joins what another store gave, whose times are time left.
func (s *Store) take(record *Record) {
	now := s.now()
	record.UntilMs += now
	for _, one := range record.Turns {
		one.UntilMs += now
	}
	if p, added, fresh := s.absorb(record); fresh {
		s.write(record, p, added)
	}
}

// await sees to it that what others were fetching has come, or fetches it.
func (s *Store) await(ctx *base.Ctx, entry *register.DiskEntry, late []wanted) error {
	for len(late) > 0 {
		if ctx.Over() {
			return base.Busy(503, "pull_late", 1, "other pulls hold this one up")
		}
		waiting, offers := []wanted{}, []*Offered{}
		s.mu.Lock()
		for _, key := range late {
			p := s.programs[key.program]
			if p != nil && p.turn(key.turn) != nil {
				continue
			}
			if s.fetching[key] {
				waiting = append(waiting, key)
				continue
			}
			offers = append(offers, &Offered{Program: key.program, Turns: []string{key.turn}})
		}
		wants, busy := s.lacking(offers)
		s.mu.Unlock()
		late = append(waiting, busy...)
		if err := s.fetch(ctx, entry, wants); err != nil {
			return err
		}
		if len(late) > 0 {
			s.clock.Sleep(s.bounds.Load().Hedge() / 8)
		}
	}
	return nil
}

// seek looks for turns that others here follow on, under another program or
// missed, so that whoever holds a turn holds its whole chain.
func (s *Store) seek() {
	for !s.isClosed() {
		s.mu.Lock()
		pause := pick(len(s.wanted) > 0, 2*s.bounds.Load().Beat(), s.bounds.Load().Suspect())
		s.mu.Unlock()
		s.clock.Sleep(pause)
		s.mu.Lock()
		due := []wanted{}
		for want, since := range s.wanted {
			if s.clock.Now() >= since.due {
				due = append(due, want)
			}
		}
		set := s.set()
		s.mu.Unlock()
		slices.SortFunc(due, func(a, b wanted) int { return compare(a, b) })
		for _, want := range due[:min(len(due), fetchWidth)] {
			s.find(set, want)
		}
	}
}

func compare(a, b wanted) int {
	switch {
	case a == b:
		return 0
	case a.program < b.program || a.program == b.program && a.turn < b.turn:
		return -1
	}
	return 1
}

// find copies a turn and its chain from this store's own holdings or, failing
// that, from another's. One that no store has is given up.
func (s *Store) find(set *register.DiskSet, want wanted) {
	s.mu.Lock()
	since, still := s.wanted[want]
	found := s.chain(want.turn)
	s.mu.Unlock()
	if !still {
		return
	}
	without := 1
	if len(found) == 0 {
		for _, entry := range place(set, want.program, len(set.GetDisks())) {
			if entry.Id == s.id {
				continue
			}
			reply, err := s.client(entry).Chain(base.NewCtx(s.clock, s.bounds.Load().DiskLimit()), &ChainRequest{Target: &Target{Disk: entry.Id, Stamp: set.Stamp}, Turn: want.turn})
			if err != nil || reply.Ack.GetWhy() != "" {
				continue
			}
			if found = reply.Turns; len(found) > 0 {
				break
			}
			if reply.Ack.Whole {
				without++
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.programs[want.program] == nil || len(found) == 0 && without == len(set.GetDisks()):
		delete(s.wanted, want)
	case len(found) == 0:
		since.due = s.clock.Now() + s.bounds.Load().Suspect()
		s.wanted[want] = since
	default:
		s.take(&Record{Program: want.program, Turns: found})
		s.bell.Ring()
		s.counters.Add("ledger_turns_copied", int64(len(found)))
	}
}

// chain lists a turn and those before it, oldest first, with their time left.
func (s *Store) chain(id string) []*Turn {
	found, now := []*Turn{}, s.now()
	for size := 0; id != "" && size < chainLimit; {
		held := s.longest(id)
		if held == nil {
			break
		}
		size += len(held.input) + len(held.output)
		found = append(found, held.message(held.until-now))
		id = held.previous
	}
	slices.Reverse(found)
	return found
}
