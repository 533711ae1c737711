// Package disk is the durable part of a storage machine: a replica of the
// register's shards (Store), the log of the ledger (SegmentLog), and the RPC
// service by which the cores reach the replica (Service). A record counts as
// stored only after its file has been synced.
//
// # File formats
//
// All files consist of records: a header with a magic number, format version,
// generation, batch number and two CRC-32C checksums, followed by the payload.
//
// The register's replica is stored as checkpoints and write-ahead logs. A
// checkpoint (files slot-0 and slot-1) is one record with the whole state; the
// log of the same generation (files log-0 and log-1) holds the batches written
// after it. Files are chosen by the parity of the generation.
//
// Each batch is written to the log twice, with the second copy aligned to a new
// sector, followed by one sync that acknowledges it. Power loss may persist any
// subset of the sectors of an unsynced batch. A batch is written only after the
// previous one was synced, and batch numbers increase by one through all logs and
// checkpoints. This distinguishes a torn write from corruption:
//
//   - A batch of which no copy is readable, with nothing after it, was never
//     acknowledged. It is truncated.
//   - If one copy of a batch is corrupt, the other one is used.
//   - If a readable batch follows a gap in the numbers, the missing batch had been
//     acknowledged, and the disk is reported as corrupt.
//
// The segments of the ledger's log (files ledger-0 to ledger-15) hold one copy of
// each batch; see SegmentLog.
package disk

import (
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

const (
	// defaultMinLogBytes is the size of the log below which no checkpoint is due.
	defaultMinLogBytes = 4 << 20
	// maxQueuedBytes is the size of the queue above which entries are declined.
	maxQueuedBytes = 32 << 20
	// reserveDivisor sets the free space that is reserved for entries that free
	// space or hand a shard over: this fraction of the checkpoint's size plus a
	// quarter of minLogBytes.
	reserveDivisor = 16
)

// Kinds of log entries. They are stored in the log.
const (
	kindFormat byte = iota + 1
	kindPromise
	kindInstall
	kindAppend
	kindAdopt
	kindInstallPart
)

// Store is a storage machine's replica of the register's shards. A change is
// applied in memory and queued, and takes effect for callers once the log is
// synced. A single committer goroutine writes the files, so that many entries share
// one sync.
//
// When the log exceeds a multiple of the checkpoint's size, the whole state is
// written as a new checkpoint and a new log is started. The previous checkpoint and
// log are kept until the checkpoint after that, so that an unreadable checkpoint can
// be replaced by the previous one and both logs.
type Store struct {
	clock    base.Clock
	files    Files
	counters *base.Counters

	mu                  sync.Mutex
	id                  string              // empty until the disk is formatted
	set                 *register.DiskSet   // newest adopted set; nil until one is known
	replicas            map[uint32]*replica // by shard
	generation          uint64              // of the newest checkpoint and its log
	lastBatch           uint64              // number of the newest synced batch
	checkpointBytes     int                 // size of the newest checkpoint's payload
	logBytes            int                 // size of the log being written
	previousLogBytes    int                 // size of the log before the newest checkpoint
	queue               []*pendingEntry     // entries of the next batch
	queuedBytes         int                 // size of entries that are queued or being written
	commitNotifier      *base.Notifier      // wakes the committer
	checkpointRequested bool                // a checkpoint is wanted before the log is long enough
	full                bool                // the batch being written waits for free space
	failure             error               // the write error that ended the disk's vote
	closed              bool
	committerDone       base.Signal
	minLogBytes         int    // defaultMinLogBytes, less in tests
	onIdentityChange    func() // called under the lock when the id or the set changes
}

// Open loads the state from the files and starts the committer.
func Open(clock base.Clock, files Files, counters *base.Counters) (*Store, error) {
	s := &Store{clock: clock, files: files, counters: counters, replicas: map[uint32]*replica{}, commitNotifier: base.NewNotifier(clock), committerDone: clock.NewSignal(), minLogBytes: defaultMinLogBytes}
	if err := s.load(); err != nil {
		return nil, err
	}
	clock.Go(s.runCommitter)
	return s, nil
}

// Close ends the committer after the queued entries are written. It does not wait.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.commitNotifier.Notify()
}

// Ready returns nil if the disk may vote, or the reason why not.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failure != nil:
		return base.Busy(503, "disk_broken", 5, "the disk failed: %v; restart the process, and replace the disk if it fails again", s.failure)
	case s.full:
		return base.Busy(503, "disk_full", 5, "the disk is full; free space in its file system or raise disk_limit_bytes")
	case s.id == "" || s.set == nil:
		return base.Busy(503, "disk_blank", 5, "the disk is blank and has no vote")
	case !s.isMember():
		return base.Busy(503, "disk_retired", 5, "disk %s is not in the disk set", s.id)
	}
	return nil
}

// ID returns the disk's id, or "" if it is not formatted yet.
func (s *Store) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// OnIdentityChange sets the function that is called whenever the result of
// Identity changes. It is called under the store's lock and must not block.
func (s *Store) OnIdentityChange(callback func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onIdentityChange = callback
}

func (s *Store) notifyIdentityChange() {
	if s.onIdentityChange != nil {
		s.onIdentityChange()
	}
}

// Identity returns the disk's id and the newest disk set that it has adopted. Both
// are empty before the disk is formatted.
func (s *Store) Identity() (id string, set *register.DiskSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.set
}

// Cluster returns the cluster that the disk belongs to, or belonged to before it
// was retired.
func (s *Store) Cluster() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.GetCluster()
}

// KeyCount returns the number of keys in all shards.
func (s *Store) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.replicas {
		count += len(r.values)
	}
	return count
}
