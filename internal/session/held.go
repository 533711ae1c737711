// A held session is the owner's memory of one Run: the queue that it alone
// has, the operation states, the chain, and the streams. One mutation runs
// at a time, in the order accepted, each within its own deadline; reads,
// lists and status look at the memory and never stand in the queue.

package session

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

type operation struct {
	id        string
	digest    string
	visit     *Visit
	state     OperationState
	stream    *Stream
	until     time.Duration
	cancelled base.Signal
	abort     func()
	verdict   *base.Verdict
	ended     time.Duration
}

type held struct {
	program string
	bell    *base.Bell
	handed  base.Signal
	clock   base.Clock

	mu       sync.Mutex
	record   *Record
	turns    []Turn
	ops      map[string]*operation
	queue    []*operation
	running  *operation
	busy     bool
	gone     bool
	unsure   string
	legs     uint64
	lapses   uint64
	lastSeen time.Duration
	offered  map[string]uint64
	refused  map[string]*declinedVisit
	tending  bool
	worker   string
}

func newHeld(clock base.Clock, record *Record, turns []Turn, lapses uint64) *held {
	return &held{program: record.Program, bell: base.NewBell(clock), handed: clock.NewSignal(), clock: clock, record: record,
		turns: turns, ops: map[string]*operation{}, lapses: lapses, legs: record.Legs, lastSeen: clock.Now(), offered: map[string]uint64{},
		refused: map[string]*declinedVisit{}}
}

func (h *held) isRun(run string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.Run == run && !h.gone
}

func (h *held) snapshot() *Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := *h.record
	return &copied
}

// take brings in the register's word on this Run; answers may cross, and the
// older of two changes nothing.
func (h *held) take(record *Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record.Run == record.Run && record.Version > h.record.Version {
		h.record = record
	}
}

// mayHaveRun tells of a turn that had a leg under way when an earlier Run of
// the session was lost.
func (h *held) mayHaveRun(turn string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.unsure(turn)
}

// whole finds a turn of the chain; the caller holds the lock.
func (h *held) whole(turn string) *Turn {
	for place := range h.turns {
		if h.turns[place].ID == turn {
			return &h.turns[place]
		}
	}
	return nil
}

// refuseUnknown keeps a turn that this owner knows nothing of from ever being
// accepted; false when it is known.
func (h *held) refuseUnknown(turn string, verdict *declinedVisit) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ops[turn] != nil || h.whole(turn) != nil || h.record.unsure(turn) {
		return false
	}
	if known := h.refused[turn]; known != nil {
		return known.verdict.Ran == base.NotRun
	}
	h.refused[turn] = verdict
	return true
}

// forgetRefusal lets a turn be asked again whose refusal could not be kept.
func (h *held) forgetRefusal(turn string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.refused, turn)
}

func (h *held) quiet() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.busy && len(h.queue) == 0
}

func (h *held) forgettable(now time.Duration, bounds *base.Bounds) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	over := h.gone || h.record.Phase.Terminal()
	return over && !h.busy && now-h.lastSeen > 2*bounds.Recover
}

// lose gives the Run up: what was accepted and gave no piece yet can be
// found anew with the next owner, the rest is cut.
func (h *held) lose() {
	h.mu.Lock()
	h.gone = true
	h.queue = nil
	lost := []*operation{}
	for _, id := range base.SortedKeys(h.ops) {
		if op := h.ops[id]; op.state == OpQueued || op.state == OpRunning {
			lost = append(lost, op)
		}
	}
	h.mu.Unlock()
	for _, op := range lost {
		op.stream.moveAway(op.id)
	}
	h.handed.Fire()
	h.bell.Ring()
}

// serve answers a visit on the owner.
func (k *Keeper) serve(ctx *base.Ctx, record *Record, v *Visit) (*Reply, error) {
	k.mu.Lock()
	h := k.held[record.ID]
	draining := k.draining
	k.mu.Unlock()
	if h == nil || !h.isRun(record.Run) {
		adopted, err := k.recall(ctx, record, v)
		if err != nil {
			return nil, err
		}
		h = adopted
	}
	if err := k.revalidate(ctx, h); err != nil {
		return nil, err
	}
	if draining && v.Kind == KindTurn {
		if !h.handed.Wait(ctx.Left()) {
			return nil, base.Busy(503, "handing_over", 1, "the session is being handed over")
		}
		return nil, staleRun()
	}
	h.mu.Lock()
	allowed := h.record.Opens(v.Bearer)
	if allowed {
		h.lastSeen = k.clock.Now()
	}
	h.mu.Unlock()
	if !allowed {
		return nil, base.Decline(403, "forbidden", "the credentials do not open this session")
	}
	switch v.Kind {
	case KindStatus, KindRenew:
		return &Reply{Status: 200, Body: h.status()}, nil
	case KindTurns:
		return &Reply{Status: 200, Body: h.list(v)}, nil
	case KindRead:
		return h.read(v)
	case KindCancel:
		return k.cancel(h, v)
	case KindClose:
		return k.end(ctx, h, budget.Drain)
	case KindTerminate:
		return k.end(ctx, h, budget.Immediate)
	case KindTurn:
		return k.submit(ctx, h, v)
	}
	return nil, base.Decline(400, "bad_request", "unknown kind of visit")
}

