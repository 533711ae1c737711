package relay_test

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"
	"fordseam/internal/simulate"

	"github.com/matryer/is"
)

var wireNames = &relay.WireNames{ID: "Call-Id", Deadline: "Time-Left", Seal: "Seal", ExpectWorker: "Only-Worker", NotRun: "Refused", Load: "Load", Urgency: "Rank"}

// fault is what a fakeWorker does with a request instead of answering it.
type fault int

const (
	healthy             fault = iota
	rejects                   // 503 with the header that says it did not run
	rejectsWithoutProof       // 503 without that header
	unreachable               // no connection can be made
	losesReply                // runs it, but the response is lost
	truncatesBody             // runs it, but the response's body is truncated
	omitsSeal                 // 200 without the seal header
	encodesBody               // 200 with a content encoding
	returns500                // its own status 500
	misdirects                // 421
	neverAnswers              // never answers
	leavesBeforeSend          // begins to leave just before the first byte is sent
)

// fakeWorker is a worker in virtual time with slots, a short queue, load reports in
// its responses, and a fault if one is set.
type fakeWorker struct {
	relay.Worker
	slots, queue     int
	workTime         func() time.Duration
	fault            fault
	running, waiting int
	peakLoad         int
	slotFreed        *base.Notifier
	ranIDs           []string // ids of the requests it ran
	receivedIDs      []string // ids of the requests it was sent
	lastRequest      *base.BackendRequest
	cachedTokens     map[string]int // by part, for model workers
	prefillPerToken  time.Duration
	prefilledTokens  int
}

// fleet is a set of fake workers that serves as the relay's backends. In virtual
// time one task runs at a time.
type fleet struct {
	*is.I
	t          *testing.T
	world      *simulate.World
	clock      base.Clock
	host       *simulate.Host
	workers    map[string]*fakeWorker
	ordered    []*fakeWorker
	beforeSend func(*fakeWorker) // called just before the first byte is sent
	forgotten  []string
}

func newFleet(t *testing.T, seed uint64) *fleet {
	world := simulate.NewWorld(seed)
	t.Cleanup(world.Close)
	host := world.NewHost("here", "z1")
	return &fleet{I: is.New(t), t: t, world: world, clock: host.Clock(), host: host, workers: map[string]*fakeWorker{}}
}

func (f *fleet) addWorker(id, zone string, slots int) *fakeWorker {
	w := &fakeWorker{Worker: relay.Worker{ID: id, Addr: "addr-" + id, Service: "s", Zone: zone, Capacity: slots}, slots: slots, queue: 4 * slots,
		workTime: func() time.Duration { return 100 * time.Millisecond }, slotFreed: base.NewNotifier(f.clock), cachedTokens: map[string]int{}}
	f.workers[w.Addr] = w
	f.ordered = append(f.ordered, w)
	return w
}

func (f *fleet) list() relay.Workers {
	return base.Map(f.ordered, func(w *fakeWorker) relay.Worker { return w.Worker })
}

func (f *fleet) relay(zone string) *relay.Relay {
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	r := relay.New(relay.Config{Clock: f.clock, Backends: f, Bounds: bounds, Names: wireNames, Zone: zone, MaxResponseBytes: 1 << 20, Counters: base.NewCounters()})
	r.SetWorkers(f.list())
	return r
}

// run runs a task in virtual time until it has ended.
func (f *fleet) run(task func()) {
	f.t.Helper()
	done := false
	f.host.Go(func() {
		task()
		done = true
	})
	if !f.world.Run(10*time.Minute, func() bool { return done }) {
		f.t.Fatal("the task did not end")
	}
}

func (f *fleet) DropIdle(worker string) { f.forgotten = append(f.forgotten, worker) }

