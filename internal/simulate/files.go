// StorageStatus in memory. Of what was not synced when power goes any sectors may be
// kept. A disk can stall, fill up, or rot.

package simulate

import (
	"bytes"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/disk"
)

// file is one file's bytes, and those of them that were synced. The two may
// share an array: bytes that stand in it are never changed in place.
type file struct {
	live   []byte
	synced []byte
}

// Disk is one machine's disk.
type Disk struct {
	host        *Host
	files       map[string]*file
	Capacity    int64
	SyncStalled bool
	SyncCount   int
	// IgnoresSync disks say that they synced and did not.
	IgnoresSync bool
	// Corrupted tells that some of it was changed behind its back.
	Corrupted bool
	// SyncsInProgress counts syncs under way.
	SyncsInProgress int
	MinSyncTime     time.Duration
	MaxSyncTime     time.Duration
}

func NewDisk(host *Host) *Disk {
	return &Disk{host: host, files: map[string]*file{}, Capacity: 64 << 20, MinSyncTime: 500 * time.Microsecond, MaxSyncTime: 4 * time.Millisecond}
}

func (f *Disk) at(name string) *file {
	held, ok := f.files[name]
	if !ok {
		held = &file{}
		f.files[name] = held
	}
	return held
}

func (f *Disk) Read(name string) ([]byte, error) {
	return append([]byte(nil), f.at(name).live...), nil
}

func (f *Disk) Append(name string, data []byte) error {
	held := f.at(name)
	room := max(0, min(int64(len(data)), f.FreeBytes()))
	held.live = append(held.live, data[:room]...)
	if room < int64(len(data)) {
		return disk.ErrFull // and a part was written
	}
	return nil
}

func (f *Disk) Replace(name string, data []byte) error {
	f.at(name).live = nil
	return f.Append(name, data)
}

func (f *Disk) Truncate(name string, size int) error {
	held := f.at(name)
	held.live = append([]byte(nil), held.live[:min(size, len(held.live))]...)
	return nil
}

func (f *Disk) Sync(name string) error {
	held := f.at(name)
	covered := held.live[:len(held.live):len(held.live)]
	f.SyncsInProgress++
	clock := f.host.Clock()
	for f.SyncStalled {
		clock.Sleep(100 * time.Millisecond)
	}
	clock.Sleep(f.host.World.Between(f.MinSyncTime, f.MaxSyncTime))
	if !f.IgnoresSync {
		held.synced = covered
	}
	f.SyncsInProgress--
	f.SyncCount++
	return nil
}

func (f *Disk) FreeBytes() int64 {
	left := f.Capacity
	for _, held := range f.files {
		left -= int64(len(held.live))
	}
	return left
}

const sectorSize = 512

// LosePower drops what was not synced, by sectors: of a file that was being
// changed any of them may be the new ones, in any order, and its length the
// new one or the old.
func (f *Disk) LosePower() {
	w := f.host.World
	f.SyncsInProgress = 0
	for _, name := range base.SortedKeys(f.files) {
		held := f.files[name]
		if bytes.Equal(held.live, held.synced) {
			continue
		}
		size := len(held.synced)
		switch {
		case w.Chance(0.5):
			size = len(held.live)
		case len(held.live) > size:
			size += int(w.Int64N(int64(len(held.live)-size) + 1))
		}
		kept := make([]byte, size)
		copy(kept, held.synced)
		fresh := w.chance.Float64()
		for place := 0; place < size; place += sectorSize {
			end := min(size, place+sectorSize)
			if w.Chance(fresh) && place < len(held.live) {
				clear(kept[place:end])
				copy(kept[place:end], held.live[place:min(end, len(held.live))])
			}
		}
		held.live, held.synced = append([]byte(nil), kept...), kept
	}
}

// Wipe gives an empty disk.
func (f *Disk) Wipe() { f.files = map[string]*file{} }

// FlipBit flips one bit of a file, and tells whether there was one to flip.
func (f *Disk) FlipBit(name string, place int) bool {
	held := f.at(name)
	if place >= len(held.live) {
		return false
	}
	rotten := append([]byte(nil), held.live...)
	rotten[place] ^= 0x10
	held.live, held.synced = rotten, rotten[:len(rotten):len(rotten)]
	f.Corrupted = true
	return true
}

// TotalBytes is what all files hold together.
func (f *Disk) TotalBytes() int {
	sum := 0
	for _, held := range f.files {
		sum += len(held.live)
	}
	return sum
}

// Size is how long a file is.
func (f *Disk) Size(name string) int { return len(f.at(name).live) }
