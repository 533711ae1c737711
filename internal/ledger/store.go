package ledger

import (
	"container/list"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/disk"
	"fordseam/internal/memory"
	"fordseam/internal/register"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// minSegmentBytes is the size below which a log segment is not ended.
	minSegmentBytes = 1 << 20
	// maxQueuedBytes is the size of the next batch above which writes are declined.
	maxQueuedBytes = 32 << 20
	// queuedPercent, cachedPercent and statePercent are the shares of the machine's memory
	// that bound the next batch, the payloads in memory, and all else that is held.
	queuedPercent = 6
	cachedPercent = 12
	statePercent  = 15
	// largeDiskPercent is the share of the disk that large turns leave to all others.
	largeDiskPercent = 25
	// rewriteBatchBytes is the size up to which a batch is filled with contents of
	// the oldest segment.
	rewriteBatchBytes = 256 << 10
	// minFreeBytes is the free space below which the store counts as full.
	minFreeBytes = 1 << 20
	// maxRetainedSets is the number of sets above which those are dropped that are older
	// than the one that the store is complete for.
	maxRetainedSets = 8
)

// batch is a group of records that are written and synced together.
type batch struct {
	payload   []byte
	programs  []*program
	rewritten []*program
	turns     []writtenTurn
	done      base.Signal
	err       error
}

// segmentContents lists what was last written into one segment of the log.
type segmentContents struct {
	programs []*program
	turns    []*turn
}

// turnKey is a turn as one program holds it.
type turnKey struct{ program, turn string }

// missingTurn is an ancestor of a held turn that the store does not hold.
type missingTurn struct {
	retainUntil int64
	retryAt     time.Duration
}

// StoreConfig holds the settings and dependencies of a store. FaultTolerance is the
// number of machines that may be lost at once, disks included; it must be the same
// on all nodes. LocalDisk returns the id of the disk that the store is on and the
// disk set that this disk knows.
type StoreConfig struct {
	Clock          base.Clock
	HTTPClient     base.HTTPClient
	Files          disk.Files
	Bounds         *base.AtomicPointer[base.Bounds]
	Counters       *base.Counters
	FaultTolerance int
	LocalDisk      func() (id string, set *register.DiskSet)
	// MemoryBytes is the memory of the machine, 0 if it is not known.
	MemoryBytes int64
	// PayloadCacheBytes, if above 0, bounds the payloads in memory in place of a share of
	// MemoryBytes.
	PayloadCacheBytes int
}

// Store is one disk's part of the ledger. A change is applied in memory and
// appended to the next batch, and is acknowledged once that batch is synced;
// changes that arrive meanwhile share the next sync. The log is a ring of
// segments: live contents of the oldest segment are written again before it is
// dropped. The store keeps its own time, which stands still while the process is
// down, so that nothing expires early.
//
// Its exported methods with a request and a reply serve the RPC service Ledger.
// Every request names the disk it is meant for and the disk set its sender uses,
// and may be delivered twice. A reply to a write that changed nothing still waits
// until the state that it is based on is synced.
type Store struct {
	clock          base.Clock
	httpClient     base.HTTPClient
	bounds         *base.AtomicPointer[base.Bounds]
	counters       *base.Counters
	faultTolerance int
	localDisk      func() (string, *register.DiskSet)
	files          disk.Files

	mu            sync.Mutex
	diskID        string
	sets          []*register.DiskSet // sets that the store has used, in ascending order of stamp
	completeStamp uint64              // the store holds everything acknowledged under older stamps; 0 means never complete
	damaged       bool                // it lost something that it had acknowledged
	programs      map[string]*program
	turns         map[string]*turn // by id; copies of other programs are linked by nextCopy
	missing       map[turnKey]missingTurn
	byArrival     *list.List // programs in ascending order of arrival
	lastArrival   uint64
	heldBytes     int // approximate size of all that is held, payloads included
	payloadBytes  int // size of the payloads of all turns
	payloads      payloadCache
	rewriting     map[*turn]*payload    // payloads for the next call of rewriteOldest
	openedTimeMs  int64                 // store time when the log was opened
	openedAt      time.Duration         // clock reading at that time
	peers         map[string]*peerState // disks pulled from completely under the current stamp
	pulling       map[string]uint64     // disks being pulled from, with the stamp of the set
	fetching      map[turnKey]bool      // turns being fetched from some peer

	log                 *disk.SegmentLog
	segments            map[uint64]*segmentContents
	rewriteAfter        time.Duration // clock reading before which nothing is rewritten
	rewriteThrough      uint64        // segments up to this one must be rewritten
	logBytes            int
	nextBatch           *batch         // takes new records
	writingBatch        *batch         // being written, or nil
	commitNotifier      *base.Notifier // wakes the committer
	setNotifier         *base.Notifier // wakes pullLoop
	full                bool           // the disk had too little free space when last checked
	bytesSinceFreeCheck int            // bytes written since free space was last checked
	diskBytes           int64          // the space of the disk when the log was opened, used and free
	queuedLimit         int            // the size of the next batch above which writes are declined
	stateLimit          int            // of what is held beside payloads; 0 means no bound
	logErr              error          // the failure that ended the committer
	closed              bool
	committerDone       base.Signal
}

