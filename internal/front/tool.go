// Tool calls go by a configured route to application workers. A route that
// may not be repeated needs an Idempotency-Key, whose claim is durable before
// the call goes out; see package toolcall for what the claim promises.

package front

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/session"
	"fordseam/internal/settings"
	"fordseam/internal/toolcall"
	"fordseam/internal/worker"
)

const maxToolResponseBytes = 4 << 20

func (h *Handler) parseToolCall(r *Request, programID, routeName string) (*action, error) {
	key := r.Header["idempotency-key"]
	if key != "" {
		if err := validateName("Idempotency-Key", key); err != nil {
			return nil, err
		}
	}
	if len(r.Body) > 0 && !json.Valid(r.Body) {
		return nil, base.DeclineField("body", "not valid JSON")
	}
	return &action{func(ctx *base.Ctx) (*Response, error) {
		program, err := h.authorize(ctx, r, programID)
		if err != nil {
			return nil, err
		}
		route, err := h.Settings.Load().Route(program.Group, program.Site, routeName)
		if err != nil {
			return nil, err
		}
		if route.Kind != "tool" {
			return nil, base.DeclineField("route", "route %q is not for tool calls", routeName)
		}
		if key == "" && !route.Repeatable {
			return nil, base.DeclineField("Idempotency-Key", "route %q may not be repeated; an Idempotency-Key must be given", routeName)
		}
		if h.Sessions.ProgramTermination(budget.RegisterGroup(programID)) != "" || h.Sessions.ProgramTermination(programID) != "" {
			return nil, base.Decline(503, "program_terminating", "the program is ending")
		}
		ctx = ctx.Within(route.ToolTimeout)
		call := &toolCall{handler: h, ctx: ctx, request: r, route: route, urgency: program.Urgency,
			claim: toolcall.Claim{Program: programID, Key: key, Attempt: base.NewID(h.Clock, "c"), Digest: base.Digest(append([]byte(routeName+"\n"), r.Body...))}}
		if key == "" {
			return call.callRepeatable()
		}
		return call.callClaimed()
	}}, nil
}

type toolCall struct {
	handler *Handler
	ctx     *base.Ctx
	request *Request
	route   *settings.Route
	urgency string
	claim   toolcall.Claim
}

// show passes a worker's whole answer on; its failure is a verdict of ours.
func toolResponse(answer *toolcall.Response, replayed bool) *Response {
	if answer.Status >= 500 {
		return ErrorResponse(base.Unsure(502, "worker_failed", "the worker failed with status %d", answer.Status))
	}
	response := &Response{Status: answer.Status, Header: map[string]string{"Content-Type": answer.ContentType}, Body: answer.Body}
	if replayed {
		response.Header["Idempotent-Replayed"] = "true"
	}
	return response
}

// plain is for repeatable routes without a key: a lost leg may be repeated.
func (t *toolCall) callRepeatable() (*Response, error) {
	tried := map[string]bool{}
	for attempt := 1; ; attempt++ {
		answer, err := t.send(tried)
		if err == nil {
			return toolResponse(answer, false), nil
		}
		if v := base.FromWire(err); v.Ran == base.NotRun || attempt >= t.route.Legs || t.ctx.Over() {
			return nil, err
		}
		t.handler.Counters.Add("tool_legs_repeated", 1)
	}
}

// claimed carries a call out at most once, ever.
func (t *toolCall) callClaimed() (*Response, error) {
	f := t.handler
	pause := f.Bounds.Load().Beat()
	for {
		outcome, err := f.Tools.Claim(t.ctx, t.claim)
		if err != nil {
			if v := base.FromWire(err); v.Ran != base.NotRun {
				// The claim may stand under this leg, but the leg has not gone
				// out and is given up, so the call did not run.
				f.Clock.Go(func() { _ = f.Tools.Finish(base.NewCtx(f.Clock, f.Bounds.Load().Recover), t.claim, nil) })
				return nil, base.Busy(503, "claim_unconfirmed", 1, "the call could not be claimed in time")
			}
			return nil, err
		}
		if outcome.Response != nil {
			f.Counters.Add("tool_calls_replayed", 1)
			return toolResponse(outcome.Response, true), nil
		}
		if outcome.Proceed {
			break
		}
		if t.ctx.Left() <= pause {
			return nil, base.Unsure(409, "call_unfinished", "a call with this key went out and has given no answer")
		}
		f.Clock.Sleep(pause)
	}
	answer, err := t.send(map[string]bool{})
	recordCtx := base.NewCtx(f.Clock, f.Bounds.Load().Recover)
	if err != nil {
		if base.FromWire(err).Ran == base.NotRun {
			if finishErr := f.Tools.Finish(recordCtx, t.claim, nil); finishErr != nil {
				f.Counters.Add("tool_claims_stuck", 1)
			}
		}
		return nil, err
	}
	if finishErr := f.Tools.Finish(recordCtx, t.claim, answer); finishErr != nil {
		f.Counters.Add("tool_answers_unrecorded", 1)
	}
	return toolResponse(answer, false), nil
}

