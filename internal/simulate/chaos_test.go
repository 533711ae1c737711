// Scenarios that cause the brief's failures while callers converse.
package simulate

import (
	"flag"
	"testing"
	"time"

	"fordseam/internal/standin"

	"github.com/matryer/is"
)

var seeds = flag.Int("seeds", 3, "seeds for each scenario")

// harm is one kind of failure, done to the fleet again and again.
type harm struct {
	name  string
	every time.Duration
	net   Faults
	do    func(f *Fleet, round int)
	more  int
}

func (f *Fleet) pick(list []*Machine) *Machine { return list[f.World.Int64N(int64(len(list)))] }

// later runs a step on the callers' host after a while.
func (f *Fleet) later(after time.Duration, step func()) {
	f.Callers.Go(func() {
		f.Callers.Clock().Sleep(after)
		step()
	})
}

func (f *Fleet) crash(m *Machine, down time.Duration, power bool) {
	if !m.Host.alive {
		return
	}
	if power {
		f.PowerLoss(m)
	} else {
		f.Kill(m)
	}
	f.later(down, func() { f.Start(m) })
}

func (f *Fleet) freeze(m *Machine, span time.Duration) {
	if !m.Host.alive || m.Host.frozen {
		return
	}
	m.Host.Freeze()
	life := m.Host.life
	f.later(span, func() {
		if m.Host.life == life {
			m.Host.Thaw()
		}
	})
}

