// Package workerconn sends requests to workers over HTTP/1.1. Its errors tell
// whether the worker may have read any byte of the request.
//
// A pooled connection belongs to one incarnation of a worker, not to an address,
// and carries one request at a time. Its states and legal transitions are in
// state.go. It is reused only after a response that was complete and valid,
// carried the request's id, did not announce that the worker closes the
// connection, and had no bytes after it.
//
// An idle connection is checked before it is reused: if it has become readable,
// it was closed or holds bytes that belong to no request, and it is discarded.
// Idle connections are closed before the worker's keep-alive timeout expires, and
// earlier if connections to that worker were found to end earlier. They have no
// goroutine of their own; a periodic sweep closes the expired ones.
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
	dialTimeout time.Duration
	clock       base.Clock
	counters    *base.Counters
	// dialContext makes the network connection; tests replace it.
	dialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// classifyEnd decides whether a connection can be reused after a response, and
	// matches whether a response belongs to the request; tests replace them.
	classifyEnd func(replyEnd) event
	matches     func(request *base.BackendRequest, id string) bool

	mu         sync.Mutex
	workers    map[string]*workerConns
	sweepTimer *time.Timer
}

// workerConns holds the connections to one incarnation of a worker: the number
// of open ones and the idle ones, the most recently used last.
type workerConns struct {
	open      int
	idle      []*conn
	forgotten bool
	// idleLimit, if not 0, bounds the idle time because a connection ended earlier
	// than the worker had announced.
	idleLimit time.Duration
	// longestIdle is the longest idle time after which a request was answered.
	longestIdle time.Duration
}

// newPool returns an empty pool that uses the real clock.
func newPool(dialTimeout time.Duration, counters *base.Counters) *pool {
	dialer := newDialer(dialTimeout)
	return &pool{dialTimeout: dialTimeout, clock: base.NewRealClock(), counters: counters, dialContext: dialer.DialContext,
		classifyEnd: replyEnd.event, matches: matchesID, workers: map[string]*workerConns{}}
}

// matchesID reports whether a response with that id belongs to the request.
func matchesID(request *base.BackendRequest, id string) bool {
	return request.EchoedHeader.Name == "" || id == request.EchoedHeader.Value
}

// defaultIdleTime is how long an idle connection is kept if the worker announces
// no keep-alive timeout. A timeout below one second cannot be announced, because
// the header takes whole seconds; with the usual dial timeout of one second, three
// quarters of it stay below most such timeouts.
func (p *pool) defaultIdleTime() time.Duration { return p.dialTimeout * 3 / 4 }

// maxIdleTime bounds the keep-alive timeout that a worker announces.
func (p *pool) maxIdleTime() time.Duration { return 30 * p.dialTimeout }

// minIdleTime is the shortest idle time after which the end of a connection is
// attributed to its being idle.
func (p *pool) minIdleTime() time.Duration { return p.dialTimeout / 8 }

// forget closes the idle connections of a worker incarnation. Those in use are
// closed when their replies end.
func (p *pool) forget(worker string) {
	p.mu.Lock()
	entry := p.workers[worker]
	if entry == nil {
		p.mu.Unlock()
		return
	}
	delete(p.workers, worker)
	entry.forgotten = true
	idle := entry.idle
	entry.idle = nil
	entry.open -= len(idle)
	p.mu.Unlock()
	closeAll(idle)
}

// closeAll closes connections that are no longer counted in a workerConns.
func closeAll(conns []*conn) {
	for _, c := range conns {
		c.apply(eventUnusable)
		_ = c.Close() // an idle connection carries no data
	}
}

// takeIdle returns an idle connection that can still be used. If there is none,
// it returns nil and has reserved a slot for a new connection.
func (p *pool) takeIdle(worker, addr string, maxConns int) (*conn, *workerConns, error) {
	now := p.clock.Now()
	for {
		c, entry, err := p.popIdleOrReserve(worker, maxConns)
		if c == nil {
			return nil, entry, err
		}
		c.idleFor = now - c.idleSince
		usable := c.addr == addr && now < c.expiresAt
		if usable && c.isSilent() {
			c.apply(eventCheckedIdle)
			p.counters.Add("connections_reused", 1)
			return c, entry, nil
		}
		p.counters.Add("connections_stale", 1)
		if usable {
			p.recordIdleClose(c)
		}
		p.drop(c)
	}
}

// popIdleOrReserve removes the most recently used idle connection, or reserves a
// slot for a new one.
func (p *pool) popIdleOrReserve(worker string, maxConns int) (*conn, *workerConns, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.workers[worker]
	if entry == nil {
		entry = &workerConns{}
		p.workers[worker] = entry
	}
	last := len(entry.idle) - 1
	if last >= 0 {
		c := entry.idle[last]
		entry.idle[last] = nil
		entry.idle = entry.idle[:last]
		return c, entry, nil
	}
	if maxConns > 0 && entry.open >= maxConns {
		return nil, nil, base.ErrConnectionLimit
	}
	entry.open++
	return nil, entry, nil
}

