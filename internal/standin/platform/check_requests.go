package platform

import (
	"slices"
	"time"

	"fordseam/internal/base"
)

// checkMixed (MIXED) finds answers that differ from what the worker sent for that request.
func (c *checker) checkMixed() {
	for _, t := range c.Tries {
		if t.Surplus != "" {
			c.report("MIXED", "%s got %s where no request was waiting", t.ID, t.Surplus)
		}
		runs := c.executions(t.ID)
		workerBroke := slices.ContainsFunc(c.arrivalsByID[t.ID], func(a *Arrival) bool { return a.Broke })
		if t.Garbage != "" && !workerBroke {
			c.report("MIXED", "%s got bytes that are not an HTTP response: %s", t.ID, t.Garbage)
		}
		if t.Echo != "" && t.Echo != t.ID {
			c.report("MIXED", "%s got the answer of %s", t.ID, t.Echo)
		}
		if t.Status < 200 || t.Status > 299 {
			continue
		}
		if t.Seal == "" {
			c.report("MIXED", "%s got a successful answer without a worker's seal", t.ID)
			continue
		}
		if t.Encoding != "" {
			c.report("MIXED", "%s got a body with content encoding %s", t.ID, t.Encoding)
		}
		index := slices.IndexFunc(runs, func(a *Arrival) bool { return a.Seal == t.Seal })
		if index < 0 {
			c.report("MIXED", "%s got a successful answer with seal %s, which no worker gave it", t.ID, t.Seal)
			continue
		}
		run := runs[index]
		if run.Status != t.Status {
			c.report("MIXED", "%s got %d where the worker had answered %d", t.ID, t.Status, run.Status)
		}
		if t.Complete && !run.Whole && !t.Resumable {
			c.report("MIXED", "%s got a truncated answer that looks complete", t.ID)
		} else if t.Complete && t.Kind != Streaming && t.Answer != run.Answer {
			c.report("MIXED", "%s got a body that differs from the worker's", t.ID)
		}
	}
}

// checkOrder (ORDER) finds streams whose events are not those of one run in their order, and
// streams that ended as complete before the last event.
func (c *checker) checkOrder() {
	for _, t := range c.Tries {
		if t.Kind != Streaming || len(t.Events) == 0 && !t.Succeeded() {
			continue
		}
		matches, complete := false, false
		if t.Resumable {
			matches, complete = c.matchesResumedRuns(t)
		}
		for _, run := range c.executions(t.ID) {
			if len(t.Events) <= len(run.Events) && slices.EqualFunc(t.Events, run.Events[:len(t.Events)], func(a, b Event) bool { return a.ID == b.ID && a.Data == b.Data }) {
				matches = true
				complete = complete || len(t.Events) == len(run.Events)
			}
		}
		if !matches {
			c.report("ORDER", "the events of %s are not those of one run", t.ID)
		} else if t.Succeeded() && !complete {
			c.report("ORDER", "the stream of %s ended as complete before its last event", t.ID)
		}
	}
}

// matchesResumedRuns reports whether the events of a resumable stream are those of its
// runs, each continuing where the one before stopped, and whether all events of the last
// run arrived.
func (c *checker) matchesResumedRuns(t *Try) (matches, complete bool) {
	received, after := 0, t.After
	for _, run := range c.executions(t.ID) {
		if run.After != after {
			continue
		}
		matched := 0
		for matched < len(run.Events) && received < len(t.Events) && t.Events[received].ID == run.Events[matched].ID && t.Events[received].Data == run.Events[matched].Data {
			after = t.Events[received].ID
			received, matched = received+1, matched+1
		}
		complete = run.Whole && matched == len(run.Events)
	}
	return received == len(t.Events), complete
}

// checkMaxTries (BUDGET) finds tries that ran on more workers than their route allows; up to
// three of them are tolerated.
func (c *checker) checkMaxTries() {
	exceeding := []string{}
	for _, t := range c.Tries {
		if t.MaxTries > 0 && len(c.executions(t.ID)) > t.MaxTries {
			exceeding = append(exceeding, t.ID)
		}
	}
	if len(exceeding) > 3 {
		c.report("BUDGET", "%d tries ran on more workers than their route allows, for example %s", len(exceeding), exceeding[0])
	}
}

// ComposeInput returns the body that a worker receives for a new input after earlier turns:
// each turn's input and the data of its events, each event followed by a line feed, and
// then the new input.
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

