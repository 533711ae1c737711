// A caller holds one program's conversation as a till or a clerk's desk
// would: it names its turns, follows up on the answer before, asks again by
// the same id when it was told that the outcome is not known, and checks
// every answer against what a right model must have said to its own chain.

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

// Caller is one program's party.
type Caller struct {
	Name          string
	Clock         base.Clock
	Send          RequestFunc
	Gateways      int
	Gateway       int
	Group         string
	Site          string
	PiecesPerTurn int
	TurnTimeout   time.Duration
	Tally         *Tally
	// AfterTurn runs after each whole turn, for tests that cause failures.
	AfterTurn func(turn int)
	// SystemPrompt is the system prompt, one for all of a site unless set.
	SystemPrompt string
	// IgnoreRetryAfter callers come back at once, whatever Retry-After says.
	IgnoreRetryAfter bool
	// Route, ToolRoute and Urgency are "chat", "loyalty" and normal unless set.
	Route     string
	ToolRoute string
	Urgency   string

	// parent, when set, is the program this caller's is a helper of.
	parent  *Caller
	program string
	secret  string
	session string
	key     string
	after   int
	chain   []Message
	last    string
}

func (c *Caller) header(secret string, more map[string]string) map[string]string {
	header := map[string]string{"authorization": "Bearer " + secret}
	for name, value := range more {
		header[name] = value
	}
	return header
}

// settled asks until there is an answer that is not "come again later".
func (c *Caller) settled(method, path string, header map[string]string, body any) (*Response, *failure) {
	end := c.Clock.Now() + c.TurnTimeout/3
	for {
		answer, err := c.Send(c.Gateway, method, path, header, base.MustMarshal(body))
		var failed failure
		if err == nil && answer.Status < 400 {
			return answer, nil
		}
		if err != nil {
			c.Tally.Count("lost")
			c.Gateway = (c.Gateway + 1) % c.Gateways
			failed.Error.Ran = base.MayHaveRun
			failed.Error.Code = "connection"
		} else if json.Unmarshal(answer.Body, &failed) != nil || failed.Error.Code == "" {
			c.Tally.Breach("%s: answer %d without a verdict: %s", c.Name, answer.Status, answer.Body)
			return nil, &failed
		}
		c.Tally.Count("told_" + failed.Error.Code)
		again := err != nil || failed.Error.RetryAfter > 0 || failed.Error.Ran == base.MayHaveRun
		if !again || c.Clock.Now() > end || failed.Error.Code == "worker_failed" {
			return nil, &failed
		}
		if err == nil && answer.Status == 503 {
			c.Gateway = (c.Gateway + 1) % c.Gateways
		}
		c.Clock.Sleep(time.Duration(200+c.Clock.Int64N(300)) * time.Millisecond)
	}
}

// NewHelper is a caller for a helper of this caller's program.
func (c *Caller) NewHelper(name string) *Caller {
	helper := &Caller{Name: name, Clock: c.Clock, Send: c.Send, Gateways: c.Gateways, Gateway: c.Gateway + 1, Group: c.Group, Site: c.Site, PiecesPerTurn: c.PiecesPerTurn,
		TurnTimeout: c.TurnTimeout, Tally: c.Tally, Route: c.Route, ToolRoute: c.ToolRoute, Urgency: c.Urgency, parent: c}
	return helper
}

// Start makes the program and its session.
func (c *Caller) Start(budgetTokens int64) bool {
	asked := map[string]any{"program": c.Name, "urgency": orElse(c.Urgency, "normal")}
	var header map[string]string
	if c.parent != nil {
		asked["parent"] = c.parent.program
		header = c.header(c.parent.secret, nil)
	} else {
		asked["group"], asked["site"], asked["budget_tokens"] = c.Group, c.Site, budgetTokens
	}
	answer, failed := c.settled("POST", "/v1/programs", header, asked)
	if failed != nil {
		// The name may have been taken by a copy of this very request.
		delete(asked, "program")
		answer, failed = c.settled("POST", "/v1/programs", header, asked)
	}
	if failed != nil {
		c.Tally.Count("start_failed")
		return false
	}
	var made struct {
		Program string `json:"program"`
		Secret  string `json:"secret"`
	}
	_ = json.Unmarshal(answer.Body, &made)
	c.program, c.secret = made.Program, made.Secret
	if c.parent == nil {
		c.Tally.mu.Lock()
		c.Tally.Budgets[c.program] = budgetTokens
		c.Tally.mu.Unlock()
	}
	answer, failed = c.settled("POST", "/v1/programs/"+c.program+"/sessions", c.header(c.secret, nil), map[string]any{"route": orElse(c.Route, "chat")})
	if failed != nil {
		c.Tally.Count("start_failed")
		return false
	}
	var acquired struct {
		Session string `json:"session"`
		Secret  string `json:"secret"`
	}
	_ = json.Unmarshal(answer.Body, &acquired)
	c.session, c.key = acquired.Session, acquired.Secret
	return true
}