// recall finds a Run that the register says is this node's but that is not
// in memory: one it took without learning so, or one that ended and was
// forgotten. Only this life of the node can be named as owner.
func (k *Keeper) recall(ctx *base.Ctx, record *Record, v *Visit) (*held, error) {
	answer, err := k.change(ctx, v.Program, "session.get", ask{Session: record.ID})
	if err != nil {
		return nil, err
	}
	if answer.Record.Run != record.Run || answer.Record.Owner != k.me() || answer.Record.Program != v.Program {
		k.remember(answer.Record)
		return nil, staleRun()
	}
	return k.adopt(ctx, answer.Record)
}

// revalidate asks the register whether the Run still stands, after this
// node went without a permit or a change of its own ended unknown.
func (k *Keeper) revalidate(ctx *base.Ctx, h *held) error {
	lapses := k.follower.Lapses()
	h.mu.Lock()
	unsureLeg := h.unsure
	sure := h.lapses == lapses && unsureLeg == ""
	id, run, known := h.record.ID, h.record.Run, uint64(len(h.turns))
	h.mu.Unlock()
	if sure {
		return nil
	}
	// A leg whose end was not learnt is given up first: from then on either
	// its turn is in the chain or a late copy can no longer put it there.
	asked, op := ask{Session: id}, "session.get"
	if unsureLeg != "" {
		asked.Leg, asked.Tokens, op = unsureLeg, -1, "session.settle"
	}
	answer, err := k.change(ctx, h.program, op, asked)
	if err != nil {
		return err
	}
	if answer.Record.Run != run {
		k.remember(answer.Record)
		h.lose()
		return staleRun()
	}
	var turns []Turn
	if answer.Record.Turns != known {
		if turns, err = k.readChain(ctx, answer.Record); err != nil {
			return err
		}
	}
	h.mu.Lock()
	h.lapses, h.unsure = lapses, ""
	if answer.Record.Version > h.record.Version {
		h.record = answer.Record
	}
	if turns != nil && uint64(len(h.turns)) == known {
		h.turns = turns
	}
	h.mu.Unlock()
	return nil
}

// Status is what callers see of a session.
type Status struct {
	Session     string             `json:"session"`
	Program     string             `json:"program"`
	Route       string             `json:"route"`
	Run         string             `json:"run"`
	Epoch       uint64             `json:"epoch"`
	Owner       string             `json:"owner"`
	Understudy  string             `json:"understudy,omitempty"`
	Phase       Phase              `json:"phase"`
	Termination budget.Termination `json:"termination,omitempty"`
	Reason      string             `json:"reason,omitempty"`
	QueueSize   int                `json:"queue_size"`
	TimeoutS    float64            `json:"operation_timeout_s"`
	LeaseS      float64            `json:"lease_s,omitempty"`
	Queued      int                `json:"queued"`
	Running     string             `json:"running_turn,omitempty"`
	Turns       uint64             `json:"turns"`
	LastTurn    string             `json:"last_turn,omitempty"`
}

// StatusOf shows a record.
func StatusOf(r *Record) Status {
	return Status{Session: r.ID, Program: r.Program, Route: r.Route, Run: r.Run, Epoch: r.Epoch, Owner: r.Owner, Understudy: r.Understudy,
		Phase: r.Phase, Termination: r.Termination, Reason: r.Why, QueueSize: r.QueueSize, TimeoutS: float64(r.TimeoutMs) / 1000,
		LeaseS: float64(r.LeaseMs) / 1000, Turns: r.Turns, LastTurn: r.LastTurn}
}

func (h *held) status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := StatusOf(h.record)
	shown.Queued = len(h.queue)
	if h.running != nil {
		shown.Running = h.running.id
	}
	return shown
}

// TurnView is a turn in a listing.
type TurnView struct {
	Turn     string         `json:"turn"`
	Num      uint64         `json:"num,omitempty"`
	Previous string         `json:"previous_turn,omitempty"`
	State    OperationState `json:"state"`
	Messages any            `json:"messages,omitempty"`
	Answer   string         `json:"answer,omitempty"`
	Finish   string         `json:"finish_reason,omitempty"`
	Tokens   int64          `json:"output_tokens,omitempty"`
	Error    *base.Verdict  `json:"error,omitempty"`
}

// StateIn is the state of the turn that a read's reply shows.
func StateIn(body any) OperationState {
	switch shown := body.(type) {
	case TurnView:
		return shown.State
	case json.RawMessage:
		var read TurnView
		_ = json.Unmarshal(shown, &read)
		return read.State
	}
	return ""
}

// TurnPage is one page of a listing; Next is empty on the last.
type TurnPage struct {
	Turns []TurnView `json:"turns"`
	Next  uint64     `json:"next"`
}

