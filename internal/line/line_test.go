// Lines of turns over a ledger and workers of the test's own: order, one
// owner, forwarding once, succession, history, and answers cut or whole.
package line

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/membership"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

type book struct {
	mu       sync.Mutex
	sessions map[string]*Assignment
	kept     map[string]CompletedTurn
	settled  map[string]int64
	claims   []Claim
	refuse   error
}

func newBook() *book {
	return &book{sessions: map[string]*Assignment{}, kept: map[string]CompletedTurn{}, settled: map[string]int64{}}
}

func (b *book) Begin(_ *base.Ctx, c *Claim) (*ClaimResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refuse != nil {
		return nil, b.refuse
	}
	b.claims = append(b.claims, *c)
	now := b.sessions[c.Program+c.Session]
	mine := &Assignment{Run: c.Run, Owner: c.Owner, Epoch: c.Epoch}
	switch {
	case now == nil, now.Run == c.Run, c.Replaces != nil && c.Replaces.Run == now.Run && c.Epoch > now.Epoch:
		b.sessions[c.Program+c.Session] = mine
		return &ClaimResult{mine, true}, nil
	}
	return &ClaimResult{now, false}, nil
}

func (b *book) Finish(_ *base.Ctx, e *Completion) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.sessions[e.Program+e.Session]; now == nil || now.Run != e.Run {
		return base.Decline(409, "stale_assignment", "succeeded")
	}
	b.kept[e.Turn] = e.CompletedTurn
	b.settled[e.Turn] = e.Tokens
	return nil
}

func (b *book) Settle(_ *base.Ctx, settled *Settlement) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled[settled.Turn] = settled.Tokens
	return nil
}

func (b *book) Chain(_ *base.Ctx, _, turn string) ([]CompletedTurn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := []CompletedTurn{}
	for turn != "" {
		one, ok := b.kept[turn]
		if !ok {
			return nil, base.Decline(404, "unknown_turn", "there is no such turn")
		}
		found = append([]CompletedTurn{one}, found...)
		turn = one.Previous
	}
	return found, nil
}

// bench is a worker's side: it notes what it ran and answers when told to.
type bench struct {
	mu     sync.Mutex
	ran    []string
	bodies map[string]string
	gate   map[string]chan struct{}
	cut    map[string]bool
}

func newBench() *bench {
	return &bench{bodies: map[string]string{}, gate: map[string]chan struct{}{}, cut: map[string]bool{}}
}

type benchReply struct {
	events []string
	gate   chan struct{}
	cut    bool
	closed chan struct{}
	once   sync.Once
}

func (r *benchReply) Status() int             { return 200 }
func (r *benchReply) Headers() []relay.Header { return []relay.Header{{Name: "Seal", Value: "s"}} }
func (r *benchReply) IsStream() bool          { return true }
func (r *benchReply) Close()                  { r.once.Do(func() { close(r.closed) }) }
func (r *benchReply) Body(time.Duration) ([]byte, error) {
	return nil, io.ErrUnexpectedEOF
}

func (r *benchReply) Event(time.Duration) (*relay.Event, error) {
	if len(r.events) == 0 {
		if r.gate != nil {
			select {
			case <-r.gate:
			case <-r.closed:
				return nil, io.ErrClosedPipe
			}
		}
		if r.cut {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, io.EOF
	}
	next := r.events[0]
	r.events = r.events[1:]
	return &relay.Event{Raw: []byte("data: " + next + "\n\n"), Data: []byte(next)}, nil
}

func (b *bench) Send(_ *base.Ctx, _ *route.Route, _ string, call *relay.Call, body []byte) (Reply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran = append(b.ran, call.ID)
	b.bodies[call.ID] = string(body)
	return &benchReply{events: []string{"x" + call.ID, "y" + call.ID}, gate: b.gate[call.ID], cut: b.cut[call.ID], closed: make(chan struct{})}, nil
}

// plainWire reaches nodes by a table of handlers.
type plainWire struct {
	mu    sync.Mutex
	nodes map[string]http.Handler
}

// lose makes a node unreachable.
func (w *plainWire) lose(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.nodes, addr)
}

