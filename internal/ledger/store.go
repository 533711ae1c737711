// The store is a storage machine's part of the ledger. What a message changes
// is put in force in memory and into the batch that is being formed, and is
// answered once that batch is synced; whatever comes meanwhile shares the next
// sync. The log is a ring of files: what still counts of the oldest is written
// again before it is dropped. Time is counted by the store itself and stands
// still while the process is down, so nothing is forgotten too early.

package ledger

import (
	"container/list"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/disk"
	"fordseam/internal/register"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	segmentFloor = 1 << 20
	queueLimit   = 32 << 20
	refillStep   = 256 << 10
	freeFloor    = 1 << 20
	setsKept     = 8
)

type batch struct {
	payload  []byte
	programs []*program
	moved    []*program
	turns    []*turn
	done     base.Signal
	failed   error
}

// contents is what was last written into one file of the log.
type contents struct {
	programs []*program
	turns    []*turn
}

type wanted struct{ program, turn string }

type wantedSince struct {
	until int64
	due   time.Duration
}

// StoreConfig is what a store is made of. LocalDisk tells the id and the set of the
// disk it is on.
type StoreConfig struct {
	Clock          base.Clock
	Wire           base.Wire
	Files          disk.Files
	Bounds         *base.Table[base.Bounds]
	Counters       *base.Counters
	FaultTolerance int
	LocalDisk      func() (id string, set *register.DiskSet)
}

// Store is what one disk holds of the ledger.
type Store struct {
	clock    base.Clock
	wire     base.Wire
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	tolerate int
	local    func() (string, *register.DiskSet)
	files    disk.Files

	mu       sync.Mutex
	id       string
	sets     []*register.DiskSet // those it went by, by stamp
	whole    uint64              // lacks nothing that was acknowledged under an older stamp
	damaged  bool                // lost something it had acknowledged
	programs map[string]*program
	turns    map[string]*turn
	wanted   map[wanted]wantedSince
	order    *list.List
	arrivals uint64
	bytes    int
	past     int64
	opened   time.Duration
	peers    map[string]*peer // those heard out under this stamp
	hearing  map[string]uint64
	fetching map[wanted]bool

	log      *disk.Segments
	index    map[uint64]*contents
	purge    uint64 // files up to here are to be written anew
	logBytes int
	forming  *batch
	writing  *batch
	bell     *base.Bell
	news     *base.Bell
	full     bool
	unlooked int // bytes written since the room was looked at
	broken   error
	closed   bool
	ended    base.Signal
}

// OpenStore reads the log and starts the committer.
func OpenStore(parts StoreConfig) (*Store, error) {
	s := &Store{clock: parts.Clock, wire: parts.Wire, bounds: parts.Bounds, counters: parts.Counters, tolerate: max(1, parts.FaultTolerance),
		local: parts.LocalDisk, files: parts.Files, programs: map[string]*program{}, turns: map[string]*turn{}, wanted: map[wanted]wantedSince{},
		order: list.New(), opened: parts.Clock.Now(), peers: map[string]*peer{}, hearing: map[string]uint64{}, fetching: map[wanted]bool{}, index: map[uint64]*contents{},
		unlooked: freeFloor, bell: base.NewBell(parts.Clock), news: base.NewBell(parts.Clock), ended: parts.Clock.NewSignal()}
	s.forming = &batch{done: s.clock.NewSignal()}
	log, damaged, err := disk.OpenSegments(parts.Files, segmentFloor, s.read)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.log, s.logBytes, s.opened = log, log.Bytes(), s.clock.Now()
	if damaged != nil {
		s.counters.Add("ledger_damaged", 1)
		s.damaged, s.whole, s.purge = true, 0, log.Last()
		s.log.Turn()
		s.mark()
	}
	s.clock.Go(s.commit)
	return s, nil
}

// read puts one batch of the log in force.
func (s *Store) read(generation uint64, payload []byte) error {
	for len(payload) > 0 {
		size, head := binary.Uvarint(payload)
		if head <= 0 || uint64(len(payload)-head) < size {
			return errors.New("an entry of the ledger stops short")
		}
		var record Record
		if err := proto.Unmarshal(payload[head:head+int(size)], &record); err != nil {
			return errors.Trace(err)
		}
		payload = payload[head+int(size):]
		s.past = max(s.past, record.NowMs)
		if marks := record.Marks; marks != nil {
			s.id, s.whole, s.damaged, s.sets = marks.Disk, marks.Whole, marks.Damaged, marks.Sets
		}
		if record.Program != "" {
			p, added, _ := s.absorb(&record)
			s.home(generation, []*program{p}, nil, added)
		}
	}
	return nil
}

// home notes which file of the log holds what was written.
func (s *Store) home(generation uint64, programs, moved []*program, turns []*turn) {
	held, ok := s.index[generation]
	if !ok {
		held = &contents{}
		s.index[generation] = held
	}
	for _, p := range moved {
		p.home = 0
	}
	for _, p := range append(programs, moved...) {
		if p.home == 0 {
			p.home = generation
			held.programs = append(held.programs, p)
		}
	}
	for _, one := range turns {
		if one.home != generation {
			one.home = generation
			held.turns = append(held.turns, one)
		}
	}
}

