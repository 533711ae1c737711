// Runs every scenario at the small size and at the sizes of both deployments, with a fixed
// set of seeds.
package simulate

import (
	"flag"
	"testing"
)

// seedCount is one by default, for CI; the small size gets two seeds.
var seedCount = flag.Int("seeds", 1, "seeds for each scenario and shape; the small shape gets twice as many")

func TestInvariantsHoldUnderFaults(t *testing.T) {
	for _, name := range []string{"small", "kiondo", "ljubljana"} {
		for _, scenario := range Scenarios {
			t.Run(name+"/"+scenario.Name, func(t *testing.T) {
				t.Parallel()
				count := uint64(*seedCount)
				if name == "small" {
					count *= 2
				}
				for seed := uint64(1); seed <= count; seed++ {
					outcome := scenario.Run(seed, Shapes[name]())
					t.Logf("seed %d, %.0f s: %v", seed, outcome.VirtualS, outcome.Counts)
					for _, breach := range outcome.Breaches {
						t.Errorf("seed %d: %s", seed, breach)
					}
				}
			})
		}
	}
}

// startScenarioFaults injects one scenario's faults while running returns true.
func (f *Fleet) startScenarioFaults(name string, running func() bool) {
	scenario := FindScenario(name)
	f.Net.Faults = scenario.Net
	f.CallerHost.Go(func() {
		for round := 0; scenario.Inject != nil && running(); round++ {
			scenario.Inject(f, round)
			f.CallerHost.Clock().Sleep(scenario.Interval)
		}
	})
}
