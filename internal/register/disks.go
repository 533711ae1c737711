// The disk set is itself a key, in slot 0, and changes by one disk at a
// time. A new disk first learns: it is sent all slots and has no vote. A
// change is recorded as proposed, which makes it the only possible next set;
// then it is adopted by a majority of the set before and of the set after,
// whose majorities always meet. From then on disks refuse the former set. The
// next change waits until every slot is whole on a majority of this one.
// Whoever owns slot 0 carries a change on, so one that broke off resumes.

package register

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
)

// DiskSetKey is where the feed tells of the disk set.
const DiskSetKey = "feed/disks"

const leastVoters = 3

// DiskSetRecord is the record of the disk set and of a change under way.
type DiskSetRecord struct {
	Current       *DiskSet `json:"current"`
	Next          *DiskSet `json:"next,omitempty"`
	Settled       bool     `json:"settled"`
	SettledShards int      `json:"settled_slots"`
	// Wanted is how many voters there should be once all that is lost was
	// replaced; only mending keeps it.
	TargetVoters int `json:"wanted,omitempty"`
	// Retired disks were taken out on purpose, so mending does not take them
	// back.
	Retired []string `json:"retired,omitempty"`
}

// ChangePending reports whether a change is not yet over.
func (d *DiskSetRecord) ChangePending() bool {
	if d.Next != nil || !d.Settled {
		return true
	}
	for _, entry := range d.Current.GetDisks() {
		if entry.Learner {
			return true
		}
	}
	return false
}

type disksAsk struct {
	Base  *DiskSet `json:"base,omitempty"`
	Next  *DiskSet `json:"next,omitempty"`
	Stamp uint64   `json:"stamp,omitempty"`
	Slots int      `json:"slots,omitempty"`
	// Wanted and Retire go into the record with a proposal.
	Wanted int    `json:"wanted,omitempty"`
	Retire string `json:"retire,omitempty"`
}

