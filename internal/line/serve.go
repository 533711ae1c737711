// A turn under way: its claim and its chain from the ledger, the attempt at a worker,
// and what is kept of it.

package line

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"
	"fordseam/internal/session"
)

// operate carries one turn out: claim, chain, worker, ledger.
func (k *Manager) operate(h *held, op *operation, after *Assignment, told func(*Assignment)) (moved bool) {
	call, ctx := op.call, op.ctx
	table := k.Routes.Load()
	matched := table.Match(call.Host, call.Target)
	if matched == nil {
		told(nil)
		op.stream.fail(base.Decline(404, "no_route", "no route takes this request"))
		return false
	}
	if op.isCancelled() || ctx.Over() {
		told(nil)
		op.stream.fail(base.Decline(408, "cancelled", "the turn was given up before it ran"))
		return false
	}
	op.state = session.OpRunning
	chained := k.Clock.NewSignal()
	var chain []byte
	var lost error
	if call.PreviousTurn == "" || !matched.RetainTurns {
		chained.Fire()
	} else if body, ok := k.history.chain(call.PreviousTurn); ok {
		chain = body
		chained.Fire()
	} else {
		k.Clock.Go(func() {
			chain, lost = k.recall(ctx, call.Program, call.PreviousTurn, matched.Retention)
			chained.Fire()
		})
	}
	op.keep = k.keepFor(table, matched)
	claimed, err := k.claim(h, op, after)
	if err != nil {
		told(nil)
		op.stream.fail(base.FromWire(err))
		return false
	}
	if !claimed.Granted {
		if op.marked {
			told(nil)
			op.stream.fail(base.Decline(409, "stale_assignment", "the session is assigned to another Run"))
			return true
		}
		k.mu.Lock()
		k.elsewhere[lineOf(call)] = claimed.Assignment
		k.mu.Unlock()
		k.drop(h)
		told(claimed.Assignment)
		return true
	}
	told(nil)
	chained.Wait(max(0, ctx.Left()))
	if lost == nil && !chained.Fired() {
		lost = k.soon("history_late", "the conversation's history did not come in time")
	}
	if lost != nil {
		k.settle(h, op, 0)
		op.stream.fail(base.FromWire(lost))
		return false
	}
	k.serve(h, op, matched, chain)
	return false
}

// claim asks the ledger for the assignment and the turn's tokens.
func (k *Manager) claim(h *held, op *operation, after *Assignment) (*ClaimResult, error) {
	h.mu.Lock()
	assignment, confirmed := h.assignment, h.confirmed
	h.mu.Unlock()
	call := op.call
	asked := &Claim{Program: call.Program, Session: call.Session, Turn: call.ID, MaxTokens: int64(call.MaxOutputTokens), Budget: call.TokenBudget, HasBudget: call.HasTokenBudget, Owner: k.me(), Previous: call.PreviousTurn, Retain: op.keep, Replaces: after}
	if assignment != nil {
		asked.Run, asked.Epoch, asked.Confirmed, asked.Replaces = assignment.Run, assignment.Epoch, confirmed, nil
	} else {
		asked.Run, asked.Epoch = base.NewID(k.Clock, "run-"), 1
		if after != nil {
			asked.Epoch = after.Epoch + 1
		}
	}
	for tries := 0; ; tries++ {
		claimed, err := k.Ledger.Begin(op.ctx, asked)
		if err != nil || claimed.Granted {
			h.mu.Lock()
			switch {
			case err == nil:
				h.assignment, h.confirmed = claimed.Assignment, true
				if h.phase == session.Pending {
					h.phase = session.Ready
				}
			case h.assignment == nil:
				// The claim may be in the ledger; the next turn claims by the same.
				h.assignment = &Assignment{Run: asked.Run, Owner: asked.Owner, Epoch: asked.Epoch}
			}
			h.mu.Unlock()
			return claimed, err
		}
		// Another has it: it is succeeded when it is gone, or was a former life
		// of this node or a Run that this node has let go.
		other := claimed.Assignment
		member, alive := k.View.Find(other.Owner)
		lost := member == nil || !alive || member.Leaving || other.Owner == k.me()
		if !lost || tries > 2 {
			return claimed, nil
		}
		k.Counters.Add("runs_succeeded", 1)
		asked.Replaces, asked.Epoch, asked.Run, asked.Confirmed = other, other.Epoch+1, base.NewID(k.Clock, "run-"), false
	}
}

