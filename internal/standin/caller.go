package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
)

// Caller is a client that holds the conversation of one program. It names its
// turns and refers to the previous one, repeats a turn under the same ID if the
// outcome is unknown, and compares each answer with the one that a correct model
// gives to the caller's history.
type Caller struct {
	Name          string
	Clock         base.Clock
	Send          RequestFunc
	Gateways      int // number of gateways
	Gateway       int // index of the gateway in use; it moves to the next one after a failure
	Group         string
	Site          string
	PiecesPerTurn int
	TurnTimeout   time.Duration // for a turn with its retries; any other call has a third of it
	Tally         *Tally
	// AfterTurn, if set, is called after each completed turn: tests use it to inject
	// faults and pauses.
	AfterTurn func(turn int)
	// SystemPrompt is by default the same for all callers of a site.
	SystemPrompt string
	// IgnoreRetryAfter makes the caller retry after a short random pause, whatever
	// Retry-After says.
	IgnoreRetryAfter bool
	// Route, ToolRoute and Urgency default to "chat", "loyalty" and "normal".
	Route     string
	ToolRoute string
	Urgency   string
	// KeylessTools makes tool calls carry no idempotency key, as repeatable routes allow.
	KeylessTools bool

	// parent is set if the caller's program is a helper of the parent's program.
	parent        *Caller
	programID     string
	programSecret string
	sessionID     string
	sessionSecret string
	retryAfter    int // seconds, from the latest refusal; 0 if it had none
	history       []Message
	lastTurn      string // ID of the latest completed turn
}

// authHeader returns the extra header fields with the authorization added.
func (c *Caller) authHeader(secret string, extra map[string]string) map[string]string {
	header := map[string]string{"authorization": "Bearer " + secret}
	for name, value := range extra {
		header[name] = value
	}
	return header
}

// sendWithRetry sends a request until it succeeds, fails for good or runs out of
// time. It retries if the connection failed, the response has a Retry-After or
// the request may have run; an error of the worker is not retried. Exactly one
// of the results is nil.
func (c *Caller) sendWithRetry(method, path string, header map[string]string, body any) (*Response, *errorResponse) {
	deadline := c.Clock.Now() + c.TurnTimeout/3
	for {
		response, err := c.Send(c.Gateway, method, path, header, base.MustMarshal(body))
		var errResponse errorResponse
		if err == nil && response.Status < 400 {
			return response, nil
		}
		if err != nil {
			c.Tally.Count("lost")
			c.Gateway = (c.Gateway + 1) % c.Gateways
			errResponse.Error.Ran = base.MayHaveRun
			errResponse.Error.Code = "connection"
		} else if json.Unmarshal(response.Body, &errResponse) != nil || errResponse.Error.Code == "" {
			c.Tally.Breach("%s: response with status %d has no error code: %s", c.Name, response.Status, response.Body)
			return nil, &errResponse
		}
		c.Tally.Count("told_" + errResponse.Error.Code)
		retry := err != nil || errResponse.Error.RetryAfter > 0 || errResponse.Error.Ran == base.MayHaveRun
		if !retry || c.Clock.Now() > deadline || errResponse.Error.Code == "worker_failed" {
			return nil, &errResponse
		}
		if err == nil && response.Status == 503 {
			c.Gateway = (c.Gateway + 1) % c.Gateways
		}
		c.Clock.Sleep(time.Duration(200+c.Clock.Int64N(300)) * time.Millisecond)
	}
}

// NewHelper returns a caller for a helper of this caller's program.
func (c *Caller) NewHelper(name string) *Caller {
	helper := &Caller{Name: name, Clock: c.Clock, Send: c.Send, Gateways: c.Gateways, Gateway: c.Gateway + 1, Group: c.Group, Site: c.Site, PiecesPerTurn: c.PiecesPerTurn,
		TurnTimeout: c.TurnTimeout, Tally: c.Tally, Route: c.Route, ToolRoute: c.ToolRoute, Urgency: c.Urgency, parent: c}
	return helper
}

