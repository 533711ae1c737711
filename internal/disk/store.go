// The store keeps a storage machine's replica: two slots written in turn
// with a short checksummed log between. A record is in force once the log is
// synced; a single committer task owns the files, so that many records share
// one sync. When the log grows past its ratio to the frame, the whole state
// is written to the other slot and a new log begun; the former slot and log
// stay until the turn after, so a slot that cannot be read falls back on
// them. How a torn tail is told from rot is in record.go.

// Package disk is the durable part of a storage machine: a replica of the
// register's shards (Store), the log of the ledger (Segments), and the call
// interface by which the cores reach the replica (Service). A record counts as
// stored only after its file has been synced.
package disk

import (
	"encoding/binary"
	"maps"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	logFloor     = 4 << 20
	queueLimit   = 32 << 20
	keptBackPart = 16
)

const (
	kindFormat byte = iota + 1
	kindPromise
	kindInstall
	kindAppend
	kindAdopt
	kindPart
)

// replica is this machine's copy of one shard.
type replica struct {
	consensus.Shard
	values map[string][]byte
	// touched is when this process took in the newest of it.
	touched time.Duration
	// staged is what has come of a content that is being sent in parts, encoded
	// the content as it is being read in parts.
	staged  *Staged
	encoded *encoding
}

type pending struct {
	entry  []byte
	done   base.Signal
	failed error
}

// Store is one disk's state and its committer.
type Store struct {
	clock    base.Clock
	files    Files
	counters *base.Counters

	mu         sync.Mutex
	id         string
	set        *register.DiskSet
	replicas   map[uint32]*replica
	generation uint64
	number     uint64
	frameBytes int
	logBytes   int
	formerLog  int
	queue      []*pending
	queued     int
	bell       *base.Bell
	squeeze    bool
	full       bool
	broken     error
	closed     bool
	ended      base.Signal
	floor      int
	// learnt is called at each newer identity or set, under the lock.
	learnt func()
}

// Open reads what the files hold and starts the committer.
func Open(clock base.Clock, files Files, counters *base.Counters) (*Store, error) {
	s := &Store{clock: clock, files: files, counters: counters, replicas: map[uint32]*replica{}, bell: base.NewBell(clock), ended: clock.NewSignal(), floor: logFloor}
	if err := s.load(); err != nil {
		return nil, err
	}
	clock.Go(s.commit)
	return s, nil
}

// load takes the newest slot that can be read and the logs that follow it.
// Numbers run on through all logs, so a part that is missing shows. Then the
// state is written anew: what a sync that failed left in memory only, and
// what was mended or cut, rests on nothing that was there before.
func (s *Store) load() error {
	best, unread, err := s.readSlots()
	if err != nil {
		return err
	}
	if best.payload != nil {
		if err := s.readFrame(best.payload); err != nil {
			return errors.Annotate(err, slotName(best.generation))
		}
	}
	s.generation, s.number, s.frameBytes = best.generation, best.number, len(best.payload)
	first, err := s.replay(s.generation)
	if err != nil {
		return err
	}
	later, err := s.replay(s.generation + 1)
	if err != nil {
		return err
	}
	s.logBytes = first
	if unread != "" && best.payload == nil && s.number == 0 {
		return errors.Annotatef(errDamaged, "%s cannot be read and no other slot is left", unread)
	}
	if s.number == 0 {
		return nil
	}
	if later > 0 {
		s.generation, s.logBytes = s.generation+1, later
		return s.writeSlot(s.generation, s.number, s.encodeFrame())
	}
	if err := s.turn(); err != nil && !isFull(err) {
		return err
	}
	return nil
}

// readSlots finds the newest slot; unread names one that cannot be read.
func (s *Store) readSlots() (best opened, unread string, err error) {
	for turn := uint64(0); turn < 2; turn++ {
		name := slotName(turn)
		data, err := s.files.Read(name)
		if err != nil {
			return best, "", errors.Trace(err)
		}
		found, _, err := open(data)
		switch {
		case err == nil:
			if found.generation > best.generation {
				best = found
			}
		case foreign(err):
			return best, "", errors.Annotate(err, name)
		case !blank(data):
			unread = name
		}
	}
	return best, unread, nil
}

