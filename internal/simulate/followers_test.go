// Followers of an owner that the other cores and the disks cannot hear: it looks
// alive to the gateways, and must not keep them from its successor's news.
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
		owner := f.feedLeader()
		for _, m := range append(append([]*Machine{}, f.Cores...), f.Storage...) {
			if m != owner {
				f.Net.CutLink(owner.Host.Name, m.Host.Name)
				if both {
					f.Net.CutLink(m.Host.Name, owner.Host.Name)
				}
			}
		}
		f.World.Run(f.World.Now()+2*time.Second, nil)
		took := f.measureApplyThrough(func() *Machine {
			return base.Filter(f.Cores, func(m *Machine) bool { return m != owner })[0]
		}, 1+round)
		t.Logf("both ways %v: settings reach the last gateway %v after they were acknowledged", both, took)
		is.True(took < bound)
		f.Net.Heal()
		f.World.Run(f.World.Now()+5*time.Second, nil)
	}
}
