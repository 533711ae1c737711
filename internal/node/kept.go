// Kept connections to workers. A connection belongs to one life of a worker,
// not to an address, and carries one request at a time. It is put back only
// after an answer that was read whole, in protocol, with the request's own id,
// without a word that it will close and with nothing behind it. An idle one is
// looked at before it is used: one that has become readable has ended or holds
// bytes that belong to no request, and is dropped. It is dropped as well before
// the worker's own time for idle connections is over. No task waits on an idle
// connection; a sweep drops those whose time is over.

package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	headLimit   = 8 << 10 // of an answer's head
	lineLimit   = 1 << 20 // of one line of a stream
	joinLimit   = 64 << 10
	linesFirst  = 4 << 10
	foreignMost = 2 // answers to others that are read past
)

var (
	errForeign = errors.New("the answer belongs to another request")
	errClosed  = errors.New("the reply was closed")
	errLength  = errors.New("an answer without a length cannot be told from a cut one")
)

type kept struct {
	connect  time.Duration
	clock    base.Clock
	counters *base.Counters
	dialer   net.Dialer
	mu       sync.Mutex
	stocks   map[string]*stock
	sweep    *time.Timer
}

// stock is what is kept for one life of a worker: how many connections are
// open, and the idle ones, the youngest last.
type stock struct {
	open int
	idle []*link
	gone bool
}

// link is one connection.
type link struct {
	net.Conn
	stock  *stock
	addr   string
	reader *bufio.Reader
	lines  *bufio.Reader
	since  time.Duration
	until  time.Duration
	peek   func(fd uintptr)
	raw    syscall.RawConn
	quiet  bool
}

func newKept(connect time.Duration, counters *base.Counters) *kept {
	k := &kept{connect: connect, clock: base.NewRealClock(), counters: counters, stocks: map[string]*stock{}}
	patience := int((2 * connect).Milliseconds())
	k.dialer = net.Dialer{Timeout: connect, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, patience)
		}); err != nil {
			return err
		}
		return failed
	}}
	return k
}

// idleLimit is how long a connection is kept when the worker tells no time of
// its own: such a time has no whole second.
func (k *kept) idleLimit() time.Duration { return k.connect * 3 / 4 }

// idleMost bounds the time that a worker tells.
func (k *kept) idleMost() time.Duration { return 30 * k.connect }

func (k *kept) Forget(worker string) {
	k.mu.Lock()
	held := k.stocks[worker]
	if held == nil {
		k.mu.Unlock()
		return
	}
	delete(k.stocks, worker)
	held.gone = true
	idle := held.idle
	held.idle = nil
	held.open -= len(idle)
	k.mu.Unlock()
	for _, one := range idle {
		_ = one.Close()
	}
}

// take gives an idle connection that is still quiet, or the right to make one.
func (k *kept) take(worker, addr string, most int) (*link, *stock, error) {
	now := k.clock.Now()
	for {
		k.mu.Lock()
		held := k.stocks[worker]
		if held == nil {
			held = &stock{}
			k.stocks[worker] = held
		}
		last := len(held.idle) - 1
		if last < 0 {
			if most > 0 && held.open >= most {
				k.mu.Unlock()
				return nil, nil, base.ErrNoConnection
			}
			held.open++
			k.mu.Unlock()
			return nil, held, nil
		}
		one := held.idle[last]
		held.idle[last] = nil
		held.idle = held.idle[:last]
		k.mu.Unlock()
		if one.addr == addr && now < one.until && one.isQuiet() {
			k.counters.Add("connections_reused", 1)
			return one, held, nil
		}
		k.counters.Add("connections_stale", 1)
		k.drop(one)
	}
}

func (k *kept) drop(one *link) {
	_ = one.Close()
	k.released(one.stock)
}

func (k *kept) released(held *stock) {
	k.mu.Lock()
	held.open--
	k.mu.Unlock()
}

// keep puts a connection back for the span that its worker will hold it.
func (k *kept) keep(one *link, span time.Duration) {
	now := k.clock.Now()
	one.since, one.until = now, now+span
	k.mu.Lock()
	if one.stock.gone || span <= 0 {
		k.mu.Unlock()
		k.drop(one)
		return
	}
	one.stock.idle = append(one.stock.idle, one)
	if k.sweep == nil {
		k.sweep = time.AfterFunc(k.idleLimit(), k.sweepIdle)
	}
	k.mu.Unlock()
}

