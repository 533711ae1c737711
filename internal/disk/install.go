package disk

import (
	"context"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"
)

// maxInlineBytes is the size of the largest content that a reply to Promise includes.
const maxInlineBytes = 16 << 10

// AppliedSeq returns the sequence number of a shard's newest change, or 0 if the disk
// does not hold the shard.
func (s *Store) AppliedSeq(shard uint32) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.replicas[shard]; r != nil {
		return r.Seq
	}
	return 0
}

// encodedSnapshot is a replica's encoded content, which is read in parts.
type encodedSnapshot struct {
	snapshot *register.Snapshot
	data     []byte
}

// encodeContent returns the encoded content. It is cached until the content changes.
func (r *replica) encodeContent() *encodedSnapshot {
	if r.encoded == nil {
		snapshot, data := register.EncodeSnapshot(r.Seq, r.sortedPuts())
		r.encoded = &encodedSnapshot{snapshot, data}
	}
	return r.encoded
}

// hasContentOf reports whether the replica's content is that of a snapshot.
func (r *replica) hasContentOf(snapshot *register.Snapshot) bool {
	return r.Installed > 0 && r.Seq == snapshot.Seq && r.encodeContent().snapshot.Equal(snapshot)
}

// installContent replaces a replica's content. The caller holds the lock.
func (s *Store) installContent(r *replica, next consensus.ShardState, puts []*register.Put) {
	oldTime := timeValue(r)
	r.ShardState, r.values = next, map[string][]byte{}
	r.staged, r.encoded = nil, nil
	r.applyPuts(puts)
	if timeValue(r) != oldTime {
		r.updatedAt = s.clock.Now() // the newest change is not the one that it had
	}
}

// stagedBytes returns how many bytes of a snapshot are staged.
func (r *replica) stagedBytes(snapshot *register.Snapshot) uint64 {
	if r.staged == nil || !r.staged.Snapshot.Equal(snapshot) {
		return 0
	}
	return uint64(len(r.staged.Data))
}

// isOlderThanStaged reports whether a part belongs to an older snapshot of the same
// epoch than the one that is being staged.
func (r *replica) isOlderThanStaged(request *register.InstallPartRequest) bool {
	return r.staged != nil && r.staged.Epoch == request.Claim.Epoch && request.Snapshot.Seq < r.staged.Snapshot.Seq
}

// applyInstallPart stages a part that continues what is staged, and installs the
// content when the last part arrives and the digest matches. A request without data
// takes over the content under the new epoch if the replica has the same content
// already. The Staged message is replaced and never changed, so that a checkpoint
// can encode it without the lock.
func (s *Store) applyInstallPart(request *register.InstallPartRequest) {
	r, claim, snapshot := s.replicaFor(request.Claim.Slot), request.Claim, request.Snapshot
	next, installable := r.Install(claim.Epoch, claim.Owner, snapshot.Seq)
	if !installable || r.isOlderThanStaged(request) {
		return
	}
	if len(request.Data) == 0 {
		if r.hasContentOf(snapshot) {
			r.ShardState, r.staged, r.encoded = next, nil, nil
		}
		return
	}
	staged := r.stagedBytes(snapshot)
	if request.Offset != staged {
		return
	}
	r.ShardState = r.Promise(claim.Epoch, claim.Owner)
	var data []byte
	if staged > 0 {
		data = r.staged.Data
	}
	r.staged = &Staged{Epoch: claim.Epoch, Snapshot: snapshot, Data: append(data, request.Data...)}
	if uint64(len(r.staged.Data)) < snapshot.Size {
		return
	}
	puts, valid := snapshot.Decode(r.staged.Data)
	r.staged = nil
	if valid {
		s.installContent(r, next, puts)
	}
}

// InstallPart stages a part of a snapshot and returns how many bytes are staged; the
// last part installs the content. Parts are log entries, so they survive a restart. A
// part that does not continue what is staged, or that has no data, only returns the
// progress, so that another leader that sends the same content can resume the
// transfer.
func (svc *Service) InstallPart(_ context.Context, request *register.InstallPartRequest) (*register.Ack, error) {
	if !request.Valid() {
		return nil, base.ToTwirpError(base.Decline(400, "bad_part", "invalid part: it has no claim or no valid snapshot, is too large or lies outside its snapshot"))
	}
	s, claim, snapshot := svc.store, request.Claim, request.Snapshot
	s.mu.Lock()
	ack := s.checkClaim(claim)
	if !ack.Ok {
		s.mu.Unlock()
		return ack, nil
	}
	r := s.replicaFor(claim.Slot)
	installed := func() bool { return r.Covers(claim.Epoch, snapshot.Seq) }
	probe := len(request.Data) == 0 && !r.hasContentOf(snapshot) || len(request.Data) > 0 && request.Offset != r.stagedBytes(snapshot)
	var p *pendingEntry
	var reason string
	if installed() || probe || r.isOlderThanStaged(request) {
		p, reason = s.enqueue(kindPromise, claim, true)
	} else {
		p, reason = s.enqueue(kindInstallPart, request, false)
	}
	ack.Seq, ack.Staged = r.Seq, r.stagedBytes(snapshot)
	switch last := request.Offset+uint64(len(request.Data)) == snapshot.Size; {
	case installed():
		ack.Staged = snapshot.Size
	case reason == "" && !probe && last:
		ack.Ok, ack.Why = false, "damaged"
	}
	s.mu.Unlock()
	return svc.awaitAck(ack, p, reason), nil
}

// Read returns a part of a shard's content to the prospective leader that holds the
// promise. While the promise is the highest one, no other leader can change the
// content.
func (svc *Service) Read(_ context.Context, request *register.ReadRequest) (*register.ReadReply, error) {
	s := svc.store
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := s.checkClaim(request.Claim)
	reply := &register.ReadReply{Ack: ack}
	if !ack.Ok {
		return reply, nil
	}
	r := s.replicaFor(request.Claim.Slot)
	if r.Promised != request.Claim.Epoch || r.Installed != request.Installed || r.Seq != request.Seq {
		ack.Ok, ack.Why = false, "moved"
		return reply, nil
	}
	content := r.encodeContent()
	size := uint64(len(content.data))
	from := min(request.Offset, size)
	end := min(from+register.PartBytes, size)
	reply.Snapshot, reply.Data = content.snapshot, content.data[from:end]
	return reply, nil
}