// OpenStore reads the log and starts the committer.
func OpenStore(config StoreConfig) (*Store, error) {
	s := &Store{clock: config.Clock, httpClient: config.HTTPClient, bounds: config.Bounds, counters: config.Counters, faultTolerance: max(1, config.FaultTolerance),
		localDisk: config.LocalDisk, files: config.Files, programs: map[string]*program{}, turns: map[string]*turn{}, missing: map[turnKey]missingTurn{},
		byArrival: list.New(), openedAt: config.Clock.Now(), peers: map[string]*peerState{}, pulling: map[string]uint64{}, fetching: map[turnKey]bool{}, segments: map[uint64]*segmentContents{},
		bytesSinceFreeCheck: minFreeBytes, commitNotifier: base.NewNotifier(config.Clock), setNotifier: base.NewNotifier(config.Clock), committerDone: config.Clock.NewSignal()}
	s.nextBatch = &batch{done: s.clock.NewSignal()}
	s.setMemoryLimits(config.MemoryBytes, config.PayloadCacheBytes)
	log, damaged, err := disk.OpenSegmentLog(config.Files, minSegmentBytes, s.replayBatch)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.log, s.logBytes, s.openedAt = log, log.Bytes(), s.clock.Now()
	s.diskBytes = s.files.FreeBytes() + int64(s.logBytes)
	if damaged != nil {
		s.counters.Add("ledger_damaged", 1)
		s.damaged, s.completeStamp, s.rewriteThrough = true, 0, log.Newest()
		s.log.Rotate()
		s.appendMarks()
	}
	s.clock.Go(s.runCommitter)
	return s, nil
}

// setMemoryLimits sets the bounds that follow from the memory of the machine.
func (s *Store) setMemoryLimits(machineBytes int64, cacheBytes int) {
	s.queuedLimit = maxQueuedBytes
	if machineBytes > 0 {
		s.queuedLimit = int(min(maxQueuedBytes, machineBytes*queuedPercent/100))
		s.stateLimit = int(machineBytes * statePercent / 100)
	}
	if cacheBytes == 0 {
		cacheBytes = int(machineBytes * cachedPercent / 100)
	}
	s.payloads = newPayloadCache(cacheBytes)
}

// replayBatch applies one batch of the log.
func (s *Store) replayBatch(at disk.Location, payload []byte) error {
	for offset := 0; offset < len(payload); {
		size, prefix := binary.Uvarint(payload[offset:])
		if prefix <= 0 || uint64(len(payload)-offset-prefix) < size {
			return errors.New("a record of the ledger's log is truncated")
		}
		offset += prefix
		recordBytes := payload[offset : offset+int(size)]
		var record Record
		if err := proto.Unmarshal(recordBytes, &record); err != nil {
			return errors.Trace(err)
		}
		location := newRecordLocation(offset, recordBytes)
		offset += int(size)
		s.openedTimeMs = max(s.openedTimeMs, record.NowMs)
		if marks := record.Marks; marks != nil {
			s.diskID, s.completeStamp, s.damaged, s.sets = marks.Disk, marks.Whole, marks.Damaged, marks.Sets
		}
		if record.Program != "" {
			p, added, _ := s.mergeRecord(&record)
			s.recordSegment(at, []*program{p}, nil, base.Map(added, func(t *turn) writtenTurn { return writtenTurn{t, location} }))
		}
	}
	return nil
}

// recordSegment records which log segment holds what was written. Rewritten
// programs have their whole state in it.
func (s *Store) recordSegment(at disk.Location, programs, rewritten []*program, turns []writtenTurn) {
	generation := at.Generation
	segment, ok := s.segments[generation]
	if !ok {
		segment = &segmentContents{}
		s.segments[generation] = segment
	}
	for _, p := range rewritten {
		p.oldestSegment = 0
	}
	for _, p := range append(programs, rewritten...) {
		if p.oldestSegment == 0 {
			p.oldestSegment = generation
			segment.programs = append(segment.programs, p)
		}
	}
	for _, written := range turns {
		t := written.turn
		written.at.Generation = generation
		written.at.Offset += at.Offset
		s.payloads.markWritten(t, written.at)
		if t.segment != generation {
			t.segment = generation
			segment.turns = append(segment.turns, t)
		}
	}
}

