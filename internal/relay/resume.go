// Continuing a stream at another worker. Where a route allows it, a stream whose
// worker breaks off or falls silent goes on behind the last event that was
// passed on, within the same answer: the head and the seal stay those of the
// first worker. No event comes twice and none is left out; a stream that cannot
// be continued ends openly.

package relay

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
)

// place is how far a stream's events have been passed on. Ids that rise evenly
// show which one is due; any other id rises at least.
type place struct {
	events int
	id     string
	number int64
	step   int64 // between the last two ids, 0 while it is not known
	broken bool  // an event had no id that a worker could go on from
	moved  bool  // the next event is the first of another worker
}

var (
	errNotDue = base.Unsure(502, "worker_garbled", "the worker did not go on where the stream had stopped")
	errCut    = base.Unsure(502, "worker_cut", "the worker's stream was cut short")
)

// check tells whether the event may be passed on. What one worker sends passes
// as it comes; the first event after a move must be the one that is due.
func (p *place) check(event *Event) error {
	if !p.moved || event.Data == nil {
		return nil
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	if err != nil || number <= p.number || p.step > 0 && number != p.number+p.step {
		return errNotDue
	}
	return nil
}

// pass counts an event that goes to the client.
func (p *place) pass(event *Event) {
	if event.Data == nil && event.ID == "" {
		return
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	if err != nil || p.events > 0 && number <= p.number {
		p.broken = true
		return
	}
	if p.events > 0 {
		p.step = number - p.number
	}
	p.events++
	p.id, p.number, p.moved = event.ID, number, false
}

// mayResume tells whether another worker may go on with the stream.
func (p *Reply) mayResume() bool {
	o := p.offer
	left := o.until - p.relay.Clock.Now()
	return o.mayAttemptAgain(0) && p.relay.Names.LastEventID != "" && !p.place.broken && left >= o.least()
}

// eventLimit is until when an event is waited for. A stream that may be resumed
// leaves a worker that is silent for several times the pause that is in time.
func (p *Reply) eventLimit(now *attempt, until time.Duration) time.Duration {
	if p.offer.route.EventGapTarget <= 0 || !p.mayResume() {
		return until
	}
	silent := max(silentTimes*p.offer.route.EventGapTarget, p.offer.route.LatencyTarget)
	if !now.begun {
		silent += silentTimes * p.relay.usual(p.offer.service.Name)
	}
	return min(until, p.relay.Clock.Now()+silent)
}

// usual is how long a request of a service takes.
func (r *Relay) usual(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool(service).request.value
}

// resume takes a stream that broke off to another worker; the error that it
// gives ends the stream.
func (p *Reply) resume(broke error) error {
	failedWord := wordOf(broke)
	last := p.attempt()
	last.end(failed)
	if broke == error(errNotDue) || !p.mayResume() {
		return failedWord
	}
	r, o := p.relay, p.offer
	o.began = r.Clock.Now() // it waits for a place no longer than a new request
	o.resumeAfter(p.place.id, r.Names.LastEventID)
	for {
		o.tried = append(o.tried, last.worker)
		chosen, err := r.hold(o)
		if err != nil {
			return failedWord
		}
		if p.isClosed() {
			r.release(o, chosen, turnedBack)
			return failedWord
		}
		next, err := r.send(o, chosen)
		if next != nil {
			return p.goOn(next)
		}
		last = &attempt{worker: chosen}
		if v := base.VerdictIn(err); !o.mayAttemptAgain(0) || v == nil {
			return failedWord
		}
	}
}

// goOn reads on from another worker's answer.
func (p *Reply) goOn(next *Reply) error {
	if next.Buffered() || next.Status != p.Status {
		next.Close()
		return errCut
	}
	p.mu.Lock()
	closed := p.closed
	p.current, p.place.moved = next.current, p.place.events > 0
	p.mu.Unlock()
	if closed {
		p.end(abandoned)
		return errCut
	}
	p.relay.count("streams_resumed")
	return nil
}

func (p *Reply) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// wordOf is the verdict on a stream that broke off.
func wordOf(broke error) error {
	if v := base.VerdictIn(broke); v != nil {
		return v
	}
	return errCut
}

// resumeAfter has the next attempts ask for what follows an event; without one
// the request goes as the client sent it.
func (o *offer) resumeAfter(id, header string) {
	if id == "" {
		return
	}
	others := slices.DeleteFunc(slices.Clone(o.lines), func(line base.HeaderLine) bool { return strings.EqualFold(line.Name, header) })
	o.lines = append(others, base.HeaderLine{Name: header, Value: id})
}
