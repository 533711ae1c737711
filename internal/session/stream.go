// A stream is a turn's numbered pieces, kept by the owner and pulled by
// place; a pull that finds none is held until there is one. All pieces of a
// stream are of one leg: a stream may change legs only while it has none,
// and it ends in exactly one final piece.

package session

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Final is what the last piece of every stream says.
type Final struct {
	Outcome      string        `json:"verdict"`
	Ran          base.Ran      `json:"request"`
	Turn         string        `json:"turn"`
	Run          string        `json:"run,omitempty"`
	FinishReason string        `json:"finish_reason,omitempty"`
	OutputTokens int64         `json:"output_tokens,omitempty"`
	Error        *base.Verdict `json:"error,omitempty"`
}

func finalOf(turn string, v *base.Verdict) *Final {
	word := "failed"
	switch {
	case v.Ran == base.NotRun:
		word = "refused"
	case v.Code == "cancelled" || v.Code == "timed_out":
		word = v.Code
	case v.Code == "cut":
		word = "cut"
	}
	return &Final{Outcome: word, Ran: v.Ran, Turn: turn, Error: v}
}

// Stream holds one turn's pieces.
type Stream struct {
	bell   *base.Bell
	mu     sync.Mutex
	leg    string
	pieces []*Piece
	pulled time.Duration
	moved  bool
	given  uint64
}

func newStream(clock base.Clock) *Stream { return &Stream{bell: base.NewBell(clock)} }

// begin names the leg whose pieces follow; false when another leg's stand.
func (s *Stream) begin(leg string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pieces) > 0 || s.moved {
		return false
	}
	s.leg = leg
	return true
}

func (s *Stream) put(data []byte, final bool) {
	s.mu.Lock()
	if last := len(s.pieces); !s.moved && (last == 0 || !s.pieces[last-1].Final) {
		s.pieces = append(s.pieces, &Piece{Place: uint64(last + 1), Data: data, Final: final})
	}
	s.mu.Unlock()
	s.bell.Ring()
}

func (s *Stream) finish(final *Final) { s.put(base.Encode(final), true) }

// moveAway ends a stream whose Run was lost here: one without pieces may be
// found anew with the next owner, one with pieces is cut.
func (s *Stream) moveAway(turn string) {
	s.mu.Lock()
	empty := len(s.pieces) == 0
	s.moved = s.moved || empty
	s.mu.Unlock()
	if empty {
		s.bell.Ring()
		return
	}
	s.finish(finalOf(turn, base.Unsure(502, "cut", "the session moved to another owner before the answer was whole")))
}

func (s *Stream) isMoved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved
}

func (s *Stream) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved || (len(s.pieces) > 0 && s.pieces[len(s.pieces)-1].Final)
}

func (s *Stream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pieces)
}

func (s *Stream) legID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leg
}

// from waits up to hold for pieces after a place.
func (s *Stream) from(place uint64, hold time.Duration, now func() time.Duration) []*Piece {
	end := now() + hold
	for {
		next := s.bell.Next()
		s.mu.Lock()
		s.pulled = now()
		if place < uint64(len(s.pieces)) {
			found := append([]*Piece(nil), s.pieces[place:]...)
			s.given = max(s.given, uint64(len(s.pieces)))
			s.mu.Unlock()
			return found
		}
		moved := s.moved
		s.mu.Unlock()
		if moved || !next.Wait(max(0, end-now())) {
			return nil
		}
	}
}

// owed tells whether a partner that pulled lately has yet to get the end.
func (s *Stream) owed(since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pulled >= since && s.given < uint64(len(s.pieces))
}

func (s *Stream) lastPulled() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pulled
}

func replayStream(clock base.Clock, turn *Turn, run string) *Stream {
	s := newStream(clock)
	s.begin(turn.Attempt)
	for _, text := range turn.Pieces {
		s.put([]byte(text), false)
	}
	s.finish(&Final{Outcome: "success", Ran: base.DidRun, Turn: turn.ID, Run: run, FinishReason: turn.FinishReason, OutputTokens: turn.OutputTokens})
	return s
}

// Reader gives a stream's pieces in order, wherever the owner is.
type Reader struct {
	keeper *Manager
	turn   string
	leg    string
	place  uint64
	given  uint64
	local  *Stream
	remote *remoteStream
	// again finds the stream anew after its owner was lost; search is that under way.
	again  func() (*Reader, error)
	search *search
	done   bool
	ahead  []*Piece
}

// search looks for a stream with its next owner.
type search struct {
	over  base.Signal
	found *Reader
	err   error
}

type remoteStream struct {
	stream string
	run    string
	owner  string
}

