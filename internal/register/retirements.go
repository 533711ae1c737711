package register

import (
	"fmt"
	"slices"

	"fordseam/internal/base"
)

// retirementProgress is the result of a pass over the retirements: whether one was
// concluded, and what the others wait for.
type retirementProgress struct {
	concluded bool
	status    []string
}

// concludeRetirements marks those retirements complete that nothing blocks any
// more. The disk set must be settled.
func (srv *Server) concludeRetirements(records *feedRecords) (result retirementProgress) {
	set := records.diskSet.Current
	for _, retirement := range records.retirements {
		if retirement.Complete {
			continue
		}
		if blocker := srv.retirementBlocker(set, retirement); blocker != "" {
			result.status = append(result.status, fmt.Sprintf("machine %s is being retired: %s", retirement.Node, blocker))
			continue
		}
		result.concluded = srv.applyToFeed("retiring.conclude", retirement) == nil || result.concluded
	}
	return result
}

// retirementBlocker describes what a retirement waits for: the removal of its disk
// from the set, the full number of copies of other data without it, or the disk
// to be empty. It returns "" if nothing is left to wait for.
func (srv *Server) retirementBlocker(set *DiskSet, retirement *Retirement) string {
	diskInSet := slices.ContainsFunc(set.Disks, func(entry *DiskEntry) bool {
		return entry.Node == retirement.Node || entry.Id == retirement.Disk
	})
	if diskInSet {
		return "its disk is still in the disk set"
	}
	if redundancy := srv.checkRedundancy(set); !redundancy.full() {
		return redundancy.describe()
	}
	if isEmpty := srv.reconciler.isEmpty; isEmpty != nil && retirement.Disk != "" {
		if empty, err := isEmpty(base.NewCtx(srv.clock, srv.bounds.Load().CoreCallTimeout()), retirement.Disk); err != nil || !empty {
			return fmt.Sprintf("disk %s still holds other data, or could not be asked", retirement.Disk)
		}
	}
	return ""
}
