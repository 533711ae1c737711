// A request is offered to one worker after another of a route's service until
// one takes it. It goes on to a second worker only when the first certainly did
// not run it: no byte left, or the answer says so. A request that may be
// repeated goes on after any failure. Nothing is sent to a worker that the list
// shows leaving, nor when too little time is left for the send to count.

package relay

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/route"
)

// Workers is the list, swapped whole.
type Workers []Worker

// Config is what a relay is made of.
type Config struct {
	Clock    base.Clock
	Backends base.Backends
	Bounds   *base.Table[base.Bounds]
	Counters *base.Counters
	Names    *WireNames
	Zone     string
	// MaxResponseBytes bounds the bytes of a whole answer.
	MaxResponseBytes int
	// MaxConnsPerWorker is how many of a service's connections to each worker are this
	// node's; nil or 0 for no bound.
	MaxConnsPerWorker func(*route.Service) int
	// Rank orders requests when there is not room for all, the lowest first
	// and before urgency; nil for no order.
	Rank func(*Call) int
}

// Relay offers requests to workers on one node.
type Relay struct {
	Config

	// narrow, in tests, leaves only some of the workers to choose from.
	narrow func([]*state) []*state

	mu    sync.Mutex
	pools map[string]*pool
	known map[string]*state
	lists uint64
}

// New makes a relay that knows no workers yet.
func New(parts Config) *Relay {
	return &Relay{Config: parts, pools: map[string]*pool{}, known: map[string]*state{}}
}

// SetWorkers takes a new list. Workers that have gone or are leaving get nothing
// from now on; idle connections to those that have gone are dropped. Only the
// services that something changed for are gone through anew.
func (r *Relay) SetWorkers(workers Workers) {
	r.mu.Lock()
	r.lists++
	touched := map[string]bool{}
	for _, one := range workers {
		s := r.known[one.ID]
		switch {
		case s == nil || s.Addr != one.Addr || s.Service != one.Service:
			if s != nil {
				s.serving.Store(false)
				touched[s.Service] = true
			}
			s = &state{held: newPrefixes(), mark: base.Hash64(one.ID)}
			r.known[one.ID] = s
		case s.listed == one:
			s.list = r.lists
			continue
		}
		s.Worker, s.listed, s.list = one, one, r.lists
		s.serving.Store(!one.Draining)
		touched[one.Service] = true
	}
	var gone []string
	if len(r.known) > len(workers) {
		for _, id := range base.SortedKeys(r.known) {
			if s := r.known[id]; s.list != r.lists {
				s.serving.Store(false)
				touched[s.Service] = true
				gone = append(gone, id)
				delete(r.known, id)
			}
		}
	}
	for name := range touched {
		r.pool(name).workers = nil
	}
	if len(touched) > 0 {
		for _, one := range workers {
			if s := r.known[one.ID]; touched[one.Service] && !one.Draining {
				p := r.pools[one.Service]
				p.workers = append(p.workers, s)
			}
		}
	}
	for _, name := range base.SortedKeys(touched) {
		r.pump(r.pools[name])
	}
	r.mu.Unlock()
	for _, id := range gone {
		r.Backends.Forget(id)
	}
}

// offer is one request on its way to a worker.
type offer struct {
	route   *route.Route
	service *route.Service
	call    *Call
	body    []byte
	ctx     *base.Ctx
	began   time.Duration
	until   time.Duration
	rank    int
	lines   []base.HeaderLine
	tried   []*state
	sent    int
	maybe   bool // a worker may have run it

	// At the model worker that was chosen: tokens to read, how long it has to
	// read before, and what that changes of the parts it holds.
	shared  uint64 // mark of the first part
	unread  int
	backlog time.Duration
	changes []change
}

// Dispatch sends the request to a worker of the service and gives its answer:
// whole, or a stream under way. An error is a verdict.
func (r *Relay) Dispatch(ctx *base.Ctx, rt *route.Route, service *route.Service, call *Call, body []byte) (*Reply, error) {
	now := r.Clock.Now()
	limit := min(ctx.Left(), rt.Timeout)
	if call.Deadline > 0 {
		limit = min(limit, call.Deadline)
	}
	o := &offer{route: rt, service: service, call: call, body: body, ctx: ctx, began: now, until: now + limit}
	if r.Rank != nil {
		o.rank = r.Rank(call)
	}
	o.lines = r.passed(call, rt)
	if service.Engine != nil && len(call.PromptParts) > 0 {
		o.shared = base.Hash64(call.PromptParts[0].ID)
	}
	for {
		chosen, err := r.hold(o)
		if err != nil {
			return nil, o.settle(err)
		}
		reply, err := r.send(o, chosen)
		if reply != nil {
			return reply, nil
		}
		o.tried = append(o.tried, chosen)
		if v := base.VerdictIn(err); v == nil || v.Ran != base.NotRun {
			o.maybe = true
			if !o.mayAttemptAgain(0) {
				return nil, err
			}
		} else if o.sent >= max(1, rt.MaxAttempts) {
			r.mu.Lock()
			err = r.refuse(o)
			r.mu.Unlock()
			return nil, o.settle(err)
		}
		r.count("offers_carried_on")
	}
}

// settle keeps a refusal from promising what an earlier worker may have broken.
func (o *offer) settle(err error) error {
	if v := base.VerdictIn(err); o.maybe && v != nil && v.Ran == base.NotRun {
		return base.Unsure(502, "worker_lost", "a worker's answer was lost, and then: %s", v.Message)
	}
	return err
}

// least is the least time that makes a send an offer.
func (o *offer) least() time.Duration { return o.route.LatencyTarget / 10 }