// EarlyFailure waits up to a limit for the stream's first event. A turn that ends
// without success before any piece can be answered with a plain status; what
// was read ahead otherwise comes first out of Next.
func (r *Reader) EarlyFailure(limit time.Duration) *base.Verdict {
	end := r.keeper.clock.Now() + limit
	for len(r.ahead) == 0 && !r.done && r.keeper.clock.Now() < end {
		r.ahead, _, _ = r.Next()
	}
	if len(r.ahead) != 1 || !r.ahead[0].Final || r.ahead[0].Place != 1 {
		return nil
	}
	var final Final
	if json.Unmarshal(r.ahead[0].Data, &final) != nil {
		return nil
	}
	return final.Error
}

// Next gives the pieces that came since, or none after a hold. After the
// final piece, done is true.
func (r *Reader) Next() (pieces []*Piece, leg string, done bool) {
	if len(r.ahead) > 0 {
		ahead := r.ahead
		r.ahead = nil
		return ahead, r.leg, r.done
	}
	if r.done {
		return nil, r.leg, true
	}
	found, err := r.pull()
	if err != nil && r.given == 0 && r.again != nil {
		err = r.findAgain(err)
	}
	if err == nil && len(found) == 0 && r.keeper.stopping.Fired() {
		err = base.Unsure(502, "node_stopping", "this node is stopping")
	}
	if err != nil {
		// The turn was accepted once, so this node cannot know that it did not run.
		v := base.Unsure(502, "cut", "the session's owner was lost before the answer was whole: %s", base.FromWire(err).Message)
		r.done = true
		return []*Piece{{Place: r.place + 1, Data: base.Encode(finalOf(r.turn, v)), Final: true}}, r.leg, true
	}
	for _, piece := range found {
		r.place = piece.Place
		r.given++
		r.done = r.done || piece.Final
	}
	return found, r.leg, r.done
}

// findAgain looks for the stream with its next owner and reads on there; nil
// means that it was found, or that the search goes on.
func (r *Reader) findAgain(lost error) error {
	clock := r.keeper.clock
	if r.search == nil {
		looking := &search{over: clock.NewSignal()}
		r.search = looking
		clock.Go(func() {
			looking.found, looking.err = r.again()
			looking.over.Fire()
		})
	}
	if !r.search.over.Wait(r.keeper.bounds.Load().Pull()) {
		return nil
	}
	next, failed := r.search.found, r.search.err
	r.search = nil
	switch {
	case failed != nil:
		return failed
	case next == nil:
		return lost
	}
	r.local, r.remote, r.leg, r.place = next.local, next.remote, next.leg, next.place
	return nil
}

func (r *Reader) pull() ([]*Piece, error) {
	if r.search != nil {
		return nil, staleRun()
	}
	hold := r.keeper.bounds.Load().Pull()
	if r.local != nil {
		found := r.local.from(r.place, hold, r.keeper.clock.Now)
		r.leg = r.local.legID()
		if r.local.isMoved() {
			return nil, staleRun()
		}
		return found, nil
	}
	return r.keeper.pullRemote(r.remote, r)
}

// pullRemote asks the owner for pieces; a lost reply is asked again by place
// while the owner is not suspected.
func (k *Manager) pullRemote(from *remoteStream, r *Reader) ([]*Piece, error) {
	hold := k.bounds.Load().Pull()
	member, alive := k.view.Find(from.owner)
	if member == nil || !alive {
		return nil, base.Unsure(502, "owner_lost", "the owner is gone")
	}
	ctx := base.NewCtx(k.clock, 2*hold)
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Pull(ctx,
		&PullRequest{Stream: from.stream, Place: r.place, HoldMs: hold.Milliseconds(), Run: from.run})
	if err != nil {
		v := base.FromWire(err)
		if v.Code == "reply_lost" {
			return nil, nil
		}
		if v.Code == "unreachable" {
			k.view.Suspect(from.owner)
		}
		return nil, base.Unsure(502, "owner_lost", "%s", v.Message)
	}
	if reply.Leg != "" {
		r.leg = reply.Leg
	}
	return reply.Pieces, nil
}

// Pull answers a node that carries a stream to its caller.
func (k *Manager) Pull(_ context.Context, request *PullRequest) (*PullReply, error) {
	k.mu.Lock()
	found := k.streams[request.Stream]
	k.mu.Unlock()
	if found == nil {
		return nil, base.ToWire(base.Unsure(410, "stream_gone", "the stream is no longer held here"))
	}
	pieces := found.from(request.Place, time.Duration(request.HoldMs)*time.Millisecond, k.clock.Now)
	if found.isMoved() {
		return nil, base.ToWire(staleRun())
	}
	return &PullReply{Pieces: pieces, Leg: found.legID()}, nil
}
