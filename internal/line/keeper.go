// Package line holds a program's lines of turns. A session is one Run at a
// time with one owner, which alone has its queue: turns run one after the
// other, in the order accepted, and reads of state bypass the queue. The
// session and the assignment (run, owner, epoch) go with every call between
// nodes; a call that lands elsewhere is forwarded once, marked. Termination
// only escalates. What a line must not lose, its assignment, its budget and
// its whole turns, is in the ledger before anyone is told.
package line

import (
	"context"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/membership"
	"fordseam/internal/relay"
	"fordseam/internal/route"
	"fordseam/internal/session"
)

// queueMost is the paper's default: turns that may wait in one session.
const queueMost = 32

// Parts are what a keeper is built from.
type Parts struct {
	Clock    base.Clock
	Wire     base.Wire
	View     *membership.View
	Bounds   *base.Table[base.Bounds]
	Counters *base.Counters
	Routes   *base.Table[route.Table]
	Ledger   Ledger
	Workers  Workers
}

// Keeper is a gateway's part in lines.
type Keeper struct {
	Parts
	history *history

	mu        sync.Mutex
	held      map[string]*held
	elsewhere map[string]*Assignment
	draining  bool
	streams   map[string]*Stream
}

func NewKeeper(parts Parts) *Keeper {
	return &Keeper{Parts: parts, history: newHistory(parts.Clock), held: map[string]*held{}, elsewhere: map[string]*Assignment{}}
}

func (k *Keeper) me() string { return k.View.Me() }

// lineOf is what a line goes by: programs may use each other's session names.
func lineOf(call *relay.Call) string { return call.Program + " " + call.Session }

// held is the owner's memory of one Run.
type held struct {
	line    string
	session string
	program string

	mu          sync.Mutex
	assignment  *Assignment
	confirmed   bool // the ledger gave the session to the assignment
	phase       session.Phase
	termination budget.Termination
	queue       []*operation
	running     *operation
	used        time.Duration
}

// operation is one turn on its owner.
type operation struct {
	call   *relay.Call
	ctx    *base.Ctx
	stream *Stream
	state  session.OperationState
	marked bool // forwarded to here, so it goes no further
	keep   time.Duration

	mu        sync.Mutex
	cancelled bool
	reply     Reply
}

// cancel stops an operation; what it handed out stays handed out.
func (op *operation) cancel() {
	op.mu.Lock()
	op.cancelled = true
	reply := op.reply
	op.mu.Unlock()
	if reply != nil {
		reply.Close()
	}
}

func (op *operation) isCancelled() bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	return op.cancelled
}

// attach gives the operation a worker's reply, unless it was cancelled.
func (op *operation) attach(reply Reply) bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.reply = reply
	return !op.cancelled
}

// Turn takes a turn from a client, to wherever its session is owned.
func (k *Keeper) Turn(ctx *base.Ctx, call *relay.Call) (*Stream, error) {
	k.Counters.Add("turns", 1)
	for hops := 0; ; hops++ {
		k.mu.Lock()
		found, other := k.held[lineOf(call)], k.elsewhere[lineOf(call)]
		k.mu.Unlock()
		if found == nil && other != nil {
			stream, err := k.forward(ctx, other, call)
			if err == nil {
				return stream, nil
			}
			v := base.FromWire(err)
			switch v.Code {
			case "stale_assignment", "unreachable", "owner_lost", "handing_over":
				if hops > 2 {
					return nil, k.soon("owner_unreachable", "the session's owner could not be reached")
				}
				k.forgetAssignment(lineOf(call), other)
				if v.Code == "stale_assignment" {
					other = nil // looked up anew
				}
			default:
				k.forgetAssignment(lineOf(call), other)
				return nil, err
			}
		}
		stream, moved, err := k.accept(ctx, call, found, other, false)
		if err != nil || moved == nil {
			return stream, err
		}
		if hops > 2 {
			return nil, k.soon("assignment_moves", "the session is changing hands")
		}
	}
}

// soon refuses what will be possible again in a moment.
func (k *Keeper) soon(code, format string, args ...any) *base.Verdict {
	return base.BusyFor(503, code, k.Bounds.Load().Recover/60, format, args...)
}

// elsewhereNow refuses what another node takes at once.
func (k *Keeper) elsewhereNow(code, format string, args ...any) *base.Verdict {
	return base.BusyFor(503, code, k.Bounds.Load().Recover/48, format, args...)
}

