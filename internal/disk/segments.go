package disk

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/juju/errors"
)

const (
	// SegmentCount is the number of files of a segment log.
	SegmentCount = 16
	// SpareSegments is the number of files that ReclaimDue aims to keep empty.
	SpareSegments = 2
	segmentPrefix = "ledger-"
)

// segment is one file of a segment log; size is that of its valid part.
type segment struct {
	generation uint64
	size       int
}

// SegmentLog is a log in a ring of files, called segments, for data that expires with
// age. The user rewrites the live entries of the oldest segment into the newest one
// and then drops the oldest.
//
// Each batch is one record. It is written only after the previous batch was synced,
// and batch numbers increase by one through all segments, so a missing batch is
// detected. Unreadable data at the very end was never acknowledged, unless it is
// corrupt, and is truncated. Each batch also states how many older segments are live,
// so that a segment whose removal was interrupted by power loss is not reported as
// missing.
//
// A SegmentLog must be used by one goroutine at a time.
type SegmentLog struct {
	files           Files
	minSegmentBytes int
	lastBatch       uint64
	segments        []segment
}

// segmentFileName returns the name of a generation's file.
func segmentFileName(generation uint64) string {
	return segmentPrefix + strconv.FormatUint(generation%SegmentCount, 10)
}

// segmentFileNames returns the names of all files of a segment log.
func segmentFileNames() []string {
	names := []string{}
	for generation := uint64(0); generation < SegmentCount; generation++ {
		names = append(names, segmentFileName(generation))
	}
	return names
}

// scannedSegment is the result of reading one file.
type scannedSegment struct {
	segment
	records []record
	// intact means that no readable batch follows an unreadable part or a gap in the
	// numbers.
	intact     bool
	fileSize   int
	firstBatch uint64
	lastRecord record
}

// Location is where the payload of a batch begins in a segment log, or a part of it.
type Location struct {
	Generation uint64
	Offset     int // in the file of the segment
}

// ReadSegment reads a part of a payload that a segment log of these files has written. If the
// segment was dropped meanwhile, the result is an error or other data.
func ReadSegment(files Files, at Location, size int) ([]byte, error) {
	return files.ReadAt(segmentFileName(at.Generation), at.Offset, size)
}

// OpenSegmentLog opens a log and passes the payload of every readable batch to apply,
// oldest first. The result damage says that batches are corrupt or missing; the log
// is still read as far as possible. A new segment is started once the newest one has
// at least minSegmentBytes.
func OpenSegmentLog(files Files, minSegmentBytes int, apply func(at Location, payload []byte) error) (log *SegmentLog, damage error, err error) {
	s := &SegmentLog{files: files, minSegmentBytes: minSegmentBytes}
	scanned := []*scannedSegment{}
	for index := uint64(0); index < SegmentCount; index++ {
		segment, err := scanSegment(files, index)
		if err != nil {
			return nil, nil, errors.Annotate(err, segmentFileName(index))
		}
		if segment != nil {
			segment.records = nil // to save memory; each file is read again below
			scanned = append(scanned, segment)
		}
	}
	slices.SortFunc(scanned, func(a, b *scannedSegment) int { return cmp.Compare(a.generation, b.generation) })
	if len(scanned) > 0 {
		newest := scanned[len(scanned)-1]
		for oldestLive := newest.generation - uint64(newest.lastRecord.tag); scanned[0].generation < oldestLive; scanned = scanned[1:] {
			if err := emptyFile(files, segmentFileName(scanned[0].generation)); err != nil {
				return nil, nil, err
			}
		}
	}
	for index, segment := range scanned {
		name, last := segmentFileName(segment.generation), index == len(scanned)-1
		if s.lastBatch > 0 && segment.firstBatch != s.lastBatch+1 {
			damage = errors.Annotatef(errCorrupt, "%s: batch %d follows batch %d", name, segment.firstBatch, s.lastBatch)
		}
		s.lastBatch = segment.lastRecord.number
		if !segment.intact || !last && segment.size < segment.fileSize {
			damage = errors.Annotate(errCorrupt, name)
		}
		rescanned, err := scanSegment(files, segment.generation%SegmentCount)
		if err == nil && rescanned == nil {
			err = errCorrupt
		}
		if err != nil {
			return nil, nil, errors.Annotate(err, name)
		}
		for _, batch := range rescanned.records {
			if err := apply(Location{segment.generation, batch.offset + headerSize}, batch.payload); err != nil {
				return nil, nil, errors.Annotatef(err, "%s: batch %d", name, batch.number)
			}
		}
		if segment.size < segment.fileSize {
			if err := s.truncateSegment(segment.generation, segment.size); err != nil {
				return nil, nil, err
			}
		}
		s.segments = append(s.segments, segment.segment)
	}
	if len(scanned) > 0 {
		newest := scanned[len(scanned)-1]
		if oldestLive := newest.generation - uint64(newest.lastRecord.tag); damage == nil && scanned[0].generation > oldestLive {
			damage = errors.Annotatef(errCorrupt, "%s is missing", segmentFileName(oldestLive))
		}
	}
	return s, damage, nil
}

