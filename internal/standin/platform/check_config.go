// Rules about configurations: what was served, acknowledged, refused and read
// back against what could be in force.

package platform

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fordseam/internal/base"
)

// inForce lists the configurations that a machine bound by the time limits may
// go by for a request: the newest that was acknowledged bound before it was
// sent, and every later one that may have been taken.
func (v *view) inForce(sent, until, bound time.Duration) (allowed []*Order) {
	for _, o := range v.orders {
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

func (v *view) denied() {
	denied := []string{}
	for _, t := range v.Tries {
		if !t.AnsweredBySystem() || t.Status < 300 || t.Status > 499 || t.Status == 402 || PromisesNotRun(t.Status) || !v.inTouch(t.Node, t.Sent) {
			continue
		}
		if t.Previous != "" && t.Status == 404 {
			if before := v.turns[t.Previous]; before == nil || before.Ended+before.Retain < t.Ended {
				continue
			}
		}
		allowed := v.inForce(t.Sent, t.Ended, v.Bounds.Apply)
		if len(allowed) > 0 && !slices.ContainsFunc(allowed, func(o *Order) bool { return o.Config.Match(t.Host, t.Target) == nil }) {
			denied = append(denied, fmt.Sprintf("%s (%d)", t.ID, t.Status))
		}
	}
	if len(denied) > 5+len(v.Tries)/500 {
		v.breach("DENIED", "%d of %d proper requests, such as %s", len(denied), len(v.Tries), denied[0])
	}
}

func (v *view) route() {
	for _, id := range base.SortedKeys(v.arrivals) {
		for _, run := range v.runs(id) {
			sent := func(o *Order) bool {
				if o.Config == nil || o.Sent > run.At {
					return false
				}
				route := o.Config.Match(run.Host, run.Target)
				return route != nil && route.Allows(run.Service)
			}
			if !slices.ContainsFunc(v.orders, sent) {
				v.breach("ROUTE", "%s ran at %s of %s, which no configuration allows", id, run.Worker, run.Service)
			}
		}
	}
}

func (v *view) configOrders() {
	for place, o := range v.Orders {
		if o.Acked() && o.Fault != "" {
			v.breach("CONFIG", "an invalid configuration was acknowledged: %s", o.Fault)
		}
		for _, other := range v.Orders[:place] {
			if o.Acked() && other.Acked() && o.Base == other.Base && !SameDocument(o.Raw, other.Raw) {
				v.breach("CONFIG", "%d and %d were both acknowledged on top of %d", other.Generation(), o.Generation(), o.Base)
			}
		}
	}
}

// handled tells what a try's end reveals: the service that ran it, or that its
// node knows no route.
func (v *view) handled(t *Try) (allows func(c *Config) bool, ok bool) {
	if runs := v.runs(t.ID); len(runs) > 0 {
		return func(c *Config) bool {
			route := c.Match(t.Host, t.Target)
			return route != nil && route.Allows(runs[len(runs)-1].Service)
		}, true
	}
	if t.AnsweredBySystem() && t.Status == 404 && t.Previous == "" {
		return func(c *Config) bool { return c.Match(t.Host, t.Target) == nil }, true
	}
	return nil, false
}

func (v *view) configInForce() {
	b := v.Bounds
	for _, t := range v.Tries {
		allows, ok := v.handled(t)
		if !ok || len(v.orders) == 0 {
			continue
		}
		proper := base.Filter(v.orders, func(o *Order) bool {
			return o.Config != nil && o.Fault == "" && !o.Refused() && o.Sent <= t.Ended && allows(o.Config)
		})
		if len(proper) == 0 {
			for _, o := range v.orders {
				if o.Config != nil && (o.Fault != "" || o.Refused()) && o.Sent <= t.Ended && allows(o.Config) {
					v.breach("CONFIG", "%s was handled by %s as only configuration %d allows, which was refused or is invalid (%s)", t.ID, t.Node, o.Generation(), o.Fault)
					break
				}
			}
			continue
		}
		bound, bind := b.Apply, v.inTouch(t.Node, t.Sent)
		if !bind && v.alone(t.Node, t.Sent) && v.majority(t.Sent-b.Contact-b.Apply-b.Stretch, t.Sent) {
			bound, bind = b.Apply+b.Stretch, true
		}
		if !bind {
			continue
		}
		allowed := v.inForce(t.Sent, t.Ended, bound)
		if len(allowed) > 0 && allowed[len(allowed)-1].Acked() && !slices.ContainsFunc(allowed, func(o *Order) bool { return allows(o.Config) }) {
			newest := allowed[len(allowed)-1]
			v.breach("CONFIG", "%s was handled by %s as only %d allows, %v after %d was acknowledged", t.ID, t.Node, proper[0].Generation(),
				(t.Sent - newest.Ended).Round(time.Millisecond), newest.Generation())
		}
	}
}

func (v *view) configBack() {
	type seen struct {
		generation uint64
		at         time.Duration
	}
	shown := map[string][]seen{}
	spans := func(t *Try) (lowest, highest uint64, ok bool) {
		allows, ok := v.handled(t)
		if !ok {
			return 0, 0, false
		}
		for _, o := range v.orders {
			if o.Config != nil && o.Fault == "" && !o.Refused() && o.Sent <= t.Ended && allows(o.Config) {
				highest, lowest = max(highest, o.Generation()), o.Generation()
			}
		}
		return lowest, highest, highest > 0
	}
	life := func(t *Try, at time.Duration) string { return fmt.Sprint(t.Node, " life ", v.life(t.Node, at)) }
	for _, t := range v.Tries {
		if lowest, _, ok := spans(t); ok && len(v.runs(t.ID)) > 0 && t.Node != "" && v.life(t.Node, t.Sent) == v.life(t.Node, t.Ended) {
			began := v.runs(t.ID)[0].Began
			shown[life(t, t.Sent)] = append(shown[life(t, t.Sent)], seen{lowest, began})
		}
	}
	for name, list := range shown {
		slices.SortStableFunc(list, func(a, b seen) int { return cmp.Compare(a.at, b.at) })
		var rising []seen
		for _, s := range list {
			if len(rising) == 0 || s.generation > rising[len(rising)-1].generation {
				rising = append(rising, s)
			}
		}
		shown[name] = rising
	}
	for _, t := range v.Tries {
		_, highest, ok := spans(t)
		if !ok || t.Node == "" || v.life(t.Node, t.Sent) != v.life(t.Node, t.Ended) {
			continue
		}
		slack := v.Bounds.RevertSlack
		for _, x := range v.Troubles {
			if x.Machine == t.Node && x.Slow && x.From <= t.Sent && x.To >= t.Sent {
				slack = 8 * v.Bounds.RevertSlack
			}
		}
		for _, s := range shown[life(t, t.Sent)] {
			if s.generation > highest && t.Sent > s.at+slack {
				v.breach("CONFIG", "%s went back from %d to %d within one life (%s)", t.Node, s.generation, highest, t.ID)
				break
			}
		}
	}
}

// configNewRoutes compares how requests on the first routes and on those that
// came later are served in calm times.
func (v *view) configNewRoutes() {
	if len(v.orders) == 0 {
		return
	}
	var first *Order
	for _, o := range v.orders {
		if o.Acked() {
			first = o
		}
	}
	if first == nil {
		return
	}
	var asked, served [2]int
	for _, t := range v.Tries {
		allowed := v.inForce(t.Sent, t.Ended, v.Bounds.Apply)
		if len(allowed) == 0 || slices.ContainsFunc(allowed, func(o *Order) bool { return o.Config.Match(t.Host, t.Target) == nil }) ||
			!v.inTouch(t.Node, t.Sent) || !v.inTouch(t.Node, t.Ended) {
			continue
		}
		place := 0
		if first.Config.Match(t.Host, t.Target) == nil {
			place = 1
		}
		asked[place]++
		if t.Succeeded() {
			served[place]++
		}
	}
	if asked[1] >= 20 && asked[0] > 0 && 4*served[1]*asked[0] < served[0]*asked[1] {
		v.breach("CONFIG", "requests on later routes were served %d of %d times, on the first ones %d of %d", served[1], asked[1], served[0], asked[0])
	}
}

func (v *view) configRead() {
	var newest *Order
	for _, o := range v.orders {
		if o.Acked() && o.Fault == "" {
			newest = o
			break
		}
	}
	if newest == nil || v.Reads == nil {
		return
	}
	rule := "CONFIG"
	if v.Closing != nil {
		rule = "LOST"
	}
	came := false
	for _, read := range v.Reads {
		if read.Status != 200 {
			continue
		}
		came = true
		generation := GenerationOf(read.Raw)
		if generation < newest.Generation() {
			v.breach(rule, "the configuration read back is %d, and %d was acknowledged", generation, newest.Generation())
			continue
		}
		if !slices.ContainsFunc(v.orders, func(o *Order) bool {
			return o.Generation() == generation && o.Fault == "" && !o.Refused() && SameDocument(o.Raw, read.Raw)
		}) {
			v.breach("CONFIG", "the configuration read back as %d differs from what was sent under that number", generation)
		}
	}
	if !came {
		v.breach("CONFIG", "the configuration could not be read back in %d calls", len(v.Reads))
	}
}

// acks is the gate's: a valid configuration on top of the newest one has its
// acknowledgement in time while the core is settled.
func (v *view) acks() {
	for _, o := range v.Orders {
		if o.Config == nil || o.Fault != "" || o.Refused() || o.Status == 412 {
			continue
		}
		limit := v.Bounds.Ack + time.Duration(3*len(o.Config.Routes))*time.Millisecond
		ended := o.Ended
		if !o.Acked() {
			ended = v.Over
		}
		if ended-o.Sent > limit && v.settled(o.Sent, o.Sent+limit) {
			v.breach("ACKS", "configuration %d had no acknowledgement within %v", o.Generation(), limit)
		}
	}
}
