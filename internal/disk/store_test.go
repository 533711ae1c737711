package disk

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
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

// memFiles implements Files in memory. Syncs return at once unless stallUntil is set,
// and a power loss can be simulated before any of them.
type memFiles struct {
	mu         sync.Mutex
	files      map[string][]byte
	synced     map[string][]byte
	capacity   int64       // total size of the files at most
	err        error       // returned by each change and sync
	stallUntil base.Signal // each sync waits for it
	// beforeSync is called before each sync, while the data may still be lost.
	beforeSync func(name string)
}

func newMemFiles() *memFiles {
	return &memFiles{files: map[string][]byte{}, synced: map[string][]byte{}, capacity: 1 << 30}
}

func (m *memFiles) Read(name string) ([]byte, error) { return slices.Clone(m.files[name]), nil }
func (m *memFiles) ReadAt(name string, offset, size int) ([]byte, error) {
	data := m.files[name]
	if offset+size > len(data) {
		return nil, io.ErrUnexpectedEOF
	}
	return slices.Clone(data[offset : offset+size]), nil
}
func (m *memFiles) Append(name string, data []byte) error {
	free := m.FreeBytes()
	m.mu.Lock()
	defer m.mu.Unlock()
	if free < int64(len(data)) {
		m.files[name] = append(slices.Clone(m.files[name]), data[:max(0, free)]...)
		return ErrFull
	}
	m.files[name] = append(slices.Clone(m.files[name]), data...)
	return m.err
}
func (m *memFiles) Replace(name string, data []byte) error {
	_ = m.Truncate(name, 0)
	return m.Append(name, data)
}
func (m *memFiles) Truncate(name string, size int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name] = slices.Clone(m.files[name][:min(size, len(m.files[name]))])
	return m.err
}
func (m *memFiles) Sync(name string) error {
	if m.stallUntil != nil {
		m.stallUntil.Wait(-1)
	}
	if m.beforeSync != nil {
		m.beforeSync(name)
	}
	if m.err == nil {
		m.synced[name] = slices.Clone(m.files[name])
	}
	return m.err
}
func (m *memFiles) FreeBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	free := m.capacity
	for _, data := range m.files {
		free -= int64(len(data))
	}
	return free
}

func (m *memFiles) clone() *memFiles {
	cloned := newMemFiles()
	for name, data := range m.files {
		cloned.files[name] = slices.Clone(data)
		cloned.synced[name] = slices.Clone(data)
	}
	return cloned
}

// afterPowerLoss returns the files as they may be after a power loss: any subset of
// the unsynced sectors is persisted, and the length of each file is the old one, the
// new one or one in between.
func (m *memFiles) afterPowerLoss(random *rand.Rand) *memFiles {
	remaining := newMemFiles()
	for _, name := range base.SortedKeys(m.files) {
		before, after := m.synced[name], m.files[name]
		size := []int{len(before), len(after), min(len(before), len(after)) + random.IntN(max(len(before), len(after))-min(len(before), len(after))+1)}[random.IntN(3)]
		content, writtenShare := make([]byte, size), random.Float64()
		copy(content, before)
		for offset := 0; offset < min(size, len(after)); offset += 512 {
			if random.Float64() < writtenShare {
				clear(content[offset:min(size, offset+512)])
				copy(content[offset:min(size, offset+512)], after[offset:min(len(after), offset+512)])
			}
		}
		remaining.files[name], remaining.synced[name] = content, slices.Clone(content)
	}
	return remaining
}

// testDisk is a formatted disk that is the only member of its set.
type testDisk struct {
	is      *is.I
	files   *memFiles
	store   *Store
	service *Service
	set     *register.DiskSet
	id      string
}

func newTestDisk(is *is.I, files *memFiles) *testDisk {
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	is.NoErr(err)
	d := &testDisk{is: is, files: files, store: store, service: NewService(store, 5*time.Second)}
	d.formatAndAdopt()
	return d
}

// close closes the store and waits until the committer has ended.
func (d *testDisk) close() {
	d.store.Close()
	d.store.committerDone.Wait(-1)
}

