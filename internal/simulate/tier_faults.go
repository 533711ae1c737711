package simulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"
)

// recordTrouble adds a fault of a machine to the checker's record, under the name that
// the platform uses. The fault lasts until the returned function is called.
func (t *Tier) recordTrouble(kind string, m *Machine, change func(trouble *parties.Trouble)) (end func()) {
	trouble := &parties.Trouble{Kind: kind, Machine: m.Host.Name, Class: m.Role, From: t.World.now, To: 1 << 60}
	if change != nil {
		change(trouble)
	}
	t.recorder.Update(func(r *parties.Record) { r.Troubles = append(r.Troubles, trouble) })
	return func() { trouble.To = t.World.now }
}

// dropConnections closes the connections and requests of a process that ended. The
// peers are told unless the machine has lost its power.
func (t *Tier) dropConnections(m *Machine, poweredOff bool) {
	m.Host.poweredOff = poweredOff
	for _, c := range t.sortedConns(t.conns) {
		if c.gatewayHost != m.Host {
			continue
		}
		delete(t.conns, c)
		if c.worker != nil {
			delete(c.worker.conns, c)
		}
		if !poweredOff {
			c.closed = true
			c.closedSignal.Fire()
		}
	}
	open := slices.SortedFunc(maps.Keys(t.clientExchanges), func(a, b *clientExchange) int { return cmp.Compare(a.number, b.number) })
	for _, exchange := range open {
		if exchange.host == m.Host && !poweredOff {
			exchange.responses.lastArrival = t.World.now // the reset overtakes what is in transit
			exchange.responses.send(time.Millisecond, responsePart{kind: responseConnClosed})
		}
	}
}

// endProcess kills a machine's process, or cuts the machine's power.
func (t *Tier) endProcess(m *Machine, powerLoss bool) {
	if powerLoss {
		m.Host.pendingCalls = nil // their senders are not told
		t.PowerLoss(m)
	} else {
		t.Kill(m)
	}
	t.dropConnections(m, powerLoss)
}

// crashFor kills a machine, or cuts its power, optionally wipes its disk, and starts it
// again after a while.
func (t *Tier) crashFor(m *Machine, kind string, downtime time.Duration, powerLoss, wipe bool) {
	if m.removed || !m.Host.alive || m.stopRequested {
		return
	}
	end := t.recordTrouble(kind, m, nil)
	t.endProcess(m, powerLoss)
	if wipe {
		m.Disk.Wipe()
	}
	t.CallerHost.Clock().Sleep(downtime)
	if !m.removed {
		t.startMachine(m)
	}
	end()
}

// freezeFor freezes a machine for a while.
func (t *Tier) freezeFor(m *Machine, duration time.Duration) {
	if !m.Host.alive || m.Host.frozen {
		return
	}
	end := t.recordTrouble("node_freeze", m, nil)
	incarnation := m.Host.incarnation
	m.Host.Freeze()
	t.CallerHost.Clock().Sleep(duration)
	if m.Host.incarnation == incarnation {
		m.Host.Thaw()
	}
	end()
}

// restartGracefully stops a machine as the platform does, with SIGTERM and with SIGKILL
// after the grace period, and starts it again. A stopping gateway serves on until its
// readiness has been checked; then it accepts no new connections and finishes the
// requests that it has read.
func (t *Tier) restartGracefully(m *Machine, kind string, downtime time.Duration) {
	end := t.stopGracefully(m, kind)
	if end == nil {
		return
	}
	t.CallerHost.Clock().Sleep(downtime)
	if !m.removed && !m.Host.alive {
		t.startMachine(m)
	}
	end()
}

// stopGracefully is the first half of restartGracefully. The recorded fault lasts until
// the returned function is called. It returns nil if the machine is down or is already
// stopping.
func (t *Tier) stopGracefully(m *Machine, kind string) (end func()) {
	if !m.Host.alive || m.Host.frozen || m.removed || m.stopRequested {
		return nil
	}
	end = t.recordTrouble(kind, m, func(trouble *parties.Trouble) { trouble.Term = true })
	clock, grace, incarnation, startedAt := t.CallerHost.Clock(), t.Site.Bounds.Grace, m.Host.incarnation, t.World.now
	m.stopRequested = true
	if t.disabled.gracefulStop {
		t.endProcess(m, false)
	}
	limit := grace - grace/8
	drained := false
	m.Host.Go(func() {
		switch {
		case m.gateway != nil:
			m.gateway.Drain(limit)
		case m.core != nil:
			m.core.Drain(grace / 4)
		case m.storage != nil:
			m.storage.Drain(grace / 4)
		}
		drained = true
	})
	if m.Role == "edge" {
		clock.Sleep(grace * 3 / 10)
	}
	for m.Host.incarnation == incarnation && t.World.now < startedAt+limit {
		if m.Role == "edge" {
			m.stopping = true
		}
		if m.openRequests == 0 && (drained || m.Role == "edge") {
			break
		}
		clock.Sleep(20 * time.Millisecond)
	}
	if m.Host.incarnation == incarnation {
		t.endProcess(m, false)
	}
	return end
}

