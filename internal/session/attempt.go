package session

import (
	"encoding/json"
	"strconv"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/memory"
	"fordseam/internal/settings"
	"fordseam/internal/worker"
)

// turnPlan is what the attempts of a turn need, computed before the first is sent.
type turnPlan struct {
	route         *settings.Route
	messages      []json.RawMessage // the chain and the turn's own messages
	maxTokens     int64
	need          *worker.Requirements
	maxAttempts   int             // counted attempts
	fallbackRoute *settings.Route // nil when there is none or it is in use
}

// planTurn looks up the turn's route in the current settings and builds its prompt.
func (m *Manager) planTurn(s *ownedSession, op *operation) (*turnPlan, *base.RequestError) {
	messages, requestErr := s.prompt(op)
	if requestErr != nil {
		return nil, requestErr
	}
	tree := m.tree.Load()
	if tree == nil {
		return nil, base.Busy(503, "no_settings", 1, "no settings have been applied")
	}
	record := s.recordCopy()
	route, err := tree.Route(record.Group, record.Site, record.Route)
	if err != nil {
		return nil, base.ToRequestError(err)
	}
	plan := &turnPlan{route: route, messages: messages, maxTokens: route.MaxOutputTokens, maxAttempts: route.MaxAttempts}
	if op.request.MaxTokens > 0 {
		plan.maxTokens = min(plan.maxTokens, op.request.MaxTokens)
	}
	if route.Fallback != "" {
		plan.fallbackRoute, _ = tree.Route(record.Group, record.Site, route.Fallback)
	}
	s.mu.Lock()
	previousWorker := s.lastWorker
	s.mu.Unlock()
	plan.need = &worker.Requirements{Pool: route.Pool, AffinityKey: record.ID, LastWorker: previousWorker, Program: record.Program, Site: record.Group + "/" + record.Site,
		Urgency: record.Urgency, MaxQueue: route.MaxWaiting, Tried: map[string]bool{}, Policy: route.Policy}
	return plan, nil
}

// runTurn makes attempts of a turn until one succeeds, or until no other may
// follow. Before any piece is streamed another attempt may follow; after that a lost
// attempt ends the stream as cut.
func (m *Manager) runTurn(s *ownedSession, op *operation) (OperationState, *base.RequestError) {
	if err := m.revalidate(base.NewCtx(m.clock, m.bounds.Load().Recovery), s); err != nil {
		return OpFailed, base.ToRequestError(err)
	}
	plan, requestErr := m.planTurn(s, op)
	if requestErr != nil {
		return OpFailed, requestErr
	}
	ran := base.NotRun
	for attempt := 1; ; {
		ctx := base.NewCtx(m.clock, max(0, op.deadline-m.clock.Now()))
		switch {
		case op.cancelled.Fired():
			return OpCancelled, &base.RequestError{Status: 409, Code: "cancelled", Message: "the turn was cancelled", Execution: ran}
		case ctx.Expired():
			return OpTimedOut, &base.RequestError{Status: 504, Code: "timed_out", Message: "the turn exceeded its time limit", Execution: ran}
		}
		outcome := m.runAttempt(ctx, s, op, plan)
		if outcome.requestErr == nil {
			return OpSucceeded, nil
		}
		if outcome.requestErr.Code == "stale_assignment" {
			return OpFailed, outcome.requestErr
		}
		if outcome.requestErr.Execution != base.NotRun {
			ran = base.MayHaveRun
		} else if ran != base.NotRun {
			outcome.requestErr = afterLostAttempt(outcome.requestErr)
		}
		if op.stream.pieceCount() > 0 {
			outcome.requestErr.Code = "cut"
			return m.failureState(op, ctx), outcome.requestErr
		}
		if outcome.retry == noRetry {
			return m.failureState(op, ctx), outcome.requestErr
		}
		if outcome.retry == countedRetry {
			if !m.takeRetry() {
				m.counters.Add("legs_not_repeated", 1)
				return m.failureState(op, ctx), outcome.requestErr
			}
			attempt++
			m.counters.Add("legs_repeated", 1)
		}
		if attempt > plan.maxAttempts {
			return m.failureState(op, ctx), outcome.requestErr
		}
	}
}