// replay puts a log's batches in force, mends the end of the file and tells
// where it is: a torn batch is cut off, one whose second copy is torn gets it
// again.
func (s *Store) replay(generation uint64) (int, error) {
	name := logName(generation)
	data, err := s.files.Read(name)
	if err != nil {
		return 0, errors.Trace(err)
	}
	log, err := readLog(data, generation, s.number)
	if err != nil {
		return 0, errors.Annotate(err, name)
	}
	for _, batch := range log.batches {
		if err := s.applyBatch(batch.payload); err != nil {
			return 0, errors.Annotatef(err, "%s, batch %d", name, batch.number)
		}
		s.number = batch.number
	}
	if log.mended > 0 {
		s.counters.Add("disk_mended", int64(log.mended))
	}
	if log.end == len(data) && log.again == nil {
		return log.end, nil
	}
	if log.end < len(data) && log.end > 0 {
		s.counters.Add("disk_tails_cut", 1)
	}
	if err := s.files.Trim(name, log.end); err != nil {
		return 0, errors.Trace(err)
	}
	end := log.end
	if log.again != nil {
		switch err := s.files.Append(name, log.again); {
		case err == nil:
			end += len(log.again)
		case !isFull(err):
			return 0, errors.Trace(err)
		default:
			if err := s.files.Trim(name, end); err != nil {
				return 0, errors.Trace(err)
			}
		}
	}
	return end, errors.Trace(s.files.Sync(name))
}

// applyBatch puts a batch's entries in force one by one.
func (s *Store) applyBatch(payload []byte) error {
	for len(payload) > 0 {
		if len(payload) < entryHead || len(payload) < entryHead+int(binary.LittleEndian.Uint32(payload[1:])) {
			return errDamaged
		}
		size := int(binary.LittleEndian.Uint32(payload[1:]))
		if err := s.apply(payload[0], payload[entryHead:entryHead+size]); err != nil {
			return err
		}
		payload = payload[entryHead+size:]
	}
	return nil
}

func (s *Store) replicaOf(slot uint32) *replica {
	held, ok := s.replicas[slot]
	if !ok {
		held = &replica{values: map[string][]byte{}, touched: s.clock.Now()}
		s.replicas[slot] = held
	}
	return held
}

func (r *replica) put(puts []*register.Put) {
	for _, put := range puts {
		if put.Gone {
			delete(r.values, put.Key)
		} else {
			r.values[put.Key] = put.Value
		}
	}
}

// apply puts one entry in force. A log may hold again what the slot before it
// covers, so what is already in force changes nothing.
func (s *Store) apply(kind byte, payload []byte) error {
	switch kind {
	case kindFormat:
		var message register.DiskState
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		if s.id == "" {
			s.id, s.set = message.Id, message.Set
			s.tell()
		}
	case kindAdopt:
		var message register.DiskSet
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		if s.set.GetStamp() > message.Stamp {
			return nil
		}
		s.set = &message
		s.tell()
		if !s.member() {
			s.replicas = map[uint32]*replica{}
		}
	case kindPromise:
		var message register.Claim
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Slot)
		held.Shard = held.Promise(message.Epoch, message.Owner)
	case kindInstall:
		var message register.InstallRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Claim.Slot)
		next, taken := held.Install(message.Claim.Epoch, message.Claim.Owner, message.Seq)
		if !taken {
			return nil
		}
		s.install(held, next, message.Puts)
	case kindPart:
		var message register.InstallPartRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		s.applyPart(&message)
	case kindAppend:
		var message register.AppendRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Claim.Slot)
		for _, entry := range message.Entries {
			next, taken := held.Append(message.Claim.Epoch, entry.Seq)
			if !taken {
				continue
			}
			held.Shard, held.encoded = next, nil
			held.put(entry.Puts)
			held.touched = s.clock.Now()
		}
	default:
		return errors.Errorf("unknown record kind %d", kind)
	}
	return nil
}

func replicaTime(held *replica) string { return string(held.values[register.TimeKey]) }

func (r *replica) puts() []*register.Put {
	puts := make([]*register.Put, 0, len(r.values))
	for _, key := range base.SortedKeys(r.values) {
		puts = append(puts, &register.Put{Key: key, Value: r.values[key]})
	}
	return puts
}

