// A leader that neither the other cores nor the disks can hear still looks alive to the
// gateways that follow it. They must switch to its successor and get new settings in time.
package simulate

import (
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

func TestFollowersLeaveIsolatedLeader(t *testing.T) {
	t.Parallel()
	is := is.NewRelaxed(t)
	f := idleFleet(t, 14, settingsApplied)
	defer f.World.Close()
	bound := base.DefaultBounds().SettingsApply
	for round, both := range []bool{false, true} {
		leader := f.feedLeader()
		for _, m := range append(append([]*Machine{}, f.Cores...), f.Storage...) {
			if m != leader {
				f.Net.CutLink(leader.Host.Name, m.Host.Name)
				if both {
					f.Net.CutLink(m.Host.Name, leader.Host.Name)
				}
			}
		}
		f.World.Run(f.World.Now()+2*time.Second, nil)
		took := f.measureApplyThrough(func() *Machine {
			return base.Filter(f.Cores, func(m *Machine) bool { return m != leader })[0]
		}, 1+round)
		t.Logf("both ways %v: settings reach the last gateway %v after they were acknowledged", both, took)
		is.True(took < bound)
		f.Net.Heal()
		f.World.Run(f.World.Now()+5*time.Second, nil)
	}
}
