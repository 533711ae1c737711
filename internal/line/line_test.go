// Tests of the session queue with a fake ledger and fake workers: order, a single
// owner, forwarding once, takeover, history, and complete and truncated answers.
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
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

// fakeLedger is a Ledger in memory.
type fakeLedger struct {
	mu        sync.Mutex
	sessions  map[string]*Assignment
	completed map[string]CompletedTurn
	settled   map[string]int64
	claims    []Claim
	beginErr  error
}

func newFakeLedger() *fakeLedger {
	return &fakeLedger{sessions: map[string]*Assignment{}, completed: map[string]CompletedTurn{}, settled: map[string]int64{}}
}

func (l *fakeLedger) Begin(_ *base.Ctx, claim *Claim) (*ClaimResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beginErr != nil {
		return nil, l.beginErr
	}
	l.claims = append(l.claims, *claim)
	current := l.sessions[claim.Program+claim.Session]
	requested := &Assignment{Run: claim.Run, Owner: claim.Owner, Epoch: claim.Epoch}
	switch {
	case current == nil, current.Run == claim.Run, claim.Replaces != nil && claim.Replaces.Run == current.Run && claim.Epoch > current.Epoch:
		l.sessions[claim.Program+claim.Session] = requested
		return &ClaimResult{requested, true}, nil
	}
	return &ClaimResult{current, false}, nil
}

func (l *fakeLedger) Finish(_ *base.Ctx, completion *Completion) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.sessions[completion.Program+completion.Session]; current == nil || current.Run != completion.Run {
		return base.Decline(409, "stale_assignment", "succeeded")
	}
	l.completed[completion.Turn] = completion.CompletedTurn
	l.settled[completion.Turn] = completion.Tokens
	return nil
}

func (l *fakeLedger) Settle(_ *base.Ctx, settlement *Settlement) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled[settlement.Turn] = settlement.Tokens
	return nil
}

func (l *fakeLedger) Chain(_ *base.Ctx, _, turn string, _ ChainMemory) ([]CompletedTurn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chain := []CompletedTurn{}
	for turn != "" {
		turnRecord, ok := l.completed[turn]
		if !ok {
			return nil, base.Decline(404, "unknown_turn", "the turn does not exist")
		}
		chain = append([]CompletedTurn{turnRecord}, chain...)
		turn = turnRecord.Previous
	}
	return chain, nil
}

// fakeWorkers records the turns that it was sent. A turn with a gate ends its answer
// only once the gate is closed.
type fakeWorkers struct {
	mu        sync.Mutex
	started   []string
	bodies    map[string]string
	gates     map[string]chan struct{}
	truncated map[string]bool
	services  map[string]string // by turn
	onSend    func()
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{bodies: map[string]string{}, services: map[string]string{}, gates: map[string]chan struct{}{}, truncated: map[string]bool{}}
}

type fakeReply struct {
	events    []string
	gate      chan struct{}
	truncated bool
	closed    chan struct{}
	once      sync.Once
}

func (r *fakeReply) Status() int               { return 200 }
func (r *fakeReply) Headers() []relay.Header   { return []relay.Header{{Name: "Seal", Value: "s"}} }
func (r *fakeReply) IsStream() bool            { return true }
func (r *fakeReply) TakeMemory() *memory.Lease { return nil }
func (r *fakeReply) Fail()                     { r.Close() }
func (r *fakeReply) Close()                    { r.once.Do(func() { close(r.closed) }) }
func (r *fakeReply) Body(time.Duration) ([]byte, error) {
	return nil, io.ErrUnexpectedEOF
}

