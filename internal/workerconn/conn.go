package workerconn

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"fordseam/internal/base"

	"golang.org/x/sys/unix"
)

// conn is one connection to one life of a worker. It carries one request at a
// time; whoever holds it moves its state.
type conn struct {
	net.Conn
	of     *workerConns
	addr   string
	state  state
	reader *bufio.Reader
	lines  *bufio.Reader

	since  time.Duration // when it became idle
	until  time.Duration // when it is too old to be used again
	rested time.Duration // how long it was idle before its request; 0 when new

	raw   syscall.RawConn
	peek  func(fd uintptr)
	quiet bool
}

func (c *conn) move(e event) { c.state = c.state.next(e) }

// newDialer makes connections whose sent bytes must be acknowledged within
// twice the bound for making one: a worker that fell silent is found by that.
func newDialer(connect time.Duration) *net.Dialer {
	patience := int((2 * connect).Milliseconds())
	return &net.Dialer{Timeout: connect, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, patience)
		}); err != nil {
			return err
		}
		return failed
	}}
}

// dial makes a connection within the bound, or within the pool's own when that
// is 0 or longer.
func (p *pool) dial(ctx *base.Ctx, addr string, bound time.Duration, of *workerConns) (*conn, error) {
	if bound <= 0 || bound > p.connect {
		bound = p.connect
	}
	limit, cancel := context.WithTimeout(context.Background(), min(ctx.Left(), bound))
	defer cancel()
	plain, err := p.dialTo(limit, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.counters.Add("connections_made", 1)
	return newConn(plain, addr, of), nil
}

func newConn(plain net.Conn, addr string, of *workerConns) *conn {
	c := &conn{Conn: plain, of: of, addr: addr, reader: bufio.NewReaderSize(plain, headLimit)}
	if raw, ok := plain.(syscall.Conn); ok {
		c.raw, _ = raw.SyscallConn() // nil, and so never quiet, when it fails
	}
	var ahead [1]byte
	c.peek = func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), ahead[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		c.quiet = err == unix.EAGAIN || err == unix.EINTR
	}
	return c
}

// isQuiet looks, without waiting, whether the worker has sent or ended
// anything since the last answer.
func (c *conn) isQuiet() bool {
	c.quiet = false
	// Control, since the deadline of the last request may be over.
	return c.raw != nil && c.reader.Buffered() == 0 && c.raw.Control(c.peek) == nil && c.quiet
}