var harms = []harm{
	{name: "edges killed", every: 3 * time.Second, do: func(f *Fleet, _ int) { f.crash(f.pick(f.Edges), 1500*time.Millisecond, false) }},
	{name: "edges frozen and woken", every: 6 * time.Second, do: func(f *Fleet, _ int) { f.freeze(f.pick(f.Edges), 4*time.Second) }},
	{name: "cores killed", every: 5 * time.Second, do: func(f *Fleet, _ int) { f.crash(f.pick(f.Cores), 2*time.Second, false) }},
	{name: "cores frozen and woken", every: 7 * time.Second, do: func(f *Fleet, _ int) { f.freeze(f.pick(f.Cores), 4*time.Second) }},
	{name: "disks lose power", every: 4 * time.Second, do: func(f *Fleet, _ int) { f.crash(f.pick(f.Storage), 1500*time.Millisecond, true) }},
	{name: "disks frozen and woken", every: 5 * time.Second, do: func(f *Fleet, _ int) { f.freeze(f.pick(f.Storage), 3*time.Second) }},
	{name: "disk stalls", every: 6 * time.Second, do: func(f *Fleet, _ int) {
		m := f.pick(f.Storage)
		m.Files.Stalled = true
		f.later(3*time.Second, func() { m.Files.Stalled = false })
	}},
	{name: "disk fills", every: 5 * time.Second, do: func(f *Fleet, _ int) {
		m := f.pick(f.Storage)
		limit := m.Files.Limit
		m.Files.Limit -= m.Files.Free()
		f.later(3*time.Second, func() { m.Files.Limit = limit })
	}},
	{name: "messages lost, late and twice", every: time.Hour, net: Faults{Lost: 0.01, Late: 0.02, Twice: 0.02, LateLimit: 4 * time.Second}},
	{name: "a machine cut off", every: 8 * time.Second, do: func(f *Fleet, _ int) {
		f.Net.CutOff(map[string]bool{f.pick(append(append([]*Machine{}, f.Edges...), f.Cores...)).Host.Name: true})
		f.later(4*time.Second, f.Net.Heal)
	}},
	{name: "one-way loss", every: 8 * time.Second, do: func(f *Fleet, _ int) {
		all := f.All()
		f.Net.Cut(f.pick(all).Host.Name, f.pick(all).Host.Name)
		f.later(4*time.Second, f.Net.Heal)
	}},
	{name: "workers in trouble", every: time.Hour, do: func(f *Fleet, _ int) {
		troubles := []standin.Trouble{standin.Cut, standin.Malformed, standin.NoFinish, standin.Busy, standin.Fail, standin.Overrun, standin.Silent, standin.Refuse}
		for _, model := range f.Models {
			model.Next = func() standin.Trouble {
				if f.World.Chance(0.2) {
					return troubles[f.World.Int64N(5)]
				}
				return standin.Fine
			}
		}
		for _, tool := range f.Tools {
			tool.Next = func() standin.Trouble {
				if f.World.Chance(0.3) {
					return []standin.Trouble{standin.Silent, standin.Fail}[f.World.Int64N(2)]
				}
				return standin.Fine
			}
		}
	}},
	{name: "workers killed", every: 2 * time.Second, do: func(f *Fleet, _ int) {
		id := f.List.Workers[f.World.Int64N(int64(len(f.List.Workers)))].ID
		host := f.World.Hosts[id]
		host.Kill()
		f.later(time.Second, func() { host.alive = true })
	}},
	{name: "a storm", more: 9, every: 1500 * time.Millisecond, net: Faults{Lost: 0.03, Late: 0.05, Twice: 0.05, LateLimit: 6 * time.Second}, do: func(f *Fleet, _ int) {
		switch f.World.Int64N(9) {
		case 0:
			f.crash(f.pick(f.Edges), f.World.Between(0, 3*time.Second), false)
		case 1:
			f.freeze(f.pick(f.Edges), f.World.Between(time.Second, 5*time.Second))
		case 2:
			f.crash(f.pick(f.Cores), f.World.Between(0, 2*time.Second), false)
		case 3:
			f.freeze(f.pick(f.Cores), f.World.Between(time.Second, 4*time.Second))
		case 4:
			f.crash(f.pick(f.Storage), f.World.Between(0, 2*time.Second), true)
		case 5:
			f.freeze(f.pick(f.Storage), f.World.Between(time.Second, 3*time.Second))
		case 6:
			m := f.pick(f.Edges)
			if m.Host.alive && !m.Host.frozen && m.gateway != nil && !m.closing {
				f.Callers.Go(func() { f.Stop(m); f.Start(m) })
			}
		case 7:
			f.Net.Cut(f.pick(f.All()).Host.Name, f.pick(f.All()).Host.Name)
			f.later(3*time.Second, f.Net.Heal)
		case 8:
			host := f.World.Hosts[f.List.Workers[f.World.Int64N(int64(len(f.List.Workers)))].ID]
			host.Kill()
			f.later(time.Second, func() { host.alive = true })
		}
	}},
	{name: "everything at once", every: 4 * time.Second, net: Faults{Lost: 0.005, Late: 0.01, Twice: 0.01, LateLimit: 3 * time.Second}, do: func(f *Fleet, round int) {
		switch round % 4 {
		case 0:
			f.crash(f.pick(f.Edges), 2*time.Second, false)
		case 1:
			f.freeze(f.pick(f.Edges), 3500*time.Millisecond)
		case 2:
			f.crash(f.pick(f.Cores), time.Second, false)
		case 3:
			f.crash(f.pick(f.Storage), time.Second, true)
		}
	}},
}

// harm does one kind of failure again and again while it is wanted.
func (f *Fleet) harm(name string, going func() bool) {
	for _, one := range harms {
		if one.name != name {
			continue
		}
		f.Net.Faults = one.net
		f.Callers.Go(func() {
			for round := 0; one.do != nil && going(); round++ {
				one.do(f, round)
				f.Callers.Clock().Sleep(one.every)
			}
		})
	}
}

func TestNothingThatMustNeverHappens(t *testing.T) {
	for _, one := range harms {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			bring(t, *seeds+one.more, SmallShape(), func(t *testing.T, f *Fleet) {
				is := is.New(t)
				formed(t, f)
				left := f.Converse(6, 6, true, func(c *standin.Caller) {
					c.Between = func(int) { c.Clock.Sleep(f.World.Between(0, 2*time.Second)) }
				})
				f.harm(one.name, func() bool { return left() > 0 })
				done := f.World.Run(f.World.Now()+5*time.Minute, func() bool { return left() == 0 })
				t.Logf("%v after %v: %v", one.name, f.World.Now(), f.Tally.Counts)
				is.True(done)
				is.True(f.Tally.Counts["conversations_whole"] > 0)
			})
		})
	}
}
