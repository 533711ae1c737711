package platform

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fordseam/internal/base"
)

// possiblyInForce lists, newest first, the configurations by which a node that keeps the
// time bounds may handle a request: the newest one acknowledged at least bound before the
// request was sent, and every later one that may have been accepted until the given time.
func (c *checker) possiblyInForce(sent, until, bound time.Duration) (allowed []*Order) {
	for _, o := range c.ordersNewestFirst {
		if o.Config == nil || o.Fault != "" || o.Refused() || o.Sent > until {
			continue
		}
		allowed = append(allowed, o)
		if o.Acked() && o.Ended+bound <= sent {
			return allowed
		}
	}
	return allowed
}

// checkDenied (DENIED) finds valid requests that the system rejected itself, while its time
// bounds applied. It tolerates 5 of them plus one in 500 tries.
func (c *checker) checkDenied() {
	denied := []string{}
	for _, t := range c.Tries {
		if !t.AnsweredBySystem() || t.Status < 300 || t.Status > 499 || t.Status == 402 || PromisesNotRun(t.Status) || !c.timeBoundsApply(t.Node, t.Sent) {
			continue
		}
		if t.Previous != "" && t.Status == 404 {
			if previousTurn := c.completedTurns[t.Previous]; previousTurn == nil || previousTurn.Ended+previousTurn.Retain < t.Ended {
				continue
			}
		}
		allowed := c.possiblyInForce(t.Sent, t.Ended, c.Bounds.Apply)
		if len(allowed) > 0 && !slices.ContainsFunc(allowed, func(o *Order) bool { return o.Config.Match(t.Host, t.Target) == nil }) {
			denied = append(denied, fmt.Sprintf("%s (%d)", t.ID, t.Status))
		}
	}
	if len(denied) > 5+len(c.Tries)/500 {
		c.report("DENIED", "%d of %d requests were valid but rejected, for example %s", len(denied), len(c.Tries), denied[0])
	}
}

// checkRoute (ROUTE) finds requests run by a service that no configuration sent so far allows.
func (c *checker) checkRoute() {
	for _, id := range base.SortedKeys(c.arrivalsByID) {
		for _, run := range c.executions(id) {
			sent := func(o *Order) bool {
				if o.Config == nil || o.Sent > run.At {
					return false
				}
				route := o.Config.Match(run.Host, run.Target)
				return route != nil && route.Allows(run.Service)
			}
			if !slices.ContainsFunc(c.ordersNewestFirst, sent) {
				c.report("ROUTE", "%s ran on worker %s of service %s, which no configuration allows", id, run.Worker, run.Service)
			}
		}
	}
}

// checkAcknowledgements (CONFIG) finds invalid configurations that were acknowledged, and
// different ones that were acknowledged on top of the same generation.
func (c *checker) checkAcknowledgements() {
	for index, o := range c.Orders {
		if o.Acked() && o.Fault != "" {
			c.report("CONFIG", "an invalid configuration was acknowledged: %s", o.Fault)
		}
		for _, earlier := range c.Orders[:index] {
			if o.Acked() && earlier.Acked() && o.Base == earlier.Base && !SameDocument(o.Raw, earlier.Raw) {
				c.report("CONFIG", "generations %d and %d were both acknowledged on top of generation %d", earlier.Generation(), o.Generation(), o.Base)
			}
		}
	}
}

// configEvidence derives from the outcome of a try which configurations its node may have
// used: those that allow the service that ran it, or those without a route for it when the
// system answered 404. It isn't conclusive for other outcomes.
func (c *checker) configEvidence(t *Try) (allowedBy func(config *Config) bool, conclusive bool) {
	if runs := c.executions(t.ID); len(runs) > 0 {
		return func(config *Config) bool {
			route := config.Match(t.Host, t.Target)
			return route != nil && route.Allows(runs[len(runs)-1].Service)
		}, true
	}
	if t.AnsweredBySystem() && t.Status == 404 && t.Previous == "" {
		return func(config *Config) bool { return config.Match(t.Host, t.Target) == nil }, true
	}
	return nil, false
}

