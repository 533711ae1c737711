package register

import (
	"time"

	"fordseam/internal/consensus"
)

// repairBytesPerSecond bounds the rate of each transfer that repairs a disk while
// its shard is served without it.
const repairBytesPerSecond = 16 << 20

// maxAppendBytes bounds the entries that one message carries, unless a single one
// is larger.
const maxAppendBytes = 1 << 20

// snapshotCopy is an immutable copy of a shard's content at one sequence number.
// Content that fits into one message is sent as puts, and data is nil; larger
// content is sent as parts of data.
type snapshotCopy struct {
	snapshot *Snapshot
	puts     []*Put
	data     []byte
}

// transfer is the sending of a shard's content to a disk that cannot continue from
// the retained entries.
//
// The copy that is sent never changes, and the disk counts towards a majority only
// once it has all of it; then the copy is released. The changes after the copy are
// retained meanwhile, up to twice its size or maxRetainedBytes. If more changes
// come, a new copy is sent, and from this second copy on the rate is not limited.
// So every disk that accepts changes as fast as they come catches up.
type transfer struct {
	*snapshotCopy
	// offsetKnown is set once the disk has reported how much of the copy it has.
	offsetKnown bool
	offset      uint64
	// restarts counts the earlier copies after which too many changes came.
	restarts int
	// retainBytes bounds the entries retained for the disk until it has caught up.
	retainBytes int
}

// diskMessage is a message to a disk; exactly one of its fields is set.
type diskMessage struct {
	install       *InstallRequest
	part          *InstallPartRequest
	appendEntries *AppendRequest
}

// nextMessage builds the next message to a disk, nil if there is none to send; the
// caller holds the lock.
func (s *shard) nextMessage(claim *Claim, diskID string) *diskMessage {
	progress := s.progress[diskID]
	switch progress.Next(s.firstSeq(), s.lastSeq, claim.SetStamp) {
	case consensus.SendProbe:
		return &diskMessage{appendEntries: &AppendRequest{Claim: claim}}
	case consensus.SendSnapshot:
		progress.Installed = false
		return s.nextSnapshotMessage(claim, diskID)
	case consensus.SendEntries:
		return &diskMessage{appendEntries: &AppendRequest{Claim: claim, Entries: s.nextEntries(progress.Acked + 1)}}
	}
	return nil
}

// nextEntries returns the retained entries from a sequence number on that fit into
// one message, at least one; the caller holds the lock.
func (s *shard) nextEntries(from uint64) []*Entry {
	var entries []*Entry
	for bytes, available := 0, s.entries[from-s.firstSeq():]; len(entries) < len(available); {
		next := available[len(entries)]
		if bytes += next.memoryBytes(); bytes > maxAppendBytes && len(entries) > 0 {
			break
		}
		entries = append(entries, next)
	}
	return entries
}

// nextSnapshotMessage builds the next message of a disk's transfer. A new transfer
// begins if there is none, or if entries after its copy were dropped; the caller
// holds the lock.
func (s *shard) nextSnapshotMessage(claim *Claim, diskID string) *diskMessage {
	t := s.transfers[diskID]
	switch {
	case t == nil:
		t = &transfer{snapshotCopy: s.snapshotToSend()}
	case t.snapshotCopy == nil || s.trimmedPast(t.snapshot.Seq):
		t = &transfer{snapshotCopy: s.snapshotToSend(), restarts: t.restarts + 1}
	}
	if s.transfers == nil {
		s.transfers = map[string]*transfer{}
	}
	s.transfers[diskID] = t
	t.retainBytes = 2 * len(t.data)
	if t.data == nil {
		return &diskMessage{install: &InstallRequest{Claim: claim, Seq: t.snapshot.Seq, Puts: t.puts}}
	}
	part := &InstallPartRequest{Claim: claim, Snapshot: t.snapshot, Offset: t.offset}
	if t.offsetKnown {
		part.Data = t.data[t.offset:min(t.offset+PartBytes, t.snapshot.Size)]
	}
	return &diskMessage{part: part}
}

// trimmedPast reports whether the entry after a sequence number was dropped; the
// caller holds the lock.
func (s *shard) trimmedPast(seq uint64) bool { return seq+1 < s.firstSeq() }

// snapshotToSend returns a copy of the content after which no entry is missing: one
// that is being sent to another disk if possible, else a new one. The caller holds
// the lock.
func (s *shard) snapshotToSend() *snapshotCopy {
	for _, t := range s.transfers {
		if t.snapshotCopy != nil && t.data != nil && !s.trimmedPast(t.snapshot.Seq) {
			return t.snapshotCopy
		}
	}
	puts := s.contentPuts()
	if ApproxSize(puts) <= PartBytes {
		return &snapshotCopy{snapshot: &Snapshot{Seq: s.lastSeq}, puts: puts}
	}
	snapshot, data := EncodeSnapshot(s.lastSeq, puts)
	return &snapshotCopy{snapshot: snapshot, data: data}
}

// retainLimit returns the bound on the size of the committed entries that are
// retained for disks; the caller holds the lock.
func (s *shard) retainLimit() int {
	limit := maxRetainedBytes
	for _, t := range s.transfers {
		limit = max(limit, t.retainBytes)
	}
	return limit
}

// nextSeqFor returns the sequence number of the first entry that a disk will need,
// if that is known; the caller holds the lock.
func (s *shard) nextSeqFor(diskID string) (seq uint64, known bool) {
	if progress := s.progressOf(diskID); progress.Installed {
		return progress.Acked + 1, true
	}
	if t := s.transfers[diskID]; t != nil && t.snapshotCopy != nil {
		return t.snapshot.Seq + 1, true
	}
	return 0, false
}

// recordStaged records that a disk has accepted a part of a snapshot, and reports
// whether more parts are to follow; the caller holds the lock.
func (s *shard) recordStaged(diskID string, message *diskMessage, ack *Ack) bool {
	if message.part == nil || ack.Staged >= message.part.Snapshot.Size {
		return false
	}
	if t := s.transfers[diskID]; t != nil && t.snapshotCopy != nil && t.snapshot.Equal(message.part.Snapshot) {
		t.offsetKnown, t.offset = true, ack.Staged
	}
	s.partsAccepted++
	return true
}

// finishTransfer releases the copy that a disk has installed. Once the disk has all
// committed changes, it also ends the transfer and with it the higher bound on
// retained entries. The caller holds the lock.
func (s *shard) finishTransfer(diskID string) {
	t := s.transfers[diskID]
	if t == nil {
		return
	}
	t.snapshotCopy = nil
	if s.progressOf(diskID).Has(s.committed) {
		delete(s.transfers, diskID)
	}
}

// repairDelay returns how long to wait after a message to stay within the repair
// rate; the caller holds the lock.
func (s *shard) repairDelay(diskID string, message *diskMessage) time.Duration {
	if t := s.transfers[diskID]; message.part == nil || t == nil || t.restarts > 0 {
		return 0
	}
	return time.Duration(len(message.part.Data)) * time.Second / repairBytesPerSecond
}
