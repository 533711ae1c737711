// Content that comes and goes in parts: it counts only once it is whole, goes on
// after restarts, losses of power and changes of the owner, and cannot change
// while it is read.

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

// largeContent is content of some parts, the same for the same seed.
func largeContent(seed uint64, parts int) []*register.Put {
	chance := rand.New(rand.NewPCG(seed, 2))
	var puts []*register.Put
	for place := range parts * 2 {
		value := make([]byte, register.PartBytes/2)
		for at := range value {
			value[at] = byte(chance.Uint32())
		}
		puts = append(puts, &register.Put{Key: fmt.Sprintf("k%03d", place), Value: value})
	}
	return puts
}

// sending is one content on its way to a bench's disk.
type sending struct {
	*bench
	epoch    uint64
	owner    string
	snapshot *register.Snapshot
	data     []byte
}

func (b *bench) sending(epoch, seq uint64, puts []*register.Put) *sending {
	snapshot, data := register.EncodeSnapshot(seq, puts)
	return &sending{bench: b, epoch: epoch, owner: "o", snapshot: snapshot, data: data}
}

// part sends what stands at a place; from a place at the end it only asks.
func (x *sending) part(offset uint64) *register.Ack {
	end := min(offset+register.PartBytes, x.snapshot.Size)
	ack, err := x.service.InstallPart(context.Background(), &register.InstallPartRequest{Claim: x.claim(x.epoch, x.owner),
		Snapshot: x.snapshot, Offset: offset, Data: x.data[offset:end]})
	x.is.NoErr(err)
	return ack
}

func (x *sending) asked() *register.Ack { return x.part(x.snapshot.Size) }

// rest sends all that the disk says it lacks.
func (x *sending) rest() (parts int) {
	for ack := x.asked(); ack.Staged < x.snapshot.Size; parts++ {
		ack = x.part(ack.Staged)
		x.is.True(ack.Ok)
	}
	return parts
}

// reopened is the bench's disk in another life of its process.
func (b *bench) reopened(files *memory) *bench {
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	b.is.NoErr(err)
	return &bench{is: b.is, files: files, store: store, service: NewService(store, b.service.limit), set: b.set, id: b.id}
}

func TestContentCountsOnceItIsWhole(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	is.True(b.put(1, 1, "former", "value").Ok)
	is.True(b.take(2, "o").Ack.Ok)
	x := b.sending(2, 9, largeContent(1, 3))
	is.Equal(x.asked().Staged, uint64(0))
	is.Equal(x.part(0).Staged, uint64(register.PartBytes))
	is.Equal(x.part(0).Staged, uint64(register.PartBytes))                    // asked again
	is.Equal(x.part(2*register.PartBytes).Staged, uint64(register.PartBytes)) // a gap
	is.Equal(b.put(2, 10, "k", "v").Why, "behind")                            // not installed yet
	is.Equal(string(b.store.replicas[3].values["former"]), "value")
	is.Equal(b.store.replicas[3].Installed, uint64(1))
	is.True(x.rest() == 3) // the encoding is a little longer than three parts
	is.Equal(b.store.replicas[3].Installed, uint64(2))
	is.Equal(b.store.replicas[3].Seq, uint64(9))
	is.Equal(len(b.store.replicas[3].values), 6)
	is.True(b.store.replicas[3].staged == nil)
	is.Equal(x.part(0).Staged, x.snapshot.Size) // a late copy of a part changes nothing
	is.True(b.put(2, 10, "k", "v").Ok)
	b.finish()
}

func TestStagedPartsOutliveTheProcessAndTheOwner(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	x := b.sending(1, 9, largeContent(1, 3))
	x.part(0)
	b.finish()
	x.bench = b.reopened(b.files) // from the log
	is.Equal(x.asked().Staged, uint64(register.PartBytes))
	x.part(register.PartBytes)
	is.NoErr(x.store.turn()) // from the slot
	x.bench.finish()
	x.bench = b.reopened(b.files)
	is.Equal(x.asked().Staged, uint64(2*register.PartBytes))
	is.True(x.take(2, "p").Ack.Ok) // another owner with the same content goes on
	is.Equal(x.asked().Why, "epoch")
	x.epoch, x.owner = 2, "p"
	is.Equal(x.asked().Staged, uint64(2*register.PartBytes))
	is.Equal(x.rest(), 2)
	is.Equal(x.store.replicas[3].Installed, uint64(2))
	x.bench.finish()
}

