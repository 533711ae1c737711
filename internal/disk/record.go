package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"github.com/juju/errors"
)

const (
	fileMagic       = "fsd" // first bytes of each record
	formatVersion   = 2
	headerSize      = 36 // of a record
	entryHeaderSize = 5  // of a log entry: one byte for the kind, four for the length
	sectorSize      = 4096
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTruncated means that the data end before the record does.
	errTruncated = errors.New("record is truncated")
	// errCorrupt means that a checksum does not match, or that an acknowledged
	// record is missing.
	errCorrupt = errors.New("data is corrupt")
	// errForeignFile means that the file was written by another program.
	errForeignFile = errors.New("not a fordseam file; it is left unchanged")
)

// unknownVersionError is a format version that this program does not support.
type unknownVersionError byte

func (e unknownVersionError) Error() string {
	return "unknown format version " + strconv.Itoa(int(e)) + ", supported is " + strconv.Itoa(formatVersion) + "; the file is left unchanged"
}

// isForeign reports whether the error means that the file was written by another
// program or in an unknown format version and must not be changed.
func isForeign(err error) bool {
	cause := errors.Cause(err)
	_, isUnknownVersion := cause.(unknownVersionError)
	return isUnknownVersion || cause == errForeignFile
}

// checkpointFileName returns the name of the file of a generation's checkpoint.
func checkpointFileName(generation uint64) string {
	return "slot-" + strconv.FormatUint(generation%2, 10)
}

// logFileName returns the name of the file of a generation's log.
func logFileName(generation uint64) string { return "log-" + strconv.FormatUint(generation%2, 10) }

