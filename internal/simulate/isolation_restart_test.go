package simulate

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
)

// A core that was restarted behind a cut knows no disks, and so never finds that
// it lacks a majority of them. Gateways reach it, and it may be the first in the
// order in which they look for the owner of the feed's shard.
func TestGatewaysSkipCoreWithoutDiskSet(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	for place := range IsolationSizes["tills"][1] {
		for seed := uint64(1); seed <= 2; seed++ {
			t.Run(fmt.Sprintf("core %d, seed %d", place, seed), func(t *testing.T) {
				t.Parallel()
				restartWhileIsolated(t, place, seed)
			})
		}
	}
}

func restartWhileIsolated(t *testing.T, place int, seed uint64) {
	tier := NewTier(seed, IsolationShape("tills"), nil)
	defer tier.World.Close()
	done := false
	tier.CallerHost.Go(func() {
		defer func() { done = true }()
		if !tier.applyFirstConfig() {
			t.Error("the tier did not form")
			return
		}
		clock := tier.CallerHost.Clock()
		isolated := tier.Cores[place]
		for _, other := range append(append([]*Machine{}, tier.Cores...), tier.Storage...) {
			if other != isolated {
				tier.Net.CutLink(isolated.Host.Name, other.Host.Name)
				tier.Net.CutLink(other.Host.Name, isolated.Host.Name)
			}
		}
		clock.Sleep(time.Second)
		tier.crashFor(isolated, "node_kill", 500*time.Millisecond, false, false)
		clock.Sleep(2 * time.Second)
		tier.forEachMachine(tier.Cores, func(m *Machine) {
			if m != isolated {
				tier.crashFor(m, "node_kill", 300*time.Millisecond, false, false)
			}
		})
		clock.Sleep(2 * time.Second)
		tier.changeConfig()
		newest := tier.config.newestAcked.Config.Generation
		clock.Sleep(tier.Site.Bounds.Apply)
		for _, edge := range tier.Gateways {
			if table := edge.gateway.Routes.Load(); table == nil || table.Version != newest {
				t.Errorf("%s does not have version %d, %v after it was acknowledged", edge.Host.Name, newest, tier.Site.Bounds.Apply)
			}
		}
	})
	if !tier.World.Run(2*time.Minute, func() bool { return done }) {
		t.Error("the run does not end")
	}
}
