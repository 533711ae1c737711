// Workers, list, clients and operators over real sockets. A client may speak
// to a worker as to a node, since both speak the same protocol.
package sockets

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/matryer/is"
)

type oneNode string

func (n oneNode) Pick(string, string, bool) (node, address string) { return "w", string(n) }

type bench struct {
	is      *is.I
	clock   base.Clock
	ledger  *platform.Recorder
	server  *WorkerServer
	clients *Clients
	tries   int
}

var (
	plainShape = platform.ServiceSpec{Name: "app", Capacity: 2, QueueSize: 2, MaxConns: 8}
	modelShape = platform.ServiceSpec{Name: "model", Capacity: 8, QueueSize: 8, MaxConns: 20, Engine: &platform.EngineSpec{StepTime: time.Millisecond,
		PromptTokensPerMs: 100, MaxPromptTokensPerStep: 4096, CacheTokens: 1000, TokensPerEvent: 2, EventBytes: 30}}
)

func newBench(t *testing.T, shape platform.ServiceSpec, change func(w *platform.Worker), more ...func(s *WorkerServer)) *bench {
	clock := base.NewRealClock()
	b := &bench{is: is.New(t), clock: clock, ledger: platform.NewRecorder(platform.DefaultBounds(), 2, 3)}
	worker := &platform.Worker{ID: "i-1", Service: "svc", Clock: clock, Recorder: b.ledger, Spec: shape, KeepAlive: 5 * time.Second, Rng: rand.New(rand.NewPCG(1, 1)),
		Workload: func(string) (time.Duration, int) { return 2 * time.Millisecond, 100 }}
	if change != nil {
		change(worker)
	}
	server, err := ListenWorker(worker, "127.0.0.1:0", func(s *WorkerServer) {
		for _, one := range more {
			one(s)
		}
	})
	b.is.NoErr(err)
	t.Cleanup(server.Close)
	b.server, b.clients = server, &Clients{Clock: clock, NodePicker: oneNode(worker.Address), KeepAliveTenths: 10}
	return b
}

func (b *bench) try(kind platform.Kind, target string, header ...[2]string) *platform.Try {
	b.tries++
	id := fmt.Sprintf("%016x", b.tries)
	t := &platform.Try{ID: id, Kind: kind, Host: "h", Method: "POST", Target: target, Body: []byte("what is asked"), Client: "c", Deadline: 3 * time.Second,
		Aim: 100 * time.Millisecond, Header: append([][2]string{{platform.HeaderID, id}, {platform.HeaderDeadline, "3000"}}, header...)}
	b.ledger.Update(func(r *platform.Record) { r.Tries = append(r.Tries, t) })
	b.clients.Send(t)
	return t
}

// last is what the worker knows of a try; it waits for the worker's own end.
func (b *bench) last(t *platform.Try, met func(a *platform.Arrival) bool) *platform.Arrival {
	for end := b.clock.Now() + 5*time.Second; b.clock.Now() < end; b.clock.Sleep(time.Millisecond) {
		for _, a := range b.ledger.Snapshot().Arrivals {
			if a.ID == t.ID && met(a) {
				return a
			}
		}
	}
	b.is.Fail()
	return nil
}

func TestAPlainWorkerAnswersAndKeepsItsConnection(t *testing.T) {
	b := newBench(t, plainShape, nil)
	for place := range 5 {
		try := b.try(platform.NonIdempotent, fmt.Sprintf("/x/%d?a=b", place))
		b.is.True(try.Succeeded())
		b.is.Equal(try.Echo, try.ID)
		a := b.last(try, func(a *platform.Arrival) bool { return a.Whole })
		b.is.Equal(a.Answer, try.Answer)
		b.is.Equal(a.Seal, try.Seal)
		b.is.Equal(a.Target, try.Target)
		b.is.Equal(a.Body, base.Digest(try.Body))
	}
	b.is.Equal(b.server.OpenedConns(), 1)
	b.is.Equal(len(b.clients.Close()), 0)
}

func TestAWorkerSaysWhatItDidNotRun(t *testing.T) {
	b := newBench(t, plainShape, nil)
	other := b.try(platform.NonIdempotent, "/x", [2]string{platform.HeaderExpectInstance, "i-2"})
	b.is.Equal(other.Status, 421)
	mine := b.try(platform.NonIdempotent, "/x", [2]string{platform.HeaderExpectInstance, "i-1"})
	b.is.True(mine.Succeeded())
	nameless := &platform.Try{ID: "", Kind: platform.Idempotent, Host: "h", Method: "GET", Target: "/x", Client: "c", Deadline: time.Second}
	b.clients.Send(nameless)
	b.is.Equal(nameless.Status, 400)
	for _, a := range b.ledger.Snapshot().Arrivals {
		b.is.Equal(a.Ran, a.ID == mine.ID)
	}
}