// sweepIdle drops the connections whose time is over, and forgets workers for
// which nothing is left.
func (k *kept) sweepIdle() {
	now := k.clock.Now()
	var over []*link
	left := 0
	k.mu.Lock()
	for worker, held := range k.stocks {
		staying := held.idle[:0]
		for _, one := range held.idle {
			if now < one.until {
				staying = append(staying, one)
			} else {
				over = append(over, one)
				held.open--
			}
		}
		clear(held.idle[len(staying):])
		held.idle = staying
		left += len(staying)
		if held.open == 0 {
			delete(k.stocks, worker)
		}
	}
	if left > 0 {
		k.sweep.Reset(k.idleLimit())
	} else {
		k.sweep = nil
	}
	k.mu.Unlock()
	for _, one := range over {
		_ = one.Close()
	}
}

func (k *kept) dial(ctx *base.Ctx, addr string, bound time.Duration, held *stock) (*link, error) {
	if bound <= 0 || bound > k.connect {
		bound = k.connect
	}
	limit, cancel := context.WithTimeout(context.Background(), min(ctx.Left(), bound))
	defer cancel()
	plain, err := k.dialer.DialContext(limit, "tcp", addr)
	if err != nil {
		return nil, err
	}
	one := &link{Conn: plain, stock: held, addr: addr, reader: bufio.NewReaderSize(plain, headLimit)}
	k.counters.Add("connections_made", 1)
	if raw, ok := plain.(syscall.Conn); ok {
		one.raw, _ = raw.SyscallConn()
	}
	var byteAhead [1]byte
	one.peek = func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), byteAhead[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		one.quiet = err == unix.EAGAIN || err == unix.EINTR
	}
	return one, nil
}

// isQuiet looks, without waiting, whether the worker has sent or ended
// anything since the last answer.
func (l *link) isQuiet() bool {
	l.quiet = false
	// Control, since the deadline of the last request may be over.
	return l.raw != nil && l.reader.Buffered() == 0 && l.raw.Control(l.peek) == nil && l.quiet
}

func (k *kept) call(ctx *base.Ctx, addr string, request *base.BackRequest) (base.BackReply, error) {
	message := appendRequest(addr, request)
	defer messages.Put(message)
	for {
		one, held, err := k.take(request.Worker, addr, request.MostConns)
		if err != nil {
			return nil, &base.NotSent{Cause: err}
		}
		fresh := one == nil
		if fresh {
			if one, err = k.dial(ctx, addr, request.Connect, held); err != nil {
				k.released(held)
				return nil, &base.NotSent{Cause: err}
			}
		}
		if ctx.Over() || (request.Stays != nil && !request.Stays()) {
			k.keepUnused(one, fresh)
			return nil, &base.NotSent{Cause: base.ErrLeaves}
		}
		_ = one.SetDeadline(after(ctx.Left()))
		sent, err := one.send(*message, request.Body)
		if err != nil {
			k.drop(one)
			if sent > 0 {
				return nil, errors.Annotate(err, "sending")
			}
			if fresh || ctx.Over() {
				return nil, &base.NotSent{Cause: err}
			}
			continue // the worker closed it; nothing left this node
		}
		reply, err := k.receive(one, request)
		if err != nil {
			k.drop(one)
			return nil, errors.Annotate(err, "awaiting the answer")
		}
		return reply, nil
	}
}

// keepUnused puts back a connection on which nothing was sent.
func (k *kept) keepUnused(one *link, fresh bool) {
	if fresh {
		k.keep(one, k.idleLimit())
		return
	}
	k.keep(one, one.until-k.clock.Now())
}

var messages = sync.Pool{New: func() any { return new([]byte) }}

// appendRequest writes the head, and the body too if it is short.
func appendRequest(addr string, request *base.BackRequest) *[]byte {
	head := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(head)
	h := &head.Header
	h.DisableNormalizing()
	h.DisableSpecialHeader()
	h.SetMethod(request.Method)
	h.SetRequestURI(request.Path)
	host := request.Host
	if host == "" {
		host = addr
	}
	h.Add("Host", host)
	for _, name := range base.SortedKeys(request.Header) {
		h.Add(name, request.Header[name])
	}
	for _, line := range request.Lines {
		h.Add(line.Name, line.Value)
	}
	if len(request.Body) > 0 || (request.Method != fasthttp.MethodGet && request.Method != fasthttp.MethodHead) {
		h.Add("Content-Length", strconv.Itoa(len(request.Body)))
	}
	message := messages.Get().(*[]byte)
	*message = h.AppendBytes((*message)[:0])
	if len(request.Body) <= joinLimit {
		*message = append(*message, request.Body...)
	}
	return message
}

// send tells how many bytes may have left.
func (l *link) send(message, body []byte) (int64, error) {
	if len(body) <= joinLimit {
		sent, err := l.Write(message)
		return int64(sent), err
	}
	parts := net.Buffers{message, body}
	return parts.WriteTo(l.Conn)
}

