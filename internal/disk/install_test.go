package disk

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// largeContent returns content that is encoded in about this number of parts. It is
// the same for the same seed.
func largeContent(seed uint64, parts int) []*register.Put {
	random := rand.New(rand.NewPCG(seed, 2))
	var puts []*register.Put
	for i := range parts * 2 {
		value := make([]byte, register.PartBytes/2)
		for j := range value {
			value[j] = byte(random.Uint32())
		}
		puts = append(puts, &register.Put{Key: fmt.Sprintf("k%03d", i), Value: value})
	}
	return puts
}

// transfer is a snapshot that is sent to a disk in parts.
type transfer struct {
	*testDisk
	epoch    uint64
	leader   string
	snapshot *register.Snapshot
	data     []byte
}

func (d *testDisk) newTransfer(epoch, seq uint64, puts []*register.Put) *transfer {
	snapshot, data := register.EncodeSnapshot(seq, puts)
	return &transfer{testDisk: d, epoch: epoch, leader: "o", snapshot: snapshot, data: data}
}

// sendPart sends the part at an offset; at the end, it has no data and only returns
// the progress.
func (t *transfer) sendPart(offset uint64) *register.Ack {
	end := min(offset+register.PartBytes, t.snapshot.Size)
	ack, err := t.service.InstallPart(context.Background(), &register.InstallPartRequest{Claim: t.claim(t.epoch, t.leader),
		Snapshot: t.snapshot, Offset: offset, Data: t.data[offset:end]})
	t.is.NoErr(err)
	return ack
}

// probe returns the progress without sending data.
func (t *transfer) probe() *register.Ack { return t.sendPart(t.snapshot.Size) }

// sendRest sends all parts that the disk lacks and returns their number.
func (t *transfer) sendRest() (parts int) {
	for ack := t.probe(); ack.Staged < t.snapshot.Size; parts++ {
		ack = t.sendPart(ack.Staged)
		t.is.True(ack.Ok)
	}
	return parts
}

// reopenOn returns the disk as a new process opens it from files.
func (d *testDisk) reopenOn(files *memFiles) *testDisk {
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	d.is.NoErr(err)
	return &testDisk{is: d.is, files: files, store: store, service: NewService(store, d.service.timeout), set: d.set, id: d.id}
}

// A snapshot replaces the content only when all parts are there; repeated, delayed
// and out-of-order parts change nothing.
func TestContentIsInstalledOnlyWhenComplete(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	is.True(d.append(1, 1, "former", "value").Ok)
	is.True(d.promise(2, "o").Ack.Ok)
	transfer := d.newTransfer(2, 9, largeContent(1, 3))
	is.Equal(transfer.probe().Staged, uint64(0))
	is.Equal(transfer.sendPart(0).Staged, uint64(register.PartBytes))
	is.Equal(transfer.sendPart(0).Staged, uint64(register.PartBytes))                    // repeated
	is.Equal(transfer.sendPart(2*register.PartBytes).Staged, uint64(register.PartBytes)) // a gap
	is.Equal(d.append(2, 10, "k", "v").Why, "behind")                                    // not installed yet
	is.Equal(string(d.store.replicas[3].values["former"]), "value")
	is.Equal(d.store.replicas[3].Installed, uint64(1))
	is.True(transfer.sendRest() == 3) // the encoding is a little longer than three parts
	is.Equal(d.store.replicas[3].Installed, uint64(2))
	is.Equal(d.store.replicas[3].Seq, uint64(9))
	is.Equal(len(d.store.replicas[3].values), 6)
	is.True(d.store.replicas[3].staged == nil)
	is.Equal(transfer.sendPart(0).Staged, transfer.snapshot.Size) // a delayed copy of a part changes nothing
	is.True(d.append(2, 10, "k", "v").Ok)
	d.close()
}

// A transfer continues after restarts, from the log and from a checkpoint, and under
// another leader that sends the same content.
func TestStagedPartsSurviveRestartAndLeaderChange(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	transfer := d.newTransfer(1, 9, largeContent(1, 3))
	transfer.sendPart(0)
	d.close()
	transfer.testDisk = d.reopenOn(d.files) // restored from the log
	is.Equal(transfer.probe().Staged, uint64(register.PartBytes))
	transfer.sendPart(register.PartBytes)
	is.NoErr(transfer.store.writeCheckpoint()) // the next restart reads the checkpoint
	transfer.testDisk.close()
	transfer.testDisk = d.reopenOn(d.files)
	is.Equal(transfer.probe().Staged, uint64(2*register.PartBytes))
	is.True(transfer.promise(2, "p").Ack.Ok) // another leader that sends the same content continues
	is.Equal(transfer.probe().Why, "epoch")
	transfer.epoch, transfer.leader = 2, "p"
	is.Equal(transfer.probe().Staged, uint64(2*register.PartBytes))
	is.Equal(transfer.sendRest(), 2)
	is.Equal(transfer.store.replicas[3].Installed, uint64(2))
	transfer.testDisk.close()
}

