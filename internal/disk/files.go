// Files is the narrow way to stable storage. Append, Replace and Truncate only
// count once Sync of the same name returned. The real one keeps plain files in
// one data folder; the simulator keeps bytes in memory and drops what was not
// synced when power goes.

package disk

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

type Files interface {
	Read(name string) ([]byte, error)
	// Append and Replace fail with ErrFull where there is no room; a part may
	// have been written.
	Append(name string, data []byte) error
	Replace(name string, data []byte) error
	Truncate(name string, size int) error
	Sync(name string) error
	FreeBytes() int64
}

// ErrFull says that the disk has no room.
var ErrFull = errors.New("no space left on the disk")

func isFull(err error) bool { return errors.Cause(err) == ErrFull }

type folder struct {
	path  string
	limit int64
	mu    sync.Mutex
	open  map[string]*os.File
	sizes map[string]int64
}

var ownFiles = append(segmentNames(), slotName(0), slotName(1), logName(0), logName(1), neighboursName)

// OpenFolder uses a data folder, making it when absent. A limit above zero
// bounds what the folder may hold. A folder that holds other files and none
// of fordseam's is another program's.
func OpenFolder(path string, limit int64) (Files, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Annotatef(err, "data folder %q", path)
	}
	f := &folder{path: path, limit: limit, open: map[string]*os.File{}, sizes: map[string]int64{}}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Annotatef(err, "data folder %q", path)
	}
	others := []string{}
	for _, entry := range entries {
		info, err := entry.Info()
		switch {
		case err != nil:
		case slices.Contains(ownFiles, entry.Name()):
			f.sizes[entry.Name()] = info.Size()
		case entry.Name() != "lost+found":
			others = append(others, entry.Name())
		}
	}
	if len(f.sizes) == 0 && len(others) > 0 {
		return nil, errors.Errorf("data folder %q holds files that are not fordseam's: %s; give an empty folder", path, strings.Join(others, ", "))
	}
	return f, nil
}

func (f *folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(f.path, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return data, errors.Trace(err)
}

func (f *folder) handle(name string) (*os.File, error) {
	if held, ok := f.open[name]; ok {
		return held, nil
	}
	opened, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, full(err)
	}
	f.open[name] = opened
	if parent, err := os.Open(f.path); err == nil {
		err = parent.Sync()
		_ = parent.Close()
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	return opened, nil
}

// full tells the kernel's ways of saying that there is no room.
func full(err error) error {
	for _, word := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, word) {
			return errors.Trace(ErrFull)
		}
	}
	return errors.Trace(err)
}

// change does one thing to a file and keeps its size in mind.
func (f *folder) change(name string, do func(held *os.File) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, err := f.handle(name)
	if err != nil {
		return err
	}
	failed := do(held)
	if info, err := held.Stat(); err == nil {
		f.sizes[name] = info.Size()
	}
	return full(failed)
}

func (f *folder) Append(name string, data []byte) error {
	if f.limit > 0 && f.FreeBytes() < int64(len(data)) {
		return errors.Trace(ErrFull)
	}
	return f.change(name, func(held *os.File) error {
		_, err := held.Write(data)
		return err
	})
}

func (f *folder) Replace(name string, data []byte) error {
	if err := f.Truncate(name, 0); err != nil {
		return err
	}
	return f.Append(name, data)
}

func (f *folder) Truncate(name string, size int) error {
	return f.change(name, func(held *os.File) error { return held.Truncate(int64(size)) })
}

func (f *folder) Sync(name string) error {
	f.mu.Lock()
	held, err := f.handle(name)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return full(held.Sync())
}

// FreeBytes is the room that is left, of the limit and of the file system.
func (f *folder) FreeBytes() int64 {
	left := int64(1 << 40)
	var stat syscall.Statfs_t
	if syscall.Statfs(f.path, &stat) == nil {
		left = int64(stat.Bavail) * stat.Bsize
	}
	if f.limit <= 0 {
		return left
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	within := f.limit
	for _, size := range f.sizes {
		within -= size
	}
	return min(left, within)
}