// checkServedConfig (CONFIG) finds requests that were handled by a refused or invalid
// configuration, or by one that was replaced longer ago than the bounds allow.
func (c *checker) checkServedConfig() {
	bounds := c.Bounds
	for _, t := range c.Tries {
		allowedBy, ok := c.configEvidence(t)
		if !ok || len(c.ordersNewestFirst) == 0 {
			continue
		}
		candidates := base.Filter(c.ordersNewestFirst, func(o *Order) bool {
			return o.Config != nil && o.Fault == "" && !o.Refused() && o.Sent <= t.Ended && allowedBy(o.Config)
		})
		if len(candidates) == 0 {
			for _, o := range c.ordersNewestFirst {
				if o.Config != nil && (o.Fault != "" || o.Refused()) && o.Sent <= t.Ended && allowedBy(o.Config) {
					c.report("CONFIG", "%s was handled by %s as only generation %d allows, which was refused or is invalid (%s)", t.ID, t.Node, o.Generation(), o.Fault)
					break
				}
			}
			continue
		}
		bound, boundApplies := bounds.Apply, c.timeBoundsApply(t.Node, t.Sent)
		if !boundApplies && c.nodeStable(t.Node, t.Sent) && c.coreMajorityUndisturbed(t.Sent-bounds.Contact-bounds.Apply-bounds.Stretch, t.Sent) {
			bound, boundApplies = bounds.Apply+bounds.Stretch, true
		}
		if !boundApplies {
			continue
		}
		allowed := c.possiblyInForce(t.Sent, t.Ended, bound)
		if len(allowed) > 0 && allowed[len(allowed)-1].Acked() && !slices.ContainsFunc(allowed, func(o *Order) bool { return allowedBy(o.Config) }) {
			newestAcked := allowed[len(allowed)-1]
			c.report("CONFIG", "%s was handled by %s as only generation %d allows, %v after generation %d was acknowledged", t.ID, t.Node, candidates[0].Generation(),
				(t.Sent - newestAcked.Ended).Round(time.Millisecond), newestAcked.Generation())
		}
	}
}

// checkConfigRollback (CONFIG) finds nodes that handled a request by an older
// configuration than one they had used before, within one incarnation of the process. The
// slack is 8 times as long while the node is slowed down.
func (c *checker) checkConfigRollback() {
	type seen struct {
		generation uint64
		at         time.Duration
	}
	evidence := map[string][]seen{}
	generationRange := func(t *Try) (lowest, highest uint64, ok bool) {
		allowedBy, ok := c.configEvidence(t)
		if !ok {
			return 0, 0, false
		}
		for _, o := range c.ordersNewestFirst {
			if o.Config != nil && o.Fault == "" && !o.Refused() && o.Sent <= t.Ended && allowedBy(o.Config) {
				highest, lowest = max(highest, o.Generation()), o.Generation()
			}
		}
		return lowest, highest, highest > 0
	}
	incarnation := func(t *Try, at time.Duration) string {
		return fmt.Sprint(t.Node, " incarnation ", c.incarnation(t.Node, at))
	}
	for _, t := range c.Tries {
		if lowest, _, ok := generationRange(t); ok && len(c.executions(t.ID)) > 0 && t.Node != "" && c.incarnation(t.Node, t.Sent) == c.incarnation(t.Node, t.Ended) {
			startedAt := c.executions(t.ID)[0].Began
			evidence[incarnation(t, t.Sent)] = append(evidence[incarnation(t, t.Sent)], seen{lowest, startedAt})
		}
	}
	for key, list := range evidence {
		slices.SortStableFunc(list, func(a, b seen) int { return cmp.Compare(a.at, b.at) })
		var rising []seen
		for _, s := range list {
			if len(rising) == 0 || s.generation > rising[len(rising)-1].generation {
				rising = append(rising, s)
			}
		}
		evidence[key] = rising
	}
	for _, t := range c.Tries {
		_, highest, ok := generationRange(t)
		if !ok || t.Node == "" || c.incarnation(t.Node, t.Sent) != c.incarnation(t.Node, t.Ended) {
			continue
		}
		slack := c.Bounds.RevertSlack
		for _, trouble := range c.Troubles {
			if trouble.Machine == t.Node && trouble.Slow && trouble.From <= t.Sent && trouble.To >= t.Sent {
				slack = 8 * c.Bounds.RevertSlack
			}
		}
		for _, s := range evidence[incarnation(t, t.Sent)] {
			if s.generation > highest && t.Sent > s.at+slack {
				c.report("CONFIG", "%s went back from generation %d to %d without a restart (%s)", t.Node, s.generation, highest, t.ID)
				break
			}
		}
	}
}

