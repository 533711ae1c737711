package session

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

// operation is a turn that the owner accepted. The session's mutex guards its state,
// abort, requestErr and endedAt.
type operation struct {
	id         string
	digest     string
	request    *Request
	state      OperationState
	stream     *Stream
	deadline   time.Duration
	cancelled  base.Signal
	abort      func()
	requestErr *base.RequestError
	endedAt    time.Duration
}

// ownedSession is the owner's memory of one Run: its queue, the operation states,
// the chain and the streams. One turn runs at a time, in the order accepted, each
// within its own deadline. Reads, lists and status use the memory and never wait in
// the queue.
type ownedSession struct {
	program    string
	changed    *base.Notifier // notifies when the session may have become idle
	handedOver base.Signal    // fires when the Run is lost or a drain is done with it
	clock      base.Clock

	mu                   sync.Mutex
	record               *Record
	turns                []Turn // the chain
	operations           map[string]*operation
	queue                []*operation
	running              *operation
	working              bool                       // runQueue is running
	lost                 bool                       // the Run was given up
	uncertainAttempt     string                     // the attempt whose finish has an unknown outcome, or ""
	lastAttempt          uint64                     // number of the last attempt
	feedLeaseExpirations uint64                     // the follower's count when the Run was last confirmed
	lastUsed             time.Duration              // when a client last used the session, or a turn ran
	standbyTurns         map[string]uint64          // turns of the chain that each standby has
	refusals             map[string]*requestOutcome // by turn id
	maintaining          bool                       // maintain has a task under way
	lastWorker           string                     // worker of the last completed turn
}

func newOwnedSession(clock base.Clock, record *Record, turns []Turn, leaseExpirations uint64) *ownedSession {
	return &ownedSession{program: record.Program, changed: base.NewNotifier(clock), handedOver: clock.NewSignal(), clock: clock, record: record,
		turns: turns, operations: map[string]*operation{}, feedLeaseExpirations: leaseExpirations, lastAttempt: record.HighestAttempt, lastUsed: clock.Now(), standbyTurns: map[string]uint64{},
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

// updateRecord takes over the register's record of this Run. Replies may overtake
// each other; an older record is ignored.
func (s *ownedSession) updateRecord(record *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Run == record.Run && record.Version > s.record.Version {
		s.record = record
	}
}

// mayHaveRun reports whether a turn had an attempt whose outcome is unknown, such as
// one under way when an earlier Run of the session was lost.
func (s *ownedSession) mayHaveRun(turn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.isUncertain(turn)
}

// completedTurn returns a turn of the chain, or nil. The caller holds s.mu.
func (s *ownedSession) completedTurn(turn string) *Turn {
	for i := range s.turns {
		if s.turns[i].ID == turn {
			return &s.turns[i]
		}
	}
	return nil
}

// refuseUnknown keeps a turn that this owner knows nothing of from being accepted
// later. It returns false when the turn is known, unless it is refused as not run
// already.
func (s *ownedSession) refuseUnknown(turn string, refusal *requestOutcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.operations[turn] != nil || s.completedTurn(turn) != nil || s.record.isUncertain(turn) {
		return false
	}
	if existing := s.refusals[turn]; existing != nil {
		return existing.requestErr.Execution == base.NotRun
	}
	s.refusals[turn] = refusal
	return true
}

// forgetRefusal lets a turn be sent again whose refusal could not be recorded.
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

// canForget reports whether a session whose Run was lost or has ended can be removed
// from memory.
func (s *ownedSession) canForget(now time.Duration, bounds *base.Bounds) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := s.lost || s.record.Phase.Terminal()
	return released && !s.working && now-s.lastUsed > 2*bounds.Recovery
}

// loseRun gives the Run up. Turns without a piece so far can be found again with the
// next owner; the streams of the others end as cut.
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
	s.changed.Notify()
}

// serve handles a request on the session's owner.
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
		if !s.handedOver.Wait(ctx.Remaining()) {
			return nil, base.Busy(503, "handing_over", 1, "the session is being handed over to another node")
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
		return nil, base.Decline(403, "forbidden", "the credentials do not grant access to this session")
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
	return nil, base.Decline(400, "bad_request", "unknown request kind %q", req.Kind)
}

// restoreRun loads a Run that the register assigns to this node but that is not in
// memory: one taken without receiving the reply, or one that ended and was removed.
// A node's id differs from process to process, so the owner named is this process.
func (m *Manager) restoreRun(ctx *base.Ctx, record *Record, req *Request) (*ownedSession, error) {
	result, err := m.changeRegister(ctx, req.Program, "session.get", changeArgs{Session: record.ID})
	if err != nil {
		return nil, err
	}
	if result.Record.Run != record.Run || result.Record.Owner != m.nodeID() || result.Record.Program != req.Program {
		m.cacheRecord(result.Record)
		return nil, staleAssignment()
	}
	return m.loadRun(ctx, result.Record)
}

// revalidate asks the register whether the Run is still this node's, after the node's
// feed lease expired or the outcome of a change became unknown.
func (m *Manager) revalidate(ctx *base.Ctx, s *ownedSession) error {
	leaseExpirations := m.follower.LeaseExpirations()
	s.mu.Lock()
	uncertainAttempt := s.uncertainAttempt
	valid := s.feedLeaseExpirations == leaseExpirations && uncertainAttempt == ""
	id, run, knownTurns := s.record.ID, s.record.Run, uint64(len(s.turns))
	s.mu.Unlock()
	if valid {
		return nil
	}
	// An attempt whose outcome is unknown is given up first: from then on either its
	// turn is in the chain or a late copy of the change can no longer put it there.
	args, op := changeArgs{Session: id}, "session.get"
	if uncertainAttempt != "" {
		args.Attempt, args.Tokens, op = uncertainAttempt, -1, "session.settle"
	}
	result, err := m.changeRegister(ctx, s.program, op, args)
	if err != nil {
		return err
	}
	if result.Record.Run != run {
		m.cacheRecord(result.Record)
		s.loseRun()
		return staleAssignment()
	}
	var turns []Turn
	if result.Record.TurnCount != knownTurns {
		if turns, err = m.readChain(ctx, result.Record); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.feedLeaseExpirations, s.uncertainAttempt = leaseExpirations, ""
	if result.Record.Version > s.record.Version {
		s.record = result.Record
	}
	if turns != nil && uint64(len(s.turns)) == knownTurns {
		s.turns = turns
	}
	s.mu.Unlock()
	return nil
}

// syncStandby sends the standby the turns of the chain that it lacks. When the
// standby is gone or leaving it picks another, which is recorded only once it has
// the whole chain.
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
	for !ctx.Expired() {
		s.mu.Lock()
		copied, total := s.standbyTurns[standby], uint64(len(s.turns))
		var turn []byte
		if copied < total {
			turn = base.MustMarshal(s.turns[copied])
		}
		s.mu.Unlock()
		if copied >= total {
			break
		}
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.httpClient).Offer(ctx, &OfferRequest{Session: record.ID,
			Assignment: record.assignment(), Turns: copied + 1, Turn: turn})
		if err != nil {
			return
		}
		s.mu.Lock()
		s.standbyTurns[standby] = min(reply.Turns, copied+1)
		s.mu.Unlock()
	}
	if standby != record.Standby && !ctx.Expired() {
		result, err := m.changeRegister(ctx, record.Program, "session.move", changeArgs{Session: record.ID, Run: record.Run, Standby: standby})
		if err == nil {
			s.updateRecord(result.Record)
			m.cacheRecord(result.Record)
			m.counters.Add("understudies_replaced", 1)
		}
	}
}
