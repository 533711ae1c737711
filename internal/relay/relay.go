package relay

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/route"
)

// Workers is a list of workers, ordered by id where it comes from the roster. It
// is immutable and replaced as a whole.
type Workers []Worker

// Config holds the dependencies and settings of a relay.
type Config struct {
	Clock    base.Clock
	Backends base.BackendClient
	Bounds   *base.AtomicPointer[base.Bounds]
	Counters *base.Counters
	Names    *WireNames
	Zone     string
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes int
	// Memory is what responses count to; nil sets no bound.
	Memory *memory.Budget
	// MaxConnsPerWorker returns how many connections this node may have to each
	// worker of a service, 0 for no bound. nil means no bound for any service.
	MaxConnsPerWorker func(*route.Service) int
	// Rank orders queued requests before their urgency does, the lowest first; nil
	// ranks all requests equally.
	Rank func(*Call) int
}

// maxRejectionBytes bounds the body of a response that says that the request did not run.
const maxRejectionBytes = 64 << 10

// Relay dispatches requests to workers on one node.
//
// A request goes to one worker after another until one takes it. It is sent to a
// second worker only if the first certainly did not run it, because no byte was
// sent or the response says so; a repeatable request is sent again after any
// failure. Nothing is sent to a worker that is leaving, or when too little time is
// left.
type Relay struct {
	Config

	// filterCandidates, if not nil, reduces the workers to choose from. Tests set it.
	filterCandidates func([]*workerState) []*workerState

	mu          sync.Mutex
	pools       map[string]*servicePool
	states      map[string]*workerState
	listVersion uint64
}

// New returns a relay without workers.
func New(config Config) *Relay {
	return &Relay{Config: config, pools: map[string]*servicePool{}, states: map[string]*workerState{}}
}

// SetWorkers replaces the list of workers. Workers that were removed or are leaving
// get no more requests, and idle connections to removed ones are closed. Only the
// services with changes are rebuilt.
func (r *Relay) SetWorkers(workers Workers) {
	r.mu.Lock()
	r.listVersion++
	changed := map[string]bool{}
	for _, listed := range workers {
		s := r.states[listed.ID]
		switch {
		case s == nil || s.Addr != listed.Addr || s.Service != listed.Service:
			if s != nil {
				s.serving.Store(false)
				changed[s.Service] = true
			}
			s = &workerState{workerIdentity: workerIdentity{listed.ID, listed.Addr, listed.Service}, cache: newPrefixCache(), idHash: base.Hash64(listed.ID)}
			r.states[listed.ID] = s
		case s.listed == listed:
			s.listVersion = r.listVersion
			continue
		}
		s.zone, s.capacity, s.listed, s.listVersion = listed.Zone, listed.Capacity, listed, r.listVersion
		s.serving.Store(!listed.Draining)
		changed[listed.Service] = true
	}
	var removed []string
	if len(r.states) > len(workers) {
		for _, id := range base.SortedKeys(r.states) {
			if s := r.states[id]; s.listVersion != r.listVersion {
				s.serving.Store(false)
				changed[s.Service] = true
				removed = append(removed, id)
				delete(r.states, id)
			}
		}
	}
	for name := range changed {
		r.pool(name).workers = nil
	}
	if len(changed) > 0 {
		for _, listed := range workers {
			if s := r.states[listed.ID]; changed[listed.Service] && !listed.Draining {
				p := r.pools[listed.Service]
				p.workers = append(p.workers, s)
			}
		}
	}
	for _, name := range base.SortedKeys(changed) {
		r.serveQueue(r.pools[name])
	}
	r.mu.Unlock()
	for _, id := range removed {
		r.Backends.DropIdle(id)
	}
}

// dispatch is one request on its way to a worker.
type dispatch struct {
	route       *route.Route
	service     *route.Service
	call        *Call
	body        []byte
	ctx         *base.Ctx
	startedAt   time.Duration
	deadline    time.Duration
	rank        int
	headerLines []base.HeaderLine
	tried       []*workerState
	attempts    int  // how often it was sent
	mayHaveRun  bool // an earlier worker may have run it

	// At the chosen model worker: the tokens to prefill, the prefill time of the
	// requests before, and the changes to its estimated cache.
	firstPartHash  uint64 // hash of the first part's id
	uncachedTokens int
	prefillBacklog time.Duration
	cacheChanges   []cacheChange
}

