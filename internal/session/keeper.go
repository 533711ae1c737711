// The keeper is a gateway's part in sessions: it finds the owner of a
// session for each visit, serves it here when this node is the owner, else
// carries it to the owner once, marked so that it goes no further. The
// session id and the assignment identity travel with every call; an owner
// that holds another Run says so, and the assignment is looked up anew once.
// When the owner is gone, the understudy, or failing it this node, takes the
// next Run by epoch, and the visit goes on there.

package session

import (
	"encoding/json"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/feed"
	"fordseam/internal/membership"
	"fordseam/internal/register"
	"fordseam/internal/settings"
	"fordseam/internal/worker"
)

// Kinds of visits to a session.
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

const (
	cacheLimit   = 8192
	sessionLimit = 16384
)

// Request is one call to a session, as a caller meant it.
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

// Reply is a plain answer, or a stream to read.
type Reply struct {
	Status int
	Body   any
	Stream *Reader
}

// Manager holds what this gateway owns, understudies and remembers.
type Manager struct {
	clock    base.Clock
	wire     base.Wire
	view     *membership.View
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	register *register.Client
	follower *feed.Follower
	picker   *worker.Picker
	workers  *worker.Client
	backends base.Backends
	tree     *base.Table[settings.Tree]

	mu       sync.Mutex
	held     map[string]*held
	copies   map[string]*standbyCopy
	cache    map[string]*Record
	streams  map[string]*Stream
	declined map[string]*declinedVisit
	ended    map[string]budget.Termination
	repeats  float64
	draining bool
	closed   bool
	// stopping fires when a leaving node has no more time for what it carries.
	stopping base.Signal
}

// declinedVisit is what became of a visit here: declined with a verdict,
// accepted, or neither yet.
type declinedVisit struct {
	verdict  *base.Verdict
	at       time.Duration
	accepted bool
}

// Dependencies are what a keeper is built from.
type Dependencies struct {
	Clock    base.Clock
	Wire     base.Wire
	View     *membership.View
	Bounds   *base.Table[base.Bounds]
	Counters *base.Counters
	Register *register.Client
	Follower *feed.Follower
	Picker   *worker.Picker
	Backends base.Backends
	Tree     *base.Table[settings.Tree]
}

func NewManager(p Dependencies) *Manager {
	return &Manager{clock: p.Clock, wire: p.Wire, view: p.View, bounds: p.Bounds, counters: p.Counters, register: p.Register,
		follower: p.Follower, picker: p.Picker, workers: &worker.Client{Register: p.Register}, backends: p.Backends, tree: p.Tree,
		held: map[string]*held{}, copies: map[string]*standbyCopy{}, cache: map[string]*Record{}, streams: map[string]*Stream{},
		declined: map[string]*declinedVisit{}, ended: map[string]budget.Termination{}, repeats: repeatMost, stopping: p.Clock.NewSignal()}
}

func (k *Manager) me() string { return k.view.SelfID() }

func (k *Manager) change(ctx *base.Ctx, program, op string, asked ask) (*told, error) {
	var answer told
	if err := k.register.Change(ctx, budget.RegisterGroup(program), op, asked, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Create makes a session with this node as its owner. The Run passes
// Pending, Scheduled and Running here, and is recorded as Ready.
func (k *Manager) Create(ctx *base.Ctx, record *Record) (*Record, error) {
	record.Run = base.NewID(k.clock, "run-")
	record.Epoch = 1
	record.Owner = k.me()
	record.Standby = k.pickStandby(record.ID, "")
	record.Phase = Ready
	if k.isDraining() {
		return nil, base.Busy(503, "draining", 1, "this node is leaving")
	}
	if k.OwnedCount() >= sessionLimit {
		return nil, base.Busy(429, "too_many_sessions", 5, "this node owns %d sessions and takes no more", sessionLimit)
	}
	answer, err := k.change(ctx, record.Program, "session.acquire", ask{Session: record.ID, Record: record})
	if err != nil {
		return nil, err
	}
	k.install(answer.Record, nil)
	k.counters.Add("sessions_acquired", 1)
	return answer.Record, nil
}

// OwnedCount counts the sessions in this node's memory.
func (k *Manager) OwnedCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.held)
}

func (k *Manager) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

func (k *Manager) install(record *Record, turns []Turn) *held {
	k.mu.Lock()
	defer k.mu.Unlock()
	cached := *record
	k.cache[record.ID] = &cached
	if found := k.held[record.ID]; found != nil {
		found.mu.Lock()
		same := found.record.Run == record.Run
		found.mu.Unlock()
		if same {
			return found
		}
	}
	fresh := newHeld(k.clock, record, turns, k.follower.LeaseExpirations())
	k.held[record.ID] = fresh
	return fresh
}

