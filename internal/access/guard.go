// The guard decides at the first gateway, before anything else is done for a
// request. It goes by the rules in force; while a change is under way it knows
// the next ones too, and where the two agree it answers at once. Where they do
// not, only a fresh confirmation that the change is not in force yet lets the
// former rules decide, so that an older gateway falls silent shortly after the
// change and none decides by what it held before a freeze. A deployment without
// rules pays one load.

package access

import (
	"sync/atomic"
	"time"

	"fordseam/internal/base"
)

// StampedTable is a table with the stamp of its settings; no table allows all.
type StampedTable struct {
	Stamp uint64
	Table *Table
}

// pair counts what was decided for a team and a model.
type pair struct{ allowed, refused atomic.Int64 }

type view struct {
	now, next StampedTable
	under     bool // a change is under way
	pairs     []*pair
}

// FeedStatus tells how lately a node's state was confirmed.
type FeedStatus interface {
	HasLease() bool
	ConfirmedWithin(within time.Duration) bool
	NextConfirmation() base.Signal
}

// Guard is a gateway's part.
type Guard struct {
	// Told, when set, hears of each change of the rules in force.
	OnChange func(stamp uint64, teams int)

	clock    base.Clock
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	follower FeedStatus
	view     base.Table[view]
	others   pair
}

func NewGuard(clock base.Clock, bounds *base.Table[base.Bounds], counters *base.Counters) *Guard {
	g := &Guard{clock: clock, bounds: bounds, counters: counters}
	g.view.Swap(&view{})
	return g
}

// SetFeedStatus names the follower whose permits the guard decides under; it is called
// once, before any request.
func (g *Guard) SetFeedStatus(follower FeedStatus) { g.follower = follower }

// SetRules takes the rules that decide and, under a change, those that come next.
// It is called with each frame of the feed before its permit counts.
func (g *Guard) SetRules(now StampedTable, next *StampedTable) {
	former := g.view.Load()
	made := &view{now: now, next: now, under: next != nil}
	if next != nil {
		made.next = *next
	}
	if former.now == made.now && former.next == made.next && former.under == made.under {
		return
	}
	made.pairs = former.pairs
	if former.now.Table != now.Table {
		made.pairs = carried(former, now.Table)
	}
	g.view.Swap(made)
	if now.Table.Digest() != former.now.Table.Digest() {
		g.counters.Add("access_changes", 1)
		if g.OnChange != nil {
			teams := 0
			if now.Table != nil {
				teams = len(now.Table.teams)
			}
			g.OnChange(now.Stamp, teams)
		}
	}
}

// carried keeps the counts of the pairs that are still there.
func carried(former *view, table *Table) []*pair {
	if table == nil {
		return nil
	}
	pairs := make([]*pair, len(table.teams)*len(table.models))
	fresh := make([]pair, len(pairs))
	for at := range pairs {
		pairs[at] = &fresh[at]
	}
	if was := former.now.Table; was != nil {
		for name, team := range table.teams {
			other := was.teams[name]
			for at, model := range table.models {
				if place, known := was.index[model]; known && other != nil {
					pairs[team.num*len(table.models)+at] = former.pairs[other.num*len(was.models)+place]
				}
			}
		}
	}
	return pairs
}

// HasRules tells whether any rules are in force or on their way.
func (g *Guard) HasRules() bool {
	held := g.view.Load()
	return held.now.Table != nil || held.next.Table != nil
}

// Stamps are of the settings whose rules decide, and of those that come next.
func (g *Guard) Stamps() (now, next uint64) {
	held := g.view.Load()
	return held.now.Stamp, held.next.Stamp
}

// ChangePending tells whether a change is under way.
func (g *Guard) ChangePending() bool { return g.view.Load().under }

// Authorize answers at once, or after a short wait for a confirmation; its error
// is the refusal.
func (g *Guard) Authorize(ctx *base.Ctx, q *Request) error {
	held := g.view.Load()
	if held.now.Table == nil && held.next.Table == nil {
		return nil
	}
	end := time.Duration(-1)
	for {
		found := held.now.Table.find(q)
		fresh := false
		if held.under {
			if next := held.next.Table.find(q); held.now.Table != nil && found.unknown && q.Host == "" {
				found = next // a place that the change brings
			} else {
				fresh = next.Allowed != found.Allowed
			}
		}
		if g.confirmed(fresh) {
			// What was decided on must have been confirmed, not something older.
			if now := g.view.Load(); now != held {
				held = now
				continue
			}
			return g.say(held, &found)
		}
		if end < 0 {
			end = g.clock.Now() + min(g.bounds.Load().Hold(), ctx.Left())
			g.counters.Add("access_held", 1)
		}
		bell := g.follower.NextConfirmation()
		if !g.confirmed(fresh) && !bell.Wait(max(0, end-g.clock.Now())) && g.clock.Now() >= end {
			g.counters.Add("access_unconfirmed", 1)
			return base.Busy(503, "no_confirmed_settings", 1, "this node cannot confirm which models the team may call")
		}
		held = g.view.Load()
	}
}

func (g *Guard) confirmed(fresh bool) bool {
	if fresh {
		return g.follower.ConfirmedWithin(g.bounds.Load().AccessFresh())
	}
	return g.follower.HasLease()
}

func (g *Guard) say(held *view, found *Decision) error {
	count := &g.others
	if found.pair >= 0 && found.pair < len(held.pairs) {
		count = held.pairs[found.pair]
	}
	if found.Allowed {
		count.allowed.Add(1)
		return nil
	}
	count.refused.Add(1)
	var v *base.Verdict
	if found.unknown {
		v = base.Decline(403, "unknown_team", "the request shows no team, and settings %d allow models to teams only", held.now.Stamp)
	} else {
		v = base.Decline(403, "model_not_allowed", "team %q may not call model %q by settings %d", found.Team, found.Model, held.now.Stamp)
	}
	v.Team, v.Model, v.Stamp = found.Team, found.Model, held.now.Stamp
	return v
}

// shownPairs bounds how many pairs of team and model are counted by name.
const shownPairs = 256

// AddCounts adds the audit's counts by team and model, the first by name and the
// others summed.
func (g *Guard) AddCounts(into map[string]int64) {
	held := g.view.Load()
	if held.now.Table == nil {
		return
	}
	allowed, refused, shown := g.others.allowed.Load(), g.others.refused.Load(), 0
	table := held.now.Table
	for _, name := range base.SortedKeys(table.teams) {
		for at, model := range table.models {
			count := held.pairs[table.teams[name].num*len(table.models)+at]
			yes, no := count.allowed.Load(), count.refused.Load()
			if yes == 0 && no == 0 {
				continue
			}
			if shown++; shown > shownPairs {
				allowed, refused = allowed+yes, refused+no
				continue
			}
			into["access_allowed/"+name+"/"+model], into["access_refused/"+name+"/"+model] = yes, no
		}
	}
	into["access_allowed_others"], into["access_refused_others"] = allowed, refused
}
