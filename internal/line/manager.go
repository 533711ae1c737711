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
const maxQueuedTurns = 32

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

	mu               sync.Mutex
	owned            map[string]*ownedSession
	remoteOwners     map[string]*Assignment
	draining         bool
	forwardedStreams map[string]*Stream

	pendingSettlements atomic.Int64 // turns whose spending is on its way to the ledger
}

func NewManager(deps Dependencies) *Manager {
	return &Manager{Dependencies: deps, history: newHistory(deps.Clock), owned: map[string]*ownedSession{}, remoteOwners: map[string]*Assignment{}}
}

func (m *Manager) nodeID() string { return m.View.Me() }

// unnamedMark begins the names that stand in for a program or a session that a
// call does not name. No header value holds this byte, so they meet no caller's.
const unnamedPrefix = "\x1f"

// IsTurn tells whether a streamed call goes to a session's owner: it is kept, or
// belongs to a program or a session, or spends a budget.
func IsTurn(matched *route.Route, call *relay.Call) bool {
	return matched.Retained || call.Program != "" || call.Session != "" || call.HasBudget
}

// identify gives a turn the names that it lacks: one without a session has a
// session of its own, one without a program a program of its session's.
func fillMissingNames(call *relay.Call) {
	if call.Session == "" {
		call.Session = unnamedPrefix + call.ID
	}
	if call.Program == "" {
		call.Program = unnamedPrefix + call.Session
	}
}

// lineOf is what a line goes by: programs may use each other's session names.
func sessionKey(call *relay.Call) string { return call.Program + " " + call.Session }

// held is the owner's memory of one Run.
type ownedSession struct {
	key     string
	session string
	program string

	mu          sync.Mutex
	assignment  *Assignment
	confirmed   bool // the ledger gave the session to the assignment
	phase       session.Phase
	termination budget.Termination
	queue       []*operation
	running     *operation
	lastUsed    time.Duration
}

// operation is one turn on its owner.
type operation struct {
	call      *relay.Call
	ctx       *base.Ctx
	stream    *Stream
	state     session.OperationState
	forwarded bool // forwarded to here, so it goes no further
	retain    time.Duration

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
func (op *operation) setReply(reply Reply) bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.reply = reply
	return !op.cancelled
}

// SubmitTurn takes a turn from a client, to wherever its session is owned.
func (m *Manager) SubmitTurn(ctx *base.Ctx, call *relay.Call) (*Stream, error) {
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
			verdict := base.FromWire(err)
			switch verdict.Code {
			case "stale_assignment", "unreachable", "owner_lost", "handing_over":
				if attempts > 2 {
					return nil, m.retrySoon("owner_unreachable", "the session's owner could not be reached")
				}
				m.forgetAssignment(sessionKey(call), remote)
				if verdict.Code == "stale_assignment" {
					remote = nil // looked up anew
				}
			default:
				m.forgetAssignment(sessionKey(call), remote)
				return nil, err
			}
		}
		stream, moved, err := m.accept(ctx, call, s, remote, false)
		if err != nil || moved == nil {
			return stream, err
		}
		if attempts > 2 {
			return nil, m.retrySoon("assignment_moves", "the session is changing hands")
		}
	}
}

// soon refuses what will be possible again in a moment.
func (m *Manager) retrySoon(code, format string, args ...any) *base.Verdict {
	return base.BusyFor(503, code, m.Bounds.Load().Recover/60, format, args...)
}

// elsewhereNow refuses what another node takes at once.
func (m *Manager) retryElsewhere(code, format string, args ...any) *base.Verdict {
	return base.BusyFor(503, code, m.Bounds.Load().Recover/48, format, args...)
}

// forgetAssignment lets an assignment be looked up anew.
func (m *Manager) forgetAssignment(key string, assignment *Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remoteOwners[key] == assignment {
		delete(m.remoteOwners, key)
	}
}

// accept puts a turn into its session's queue on this node. after is an
// assignment that is to be succeeded.
func (m *Manager) accept(ctx *base.Ctx, call *relay.Call, s *ownedSession, replaces *Assignment, forwarded bool) (*Stream, *Assignment, error) {
	op := &operation{call: call, ctx: ctx, state: session.OpQueued, forwarded: forwarded}
	op.stream = newStream(m.Clock, op.cancel)
	for {
		if s == nil {
			if m.isDraining() {
				return nil, nil, m.retryElsewhere("draining", "this node is leaving")
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
			return nil, nil, m.retryElsewhere("session_draining", "the session takes no more turns here")
		case len(s.queue) >= maxQueuedTurns:
			s.mu.Unlock()
			return nil, nil, base.Busy(429, "queue_full", 1, "%d turns wait in this session", maxQueuedTurns)
		}
		break
	}
	var superseded []*operation
	for _, earlier := range append([]*operation{s.running}, s.queue...) {
		if earlier != nil && m.supersedes(earlier.call, call) {
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
		moved := make(chan *Assignment, 1)
		claimed := m.Clock.NewSignal()
		m.Clock.Go(func() { m.runQueue(s, op, replaces, func(remote *Assignment) { moved <- remote; claimed.Fire() }) })
		claimed.Wait(-1)
		select {
		case remote := <-moved:
			return op.stream, remote, nil
		default:
		}
	}
	return op.stream, nil, nil
}

// asksAgain tells whether a turn stands for a former one of its session. A
// program asks again from the same place only once it has given up on the turn
// that it asked for before; where turns are not kept they name no place, and only
// one that says the same is the same turn.
func (m *Manager) supersedes(earlier, call *relay.Call) bool {
	matched := m.Routes.Load().Match(call.Host, call.Target)
	if matched != nil && matched.Retained {
		return earlier.Previous == call.Previous
	}
	return earlier.Target == call.Target && bytes.Equal(earlier.Body, call.Body)
}

// run takes the turns of a session one after the other. told hears, once,
// whether the first one's claim held (nil) or whose the session is.
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
				waitingOp.stream.fail(m.retrySoon("session_moved", "the session is owned elsewhere now"))
			}
		}
	}
}

// keepLimit is how long the ledger may take for a turn whose answer is over, of
// the time left: it gets a little also when that is over, but no more than what
// a client is held past its deadline without a price.
func (m *Manager) commitTimeout(left time.Duration) time.Duration {
	recoverBound := m.Bounds.Load().Recover
	return min(max(left, recoverBound/60), recoverBound/4)
}