// checkNewRoutes (CONFIG) compares, while the time bounds apply, the share of requests
// served on the routes of the first configuration (group 0) with that on routes added later
// (group 1), which must be at least a quarter of it. It needs 20 requests on later routes.
func (c *checker) checkNewRoutes() {
	if len(c.ordersNewestFirst) == 0 {
		return
	}
	var initial *Order
	for _, o := range c.ordersNewestFirst {
		if o.Acked() {
			initial = o
		}
	}
	if initial == nil {
		return
	}
	var sent, served [2]int
	for _, t := range c.Tries {
		allowed := c.possiblyInForce(t.Sent, t.Ended, c.Bounds.Apply)
		if len(allowed) == 0 || slices.ContainsFunc(allowed, func(o *Order) bool { return o.Config.Match(t.Host, t.Target) == nil }) ||
			!c.timeBoundsApply(t.Node, t.Sent) || !c.timeBoundsApply(t.Node, t.Ended) {
			continue
		}
		group := 0
		if initial.Config.Match(t.Host, t.Target) == nil {
			group = 1
		}
		sent[group]++
		if t.Succeeded() {
			served[group]++
		}
	}
	if sent[1] >= 20 && sent[0] > 0 && 4*served[1]*sent[0] < served[0]*sent[1] {
		c.report("CONFIG", "%d of %d requests were served on routes added later, and %d of %d on the first routes", served[1], sent[1], served[0], sent[0])
	}
}

// checkConfigReadBack (CONFIG, or LOST after a closing fault) finds a configuration read at
// the end that is older than the newest acknowledged one or differs from what was sent.
func (c *checker) checkConfigReadBack() {
	var newest *Order
	for _, o := range c.ordersNewestFirst {
		if o.Acked() && o.Fault == "" {
			newest = o
			break
		}
	}
	if newest == nil || c.Reads == nil {
		return
	}
	rule := "CONFIG"
	if c.Closing != nil {
		rule = "LOST"
	}
	received := false
	for _, read := range c.Reads {
		if read.Status != 200 {
			continue
		}
		received = true
		generation := GenerationOf(read.Raw)
		if generation < newest.Generation() {
			c.report(rule, "the configuration read back has generation %d, but generation %d was acknowledged", generation, newest.Generation())
			continue
		}
		if !slices.ContainsFunc(c.ordersNewestFirst, func(o *Order) bool {
			return o.Generation() == generation && o.Fault == "" && !o.Refused() && SameDocument(o.Raw, read.Raw)
		}) {
			c.report("CONFIG", "the configuration read back with generation %d differs from the one sent with it", generation)
		}
	}
	if !received {
		c.report("CONFIG", "the configuration could not be read back in %d calls", len(c.Reads))
	}
}

// checkAckTime (ACKS) finds valid configurations on top of the newest one that were not
// acknowledged in time while the core and the storage machines were stable. The limit grows
// by 3 ms per route.
func (c *checker) checkAckTime() {
	for _, o := range c.Orders {
		if o.Config == nil || o.Fault != "" || o.Refused() || o.Status == 412 {
			continue
		}
		limit := c.Bounds.Ack + time.Duration(3*len(o.Config.Routes))*time.Millisecond
		ended := o.Ended
		if !o.Acked() {
			ended = c.Over
		}
		if ended-o.Sent > limit && c.coreAndStorageStable(o.Sent, o.Sent+limit) {
			c.report("ACKS", "generation %d was not acknowledged within %v", o.Generation(), limit)
		}
	}
}
