package clientconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/route"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// offsetClock is the real clock plus an offset that the test increases.
type offsetClock struct {
	base.Clock
	offset atomic.Int64
}

func (c *offsetClock) Now() time.Duration { return c.Clock.Now() + time.Duration(c.offset.Load()) }

// testServer is an HTTP server on a local port with a tracker attached.
type testServer struct {
	*is.I
	clock       *offsetClock
	tracker     *Tracker
	limits      atomic.Pointer[route.Limits]
	addr        string
	states      chan fasthttp.ConnState
	handlerSync chan struct{} // a request to /held sends to it and then waits for a value
}

func newTestServer(t *testing.T, limits route.Limits) *testServer {
	return newConfiguredServer(t, limits, func(*testServer) {})
}

// newConfiguredServer is newTestServer with a function that changes the tracker before the
// server starts.
func newConfiguredServer(t *testing.T, limits route.Limits, configure func(s *testServer)) *testServer {
	s := &testServer{I: is.New(t), clock: &offsetClock{Clock: base.NewRealClock()}, states: make(chan fasthttp.ConnState, 1000), handlerSync: make(chan struct{})}
	s.limits.Store(&limits)
	s.tracker = NewTracker(s.clock, base.NewCounters(), func() route.Limits { return *s.limits.Load() })
	server := &fasthttp.Server{ReduceMemoryUsage: true, Handler: func(r *fasthttp.RequestCtx) {
		if string(r.Path()) == "/held" {
			s.handlerSync <- struct{}{}
			<-s.handlerSync
		}
		fmt.Fprintf(r, "%d", len(r.Request.Body()))
	}}
	configure(s)
	s.tracker.Attach(server)
	trackState := server.ConnState
	server.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		trackState(c, state)
		s.states <- state
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = server.Serve(s.tracker.Listen(listener)) }()
	s.addr = listener.Addr().String()
	return s
}

// dial connects to the server and waits until the server has accepted the connection.
func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.addr)
	s.NoErr(err)
	s.waitForState(fasthttp.StateNew)
	return c, bufio.NewReader(c)
}

// waitForState waits until the server has reported a state.
func (s *testServer) waitForState(state fasthttp.ConnState) {
	for got := range s.states {
		if got == state {
			return
		}
	}
}

// post sends a request with a body of this size and returns the status.
func (s *testServer) post(c net.Conn, reader *bufio.Reader, bodySize int) int {
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodySize, strings.Repeat("x", bodySize))
	s.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	s.NoErr(err)
	_, err = io.ReadAll(response.Body)
	s.NoErr(err)
	return response.StatusCode
}

// advance moves the clock forward and closes expired connections.
func (s *testServer) advance(elapsed time.Duration) {
	s.clock.offset.Add(int64(elapsed))
	s.tracker.CloseExpired()
}

// A connection that was idle for four fifths of the timeout in force is served, also if
// the timeout was increased since it was opened. After the full timeout it is closed.
func TestIdleConnectionWithinTimeoutIsServed(t *testing.T) {
	for _, idleTimeout := range []time.Duration{5 * time.Second, 15 * time.Second, 2 * time.Minute} {
		s := newTestServer(t, route.Limits{IdleTimeout: time.Second})
		s.limits.Store(&route.Limits{IdleTimeout: idleTimeout})
		c, reader := s.dial()
		defer c.Close()
		s.advance(idleTimeout * 4 / 5)
		for range 3 {
			s.Equal(s.post(c, reader, 1), 200)
			s.waitForState(fasthttp.StateIdle)
			s.advance(idleTimeout * 4 / 5)
		}
		s.advance(idleTimeout / 4)
		_, err := reader.ReadByte()
		s.Equal(err, io.EOF)
	}
}

