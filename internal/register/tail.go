// The tail of a slot: the changes that its owner keeps because a disk, or a
// follower of the feed, may still need them. What no majority has yet stays.
// Of the committed changes those stay that a disk lacks, and for the feed the
// newest ones, each within a bound of number and bytes. Nothing is kept for who
// is further behind, since that one is given the whole content.

package register

const (
	// tailEntries bounds how many committed changes are kept.
	tailEntries = 4096
	// tailBytes bounds their weight while no disk is being sent a large content.
	tailBytes = 4 << 20
	// waitingBytes and waitingEntries bound the changes that no majority has yet.
	waitingBytes   = 32 << 20
	waitingEntries = 1 << 12
	// feedBytes bounds the committed changes kept for followers of the feed; who
	// is further behind is given the frame.
	feedBytes = 4 << 20
)

// crowded tells that too much waits for a majority of the disks to take more;
// the caller holds the lock.
func (s *slot) crowded() bool {
	waiting := s.buffer[s.uncommitted()-s.first():]
	sum := 0
	for place := 0; place < len(waiting) && sum <= waitingBytes; place++ {
		sum += waiting[place].weight()
	}
	return sum > waitingBytes || len(waiting) > waitingEntries
}

// trim drops the changes that nobody needs any more, or that are too many; the
// caller holds the lock.
func (s *slot) trim() {
	first, keep := s.first(), s.uncommitted()
	reach := s.newest(s.tailLimit())
	for diskID := range s.progress {
		if from, known := s.tailFrom(diskID); known && from >= reach {
			keep = min(keep, from)
		}
	}
	if s.num == 0 {
		keep = min(keep, s.newest(feedBytes))
	}
	clear(s.buffer[:keep-first]) // what is dropped must not stay reachable
	s.buffer = s.buffer[keep-first:]
}

// uncommitted is the first change that no majority is known to have, or the
// first that is kept; the caller holds the lock.
func (s *slot) uncommitted() uint64 { return max(s.commit+1, s.first()) }

// newest is the first of the newest committed changes that stay within a
// weight; the caller holds the lock.
func (s *slot) newest(bytes int) uint64 {
	first, keep := s.first(), s.uncommitted()
	for keep > first && s.tail-keep+1 < tailEntries {
		if bytes -= s.buffer[keep-1-first].weight(); bytes < 0 {
			break
		}
		keep--
	}
	return keep
}

// weight is about what an entry holds in memory.
func (e *Entry) weight() int {
	sum := 64
	for _, put := range e.Puts {
		sum += len(put.Key) + len(put.Value) + 64
	}
	return sum
}