func TestAnotherContentIsStagedAnew(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	older, newer := b.sending(1, 9, largeContent(1, 2)), b.sending(1, 12, largeContent(2, 2))
	older.part(0)
	is.Equal(newer.asked().Staged, uint64(0))
	newer.part(0)
	older.part(0) // a late copy of the one that was given up
	is.Equal(newer.asked().Staged, uint64(register.PartBytes))
	newer.rest()
	is.Equal(b.store.replicas[3].Seq, uint64(12))
	b.finish()
}

func TestDamagedContentIsDiscardedWhole(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	x := b.sending(1, 9, largeContent(1, 1))
	good := x.data
	x.data = bytes.Clone(good)
	x.data[100]++
	is.Equal(x.part(0).Staged, uint64(register.PartBytes))
	ack := x.part(register.PartBytes)
	is.True(!ack.Ok)
	is.Equal(ack.Why, "damaged")
	is.Equal(ack.Staged, uint64(0))
	is.Equal(b.store.replicas[3].Installed, uint64(0))
	x.data = good
	is.Equal(x.rest(), 2)
	is.Equal(b.store.replicas[3].Installed, uint64(1))
	b.finish()
}

func TestPartsOutsideTheirSnapshotAreRefused(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	snapshot, data := register.EncodeSnapshot(9, largeContent(1, 1))
	for name, change := range map[string]func(x *register.InstallPartRequest){
		"no snapshot":  func(x *register.InstallPartRequest) { x.Snapshot = nil },
		"no claim":     func(x *register.InstallPartRequest) { x.Claim = nil },
		"past the end": func(x *register.InstallPartRequest) { x.Offset = snapshot.Size },
		"wraps around": func(x *register.InstallPartRequest) { x.Offset = 1<<64 - 8 },
		"too large":    func(x *register.InstallPartRequest) { x.Data = make([]byte, register.PartBytes+1) },
		"endless": func(x *register.InstallPartRequest) {
			x.Snapshot = &register.Snapshot{Size: 1 << 40, Digest: snapshot.Digest}
		},
		"without digest": func(x *register.InstallPartRequest) { x.Snapshot = &register.Snapshot{Size: snapshot.Size} },
	} {
		x := &register.InstallPartRequest{Claim: b.claim(1, "o"), Snapshot: snapshot, Data: data[:register.PartBytes]}
		change(x)
		_, err := b.service.InstallPart(context.Background(), x)
		is.True(err != nil) // name
		_ = name
	}
	is.True(b.store.replicas[3].staged == nil)
	b.finish()
}

// A disk that holds the very content takes it over under the new epoch.
func TestContentThatIsThereIsNotSent(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	puts := largeContent(1, 2)
	b.sending(1, 9, puts).rest()
	is.True(b.take(2, "p").Ack.Ok)
	x := b.sending(2, 9, puts)
	x.owner = "p"
	is.Equal(x.rest(), 0)
	is.Equal(b.store.replicas[3].Installed, uint64(2))
	b.finish()
	again := b.reopened(b.files)
	is.Equal(again.store.replicas[3].Installed, uint64(2))
	is.Equal(len(again.store.replicas[3].values), 4)
	is.True(again.take(3, "p").Ack.Ok)
	other := again.sending(3, 9, largeContent(2, 2)) // the same number, another content
	other.owner = "p"
	is.True(other.rest() > 2)
	again.finish()
}

