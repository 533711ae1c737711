package register

import (
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/matryer/is"
)

// The committed changes that a leader retains are bounded in number and size: those
// that a disk lacks, and in the feed's shard the newest ones for its followers.
func TestKeptChangesOfTheFeedAreBounded(t *testing.T) {
	for _, row := range []struct {
		name     string
		num      uint32
		size     int
		changes  int
		lag      uint64 // how many changes one disk lacks
		retained func(entries, bytes int) bool
	}{
		{"small changes are bounded by number", 0, 40, 3 * maxRetainedEntries, 0, func(entries, _ int) bool { return entries == maxRetainedEntries }},
		{"few small changes are all retained", 0, 40, 100, 0, func(entries, _ int) bool { return entries == 100 }},
		{"documents are bounded by size", 0, 100 << 10, 3000, 0, func(entries, bytes int) bool { return bytes <= maxFeedBytes && bytes > maxFeedBytes/2 }},
		{"a document larger than the bound", 0, 2 * maxFeedBytes, 5, 0, func(entries, _ int) bool { return entries == 0 }},
		{"changes that a disk lacks are retained", 0, 100 << 10, 300, 30, func(entries, _ int) bool { return entries >= 30 }},
		{"other shards retain only what disks lack", 1, 40, 100, 7, func(entries, _ int) bool { return entries == 7 }},
		{"other shards retain it within the bound", 1, 100 << 10, 300, 30, func(entries, _ int) bool { return entries == 30 }},
		{"nothing is retained for a disk further behind", 1, 100 << 10, 300, 80, func(entries, _ int) bool { return entries == 0 }},
		{"nothing is retained for a disk that never answers", 1, 22 << 10, 3000, 3000, func(entries, _ int) bool { return entries == 0 }},
		{"nothing is retained for a disk that lacks many small changes", 1, 40, 3 * maxRetainedEntries, 3 * maxRetainedEntries, func(entries, _ int) bool { return entries == 0 }},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			set := &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
			s := &shard{num: row.num, progress: map[string]*consensus.Progress{"a": {Installed: true, SetVersion: 1}, "b": {Installed: true, SetVersion: 1}, "c": {Installed: true, SetVersion: 1}}}
			value := make([]byte, row.size)
			for range row.changes {
				s.lastSeq++
				s.entries = append(s.entries, &Entry{Seq: s.lastSeq, Puts: []*Put{{Key: "feed/routes", Value: value}}})
				s.progress["a"].Acked, s.progress["b"].Acked = s.lastSeq, s.lastSeq
				s.progress["c"].Acked = s.lastSeq - min(s.lastSeq, row.lag)
				s.updateCommitted(set)
				is.Equal(s.committed, s.lastSeq)
			}
			bytes := 0
			for _, entry := range s.entries {
				bytes += entry.memoryBytes()
			}
			is.True(row.retained(len(s.entries), bytes))
			is.Equal(s.firstSeq()+uint64(len(s.entries)), s.lastSeq+1)
		})
	}
}

// A leader that has just taken a shard over knows the last sequence number before a
// majority has installed the content, and retains no entry yet.
func TestTrimBeforeFirstCommit(t *testing.T) {
	is := is.New(t)
	set := &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	s := &shard{num: 1, lastSeq: 50, progress: map[string]*consensus.Progress{"a": {Installed: true, Acked: 50, SetVersion: 1}, "b": {}, "c": {}}}
	s.updateCommitted(set)
	is.Equal(s.firstSeq(), uint64(51))
	is.True(!s.majorityInstalled)
	s.progress["b"] = &consensus.Progress{Installed: true, Acked: 50, SetVersion: 1}
	s.updateCommitted(set)
	is.Equal(s.committed, uint64(50))
	is.True(s.majorityInstalled)
}

// An acknowledgement may come late, after two changes have replaced the disk set
// that the message was sent under. It must not be counted by the voters of that
// former set: the model checker found that an acknowledged change could then be
// lost.
func TestLateAnswersAreCountedByTheNewestSet(t *testing.T) {
	is := is.New(t)
	clock := base.NewRealClock()
	former := &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	newest := &DiskSet{Stamp: 3, Disks: append(former.Disks[:3:3], &DiskEntry{Id: "d"})}
	s := &shard{num: 1, epoch: 1, lastSeq: 1, changed: base.NewNotifier(clock), entries: []*Entry{{Seq: 1}}, progress: map[string]*consensus.Progress{
		"a": {},
		"b": {Installed: true, Acked: 1, SetVersion: 3},
		"c": {Installed: true, Acked: 1, SetVersion: 3},
		"d": {Installed: true, SetVersion: 3},
	}}
	srv := &Server{diskSet: newest}
	srv.recordAck(s, 1, "a", 0, former.Stamp)
	is.Equal(s.committed, uint64(0)) // b and c are no majority of four disks
	srv.recordAck(s, 1, "a", 1, newest.Stamp)
	is.Equal(s.committed, uint64(1))
}

// The changes that wait for a majority are bounded in number and size.
func TestPendingChangesAreBounded(t *testing.T) {
	for name, size := range map[string]int{"small": 40, "documents": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &shard{num: 1}
			for !s.backlogFull() {
				s.lastSeq++
				s.entries = append(s.entries, &Entry{Seq: s.lastSeq, Puts: []*Put{{Key: "k", Value: make([]byte, size)}}})
			}
			is.True(len(s.entries) == maxPendingEntries+1 || tailSize(s) <= maxPendingBytes+size+256)
			s.committed = s.lastSeq - 1
			is.True(!s.backlogFull())
		})
	}
}

// What a disk acknowledged under a former set does not count under the next
// one. The disk may have promised a higher epoch since, to a leader that the
// new disks of the set do not know of. The model checker found that such a
// change could be acknowledged and then lost.
func TestOnlyAcknowledgementsUnderTheSetCount(t *testing.T) {
	is := is.New(t)
	set := &DiskSet{Stamp: 3, Disks: []*DiskEntry{{Id: "a"}, {Id: "c"}, {Id: "d"}}}
	s := &shard{num: 1, epoch: 1, lastSeq: 1, changed: base.NewNotifier(base.NewRealClock()), entries: []*Entry{{Seq: 1}}, progress: map[string]*consensus.Progress{
		"a": {Installed: true, Acked: 1, SetVersion: 1},
		"c": {Installed: true, SetVersion: 1},
		"d": {Installed: true, SetVersion: 1},
	}}
	srv := &Server{diskSet: set}
	srv.recordAck(s, 1, "d", 1, set.Stamp)
	is.Equal(s.committed, uint64(0)) // a has not acknowledged it under this set
	srv.recordAck(s, 1, "a", 1, set.Stamp)
	is.Equal(s.committed, uint64(1))
}