func (k *Manager) remember(record *Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.cache) > cacheLimit {
		clear(k.cache)
	}
	if known := k.cache[record.ID]; known != nil && known.Version > record.Version {
		return
	}
	cached := *record
	k.cache[record.ID] = &cached
}

func (k *Manager) resolve(ctx *base.Ctx, v *Request, anew bool) (*Record, error) {
	k.mu.Lock()
	found := k.cache[v.Session]
	k.mu.Unlock()
	if found != nil && !anew {
		return found, nil
	}
	answer, err := k.change(ctx, v.Program, "session.get", ask{Session: v.Session})
	if err != nil {
		return nil, err
	}
	if answer.Record.Program != v.Program {
		return nil, unknownSession()
	}
	k.remember(answer.Record)
	return answer.Record, nil
}

// Lookup gives a visit's session as this node knows it, or looks it up.
func (k *Manager) Lookup(ctx *base.Ctx, v *Request) (*Record, error) {
	record, err := k.resolve(ctx, v, false)
	if err == nil && record.Program != v.Program {
		return nil, unknownSession()
	}
	return record, err
}

// attempt is what a visit has learnt of the copies it sent.
type attempt struct {
	lostTo *Record
	moved  bool
}

func (a *attempt) lost(record *Record) {
	a.moved = a.moved || (a.lostTo != nil && a.lostTo.Run != record.Run)
	a.lostTo = record
}

// ownerWords are an owner's verdicts on the turn itself, which hold whatever
// became of earlier copies of the request.
var ownerWords = map[string]bool{"queue_full": true, "session_draining": true, "turn_id_reused": true, "run_over": true, "leg_changed": true,
	"turn_refused": true, "unknown_session": true, "unknown_turn": true, "session_over": true, "forbidden": true, "withdrawn": true}

// giveUp is the visit's last word. Where a copy's reply was lost, only the
// owner's word makes it not run.
func (k *Manager) giveUp(v *Request, a *attempt, err error) error {
	verdict := base.FromWire(err)
	switch {
	case a.lostTo == nil || ownerWords[verdict.Code]:
		return verdict
	case a.moved:
		return base.Unsure(504, "owner_silent", "the session's owner was lost with the request: %s", verdict.Message)
	}
	return k.withdraw(a.lostTo, v, verdict)
}

// Handle carries one call out, wherever the owner is.
func (k *Manager) Handle(ctx *base.Ctx, v *Request) (*Reply, error) {
	anew, lookedUp, tried := false, "", &attempt{}
	for {
		if err := k.follower.WaitForLease(ctx); err != nil {
			return nil, k.giveUp(v, tried, err)
		}
		record, err := k.resolve(ctx, v, anew)
		if err != nil {
			return nil, k.giveUp(v, tried, err)
		}
		if v.Program != record.Program {
			return nil, unknownSession()
		}
		freshly := anew
		anew = false
		var reply *Reply
		if record.Owner == k.me() {
			reply, err = k.serve(ctx, record, v)
		} else {
			reply, err = k.forward(ctx, record, v)
		}
		if err == nil {
			return k.withAgain(reply, v), nil
		}
		verdict := base.FromWire(err)
		lostOwner := false
		switch verdict.Code {
		case "stale_assignment":
			if freshly && lookedUp == record.Run {
				return nil, k.giveUp(v, tried, verdict)
			}
			anew, lookedUp = true, record.Run
		case "unreachable", "owner_lost":
			k.counters.Add("owner_unreachable", 1)
			lostOwner = true
		case "handing_over":
			// The owner is leaving and finishes what it accepted; ask again.
		case "reply_lost":
			tried.lost(record)
			_, alive := k.view.Find(record.Owner)
			lostOwner = !alive
		default:
			return nil, k.giveUp(v, tried, verdict)
		}
		if lostOwner {
			tried.moved = tried.lostTo != nil
			if err := k.takeOver(ctx, v, record); err != nil {
				return nil, k.giveUp(v, tried, err)
			}
		}
		if ctx.Over() {
			if verdict.Code != "handing_over" {
				verdict = base.Busy(503, "owner_unreachable", 1, "the session's owner could not be reached in time")
			}
			return nil, k.giveUp(v, tried, verdict)
		}
	}
}

// withAgain lets a stream that gave nothing yet be found anew.
func (k *Manager) withAgain(reply *Reply, v *Request) *Reply {
	if reply.Stream != nil {
		reply.Stream.again = func() (*Reader, error) {
			k.counters.Add("streams_found_again", 1)
			next, err := k.Handle(base.NewCtx(k.clock, 2*k.bounds.Load().Recover), v)
			if err != nil {
				return nil, err
			}
			return next.Stream, nil
		}
	}
	return reply
}
