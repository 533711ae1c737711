// Workers in virtual time for the relay's tests: slots, a short queue, load
// told in answers, and faults on demand. One task runs at a time.
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

var names = &relay.WireNames{ID: "Call-Id", Deadline: "Time-Left", Seal: "Seal", ExpectWorker: "Only-Worker", NotRun: "Refused", Load: "Load", Urgency: "Rank"}

// fault is what a worker does with a request instead of answering.
type fault int

const (
	well        fault = iota
	refuses           // 503 with the proof
	refusesBare       // 503 without it
	unreachable       // no connection
	loses             // runs it and loses the answer
	cuts              // runs it and cuts the answer's body
	unsealed          // 200 without the seal
	encoded           // 200 with an encoding
	breaks            // 500 of its own
	mistaken          // 421
	silent            // never answers
	neverBegins       // refuses in the moment before the first byte
)

type fakeWorker struct {
	relay.Worker
	slots, queue     int
	work             func() time.Duration
	fault            fault
	running, waiting int
	most             int
	bell             *base.Bell
	ran              []string // ids of requests it ran
	got              []string // ids of requests it was sent
	last             *base.BackRequest
	kept             map[string]int // tokens of parts, for model workers
	reading          time.Duration
	read             int
}

type fleet struct {
	*is.I
	t       *testing.T
	world   *simulate.World
	clock   base.Clock
	host    *simulate.Host
	workers map[string]*fakeWorker
	order   []*fakeWorker
	before  func(*fakeWorker) // just before the first byte leaves
	forgot  []string
}

func newFleet(t *testing.T, seed uint64) *fleet {
	world := simulate.NewWorld(seed)
	t.Cleanup(world.Close)
	host := world.NewHost("here", "z1")
	return &fleet{I: is.New(t), t: t, world: world, clock: host.Clock(), host: host, workers: map[string]*fakeWorker{}}
}

func (f *fleet) add(id, zone string, slots int) *fakeWorker {
	w := &fakeWorker{Worker: relay.Worker{ID: id, Addr: "addr-" + id, Service: "s", Zone: zone, Capacity: slots}, slots: slots, queue: 4 * slots,
		work: func() time.Duration { return 100 * time.Millisecond }, bell: base.NewBell(f.clock), kept: map[string]int{}}
	f.workers[w.Addr] = w
	f.order = append(f.order, w)
	return w
}

func (f *fleet) list() relay.Workers {
	return base.Map(f.order, func(w *fakeWorker) relay.Worker { return w.Worker })
}

func (f *fleet) relay(zone string) *relay.Relay {
	bounds := &base.Table[base.Bounds]{}
	bounds.Swap(base.DefaultBounds())
	r := relay.New(relay.Config{Clock: f.clock, Backends: f, Bounds: bounds, Names: names, Zone: zone, MaxResponseBytes: 1 << 20, Counters: base.NewCounters()})
	r.SetWorkers(f.list())
	return r
}

// run lets a task go in virtual time until it has ended.
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

func (f *fleet) Forget(worker string) { f.forgot = append(f.forgot, worker) }

