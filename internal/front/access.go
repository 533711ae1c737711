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
func (f *Handler) allowed(ctx *base.Ctx, v *session.Request, named bool) error {
	if v.Kind != session.KindSubmitTurn || !f.Access.HasRules() {
		return nil
	}
	record, err := f.Sessions.Lookup(ctx.Within(f.Bounds.Load().Recover), v)
	if err != nil || !record.Authorizes(v.Bearer) {
		return err // wrong credentials are the owner's to decline
	}
	refusal := f.Access.Authorize(ctx, &access.Request{Scope: access.Scope{Group: record.Group, Site: record.Site, Route: record.Route}})
	if refusal == nil || !named || base.FromWire(refusal).Status != 403 {
		return refusal
	}
	read := *v
	read.Kind, read.ID = session.KindReadTurn, base.NewID(f.Clock, "v")
	found, err := f.Sessions.Handle(ctx.Within(f.Bounds.Load().Call()), &read)
	if err != nil {
		return refusal
	}
	if state := session.TurnStateOf(found.Body); state == session.OpQueued || state == session.OpRunning || state == session.OpSucceeded {
		f.Counters.Add("access_accepted_before", 1)
		return nil
	}
	return refusal
}
