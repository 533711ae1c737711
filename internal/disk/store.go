// The store keeps a storage machine's replica: two slots written in turn
// with a short checksummed log between. A record is in force once the log is
// synced; a single committer task owns the files, so that many records share
// one sync. When the log grows past its ratio to the frame, the whole state
// is written to the other slot and a new log begun; the former slot and log
// stay until the turn after, so a slot that cannot be read falls back on
// them. A log that merely stops short was torn before anything in it was
// answered and is cut there; a record that is whole but fails its checksum
// was answered and damaged, and the disk then has no vote.
package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"strconv"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	headerSize   = 20
	logFloor     = 1 << 20
	queueLimit   = 32 << 20
	keptBackPart = 16
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

const (
	kindFormat byte = iota + 1
	kindPromise
	kindInstall
	kindAppend
	kindAdopt
)

type replica struct {
	promised  uint64
	owner     string
	installed uint64
	seq       uint64
	values    map[string][]byte
}

type pending struct {
	record []byte
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
	frameBytes int
	logBytes   int
	queue      []*pending
	queued     int
	bell       *base.Bell
	broken     error
	closed     bool
}

// Open reads what the files hold and starts the committer.
func Open(clock base.Clock, files Files, counters *base.Counters) (*Store, error) {
	s := &Store{clock: clock, files: files, counters: counters, replicas: map[uint32]*replica{}, bell: base.NewBell(clock)}
	if err := s.load(); err != nil {
		return nil, err
	}
	clock.Go(s.commit)
	return s, nil
}

func slotName(generation uint64) string { return "slot-" + strconv.FormatUint(generation%2, 10) }
func logName(generation uint64) string  { return "log-" + strconv.FormatUint(generation%2, 10) }

