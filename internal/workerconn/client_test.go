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

// serveOnce accepts one connection, reads a request, writes raw and calls after.
// It returns the address.
func serveOnce(is *is.I, raw string, after func(net.Conn)) string {
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

// call sends an unpooled request.
func call(addr string) (base.BackendReply, error) {
	ctx := base.NewCtx(base.NewRealClock(), 20*time.Second)
	return New(5*time.Second, base.NewCounters()).Call(ctx, addr, &base.BackendRequest{Method: "POST", Path: "/x", Body: []byte(`{"a":1}`)})
}

func TestUnpooledCallNotSentOnlyIfDialFails(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = call(addr)
	is.True(base.WasNotSent(err))
	_, err = call(serveOnce(is, "", nil)) // the worker read the request and closed the connection
	is.True(err != nil)
	is.True(!base.WasNotSent(err))
}

func TestUnpooledCallDetectsTruncatedBodies(t *testing.T) {
	tests := []struct {
		name, raw string
		complete  bool
	}{
		{"complete by length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
		{"truncated by length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false},
		{"complete in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
		{"truncated in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
		{"without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			reply, err := call(serveOnce(is, tt.raw, nil))
			is.NoErr(err)
			defer reply.Close()
			body, err := reply.ReadBody(10*time.Second, 1000)
			is.Equal(err == nil, tt.complete)
			if tt.complete {
				is.Equal(string(body), "hello")
			}
		})
	}
}

func TestUnpooledLineReadsAsSentAndCloseUnblocks(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	reply, err := call(serveOnce(is, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: a\n\r\n", func(net.Conn) { <-release }))
	is.NoErr(err)
	line, err := reply.ReadLine(10 * time.Second)
	is.NoErr(err)
	is.Equal(string(line), "data: a\n")
	ended := make(chan error)
	go func() {
		_, err := reply.ReadLine(time.Minute)
		ended <- err
	}()
	reply.Close()
	is.True(<-ended != nil)
}

// However an unpooled call ends, none of its goroutines stays behind.
func TestUnpooledCallsLeakNoGoroutines(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: a\n\ndata: b\n\n")
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	before := runtime.NumGoroutine()
	for i := range 40 {
		reply, err := call(listener.Addr().String())
		is.NoErr(err)
		if i%2 == 0 {
			_, err = reply.ReadBody(10*time.Second, 1000)
		} else {
			_, err = reply.ReadLine(10 * time.Second)
		}
		is.NoErr(err)
		reply.Close()
	}
	for deadline := time.Now().Add(20 * time.Second); runtime.NumGoroutine() > before+8 && time.Now().Before(deadline); {
		runtime.Gosched()
	}
	is.True(runtime.NumGoroutine() <= before+8)
}
