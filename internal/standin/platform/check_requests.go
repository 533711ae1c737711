// Rules about single requests and what workers ran of them: their wholeness,
// order, authority, repeats and tries.

package platform

import (
	"slices"
	"time"

	"fordseam/internal/base"
)

func (v *view) mixed() {
	for _, t := range v.Tries {
		if t.Surplus != "" {
			v.breach("MIXED", "%s got %s where no request was waiting", t.ID, t.Surplus)
		}
		runs := v.runs(t.ID)
		broke := slices.ContainsFunc(v.arrivals[t.ID], func(a *Arrival) bool { return a.Broke })
		if t.Garbage != "" && !broke {
			v.breach("MIXED", "%s got bytes that are no answer: %s", t.ID, t.Garbage)
		}
		if t.Echo != "" && t.Echo != t.ID {
			v.breach("MIXED", "%s got the answer of %s", t.ID, t.Echo)
		}
		if t.Status < 200 || t.Status > 299 {
			continue
		}
		if t.Seal == "" {
			v.breach("MIXED", "%s got a success without a seal", t.ID)
			continue
		}
		if t.Encoding != "" {
			v.breach("MIXED", "%s got a body in encoding %s", t.ID, t.Encoding)
		}
		place := slices.IndexFunc(runs, func(a *Arrival) bool { return a.Seal == t.Seal })
		if place < 0 {
			v.breach("MIXED", "%s got a success sealed %s, which no worker gave it", t.ID, t.Seal)
			continue
		}
		run := runs[place]
		if run.Status != t.Status {
			v.breach("MIXED", "%s got %d where the worker had answered %d", t.ID, t.Status, run.Status)
		}
		if t.Complete && !run.Whole && !t.Resumable {
			v.breach("MIXED", "%s got a cut answer that looks complete", t.ID)
		} else if t.Complete && t.Kind != Streaming && t.Answer != run.Answer {
			v.breach("MIXED", "%s got a body other than the worker's", t.ID)
		}
	}
}

func (v *view) order() {
	for _, t := range v.Tries {
		if t.Kind != Streaming || len(t.Events) == 0 && !t.Succeeded() {
			continue
		}
		fits, whole := false, false
		if t.Resumable {
			fits, whole = v.continued(t)
		}
		for _, run := range v.runs(t.ID) {
			if len(t.Events) <= len(run.Events) && slices.EqualFunc(t.Events, run.Events[:len(t.Events)], func(a, b Event) bool { return a.ID == b.ID && a.Data == b.Data }) {
				fits = true
				whole = whole || len(t.Events) == len(run.Events)
			}
		}
		if !fits {
			v.breach("ORDER", "the events of %s are not those of one run", t.ID)
		} else if t.Succeeded() && !whole {
			v.breach("ORDER", "%s ended as complete before its last event", t.ID)
		}
	}
}

// continued tells whether the events of a stream that may be resumed are those of
// its runs, each from where the last one stopped, and whether the last run's are
// all there.
func (v *view) continued(t *Try) (fits, whole bool) {
	given, after := 0, t.After
	for _, run := range v.runs(t.ID) {
		if run.After != after {
			continue
		}
		took := 0
		for took < len(run.Events) && given < len(t.Events) && t.Events[given].ID == run.Events[took].ID && t.Events[given].Data == run.Events[took].Data {
			after = t.Events[given].ID
			given, took = given+1, took+1
		}
		whole = run.Whole && took == len(run.Events)
	}
	return given == len(t.Events), whole
}

// manyTries are tries that ran on more workers than their route lets them.
func (v *view) manyTries() {
	over := []string{}
	for _, t := range v.Tries {
		if t.MaxTries > 0 && len(v.runs(t.ID)) > t.MaxTries {
			over = append(over, t.ID)
		}
	}
	if len(over) > 3 {
		v.breach("BUDGET", "%d tries ran on more workers than they may, such as %s", len(over), over[0])
	}
}