// now is the store's own time.
func (s *Store) now() int64 { return s.past + (s.clock.Now() - s.opened).Milliseconds() }

// until is when something that must be kept for so long may be forgotten; it
// errs to the late side.
func (s *Store) until(keepMs int64) int64 {
	bounds := s.bounds.Load()
	if keepMs <= 0 {
		keepMs = bounds.Retain.Milliseconds()
	}
	return s.now() + keepMs*5/4 + 2*bounds.Recover.Milliseconds()
}

func (s *Store) set() *register.DiskSet {
	if len(s.sets) == 0 {
		return nil
	}
	return s.sets[len(s.sets)-1]
}

// write puts a record into the batch that is being formed; the caller holds
// the lock and must not answer before the batch is done.
func (s *Store) write(record *Record, p *program, turns []*turn) {
	if len(s.forming.payload) == 0 {
		record.NowMs = s.now()
	}
	s.forming.payload = binary.AppendUvarint(s.forming.payload, uint64(proto.Size(record)))
	payload, err := proto.MarshalOptions{}.MarshalAppend(s.forming.payload, record)
	if err != nil {
		panic(err)
	}
	s.forming.payload = payload
	if p != nil {
		s.forming.programs = append(s.forming.programs, p)
	}
	s.forming.turns = append(s.forming.turns, turns...)
}

func (s *Store) mark() {
	s.write(&Record{Marks: &Marks{Disk: s.id, Whole: s.whole, Damaged: s.damaged, Sets: s.sets}}, nil, nil)
}

// last is the newest batch that is not yet done, if any.
func (s *Store) last() *batch {
	if len(s.forming.payload) > 0 {
		return s.forming
	}
	return s.writing
}

// finish unlocks and waits until all that is in force is on the disk.
func (s *Store) finish(ack *Ack) *Ack {
	pending := s.last()
	s.mu.Unlock()
	s.bell.Ring()
	if pending == nil {
		return ack
	}
	if !pending.done.Wait(s.bounds.Load().DiskLimit()) {
		s.counters.Add("ledger_declined_stalled", 1)
		return &Ack{Why: "stalled"}
	}
	if pending.failed != nil {
		return &Ack{Why: "broken"}
	}
	return ack
}

func (s *Store) commit() {
	defer s.ended.Fire()
	for {
		s.mu.Lock()
		next := s.bell.Next()
		dropping := s.refill()
		chosen := s.forming
		if len(chosen.payload) == 0 && !dropping {
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return
			}
			next.Wait(-1)
			continue
		}
		s.writing, s.forming = chosen, &batch{done: s.clock.NewSignal()}
		live := s.bytes
		s.mu.Unlock()
		var failed error
		if len(chosen.payload) > 0 {
			failed = s.put(chosen, live)
		}
		if failed == nil && dropping {
			oldest := s.log.Oldest()
			if failed = s.log.Drop(); failed == nil {
				s.mu.Lock()
				delete(s.index, oldest)
				s.mu.Unlock()
			}
		}
		s.mu.Lock()
		s.writing, s.logBytes = nil, s.log.Bytes()
		if failed != nil {
			s.broken = failed
		}
		s.mu.Unlock()
		if failed != nil {
			s.counters.Add("ledger_broken", 1)
		}
		chosen.failed = failed
		chosen.done.Fire()
		if failed != nil {
			s.mu.Lock()
			s.forming.failed = failed
			s.forming.done.Fire()
			s.mu.Unlock()
			return
		}
	}
}