// newRecordLocation returns the location of a record in a batch.
func newRecordLocation(offset int, recordBytes []byte) recordLocation {
	return recordLocation{Location: disk.Location{Offset: offset}, size: len(recordBytes), checksum: crc32.Checksum(recordBytes, checksumTable)}
}

// storeTime returns the store's own time in milliseconds, which does not advance
// while the process is down.
func (s *Store) storeTime() int64 {
	return s.openedTimeMs + (s.clock.Now() - s.openedAt).Milliseconds()
}

// retainUntil returns the store time after which something that must be kept for
// keepMs may expire. It errs on the late side.
func (s *Store) retainUntil(keepMs int64) int64 {
	bounds := s.bounds.Load()
	if keepMs <= 0 {
		keepMs = bounds.Retention.Milliseconds()
	}
	return s.storeTime() + keepMs*5/4 + 2*bounds.Recovery.Milliseconds()
}

// currentSet returns the newest disk set that the store uses, or nil.
func (s *Store) currentSet() *register.DiskSet {
	if len(s.sets) == 0 {
		return nil
	}
	return s.sets[len(s.sets)-1]
}

// appendRecord appends a record to the next batch. The caller holds the lock and
// must not acknowledge anything that depends on it before the batch is done.
func (s *Store) appendRecord(record *Record, p *program, turns []*turn) {
	if len(s.nextBatch.payload) == 0 {
		record.NowMs = s.storeTime()
	}
	s.nextBatch.payload = binary.AppendUvarint(s.nextBatch.payload, uint64(proto.Size(record)))
	offset := len(s.nextBatch.payload)
	payload, err := proto.MarshalOptions{}.MarshalAppend(s.nextBatch.payload, record)
	if err != nil {
		panic(err)
	}
	s.nextBatch.payload = payload
	if p != nil {
		s.nextBatch.programs = append(s.nextBatch.programs, p)
	}
	if len(turns) > 0 {
		location := newRecordLocation(offset, payload[offset:])
		for _, t := range turns {
			s.nextBatch.turns = append(s.nextBatch.turns, writtenTurn{t, location})
		}
	}
}

// appendMarks appends the disk's identity, its sets and what it is complete for.
func (s *Store) appendMarks() {
	s.appendRecord(&Record{Marks: &Marks{Disk: s.diskID, Whole: s.completeStamp, Damaged: s.damaged, Sets: s.sets}}, nil, nil)
}

// lastPending returns the newest batch that is not synced yet, or nil.
func (s *Store) lastPending() *batch {
	if len(s.nextBatch.payload) > 0 {
		return s.nextBatch
	}
	return s.writingBatch
}

// unlockAndSync releases the lock and waits until everything applied so far is on
// the disk. It returns ack, or the reason why the wait failed.
func (s *Store) unlockAndSync(ack *Ack) *Ack {
	pending := s.lastPending()
	s.mu.Unlock()
	s.commitNotifier.Notify()
	if pending == nil {
		return ack
	}
	if !pending.done.Wait(s.bounds.Load().DiskTimeout()) {
		s.counters.Add("ledger_declined_stalled", 1)
		return &Ack{Why: "stalled"}
	}
	if pending.err != nil {
		return &Ack{Why: "broken"}
	}
	return ack
}

// runCommitter writes batches until the store is closed or its log fails.
func (s *Store) runCommitter() {
	defer s.committerDone.Fire()
	for {
		s.prepareRewrite()
		s.mu.Lock()
		nextCommit := s.commitNotifier.Next()
		dropping := s.rewriteOldest()
		current := s.nextBatch
		if len(current.payload) == 0 && !dropping {
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return
			}
			nextCommit.Wait(-1)
			continue
		}
		s.writingBatch, s.nextBatch = current, &batch{done: s.clock.NewSignal()}
		liveBytes := s.heldBytes
		s.mu.Unlock()
		var err error
		if len(current.payload) > 0 {
			err = s.writeBatch(current, liveBytes)
		}
		if err == nil && dropping {
			oldest := s.log.Oldest()
			if err = s.log.DropOldest(); err == nil {
				s.mu.Lock()
				delete(s.segments, oldest)
				s.mu.Unlock()
			}
		}
		s.mu.Lock()
		s.writingBatch, s.logBytes = nil, s.log.Bytes()
		if err != nil {
			s.logErr = err
		}
		s.mu.Unlock()
		if err != nil {
			s.counters.Add("ledger_broken", 1)
		}
		current.err = err
		current.done.Fire()
		if err != nil {
			s.mu.Lock()
			s.nextBatch.err = err
			s.nextBatch.done.Fire()
			s.mu.Unlock()
			return
		}
	}
}

