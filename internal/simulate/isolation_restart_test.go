package simulate

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
)

// A core that restarts while it is isolated knows no disk set, so it cannot notice that it
// lacks a majority of the disks. Gateways still reach it, and it may be the first core that
// they try when they look for the leader of the feed's shard. They must move on to a core
// that answers.
func TestGatewaysSkipCoreWithoutDiskSet(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	for index := range IsolationSizes["tills"][1] {
		for seed := uint64(1); seed <= 2; seed++ {
			t.Run(fmt.Sprintf("core %d, seed %d", index, seed), func(t *testing.T) {
				t.Parallel()
				restartWhileIsolated(t, index, seed)
			})
		}
	}
}

// restartWhileIsolated isolates one core, restarts it and the other cores, and checks that
// every gateway gets the next configuration in time.
func restartWhileIsolated(t *testing.T, index int, seed uint64) {
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
		isolated := tier.Cores[index]
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
		for _, gateway := range tier.Gateways {
			if table := gateway.gateway.Routes.Load(); table == nil || table.Version != newest {
				t.Errorf("%s does not have version %d %v after it was acknowledged", gateway.Host.Name, newest, tier.Site.Bounds.Apply)
			}
		}
	})
	if !tier.World.Run(2*time.Minute, func() bool { return done }) {
		t.Error("the run did not finish")
	}
}
