package simulate

import (
	"slices"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

func shapeOfSize(nodes int) Shape { return ShapeOfSize(nodes, 7) }

// setupStage is how far a fleet is set up.
type setupStage string

const (
	noCluster       setupStage = "no cluster"
	noSettings      setupStage = "no settings"
	settingsApplied setupStage = "settings applied"
)

// idleFleet returns an idle fleet of a size, with its traffic counters reset.
func idleFleet(t *testing.T, nodes int, stage setupStage) *Fleet {
	t.Helper()
	f := NewFleet(1, shapeOfSize(nodes))
	switch stage {
	case settingsApplied:
		waitUntilFormed(t, f)
	case noSettings:
		formed := false
		f.CallerHost.Go(func() {
			addrs := base.Map(f.Storage, func(m *Machine) string { return m.Host.Name + ":1" })
			f.retryUntilOK("form", func() int {
				status, _ := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/init", map[string]any{"disks": addrs})
				return status
			})
			formed = true
		})
		if !f.World.Run(60*time.Second, func() bool { return formed }) {
			t.Fatal("the cluster was not bootstrapped within 60 s")
		}
	}
	f.World.Run(f.World.Now()+10*time.Second, nil)
	f.Net.TrafficByPath = map[string]*PathTraffic{}
	return f
}

// measureIdle returns the calls and bytes per node and second of an idle fleet.
func measureIdle(t *testing.T, nodes int, stage setupStage) (calls, bytes float64) {
	t.Helper()
	f := idleFleet(t, nodes, stage)
	defer f.World.Close()
	const span = 60
	f.World.Run(f.World.Now()+span*time.Second, nil)
	nodeSeconds := float64(span * nodes)
	for _, path := range base.SortedKeys(f.Net.TrafficByPath) {
		traffic := f.Net.TrafficByPath[path]
		t.Logf("%d nodes, %s: %-45s %6.2f calls %7.0f bytes, %5.0f per call", nodes, stage, path,
			float64(traffic.Calls)/nodeSeconds, float64(traffic.Bytes)/nodeSeconds, float64(traffic.Bytes)/float64(traffic.Calls))
		calls += float64(traffic.Calls) / nodeSeconds
		bytes += float64(traffic.Bytes) / nodeSeconds
	}
	t.Logf("%d nodes, %s: %.2f calls, %.0f bytes", nodes, stage, calls, bytes)
	return calls, bytes
}

// TestIdleTrafficStaysSmall bounds the traffic per node of an idle fleet and its growth
// with the size of the fleet.
func TestIdleTrafficStaysSmall(t *testing.T) {
	t.Parallel()
	for _, stage := range []setupStage{noSettings, settingsApplied} {
		is := is.New(t)
		calls, small := measureIdle(t, 14, stage)
		is.True(small < 1300)
		is.True(calls < 6)
		calls, large := measureIdle(t, 78, stage)
		is.True(large < 1300)
		is.True(large < small*1.2)
		is.True(calls < 6)
	}
}

// TestPartialViewsAddNoTraffic: where views hold only part of the fleet, a gateway that
// was known before is not gossiped as new.
func TestPartialViewsAddNoTraffic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	calls, bytes := measureIdle(t, 150, settingsApplied)
	is.True(bytes < 1600)
	is.True(calls < 6)
}

// TestFollowersOfEmptyFeedAreLongPolled: requests of followers are held also while the
// feed has no content.
func TestFollowersOfEmptyFeedAreLongPolled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := idleFleet(t, 14, noSettings)
	defer f.World.Close()
	f.World.Run(f.World.Now()+10*time.Second, nil)
	followers := len(f.Gateways) + len(f.Cores)
	perSecond := float64(f.Net.TrafficByPath["/twirp/fordseam.feed.Feed/Follow"].Calls) / 10 / float64(followers)
	t.Logf("%.1f calls per follower and second", perSecond)
	is.True(perSecond > 1)
	is.True(perSecond < 6)
	for _, m := range f.Gateways {
		is.True(m.gateway.Follower.HasLease())
	}
}

// membershipView returns the view of the machine's running process, nil without one.
func (m *Machine) membershipView() *membership.View {
	switch {
	case m.gateway != nil:
		return m.gateway.View()
	case m.core != nil:
		return m.core.View()
	case m.storage != nil:
		return m.storage.View()
	}
	return nil
}

