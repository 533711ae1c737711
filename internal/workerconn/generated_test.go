package workerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"

	"pgregory.net/rapid"
)

// behaviour is what checkingWorker does with one request.
type behaviour int

const (
	answersWithLength behaviour = iota
	answersInChunks
	answersAndWillClose
	answersAndCloses
	answersAndResets
	answersWithSurplus
	answersForeignFirst
	answersForeignOnly
	answersTruncated
	answersTruncatedChunks
	answersWithoutLength
	answersGarbage
	streamsUntilClosed
	resetsUnread
	readsAndResets
	readsAndCloses
	readsAndHangs
	behaviourCount
)

// endsConnection reports whether the connection must not be reused afterwards.
func (b behaviour) endsConnection() bool { return b != answersWithLength && b != answersInChunks }

// shortTimeout is the timeout of reads that are expected to get nothing.
const shortTimeout = 5 * time.Millisecond

const (
	behaviourHeader   = "Behaviour"
	incarnationHeader = "Life"
	idHeader          = "Request-Id"
)

// checkingWorker behaves as each request asks it to, and records every request
// that arrives on a connection that should not have been used for it.
type checkingWorker struct {
	listener net.Listener

	mu         sync.Mutex
	received   map[string]int
	violations []string
}

func newCheckingWorker(t testing.TB) *checkingWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &checkingWorker{listener: listener, received: map[string]int{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(accepted.(*net.TCPConn))
		}
	}()
	return w
}

// serve handles the requests of one connection, one after another.
func (w *checkingWorker) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	incarnation := ""
	unusable := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(idHeader)
		behaviourCode, _ := strconv.Atoi(request.Header.Get(behaviourHeader))
		planned := behaviour(behaviourCode)
		w.mu.Lock()
		w.received[id]++
		switch requestIncarnation := request.Header.Get(incarnationHeader); {
		case unusable:
			w.violations = append(w.violations, id+" came on a connection that should have been closed")
		case incarnation != "" && incarnation != requestIncarnation:
			w.violations = append(w.violations, id+" came on a connection to another incarnation")
		default:
			incarnation = requestIncarnation
		}
		w.mu.Unlock()
		unusable = planned.endsConnection()
		if planned == resetsUnread {
			_ = c.SetLinger(0)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !w.answer(c, planned, id) {
			return
		}
	}
}

// answer reports whether the worker reads another request afterwards.
func (w *checkingWorker) answer(c *net.TCPConn, planned behaviour, id string) bool {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\n"
	full := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(id), id)
	chunks := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(id), id)
	foreign := "HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\nContent-Length: 7\r\n\r\nanother"
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch planned {
	case answersWithLength:
		return write(full)
	case answersInChunks:
		return write(chunks + "0\r\n\r\n")
	case answersAndWillClose:
		return write(head + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
	case answersAndCloses:
		write(full)
	case answersAndResets:
		write(full)
		_ = c.SetLinger(0)
	case answersWithSurplus:
		return write(full + foreign)
	case answersForeignFirst:
		return write(foreign + full)
	case answersForeignOnly:
		return write(foreign + foreign + foreign)
	case answersTruncated:
		write(full[:len(full)-1])
	case answersTruncatedChunks:
		write(chunks)
	case answersWithoutLength:
		write(head + "\r\n" + id)
	case answersGarbage:
		return write("\x16\x03 this is no answer\r\n\r\n")
	case streamsUntilClosed:
		write(chunks)
		_, _ = c.Read(make([]byte, 1)) // the client's end
	case readsAndResets:
		_ = c.SetLinger(0)
	case readsAndHangs:
		_, _ = c.Read(make([]byte, 1)) // the client's end
	}
	return false
}

// plan is the behaviours that concurrent lanes of requests ask for; the requests of
// a lane follow one another.
type plan struct {
	lanes       [][]behaviour
	largeBodies bool // bodies too long to be sent in one write
}

var genPlan = rapid.Custom(func(t *rapid.T) plan {
	behaviourGen := rapid.Custom(func(t *rapid.T) behaviour {
		// Connections are only reused after complete responses, so half are.
		if rapid.Bool().Draw(t, "whole") {
			return answersWithLength
		}
		return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
	})
	lanes := rapid.SliceOfN(rapid.SliceOfN(behaviourGen, 2, 8), 1, 3).Draw(t, "lanes")
	return plan{lanes: lanes, largeBodies: rapid.IntRange(0, 9).Draw(t, "long") == 0}
})

var planRuns atomic.Int64

