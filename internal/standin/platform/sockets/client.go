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

// NodePicker chooses the node for a client's new connection. A retry goes to another
// node than the first attempt.
type NodePicker interface {
	Pick(zone, client string, retry bool) (node, address string)
}

// Clients sends attempts of requests over TCP. A client either keeps its connection
// for many requests or opens a new one for each. Responses are read from the
// connection without an HTTP client, to distinguish truncated responses, bytes
// that are not a response, and responses to no request.
type Clients struct {
	Clock      base.Clock
	NodePicker NodePicker
	// KeepAliveTenths is how many of ten clients keep their connections.
	KeepAliveTenths int
	// SendPause and ReadPause, if set, return how long a client pauses in the middle of
	// sending a request, and after it has read the head of a response; 0 is no pause.
	SendPause, ReadPause func() time.Duration

	mu        sync.Mutex
	idleConns map[string][]*clientConn
}

// clientConn is a connection to a node. idleDeadline is set if the node announced
// an idle timeout.
type clientConn struct {
	peekConn
	node           string
	idleDeadline   time.Time
	servedRequests int
}

// takeIdle returns an idle connection of the client, or nil if it has none that is
// still usable. It records bytes that came on an idle connection as surplus.
func (c *Clients) takeIdle(t *platform.Try) *clientConn {
	for {
		c.mu.Lock()
		conns := c.idleConns[t.Client]
		if len(conns) == 0 {
			c.mu.Unlock()
			return nil
		}
		conn := conns[len(conns)-1]
		c.idleConns[t.Client] = conns[:len(conns)-1]
		c.mu.Unlock()
		// Interrupt the pending peek. It ends with a timeout if the connection is
		// open and nothing came.
		_ = conn.conn.SetReadDeadline(time.Unix(1, 0))
		<-conn.peeked
		_ = conn.conn.SetReadDeadline(time.Time{})
		if conn.peekErr == nil {
			t.Surplus = fmt.Sprintf("%q from %s", peekBuffered(conn.reader), conn.node)
		}
		if !errors.Is(conn.peekErr, os.ErrDeadlineExceeded) || !conn.idleDeadline.IsZero() && time.Now().After(conn.idleDeadline) {
			_ = conn.conn.Close()
			continue
		}
		return conn
	}
}

// peekBuffered returns up to 80 of the buffered bytes.
func peekBuffered(reader *bufio.Reader) []byte {
	buffered, _ := reader.Peek(min(reader.Buffered(), 80))
	return buffered
}

// putIdle keeps a connection for the client's next attempt. It starts a peek to
// notice bytes that come, or a close, while the connection is idle.
func (c *Clients) putIdle(client string, conn *clientConn) {
	conn.startPeek(c.Clock.NewSignal())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleConns == nil {
		c.idleConns = map[string][]*clientConn{}
	}
	c.idleConns[client] = append(c.idleConns[client], conn)
}

// Close closes the idle connections and returns a description of the bytes that
// had come on them.
func (c *Clients) Close() (surplus []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range base.SortedKeys(c.idleConns) {
		for _, conn := range c.idleConns[client] {
			_ = conn.conn.SetReadDeadline(time.Unix(1, 0))
			<-conn.peeked
			if conn.peekErr == nil {
				surplus = append(surplus, fmt.Sprintf("%q from %s", peekBuffered(conn.reader), conn.node))
			}
			_ = conn.conn.Close()
		}
	}
	c.idleConns = nil
	return surplus
}

// Send makes an attempt: it sends the request, reads the response and records in t
// what came of it. It uses an idle connection of the client if there is one and the
// attempt does not require a new connection (Fresh); probes always use a new one.
func (c *Clients) Send(t *platform.Try) {
	t.Sent = c.Clock.Now()
	defer func() { t.Ended = c.Clock.Now() }()
	keepAlive := int(base.Hash64(t.Client)%10) < c.KeepAliveTenths && !t.Probe
	var conn *clientConn
	if keepAlive && !t.Fresh {
		conn = c.takeIdle(t)
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
			// Nothing was sent, so nothing was read.
			t.Unread = true
			return
		}
		conn = &clientConn{peekConn: peekConn{conn: raw, reader: bufio.NewReaderSize(raw, 16<<10)}, node: node}
	}
	t.Node = conn.node
	if c.roundTrip(t, conn) && keepAlive {
		c.putIdle(t.Client, conn)
		return
	}
	_ = conn.conn.Close()
}

