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
				runs = append(runs, played(t, CutPlan{Size: size, Target: target, Way: way, Span: 20 * time.Second, Seed: seed + 1}))
			}
			report(t, runs)
		})
	}
}

func played(t *testing.T, plan CutPlan) *CutRun {
	t.Helper()
	run := plan.Play(nil)
	for _, breach := range run.Breaches[:min(5, len(run.Breaches))] {
		t.Errorf("%s: %s", plan, breach)
	}
	return run
}

// TestTheNextAcknowledgementComesSoon has the owner of the feed's shard fall
// silent or end in each way, and wants a change acknowledged on the others' side
// soon after.
func TestTheNextAcknowledgementComesSoon(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	few := map[string]int{"tills": 4, "pay": 4, "grown tills": 1, "grown pay": 1}
	for _, size := range []string{"tills", "pay", "grown tills", "grown pay"} {
		for _, way := range []CutWay{CutKilled, CutDark, CutFrozen, CutSilent} {
			t.Run(size+", "+string(way), func(t *testing.T) {
				t.Parallel()
				var runs []*CutRun
				for seed := range uint64(max(few[size], *cutSeeds)) {
					runs = append(runs, played(t, CutPlan{Size: size, Target: CutOwner, Way: way, Span: 6 * time.Second, Seed: seed + 1}))
				}
				report(t, runs)
				for _, run := range runs {
					if bound := CutShape(size).Site.Bounds.Recovery / 6; run.Acked > bound {
						t.Errorf("%s: acknowledged after %v, %v at the most", run.CutPlan, run.Acked, bound)
					}
				}
			})
		}
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