// A newer snapshot of the same leader discards the staged parts of an older one.
func TestOtherContentReplacesStagedParts(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	older, newer := d.newTransfer(1, 9, largeContent(1, 2)), d.newTransfer(1, 12, largeContent(2, 2))
	older.sendPart(0)
	is.Equal(newer.probe().Staged, uint64(0))
	newer.sendPart(0)
	older.sendPart(0) // a delayed part of the abandoned transfer
	is.Equal(newer.probe().Staged, uint64(register.PartBytes))
	newer.sendRest()
	is.Equal(d.store.replicas[3].Seq, uint64(12))
	d.close()
}

// Content whose digest does not match is discarded, and the transfer can start again.
func TestCorruptContentIsDiscarded(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	transfer := d.newTransfer(1, 9, largeContent(1, 1))
	good := transfer.data
	transfer.data = bytes.Clone(good)
	transfer.data[100]++
	is.Equal(transfer.sendPart(0).Staged, uint64(register.PartBytes))
	ack := transfer.sendPart(register.PartBytes)
	is.True(!ack.Ok)
	is.Equal(ack.Why, "damaged")
	is.Equal(ack.Staged, uint64(0))
	is.Equal(d.store.replicas[3].Installed, uint64(0))
	transfer.data = good
	is.Equal(transfer.sendRest(), 2)
	is.Equal(d.store.replicas[3].Installed, uint64(1))
	d.close()
}

func TestInvalidPartsAreRejected(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	snapshot, data := register.EncodeSnapshot(9, largeContent(1, 1))
	for name, change := range map[string]func(request *register.InstallPartRequest){
		"no snapshot":    func(request *register.InstallPartRequest) { request.Snapshot = nil },
		"no claim":       func(request *register.InstallPartRequest) { request.Claim = nil },
		"past the end":   func(request *register.InstallPartRequest) { request.Offset = snapshot.Size },
		"wraps around":   func(request *register.InstallPartRequest) { request.Offset = 1<<64 - 8 },
		"part too large": func(request *register.InstallPartRequest) { request.Data = make([]byte, register.PartBytes+1) },
		"endless": func(request *register.InstallPartRequest) {
			request.Snapshot = &register.Snapshot{Size: 1 << 40, Digest: snapshot.Digest}
		},
		"no digest": func(request *register.InstallPartRequest) { request.Snapshot = &register.Snapshot{Size: snapshot.Size} },
	} {
		request := &register.InstallPartRequest{Claim: d.claim(1, "o"), Snapshot: snapshot, Data: data[:register.PartBytes]}
		change(request)
		_, err := d.service.InstallPart(context.Background(), request)
		is.True(err != nil) // name
		_ = name
	}
	is.True(d.store.replicas[3].staged == nil)
	d.close()
}

// A disk that already has the content of a snapshot takes it over under the new
// epoch without receiving any part.
func TestContentAlreadyOnDiskIsNotSent(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	puts := largeContent(1, 2)
	d.newTransfer(1, 9, puts).sendRest()
	is.True(d.promise(2, "p").Ack.Ok)
	transfer := d.newTransfer(2, 9, puts)
	transfer.leader = "p"
	is.Equal(transfer.sendRest(), 0)
	is.Equal(d.store.replicas[3].Installed, uint64(2))
	d.close()
	reopened := d.reopenOn(d.files)
	is.Equal(reopened.store.replicas[3].Installed, uint64(2))
	is.Equal(len(reopened.store.replicas[3].values), 4)
	is.True(reopened.promise(3, "p").Ack.Ok)
	otherContent := reopened.newTransfer(3, 9, largeContent(2, 2)) // the same sequence number, other content
	otherContent.leader = "p"
	is.True(otherContent.sendRest() > 2)
	reopened.close()
}

