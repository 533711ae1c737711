// What there is to see of a disk set that mends itself.

package simulate

import (
	"time"

	"fordseam/internal/register"
)

// diskSet is the newest disk set that a living core knows.
func (f *Fleet) diskSet() *register.DiskSet {
	var newest *register.DiskSet
	for _, m := range f.Cores {
		if m.Host.alive && !m.Host.frozen && m.core != nil {
			if known := m.core.RegisterServer.KnownDiskSet(); known.GetStamp() > newest.GetStamp() {
				newest = known
			}
		}
	}
	return newest
}

// diskSetComplete tells whether each living storage machine's disk, and no other, has a
// vote.
func (f *Fleet) diskSetComplete() bool {
	voting := map[string]bool{}
	for _, entry := range f.diskSet().GetDisks() {
		voting[entry.Addr+"/"+entry.Id] = true
		if entry.Learner {
			return false
		}
	}
	count := 0
	for _, m := range f.Storage {
		if m.removed {
			continue
		}
		if !m.Host.alive || m.Host.frozen || m.storage == nil || !voting[m.Host.Name+":1/"+m.storage.Store.ID()] {
			return false
		}
		count++
	}
	return count == len(voting)
}

// waitUntil waits for something and tells how long it took.
func (f *Fleet) waitUntil(limit time.Duration, condition func() bool) time.Duration {
	start := f.World.Now()
	for !condition() && f.World.Now()-start < limit {
		f.CallerHost.Clock().Sleep(5 * time.Millisecond)
	}
	return f.World.Now() - start
}