func TestAFullWorkerRefusesWithoutRunning(t *testing.T) {
	shape := plainShape
	shape.MaxConns = 100
	b := newBench(t, shape, func(w *platform.Worker) { w.Workload = func(string) (time.Duration, int) { return time.Second, 10 } })
	var group sync.WaitGroup
	ask := func(place int) *platform.Try {
		id := fmt.Sprintf("%016x", place)
		return &platform.Try{ID: id, Kind: platform.NonIdempotent, Host: "h", Method: "POST", Target: "/x", Client: id, Deadline: 20 * time.Second, Header: [][2]string{{platform.HeaderID, id}}}
	}
	served := make([]*platform.Try, 4)
	for place := range served {
		served[place] = ask(place + 1)
		group.Add(1)
		go func() {
			defer group.Done()
			b.clients.Send(served[place])
		}()
	}
	for end := b.clock.Now() + 5*time.Second; b.server.Worker.Queued() < 2 && b.clock.Now() < end; b.clock.Sleep(time.Millisecond) {
	}
	refused := ask(5) // two at work, two in line
	b.clients.Send(refused)
	group.Wait()
	b.is.True(refused.Status == 503 && refused.Complete)
	for _, try := range served {
		b.is.True(try.Succeeded())
	}
	for _, a := range b.ledger.Snapshot().Arrivals {
		b.is.Equal(a.Ran, a.ID != refused.ID)
	}
	b.clients.Close()
}

func TestAWorkerResetsConnectionsBeyondItsMost(t *testing.T) {
	shape := plainShape
	shape.MaxConns = 2
	b := newBench(t, shape, nil)
	var held []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", b.server.Worker.Address)
		b.is.NoErr(err)
		held = append(held, conn)
	}
	for end := b.clock.Now() + 5*time.Second; b.server.OpenedConns() < 2 && b.clock.Now() < end; b.clock.Sleep(time.Millisecond) {
	}
	try := b.try(platform.NonIdempotent, "/x")
	b.is.Equal(try.Status, 0)
	b.is.True(try.Unread)
	for _, conn := range held {
		_ = conn.Close()
	}
}

func TestHealthTellsTheInstance(t *testing.T) {
	b := newBench(t, plainShape, nil)
	ask := func() *http.Response {
		response, err := http.Get("http://" + b.server.Worker.Address + platform.PathHealth)
		b.is.NoErr(err)
		_ = response.Body.Close()
		return response
	}
	well := ask()
	b.is.Equal(well.StatusCode, 200)
	b.is.Equal(well.Header.Get(platform.HeaderInstance), "i-1")
	b.is.Equal(well.Header.Get(platform.HeaderLoad), "0,0,2")
	b.server.Worker.SetHealthy(false)
	b.is.Equal(ask().StatusCode, 503)
	b.server.Worker.LyingHealth = true
	b.is.Equal(ask().StatusCode, 200)
	b.server.Worker.Drain()
	leaving := ask()
	b.is.Equal(leaving.StatusCode, 503)
	b.is.True(leaving.Close)
}

func TestALeavingWorkerClosesAfterItsAnswer(t *testing.T) {
	b := newBench(t, plainShape, nil)
	b.server.Worker.Drain()
	b.is.True(b.try(platform.NonIdempotent, "/x").Succeeded())
	b.is.True(b.try(platform.NonIdempotent, "/x").Succeeded())
	b.is.Equal(b.server.OpenedConns(), 2)
}

func TestTroublesOfAPlainWorker(t *testing.T) {
	for _, row := range []struct {
		fault platform.Fault
		check func(b *bench, try *platform.Try)
	}{
		{platform.FaultLostReset, func(b *bench, try *platform.Try) { b.is.Equal(try.Status, 0) }},
		{platform.FaultLostSilent, func(b *bench, try *platform.Try) { b.is.Equal(try.Status, 0); b.is.True(try.GaveUp) }},
		{platform.FaultGarbled, func(b *bench, try *platform.Try) { b.is.True(try.Garbage != "") }},
		{platform.FaultCut, func(b *bench, try *platform.Try) { b.is.Equal(try.Status, 200); b.is.True(!try.Complete) }},
		{platform.FaultError, func(b *bench, try *platform.Try) { b.is.Equal(try.Status, 500); b.is.True(try.Seal != "") }},
		{platform.FaultExtra, func(b *bench, try *platform.Try) { b.is.True(try.Succeeded()) }},
	} {
		t.Run(string(row.fault), func(t *testing.T) {
			b := newBench(t, plainShape, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return row.fault } })
			try := b.try(platform.NonIdempotent, "/x", [2]string{"X", "y"})
			row.check(b, try)
			b.last(try, func(a *platform.Arrival) bool { return a.Ran })
			b.clients.Close()
		})
	}
}

