package platform

import (
	"slices"
	"time"

	"fordseam/internal/base"
)

// droppedByNode reports whether the try's node had read it whole but closed it without a
// complete answer, and neither the client, a worker nor the deadline ended it.
func (c *checker) droppedByNode(t *Try) bool {
	if t.Complete || t.GaveUp || t.Written == 0 || t.Unread || t.Node == "" || t.Ended-t.Sent >= t.Deadline {
		return false
	}
	if slices.ContainsFunc(c.arrivalsByID[t.ID], func(a *Arrival) bool { return a.Broke }) {
		return false
	}
	return len(c.arrivalsByID[t.ID]) > 0 || t.Ended-t.Written > c.Bounds.LossSlack
}

// noUnplannedTrouble reports whether only planned troubles, and those of workers and of the
// instance list, went on during a try and the contact bound before it.
func (c *checker) noUnplannedTrouble(t *Try) bool {
	from := t.Sent - c.Bounds.Contact
	for _, trouble := range c.Troubles {
		if trouble.Class != "worker" && trouble.Class != "list" && !trouble.Planned() && trouble.From <= t.Ended && trouble.To >= from {
			return false
		}
	}
	return c.Closing == nil || c.Closing.From > t.Ended || c.Closing.Back+c.Bounds.Contact < from
}

// checkLostRequests (LOST) finds requests that a node dropped at a planned stop or at a
// reload of its settings. It also compares, for each node, the share of requests dropped
// while the configuration changed with the share at other times, which it may exceed three
// times; requests that ran for at least 7/10 of their deadline don't count here.
func (c *checker) checkLostRequests() {
	bounds := c.Bounds
	dropped := map[string][2]int{} // by node: during configuration changes, and at other times
	sent := map[string][2]int{}
	for _, t := range c.Tries {
		changing := slices.ContainsFunc(c.ordersNewestFirst, func(o *Order) bool {
			return o.Config != nil && o.Fault == "" && !o.Refused() && o.Sent <= t.Ended && t.Sent <= o.Ended+bounds.Apply+time.Second
		})
		period := 1
		if changing {
			period = 0
		}
		counts := sent[t.Node]
		counts[period]++
		sent[t.Node] = counts
		if !c.droppedByNode(t) || !c.noUnplannedTrouble(t) {
			continue
		}
		planned := false
		for _, trouble := range c.Troubles {
			if trouble.Machine != t.Node {
				continue
			}
			if trouble.Term && t.Ended >= trouble.From && t.Sent <= trouble.From+bounds.Grace+time.Second {
				workerLate := slices.ContainsFunc(c.arrivalsByID[t.ID], func(a *Arrival) bool { return a.Ended == 0 || a.Ended > trouble.From+bounds.Grace/2 })
				planned = planned || !workerLate || t.Ended < trouble.From+bounds.Grace/2
			}
			planned = planned || trouble.Hup && t.Sent <= trouble.From+bounds.Apply && t.Ended >= trouble.From
		}
		if planned {
			c.report("LOST", "%s (%s) was read by %s and dropped during planned work", t.ID, t.Class, t.Node)
			continue
		}
		if t.Ended-t.Sent < t.Deadline*7/10 {
			counts = dropped[t.Node]
			counts[period]++
			dropped[t.Node] = counts
		}
	}
	for _, node := range base.SortedKeys(dropped) {
		drops, totals := dropped[node], sent[node]
		// Without requests at other times there is nothing to compare with.
		if drops[0] > 3 && totals[1] > 0 && drops[0]*totals[1] > 3*drops[1]*totals[0] {
			c.report("LOST", "%s dropped %d of %d requests while the configuration changed, and %d of %d at other times", node, drops[0], totals[0], drops[1], totals[1])
		}
	}
}

