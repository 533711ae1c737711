package relay

import (
	"time"
)

// crossZoneBodyBytes is the length of a body whose transfer to another zone costs
// as much as the latency target.
const crossZoneBodyBytes = 128 << 10

// crossZoneCost is the cost of sending the request to another zone: a latency and
// a transfer cost in proportion to the body.
func (r *Relay) crossZoneCost(d *dispatch, s *workerState) time.Duration {
	if r.Zone == "" || s.zone == r.Zone {
		return 0
	}
	return d.route.LatencyTarget/12 + time.Duration(float64(d.route.LatencyTarget)*float64(len(d.body))/crossZoneBodyBytes)
}

// connectCost is the cost of a new connection if none is likely to be pooled. It
// is 0 for a worker that failed, so that it is tried again.
func (r *Relay) connectCost(d *dispatch, s *workerState, now time.Duration) time.Duration {
	if s.failures > 0 {
		return 0
	}
	if s.idleConns > 0 && now-s.idleConnAt < 2*r.Bounds.Load().Drain {
		return 0
	}
	return d.route.LatencyTarget / 48
}

// cost is the expected time of the request at the worker, plus penalties expressed
// as time.
func (r *Relay) cost(d *dispatch, p *servicePool, s *workerState, now time.Duration) time.Duration {
	if d.service.Engine != nil {
		return r.modelCost(d, p, s, now)
	}
	utilization := s.load(p, now) / s.slots()
	duration := float64(p.requestTime.value) * s.durationFactor() * (1 + utilization*utilization/4)
	return s.expectedWait(p, now) + time.Duration(duration) + r.crossZoneCost(d, s) + r.connectCost(d, s, now)
}

// modelCost is the cost of a request at a model worker: prefill, waiting, the
// recent delay of first events, the slowdown by its batch, and the recomputation
// of cached tokens that would be evicted.
func (r *Relay) modelCost(d *dispatch, p *servicePool, s *workerState, now time.Duration) time.Duration {
	_, perToken := p.prefill.estimate()
	uncached := d.uncachedTokensAt(s)
	load := s.load(p, now)
	cost := max(0, s.prefillDoneAt-now) + time.Duration(uncached)*perToken + s.expectedWait(p, now)
	cost += time.Duration(float64(s.firstEventDelay) * decay(now-s.firstEventDelayAt, 4*d.route.LatencyTarget))
	cost += time.Duration(float64(d.call.MaxOutputTokens) * load * float64(publishedBatchSlowdown))
	engine := d.service.Engine
	if engine.CacheTokens > 0 { // tokens beyond the cache's capacity evict others
		needed := float64(d.call.PromptTokens + d.call.MaxOutputTokens)
		if excess := (load+1)*needed - float64(engine.CacheTokens); excess > 0 {
			cost += time.Duration(excess) * perToken
		}
	}
	if len(d.call.PromptParts) > 0 {
		// While no worker has the first part cached, all nodes prefer the same few
		// workers for it.
		tieBreak := (d.firstPartHash ^ s.idHash) * 0x9e3779b97f4a7c15 >> 54
		cost += d.route.LatencyTarget / 32 * time.Duration(tieBreak) / 1024
	}
	return cost + r.crossZoneCost(d, s) + r.connectCost(d, s, now)
}

// uncachedTokensAt is how many tokens of the prompt the worker would have to
// prefill.
func (d *dispatch) uncachedTokensAt(s *workerState) int {
	call := d.call
	uncached := call.PromptTokens - s.cache.cachedTokens(call.Model, call.PromptParts)
	if call.LastWorker == s.ID && len(call.PromptParts) > 0 {
		uncached = min(uncached, call.PromptParts[len(call.PromptParts)-1].Tokens)
	}
	return max(0, uncached)
}
