package simulate

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent trades memory for time: runs make much garbage and hold little.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
