package line

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
)

// Head is the status and headers of a response.
type Head struct {
	Status  int
	Headers []relay.Header
}

// Stream is the response to one turn while it arrives: a head, pieces that are passed
// on unchanged, and an end. The session's owner writes it and one client reads it, and
// only what the client has not read yet is held. It is complete only when the owner says
// so. A reader that closes early cancels the turn.
type Stream struct {
	mu           sync.Mutex
	changed      *base.Notifier
	head         *Head
	failure      *base.RequestError
	window       window
	writerWaits  bool // for the reader to take pieces
	interrupted  bool // the writer need not wait for the reader any more
	done         bool
	cut          bool
	abandoned    bool
	onAbandon    func()
	onEnd        []func()
	endDelivered atomic.Bool // the end was sent to the gateway that pulls
}

// newStream returns a stream that holds nothing yet; what its reader has not read counts to the
// memory.
func newStream(clock base.Clock, budget *memory.Budget, onAbandon func()) *Stream {
	return &Stream{changed: base.NewNotifier(clock), onAbandon: onAbandon, window: window{lease: budget.NewAnswerLease()}}
}

func (s *Stream) update(change func()) {
	s.mu.Lock()
	change()
	s.mu.Unlock()
	s.changed.Notify()
}

func (s *Stream) setHead(head *Head) { s.update(func() { s.head = head }) }
func (s *Stream) finish()            { s.end(func() {}) }

// errNoReader means that a stream's reader has not taken its pieces in time, or has gone.
var errNoReader = base.Indeterminate(502, "cut", "the reader of the answer did not take it in time")

// add adds a piece once the reader has taken enough of those before. It returns an error if that
// does not happen in the time of ctx, or too little memory is free.
func (s *Stream) add(ctx *base.Ctx, piece []byte) error {
	shortfall, err := s.awaitRoom(ctx, len(piece))
	if err != nil {
		return err
	}
	if shortfall > 0 {
		if err := s.window.lease.GrowWithin(shortfall, waitForMemory(ctx)); err != nil {
			return err
		}
	}
	s.update(func() {
		s.window.held += shortfall
		s.window.add(piece)
	})
	return nil
}

// awaitRoom waits until a piece may be added, and returns how much memory it needs.
func (s *Stream) awaitRoom(ctx *base.Ctx, size int) (int, error) {
	for {
		next := s.changed.Next()
		s.mu.Lock()
		hasRoom, gone, shortfall := s.window.hasRoom(size), s.interrupted || s.abandoned, s.window.shortfall(size)
		s.writerWaits = !hasRoom
		s.mu.Unlock()
		switch {
		case gone:
			return 0, errNoReader
		case hasRoom:
			return shortfall, nil
		}
		if !next.Wait(ctx.Remaining()) {
			return 0, errNoReader
		}
	}
}

// addWhole adds a whole body, which the lease counts.
func (s *Stream) addWhole(body []byte, lease *memory.Lease) {
	s.update(func() {
		s.window.lease.Close()
		s.window.lease = lease
		s.window.add(body)
	})
}

// interrupt ends the writer's wait for the reader.
func (s *Stream) interrupt() { s.update(func() { s.interrupted = true }) }

// takeAll records that the reader has taken all pieces.
func (s *Stream) takeAll() {
	s.mu.Lock()
	s.window.take(s.window.end())
	s.mu.Unlock()
}

// release gives up what the reader has not taken.
func (s *Stream) release() {
	s.mu.Lock()
	s.window.drop()
	s.mu.Unlock()
}

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
	s.window.drop()
	s.mu.Unlock()
	s.changed.Notify()
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

// PiecesFrom returns the pieces from a position on, waiting up to limit for the first. Those
// before it count as read, and are given up.
func (s *Stream) PiecesFrom(position int, limit time.Duration, clock base.Clock) (pieces [][]byte, done, cut bool) {
	end := clock.Now() + limit
	for {
		next := s.changed.Next()
		s.mu.Lock()
		missed := position < s.window.first
		wakeWriter := s.window.take(position) && s.writerWaits
		if position < s.window.end() || s.done || missed {
			pieces = slices.Clone(s.window.from(position))
			done, cut = s.done || missed, s.cut || missed
		}
		s.mu.Unlock()
		if wakeWriter {
			s.changed.Notify()
		}
		if len(pieces) > 0 || done {
			return pieces, done, cut
		}
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
		reached := s.window.end() >= position || s.done || s.writerWaits
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
