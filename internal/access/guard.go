package access

import (
	"sync/atomic"
	"time"

	"fordseam/internal/base"
)

// VersionedTable is a table with the version of its settings. A nil table
// allows everything.
type VersionedTable struct {
	Version uint64
	Table   *Table
}

// decisionCount counts the decisions for a pair of team and model.
type decisionCount struct{ allowed, refused atomic.Int64 }

// ruleState is what a guard decides by. It is immutable but for the counts.
type ruleState struct {
	current, next VersionedTable
	pending       bool // whether next is to replace current
	counts        []*decisionCount
}

// FeedStatus reports how recently a node's state was confirmed. feed.Follower
// implements it.
type FeedStatus interface {
	HasLease() bool
	ConfirmedWithin(within time.Duration) bool
	NextConfirmation() base.Signal
}

// Guard authorizes requests on the gateway that they reach first, before
// anything else is done for them. It goes by the rules in force. While a change
// is pending it also knows the next rules, and where both agree it answers at
// once. Where they differ, the previous rules only decide if it was freshly
// confirmed that the change has not taken effect yet. So a gateway that lags
// behind rejects such requests soon after the change, and none decides by what
// it knew before its process was suspended. Without rules a request costs one
// atomic load.
type Guard struct {
	// OnRulesChange, when set, is called at each change of the rules in force.
	OnRulesChange func(version uint64, teams int)

	clock        base.Clock
	bounds       *base.AtomicPointer[base.Bounds]
	counters     *base.Counters
	feedStatus   FeedStatus
	state        base.AtomicPointer[ruleState]
	unknownPairs decisionCount
}

// NewGuard returns a guard that allows everything until SetRules.
func NewGuard(clock base.Clock, bounds *base.AtomicPointer[base.Bounds], counters *base.Counters) *Guard {
	g := &Guard{clock: clock, bounds: bounds, counters: counters}
	g.state.Store(&ruleState{})
	return g
}

// SetFeedStatus sets the source of leases and confirmations. It is called once,
// before any request.
func (g *Guard) SetFeedStatus(status FeedStatus) { g.feedStatus = status }

// SetRules sets the rules in force and, while a change is pending, the next
// ones. It is called with each snapshot of the feed, before the lease that came
// with it takes effect.
func (g *Guard) SetRules(current VersionedTable, next *VersionedTable) {
	previous := g.state.Load()
	state := &ruleState{current: current, next: current, pending: next != nil}
	if next != nil {
		state.next = *next
	}
	if previous.current == state.current && previous.next == state.next && previous.pending == state.pending {
		return
	}
	state.counts = previous.counts
	if previous.current.Table != current.Table {
		state.counts = carryOverCounts(previous, current.Table)
	}
	g.state.Store(state)
	if current.Table.Digest() != previous.current.Table.Digest() {
		g.counters.Add("access_changes", 1)
		if g.OnRulesChange != nil {
			teams := 0
			if current.Table != nil {
				teams = len(current.Table.teams)
			}
			g.OnRulesChange(current.Version, teams)
		}
	}
}

// carryOverCounts returns the counts for a new table, which keeps those of
// pairs that it shares with the previous one.
func carryOverCounts(previous *ruleState, table *Table) []*decisionCount {
	if table == nil {
		return nil
	}
	counts := make([]*decisionCount, len(table.teams)*len(table.models))
	allocated := make([]decisionCount, len(counts))
	for i := range counts {
		counts[i] = &allocated[i]
	}
	if old := previous.current.Table; old != nil {
		for name, team := range table.teams {
			oldTeam := old.teams[name]
			for i, model := range table.models {
				if oldModel, known := old.modelIndex[model]; known && oldTeam != nil {
					counts[team.index*len(table.models)+i] = previous.counts[oldTeam.index*len(old.models)+oldModel]
				}
			}
		}
	}
	return counts
}

// HasRules reports whether any rules are in force or pending.
func (g *Guard) HasRules() bool {
	state := g.state.Load()
	return state.current.Table != nil || state.next.Table != nil
}

