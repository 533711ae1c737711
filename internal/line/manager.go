// Package line queues the turns of sessions on the gateways that serve an operator's
// routes, and relays them to workers.
//
// A session is assigned to one Run at a time, with one owner: the gateway that alone
// holds the session's queue. Its turns run one after the other, in the order accepted;
// reads of its state bypass the queue. The session and the assignment (run, owner,
// epoch) travel with every call between nodes. A turn that arrives at another gateway
// is forwarded to the owner once, marked so that it is not forwarded again.
// Termination only escalates. What must not be lost, the assignment, the budget and
// the completed turns, is in the ledger before a client learns of it.
package line

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/membership"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/route"
	"fordseam/internal/session"
)

// maxQueuedTurns is how many turns may wait in one session, the paper's default.
const maxQueuedTurns = 32

// Dependencies are the services that a Manager uses.
type Dependencies struct {
	Clock      base.Clock
	HTTPClient base.HTTPClient
	View       *membership.View
	Bounds     *base.AtomicPointer[base.Bounds]
	Counters   *base.Counters
	Routes     *base.AtomicPointer[route.Table]
	Ledger     Ledger
	Workers    Workers
	// Memory is what forwarded turns count to; nil sets no bound.
	Memory *memory.Budget
	// MemoryBytes is the memory of the machine, which bounds the history; 0 if it is not known.
	MemoryBytes int64
}

// Manager is a gateway's session service for an operator's routes.
type Manager struct {
	Dependencies
	history *history

	mu               sync.Mutex
	owned            map[string]*ownedSession // by session key
	remoteOwners     map[string]*Assignment   // assignments to other nodes, by session key
	draining         bool
	forwardedStreams map[string]*Stream // pulled by other gateways

	pendingSettlements atomic.Int64 // settlements that the ledger has not confirmed
}

// NewManager returns a Manager that owns no sessions yet.
func NewManager(deps Dependencies) *Manager {
	return &Manager{Dependencies: deps, history: newHistory(deps.Clock, historyLimit(deps.MemoryBytes)), owned: map[string]*ownedSession{}, remoteOwners: map[string]*Assignment{}}
}

func (m *Manager) nodeID() string { return m.View.SelfID() }

// unnamedPrefix starts the generated names of programs and sessions that a call does
// not name. No header value can contain this byte, so they never equal a client's.
const unnamedPrefix = "\x1f"

// IsTurn reports whether a streamed call goes to a session's owner: its turns are
// retained, it belongs to a program or a session, or it spends a budget.
func IsTurn(matched *route.Route, call *relay.Call) bool {
	return matched.RetainTurns || call.Program != "" || call.Session != "" || call.HasTokenBudget
}

// fillMissingNames gives a turn without a session a session of its own, and one
// without a program a program of its own for that session.
func fillMissingNames(call *relay.Call) {
	if call.Session == "" {
		call.Session = unnamedPrefix + call.ID
	}
	if call.Program == "" {
		call.Program = unnamedPrefix + call.Session
	}
}

// sessionKey identifies a session on this node. It contains the program, because
// different programs may use the same session names.
func sessionKey(call *relay.Call) string { return call.Program + " " + call.Session }

// ownedSession is the owner's memory of one Run.
type ownedSession struct {
	key     string
	session string
	program string

	mu          sync.Mutex
	assignment  *Assignment
	confirmed   bool // the ledger accepted the assignment
	phase       session.Phase
	termination budget.Termination
	queue       []*operation
	running     *operation
	lastUsed    time.Duration
}

// operation is one turn on the session's owner. It is bound to the route that matched it
// when it was accepted: a later configuration does not change its service, its limits or
// how its tokens are counted.
type operation struct {
	call      *relay.Call
	route     *route.Route
	ctx       *base.Ctx
	stream    *Stream
	state     session.OperationState
	forwarded bool // forwarded to this node, which must not forward it again

	mu        sync.Mutex
	cancelled bool
	reply     Reply
}

// cancel stops an operation. What was already streamed stays delivered.
func (op *operation) cancel() {
	op.mu.Lock()
	op.cancelled = true
	reply := op.reply
	op.mu.Unlock()
	op.stream.interrupt()
	if reply != nil {
		reply.Close()
	}
}

func (op *operation) isCancelled() bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	return op.cancelled
}

// setReply sets the worker's reply, which cancel closes. It returns false when the
// operation was cancelled before.
func (op *operation) setReply(reply Reply) bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.reply = reply
	return !op.cancelled
}

// SubmitTurn runs a client's turn of a route on the owner of its session: here, when this
// node owns the session or can claim it, or else by forwarding it.
func (m *Manager) SubmitTurn(ctx *base.Ctx, matched *route.Route, call *relay.Call) (*Stream, error) {
	m.Counters.Add("turns", 1)
	fillMissingNames(call)
	for attempts := 0; ; attempts++ {
		m.mu.Lock()
		s, remote := m.owned[sessionKey(call)], m.remoteOwners[sessionKey(call)]
		m.mu.Unlock()
		if s == nil && remote != nil {
			stream, err := m.forward(ctx, remote, call)
			if err == nil {
				return stream, nil
			}
			requestErr := base.ToRequestError(err)
			switch requestErr.Code {
			case "stale_assignment", "unreachable", "owner_lost", "handing_over":
				if attempts > 2 {
					return nil, m.retrySoon("owner_unreachable", "the session's owner could not be reached")
				}
				m.forgetAssignment(sessionKey(call), remote)
				if requestErr.Code == "stale_assignment" {
					remote = nil // claim asks the ledger for the current one
				}
			default:
				m.forgetAssignment(sessionKey(call), remote)
				return nil, err
			}
		}
		stream, newOwner, err := m.accept(m.newOperation(ctx, matched, call, false), s, remote)
		if err != nil || newOwner == nil {
			return stream, err
		}
		if attempts > 2 {
			return nil, m.retrySoon("assignment_moves", "the session is moving to another owner")
		}
	}
}