// forgetAssignment lets an assignment be looked up anew.
func (k *Keeper) forgetAssignment(id string, was *Assignment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.elsewhere[id] == was {
		delete(k.elsewhere, id)
	}
}

// accept puts a turn into its session's queue on this node. after is an
// assignment that is to be succeeded.
func (k *Keeper) accept(ctx *base.Ctx, call *relay.Call, found *held, after *Assignment, marked bool) (*Stream, *Assignment, error) {
	op := &operation{call: call, ctx: ctx, state: session.OpQueued, marked: marked}
	op.stream = newStream(k.Clock, op.cancel)
	for {
		if found == nil {
			if k.isDraining() {
				return nil, nil, k.elsewhereNow("draining", "this node is leaving")
			}
			found = &held{line: lineOf(call), session: call.Session, program: call.Program, phase: session.Pending, used: k.Clock.Now()}
			k.mu.Lock()
			if other := k.held[lineOf(call)]; other != nil {
				found = other
			} else {
				k.held[lineOf(call)] = found
			}
			k.mu.Unlock()
		}
		found.mu.Lock()
		switch {
		case found.phase.Terminal():
			found.mu.Unlock()
			k.drop(found)
			found = nil
			continue
		case found.phase == session.Finalizing:
			found.mu.Unlock()
			return nil, nil, k.elsewhereNow("session_draining", "the session takes no more turns here")
		case len(found.queue) >= queueMost:
			found.mu.Unlock()
			return nil, nil, base.Busy(429, "queue_full", 1, "%d turns wait in this session", queueMost)
		}
		break
	}
	// A program asks again from the same place only once it has given up on
	// the turn it asked for before.
	var stale []*operation
	for _, former := range append([]*operation{found.running}, found.queue...) {
		if former != nil && former.call.Previous == call.Previous {
			stale = append(stale, former)
		}
	}
	found.queue = append(found.queue, op)
	begins := found.running == nil && len(found.queue) == 1
	if begins {
		found.running = op
		found.queue = nil
	}
	found.used = k.Clock.Now()
	found.mu.Unlock()
	for _, former := range stale {
		k.Counters.Add("turns_superseded", 1)
		former.cancel()
	}
	if begins {
		moved := make(chan *Assignment, 1)
		first := k.Clock.NewSignal()
		k.Clock.Go(func() { k.run(found, op, after, func(to *Assignment) { moved <- to; first.Fire() }) })
		first.Wait(-1)
		select {
		case to := <-moved:
			return op.stream, to, nil
		default:
		}
	}
	return op.stream, nil, nil
}

func (k *Keeper) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

func (k *Keeper) drop(h *held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[h.line] == h {
		delete(k.held, h.line)
	}
}

// run takes the turns of a session one after the other. told hears, once,
// whether the first one's claim held (nil) or whose the session is.
func (k *Keeper) run(h *held, op *operation, after *Assignment, told func(*Assignment)) {
	for op != nil {
		moved := k.operate(h, op, after, told)
		after, told = nil, func(*Assignment) {}
		h.mu.Lock()
		op = nil
		if moved {
			h.phase = session.Failed
		}
		waiting := h.queue
		if len(waiting) > 0 && !moved {
			op, h.queue = waiting[0], waiting[1:]
		}
		h.running = op
		h.used = k.Clock.Now()
		h.mu.Unlock()
		if moved {
			k.drop(h)
			for _, left := range waiting {
				left.stream.fail(k.soon("session_moved", "the session is owned elsewhere now"))
			}
		}
	}
}

