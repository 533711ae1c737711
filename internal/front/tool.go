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

const toolBodyLimit = 4 << 20

func (f *Handler) planTool(r *Request, program, name string) (*plan, error) {
	key := r.Header["idempotency-key"]
	if key != "" {
		if err := checkName("Idempotency-Key", key); err != nil {
			return nil, err
		}
	}
	if len(r.Body) > 0 && !json.Valid(r.Body) {
		return nil, base.DeclineField("body", "not valid JSON")
	}
	return &plan{func(ctx *base.Ctx) (*Response, error) {
		opened, err := f.admit(ctx, r, program)
		if err != nil {
			return nil, err
		}
		route, err := f.Settings.Load().Route(opened.Group, opened.Site, name)
		if err != nil {
			return nil, err
		}
		if route.Kind != "tool" {
			return nil, base.DeclineField("route", "route %q is not for tool calls", name)
		}
		if key == "" && !route.Repeatable {
			return nil, base.DeclineField("Idempotency-Key", "route %q may not be repeated; an Idempotency-Key must be given", name)
		}
		if f.Sessions.ProgramTermination(budget.RegisterGroup(program)) != "" || f.Sessions.ProgramTermination(program) != "" {
			return nil, base.Decline(503, "program_terminating", "the program is ending")
		}
		ctx = ctx.Within(route.ToolTimeout)
		call := &toolVisit{front: f, ctx: ctx, request: r, route: route, urgency: opened.Urgency,
			claim: toolcall.Claim{Program: program, Key: key, Attempt: base.NewID(f.Clock, "c"), Digest: base.Digest(append([]byte(name+"\n"), r.Body...))}}
		if key == "" {
			return call.plain()
		}
		return call.claimed()
	}}, nil
}

type toolVisit struct {
	front   *Handler
	ctx     *base.Ctx
	request *Request
	route   *settings.Route
	urgency string
	claim   toolcall.Claim
}

// show passes a worker's whole answer on; its failure is a verdict of ours.
func show(given *toolcall.Response, replayed bool) *Response {
	if given.Status >= 500 {
		return ErrorResponse(base.Unsure(502, "worker_failed", "the worker failed with status %d", given.Status))
	}
	response := &Response{Status: given.Status, Header: map[string]string{"Content-Type": given.ContentType}, Body: given.Body}
	if replayed {
		response.Header["Idempotent-Replayed"] = "true"
	}
	return response
}

// plain is for repeatable routes without a key: a lost leg may be repeated.
func (t *toolVisit) plain() (*Response, error) {
	tried := map[string]bool{}
	for leg := 1; ; leg++ {
		given, err := t.send(tried)
		if err == nil {
			return show(given, false), nil
		}
		if v := base.FromWire(err); v.Ran == base.NotRun || leg >= t.route.MaxAttempts || t.ctx.Over() {
			return nil, err
		}
		t.front.Counters.Add("tool_legs_repeated", 1)
	}
}

// claimed carries a call out at most once, ever.
func (t *toolVisit) claimed() (*Response, error) {
	f := t.front
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
			return show(outcome.Response, true), nil
		}
		if outcome.Proceed {
			break
		}
		if t.ctx.Left() <= pause {
			return nil, base.Unsure(409, "call_unfinished", "a call with this key went out and has given no answer")
		}
		f.Clock.Sleep(pause)
	}
	given, err := t.send(map[string]bool{})
	record := base.NewCtx(f.Clock, f.Bounds.Load().Recover)
	if err != nil {
		if base.FromWire(err).Ran == base.NotRun {
			if failed := f.Tools.Finish(record, t.claim, nil); failed != nil {
				f.Counters.Add("tool_claims_stuck", 1)
			}
		}
		return nil, err
	}
	if failed := f.Tools.Finish(record, t.claim, given); failed != nil {
		f.Counters.Add("tool_answers_unrecorded", 1)
	}
	return show(given, false), nil
}

// send tries workers until one was reached; from then on there is no other.
func (t *toolVisit) send(tried map[string]bool) (*toolcall.Response, error) {
	f := t.front
	need := &worker.Requirements{Pool: t.route.Pool, AffinityKey: t.claim.Program, Program: t.claim.Program, Site: t.route.Group + "/" + t.route.Site, Urgency: t.urgency,
		MaxQueue: t.route.MaxWaiting, Tried: tried, Policy: t.route.Policy}
	for {
		given, err, another := t.sendOnce(need)
		if !another || t.ctx.Over() {
			return given, err
		}
		f.Counters.Add("tool_legs_not_sent", 1)
	}
}

func (t *toolVisit) sendOnce(need *worker.Requirements) (given *toolcall.Response, failed error, another bool) {
	f := t.front
	var cleanup base.Cleanup
	defer cleanup.Run()
	chosenWorker, err := f.Picker.Acquire(t.ctx, need)
	if err != nil {
		return nil, err, false
	}
	held := f.Clock.Now()
	cleanup.Push(func() { f.Picker.Release(chosenWorker, need, f.Clock.Now()-held) })
	if err := f.Follower.WaitForLease(t.ctx); err != nil {
		return nil, err, false
	}
	if !f.Picker.StillEligible(chosenWorker, need) {
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
	reply, err := f.Backends.Call(t.ctx, chosenWorker.Addr, &base.BackRequest{Method: "POST", Path: path, Header: header, Body: t.request.Body})
	need.Tried[chosenWorker.ID] = true
	if err != nil {
		f.Picker.Avoid(chosenWorker.ID)
		if base.WasNotSent(err) {
			return nil, base.Busy(503, "worker_unreachable", 1, "no worker could be reached"), true
		}
		return nil, base.Unsure(502, "worker_lost", "the worker's answer was lost"), false
	}
	cleanup.Push(reply.Close)
	if reply.Status() == 503 {
		f.Sessions.MarkWorkerLeaving(chosenWorker)
		if t.route.Repeatable {
			return nil, base.Busy(503, "worker_leaving", 1, "the worker is leaving"), true
		}
		return nil, base.Unsure(502, "worker_leaving", "the worker refused the call as it leaves, but bytes had gone out"), false
	}
	if f.Picker.ObserveResponse(chosenWorker, reply.Closes()) {
		f.Sessions.MarkWorkerLeaving(chosenWorker)
	}
	body, err := reply.Body(t.ctx.Left(), toolBodyLimit)
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
func showPage(v *session.Request, body any) (any, bool) {
	if v.Kind != session.KindListTurns {
		return nil, false
	}
	var page session.TurnPage
	switch held := body.(type) {
	case session.TurnPage:
		page = held
	case json.RawMessage:
		if json.Unmarshal(held, &page) != nil {
			return nil, false
		}
	}
	return struct {
		Turns []session.TurnView `json:"turns"`
		Next  string             `json:"next_cursor"`
	}{page.Turns, makeCursor(v.Session, page.Next)}, true
}
