// What a disk keeps through losses of power at any moment, through rot, turns
// of its slots and want of room, and what it refuses.
package disk

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// memory is a disk that syncs at once, unless told otherwise, and whose
// power can be lost in the middle of anything.
type memory struct {
	mu     sync.Mutex
	files  map[string][]byte
	synced map[string][]byte
	limit  int64
	fail   error
	stall  base.Signal
	// before runs ahead of each sync, while what it will cover may be lost.
	before func(name string)
}

func newMemory() *memory {
	return &memory{files: map[string][]byte{}, synced: map[string][]byte{}, limit: 1 << 30}
}

func (m *memory) Read(name string) ([]byte, error) { return slices.Clone(m.files[name]), nil }
func (m *memory) Append(name string, data []byte) error {
	room := m.FreeBytes()
	m.mu.Lock()
	defer m.mu.Unlock()
	if room < int64(len(data)) {
		m.files[name] = append(slices.Clone(m.files[name]), data[:max(0, room)]...)
		return ErrFull
	}
	m.files[name] = append(slices.Clone(m.files[name]), data...)
	return m.fail
}
func (m *memory) Replace(name string, data []byte) error {
	_ = m.Truncate(name, 0)
	return m.Append(name, data)
}
func (m *memory) Truncate(name string, size int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name] = slices.Clone(m.files[name][:min(size, len(m.files[name]))])
	return m.fail
}
func (m *memory) Sync(name string) error {
	if m.stall != nil {
		m.stall.Wait(-1)
	}
	if m.before != nil {
		m.before(name)
	}
	if m.fail == nil {
		m.synced[name] = slices.Clone(m.files[name])
	}
	return m.fail
}
func (m *memory) FreeBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := m.limit
	for _, data := range m.files {
		left -= int64(len(data))
	}
	return left
}

func (m *memory) copy() *memory {
	copied := newMemory()
	for name, data := range m.files {
		copied.files[name] = slices.Clone(data)
		copied.synced[name] = slices.Clone(data)
	}
	return copied
}

// powerLost is a disk after power went: of what was not synced any sectors
// are kept, and the length is the old one, the new one or between.
func (m *memory) powerLost(chance *rand.Rand) *memory {
	lost := newMemory()
	for _, name := range base.SortedKeys(m.files) {
		was, now := m.synced[name], m.files[name]
		size := []int{len(was), len(now), min(len(was), len(now)) + chance.IntN(max(len(was), len(now))-min(len(was), len(now))+1)}[chance.IntN(3)]
		kept, share := make([]byte, size), chance.Float64()
		copy(kept, was)
		for place := 0; place < min(size, len(now)); place += 512 {
			if chance.Float64() < share {
				clear(kept[place:min(size, place+512)])
				copy(kept[place:min(size, place+512)], now[place:min(len(now), place+512)])
			}
		}
		lost.files[name], lost.synced[name] = kept, slices.Clone(kept)
	}
	return lost
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
	b.join()
	return b
}

// finish waits until the committer is done with what it was given.
func (b *bench) finish() {
	b.store.Close()
	b.store.ended.Wait(-1)
}

// shorten has the slots turn after less.
func (b *bench) shorten(floor int) {
	b.store.mu.Lock()
	b.store.floor = floor
	b.store.mu.Unlock()
}