// setMinLogBytes makes checkpoints due at a smaller size of the log.
func (d *testDisk) setMinLogBytes(minLogBytes int) {
	d.store.mu.Lock()
	d.store.minLogBytes = minLogBytes
	d.store.mu.Unlock()
}

// formatAndAdopt formats the disk and makes it the only member of its set.
func (d *testDisk) formatAndAdopt() {
	is := d.is
	state, err := d.service.Format(context.Background(), &register.FormatRequest{})
	is.NoErr(err)
	d.id = state.Id
	d.set = &register.DiskSet{Stamp: 1, Cluster: "c", Disks: []*register.DiskEntry{{Id: d.id, Addr: "a"}}}
	ack, err := d.service.Adopt(context.Background(), &register.AdoptRequest{Set: d.set})
	is.NoErr(err)
	is.True(ack.Ok)
}

func (d *testDisk) claim(epoch uint64, leader string) *register.Claim {
	return &register.Claim{Slot: 3, Epoch: epoch, Owner: leader, SetStamp: 1, Disk: d.id}
}

func (d *testDisk) append(epoch, seq uint64, key, value string) *register.Ack {
	ack, err := d.service.Append(context.Background(), &register.AppendRequest{Claim: d.claim(epoch, "o"),
		Entries: []*register.Entry{{Seq: seq, Puts: []*register.Put{{Key: key, Value: []byte(value)}}}}})
	d.is.NoErr(err)
	return ack
}

func (d *testDisk) promise(epoch uint64, leader string) *register.PromiseReply {
	reply, err := d.service.Promise(context.Background(), &register.PromiseRequest{Claim: d.claim(epoch, leader)})
	d.is.NoErr(err)
	return reply
}

func (d *testDisk) install(epoch, seq uint64) *register.Ack {
	ack, err := d.service.Install(context.Background(), &register.InstallRequest{Claim: d.claim(epoch, "o"), Seq: seq})
	d.is.NoErr(err)
	return ack
}

func TestPromisesFenceOlderEpochs(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(5, "o").Ack.Ok)
	is.Equal(d.promise(4, "p").Ack.Why, "epoch")
	is.Equal(d.promise(5, "p").Ack.Why, "epoch") // one leader per epoch
	is.Equal(d.append(5, 1, "k", "v").Why, "behind")
	is.True(d.install(5, 0).Ok)
	is.True(d.append(5, 1, "k", "v").Ok)
	is.Equal(d.append(5, 3, "k", "w").Why, "behind") // a gap
	is.True(d.append(5, 1, "k", "v").Ok)             // repeated
	is.True(d.promise(6, "p").Ack.Ok)
	is.Equal(d.append(5, 2, "k", "w").Why, "epoch") // fenced
	confirm, err := d.service.Confirm(context.Background(), &register.ConfirmRequest{Claim: d.claim(5, "o")})
	is.NoErr(err)
	is.Equal(confirm.Why, "epoch")
	stale := d.claim(9, "o")
	stale.SetStamp = 0
	reply, err := d.service.Promise(context.Background(), &register.PromiseRequest{Claim: stale})
	is.NoErr(err)
	is.Equal(reply.Ack.Why, "set")
	other := d.claim(9, "o")
	other.Disk = "another"
	reply, err = d.service.Promise(context.Background(), &register.PromiseRequest{Claim: other})
	is.NoErr(err)
	is.Equal(reply.Ack.Why, "blank") // addressed to another disk
}

