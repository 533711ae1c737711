package relay

import (
	"bytes"
	"io"
	"time"

	"fordseam/internal/base"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// Event is one server-sent event. Raw is its bytes as received, including the empty
// line at its end; Data is the payload of its data lines, nil if it has none.
type Event struct {
	Raw  []byte
	Data []byte
	ID   string
}

// errEventTooLong is returned for an event longer than maxEventBytes.
var errEventTooLong = base.Indeterminate(502, "worker_garbled", "an event is too long")

// readEvent reads lines up to an empty one. It returns io.EOF at the end of the
// stream; a last event without an empty line is returned before that.
//
// hold is called with the size of each line before the line becomes part of the event.
func readEvent(readLine func() ([]byte, error), hold func(bytes int) error) (*Event, error) {
	event := &Event{}
	for {
		raw, err := readLine()
		switch {
		case err == io.EOF && len(event.Raw) > 0:
			return event, nil // the next call returns io.EOF
		case err != nil:
			return nil, err
		}
		if err := hold(len(raw)); err != nil {
			return nil, err
		}
		event.Raw = append(event.Raw, raw...)
		line := bytes.TrimRight(raw, "\r\n")
		if len(line) == 0 {
			return event, nil
		}
		event.addLine(line)
		if len(event.Raw) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// addLine parses one line of an event.
func (e *Event) addLine(line []byte) {
	if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
		if e.Data == nil {
			e.Data = []byte{} // an empty payload differs from none
		} else {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, bytes.TrimPrefix(data, []byte(" "))...)
		return
	}
	if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		e.ID = string(bytes.TrimPrefix(id, []byte(" ")))
	}
}

// isBlank reports whether the event has no line but the empty one at its end.
func (e *Event) isBlank() bool { return len(bytes.TrimRight(e.Raw, "\r\n")) == 0 }

// nextEvent waits for the attempt's next event until the deadline.
func (a *attempt) nextEvent(deadline time.Duration) (*Event, error) {
	clock := a.relay.Clock
	a.eventMemory.Reset()
	event, err := readEvent(func() ([]byte, error) { return a.response.ReadLine(max(0, deadline-clock.Now())) }, a.holdLine)
	if err != nil {
		return nil, err
	}
	if event.Data != nil {
		a.events++
		a.worker.lastHeardAt.Store(int64(clock.Now()))
	}
	if !a.firstEventSeen && !event.isBlank() {
		a.firstEventSeen = true
		a.relay.recordFirstEvent(a)
	}
	return event, nil
}

// eventCopies is how often an event is in memory: in Raw and in Data.
const eventCopies = 2

// holdLine takes memory for a line of the current event.
func (a *attempt) holdLine(bytes int) error { return a.eventMemory.Add(eventCopies * bytes) }
