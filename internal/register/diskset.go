// The disk set that a core goes by: learnt from other cores and from the
// disks, replaced only by a newer one of the same cluster.

package register

import (
	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
)

// LookupDiskSet is the disk set this core goes by, looked up on the disks if need be.
func (o *Server) LookupDiskSet() *DiskSet {
	if known := o.knownSet(); known != nil {
		return known
	}
	o.mu.Lock()
	lookup := o.lookup
	if lookup == nil { // all who ask at once share one round
		lookup = o.clock.NewSignal()
		o.lookup = lookup
		o.clock.Go(func() {
			o.findSet()
			o.mu.Lock()
			o.lookup = nil
			o.mu.Unlock()
			lookup.Fire()
		})
	}
	o.mu.Unlock()
	lookup.Wait(o.bounds.Load().Call())
	return o.knownSet()
}

func (o *Server) findSet() {
	base.Ask(o.clock, o.view.Known(membership.RoleStorage), 2, o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, member *membership.Member) bool {
		state, err := NewDiskProtobufClient("http://"+member.Addr, o.wire).Describe(ctx, &DescribeRequest{})
		if err != nil || state.Set == nil || len(state.Set.Disks) == 0 {
			return false
		}
		o.LearnDiskSet(state.Set)
		return true
	})
}

// Cluster is the cluster of the disk set this core goes by.
func (o *Server) Cluster() string { return o.knownSet().GetCluster() }

// KnownDiskSet is the disk set as this core has learnt it, without asking.
func (o *Server) KnownDiskSet() *DiskSet { return o.knownSet() }

func (o *Server) knownSet() *DiskSet {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.set
}

// LearnDiskSet takes in a newer disk set of this cluster.
func (o *Server) LearnDiskSet(set *DiskSet) {
	o.mu.Lock()
	newer := set != nil && len(set.Disks) > 0 && (o.set == nil || set.Stamp > o.set.Stamp && set.Cluster == o.set.Cluster)
	if newer {
		o.set = set
	}
	o.mu.Unlock()
	if newer {
		for _, s := range o.slots {
			o.refit(s)
			s.bell.Ring()
		}
	}
}

// voters are the disks whose word counts; learners are only being filled.
func voters(set *DiskSet) []*DiskEntry {
	return base.Filter(set.Disks, func(entry *DiskEntry) bool { return !entry.Learner })
}

// majority is how many voters of the set decide.
func majority(set *DiskSet) int { return consensus.Majority(len(voters(set))) }

func inSet(set *DiskSet, id string) bool {
	for _, entry := range set.Disks {
		if entry.Id == id {
			return true
		}
	}
	return false
}

// describeBeyond asks a disk for its state without a set that is known already:
// a set names all disks, and an owner asks all of them.
func describeBeyond(set *DiskSet) *DescribeRequest {
	return &DescribeRequest{KnownCluster: set.GetCluster(), KnownStamp: set.GetStamp()}
}