func (w *plainWire) Do(request *http.Request) (*http.Response, error) {
	w.mu.Lock()
	node := w.nodes[request.URL.Host]
	w.mu.Unlock()
	if node == nil {
		return nil, &base.NotSent{Cause: io.ErrClosedPipe}
	}
	if ctx, ok := request.Context().Value(base.CtxKey).(*base.Ctx); ok {
		base.StampRequest(request, ctx.Left())
	}
	recorder := httptest.NewRecorder()
	node.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

type world struct {
	is      *is.I
	clock   base.Clock
	wire    *plainWire
	book    *book
	bench   *bench
	bounds  *base.Table[base.Bounds]
	keepers map[string]*Manager
}

func newWorld(t *testing.T) *world {
	w := &world{is: is.New(t), clock: base.NewRealClock(), wire: &plainWire{nodes: map[string]http.Handler{}}, book: newBook(), bench: newBench(),
		bounds: &base.Table[base.Bounds]{}, keepers: map[string]*Manager{}}
	w.bounds.Swap(base.DefaultBounds())
	return w
}

func (w *world) node(name string, seeds ...string) *Manager {
	counters := base.NewCounters()
	view := membership.NewView(w.clock, w.wire, w.bounds, counters, &membership.Member{Id: name + "/1", Addr: name, Role: membership.RoleGateway, Zone: "z"}, seeds, nil)
	table := &route.Table{Version: 1, Services: map[string]*route.Service{"s": {Name: "s", Engine: &route.Engine{TokensPerEvent: 2}}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.KindStream, Timeout: 10 * time.Second, RetainTurns: true, Retention: time.Minute, Shares: []route.Share{{Service: "s", Weight: 1}}},
			{Name: "loose", Host: "h", Prefix: "/loose/", Kind: route.KindStream, Timeout: 10 * time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}}}}
	w.is.NoErr(table.BuildIndex())
	routes := &base.Table[route.Table]{}
	routes.Swap(table)
	k := NewManager(Dependencies{Clock: w.clock, Wire: w.wire, View: view, Bounds: w.bounds, Counters: counters, Routes: routes, Ledger: w.book, Workers: w.bench})
	mux := http.NewServeMux()
	member := membership.NewMembershipServer(view)
	mux.Handle(member.PathPrefix(), member)
	owner := NewOwnerServer(k)
	mux.Handle(owner.PathPrefix(), owner)
	w.wire.nodes[name] = base.Receive(w.clock, mux)
	w.keepers[name] = k
	return k
}

func (w *world) call(session, turn, previous string) *relay.Call {
	return &relay.Call{ID: turn, Host: "h", Method: "POST", Target: "/t", Body: []byte("in-" + turn), Program: "p", Session: session, PreviousTurn: previous, MaxOutputTokens: 10, Deadline: 10 * time.Second}
}

func (w *world) take(k *Manager, call *relay.Call) (string, error) {
	ctx := base.NewCtx(w.clock, 10*time.Second)
	stream, err := k.SubmitTurn(ctx, call)
	if err != nil {
		return "", err
	}
	if _, err := stream.Head(10*time.Second, w.clock); err != nil {
		return "", err
	}
	body, err := io.ReadAll(NewReader(stream, w.clock, 10*time.Second))
	return string(body), err
}

