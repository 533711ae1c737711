// Package ledger stores programs and their turns on the storage machines: the
// Run that each session is assigned to, the tokens that its turns have reserved
// and spent, and the turns that were answered completely. A Run is the time for
// which one owner serves a session.
//
// Gateways write directly to the storage machines, without a leader: any two
// quorums of a program's replicas intersect, so a later request sees every
// acknowledged write and every granted claim. The replicas of a program are chosen
// by rendezvous hashing of its id over the disk set.
//
// Client is the gateway's side. Store is the storage machine's side: it keeps its
// state in memory and in a log (store.go), merges records of other stores
// (state.go), serves requests (service.go) and pulls from other stores what it
// lacks (pull.go).
package ledger

import (
	"cmp"
	"slices"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// quorumSize returns the number of replicas that a program has in a set of the
// given number of disks, and how many of them must have a write for it to be
// durable.
func quorumSize(disks, faultTolerance int) (replicas, required int) {
	replicas = min(2*faultTolerance+1, disks)
	return replicas, max(replicas/2+1, min(faultTolerance+1, replicas))
}

// placeReplicas returns a program's replicas in descending order of rendezvous
// hash.
func placeReplicas(set *register.DiskSet, program string, faultTolerance int) []*register.DiskEntry {
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
	count, _ := quorumSize(len(order), faultTolerance)
	return base.Map(order[:count], func(r ranked) *register.DiskEntry { return r.entry })
}

// isReplica reports whether a disk is one of the program's replicas in the set.
func isReplica(set *register.DiskSet, program, disk string, faultTolerance int) bool {
	return slices.ContainsFunc(placeReplicas(set, program, faultTolerance), func(entry *register.DiskEntry) bool { return entry.Id == disk })
}

// findEntry returns the entry of a disk in the set, or nil.
func findEntry(set *register.DiskSet, disk string) *register.DiskEntry {
	for _, entry := range set.GetDisks() {
		if entry.Id == disk {
			return entry
		}
	}
	return nil
}
