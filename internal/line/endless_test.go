package line

import (
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

// endlessWorkers answer each turn with events of a size, without end.
type endlessWorkers struct {
	eventBytes int
	events     atomic.Int64 // that were read
	closed     atomic.Bool
	failed     atomic.Bool // the worker is blamed
}

func (w *endlessWorkers) Send(*base.Ctx, *route.Route, *route.Service, *relay.Call, []byte) (Reply, error) {
	return endlessReply{w}, nil
}

type endlessReply struct{ workers *endlessWorkers }

func (r endlessReply) Status() int                        { return 200 }
func (r endlessReply) Headers() []relay.Header            { return nil }
func (r endlessReply) IsStream() bool                     { return true }
func (r endlessReply) TakeMemory() *memory.Lease          { return nil }
func (r endlessReply) Fail()                              { r.workers.failed.Store(true) }
func (r endlessReply) Close()                             { r.workers.closed.Store(true) }
func (r endlessReply) Body(time.Duration) ([]byte, error) { return nil, io.ErrUnexpectedEOF }

func (r endlessReply) Event(time.Duration) (*relay.Event, error) {
	if r.workers.closed.Load() {
		return nil, io.ErrClosedPipe
	}
	r.workers.events.Add(1)
	data := make([]byte, r.workers.eventBytes)
	return &relay.Event{Raw: append([]byte("data: "), data...), Data: data}, nil
}

// newEndlessNode returns a node whose workers answer without end, and its budget.
func newEndlessNode(t *testing.T, eventBytes int) (*testCluster, *Manager, *endlessWorkers, *memory.Budget) {
	c := newTestCluster(t)
	m := c.addNode("a")
	workers := &endlessWorkers{eventBytes: eventBytes}
	m.Workers = workers
	return c, m, workers, c.limitMemory(m)
}

// TestSlowReaderHoldsItsWorkerBack guards against streams that keep what a worker sends faster
// than its client reads.
func TestSlowReaderHoldsItsWorkerBack(t *testing.T) {
	for _, test := range []struct {
		target     string
		eventBytes int
	}{{"/t", 200}, {"/loose/t", 200}, {"/loose/t", 512 << 10}} { // one route keeps turns
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			is, eventBytes := is.New(t), test.eventBytes
			c, m, workers, budget := newEndlessNode(t, eventBytes)
			call := c.call("s1", "t1", "")
			call.Target = test.target
			stream, err := c.submit(m, base.NewCtx(c.clock, 10*time.Second), call)
			is.NoErr(err)
			_, err = stream.Head(10*time.Second, c.clock)
			is.NoErr(err)
			reader, read := NewReader(stream, c.clock, 10*time.Second), 0
			for range 4 {
				for !stream.isWriterWaiting() {
					runtime.Gosched()
				}
				held := int(workers.events.Load())*eventBytes - read
				is.True(held <= 2*windowBytes+3*eventBytes) // in the window, in the reader, and on the way
				n, err := io.CopyN(io.Discard, reader, int64(windowBytes+eventBytes))
				is.NoErr(err)
				read += int(n)
			}
			is.NoErr(reader.Close())
			awaitRelease(budget)
			is.True(workers.closed.Load())
		})
	}
}

func (s *Stream) isWriterWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writerWaits
}

// TestOutputBeyondTheMemoryIsCut guards against turns whose output takes all memory of a node.
func TestOutputBeyondTheMemoryIsCut(t *testing.T) {
	is := is.New(t)
	c, m, workers, budget := newEndlessNode(t, 512<<10)
	stream, err := c.submit(m, base.NewCtx(c.clock, 10*time.Second), c.call("s1", "t1", ""))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, NewReader(stream, c.clock, 10*time.Second))
	is.Equal(err, io.ErrUnexpectedEOF)
	stream.Abandon()
	awaitRelease(budget)
	is.True(workers.closed.Load())
	is.True(workers.events.Load()*512<<10 < machineBytes)
	is.True(workers.failed.Load())
}

// TestForwardedStreamIsHeldBackToo guards against owners, and gateways that forward a turn, that
// keep what its client does not read.
func TestForwardedStreamIsHeldBackToo(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a, b := c.addNode("a:1", "b:1"), c.addNode("b:1", "a:1")
	c.connect(a, b)
	defer a.View.Close()
	defer b.View.Close()
	_, err := c.submitAndRead(a, c.call("s1", "t1", ""))
	is.NoErr(err)
	workers := &endlessWorkers{eventBytes: 1000}
	a.Workers = workers
	budgets := []*memory.Budget{c.limitMemory(a), c.limitMemory(b)}
	stream, err := c.submit(b, base.NewCtx(c.clock, 10*time.Second), c.call("s1", "t2", "t1"))
	is.NoErr(err)
	_, err = stream.Head(10*time.Second, c.clock)
	is.NoErr(err)
	for !stream.isWriterWaiting() {
		runtime.Gosched()
	}
	is.True(workers.events.Load() <= 4*windowBytes/1000)
	stream.Abandon()
	for _, budget := range budgets {
		awaitRelease(budget)
	}
	is.True(workers.closed.Load())
}
