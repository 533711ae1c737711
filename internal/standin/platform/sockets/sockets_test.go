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

// fixedNode picks the same address for every connection.
type fixedNode string

func (n fixedNode) Pick(string, string, bool) (node, address string) { return "w", string(n) }

// harness connects clients directly to a worker over TCP, without a node in between:
// both serve the same protocol.
type harness struct {
	is       *is.I
	clock    base.Clock
	recorder *platform.Recorder
	server   *WorkerServer
	clients  *Clients
	tryCount int
}

var (
	appSpec   = platform.ServiceSpec{Name: "app", Capacity: 2, QueueSize: 2, MaxConns: 8}
	modelSpec = platform.ServiceSpec{Name: "model", Capacity: 8, QueueSize: 8, MaxConns: 20, Engine: &platform.EngineSpec{StepTime: time.Millisecond,
		PromptTokensPerMs: 100, MaxPromptTokensPerStep: 4096, CacheTokens: 1000, TokensPerEvent: 2, EventBytes: 30}}
)

// newHarness starts a worker with the given spec. configure changes the worker,
// configureServer its server, before it starts.
func newHarness(t *testing.T, spec platform.ServiceSpec, configure func(w *platform.Worker), configureServer ...func(s *WorkerServer)) *harness {
	clock := base.NewRealClock()
	h := &harness{is: is.New(t), clock: clock, recorder: platform.NewRecorder(platform.DefaultBounds(), 2, 3)}
	worker := &platform.Worker{ID: "i-1", Service: "svc", Clock: clock, Recorder: h.recorder, Spec: spec, KeepAlive: 5 * time.Second, Rng: rand.New(rand.NewPCG(1, 1)),
		Workload: func(string) (time.Duration, int) { return 2 * time.Millisecond, 100 }}
	if configure != nil {
		configure(worker)
	}
	server, err := ListenWorker(worker, "127.0.0.1:0", func(s *WorkerServer) {
		for _, step := range configureServer {
			step(s)
		}
	})
	h.is.NoErr(err)
	t.Cleanup(server.Close)
	h.server, h.clients = server, &Clients{Clock: clock, NodePicker: fixedNode(worker.Address), KeepAliveTenths: 10}
	return h
}

// send makes an attempt of client "c" and adds it to the record.
func (h *harness) send(kind platform.Kind, target string, header ...[2]string) *platform.Try {
	h.tryCount++
	id := fmt.Sprintf("%016x", h.tryCount)
	t := &platform.Try{ID: id, Kind: kind, Host: "h", Method: "POST", Target: target, Body: []byte("what is asked"), Client: "c", Deadline: 3 * time.Second,
		Aim: 100 * time.Millisecond, Header: append([][2]string{{platform.HeaderID, id}, {platform.HeaderDeadline, "3000"}}, header...)}
	h.recorder.Update(func(r *platform.Record) { r.Tries = append(r.Tries, t) })
	h.clients.Send(t)
	return t
}

// waitForArrival returns the worker's record of an attempt once it matches, for
// which it waits up to 5 seconds.
func (h *harness) waitForArrival(t *platform.Try, matches func(a *platform.Arrival) bool) *platform.Arrival {
	for deadline := h.clock.Now() + 5*time.Second; h.clock.Now() < deadline; h.clock.Sleep(time.Millisecond) {
		for _, a := range h.recorder.Snapshot().Arrivals {
			if a.ID == t.ID && matches(a) {
				return a
			}
		}
	}
	h.is.Fail()
	return nil
}

func TestWorkerAnswersOnOneConnection(t *testing.T) {
	h := newHarness(t, appSpec, nil)
	for index := range 5 {
		try := h.send(platform.NonIdempotent, fmt.Sprintf("/x/%d?a=b", index))
		h.is.True(try.Succeeded())
		h.is.Equal(try.Echo, try.ID)
		a := h.waitForArrival(try, func(a *platform.Arrival) bool { return a.Whole })
		h.is.Equal(a.Answer, try.Answer)
		h.is.Equal(a.Seal, try.Seal)
		h.is.Equal(a.Target, try.Target)
		h.is.Equal(a.Body, base.Digest(try.Body))
	}
	h.is.Equal(h.server.OpenedConns(), 1)
	h.is.Equal(len(h.clients.Close()), 0)
}

