// Package workerconn carries requests to workers over HTTP/1.1 and says of each
// failure whether a byte of the request may have been read.
//
// A connection belongs to one life of a worker, not to an address, and carries
// one request at a time. Its states and their legal moves are in state.go: it is
// kept only after an answer that was read whole, in protocol, with the request's
// own id, without a word that the worker will close and with nothing behind it.
// An idle one is looked at before it is used: one that has become readable has
// ended or holds bytes that belong to no request, and is closed. It is closed as
// well before the worker's own time for idle connections is over, and sooner
// where connections to that worker were found to end sooner. No task waits on an
// idle connection; a sweep closes those whose time is over.
package workerconn

import (
	"context"
	"net"
	"sync"
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
)

// pool holds the connections to all workers.
type pool struct {
	connect  time.Duration
	clock    base.Clock
	counters *base.Counters
	// dialTo makes the connection itself.
	dialTo func(ctx context.Context, network, addr string) (net.Conn, error)
	// judge says what the end of an answer means for its connection, and owns
	// whether an answer is the request's own.
	judge func(answerEnd) event
	owns  func(request *base.BackRequest, id string) bool

	mu      sync.Mutex
	workers map[string]*workerConns
	sweep   *time.Timer
}

// workerConns is what is kept for one life of a worker: how many connections
// are open, and the idle ones, the youngest last.
type workerConns struct {
	open int
	idle []*conn
	gone bool
	// lasts, when not 0, is how long idle connections are kept because one ended
	// sooner than the worker told.
	lasts time.Duration
	// survived is the longest rest after which a request was answered.
	survived time.Duration
}

func newPool(connect time.Duration, counters *base.Counters) *pool {
	dialer := newDialer(connect)
	return &pool{connect: connect, clock: base.NewRealClock(), counters: counters, dialTo: dialer.DialContext,
		judge: answerEnd.event, owns: carriesID, workers: map[string]*workerConns{}}
}

// carriesID says whether an answer with that id is the request's own.
func carriesID(request *base.BackRequest, id string) bool {
	return request.Match.Name == "" || id == request.Match.Value
}

// The times of idle connections, as ratios to the bound for making one.

// idleUntold is how long a connection is kept when the worker tells no time of
// its own: such a time has no whole second, so with the usual bound of a second
// three quarters stay below most.
func (p *pool) idleUntold() time.Duration { return p.connect * 3 / 4 }

// idleMost bounds the time that a worker tells.
func (p *pool) idleMost() time.Duration { return 30 * p.connect }

// idleLeast is the shortest rest to which a connection's end is put down: a
// connection that ends after less was not ended for being idle.
func (p *pool) idleLeast() time.Duration { return p.connect / 8 }

// forget closes the idle connections of a worker's life.
func (p *pool) forget(worker string) {
	p.mu.Lock()
	held := p.workers[worker]
	if held == nil {
		p.mu.Unlock()
		return
	}
	delete(p.workers, worker)
	held.gone = true
	idle := held.idle
	held.idle = nil
	held.open -= len(idle)
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*conn) {
	for _, one := range conns {
		one.move(eventDoubt)
		_ = one.Close() // nothing is lost with it
	}
}

// take gives an idle connection that is still quiet, or nil and the right to
// make one.
func (p *pool) take(worker, addr string, most int) (*conn, *workerConns, error) {
	now := p.clock.Now()
	for {
		one, held, err := p.youngest(worker, most)
		if one == nil {
			return nil, held, err
		}
		one.rested = now - one.since
		inTime := one.addr == addr && now < one.until
		if inTime && one.isQuiet() {
			one.move(eventQuiet)
			p.counters.Add("connections_reused", 1)
			return one, held, nil
		}
		p.counters.Add("connections_stale", 1)
		if inTime {
			p.endedIdle(one)
		}
		p.drop(one)
	}
}

// youngest takes the idle connection that was used last, or books a new one.
func (p *pool) youngest(worker string, most int) (*conn, *workerConns, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.workers[worker]
	if held == nil {
		held = &workerConns{}
		p.workers[worker] = held
	}
	last := len(held.idle) - 1
	if last >= 0 {
		one := held.idle[last]
		held.idle[last] = nil
		held.idle = held.idle[:last]
		return one, held, nil
	}
	if most > 0 && held.open >= most {
		return nil, nil, base.ErrNoConnection
	}
	held.open++
	return nil, held, nil
}

