// Clients over TCP. Each client keeps a connection for many requests or opens
// new ones; what comes on a connection is read bare, so that answers cut
// short, bytes that are no answer and answers nobody asked for are told apart.

package sockets

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// NodePicker hands a client's new connections to a node.
type NodePicker interface {
	Pick(zone, client string, again bool) (node, address string)
}

// Clients carries tries over TCP.
type Clients struct {
	Clock      base.Clock
	NodePicker NodePicker
	// KeepAliveTenths is how many clients of ten keep their connections.
	KeepAliveTenths int

	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	ahead
	node   string
	until  time.Time
	served int
}

// kept takes an idle connection of a client, if one is well.
func (c *Clients) kept(t *platform.Try) *clientConn {
	for {
		c.mu.Lock()
		list := c.idle[t.Client]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		c.idle[t.Client] = list[:len(list)-1]
		c.mu.Unlock()
		// Wake the look ahead; a time-out is what a quiet connection gives.
		_ = conn.conn.SetReadDeadline(time.Unix(1, 0))
		<-conn.done
		_ = conn.conn.SetReadDeadline(time.Time{})
		if conn.err == nil {
			t.Surplus = fmt.Sprintf("%q from %s", peeked(conn.reader), conn.node)
		}
		if !errors.Is(conn.err, os.ErrDeadlineExceeded) || !conn.until.IsZero() && time.Now().After(conn.until) {
			_ = conn.conn.Close()
			continue
		}
		return conn
	}
}

func peeked(reader *bufio.Reader) []byte {
	some, _ := reader.Peek(min(reader.Buffered(), 80))
	return some
}

func (c *Clients) put(client string, conn *clientConn) {
	conn.watch(c.Clock.NewSignal())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*clientConn{}
	}
	c.idle[client] = append(c.idle[client], conn)
}

// Close closes the idle connections, and gives what was waiting on them.
func (c *Clients) Close() (surplus []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range base.SortedKeys(c.idle) {
		for _, conn := range c.idle[client] {
			_ = conn.conn.SetReadDeadline(time.Unix(1, 0))
			<-conn.done
			if conn.err == nil {
				surplus = append(surplus, fmt.Sprintf("%q from %s", peeked(conn.reader), conn.node))
			}
			_ = conn.conn.Close()
		}
	}
	c.idle = nil
	return surplus
}

// Send sends a try and reads its answer.
func (c *Clients) Send(t *platform.Try) {
	t.Sent = c.Clock.Now()
	defer func() { t.Ended = c.Clock.Now() }()
	keeps := int(base.Hash64(t.Client)%10) < c.KeepAliveTenths && !t.Probe
	var conn *clientConn
	if keeps && !t.Fresh {
		conn = c.kept(t)
	}
	if conn == nil {
		var node, address string
		if t.Probe {
			node, address, _ = strings.Cut(t.Node, "@")
		} else {
			node, address = c.NodePicker.Pick(t.Zone, t.Client, t.Fresh)
		}
		t.Node = node
		raw, err := net.DialTimeout("tcp", address, min(platform.ConnectTimeout, t.Deadline))
		if err != nil {
			// Nobody has read what was never sent.
			t.Unread = true
			return
		}
		conn = &clientConn{ahead: ahead{conn: raw, reader: bufio.NewReaderSize(raw, 16<<10)}, node: node}
	}
	t.Node = conn.node
	if c.exchange(t, conn) && keeps {
		c.put(t.Client, conn)
		return
	}
	_ = conn.conn.Close()
}

