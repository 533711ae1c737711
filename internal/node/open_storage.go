package node

import (
	"context"
	"time"

	"fordseam/internal/disk"
	"fordseam/internal/retry"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// diskPauses are the pauses between tries to open a disk.
var diskPauses = retry.Pauses{First: 50 * time.Millisecond, Longest: 2 * time.Second}

// openStorage opens the data folder of a storage node. While the system refuses to read or write
// it, because it is full or not there yet, it tries again until ctx ends. It fails at once on what
// the folder contains.
func openStorage(ctx context.Context, env Env, config *Config) (*Storage, error) {
	var storage *Storage
	err := diskPauses.Until(ctx, func(before int) (again bool, err error) {
		storage, err = tryOpenStorage(env, config)
		again = err != nil && disk.IsSystemError(err)
		if again && before == 0 {
			log.WithError(err).Warn("cannot open the data folder yet, trying again")
		}
		return again, err
	})
	return storage, err
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