func orElse(given, otherwise string) string {
	if given == "" {
		return otherwise
	}
	return given
}

// RunConversation holds a conversation of turns, with a tool call after some.
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

// Session gives the path of the caller's session and its credential.
func (c *Caller) Session() (path, secret string) {
	return "/v1/programs/" + c.program + "/sessions/" + c.session, c.key
}

// RunTurn asks one turn to its end.
func (c *Caller) RunTurn(num int) bool {
	began := c.Clock.Now()
	end := began + c.TurnTimeout
	for again := 0; c.Clock.Now() < end; again++ {
		// A refused turn is not asked again under its id: it must never run.
		id := fmt.Sprintf("t%d.%d", num, again)
		asked := []Message{{"user", fmt.Sprintf("question %d %s", num, TurnTag(c.program, id))}}
		if len(c.chain) == 0 {
			asked = append([]Message{{"system", orElse(c.SystemPrompt, "You help shoppers at till site "+c.Site)}}, asked...)
		}
		c.after = 0
		whole, refused := c.askTurn(id, asked, end)
		if whole {
			c.Tally.mu.Lock()
			c.Tally.SlowestTurn = max(c.Tally.SlowestTurn, c.Clock.Now()-began)
			c.Tally.TurnTimes = append(c.Tally.TurnTimes, TurnTime{began, c.Clock.Now() - began})
			c.Tally.mu.Unlock()
			return true
		}
		if !refused {
			return false
		}
		c.comeBack()
	}
	return false
}

// comeBack waits as the last refusal said, or a little where it said nothing.
func (c *Caller) comeBack() {
	if c.after > 0 && !c.IgnoreRetryAfter {
		c.Clock.Sleep(time.Duration(c.after) * time.Second)
		return
	}
	c.Clock.Sleep(time.Duration(200+c.Clock.Int64N(300)) * time.Millisecond)
}

// askTurn asks under one id until it is answered whole or refused.
func (c *Caller) askTurn(id string, asked []Message, end time.Duration) (whole, refused bool) {
	path, secret := c.Session()
	more := map[string]string{"turn-id": id}
	if c.last != "" {
		more["previous-turn"] = c.last
	}
	began, unsure := c.Clock.Now(), false
	expected := ExpectedAnswer(append(append([]Message(nil), c.chain...), asked...), c.PiecesPerTurn)
	for c.Clock.Now() < end {
		answer, err := c.Send(c.Gateway, "POST", path+"/turns", c.header(secret, more), base.MustMarshal(map[string]any{"messages": asked, "max_output_tokens": c.PiecesPerTurn + 2}))
		if err != nil {
			c.Tally.Count("lost")
			c.Gateway = (c.Gateway + 1) % c.Gateways
			c.Clock.Sleep(200 * time.Millisecond)
			unsure = true
			continue
		}
		if answer.Status != 200 {
			var failed failure
			_ = json.Unmarshal(answer.Body, &failed)
			c.Tally.Count("told_" + failed.Error.Code)
			switch {
			case failed.Error.Code == "previous_turn_unknown" || failed.Error.Code == "history_gone" || failed.Error.Code == "session_over" || failed.Error.Code == "unknown_session":
				c.Tally.Breach("%s: history of %s gone: %s", c.Name, c.last, failed.Error.Code)
				return false, false
			case failed.Error.Ran == base.NotRun:
				c.after = failed.Error.RetryAfter
				if unsure && gatewayWords[failed.Error.Code] {
					// A gateway that knows nothing of the turn speaks of this request
					// alone; after an unknown outcome only the owner's word counts.
					c.Gateway = (c.Gateway + 1) % c.Gateways
					break
				}
				c.refuse(id, failed.Error.Code, began)
				if answer.Status == 503 {
					c.Gateway = (c.Gateway + 1) % c.Gateways
				}
				return false, failed.Error.RetryAfter > 0 || answer.Status == 503 || answer.Status == 409
			case failed.Error.Ran == "":
				c.Tally.Breach("%s: status %d without a verdict: %s", c.Name, answer.Status, answer.Body)
				return false, false
			}
			unsure, c.after = true, failed.Error.RetryAfter
			c.comeBack()
			continue
		}
		verdict, said := c.readTurn(id, answer, expected)
		switch verdict {
		case "success":
			c.chain = append(append(c.chain, asked...), Message{"assistant", said})
			c.last = id
			c.Tally.Count("turns_whole")
			return true, false
		case "refused":
			c.refuse(id, "in its stream", began)
			return false, true
		case "over_budget":
			c.refuse(id, "over_budget", began)
			c.Tally.Count("over_budget")
			return false, false
		}
		unsure = true
		c.Tally.Count("turns_" + verdict)
		if verdict == "dropped" {
			c.Gateway = (c.Gateway + 1) % c.Gateways
		}
		c.comeBack()
	}
	c.Tally.Count("patience_over")
	return false, false
}

