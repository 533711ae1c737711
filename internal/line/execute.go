package line

import (
	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/route"
	"fordseam/internal/session"
)

// runTurn runs one turn: it claims the session and loads the chain from the ledger,
// sends the turn to a worker, and stores or settles the result. It returns true when
// another node owns the session.
func (m *Manager) runTurn(s *ownedSession, op *operation, replaces *Assignment, onClaim func(*Assignment)) (ownerChanged bool) {
	call, ctx := op.call, op.ctx
	if op.isCancelled() || ctx.Expired() {
		onClaim(nil)
		op.stream.fail(base.Decline(408, "cancelled", "the turn was cancelled or timed out before it ran"))
		return false
	}
	op.state = session.OpRunning
	input := m.prepareInput(op)
	defer input.discard()
	result, err := m.claim(s, op, replaces)
	if err != nil {
		onClaim(nil)
		op.stream.fail(base.ToRequestError(err))
		return false
	}
	if !result.Granted {
		if op.forwarded {
			onClaim(nil)
			op.stream.fail(base.Decline(409, "stale_assignment", "the session is assigned to another Run"))
			return true
		}
		m.mu.Lock()
		m.remoteOwners[sessionKey(call)] = result.Assignment
		m.mu.Unlock()
		m.remove(s)
		onClaim(result.Assignment)
		return true
	}
	onClaim(nil)
	input.ready.Wait(max(0, ctx.Remaining()))
	inputErr := m.retrySoon("history_late", "the conversation's history could not be loaded in time")
	if input.ready.Fired() {
		inputErr = input.err
	}
	if inputErr == nil {
		inputErr = op.reserveCommit(input)
	}
	if inputErr != nil {
		m.settle(s, op, 0)
		op.stream.fail(inputErr)
		return false
	}
	m.sendToWorker(s, op, input.body)
	return false
}

// claim claims the assignment and the turn's tokens in the ledger. When the session's
// owner is gone, it replaces that Run with a new one.
func (m *Manager) claim(s *ownedSession, op *operation, replaces *Assignment) (*ClaimResult, error) {
	s.mu.Lock()
	assignment, confirmed := s.assignment, s.confirmed
	s.mu.Unlock()
	call := op.call
	claim := &Claim{Program: call.Program, Session: call.Session, Turn: call.ID, MaxTokens: int64(call.MaxOutputTokens), Budget: call.TokenBudget, HasBudget: call.HasTokenBudget, Owner: m.nodeID(), Previous: call.PreviousTurn, Retain: op.route.SpendRetention(), Replaces: replaces}
	if op.route.RetainTurns {
		claim.InputBytes = len(call.Body)
	}
	if assignment != nil {
		claim.Run, claim.Epoch, claim.Confirmed, claim.Replaces = assignment.Run, assignment.Epoch, confirmed, nil
	} else {
		claim.Run, claim.Epoch = base.NewID(m.Clock, "run-"), 1
		if replaces != nil {
			claim.Epoch = replaces.Epoch + 1
		}
	}
	for takeovers := 0; ; takeovers++ {
		result, err := m.Ledger.Begin(op.ctx, claim)
		if err != nil || result.Granted {
			s.mu.Lock()
			switch {
			case err == nil:
				s.assignment, s.confirmed = result.Assignment, true
				if s.phase == session.Pending {
					s.phase = session.Ready
				}
			case s.assignment == nil:
				// The claim may be in the ledger, so the next turn repeats the same one.
				s.assignment = &Assignment{Run: claim.Run, Owner: claim.Owner, Epoch: claim.Epoch}
			}
			s.mu.Unlock()
			return result, err
		}
		if op.forwarded && replaces != nil {
			return result, nil // the sender asks the ledger for the current assignment
		}
		// Another Run has the session. It is replaced when its owner is gone or leaving,
		// or when it is a Run of this node that this node has dropped.
		current := result.Assignment
		member, alive := m.View.Find(current.Owner)
		ownerUnavailable := member == nil || !alive || member.Leaving || current.Owner == m.nodeID()
		if !ownerUnavailable || takeovers > 2 {
			return result, nil
		}
		m.Counters.Add("runs_succeeded", 1)
		claim.Replaces, claim.Epoch, claim.Run, claim.Confirmed = current, current.Epoch+1, base.NewID(m.Clock, "run-"), false
	}
}

// settle reports to the ledger in the background how many tokens a turn delivered whose
// answer is not stored there. Until then the turn counts with its maximum. It retries
// for as long as the recovery bound.
func (m *Manager) settle(s *ownedSession, op *operation, tokens int64) {
	s.mu.Lock()
	assignment := s.assignment
	s.mu.Unlock()
	if !op.call.HasTokenBudget || assignment == nil {
		return
	}
	settlement := &Settlement{Program: op.call.Program, Run: assignment.Run, Turn: op.call.ID, Tokens: tokens, Retain: op.route.SpendRetention()}
	m.pendingSettlements.Add(1)
	m.Clock.Go(func() {
		defer m.pendingSettlements.Add(-1)
		recoverBound := m.Bounds.Load().Recovery
		for end := m.Clock.Now() + recoverBound; m.Clock.Now() < end; m.Clock.Sleep(recoverBound / 48) {
			if m.Ledger.Settle(base.NewCtx(m.Clock, recoverBound/6), settlement) == nil {
				return
			}
		}
		m.Counters.Add("settles_lost", 1)
	})
}

