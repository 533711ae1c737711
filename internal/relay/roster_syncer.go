package relay

import (
	"slices"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/register"

	"github.com/apex/log"
)

// maxChangeWorkers is how many workers one change of the roster may contain; that
// is about 20 KB.
const maxChangeWorkers = 200

// Lister fetches the whole list of workers from the platform.
type Lister func(timeout time.Duration) ([]Worker, error)

// RosterSyncer copies the platform's list of workers into the roster in the feed.
//
// Only one core at a time does so, the owner of the feed's slot. Its changes go
// through that slot, so that those of a former owner are fenced. The roster
// outlives its owner, and remains unchanged while the list cannot be fetched.
type RosterSyncer struct {
	Clock    base.Clock
	Bounds   *base.AtomicPointer[base.Bounds]
	Counters *base.Counters
	Register *register.Client
	Follower *feed.Follower
	Lister   Lister
	// OwnsFeed reports whether this node owns the feed's slot now.
	OwnsFeed func() bool
	// Needed reports whether anything uses the roster yet.
	Needed func() bool

	roster RosterDecoder
}

// Run fetches the list and publishes its changes every third of the leave bound,
// while this node owns the feed. It returns when the follower is closed.
func (s *RosterSyncer) Run() {
	failing := false
	for !s.Follower.Closed() {
		period := s.Bounds.Load().Drain / 3
		startedAt := s.Clock.Now()
		if s.OwnsFeed() && s.Needed() {
			list, err := s.Lister(period)
			if err != nil {
				s.Counters.Add("roster_asks_failed", 1)
			} else {
				s.Counters.Add("roster_asks", 1)
				s.publish(list)
			}
			if failing != (err != nil) {
				failing = err != nil
				log.WithField("answers", !failing).Info("worker list availability changed")
			}
		}
		s.Clock.Sleep(max(period/8, period-(s.Clock.Now()-startedAt)))
	}
}

// publish applies the differences between the list and the roster in batches, so
// that other changes to the same slot can be made in between. A batch that fails
// is computed again from the next list.
func (s *RosterSyncer) publish(list []Worker) {
	current, _ := s.roster.Decode(s.Follower.Snapshot().Values)
	for _, change := range rosterChanges(current, list) {
		if err := ApplyRosterChange(base.NewCtx(s.Clock, s.Bounds.Load().CoreCallTimeout()), s.Register, change); err != nil {
			s.Counters.Add("roster_changes_failed", 1)
			return
		}
		s.Counters.Add("roster_changes", 1)
	}
}

// rosterChanges returns the changes that turn the roster into the list. The list
// may have any order; if it names a worker twice, the last one counts. Changes to
// known workers, removals among them, come before new workers.
func rosterChanges(roster Workers, list []Worker) (changes []RosterChange) {
	if equalWorkers(roster, list) {
		return nil
	}
	next := map[string]Worker{}
	for _, w := range list {
		next[w.ID] = w
	}
	known := map[string]bool{}
	batches := changeBatches{}
	for _, w := range roster {
		known[w.ID] = true
		if updated, listed := next[w.ID]; !listed {
			batches.add(w.ID, nil)
		} else if updated != w {
			batches.add(w.ID, &updated)
		}
	}
	for _, id := range base.SortedKeys(next) {
		if w := next[id]; !known[id] {
			batches.add(id, &w)
		}
	}
	return batches
}

// changeBatches is a list of roster changes of at most maxChangeWorkers workers
// each.
type changeBatches []RosterChange

// add adds a worker to the last batch, or its removal if worker is nil.
func (b *changeBatches) add(id string, worker *Worker) {
	last := len(*b) - 1
	if last < 0 || (*b)[last].size() == maxChangeWorkers {
		*b = append(*b, RosterChange{Put: map[string]Worker{}})
		last++
	}
	batch := &(*b)[last]
	if worker == nil {
		batch.Remove = append(batch.Remove, id)
	} else {
		batch.Put[id] = *worker
	}
}

// equalWorkers reports whether the list equals the roster. The list may have any
// order; if it names a worker twice, the last one counts.
func equalWorkers(roster Workers, list []Worker) bool {
	if len(list) < len(roster) {
		return false
	}
	sorted := Workers(list)
	if !slices.IsSortedFunc(sorted, compareWorkers) {
		sorted = slices.Clone(sorted)
		slices.SortStableFunc(sorted, compareWorkers)
	}
	matched := 0
	for i, w := range sorted {
		if i+1 < len(sorted) && sorted[i+1].ID == w.ID {
			continue
		}
		if matched == len(roster) || roster[matched] != w {
			return false
		}
		matched++
	}
	return matched == len(roster)
}

// compareWorkers orders workers by id.
func compareWorkers(a, b Worker) int { return strings.Compare(a.ID, b.ID) }
