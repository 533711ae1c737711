package ledger

import (
	"container/list"
	"slices"

	"fordseam/internal/register"
)

// assignment is the Run that a session is assigned to. A claim is an assignment
// that its Run wants to have.
type assignment struct {
	session, owner, run string
	epoch               uint64
	confirmed           bool
}

// spend is a turn's reservation of tokens, or the tokens that it used once
// settled.
type spend struct {
	turn, run string
	tokens    int64
	settled   bool
}

// turn is a turn that was answered completely.
type turn struct {
	program     *program
	session     string
	id          string
	previous    string
	size        int            // of its payload
	payload     *payload       // nil if only the log has it
	at          recordLocation // in the log; without a size until it is written
	cached      *list.Element  // in Store.payloads.used, if the payload may give way
	retainUntil int64          // in store time
	segment     uint64         // the log segment that holds it
	removed     bool
	// nextCopy is the same turn as held by another program.
	nextCopy *turn
}

// program is what the store holds of one program.
type program struct {
	id          string
	sessions    []assignment
	spends      []spend
	turns       []*turn
	retainUntil int64
	// oldestSegment is the oldest log segment that holds a part of the state.
	oldestSegment uint64
	arrival       uint64        // position in the order of changes
	element       *list.Element // in Store.byArrival
	removed       bool
	// replicas caches the program's replicas in the disk set with the stamp
	// replicasStamp.
	replicas      []string
	replicasStamp uint64
}

func (a assignment) toProto() *Assignment {
	return &Assignment{Session: a.session, Owner: a.owner, Run: a.run, Epoch: a.epoch, Confirmed: a.confirmed}
}

func assignmentFromProto(m *Assignment) assignment {
	return assignment{m.GetSession(), m.GetOwner(), m.GetRun(), m.GetEpoch(), m.GetConfirmed()}
}

// sameHolder reports whether both are assigned to the same Run.
func (a assignment) sameHolder(b assignment) bool {
	return a.run != "" && a.run == b.run && a.owner == b.owner
}

// applyClaim returns the assignment after a claim, and whether the claim was
// granted. A claim is granted with a higher epoch, if it is the holder's own, or
// at the same epoch if a quorum is known to have granted it.
func (a assignment) applyClaim(claim assignment) (after assignment, ok bool) {
	switch {
	case claim.epoch > a.epoch:
		return claim, true
	case a.sameHolder(claim):
		a.confirmed = a.confirmed || claim.confirmed && claim.epoch == a.epoch
		return a, true
	case claim.epoch == a.epoch && claim.confirmed && !a.confirmed:
		return claim, true
	}
	return a, false
}

// merge combines two stores' accounts. Of two unconfirmed assignments at the
// same epoch it is unknown which one a quorum granted, so the result has neither
// as its holder.
func (a assignment) merge(b assignment) assignment {
	switch {
	case b.epoch != a.epoch:
		return choose(b.epoch > a.epoch, b, a)
	case a.run == b.run && a.owner == b.owner:
		a.confirmed = a.confirmed || b.confirmed
		return a
	case a.confirmed || b.confirmed:
		return choose(b.confirmed, b, a)
	}
	return assignment{session: a.session, epoch: a.epoch}
}

