// What storage machines keep beside the register has copies of its own. A
// planned change of the disk set, which nothing forces, waits until every disk
// of the set holds all that it should: a machine that leaves gives nothing up
// before its content stands elsewhere, and machines that come do not push more
// copies out of their places than the fault budget covers. The repair of a loss
// does not wait.

package register

import (
	"fmt"
	"strings"
	"time"

	"fordseam/internal/base"
)

// DiskGap says why a disk does not hold all that it should.
type DiskGap struct {
	Disk   string
	Reason string
}

// RedundancyChecker is what the disks of a set keep beside the register.
type RedundancyChecker interface {
	// Gaps lists the disks of a set that do not hold all that they should, or do
	// not answer. The content has its full number of copies where there is none.
	Gaps(ctx *base.Ctx, set *DiskSet) []DiskGap
}

// SetRedundancyChecker has planned changes of the disk set wait for a content's copies. It is
// called after Mend and before Run.
func (o *Server) SetRedundancyChecker(content RedundancyChecker) { o.mending.content = content }

// hold is how long a planned change of one set has waited.
type hold struct {
	stamp uint64
	since time.Duration
}

// redundancy is what is known of the content's copies under one set.
type redundancy struct {
	gaps []DiskGap
	// waited is how long a planned change of the set has been put off.
	waited time.Duration
}

// full tells whether every copy is in its place.
func (r redundancy) full() bool { return len(r.gaps) == 0 }

// words name the disks that hold a planned change up.
func (r redundancy) words() string {
	parts := base.Map(r.gaps, func(gap DiskGap) string { return fmt.Sprintf("disk %s %s", gap.Disk, gap.Reason) })
	return strings.Join(parts, ", ")
}

// redundancyOf asks the disks of a set how their content stands.
func (o *Server) redundancyOf(set *DiskSet) redundancy {
	if o.mending.content == nil {
		return redundancy{}
	}
	found := redundancy{gaps: o.mending.content.Gaps(base.NewCtx(o.clock, 2*o.bounds.Load().Beat()), set)}
	o.mending.mu.Lock()
	defer o.mending.mu.Unlock()
	held := &o.mending.held
	if found.full() {
		*held = hold{}
		return found
	}
	if held.stamp != set.Stamp {
		*held = hold{stamp: set.Stamp, since: o.clock.Now()}
	}
	found.waited = o.clock.Now() - held.since
	o.counters.Add("planned_changes_held", 1)
	return found
}
