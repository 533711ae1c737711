package simulate

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// liveFollowers returns the running machines that follow the feed.
func (f *Fleet) liveFollowers() []*Machine {
	return base.Filter(append(append([]*Machine{}, f.Cores...), f.Gateways...), func(m *Machine) bool { return m.Host.alive && !m.Host.frozen })
}

// leaseFollower returns the feed's follower of a running gateway or core.
func (m *Machine) leaseFollower() interface {
	HasLease() bool
	LeaseExpirations() uint64
	GatewayCount() int
} {
	if m.gateway != nil {
		return m.gateway.Follower
	}
	return m.core.Follower
}

// measureApply changes the settings and returns how long after the acknowledgement the
// last gateway applied them.
func (f *Fleet) measureApply(basedOn int) time.Duration {
	return f.measureApplyThrough(f.liveCore, basedOn)
}

// measureApplyThrough is measureApply with the core that gets the operator's request.
func (f *Fleet) measureApplyThrough(core func() *Machine, basedOn int) time.Duration {
	done, version := false, uint64(basedOn+1)
	startedAt := f.World.Now()
	f.CallerHost.Go(func() {
		f.retryUntilOK("apply", func() int {
			status, _ := f.OperatorRequest(core(), "POST", "/v1/operator/settings/apply", map[string]any{"change": fmt.Sprint("c", basedOn), "based_on": basedOn, "document": f.settingsWithMarker(fmt.Sprint(basedOn))})
			return status
		})
		startedAt, done = f.World.Now(), true
	})
	f.World.Run(f.World.Now()+30*time.Second, func() bool { return done })
	f.runUntil(20*time.Second, func() bool {
		for _, m := range f.liveFollowers() {
			if m.gateway != nil && m.gateway.SettingsVersion() < version {
				return false
			}
		}
		return true
	})
	return f.World.Now() - startedAt
}

// leaseExpirations returns how many leases have expired, and how many nodes have no lease.
func (f *Fleet) leaseExpirations() (expired uint64, withoutLease int) {
	for _, m := range f.liveFollowers() {
		expired += m.leaseFollower().LeaseExpirations()
		if !m.leaseFollower().HasLease() {
			withoutLease++
		}
	}
	return expired, withoutLease
}

// TestFeedTreeOfLargeFleet: in a large fleet the leader of the feed answers a bounded
// number of followers, changes reach all gateways within the bound, and the failure of a
// node inside the tree does not delay the others.
func TestFeedTreeOfLargeFleet(t *testing.T) {
	t.Parallel()
	is := is.NewRelaxed(t)
	const nodes = 150
	f := idleFleet(t, nodes, settingsApplied)
	defer f.World.Close()
	bound := base.DefaultBounds().SettingsApply
	leader := f.feedLeader()
	expiredBefore, _ := f.leaseExpirations()
	f.Net.TrafficByHost = map[string]*HostTraffic{}
	f.World.Run(f.World.Now()+10*time.Second, nil)
	callsPerSecond := float64(f.Net.TrafficByHost[leader.Host.Name].RequestsReceived) / 10
	expired, withoutLease := f.leaseExpirations()
	t.Logf("idle: the leader serves %.1f calls per second, %d leases expired", callsPerSecond, expired-expiredBefore)
	is.True(callsPerSecond < 80)
	is.Equal(expired, expiredBefore)
	is.Equal(withoutLease, 0)
	for _, m := range f.Gateways {
		is.Equal(m.gateway.Follower.GatewayCount(), len(f.Gateways))
	}
	took := f.measureApply(1)
	t.Logf("settings reach the last gateway after %v", took)
	is.True(took < bound/4)
	for round, row := range []struct {
		name string
		do   func()
	}{
		{"a third of the gateways killed", func() {
			for index := 0; index < len(f.Gateways); index += 3 {
				f.Kill(f.Gateways[index])
			}
		}},
		{"two cores killed", func() {
			for _, m := range f.Cores {
				if m != leader && m.Host.alive {
					f.Kill(m)
				}
				if len(f.liveFollowers()) < len(f.Cores)-2 {
					break
				}
			}
			f.Start(f.Cores[0])
		}},
		{"gateways frozen", func() {
			for index := 1; index < len(f.Gateways); index += 3 {
				f.Gateways[index].Host.Freeze()
			}
		}},
		{"the owner killed", func() { f.Kill(f.feedLeader()) }},
	} {
		row.do()
		took := f.measureApply(2 + round)
		f.World.Run(f.World.Now()+10*time.Second, nil)
		_, withoutLease := f.leaseExpirations()
		t.Logf("%s: settings reach the last gateway after %v", row.name, took)
		is.True(took < 2*bound)
		is.Equal(withoutLease, 0)
	}
}
