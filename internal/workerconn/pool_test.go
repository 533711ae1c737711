// Kept connections over real sockets, against a small worker that does each
// wrong thing on demand: what may be used again, and what proves that a request
// did not leave.
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

// fakeWorker hands each request to answer, which writes what it likes and says
// whether the connection goes on.
type fakeWorker struct {
	listener net.Listener
	made     atomic.Int32
	answer   func(c net.Conn, request *http.Request, made int) bool
	ended    chan struct{} // one word for each connection that the worker has ended
}

func newFakeWorker(t testing.TB, answer func(c net.Conn, request *http.Request, made int) bool) *fakeWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{listener: listener, answer: answer, ended: make(chan struct{}, 1000)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(accepted, int(w.made.Add(1)))
		}
	}()
	return w
}

func (w *fakeWorker) serve(c net.Conn, made int) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		var body bytes.Buffer
		_, _ = io.Copy(&body, request.Body)
		request.Body = io.NopCloser(&body)
		if !w.answer(c, request, made) {
			break
		}
	}
	_ = c.Close()
	w.ended <- struct{}{}
}

func (w *fakeWorker) addr() string { return w.listener.Addr().String() }

func whole(id, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), head, body)
}

func ordinary(c net.Conn, request *http.Request, _ int) bool {
	_, _ = io.WriteString(c, whole(request.Header.Get("Request-Id"), "", "hello"))
	return true
}

// movedClock is the machine's clock, moved on by the test.
type movedClock struct {
	base.Clock
	ahead atomic.Int64
}

func (m *movedClock) Now() time.Duration { return m.Clock.Now() + time.Duration(m.ahead.Load()) }

type bench struct {
	*is.I
	worker *fakeWorker
	client *Client
	clock  *movedClock
	seen   int
}

func newBench(t testing.TB, answer func(c net.Conn, request *http.Request, made int) bool) *bench {
	b := &bench{I: is.NewRelaxed(t.(*testing.T)), worker: newFakeWorker(t, answer), client: New(5*time.Second, base.NewCounters()), clock: &movedClock{Clock: base.NewRealClock()}}
	b.client.pool.clock = b.clock
	return b
}

func (b *bench) request() *base.BackRequest {
	b.seen++
	id := fmt.Sprintf("r%d", b.seen)
	return &base.BackRequest{Method: "POST", Path: "/x", Body: []byte("ask"), Worker: "w1", Lines: []base.HeaderLine{{Name: "Request-Id", Value: id}},
		Match: base.HeaderLine{Name: "Request-Id", Value: id}}
}

func (b *bench) send(request *base.BackRequest) (base.BackReply, error) {
	return b.client.Call(base.NewCtx(b.clock, 20*time.Second), b.worker.addr(), request)
}

// ask makes a request and reads its whole answer.
func (b *bench) ask() (string, error) {
	reply, err := b.send(b.request())
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := reply.Body(20*time.Second, 1000)
	return string(body), err
}

func (b *bench) served() {
	b.Helper()
	body, err := b.ask()
	b.NoErr(err)
	b.Equal(body, "hello")
}

func (b *bench) connections() int { return int(b.worker.made.Load()) }

// idle is how many connections are kept.
func (b *bench) idle() (idle, open int) {
	b.client.pool.mu.Lock()
	defer b.client.pool.mu.Unlock()
	if held := b.client.pool.workers["w1"]; held != nil {
		return len(held.idle), held.open
	}
	return 0, 0
}

func TestOneConnectionCarriesManyRequests(t *testing.T) {
	b := newBench(t, ordinary)
	for range 20 {
		b.served()
	}
	b.Equal(b.connections(), 1)
	idle, open := b.idle()
	b.Equal(idle, 1)
	b.Equal(open, 1)
}

// The time that one request had does not bound the next one's connection.
func TestAConnectionOutlivesARequestsDeadline(t *testing.T) {
	b := newBench(t, ordinary)
	b.served()
	b.NoErr(b.client.pool.workers["w1"].idle[0].SetDeadline(time.Now().Add(-time.Second)))
	b.served()
	b.Equal(b.connections(), 1)
}

