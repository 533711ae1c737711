package memory

import "time"

// collectShare is the part of the share for large requests from which on a request is large
// enough to keep others from memory while it waits for more.
const collectShare = 8

// MustCollect reports whether a request that takes so many bytes, in several steps, must take
// them between BeginCollecting and EndCollecting. Requests that each hold a part of what they
// need would otherwise wait for each other.
func (b *Budget) MustCollect(bytes int) bool {
	return b != nil && b.capacity > 0 && int64(bytes) > b.largeShare/collectShare
}

// BeginCollecting waits until no other request is collecting, and returns false if that takes
// longer than timeout. A request ends collecting once it needs no more memory.
func (b *Budget) BeginCollecting(timeout time.Duration) bool {
	b.addWaiters(1)
	defer b.addWaiters(-1)
	for deadline := b.clock.Now() + timeout; ; {
		released := b.released.Next()
		b.mu.Lock()
		free := !b.collecting
		b.collecting = true
		b.mu.Unlock()
		if free {
			return true
		}
		if !released.Wait(max(0, deadline-b.clock.Now())) {
			b.counters.Add("memory_refused", 1)
			return false
		}
	}
}

// EndCollecting lets the next request collect.
func (b *Budget) EndCollecting() {
	b.mu.Lock()
	b.collecting = false
	notify := b.waiters > 0
	b.mu.Unlock()
	if notify {
		b.released.Notify()
	}
}
