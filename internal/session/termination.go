package session

import (
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

func (m *Manager) cancelTurn(s *ownedSession, req *Request) (*Reply, error) {
	s.mu.Lock()
	op := s.operations[req.Turn]
	s.mu.Unlock()
	if op == nil {
		return s.readTurn(req)
	}
	m.cancelOperation(s, op)
	return s.readTurn(req)
}

// cancelOperation answers a queued turn as not run at once. A running one is asked to
// stop, and its attempt gives the answer.
func (m *Manager) cancelOperation(s *ownedSession, op *operation) {
	op.cancelled.Fire()
	s.mu.Lock()
	abort := op.abort
	position := slices.Index(s.queue, op)
	if position >= 0 {
		s.queue = slices.Delete(s.queue, position, position+1)
	}
	s.mu.Unlock()
	if abort != nil {
		abort()
	}
	if position >= 0 {
		m.endUnsuccessfully(s, op, OpCancelled, base.Decline(409, "cancelled", "the turn was cancelled before it ran"))
	}
}

// setAbort sets the function that stops a running turn, and calls it at once for a
// turn that was cancelled meanwhile.
func (s *ownedSession) setAbort(op *operation, abort func()) {
	s.mu.Lock()
	op.abort = abort
	s.mu.Unlock()
	if abort != nil && op.cancelled.Fired() {
		abort()
	}
}

// endUnsuccessfully ends an operation without success. The error says "not run"
// only of a turn that no earlier Run may have run and no later Run will.
func (m *Manager) endUnsuccessfully(s *ownedSession, op *operation, state OperationState, requestErr *base.RequestError) {
	if requestErr.Execution == base.NotRun && s.mayHaveRun(op.id) {
		requestErr = afterLostAttempt(requestErr)
	}
	if requestErr.Execution == base.NotRun && requestErr.Code != "turn_refused" {
		requestErr = m.recordRefusal(s, op.id, requestErr)
	}
	s.mu.Lock()
	if op.state.CanBecome(state) {
		op.state, op.requestErr, op.endedAt = state, requestErr, s.clock.Now()
	}
	s.mu.Unlock()
	op.stream.finish(failureFinal(op.id, requestErr))
	s.changed.Notify()
}

// recordRefusal records in the register that a turn was refused, so that no later
// owner runs it, and returns the error for the client. When that cannot be recorded
// soon, the error says that the outcome is unknown; the client may retry by the id.
func (m *Manager) recordRefusal(s *ownedSession, turn string, requestErr *base.RequestError) *base.RequestError {
	record := s.recordCopy()
	result, err := m.changeRegister(base.NewCtx(m.clock, m.bounds.Load().HeartbeatInterval()), record.Program, "session.refuse", changeArgs{Session: record.ID, Run: record.Run, RefusedTurn: turn})
	if err == nil && result.Refused {
		return requestErr
	}
	m.counters.Add("refusals_unkept", 1)
	uncertain := base.Indeterminate(503, "outcome_unknown", "the turn was refused, but that could not be recorded in time; retry with the same Turn-Id (%s)", requestErr.Message)
	uncertain.RetryAfter = max(1, requestErr.RetryAfter)
	return uncertain
}

// terminate ends the session's Run by Drain or Immediate; a termination only
// escalates.
func (m *Manager) terminate(ctx *base.Ctx, s *ownedSession, mode budget.Termination) (*Reply, error) {
	s.mu.Lock()
	if s.record.Phase.Terminal() {
		s.mu.Unlock()
		return &Reply{Status: 200, Body: s.status()}, nil
	}
	mode = s.record.Termination.Escalate(mode)
	s.mu.Unlock()
	if err := m.updateRun(ctx, s, Finalizing, mode, string(mode)); err != nil {
		return nil, err
	}
	if mode == budget.Immediate {
		m.cancelAll(s)
	}
	if err := m.finalizeIfIdle(ctx, s); err != nil {
		return nil, err
	}
	return &Reply{Status: 200, Body: s.status()}, nil
}

func (m *Manager) cancelAll(s *ownedSession) {
	s.mu.Lock()
	all := slices.Clone(s.queue)
	if s.running != nil {
		all = append(all, s.running)
	}
	s.mu.Unlock()
	for _, op := range all {
		m.cancelOperation(s, op)
	}
}

// updateRun changes the Run's phase or termination in the register.
func (m *Manager) updateRun(ctx *base.Ctx, s *ownedSession, phase Phase, mode budget.Termination, reason string) error {
	s.mu.Lock()
	id, run := s.record.ID, s.record.Run
	s.mu.Unlock()
	result, err := m.changeRegister(ctx, s.program, "session.move", changeArgs{Session: id, Run: run, Phase: phase, Termination: mode, Reason: reason})
	if err != nil {
		if base.IsCode(err, "stale_assignment") {
			s.loseRun()
		}
		return err
	}
	s.updateRecord(result.Record)
	m.cacheRecord(result.Record)
	s.changed.Notify()
	return nil
}

// finalizeIfIdle ends a finalizing Run once no turn is left.
func (m *Manager) finalizeIfIdle(ctx *base.Ctx, s *ownedSession) error {
	s.mu.Lock()
	due := s.record.Phase == Finalizing && !s.working && len(s.queue) == 0
	mode := s.record.Termination
	s.mu.Unlock()
	if !due {
		return nil
	}
	if mode == budget.Immediate {
		return m.updateRun(ctx, s, Cancelled, mode, "terminated")
	}
	return m.updateRun(ctx, s, Succeeded, mode, "drained")
}

// terminateForProgram ends a session whose program is being terminated.
func (m *Manager) terminateForProgram(s *ownedSession, mode budget.Termination) {
	record := s.recordCopy()
	if record.Phase.Terminal() || record.Termination.Escalate(mode) == record.Termination {
		return
	}
	if _, err := m.terminate(base.NewCtx(m.clock, m.bounds.Load().Recovery), s, mode); err != nil {
		m.counters.Add("session_end_failed", 1)
	}
}

// maintain does the periodic work for one session: it ends the Run when the lease
// has expired, deletes old operations and refusals, and copies the chain to the
// standby.
func (m *Manager) maintain(s *ownedSession) {
	now, bounds := m.clock.Now(), m.bounds.Load()
	s.mu.Lock()
	if s.lost || s.maintaining || s.record.Phase.Terminal() {
		s.mu.Unlock()
		return
	}
	if s.working {
		s.lastUsed = now
	}
	unused := now-s.lastUsed > 4*bounds.Retention && !s.working
	lease := time.Duration(s.record.LeaseMs) * time.Millisecond
	expired := lease > 0 && now-s.lastUsed > lease
	for id, op := range s.operations {
		if op.endedAt > 0 && now-op.endedAt > bounds.Retention {
			delete(s.operations, id)
		}
	}
	for id, outcome := range s.refusals {
		if now-outcome.recordedAt > RefusalRetention(bounds) {
			delete(s.refusals, id)
		}
	}
	member, alive := m.view.Find(s.record.Standby)
	standbyBehind := !alive || member.Leaving || s.standbyTurns[s.record.Standby] < uint64(len(s.turns))
	readyToFinalize := s.record.Phase == Finalizing && !s.working && len(s.queue) == 0
	s.maintaining = expired || standbyBehind || readyToFinalize || unused
	due := s.maintaining
	s.mu.Unlock()
	if !due {
		return
	}
	m.clock.Go(func() {
		ctx := base.NewCtx(m.clock, bounds.CoreCallTimeout())
		switch {
		case expired:
			m.counters.Add("leases_expired", 1)
			if m.updateRun(ctx, s, Failed, "", "lease_expired") == nil {
				m.cancelAll(s)
			}
		case unused:
			// The register deletes sessions that nothing can refer to any more.
			if _, err := m.changeRegister(ctx, s.program, "session.get", changeArgs{Session: s.recordCopy().ID}); base.IsCode(err, "unknown_session") {
				s.loseRun()
			}
		case readyToFinalize:
			_ = m.finalizeIfIdle(ctx, s)
		default:
			m.syncStandby(ctx, s)
		}
		s.mu.Lock()
		s.maintaining = false
		s.mu.Unlock()
	})
}
