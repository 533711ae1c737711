// The checker: which rules were broken, by name, going only by what clients,
// workers, operators and the platform's list saw on their side. Each rule is a
// function of the whole record.

package platform

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fordseam/internal/base"
)

// Breach is a broken rule and what shows it.
type Breach struct {
	Rule   string
	Detail string
}

func (b Breach) String() string { return b.Rule + ": " + b.Detail }

// shownOfRule is how many breaches of one rule are listed.
const shownOfRule = 10

type view struct {
	*Record
	byID     map[string]*Try
	arrivals map[string][]*Arrival
	turns    map[string]*Try
	// newest first
	orders   []*Order
	breaches []Breach
	counts   map[string]int
}

func (v *view) breach(rule, format string, args ...any) {
	one := Breach{rule, fmt.Sprintf(format, args...)}
	if slices.Contains(v.breaches, one) {
		return
	}
	if v.counts[rule]++; v.counts[rule] <= shownOfRule {
		v.breaches = append(v.breaches, one)
	}
}

// Check lists the breaches that a record shows.
func (r *Record) Check() []Breach {
	v := r.view()
	for _, rule := range []func(){v.mixed, v.order, v.unasked, v.twice, v.refused, v.denied, v.route, v.drain, v.lostRequests, v.lostTurns,
		v.configOrders, v.configInForce, v.configBack, v.configNewRoutes, v.configRead, v.budget, v.manyTries, v.recover, v.acks} {
		rule()
	}
	for _, rule := range base.SortedKeys(v.counts) {
		if more := v.counts[rule] - shownOfRule; more > 0 {
			v.breaches = append(v.breaches, Breach{rule, fmt.Sprintf("%d more times", more)})
		}
	}
	return v.breaches
}

func (r *Record) view() *view {
	v := &view{Record: r, byID: map[string]*Try{}, arrivals: map[string][]*Arrival{}, turns: map[string]*Try{}, counts: map[string]int{}}
	v.Tries = slices.Clone(r.Tries)
	slices.SortStableFunc(v.Tries, func(a, b *Try) int { return cmp.Compare(a.Sent, b.Sent) })
	for _, t := range v.Tries {
		v.byID[t.ID] = t
		if t.Retain > 0 && t.Succeeded() {
			v.turns[t.ID] = t
		}
	}
	for _, a := range r.Arrivals {
		v.arrivals[a.ID] = append(v.arrivals[a.ID], a)
	}
	v.orders = slices.Clone(r.Orders)
	slices.SortStableFunc(v.orders, func(a, b *Order) int { return cmp.Compare(b.Generation(), a.Generation()) })
	return v
}

func (v *view) runs(id string) []*Arrival {
	return base.Filter(v.arrivals[id], func(a *Arrival) bool { return a.Ran })
}

// calm says that a machine had no trouble at all in a span; planned troubles
// count unless they are to be borne.
func (v *view) calm(machine string, from, to time.Duration, bearPlanned bool) bool {
	for _, t := range v.Troubles {
		if t.Machine == machine && t.From <= to && t.To >= from && !(bearPlanned && t.Planned()) {
			return false
		}
	}
	return true
}

// settled says that neither core nor stores had trouble in the last contact span.
func (v *view) settled(from, to time.Duration) bool {
	for _, t := range v.Troubles {
		if (t.Class == ClassCore || t.Class == ClassStorage) && !t.Hup && t.From <= to && t.To >= from-v.Bounds.Contact {
			return false
		}
	}
	for _, s := range v.Starts {
		if (s.Class == ClassCore || s.Class == ClassStorage) && s.At <= to && s.At >= from-v.Bounds.Contact {
			return false
		}
	}
	if c := v.Closing; c != nil && c.From <= to && c.Back+2*v.Bounds.Contact >= from {
		return false
	}
	return true
}

// majority says that more than half of the core had no trouble in a span.
func (v *view) majority(from, to time.Duration) bool {
	bad := map[string]bool{}
	for _, t := range v.Troubles {
		if t.Class == ClassCore && t.From <= to && t.To >= from {
			bad[t.Machine] = true
		}
	}
	if c := v.Closing; c != nil && c.From <= to && c.Back+v.Bounds.Contact >= from {
		return false
	}
	return 2*len(bad) < v.Core
}

func (v *view) alone(node string, at time.Duration) bool {
	started := at
	for _, s := range v.Starts {
		if s.Machine == node && s.At <= at {
			started = s.At
		}
	}
	return node != "" && at-started >= v.Bounds.Contact && v.calm(node, at-v.Bounds.Contact, at, false)
}

// inTouch says that rules with a time bound hold for a machine at a moment.
func (v *view) inTouch(node string, at time.Duration) bool {
	return v.alone(node, at) && v.settled(at, at)
}

// life numbers the lives of a machine's process.
func (v *view) life(machine string, at time.Duration) int {
	life := 0
	for _, s := range v.Starts {
		if s.Machine == machine && s.At <= at {
			life++
		}
	}
	return life
}