func TestSurplusAnswersAreNoticed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, plainShape, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return platform.FaultExtra } })
	first := b.try(platform.NonIdempotent, "/x")
	for _, conn := range b.clients.idle["c"] {
		select {
		case <-conn.done: // something came while it was idle
		case <-time.After(5 * time.Second):
		}
	}
	surplus := b.clients.Close()
	is.True(first.Surplus != "" || len(surplus) == 1) // with its answer, or while the connection was idle

	b = newBench(t, plainShape, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return platform.FaultLateExtra } })
	is.True(b.try(platform.NonIdempotent, "/x").Succeeded())
	second := b.try(platform.NonIdempotent, "/x")
	is.True(second.Echo != "" && second.Echo != second.ID) // a stale answer stands in its place
	for _, conn := range b.clients.idle["c"] {
		<-conn.done // its own answer follows
	}
	is.True(second.Surplus != "" || len(b.clients.Close()) == 1)
	found := false
	for _, breach := range b.ledger.Snapshot().Check() {
		found = found || breach.Rule == "MIXED" && strings.Contains(breach.Detail, "got the answer of")
	}
	is.True(found) // a client that is handed such an answer makes it a breach
}

func TestAForgottenConnectionIsReset(t *testing.T) {
	b := newBench(t, plainShape, nil, func(s *WorkerServer) { s.SetSilentDropAfter(1) }) // any time is too long
	b.is.True(b.try(platform.NonIdempotent, "/x").Succeeded())
	try := b.try(platform.NonIdempotent, "/x")
	b.is.Equal(try.Status, 0)
	b.is.True(try.Unread)
}

// listenOnce has one connection served by a step.
func listenOnce(t *testing.T, step func(conn *net.TCPConn)) *Clients {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if conn, err := listener.Accept(); err == nil {
			step(conn.(*net.TCPConn))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return &Clients{Clock: base.NewRealClock(), NodePicker: oneNode(listener.Addr().String())}
}

func TestWhatWasNotReadIsToldFromWhatWas(t *testing.T) {
	is := is.New(t)
	ask := func(kind platform.Kind, step func(conn *net.TCPConn, done chan struct{})) *platform.Try {
		done := make(chan struct{})
		clients := listenOnce(t, func(conn *net.TCPConn) { step(conn, done) })
		try := &platform.Try{ID: "x", Kind: kind, Host: "h", Method: "POST", Target: "/x", Body: []byte("body"), Client: "c", Deadline: 1500 * time.Millisecond}
		clients.Send(try)
		close(done)
		return try
	}
	read := func(conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.ReadAll(request.Body)
		}
	}
	frozen := ask(platform.Idempotent, func(_ *net.TCPConn, done chan struct{}) { <-done })
	is.True(frozen.Unread && frozen.GaveUp)
	is.True(frozen.Ended-frozen.Sent < time.Second) // a third of its time
	slow := ask(platform.Idempotent, func(conn *net.TCPConn, done chan struct{}) { read(conn); <-done })
	is.True(!slow.Unread && slow.GaveUp)
	dropped := ask(platform.NonIdempotent, func(conn *net.TCPConn, _ chan struct{}) { read(conn) })
	is.True(!dropped.Unread && dropped.Status == 0)
	unread := ask(platform.NonIdempotent, func(conn *net.TCPConn, _ chan struct{}) { _, _ = conn.Read(make([]byte, 3)) })
	is.True(unread.Unread)
	for range 20 {
		closed := ask(platform.NonIdempotent, func(*net.TCPConn, chan struct{}) {})
		is.True(closed.Unread) // whether its bytes came before the close or after
	}
}

func turnHeader(prompt, most int) [][2]string {
	return [][2]string{{platform.HeaderModel, "m"}, {platform.HeaderTokens, fmt.Sprintf("%d,%d", prompt, most)}, {platform.HeaderPrompt, fmt.Sprintf("aa:%d", prompt)}}
}

