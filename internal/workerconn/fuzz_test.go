package workerconn

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"fordseam/internal/base"
)

// bytesConn reads from prepared bytes, then io.EOF.
type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (c *bytesConn) Read(into []byte) (int, error)      { return c.reader.Read(into) }
func (c *bytesConn) SetReadDeadline(at time.Time) error { return nil }
func (c *bytesConn) Close() error                       { return nil }

const fuzzMaxBody = 1 << 16

// readReply reads raw as the response to a request with the id r1. used is how
// many bytes of raw were consumed, and pooled whether the connection was returned to the pool.
func readReply(raw []byte) (status int, body []byte, used int, pooled bool, err error) {
	reader := bytes.NewReader(raw)
	p := newPool(time.Second, base.NewCounters())
	entry := &workerConns{open: 1}
	c := newConn(&bytesConn{reader: reader}, "", entry)
	c.apply(eventSend)
	c.apply(eventSent)
	request := &base.BackendRequest{Method: "POST", EchoedHeader: base.HeaderLine{Name: idHeader, Value: "r1"}}
	reply, err := p.awaitReply(c, request)
	if err == nil {
		status = reply.Status()
		body, err = reply.ReadBody(time.Second, fuzzMaxBody)
		reply.Close()
	}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	return status, body, len(raw) - reader.Len() - c.reader.Buffered(), len(entry.idle) > 0, err
}

// For any input: a response truncated at any byte is never accepted as complete,
// a connection with bytes after the response is not reused, and no more than the
// limit is read.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 5\r\n\r\nother" + "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		status, body, used, pooled, err := readReply(raw)
		if err != nil {
			if pooled {
				t.Fatalf("a connection was pooled after the error %v", err)
			}
			return
		}
		if len(body) > fuzzMaxBody {
			t.Fatalf("%d bytes of body were read, more than the limit", len(body))
		}
		if pooled && used != len(raw) {
			t.Fatal("a connection was pooled with bytes after the response")
		}
		if _, _, _, pooled, _ := readReply(append(bytes.Clone(raw[:used]), 'x')); pooled {
			t.Fatal("a connection was pooled with one byte after the response")
		}
		for cut := used - 1; cut >= max(0, used-200); cut-- {
			cutStatus, cutBody, _, _, err := readReply(raw[:cut])
			if err == nil && cutStatus == status && len(body) > 0 && bytes.Equal(cutBody, body) {
				continue // the bytes cut off were not part of the response
			}
			if err == nil {
				t.Fatalf("truncated to %d of %d bytes, the response is still accepted: %q", cut, used, cutBody)
			}
		}
	})
}
