package register

import (
	"fmt"
	"strings"
	"time"

	"fordseam/internal/base"
)

// DiskGap is a disk that does not hold all the data it should, with the reason.
type DiskGap struct {
	Disk   string
	Reason string
}

// RedundancyChecker checks the copies of other data that the storage machines keep
// beside the control state. A planned change of the disk set, which no loss makes
// necessary, waits until every disk of the set holds all the data it should. So a
// leaving machine's data is elsewhere before it leaves, and new machines do not
// displace more copies than the fault budget covers. The repair of a loss does
// not wait.
type RedundancyChecker interface {
	// Gaps lists the disks of a set that do not hold all the data they should, or
	// do not answer. If there are none, the data has its full number of copies.
	Gaps(ctx *base.Ctx, set *DiskSet) []DiskGap
}

// SetRedundancyChecker makes planned changes of the disk set wait until a checker
// finds no gaps. It is called after EnableReconcile and before Run.
func (srv *Server) SetRedundancyChecker(checker RedundancyChecker) {
	srv.reconciler.redundancy = checker
}

// changeDelay records since when planned changes of one disk set have waited.
type changeDelay struct {
	stamp uint64
	since time.Duration
}

// redundancyState is the result of a check of the copies under one disk set.
type redundancyState struct {
	gaps []DiskGap
	// waited is how long planned changes of the set have been delayed.
	waited time.Duration
}

// full reports whether every copy is in its place.
func (r redundancyState) full() bool { return len(r.gaps) == 0 }

// describe lists the disks with gaps, which delay planned changes.
func (r redundancyState) describe() string {
	parts := base.Map(r.gaps, func(gap DiskGap) string { return fmt.Sprintf("disk %s %s", gap.Disk, gap.Reason) })
	return strings.Join(parts, ", ")
}

// checkRedundancy checks the copies on the disks of a set, and records since when
// they are incomplete.
func (srv *Server) checkRedundancy(set *DiskSet) redundancyState {
	if srv.reconciler.redundancy == nil {
		return redundancyState{}
	}
	state := redundancyState{gaps: srv.reconciler.redundancy.Gaps(base.NewCtx(srv.clock, 2*srv.bounds.Load().HeartbeatInterval()), set)}
	srv.reconciler.mu.Lock()
	defer srv.reconciler.mu.Unlock()
	delay := &srv.reconciler.delay
	if state.full() {
		*delay = changeDelay{}
		return state
	}
	if delay.stamp != set.Stamp {
		*delay = changeDelay{stamp: set.Stamp, since: srv.clock.Now()}
	}
	state.waited = srv.clock.Now() - delay.since
	srv.counters.Add("planned_changes_held", 1)
	return state
}