// replaceAfterJoin replaces a machine as planned work: an empty machine at another
// address joins first, then the old one is stopped and removed with its disk.
func (t *Tier) replaceAfterJoin(m *Machine, joinLead time.Duration) {
	t.joinMachine(m.Role)
	t.CallerHost.Clock().Sleep(joinLead)
	end := t.stopGracefully(m, "replace_core")
	if end == nil {
		return
	}
	m.removed = true
	m.Disk.Wipe()
	end()
}

// replaceLost cuts a machine's power for good and replaces it by an empty machine at
// another address.
func (t *Tier) replaceLost(m *Machine, downtime time.Duration) {
	end := t.recordTrouble("replace_core", m, nil)
	m.removed = true
	t.endProcess(m, true)
	m.Disk.Wipe()
	t.CallerHost.Clock().Sleep(downtime)
	t.joinMachine(m.Role)
	end()
}

// joinMachine adds an empty machine to the fleet.
func (t *Tier) joinMachine(role string) *Machine {
	m := t.newMachine(role)
	m.startedBefore = true // it must not bootstrap the cluster
	t.startMachine(m)
	return m
}

// isolateFor isolates machines from all other machines of the fleet for a while.
func (t *Tier) isolateFor(isolated []*Machine, duration time.Duration) {
	t.isolateFrom(isolated, t.All(), duration)
}

// partitionFor partitions the cores and storage machines, taken together, into two
// halves for a while. Gateways, clients and operators reach both halves.
func (t *Tier) partitionFor(duration time.Duration) {
	machines := append(t.available(t.Cores), t.available(t.Storage)...)
	t.isolateFrom(t.drawMachines(machines, len(machines)/2), machines, duration)
}

// isolateFrom isolates some machines of a list from the others of the list.
func (t *Tier) isolateFrom(isolated, all []*Machine, duration time.Duration) {
	isolatedNames := map[string]bool{}
	var ends []func()
	for _, m := range isolated {
		isolatedNames[m.Host.Name] = true
		ends = append(ends, t.recordTrouble("core_cut", m, nil))
	}
	for _, from := range all {
		for _, to := range all {
			if isolatedNames[from.Host.Name] != isolatedNames[to.Host.Name] {
				t.Net.CutLink(from.Host.Name, to.Host.Name)
			}
		}
	}
	t.CallerHost.Clock().Sleep(duration)
	t.Net.Heal()
	for _, end := range ends {
		end()
	}
}

// slowFor slows a machine's network and disk for a while.
func (t *Tier) slowFor(m *Machine, duration time.Duration) {
	end := t.recordTrouble("node_slow", m, func(trouble *parties.Trouble) { trouble.Slow = true })
	minSyncTime, maxSyncTime := m.Disk.MinSyncTime, m.Disk.MaxSyncTime
	m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = t.World.Between(10*time.Millisecond, 120*time.Millisecond), 20*time.Millisecond, 150*time.Millisecond
	t.CallerHost.Clock().Sleep(duration)
	m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 0, minSyncTime, maxSyncTime
	end()
}

// available returns the machines of a list that are up and not stopping.
func (t *Tier) available(machines []*Machine) []*Machine {
	return base.Filter(machines, func(m *Machine) bool { return m.Host.alive && !m.Host.frozen && !m.removed && !m.stopRequested })
}

// drawMachines draws up to count available machines of a list.
func (t *Tier) drawMachines(machines []*Machine, count int) []*Machine {
	machines = t.available(machines)
	t.rng.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	return machines[:min(count, len(machines))]
}

// forEachMachine runs a step for machines in parallel and waits for all.
func (t *Tier) forEachMachine(machines []*Machine, step func(m *Machine)) {
	t.runParallel(len(machines), func(index int) { step(machines[index]) })
}

// afterConfigAck changes the configuration and, once that is acknowledged, runs a step
// for some storage machines, or with none for the core that acknowledged it.
func (t *Tier) afterConfigAck(step func(m *Machine), storageCount int) {
	order := t.changeConfig()
	switch {
	case storageCount > 0:
		t.forEachMachine(t.drawMachines(t.Storage, storageCount), step)
	case order.Acked() && t.machineNamed(order.Node) != nil:
		step(t.machineNamed(order.Node))
	}
}

