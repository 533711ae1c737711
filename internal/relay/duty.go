// One core at a time keeps the roster: the owner of the feed's slot asks the
// deployment's list of workers and puts what changed into the feed, in the
// slot that makes it the holder, so that a former holder's word is fenced. The
// roster outlives its holder; while the list does not answer, it stands.

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

// rosterPart is how many workers one change of the roster speaks of: some 20 KB.
const rosterPart = 200

// Lister asks for the whole list of workers.
type Lister func(limit time.Duration) ([]Worker, error)

// RosterSyncer keeps the roster.
type RosterSyncer struct {
	Clock    base.Clock
	Bounds   *base.Table[base.Bounds]
	Counters *base.Counters
	Register *register.Client
	Follower *feed.Follower
	Lister   Lister
	// OwnsFeed tells whether this node has the duty now.
	OwnsFeed func() bool
	// Needed tells whether anyone uses the roster yet.
	Needed func() bool

	roster RosterDecoder
}

// Run asks at a third of the leave bound while the duty is held.
func (d *RosterSyncer) Run() {
	failing := false
	for !d.Follower.Closed() {
		period := d.Bounds.Load().Leave / 3
		asked := d.Clock.Now()
		if d.OwnsFeed() && d.Needed() {
			list, err := d.Lister(period)
			if err != nil {
				d.Counters.Add("roster_asks_failed", 1)
			} else {
				d.Counters.Add("roster_asks", 1)
				d.tell(list)
			}
			if failing != (err != nil) {
				failing = err != nil
				log.WithField("answers", !failing).Info("list of workers")
			}
		}
		d.Clock.Sleep(max(period/8, period-(d.Clock.Now()-asked)))
	}
}

// tell puts what the list changes into the roster, part by part, so that another
// change of the same slot goes between two parts. What a part that failed would
// have changed is found again with the next list.
func (d *RosterSyncer) tell(list []Worker) {
	now, _ := d.roster.Decode(d.Follower.Snapshot().Values)
	for _, change := range changesTo(now, list) {
		if err := ApplyRosterChange(base.NewCtx(d.Clock, d.Bounds.Load().Call()), d.Register, change); err != nil {
			d.Counters.Add("roster_changes_failed", 1)
			return
		}
		d.Counters.Add("roster_changes", 1)
	}
}

// changesTo gives the changes that make a list, in any order, of the roster;
// where it names a worker twice, the last counts. Workers that are to get no more
// requests come before new ones.
func changesTo(roster Workers, list []Worker) (changes []RosterChange) {
	if sameWorkers(roster, list) {
		return nil
	}
	next := map[string]Worker{}
	for _, one := range list {
		next[one.ID] = one
	}
	known := map[string]bool{}
	parts := rosterParts{}
	for _, one := range roster {
		known[one.ID] = true
		if now, stays := next[one.ID]; !stays {
			parts.add(one.ID, nil)
		} else if now != one {
			parts.add(one.ID, &now)
		}
	}
	for _, id := range base.SortedKeys(next) {
		if one := next[id]; !known[id] {
			parts.add(id, &one)
		}
	}
	return parts
}

// rosterParts are changes of the roster, none of more workers than a part holds.
type rosterParts []RosterChange

// add takes a worker in, or out where it is nil.
func (p *rosterParts) add(id string, worker *Worker) {
	last := len(*p) - 1
	if last < 0 || (*p)[last].workers() == rosterPart {
		*p = append(*p, RosterChange{Put: map[string]Worker{}})
		last++
	}
	part := &(*p)[last]
	if worker == nil {
		part.Remove = append(part.Remove, id)
	} else {
		part.Put[id] = *worker
	}
}

// sameWorkers tells whether a list, in any order, is the roster; where it names
// a worker twice, the last counts.
func sameWorkers(roster Workers, list []Worker) bool {
	if len(list) < len(roster) {
		return false
	}
	next := Workers(list)
	if !slices.IsSortedFunc(next, inOrder) {
		next = slices.Clone(next)
		slices.SortStableFunc(next, inOrder)
	}
	place := 0
	for at, one := range next {
		if at+1 < len(next) && next[at+1].ID == one.ID {
			continue
		}
		if place == len(roster) || roster[place] != one {
			return false
		}
		place++
	}
	return place == len(roster)
}

func inOrder(a, b Worker) int { return strings.Compare(a.ID, b.ID) }