func TestAModelWorkerStreamsItsEvents(t *testing.T) {
	b := newBench(t, modelShape, nil)
	try := b.try(platform.Streaming, "/x", turnHeader(100, 9)...)
	b.is.True(try.Succeeded())
	a := b.last(try, func(a *platform.Arrival) bool { return a.Whole })
	b.is.Equal(len(try.Events), 5) // nine tokens, two an event
	for place, event := range try.Events {
		b.is.Equal(event.ID, int64(place+1))
		b.is.Equal(event.Data, a.Events[place].Data)
		b.is.True(event.At >= a.Events[place].At)
	}
	large := b.try(platform.Streaming, "/x", turnHeader(2000, 9)...)
	b.is.Equal(large.Status, 503) // larger than its memory
	response, err := http.Get("http://" + b.server.Worker.Address + platform.PathReport)
	b.is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	b.is.NoErr(err)
	_ = response.Body.Close()
	tree, err := platform.ParseJSON(body)
	b.is.NoErr(err)
	b.is.Equal(tree.(map[string]any)["cache_total"], 1000.0)
	b.clients.Close()
	for _, breach := range b.ledger.Snapshot().Check() {
		b.is.Equal(breach.Rule, "ROUTE") // there is no configuration here
	}
}

func TestAModelWorkerDropsWhatItsAskerLeft(t *testing.T) {
	b := newBench(t, modelShape, nil)
	conn, err := net.Dial("tcp", b.server.Worker.Address)
	b.is.NoErr(err)
	_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\n%s: left\r\n%s: 10,900\r\nContent-Length: 0\r\n\r\n", platform.HeaderID, platform.HeaderTokens)
	line, err := bufio.NewReader(conn).ReadString('\n')
	b.is.NoErr(err)
	b.is.Equal(line, "HTTP/1.1 200 OK\r\n")
	_ = conn.Close()
	a := b.last(&platform.Try{ID: "left"}, func(a *platform.Arrival) bool { return a.Left })
	b.is.True(a.Ran && !a.Whole && len(a.Events) < 450)
}

func TestTroublesOfAModelWorker(t *testing.T) {
	for _, fault := range []platform.Fault{platform.FaultLostReset, platform.FaultCut, platform.FaultGarbled} {
		t.Run(string(fault), func(t *testing.T) {
			b := newBench(t, modelShape, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return fault } })
			try := b.try(platform.Streaming, "/x", turnHeader(10, 20)...)
			b.is.True(!try.Succeeded())
			a := b.last(try, func(a *platform.Arrival) bool { return a.Broke })
			b.is.True(a.Ran && !a.Whole)
			b.is.True(len(try.Events) <= len(a.Events))
		})
	}
}

func TestTheListIsServed(t *testing.T) {
	is := is.New(t)
	list := &platform.Instances{Clock: base.NewRealClock(), CallsPerSecond: 1000}
	list.ScheduleChange("i-1", &platform.Instance{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Zone: "z", State: platform.StateReady, Capacity: 6, Model: "m"}, 0)
	server, err := ListenInstanceList(list, "127.0.0.1:0")
	is.NoErr(err)
	defer server.Close()
	response, err := http.Get("http://" + server.Address + platform.PathInstances + "?zone=z")
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	_ = response.Body.Close()
	tree, err := platform.ParseJSON(body)
	is.NoErr(err)
	one := tree.(map[string]any)["instances"].([]any)[0].(map[string]any)
	for name, value := range map[string]any{"id": "i-1", "backend": "svc", "address": "127.0.0.1:1", "zone": "z", "state": "ready", "capacity": 6.0, "phase": "both"} {
		is.Equal(one[name], value)
	}
}

// controlNodes are nodes of control that answer as a test says.
func controlNodes(t *testing.T, handlers ...http.HandlerFunc) (addresses []string) {
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses
}

func newOperator(addresses []string) *platform.Operator {
	return &platform.Operator{Call: CallControl, Name: "op", Clock: base.NewRealClock(), Recorder: platform.NewRecorder(platform.DefaultBounds(), 2, 3),
		Control: func() []string { return addresses }, Rng: rand.New(rand.NewPCG(1, 1))}
}

