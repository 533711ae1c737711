// What there is to see of a disk set that mends itself.

package simulate

import (
	"time"

	"fordseam/internal/register"
)

// set is the newest disk set that a living core knows.
func (f *Fleet) set() *register.DiskSet {
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

// whole tells whether each living storage machine's disk, and no other, has a
// vote.
func (f *Fleet) whole() bool {
	voting := map[string]bool{}
	for _, entry := range f.set().GetDisks() {
		voting[entry.Addr+"/"+entry.Id] = true
		if entry.Learner {
			return false
		}
	}
	count := 0
	for _, m := range f.Storage {
		if m.gone {
			continue
		}
		if !m.Host.alive || m.Host.frozen || m.storage == nil || !voting[m.Host.Name+":1/"+m.storage.Store.ID()] {
			return false
		}
		count++
	}
	return count == len(voting)
}

// until waits for something and tells how long it took.
func (f *Fleet) until(limit time.Duration, reached func() bool) time.Duration {
	began := f.World.Now()
	for !reached() && f.World.Now()-began < limit {
		f.CallerHost.Clock().Sleep(5 * time.Millisecond)
	}
	return f.World.Now() - began
}
