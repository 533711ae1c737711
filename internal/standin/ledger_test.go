// The checks themselves: a record of each breach must be caught, by its name,
// and a clean record must not.
package standin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

const pieces = 3

// world is one caller's world made up by hand: what a gateway answers to its
// one turn, and what the workers say that they did.
type world struct {
	tally  *Tally
	model  *Model
	tool   *Tool
	answer *Response
	events []Event
}

func right() []string {
	return ExpectedAnswer([]Message{{"system", "You help shoppers at till site main"}, {"user", "question 1 [p|t1.0]"}}, pieces)
}

func piece(leg string, place int, text string) Event {
	return Event{ID: fmt.Sprintf("%s#%d", leg, place), Kind: "piece", Data: base.MustMarshal(map[string]string{"text": text})}
}

func final(place int, body string) Event {
	return Event{ID: fmt.Sprintf("run/t/1#%d", place), Kind: "final", Data: []byte(body)}
}

const success = `{"verdict":"success","request":"ran","finish_reason":"stop"}`

func whole() []Event {
	events := []Event{}
	for place, text := range right() {
		events = append(events, piece("run/t/1", place+1, text))
	}
	return append(events, final(pieces+1, success))
}

// converse has a caller ask its turn, run with the model as a right one would.
func (w *world) converse(run bool) {
	clock := base.NewRealClock()
	w.model.Clock, w.tool.Clock = clock, clock
	c := &Caller{Name: "p", Clock: clock, Gateways: 1, Group: "g", Site: "main", PiecesPerTurn: pieces, TurnTimeout: time.Nanosecond, Tally: w.tally}
	c.Send = func(_ int, _, path string, _ map[string]string, body []byte) (*Response, error) {
		switch {
		case path == "/v1/programs":
			return &Response{Status: 201, Body: []byte(`{"program":"p","secret":"s"}`)}, nil
		case strings.HasSuffix(path, "/sessions"):
			return &Response{Status: 201, Body: []byte(`{"session":"p:1","secret":"s"}`)}, nil
		}
		if run {
			w.run("p", "t1.0", 10)
		}
		if w.answer != nil {
			return w.answer, nil
		}
		return &Response{Status: 200, NextEvent: func() (Event, bool) {
			if len(w.events) == 0 {
				return Event{}, false
			}
			next := w.events[0]
			w.events = w.events[1:]
			return next, true
		}}, nil
	}
	c.Start(pieces * 4)
	c.TurnTimeout = time.Minute
	whole, _ := c.askTurn("t1.0", []Message{{"system", "You help shoppers at till site main"}, {"user", "question 1 [p|t1.0]"}}, clock.Now()+time.Minute)
	if whole {
		w.tally.Count("conversations_whole")
	}
}

// run has the model put a turn out.
func (w *world) run(program, turn string, limit int) {
	w.model.Serve(base.MustMarshal(map[string]any{"messages": []Message{{"user", TurnTag(program, turn)}}, "max_tokens": limit}),
		func(int) {}, func(string) error { return nil })
}

func refusal(code, ran string) *Response {
	return &Response{Status: 503, Body: base.MustMarshal(map[string]any{"error": map[string]any{"code": code, "request": ran, "retry_after_s": 1}})}
}

