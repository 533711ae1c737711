package relay

import (
	"math"
	"time"
)

// hasTried reports whether the request was already sent to the worker.
func (d *dispatch) hasTried(s *workerState) bool {
	for _, tried := range d.tried {
		if tried == s {
			return true
		}
	}
	return false
}

// choose returns the worker with the lowest expected cost, or nil if none has
// room; shortestWait is then the shortest expected wait. anyCandidate reports
// whether there is any worker that was not tried yet. The caller holds the lock.
//
// The cost at a plain worker is the expected time of the request, including the
// way to another zone. The load that a worker reported counts less the older it
// is, so that many nodes with outdated reports do not all choose the same worker.
// The cost at a model worker is the prefill time of the tokens that are not cached
// there plus the slowdown by its batch, so that a session stays at the worker that
// has its prefix cached as long as that is cheaper.
//
// A worker that fails is avoided for a time that doubles with each failure, and
// then probed by one request at a time. If all workers are avoided, none is.
func (r *Relay) choose(d *dispatch, p *servicePool) (chosen *workerState, shortestWait time.Duration, anyCandidate bool) {
	now := r.Clock.Now()
	maxConns := r.maxConns(d.service)
	maxWait := d.maxWait(p, now)
	shortestWait = -1
	available := make([]*workerState, 0, len(p.workers))
	var avoided []*workerState
	for _, s := range p.workers {
		if d.hasTried(s) || !s.serving.Load() {
			continue
		}
		anyCandidate = true
		avoid, full := s.unavailable(d, p, now)
		wait := s.expectedWait(p, now)
		if full {
			wait = max(wait, s.fullUntil-now)
		}
		if !avoid && (shortestWait < 0 || wait < shortestWait) {
			shortestWait = wait
		}
		switch {
		case full || (maxConns > 0 && s.inFlight >= maxConns) || wait > maxWait:
		case avoid:
			avoided = append(avoided, s)
		default:
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		if shortestWait >= 0 { // some workers are not avoided, but full
			return nil, shortestWait, anyCandidate
		}
		available = avoided
	}
	return r.pickCheapest(d, p, available, now), max(0, shortestWait), anyCandidate
}

// maxWait is how long a request may wait for a slot at a worker: from four times
// the latency target for the most urgent requests to a quarter of it for the least
// urgent, which thus leave room for others. It is never so long that the request
// could not finish before its deadline.
func (d *dispatch) maxWait(p *servicePool, now time.Duration) time.Duration {
	limit := d.route.LatencyTarget * time.Duration(48-5*min(9, max(0, d.route.Urgency))) / 12
	return min(limit, max(0, d.deadline-now-p.requestTime.value)*3/4)
}

// pickCheapest returns the candidate with the lowest cost, with a little random
// noise so that equal candidates share the load.
func (r *Relay) pickCheapest(d *dispatch, p *servicePool, candidates []*workerState, now time.Duration) *workerState {
	if r.filterCandidates != nil {
		candidates = r.filterCandidates(candidates)
	}
	var best *workerState
	var lowestCost time.Duration
	for _, s := range candidates {
		cost := r.cost(d, p, s, now) + time.Duration(r.Clock.Int64N(int64(d.route.LatencyTarget/128)+1))
		if best == nil || cost < lowestCost {
			best, lowestCost = s, cost
		}
	}
	return best
}

// reserve counts the request at the worker and, for a model worker, adds its
// prompt to the expected prefill time and cache content.
func (r *Relay) reserve(d *dispatch, p *servicePool, s *workerState) {
	now := r.Clock.Now()
	if s.inFlight == 0 {
		s.lastHeardAt.Store(int64(now))
	}
	s.inFlight++
	s.idleConns = max(0, s.idleConns-1)
	s.probing = s.failures > 0
	if d.service.Engine == nil {
		return
	}
	_, perToken := p.prefill.estimate()
	d.uncachedTokens = d.uncachedTokensAt(s)
	d.prefillBacklog = max(0, s.prefillDoneAt-now)
	s.prefillDoneAt = max(now, s.prefillDoneAt) + time.Duration(d.uncachedTokens)*perToken
	capacity := d.service.Engine.CacheTokens
	if capacity <= 0 {
		capacity = math.MaxInt
	}
	d.cacheChanges = s.cache.touch(d.call.Model, d.call.PromptParts, capacity)
}