// recall brings a chain back from the ledger.
func (k *Manager) recall(ctx *base.Ctx, program, turn string, retain time.Duration) ([]byte, error) {
	k.Counters.Add("chains_recalled", 1)
	turns, err := k.Ledger.Chain(ctx, program, turn)
	if err != nil {
		return nil, err
	}
	for _, one := range turns {
		k.history.keep(one, retain)
	}
	body, ok := k.history.chain(turn)
	if !ok { // there is no room to remember it
		body = joined(turns)
	}
	return body, nil
}

// settle tells the ledger in its own time what a turn handed out that is not
// kept there. Until then the turn counts at its most.
func (k *Manager) settle(h *held, op *operation, tokens int64) {
	h.mu.Lock()
	assignment := h.assignment
	h.mu.Unlock()
	if !op.call.HasTokenBudget || assignment == nil {
		return
	}
	settled := &Settlement{Program: op.call.Program, Run: assignment.Run, Turn: op.call.ID, Tokens: tokens, Retain: op.keep}
	k.settling.Add(1)
	k.Clock.Go(func() {
		defer k.settling.Add(-1)
		recover := k.Bounds.Load().Recover
		for end := k.Clock.Now() + recover; k.Clock.Now() < end; k.Clock.Sleep(recover / 48) {
			if k.Ledger.Settle(base.NewCtx(k.Clock, recover/6), settled) == nil {
				return
			}
		}
		k.Counters.Add("settles_lost", 1)
	})
}

// serve sends the turn to a worker and passes its events on.
func (k *Manager) serve(h *held, op *operation, matched *route.Route, chain []byte) {
	call, ctx := op.call, op.ctx
	body := call.Body
	if len(chain) > 0 {
		body = append(append(make([]byte, 0, len(chain)+len(call.Body)), chain...), call.Body...)
	}
	service := matched.PickService(k.homeOf(matched, call))
	reply, err := k.Workers.Send(ctx, matched, service, call, body)
	if err != nil {
		v := base.FromWire(err)
		handed := int64(0)
		op.state = session.OpFailed
		k.settle(h, op, handed)
		op.stream.fail(v)
		return
	}
	defer reply.Close()
	if !op.attach(reply) {
		k.settle(h, op, 0)
		op.state = session.OpCancelled
		op.stream.fail(base.Unsure(502, "cancelled", "the turn was given up"))
		return
	}
	if !reply.IsStream() {
		k.settle(h, op, 0)
		op.state = session.OpFailed
		k.answerPlain(op, reply)
		return
	}
	stride := int64(1)
	if known := k.Routes.Load().Services[service]; known != nil && known.Engine != nil {
		stride = int64(max(1, known.Engine.TokensPerEvent))
	}
	output, events, whole := k.passOn(op, reply)
	if !whole {
		k.settle(h, op, events*stride)
		op.state = session.OpFailed
		k.Counters.Add("turns_cut", 1)
		op.stream.fail(base.Unsure(502, "cut", "the worker's answer was cut short"))
		return
	}
	if !matched.RetainTurns {
		k.settle(h, op, events*stride)
		k.succeed(op)
		return
	}
	k.keep(h, op, matched, output, events*stride)
}

// succeed ends a turn that was answered whole.
func (k *Manager) succeed(op *operation) {
	op.state = session.OpSucceeded
	k.Counters.Add("turns_whole", 1)
	op.stream.finish()
}

