package line

import (
	"context"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/route"
	"fordseam/internal/session"
)

// forward sends a turn to its session's owner once, marked so that the owner does not
// forward it again, and pulls the answer into the stream that it returns.
func (m *Manager) forward(ctx *base.Ctx, assignment *Assignment, call *relay.Call) (*Stream, error) {
	member, alive := m.View.Find(assignment.Owner)
	if member == nil || !alive {
		return nil, base.Busy(503, "unreachable", 1, "the session's owner is not known to be alive")
	}
	if err := reserveForward(ctx, call); err != nil {
		return nil, err
	}
	m.Counters.Add("turns_forwarded", 1)
	owner := NewOwnerProtobufClient("http://"+member.Addr, m.HTTPClient)
	wait := m.Bounds.Load().Recovery / 24
	reply, err := owner.Forward(ctx.WithTimeout(wait*5/2), &ForwardRequest{From: m.nodeID(), Forwarded: true, Assignment: assignment, Call: callToProto(call, ctx)})
	call.Memory.Shrink(forwardCopies * len(call.Body))
	if err != nil {
		requestErr := base.ToRequestError(err)
		if requestErr.Code == "unreachable" || requestErr.Code == "owner_lost" || requestErr.Code == "reply_lost" {
			m.View.Suspect(assignment.Owner)
		}
		return nil, requestErr
	}
	pull := func(abandon bool, position uint64, limit time.Duration) (*PullReply, error) {
		return owner.Pull(base.NewCtx(m.Clock, limit), &PullRequest{Program: call.Program, Session: call.Session, Turn: call.ID, Place: position, HoldMs: wait.Milliseconds(), Leave: abandon, Assignment: assignment})
	}
	stream := newStream(m.Clock, m.Memory, func() {
		m.Clock.Go(func() { _, _ = pull(true, 0, wait) })
	})
	m.Clock.Go(func() {
		position := uint64(0)
		for {
			if reply.Status > 0 && position == 0 {
				stream.setHead(&Head{Status: int(reply.Status), Headers: headersFromProto(reply.Headers)})
			}
			for _, piece := range reply.Pieces {
				if err := stream.add(ctx, piece); err != nil {
					_, _ = pull(true, 0, wait)
					stream.fail(base.ToRequestError(err))
					return
				}
			}
			position += uint64(len(reply.Pieces))
			switch {
			case reply.Cut:
				stream.fail(base.Indeterminate(502, "cut", "the answer ended before it was complete"))
				return
			case reply.Done:
				stream.finish()
				return
			case ctx.Expired() || stream.isAbandoned():
				stream.fail(base.Indeterminate(504, "timed_out", "no answer arrived in time"))
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

// Forward accepts a turn that another gateway forwarded to this node as the session's
// owner. It never forwards the turn again.
func (m *Manager) Forward(rawCtx context.Context, request *ForwardRequest) (*PullReply, error) {
	replyCtx := base.CtxFromContext(rawCtx, m.Clock)
	call := callFromProto(request.GetCall())
	if !request.Forwarded || call.Session == "" || request.Assignment == nil {
		return nil, base.ToTwirpError(base.Decline(400, "bad_request", "not a valid forwarded turn"))
	}
	if request.Assignment.Owner != m.nodeID() {
		return nil, base.ToTwirpError(base.Busy(503, "owner_lost", 1, "the owner was an earlier process at this address"))
	}
	if existing := m.forwardedStream(call, request.Assignment); existing != nil { // a duplicate of the message
		return m.pullReply(replyCtx, existing, 0, m.Bounds.Load().Recovery/24)
	}
	m.mu.Lock()
	s := m.owned[sessionKey(call)]
	m.mu.Unlock()
	var replaces *Assignment
	if s == nil {
		// This node has dropped the session's Run, and begins the next one if the ledger
		// still assigns the session to it.
		replaces = request.Assignment
		m.Counters.Add("sessions_taken_up", 1)
	} else if err := s.checkForwarded(request.Assignment); err != nil {
		return nil, base.ToTwirpError(err)
	}
	matched, err := m.match(call)
	if err != nil {
		return nil, base.ToTwirpError(err)
	}
	call.Memory = m.Memory.NewLease()
	if err := call.Memory.Grow(len(call.Body)); err != nil {
		return nil, base.ToTwirpError(memory.RequestError(err))
	}
	ctx := base.NewCtx(m.Clock, call.Deadline)
	stream, _, err := m.accept(m.newOperation(ctx, matched, call, true), s, replaces)
	if err != nil {
		call.Memory.Release()
		return nil, base.ToTwirpError(err)
	}
	stream.OnEnd(call.Memory.Release)
	m.mu.Lock()
	m.keepForwarded(call, request.Assignment, stream)
	m.mu.Unlock()
	return m.pullReply(replyCtx, stream, 0, m.Bounds.Load().Recovery/24)
}

// match returns the route of a forwarded turn. This node may have a newer or an older
// configuration than the gateway that forwarded the turn.
func (m *Manager) match(call *relay.Call) (*route.Route, error) {
	if table := m.Routes.Load(); table != nil {
		if matched := table.Match(call.Host, call.Target); matched != nil {
			return matched, nil
		}
	}
	return nil, base.Decline(404, "no_route", "no route matches this request")
}

// checkForwarded checks whether a turn that was forwarded under an assignment may join the
// session's queue here.
func (s *ownedSession) checkForwarded(forwarded *Assignment) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.assignment == nil || s.assignment.Run != forwarded.Run || s.assignment.Epoch != forwarded.Epoch:
		return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
	case s.phase == session.Finalizing:
		return base.Busy(503, "handing_over", 1, "the session is closing on this node")
	}
	return nil
}

// pullError returns the error for a failed pull. That the pull was not sent proves
// nothing about the turn, which the owner already has, so the turn may have run. A
// request error that the owner itself sent is passed on.
func pullError(err error) *base.RequestError {
	requestErr := base.ToRequestError(err)
	if base.WasNotSent(err) {
		return base.Indeterminate(502, "owner_lost", "the session's owner was lost: %s", requestErr.Message)
	}
	return requestErr
}
