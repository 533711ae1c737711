// One attempt: a request sent to one worker, from the head of its answer on.

package relay

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

const (
	// silentTimes is how many times its expected duration an attempt may take
	// before its worker counts as silent: the longest work is about four times
	// the mean.
	silentTimes = 4
	// lastWordShare is the part of the time left that is added for a worker's
	// own word that the time is over, and lastWordMost bounds it, below the
	// quarter of a second from which holding a request counts as too long.
	lastWordShare = 20
	lastWordMost  = 100 * time.Millisecond
)

// attempt is a request at one worker whose answer has begun.
type attempt struct {
	relay  *Relay
	offer  *offer
	worker *state
	under  base.BackReply
	sentAt time.Duration

	begun  bool // its first event has come
	events int
	once   sync.Once
}

// end lets go of the answer, once.
func (a *attempt) end(how outcome) {
	a.once.Do(func() {
		a.under.Close()
		a.relay.finish(a, how)
	})
}

// attemptLimit is how long the answer of the chosen worker is waited for.
//
// A request that may be repeated does not wait for a silent worker until its
// time is over: while there are tries and time left for a whole second attempt,
// it goes on to another worker. Any other request waits, since a worker's
// silence proves nothing.
func (r *Relay) attemptLimit(o *offer, chosen *state, left time.Duration) time.Duration {
	whole := left + min(left/lastWordShare, lastWordMost)
	if !o.mayAttemptAgain(1) {
		return whole
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(o.service.Name)
	if len(p.waiting) > 0 || len(p.workers) < 2 {
		return whole // a second attempt would take a place from others, or has none
	}
	expected := time.Duration(float64(p.request.value)*chosen.pace()) + chosen.waits(p, r.Clock.Now())
	silent := max(silentTimes*expected, o.route.LatencyTarget)
	if silent > left/2 {
		return whole // too little would be left for a second attempt
	}
	return silent
}

// mayAttemptAgain tells whether, after so many more, the request may go to yet
// another worker without proof that the last one did not run it.
func (o *offer) mayAttemptAgain(more int) bool {
	return o.route.MayRepeat() && o.sent+more < max(1, o.route.MaxAttempts)
}
