// A slot's content in parts. Parts are staged as records of the log, so they
// outlive the process, and the content counts only once all of it is there and
// synced, and its digest is right. What is staged names its epoch, its number
// and the digest; another owner that sends the same content goes on with it. A
// disk that holds that very content already takes it over without any part.

package disk

import (
	"context"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"
)

// inlineBytes is the largest content that comes along with a promise.
const inlineBytes = 16 << 10

// AppliedSeq is the number up to which the disk holds a slot, 0 if it holds none.
func (s *Store) AppliedSeq(slot uint32) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.replicas[slot]; held != nil {
		return held.Seq
	}
	return 0
}

// encoding is a replica's content as it is read in parts.
type encoding struct {
	snapshot *register.Snapshot
	data     []byte
}

// encode gives a replica's content; it is kept until the replica changes or the
// last part was read.
func (r *replica) encode() *encoding {
	if r.encoded == nil {
		snapshot, data := register.EncodeSnapshot(r.Seq, r.puts())
		r.encoded = &encoding{snapshot, data}
	}
	return r.encoded
}

// holds tells whether the replica's content is a snapshot's.
func (r *replica) holds(snapshot *register.Snapshot) bool {
	return r.Installed > 0 && r.Seq == snapshot.Seq && r.encode().snapshot.Equal(snapshot)
}

// install replaces a replica's content; the caller holds the lock.
func (s *Store) install(held *replica, next consensus.ShardState, puts []*register.Put) {
	was := replicaTime(held)
	held.ShardState, held.values = next, map[string][]byte{}
	held.staged, held.encoded = nil, nil
	held.put(puts)
	if replicaTime(held) != was {
		held.touched = s.clock.Now() // another change than the one it had
	}
}

// staged is how many bytes of a snapshot are there under an epoch.
func (r *replica) stagedOf(snapshot *register.Snapshot) uint64 {
	if r.staged == nil || !r.staged.Snapshot.Equal(snapshot) {
		return 0
	}
	return uint64(len(r.staged.Data))
}

// older tells that a part is of a copy before the one that is being staged.
func (r *replica) older(request *register.InstallPartRequest) bool {
	return r.staged != nil && r.staged.Epoch == request.Claim.Epoch && request.Snapshot.Seq < r.staged.Snapshot.Seq
}

// applyPart stages a part that follows what is there, and installs the content
// with the last one. A request without data takes over what the disk holds. The
// staged message is replaced, never changed, so that it can be written down
// without the lock.
func (s *Store) applyPart(request *register.InstallPartRequest) {
	held, claim, snapshot := s.replicaOf(request.Claim.Slot), request.Claim, request.Snapshot
	next, taken := held.Install(claim.Epoch, claim.Owner, snapshot.Seq)
	if !taken || held.older(request) {
		return
	}
	if len(request.Data) == 0 {
		if held.holds(snapshot) {
			held.ShardState, held.staged, held.encoded = next, nil, nil
		}
		return
	}
	there := held.stagedOf(snapshot)
	if request.Offset != there {
		return
	}
	held.ShardState = held.Promise(claim.Epoch, claim.Owner)
	var data []byte
	if there > 0 {
		data = held.staged.Data
	}
	held.staged = &Staged{Epoch: claim.Epoch, Snapshot: snapshot, Data: append(data, request.Data...)}
	if uint64(len(held.staged.Data)) < snapshot.Size {
		return
	}
	puts, whole := snapshot.Decode(held.staged.Data)
	held.staged = nil
	if whole {
		s.install(held, next, puts)
	}
}

// InstallPart stages a part and tells how many bytes are there; with the last
// one the content counts. A part that does not follow what is there, or has no
// data, only asks.
func (v *Service) InstallPart(_ context.Context, request *register.InstallPartRequest) (*register.Ack, error) {
	if !request.Valid() {
		return nil, base.ToTwirpError(base.Decline(400, "bad_part", "the part does not lie within its snapshot"))
	}
	s, claim, snapshot := v.store, request.Claim, request.Snapshot
	s.mu.Lock()
	ack := s.judge(claim)
	if !ack.Ok {
		s.mu.Unlock()
		return ack, nil
	}
	held := s.replicaOf(claim.Slot)
	installed := func() bool { return held.Covers(claim.Epoch, snapshot.Seq) }
	asks := len(request.Data) == 0 && !held.holds(snapshot) || len(request.Data) > 0 && request.Offset != held.stagedOf(snapshot)
	var put *pending
	var why string
	if installed() || asks || held.older(request) {
		put, why = s.enqueue(kindPromise, claim, true)
	} else {
		put, why = s.enqueue(kindPart, request, false)
	}
	ack.Seq, ack.Staged = held.Seq, held.stagedOf(snapshot)
	switch last := request.Offset+uint64(len(request.Data)) == snapshot.Size; {
	case installed():
		ack.Staged = snapshot.Size
	case why == "" && !asks && last:
		ack.Ok, ack.Why = false, "damaged"
	}
	s.mu.Unlock()
	return v.finish(ack, put, why), nil
}

// Read gives a part of a slot's content to the owner-to-be that has the promise.
func (v *Service) Read(_ context.Context, request *register.ReadRequest) (*register.ReadReply, error) {
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := s.judge(request.Claim)
	reply := &register.ReadReply{Ack: ack}
	if !ack.Ok {
		return reply, nil
	}
	held := s.replicaOf(request.Claim.Slot)
	if held.Promised != request.Claim.Epoch || held.Installed != request.Installed || held.Seq != request.Seq {
		ack.Ok, ack.Why = false, "moved"
		return reply, nil
	}
	found := held.encode()
	size := uint64(len(found.data))
	from := min(request.Offset, size)
	end := min(from+register.PartBytes, size)
	reply.Snapshot, reply.Data = found.snapshot, found.data[from:end]
	return reply, nil
}
