package clientconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/route"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// movedClock is the machine's clock, moved on by the test.
type movedClock struct {
	base.Clock
	ahead atomic.Int64
}

func (m *movedClock) Now() time.Duration { return m.Clock.Now() + time.Duration(m.ahead.Load()) }

type bench struct {
	*is.I
	clock  *movedClock
	table  *Tracker
	limits atomic.Pointer[route.Limits]
	addr   string
	states chan fasthttp.ConnState
	held   chan struct{} // a request to /held says there that it came, and waits
}

func newBench(t *testing.T, limits route.Limits) *bench {
	b := &bench{I: is.New(t), clock: &movedClock{Clock: base.NewRealClock()}, states: make(chan fasthttp.ConnState, 1000), held: make(chan struct{})}
	b.limits.Store(&limits)
	b.table = NewTracker(b.clock, base.NewCounters(), func() route.Limits { return *b.limits.Load() })
	server := &fasthttp.Server{ReduceMemoryUsage: true, Handler: func(r *fasthttp.RequestCtx) {
		if string(r.Path()) == "/held" {
			b.held <- struct{}{}
			<-b.held
		}
		fmt.Fprintf(r, "%d", len(r.Request.Body()))
	}}
	b.table.Attach(server)
	told := server.ConnState
	server.ConnState = func(c net.Conn, s fasthttp.ConnState) {
		told(c, s)
		b.states <- s
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = server.Serve(listener) }()
	b.addr = listener.Addr().String()
	return b
}

func (b *bench) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", b.addr)
	b.NoErr(err)
	b.reaches(fasthttp.StateNew)
	return c, bufio.NewReader(c)
}

// reaches waits until the server has told of a state.
func (b *bench) reaches(s fasthttp.ConnState) {
	for told := range b.states {
		if told == s {
			return
		}
	}
}

func (b *bench) ask(c net.Conn, reader *bufio.Reader, body int) int {
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body))
	b.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	b.NoErr(err)
	_, err = io.ReadAll(response.Body)
	b.NoErr(err)
	return response.StatusCode
}

func (b *bench) pass(span time.Duration) {
	b.clock.ahead.Add(int64(span))
	b.table.CloseExpired()
}

// A connection that rested for four fifths of the limit in force is served, also
// when the limit has grown since; after the whole of it, it is closed.
func TestARestWithinTheLimitIsServed(t *testing.T) {
	for _, idle := range []time.Duration{5 * time.Second, 15 * time.Second, 2 * time.Minute} {
		b := newBench(t, route.Limits{IdleTimeout: time.Second})
		b.limits.Store(&route.Limits{IdleTimeout: idle})
		c, reader := b.dial()
		defer c.Close()
		b.pass(idle * 4 / 5)
		for range 3 {
			b.Equal(b.ask(c, reader, 1), 200)
			b.reaches(fasthttp.StateIdle)
			b.pass(idle * 4 / 5)
		}
		b.pass(idle / 4)
		_, err := reader.ReadByte()
		b.Equal(err, io.EOF)
	}
}

// A request under way is not cut, however long it takes.
func TestARequestUnderWayIsNotCut(t *testing.T) {
	b := newBench(t, route.Limits{IdleTimeout: time.Second, HeaderReadTimeout: time.Second})
	c, reader := b.dial()
	defer c.Close()
	_, err := io.WriteString(c, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	b.NoErr(err)
	<-b.held
	b.pass(time.Hour)
	b.held <- struct{}{}
	response, err := http.ReadResponse(reader, nil)
	b.NoErr(err)
	b.Equal(response.StatusCode, 200)
}

// A request that does not come whole within its time ends the connection.
func TestASlowRequestIsBounded(t *testing.T) {
	b := newBench(t, route.Limits{IdleTimeout: 10 * time.Second, HeaderReadTimeout: 3 * time.Second})
	c, reader := b.dial()
	defer c.Close()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
	b.NoErr(err)
	b.reaches(fasthttp.StateActive)
	b.pass(12 * time.Second)
	b.table.mu.Lock()
	b.Equal(len(b.table.conns), 1)
	b.table.mu.Unlock()
	b.pass(2 * time.Second)
	_, err = reader.ReadByte()
	// Bytes that the server had not read by then make its end a reset.
	b.True(err == io.EOF || errors.Is(err, syscall.ECONNRESET))
}

// The longest body is the one of the limits in force.
func TestABodyWithinTheLimitIsTaken(t *testing.T) {
	b := newBench(t, route.Limits{MaxBodyBytes: 1000})
	c, reader := b.dial()
	defer c.Close()
	b.Equal(b.ask(c, reader, 1000), 200)
	b.limits.Store(&route.Limits{MaxBodyBytes: 12 << 20})
	b.Equal(b.ask(c, reader, 12<<20), 200)
	b.limits.Store(&route.Limits{MaxBodyBytes: 1000})
	b.Equal(b.ask(c, reader, 1001), 413)
}

// No event but an answer makes a connection a resting one.
func TestOnlyAnAnswerMakesARest(t *testing.T) {
	is := is.New(t)
	for from := stateOpened; from <= stateClosed; from++ {
		for e := eventByte; e <= eventClosed; e++ {
			if to := from.next(e); to == stateIdle && from != stateIdle {
				is.Equal(e, eventAnswered)
			}
		}
	}
	is.Equal(stateServing.next(eventByte), stateServing)
	is.Equal(stateClosed.next(eventByte), stateClosed)
}
