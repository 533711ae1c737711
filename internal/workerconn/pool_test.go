package workerconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// fakeWorker serves real sockets. It passes each request to answer, which writes
// the response bytes and reports whether the connection stays open.
type fakeWorker struct {
	listener    net.Listener
	connections atomic.Int32
	answer      func(c net.Conn, request *http.Request, connNumber int) bool
	connEnded   chan struct{} // one value for each connection that the worker has closed
}

func newFakeWorker(t testing.TB, answer func(c net.Conn, request *http.Request, connNumber int) bool) *fakeWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{listener: listener, answer: answer, connEnded: make(chan struct{}, 1000)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(accepted, int(w.connections.Add(1)))
		}
	}()
	return w
}

func (w *fakeWorker) serve(c net.Conn, connNumber int) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		var body bytes.Buffer
		_, _ = io.Copy(&body, request.Body)
		request.Body = io.NopCloser(&body)
		if !w.answer(c, request, connNumber) {
			break
		}
	}
	_ = c.Close()
	w.connEnded <- struct{}{}
}

func (w *fakeWorker) addr() string { return w.listener.Addr().String() }

// fullReply is a complete response with a length; head holds more header lines.
func fullReply(id, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), head, body)
}

// answerHello answers correctly and keeps the connection open.
func answerHello(c net.Conn, request *http.Request, _ int) bool {
	_, _ = io.WriteString(c, fullReply(request.Header.Get("Request-Id"), "", "hello"))
	return true
}

// offsetClock is the real clock plus an offset set by the test.
type offsetClock struct {
	base.Clock
	offset atomic.Int64
}

func (c *offsetClock) Now() time.Duration { return c.Clock.Now() + time.Duration(c.offset.Load()) }

// poolTest is a client with a fake worker and a clock that can be advanced.
type poolTest struct {
	*is.I
	worker   *fakeWorker
	client   *Client
	clock    *offsetClock
	requests int
}

func newPoolTest(t testing.TB, answer func(c net.Conn, request *http.Request, connNumber int) bool) *poolTest {
	p := &poolTest{I: is.NewRelaxed(t.(*testing.T)), worker: newFakeWorker(t, answer), client: New(5*time.Second, base.NewCounters()), clock: &offsetClock{Clock: base.NewRealClock()}}
	p.client.pool.clock = p.clock
	return p
}

func (p *poolTest) request() *base.BackendRequest {
	p.requests++
	id := fmt.Sprintf("r%d", p.requests)
	return &base.BackendRequest{Method: "POST", Path: "/x", Body: []byte("ask"), Incarnation: "w1", HeaderLines: []base.HeaderLine{{Name: "Request-Id", Value: id}},
		EchoedHeader: base.HeaderLine{Name: "Request-Id", Value: id}}
}

func (p *poolTest) send(request *base.BackendRequest) (base.BackendReply, error) {
	return p.client.Call(base.NewCtx(p.clock, 20*time.Second), p.worker.addr(), request)
}

// call sends a request and reads the whole body.
func (p *poolTest) call() (string, error) {
	reply, err := p.send(p.request())
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := reply.ReadBody(20*time.Second, 1000)
	return string(body), err
}

// mustCall expects a request to be answered correctly.
func (p *poolTest) mustCall() {
	p.Helper()
	body, err := p.call()
	p.NoErr(err)
	p.Equal(body, "hello")
}

// connections returns how many connections were made.
func (p *poolTest) connections() int { return int(p.worker.connections.Load()) }

// connCounts returns how many connections are idle, and how many are open.
func (p *poolTest) connCounts() (idle, open int) {
	p.client.pool.mu.Lock()
	defer p.client.pool.mu.Unlock()
	if entry := p.client.pool.workers["w1"]; entry != nil {
		return len(entry.idle), entry.open
	}
	return 0, 0
}

func TestConnectionIsReused(t *testing.T) {
	p := newPoolTest(t, answerHello)
	for range 20 {
		p.mustCall()
	}
	p.Equal(p.connections(), 1)
	idle, open := p.connCounts()
	p.Equal(idle, 1)
	p.Equal(open, 1)
}

// The deadline of one request does not apply to the next on the same connection.
func TestConnectionOutlivesRequestDeadline(t *testing.T) {
	p := newPoolTest(t, answerHello)
	p.mustCall()
	p.NoErr(p.client.pool.workers["w1"].idle[0].SetDeadline(time.Now().Add(-time.Second)))
	p.mustCall()
	p.Equal(p.connections(), 1)
}

