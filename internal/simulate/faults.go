package simulate

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"
)

// pickMachine returns a random machine of a list.
func (f *Fleet) pickMachine(list []*Machine) *Machine { return list[f.World.Int64N(int64(len(list)))] }

// scheduleRecovery runs recover on the callers' host after a delay. A scenario does not end
// before all recoveries have run.
func (f *Fleet) scheduleRecovery(delay time.Duration, undo func()) {
	f.pendingFaults++
	f.CallerHost.Go(func() {
		f.CallerHost.Clock().Sleep(delay)
		undo()
		f.pendingFaults--
	})
}

// crash kills a machine's process, or cuts its power, and starts it again after the
// downtime.
func (f *Fleet) crash(m *Machine, downtime time.Duration, powerLoss bool) {
	if !m.Host.alive {
		return
	}
	if powerLoss {
		// Wait for a sync in progress, up to 100 ms: power lost during a sync is the hardest
		// case.
		for end := f.World.Now() + 100*time.Millisecond; m.Disk.SyncsInProgress == 0 && f.World.Now() < end; {
			f.CallerHost.Clock().Sleep(200 * time.Microsecond)
		}
		f.PowerLoss(m)
	} else {
		f.Kill(m)
	}
	f.scheduleRecovery(downtime, func() {
		if !m.removed && !m.Host.alive {
			f.Start(m)
		}
	})
}

// freeze suspends a machine for a while.
func (f *Fleet) freeze(m *Machine, span time.Duration) {
	if !m.Host.alive || m.Host.frozen {
		return
	}
	m.Host.Freeze()
	life := m.Host.incarnation
	f.scheduleRecovery(span, func() {
		if m.Host.incarnation == life {
			m.Host.Thaw()
		}
	})
}

// gracefulRestart stops a machine as SIGTERM does and starts it again.
func (f *Fleet) gracefulRestart(m *Machine) {
	if m.Host.alive && !m.Host.frozen && !m.stopping && !m.removed {
		f.Stop(m)
		f.CallerHost.Clock().Sleep(500 * time.Millisecond)
		if !m.Host.alive && !m.removed {
			f.Start(m)
		}
	}
}

// killWorker takes a random worker down for a while.
func (f *Fleet) killWorker(downtime time.Duration) {
	host := f.World.Hosts[f.WorkerList.Workers[f.World.Int64N(int64(len(f.WorkerList.Workers)))].ID]
	host.Kill()
	f.scheduleRecovery(downtime, func() { host.alive = true })
}

// inZone returns the machines and the worker hosts of a zone.
func (f *Fleet) inZone(name string) (machines []*Machine, workers []*Host) {
	machines = base.Filter(f.All(), func(m *Machine) bool { return m.Host.Zone == name })
	for _, listed := range f.WorkerList.Workers {
		if listed.Zone == name {
			workers = append(workers, f.World.Hosts[listed.ID])
		}
	}
	return machines, workers
}

// totalOutage makes all machines lose power at once, starts them in random order and records
// how long it takes until all gateways serve.
func (f *Fleet) totalOutage() {
	for _, m := range f.All() {
		if m.Host.alive {
			f.PowerLoss(m)
		}
	}
	f.CallerHost.Clock().Sleep(f.World.Between(200*time.Millisecond, 2*time.Second))
	pending := base.Filter(f.All(), func(m *Machine) bool { return !m.removed })
	for len(pending) > 0 {
		index := f.World.Int64N(int64(len(pending)))
		f.Start(pending[index])
		pending = append(pending[:index], pending[index+1:]...)
		f.CallerHost.Clock().Sleep(f.World.Between(0, 100*time.Millisecond))
	}
	f.Tally.Count("outages")
	f.Tally.RecordRecovery(f.waitUntilServing(time.Minute))
}