// scanSegment reads one file of the ring. It returns nil if no batch in it is
// readable, after emptying the file.
func scanSegment(files Files, index uint64) (*scannedSegment, error) {
	name := segmentFileName(index)
	data, err := files.Read(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if isZero(data) {
		if len(data) == 0 {
			return nil, nil
		}
		return nil, emptyFile(files, name)
	}
	scanned := &scannedSegment{intact: true, fileSize: len(data)}
	for offset := 0; offset < len(data); {
		batch, size, err := decodeRecord(data[offset:])
		if err != nil && isForeign(err) && errors.Cause(err) != errForeignFile {
			return nil, err
		}
		if err == nil && len(scanned.records) > 0 && batch.generation != scanned.generation {
			err = errCorrupt
		}
		if err != nil {
			next, batch, _ := findRecord(data, offset+1, scanned.generation)
			if next < 0 {
				if offset == 0 && string(data[:min(len(data), len(fileMagic))]) != fileMagic && !isZero(data[:min(len(data), headerSize)]) {
					return nil, errForeignFile
				}
				break
			}
			scanned.intact, offset = false, next
			scanned.generation = batch.generation
			continue
		}
		if len(scanned.records) == 0 {
			scanned.firstBatch = batch.number
		} else if batch.number != scanned.lastRecord.number+1 {
			scanned.intact = false
		}
		scanned.generation, scanned.lastRecord = batch.generation, record{generation: batch.generation, number: batch.number, tag: batch.tag}
		batch.offset = offset
		scanned.records = append(scanned.records, batch)
		offset += size
		scanned.size = offset
	}
	if len(scanned.records) == 0 {
		return nil, emptyFile(files, name)
	}
	if scanned.generation%SegmentCount != index {
		return nil, errForeignFile
	}
	return scanned, nil
}

// findRecord returns the first readable record at or after an offset, with its offset
// and size, or the offset -1 if there is none. A generation above 0 selects records
// of that generation only.
func findRecord(data []byte, from int, generation uint64) (int, record, int) {
	if generation > 0 {
		return findRecordOfGeneration(data, from, generation)
	}
	for offset := from; offset+headerSize <= len(data); offset++ {
		if data[offset] != fileMagic[0] {
			continue
		}
		if found, size, err := decodeRecord(data[offset:]); err == nil {
			return offset, found, size
		}
	}
	return -1, record{}, 0
}

// emptyFile truncates a file to zero length and syncs it.
func emptyFile(files Files, name string) error {
	if err := files.Truncate(name, 0); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(files.Sync(name))
}

// truncateSegment truncates a segment and syncs it.
func (s *SegmentLog) truncateSegment(generation uint64, size int) error {
	if err := s.files.Truncate(segmentFileName(generation), size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.files.Sync(segmentFileName(generation)))
}

// Append writes and syncs a batch and returns where its payload is. A new
// segment is started when the newest one has reached its size, which grows with the
// total size of live data, liveBytes. If there is not enough space, what was written
// is truncated and the error is ErrFull.
func (s *SegmentLog) Append(payload []byte, liveBytes int) (at Location, err error) {
	last := len(s.segments) - 1
	if last < 0 || s.segments[last].size >= max(s.minSegmentBytes, liveBytes/(SegmentCount/2)) && len(s.segments) < SegmentCount {
		next := uint64(1)
		if last >= 0 {
			next = s.segments[last].generation + 1
		}
		s.segments = append(s.segments, segment{generation: next})
		last++
	}
	at = Location{s.segments[last].generation, s.segments[last].size + headerSize}
	return at, s.writeBatch(payload, s.segments[0].generation)
}

// writeBatch writes and syncs a batch that records which segment is the oldest live
// one.
func (s *SegmentLog) writeBatch(payload []byte, oldestLive uint64) error {
	current := &s.segments[len(s.segments)-1]
	name := segmentFileName(current.generation)
	data := encodeRecord(current.generation, s.lastBatch+1, byte(current.generation-oldestLive), payload)
	err := s.files.Append(name, data)
	if err == nil {
		err = s.files.Sync(name)
	}
	if err != nil {
		if isFull(err) {
			if err := s.files.Truncate(name, current.size); err != nil {
				return errors.Trace(err)
			}
		}
		return errors.Trace(err)
	}
	s.lastBatch++
	current.size += len(data)
	return nil
}

// ReclaimDue reports whether fewer than SpareSegments files are empty, and if so, the
// generation of the oldest segment, which should be dropped soon.
func (s *SegmentLog) ReclaimDue() (oldest uint64, due bool) {
	if len(s.segments) <= SegmentCount-SpareSegments {
		return 0, false
	}
	return s.segments[0].generation, true
}

// Newest returns the generation of the segment that is written to, or 0 if there is
// none.
func (s *SegmentLog) Newest() uint64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.segments[len(s.segments)-1].generation
}

// Oldest returns the generation of the oldest segment, or 0 if there is none.
func (s *SegmentLog) Oldest() uint64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.segments[0].generation
}

// Rotate starts a new segment, so that the one written so far can be dropped later.
func (s *SegmentLog) Rotate() {
	if last := len(s.segments) - 1; last >= 0 && s.segments[last].size > 0 && len(s.segments) < SegmentCount {
		s.segments = append(s.segments, segment{generation: s.segments[last].generation + 1})
	}
}

// DropOldest records that the oldest segment is no longer live and empties its file.
func (s *SegmentLog) DropOldest() error {
	if len(s.segments) < 2 {
		return nil
	}
	if err := s.writeBatch(nil, s.segments[1].generation); err != nil && !isFull(err) {
		return err
	}
	if err := emptyFile(s.files, segmentFileName(s.segments[0].generation)); err != nil {
		return err
	}
	s.segments = s.segments[1:]
	return nil
}

// Bytes returns the total size of the segments.
func (s *SegmentLog) Bytes() int {
	sum := 0
	for _, segment := range s.segments {
		sum += segment.size
	}
	return sum
}

// IsFull reports whether an error means that the disk has no space left.
func IsFull(err error) bool { return isFull(err) }