func TestConnectionBelongsToOneIncarnation(t *testing.T) {
	p := newPoolTest(t, answerHello)
	p.mustCall()
	request := p.request()
	request.Incarnation = "w2" // the same address, another incarnation
	reply, err := p.send(request)
	p.NoErr(err)
	_, err = reply.ReadBody(20*time.Second, 1000)
	p.NoErr(err)
	p.Equal(p.connections(), 2)
	p.client.DropIdle("w1")
	<-p.worker.connEnded
	p.mustCall()
	p.Equal(p.connections(), 3)
}

// After the worker has closed an idle connection, the next request uses a new one.
func TestStaleConnectionIsNotReused(t *testing.T) {
	p := newPoolTest(t, func(c net.Conn, request *http.Request, connNumber int) bool {
		answerHello(c, request, connNumber)
		return connNumber > 1
	})
	p.mustCall()
	<-p.worker.connEnded
	p.mustCall()
	p.mustCall()
	p.Equal(p.connections(), 2)
}

// If a connection ends after the request was written, the worker may have run it.
func TestLossAfterSendIsNotCalledNotSent(t *testing.T) {
	p := newPoolTest(t, func(c net.Conn, request *http.Request, connNumber int) bool {
		if request.Header.Get("Request-Id") == "r2" {
			return false
		}
		return answerHello(c, request, connNumber)
	})
	p.mustCall()
	_, err := p.call()
	p.True(err != nil)
	p.True(!base.WasNotSent(err))
	idle, open := p.connCounts()
	p.Equal(idle, 0)
	p.Equal(open, 0)
}

func TestDialFailureIsNotSent(t *testing.T) {
	p := newPoolTest(t, answerHello)
	p.NoErr(p.worker.listener.Close())
	_, err := p.call()
	p.True(base.WasNotSent(err))
	_, open := p.connCounts()
	p.Equal(open, 0)
}

// Responses after which the connection is not reused, and whether the response
// itself is accepted.
func TestRepliesThatEndTheConnection(t *testing.T) {
	for _, tt := range []struct {
		name   string
		raw    func(id string) string
		served bool
	}{
		{"connection close announced", func(id string) string { return fullReply(id, "Connection: close\r\n", "hello") }, true},
		{"keep-alive timeout of zero", func(id string) string { return fullReply(id, "Keep-Alive: timeout=0\r\n", "hello") }, true},
		{"bytes after the response", func(id string) string { return fullReply(id, "", "hello") + fullReply("r0", "", "other") }, true},
		{"a foreign response only", func(id string) string { return fullReply("r0", "", "other") }, false},
		{"a response without an id", func(id string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" }, false},
		{"truncated by length", func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 9\r\n\r\nhello"
		}, false},
		{"truncated in chunks", func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
		}, false},
		{"without a length", func(id string) string { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\nhello" }, false},
		{"not HTTP", func(id string) string { return "\x16\x03 what is this\r\n\r\n" }, false},
		{"a truncated head", func(id string) string { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPoolTest(t, func(c net.Conn, request *http.Request, connNumber int) bool {
				if id := request.Header.Get("Request-Id"); connNumber == 1 {
					_, _ = io.WriteString(c, tt.raw(id))
					return tt.served // truncated responses end with a close
				}
				return answerHello(c, request, connNumber)
			})
			body, err := p.call()
			p.Equal(err == nil, tt.served)
			if tt.served {
				p.Equal(body, "hello")
			} else {
				p.True(!base.WasNotSent(err))
			}
			idle, open := p.connCounts()
			p.Equal(idle, 0)
			p.Equal(open, 0)
			<-p.worker.connEnded
			p.mustCall()
			p.Equal(p.connections(), 2)
		})
	}
}

// Bytes that arrive while a connection is idle belong to no request.
func TestUnexpectedBytesCloseIdleConnection(t *testing.T) {
	late, written := make(chan struct{}), make(chan struct{})
	p := newPoolTest(t, func(c net.Conn, request *http.Request, connNumber int) bool {
		answerHello(c, request, connNumber)
		if connNumber == 1 {
			<-late
			_, _ = io.WriteString(c, fullReply("r0", "", "other"))
			close(written)
		}
		return true
	})
	p.mustCall()
	idle, _ := p.connCounts()
	p.Equal(idle, 1)
	close(late)
	<-written
	p.mustCall()
	p.Equal(p.connections(), 2)
}

// The expected response may follow responses to other requests. The id identifies
// it, and the connection is not reused.
func TestForeignRepliesAreSkipped(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before string
		served bool
	}{
		{"one", fullReply("r0", "", "other"), true},
		{"one in chunks", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", true},
		{"one without an id", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true},
		{"two", fullReply("r0", "", "other") + fullReply("r9", "", ""), true},
		{"too many", fullReply("r0", "", "other") + fullReply("r9", "", "other") + fullReply("r0", "", "other"), false},
		{"too long", fullReply("r0", "", strings.Repeat("x", 100<<10)), false},
		{"one that ends with a close", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n", false},
		{"bytes that are no response", "\r\nother\r\n\r\n", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPoolTest(t, func(c net.Conn, request *http.Request, connNumber int) bool {
				if connNumber == 1 {
					_, _ = io.WriteString(c, tt.before)
				}
				answerHello(c, request, connNumber)
				return tt.served
			})
			body, err := p.call()
			p.Equal(err == nil, tt.served)
			if tt.served {
				p.Equal(body, "hello")
			}
			_, open := p.connCounts()
			p.Equal(open, 0)
			<-p.worker.connEnded
			p.mustCall()
			p.Equal(p.connections(), 2)
		})
	}
}

func TestIdleConnectionsExpire(t *testing.T) {
	for _, tt := range []struct {
		name, head string
		idle       time.Duration
		pooled     bool
	}{
		{"before the announced timeout", "Keep-Alive: timeout=10\r\n", 7 * time.Second, true},
		{"within the margin before the announced timeout", "Keep-Alive: timeout=10\r\n", 9 * time.Second, false},
		{"other parameters beside the timeout", "Keep-Alive: max=100, timeout=10\r\n", 9 * time.Second, false},
		{"no timeout announced, early", "", time.Second, true},
		{"no timeout announced, late", "", 5 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
				_, _ = io.WriteString(c, fullReply(request.Header.Get("Request-Id"), tt.head, "hello"))
				return true
			})
			p.mustCall()
			p.clock.offset.Add(int64(tt.idle))
			p.mustCall()
			p.Equal(p.connections() == 1, tt.pooled)
		})
	}
}

