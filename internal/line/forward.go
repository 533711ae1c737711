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
func (k *Manager) forward(ctx *base.Ctx, to *Assignment, call *relay.Call) (*Stream, error) {
	member, alive := k.View.Find(to.Owner)
	if member == nil || !alive {
		return nil, base.Busy(503, "unreachable", 1, "the owner is not known to be alive")
	}
	k.Counters.Add("turns_forwarded", 1)
	owner := NewOwnerProtobufClient("http://"+member.Addr, k.Wire)
	hold := k.Bounds.Load().Recover / 24
	reply, err := owner.Forward(ctx.Within(hold*5/2), &ForwardRequest{From: k.me(), Forwarded: true, Assignment: to, Call: packCall(call, ctx)})
	if err != nil {
		v := base.FromWire(err)
		if v.Code == "unreachable" || v.Code == "owner_lost" || v.Code == "reply_lost" {
			k.View.Suspect(to.Owner)
		}
		return nil, v
	}
	asked := func(leave bool, place uint64, limit time.Duration) (*PullReply, error) {
		return owner.Pull(base.NewCtx(k.Clock, limit), &PullRequest{Program: call.Program, Session: call.Session, Turn: call.ID, Place: place, HoldMs: hold.Milliseconds(), Leave: leave, Assignment: to})
	}
	stream := newStream(k.Clock, func() {
		k.Clock.Go(func() { _, _ = asked(true, 0, hold) })
	})
	k.Clock.Go(func() {
		place := uint64(0)
		for {
			if reply.Status > 0 && place == 0 {
				stream.open(&Head{Status: int(reply.Status), Headers: unpackHeaders(reply.Headers)})
			}
			stream.put(reply.Pieces...)
			place += uint64(len(reply.Pieces))
			switch {
			case reply.Cut:
				stream.fail(base.Unsure(502, "cut", "the answer was cut short"))
				return
			case reply.Done:
				stream.finish()
				return
			case ctx.Over() || stream.abandoned():
				stream.fail(base.Unsure(504, "timed_out", "no answer came in time"))
				return
			}
			if reply, err = asked(false, place, 3*hold); err != nil {
				stream.fail(pullFailed(err))
				return
			}
		}
	})
	return stream, nil
}

// Forward is the owner's side; it never carries a turn any further.
func (k *Manager) Forward(plain context.Context, request *ForwardRequest) (*PullReply, error) {
	arrived := base.CtxOf(plain, k.Clock)
	call := unpackCall(request.GetCall())
	if !request.Forwarded || call.Session == "" || request.Assignment == nil {
		return nil, base.ToWire(base.Decline(400, "bad_request", "not a forwarded turn"))
	}
	if request.Assignment.Owner != k.me() {
		return nil, base.ToWire(base.Busy(503, "owner_lost", 1, "the owner's life at this address is over"))
	}
	k.mu.Lock()
	found := k.held[lineOf(call)]
	k.mu.Unlock()
	if found == nil {
		return nil, base.ToWire(base.Decline(409, "stale_assignment", "this node has let the session go"))
	}
	found.mu.Lock()
	same, leaving := found.assignment != nil && found.assignment.Run == request.Assignment.Run && found.assignment.Epoch == request.Assignment.Epoch, found.phase == session.Finalizing
	found.mu.Unlock()
	switch {
	case !same:
		return nil, base.ToWire(base.Decline(409, "stale_assignment", "the session is assigned to another Run"))
	case leaving:
		return nil, base.ToWire(base.Busy(503, "handing_over", 1, "this node is leaving"))
	}
	if known := k.forwarded(call); known != nil { // the message came twice
		return k.news(arrived, known, 0, k.Bounds.Load().Recover/24)
	}
	ctx := base.NewCtx(k.Clock, call.Deadline)
	stream, _, err := k.accept(ctx, call, found, nil, true)
	if err != nil {
		return nil, base.ToWire(err)
	}
	k.mu.Lock()
	k.followed(call, stream)
	k.mu.Unlock()
	return k.news(arrived, stream, 0, k.Bounds.Load().Recover/24)
}

// pullFailed judges a pull without an answer. That it was not sent says nothing
// of the turn, which the owner has; the owner's own word does.
func pullFailed(err error) *base.Verdict {
	v := base.FromWire(err)
	if base.WasNotSent(err) {
		return base.Unsure(502, "owner_lost", "the session's owner was lost: %s", v.Message)
	}
	return v
}
