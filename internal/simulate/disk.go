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
// hostTraffic an array: bytes that stand in it are never changed in place.
type file struct {
	data   []byte
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

func (d *Disk) fileNamed(name string) *file {
	entry, ok := d.files[name]
	if !ok {
		entry = &file{}
		d.files[name] = entry
	}
	return entry
}

func (d *Disk) Read(name string) ([]byte, error) {
	return append([]byte(nil), d.fileNamed(name).data...), nil
}

func (d *Disk) Append(name string, data []byte) error {
	entry := d.fileNamed(name)
	written := max(0, min(int64(len(data)), d.FreeBytes()))
	entry.data = append(entry.data, data[:written]...)
	if written < int64(len(data)) {
		return disk.ErrFull // and a part was written
	}
	return nil
}

func (d *Disk) Replace(name string, data []byte) error {
	d.fileNamed(name).data = nil
	return d.Append(name, data)
}

func (d *Disk) Truncate(name string, size int) error {
	entry := d.fileNamed(name)
	entry.data = append([]byte(nil), entry.data[:min(size, len(entry.data))]...)
	return nil
}

func (d *Disk) Sync(name string) error {
	entry := d.fileNamed(name)
	covered := entry.data[:len(entry.data):len(entry.data)]
	d.SyncsInProgress++
	clock := d.host.Clock()
	for d.SyncStalled {
		clock.Sleep(100 * time.Millisecond)
	}
	clock.Sleep(d.host.World.Between(d.MinSyncTime, d.MaxSyncTime))
	if !d.IgnoresSync {
		entry.synced = covered
	}
	d.SyncsInProgress--
	d.SyncCount++
	return nil
}

func (d *Disk) FreeBytes() int64 {
	free := d.Capacity
	for _, entry := range d.files {
		free -= int64(len(entry.data))
	}
	return free
}

const sectorSize = 512

// LosePower drops what was not synced, by sectors: of a file that was being
// changed any of them may be the new ones, in any order, and its length the
// new one or the old.
func (d *Disk) LosePower() {
	world := d.host.World
	d.SyncsInProgress = 0
	for _, name := range base.SortedKeys(d.files) {
		entry := d.files[name]
		if bytes.Equal(entry.data, entry.synced) {
			continue
		}
		size := len(entry.synced)
		switch {
		case world.Chance(0.5):
			size = len(entry.data)
		case len(entry.data) > size:
			size += int(world.Int64N(int64(len(entry.data)-size) + 1))
		}
		content := make([]byte, size)
		copy(content, entry.synced)
		newShare := world.rng.Float64()
		for offset := 0; offset < size; offset += sectorSize {
			end := min(size, offset+sectorSize)
			if world.Chance(newShare) && offset < len(entry.data) {
				clear(content[offset:end])
				copy(content[offset:end], entry.data[offset:min(end, len(entry.data))])
			}
		}
		entry.data, entry.synced = append([]byte(nil), content...), content
	}
}

// Wipe gives an empty disk.
func (d *Disk) Wipe() { d.files = map[string]*file{} }

// FlipBit flips one bit of a file, and tells whether there was one to flip.
func (d *Disk) FlipBit(name string, offset int) bool {
	entry := d.fileNamed(name)
	if offset >= len(entry.data) {
		return false
	}
	flipped := append([]byte(nil), entry.data...)
	flipped[offset] ^= 0x10
	entry.data, entry.synced = flipped, flipped[:len(flipped):len(flipped)]
	d.Corrupted = true
	return true
}

// TotalBytes is what all files hold together.
func (d *Disk) TotalBytes() int {
	total := 0
	for _, entry := range d.files {
		total += len(entry.data)
	}
	return total
}

// Size is how long a file is.
func (d *Disk) Size(name string) int { return len(d.fileNamed(name).data) }
