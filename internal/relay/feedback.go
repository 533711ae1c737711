package relay

import (
	"strconv"
	"strings"
	"time"
)

// recordLoad stores the load that a worker reports in a response header, as
// "running,waiting,slots".
func (r *Relay) recordLoad(s *workerState, header string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	s.lastHeardAt.Store(int64(now))
	running, rest, ok := strings.Cut(header, ",")
	waiting, slots, _ := strings.Cut(rest, ",")
	if !ok {
		return
	}
	runningCount, err := strconv.Atoi(strings.TrimSpace(running))
	waitingCount, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if err != nil || err2 != nil {
		return
	}
	if capacity, err := strconv.Atoi(strings.TrimSpace(slots)); err == nil && capacity > 0 {
		s.capacity = capacity
	}
	s.reportedRequests = float64(runningCount + waitingCount)
	s.otherRequests, s.loadReported, s.loadReportedAt = max(0, s.reportedRequests-float64(max(0, s.inFlight-1))), true, now
	p := r.pool(s.Service)
	p.meanOtherRequests += (s.otherRequests - p.meanOtherRequests) / float64(2*max(1, len(p.workers)))
}

// recordFirstEvent measures how long a model worker took to prefill a prompt.
func (r *Relay) recordFirstEvent(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	d, s := a.dispatch, a.worker
	if d.service.Engine == nil {
		return
	}
	p := r.pool(s.Service)
	elapsed := now - a.sentAt
	if d.prefillBacklog == 0 {
		p.prefill.add(float64(d.uncachedTokens), float64(elapsed))
	}
	firstEvent, perToken := p.prefill.estimate()
	delay := max(0, elapsed-(d.prefillBacklog+firstEvent+time.Duration(d.uncachedTokens)*perToken))
	previous := time.Duration(float64(s.firstEventDelay) * decay(now-s.firstEventDelayAt, 4*d.route.LatencyTarget))
	s.firstEventDelay, s.firstEventDelayAt = previous+(delay-previous)/4, now
}

// finishAttempt updates the measured request times if the attempt was served, and
// releases the worker.
func (r *Relay) finishAttempt(a *attempt, result outcome) {
	d, s := a.dispatch, a.worker
	if result == outcomeServed {
		r.mu.Lock()
		p := r.pool(s.Service)
		if engine := d.service.Engine; engine != nil {
			s.cache.extendLast(d.call.Model, d.call.PromptParts, a.events*max(1, engine.TokensPerEvent))
		}
		elapsed := r.Clock.Now() - a.sentAt
		if !s.loadReported || s.load(p, r.Clock.Now()) <= s.slots() {
			p.requestTime.add(elapsed)
			if p.requestTime.value > 0 {
				ratio := min(4, max(0.25, float64(elapsed)/float64(p.requestTime.value)))
				s.durationRatio = s.durationFactor() + (ratio-s.durationFactor())/meanWindow
			}
		}
		r.mu.Unlock()
	}
	r.releaseWorker(d, s, result)
}

// releaseWorker takes the request off the worker's count, updates the worker's
// state by the result, and serves the queue.
func (r *Relay) releaseWorker(d *dispatch, s *workerState, result outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	bounds := r.Bounds.Load()
	p := r.pool(s.Service)
	if result == outcomeAbandoned && s.inFlight > 0 && now-time.Duration(s.lastHeardAt.Load()) > 4*d.route.LatencyTarget {
		result = outcomeFailed // silent for longer than anyone would wait
	}
	s.inFlight--
	s.probing = false
	if d.service.Engine != nil {
		if result != outcomeServed && result != outcomeAbandoned && result != outcomeFailed {
			for _, change := range d.cacheChanges {
				s.cache.setTokens(change.key, change.tokensBefore)
			}
			_, perToken := p.prefill.estimate()
			s.prefillDoneAt = max(now, s.prefillDoneAt-time.Duration(d.uncachedTokens)*perToken)
		}
	}
	switch result {
	case outcomeServed:
		s.failures = 0
		s.idleConns, s.idleConnAt = s.idleConns+1, now
	case outcomeRejected:
		s.idleConns, s.idleConnAt = s.idleConns+1, now
		if s.loadReported && s.loadReportedAt == now && s.reportedRequests >= s.slots() {
			s.rejectedAtLoad = s.reportedRequests
		}
		s.fullUntil = now + r.jitter(max(p.requestTime.value/2, d.route.LatencyTarget/16))
	case outcomeMisdirected:
		s.failures += 3
		s.avoidUntil = now + bounds.Drain
	case outcomeFailed, outcomeUnreachable:
		pause := min(bounds.HeartbeatInterval()/2<<min(s.failures, 8), bounds.Drain)
		s.failures++
		s.avoidUntil = now + r.jitter(pause)
	}
	r.serveQueue(p)
}

// jitter returns a random duration between one half and three halves of duration.
func (r *Relay) jitter(duration time.Duration) time.Duration {
	return duration/2 + time.Duration(r.Clock.Int64N(int64(duration)+1))
}