// Start creates the program and its session, and reports whether it could.
func (c *Caller) Start(budgetTokens int64) bool {
	request := map[string]any{"program": c.Name, "urgency": valueOrDefault(c.Urgency, "normal")}
	var header map[string]string
	if c.parent != nil {
		request["parent"] = c.parent.programID
		header = c.authHeader(c.parent.programSecret, nil)
	} else {
		request["group"], request["site"], request["budget_tokens"] = c.Group, c.Site, budgetTokens
	}
	response, errResponse := c.sendWithRetry("POST", "/v1/programs", header, request)
	if errResponse != nil {
		// The name may be in use because an earlier copy of this request was
		// carried out although its response was lost.
		delete(request, "program")
		response, errResponse = c.sendWithRetry("POST", "/v1/programs", header, request)
	}
	if errResponse != nil {
		c.Tally.Count("start_failed")
		return false
	}
	var created struct {
		Program string `json:"program"`
		Secret  string `json:"secret"`
	}
	_ = json.Unmarshal(response.Body, &created)
	c.programID, c.programSecret = created.Program, created.Secret
	if c.parent == nil {
		c.Tally.mu.Lock()
		c.Tally.Budgets[c.programID] = budgetTokens
		c.Tally.mu.Unlock()
	}
	response, errResponse = c.sendWithRetry("POST", "/v1/programs/"+c.programID+"/sessions", c.authHeader(c.programSecret, nil), map[string]any{"route": valueOrDefault(c.Route, "chat")})
	if errResponse != nil {
		c.Tally.Count("start_failed")
		return false
	}
	var opened struct {
		Session string `json:"session"`
		Secret  string `json:"secret"`
	}
	_ = json.Unmarshal(response.Body, &opened)
	c.sessionID, c.sessionSecret = opened.Session, opened.Secret
	return true
}

func valueOrDefault(value, defaultValue string) string {
	if value == "" {
		return defaultValue
	}
	return value
}

// RunConversation runs the given number of turns. If tools is set, it makes a tool
// call after every other turn.
func (c *Caller) RunConversation(turns int, tools bool) {
	for turn := 1; turn <= turns; turn++ {
		if !c.RunTurn(turn) {
			c.Tally.Count("conversations_broken")
			return
		}
		if c.AfterTurn != nil {
			c.AfterTurn(turn)
		}
		if tools && turn%2 == 1 {
			c.CallTool(turn)
		}
	}
	c.Tally.Count("conversations_whole")
}

// Session returns the path of the caller's session and its secret.
func (c *Caller) Session() (path, secret string) {
	return "/v1/programs/" + c.programID + "/sessions/" + c.sessionID, c.sessionSecret
}

// RunTurn sends a turn until it is completed, fails for good or the caller's time
// for a turn is over, and reports whether it was completed.
func (c *Caller) RunTurn(turn int) bool {
	start := c.Clock.Now()
	deadline := start + c.TurnTimeout
	for attempt := 0; c.Clock.Now() < deadline; attempt++ {
		// A refused turn must never run, so each attempt after a refusal has a new
		// turn ID.
		id := fmt.Sprintf("t%d.%d", turn, attempt)
		messages := []Message{{"user", fmt.Sprintf("question %d %s", turn, TurnTag(c.programID, id))}}
		if len(c.history) == 0 {
			messages = append([]Message{{"system", valueOrDefault(c.SystemPrompt, "You help shoppers at till site "+c.Site)}}, messages...)
		}
		c.retryAfter = 0
		complete, refused := c.sendTurn(id, messages, deadline)
		if complete {
			c.Tally.mu.Lock()
			c.Tally.SlowestTurn = max(c.Tally.SlowestTurn, c.Clock.Now()-start)
			c.Tally.TurnTimes = append(c.Tally.TurnTimes, TurnTime{start, c.Clock.Now() - start})
			c.Tally.mu.Unlock()
			return true
		}
		if !refused {
			return false
		}
		c.waitBeforeRetry()
	}
	return false
}

// waitBeforeRetry sleeps as long as the latest refusal asked for with Retry-After,
// or 200 to 500 ms if it had none.
func (c *Caller) waitBeforeRetry() {
	if c.retryAfter > 0 && !c.IgnoreRetryAfter {
		c.Clock.Sleep(time.Duration(c.retryAfter) * time.Second)
		return
	}
	c.Clock.Sleep(time.Duration(200+c.Clock.Int64N(300)) * time.Millisecond)
}