func (r *fakeReply) Event(time.Duration) (*relay.Event, error) {
	if len(r.events) == 0 {
		if r.gate != nil {
			select {
			case <-r.gate:
			case <-r.closed:
				return nil, io.ErrClosedPipe
			}
		}
		if r.truncated {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, io.EOF
	}
	next := r.events[0]
	r.events = r.events[1:]
	return &relay.Event{Raw: []byte("data: " + next + "\n\n"), Data: []byte(next)}, nil
}

func (w *fakeWorkers) Send(_ *base.Ctx, _ *route.Route, service *route.Service, call *relay.Call, body []byte) (Reply, error) {
	if w.onSend != nil {
		w.onSend()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = append(w.started, call.ID)
	w.services[call.ID] = service.Name
	w.bodies[call.ID] = string(body)
	return &fakeReply{events: []string{"x" + call.ID, "y" + call.ID}, gate: w.gates[call.ID], truncated: w.truncated[call.ID], closed: make(chan struct{})}, nil
}

// fakeWire calls the handlers of the test's nodes directly.
type fakeHTTPClient struct {
	mu    sync.Mutex
	nodes map[string]http.Handler
}

// disconnect makes a node unreachable.
func (w *fakeHTTPClient) disconnect(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.nodes, addr)
}

func (w *fakeHTTPClient) Do(request *http.Request) (*http.Response, error) {
	w.mu.Lock()
	node := w.nodes[request.URL.Host]
	w.mu.Unlock()
	if node == nil {
		return nil, &base.NotSent{Cause: io.ErrClosedPipe}
	}
	if ctx, ok := request.Context().Value(base.CtxKey).(*base.Ctx); ok {
		base.SetMessageHeaders(request, ctx.Remaining())
	}
	recorder := httptest.NewRecorder()
	node.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// testCluster is a set of gateways with one fake ledger and the same fake workers.
type testCluster struct {
	is         *is.I
	clock      base.Clock
	httpClient *fakeHTTPClient
	ledger     *fakeLedger
	workers    *fakeWorkers
	bounds     *base.AtomicPointer[base.Bounds]
	managers   map[string]*Manager
}

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{is: is.New(t), clock: base.NewRealClock(), httpClient: &fakeHTTPClient{nodes: map[string]http.Handler{}}, ledger: newFakeLedger(), workers: newFakeWorkers(),
		bounds: &base.AtomicPointer[base.Bounds]{}, managers: map[string]*Manager{}}
	c.bounds.Store(base.DefaultBounds())
	return c
}

func (c *testCluster) addNode(name string, seeds ...string) *Manager {
	counters := base.NewCounters()
	view := membership.NewView(c.clock, c.httpClient, c.bounds, counters, &membership.Member{Id: name + "/1", Addr: name, Role: membership.RoleGateway, Zone: "z"}, seeds, nil)
	routes := &base.AtomicPointer[route.Table]{}
	routes.Store(c.table(1, "s", 2))
	m := NewManager(Dependencies{Clock: c.clock, HTTPClient: c.httpClient, View: view, Bounds: c.bounds, Counters: counters, Routes: routes, Ledger: c.ledger, Workers: c.workers})
	mux := http.NewServeMux()
	member := membership.NewMembershipServer(view)
	mux.Handle(member.PathPrefix(), member)
	owner := NewOwnerServer(m)
	mux.Handle(owner.PathPrefix(), owner)
	c.httpClient.nodes[name] = base.HandleMessages(c.clock, mux)
	c.managers[name] = m
	return m
}

// table returns a configuration whose routes use one service, the only one that it lists.
func (c *testCluster) table(version uint64, service string, tokensPerEvent int) *route.Table {
	table := &route.Table{Version: version, Services: map[string]*route.Service{service: {Name: service, Engine: &route.Engine{TokensPerEvent: tokensPerEvent}}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.KindStream, Timeout: 10 * time.Second, RetainTurns: true, Retention: time.Minute, Shares: []route.Share{{Service: service, Weight: 1}}},
			{Name: "loose", Host: "h", Prefix: "/loose/", Kind: route.KindStream, Timeout: 10 * time.Second, Shares: []route.Share{{Service: service, Weight: 1}}}}}
	c.is.NoErr(table.BuildIndex())
	return table
}