// encodeRecord returns a record: a header, with a checksum of the header and one of
// the payload, and the payload. See record for the tag.
func encodeRecord(generation, number uint64, tag byte, payload []byte) []byte {
	encoded := make([]byte, headerSize, headerSize+len(payload))
	copy(encoded, fileMagic)
	encoded[3], encoded[4] = formatVersion, tag
	binary.LittleEndian.PutUint64(encoded[8:], generation)
	binary.LittleEndian.PutUint64(encoded[16:], number)
	binary.LittleEndian.PutUint32(encoded[24:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(encoded[28:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(encoded[32:], crc32.Checksum(encoded[:32], crcTable))
	return append(encoded, payload...)
}

// encodeBatch returns both copies of a batch that is written to a log at an offset.
// The second copy starts in a new sector, so that one bad sector cannot damage both.
func encodeBatch(generation, number uint64, payload []byte, offset int) []byte {
	data := encodeRecord(generation, number, 0, payload)
	return append(data, encodeSecondCopy(generation, number, payload, offset+len(data))...)
}

// encodeSecondCopy returns the second copy of a batch, preceded by padding up to the
// next sector. The offset is the end of the first copy.
func encodeSecondCopy(generation, number uint64, payload []byte, offset int) []byte {
	return append(make([]byte, alignToSector(offset)-offset), encodeRecord(generation, number, 1, payload)...)
}

func alignToSector(offset int) int { return (offset + sectorSize - 1) / sectorSize * sectorSize }

// encodeEntry returns a log entry: its kind, the payload's length and the payload.
func encodeEntry(kind byte, payload []byte) []byte {
	entry := make([]byte, entryHeaderSize, entryHeaderSize+len(payload))
	entry[0] = kind
	binary.LittleEndian.PutUint32(entry[1:], uint32(len(payload)))
	return append(entry, payload...)
}

// record is a decoded record of a file.
type record struct {
	generation uint64
	number     uint64 // batch number; of a checkpoint, the newest batch that it covers
	// tag is 0 for the first copy of a batch in the register's log and 1 for the
	// second. In a segment of the ledger's log, it is the number of older segments
	// that were live when the batch was written.
	tag     byte
	payload []byte
	offset  int // in its file, where that is known
}

func isZero(data []byte) bool { return len(bytes.Trim(data, "\x00")) == 0 }

// decodeRecord decodes the record at the start of data and returns its total size.
func decodeRecord(data []byte) (record, int, error) {
	switch {
	case isZero(data[:min(len(data), headerSize)]):
		return record{}, 0, errTruncated
	case len(data) >= 3 && string(data[:3]) != fileMagic:
		return record{}, 0, errForeignFile
	case len(data) < headerSize:
		return record{}, 0, errTruncated
	case binary.LittleEndian.Uint32(data[32:]) != crc32.Checksum(data[:32], crcTable):
		return record{}, 0, errCorrupt
	case data[3] != formatVersion:
		return record{}, 0, unknownVersionError(data[3])
	}
	size := headerSize + int(binary.LittleEndian.Uint32(data[24:]))
	if len(data) < size {
		return record{}, 0, errTruncated
	}
	payload := data[headerSize:size]
	if binary.LittleEndian.Uint32(data[28:]) != crc32.Checksum(payload, crcTable) {
		return record{}, 0, errCorrupt
	}
	return record{generation: binary.LittleEndian.Uint64(data[8:]), number: binary.LittleEndian.Uint64(data[16:]), tag: data[4], payload: payload}, size, nil
}

// logContents is the result of parsing a log.
type logContents struct {
	batches       []record // batches to apply
	damagedCopies int      // number of unreadable copies of batches whose other copy is readable
	validSize     int      // offset at which the valid part ends
	missingCopy   []byte   // what to append there to restore the last batch's second copy
}

// parseLog parses the log of a generation and returns its batches after lastBatch.
// A log that an earlier generation left counts as empty.
func parseLog(data []byte, generation, lastBatch uint64) (*logContents, error) {
	contents := &logContents{}
	switch first, _, err := decodeRecord(data); {
	case isZero(data) || err == nil && first.generation < generation:
		return contents, nil
	case err == nil && first.generation > generation:
		return nil, errors.Annotatef(errCorrupt, "the log has generation %d, which is newer than the expected %d", first.generation, generation)
	case isForeign(err) && err != errForeignFile:
		return nil, err
	}
	for offset := 0; offset < len(data); {
		start, batch, size := findRecordOfGeneration(data, offset, generation)
		if start < 0 {
			if len(contents.batches) == 0 && offset == 0 && !isZero(data[:min(len(data), headerSize)]) && string(data[:min(len(data), 3)]) != fileMagic {
				return nil, errForeignFile
			}
			break // no readable batch follows, so the rest was never acknowledged
		}
		switch {
		case batch.number > lastBatch+1:
			return nil, errors.Annotatef(errCorrupt, "batch %d is missing at byte %d", lastBatch+1, offset)
		case batch.number == lastBatch+1:
			lastBatch++
			contents.batches = append(contents.batches, batch)
			if batch.tag == 1 {
				contents.damagedCopies++
			}
		}
		offset = start + size
		contents.validSize, contents.missingCopy = offset, nil
		if batch.tag == 0 {
			second, size, err := decodeRecordAt(data, alignToSector(offset))
			if err == nil && second.number == batch.number && second.generation == generation {
				offset = alignToSector(offset) + size
				contents.validSize = offset
			} else {
				contents.damagedCopies++
				contents.missingCopy = encodeSecondCopy(generation, batch.number, batch.payload, offset)
			}
		}
	}
	return contents, nil
}

func decodeRecordAt(data []byte, offset int) (record, int, error) {
	if offset >= len(data) {
		return record{}, 0, errTruncated
	}
	return decodeRecord(data[offset:])
}

// findRecordOfGeneration returns the first readable record of a generation at or
// after an offset, with its offset and size, or the offset -1 if there is none.
func findRecordOfGeneration(data []byte, from int, generation uint64) (offset int, found record, size int) {
	for offset = from; offset < len(data); offset++ {
		distance := bytes.Index(data[offset:], []byte(fileMagic))
		if distance < 0 {
			break
		}
		offset += distance
		if found, size, err := decodeRecord(data[offset:]); err == nil && found.generation == generation {
			return offset, found, size
		}
	}
	return -1, record{}, 0
}