// A connection is not closed while a request is being served, however long that takes.
func TestConnectionWithRequestInProgressIsKept(t *testing.T) {
	s := newTestServer(t, route.Limits{IdleTimeout: time.Second, HeaderReadTimeout: time.Second})
	c, reader := s.dial()
	defer c.Close()
	_, err := io.WriteString(c, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	s.NoErr(err)
	<-s.handlerSync
	s.advance(time.Hour)
	s.handlerSync <- struct{}{}
	response, err := http.ReadResponse(reader, nil)
	s.NoErr(err)
	s.Equal(response.StatusCode, 200)
}

// A connection is closed if a request does not arrive completely in time.
func TestSlowRequestIsTimedOut(t *testing.T) {
	s := newTestServer(t, route.Limits{IdleTimeout: 10 * time.Second, HeaderReadTimeout: 3 * time.Second})
	c, reader := s.dial()
	defer c.Close()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
	s.NoErr(err)
	s.waitForState(fasthttp.StateActive)
	s.advance(12 * time.Second)
	s.tracker.mu.Lock()
	s.Equal(len(s.tracker.conns), 1)
	s.tracker.mu.Unlock()
	s.advance(2 * time.Second)
	_, err = reader.ReadByte()
	// If the server closes the connection with unread bytes, the client sees a reset.
	s.True(err == io.EOF || errors.Is(err, syscall.ECONNRESET))
}

// The maximum size of a body is that of the limits in force.
func TestBodyLimitFollowsConfiguration(t *testing.T) {
	s := newTestServer(t, route.Limits{MaxBodyBytes: 1000})
	c, reader := s.dial()
	defer c.Close()
	s.Equal(s.post(c, reader, 1000), 200)
	s.limits.Store(&route.Limits{MaxBodyBytes: 12 << 20})
	s.Equal(s.post(c, reader, 12<<20), 200)
	s.limits.Store(&route.Limits{MaxBodyBytes: 1000})
	s.Equal(s.post(c, reader, 1001), 413)
}

// No event but a response makes a connection idle.
func TestOnlyResponseLeadsToIdle(t *testing.T) {
	is := is.New(t)
	for from := stateOpened; from <= stateClosed; from++ {
		for e := eventFirstByte; e <= eventClosed; e++ {
			if to := from.next(e); to == stateIdle && from != stateIdle {
				is.Equal(e, eventResponded)
			}
		}
	}
	is.Equal(stateServing.next(eventFirstByte), stateServing)
	is.Equal(stateClosed.next(eventFirstByte), stateClosed)
}

// stoppedClock is a clock whose time moves only when the test says so.
type stoppedClock struct {
	base.Clock
	now atomic.Int64
}

func (c *stoppedClock) Now() time.Duration { return time.Duration(c.now.Load()) }

// newLimitedServer returns a test server whose bodies count to a budget, and the budget's clock.
func newLimitedServer(t *testing.T, machineBytes int64, maxConns int) (*testServer, *memory.Budget, *stoppedClock) {
	clock := &stoppedClock{Clock: base.NewRealClock()}
	clock.now.Store(int64(time.Hour))
	s := newConfiguredServer(t, route.Limits{MaxBodyBytes: 8 << 20}, func(s *testServer) {
		s.tracker.Memory = memory.NewBudget(clock, base.NewCounters(), machineBytes)
		s.tracker.MaxConns = maxConns
	})
	return s, s.tracker.Memory, clock
}

// sendPart sends the head of a request and a part of its body.
func (s *testServer) sendPart(c net.Conn, announced, sent int) {
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", announced)
	s.NoErr(err)
	_, err = c.Write(make([]byte, sent))
	s.NoErr(err)
}

// waitForUse waits until the budget is in use to some extent.
func waitForUse(budget *memory.Budget, bytes int64) {
	for budget.Used() < bytes {
		runtime.Gosched()
	}
}

// A body for which there is no memory is refused as not run, with when to come back, and a
// small one is served meanwhile. Once the others have stalled they are dropped for it.
func TestBodiesShareTheMemory(t *testing.T) {
	s, budget, clock := newLimitedServer(t, 40<<20, 0)
	const body = 7 << 19 // more than a buffer of 1 MiB and its successor take together
	stalled, stalledReader := s.dial()
	defer stalled.Close()
	s.sendPart(stalled, body, body-1)
	waitForUse(budget, body)
	refused, reader := s.dial()
	defer refused.Close()
	s.sendPart(refused, body, body-1)
	response, err := http.ReadResponse(reader, nil)
	s.NoErr(err)
	s.Equal(response.StatusCode, 503)
	s.Equal(response.Header.Get("Retry-After"), "1")
	small, smallReader := s.dial()
	defer small.Close()
	s.Equal(s.post(small, smallReader, 1000), 200)
	status := 0
	for tries := 0; status != 200 && tries < 10; tries++ { // the last bytes may still be on their way
		clock.now.Add(int64(2 * time.Second))
		late, lateReader := s.dial()
		defer late.Close()
		status = s.post(late, lateReader, body)
	}
	s.Equal(status, 200)
	_, err = stalledReader.ReadByte()
	s.True(err != nil)
}

// Of too many connections, the one that has waited longest for its client is closed.
func TestTooManyConnectionsDisplaceTheOldest(t *testing.T) {
	s, _, _ := newLimitedServer(t, 0, 3)
	var conns []net.Conn
	var readers []*bufio.Reader
	for range 4 {
		c, reader := s.dial()
		defer c.Close()
		conns, readers = append(conns, c), append(readers, reader)
	}
	_, err := readers[0].ReadByte()
	s.True(err != nil)
	for index := 1; index < 4; index++ {
		s.Equal(s.post(conns[index], readers[index], 10), 200)
	}
}

// The buffer of a connection counts once it was used, gives way while the client is idle, and is
// given back when the connection is closed.
func TestBuffersOfConnectionsAreCounted(t *testing.T) {
	s, budget, clock := newLimitedServer(t, 40<<20, 0)
	c, reader := s.dial()
	defer c.Close()
	s.Equal(s.post(c, reader, 100), 200)
	s.waitForState(fasthttp.StateIdle)
	s.Equal(budget.Used(), int64(0))
	s.Equal(s.post(c, reader, 100<<10), 200)
	s.waitForState(fasthttp.StateIdle)
	s.Equal(budget.Used(), int64(memory.SmallBytes))
	clock.now.Add(int64(2 * time.Second))
	for lease := budget.NewLease(); lease.Grow(memory.SmallBytes) == nil; lease = budget.NewLease() {
	}
	_, err := reader.ReadByte()
	s.Equal(err, io.EOF)
}

// A connection whose client does not read its answer is closed after the idle timeout.
func TestAnswerThatIsNotReadIsTimedOut(t *testing.T) {
	s := newTestServer(t, route.Limits{IdleTimeout: 10 * time.Second, MaxBodyBytes: 1 << 10})
	c, _ := s.dial()
	defer c.Close()
	go func() {
		for range s.states { // which the server would wait for otherwise
		}
	}()
	requests := strings.Repeat("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 1000)
	go func() {
		for {
			if _, err := io.WriteString(c, requests); err != nil {
				return
			}
		}
	}()
	// The server is blocked once nothing more was written for a while.
	blocked := func() bool {
		s.tracker.mu.Lock()
		defer s.tracker.mu.Unlock()
		for tracked := range s.tracker.conns {
			return tracked.(*conn).blockedFor(s.clock.Now()) > 100*time.Millisecond
		}
		return false
	}
	for !blocked() {
		runtime.Gosched()
	}
	for open := 1; open > 0; {
		s.advance(11 * time.Second)
		s.tracker.mu.Lock()
		open = len(s.tracker.conns)
		s.tracker.mu.Unlock()
	}
}