// sendTurn sends a turn under one turn ID until it is completed, refused or its
// deadline has passed. It sets refused only if the turn may be sent again under
// a new ID.
func (c *Caller) sendTurn(id string, messages []Message, deadline time.Duration) (complete, refused bool) {
	path, secret := c.Session()
	extraHeader := map[string]string{"turn-id": id}
	if c.lastTurn != "" {
		extraHeader["previous-turn"] = c.lastTurn
	}
	start, outcomeUnknown := c.Clock.Now(), false
	expected := ExpectedAnswer(append(append([]Message(nil), c.history...), messages...), c.PiecesPerTurn)
	for c.Clock.Now() < deadline {
		response, err := c.Send(c.Gateway, "POST", path+"/turns", c.authHeader(secret, extraHeader), base.MustMarshal(map[string]any{"messages": messages, "max_output_tokens": c.PiecesPerTurn + 2}))
		if err != nil {
			c.Tally.Count("lost")
			c.Gateway = (c.Gateway + 1) % c.Gateways
			c.Clock.Sleep(200 * time.Millisecond)
			outcomeUnknown = true
			continue
		}
		if response.Status != 200 {
			var errResponse errorResponse
			_ = json.Unmarshal(response.Body, &errResponse)
			c.Tally.Count("told_" + errResponse.Error.Code)
			switch {
			case errResponse.Error.Code == "previous_turn_unknown" || errResponse.Error.Code == "history_gone" || errResponse.Error.Code == "session_over" || errResponse.Error.Code == "unknown_session":
				c.Tally.Breach("%s: history of turn %q is gone: %s", c.Name, c.lastTurn, errResponse.Error.Code)
				return false, false
			case errResponse.Error.Ran == base.NotRun:
				c.retryAfter = errResponse.Error.RetryAfter
				if outcomeUnknown && gatewayRefusalCodes[errResponse.Error.Code] {
					// The gateway refused this request without asking the turn's owner.
					// An earlier attempt may have run: only the owner knows whether it did.
					c.Gateway = (c.Gateway + 1) % c.Gateways
					break
				}
				c.recordRefusal(id, errResponse.Error.Code, start)
				if response.Status == 503 {
					c.Gateway = (c.Gateway + 1) % c.Gateways
				}
				return false, errResponse.Error.RetryAfter > 0 || response.Status == 503 || response.Status == 409
			case errResponse.Error.Ran == "":
				c.Tally.Breach("%s: response with status %d has no execution state: %s", c.Name, response.Status, response.Body)
				return false, false
			}
			outcomeUnknown, c.retryAfter = true, errResponse.Error.RetryAfter
			c.waitBeforeRetry()
			continue
		}
		verdict, text := c.readTurnStream(id, response, expected)
		switch verdict {
		case "success":
			c.history = append(append(c.history, messages...), Message{"assistant", text})
			c.lastTurn = id
			c.Tally.Count("turns_whole")
			return true, false
		case "refused":
			c.recordRefusal(id, "in its stream", start)
			return false, true
		case "over_budget":
			c.recordRefusal(id, "over_budget", start)
			c.Tally.Count("over_budget")
			return false, false
		}
		outcomeUnknown = true
		c.Tally.Count("turns_" + verdict)
		if verdict == "dropped" {
			c.Gateway = (c.Gateway + 1) % c.Gateways
		}
		c.waitBeforeRetry()
	}
	c.Tally.Count("patience_over")
	return false, false
}

// gatewayRefusalCodes are the errors with which a gateway refuses a request that
// it has not passed to the owner of the turn. They say nothing of earlier attempts.
var gatewayRefusalCodes = map[string]bool{"no_confirmed_settings": true, "model_not_allowed": true, "no_settings": true, "owner_unreachable": true, "control_unreachable": true,
	"outcome_unknown": true, "slot_not_ready": true, "draining": true}

// recordRefusal records a turn that was reported as not run: it must never run.
func (c *Caller) recordRefusal(id, code string, start time.Duration) {
	c.Tally.mu.Lock()
	c.Tally.RefusedTurns[c.programID+"|"+id] = code
	c.Tally.RefusalTimes = append(c.Tally.RefusalTimes, TurnTime{start, c.Clock.Now() - start})
	c.Tally.mu.Unlock()
	c.Tally.Count("turns_refused")
}

