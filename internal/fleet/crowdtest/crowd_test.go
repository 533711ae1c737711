package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

const (
	// crowdSize is how many clients send bodies at once. Their bodies together are larger than
	// the memory of a machine.
	crowdSize = 60
	// triesPerClient is how often a client of a crowd connects again after it was refused.
	triesPerClient = 3
	// sendTimeout bounds the time that a client of a crowd sends.
	sendTimeout = 15 * time.Second
)

var lastID atomic.Int64

// newID returns a name that was not used before.
func newID() string { return fmt.Sprintf("crowd-%d-%d", time.Now().UnixNano(), lastID.Add(1)) }

// payload is the content of bodies, as long as the longest piece that is written at once.
var payload = bytes.Repeat([]byte("x"), bodyLimit)

// bodyKind is a way in which a crowd sends bodies.
type bodyKind struct {
	name    string
	framing string // the header field that frames the body
	// write sends the body, for as long as the connection takes it.
	write func(w io.Writer) error
}

// bodyKinds are the ways in which crowds send bodies. All but the last stop before the end.
var bodyKinds = []bodyKind{
	{"chunks_of_64_KiB", "Transfer-Encoding: chunked", func(w io.Writer) error { return writeChunks(w, bodyLimit-1, 64<<10) }},
	{"chunks_of_64_bytes", "Transfer-Encoding: chunked", func(w io.Writer) error { return writeChunks(w, bodyLimit-1, 64) }},
	{"chunks_far_over_the_limit", "Transfer-Encoding: chunked", func(w io.Writer) error { return writeChunks(w, 4*bodyLimit, 64<<10) }},
	{"announced_far_over_the_limit", fmt.Sprintf("Content-Length: %d", 64*bodyLimit), func(w io.Writer) error { return writePieces(w, 4*bodyLimit, bodyLimit) }},
	{"announced_at_once", fmt.Sprintf("Content-Length: %d", bodyLimit), func(w io.Writer) error { return writePieces(w, bodyLimit-1, bodyLimit) }},
	{"announced_in_pieces_of_4_KiB", fmt.Sprintf("Content-Length: %d", bodyLimit), func(w io.Writer) error { return writePieces(w, bodyLimit-1, 4<<10) }},
	{"whole", fmt.Sprintf("Content-Length: %d", bodyLimit), func(w io.Writer) error { return writePieces(w, bodyLimit, bodyLimit) }},
}

// writePieces writes size bytes in pieces.
func writePieces(w io.Writer, size, piece int) error {
	for size > 0 {
		written, err := w.Write(payload[:min(size, piece)])
		if err != nil {
			return err
		}
		size -= written
	}
	return nil
}

// writeChunks writes size bytes as chunks, without the chunk that ends a body. Many small
// chunks are written at once, as a client with a buffer does.
func writeChunks(w io.Writer, size, chunk int) error {
	const bufferSize = 64 << 10
	var buffer bytes.Buffer
	for size > 0 {
		length := min(size, chunk)
		fmt.Fprintf(&buffer, "%x\r\n%s\r\n", length, payload[:length])
		size -= length
		if buffer.Len() < bufferSize && size > 0 {
			continue
		}
		if _, err := w.Write(buffer.Bytes()); err != nil {
			return err
		}
		buffer.Reset()
	}
	return nil
}

// crowd is a group of connections that stay open until the end of a test.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// connect opens a connection that stays open until close.
func (c *crowd) connect(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	return conn, conn.SetDeadline(time.Now().Add(sendTimeout))
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// sendAll has crowdSize clients send a body each. It returns when each has sent all it will or
// was refused in all its tries; the connections are still open then.
func (c *crowd) sendAll(address string, head func() string, kind bodyKind) {
	var group sync.WaitGroup
	for range crowdSize {
		group.Add(1)
		go func() {
			defer group.Done()
			for range triesPerClient {
				conn, err := c.connect(address)
				if err != nil {
					continue
				}
				if _, err := io.WriteString(conn, head()+kind.framing+"\r\n\r\n"); err != nil {
					continue
				}
				if kind.write(conn) == nil {
					return
				}
			}
		}()
	}
	group.Wait()
}

// plainHead returns a request's head up to the field that frames its body.
func plainHead(method, path string) func() string {
	return func() string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: crowd.example\r\nContent-Type: application/protobuf\r\n", method, path)
	}
}