func viewTurn(turn *Turn, whole bool) TurnView {
	shown := TurnView{Turn: turn.ID, Num: turn.Num, Previous: turn.Previous, State: OpSucceeded, Finish: turn.Finish, Tokens: turn.Tokens}
	if whole {
		shown.Messages = turn.Messages
		for _, piece := range turn.Pieces {
			shown.Answer += piece
		}
	}
	return shown
}

func (h *held) list(v *Visit) TurnPage {
	h.mu.Lock()
	defer h.mu.Unlock()
	page := TurnPage{Turns: []TurnView{}}
	for place := range h.turns {
		turn := &h.turns[place]
		if turn.Num <= v.After {
			continue
		}
		if len(page.Turns) == v.Limit {
			page.Next = page.Turns[len(page.Turns)-1].Num
			return page
		}
		page.Turns = append(page.Turns, viewTurn(turn, false))
	}
	return page
}

func (h *held) read(v *Visit) (*Reply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if turn := h.whole(v.Turn); turn != nil {
		return &Reply{Status: 200, Body: viewTurn(turn, true)}, nil
	}
	if op := h.ops[v.Turn]; op != nil {
		return &Reply{Status: 200, Body: TurnView{Turn: op.id, State: op.state, Error: op.verdict}}, nil
	}
	return nil, base.Decline(404, "unknown_turn", "there is no such turn")
}

func (k *Keeper) cancel(h *held, v *Visit) (*Reply, error) {
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
func (k *Keeper) cancelOp(h *held, op *operation) {
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
func (k *Keeper) conclude(h *held, op *operation, state OperationState, verdict *base.Verdict) {
	if verdict.Ran == base.NotRun && h.mayHaveRun(op.id) {
		verdict = afterLostLeg(verdict)
	}
	if verdict.Ran == base.NotRun && verdict.Code != "turn_refused" {
		verdict = k.refuseForGood(h, op.id, verdict)
	}
	h.mu.Lock()
	if op.state.May(state) {
		op.state, op.verdict, op.ended = state, verdict, h.clock.Now()
	}
	h.mu.Unlock()
	op.stream.finish(finalOf(op.id, verdict))
	h.bell.Ring()
}

// refuseForGood has the control state keep that a turn was refused, so that
// no later owner runs it, and gives the verdict to tell. Where that cannot be
// kept soon, the turn is not called not run; the caller may ask again by its id.
func (k *Keeper) refuseForGood(h *held, turn string, verdict *base.Verdict) *base.Verdict {
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
func (k *Keeper) end(ctx *base.Ctx, h *held, mode budget.Termination) (*Reply, error) {
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

func (k *Keeper) cancelAll(h *held) {
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
func (k *Keeper) moveRun(ctx *base.Ctx, h *held, phase Phase, mode budget.Termination, why string) error {
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
func (k *Keeper) closeIfQuiet(ctx *base.Ctx, h *held) error {
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
func (k *Keeper) endBy(h *held, mode budget.Termination) {
	record := h.snapshot()
	if record.Phase.Terminal() || record.Termination.Escalate(mode) == record.Termination {
		return
	}
	if _, err := k.end(base.NewCtx(k.clock, k.bounds.Load().Recover), h, mode); err != nil {
		k.counters.Add("session_end_failed", 1)
	}
}

// tend looks after one session: its lease, its understudy, old operations.
func (k *Keeper) tend(h *held) {
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
		if now-mark.at > RefusedSpan(bounds) {
			delete(h.refused, id)
		}
	}
	member, alive := k.view.Find(h.record.Understudy)
	lacking := !alive || member.Leaving || h.offered[h.record.Understudy] < uint64(len(h.turns))
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

// catchUp brings the understudy up to the chain, nominating another when it
// is gone; a new one counts only once it has the whole chain.
func (k *Keeper) catchUp(ctx *base.Ctx, h *held) {
	record := h.snapshot()
	chosen := record.Understudy
	if member, alive := k.view.Find(chosen); !alive || member.Leaving {
		chosen = k.nominateUnderstudy(record.ID, chosen)
	}
	member, alive := k.view.Find(chosen)
	if !alive {
		return
	}
	for !ctx.Over() {
		h.mu.Lock()
		have, total := h.offered[chosen], uint64(len(h.turns))
		var turn []byte
		if have < total {
			turn = base.Encode(h.turns[have])
		}
		h.mu.Unlock()
		if have >= total {
			break
		}
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Offer(ctx, &OfferRequest{Session: record.ID,
			Assignment: record.assignment(), Turns: have + 1, Turn: turn})
		if err != nil {
			return
		}
		h.mu.Lock()
		h.offered[chosen] = min(reply.Turns, have+1)
		h.mu.Unlock()
	}
	if chosen != record.Understudy && !ctx.Over() {
		answer, err := k.change(ctx, record.Program, "session.move", ask{Session: record.ID, Run: record.Run, Understudy: chosen})
		if err == nil {
			h.take(answer.Record)
			k.remember(answer.Record)
			k.counters.Add("understudies_replaced", 1)
		}
	}
}
