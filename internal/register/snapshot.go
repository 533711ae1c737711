package register

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"
)

const (
	// PartBytes is the largest part of a snapshot that one message carries.
	PartBytes = 256 << 10
	// MaxSnapshotBytes is the size of the largest snapshot that a disk accepts.
	MaxSnapshotBytes = 1 << 30
)

// EncodeSnapshot encodes a shard's content at one sequence number; puts are in the
// order of their keys. The encoding is deterministic: the same content has the
// same bytes and digest on every disk and leader. So the parts of a snapshot may
// come from different senders, and an interrupted transfer is resumed by another
// one.
func EncodeSnapshot(seq uint64, puts []*Put) (*Snapshot, []byte) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&SlotContent{Puts: puts})
	if err != nil {
		panic(err)
	}
	digest := sha256.Sum256(data)
	return &Snapshot{Seq: seq, Size: uint64(len(data)), Digest: digest[:]}, data
}

// Decode decodes the content from its bytes. It is not valid unless the bytes have
// the snapshot's size and digest.
func (s *Snapshot) Decode(data []byte) (puts []*Put, valid bool) {
	digest := sha256.Sum256(data)
	if uint64(len(data)) != s.Size || !bytes.Equal(digest[:], s.Digest) {
		return nil, false
	}
	var content SlotContent
	if proto.Unmarshal(data, &content) != nil {
		return nil, false
	}
	return content.Puts, true
}

// Equal reports whether two snapshots have the same sequence number and content.
func (s *Snapshot) Equal(other *Snapshot) bool {
	return s.GetSeq() == other.GetSeq() && s.GetSize() == other.GetSize() && bytes.Equal(s.GetDigest(), other.GetDigest())
}

// Valid reports whether the part lies within its snapshot and the limits.
func (r *InstallPartRequest) Valid() bool {
	end := r.Offset + uint64(len(r.Data))
	return r.Claim != nil && r.Snapshot != nil && len(r.Snapshot.Digest) == sha256.Size && r.Snapshot.Size <= MaxSnapshotBytes &&
		len(r.Data) <= PartBytes && r.Offset <= r.Snapshot.Size && end <= r.Snapshot.Size
}

// ApproxSize returns about how many bytes puts have when they are encoded.
func ApproxSize(puts []*Put) int {
	sum := 0
	for _, put := range puts {
		sum += len(put.Key) + len(put.Value) + 8
	}
	return sum
}

// contentPuts lists the shard's content in the order of its keys; the caller holds
// the lock.
func (s *shard) contentPuts() []*Put {
	puts := make([]*Put, 0, s.kv.Size())
	s.kv.Each(func(key, value any) {
		puts = append(puts, &Put{Key: key.(string), Value: value.([]byte)})
	})
	return puts
}

// MemoryBytes returns about how much memory the shards take that this core leads:
// their content, the changes that a disk or a follower may still need, and
// snapshots that are being sent.
func (srv *Server) MemoryBytes() int {
	sum := 0
	for _, s := range srv.shards {
		s.mu.Lock()
		sum += s.memoryBytes()
		s.mu.Unlock()
	}
	return sum
}

// memoryBytes is MemoryBytes of one shard; the caller holds the lock.
func (s *shard) memoryBytes() int {
	sum := 0
	if s.kv != nil {
		sum += ApproxSize(s.contentPuts())
	}
	for _, entry := range s.entries {
		sum += entry.memoryBytes()
	}
	counted := map[*snapshotCopy]bool{}
	for _, t := range s.transfers {
		if t.snapshotCopy != nil && !counted[t.snapshotCopy] {
			counted[t.snapshotCopy] = true
			sum += len(t.data)
		}
	}
	return sum
}