// retrySoon declines what is expected to be possible again shortly, on this node too.
func (m *Manager) retrySoon(code, format string, args ...any) *base.RequestError {
	return base.BusyFor(503, code, m.Bounds.Load().Recovery/60, format, args...)
}

// retryElsewhere declines what another node can accept at once.
func (m *Manager) retryElsewhere(code, format string, args ...any) *base.RequestError {
	return base.BusyFor(503, code, m.Bounds.Load().Recovery/48, format, args...)
}

// forgetAssignment drops a cached assignment, so that the next turn looks it up.
func (m *Manager) forgetAssignment(key string, assignment *Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remoteOwners[key] == assignment {
		delete(m.remoteOwners, key)
	}
}

// newOperation returns the operation of a turn of a route.
func (m *Manager) newOperation(ctx *base.Ctx, matched *route.Route, call *relay.Call, forwarded bool) *operation {
	op := &operation{call: call, route: matched, ctx: ctx, state: session.OpQueued, forwarded: forwarded}
	op.stream = newStream(m.Clock, m.Memory, op.cancel)
	return op
}

// accept puts a turn into its session's queue on this node and returns its stream.
// s is the session if this node owns it; replaces is the assignment of a lost owner
// that the new Run is to replace, if any. The assignment returned is the one of
// another node that has the session instead.
func (m *Manager) accept(op *operation, s *ownedSession, replaces *Assignment) (*Stream, *Assignment, error) {
	call := op.call
	for {
		if s == nil {
			if m.isDraining() {
				return nil, nil, m.retryElsewhere("draining", "this node is draining and accepts no new sessions")
			}
			s = &ownedSession{key: sessionKey(call), session: call.Session, program: call.Program, phase: session.Pending, lastUsed: m.Clock.Now()}
			m.mu.Lock()
			if existing := m.owned[sessionKey(call)]; existing != nil {
				s = existing
			} else {
				m.owned[sessionKey(call)] = s
			}
			m.mu.Unlock()
		}
		s.mu.Lock()
		switch {
		case s.phase.Terminal():
			s.mu.Unlock()
			m.remove(s)
			s = nil
			continue
		case s.phase == session.Finalizing:
			s.mu.Unlock()
			return nil, nil, m.retryElsewhere("session_draining", "the session is closing on this node and accepts no more turns here")
		case len(s.queue) >= maxQueuedTurns:
			s.mu.Unlock()
			return nil, nil, base.Busy(429, "queue_full", 1, "the session's queue of %d turns is full", maxQueuedTurns)
		}
		break
	}
	var superseded []*operation
	for _, earlier := range append([]*operation{s.running}, s.queue...) {
		if earlier != nil && op.supersedes(earlier) {
			superseded = append(superseded, earlier)
		}
	}
	s.queue = append(s.queue, op)
	startQueue := s.running == nil && len(s.queue) == 1
	if startQueue {
		s.running = op
		s.queue = nil
	}
	s.lastUsed = m.Clock.Now()
	s.mu.Unlock()
	for _, earlier := range superseded {
		m.Counters.Add("turns_superseded", 1)
		earlier.cancel()
	}
	if startQueue {
		newOwner := make(chan *Assignment, 1)
		claimed := m.Clock.NewSignal()
		m.Clock.Go(func() { m.runQueue(s, op, replaces, func(remote *Assignment) { newOwner <- remote; claimed.Fire() }) })
		claimed.Wait(-1)
		select {
		case remote := <-newOwner:
			return op.stream, remote, nil
		default:
		}
	}
	return op.stream, nil, nil
}

// supersedes reports whether a turn replaces an earlier one of its session. A program
// sends another turn with the same previous turn only after it has given up on the
// earlier one. Where turns are not retained they name no previous turn, and only a
// turn with the same target and body is the same turn.
func (op *operation) supersedes(earlier *operation) bool {
	if op.route.RetainTurns {
		return earlier.call.PreviousTurn == op.call.PreviousTurn
	}
	return earlier.call.Target == op.call.Target && bytes.Equal(earlier.call.Body, op.call.Body)
}

// runQueue runs the turns of a session one after the other. It calls onClaim once:
// with nil when the first turn's claim held or failed, or with the assignment of the
// other node that has the session.
func (m *Manager) runQueue(s *ownedSession, op *operation, replaces *Assignment, onClaim func(*Assignment)) {
	for op != nil {
		ownerChanged := m.runTurn(s, op, replaces, onClaim)
		replaces, onClaim = nil, func(*Assignment) {}
		s.mu.Lock()
		op = nil
		if ownerChanged {
			s.phase = session.Failed
		}
		waiting := s.queue
		if len(waiting) > 0 && !ownerChanged {
			op, s.queue = waiting[0], waiting[1:]
		}
		s.running = op
		s.lastUsed = m.Clock.Now()
		s.mu.Unlock()
		if ownerChanged {
			m.remove(s)
			for _, waitingOp := range waiting {
				waitingOp.stream.fail(m.retrySoon("session_moved", "the session moved to another owner"))
			}
		}
	}
}

// commitTimeout returns how long storing a turn in the ledger may take once its answer
// is complete. It is a little even when no time remains, but at most the time that a
// client may be kept waiting past its deadline without a penalty.
func (m *Manager) commitTimeout(remaining time.Duration) time.Duration {
	recoverBound := m.Bounds.Load().Recovery
	return min(max(remaining, recoverBound/60), recoverBound/4)
}
