// Opening a store: the newest slot that can be read, and the log behind it.

package disk

import (
	"encoding/binary"

	"github.com/juju/errors"
)

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
	if err := s.files.Truncate(name, log.end); err != nil {
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
			if err := s.files.Truncate(name, end); err != nil {
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