// send tries workers until one was reached; from then on there is no other.
func (t *toolCall) send(tried map[string]bool) (*toolcall.Response, error) {
	f := t.handler
	need := &worker.Requirements{Pool: t.route.Pool, AffinityKey: t.claim.Program, Program: t.claim.Program, Site: t.route.Group + "/" + t.route.Site, Urgency: t.urgency,
		MaxQueue: t.route.Waiting, Tried: tried, Policy: t.route.Policy}
	for {
		answer, err, tryNext := t.sendOnce(need)
		if !tryNext || t.ctx.Over() {
			return answer, err
		}
		f.Counters.Add("tool_legs_not_sent", 1)
	}
}

func (t *toolCall) sendOnce(need *worker.Requirements) (answer *toolcall.Response, failure error, tryNext bool) {
	f := t.handler
	var cleanup base.Cleanup
	defer cleanup.Run()
	chosen, err := f.Picker.Acquire(t.ctx, need)
	if err != nil {
		return nil, err, false
	}
	heldSince := f.Clock.Now()
	cleanup.Push(func() { f.Picker.Release(chosen, need, f.Clock.Now()-heldSince) })
	if err := f.Follower.WaitForLease(t.ctx); err != nil {
		return nil, err, false
	}
	if !f.Picker.StillEligible(chosen, need) {
		f.Counters.Add("legs_turned_back", 1)
		return nil, base.Busy(503, "worker_leaving", 1, "the worker is leaving"), true
	}
	if t.ctx.Over() {
		return nil, base.Decline(504, "timed_out", "the call's time was over before it went out"), false
	}
	path := t.route.Path
	if path == "" {
		path = "/" + t.route.Name
	}
	header := map[string]string{"Content-Type": "application/json"}
	if t.claim.Key != "" {
		header["Idempotency-Key"] = t.claim.Program + "/" + t.claim.Key
	}
	f.Counters.Add("tool_legs_sent", 1)
	reply, err := f.Backends.Call(t.ctx, chosen.Addr, &base.BackRequest{Method: "POST", Path: path, Header: header, Body: t.request.Body})
	need.Tried[chosen.ID] = true
	if err != nil {
		f.Picker.Avoid(chosen.ID)
		if base.WasNotSent(err) {
			return nil, base.Busy(503, "worker_unreachable", 1, "no worker could be reached"), true
		}
		return nil, base.Unsure(502, "worker_lost", "the worker's answer was lost"), false
	}
	cleanup.Push(reply.Close)
	if reply.Status() == 503 {
		f.Sessions.MarkWorkerLeaving(chosen)
		if t.route.Repeatable {
			return nil, base.Busy(503, "worker_leaving", 1, "the worker is leaving"), true
		}
		return nil, base.Unsure(502, "worker_leaving", "the worker refused the call as it leaves, but bytes had gone out"), false
	}
	if f.Picker.ObserveResponse(chosen, reply.Closes()) {
		f.Sessions.MarkWorkerLeaving(chosen)
	}
	body, err := reply.Body(t.ctx.Left(), maxToolResponseBytes)
	if err != nil {
		return nil, base.Unsure(502, "worker_cut", "the worker's answer was cut short"), false
	}
	if reply.Status() >= 500 && t.claim.Key == "" {
		return nil, base.Unsure(502, "worker_failed", "the worker failed with status %d", reply.Status()), false
	}
	contentType := reply.Header("Content-Type")
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	return &toolcall.Response{Status: reply.Status(), ContentType: contentType, Body: body}, nil, false
}

// showPage puts the cursor into a listing, which may come from another node.
func listingPage(visit *session.Request, body any) (any, bool) {
	if visit.Kind != session.KindListTurns {
		return nil, false
	}
	var page session.TurnPage
	switch typed := body.(type) {
	case session.TurnPage:
		page = typed
	case json.RawMessage:
		if json.Unmarshal(typed, &page) != nil {
			return nil, false
		}
	}
	return struct {
		Turns []session.TurnView `json:"turns"`
		Next  string             `json:"next_cursor"`
	}{page.Turns, encodeCursor(visit.Session, page.Next)}, true
}
