package conn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// unusedAddr returns a local address that nothing listens on.
func unusedAddr(is *is.I) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	return listener.Addr().String()
}

// Concurrent requests with large bodies are replied to completely, and a failed
// connection attempt is reported as not sent.
func TestRequestsOverGnet(t *testing.T) {
	is := is.New(t)
	addr := unusedAddr(is)
	listener, err := net.Listen("tcp", addr)
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.Header.Get("Fordseam-Within-Ms")+" "), body...))
	})}
	go func() { _ = server.Serve(listener) }()
	client, err := NewClient(func() {})
	is.NoErr(err)
	defer client.Close()
	clock := base.NewRealClock()
	large := strings.Repeat("x", 3<<20)
	var group sync.WaitGroup
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 5 {
				request, _ := http.NewRequestWithContext(base.NewCtx(clock, 20*time.Second), "POST", "http://"+addr+"/", bytes.NewReader([]byte(large)))
				response, err := client.Do(request)
				if err != nil {
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(response.Body)
				if len(body) < len(large) || body[0] == ' ' {
					t.Errorf("got a reply of %d bytes to %d bytes", len(body), len(large))
				}
			}
		}()
	}
	group.Wait()
	is.NoErr(server.Close())
	request, _ := http.NewRequestWithContext(base.NewCtx(clock, time.Second), "POST", "http://"+unusedAddr(is)+"/", nil)
	_, err = client.Do(request)
	is.True(base.WasNotSent(err)) // nothing listens there, so no byte was sent
}

// A request whose connection is closed before the reply may have been processed, so
// its error must not say that it was not sent.
func TestLostReplyIsNotReportedAsNotSent(t *testing.T) {
	is := is.New(t)
	addr := unusedAddr(is)
	listener, err := net.Listen("tcp", addr)
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client, err := NewClient(func() {})
	is.NoErr(err)
	defer client.Close()
	request, _ := http.NewRequestWithContext(base.NewCtx(base.NewRealClock(), 5*time.Second), "POST", "http://"+addr+"/", strings.NewReader("x"))
	_, err = client.Do(request)
	is.True(err != nil)
	is.True(!base.WasNotSent(err))
}

// A deadline ends a read in progress; after its removal, reads return data and, once
// the peer has closed the connection, io.EOF.
func TestReadDeadlineWakesReader(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialed, err := newTestClient(t).dial(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.NoErr(dialed.SetReadDeadline(time.Now().Add(5 * time.Millisecond)))
	_, err = dialed.Read(make([]byte, 1))
	is.Equal(err, os.ErrDeadlineExceeded)
	is.NoErr(dialed.SetReadDeadline(time.Time{}))
	_, err = accepted.Write([]byte("y"))
	is.NoErr(err)
	n, err := dialed.Read(make([]byte, 4))
	is.NoErr(err)
	is.Equal(n, 1)
	is.NoErr(accepted.Close())
	_, err = dialed.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
