package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
)

const (
	// silenceFactor is how many times its expected duration an attempt may take
	// before its worker counts as silent: the longest requests take about four
	// times the mean.
	silenceFactor = 4
	// The response is awaited somewhat beyond the deadline, so that a worker can
	// still report itself that the time is over: by the time left divided by
	// replyMarginDivisor, at most maxReplyMargin. That is below the quarter of a
	// second beyond which a request counts as held too long.
	replyMarginDivisor = 20
	maxReplyMargin     = 100 * time.Millisecond
)

// attempt is a request sent to one worker, from the head of its response on.
type attempt struct {
	relay    *Relay
	dispatch *dispatch
	worker   *workerState
	response base.BackendReply
	sentAt   time.Duration

	firstEventSeen bool
	events         int // events with data
	progress       streamProgress
	once           sync.Once

	// memory counts what is held of the response. A buffered body stays counted after the end.
	memory      *memory.Lease
	eventMemory memory.Steps // of the current event
	buffered    atomic.Bool
}

// end closes the response and records the result. Only the first call has an
// effect.
func (a *attempt) end(result outcome) {
	a.once.Do(func() {
		a.response.Close()
		if !a.buffered.Load() {
			a.memory.Close()
		}
		a.relay.finishAttempt(a, result)
	})
}

// endAfter is end for an attempt whose response could not be read. A lack of memory here is the
// worker's failure only if its response takes much of it.
func (a *attempt) endAfter(err error) {
	if memory.IsShortage(err) {
		a.relay.count("answers_memory_short")
		if !a.memory.WasLarge() {
			a.end(outcomeAbandoned)
			return
		}
	}
	a.end(outcomeFailed)
}

// attemptTimeout returns how long to wait for the response of the chosen worker.
//
// A repeatable request does not wait for a silent worker until its deadline: while
// attempts and time for a whole second attempt are left, it goes on to another
// worker. Any other request waits, because a worker's silence does not prove that
// it did not run the request.
func (r *Relay) attemptTimeout(d *dispatch, chosen *workerState, remaining time.Duration) time.Duration {
	full := remaining + min(remaining/replyMarginDivisor, maxReplyMargin)
	if !d.mayRetry(1) {
		return full
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(d.service.Name)
	if len(p.queue) > 0 || len(p.workers) < 2 {
		return full // another attempt would take a slot from queued requests, or has no other worker
	}
	expected := time.Duration(float64(p.requestTime.value)*chosen.durationFactor()) + chosen.expectedWait(p, r.Clock.Now())
	silenceLimit := max(silenceFactor*expected, d.route.LatencyTarget)
	if silenceLimit > remaining/2 {
		return full // too little time would be left for a second attempt
	}
	return silenceLimit
}

// mayRetry reports whether, after extra more attempts, the request may still be
// sent to another worker without proof that the previous one did not run it.
func (d *dispatch) mayRetry(extra int) bool {
	return d.route.MayRepeat() && d.attempts+extra < max(1, d.route.MaxAttempts)
}
