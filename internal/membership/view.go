// Package membership is how nodes know each other: each holds a view of the
// fleet, partial in a large one, and exchanges a few words with one neighbour
// at a time, in the manner of SWIM. An exchange is the sign of life; who gives
// none is asked for through two others, and is suspected when they find it
// silent too. What changed (joined, leaves, unwell, suspected, refuted, gone) is
// news, which each node passes on a number of times that grows with the
// logarithm of the fleet; nothing else rides along, but a digest by which two
// neighbours find that their views differ. Suspicion only steers messages and
// rendezvous; it never grants ownership, which epochs alone do. Usage reports
// of workers spread as news too, since they are as soft as the view itself.
package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
)

const (
	RoleGateway = "edge"
	RoleCore    = "core"
	RoleStorage = "storage"

	viewLimit   = 96
	newsLimit   = 24
	usageLimit  = 16
	sampleLimit = 4
	// sampleEvery is how many turns pass between samples of a partial view, and
	// silentEvery between tries at a silent neighbour or an unmet seed.
	sampleEvery = 8
	silentEvery = 4
	// joinWidth is how many addresses a node that knows nobody alive tries at once.
	joinWidth = 6
	// lonelyTurns is after how many turns alone the pause between them doubles.
	lonelyTurns = 16
	// verifiers is how many of the fleet look for themselves when a suspicion spreads.
	verifiers = 3
	// relays is how many others are asked to look for a silent neighbour.
	relays = 2
)

// View is this node's view of the fleet.
type View struct {
	clock    base.Clock
	wire     base.Wire
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	seeds    []string
	usages   UsageStore
	notify   *base.Bell
	// Cluster tells the cluster this node knows itself to be of, from its disk
	// or the control state; "" while it does not know. It is set before Run.
	KnownCluster func() string
	// Unwell says in a word what keeps this node from serving, if anything; it
	// is set before Run.
	UnwellReason func() string

	published atomic.Pointer[snapshot]

	mu         sync.Mutex
	self       *Member
	cluster    string
	known      map[string]*neighbour
	news       map[string]*update
	passed     map[string]tombstone
	tombstones map[string]tombstone
	turn       uint64
	synced     time.Duration
	// lonely counts the turns in a row in which this node knew nobody alive.
	lonely int
	// partial is until when the view counts as partial, since it had to drop
	// members.
	partial time.Duration
	closed  bool
}

// UsageStore is the worker slice's soft state that exchanges carry. Sample gives
// reports that were given fewer than times before, the least given first.
type UsageStore interface {
	Sample(limit, times int) []*Usage
	HasUnsent(times int) bool
	Merge([]*Usage)
}

func NewView(clock base.Clock, wire base.Wire, bounds *base.Table[base.Bounds], counters *base.Counters, self *Member, seeds []string, usages UsageStore) *View {
	self.Incarnation = max(self.Incarnation, 1)
	return &View{clock: clock, wire: wire, bounds: bounds, counters: counters, self: self, seeds: seeds, notify: base.NewBell(clock),
		usages: usages, known: map[string]*neighbour{}, news: map[string]*update{}, passed: map[string]tombstone{}, tombstones: map[string]tombstone{}}
}

// Self is this node's own entry.
func (v *View) Self() *Member { return v.current().byID[v.self.Id] }

// SelfID is this node's id, which never changes within a life.
func (v *View) SelfID() string { return v.self.Id }

// Run exchanges with neighbours until the view is closed: every two beats, and
// faster while there is news to pass on.
func (v *View) Run() {
	for !v.Closed() {
		if v.KnownCluster != nil {
			v.joinCluster(v.KnownCluster())
		}
		v.RefreshHealth()
		began := v.clock.Now()
		partner, addrs, joins := v.pickPartners()
		if partner != "" {
			v.probe(partner)
		}
		for _, addr := range addrs {
			v.clock.Go(func() { _, _ = v.exchange(addr, v.bounds.Load().Beat()*4, joins) })
		}
		v.pause()
		if asleep := v.clock.Now() - began; asleep > v.bounds.Load().Suspect() {
			v.wake()
		}
	}
}

// pause waits for the next turn: as long as nothing is new, else just long
// enough to gather what comes in.
func (v *View) pause() {
	beat := v.bounds.Load().Beat()
	end := v.clock.Now() + beat*3/2 + time.Duration(v.clock.Int64N(int64(beat)))
	for {
		next := v.notify.Next()
		v.mu.Lock()
		hurry, alone, gossip := len(v.news) > 0, v.alone(), v.usages != nil && v.usages.HasUnsent(v.times())
		if !alone {
			v.lonely = 0
		}
		v.mu.Unlock()
		switch {
		case hurry:
			v.clock.Sleep(min(max(0, end-v.clock.Now()), beat/8+time.Duration(v.clock.Int64N(int64(beat/4)))))
			return
		case alone:
			end = min(end, v.clock.Now()+v.lonelyPause())
		case gossip:
			end = min(end, v.clock.Now()+beat)
		}
		if !next.Wait(max(0, end-v.clock.Now())) {
			return
		}
	}
}

// lonelyPause is how long a node that knows nobody alive waits before it tries
// again: after an outage those whom it asks start in the same moment as itself.
func (v *View) lonelyPause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	beat := v.bounds.Load().Beat()
	pause := min(beat, beat/8<<min(v.lonely/lonelyTurns, 3))
	v.lonely++
	return pause/2 + time.Duration(v.clock.Int64N(int64(pause/2)+1))
}

// NextChange fires when this node hears something new of the others.
func (v *View) NextChange() base.Signal { return v.notify.Next() }

// wake forgets the news of before a long sleep, which are old.
func (v *View) wake() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.news, v.synced = map[string]*update{}, 0
	v.counters.Add("views_woken", 1)
}

// RefreshHealth takes the word on what keeps this node from serving at once, and
// tells the neighbours if it has changed.
func (v *View) RefreshHealth() {
	if v.UnwellReason != nil {
		v.setUnwell(v.UnwellReason())
	}
}

// setUnwell takes the word on what keeps this node from serving.
func (v *View) setUnwell(word string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Unwell != word {
		v.self.Unwell = word
		v.announce()
	}
}

// joinCluster takes the name of this node's cluster, once.
func (v *View) joinCluster(cluster string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cluster == "" {
		v.cluster = cluster
	}
}

// SetCluster names the cluster from the settings file, before Run.
func (v *View) SetCluster(cluster string) { v.joinCluster(cluster) }

// Partial tells that the view holds as much as it may, so that there may be
// more gateways than it knows of.
func (v *View) Partial() bool { return len(v.current().all) > viewLimit }

// LiveAddresses lists where live neighbours are.
func (v *View) LiveAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	found := map[string]bool{}
	for _, held := range v.known {
		if v.alive(held) {
			found[held.member.Addr] = true
		}
	}
	return base.SortedKeys(found)
}

// Leave tells neighbours that this node takes no more duties, and is over
// when most have heard or the limit passed.
func (v *View) Leave(limit time.Duration) {
	v.mu.Lock()
	v.self.Leaving = true
	v.announce()
	addrs := []string{}
	for _, id := range base.SortedKeys(v.known) {
		addrs = append(addrs, v.known[id].member.Addr)
	}
	v.mu.Unlock()
	base.AskAll(v.clock, addrs, limit, func(_ *base.Ctx, addr string) { _, _ = v.exchange(addr, limit, false) })
}

func (v *View) Close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	v.notify.Ring()
}

// Closed reports whether the view was ended.
func (v *View) Closed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closed
}
