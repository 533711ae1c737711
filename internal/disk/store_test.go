// What a disk keeps through losses of power at any byte, through turns of
// its slots, and what it refuses.
package disk

import (
	"context"
	"fmt"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// memory is a disk that syncs at once and can be cut anywhere.
type memory struct {
	files map[string][]byte
	limit int64
	fail  error
	stall base.Signal
}

func newMemory() *memory { return &memory{files: map[string][]byte{}, limit: 1 << 30} }

func (m *memory) Read(name string) ([]byte, error) { return append([]byte(nil), m.files[name]...), nil }
func (m *memory) Append(name string, data []byte) error {
	m.files[name] = append(m.files[name], data...)
	return m.fail
}
func (m *memory) Replace(name string, data []byte) error {
	m.files[name] = append([]byte(nil), data...)
	return m.fail
}
func (m *memory) Sync(string) error {
	if m.stall != nil {
		m.stall.Wait(-1)
	}
	return m.fail
}
func (m *memory) Free() int64 {
	left := m.limit
	for _, data := range m.files {
		left -= int64(len(data))
	}
	return left
}

func (m *memory) copy() *memory {
	copied := newMemory()
	for name, data := range m.files {
		copied.files[name] = append([]byte(nil), data...)
	}
	return copied
}

type bench struct {
	is      *is.I
	files   *memory
	store   *Store
	service *Service
	set     *register.DiskSet
	id      string
}

func openBench(is *is.I, files *memory) *bench {
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	is.NoErr(err)
	b := &bench{is: is, files: files, store: store, service: NewService(store, 5*time.Second)}
	state, err := b.service.Format(context.Background(), &register.FormatRequest{})
	is.NoErr(err)
	b.id = state.Id
	b.set = &register.DiskSet{Stamp: 1, Cluster: "c", Disks: []*register.DiskEntry{{Id: b.id, Addr: "a"}}}
	ack, err := b.service.Adopt(context.Background(), &register.AdoptRequest{Set: b.set})
	is.NoErr(err)
	is.True(ack.Ok)
	return b
}

func (b *bench) claim(epoch uint64, owner string) *register.Claim {
	return &register.Claim{Slot: 3, Epoch: epoch, Owner: owner, SetStamp: 1, Disk: b.id}
}

func (b *bench) put(epoch, seq uint64, key, value string) *register.Ack {
	ack, err := b.service.Append(context.Background(), &register.AppendRequest{Claim: b.claim(epoch, "o"),
		Entries: []*register.Entry{{Seq: seq, Puts: []*register.Put{{Key: key, Value: []byte(value)}}}}})
	b.is.NoErr(err)
	return ack
}

func (b *bench) take(epoch uint64, owner string) *register.PromiseReply {
	reply, err := b.service.Promise(context.Background(), &register.PromiseRequest{Claim: b.claim(epoch, owner)})
	b.is.NoErr(err)
	return reply
}

func (b *bench) install(epoch, seq uint64) *register.Ack {
	ack, err := b.service.Install(context.Background(), &register.InstallRequest{Claim: b.claim(epoch, "o"), Seq: seq})
	b.is.NoErr(err)
	return ack
}

func TestDiskKeepsItsWordToEpochs(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(5, "o").Ack.Ok)
	is.Equal(b.take(4, "p").Ack.Why, "epoch")
	is.Equal(b.take(5, "p").Ack.Why, "epoch") // one owner an epoch
	is.Equal(b.put(5, 1, "k", "v").Why, "behind")
	is.True(b.install(5, 0).Ok)
	is.True(b.put(5, 1, "k", "v").Ok)
	is.Equal(b.put(5, 3, "k", "w").Why, "behind") // a gap
	is.True(b.put(5, 1, "k", "v").Ok)             // asked again
	is.True(b.take(6, "p").Ack.Ok)
	is.Equal(b.put(5, 2, "k", "w").Why, "epoch") // fenced
	confirm, err := b.service.Confirm(context.Background(), &register.ConfirmRequest{Claim: b.claim(5, "o")})
	is.NoErr(err)
	is.Equal(confirm.Why, "epoch")
	stale := b.claim(9, "o")
	stale.SetStamp = 0
	reply, err := b.service.Promise(context.Background(), &register.PromiseRequest{Claim: stale})
	is.NoErr(err)
	is.Equal(reply.Ack.Why, "set")
	other := b.claim(9, "o")
	other.Disk = "another"
	reply, err = b.service.Promise(context.Background(), &register.PromiseRequest{Claim: other})
	is.NoErr(err)
	is.Equal(reply.Ack.Why, "blank") // asked under another disk's id
}

