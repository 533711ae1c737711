package relay

import (
	"math"
	"time"

	"fordseam/internal/base"
)

const (
	// maxIdleBytes is how many bytes of a stream may arrive without an event that has data:
	// comments that keep a connection open, and blank lines.
	maxIdleBytes = 64 << 10
	// freeIdleEvents, and idleEventsPerSecond more, is how many comments and other events without
	// data may be passed on while one with data is awaited.
	freeIdleEvents      = 8
	idleEventsPerSecond = 2
)

var (
	errOverrun    = base.Indeterminate(502, "worker_overran", "the worker sent more events than the request allows")
	errNoProgress = base.Indeterminate(502, "worker_garbled", "the worker sent little but comments and blank lines")
)

// streamProgress tells whether what a worker sends brings its stream further. Only events with
// data do.
type streamProgress struct {
	idleBytes    int           // since the last event with data
	idleEvents   int           // since then, blank lines alone not counted
	awaiting     bool          // an event with data is awaited
	awaitedSince time.Duration // clock reading
}

// await records that the reader waits for an event.
func (p *streamProgress) await(now time.Duration) {
	if !p.awaiting {
		p.awaiting, p.awaitedSince = true, now
	}
}

// add takes an event into account, and returns false if the stream has not come further for too
// many bytes or events.
func (p *streamProgress) add(event *Event, now time.Duration) bool {
	if event.Data != nil {
		p.idleBytes, p.idleEvents, p.awaiting = 0, 0, false
		return true
	}
	p.idleBytes += len(event.Raw)
	if !event.isBlank() {
		p.idleEvents++
	}
	allowed := freeIdleEvents + idleEventsPerSecond*int((now-p.awaitedSince)/time.Second)
	return p.idleBytes <= maxIdleBytes && p.idleEvents <= allowed
}

// maxEvents is how many events with data the answer to the request may have.
func (d *dispatch) maxEvents() int {
	if d.call.MaxOutputTokens <= 0 {
		return math.MaxInt
	}
	tokensPerEvent := int(d.service.TokensPerEvent())
	return (d.call.MaxOutputTokens + tokensPerEvent - 1) / tokensPerEvent
}
