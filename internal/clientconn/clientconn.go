// Package clientconn bounds how long clients' connections may rest and how long
// a request may take to arrive, by the operator's limits of the moment. An HTTP
// server's own timeouts are fixed when it starts; the limits come with the
// configuration and change with it.
//
// A connection is closed only while no request of it is being served, and a
// resting one only after the whole of the limit: clients take up connections
// that have rested for up to four fifths of it.
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

// state is where a client's connection stands. Only next moves it.
type state uint8

const (
	// stateOpened has carried nothing yet.
	stateOpened state = iota
	// stateReading is from a request's first byte to its last.
	stateReading
	// stateServing has a whole request and owes its answer.
	stateServing
	// stateIdle rests after an answer.
	stateIdle
	// stateClosed is over.
	stateClosed
)

// event is what happens to a connection.
type event uint8

const (
	eventByte event = iota
	eventRequest
	eventAnswered
	eventClosed
)

// next gives the state after an event. An event that is not foreseen leaves the
// state, so that a connection is never taken for a resting one by mistake.
func (s state) next(e event) state {
	switch {
	case e == eventClosed:
		return stateClosed
	case e == eventByte && (s == stateOpened || s == stateIdle):
		return stateReading
	case e == eventRequest && s == stateReading:
		return stateServing
	case e == eventAnswered && (s == stateServing || s == stateReading):
		return stateIdle
	}
	return s
}

// Limits that hold where the configuration gives none.
const (
	defaultRead = 10 * time.Second
	defaultIdle = time.Minute
	defaultBody = 8 << 20
)

// sweepShare is the part of the shortest limit after which connections are gone
// through again, and thereby how much later than the limit one may be closed.
const sweepShare = 8

// tracked is one open connection.
type tracked struct {
	state state
	since time.Duration // when it came to its state
}

// Tracker holds the open connections of one server.
type Tracker struct {
	clock    base.Clock
	counters *base.Counters
	limits   func() route.Limits

	mu    sync.Mutex
	conns map[net.Conn]*tracked
}

// NewTracker makes an empty table. limits gives the limits of the moment; those
// that are 0 are not set.
func NewTracker(clock base.Clock, counters *base.Counters, limits func() route.Limits) *Tracker {
	return &Tracker{clock: clock, counters: counters, limits: limits, conns: map[net.Conn]*tracked{}}
}

// Attach makes a server tell the table of its connections, and leaves timeouts
// to the table. It is called before the server serves.
func (t *Tracker) Attach(server *fasthttp.Server) {
	server.ConnState = t.changed
	server.ReadTimeout = 0
	server.IdleTimeout = 0
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{MaxRequestBodySize: orDefault(t.limits().MaxBodyBytes, defaultBody)}
	}
	server.ErrorHandler = refuseUnread
	handler := server.Handler
	server.Handler = func(r *fasthttp.RequestCtx) {
		t.move(r.Conn(), eventRequest)
		handler(r)
	}
}

// refuseUnread answers a request that could not be read.
func refuseUnread(r *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Error("the body is too large", fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &small):
		r.Error("the head is too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	default:
		r.Error("the request could not be read", fasthttp.StatusBadRequest)
	}
}

func orDefault[N int | time.Duration](limit, otherwise N) N {
	if limit > 0 {
		return limit
	}
	return otherwise
}

// changed takes in what the server tells of a connection.
func (t *Tracker) changed(c net.Conn, to fasthttp.ConnState) {
	switch to {
	case fasthttp.StateNew:
		t.mu.Lock()
		t.conns[c] = &tracked{state: stateOpened, since: t.clock.Now()}
		t.mu.Unlock()
	case fasthttp.StateActive:
		t.move(c, eventByte)
	case fasthttp.StateIdle:
		t.move(c, eventAnswered)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		t.move(c, eventClosed)
	}
}

func (t *Tracker) move(c net.Conn, e event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.conns[c]
	if known == nil {
		return
	}
	known.state = known.state.next(e)
	known.since = t.clock.Now()
	if known.state == stateClosed {
		delete(t.conns, c)
	}
}

// CloseExpired closes the connections that have rested, or taken to send a request,
// for longer than they may. It gives the time until the next sweep.
func (t *Tracker) CloseExpired() time.Duration {
	limits := t.limits()
	idle := orDefault(limits.IdleTimeout, defaultIdle)
	head := orDefault(limits.HeaderReadTimeout, defaultRead)
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, known := range t.conns {
		if now-known.since <= known.state.limit(head, idle) {
			continue
		}
		// The server sees the end, and tells of it.
		if err := c.Close(); err == nil {
			t.counters.Add("client_connections_timed_out", 1)
		}
		delete(t.conns, c)
	}
	return min(idle, head) / sweepShare
}

// limit is how long a connection may stay in the state. A body may take as long
// as a connection may rest.
func (s state) limit(head, idle time.Duration) time.Duration {
	switch s {
	case stateReading:
		return head + idle
	case stateServing:
		return time.Duration(1<<63 - 1) // the request's own deadline bounds it
	}
	return idle
}

// Run sweeps until closed says that the server is over.
func (t *Tracker) Run(closed func() bool) {
	for !closed() {
		t.clock.Sleep(t.CloseExpired())
	}
}
