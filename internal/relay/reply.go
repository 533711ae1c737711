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

	"github.com/juju/errors"
)

const eventLimit = 1 << 20

// Event is one event of a stream: its bytes as they came, the empty line
// included, and the payload of its data lines; Data is nil when it has none.
type Event struct {
	Raw  []byte
	Data []byte
	ID   string
}

// Reply is an answer. Close must be called for a stream.
type Reply struct {
	Status int
	Worker string

	relay  *Relay
	offer  *offer
	state  *state
	under  base.BackReply
	body   []byte
	whole  bool
	sentAt time.Duration
	begun  bool
	events int
	once   sync.Once
}

// Whole tells that the body is there; otherwise the reply is a stream.
func (p *Reply) Whole() bool { return p.whole }

// Header is one header of the answer.
func (p *Reply) Header(name string) string { return p.under.Header(name) }

// Seal is the worker's seal, which a success needs.
func (p *Reply) Seal() string { return p.under.Header(p.relay.Names.Seal) }

// EachHeader walks the header lines that are passed on.
func (p *Reply) EachHeader(visit func(name, value []byte)) {
	p.under.EachHeader(func(name, value []byte) {
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
	body, err := p.under.Body(limit, p.relay.AnswerLimit)
	if err != nil {
		p.end(failed)
		return nil, base.Unsure(502, "worker_cut", "the worker's answer was cut short")
	}
	p.body, p.whole = body, true
	p.end(served)
	return body, nil
}

// Event waits for the next event at most for the limit; io.EOF is the clean
// end of the stream.
func (p *Reply) Event(limit time.Duration) (*Event, error) {
	clock := p.relay.Clock
	until := clock.Now() + limit
	event := &Event{}
	for {
		line, err := p.under.Line(max(0, until-clock.Now()))
		switch {
		case err == io.EOF && len(event.Raw) > 0:
			return event, nil // the next look finds the end
		case err == io.EOF:
			p.end(served)
			return nil, io.EOF
		case err != nil:
			p.end(failed)
			return nil, base.Unsure(502, "worker_cut", "the worker's stream was cut short")
		}
		p.state.heardAt.Store(int64(clock.Now()))
		event.Raw = append(event.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if event.Data != nil {
				p.events++
			}
			if !p.begun && len(event.Raw) > len(line) {
				p.begun = true
				p.relay.firstEvent(p)
			}
			return event, nil
		}
		if data, ok := bytes.CutPrefix(text, []byte("data:")); ok {
			if event.Data == nil {
				event.Data = []byte{} // an empty payload is one as well
			} else {
				event.Data = append(event.Data, '\n')
			}
			event.Data = append(event.Data, bytes.TrimPrefix(data, []byte(" "))...)
		} else if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		if len(event.Raw) > eventLimit {
			p.end(failed)
			return nil, errors.Annotate(base.Unsure(502, "worker_garbled", "an event is too long"), "reading a stream")
		}
	}
}

// Close lets go of the answer; it may be called from another task and more
// than once.
func (p *Reply) Close() { p.end(abandoned) }

func (p *Reply) end(how outcome) {
	p.once.Do(func() {
		p.under.Close()
		p.relay.finish(p, how)
	})
}
