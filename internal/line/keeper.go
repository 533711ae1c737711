// Package line holds a program's lines of turns. A session is one Run at a
// time with one owner, which alone has its queue: turns run one after the
// other, in the order accepted, and reads of state bypass the queue. The
// session and the assignment (run, owner, epoch) go with every call between
// nodes; a call that lands elsewhere is forwarded once, marked. Termination
// only escalates. What a line must not lose, its assignment, its budget and
// its whole turns, is in the ledger before anyone is told.
package line

import (
	"bytes"
	"sync"
	"sync/atomic"
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

// Dependencies are what a keeper is built from.
type Dependencies struct {
	Clock    base.Clock
	Wire     base.Wire
	View     *membership.View
	Bounds   *base.Table[base.Bounds]
	Counters *base.Counters
	Routes   *base.Table[route.Table]
	Ledger   Ledger
	Workers  Workers
}

// Manager is a gateway's part in lines.
type Manager struct {
	Dependencies
	history *history

	mu        sync.Mutex
	held      map[string]*held
	elsewhere map[string]*Assignment
	draining  bool
	streams   map[string]*Stream

	settling atomic.Int64 // turns whose spending is on its way to the ledger
}

func NewManager(parts Dependencies) *Manager {
	return &Manager{Dependencies: parts, history: newHistory(parts.Clock), held: map[string]*held{}, elsewhere: map[string]*Assignment{}}
}

func (k *Manager) me() string { return k.View.SelfID() }

// unnamedMark begins the names that stand in for a program or a session that a
// call does not name. No header value holds this byte, so they meet no caller's.
const unnamedMark = "\x1f"

// IsTurn tells whether a streamed call goes to a session's owner: it is kept, or
// belongs to a program or a session, or spends a budget.
func IsTurn(matched *route.Route, call *relay.Call) bool {
	return matched.RetainTurns || call.Program != "" || call.Session != "" || call.HasTokenBudget
}

// identify gives a turn the names that it lacks: one without a session has a
// session of its own, one without a program a program of its session's.
func identify(call *relay.Call) {
	if call.Session == "" {
		call.Session = unnamedMark + call.ID
	}
	if call.Program == "" {
		call.Program = unnamedMark + call.Session
	}
}

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

// SubmitTurn takes a turn from a client, to wherever its session is owned.
func (k *Manager) SubmitTurn(ctx *base.Ctx, call *relay.Call) (*Stream, error) {
	k.Counters.Add("turns", 1)
	identify(call)
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
func (k *Manager) soon(code, format string, args ...any) *base.Verdict {
	return base.BusyFor(503, code, k.Bounds.Load().Recover/60, format, args...)
}

// elsewhereNow refuses what another node takes at once.
func (k *Manager) elsewhereNow(code, format string, args ...any) *base.Verdict {
	return base.BusyFor(503, code, k.Bounds.Load().Recover/48, format, args...)
}

// forgetAssignment lets an assignment be looked up anew.
func (k *Manager) forgetAssignment(id string, was *Assignment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.elsewhere[id] == was {
		delete(k.elsewhere, id)
	}
}

// accept puts a turn into its session's queue on this node. after is an
// assignment that is to be succeeded.
func (k *Manager) accept(ctx *base.Ctx, call *relay.Call, found *held, after *Assignment, marked bool) (*Stream, *Assignment, error) {
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
	var stale []*operation
	for _, former := range append([]*operation{found.running}, found.queue...) {
		if former != nil && k.asksAgain(former.call, call) {
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

// asksAgain tells whether a turn stands for a former one of its session. A
// program asks again from the same place only once it has given up on the turn
// that it asked for before; where turns are not kept they name no place, and only
// one that says the same is the same turn.
func (k *Manager) asksAgain(former, call *relay.Call) bool {
	matched := k.Routes.Load().Match(call.Host, call.Target)
	if matched != nil && matched.RetainTurns {
		return former.PreviousTurn == call.PreviousTurn
	}
	return former.Target == call.Target && bytes.Equal(former.Body, call.Body)
}

// run takes the turns of a session one after the other. told hears, once,
// whether the first one's claim held (nil) or whose the session is.
func (k *Manager) run(h *held, op *operation, after *Assignment, told func(*Assignment)) {
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

// keepLimit is how long the ledger may take for a turn whose answer is over, of
// the time left: it gets a little also when that is over, but no more than what
// a client is held past its deadline without a price.
func (k *Manager) keepLimit(left time.Duration) time.Duration {
	recover := k.Bounds.Load().Recover
	return min(max(left, recover/60), recover/4)
}
