// Turns and their legs. A turn is accepted once by its Turn-Id; the same id
// again joins it or replays its answer. A leg reserves its tokens durably,
// checks the permit once more, and only then goes out; what it streams is
// passed on piece by piece. Before any piece is out another leg may follow;
// after that a lost leg ends the stream as cut. Success needs the worker's
// finish reason and its end mark, the chain on a majority, and the offer to
// the understudy.

package session

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/settings"
	"fordseam/internal/worker"
)

// submit accepts a turn, joins it, or replays it.
func (k *Keeper) submit(ctx *base.Ctx, h *held, v *Visit) (*Reply, error) {
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

func (k *Keeper) reader(stream *Stream, v *Visit) (*Reply, error) {
	reader := &Reader{keeper: k, turn: v.Turn, local: stream}
	if v.LastLeg != "" {
		if leg := stream.legID(); leg != v.LastLeg {
			return nil, base.Unsure(409, "leg_changed", "the pieces seen are of another run of this turn; read it from the start")
		}
		reader.place = min(v.LastPlace, uint64(stream.count()))
		reader.given = reader.place
	}
	return &Reply{Status: 200, Stream: reader}, nil
}

func (k *Keeper) accept(h *held, v *Visit, digest string) (*Reply, error) {
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
	if v.LastLeg != "" {
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
			verdict = afterLostLeg(verdict)
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
func (k *Keeper) work(h *held) {
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

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt is the chain so far and the turn's own messages.
func (h *held) prompt(op *operation) ([]json.RawMessage, *base.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if previous := op.visit.Previous; previous != "" && previous != h.record.LastTurn {
		if h.whole(previous) != nil {
			return nil, base.Decline(409, "previous_turn_not_latest", "the chain has gone on past that Previous-Turn")
		}
		return nil, base.Decline(404, "previous_turn_unknown", "that Previous-Turn was not answered whole in this session")
	}
	chain := []json.RawMessage{}
	add := func(raw json.RawMessage) {
		var list []json.RawMessage
		if json.Unmarshal(raw, &list) == nil {
			chain = append(chain, list...)
		}
	}
	for place := range h.turns {
		add(h.turns[place].Messages)
		chain = append(chain, base.Encode(message{"assistant", strings.Join(h.turns[place].Pieces, "")}))
	}
	add(op.visit.Messages)
	return chain, nil
}

// plan is all that a turn's legs need, made before any goes out.
type plan struct {
	route    *settings.Route
	chain    []json.RawMessage
	wanted   int64
	need     *worker.Need
	legs     int
	fallback *settings.Route
}

func (k *Keeper) planTurn(h *held, op *operation) (*plan, *base.Verdict) {
	chain, verdict := h.prompt(op)
	if verdict != nil {
		return nil, verdict
	}
	tree := k.tree.Load()
	if tree == nil {
		return nil, base.Busy(503, "no_settings", 1, "no settings have been applied")
	}
	record := h.snapshot()
	route, err := tree.Match(record.Group, record.Site, record.Route)
	if err != nil {
		return nil, base.FromWire(err)
	}
	made := &plan{route: route, chain: chain, wanted: route.MaxOutputTokens, legs: route.Legs}
	if op.visit.MaxTokens > 0 {
		made.wanted = min(made.wanted, op.visit.MaxTokens)
	}
	if route.Fallback != "" {
		made.fallback, _ = tree.Match(record.Group, record.Site, route.Fallback)
	}
	h.mu.Lock()
	former := h.worker
	h.mu.Unlock()
	made.need = &worker.Need{Pool: route.Pool, Affinity: record.ID, Former: former, Program: record.Program, Site: record.Group + "/" + record.Site,
		Urgency: record.Urgency, Waiting: route.Waiting, Tried: map[string]bool{}, Policy: route.Policy}
	return made, nil
}

func (k *Keeper) runTurn(h *held, op *operation) (OperationState, *base.Verdict) {
	if err := k.revalidate(base.NewCtx(k.clock, k.bounds.Load().Recover), h); err != nil {
		return OpFailed, base.FromWire(err)
	}
	made, verdict := k.planTurn(h, op)
	if verdict != nil {
		return OpFailed, verdict
	}
	ran := base.NotRun
	for leg := 1; ; {
		ctx := base.NewCtx(k.clock, max(0, op.until-k.clock.Now()))
		switch {
		case op.cancelled.Fired():
			return OpCancelled, &base.Verdict{Status: 409, Code: "cancelled", Message: "the turn was cancelled", Ran: ran}
		case ctx.Over():
			return OpTimedOut, &base.Verdict{Status: 504, Code: "timed_out", Message: "the turn's time is over", Ran: ran}
		}
		outcome := k.runLeg(ctx, h, op, made)
		if outcome.verdict == nil {
			return OpSucceeded, nil
		}
		if outcome.verdict.Code == "stale_assignment" {
			return OpFailed, outcome.verdict
		}
		if outcome.verdict.Ran != base.NotRun {
			ran = base.MayHaveRun
		} else if ran != base.NotRun {
			outcome.verdict = afterLostLeg(outcome.verdict)
		}
		if op.stream.count() > 0 {
			outcome.verdict.Code = "cut"
			return k.stateOf(op, ctx), outcome.verdict
		}
		if outcome.next == legFinal {
			return k.stateOf(op, ctx), outcome.verdict
		}
		if outcome.next == legCounts {
			if !k.mayRepeat() {
				k.counters.Add("legs_not_repeated", 1)
				return k.stateOf(op, ctx), outcome.verdict
			}
			leg++
			k.counters.Add("legs_repeated", 1)
		}
		if leg > made.legs {
			return k.stateOf(op, ctx), outcome.verdict
		}
	}
}

// afterLostLeg is the word on a turn that can have no other leg after one
// whose end is not known: not a refusal, whatever stopped it.
func afterLostLeg(refused *base.Verdict) *base.Verdict {
	v := base.Unsure(502, "worker_lost", "an earlier run of this turn was lost and there can be no other now: %s", refused.Message)
	v.RetryAfter = refused.RetryAfter
	return v
}

const (
	repeatShare = 0.1
	repeatMost  = 10
)

// Repeated legs are a bounded share of all legs on this node, so that workers
// in trouble are not buried under them.
func (k *Keeper) earnRepeat() {
	k.mu.Lock()
	k.repeats = min(repeatMost, k.repeats+repeatShare)
	k.mu.Unlock()
}

func (k *Keeper) mayRepeat() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.repeats < 1 {
		return false
	}
	k.repeats--
	return true
}

func (k *Keeper) stateOf(op *operation, ctx *base.Ctx) OperationState {
	switch {
	case op.cancelled.Fired():
		return OpCancelled
	case ctx.Over():
		return OpTimedOut
	}
	return OpFailed
}

type legNext int

const (
	legFinal  legNext = iota // no other leg
	legCounts                // another leg, counted
	legFree                  // never left: another worker, not counted
)

type legOutcome struct {
	verdict *base.Verdict
	next    legNext
}

// runLeg takes one leg from nomination to its end.
func (k *Keeper) runLeg(ctx *base.Ctx, h *held, op *operation, made *plan) legOutcome {
	var cleanup base.Cleanup
	defer cleanup.Run()
	chosenWorker, err := k.nominator.Hold(ctx, made.need)
	if err != nil {
		if made.fallback != nil && base.IsCode(err, "no_worker") {
			made.route, made.need.Pool, made.fallback = made.fallback, made.fallback.Pool, nil
			return legOutcome{base.FromWire(err), legFree}
		}
		return legOutcome{base.FromWire(err), legFinal}
	}
	held := k.clock.Now()
	cleanup.Push(func() { k.nominator.Release(chosenWorker, made.need, k.clock.Now()-held) })
	record := h.snapshot()
	h.mu.Lock()
	h.legs++
	legNum := h.legs
	h.mu.Unlock()
	legID := record.Run + "/" + op.id + "/" + strconv.FormatUint(legNum, 10)
	reserveCtx := base.NewCtx(k.clock, max(ctx.Left(), k.bounds.Load().Call()))
	answer, err := k.change(reserveCtx, record.Program, "session.reserve", ask{Session: record.ID, Run: record.Run, Leg: legID, LegNum: legNum, Tokens: made.wanted})
	if err != nil {
		v := base.FromWire(err)
		if v.Ran != base.NotRun {
			// The reservation may stand and counts as spent; the leg itself never left.
			v = base.Busy(503, "budget_unconfirmed", 1, "the budget could not be confirmed in time")
		}
		return legOutcome{v, legFinal}
	}
	settle := func(used int64) {
		answer, err := k.change(base.NewCtx(k.clock, k.bounds.Load().Recover), record.Program, "session.settle",
			ask{Session: record.ID, Run: record.Run, Leg: legID, Tokens: used})
		if err != nil {
			k.counters.Add("settles_lost", 1)
			return
		}
		h.take(answer.Record)
	}
	if err := k.stillOwns(ctx, h, record.Run); err != nil {
		settle(0)
		return legOutcome{base.FromWire(err), legFinal}
	}
	if !k.nominator.Stays(chosenWorker, made.need) {
		settle(0)
		k.counters.Add("legs_turned_back", 1)
		return legOutcome{base.Busy(503, "worker_leaving", 1, "the worker is leaving"), legFree}
	}
	k.counters.Add("legs_sent", 1)
	k.earnRepeat()
	reply, err := k.backends.Call(ctx, chosenWorker.Addr, modelRequest(made, answer.Granted))
	if err != nil {
		made.need.Tried[chosenWorker.ID] = true
		k.nominator.Shun(chosenWorker.ID)
		if base.WasNotSent(err) {
			k.counters.Add("legs_not_sent", 1)
			settle(0)
			return legOutcome{base.Busy(503, "worker_unreachable", 1, "no worker could be reached"), legFree}
		}
		settle(-1)
		return legOutcome{base.Unsure(502, "worker_lost", "the worker's answer was lost"), legCounts}
	}
	cleanup.Push(reply.Close)
	if reply.Status() != 200 {
		return k.refusedLeg(h, made, chosenWorker, reply, settle)
	}
	if k.nominator.Answered(chosenWorker, reply.Closes()) {
		k.WorkerLeaves(chosenWorker)
	}
	h.abortable(op, reply.Close)
	cleanup.Push(func() { h.abortable(op, nil) })
	if !op.stream.begin(legID) {
		settle(-1)
		return legOutcome{staleRun(), legFinal}
	}
	got, verdict := k.receive(ctx, op, reply, answer.Granted)
	if verdict != nil {
		made.need.Tried[chosenWorker.ID] = true
		settle(-1)
		if op.cancelled.Fired() {
			verdict = base.Unsure(409, "cancelled", "the turn was cancelled while it ran")
			return legOutcome{verdict, legFinal}
		}
		return legOutcome{verdict, legCounts}
	}
	h.mu.Lock()
	h.worker = chosenWorker.ID
	h.mu.Unlock()
	turn := &Turn{ID: op.id, Previous: op.visit.Previous, Digest: op.digest, Messages: op.visit.Messages, Pieces: got.pieces,
		Leg: legID, Finish: got.finish, Tokens: got.tokens, Worker: chosenWorker.ID}
	return k.finishTurn(h, op, record, turn)
}

// stillOwns is the last look before a leg goes out: the permit on the
// monotonic clock, and the register's word if the permit had lapsed since.
func (k *Keeper) stillOwns(ctx *base.Ctx, h *held, run string) error {
	if err := k.follower.Permit(ctx); err != nil {
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

// refusedLeg reads a worker's refusal. 503 is a worker's notice that it is
// leaving; 429 and 503 say that nothing ran.
func (k *Keeper) refusedLeg(h *held, made *plan, chosen *worker.Worker, reply base.BackReply, settle func(int64)) legOutcome {
	made.need.Tried[chosen.ID] = reply.Status() != 429
	switch status := reply.Status(); {
	case status == 503:
		k.WorkerLeaves(chosen)
		settle(0)
		return legOutcome{base.Busy(503, "worker_leaving", 1, "the worker is leaving"), legFree}
	case status == 429:
		k.nominator.Shun(chosen.ID)
		settle(0)
		return legOutcome{base.Busy(429, "worker_busy", 1, "the worker is busy"), legFree}
	case status >= 400 && status < 500:
		settle(0)
		return legOutcome{base.Decline(502, "worker_refused", "the worker refused the prompt with status %d", status), legFinal}
	default:
		settle(-1)
		return legOutcome{base.Unsure(502, "worker_failed", "the worker failed with status %d", status), legCounts}
	}
}

// WorkerLeaves takes a worker's own notice: no new work here at once, and
// everywhere once the notice is told.
func (k *Keeper) WorkerLeaves(chosen *worker.Worker) {
	k.nominator.LeftNow(chosen)
	k.counters.Add("workers_seen_leaving", 1)
	incarnation := k.nominator.Incarnation(chosen)
	k.clock.Go(func() {
		_ = k.workers.Notice(base.NewCtx(k.clock, k.bounds.Load().Leave), worker.Notice{Worker: chosen.ID, Incarnation: incarnation, Leaving: true, Source: "refusal"})
	})
}

type completionRequest struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	MaxTokens     int64             `json:"max_tokens"`
	Stream        bool              `json:"stream"`
	StreamOptions map[string]bool   `json:"stream_options"`
}

type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func modelRequest(made *plan, granted int64) *base.BackRequest {
	return &base.BackRequest{Method: "POST", Path: "/v1/chat/completions", Header: map[string]string{"Content-Type": "application/json"},
		Body: base.Encode(completionRequest{Model: made.route.Model, Messages: made.chain, MaxTokens: granted, Stream: true,
			StreamOptions: map[string]bool{"include_usage": true}})}
}

type received struct {
	pieces []string
	finish string
	tokens int64
}

// receive passes a worker's chunks on as pieces. An answer that lacks its
// finish reason or end mark, is malformed, stalls or overruns what was
// granted is never a success.
func (k *Keeper) receive(ctx *base.Ctx, op *operation, reply base.BackReply, granted int64) (*received, *base.Verdict) {
	got := &received{}
	stall := k.bounds.Load().Recover * 5 / 2
	for {
		line, err := reply.Line(min(ctx.Left(), stall))
		if err != nil {
			word := "the worker's answer was cut short"
			if err != io.EOF && !op.cancelled.Fired() {
				word = "the worker's answer stopped coming"
			}
			return nil, base.Unsure(502, "worker_cut", "%s", word)
		}
		data, ok := strings.CutPrefix(strings.TrimRight(string(line), "\r\n"), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			if got.finish == "" {
				return nil, base.Unsure(502, "worker_cut", "the worker ended without a finish reason")
			}
			return got, nil
		}
		var chunk completionChunk
		if json.Unmarshal([]byte(data), &chunk) != nil {
			return nil, base.Unsure(502, "worker_malformed", "the worker's answer could not be read")
		}
		if chunk.Usage != nil {
			got.tokens = max(got.tokens, chunk.Usage.CompletionTokens)
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				if got.finish != "" || int64(len(got.pieces)) >= granted {
					return nil, base.Unsure(502, "worker_overran", "the worker put out more than it was granted")
				}
				got.pieces = append(got.pieces, choice.Delta.Content)
				got.tokens = max(got.tokens, int64(len(got.pieces)))
				op.stream.put([]byte(choice.Delta.Content), false)
			}
			if choice.FinishReason != "" {
				got.finish = choice.FinishReason
			}
		}
	}
}

// finishTurn makes the answer whole: the chain goes to a majority, with the
// budget settled in the same change, and to the understudy meanwhile.
func (k *Keeper) finishTurn(h *held, op *operation, record *Record, turn *Turn) legOutcome {
	h.mu.Lock()
	turn.Num = uint64(len(h.turns)) + 1
	h.mu.Unlock()
	offered := k.clock.NewSignal()
	k.clock.Go(func() {
		k.offer(h, record, turn)
		offered.Fire()
	})
	answer, err := k.change(base.NewCtx(k.clock, k.bounds.Load().Recover), record.Program, "session.finish",
		ask{Session: record.ID, Run: record.Run, Leg: turn.Leg, Tokens: turn.Tokens, Turn: turn})
	if err != nil {
		v := base.FromWire(err)
		h.mu.Lock()
		h.unsure = turn.Leg
		h.mu.Unlock()
		if v.Code == "stale_assignment" {
			return legOutcome{v, legFinal}
		}
		return legOutcome{base.Unsure(502, "cut", "the answer could not be kept: %s", v.Message), legFinal}
	}
	offered.Wait(k.bounds.Load().Beat() * 2)
	h.take(answer.Record)
	h.mu.Lock()
	turn.At = answer.Record.LastAt
	if h.whole(turn.ID) == nil { // the chain may have been read anew meanwhile
		h.turns = append(h.turns, *turn)
	}
	op.state, op.ended = OpSucceeded, k.clock.Now()
	h.mu.Unlock()
	k.counters.Add("turns_succeeded", 1)
	op.stream.finish(&Final{Verdict: "success", Ran: base.DidRun, Turn: op.id, Run: record.Run, Finish: turn.Finish, Tokens: turn.Tokens})
	return legOutcome{}
}

// offer sends one turn to the understudy; a gap is filled by catchUp.
func (k *Keeper) offer(h *held, record *Record, turn *Turn) {
	member, alive := k.view.Find(record.Understudy)
	if !alive {
		k.counters.Add("offers_missed", 1)
		return
	}
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Offer(base.NewCtx(k.clock, k.bounds.Load().Beat()*2),
		&OfferRequest{Session: record.ID, Assignment: record.assignment(), Turns: turn.Num, Turn: base.Encode(turn)})
	if err != nil {
		k.counters.Add("offers_missed", 1)
		return
	}
	h.mu.Lock()
	h.offered[record.Understudy] = min(reply.Turns, turn.Num)
	h.mu.Unlock()
}

// ProgramEnded says how a program was told to end, as far as the feed knows.
func (k *Keeper) ProgramEnded(program string) budget.Termination {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended[program]
}
