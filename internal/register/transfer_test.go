// A content that is sent while changes go on: the copy stays as it is, what
// follows it is kept, and whatever the changes are, the disk gets there.

package register

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/emirpasic/gods/maps/treemap"
	"github.com/matryer/is"
)

// replicaDisk takes what an owner sends, as a disk does.
type replicaDisk struct {
	installed bool
	seq       uint64
	values    map[string]string
	staged    []byte
	snapshot  *Snapshot
}

func (d *replicaDisk) replace(seq uint64, puts []*Put) {
	d.installed, d.seq, d.values, d.staged = true, seq, map[string]string{}, nil
	for _, put := range puts {
		d.values[put.Key] = string(put.Value)
	}
}

func (d *replicaDisk) take(is *is.I, sent *delivery) *Ack {
	switch {
	case sent.install != nil:
		d.replace(sent.install.Seq, sent.install.Puts)
	case sent.part != nil:
		is.True(sent.part.Valid() || sent.part.Claim == nil)
		if !d.snapshot.Equal(sent.part.Snapshot) {
			d.snapshot, d.staged = sent.part.Snapshot, nil
		}
		if sent.part.Offset == uint64(len(d.staged)) {
			d.staged = append(d.staged, sent.part.Data...)
		}
		staged := uint64(len(d.staged))
		if staged == d.snapshot.Size {
			puts, whole := d.snapshot.Decode(d.staged)
			is.True(whole)
			d.replace(d.snapshot.Seq, puts)
		}
		return &Ack{Ok: true, Seq: d.seq, Staged: staged}
	case !d.installed:
		return &Ack{Why: "behind"}
	}
	if sent.appended != nil {
		for _, entry := range sent.appended.Entries {
			is.Equal(entry.Seq, d.seq+1)
			d.seq = entry.Seq
			for _, put := range entry.Puts {
				d.values[put.Key] = string(put.Value)
			}
		}
	}
	return &Ack{Ok: true, Seq: d.seq}
}

// transferSlot is a slot whose two other disks follow at once.
type transferSlot struct {
	*slot
	set *DiskSet
}

func newTransferSlot(num uint32, keys, size int) *transferSlot {
	x := &transferSlot{slot: &slot{num: num, held: treemap.NewWithStringComparator(), tail: 1, commit: 1, based: true},
		set: &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}}
	for place := range keys {
		x.held.Put(fmt.Sprintf("k%04d", place), make([]byte, size))
	}
	x.progress = map[string]*consensus.Progress{"a": {Installed: true, Acked: 1, SetVersion: 1}, "b": {Installed: true, Acked: 1, SetVersion: 1}, "c": {}}
	return x
}

// change commits a change by the two disks that follow.
func (x *transferSlot) change(key string, size int) {
	value := make([]byte, size)
	copy(value, fmt.Sprint(x.tail+1))
	x.tail++
	x.buffer = append(x.buffer, &Entry{Seq: x.tail, Puts: []*Put{{Key: key, Value: value}}})
	x.held.Put(key, value)
	for _, id := range []string{"a", "b"} {
		x.progress[id].Acked = x.tail
	}
	x.recount(x.set)
}

// took notes the answer of the disk that is behind, as a sender does.
func (x *transferSlot) took(sent *delivery, ack *Ack) {
	if x.stagedPart("c", sent, ack) {
		return
	}
	*x.progress["c"] = x.progress["c"].Acknowledge(ack.Seq, x.set.Stamp)
	x.endTransfer("c")
	x.recount(x.set)
}

// step sends the next message to the disk that is behind.
func (x *transferSlot) step(is *is.I, d *replicaDisk) (moved bool) {
	sent := x.outstanding(&Claim{Disk: "c", SetStamp: 1}, "c")
	if sent == nil {
		return false
	}
	if ack := d.take(is, sent); ack.Ok {
		x.took(sent, ack)
	} else {
		x.progress["c"].Installed = false
	}
	return true
}

