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
	// minKillInterval is the least time between two ends of a leader, killSearch the
	// longestActivation that one kind of step is waited for.
	minKillInterval   = 600 * time.Millisecond
	stepSearchTimeout = 3 * time.Second
	// maxStepsBeforeKill is how many steps of the kind pass at most before the end.
	maxStepsBeforeKill = 4
)

// leaderSteps are the kinds of steps that a leader is killed at.
var leaderSteps = []string{"Promise", "Install", "Append", "Confirm", "Change"}

// leaderKiller kills the leader of the configuration's shard, or the core that
// takes it over, between two of its steps: a step is a message about that shard
// that it sends to a replica, or an operation that it is asked for.
type leaderKiller struct {
	run  *OrderRun
	next func(m *Message) *http.Response

	active bool
	// spared is cut off or frozen, and is to act on what it knew.
	spared    *Machine
	nextStep  string // of the step that comes next
	before    bool
	stepsLeft int64 // of that kind until then
	lastKill  time.Duration
}

func (k *leaderKiller) forward(m *Message) *http.Response {
	if k.next != nil {
		return k.next(m)
	}
	response, _ := m.Forward(m.Body)
	return response
}

func (k *leaderKiller) intercept(m *Message) *http.Response {
	step := m.Path[strings.LastIndexByte(m.Path, '/')+1:]
	victim := k.victim(m)
	if victim == nil || victim == k.spared || !k.isDue(step) {
		return k.forward(m)
	}
	if k.before {
		k.kill(victim, "before "+step)
		k.haltSender(victim, m)
		return k.forward(m)
	}
	life := victim.Host.incarnation
	response := k.forward(m)
	if victim.Host.incarnation == life {
		k.kill(victim, "after "+step)
		k.haltSender(victim, m)
	}
	return response
}

// haltSender ends the task that sent the message if its process was killed.
func (k *leaderKiller) haltSender(victim *Machine, m *Message) {
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
		var request register.ConfirmRequest // the claim stands first in all of them
		if proto.Unmarshal(m.Body, &request) != nil || request.Claim == nil || request.Claim.Slot != register.ShardOf(register.FeedGroup) {
			return nil
		}
	case strings.HasSuffix(m.Path, "Register/Change"):
		var change register.ChangeRequest
		if proto.Unmarshal(m.Body, &change) != nil || change.Group != register.FeedGroup {
			return nil
		}
		host = m.To
	default:
		return nil
	}
	for _, core := range k.run.Cores {
		if core.Host == host && core.core != nil && host.alive && !host.frozen {
			return core
		}
	}
	return nil
}

// isDue tells whether a leader ends at this step, and draws the next.
func (k *leaderKiller) isDue(step string) bool {
	world := k.run.World
	sinceLast := world.now - k.lastKill
	if sinceLast < minKillInterval {
		return false
	}
	if k.nextStep == "" || sinceLast > stepSearchTimeout {
		k.nextStep, k.before, k.stepsLeft = leaderSteps[world.Int64N(int64(len(leaderSteps)))], world.Chance(0.5), 1+world.Int64N(maxStepsBeforeKill)
		k.lastKill = world.now - minKillInterval
	}
	if step != k.nextStep {
		return false
	}
	k.stepsLeft--
	if k.stepsLeft > 0 {
		return false
	}
	k.nextStep, k.lastKill = "", world.now
	return true
}

// kill kills a core and starts it again a while later.
func (k *leaderKiller) kill(m *Machine, step string) {
	r := k.run
	r.Kill(m)
	r.Kills[step]++
	r.CallerHost.Go(func() {
		r.CallerHost.Clock().Sleep(r.World.Between(100*time.Millisecond, 1500*time.Millisecond))
		if !m.Host.alive {
			r.Start(m)
		}
	})
}

// setWorkerFaultRates harms one machine after another while it goes on; at most one machine
// with a disk at a time.
func (r *OrderRun) injectFaults(running func() bool) {
	clock := r.CallerHost.Clock()
	clock.Sleep(4 * time.Second) // until the cluster was formed
	r.Net.Faults = NetworkFaults{LossRate: 0.005, DelayRate: 0.02, DuplicateRate: 0.02, MaxExtraDelay: 400 * time.Millisecond}
	r.leaderKiller.active = !r.StaleLeadersOnly
	kinds := int64(6)
	if r.StaleLeadersOnly {
		kinds = 2
	}
	for running() {
		clock.Sleep(r.World.Between(200*time.Millisecond, 1500*time.Millisecond))
		span := r.World.Between(300*time.Millisecond, 4*time.Second)
		switch r.World.Int64N(kinds) {
		case 0:
			r.isolateFor(r.leader(), span)
		case 1:
			r.freezeFor(r.leader(), span)
		case 2:
			r.isolateFor(r.pickMachine(r.Cores), span)
		case 3:
			r.freezeFor(r.pickMachine(r.Storage), span)
		case 4:
			r.restartAfter(r.pickMachine(r.Storage), r.PowerLoss, span)
		case 5:
			r.restartAfter(r.pickMachine(r.Storage), r.Kill, span)
		}
	}
}

// leader is the core that serves the configuration's shard, or any.
func (r *OrderRun) leader() *Machine {
	serving := base.Filter(r.Cores, func(m *Machine) bool {
		return m.core != nil && m.Host.alive && m.core.RegisterServer.LeadsFeed()
	})
	if len(serving) == 0 {
		return r.pickMachine(r.Cores)
	}
	return serving[0]
}

// isolateFor separates a machine from all others, in both directions or in one;
// operators reach it throughout.
func (r *OrderRun) isolateFor(m *Machine, span time.Duration) {
	r.leaderKiller.spared = m
	defer func() { r.leaderKiller.spared = nil }()
	inbound, outbound := r.World.Chance(0.8), r.World.Chance(0.8)
	for _, other := range base.SortedKeys(r.World.Hosts) {
		if other == m.Host.Name {
			continue
		}
		if inbound || !outbound {
			r.Net.CutLink(other, m.Host.Name)
		}
		if outbound {
			r.Net.CutLink(m.Host.Name, other)
		}
	}
	r.CallerHost.Clock().Sleep(span)
	r.Net.Heal()
}

func (r *OrderRun) freezeFor(m *Machine, span time.Duration) {
	if !m.Host.alive {
		return
	}
	m.Host.Freeze()
	r.CallerHost.Clock().Sleep(span)
	r.leaderKiller.spared = m // for a while after it wakes
	m.Host.Thaw()
	r.CallerHost.Clock().Sleep(500 * time.Millisecond)
	r.leaderKiller.spared = nil
}

func (r *OrderRun) restartAfter(m *Machine, end func(*Machine), span time.Duration) {
	end(m)
	r.CallerHost.Clock().Sleep(span)
	r.Start(m)
}

// noFaults ends all trouble.
func (r *OrderRun) stopFaults() {
	r.leaderKiller.active = false
	r.Net.Faults = NetworkFaults{}
	r.Net.Heal()
}