// After a power loss before any sync, those of checkpoints included, with any subset
// of the unsynced sectors persisted, the disk opens, has all acknowledged entries,
// and its state is one that it had before.
func TestPowerLossAtAnySync(t *testing.T) {
	is := is.New(t)
	const seed = 7
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	d.setMinLogBytes(64 << 10)
	var acked, sent atomic.Uint64
	losses, tornTails := 0, int64(0)
	d.files.beforeSync = func(string) {
		for range 5 {
			losses++
			files := d.files.afterPowerLoss(random)
			counters := base.NewCounters()
			store, err := Open(base.NewRealClock(), files, counters)
			is.NoErr(err) // a torn tail is truncated
			r := store.replicas[3]
			is.True(r.Seq >= acked.Load() && r.Seq <= sent.Load())
			for seq := r.Seq; seq > 0 && seq+4 > r.Seq; seq-- {
				is.Equal(len(r.values[fmt.Sprint("k", seq%4)]), 2000+int(seq))
			}
			tornTails += counters.Snapshot()["disk_tails_cut"]
			store.Close()
		}
	}
	for seq := uint64(1); seq <= 100; seq++ {
		sent.Store(seq)
		is.True(d.append(1, seq, fmt.Sprint("k", seq%4), string(make([]byte, 2000+int(seq)))).Ok)
		acked.Store(seq)
	}
	d.close()
	checkpoints := d.store.counters.Snapshot()["disk_frames"]
	t.Logf("%d power losses, %d torn tails truncated, %d checkpoints", losses, tornTails, checkpoints)
	is.True(tornTails > 100 && checkpoints >= 2)
}

// A log may repeat entries that its checkpoint covers. Replaying them must not undo
// later entries.
func TestReplayedEntriesChangeNothing(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	log := [][]byte{}
	logEntry := func(kind byte, message proto.Message) {
		payload, err := proto.Marshal(message)
		is.NoErr(err)
		log = append(log, encodeEntry(kind, payload))
		is.NoErr(d.store.applyEntry(kind, payload))
	}
	logPut := func(epoch, seq uint64, key, value string) {
		logEntry(kindAppend, &register.AppendRequest{Claim: d.claim(epoch, "o"), Entries: []*register.Entry{{Seq: seq, Puts: []*register.Put{{Key: key, Value: []byte(value)}}}}})
	}
	logEntry(kindInstall, &register.InstallRequest{Claim: d.claim(1, "o"), Seq: 4})
	logPut(1, 5, "k", "old")
	logPut(1, 6, "k", "new")
	logEntry(kindPromise, d.claim(2, "p"))
	logEntry(kindInstall, &register.InstallRequest{Claim: d.claim(2, "p"), Seq: 6, Puts: []*register.Put{{Key: "k", Value: []byte("new")}}})
	logPut(2, 7, "k", "newer")
	logPut(2, 8, "k", "newest")
	for last := range log {
		for _, entry := range log[:last+1] {
			is.NoErr(d.store.applyBatch(entry))
		}
		r := d.store.replicas[3]
		is.Equal(fmt.Sprintf("%d %s %d %d %s", r.Promised, r.Leader, r.Installed, r.Seq, r.values["k"]), "2 p 2 8 newest")
	}
	d.close()
}

// If any single sector of any file is corrupt, either all acknowledged entries are
// there or the disk refuses to open with an error that names the reason. Corruption is
// never taken for a torn tail, which would be truncated.
func TestCorruptionIsNotTakenForTornTail(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	d.setMinLogBytes(64 << 10)
	seq := uint64(0)
	for ; d.store.counters.Snapshot()["disk_frames"] < 2 || seq%5 != 0; seq++ {
		is.True(d.append(1, seq+1, fmt.Sprint("k", seq%50), string(make([]byte, 3000))).Ok)
	}
	for range 5 {
		seq++
		is.True(d.append(1, seq, "last", fmt.Sprint(seq)).Ok)
	}
	d.close()
	opened, refused := 0, 0
	for _, name := range knownFileNames {
		for offset := 0; offset < len(d.files.files[name]); offset += sectorSize {
			if offset > 40*sectorSize && offset+40*sectorSize < len(d.files.files[name]) && offset/sectorSize%7 != 0 {
				continue
			}
			for _, corrupt := range []func(part []byte){func(part []byte) { clear(part) }, func(part []byte) { part[len(part)/2] ^= 4 }, func(part []byte) { part[0] ^= 4 }} {
				files := d.files.clone()
				corrupt(files.files[name][offset:min(len(files.files[name]), offset+sectorSize)])
				store, err := Open(base.NewRealClock(), files, base.NewCounters())
				if err != nil {
					refused++
					is.True(errors.Cause(err) == errCorrupt || isForeign(err))
					continue
				}
				opened++
				is.Equal(store.replicas[3].Seq, seq)
				is.Equal(string(store.replicas[3].values["last"]), fmt.Sprint(seq))
				store.Close()
			}
		}
	}
	t.Logf("%d corrupt sectors: %d times opened, %d times refused", opened+refused, opened, refused)
	is.True(opened > refused*10)
	// Both copies of a batch are lost and a later batch follows, so it had been
	// acknowledged.
	files := d.files.clone()
	log := files.files[logFileName(d.store.generation)]
	_, size, err := decodeRecord(log)
	is.NoErr(err)
	clear(log[:alignToSector(size)+size])
	_, err = Open(base.NewRealClock(), files, base.NewCounters())
	is.Equal(errors.Cause(err), errCorrupt)
}

