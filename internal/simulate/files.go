// Disks in memory. What was not synced when power goes is lost, save for a
// torn part of what was being written. A disk can stall, fill up, or rot.
package simulate

import (
	"errors"
	"time"
)

type file struct {
	live   []byte
	synced []byte
}

// Files is one machine's disk.
type Files struct {
	host    *Host
	files   map[string]*file
	Limit   int64
	Stalled bool
	Syncs   int
	Quick   time.Duration
	Slow    time.Duration
}

func NewFiles(host *Host) *Files {
	return &Files{host: host, files: map[string]*file{}, Limit: 64 << 20, Quick: 500 * time.Microsecond, Slow: 4 * time.Millisecond}
}

func (f *Files) at(name string) *file {
	held, ok := f.files[name]
	if !ok {
		held = &file{}
		f.files[name] = held
	}
	return held
}

func (f *Files) Read(name string) ([]byte, error) {
	return append([]byte(nil), f.at(name).live...), nil
}

func (f *Files) Append(name string, data []byte) error {
	if f.Free() < int64(len(data)) {
		return errors.New("no space left on disk")
	}
	held := f.at(name)
	held.live = append(held.live, data...)
	return nil
}

func (f *Files) Replace(name string, data []byte) error {
	f.at(name).live = append([]byte(nil), data...)
	return nil
}

func (f *Files) Sync(name string) error {
	held := f.at(name)
	covered := append([]byte(nil), held.live...)
	clock := f.host.Clock()
	for f.Stalled {
		clock.Sleep(100 * time.Millisecond)
	}
	clock.Sleep(f.host.World.Between(f.Quick, f.Slow))
	held.synced = covered
	f.Syncs++
	return nil
}

func (f *Files) Free() int64 {
	left := f.Limit
	for _, held := range f.files {
		left -= int64(len(held.live))
	}
	return left
}

// LosePower drops what was not synced; a file that was being added to keeps
// a torn part of the addition.
func (f *Files) LosePower() {
	for _, name := range []string{"log-0", "log-1", "slot-0", "slot-1"} {
		held := f.at(name)
		kept := append([]byte(nil), held.synced...)
		if len(held.live) > len(kept) && string(held.live[:len(kept)]) == string(kept) {
			torn := f.host.World.Int64N(int64(len(held.live)-len(kept)) + 1)
			kept = append(kept, held.live[len(kept):len(kept)+int(torn)]...)
		} else if string(held.live) != string(held.synced) && f.host.World.Chance(0.5) {
			kept = held.live[:f.host.World.Int64N(int64(len(held.live))+1)]
		}
		held.live, held.synced = append([]byte(nil), kept...), append([]byte(nil), kept...)
	}
}

// Wipe gives an empty disk.
func (f *Files) Wipe() { f.files = map[string]*file{} }

// Rot flips one bit of a file, and tells whether there was one to flip.
func (f *Files) Rot(name string, place int) bool {
	held := f.at(name)
	if place >= len(held.live) {
		return false
	}
	held.live[place] ^= 0x10
	held.synced = append([]byte(nil), held.live...)
	return true
}

// Size is how long a file is.
func (f *Files) Size(name string) int { return len(f.at(name).live) }