// afterLostAttempt returns the error for a turn that can have no other attempt
// after one whose outcome is unknown. It is never a refusal, whatever prevented the
// other attempt, because the turn may have run.
func afterLostAttempt(refused *base.RequestError) *base.RequestError {
	requestErr := base.Indeterminate(502, "worker_lost", "an earlier attempt of this turn was lost and no other can be made: %s", refused.Message)
	requestErr.RetryAfter = refused.RetryAfter
	return requestErr
}

// Retries of attempts are a bounded share of all attempts on this node, so that
// retries don't overload workers in trouble. Each attempt sent earns retryShare of a
// retry, up to maxRetryCredit in store.
const (
	retryShare     = 0.1
	maxRetryCredit = 10
)

// earnRetry adds one sent attempt's share to the retry credit.
func (m *Manager) earnRetry() {
	m.mu.Lock()
	m.retryCredit = min(maxRetryCredit, m.retryCredit+retryShare)
	m.mu.Unlock()
}

// takeRetry uses up credit for one retry and reports whether there was any.
func (m *Manager) takeRetry() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.retryCredit < 1 {
		return false
	}
	m.retryCredit--
	return true
}

// failureState returns the state of a turn that did not succeed.
func (m *Manager) failureState(op *operation, ctx *base.Ctx) OperationState {
	switch {
	case op.cancelled.Fired():
		return OpCancelled
	case ctx.Expired():
		return OpTimedOut
	}
	return OpFailed
}

// retryDecision says whether another attempt may follow a failed one.
type retryDecision int

const (
	noRetry        retryDecision = iota // no other attempt
	countedRetry                        // another attempt, counted
	uncountedRetry                      // another attempt at another worker, not counted: this one did not run
)

// attemptOutcome is the result of one attempt; requestErr is nil on success.
type attemptOutcome struct {
	requestErr *base.RequestError
	retry      retryDecision
}

