// Calls with a connection of their own, over real sockets: what proves that
// nothing left, and what is cut.
package workerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// answering listens once and writes raw bytes after the request's head.
func answering(is *is.I, raw string, after func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		accepted, err := listener.Accept()
		_ = listener.Close()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(accepted))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(accepted, raw)
		if after != nil {
			after(accepted)
		}
		_ = accepted.Close()
	}()
	return listener.Addr().String()
}

func call(addr string) (base.BackReply, error) {
	ctx := base.NewCtx(base.NewRealClock(), 20*time.Second)
	return New(5*time.Second, base.NewCounters()).Call(ctx, addr, &base.BackRequest{Method: "POST", Path: "/x", Body: []byte(`{"a":1}`)})
}

func TestOnlyAFailedConnectIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = call(addr)
	is.True(base.WasNotSent(err))
	_, err = call(answering(is, "", nil)) // it took the request and hung up
	is.True(err != nil)
	is.True(!base.WasNotSent(err))
}

func TestCutAnswersAreNotWhole(t *testing.T) {
	rows := []struct {
		name, raw string
		whole     bool
	}{
		{"whole by length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
		{"cut by length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false},
		{"whole in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
		{"cut in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
		{"without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			reply, err := call(answering(is, row.raw, nil))
			is.NoErr(err)
			defer reply.Close()
			body, err := reply.Body(10*time.Second, 1000)
			is.Equal(err == nil, row.whole)
			if row.whole {
				is.Equal(string(body), "hello")
			}
		})
	}
}

func TestLinesComeOneByOneAndCloseEndsTheWait(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{})
	defer close(held)
	reply, err := call(answering(is, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: a\n\r\n", func(net.Conn) { <-held }))
	is.NoErr(err)
	line, err := reply.Line(10 * time.Second)
	is.NoErr(err)
	is.Equal(string(line), "data: a\n")
	ended := make(chan error)
	go func() {
		_, err := reply.Line(time.Minute)
		ended <- err
	}()
	reply.Close()
	is.True(<-ended != nil)
}

// A call leaves nothing running behind it, however it ends.
func TestCallsLeaveNothingBehind(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: a\n\ndata: b\n\n")
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	before := runtime.NumGoroutine()
	for place := range 40 {
		reply, err := call(listener.Addr().String())
		is.NoErr(err)
		if place%2 == 0 {
			_, err = reply.Body(10*time.Second, 1000)
		} else {
			_, err = reply.Line(10 * time.Second)
		}
		is.NoErr(err)
		reply.Close()
	}
	for end := time.Now().Add(20 * time.Second); runtime.NumGoroutine() > before+8 && time.Now().Before(end); {
		runtime.Gosched()
	}
	is.True(runtime.NumGoroutine() <= before+8)
}
