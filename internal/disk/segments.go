// SegmentLog is a log over a ring of files, for state that is kept as entries
// and forgotten by age. A batch is one sealed record, begun only after the one
// before it was synced, and numbers run on through all files, so a batch that
// is missing in the middle shows. What cannot be read at the very end was
// never answered, short of rot there, and is cut off. The keeper writes what
// still counts of the oldest file again and then drops it; a batch says how
// many files before its own count, so that one that is half emptied when power
// goes is not missed.

package disk

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/juju/errors"
)

// SegmentCount is how many files a ring has; SpareSegments are kept empty.
const (
	SegmentCount  = 16
	SpareSegments = 2
	ledgerPrefix  = "ledger-"
)

type segment struct {
	generation uint64
	size       int
}

// SegmentLog is used by one task at a time.
type SegmentLog struct {
	files  Files
	floor  int
	number uint64
	held   []segment
}

func segmentName(generation uint64) string {
	return ledgerPrefix + strconv.FormatUint(generation%SegmentCount, 10)
}

func segmentNames() []string {
	names := []string{}
	for generation := uint64(0); generation < SegmentCount; generation++ {
		names = append(names, segmentName(generation))
	}
	return names
}

// segmentRead is how far one file can be read.
type segmentRead struct {
	segment
	batches []opened
	// whole tells that nothing that can be read follows a part that cannot.
	whole  bool
	length int
	first  uint64
	last   opened
}

// OpenSegmentLog gives every batch that can be read to apply, oldest first. A
// damaged log is told of, and is still read as far as it goes; floor is the
// least size of a file before the next is begun.
func OpenSegmentLog(files Files, floor int, apply func(generation uint64, payload []byte) error) (log *SegmentLog, damaged error, err error) {
	s := &SegmentLog{files: files, floor: floor}
	read := []*segmentRead{}
	for place := uint64(0); place < SegmentCount; place++ {
		found, err := readSegment(files, place)
		if err != nil {
			return nil, nil, errors.Annotate(err, segmentName(place))
		}
		if found != nil {
			found.batches = nil // the files are read again one by one
			read = append(read, found)
		}
	}
	slices.SortFunc(read, func(a, b *segmentRead) int { return cmp.Compare(a.generation, b.generation) })
	if len(read) > 0 {
		newest := read[len(read)-1]
		for counts := newest.generation - uint64(newest.last.copied); read[0].generation < counts; read = read[1:] {
			if err := emptied(files, segmentName(read[0].generation)); err != nil {
				return nil, nil, err
			}
		}
	}
	for place, found := range read {
		name, last := segmentName(found.generation), place == len(read)-1
		if s.number > 0 && found.first != s.number+1 {
			damaged = errors.Annotatef(errDamaged, "%s, batch %d follows %d", name, found.first, s.number)
		}
		s.number = found.last.number
		if !found.whole || !last && found.size < found.length {
			damaged = errors.Annotate(errDamaged, name)
		}
		again, err := readSegment(files, found.generation%SegmentCount)
		if err == nil && again == nil {
			err = errDamaged
		}
		if err != nil {
			return nil, nil, errors.Annotate(err, name)
		}
		for _, batch := range again.batches {
			if err := apply(found.generation, batch.payload); err != nil {
				return nil, nil, errors.Annotatef(err, "%s, batch %d", name, batch.number)
			}
		}
		if found.size < found.length {
			if err := s.cut(found.generation, found.size); err != nil {
				return nil, nil, err
			}
		}
		s.held = append(s.held, found.segment)
	}
	if len(read) > 0 {
		newest := read[len(read)-1]
		if counts := newest.generation - uint64(newest.last.copied); damaged == nil && read[0].generation > counts {
			damaged = errors.Annotatef(errDamaged, "%s is missing", segmentName(counts))
		}
	}
	return s, damaged, nil
}