var gatewayWords = map[string]bool{"no_confirmed_settings": true, "model_not_allowed": true, "no_settings": true, "owner_unreachable": true, "control_unreachable": true,
	"outcome_unknown": true, "slot_not_ready": true, "draining": true}

func (c *Caller) refuse(id, code string, began time.Duration) {
	c.Tally.mu.Lock()
	c.Tally.RefusedTurns[c.program+"|"+id] = code
	c.Tally.RefusalTimes = append(c.Tally.RefusalTimes, TurnTime{began, c.Clock.Now() - began})
	c.Tally.mu.Unlock()
	c.Tally.Count("turns_refused")
}

// readTurn reads a stream to its end and checks every piece.
func (c *Caller) readTurn(id string, answer *Response, expected []string) (verdict, said string) {
	pieces, leg := []string{}, ""
	for {
		event, ok := answer.NextEvent()
		if !ok {
			return "dropped", ""
		}
		eventLeg, place, _ := strings.Cut(event.ID, "#")
		at, _ := strconv.Atoi(place)
		if event.Kind == "piece" {
			var data struct {
				Text string `json:"text"`
			}
			_ = json.Unmarshal(event.Data, &data)
			if leg == "" {
				leg = eventLeg
			}
			if eventLeg != leg || at != len(pieces)+1 {
				c.Tally.Breach("%s: turn %s skipped, repeated or spliced: piece %s after %d of %s", c.Name, id, event.ID, len(pieces), leg)
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
			c.Tally.Breach("%s: turn %s has a final event that cannot be read", c.Name, id)
			return "malformed", ""
		}
		// Only an answer that says so may end before its time, by the budget.
		whole := slices.Equal(pieces, expected) || final.Finish == "length" && len(pieces) < len(expected) && slices.Equal(pieces, expected[:len(pieces)])
		if final.Verdict == "success" && !whole {
			c.Tally.Breach("%s: turn %s was given as whole but reads %q and not %q", c.Name, id, pieces, expected)
		}
		if final.Verdict == "success" && final.Finish == "" {
			c.Tally.Breach("%s: turn %s is a success that the worker did not give", c.Name, id)
		}
		if final.Ran == base.NotRun && len(pieces) > 0 {
			c.Tally.Breach("%s: turn %s gave pieces and was then called not run", c.Name, id)
		}
		if _, more := answer.NextEvent(); more {
			c.Tally.Breach("%s: turn %s went on after its final event", c.Name, id)
		}
		c.after = final.Error.RetryAfter
		c.Tally.Count("final_" + final.Verdict + "_" + final.Error.Code)
		if final.Error.Code == "previous_turn_unknown" {
			c.Tally.Breach("%s: history of %s gone", c.Name, c.last)
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

// CallTool makes one call that must not run twice, and asks again by its key
// until the outcome is known.
func (c *Caller) CallTool(num int) {
	key := fmt.Sprintf("k%d", num)
	c.Tally.mu.Lock()
	c.Tally.ToolKeys[c.program+"/"+key] = true
	c.Tally.mu.Unlock()
	_, failed := c.settled("POST", "/v1/programs/"+c.program+"/tools/"+orElse(c.ToolRoute, "loyalty"), c.header(c.secret, map[string]string{"idempotency-key": key}), map[string]int{"points": num})
	switch {
	case failed == nil:
		c.Tally.Count("tools_done")
	case failed.Error.Ran == base.MayHaveRun:
		c.Tally.Count("tools_unsure")
	default:
		c.Tally.Count("tools_refused")
	}
}