func (r *Relay) count(name string) {
	if r.Counters != nil {
		r.Counters.Add(name, 1)
	}
}

// Headers that concern one connection only, and those that are written anew.
var ownHeaders = []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
	"transfer-encoding", "upgrade", "host", "content-length", "expect"}

// passed are the client's header lines that go on, and the id.
func (r *Relay) passed(call *Call, rt *route.Route) []base.HeaderLine {
	lines := make([]base.HeaderLine, 0, len(call.Headers)+4)
	var named string
	for _, line := range call.Headers {
		if strings.EqualFold(line.Name, "Connection") {
			named += "," + line.Value
		}
	}
	n := r.Names
	for _, line := range call.Headers {
		if slices.ContainsFunc(ownHeaders, func(own string) bool { return strings.EqualFold(own, line.Name) }) ||
			(named != "" && slices.ContainsFunc(strings.Split(named, ","), func(one string) bool { return strings.EqualFold(strings.TrimSpace(one), line.Name) })) ||
			is(line.Name, n.ID) || is(line.Name, n.Deadline) || is(line.Name, n.ExpectWorker) || is(line.Name, n.Urgency) {
			continue
		}
		lines = append(lines, base.HeaderLine{Name: line.Name, Value: line.Value})
	}
	if n.ID != "" {
		lines = append(lines, base.HeaderLine{Name: n.ID, Value: call.ID})
	}
	if n.Urgency != "" {
		lines = append(lines, base.HeaderLine{Name: n.Urgency, Value: strconv.Itoa(min(9, max(0, rt.Urgency)))})
	}
	return lines
}

func is(name, ours string) bool { return ours != "" && strings.EqualFold(name, ours) }

// send carries the request to one worker. Without a reply, the error's verdict
// says whether the worker may have run it.
func (r *Relay) send(o *offer, chosen *state) (*Reply, error) {
	sentAt := r.Clock.Now()
	left := o.until - sentAt
	request := &base.BackRequest{Method: o.call.Method, Path: o.call.Target, Host: o.call.Host, Body: o.body, Worker: chosen.ID,
		Match: base.HeaderLine{Name: r.Names.ID, Value: o.call.ID}, MostConns: r.share(o.service), Connect: o.route.LatencyTarget / 3,
		Stays: func() bool { return chosen.serving.Load() && o.until-r.Clock.Now() >= o.least() }}
	request.Lines = append(o.lines[:len(o.lines):len(o.lines)], base.HeaderLine{Name: r.Names.Deadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		base.HeaderLine{Name: r.Names.ExpectWorker, Value: chosen.ID})
	limit := r.attemptLimit(o, chosen, left)
	under, err := r.Backends.Call(o.ctx.Within(limit), chosen.Addr, request)
	if err != nil {
		return nil, r.unsent(o, chosen, err)
	}
	o.sent++
	begun := &attempt{relay: r, offer: o, worker: chosen, under: under, sentAt: sentAt}
	reply := &Reply{Status: under.Status(), WorkerID: chosen.ID, relay: r, offer: o, first: begun, current: begun}
	r.heard(chosen, under.Header(r.Names.Load))
	proven := proofOfAnswer(reply.Status, under.Header(r.Names.NotRun))
	switch {
	case proven != proofNone:
		return nil, r.turnedAway(reply, proven)
	case reply.Status == 408 || reply.Status == 429 || reply.Status == 503:
		// To the client these would promise what this worker has not.
		reply.end(failed)
		return nil, base.Unsure(502, "worker_failed", "the worker failed with status %d", reply.Status)
	case reply.Status/100 == 2 && (reply.Seal() == "" || under.Header("Content-Encoding") != ""):
		reply.end(failed)
		return nil, base.Unsure(502, "worker_garbled", "the worker's answer is not in protocol")
	case reply.Status/100 == 2 && o.route.Kind == route.KindStream:
		return reply, nil
	}
	body, err := under.Body(max(0, sentAt+limit-r.Clock.Now()), r.MaxResponseBytes)
	if err != nil {
		reply.end(failed)
		if r.Clock.Now() >= o.until {
			return nil, base.Unsure(504, "timed_out", "the worker's answer did not come in time")
		}
		return nil, base.Unsure(502, "worker_cut", "the worker's answer was cut short")
	}
	reply.body, reply.whole = body, true
	reply.end(served)
	return reply, nil
}

// unsent judges a call that gave no reply.
func (r *Relay) unsent(o *offer, chosen *state, err error) error {
	if proven := proofOfError(err); proven != proofNone {
		r.release(o, chosen, consequences[proven].outcome)
		if proven == proofUnreached {
			r.count("workers_unreached")
		}
		return proven.verdict()
	}
	o.sent++
	r.release(o, chosen, failed)
	r.count("workers_lost")
	if r.Clock.Now() >= o.until {
		return base.Unsure(504, "timed_out", "the worker's answer did not come in time")
	}
	return base.Unsure(502, "worker_lost", "the worker's answer was lost")
}

// turnedAway is for an answer that proves that the request did not run. The few
// bytes of its body are read, so that the connection can be kept.
func (r *Relay) turnedAway(reply *Reply, proven proof) error {
	_, _ = reply.first.under.Body(reply.offer.least(), r.MaxResponseBytes) // what fails here only costs the connection
	r.count("workers_turned_away")
	reply.end(consequences[proven].outcome)
	return proven.verdict()
}

func (r *Relay) share(service *route.Service) int {
	if r.MaxConnsPerWorker == nil {
		return 0
	}
	return r.MaxConnsPerWorker(service)
}