// operate carries one turn out: claim, chain, worker, ledger.
func (k *Keeper) operate(h *held, op *operation, after *Assignment, told func(*Assignment)) (moved bool) {
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
	if call.Previous == "" {
		chained.Fire()
	} else if body, ok := k.history.chain(call.Previous); ok {
		chain = body
		chained.Fire()
	} else {
		k.Clock.Go(func() {
			chain, lost = k.recall(ctx, call.Program, call.Previous, matched.Retain)
			chained.Fire()
		})
	}
	op.keep = matched.Retain
	claimed, err := k.claim(h, op, after)
	if err != nil {
		told(nil)
		op.stream.fail(base.FromWire(err))
		return false
	}
	if !claimed.Mine {
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
func (k *Keeper) claim(h *held, op *operation, after *Assignment) (*Claimed, error) {
	h.mu.Lock()
	assignment, confirmed := h.assignment, h.confirmed
	h.mu.Unlock()
	call := op.call
	asked := &Claim{Program: call.Program, Session: call.Session, Turn: call.ID, Most: int64(call.Most), Budget: call.Budget, HasBudget: call.HasBudget, Owner: k.me(), Previous: call.Previous, Keep: op.keep, After: after}
	if assignment != nil {
		asked.Run, asked.Epoch, asked.Confirmed, asked.After = assignment.Run, assignment.Epoch, confirmed, nil
	} else {
		asked.Run, asked.Epoch = base.NewID(k.Clock, "run-"), 1
		if after != nil {
			asked.Epoch = after.Epoch + 1
		}
	}
	for tries := 0; ; tries++ {
		claimed, err := k.Ledger.Begin(op.ctx, asked)
		if err != nil || claimed.Mine {
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
		asked.After, asked.Epoch, asked.Run, asked.Confirmed = other, other.Epoch+1, base.NewID(k.Clock, "run-"), false
	}
}

// recall brings a chain back from the ledger.
func (k *Keeper) recall(ctx *base.Ctx, program, turn string, retain time.Duration) ([]byte, error) {
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

// settle tells the ledger in its own time what a turn that was not whole
// handed out.
func (k *Keeper) settle(h *held, op *operation, tokens int64) {
	h.mu.Lock()
	assignment := h.assignment
	h.mu.Unlock()
	if !op.call.HasBudget || assignment == nil {
		return
	}
	settled := &Settled{Program: op.call.Program, Run: assignment.Run, Turn: op.call.ID, Tokens: tokens, Keep: op.keep}
	k.Clock.Go(func() {
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
func (k *Keeper) serve(h *held, op *operation, matched *route.Route, chain []byte) {
	call, ctx := op.call, op.ctx
	body := call.Body
	if len(chain) > 0 {
		body = append(append(make([]byte, 0, len(chain)+len(call.Body)), chain...), call.Body...)
	}
	service := matched.Pick(func(n int64) int64 { return int64(base.Hash64(call.Session) % uint64(n)) })
	reply, err := k.Workers.Offer(ctx, matched, service, call, body)
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
	if !reply.Streams() {
		k.settle(h, op, 0)
		op.state = session.OpFailed
		k.answerPlain(op, reply)
		return
	}
	stride := int64(1)
	if known := k.Routes.Load().Services[service]; known != nil && known.Engine != nil {
		stride = int64(max(1, known.Engine.Stride))
	}
	output, events, whole := k.passOn(op, reply)
	if !whole {
		k.settle(h, op, events*stride)
		op.state = session.OpFailed
		k.Counters.Add("turns_cut", 1)
		op.stream.fail(base.Unsure(502, "cut", "the worker's answer was cut short"))
		return
	}
	k.keep(h, op, matched, output, events*stride)
}

// passOn gives each event to the reader as it comes.
func (k *Keeper) passOn(op *operation, reply Reply) (output []byte, events int64, whole bool) {
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

// Pass takes a streamed call that belongs to no line to a worker.
func (k *Keeper) Pass(ctx *base.Ctx, matched *route.Route, call *relay.Call) *Stream {
	op := &operation{call: call, ctx: ctx, state: session.OpRunning}
	op.stream = newStream(k.Clock, op.cancel)
	k.Clock.Go(func() {
		reply, err := k.Workers.Offer(ctx, matched, matched.Pick(k.Clock.Int64N), call, call.Body)
		if err != nil {
			op.stream.fail(base.FromWire(err))
			return
		}
		defer reply.Close()
		switch {
		case !op.attach(reply):
			op.stream.fail(base.Unsure(502, "cancelled", "the call was given up"))
		case !reply.Streams():
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
func (k *Keeper) keep(h *held, op *operation, matched *route.Route, output []byte, tokens int64) {
	call := op.call
	h.mu.Lock()
	assignment := h.assignment
	h.mu.Unlock()
	kept := Kept{Turn: call.ID, Previous: call.Previous, Input: call.Body, Output: output}
	ending := &Ending{Program: call.Program, Session: call.Session, Run: assignment.Run, Owner: assignment.Owner, Epoch: assignment.Epoch, Kept: kept, Budgeted: call.HasBudget, Tokens: tokens, Retain: matched.Retain}
	ctx := base.NewCtx(k.Clock, k.keepLimit(op.ctx.Left()))
	if err := k.Ledger.Finish(ctx, ending); err != nil {
		k.Counters.Add("turns_not_kept", 1)
		k.settle(h, op, tokens)
		op.state = session.OpFailed
		op.stream.fail(base.FromWire(err))
		return
	}
	k.history.keep(kept, matched.Retain)
	op.state = session.OpSucceeded
	k.Counters.Add("turns_whole", 1)
	op.stream.finish()
}

// keepLimit is how long the ledger may take for a turn whose answer is over, of
// the time left: it gets a little also when that is over, but no more than what
// a client is held past its deadline without a price.
func (k *Keeper) keepLimit(left time.Duration) time.Duration {
	recover := k.Bounds.Load().Recover
	return min(max(left, recover/60), recover/4)
}

// answerPlain passes an answer on that is no stream.
func (k *Keeper) answerPlain(op *operation, reply Reply) {
	body, err := reply.Body(op.ctx.Left())
	if err != nil {
		op.stream.fail(base.Unsure(502, "worker_cut", "the worker's answer was cut short"))
		return
	}
	op.stream.open(&Head{Status: reply.Status(), Headers: reply.Headers()})
	op.stream.put(body)
	op.stream.finish()
}

// Run lets go of sessions that have been quiet for a while: their lease is
// over, and a later turn gets the next Run.
func (k *Keeper) Run() {
	for !k.View.Closed() {
		k.Clock.Sleep(k.Bounds.Load().Recover / 6)
		quiet := k.Clock.Now() - k.Bounds.Load().Recover*2
		k.history.sweep()
		k.mu.Lock()
		for _, id := range base.SortedKeys(k.held) {
			h := k.held[id]
			h.mu.Lock()
			if h.running == nil && h.used < quiet {
				h.phase = session.Failed
				delete(k.held, id)
			}
			h.mu.Unlock()
		}
		if len(k.elsewhere) > 1<<14 {
			clear(k.elsewhere)
		}
		k.mu.Unlock()
	}
}

// Drain ends all lines here: accepted turns finish, new ones go elsewhere. It is
// over when whoever forwarded a turn has its end too.
func (k *Keeper) Drain(limit time.Duration) {
	k.mu.Lock()
	k.draining = true
	all := []*held{}
	for _, id := range base.SortedKeys(k.held) {
		all = append(all, k.held[id])
	}
	k.mu.Unlock()
	for _, h := range all {
		k.terminate(h, budget.Drain)
	}
	end := k.Clock.Now() + limit
	for k.Busy()+k.owing() > 0 && k.Clock.Now() < end {
		k.Clock.Sleep(k.Bounds.Load().Recover / 120)
	}
}

// Busy counts the sessions with a turn under way.
func (k *Keeper) Busy() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	count := 0
	for _, h := range k.held {
		h.mu.Lock()
		if h.running != nil {
			count++
		}
		h.mu.Unlock()
	}
	return count
}

// Terminate ends a session's Run here; it only escalates.
func (k *Keeper) Terminate(program, id string, mode budget.Termination) bool {
	k.mu.Lock()
	found := k.held[program+" "+id]
	k.mu.Unlock()
	if found == nil {
		return false
	}
	k.terminate(found, mode)
	return true
}

func (k *Keeper) terminate(h *held, mode budget.Termination) {
	h.mu.Lock()
	h.termination = h.termination.Escalate(mode)
	if h.phase.May(session.Finalizing) {
		h.phase = session.Finalizing
	}
	running, waiting := h.running, []*operation(nil)
	if h.termination == budget.Immediate {
		waiting, h.queue = h.queue, nil
	}
	h.mu.Unlock()
	if h.termination != budget.Immediate {
		return
	}
	for _, op := range waiting {
		op.stream.fail(k.elsewhereNow("session_terminating", "the session is ending; the turn has not run"))
	}
	if running != nil {
		running.cancel()
	}
}

// Status is what a read of a session shows; it never waits in the queue.
type Status struct {
	Session     string             `json:"session"`
	Program     string             `json:"program"`
	Run         string             `json:"run"`
	Epoch       uint64             `json:"epoch"`
	Phase       session.Phase      `json:"phase"`
	Termination budget.Termination `json:"termination,omitempty"`
	Waiting     int                `json:"waiting"`
	Running     string             `json:"running,omitempty"`
}

// List shows the sessions this node owns.
func (k *Keeper) List(limit int) []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := []Status{}
	for _, id := range base.SortedKeys(k.held) {
		if len(found) == limit {
			break
		}
		h := k.held[id]
		h.mu.Lock()
		one := Status{Session: h.session, Program: h.program, Phase: h.phase, Termination: h.termination, Waiting: len(h.queue)}
		if h.assignment != nil {
			one.Run, one.Epoch = h.assignment.Run, h.assignment.Epoch
		}
		if h.running != nil {
			one.Running = h.running.call.ID
		}
		h.mu.Unlock()
		found = append(found, one)
	}
	return found
}

// forward carries a turn to its owner once and follows the answer.
func (k *Keeper) forward(ctx *base.Ctx, to *Assignment, call *relay.Call) (*Stream, error) {
	member, alive := k.View.Find(to.Owner)
	if member == nil || !alive {
		return nil, base.Busy(503, "unreachable", 1, "the owner is not known to be alive")
	}
	k.Counters.Add("turns_forwarded", 1)
	owner := NewOwnerProtobufClient("http://"+member.Addr, k.Wire)
	hold := k.Bounds.Load().Recover / 24
	reply, err := owner.Forward(ctx.Within(hold*5/2), &ForwardRequest{From: k.me(), Forwarded: true, Assignment: to, Call: packCall(call, ctx)})
	if err != nil {
		v := base.FromWire(err)
		if v.Code == "unreachable" || v.Code == "owner_lost" || v.Code == "reply_lost" {
			k.View.Suspect(to.Owner)
		}
		return nil, v
	}
	asked := func(leave bool, place uint64, limit time.Duration) (*PullReply, error) {
		return owner.Pull(base.NewCtx(k.Clock, limit), &PullRequest{Program: call.Program, Session: call.Session, Turn: call.ID, Place: place, HoldMs: hold.Milliseconds(), Leave: leave, Assignment: to})
	}
	stream := newStream(k.Clock, func() {
		k.Clock.Go(func() { _, _ = asked(true, 0, hold) })
	})
	k.Clock.Go(func() {
		place := uint64(0)
		for {
			if reply.Status > 0 && place == 0 {
				stream.open(&Head{Status: int(reply.Status), Headers: unpackHeaders(reply.Headers)})
			}
			stream.put(reply.Pieces...)
			place += uint64(len(reply.Pieces))
			switch {
			case reply.Cut:
				stream.fail(base.Unsure(502, "cut", "the answer was cut short"))
				return
			case reply.Done:
				stream.finish()
				return
			case ctx.Over() || stream.abandoned():
				stream.fail(base.Unsure(504, "timed_out", "no answer came in time"))
				return
			}
			if reply, err = asked(false, place, 3*hold); err != nil {
				stream.fail(pullFailed(err))
				return
			}
		}
	})
	return stream, nil
}

// pullFailed judges a pull without an answer. That it was not sent says nothing
// of the turn, which the owner has; the owner's own word does.
func pullFailed(err error) *base.Verdict {
	v := base.FromWire(err)
	if base.WasNotSent(err) {
		return base.Unsure(502, "owner_lost", "the session's owner was lost: %s", v.Message)
	}
	return v
}

// Forward is the owner's side; it never carries a turn any further.
func (k *Keeper) Forward(plain context.Context, request *ForwardRequest) (*PullReply, error) {
	arrived := base.CtxOf(plain, k.Clock)
	call := unpackCall(request.GetCall())
	if !request.Forwarded || call.Session == "" || request.Assignment == nil {
		return nil, base.ToWire(base.Decline(400, "bad_request", "not a forwarded turn"))
	}
	if request.Assignment.Owner != k.me() {
		return nil, base.ToWire(base.Busy(503, "owner_lost", 1, "the owner's life at this address is over"))
	}
	k.mu.Lock()
	found := k.held[lineOf(call)]
	k.mu.Unlock()
	if found == nil {
		return nil, base.ToWire(base.Decline(409, "stale_assignment", "this node has let the session go"))
	}
	found.mu.Lock()
	same, leaving := found.assignment != nil && found.assignment.Run == request.Assignment.Run && found.assignment.Epoch == request.Assignment.Epoch, found.phase == session.Finalizing
	found.mu.Unlock()
	switch {
	case !same:
		return nil, base.ToWire(base.Decline(409, "stale_assignment", "the session is assigned to another Run"))
	case leaving:
		return nil, base.ToWire(base.Busy(503, "handing_over", 1, "this node is leaving"))
	}
	ctx := base.NewCtx(k.Clock, call.Deadline)
	stream, _, err := k.accept(ctx, call, found, nil, true)
	if err != nil {
		return nil, base.ToWire(err)
	}
	k.mu.Lock()
	k.followed(call, stream)
	k.mu.Unlock()
	return k.news(arrived, stream, 0, k.Bounds.Load().Recover/24)
}