// encodeFrame writes the whole state down. Values are never changed in place,
// so the lock is held only while the tables are copied.
func (s *Store) encodeFrame() []byte {
	s.mu.Lock()
	frame := &Frame{Id: s.id, Set: s.set}
	copies := make([]*replica, 0, len(s.replicas))
	slots := base.SortedKeys(s.replicas)
	for _, slot := range slots {
		held := *s.replicas[slot]
		held.values = maps.Clone(held.values)
		copies = append(copies, &held)
	}
	s.mu.Unlock()
	for place, held := range copies {
		frame.Replicas = append(frame.Replicas, &Replica{Slot: slots[place], Promised: held.Promised, Owner: held.Leader,
			Installed: held.Installed, Seq: held.Seq, Puts: held.puts(), Staged: held.staged})
	}
	payload, err := proto.Marshal(frame)
	if err != nil {
		panic(err)
	}
	return payload
}

func (s *Store) readFrame(payload []byte) error {
	var frame Frame
	if err := proto.Unmarshal(payload, &frame); err != nil {
		return errors.Trace(err)
	}
	s.id, s.set = frame.Id, frame.Set
	for _, found := range frame.Replicas {
		held := s.replicaOf(found.Slot)
		held.Shard = consensus.Shard{Promised: found.Promised, Leader: found.Owner, Installed: found.Installed, Seq: found.Seq}
		held.staged = found.Staged
		held.put(found.Puts)
	}
	return nil
}

// enqueue puts a record in line for the committer and into force in memory;
// the caller holds the lock and must not answer before done fires.
func (s *Store) enqueue(kind byte, message proto.Message, freeing bool) (*pending, string) {
	if s.broken != nil {
		return nil, "broken"
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	free := s.files.Free() - 2*int64(s.queued) - int64(s.frameBytes+s.logBytes/2)
	keptBack := int64(s.frameBytes+s.floor/4) / keptBackPart
	if !freeing && (s.full || free < int64(2*len(payload)+sector)+keptBack) {
		s.counters.Add("disk_declined_full", 1)
		if s.logBytes+s.formerLog > s.frameBytes/4+16*sector && !s.squeeze {
			s.squeeze = true // a new frame may need less than the logs
			s.bell.Ring()
		}
		return nil, "full"
	}
	if s.queued > queueLimit {
		s.counters.Add("disk_declined_stalled", 1)
		return nil, "stalled"
	}
	if err := s.apply(kind, payload); err != nil {
		panic(err)
	}
	put := &pending{entry: entryOf(kind, payload), done: s.clock.NewSignal()}
	s.queue = append(s.queue, put)
	s.queued += len(put.entry)
	s.bell.Ring()
	return put, ""
}

func (s *Store) commit() {
	defer s.ended.Fire()
	for {
		s.mu.Lock()
		next := s.bell.Next()
		batch := s.queue
		s.queue = nil
		closed := s.closed
		turnOver := s.squeeze || s.logBytes > s.turnAt()
		s.squeeze = false
		s.mu.Unlock()
		if len(batch) == 0 && !turnOver {
			if closed {
				return
			}
			next.Wait(-1)
			continue
		}
		if len(batch) > 0 {
			failed := s.write(batch)
			s.fail(failed)
			for _, put := range batch {
				put.failed = failed
				put.done.Fire()
			}
		}
		if turnOver && !s.isBroken() {
			if err := s.turn(); !isFull(err) {
				s.fail(err)
			}
		}
	}
}

// turnAt is how long the log may grow. Disks of one set see the same records,
// so each has a ratio of its own, by its id, and they do not turn at once.
func (s *Store) turnAt() int {
	return int(float64(max(s.floor, 4*s.frameBytes)) * (1 + float64(base.Hash64("turn", s.id)%1024)/1024))
}

func (s *Store) fail(err error) {
	if err != nil {
		s.mu.Lock()
		s.broken = err
		s.mu.Unlock()
		s.counters.Add("disk_broken", 1)
	}
}

func (s *Store) isBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken != nil
}