func (f *fleet) Call(ctx *base.Ctx, addr string, request *base.BackRequest) (base.BackReply, error) {
	w := f.workers[addr]
	f.clock.Sleep(time.Millisecond)
	if w.fault == unreachable {
		return nil, &base.NotSent{Cause: errors.New("refused")}
	}
	if f.before != nil {
		f.before(w)
	}
	if request.Stays != nil && !request.Stays() {
		return nil, &base.NotSent{Cause: base.ErrLeaves}
	}
	id := valueOf(request, "Call-Id")
	w.got, w.last = append(w.got, id), request
	f.clock.Sleep(time.Millisecond)
	reply := &fakeReply{fleet: f, worker: w, status: 200, header: map[string]string{"Call-Id": id, "Seal": "sealed-" + id}, body: []byte("answer to " + id)}
	turn := func(status int, proof bool) (base.BackReply, error) {
		reply.status, reply.body = status, []byte("no")
		if proof {
			reply.header["Refused"] = "1"
		}
		reply.tellLoad()
		return reply, nil
	}
	switch {
	case w.fault == refuses:
		return turn(503, true)
	case w.fault == refusesBare:
		return turn(503, false)
	case w.fault == mistaken || valueOf(request, "Only-Worker") != w.ID:
		return turn(421, false)
	case w.fault == silent:
		f.clock.Sleep(ctx.Left())
		return nil, errors.New("no answer in time")
	case w.running >= w.slots && w.waiting >= w.queue:
		return turn(503, true)
	}
	w.most = max(w.most, w.running+w.waiting+1)
	w.waiting++
	for w.running >= w.slots {
		w.bell.Next().Wait(-1)
	}
	w.waiting--
	w.running++
	w.ran = append(w.ran, id)
	if w.reading > 0 {
		w.readPrompt(f, request)
	}
	f.clock.Sleep(w.work())
	w.running--
	w.bell.Ring()
	switch w.fault {
	case loses:
		return nil, errors.New("reset")
	case cuts:
		reply.cut = true
	case unsealed:
		delete(reply.header, "Seal")
	case encoded:
		reply.header["Content-Encoding"] = "gzip"
	case breaks:
		reply.status = 500
	}
	if stream := valueOf(request, "Stream"); stream != "" {
		reply.lines = strings.SplitAfter(stream, "\n")
	}
	reply.tellLoad()
	f.clock.Sleep(time.Millisecond)
	return reply, nil
}

// readPrompt reads the parts that are not kept, one request at a time.
func (w *fakeWorker) readPrompt(f *fleet, request *base.BackRequest) {
	unread, broken := 0, false
	for _, part := range strings.Split(valueOf(request, "Parts"), ",") {
		id, tokens, _ := strings.Cut(part, ":")
		count, _ := strconv.Atoi(tokens)
		have := min(w.kept[id], count)
		if broken {
			have = 0
		}
		unread += count - have
		broken = have < count
		w.kept[id] = max(w.kept[id], count)
	}
	w.read += unread
	f.clock.Sleep(time.Duration(unread) * w.reading)
}

func valueOf(request *base.BackRequest, name string) string {
	for _, line := range request.Lines {
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

func (r *fakeReply) tellLoad() {
	r.header["Load"] = fmt.Sprintf("%d,%d,%d", r.worker.running, r.worker.waiting, r.worker.slots)
}

func (r *fakeReply) Status() int               { return r.status }
func (r *fakeReply) Header(name string) string { return r.header[name] }
func (r *fakeReply) Closes() bool              { return false }
func (r *fakeReply) Close()                    { r.closed = true }

func (r *fakeReply) EachHeader(visit func(name, value []byte)) {
	for _, name := range base.SortedKeys(r.header) {
		visit([]byte(name), []byte(r.header[name]))
	}
}

func (r *fakeReply) Line(time.Duration) ([]byte, error) {
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

func (r *fakeReply) Body(time.Duration, int) ([]byte, error) {
	if r.cut {
		return nil, io.ErrUnexpectedEOF
	}
	return slices.Clone(r.body), nil
}

var service = &route.Service{Name: "s"}

func plain(kind route.Kind, tries int) *route.Route {
	return &route.Route{Name: "r", Kind: kind, Timeout: 6 * time.Second, LatencyTarget: 400 * time.Millisecond, Urgency: 3, MaxAttempts: tries}
}

var calls int

func call() *relay.Call {
	calls++
	return &relay.Call{ID: fmt.Sprintf("id%d", calls), Host: "h", Method: "POST", Target: "/p?q=1", Deadline: 5 * time.Second}
}

func (f *fleet) offer(r *relay.Relay, rt *route.Route, c *relay.Call) (*relay.Reply, *base.Verdict) {
	reply, err := r.Dispatch(base.NewCtx(f.clock, time.Minute), rt, service, c, []byte("ask"))
	if err != nil {
		return nil, base.FromWire(err)
	}
	return reply, nil
}
