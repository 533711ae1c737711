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

// Files is the stable storage that a Store and a SegmentLog write to, as named files.
// Changes by Append, Replace and Truncate are durable only after Sync returned for
// the same name. OpenFolder returns the implementation over a directory; the
// simulator's keeps the files in memory and drops unsynced data on power loss.
type Files interface {
	// Read returns the content of a file, or nothing if it does not exist.
	Read(name string) ([]byte, error)
	// ReadAt returns a part of a file, and an error if the file ends before.
	ReadAt(name string, offset, size int) ([]byte, error)
	// Append and Replace return ErrFull if there is not enough space; a part of the
	// data may have been written.
	Append(name string, data []byte) error
	Replace(name string, data []byte) error
	Truncate(name string, size int) error
	Sync(name string) error
	// FreeBytes returns the space that is left for all files.
	FreeBytes() int64
}

// ErrFull means that there is no free space on the disk or within the folder's limit.
var ErrFull = errors.New("no space left on the disk")

func isFull(err error) bool { return errors.Cause(err) == ErrFull }

// IsSystemError reports whether the system refused to read or write a file, for example because
// there is no space, as opposed to an error of what a file contains.
func IsSystemError(err error) bool {
	var number syscall.Errno
	return isFull(err) || errors.As(err, &number)
}

// folder implements Files with plain files in one directory.
type folder struct {
	path    string
	limit   int64 // total size of the files; 0 means no limit
	mu      sync.Mutex
	handles map[string]*os.File
	sizes   map[string]int64
}

// knownFileNames are the names of all files that a data folder may contain.
var knownFileNames = append(segmentFileNames(), checkpointFileName(0), checkpointFileName(1), logFileName(0), logFileName(1), peerAddressesFileName, foundingVotesFileName)

// OpenFolder opens a data folder, creating it if it does not exist. A limit above
// zero bounds the total size of its files. It fails on a folder with other files and
// none of fordseam's, since that belongs to another program.
func OpenFolder(path string, limit int64) (Files, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Annotatef(err, "data folder %q", path)
	}
	f := &folder{path: path, limit: limit, handles: map[string]*os.File{}, sizes: map[string]int64{}}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Annotatef(err, "data folder %q", path)
	}
	foreignNames := []string{}
	for _, entry := range entries {
		info, err := entry.Info()
		switch {
		case err != nil:
		case slices.Contains(knownFileNames, entry.Name()):
			f.sizes[entry.Name()] = info.Size()
		case entry.Name() != "lost+found":
			foreignNames = append(foreignNames, entry.Name())
		}
	}
	if len(f.sizes) == 0 && len(foreignNames) > 0 {
		return nil, errors.Errorf("data folder %q contains files that are not fordseam's: %s; use an empty folder", path, strings.Join(foreignNames, ", "))
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

func (f *folder) ReadAt(name string, offset, size int) ([]byte, error) {
	file, err := os.Open(filepath.Join(f.path, name))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close()
	data := make([]byte, size)
	_, err = file.ReadAt(data, int64(offset))
	return data, errors.Trace(err)
}

// openFile returns the open file with a name, creating it if necessary. The folder is
// synced as well, so that a new file survives power loss. The caller holds the lock.
func (f *folder) openFile(name string) (*os.File, error) {
	if file, ok := f.handles[name]; ok {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, translateNoSpace(err)
	}
	f.handles[name] = file
	if directory, err := os.Open(f.path); err == nil {
		err = directory.Sync()
		_ = directory.Close()
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	return file, nil
}

// translateNoSpace returns ErrFull for the system's errors for a lack of space:
// ENOSPC, EDQUOT for a quota and EFBIG for a file size limit.
func translateNoSpace(err error) error {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, errno) {
			return errors.Trace(ErrFull)
		}
	}
	return errors.Trace(err)
}

// modify runs an operation on a file and updates the file's recorded size.
func (f *folder) modify(name string, operation func(file *os.File) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.openFile(name)
	if err != nil {
		return err
	}
	opErr := operation(file)
	if info, err := file.Stat(); err == nil {
		f.sizes[name] = info.Size()
	}
	return translateNoSpace(opErr)
}

func (f *folder) Append(name string, data []byte) error {
	if f.limit > 0 && f.FreeBytes() < int64(len(data)) {
		return errors.Trace(ErrFull)
	}
	return f.modify(name, func(file *os.File) error {
		_, err := file.Write(data)
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
	return f.modify(name, func(file *os.File) error { return file.Truncate(int64(size)) })
}

func (f *folder) Sync(name string) error {
	f.mu.Lock()
	file, err := f.openFile(name)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return translateNoSpace(file.Sync())
}

// FreeBytes returns the space that is left in the file system and within the limit,
// whichever is less.
func (f *folder) FreeBytes() int64 {
	available := int64(1 << 40)
	var stat syscall.Statfs_t
	if syscall.Statfs(f.path, &stat) == nil {
		available = int64(stat.Bavail) * stat.Bsize
	}
	if f.limit <= 0 {
		return available
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := f.limit
	for _, size := range f.sizes {
		remaining -= size
	}
	return min(available, remaining)
}
