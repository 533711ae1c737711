// The troubles that the platform names, brought about in the tier and noted for
// the checker as the platform would know them.

package simulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"
)

// trouble notes a trouble of a machine until the step it gives back is called.
func (t *Tier) trouble(kind string, m *Machine, change func(x *parties.Trouble)) (end func()) {
	x := &parties.Trouble{Kind: kind, Machine: m.Host.Name, Class: m.Role, From: t.World.now, To: 1 << 60}
	if change != nil {
		change(x)
	}
	t.record.Note(func(r *parties.Record) { r.Troubles = append(r.Troubles, x) })
	return func() { x.To = t.World.now }
}

// sever closes what a process had open when it ended; the other sides are told
// unless the machine has gone dark.
func (t *Tier) sever(m *Machine, dark bool) {
	m.Host.dark = dark
	for _, c := range t.inOrder(t.conns) {
		if c.from != m.Host {
			continue
		}
		delete(t.conns, c)
		if c.at != nil {
			delete(c.at.conns, c)
		}
		if !dark {
			c.closed = true
			c.gone.Fire()
		}
	}
	open := slices.SortedFunc(maps.Keys(t.exchanges), func(a, b *exchange) int { return cmp.Compare(a.number, b.number) })
	for _, x := range open {
		if x.host == m.Host && !dark {
			x.in.last = t.World.now // what was on its way is lost with the reset
			x.in.put(time.Millisecond, answered{kind: answeredClose})
		}
	}
}

// down ends a machine's process, or its power.
func (t *Tier) down(m *Machine, power bool) {
	if power {
		m.Host.calls = nil // nobody is told
		t.PowerLoss(m)
	} else {
		t.Kill(m)
	}
	t.sever(m, power)
}

// fall ends a machine for a while.
func (t *Tier) fall(m *Machine, kind string, span time.Duration, power, wipe bool) {
	if m.removed || !m.Host.alive || m.stopRequested {
		return
	}
	end := t.trouble(kind, m, nil)
	t.down(m, power)
	if wipe {
		m.Disk.Wipe()
	}
	t.CallerHost.Clock().Sleep(span)
	if !m.removed {
		t.begin(m)
	}
	end()
}

func (t *Tier) freezeNode(m *Machine, span time.Duration) {
	if !m.Host.alive || m.Host.frozen {
		return
	}
	end := t.trouble("node_freeze", m, nil)
	life := m.Host.life
	m.Host.Freeze()
	t.CallerHost.Clock().Sleep(span)
	if m.Host.life == life {
		m.Host.Thaw()
	}
	end()
}

// term stops a machine as the platform does: SIGTERM, and SIGKILL after the
// grace. A gateway is asked each second whether it is ready and goes on serving
// for a while; then it takes no new connection and ends what it has read.
func (t *Tier) term(m *Machine, kind string, after time.Duration) {
	end := t.stop(m, kind)
	if end == nil {
		return
	}
	t.CallerHost.Clock().Sleep(after)
	if !m.removed && !m.Host.alive {
		t.begin(m)
	}
	end()
}

// stop is the first half of that; the trouble lasts until the step it gives back
// is called. It gives none where the machine is down or stops already.
func (t *Tier) stop(m *Machine, kind string) (end func()) {
	if !m.Host.alive || m.Host.frozen || m.removed || m.stopRequested {
		return nil
	}
	end = t.trouble(kind, m, func(x *parties.Trouble) { x.Term = true })
	clock, grace, life, began := t.CallerHost.Clock(), t.Site.Bounds.Grace, m.Host.life, t.World.now
	m.stopRequested = true
	if t.disabled.gracefulStop {
		t.down(m, false)
	}
	limit := grace - grace/8
	left := false
	m.Host.Go(func() {
		switch {
		case m.gateway != nil:
			m.gateway.Drain(limit)
		case m.core != nil:
			m.core.Drain(grace / 4)
		case m.storage != nil:
			m.storage.Drain(grace / 4)
		}
		left = true
	})
	if m.Role == "edge" {
		clock.Sleep(grace * 3 / 10)
	}
	for m.Host.life == life && t.World.now < began+limit {
		if m.Role == "edge" {
			m.stopping = true
		}
		if m.openRequests == 0 && (left || m.Role == "edge") {
			break
		}
		clock.Sleep(20 * time.Millisecond)
	}
	if m.Host.life == life {
		t.down(m, false)
	}
	return end
}

