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

// isolationSeeds sets the number of seeds for each size; by default there are a few.
var isolationSeeds = flag.Int("cut-seeds", 0, "seeds of each size that is isolated (0: a few)")

// isolationCase spreads the seeds over targets and modes, so that a few seeds cover many
// combinations and many seeds cover all.
func isolationCase(seed uint64) (IsolationTarget, IsolationMode) {
	return IsolationTargets[seed%uint64(len(IsolationTargets))], IsolationModes[seed%uint64(len(IsolationModes))]
}

// TestIsolatedMachinesRefuseRequests isolates each target in each mode, at the sizes of the
// users' deployments.
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
				target, mode := isolationCase(seed)
				runs = append(runs, runPlan(t, IsolationPlan{Size: size, Target: target, Mode: mode, Duration: 20 * time.Second, Seed: seed + 1}))
			}
			logTimes(t, runs)
		})
	}
}

// runPlan runs a plan and reports its first five breaches.
func runPlan(t *testing.T, plan IsolationPlan) *IsolationResult {
	t.Helper()
	run := plan.Run(nil)
	for _, breach := range run.Breaches[:min(5, len(run.Breaches))] {
		t.Errorf("%s: %s", plan, breach)
	}
	return run
}

// TestMajorityAcknowledgesSoonAfterLeaderLoss stops or isolates the leader of the feed's
// shard in each way. The other cores must acknowledge a change soon after.
func TestMajorityAcknowledgesSoonAfterLeaderLoss(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	seedsBySize := map[string]int{"tills": 4, "pay": 4, "grown tills": 1, "grown pay": 1}
	for _, size := range []string{"tills", "pay", "grown tills", "grown pay"} {
		for _, mode := range []IsolationMode{IsolationKilled, IsolationPowerLoss, IsolationFrozen, IsolationSilent} {
			t.Run(size+", "+string(mode), func(t *testing.T) {
				t.Parallel()
				var runs []*IsolationResult
				for seed := range uint64(max(seedsBySize[size], *isolationSeeds)) {
					runs = append(runs, runPlan(t, IsolationPlan{Size: size, Target: TargetLeader, Mode: mode, Duration: 6 * time.Second, Seed: seed + 1}))
				}
				logTimes(t, runs)
				for _, run := range runs {
					if limit := IsolationShape(size).Site.Bounds.Recovery / 6; run.MajorityAckTime > limit {
						t.Errorf("%s: acknowledged after %v; the limit is %v", run.IsolationPlan, run.MajorityAckTime, limit)
					}
				}
			})
		}
	}
}

// logTimes logs the median and the longest time to the next acknowledgement, to the recovery
// and of an answer.
func logTimes(t *testing.T, runs []*IsolationResult) {
	t.Helper()
	logTime := func(name string, timeOf func(run *IsolationResult) time.Duration) {
		sorted := slices.SortedFunc(slices.Values(runs), func(a, b *IsolationResult) int { return cmp.Compare(timeOf(a), timeOf(b)) })
		worst := sorted[len(sorted)-1]
		t.Logf("%-28s median %v, worst %v (seed %d, %s, %s)", name, timeOf(sorted[len(sorted)/2]), timeOf(worst), worst.Seed, worst.Target, worst.Mode)
	}
	logTime("acknowledged, majority side", func(run *IsolationResult) time.Duration { return run.MajorityAckTime })
	logTime("acknowledged, any core", func(run *IsolationResult) time.Duration { return run.AnyCoreAckTime })
	logTime("all cores after isolation", func(run *IsolationResult) time.Duration { return run.RecoveryTime })
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
