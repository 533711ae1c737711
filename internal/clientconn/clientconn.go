// Package clientconn enforces limits on client connections: idle and read timeouts, the size
// of bodies and the memory that all of them hold, and the number of connections. The timeouts
// of an HTTP server are fixed when it starts, while these limits are part of the configuration
// and may change at any time.
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
	"fordseam/internal/memory"
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

// Tracker tracks the open connections of one server, reads the bodies of its requests, and
// closes connections that have exceeded their timeouts or are too many.
type Tracker struct {
	// Memory is what the bodies of requests count to; nil sets no bound.
	Memory *memory.Budget
	// MaxConns is how many connections may be open; 0 sets no bound.
	MaxConns int
	// RefuseBody responds to a request whose body does not fit into the memory. The default
	// is a plain text with status 503, or 413 if it never fits.
	RefuseBody func(r *fasthttp.RequestCtx, err error)

	clock    base.Clock
	counters *base.Counters
	limits   func() route.Limits // the limits in force

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
}

// NewTracker returns a tracker without connections. limits returns the limits in force;
// those that are 0 have their defaults.
func NewTracker(clock base.Clock, counters *base.Counters, limits func() route.Limits) *Tracker {
	return &Tracker{RefuseBody: refuseBody, clock: clock, counters: counters, limits: limits, conns: map[net.Conn]*trackedConn{}}
}

// Attach makes the tracker follow a server's connections and read its bodies, and replaces
// the server's own timeouts, which Run enforces. It must be called before the server starts
// and after its handler is set.
func (t *Tracker) Attach(server *fasthttp.Server) {
	server.ReadTimeout = 0
	server.IdleTimeout = 0
	server.ErrorHandler = writeReadError
	t.AttachBodies(server)
}

// AttachBodies is Attach for a server that keeps its timeouts and its error handler, if it
// has one. The error handler also responds to bodies that cannot be read.
func (t *Tracker) AttachBodies(server *fasthttp.Server) {
	respond := server.ErrorHandler
	if respond == nil {
		respond = writeReadError
	}
	server.ErrorHandler = func(r *fasthttp.RequestCtx, err error) { t.refuse(respond, r, err) }
	server.ConnState = t.onConnState
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{MaxRequestBodySize: t.maxBodyBytes()}
	}
	// The server hands a request over after its head, so that its body can be counted as it
	// arrives.
	server.StreamRequestBody = true
	server.DisablePreParseMultipartForm = true
	handler := server.Handler
	server.Handler = func(r *fasthttp.RequestCtx) {
		lease := t.newLease()
		if err := t.readBody(r, lease); err != nil {
			lease.Release()
			r.SetConnectionClose()
			server.ErrorHandler(r, err)
			return
		}
		t.transition(r.Conn(), eventRequestRead)
		r.SetUserValue(leaseKey{}, lease)
		handler(r)
		if r.UserValue(leaseKey{}) != nil {
			lease.Release()
		}
	}
}

// leaseKey is the key of the lease among the values of a request.
type leaseKey struct{}

// TakeLease returns the lease that counts the body of a request, which the caller then
// releases. Without this call it is released after the handler.
func TakeLease(r *fasthttp.RequestCtx) *memory.Lease {
	lease, _ := r.UserValue(leaseKey{}).(*memory.Lease)
	r.RemoveUserValue(leaseKey{})
	return lease
}

func (t *Tracker) newLease() *memory.Lease {
	if t.Memory == nil {
		return nil
	}
	return t.Memory.NewLease()
}

func (t *Tracker) maxBodyBytes() int { return orDefault(t.limits().MaxBodyBytes, defaultMaxBodyBytes) }

// readBody reads the body of a request into memory that the lease counts.
func (t *Tracker) readBody(r *fasthttp.RequestCtx, lease *memory.Lease) error {
	stream := r.Request.BodyStream()
	if stream == nil {
		return nil
	}
	conn := r.Conn()
	lease.SetRevocable(func() { _ = conn.Close() })
	body, err := memory.ReadBody(stream, r.Request.Header.ContentLength(), t.maxBodyBytes(), lease)
	lease.SetRevocable(nil)
	if err != nil {
		return err
	}
	r.Request.SetBodyRaw(body)
	return nil
}

// refuse responds to a request that was not read, with respond unless the memory is the reason.
func (t *Tracker) refuse(respond func(*fasthttp.RequestCtx, error), r *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, memory.ErrBodyTooLarge):
		respond(r, fasthttp.ErrBodyTooLarge)
	case errors.Is(err, memory.ErrShort), errors.Is(err, memory.ErrTooLarge):
		t.RefuseBody(r, err)
	default:
		respond(r, err)
	}
}

// refuseBody is the default of Tracker.RefuseBody.
func refuseBody(r *fasthttp.RequestCtx, err error) {
	if errors.Is(err, memory.ErrTooLarge) {
		r.Error("the request body is too large", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	r.Error("too little memory is free", fasthttp.StatusServiceUnavailable)
	r.Response.Header.Set("Retry-After", "1")
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
		t.add(c)
	case fasthttp.StateActive:
		t.transition(c, eventFirstByte)
	case fasthttp.StateIdle:
		t.transition(c, eventResponded)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		t.transition(c, eventClosed)
	}
}

// add tracks a new connection. If there are too many, it closes the one that has waited
// longest for a client, or the new one if all others are being served.
func (t *Tracker) add(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = &trackedConn{state: stateOpened, since: t.clock.Now()}
	if t.MaxConns <= 0 || len(t.conns) <= t.MaxConns {
		return
	}
	excess := c
	for candidate, tracked := range t.conns {
		if tracked.state != stateServing && tracked.since < t.conns[excess].since {
			excess = candidate
		}
	}
	_ = excess.Close()
	t.forget(excess)
	t.counters.Add("client_connections_displaced", 1)
}

// forget removes a connection that was closed. The caller holds the lock.
func (t *Tracker) forget(c net.Conn) {
	delete(t.conns, c)
	if counted, ok := c.(*conn); ok {
		counted.setState(stateClosed)
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
	if counted, ok := c.(*conn); ok {
		counted.setState(tracked.state)
	}
	if tracked.state == stateClosed {
		delete(t.conns, c)
	}
}

// CloseExpired closes the connections that have been idle, or have been sending a
// request, for longer than allowed, and those whose client has read nothing of an answer for
// the idle timeout. It returns the time until the next check.
func (t *Tracker) CloseExpired() time.Duration {
	limits := t.limits()
	idleTimeout := orDefault(limits.IdleTimeout, defaultIdleTimeout)
	headerTimeout := orDefault(limits.HeaderReadTimeout, defaultHeaderReadTimeout)
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, tracked := range t.conns {
		counted, ok := c.(*conn)
		unread := ok && counted.blockedFor(now) > idleTimeout
		if now-tracked.since <= tracked.state.timeout(headerTimeout, idleTimeout) && !unread {
			continue
		}
		// The server notices the close and reports it to onConnState.
		if err := c.Close(); err == nil {
			t.counters.Add("client_connections_timed_out", 1)
		}
		t.forget(c)
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
