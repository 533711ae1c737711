// Retirements under way, and what they wait for.

package register

import (
	"fmt"
	"slices"

	"fordseam/internal/base"
)

// retirements is what became of the machines being retired.
type retirements struct {
	finished bool
	told     []string
}

// finishRetiring concludes retirements whose disk is out of the set, which is
// settled, whose content has its full number of copies without it, and of which
// nothing else is kept.
func (o *Server) finishRetiring(found *recorded) (result retirements) {
	set := found.disks.Current
	for _, retiring := range found.retiring {
		if retiring.Complete {
			continue
		}
		if waits := o.retirementWaits(set, retiring); waits != "" {
			result.told = append(result.told, fmt.Sprintf("machine %s is being retired: %s", retiring.Node, waits))
			continue
		}
		result.finished = o.own("retiring.conclude", retiring) == nil || result.finished
	}
	return result
}

// retirementWaits says what keeps a machine from being given up.
func (o *Server) retirementWaits(set *DiskSet, retiring *Retirement) string {
	stays := slices.ContainsFunc(set.Disks, func(entry *DiskEntry) bool {
		return entry.Node == retiring.Node || entry.Id == retiring.Disk
	})
	if stays {
		return "its disk is in the set"
	}
	if copies := o.redundancyOf(set); !copies.full() {
		return copies.words()
	}
	if emptied := o.mending.emptied; emptied != nil && retiring.Disk != "" {
		if empty, err := emptied(base.NewCtx(o.clock, o.bounds.Load().Call()), retiring.Disk); err != nil || !empty {
			return "data is kept there"
		}
	}
	return ""
}
