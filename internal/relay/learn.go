// What answers teach of workers, and the places that they give back.

package relay

import (
	"strconv"
	"strings"
	"time"
)

// heard takes in the load that an answer tells.
func (r *Relay) heard(s *state, told string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	s.heardAt.Store(int64(now))
	running, rest, ok := strings.Cut(told, ",")
	waiting, slots, _ := strings.Cut(rest, ",")
	if !ok {
		return
	}
	runs, err := strconv.Atoi(strings.TrimSpace(running))
	waits, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if err != nil || err2 != nil {
		return
	}
	if most, err := strconv.Atoi(strings.TrimSpace(slots)); err == nil && most > 0 {
		s.Capacity = most
	}
	s.total = float64(runs + waits)
	s.others, s.told, s.toldAt = max(0, s.total-float64(max(0, s.under-1))), true, now
	p := r.pool(s.Service)
	p.others += (s.others - p.others) / float64(2*max(1, len(p.workers)))
}

// firstEvent measures how long a prompt took to be read.
func (r *Relay) firstEvent(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	o, s := a.offer, a.worker
	if o.service.Engine == nil {
		return
	}
	p := r.pool(s.Service)
	took := now - a.sentAt
	if o.backlog == 0 {
		p.reading.add(float64(o.unread), float64(took))
	}
	first, perToken := p.reading.line()
	late := max(0, took-(o.backlog+first+time.Duration(o.unread)*perToken))
	before := time.Duration(float64(s.late) * fresh(now-s.lateAt, 4*o.route.LatencyTarget))
	s.late, s.lateAt = before+(late-before)/4, now
}

// finish ends an attempt's stay at its worker.
func (r *Relay) finish(a *attempt, how outcome) {
	o, s := a.offer, a.worker
	if how == served {
		r.mu.Lock()
		p := r.pool(s.Service)
		if engine := o.service.Engine; engine != nil {
			s.held.grow(o.call.Model, o.call.PromptParts, a.events*max(1, engine.TokensPerEvent))
		}
		took := r.Clock.Now() - a.sentAt
		if !s.told || s.load(p, r.Clock.Now()) <= s.slots() {
			p.request.add(took)
			if p.request.value > 0 {
				ratio := min(4, max(0.25, float64(took)/float64(p.request.value)))
				s.speed = s.pace() + (ratio-s.pace())/meanSpan
			}
		}
		r.mu.Unlock()
	}
	r.release(o, s, how)
}

// release gives the worker's place back and draws the lesson from how it went.
func (r *Relay) release(o *offer, s *state, how outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	bounds := r.Bounds.Load()
	p := r.pool(s.Service)
	if how == abandoned && s.under > 0 && now-time.Duration(s.heardAt.Load()) > 4*o.route.LatencyTarget {
		how = failed // nobody would wait for it any longer
	}
	s.under--
	s.probing = false
	if o.service.Engine != nil {
		if how != served && how != abandoned && how != failed {
			for _, one := range o.changes {
				s.held.set(one.key, one.before)
			}
			_, perToken := p.reading.line()
			s.read = max(now, s.read-time.Duration(o.unread)*perToken)
		}
	}
	switch how {
	case served:
		s.failures = 0
		s.idle, s.idleAt = s.idle+1, now
	case full:
		s.idle, s.idleAt = s.idle+1, now
		if s.told && s.toldAt == now && s.total >= s.slots() {
			s.limit = s.total
		}
		s.full = now + r.jitter(max(p.request.value/2, o.route.LatencyTarget/16))
	case stranger:
		s.failures += 3
		s.avoided = now + bounds.Leave
	case failed, unreached:
		pause := min(bounds.Beat()/2<<min(s.failures, 8), bounds.Leave)
		s.failures++
		s.avoided = now + r.jitter(pause)
	}
	r.pump(p)
}

// jitter is a span between a half and one and a half of the given one.
func (r *Relay) jitter(span time.Duration) time.Duration {
	return span/2 + time.Duration(r.Clock.Int64N(int64(span)+1))
}
