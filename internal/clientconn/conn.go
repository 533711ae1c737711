package clientconn

import (
	"net"
	"sync/atomic"
	"time"

	"fordseam/internal/memory"
)

// freeBufferBytes is how much of the server's buffer of a connection a request may use before
// the connection counts to the memory.
const freeBufferBytes = 8 << 10

// conn is a client connection. Its buffer in the server, of at most memory.SmallBytes, counts to
// the memory once a request has used more than a little of it, until the connection is closed:
// the server keeps it. While no request is being served, the connection gives way to others.
type conn struct {
	net.Conn
	tracker *Tracker
	lease   *memory.Lease

	received     int // of the current request; used by the server's goroutine alone
	counted      atomic.Bool
	writingSince atomic.Int64 // clock reading, 0 if no write is in progress
}

// Read reads from the client, and fails if there is no memory for what was read.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received += n
	if c.received > freeBufferBytes && !c.counted.Load() {
		if leaseErr := c.lease.Admit(memory.SmallBytes, 0); leaseErr != nil {
			return 0, leaseErr
		}
		c.counted.Store(true)
		c.lease.SetRevocable(c.closeSocket)
	}
	return n, err
}

// Write writes to the client. CloseExpired ends a write that the client does not read.
func (c *conn) Write(data []byte) (int, error) {
	c.writingSince.Store(int64(c.tracker.clock.Now()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(data)
}

// blockedFor returns how long a write has been in progress, 0 if none is.
func (c *conn) blockedFor(now time.Duration) time.Duration {
	since := time.Duration(c.writingSince.Load())
	if since == 0 {
		return 0
	}
	return now - since
}

func (c *conn) closeSocket() { _ = c.Conn.Close() }

// setState follows the state of the connection.
func (c *conn) setState(s state) {
	switch s {
	case stateClosed:
		c.lease.Release()
	case stateServing:
		c.setRevocable(nil)
	case stateIdle:
		c.received = 0
		c.setRevocable(c.closeSocket)
	}
}

func (c *conn) setRevocable(onRevoke func()) {
	if c.counted.Load() {
		c.lease.SetRevocable(onRevoke)
	}
}

// listener wraps the connections of a server.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, tracker: l.tracker, lease: l.tracker.newLease()}, nil
}

// Listen returns a listener whose connections count to the tracker's memory. The server that
// the tracker is attached to must accept from it.
func (t *Tracker) Listen(inner net.Listener) net.Listener { return &listener{inner, t} }
