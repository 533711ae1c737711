// Package founding forms the cluster at the very first start of a whole
// system, by the processes themselves. The seeds vote on the first disk set,
// each in the memory of its first life, by ballots (single-decree Paxos): a
// set is decided once a majority of the seeds accepted it under one ballot,
// and whoever goes on later takes up what was accepted before. So there is one
// set, whoever proposes it and whatever is lost on the way. The disks are told
// only of a set that is decided. A process that was not told that this is the
// first start neither proposes nor votes.
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
)

// least is how few disks a cluster is formed of.
const least = 3

// Bootstrapper is a seed's part in it.
type Bootstrapper struct {
	clock    base.Clock
	wire     base.Wire
	view     *membership.View
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	owner    *register.Server
	seeds    []string
	place    int
	tolerate int

	mu   sync.Mutex
	vote consensus.Acceptor[*register.DiskSet]
}

// New makes a founder at an address; one that is no seed's neither proposes
// nor is asked.
func New(clock base.Clock, wire base.Wire, view *membership.View, bounds *base.Table[base.Bounds], counters *base.Counters, owner *register.Server, addr string, seeds []string, tolerate int) *Bootstrapper {
	return &Bootstrapper{clock: clock, wire: wire, view: view, bounds: bounds, counters: counters, owner: owner,
		seeds: seeds, place: slices.Index(seeds, addr), tolerate: tolerate}
}

// Run founds the cluster unless it is found to be formed. The first seed begins
// once the storage machines it knows have been the same for a while; the others
// step in later, each after the one before.
func (f *Bootstrapper) Run() {
	if f.place < 0 {
		return
	}
	var list []string
	since := f.clock.Now()
	for !f.view.Closed() && f.owner.KnownDiskSet() == nil {
		bounds := f.bounds.Load()
		now := f.present()
		if !slices.Equal(list, now) {
			list, since = now, f.clock.Now()
		}
		steady := f.clock.Now() - since
		begin := bounds.Recover/20 + time.Duration(f.place)*bounds.Recover/8
		if len(list) >= max(least, 2*f.tolerate+1) && steady >= begin {
			if f.found(list, steady >= begin+bounds.Recover/12) {
				return
			}
			f.clock.Sleep(time.Duration(f.clock.Int64N(int64(bounds.Beat()))))
		}
		f.clock.Sleep(bounds.Beat() / 5)
	}
}

// present lists the storage machines by their addresses.
func (f *Bootstrapper) present() []string {
	addrs := base.Map(f.view.Available(membership.RoleStorage), func(m *membership.Member) string { return m.Addr })
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// found makes one try. Late tries go without machines that do not answer.
func (f *Bootstrapper) found(addrs []string, late bool) bool {
	fresh, formed := f.gather(addrs)
	if formed != nil {
		f.owner.LearnDiskSet(formed)
		return true
	}
	if len(fresh.Disks) < max(least, 2*f.tolerate+1) || len(fresh.Disks) < len(addrs) && !late {
		return false
	}
	set := f.decide(fresh)
	if set == nil {
		return false
	}
	took := base.Ask(f.clock, set.Disks, consensus.Majority(len(set.Disks)), f.bounds.Load().DiskLimit(), func(ctx *base.Ctx, entry *register.DiskEntry) bool {
		ack, err := f.disk(entry.Addr).Adopt(ctx, &register.AdoptRequest{Set: set})
		return err == nil && ack.Ok
	})
	if took {
		f.owner.LearnDiskSet(set) // the cores bring it to the other disks
		f.counters.Add("clusters_founded", 1)
	}
	return took
}

func (f *Bootstrapper) disk(addr string) register.Disk {
	return register.NewDiskProtobufClient("http://"+addr, f.wire)
}

// gather formats the disks and makes a set of them. Where one is in a set
// already, the cluster was formed.
func (f *Bootstrapper) gather(addrs []string) (fresh, formed *register.DiskSet) {
	var mu sync.Mutex
	states := map[string]*register.DiskState{}
	base.AskAll(f.clock, addrs, f.bounds.Load().DiskLimit()/2, func(ctx *base.Ctx, addr string) {
		state, err := f.disk(addr).Format(ctx, &register.FormatRequest{})
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			states[addr] = state
		}
	})
	zones := map[string]string{}
	for _, member := range f.view.Known(membership.RoleStorage) {
		zones[member.Addr] = member.Zone
	}
	mu.Lock()
	defer mu.Unlock()
	fresh = &register.DiskSet{Stamp: 1, Cluster: base.NewID(f.clock, "cluster-")}
	for _, addr := range base.SortedKeys(states) {
		state := states[addr]
		if len(state.Set.GetDisks()) > 0 {
			formed = state.Set
		}
		fresh.Disks = append(fresh.Disks, &register.DiskEntry{Id: state.Id, Addr: addr, Zone: zones[addr], Node: state.Node})
	}
	return fresh, formed
}

// decide has a majority of the seeds accept one set under a ballot of this
// seed's: the newest that any of a majority had accepted, else the fresh one.
func (f *Bootstrapper) decide(fresh *register.DiskSet) *register.DiskSet {
	f.mu.Lock()
	ballot := consensus.NextBallot(f.vote.Promised, len(f.seeds), f.place)
	f.vote.Promised = ballot // it is used once
	f.mu.Unlock()
	var mu sync.Mutex
	proposal := consensus.Proposal[*register.DiskSet]{Value: fresh}
	learn := func(vote *Vote) {
		mu.Lock()
		if vote.Ok {
			proposal = proposal.Learn(vote.Accepted, vote.Set)
		}
		mu.Unlock()
		f.mu.Lock()
		f.vote.Promised = max(f.vote.Promised, vote.Promised) // the next ballot is higher
		f.mu.Unlock()
	}
	if !f.ask(func(ctx *base.Ctx, seed Founding) (*Vote, error) {
		return seed.Prepare(ctx, &PrepareRequest{Ballot: ballot})
	}, learn) {
		return nil
	}
	mu.Lock()
	chosen := proposal.Value
	mu.Unlock()
	if !f.ask(func(ctx *base.Ctx, seed Founding) (*Vote, error) {
		return seed.Accept(ctx, &AcceptRequest{Ballot: ballot, Set: chosen})
	}, learn) {
		return nil
	}
	return chosen
}

func (f *Bootstrapper) ask(call func(ctx *base.Ctx, seed Founding) (*Vote, error), learn func(*Vote)) bool {
	return base.Ask(f.clock, f.seeds, consensus.Majority(len(f.seeds)), f.bounds.Load().DiskLimit()/2, func(ctx *base.Ctx, addr string) bool {
		var seed Founding = f
		if addr != f.seeds[f.place] {
			seed = NewFoundingProtobufClient("http://"+addr, f.wire)
		}
		vote, err := call(ctx, seed)
		if err != nil {
			return false
		}
		learn(vote)
		return vote.Ok
	})
}

// Prepare promises to vote for no older ballot, and tells what was accepted.
func (f *Bootstrapper) Prepare(_ context.Context, request *PrepareRequest) (*Vote, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, ok := f.vote.Prepare(request.Ballot)
	f.vote = next
	return &Vote{Ok: ok, Promised: next.Promised, Accepted: next.Accepted, Set: next.Value}, nil
}

// Accept votes for a set unless a later ballot was promised.
func (f *Bootstrapper) Accept(_ context.Context, request *AcceptRequest) (*Vote, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, ok := f.vote.Accept(request.Ballot, request.Set)
	f.vote = next
	return &Vote{Ok: ok, Promised: next.Promised}, nil
}
