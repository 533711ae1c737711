// The trouble of a day of orders: the leader of the configuration's shard is
// killed right before or after any of its messages, and machines are cut off,
// frozen, killed and lose their power meanwhile.

package simulate

import (
	"net/http"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"

	"google.golang.org/protobuf/proto"
)

const (
	// killPause is the least time between two ends of a leader, killSearch the
	// longest that one kind of step is waited for.
	killPause  = 600 * time.Millisecond
	killSearch = 3 * time.Second
	// killWithin is how many steps of the kind pass at most before the end.
	killWithin = 4
)

// leaderSteps are the kinds of steps that a leader is killed at.
var leaderSteps = []string{"Promise", "Install", "Append", "Confirm", "Change"}

// leaderKiller kills the leader of the configuration's shard, or the core that
// takes it over, between two of its steps: a step is a message about that shard
// that it sends to a replica, or an operation that it is asked for.
type leaderKiller struct {
	day   *OrderRun
	inner func(m *Message) *http.Response

	active bool
	// spared is cut off or frozen, and is to act on what it knew.
	spared *Machine
	kind   string // of the step that comes next
	before bool
	steps  int64 // of that kind until then
	last   time.Duration
}

func (k *leaderKiller) pass(m *Message) *http.Response {
	if k.inner != nil {
		return k.inner(m)
	}
	response, _ := m.Forward(m.Body)
	return response
}

func (k *leaderKiller) meddle(m *Message) *http.Response {
	kind := m.Path[strings.LastIndexByte(m.Path, '/')+1:]
	victim := k.victim(m)
	if victim == nil || victim == k.spared || !k.due(kind) {
		return k.pass(m)
	}
	if k.before {
		k.end(victim, "before "+kind)
		k.halt(victim, m)
		return k.pass(m)
	}
	life := victim.Host.life
	response := k.pass(m)
	if victim.Host.life == life {
		k.end(victim, "after "+kind)
		k.halt(victim, m)
	}
	return response
}

// halt ends the task that sent the message if its process was killed.
func (k *leaderKiller) halt(victim *Machine, m *Message) {
	for victim.Host == m.From {
		m.From.Clock().Sleep(time.Hour) // no event of a former life wakes it
	}
}

// victim is the core whose step the message is, nil when it is none.
func (k *leaderKiller) victim(m *Message) *Machine {
	if !k.active {
		return nil
	}
	host := m.From
	switch {
	case strings.Contains(m.Path, "Disk/"):
		var claimed register.ConfirmRequest // the claim stands first in all of them
		if proto.Unmarshal(m.Body, &claimed) != nil || claimed.Claim == nil || claimed.Claim.Slot != register.ShardOf(register.FeedGroup) {
			return nil
		}
	case strings.HasSuffix(m.Path, "Register/Change"):
		var asked register.ChangeRequest
		if proto.Unmarshal(m.Body, &asked) != nil || asked.Group != register.FeedGroup {
			return nil
		}
		host = m.To
	default:
		return nil
	}
	for _, core := range k.day.Cores {
		if core.Host == host && core.core != nil && host.alive && !host.frozen {
			return core
		}
	}
	return nil
}

// due tells whether a leader ends at this step, and draws the next.
func (k *leaderKiller) due(kind string) bool {
	w := k.day.World
	since := w.now - k.last
	if since < killPause {
		return false
	}
	if k.kind == "" || since > killSearch {
		k.kind, k.before, k.steps = leaderSteps[w.Int64N(int64(len(leaderSteps)))], w.Chance(0.5), 1+w.Int64N(killWithin)
		k.last = w.now - killPause
	}
	if kind != k.kind {
		return false
	}
	k.steps--
	if k.steps > 0 {
		return false
	}
	k.kind, k.last = "", w.now
	return true
}

// end kills a core and starts it again a while later.
func (k *leaderKiller) end(m *Machine, step string) {
	d := k.day
	d.Kill(m)
	d.Kills[step]++
	d.CallerHost.Go(func() {
		d.CallerHost.Clock().Sleep(d.World.Between(100*time.Millisecond, 1500*time.Millisecond))
		if !m.Host.alive {
			d.Start(m)
		}
	})
}

// trouble harms one machine after another while it goes on; at most one machine
// with a disk at a time.
func (d *OrderRun) trouble(going func() bool) {
	clock := d.CallerHost.Clock()
	clock.Sleep(4 * time.Second) // until the cluster was formed
	d.Net.Faults = NetworkFaults{LossRate: 0.005, DelayRate: 0.02, DuplicateRate: 0.02, MaxExtraDelay: 400 * time.Millisecond}
	d.killer.active = !d.StaleLeadersOnly
	kinds := int64(6)
	if d.StaleLeadersOnly {
		kinds = 2
	}
	for going() {
		clock.Sleep(d.World.Between(200*time.Millisecond, 1500*time.Millisecond))
		span := d.World.Between(300*time.Millisecond, 4*time.Second)
		switch d.World.Int64N(kinds) {
		case 0:
			d.cutOff(d.leader(), span)
		case 1:
			d.freeze(d.leader(), span)
		case 2:
			d.cutOff(d.pick(d.Cores), span)
		case 3:
			d.freeze(d.pick(d.Storage), span)
		case 4:
			d.restart(d.pick(d.Storage), d.PowerLoss, span)
		case 5:
			d.restart(d.pick(d.Storage), d.Kill, span)
		}
	}
}

// leader is the core that serves the configuration's shard, or any.
func (d *OrderRun) leader() *Machine {
	serving := base.Filter(d.Cores, func(m *Machine) bool {
		return m.core != nil && m.Host.alive && m.core.RegisterServer.LeadsFeed()
	})
	if len(serving) == 0 {
		return d.pick(d.Cores)
	}
	return serving[0]
}

// cutOff separates a machine from all others, in both directions or in one;
// operators reach it throughout.
func (d *OrderRun) cutOff(m *Machine, span time.Duration) {
	d.killer.spared = m
	defer func() { d.killer.spared = nil }()
	into, out := d.World.Chance(0.8), d.World.Chance(0.8)
	for _, other := range base.SortedKeys(d.World.Hosts) {
		if other == m.Host.Name {
			continue
		}
		if into || !out {
			d.Net.CutLink(other, m.Host.Name)
		}
		if out {
			d.Net.CutLink(m.Host.Name, other)
		}
	}
	d.CallerHost.Clock().Sleep(span)
	d.Net.Heal()
}

func (d *OrderRun) freeze(m *Machine, span time.Duration) {
	if !m.Host.alive {
		return
	}
	m.Host.Freeze()
	d.CallerHost.Clock().Sleep(span)
	d.killer.spared = m // for a while after it wakes
	m.Host.Thaw()
	d.CallerHost.Clock().Sleep(500 * time.Millisecond)
	d.killer.spared = nil
}

func (d *OrderRun) restart(m *Machine, end func(*Machine), span time.Duration) {
	end(m)
	d.CallerHost.Clock().Sleep(span)
	d.Start(m)
}

// calm ends all trouble.
func (d *OrderRun) calm() {
	d.killer.active = false
	d.Net.Faults = NetworkFaults{}
	d.Net.Heal()
}
