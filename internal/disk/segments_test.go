// What the ring of files keeps through losses of power at any sync, through
// rot, and through many turns of the ring.
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

func openSegments(is *is.I, files *memory, floor int) (*SegmentLog, []string, error) {
	read := []string{}
	log, damaged, err := OpenSegmentLog(files, floor, func(_ uint64, payload []byte) error {
		if len(payload) > 0 {
			read = append(read, string(payload))
		}
		return nil
	})
	is.NoErr(err)
	return log, read, damaged
}

func TestSegmentsKeepWhatWasSynced(t *testing.T) {
	is := is.New(t)
	cut := 0
	for seed := uint64(0); seed < 300; seed++ {
		chance := rand.New(rand.NewPCG(seed, 1))
		files := newMemory()
		log, _, _ := openSegments(is, files, 400)
		synced, tried := []string{}, ""
		var lost *memory
		stop := chance.IntN(60) + 1
		files.before = func(string) {
			if stop--; stop == 0 {
				lost = files.powerLost(chance)
			}
		}
		for number := 0; lost == nil; number++ {
			payload := fmt.Sprintf("%d %s", number, strings.Repeat("x", chance.IntN(2000)))
			tried = payload
			_, err := log.Append([]byte(payload), 0)
			is.NoErr(err)
			if lost != nil {
				break
			}
			synced, tried = append(synced, payload), ""
			if _, tight := log.ReclaimDue(); tight {
				is.NoErr(log.DropOldest())
			}
		}
		again, read, damaged := openSegments(is, lost, 400)
		is.NoErr(damaged)
		if len(read) > 0 && read[len(read)-1] == tried {
			read = read[:len(read)-1] // it may be there though it was not answered
		} else {
			cut++
		}
		is.True(len(read) >= min(len(synced), 10))
		is.True(slices.Equal(read, synced[len(synced)-len(read):]))
		_, err := again.Append([]byte("after"), 0)
		is.NoErr(err)
		_, read, damaged = openSegments(is, lost, 400)
		is.NoErr(damaged)
		is.Equal(read[len(read)-1], "after")
	}
	is.True(cut > 30)
}

func TestSegmentsTellDamageInTheMiddle(t *testing.T) {
	is := is.New(t)
	files := newMemory()
	log, _, _ := openSegments(is, files, 4000)
	for number := 0; number < 40; number++ {
		_, err := log.Append([]byte(fmt.Sprintf("%d %s", number, strings.Repeat("y", 200))), 0)
		is.NoErr(err)
	}
	told := 0
	for seed := uint64(0); seed < 200; seed++ {
		chance := rand.New(rand.NewPCG(seed, 2))
		rotten := files.copy()
		name := segmentName(log.Oldest() + uint64(chance.IntN(2)))
		place := chance.IntN(len(rotten.files[name]) - 300)
		rotten.files[name][place] ^= 0x20
		_, read, damaged := openSegments(is, rotten, 4000)
		is.True(damaged != nil)
		is.Equal(errors.Cause(damaged), errDamaged)
		is.Equal(len(read), 39)
		told++
	}
	is.Equal(told, 200)
	missing := files.copy()
	missing.files[segmentName(log.Oldest()+1)] = nil
	_, _, damaged := openSegments(is, missing, 4000)
	is.True(damaged != nil)
}

func TestSegmentsOfOthersAreLeft(t *testing.T) {
	is := is.New(t)
	files := newMemory()
	files.files["ledger-3"] = []byte("somebody else's words")
	_, _, err := OpenSegmentLog(files, 100, nil)
	is.Equal(errors.Cause(err), errForeign)
	is.Equal(string(files.files["ledger-3"]), "somebody else's words")
	files.files["ledger-3"] = seal(3, 1, 0, []byte("z"))
	files.files["ledger-3"][3] = formatVersion + 1
	binary.LittleEndian.PutUint32(files.files["ledger-3"][32:], crc32.Checksum(files.files["ledger-3"][:32], crcTable))
	_, _, err = OpenSegmentLog(files, 100, nil)
	is.True(err != nil)
}

func TestSegmentsWithoutRoom(t *testing.T) {
	is := is.New(t)
	files := newMemory()
	log, _, _ := openSegments(is, files, 1000)
	_, err := log.Append([]byte("first"), 0)
	is.NoErr(err)
	files.limit = 100
	_, err = log.Append([]byte(strings.Repeat("z", 500)), 0)
	is.True(IsFull(err))
	files.limit = 10000
	_, err = log.Append([]byte("second"), 0)
	is.NoErr(err)
	_, read, damaged := openSegments(is, files, 1000)
	is.NoErr(damaged)
	is.Equal(read, []string{"first", "second"})
}
