// A stream is one turn's answer as it comes: a head, then pieces that are
// passed on unchanged, then an end. It is whole only when its owner says so; a
// reader that leaves early ends the turn's work.

package line

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
)

// Head is an answer's status and headers.
type Head struct {
	Status  int
	Headers []relay.Header
}

// Stream is written by the owner of the session and read by one client.
type Stream struct {
	mu     sync.Mutex
	bell   *base.Bell
	head   *Head
	failed *base.Verdict
	pieces [][]byte
	done   bool
	cut    bool
	left   bool
	leave  func()
	told   atomic.Bool // the end was given to whoever pulls
}

func newStream(clock base.Clock, leave func()) *Stream {
	return &Stream{bell: base.NewBell(clock), leave: leave}
}

func (s *Stream) change(step func()) {
	s.mu.Lock()
	step()
	s.mu.Unlock()
	s.bell.Ring()
}

func (s *Stream) open(head *Head)      { s.change(func() { s.head = head }) }
func (s *Stream) put(pieces ...[]byte) { s.change(func() { s.pieces = append(s.pieces, pieces...) }) }
func (s *Stream) finish()              { s.change(func() { s.done = true }) }
func (s *Stream) fail(v *base.Verdict) {
	s.change(func() {
		if s.head == nil {
			s.failed = v
		}
		s.cut = s.head != nil
		s.done = true
	})
}

// Abandon says that nobody reads any more.
func (s *Stream) Abandon() {
	s.mu.Lock()
	first := !s.left && !s.done
	s.left = true
	s.mu.Unlock()
	if first && s.leave != nil {
		s.leave()
	}
}

func (s *Stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// Head waits for the answer's head, or the verdict that there is none.
func (s *Stream) Head(limit time.Duration, clock base.Clock) (*Head, error) {
	end := clock.Now() + limit
	for {
		next := s.bell.Next()
		s.mu.Lock()
		head, failed := s.head, s.failed
		s.mu.Unlock()
		switch {
		case failed != nil:
			return nil, failed
		case head != nil:
			return head, nil
		}
		if !next.Wait(max(0, end-clock.Now())) {
			s.Abandon()
			return nil, base.Unsure(504, "timed_out", "no answer came in time")
		}
	}
}

// PiecesFrom gives the pieces from a place on, waiting for news up to limit.
func (s *Stream) PiecesFrom(place int, limit time.Duration, clock base.Clock) (pieces [][]byte, done, cut bool) {
	end := clock.Now() + limit
	for {
		next := s.bell.Next()
		s.mu.Lock()
		if place < len(s.pieces) || s.done {
			pieces = s.pieces[min(place, len(s.pieces)):]
			done, cut = s.done, s.cut
			s.mu.Unlock()
			return pieces, done, cut
		}
		s.mu.Unlock()
		if !next.Wait(max(0, end-clock.Now())) {
			return nil, false, false
		}
	}
}

// WaitUntil waits until the stream has come to a place or its end, or limit passed.
func (s *Stream) WaitUntil(place int, limit time.Duration, clock base.Clock) {
	for end := clock.Now() + limit; ; {
		next := s.bell.Next()
		s.mu.Lock()
		there := len(s.pieces) >= place || s.done
		s.mu.Unlock()
		if there || !next.Wait(max(0, end-clock.Now())) {
			return
		}
	}
}

// Reader is a stream's body for a server: a read returns what has come, and
// an answer that was cut ends with an error, so that it never looks whole.
type Reader struct {
	stream *Stream
	clock  base.Clock
	until  time.Duration
	place  int
	rest   []byte
}

// NewReader reads a stream for at most the limit in all.
func NewReader(stream *Stream, clock base.Clock, limit time.Duration) *Reader {
	return &Reader{stream: stream, clock: clock, until: clock.Now() + limit}
}

// Read gives what has come. It fails when the stream was cut, or when the time
// is over before its end.

func (r *Reader) Read(into []byte) (int, error) {
	for len(r.rest) == 0 {
		pieces, done, cut := r.stream.PiecesFrom(r.place, max(0, r.until-r.clock.Now()), r.clock)
		switch {
		case len(pieces) > 0:
			for _, piece := range pieces {
				r.rest = append(r.rest, piece...)
			}
			r.place += len(pieces)
		case done && !cut:
			return 0, io.EOF
		default:
			return 0, io.ErrUnexpectedEOF
		}
	}
	n := copy(into, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Close ends the reading; what is not over by then is given up.
func (r *Reader) Close() error {
	r.stream.Abandon()
	return nil
}
