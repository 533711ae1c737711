// The census: how far each disk of a set is, asked of all cores.

package register

import (
	"context"
	"slices"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
)

// census asks all cores how many slots are whole on a majority of the set,
// and how many on each of its learners. It ends early once all are.
func (o *Server) census(set *DiskSet) (settled int, filled map[string]int) {
	var mu sync.Mutex
	whole, learned := map[uint32]bool{}, map[string]map[uint32]bool{}
	for _, entry := range set.Disks {
		if entry.Learner {
			learned[entry.Id] = map[uint32]bool{}
		}
	}
	present := o.view.Live(membership.RoleCore)
	suspects := o.suspects(present)
	answered := map[string]bool{}
	base.Ask(o.clock, present, 1, o.bounds.Load().DiskLimit()*6/10, func(ctx *base.Ctx, member *membership.Member) bool {
		reply, err := NewRegisterProtobufClient("http://"+member.Addr, o.wire).Census(ctx, &CensusRequest{Set: set, Suspects: suspects})
		mu.Lock()
		defer mu.Unlock()
		answered[member.Id] = err == nil
		if err != nil || reply.SetStamp != set.Stamp {
			return false
		}
		for _, num := range reply.Settled {
			whole[num] = true
		}
		for _, disk := range reply.Filled {
			for _, num := range disk.Slots {
				if learned[disk.Disk] != nil {
					learned[disk.Disk][num] = true
				}
			}
		}
		all := len(whole) == ShardCount
		for _, slots := range learned {
			all = all && len(slots) == ShardCount
		}
		return all
	})
	mu.Lock()
	defer mu.Unlock()
	o.mu.Lock()
	o.mute = base.Filter(base.Map(present, func(member *membership.Member) string { return member.Id }), func(id string) bool { return !answered[id] })
	o.mu.Unlock()
	filled = map[string]int{}
	for id, slots := range learned {
		filled[id] = len(slots)
	}
	return len(whole), filled
}

// suspects are the cores that are not heard or gave the last census no answer.
// The others are told, so that they look for themselves and take over their
// slots sooner.
func (o *Server) suspects(present []*membership.Member) []string {
	o.mu.Lock()
	found := slices.Clone(o.mute)
	o.mu.Unlock()
	for _, member := range o.view.Known(membership.RoleCore) {
		if !slices.ContainsFunc(present, func(one *membership.Member) bool { return one.Id == member.Id }) {
			found = append(found, member.Id)
		}
	}
	return found
}

// Census tells which slots this core owns, which of them are whole on a
// majority of the set, and which are whole on each of its learners.
func (o *Server) Census(_ context.Context, request *CensusRequest) (*CensusReply, error) {
	o.LearnDiskSet(request.Set)
	for _, id := range request.Suspects {
		if id != o.view.SelfID() {
			o.view.Probe(id)
		}
	}
	set := o.knownSet()
	reply := &CensusReply{SetStamp: set.GetStamp()}
	learners := base.Filter(set.GetDisks(), func(entry *DiskEntry) bool { return entry.Learner })
	reply.Filled = base.Map(learners, func(entry *DiskEntry) *Filled { return &Filled{Disk: entry.Id} })
	for _, s := range o.slots {
		s.mu.Lock()
		if s.phase == serving {
			reply.Owned = append(reply.Owned, s.num)
			if consensus.MajorityAcked(s.commit, set.GetStamp(), s.voters(set)) {
				reply.Settled = append(reply.Settled, s.num)
			}
			for place, entry := range learners {
				if s.progressOf(entry.Id).AckedUnder(s.commit, set.GetStamp()) {
					reply.Filled[place].Slots = append(reply.Filled[place].Slots, s.num)
				}
			}
		}
		s.mu.Unlock()
	}
	return reply, nil
}