// recordIdleClose is called for a connection that ended while it was idle or with
// the first request after, and shortens the idle time of later ones. An idle time
// that another connection survived is not taken as the cause, so that a worker
// that resets requests at any time does not cost its idle connections.
func (p *pool) recordIdleClose(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := c.owner
	if c.idleFor < p.minIdleTime() || c.idleFor <= entry.longestIdle {
		return
	}
	limit := max(entry.longestIdle, c.idleFor/2, p.minIdleTime())
	if entry.idleLimit == 0 || limit < entry.idleLimit {
		entry.idleLimit = limit
		p.counters.Add("connections_shortened", 1)
	}
}

// recordIdleSurvival records that a request was answered after the connection's
// idle time.
func (p *pool) recordIdleSurvival(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.owner.longestIdle = max(c.owner.longestIdle, c.idleFor)
}

// drop closes a connection and releases its slot.
func (p *pool) drop(c *conn) {
	c.apply(eventUnusable)
	_ = c.Close() // the connection is given up in any case
	p.releaseSlot(c.owner)
}

// releaseSlot releases the slot of a connection that was closed or not made.
func (p *pool) releaseSlot(entry *workerConns) {
	p.mu.Lock()
	entry.open--
	p.mu.Unlock()
}

// putIdle returns a connection to the pool, to be kept for idleTime at most.
func (p *pool) putIdle(c *conn, idleTime time.Duration) {
	p.mu.Lock()
	if limit := c.owner.idleLimit; limit > 0 {
		idleTime = min(idleTime, limit)
	}
	if c.state != stateIdle || c.owner.forgotten || idleTime <= 0 {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	c.idleSince = p.clock.Now()
	c.expiresAt = c.idleSince + idleTime
	c.owner.idle = append(c.owner.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(p.defaultIdleTime(), p.sweepIdle)
	}
	p.mu.Unlock()
}

// putUnused returns a connection to the pool on which nothing was sent.
func (p *pool) putUnused(c *conn, fresh bool) {
	idleTime := p.defaultIdleTime()
	if !fresh {
		idleTime = c.expiresAt - p.clock.Now()
	}
	c.apply(eventReturned)
	p.putIdle(c, idleTime)
}

// sweepIdle closes expired idle connections and deletes entries of workers that
// have no connection and no learned limit.
func (p *pool) sweepIdle() {
	now := p.clock.Now()
	var expired []*conn
	remaining := 0
	p.mu.Lock()
	for worker, entry := range p.workers {
		expired = append(expired, entry.removeExpired(now)...)
		remaining += len(entry.idle)
		if entry.open == 0 && entry.idleLimit == 0 {
			delete(p.workers, worker)
		}
	}
	if remaining > 0 {
		p.sweepTimer.Reset(p.defaultIdleTime())
	} else {
		p.sweepTimer = nil
	}
	p.mu.Unlock()
	closeAll(expired)
}

// removeExpired removes and returns the expired idle connections.
func (w *workerConns) removeExpired(now time.Duration) (expired []*conn) {
	remaining := w.idle[:0]
	for _, c := range w.idle {
		if now < c.expiresAt {
			remaining = append(remaining, c)
			continue
		}
		expired = append(expired, c)
		w.open--
	}
	clear(w.idle[len(remaining):])
	w.idle = remaining
	return expired
}

// call sends a request on a pooled or new connection and returns its reply. It
// tries another connection only if no byte was sent on the first.
func (p *pool) call(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	buf := appendRequest(addr, request)
	defer requestBuffers.Put(buf)
	for {
		c, fresh, err := p.getConn(ctx, addr, request)
		if err != nil {
			return nil, &base.NotSent{Cause: err}
		}
		if ctx.Expired() || (request.ConfirmSend != nil && !request.ConfirmSend()) {
			p.putUnused(c, fresh)
			return nil, &base.NotSent{Cause: base.ErrDraining}
		}
		_ = c.SetDeadline(deadlineIn(ctx.Remaining())) // a closed connection fails below
		sent, err := c.send(*buf, request.Body)
		if err == nil {
			return p.awaitReply(c, request)
		}
		p.drop(c)
		switch {
		case sent > 0:
			return nil, errors.Annotate(err, "sending")
		case fresh || ctx.Expired():
			return nil, &base.NotSent{Cause: err}
		}
		// The worker had closed the connection and nothing was sent: try another.
	}
}

// getConn returns a usable idle connection or dials a new one. A request that names no
// incarnation gets a connection that is closed after it.
func (p *pool) getConn(ctx *base.Ctx, addr string, request *base.BackendRequest) (c *conn, fresh bool, err error) {
	if request.Incarnation == "" {
		c, err = p.dial(ctx, addr, request.ConnectTimeout, &workerConns{open: 1, forgotten: true})
		return c, true, err
	}
	c, entry, err := p.takeIdle(request.Incarnation, addr, request.MaxConns)
	if err != nil || c != nil {
		return c, false, err
	}
	if c, err = p.dial(ctx, addr, request.ConnectTimeout, entry); err != nil {
		p.releaseSlot(entry)
		return nil, false, err
	}
	return c, true, nil
}

// awaitReply waits for the head of the response. If it fails, the worker may have
// run the request.
func (p *pool) awaitReply(c *conn, request *base.BackendRequest) (base.BackendReply, error) {
	reply, err := p.receiveHead(c, request)
	if err == nil {
		p.recordIdleSurvival(c)
		return reply, nil
	}
	if wasClosed(err) {
		p.recordIdleClose(c)
	}
	p.drop(c)
	return nil, errors.Annotate(err, "awaiting the response")
}
