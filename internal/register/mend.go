// A disk set that mends itself. The core that owns slot 0 looks at the storage
// machines and at the set: a blank disk is formatted and learns, a learner that
// is whole gets a vote, a disk that can never come back (its address answers
// with another disk) is dropped, a silent one is dropped once a whole learner
// can take its place, or when it has been silent for long and others are
// enough. At most one vote comes or goes with each change, so the majorities
// before and after it meet; learners come and go along with it. A frozen or cut
// off machine keeps its vote while nobody can take its place.

package register

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
)

// mending is what the owner of slot 0 has seen of the storage machines.
type mending struct {
	tolerate int
	// emptied is asked before a retirement is complete.
	emptied func(ctx *base.Ctx, disk string) (bool, error)
	// content, where there is one, is what planned changes wait for.
	content RedundancyChecker

	mu   sync.Mutex
	held hold
	seen map[string]*sighting
	// epoch and stamp are the owner's and the set's that was looked at, and
	// since when; what was seen under another epoch may be out of date.
	epoch, stamp uint64
	since        time.Duration
	// told says in words what is under way.
	told []string
}

// EnableReconcile has this core mend the disk set, so that it goes on when so many
// machines are lost with their disks at once. It is called before Run.
func (o *Server) EnableReconcile(tolerate int) {
	o.mending = &mending{tolerate: tolerate, seen: map[string]*sighting{}}
}

// SetEmptyCheck adds a condition for a retirement to be complete: that nothing is
// kept on the disk any more. It is called after Mend and before Run.
func (o *Server) SetEmptyCheck(emptied func(ctx *base.Ctx, disk string) (bool, error)) {
	o.mending.emptied = emptied
}

// ReconcileEnabled tells whether the disk set mends itself.
func (o *Server) ReconcileEnabled() bool { return o.mending != nil }

// ReconcileStatus says in words what is under way; only the owner of slot 0 knows.
func (o *Server) ReconcileStatus() []string {
	if o.mending == nil {
		return nil
	}
	o.mending.mu.Lock()
	defer o.mending.mu.Unlock()
	return slices.Clone(o.mending.told)
}

// least is how many voters must stay.
func (m *mending) least() int { return max(leastVoters, 2*m.tolerate+1) }

// forget drops what was seen, once another core sees to it.
func (m *mending) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen, m.told, m.stamp, m.epoch, m.held = map[string]*sighting{}, nil, 0, 0, hold{}
}

// diskOf is the disk of a machine that was seen.
func (m *mending) diskOf(node string) (id string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, addr := range base.SortedKeys(m.seen) {
		if state := m.seen[addr].state; state != nil && state.Node == node {
			return state.Id, true
		}
	}
	return "", false
}

// mendSet makes the next change that the set needs, if any.
func (o *Server) mendSet(found *recorded, filled map[string]int) (reached string, more bool) {
	now, view := found.disks, o.look(found)
	next := o.plan(now, view, filled, repairOnly)
	if next.set == nil && next.planned {
		next = o.plannedChange(now, view, filled)
	}
	told := next.told
	finished := false
	if next.set == nil {
		retired := o.finishRetiring(found)
		finished = retired.finished
		told = append(told, retired.told...)
	}
	o.mending.mu.Lock()
	o.mending.told = told
	o.mending.mu.Unlock()
	asked := disksAsk{Base: now.Current, Next: next.set, Wanted: next.wanted}
	switch {
	case next.set != nil:
		if o.own("disks.propose", asked) != nil {
			return "", false
		}
		o.counters.Add("disk_sets_mended", 1)
		o.counters.Add("disks_dropped", int64(next.dropped))
		return fmt.Sprint("proposed ", next.set.Stamp), true
	case next.wanted != now.TargetVoters:
		return fmt.Sprint("wanted ", next.wanted), o.own("disks.want", asked) == nil
	}
	return fmt.Sprint(told, filled), finished || view.asking || now.ChangePending()
}

// plannedChange makes a planned change once the content's copies are in place,
// and says what it waits for until then.
func (o *Server) plannedChange(now *DiskSetRecord, view *outlook, filled map[string]int) *setPlan {
	copies := o.redundancyOf(now.Current)
	allowed := anyChange
	switch {
	case copies.full():
	case copies.waited >= o.bounds.Load().Recover:
		allowed = growth
	default:
		allowed = repairOnly
	}
	next := o.plan(now, view, filled, allowed)
	if next.set == nil && !copies.full() {
		next.told = append(next.told, "the next planned change of the disk set waits: "+copies.words())
	}
	return next
}