// sendToWorker sends the turn to a worker, passes its events on, and stores or settles
// the result.
func (m *Manager) sendToWorker(s *ownedSession, op *operation, body []byte) {
	call, ctx, matched := op.call, op.ctx, op.route
	service := matched.PickService(m.servicePicker(matched, call))
	reply, err := m.Workers.Send(ctx, matched, service, call, body)
	if err != nil {
		requestErr := base.ToRequestError(err)
		delivered := int64(0)
		op.state = session.OpFailed
		m.settle(s, op, delivered)
		op.stream.fail(requestErr)
		return
	}
	defer reply.Close()
	if !op.setReply(reply) {
		m.settle(s, op, 0)
		op.state = session.OpCancelled
		op.stream.fail(base.Indeterminate(502, "cancelled", "the turn was cancelled"))
		return
	}
	if !reply.IsStream() {
		m.settle(s, op, 0)
		op.state = session.OpFailed
		m.relayPlain(op, reply)
		return
	}
	output := m.newOutput(op)
	defer output.release()
	events, complete := m.relayEvents(op, reply, output)
	tokens := events * service.TokensPerEvent()
	if !complete {
		m.settle(s, op, tokens)
		op.state = session.OpFailed
		m.Counters.Add("turns_cut", 1)
		op.stream.fail(base.Indeterminate(502, "cut", "the worker's answer ended before it was complete"))
		return
	}
	if !matched.RetainTurns {
		m.settle(s, op, tokens)
		m.finishTurn(op)
		return
	}
	m.commit(s, op, output.collected(), tokens)
}

// finishTurn ends a turn that was answered completely.
func (m *Manager) finishTurn(op *operation) {
	op.state = session.OpSucceeded
	m.Counters.Add("turns_whole", 1)
	op.stream.finish()
}

// servicePicker returns the function that draws the number by which a route's service
// is picked: the same for a whole session when the route is pinned or retains its
// turns, or else a random one for each call.
func (m *Manager) servicePicker(matched *route.Route, call *relay.Call) func(n int64) int64 {
	if matched.Pinned || matched.RetainTurns {
		return func(n int64) int64 { return int64(base.Hash64(call.Session) % uint64(n)) }
	}
	return m.Clock.Int64N
}

// relayEvents adds each event to the stream as it arrives, and its data to the output. It
// returns the number of events, and whether the answer came to a clean end.
func (m *Manager) relayEvents(op *operation, reply Reply, output *turnOutput) (events int64, complete bool) {
	op.stream.setHead(&Head{Status: reply.Status(), Headers: reply.Headers()})
	for {
		event, err := reply.Event(op.ctx.Remaining())
		if err != nil {
			return events, isEOF(err) && !op.isCancelled()
		}
		if event.Data != nil {
			if output.add(event.Data) != nil {
				failIfLarge(reply, len(output.collected())+len(event.Data))
				return events, false
			}
			events++
		}
		if err := op.stream.add(op.ctx, event.Raw); err != nil {
			if memory.IsShortage(err) {
				failIfLarge(reply, len(event.Raw))
			}
			return events, false
		}
	}
}

// failIfLarge ends a reply that did not fit into the memory as a failure of its worker if it takes
// much of it.
func failIfLarge(reply Reply, bytes int) {
	if bytes > memory.SmallBytes {
		reply.Fail()
	}
}

// PassThrough sends a streamed call that is not a turn to a worker.
func (m *Manager) PassThrough(ctx *base.Ctx, matched *route.Route, call *relay.Call) *Stream {
	op := &operation{call: call, ctx: ctx, state: session.OpRunning}
	op.stream = newStream(m.Clock, m.Memory, op.cancel)
	m.Clock.Go(func() {
		reply, err := m.Workers.Send(ctx, matched, matched.PickService(m.Clock.Int64N), call, call.Body)
		if err != nil {
			op.stream.fail(base.ToRequestError(err))
			return
		}
		defer reply.Close()
		switch {
		case !op.setReply(reply):
			op.stream.fail(base.Indeterminate(502, "cancelled", "the call was cancelled"))
		case !reply.IsStream():
			m.relayPlain(op, reply)
		default:
			if _, complete := m.relayEvents(op, reply, nil); !complete {
				op.stream.fail(base.Indeterminate(502, "cut", "the worker's answer ended before it was complete"))
				return
			}
			op.stream.finish()
		}
	})
	return op.stream
}

// commit stores a completed turn in the ledger, and ends the stream only after that.
func (m *Manager) commit(s *ownedSession, op *operation, output []byte, tokens int64) {
	call := op.call
	s.mu.Lock()
	assignment := s.assignment
	s.mu.Unlock()
	turn := CompletedTurn{Turn: call.ID, Previous: call.PreviousTurn, Input: call.Body, Output: output}
	completion := &Completion{Program: call.Program, Session: call.Session, Run: assignment.Run, Owner: assignment.Owner, Epoch: assignment.Epoch, CompletedTurn: turn, Budgeted: call.HasTokenBudget, Tokens: tokens, Retain: op.route.Retention}
	ctx := base.NewCtx(m.Clock, m.commitTimeout(op.ctx.Remaining()))
	if err := m.Ledger.Finish(ctx, completion); err != nil {
		m.Counters.Add("turns_not_kept", 1)
		m.settle(s, op, tokens)
		op.state = session.OpFailed
		op.stream.fail(base.ToRequestError(err))
		return
	}
	m.history.add(turn, op.route.Retention)
	m.finishTurn(op)
}

// relayPlain passes on a response that is not a stream.
func (m *Manager) relayPlain(op *operation, reply Reply) {
	body, err := reply.Body(op.ctx.Remaining())
	if err != nil {
		op.stream.fail(base.Indeterminate(502, "worker_cut", "the worker's answer ended before it was complete"))
		return
	}
	op.stream.setHead(&Head{Status: reply.Status(), Headers: reply.Headers()})
	op.stream.addWhole(body, reply.TakeMemory())
	op.stream.finish()
}
