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

// replicaDisk handles a leader's messages as a disk does.
type replicaDisk struct {
	installed bool
	seq       uint64
	values    map[string]string
	staged    []byte
	snapshot  *Snapshot
}

// replace installs a snapshot.
func (d *replicaDisk) replace(seq uint64, puts []*Put) {
	d.installed, d.seq, d.values, d.staged = true, seq, map[string]string{}, nil
	for _, put := range puts {
		d.values[put.Key] = string(put.Value)
	}
}

// handle executes a message and returns the answer.
func (d *replicaDisk) handle(is *is.I, message *diskMessage) *Ack {
	switch {
	case message.install != nil:
		d.replace(message.install.Seq, message.install.Puts)
	case message.part != nil:
		is.True(message.part.Valid() || message.part.Claim == nil)
		if !d.snapshot.Equal(message.part.Snapshot) {
			d.snapshot, d.staged = message.part.Snapshot, nil
		}
		if message.part.Offset == uint64(len(d.staged)) {
			d.staged = append(d.staged, message.part.Data...)
		}
		staged := uint64(len(d.staged))
		if staged == d.snapshot.Size {
			puts, valid := d.snapshot.Decode(d.staged)
			is.True(valid)
			d.replace(d.snapshot.Seq, puts)
		}
		return &Ack{Ok: true, Seq: d.seq, Staged: staged}
	case !d.installed:
		return &Ack{Why: "behind"}
	}
	if message.appendEntries != nil {
		for _, entry := range message.appendEntries.Entries {
			is.Equal(entry.Seq, d.seq+1)
			d.seq = entry.Seq
			for _, put := range entry.Puts {
				d.values[put.Key] = string(put.Value)
			}
		}
	}
	return &Ack{Ok: true, Seq: d.seq}
}

// transferShard is a shard of three disks. Disks a and b acknowledge each change at
// once, and disk c is behind.
type transferShard struct {
	*shard
	set *DiskSet
}

// newTransferShard returns a shard with a number of keys of a size.
func newTransferShard(num uint32, keys, size int) *transferShard {
	ts := &transferShard{shard: &shard{num: num, kv: treemap.NewWithStringComparator(), lastSeq: 1, committed: 1, majorityInstalled: true},
		set: &DiskSet{Stamp: 1, Disks: []*DiskEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}}}}
	for index := range keys {
		ts.kv.Put(fmt.Sprintf("k%04d", index), make([]byte, size))
	}
	ts.progress = map[string]*consensus.Progress{"a": {Installed: true, Acked: 1, SetVersion: 1}, "b": {Installed: true, Acked: 1, SetVersion: 1}, "c": {}}
	return ts
}

// change adds a change that disks a and b acknowledge.
func (ts *transferShard) change(key string, size int) {
	value := make([]byte, size)
	copy(value, fmt.Sprint(ts.lastSeq+1))
	ts.lastSeq++
	ts.entries = append(ts.entries, &Entry{Seq: ts.lastSeq, Puts: []*Put{{Key: key, Value: value}}})
	ts.kv.Put(key, value)
	for _, id := range []string{"a", "b"} {
		ts.progress[id].Acked = ts.lastSeq
	}
	ts.updateCommitted(ts.set)
}

// recordReply records the answer of disk c, as a sender does.
func (ts *transferShard) recordReply(message *diskMessage, ack *Ack) {
	if ts.recordStaged("c", message, ack) {
		return
	}
	*ts.progress["c"] = ts.progress["c"].Acknowledge(ack.Seq, ts.set.Stamp)
	ts.finishTransfer("c")
	ts.updateCommitted(ts.set)
}

// sendNext sends the next message to disk c, if there is one.
func (ts *transferShard) sendNext(is *is.I, d *replicaDisk) (sent bool) {
	message := ts.nextMessage(&Claim{Disk: "c", SetStamp: 1}, "c")
	if message == nil {
		return false
	}
	if ack := d.handle(is, message); ack.Ok {
		ts.recordReply(message, ack)
	} else {
		ts.progress["c"].Installed = false
	}
	return true
}

