package register

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/emirpasic/gods/maps/treemap"
)

// ShardOf returns the shard of a group. The feed has shard 0 to itself, so that
// the shard's sequence numbers are the feed's revisions.
func ShardOf(group string) uint32 {
	if group == FeedGroup {
		return 0
	}
	return uint32(1 + base.Hash64("group", group)%(ShardCount-1))
}

// TimeKey is the key under which a shard stores the time of its newest change.
const TimeKey = "time"

// nowMs returns the shard's own time; the caller holds the lock.
func (s *shard) nowMs(clock base.Clock) int64 {
	return s.timeMs + (clock.Now() - s.timeSetAt).Milliseconds()
}

// phase is what a core does for a shard.
type phase int

const (
	// phaseIdle means that another core leads the shard, or none.
	phaseIdle phase = iota
	// phaseTakeover means that this core is taking the shard over.
	phaseTakeover
	// phaseLeading means that this core leads the shard.
	phaseLeading
)

// shard is a core's state of one shard. The fields from kv on are in use while the
// core leads the shard or takes it over.
type shard struct {
	num     uint32
	changed *base.Notifier // rung at each change of the state below

	mu           sync.Mutex
	phase        phase
	epoch        uint64 // this core's epoch; 0 if it neither leads nor takes over
	highestEpoch uint64 // the highest epoch that this core has used or seen
	// kv is the shard's content, with the changes that are not committed yet.
	kv *treemap.Map
	// timeMs was the shard's own time at timeSetAt.
	timeMs    int64
	timeSetAt time.Duration
	// lastSeq numbers the last change, committed the last one that a majority of
	// the disks has.
	lastSeq   uint64
	committed uint64
	// majorityInstalled reports whether a majority of the disks has installed the
	// content under this epoch.
	majorityInstalled bool
	// entries are the last changes, which disks or followers may still need.
	entries []*Entry
	// progress records for each disk what it has acknowledged.
	progress map[string]*consensus.Progress
	// transfers are the snapshots that are being sent, by disk.
	transfers map[string]*transfer
	// partsAccepted counts the parts of snapshots that disks have accepted.
	partsAccepted int
	// nextConfirm is the round that the next calls of confirmEpoch wait for;
	// confirming reports whether runConfirmRounds is running.
	nextConfirm *confirmRound
	confirming  bool
}

// confirmRound is one confirmation of a shard's epoch by the disks.
type confirmRound struct {
	done base.Signal
	err  error
}

// leads reports whether this core still leads the shard, or takes it over, under
// an epoch.
func (s *shard) leads(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch == epoch
}

// firstSeq returns the sequence number of the first retained entry; the caller
// holds the lock.
func (s *shard) firstSeq() uint64 { return s.lastSeq + 1 - uint64(len(s.entries)) }

// needsSnapshot reports whether the retained entries do not suffice for a disk;
// the caller holds the lock.
func (s *shard) needsSnapshot(diskID string) bool {
	return s.progressOf(diskID).NeedsSnapshot(s.firstSeq())
}

// progressOf returns the progress of a disk; the caller holds the lock.
func (s *shard) progressOf(diskID string) consensus.Progress {
	if known := s.progress[diskID]; known != nil {
		return *known
	}
	return consensus.Progress{}
}

// voterProgress returns the progress of the set's voters; the caller holds the
// lock.
func (s *shard) voterProgress(set *DiskSet) []consensus.Progress {
	return base.Map(voters(set), func(entry *DiskEntry) consensus.Progress { return s.progressOf(entry.Id) })
}

// recordAck records a disk's acknowledgement of a message that was sent under the
// set with sentStamp. What is committed is counted by the newest set that this
// core knows: the set of the message may have been replaced since, and its
// majorities need not intersect those of the set in force.
func (srv *Server) recordAck(s *shard, epoch uint64, diskID string, seq, sentStamp uint64) {
	s.mu.Lock()
	if progress := s.progress[diskID]; s.epoch == epoch && progress != nil {
		*progress = progress.Acknowledge(seq, sentStamp)
		s.finishTransfer(diskID)
		s.updateCommitted(srv.knownSet())
	}
	s.mu.Unlock()
	s.changed.Notify()
}

// updateCommitted recomputes what a majority of the set has; the caller holds the
// lock.
func (s *shard) updateCommitted(set *DiskSet) {
	if committed, reached := consensus.Committed(s.committed, set.Stamp, s.voterProgress(set)); reached {
		s.committed, s.majorityInstalled = committed, true
	}
	s.trimEntries()
}
