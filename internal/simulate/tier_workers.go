package simulate

import (
	"bytes"
	"strings"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// tierWorker is one incarnation of a worker at its address.
type tierWorker struct {
	*parties.Worker
	host        *Host
	conns       map[*workerConn]bool
	openedConns int
	// silentDropAfter, when set, is the idle time after which the worker drops a
	// connection without telling the gateway.
	silentDropAfter time.Duration
	ended           bool
}

// atConnLimit tells whether the worker resets another connection. The limit is halved,
// but not below the capacity, while more than half of the queue is taken.
func (w *tierWorker) atConnLimit() bool {
	limit := w.Spec.MaxConns
	if queued := w.Queued(); queued > w.Spec.QueueSize/2 {
		limit = max(w.Spec.Capacity, limit/2)
	}
	return limit > 0 && len(w.conns) >= limit
}

// terminate ends the worker's process and closes its connections.
func (w *tierWorker) terminate(t *Tier) {
	w.Stop()
	w.ended = true
	if t.workersByAddress[w.Address] == w {
		delete(t.workersByAddress, w.Address)
	}
	for _, c := range t.sortedConns(w.conns) {
		c.closedSignal.Fire()
		c.incoming.send(t.Net.delay(), workerPart{kind: partConnClosed})
	}
	w.conns = map[*workerConn]bool{}
}

const (
	partHead = iota
	partBytes
	partEnd
	partRaw // bytes that may form no response, or one to another request
	partConnClosed
)

// workerPart is a part of a worker's response on a connection, or the connection's end.
type workerPart struct {
	kind   int
	status int
	header [][2]string
	length int
	bytes  []byte
}

// workerConn is a connection from a gateway to one incarnation of a worker. As the
// stand-ins decide, it may go stale, be reset or be dropped silently, and may carry
// responses that are late, cut, malformed or for another request.
type workerConn struct {
	number             int
	tier               *Tier
	gatewayHost        *Host
	gatewayIncarnation int
	worker             *tierWorker // nil when it is reset as soon as it is used
	addr               string
	pool               *workerPool
	incoming           *pipe[workerPart]
	closedSignal       base.Signal // fires when either side has closed
	closed             bool
	idleDeadline       time.Duration // until when the gateway may reuse it
	idleSince          time.Duration // when the worker sent its last response
	servedRequests     int
	delayedBytes       []byte // sent before the next response
}

func (c *workerConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.open--
	c.closedSignal.Fire()
	c.incoming.changed.Notify()
	if c.worker != nil {
		delete(c.worker.conns, c)
	}
	delete(c.tier.conns, c)
}

// workerPool holds a gateway's connections to one incarnation of a worker.
type workerPool struct {
	open      int
	idle      []*workerConn
	discarded bool
}

// workerTransport calls workers for one incarnation of a gateway.
type workerTransport struct {
	tier           *Tier
	host           *Host
	connectTimeout time.Duration
	pools          map[string]*workerPool
}

func (transport *workerTransport) DropIdle(worker string) {
	pool := transport.pools[worker]
	if pool == nil {
		return
	}
	delete(transport.pools, worker)
	pool.discarded = true
	for _, c := range pool.idle {
		c.close()
	}
	pool.idle = nil
}

// acquire returns an idle connection on which nothing has arrived. Without one it
// returns a nil connection and counts a new one in the pool, which the caller then
// opens. It fails with base.ErrConnectionLimit when the pool is full.
func (transport *workerTransport) acquire(worker, addr string, maxConns int) (*workerConn, *workerPool, error) {
	now := transport.tier.World.now
	pool := transport.pools[worker]
	if pool == nil {
		pool = &workerPool{}
		transport.pools[worker] = pool
	}
	for len(pool.idle) > 0 {
		c := pool.idle[len(pool.idle)-1]
		pool.idle = pool.idle[:len(pool.idle)-1]
		if c.addr == addr && now < c.idleDeadline && !c.incoming.ready() {
			return c, pool, nil
		}
		c.close()
	}
	if maxConns > 0 && pool.open >= maxConns {
		return nil, nil, base.ErrConnectionLimit
	}
	pool.open++
	return nil, pool, nil
}

// dial opens a connection to the worker that listens at an address. A worker at its
// connection limit accepts the connection and resets it when it is used.
func (transport *workerTransport) dial(ctx *base.Ctx, addr string, bound time.Duration, pool *workerPool) (*workerConn, error) {
	t := transport.tier
	if bound <= 0 || bound > transport.connectTimeout {
		bound = transport.connectTimeout
	}
	transport.host.Clock().Sleep(t.Net.delay() + t.Net.delay() + time.Millisecond)
	target := t.workersByAddress[addr]
	if target == nil {
		return nil, errors.Errorf("connection to %s refused", addr)
	}
	if t.Net.isCut(transport.host.Name, target.host.Name) || t.Net.isCut(target.host.Name, transport.host.Name) {
		transport.host.Clock().Sleep(min(bound, ctx.Remaining()))
		return nil, errors.Errorf("no route to %s", addr)
	}
	if t.maxDialTime > 0 {
		took := t.World.Between(0, t.maxDialTime)
		transport.host.Clock().Sleep(min(took, bound))
		if took > bound || t.workersByAddress[addr] != target {
			return nil, errors.Errorf("no connection to %s within %v", addr, bound)
		}
	}
	t.lastNumber++
	c := &workerConn{number: t.lastNumber, tier: t, gatewayHost: transport.host, gatewayIncarnation: transport.host.incarnation, worker: target, addr: addr, pool: pool, incoming: newPipe[workerPart](transport.host), closedSignal: transport.host.Clock().NewSignal()}
	t.conns[c] = true
	target.openedConns++
	if target.atConnLimit() {
		c.worker = nil
		return c, nil
	}
	target.conns[c] = true
	return c, nil
}

func (transport *workerTransport) Call(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	c, pool, err := transport.acquire(request.Incarnation, addr, request.MaxConns)
	if err != nil {
		return nil, &base.NotSent{Cause: err}
	}
	if c == nil {
		if c, err = transport.dial(ctx, addr, request.ConnectTimeout, pool); err != nil {
			pool.open--
			return nil, &base.NotSent{Cause: err}
		}
		c.idleDeadline = transport.tier.World.now + transport.connectTimeout*3/4
	}
	if ctx.Expired() || request.ConfirmSend != nil && !request.ConfirmSend() && !transport.tier.disabled.finalListCheck {
		transport.release(c, c.idleDeadline-transport.tier.World.now)
		return nil, &base.NotSent{Cause: base.ErrDraining}
	}
	c.send(request)
	reply, match := &workerReply{transport: transport, conn: c, clock: ctx.Clock}, request.EchoedHeader
	if transport.tier.disabled.answerID {
		match = base.HeaderLine{}
	}
	if err := reply.readHead(ctx.Clock.Now()+ctx.Remaining(), match); err != nil {
		c.close()
		if transport.tier.disabled.notRunProof {
			return nil, &base.NotSent{Cause: err}
		}
		return nil, errors.Annotate(err, "reading the response head")
	}
	return reply, nil
}

// release returns a connection to its pool, to be reused within an idle time.
func (transport *workerTransport) release(c *workerConn, idleTime time.Duration) {
	if c.closed {
		return
	}
	c.idleDeadline = transport.tier.World.now + idleTime
	if c.pool.discarded || idleTime <= 0 {
		c.close()
		return
	}
	c.pool.idle = append(c.pool.idle, c)
}

// send sends a request to the worker, which serves it in a task of its own.
func (c *workerConn) send(request *base.BackendRequest) {
	t, w := c.tier, c.worker
	if w == nil {
		c.incoming.send(t.Net.delay(), workerPart{kind: partConnClosed})
		return
	}
	header := map[string]string{}
	for name, value := range request.Header {
		header[strings.ToLower(name)] = value
	}
	for _, line := range request.HeaderLines {
		if t.disabled.expectedID && strings.EqualFold(line.Name, parties.HeaderExpectInstance) {
			continue
		}
		header[strings.ToLower(line.Name)] = line.Value
	}
	incomingRequest := &parties.Request{Method: request.Method, Target: request.Path, Host: request.Host, Body: bytes.Clone(request.Body), ClientClosed: c.closedSignal,
		Header: func(name string) string { return header[strings.ToLower(name)] }}
	t.World.spawn(w.host, w.host.incarnation, t.World.now+t.Net.delay()+c.gatewayHost.ExtraDelay, func() {
		idle := t.World.now - c.idleSince
		if w.ended || c.servedRequests > 0 && (w.silentDropAfter > 0 && idle > w.silentDropAfter || w.KeepAlive > 0 && idle > w.KeepAlive) {
			c.incoming.send(t.Net.delay(), workerPart{kind: partConnClosed})
			return
		}
		reply := &workerResponseWriter{conn: c, closeAfter: t.World.Int64N(50) == 0}
		w.Serve(incomingRequest, reply)
		c.servedRequests++
		c.idleSince = t.World.now
		if reply.broken || reply.closeAfter {
			c.incoming.send(t.Net.delay(), workerPart{kind: partConnClosed})
		}
	})
}

// workerResponseWriter writes a worker's responses to a connection.
type workerResponseWriter struct {
	conn       *workerConn
	closeAfter bool
	broken     bool
}

func (r *workerResponseWriter) send(part workerPart) error {
	c := r.conn
	if c.closed || r.broken || c.worker.ended {
		return errors.New("the connection is closed")
	}
	c.incoming.send(c.tier.Net.delay()+c.gatewayHost.ExtraDelay, part)
	return nil
}

func (r *workerResponseWriter) WriteHeader(status int, header [][2]string, length int) error {
	if later := r.conn.delayedBytes; len(later) > 0 {
		r.conn.delayedBytes = nil
		_ = r.WriteRaw(later)
	}
	for _, line := range header {
		r.closeAfter = r.closeAfter || line[0] == "Connection"
	}
	if r.closeAfter {
		header = append(base.Filter(header, func(line [2]string) bool { return line[0] != "Connection" }), [2]string{"Connection", "close"})
	}
	return r.send(workerPart{kind: partHead, status: status, header: header, length: length})
}

func (r *workerResponseWriter) Write(piece []byte) error {
	return r.send(workerPart{kind: partBytes, bytes: bytes.Clone(piece)})
}

func (r *workerResponseWriter) Finish() error { return r.send(workerPart{kind: partEnd}) }

func (r *workerResponseWriter) WriteRaw(data []byte) error {
	return r.send(workerPart{kind: partRaw, bytes: bytes.Clone(data)})
}

func (r *workerResponseWriter) WriteRawBeforeNext(data []byte) {
	r.conn.delayedBytes = bytes.Clone(data)
}

func (r *workerResponseWriter) Abort(hard bool) { r.broken = true }

// maxForeignAnswers is how many responses to other requests are skipped on a connection.
const maxForeignAnswers = 2

var (
	errConnClosed = errors.New("the connection to the worker was closed")
	errMalformed  = errors.New("malformed response")
	errTimeout    = errors.New("the response timed out")
)