// Power may go at any byte of the log: what was answered before is there.
func TestPowerLossAtEveryByte(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	lengths := []int{len(b.files.files["log-0"])}
	for seq := uint64(1); seq <= 5; seq++ {
		is.True(b.put(1, seq, fmt.Sprint("k", seq), "v").Ok)
		lengths = append(lengths, len(b.files.files["log-0"]))
	}
	b.store.Close()
	for cut := lengths[0]; cut <= lengths[5]; cut++ {
		files := b.files.copy()
		files.files["log-0"] = files.files["log-0"][:cut]
		store, err := Open(base.NewRealClock(), files, base.NewCounters())
		is.NoErr(err)
		answered := 0
		for place, length := range lengths {
			if length <= cut {
				answered = place
			}
		}
		is.Equal(store.replicas[3].seq, uint64(answered))
		is.Equal(len(store.replicas[3].values), answered)
		store.Close()
	}
}

// A record that is whole but wrong was answered: the disk must not vote.
func TestBitFlipsAreNotTakenForTornTails(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	for seq := uint64(1); seq <= 3; seq++ {
		is.True(b.put(1, seq, fmt.Sprint("k", seq), "value").Ok)
	}
	b.store.Close()
	whole := len(b.files.files["log-0"])
	for place := 0; place < whole; place += 7 {
		files := b.files.copy()
		files.files["log-0"][place] ^= 0x04
		_, err := Open(base.NewRealClock(), files, base.NewCounters())
		is.True(err != nil) // a flip anywhere is seen
		is.Equal(errors.Cause(err), errDamaged)
	}
}

func TestSlotsTurnAndFallBack(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	big := string(make([]byte, 100<<10))
	seq := uint64(0)
	for b.store.counters.Frame()["disk_frames"] < 3 {
		seq++
		is.True(b.put(1, seq, fmt.Sprint("k", seq%4), big).Ok)
		is.True(seq < 500)
	}
	for range 3 {
		seq++
		is.True(b.put(1, seq, "last", fmt.Sprint(seq)).Ok)
	}
	b.store.Close()
	is.True(len(b.files.files["log-0"])+len(b.files.files["log-1"]) < 8<<20) // the log stays short
	reopened := func(files *memory) *Store {
		store, err := Open(base.NewRealClock(), files, base.NewCounters())
		is.NoErr(err)
		is.Equal(store.replicas[3].seq, seq)
		is.Equal(string(store.replicas[3].values["last"]), fmt.Sprint(seq))
		is.Equal(store.id, b.id)
		store.Close()
		return store
	}
	generation := reopened(b.files.copy()).generation
	for _, harm := range []func([]byte) []byte{
		func(slot []byte) []byte { return slot[:len(slot)/2] },
		func(slot []byte) []byte { slot[len(slot)/2] ^= 1; return slot },
	} {
		files := b.files.copy()
		files.files[slotName(generation)] = harm(files.files[slotName(generation)])
		reopened(files) // from the former slot and both logs
		reopened(files) // and again, after the repair
	}
}

func TestFullAndStalledDisksRefuseInTime(t *testing.T) {
	is := is.New(t)
	files := newMemory()
	b := openBench(is, files)
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	files.limit = 200 << 10
	value, seq := string(make([]byte, 20<<10)), uint64(1)
	for ; b.put(1, seq, fmt.Sprint("k", seq), value).Ok; seq++ {
		is.True(seq < 20)
	}
	is.Equal(b.put(1, seq, "k", value).Why, "full")
	ack, err := b.service.Append(context.Background(), &register.AppendRequest{Claim: b.claim(1, "o"),
		Entries: []*register.Entry{{Seq: seq, Puts: []*register.Put{{Key: "k1", Gone: true}}}}})
	is.NoErr(err)
	is.True(ack.Ok)                // space is kept back for freeing
	is.True(b.take(2, "p").Ack.Ok) // and for handing over
	files.limit = 1 << 30
	files.stall = base.NewRealClock().NewSignal()
	defer files.stall.Fire()
	b.service.limit = time.Millisecond
	is.Equal(b.take(3, "q").Ack.Why, "stalled")
}

func TestAFailedWriteEndsTheVote(t *testing.T) {
	is := is.New(t)
	files := newMemory()
	b := openBench(is, files)
	files.fail = errors.New("input/output error")
	is.Equal(b.take(1, "o").Ack.Why, "broken")
	files.fail = nil
	is.Equal(b.take(2, "o").Ack.Why, "broken") // what memory holds may not be on the disk
	is.True(b.store.Ready() != nil)
}