func TestAnOperatorMovesOnAndFollowsTwice(t *testing.T) {
	is := is.New(t)
	var leader, hop string
	var mu sync.Mutex
	calls := map[string]int{}
	count := func(name string) int {
		mu.Lock()
		defer mu.Unlock()
		calls[name]++
		return calls[name]
	}
	redirect := func(name string, to *string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			count(name)
			w.Header().Set("Location", "http://"+*to+r.URL.Path)
			w.WriteHeader(307)
		}
	}
	addresses := controlNodes(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if count("leader") == 1 {
			w.WriteHeader(503)
			return
		}
		if r.Method != "PUT" || r.URL.Path != platform.PathConfig || r.Header.Get(platform.HeaderIfMatch) != "5" || !strings.Contains(string(body), "generation") {
			w.WriteHeader(400)
		}
	}, redirect("hop", &leader), redirect("first", &hop))
	leader, hop = addresses[0], addresses[1]
	o := newOperator(addresses[2:])
	config := &platform.Config{Generation: 7}
	order := o.PutConfig(5, config, config.Encode(), "", 5*time.Second)
	is.Equal(order.Status, 200)
	is.True(!order.Unclear) // a 503 promises that it was not taken
	is.Equal(calls["leader"], 2)
	is.Equal(calls["hop"], 2)
	is.Equal(len(o.Recorder.Snapshot().Orders), 1)
}

func TestAnOperatorNotesWhatIsUnclear(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	calls := 0
	addresses := controlNodes(t, func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls == 1 {
			w.WriteHeader(500)
			return
		}
		w.WriteHeader(412)
	})
	config := &platform.Config{Generation: 7}
	order := newOperator(addresses).PutConfig(5, config, config.Encode(), "", 5*time.Second)
	is.Equal(order.Status, 412)
	is.True(order.Unclear && !order.Refused())
	order = newOperator(addresses).PutConfig(5, config, config.Encode(), "", 5*time.Second)
	is.True(order.Refused())
	order = newOperator([]string{"127.0.0.1:1"}).PutConfig(5, config, config.Encode(), "", 300*time.Millisecond)
	is.True(order.Unclear && order.Status == 0)
}

func TestRetiringAMachine(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	calls := 0
	addresses := controlNodes(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		switch {
		case r.URL.Path == platform.PathRetire+"nobody":
			w.WriteHeader(404)
		case r.URL.Path == platform.PathRetire+"few":
			w.WriteHeader(409)
		case r.Method == "GET" && calls > 3:
			_, _ = w.Write([]byte(`{"left":0,"state":"complete"}`))
		default:
			_, _ = w.Write([]byte(`{"state":"active"}`))
		}
	})
	o := newOperator(addresses)
	is.NoErr(o.Retire("storage-1", time.Second, 5*time.Second))
	is.Equal(calls, 4)
	is.True(o.Retire("nobody", time.Second, 5*time.Second) != nil)
	is.True(o.Retire("few", time.Second, 5*time.Second) != nil)
}

func TestTheEntryHandsClientsToReadyNodesOfTheirZone(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	down := map[string]bool{}
	node := func(name, zone string) *platform.EdgeNode {
		address := controlNodes(t, func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if down[name] {
				w.WriteHeader(503)
			}
		})[0]
		return &platform.EdgeNode{Name: name, Zone: zone, Front: name, Readiness: address}
	}
	e := &LoadBalancer{}
	e.Start([]*platform.EdgeNode{node("a1", "a"), node("a2", "a"), node("a3", "a"), node("b1", "b")})
	defer e.Close()
	clock := base.NewRealClock()
	until := func(ready int) {
		for end := clock.Now() + 10*time.Second; e.CountReady() != ready && clock.Now() < end; clock.Sleep(10 * time.Millisecond) {
		}
		is.Equal(e.CountReady(), ready)
	}
	set := func(is bool, names ...string) {
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			down[name] = is
		}
	}
	picked := func(zone string, again bool) map[string]bool {
		names := map[string]bool{}
		for client := range 50 {
			name, _ := e.Pick(zone, fmt.Sprint("c", client), again)
			names[name] = true
		}
		return names
	}
	until(4)
	first, _ := e.Pick("a", "c", false)
	same, _ := e.Pick("a", "c", false)
	is.Equal(first, same) // by a hash of the client
	other, _ := e.Pick("a", "c", true)
	is.True(other != first) // a further try reaches another
	is.Equal(len(picked("a", false)), 3)
	set(true, "a1")
	until(3)
	is.Equal(len(picked("a", true)), 2)
	set(true, "a2")
	until(2)
	is.Equal(len(picked("a", true)), 3) // under half are in: all are used
	set(true, "a3")
	until(1)
	is.Equal(picked("a", true), map[string]bool{"b1": true}) // none is: another zone's
}
