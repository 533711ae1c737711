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

// isolationSeeds is how many seeds each size is played with; a run of more is asked
// for on the command line.
var isolationSeeds = flag.Int("cut-seeds", 0, "seeds of each size that is cut off (0: a few)")

// isolationCase gives each seed a target and a way, so that a few seeds cover many
// pairs and many seeds cover all.
func isolationCase(seed uint64) (IsolationTarget, IsolationMode) {
	return IsolationTargets[seed%uint64(len(IsolationTargets))], IsolationModes[seed%uint64(len(IsolationModes))]
}

// TestIsolatedMachinesRefuseRequests has each target cut off in each way at the
// sizes of the users' deployments.
func TestIsolatedMachinesRefuseRequests(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	seedsBySize := map[string]int{"tills": 21, "pay": 14, "grown tills": 2, "grown pay": 2}
	for _, size := range []string{"tills", "pay", "grown tills", "grown pay"} {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			count := seedsBySize[size]
			if *isolationSeeds > 0 {
				count = *isolationSeeds
			}
			var runs []*IsolationResult
			for seed := range uint64(count) {
				target, way := isolationCase(seed)
				runs = append(runs, runPlan(t, IsolationPlan{Size: size, Target: target, Mode: way, Duration: 20 * time.Second, Seed: seed + 1}))
			}
			logTimes(t, runs)
		})
	}
}

func runPlan(t *testing.T, plan IsolationPlan) *IsolationResult {
	t.Helper()
	run := plan.Run(nil)
	for _, breach := range run.Breaches[:min(5, len(run.Breaches))] {
		t.Errorf("%s: %s", plan, breach)
	}
	return run
}

// TestMajorityAcknowledgesSoonAfterLeaderLoss has the owner of the feed's shard fall
// silent or end in each way, and wants a change acknowledged on the others' side
// soon after.
func TestMajorityAcknowledgesSoonAfterLeaderLoss(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	seedsBySize := map[string]int{"tills": 4, "pay": 4, "grown tills": 1, "grown pay": 1}
	for _, size := range []string{"tills", "pay", "grown tills", "grown pay"} {
		for _, way := range []IsolationMode{IsolationKilled, IsolationPowerLoss, IsolationFrozen, IsolationSilent} {
			t.Run(size+", "+string(way), func(t *testing.T) {
				t.Parallel()
				var runs []*IsolationResult
				for seed := range uint64(max(seedsBySize[size], *isolationSeeds)) {
					runs = append(runs, runPlan(t, IsolationPlan{Size: size, Target: TargetLeader, Mode: way, Duration: 6 * time.Second, Seed: seed + 1}))
				}
				logTimes(t, runs)
				for _, run := range runs {
					if limit := IsolationShape(size).Site.Bounds.Recovery / 6; run.MajorityAckTime > limit {
						t.Errorf("%s: acknowledged after %v, %v at the most", run.IsolationPlan, run.MajorityAckTime, limit)
					}
				}
			})
		}
	}
}

// logTimes prints the times to the next acknowledgement: the median and the worst.
func logTimes(t *testing.T, runs []*IsolationResult) {
	t.Helper()
	logTime := func(name string, timeOf func(run *IsolationResult) time.Duration) {
		sorted := slices.SortedFunc(slices.Values(runs), func(a, b *IsolationResult) int { return cmp.Compare(timeOf(a), timeOf(b)) })
		worst := sorted[len(sorted)-1]
		t.Logf("%-28s median %v, worst %v (seed %d, %s, %s)", name, timeOf(sorted[len(sorted)/2]), timeOf(worst), worst.Seed, worst.Target, worst.Mode)
	}
	logTime("acknowledged, majority side", func(run *IsolationResult) time.Duration { return run.MajorityAckTime })
	logTime("acknowledged, any core", func(run *IsolationResult) time.Duration { return run.AnyCoreAckTime })
	logTime("all cores after the cut", func(run *IsolationResult) time.Duration { return run.RecoveryTime })
	logTime("slowest answer", func(run *IsolationResult) time.Duration { return run.SlowestAnswer })
	calls, refusals := 0, 0
	byPair := map[string][]time.Duration{}
	for _, run := range runs {
		calls, refusals = calls+run.CallCount, refusals+run.RefusalCount
		pair := fmt.Sprintf("%s, %s", run.Target, run.Mode)
		byPair[pair] = append(byPair[pair], run.MajorityAckTime, run.AnyCoreAckTime)
	}
	t.Logf("%d runs, %d calls, %d refused with 503", len(runs), calls, refusals)
	if testing.Verbose() {
		for pair, times := range byPair {
			t.Logf("  %s: %v", pair, times)
		}
	}
}
