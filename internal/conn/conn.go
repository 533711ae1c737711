// Package conn carries node-to-node traffic over gnet. gnet speaks in
// events; net/http, which twirp stands on, speaks in net.Conn and
// net.Listener. The one adapter here joins the two: bytes that arrive in an
// event go to a buffer that Read waits on, Write hands bytes to the event
// loop and waits until it took them, and deadlines wake both.
package conn

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// unreadLimit bounds the bytes of a connection that nobody has read, and with
// them the size of one message.
const unreadLimit = 64 << 20

// eventConn is a net.Conn over a connection of an event loop.
type eventConn struct {
	raw    gnet.Conn
	local  net.Addr
	remote net.Addr

	mu        sync.Mutex
	changed   *sync.Cond
	state     state
	unread    []byte
	readEnd   deadline
	writeEnd  deadline
	closeOnce sync.Once
}

// deadline wakes waiters at a moment. It belongs to its connection's lock.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(at time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if at.IsZero() {
		return
	}
	if left := time.Until(at); left > 0 {
		d.timer = time.AfterFunc(left, wake)
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newEventConn(local, remote net.Addr) *eventConn {
	c := &eventConn{local: local, remote: remote}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *eventConn) wake() {
	c.mu.Lock()
	c.changed.Broadcast()
	c.mu.Unlock()
}

// Read gives bytes that have arrived, also after the peer has closed; after a
// Close by this side it gives nothing more.
func (c *eventConn) Read(into []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.state == stateClosing:
			return 0, net.ErrClosed
		case c.readEnd.passed():
			return 0, os.ErrDeadlineExceeded
		case len(c.unread) > 0:
			n := copy(into, c.unread)
			c.unread = c.unread[n:]
			return n, nil
		case c.state == stateClosed:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

// Write hands the data to the event loop and waits until the socket took it.
// It tells 0 bytes only where it is certain that none has left or will leave.
func (c *eventConn) Write(data []byte) (int, error) {
	outcome, err := c.queue(data)
	return outcome.written(len(data)), err
}

// queue does the work of Write, and says what became of the data.
func (c *eventConn) queue(data []byte) (writeState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateOpen {
		return writeRefused, net.ErrClosed
	}
	outcome := writeQueued
	var failed error
	// A queued write goes ahead of a close that was asked for before it, so it
	// is queued under the lock that Close takes as well.
	err := c.raw.AsyncWrite(append([]byte(nil), data...), func(_ gnet.Conn, err error) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		outcome = writeTaken
		if err != nil {
			outcome = writeRefused
		}
		failed = err
		c.changed.Broadcast()
		return nil
	})
	if err != nil {
		return writeRefused, err
	}
	for outcome == writeQueued {
		switch {
		case c.state != stateOpen:
			return writeQueued, net.ErrClosed
		case c.writeEnd.passed():
			return writeQueued, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	return outcome, failed
}

// Close ends the connection; it may be called more than once.
func (c *eventConn) Close() error {
	c.move(eventClose)
	c.closeOnce.Do(func() { _ = c.raw.Close() }) // the loop tells its end by OnClose
	return nil
}

// move takes the connection on, and lets go of its timers.
func (c *eventConn) move(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = c.state.next(e)
	c.readEnd.set(time.Time{}, nil)
	c.writeEnd.set(time.Time{}, nil)
	c.changed.Broadcast()
}

// LocalAddr is this side's address.
func (c *eventConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the peer's address.
func (c *eventConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline bounds reads and writes.
func (c *eventConn) SetDeadline(at time.Time) error {
	_ = c.SetReadDeadline(at) // cannot fail
	return c.SetWriteDeadline(at)
}

// SetReadDeadline bounds reads, also those under way.
func (c *eventConn) SetReadDeadline(at time.Time) error {
	return c.setDeadline(&c.readEnd, at)
}

// SetWriteDeadline bounds writes, also those under way.
func (c *eventConn) SetWriteDeadline(at time.Time) error {
	return c.setDeadline(&c.writeEnd, at)
}

func (c *eventConn) setDeadline(of *deadline, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	of.set(at, c.wake)
	c.changed.Broadcast()
	return nil
}

// arrived keeps bytes for Read, and says whether there is room for more.
func (c *eventConn) arrived(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = append(c.unread, data...)
	c.changed.Broadcast()
	return len(c.unread) <= unreadLimit
}

// events joins an event loop to its connections.
type events struct {
	gnet.BuiltinEventEngine
	booted chan gnet.Engine
	opened func(*eventConn)
}

// OnBoot hands the engine on.
func (e *events) OnBoot(engine gnet.Engine) gnet.Action {
	e.booted <- engine
	return gnet.None
}

// OnOpen joins a new connection to its net.Conn.
func (e *events) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	c, ok := raw.Context().(*eventConn)
	if !ok {
		c = newEventConn(raw.LocalAddr(), raw.RemoteAddr())
		raw.SetContext(c)
	}
	c.raw = raw
	if e.opened != nil {
		e.opened(c)
	}
	return nil, gnet.None
}

// OnTraffic takes what arrived.
func (e *events) OnTraffic(raw gnet.Conn) gnet.Action {
	c, ok := raw.Context().(*eventConn)
	if !ok {
		return gnet.Close
	}
	data, _ := raw.Next(-1) // all there is: it cannot fail
	if !c.arrived(data) {
		return gnet.Close
	}
	return gnet.None
}

// OnClose tells the end of a connection.
func (e *events) OnClose(raw gnet.Conn, _ error) gnet.Action {
	if c, ok := raw.Context().(*eventConn); ok {
		c.move(eventGone)
	}
	return gnet.None
}
