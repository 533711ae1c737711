package worker

import (
	"math"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/policy"
)

// maxLoadRatio bounds a worker's load, as a ratio to the mean load of the
// candidates, for the first choice by rendezvous hashing.
const maxLoadRatio = 1.25

// leavingMark records that this node saw an incarnation of a worker refuse work
// because it is leaving.
type leavingMark struct {
	incarnation string
	seenAt      time.Duration
}

// NoticeTTL is how long a worker counts as leaving after a refusal, if nothing
// else is known. A notice from the worker's own report has no such limit: it
// stands until the worker reports otherwise.
func NoticeTTL(bounds *base.Bounds) time.Duration { return 10 * bounds.Drain }

// waiter is a queued request. signal fires once it has a worker or is given up.
type waiter struct {
	req        *Requirements
	enqueuedAt time.Duration
	deadline   time.Duration
	assigned   *Worker
	signal     base.Signal
	done       bool // no longer waiting
}

// Picker assigns workers to requests on one node.
//
// A session stays at the worker that has its prefix cached as long as that
// worker has room. Any other request goes to the first worker in the session's
// rendezvous order whose load is below a ratio of the mean, so that sessions
// spread and a burst spills over to other workers.
//
// A request that finds every worker full waits in a bounded queue, urgent
// requests first. The time since a program was last served raises its priority,
// so that no program starves and none crowds out others by the number of its
// requests. Among equals, the site and then the program with the fewest requests
// in flight go first. When the queue is full, or the request could not finish
// before its deadline, it is declined at once with a time to retry after.
type Picker struct {
	clock    base.Clock
	bounds   *base.AtomicPointer[base.Bounds]
	counters *base.Counters
	reports  *UsageReports
	zone     string
	roster   base.AtomicPointer[Roster]

	// mu guards the fields below. inFlight counts this node's requests by worker.
	mu                sync.Mutex
	inFlight          map[string]int
	inFlightByProgram map[string]int
	avoidUntil        map[string]time.Duration
	failing           map[string]failureStreak
	leaving           map[string]leavingMark
	// keptAlive holds the worker incarnations that have kept a connection open,
	// as "id incarnation".
	keptAlive      map[string]bool
	inFlightBySite map[string]int
	queue          []*waiter
	meanDuration   map[string]time.Duration
	// By pool: grantInterval is the mean time between two assignments while
	// requests are queued, lastGrant the time of the last assignment, and
	// lastRetryAt the retry time given to the request that was declined last.
	grantInterval map[string]time.Duration
	lastGrant     map[string]time.Duration
	lastRetryAt   map[string]time.Duration
	// lastServed is by program.
	lastServed map[string]time.Duration
}

// NewPicker returns a picker with an empty roster.
func NewPicker(clock base.Clock, bounds *base.AtomicPointer[base.Bounds], counters *base.Counters, reports *UsageReports, zone string) *Picker {
	p := &Picker{zone: zone, clock: clock, bounds: bounds, counters: counters, reports: reports,
		inFlight: map[string]int{}, inFlightByProgram: map[string]int{}, avoidUntil: map[string]time.Duration{}, failing: map[string]failureStreak{}, leaving: map[string]leavingMark{}, keptAlive: map[string]bool{}, inFlightBySite: map[string]int{}, meanDuration: map[string]time.Duration{}, grantInterval: map[string]time.Duration{}, lastGrant: map[string]time.Duration{}, lastRetryAt: map[string]time.Duration{}, lastServed: map[string]time.Duration{}}
	p.roster.Store(&Roster{Pools: map[string][]Worker{}})
	return p
}

// SetRoster replaces the roster and serves the queue from it.
func (p *Picker) SetRoster(roster *Roster) {
	p.roster.Store(roster)
	p.mu.Lock()
	listed, listedIDs := map[string]bool{}, map[string]bool{}
	for _, pool := range roster.Pools {
		for _, w := range pool {
			listed[w.ID+" "+p.Incarnation(&w)] = true
			listedIDs[w.ID] = true
		}
	}
	for key := range p.keptAlive {
		if !listed[key] {
			delete(p.keptAlive, key)
		}
	}
	for id := range p.failing {
		if !listedIDs[id] {
			delete(p.failing, id)
		}
	}
	p.serveQueue()
	p.mu.Unlock()
}

