// Package session serves conversations on the gateways and keeps their durable
// state in the register.
//
// A session is assigned to one Run at a time. A Run has an id, an epoch and one
// owner: the gateway that alone holds the session's queue, its operation states,
// its answered turns (the chain) and its streams. The Record in the register is
// the assignment and the durable part. Every register operation names the Run
// that it acts for, so an owner whose Run was replaced can no longer reserve
// tokens, finish turns or change the session. The paper ends a session together
// with its owner; here only the Run ends and the history stays, and a later turn
// starts a successor Run with a new id and epoch.
//
// Manager.Handle finds a session's owner and serves the request here when this
// node is the owner, or else forwards it to the owner once, marked so that it is
// not forwarded again. The session id and the assignment travel with every call;
// an owner that holds another Run answers stale_assignment, and the assignment is
// then looked up once more. When the owner is gone, the session's standby, or
// this node if the standby fails, takes the next Run by epoch and the request
// continues there.
//
// Some terms have other names in messages, stored records and metrics: a standby is
// an understudy there, an attempt (one try of a turn at a worker) is a leg, a request
// is a visit, and a position in a stream is a place.
package session

import (
	"encoding/json"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/feed"
	"fordseam/internal/membership"
	"fordseam/internal/memory"
	"fordseam/internal/register"
	"fordseam/internal/settings"
	"fordseam/internal/worker"
)

// Kinds of requests to a session.
const (
	KindStatus     = "status"
	KindSubmitTurn = "turn"
	KindListTurns  = "turns"
	KindReadTurn   = "read"
	KindCancelTurn = "cancel"
	KindRenewLease = "renew"
	KindClose      = "close"
	KindTerminate  = "terminate"
)

// Limits per gateway: cached records of sessions, wherever they are owned, and
// sessions owned here.
const (
	recordCacheLimit  = 8192
	ownedSessionLimit = 16384
)

// Request is one call to a session, as a client sent it. It is sent to the owner as
// JSON inside ForwardRequest. LastAttempt and LastPiece say how far the client has read
// the answer of the turn; After and Limit select the page of a listing.
type Request struct {
	ID          string          `json:"id"`
	Kind        string          `json:"kind"`
	Program     string          `json:"program"`
	Session     string          `json:"session"`
	Bearer      string          `json:"bearer"`
	Turn        string          `json:"turn,omitempty"`
	Previous    string          `json:"previous,omitempty"`
	LastAttempt string          `json:"last_leg,omitempty"`
	LastPiece   uint64          `json:"last_place,omitempty"`
	Limit       int             `json:"limit,omitempty"`
	After       uint64          `json:"after,omitempty"`
	Messages    json.RawMessage `json:"messages,omitempty"`
	MaxTokens   int64           `json:"max_tokens,omitempty"`
}

// Reply is a response body, or a stream to read.
type Reply struct {
	Status int
	Body   any
	Stream *Reader
}

// Manager is a gateway's session service. It holds the sessions that this gateway
// owns, the copies of those that it is the standby for, and a cache of records.
type Manager struct {
	clock      base.Clock
	httpClient base.HTTPClient
	view       *membership.View
	bounds     *base.AtomicPointer[base.Bounds]
	counters   *base.Counters
	register   *register.Client
	follower   *feed.Follower
	picker     *worker.Picker
	workers    *worker.Client
	backends   base.BackendClient
	tree       *base.AtomicPointer[settings.Tree]
	memory     *memory.Budget

	mu               sync.Mutex
	owned            map[string]*ownedSession
	standbyCopies    map[string]*standbyCopy
	recordCache      map[string]*Record
	forwardedStreams map[string]*Stream // pulled by other gateways, by Run and turn id
	outcomes         map[string]*requestOutcome
	terminations     map[string]budget.Termination
	retryCredit      float64
	draining         bool
	closed           bool
	// stopping fires when a draining node has no time left for unfinished streams.
	stopping base.Signal
}

// requestOutcome is what became of a request here: declined with an error,
// accepted, or neither yet.
type requestOutcome struct {
	requestErr *base.RequestError
	recordedAt time.Duration
	accepted   bool
}

