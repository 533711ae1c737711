// Package membership maintains each node's view of the fleet with a gossip
// protocol in the manner of SWIM. A view lists the other nodes; in a large
// fleet it is partial. A node exchanges one small message at a time with one
// other node. The reply is the sign of life: when none comes, two other nodes
// are asked to probe the member, and it is suspected when they get no reply
// either.
//
// A change (a member joined, leaves, became unwell or well, is suspected, has
// refuted a suspicion, or is gone) spreads as an update that each node passes
// on a number of times that grows with the logarithm of the fleet's size. Besides
// updates a message carries a digest of the view, by which two nodes find that
// their views differ, or a small sample of a partial view. Load reports of workers
// spread in the same way, because they are as provisional as the view itself.
//
// Suspicion only decides whom nodes send messages to and which node a
// rendezvous hash selects. It never grants ownership; only epochs do.
package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
)

const (
	// The roles of members.
	RoleGateway = "edge"
	RoleCore    = "core"
	RoleStorage = "storage"

	// Limits on the members of a view, and on what one message carries.
	maxViewMembers       = 96
	maxUpdatesPerMessage = 24
	maxUsagesPerMessage  = 16
	maxSampleMembers     = 4
	// sampleEvery is how many rounds pass between samples of a partial view.
	// retryEvery is how many pass between tries of an unresponsive member or an
	// unknown seed.
	sampleEvery = 8
	retryEvery  = 4
	// maxJoinAddrs is how many addresses a node that knows no live member tries
	// at once.
	maxJoinAddrs = 6
	// isolatedRoundsPerDoubling is after how many rounds without a live member
	// the delay between rounds doubles.
	isolatedRoundsPerDoubling = 16
	// expectedVerifiers is how many nodes, on average, probe a member
	// themselves when a suspicion of it spreads.
	expectedVerifiers = 3
	// indirectProbers is how many other nodes are asked to probe an
	// unresponsive member.
	indirectProbers = 2
)

// View is one node's view of the fleet.
type View struct {
	clock          base.Clock
	httpClient     base.HTTPClient
	bounds         *base.AtomicPointer[base.Bounds]
	counters       *base.Counters
	seeds          []string
	usages         UsageStore
	changeNotifier *base.Notifier
	// KnownCluster returns the cluster that this node belongs to, as its disk
	// or the control state says, or "" while that is unknown. It is set before
	// Run.
	KnownCluster func() string
	// UnwellReason returns in a word what keeps this node from serving, or "".
	// It is set before Run.
	UnwellReason func() string

	published atomic.Pointer[snapshot] // nil after a change

	mu             sync.Mutex
	self           *Member
	cluster        string
	known          map[string]*peer
	pendingUpdates map[string]*update         // by member id
	lastQueued     map[string]incarnationMark // by member id and state
	tombstones     map[string]incarnationMark // by member id
	round          uint64
	lastCompared   time.Duration // when another complete view was last requested
	// isolatedRounds counts the consecutive rounds without a live member.
	isolatedRounds int
	// partialUntil is until when the view counts as partial, because it had to
	// drop members.
	partialUntil time.Duration
	closed       bool
}

// UsageStore holds the load reports of workers that messages carry. Sample
// returns up to limit reports that it has returned fewer than times before, the
// least returned first. HasUnsent reports whether Sample would return any.
type UsageStore interface {
	Sample(limit, times int) []*Usage
	HasUnsent(times int) bool
	Merge([]*Usage)
}

// NewView returns the view of the node that self describes. The seeds are the
// addresses at which it looks for the fleet. usages is nil on nodes that do not
// use load reports.
func NewView(clock base.Clock, httpClient base.HTTPClient, bounds *base.AtomicPointer[base.Bounds], counters *base.Counters, self *Member, seeds []string, usages UsageStore) *View {
	self.Incarnation = max(self.Incarnation, 1)
	return &View{clock: clock, httpClient: httpClient, bounds: bounds, counters: counters, self: self, seeds: seeds, changeNotifier: base.NewNotifier(clock),
		usages: usages, known: map[string]*peer{}, pendingUpdates: map[string]*update{}, lastQueued: map[string]incarnationMark{}, tombstones: map[string]incarnationMark{}}
}

// Self returns this node's own entry.
func (v *View) Self() *Member { return v.currentSnapshot().byID[v.self.Id] }

// SelfID returns this node's id, which is fixed until the process restarts.
func (v *View) SelfID() string { return v.self.Id }