// endedIdle learns from a connection that ended while it rested, or with the
// first request after: the next ones rest less. A rest that another connection
// survived is not blamed, so a worker that breaks off requests at any time does
// not cost its connections.
func (p *pool) endedIdle(one *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := one.of
	if one.rested < p.idleLeast() || one.rested <= held.survived {
		return
	}
	lasts := max(held.survived, one.rested/2, p.idleLeast())
	if held.lasts == 0 || lasts < held.lasts {
		held.lasts = lasts
		p.counters.Add("connections_shortened", 1)
	}
}

// survivedRest notes that a connection was good after its rest.
func (p *pool) survivedRest(one *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one.of.survived = max(one.of.survived, one.rested)
}

// drop closes a connection.
func (p *pool) drop(one *conn) {
	one.move(eventDoubt)
	_ = one.Close() // nothing is lost with it
	p.released(one.of)
}

// released gives back the place of a connection that is closed or was not made.
func (p *pool) released(held *workerConns) {
	p.mu.Lock()
	held.open--
	p.mu.Unlock()
}

// keep puts an idle connection back for the span that its worker will hold it.
func (p *pool) keep(one *conn, span time.Duration) {
	p.mu.Lock()
	if lasts := one.of.lasts; lasts > 0 {
		span = min(span, lasts)
	}
	if one.state != stateIdle || one.of.gone || span <= 0 {
		p.mu.Unlock()
		p.drop(one)
		return
	}
	one.since = p.clock.Now()
	one.until = one.since + span
	one.of.idle = append(one.of.idle, one)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(p.idleUntold(), p.sweepIdle)
	}
	p.mu.Unlock()
}

// keepUnused puts back a connection on which nothing was sent.
func (p *pool) keepUnused(one *conn, fresh bool) {
	span := p.idleUntold()
	if !fresh {
		span = one.until - p.clock.Now()
	}
	one.move(eventUnused)
	p.keep(one, span)
}

// sweepIdle closes the connections whose time is over, and forgets workers for
// which nothing is left.
func (p *pool) sweepIdle() {
	now := p.clock.Now()
	var over []*conn
	left := 0
	p.mu.Lock()
	for worker, held := range p.workers {
		over = append(over, held.sweep(now)...)
		left += len(held.idle)
		if held.open == 0 && held.lasts == 0 {
			delete(p.workers, worker)
		}
	}
	if left > 0 {
		p.sweep.Reset(p.idleUntold())
	} else {
		p.sweep = nil
	}
	p.mu.Unlock()
	closeAll(over)
}

// sweep takes out the idle connections whose time is over.
func (w *workerConns) sweep(now time.Duration) (over []*conn) {
	staying := w.idle[:0]
	for _, one := range w.idle {
		if now < one.until {
			staying = append(staying, one)
			continue
		}
		over = append(over, one)
		w.open--
	}
	clear(w.idle[len(staying):])
	w.idle = staying
	return over
}

// call sends a request on a kept or new connection and gives its answer. A
// request is sent on a second connection only when none of its bytes left on
// the first.
func (p *pool) call(ctx *base.Ctx, addr string, request *base.BackRequest) (base.BackReply, error) {
	message := appendRequest(addr, request)
	defer messages.Put(message)
	for {
		one, fresh, err := p.connection(ctx, addr, request)
		if err != nil {
			return nil, &base.NotSent{Cause: err}
		}
		if ctx.Over() || (request.Stays != nil && !request.Stays()) {
			p.keepUnused(one, fresh)
			return nil, &base.NotSent{Cause: base.ErrLeaves}
		}
		_ = one.SetDeadline(after(ctx.Left())) // a closed connection fails below
		sent, err := one.send(*message, request.Body)
		if err == nil {
			return p.answer(one, request)
		}
		p.drop(one)
		switch {
		case sent > 0:
			return nil, errors.Annotate(err, "sending")
		case fresh || ctx.Over():
			return nil, &base.NotSent{Cause: err}
		}
		// The worker had closed it; nothing left this node.
	}
}

// connection gives a quiet kept connection, or a new one.
func (p *pool) connection(ctx *base.Ctx, addr string, request *base.BackRequest) (one *conn, fresh bool, err error) {
	one, held, err := p.take(request.Worker, addr, request.MostConns)
	if err != nil || one != nil {
		return one, false, err
	}
	if one, err = p.dial(ctx, addr, request.Connect, held); err != nil {
		p.released(held)
		return nil, false, err
	}
	return one, true, nil
}

// answer waits for the head of the answer. Whatever fails here, the request may
// have run.
func (p *pool) answer(one *conn, request *base.BackRequest) (base.BackReply, error) {
	reply, err := p.receive(one, request)
	if err == nil {
		p.survivedRest(one)
		return reply, nil
	}
	if wasClosed(err) {
		p.endedIdle(one)
	}
	p.drop(one)
	return nil, errors.Annotate(err, "awaiting the answer")
}