// join formats the disk and makes it the one of its set.
func (b *bench) join() {
	is := b.is
	state, err := b.service.Format(context.Background(), &register.FormatRequest{})
	is.NoErr(err)
	b.id = state.Id
	b.set = &register.DiskSet{Stamp: 1, Cluster: "c", Disks: []*register.DiskEntry{{Id: b.id, Addr: "a"}}}
	ack, err := b.service.Adopt(context.Background(), &register.AdoptRequest{Set: b.set})
	is.NoErr(err)
	is.True(ack.Ok)
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

// Power goes at any moment, turns of the slots included, and keeps any
// sectors of what was not synced: what was answered is there, the disk opens,
// and what it holds is a whole state that was once in force.
func TestPowerLossKeepsAnySectors(t *testing.T) {
	is := is.New(t)
	const seed = 7
	t.Logf("seed %d", seed)
	chance := rand.New(rand.NewPCG(seed, 1))
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	b.shorten(64 << 10)
	var answered, asked atomic.Uint64
	tries, cut := 0, int64(0)
	b.files.before = func(string) {
		for range 5 {
			tries++
			lost := b.files.powerLost(chance)
			counters := base.NewCounters()
			store, err := Open(base.NewRealClock(), lost, counters)
			is.NoErr(err) // a torn tail mends itself
			held := store.replicas[3]
			is.True(held.Seq >= answered.Load() && held.Seq <= asked.Load())
			for seq := held.Seq; seq > 0 && seq+4 > held.Seq; seq-- {
				is.Equal(len(held.values[fmt.Sprint("k", seq%4)]), 2000+int(seq))
			}
			cut += counters.Snapshot()["disk_tails_cut"]
			store.Close()
		}
	}
	for seq := uint64(1); seq <= 100; seq++ {
		asked.Store(seq)
		is.True(b.put(1, seq, fmt.Sprint("k", seq%4), string(make([]byte, 2000+int(seq)))).Ok)
		answered.Store(seq)
	}
	b.finish()
	frames := b.store.counters.Snapshot()["disk_frames"]
	t.Logf("%d losses of power, %d torn tails cut, %d turns of the slots", tries, cut, frames)
	is.True(cut > 100 && frames >= 2)
}

// A log may hold again what its slot covers; no part of that may undo what
// came after it.
func TestWhatIsInForceAlreadyChangesNothing(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	again := [][]byte{}
	tell := func(kind byte, message proto.Message) {
		payload, err := proto.Marshal(message)
		is.NoErr(err)
		again = append(again, entryOf(kind, payload))
		is.NoErr(b.store.apply(kind, payload))
	}
	put := func(epoch, seq uint64, key, value string) {
		tell(kindAppend, &register.AppendRequest{Claim: b.claim(epoch, "o"), Entries: []*register.Entry{{Seq: seq, Puts: []*register.Put{{Key: key, Value: []byte(value)}}}}})
	}
	tell(kindInstall, &register.InstallRequest{Claim: b.claim(1, "o"), Seq: 4})
	put(1, 5, "k", "old")
	put(1, 6, "k", "new")
	tell(kindPromise, b.claim(2, "p"))
	tell(kindInstall, &register.InstallRequest{Claim: b.claim(2, "p"), Seq: 6, Puts: []*register.Put{{Key: "k", Value: []byte("new")}}})
	put(2, 7, "k", "newer")
	put(2, 8, "k", "newest")
	for upto := range again {
		for _, entry := range again[:upto+1] {
			is.NoErr(b.store.applyBatch(entry))
		}
		held := b.store.replicas[3]
		is.Equal(fmt.Sprintf("%d %s %d %d %s", held.Promised, held.Leader, held.Installed, held.Seq, held.values["k"]), "2 p 2 8 newest")
	}
	b.finish()
}

// Rot of any one sector, of any file: what was answered is there, or the disk
// refuses by name. It is never taken for a torn tail.
func TestRotIsNeverTakenForATornTail(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	b.shorten(64 << 10)
	seq := uint64(0)
	for ; b.store.counters.Snapshot()["disk_frames"] < 2 || seq%5 != 0; seq++ {
		is.True(b.put(1, seq+1, fmt.Sprint("k", seq%50), string(make([]byte, 3000))).Ok)
	}
	for range 5 {
		seq++
		is.True(b.put(1, seq, "last", fmt.Sprint(seq)).Ok)
	}
	b.finish()
	opened, refused := 0, 0
	for _, name := range ownFiles {
		for place := 0; place < len(b.files.files[name]); place += sector {
			if place > 40*sector && place+40*sector < len(b.files.files[name]) && place/sector%7 != 0 {
				continue
			}
			for _, harm := range []func(part []byte){func(part []byte) { clear(part) }, func(part []byte) { part[len(part)/2] ^= 4 }, func(part []byte) { part[0] ^= 4 }} {
				files := b.files.copy()
				harm(files.files[name][place:min(len(files.files[name]), place+sector)])
				store, err := Open(base.NewRealClock(), files, base.NewCounters())
				if err != nil {
					refused++
					is.True(errors.Cause(err) == errDamaged || foreign(err))
					continue
				}
				opened++
				is.Equal(store.replicas[3].Seq, seq)
				is.Equal(string(store.replicas[3].values["last"]), fmt.Sprint(seq))
				store.Close()
			}
		}
	}
	t.Logf("%d sectors rotten: %d times whole, %d refused", opened+refused, opened, refused)
	is.True(opened > refused*10)
	// Where a later batch follows, a lost one was answered: both copies gone.
	files := b.files.copy()
	log := files.files[logName(b.store.generation)]
	_, size, err := open(log)
	is.NoErr(err)
	clear(log[:aligned(size)+size])
	_, err = Open(base.NewRealClock(), files, base.NewCounters())
	is.Equal(errors.Cause(err), errDamaged)
}

// Files of another program, another format or another disk's past are named
// and left as they are.
func TestForeignFilesAreNamedAndLeft(t *testing.T) {
	for name, row := range map[string]struct {
		content []byte
		word    string
	}{
		"slot-0": {[]byte("SQLite format 3"), "not a file of fordseam's"},
		"log-0":  {[]byte("2026-01-01 12:00 an application's own log\n"), "not a file of fordseam's"},
		"slot-1": {func() []byte {
			later := seal(5, 9, 0, []byte("later"))
			later[3] = 3
			binary.LittleEndian.PutUint32(later[32:], crc32.Checksum(later[:32], crcTable))
			return later
		}(), "format version 3 is not known"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := newMemory()
			files.files[name] = row.content
			_, err := Open(base.NewRealClock(), files, base.NewCounters())
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), name) && strings.Contains(err.Error(), row.word))
			is.Equal(files.files[name], row.content)
		})
	}
	is := is.New(t)
	path := t.TempDir()
	is.NoErr(os.WriteFile(path+"/payroll.db", []byte("x"), 0o600))
	_, err := OpenFolder(path, 0)
	is.True(err != nil && strings.Contains(err.Error(), "payroll.db"))
}

