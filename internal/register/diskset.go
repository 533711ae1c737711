package register

import (
	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
)

// LookupDiskSet returns the disk set that this core uses. If it knows none, it
// asks the storage machines for theirs; nil if none has one.
func (srv *Server) LookupDiskSet() *DiskSet {
	if known := srv.knownSet(); known != nil {
		return known
	}
	srv.mu.Lock()
	lookup := srv.setLookup
	if lookup == nil { // concurrent callers share one lookup
		lookup = srv.clock.NewSignal()
		srv.setLookup = lookup
		srv.clock.Go(func() {
			srv.queryDiskSet()
			srv.mu.Lock()
			srv.setLookup = nil
			srv.mu.Unlock()
			lookup.Fire()
		})
	}
	srv.mu.Unlock()
	lookup.Wait(srv.bounds.Load().CoreCallTimeout())
	return srv.knownSet()
}

// queryDiskSet learns the disk sets that the known storage machines hold, until
// two have reported theirs.
func (srv *Server) queryDiskSet() {
	base.CallQuorum(srv.clock, srv.view.Known(membership.RoleStorage), 2, srv.bounds.Load().DiskTimeout(), func(ctx *base.Ctx, member *membership.Member) bool {
		state, err := NewDiskProtobufClient("http://"+member.Addr, srv.httpClient).Describe(ctx, &DescribeRequest{})
		if err != nil || state.Set == nil || len(state.Set.Disks) == 0 {
			return false
		}
		srv.LearnDiskSet(state.Set)
		return true
	})
}

// Cluster returns the cluster of the disk set that this core knows, if any.
func (srv *Server) Cluster() string { return srv.knownSet().GetCluster() }

// KnownDiskSet returns the disk set that this core has learned, without a lookup.
func (srv *Server) KnownDiskSet() *DiskSet { return srv.knownSet() }

func (srv *Server) knownSet() *DiskSet {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.diskSet
}

// LearnDiskSet replaces the known disk set by a newer one of the same cluster, as
// reported by other cores and by disks. An older one, or one of another cluster, is
// ignored.
func (srv *Server) LearnDiskSet(set *DiskSet) {
	srv.mu.Lock()
	newer := set != nil && len(set.Disks) > 0 && (srv.diskSet == nil || set.Stamp > srv.diskSet.Stamp && set.Cluster == srv.diskSet.Cluster)
	if newer {
		srv.diskSet = set
	}
	srv.mu.Unlock()
	if newer {
		for _, s := range srv.shards {
			srv.startSenders(s)
			s.changed.Notify()
		}
	}
}

// voters lists the disks that count towards a majority; learners do not.
func voters(set *DiskSet) []*DiskEntry {
	return base.Filter(set.Disks, func(entry *DiskEntry) bool { return !entry.Learner })
}

// majority returns how many voters of the set make a majority.
func majority(set *DiskSet) int { return consensus.Majority(len(voters(set))) }

// inSet reports whether the set contains a disk.
func inSet(set *DiskSet, id string) bool {
	for _, entry := range set.Disks {
		if entry.Id == id {
			return true
		}
	}
	return false
}

// describeRequest asks for a disk's state, with its disk set only if that is not
// this one. A set lists all disks and each leader asks all of them, so the
// replies would otherwise carry many copies.
func describeRequest(set *DiskSet) *DescribeRequest {
	return &DescribeRequest{KnownCluster: set.GetCluster(), KnownStamp: set.GetStamp()}
}