func TestSweepClosesExpiredConnections(t *testing.T) {
	p := newPoolTest(t, answerHello)
	p.mustCall()
	p.clock.offset.Add(int64(time.Minute))
	p.client.pool.sweepIdle()
	<-p.worker.connEnded
	p.Equal(len(p.client.pool.workers), 0)
}

func TestRequestIsSentByteForByte(t *testing.T) {
	var raw bytes.Buffer
	got := make(chan struct{})
	p := newPoolTest(t, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	p.NoErr(err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &raw)))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(c, fullReply("r1", "", "hello"))
		close(got)
	}()
	request := p.request()
	request.Method, request.Path, request.Host = "DELETE", "/a//b/../c%2Fd/./?x=%41&y=+&z", "Some.Host:81"
	request.HeaderLines = append(request.HeaderLines, base.HeaderLine{Name: "x-Second", Value: "b"}, base.HeaderLine{Name: "x-Second", Value: "a"}, base.HeaderLine{Name: "Cookie", Value: "b=2; a=1"},
		base.HeaderLine{Name: "Content-Type", Value: "text/odd"}, base.HeaderLine{Name: "user-agent", Value: "me"})
	reply, err := p.client.Call(base.NewCtx(p.clock, 20*time.Second), listener.Addr().String(), request)
	p.NoErr(err)
	defer reply.Close()
	<-got
	p.Equal(raw.String(), strings.Join([]string{"DELETE /a//b/../c%2Fd/./?x=%41&y=+&z HTTP/1.1", "Host: Some.Host:81", "Request-Id: r1", "x-Second: b", "x-Second: a",
		"Cookie: b=2; a=1", "Content-Type: text/odd", "user-agent: me", "Content-Length: 3", "", "ask"}, "\r\n"))
}

func TestLongBodyIsSentCompletely(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 1<<15)
	p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
		body, _ := io.ReadAll(request.Body)
		_, _ = io.WriteString(c, fullReply(request.Header.Get("Request-Id"), "", fmt.Sprint(bytes.Equal(body, long))))
		return true
	})
	for range 2 {
		request := p.request()
		request.Body = long
		reply, err := p.send(request)
		p.NoErr(err)
		body, err := reply.ReadBody(20*time.Second, 1000)
		p.NoErr(err)
		p.Equal(string(body), "true")
	}
	p.Equal(p.connections(), 1)
}

