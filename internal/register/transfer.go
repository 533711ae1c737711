// Sending a slot's content to a disk that cannot go on from the tail. The copy
// that is sent never changes, the changes after it are kept for the time, and a
// disk counts only once it has all of it. The copy is taken anew where more
// changes came meanwhile than may be kept. Changes of the weight of twice the
// copy may be kept, and the rate is not bounded from the second copy on, so a
// disk that takes changes as fast as they come gets there.

package register

import (
	"time"

	"fordseam/internal/consensus"
)

// transferRate bounds the bytes a second of each of the transfers that repair a
// disk while its slots are served without it.
const transferRate = 16 << 20

// appendBytes is the most that one message carries of changes, unless a single
// one is larger.
const appendBytes = 1 << 20

// snapshotCopy is a slot's content at one number. What fits one message is sent
// as puts; data is then empty.
type snapshotCopy struct {
	snapshot *Snapshot
	puts     []*Put
	data     []byte
}

// transfer is a copy on its way to one disk. Once the disk has all of it, the
// copy is let go of.
type transfer struct {
	*snapshotCopy
	// asked is set once the disk has told how much of it is there.
	asked  bool
	offset uint64
	// again counts the copies before this one that were outgrown.
	again int
	// allowance is how much of the tail may be kept for the disk until it has
	// caught up.
	allowance int
}

// delivery is the next message to a disk: one of the three.
type delivery struct {
	install  *InstallRequest
	part     *InstallPartRequest
	appended *AppendRequest
}

// outstanding builds what a disk lacks, nil if nothing; the caller holds the
// lock.
func (s *slot) outstanding(claim *Claim, diskID string) *delivery {
	known := s.progress[diskID]
	switch known.Next(s.first(), s.tail, claim.SetStamp) {
	case consensus.SendProbe:
		return &delivery{appended: &AppendRequest{Claim: claim}}
	case consensus.SendSnapshot:
		known.Installed = false
		return s.nextOfContent(claim, diskID)
	case consensus.SendEntries:
		return &delivery{appended: &AppendRequest{Claim: claim, Entries: s.nextEntries(known.Acked + 1)}}
	}
	return nil
}

// nextEntries lists the changes from a number on that fit one message, at least
// one.
func (s *slot) nextEntries(from uint64) []*Entry {
	var entries []*Entry
	for sum, rest := 0, s.buffer[from-s.first():]; len(entries) < len(rest); {
		next := rest[len(entries)]
		if sum += next.weight(); sum > appendBytes && len(entries) > 0 {
			break
		}
		entries = append(entries, next)
	}
	return entries
}

// nextOfContent builds the next message of a transfer, which begins if none is
// under way or what followed its copy was dropped.
func (s *slot) nextOfContent(claim *Claim, diskID string) *delivery {
	t := s.transfers[diskID]
	switch {
	case t == nil:
		t = &transfer{snapshotCopy: s.copied()}
	case t.snapshotCopy == nil || s.outgrew(t.snapshot.Seq):
		t = &transfer{snapshotCopy: s.copied(), again: t.again + 1}
	}
	if s.transfers == nil {
		s.transfers = map[string]*transfer{}
	}
	s.transfers[diskID] = t
	t.allowance = 2 * len(t.data)
	if t.data == nil {
		return &delivery{install: &InstallRequest{Claim: claim, Seq: t.snapshot.Seq, Puts: t.puts}}
	}
	part := &InstallPartRequest{Claim: claim, Snapshot: t.snapshot, Offset: t.offset}
	if t.asked {
		part.Data = t.data[t.offset:min(t.offset+PartBytes, t.snapshot.Size)]
	}
	return &delivery{part: part}
}

// outgrew tells that changes right after a number were dropped.
func (s *slot) outgrew(seq uint64) bool { return seq+1 < s.first() }

// copied gives a copy of the content from which a disk can go on, one that is
// being sent to another disk if there is such.
func (s *slot) copied() *snapshotCopy {
	for _, t := range s.transfers {
		if t.snapshotCopy != nil && t.data != nil && !s.outgrew(t.snapshot.Seq) {
			return t.snapshotCopy
		}
	}
	puts := s.content()
	if ApproxSize(puts) <= PartBytes {
		return &snapshotCopy{snapshot: &Snapshot{Seq: s.tail}, puts: puts}
	}
	snapshot, data := EncodeSnapshot(s.tail, puts)
	return &snapshotCopy{snapshot: snapshot, data: data}
}

// tailLimit is how much the committed changes may weigh that are kept for
// disks; the caller holds the lock.
func (s *slot) tailLimit() int {
	limit := tailBytes
	for _, t := range s.transfers {
		limit = max(limit, t.allowance)
	}
	return limit
}

// tailFrom is the first change that a disk will need, if that is known; the
// caller holds the lock.
func (s *slot) tailFrom(diskID string) (from uint64, known bool) {
	if mark := s.progressOf(diskID); mark.Installed {
		return mark.Acked + 1, true
	}
	if t := s.transfers[diskID]; t != nil && t.snapshotCopy != nil {
		return t.snapshot.Seq + 1, true
	}
	return 0, false
}

// stagedPart notes that a disk has a part, and tells whether more are to come;
// the caller holds the lock.
func (s *slot) stagedPart(diskID string, sent *delivery, ack *Ack) bool {
	if sent.part == nil || ack.Staged >= sent.part.Snapshot.Size {
		return false
	}
	if t := s.transfers[diskID]; t != nil && t.snapshotCopy != nil && t.snapshot.Equal(sent.part.Snapshot) {
		t.asked, t.offset = true, ack.Staged
	}
	s.partsTaken++
	return true
}

// endTransfer lets go of the copy that a disk has all of, and once the disk has
// caught up, of what was kept for it beyond the usual; the caller holds the
// lock.
func (s *slot) endTransfer(diskID string) {
	t := s.transfers[diskID]
	if t == nil {
		return
	}
	t.snapshotCopy = nil
	if s.progressOf(diskID).Has(s.commit) {
		delete(s.transfers, diskID)
	}
}

// pauseAfter is how long to wait after a message so that repair stays within its
// rate; the caller holds the lock.
func (s *slot) pauseAfter(diskID string, sent *delivery) time.Duration {
	if t := s.transfers[diskID]; sent.part == nil || t == nil || t.again > 0 {
		return 0
	}
	return time.Duration(len(sent.part.Data)) * time.Second / transferRate
}
