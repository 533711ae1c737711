// The platform's workers behind the simulator's back ends. A connection
// belongs to one life of a worker at one address; it is kept, found stale,
// reset, forgotten without a word, and carries answers that are late, cut,
// garbled, or belong to another request, as the workers' stand-ins bring about.

package simulate

import (
	"bytes"
	"strings"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// tierWorker is one life of a worker at its address.
type tierWorker struct {
	*parties.Worker
	host   *Host
	conns  map[*workerConn]bool
	opened int
	// forget, when set, drops connections idle for so long without a word.
	forget time.Duration
	gone   bool
}

// full tells whether the worker resets one more connection.
func (s *tierWorker) full() bool {
	most := s.Shape.MaxConns
	if queued := s.Queued(); queued > s.Shape.Queue/2 {
		most = max(s.Shape.Capacity, most/2)
	}
	return most > 0 && len(s.conns) >= most
}

// end ends the worker's process: its connections close.
func (s *tierWorker) end(t *Tier) {
	s.End()
	s.gone = true
	if t.listening[s.Address] == s {
		delete(t.listening, s.Address)
	}
	for _, c := range t.inOrder(s.conns) {
		c.gone.Fire()
		c.in.put(t.Net.delay(), arrived{kind: arrivedClose})
	}
	s.conns = map[*workerConn]bool{}
}

const (
	arrivedHead = iota
	arrivedPiece
	arrivedEnd
	arrivedRaw
	arrivedClose
)

type arrived struct {
	kind   int
	status int
	header [][2]string
	length int
	bytes  []byte
}

// workerConn is one connection from a gateway to a worker.
type workerConn struct {
	number int
	tier   *Tier
	from   *Host
	life   int
	at     *tierWorker // nil when it is reset as soon as it is used
	addr   string
	stock  *workerStock
	in     *pipe[arrived]
	gone   base.Signal // fires when the other side has closed
	closed bool
	until  time.Duration // the gateway's
	idle   time.Duration // since when, for the worker
	served int
	later  []byte
}

func (c *workerConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.stock.open--
	c.gone.Fire()
	c.in.bell.Notify()
	if c.at != nil {
		delete(c.at.conns, c)
	}
	delete(c.tier.conns, c)
}

// workerStock is what a gateway keeps for one life of a worker.
type workerStock struct {
	open int
	idle []*workerConn
	gone bool
}

// workerCalls is one gateway life's way to the workers.
type workerCalls struct {
	tier    *Tier
	host    *Host
	connect time.Duration
	stocks  map[string]*workerStock
}

func (b *workerCalls) DropIdle(worker string) {
	held := b.stocks[worker]
	if held == nil {
		return
	}
	delete(b.stocks, worker)
	held.gone = true
	for _, c := range held.idle {
		c.close()
	}
	held.idle = nil
}

// take gives an idle connection that is quiet, or the right to make one.
func (b *workerCalls) take(worker, addr string, most int) (*workerConn, *workerStock, error) {
	now := b.tier.World.now
	held := b.stocks[worker]
	if held == nil {
		held = &workerStock{}
		b.stocks[worker] = held
	}
	for len(held.idle) > 0 {
		c := held.idle[len(held.idle)-1]
		held.idle = held.idle[:len(held.idle)-1]
		if c.addr == addr && now < c.until && !c.in.due() {
			return c, held, nil
		}
		c.close()
	}
	if most > 0 && held.open >= most {
		return nil, nil, base.ErrConnectionLimit
	}
	held.open++
	return nil, held, nil
}

func (b *workerCalls) dial(ctx *base.Ctx, addr string, bound time.Duration, held *workerStock) (*workerConn, error) {
	t := b.tier
	if bound <= 0 || bound > b.connect {
		bound = b.connect
	}
	b.host.Clock().Sleep(t.Net.delay() + t.Net.delay() + time.Millisecond)
	target := t.listening[addr]
	if target == nil {
		return nil, errors.New("connection refused")
	}
	if t.Net.isCut(b.host.Name, target.host.Name) || t.Net.isCut(target.host.Name, b.host.Name) {
		b.host.Clock().Sleep(min(bound, ctx.Remaining()))
		return nil, errors.New("no route")
	}
	if t.dialing > 0 {
		took := t.World.Between(0, t.dialing)
		b.host.Clock().Sleep(min(took, bound))
		if took > bound || t.listening[addr] != target {
			return nil, errors.New("the connection did not come up in time")
		}
	}
	t.serial++
	c := &workerConn{number: t.serial, tier: t, from: b.host, life: b.host.life, at: target, addr: addr, stock: held, in: newPipe[arrived](b.host), gone: b.host.Clock().NewSignal()}
	t.conns[c] = true
	target.opened++
	if target.full() {
		c.at = nil
		return c, nil
	}
	target.conns[c] = true
	return c, nil
}

func (b *workerCalls) Call(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	c, held, err := b.take(request.Incarnation, addr, request.MaxConns)
	if err != nil {
		return nil, &base.NotSent{Cause: err}
	}
	if c == nil {
		if c, err = b.dial(ctx, addr, request.ConnectTimeout, held); err != nil {
			held.open--
			return nil, &base.NotSent{Cause: err}
		}
		c.until = b.tier.World.now + b.connect*3/4
	}
	if ctx.Expired() || request.ConfirmSend != nil && !request.ConfirmSend() && !b.tier.disabled.finalListCheck {
		b.keep(c, c.until-b.tier.World.now)
		return nil, &base.NotSent{Cause: base.ErrDraining}
	}
	c.send(request)
	reply, match := &workerReply{calls: b, conn: c, clock: ctx.Clock}, request.EchoedHeader
	if b.tier.disabled.answerID {
		match = base.HeaderLine{}
	}
	if err := reply.receive(ctx.Clock.Now()+ctx.Remaining(), match); err != nil {
		c.close()
		if b.tier.disabled.notRunProof {
			return nil, &base.NotSent{Cause: err}
		}
		return nil, errors.Annotate(err, "awaiting the answer")
	}
	return reply, nil
}

func (b *workerCalls) keep(c *workerConn, span time.Duration) {
	if c.closed {
		return
	}
	c.until = b.tier.World.now + span
	if c.stock.gone || span <= 0 {
		c.close()
		return
	}
	c.stock.idle = append(c.stock.idle, c)
}

// send takes a request to the worker.
func (c *workerConn) send(request *base.BackendRequest) {
	t, s := c.tier, c.at
	if s == nil {
		c.in.put(t.Net.delay(), arrived{kind: arrivedClose})
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
	asked := &parties.Asked{Method: request.Method, Target: request.Path, Host: request.Host, Body: bytes.Clone(request.Body), Gone: c.gone,
		Header: func(name string) string { return header[strings.ToLower(name)] }}
	t.World.spawn(s.host, s.host.life, t.World.now+t.Net.delay()+c.from.ExtraDelay, func() {
		idle := t.World.now - c.idle
		if s.gone || c.served > 0 && (s.forget > 0 && idle > s.forget || s.KeepIdle > 0 && idle > s.KeepIdle) {
			c.in.put(t.Net.delay(), arrived{kind: arrivedClose})
			return
		}
		reply := &workerSide{conn: c, closing: t.World.Int64N(50) == 0}
		s.Serve(asked, reply)
		c.served++
		c.idle = t.World.now
		if reply.broken || reply.closing {
			c.in.put(t.Net.delay(), arrived{kind: arrivedClose})
		}
	})
}

// workerSide writes answers into a connection.
type workerSide struct {
	conn    *workerConn
	closing bool
	broken  bool
}

func (r *workerSide) put(one arrived) error {
	c := r.conn
	if c.closed || r.broken || c.at.gone {
		return errors.New("the connection is closed")
	}
	c.in.put(c.tier.Net.delay()+c.from.ExtraDelay, one)
	return nil
}

func (r *workerSide) Head(status int, header [][2]string, length int) error {
	if later := r.conn.later; len(later) > 0 {
		r.conn.later = nil
		r.Raw(later)
	}
	for _, line := range header {
		r.closing = r.closing || line[0] == "Connection"
	}
	if r.closing {
		header = append(base.Filter(header, func(line [2]string) bool { return line[0] != "Connection" }), [2]string{"Connection", "close"})
	}
	return r.put(arrived{kind: arrivedHead, status: status, header: header, length: length})
}

func (r *workerSide) Write(piece []byte) error {
	return r.put(arrived{kind: arrivedPiece, bytes: bytes.Clone(piece)})
}

func (r *workerSide) End() error { return r.put(arrived{kind: arrivedEnd}) }

func (r *workerSide) Raw(some []byte) { _ = r.put(arrived{kind: arrivedRaw, bytes: bytes.Clone(some)}) }

func (r *workerSide) Later(some []byte) { r.conn.later = bytes.Clone(some) }

func (r *workerSide) Break(hard bool) { r.broken = true }

const foreignMost = 2

var (
	errCut     = errors.New("the connection was closed")
	errGarbled = errors.New("bytes that form no answer")
	errSilence = errors.New("no answer in time")
)
