package simulate

import (
	"regexp"
	"testing"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// grownSizeScenarios matches the scenarios that the tests run at the grown size: those
// that depend on the number of machines. Campaigns run all.
var grownSizeScenarios = regexp.MustCompile("^(mixed|closing|stores|hunt|herd_kill|core_cut|quiet|counted|more stores)")

// TestTierKeepsInvariants runs every scenario of the tier at several sizes with a fixed
// set of seeds. Subtests are named after the shape and the scenario.
func TestTierKeepsInvariants(t *testing.T) {
	for _, name := range []string{"small", "roaming", "kiondo", "grown"} {
		for _, scenario := range TierScenarios {
			if name == "grown" && !grownSizeScenarios.MatchString(scenario.Name) {
				continue
			}
			t.Run(name+"/"+scenario.Name, func(t *testing.T) {
				t.Parallel()
				count := uint64(*seedCount)
				for seed := uint64(1); seed <= count; seed++ {
					outcome := scenario.Run(seed, TierShapes[name]())
					t.Logf("seed %d, %.0f s: %v", seed, outcome.VirtualS, outcome.Counts)
					for _, breach := range outcome.Breaches {
						t.Errorf("%s\n  %s", outcome.ReplayCommand(), breach)
					}
				}
			})
		}
	}
}

func TestTierScenariosReplayExactly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	run := func() (tries, arrivals string) {
		var tier *Tier
		FindTierScenario("mixed: storm, closing power").RunWith(3, TierShapes["small"](), func(t *Tier) { tier = t })
		record := tier.recorder.Snapshot()
		return base.Digest(base.MustMarshal(record.Tries)), base.Digest(base.MustMarshal(record.Arrivals))
	}
	tries, arrivals := run()
	again, arrivedAgain := run()
	is.Equal(tries, again)
	is.Equal(arrivals, arrivedAgain)
}