// Roster returns the current roster.
func (p *Picker) Roster() *Roster { return p.roster.Load() }

// Acquire assigns a worker to a request, waiting in the queue if necessary. The
// caller must call Release when the request has ended.
func (p *Picker) Acquire(ctx *base.Ctx, req *Requirements) (*Worker, error) {
	p.mu.Lock()
	chosen, anyEligible := p.choose(req)
	if chosen != nil {
		p.assign(chosen, req)
		p.mu.Unlock()
		return chosen, nil
	}
	if !anyEligible {
		p.mu.Unlock()
		return nil, base.Busy(503, "no_worker", 1, "no worker of pool %q can take the request now", req.Pool)
	}
	queued := 0
	for _, other := range p.queue {
		if other.req.Pool == req.Pool {
			queued++
		}
	}
	expected := p.meanDuration[req.Pool] + time.Duration(queued+1)*max(p.grantInterval[req.Pool], p.meanDuration[req.Pool]/time.Duration(max(1, p.capacity(req.Pool))))
	if queued >= req.MaxQueue || expected > ctx.Remaining() {
		retryAfter := p.retryAfter(req.Pool, queued)
		p.mu.Unlock()
		p.counters.Add("legs_declined_busy", 1)
		return nil, base.Busy(429, "overloaded", retryAfter, "all workers are busy and the queue is too long")
	}
	w := &waiter{req: req, enqueuedAt: p.clock.Now(), deadline: ctx.ExpiresAt, signal: p.clock.NewSignal()}
	p.queue = append(p.queue, w)
	p.mu.Unlock()
	p.counters.Add("legs_waited", 1)
	w.signal.Wait(ctx.Remaining())
	p.mu.Lock()
	defer p.mu.Unlock()
	w.done = true
	p.queue = slices.DeleteFunc(p.queue, func(other *waiter) bool { return other == w })
	if w.assigned == nil {
		return nil, base.Busy(429, "overloaded", p.retryAfter(req.Pool, len(p.queue)), "no worker became free in time")
	}
	return w.assigned, nil
}

// retryAfter returns the number of seconds after which a declined request should
// be retried: when the queue will have drained, and one grant interval after the
// request that was declined before it. Retries thus come spread out, at the rate
// at which they can be served. The caller holds the lock.
func (p *Picker) retryAfter(pool string, queued int) int {
	now, interval := p.clock.Now(), p.grantInterval[pool]
	maxDelay := p.bounds.Load().Recovery * 5 / 2
	retryAt := max(p.lastRetryAt[pool], now+interval*time.Duration(queued)) + interval
	if retryAt > now+maxDelay {
		retryAt = now + maxDelay/2 + time.Duration(p.clock.Int64N(int64(maxDelay/2)))
	} else {
		p.lastRetryAt[pool] = retryAt
	}
	// The header takes whole seconds: the fraction is rounded up with a
	// probability equal to it.
	delay := retryAt - now
	seconds := int(delay / time.Second)
	if time.Duration(p.clock.Int64N(int64(time.Second))) < delay%time.Second {
		seconds++
	}
	return max(1, seconds)
}

// capacity returns the total capacity of a pool.
func (p *Picker) capacity(pool string) int {
	total := 0
	for _, w := range p.roster.Load().Pools[pool] {
		total += w.Capacity
	}
	return total
}

// assign counts the request as in flight at the chosen worker and updates the
// pool's grant interval. The caller holds the lock.
func (p *Picker) assign(chosen *Worker, req *Requirements) {
	p.inFlight[chosen.ID]++
	p.inFlightByProgram[req.Program]++
	p.inFlightBySite[req.Site]++
	p.lastServed[req.Program] = p.clock.Now()
	if interval := p.clock.Now() - p.lastGrant[req.Pool]; len(p.queue) > 0 || p.grantInterval[req.Pool] == 0 {
		p.grantInterval[req.Pool] += (min(interval, p.bounds.Load().Recovery/12) - p.grantInterval[req.Pool]) / 8
	}
	p.lastGrant[req.Pool] = p.clock.Now()
}

