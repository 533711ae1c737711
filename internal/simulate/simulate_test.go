package simulate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runSeeds runs a scenario on a new fleet for each seed and checks the invariants. It
// stops at the first seed that fails.
func runSeeds(t *testing.T, seeds int, shape Shape, scenario func(t *testing.T, f *Fleet)) {
	t.Helper()
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		f := NewFleet(seed, shape)
		t.Logf("seed %d", seed)
		scenario(t, f)
		for _, breach := range f.CheckInvariants() {
			t.Errorf("seed %d: %s", seed, breach)
		}
		f.World.Close()
		if t.Failed() {
			return
		}
	}
}

// waitUntilFormed sets the fleet up and runs the world until that is done.
func waitUntilFormed(t *testing.T, f *Fleet) {
	t.Helper()
	formed := false
	f.CallerHost.Go(func() { f.SetUp(); formed = true })
	if !f.World.Run(60*time.Second, func() bool { return formed }) {
		t.Fatalf("seed %d: the fleet did not form", f.World.Seed)
	}
}

func TestOrdinaryPath(t *testing.T) {
	runSeeds(t, 2, SmallShape(), func(t *testing.T, f *Fleet) {
		is := is.New(t)
		waitUntilFormed(t, f)
		remaining := f.StartCallers(4, 3, true, nil)
		is.True(f.World.Run(f.World.Now()+60*time.Second, func() bool { return remaining() == 0 }))
		is.Equal(f.Tally.Counts["conversations_whole"], 4)
		is.Equal(f.Tally.Counts["turns_whole"], 12)
		is.Equal(f.Tally.Counts["tools_done"], 8)
	})
}
