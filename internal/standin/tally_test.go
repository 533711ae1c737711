package standin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

const piecesPerTurn = 3

// harness runs a caller's only turn against a scripted gateway: the gateway
// returns response if set, or else streams events. model and tool are the workers
// whose records are checked.
type harness struct {
	tally    *Tally
	model    *Model
	tool     *Tool
	response *Response
	events   []Event
}

func expectedPieces() []string {
	return ExpectedAnswer([]Message{{"system", "You help shoppers at till site main"}, {"user", "question 1 [p|t1.0]"}}, piecesPerTurn)
}

func pieceEvent(run string, position int, text string) Event {
	return Event{ID: fmt.Sprintf("%s#%d", run, position), Kind: "piece", Data: base.MustMarshal(map[string]string{"text": text})}
}

func finalEvent(position int, body string) Event {
	return Event{ID: fmt.Sprintf("run/t/1#%d", position), Kind: "final", Data: []byte(body)}
}

const successResult = `{"verdict":"success","request":"ran","finish_reason":"stop"}`

func completeStream() []Event {
	events := []Event{}
	for index, text := range expectedPieces() {
		events = append(events, pieceEvent("run/t/1", index+1, text))
	}
	return append(events, finalEvent(piecesPerTurn+1, successResult))
}

// runTurn starts a caller and sends its turn. If modelRuns is set, the model runs
// the turn when the gateway gets it.
func (h *harness) runTurn(modelRuns bool) {
	clock := base.NewRealClock()
	h.model.Clock, h.tool.Clock = clock, clock
	caller := &Caller{Name: "p", Clock: clock, Gateways: 1, Group: "g", Site: "main", PiecesPerTurn: piecesPerTurn, TurnTimeout: time.Nanosecond, Tally: h.tally}
	caller.Send = func(_ int, _, path string, _ map[string]string, body []byte) (*Response, error) {
		switch {
		case path == "/v1/programs":
			return &Response{Status: 201, Body: []byte(`{"program":"p","secret":"s"}`)}, nil
		case strings.HasSuffix(path, "/sessions"):
			return &Response{Status: 201, Body: []byte(`{"session":"p:1","secret":"s"}`)}, nil
		}
		if modelRuns {
			h.runOnModel("p", "t1.0", 10)
		}
		if h.response != nil {
			return h.response, nil
		}
		return &Response{Status: 200, NextEvent: func() (Event, bool) {
			if len(h.events) == 0 {
				return Event{}, false
			}
			next := h.events[0]
			h.events = h.events[1:]
			return next, true
		}}, nil
	}
	caller.Start(piecesPerTurn * 4)
	caller.TurnTimeout = time.Minute
	complete, _ := caller.sendTurn("t1.0", []Message{{"system", "You help shoppers at till site main"}, {"user", "question 1 [p|t1.0]"}}, clock.Now()+time.Minute)
	if complete {
		h.tally.Count("conversations_whole")
	}
}

// runOnModel has the model serve a turn of a program, with limit as max_tokens.
func (h *harness) runOnModel(program, turn string, maxTokens int) {
	h.model.Serve(base.MustMarshal(map[string]any{"messages": []Message{{"user", TurnTag(program, turn)}}, "max_tokens": maxTokens}),
		func(int) {}, func(string) error { return nil })
}

func refusalResponse(code, ran string) *Response {
	return &Response{Status: 503, Body: base.MustMarshal(map[string]any{"error": map[string]any{"code": code, "request": ran, "retry_after_s": 1}})}
}

