package simulate

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent makes the garbage collector run less often: runs allocate much and keep little.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
