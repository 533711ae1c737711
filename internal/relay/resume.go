package relay

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
)

// streamPosition is how far the events of a stream have been passed on. If the ids
// increase in equal steps, the next id is known; otherwise it is only known to be
// higher.
type streamPosition struct {
	events      int // that are numbered
	dataEvents  int // that have data
	lastID      string
	lastNumber  int64
	idStep      int64 // between the last two ids, 0 if unknown
	unresumable bool  // an event had no id that another worker could resume after
	switched    bool  // the next event is the first from another worker
}

var (
	errUnexpectedEvent = base.Indeterminate(502, "worker_garbled", "the worker did not resume the stream at the expected event")
	errStreamCut       = base.Indeterminate(502, "worker_cut", "the worker's stream was cut short")
)

// check returns an error if the event must not be passed on. The events of one
// worker are passed on as received; the first event after a switch must be the
// expected one.
func (p *streamPosition) check(event *Event) error {
	if !p.switched || event.Data == nil {
		return nil
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	if err != nil || number <= p.lastNumber || p.idStep > 0 && number != p.lastNumber+p.idStep {
		return errUnexpectedEvent
	}
	return nil
}

// advance moves the position behind an event that is passed on.
func (p *streamPosition) advance(event *Event) {
	if event.Data != nil {
		p.dataEvents++
	}
	if event.Data == nil && event.ID == "" {
		return
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	if err != nil || p.events > 0 && number <= p.lastNumber {
		p.unresumable = true
		return
	}
	if p.events > 0 {
		p.idStep = number - p.lastNumber
	}
	p.events++
	p.lastID, p.lastNumber, p.switched = event.ID, number, false
}

// mayResume reports whether the stream may be resumed at another worker.
func (r *Reply) mayResume() bool {
	d := r.dispatch
	remaining := d.deadline - r.relay.Clock.Now()
	return d.mayRetry(0) && r.relay.Names.LastEventID != "" && !r.position.unresumable && remaining >= d.minSendTime()
}

// eventDeadline returns until when to wait for an event. A stream that may be
// resumed leaves a worker that is silent for several times the target gap between
// events.
func (r *Reply) eventDeadline(current *attempt, deadline time.Duration) time.Duration {
	if r.dispatch.route.EventGapTarget <= 0 || !r.mayResume() {
		return deadline
	}
	silenceLimit := max(silenceFactor*r.dispatch.route.EventGapTarget, r.dispatch.route.LatencyTarget)
	if !current.firstEventSeen {
		silenceLimit += silenceFactor * r.relay.meanRequestTime(r.dispatch.service.Name)
	}
	return min(deadline, current.progress.awaitedSince+silenceLimit)
}

// meanRequestTime is the mean time of a request of the service.
func (r *Relay) meanRequestTime(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool(service).requestTime.value
}

// resume continues a stream that broke off, or whose worker fell silent, at another
// worker after the last event passed on. The head and the seal remain those of the
// first worker; no event is repeated or left out. An error ends the stream.
func (r *Reply) resume(cause error) error {
	streamErr := streamError(cause)
	last := r.currentAttempt()
	last.endAfter(cause)
	if cause == error(errUnexpectedEvent) || cause == error(errOverrun) || memory.IsShortage(cause) || !r.mayResume() {
		return streamErr
	}
	relay, d := r.relay, r.dispatch
	d.startedAt = relay.Clock.Now() // it is queued no longer than a new request
	d.resumeAfter(r.position.lastID, relay.Names.LastEventID)
	for {
		d.tried = append(d.tried, last.worker)
		chosen, err := relay.acquireWorker(d)
		if err != nil {
			return streamErr
		}
		if r.isClosed() {
			relay.releaseWorker(d, chosen, outcomeNotSent)
			return streamErr
		}
		next, err := relay.send(d, chosen)
		if next != nil {
			return r.switchTo(next)
		}
		last = &attempt{worker: chosen}
		if requestErr := base.FindRequestError(err); !d.mayRetry(0) || requestErr == nil {
			return streamErr
		}
	}
}

// switchTo continues the stream with another worker's reply.
func (r *Reply) switchTo(next *Reply) error {
	if next.Buffered() || next.Status != r.Status {
		next.Close()
		return errStreamCut
	}
	r.mu.Lock()
	closed := r.closed
	r.current, r.position.switched = next.current, r.position.events > 0
	r.mu.Unlock()
	if closed {
		r.end(outcomeAbandoned)
		return errStreamCut
	}
	r.relay.count("streams_resumed")
	return nil
}

func (r *Reply) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// streamError returns the request error for a stream that broke off.
func streamError(cause error) error {
	if requestErr := base.FindRequestError(cause); requestErr != nil {
		return requestErr
	}
	if memory.IsShortage(cause) {
		return bodyError(cause)
	}
	return errStreamCut
}

// resumeAfter makes the next attempts ask for the events after id. If id is empty,
// the request is sent as the client sent it.
func (d *dispatch) resumeAfter(id, header string) {
	if id == "" {
		return
	}
	others := slices.DeleteFunc(slices.Clone(d.headerLines), func(line base.HeaderLine) bool { return strings.EqualFold(line.Name, header) })
	d.headerLines = append(others, base.HeaderLine{Name: header, Value: id})
}