// choose returns a if first is true and b otherwise.
func choose[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// merge returns the settled one of two spends, otherwise the larger amount.
func (s spend) merge(b spend) spend {
	if s.settled != b.settled {
		return choose(s.settled, s, b)
	}
	s.tokens = max(s.tokens, b.tokens)
	return s
}

// assignment returns a session's assignment, without a holder if it has none.
func (p *program) assignment(id string) assignment {
	for _, a := range p.sessions {
		if a.session == id {
			return a
		}
	}
	return assignment{session: id}
}

// setAssignment replaces a session's assignment and reports whether it changed.
func (p *program) setAssignment(next assignment) bool {
	for i := range p.sessions {
		if p.sessions[i].session == next.session {
			changed := p.sessions[i] != next
			p.sessions[i] = next
			return changed
		}
	}
	p.sessions = append(p.sessions, next)
	return true
}

// findSpend returns what a turn reserved or spent under a Run.
func (p *program) findSpend(turn, run string) (spend, bool) {
	for _, s := range p.spends {
		if s.turn == turn && s.run == run {
			return s, true
		}
	}
	return spend{turn: turn, run: run}, false
}

// addSpend merges a spend and reports whether that changed anything.
func (p *program) addSpend(next spend) bool {
	for i, former := range p.spends {
		if former.turn == next.turn && former.run == next.run {
			p.spends[i] = former.merge(next)
			return p.spends[i] != former
		}
	}
	p.spends = append(p.spends, next)
	return true
}

func (p *program) findTurn(id string) *turn {
	for _, t := range p.turns {
		if t.id == id {
			return t
		}
	}
	return nil
}

// stateRecord returns the program's assignments and spends without its turns.
func (p *program) stateRecord(until int64) *Record {
	record := &Record{Program: p.id, UntilMs: until}
	for _, entry := range p.sessions {
		record.Sessions = append(record.Sessions, entry.toProto())
	}
	for _, entry := range p.spends {
		record.Spends = append(record.Spends, &Spend{Turn: entry.turn, Run: entry.run, Tokens: entry.tokens, Settled: entry.settled})
	}
	return record
}

// digest is a hash of the program's assignments and spends that does not depend
// on their order.
func (p *program) digest() uint64 {
	sum := uint64(0)
	for _, x := range p.sessions {
		sum ^= hashParts(x.epoch, x.confirmed, x.session, x.owner, x.run)
	}
	for _, x := range p.spends {
		sum ^= hashParts(uint64(x.tokens), x.settled, x.turn, x.run)
	}
	return sum
}

// hashParts is 64-bit FNV-1a over the parts, each followed by a terminator.
func hashParts(number uint64, flag bool, parts ...string) uint64 {
	const prime = 1099511628211
	sum := (14695981039346656037 ^ number) * prime
	if flag {
		sum = (sum ^ 1) * prime
	}
	for _, part := range parts {
		for i := 0; i < len(part); i++ {
			sum = (sum ^ uint64(part[i])) * prime
		}
		sum = (sum ^ 256) * prime
	}
	return sum
}

// Approximate memory used by an entry besides its input and output, in bytes.
const (
	programOverhead = 320
	turnOverhead    = 220
	spendOverhead   = 80
)

// getOrCreateProgram returns a program and adds it if it is not held yet.
func (s *Store) getOrCreateProgram(id string) *program {
	p, ok := s.programs[id]
	if !ok {
		p = &program{id: id}
		p.element = s.byArrival.PushBack(p)
		s.programs[id] = p
		s.heldBytes += programOverhead
	}
	return p
}

// markChanged moves a program to the end of the order in which programs are
// offered to other stores.
func (s *Store) markChanged(p *program) {
	s.lastArrival++
	p.arrival = s.lastArrival
	s.byArrival.MoveToBack(p.element)
}

// mergeRecord merges a record whose times are in this store's time, and reports
// whether that changed anything. All merges are commutative, associative and
// idempotent, so that the same code replays the log, applies a message that is
// delivered twice, and takes in the state of another store.
func (s *Store) mergeRecord(record *Record) (p *program, added []*turn, changed bool) {
	p = s.getOrCreateProgram(record.Program)
	changed = p.arrival == 0
	p.retainUntil = max(p.retainUntil, record.UntilMs)
	for _, message := range record.Sessions {
		next := assignmentFromProto(message)
		changed = p.setAssignment(p.assignment(next.session).merge(next)) || changed
	}
	for _, message := range record.Spends {
		spendCount := len(p.spends)
		changed = p.addSpend(spend{message.Turn, message.Run, message.Tokens, message.Settled}) || changed
		s.heldBytes += spendOverhead * (len(p.spends) - spendCount)
	}
	for _, message := range record.Turns {
		t, isNew := s.addTurn(p, message)
		added = append(added, t)
		changed = changed || isNew
	}
	if changed {
		s.markChanged(p)
	}
	return p, added, changed
}

// addTurn adds a turn or extends the retention of a held one, and retains its
// ancestors for as long.
func (s *Store) addTurn(p *program, message *Turn) (t *turn, isNew bool) {
	t = p.findTurn(message.Id)
	if t == nil {
		isNew = true
		t = &turn{program: p, session: message.Session, id: message.Id, previous: message.Previous, size: len(message.Input) + len(message.Output)}
		t.nextCopy = s.turns[t.id]
		s.turns[t.id] = t
		p.turns = append(p.turns, t)
		s.heldBytes += turnOverhead + t.size
		s.payloadBytes += t.size
		s.payloads.put(t, &payload{message.Input, message.Output})
	}
	t.retainUntil = max(t.retainUntil, message.UntilMs)
	key := turnKey{p.id, t.id}
	if missing, ok := s.missing[key]; ok {
		t.retainUntil = max(t.retainUntil, missing.retainUntil)
		delete(s.missing, key)
	}
	p.retainUntil = max(p.retainUntil, t.retainUntil)
	s.extendAncestors(t)
	return t, isNew
}

// extendAncestors retains a turn's ancestors for as long as the turn itself. An
// ancestor that is not held is recorded as missing, for findMissingLoop.
func (s *Store) extendAncestors(descendant *turn) {
	p, retainUntil := descendant.program, descendant.retainUntil
	for descendant.previous != "" {
		parent := p.findTurn(descendant.previous)
		if parent == nil {
			key := turnKey{p.id, descendant.previous}
			missing, ok := s.missing[key]
			if !ok {
				missing.retryAt = s.clock.Now() + s.bounds.Load().HeartbeatInterval()
			}
			missing.retainUntil = max(missing.retainUntil, retainUntil)
			s.missing[key] = missing
			return
		}
		if parent.retainUntil >= retainUntil {
			return
		}
		parent.retainUntil = retainUntil
		descendant = parent
	}
}

// expire removes the turns and programs whose retention has ended.
func (s *Store) expire(now int64) (programs, turns int) {
	for element := s.byArrival.Front(); element != nil; {
		p := element.Value.(*program)
		element = element.Next()
		retained := p.turns[:0]
		for _, t := range p.turns {
			if t.retainUntil > now {
				retained = append(retained, t)
				continue
			}
			turns++
			s.removeTurn(t)
		}
		clear(p.turns[len(retained):])
		p.turns = retained
		if p.retainUntil > now || len(p.turns) > 0 {
			continue
		}
		programs++
		p.removed = true
		s.byArrival.Remove(p.element)
		delete(s.programs, p.id)
		s.heldBytes -= programOverhead + spendOverhead*len(p.spends)
	}
	for key := range s.missing {
		if s.programs[key.program] == nil {
			delete(s.missing, key)
		}
	}
	return programs, turns
}

// removeTurn removes a turn from the index of turns; its program's list is up to
// the caller.
func (s *Store) removeTurn(t *turn) {
	t.removed = true
	s.heldBytes -= turnOverhead + t.size
	s.payloadBytes -= t.size
	s.payloads.drop(t)
	current := s.turns[t.id]
	if current == t {
		if t.nextCopy == nil {
			delete(s.turns, t.id)
		} else {
			s.turns[t.id] = t.nextCopy
		}
		return
	}
	for ; current != nil; current = current.nextCopy {
		if current.nextCopy == t {
			current.nextCopy = t.nextCopy
			return
		}
	}
}

// replicasOf returns the disk ids of a program's replicas in the current set.
func (s *Store) replicasOf(p *program) []string {
	set := s.currentSet()
	if p.replicasStamp != set.Stamp {
		p.replicas = p.replicas[:0]
		for _, entry := range placeReplicas(set, p.id, s.faultTolerance) {
			p.replicas = append(p.replicas, entry.Id)
		}
		p.replicasStamp = set.Stamp
	}
	return p.replicas
}

// completeFor reports whether this store holds everything it should of a
// program: it is complete for the current set, or it was one of the program's
// replicas in every set since the one that it is complete for.
func (s *Store) completeFor(id string) bool {
	set := s.currentSet()
	if s.completeStamp == set.GetStamp() {
		return s.completeStamp > 0
	}
	if s.completeStamp == 0 {
		return false
	}
	for stamp := s.completeStamp; stamp <= set.Stamp; stamp++ {
		i := slices.IndexFunc(s.sets, func(known *register.DiskSet) bool { return known.Stamp == stamp })
		if i < 0 || !isReplica(s.sets[i], id, s.diskID, s.faultTolerance) {
			return false
		}
	}
	return true
}