func TestReplyBodyIsBounded(t *testing.T) {
	for _, raw := range []string{"Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n"} {
		p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\n"+raw)
			return true
		})
		_, err := p.call()
		p.True(err != nil)
		_, open := p.connCounts()
		p.Equal(open, 0)
	}
}

func TestConnectionsPerWorkerAreBounded(t *testing.T) {
	p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		return true
	})
	request := p.request()
	request.MaxConns = 1
	first, err := p.send(request)
	p.NoErr(err)
	second := p.request()
	second.MaxConns = 1
	_, err = p.send(second)
	p.True(base.WasNotSent(err))
	p.True(errors.Is(err, base.ErrConnectionLimit))
	first.Close()
	third := p.request()
	third.MaxConns = 1
	reply, err := p.send(third)
	p.NoErr(err)
	reply.Close()
}

func TestNothingIsSentToLeavingWorker(t *testing.T) {
	p := newPoolTest(t, func(c net.Conn, request *http.Request, connNumber int) bool {
		if request.Header.Get("Request-Id") == "r2" {
			t.Error("the request was sent")
		}
		return answerHello(c, request, connNumber)
	})
	p.mustCall()
	request := p.request()
	request.ConfirmSend = func() bool { return false }
	_, err := p.send(request)
	p.True(base.WasNotSent(err))
	p.True(errors.Is(err, base.ErrDraining))
	p.mustCall()
	p.Equal(p.connections(), 1)
}

// The lines of a stream are returned as they arrive. The connection is reused after
// the last chunk, and closed if the reply is closed before.
func TestStreamsOnPooledConnections(t *testing.T) {
	next, seen := make(chan struct{}), make(chan error, 1)
	p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n")
		<-next
		if request.Header.Get("Request-Id") == "r3" {
			_, err := c.Read(make([]byte, 1))
			seen <- err
			return false
		}
		_, _ = io.WriteString(c, "9\r\ndata: 2\n\n\r\n0\r\n\r\n")
		return true
	})
	for range 2 {
		reply, err := p.send(p.request())
		p.NoErr(err)
		var lines []string
		for {
			line, err := reply.ReadLine(20 * time.Second)
			if err == io.EOF {
				break
			}
			p.NoErr(err)
			lines = append(lines, string(line))
			if len(lines) == 2 {
				next <- struct{}{}
			}
		}
		p.Equal(strings.Join(lines, ""), "data: 1\n\ndata: 2\n\n")
		reply.Close()
	}
	p.Equal(p.connections(), 1)
	reply, err := p.send(p.request())
	p.NoErr(err)
	_, err = reply.ReadLine(20 * time.Second)
	p.NoErr(err)
	_, err = reply.ReadLine(20 * time.Second)
	p.NoErr(err)
	ended := make(chan error)
	go func() {
		_, err := reply.ReadLine(time.Minute)
		ended <- err
	}()
	next <- struct{}{}
	reply.Close()
	p.True(<-ended != nil)
	p.True(<-seen != nil)
}

func TestTruncatedStreamHasNoCleanEnd(t *testing.T) {
	for _, tail := range []string{"", "9\r\ndata", "9\r\ndata: 2\n\n\r\n", "zz\r\n", "0\r\n"} {
		p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n"+tail)
			return false
		})
		p.checkTruncatedStream()
	}
	p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\n\r\ndata: 1\n\n")
		return false // a body that ends only with the close
	})
	p.checkTruncatedStream()
}

// checkTruncatedStream reads a stream and expects it to end with an error other
// than io.EOF.
func (p *poolTest) checkTruncatedStream() {
	p.Helper()
	reply, err := p.send(p.request())
	p.NoErr(err)
	for err == nil {
		_, err = reply.ReadLine(20 * time.Second)
	}
	p.True(err != io.EOF)
	reply.Close()
	_, open := p.connCounts()
	p.Equal(open, 0)
}

// The connection of a worker that is forgotten while it answers is not pooled.
func TestConnectionOfForgottenWorkerIsClosed(t *testing.T) {
	p := newPoolTest(t, answerHello)
	reply, err := p.send(p.request())
	p.NoErr(err)
	entry := p.client.pool.workers["w1"]
	p.client.DropIdle("w1")
	_, err = reply.ReadBody(20*time.Second, 1000)
	p.NoErr(err)
	reply.Close()
	p.Equal(len(entry.idle), 0)
	p.Equal(entry.open, 0)
	<-p.worker.connEnded
	p.mustCall()
	p.Equal(p.connections(), 2)
}