// previousTurns lists the turns that a turn continues, oldest first. It isn't complete if one
// of them is unknown or has no whole answer.
func (c *checker) previousTurns(t *Try) (chain []*Try, complete bool) {
	for previous := t.Previous; previous != ""; {
		turn := c.completedTurns[previous]
		if turn == nil || len(chain) > 1000 {
			return nil, false
		}
		chain = append(chain, turn)
		previous = turn.Previous
	}
	slices.Reverse(chain)
	return chain, true
}

// checkUnasked (UNASKED) finds workers that ran a request differing from what the client sent.
func (c *checker) checkUnasked() {
	for _, id := range base.SortedKeys(c.arrivalsByID) {
		t := c.triesByID[id]
		for _, run := range c.executions(id) {
			if t == nil {
				c.report("UNASKED", "worker %s ran %q, which no client sent", run.Worker, id)
				continue
			}
			if run.Method != t.Method || run.Target != t.Target {
				c.report("UNASKED", "%s ran as %s %s instead of %s %s", id, run.Method, run.Target, t.Method, t.Target)
			}
			expected := t.Body
			if t.Retain > 0 {
				chain, complete := c.previousTurns(t)
				if !complete {
					if c.triesByID[t.Previous] == nil {
						c.report("UNASKED", "%s ran, but its previous turn %s does not exist", id, t.Previous)
					}
					continue
				}
				expected = ComposeInput(chain, t.Body)
			}
			if run.Body != base.Digest(expected) {
				c.report("UNASKED", "%s ran with a body that differs from the one that was sent", id)
			}
		}
	}
}

// checkTwice (TWICE) finds requests that ran more than once though they aren't repeatable.
func (c *checker) checkTwice() {
	for _, t := range c.Tries {
		if runs := len(c.executions(t.ID)); !t.Repeatable() && runs > 1 {
			c.report("TWICE", "%s (%s) ran %d times", t.ID, t.Class, runs)
		}
	}
}

// checkRefused (REFUSED) finds requests that ran though their status promises that they did
// not: those that must not repeat, and turns rejected over budget (402).
func (c *checker) checkRefused() {
	for _, t := range c.Tries {
		runs := c.executions(t.ID)
		if len(runs) == 0 || t.Status == 0 {
			continue
		}
		if !t.Repeatable() && PromisesNotRun(t.Status) {
			c.report("REFUSED", "%s (%s) got %d but ran on worker %s", t.ID, t.Class, t.Status, runs[0].Worker)
		}
		if t.Status == 402 && t.AnsweredBySystem() {
			c.report("REFUSED", "turn %s got 402 but ran on worker %s", t.ID, runs[0].Worker)
		}
	}
}

// checkDrain (DRAIN) finds requests that reached a worker later than the drain bound after
// the instance list showed it as draining or removed.
func (c *checker) checkDrain() {
	noticedAt := map[string]time.Duration{}
	for _, notice := range c.Notices {
		if at, ok := noticedAt[notice.Worker]; !ok || notice.At < at {
			noticedAt[notice.Worker] = notice.At
		}
	}
	for _, a := range c.Arrivals {
		at, noticed := noticedAt[a.Worker]
		t := c.triesByID[a.ID]
		if !noticed || t == nil || a.Status == 421 || a.At <= at+c.Bounds.Drain {
			continue
		}
		listFrozen := slices.ContainsFunc(c.Troubles, func(trouble *Trouble) bool {
			return trouble.Class == "list" && trouble.To >= at && trouble.From <= a.At
		})
		if !listFrozen && c.timeBoundsApply(t.Node, a.At) {
			c.report("DRAIN", "%s reached worker %s %v after the list showed it as draining or removed", a.ID, a.Worker, (a.At - at).Round(time.Millisecond))
		}
	}
}

// checkBudget (BUDGET) finds programs whose clients received more tokens than the budget and
// one turn.
func (c *checker) checkBudget() {
	type account struct{ received, budget, maxTurn int64 }
	accounts := map[string]*account{}
	for _, t := range c.Tries {
		if t.Budget == 0 {
			continue
		}
		if accounts[t.Program] == nil {
			accounts[t.Program] = &account{}
		}
		a := accounts[t.Program]
		a.received += int64(len(t.Events) * max(1, c.Stride))
		a.budget, a.maxTurn = max(a.budget, t.Budget), max(a.maxTurn, t.Most)
	}
	for _, program := range base.SortedKeys(accounts) {
		if a := accounts[program]; a.received > a.budget+a.maxTurn {
			c.report("BUDGET", "program %s received %d tokens, over its budget of %d and one turn of %d", program, a.received, a.budget, a.maxTurn)
		}
	}
}
