package front

import (
	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/session"
)

// checkModelAccess refuses a turn whose model the session's team may not call,
// before the turn is forwarded to any node. The models follow from the group, the
// site and the route of the session. A turn that was accepted before, and is
// requested again by the id that the client gave it, may proceed.
func (h *Handler) checkModelAccess(ctx *base.Ctx, request *session.Request, clientNamed bool) error {
	if request.Kind != session.KindSubmitTurn || !h.Access.HasRules() {
		return nil
	}
	record, err := h.Sessions.Lookup(ctx.WithTimeout(h.Bounds.Load().Recovery), request)
	if err != nil || !record.Authorizes(request.Bearer) {
		return err // the session's owner declines wrong credentials
	}
	refusal := h.Access.Authorize(ctx, &access.Request{Scope: access.Scope{Group: record.Group, Site: record.Site, Route: record.Route}})
	if refusal == nil || !clientNamed || base.ToRequestError(refusal).Status != 403 {
		return refusal
	}
	lookup := *request
	lookup.Kind, lookup.ID = session.KindReadTurn, base.NewID(h.Clock, "v")
	reply, err := h.Sessions.Handle(ctx.WithTimeout(h.Bounds.Load().CoreCallTimeout()), &lookup)
	if err != nil {
		return refusal
	}
	if state := session.TurnStateOf(reply.Body); state == session.OpQueued || state == session.OpRunning || state == session.OpSucceeded {
		h.Counters.Add("access_accepted_before", 1)
		return nil
	}
	return refusal
}
