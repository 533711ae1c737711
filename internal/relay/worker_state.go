package relay

import (
	"sync/atomic"
	"time"

	"fordseam/internal/base"
)

// outcome is the result of a request at a worker.
type outcome int

const (
	outcomeServed      outcome = iota // complete response
	outcomeAbandoned                  // given up by the client
	outcomeFailed                     // no response, or an invalid one
	outcomeUnreachable                // no connection
	outcomeRejected                   // rejected because the worker is full
	outcomeMisdirected                // another worker is at this address
	outcomeNotSent                    // not sent, through no failure of the worker
)

// workerIdentity says which worker it is and where. It may be read without a lock.
type workerIdentity struct {
	ID      string
	Addr    string
	Service string
}

// workerState is what this node knows of one incarnation of a worker. Relay.mu guards all
// but its identity, which never changes, and the atomic fields.
type workerState struct {
	workerIdentity
	zone        string
	capacity    int    // as listed, or as it last reported
	listed      Worker // as last listed
	listVersion uint64 // the last list that contained it
	serving     atomic.Bool
	inFlight    int // this node's requests

	otherRequests    float64 // other nodes' requests there, by its last report
	reportedRequests float64 // all requests there, by its last report
	rejectedAtLoad   float64 // all requests there when it last rejected one; 0 if unknown
	loadReported     bool
	loadReportedAt   time.Duration
	durationRatio    float64 // duration of its requests, as a ratio to the service's mean; 0 if unknown
	failures         int
	avoidUntil       time.Duration
	probing          bool // a request is testing it after a failure
	fullUntil        time.Duration
	lastHeardAt      atomic.Int64 // when it last sent anything, or was sent a request while it had none

	idleConns  int           // connections to it that are probably pooled
	idleConnAt time.Duration // when one was last returned to the pool

	idHash            uint64 // hash of the id
	cache             *prefixCache
	prefillDoneAt     time.Duration // when the prompts sent there will have been prefilled
	firstEventDelay   time.Duration // how much later than expected its first events came
	firstEventDelayAt time.Duration
}

// servicePool is what this node knows of a service: its workers, its measured
// times and its queue. Relay.mu guards it.
type servicePool struct {
	workers           []*workerState
	requestTime       runningMean // of requests that did not wait at the worker
	prefill           *linearFit
	meanOtherRequests float64 // mean of otherRequests over the workers
	queue             []*waiter
	nextRetryAt       time.Duration
}

func sortedServiceNames(pools map[string]*servicePool) []string { return base.SortedKeys(pools) }

// pool returns the state of a service, which it creates if necessary. The caller
// holds the lock.
func (r *Relay) pool(service string) *servicePool {
	p := r.pools[service]
	if p == nil {
		p = &servicePool{prefill: newLinearFit(publishedFirstEvent, publishedPerToken)}
		r.pools[service] = p
	}
	return p
}

// slots is the worker's capacity, at least 1.
func (s *workerState) slots() float64 { return float64(max(1, s.capacity)) }

// load estimates how many requests the worker has, this node's included. Its report
// of other nodes' requests fades into the service's mean within the time of a few
// requests.
func (s *workerState) load(p *servicePool, now time.Duration) float64 {
	if !s.loadReported {
		return p.meanOtherRequests + float64(s.inFlight)
	}
	return p.meanOtherRequests + (s.otherRequests-p.meanOtherRequests)*decay(now-s.loadReportedAt, 2*p.requestTime.value) + float64(s.inFlight)
}

// decay is the weight of a report of the given age; it is one half at halfAge.
func decay(age, halfAge time.Duration) float64 {
	if halfAge <= 0 {
		return 1
	}
	return float64(halfAge) / float64(halfAge+age)
}

// unavailable reports whether a worker should get no request now: avoided, because
// it failed or is silent, or full.
func (s *workerState) unavailable(d *dispatch, p *servicePool, now time.Duration) (avoided, full bool) {
	silenceLimit := 2*d.route.LatencyTarget + 4*p.requestTime.value + max(0, s.prefillDoneAt-now)
	silent := s.inFlight > 0 && now-time.Duration(s.lastHeardAt.Load()) > silenceLimit
	return now < s.avoidUntil || (s.failures > 0 && s.probing) || silent, now < s.fullUntil || (s.rejectedAtLoad > 0 && s.load(p, now) >= s.rejectedAtLoad)
}

// expectedWait is how long a request would wait for a slot at the worker.
func (s *workerState) expectedWait(p *servicePool, now time.Duration) time.Duration {
	excess := s.load(p, now) + 1 - s.slots()
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / s.slots() * float64(p.requestTime.value) * s.durationFactor())
}

// durationFactor is durationRatio, or 1 if that is unknown.
func (s *workerState) durationFactor() float64 {
	if s.durationRatio == 0 {
		return 1
	}
	return s.durationRatio
}