// Dependencies are the services that a Manager uses.
type Dependencies struct {
	Clock      base.Clock
	HTTPClient base.HTTPClient
	View       *membership.View
	Bounds     *base.AtomicPointer[base.Bounds]
	Counters   *base.Counters
	Register   *register.Client
	Follower   *feed.Follower
	Picker     *worker.Picker
	Backends   base.BackendClient
	Tree       *base.AtomicPointer[settings.Tree]
	// Memory is what answers of workers count to; nil sets no bound.
	Memory *memory.Budget
}

// NewManager returns a Manager that owns no sessions yet.
func NewManager(deps Dependencies) *Manager {
	return &Manager{clock: deps.Clock, httpClient: deps.HTTPClient, view: deps.View, bounds: deps.Bounds, counters: deps.Counters, register: deps.Register,
		follower: deps.Follower, picker: deps.Picker, workers: &worker.Client{Register: deps.Register}, backends: deps.Backends, tree: deps.Tree, memory: deps.Memory,
		owned: map[string]*ownedSession{}, standbyCopies: map[string]*standbyCopy{}, recordCache: map[string]*Record{}, forwardedStreams: map[string]*Stream{},
		outcomes: map[string]*requestOutcome{}, terminations: map[string]budget.Termination{}, retryCredit: maxRetryCredit, stopping: deps.Clock.NewSignal()}
}

func (m *Manager) nodeID() string { return m.view.SelfID() }

// changeRegister runs a session operation on the register shard of the program.
func (m *Manager) changeRegister(ctx *base.Ctx, program, op string, args changeArgs) (*changeResult, error) {
	var result changeResult
	if err := m.register.Change(ctx, budget.RegisterGroup(program), op, args, &result); err != nil {
		return nil, err
	}
	return &result, nil
}

// Create registers a new session with this node as its owner. The Run passes
// through Pending, Scheduled and Running here and is recorded as Ready.
func (m *Manager) Create(ctx *base.Ctx, record *Record) (*Record, error) {
	record.Run = base.NewID(m.clock, "run-")
	record.Epoch = 1
	record.Owner = m.nodeID()
	record.Standby = m.pickStandby(record.ID, "")
	record.Phase = Ready
	if m.isDraining() {
		return nil, base.Busy(503, "draining", 1, "this node is draining and accepts no new sessions")
	}
	if m.OwnedCount() >= ownedSessionLimit {
		return nil, base.Busy(429, "too_many_sessions", 5, "this node already owns its maximum of %d sessions", ownedSessionLimit)
	}
	result, err := m.changeRegister(ctx, record.Program, "session.acquire", changeArgs{Session: record.ID, Record: record})
	if err != nil {
		return nil, err
	}
	m.addOwned(result.Record, nil)
	m.counters.Add("sessions_acquired", 1)
	return result.Record, nil
}

// OwnedCount returns the number of sessions in this node's memory.
func (m *Manager) OwnedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owned)
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// addOwned puts a session that this node owns into memory. It keeps the entry that
// is there when it is of the same Run.
func (m *Manager) addOwned(record *Record, turns []Turn) *ownedSession {
	m.mu.Lock()
	defer m.mu.Unlock()
	cached := *record
	m.recordCache[record.ID] = &cached
	if existing := m.owned[record.ID]; existing != nil {
		existing.mu.Lock()
		sameRun := existing.record.Run == record.Run
		existing.mu.Unlock()
		if sameRun {
			return existing
		}
	}
	added := newOwnedSession(m.clock, record, turns, m.follower.LeaseExpirations())
	m.owned[record.ID] = added
	return added
}

// cacheRecord caches a record unless a newer version of it is cached.
func (m *Manager) cacheRecord(record *Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.recordCache) > recordCacheLimit {
		clear(m.recordCache)
	}
	if existing := m.recordCache[record.ID]; existing != nil && existing.Version > record.Version {
		return
	}
	cached := *record
	m.recordCache[record.ID] = &cached
}

// lookupRecord returns the record of a request's session from the cache, or from
// the register when it is not cached or refresh is set.
func (m *Manager) lookupRecord(ctx *base.Ctx, req *Request, refresh bool) (*Record, error) {
	m.mu.Lock()
	cached := m.recordCache[req.Session]
	m.mu.Unlock()
	if cached != nil && !refresh {
		return cached, nil
	}
	result, err := m.changeRegister(ctx, req.Program, "session.get", changeArgs{Session: req.Session})
	if err != nil {
		return nil, err
	}
	if result.Record.Program != req.Program {
		return nil, unknownSession()
	}
	m.cacheRecord(result.Record)
	return result.Record, nil
}

