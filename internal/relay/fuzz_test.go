package relay

import (
	"bytes"
	"io"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/route"
)

// linesReply returns prepared bytes line by line, and then the error end.
type linesReply struct {
	base.BackendReply
	rest []byte
	end  error
}

func (r *linesReply) ReadLine(time.Duration) ([]byte, error) {
	if len(r.rest) == 0 {
		return nil, r.end
	}
	length := bytes.IndexByte(r.rest, '\n') + 1
	if length == 0 {
		length = len(r.rest)
	}
	line := r.rest[:length]
	r.rest = r.rest[length:]
	return line, nil
}

func (r *linesReply) Header(string) string { return "" }
func (r *linesReply) Close()               {}

// readEvents reads the events of a stream up to its end, and returns that error.
func readEvents(raw []byte, end error) ([]*Event, error) {
	relay := New(Config{Clock: base.NewRealClock(), Names: &WireNames{}, Bounds: &base.AtomicPointer[base.Bounds]{}, Counters: base.NewCounters()})
	relay.Bounds.Store(base.DefaultBounds())
	first := &attempt{relay: relay, response: &linesReply{rest: bytes.Clone(raw), end: end}, worker: &workerState{cache: newPrefixCache()}, dispatch: newFuzzDispatch()}
	reply := &Reply{Status: 200, relay: relay, firstAttempt: first, current: first, dispatch: first.dispatch}
	var events []*Event
	for {
		event, err := reply.Event(time.Second)
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// dataPayload extracts the payload of an event's data lines by another method than
// readEvent.
func dataPayload(raw []byte) []byte {
	var lines [][]byte
	for _, line := range bytes.Split(raw, []byte("\n")) {
		line = bytes.TrimRight(line, "\r")
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			lines = append(lines, bytes.TrimPrefix(data, []byte(" ")))
		}
	}
	return bytes.Join(lines, []byte("\n"))
}

// For any input: the events together are exactly the bytes received, the payload of
// each is that of its data lines, and the end is clean only if the worker's was.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"data: a\r\ndata: b\r\n\r\n",
		": note\n\n\n\ndata:\n\n",
		"weight-versions: 3\nid: 7\ndata:  two spaces\n\ndata: no end",
		"data\n\nid\n\ndata:x\rdata:y\n\n",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, raw []byte, clean bool) {
		if len(raw) > maxEventBytes/2 {
			return
		}
		end := io.ErrUnexpectedEOF
		if clean {
			end = io.EOF
		}
		events, err := readEvents(raw, end)
		if (err == io.EOF) != clean {
			t.Fatalf("the worker's stream ended with %v, the reply with %v", end, err)
		}
		var all []byte
		for _, event := range events {
			all = append(all, event.Raw...)
			if !bytes.Equal(event.Data, dataPayload(event.Raw)) {
				t.Fatalf("event %q was read with the payload %q", event.Raw, event.Data)
			}
		}
		if clean && !bytes.Equal(all, raw) {
			t.Fatalf("received %q, passed on %q", raw, all)
		}
		if !clean && !bytes.HasPrefix(raw, all) {
			t.Fatalf("received %q, passed on %q", raw, all)
		}
	})
}

func newFuzzDispatch() *dispatch {
	return &dispatch{call: &Call{}, route: &route.Route{LatencyTarget: time.Second}, service: &route.Service{}}
}