func TestSlotsTurnAndFallBack(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	b.shorten(1 << 20)
	big := string(make([]byte, 100<<10))
	seq := uint64(0)
	for b.store.counters.Snapshot()["disk_frames"] < 3 {
		seq++
		is.True(b.put(1, seq, fmt.Sprint("k", seq%4), big).Ok)
		is.True(seq < 500)
	}
	for range 3 {
		seq++
		is.True(b.put(1, seq, "last", fmt.Sprint(seq)).Ok)
	}
	b.finish()
	is.True(len(b.files.files["log-0"])+len(b.files.files["log-1"]) < 16<<20) // the log stays short
	reopened := func(files *memory) *Store {
		store, err := Open(base.NewRealClock(), files, base.NewCounters())
		is.NoErr(err)
		is.Equal(store.replicas[3].Seq, seq)
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
	files.limit = 400 << 10
	value, seq := string(make([]byte, 20<<10)), uint64(1)
	for ; b.put(1, seq, fmt.Sprint("k", seq), value).Ok; seq++ {
		is.True(seq < 40)
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

// A sync that failed leaves the disk without a vote until it was read again
// and its state written anew: the kernel may show what the disk never got.
func TestAFailedSyncEndsTheVote(t *testing.T) {
	is := is.New(t)
	files := newMemory()
	b := openBench(is, files)
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	files.fail = errors.New("input/output error")
	is.Equal(b.put(1, 1, "k", "v").Why, "broken")
	files.fail = nil
	is.Equal(b.take(2, "o").Ack.Why, "broken") // what memory holds may not be on the disk
	is.True(strings.Contains(b.store.Ready().Error(), "restart"))
	frames := b.store.counters.Snapshot()["disk_frames"]
	again, err := Open(base.NewRealClock(), files, b.store.counters)
	is.NoErr(err)
	is.Equal(b.store.counters.Snapshot()["disk_frames"], frames+1)
	is.True(again.replicas[3].Promised >= 1)
	again.Close()
}

// The kernel's own short writes: where the file system takes only a part, what
// was written of it is cut off, nothing is acknowledged, nothing that was is
// lost, and the disk goes on by itself once there is room.
func TestShortWritesOfTheKernel(t *testing.T) {
	is := is.New(t)
	signal.Ignore(syscall.SIGXFSZ)
	path := t.TempDir()
	files, err := OpenFolder(path, 0)
	is.NoErr(err)
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	is.NoErr(err)
	b := &bench{is: is, store: store, service: NewService(store, 5*time.Second)}
	b.join()
	is.True(b.take(1, "o").Ack.Ok)
	is.True(b.install(1, 0).Ok)
	is.True(b.put(1, 1, "k1", "v1").Ok)
	before, err := files.Read("log-0")
	is.NoErr(err)
	var limit syscall.Rlimit
	is.NoErr(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit))
	short := limit
	short.Cur = uint64(len(before) + 1000)
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &short))
	b.service.limit = 300 * time.Millisecond
	why := b.put(1, 2, "k2", string(make([]byte, 64<<10))).Why
	full := store.Ready()
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit))
	is.Equal(why, "full")
	is.True(full != nil && strings.Contains(full.Error(), "free space"))
	b.service.limit = 5 * time.Second
	is.True(b.take(1, "o").Ack.Ok) // room again: what waited is written, in order
	is.True(b.put(1, 3, "k3", "v3").Ok)
	is.True(store.counters.Snapshot()["disk_met_full"] > 0)
	is.NoErr(store.Ready())
	store.Close()
	files, err = OpenFolder(path, 0)
	is.NoErr(err)
	again, err := Open(base.NewRealClock(), files, base.NewCounters())
	is.NoErr(err)
	is.Equal(again.replicas[3].Seq, uint64(3))
	is.Equal(string(again.replicas[3].values["k1"])+string(again.replicas[3].values["k3"]), "v1v3")
	again.Close()
}