func TestAConnectionBelongsToOneLifeOfAWorker(t *testing.T) {
	b := newBench(t, ordinary)
	b.served()
	request := b.request()
	request.Worker = "w2" // the same address, another life
	reply, err := b.send(request)
	b.NoErr(err)
	_, err = reply.Body(20*time.Second, 1000)
	b.NoErr(err)
	b.Equal(b.connections(), 2)
	b.client.Forget("w1")
	<-b.worker.ended
	b.served()
	b.Equal(b.connections(), 3)
}

// A worker that closed an idle connection gets the next request on a new one.
func TestAStaleConnectionIsNotUsed(t *testing.T) {
	b := newBench(t, func(c net.Conn, request *http.Request, made int) bool {
		ordinary(c, request, made)
		return made > 1
	})
	b.served()
	<-b.worker.ended
	b.served()
	b.served()
	b.Equal(b.connections(), 2)
}

// Of a connection that ends after the request was written, nobody knows.
func TestALossAfterSendingMayHaveRun(t *testing.T) {
	b := newBench(t, func(c net.Conn, request *http.Request, made int) bool {
		if request.Header.Get("Request-Id") == "r2" {
			return false
		}
		return ordinary(c, request, made)
	})
	b.served()
	_, err := b.ask()
	b.True(err != nil)
	b.True(!base.WasNotSent(err))
	idle, open := b.idle()
	b.Equal(idle, 0)
	b.Equal(open, 0)
}

func TestWhatCannotConnectIsNotSent(t *testing.T) {
	b := newBench(t, ordinary)
	b.NoErr(b.worker.listener.Close())
	_, err := b.ask()
	b.True(base.WasNotSent(err))
	_, open := b.idle()
	b.Equal(open, 0)
}

// What no connection survives, and whether the answer itself still counts.
func TestWhatEndsAConnection(t *testing.T) {
	for _, row := range []struct {
		name   string
		raw    func(id string) string
		served bool
	}{
		{"the worker will close", func(id string) string { return whole(id, "Connection: close\r\n", "hello") }, true},
		{"no time to keep it", func(id string) string { return whole(id, "Keep-Alive: timeout=0\r\n", "hello") }, true},
		{"bytes behind the answer", func(id string) string { return whole(id, "", "hello") + whole("r0", "", "other") }, true},
		{"another's answer first", func(id string) string { return whole("r0", "", "other") }, false},
		{"an answer without an id", func(id string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" }, false},
		{"cut by length", func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 9\r\n\r\nhello"
		}, false},
		{"cut in chunks", func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
		}, false},
		{"without a length", func(id string) string { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\nhello" }, false},
		{"no answer in protocol", func(id string) string { return "\x16\x03 what is this\r\n\r\n" }, false},
		{"a cut head", func(id string) string { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, func(c net.Conn, request *http.Request, made int) bool {
				if id := request.Header.Get("Request-Id"); made == 1 {
					_, _ = io.WriteString(c, row.raw(id))
					return row.served // what is cut is cut by a close
				}
				return ordinary(c, request, made)
			})
			body, err := b.ask()
			b.Equal(err == nil, row.served)
			if row.served {
				b.Equal(body, "hello")
			} else {
				b.True(!base.WasNotSent(err))
			}
			idle, open := b.idle()
			b.Equal(idle, 0)
			b.Equal(open, 0)
			<-b.worker.ended
			b.served()
			b.Equal(b.connections(), 2)
		})
	}
}

// Bytes that come while a connection is idle belong to no request.
func TestALateSurplusAnswerEndsAnIdleConnection(t *testing.T) {
	late, written := make(chan struct{}), make(chan struct{})
	b := newBench(t, func(c net.Conn, request *http.Request, made int) bool {
		ordinary(c, request, made)
		if made == 1 {
			<-late
			_, _ = io.WriteString(c, whole("r0", "", "other"))
			close(written)
		}
		return true
	})
	b.served()
	idle, _ := b.idle()
	b.Equal(idle, 1)
	close(late)
	<-written
	b.served()
	b.Equal(b.connections(), 2)
}

// The answer that is due may come behind another's; the id tells which is
// which, and the connection carries nothing more.
func TestTheOwnAnswerIsFoundBehindAnothers(t *testing.T) {
	for _, row := range []struct {
		name   string
		before string
		served bool
	}{
		{"one", whole("r0", "", "other"), true},
		{"one in chunks", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", true},
		{"one without an id", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true},
		{"two", whole("r0", "", "other") + whole("r9", "", ""), true},
		{"too many", whole("r0", "", "other") + whole("r9", "", "other") + whole("r0", "", "other"), false},
		{"too long", whole("r0", "", strings.Repeat("x", 100<<10)), false},
		{"one that ends at the close", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n", false},
		{"bytes that form no answer", "\r\nother\r\n\r\n", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, func(c net.Conn, request *http.Request, made int) bool {
				if made == 1 {
					_, _ = io.WriteString(c, row.before)
				}
				ordinary(c, request, made)
				return row.served
			})
			body, err := b.ask()
			b.Equal(err == nil, row.served)
			if row.served {
				b.Equal(body, "hello")
			}
			_, open := b.idle()
			b.Equal(open, 0)
			<-b.worker.ended
			b.served()
			b.Equal(b.connections(), 2)
		})
	}
}

func TestIdleConnectionsAreDroppedInTime(t *testing.T) {
	for _, row := range []struct {
		name, head string
		idle       time.Duration
		kept       bool
	}{
		{"before the worker's time", "Keep-Alive: timeout=10\r\n", 7 * time.Second, true},
		{"after the worker's time, less a margin", "Keep-Alive: timeout=10\r\n", 9 * time.Second, false},
		{"other words beside it", "Keep-Alive: max=100, timeout=10\r\n", 9 * time.Second, false},
		{"no time told, soon", "", time.Second, true},
		{"no time told, later", "", 5 * time.Second, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
				_, _ = io.WriteString(c, whole(request.Header.Get("Request-Id"), row.head, "hello"))
				return true
			})
			b.served()
			b.clock.ahead.Add(int64(row.idle))
			b.served()
			b.Equal(b.connections() == 1, row.kept)
		})
	}
}