// Power goes at any moment of a transfer and keeps any sectors of what was not
// synced: the former content or the whole new one is there, what was answered is
// staged, and the transfer goes on to its end.
func TestPowerLossDuringATransfer(t *testing.T) {
	is := is.New(t)
	const seed = 11
	t.Logf("seed %d", seed)
	chance := rand.New(rand.NewPCG(seed, 1))
	b := openBench(is, newMemory())
	b.service.limit = time.Minute // the losses that are tried take their time
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	is.True(b.put(1, 1, "former", "value").Ok)
	is.True(b.take(2, "o").Ack.Ok)
	b.shorten(256 << 10)
	x := b.sending(2, 9, largeContent(1, 6))
	var answered atomic.Uint64 // written here, read by the committer
	var whole atomic.Bool
	tries, cut, ends := 0, int64(0), map[string]int{}
	b.files.before = func(string) {
		for range 8 {
			tries++
			counters := base.NewCounters()
			lost := b.files.powerLost(chance)
			store, err := Open(base.NewRealClock(), lost, counters)
			is.NoErr(err)
			held := store.replicas[3]
			switch {
			case held.Installed == 2:
				ends["whole"]++
				is.Equal(fmt.Sprint(held.Seq, len(held.values)), "9 12")
			default:
				ends["former"]++
				is.True(!whole.Load())
				is.Equal(fmt.Sprintf("%d %d %s", held.Installed, held.Seq, held.values["former"]), "1 1 value")
				is.True(held.stagedOf(x.snapshot) >= answered.Load())
			}
			cut += counters.Snapshot()["disk_tails_cut"]
			other := *x
			other.bench = &bench{is: is, files: lost, store: store, service: NewService(store, b.service.limit), set: b.set, id: b.id}
			other.rest()
			is.Equal(fmt.Sprint(held.Installed, held.Seq, len(store.replicas[3].values)), "2 9 12")
			store.Close()
		}
	}
	for offset := uint64(0); offset < x.snapshot.Size; {
		ack := x.part(offset)
		is.True(ack.Ok)
		offset = ack.Staged
		answered.Store(ack.Staged)
		whole.Store(offset == x.snapshot.Size)
	}
	b.finish()
	t.Logf("%d losses of power, %d torn tails cut, ends %v, %d turns", tries, cut, ends, b.store.counters.Snapshot()["disk_frames"])
	// how often slots turn depends on the disk's random id: once at the least
	is.True(cut > 0 && b.store.counters.Snapshot()["disk_frames"] >= 1)
}

// A log may hold parts again that its slot covers.
func TestPartsThatAreThereAlreadyChangeNothing(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	var again [][]byte
	tell := func(kind byte, message proto.Message) {
		payload, err := proto.Marshal(message)
		is.NoErr(err)
		again = append(again, entryOf(kind, payload))
		is.NoErr(b.store.apply(kind, payload))
	}
	part := func(x *sending, offset uint64) {
		tell(kindPart, &register.InstallPartRequest{Claim: b.claim(x.epoch, x.owner), Snapshot: x.snapshot, Offset: offset,
			Data: x.data[offset:min(offset+register.PartBytes, x.snapshot.Size)]})
	}
	outgrown, first := b.sending(1, 4, largeContent(1, 2)), b.sending(1, 7, largeContent(2, 1))
	stale, second := b.sending(2, 8, largeContent(4, 2)), b.sending(2, 9, largeContent(3, 4))
	part(outgrown, 0)
	part(first, 0)
	part(first, register.PartBytes)
	tell(kindPromise, b.claim(2, "o"))
	part(stale, 0)
	part(second, 0)
	part(second, register.PartBytes)
	part(second, 3*register.PartBytes) // a gap
	for upto := range again {
		for _, entry := range again[:upto+1] {
			is.NoErr(b.store.applyBatch(entry))
		}
		held := b.store.replicas[3]
		is.Equal(fmt.Sprintf("%d %d %d %d", held.Promised, held.Installed, held.Seq, held.stagedOf(second.snapshot)), fmt.Sprintf("2 1 7 %d", 2*register.PartBytes))
	}
	b.finish()
}

// Content is read in parts under the epoch that was promised, and never changes
// between them.
func TestContentIsReadUnderItsPromise(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(!b.take(1, "o").Apart)
	b.sending(1, 9, largeContent(1, 2)).rest()
	read := func(epoch, installed, seq, offset uint64) *register.ReadReply {
		reply, err := b.service.Read(context.Background(), &register.ReadRequest{Claim: b.claim(epoch, "p"), Installed: installed, Seq: seq, Offset: offset})
		is.NoErr(err)
		return reply
	}
	is.Equal(read(2, 1, 9, 0).Ack.Why, "moved") // not promised, so it could still change
	promise := b.take(2, "p")
	is.True(promise.Ack.Ok && promise.Apart)
	is.Equal(len(promise.Puts), 0)
	var data []byte
	for {
		reply := read(2, promise.Installed, promise.Seq, uint64(len(data)))
		is.True(reply.Ack.Ok)
		is.True(len(reply.Data) <= register.PartBytes)
		is.Equal(b.put(1, 10, "k", "v").Why, "epoch") // nobody changes it meanwhile
		if data = append(data, reply.Data...); uint64(len(data)) == reply.Snapshot.Size {
			puts, whole := reply.Snapshot.Decode(data)
			is.True(whole)
			is.Equal(len(puts), 4)
			break
		}
	}
	is.Equal(len(read(2, 1, 9, 1<<40).Data), 0)
	is.Equal(read(2, 1, 8, 0).Ack.Why, "moved")
	is.True(b.take(3, "q").Ack.Ok)
	is.Equal(read(2, 1, 9, 0).Ack.Why, "epoch")
	b.finish()
}