func TestEachBreachIsCaught(t *testing.T) {
	rows := []struct {
		name string
		make func(w *world)
		word string
	}{
		{"a clean conversation", func(w *world) { w.events = whole(); w.converse(true) }, ""},
		{"a refused turn that did not run", func(w *world) { w.answer = refusal("overloaded", "not_run"); w.converse(false) }, ""},
		{"an answer ended early by the budget, which says so", func(w *world) {
			w.events = append(whole()[:2], final(3, `{"verdict":"success","request":"ran","finish_reason":"length"}`))
			w.converse(true)
		}, ""},
		{"a posting made twice", func(w *world) { w.tool.Serve("p/k1", nil); w.tool.Serve("p/k1", nil) }, "call p/k1 ran 2 times"},
		{"two postings", func(w *world) { w.tool.Serve("p/k1", nil); w.tool.Serve("p/k2", nil) }, ""},
		{"a refused turn that ran", func(w *world) { w.answer = refusal("overloaded", "not_run"); w.converse(true) }, "was refused (overloaded) and ran"},
		{"a turn over budget that ran", func(w *world) {
			w.events = []Event{final(1, `{"verdict":"refused","request":"not_run","error":{"code":"over_budget"}}`)}
			w.converse(true)
		}, "was refused (over_budget) and ran"},
		{"a refusal without a verdict", func(w *world) { w.answer = &Response{Status: 500, Body: []byte("oops")}; w.converse(false) }, "without a verdict"},
		{"another's answer", func(w *world) {
			w.events = whole()
			w.events[0] = piece("run/t/1", 1, "2 messages of another")
			w.converse(true)
		}, "was given as whole but reads"},
		{"a cut answer that looks whole", func(w *world) { w.events = append(whole()[:2], final(3, success)); w.converse(true) }, "was given as whole but reads"},
		{"a success the worker never gave", func(w *world) {
			w.events = append(whole()[:3], final(4, `{"verdict":"success","request":"ran"}`))
			w.converse(true)
		}, "is a success that the worker did not give"},
		{"a piece skipped", func(w *world) { w.events = append(whole()[:1], whole()[2:]...); w.converse(true) }, "skipped, repeated or spliced"},
		{"a piece repeated", func(w *world) { w.events = append(whole()[:2], whole()[1:]...); w.converse(true) }, "skipped, repeated or spliced"},
		{"pieces of two runs", func(w *world) { w.events = whole(); w.events[1] = piece("run/t/2", 2, right()[1]); w.converse(true) }, "skipped, repeated or spliced"},
		{"pieces after the end", func(w *world) { w.events = append(whole(), piece("run/t/1", 5, "more")); w.converse(true) }, "went on after its final event"},
		{"pieces of a turn called not run", func(w *world) {
			w.events = append(whole()[:1], final(2, `{"verdict":"refused","request":"not_run","error":{"code":"overloaded"}}`))
			w.converse(true)
		}, "gave pieces and was then called not run"},
		{"one token over the budget and one turn", func(w *world) {
			w.tally.Budgets["p"] = 5
			for turn := range 3 {
				w.run("p", fmt.Sprint("t", turn), 10)
			}
		}, "program p put out 9 of 5"},
		{"the budget and one turn", func(w *world) {
			w.tally.Budgets["p"] = 6
			for turn := range 3 {
				w.run("p", fmt.Sprint("t", turn), 10)
			}
		}, ""},
		{"helpers over their root's budget", func(w *world) {
			w.tally.Budgets["p"] = 5
			for turn := range 3 {
				w.run(fmt.Sprint("p.h", turn), "t", 10)
			}
		}, "program p put out 9 of 5"},
		{"history gone", func(w *world) { w.answer = refusal("previous_turn_unknown", "not_run"); w.converse(false) }, "history of"},
		{"settings ignored after the bound", func(w *world) {
			w.tally.RecordChangeAccepted("a", 1, 2, time.Second)
			w.tally.RecordServedSettings("edge", 1, "", 3100*time.Millisecond)
		}, "edge serves by stamp 1, 2 was taken 2.1s before"},
		{"settings within the bound", func(w *world) {
			w.tally.RecordChangeAccepted("a", 1, 2, time.Second)
			w.tally.RecordServedSettings("edge", 1, "", 2900*time.Millisecond)
			w.tally.RecordServedSettings("edge", 2, "a", 3100*time.Millisecond)
			w.tally.RecordStoredSettings(2, "a")
		}, ""},
		{"a node that slides back", func(w *world) {
			w.tally.RecordServedSettings("edge", 3, "", 0)
			w.tally.RecordServedSettings("edge", 2, "", 0)
		}, "edge slid back from stamp 3 to 2"},
		{"a losing change acknowledged", func(w *world) { w.tally.RecordChangeAccepted("a", 1, 2, 0); w.tally.RecordChangeAccepted("b", 1, 3, 0) }, "a losing change was acknowledged"},
		{"one stamp given twice", func(w *world) { w.tally.RecordChangeAccepted("a", 1, 2, 0); w.tally.RecordChangeAccepted("b", 1, 2, 0) }, "stamp 2 was given to a and to b"},
		{"a refused change shown", func(w *world) { w.tally.RecordChangeRefused("a"); w.tally.RecordServedSettings("edge", 2, "a", 0) }, "edge shows refused change a"},
		{"a refused change that stands", func(w *world) { w.tally.RecordChangeRefused("a"); w.tally.RecordStoredSettings(2, "a") }, "refused change a is in force"},
		{"taken, then refused", func(w *world) { w.tally.RecordChangeAccepted("a", 1, 2, 0); w.tally.RecordChangeRefused("a") }, "taken and then refused"},
		{"refused, then taken", func(w *world) { w.tally.RecordChangeRefused("a"); w.tally.RecordChangeAccepted("a", 1, 2, 0) }, "refused and then taken"},
		{"another change under a taken stamp", func(w *world) {
			w.tally.RecordChangeAccepted("a", 1, 2, 0)
			w.tally.RecordServedSettings("edge", 2, "b", 0)
		}, "shows change b as stamp 2, which is a"},
		{"acknowledged settings lost", func(w *world) { w.tally.RecordChangeAccepted("a", 1, 2, 0); w.tally.RecordStoredSettings(1, "") }, "acknowledged settings are lost"},
		{"another change stands", func(w *world) { w.tally.RecordChangeAccepted("a", 1, 2, 0); w.tally.RecordStoredSettings(2, "b") }, "stands as stamp 2, which is a"},
		{"a leaving worker given work", func(w *world) {
			w.tally.RecordWorkerLeaving("w", time.Second)
			w.tally.RecordWorkStarted("w", 4100*time.Millisecond)
		}, "w got new work 3.1s after"},
		{"a worker given work in time, and once back", func(w *world) {
			w.tally.RecordWorkerLeaving("w", time.Second)
			w.tally.RecordWorkStarted("w", 3900*time.Millisecond)
			w.tally.RecordWorkerReturned("w")
			w.tally.RecordWorkStarted("w", 9*time.Second)
		}, ""},
		{"a read request dropped by a planned stop", func(w *world) { w.tally.RecordDroppedRequests("edge", 1) }, "edge dropped 1 requests"},
		{"a planned stop", func(w *world) { w.tally.RecordDroppedRequests("edge", 0) }, ""},
		{"too long away after an outage", func(w *world) { w.tally.RecordRecovery(12100 * time.Millisecond) }, "service was back 12.1s after"},
		{"back in time", func(w *world) { w.tally.RecordRecovery(11900 * time.Millisecond) }, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			clock := base.NewRealClock()
			w := &world{tally: NewTally(), model: &Model{ID: "m", Clock: clock, PiecesPerAnswer: pieces}, tool: &Tool{ID: "a", Clock: clock}}
			row.make(w)
			w.tally.CheckWorkers([]*Model{w.model}, []*Tool{w.tool}, pieces)
			if row.word == "" {
				is.Equal(fmt.Sprint(w.tally.Breaches), "[]")
				return
			}
			is.True(strings.Contains(strings.Join(w.tally.Breaches, "\n"), row.word))
		})
	}
}