// succeed replaces a machine as planned work: an empty one at another address
// comes first, then the old one is told to stop and goes with its disk.
func (t *Tier) succeed(m *Machine, ahead time.Duration) {
	t.add(m.Role)
	t.CallerHost.Clock().Sleep(ahead)
	end := t.stop(m, "replace_core")
	if end == nil {
		return
	}
	m.removed = true
	m.Disk.Wipe()
	end()
}

// replace puts an empty machine at another address in a lost one's place.
func (t *Tier) replace(m *Machine, span time.Duration) {
	end := t.trouble("replace_core", m, nil)
	m.removed = true
	t.down(m, true)
	m.Disk.Wipe()
	t.CallerHost.Clock().Sleep(span)
	t.add(m.Role)
	end()
}

// add brings an empty machine into the fleet.
func (t *Tier) add(role string) *Machine {
	m := t.newMachine(role)
	m.startedBefore = true // it is not the very first start
	t.begin(m)
	return m
}

// cutOff cuts machines off from all other machines of the fleet.
func (t *Tier) cutOff(apart []*Machine, span time.Duration) { t.cutAmong(apart, t.All(), span) }

// halve cuts the machines that count, cores and storage together, into two halves.
// Gateways, clients and operators reach both.
func (t *Tier) halve(span time.Duration) {
	counted := append(t.living(t.Cores), t.living(t.Storage)...)
	t.cutAmong(t.some(counted, len(counted)/2), counted, span)
}

// cutAmong cuts machines off from the others of some.
func (t *Tier) cutAmong(apart, all []*Machine, span time.Duration) {
	names := map[string]bool{}
	var ends []func()
	for _, m := range apart {
		names[m.Host.Name] = true
		ends = append(ends, t.trouble("core_cut", m, nil))
	}
	for _, from := range all {
		for _, to := range all {
			if names[from.Host.Name] != names[to.Host.Name] {
				t.Net.CutLink(from.Host.Name, to.Host.Name)
			}
		}
	}
	t.CallerHost.Clock().Sleep(span)
	t.Net.Heal()
	for _, end := range ends {
		end()
	}
}

func (t *Tier) slowNode(m *Machine, span time.Duration) {
	end := t.trouble("node_slow", m, func(x *parties.Trouble) { x.Slow = true })
	quick, slow := m.Disk.MinSyncTime, m.Disk.MaxSyncTime
	m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = t.World.Between(10*time.Millisecond, 120*time.Millisecond), 20*time.Millisecond, 150*time.Millisecond
	t.CallerHost.Clock().Sleep(span)
	m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 0, quick, slow
	end()
}

// living lists the machines of a class that are up.
func (t *Tier) living(list []*Machine) []*Machine {
	return base.Filter(list, func(m *Machine) bool { return m.Host.alive && !m.Host.frozen && !m.removed && !m.stopRequested })
}

// some draws machines of a class that are up.
func (t *Tier) some(list []*Machine, count int) []*Machine {
	list = t.living(list)
	t.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(count, len(list))]
}

// each brings a step to machines at once and waits for all.
func (t *Tier) each(list []*Machine, step func(m *Machine)) {
	t.together(len(list), func(place int) { step(list[place]) })
}

// afterAck brings a step to the core that has just acknowledged a
// configuration, or to storage machines at that moment.
func (t *Tier) afterAck(step func(m *Machine), stores int) {
	order := t.change()
	switch {
	case stores > 0:
		t.each(t.some(t.Storage, stores), step)
	case order.Acked() && t.named(order.Node) != nil:
		step(t.named(order.Node))
	}
}