// A disk that is sent content in many messages catches up while changes of any size
// go on, as long as it handles a message between two of them. The copy that is sent
// stays as it is, the changes after it are retained, and the retained entries stay
// within their bound.
func TestATransferEndsUnderASteadyStreamOfChanges(t *testing.T) {
	for _, row := range []struct {
		name        string
		num         uint32
		keys, size  int // of the content
		change      int // the size of each change
		messages    int // the messages between two changes
		maxMessages int // the messages until the disk has all changes
	}{
		{"small content, small changes", 1, 10, 100, 100, 1, 3},
		{"small content, medium changes", 1, 10, 20 << 10, 20 << 10, 1, 3},
		{"large content, small changes", 1, 3000, 1 << 10, 100, 1, 30},
		{"a document that is replaced", 0, 1, 2 << 20, 2 << 20, 10, 60},
		{"large content, changes almost as large as a message", 1, 400, 32 << 10, 200 << 10, 1, 400},
		{"content far larger than the bound", 1, 1000, 16 << 10, 200 << 10, 1, 400},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			ts, d := newTransferShard(row.num, row.keys, row.size), &replicaDisk{}
			messages, maxTailSize := 0, 0
			for ; messages < row.maxMessages && (!d.installed || d.seq < ts.lastSeq); messages++ {
				if messages%row.messages == 0 {
					ts.change(fmt.Sprintf("k%04d", messages%row.keys), row.change)
				}
				ts.sendNext(is, d)
				maxTailSize = max(maxTailSize, tailSize(ts.shard))
			}
			is.True(d.installed && d.seq == ts.lastSeq)
			is.True(maxTailSize <= ts.retainLimitFor(ApproxSize(ts.contentPuts()))+row.change+1024)
			for ts.sendNext(is, d) {
			}
			for index := range row.keys {
				key := fmt.Sprintf("k%04d", index)
				value, _ := ts.kv.Get(key)
				is.Equal(d.values[key], string(value.([]byte)))
			}
			is.True(ts.transfers["c"] == nil)
			t.Logf("caught up after %d messages, with at most %d bytes retained", messages, maxTailSize)
		})
	}
}

// retainLimitFor returns the bound on retained entries while content of a size is
// being sent.
func (ts *transferShard) retainLimitFor(size int) int { return max(maxRetainedBytes, 2*size) }

// tailSize returns the size of a shard's retained entries.
func tailSize(s *shard) int {
	sum := 0
	for _, entry := range s.entries {
		sum += entry.memoryBytes()
	}
	return sum
}

// If more changes come during a transfer than may be retained, the transfer begins
// again with a new copy, and its rate is no longer limited.
func TestAnOutgrownTransferBeginsAgain(t *testing.T) {
	is := is.New(t)
	ts, d := newTransferShard(1, 100, 8<<10), &replicaDisk{}
	ts.sendNext(is, d)
	ts.sendNext(is, d)
	first := ts.transfers["c"]
	is.Equal(first.offset, uint64(PartBytes))
	message := &diskMessage{part: &InstallPartRequest{Data: make([]byte, PartBytes)}}
	is.True(ts.repairDelay("c", message) > 0)
	ts.change("k0000", 64)
	ts.sendNext(is, d)
	is.True(ts.transfers["c"] == first) // the changes after the copy are retained
	for range 80 {
		ts.change("k0001", 100<<10)
	}
	ts.sendNext(is, d)
	is.True(ts.transfers["c"] != first && ts.transfers["c"].snapshot.Seq == ts.lastSeq)
	is.Equal(ts.transfers["c"].restarts, 1)
	is.Equal(ts.repairDelay("c", message), time.Duration(0))
	for ts.sendNext(is, d) {
	}
	is.Equal(d.seq, ts.lastSeq)
}

// Disks that are sent the content at the same time share one copy.
func TestDisksShareASnapshot(t *testing.T) {
	is := is.New(t)
	ts := newTransferShard(1, 100, 8<<10)
	ts.progress["b"] = &consensus.Progress{}
	claim := &Claim{SetStamp: 1}
	ts.nextMessage(claim, "b")
	ts.change("k0000", 64)
	ts.nextMessage(claim, "c")
	is.True(ts.transfers["b"].snapshotCopy == ts.transfers["c"].snapshotCopy)
}

// Entries that a disk lacks are sent in messages of a bounded size.
func TestAppendMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	ts, d := newTransferShard(1, 1, 10), &replicaDisk{}
	ts.sendNext(is, d)
	for range 50 {
		ts.change("k0000", 40<<10)
	}
	ts.change("k0000", 2*maxAppendBytes) // a larger one is sent alone
	messages := 0
	for {
		message := ts.nextMessage(&Claim{SetStamp: 1}, "c")
		if message == nil {
			break
		}
		size := 0
		for _, entry := range message.appendEntries.Entries {
			size += entry.memoryBytes()
		}
		is.True(size <= maxAppendBytes || len(message.appendEntries.Entries) == 1)
		messages++
		ts.recordReply(message, d.handle(is, message))
	}
	is.True(messages >= 3)
	is.Equal(d.seq, ts.lastSeq)
}

// The newest promise is the one with the highest epoch and sequence number. Disks
// that promised the same are all its holders, and the highest age counts.
func TestNewestPromiseWins(t *testing.T) {
	is := is.New(t)
	var p promiseSet
	for index, reply := range []*PromiseReply{{Installed: 2, Seq: 7, AgeMs: 5}, {Installed: 3, Seq: 4, AgeMs: 1}, {Installed: 3, Seq: 5, AgeMs: 2}, {Installed: 3, Seq: 5, AgeMs: 9}, {Installed: 1, Seq: 90}} {
		p.add(&DiskEntry{Id: fmt.Sprint(index)}, reply)
	}
	best, ageMs, holders := p.newest()
	is.Equal(fmt.Sprint(best.Installed, best.Seq, ageMs), "3 5 9")
	is.Equal(base.Map(holders, func(entry *DiskEntry) string { return entry.Id }), []string{"2", "3"})
}
