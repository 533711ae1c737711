// The adapter under net/http: exchanges both ways, and errors that tell
// whether a byte may have left.
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

func freeAddr(is *is.I) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	return listener.Addr().String()
}

func TestExchangesOverGnet(t *testing.T) {
	is := is.New(t)
	addr := freeAddr(is)
	listener, err := Listen(addr)
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.Header.Get("Fordseam-Within-Ms")+" "), body...))
	})}
	go func() { _ = server.Serve(listener) }()
	wire, err := NewClient(func() {})
	is.NoErr(err)
	defer wire.Close()
	clock := base.NewRealClock()
	big := strings.Repeat("x", 3<<20)
	var group sync.WaitGroup
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 5 {
				request, _ := http.NewRequestWithContext(base.NewCtx(clock, 20*time.Second), "POST", "http://"+addr+"/", bytes.NewReader([]byte(big)))
				response, err := wire.Do(request)
				if err != nil {
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(response.Body)
				if len(body) < len(big) || body[0] == ' ' {
					t.Errorf("got %d bytes back of %d", len(body), len(big))
				}
			}
		}()
	}
	group.Wait()
	is.NoErr(server.Close())
	request, _ := http.NewRequestWithContext(base.NewCtx(clock, time.Second), "POST", "http://"+freeAddr(is)+"/", nil)
	_, err = wire.Do(request)
	is.True(base.WasNotSent(err)) // nothing listens: no byte left
}

func TestALostReplyIsNotCalledNotSent(t *testing.T) {
	is := is.New(t)
	addr := freeAddr(is)
	listener, err := Listen(addr)
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	wire, err := NewClient(func() {})
	is.NoErr(err)
	defer wire.Close()
	request, _ := http.NewRequestWithContext(base.NewCtx(base.NewRealClock(), 5*time.Second), "POST", "http://"+addr+"/", strings.NewReader("x"))
	_, err = wire.Do(request)
	is.True(err != nil)
	is.True(!base.WasNotSent(err))
}

func TestReadDeadlineWakesAReader(t *testing.T) {
	is := is.New(t)
	addr := freeAddr(is)
	listener, err := Listen(addr)
	is.NoErr(err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	is.NoErr(accepted.SetReadDeadline(time.Now().Add(5 * time.Millisecond)))
	_, err = accepted.Read(make([]byte, 1))
	is.Equal(err, os.ErrDeadlineExceeded)
	is.NoErr(accepted.SetReadDeadline(time.Time{}))
	_, err = dialed.Write([]byte("y"))
	is.NoErr(err)
	n, err := accepted.Read(make([]byte, 4))
	is.NoErr(err)
	is.Equal(n, 1)
	is.NoErr(dialed.Close())
	_, err = accepted.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
