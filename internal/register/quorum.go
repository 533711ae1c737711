// Contact with a majority of the disks. A core whose rounds get none for a
// while says so in its membership entry, and the others prefer cores that say
// nothing of the kind: it may be alive and heard by all, and still own nothing.
// This steers who takes a slot; whether it may is for epochs alone.

package register

import (
	"fmt"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// NoQuorum is the word of a core that reaches no majority of the disks.
const NoQuorum = "no_quorum"

// quorumContact is since when a core's rounds have got no majority.
type quorumContact struct {
	mu sync.Mutex
	// had is that this life reached a majority once.
	had     bool
	failing bool
	since   time.Duration
	asking  bool
}

// noteQuorum takes the end of a round that was begun at a moment.
func (o *Server) noteQuorum(reached bool, began time.Duration) {
	c := &o.contact
	before := o.WithoutQuorum()
	c.mu.Lock()
	switch {
	case reached:
		c.had, c.failing = true, false
	case !c.failing:
		c.failing, c.since = true, began
	}
	c.mu.Unlock()
	if o.WithoutQuorum() != before {
		o.view.RefreshHealth()
	}
	if !reached {
		o.seekQuorum()
	}
}

// WithoutQuorum reports whether this core's rounds have got no majority for
// longer than a message to a disk takes in a bad case. A core that has never
// reached one has most likely just started with the others, and is given the
// time in which a silent node is found.
func (o *Server) WithoutQuorum() bool {
	c := &o.contact
	c.mu.Lock()
	defer c.mu.Unlock()
	bounds := o.bounds.Load()
	grace := bounds.Beat()
	if !c.had {
		grace = bounds.Suspect()
	}
	return c.failing && o.clock.Now()-c.since >= grace
}

// seekQuorum asks the disks themselves after a round that got no majority: it may
// have been short of time, and while this core is without one nobody turns to it,
// so that no other round would tell.
func (o *Server) seekQuorum() {
	c := &o.contact
	set := o.knownSet()
	c.mu.Lock()
	begins := set != nil && c.failing && !c.asking
	c.asking = c.asking || begins
	c.mu.Unlock()
	if !begins {
		return
	}
	o.clock.Go(func() {
		reached := base.Ask(o.clock, voters(set), majority(set), o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, entry *DiskEntry) bool {
			state, err := o.disk(entry).Describe(ctx, describeBeyond(set))
			return err == nil && state.Id == entry.Id
		})
		if reached {
			o.noteQuorum(true, o.clock.Now())
		}
		c.mu.Lock()
		c.asking = false
		c.mu.Unlock()
	})
}

// ownersFor orders the live cores for a slot. Those without a majority of the
// disks are left out unless all are.
func ownersFor(view *membership.View, slot uint32) []string {
	alive := view.Available(membership.RoleCore)
	able := base.Filter(alive, func(m *membership.Member) bool { return m.Unwell != NoQuorum })
	if len(able) == 0 {
		able = alive
	}
	ids := base.Map(able, func(m *membership.Member) string { return m.Id })
	return base.Rendezvous(fmt.Sprint("slot/", slot), ids)
}