// Files of another program or in an unknown format version are reported by name and
// left unchanged.
func TestForeignFilesAreReportedAndLeft(t *testing.T) {
	for name, row := range map[string]struct {
		content []byte
		message string
	}{
		"slot-0": {[]byte("SQLite format 3"), "not a fordseam file"},
		"log-0":  {[]byte("2026-01-01 12:00 an application's own log\n"), "not a fordseam file"},
		"slot-1": {func() []byte {
			later := encodeRecord(5, 9, 0, []byte("later"))
			later[3] = 3
			binary.LittleEndian.PutUint32(later[32:], crc32.Checksum(later[:32], crcTable))
			return later
		}(), "unknown format version 3"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := newMemFiles()
			files.files[name] = row.content
			_, err := Open(base.NewRealClock(), files, base.NewCounters())
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), name) && strings.Contains(err.Error(), row.message))
			is.Equal(files.files[name], row.content)
		})
	}
	is := is.New(t)
	path := t.TempDir()
	is.NoErr(os.WriteFile(path+"/payroll.db", []byte("x"), 0o600))
	_, err := OpenFolder(path, 0)
	is.True(err != nil && strings.Contains(err.Error(), "payroll.db"))
}

// If the newest checkpoint is unreadable, the state is restored from the previous one
// and both logs.
func TestCheckpointsRotateAndFallBack(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	d.setMinLogBytes(1 << 20)
	large := string(make([]byte, 100<<10))
	seq := uint64(0)
	for d.store.counters.Snapshot()["disk_frames"] < 3 {
		seq++
		is.True(d.append(1, seq, fmt.Sprint("k", seq%4), large).Ok)
		is.True(seq < 500)
	}
	for range 3 {
		seq++
		is.True(d.append(1, seq, "last", fmt.Sprint(seq)).Ok)
	}
	d.close()
	is.True(len(d.files.files["log-0"])+len(d.files.files["log-1"]) < 16<<20) // the logs stay short
	reopen := func(files *memFiles) {
		store, err := Open(base.NewRealClock(), files, base.NewCounters())
		is.NoErr(err)
		is.Equal(store.replicas[3].Seq, seq)
		is.Equal(string(store.replicas[3].values["last"]), fmt.Sprint(seq))
		is.Equal(store.id, d.id)
		store.Close()
	}
	reopen(d.files.clone())
	newest := checkpointFileName(d.store.generation)
	for _, corrupt := range []func([]byte) []byte{
		func(data []byte) []byte { return data[:len(data)/2] },
		func(data []byte) []byte { data[len(data)/2] ^= 1; return data },
	} {
		files := d.files.clone()
		files.files[newest] = corrupt(files.files[newest])
		full := files.clone()
		full.capacity = 0
		_, err := Open(base.NewRealClock(), full, base.NewCounters())
		is.True(IsSystemError(err)) // the broken checkpoint cannot be replaced yet
		full.capacity = files.capacity
		reopen(full)
		reopen(files) // from the previous checkpoint and both logs
		reopen(files) // again after the repair
	}
}