// put writes a batch. Where there is no room it waits for some; nothing else
// is written meanwhile, and the store declines what would add to it.
func (s *Store) put(chosen *batch, live int) error {
	for {
		generation, err := s.log.Write(chosen.payload, live)
		s.mu.Lock()
		if s.unlooked += len(chosen.payload); err != nil || s.full || s.unlooked > freeFloor/4 {
			s.full, s.unlooked = disk.IsFull(err) || s.files.Free() < freeFloor+int64(len(chosen.payload)), 0
		}
		closed := s.closed
		if err == nil {
			s.home(generation, chosen.programs, chosen.moved, chosen.turns)
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
		if s.shrink() {
			continue
		}
		s.clock.Sleep(s.bounds.Load().DiskLimit() / 10)
	}
}

// shrink drops the oldest file if nothing in it counts any more.
func (s *Store) shrink() bool {
	oldest := s.log.Oldest()
	s.mu.Lock()
	s.forget(s.now())
	held := s.index[oldest]
	live := held != nil && (slices.ContainsFunc(held.programs, func(p *program) bool { return !p.gone && p.home == oldest }) ||
		slices.ContainsFunc(held.turns, func(one *turn) bool { return !one.gone && one.home == oldest }))
	s.mu.Unlock()
	return !live && oldest != s.log.Last() && s.log.Drop() == nil
}

// refill adds some of what the oldest file still holds to the batch, where that
// file is due, and tells whether it can be dropped once the batch is written.
func (s *Store) refill() bool {
	oldest, due := s.log.Tight()
	if !due && s.purge > 0 {
		oldest = s.log.Oldest()
		due = oldest <= s.purge && oldest > 0
	}
	if !due || oldest == s.log.Last() {
		if s.purge > 0 && oldest > s.purge {
			s.purge = 0
		}
		return false
	}
	held, ok := s.index[oldest]
	if !ok {
		held = &contents{}
	}
	for len(held.programs) > 0 && len(s.forming.payload) < refillStep {
		p := held.programs[0]
		held.programs = held.programs[1:]
		if !p.gone && p.home == oldest {
			s.write(p.state(p.until), nil, nil)
			s.forming.moved = append(s.forming.moved, p)
		}
	}
	for len(held.turns) > 0 && len(s.forming.payload) < refillStep {
		one := held.turns[0]
		held.turns = held.turns[1:]
		if !one.gone && one.home == oldest {
			s.write(&Record{Program: one.program.id, UntilMs: one.program.until, Turns: []*Turn{one.message(one.until)}}, nil, []*turn{one})
		}
	}
	if len(held.programs) > 0 || len(held.turns) > 0 {
		s.bell.Ring()
		return false
	}
	s.mark()
	return true
}

// Close ends the committer once what is queued is written.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.bell.Ring()
	s.news.Ring()
}

func (s *Store) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// identify takes the disk's identity and any newer set it goes by; the caller
// holds the lock.
func (s *Store) identify() {
	id, set := s.local()
	if id == "" || set == nil {
		return
	}
	if s.id != id {
		s.id, s.sets, s.whole = id, []*register.DiskSet{set}, 0
		if set.Stamp == 1 && entryIn(set, id) != nil && len(s.programs) == 0 && !s.damaged {
			s.whole = 1 // it was there when nothing had been written
		}
		s.mark()
		s.news.Ring()
		return
	}
	s.adopt(set)
}

// adopt takes a newer set; the caller holds the lock.
func (s *Store) adopt(set *register.DiskSet) {
	if s.id == "" || set == nil || set.Stamp <= s.set().GetStamp() || set.Cluster != s.set().GetCluster() {
		return
	}
	s.sets = append(slices.Clone(s.sets), set)
	for len(s.sets) > setsKept && s.sets[1].Stamp <= s.whole {
		s.sets = s.sets[1:]
	}
	s.peers = map[string]*peer{}
	s.mark()
	s.news.Ring()
	s.counters.Add("ledger_sets", 1)
}

// judge looks at whom a message is meant for; the caller holds the lock.
func (s *Store) judge(target *Target) *Ack {
	if s.id == "" || target.GetStamp() > s.set().GetStamp() {
		s.identify()
	}
	set := s.set()
	switch {
	case s.broken != nil:
		return &Ack{Why: "broken"}
	case s.id == "" || target.GetDisk() != s.id:
		return &Ack{Why: "blank"}
	case target.Stamp < set.Stamp:
		return &Ack{Why: "set", Set: set}
	case target.Stamp > set.Stamp:
		return &Ack{Why: "behind"}
	case entryIn(set, s.id) == nil:
		return &Ack{Why: "set", Set: set}
	}
	return &Ack{}
}

// room tells why nothing more can be taken in, if so.
func (s *Store) room() string {
	switch {
	case s.full && s.files.Free() < freeFloor:
		s.counters.Add("ledger_declined_full", 1)
		return "full"
	case len(s.forming.payload) > queueLimit:
		s.counters.Add("ledger_declined_stalled", 1)
		return "stalled"
	}
	return ""
}

// Ready tells what keeps the store from serving, if anything.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broken != nil:
		return base.Busy(503, "ledger_broken", 5, "the ledger's log failed: %v; restart the process, and replace the disk if it fails again", s.broken)
	case s.full && s.files.Free() < freeFloor:
		return base.Busy(503, "ledger_full", 5, "there is no room for the ledger; free space in its file system or raise disk_limit_bytes")
	}
	return nil
}

// NotifySetChange says that the disk may have a newer set.
func (s *Store) NotifySetChange() { s.news.Ring() }

// Run keeps the store whole and forgets what is over, until it is closed.
func (s *Store) Run() {
	s.clock.Go(s.sweep)
	s.clock.Go(s.seek)
	s.follow()
}

func (s *Store) sweep() {
	for !s.isClosed() {
		s.clock.Sleep(s.bounds.Load().Recover / 2)
		s.mu.Lock()
		programs, turns := s.forget(s.now())
		s.mu.Unlock()
		s.counters.Add("ledger_programs_forgotten", int64(programs))
		s.counters.Add("ledger_turns_forgotten", int64(turns))
	}
}
