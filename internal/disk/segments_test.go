package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// openSegmentLog opens a log and returns the payloads in it and the damage found.
func openSegmentLog(is *is.I, files *memFiles, minSegmentBytes int) (*SegmentLog, []string, error) {
	read := []string{}
	log, damage, err := OpenSegmentLog(files, minSegmentBytes, func(_ Location, payload []byte) error {
		if len(payload) > 0 {
			read = append(read, string(payload))
		}
		return nil
	})
	is.NoErr(err)
	return log, read, damage
}

// After a power loss before any sync, the log has all synced batches that were not
// dropped, in order, and can be appended to.
func TestSegmentLogKeepsSyncedBatches(t *testing.T) {
	is := is.New(t)
	lostBatches := 0
	for seed := uint64(0); seed < 300; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		files := newMemFiles()
		log, _, _ := openSegmentLog(is, files, 400)
		synced, unacked := []string{}, ""
		var remaining *memFiles
		syncsLeft := random.IntN(60) + 1
		files.beforeSync = func(string) {
			if syncsLeft--; syncsLeft == 0 {
				remaining = files.afterPowerLoss(random)
			}
		}
		for number := 0; remaining == nil; number++ {
			payload := fmt.Sprintf("%d %s", number, strings.Repeat("x", random.IntN(2000)))
			unacked = payload
			_, err := log.Append([]byte(payload), 0)
			is.NoErr(err)
			if remaining != nil {
				break
			}
			synced, unacked = append(synced, payload), ""
			if _, due := log.ReclaimDue(); due {
				is.NoErr(log.DropOldest())
			}
		}
		reopened, read, damage := openSegmentLog(is, remaining, 400)
		is.NoErr(damage)
		if len(read) > 0 && read[len(read)-1] == unacked {
			read = read[:len(read)-1] // it may be persisted though it was not acknowledged
		} else {
			lostBatches++
		}
		is.True(len(read) >= min(len(synced), 10))
		is.True(slices.Equal(read, synced[len(synced)-len(read):]))
		_, err := reopened.Append([]byte("after"), 0)
		is.NoErr(err)
		_, read, damage = openSegmentLog(is, remaining, 400)
		is.NoErr(damage)
		is.Equal(read[len(read)-1], "after")
	}
	is.True(lostBatches > 30)
}

// A corrupt batch or a missing segment is reported, and the other batches are read.
func TestSegmentLogReportsCorruption(t *testing.T) {
	is := is.New(t)
	files := newMemFiles()
	log, _, _ := openSegmentLog(is, files, 4000)
	for number := 0; number < 40; number++ {
		_, err := log.Append([]byte(fmt.Sprintf("%d %s", number, strings.Repeat("y", 200))), 0)
		is.NoErr(err)
	}
	reported := 0
	for seed := uint64(0); seed < 200; seed++ {
		random := rand.New(rand.NewPCG(seed, 2))
		corrupted := files.clone()
		name := segmentFileName(log.Oldest() + uint64(random.IntN(2)))
		offset := random.IntN(len(corrupted.files[name]) - 300)
		corrupted.files[name][offset] ^= 0x20
		_, read, damage := openSegmentLog(is, corrupted, 4000)
		is.True(damage != nil)
		is.Equal(errors.Cause(damage), errCorrupt)
		is.Equal(len(read), 39)
		reported++
	}
	is.Equal(reported, 200)
	missing := files.clone()
	missing.files[segmentFileName(log.Oldest()+1)] = nil
	_, _, damage := openSegmentLog(is, missing, 4000)
	is.True(damage != nil)
}

// Files of another program or in an unknown format version are left unchanged.
func TestSegmentLogLeavesForeignFiles(t *testing.T) {
	is := is.New(t)
	files := newMemFiles()
	files.files["ledger-3"] = []byte("somebody else's words")
	_, _, err := OpenSegmentLog(files, 100, nil)
	is.Equal(errors.Cause(err), errForeignFile)
	is.Equal(string(files.files["ledger-3"]), "somebody else's words")
	files.files["ledger-3"] = encodeRecord(3, 1, 0, []byte("z"))
	files.files["ledger-3"][3] = formatVersion + 1
	binary.LittleEndian.PutUint32(files.files["ledger-3"][32:], crc32.Checksum(files.files["ledger-3"][:32], crcTable))
	_, _, err = OpenSegmentLog(files, 100, nil)
	is.True(err != nil)
}

// An append without enough space fails and leaves no partial batch.
func TestSegmentLogOnFullDisk(t *testing.T) {
	is := is.New(t)
	files := newMemFiles()
	log, _, _ := openSegmentLog(is, files, 1000)
	_, err := log.Append([]byte("first"), 0)
	is.NoErr(err)
	files.capacity = 100
	_, err = log.Append([]byte(strings.Repeat("z", 500)), 0)
	is.True(IsFull(err))
	files.capacity = 10000
	_, err = log.Append([]byte("second"), 0)
	is.NoErr(err)
	_, read, damage := openSegmentLog(is, files, 1000)
	is.NoErr(damage)
	is.Equal(read, []string{"first", "second"})
}
