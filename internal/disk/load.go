package disk

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// load restores the newest readable checkpoint and replays the logs after it. Batch
// numbers are consecutive through all logs, so a missing batch is detected. The
// state is then written as a new checkpoint, so that it does not depend on what was
// read: after a failed sync, that may exist only in the kernel's page cache, and
// repaired or truncated logs are no longer needed.
func (s *Store) load() error {
	newest, unreadable, err := s.readNewestCheckpoint()
	if err != nil {
		return err
	}
	if newest.payload != nil {
		if err := s.restoreCheckpoint(newest.payload); err != nil {
			return errors.Annotate(err, checkpointFileName(newest.generation))
		}
	}
	s.generation, s.lastBatch, s.checkpointBytes = newest.generation, newest.number, len(newest.payload)
	currentLogBytes, err := s.replayLog(s.generation)
	if err != nil {
		return err
	}
	nextLogBytes, err := s.replayLog(s.generation + 1)
	if err != nil {
		return err
	}
	s.logBytes = currentLogBytes
	if unreadable != "" && newest.payload == nil && s.lastBatch == 0 {
		return errors.Annotatef(errCorrupt, "%s cannot be read and there is no other checkpoint", unreadable)
	}
	if s.lastBatch == 0 {
		return nil
	}
	if nextLogBytes > 0 {
		s.generation, s.logBytes = s.generation+1, nextLogBytes
		return s.writeCheckpointFile(s.generation, s.lastBatch, s.encodeCheckpoint())
	}
	if err := s.writeCheckpoint(); err != nil && !isFull(err) {
		return err
	}
	return nil
}

// readNewestCheckpoint returns the newest readable checkpoint, and the name of a
// checkpoint file that cannot be read, if any.
func (s *Store) readNewestCheckpoint() (newest record, unreadable string, err error) {
	for generation := uint64(0); generation < 2; generation++ {
		name := checkpointFileName(generation)
		data, err := s.files.Read(name)
		if err != nil {
			return newest, "", errors.Trace(err)
		}
		decoded, _, err := decodeRecord(data)
		switch {
		case err == nil:
			if decoded.generation > newest.generation {
				newest = decoded
			}
		case isForeign(err):
			return newest, "", errors.Annotate(err, name)
		case !isZero(data):
			unreadable = name
		}
	}
	return newest, unreadable, nil
}

// replayLog applies the batches of a log, repairs the end of the file and returns
// its size. A torn batch is truncated; if only the second copy of the last batch is
// torn, it is written again.
func (s *Store) replayLog(generation uint64) (int, error) {
	name := logFileName(generation)
	data, err := s.files.Read(name)
	if err != nil {
		return 0, errors.Trace(err)
	}
	contents, err := parseLog(data, generation, s.lastBatch)
	if err != nil {
		return 0, errors.Annotate(err, name)
	}
	for _, batch := range contents.batches {
		if err := s.applyBatch(batch.payload); err != nil {
			return 0, errors.Annotatef(err, "%s: batch %d", name, batch.number)
		}
		s.lastBatch = batch.number
	}
	if contents.damagedCopies > 0 {
		s.counters.Add("disk_mended", int64(contents.damagedCopies))
	}
	if contents.validSize == len(data) && contents.missingCopy == nil {
		return contents.validSize, nil
	}
	if contents.validSize < len(data) && contents.validSize > 0 {
		s.counters.Add("disk_tails_cut", 1)
	}
	if err := s.files.Truncate(name, contents.validSize); err != nil {
		return 0, errors.Trace(err)
	}
	end := contents.validSize
	if contents.missingCopy != nil {
		switch err := s.files.Append(name, contents.missingCopy); {
		case err == nil:
			end += len(contents.missingCopy)
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

// applyBatch applies the entries of a batch in order.
func (s *Store) applyBatch(payload []byte) error {
	for len(payload) > 0 {
		if len(payload) < entryHeaderSize || len(payload) < entryHeaderSize+int(binary.LittleEndian.Uint32(payload[1:])) {
			return errCorrupt
		}
		size := int(binary.LittleEndian.Uint32(payload[1:]))
		if err := s.applyEntry(payload[0], payload[entryHeaderSize:entryHeaderSize+size]); err != nil {
			return err
		}
		payload = payload[entryHeaderSize+size:]
	}
	return nil
}
