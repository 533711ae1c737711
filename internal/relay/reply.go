// A worker's answer: whole, or a stream read event by event. Its status, body
// and seal are passed on unchanged. Closing a stream early closes the worker's
// connection, which ends the worker's work.

package relay

import (
	"bytes"
	"io"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Reply is an answer. Close must be called for a stream.
type Reply struct {
	Status   int
	WorkerID string

	relay *Relay
	offer *offer
	first *attempt // the head of the answer is its
	body  []byte
	whole bool
	place place // of the last event that was passed on

	mu      sync.Mutex
	current *attempt
	closed  bool
}

// Buffered tells that the body is there; otherwise the reply is a stream.
func (p *Reply) Buffered() bool { return p.whole }

// Header is one header of the answer.
func (p *Reply) Header(name string) string { return p.first.under.Header(name) }

// Seal is the worker's seal, which a success needs.
func (p *Reply) Seal() string { return p.Header(p.relay.Names.Seal) }

// EachHeader walks the header lines that are passed on.
func (p *Reply) EachHeader(visit func(name, value []byte)) {
	p.first.under.EachHeader(func(name, value []byte) {
		for _, own := range ownHeaders {
			if len(own) == len(name) && bytes.EqualFold(name, []byte(own)) {
				return
			}
		}
		visit(name, value)
	})
}

// Headers are the header lines that are passed on.
func (p *Reply) Headers() []Header {
	found := []Header{}
	p.EachHeader(func(name, value []byte) { found = append(found, Header{Name: string(name), Value: string(value)}) })
	return found
}

// Body is the whole body.
func (p *Reply) Body(limit time.Duration) ([]byte, error) {
	if p.whole {
		return p.body, nil
	}
	body, err := p.first.under.Body(limit, p.relay.MaxResponseBytes)
	if err != nil {
		p.end(failed)
		return nil, base.Unsure(502, "worker_cut", "the worker's answer was cut short")
	}
	p.body, p.whole = body, true
	p.end(served)
	return body, nil
}

// Event waits for the next event at most for the limit; io.EOF is the clean
// end of the stream. Where the route allows it, a stream that breaks off goes on
// at another worker behind the last event that was given.
func (p *Reply) Event(limit time.Duration) (*Event, error) {
	until := p.relay.Clock.Now() + limit
	for {
		now := p.attempt()
		event, err := now.event(p.eventLimit(now, until))
		if err == nil {
			err = p.place.check(event)
		}
		switch {
		case err == nil:
			p.place.pass(event)
			return event, nil
		case err == io.EOF:
			p.end(served)
			return nil, io.EOF
		}
		if err := p.resume(err); err != nil {
			return nil, err
		}
	}
}

// attempt is the one whose events are read.
func (p *Reply) attempt() *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Close lets go of the answer; it may be called from another task and more
// than once.
func (p *Reply) Close() {
	p.mu.Lock()
	p.closed = true
	now := p.current
	p.mu.Unlock()
	now.end(abandoned)
}

func (p *Reply) end(how outcome) { p.attempt().end(how) }