// checkLostTurns (LOST) finds turns that were rejected as unknown (404) or gone (410) though
// the turn that they continue was answered whole and its retention time isn't over.
func (c *checker) checkLostTurns() {
	for _, t := range c.Tries {
		previousTurn := c.completedTurns[t.Previous]
		if t.Previous == "" || previousTurn == nil || !t.AnsweredBySystem() || t.Status != 404 && t.Status != 410 || t.Ended >= previousTurn.Ended+previousTurn.Retain {
			continue
		}
		allowed := c.possiblyInForce(t.Sent, t.Ended, c.Bounds.Apply+c.Bounds.Stretch)
		if slices.ContainsFunc(allowed, func(o *Order) bool { return o.Config.Match(t.Host, t.Target) == nil }) {
			continue
		}
		c.report("LOST", "turn %s got %d, but its previous turn %s was answered in full %v before", t.ID, t.Status, t.Previous, (t.Sent - previousTurn.Ended).Round(time.Millisecond))
	}
	c.checkTurnsLostAfterClosing()
}

// checkTurnsLostAfterClosing (LOST) finds retained turns from before the closing fault that
// clients tried to continue without any continuation reaching a worker, though four fifths
// of the other turns were served in the last four seconds of the recovery bound.
func (c *checker) checkTurnsLostAfterClosing() {
	if c.Closing == nil {
		return
	}
	until := c.Closing.Back + c.Bounds.Recovery
	continued, lastTried := map[string]bool{}, map[string]time.Duration{}
	otherTurnsServed, otherTurns := 0, 0
	for _, t := range c.Tries {
		if t.Retain == 0 || t.Sent < c.Closing.Back || t.Sent > until {
			continue
		}
		previousTurn := c.completedTurns[t.Previous]
		if previousTurn == nil || previousTurn.Ended >= c.Closing.From {
			if t.Sent >= until-4*time.Second {
				otherTurns++
				if t.Succeeded() {
					otherTurnsServed++
				}
			}
			continue
		}
		if until >= previousTurn.Ended+previousTurn.Retain {
			continue
		}
		lastTried[t.Previous] = max(lastTried[t.Previous], t.Sent)
		continued[t.Previous] = continued[t.Previous] || len(c.executions(t.ID)) > 0
	}
	for _, previous := range base.SortedKeys(lastTried) {
		if !continued[previous] && lastTried[previous] >= until-4*time.Second && otherTurns > 0 && 5*otherTurnsServed >= 4*otherTurns {
			c.report("LOST", "turn %s from before the closing fault could not be continued", previous)
		}
	}
}

// checkContinuations (LOST) finds retained turns that could not be continued when all
// machines were back: no try reached a worker, and none was rejected for its budget.
func (c *checker) checkContinuations() {
	for _, previous := range c.Continuations {
		turn := c.completedTurns[previous]
		if turn == nil {
			continue
		}
		tries := base.Filter(c.Tries, func(t *Try) bool { return t.Previous == previous && t.Ended < turn.Ended+turn.Retain })
		if len(tries) == 0 || slices.ContainsFunc(tries, func(t *Try) bool { return t.Status == 402 || len(c.executions(t.ID)) > 0 }) {
			continue
		}
		last := tries[len(tries)-1]
		c.report("LOST", "turn %s could not be continued from zone %s in %d tries, the last of them %v after it was answered whole, with status %d from %s", previous, last.Zone, len(tries),
			(last.Ended - turn.Ended).Round(time.Millisecond), last.Status, last.Node)
	}
}

// checkRecovery (RECOVER) compares the share of requests served after the closing fault and
// the recovery bound with the share before it: if that was at least a quarter, a quarter
// must be served again.
func (c *checker) checkRecovery() {
	if c.Closing == nil {
		return
	}
	countServed := func(from, to time.Duration) (servedBefore, askedBefore int) {
		for _, t := range c.Tries {
			if t.Sent >= from && t.Sent < to && !t.Probe {
				askedBefore++
				if t.Succeeded() {
					servedBefore++
				}
			}
		}
		return servedBefore, askedBefore
	}
	servedBefore, askedBefore := countServed(0, c.Closing.From)
	servedAfter, askedAfter := countServed(c.Closing.Back+c.Bounds.Recovery, c.Over)
	if askedBefore > 0 && 4*servedBefore >= askedBefore && askedAfter > 0 && 4*servedAfter < askedAfter {
		c.report("RECOVER", "%d of %d requests were served later than %v after the machines were back, %d of %d before", servedAfter, askedAfter, c.Bounds.Recovery, servedBefore, askedBefore)
	}
}
