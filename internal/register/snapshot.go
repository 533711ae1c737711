// A snapshot is a slot's content, encoded at one number. One that is larger than
// a message goes in parts; its digest tells that all parts belong together, from
// whichever disk or owner they came, so that a transfer goes on where another
// broke off.

package register

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"
)

const (
	// PartBytes is the most that one message carries of a snapshot.
	PartBytes = 256 << 10
	// SnapshotLimit is the largest snapshot that a disk takes.
	MaxSnapshotBytes = 1 << 30
)

// EncodeSnapshot gives a slot's content, in the order of its keys, as a snapshot and
// its bytes. The same content gives the same bytes everywhere.
func EncodeSnapshot(seq uint64, puts []*Put) (*Snapshot, []byte) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&SlotContent{Puts: puts})
	if err != nil {
		panic(err)
	}
	digest := sha256.Sum256(data)
	return &Snapshot{Seq: seq, Size: uint64(len(data)), Digest: digest[:]}, data
}

// Decode gives the content back; it fails unless the data is the snapshot's.
func (x *Snapshot) Decode(data []byte) (puts []*Put, whole bool) {
	digest := sha256.Sum256(data)
	if uint64(len(data)) != x.Size || !bytes.Equal(digest[:], x.Digest) {
		return nil, false
	}
	var content SlotContent
	if proto.Unmarshal(data, &content) != nil {
		return nil, false
	}
	return content.Puts, true
}

// Equal tells whether two snapshots have the same content and number.
func (x *Snapshot) Equal(other *Snapshot) bool {
	return x.GetSeq() == other.GetSeq() && x.GetSize() == other.GetSize() && bytes.Equal(x.GetDigest(), other.GetDigest())
}

// Valid tells whether a part lies within its snapshot and the limits.
func (x *InstallPartRequest) Valid() bool {
	end := x.Offset + uint64(len(x.Data))
	return x.Claim != nil && x.Snapshot != nil && len(x.Snapshot.Digest) == sha256.Size && x.Snapshot.Size <= MaxSnapshotBytes &&
		len(x.Data) <= PartBytes && x.Offset <= x.Snapshot.Size && end <= x.Snapshot.Size
}

// ApproxSize is about how many bytes puts have when they are encoded.
func ApproxSize(puts []*Put) int {
	sum := 0
	for _, put := range puts {
		sum += len(put.Key) + len(put.Value) + 8
	}
	return sum
}

// content lists what a slot holds; the caller holds the lock.
func (s *slot) content() []*Put {
	puts := make([]*Put, 0, s.held.Size())
	s.held.Each(func(key, value any) {
		puts = append(puts, &Put{Key: key.(string), Value: value.([]byte)})
	})
	return puts
}

// MemoryBytes is about what this core holds in memory of the slots that it owns: their
// content, the changes that a disk or a follower may still need, and snapshots
// that are being sent.
func (o *Server) MemoryBytes() int {
	sum := 0
	for _, s := range o.slots {
		s.mu.Lock()
		sum += s.kept()
		s.mu.Unlock()
	}
	return sum
}

func (s *slot) kept() int {
	sum := 0
	if s.held != nil {
		sum += ApproxSize(s.content())
	}
	for _, entry := range s.buffer {
		sum += entry.weight()
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
