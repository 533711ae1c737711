// Package ledger keeps what is known of programs and their turns on the
// storage machines: which Run a session is assigned to, what its turns have
// reserved and spent, and the turns that were answered whole. Gateways write
// straight to the storage machines. Of a program's replicas any two quorums
// meet, so whatever was acknowledged, and whatever was promised, is seen by
// the next that asks. Which machines hold a program follows from its name and
// the disk set, on this page.
package ledger

import (
	"cmp"
	"slices"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// quorum tells how many replicas a program has in a set of so many disks, and
// how many of them make a write last.
func quorum(disks, tolerate int) (replicas, need int) {
	replicas = min(2*tolerate+1, disks)
	return replicas, max(replicas/2+1, min(tolerate+1, replicas))
}

// place lists a program's replicas, first the one that ranks first.
func place(set *register.DiskSet, program string, tolerate int) []*register.DiskEntry {
	type ranked struct {
		entry *register.DiskEntry
		rank  uint64
	}
	order := make([]ranked, 0, len(set.GetDisks()))
	for _, entry := range set.GetDisks() {
		order = append(order, ranked{entry, base.Hash64(program, entry.Id)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if by := cmp.Compare(b.rank, a.rank); by != 0 {
			return by
		}
		return cmp.Compare(a.entry.Id, b.entry.Id)
	})
	count, _ := quorum(len(order), tolerate)
	return base.Map(order[:count], func(one ranked) *register.DiskEntry { return one.entry })
}

func placed(set *register.DiskSet, program, disk string, tolerate int) bool {
	return slices.ContainsFunc(place(set, program, tolerate), func(entry *register.DiskEntry) bool { return entry.Id == disk })
}

func entryIn(set *register.DiskSet, disk string) *register.DiskEntry {
	for _, entry := range set.GetDisks() {
		if entry.Id == disk {
			return entry
		}
	}
	return nil
}
