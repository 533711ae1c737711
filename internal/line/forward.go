// Turns whose session another gateway owns: forwarded to it once, marked.

package line

import (
	"context"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/session"
)

// forward carries a turn to its owner once and follows the answer.
func (m *Manager) forward(ctx *base.Ctx, assignment *Assignment, call *relay.Call) (*Stream, error) {
	member, alive := m.View.Find(assignment.Owner)
	if member == nil || !alive {
		return nil, base.Busy(503, "unreachable", 1, "the owner is not known to be alive")
	}
	m.Counters.Add("turns_forwarded", 1)
	owner := NewOwnerProtobufClient("http://"+member.Addr, m.Wire)
	wait := m.Bounds.Load().Recover / 24
	reply, err := owner.Forward(ctx.Within(wait*5/2), &ForwardRequest{From: m.nodeID(), Forwarded: true, Assignment: assignment, Call: callToProto(call, ctx)})
	if err != nil {
		verdict := base.FromWire(err)
		if verdict.Code == "unreachable" || verdict.Code == "owner_lost" || verdict.Code == "reply_lost" {
			m.View.Suspect(assignment.Owner)
		}
		return nil, verdict
	}
	pull := func(abandon bool, position uint64, limit time.Duration) (*PullReply, error) {
		return owner.Pull(base.NewCtx(m.Clock, limit), &PullRequest{Program: call.Program, Session: call.Session, Turn: call.ID, Place: position, HoldMs: wait.Milliseconds(), Leave: abandon, Assignment: assignment})
	}
	stream := newStream(m.Clock, func() {
		m.Clock.Go(func() { _, _ = pull(true, 0, wait) })
	})
	m.Clock.Go(func() {
		position := uint64(0)
		for {
			if reply.Status > 0 && position == 0 {
				stream.setHead(&Head{Status: int(reply.Status), Headers: headersFromProto(reply.Headers)})
			}
			stream.add(reply.Pieces...)
			position += uint64(len(reply.Pieces))
			switch {
			case reply.Cut:
				stream.fail(base.Unsure(502, "cut", "the answer was cut short"))
				return
			case reply.Done:
				stream.finish()
				return
			case ctx.Over() || stream.isAbandoned():
				stream.fail(base.Unsure(504, "timed_out", "no answer came in time"))
				return
			}
			if reply, err = pull(false, position, 3*wait); err != nil {
				stream.fail(pullError(err))
				return
			}
		}
	})
	return stream, nil
}

// Forward is the owner's side; it never carries a turn any further.
func (m *Manager) Forward(plain context.Context, request *ForwardRequest) (*PullReply, error) {
	arrivalCtx := base.CtxOf(plain, m.Clock)
	call := callFromProto(request.GetCall())
	if !request.Forwarded || call.Session == "" || request.Assignment == nil {
		return nil, base.ToWire(base.Decline(400, "bad_request", "not a forwarded turn"))
	}
	if request.Assignment.Owner != m.nodeID() {
		return nil, base.ToWire(base.Busy(503, "owner_lost", 1, "the owner's life at this address is over"))
	}
	m.mu.Lock()
	s := m.owned[sessionKey(call)]
	m.mu.Unlock()
	if s == nil {
		return nil, base.ToWire(base.Decline(409, "stale_assignment", "this node has let the session go"))
	}
	s.mu.Lock()
	sameRun, leaving := s.assignment != nil && s.assignment.Run == request.Assignment.Run && s.assignment.Epoch == request.Assignment.Epoch, s.phase == session.Finalizing
	s.mu.Unlock()
	switch {
	case !sameRun:
		return nil, base.ToWire(base.Decline(409, "stale_assignment", "the session is assigned to another Run"))
	case leaving:
		return nil, base.ToWire(base.Busy(503, "handing_over", 1, "this node is leaving"))
	}
	if existing := m.forwardedStream(call); existing != nil { // the message came twice
		return m.pullReply(arrivalCtx, existing, 0, m.Bounds.Load().Recover/24)
	}
	ctx := base.NewCtx(m.Clock, call.Deadline)
	stream, _, err := m.accept(ctx, call, s, nil, true)
	if err != nil {
		return nil, base.ToWire(err)
	}
	m.mu.Lock()
	m.keepForwarded(call, stream)
	m.mu.Unlock()
	return m.pullReply(arrivalCtx, stream, 0, m.Bounds.Load().Recover/24)
}

// pullFailed judges a pull without an answer. That it was not sent says nothing
// of the turn, which the owner has; the owner's own word does.
func pullError(err error) *base.Verdict {
	verdict := base.FromWire(err)
	if base.WasNotSent(err) {
		return base.Unsure(502, "owner_lost", "the session's owner was lost: %s", verdict.Message)
	}
	return verdict
}
