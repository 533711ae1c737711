// The disk set is itself a key, in slot 0, and changes by one disk at a
// time. A new disk first learns: it is sent all slots and has no vote. A
// change is recorded as proposed, which makes it the only possible next set;
// then it is adopted by a majority of the set before and of the set after,
// whose majorities always meet. From then on disks refuse the former set. The
// next change waits until every slot is whole on a majority of this one.
// Whoever owns slot 0 carries a change on, so one that broke off resumes.
package register

import (
	"context"
	"encoding/json"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// DisksKey is where the feed tells of the disk set.
const DisksKey = "feed/disks"

const leastVoters = 3

// Disks is the record of the disk set and of a change under way.
type Disks struct {
	Current *DiskSet `json:"current"`
	Next    *DiskSet `json:"next,omitempty"`
	Settled bool     `json:"settled"`
	Slots   int      `json:"settled_slots"`
}

// Under reports whether a change is not yet over.
func (d *Disks) Under() bool {
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
}

func loadDisks(raw []byte) *Disks {
	if raw == nil {
		return nil
	}
	var found Disks
	if json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

func (o *Owner) handleDisks() {
	handle := func(name string, op func(tx *Tx, asked *disksAsk, now *Disks) (*Disks, error)) {
		o.Handle(name, func(tx *Tx, args []byte) (any, error) {
			var asked disksAsk
			_ = json.Unmarshal(args, &asked)
			return op(tx, &asked, loadDisks(tx.Get(DisksKey)))
		})
	}
	handle("disks.get", func(_ *Tx, _ *disksAsk, now *Disks) (*Disks, error) { return now, nil })
	handle("disks.propose", func(tx *Tx, asked *disksAsk, now *Disks) (*Disks, error) {
		if now == nil {
			now = &Disks{Current: asked.Base, Settled: true, Slots: Slots}
		}
		if now.Next != nil && now.Next.Stamp == asked.Next.Stamp && string(base.Encode(now.Next)) == string(base.Encode(asked.Next)) {
			return now, nil
		}
		if now.Next != nil || !now.Settled {
			return nil, base.Busy(409, "disks_moving", 2, "another change of the disks is under way")
		}
		if asked.Next.Stamp != now.Current.Stamp+1 {
			return nil, base.Decline(409, "stale_stamp", "the disk set stands at %d", now.Current.Stamp)
		}
		now.Next = asked.Next
		tx.Put(DisksKey, base.Encode(now))
		return now, nil
	})
	handle("disks.conclude", func(tx *Tx, asked *disksAsk, now *Disks) (*Disks, error) {
		if now != nil && now.Next != nil && now.Next.Stamp == asked.Stamp {
			now.Current, now.Next, now.Settled, now.Slots = now.Next, nil, false, 0
			tx.Put(DisksKey, base.Encode(now))
		}
		return now, nil
	})
	handle("disks.settle", func(tx *Tx, asked *disksAsk, now *Disks) (*Disks, error) {
		if now != nil && now.Current.Stamp == asked.Stamp && (now.Slots != asked.Slots || now.Settled != (asked.Slots == Slots)) {
			now.Slots, now.Settled = asked.Slots, asked.Slots == Slots
			tx.Put(DisksKey, base.Encode(now))
		}
		return now, nil
	})
}

// Admit begins to fill a blank disk, which will have a vote once it is whole.
func Admit(ctx *base.Ctx, client *Client, current *DiskSet, entry *DiskEntry) (*Disks, error) {
	for _, known := range current.Disks {
		if known.Id == entry.Id {
			return nil, base.Decline(409, "disk_known", "the disk is in the set already")
		}
	}
	entry.Learner = true
	next := &DiskSet{Stamp: current.Stamp + 1, Cluster: current.Cluster, Disks: append(append([]*DiskEntry{}, current.Disks...), entry)}
	return propose(ctx, client, current, next)
}

// Retire takes a disk out of the set.
func Retire(ctx *base.Ctx, client *Client, current *DiskSet, id string) (*Disks, error) {
	next := &DiskSet{Stamp: current.Stamp + 1, Cluster: current.Cluster,
		Disks: base.Filter(current.Disks, func(entry *DiskEntry) bool { return entry.Id != id })}
	if len(next.Disks) == len(current.Disks) {
		return nil, base.Decline(404, "unknown_disk", "no disk of the set has id %q", id)
	}
	if left := len(voters(next)); left < leastVoters {
		return nil, base.Decline(409, "too_few_disks", "%d disks would remain; at least %d must", left, leastVoters)
	}
	return propose(ctx, client, current, next)
}

func propose(ctx *base.Ctx, client *Client, current, next *DiskSet) (*Disks, error) {
	var now Disks
	return &now, client.Change(ctx, FeedGroup, "disks.propose", disksAsk{Base: current, Next: next}, &now)
}

// agreeOnSet settles a refusal for another disk set: a newer one is learnt, and
// a disk that goes by an older one is given the set this core knows, which was
// recorded as proposed before any disk adopted it.
func (o *Owner) agreeOnSet(entry *DiskEntry, ack *Ack) {
	if ack.Why != "set" {
		return
	}
	o.learn(ack.Set)
	if set := o.knownSet(); ack.Set.GetStamp() < set.Stamp {
		_, _ = o.disk(entry).Adopt(base.NewCtx(o.clock, o.bounds.Load().DiskLimit()), &AdoptRequest{Set: set})
	}
}

// moveDisks carries a change on if this core owns slot 0.
func (o *Owner) moveDisks() {
	s := o.slots[0]
	s.mu.Lock()
	var now *Disks
	if s.phase == serving {
		if raw, ok := s.held.Get(DisksKey); ok {
			now = loadDisks(raw.([]byte))
		}
	}
	s.mu.Unlock()
	o.mu.Lock()
	begins := now != nil && now.Under() && !o.moving
	o.moving = o.moving || begins
	o.mu.Unlock()
	if !begins {
		return
	}
	o.clock.Go(func() {
		o.step(s, now)
		o.mu.Lock()
		o.moving = false
		o.mu.Unlock()
	})
}

func (o *Owner) own(op string, asked disksAsk) error {
	s := o.slots[0]
	_, err := o.decide(base.NewCtx(o.clock, o.bounds.Load().Call()), s, FeedGroup, func(tx *Tx) (any, error) {
		return o.ops[op](tx, base.Encode(asked))
	})
	return err
}

// step does the next thing a change needs. A proposal that is read here may
// not be on a majority yet, so it is settled first.
func (o *Owner) step(s *slot, now *Disks) {
	s.mu.Lock()
	epoch, target := s.epoch, s.tail
	s.mu.Unlock()
	if o.settled(base.NewCtx(o.clock, o.bounds.Load().Call()), s, epoch, target) != nil {
		return
	}
	if now.Next != nil {
		if o.adopted(now.Current, now.Next) {
			o.learn(now.Next)
			_ = o.own("disks.conclude", disksAsk{Stamp: now.Next.Stamp})
			o.counters.Add("disk_sets_changed", 1)
		}
		return
	}
	settled, learned := o.census(now.Current)
	if !now.Settled || now.Slots != Slots {
		_ = o.own("disks.settle", disksAsk{Stamp: now.Current.Stamp, Slots: settled})
		return
	}
	if learned < Slots {
		return
	}
	next := &DiskSet{Stamp: now.Current.Stamp + 1, Cluster: now.Current.Cluster}
	admitted := false
	for _, entry := range now.Current.Disks {
		grown := &DiskEntry{Id: entry.Id, Addr: entry.Addr, Zone: entry.Zone, Learner: entry.Learner && admitted}
		admitted = admitted || entry.Learner
		next.Disks = append(next.Disks, grown)
	}
	_ = o.own("disks.propose", disksAsk{Base: now.Current, Next: next})
}

// adopted has a set taken by a majority of the disks before and after, and
// by all others that can be reached.
func (o *Owner) adopted(current, next *DiskSet) bool {
	all := map[string]*DiskEntry{}
	for _, entry := range append(append([]*DiskEntry{}, current.Disks...), next.Disks...) {
		all[entry.Id] = entry
	}
	var mu sync.Mutex
	took := map[string]bool{}
	list := base.Map(base.SortedKeys(all), func(id string) *DiskEntry { return all[id] })
	base.AskAll(o.clock, list, o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, entry *DiskEntry) {
		state, err := o.disk(entry).Describe(ctx, &DescribeRequest{})
		if err != nil || state.Id != entry.Id {
			return
		}
		ack, err := o.disk(entry).Adopt(ctx, &AdoptRequest{Set: next})
		mu.Lock()
		took[entry.Id] = err == nil && ack.Ok
		mu.Unlock()
	})
	mu.Lock()
	defer mu.Unlock()
	enough := func(set *DiskSet) bool {
		count := 0
		for _, entry := range voters(set) {
			if took[entry.Id] {
				count++
			}
		}
		return count >= majority(set)
	}
	return enough(current) && enough(next)
}

// census asks all cores how many slots are whole on a majority of the set,
// and how many on all its learners.
func (o *Owner) census(set *DiskSet) (settled, learned int) {
	var mu sync.Mutex
	whole, filled := map[uint32]bool{}, map[uint32]bool{}
	cores := o.view.Present(membership.RoleCore)
	base.AskAll(o.clock, cores, o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, member *membership.Member) {
		reply, err := NewRegisterProtobufClient("http://"+member.Addr, o.wire).Census(ctx, &CensusRequest{Set: set})
		if err != nil || reply.SetStamp != set.Stamp {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, num := range reply.Settled {
			whole[num] = true
		}
		for _, num := range reply.Learned {
			filled[num] = true
		}
	})
	mu.Lock()
	defer mu.Unlock()
	return len(whole), len(filled)
}

// Census tells which slots this core owns, which of them are whole on a
// majority of the set, and which are whole on all its learners.
func (o *Owner) Census(_ context.Context, request *CensusRequest) (*CensusReply, error) {
	o.learn(request.Set)
	set := o.knownSet()
	reply := &CensusReply{SetStamp: set.GetStamp()}
	for _, s := range o.slots {
		s.mu.Lock()
		if s.phase == serving {
			reply.Owned = append(reply.Owned, s.num)
			has := func(entry *DiskEntry) bool {
				mark := s.progress[entry.Id]
				return mark.has(s.commit) && mark.stamp == set.Stamp
			}
			learners := base.Filter(set.Disks, func(entry *DiskEntry) bool { return entry.Learner })
			if len(base.Filter(voters(set), has)) >= majority(set) {
				reply.Settled = append(reply.Settled, s.num)
			}
			if len(base.Filter(learners, has)) == len(learners) {
				reply.Learned = append(reply.Learned, s.num)
			}
		}
		s.mu.Unlock()
	}
	return reply, nil
}

// DisksOf reads the disk set from the feed's frame; nil while none is told.
func DisksOf(values map[string][]byte) *DiskSet { return loadDisks(values[DisksKey]).GetCurrent() }

// GetCurrent is the set that counts.
func (d *Disks) GetCurrent() *DiskSet {
	if d == nil {
		return nil
	}
	return d.Current
}