func loadDisks(raw []byte) *DiskSetRecord {
	if raw == nil {
		return nil
	}
	var found DiskSetRecord
	if json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

func (o *Server) handleDisks() {
	handle := func(name string, op func(tx *Tx, asked *disksAsk, now *DiskSetRecord) (*DiskSetRecord, error)) {
		o.Handle(name, func(tx *Tx, args []byte) (any, error) {
			var asked disksAsk
			_ = json.Unmarshal(args, &asked)
			return op(tx, &asked, loadDisks(tx.Get(DiskSetKey)))
		})
	}
	handle("disks.get", func(_ *Tx, _ *disksAsk, now *DiskSetRecord) (*DiskSetRecord, error) { return now, nil })
	handle("disks.record", func(tx *Tx, asked *disksAsk, now *DiskSetRecord) (*DiskSetRecord, error) {
		if now == nil {
			now = &DiskSetRecord{Current: asked.Base, Settled: true, SettledShards: ShardCount, TargetVoters: len(voters(asked.Base))}
			tx.Put(DiskSetKey, base.Encode(now))
		}
		return now, nil
	})
	handle("disks.want", func(tx *Tx, asked *disksAsk, now *DiskSetRecord) (*DiskSetRecord, error) {
		if now != nil && now.Next == nil && now.Current.Stamp == asked.Base.GetStamp() && now.TargetVoters != asked.Wanted {
			now.TargetVoters = asked.Wanted
			tx.Put(DiskSetKey, base.Encode(now))
		}
		return now, nil
	})
	handle("disks.propose", func(tx *Tx, asked *disksAsk, now *DiskSetRecord) (*DiskSetRecord, error) {
		if now == nil {
			now = &DiskSetRecord{Current: asked.Base, Settled: true, SettledShards: ShardCount}
		}
		if now.Next != nil && now.Next.Stamp == asked.Next.Stamp && string(base.Encode(now.Next)) == string(base.Encode(asked.Next)) {
			return now, nil
		}
		switch now.ToConsensus().CheckProposal(*asked.Next.ToConsensus()) {
		case consensus.ProposalChangePending:
			return nil, base.Busy(409, "disks_moving", 2, "another change of the disks is under way")
		case consensus.ProposalStale:
			return nil, base.Decline(409, "stale_stamp", "the disk set stands at %d", now.Current.Stamp)
		case consensus.ProposalTooManyVotes:
			return nil, base.Decline(409, "many_votes", "a change of the disks gives or takes one vote at most")
		}
		now.Next = asked.Next
		if asked.Wanted > 0 {
			now.TargetVoters = asked.Wanted
		}
		if asked.Retire != "" && !slices.Contains(now.Retired, asked.Retire) {
			now.Retired = append(now.Retired, asked.Retire)
		}
		if left := len(voters(asked.Next)); asked.Retire != "" && now.TargetVoters > left {
			now.TargetVoters = left
		}
		tx.Put(DiskSetKey, base.Encode(now))
		return now, nil
	})
	handle("disks.conclude", func(tx *Tx, asked *disksAsk, now *DiskSetRecord) (*DiskSetRecord, error) {
		if now != nil && now.Next != nil && now.Next.Stamp == asked.Stamp {
			now.Current, now.Next, now.Settled, now.SettledShards = now.Next, nil, false, 0
			tx.Put(DiskSetKey, base.Encode(now))
		}
		return now, nil
	})
	handle("disks.settle", func(tx *Tx, asked *disksAsk, now *DiskSetRecord) (*DiskSetRecord, error) {
		if now != nil && now.Current.Stamp == asked.Stamp && (now.SettledShards != asked.Slots || now.Settled != (asked.Slots == ShardCount)) {
			now.SettledShards, now.Settled = asked.Slots, asked.Slots == ShardCount
			tx.Put(DiskSetKey, base.Encode(now))
		}
		return now, nil
	})
}

// AdmitDisk begins to fill a blank disk, which will have a vote once it is whole.
func AdmitDisk(ctx *base.Ctx, client *Client, current *DiskSet, entry *DiskEntry) (*DiskSetRecord, error) {
	for _, known := range current.Disks {
		if known.Id == entry.Id {
			return nil, base.Decline(409, "disk_known", "the disk is in the set already")
		}
	}
	entry.Learner = true
	next := &DiskSet{Stamp: current.Stamp + 1, Cluster: current.Cluster, Disks: append(append([]*DiskEntry{}, current.Disks...), entry)}
	return propose(ctx, client, disksAsk{Base: current, Next: next})
}

// RetireDisk takes a disk out of the set.
func RetireDisk(ctx *base.Ctx, client *Client, current *DiskSet, id string) (*DiskSetRecord, error) {
	next := &DiskSet{Stamp: current.Stamp + 1, Cluster: current.Cluster,
		Disks: base.Filter(current.Disks, func(entry *DiskEntry) bool { return entry.Id != id })}
	if len(next.Disks) == len(current.Disks) {
		return nil, base.Decline(404, "unknown_disk", "no disk of the set has id %q", id)
	}
	if left := len(voters(next)); left < leastVoters {
		return nil, base.Decline(409, "too_few_disks", "%d disks would remain; at least %d must", left, leastVoters)
	}
	return propose(ctx, client, disksAsk{Base: current, Next: next, Retire: id})
}

func propose(ctx *base.Ctx, client *Client, asked disksAsk) (*DiskSetRecord, error) {
	var now DiskSetRecord
	return &now, client.Change(ctx, FeedGroup, "disks.propose", asked, &now)
}

// agreeOnSet settles a refusal for another disk set: a newer one is learnt, and
// a disk that goes by an older one, or by none yet, is given the set this core
// knows, which was recorded as proposed before any disk adopted it. It tells
// whether the disk may be asked again at once.
func (o *Server) agreeOnSet(entry *DiskEntry, ack *Ack) bool {
	if ack.Why != "set" {
		return false
	}
	before := o.knownSet().GetStamp()
	o.LearnDiskSet(ack.Set)
	set := o.knownSet()
	if ack.Set.GetStamp() < set.Stamp && inSet(set, entry.Id) {
		took, err := o.disk(entry).Adopt(base.NewCtx(o.clock, o.bounds.Load().DiskLimit()), &AdoptRequest{Set: set})
		return err == nil && took.Ok
	}
	return set.Stamp > before
}

// recorded reads the record of the disk set and the machines being retired,
// with the place up to which they must be settled before they are acted on.
func (o *Server) recorded(s *slot) (found *recorded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != serving {
		return nil
	}
	found = &recorded{epoch: s.epoch, target: s.tail}
	if raw, ok := s.held.Get(DiskSetKey); ok {
		found.disks = loadDisks(raw.([]byte))
	}
	tx := &Tx{held: s.held}
	tx.Walk(RetirementPrefix, "", func(_ string, value []byte) bool {
		if retiring := loadRetiring(value); retiring != nil {
			found.retiring = append(found.retiring, retiring)
		}
		return true
	})
	return found
}

type recorded struct {
	epoch, target uint64
	disks         *DiskSetRecord
	retiring      []*Retirement
}

// moveDisks carries changes on while this core owns slot 0: one step after
// another while they go on, then once a beat.
func (o *Server) moveDisks() {
	s := o.slots[0]
	now := o.recorded(s)
	if now == nil && o.mending != nil {
		o.mending.forget()
	}
	o.mu.Lock()
	begins := now != nil && !o.moving && (o.mending != nil || now.disks != nil && now.disks.ChangePending())
	o.moving = o.moving || begins
	o.mu.Unlock()
	if !begins {
		return
	}
	o.clock.Go(func() {
		least := o.bounds.Load().Beat() / 16
		for pause, reached := least, ""; ; {
			mark, more := o.step(s)
			if !more {
				break
			}
			if pause = min(2*pause, o.bounds.Load().Beat()/2); mark != reached {
				pause, reached = least, mark
			}
			o.clock.Sleep(pause)
		}
		o.mu.Lock()
		o.moving = false
		o.mu.Unlock()
	})
}

func (o *Server) own(op string, asked any) error {
	s := o.slots[0]
	_, err := o.decide(base.NewCtx(o.clock, o.bounds.Load().Call()), s, FeedGroup, func(tx *Tx) (any, error) {
		return o.ops[op](tx, base.Encode(asked))
	})
	return err
}

// step does the next thing a change needs. A proposal that is read here may
// not be on a majority yet, so it is settled first. It tells how far things
// have come and whether more is to be done soon.
func (o *Server) step(s *slot) (reached string, more bool) {
	found := o.recorded(s)
	if found == nil || o.settled(base.NewCtx(o.clock, o.bounds.Load().Call()), s, found.epoch, found.target) != nil {
		return "", false
	}
	now := found.disks
	if now == nil {
		if o.mending == nil || o.knownSet() == nil {
			return "", false
		}
		return "recorded", o.own("disks.record", disksAsk{Base: o.knownSet()}) == nil
	}
	if now.Next != nil {
		if !o.adopted(now.Current, now.Next) {
			return "", false
		}
		o.LearnDiskSet(now.Next)
		o.counters.Add("disk_sets_changed", 1)
		return fmt.Sprint("adopted ", now.Next.Stamp), o.own("disks.conclude", disksAsk{Stamp: now.Next.Stamp}) == nil
	}
	settled, filled := ShardCount, map[string]int{}
	if now.ChangePending() {
		settled, filled = o.census(now.Current)
	}
	if !now.Settled {
		_ = o.own("disks.settle", disksAsk{Stamp: now.Current.Stamp, Slots: settled})
		return fmt.Sprint("settled ", now.Current.Stamp, settled), true
	}
	if o.mending != nil {
		return o.mendSet(found, filled)
	}
	for _, entry := range now.Current.Disks {
		if entry.Learner && filled[entry.Id] == ShardCount {
			err := o.own("disks.propose", disksAsk{Base: now.Current, Next: now.Current.promote(entry.Id)})
			return fmt.Sprint("whole ", now.Current.Stamp), err == nil
		}
	}
	return fmt.Sprint(filled), now.ChangePending()
}

// promote is the next set, in which a learner has a vote.
func (s *DiskSet) promote(id string) *DiskSet {
	return &DiskSet{Stamp: s.Stamp + 1, Cluster: s.Cluster, Disks: base.Map(s.Disks, func(entry *DiskEntry) *DiskEntry {
		return &DiskEntry{Id: entry.Id, Addr: entry.Addr, Zone: entry.Zone, Node: entry.Node, Learner: entry.Learner && entry.Id != id}
	})}
}

// adopted has a set taken by a majority of the disks before and after, and
// by all others that can be reached.
func (o *Server) adopted(current, next *DiskSet) bool {
	all := map[string]*DiskEntry{}
	for _, entry := range append(append([]*DiskEntry{}, current.Disks...), next.Disks...) {
		all[entry.Id] = entry
	}
	var mu sync.Mutex
	took := map[string]bool{}
	before, after := *current.ToConsensus(), *next.ToConsensus()
	list := base.Map(base.SortedKeys(all), func(id string) *DiskEntry { return all[id] })
	return base.Ask(o.clock, list, 1, o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, entry *DiskEntry) bool {
		state, err := o.disk(entry).Describe(ctx, &DescribeRequest{})
		if err != nil || state.Id != entry.Id {
			return false
		}
		ack, err := o.disk(entry).Adopt(ctx, &AdoptRequest{Set: next})
		mu.Lock()
		defer mu.Unlock()
		took[entry.Id] = err == nil && ack.Ok
		return consensus.Adopted(before, after, func(id string) bool { return took[id] })
	})
}

// DiskSetIn reads the disk set from the feed's frame; nil while none is told.
func DiskSetIn(values map[string][]byte) *DiskSet { return loadDisks(values[DiskSetKey]).GetCurrent() }

// GetCurrent is the set that counts.
func (d *DiskSetRecord) GetCurrent() *DiskSet {
	if d == nil {
		return nil
	}
	return d.Current
}
