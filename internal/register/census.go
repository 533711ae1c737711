package register

import (
	"context"
	"slices"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
)

// collectCensus asks all cores how many shards a majority of the set's voters
// holds, and how many each of its learners holds. It returns early once both
// are complete.
func (srv *Server) collectCensus(set *DiskSet) (settledCount int, filledShards map[string]int) {
	var mu sync.Mutex
	settledShards, learnerShards := map[uint32]bool{}, map[string]map[uint32]bool{}
	for _, entry := range set.Disks {
		if entry.Learner {
			learnerShards[entry.Id] = map[uint32]bool{}
		}
	}
	present := srv.view.Live(membership.RoleCore)
	suspects := srv.suspectedCores(present)
	answered := map[string]bool{}
	base.CallQuorum(srv.clock, present, 1, srv.bounds.Load().DiskTimeout()*6/10, func(ctx *base.Ctx, member *membership.Member) bool {
		reply, err := NewRegisterProtobufClient("http://"+member.Addr, srv.httpClient).Census(ctx, &CensusRequest{Set: set, Suspects: suspects})
		mu.Lock()
		defer mu.Unlock()
		answered[member.Id] = err == nil
		if err != nil || reply.SetStamp != set.Stamp {
			return false
		}
		for _, num := range reply.Settled {
			settledShards[num] = true
		}
		for _, learner := range reply.Filled {
			for _, num := range learner.Slots {
				if learnerShards[learner.Disk] != nil {
					learnerShards[learner.Disk][num] = true
				}
			}
		}
		complete := len(settledShards) == ShardCount
		for _, shards := range learnerShards {
			complete = complete && len(shards) == ShardCount
		}
		return complete
	})
	mu.Lock()
	defer mu.Unlock()
	srv.mu.Lock()
	srv.silentCores = base.Filter(base.Map(present, func(member *membership.Member) string { return member.Id }), func(id string) bool { return !answered[id] })
	srv.mu.Unlock()
	filledShards = map[string]int{}
	for id, shards := range learnerShards {
		filledShards[id] = len(shards)
	}
	return len(settledShards), filledShards
}

// suspectedCores lists the cores that are not present or did not answer the
// last census. The other cores are notified of them, so that they probe them
// themselves and take over their shards sooner.
func (srv *Server) suspectedCores(present []*membership.Member) []string {
	srv.mu.Lock()
	suspects := slices.Clone(srv.silentCores)
	srv.mu.Unlock()
	for _, member := range srv.view.Known(membership.RoleCore) {
		if !slices.ContainsFunc(present, func(other *membership.Member) bool { return other.Id == member.Id }) {
			suspects = append(suspects, member.Id)
		}
	}
	return suspects
}

// Census reports which shards this core leads, which of them a majority of the
// set's voters holds completely, and which of them each learner holds
// completely. It probes the suspects of the request.
func (srv *Server) Census(_ context.Context, request *CensusRequest) (*CensusReply, error) {
	srv.LearnDiskSet(request.Set)
	for _, id := range request.Suspects {
		if id != srv.view.SelfID() {
			srv.view.Probe(id)
		}
	}
	set := srv.knownSet()
	reply := &CensusReply{SetStamp: set.GetStamp()}
	learners := base.Filter(set.GetDisks(), func(entry *DiskEntry) bool { return entry.Learner })
	reply.Filled = base.Map(learners, func(entry *DiskEntry) *Filled { return &Filled{Disk: entry.Id} })
	for _, s := range srv.shards {
		s.mu.Lock()
		if s.phase == phaseLeading {
			reply.Owned = append(reply.Owned, s.num)
			if consensus.MajorityAcked(s.committed, set.GetStamp(), s.voterProgress(set)) {
				reply.Settled = append(reply.Settled, s.num)
			}
			for index, entry := range learners {
				if s.progressOf(entry.Id).AckedUnder(s.committed, set.GetStamp()) {
					reply.Filled[index].Slots = append(reply.Filled[index].Slots, s.num)
				}
			}
		}
		s.mu.Unlock()
	}
	return reply, nil
}
