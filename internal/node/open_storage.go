package node

import (
	"context"
	"time"

	"fordseam/internal/disk"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// The pause between two tries to open a disk doubles from the first to the longest.
const (
	firstDiskPause   = 50 * time.Millisecond
	longestDiskPause = 2 * time.Second
)

// openStorage opens the data folder of a storage node. While the system refuses to read or write
// it, because it is full or not there yet, it tries again until ctx ends. It fails at once on what
// the folder contains.
func openStorage(ctx context.Context, env Env, config *Config) (*Storage, error) {
	for pause := firstDiskPause; ; pause = min(2*pause, longestDiskPause) {
		storage, err := tryOpenStorage(env, config)
		if err == nil || !disk.IsSystemError(err) {
			return storage, err
		}
		if pause == firstDiskPause {
			log.WithError(err).Warn("cannot open the data folder yet, trying again")
		}
		select {
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-time.After(pause):
		}
	}
}

// tryOpenStorage opens the data folder of a storage node once.
func tryOpenStorage(env Env, config *Config) (*Storage, error) {
	files, err := disk.OpenFolder(config.DataDir, config.DiskLimitBytes)
	if err != nil {
		return nil, err
	}
	env.Files = files
	storage, err := NewStorage(env, *config)
	if err != nil && !disk.IsSystemError(err) {
		err = errors.Annotate(err, "the data on the disk is damaged, so it must not vote; empty the data folder to bring this machine back as a new disk")
	}
	return storage, err
}