// Lookup returns the record of a request's session, which may be a cached one.
func (m *Manager) Lookup(ctx *base.Ctx, req *Request) (*Record, error) {
	record, err := m.lookupRecord(ctx, req, false)
	if err == nil && record.Program != req.Program {
		return nil, unknownSession()
	}
	return record, err
}

// deliveryState tracks the copies of a request that were sent to owners without
// a reply.
type deliveryState struct {
	unanswered   *Record // the assignment that the last such copy was sent to
	ownerChanged bool    // that owner was lost, or the Run replaced, since
}

func (d *deliveryState) replyLost(record *Record) {
	d.ownerChanged = d.ownerChanged || (d.unanswered != nil && d.unanswered.Run != record.Run)
	d.unanswered = record
}

// finalOwnerCodes are the error codes of an owner that concern the turn itself. They
// hold whatever became of earlier copies of the request.
var finalOwnerCodes = map[string]bool{"queue_full": true, "session_draining": true, "turn_id_reused": true, "run_over": true, "leg_changed": true,
	"turn_refused": true, "unknown_session": true, "unknown_turn": true, "session_over": true, "forbidden": true, "withdrawn": true}

// finalError returns the error that a request ends with. When the reply to a copy
// was lost, the request counts as not run only if its owner confirms that.
func (m *Manager) finalError(req *Request, delivery *deliveryState, err error) error {
	requestErr := base.ToRequestError(err)
	switch {
	case delivery.unanswered == nil || finalOwnerCodes[requestErr.Code]:
		return requestErr
	case delivery.ownerChanged:
		return base.Indeterminate(504, "owner_silent", "the session's owner was lost while it had the request: %s", requestErr.Message)
	}
	return m.withdraw(delivery.unanswered, req, requestErr)
}

// Handle serves one request on the session's owner, here or on another node, and
// has the session taken over when the owner is lost.
func (m *Manager) Handle(ctx *base.Ctx, req *Request) (*Reply, error) {
	refresh, refreshedRun, delivery := false, "", &deliveryState{}
	for {
		if err := m.follower.WaitForLease(ctx); err != nil {
			return nil, m.finalError(req, delivery, err)
		}
		record, err := m.lookupRecord(ctx, req, refresh)
		if err != nil {
			return nil, m.finalError(req, delivery, err)
		}
		if req.Program != record.Program {
			return nil, unknownSession()
		}
		refreshed := refresh
		refresh = false
		var reply *Reply
		if record.Owner == m.nodeID() {
			reply, err = m.serve(ctx, record, req)
		} else {
			reply, err = m.forward(ctx, record, req)
		}
		if err == nil {
			return m.withReopen(reply, req), nil
		}
		requestErr := base.ToRequestError(err)
		ownerLost := false
		switch requestErr.Code {
		case "stale_assignment":
			if refreshed && refreshedRun == record.Run {
				return nil, m.finalError(req, delivery, requestErr)
			}
			refresh, refreshedRun = true, record.Run
		case "unreachable", "owner_lost":
			m.counters.Add("owner_unreachable", 1)
			ownerLost = true
		case "handing_over":
			// The owner is draining and finishes what it accepted; try again.
		case "reply_lost":
			delivery.replyLost(record)
			_, alive := m.view.Find(record.Owner)
			ownerLost = !alive
		default:
			return nil, m.finalError(req, delivery, requestErr)
		}
		if ownerLost {
			delivery.ownerChanged = delivery.unanswered != nil
			if err := m.takeOver(ctx, req, record); err != nil {
				return nil, m.finalError(req, delivery, err)
			}
		}
		if ctx.Expired() {
			if requestErr.Code != "handing_over" {
				requestErr = base.Busy(503, "owner_unreachable", 1, "the session's owner could not be reached in time")
			}
			return nil, m.finalError(req, delivery, requestErr)
		}
	}
}

// withReopen lets the reader of a stream repeat the request when the owner is lost
// before the first piece.
func (m *Manager) withReopen(reply *Reply, req *Request) *Reply {
	if reply.Stream != nil {
		reply.Stream.reopen = func() (*Reader, error) {
			m.counters.Add("streams_found_again", 1)
			next, err := m.Handle(base.NewCtx(m.clock, 2*m.bounds.Load().Recovery), req)
			if err != nil {
				return nil, err
			}
			return next.Stream, nil
		}
	}
	return reply
}
