// Choosing a worker. Plain workers: the least expected time, the way to another
// zone included; what answers tell of a worker's load counts less the older it
// is, so that many nodes with late news do not all run to the same worker. Model workers: the least of the time until the prompt's
// unread part is read and of what the batch slows, so that a session stays
// where its chain is kept as long as that pays. A worker that fails is avoided
// for a while that doubles, then tried by one request at a time; when all are
// avoided, none is.

package relay

import (
	"math"
	"time"
)

func (o *offer) triedAlready(s *state) bool {
	for _, one := range o.tried {
		if one == s {
			return true
		}
	}
	return false
}

// choose gives the worker for an offer, or nil when none has room; soonest is
// then the shortest expected wait, and possible tells that there are workers.
func (r *Relay) choose(o *offer, p *pool) (chosen *state, soonest time.Duration, possible bool) {
	now := r.Clock.Now()
	most := r.share(o.service)
	allowed := o.patience(p, now)
	soonest = -1
	open := make([]*state, 0, len(p.workers))
	var avoided []*state
	for _, s := range p.workers {
		if o.triedAlready(s) || !s.serving.Load() {
			continue
		}
		possible = true
		shunned, noRoom := s.spared(o, p, now)
		waits := s.waits(p, now)
		if noRoom {
			waits = max(waits, s.full-now)
		}
		if !shunned && (soonest < 0 || waits < soonest) {
			soonest = waits
		}
		switch {
		case noRoom || (most > 0 && s.under >= most) || waits > allowed:
		case shunned:
			avoided = append(avoided, s)
		default:
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		if soonest >= 0 { // some are well, but full
			return nil, soonest, possible
		}
		open = avoided
	}
	return r.pick(o, p, open, now), max(0, soonest), possible
}

// patience is how long a request may wait for a slot, from four times the aim
// for the most urgent to a quarter for the least, so that these leave room; and
// never so long that its time is over before it could run.
func (o *offer) patience(p *pool, now time.Duration) time.Duration {
	aim := o.route.LatencyTarget * time.Duration(48-5*min(9, max(0, o.route.Urgency))) / 12
	return min(aim, max(0, o.until-now-p.request.value)*3/4)
}

func (r *Relay) pick(o *offer, p *pool, open []*state, now time.Duration) *state {
	if r.narrow != nil {
		open = r.narrow(open)
	}
	var best *state
	var least time.Duration
	for _, s := range open {
		cost := r.cost(o, p, s, now) + time.Duration(r.Clock.Int64N(int64(o.route.LatencyTarget/128)+1))
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}

// take books the request on the worker.
func (r *Relay) take(o *offer, p *pool, s *state) {
	now := r.Clock.Now()
	if s.under == 0 {
		s.heardAt.Store(int64(now))
	}
	s.under++
	s.idle = max(0, s.idle-1)
	s.probing = s.failures > 0
	if o.service.Engine == nil {
		return
	}
	_, perToken := p.reading.line()
	o.unread = o.unreadAt(s)
	o.backlog = max(0, s.read-now)
	s.read = max(now, s.read) + time.Duration(o.unread)*perToken
	room := o.service.Engine.CacheTokens
	if room <= 0 {
		room = math.MaxInt
	}
	o.changes = s.held.use(o.call.Model, o.call.PromptParts, room)
}
