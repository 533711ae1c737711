package workerconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/standin/platform"
)

const (
	// endlessBodyLimit is the largest body that the tests of endless answers read.
	endlessBodyLimit = 4 << 20
	// endlessTakenLimit is the most that may be taken of an answer: the body, and the buffers of
	// the sockets.
	endlessTakenLimit = endlessBodyLimit + 12<<20
	// endlessLines is how many lines a reader reads of an answer at most before it gives up.
	endlessLines = 1000
	// endlessMachineBytes is the memory of the machine in these tests.
	endlessMachineBytes = 160 << 20
)

// endlessWorker answers each request without end.
type endlessWorker struct {
	listener net.Listener
	form     platform.EndlessForm
	status   int
	taken    atomic.Int64
	ended    chan struct{}
}

func newEndlessWorker(t *testing.T, form platform.EndlessForm, status int) *endlessWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &endlessWorker{listener: listener, form: form, status: status, ended: make(chan struct{})}
	go w.serve()
	t.Cleanup(func() { _ = listener.Close() })
	return w
}

// serve answers the first request.
func (w *endlessWorker) serve() {
	defer close(w.ended)
	conn, err := w.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	startedAt := time.Now()
	header := [][2]string{{idHeader, "r1"}, {"Content-Type", "text/event-stream"}}
	w.taken.Store(w.form.Write(w.status, header, func() time.Duration { return time.Since(startedAt) }, func(block []byte) error {
		_, err := conn.Write(block)
		return err
	}))
}

// readEndless reads an answer without end in one of the two ways, and closes it.
func readEndless(client *Client, addr, incarnation string, lease base.MemoryLease, lines bool) error {
	ctx := base.NewCtx(base.NewRealClock(), 20*time.Second)
	reply, err := client.Call(ctx, addr, &base.BackendRequest{Method: "GET", Path: "/", Incarnation: incarnation, Memory: lease, EchoedHeader: base.HeaderLine{Name: idHeader, Value: "r1"}})
	if err != nil {
		return err
	}
	defer reply.Close()
	if !lines {
		_, err := reply.ReadBody(20*time.Second, endlessBodyLimit)
		return err
	}
	for count, bytes := 0, 0; count < endlessLines && bytes < endlessBodyLimit; count++ {
		line, err := reply.ReadLine(20 * time.Second)
		if err != nil {
			return err
		}
		bytes += len(line)
	}
	return io.ErrShortBuffer
}

// TestEndlessAnswersAreGivenUp guards against answers that are read, or kept, without end.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	for _, form := range platform.EndlessForms {
		for _, status := range []int{200, 500} {
			for _, incarnation := range []string{"", "w1"} {
				for _, lines := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s_%d_incarnation_%q_lines_%t", form, status, incarnation, lines), func(t *testing.T) {
						worker, counters := newEndlessWorker(t, form, status), base.NewCounters()
						client := New(time.Second, counters)
						budget := memory.NewBudget(base.NewRealClock(), counters, endlessMachineBytes)
						lease := budget.NewAnswerLease()
						if err := readEndless(client, worker.listener.Addr().String(), incarnation, lease, lines); err == nil {
							t.Error("an answer without end was read to its end")
						}
						<-worker.ended
						if taken := worker.taken.Load(); taken > endlessTakenLimit {
							t.Errorf("%d bytes were taken of the answer", taken)
						}
						if idle := len(client.pool.workers[incarnation].idleConns()); idle > 0 {
							t.Error("the connection is kept")
						}
						lease.Close()
						if used := budget.Used(); used != 0 {
							t.Errorf("%d bytes stay counted", used)
						}
					})
				}
			}
		}
	}
}

// idleConns returns the idle connections, none for a nil entry.
func (w *workerConns) idleConns() []*conn {
	if w == nil {
		return nil
	}
	return w.idle
}

// TestAnswerWaitsForMemoryInItsSocket guards against answers that are held although the memory
// of the node is in use.
func TestAnswerWaitsForMemoryInItsSocket(t *testing.T) {
	worker, counters := newEndlessWorker(t, platform.EndlessChunk, 200), base.NewCounters()
	budget := memory.NewBudget(base.NewRealClock(), counters, endlessMachineBytes)
	others := budget.NewAnswerLease()
	for others.Grow(memory.SmallBytes) == nil {
	}
	lease := budget.NewAnswerLease()
	err := readEndless(New(time.Second, counters), worker.listener.Addr().String(), "w1", memory.WaitingLease{Lease: lease, Timeout: 100 * time.Millisecond}, false)
	if !memory.IsShortage(err) {
		t.Errorf("the error is %v", err)
	}
	others.Close()
	lease.Close()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes stay counted", used)
	}
}

// TestSmallChunksOfALegalAnswerAreRead guards against a bound on framing that legal answers meet.
func TestSmallChunksOfALegalAnswerAreRead(t *testing.T) {
	for _, test := range []struct{ chunk, body int }{{1, 32 << 10}, {3, 1 << 20}} {
		t.Run(fmt.Sprint("chunks of ", test.chunk), func(t *testing.T) {
			p := newPoolTest(t, func(c net.Conn, request *http.Request, _ int) bool {
				writer := bufio.NewWriter(c)
				fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, request.Header.Get(idHeader))
				for range test.body / test.chunk {
					fmt.Fprintf(writer, "%x\r\n%s\r\n", test.chunk, "xyz"[:test.chunk])
				}
				_, _ = writer.WriteString("0\r\n\r\n")
				return writer.Flush() == nil
			})
			reply, err := p.send(p.request())
			if err != nil {
				t.Fatal(err)
			}
			defer reply.Close()
			body, err := reply.ReadBody(20*time.Second, 2<<20)
			if err != nil || len(body) != test.body/test.chunk*test.chunk {
				t.Errorf("%d bytes, error %v", len(body), err)
			}
		})
	}
}
