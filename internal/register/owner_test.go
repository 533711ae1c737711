// What an owner keeps of the feed's changes for its followers is bounded, in
// number and in bytes.
package register

import (
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/matryer/is"
)

func TestKeptChangesOfTheFeedAreBounded(t *testing.T) {
	for _, row := range []struct {
		name    string
		num     uint32
		size    int
		changes int
		behind  uint64 // what a disk lacks
		kept    func(entries, bytes int) bool
	}{
		{"small changes by number", 0, 40, 3 * tailEntries, 0, func(entries, _ int) bool { return entries == tailEntries }},
		{"few small changes all stay", 0, 40, 100, 0, func(entries, _ int) bool { return entries == 100 }},
		{"documents by bytes", 0, 100 << 10, 3000, 0, func(entries, bytes int) bool { return bytes <= feedBytes && bytes > feedBytes/2 }},
		{"a document larger than the bound", 0, 2 * feedBytes, 5, 0, func(entries, _ int) bool { return entries == 0 }},
		{"what a disk lacks stays", 0, 100 << 10, 300, 30, func(entries, _ int) bool { return entries >= 30 }},
		{"other slots keep what disks lack", 1, 40, 100, 7, func(entries, _ int) bool { return entries == 7 }},
		{"other slots keep it within the bound", 1, 100 << 10, 300, 30, func(entries, _ int) bool { return entries == 30 }},
		{"nothing is kept for a disk further behind", 1, 100 << 10, 300, 80, func(entries, _ int) bool { return entries == 0 }},
		{"nor for one that never answers", 1, 22 << 10, 3000, 3000, func(entries, _ int) bool { return entries == 0 }},
		{"nor for one that lacks many small ones", 1, 40, 3 * tailEntries, 3 * tailEntries, func(entries, _ int) bool { return entries == 0 }},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			set := &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
			s := &slot{num: row.num, progress: map[string]*consensus.Progress{"a": {Installed: true, SetVersion: 1}, "b": {Installed: true, SetVersion: 1}, "c": {Installed: true, SetVersion: 1}}}
			value := make([]byte, row.size)
			for range row.changes {
				s.tail++
				s.buffer = append(s.buffer, &Entry{Seq: s.tail, Puts: []*Put{{Key: "feed/routes", Value: value}}})
				s.progress["a"].Acked, s.progress["b"].Acked = s.tail, s.tail
				s.progress["c"].Acked = s.tail - min(s.tail, row.behind)
				s.recount(set)
				is.Equal(s.commit, s.tail)
			}
			bytes := 0
			for _, entry := range s.buffer {
				bytes += entry.weight()
			}
			is.True(row.kept(len(s.buffer), bytes))
			is.Equal(s.first()+uint64(len(s.buffer)), s.tail+1)
		})
	}
}

// An owner that has just taken a slot knows its number before a majority has
// its content, and keeps no change yet.
func TestTrimmingBeforeAnythingIsCommitted(t *testing.T) {
	is := is.New(t)
	set := &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	s := &slot{num: 1, tail: 50, progress: map[string]*consensus.Progress{"a": {Installed: true, Acked: 50, SetVersion: 1}, "b": {}, "c": {}}}
	s.recount(set)
	is.Equal(s.first(), uint64(51))
	is.True(!s.based)
	s.progress["b"] = &consensus.Progress{Installed: true, Acked: 50, SetVersion: 1}
	s.recount(set)
	is.Equal(s.commit, uint64(50))
	is.True(s.based)
}

// An answer that comes late, to a message that was sent under a set that two
// changes have replaced, must not have the former set's voters count: the model
// checker found that what they acknowledged could then be lost.
func TestLateAnswersAreCountedByTheNewestSet(t *testing.T) {
	is := is.New(t)
	clock := base.NewRealClock()
	former := &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	newest := &DiskSet{Stamp: 3, Disks: append(former.Disks[:3:3], &DiskEntry{Id: "d"})}
	s := &slot{num: 1, epoch: 1, tail: 1, bell: base.NewBell(clock), buffer: []*Entry{{Seq: 1}}, progress: map[string]*consensus.Progress{
		"a": {},
		"b": {Installed: true, Acked: 1, SetVersion: 3},
		"c": {Installed: true, Acked: 1, SetVersion: 3},
		"d": {Installed: true, SetVersion: 3},
	}}
	owner := &Server{set: newest}
	owner.acknowledge(s, 1, "a", 0, former.Stamp)
	is.Equal(s.commit, uint64(0)) // b and c are no majority of four
	owner.acknowledge(s, 1, "a", 1, newest.Stamp)
	is.Equal(s.commit, uint64(1))
}

// What waits for a majority is bounded, in number and in bytes.
func TestTooManyChangesThatWaitAreRefused(t *testing.T) {
	for name, size := range map[string]int{"small": 40, "documents": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &slot{num: 1}
			for !s.crowded() {
				s.tail++
				s.buffer = append(s.buffer, &Entry{Seq: s.tail, Puts: []*Put{{Key: "k", Value: make([]byte, size)}}})
			}
			is.True(len(s.buffer) == waitingEntries+1 || tailWeight(s) <= waitingBytes+size+256)
			s.commit = s.tail - 1
			is.True(!s.crowded())
		})
	}
}

// What a replica acknowledged under a former set does not count under the next:
// it may have promised a higher epoch since, to a leader that the replicas which
// are new in the set have not heard of. The model checker found that such a
// change was acknowledged and then lost.
func TestOnlyAcknowledgementsUnderTheSetCount(t *testing.T) {
	is := is.New(t)
	set := &DiskSet{Stamp: 3, Disks: []*DiskEntry{{Id: "a"}, {Id: "c"}, {Id: "d"}}}
	s := &slot{num: 1, epoch: 1, tail: 1, bell: base.NewBell(base.NewRealClock()), buffer: []*Entry{{Seq: 1}}, progress: map[string]*consensus.Progress{
		"a": {Installed: true, Acked: 1, SetVersion: 1},
		"c": {Installed: true, SetVersion: 1},
		"d": {Installed: true, SetVersion: 1},
	}}
	owner := &Server{set: set}
	owner.acknowledge(s, 1, "d", 1, set.Stamp)
	is.Equal(s.commit, uint64(0)) // a has not acknowledged it under this set
	owner.acknowledge(s, 1, "a", 1, set.Stamp)
	is.Equal(s.commit, uint64(1))
}