// ComposeInput is what a worker receives for a new input after earlier turns: each
// input followed by the data of its events, each of these with a line feed.
func ComposeInput(chain []*Try, input []byte) []byte {
	var body []byte
	for _, turn := range chain {
		body = append(body, turn.Body...)
		for _, event := range turn.Events {
			body = append(append(body, event.Data...), '\n')
		}
	}
	return append(body, input...)
}

// chain lists the turns that a turn continues from, oldest first.
func (v *view) chain(t *Try) (chain []*Try, known bool) {
	for previous := t.Previous; previous != ""; {
		turn := v.turns[previous]
		if turn == nil || len(chain) > 1000 {
			return nil, false
		}
		chain = append(chain, turn)
		previous = turn.Previous
	}
	slices.Reverse(chain)
	return chain, true
}

func (v *view) unasked() {
	for _, id := range base.SortedKeys(v.arrivals) {
		t := v.byID[id]
		for _, run := range v.runs(id) {
			if t == nil {
				v.breach("UNASKED", "%s ran %q, which no client sent", run.Worker, id)
				continue
			}
			if run.Method != t.Method || run.Target != t.Target {
				v.breach("UNASKED", "%s ran as %s %s instead of %s %s", id, run.Method, run.Target, t.Method, t.Target)
			}
			expected := t.Body
			if t.Retain > 0 {
				chain, known := v.chain(t)
				if !known {
					if v.byID[t.Previous] == nil {
						v.breach("UNASKED", "%s ran, whose previous turn %s is no turn", id, t.Previous)
					}
					continue
				}
				expected = ComposeInput(chain, t.Body)
			}
			if run.Body != base.Digest(expected) {
				v.breach("UNASKED", "%s ran with another body than the one that was asked", id)
			}
		}
	}
}

func (v *view) twice() {
	for _, t := range v.Tries {
		if runs := len(v.runs(t.ID)); !t.Repeatable() && runs > 1 {
			v.breach("TWICE", "%s (%s) ran %d times", t.ID, t.Class, runs)
		}
	}
}

func (v *view) refused() {
	for _, t := range v.Tries {
		runs := v.runs(t.ID)
		if len(runs) == 0 || t.Status == 0 {
			continue
		}
		if !t.Repeatable() && PromisesNotRun(t.Status) {
			v.breach("REFUSED", "%s (%s) got %d and ran at %s", t.ID, t.Class, t.Status, runs[0].Worker)
		}
		if t.Status == 402 && t.AnsweredBySystem() {
			v.breach("REFUSED", "turn %s got 402 and ran at %s", t.ID, runs[0].Worker)
		}
	}
}

func (v *view) drain() {
	shown := map[string]time.Duration{}
	for _, notice := range v.Notices {
		if at, ok := shown[notice.Worker]; !ok || notice.At < at {
			shown[notice.Worker] = notice.At
		}
	}
	for _, a := range v.Arrivals {
		at, leaving := shown[a.Worker]
		t := v.byID[a.ID]
		if !leaving || t == nil || a.Status == 421 || a.At <= at+v.Bounds.Drain {
			continue
		}
		frozen := slices.ContainsFunc(v.Troubles, func(x *Trouble) bool { return x.Class == "list" && x.To >= at && x.From <= a.At })
		if !frozen && v.inTouch(t.Node, a.At) {
			v.breach("DRAIN", "%s reached %s %v after it was shown as leaving", a.ID, a.Worker, (a.At - at).Round(time.Millisecond))
		}
	}
}

func (v *view) budget() {
	type account struct{ handed, budget, most int64 }
	accounts := map[string]*account{}
	for _, t := range v.Tries {
		if t.Budget == 0 {
			continue
		}
		if accounts[t.Program] == nil {
			accounts[t.Program] = &account{}
		}
		a := accounts[t.Program]
		a.handed += int64(len(t.Events) * max(1, v.Stride))
		a.budget, a.most = max(a.budget, t.Budget), max(a.most, t.Most)
	}
	for _, program := range base.SortedKeys(accounts) {
		if a := accounts[program]; a.handed > a.budget+a.most {
			v.breach("BUDGET", "program %s was handed %d tokens of %d and one turn of %d", program, a.handed, a.budget, a.most)
		}
	}
}
