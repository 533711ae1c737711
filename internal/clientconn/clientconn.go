// Package clientconn enforces idle and read timeouts on client connections. The
// timeouts of an HTTP server are fixed when it starts, while these limits are part of
// the configuration and may change at any time.
//
// A connection is closed only while none of its requests is being served. An idle
// connection is closed only after the full idle timeout, since clients reuse
// connections that have been idle for up to four fifths of it.
package clientconn

import (
	"errors"
	"net"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/route"

	"github.com/valyala/fasthttp"
)

// state is the state of a client connection. It changes only by next.
type state uint8

const (
	// stateOpened means that nothing was received yet.
	stateOpened state = iota
	// stateReading lasts from the first byte of a request until it is complete.
	stateReading
	// stateServing lasts from a complete request until its response.
	stateServing
	// stateIdle means that the last request was responded to and no other has begun.
	stateIdle
	// stateClosed means that the connection is closed or hijacked.
	stateClosed
)

// event is an event that changes a connection's state.
type event uint8

const (
	eventFirstByte   event = iota // the first byte of a request was received
	eventRequestRead              // a request was received completely
	eventResponded                // the response was sent
	eventClosed                   // the server has closed or given up the connection
)

// next returns the state after an event. An unexpected event does not change the state,
// so that a connection is never mistaken for an idle one.
func (s state) next(e event) state {
	switch {
	case e == eventClosed:
		return stateClosed
	case e == eventFirstByte && (s == stateOpened || s == stateIdle):
		return stateReading
	case e == eventRequestRead && s == stateReading:
		return stateServing
	case e == eventResponded && (s == stateServing || s == stateReading):
		return stateIdle
	}
	return s
}

// Defaults for limits that the configuration does not set.
const (
	defaultHeaderReadTimeout = 10 * time.Second
	defaultIdleTimeout       = time.Minute
	defaultMaxBodyBytes      = 8 << 20
)

// sweepDivisor sets the interval at which connections are checked: this fraction of the
// shorter timeout. A connection is closed by at most that much too late.
const sweepDivisor = 8

// trackedConn is the state of one open connection.
type trackedConn struct {
	state state
	since time.Duration // clock reading of its last event
}

// Tracker tracks the open connections of one server and closes those that have
// exceeded their timeouts.
type Tracker struct {
	clock    base.Clock
	counters *base.Counters
	limits   func() route.Limits // the limits in force

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
}

// NewTracker returns a tracker without connections. limits returns the limits in force;
// those that are 0 have their defaults.
func NewTracker(clock base.Clock, counters *base.Counters, limits func() route.Limits) *Tracker {
	return &Tracker{clock: clock, counters: counters, limits: limits, conns: map[net.Conn]*trackedConn{}}
}

// Attach makes the tracker follow a server's connections, disables the server's own
// timeouts, and applies the limit of the body's size. It must be called before the
// server starts and after its handler is set.
func (t *Tracker) Attach(server *fasthttp.Server) {
	server.ConnState = t.onConnState
	server.ReadTimeout = 0
	server.IdleTimeout = 0
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{MaxRequestBodySize: orDefault(t.limits().MaxBodyBytes, defaultMaxBodyBytes)}
	}
	server.ErrorHandler = writeReadError
	handler := server.Handler
	server.Handler = func(r *fasthttp.RequestCtx) {
		t.transition(r.Conn(), eventRequestRead)
		handler(r)
	}
}

// writeReadError responds to a request that could not be read.
func writeReadError(r *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Error("the request body is too large", fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &smallBuffer):
		r.Error("the request header is too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	default:
		r.Error("the request could not be read", fasthttp.StatusBadRequest)
	}
}

// orDefault returns the limit, or the fallback if the limit is not set.
func orDefault[N int | time.Duration](limit, fallback N) N {
	if limit > 0 {
		return limit
	}
	return fallback
}

// onConnState receives the state changes that the server reports.
func (t *Tracker) onConnState(c net.Conn, newState fasthttp.ConnState) {
	switch newState {
	case fasthttp.StateNew:
		t.mu.Lock()
		t.conns[c] = &trackedConn{state: stateOpened, since: t.clock.Now()}
		t.mu.Unlock()
	case fasthttp.StateActive:
		t.transition(c, eventFirstByte)
	case fasthttp.StateIdle:
		t.transition(c, eventResponded)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		t.transition(c, eventClosed)
	}
}

// transition moves a connection to its next state and forgets it once it is closed.
func (t *Tracker) transition(c net.Conn, e event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.conns[c]
	if tracked == nil {
		return
	}
	tracked.state = tracked.state.next(e)
	tracked.since = t.clock.Now()
	if tracked.state == stateClosed {
		delete(t.conns, c)
	}
}

// CloseExpired closes the connections that have been idle, or have been sending a
// request, for longer than allowed. It returns the time until the next check.
func (t *Tracker) CloseExpired() time.Duration {
	limits := t.limits()
	idleTimeout := orDefault(limits.IdleTimeout, defaultIdleTimeout)
	headerTimeout := orDefault(limits.HeaderReadTimeout, defaultHeaderReadTimeout)
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, tracked := range t.conns {
		if now-tracked.since <= tracked.state.timeout(headerTimeout, idleTimeout) {
			continue
		}
		// The server notices the close and reports it to onConnState.
		if err := c.Close(); err == nil {
			t.counters.Add("client_connections_timed_out", 1)
		}
		delete(t.conns, c)
	}
	return min(idleTimeout, headerTimeout) / sweepDivisor
}

// timeout returns how long a connection may stay in the state. Reading a body may take
// as long as a connection may be idle, in addition to the time for the header.
func (s state) timeout(headerTimeout, idleTimeout time.Duration) time.Duration {
	switch s {
	case stateReading:
		return headerTimeout + idleTimeout
	case stateServing:
		return time.Duration(1<<63 - 1) // the request's own deadline bounds it
	}
	return idleTimeout
}

// Run closes expired connections periodically until closed returns true.
func (t *Tracker) Run(closed func() bool) {
	for !closed() {
		t.clock.Sleep(t.CloseExpired())
	}
}
