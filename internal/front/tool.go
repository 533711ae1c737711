package front

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/memory"
	"fordseam/internal/session"
	"fordseam/internal/settings"
	"fordseam/internal/toolcall"
	"fordseam/internal/worker"
)

// maxToolResponseBytes is the largest body that a worker may answer a tool call with.
const maxToolResponseBytes = 4 << 20

// parseToolCall parses a tool call, which is sent by a configured route to an
// application worker. A route that is not repeatable requires an Idempotency-Key,
// whose claim is durable before the call is sent; see package toolcall for the
// guarantees of a claim.
func (h *Handler) parseToolCall(r *Request, programID, routeName string) (*action, error) {
	key := r.Header["idempotency-key"]
	if key != "" {
		if err := validateName("Idempotency-Key", key); err != nil {
			return nil, err
		}
	}
	if len(r.Body) > 0 && !json.Valid(r.Body) {
		return nil, base.DeclineField("body", "is not valid JSON")
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
			return nil, base.DeclineField("route", "route %q does not accept tool calls", routeName)
		}
		if key == "" && !route.Repeatable {
			return nil, base.DeclineField("Idempotency-Key", "route %q is not repeatable; an Idempotency-Key must be given", routeName)
		}
		if h.Sessions.ProgramTermination(budget.RegisterGroup(programID)) != "" || h.Sessions.ProgramTermination(programID) != "" {
			return nil, base.Decline(503, "program_terminating", "program %q is being terminated", programID)
		}
		ctx = ctx.WithTimeout(route.ToolTimeout)
		lease := h.Memory.NewAnswerLease()
		defer lease.Close()
		call := &toolCall{handler: h, ctx: ctx, request: r, route: route, urgency: program.Urgency, memory: lease,
			claim: toolcall.Claim{Program: programID, Key: key, Attempt: base.NewID(h.Clock, "c"), Digest: base.Digest(append([]byte(routeName+"\n"), r.Body...))}}
		if key == "" {
			return call.callRepeatable()
		}
		return call.callClaimed()
	}}, nil
}

// toolCall is one tool call being carried out.
type toolCall struct {
	handler *Handler
	ctx     *base.Ctx
	request *Request
	route   *settings.Route
	urgency string
	claim   toolcall.Claim
	memory  *memory.Lease // counts the worker's answer
}

// toolResponse passes a worker's complete answer on. A status of 500 or more becomes
// an error of the gateway.
func toolResponse(answer *toolcall.Response, replayed bool) *Response {
	if answer.Status >= 500 {
		return ErrorResponse(base.Indeterminate(502, "worker_failed", "the worker failed with status %d", answer.Status))
	}
	response := &Response{Status: answer.Status, Header: map[string]string{"Content-Type": answer.ContentType}, Body: answer.Body}
	if replayed {
		response.Header["Idempotent-Replayed"] = "true"
	}
	return response
}

// callRepeatable carries out a call without a key on a repeatable route: an attempt
// whose answer is lost may be repeated.
func (t *toolCall) callRepeatable() (*Response, error) {
	tried := map[string]bool{}
	for attempt := 1; ; attempt++ {
		answer, err := t.send(tried)
		if err == nil {
			return toolResponse(answer, false), nil
		}
		if requestErr := base.ToRequestError(err); requestErr.Execution == base.NotRun || attempt >= t.route.MaxAttempts || t.ctx.Expired() {
			return nil, err
		}
		t.handler.Counters.Add("tool_legs_repeated", 1)
	}
}

// callClaimed carries out a call with a key, which runs at most once however often
// it is requested.
func (t *toolCall) callClaimed() (*Response, error) {
	h := t.handler
	pause := h.Bounds.Load().HeartbeatInterval()
	for {
		outcome, err := h.Tools.Claim(t.ctx, t.claim)
		if err != nil {
			if requestErr := base.ToRequestError(err); requestErr.Execution != base.NotRun {
				// The claim may have been recorded for this attempt, but the attempt
				// was not sent and is given up, so the call did not run.
				h.Clock.Go(func() { _ = h.Tools.Finish(base.NewCtx(h.Clock, h.Bounds.Load().Recovery), t.claim, nil) })
				return nil, base.Busy(503, "claim_unconfirmed", 1, "the idempotency key could not be claimed in time")
			}
			return nil, err
		}
		if outcome.Response != nil {
			h.Counters.Add("tool_calls_replayed", 1)
			return toolResponse(outcome.Response, true), nil
		}
		if outcome.Proceed {
			break
		}
		if t.ctx.Remaining() <= pause {
			return nil, base.Indeterminate(409, "call_unfinished", "an earlier call with this key was sent and has not been answered")
		}
		h.Clock.Sleep(pause)
	}
	answer, err := t.send(map[string]bool{})
	recordCtx := base.NewCtx(h.Clock, h.Bounds.Load().Recovery)
	if err != nil {
		if base.ToRequestError(err).Execution == base.NotRun {
			if finishErr := h.Tools.Finish(recordCtx, t.claim, nil); finishErr != nil {
				h.Counters.Add("tool_claims_stuck", 1)
			}
		}
		return nil, err
	}
	if finishErr := h.Tools.Finish(recordCtx, t.claim, answer); finishErr != nil {
		h.Counters.Add("tool_answers_unrecorded", 1)
	}
	return toolResponse(answer, false), nil
}

