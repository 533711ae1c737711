// Package conn is the client side of the transport between nodes: an HTTP client whose
// connections are run by gnet event loops. (A server must be able to leave bytes unread in the
// socket, which an event loop of gnet cannot, so servers use ordinary connections.) gnet
// reports events, while net/http, which twirp uses, expects net.Conn. eventConn adapts one to the other:
// received bytes go to a buffer from which Read returns them, Write queues bytes in the
// event loop and waits until the socket has accepted them, and deadlines wake both.
//
// Errors of the client tell whether any byte of a request may have been sent, since
// a request that was not sent can always be repeated.
package conn

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// maxWriteBytes is the largest part of the data that is queued in the event loop at once.
const maxWriteBytes = 256 << 10

// maxUnreadBytes bounds the received bytes of a connection that are not read yet, and
// with them the size of one message.
const maxUnreadBytes = 64 << 20

// eventConn is a net.Conn over a connection of a gnet event loop.
type eventConn struct {
	raw    gnet.Conn
	local  net.Addr
	remote net.Addr

	mu            sync.Mutex
	cond          *sync.Cond
	state         state
	unread        []byte
	readDeadline  deadline
	writeDeadline deadline
	closeOnce     sync.Once
}

// deadline is a read or write deadline whose timer wakes waiters. It is guarded by its
// connection's lock.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// set replaces the deadline; the zero time removes it. A timer calls wake when it
// expires.
func (d *deadline) set(at time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if at.IsZero() {
		return
	}
	if remaining := time.Until(at); remaining > 0 {
		d.timer = time.AfterFunc(remaining, wake)
	}
}

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newEventConn(local, remote net.Addr) *eventConn {
	c := &eventConn{local: local, remote: remote}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// wake wakes all waiting reads and writes.
func (c *eventConn) wake() {
	c.mu.Lock()
	c.cond.Broadcast()
	c.mu.Unlock()
}

// Read returns received bytes, also after the peer has closed the connection. After
// Close it returns none.
func (c *eventConn) Read(buffer []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.state == stateClosing:
			return 0, net.ErrClosed
		case c.readDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		case len(c.unread) > 0:
			n := copy(buffer, c.unread)
			c.unread = c.unread[n:]
			return n, nil
		case c.state == stateClosed:
			return 0, io.EOF
		}
		c.cond.Wait()
	}
}

// Write queues the data in the event loop, a part at a time, and waits until the event loop
// has taken each. It returns 0 only if no byte was or will be sent; see
// writeOutcome.possiblySent.
func (c *eventConn) Write(data []byte) (int, error) {
	sent := 0
	for {
		part := data[sent:min(len(data), sent+maxWriteBytes)]
		outcome, err := c.write(part)
		sent += outcome.possiblySent(len(part))
		if err != nil || sent == len(data) {
			return sent, err
		}
	}
}

// write implements Write and returns the outcome.
func (c *eventConn) write(data []byte) (writeOutcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateOpen {
		return writeNotSent, net.ErrClosed
	}
	outcome := writePending
	var writeErr error
	// The event loop runs a queued write even ahead of a close that was requested
	// before it. The write is therefore queued under the lock that Close takes, so
	// that none is queued after a close.
	err := c.raw.AsyncWrite(append([]byte(nil), data...), func(_ gnet.Conn, err error) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		outcome = writeAccepted
		if err != nil {
			outcome = writeNotSent
		}
		writeErr = err
		c.cond.Broadcast()
		return nil
	})
	if err != nil {
		return writeNotSent, err
	}
	for outcome == writePending {
		switch {
		case c.state != stateOpen:
			return writePending, net.ErrClosed
		case c.writeDeadline.expired():
			return writePending, os.ErrDeadlineExceeded
		}
		c.cond.Wait()
	}
	return outcome, writeErr
}

// Close closes the connection. It may be called more than once.
func (c *eventConn) Close() error {
	c.transition(eventLocalClose)
	c.closeOnce.Do(func() { _ = c.raw.Close() }) // the event loop reports the end to OnClose
	return nil
}

// transition moves the connection to its next state, removes the deadlines and wakes
// all waiters.
func (c *eventConn) transition(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = c.state.next(e)
	c.readDeadline.set(time.Time{}, nil)
	c.writeDeadline.set(time.Time{}, nil)
	c.cond.Broadcast()
}

// LocalAddr returns this side's address.
func (c *eventConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the peer's address.
func (c *eventConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and the write deadline.
func (c *eventConn) SetDeadline(at time.Time) error {
	_ = c.SetReadDeadline(at) // cannot fail
	return c.SetWriteDeadline(at)
}

// SetReadDeadline sets the deadline of reads, including those in progress.
func (c *eventConn) SetReadDeadline(at time.Time) error {
	return c.setDeadline(&c.readDeadline, at)
}

// SetWriteDeadline sets the deadline of writes, including those in progress.
func (c *eventConn) SetWriteDeadline(at time.Time) error {
	return c.setDeadline(&c.writeDeadline, at)
}

func (c *eventConn) setDeadline(d *deadline, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.set(at, c.wake)
	c.cond.Broadcast()
	return nil
}

// receive buffers bytes for Read, and reports whether the buffer is within its limit.
func (c *eventConn) receive(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = append(c.unread, data...)
	c.cond.Broadcast()
	return len(c.unread) <= maxUnreadBytes
}

// eventHandler passes the events of event loops to their connections.
type eventHandler struct {
	gnet.BuiltinEventEngine
}

// OnOpen links a connection of an event loop to its eventConn.
func (*eventHandler) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	c, ok := raw.Context().(*eventConn)
	if !ok {
		return nil, gnet.Close
	}
	c.raw = raw
	return nil, gnet.None
}

// OnTraffic passes received bytes to the connection, and closes it if too many are
// unread.
func (*eventHandler) OnTraffic(raw gnet.Conn) gnet.Action {
	c, ok := raw.Context().(*eventConn)
	if !ok {
		return gnet.Close
	}
	data, _ := raw.Next(-1) // everything available; cannot fail
	if !c.receive(data) {
		return gnet.Close
	}
	return gnet.None
}

// OnClose reports the end of the socket to the connection.
func (*eventHandler) OnClose(raw gnet.Conn, _ error) gnet.Action {
	if c, ok := raw.Context().(*eventConn); ok {
		c.transition(eventSocketClosed)
	}
	return gnet.None
}