// all ends every machine, does something to some of them, and brings all back.
func (t *Tier) all(power bool, wiped []*Machine) {
	list := base.Filter(t.All(), func(m *Machine) bool { return !m.removed })
	var ends []func()
	for _, m := range list {
		ends = append(ends, t.trouble("kill_all", m, nil))
		if m.Host.frozen {
			m.Host.Thaw()
		}
		t.down(m, power)
	}
	for _, m := range wiped {
		m.Disk.Wipe()
	}
	t.CallerHost.Clock().Sleep(t.World.Between(500*time.Millisecond, 2*time.Second))
	for _, m := range list {
		t.begin(m)
		t.CallerHost.Clock().Sleep(t.World.Between(0, 30*time.Millisecond))
	}
	for _, end := range ends {
		end()
	}
}

// retire has a storage machine emptied and takes it away once it is.
func (t *Tier) retire(m *Machine) bool {
	if err := t.operator("retire").Retire(m.Host.Name, 10*time.Second, 20*time.Second); err != nil {
		return false
	}
	end := t.trouble("retire", m, func(x *parties.Trouble) { x.Term = true })
	m.removed = true
	t.down(m, true)
	m.Disk.Wipe()
	end()
	return true
}

// serving lists the workers of a service's shape that are not leaving.
func (t *Tier) serving(shape string) []*tierWorker {
	return base.Filter(t.workers, func(s *tierWorker) bool { return !s.Leaving() && s.Shape.Name == shape })
}

// drain takes a worker off in order: the list shows it as draining, it serves
// for the drain's time and a little longer, then it ends.
func (t *Tier) drain(s *tierWorker) {
	clock, draining := t.CallerHost.Clock(), t.instance(s, parties.StateDraining)
	t.list.Change(s.ID, &draining, 0)
	clock.Sleep(t.list.Lag)
	t.list.Settle()
	s.Leave()
	clock.Sleep(t.Site.Bounds.Drain + 1500*time.Millisecond)
	t.list.Change(s.ID, nil, 0)
	s.end(t)
}

// release replaces a share of a service's workers one after the other; another
// service takes the addresses of those that have ended.
func (t *Tier) release(shape string, share float64, gap time.Duration) {
	old := t.serving(shape)
	old = old[:int(share*float64(len(old))+0.5)]
	t.together(len(old), func(place int) {
		s := old[place]
		t.CallerHost.Clock().Sleep(time.Duration(place) * gap)
		t.openWorker(s.Shape, s.Zone, "")
		t.drain(s)
		t.reuse(s)
	})
}

// reuse gives the address of a worker that has ended to another service.
func (t *Tier) reuse(s *tierWorker) {
	t.CallerHost.Clock().Sleep(t.Site.Bounds.ReuseAfter)
	for _, other := range t.Site.Services {
		if other.Name != s.Shape.Name && t.listening[s.Address] == nil {
			t.openWorker(other, s.Zone, s.Address)
			return
		}
	}
}

// crashWorker ends a worker at once; the list shows it for some seconds more,
// and the platform starts another in its place.
func (t *Tier) crashWorker(s *tierWorker) {
	t.openWorker(s.Shape, s.Zone, "")
	s.end(t)
	t.list.Change(s.ID, nil, 4*time.Second)
}

// ill has the workers of a service, or one worker, do wrong for a while.
func (t *Tier) ill(name string, share float64, span time.Duration, kinds ...parties.Fault) {
	t.faults[name] = &tierFaults{share, kinds}
	t.CallerHost.Clock().Sleep(span)
	delete(t.faults, name)
}

// listDown has the list of workers answer nothing for a while.
func (t *Tier) listDown(span time.Duration) {
	x := &parties.Trouble{Kind: "list_down", Machine: "list", Class: "list", From: t.World.now, To: 1 << 60}
	t.record.Note(func(r *parties.Record) { r.Troubles = append(r.Troubles, x) })
	t.list.SetDown(true)
	t.CallerHost.Clock().Sleep(span)
	t.list.SetDown(false)
	x.To = t.World.now
}