// TestCheckerReportsEachBreach runs one row for each breach, which must be reported
// with its text, and rows without a breach, which must report none.
func TestCheckerReportsEachBreach(t *testing.T) {
	rows := []struct {
		name  string
		setup func(h *harness)
		want  string
	}{
		{"conversation without breach", func(h *harness) { h.events = completeStream(); h.runTurn(true) }, ""},
		{"refused turn that did not run", func(h *harness) { h.response = refusalResponse("overloaded", "not_run"); h.runTurn(false) }, ""},
		{"answer ended early by the token limit, with finish reason length", func(h *harness) {
			h.events = append(completeStream()[:2], finalEvent(3, `{"verdict":"success","request":"ran","finish_reason":"length"}`))
			h.runTurn(true)
		}, ""},
		{"tool call run twice", func(h *harness) { h.tool.Serve("p/k1", nil); h.tool.Serve("p/k1", nil) }, "tool call p/k1 ran 2 times"},
		{"two tool calls", func(h *harness) { h.tool.Serve("p/k1", nil); h.tool.Serve("p/k2", nil) }, ""},
		{"refused turn that ran", func(h *harness) { h.response = refusalResponse("overloaded", "not_run"); h.runTurn(true) }, "was refused (overloaded) and ran"},
		{"turn over budget that ran", func(h *harness) {
			h.events = []Event{finalEvent(1, `{"verdict":"refused","request":"not_run","error":{"code":"over_budget"}}`)}
			h.runTurn(true)
		}, "was refused (over_budget) and ran"},
		{"refusal without execution state", func(h *harness) { h.response = &Response{Status: 500, Body: []byte("oops")}; h.runTurn(false) }, "has no execution state"},
		{"answer to another prompt", func(h *harness) {
			h.events = completeStream()
			h.events[0] = pieceEvent("run/t/1", 1, "2 messages of another")
			h.runTurn(true)
		}, "was reported complete but reads"},
		{"truncated answer reported as complete", func(h *harness) {
			h.events = append(completeStream()[:2], finalEvent(3, successResult))
			h.runTurn(true)
		}, "was reported complete but reads"},
		{"success that the worker did not report", func(h *harness) {
			h.events = append(completeStream()[:3], finalEvent(4, `{"verdict":"success","request":"ran"}`))
			h.runTurn(true)
		}, "is a success that the worker did not report"},
		{"piece skipped", func(h *harness) { h.events = append(completeStream()[:1], completeStream()[2:]...); h.runTurn(true) }, "pieces skipped, repeated or mixed in from another run"},
		{"piece repeated", func(h *harness) { h.events = append(completeStream()[:2], completeStream()[1:]...); h.runTurn(true) }, "pieces skipped, repeated or mixed in from another run"},
		{"pieces of two runs mixed", func(h *harness) {
			h.events = completeStream()
			h.events[1] = pieceEvent("run/t/2", 2, expectedPieces()[1])
			h.runTurn(true)
		}, "pieces skipped, repeated or mixed in from another run"},
		{"pieces after the final event", func(h *harness) {
			h.events = append(completeStream(), pieceEvent("run/t/1", 5, "more"))
			h.runTurn(true)
		}, "has events after its final event"},
		{"pieces of a turn reported as not run", func(h *harness) {
			h.events = append(completeStream()[:1], finalEvent(2, `{"verdict":"refused","request":"not_run","error":{"code":"overloaded"}}`))
			h.runTurn(true)
		}, "returned pieces and was then reported as not run"},
		{"one token more than the budget plus one turn", func(h *harness) {
			h.tally.Budgets["p"] = 5
			for turn := range 3 {
				h.runOnModel("p", fmt.Sprint("t", turn), 10)
			}
		}, "program p produced 9 tokens of a budget of 5"},
		{"exactly the budget plus one turn", func(h *harness) {
			h.tally.Budgets["p"] = 6
			for turn := range 3 {
				h.runOnModel("p", fmt.Sprint("t", turn), 10)
			}
		}, ""},
		{"helpers over the budget of their root program", func(h *harness) {
			h.tally.Budgets["p"] = 5
			for turn := range 3 {
				h.runOnModel(fmt.Sprint("p.h", turn), "t", 10)
			}
		}, "program p produced 9 tokens of a budget of 5"},
		{"history is gone", func(h *harness) { h.response = refusalResponse("previous_turn_unknown", "not_run"); h.runTurn(false) }, "history of"},
		{"old settings served after the time limit", func(h *harness) {
			h.tally.RecordChangeAccepted("a", 1, 2, time.Second)
			h.tally.RecordServedSettings("edge", 1, "", 3100*time.Millisecond)
		}, "edge serves settings of stamp 1, but stamp 2 was accepted 2.1s before"},
		{"new settings served within the time limit", func(h *harness) {
			h.tally.RecordChangeAccepted("a", 1, 2, time.Second)
			h.tally.RecordServedSettings("edge", 1, "", 2900*time.Millisecond)
			h.tally.RecordServedSettings("edge", 2, "a", 3100*time.Millisecond)
			h.tally.RecordStoredSettings(2, "a")
		}, ""},
		{"node that goes back to older settings", func(h *harness) {
			h.tally.RecordServedSettings("edge", 3, "", 0)
			h.tally.RecordServedSettings("edge", 2, "", 0)
		}, "edge went back from stamp 3 to stamp 2"},
		{"losing change acknowledged", func(h *harness) {
			h.tally.RecordChangeAccepted("a", 1, 2, 0)
			h.tally.RecordChangeAccepted("b", 1, 3, 0)
		}, "a losing change was acknowledged"},
		{"stamp given to two changes", func(h *harness) {
			h.tally.RecordChangeAccepted("a", 1, 2, 0)
			h.tally.RecordChangeAccepted("b", 1, 2, 0)
		}, "stamp 2 was given to change a and to change b"},
		{"refused change served", func(h *harness) { h.tally.RecordChangeRefused("a"); h.tally.RecordServedSettings("edge", 2, "a", 0) }, "edge serves refused change a"},
		{"refused change stored", func(h *harness) { h.tally.RecordChangeRefused("a"); h.tally.RecordStoredSettings(2, "a") }, "refused change a is in force"},
		{"accepted, then refused", func(h *harness) { h.tally.RecordChangeAccepted("a", 1, 2, 0); h.tally.RecordChangeRefused("a") }, "accepted and then refused"},
		{"refused, then accepted", func(h *harness) { h.tally.RecordChangeRefused("a"); h.tally.RecordChangeAccepted("a", 1, 2, 0) }, "refused and then accepted"},
		{"another change served under an accepted stamp", func(h *harness) {
			h.tally.RecordChangeAccepted("a", 1, 2, 0)
			h.tally.RecordServedSettings("edge", 2, "b", 0)
		}, "serves change b as stamp 2, which was given to change a"},
		{"acknowledged settings lost", func(h *harness) { h.tally.RecordChangeAccepted("a", 1, 2, 0); h.tally.RecordStoredSettings(1, "") }, "acknowledged settings are lost"},
		{"another change stored under an accepted stamp", func(h *harness) { h.tally.RecordChangeAccepted("a", 1, 2, 0); h.tally.RecordStoredSettings(2, "b") }, "is stored as stamp 2, which was given to change a"},
		{"leaving worker gets new work", func(h *harness) {
			h.tally.RecordWorkerLeaving("w", time.Second)
			h.tally.RecordWorkStarted("w", 4100*time.Millisecond)
		}, "w got new work 3.1s after"},
		{"worker gets work within the time limit and after its return", func(h *harness) {
			h.tally.RecordWorkerLeaving("w", time.Second)
			h.tally.RecordWorkStarted("w", 3900*time.Millisecond)
			h.tally.RecordWorkerReturned("w")
			h.tally.RecordWorkStarted("w", 9*time.Second)
		}, ""},
		{"read request dropped by a planned stop", func(h *harness) { h.tally.RecordDroppedRequests("edge", 1) }, "edge dropped 1 requests"},
		{"planned stop without dropped requests", func(h *harness) { h.tally.RecordDroppedRequests("edge", 0) }, ""},
		{"recovery too slow after an outage", func(h *harness) { h.tally.RecordRecovery(12100 * time.Millisecond) }, "service was back 12.1s after"},
		{"recovery in time", func(h *harness) { h.tally.RecordRecovery(11900 * time.Millisecond) }, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			clock := base.NewRealClock()
			h := &harness{tally: NewTally(), model: &Model{ID: "m", Clock: clock, PiecesPerAnswer: piecesPerTurn}, tool: &Tool{ID: "a", Clock: clock}}
			row.setup(h)
			h.tally.CheckWorkers([]*Model{h.model}, []*Tool{h.tool}, piecesPerTurn)
			if row.want == "" {
				is.Equal(fmt.Sprint(h.tally.Breaches), "[]")
				return
			}
			is.True(strings.Contains(strings.Join(h.tally.Breaches, "\n"), row.want))
		})
	}
}