// Dispatch sends the request to a worker of the service and returns its reply, with
// the whole body or a stream. An error is always a *base.RequestError.
func (r *Relay) Dispatch(ctx *base.Ctx, rt *route.Route, service *route.Service, call *Call, body []byte) (*Reply, error) {
	now := r.Clock.Now()
	timeout := min(ctx.Remaining(), rt.Timeout)
	if call.Deadline > 0 {
		timeout = min(timeout, call.Deadline)
	}
	d := &dispatch{route: rt, service: service, call: call, body: body, ctx: ctx, startedAt: now, deadline: now + timeout}
	if r.Rank != nil {
		d.rank = r.Rank(call)
	}
	d.headerLines = r.forwardedHeaders(call, rt)
	if service.Engine != nil && len(call.PromptParts) > 0 {
		d.firstPartHash = base.Hash64(call.PromptParts[0].ID)
	}
	for {
		chosen, err := r.acquireWorker(d)
		if err != nil {
			return nil, d.finalError(err)
		}
		reply, err := r.send(d, chosen)
		if reply != nil {
			return reply, nil
		}
		d.tried = append(d.tried, chosen)
		if requestErr := base.FindRequestError(err); requestErr == nil || requestErr.Execution != base.NotRun {
			d.mayHaveRun = true
			if !d.mayRetry(0) {
				return nil, err
			}
		} else if d.attempts >= max(1, rt.MaxAttempts) {
			r.mu.Lock()
			err = r.declineBusy(d)
			r.mu.Unlock()
			return nil, d.finalError(err)
		}
		r.count("offers_carried_on")
	}
}

// finalError turns a refusal that says "not run" into one that does not, if an
// earlier worker may have run the request.
func (d *dispatch) finalError(err error) error {
	if requestErr := base.FindRequestError(err); d.mayHaveRun && requestErr != nil && requestErr.Execution == base.NotRun {
		return base.Indeterminate(502, "worker_lost", "a worker's answer was lost, and then: %s", requestErr.Message)
	}
	return err
}

// minSendTime is the shortest time before the deadline at which a request is still
// sent.
func (d *dispatch) minSendTime() time.Duration { return d.route.LatencyTarget / 10 }

// count increments a counter.
func (r *Relay) count(name string) {
	if r.Counters != nil {
		r.Counters.Add(name, 1)
	}
}

// unforwardedHeaders are the hop-by-hop headers and those that are generated anew.
var unforwardedHeaders = []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
	"transfer-encoding", "upgrade", "host", "content-length", "expect"}

// forwardedHeaders returns the client's header lines to forward, the request's id
// and its urgency.
func (r *Relay) forwardedHeaders(call *Call, rt *route.Route) []base.HeaderLine {
	lines := make([]base.HeaderLine, 0, len(call.Headers)+4)
	var connectionHeaders string
	for _, line := range call.Headers {
		if strings.EqualFold(line.Name, "Connection") {
			connectionHeaders += "," + line.Value
		}
	}
	names := r.Names
	for _, line := range call.Headers {
		if slices.ContainsFunc(unforwardedHeaders, func(header string) bool { return strings.EqualFold(header, line.Name) }) ||
			(connectionHeaders != "" && slices.ContainsFunc(strings.Split(connectionHeaders, ","), func(name string) bool { return strings.EqualFold(strings.TrimSpace(name), line.Name) })) ||
			equalsConfigured(line.Name, names.ID) || equalsConfigured(line.Name, names.Deadline) || equalsConfigured(line.Name, names.ExpectWorker) || equalsConfigured(line.Name, names.Urgency) {
			continue
		}
		lines = append(lines, base.HeaderLine{Name: line.Name, Value: line.Value})
	}
	if names.ID != "" {
		lines = append(lines, base.HeaderLine{Name: names.ID, Value: call.ID})
	}
	if names.Urgency != "" {
		lines = append(lines, base.HeaderLine{Name: names.Urgency, Value: strconv.Itoa(min(9, max(0, rt.Urgency)))})
	}
	return lines
}

// equalsConfigured reports whether name is the configured header name, if any.
func equalsConfigured(name, configured string) bool {
	return configured != "" && strings.EqualFold(name, configured)
}