func seal(generation uint64, kind byte, payload []byte) []byte {
	record := make([]byte, headerSize+len(payload))
	binary.LittleEndian.PutUint32(record[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(record[4:], generation)
	record[12] = kind
	binary.LittleEndian.PutUint32(record[13:], crc32.Checksum(record[0:13], crcTable))
	copy(record[headerSize:], payload)
	body := crc32.Checksum(payload, crcTable)
	record[17], record[18], record[19] = byte(body), byte(body>>8), byte(body>>16)
	return record
}

type opened struct {
	generation uint64
	kind       byte
	payload    []byte
}

var errTorn = errors.New("record stops short")
var errDamaged = errors.New("record damaged")

func open(data []byte) (opened, int, error) {
	if len(data) < headerSize {
		return opened{}, 0, errTorn
	}
	if binary.LittleEndian.Uint32(data[13:]) != crc32.Checksum(data[0:13], crcTable) {
		if len(bytes.Trim(data, "\x00")) == 0 {
			return opened{}, 0, errTorn
		}
		return opened{}, 0, errDamaged
	}
	size := int(binary.LittleEndian.Uint32(data[0:]))
	if len(data) < headerSize+size {
		return opened{}, 0, errTorn
	}
	payload := data[headerSize : headerSize+size]
	body := crc32.Checksum(payload, crcTable)
	if data[17] != byte(body) || data[18] != byte(body>>8) || data[19] != byte(body>>16) {
		return opened{}, 0, errDamaged
	}
	return opened{binary.LittleEndian.Uint64(data[4:]), data[12], payload}, headerSize + size, nil
}

func (s *Store) load() error {
	var best opened
	for turn := uint64(0); turn < 2; turn++ {
		data, err := s.files.Read(slotName(turn))
		if err != nil {
			return errors.Trace(err)
		}
		if found, _, err := open(data); err == nil && found.generation > best.generation {
			best = found
		}
	}
	s.generation = best.generation
	if best.generation > 0 {
		if err := s.readFrame(best.payload); err != nil {
			return errors.Annotate(err, "slot")
		}
		s.frameBytes = len(best.payload)
	}
	cut, err := s.replay(best.generation)
	if err != nil {
		return err
	}
	s.logBytes = cut
	later, err := s.replay(best.generation + 1)
	if err != nil || later == 0 {
		return err
	}
	payload := s.writeFrame()
	s.generation, s.frameBytes, s.logBytes = best.generation+1, len(payload), later
	return s.writeSlot(s.generation, payload)
}

func (s *Store) replay(generation uint64) (int, error) {
	name := logName(generation)
	data, err := s.files.Read(name)
	if err != nil {
		return 0, errors.Trace(err)
	}
	place := 0
	for place < len(data) {
		found, size, err := open(data[place:])
		if err == errTorn {
			break
		}
		if err != nil {
			return 0, errors.Annotatef(err, "%s at byte %d", name, place)
		}
		if found.generation != generation {
			return 0, nil
		}
		if err := s.apply(found.kind, found.payload); err != nil {
			return 0, errors.Annotatef(err, "%s at byte %d", name, place)
		}
		place += size
	}
	if place < len(data) {
		if err := s.files.Replace(name, data[:place]); err != nil {
			return 0, errors.Trace(err)
		}
		if err := s.files.Sync(name); err != nil {
			return 0, errors.Trace(err)
		}
	}
	return place, nil
}

func (s *Store) replicaOf(slot uint32) *replica {
	held, ok := s.replicas[slot]
	if !ok {
		held = &replica{values: map[string][]byte{}}
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

func (s *Store) apply(kind byte, payload []byte) error {
	switch kind {
	case kindFormat:
		var message register.DiskState
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		s.id, s.set = message.Id, message.Set
	case kindAdopt:
		var message register.DiskSet
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		s.set = &message
		if !s.member() {
			s.replicas = map[uint32]*replica{}
		}
	case kindPromise:
		var message register.Claim
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Slot)
		held.promised, held.owner = message.Epoch, message.Owner
	case kindInstall:
		var message register.InstallRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Claim.Slot)
		held.promised, held.owner = message.Claim.Epoch, message.Claim.Owner
		held.installed, held.seq, held.values = message.Claim.Epoch, message.Seq, map[string][]byte{}
		held.put(message.Puts)
	case kindAppend:
		var message register.AppendRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Claim.Slot)
		for _, entry := range message.Entries {
			held.put(entry.Puts)
			held.seq = entry.Seq
		}
	default:
		return errors.Errorf("unknown record kind %d", kind)
	}
	return nil
}

func (r *replica) puts() []*register.Put {
	puts := make([]*register.Put, 0, len(r.values))
	for _, key := range base.SortedKeys(r.values) {
		puts = append(puts, &register.Put{Key: key, Value: r.values[key]})
	}
	return puts
}

func (s *Store) writeFrame() []byte {
	frame := &Frame{Id: s.id, Set: s.set}
	for _, slot := range base.SortedKeys(s.replicas) {
		held := s.replicas[slot]
		frame.Replicas = append(frame.Replicas, &Replica{Slot: slot, Promised: held.promised, Owner: held.owner,
			Installed: held.installed, Seq: held.seq, Puts: held.puts()})
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
		held.promised, held.owner, held.installed, held.seq = found.Promised, found.Owner, found.Installed, found.Seq
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
	free := s.files.Free() - int64(s.queued) - int64(s.frameBytes+s.logBytes)
	keptBack := int64(s.frameBytes+logFloor) / keptBackPart
	if !freeing && free < int64(len(payload)+headerSize)+keptBack {
		s.counters.Add("disk_declined_full", 1)
		return nil, "full"
	}
	if s.queued > queueLimit {
		s.counters.Add("disk_declined_stalled", 1)
		return nil, "stalled"
	}
	if err := s.apply(kind, payload); err != nil {
		panic(err)
	}
	put := &pending{record: seal(s.generation, kind, payload), done: s.clock.NewSignal()}
	s.queue = append(s.queue, put)
	s.queued += len(put.record)
	s.bell.Ring()
	return put, ""
}

func (s *Store) commit() {
	for {
		s.mu.Lock()
		next := s.bell.Next()
		batch := s.queue
		s.queue = nil
		closed := s.closed
		turnOver := s.logBytes > max(logFloor, 2*s.frameBytes)
		s.mu.Unlock()
		if len(batch) == 0 {
			if closed {
				return
			}
			next.Wait(-1)
			continue
		}
		err := s.write(batch, turnOver)
		s.mu.Lock()
		if err != nil {
			s.broken = err
			s.counters.Add("disk_broken", 1)
		}
		s.mu.Unlock()
		for _, put := range batch {
			put.failed = err
			put.done.Fire()
		}
	}
}

func (s *Store) write(batch []*pending, turnOver bool) error {
	size := 0
	for _, put := range batch {
		size += len(put.record)
	}
	defer func() {
		s.mu.Lock()
		s.queued -= size
		s.mu.Unlock()
	}()
	s.mu.Lock()
	generation := s.generation
	s.mu.Unlock()
	if err := s.files.Append(logName(generation), joinRecords(batch, size)); err != nil {
		return errors.Trace(err)
	}
	if err := s.files.Sync(logName(generation)); err != nil {
		return errors.Trace(err)
	}
	s.counters.Add("disk_syncs", 1)
	s.counters.Add("disk_records", int64(len(batch)))
	s.mu.Lock()
	s.logBytes += size
	s.mu.Unlock()
	if turnOver {
		return s.turn()
	}
	return nil
}

func joinRecords(batch []*pending, size int) []byte {
	data := make([]byte, 0, size)
	for _, put := range batch {
		data = append(data, put.record...)
	}
	return data
}

// turn writes the whole state to the other slot. The frame covers what is
// queued behind the log too, so those records count once the slot is synced.
func (s *Store) turn() error {
	s.mu.Lock()
	next := s.generation + 1
	s.mu.Unlock()
	if err := s.files.Replace(logName(next), nil); err != nil {
		return errors.Trace(err)
	}
	if err := s.files.Sync(logName(next)); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	payload := s.writeFrame()
	covered := s.queue
	s.queue = nil
	s.generation, s.frameBytes, s.logBytes = next, len(payload), 0
	for _, put := range covered {
		s.queued -= len(put.record)
	}
	s.mu.Unlock()
	err := s.writeSlot(next, payload)
	for _, put := range covered {
		put.failed = err
		put.done.Fire()
	}
	return err
}

func (s *Store) writeSlot(generation uint64, payload []byte) error {
	if err := s.files.Replace(slotName(generation), seal(generation, 0, payload)); err != nil {
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
		return base.Busy(503, "disk_broken", 5, "the disk failed: %v", s.broken)
	case s.id == "" || s.set == nil:
		return base.Busy(503, "disk_blank", 5, "the disk is blank and has no vote")
	case !s.member():
		return base.Busy(503, "disk_retired", 5, "the disk is not in the disk set")
	}
	return nil
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