// writeBatch writes a batch. On a full disk it waits for free space; nothing else
// is written meanwhile, and the store declines requests that add data.
func (s *Store) writeBatch(current *batch, liveBytes int) error {
	for {
		at, err := s.log.Append(current.payload, liveBytes)
		s.mu.Lock()
		if s.bytesSinceFreeCheck += len(current.payload); err != nil || s.full || s.bytesSinceFreeCheck > minFreeBytes/4 {
			s.full, s.bytesSinceFreeCheck = disk.IsFull(err) || s.files.FreeBytes() < minFreeBytes+int64(len(current.payload)), 0
		}
		closed := s.closed
		if err == nil {
			s.recordSegment(at, current.programs, current.rewritten, current.turns)
		}
		s.mu.Unlock()
		if err == nil {
			s.counters.Add("ledger_syncs", 1)
			return nil
		}
		if !disk.IsFull(err) || closed {
			return err
		}
		s.counters.Add("ledger_met_full", 1)
		if s.dropDeadSegment() {
			continue
		}
		s.clock.Sleep(s.bounds.Load().DiskTimeout() / 10)
	}
}

// dropDeadSegment drops the oldest segment if it has no live contents, and
// reports whether it did.
func (s *Store) dropDeadSegment() bool {
	oldest := s.log.Oldest()
	s.mu.Lock()
	s.expire(s.storeTime())
	segment := s.segments[oldest]
	live := segment != nil && (slices.ContainsFunc(segment.programs, func(p *program) bool { return !p.removed && p.oldestSegment == oldest }) ||
		slices.ContainsFunc(segment.turns, func(t *turn) bool { return !t.removed && t.segment == oldest }))
	s.mu.Unlock()
	return !live && oldest != s.log.Newest() && s.log.DropOldest() == nil
}

// rewriteDue returns the oldest segment, and whether its live contents are to be written again.
// Only the committer calls it.
func (s *Store) rewriteDue() (oldest uint64, due bool) {
	oldest, due = s.log.ReclaimDue()
	if !due && s.rewriteThrough > 0 {
		oldest = s.log.Oldest()
		due = oldest <= s.rewriteThrough && oldest > 0
	}
	return oldest, due && oldest != s.log.Newest() && s.clock.Now() >= s.rewriteAfter
}

// rewriteOldest appends live contents of the oldest segment to the next batch if
// that segment is due for removal. It reports whether the segment can be dropped
// once the batch is written.
func (s *Store) rewriteOldest() bool {
	oldest, due := s.rewriteDue()
	if !due {
		if s.rewriteThrough > 0 && oldest > s.rewriteThrough {
			s.rewriteThrough = 0
		}
		return false
	}
	segment, ok := s.segments[oldest]
	if !ok {
		segment = &segmentContents{}
	}
	for len(segment.programs) > 0 && len(s.nextBatch.payload) < rewriteBatchBytes {
		p := segment.programs[0]
		segment.programs = segment.programs[1:]
		if !p.removed && p.oldestSegment == oldest {
			s.appendRecord(p.stateRecord(p.retainUntil), nil, nil)
			s.nextBatch.rewritten = append(s.nextBatch.rewritten, p)
		}
	}
	for len(segment.turns) > 0 && len(s.nextBatch.payload) < rewriteBatchBytes {
		t := segment.turns[0]
		if !t.removed && t.segment == oldest {
			loaded := s.rewriting[t]
			if loaded == nil {
				break // it is read before the next call
			}
			message := t.selected(t.retainUntil).message
			message.Input, message.Output = loaded.input, loaded.output
			s.appendRecord(&Record{Program: t.program.id, UntilMs: t.program.retainUntil, Turns: []*Turn{message}}, nil, []*turn{t})
		}
		segment.turns = segment.turns[1:]
	}
	s.rewriting = nil
	if len(segment.programs) > 0 || len(segment.turns) > 0 {
		s.commitNotifier.Notify()
		return false
	}
	s.appendMarks()
	return true
}

