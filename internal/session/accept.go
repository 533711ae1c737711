// Acceptance of turns: once by Turn-Id, joined or replayed when asked again, and
// queued for the one mutation at a time.

package session

import (
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
)

// submit accepts a turn, joins it, or replays it.
func (k *Manager) submit(ctx *base.Ctx, h *held, v *Request) (*Reply, error) {
	digest := base.Digest(append([]byte(v.Previous+"\n"+strconv.FormatInt(v.MaxTokens, 10)+"\n"), v.Messages...))
	reply, err := k.accept(h, v, digest)
	if verdict, ok := err.(*base.Verdict); ok && verdict.Code == "run_over" {
		if v.Previous == "" {
			return nil, verdict
		}
		record := h.snapshot()
		_, err := k.succeedHere(ctx, &SucceedRequest{Session: record.ID, Program: record.Program, Assignment: record.assignment(), Why: "after_" + strings.ToLower(string(record.Phase))})
		if err != nil {
			return nil, err
		}
		return nil, staleRun()
	}
	return reply, err
}

func (k *Manager) reader(stream *Stream, v *Request) (*Reply, error) {
	reader := &Reader{keeper: k, turn: v.Turn, local: stream}
	if v.LastAttempt != "" {
		if leg := stream.legID(); leg != v.LastAttempt {
			return nil, base.Unsure(409, "leg_changed", "the pieces seen are of another run of this turn; read it from the start")
		}
		reader.place = min(v.LastPiece, uint64(stream.count()))
		reader.given = reader.place
	}
	return &Reply{Status: 200, Stream: reader}, nil
}

func (k *Manager) accept(h *held, v *Request, digest string) (*Reply, error) {
	h.mu.Lock()
	if turn := h.whole(v.Turn); turn != nil {
		run := h.record.Run
		h.mu.Unlock()
		if turn.Digest != digest {
			return nil, turnReused()
		}
		k.counters.Add("turns_replayed", 1)
		return k.reader(replayStream(k.clock, turn, run), v)
	}
	if op := h.ops[v.Turn]; op != nil {
		again := (op.state == OpFailed || op.state == OpTimedOut) && op.verdict.Ran == base.MayHaveRun
		if op.digest != digest {
			h.mu.Unlock()
			return nil, turnReused()
		}
		if !again {
			h.mu.Unlock()
			k.counters.Add("turns_joined", 1)
			return k.reader(op.stream, v)
		}
	}
	if refused := h.refused[v.Turn]; refused != nil {
		h.mu.Unlock()
		return nil, refused.verdict
	}
	if v.LastAttempt != "" {
		h.mu.Unlock()
		return nil, base.Unsure(409, "leg_changed", "the pieces seen are of a run of this turn that was lost; read it from the start")
	}
	if h.gone {
		h.mu.Unlock()
		return nil, staleRun()
	}
	if h.record.Phase.Terminal() {
		h.mu.Unlock()
		return nil, base.Decline(409, "run_over", "the session's Run has ended; name the Previous-Turn to go on")
	}
	h.mu.Unlock()
	if err := k.admit(v); err != nil {
		return nil, err
	}
	h.mu.Lock()
	var verdict *base.Verdict
	if h.record.Phase != Ready {
		verdict = base.Decline(503, "session_draining", "the session takes no new turns")
	} else if len(h.queue) >= h.record.QueueSize {
		verdict = base.Busy(429, "queue_full", 1, "the session's queue of %d is full", h.record.QueueSize)
	}
	if verdict != nil {
		if h.record.unsure(v.Turn) {
			verdict = afterLostAttempt(verdict)
		}
		h.refused[v.Turn] = &declinedVisit{verdict: verdict, at: k.clock.Now()}
		h.mu.Unlock()
		k.counters.Add("turns_declined", 1)
		if verdict.Ran == base.NotRun {
			if verdict = k.refuseForGood(h, v.Turn, verdict); verdict.Ran != base.NotRun {
				h.forgetRefusal(v.Turn)
			}
		}
		return nil, k.decline(v, verdict)
	}
	op := &operation{id: v.Turn, digest: digest, visit: v, state: OpQueued, stream: newStream(k.clock), cancelled: k.clock.NewSignal(),
		until: k.clock.Now() + time.Duration(h.record.TimeoutMs)*time.Millisecond}
	h.ops[v.Turn] = op
	h.queue = append(h.queue, op)
	starts := !h.busy
	h.busy = true
	h.mu.Unlock()
	k.accepted(v)
	k.counters.Add("turns_accepted", 1)
	if starts {
		k.clock.Go(func() { k.work(h) })
	}
	return k.reader(op.stream, v)
}

func turnReused() *base.Verdict {
	return base.Decline(409, "turn_id_reused", "this Turn-Id was used with another body")
}

// work runs the queue, one turn at a time, until it is empty.
func (k *Manager) work(h *held) {
	for {
		h.mu.Lock()
		if len(h.queue) == 0 || h.gone {
			h.busy, h.running = false, nil
			h.mu.Unlock()
			h.bell.Ring()
			_ = k.closeIfQuiet(base.NewCtx(k.clock, k.bounds.Load().Call()), h)
			return
		}
		op := h.queue[0]
		h.queue = h.queue[1:]
		op.state = OpRunning
		h.running = op
		h.mu.Unlock()
		state, verdict := k.runTurn(h, op)
		if verdict != nil {
			if verdict.Code == "stale_assignment" {
				h.lose()
				continue
			}
			k.counters.Add("turns_"+strings.ToLower(string(state)), 1)
			k.conclude(h, op, state, verdict)
		}
	}
}