// clientHead returns the head of a client's request of a class, like plainHead.
func (f *testFleet) clientHead(class string) func() string {
	return func() string { return f.requestHead(class, turnNames{id: newID(), program: newID()}) }
}

// turnHead returns the head of a given turn, like plainHead.
func (f *testFleet) turnHead(names turnNames) string { return f.requestHead(retainedClass, names) }

// requestHead returns the head of a request of a class.
func (f *testFleet) requestHead(class string, names turnNames) string {
	route := f.Route(class)
	var head strings.Builder
	fmt.Fprintf(&head, "POST %sx HTTP/1.1\r\nHost: %s\r\n", route.Prefix, route.Host)
	for _, field := range f.headerFields(class, names) {
		fmt.Fprintf(&head, "%s: %s\r\n", field[0], field[1])
	}
	return head.String()
}

// port is a port of a machine that reads bodies.
type port struct {
	name    string
	class   string // of its machine
	address func(f *testFleet) string
	head    func(f *testFleet) func() string
}

// ports are all ports that read bodies.
var ports = []port{
	{"edge_public", platform.ClassEdge, func(f *testFleet) string { return f.Machines(platform.ClassEdge)[0].Front }, func(f *testFleet) func() string { return f.clientHead(singleClass) }},
	{"edge_readiness", platform.ClassEdge, func(f *testFleet) string { return f.Machines(platform.ClassEdge)[0].Readiness }, func(*testFleet) func() string { return plainHead("GET", platform.PathReadiness) }},
	{"edge_nodes", platform.ClassEdge, func(f *testFleet) string { return f.Machines(platform.ClassEdge)[0].Internal }, func(*testFleet) func() string { return plainHead("POST", "/twirp/fordseam.line.Owner/Forward") }},
	{"core_control", platform.ClassCore, func(f *testFleet) string { return f.Machines(platform.ClassCore)[0].Control }, func(*testFleet) func() string { return plainHead("PUT", platform.PathConfig) }},
	{"core_nodes", platform.ClassCore, func(f *testFleet) string { return f.Machines(platform.ClassCore)[0].Internal }, func(*testFleet) func() string { return plainHead("POST", "/twirp/fordseam.register.Register/Change") }},
	{"storage_nodes", platform.ClassStorage, func(f *testFleet) string { return f.Machines(platform.ClassStorage)[0].Internal }, func(*testFleet) func() string { return plainHead("POST", "/twirp/fordseam.ledger.Ledger/Finish") }},
}

// TestCrowdOfBodies guards against processes that keep all bodies that clients are sending.
func TestCrowdOfBodies(t *testing.T) {
	for _, port := range ports {
		for _, kind := range bodyKinds {
			t.Run(port.name+"_"+kind.name, func(t *testing.T) {
				f, clients := startFleet(t), &crowd{}
				defer clients.close()
				clients.sendAll(port.address(f), port.head(f), kind)
				f.checkOrdinaryCallers()
				f.checkLimits()
			})
		}
	}
}

// TestLargestRequestIsServedInCalm guards against limits that refuse a single legal request.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	f := startFleet(t)
	for _, class := range []string{repeatableClass, singleClass, retainedClass} {
		for _, m := range f.Machines(platform.ClassEdge) {
			if status, err := f.send(m.Front, class, fasthttp.MethodPost, payload, ""); status != fasthttp.StatusOK || err != nil {
				t.Errorf("%s, %s: status %d, error %v", m.Name, class, status, err)
			}
		}
	}
	f.checkLimits()
}
