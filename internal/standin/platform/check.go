package platform

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fordseam/internal/base"
)

// Breach is one violation of a rule, with the evidence for it.
type Breach struct {
	Rule   string
	Detail string
}

func (b Breach) String() string { return b.Rule + ": " + b.Detail }

// maxBreachesPerRule limits how many breaches of one rule are listed; the rest are counted.
const maxBreachesPerRule = 10

// checker evaluates the rules over a record, which it indexes for fast lookup.
type checker struct {
	*Record
	triesByID    map[string]*Try
	arrivalsByID map[string][]*Arrival
	// completedTurns holds the retained turns whose answer arrived whole, by id.
	completedTurns map[string]*Try
	// ordersNewestFirst is sorted by generation, highest first.
	ordersNewestFirst []*Order
	breaches          []Breach
	breachCounts      map[string]int
}

// report adds a breach unless the same one is already listed.
func (c *checker) report(rule, format string, args ...any) {
	breach := Breach{rule, fmt.Sprintf(format, args...)}
	if slices.Contains(c.breaches, breach) {
		return
	}
	if c.breachCounts[rule]++; c.breachCounts[rule] <= maxBreachesPerRule {
		c.breaches = append(c.breaches, breach)
	}
}

// Check applies all rules to the record and returns the breaches. The rules use only
// what clients, workers, operators and the instance list observed, never the internal
// state of the system under test. Each rule is a function of the whole record.
func (r *Record) Check() []Breach {
	c := r.newChecker()
	for _, rule := range []func(){c.checkMixed, c.checkOrder, c.checkUnasked, c.checkTwice, c.checkRefused, c.checkDenied, c.checkRoute, c.checkDrain, c.checkLostRequests, c.checkLostTurns, c.checkContinuations,
		c.checkAcknowledgements, c.checkServedConfig, c.checkConfigRollback, c.checkNewRoutes, c.checkConfigReadBack, c.checkBudget, c.checkMaxTries, c.checkRecovery, c.checkAckTime} {
		rule()
	}
	for _, rule := range base.SortedKeys(c.breachCounts) {
		if more := c.breachCounts[rule] - maxBreachesPerRule; more > 0 {
			c.breaches = append(c.breaches, Breach{rule, fmt.Sprintf("%d more breaches", more)})
		}
	}
	return c.breaches
}

// newChecker indexes the record; the record itself isn't changed.
func (r *Record) newChecker() *checker {
	c := &checker{Record: r, triesByID: map[string]*Try{}, arrivalsByID: map[string][]*Arrival{}, completedTurns: map[string]*Try{}, breachCounts: map[string]int{}}
	c.Tries = slices.Clone(r.Tries)
	slices.SortStableFunc(c.Tries, func(a, b *Try) int { return cmp.Compare(a.Sent, b.Sent) })
	for _, t := range c.Tries {
		c.triesByID[t.ID] = t
		if t.Retain > 0 && t.Succeeded() {
			c.completedTurns[t.ID] = t
		}
	}
	for _, a := range r.Arrivals {
		c.arrivalsByID[a.ID] = append(c.arrivalsByID[a.ID], a)
	}
	c.ordersNewestFirst = slices.Clone(r.Orders)
	slices.SortStableFunc(c.ordersNewestFirst, func(a, b *Order) int { return cmp.Compare(b.Generation(), a.Generation()) })
	return c
}

// executions returns the arrivals of a try on which a worker began to work.
func (c *checker) executions(id string) []*Arrival {
	return base.Filter(c.arrivalsByID[id], func(a *Arrival) bool { return a.Ran })
}

// undisturbed reports whether a machine had no trouble between from and to. Planned
// troubles count too, unless ignorePlanned is set.
func (c *checker) undisturbed(machine string, from, to time.Duration, ignorePlanned bool) bool {
	for _, trouble := range c.Troubles {
		if trouble.Machine == machine && trouble.From <= to && trouble.To >= from && !(ignorePlanned && trouble.Planned()) {
			return false
		}
	}
	return true
}

// coreAndStorageStable reports whether no core or storage machine had trouble or started
// between from, less the contact bound, and to, and whether the closing fault is at least
// two contact bounds past. Reloads of settings (Hup) don't count.
func (c *checker) coreAndStorageStable(from, to time.Duration) bool {
	for _, trouble := range c.Troubles {
		if (trouble.Class == ClassCore || trouble.Class == ClassStorage) && !trouble.Hup && trouble.From <= to && trouble.To >= from-c.Bounds.Contact {
			return false
		}
	}
	for _, start := range c.Starts {
		if (start.Class == ClassCore || start.Class == ClassStorage) && start.At <= to && start.At >= from-c.Bounds.Contact {
			return false
		}
	}
	if closing := c.Closing; closing != nil && closing.From <= to && closing.Back+2*c.Bounds.Contact >= from {
		return false
	}
	return true
}

// coreMajorityUndisturbed reports whether more than half of the core machines had no
// trouble between from and to.
func (c *checker) coreMajorityUndisturbed(from, to time.Duration) bool {
	disturbed := map[string]bool{}
	for _, trouble := range c.Troubles {
		if trouble.Class == ClassCore && trouble.From <= to && trouble.To >= from {
			disturbed[trouble.Machine] = true
		}
	}
	if closing := c.Closing; closing != nil && closing.From <= to && closing.Back+c.Bounds.Contact >= from {
		return false
	}
	return 2*len(disturbed) < c.Core
}

// nodeStable reports whether a node has been up and undisturbed for at least the contact
// bound at the given time.
func (c *checker) nodeStable(node string, at time.Duration) bool {
	started := at
	for _, start := range c.Starts {
		if start.Machine == node && start.At <= at {
			started = start.At
		}
	}
	return node != "" && at-started >= c.Bounds.Contact && c.undisturbed(node, at-c.Bounds.Contact, at, false)
}

// timeBoundsApply reports whether a node must keep the rules with a time bound at the
// given time: it, the core and the storage machines have all been stable.
func (c *checker) timeBoundsApply(node string, at time.Duration) bool {
	return c.nodeStable(node, at) && c.coreAndStorageStable(at, at)
}

// incarnation counts how often a machine's process was started up to the given time.
func (c *checker) incarnation(machine string, at time.Duration) int {
	count := 0
	for _, start := range c.Starts {
		if start.Machine == machine && start.At <= at {
			count++
		}
	}
	return count
}