// Run exchanges messages with other nodes until Close: every two heartbeat
// intervals (base.Bounds.HeartbeatInterval), and more often while there are updates to pass
// on.
func (v *View) Run() {
	for !v.Closed() {
		if v.KnownCluster != nil {
			v.learnCluster(v.KnownCluster())
		}
		v.RefreshHealth()
		roundStart := v.clock.Now()
		partner, addrs, joining := v.pickPartner()
		if partner != "" {
			v.probe(partner)
		}
		for _, addr := range addrs {
			v.clock.Go(func() { _, _ = v.exchange(addr, v.bounds.Load().HeartbeatInterval()*4, joining) })
		}
		v.waitForNextRound()
		if elapsed := v.clock.Now() - roundStart; elapsed > v.bounds.Load().SuspectTimeout() {
			v.discardStaleUpdates()
		}
	}
}

// waitForNextRound waits one and a half to two and a half heartbeat intervals.
// With pending updates it waits only long enough to gather more of them.
func (v *View) waitForNextRound() {
	beat := v.bounds.Load().HeartbeatInterval()
	deadline := v.clock.Now() + beat*3/2 + time.Duration(v.clock.Int64N(int64(beat)))
	for {
		next := v.changeNotifier.Next()
		v.mu.Lock()
		hasUpdates, isolated, hasUsages := len(v.pendingUpdates) > 0, v.isolated(), v.usages != nil && v.usages.HasUnsent(v.maxSends())
		if !isolated {
			v.isolatedRounds = 0
		}
		v.mu.Unlock()
		switch {
		case hasUpdates:
			v.clock.Sleep(min(max(0, deadline-v.clock.Now()), beat/8+time.Duration(v.clock.Int64N(int64(beat/4)))))
			return
		case isolated:
			deadline = min(deadline, v.clock.Now()+v.isolatedDelay())
		case hasUsages:
			deadline = min(deadline, v.clock.Now()+beat)
		}
		if !next.Wait(max(0, deadline-v.clock.Now())) {
			return
		}
	}
}

// isolatedDelay returns how long a node without a live member waits before it
// tries again. The delay starts short, because after an outage the nodes that
// it asks start at the same time as itself.
func (v *View) isolatedDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	beat := v.bounds.Load().HeartbeatInterval()
	delay := min(beat, beat/8<<min(v.isolatedRounds/isolatedRoundsPerDoubling, 3))
	v.isolatedRounds++
	return delay/2 + time.Duration(v.clock.Int64N(int64(delay/2)+1))
}

// NextChange returns a signal that fires when there is another update about a
// member.
func (v *View) NextChange() base.Signal { return v.changeNotifier.Next() }

// discardStaleUpdates drops pending updates after the process was suspended for
// long, because they are out of date.
func (v *View) discardStaleUpdates() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pendingUpdates, v.lastCompared = map[string]*update{}, 0
	v.counters.Add("views_woken", 1)
}

// RefreshHealth asks UnwellReason again and announces a change to the other
// nodes.
func (v *View) RefreshHealth() {
	if v.UnwellReason != nil {
		v.setUnwell(v.UnwellReason())
	}
}

// setUnwell records what keeps this node from serving and announces a change.
func (v *View) setUnwell(reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Unwell != reason {
		v.self.Unwell = reason
		v.announceSelf()
	}
}

// learnCluster sets the name of this node's cluster if it is not set yet.
func (v *View) learnCluster(cluster string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cluster == "" {
		v.cluster = cluster
	}
}

// SetCluster sets the cluster that the process's settings name, before Run.
func (v *View) SetCluster(cluster string) { v.learnCluster(cluster) }

// Partial reports whether the view holds as many members as it may, so that
// there may be gateways that it does not list.
func (v *View) Partial() bool { return len(v.currentSnapshot().all) > maxViewMembers }

// LiveAddresses returns the addresses of the other members that are not
// suspected.
func (v *View) LiveAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	addrs := map[string]bool{}
	for _, p := range v.known {
		if v.isAlive(p) {
			addrs[p.member.Addr] = true
		}
	}
	return base.SortedKeys(addrs)
}

// Leave announces that this node takes no more work. It returns when every
// known member has replied or failed to, or the timeout is over.
func (v *View) Leave(timeout time.Duration) {
	v.mu.Lock()
	v.self.Leaving = true
	v.announceSelf()
	addrs := []string{}
	for _, id := range base.SortedKeys(v.known) {
		addrs = append(addrs, v.known[id].member.Addr)
	}
	v.mu.Unlock()
	base.CallAll(v.clock, addrs, timeout, func(_ *base.Ctx, addr string) { _, _ = v.exchange(addr, timeout, false) })
}

// Close ends Run and starts no more probes.
func (v *View) Close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	v.changeNotifier.Notify()
}

// Closed reports whether Close was called.
func (v *View) Closed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closed
}