func requestBytes(t *platform.Try) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", t.Method, t.Target, t.Host)
	for _, line := range t.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", line[0], line[1])
	}
	switch {
	case t.Chunked && len(t.Body) > 0:
		half := len(t.Body)/2 + 1
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, piece := range [][]byte{t.Body[:half], t.Body[half:]} {
			if len(piece) > 0 {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
			}
		}
		b.WriteString("0\r\n\r\n")
	case len(t.Body) > 0 || t.Method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(t.Body), t.Body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// closedUnread tells a close that left bytes unread from other ends: the
// system resets only such connections.
func closedUnread(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// exchange makes one exchange; it tells whether the connection can be kept.
func (c *Clients) exchange(t *platform.Try, conn *clientConn) (keep bool) {
	end := time.Now().Add(t.Deadline)
	_ = conn.conn.SetDeadline(end)
	if _, err := conn.conn.Write(requestBytes(t)); err != nil {
		t.Unread = closedUnread(err)
		return false
	}
	t.Written = c.Clock.Now()
	silence := t.Deadline
	if t.Kind == platform.Streaming {
		silence = platform.StreamSilenceLimit(t.Aim, t.Pause)
	}
	bear := func() { _ = conn.conn.SetReadDeadline(earlier(end, time.Now().Add(silence))) }
	if t.Kind == platform.Idempotent {
		_ = conn.conn.SetReadDeadline(time.Now().Add(platform.ReadTimeout(t.Deadline)))
		if _, err := conn.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) && !readByPeer(conn.conn) {
			t.GaveUp, t.Unread = true, true
			return false
		}
	}
	bear()
	if _, err := conn.reader.Peek(1); err != nil {
		t.GaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		t.Unread = closedUnread(err) || err == io.EOF && resetSince(conn.conn)
		return false
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: t.Method})
	if err != nil {
		c.failed(t, err)
		return false
	}
	t.Status, t.Echo, t.Seal = response.StatusCode, response.Header.Get(platform.HeaderID), response.Header.Get(platform.HeaderSeal)
	t.Encoding = response.Header.Get("Content-Encoding")
	if seconds, err := strconv.ParseFloat(response.Header.Get(platform.HeaderRetryAfter), 64); err == nil {
		t.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") && t.Kind == platform.Streaming {
		err = c.events(t, response.Body, bear)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		t.First, t.Answer = c.Clock.Now(), base.Digest(body)
	}
	if err != nil {
		c.failed(t, err)
		return false
	}
	t.Complete = true
	if conn.reader.Buffered() > 0 {
		t.Surplus = fmt.Sprintf("%q from %s", peeked(conn.reader), conn.node)
		return false
	}
	_ = conn.conn.SetDeadline(time.Time{})
	if seconds, found := strings.CutPrefix(response.Header.Get("Keep-Alive"), "timeout="); found {
		if whole, err := strconv.Atoi(seconds); err == nil {
			conn.until = time.Now().Add(time.Duration(whole) * time.Second)
		}
	}
	conn.served++
	// An answer that ends with its connection leaves none to keep.
	return !response.Close && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// failed tells a broken connection from bytes that are no answer.
func (c *Clients) failed(t *platform.Try, err error) {
	var network net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &network) && network.Timeout():
		t.GaveUp = true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), closedUnread(err), errors.Is(err, net.ErrClosed):
	default:
		t.Garbage = err.Error()
	}
}

// events reads a stream, event by event.
func (c *Clients) events(t *platform.Try, body io.Reader, bear func()) error {
	reader := bufio.NewReader(body)
	var event platform.Event
	some := false
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" && !some {
			return nil
		}
		if err == io.EOF {
			// The body ended as the protocol says, in the middle of an event.
			t.Garbage = fmt.Sprintf("a stream that ends in %q", line)
			return nil
		}
		if err != nil {
			return err
		}
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "\n" || line == "\r\n":
			if some {
				event.At = c.Clock.Now()
				if t.First == 0 {
					t.First = event.At
				}
				t.Events = append(t.Events, event)
				bear()
			}
			event, some = platform.Event{}, false
			continue
		case name == "id":
			event.ID, _ = strconv.ParseInt(value, 10, 64)
		case name == "data" && event.Data == "":
			event.Data = value
		case name == "data":
			event.Data += "\n" + value
		}
		some = true
	}
}
