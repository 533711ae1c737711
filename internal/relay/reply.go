package relay

import (
	"bytes"
	"io"
	"sync"
	"time"

	"fordseam/internal/memory"
)

// Reply is a worker's reply, with the whole body or as a stream that is read event
// by event. Status, body and seal are passed on unchanged. Close must be called for
// a stream; before the stream's end it closes the worker's connection, which makes
// the worker abandon the request.
type Reply struct {
	Status   int
	WorkerID string

	relay        *Relay
	dispatch     *dispatch
	firstAttempt *attempt // the one whose head is passed on
	body         []byte
	buffered     bool           // body is set
	position     streamPosition // after the last event that was passed on

	mu          sync.Mutex
	current     *attempt
	closed      bool
	memoryTaken bool
}

// Buffered reports whether the whole body was read; otherwise the reply is a
// stream.
func (r *Reply) Buffered() bool { return r.buffered }

// Header returns the value of a header.
func (r *Reply) Header(name string) string { return r.firstAttempt.response.Header(name) }

// Seal returns the worker's seal header, which every successful response has.
func (r *Reply) Seal() string { return r.Header(r.relay.Names.Seal) }

// EachHeader calls visit for every header line to forward.
func (r *Reply) EachHeader(visit func(name, value []byte)) {
	r.firstAttempt.response.EachHeader(func(name, value []byte) {
		for _, header := range unforwardedHeaders {
			if len(header) == len(name) && bytes.EqualFold(name, []byte(header)) {
				return
			}
		}
		visit(name, value)
	})
}

// Headers returns the header lines to forward.
func (r *Reply) Headers() []Header {
	headers := []Header{}
	r.EachHeader(func(name, value []byte) { headers = append(headers, Header{Name: string(name), Value: string(value)}) })
	return headers
}

// Body returns the whole body.
func (r *Reply) Body(timeout time.Duration) ([]byte, error) {
	if r.buffered {
		return r.body, nil
	}
	body, err := r.firstAttempt.response.ReadBody(timeout, r.relay.MaxResponseBytes)
	if err != nil {
		r.firstAttempt.endAfter(err)
		return nil, bodyError(err)
	}
	r.setBody(body)
	return body, nil
}

// setBody sets the whole body, which ends the attempt.
func (r *Reply) setBody(body []byte) {
	r.body, r.buffered = body, true
	r.firstAttempt.buffered.Store(true)
	r.end(outcomeServed)
}

// TakeMemory returns the lease that counts the whole body, which the caller closes once the body
// is not held any more. Without this call Close does so.
func (r *Reply) TakeMemory() *memory.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memoryTaken = true
	return r.firstAttempt.memory
}

// Event waits for the next event, at most for timeout. It returns io.EOF at the
// clean end of the stream. If the route allows it, a stream that breaks off is
// resumed at another worker after the last event returned.
func (r *Reply) Event(timeout time.Duration) (*Event, error) {
	deadline := r.relay.Clock.Now() + timeout
	for {
		current := r.currentAttempt()
		current.progress.await(r.relay.Clock.Now())
		event, err := current.nextEvent(r.eventDeadline(current, deadline))
		if err == nil {
			err = r.checkEvent(current, event)
		}
		switch {
		case err == nil:
			r.position.advance(event)
			return event, nil
		case err == io.EOF:
			r.end(outcomeServed)
			return nil, io.EOF
		}
		if err := r.resume(err); err != nil {
			return nil, err
		}
	}
}

// checkEvent returns an error if the event must not be passed on.
func (r *Reply) checkEvent(current *attempt, event *Event) error {
	if event.Data != nil && r.position.dataEvents >= r.dispatch.maxEvents() {
		r.relay.count("answers_overrun")
		return errOverrun
	}
	if !current.progress.add(event, r.relay.Clock.Now()) {
		r.relay.count("answers_without_progress")
		return errNoProgress
	}
	return r.position.check(event)
}

// currentAttempt returns the attempt that the events are read from.
func (r *Reply) currentAttempt() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Close ends the reply. It may be called from another goroutine and more than
// once.
func (r *Reply) Close() {
	r.mu.Lock()
	r.closed = true
	current, memoryTaken := r.current, r.memoryTaken
	r.mu.Unlock()
	current.end(outcomeAbandoned)
	if !memoryTaken {
		current.memory.Close()
	}
}

// Fail ends the reply as a failure of its worker.
func (r *Reply) Fail() { r.end(outcomeFailed) }

// end ends the current attempt.
func (r *Reply) end(result outcome) { r.currentAttempt().end(result) }
