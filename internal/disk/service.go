// The service is what cores may ask of a disk. Every message names the disk
// it is meant for, the disk set its sender goes by and the sender's epoch. A
// disk that is blank, no longer in the set, asked under another disk's id or
// under an older set or epoch says why and changes nothing.

package disk

import (
	"context"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"
)

// Service answers the register's Disk calls from one store.
type Service struct {
	store *Store
	limit time.Duration
	// NodeName is the machine's name, told with the disk's state.
	NodeName string
}

// NewService bounds every answer by limit.
func NewService(store *Store, limit time.Duration) *Service {
	return &Service{store: store, limit: limit}
}

func (v *Service) Describe(_ context.Context, request *register.DescribeRequest) (*register.DiskState, error) {
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	state := v.describe()
	if state.Set != nil && state.Set.Cluster == request.GetKnownCluster() && state.Set.Stamp == request.GetKnownStamp() {
		state.Set = nil
	}
	return state, nil
}

func (v *Service) describe() *register.DiskState {
	state := v.store.describe()
	state.Node = v.NodeName
	return state
}

func (s *Store) describe() *register.DiskState {
	state := &register.DiskState{Id: s.id, Set: s.set, Seqs: map[uint32]uint64{}, UsedBytes: int64(s.frameBytes + s.logBytes)}
	for slot, held := range s.replicas {
		state.Seqs[slot] = held.Seq
	}
	state.Retired = s.set != nil && !s.member()
	return state
}

func (s *Store) member() bool {
	for _, entry := range s.set.GetDisks() {
		if entry.Id == s.id {
			return true
		}
	}
	return false
}

// Format gives a blank disk its random id; asked again it only tells.
func (v *Service) Format(_ context.Context, request *register.FormatRequest) (*register.DiskState, error) {
	s := v.store
	s.mu.Lock()
	if s.id != "" {
		defer s.mu.Unlock()
		if request.Set.GetCluster() != "" && s.set != nil && s.set.Cluster != "" && s.set.Cluster != request.Set.Cluster {
			return nil, base.ToTwirpError(base.Decline(409, "other_cluster", "this disk belongs to another cluster"))
		}
		return v.describe(), nil
	}
	put, why := s.enqueue(kindFormat, &register.DiskState{Id: base.NewID(s.clock, "d"), Set: request.Set}, true)
	state := v.describe()
	s.mu.Unlock()
	if why == "" {
		why = s.wait(put, v.limit)
	}
	if why != "" {
		return nil, base.ToTwirpError(base.Indeterminate(503, "disk_"+why, "the disk could not be formatted: %s", why))
	}
	return state, nil
}

// consensusIdentity is who the replica is in the protocol; the caller holds the
// lock.
func (s *Store) consensusIdentity() consensus.Identity {
	return consensus.Identity{ID: s.id, SetVersion: s.set.GetStamp()}
}

// judge looks at a claim; the caller holds the lock.
func (s *Store) judge(claim *register.Claim) *register.Ack {
	held := s.replicaOf(claim.Slot)
	ack := &register.Ack{Epoch: held.Promised, Seq: held.Seq}
	if s.broken != nil {
		ack.Why = "broken"
		return ack
	}
	rejection := consensus.CheckClaim(s.consensusIdentity(), held.ShardState, claim.ToConsensus())
	if rejection == consensus.RejectedSet {
		ack.Set = s.set
	}
	ack.Ok, ack.Why = rejection == consensus.Accepted, string(rejection)
	return ack
}

func (v *Service) finish(ack *register.Ack, put *pending, why string) *register.Ack {
	if why == "" {
		why = v.store.wait(put, v.limit)
	}
	if why != "" {
		ack.Ok, ack.Why = false, why
	}
	return ack
}

func (v *Service) Promise(_ context.Context, request *register.PromiseRequest) (*register.PromiseReply, error) {
	s := v.store
	s.mu.Lock()
	ack := s.judge(request.Claim)
	if !ack.Ok {
		s.mu.Unlock()
		return &register.PromiseReply{Ack: ack}, nil
	}
	put, why := s.enqueue(kindPromise, request.Claim, true)
	held := s.replicaOf(request.Claim.Slot)
	reply := &register.PromiseReply{Ack: ack, Installed: held.Installed, Seq: held.Seq, AgeMs: (s.clock.Now() - held.touched).Milliseconds()}
	if puts := held.puts(); register.ApproxSize(puts) <= inlineBytes {
		reply.Puts = puts
	} else {
		reply.Apart = true
	}
	s.mu.Unlock()
	v.finish(ack, put, why)
	return reply, nil
}

func (v *Service) Install(_ context.Context, request *register.InstallRequest) (*register.Ack, error) {
	s := v.store
	s.mu.Lock()
	ack := s.judge(request.Claim)
	if !ack.Ok {
		s.mu.Unlock()
		return ack, nil
	}
	held := s.replicaOf(request.Claim.Slot)
	if held.Covers(request.Claim.Epoch, request.Seq) {
		put, why := s.enqueue(kindPromise, request.Claim, true)
		s.mu.Unlock()
		return v.finish(ack, put, why), nil
	}
	put, why := s.enqueue(kindInstall, request, false)
	ack.Seq = request.Seq
	s.mu.Unlock()
	return v.finish(ack, put, why), nil
}

func (v *Service) Append(_ context.Context, request *register.AppendRequest) (*register.Ack, error) {
	s := v.store
	s.mu.Lock()
	ack := s.judge(request.Claim)
	held := s.replicaOf(request.Claim.Slot)
	if ack.Ok {
		rejection := consensus.CheckAppend(held.ShardState, request.Claim.Epoch, request.FirstSeq())
		ack.Ok, ack.Why = rejection == consensus.Accepted, string(rejection)
	}
	if !ack.Ok {
		s.mu.Unlock()
		return ack, nil
	}
	fresh := &register.AppendRequest{Claim: request.Claim}
	freeing := true
	for _, entry := range request.Entries {
		if entry.Seq <= held.Seq {
			continue
		}
		fresh.Entries = append(fresh.Entries, entry)
		for _, put := range entry.Puts {
			freeing = freeing && put.Gone
		}
	}
	put, why := s.enqueue(kindAppend, fresh, freeing)
	ack.Seq = held.Seq
	s.mu.Unlock()
	return v.finish(ack, put, why), nil
}

// Confirm tells an owner that no higher epoch has been promised here.
func (v *Service) Confirm(_ context.Context, request *register.ConfirmRequest) (*register.Ack, error) {
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge(request.Claim), nil
}

// Adopt takes a newer disk set.
func (v *Service) Adopt(_ context.Context, request *register.AdoptRequest) (*register.Ack, error) {
	s := v.store
	s.mu.Lock()
	ack := &register.Ack{Set: s.set}
	rejection := consensus.RejectedWrongReplica
	if s.id != "" {
		rejection = consensus.CheckSet(s.set.ToConsensus(), *request.Set.ToConsensus())
	}
	if rejection != consensus.Accepted {
		ack.Why = string(rejection)
		s.mu.Unlock()
		return ack, nil
	}
	ack.Ok, ack.Set = true, request.Set
	put, why := s.enqueue(kindAdopt, request.Set, true)
	s.mu.Unlock()
	return v.finish(ack, put, why), nil
}