// After a power loss before any sync of a transfer, with any subset of the unsynced
// sectors persisted, the disk has the previous content or the complete new one, all
// acknowledged parts are staged, and the transfer can be completed.
func TestPowerLossDuringTransfer(t *testing.T) {
	is := is.New(t)
	const seed = 11
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	d := newTestDisk(is, newMemFiles())
	d.service.timeout = time.Minute // the simulated power losses delay the syncs
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	is.True(d.append(1, 1, "former", "value").Ok)
	is.True(d.promise(2, "o").Ack.Ok)
	d.setMinLogBytes(256 << 10)
	transfer := d.newTransfer(2, 9, largeContent(1, 6))
	var acked atomic.Uint64 // written here, read by the committer
	var complete atomic.Bool
	losses, tornTails, outcomes := 0, int64(0), map[string]int{}
	d.files.beforeSync = func(string) {
		for range 8 {
			losses++
			counters := base.NewCounters()
			files := d.files.afterPowerLoss(random)
			store, err := Open(base.NewRealClock(), files, counters)
			is.NoErr(err)
			r := store.replicas[3]
			switch {
			case r.Installed == 2:
				outcomes["new"]++
				is.Equal(fmt.Sprint(r.Seq, len(r.values)), "9 12")
			default:
				outcomes["former"]++
				is.True(!complete.Load())
				is.Equal(fmt.Sprintf("%d %d %s", r.Installed, r.Seq, r.values["former"]), "1 1 value")
				is.True(r.stagedBytes(transfer.snapshot) >= acked.Load())
			}
			tornTails += counters.Snapshot()["disk_tails_cut"]
			resumed := *transfer
			resumed.testDisk = &testDisk{is: is, files: files, store: store, service: NewService(store, d.service.timeout), set: d.set, id: d.id}
			resumed.sendRest()
			is.Equal(fmt.Sprint(r.Installed, r.Seq, len(store.replicas[3].values)), "2 9 12")
			store.Close()
		}
	}
	for offset := uint64(0); offset < transfer.snapshot.Size; {
		ack := transfer.sendPart(offset)
		is.True(ack.Ok)
		offset = ack.Staged
		acked.Store(ack.Staged)
		complete.Store(offset == transfer.snapshot.Size)
	}
	d.close()
	t.Logf("%d power losses, %d torn tails truncated, outcomes %v, %d checkpoints", losses, tornTails, outcomes, d.store.counters.Snapshot()["disk_frames"])
	// The number of checkpoints depends on the disk's random id; it is at least one.
	is.True(tornTails > 0 && d.store.counters.Snapshot()["disk_frames"] >= 1)
}

// A log may repeat parts that its checkpoint covers. Replaying them changes nothing.
func TestReplayedPartsChangeNothing(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	var log [][]byte
	logEntry := func(kind byte, message proto.Message) {
		payload, err := proto.Marshal(message)
		is.NoErr(err)
		log = append(log, encodeEntry(kind, payload))
		is.NoErr(d.store.applyEntry(kind, payload))
	}
	logPart := func(from *transfer, offset uint64) {
		logEntry(kindInstallPart, &register.InstallPartRequest{Claim: d.claim(from.epoch, from.leader), Snapshot: from.snapshot, Offset: offset,
			Data: from.data[offset:min(offset+register.PartBytes, from.snapshot.Size)]})
	}
	superseded, first := d.newTransfer(1, 4, largeContent(1, 2)), d.newTransfer(1, 7, largeContent(2, 1))
	stale, second := d.newTransfer(2, 8, largeContent(4, 2)), d.newTransfer(2, 9, largeContent(3, 4))
	logPart(superseded, 0)
	logPart(first, 0)
	logPart(first, register.PartBytes)
	logEntry(kindPromise, d.claim(2, "o"))
	logPart(stale, 0)
	logPart(second, 0)
	logPart(second, register.PartBytes)
	logPart(second, 3*register.PartBytes) // a gap
	for last := range log {
		for _, entry := range log[:last+1] {
			is.NoErr(d.store.applyBatch(entry))
		}
		r := d.store.replicas[3]
		is.Equal(fmt.Sprintf("%d %d %d %d", r.Promised, r.Installed, r.Seq, r.stagedBytes(second.snapshot)), fmt.Sprintf("2 1 7 %d", 2*register.PartBytes))
	}
	d.close()
}

// Content is read in parts only under a promised epoch, and does not change between
// the parts.
func TestReadRequiresPromise(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(!d.promise(1, "o").Apart)
	d.newTransfer(1, 9, largeContent(1, 2)).sendRest()
	read := func(epoch, installed, seq, offset uint64) *register.ReadReply {
		reply, err := d.service.Read(context.Background(), &register.ReadRequest{Claim: d.claim(epoch, "p"), Installed: installed, Seq: seq, Offset: offset})
		is.NoErr(err)
		return reply
	}
	is.Equal(read(2, 1, 9, 0).Ack.Why, "moved") // not promised, so it could still change
	promise := d.promise(2, "p")
	is.True(promise.Ack.Ok && promise.Apart)
	is.Equal(len(promise.Puts), 0)
	var data []byte
	for {
		reply := read(2, promise.Installed, promise.Seq, uint64(len(data)))
		is.True(reply.Ack.Ok)
		is.True(len(reply.Data) <= register.PartBytes)
		is.Equal(d.append(1, 10, "k", "v").Why, "epoch") // no other leader can change it meanwhile
		if data = append(data, reply.Data...); uint64(len(data)) == reply.Snapshot.Size {
			puts, valid := reply.Snapshot.Decode(data)
			is.True(valid)
			is.Equal(len(puts), 4)
			break
		}
	}
	is.Equal(len(read(2, 1, 9, 1<<40).Data), 0)
	is.Equal(read(2, 1, 8, 0).Ack.Why, "moved")
	is.True(d.promise(3, "q").Ack.Ok)
	is.Equal(read(2, 1, 9, 0).Ack.Why, "epoch")
	d.close()
}
