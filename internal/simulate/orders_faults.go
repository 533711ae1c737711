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
	// minKillInterval is the least time between two kills, stepSearchTimeout the longest
	// time that a step of one kind is waited for.
	minKillInterval   = 600 * time.Millisecond
	stepSearchTimeout = 3 * time.Second
	// maxStepsBeforeKill is the largest number of steps of a kind up to the kill.
	maxStepsBeforeKill = 4
)

// leaderSteps are the kinds of steps at which a leader is killed.
var leaderSteps = []string{"Promise", "Install", "Append", "Confirm", "Change"}

// leaderKiller kills the leader of the configuration's shard, or the core that is taking it
// over, right before or after one of its steps. A step is a message about that shard that
// the core sends to a replica, or a change that it receives.
type leaderKiller struct {
	run  *OrderRun
	next func(m *Message) *http.Response

	active bool
	// spared is cut off or frozen; it stays alive to act on outdated knowledge.
	spared    *Machine
	nextStep  string // kind of the step to kill at
	before    bool
	stepsLeft int64 // steps of that kind up to the kill
	lastKill  time.Duration
}

// forward delivers a message, through the interceptor that was set before.
func (k *leaderKiller) forward(m *Message) *http.Response {
	if k.next != nil {
		return k.next(m)
	}
	response, _ := m.Forward(m.Body)
	return response
}

// intercept is called for each message between machines.
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

// haltSender blocks the task that sent the message, if the killed core sent it.
func (k *leaderKiller) haltSender(victim *Machine, m *Message) {
	for victim.Host == m.From {
		m.From.Clock().Sleep(time.Hour) // the process was killed, so its task never resumes
	}
}

// victim returns the core whose step the message is, or nil.
func (k *leaderKiller) victim(m *Message) *Machine {
	if !k.active {
		return nil
	}
	host := m.From
	switch {
	case strings.Contains(m.Path, "Disk/"):
		var request register.ConfirmRequest // the claim is the first field in all requests to a disk
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

// isDue reports whether the leader is to be killed at this step, and draws the next kill.
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

// kill kills a core and starts it again later.
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

// injectFaults injects faults into one machine after another while running returns true,
// into at most one storage machine at a time.
func (r *OrderRun) injectFaults(running func() bool) {
	clock := r.CallerHost.Clock()
	clock.Sleep(4 * time.Second) // while the cluster forms
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

// leader returns the core that leads the configuration's shard, or a random core.
func (r *OrderRun) leader() *Machine {
	leaders := base.Filter(r.Cores, func(m *Machine) bool {
		return m.core != nil && m.Host.alive && m.core.RegisterServer.LeadsFeed()
	})
	if len(leaders) == 0 {
		return r.pickMachine(r.Cores)
	}
	return leaders[0]
}

// isolateFor cuts a machine off from all others for a while, in both directions or in one;
// operators still reach it.
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

// freezeFor freezes a machine for a while and thaws it.
func (r *OrderRun) freezeFor(m *Machine, span time.Duration) {
	if !m.Host.alive {
		return
	}
	m.Host.Freeze()
	r.CallerHost.Clock().Sleep(span)
	r.leaderKiller.spared = m // and for a while after the thaw
	m.Host.Thaw()
	r.CallerHost.Clock().Sleep(500 * time.Millisecond)
	r.leaderKiller.spared = nil
}

// restartAfter ends a machine's process with end and starts it again later.
func (r *OrderRun) restartAfter(m *Machine, end func(*Machine), span time.Duration) {
	end(m)
	r.CallerHost.Clock().Sleep(span)
	r.Start(m)
}

// stopFaults ends all faults.
func (r *OrderRun) stopFaults() {
	r.leaderKiller.active = false
	r.Net.Faults = NetworkFaults{}
	r.Net.Heal()
}
