// Which models a program may call follows from its group, its site and the
// route of its session. A turn is looked at here, before it is carried anywhere.

package front

import (
	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/session"
)

// allowed refuses a turn whose model its team may not call. A turn that was
// accepted before, and is asked for again by its own id, is no new one: it ends
// as it was accepted.
func (h *Handler) checkModelAccess(ctx *base.Ctx, visit *session.Request, clientNamed bool) error {
	if visit.Kind != session.KindSubmitTurn || !h.Access.HasRules() {
		return nil
	}
	record, err := h.Sessions.Lookup(ctx.Within(h.Bounds.Load().Recover), visit)
	if err != nil || !record.Authorizes(visit.Bearer) {
		return err // wrong credentials are the owner's to decline
	}
	refusal := h.Access.Authorize(ctx, &access.Request{Scope: access.Scope{Group: record.Group, Site: record.Site, Route: record.Route}})
	if refusal == nil || !clientNamed || base.FromWire(refusal).Status != 403 {
		return refusal
	}
	lookup := *visit
	lookup.Kind, lookup.ID = session.KindReadTurn, base.NewID(h.Clock, "v")
	reply, err := h.Sessions.Handle(ctx.Within(h.Bounds.Load().Call()), &lookup)
	if err != nil {
		return refusal
	}
	if state := session.TurnStateOf(reply.Body); state == session.OpQueued || state == session.OpRunning || state == session.OpSucceeded {
		h.Counters.Add("access_accepted_before", 1)
		return nil
	}
	return refusal
}