// A full or stalled disk declines requests within the timeout. A full disk still
// accepts entries that free space and promises.
func TestFullAndStalledDisksDeclineInTime(t *testing.T) {
	is := is.New(t)
	files := newMemFiles()
	d := newTestDisk(is, files)
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	files.capacity = 400 << 10
	value, seq := string(make([]byte, 20<<10)), uint64(1)
	for ; d.append(1, seq, fmt.Sprint("k", seq), value).Ok; seq++ {
		is.True(seq < 40)
	}
	is.Equal(d.append(1, seq, "k", value).Why, "full")
	ack, err := d.service.Append(context.Background(), &register.AppendRequest{Claim: d.claim(1, "o"),
		Entries: []*register.Entry{{Seq: seq, Puts: []*register.Put{{Key: "k1", Gone: true}}}}})
	is.NoErr(err)
	is.True(ack.Ok)                   // space is reserved for entries that free space
	is.True(d.promise(2, "p").Ack.Ok) // and for promises to a new leader
	files.capacity = 1 << 30
	files.stallUntil = base.NewRealClock().NewSignal()
	defer files.stallUntil.Fire()
	d.service.timeout = time.Millisecond
	is.Equal(d.promise(3, "q").Ack.Why, "stalled")
}

// After a failed sync, the disk does not vote until its files were read again and the
// state was written as a new checkpoint, since the kernel may return data from its
// cache that are not on the disk.
func TestFailedSyncEndsTheVote(t *testing.T) {
	is := is.New(t)
	files := newMemFiles()
	d := newTestDisk(is, files)
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	files.err = errors.New("input/output error")
	is.Equal(d.append(1, 1, "k", "v").Why, "broken")
	files.err = nil
	is.Equal(d.promise(2, "o").Ack.Why, "broken") // the state in memory may not be on the disk
	is.True(strings.Contains(d.store.Ready().Error(), "restart"))
	checkpoints := d.store.counters.Snapshot()["disk_frames"]
	reopened, err := Open(base.NewRealClock(), files, d.store.counters)
	is.NoErr(err)
	is.Equal(d.store.counters.Snapshot()["disk_frames"], checkpoints+1)
	is.True(reopened.replicas[3].Promised >= 1)
	reopened.Close()
}

// If the file system is out of space and the kernel writes only a part of the data,
// the part is truncated, nothing is acknowledged, no acknowledged entry is lost, and
// the disk recovers without a restart once there is space again.
func TestShortWrites(t *testing.T) {
	is := is.New(t)
	signal.Ignore(syscall.SIGXFSZ)
	path := t.TempDir()
	files, err := OpenFolder(path, 0)
	is.NoErr(err)
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	is.NoErr(err)
	d := &testDisk{is: is, store: store, service: NewService(store, 5*time.Second)}
	d.formatAndAdopt()
	is.True(d.promise(1, "o").Ack.Ok)
	is.True(d.install(1, 0).Ok)
	is.True(d.append(1, 1, "k1", "v1").Ok)
	before, err := files.Read("log-0")
	is.NoErr(err)
	var limit syscall.Rlimit
	is.NoErr(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit))
	reduced := limit
	reduced.Cur = uint64(len(before) + 1000)
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &reduced))
	d.service.timeout = 300 * time.Millisecond
	reason := d.append(1, 2, "k2", string(make([]byte, 64<<10))).Why
	fullErr := store.Ready()
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit))
	is.Equal(reason, "full")
	is.True(fullErr != nil && strings.Contains(fullErr.Error(), "free space"))
	d.service.timeout = 5 * time.Second
	is.True(d.promise(1, "o").Ack.Ok) // there is space again: the waiting entry is written first
	is.True(d.append(1, 3, "k3", "v3").Ok)
	is.True(store.counters.Snapshot()["disk_met_full"] > 0)
	is.NoErr(store.Ready())
	store.Close()
	files, err = OpenFolder(path, 0)
	is.NoErr(err)
	reopened, err := Open(base.NewRealClock(), files, base.NewCounters())
	is.NoErr(err)
	is.Equal(reopened.replicas[3].Seq, uint64(3))
	is.Equal(string(reopened.replicas[3].values["k1"])+string(reopened.replicas[3].values["k3"]), "v1v3")
	reopened.Close()
}
