package line

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
)

// Head is the status and headers of a response.
type Head struct {
	Status  int
	Headers []relay.Header
}

// Stream is the response to one turn while it arrives: a head, pieces that are passed
// on unchanged, and an end. The session's owner writes it and one client reads it. It
// is complete only when the owner says so. A reader that closes early cancels the turn.
type Stream struct {
	mu           sync.Mutex
	changed      *base.Notifier
	head         *Head
	failure      *base.RequestError
	pieces       [][]byte
	done         bool
	cut          bool
	abandoned    bool
	onAbandon    func()
	onEnd        []func()
	endDelivered atomic.Bool // the end was sent to the gateway that pulls
}

func newStream(clock base.Clock, onAbandon func()) *Stream {
	return &Stream{changed: base.NewNotifier(clock), onAbandon: onAbandon}
}

func (s *Stream) update(change func()) {
	s.mu.Lock()
	change()
	s.mu.Unlock()
	s.changed.Notify()
}

func (s *Stream) setHead(head *Head)   { s.update(func() { s.head = head }) }
func (s *Stream) add(pieces ...[]byte) { s.update(func() { s.pieces = append(s.pieces, pieces...) }) }
func (s *Stream) finish()              { s.end(func() {}) }

// end ends the stream after a last change. The turn, which the functions refer to that nobody
// will call any more, need not stay in memory for as long as a client reads.
func (s *Stream) end(change func()) {
	var onEnd []func()
	s.update(func() {
		change()
		s.done = true
		onEnd, s.onEnd, s.onAbandon = s.onEnd, nil, nil
	})
	for _, call := range onEnd {
		call()
	}
}

// OnEnd calls a function once the stream has ended.
func (s *Stream) OnEnd(call func()) {
	s.mu.Lock()
	ended := s.done
	if !ended {
		s.onEnd = append(s.onEnd, call)
	}
	s.mu.Unlock()
	if ended {
		call()
	}
}

// fail ends the stream without success: with an error when no head was set, or else as
// cut.
func (s *Stream) fail(requestErr *base.RequestError) {
	s.end(func() {
		if s.head == nil {
			s.failure = requestErr
		}
		s.cut = s.head != nil
	})
}

// Abandon signals that nobody reads the stream any more; a turn that is not done is
// cancelled.
func (s *Stream) Abandon() {
	s.mu.Lock()
	first, onAbandon := !s.abandoned && !s.done, s.onAbandon
	s.abandoned = true
	s.mu.Unlock()
	if first && onAbandon != nil {
		onAbandon()
	}
}

func (s *Stream) isAbandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// Head waits for the response's head, or returns the error when there is none.
func (s *Stream) Head(limit time.Duration, clock base.Clock) (*Head, error) {
	end := clock.Now() + limit
	for {
		next := s.changed.Next()
		s.mu.Lock()
		head, failed := s.head, s.failure
		s.mu.Unlock()
		switch {
		case failed != nil:
			return nil, failed
		case head != nil:
			return head, nil
		}
		if !next.Wait(max(0, end-clock.Now())) {
			s.Abandon()
			return nil, base.Indeterminate(504, "timed_out", "no answer arrived in time")
		}
	}
}

// PiecesFrom returns the pieces from a position on, waiting up to limit for the first.
func (s *Stream) PiecesFrom(position int, limit time.Duration, clock base.Clock) (pieces [][]byte, done, cut bool) {
	end := clock.Now() + limit
	for {
		next := s.changed.Next()
		s.mu.Lock()
		if position < len(s.pieces) || s.done {
			pieces = s.pieces[min(position, len(s.pieces)):]
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

// WaitUntil waits until the stream has reached a position or its end, or limit passed.
func (s *Stream) WaitUntil(position int, limit time.Duration, clock base.Clock) {
	for end := clock.Now() + limit; ; {
		next := s.changed.Next()
		s.mu.Lock()
		reached := len(s.pieces) >= position || s.done
		s.mu.Unlock()
		if reached || !next.Wait(max(0, end-clock.Now())) {
			return
		}
	}
}

// Reader reads a stream as a response body. A read returns what has arrived. A stream
// that was cut ends with an error, so that it never looks complete.
type Reader struct {
	stream   *Stream
	clock    base.Clock
	deadline time.Duration
	position int
	unread   []byte
}

// NewReader returns a reader of a stream that fails after limit.
func NewReader(stream *Stream, clock base.Clock, limit time.Duration) *Reader {
	return &Reader{stream: stream, clock: clock, deadline: clock.Now() + limit}
}

// Read returns what has arrived. It fails when the stream was cut or the time limit
// passed before its end.
func (r *Reader) Read(buffer []byte) (int, error) {
	for len(r.unread) == 0 {
		pieces, done, cut := r.stream.PiecesFrom(r.position, max(0, r.deadline-r.clock.Now()), r.clock)
		switch {
		case len(pieces) > 0:
			for _, piece := range pieces {
				r.unread = append(r.unread, piece...)
			}
			r.position += len(pieces)
		case done && !cut:
			return 0, io.EOF
		default:
			return 0, io.ErrUnexpectedEOF
		}
	}
	n := copy(buffer, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// OnEnd calls a function once the stream has ended, which may be before it was read.
func (r *Reader) OnEnd(call func()) { r.stream.OnEnd(call) }

// Close abandons the stream, which cancels a turn that is not done.
func (r *Reader) Close() error {
	r.stream.Abandon()
	return nil
}
