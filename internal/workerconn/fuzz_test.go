package workerconn

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"fordseam/internal/base"
)

// bytesConn gives prepared bytes and then the end.
type bytesConn struct {
	net.Conn
	from io.Reader
}

func (c *bytesConn) Read(into []byte) (int, error)      { return c.from.Read(into) }
func (c *bytesConn) SetReadDeadline(at time.Time) error { return nil }
func (c *bytesConn) Close() error                       { return nil }

const fuzzAnswerLimit = 1 << 16

// readAnswer reads raw as the answer to a request with the id r1: its status
// and body, how many bytes were taken from raw, and whether the connection is
// kept.
func readAnswer(raw []byte) (status int, body []byte, used int, kept bool, err error) {
	from := bytes.NewReader(raw)
	p := newPool(time.Second, base.NewCounters())
	held := &workerConns{open: 1}
	one := newConn(&bytesConn{from: from}, "", held)
	one.move(eventSend)
	one.move(eventSent)
	request := &base.BackRequest{Method: "POST", Match: base.HeaderLine{Name: idHeader, Value: "r1"}}
	reply, err := p.answer(one, request)
	if err == nil {
		status = reply.Status()
		body, err = reply.Body(time.Second, fuzzAnswerLimit)
		reply.Close()
	}
	if p.sweep != nil {
		p.sweep.Stop()
	}
	return status, body, len(raw) - from.Len() - one.reader.Buffered(), len(held.idle) > 0, err
}

// Of any bytes: an answer is whole or it is not, one that is cut anywhere is
// not, what comes behind belongs to no request, and nothing is read past the
// bound.
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
		status, body, used, kept, err := readAnswer(raw)
		if err != nil {
			if kept {
				t.Fatalf("a connection was kept after: %v", err)
			}
			return
		}
		if len(body) > fuzzAnswerLimit {
			t.Fatalf("%d bytes were read", len(body))
		}
		if kept && used != len(raw) {
			t.Fatal("a connection was kept with bytes behind the answer")
		}
		if _, _, _, kept, _ := readAnswer(append(bytes.Clone(raw[:used]), 'x')); kept {
			t.Fatal("a connection was kept with a byte behind the answer")
		}
		for cut := used - 1; cut >= max(0, used-200); cut-- {
			cutStatus, cutBody, _, _, err := readAnswer(raw[:cut])
			if err == nil && cutStatus == status && len(body) > 0 && bytes.Equal(cutBody, body) {
				continue // what was cut was no part of the answer
			}
			if err == nil {
				t.Fatalf("cut to %d of %d bytes it still looks whole: %q", cut, used, cutBody)
			}
		}
	})
}