// runPlan carries out a plan and describes the first problem found, if any.
func runPlan(worker *checkingWorker, client *Client, plan plan) string {
	run := planRuns.Add(1)
	problems := make(chan string, 100)
	var group sync.WaitGroup
	for lane, steps := range plan.lanes {
		group.Go(func() {
			for step, planned := range steps {
				incarnation := fmt.Sprintf("w%d", (lane+step/3)%2)
				if step%5 == 4 {
					client.DropIdle(incarnation)
				}
				id := fmt.Sprintf("%d-%d-%d", run, lane, step)
				if problem := checkedCall(worker, client, id, incarnation, planned, plan.largeBodies); problem != "" {
					problems <- problem
				}
			}
		})
	}
	group.Wait()
	close(problems)
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if len(worker.violations) > 0 {
		return worker.violations[0]
	}
	return <-problems
}

// checkedCall sends one request and compares the result with what the worker
// received.
func checkedCall(worker *checkingWorker, client *Client, id, incarnation string, planned behaviour, largeBody bool) string {
	timeout := 20 * time.Second
	if planned == readsAndHangs {
		timeout = shortTimeout
	}
	body, err := callWorker(worker, client, id, incarnation, planned, largeBody, timeout)
	worker.mu.Lock()
	received := worker.received[id]
	worker.mu.Unlock()
	switch {
	case received > 1:
		return fmt.Sprintf("%s (%d) was received %d times", id, planned, received)
	case err == nil && body != id:
		return fmt.Sprintf("%s (%d) got %q", id, planned, body)
	case err == nil && received == 0:
		return fmt.Sprintf("%s (%d) was answered but never received", id, planned)
	case base.WasNotSent(err) && received > 0:
		return fmt.Sprintf("%s (%d) was received, but reported as not sent", id, planned)
	}
	return ""
}

// callWorker sends a request that asks for a behaviour and returns the body read.
func callWorker(worker *checkingWorker, client *Client, id, incarnation string, planned behaviour, largeBody bool, timeout time.Duration) (string, error) {
	request := &base.BackendRequest{Method: http.MethodPost, Path: "/x", Incarnation: incarnation, Body: []byte("ask"),
		HeaderLines:  []base.HeaderLine{{Name: idHeader, Value: id}, {Name: incarnationHeader, Value: incarnation}, {Name: behaviourHeader, Value: strconv.Itoa(int(planned))}},
		EchoedHeader: base.HeaderLine{Name: idHeader, Value: id}}
	if largeBody {
		request.Body = make([]byte, 2*maxInlineBody)
	}
	reply, err := client.Call(base.NewCtx(base.NewRealClock(), timeout), worker.listener.Addr().String(), request)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	if planned == streamsUntilClosed {
		_, err := reply.ReadLine(shortTimeout)
		return id, err // read no further
	}
	body, err := reply.ReadBody(timeout, 1000)
	return string(body), err
}

// Whatever the worker does, whichever side gives up, and however many requests
// share its connections: a request is sent at most once, one reported as not sent
// never was, a response is complete and belongs to its request, and a connection
// that is unusable or belongs to another incarnation carries no further request.
func TestRequestsAreSentAtMostOnce(t *testing.T) {
	worker := newCheckingWorker(t)
	client := New(5*time.Second, base.NewCounters())
	rapid.Check(t, func(t *rapid.T) {
		if problem := runPlan(worker, client, genPlan.Draw(t, "plan")); problem != "" {
			t.Fatal(problem)
		}
	})
}

// misreportingConn reports of its second write that nothing was sent, although it
// was.
type misreportingConn struct {
	*net.TCPConn
	writes atomic.Int32
}

func (c *misreportingConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	if c.writes.Add(1) == 2 {
		return 0, syscall.EPIPE
	}
	return n, err
}

// Without any one of the safeguards, the same plans find a problem. This shows that
// they do exercise it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, tt := range []struct {
		name    string
		disable func(p *pool)
	}{
		{"closing unusable connections", func(p *pool) { p.classifyEnd = func(replyEnd) event { return eventComplete } }},
		{"checking the id of a response", func(p *pool) { p.matches = func(*base.BackendRequest, string) bool { return true } }},
		{"no second attempt once a byte may have been sent", func(p *pool) {
			dial := p.dialContext
			p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				dialed, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &misreportingConn{TCPConn: dialed.(*net.TCPConn)}, nil
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			worker := newCheckingWorker(t)
			client := New(5*time.Second, base.NewCounters())
			tt.disable(client.pool)
			for seed := range 300 {
				if problem := runPlan(worker, client, genPlan.Example(seed)); problem != "" {
					t.Logf("plan %d: %s", seed, problem)
					return
				}
			}
			t.Fatal("no problem was found without the safeguard")
		})
	}
}

// Every illegal transition closes the connection.
func TestIllegalTransitionsClose(t *testing.T) {
	for from := stateReady; from <= stateClosed; from++ {
		for e := eventCheckedIdle; e <= eventUnusable; e++ {
			to := from.next(e)
			transition, known := transitions[e]
			legal := known && transition.from == from
			if legal != (to != stateClosed) {
				t.Errorf("%s on event %d gives %s", from, e, to)
			}
		}
	}
}
