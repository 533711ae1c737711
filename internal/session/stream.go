package session

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Final is the content of the last piece of every stream.
type Final struct {
	Outcome      string             `json:"verdict"`
	Ran          base.Execution     `json:"request"`
	Turn         string             `json:"turn"`
	Run          string             `json:"run,omitempty"`
	FinishReason string             `json:"finish_reason,omitempty"`
	OutputTokens int64              `json:"output_tokens,omitempty"`
	Error        *base.RequestError `json:"error,omitempty"`
}

// failureFinal returns the last piece of a turn that did not succeed.
func failureFinal(turn string, requestErr *base.RequestError) *Final {
	outcome := "failed"
	switch {
	case requestErr.Execution == base.NotRun:
		outcome = "refused"
	case requestErr.Code == "cancelled" || requestErr.Code == "timed_out":
		outcome = requestErr.Code
	case requestErr.Code == "cut":
		outcome = "cut"
	}
	return &Final{Outcome: outcome, Ran: requestErr.Execution, Turn: turn, Error: requestErr}
}

// Stream holds the numbered pieces of one turn's answer. The owner keeps it, and
// readers pull from a position on; a pull that finds nothing waits for the next
// piece. All pieces are of one attempt: a stream may change to another attempt only
// while it is empty. It ends in exactly one final piece.
type Stream struct {
	changed      *base.Notifier
	mu           sync.Mutex
	attempt      string
	pieces       []*Piece
	pulledAt     time.Duration
	ownerChanged bool
	delivered    uint64
}

func newStream(clock base.Clock) *Stream { return &Stream{changed: base.NewNotifier(clock)} }

// begin sets the attempt whose pieces follow. It returns false when there are pieces of
// another attempt.
func (s *Stream) begin(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pieces) > 0 || s.ownerChanged {
		return false
	}
	s.attempt = attempt
	return true
}

// add appends a piece unless the stream has ended.
func (s *Stream) add(data []byte, final bool) {
	s.mu.Lock()
	if count := len(s.pieces); !s.ownerChanged && (count == 0 || !s.pieces[count-1].Final) {
		s.pieces = append(s.pieces, &Piece{Place: uint64(count + 1), Data: data, Final: final})
	}
	s.mu.Unlock()
	s.changed.Notify()
}

func (s *Stream) finish(final *Final) { s.add(base.MustMarshal(final), true) }

// endMoved ends a stream whose Run this node lost. The turn of an empty stream may be
// found again with the next owner; a stream with pieces is cut.
func (s *Stream) endMoved(turn string) {
	s.mu.Lock()
	empty := len(s.pieces) == 0
	s.ownerChanged = s.ownerChanged || empty
	s.mu.Unlock()
	if empty {
		s.changed.Notify()
		return
	}
	s.finish(failureFinal(turn, base.Indeterminate(502, "cut", "the session moved to another owner before the answer was complete")))
}

func (s *Stream) hasMoved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerChanged
}

func (s *Stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerChanged || (len(s.pieces) > 0 && s.pieces[len(s.pieces)-1].Final)
}

func (s *Stream) pieceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pieces)
}

func (s *Stream) attemptID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempt
}

// maxPulledBytes bounds the pieces that are sent to a reader at once, but for a single larger one.
const maxPulledBytes = 256 << 10

// atMost returns the first of the pieces, at least one, which have so many bytes together.
func atMost(pieces []*Piece, bytes int) []*Piece {
	for i, piece := range pieces {
		if bytes -= len(piece.Data); bytes < 0 && i > 0 {
			return pieces[:i]
		}
	}
	return pieces
}

// piecesAfter returns pieces after a position, waiting up to wait for the first.
func (s *Stream) piecesAfter(position uint64, wait time.Duration, now func() time.Duration) []*Piece {
	end := now() + wait
	for {
		next := s.changed.Next()
		s.mu.Lock()
		s.pulledAt = now()
		if position < uint64(len(s.pieces)) {
			pieces := slices.Clone(atMost(s.pieces[position:], maxPulledBytes))
			s.delivered = max(s.delivered, position+uint64(len(pieces)))
			s.mu.Unlock()
			return pieces
		}
		ownerChanged := s.ownerChanged
		s.mu.Unlock()
		if ownerChanged || !next.Wait(max(0, end-now())) {
			return nil
		}
	}
}

// hasUnpulled reports whether a reader that has pulled since then has not received all
// pieces.
func (s *Stream) hasUnpulled(pulledSince time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pulledAt >= pulledSince && s.delivered < uint64(len(s.pieces))
}

func (s *Stream) lastPulled() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pulledAt
}

// replayStream returns a finished stream of a turn that was answered before.
func replayStream(clock base.Clock, turn *Turn, run string) *Stream {
	s := newStream(clock)
	s.begin(turn.Attempt)
	for _, text := range turn.Pieces {
		s.add([]byte(text), false)
	}
	s.finish(&Final{Outcome: "success", Ran: base.DidRun, Turn: turn.ID, Run: run, FinishReason: turn.FinishReason, OutputTokens: turn.OutputTokens})
	return s
}

// Reader reads a stream's pieces in order, from this node or from the owner's.
type Reader struct {
	manager   *Manager
	turn      string
	attempt   string
	position  uint64
	delivered uint64
	local     *Stream
	remote    *remoteStream
	// reopen finds the stream again after its owner was lost; search is the attempt
	// under way.
	reopen   func() (*Reader, error)
	search   *streamSearch
	done     bool
	buffered []*Piece
}