// Close stops the store once everything queued is written.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.commitNotifier.Notify()
	s.setNotifier.Notify()
}

func (s *Store) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// refreshIdentity adopts the disk's identity and any newer set that it knows. The
// caller holds the lock.
func (s *Store) refreshIdentity() {
	id, set := s.localDisk()
	if id == "" || set == nil {
		return
	}
	if s.diskID != id {
		s.diskID, s.sets, s.completeStamp = id, []*register.DiskSet{set}, 0
		if set.Stamp == 1 && findEntry(set, id) != nil && len(s.programs) == 0 && !s.damaged {
			s.completeStamp = 1 // nothing was written before the first set
		}
		s.appendMarks()
		s.setNotifier.Notify()
		return
	}
	s.adoptSet(set)
}

// adoptSet switches to a newer set of the same cluster. The caller holds the lock.
func (s *Store) adoptSet(set *register.DiskSet) {
	if s.diskID == "" || set == nil || set.Stamp <= s.currentSet().GetStamp() || set.Cluster != s.currentSet().GetCluster() {
		return
	}
	s.sets = append(slices.Clone(s.sets), set)
	for len(s.sets) > maxRetainedSets && s.sets[1].Stamp <= s.completeStamp {
		s.sets = s.sets[1:]
	}
	s.peers = map[string]*peerState{}
	s.appendMarks()
	s.setNotifier.Notify()
	s.counters.Add("ledger_sets", 1)
}

// checkTarget checks that a message is meant for this disk and that its sender
// uses the same set. The caller holds the lock.
func (s *Store) checkTarget(target *Target) *Ack {
	if s.diskID == "" || target.GetStamp() > s.currentSet().GetStamp() {
		s.refreshIdentity()
	}
	set := s.currentSet()
	switch {
	case s.logErr != nil:
		return &Ack{Why: "broken"}
	case s.diskID == "" || target.GetDisk() != s.diskID:
		return &Ack{Why: "blank"}
	case target.Stamp < set.Stamp:
		return &Ack{Why: "set", Set: set}
	case target.Stamp > set.Stamp:
		return &Ack{Why: "behind"}
	case findEntry(set, s.diskID) == nil:
		return &Ack{Why: "set", Set: set}
	}
	return &Ack{}
}

// declineNewTurn returns why the store accepts no new turn with an input of a size, or "". What
// it accepted once it can finish, as far as the disk goes.
func (s *Store) declineNewTurn(size int) string {
	tooMuchState := s.stateLimit > 0 && s.heldBytes-s.payloadBytes > s.stateLimit
	tooLarge := size > memory.SmallBytes && s.files.FreeBytes() < s.diskBytes*largeDiskPercent/100+int64(size)
	if tooMuchState || tooLarge {
		s.counters.Add("ledger_declined_full", 1)
		return "full"
	}
	return s.declineReason()
}

// declineReason returns why the store accepts no more data, or "".
func (s *Store) declineReason() string {
	switch {
	case s.full && s.files.FreeBytes() < minFreeBytes:
		s.counters.Add("ledger_declined_full", 1)
		return "full"
	case len(s.nextBatch.payload) > s.queuedLimit:
		s.counters.Add("ledger_declined_stalled", 1)
		return "stalled"
	}
	return ""
}

// Ready returns an error if the store cannot accept data.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.logErr != nil:
		return base.Busy(503, "ledger_broken", 5, "the ledger's log failed: %v; restart the process, and replace the disk if it fails again", s.logErr)
	case s.full && s.files.FreeBytes() < minFreeBytes:
		return base.Busy(503, "ledger_full", 5, "no space left for the ledger; free space in its file system or raise disk_limit_bytes")
	}
	return nil
}

// NotifySetChange notifies the store that its disk may know a newer set.
func (s *Store) NotifySetChange() { s.setNotifier.Notify() }

// Run pulls what the store lacks and expires old data until the store is closed.
func (s *Store) Run() {
	s.clock.Go(s.expireLoop)
	s.clock.Go(s.findMissingLoop)
	s.pullLoop()
}

// expireLoop removes expired programs and turns until the store is closed.
func (s *Store) expireLoop() {
	for !s.isClosed() {
		s.clock.Sleep(s.bounds.Load().Recovery / 2)
		s.mu.Lock()
		programs, turns := s.expire(s.storeTime())
		s.mu.Unlock()
		s.counters.Add("ledger_programs_forgotten", int64(programs))
		s.counters.Add("ledger_turns_forgotten", int64(turns))
	}
}
