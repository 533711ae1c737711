package disk

import (
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

// pendingEntry is a log entry that is queued or being written. Its err is set before
// done fires.
type pendingEntry struct {
	entry []byte
	done  base.Signal
	err   error
}

// enqueue applies an entry in memory and queues it for the committer, or returns
// the reason why it is declined. The caller holds the lock and must not acknowledge
// the entry before done fires. Entries with freesSpace are accepted on a full disk.
func (s *Store) enqueue(kind byte, message proto.Message, freesSpace bool) (*pendingEntry, string) {
	if s.failure != nil {
		return nil, "broken"
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	// Each batch is written twice, and the next checkpoint may need as much space as the
	// current one and one copy of the log.
	freeBytes := s.files.FreeBytes() - 2*int64(s.queuedBytes) - int64(s.checkpointBytes+s.logBytes/2)
	reserved := int64(s.checkpointBytes+s.minLogBytes/4) / reserveDivisor
	if !freesSpace && (s.full || freeBytes < int64(2*len(payload)+sectorSize)+reserved) {
		s.counters.Add("disk_declined_full", 1)
		if s.logBytes+s.previousLogBytes > s.checkpointBytes/4+16*sectorSize && !s.checkpointRequested {
			s.checkpointRequested = true // a new checkpoint may need less space than the logs
			s.commitNotifier.Notify()
		}
		return nil, "full"
	}
	if s.queuedBytes > maxQueuedBytes {
		s.counters.Add("disk_declined_stalled", 1)
		return nil, "stalled"
	}
	if err := s.applyEntry(kind, payload); err != nil {
		panic(err)
	}
	p := &pendingEntry{entry: encodeEntry(kind, payload), done: s.clock.NewSignal()}
	s.queue = append(s.queue, p)
	s.queuedBytes += len(p.entry)
	s.commitNotifier.Notify()
	return p, ""
}

// runCommitter writes queued entries in batches, and checkpoints when they are due,
// until the store is closed.
func (s *Store) runCommitter() {
	defer s.committerDone.Fire()
	for {
		s.mu.Lock()
		wakeup := s.commitNotifier.Next()
		batch := s.queue
		s.queue = nil
		closed := s.closed
		checkpointDue := s.checkpointRequested || s.logBytes > s.checkpointThreshold()
		s.checkpointRequested = false
		s.mu.Unlock()
		if len(batch) == 0 && !checkpointDue {
			if closed {
				return
			}
			wakeup.Wait(-1)
			continue
		}
		if len(batch) > 0 {
			writeErr := s.writeBatch(batch)
			s.recordFailure(writeErr)
			for _, p := range batch {
				p.err = writeErr
				p.done.Fire()
			}
		}
		if checkpointDue && !s.hasFailed() {
			if err := s.writeCheckpoint(); !isFull(err) {
				s.recordFailure(err)
			}
		}
	}
}

// checkpointThreshold returns the size of the log above which a checkpoint is due.
// All disks of a set write the same entries, so the threshold is varied by the
// disk's id; otherwise all would write their checkpoints at the same time.
func (s *Store) checkpointThreshold() int {
	return int(float64(max(s.minLogBytes, 4*s.checkpointBytes)) * (1 + float64(base.Hash64("turn", s.id)%1024)/1024))
}

// recordFailure records an error, unless it is nil. It ends the disk's vote.
func (s *Store) recordFailure(err error) {
	if err != nil {
		s.mu.Lock()
		s.failure = err
		s.mu.Unlock()
		s.counters.Add("disk_broken", 1)
	}
}

func (s *Store) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure != nil
}

// writeBatch writes a batch to the log and syncs it. If the disk is full, it
// truncates what was written, tries to replace the logs by a new checkpoint, and
// retries; no other batch is written after a partial one. Any other error is final,
// since what the disk then holds is unknown until the files are read again.
func (s *Store) writeBatch(batch []*pendingEntry) error {
	payload := []byte{}
	for _, p := range batch {
		payload = append(payload, p.entry...)
	}
	defer func() {
		s.mu.Lock()
		s.queuedBytes -= len(payload)
		s.full = false
		s.mu.Unlock()
	}()
	for {
		s.mu.Lock()
		generation, number, offset, closed := s.generation, s.lastBatch+1, s.logBytes, s.closed
		s.mu.Unlock()
		data := encodeBatch(generation, number, payload, offset)
		err := s.files.Append(logFileName(generation), data)
		if err == nil {
			err = s.files.Sync(logFileName(generation))
		}
		if err == nil {
			s.counters.Add("disk_syncs", 1)
			s.counters.Add("disk_records", int64(len(batch)))
			s.mu.Lock()
			s.lastBatch, s.logBytes = number, offset+len(data)
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
		if err := s.files.Truncate(logFileName(generation), offset); err != nil {
			return errors.Trace(err)
		}
		if err := s.writeCheckpoint(); err != nil {
			if !isFull(err) {
				return err
			}
			s.clock.Sleep(base.DefaultBounds().DiskTimeout() / 10)
		}
	}
}

// writeCheckpoint writes the whole state as the checkpoint of the next generation
// and then empties that generation's log. The previous checkpoint and its log remain
// valid until the new one is synced, and stay in use if there is no space for it.
func (s *Store) writeCheckpoint() error {
	s.mu.Lock()
	next, lastBatch := s.generation+1, s.lastBatch
	s.mu.Unlock()
	payload := s.encodeCheckpoint()
	if err := s.writeCheckpointFile(next, lastBatch, payload); err != nil {
		if isFull(err) {
			_ = s.files.Truncate(checkpointFileName(next), 0)
		}
		return err
	}
	// No sync is needed here: batches left in this file are of an older generation and
	// are ignored, and the sync of the first batch covers the truncation.
	if err := s.files.Truncate(logFileName(next), 0); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	s.previousLogBytes = s.logBytes
	s.generation, s.checkpointBytes, s.logBytes = next, len(payload), 0
	s.mu.Unlock()
	return nil
}

// writeCheckpointFile writes and syncs a checkpoint that covers all batches up to
// lastBatch.
func (s *Store) writeCheckpointFile(generation, lastBatch uint64, payload []byte) error {
	if err := s.files.Replace(checkpointFileName(generation), encodeRecord(generation, lastBatch, 0, payload)); err != nil {
		return errors.Trace(err)
	}
	s.counters.Add("disk_frames", 1)
	return errors.Trace(s.files.Sync(checkpointFileName(generation)))
}

// awaitSync waits until an entry is synced. It returns "" or the reason for the
// failure, which is part of the replies to the cores.
func (s *Store) awaitSync(p *pendingEntry, timeout time.Duration) string {
	if !p.done.Wait(timeout) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.full {
			return "full"
		}
		return "stalled"
	}
	if p.err != nil {
		return "broken"
	}
	return ""
}
