// A held session is the owner's memory of one Run: the queue that it alone
// has, the operation states, the chain, and the streams. One mutation runs
// at a time, in the order accepted, each within its own deadline; reads,
// lists and status look at the memory and never stand in the queue.

package session

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

type operation struct {
	id        string
	digest    string
	request   *Request
	state     OperationState
	stream    *Stream
	deadline  time.Duration
	cancelled base.Signal
	abort     func()
	verdict   *base.Verdict
	endedAt   time.Duration
}

type ownedSession struct {
	program    string
	changed    *base.Bell
	handedOver base.Signal
	clock      base.Clock

	mu               sync.Mutex
	record           *Record
	turns            []Turn
	operations       map[string]*operation
	queue            []*operation
	running          *operation
	working          bool
	lost             bool
	uncertainAttempt string
	lastAttempt      uint64
	permitLapses     uint64
	lastUsed         time.Duration
	standbyTurns     map[string]uint64
	refusals         map[string]*requestOutcome
	maintaining      bool
	lastWorker       string
}

func newOwnedSession(clock base.Clock, record *Record, turns []Turn, lapses uint64) *ownedSession {
	return &ownedSession{program: record.Program, changed: base.NewBell(clock), handedOver: clock.NewSignal(), clock: clock, record: record,
		turns: turns, operations: map[string]*operation{}, permitLapses: lapses, lastAttempt: record.HighestAttempt, lastUsed: clock.Now(), standbyTurns: map[string]uint64{},
		refusals: map[string]*requestOutcome{}}
}

func (s *ownedSession) isCurrentRun(run string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.Run == run && !s.lost
}

func (s *ownedSession) recordCopy() *Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := *s.record
	return &copied
}

// take brings in the register's word on this Run; answers may cross, and the
// older of two changes nothing.
func (s *ownedSession) updateRecord(record *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Run == record.Run && record.Version > s.record.Version {
		s.record = record
	}
}

// mayHaveRun tells of a turn that had a leg under way when an earlier Run of
// the session was lost.
func (s *ownedSession) mayHaveRun(turn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.isUncertain(turn)
}

// whole finds a turn of the chain; the caller holds the lock.
func (s *ownedSession) completedTurn(turn string) *Turn {
	for i := range s.turns {
		if s.turns[i].ID == turn {
			return &s.turns[i]
		}
	}
	return nil
}

// refuseUnknown keeps a turn that this owner knows nothing of from ever being
// accepted; false when it is known.
func (s *ownedSession) refuseUnknown(turn string, refusal *requestOutcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.operations[turn] != nil || s.completedTurn(turn) != nil || s.record.isUncertain(turn) {
		return false
	}
	if existing := s.refusals[turn]; existing != nil {
		return existing.verdict.Ran == base.NotRun
	}
	s.refusals[turn] = refusal
	return true
}

// forgetRefusal lets a turn be asked again whose refusal could not be kept.
func (s *ownedSession) forgetRefusal(turn string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refusals, turn)
}

func (s *ownedSession) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.working && len(s.queue) == 0
}

func (s *ownedSession) canForget(now time.Duration, bounds *base.Bounds) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := s.lost || s.record.Phase.Terminal()
	return released && !s.working && now-s.lastUsed > 2*bounds.Recover
}

// lose gives the Run up: what was accepted and gave no piece yet can be
// found anew with the next owner, the rest is cut.
func (s *ownedSession) loseRun() {
	s.mu.Lock()
	s.lost = true
	s.queue = nil
	lost := []*operation{}
	for _, id := range base.SortedKeys(s.operations) {
		if op := s.operations[id]; op.state == OpQueued || op.state == OpRunning {
			lost = append(lost, op)
		}
	}
	s.mu.Unlock()
	for _, op := range lost {
		op.stream.endMoved(op.id)
	}
	s.handedOver.Fire()
	s.changed.Ring()
}

