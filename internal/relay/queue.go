package relay

import (
	"slices"
	"time"

	"fordseam/internal/base"
)

// waiter is a queued request. signal fires once it has a worker or is declined.
//
// Requests that find every worker full wait in a bounded queue, but only so long
// that a refusal still comes early compared with the latency target. The queue is
// ordered by rank, then urgency, then age; if it is full, its last request is
// declined in favour of one that precedes it. Declined requests get retry times
// spread out at the rate at which the service can serve them.
type waiter struct {
	dispatch *dispatch
	signal   base.Signal
	assigned *workerState
	declined bool
}

// precedes orders the queue.
func (d *dispatch) precedes(other *dispatch) bool {
	switch {
	case d.rank != other.rank:
		return d.rank < other.rank
	case d.route.Urgency != other.route.Urgency:
		return d.route.Urgency < other.route.Urgency
	}
	return d.startedAt < other.startedAt
}

// queueDeadline is when the request is declined if it is still queued.
func (d *dispatch) queueDeadline() time.Duration { return d.startedAt + d.route.LatencyTarget/5 }

// acquireWorker reserves a worker with room for the request, waiting in the queue
// if necessary.
func (r *Relay) acquireWorker(d *dispatch) (*workerState, error) {
	r.mu.Lock()
	now := r.Clock.Now()
	p := r.pool(d.service.Name)
	if d.deadline-now < d.minSendTime() {
		r.mu.Unlock()
		r.count("offers_out_of_time")
		return nil, base.Busy(503, "too_late", 1, "too little time is left to send the request")
	}
	if p.requestTime.samples == 0 && p.requestTime.value == 0 {
		p.requestTime.value = d.route.LatencyTarget / 4 // an assumption until one is measured
	}
	if !p.mustQueue(d) {
		chosen, _, _ := r.choose(d, p)
		if chosen != nil {
			r.reserve(d, p, chosen)
			r.mu.Unlock()
			return chosen, nil
		}
	}
	_, shortestWait, anyCandidate := r.choose(d, p)
	remaining := min(d.queueDeadline(), d.deadline-d.minSendTime()) - now
	hopeless := shortestWait > d.maxWait(p, now)+remaining
	if remaining <= 0 || hopeless || (!anyCandidate && len(d.tried) > 0) || !p.enqueue(d, r.Clock) {
		err := r.declineBusy(d)
		r.mu.Unlock()
		return nil, err
	}
	w := p.queue[slices.IndexFunc(p.queue, func(w *waiter) bool { return w.dispatch == d })]
	r.mu.Unlock()
	r.count("offers_waited")
	return r.waitForWorker(d, p, w, now+remaining)
}

// mustQueue reports whether a queued request precedes this one.
func (p *servicePool) mustQueue(d *dispatch) bool {
	return len(p.queue) > 0 && !d.precedes(p.queue[0].dispatch)
}

// enqueue inserts the request into the queue, replacing the last one if the queue
// is full. It returns false if there is no place for it.
func (p *servicePool) enqueue(d *dispatch, clock base.Clock) bool {
	maxQueue := 8
	for _, s := range p.workers {
		maxQueue += s.capacity
	}
	if len(p.queue) >= maxQueue {
		last := p.queue[len(p.queue)-1]
		if !d.precedes(last.dispatch) {
			return false
		}
		p.queue = p.queue[:len(p.queue)-1]
		last.declined = true
		last.signal.Fire()
	}
	w := &waiter{dispatch: d, signal: clock.NewSignal()}
	i := slices.IndexFunc(p.queue, func(w *waiter) bool { return d.precedes(w.dispatch) })
	if i < 0 {
		i = len(p.queue)
	}
	p.queue = slices.Insert(p.queue, i, w)
	return true
}

// waitForWorker waits until the queued request has a worker, is declined, or has
// waited until the given time.
func (r *Relay) waitForWorker(d *dispatch, p *servicePool, w *waiter, until time.Duration) (*workerState, error) {
	// Workers can become available merely because time passes. The first request
	// in the queue polls for that.
	pollInterval := max(d.route.LatencyTarget/32, time.Millisecond)
	first := true
	for {
		timeout := until - r.Clock.Now()
		if first {
			timeout = min(timeout, pollInterval)
		}
		w.signal.Wait(max(0, min(timeout, 4*pollInterval)))
		r.mu.Lock()
		expired := r.Clock.Now() >= until
		if w.assigned == nil && !w.declined && !expired {
			r.serveQueue(p)
		}
		switch {
		case w.assigned != nil:
			r.mu.Unlock()
			return w.assigned, nil
		case w.declined || expired:
			p.queue = slices.DeleteFunc(p.queue, func(other *waiter) bool { return other == w })
			err := r.declineBusy(d)
			r.mu.Unlock()
			return nil, err
		}
		first = p.queue[0] == w
		r.mu.Unlock()
	}
}

// serveQueue assigns workers with room to queued requests in order. The caller
// holds the lock.
func (r *Relay) serveQueue(p *servicePool) {
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		chosen, _, _ := r.choose(w.dispatch, p)
		if chosen == nil {
			if len(w.dispatch.tried) == 0 {
				return // those behind it have no other workers to choose from
			}
			i++
			continue
		}
		r.reserve(w.dispatch, p, chosen)
		w.assigned = chosen
		p.queue = slices.Delete(p.queue, i, i+1)
		w.signal.Fire()
	}
}

// declineBusy returns the error for a request that was not run because all workers
// are full, with a time to retry after. The caller holds the lock.
func (r *Relay) declineBusy(d *dispatch) error {
	now := r.Clock.Now()
	p := r.pool(d.service.Name)
	_, shortestWait, _ := r.choose(d, p)
	slots := 0.0
	for _, s := range p.workers {
		slots += s.slots()
	}
	p.nextRetryAt = max(p.nextRetryAt, now) + time.Duration(float64(p.requestTime.value)/max(1, slots))
	retryAfter := r.jitter(max(shortestWait, p.nextRetryAt-now, d.route.LatencyTarget/8))
	retryAfter = min(retryAfter, max(d.deadline-now, 0)/3)
	r.count("offers_refused")
	return base.BusyFor(503, "workers_full", retryAfter, "no worker has room")
}