// streamSearch is the search for a stream with the session's next owner.
type streamSearch struct {
	ended  base.Signal
	reader *Reader
	err    error
}

// remoteStream names a stream on the session's owner.
type remoteStream struct {
	id    string
	run   string
	owner string
}

// EarlyFailure waits up to limit for the first pieces and returns the error of a turn
// that ended without success before any piece, so that it can be answered with a
// plain status, or else nil. Next returns the pieces that were read here first.
func (r *Reader) EarlyFailure(limit time.Duration) *base.RequestError {
	end := r.manager.clock.Now() + limit
	for len(r.buffered) == 0 && !r.done && r.manager.clock.Now() < end {
		r.buffered, _, _ = r.Next()
	}
	if len(r.buffered) != 1 || !r.buffered[0].Final || r.buffered[0].Place != 1 {
		return nil
	}
	var final Final
	if json.Unmarshal(r.buffered[0].Data, &final) != nil {
		return nil
	}
	return final.Error
}

// Next returns the pieces that came since the last call, or none when none came within
// the pull interval. After the final piece, done is true.
func (r *Reader) Next() (pieces []*Piece, attempt string, done bool) {
	if len(r.buffered) > 0 {
		buffered := r.buffered
		r.buffered = nil
		return buffered, r.attempt, r.done
	}
	if r.done {
		return nil, r.attempt, true
	}
	pulled, err := r.pull()
	if err != nil && r.delivered == 0 && r.reopen != nil {
		err = r.reopenStream(err)
	}
	if err == nil && len(pulled) == 0 && r.manager.stopping.Fired() {
		err = base.Indeterminate(502, "node_stopping", "this node is stopping")
	}
	if err != nil {
		// The turn was accepted, so this node cannot know that it did not run.
		requestErr := base.Indeterminate(502, "cut", "the session's owner was lost before the answer was complete: %s", base.ToRequestError(err).Message)
		r.done = true
		return []*Piece{{Place: r.position + 1, Data: base.MustMarshal(failureFinal(r.turn, requestErr)), Final: true}}, r.attempt, true
	}
	for _, piece := range pulled {
		r.position = piece.Place
		r.delivered++
		r.done = r.done || piece.Final
	}
	return pulled, r.attempt, r.done
}

// reopenStream looks for the stream with the session's next owner and continues there.
// It returns nil when the stream was found or the search is still under way.
func (r *Reader) reopenStream(cause error) error {
	clock := r.manager.clock
	if r.search == nil {
		search := &streamSearch{ended: clock.NewSignal()}
		r.search = search
		clock.Go(func() {
			search.reader, search.err = r.reopen()
			search.ended.Fire()
		})
	}
	if !r.search.ended.Wait(r.manager.bounds.Load().PullWait()) {
		return nil
	}
	next, err := r.search.reader, r.search.err
	r.search = nil
	switch {
	case err != nil:
		return err
	case next == nil:
		return cause
	}
	r.local, r.remote, r.attempt, r.position = next.local, next.remote, next.attempt, next.position
	return nil
}

// pull waits up to the pull interval for new pieces.
func (r *Reader) pull() ([]*Piece, error) {
	if r.search != nil {
		return nil, staleAssignment()
	}
	wait := r.manager.bounds.Load().PullWait()
	if r.local != nil {
		pieces := r.local.piecesAfter(r.position, wait, r.manager.clock.Now)
		r.attempt = r.local.attemptID()
		if r.local.hasMoved() {
			return nil, staleAssignment()
		}
		return pieces, nil
	}
	return r.manager.pullRemote(r.remote, r)
}

// pullRemote pulls pieces from the owner. After a lost reply the next call pulls from
// the same position again, as long as the owner counts as alive.
func (m *Manager) pullRemote(remote *remoteStream, reader *Reader) ([]*Piece, error) {
	wait := m.bounds.Load().PullWait()
	member, alive := m.view.Find(remote.owner)
	if member == nil || !alive {
		return nil, base.Indeterminate(502, "owner_lost", "the session's owner is not known to be alive")
	}
	ctx := base.NewCtx(m.clock, 2*wait)
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.httpClient).Pull(ctx,
		&PullRequest{Stream: remote.id, Place: reader.position, HoldMs: wait.Milliseconds(), Run: remote.run})
	if err != nil {
		requestErr := base.ToRequestError(err)
		if requestErr.Code == "reply_lost" {
			return nil, nil
		}
		if requestErr.Code == "unreachable" {
			m.view.Suspect(remote.owner)
		}
		return nil, base.Indeterminate(502, "owner_lost", "%s", requestErr.Message)
	}
	if reply.Leg != "" {
		reader.attempt = reply.Leg
	}
	return reply.Pieces, nil
}

// Pull serves pieces of a stream to the gateway that forwarded the turn here.
func (m *Manager) Pull(_ context.Context, request *PullRequest) (*PullReply, error) {
	m.mu.Lock()
	stream := m.forwardedStreams[request.Stream]
	m.mu.Unlock()
	if stream == nil {
		return nil, base.ToTwirpError(base.Indeterminate(410, "stream_gone", "this node no longer has the stream"))
	}
	pieces := stream.piecesAfter(request.Place, time.Duration(request.HoldMs)*time.Millisecond, m.clock.Now)
	if stream.hasMoved() {
		return nil, base.ToTwirpError(staleAssignment())
	}
	return &PullReply{Pieces: pieces, Leg: stream.attemptID()}, nil
}