// readSegment reads one file as far as it goes.
func readSegment(files Files, place uint64) (*segmentRead, error) {
	name := segmentName(place)
	data, err := files.Read(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if blank(data) {
		if len(data) == 0 {
			return nil, nil
		}
		return nil, emptied(files, name)
	}
	found := &segmentRead{whole: true, length: len(data)}
	for at := 0; at < len(data); {
		batch, size, err := open(data[at:])
		if err != nil && foreign(err) && errors.Cause(err) != errForeign {
			return nil, err
		}
		if err == nil && len(found.batches) > 0 && batch.generation != found.generation {
			err = errDamaged
		}
		if err != nil {
			next, batch, _ := nextSealed(data, at+1, found.generation)
			if next < 0 {
				if at == 0 && string(data[:min(len(data), len(fileMark))]) != fileMark && !blank(data[:min(len(data), headerSize)]) {
					return nil, errForeign
				}
				break
			}
			found.whole, at = false, next
			found.generation = batch.generation
			continue
		}
		if len(found.batches) == 0 {
			found.first = batch.number
		} else if batch.number != found.last.number+1 {
			found.whole = false
		}
		found.generation, found.last = batch.generation, opened{generation: batch.generation, number: batch.number, copied: batch.copied}
		found.batches = append(found.batches, batch)
		at += size
		found.size = at
	}
	if len(found.batches) == 0 {
		return nil, emptied(files, name)
	}
	if found.generation%SegmentCount != place {
		return nil, errForeign
	}
	return found, nil
}

// nextSealed finds the first batch from a place on, of a generation unless that
// is not known.
func nextSealed(data []byte, place int, generation uint64) (int, opened, int) {
	if generation > 0 {
		return nextCopy(data, place, generation)
	}
	for at := place; at+headerSize <= len(data); at++ {
		if data[at] != fileMark[0] {
			continue
		}
		if found, size, err := open(data[at:]); err == nil {
			return at, found, size
		}
	}
	return -1, opened{}, 0
}

func emptied(files Files, name string) error {
	if err := files.Truncate(name, 0); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(files.Sync(name))
}

func (s *SegmentLog) cut(generation uint64, size int) error {
	if err := s.files.Truncate(segmentName(generation), size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.files.Sync(segmentName(generation)))
}

// Append has a batch synced and tells where it is. Where there is no room, what
// was written of it is cut off again and the error is ErrFull.
func (s *SegmentLog) Append(payload []byte, live int) (generation uint64, err error) {
	last := len(s.held) - 1
	if last < 0 || s.held[last].size >= max(s.floor, live/(SegmentCount/2)) && len(s.held) < SegmentCount {
		next := uint64(1)
		if last >= 0 {
			next = s.held[last].generation + 1
		}
		s.held = append(s.held, segment{generation: next})
		last++
	}
	return s.held[last].generation, s.writeBatch(payload, s.held[0].generation)
}

// writeBatch has a batch synced that says which file is the oldest that counts.
func (s *SegmentLog) writeBatch(payload []byte, oldest uint64) error {
	head := &s.held[len(s.held)-1]
	name := segmentName(head.generation)
	data := seal(head.generation, s.number+1, byte(head.generation-oldest), payload)
	err := s.files.Append(name, data)
	if err == nil {
		err = s.files.Sync(name)
	}
	if err != nil {
		if isFull(err) {
			if err := s.files.Truncate(name, head.size); err != nil {
				return errors.Trace(err)
			}
		}
		return errors.Trace(err)
	}
	s.number++
	head.size += len(data)
	return nil
}

// ReclaimDue tells the oldest file's generation where it should be dropped soon, to
// keep spare ones.
func (s *SegmentLog) ReclaimDue() (oldest uint64, tight bool) {
	if len(s.held) <= SegmentCount-SpareSegments {
		return 0, false
	}
	return s.held[0].generation, true
}

// Newest is the generation that is written to.
func (s *SegmentLog) Newest() uint64 {
	if len(s.held) == 0 {
		return 0
	}
	return s.held[len(s.held)-1].generation
}

// Oldest is the generation of the oldest file.
func (s *SegmentLog) Oldest() uint64 {
	if len(s.held) == 0 {
		return 0
	}
	return s.held[0].generation
}

// Rotate ends the file that is written to, so that it can be dropped later.
func (s *SegmentLog) Rotate() {
	if last := len(s.held) - 1; last >= 0 && s.held[last].size > 0 && len(s.held) < SegmentCount {
		s.held = append(s.held, segment{generation: s.held[last].generation + 1})
	}
}

// DropOldest says that the oldest file counts no more, and empties it.
func (s *SegmentLog) DropOldest() error {
	if len(s.held) < 2 {
		return nil
	}
	if err := s.writeBatch(nil, s.held[1].generation); err != nil && !isFull(err) {
		return err
	}
	if err := emptied(s.files, segmentName(s.held[0].generation)); err != nil {
		return err
	}
	s.held = s.held[1:]
	return nil
}

// Bytes is what the files hold.
func (s *SegmentLog) Bytes() int {
	sum := 0
	for _, held := range s.held {
		sum += held.size
	}
	return sum
}

// IsFull tells whether an error is want of room.
func IsFull(err error) bool { return isFull(err) }
