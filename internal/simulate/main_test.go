package simulate

import (
	"os"
	"runtime/debug"
	"testing"
)

const (
	// gcPercent makes the garbage collector run less often: runs allocate much and keep
	// little.
	gcPercent = 400
	// memoryLimit makes it run more often again when the tests that run at the same time
	// keep much, so that they stay well below half of a machine of 24 GB.
	memoryLimit = 6 << 30
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	os.Exit(m.Run())
}
