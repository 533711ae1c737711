// Package register is the control state. Keys belong to groups, groups are
// hashed into slots, and each slot has one core owner at a time under an
// epoch. To take a slot a core raises the epoch on a majority of the disks,
// reads that majority, writes the newest content back under the new epoch,
// and only then serves. A change is decided in memory, numbered within its
// slot, and answered once a majority of disks has it synced. Disks hold a
// prefix of the slot's numbers under the epoch that installed it, so the
// newest content of a majority is the one with the highest (epoch, number).
// There is no log across slots and no leader for all of them.
package register

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

const (
	// Slots is how many parts the control state is cut into.
	ShardCount = 32
	// FeedGroup is the group whose changes every node follows.
	FeedGroup = "feed"
)

// Server is a core's part in the register.
type Server struct {
	clock    base.Clock
	wire     base.Wire
	view     *membership.View
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	ops      map[string]Op
	sweeps   []func(tx *Tx)
	slots    [ShardCount]*slot

	// mending is set by Mend, before Run.
	mending *mending
	contact quorumContact

	mu     sync.Mutex
	set    *DiskSet
	slow   map[string]time.Duration
	lookup base.Signal
	moving bool
	// mute are the cores that gave the last census no answer.
	mute     []string
	repairs  map[string]int
	repaired base.Signal
	closed   bool
}

func NewServer(clock base.Clock, wire base.Wire, view *membership.View, bounds *base.Table[base.Bounds], counters *base.Counters) *Server {
	o := &Server{clock: clock, wire: wire, view: view, bounds: bounds, counters: counters, ops: map[string]Op{}, slow: map[string]time.Duration{}, repairs: map[string]int{}, repaired: clock.NewSignal()}
	o.handleDisks()
	o.handleRetiring()
	for num := range o.slots {
		o.slots[num] = &slot{num: uint32(num), bell: base.NewBell(clock)}
	}
	return o
}

func (o *Server) disk(entry *DiskEntry) Disk {
	return NewDiskProtobufClient("http://"+entry.Addr, o.wire)
}

// claim is a message's head to one disk of a set.
func (o *Server) claim(s *slot, epoch uint64, set *DiskSet, entry *DiskEntry) *Claim {
	return &Claim{Slot: s.num, Epoch: epoch, Owner: o.view.SelfID(), SetStamp: set.Stamp, Disk: entry.Id}
}

// Run takes the slots that rendezvous gives this core, and sweeps.
func (o *Server) Run() {
	swept := o.clock.Now()
	for !o.isClosed() {
		for _, s := range o.slots {
			if o.preferred(s) == o.view.SelfID() {
				o.start(s)
			}
		}
		o.seekQuorum()
		o.moveDisks()
		if o.clock.Now()-swept > o.bounds.Load().Sweep() {
			swept = o.clock.Now()
			o.sweepAll()
		}
		o.clock.Sleep(o.bounds.Load().Beat())
	}
}

func (o *Server) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// Close stops serving at once; another core takes the slots by epoch.
func (o *Server) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	for _, s := range o.slots {
		s.mu.Lock()
		s.phase, s.epoch = idle, 0
		s.mu.Unlock()
		s.bell.Ring()
	}
}

// AwaitHandover waits until other cores have taken this one's slots, while it still
// answers for those not yet taken.
func (o *Server) AwaitHandover(limit time.Duration) {
	end := o.clock.Now() + limit
	for _, s := range o.slots {
		for {
			next := s.bell.Next()
			s.mu.Lock()
			serves := s.phase == serving
			s.mu.Unlock()
			if !serves || !next.Wait(max(0, end-o.clock.Now())) {
				break
			}
		}
	}
}

// Status counts what this core owns, for the status page.
func (o *Server) Status() (owned []uint32, set *DiskSet) {
	for _, s := range o.slots {
		s.mu.Lock()
		if s.phase == serving {
			owned = append(owned, s.num)
		}
		s.mu.Unlock()
	}
	return owned, o.LookupDiskSet()
}
