// What this node knows of one life of a worker, and of a service.

package relay

import (
	"sync/atomic"
	"time"

	"fordseam/internal/base"
)

// outcome is how a request ended at a worker.
type outcome int

const (
	served outcome = iota
	abandoned
	failed     // no answer, or one out of protocol
	unreached  // no connection
	full       // turned away
	stranger   // another worker is at this address
	turnedBack // not sent, for reasons of our own
)

// state is what this node knows of one life of a worker.
type state struct {
	Worker
	listed  Worker // as the list has it
	list    uint64 // the last list that it was in
	serving atomic.Bool
	under   int // our requests under way

	others   float64 // requests of others there, when last told
	total    float64 // all there, when last told
	limit    float64 // all there when it turned a request away
	told     bool
	toldAt   time.Duration
	speed    float64 // time that requests take, as a ratio to the service's
	failures int
	avoided  time.Duration // until then
	probing  bool
	full     time.Duration // until then
	heardAt  atomic.Int64  // the last word of it, or the first request since it had none

	idle   int           // connections that are probably kept to it
	idleAt time.Duration // when one was last left

	mark   uint64 // of the id
	held   *prefixes
	read   time.Duration // when the prompts sent there will have been read
	late   time.Duration // how much later than expected first events came
	lateAt time.Duration
}

// pool is what this node knows of a service.
type pool struct {
	workers []*state
	request mean // time of a request that did not wait
	reading *fit
	others  float64 // mean over workers
	waiting []*waiter
	booked  time.Duration
}

func sortedPools(pools map[string]*pool) []string { return base.SortedKeys(pools) }

func (r *Relay) pool(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{reading: newFit(publishedFirst, publishedPerToken)}
		r.pools[service] = p
	}
	return p
}

func (s *state) slots() float64 { return float64(max(1, s.Capacity)) }

// load is how many requests the worker probably has, ours included. News of
// others fades into the service's mean within a few requests' time.
func (s *state) load(p *pool, now time.Duration) float64 {
	if !s.told {
		return p.others + float64(s.under)
	}
	return p.others + (s.others-p.others)*fresh(now-s.toldAt, 2*p.request.value) + float64(s.under)
}

// fresh is how much news of that age still counts.
func fresh(age, halved time.Duration) float64 {
	if halved <= 0 {
		return 1
	}
	return float64(halved) / float64(halved+age)
}

// spared tells that a worker gets nothing now because it failed or is full.
func (s *state) spared(o *offer, p *pool, now time.Duration) (avoided, noRoom bool) {
	quiet := 2*o.route.LatencyTarget + 4*p.request.value + max(0, s.read-now)
	silent := s.under > 0 && now-time.Duration(s.heardAt.Load()) > quiet
	return now < s.avoided || (s.failures > 0 && s.probing) || silent, now < s.full || (s.limit > 0 && s.load(p, now) >= s.limit)
}

// waits is how long a request would wait for a slot there.
func (s *state) waits(p *pool, now time.Duration) time.Duration {
	above := s.load(p, now) + 1 - s.slots()
	if above <= 0 {
		return 0
	}
	return time.Duration(above / s.slots() * float64(p.request.value) * s.pace())
}

func (s *state) pace() float64 {
	if s.speed == 0 {
		return 1
	}
	return s.speed
}