// readTurnStream reads the stream of a turn to its end and checks each event.
// verdict is that of the final event, except "dropped" if the stream ended
// without one, "malformed" if it could not be decoded, "over_budget" for the
// error of this code, and "refused" for any other turn that did not run.
func (c *Caller) readTurnStream(id string, response *Response, expected []string) (verdict, text string) {
	pieces, run := []string{}, ""
	for {
		event, ok := response.NextEvent()
		if !ok {
			return "dropped", ""
		}
		eventRun, position, _ := strings.Cut(event.ID, "#")
		number, _ := strconv.Atoi(position)
		if event.Kind == "piece" {
			var data struct {
				Text string `json:"text"`
			}
			_ = json.Unmarshal(event.Data, &data)
			if run == "" {
				run = eventRun
			}
			if eventRun != run || number != len(pieces)+1 {
				c.Tally.Breach("%s: turn %s has pieces skipped, repeated or mixed in from another run: got %s after %d pieces of run %s", c.Name, id, event.ID, len(pieces), run)
			}
			pieces = append(pieces, data.Text)
			continue
		}
		var final struct {
			Verdict string         `json:"verdict"`
			Ran     base.Execution `json:"request"`
			Finish  string         `json:"finish_reason"`
			Error   struct {
				Code       string `json:"code"`
				RetryAfter int    `json:"retry_after_s"`
			} `json:"error"`
		}
		if json.Unmarshal(event.Data, &final) != nil {
			c.Tally.Breach("%s: turn %s has a final event that cannot be decoded", c.Name, id)
			return "malformed", ""
		}
		// An answer may be shorter than expected only if its finish reason is the
		// token limit.
		matches := slices.Equal(pieces, expected) || final.Finish == "length" && len(pieces) < len(expected) && slices.Equal(pieces, expected[:len(pieces)])
		if final.Verdict == "success" && !matches {
			c.Tally.Breach("%s: turn %s was reported complete but reads %q, expected %q", c.Name, id, pieces, expected)
		}
		if final.Verdict == "success" && final.Finish == "" {
			c.Tally.Breach("%s: turn %s is a success that the worker did not report: it has no finish reason", c.Name, id)
		}
		if final.Ran == base.NotRun && len(pieces) > 0 {
			c.Tally.Breach("%s: turn %s returned pieces and was then reported as not run", c.Name, id)
		}
		if _, hasMore := response.NextEvent(); hasMore {
			c.Tally.Breach("%s: turn %s has events after its final event", c.Name, id)
		}
		c.retryAfter = final.Error.RetryAfter
		c.Tally.Count("final_" + final.Verdict + "_" + final.Error.Code)
		if final.Error.Code == "previous_turn_unknown" {
			c.Tally.Breach("%s: history of turn %q is gone", c.Name, c.lastTurn)
		}
		if final.Error.Code == "over_budget" {
			return "over_budget", ""
		}
		if final.Verdict != "success" && final.Ran == base.NotRun {
			return "refused", ""
		}
		return final.Verdict, strings.Join(pieces, "")
	}
}

// CallTool makes a tool call, which must not run twice if it has an idempotency key. It retries
// with the same key until the outcome is known or its time is over.
func (c *Caller) CallTool(turn int) {
	var extra map[string]string
	if !c.KeylessTools {
		key := fmt.Sprintf("k%d", turn)
		c.Tally.mu.Lock()
		c.Tally.ToolKeys[c.programID+"/"+key] = true
		c.Tally.mu.Unlock()
		extra = map[string]string{"idempotency-key": key}
	}
	_, errResponse := c.sendWithRetry("POST", "/v1/programs/"+c.programID+"/tools/"+valueOrDefault(c.ToolRoute, "loyalty"), c.authHeader(c.programSecret, extra), map[string]int{"points": turn})
	switch {
	case errResponse == nil:
		c.Tally.Count("tools_done")
	case errResponse.Error.Ran == base.MayHaveRun:
		c.Tally.Count("tools_unsure")
	default:
		c.Tally.Count("tools_refused")
	}
}
