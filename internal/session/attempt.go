// Turns and their attempts. A turn is accepted once by its Turn-Id; the same id
// again joins it or replays its answer. An attempt reserves its tokens durably,
// checks the permit once more, and only then goes out; what it streams is
// passed on piece by piece. Before any piece is out another attempt may follow;
// after that a lost attempt ends the stream as cut. Success needs the worker's
// finish reason and its end mark, the chain on a majority, and the offer to
// the understudy.

package session

import (
	"encoding/json"
	"strconv"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/settings"
	"fordseam/internal/worker"
)

// plan is all that a turn's attempts need, made before any goes out.
type plan struct {
	route    *settings.Route
	chain    []json.RawMessage
	wanted   int64
	need     *worker.Requirements
	attempts int
	fallback *settings.Route
}

func (k *Manager) planTurn(h *held, op *operation) (*plan, *base.Verdict) {
	chain, verdict := h.prompt(op)
	if verdict != nil {
		return nil, verdict
	}
	tree := k.tree.Load()
	if tree == nil {
		return nil, base.Busy(503, "no_settings", 1, "no settings have been applied")
	}
	record := h.snapshot()
	route, err := tree.Route(record.Group, record.Site, record.Route)
	if err != nil {
		return nil, base.FromWire(err)
	}
	made := &plan{route: route, chain: chain, wanted: route.MaxOutputTokens, attempts: route.MaxAttempts}
	if op.visit.MaxTokens > 0 {
		made.wanted = min(made.wanted, op.visit.MaxTokens)
	}
	if route.Fallback != "" {
		made.fallback, _ = tree.Route(record.Group, record.Site, route.Fallback)
	}
	h.mu.Lock()
	former := h.worker
	h.mu.Unlock()
	made.need = &worker.Requirements{Pool: route.Pool, AffinityKey: record.ID, LastWorker: former, Program: record.Program, Site: record.Group + "/" + record.Site,
		Urgency: record.Urgency, MaxQueue: route.MaxWaiting, Tried: map[string]bool{}, Policy: route.Policy}
	return made, nil
}

func (k *Manager) runTurn(h *held, op *operation) (OperationState, *base.Verdict) {
	if err := k.revalidate(base.NewCtx(k.clock, k.bounds.Load().Recover), h); err != nil {
		return OpFailed, base.FromWire(err)
	}
	made, verdict := k.planTurn(h, op)
	if verdict != nil {
		return OpFailed, verdict
	}
	ran := base.NotRun
	for number := 1; ; {
		ctx := base.NewCtx(k.clock, max(0, op.until-k.clock.Now()))
		switch {
		case op.cancelled.Fired():
			return OpCancelled, &base.Verdict{Status: 409, Code: "cancelled", Message: "the turn was cancelled", Ran: ran}
		case ctx.Over():
			return OpTimedOut, &base.Verdict{Status: 504, Code: "timed_out", Message: "the turn's time is over", Ran: ran}
		}
		outcome := k.runAttempt(ctx, h, op, made)
		if outcome.verdict == nil {
			return OpSucceeded, nil
		}
		if outcome.verdict.Code == "stale_assignment" {
			return OpFailed, outcome.verdict
		}
		if outcome.verdict.Ran != base.NotRun {
			ran = base.MayHaveRun
		} else if ran != base.NotRun {
			outcome.verdict = afterLostAttempt(outcome.verdict)
		}
		if op.stream.count() > 0 {
			outcome.verdict.Code = "cut"
			return k.stateOf(op, ctx), outcome.verdict
		}
		if outcome.next == attemptFinal {
			return k.stateOf(op, ctx), outcome.verdict
		}
		if outcome.next == attemptCounted {
			if !k.mayRepeat() {
				k.counters.Add("legs_not_repeated", 1)
				return k.stateOf(op, ctx), outcome.verdict
			}
			number++
			k.counters.Add("legs_repeated", 1)
		}
		if number > made.attempts {
			return k.stateOf(op, ctx), outcome.verdict
		}
	}
}

// afterLostAttempt is the word on a turn that can have no other attempt after one
// whose end is not known: not a refusal, whatever stopped it.
func afterLostAttempt(refused *base.Verdict) *base.Verdict {
	v := base.Unsure(502, "worker_lost", "an earlier run of this turn was lost and there can be no other now: %s", refused.Message)
	v.RetryAfter = refused.RetryAfter
	return v
}

const (
	repeatShare = 0.1
	repeatMost  = 10
)

// Repeated attempts are a bounded share of all attempts on this node, so that workers
// in trouble are not buried under them.
func (k *Manager) earnRepeat() {
	k.mu.Lock()
	k.repeats = min(repeatMost, k.repeats+repeatShare)
	k.mu.Unlock()
}

func (k *Manager) mayRepeat() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.repeats < 1 {
		return false
	}
	k.repeats--
	return true
}

