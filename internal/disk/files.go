// Files is the narrow way to stable storage. Append and Replace only count
// once Sync of the same name returned. The real one keeps plain files in one
// data folder; the simulator keeps bytes in memory and drops what was not
// synced when power goes.
package disk

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/juju/errors"
)

type Files interface {
	Read(name string) ([]byte, error)
	Append(name string, data []byte) error
	Replace(name string, data []byte) error
	Sync(name string) error
	Free() int64
}

type folder struct {
	path  string
	limit int64
	mu    sync.Mutex
	open  map[string]*os.File
	sizes map[string]int64
}

// OpenFolder uses a data folder, making it when absent. A limit above zero
// bounds what the folder may hold.
func OpenFolder(path string, limit int64) (Files, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Annotatef(err, "data folder %q", path)
	}
	f := &folder{path: path, limit: limit, open: map[string]*os.File{}, sizes: map[string]int64{}}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Annotatef(err, "data folder %q", path)
	}
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			f.sizes[entry.Name()] = info.Size()
		}
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
		return nil, errors.Trace(err)
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

func (f *folder) Append(name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, err := f.handle(name)
	if err != nil {
		return err
	}
	f.sizes[name] += int64(len(data))
	_, err = held.Write(data)
	return errors.Trace(err)
}

func (f *folder) Replace(name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, err := f.handle(name)
	if err != nil {
		return err
	}
	if err := held.Truncate(0); err != nil {
		return errors.Trace(err)
	}
	f.sizes[name] = int64(len(data))
	_, err = held.Write(data)
	return errors.Trace(err)
}

func (f *folder) Sync(name string) error {
	f.mu.Lock()
	held, err := f.handle(name)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return errors.Trace(held.Sync())
}

func (f *folder) Free() int64 {
	if f.limit <= 0 {
		return 1 << 40
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.limit
	for _, size := range f.sizes {
		left -= size
	}
	return left
}
