package register

const (
	// maxRetainedEntries bounds how many committed changes are retained.
	maxRetainedEntries = 4096
	// maxRetainedBytes bounds their size while no large snapshot is being sent.
	maxRetainedBytes = 4 << 20
	// maxPendingBytes and maxPendingEntries bound the changes that are not
	// committed yet.
	maxPendingBytes   = 32 << 20
	maxPendingEntries = 1 << 12
	// maxFeedBytes bounds the committed changes retained for followers of the
	// feed; a follower that is further behind is sent a snapshot.
	maxFeedBytes = 4 << 20
)

// backlogFull reports whether so many changes wait for a majority of the disks
// that no further one is accepted; the caller holds the lock.
func (s *shard) backlogFull() bool {
	pending := s.entries[s.firstUncommitted()-s.firstSeq():]
	bytes := 0
	for index := 0; index < len(pending) && bytes <= maxPendingBytes; index++ {
		bytes += pending[index].memoryBytes()
	}
	return bytes > maxPendingBytes || len(pending) > maxPendingEntries
}

// trimEntries drops the entries that need not be retained; the caller holds the
// lock. Entries that are not committed stay. Committed entries stay if a disk lacks
// them, or, in the feed's shard, if they are among the newest, each within a bound
// of number and size. Nothing is retained for a disk or follower that is further
// behind, since it is sent a snapshot.
func (s *shard) trimEntries() {
	firstSeq, keepFrom := s.firstSeq(), s.firstUncommitted()
	oldest := s.retainFrom(s.retainLimit())
	for diskID := range s.progress {
		if next, known := s.nextSeqFor(diskID); known && next >= oldest {
			keepFrom = min(keepFrom, next)
		}
	}
	if s.num == 0 {
		keepFrom = min(keepFrom, s.retainFrom(maxFeedBytes))
	}
	clear(s.entries[:keepFrom-firstSeq]) // lets the dropped entries be garbage-collected
	s.entries = s.entries[keepFrom-firstSeq:]
}

// firstUncommitted returns the sequence number of the first change that no
// majority is known to have, or of the first retained entry if that is later; the
// caller holds the lock.
func (s *shard) firstUncommitted() uint64 { return max(s.committed+1, s.firstSeq()) }

// retainFrom returns the sequence number of the first of the newest committed
// changes that fit into maxBytes and maxRetainedEntries; the caller holds the lock.
func (s *shard) retainFrom(maxBytes int) uint64 {
	firstSeq, keepFrom := s.firstSeq(), s.firstUncommitted()
	for keepFrom > firstSeq && s.lastSeq-keepFrom+1 < maxRetainedEntries {
		if maxBytes -= s.entries[keepFrom-1-firstSeq].memoryBytes(); maxBytes < 0 {
			break
		}
		keepFrom--
	}
	return keepFrom
}

// memoryBytes returns about how much memory an entry takes.
func (e *Entry) memoryBytes() int {
	sum := 64
	for _, put := range e.Puts {
		sum += len(put.Key) + len(put.Value) + 64
	}
	return sum
}
