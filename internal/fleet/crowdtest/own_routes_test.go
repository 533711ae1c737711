package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/fleet"
	"fordseam/internal/fleet/fleettest"
	"fordseam/internal/standin"
	"fordseam/internal/standin/platform"
	"fordseam/internal/worker"
)

const (
	// ownCallers is how many callers of the product's own routes call workers that answer without
	// end, half of them models and half of them tools.
	ownCallers = 16
	// ownTurnTimeout bounds a turn of an ordinary caller with its retries.
	ownTurnTimeout = 6 * time.Second
)

// endlessServer is a worker of the product's own routes that answers each request without end.
type endlessServer struct {
	listener net.Listener
	fault    atomic.Pointer[endlessAnswer]
	mostMu   sync.Mutex
	most     int64 // bytes that a connection took of one answer
}

type endlessAnswer struct {
	form   platform.EndlessForm
	status int
}

// startEndlessServer starts a worker on a loopback address.
func startEndlessServer(t *testing.T) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve answers the first request of a connection without end.
func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	startedAt, fault := time.Now(), s.fault.Load()
	taken := fault.form.Write(fault.status, [][2]string{{"Content-Type", "text/event-stream"}}, func() time.Duration { return time.Since(startedAt) }, func(block []byte) error {
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, err := conn.Write(block)
		return err
	})
	s.mostMu.Lock()
	s.most = max(s.most, taken)
	s.mostMu.Unlock()
}

// takeMost returns the most bytes that were taken of an answer since the last call.
func (s *endlessServer) takeMost() int64 {
	s.mostMu.Lock()
	defer s.mostMu.Unlock()
	most := s.most
	s.most = 0
	return most
}

// ownFleet is a fleet of the product's own interface, one of whose models and tools answers without end.
type ownFleet struct {
	*fleet.Fleet
	endless *endlessServer
	send    standin.RequestFunc
	// ordinary lists the workers that answer well.
	ordinary worker.List
}

// startOwnFleet starts the fleet, whose processes have memoryMB each.
func startOwnFleet(t *testing.T) *ownFleet {
	t.Helper()
	programs, err := fleettest.BuildPlainDaemons()
	if err != nil {
		t.Fatal(err)
	}
	started, err := fleet.New(fleet.Shapes["small"], fleettest.TempDir(t, "/dev/shm"), programs, rand.IntN(50000))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	started.MemoryLimitBytes = memoryMB * 1e6
	workers, err := started.StartWorkers(5, 2*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(workers.Stop)
	f := &ownFleet{started, startEndlessServer(t), started.RequestSender(), workers.List}
	if err := started.SetUp(workers, setUpTimeout); err != nil {
		t.Fatal(err)
	}
	return f
}

// setEndless lists a model and a tool that answer without end beside the ordinary workers. They are
// new to the gateways, which choose workers less that have failed them.
func (f *ownFleet) setEndless(t *testing.T, form platform.EndlessForm, status int) {
	t.Helper()
	f.endless.fault.Store(&endlessAnswer{form, status})
	f.ordinary.Stamp++
	list := worker.List{Stamp: f.ordinary.Stamp, Workers: slices.Clone(f.ordinary.Workers)}
	for _, pool := range []string{"models", "apps"} {
		list.Workers = append(list.Workers, worker.Worker{ID: fmt.Sprintf("endless-%s-%d", pool, list.Stamp), Pool: pool, Addr: f.endless.listener.Addr().String(), Zone: f.Shape.Zones[0], Capacity: 16})
	}
	if err := fleet.CallJSON("PUT", f.Gateways[0].PublicAddr, "/v1/platform/workers", list, nil); err != nil {
		t.Fatal(err)
	}
}

// newCaller returns a caller at a gateway.
func (f *ownFleet) newCaller(gateway int, timeout time.Duration) *standin.Caller {
	return &standin.Caller{Name: newID(), Clock: base.NewRealClock(), Send: f.send, Gateways: len(f.Gateways), Gateway: gateway, Group: f.Shape.Group, Site: "main",
		PiecesPerTurn: 5, TurnTimeout: timeout, Tally: standin.NewTally(), ToolRoute: "lookup"}
}

// callEndless has callers take turns and call tools for endlessTime. The tool calls have no key: a
// second call with the same key waits for the first one's end.
func (f *ownFleet) callEndless() {
	var group sync.WaitGroup
	end := time.Now().Add(endlessTime)
	for index := range ownCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			caller := f.newCaller(index, endlessTime)
			caller.KeylessTools = true
			if !caller.Start(1_000_000) {
				return
			}
			for turn := 1; time.Now().Before(end); turn++ {
				if index%2 == 0 {
					caller.RunTurn(turn)
				} else {
					caller.CallTool(turn)
				}
			}
		}()
	}
	group.Wait()
}

