// Days that are drawn from the seed: storms of any trouble, and any closing fault.

package simulate

import (
	"time"

	parties "fordseam/internal/standin/platform"
)

// goes begins a deed and does not wait for its end; disk does so with one that
// loses a machine with a disk, unless one is lost or catches up.
func (t *Tier) goes(deed func(t *Tier)) {
	t.deeds++
	t.CallerHost.Go(func() {
		deed(t)
		t.deeds--
	})
}

func (t *Tier) disk(deed func(t *Tier)) {
	if t.diskBusy {
		return
	}
	t.diskBusy = true
	t.goes(func(t *Tier) {
		deed(t)
		t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp)
		t.diskBusy = false
	})
}

// storm brings one trouble of many about, and does not wait for its end. Only
// one that touches a disk goes on at a time, with the time to catch up.
func (t *Tier) storm() {
	switch t.rng.IntN(16) {
	case 0, 1:
		t.goes(killed(edges, 0.3, t.rng.IntN(2) == 0))
	case 2:
		t.goes(frozen(edges))
	case 3:
		t.goes(killed(cores, 0.25, t.rng.IntN(2) == 0))
	case 4:
		t.goes(frozen(cores))
	case 5:
		t.disk(killed(stores, 0.25, t.rng.IntN(2) == 0))
	case 6:
		t.disk(frozen(stores))
	case 7:
		t.disk(wipedAfterAck)
	case 8:
		t.disk(cut(stores, false))
	case 9:
		t.goes(answersLost("app", 0.1))
	case 10:
		t.goes(answersLost("model", 0.05))
	case 11:
		t.goes(func(t *Tier) { t.change() })
	case 12:
		t.goes(func(t *Tier) { t.race() })
	case 13:
		t.goes(one("app", func(t *Tier, s *tierWorker) {
			t.openWorker(s.Shape, s.Zone, "")
			t.drain(s)
			t.reuse(s)
		}))
	case 14:
		t.disk(cut(cores, t.rng.IntN(2) == 0))
	case 15:
		t.goes(slowed(edges))
	}
}

// hunt draws a whole day: its load, its troubles, and how it ends.
func hunt(t *Tier) {
	t.wander = t.rng.IntN(3) == 0
	if t.rng.IntN(4) == 0 {
		for _, m := range t.All() {
			m.Host.MessageCost = 800 * time.Microsecond
		}
	}
	clock := t.CallerHost.Clock()
	for end := t.World.now + 16*second; t.World.now < end; clock.Sleep(t.World.Between(200*time.Millisecond, 2500*time.Millisecond)) {
		if t.rng.IntN(2) == 0 {
			t.storm()
			continue
		}
		switch t.rng.IntN(14) {
		case 0:
			t.goes(rolled(edges))
		case 1:
			t.disk(rolled(stores))
		case 2:
			t.goes(rolled(cores))
		case 3:
			t.goes(replaced(cores))
		case 4:
			t.disk(replaced(stores))
		case 5:
			t.goes(func(t *Tier) { t.add([]string{"edge", "core", "storage"}[t.rng.IntN(3)]) })
		case 6:
			t.disk(func(t *Tier) {
				if len(t.living(t.Storage)) < t.Site.Storage+1 {
					t.add("storage")
				}
				t.each(t.some(t.Storage, 1), func(m *Machine) { t.retire(m) })
			})
		case 7:
			t.goes(func(t *Tier) { t.listDown(t.World.Between(second, 4*second)) })
		case 8:
			t.goes(burst(float64(2 + t.rng.IntN(4))))
		case 9:
			t.goes(func(t *Tier) { t.badConfigs(100 * time.Millisecond) })
		case 10:
			t.goes(one("app", func(t *Tier, s *tierWorker) {
				t.crashWorker(s)
				t.reuse(s)
			}))
		case 11:
			t.goes(func(t *Tier) {
				t.ill(t.words.Services["app"], 0.1, 4*second, parties.Garbled, parties.Cut, parties.Extra, parties.LateExtra, parties.Slow)
			})
		case 12:
			t.goes(released("app"))
		case 13:
			t.goes(killed(cores, 1, false))
		}
	}
	clock.Sleep(t.Site.Bounds.CatchUp + 4*second)
}

// anyClosing draws the fault at the end of a day, or none to speak of.
func anyClosing(t *Tier) {
	switch t.rng.IntN(4) {
	case 0:
		t.all(true, nil)
	case 1:
		t.all(false, nil)
	case 2:
		t.all(true, t.some(t.Storage, t.TierShape.FaultTolerance))
	case 3:
		t.each(t.some(t.Storage, t.TierShape.FaultTolerance), func(m *Machine) { t.fall(m, "after_ack_wipe", short, true, true) })
	}
}