func TestATurnCarriesItsChainInBytes(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	got, err := w.take(k, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	w.is.Equal(got, "data: xt1\n\ndata: yt1\n\n")
	_, err = w.take(k, w.call("s1", "t2", "t1"))
	w.is.NoErr(err)
	w.is.Equal(w.bench.bodies["t2"], "in-t1xt1\nyt1\nin-t2")
	_, err = w.take(w.node("b"), w.call("s2", "t3", "t2")) // another session, another node
	w.is.NoErr(err)
	w.is.Equal(w.bench.bodies["t3"], "in-t1xt1\nyt1\nin-t2xt2\nyt2\nin-t3")
	w.is.Equal(w.book.settled["t1"], int64(4)) // two events of stride two
}

// A gateway whose memory of turns is full goes on from what the ledger gives.
func TestAFullMemoryStillRecallsChains(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	for _, turn := range []string{"t1", "t2"} {
		previous := map[string]string{"t2": "t1"}[turn]
		_, err := w.take(k, w.call("s1", turn, previous))
		w.is.NoErr(err)
	}
	other := w.node("b")
	other.history.size = historyMost + 1
	_, err := w.take(other, w.call("s2", "t3", "t2"))
	w.is.NoErr(err)
	w.is.Equal(w.bench.bodies["t3"], "in-t1xt1\nyt1\nin-t2xt2\nyt2\nin-t3")
}

func TestAnUnknownPreviousTurnRunsNothing(t *testing.T) {
	w := newWorld(t)
	_, err := w.take(w.node("a"), w.call("s1", "t1", "never"))
	w.is.Equal(base.FromWire(err).Status, 404)
	w.is.Equal(len(w.bench.ran), 0)
}

func TestARefusedClaimRunsNothing(t *testing.T) {
	w := newWorld(t)
	w.book.refuse = base.Decline(402, "over_budget", "spent")
	_, err := w.take(w.node("a"), w.call("s1", "t1", ""))
	w.is.Equal(base.FromWire(err).Status, 402)
	w.is.Equal(base.FromWire(err).Ran, base.NotRun)
	w.is.Equal(len(w.bench.ran), 0)
}

func TestACutAnswerNeverLooksWholeAndIsNotKept(t *testing.T) {
	w := newWorld(t)
	w.bench.cut["t1"] = true
	_, err := w.take(w.node("a"), w.call("s1", "t1", ""))
	w.is.Equal(err, io.ErrUnexpectedEOF)
	_, kept := w.book.kept["t1"]
	w.is.True(!kept)
}

func TestAStaleOwnersTurnIsCut(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	w.bench.gate["t1"] = make(chan struct{})
	ctx := base.NewCtx(w.clock, 10*time.Second)
	stream, err := k.SubmitTurn(ctx, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	_, err = stream.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	w.book.mu.Lock()
	w.book.sessions["ps1"] = &Assignment{Run: "other", Owner: "b/1", Epoch: 2}
	w.book.mu.Unlock()
	close(w.bench.gate["t1"])
	_, err = io.ReadAll(NewReader(stream, w.clock, 5*time.Second))
	w.is.Equal(err, io.ErrUnexpectedEOF)
}

func TestTurnsOfASessionRunOneByOneAndTheQueueIsBounded(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	w.bench.gate["t0"] = make(chan struct{})
	ctx := base.NewCtx(w.clock, 10*time.Second)
	first, err := k.SubmitTurn(ctx, w.call("s1", "t0", ""))
	w.is.NoErr(err)
	_, err = first.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	streams := []*Stream{}
	for n := range queueMost {
		call := w.call("s1", fmt.Sprint("q", n), fmt.Sprint("p", n)) // each from another place
		w.book.kept[call.PreviousTurn] = CompletedTurn{Turn: call.PreviousTurn}
		stream, err := k.SubmitTurn(ctx, call)
		w.is.NoErr(err)
		streams = append(streams, stream)
	}
	_, err = k.SubmitTurn(ctx, w.call("s1", "over", "p"))
	w.is.Equal(base.FromWire(err).Code, "queue_full")
	w.is.Equal(k.List(10)[0].Waiting, queueMost) // a read does not queue
	w.is.Equal(len(w.bench.ran), 1)
	close(w.bench.gate["t0"])
	for _, stream := range streams {
		_, err = stream.Head(5*time.Second, w.clock)
		w.is.NoErr(err)
		_, err = io.ReadAll(NewReader(stream, w.clock, 5*time.Second))
		w.is.NoErr(err)
	}
	w.is.Equal(w.bench.ran[1], "q0")
	w.is.Equal(w.bench.ran[queueMost], fmt.Sprint("q", queueMost-1))
}

func TestAskingAgainFromTheSamePlaceEndsTheFormerTry(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	w.bench.gate["t1"] = make(chan struct{}) // never opened: the worker hangs
	ctx := base.NewCtx(w.clock, 10*time.Second)
	first, err := k.SubmitTurn(ctx, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	_, err = first.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	_, err = w.take(k, w.call("s1", "t2", ""))
	w.is.NoErr(err)
	_, err = io.ReadAll(NewReader(first, w.clock, 5*time.Second))
	w.is.Equal(err, io.ErrUnexpectedEOF)
}

// loose is a call on a route that keeps no turns.
func (w *world) loose(session, turn, previous string) *relay.Call {
	call := w.call(session, turn, previous)
	call.Target, call.TokenBudget, call.HasTokenBudget = "/loose/t", 100, true
	return call
}

func TestTurnsThatAreNotKeptAreCounted(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	_, err := w.take(k, w.loose("s1", "t1", "never"))
	w.is.NoErr(err)
	w.is.Equal(w.bench.bodies["t1"], "in-t1") // the prompt says it all
	k.Drain(5 * time.Second)                  // is not over before the ledger has heard
	w.is.Equal(k.settling.Load(), int64(0))
	w.is.Equal(w.book.settled["t1"], int64(4))
	_, kept := w.book.kept["t1"]
	w.is.True(!kept)
	w.is.Equal(w.book.claims[0].MaxTokens, int64(10))
	w.is.Equal(w.book.claims[0].Retain, time.Minute) // the longest that a route names
}

func TestCallsWithoutNamesHaveLinesOfTheirOwn(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	for _, turn := range []string{"t1", "t2"} {
		call := w.loose("", turn, "")
		call.Program = ""
		w.is.True(IsTurn(&route.Route{}, call))
		_, err := w.take(k, call)
		w.is.NoErr(err)
	}
	first, second := w.book.claims[0], w.book.claims[1]
	w.is.True(first.Session != second.Session && first.Program != second.Program)
	w.is.True(strings.HasPrefix(first.Session, unnamedMark) && strings.HasPrefix(first.Program, unnamedMark))
	w.is.True(!IsTurn(&route.Route{}, &relay.Call{ID: "t3"}))
	w.is.True(IsTurn(&route.Route{RetainTurns: true}, &relay.Call{ID: "t3"}))
}

func TestOnlyTheSameWordsEndAFormerTryWhereNothingIsKept(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	w.bench.gate["t1"] = make(chan struct{}) // never opened: the worker hangs
	ctx := base.NewCtx(w.clock, 10*time.Second)
	first, err := k.SubmitTurn(ctx, w.loose("s1", "t1", ""))
	w.is.NoErr(err)
	_, err = first.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	other, err := k.SubmitTurn(ctx, w.loose("s1", "t2", "")) // another turn waits behind it
	w.is.NoErr(err)
	w.is.True(!first.abandoned() && k.List(1)[0].Waiting == 1)
	again := w.loose("s1", "t3", "")
	again.Body = []byte("in-t1")
	_, err = k.SubmitTurn(ctx, again)
	w.is.NoErr(err)
	_, err = io.ReadAll(NewReader(first, w.clock, 5*time.Second))
	w.is.Equal(err, io.ErrUnexpectedEOF)
	_, err = other.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
}

// After an outage programs go on from others' turns under the session's old
// name: each is a line of its own.
func TestProgramsThatShareASessionsNameDoNotMeet(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	_, err := w.take(k, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	w.bench.gate["t2"] = make(chan struct{})
	first := w.call("s1", "t2", "t1")
	stream, err := k.SubmitTurn(base.NewCtx(w.clock, 10*time.Second), first)
	w.is.NoErr(err)
	_, err = stream.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	second := w.call("s1", "t3", "t1")
	second.Program = "q"
	_, err = w.take(k, second)
	w.is.NoErr(err)
	close(w.bench.gate["t2"])
	_, err = io.ReadAll(NewReader(stream, w.clock, 5*time.Second))
	w.is.NoErr(err)
	w.is.Equal(len(k.List(10)), 2)
}

func TestAReaderThatLeavesEndsTheWork(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	w.bench.gate["t1"] = make(chan struct{})
	stream, err := k.SubmitTurn(base.NewCtx(w.clock, 10*time.Second), w.call("s1", "t1", ""))
	w.is.NoErr(err)
	_, err = stream.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	w.is.NoErr(NewReader(stream, w.clock, time.Second).Close())
	_, err = w.take(k, w.call("s1", "t2", "")) // the queue goes on
	w.is.NoErr(err)
}

// meet lets two nodes know each other.
func (w *world) meet(a, b *Manager) {
	for _, pair := range [][2]*Manager{{a, b}, {b, a}} {
		client := membership.NewMembershipProtobufClient("http://"+pair[1].View.Self().Addr, w.wire)
		_ = client
		w.clock.Go(pair[0].View.Run)
	}
	for tries := 0; ; tries++ {
		_, first := a.View.Find(b.me())
		_, second := b.View.Find(a.me())
		if first && second {
			return
		}
		if tries > 400 {
			w.is.Fail()
		}
		w.clock.NewSignal().Wait(10 * time.Millisecond)
	}
}

func TestATurnElsewhereIsForwardedOnceToItsOwner(t *testing.T) {
	w := newWorld(t)
	a, b := w.node("a:1", "b:1"), w.node("b:1", "a:1")
	w.meet(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := w.take(a, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	got, err := w.take(b, w.call("s1", "t2", "t1"))
	w.is.NoErr(err)
	w.is.Equal(got, "data: xt2\n\ndata: yt2\n\n")
	w.is.Equal(w.book.sessions["ps1"].Owner, a.me()) // the owner stays
	w.is.Equal(b.Counters.Frame()["turns_forwarded"], int64(1))
	owner := NewOwnerProtobufClient("http://a:1", w.wire)
	for _, bad := range []*ForwardRequest{
		{From: "x", Assignment: w.book.sessions["ps1"], Call: &Call{Session: "s1"}},                                                            // no marker
		{From: "x", Forwarded: true, Assignment: &Assignment{Run: "r", Owner: a.me(), Epoch: 1}, Call: &Call{Session: "s1", DeadlineMs: 1000}}, // another Run
		{From: "x", Forwarded: true, Assignment: &Assignment{Run: "r", Owner: "a:1/0", Epoch: 1}, Call: &Call{Session: "s1"}},                  // a former life
	} {
		_, err := owner.Forward(context.Background(), bad)
		w.is.True(err != nil)
	}
	w.is.Equal(len(w.bench.ran), 2)
}

// A forwarded turn whose message comes once more runs once, and both get its
// answer.
func TestAForwardThatComesTwiceRunsOnce(t *testing.T) {
	w := newWorld(t)
	a, b := w.node("a:1", "b:1"), w.node("b:1", "a:1")
	w.meet(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := w.take(a, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	ctx := base.NewCtx(w.clock, 10*time.Second)
	asked := &ForwardRequest{From: b.me(), Forwarded: true, Assignment: w.book.sessions["ps1"], Call: packCall(w.call("s1", "t2", "t1"), ctx)}
	owner := NewOwnerProtobufClient("http://a:1", w.wire)
	for range 2 {
		reply, err := owner.Forward(ctx, asked)
		w.is.NoErr(err)
		for place := uint64(len(reply.Pieces)); !reply.Done; place += uint64(len(reply.Pieces)) {
			reply, err = owner.Pull(ctx, &PullRequest{Program: "p", Session: "s1", Turn: "t2", Place: place, HoldMs: 1000, Assignment: asked.Assignment})
			w.is.NoErr(err)
		}
		w.is.True(!reply.Cut)
	}
	w.is.Equal(len(w.bench.ran), 2) // t1 and t2
}

// That a pull was not sent proves nothing of the turn; the owner's own word that
// it has not run does.
func TestOnlyTheOwnersWordProvesThatATurnHasNotRun(t *testing.T) {
	is := is.New(t)
	lost := pullFailed(&base.NotSent{Cause: io.EOF})
	is.Equal(lost.Ran, base.MayHaveRun)
	is.Equal(lost.Status, 502)
	told := pullFailed(base.ToWire(base.BusyFor(503, "workers_full", time.Second, "no worker has room")))
	is.Equal(told.Ran, base.NotRun)
	is.Equal(told.RetryAfterMs, int64(1000))
}

func TestALostOwnerIsSucceededAndADrainingOneLetsGo(t *testing.T) {
	w := newWorld(t)
	a, b := w.node("a:1", "b:1"), w.node("b:1", "a:1")
	w.meet(a, b)
	defer b.View.Close()
	_, err := w.take(a, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	_, err = w.take(a, w.call("s2", "u1", ""))
	w.is.NoErr(err)
	a.Drain(time.Second)
	_, err = a.SubmitTurn(base.NewCtx(w.clock, time.Second), w.call("s1", "t2", "t1"))
	w.is.Equal(base.FromWire(err).Ran, base.NotRun)
	_, err = w.take(b, w.call("s1", "t3", "t1")) // a is leaving: b goes on
	w.is.NoErr(err)
	w.is.Equal(w.book.sessions["ps1"].Owner, b.me())
	w.is.Equal(w.book.sessions["ps1"].Epoch, uint64(2))
	a.View.Close()
	w.wire.lose("a:1")
	_, err = w.take(b, w.call("s2", "u2", "u1"))
	w.is.NoErr(err)
	w.is.Equal(w.book.sessions["ps2"].Owner, b.me())
	w.is.True(strings.HasPrefix(w.bench.bodies["u2"], "in-u1"))
}

// An owner that leaves answers what others forwarded to it before it goes.
func TestADrainWaitsForWhatWasForwarded(t *testing.T) {
	w := newWorld(t)
	a, b := w.node("a:1", "b:1"), w.node("b:1", "a:1")
	w.meet(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := w.take(a, w.call("s1", "t1", ""))
	w.is.NoErr(err)
	w.bench.gate["t2"] = make(chan struct{})
	stream, err := b.SubmitTurn(base.NewCtx(w.clock, 10*time.Second), w.call("s1", "t2", "t1"))
	w.is.NoErr(err)
	_, err = stream.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	drained := make(chan struct{})
	go func() {
		a.Drain(10 * time.Second)
		close(drained)
	}()
	for !a.isDraining() {
		w.clock.NewSignal().Wait(time.Millisecond)
	}
	w.is.Equal(a.owing(), 1)
	close(w.bench.gate["t2"])
	<-drained
	w.wire.lose("a:1") // gone at once
	body, err := io.ReadAll(NewReader(stream, w.clock, 5*time.Second))
	w.is.NoErr(err)
	w.is.Equal(string(body), "data: xt2\n\ndata: yt2\n\n")
}

func TestTerminationOnlyEscalates(t *testing.T) {
	w := newWorld(t)
	k := w.node("a")
	w.bench.gate["t1"] = make(chan struct{})
	stream, err := k.SubmitTurn(base.NewCtx(w.clock, 10*time.Second), w.call("s1", "t1", ""))
	w.is.NoErr(err)
	_, err = stream.Head(5*time.Second, w.clock)
	w.is.NoErr(err)
	w.is.True(k.Terminate("p", "s1", budget.Immediate))
	w.is.True(k.Terminate("p", "s1", budget.Drain))
	w.is.Equal(k.List(1)[0].Termination, budget.Immediate)
	_, err = io.ReadAll(NewReader(stream, w.clock, 5*time.Second))
	w.is.Equal(err, io.ErrUnexpectedEOF)
}

func TestHistoryKeepsAncestorsAsLongAsWhatFollows(t *testing.T) {
	is := is.New(t)
	h := newHistory(base.NewRealClock())
	h.keep(CompletedTurn{Turn: "a", Input: []byte("1")}, -time.Second)
	h.keep(CompletedTurn{Turn: "b", Previous: "a", Input: []byte("2")}, time.Minute)
	h.keep(CompletedTurn{Turn: "c", Previous: "a", Input: []byte("3")}, -time.Second)
	h.sweep()
	body, ok := h.chain("b")
	is.True(ok)
	is.True(bytes.Equal(body, []byte("12")))
	_, ok = h.chain("c")
	is.True(!ok)
}
