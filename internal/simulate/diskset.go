package simulate

import (
	"time"

	"fordseam/internal/register"
)

// diskSet returns the newest disk set that a live core knows, or nil.
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

// diskSetComplete reports whether every storage machine that was not removed is live and its
// disk has a vote, and no other disk is in the disk set.
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

// waitUntil waits for a condition, at most up to a limit, and returns how long it waited.
func (f *Fleet) waitUntil(limit time.Duration, condition func() bool) time.Duration {
	start := f.World.Now()
	for !condition() && f.World.Now()-start < limit {
		f.CallerHost.Clock().Sleep(5 * time.Millisecond)
	}
	return f.World.Now() - start
}
