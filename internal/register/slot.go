// The state of one slot at its owner: content, committed number, the entries
// still kept, and how far each disk has acknowledged them.

package register

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/emirpasic/gods/maps/treemap"
)

// ShardOf places a group. The feed has slot 0 to itself, so that the slot's
// numbers are the feed's places.
func ShardOf(group string) uint32 {
	if group == FeedGroup {
		return 0
	}
	return uint32(1 + base.Hash64("group", group)%(ShardCount-1))
}

// TimeKey is where a slot keeps the time of its newest change.
const TimeKey = "time"

// now is the slot's time; the caller holds the lock.
func (s *slot) now(clock base.Clock) int64 {
	return s.time + (clock.Now() - s.timeFrom).Milliseconds()
}

type phase int

const (
	idle phase = iota
	taking
	serving
)

type slot struct {
	num  uint32
	bell *base.Bell

	mu       sync.Mutex
	phase    phase
	epoch    uint64
	highest  uint64
	held     *treemap.Map
	time     int64
	timeFrom time.Duration
	tail     uint64
	commit   uint64
	based    bool
	buffer   []*Entry
	progress map[string]*consensus.Progress
	// transfers are the contents on their way to disks.
	transfers map[string]*transfer
	// partsTaken counts the parts of transfers that disks took.
	partsTaken int
	nextRound  *round
	roundsBusy bool
}

type round struct {
	done base.Signal
	err  error
}

// owns tells whether this core still keeps the slot under an epoch.
func (s *slot) owns(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch == epoch
}

// first is the number that the buffer begins with; the caller holds the lock.
func (s *slot) first() uint64 { return s.tail + 1 - uint64(len(s.buffer)) }

// needsFrame tells that a disk cannot go on from the buffer; the caller holds
// the lock.
func (s *slot) needsFrame(diskID string) bool {
	return s.progressOf(diskID).NeedsSnapshot(s.first())
}

// progressOf is what is known of a disk; the caller holds the lock.
func (s *slot) progressOf(diskID string) consensus.Progress {
	if known := s.progress[diskID]; known != nil {
		return *known
	}
	return consensus.Progress{}
}

// voters is what is known of the set's voters; the caller holds the lock.
func (s *slot) voters(set *DiskSet) []consensus.Progress {
	return base.Map(voters(set), func(entry *DiskEntry) consensus.Progress { return s.progressOf(entry.Id) })
}

// acknowledge takes in a disk's answer to a message that was sent under a set.
// It is counted by the newest set that this core knows: the one that the
// message was sent under may be out of force since, and its majorities need not
// meet those of the set in force.
func (o *Server) acknowledge(s *slot, epoch uint64, diskID string, seq, sentStamp uint64) {
	s.mu.Lock()
	if known := s.progress[diskID]; s.epoch == epoch && known != nil {
		*known = known.Acknowledge(seq, sentStamp)
		s.endTransfer(diskID)
		s.recount(o.knownSet())
	}
	s.mu.Unlock()
	s.bell.Ring()
}

// recount finds what a majority has; the caller holds the lock.
func (s *slot) recount(set *DiskSet) {
	if committed, reached := consensus.Committed(s.commit, set.Stamp, s.voters(set)); reached {
		s.commit, s.based = committed, true
	}
	s.trim()
}
