// How a call travels between gateways, and how an answer is pulled.

package line

import (
	"context"
	"io"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
)

func isCleanEnd(err error) bool { return err == io.EOF }

func callToProto(call *relay.Call, ctx *base.Ctx) *Call {
	packed := &Call{Id: call.ID, Host: call.Host, Method: call.Method, Target: call.Target, Body: call.Body, DeadlineMs: ctx.Left().Milliseconds(),
		Model: call.Model, Prompt: int64(call.Prompt), Most: int64(call.Most), Program: call.Program, Session: call.Session,
		FinishMs: call.Finish.Milliseconds(), Budget: call.Budget, HasBudget: call.HasBudget, Previous: call.Previous, Headers: headersToProto(call.Headers)}
	for _, part := range call.Parts {
		packed.Parts = append(packed.Parts, &Part{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	return packed
}

func callFromProto(packed *Call) *relay.Call {
	if packed == nil {
		return &relay.Call{}
	}
	call := &relay.Call{ID: packed.Id, Host: packed.Host, Method: packed.Method, Target: packed.Target, Body: packed.Body, Deadline: time.Duration(packed.DeadlineMs) * time.Millisecond,
		Model: packed.Model, Prompt: int(packed.Prompt), Most: int(packed.Most), Program: packed.Program, Session: packed.Session,
		Finish: time.Duration(packed.FinishMs) * time.Millisecond, Budget: packed.Budget, HasBudget: packed.HasBudget, Previous: packed.Previous, Headers: headersFromProto(packed.Headers)}
	for _, part := range packed.Parts {
		call.Parts = append(call.Parts, relay.Part{ID: part.Id, Tokens: int(part.Tokens)})
	}
	return call
}

func headersToProto(headers []relay.Header) []*Header {
	return base.Map(headers, func(h relay.Header) *Header { return &Header{Name: h.Name, Value: h.Value} })
}

func headersFromProto(headers []*Header) []relay.Header {
	return base.Map(headers, func(h *Header) relay.Header { return relay.Header{Name: h.Name, Value: h.Value} })
}

// follow keeps a forwarded turn's stream where pulls find it; the caller
// holds the lock.
func (m *Manager) keepForwarded(call *relay.Call, stream *Stream) {
	if m.forwardedStreams == nil {
		m.forwardedStreams = map[string]*Stream{}
	}
	id := forwardedStreamKey(call)
	m.forwardedStreams[id] = stream
	m.Clock.Go(func() {
		m.Clock.Sleep(call.Deadline + m.Bounds.Load().Recover/4)
		m.mu.Lock()
		delete(m.forwardedStreams, id)
		m.mu.Unlock()
	})
}

// streamID is what a forwarded turn's stream goes by.
func forwardedStreamKey(call *relay.Call) string { return sessionKey(call) + " " + call.ID }

// forwarded is the stream of a turn that was forwarded here before, or nil: a
// message that comes once more runs nothing.
func (m *Manager) forwardedStream(call *relay.Call) *Stream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwardedStreams[forwardedStreamKey(call)]
}

// owing counts the forwarded turns whose end has not been pulled.
func (m *Manager) undeliveredStreams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, stream := range m.forwardedStreams {
		if !stream.endDelivered.Load() && !stream.isAbandoned() {
			count++
		}
	}
	return count
}

// Pull gives a forwarded turn's answer from a place on.
func (m *Manager) Pull(plain context.Context, request *PullRequest) (*PullReply, error) {
	m.mu.Lock()
	stream := m.forwardedStreams[request.Program+" "+request.Session+" "+request.Turn]
	m.mu.Unlock()
	if stream == nil {
		return nil, base.ToWire(base.Unsure(502, "owner_lost", "this node does not have the answer"))
	}
	if request.Leave {
		stream.Abandon()
		return &PullReply{Done: true, Cut: true}, nil
	}
	wait := time.Duration(request.HoldMs) * time.Millisecond
	if request.Place > 0 {
		// After the first event a few that come together go together.
		stream.WaitUntil(int(request.Place)+maxGatheredEvents, min(wait, m.Bounds.Load().Recover/400), m.Clock)
	}
	return m.pullReply(base.CtxOf(plain, m.Clock), stream, int(request.Place), wait)
}

// gatherMost is how many events a pull waits for, for a short while.
const maxGatheredEvents = 16

// news is what a stream has from a place on, after at most hold.
func (m *Manager) pullReply(ctx *base.Ctx, stream *Stream, position int, wait time.Duration) (*PullReply, error) {
	pieces, done, cut := stream.PiecesFrom(position, min(wait, ctx.Left()/2), m.Clock)
	stream.mu.Lock()
	head, failed := stream.head, stream.failure
	stream.mu.Unlock()
	if failed != nil {
		stream.endDelivered.Store(true)
		return nil, base.ToWire(failed)
	}
	if done {
		stream.endDelivered.Store(true)
	}
	reply := &PullReply{Pieces: pieces, Place: uint64(position), Done: done, Cut: cut}
	if head != nil && position == 0 {
		reply.Status, reply.Headers = int64(head.Status), headersToProto(head.Headers)
	}
	return reply, nil
}
