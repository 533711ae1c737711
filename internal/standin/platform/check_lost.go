// Rules about what must not be lost: requests around planned work, turns that go
// on from answers given whole, and service after a recovery.

package platform

import (
	"slices"
	"time"

	"fordseam/internal/base"
)

// ended tells whether a try's node ended it without a complete answer though
// it had read it whole.
func (v *view) ended(t *Try) bool {
	if t.Complete || t.GaveUp || t.Written == 0 || t.Unread || t.Node == "" || t.Ended-t.Sent >= t.Deadline {
		return false
	}
	if slices.ContainsFunc(v.arrivals[t.ID], func(a *Arrival) bool { return a.Broke }) {
		return false
	}
	return len(v.arrivals[t.ID]) > 0 || t.Ended-t.Written > v.Bounds.LossSlack
}

// quiet says that nothing unplanned went on round a try.
func (v *view) quiet(t *Try) bool {
	from := t.Sent - v.Bounds.Contact
	for _, x := range v.Troubles {
		if x.Class != "worker" && x.Class != "list" && !x.Planned() && x.From <= t.Ended && x.To >= from {
			return false
		}
	}
	return v.Closing == nil || v.Closing.From > t.Ended || v.Closing.Back+v.Bounds.Contact < from
}

func (v *view) lostRequests() {
	b := v.Bounds
	lost := map[string][2]int{} // by node: within and outside the spans of changes
	asked := map[string][2]int{}
	for _, t := range v.Tries {
		changing := slices.ContainsFunc(v.orders, func(o *Order) bool {
			return o.Config != nil && o.Fault == "" && !o.Refused() && o.Sent <= t.Ended && t.Sent <= o.Ended+b.Apply+time.Second
		})
		place := 1
		if changing {
			place = 0
		}
		counts := asked[t.Node]
		counts[place]++
		asked[t.Node] = counts
		if !v.ended(t) || !v.quiet(t) {
			continue
		}
		planned := false
		for _, x := range v.Troubles {
			if x.Machine != t.Node {
				continue
			}
			if x.Term && t.Ended >= x.From && t.Sent <= x.From+b.Grace+time.Second {
				late := slices.ContainsFunc(v.arrivals[t.ID], func(a *Arrival) bool { return a.Ended == 0 || a.Ended > x.From+b.Grace/2 })
				planned = planned || !late || t.Ended < x.From+b.Grace/2
			}
			planned = planned || x.Hup && t.Sent <= x.From+b.Apply && t.Ended >= x.From
		}
		if planned {
			v.breach("LOST", "%s (%s) was read by %s and dropped at planned work", t.ID, t.Class, t.Node)
			continue
		}
		if t.Ended-t.Sent < t.Deadline*7/10 {
			counts = lost[t.Node]
			counts[place]++
			lost[t.Node] = counts
		}
	}
	for _, node := range base.SortedKeys(lost) {
		in, all := lost[node], asked[node]
		// Without other times there is nothing to compare with.
		if in[0] > 3 && all[1] > 0 && in[0]*all[1] > 3*in[1]*all[0] {
			v.breach("LOST", "%s dropped %d of %d requests while the configuration changed, and %d of %d else", node, in[0], all[0], in[1], all[1])
		}
	}
}

func (v *view) lostTurns() {
	for _, t := range v.Tries {
		before := v.turns[t.Previous]
		if t.Previous == "" || before == nil || !t.AnsweredBySystem() || t.Status != 404 && t.Status != 410 || t.Ended >= before.Ended+before.Retain {
			continue
		}
		allowed := v.inForce(t.Sent, t.Ended, v.Bounds.Apply+v.Bounds.Stretch)
		if slices.ContainsFunc(allowed, func(o *Order) bool { return o.Config.Match(t.Host, t.Target) == nil }) {
			continue
		}
		v.breach("LOST", "turn %s got %d, and %s was answered whole %v before", t.ID, t.Status, t.Previous, (t.Sent - before.Ended).Round(time.Millisecond))
	}
	v.lostAfterClosing()
}

// lostAfterClosing looks for turns from before a closing fault that no worker
// was given a continuation of, though others were served.
func (v *view) lostAfterClosing() {
	if v.Closing == nil {
		return
	}
	until := v.Closing.Back + v.Bounds.Recovery
	continued, asked := map[string]bool{}, map[string]time.Duration{}
	served, others := 0, 0
	for _, t := range v.Tries {
		if t.Retain == 0 || t.Sent < v.Closing.Back || t.Sent > until {
			continue
		}
		before := v.turns[t.Previous]
		if before == nil || before.Ended >= v.Closing.From {
			if t.Sent >= until-4*time.Second {
				others++
				if t.Succeeded() {
					served++
				}
			}
			continue
		}
		if until >= before.Ended+before.Retain {
			continue
		}
		asked[t.Previous] = max(asked[t.Previous], t.Sent)
		continued[t.Previous] = continued[t.Previous] || len(v.runs(t.ID)) > 0
	}
	for _, previous := range base.SortedKeys(asked) {
		if !continued[previous] && asked[previous] >= until-4*time.Second && others > 0 && 5*served >= 4*others {
			v.breach("LOST", "turn %s from before the closing fault could not be continued", previous)
		}
	}
}

func (v *view) recover() {
	if v.Closing == nil {
		return
	}
	share := func(from, to time.Duration) (served, asked int) {
		for _, t := range v.Tries {
			if t.Sent >= from && t.Sent < to && !t.Probe {
				asked++
				if t.Succeeded() {
					served++
				}
			}
		}
		return served, asked
	}
	served, asked := share(0, v.Closing.From)
	after, askedAfter := share(v.Closing.Back+v.Bounds.Recovery, v.Over)
	if asked > 0 && 4*served >= asked && askedAfter > 0 && 4*after < askedAfter {
		v.breach("RECOVER", "%d of %d requests were served later than %v after the machines were back, %d of %d before", after, askedAfter, v.Bounds.Recovery, served, asked)
	}
}
