// Package founding bootstraps a cluster at the very first start of a whole system.
//
// The seeds vote on the first disk set with single-decree Paxos. A set is
// decided once a majority of the seeds has accepted it under one ballot, and a
// later proposer adopts a set that was accepted before. So exactly one set is
// decided, whichever seed proposes it and whichever messages are lost. The
// disks are sent only a decided set. A seed takes part if it was told that this is
// the first start, and after a restart if its votes are still on its disk.
package founding

import (
	"context"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
	"fordseam/internal/register"

	"github.com/apex/log"
)

// minDisks is the least number of disks that a cluster is formed of.
const minDisks = 3

// Bootstrapper is a seed's part in the bootstrap of a cluster.
type Bootstrapper struct {
	clock      base.Clock
	httpClient base.HTTPClient
	view       *membership.View
	bounds     *base.AtomicPointer[base.Bounds]
	counters   *base.Counters
	server     *register.Server
	votes      *Votes
	seeds      []string
	seedIndex  int
	tolerate   int
}

// New returns the bootstrapper of the process at an address, with its votes. If that
// is not the address of a seed, it neither proposes nor is asked to vote. The cluster
// is to tolerate the loss of a number of machines at once.
func New(clock base.Clock, httpClient base.HTTPClient, view *membership.View, bounds *base.AtomicPointer[base.Bounds], counters *base.Counters, server *register.Server, addr string, votes *Votes, tolerate int) *Bootstrapper {
	return &Bootstrapper{clock: clock, httpClient: httpClient, view: view, bounds: bounds, counters: counters, server: server,
		votes: votes, seeds: votes.seeds, seedIndex: slices.Index(votes.seeds, addr), tolerate: tolerate}
}

// Run bootstraps the cluster, unless it turns out to exist already. The first
// seed begins once the set of storage machines that it knows has not changed
// for a twentieth of the recovery bound. Each further seed begins an eighth of
// that bound later than the one before, in case those have failed.
func (b *Bootstrapper) Run() {
	if b.seedIndex < 0 {
		return
	}
	b.formCluster()
	if b.server.KnownDiskSet() != nil {
		b.votes.conclude()
	}
}

// formCluster makes attempts until the cluster exists or the process stops.
func (b *Bootstrapper) formCluster() {
	log.WithFields(log.Fields{"seed": b.seedIndex, "seeds": b.seeds}).Info("waiting for storage machines to form a cluster")
	var addrs []string
	unchangedSince := b.clock.Now()
	for !b.view.Closed() && b.server.KnownDiskSet() == nil {
		bounds := b.bounds.Load()
		current := b.storageAddrs()
		if !slices.Equal(addrs, current) {
			addrs, unchangedSince = current, b.clock.Now()
		}
		stableFor := b.clock.Now() - unchangedSince
		startAfter := bounds.Recovery/20 + time.Duration(b.seedIndex)*bounds.Recovery/8
		if len(addrs) >= max(minDisks, 2*b.tolerate+1) && stableFor >= startAfter {
			if b.tryBootstrap(addrs, stableFor >= startAfter+bounds.Recovery/12) {
				return
			}
			b.clock.Sleep(time.Duration(b.clock.Int64N(int64(bounds.HeartbeatInterval()))))
		}
		b.clock.Sleep(bounds.HeartbeatInterval() / 5)
	}
}