func TestRejectedRequestsDoNotRun(t *testing.T) {
	h := newHarness(t, appSpec, nil)
	wrongInstance := h.send(platform.NonIdempotent, "/x", [2]string{platform.HeaderExpectInstance, "i-2"})
	h.is.Equal(wrongInstance.Status, 421)
	rightInstance := h.send(platform.NonIdempotent, "/x", [2]string{platform.HeaderExpectInstance, "i-1"})
	h.is.True(rightInstance.Succeeded())
	withoutID := &platform.Try{ID: "", Kind: platform.Idempotent, Host: "h", Method: "GET", Target: "/x", Client: "c", Deadline: time.Second}
	h.clients.Send(withoutID)
	h.is.Equal(withoutID.Status, 400)
	for _, a := range h.recorder.Snapshot().Arrivals {
		h.is.Equal(a.Ran, a.ID == rightInstance.ID)
	}
}

func TestFullQueueRefusesWithoutRunning(t *testing.T) {
	spec := appSpec
	spec.MaxConns = 100
	h := newHarness(t, spec, func(w *platform.Worker) { w.Workload = func(string) (time.Duration, int) { return time.Second, 10 } })
	var senders sync.WaitGroup
	newTry := func(index int) *platform.Try {
		id := fmt.Sprintf("%016x", index)
		return &platform.Try{ID: id, Kind: platform.NonIdempotent, Host: "h", Method: "POST", Target: "/x", Client: id, Deadline: 20 * time.Second, Header: [][2]string{{platform.HeaderID, id}}}
	}
	served := make([]*platform.Try, 4)
	for index := range served {
		served[index] = newTry(index + 1)
		senders.Add(1)
		go func() {
			defer senders.Done()
			h.clients.Send(served[index])
		}()
	}
	for deadline := h.clock.Now() + 5*time.Second; h.server.Worker.Queued() < 2 && h.clock.Now() < deadline; h.clock.Sleep(time.Millisecond) {
	}
	refused := newTry(5) // two are running, two are queued
	h.clients.Send(refused)
	senders.Wait()
	h.is.True(refused.Status == 503 && refused.Complete)
	for _, try := range served {
		h.is.True(try.Succeeded())
	}
	for _, a := range h.recorder.Snapshot().Arrivals {
		h.is.Equal(a.Ran, a.ID != refused.ID)
	}
	h.clients.Close()
}

func TestConnectionsOverTheLimitAreReset(t *testing.T) {
	spec := appSpec
	spec.MaxConns = 2
	h := newHarness(t, spec, nil)
	var openConns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", h.server.Worker.Address)
		h.is.NoErr(err)
		openConns = append(openConns, conn)
	}
	for deadline := h.clock.Now() + 5*time.Second; h.server.OpenedConns() < 2 && h.clock.Now() < deadline; h.clock.Sleep(time.Millisecond) {
	}
	try := h.send(platform.NonIdempotent, "/x")
	h.is.Equal(try.Status, 0)
	h.is.True(try.Unread)
	for _, conn := range openConns {
		_ = conn.Close()
	}
}

func TestHealthResponse(t *testing.T) {
	h := newHarness(t, appSpec, nil)
	getHealth := func() *http.Response {
		response, err := http.Get("http://" + h.server.Worker.Address + platform.PathHealth)
		h.is.NoErr(err)
		_ = response.Body.Close()
		return response
	}
	healthy := getHealth()
	h.is.Equal(healthy.StatusCode, 200)
	h.is.Equal(healthy.Header.Get(platform.HeaderInstance), "i-1")
	h.is.Equal(healthy.Header.Get(platform.HeaderLoad), "0,0,2")
	h.server.Worker.SetHealthy(false)
	h.is.Equal(getHealth().StatusCode, 503)
	h.server.Worker.LyingHealth = true
	h.is.Equal(getHealth().StatusCode, 200)
	h.server.Worker.Drain()
	leaving := getHealth()
	h.is.Equal(leaving.StatusCode, 503)
	h.is.True(leaving.Close)
}

func TestLeavingWorkerClosesConnectionAfterResponse(t *testing.T) {
	h := newHarness(t, appSpec, nil)
	h.server.Worker.Drain()
	h.is.True(h.send(platform.NonIdempotent, "/x").Succeeded())
	h.is.True(h.send(platform.NonIdempotent, "/x").Succeeded())
	h.is.Equal(h.server.OpenedConns(), 2)
}