// check fails the test unless each gateway serves an ordinary conversation with a tool call, all
// processes live, and their memory and what was taken of an answer stay within the bounds.
func (f *ownFleet) check(t *testing.T) {
	t.Helper()
	for index, gateway := range f.Gateways {
		f.checkConversation(t, gateway.Name, index)
	}
	for _, process := range f.All() {
		pid, running := process.PID()
		if !running {
			t.Errorf("%s: ended by itself", process.Name)
			continue
		}
		peak, err := peakMemory(pid)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: peak of %d MB", process.Name, peak/1e6)
		if peak > memoryMB*1e6 {
			t.Errorf("%s: used %d MB, its machine has %d MB", process.Name, peak/1e6, memoryMB)
		}
		if err := resetPeakMemory(pid); err != nil {
			t.Fatal(err)
		}
	}
	switch most := f.endless.takeMost(); {
	case most == 0:
		t.Error("no worker answered without end")
	case most > endlessAnswerBytes:
		t.Errorf("%d MB were taken of one answer, more than %d", most>>20, endlessAnswerBytes>>20)
	}
}

// checkConversation fails the test unless a gateway answers a turn and a tool call. Its caller
// starts turns again, since a worker is faulty; a tool call without a key is repeated by
// the gateway, and a call with one is answered unless it met the faulty tool.
func (f *ownFleet) checkConversation(t *testing.T, name string, gateway int) {
	t.Helper()
	turned := false
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline) && !turned; {
		caller := f.newCaller(gateway, ownTurnTimeout)
		turned = caller.Start(10_000) && caller.RunTurn(1)
	}
	if !turned {
		t.Errorf("%s: no ordinary turn was answered in %v", name, answerTimeout)
	}
	for _, keyless := range []bool{true, false} {
		if !f.callTools(gateway, keyless) {
			t.Errorf("%s: no ordinary tool call was answered, without a key: %t", name, keyless)
		}
	}
}

// callTools makes ordinary tool calls, each by a caller of its own, and reports whether one was
// answered, as soon as it was. A call that met the faulty tool is told so after its route's time.
func (f *ownFleet) callTools(gateway int, keyless bool) bool {
	calls := 4
	if keyless {
		calls = 1
	}
	answered := make(chan bool, calls)
	for range calls {
		caller := f.newCaller(gateway, ownTurnTimeout)
		caller.KeylessTools = keyless
		go func() {
			if caller.Start(10_000) {
				caller.CallTool(1)
			}
			answered <- caller.Tally.Counts["tools_done"] > 0
		}()
	}
	for range calls {
		if <-answered {
			return true
		}
	}
	return false
}

// TestEndlessAnswersOnOwnRoutes guards against gateways that keep, or read without end, what a
// faulty model or tool of the product's own routes sends.
func TestEndlessAnswersOnOwnRoutes(t *testing.T) {
	f := startOwnFleet(t)
	for _, status := range []int{200, 500} {
		for _, form := range platform.EndlessForms {
			t.Run(fmt.Sprintf("%s_behind_%d", form, status), func(t *testing.T) {
				f.setEndless(t, form, status)
				f.callEndless()
				f.check(t)
			})
		}
	}
}
