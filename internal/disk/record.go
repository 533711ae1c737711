// What stands in the files. A slot is one sealed record. A log is a row of
// batches, each written twice before the one sync that answers all of it, the
// copies in sectors of their own. Power loss may keep any sectors of a batch
// that was never synced, so a batch neither of whose copies can be read was
// not answered, and is cut off where nothing follows it. Rot of one place
// leaves the other copy of an answered batch, which is then taken in its
// stead; where a later batch follows one that cannot be read, that one had
// been answered, and the disk is damaged. A batch is written only after the
// one before it was synced, and numbers run on without a gap through every
// log and slot, so nothing answered can be missing unseen.

package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"github.com/juju/errors"
)

const (
	fileMark      = "fsd"
	formatVersion = 2
	headerSize    = 36
	entryHead     = 5
	sector        = 4096
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

var (
	errTorn    = errors.New("record stops short")
	errDamaged = errors.New("record damaged")
	errForeign = errors.New("not a file of fordseam's; it is left as it is")
)

// errVersion names a format this program does not know.
type errVersion byte

func (e errVersion) Error() string {
	return "format version " + strconv.Itoa(int(e)) + " is not known here, only " + strconv.Itoa(formatVersion) + "; it is left as it is"
}

// foreign tells of a file that must be left alone.
func foreign(err error) bool {
	cause := errors.Cause(err)
	_, version := cause.(errVersion)
	return version || cause == errForeign
}

func slotName(generation uint64) string { return "slot-" + strconv.FormatUint(generation%2, 10) }
func logName(generation uint64) string  { return "log-" + strconv.FormatUint(generation%2, 10) }

// seal puts a head with two checksums before a payload.
func seal(generation, number uint64, copied byte, payload []byte) []byte {
	record := make([]byte, headerSize, headerSize+len(payload))
	copy(record, fileMark)
	record[3], record[4] = formatVersion, copied
	binary.LittleEndian.PutUint64(record[8:], generation)
	binary.LittleEndian.PutUint64(record[16:], number)
	binary.LittleEndian.PutUint32(record[24:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[28:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(record[32:], crc32.Checksum(record[:32], crcTable))
	return append(record, payload...)
}

// sealTwice is a batch as it goes into a log at an offset: the second copy
// begins in a sector of its own.
func sealTwice(generation, number uint64, payload []byte, offset int) []byte {
	data := seal(generation, number, 0, payload)
	return append(data, secondCopy(generation, number, payload, offset+len(data))...)
}

func secondCopy(generation, number uint64, payload []byte, offset int) []byte {
	return append(make([]byte, aligned(offset)-offset), seal(generation, number, 1, payload)...)
}

func aligned(offset int) int { return (offset + sector - 1) / sector * sector }

func entryOf(kind byte, payload []byte) []byte {
	entry := make([]byte, entryHead, entryHead+len(payload))
	entry[0] = kind
	binary.LittleEndian.PutUint32(entry[1:], uint32(len(payload)))
	return append(entry, payload...)
}

type opened struct {
	generation uint64
	number     uint64
	copied     byte
	payload    []byte
}

func blank(data []byte) bool { return len(bytes.Trim(data, "\x00")) == 0 }

// open reads one record and tells its whole size.
func open(data []byte) (opened, int, error) {
	switch {
	case blank(data[:min(len(data), headerSize)]):
		return opened{}, 0, errTorn
	case len(data) >= 3 && string(data[:3]) != fileMark:
		return opened{}, 0, errForeign
	case len(data) < headerSize:
		return opened{}, 0, errTorn
	case binary.LittleEndian.Uint32(data[32:]) != crc32.Checksum(data[:32], crcTable):
		return opened{}, 0, errDamaged
	case data[3] != formatVersion:
		return opened{}, 0, errVersion(data[3])
	}
	size := headerSize + int(binary.LittleEndian.Uint32(data[24:]))
	if len(data) < size {
		return opened{}, 0, errTorn
	}
	payload := data[headerSize:size]
	if binary.LittleEndian.Uint32(data[28:]) != crc32.Checksum(payload, crcTable) {
		return opened{}, 0, errDamaged
	}
	return opened{binary.LittleEndian.Uint64(data[8:]), binary.LittleEndian.Uint64(data[16:]), data[4], payload}, size, nil
}

// logRead is what a log came to: the batches to put in force, how many had
// one bad copy, where the good part ends, and what must be added there to give
// the last batch its second copy again.
type logRead struct {
	batches []opened
	mended  int
	end     int
	again   []byte
}

// readLog reads a generation's log after a number. A log left by an earlier
// generation counts as empty.
func readLog(data []byte, generation, number uint64) (*logRead, error) {
	read := &logRead{}
	switch head, _, err := open(data); {
	case blank(data) || err == nil && head.generation < generation:
		return read, nil
	case err == nil && head.generation > generation:
		return nil, errors.Annotatef(errDamaged, "generation %d goes on past the slots' %d", head.generation, generation)
	case foreign(err) && err != errForeign:
		return nil, err
	}
	for place := 0; place < len(data); {
		at, batch, size := nextCopy(data, place, generation)
		if at < 0 {
			if len(read.batches) == 0 && place == 0 && !blank(data[:min(len(data), headerSize)]) && string(data[:min(len(data), 3)]) != fileMark {
				return nil, errForeign
			}
			break // nothing follows that can be read: it was never answered
		}
		switch {
		case batch.number > number+1:
			return nil, errors.Annotatef(errDamaged, "batch %d is missing at byte %d", number+1, place)
		case batch.number == number+1:
			number++
			read.batches = append(read.batches, batch)
			if batch.copied == 1 {
				read.mended++
			}
		}
		place = at + size
		read.end, read.again = place, nil
		if batch.copied == 0 {
			second, size, err := openAt(data, aligned(place))
			if err == nil && second.number == batch.number && second.generation == generation {
				place = aligned(place) + size
				read.end = place
			} else {
				read.mended++
				read.again = secondCopy(generation, batch.number, batch.payload, place)
			}
		}
	}
	return read, nil
}

func openAt(data []byte, place int) (opened, int, error) {
	if place >= len(data) {
		return opened{}, 0, errTorn
	}
	return open(data[place:])
}

// nextCopy finds the first copy of any batch of a generation from a place on.
func nextCopy(data []byte, place int, generation uint64) (at int, found opened, size int) {
	for at = place; at < len(data); at++ {
		step := bytes.Index(data[at:], []byte(fileMark))
		if step < 0 {
			break
		}
		at += step
		if found, size, err := open(data[at:]); err == nil && found.generation == generation {
			return at, found, size
		}
	}
	return -1, opened{}, 0
}
