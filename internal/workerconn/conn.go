package workerconn

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/tcp"

	"golang.org/x/sys/unix"
)

// conn is a connection to one incarnation of a worker. It carries one request at
// a time; only its current holder changes its state.
type conn struct {
	net.Conn
	owner      *workerConns
	addr       string
	state      state
	metered    *meteredConn
	reader     *bufio.Reader // reads from metered
	lineReader *bufio.Reader // reads the lines of a streamed body; nil until needed

	idleSince time.Duration // when it became idle
	expiresAt time.Duration // when it must not be used any more
	idleFor   time.Duration // how long it was idle before the current request; 0 if it is new

	rawConn  syscall.RawConn
	peekFunc func(fd uintptr)
	silent   bool // set by peekFunc: nothing to read
}

// apply moves the connection's state on an event.
func (c *conn) apply(e event) { c.state = c.state.next(e) }

// receiveBufferBytes bounds what a worker can send ahead of its reader.
const receiveBufferBytes = 1 << 20

// newDialer returns a dialer whose connections fail if sent bytes are not
// acknowledged within twice the dial timeout. That detects workers that have
// become unreachable.
func newDialer(dialTimeout time.Duration) *net.Dialer {
	dialer := tcp.NewDialer(dialTimeout, tcp.UserTimeout(2*dialTimeout), tcp.ReceiveBuffer(receiveBufferBytes))
	dialer.KeepAlive = -1
	return dialer
}

// dial makes a connection within timeout, or within the pool's dial timeout if
// timeout is 0 or longer than that.
func (p *pool) dial(ctx *base.Ctx, addr string, timeout time.Duration, owner *workerConns) (*conn, error) {
	if timeout <= 0 || timeout > p.dialTimeout {
		timeout = p.dialTimeout
	}
	dialCtx, cancel := context.WithTimeout(context.Background(), min(ctx.Remaining(), timeout))
	defer cancel()
	netConn, err := p.dialContext(dialCtx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.counters.Add("connections_made", 1)
	return newConn(netConn, addr, owner), nil
}

// newConn wraps a new network connection.
func newConn(netConn net.Conn, addr string, owner *workerConns) *conn {
	metered := &meteredConn{Conn: netConn}
	c := &conn{Conn: netConn, owner: owner, addr: addr, metered: metered, reader: bufio.NewReaderSize(metered, maxHeaderBytes)}
	if sysConn, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = sysConn.SyscallConn() // nil if it fails; isSilent is then always false
	}
	var buf [1]byte
	c.peekFunc = func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		c.silent = err == unix.EAGAIN || err == unix.EINTR
	}
	return c
}

// isSilent reports, without blocking, whether the worker has neither sent bytes
// nor closed the connection since the last response.
func (c *conn) isSilent() bool {
	c.silent = false
	// Control rather than Read, because the deadline of the previous request may
	// have passed.
	return c.rawConn != nil && c.reader.Buffered() == 0 && c.rawConn.Control(c.peekFunc) == nil && c.silent
}