// encodeRequest returns the request as HTTP/1.1. A chunked body has two chunks.
func encodeRequest(t *platform.Try) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", t.Method, t.Target, t.Host)
	for _, field := range t.Header {
		fmt.Fprintf(&buffer, "%s: %s\r\n", field[0], field[1])
	}
	switch {
	case t.Chunked && len(t.Body) > 0:
		half := len(t.Body)/2 + 1
		buffer.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, chunk := range [][]byte{t.Body[:half], t.Body[half:]} {
			if len(chunk) > 0 {
				fmt.Fprintf(&buffer, "%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		buffer.WriteString("0\r\n\r\n")
	case len(t.Body) > 0 || t.Method != "GET":
		fmt.Fprintf(&buffer, "Content-Length: %d\r\n\r\n%s", len(t.Body), t.Body)
	default:
		buffer.WriteString("\r\n")
	}
	return buffer.Bytes()
}

// closedWithUnreadData reports whether an error shows that the peer closed the
// connection with unread bytes in its receive buffer. The kernel sends a reset for
// such a close, and a FIN for any other.
func closedWithUnreadData(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// roundTrip sends a request and reads its response. It reports whether the
// connection can be reused.
func (c *Clients) roundTrip(t *platform.Try, conn *clientConn) (reusable bool) {
	deadline := time.Now().Add(t.Deadline)
	_ = conn.conn.SetDeadline(deadline)
	if err := c.write(conn.conn, encodeRequest(t)); err != nil {
		t.Unread = closedWithUnreadData(err)
		return false
	}
	t.Written = c.Clock.Now()
	maxSilence := t.Deadline
	if t.Kind == platform.Streaming {
		maxSilence = platform.StreamSilenceLimit(t.Aim, t.Pause)
	}
	extendReadDeadline := func() { _ = conn.conn.SetReadDeadline(earlier(deadline, time.Now().Add(maxSilence))) }
	if t.Kind == platform.Idempotent {
		_ = conn.conn.SetReadDeadline(time.Now().Add(platform.ReadTimeout(t.Deadline)))
		if _, err := conn.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) && !peerReadAll(conn.conn) {
			t.GaveUp, t.Unread = true, true
			return false
		}
	}
	extendReadDeadline()
	if _, err := conn.reader.Peek(1); err != nil {
		t.GaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		t.Unread = closedWithUnreadData(err) || err == io.EOF && peerReset(conn.conn)
		return false
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: t.Method})
	if err != nil {
		c.recordReadError(t, err)
		return false
	}
	t.Status, t.Echo, t.Seal = response.StatusCode, response.Header.Get(platform.HeaderID), response.Header.Get(platform.HeaderSeal)
	t.Encoding = response.Header.Get("Content-Encoding")
	if seconds, err := strconv.ParseFloat(response.Header.Get(platform.HeaderRetryAfter), 64); err == nil {
		t.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if c.ReadPause != nil {
		c.Clock.Sleep(c.ReadPause())
		extendReadDeadline()
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") && t.Kind == platform.Streaming {
		err = c.readEvents(t, response.Body, extendReadDeadline)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		t.First, t.Answer = c.Clock.Now(), base.Digest(body)
	}
	if err != nil {
		c.recordReadError(t, err)
		return false
	}
	t.Complete = true
	if conn.reader.Buffered() > 0 {
		t.Surplus = fmt.Sprintf("%q from %s", peekBuffered(conn.reader), conn.node)
		return false
	}
	_ = conn.conn.SetDeadline(time.Time{})
	if seconds, found := strings.CutPrefix(response.Header.Get("Keep-Alive"), "timeout="); found {
		if timeout, err := strconv.Atoi(seconds); err == nil {
			conn.idleDeadline = time.Now().Add(time.Duration(timeout) * time.Second)
		}
	}
	conn.servedRequests++
	// A response that is delimited by the end of the connection cannot be followed
	// by another.
	return !response.Close && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
}

// write sends a request, with a pause in its middle if there is to be one.
func (c *Clients) write(conn net.Conn, request []byte) error {
	if c.SendPause != nil {
		if pause := c.SendPause(); pause > 0 {
			half := len(request) / 2
			if _, err := conn.Write(request[:half]); err != nil {
				return err
			}
			c.Clock.Sleep(pause)
			request = request[half:]
		}
	}
	_, err := conn.Write(request)
	return err
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordReadError records why a response could not be read: a timeout, a broken
// connection (which sets nothing), or bytes that are not a valid response.
func (c *Clients) recordReadError(t *platform.Try, err error) {
	var netErr net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout():
		t.GaveUp = true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), closedWithUnreadData(err), errors.Is(err, net.ErrClosed):
	default:
		t.Garbage = err.Error()
	}
}

// readEvents reads the server-sent events of a stream and records them. It extends
// the read deadline after each.
func (c *Clients) readEvents(t *platform.Try, body io.Reader, extendReadDeadline func()) error {
	reader := bufio.NewReader(body)
	var event platform.Event
	eventStarted := false
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" && !eventStarted {
			return nil
		}
		if err == io.EOF {
			// HTTP framing says that the body is complete, but it ends within an event.
			t.Garbage = fmt.Sprintf("stream ended within an event, last line %q", line)
			return nil
		}
		if err != nil {
			return err
		}
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "\n" || line == "\r\n":
			if eventStarted {
				event.At = c.Clock.Now()
				if t.First == 0 {
					t.First = event.At
				}
				t.Events = append(t.Events, event)
				extendReadDeadline()
			}
			event, eventStarted = platform.Event{}, false
			continue
		case name == "id":
			event.ID, _ = strconv.ParseInt(value, 10, 64)
		case name == "data" && event.Data == "":
			event.Data = value
		case name == "data":
			event.Data += "\n" + value
		}
		eventStarted = true
	}
}