// runAttempt makes one attempt at a worker. It reserves the tokens durably, checks the
// node's feed lease once more, and only then sends the request; events are passed on as
// they arrive. Success needs the worker's finish reason and end marker and the turn
// stored on a majority of disks; the turn is also offered to the standby by then.
func (m *Manager) runAttempt(ctx *base.Ctx, s *ownedSession, op *operation, plan *turnPlan) attemptOutcome {
	var cleanup base.Cleanup
	defer cleanup.Run()
	chosenWorker, err := m.picker.Acquire(ctx, plan.need)
	if err != nil {
		if plan.fallbackRoute != nil && base.IsCode(err, "no_worker") {
			plan.route, plan.need.Pool, plan.fallbackRoute = plan.fallbackRoute, plan.fallbackRoute.Pool, nil
			return attemptOutcome{base.ToRequestError(err), uncountedRetry}
		}
		return attemptOutcome{base.ToRequestError(err), noRetry}
	}
	heldSince := m.clock.Now()
	cleanup.Push(func() { m.picker.Release(chosenWorker, plan.need, m.clock.Now()-heldSince) })
	record := s.recordCopy()
	s.mu.Lock()
	s.lastAttempt++
	attemptNumber := s.lastAttempt
	s.mu.Unlock()
	attemptID := record.Run + "/" + op.id + "/" + strconv.FormatUint(attemptNumber, 10)
	reserveCtx := base.NewCtx(m.clock, max(ctx.Remaining(), m.bounds.Load().CoreCallTimeout()))
	result, err := m.changeRegister(reserveCtx, record.Program, "session.reserve", changeArgs{Session: record.ID, Run: record.Run, Attempt: attemptID, AttemptNumber: attemptNumber, Tokens: plan.maxTokens})
	if err != nil {
		requestErr := base.ToRequestError(err)
		if requestErr.Execution != base.NotRun {
			// The reservation may exist and then counts as spent; the request was not sent.
			requestErr = base.Busy(503, "budget_unconfirmed", 1, "the token reservation could not be confirmed in time")
		}
		return attemptOutcome{requestErr, noRetry}
	}
	settle := func(used int64) {
		result, err := m.changeRegister(base.NewCtx(m.clock, m.bounds.Load().Recovery), record.Program, "session.settle",
			changeArgs{Session: record.ID, Run: record.Run, Attempt: attemptID, Tokens: used})
		if err != nil {
			m.counters.Add("settles_lost", 1)
			return
		}
		s.updateRecord(result.Record)
	}
	if err := m.confirmOwnership(ctx, s, record.Run); err != nil {
		settle(0)
		return attemptOutcome{base.ToRequestError(err), noRetry}
	}
	if !m.picker.StillEligible(chosenWorker, plan.need) {
		settle(0)
		m.counters.Add("legs_turned_back", 1)
		return attemptOutcome{base.Busy(503, "worker_leaving", 1, "the worker is shutting down"), uncountedRetry}
	}
	m.counters.Add("legs_sent", 1)
	m.earnRetry()
	lease := m.memory.NewAnswerLease()
	cleanup.Push(lease.Close)
	completion := newCompletionRequest(plan, result.GrantedTokens)
	completion.Memory = memory.WaitingLease{Lease: lease, Timeout: memory.AnswerWait}
	reply, err := m.backends.Call(ctx, chosenWorker.Addr, completion)
	if err != nil {
		plan.need.Tried[chosenWorker.ID] = true
		if base.WasNotSent(err) {
			m.picker.Avoid(chosenWorker.ID)
			m.counters.Add("legs_not_sent", 1)
			settle(0)
			return attemptOutcome{base.Busy(503, "worker_unreachable", 1, "no worker could be reached"), uncountedRetry}
		}
		m.picker.ReportFailure(ctx, chosenWorker.ID)
		settle(-1)
		return attemptOutcome{base.Indeterminate(502, "worker_lost", "the worker's response was lost"), countedRetry}
	}
	cleanup.Push(reply.Close)
	if reply.Status() != 200 {
		return m.handleRefusal(s, plan, chosenWorker, reply, settle)
	}
	if m.picker.ObserveResponse(chosenWorker, reply.ClosesConnection()) {
		m.MarkWorkerLeaving(chosenWorker)
	}
	s.setAbort(op, reply.Close)
	cleanup.Push(func() { s.setAbort(op, nil) })
	if !op.stream.begin(attemptID) {
		settle(-1)
		return attemptOutcome{staleAssignment(), noRetry}
	}
	output, requestErr := m.receive(ctx, op, reply, newAnswerBounds(result.GrantedTokens, lease))
	if requestErr != nil {
		plan.need.Tried[chosenWorker.ID] = true
		if !op.cancelled.Fired() && requestErr.Code != "memory_short" {
			m.picker.ReportFailure(ctx, chosenWorker.ID)
		}
		settle(-1)
		if op.cancelled.Fired() {
			requestErr = base.Indeterminate(409, "cancelled", "the turn was cancelled while it ran")
			return attemptOutcome{requestErr, noRetry}
		}
		return attemptOutcome{requestErr, countedRetry}
	}
	m.picker.ReportSuccess(chosenWorker.ID)
	s.mu.Lock()
	s.lastWorker = chosenWorker.ID
	s.mu.Unlock()
	turn := &Turn{ID: op.id, Previous: op.request.Previous, Digest: op.digest, Messages: op.request.Messages, Pieces: output.pieces,
		Attempt: attemptID, FinishReason: output.finishReason, OutputTokens: output.tokens, Worker: chosenWorker.ID}
	return m.commitTurn(s, op, record, turn)
}

// confirmOwnership is the last check before an attempt is sent: the node's feed
// lease by the monotonic clock, and the register's record if the lease expired
// meanwhile.
func (m *Manager) confirmOwnership(ctx *base.Ctx, s *ownedSession, run string) error {
	if err := m.follower.WaitForLease(ctx); err != nil {
		return err
	}
	if err := m.revalidate(ctx, s); err != nil {
		return err
	}
	if !s.isCurrentRun(run) {
		return staleAssignment()
	}
	return nil
}

