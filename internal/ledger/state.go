// What a store holds in memory, and how two accounts of the same thing are
// joined. Every join gives the same whatever the order and however often, so
// the log, a message that comes twice and another store's account are all
// taken in by the same code.

package ledger

import (
	"container/list"
	"slices"

	"fordseam/internal/register"
)

type assignment struct {
	session, owner, run string
	epoch               uint64
	confirmed           bool
}

type spend struct {
	turn, run string
	tokens    int64
	settled   bool
}

type turn struct {
	program  *program
	session  string
	id       string
	previous string
	input    []byte
	output   []byte
	until    int64
	home     uint64
	gone     bool
	// also is the same turn as another program holds it.
	also *turn
}

type program struct {
	id       string
	sessions []assignment
	spends   []spend
	turns    []*turn
	until    int64
	// home is the oldest file of the log that holds a part of the state.
	home    uint64
	arrival uint64
	element *list.Element
	gone    bool
	// ranked caches the program's replicas in the set of a stamp.
	ranked []string
	stamp  uint64
}

func (a assignment) message() *Assignment {
	return &Assignment{Session: a.session, Owner: a.owner, Run: a.run, Epoch: a.epoch, Confirmed: a.confirmed}
}

func assignmentOf(m *Assignment) assignment {
	return assignment{m.GetSession(), m.GetOwner(), m.GetRun(), m.GetEpoch(), m.GetConfirmed()}
}

func (a assignment) same(b assignment) bool {
	return a.run != "" && a.run == b.run && a.owner == b.owner
}

// take puts a claim in force where it may be: a higher epoch, the holder's own
// word, or at the same epoch a claim that a quorum is known to have taken.
func (a assignment) take(claim assignment) (after assignment, ok bool) {
	switch {
	case claim.epoch > a.epoch:
		return claim, true
	case a.same(claim):
		a.confirmed = a.confirmed || claim.confirmed && claim.epoch == a.epoch
		return a, true
	case claim.epoch == a.epoch && claim.confirmed && !a.confirmed:
		return claim, true
	}
	return a, false
}

// join takes in another store's account: of two unconfirmed votes at one epoch
// nobody here knows which a quorum took, so neither has this store's.
func (a assignment) join(b assignment) assignment {
	switch {
	case b.epoch != a.epoch:
		return pick(b.epoch > a.epoch, b, a)
	case a.run == b.run && a.owner == b.owner:
		a.confirmed = a.confirmed || b.confirmed
		return a
	case a.confirmed || b.confirmed:
		return pick(b.confirmed, b, a)
	}
	return assignment{session: a.session, epoch: a.epoch}
}