// write has a batch synced. Where the disk has no room, what was written of
// it is cut off again, a new frame is tried in place of the logs, and the
// batch waits; nothing follows a partial one. Any other failure is final: what
// the disk then holds is only known once it is read again.
func (s *Store) write(batch []*pending) error {
	payload := []byte{}
	for _, put := range batch {
		payload = append(payload, put.entry...)
	}
	defer func() {
		s.mu.Lock()
		s.queued -= len(payload)
		s.full = false
		s.mu.Unlock()
	}()
	for {
		s.mu.Lock()
		generation, number, offset, closed := s.generation, s.number+1, s.logBytes, s.closed
		s.mu.Unlock()
		data := sealTwice(generation, number, payload, offset)
		err := s.files.Append(logName(generation), data)
		if err == nil {
			err = s.files.Sync(logName(generation))
		}
		if err == nil {
			s.counters.Add("disk_syncs", 1)
			s.counters.Add("disk_records", int64(len(batch)))
			s.mu.Lock()
			s.number, s.logBytes = number, offset+len(data)
			s.mu.Unlock()
			return nil
		}
		if !isFull(err) || closed {
			return errors.Trace(err)
		}
		s.counters.Add("disk_met_full", 1)
		s.mu.Lock()
		s.full = true
		s.mu.Unlock()
		if err := s.files.Trim(logName(generation), offset); err != nil {
			return errors.Trace(err)
		}
		if err := s.turn(); err != nil {
			if !isFull(err) {
				return err
			}
			s.clock.Sleep(base.DefaultBounds().DiskLimit() / 10)
		}
	}
}

// turn writes the whole state to the other slot, and only then empties the
// log that will follow it. Until the slot is synced the former one and its log
// stand; where there is no room for it, they go on standing.
func (s *Store) turn() error {
	s.mu.Lock()
	next, number := s.generation+1, s.number
	s.mu.Unlock()
	payload := s.encodeFrame()
	if err := s.writeSlot(next, number, payload); err != nil {
		if isFull(err) {
			_ = s.files.Trim(slotName(next), 0)
		}
		return err
	}
	// What is left in the log is of an older generation; the first batch's sync
	// covers this too.
	if err := s.files.Trim(logName(next), 0); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	s.formerLog = s.logBytes
	s.generation, s.frameBytes, s.logBytes = next, len(payload), 0
	s.mu.Unlock()
	return nil
}

func (s *Store) writeSlot(generation, number uint64, payload []byte) error {
	if err := s.files.Replace(slotName(generation), seal(generation, number, 0, payload)); err != nil {
		return errors.Trace(err)
	}
	s.counters.Add("disk_frames", 1)
	return errors.Trace(s.files.Sync(slotName(generation)))
}

// Close ends the committer once what is queued is written.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.bell.Ring()
}

// wait gives the committer a bounded time.
func (s *Store) wait(put *pending, limit time.Duration) string {
	if !put.done.Wait(limit) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.full {
			return "full"
		}
		return "stalled"
	}
	if put.failed != nil {
		return "broken"
	}
	return ""
}

// Ready reports whether the disk has a vote.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broken != nil:
		return base.Busy(503, "disk_broken", 5, "the disk failed: %v; restart the process, and replace the disk if it fails again", s.broken)
	case s.full:
		return base.Busy(503, "disk_full", 5, "the disk is full; free space in its file system or raise disk_limit_bytes")
	case s.id == "" || s.set == nil:
		return base.Busy(503, "disk_blank", 5, "the disk is blank and has no vote")
	case !s.member():
		return base.Busy(503, "disk_retired", 5, "the disk is not in the disk set")
	}
	return nil
}

// ID is the disk's id, "" while it is blank.
func (s *Store) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Tell calls back whenever Identity tells something newer; it must not block.
func (s *Store) Tell(learnt func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnt = learnt
}

func (s *Store) tell() {
	if s.learnt != nil {
		s.learnt()
	}
}

// Identity is the disk's id and the newest set it goes by; both are empty on a
// blank disk.
func (s *Store) Identity() (id string, set *register.DiskSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.set
}

// Cluster is the cluster the disk is of, or was.
func (s *Store) Cluster() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.GetCluster()
}

// Used counts the keys the disk holds.
func (s *Store) Used() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, held := range s.replicas {
		count += len(held.values)
	}
	return count
}