// handleRefusal handles a worker's response other than 200. With 503 a worker says
// that it is shutting down; 429 and 503 say that nothing ran.
func (m *Manager) handleRefusal(s *ownedSession, plan *turnPlan, chosen *worker.Worker, reply base.BackendReply, settle func(int64)) attemptOutcome {
	plan.need.Tried[chosen.ID] = reply.Status() != 429
	switch status := reply.Status(); {
	case status == 503:
		m.MarkWorkerLeaving(chosen)
		settle(0)
		return attemptOutcome{base.Busy(503, "worker_leaving", 1, "the worker is shutting down"), uncountedRetry}
	case status == 429:
		m.picker.Avoid(chosen.ID)
		settle(0)
		return attemptOutcome{base.Busy(429, "worker_busy", 1, "the worker is busy"), uncountedRetry}
	case status >= 400 && status < 500:
		settle(0)
		return attemptOutcome{base.Decline(502, "worker_refused", "the worker rejected the prompt with status %d", status), noRetry}
	default:
		settle(-1)
		return attemptOutcome{base.Indeterminate(502, "worker_failed", "the worker failed with status %d", status), countedRetry}
	}
}

// MarkWorkerLeaving handles a worker's own sign that it is shutting down: this node
// sends it no new work from now on, and the others once they receive the notice.
func (m *Manager) MarkWorkerLeaving(chosen *worker.Worker) {
	m.picker.MarkLeaving(chosen)
	m.counters.Add("workers_seen_leaving", 1)
	incarnation := m.picker.Incarnation(chosen)
	m.clock.Go(func() {
		_ = m.workers.SubmitNotice(base.NewCtx(m.clock, m.bounds.Load().Drain), worker.Notice{Worker: chosen.ID, Incarnation: incarnation, Leaving: true, Source: "refusal"})
	})
}

// commitTurn stores an answered turn on a majority of disks, with its budget settled
// in the same change, copies it to the standby meanwhile, and ends the stream.
func (m *Manager) commitTurn(s *ownedSession, op *operation, record *Record, turn *Turn) attemptOutcome {
	s.mu.Lock()
	turn.Number = uint64(len(s.turns)) + 1
	s.mu.Unlock()
	copied := m.clock.NewSignal()
	m.clock.Go(func() {
		m.offerToStandby(s, record, turn)
		copied.Fire()
	})
	result, err := m.changeRegister(base.NewCtx(m.clock, m.bounds.Load().Recovery), record.Program, "session.finish",
		changeArgs{Session: record.ID, Run: record.Run, Attempt: turn.Attempt, Tokens: turn.OutputTokens, Turn: turn})
	if err != nil {
		requestErr := base.ToRequestError(err)
		s.mu.Lock()
		s.uncertainAttempt = turn.Attempt
		s.mu.Unlock()
		if requestErr.Code == "stale_assignment" {
			return attemptOutcome{requestErr, noRetry}
		}
		return attemptOutcome{base.Indeterminate(502, "cut", "the answer could not be stored: %s", requestErr.Message), noRetry}
	}
	copied.Wait(m.bounds.Load().HeartbeatInterval() * 2)
	s.updateRecord(result.Record)
	s.mu.Lock()
	turn.FinishedAt = result.Record.LastTurnAt
	if s.completedTurn(turn.ID) == nil { // revalidate may have reloaded the chain meanwhile
		s.turns = append(s.turns, *turn)
	}
	op.state, op.endedAt = OpSucceeded, m.clock.Now()
	s.mu.Unlock()
	m.counters.Add("turns_succeeded", 1)
	op.stream.finish(&Final{Outcome: "success", Ran: base.DidRun, Turn: op.id, Run: record.Run, FinishReason: turn.FinishReason, OutputTokens: turn.OutputTokens})
	return attemptOutcome{}
}

// offerToStandby sends one turn to the standby; syncStandby fills any gap later.
func (m *Manager) offerToStandby(s *ownedSession, record *Record, turn *Turn) {
	member, alive := m.view.Find(record.Standby)
	if !alive {
		m.counters.Add("offers_missed", 1)
		return
	}
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.httpClient).Offer(base.NewCtx(m.clock, m.bounds.Load().HeartbeatInterval()*2),
		&OfferRequest{Session: record.ID, Assignment: record.assignment(), Turns: turn.Number, Turn: base.MustMarshal(turn)})
	if err != nil {
		m.counters.Add("offers_missed", 1)
		return
	}
	s.mu.Lock()
	s.standbyTurns[record.Standby] = min(reply.Turns, turn.Number)
	s.mu.Unlock()
}

// ProgramTermination returns the termination that was requested of a program, as far
// as this node knows from the feed.
func (m *Manager) ProgramTermination(program string) budget.Termination {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.terminations[program]
}