// Release returns a worker after a request and updates the pool's mean request
// duration.
func (p *Picker) Release(w *Worker, req *Requirements, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanDuration[req.Pool] += (duration - p.meanDuration[req.Pool]) / 8
	if p.inFlight[w.ID]--; p.inFlight[w.ID] <= 0 {
		delete(p.inFlight, w.ID)
	}
	if p.inFlightBySite[req.Site]--; p.inFlightBySite[req.Site] <= 0 {
		delete(p.inFlightBySite, req.Site)
	}
	if p.inFlightByProgram[req.Program]--; p.inFlightByProgram[req.Program] <= 0 {
		delete(p.inFlightByProgram, req.Program)
		delete(p.lastServed, req.Program)
	}
	p.serveQueue()
}

// Avoid excludes a worker for a short time after it could not be reached or was
// busy. The queue is served again afterwards.
func (p *Picker) Avoid(id string) {
	period := p.bounds.Load().Drain / 3
	p.mu.Lock()
	p.avoidUntil[id] = p.clock.Now() + period
	p.mu.Unlock()
	p.clock.Go(func() {
		p.clock.Sleep(period)
		p.mu.Lock()
		p.serveQueue()
		p.mu.Unlock()
	})
}

// Incarnation returns the newest known incarnation of a worker: the one in its
// usage report, or else the listed one.
func (p *Picker) Incarnation(w *Worker) string {
	if _, incarnation, _ := p.reports.Load(w.ID); incarnation != "" {
		return incarnation
	}
	return w.Incarnation
}

// MarkLeaving stops this node from sending new work to the worker's current
// incarnation.
func (p *Picker) MarkLeaving(w *Worker) {
	p.mu.Lock()
	p.leaving[w.ID] = leavingMark{p.Incarnation(w), p.clock.Now()}
	p.mu.Unlock()
}

// ObserveResponse takes in whether a response closes its connection, and reports
// whether the worker is leaving by that: one that used to keep connections alive
// and now closes them is; for one that never kept any it means nothing.
func (p *Picker) ObserveResponse(w *Worker, closes bool) (leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := w.ID + " " + p.Incarnation(w)
	if !closes {
		p.keptAlive[key] = true
	}
	return closes && p.keptAlive[key]
}

// ClearLeaving removes the mark set by MarkLeaving.
func (p *Picker) ClearLeaving(id string) {
	p.mu.Lock()
	delete(p.leaving, id)
	p.serveQueue()
	p.mu.Unlock()
}

// StillEligible reports whether an assigned worker may still be used. It is
// checked just before a request is sent, because the caller may have waited since
// the assignment while the roster or the worker's state changed.
func (p *Picker) StillEligible(w *Worker, req *Requirements) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := false
	for _, entry := range p.roster.Load().Pools[req.Pool] {
		listed = listed || entry.ID == w.ID && entry.Addr == w.Addr
	}
	return listed && p.eligible(w, req)
}

// eligible reports whether a worker may get the request once it has room.
func (p *Picker) eligible(w *Worker, req *Requirements) bool {
	if req.Tried[w.ID] {
		return false
	}
	if _, _, leaving := p.reports.Load(w.ID); leaving {
		return false
	}
	incarnation := p.Incarnation(w)
	if mark, ok := p.leaving[w.ID]; ok && mark.incarnation == incarnation && p.clock.Now()-mark.seenAt < NoticeTTL(p.bounds.Load()) {
		return false
	}
	// A notice applies whatever its incarnation, until the control state deletes
	// it: a node that was restarted, or has no recent report of the worker, cannot
	// tell its incarnations apart.
	_, hasNotice := p.roster.Load().Leaving[w.ID]
	return !hasNotice
}

// load returns the number of requests at a worker: those of this node or those
// reported, whichever are more.
func (p *Picker) load(w *Worker) int {
	reported, _, _ := p.reports.Load(w.ID)
	return max(p.inFlight[w.ID], int(reported))
}

// choose returns a worker with room for the request, or nil; anyEligible reports
// whether there is a worker that could take it once it has room. The caller holds
// the lock.
func (p *Picker) choose(req *Requirements) (chosen *Worker, anyEligible bool) {
	var sound, failing []*Worker
	now := p.clock.Now()
	for _, w := range p.roster.Load().Pools[req.Pool] {
		if !p.eligible(&w, req) {
			continue
		}
		anyEligible = true
		switch {
		case now < p.avoidUntil[w.ID]:
		case now < p.failing[w.ID].until:
			failing = append(failing, &w)
		default:
			sound = append(sound, &w)
		}
	}
	for _, workers := range [][]*Worker{sound, failing} {
		if w := p.chooseAmong(req, workers); w != nil {
			return w, true
		}
	}
	return nil, anyEligible
}

