package simulate

import (
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// TestConfigChangesReachLargeFleetDuringWorkerChurn: at 300 machines and 3000 workers, a
// configuration is in force everywhere long before its bound, and the leader of the feed
// answers a bounded number of followers, although the partial views are filled with
// cores and storage machines and show only few of the gateways.
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
	startedAt := c.World.Now()
	changes, err := c.MeasureChanges(span, time.Second)
	is.NoErr(err)
	took := c.World.Now() - startedAt
	for _, change := range changes {
		is.True(change.PropagationTime < c.Site.Bounds.Apply/4)
	}
	is.True(c.CounterTotal("roster_changes") > before)
	leader := c.feedLeader()
	callsPerSecond := float64(c.Net.TrafficByHost[leader.Host.Name].RequestsReceived) / took.Seconds()
	bytesPerSecond := float64(c.Net.TrafficByHost[leader.Host.Name].Bytes) / took.Seconds()
	t.Logf("%d changes applied: %v; the leader serves %.0f calls and sends and receives %.0f bytes per second", len(changes), changes, callsPerSecond, bytesPerSecond)
	is.True(callsPerSecond < 150)
	is.True(bytesPerSecond < maxLeaderBytesPerSecond)
	is.True(len(c.Gateways) > 200)
	for _, m := range c.Gateways {
		is.Equal(m.gateway.Follower.GatewayCount(), len(c.Gateways))
	}
}

// maxLeaderBytesPerSecond bounds the traffic of the feed's leader at 300 machines. Most of
// it are changes of the workers' list that go to 90 replicas.
const maxLeaderBytesPerSecond = 350e3

// fullViewGateways is about how many gateways a view shows in a small fleet.
const fullViewGateways = 20

// TestLargeFleetServesSoonAfterTotalOutage: followers that all restart at once without
// any state do not delay each other.
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
	startedAt := c.World.Now()
	unready := func() int {
		return len(base.Filter(c.Gateways, func(m *Machine) bool { return m.gateway == nil || m.gateway.RoutesReady() != nil }))
	}
	half := c.runUntil(30*time.Second, func() bool { return unready() < len(c.Gateways)/2 })
	c.runUntil(30*time.Second, func() bool { return unready() == 0 })
	all := c.World.Now() - startedAt
	t.Logf("half of the gateways serve after %v, all after %v", half, all)
	is.True(half < 2*time.Second)
	is.True(all < 4*time.Second)
}