func (c *testCluster) call(session, turn, previous string) *relay.Call {
	return &relay.Call{ID: turn, Host: "h", Method: "POST", Target: "/t", Body: []byte("in-" + turn), Program: "p", Session: session, PreviousTurn: previous, MaxOutputTokens: 10, Deadline: 10 * time.Second}
}

// submit submits a turn of the route that matches it.
func (c *testCluster) submit(m *Manager, ctx *base.Ctx, call *relay.Call) (*Stream, error) {
	return m.SubmitTurn(ctx, m.Routes.Load().Match(call.Host, call.Target), call)
}

// submitAndRead submits a turn to a gateway and returns its whole answer.
func (c *testCluster) submitAndRead(m *Manager, call *relay.Call) (string, error) {
	ctx := base.NewCtx(c.clock, 10*time.Second)
	stream, err := c.submit(m, ctx, call)
	if err != nil {
		return "", err
	}
	if _, err := stream.Head(10*time.Second, c.clock); err != nil {
		return "", err
	}
	body, err := io.ReadAll(NewReader(stream, c.clock, 10*time.Second))
	return string(body), err
}

func TestTurnBodyIncludesItsChain(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	got, err := c.submitAndRead(m, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	c.is.Equal(got, "data: xt1\n\ndata: yt1\n\n")
	_, err = c.submitAndRead(m, c.call("s1", "t2", "t1"))
	c.is.NoErr(err)
	c.is.Equal(c.workers.bodies["t2"], "in-t1xt1\nyt1\nin-t2")
	_, err = c.submitAndRead(c.addNode("b"), c.call("s2", "t3", "t2")) // another session, another node
	c.is.NoErr(err)
	c.is.Equal(c.workers.bodies["t3"], "in-t1xt1\nyt1\nin-t2xt2\nyt2\nin-t3")
	c.is.Equal(c.ledger.settled["t1"], int64(4)) // two events of stride two
}

// A gateway whose history is full must use the chain from the ledger itself, because it
// cannot add those turns to its history.
func TestFullHistoryStillLoadsChainsFromTheLedger(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	for _, turn := range []string{"t1", "t2"} {
		previous := map[string]string{"t2": "t1"}[turn]
		_, err := c.submitAndRead(m, c.call("s1", turn, previous))
		c.is.NoErr(err)
	}
	other := c.addNode("b")
	other.history.size = maxHistoryBytes + 1
	_, err := c.submitAndRead(other, c.call("s2", "t3", "t2"))
	c.is.NoErr(err)
	c.is.Equal(c.workers.bodies["t3"], "in-t1xt1\nyt1\nin-t2xt2\nyt2\nin-t3")
}

func TestUnknownPreviousTurnIsDeclinedWithoutRunning(t *testing.T) {
	c := newTestCluster(t)
	_, err := c.submitAndRead(c.addNode("a"), c.call("s1", "t1", "never"))
	c.is.Equal(base.ToRequestError(err).Status, 404)
	c.is.Equal(len(c.workers.started), 0)
}

func TestRefusedClaimDoesNotReachAWorker(t *testing.T) {
	c := newTestCluster(t)
	c.ledger.beginErr = base.Decline(402, "over_budget", "spent")
	_, err := c.submitAndRead(c.addNode("a"), c.call("s1", "t1", ""))
	c.is.Equal(base.ToRequestError(err).Status, 402)
	c.is.Equal(base.ToRequestError(err).Execution, base.NotRun)
	c.is.Equal(len(c.workers.started), 0)
}

func TestTruncatedAnswerFailsTheReadAndIsNotStored(t *testing.T) {
	c := newTestCluster(t)
	c.workers.truncated["t1"] = true
	_, err := c.submitAndRead(c.addNode("a"), c.call("s1", "t1", ""))
	c.is.Equal(err, io.ErrUnexpectedEOF)
	_, stored := c.ledger.completed["t1"]
	c.is.True(!stored)
}

func TestTurnOfReplacedOwnerIsCut(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	c.workers.gates["t1"] = make(chan struct{})
	ctx := base.NewCtx(c.clock, 10*time.Second)
	stream, err := c.submit(m, ctx, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = stream.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	c.ledger.mu.Lock()
	c.ledger.sessions["ps1"] = &Assignment{Run: "other", Owner: "b/1", Epoch: 2}
	c.ledger.mu.Unlock()
	close(c.workers.gates["t1"])
	_, err = io.ReadAll(NewReader(stream, c.clock, 5*time.Second))
	c.is.Equal(err, io.ErrUnexpectedEOF)
}

func TestSessionTurnsRunInOrderAndTheQueueIsBounded(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	c.workers.gates["t0"] = make(chan struct{})
	ctx := base.NewCtx(c.clock, 10*time.Second)
	first, err := c.submit(m, ctx, c.call("s1", "t0", ""))
	c.is.NoErr(err)
	_, err = first.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	streams := []*Stream{}
	for n := range maxQueuedTurns {
		call := c.call("s1", fmt.Sprint("q", n), fmt.Sprint("p", n)) // each with a different previous turn
		c.ledger.completed[call.PreviousTurn] = CompletedTurn{Turn: call.PreviousTurn}
		stream, err := c.submit(m, ctx, call)
		c.is.NoErr(err)
		streams = append(streams, stream)
	}
	_, err = c.submit(m, ctx, c.call("s1", "over", "p"))
	c.is.Equal(base.ToRequestError(err).Code, "queue_full")
	c.is.Equal(m.List(10)[0].Waiting, maxQueuedTurns) // a read does not wait in the queue
	c.is.Equal(len(c.workers.started), 1)
	close(c.workers.gates["t0"])
	for _, stream := range streams {
		_, err = stream.Head(5*time.Second, c.clock)
		c.is.NoErr(err)
		_, err = io.ReadAll(NewReader(stream, c.clock, 5*time.Second))
		c.is.NoErr(err)
	}
	c.is.Equal(c.workers.started[1], "q0")
	c.is.Equal(c.workers.started[maxQueuedTurns], fmt.Sprint("q", maxQueuedTurns-1))
}

func TestRetryFromTheSamePreviousTurnCancelsTheEarlierAttempt(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	c.workers.gates["t1"] = make(chan struct{}) // never closed: the worker hangs
	ctx := base.NewCtx(c.clock, 10*time.Second)
	first, err := c.submit(m, ctx, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = first.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	_, err = c.submitAndRead(m, c.call("s1", "t2", ""))
	c.is.NoErr(err)
	_, err = io.ReadAll(NewReader(first, c.clock, 5*time.Second))
	c.is.Equal(err, io.ErrUnexpectedEOF)
}

// unretainedCall is a call on a route that does not retain turns.
func (c *testCluster) unretainedCall(session, turn, previous string) *relay.Call {
	call := c.call(session, turn, previous)
	call.Target, call.TokenBudget, call.HasTokenBudget = "/loose/t", 100, true
	return call
}

func TestUnretainedTurnsAreSettled(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	_, err := c.submitAndRead(m, c.unretainedCall("s1", "t1", "never"))
	c.is.NoErr(err)
	c.is.Equal(c.workers.bodies["t1"], "in-t1") // no chain is added
	m.Drain(5 * time.Second)                    // returns only once the ledger has the settlement
	c.is.Equal(m.pendingSettlements.Load(), int64(0))
	c.is.Equal(c.ledger.settled["t1"], int64(4))
	_, stored := c.ledger.completed["t1"]
	c.is.True(!stored)
	c.is.Equal(c.ledger.claims[0].MaxTokens, int64(10))
	c.is.Equal(c.ledger.claims[0].Retain, time.Minute) // the longest of any route
}

// Guards against BUDGET: a configuration that no longer lists the service of turns under way
// had their tokens counted at one an event.
func TestConfigChangeKeepsRouteOfRunningTurn(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	call := c.call("s1", "t1", "")
	call.HasTokenBudget = true
	c.workers.onSend = func() { m.Routes.Store(c.table(2, "s2", 5)) }
	_, err := c.submitAndRead(m, call)
	c.is.NoErr(err)
	c.is.Equal(c.workers.services["t1"], "s")
	c.is.Equal(c.ledger.settled["t1"], int64(4)) // two events of two tokens
	_, err = c.submitAndRead(m, c.call("s1", "t2", "t1"))
	c.is.NoErr(err)
	c.is.Equal(c.workers.services["t2"], "s2")
	c.is.Equal(c.ledger.settled["t2"], int64(10))
}

// A turn that waits in its session's queue keeps the route that matched it when it was
// accepted, also if a later configuration drops the route.
func TestConfigChangeKeepsRouteOfQueuedTurn(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	c.workers.gates["t1"] = make(chan struct{})
	ctx := base.NewCtx(c.clock, 10*time.Second)
	first, err := c.submit(m, ctx, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = first.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	c.ledger.mu.Lock()
	c.ledger.completed["t0"] = CompletedTurn{Turn: "t0"}
	c.ledger.mu.Unlock()
	second, err := c.submit(m, ctx, c.call("s1", "t2", "t0"))
	c.is.NoErr(err)
	empty := &route.Table{Version: 2, Services: map[string]*route.Service{}}
	c.is.NoErr(empty.BuildIndex())
	m.Routes.Store(empty)
	close(c.workers.gates["t1"])
	_, err = second.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	_, err = io.ReadAll(NewReader(second, c.clock, 5*time.Second))
	c.is.NoErr(err)
	c.is.Equal(c.workers.services["t2"], "s")
	c.is.Equal(c.ledger.settled["t2"], int64(4))
}

func TestCallsWithoutNamesGetTheirOwnSession(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	for _, turn := range []string{"t1", "t2"} {
		call := c.unretainedCall("", turn, "")
		call.Program = ""
		c.is.True(IsTurn(&route.Route{}, call))
		_, err := c.submitAndRead(m, call)
		c.is.NoErr(err)
	}
	first, second := c.ledger.claims[0], c.ledger.claims[1]
	c.is.True(first.Session != second.Session && first.Program != second.Program)
	c.is.True(strings.HasPrefix(first.Session, unnamedPrefix) && strings.HasPrefix(first.Program, unnamedPrefix))
	c.is.True(!IsTurn(&route.Route{}, &relay.Call{ID: "t3"}))
	c.is.True(IsTurn(&route.Route{RetainTurns: true}, &relay.Call{ID: "t3"}))
}

func TestUnretainedRetryNeedsTheSameBodyToCancelTheEarlierAttempt(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	c.workers.gates["t1"] = make(chan struct{}) // never closed: the worker hangs
	ctx := base.NewCtx(c.clock, 10*time.Second)
	first, err := c.submit(m, ctx, c.unretainedCall("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = first.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	other, err := c.submit(m, ctx, c.unretainedCall("s1", "t2", "")) // another turn waits behind it
	c.is.NoErr(err)
	c.is.True(!first.isAbandoned() && m.List(1)[0].Waiting == 1)
	again := c.unretainedCall("s1", "t3", "")
	again.Body = []byte("in-t1")
	_, err = c.submit(m, ctx, again)
	c.is.NoErr(err)
	_, err = io.ReadAll(NewReader(first, c.clock, 5*time.Second))
	c.is.Equal(err, io.ErrUnexpectedEOF)
	_, err = other.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
}

// After an outage several programs may continue from the same turn under the same
// session name. Each must get a session of its own, or their turns block each other.
func TestProgramsWithTheSameSessionNameAreIndependent(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	_, err := c.submitAndRead(m, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	c.workers.gates["t2"] = make(chan struct{})
	first := c.call("s1", "t2", "t1")
	stream, err := c.submit(m, base.NewCtx(c.clock, 10*time.Second), first)
	c.is.NoErr(err)
	_, err = stream.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	second := c.call("s1", "t3", "t1")
	second.Program = "q"
	_, err = c.submitAndRead(m, second)
	c.is.NoErr(err)
	close(c.workers.gates["t2"])
	_, err = io.ReadAll(NewReader(stream, c.clock, 5*time.Second))
	c.is.NoErr(err)
	c.is.Equal(len(m.List(10)), 2)
}

func TestClosingTheReaderCancelsTheTurn(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	c.workers.gates["t1"] = make(chan struct{})
	stream, err := c.submit(m, base.NewCtx(c.clock, 10*time.Second), c.call("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = stream.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	c.is.NoErr(NewReader(stream, c.clock, time.Second).Close())
	_, err = c.submitAndRead(m, c.call("s1", "t2", "")) // the queue continues
	c.is.NoErr(err)
}

// connect waits until two nodes know each other.
func (c *testCluster) connect(a, b *Manager) {
	for _, pair := range [][2]*Manager{{a, b}, {b, a}} {
		client := membership.NewMembershipProtobufClient("http://"+pair[1].View.Self().Addr, c.httpClient)
		_ = client
		c.clock.Go(pair[0].View.Run)
	}
	for tries := 0; ; tries++ {
		_, first := a.View.Find(b.nodeID())
		_, second := b.View.Find(a.nodeID())
		if first && second {
			return
		}
		if tries > 400 {
			c.is.Fail()
		}
		c.clock.NewSignal().Wait(10 * time.Millisecond)
	}
}

func TestTurnIsForwardedOnceToItsOwner(t *testing.T) {
	c := newTestCluster(t)
	a, b := c.addNode("a:1", "b:1"), c.addNode("b:1", "a:1")
	c.connect(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := c.submitAndRead(a, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	got, err := c.submitAndRead(b, c.call("s1", "t2", "t1"))
	c.is.NoErr(err)
	c.is.Equal(got, "data: xt2\n\ndata: yt2\n\n")
	c.is.Equal(c.ledger.sessions["ps1"].Owner, a.nodeID()) // the owner is unchanged
	c.is.Equal(b.Counters.Snapshot()["turns_forwarded"], int64(1))
	owner := NewOwnerProtobufClient("http://a:1", c.httpClient)
	for _, bad := range []*ForwardRequest{
		{From: "x", Assignment: c.ledger.sessions["ps1"], Call: &Call{Session: "s1"}},                                                              // no marker
		{From: "x", Forwarded: true, Assignment: &Assignment{Run: "r", Owner: a.nodeID(), Epoch: 1}, Call: &Call{Session: "s1", DeadlineMs: 1000}}, // another Run
		{From: "x", Forwarded: true, Assignment: &Assignment{Run: "r", Owner: "a:1/0", Epoch: 1}, Call: &Call{Session: "s1"}},                      // an earlier process of a
	} {
		_, err := owner.Forward(context.Background(), bad)
		c.is.True(err != nil)
	}
	c.is.Equal(len(c.workers.started), 2)
}

// Guards against LOST: an owner that had dropped a rested session declined every turn that
// was forwarded to it, and no other gateway could have the session.
func TestOwnerTakesUpRestedSession(t *testing.T) {
	c := newTestCluster(t)
	a, b := c.addNode("a:1", "b:1"), c.addNode("b:1", "a:1")
	c.connect(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := c.submitAndRead(a, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = c.submitAndRead(b, c.call("s1", "t2", "t1"))
	c.is.NoErr(err)
	a.dropIdle(c.clock.Now() + time.Second)
	c.is.Equal(len(a.List(10)), 0)
	for _, turn := range []*relay.Call{c.call("s1", "t3", "t2"), c.call("s1", "t4", "t3")} {
		got, err := c.submitAndRead(b, turn)
		c.is.NoErr(err)
		c.is.Equal(got, fmt.Sprintf("data: x%s\n\ndata: y%s\n\n", turn.ID, turn.ID))
	}
	c.is.Equal(c.workers.bodies["t4"], "in-t1xt1\nyt1\nin-t2xt2\nyt2\nin-t3xt3\nyt3\nin-t4")
	c.is.Equal(c.ledger.sessions["ps1"].Owner, a.nodeID())
	c.is.Equal(c.ledger.sessions["ps1"].Epoch, uint64(2)) // the lease was over, so a new Run began
}

// A node that dropped a session which another node has taken since does not take it back.
func TestDroppedSessionOfAnotherOwnerIsNotTakenUp(t *testing.T) {
	c := newTestCluster(t)
	a, b := c.addNode("a:1", "b:1"), c.addNode("b:1", "a:1")
	c.connect(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := c.submitAndRead(a, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	former := c.ledger.sessions["ps1"]
	a.dropIdle(c.clock.Now() + time.Second)
	c.ledger.sessions["ps1"] = &Assignment{Run: "next", Owner: b.nodeID(), Epoch: 2}
	ctx := base.NewCtx(c.clock, 10*time.Second)
	owner := NewOwnerProtobufClient("http://a:1", c.httpClient)
	_, err = owner.Forward(ctx, &ForwardRequest{From: b.nodeID(), Forwarded: true, Assignment: former, Call: callToProto(c.call("s1", "t2", "t1"), ctx)})
	c.is.Equal(base.ToRequestError(err).Code, "stale_assignment")
	c.is.Equal(c.ledger.sessions["ps1"].Run, "next")
	c.is.Equal(len(c.workers.started), 1)
}

// When the message that forwards a turn is delivered twice, the turn must run once and
// both deliveries must get its answer.
func TestDuplicateForwardRunsOnce(t *testing.T) {
	for _, rested := range []bool{false, true} {
		t.Run(fmt.Sprint("rested ", rested), func(t *testing.T) { testDuplicateForward(t, rested) })
	}
}

func testDuplicateForward(t *testing.T, rested bool) {
	c := newTestCluster(t)
	a, b := c.addNode("a:1", "b:1"), c.addNode("b:1", "a:1")
	c.connect(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := c.submitAndRead(a, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	ctx := base.NewCtx(c.clock, 10*time.Second)
	forward := &ForwardRequest{From: b.nodeID(), Forwarded: true, Assignment: c.ledger.sessions["ps1"], Call: callToProto(c.call("s1", "t2", "t1"), ctx)}
	if rested {
		a.dropIdle(c.clock.Now() + time.Second)
	}
	owner := NewOwnerProtobufClient("http://a:1", c.httpClient)
	for range 2 {
		reply, err := owner.Forward(ctx, forward)
		c.is.NoErr(err)
		for position := uint64(len(reply.Pieces)); !reply.Done; position += uint64(len(reply.Pieces)) {
			reply, err = owner.Pull(ctx, &PullRequest{Program: "p", Session: "s1", Turn: "t2", Place: position, HoldMs: 1000, Assignment: forward.Assignment})
			c.is.NoErr(err)
		}
		c.is.True(!reply.Cut)
	}
	c.is.Equal(len(c.workers.started), 2) // t1 and t2
}

// A pull that was not sent proves nothing about the turn, which the owner already has.
// Only an error that the owner itself sent can say that the turn has not run.
func TestOnlyTheOwnersReplyProvesThatATurnHasNotRun(t *testing.T) {
	is := is.New(t)
	notSentErr := pullError(&base.NotSent{Cause: io.EOF})
	is.Equal(notSentErr.Execution, base.MayHaveRun)
	is.Equal(notSentErr.Status, 502)
	declined := pullError(base.ToTwirpError(base.BusyFor(503, "workers_full", time.Second, "no worker has room")))
	is.Equal(declined.Execution, base.NotRun)
	is.Equal(declined.RetryAfterMs, int64(1000))
}

func TestLostOrDrainingOwnerIsReplaced(t *testing.T) {
	c := newTestCluster(t)
	a, b := c.addNode("a:1", "b:1"), c.addNode("b:1", "a:1")
	c.connect(a, b)
	defer b.View.Close()
	_, err := c.submitAndRead(a, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = c.submitAndRead(a, c.call("s2", "u1", ""))
	c.is.NoErr(err)
	a.Drain(time.Second)
	_, err = c.submit(a, base.NewCtx(c.clock, time.Second), c.call("s1", "t2", "t1"))
	c.is.Equal(base.ToRequestError(err).Execution, base.NotRun)
	_, err = c.submitAndRead(b, c.call("s1", "t3", "t1")) // a is draining, so b takes over
	c.is.NoErr(err)
	c.is.Equal(c.ledger.sessions["ps1"].Owner, b.nodeID())
	c.is.Equal(c.ledger.sessions["ps1"].Epoch, uint64(2))
	a.View.Close()
	c.httpClient.disconnect("a:1")
	_, err = c.submitAndRead(b, c.call("s2", "u2", "u1"))
	c.is.NoErr(err)
	c.is.Equal(c.ledger.sessions["ps2"].Owner, b.nodeID())
	c.is.True(strings.HasPrefix(c.workers.bodies["u2"], "in-u1"))
}

// A draining owner must keep running until the gateways that forwarded turns to it have
// pulled the ends of their answers.
func TestDrainWaitsForForwardedTurns(t *testing.T) {
	c := newTestCluster(t)
	a, b := c.addNode("a:1", "b:1"), c.addNode("b:1", "a:1")
	c.connect(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := c.submitAndRead(a, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	c.workers.gates["t2"] = make(chan struct{})
	stream, err := c.submit(b, base.NewCtx(c.clock, 10*time.Second), c.call("s1", "t2", "t1"))
	c.is.NoErr(err)
	_, err = stream.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	drained := make(chan struct{})
	go func() {
		a.Drain(10 * time.Second)
		close(drained)
	}()
	for !a.isDraining() {
		c.clock.NewSignal().Wait(time.Millisecond)
	}
	c.is.Equal(a.undeliveredStreams(), 1)
	close(c.workers.gates["t2"])
	<-drained
	c.httpClient.disconnect("a:1") // a stops right after the drain
	body, err := io.ReadAll(NewReader(stream, c.clock, 5*time.Second))
	c.is.NoErr(err)
	c.is.Equal(string(body), "data: xt2\n\ndata: yt2\n\n")
}

func TestTerminationOnlyEscalates(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	c.workers.gates["t1"] = make(chan struct{})
	stream, err := c.submit(m, base.NewCtx(c.clock, 10*time.Second), c.call("s1", "t1", ""))
	c.is.NoErr(err)
	_, err = stream.Head(5*time.Second, c.clock)
	c.is.NoErr(err)
	c.is.True(m.Terminate("p", "s1", budget.Immediate))
	c.is.True(m.Terminate("p", "s1", budget.Drain))
	c.is.Equal(m.List(1)[0].Termination, budget.Immediate)
	_, err = io.ReadAll(NewReader(stream, c.clock, 5*time.Second))
	c.is.Equal(err, io.ErrUnexpectedEOF)
}

func TestHistoryRetainsAncestorsAsLongAsDescendants(t *testing.T) {
	is := is.New(t)
	h := newHistory(base.NewRealClock(), maxHistoryBytes)
	h.add(CompletedTurn{Turn: "a", Input: []byte("1")}, -time.Second)
	h.add(CompletedTurn{Turn: "b", Previous: "a", Input: []byte("2")}, time.Minute)
	h.add(CompletedTurn{Turn: "c", Previous: "a", Input: []byte("3")}, -time.Second)
	h.removeExpired()
	entries, size, ok := h.ancestry("b")
	is.True(ok)
	is.True(bytes.Equal(joinEntries(entries, size, []byte("4")), []byte("124")))
	_, _, ok = h.ancestry("c")
	is.True(!ok)
}