// restartAll kills every machine, or cuts the power of all, wipes the disks of some, and
// starts all again.
func (t *Tier) restartAll(powerLoss bool, wiped []*Machine) {
	machines := base.Filter(t.All(), func(m *Machine) bool { return !m.removed })
	var ends []func()
	for _, m := range machines {
		ends = append(ends, t.recordTrouble("kill_all", m, nil))
		if m.Host.frozen {
			m.Host.Thaw()
		}
		t.endProcess(m, powerLoss)
	}
	for _, m := range wiped {
		m.Disk.Wipe()
	}
	t.CallerHost.Clock().Sleep(t.World.Between(500*time.Millisecond, 2*time.Second))
	for _, m := range machines {
		t.startMachine(m)
		t.CallerHost.Clock().Sleep(t.World.Between(0, 30*time.Millisecond))
	}
	for _, end := range ends {
		end()
	}
}

// retireStorage retires a storage machine and removes it once that is complete. It
// returns false when the operator's request fails.
func (t *Tier) retireStorage(m *Machine) bool {
	if err := t.newOperator("retire").Retire(m.Host.Name, 10*time.Second, 20*time.Second); err != nil {
		return false
	}
	end := t.recordTrouble("retire", m, func(trouble *parties.Trouble) { trouble.Term = true })
	m.removed = true
	t.endProcess(m, true)
	m.Disk.Wipe()
	end()
	return true
}

// activeWorkers returns the workers of a service shape that are not leaving.
func (t *Tier) activeWorkers(service string) []*tierWorker {
	return base.Filter(t.workers, func(w *tierWorker) bool { return !w.Draining() && w.Spec.Name == service })
}

// drainWorker stops a worker gracefully: the list shows it as draining, it serves for the
// drain time and 1.5 s more, then it ends.
func (t *Tier) drainWorker(w *tierWorker) {
	clock, draining := t.CallerHost.Clock(), t.instanceEntry(w, parties.StateDraining)
	t.instances.ScheduleChange(w.ID, &draining, 0)
	clock.Sleep(t.instances.Lag)
	t.instances.ApplyDue()
	w.Drain()
	clock.Sleep(t.Site.Bounds.Drain + 1500*time.Millisecond)
	t.instances.ScheduleChange(w.ID, nil, 0)
	w.terminate(t)
}

// releaseWorkers replaces a share of a service's workers one after the other, as the
// release of a new version does. Another service reuses the addresses of those that
// have ended.
func (t *Tier) releaseWorkers(service string, share float64, interval time.Duration) {
	old := t.activeWorkers(service)
	old = old[:int(share*float64(len(old))+0.5)]
	t.runParallel(len(old), func(index int) {
		w := old[index]
		t.CallerHost.Clock().Sleep(time.Duration(index) * interval)
		t.startWorker(w.Spec, w.Zone, "")
		t.drainWorker(w)
		t.reuseAddress(w)
	})
}

// reuseAddress starts a worker of another service at the address of one that has ended.
func (t *Tier) reuseAddress(w *tierWorker) {
	t.CallerHost.Clock().Sleep(t.Site.Bounds.ReuseAfter)
	for _, service := range t.Site.Services {
		if service.Name != w.Spec.Name && t.workersByAddress[w.Address] == nil {
			t.startWorker(service, w.Zone, w.Address)
			return
		}
	}
}

// crashWorker ends a worker at once and starts another in its place; the list shows the
// crashed one for 4 s more.
func (t *Tier) crashWorker(w *tierWorker) {
	t.startWorker(w.Spec, w.Zone, "")
	w.terminate(t)
	t.instances.ScheduleChange(w.ID, nil, 4*time.Second)
}

// injectWorkerFaults makes the workers of a service, or one worker, draw faults for a
// while.
func (t *Tier) injectWorkerFaults(name string, probability float64, duration time.Duration, kinds ...parties.Fault) {
	t.workerFaults[name] = &workerFaultRate{probability, kinds}
	t.CallerHost.Clock().Sleep(duration)
	delete(t.workerFaults, name)
}

// failList makes requests for the list of workers fail for a while.
func (t *Tier) failList(duration time.Duration) {
	trouble := &parties.Trouble{Kind: "list_down", Machine: "list", Class: "list", From: t.World.now, To: 1 << 60}
	t.recorder.Update(func(r *parties.Record) { r.Troubles = append(r.Troubles, trouble) })
	t.instances.SetDown(true)
	t.CallerHost.Clock().Sleep(duration)
	t.instances.SetDown(false)
	trouble.To = t.World.now
}
