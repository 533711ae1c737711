// What a request is expected to cost at a worker, in time.

package relay

import (
	"time"
)

// farBody is the length of a body whose way to another zone weighs as much as
// the aim.
const farBody = 128 << 10

// far is what another zone costs, in time: the way, and the bytes.
func (r *Relay) far(o *offer, s *state) time.Duration {
	if r.Zone == "" || s.Zone == r.Zone {
		return 0
	}
	return o.route.LatencyTarget/12 + time.Duration(float64(o.route.LatencyTarget)*float64(len(o.body))/farBody)
}

// joining is what a new connection costs, in time, where none is kept. A worker
// that failed is to be tried again all the same.
func (r *Relay) joining(o *offer, s *state, now time.Duration) time.Duration {
	if s.failures > 0 {
		return 0
	}
	if s.idle > 0 && now-s.idleAt < 2*r.Bounds.Load().Leave {
		return 0
	}
	return o.route.LatencyTarget / 48
}

// cost is the time that a request is expected to take there, with what speaks
// against the worker expressed in time.
func (r *Relay) cost(o *offer, p *pool, s *state, now time.Duration) time.Duration {
	if o.service.Engine != nil {
		return r.modelCost(o, p, s, now)
	}
	busy := s.load(p, now) / s.slots()
	taken := float64(p.request.value) * s.pace() * (1 + busy*busy/4)
	return s.waits(p, now) + time.Duration(taken) + r.far(o, s) + r.joining(o, s, now)
}

func (r *Relay) modelCost(o *offer, p *pool, s *state, now time.Duration) time.Duration {
	_, perToken := p.reading.line()
	unread := o.unreadAt(s)
	load := s.load(p, now)
	cost := max(0, s.read-now) + time.Duration(unread)*perToken + s.waits(p, now)
	cost += time.Duration(float64(s.late) * fresh(now-s.lateAt, 4*o.route.LatencyTarget))
	cost += time.Duration(float64(o.call.MaxOutputTokens) * load * float64(publishedCrowd))
	engine := o.service.Engine
	if engine.CacheTokens > 0 { // what does not fit puts others back
		mine := float64(o.call.PromptTokens + o.call.MaxOutputTokens)
		if over := (load+1)*mine - float64(engine.CacheTokens); over > 0 {
			cost += time.Duration(over) * perToken
		}
	}
	if len(o.call.PromptParts) > 0 {
		// Where nobody holds the first part yet, all nodes think of the same few.
		spread := (o.shared ^ s.mark) * 0x9e3779b97f4a7c15 >> 54
		cost += o.route.LatencyTarget / 32 * time.Duration(spread) / 1024
	}
	return cost + r.far(o, s) + r.joining(o, s, now)
}

// unreadAt is how many tokens of the prompt the worker would have to read.
func (o *offer) unreadAt(s *state) int {
	call := o.call
	unread := call.PromptTokens - s.held.kept(call.Model, call.PromptParts)
	if call.LastWorker == s.ID && len(call.PromptParts) > 0 {
		unread = min(unread, call.PromptParts[len(call.PromptParts)-1].Tokens)
	}
	return max(0, unread)
}
