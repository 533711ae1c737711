// Package register implements the control state: a replicated key-value store that
// is divided into shards.
//
// Keys belong to groups, and groups are hashed into shards. Each shard has one
// core as its leader at a time, under an epoch. To take a shard over, a core has a
// majority of the disks promise a higher epoch, reads the newest content of that
// majority, installs it under the new epoch, and only then serves requests. A
// change is executed in the leader's memory, numbered within its shard, and
// acknowledged once a majority of the disks has synced it. A disk holds a prefix
// of a shard's changes under the epoch that installed its content, so the newest
// content of a majority is the one with the highest (epoch, sequence number).
// There is no log across shards and no common leader.
//
// Messages, stored keys, counters and error codes call a shard a slot and its
// leader the owner. A disk is the replica of all shards that a storage machine
// keeps, and a disk set is a version of the set of replicas.
package register

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

const (
	// ShardCount is how many shards the control state has.
	ShardCount = 32
	// FeedGroup is the group that every node watches. It has shard 0 to itself.
	FeedGroup = "feed"
)

// Server is a core's part of the control state: it leads shards, executes
// operations on them and replicates them to the disks.
type Server struct {
	clock      base.Clock
	httpClient base.HTTPClient
	view       *membership.View
	bounds     *base.AtomicPointer[base.Bounds]
	counters   *base.Counters
	ops        map[string]Op
	sweeps     []func(tx *Tx)
	shards     [ShardCount]*shard

	// reconciler is set by EnableReconcile; nil if the disk set is changed by
	// operators only.
	reconciler *reconciler
	quorum     quorumContact

	mu sync.Mutex
	// diskSet is the newest disk set that this core knows.
	diskSet *DiskSet
	// slowDisks records when a disk was last slow to confirm an epoch.
	slowDisks map[string]time.Duration
	// setLookup is the running lookup of a disk set, if any.
	setLookup base.Signal
	// reconfiguring reports whether driveReconfiguration's task is running.
	reconfiguring bool
	// silentCores are the cores that did not answer the last census.
	silentCores []string
	// repairs counts the repairs in progress, by disk; repairEnded fires when one
	// ends.
	repairs     map[string]int
	repairEnded base.Signal
	closed      bool
}

// NewServer returns the server of a core; Run starts it.
func NewServer(clock base.Clock, httpClient base.HTTPClient, view *membership.View, bounds *base.AtomicPointer[base.Bounds], counters *base.Counters) *Server {
	srv := &Server{clock: clock, httpClient: httpClient, view: view, bounds: bounds, counters: counters, ops: map[string]Op{}, slowDisks: map[string]time.Duration{}, repairs: map[string]int{}, repairEnded: clock.NewSignal()}
	srv.registerDiskSetOps()
	srv.registerRetirementOps()
	for num := range srv.shards {
		srv.shards[num] = &shard{num: uint32(num), changed: base.NewNotifier(clock)}
	}
	return srv
}

// diskClient returns a client of a disk.
func (srv *Server) diskClient(entry *DiskEntry) Disk {
	return NewDiskProtobufClient("http://"+entry.Addr, srv.httpClient)
}

// claim returns the header of a message to one disk of a set.
func (srv *Server) claim(s *shard, epoch uint64, set *DiskSet, entry *DiskEntry) *Claim {
	return &Claim{Slot: s.num, Epoch: epoch, Owner: srv.view.SelfID(), SetStamp: set.Stamp, Disk: entry.Id}
}

// Run takes over the shards that this core is the preferred leader of, drives
// changes of the disk set, and runs the sweeps, until Close.
func (srv *Server) Run() {
	lastSweep := srv.clock.Now()
	for !srv.isClosed() {
		for _, s := range srv.shards {
			if srv.preferredLeader(s) == srv.view.SelfID() {
				srv.startTakeover(s)
			}
		}
		srv.probeQuorum()
		srv.driveReconfiguration()
		if srv.clock.Now()-lastSweep > srv.bounds.Load().SweepInterval() {
			lastSweep = srv.clock.Now()
			srv.runSweeps()
		}
		srv.clock.Sleep(srv.bounds.Load().HeartbeatInterval())
	}
}

// isClosed reports whether Close was called.
func (srv *Server) isClosed() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.closed
}

// Close stops serving at once; other cores take the shards over under higher
// epochs.
func (srv *Server) Close() {
	srv.mu.Lock()
	srv.closed = true
	srv.mu.Unlock()
	for _, s := range srv.shards {
		s.mu.Lock()
		s.phase, s.epoch = phaseIdle, 0
		s.mu.Unlock()
		s.changed.Notify()
	}
}

// AwaitHandover waits until other cores have taken this core's shards over. It
// still serves those that are not taken over yet.
func (srv *Server) AwaitHandover(timeout time.Duration) {
	deadline := srv.clock.Now() + timeout
	for _, s := range srv.shards {
		for {
			changed := s.changed.Next()
			s.mu.Lock()
			leads := s.phase == phaseLeading
			s.mu.Unlock()
			if !leads || !changed.Wait(max(0, deadline-srv.clock.Now())) {
				break
			}
		}
	}
}

// Status returns the shards that this core leads and the disk set, for the status
// page.
func (srv *Server) Status() (ledShards []uint32, set *DiskSet) {
	for _, s := range srv.shards {
		s.mu.Lock()
		if s.phase == phaseLeading {
			ledShards = append(ledShards, s.num)
		}
		s.mu.Unlock()
	}
	return ledShards, srv.LookupDiskSet()
}
