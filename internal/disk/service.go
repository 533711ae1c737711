package disk

import (
	"context"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"
)

// Service implements the register's RPC service Disk on a store.
//
// Every message that changes or reads a shard names the disk that it is meant for,
// the disk set that its sender uses and the sender's epoch. A disk that is not
// formatted, has another id, uses another set or has promised a higher epoch replies
// with the reason and changes nothing.
type Service struct {
	store   *Store
	timeout time.Duration
	// NodeName is the name of the machine, which is part of the disk's state.
	NodeName string
}

// NewService returns the service of a store. Calls wait for a sync for at most
// timeout.
func NewService(store *Store, timeout time.Duration) *Service {
	return &Service{store: store, timeout: timeout}
}

// Describe returns the disk's state. It omits the disk set if the caller knows it.
func (svc *Service) Describe(_ context.Context, request *register.DescribeRequest) (*register.DiskState, error) {
	s := svc.store
	s.mu.Lock()
	defer s.mu.Unlock()
	state := svc.diskState()
	if state.Set != nil && state.Set.Cluster == request.GetKnownCluster() && state.Set.Stamp == request.GetKnownStamp() {
		state.Set = nil
	}
	return state, nil
}

// diskState returns the disk's state with the machine's name. The caller holds the
// store's lock.
func (svc *Service) diskState() *register.DiskState {
	state := svc.store.diskState()
	state.Node = svc.NodeName
	return state
}

// diskState returns the disk's state. The caller holds the lock.
func (s *Store) diskState() *register.DiskState {
	state := &register.DiskState{Id: s.id, Set: s.set, Seqs: map[uint32]uint64{}, UsedBytes: int64(s.checkpointBytes + s.logBytes)}
	for shard, r := range s.replicas {
		state.Seqs[shard] = r.Seq
	}
	state.Retired = s.set != nil && !s.isMember()
	return state
}

// isMember reports whether the disk is in the disk set. The caller holds the lock.
func (s *Store) isMember() bool {
	for _, entry := range s.set.GetDisks() {
		if entry.Id == s.id {
			return true
		}
	}
	return false
}

// Format gives an unformatted disk a random id and returns its state. On a formatted
// disk it only returns the state.
func (svc *Service) Format(_ context.Context, request *register.FormatRequest) (*register.DiskState, error) {
	s := svc.store
	s.mu.Lock()
	if s.id != "" {
		defer s.mu.Unlock()
		if request.Set.GetCluster() != "" && s.set != nil && s.set.Cluster != "" && s.set.Cluster != request.Set.Cluster {
			return nil, base.ToTwirpError(base.Decline(409, "other_cluster", "disk %s belongs to another cluster", s.id))
		}
		return svc.diskState(), nil
	}
	p, reason := s.enqueue(kindFormat, &register.DiskState{Id: base.NewID(s.clock, "d"), Set: request.Set}, true)
	state := svc.diskState()
	s.mu.Unlock()
	if reason == "" {
		reason = s.awaitSync(p, svc.timeout)
	}
	if reason != "" {
		return nil, base.ToTwirpError(base.Indeterminate(503, "disk_"+reason, "the disk could not be formatted: %s", reason))
	}
	return state, nil
}

// consensusIdentity returns the replica's identity in the consensus protocol. The
// caller holds the lock.
func (s *Store) consensusIdentity() consensus.Identity {
	return consensus.Identity{ID: s.id, SetVersion: s.set.GetStamp()}
}

// checkClaim checks whether the disk may act on a message with a claim. The caller
// holds the lock.
func (s *Store) checkClaim(claim *register.Claim) *register.Ack {
	r := s.replicaFor(claim.Slot)
	ack := &register.Ack{Epoch: r.Promised, Seq: r.Seq}
	if s.failure != nil {
		ack.Why = "broken"
		return ack
	}
	rejection := consensus.CheckClaim(s.consensusIdentity(), r.ShardState, claim.ToConsensus())
	if rejection == consensus.RejectedSet {
		ack.Set = s.set
	}
	ack.Ok, ack.Why = rejection == consensus.Accepted, string(rejection)
	return ack
}