// serve answers a visit on the owner.
func (m *Manager) serve(ctx *base.Ctx, record *Record, req *Request) (*Reply, error) {
	m.mu.Lock()
	s := m.owned[record.ID]
	draining := m.draining
	m.mu.Unlock()
	if s == nil || !s.isCurrentRun(record.Run) {
		restored, err := m.restoreRun(ctx, record, req)
		if err != nil {
			return nil, err
		}
		s = restored
	}
	if err := m.revalidate(ctx, s); err != nil {
		return nil, err
	}
	if draining && req.Kind == KindSubmitTurn {
		if !s.handedOver.Wait(ctx.Left()) {
			return nil, base.Busy(503, "handing_over", 1, "the session is being handed over")
		}
		return nil, staleAssignment()
	}
	s.mu.Lock()
	allowed := s.record.Authorizes(req.Bearer)
	if allowed {
		s.lastUsed = m.clock.Now()
	}
	s.mu.Unlock()
	if !allowed {
		return nil, base.Decline(403, "forbidden", "the credentials do not open this session")
	}
	switch req.Kind {
	case KindStatus, KindRenewLease:
		return &Reply{Status: 200, Body: s.status()}, nil
	case KindListTurns:
		return &Reply{Status: 200, Body: s.listTurns(req)}, nil
	case KindReadTurn:
		return s.readTurn(req)
	case KindCancelTurn:
		return m.cancelTurn(s, req)
	case KindClose:
		return m.terminate(ctx, s, budget.Drain)
	case KindTerminate:
		return m.terminate(ctx, s, budget.Immediate)
	case KindSubmitTurn:
		return m.submit(ctx, s, req)
	}
	return nil, base.Decline(400, "bad_request", "unknown kind of visit")
}

// recall finds a Run that the register says is this node's but that is not
// in memory: one it took without learning so, or one that ended and was
// forgotten. Only this life of the node can be named as owner.
func (m *Manager) restoreRun(ctx *base.Ctx, record *Record, req *Request) (*ownedSession, error) {
	answer, err := m.changeRegister(ctx, req.Program, "session.get", changeArgs{Session: record.ID})
	if err != nil {
		return nil, err
	}
	if answer.Record.Run != record.Run || answer.Record.Owner != m.nodeID() || answer.Record.Program != req.Program {
		m.cacheRecord(answer.Record)
		return nil, staleAssignment()
	}
	return m.loadRun(ctx, answer.Record)
}

// revalidate asks the register whether the Run still stands, after this
// node went without a permit or a change of its own ended unknown.
func (m *Manager) revalidate(ctx *base.Ctx, s *ownedSession) error {
	lapses := m.follower.Lapses()
	s.mu.Lock()
	uncertainAttempt := s.uncertainAttempt
	valid := s.permitLapses == lapses && uncertainAttempt == ""
	id, run, knownTurns := s.record.ID, s.record.Run, uint64(len(s.turns))
	s.mu.Unlock()
	if valid {
		return nil
	}
	// A leg whose end was not learnt is given up first: from then on either
	// its turn is in the chain or a late copy can no longer put it there.
	args, op := changeArgs{Session: id}, "session.get"
	if uncertainAttempt != "" {
		args.Attempt, args.Tokens, op = uncertainAttempt, -1, "session.settle"
	}
	answer, err := m.changeRegister(ctx, s.program, op, args)
	if err != nil {
		return err
	}
	if answer.Record.Run != run {
		m.cacheRecord(answer.Record)
		s.loseRun()
		return staleAssignment()
	}
	var turns []Turn
	if answer.Record.TurnCount != knownTurns {
		if turns, err = m.readChain(ctx, answer.Record); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.permitLapses, s.uncertainAttempt = lapses, ""
	if answer.Record.Version > s.record.Version {
		s.record = answer.Record
	}
	if turns != nil && uint64(len(s.turns)) == knownTurns {
		s.turns = turns
	}
	s.mu.Unlock()
	return nil
}

// catchUp brings the understudy up to the chain, nominating another when it
// is gone; a new one counts only once it has the whole chain.
func (m *Manager) syncStandby(ctx *base.Ctx, s *ownedSession) {
	record := s.recordCopy()
	standby := record.Standby
	if member, alive := m.view.Find(standby); !alive || member.Leaving {
		standby = m.pickStandby(record.ID, standby)
	}
	member, alive := m.view.Find(standby)
	if !alive {
		return
	}
	for !ctx.Over() {
		s.mu.Lock()
		copied, total := s.standbyTurns[standby], uint64(len(s.turns))
		var turn []byte
		if copied < total {
			turn = base.Encode(s.turns[copied])
		}
		s.mu.Unlock()
		if copied >= total {
			break
		}
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.wire).Offer(ctx, &OfferRequest{Session: record.ID,
			Assignment: record.assignment(), Turns: copied + 1, Turn: turn})
		if err != nil {
			return
		}
		s.mu.Lock()
		s.standbyTurns[standby] = min(reply.Turns, copied+1)
		s.mu.Unlock()
	}
	if standby != record.Standby && !ctx.Over() {
		answer, err := m.changeRegister(ctx, record.Program, "session.move", changeArgs{Session: record.ID, Run: record.Run, Standby: standby})
		if err == nil {
			s.updateRecord(answer.Record)
			m.cacheRecord(answer.Record)
			m.counters.Add("understudies_replaced", 1)
		}
	}
}
