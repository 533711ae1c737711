// How a call travels between gateways, and how an answer is pulled.

package line

import (
	"context"
	"io"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
)

func isEnd(err error) bool { return err == io.EOF }

func packCall(call *relay.Call, ctx *base.Ctx) *Call {
	packed := &Call{Id: call.ID, Host: call.Host, Method: call.Method, Target: call.Target, Body: call.Body, DeadlineMs: ctx.Left().Milliseconds(),
		Model: call.Model, Prompt: int64(call.PromptTokens), Most: int64(call.MaxOutputTokens), Program: call.Program, Session: call.Session,
		FinishMs: call.Finish.Milliseconds(), Budget: call.TokenBudget, HasBudget: call.HasTokenBudget, Previous: call.PreviousTurn, Headers: packHeaders(call.Headers)}
	for _, part := range call.PromptParts {
		packed.Parts = append(packed.Parts, &Part{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	return packed
}

func unpackCall(packed *Call) *relay.Call {
	if packed == nil {
		return &relay.Call{}
	}
	call := &relay.Call{ID: packed.Id, Host: packed.Host, Method: packed.Method, Target: packed.Target, Body: packed.Body, Deadline: time.Duration(packed.DeadlineMs) * time.Millisecond,
		Model: packed.Model, PromptTokens: int(packed.Prompt), MaxOutputTokens: int(packed.Most), Program: packed.Program, Session: packed.Session,
		Finish: time.Duration(packed.FinishMs) * time.Millisecond, TokenBudget: packed.Budget, HasTokenBudget: packed.HasBudget, PreviousTurn: packed.Previous, Headers: unpackHeaders(packed.Headers)}
	for _, part := range packed.Parts {
		call.PromptParts = append(call.PromptParts, relay.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	return call
}

func packHeaders(headers []relay.Header) []*Header {
	return base.Map(headers, func(h relay.Header) *Header { return &Header{Name: h.Name, Value: h.Value} })
}

func unpackHeaders(headers []*Header) []relay.Header {
	return base.Map(headers, func(h *Header) relay.Header { return relay.Header{Name: h.Name, Value: h.Value} })
}

// follow keeps a forwarded turn's stream where pulls find it; the caller
// holds the lock.
func (k *Manager) followed(call *relay.Call, stream *Stream) {
	if k.streams == nil {
		k.streams = map[string]*Stream{}
	}
	id := streamID(call)
	k.streams[id] = stream
	k.Clock.Go(func() {
		k.Clock.Sleep(call.Deadline + k.Bounds.Load().Recover/4)
		k.mu.Lock()
		delete(k.streams, id)
		k.mu.Unlock()
	})
}

// streamID is what a forwarded turn's stream goes by.
func streamID(call *relay.Call) string { return lineOf(call) + " " + call.ID }

// forwarded is the stream of a turn that was forwarded here before, or nil: a
// message that comes once more runs nothing.
func (k *Manager) forwarded(call *relay.Call) *Stream {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.streams[streamID(call)]
}

// owing counts the forwarded turns whose end has not been pulled.
func (k *Manager) owing() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	count := 0
	for _, stream := range k.streams {
		if !stream.told.Load() && !stream.abandoned() {
			count++
		}
	}
	return count
}

// Pull gives a forwarded turn's answer from a place on.
func (k *Manager) Pull(plain context.Context, request *PullRequest) (*PullReply, error) {
	k.mu.Lock()
	stream := k.streams[request.Program+" "+request.Session+" "+request.Turn]
	k.mu.Unlock()
	if stream == nil {
		return nil, base.ToWire(base.Unsure(502, "owner_lost", "this node does not have the answer"))
	}
	if request.Leave {
		stream.Abandon()
		return &PullReply{Done: true, Cut: true}, nil
	}
	hold := time.Duration(request.HoldMs) * time.Millisecond
	if request.Place > 0 {
		// After the first event a few that come together go together.
		stream.WaitUntil(int(request.Place)+gatherMost, min(hold, k.Bounds.Load().Recover/400), k.Clock)
	}
	return k.news(base.CtxOf(plain, k.Clock), stream, int(request.Place), hold)
}

// gatherMost is how many events a pull waits for, for a short while.
const gatherMost = 16

// news is what a stream has from a place on, after at most hold.
func (k *Manager) news(ctx *base.Ctx, stream *Stream, place int, hold time.Duration) (*PullReply, error) {
	pieces, done, cut := stream.PiecesFrom(place, min(hold, ctx.Left()/2), k.Clock)
	stream.mu.Lock()
	head, failed := stream.head, stream.failed
	stream.mu.Unlock()
	if failed != nil {
		stream.told.Store(true)
		return nil, base.ToWire(failed)
	}
	if done {
		stream.told.Store(true)
	}
	reply := &PullReply{Pieces: pieces, Place: uint64(place), Done: done, Cut: cut}
	if head != nil && place == 0 {
		reply.Status, reply.Headers = int64(head.Status), packHeaders(head.Headers)
	}
	return reply, nil
}
