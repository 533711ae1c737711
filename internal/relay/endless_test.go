package relay_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

// endlessBackends answers each request with the same lines again and again.
type endlessBackends struct {
	fleet   *fleet
	status  int
	cycle   []string
	pause   time.Duration // before each line
	replies []*endlessReply
}

func (e *endlessBackends) DropIdle(string) {}

func (e *endlessBackends) Call(_ *base.Ctx, _ string, request *base.BackendRequest) (base.BackendReply, error) {
	reply := &endlessReply{streamReply: streamReply{fleet: e.fleet, status: e.status, seal: "s"}, backends: e, memory: request.Memory}
	e.replies = append(e.replies, reply)
	return reply, nil
}

// endlessReply is a stream without end, or a body that is as long as the reader allows.
type endlessReply struct {
	streamReply
	backends *endlessBackends
	memory   base.MemoryLease
	lines    int
}

func (r *endlessReply) ReadLine(limit time.Duration) ([]byte, error) {
	pause := r.backends.pause
	if pause > limit {
		r.backends.fleet.clock.Sleep(limit)
		return nil, errors.New("no line in time")
	}
	r.backends.fleet.clock.Sleep(pause)
	r.lines++
	return []byte(r.backends.cycle[(r.lines-1)%len(r.backends.cycle)]), nil
}

func (r *endlessReply) ReadBody(_ time.Duration, maxBytes int) ([]byte, error) {
	return memory.ReadBody(endlessReader{}, -1, maxBytes, r.memory)
}

// endlessReader reads the same byte again and again.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

// readEndlessStream reads the answer to a call until it ends, and returns the events with data.
func (e *endlessBackends) readEndlessStream(t *testing.T, rt *route.Route, call *relay.Call) (events int, counters *base.Counters, err error) {
	f := newFleet(t, 1)
	e.fleet, counters = f, base.NewCounters()
	f.addWorker("a", "z1", 4)
	f.addWorker("b", "z1", 4)
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	budget := memory.NewBudget(f.clock, counters, 160<<20)
	r := relay.New(relay.Config{Clock: f.clock, Backends: e, Bounds: bounds, Names: resumeNames, Zone: "z1", MaxResponseBytes: 16 << 20, Counters: counters, Memory: budget})
	r.SetWorkers(f.list())
	f.run(func() {
		var reply *relay.Reply
		ctx := base.NewCtx(f.clock, call.Deadline)
		if reply, err = r.Dispatch(ctx, rt, plainService, call, nil); err != nil {
			return
		}
		for err == nil {
			var event *relay.Event
			if event, err = reply.Event(ctx.Remaining()); err == nil && event.Data != nil {
				events++
			}
		}
		reply.Close()
	})
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes stay counted", used)
	}
	return events, counters, err
}

// TestEventsBeyondTheRequestAreCut guards against workers that send events without end.
func TestEventsBeyondTheRequestAreCut(t *testing.T) {
	is := is.New(t)
	backends := &endlessBackends{status: 200, cycle: []string{"data: x\n", "\n"}}
	call := newCall()
	call.MaxOutputTokens = 20
	events, counters, err := backends.readEndlessStream(t, resumableRoute(2), call)
	is.Equal(events, 20)
	is.True(base.IsCode(err, "worker_overran"))
	is.Equal(len(backends.replies), 1) // it is not resumed
	is.True(backends.replies[0].closed)
	is.Equal(counters.Snapshot()["answers_overrun"], int64(1))
}

// TestCommentsAreNoProgress guards against streams that are kept alive by what brings them no
// further.
func TestCommentsAreNoProgress(t *testing.T) {
	for _, cycle := range [][]string{{": nothing\n", "\n"}, {"\n"}, {"id: 7\n"}} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			is := is.New(t)
			backends := &endlessBackends{status: 200, cycle: cycle, pause: pause}
			events, _, err := backends.readEndlessStream(t, resumableRoute(2), newCall())
			is.Equal(events, 0)
			is.True(err != nil && err != io.EOF)
			is.Equal(len(backends.replies), 2) // another worker was tried
		}
	}
}

// TestBodiesOfAnswersCountToTheMemory guards against answers that are held beside the budget.
func TestBodiesOfAnswersCountToTheMemory(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{200, 500} {
		backends := &endlessBackends{status: status}
		_, _, err := backends.readEndlessStream(t, newRoute(route.KindNonIdempotent, 1), newCall())
		is.True(base.IsCode(err, "worker_cut"))
		is.True(backends.replies[0].closed)
	}
}

// TestCommentsThatKeepAStreamOpenArePassedOn checks that a worker may send comments while its
// client waits.
func TestCommentsThatKeepAStreamOpenArePassedOn(t *testing.T) {
	is := is.New(t)
	cycle := []string{}
	for range 30 {
		cycle = append(cycle, ": wait\n", "\n")
	}
	cycle = append(cycle, "data: x\n", "\n")
	call := newCall()
	call.MaxOutputTokens = 1
	call.Deadline = 2 * time.Minute
	rt := newRoute(route.KindStream, 1)
	rt.Timeout = 2 * time.Minute
	backends := &endlessBackends{status: 200, cycle: cycle, pause: 250 * time.Millisecond}
	events, _, err := backends.readEndlessStream(t, rt, call)
	is.Equal(events, 1)
	is.True(err != nil) // the second event is one too many, or too late
}
