package simulate

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
)

// cutSeeds is how many seeds each size is played with; a run of more is asked
// for on the command line.
var cutSeeds = flag.Int("cut-seeds", 0, "seeds of each size that is cut off (0: a few)")

// cutDeal gives each seed a target and a way, so that a few seeds cover many
// pairs and many seeds cover all.
func cutDeal(seed uint64) (CutTarget, CutWay) {
	return CutTargets[seed%uint64(len(CutTargets))], CutWays[seed%uint64(len(CutWays))]
}

// TestCutOffMachinesGiveNothingOut has each target cut off in each way at the
// sizes of the users' deployments.
func TestCutOffMachinesGiveNothingOut(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	few := map[string]int{"tills": 21, "pay": 14, "grown tills": 2, "grown pay": 2}
	for _, size := range []string{"tills", "pay", "grown tills", "grown pay"} {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			count := few[size]
			if *cutSeeds > 0 {
				count = *cutSeeds
			}
			var runs []*CutRun
			for seed := range uint64(count) {
				target, way := cutDeal(seed)
				run := PlayCut(size, target, way, seed+1, nil)
				runs = append(runs, run)
				for _, breach := range run.Breaches[:min(5, len(run.Breaches))] {
					t.Errorf("seed %d, %s, %s: %s", seed+1, target, way, breach)
				}
			}
			report(t, runs)
		})
	}
}

// report prints the times to the next acknowledgement: the median and the worst.
func report(t *testing.T, runs []*CutRun) {
	t.Helper()
	figure := func(name string, of func(run *CutRun) time.Duration) {
		sorted := slices.SortedFunc(slices.Values(runs), func(a, b *CutRun) int { return cmp.Compare(of(a), of(b)) })
		worst := sorted[len(sorted)-1]
		t.Logf("%-28s median %v, worst %v (seed %d, %s, %s)", name, of(sorted[len(sorted)/2]), of(worst), worst.Seed, worst.Target, worst.Way)
	}
	figure("acknowledged, majority side", func(run *CutRun) time.Duration { return run.Acked })
	figure("acknowledged, any core", func(run *CutRun) time.Duration { return run.Everywhere })
	figure("all cores after the cut", func(run *CutRun) time.Duration { return run.Back })
	figure("slowest answer", func(run *CutRun) time.Duration { return run.Slowest })
	calls, refusals := 0, 0
	byPair := map[string][]time.Duration{}
	for _, run := range runs {
		calls, refusals = calls+run.Calls, refusals+run.Refusals
		pair := fmt.Sprintf("%s, %s", run.Target, run.Way)
		byPair[pair] = append(byPair[pair], run.Acked, run.Everywhere)
	}
	t.Logf("%d runs, %d calls, %d refused with 503", len(runs), calls, refusals)
	if testing.Verbose() {
		for pair, times := range byPair {
			t.Logf("  %s: %v", pair, times)
		}
	}
}
