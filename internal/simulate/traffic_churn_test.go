// A fleet of three hundred before three thousand workers that come and go.
package simulate

import (
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// TestConfigChangesReachLargeFleetDuringWorkerChurn holds that a
// configuration is in force everywhere long before its bound, and that the owner
// of the feed answers a bounded number of followers, though no view of the fleet
// shows its gateways: cores and storage machines fill them.
func TestConfigChangesReachLargeFleetDuringWorkerChurn(t *testing.T) {
	t.Parallel()
	is := is.NewRelaxed(t)
	c, err := NewChurnRun(1, 300)
	is.NoErr(err)
	if err != nil {
		return
	}
	defer c.World.Close()
	hidden := 0
	for _, m := range c.Gateways {
		if m.gateway.View().Partial() && len(m.gateway.View().Known("edge")) < fullViewGateways {
			hidden++
		}
	}
	is.True(hidden > len(c.Gateways)/2)
	const span = 10 * time.Second
	before := c.CounterTotal("roster_changes")
	began := c.World.Now()
	changes, err := c.MeasureChanges(span, time.Second)
	is.NoErr(err)
	took := c.World.Now() - began
	for _, change := range changes {
		is.True(change.PropagationTime < c.Site.Bounds.Apply/4)
	}
	is.True(c.CounterTotal("roster_changes") > before)
	owner := c.feedLeader()
	asked := float64(c.Net.TrafficByHost[owner.Host.Name].RequestsReceived) / took.Seconds()
	said := float64(c.Net.TrafficByHost[owner.Host.Name].Bytes) / took.Seconds()
	t.Logf("%d changes in force: %v; the owner serves %.0f calls a second and says %.0f bytes", len(changes), changes, asked, said)
	is.True(asked < 150)
	is.True(said < maxLeaderBytesPerSecond)
	is.True(len(c.Gateways) > 200)
	for _, m := range c.Gateways {
		is.Equal(m.gateway.Follower.GatewayCount(), len(c.Gateways))
	}
}

// maxLeaderBytesPerSecond bounds what the owner of the feed says a second at 300 machines: most
// of it are the changes of the roster to 90 replicas.
const maxLeaderBytesPerSecond = 350e3

// fullViewGateways is about how many gateways a view shows of a small fleet.
const fullViewGateways = 20

// TestLargeFleetServesSoonAfterTotalOutage: followers that all come back at
// once with nothing do not hold each other up.
func TestLargeFleetServesSoonAfterTotalOutage(t *testing.T) {
	t.Parallel()
	is := is.NewRelaxed(t)
	c, err := NewChurnRun(2, 300)
	is.NoErr(err)
	if err != nil {
		return
	}
	defer c.World.Close()
	for _, m := range c.All() {
		c.endProcess(m, false)
	}
	c.World.Run(c.World.Now()+600*time.Millisecond, nil)
	for _, m := range c.All() {
		c.startMachine(m)
	}
	began := c.World.Now()
	unready := func() int {
		return len(base.Filter(c.Gateways, func(m *Machine) bool { return m.gateway == nil || m.gateway.RoutesReady() != nil }))
	}
	half := c.runUntil(30*time.Second, func() bool { return unready() < len(c.Gateways)/2 })
	c.runUntil(30*time.Second, func() bool { return unready() == 0 })
	all := c.World.Now() - began
	t.Logf("half of the gateways serve after %v, all after %v", half, all)
	is.True(half < 2*time.Second)
	is.True(all < 4*time.Second)
}
