// How operations and Runs end: cancelled, refused for good, closed when quiet, or
// by the program's end or the lease.

package session

import (
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

func (k *Manager) cancel(h *held, v *Request) (*Reply, error) {
	h.mu.Lock()
	op := h.ops[v.Turn]
	h.mu.Unlock()
	if op == nil {
		return h.read(v)
	}
	k.cancelOp(h, op)
	return h.read(v)
}

// cancelOp answers a queued turn as not run at once; a running one is told
// to stop and answered by its leg.
func (k *Manager) cancelOp(h *held, op *operation) {
	op.cancelled.Fire()
	h.mu.Lock()
	abort := op.abort
	place := slices.Index(h.queue, op)
	if place >= 0 {
		h.queue = slices.Delete(h.queue, place, place+1)
	}
	h.mu.Unlock()
	if abort != nil {
		abort()
	}
	if place >= 0 {
		k.conclude(h, op, OpCancelled, base.Decline(409, "cancelled", "the turn was cancelled before it ran"))
	}
}

// abortable sets how a running turn is stopped; one that was cancelled
// meanwhile is stopped at once.
func (h *held) abortable(op *operation, abort func()) {
	h.mu.Lock()
	op.abort = abort
	h.mu.Unlock()
	if abort != nil && op.cancelled.Fired() {
		abort()
	}
}

// conclude ends an operation without success. Not run is said only of a turn
// that no earlier Run may have run, and that no later one will.
func (k *Manager) conclude(h *held, op *operation, state OperationState, verdict *base.Verdict) {
	if verdict.Ran == base.NotRun && h.mayHaveRun(op.id) {
		verdict = afterLostAttempt(verdict)
	}
	if verdict.Ran == base.NotRun && verdict.Code != "turn_refused" {
		verdict = k.refuseForGood(h, op.id, verdict)
	}
	h.mu.Lock()
	if op.state.CanBecome(state) {
		op.state, op.verdict, op.ended = state, verdict, h.clock.Now()
	}
	h.mu.Unlock()
	op.stream.finish(finalOf(op.id, verdict))
	h.bell.Ring()
}

// refuseForGood has the control state keep that a turn was refused, so that
// no later owner runs it, and gives the verdict to tell. Where that cannot be
// kept soon, the turn is not called not run; the caller may ask again by its id.
func (k *Manager) refuseForGood(h *held, turn string, verdict *base.Verdict) *base.Verdict {
	record := h.snapshot()
	answer, err := k.change(base.NewCtx(k.clock, k.bounds.Load().Beat()), record.Program, "session.refuse", ask{Session: record.ID, Run: record.Run, Refused: turn})
	if err == nil && answer.Refused {
		return verdict
	}
	k.counters.Add("refusals_unkept", 1)
	unsure := base.Unsure(503, "outcome_unknown", "the turn was refused, which could not be kept in time; ask again by its Turn-Id (%s)", verdict.Message)
	unsure.RetryAfter = max(1, verdict.RetryAfter)
	return unsure
}

// end asks for Drain or Immediate; the request only ever escalates.
func (k *Manager) end(ctx *base.Ctx, h *held, mode budget.Termination) (*Reply, error) {
	h.mu.Lock()
	if h.record.Phase.Terminal() {
		h.mu.Unlock()
		return &Reply{Status: 200, Body: h.status()}, nil
	}
	mode = h.record.Termination.Escalate(mode)
	h.mu.Unlock()
	if err := k.moveRun(ctx, h, Finalizing, mode, string(mode)); err != nil {
		return nil, err
	}
	if mode == budget.Immediate {
		k.cancelAll(h)
	}
	if err := k.closeIfQuiet(ctx, h); err != nil {
		return nil, err
	}
	return &Reply{Status: 200, Body: h.status()}, nil
}

func (k *Manager) cancelAll(h *held) {
	h.mu.Lock()
	all := slices.Clone(h.queue)
	if h.running != nil {
		all = append(all, h.running)
	}
	h.mu.Unlock()
	for _, op := range all {
		k.cancelOp(h, op)
	}
}

// moveRun puts a phase or termination in force.
func (k *Manager) moveRun(ctx *base.Ctx, h *held, phase Phase, mode budget.Termination, why string) error {
	h.mu.Lock()
	id, run := h.record.ID, h.record.Run
	h.mu.Unlock()
	answer, err := k.change(ctx, h.program, "session.move", ask{Session: id, Run: run, Phase: phase, Termination: mode, Why: why})
	if err != nil {
		if base.IsCode(err, "stale_assignment") {
			h.lose()
		}
		return err
	}
	h.take(answer.Record)
	k.remember(answer.Record)
	h.bell.Ring()
	return nil
}

// closeIfQuiet makes a finalizing Run terminal once nothing is left to do.
func (k *Manager) closeIfQuiet(ctx *base.Ctx, h *held) error {
	h.mu.Lock()
	due := h.record.Phase == Finalizing && !h.busy && len(h.queue) == 0
	mode := h.record.Termination
	h.mu.Unlock()
	if !due {
		return nil
	}
	if mode == budget.Immediate {
		return k.moveRun(ctx, h, Cancelled, mode, "terminated")
	}
	return k.moveRun(ctx, h, Succeeded, mode, "drained")
}

// endBy ends a session because its program was told to.
func (k *Manager) endBy(h *held, mode budget.Termination) {
	record := h.snapshot()
	if record.Phase.Terminal() || record.Termination.Escalate(mode) == record.Termination {
		return
	}
	if _, err := k.end(base.NewCtx(k.clock, k.bounds.Load().Recover), h, mode); err != nil {
		k.counters.Add("session_end_failed", 1)
	}
}

// tend looks after one session: its lease, its understudy, old operations.
func (k *Manager) tend(h *held) {
	now, bounds := k.clock.Now(), k.bounds.Load()
	h.mu.Lock()
	if h.gone || h.tending || h.record.Phase.Terminal() {
		h.mu.Unlock()
		return
	}
	if h.busy {
		h.lastSeen = now
	}
	idle := now-h.lastSeen > 4*bounds.Retain && !h.busy
	lease := time.Duration(h.record.LeaseMs) * time.Millisecond
	expired := lease > 0 && now-h.lastSeen > lease
	for id, op := range h.ops {
		if op.ended > 0 && now-op.ended > bounds.Retain {
			delete(h.ops, id)
		}
	}
	for id, mark := range h.refused {
		if now-mark.at > RefusalRetention(bounds) {
			delete(h.refused, id)
		}
	}
	member, alive := k.view.Find(h.record.Standby)
	lacking := !alive || member.Leaving || h.offered[h.record.Standby] < uint64(len(h.turns))
	finalizing := h.record.Phase == Finalizing && !h.busy && len(h.queue) == 0
	h.tending = expired || lacking || finalizing || idle
	due := h.tending
	h.mu.Unlock()
	if !due {
		return
	}
	k.clock.Go(func() {
		ctx := base.NewCtx(k.clock, bounds.Call())
		switch {
		case expired:
			k.counters.Add("leases_expired", 1)
			if k.moveRun(ctx, h, Failed, "", "lease_expired") == nil {
				k.cancelAll(h)
			}
		case idle:
			// The register forgets what nobody may ask for any more.
			if _, err := k.change(ctx, h.program, "session.get", ask{Session: h.snapshot().ID}); base.IsCode(err, "unknown_session") {
				h.lose()
			}
		case finalizing:
			_ = k.closeIfQuiet(ctx, h)
		default:
			k.catchUp(ctx, h)
		}
		h.mu.Lock()
		h.tending = false
		h.mu.Unlock()
	})
}