// A disk whose content takes many messages gets there while changes of any
// weight go on, as long as it takes a message's worth for each of them.
func TestATransferEndsUnderASteadyStreamOfChanges(t *testing.T) {
	for _, row := range []struct {
		name       string
		num        uint32
		keys, size int // of the content
		change     int // the weight of each change
		messages   int // between changes
		most       int // messages until the disk has all
	}{
		{"a small content, small changes", 1, 10, 100, 100, 1, 3},
		{"a small content, changes of some weight", 1, 10, 20 << 10, 20 << 10, 1, 3},
		{"a large content, small changes", 1, 3000, 1 << 10, 100, 1, 30},
		{"a document that is replaced", 0, 1, 2 << 20, 2 << 20, 10, 60},
		{"a large content, changes almost as heavy as messages", 1, 400, 32 << 10, 200 << 10, 1, 400},
		{"a content far larger than the bound", 1, 1000, 16 << 10, 200 << 10, 1, 400},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			x, d := newTransferSlot(row.num, row.keys, row.size), &replicaDisk{}
			messages, heaviest := 0, 0
			for ; messages < row.most && (!d.installed || d.seq < x.tail); messages++ {
				if messages%row.messages == 0 {
					x.change(fmt.Sprintf("k%04d", messages%row.keys), row.change)
				}
				x.step(is, d)
				heaviest = max(heaviest, tailWeight(x.slot))
			}
			is.True(d.installed && d.seq == x.tail)
			is.True(heaviest <= x.tailLimitFor(ApproxSize(x.content()))+row.change+1024)
			for x.step(is, d) {
			}
			for place := range row.keys {
				key := fmt.Sprintf("k%04d", place)
				value, _ := x.held.Get(key)
				is.Equal(d.values[key], string(value.([]byte)))
			}
			is.True(x.transfers["c"] == nil)
			t.Logf("whole after %d messages, the tail weighed at most %d", messages, heaviest)
		})
	}
}

func (x *transferSlot) tailLimitFor(size int) int { return max(tailBytes, 2*size) }

func tailWeight(s *slot) int {
	sum := 0
	for _, entry := range s.buffer {
		sum += entry.weight()
	}
	return sum
}

// Where more comes than may be kept, the copy is taken anew, and its rate is no
// longer bounded.
func TestAnOutgrownTransferBeginsAgain(t *testing.T) {
	is := is.New(t)
	x, d := newTransferSlot(1, 100, 8<<10), &replicaDisk{}
	x.step(is, d)
	x.step(is, d)
	first := x.transfers["c"]
	is.Equal(first.offset, uint64(PartBytes))
	sent := &delivery{part: &InstallPartRequest{Data: make([]byte, PartBytes)}}
	is.True(x.pauseAfter("c", sent) > 0)
	x.change("k0000", 64)
	x.step(is, d)
	is.True(x.transfers["c"] == first) // what follows the copy is kept
	for range 80 {
		x.change("k0001", 100<<10)
	}
	x.step(is, d)
	is.True(x.transfers["c"] != first && x.transfers["c"].snapshot.Seq == x.tail)
	is.Equal(x.transfers["c"].again, 1)
	is.Equal(x.pauseAfter("c", sent), time.Duration(0))
	for x.step(is, d) {
	}
	is.Equal(d.seq, x.tail)
}

// Disks that are filled at once are sent one copy.
func TestDisksShareACopy(t *testing.T) {
	is := is.New(t)
	x := newTransferSlot(1, 100, 8<<10)
	x.progress["b"] = &consensus.Progress{}
	claim := &Claim{SetStamp: 1}
	x.outstanding(claim, "b")
	x.change("k0000", 64)
	x.outstanding(claim, "c")
	is.True(x.transfers["b"].snapshotCopy == x.transfers["c"].snapshotCopy)
}

// What a majority of the disks lacks goes to them in messages of a bounded size.
func TestChangesThatQueuedGoInBoundedMessages(t *testing.T) {
	is := is.New(t)
	x, d := newTransferSlot(1, 1, 10), &replicaDisk{}
	x.step(is, d)
	for range 50 {
		x.change("k0000", 40<<10)
	}
	x.change("k0000", 2*appendBytes) // one that is larger goes alone
	messages := 0
	for {
		sent := x.outstanding(&Claim{SetStamp: 1}, "c")
		if sent == nil {
			break
		}
		weight := 0
		for _, entry := range sent.appended.Entries {
			weight += entry.weight()
		}
		is.True(weight <= appendBytes || len(sent.appended.Entries) == 1)
		messages++
		x.took(sent, d.take(is, sent))
	}
	is.True(messages >= 3)
	is.Equal(d.seq, x.tail)
}

// Promises that tell the same are held by several disks.
func TestTheNewestPromiseCounts(t *testing.T) {
	is := is.New(t)
	var p promises
	for place, reply := range []*PromiseReply{{Installed: 2, Seq: 7, AgeMs: 5}, {Installed: 3, Seq: 4, AgeMs: 1}, {Installed: 3, Seq: 5, AgeMs: 2}, {Installed: 3, Seq: 5, AgeMs: 9}, {Installed: 1, Seq: 90}} {
		p.add(&DiskEntry{Id: fmt.Sprint(place)}, reply)
	}
	best, ageMs, holders := p.newest()
	is.Equal(fmt.Sprint(best.Installed, best.Seq, ageMs), "3 5 9")
	is.Equal(base.Map(holders, func(entry *DiskEntry) string { return entry.Id }), []string{"2", "3"})
}
