package line

import (
	"context"
	"io"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
)

func isEOF(err error) bool { return err == io.EOF }

// callToProto encodes a call for another gateway, with the time left as its deadline.
func callToProto(call *relay.Call, ctx *base.Ctx) *Call {
	msg := &Call{Id: call.ID, Host: call.Host, Method: call.Method, Target: call.Target, Body: call.Body, DeadlineMs: ctx.Remaining().Milliseconds(),
		Model: call.Model, Prompt: int64(call.PromptTokens), Most: int64(call.MaxOutputTokens), Program: call.Program, Session: call.Session,
		FinishMs: call.Finish.Milliseconds(), Budget: call.TokenBudget, HasBudget: call.HasTokenBudget, Previous: call.PreviousTurn, Headers: headersToProto(call.Headers)}
	for _, part := range call.PromptParts {
		msg.Parts = append(msg.Parts, &Part{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	return msg
}

func callFromProto(msg *Call) *relay.Call {
	if msg == nil {
		return &relay.Call{}
	}
	call := &relay.Call{ID: msg.Id, Host: msg.Host, Method: msg.Method, Target: msg.Target, Body: msg.Body, Deadline: time.Duration(msg.DeadlineMs) * time.Millisecond,
		Model: msg.Model, PromptTokens: int(msg.Prompt), MaxOutputTokens: int(msg.Most), Program: msg.Program, Session: msg.Session,
		Finish: time.Duration(msg.FinishMs) * time.Millisecond, TokenBudget: msg.Budget, HasTokenBudget: msg.HasBudget, PreviousTurn: msg.Previous, Headers: headersFromProto(msg.Headers)}
	for _, part := range msg.Parts {
		call.PromptParts = append(call.PromptParts, relay.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	return call
}

func headersToProto(headers []relay.Header) []*Header {
	return base.Map(headers, func(h relay.Header) *Header { return &Header{Name: h.Name, Value: h.Value} })
}

func headersFromProto(headers []*Header) []relay.Header {
	return base.Map(headers, func(h *Header) relay.Header { return relay.Header{Name: h.Name, Value: h.Value} })
}

// keepForwarded keeps the stream of a forwarded turn for pulls until some time after
// the call's deadline. The caller holds m.mu.
func (m *Manager) keepForwarded(call *relay.Call, assignment *Assignment, stream *Stream) {
	if m.forwardedStreams == nil {
		m.forwardedStreams = map[string]*Stream{}
	}
	key := forwardedStreamKey(call.Program, call.Session, call.ID, assignment)
	m.forwardedStreams[key] = stream
	deadline := call.Deadline
	m.Clock.Go(func() {
		m.Clock.Sleep(deadline + m.Bounds.Load().Recovery/4)
		m.mu.Lock()
		delete(m.forwardedStreams, key)
		m.mu.Unlock()
		stream.release()
	})
}

// forwardedStreamKey identifies the stream of a turn that was forwarded under an
// assignment.
func forwardedStreamKey(program, sessionID, turn string, assignment *Assignment) string {
	return strings.Join([]string{program, sessionID, turn, assignment.GetRun()}, " ")
}

// forwardedStream returns the stream of a turn that was forwarded here before under the
// same assignment, or nil. A duplicate of the message must not run the turn again.
func (m *Manager) forwardedStream(call *relay.Call, assignment *Assignment) *Stream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwardedStreams[forwardedStreamKey(call.Program, call.Session, call.ID, assignment)]
}

// undeliveredStreams counts the forwarded turns whose end has not been pulled.
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

// Pull serves the answer of a forwarded turn from a position on.
func (m *Manager) Pull(rawCtx context.Context, request *PullRequest) (*PullReply, error) {
	m.mu.Lock()
	stream := m.forwardedStreams[forwardedStreamKey(request.Program, request.Session, request.Turn, request.Assignment)]
	m.mu.Unlock()
	if stream == nil {
		return nil, base.ToTwirpError(base.Indeterminate(502, "owner_lost", "this node has no answer for turn %q", request.Turn))
	}
	if request.Leave {
		stream.Abandon()
		return &PullReply{Done: true, Cut: true}, nil
	}
	wait := time.Duration(request.HoldMs) * time.Millisecond
	if request.Place > 0 {
		// After the first event, wait briefly to send several events in one reply.
		stream.WaitUntil(int(request.Place)+maxGatheredEvents, min(wait, m.Bounds.Load().Recovery/400), m.Clock)
	}
	return m.pullReply(base.CtxFromContext(rawCtx, m.Clock), stream, int(request.Place), wait)
}

// maxGatheredEvents is the number of events that a pull briefly waits for.
const maxGatheredEvents = 16

// pullReply returns the pieces of a stream from a position on, waiting for the first of
// them for at most wait.
func (m *Manager) pullReply(ctx *base.Ctx, stream *Stream, position int, wait time.Duration) (*PullReply, error) {
	pieces, done, cut := stream.PiecesFrom(position, min(wait, ctx.Remaining()/2), m.Clock)
	stream.mu.Lock()
	head, failure := stream.head, stream.failure
	stream.mu.Unlock()
	if failure != nil {
		stream.endDelivered.Store(true)
		return nil, base.ToTwirpError(failure)
	}
	if done {
		stream.endDelivered.Store(true)
		stream.takeAll()
	}
	reply := &PullReply{Pieces: pieces, Place: uint64(position), Done: done, Cut: cut}
	if head != nil && position == 0 {
		reply.Status, reply.Headers = int64(head.Status), headersToProto(head.Headers)
	}
	return reply, nil
}
