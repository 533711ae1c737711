// Tests of many configuration changes while members fail, at the sizes of all known
// deployments. The subcommand changes of fordseam-sim runs thousands of changes.

package simulate

import (
	"strings"
	"testing"
	"time"
)

// runChangeStreams runs a plan with several seeds and fails on any breach.
func runChangeStreams(t *testing.T, plan ChangeStreamPlan, seeds uint64) {
	t.Helper()
	for seed := uint64(1); seed <= seeds; seed++ {
		report := RunChangeStream(seed, plan)
		out := &strings.Builder{}
		report.Write(out)
		t.Log(out.String())
		for _, breach := range report.Breaches {
			t.Errorf("seed %d: %s", seed, breach)
		}
	}
}

// newPlan returns a plan for a size.
func newPlan(t *testing.T, size string, changes int) ChangeStreamPlan {
	t.Helper()
	plan, err := NewChangeStreamPlan(size, changes)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestMembersCatchUpAfterMissedChanges(t *testing.T) {
	for _, size := range ChangeStreamSizes {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			plan := newPlan(t, size, 200)
			if plan.Gateways > 10 {
				plan.Changes, plan.Interval = 60, 300*time.Millisecond
			}
			runChangeStreams(t, plan, uint64(*seedCount))
		})
	}
}

// One member of each role is down while all the changes are made.
func TestMembersCatchUpAfterMissingAllChanges(t *testing.T) {
	for _, size := range ChangeStreamSizes[:2] {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			plan := newPlan(t, size, 300)
			plan.LongAbsence = true
			runChangeStreams(t, plan, uint64(*seedCount))
		})
	}
}