func (f *fleet) Call(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	w := f.workers[addr]
	f.clock.Sleep(time.Millisecond)
	if w.fault == unreachable {
		return nil, &base.NotSent{Cause: errors.New("refused")}
	}
	if f.beforeSend != nil {
		f.beforeSend(w)
	}
	if request.ConfirmSend != nil && !request.ConfirmSend() {
		return nil, &base.NotSent{Cause: base.ErrDraining}
	}
	id := valueOf(request, "Call-Id")
	w.receivedIDs, w.lastRequest = append(w.receivedIDs, id), request
	f.clock.Sleep(time.Millisecond)
	reply := &fakeReply{fleet: f, worker: w, status: 200, header: map[string]string{"Call-Id": id, "Seal": "sealed-" + id}, body: []byte("answer to " + id)}
	reject := func(status int, proof bool) (base.BackendReply, error) {
		reply.status, reply.body = status, []byte("no")
		if proof {
			reply.header["Refused"] = "1"
		}
		reply.reportLoad()
		return reply, nil
	}
	switch {
	case w.fault == rejects:
		return reject(503, true)
	case w.fault == rejectsWithoutProof:
		return reject(503, false)
	case w.fault == misdirects || valueOf(request, "Only-Worker") != w.ID:
		return reject(421, false)
	case w.fault == neverAnswers:
		f.clock.Sleep(ctx.Remaining())
		return nil, errors.New("no answer in time")
	case w.running >= w.slots && w.waiting >= w.queue:
		return reject(503, true)
	}
	w.peakLoad = max(w.peakLoad, w.running+w.waiting+1)
	w.waiting++
	for w.running >= w.slots {
		w.slotFreed.Next().Wait(-1)
	}
	w.waiting--
	w.running++
	w.ranIDs = append(w.ranIDs, id)
	if w.prefillPerToken > 0 {
		w.prefill(f, request)
	}
	f.clock.Sleep(w.workTime())
	w.running--
	w.slotFreed.Notify()
	switch w.fault {
	case losesReply:
		return nil, errors.New("reset")
	case truncatesBody:
		reply.cut = true
	case omitsSeal:
		delete(reply.header, "Seal")
	case encodesBody:
		reply.header["Content-Encoding"] = "gzip"
	case returns500:
		reply.status = 500
	}
	if stream := valueOf(request, "Stream"); stream != "" {
		reply.lines = strings.SplitAfter(stream, "\n")
	}
	reply.reportLoad()
	f.clock.Sleep(time.Millisecond)
	return reply, nil
}

// prefill takes the time to prefill the parts that are not cached.
func (w *fakeWorker) prefill(f *fleet, request *base.BackendRequest) {
	uncached, broken := 0, false
	for _, part := range strings.Split(valueOf(request, "Parts"), ",") {
		id, tokens, _ := strings.Cut(part, ":")
		count, _ := strconv.Atoi(tokens)
		cached := min(w.cachedTokens[id], count)
		if broken {
			cached = 0
		}
		uncached += count - cached
		broken = cached < count
		w.cachedTokens[id] = max(w.cachedTokens[id], count)
	}
	w.prefilledTokens += uncached
	f.clock.Sleep(time.Duration(uncached) * w.prefillPerToken)
}

func valueOf(request *base.BackendRequest, name string) string {
	for _, line := range request.HeaderLines {
		if line.Name == name {
			return line.Value
		}
	}
	return ""
}

type fakeReply struct {
	fleet  *fleet
	worker *fakeWorker
	status int
	header map[string]string
	body   []byte
	cut    bool
	lines  []string
	closed bool
}

func (r *fakeReply) reportLoad() {
	r.header["Load"] = fmt.Sprintf("%d,%d,%d", r.worker.running, r.worker.waiting, r.worker.slots)
}

func (r *fakeReply) Status() int               { return r.status }
func (r *fakeReply) Header(name string) string { return r.header[name] }
func (r *fakeReply) ClosesConnection() bool    { return false }
func (r *fakeReply) Close()                    { r.closed = true }

func (r *fakeReply) EachHeader(visit func(name, value []byte)) {
	for _, name := range base.SortedKeys(r.header) {
		visit([]byte(name), []byte(r.header[name]))
	}
}

func (r *fakeReply) ReadLine(time.Duration) ([]byte, error) {
	if len(r.lines) == 0 || r.lines[0] == "" {
		if r.cut {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, io.EOF
	}
	line := r.lines[0]
	r.lines = r.lines[1:]
	return []byte(line), nil
}

func (r *fakeReply) ReadBody(time.Duration, int) ([]byte, error) {
	if r.cut {
		return nil, io.ErrUnexpectedEOF
	}
	return slices.Clone(r.body), nil
}

var plainService = &route.Service{Name: "s"}

// newRoute returns a route with a latency target of 400 ms.
func newRoute(kind route.Kind, maxAttempts int) *route.Route {
	return &route.Route{Name: "r", Kind: kind, Timeout: 6 * time.Second, LatencyTarget: 400 * time.Millisecond, Urgency: 3, MaxAttempts: maxAttempts}
}

var callCount int

// newCall returns a call with a new id.
func newCall() *relay.Call {
	callCount++
	return &relay.Call{ID: fmt.Sprintf("id%d", callCount), Host: "h", Method: "POST", Target: "/p?q=1", Deadline: 5 * time.Second}
}

// dispatch sends a call to the plain service and returns its reply or error.
func (f *fleet) dispatch(r *relay.Relay, rt *route.Route, c *relay.Call) (*relay.Reply, *base.RequestError) {
	reply, err := r.Dispatch(base.NewCtx(f.clock, time.Minute), rt, plainService, c, []byte("ask"))
	if err != nil {
		return nil, base.ToRequestError(err)
	}
	return reply, nil
}
