// The kinds of failure of the brief, each as a scenario.

package simulate

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"
)

func (f *Fleet) pick(list []*Machine) *Machine { return list[f.World.Int64N(int64(len(list)))] }

// later runs a step on the callers' host after a while; a scenario is not
// over before.
func (f *Fleet) later(after time.Duration, step func()) {
	f.harms++
	f.CallerHost.Go(func() {
		f.CallerHost.Clock().Sleep(after)
		step()
		f.harms--
	})
}

func (f *Fleet) crash(m *Machine, down time.Duration, power bool) {
	if !m.Host.alive {
		return
	}
	if power {
		// Most often in the middle of a sync, where it hurts.
		for end := f.World.Now() + 100*time.Millisecond; m.Disk.SyncsInProgress == 0 && f.World.Now() < end; {
			f.CallerHost.Clock().Sleep(200 * time.Microsecond)
		}
		f.PowerLoss(m)
	} else {
		f.Kill(m)
	}
	f.later(down, func() {
		if !m.gone && !m.Host.alive {
			f.Start(m)
		}
	})
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

// restart tells a machine to stop, as SIGTERM does, and starts it again.
func (f *Fleet) restart(m *Machine) {
	if m.Host.alive && !m.Host.frozen && !m.closing && !m.gone {
		f.Stop(m)
		f.CallerHost.Clock().Sleep(500 * time.Millisecond)
		if !m.Host.alive && !m.gone {
			f.Start(m)
		}
	}
}

func (f *Fleet) killWorker(down time.Duration) {
	host := f.World.Hosts[f.WorkerList.Workers[f.World.Int64N(int64(len(f.WorkerList.Workers)))].ID]
	host.Kill()
	f.later(down, func() { host.alive = true })
}

// zone lists what stands in one zone, workers included.
func (f *Fleet) zone(name string) (machines []*Machine, workers []*Host) {
	machines = base.Filter(f.All(), func(m *Machine) bool { return m.Host.Zone == name })
	for _, one := range f.WorkerList.Workers {
		if one.Zone == name {
			workers = append(workers, f.World.Hosts[one.ID])
		}
	}
	return machines, workers
}

// outage has everything lose power at once and come back in any order, and
// times how long until all gateways serve.
func (f *Fleet) outage() {
	for _, m := range f.All() {
		if m.Host.alive {
			f.PowerLoss(m)
		}
	}
	f.CallerHost.Clock().Sleep(f.World.Between(200*time.Millisecond, 2*time.Second))
	back := base.Filter(f.All(), func(m *Machine) bool { return !m.gone })
	for len(back) > 0 {
		place := f.World.Int64N(int64(len(back)))
		f.Start(back[place])
		back = append(back[:place], back[place+1:]...)
		f.CallerHost.Clock().Sleep(f.World.Between(0, 100*time.Millisecond))
	}
	f.Tally.Count("outages")
	f.Tally.Back(f.serving(time.Minute))
}

// serving is how long it takes from now until every living gateway serves.
func (f *Fleet) serving(limit time.Duration) time.Duration {
	began := f.World.Now()
	for f.World.Now() < began+limit {
		all := true
		for _, m := range f.Gateways {
			all = all && (!m.Host.alive || m.gateway != nil && m.gateway.Ready() == nil)
		}
		if all {
			break
		}
		f.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
	return f.World.Now() - began
}

// slow makes a machine answer late and its disk sync late, without failing.
func (f *Fleet) slow(m *Machine, span time.Duration) {
	quick, slow := m.Disk.MinSyncTime, m.Disk.MaxSyncTime
	m.Host.Lag, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = f.World.Between(20*time.Millisecond, 250*time.Millisecond), 50*time.Millisecond, 400*time.Millisecond
	f.later(span, func() { m.Host.Lag, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 0, quick, slow })
}

var workerTroubles = []standin.Trouble{standin.Cut, standin.Malformed, standin.NoFinish, standin.Busy, standin.Fail, standin.Overrun, standin.Silent, standin.Refuse}

func (f *Fleet) trouble(model, tool float64) {
	for _, one := range f.Models {
		one.Next = func() standin.Trouble {
			if f.World.Chance(model) {
				return workerTroubles[f.World.Int64N(5)]
			}
			return standin.Fine
		}
	}
	for _, one := range f.Tools {
		one.Next = func() standin.Trouble {
			if f.World.Chance(tool) {
				return []standin.Trouble{standin.Silent, standin.Fail}[f.World.Int64N(2)]
			}
			return standin.Fine
		}
	}
}

// storm draws one deed of many.
func (f *Fleet) storm() {
	switch f.World.Int64N(14) {
	case 0:
		f.crash(f.pick(f.Gateways), f.World.Between(0, 3*time.Second), false)
	case 1:
		f.freeze(f.pick(f.Gateways), f.World.Between(time.Second, 5*time.Second))
	case 2:
		f.crash(f.pick(f.Cores), f.World.Between(0, 2*time.Second), false)
	case 3:
		f.freeze(f.pick(f.Cores), f.World.Between(time.Second, 4*time.Second))
	case 4, 5:
		f.crash(f.pick(f.Storage), f.World.Between(0, 2*time.Second), true)
	case 6:
		f.freeze(f.pick(f.Storage), f.World.Between(time.Second, 3*time.Second))
	case 7, 8:
		m := f.pick(f.All())
		f.later(0, func() { f.restart(m) })
	case 9:
		f.Net.CutLink(f.pick(f.All()).Host.Name, f.pick(f.All()).Host.Name)
		f.later(3*time.Second, f.Net.Heal)
	case 10:
		f.killWorker(time.Second)
	case 11:
		f.slow(f.pick(f.All()), f.World.Between(time.Second, 4*time.Second))
	case 12:
		m := f.pick(f.Storage)
		m.Disk.SyncStalled = true
		f.later(f.World.Between(time.Second, 3*time.Second), func() { m.Disk.SyncStalled = false })
	case 13:
		f.Net.Isolate(map[string]bool{f.pick(f.All()).Host.Name: true})
		f.later(2*time.Second, f.Net.Heal)
	}
}

// Scenarios are all kinds of failure that runs and campaigns draw on.
var Scenarios = []*Scenario{
	{Name: "nothing but load"},
	{Name: "edges killed", Every: 3 * time.Second, Do: func(f *Fleet, _ int) { f.crash(f.pick(f.Gateways), 1500*time.Millisecond, false) }},
	{Name: "edges frozen and woken", Every: 6 * time.Second, Do: func(f *Fleet, _ int) { f.freeze(f.pick(f.Gateways), 4*time.Second) }},
	{Name: "cores killed", Every: 5 * time.Second, Do: func(f *Fleet, _ int) { f.crash(f.pick(f.Cores), 2*time.Second, false) }},
	{Name: "cores frozen and woken", Every: 7 * time.Second, Do: func(f *Fleet, _ int) { f.freeze(f.pick(f.Cores), 4*time.Second) }},
	{Name: "disks lose power", Every: 4 * time.Second, Do: func(f *Fleet, _ int) { f.crash(f.pick(f.Storage), 1500*time.Millisecond, true) }},
	{Name: "disks frozen and woken", Every: 5 * time.Second, Do: func(f *Fleet, _ int) { f.freeze(f.pick(f.Storage), 3*time.Second) }},
	{Name: "disk stalls", Every: 6 * time.Second, Do: func(f *Fleet, _ int) {
		m := f.pick(f.Storage)
		m.Disk.SyncStalled = true
		f.later(3*time.Second, func() { m.Disk.SyncStalled = false })
	}},
	{Name: "disk fills", Every: 5 * time.Second, Do: func(f *Fleet, _ int) {
		m := f.pick(f.Storage)
		limit := m.Disk.Capacity
		m.Disk.Capacity -= m.Disk.FreeBytes()
		f.later(3*time.Second, func() { m.Disk.Capacity = limit })
	}},
	{Name: "disks lost and replaced", Span: 30 * time.Second, Every: 4 * time.Second, Do: func(f *Fleet, _ int) { f.replaceDisk() }},
	{Name: "messages lost, late and twice", Net: NetworkFaults{LossRate: 0.01, DelayRate: 0.02, DuplicateRate: 0.02, MaxExtraDelay: 4 * time.Second}},
	{Name: "a machine cut off", Every: 8 * time.Second, Do: func(f *Fleet, _ int) {
		f.Net.Isolate(map[string]bool{f.pick(append(append([]*Machine{}, f.Gateways...), f.Cores...)).Host.Name: true})
		f.later(4*time.Second, f.Net.Heal)
	}},
	{Name: "one-way loss", Every: 8 * time.Second, Do: func(f *Fleet, _ int) {
		all := f.All()
		f.Net.CutLink(f.pick(all).Host.Name, f.pick(all).Host.Name)
		f.later(4*time.Second, f.Net.Heal)
	}},
	{Name: "a zone cut off", Every: 10 * time.Second, Do: func(f *Fleet, _ int) {
		machines, workers := f.zone(f.pick(f.All()).Host.Zone)
		apart := map[string]bool{}
		for _, m := range machines {
			apart[m.Host.Name] = true
		}
		for _, host := range workers {
			apart[host.Name] = true
		}
		f.Net.Isolate(apart)
		f.later(5*time.Second, f.Net.Heal)
	}},
	{Name: "a zone lost", Every: 10 * time.Second, Do: func(f *Fleet, _ int) {
		machines, workers := f.zone(f.pick(f.All()).Host.Zone)
		down := f.World.Between(2*time.Second, 6*time.Second)
		for _, m := range machines {
			f.crash(m, down, true)
		}
		for _, host := range workers {
			host.Kill()
			f.later(down, func() { host.alive = true })
		}
	}},
	{Name: "planned stops", Planned: true, Every: time.Second, Do: func(f *Fleet, round int) {
		lists := [][]*Machine{f.Gateways, f.Cores, f.Gateways, f.Storage}
		list := lists[round%len(lists)]
		f.restart(list[round/len(lists)%len(list)])
	}},
	{Name: "workers in trouble", Begin: func(f *Fleet) { f.trouble(0.2, 0.3) }},
	{Name: "workers killed", Every: 2 * time.Second, Do: func(f *Fleet, _ int) { f.killWorker(time.Second) }},
	{Name: "an urgent crowd", Crowd: 40, Fit: func(shape *Shape) { shape.Capacity = 3 }, Every: 5 * time.Second, Do: func(f *Fleet, _ int) {
		f.crash(f.pick(f.Gateways), time.Second, false)
	}},
	{Name: "slow machines and disks", Every: 3 * time.Second, Do: func(f *Fleet, _ int) { f.slow(f.pick(f.All()), 4*time.Second) }},
	{Name: "frozen beyond every bound", Span: 30 * time.Second, Every: 9 * time.Second, Do: func(f *Fleet, round int) {
		lists := [][]*Machine{f.Gateways, f.Cores, f.Storage}
		f.freeze(f.pick(lists[round%len(lists)]), f.World.Between(14*time.Second, 20*time.Second))
	}},
	{Name: "total outages", Span: 24 * time.Second, Every: 4 * time.Second, Do: func(f *Fleet, _ int) { f.outage() }},
	{Name: "a storm", Every: 1500 * time.Millisecond, Net: NetworkFaults{LossRate: 0.03, DelayRate: 0.05, DuplicateRate: 0.05, MaxExtraDelay: 6 * time.Second}, Do: func(f *Fleet, _ int) { f.storm() }},
	{Name: "everything at once", Every: 4 * time.Second, Net: NetworkFaults{LossRate: 0.005, DelayRate: 0.01, DuplicateRate: 0.01, MaxExtraDelay: 3 * time.Second}, Begin: func(f *Fleet) { f.trouble(0.05, 0.1) },
		Do: func(f *Fleet, round int) {
			switch round % 4 {
			case 0:
				f.crash(f.pick(f.Gateways), 2*time.Second, false)
			case 1:
				f.freeze(f.pick(f.Gateways), 3500*time.Millisecond)
			case 2:
				f.crash(f.pick(f.Cores), time.Second, false)
			case 3:
				f.crash(f.pick(f.Storage), time.Second, true)
			}
		}},
}

// FindScenario finds one.
func FindScenario(name string) *Scenario {
	for _, one := range Scenarios {
		if one.Name == name {
			return one
		}
	}
	return nil
}