func pick[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

func (s spend) join(b spend) spend {
	if s.settled != b.settled {
		return pick(s.settled, s, b)
	}
	s.tokens = max(s.tokens, b.tokens)
	return s
}

func (p *program) session(id string) assignment {
	for _, held := range p.sessions {
		if held.session == id {
			return held
		}
	}
	return assignment{session: id}
}

// assign puts an assignment in force and tells whether it changed anything.
func (p *program) assign(next assignment) bool {
	for place := range p.sessions {
		if p.sessions[place].session == next.session {
			changed := p.sessions[place] != next
			p.sessions[place] = next
			return changed
		}
	}
	p.sessions = append(p.sessions, next)
	return true
}

func (p *program) spent(turn, run string) (spend, bool) {
	for _, held := range p.spends {
		if held.turn == turn && held.run == run {
			return held, true
		}
	}
	return spend{turn: turn, run: run}, false
}

// count joins a spend and tells whether that changed anything.
func (p *program) count(next spend) bool {
	for place, held := range p.spends {
		if held.turn == next.turn && held.run == next.run {
			p.spends[place] = held.join(next)
			return p.spends[place] != held
		}
	}
	p.spends = append(p.spends, next)
	return true
}

func (p *program) turn(id string) *turn {
	for _, held := range p.turns {
		if held.id == id {
			return held
		}
	}
	return nil
}

func (t *turn) message(until int64) *Turn {
	return &Turn{Program: t.program.id, Session: t.session, Id: t.id, Previous: t.previous, Input: t.input, Output: t.output, UntilMs: until}
}

func (p *program) state(until int64) *Record {
	record := &Record{Program: p.id, UntilMs: until}
	for _, held := range p.sessions {
		record.Sessions = append(record.Sessions, held.message())
	}
	for _, held := range p.spends {
		record.Spends = append(record.Spends, &Spend{Turn: held.turn, Run: held.run, Tokens: held.tokens, Settled: held.settled})
	}
	return record
}

// digest tells two accounts of a program's state apart, whatever their order.
func (p *program) digest() uint64 {
	sum := uint64(0)
	for _, held := range p.sessions {
		sum ^= hashOf(held.epoch, held.confirmed, held.session, held.owner, held.run)
	}
	for _, held := range p.spends {
		sum ^= hashOf(uint64(held.tokens), held.settled, held.turn, held.run)
	}
	return sum
}

// hashOf is FNV-1a over the parts, each with an end of its own.
func hashOf(number uint64, mark bool, parts ...string) uint64 {
	const prime = 1099511628211
	sum := (14695981039346656037 ^ number) * prime
	if mark {
		sum = (sum ^ 1) * prime
	}
	for _, part := range parts {
		for at := 0; at < len(part); at++ {
			sum = (sum ^ uint64(part[at])) * prime
		}
		sum = (sum ^ 256) * prime
	}
	return sum
}

const (
	programWeight = 320
	turnWeight    = 220
	spendWeight   = 80
)

func (s *Store) programOf(id string) *program {
	held, ok := s.programs[id]
	if !ok {
		held = &program{id: id}
		held.element = s.order.PushBack(held)
		s.programs[id] = held
		s.bytes += programWeight
	}
	return held
}

// changed puts a program last in the order of arrival.
func (s *Store) changed(p *program) {
	s.arrivals++
	p.arrival = s.arrivals
	s.order.MoveToBack(p.element)
}

// absorb joins a record whose times are this store's, and tells whether
// anything of it was new.
func (s *Store) absorb(record *Record) (p *program, added []*turn, fresh bool) {
	p = s.programOf(record.Program)
	fresh = p.arrival == 0
	p.until = max(p.until, record.UntilMs)
	for _, message := range record.Sessions {
		next := assignmentOf(message)
		fresh = p.assign(p.session(next.session).join(next)) || fresh
	}
	for _, message := range record.Spends {
		before := len(p.spends)
		fresh = p.count(spend{message.Turn, message.Run, message.Tokens, message.Settled}) || fresh
		s.bytes += spendWeight * (len(p.spends) - before)
	}
	for _, message := range record.Turns {
		held, isNew := s.keep(p, message)
		added = append(added, held)
		fresh = fresh || isNew
	}
	if fresh {
		s.changed(p)
	}
	return p, added, fresh
}

// keep holds a turn, and holds its ancestors for as long as it is held.
func (s *Store) keep(p *program, message *Turn) (held *turn, isNew bool) {
	held = p.turn(message.Id)
	if held == nil {
		isNew = true
		held = &turn{program: p, session: message.Session, id: message.Id, previous: message.Previous, input: message.Input, output: message.Output}
		held.also = s.turns[held.id]
		s.turns[held.id] = held
		p.turns = append(p.turns, held)
		s.bytes += turnWeight + len(held.input) + len(held.output)
	}
	held.until = max(held.until, message.UntilMs)
	want := wanted{p.id, held.id}
	if since, ok := s.wanted[want]; ok {
		held.until = max(held.until, since.until)
		delete(s.wanted, want)
	}
	p.until = max(p.until, held.until)
	s.prolong(held)
	return held, isNew
}

// prolong keeps a turn's ancestors for as long as the turn. One that is not
// here is looked for.
func (s *Store) prolong(last *turn) {
	p, until := last.program, last.until
	for last.previous != "" {
		before := p.turn(last.previous)
		if before == nil {
			want := wanted{p.id, last.previous}
			held, ok := s.wanted[want]
			if !ok {
				held.due = s.clock.Now() + s.bounds.Load().Beat()
			}
			held.until = max(held.until, until)
			s.wanted[want] = held
			return
		}
		if before.until >= until {
			return
		}
		before.until = until
		last = before
	}
}

// forget drops what is over.
func (s *Store) forget(now int64) (programs, turns int) {
	for element := s.order.Front(); element != nil; {
		p := element.Value.(*program)
		element = element.Next()
		kept := p.turns[:0]
		for _, held := range p.turns {
			if held.until > now {
				kept = append(kept, held)
				continue
			}
			turns++
			s.drop(held)
		}
		clear(p.turns[len(kept):])
		p.turns = kept
		if p.until > now || len(p.turns) > 0 {
			continue
		}
		programs++
		p.gone = true
		s.order.Remove(p.element)
		delete(s.programs, p.id)
		s.bytes -= programWeight + spendWeight*len(p.spends)
	}
	for want := range s.wanted {
		if s.programs[want.program] == nil {
			delete(s.wanted, want)
		}
	}
	return programs, turns
}

func (s *Store) drop(held *turn) {
	held.gone = true
	s.bytes -= turnWeight + len(held.input) + len(held.output)
	first := s.turns[held.id]
	if first == held {
		if held.also == nil {
			delete(s.turns, held.id)
		} else {
			s.turns[held.id] = held.also
		}
		return
	}
	for ; first != nil; first = first.also {
		if first.also == held {
			first.also = held.also
			return
		}
	}
}

// ranks are a program's replicas in the set this store goes by.
func (s *Store) ranks(p *program) []string {
	set := s.set()
	if p.stamp != set.Stamp {
		p.ranked = p.ranked[:0]
		for _, entry := range place(set, p.id, s.tolerate) {
			p.ranked = append(p.ranked, entry.Id)
		}
		p.stamp = set.Stamp
	}
	return p.ranked
}

// wholeFor tells whether this store holds all it should of a program: it lacks
// nothing of the set it goes by, or was one of the program's replicas in every
// set since one of which it lacked nothing.
func (s *Store) wholeFor(id string) bool {
	set := s.set()
	if s.whole == set.GetStamp() {
		return s.whole > 0
	}
	if s.whole == 0 {
		return false
	}
	for stamp := s.whole; stamp <= set.Stamp; stamp++ {
		at := slices.IndexFunc(s.sets, func(known *register.DiskSet) bool { return known.Stamp == stamp })
		if at < 0 || !placed(s.sets[at], id, s.id, s.tolerate) {
			return false
		}
	}
	return true
}