func (k *Manager) stateOf(op *operation, ctx *base.Ctx) OperationState {
	switch {
	case op.cancelled.Fired():
		return OpCancelled
	case ctx.Over():
		return OpTimedOut
	}
	return OpFailed
}

type attemptNext int

const (
	attemptFinal   attemptNext = iota // no other attempt
	attemptCounted                    // another attempt, counted
	attemptFree                       // never left: another worker, not counted
)

type attemptOutcome struct {
	verdict *base.Verdict
	next    attemptNext
}

// runAttempt takes one attempt from the pick of a worker to its end.
func (k *Manager) runAttempt(ctx *base.Ctx, h *held, op *operation, made *plan) attemptOutcome {
	var cleanup base.Cleanup
	defer cleanup.Run()
	chosenWorker, err := k.picker.Acquire(ctx, made.need)
	if err != nil {
		if made.fallback != nil && base.IsCode(err, "no_worker") {
			made.route, made.need.Pool, made.fallback = made.fallback, made.fallback.Pool, nil
			return attemptOutcome{base.FromWire(err), attemptFree}
		}
		return attemptOutcome{base.FromWire(err), attemptFinal}
	}
	held := k.clock.Now()
	cleanup.Push(func() { k.picker.Release(chosenWorker, made.need, k.clock.Now()-held) })
	record := h.snapshot()
	h.mu.Lock()
	h.attempts++
	attemptNumber := h.attempts
	h.mu.Unlock()
	attemptID := record.Run + "/" + op.id + "/" + strconv.FormatUint(attemptNumber, 10)
	reserveCtx := base.NewCtx(k.clock, max(ctx.Left(), k.bounds.Load().Call()))
	answer, err := k.change(reserveCtx, record.Program, "session.reserve", ask{Session: record.ID, Run: record.Run, Leg: attemptID, LegNum: attemptNumber, Tokens: made.wanted})
	if err != nil {
		v := base.FromWire(err)
		if v.Ran != base.NotRun {
			// The reservation may stand and counts as spent; the attempt itself never left.
			v = base.Busy(503, "budget_unconfirmed", 1, "the budget could not be confirmed in time")
		}
		return attemptOutcome{v, attemptFinal}
	}
	settle := func(used int64) {
		answer, err := k.change(base.NewCtx(k.clock, k.bounds.Load().Recover), record.Program, "session.settle",
			ask{Session: record.ID, Run: record.Run, Leg: attemptID, Tokens: used})
		if err != nil {
			k.counters.Add("settles_lost", 1)
			return
		}
		h.take(answer.Record)
	}
	if err := k.stillOwns(ctx, h, record.Run); err != nil {
		settle(0)
		return attemptOutcome{base.FromWire(err), attemptFinal}
	}
	if !k.picker.StillEligible(chosenWorker, made.need) {
		settle(0)
		k.counters.Add("legs_turned_back", 1)
		return attemptOutcome{base.Busy(503, "worker_leaving", 1, "the worker is leaving"), attemptFree}
	}
	k.counters.Add("legs_sent", 1)
	k.earnRepeat()
	reply, err := k.backends.Call(ctx, chosenWorker.Addr, modelRequest(made, answer.Granted))
	if err != nil {
		made.need.Tried[chosenWorker.ID] = true
		k.picker.Avoid(chosenWorker.ID)
		if base.WasNotSent(err) {
			k.counters.Add("legs_not_sent", 1)
			settle(0)
			return attemptOutcome{base.Busy(503, "worker_unreachable", 1, "no worker could be reached"), attemptFree}
		}
		settle(-1)
		return attemptOutcome{base.Unsure(502, "worker_lost", "the worker's answer was lost"), attemptCounted}
	}
	cleanup.Push(reply.Close)
	if reply.Status() != 200 {
		return k.refusedAttempt(h, made, chosenWorker, reply, settle)
	}
	if k.picker.ObserveResponse(chosenWorker, reply.Closes()) {
		k.MarkWorkerLeaving(chosenWorker)
	}
	h.abortable(op, reply.Close)
	cleanup.Push(func() { h.abortable(op, nil) })
	if !op.stream.begin(attemptID) {
		settle(-1)
		return attemptOutcome{staleRun(), attemptFinal}
	}
	got, verdict := k.receive(ctx, op, reply, answer.Granted)
	if verdict != nil {
		made.need.Tried[chosenWorker.ID] = true
		settle(-1)
		if op.cancelled.Fired() {
			verdict = base.Unsure(409, "cancelled", "the turn was cancelled while it ran")
			return attemptOutcome{verdict, attemptFinal}
		}
		return attemptOutcome{verdict, attemptCounted}
	}
	h.mu.Lock()
	h.worker = chosenWorker.ID
	h.mu.Unlock()
	turn := &Turn{ID: op.id, Previous: op.visit.Previous, Digest: op.digest, Messages: op.visit.Messages, Pieces: got.pieces,
		Attempt: attemptID, FinishReason: got.finish, OutputTokens: got.tokens, Worker: chosenWorker.ID}
	return k.finishTurn(h, op, record, turn)
}