// send tries workers until one is reached. After that no other worker is tried, except
// when the worker refused a repeatable call because it is leaving.
func (t *toolCall) send(tried map[string]bool) (*toolcall.Response, error) {
	h := t.handler
	requirements := &worker.Requirements{Pool: t.route.Pool, AffinityKey: t.claim.Program, Program: t.claim.Program, Site: t.route.Group + "/" + t.route.Site, Urgency: t.urgency,
		MaxQueue: t.route.MaxWaiting, Tried: tried, Policy: t.route.Policy}
	for {
		answer, err, tryNext := t.sendOnce(requirements)
		if !tryNext || t.ctx.Expired() {
			return answer, err
		}
		h.Counters.Add("tool_legs_not_sent", 1)
	}
}

// sendOnce sends the call to one worker. tryNext means that another worker may be
// tried after the failure.
func (t *toolCall) sendOnce(requirements *worker.Requirements) (answer *toolcall.Response, failure error, tryNext bool) {
	h := t.handler
	var cleanup base.Cleanup
	defer cleanup.Run()
	chosen, err := h.Picker.Acquire(t.ctx, requirements)
	if err != nil {
		return nil, err, false
	}
	acquiredAt := h.Clock.Now()
	cleanup.Push(func() { h.Picker.Release(chosen, requirements, h.Clock.Now()-acquiredAt) })
	if err := h.Follower.WaitForLease(t.ctx); err != nil {
		return nil, err, false
	}
	if !h.Picker.StillEligible(chosen, requirements) {
		h.Counters.Add("legs_turned_back", 1)
		return nil, base.Busy(503, "worker_leaving", 1, "the worker is leaving"), true
	}
	if t.ctx.Expired() {
		return nil, base.Decline(504, "timed_out", "the call timed out before it was sent to a worker"), false
	}
	path := t.route.Path
	if path == "" {
		path = "/" + t.route.Name
	}
	header := map[string]string{"Content-Type": "application/json"}
	if t.claim.Key != "" {
		header["Idempotency-Key"] = t.claim.Program + "/" + t.claim.Key
	}
	h.Counters.Add("tool_legs_sent", 1)
	reply, err := h.Backends.Call(t.ctx, chosen.Addr, &base.BackendRequest{Method: "POST", Path: path, Header: header, Body: t.request.Body,
		Memory: memory.WaitingLease{Lease: t.memory, Timeout: memory.AnswerWait}})
	requirements.Tried[chosen.ID] = true
	if err != nil {
		if base.WasNotSent(err) {
			h.Picker.Avoid(chosen.ID)
			return nil, base.Busy(503, "worker_unreachable", 1, "no worker could be reached"), true
		}
		h.Picker.ReportFailure(t.ctx, chosen.ID)
		return nil, base.Indeterminate(502, "worker_lost", "the worker's answer was lost"), false
	}
	cleanup.Push(reply.Close)
	if reply.Status() == 503 {
		h.Sessions.MarkWorkerLeaving(chosen)
		if t.route.Repeatable {
			return nil, base.Busy(503, "worker_leaving", 1, "the worker is leaving"), true
		}
		return nil, base.Indeterminate(502, "worker_leaving", "the worker refused the call because it is leaving, but the request had been sent"), false
	}
	if h.Picker.ObserveResponse(chosen, reply.ClosesConnection()) {
		h.Sessions.MarkWorkerLeaving(chosen)
	}
	body, err := reply.ReadBody(t.ctx.Remaining(), maxToolResponseBytes)
	if err != nil {
		if memory.IsShortage(err) && !t.memory.WasLarge() {
			return nil, memory.AnswerError(), false
		}
		h.Picker.ReportFailure(t.ctx, chosen.ID)
		return nil, base.Indeterminate(502, "worker_cut", "the worker's answer was cut short"), false
	}
	if reply.Status() < 500 {
		h.Picker.ReportSuccess(chosen.ID)
	} else if t.claim.Key == "" {
		return nil, base.Indeterminate(502, "worker_failed", "the worker failed with status %d", reply.Status()), false
	}
	contentType := reply.Header("Content-Type")
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	return &toolcall.Response{Status: reply.Status(), ContentType: contentType, Body: body}, nil, false
}

// listingPage adds the cursor to a page of a turn listing, whose body is raw JSON if it
// comes from another node.
func listingPage(request *session.Request, body any) (any, bool) {
	if request.Kind != session.KindListTurns {
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
	}{page.Turns, encodeCursor(request.Session, page.Next)}, true
}
