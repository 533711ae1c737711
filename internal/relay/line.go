// Requests that find every worker full wait in a bounded line, only as long as
// a refusal still comes early within the aim. The line is ordered by rank, then
// urgency, then age; a full one gives up its last. Who is refused is told when
// to come back, one after another at the pace of the service.

package relay

import (
	"slices"
	"time"

	"fordseam/internal/base"
)

type waiter struct {
	offer   *offer
	signal  base.Signal
	granted *state
	refused bool
}

// before orders the line.
func (o *offer) before(other *offer) bool {
	switch {
	case o.rank != other.rank:
		return o.rank < other.rank
	case o.route.Urgency != other.route.Urgency:
		return o.route.Urgency < other.route.Urgency
	}
	return o.began < other.began
}

// lineEnds is when the request is refused if it still waits.
func (o *offer) lineEnds() time.Duration { return o.began + o.route.LatencyTarget/5 }

// hold finds a worker with room for the offer and books it there.
func (r *Relay) hold(o *offer) (*state, error) {
	r.mu.Lock()
	now := r.Clock.Now()
	p := r.pool(o.service.Name)
	if o.until-now < o.least() {
		r.mu.Unlock()
		r.count("offers_out_of_time")
		return nil, base.Busy(503, "too_late", 1, "too little time is left")
	}
	if p.request.seen == 0 && p.request.value == 0 {
		p.request.value = o.route.LatencyTarget / 4 // until one has been measured
	}
	if !p.ahead(o) {
		chosen, _, _ := r.choose(o, p)
		if chosen != nil {
			r.take(o, p, chosen)
			r.mu.Unlock()
			return chosen, nil
		}
	}
	_, soonest, possible := r.choose(o, p)
	left := min(o.lineEnds(), o.until-o.least()) - now
	hopeless := soonest > o.patience(p, now)+left
	if left <= 0 || hopeless || (!possible && len(o.tried) > 0) || !p.line(o, r.Clock) {
		err := r.refuse(o)
		r.mu.Unlock()
		return nil, err
	}
	self := p.waiting[slices.IndexFunc(p.waiting, func(w *waiter) bool { return w.offer == o })]
	r.mu.Unlock()
	r.count("offers_waited")
	return r.wait(o, p, self, now+left)
}

// ahead tells whether someone in the line goes before the offer.
func (p *pool) ahead(o *offer) bool {
	return len(p.waiting) > 0 && !o.before(p.waiting[0].offer)
}

// line puts the offer into the line, if need be in the place of the last.
func (p *pool) line(o *offer, clock base.Clock) bool {
	most := 8
	for _, s := range p.workers {
		most += s.Capacity
	}
	if len(p.waiting) >= most {
		last := p.waiting[len(p.waiting)-1]
		if !o.before(last.offer) {
			return false
		}
		p.waiting = p.waiting[:len(p.waiting)-1]
		last.refused = true
		last.signal.Fire()
	}
	self := &waiter{offer: o, signal: clock.NewSignal()}
	place := slices.IndexFunc(p.waiting, func(w *waiter) bool { return o.before(w.offer) })
	if place < 0 {
		place = len(p.waiting)
	}
	p.waiting = slices.Insert(p.waiting, place, self)
	return true
}

func (r *Relay) wait(o *offer, p *pool, self *waiter, until time.Duration) (*state, error) {
	// Workers come back by time alone as well; the first in the line looks.
	look := max(o.route.LatencyTarget/32, time.Millisecond)
	first := true
	for {
		pause := until - r.Clock.Now()
		if first {
			pause = min(pause, look)
		}
		self.signal.Wait(max(0, min(pause, 4*look)))
		r.mu.Lock()
		over := r.Clock.Now() >= until
		if self.granted == nil && !self.refused && !over {
			r.pump(p)
		}
		switch {
		case self.granted != nil:
			r.mu.Unlock()
			return self.granted, nil
		case self.refused || over:
			p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w == self })
			err := r.refuse(o)
			r.mu.Unlock()
			return nil, err
		}
		first = p.waiting[0] == self
		r.mu.Unlock()
	}
}

// pump gives free places to those who wait, in the line's order.
func (r *Relay) pump(p *pool) {
	for place := 0; place < len(p.waiting); {
		w := p.waiting[place]
		chosen, _, _ := r.choose(w.offer, p)
		if chosen == nil {
			if len(w.offer.tried) == 0 {
				return // none behind it has better chances
			}
			place++
			continue
		}
		r.take(w.offer, p, chosen)
		w.granted = chosen
		p.waiting = slices.Delete(p.waiting, place, place+1)
		w.signal.Fire()
	}
}

// refuse says that the request has not run, and when to come back.
func (r *Relay) refuse(o *offer) error {
	now := r.Clock.Now()
	p := r.pool(o.service.Name)
	_, soonest, _ := r.choose(o, p)
	slots := 0.0
	for _, s := range p.workers {
		slots += s.slots()
	}
	p.booked = max(p.booked, now) + time.Duration(float64(p.request.value)/max(1, slots))
	after := r.jitter(max(soonest, p.booked-now, o.route.LatencyTarget/8))
	after = min(after, max(o.until-now, 0)/3)
	r.count("offers_refused")
	return base.BusyFor(503, "workers_full", after, "no worker has room")
}
