package relay

import (
	"bytes"
	"io"
	"sync"
	"time"

	"fordseam/internal/base"
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

	mu      sync.Mutex
	current *attempt
	closed  bool
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
		r.end(outcomeFailed)
		return nil, base.Indeterminate(502, "worker_cut", "the worker's answer was cut short")
	}
	r.body, r.buffered = body, true
	r.end(outcomeServed)
	return body, nil
}

// Event waits for the next event, at most for timeout. It returns io.EOF at the
// clean end of the stream. If the route allows it, a stream that breaks off is
// resumed at another worker after the last event returned.
func (r *Reply) Event(timeout time.Duration) (*Event, error) {
	deadline := r.relay.Clock.Now() + timeout
	for {
		current := r.currentAttempt()
		event, err := current.nextEvent(r.eventDeadline(current, deadline))
		if err == nil {
			err = r.position.check(event)
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
	current := r.current
	r.mu.Unlock()
	current.end(outcomeAbandoned)
}

// end ends the current attempt.
func (r *Reply) end(result outcome) { r.currentAttempt().end(result) }