func TestAppWorkerFaults(t *testing.T) {
	for _, row := range []struct {
		fault platform.Fault
		check func(h *harness, try *platform.Try)
	}{
		{platform.FaultLostReset, func(h *harness, try *platform.Try) { h.is.Equal(try.Status, 0) }},
		{platform.FaultLostSilent, func(h *harness, try *platform.Try) { h.is.Equal(try.Status, 0); h.is.True(try.GaveUp) }},
		{platform.FaultGarbled, func(h *harness, try *platform.Try) { h.is.True(try.Garbage != "") }},
		{platform.FaultCut, func(h *harness, try *platform.Try) { h.is.Equal(try.Status, 200); h.is.True(!try.Complete) }},
		{platform.FaultError, func(h *harness, try *platform.Try) { h.is.Equal(try.Status, 500); h.is.True(try.Seal != "") }},
		{platform.FaultExtra, func(h *harness, try *platform.Try) { h.is.True(try.Succeeded()) }},
	} {
		t.Run(string(row.fault), func(t *testing.T) {
			h := newHarness(t, appSpec, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return row.fault } })
			try := h.send(platform.NonIdempotent, "/x", [2]string{"X", "y"})
			row.check(h, try)
			h.waitForArrival(try, func(a *platform.Arrival) bool { return a.Ran })
			h.clients.Close()
		})
	}
}

func TestSurplusResponsesAreDetected(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, appSpec, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return platform.FaultExtra } })
	first := h.send(platform.NonIdempotent, "/x")
	for _, conn := range h.clients.idleConns["c"] {
		select {
		case <-conn.peeked: // bytes came while the connection was idle
		case <-time.After(5 * time.Second):
		}
	}
	surplus := h.clients.Close()
	is.True(first.Surplus != "" || len(surplus) == 1) // with the response, or while the connection was idle

	h = newHarness(t, appSpec, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return platform.FaultLateExtra } })
	is.True(h.send(platform.NonIdempotent, "/x").Succeeded())
	second := h.send(platform.NonIdempotent, "/x")
	is.True(second.Echo != "" && second.Echo != second.ID) // it got the response to another request
	for _, conn := range h.clients.idleConns["c"] {
		<-conn.peeked // the response to the second request follows
	}
	is.True(second.Surplus != "" || len(h.clients.Close()) == 1)
	found := false
	for _, breach := range h.recorder.Snapshot().Check() {
		found = found || breach.Rule == "MIXED" && strings.Contains(breach.Detail, "got the answer to")
	}
	is.True(found) // a response to another request is a breach
}

func TestSilentlyDroppedConnectionIsReset(t *testing.T) {
	h := newHarness(t, appSpec, nil, func(s *WorkerServer) { s.SetSilentDropAfter(1) }) // any idle time is too long
	h.is.True(h.send(platform.NonIdempotent, "/x").Succeeded())
	try := h.send(platform.NonIdempotent, "/x")
	h.is.Equal(try.Status, 0)
	h.is.True(try.Unread)
}

// serveOneConn returns clients that connect to a listener whose first connection is
// handled by serve and then closed.
func serveOneConn(t *testing.T, serve func(conn *net.TCPConn)) *Clients {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if conn, err := listener.Accept(); err == nil {
			serve(conn.(*net.TCPConn))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-stopped
	})
	return &Clients{Clock: base.NewRealClock(), NodePicker: fixedNode(listener.Addr().String())}
}

func TestUnreadRequestsAreDetected(t *testing.T) {
	is := is.New(t)
	send := func(kind platform.Kind, serve func(conn *net.TCPConn, done chan struct{})) *platform.Try {
		done := make(chan struct{})
		clients := serveOneConn(t, func(conn *net.TCPConn) { serve(conn, done) })
		try := &platform.Try{ID: "x", Kind: kind, Host: "h", Method: "POST", Target: "/x", Body: []byte("body"), Client: "c", Deadline: 1500 * time.Millisecond}
		clients.Send(try)
		close(done)
		return try
	}
	readRequest := func(conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.ReadAll(request.Body)
		}
	}
	frozen := send(platform.Idempotent, func(_ *net.TCPConn, done chan struct{}) { <-done })
	is.True(frozen.Unread && frozen.GaveUp)
	is.True(frozen.Ended-frozen.Sent < time.Second) // a third of its deadline
	slow := send(platform.Idempotent, func(conn *net.TCPConn, done chan struct{}) { readRequest(conn); <-done })
	is.True(!slow.Unread && slow.GaveUp)
	closedAfterRead := send(platform.NonIdempotent, func(conn *net.TCPConn, _ chan struct{}) { readRequest(conn) })
	is.True(!closedAfterRead.Unread && closedAfterRead.Status == 0)
	closedAfterPart := send(platform.NonIdempotent, func(conn *net.TCPConn, _ chan struct{}) { _, _ = conn.Read(make([]byte, 3)) })
	is.True(closedAfterPart.Unread)
	for range 20 {
		closedAtOnce := send(platform.NonIdempotent, func(*net.TCPConn, chan struct{}) {})
		is.True(closedAtOnce.Unread) // whether the bytes came before or after the close
	}
}