// chooseAmong returns one of the workers with room for the request, or nil. The caller holds the
// lock.
func (p *Picker) chooseAmong(req *Requirements, workers []*Worker) *Worker {
	candidates := map[string]*Worker{}
	ids, total := []string{}, 0
	for _, w := range workers {
		candidates[w.ID] = w
		ids = append(ids, w.ID)
		total += p.load(w)
	}
	if len(ids) == 0 {
		return nil
	}
	if w := p.chooseByPolicy(req, ids, candidates); w != nil {
		return w
	}
	if last := candidates[req.LastWorker]; last != nil && p.load(last) < last.Capacity {
		p.counters.Add("picked_at_prefix", 1)
		return last
	}
	ranked := base.RendezvousOrder(req.AffinityKey, ids)
	loadLimit := int(math.Ceil(maxLoadRatio * float64(total+1) / float64(len(ids))))
	for _, limit := range []int{loadLimit, math.MaxInt} {
		for i, id := range ranked {
			w := candidates[id]
			if load := p.load(w); load < min(limit, w.Capacity) {
				if i == 0 && req.LastWorker == "" {
					p.counters.Add("picked_first", 1)
				} else {
					p.counters.Add("picked_spilled", 1)
				}
				return w
			}
		}
	}
	return nil
}

// chooseByPolicy asks the operators' policy, if there is one. It returns nil if
// the policy fails, makes no choice or names a worker without room.
func (p *Picker) chooseByPolicy(req *Requirements, ids []string, candidates map[string]*Worker) *Worker {
	if req.Policy == nil {
		return nil
	}
	options := base.Map(ids, func(id string) policy.Candidate {
		w := candidates[id]
		return policy.Candidate{ID: id, Zone: w.Zone, Load: p.load(w), Capacity: w.Capacity, Previous: id == req.LastWorker}
	})
	id, err := req.Policy.Pick(req.Urgency, p.zone, options)
	if err != nil {
		p.counters.Add("policy_faults", 1)
		return nil
	}
	w := candidates[id]
	if w == nil || p.load(w) >= w.Capacity {
		return nil
	}
	p.counters.Add("picked_by_policy", 1)
	return w
}

// priority is a waiter's urgency plus the time that it has waited, or since its
// program was last served if that is shorter.
func (p *Picker) priority(w *waiter) float64 {
	aged := float64(p.clock.Now()-max(w.enqueuedAt, p.lastServed[w.req.Program])) / float64(p.bounds.Load().Recovery/6)
	return float64(urgencyLevels[w.req.Urgency]) + aged
}

// serveQueue assigns free workers to queued requests by priority, and gives up
// those that can no longer finish in time. The caller holds the lock.
func (p *Picker) serveQueue() {
	slices.SortStableFunc(p.queue, func(a, b *waiter) int {
		if first, second := math.Floor(p.priority(a)), math.Floor(p.priority(b)); first != second {
			return int(second - first)
		}
		if first, second := p.inFlightBySite[a.req.Site], p.inFlightBySite[b.req.Site]; first != second {
			return first - second
		}
		if first, second := p.inFlightByProgram[a.req.Program], p.inFlightByProgram[b.req.Program]; first != second {
			return first - second
		}
		return int(a.enqueuedAt - b.enqueuedAt)
	})
	aheadInPool := map[string]time.Duration{}
	for _, w := range p.queue {
		if w.assigned != nil || w.done {
			continue
		}
		// The requests ahead may be served faster than lately, but hardly at twice
		// the rate.
		if p.clock.Now()+aheadInPool[w.req.Pool]*p.grantInterval[w.req.Pool]/2+p.meanDuration[w.req.Pool] > w.deadline {
			w.done = true // it cannot finish in time, so it is declined early
			w.signal.Fire()
			continue
		}
		aheadInPool[w.req.Pool]++
		if chosen, _ := p.choose(w.req); chosen != nil {
			w.assigned = chosen
			p.assign(chosen, w.req)
			w.signal.Fire()
		}
	}
}