// waitUntilServing waits until every live gateway is ready, at most up to a limit, and
// returns how long it waited.
func (f *Fleet) waitUntilServing(limit time.Duration) time.Duration {
	start := f.World.Now()
	for f.World.Now() < start+limit {
		allReady := true
		for _, m := range f.Gateways {
			allReady = allReady && (!m.Host.alive || m.gateway != nil && m.gateway.Ready() == nil)
		}
		if allReady {
			break
		}
		f.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
	return f.World.Now() - start
}

// slowDown delays a machine's messages and syncs for a while; nothing fails.
func (f *Fleet) slowDown(m *Machine, span time.Duration) {
	minSync, maxSync := m.Disk.MinSyncTime, m.Disk.MaxSyncTime
	m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = f.World.Between(20*time.Millisecond, 250*time.Millisecond), 50*time.Millisecond, 400*time.Millisecond
	f.scheduleRecovery(span, func() { m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 0, minSync, maxSync })
}

// workerFaults are the faults of model workers; setWorkerFaultRates draws from the first five.
var workerFaults = []standin.Fault{standin.FaultCut, standin.FaultMalformed, standin.FaultNoFinishReason, standin.FaultTooManyRequests, standin.FaultInternalError, standin.FaultIgnoreTokenLimit, standin.FaultNoResponse, standin.FaultUnavailable}

// setWorkerFaultRates makes model and tool workers fail requests at the given rates.
func (f *Fleet) setWorkerFaultRates(modelRate, toolRate float64) {
	for _, worker := range f.Models {
		worker.NextFault = func() standin.Fault {
			if f.World.Chance(modelRate) {
				return workerFaults[f.World.Int64N(5)]
			}
			return standin.NoFault
		}
	}
	for _, worker := range f.Tools {
		worker.NextFault = func() standin.Fault {
			if f.World.Chance(toolRate) {
				return []standin.Fault{standin.FaultNoResponse, standin.FaultInternalError}[f.World.Int64N(2)]
			}
			return standin.NoFault
		}
	}
}

// injectRandomFault injects one of 14 faults, drawn at random.
func (f *Fleet) injectRandomFault() {
	switch f.World.Int64N(14) {
	case 0:
		f.crash(f.pickMachine(f.Gateways), f.World.Between(0, 3*time.Second), false)
	case 1:
		f.freeze(f.pickMachine(f.Gateways), f.World.Between(time.Second, 5*time.Second))
	case 2:
		f.crash(f.pickMachine(f.Cores), f.World.Between(0, 2*time.Second), false)
	case 3:
		f.freeze(f.pickMachine(f.Cores), f.World.Between(time.Second, 4*time.Second))
	case 4, 5:
		f.crash(f.pickMachine(f.Storage), f.World.Between(0, 2*time.Second), true)
	case 6:
		f.freeze(f.pickMachine(f.Storage), f.World.Between(time.Second, 3*time.Second))
	case 7, 8:
		m := f.pickMachine(f.All())
		f.scheduleRecovery(0, func() { f.gracefulRestart(m) })
	case 9:
		f.Net.CutLink(f.pickMachine(f.All()).Host.Name, f.pickMachine(f.All()).Host.Name)
		f.scheduleRecovery(3*time.Second, f.Net.Heal)
	case 10:
		f.killWorker(time.Second)
	case 11:
		f.slowDown(f.pickMachine(f.All()), f.World.Between(time.Second, 4*time.Second))
	case 12:
		m := f.pickMachine(f.Storage)
		m.Disk.SyncStalled = true
		f.scheduleRecovery(f.World.Between(time.Second, 3*time.Second), func() { m.Disk.SyncStalled = false })
	case 13:
		f.Net.Isolate(map[string]bool{f.pickMachine(f.All()).Host.Name: true})
		f.scheduleRecovery(2*time.Second, f.Net.Heal)
	}
}

// Scenarios lists the kinds of failure that tests and campaigns run.
var Scenarios = []*Scenario{
	{Name: "nothing but load"},
	{Name: "edges killed", Interval: 3 * time.Second, Inject: func(f *Fleet, _ int) { f.crash(f.pickMachine(f.Gateways), 1500*time.Millisecond, false) }},
	{Name: "edges frozen and woken", Interval: 6 * time.Second, Inject: func(f *Fleet, _ int) { f.freeze(f.pickMachine(f.Gateways), 4*time.Second) }},
	{Name: "cores killed", Interval: 5 * time.Second, Inject: func(f *Fleet, _ int) { f.crash(f.pickMachine(f.Cores), 2*time.Second, false) }},
	{Name: "cores frozen and woken", Interval: 7 * time.Second, Inject: func(f *Fleet, _ int) { f.freeze(f.pickMachine(f.Cores), 4*time.Second) }},
	{Name: "disks lose power", Interval: 4 * time.Second, Inject: func(f *Fleet, _ int) { f.crash(f.pickMachine(f.Storage), 1500*time.Millisecond, true) }},
	{Name: "disks frozen and woken", Interval: 5 * time.Second, Inject: func(f *Fleet, _ int) { f.freeze(f.pickMachine(f.Storage), 3*time.Second) }},
	{Name: "disk stalls", Interval: 6 * time.Second, Inject: func(f *Fleet, _ int) {
		m := f.pickMachine(f.Storage)
		m.Disk.SyncStalled = true
		f.scheduleRecovery(3*time.Second, func() { m.Disk.SyncStalled = false })
	}},
	{Name: "disk fills", Interval: 5 * time.Second, Inject: func(f *Fleet, _ int) {
		m := f.pickMachine(f.Storage)
		limit := m.Disk.Capacity
		m.Disk.Capacity -= m.Disk.FreeBytes()
		f.scheduleRecovery(3*time.Second, func() { m.Disk.Capacity = limit })
	}},
	{Name: "disks lost and replaced", LoadDuration: 30 * time.Second, Interval: 4 * time.Second, Inject: func(f *Fleet, _ int) { f.replaceDisk() }},
	{Name: "messages lost, late and twice", Net: NetworkFaults{LossRate: 0.01, DelayRate: 0.02, DuplicateRate: 0.02, MaxExtraDelay: 4 * time.Second}},
	{Name: "a machine cut off", Interval: 8 * time.Second, Inject: func(f *Fleet, _ int) {
		f.Net.Isolate(map[string]bool{f.pickMachine(append(append([]*Machine{}, f.Gateways...), f.Cores...)).Host.Name: true})
		f.scheduleRecovery(4*time.Second, f.Net.Heal)
	}},
	{Name: "one-way loss", Interval: 8 * time.Second, Inject: func(f *Fleet, _ int) {
		all := f.All()
		f.Net.CutLink(f.pickMachine(all).Host.Name, f.pickMachine(all).Host.Name)
		f.scheduleRecovery(4*time.Second, f.Net.Heal)
	}},
	{Name: "a zone cut off", Interval: 10 * time.Second, Inject: func(f *Fleet, _ int) {
		machines, workers := f.inZone(f.pickMachine(f.All()).Host.Zone)
		isolated := map[string]bool{}
		for _, m := range machines {
			isolated[m.Host.Name] = true
		}
		for _, host := range workers {
			isolated[host.Name] = true
		}
		f.Net.Isolate(isolated)
		f.scheduleRecovery(5*time.Second, f.Net.Heal)
	}},
	{Name: "a zone lost", Interval: 10 * time.Second, Inject: func(f *Fleet, _ int) {
		machines, workers := f.inZone(f.pickMachine(f.All()).Host.Zone)
		downtime := f.World.Between(2*time.Second, 6*time.Second)
		for _, m := range machines {
			f.crash(m, downtime, true)
		}
		for _, host := range workers {
			host.Kill()
			f.scheduleRecovery(downtime, func() { host.alive = true })
		}
	}},
	{Name: "planned stops", PlannedOnly: true, Interval: time.Second, Inject: func(f *Fleet, round int) {
		lists := [][]*Machine{f.Gateways, f.Cores, f.Gateways, f.Storage}
		list := lists[round%len(lists)]
		f.gracefulRestart(list[round/len(lists)%len(list)])
	}},
	{Name: "workers in trouble", OnStart: func(f *Fleet) { f.setWorkerFaultRates(0.2, 0.3) }},
	{Name: "workers killed", Interval: 2 * time.Second, Inject: func(f *Fleet, _ int) { f.killWorker(time.Second) }},
	{Name: "an urgent crowd", BurstCallers: 40, AdjustShape: func(shape *Shape) { shape.WorkerCapacity = 3 }, Interval: 5 * time.Second, Inject: func(f *Fleet, _ int) {
		f.crash(f.pickMachine(f.Gateways), time.Second, false)
	}},
	{Name: "slow machines and disks", Interval: 3 * time.Second, Inject: func(f *Fleet, _ int) { f.slowDown(f.pickMachine(f.All()), 4*time.Second) }},
	{Name: "frozen beyond every bound", LoadDuration: 30 * time.Second, Interval: 9 * time.Second, Inject: func(f *Fleet, round int) {
		lists := [][]*Machine{f.Gateways, f.Cores, f.Storage}
		f.freeze(f.pickMachine(lists[round%len(lists)]), f.World.Between(14*time.Second, 20*time.Second))
	}},
	{Name: "total outages", LoadDuration: 24 * time.Second, Interval: 4 * time.Second, Inject: func(f *Fleet, _ int) { f.totalOutage() }},
	{Name: "a storm", Interval: 1500 * time.Millisecond, Net: NetworkFaults{LossRate: 0.03, DelayRate: 0.05, DuplicateRate: 0.05, MaxExtraDelay: 6 * time.Second}, Inject: func(f *Fleet, _ int) { f.injectRandomFault() }},
	{Name: "everything at once", Interval: 4 * time.Second, Net: NetworkFaults{LossRate: 0.005, DelayRate: 0.01, DuplicateRate: 0.01, MaxExtraDelay: 3 * time.Second}, OnStart: func(f *Fleet) { f.setWorkerFaultRates(0.05, 0.1) },
		Inject: func(f *Fleet, round int) {
			switch round % 4 {
			case 0:
				f.crash(f.pickMachine(f.Gateways), 2*time.Second, false)
			case 1:
				f.freeze(f.pickMachine(f.Gateways), 3500*time.Millisecond)
			case 2:
				f.crash(f.pickMachine(f.Cores), time.Second, false)
			case 3:
				f.crash(f.pickMachine(f.Storage), time.Second, true)
			}
		}},
}

// FindScenario returns the scenario of a name, or nil.
func FindScenario(name string) *Scenario {
	for _, scenario := range Scenarios {
		if scenario.Name == name {
			return scenario
		}
	}
	return nil
}