// Many concurrent calls. Run with -race, this also checks for data races.
func TestConcurrentCallsOnPooledConnections(t *testing.T) {
	p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, fullReply(request.Header.Get("Request-Id"), "", request.Header.Get("Request-Id")))
		return true
	})
	var group sync.WaitGroup
	for task := range 8 {
		group.Go(func() {
			for round := range 50 {
				id := fmt.Sprintf("t%d-%d", task, round)
				reply, err := p.send(&base.BackendRequest{Method: "GET", Path: "/x", Incarnation: "w1", HeaderLines: []base.HeaderLine{{Name: "Request-Id", Value: id}}, EchoedHeader: base.HeaderLine{Name: "Request-Id", Value: id}})
				if err != nil {
					t.Error(err)
					return
				}
				body, err := reply.ReadBody(20*time.Second, 1000)
				if err != nil || string(body) != id {
					t.Error(id, string(body), err)
				}
				reply.Close()
			}
		})
	}
	group.Wait()
	p.True(p.connections() <= 8)
}

func TestIdleConnectionsHaveNoGoroutines(t *testing.T) {
	p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nContent-Length: 5\r\n\r\n")
		_, _ = io.WriteString(c, "hello")
		return true
	})
	before := runtime.NumGoroutine()
	var replies []base.BackendReply
	for range 10 {
		reply, err := p.send(p.request())
		p.NoErr(err)
		replies = append(replies, reply)
	}
	for _, reply := range replies {
		_, err := reply.ReadBody(20*time.Second, 1000)
		p.NoErr(err)
	}
	idle, _ := p.connCounts()
	p.Equal(idle, 10)
	p.True(runtime.NumGoroutine() <= before+10+2) // the worker's own goroutines
}

func BenchmarkPooledCall(b *testing.B) {
	answer := []byte(fullReply("r1", "Server-Load: 1,0,6\r\n", strings.Repeat("x", 800)))
	worker := newFakeWorker(b, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = c.Write(answer)
		return true
	})
	client := New(5*time.Second, base.NewCounters())
	clock := base.NewRealClock()
	request := &base.BackendRequest{Method: "POST", Path: "/x/y", Host: "some.host", Body: bytes.Repeat([]byte("y"), 600), Incarnation: "w1",
		HeaderLines: []base.HeaderLine{{Name: "Request-Id", Value: "r1"}, {Name: "Deadline", Value: "6000"}}, EchoedHeader: base.HeaderLine{Name: "Request-Id", Value: "r1"}}
	b.ReportAllocs()
	for b.Loop() {
		reply, err := client.Call(base.NewCtx(clock, 20*time.Second), worker.addr(), request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := reply.ReadBody(20*time.Second, 1000); err != nil {
			b.Fatal(err)
		}
		reply.Close()
	}
}

// After a worker has closed an idle connection earlier than it announced, later
// connections stay idle no longer than one has survived. A loss after an idle time
// that others survived changes nothing.
func TestIdleCloseShortensIdleLimit(t *testing.T) {
	for _, tt := range []struct {
		name      string
		survived  time.Duration
		ends      time.Duration
		shortened bool
	}{
		{"ended after the longest idle time", 2 * time.Second, 6 * time.Second, true},
		{"ended after an idle time that was survived", 6 * time.Second, 2 * time.Second, false},
		{"ended at once", 0, 100 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
				id := request.Header.Get("Request-Id")
				if id == "r3" {
					return false
				}
				_, _ = io.WriteString(c, fullReply(id, "Keep-Alive: timeout=10\r\n", "hello"))
				return true
			})
			p.mustCall()
			p.clock.offset.Add(int64(tt.survived))
			p.mustCall()
			p.clock.offset.Add(int64(tt.ends))
			_, err := p.call()
			p.True(err != nil)
			p.True(!base.WasNotSent(err))
			p.mustCall()
			p.clock.offset.Add(int64(5 * time.Second))
			p.mustCall()
			wantConnections := 2
			if tt.shortened {
				wantConnections = 3 // the last one was idle too long
			}
			p.Equal(p.connections(), wantConnections)
		})
	}
}