// modelHeader returns the header fields of a model request.
func modelHeader(promptTokens, maxTokens int) [][2]string {
	return [][2]string{{platform.HeaderModel, "m"}, {platform.HeaderTokens, fmt.Sprintf("%d,%d", promptTokens, maxTokens)}, {platform.HeaderPrompt, fmt.Sprintf("aa:%d", promptTokens)}}
}

func TestModelWorkerStreamsEvents(t *testing.T) {
	h := newHarness(t, modelSpec, nil)
	try := h.send(platform.Streaming, "/x", modelHeader(100, 9)...)
	h.is.True(try.Succeeded())
	a := h.waitForArrival(try, func(a *platform.Arrival) bool { return a.Whole })
	h.is.Equal(len(try.Events), 5) // nine tokens, two per event
	for index, event := range try.Events {
		h.is.Equal(event.ID, int64(index+1))
		h.is.Equal(event.Data, a.Events[index].Data)
		h.is.True(event.At >= a.Events[index].At)
	}
	large := h.send(platform.Streaming, "/x", modelHeader(2000, 9)...)
	h.is.Equal(large.Status, 503) // the prompt doesn't fit the cache
	response, err := http.Get("http://" + h.server.Worker.Address + platform.PathReport)
	h.is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	h.is.NoErr(err)
	_ = response.Body.Close()
	tree, err := platform.ParseJSON(body)
	h.is.NoErr(err)
	h.is.Equal(tree.(map[string]any)["cache_total"], 1000.0)
	h.clients.Close()
	for _, breach := range h.recorder.Snapshot().Check() {
		h.is.Equal(breach.Rule, "ROUTE") // this test has no configuration
	}
}

func TestModelWorkerStopsWhenClientDisconnects(t *testing.T) {
	h := newHarness(t, modelSpec, nil)
	conn, err := net.Dial("tcp", h.server.Worker.Address)
	h.is.NoErr(err)
	_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\n%s: left\r\n%s: 10,900\r\nContent-Length: 0\r\n\r\n", platform.HeaderID, platform.HeaderTokens)
	line, err := bufio.NewReader(conn).ReadString('\n')
	h.is.NoErr(err)
	h.is.Equal(line, "HTTP/1.1 200 OK\r\n")
	_ = conn.Close()
	a := h.waitForArrival(&platform.Try{ID: "left"}, func(a *platform.Arrival) bool { return a.Left })
	h.is.True(a.Ran && !a.Whole && len(a.Events) < 450)
}

func TestModelWorkerFaults(t *testing.T) {
	for _, fault := range []platform.Fault{platform.FaultLostReset, platform.FaultCut, platform.FaultGarbled} {
		t.Run(string(fault), func(t *testing.T) {
			h := newHarness(t, modelSpec, func(w *platform.Worker) { w.NextFault = func() platform.Fault { return fault } })
			try := h.send(platform.Streaming, "/x", modelHeader(10, 20)...)
			h.is.True(!try.Succeeded())
			a := h.waitForArrival(try, func(a *platform.Arrival) bool { return a.Broke })
			h.is.True(a.Ran && !a.Whole)
			h.is.True(len(try.Events) <= len(a.Events))
		})
	}
}

func TestInstanceListIsServed(t *testing.T) {
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
	instance := tree.(map[string]any)["instances"].([]any)[0].(map[string]any)
	for name, value := range map[string]any{"id": "i-1", "backend": "svc", "address": "127.0.0.1:1", "zone": "z", "state": "ready", "capacity": 6.0, "phase": "both"} {
		is.Equal(instance[name], value)
	}
}