func (k *kept) receive(one *link, request *base.BackRequest) (*keptReply, error) {
	reply := &keptReply{kept: k, link: one}
	response := &reply.response
	response.StreamBody = true
	response.SkipBody = request.Method == fasthttp.MethodHead
	for {
		if err := response.ReadLimitBody(one.reader, 0); err != nil {
			return nil, err
		}
		if request.Match.Name == "" || string(response.Header.Peek(request.Match.Name)) == request.Match.Value {
			break
		}
		if err := reply.setAside(); err != nil {
			return nil, err
		}
	}
	reply.body = response.BodyStream()
	reply.length = response.Header.ContentLength()
	if reply.body == nil {
		reply.ended()
	}
	return reply, nil
}

// setAside reads past an answer that belongs to an earlier request: the one
// that is due may come behind it. The connection carries no other request.
func (r *keptReply) setAside() error {
	body := r.response.BodyStream()
	if r.foreign++; r.foreign > foreignMost || r.Closes() || body == nil {
		return errForeign
	}
	if read, err := io.Copy(io.Discard, io.LimitReader(body, joinLimit)); err != nil || read == joinLimit {
		return errForeign
	}
	r.response.Reset()
	r.response.StreamBody = true
	return nil
}

// keptReply is the answer under way on a kept connection.
type keptReply struct {
	kept     *kept
	link     *link
	response fasthttp.Response
	body     io.Reader
	length   int
	lined    bool
	foreign  int
	over     error // set once the end was reached
	state    atomic.Int32
}

const (
	replyOpen = iota
	replyKept
	replyClosed
)

func (r *keptReply) Status() int               { return r.response.StatusCode() }
func (r *keptReply) Header(name string) string { return string(r.response.Header.Peek(name)) }
func (r *keptReply) Closes() bool              { return r.response.ConnectionClose() }

func (r *keptReply) EachHeader(visit func(name, value []byte)) {
	for name, value := range r.response.Header.All() {
		visit(name, value)
	}
}

// ended puts the connection back, or drops it when it cannot carry another
// request.
func (r *keptReply) ended() {
	r.over = io.EOF
	if r.length == -2 && r.body != nil {
		r.over = io.ErrUnexpectedEOF
	}
	if !r.state.CompareAndSwap(replyOpen, replyKept) {
		return
	}
	one := r.link
	if r.over != io.EOF || r.Closes() || r.foreign > 0 || one.reader.Buffered() > 0 || r.Status() == fasthttp.StatusSwitchingProtocols {
		r.kept.drop(one)
		return
	}
	r.kept.keep(one, r.span())
}

// span is how long the worker will hold the connection, less a margin.
func (r *keptReply) span() time.Duration {
	for _, part := range strings.Split(string(r.response.Header.Peek("Keep-Alive")), ",") {
		told, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(told); found && err == nil {
			return min(time.Duration(seconds)*time.Second*4/5, r.kept.idleMost())
		}
	}
	return r.kept.idleLimit()
}

func (r *keptReply) failed(err error) error {
	if r.state.Load() == replyClosed {
		return errClosed
	}
	return err
}

func (r *keptReply) Line(limit time.Duration) ([]byte, error) {
	if r.over != nil {
		return nil, r.over
	}
	one := r.link
	if !r.lined {
		r.lined = true
		if one.lines == nil {
			one.lines = bufio.NewReaderSize(r.body, linesFirst)
		} else {
			one.lines.Reset(r.body)
		}
	}
	_ = one.SetReadDeadline(after(limit))
	var line []byte
	for {
		piece, err := one.lines.ReadSlice('\n')
		line = append(line, piece...)
		switch {
		case err == nil:
			return line, nil
		case err == bufio.ErrBufferFull:
			if len(line) > lineLimit {
				return nil, errors.Errorf("a line of more than %d bytes", lineLimit)
			}
		case err == io.EOF:
			r.ended()
			if len(line) > 0 {
				return line, nil
			}
			return nil, r.over
		default:
			return nil, r.failed(err)
		}
	}
}

func (r *keptReply) Body(limit time.Duration, most int) ([]byte, error) {
	switch {
	case r.body == nil:
		return nil, nil
	case r.over != nil:
		return nil, r.over
	case r.length == -2:
		return nil, errLength
	case r.length > most:
		return nil, errors.Errorf("an answer of more than %d bytes", most)
	}
	_ = r.link.SetReadDeadline(after(limit))
	var body []byte
	var err error
	if r.length >= 0 {
		body = make([]byte, r.length)
		_, err = io.ReadFull(r.body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.body, int64(most)+1))
		if err == nil && len(body) > most {
			err = errors.Errorf("an answer of more than %d bytes", most)
		}
	}
	if err != nil {
		return nil, r.failed(err)
	}
	r.ended()
	return body, nil
}

// Close ends the exchange; before the answer's end it closes the connection,
// which tells the worker to drop the request.
func (r *keptReply) Close() {
	if r.state.CompareAndSwap(replyOpen, replyClosed) {
		r.kept.drop(r.link)
	}
}