// countSeeingAlive counts the machines outside a set whose view shows a node as alive.
func (f *Fleet) countSeeingAlive(id string, excluded map[string]bool) int {
	count := 0
	for _, m := range f.All() {
		if view := m.membershipView(); view != nil && m.Host.alive && !m.Host.frozen && !excluded[m.Host.Name] {
			if _, alive := view.Find(id); alive {
				count++
			}
		}
	}
	return count
}

// runUntil runs the world until a condition holds and returns how long that took.
func (f *Fleet) runUntil(limit time.Duration, condition func() bool) time.Duration {
	startedAt := f.World.now
	for f.World.now < startedAt+limit && !condition() {
		f.World.Run(f.World.now+20*time.Millisecond, nil)
	}
	return f.World.now - startedAt
}

// TestSilentNodesAreDetected bounds how long it takes until no other node sees a lost node
// as alive, on average about a fifth of the recovery bound, and until all nodes see it
// again once it is back.
func TestSilentNodesAreDetected(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name string
		lose func(f *Fleet, m *Machine) map[string]bool
		back func(f *Fleet, m *Machine)
	}{
		{"killed", func(f *Fleet, m *Machine) map[string]bool { f.Kill(m); return nil }, func(f *Fleet, m *Machine) { f.Start(m) }},
		{"frozen", func(f *Fleet, m *Machine) map[string]bool { m.Host.Freeze(); return nil }, func(f *Fleet, m *Machine) { m.Host.Thaw() }},
		{"cut off", func(f *Fleet, m *Machine) map[string]bool {
			isolated := map[string]bool{m.Host.Name: true}
			f.Net.Isolate(isolated)
			return isolated
		}, func(f *Fleet, m *Machine) { f.Net.Heal() }},
		{"a zone cut off", func(f *Fleet, m *Machine) map[string]bool {
			isolated := map[string]bool{}
			for _, other := range f.All() {
				isolated[other.Host.Name] = other.Host.Zone == m.Host.Zone
			}
			f.Net.Isolate(isolated)
			return isolated
		}, func(f *Fleet, m *Machine) { f.Net.Heal() }},
	} {
		for _, nodes := range []int{14, 78} {
			is := is.NewRelaxed(t)
			f := idleFleet(t, nodes, settingsApplied)
			detectionTimes, recoveryTimes := []time.Duration{}, []time.Duration{}
			for round := 0; round < 8; round++ {
				m := f.All()[round%len(f.All())]
				id := m.membershipView().SelfID()
				isolated := row.lose(f, m)
				took := f.runUntil(20*time.Second, func() bool { return f.countSeeingAlive(id, isolated) == 0 })
				detectionTimes = append(detectionTimes, took)
				f.World.Run(f.World.now+3*time.Second, nil)
				row.back(f, m)
				took = f.runUntil(20*time.Second, func() bool {
					if m.membershipView() == nil {
						return false
					}
					return f.countSeeingAlive(m.membershipView().SelfID(), nil) == len(f.All())
				})
				recoveryTimes = append(recoveryTimes, took)
				f.World.Run(f.World.now+5*time.Second, nil)
			}
			mean := func(durations []time.Duration) time.Duration {
				sum := time.Duration(0)
				for _, d := range durations {
					sum += d
				}
				return sum / time.Duration(len(durations))
			}
			t.Logf("%s, %d nodes: detected after mean %v max %v %v, seen again after mean %v max %v", row.name, nodes, mean(detectionTimes), slices.Max(detectionTimes), detectionTimes, mean(recoveryTimes), slices.Max(recoveryTimes))
			bound := base.DefaultBounds().SuspectTimeout()
			is.True(mean(detectionTimes) < bound*11/10)
			is.True(slices.Max(detectionTimes) < bound*3/2)
			is.True(mean(recoveryTimes) < time.Second)
			is.True(slices.Max(recoveryTimes) < bound)
			f.World.Close()
		}
	}
}

// TestSlowNodesAreNotSuspected: a machine that answers within half a second stays in all
// views.
func TestSlowNodesAreNotSuspected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := idleFleet(t, 14, settingsApplied)
	defer f.World.Close()
	m := f.Gateways[2]
	m.Host.ExtraDelay = 250 * time.Millisecond
	id := m.membershipView().SelfID()
	// Suspicions of the slow machine itself do not count.
	suspected := func() int64 { return f.CounterTotal("members_suspected") - m.Counters.Snapshot()["members_suspected"] }
	before := suspected()
	for range 200 {
		f.World.Run(f.World.now+100*time.Millisecond, nil)
		is.Equal(f.countSeeingAlive(id, nil), len(f.All()))
	}
	is.Equal(suspected(), before)
}