// startControlNodes starts one control API server per handler and returns their
// addresses.
func startControlNodes(t *testing.T, handlers ...http.HandlerFunc) (addresses []string) {
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses
}

// newOperator returns an operator that calls the given control addresses.
func newOperator(addresses []string) *platform.Operator {
	return &platform.Operator{Call: CallControl, Name: "op", Clock: base.NewRealClock(), Recorder: platform.NewRecorder(platform.DefaultBounds(), 2, 3),
		Control: func() []string { return addresses }, Rng: rand.New(rand.NewPCG(1, 1))}
}

func TestOperatorRetriesAndFollowsTwoRedirects(t *testing.T) {
	is := is.New(t)
	var leader, redirector string
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
	addresses := startControlNodes(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if count("leader") == 1 {
			w.WriteHeader(503)
			return
		}
		if r.Method != "PUT" || r.URL.Path != platform.PathConfig || r.Header.Get(platform.HeaderIfMatch) != "5" || !strings.Contains(string(body), "generation") {
			w.WriteHeader(400)
		}
	}, redirect("hop", &leader), redirect("first", &redirector))
	leader, redirector = addresses[0], addresses[1]
	operator := newOperator(addresses[2:])
	config := &platform.Config{Generation: 7}
	order := operator.PutConfig(5, config, config.Encode(), "", 5*time.Second)
	is.Equal(order.Status, 200)
	is.True(!order.Unclear) // a 503 guarantees that it was not accepted
	is.Equal(calls["leader"], 2)
	is.Equal(calls["hop"], 2)
	is.Equal(len(operator.Recorder.Snapshot().Orders), 1)
}

func TestOperatorRecordsUnclearOutcome(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	calls := 0
	addresses := startControlNodes(t, func(w http.ResponseWriter, _ *http.Request) {
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

func TestRetireStorageMachine(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	calls := 0
	addresses := startControlNodes(t, func(w http.ResponseWriter, r *http.Request) {
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
	operator := newOperator(addresses)
	is.NoErr(operator.Retire("storage-1", time.Second, 5*time.Second))
	is.Equal(calls, 4)
	is.True(operator.Retire("nobody", time.Second, 5*time.Second) != nil)
	is.True(operator.Retire("few", time.Second, 5*time.Second) != nil)
}

func TestLoadBalancerPicksReadyNodesOfTheZone(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	down := map[string]bool{}
	node := func(name, zone string) *platform.EdgeNode {
		address := startControlNodes(t, func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if down[name] {
				w.WriteHeader(503)
			}
		})[0]
		return &platform.EdgeNode{Name: name, Zone: zone, Front: name, Readiness: address}
	}
	balancer := &LoadBalancer{}
	balancer.Start([]*platform.EdgeNode{node("a1", "a"), node("a2", "a"), node("a3", "a"), node("b1", "b")})
	defer balancer.Close()
	clock := base.NewRealClock()
	waitForReady := func(ready int) {
		for deadline := clock.Now() + 10*time.Second; balancer.CountReady() != ready && clock.Now() < deadline; clock.Sleep(10 * time.Millisecond) {
		}
		is.Equal(balancer.CountReady(), ready)
	}
	setDown := func(is bool, names ...string) {
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			down[name] = is
		}
	}
	pickAll := func(zone string, retry bool) map[string]bool {
		names := map[string]bool{}
		for client := range 50 {
			name, _ := balancer.Pick(zone, fmt.Sprint("c", client), retry)
			names[name] = true
		}
		return names
	}
	waitForReady(4)
	first, _ := balancer.Pick("a", "c", false)
	same, _ := balancer.Pick("a", "c", false)
	is.Equal(first, same) // chosen by a hash of the client
	other, _ := balancer.Pick("a", "c", true)
	is.True(other != first) // a retry goes to another node
	is.Equal(len(pickAll("a", false)), 3)
	setDown(true, "a1")
	waitForReady(3)
	is.Equal(len(pickAll("a", true)), 2)
	setDown(true, "a2")
	waitForReady(2)
	is.Equal(len(pickAll("a", true)), 3) // less than half are ready: all are used
	setDown(true, "a3")
	waitForReady(1)
	is.Equal(pickAll("a", true), map[string]bool{"b1": true}) // none in the zone is ready: a node of another zone is used
}
