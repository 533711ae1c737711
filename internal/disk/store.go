// The store keeps a storage machine's replica: two slots written in turn
// with a short checksummed log between. A record is in force once the log is
// synced; a single committer task owns the files, so that many records share
// one sync. When the log grows past its ratio to the frame, the whole state
// is written to the other slot and a new log begun; the former slot and log
// stay until the turn after, so a slot that cannot be read falls back on
// them. How a torn tail is told from rot is in record.go.

// Package disk is the durable part of a storage machine: a replica of the
// register's shards (Store), the log of the ledger (SegmentLog), and the call
// interface by which the cores reach the replica (Service). A record counts as
// stored only after its file has been synced.
package disk

import (
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

const (
	logFloor     = 4 << 20
	queueLimit   = 32 << 20
	keptBackPart = 16
)

const (
	kindFormat byte = iota + 1
	kindPromise
	kindInstall
	kindAppend
	kindAdopt
	kindPart
)

// Store is one disk's state and its committer.
type Store struct {
	clock    base.Clock
	files    Files
	counters *base.Counters

	mu         sync.Mutex
	id         string
	set        *register.DiskSet
	replicas   map[uint32]*replica
	generation uint64
	number     uint64
	frameBytes int
	logBytes   int
	formerLog  int
	queue      []*pending
	queued     int
	bell       *base.Notifier
	squeeze    bool
	full       bool
	broken     error
	closed     bool
	ended      base.Signal
	floor      int
	// learnt is called at each newer identity or set, under the lock.
	learnt func()
}

// Open reads what the files hold and starts the committer.
func Open(clock base.Clock, files Files, counters *base.Counters) (*Store, error) {
	s := &Store{clock: clock, files: files, counters: counters, replicas: map[uint32]*replica{}, bell: base.NewNotifier(clock), ended: clock.NewSignal(), floor: logFloor}
	if err := s.load(); err != nil {
		return nil, err
	}
	clock.Go(s.commit)
	return s, nil
}

// Close ends the committer once what is queued is written.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.bell.Notify()
}

// Ready reports whether the disk has a vote.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broken != nil:
		return base.Busy(503, "disk_broken", 5, "the disk failed: %v; restart the process, and replace the disk if it fails again", s.broken)
	case s.full:
		return base.Busy(503, "disk_full", 5, "the disk is full; free space in its file system or raise disk_limit_bytes")
	case s.id == "" || s.set == nil:
		return base.Busy(503, "disk_blank", 5, "the disk is blank and has no vote")
	case !s.member():
		return base.Busy(503, "disk_retired", 5, "the disk is not in the disk set")
	}
	return nil
}

// ID is the disk's id, "" while it is blank.
func (s *Store) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// OnIdentityChange calls back whenever Identity tells something newer; it must not block.
func (s *Store) OnIdentityChange(learnt func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnt = learnt
}

func (s *Store) tell() {
	if s.learnt != nil {
		s.learnt()
	}
}

// Identity is the disk's id and the newest set it goes by; both are empty on a
// blank disk.
func (s *Store) Identity() (id string, set *register.DiskSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.set
}

// Cluster is the cluster the disk is of, or was.
func (s *Store) Cluster() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.GetCluster()
}

// KeyCount counts the keys the disk holds.
func (s *Store) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, held := range s.replicas {
		count += len(held.values)
	}
	return count
}