func TestTheSweepDropsWhatIsOver(t *testing.T) {
	b := newBench(t, ordinary)
	b.served()
	b.clock.ahead.Add(int64(time.Minute))
	b.client.pool.sweepIdle()
	<-b.worker.ended
	b.Equal(len(b.client.pool.workers), 0)
}

func TestARequestArrivesByteForByte(t *testing.T) {
	var raw bytes.Buffer
	got := make(chan struct{})
	b := newBench(t, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.NoErr(err)
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
		_, _ = io.WriteString(c, whole("r1", "", "hello"))
		close(got)
	}()
	request := b.request()
	request.Method, request.Path, request.Host = "DELETE", "/a//b/../c%2Fd/./?x=%41&y=+&z", "Some.Host:81"
	request.Lines = append(request.Lines, base.HeaderLine{Name: "x-Second", Value: "b"}, base.HeaderLine{Name: "x-Second", Value: "a"}, base.HeaderLine{Name: "Cookie", Value: "b=2; a=1"},
		base.HeaderLine{Name: "Content-Type", Value: "text/odd"}, base.HeaderLine{Name: "user-agent", Value: "me"})
	reply, err := b.client.Call(base.NewCtx(b.clock, 20*time.Second), listener.Addr().String(), request)
	b.NoErr(err)
	defer reply.Close()
	<-got
	b.Equal(raw.String(), strings.Join([]string{"DELETE /a//b/../c%2Fd/./?x=%41&y=+&z HTTP/1.1", "Host: Some.Host:81", "Request-Id: r1", "x-Second: b", "x-Second: a",
		"Cookie: b=2; a=1", "Content-Type: text/odd", "user-agent: me", "Content-Length: 3", "", "ask"}, "\r\n"))
}