// storageAddrs returns the addresses of the live storage machines.
func (b *Bootstrapper) storageAddrs() []string {
	addrs := base.Map(b.view.Available(membership.RoleStorage), func(m *membership.Member) string { return m.Addr })
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// tryBootstrap makes one attempt and reports whether the cluster exists now. With
// allowMissing it proceeds without machines that do not answer.
func (b *Bootstrapper) tryBootstrap(addrs []string, allowMissing bool) bool {
	newSet, existingSet := b.formatDisks(addrs)
	if existingSet != nil {
		b.server.LearnDiskSet(existingSet)
		return true
	}
	if len(newSet.Disks) < max(minDisks, 2*b.tolerate+1) || len(newSet.Disks) < len(addrs) && !allowMissing {
		return false
	}
	set := b.decideDiskSet(newSet)
	if set == nil {
		return false
	}
	adopted := base.CallQuorum(b.clock, set.Disks, consensus.Majority(len(set.Disks)), b.bounds.Load().DiskTimeout(), func(ctx *base.Ctx, entry *register.DiskEntry) bool {
		ack, err := b.diskClient(entry.Addr).Adopt(ctx, &register.AdoptRequest{Set: set})
		return err == nil && ack.Ok
	})
	if adopted {
		b.server.LearnDiskSet(set) // the cores send it to the other disks
		b.counters.Add("clusters_founded", 1)
		log.WithFields(log.Fields{"cluster": set.Cluster, "disks": len(set.Disks)}).Info("cluster formed")
	}
	return adopted
}

// diskClient returns a client of the disk at an address.
func (b *Bootstrapper) diskClient(addr string) register.Disk {
	return register.NewDiskProtobufClient("http://"+addr, b.httpClient)
}

// formatDisks formats the disks at the addresses and returns a new set of those
// that answered. If one already has a disk set, the cluster exists, and that
// set is returned as well.
func (b *Bootstrapper) formatDisks(addrs []string) (newSet, existingSet *register.DiskSet) {
	var mu sync.Mutex
	states := map[string]*register.DiskState{}
	base.CallAll(b.clock, addrs, b.bounds.Load().DiskTimeout()/2, func(ctx *base.Ctx, addr string) {
		state, err := b.diskClient(addr).Format(ctx, &register.FormatRequest{})
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			states[addr] = state
		}
	})
	zones := map[string]string{}
	for _, member := range b.view.Known(membership.RoleStorage) {
		zones[member.Addr] = member.Zone
	}
	mu.Lock()
	defer mu.Unlock()
	newSet = &register.DiskSet{Stamp: 1, Cluster: base.NewID(b.clock, "cluster-")}
	for _, addr := range base.SortedKeys(states) {
		state := states[addr]
		if len(state.Set.GetDisks()) > 0 {
			existingSet = state.Set
		}
		newSet.Disks = append(newSet.Disks, &register.DiskEntry{Id: state.Id, Addr: addr, Zone: zones[addr], Node: state.Node})
	}
	return newSet, existingSet
}

// decideDiskSet has a majority of the seeds accept one set under a ballot of this
// seed: the one that any of a majority accepted under the highest ballot before,
// else the new one. It returns nil if no majority accepted.
func (b *Bootstrapper) decideDiskSet(newSet *register.DiskSet) *register.DiskSet {
	started, ok := b.votes.change(func(state acceptor) (acceptor, bool) {
		state.Promised = consensus.NextBallot(state.Promised, len(b.seeds), b.seedIndex) // no ballot is used twice
		return state, true
	})
	if !ok {
		return nil
	}
	ballot := started.Promised
	var mu sync.Mutex
	proposal := consensus.Proposal[*register.DiskSet]{Value: newSet}
	learn := func(vote *Vote) {
		mu.Lock()
		if vote.Ok {
			proposal = proposal.Learn(vote.Accepted, vote.Set)
		}
		mu.Unlock()
		b.votes.observe(vote.Promised) // makes the next ballot higher
	}
	if !b.askSeeds(func(ctx *base.Ctx, seed Founding) (*Vote, error) {
		return seed.Prepare(ctx, &PrepareRequest{Ballot: ballot})
	}, learn) {
		return nil
	}
	mu.Lock()
	chosen := proposal.Value
	mu.Unlock()
	if !b.askSeeds(func(ctx *base.Ctx, seed Founding) (*Vote, error) {
		return seed.Accept(ctx, &AcceptRequest{Ballot: ballot, Set: chosen})
	}, learn) {
		return nil
	}
	return chosen
}

// askSeeds calls all seeds, this one directly, and reports whether a majority voted
// yes. Each vote is passed to learn.
func (b *Bootstrapper) askSeeds(call func(ctx *base.Ctx, seed Founding) (*Vote, error), learn func(*Vote)) bool {
	return base.CallQuorum(b.clock, b.seeds, consensus.Majority(len(b.seeds)), b.bounds.Load().DiskTimeout()/2, func(ctx *base.Ctx, addr string) bool {
		var seed Founding = b
		if addr != b.seeds[b.seedIndex] {
			seed = NewFoundingProtobufClient("http://"+addr, b.httpClient)
		}
		vote, err := call(ctx, seed)
		if err != nil {
			return false
		}
		learn(vote)
		return vote.Ok
	})
}

// Prepare promises not to vote under a lower ballot, unless a higher one was
// promised, and returns the set that this seed has accepted, if any.
func (b *Bootstrapper) Prepare(_ context.Context, request *PrepareRequest) (*Vote, error) {
	next, ok := b.votes.change(func(state acceptor) (acceptor, bool) { return state.Prepare(request.Ballot) })
	return &Vote{Ok: ok, Promised: next.Promised, Accepted: next.Accepted, Set: next.Value}, nil
}

// Accept votes for a set unless a higher ballot was promised.
func (b *Bootstrapper) Accept(_ context.Context, request *AcceptRequest) (*Vote, error) {
	next, ok := b.votes.change(func(state acceptor) (acceptor, bool) { return state.Accept(request.Ballot, request.Set) })
	return &Vote{Ok: ok, Promised: next.Promised}, nil
}