// send sends the request to one worker. Without a reply, the error is a request error
// that says whether the worker may have run it.
func (r *Relay) send(d *dispatch, chosen *workerState) (*Reply, error) {
	sentAt := r.Clock.Now()
	remaining := d.deadline - sentAt
	request := &base.BackendRequest{Method: d.call.Method, Path: d.call.Target, Host: d.call.Host, Body: d.body, Incarnation: chosen.ID,
		EchoedHeader: base.HeaderLine{Name: r.Names.ID, Value: d.call.ID}, MaxConns: r.maxConns(d.service), ConnectTimeout: d.route.LatencyTarget / 3,
		ConfirmSend: func() bool { return chosen.serving.Load() && d.deadline-r.Clock.Now() >= d.minSendTime() }}
	request.HeaderLines = append(d.headerLines[:len(d.headerLines):len(d.headerLines)], base.HeaderLine{Name: r.Names.Deadline, Value: strconv.FormatInt(remaining.Milliseconds(), 10)},
		base.HeaderLine{Name: r.Names.ExpectWorker, Value: chosen.ID})
	timeout := r.attemptTimeout(d, chosen, remaining)
	lease := r.Memory.NewAnswerLease()
	request.Memory = memory.WaitingLease{Lease: lease, Timeout: min(memory.AnswerWait, remaining/4)}
	response, err := r.Backends.Call(d.ctx.WithTimeout(timeout), chosen.Addr, request)
	if err != nil {
		lease.Close()
		return nil, r.handleCallError(d, chosen, err)
	}
	d.attempts++
	first := &attempt{relay: r, dispatch: d, worker: chosen, response: response, sentAt: sentAt, memory: lease,
		eventMemory: memory.Steps{Lease: lease, Timeout: memory.AnswerWait}}
	reply := &Reply{Status: response.Status(), WorkerID: chosen.ID, relay: r, dispatch: d, firstAttempt: first, current: first}
	r.recordLoad(chosen, response.Header(r.Names.Load))
	proof := proofFromResponse(reply.Status, response.Header(r.Names.NotRun))
	switch {
	case proof != proofNone:
		return nil, r.handleRejection(reply, proof)
	case reply.Status == 408 || reply.Status == 429 || reply.Status == 503:
		// To the client, these statuses would mean that the request was not run, but
		// the worker's response does not say so.
		reply.end(outcomeFailed)
		return nil, base.Indeterminate(502, "worker_failed", "the worker failed with status %d", reply.Status)
	case reply.Status/100 == 2 && (reply.Seal() == "" || response.Header("Content-Encoding") != ""):
		reply.end(outcomeFailed)
		return nil, base.Indeterminate(502, "worker_garbled", "the worker's answer violates the protocol")
	case reply.Status/100 == 2 && d.route.Kind == route.KindStream:
		return reply, nil
	}
	body, err := response.ReadBody(max(0, sentAt+timeout-r.Clock.Now()), r.MaxResponseBytes)
	if err != nil {
		first.endAfter(err)
		if r.Clock.Now() >= d.deadline {
			return nil, base.Indeterminate(504, "timed_out", "the worker's answer did not come in time")
		}
		return nil, bodyError(err)
	}
	reply.setBody(body)
	return reply, nil
}

// bodyError returns the request error for a body that could not be read.
func bodyError(err error) *base.RequestError {
	if memory.IsShortage(err) {
		return memory.AnswerError()
	}
	return base.Indeterminate(502, "worker_cut", "the worker's answer was cut short")
}

// handleCallError releases the worker after a call without response and returns
// the request error.
func (r *Relay) handleCallError(d *dispatch, chosen *workerState, err error) error {
	if proof := proofFromError(err); proof != proofNone {
		r.releaseWorker(d, chosen, consequences[proof].outcome)
		if proof == proofUnreachable {
			r.count("workers_unreached")
		}
		return proof.requestError()
	}
	d.attempts++
	r.releaseWorker(d, chosen, outcomeFailed)
	r.count("workers_lost")
	if r.Clock.Now() >= d.deadline {
		return base.Indeterminate(504, "timed_out", "the worker's answer did not come in time")
	}
	return base.Indeterminate(502, "worker_lost", "the worker's answer was lost")
}

// handleRejection handles a response that proves that the request did not run. Its
// short body is read so that the connection can be reused.
func (r *Relay) handleRejection(reply *Reply, proof notRunProof) error {
	_, _ = reply.firstAttempt.response.ReadBody(reply.dispatch.minSendTime(), min(maxRejectionBytes, r.MaxResponseBytes)) // an error only costs the connection
	r.count("workers_turned_away")
	reply.end(consequences[proof].outcome)
	return proof.requestError()
}

// maxConns is the bound on connections to each worker of a service, 0 for none.
func (r *Relay) maxConns(service *route.Service) int {
	if r.MaxConnsPerWorker == nil {
		return 0
	}
	return r.MaxConnsPerWorker(service)
}