func TestALongBodyArrivesWhole(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 1<<15)
	b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
		body, _ := io.ReadAll(request.Body)
		_, _ = io.WriteString(c, whole(request.Header.Get("Request-Id"), "", fmt.Sprint(bytes.Equal(body, long))))
		return true
	})
	for range 2 {
		request := b.request()
		request.Body = long
		reply, err := b.send(request)
		b.NoErr(err)
		body, err := reply.Body(20*time.Second, 1000)
		b.NoErr(err)
		b.Equal(string(body), "true")
	}
	b.Equal(b.connections(), 1)
}

func TestAnAnswerIsBounded(t *testing.T) {
	for _, raw := range []string{"Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n"} {
		b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\n"+raw)
			return true
		})
		_, err := b.ask()
		b.True(err != nil)
		_, open := b.idle()
		b.Equal(open, 0)
	}
}

func TestConnectionsToAWorkerAreBounded(t *testing.T) {
	b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		return true
	})
	request := b.request()
	request.MostConns = 1
	first, err := b.send(request)
	b.NoErr(err)
	second := b.request()
	second.MostConns = 1
	_, err = b.send(second)
	b.True(base.WasNotSent(err))
	b.True(errors.Is(err, base.ErrNoConnection))
	first.Close()
	third := b.request()
	third.MostConns = 1
	reply, err := b.send(third)
	b.NoErr(err)
	reply.Close()
}

func TestALeavingWorkerGetsNothing(t *testing.T) {
	b := newBench(t, func(c net.Conn, request *http.Request, made int) bool {
		if request.Header.Get("Request-Id") == "r2" {
			t.Error("the request went out")
		}
		return ordinary(c, request, made)
	})
	b.served()
	request := b.request()
	request.Stays = func() bool { return false }
	_, err := b.send(request)
	b.True(base.WasNotSent(err))
	b.True(errors.Is(err, base.ErrLeaves))
	b.served()
	b.Equal(b.connections(), 1)
}

// A stream's lines come as they are sent; its connection is kept after the last
// chunk and closed when the reply is closed before.
func TestStreamsOnKeptConnections(t *testing.T) {
	next, seen := make(chan struct{}), make(chan error, 1)
	b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
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
		reply, err := b.send(b.request())
		b.NoErr(err)
		var lines []string
		for {
			line, err := reply.Line(20 * time.Second)
			if err == io.EOF {
				break
			}
			b.NoErr(err)
			lines = append(lines, string(line))
			if len(lines) == 2 {
				next <- struct{}{}
			}
		}
		b.Equal(strings.Join(lines, ""), "data: 1\n\ndata: 2\n\n")
		reply.Close()
	}
	b.Equal(b.connections(), 1)
	reply, err := b.send(b.request())
	b.NoErr(err)
	_, err = reply.Line(20 * time.Second)
	b.NoErr(err)
	_, err = reply.Line(20 * time.Second)
	b.NoErr(err)
	ended := make(chan error)
	go func() {
		_, err := reply.Line(time.Minute)
		ended <- err
	}()
	next <- struct{}{}
	reply.Close()
	b.True(<-ended != nil)
	b.True(<-seen != nil)
}

func TestACutStreamHasNoCleanEnd(t *testing.T) {
	for _, tail := range []string{"", "9\r\ndata", "9\r\ndata: 2\n\n\r\n", "zz\r\n", "0\r\n"} {
		b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n"+tail)
			return false
		})
		b.cutStream()
	}
	b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\n\r\ndata: 1\n\n")
		return false // an end that only the close tells
	})
	b.cutStream()
}

func (b *bench) cutStream() {
	b.Helper()
	reply, err := b.send(b.request())
	b.NoErr(err)
	for err == nil {
		_, err = reply.Line(20 * time.Second)
	}
	b.True(err != io.EOF)
	reply.Close()
	_, open := b.idle()
	b.Equal(open, 0)
}

// A worker that is forgotten while it answers keeps no connection afterwards.
func TestAForgottenWorkersConnectionIsNotKept(t *testing.T) {
	b := newBench(t, ordinary)
	reply, err := b.send(b.request())
	b.NoErr(err)
	held := b.client.pool.workers["w1"]
	b.client.Forget("w1")
	_, err = reply.Body(20*time.Second, 1000)
	b.NoErr(err)
	reply.Close()
	b.Equal(len(held.idle), 0)
	b.Equal(held.open, 0)
	<-b.worker.ended
	b.served()
	b.Equal(b.connections(), 2)
}