// keepFor is how long a program's spending is kept after a turn: the route's own
// time, or where that is not given the longest that any route names. The ledger
// keeps it for twice the recovery bound at least.
func (k *Manager) keepFor(table *route.Table, matched *route.Route) time.Duration {
	if matched.Retention > 0 {
		return matched.Retention
	}
	return table.MaxRetention()
}

// homeOf draws the service of a route's call: the same for a whole session where
// the route asks for that or keeps its turns, else anew for each.
func (k *Manager) homeOf(matched *route.Route, call *relay.Call) func(n int64) int64 {
	if matched.Pinned || matched.RetainTurns {
		return func(n int64) int64 { return int64(base.Hash64(call.Session) % uint64(n)) }
	}
	return k.Clock.Int64N
}

// passOn gives each event to the reader as it comes.
func (k *Manager) passOn(op *operation, reply Reply) (output []byte, events int64, whole bool) {
	op.stream.open(&Head{Status: reply.Status(), Headers: reply.Headers()})
	for {
		event, err := reply.Event(op.ctx.Left())
		if err != nil {
			return output, events, isEnd(err) && !op.isCancelled()
		}
		if event.Data != nil {
			events++
			output = append(append(output, event.Data...), '\n')
		}
		op.stream.put(event.Raw)
	}
}

// PassThrough takes a streamed call that belongs to no line to a worker.
func (k *Manager) PassThrough(ctx *base.Ctx, matched *route.Route, call *relay.Call) *Stream {
	op := &operation{call: call, ctx: ctx, state: session.OpRunning}
	op.stream = newStream(k.Clock, op.cancel)
	k.Clock.Go(func() {
		reply, err := k.Workers.Send(ctx, matched, matched.PickService(k.Clock.Int64N), call, call.Body)
		if err != nil {
			op.stream.fail(base.FromWire(err))
			return
		}
		defer reply.Close()
		switch {
		case !op.attach(reply):
			op.stream.fail(base.Unsure(502, "cancelled", "the call was given up"))
		case !reply.IsStream():
			k.answerPlain(op, reply)
		default:
			if _, _, whole := k.passOn(op, reply); !whole {
				op.stream.fail(base.Unsure(502, "cut", "the worker's answer was cut short"))
				return
			}
			op.stream.finish()
		}
	})
	return op.stream
}

// keep makes the turn whole: the end of the answer waits for the ledger.
func (k *Manager) keep(h *held, op *operation, matched *route.Route, output []byte, tokens int64) {
	call := op.call
	h.mu.Lock()
	assignment := h.assignment
	h.mu.Unlock()
	kept := CompletedTurn{Turn: call.ID, Previous: call.PreviousTurn, Input: call.Body, Output: output}
	ending := &Completion{Program: call.Program, Session: call.Session, Run: assignment.Run, Owner: assignment.Owner, Epoch: assignment.Epoch, CompletedTurn: kept, Budgeted: call.HasTokenBudget, Tokens: tokens, Retain: matched.Retention}
	ctx := base.NewCtx(k.Clock, k.keepLimit(op.ctx.Left()))
	if err := k.Ledger.Finish(ctx, ending); err != nil {
		k.Counters.Add("turns_not_kept", 1)
		k.settle(h, op, tokens)
		op.state = session.OpFailed
		op.stream.fail(base.FromWire(err))
		return
	}
	k.history.keep(kept, matched.Retention)
	k.succeed(op)
}

// answerPlain passes an answer on that is no stream.
func (k *Manager) answerPlain(op *operation, reply Reply) {
	body, err := reply.Body(op.ctx.Left())
	if err != nil {
		op.stream.fail(base.Unsure(502, "worker_cut", "the worker's answer was cut short"))
		return
	}
	op.stream.open(&Head{Status: reply.Status(), Headers: reply.Headers()})
	op.stream.put(body)
	op.stream.finish()
}