// stillOwns is the last look before an attempt goes out: the permit on the
// monotonic clock, and the register's word if the permit had lapsed since.
func (k *Manager) stillOwns(ctx *base.Ctx, h *held, run string) error {
	if err := k.follower.WaitForLease(ctx); err != nil {
		return err
	}
	if err := k.revalidate(ctx, h); err != nil {
		return err
	}
	if !h.isRun(run) {
		return staleRun()
	}
	return nil
}

// refusedAttempt reads a worker's refusal. 503 is a worker's notice that it is
// leaving; 429 and 503 say that nothing ran.
func (k *Manager) refusedAttempt(h *held, made *plan, chosen *worker.Worker, reply base.BackReply, settle func(int64)) attemptOutcome {
	made.need.Tried[chosen.ID] = reply.Status() != 429
	switch status := reply.Status(); {
	case status == 503:
		k.MarkWorkerLeaving(chosen)
		settle(0)
		return attemptOutcome{base.Busy(503, "worker_leaving", 1, "the worker is leaving"), attemptFree}
	case status == 429:
		k.picker.Avoid(chosen.ID)
		settle(0)
		return attemptOutcome{base.Busy(429, "worker_busy", 1, "the worker is busy"), attemptFree}
	case status >= 400 && status < 500:
		settle(0)
		return attemptOutcome{base.Decline(502, "worker_refused", "the worker refused the prompt with status %d", status), attemptFinal}
	default:
		settle(-1)
		return attemptOutcome{base.Unsure(502, "worker_failed", "the worker failed with status %d", status), attemptCounted}
	}
}

// MarkWorkerLeaving takes a worker's own notice: no new work here at once, and
// everywhere once the notice is told.
func (k *Manager) MarkWorkerLeaving(chosen *worker.Worker) {
	k.picker.MarkLeaving(chosen)
	k.counters.Add("workers_seen_leaving", 1)
	incarnation := k.picker.Incarnation(chosen)
	k.clock.Go(func() {
		_ = k.workers.SubmitNotice(base.NewCtx(k.clock, k.bounds.Load().Leave), worker.Notice{Worker: chosen.ID, Incarnation: incarnation, Leaving: true, Source: "refusal"})
	})
}

// finishTurn makes the answer whole: the chain goes to a majority, with the
// budget settled in the same change, and to the understudy meanwhile.
func (k *Manager) finishTurn(h *held, op *operation, record *Record, turn *Turn) attemptOutcome {
	h.mu.Lock()
	turn.Number = uint64(len(h.turns)) + 1
	h.mu.Unlock()
	offered := k.clock.NewSignal()
	k.clock.Go(func() {
		k.offer(h, record, turn)
		offered.Fire()
	})
	answer, err := k.change(base.NewCtx(k.clock, k.bounds.Load().Recover), record.Program, "session.finish",
		ask{Session: record.ID, Run: record.Run, Leg: turn.Attempt, Tokens: turn.OutputTokens, Turn: turn})
	if err != nil {
		v := base.FromWire(err)
		h.mu.Lock()
		h.unsure = turn.Attempt
		h.mu.Unlock()
		if v.Code == "stale_assignment" {
			return attemptOutcome{v, attemptFinal}
		}
		return attemptOutcome{base.Unsure(502, "cut", "the answer could not be kept: %s", v.Message), attemptFinal}
	}
	offered.Wait(k.bounds.Load().Beat() * 2)
	h.take(answer.Record)
	h.mu.Lock()
	turn.FinishedAt = answer.Record.LastTurnAt
	if h.whole(turn.ID) == nil { // the chain may have been read anew meanwhile
		h.turns = append(h.turns, *turn)
	}
	op.state, op.ended = OpSucceeded, k.clock.Now()
	h.mu.Unlock()
	k.counters.Add("turns_succeeded", 1)
	op.stream.finish(&Final{Outcome: "success", Ran: base.DidRun, Turn: op.id, Run: record.Run, FinishReason: turn.FinishReason, OutputTokens: turn.OutputTokens})
	return attemptOutcome{}
}

// offer sends one turn to the understudy; a gap is filled by catchUp.
func (k *Manager) offer(h *held, record *Record, turn *Turn) {
	member, alive := k.view.Find(record.Standby)
	if !alive {
		k.counters.Add("offers_missed", 1)
		return
	}
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Offer(base.NewCtx(k.clock, k.bounds.Load().Beat()*2),
		&OfferRequest{Session: record.ID, Assignment: record.assignment(), Turns: turn.Number, Turn: base.Encode(turn)})
	if err != nil {
		k.counters.Add("offers_missed", 1)
		return
	}
	h.mu.Lock()
	h.offered[record.Standby] = min(reply.Turns, turn.Number)
	h.mu.Unlock()
}

// ProgramTermination says how a program was told to end, as far as the feed knows.
func (k *Manager) ProgramTermination(program string) budget.Termination {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended[program]
}
