package simulate

import (
	"bytes"
	"io"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/disk"
)

// file holds a file's current bytes and those that were synced. The two slices may share an
// array, whose bytes are never changed in place.
type file struct {
	data   []byte
	synced []byte
}

// Disk is a simulated disk in memory. A power loss may keep any of the sectors that were not
// synced. A disk can stall, fill up and be corrupted.
type Disk struct {
	host        *Host
	files       map[string]*file
	Capacity    int64
	SyncStalled bool
	SyncCount   int
	// IgnoresSync makes Sync report success without syncing.
	IgnoresSync bool
	// Corrupted is set once a bit was flipped.
	Corrupted bool
	// SyncsInProgress counts the running calls of Sync.
	SyncsInProgress int
	MinSyncTime     time.Duration
	MaxSyncTime     time.Duration
}

// NewDisk returns an empty disk of a host.
func NewDisk(host *Host) *Disk {
	return &Disk{host: host, files: map[string]*file{}, Capacity: 64 << 20, MinSyncTime: 500 * time.Microsecond, MaxSyncTime: 4 * time.Millisecond}
}

// fileNamed returns a file and creates it if needed.
func (d *Disk) fileNamed(name string) *file {
	entry, ok := d.files[name]
	if !ok {
		entry = &file{}
		d.files[name] = entry
	}
	return entry
}

// Read returns a copy of a file's content, nil if there is no such file.
func (d *Disk) Read(name string) ([]byte, error) {
	return append([]byte(nil), d.fileNamed(name).data...), nil
}

// ReadAt returns a copy of a part of a file.
func (d *Disk) ReadAt(name string, offset, size int) ([]byte, error) {
	data := d.fileNamed(name).data
	if offset+size > len(data) {
		return nil, io.ErrUnexpectedEOF
	}
	return append([]byte(nil), data[offset:offset+size]...), nil
}

// Append adds data to the end of a file. If the disk fills up it writes a part of the
// data and returns disk.ErrFull.
func (d *Disk) Append(name string, data []byte) error {
	entry := d.fileNamed(name)
	written := max(0, min(int64(len(data)), d.FreeBytes()))
	entry.data = append(entry.data, data[:written]...)
	if written < int64(len(data)) {
		return disk.ErrFull // after a partial write
	}
	return nil
}

// Replace sets the content of a file.
func (d *Disk) Replace(name string, data []byte) error {
	d.fileNamed(name).data = nil
	return d.Append(name, data)
}

// Truncate cuts a file to at most a size.
func (d *Disk) Truncate(name string, size int) error {
	entry := d.fileNamed(name)
	entry.data = append([]byte(nil), entry.data[:min(size, len(entry.data))]...)
	return nil
}

// Sync makes a file's content as of the call survive a power loss. It blocks while syncs
// are stalled.
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

// FreeBytes returns the unused capacity.
func (d *Disk) FreeBytes() int64 {
	free := d.Capacity
	for _, entry := range d.files {
		free -= int64(len(entry.data))
	}
	return free
}

// sectorSize is the unit that a power loss keeps or drops.
const sectorSize = 512

// LosePower drops unsynced changes by sector. Of each changed file any sectors may have
// their new content, in any order; its length is the old one, the new one or one in between.
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

// Wipe removes all files.
func (d *Disk) Wipe() { d.files = map[string]*file{} }

// FlipBit flips one bit of a file and reports whether the offset was inside the file.
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

// TotalBytes returns the size of all files.
func (d *Disk) TotalBytes() int {
	total := 0
	for _, entry := range d.files {
		total += len(entry.data)
	}
	return total
}

// Size returns the length of a file.
func (d *Disk) Size(name string) int { return len(d.fileNamed(name).data) }
