// The keeper is a gateway's part in sessions: it finds the owner of a
// session for each visit, serves it here when this node is the owner, else
// carries it to the owner once, marked so that it goes no further. The
// session id and the assignment identity travel with every call; an owner
// that holds another Run says so, and the assignment is looked up anew once.
// When the owner is gone, the understudy, or failing it this node, takes the
// next Run by epoch, and the visit goes on there.

package session

import (
	"context"
	"encoding/json"
	"slices"
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
	KindStatus    = "status"
	KindTurn      = "turn"
	KindTurns     = "turns"
	KindRead      = "read"
	KindCancel    = "cancel"
	KindRenew     = "renew"
	KindClose     = "close"
	KindTerminate = "terminate"
)

const (
	cacheLimit   = 8192
	sessionLimit = 16384
)

// Visit is one call to a session, as a caller meant it.
type Visit struct {
	ID        string          `json:"id"`
	Kind      string          `json:"kind"`
	Program   string          `json:"program"`
	Session   string          `json:"session"`
	Bearer    string          `json:"bearer"`
	Turn      string          `json:"turn,omitempty"`
	Previous  string          `json:"previous,omitempty"`
	LastLeg   string          `json:"last_leg,omitempty"`
	LastPlace uint64          `json:"last_place,omitempty"`
	Limit     int             `json:"limit,omitempty"`
	After     uint64          `json:"after,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	MaxTokens int64           `json:"max_tokens,omitempty"`
}

// Reply is a plain answer, or a stream to read.
type Reply struct {
	Status int
	Body   any
	Stream *Reader
}

// Keeper holds what this gateway owns, understudies and remembers.
type Keeper struct {
	clock     base.Clock
	wire      base.Wire
	view      *membership.View
	bounds    *base.Table[base.Bounds]
	counters  *base.Counters
	register  *register.Client
	follower  *feed.Follower
	nominator *worker.Nominator
	workers   *worker.Client
	backends  base.Backends
	tree      *base.Table[settings.Tree]

	mu       sync.Mutex
	held     map[string]*held
	copies   map[string]*understudyCopy
	cache    map[string]*Record
	streams  map[string]*Stream
	declined map[string]*declinedVisit
	ended    map[string]budget.Termination
	repeats  float64
	draining bool
	closed   bool
}

type understudyCopy struct {
	turns []Turn
	at    time.Duration
}

// declinedVisit is what became of a visit here: declined with a verdict,
// accepted, or neither yet.
type declinedVisit struct {
	verdict  *base.Verdict
	at       time.Duration
	accepted bool
}

// Parts are what a keeper is built from.
type Parts struct {
	Clock     base.Clock
	Wire      base.Wire
	View      *membership.View
	Bounds    *base.Table[base.Bounds]
	Counters  *base.Counters
	Register  *register.Client
	Follower  *feed.Follower
	Nominator *worker.Nominator
	Backends  base.Backends
	Tree      *base.Table[settings.Tree]
}

func NewKeeper(p Parts) *Keeper {
	return &Keeper{clock: p.Clock, wire: p.Wire, view: p.View, bounds: p.Bounds, counters: p.Counters, register: p.Register,
		follower: p.Follower, nominator: p.Nominator, workers: &worker.Client{Register: p.Register}, backends: p.Backends, tree: p.Tree,
		held: map[string]*held{}, copies: map[string]*understudyCopy{}, cache: map[string]*Record{}, streams: map[string]*Stream{},
		declined: map[string]*declinedVisit{}, ended: map[string]budget.Termination{}, repeats: repeatMost}
}

func (k *Keeper) me() string { return k.view.Me() }

func (k *Keeper) change(ctx *base.Ctx, program, op string, asked ask) (*told, error) {
	var answer told
	if err := k.register.Change(ctx, budget.GroupOf(program), op, asked, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Acquire makes a session with this node as its owner. The Run passes
// Pending, Scheduled and Running here, and is recorded as Ready.
func (k *Keeper) Acquire(ctx *base.Ctx, record *Record) (*Record, error) {
	record.Run = base.NewID(k.clock, "run-")
	record.Epoch = 1
	record.Owner = k.me()
	record.Understudy = k.nominateUnderstudy(record.ID, "")
	record.Phase = Ready
	if k.isDraining() {
		return nil, base.Busy(503, "draining", 1, "this node is leaving")
	}
	if k.Owned() >= sessionLimit {
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

// Owned counts the sessions in this node's memory.
func (k *Keeper) Owned() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.held)
}

func (k *Keeper) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

// nominateUnderstudy prefers another zone.
func (k *Keeper) nominateUnderstudy(session, not string) string {
	self := k.view.Self()
	near, far := []string{}, []string{}
	for _, member := range k.view.Alive(membership.RoleEdge) {
		switch {
		case member.Id == self.Id || member.Id == not:
		case member.Zone != self.Zone:
			far = append(far, member.Id)
		default:
			near = append(near, member.Id)
		}
	}
	if order := append(base.Rendezvous(session, far), base.Rendezvous(session, near)...); len(order) > 0 {
		return order[0]
	}
	return ""
}

func (k *Keeper) install(record *Record, turns []Turn) *held {
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
	fresh := newHeld(k.clock, record, turns, k.follower.Lapses())
	k.held[record.ID] = fresh
	return fresh
}

func (k *Keeper) remember(record *Record) {
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

func (k *Keeper) resolve(ctx *base.Ctx, v *Visit, anew bool) (*Record, error) {
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

// Find gives a visit's session as this node knows it, or looks it up.
func (k *Keeper) Find(ctx *base.Ctx, v *Visit) (*Record, error) {
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
func (k *Keeper) giveUp(v *Visit, a *attempt, err error) error {
	verdict := base.FromWire(err)
	switch {
	case a.lostTo == nil || ownerWords[verdict.Code]:
		return verdict
	case a.moved:
		return base.Unsure(504, "owner_silent", "the session's owner was lost with the request: %s", verdict.Message)
	}
	return k.withdraw(a.lostTo, v, verdict)
}

// Visit carries one call out, wherever the owner is.
func (k *Keeper) Visit(ctx *base.Ctx, v *Visit) (*Reply, error) {
	anew, lookedUp, tried := false, "", &attempt{}
	for {
		if err := k.follower.Permit(ctx); err != nil {
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
func (k *Keeper) withAgain(reply *Reply, v *Visit) *Reply {
	if reply.Stream != nil {
		reply.Stream.again = func() (*Reader, error) {
			k.counters.Add("streams_found_again", 1)
			next, err := k.Visit(base.NewCtx(k.clock, 2*k.bounds.Load().Recover), v)
			if err != nil {
				return nil, err
			}
			return next.Stream, nil
		}
	}
	return reply
}

// forward carries the visit to the owner once.
func (k *Keeper) forward(ctx *base.Ctx, record *Record, v *Visit) (*Reply, error) {
	member, alive := k.view.Find(record.Owner)
	if member == nil || !alive {
		return nil, base.Busy(503, "unreachable", 1, "the owner is not known to be alive")
	}
	k.counters.Add("visits_forwarded", 1)
	limit := k.bounds.Load().Call() / 2
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Forward(ctx.Within(limit), &ForwardRequest{
		Visit: v.ID, From: k.me(), Forwarded: true, Assignment: record.assignment(), Request: base.Encode(v)})
	if err != nil {
		verdict := base.FromWire(err)
		if verdict.Code == "unreachable" || verdict.Code == "owner_lost" {
			k.view.Suspect(record.Owner)
		}
		return nil, verdict
	}
	if reply.Stream != "" {
		return &Reply{Status: 200, Stream: &Reader{keeper: k, turn: v.Turn, leg: reply.Leg, place: reply.Place,
			remote: &remoteStream{stream: reply.Stream, run: record.Run, owner: record.Owner}}}, nil
	}
	return &Reply{Status: 200, Body: json.RawMessage(reply.Reply)}, nil
}

// Forward is the owner's side: it never carries a visit any further.
func (k *Keeper) Forward(plain context.Context, request *ForwardRequest) (*ForwardReply, error) {
	ctx := base.CtxOf(plain, k.clock)
	var v Visit
	if err := json.Unmarshal(request.Request, &v); err != nil || !request.Forwarded {
		return nil, base.ToWire(base.Decline(400, "bad_request", "not a forwarded visit"))
	}
	if request.Assignment.GetOwner() != k.me() {
		// The caller reached this address for a former life of the process.
		return nil, base.ToWire(base.Busy(503, "owner_lost", 1, "the owner's life at this address is over"))
	}
	record := &Record{ID: v.Session, Program: v.Program, Run: request.Assignment.Run, Epoch: request.Assignment.Epoch, Owner: k.me()}
	var reply *Reply
	err := k.follower.Permit(ctx)
	if err == nil {
		reply, err = k.serve(ctx, record, &v)
	}
	if err != nil {
		// The forwarder will tell its caller so: a late copy must not run.
		if verdict := base.FromWire(err); verdict.Ran == base.NotRun && verdict.Code != "stale_assignment" && verdict.Code != "handing_over" {
			err = k.decline(&v, verdict)
		}
		return nil, base.ToWire(err)
	}
	if reply.Stream != nil {
		stream := reply.Stream.local
		id := request.Assignment.Run + "/" + v.Turn
		k.mu.Lock()
		k.streams[id] = stream
		k.mu.Unlock()
		return &ForwardReply{Stream: id, Leg: stream.legID(), Place: reply.Stream.place}, nil
	}
	return &ForwardReply{Reply: base.Encode(reply.Body)}, nil
}

// withdraw asks an owner whose reply was lost to fence the visit; only its
// word that the visit will never run makes it not run.
func (k *Keeper) withdraw(record *Record, v *Visit, verdict *base.Verdict) error {
	unsure := base.Unsure(504, "owner_silent", "the session's owner did not answer in time")
	member, _ := k.view.Find(record.Owner)
	if member == nil {
		return unsure
	}
	ctx := base.NewCtx(k.clock, k.bounds.Load().Call()/2)
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Withdraw(ctx, &WithdrawRequest{Visit: v.ID, Session: v.Session, Turn: v.Turn, Run: record.Run})
	if err != nil || !reply.Fenced {
		return unsure
	}
	return base.Busy(503, "owner_silent", 1, "the owner was slow and has put the request aside: %s", verdict.Message)
}

// Withdraw fences a visit that was not accepted: its copies are declined, and
// so is its turn, whichever request brings it.
func (k *Keeper) Withdraw(_ context.Context, request *WithdrawRequest) (*WithdrawReply, error) {
	k.mu.Lock()
	h := k.held[request.Session]
	fenced := h != nil && h.isRun(request.Run) && k.fence(h, request)
	k.mu.Unlock()
	if !fenced || request.Turn == "" {
		return &WithdrawReply{Fenced: fenced}, nil
	}
	kept := k.refuseForGood(h, request.Turn, base.Decline(503, "withdrawn", "the request was withdrawn"))
	if kept.Ran != base.NotRun {
		h.forgetRefusal(request.Turn)
	}
	return &WithdrawReply{Fenced: kept.Ran == base.NotRun}, nil
}

// fence is the owner's own part of a withdrawal; the caller holds the lock.
func (k *Keeper) fence(h *held, request *WithdrawRequest) bool {
	withdrawn := &declinedVisit{verdict: base.Decline(503, "withdrawn", "the request was withdrawn"), at: k.clock.Now()}
	if known := k.declined[request.Visit]; known != nil && (known.verdict == nil || known.verdict.Ran != base.NotRun) {
		return false
	}
	if request.Turn != "" && !h.refuseUnknown(request.Turn, withdrawn) {
		return false
	}
	if k.declined[request.Visit] == nil {
		k.declined[request.Visit] = withdrawn
	}
	return true
}

// admit marks a visit as seen, once. A copy of one that was declined is
// declined with the same words.
func (k *Keeper) admit(v *Visit) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.declined[v.ID]; known != nil && known.verdict != nil {
		return known.verdict
	}
	k.declined[v.ID] = &declinedVisit{at: k.clock.Now()}
	return nil
}

// accepted marks a visit whose turn is in the queue.
func (k *Keeper) accepted(v *Visit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.declined[v.ID] = &declinedVisit{at: k.clock.Now(), accepted: true}
}

// decline keeps the words a visit was declined with, unless a copy of it was
// accepted before.
func (k *Keeper) decline(v *Visit, verdict *base.Verdict) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.declined[v.ID]; known != nil && known.accepted {
		return base.Unsure(verdict.Status, verdict.Code, "%s", verdict.Message)
	}
	k.declined[v.ID] = &declinedVisit{verdict: verdict, at: k.clock.Now()}
	return verdict
}

// takeOver has the next Run taken, by the understudy if it lives.
func (k *Keeper) takeOver(ctx *base.Ctx, v *Visit, record *Record) error {
	current, err := k.resolve(ctx, v, true)
	if err != nil {
		return err
	}
	if current.Run != record.Run {
		return nil
	}
	k.counters.Add("takeovers_asked", 1)
	request := &SucceedRequest{Session: current.ID, Program: current.Program, Assignment: current.assignment(), Why: "owner_lost"}
	if member, alive := k.view.Find(current.Understudy); alive && member.Id != k.me() && !member.Leaving {
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Succeed(ctx.Within(k.bounds.Load().Call()), request)
		if err == nil {
			var next Record
			if json.Unmarshal(reply.Record, &next) == nil {
				k.remember(&next)
				return nil
			}
		}
	}
	_, err = k.succeedHere(ctx, request)
	return err
}

// Succeed makes this node the owner of a session's next Run.
func (k *Keeper) Succeed(plain context.Context, request *SucceedRequest) (*SucceedReply, error) {
	record, err := k.succeedHere(base.CtxOf(plain, k.clock), request)
	if err != nil {
		return nil, base.ToWire(err)
	}
	return &SucceedReply{Record: base.Encode(record)}, nil
}

func (k *Keeper) succeedHere(ctx *base.Ctx, request *SucceedRequest) (*Record, error) {
	if k.isDraining() {
		return nil, base.Busy(503, "draining", 1, "this node is leaving")
	}
	began := k.clock.Now()
	answer, err := k.change(ctx, request.Program, "session.succeed", ask{Session: request.Session, Run: request.Assignment.Run,
		NewRun: base.NewID(k.clock, "run-"), Owner: k.me(), Understudy: k.nominateUnderstudy(request.Session, request.Assignment.Owner), Why: request.Why})
	if err != nil {
		return nil, err
	}
	k.remember(answer.Record)
	if answer.Record.Owner == k.me() {
		if _, err := k.adopt(ctx, answer.Record); err != nil {
			return nil, err
		}
		k.counters.Add("runs_succeeded", 1)
		k.counters.Add("takeover_ms", (k.clock.Now() - began).Milliseconds())
	}
	return answer.Record, nil
}

// adopt brings the chain of a Run this node owns into memory, from its copy
// as understudy when that is whole, else from the register.
func (k *Keeper) adopt(ctx *base.Ctx, record *Record) (*held, error) {
	k.mu.Lock()
	if found := k.held[record.ID]; found != nil && found.isRun(record.Run) {
		k.mu.Unlock()
		return found, nil
	}
	var turns []Turn
	if copied := k.copies[record.ID]; copied != nil && uint64(len(copied.turns)) >= record.Turns {
		if whole := copied.turns[:record.Turns]; record.Turns == 0 || whole[record.Turns-1].ID == record.LastTurn {
			turns = slices.Clone(whole)
		}
	}
	k.mu.Unlock()
	if uint64(len(turns)) < record.Turns {
		k.counters.Add("chains_read_from_register", 1)
		read, err := k.readChain(ctx, record)
		if err != nil {
			return nil, err
		}
		turns = read
	}
	return k.install(record, turns), nil
}

func (k *Keeper) readChain(ctx *base.Ctx, record *Record) ([]Turn, error) {
	turns := []Turn{}
	for uint64(len(turns)) < record.Turns {
		answer, err := k.change(ctx, record.Program, "session.turns", ask{Session: record.ID, After: uint64(len(turns)), Limit: 64})
		if err != nil {
			return nil, err
		}
		if len(answer.Turns) == 0 {
			return nil, base.Decline(410, "history_gone", "the session's history is no longer kept")
		}
		turns = append(turns, answer.Turns...)
	}
	return turns[:record.Turns], nil
}

// Offer takes a turn of a chain this node understudies.
func (k *Keeper) Offer(_ context.Context, request *OfferRequest) (*OfferReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	copied := k.copies[request.Session]
	if copied == nil {
		copied = &understudyCopy{}
		k.copies[request.Session] = copied
	}
	copied.at = k.clock.Now()
	var turn Turn
	if len(request.Turn) > 0 && json.Unmarshal(request.Turn, &turn) == nil && request.Turns >= 1 {
		if uint64(len(copied.turns)) >= request.Turns-1 {
			copied.turns = append(copied.turns[:request.Turns-1:request.Turns-1], turn)
		}
	}
	return &OfferReply{Turns: uint64(len(copied.turns))}, nil
}

// Ended takes in from the feed which programs were told to end.
func (k *Keeper) Ended(ended map[string]budget.Termination) {
	k.mu.Lock()
	k.ended = ended
	touched := []*held{}
	for _, id := range base.SortedKeys(k.held) {
		found := k.held[id]
		if _, ok := ended[found.program]; ok {
			touched = append(touched, found)
		}
	}
	k.mu.Unlock()
	for _, h := range touched {
		k.clock.Go(func() { k.endBy(h, ended[h.program]) })
	}
}

// Run looks after leases, understudies and what has been kept long enough.
func (k *Keeper) Run() {
	for {
		k.clock.Sleep(k.bounds.Load().Beat())
		k.mu.Lock()
		if k.closed {
			k.mu.Unlock()
			return
		}
		all := []*held{}
		for _, id := range base.SortedKeys(k.held) {
			all = append(all, k.held[id])
		}
		k.prune()
		k.mu.Unlock()
		for _, h := range all {
			k.tend(h)
		}
	}
}

// prune forgets what no one can ask for any more; the caller holds the lock.
func (k *Keeper) prune() {
	now, bounds := k.clock.Now(), k.bounds.Load()
	for id, mark := range k.declined {
		if now-mark.at > 10*bounds.Recover {
			delete(k.declined, id)
		}
	}
	for id, copied := range k.copies {
		if now-copied.at > bounds.Retain*5/4 {
			delete(k.copies, id)
		}
	}
	for id, stream := range k.streams {
		if stream.over() && now-stream.lastPulled() > 2*bounds.Recover {
			delete(k.streams, id)
		}
	}
	for id, h := range k.held {
		if h.forgettable(now, bounds) {
			delete(k.held, id)
		}
	}
}

// Close stops the keeper's own tasks.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
}

// Drain finishes what was accepted and hands each session to its
// understudy; new turns wait for the hand-over and go on there.
func (k *Keeper) Drain(limit time.Duration) {
	k.mu.Lock()
	k.draining = true
	all := []*held{}
	for _, id := range base.SortedKeys(k.held) {
		all = append(all, k.held[id])
	}
	k.mu.Unlock()
	base.AskAll(k.clock, all, limit, func(ctx *base.Ctx, h *held) { k.handOver(h, ctx.Until) })
	k.flush()
}

// flush gives partners that carry streams to their callers a little time to
// pull the last pieces.
func (k *Keeper) flush() {
	hold := k.bounds.Load().Pull()
	for end := k.clock.Now() + hold; k.clock.Now() < end; k.clock.Sleep(hold / 20) {
		owed := false
		k.mu.Lock()
		for _, id := range base.SortedKeys(k.streams) {
			owed = owed || k.streams[id].owed(k.clock.Now()-2*hold)
		}
		k.mu.Unlock()
		if !owed {
			return
		}
	}
}

func (k *Keeper) handOver(h *held, end time.Duration) {
	defer h.handed.Fire()
	for {
		next := h.bell.Next()
		if h.quiet() {
			break
		}
		if !next.Wait(max(0, end-k.clock.Now())) {
			break
		}
	}
	record := h.snapshot()
	if record.Phase.Terminal() {
		return
	}
	request := &SucceedRequest{Session: record.ID, Program: record.Program, Assignment: record.assignment(), Why: "owner_leaving"}
	tried := map[string]bool{k.me(): true}
	for _, id := range []string{record.Understudy, k.nominateUnderstudy(record.ID, record.Understudy)} {
		member, alive := k.view.Find(id)
		if !alive || member.Leaving || tried[id] {
			continue
		}
		tried[id] = true
		ctx := base.NewCtx(k.clock, k.bounds.Load().Call())
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Succeed(ctx, request)
		if err == nil {
			var next Record
			if json.Unmarshal(reply.Record, &next) == nil {
				k.remember(&next)
			}
			h.lose()
			k.counters.Add("sessions_handed_over", 1)
			return
		}
	}
}

// Sizes counts what this node keeps of sessions: owned, understudied, and
// streams carried for other gateways.
func (k *Keeper) Sizes() (owned, copies, streams int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.held), len(k.copies), len(k.streams)
}
