// Writing: what was queued together shares one sync; the slots are written in turn.

package disk

import (
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

type pending struct {
	entry  []byte
	done   base.Signal
	failed error
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
	free := s.files.FreeBytes() - 2*int64(s.queued) - int64(s.frameBytes+s.logBytes/2)
	keptBack := int64(s.frameBytes+s.floor/4) / keptBackPart
	if !freeing && (s.full || free < int64(2*len(payload)+sector)+keptBack) {
		s.counters.Add("disk_declined_full", 1)
		if s.logBytes+s.formerLog > s.frameBytes/4+16*sector && !s.squeeze {
			s.squeeze = true // a new frame may need less than the logs
			s.bell.Notify()
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
	s.bell.Notify()
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
		if err := s.files.Truncate(logName(generation), offset); err != nil {
			return errors.Trace(err)
		}
		if err := s.turn(); err != nil {
			if !isFull(err) {
				return err
			}
			s.clock.Sleep(base.DefaultBounds().DiskTimeout() / 10)
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
			_ = s.files.Truncate(slotName(next), 0)
		}
		return err
	}
	// What is left in the log is of an older generation; the first batch's sync
	// covers this too.
	if err := s.files.Truncate(logName(next), 0); err != nil {
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