// Many callers at once; under -race this also shows that nothing is shared.
func TestManyAtOnceOverKeptConnections(t *testing.T) {
	b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, whole(request.Header.Get("Request-Id"), "", request.Header.Get("Request-Id")))
		return true
	})
	var all sync.WaitGroup
	for task := range 8 {
		all.Go(func() {
			for round := range 50 {
				id := fmt.Sprintf("t%d-%d", task, round)
				reply, err := b.send(&base.BackRequest{Method: "GET", Path: "/x", Worker: "w1", Lines: []base.HeaderLine{{Name: "Request-Id", Value: id}}, Match: base.HeaderLine{Name: "Request-Id", Value: id}})
				if err != nil {
					t.Error(err)
					return
				}
				body, err := reply.Body(20*time.Second, 1000)
				if err != nil || string(body) != id {
					t.Error(id, string(body), err)
				}
				reply.Close()
			}
		})
	}
	all.Wait()
	b.True(b.connections() <= 8)
}

func TestIdleConnectionsHaveNoTask(t *testing.T) {
	b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nContent-Length: 5\r\n\r\n")
		_, _ = io.WriteString(c, "hello")
		return true
	})
	before := runtime.NumGoroutine()
	var replies []base.BackReply
	for range 10 {
		reply, err := b.send(b.request())
		b.NoErr(err)
		replies = append(replies, reply)
	}
	for _, reply := range replies {
		_, err := reply.Body(20*time.Second, 1000)
		b.NoErr(err)
	}
	idle, _ := b.idle()
	b.Equal(idle, 10)
	b.True(runtime.NumGoroutine() <= before+10+2) // the worker's own tasks
}

func BenchmarkExchangeOnAKeptConnection(b *testing.B) {
	answer := []byte(whole("r1", "Server-Load: 1,0,6\r\n", strings.Repeat("x", 800)))
	worker := newFakeWorker(b, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = c.Write(answer)
		return true
	})
	pool := New(5*time.Second, base.NewCounters())
	clock := base.NewRealClock()
	request := &base.BackRequest{Method: "POST", Path: "/x/y", Host: "some.host", Body: bytes.Repeat([]byte("y"), 600), Worker: "w1",
		Lines: []base.HeaderLine{{Name: "Request-Id", Value: "r1"}, {Name: "Deadline", Value: "6000"}}, Match: base.HeaderLine{Name: "Request-Id", Value: "r1"}}
	b.ReportAllocs()
	for b.Loop() {
		reply, err := pool.Call(base.NewCtx(clock, 20*time.Second), worker.addr(), request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := reply.Body(20*time.Second, 1000); err != nil {
			b.Fatal(err)
		}
		reply.Close()
	}
}

// A worker that ends idle connections sooner than it tells: the connections that
// follow rest no longer than one has survived; a loss after a rest that others
// survived changes nothing.
func TestConnectionsThatEndIdleShortenTheNextRest(t *testing.T) {
	for _, row := range []struct {
		name      string
		survived  time.Duration
		ends      time.Duration
		shortened bool
	}{
		{"ended after the longest rest", 2 * time.Second, 6 * time.Second, true},
		{"ended after a rest that was survived", 6 * time.Second, 2 * time.Second, false},
		{"ended at once", 0, 100 * time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, func(c net.Conn, request *http.Request, _ int) bool {
				id := request.Header.Get("Request-Id")
				if id == "r3" {
					return false
				}
				_, _ = io.WriteString(c, whole(id, "Keep-Alive: timeout=10\r\n", "hello"))
				return true
			})
			b.served()
			b.clock.ahead.Add(int64(row.survived))
			b.served()
			b.clock.ahead.Add(int64(row.ends))
			_, err := b.ask()
			b.True(err != nil)
			b.True(!base.WasNotSent(err))
			b.served()
			b.clock.ahead.Add(int64(5 * time.Second))
			b.served()
			made := 2
			if row.shortened {
				made = 3 // the last one rested too long
			}
			b.Equal(b.connections(), made)
		})
	}
}