// Versions returns the versions of the settings whose rules are in force and of
// those that come next.
func (g *Guard) Versions() (current, next uint64) {
	state := g.state.Load()
	return state.current.Version, state.next.Version
}

// ChangePending reports whether a change of the rules is pending.
func (g *Guard) ChangePending() bool { return g.state.Load().pending }

// Authorize returns nil if a request is allowed, and otherwise an error that
// says why not. It may wait briefly for a confirmation.
func (g *Guard) Authorize(ctx *base.Ctx, request *Request) error {
	state := g.state.Load()
	if state.current.Table == nil && state.next.Table == nil {
		return nil
	}
	deadline := time.Duration(-1)
	for {
		decision := state.current.Table.lookup(request)
		needsFresh := false
		if state.pending {
			if next := state.next.Table.lookup(request); state.current.Table != nil && decision.unknownTeam && request.Host == "" {
				decision = next // the change adds this scope
			} else {
				needsFresh = next.Allowed != decision.Allowed
			}
		}
		if g.confirmed(needsFresh) {
			// The confirmation must be about the rules that decided: if they
			// changed meanwhile, decide again.
			if newest := g.state.Load(); newest != state {
				state = newest
				continue
			}
			return g.recordDecision(state, &decision)
		}
		if deadline < 0 {
			deadline = g.clock.Now() + min(g.bounds.Load().LeaseWait(), ctx.Remaining())
			g.counters.Add("access_held", 1)
		}
		next := g.feedStatus.NextConfirmation()
		if !g.confirmed(needsFresh) && !next.Wait(max(0, deadline-g.clock.Now())) && g.clock.Now() >= deadline {
			g.counters.Add("access_unconfirmed", 1)
			return base.Busy(503, "no_confirmed_settings", 1, "this node cannot confirm which models the team may call")
		}
		state = g.state.Load()
	}
}

// confirmed reports whether the node's state was confirmed recently enough to
// decide.
func (g *Guard) confirmed(needsFresh bool) bool {
	if needsFresh {
		return g.feedStatus.ConfirmedWithin(g.bounds.Load().AccessFreshness())
	}
	return g.feedStatus.HasLease()
}

// recordDecision counts a decision and returns the error for a refusal.
func (g *Guard) recordDecision(state *ruleState, decision *Decision) error {
	count := &g.unknownPairs
	if decision.countIndex >= 0 && decision.countIndex < len(state.counts) {
		count = state.counts[decision.countIndex]
	}
	if decision.Allowed {
		count.allowed.Add(1)
		return nil
	}
	count.refused.Add(1)
	var requestErr *base.RequestError
	if decision.unknownTeam {
		requestErr = base.Decline(403, "unknown_team", "the request belongs to no known team, and settings %d allow only teams to call models", state.current.Version)
	} else {
		requestErr = base.Decline(403, "model_not_allowed", "team %q may not call model %q under settings %d", decision.Team, decision.Model, state.current.Version)
	}
	requestErr.Team, requestErr.Model, requestErr.CurrentVersion = decision.Team, decision.Model, state.current.Version
	return requestErr
}

// maxNamedPairs is how many pairs of team and model have counters of their own.
const maxNamedPairs = 256

// AddCounts adds the counts of decisions by team and model, with those beyond
// maxNamedPairs summed up.
func (g *Guard) AddCounts(counters map[string]int64) {
	state := g.state.Load()
	if state.current.Table == nil {
		return
	}
	allowed, refused, named := g.unknownPairs.allowed.Load(), g.unknownPairs.refused.Load(), 0
	table := state.current.Table
	for _, name := range base.SortedKeys(table.teams) {
		for i, model := range table.models {
			count := state.counts[table.teams[name].index*len(table.models)+i]
			yes, no := count.allowed.Load(), count.refused.Load()
			if yes == 0 && no == 0 {
				continue
			}
			if named++; named > maxNamedPairs {
				allowed, refused = allowed+yes, refused+no
				continue
			}
			counters["access_allowed/"+name+"/"+model], counters["access_refused/"+name+"/"+model] = yes, no
		}
	}
	counters["access_allowed_others"], counters["access_refused_others"] = allowed, refused
}