// awaitAck waits until an entry is synced, unless it was declined for a reason, and
// completes the acknowledgement.
func (svc *Service) awaitAck(ack *register.Ack, p *pendingEntry, reason string) *register.Ack {
	if reason == "" {
		reason = svc.store.awaitSync(p, svc.timeout)
	}
	if reason != "" {
		ack.Ok, ack.Why = false, reason
	}
	return ack
}

// Promise promises to reject lower epochs and returns the position of the content.
// The content itself is included if it is small; otherwise it is fetched with Read.
func (svc *Service) Promise(_ context.Context, request *register.PromiseRequest) (*register.PromiseReply, error) {
	s := svc.store
	s.mu.Lock()
	ack := s.checkClaim(request.Claim)
	if !ack.Ok {
		s.mu.Unlock()
		return &register.PromiseReply{Ack: ack}, nil
	}
	p, reason := s.enqueue(kindPromise, request.Claim, true)
	r := s.replicaFor(request.Claim.Slot)
	reply := &register.PromiseReply{Ack: ack, Installed: r.Installed, Seq: r.Seq, AgeMs: (s.clock.Now() - r.updatedAt).Milliseconds()}
	if puts := r.sortedPuts(); register.ApproxSize(puts) <= maxInlineBytes {
		reply.Puts = puts
	} else {
		reply.Apart = true
	}
	s.mu.Unlock()
	svc.awaitAck(ack, p, reason)
	return reply, nil
}

// Install replaces the content of a shard by a snapshot that fits into one message.
func (svc *Service) Install(_ context.Context, request *register.InstallRequest) (*register.Ack, error) {
	s := svc.store
	s.mu.Lock()
	ack := s.checkClaim(request.Claim)
	if !ack.Ok {
		s.mu.Unlock()
		return ack, nil
	}
	r := s.replicaFor(request.Claim.Slot)
	if r.Covers(request.Claim.Epoch, request.Seq) {
		p, reason := s.enqueue(kindPromise, request.Claim, true)
		s.mu.Unlock()
		return svc.awaitAck(ack, p, reason), nil
	}
	p, reason := s.enqueue(kindInstall, request, false)
	ack.Seq = request.Seq
	s.mu.Unlock()
	return svc.awaitAck(ack, p, reason), nil
}

// Append appends entries to a shard. Entries that the disk has already are skipped.
func (svc *Service) Append(_ context.Context, request *register.AppendRequest) (*register.Ack, error) {
	s := svc.store
	s.mu.Lock()
	ack := s.checkClaim(request.Claim)
	r := s.replicaFor(request.Claim.Slot)
	if ack.Ok {
		rejection := consensus.CheckAppend(r.ShardState, request.Claim.Epoch, request.FirstSeq())
		ack.Ok, ack.Why = rejection == consensus.Accepted, string(rejection)
	}
	if !ack.Ok {
		s.mu.Unlock()
		return ack, nil
	}
	newEntries := &register.AppendRequest{Claim: request.Claim}
	freesSpace := true
	for _, entry := range request.Entries {
		if entry.Seq <= r.Seq {
			continue
		}
		newEntries.Entries = append(newEntries.Entries, entry)
		for _, put := range entry.Puts {
			freesSpace = freesSpace && put.Gone
		}
	}
	p, reason := s.enqueue(kindAppend, newEntries, freesSpace)
	ack.Seq = r.Seq
	s.mu.Unlock()
	return svc.awaitAck(ack, p, reason), nil
}

// Confirm confirms to a shard's leader that the disk has not promised a higher epoch.
func (svc *Service) Confirm(_ context.Context, request *register.ConfirmRequest) (*register.Ack, error) {
	s := svc.store
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkClaim(request.Claim), nil
}

// Adopt adopts a disk set that is not older than the disk's own.
func (svc *Service) Adopt(_ context.Context, request *register.AdoptRequest) (*register.Ack, error) {
	s := svc.store
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
	p, reason := s.enqueue(kindAdopt, request.Set, true)
	s.mu.Unlock()
	return svc.awaitAck(ack, p, reason), nil
}
