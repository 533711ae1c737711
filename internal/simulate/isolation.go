package simulate

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"
	"fordseam/platform"
)

// IsolationMode is the way in which machines are isolated.
type IsolationMode string

// Modes that cut links in both directions or one, with or without a sign to the sender, and
// modes that stop the machines.
const (
	IsolationSilent   IsolationMode = "silent"
	IsolationOutbound IsolationMode = "outbound"
	IsolationInbound  IsolationMode = "inbound"
	IsolationReset    IsolationMode = "resets"
	IsolationRefused  IsolationMode = "refused"
	IsolationFrozen   IsolationMode = "frozen"
	// IsolationKilled ends the process, IsolationPowerLoss cuts the machine's power.
	IsolationKilled    IsolationMode = "killed"
	IsolationPowerLoss IsolationMode = "without power"
)

// IsolationModes lists the modes that leave the processes alive.
var IsolationModes = []IsolationMode{IsolationSilent, IsolationOutbound, IsolationInbound, IsolationReset, IsolationRefused, IsolationFrozen}

// IsolationTarget selects the machines that are isolated.
type IsolationTarget string

// Targets of an isolation. The leader is that of the feed's shard, which also reads the
// platform's list of workers.
const (
	TargetLeader            IsolationTarget = "owner"
	TargetLeaderAndDisk     IsolationTarget = "owner and a disk"
	TargetLeaderFromDisks   IsolationTarget = "owner, from the disks only"
	TargetOtherCore         IsolationTarget = "another core"
	TargetSeeds             IsolationTarget = "all seeds"
	TargetSeedsWithRestarts IsolationTarget = "all seeds, with restarts on both sides"
	TargetLeaderRestarted   IsolationTarget = "owner, restarted behind the cut"
)

// IsolationTargets lists all targets.
var IsolationTargets = []IsolationTarget{TargetLeader, TargetLeaderAndDisk, TargetLeaderFromDisks, TargetOtherCore, TargetSeeds, TargetSeedsWithRestarts, TargetLeaderRestarted}

// IsolationSizes holds the users' four deployments: the numbers of gateways, cores and
// storage machines, and how many of the latter may be lost at once.
var IsolationSizes = map[string][4]int{"tills": {6, 4, 4, 1}, "pay": {9, 4, 4, 1}, "grown tills": {64, 5, 9, 2}, "grown pay": {55, 8, 9, 2}}

// IsolationShape returns a deployment of a size with one worker for each service.
func IsolationShape(name string) TierShape {
	size := IsolationSizes[name]
	shape := TierShapes["kiondo"]()
	if size[3] > 1 {
		shape = TierShapes["grown"]()
	}
	site := shape.Site
	site.Edges, site.Cores, site.Storage = size[0], size[1], size[2]
	for i := range site.Services {
		site.Services[i].Workers = 1
	}
	shape.Name, shape.FaultTolerance = name, size[3]
	return shape
}

// operatorTimeout is how long an operator waits for an answer.
const operatorTimeout = time.Second

// operatorCall is a call of an operator and its answer.
type operatorCall struct {
	kind        string
	core        *Machine
	sentAt      time.Duration
	answeredAt  time.Duration
	baseVersion uint64
	version     uint64
	status      int
	retryAfter  string
	body        []byte
	// isolated: the core could not reach a majority at any time from before the call was
	// sent until after it was answered. hostStopped: its process was stopped during the
	// call.
	isolated, hostStopped bool
}

func (c *operatorCall) String() string {
	return fmt.Sprintf("%s of version %d on %d to %s at %v: status %d after %v %q", c.kind, c.version, c.baseVersion, c.core.Host.Name, c.sentAt, c.status, c.answeredAt-c.sentAt, c.body)
}

// IsolationPlan describes one isolation: the size of the deployment, the machines, the mode
// and the duration.
type IsolationPlan struct {
	Size     string
	Target   IsolationTarget
	Mode     IsolationMode
	Duration time.Duration
	Seed     uint64
}

func (p IsolationPlan) String() string {
	return fmt.Sprintf("%s, seed %d, %s, %s", p.Size, p.Seed, p.Target, p.Mode)
}

// IsolationResult is the result of an isolation.
type IsolationResult struct {
	IsolationPlan
	// MajorityAckTime is the time from the start of the isolation until a core on the
	// majority's side acknowledged a change to an operator who calls that side only.
	// AnyCoreAckTime is the same for an operator who calls all cores.
	MajorityAckTime, AnyCoreAckTime time.Duration
	// RecoveryTime is the time from the end of the isolation until all cores returned the
	// newest configuration.
	RecoveryTime  time.Duration
	CallCount     int
	RefusalCount  int
	SlowestAnswer time.Duration
	Breaches      []string
}

// isolationRun is the state of a running isolation. Operators call the cores of both sides
// meanwhile, and every answer is kept and checked: a core that cannot reach a majority
// refuses with 503 and Retry-After, an acknowledged configuration stays in force, one
// without a definite answer is in force everywhere or never, and the other cores continue to
// serve.
type isolationRun struct {
	*Tier
	result         *IsolationResult
	isolated       map[*Machine]bool
	isolatedAt     time.Duration
	healedAt       time.Duration
	calls          []*operatorCall
	orders         []*sentOrder
	serial         int
	currentVersion uint64
}

// sentOrder is a configuration that an operator sent and what is known of its fate.
type sentOrder struct {
	baseVersion, version uint64
	document             []byte
	sentAt               time.Duration
	// ackedAt is the time of the first acknowledgement, 0 without one; refused is set by a
	// definite refusal.
	ackedAt time.Duration
	refused bool
}

// Run runs the plan. prepare, if not nil, may change the fleet before.
func (p IsolationPlan) Run(prepare func(f *Fleet)) *IsolationResult {
	result := &IsolationResult{IsolationPlan: p}
	t := NewTier(p.Seed, IsolationShape(p.Size), nil)
	defer t.World.Close()
	if prepare != nil {
		prepare(t.Fleet)
	}
	r := &isolationRun{Tier: t, result: result, isolated: map[*Machine]bool{}}
	done := false
	t.CallerHost.Go(func() {
		r.execute()
		done = true
	})
	if !t.World.Run(5*time.Minute, func() bool { return done }) {
		r.addBreach("the run did not finish")
	}
	return result
}

func (r *isolationRun) addBreach(format string, args ...any) {
	r.result.Breaches = append(r.result.Breaches, fmt.Sprintf(format, args...))
}

// execute runs the operators, isolates the target, heals it and checks the calls.
func (r *isolationRun) execute() {
	clock := r.CallerHost.Clock()
	if !r.applyFirstConfig() {
		r.addBreach("the fleet did not form")
		return
	}
	r.currentVersion = r.config.newestAcked.Config.Generation
	r.orders = append(r.orders, &sentOrder{version: r.currentVersion, ackedAt: clock.Now(), document: r.config.newestAcked.Raw})
	clock.Sleep(r.World.Between(2*time.Second, 4*time.Second))
	if !r.waitFor(20*time.Second, func() bool { return r.feedLeader() != nil }) {
		r.addBreach("no core leads the feed's shard")
		return
	}
	end := r.World.now + time.Second + r.result.Duration + 6*time.Second
	remaining := 0
	spawn := func(task func()) {
		remaining++
		r.CallerHost.Go(func() { task(); remaining-- })
	}
	running := func() bool { return r.World.now < end }
	spawn(func() { r.writeLoop(running) })
	for range 2 {
		spawn(func() { r.readLoop(running) })
	}
	spawn(func() { r.predictableCallLoop(running) })
	clock.Sleep(time.Second + r.World.Between(0, 300*time.Millisecond))
	r.isolate()
	spawn(r.measureMajorityAck)
	clock.Sleep(r.result.Duration)
	r.heal()
	spawn(r.measureRecovery)
	r.pollUntil(2*time.Minute, func() bool { return remaining == 0 })
	r.readFromAllCores()
	r.check()
}

// waitFor waits for a condition and reports whether it was met within the limit.
func (r *isolationRun) waitFor(limit time.Duration, condition func() bool) bool {
	r.pollUntil(limit, condition)
	return condition()
}

// isolate cuts the target's links or stops its machines.
func (r *isolationRun) isolate() {
	leader := r.feedLeader()
	if leader == nil {
		leader = r.pickMachine(r.Cores)
	}
	otherCores := base.Filter(r.Cores, func(m *Machine) bool { return m != leader })
	peers := append(slices.Clone(r.Cores), r.Storage...)
	switch r.result.Target {
	case TargetLeader, TargetLeaderRestarted:
		r.isolated[leader] = true
	case TargetLeaderAndDisk:
		r.isolated[leader], r.isolated[r.pickMachine(r.Storage)] = true, true
	case TargetLeaderFromDisks:
		r.isolated[leader], peers = true, r.Storage
	case TargetOtherCore:
		r.isolated[r.pickMachine(otherCores)] = true
	case TargetSeeds, TargetSeedsWithRestarts:
		for _, m := range r.Cores[:3] {
			r.isolated[m] = true
		}
		r.isolated[r.pickMachine(r.Storage)] = true
	}
	r.isolatedAt, r.healedAt = r.World.now, 1<<60
	if r.stopsMachines() {
		for _, m := range r.All() {
			if r.isolated[m] {
				r.stopMachine(m)
			}
		}
		return
	}
	r.Net.ResetOnExit = true
	r.Net.LinkFailure = map[IsolationMode]LinkFailure{IsolationReset: LinkReset, IsolationRefused: LinkRefused}[r.result.Mode]
	for _, m := range r.All() {
		if !r.isolated[m] {
			continue
		}
		for _, other := range peers {
			if r.isolated[other] {
				continue
			}
			if r.result.Mode != IsolationInbound {
				r.Net.CutLink(m.Host.Name, other.Host.Name)
			}
			if r.result.Mode != IsolationOutbound {
				r.Net.CutLink(other.Host.Name, m.Host.Name)
			}
		}
	}
	r.scheduleRestarts()
}

// stopsMachines reports whether the mode stops the machines instead of cutting their links.
func (r *isolationRun) stopsMachines() bool {
	return r.result.Mode == IsolationFrozen || r.result.Mode == IsolationKilled || r.result.Mode == IsolationPowerLoss
}

// stopMachine freezes a machine, kills its process or cuts its power.
func (r *isolationRun) stopMachine(m *Machine) {
	switch r.result.Mode {
	case IsolationFrozen:
		m.Host.Freeze()
	case IsolationKilled:
		r.endProcess(m, false)
	case IsolationPowerLoss:
		r.endProcess(m, true)
	}
}

// scheduleRestarts kills processes and starts them again during the isolation, if the target
// asks for it.
func (r *isolationRun) scheduleRestarts() {
	var restarting []*Machine
	for _, m := range r.Cores {
		if r.result.Target == TargetLeaderRestarted && r.isolated[m] || r.result.Target == TargetSeedsWithRestarts {
			restarting = append(restarting, m)
		}
	}
	for i, m := range restarting {
		r.CallerHost.Go(func() {
			r.CallerHost.Clock().Sleep(time.Duration(2+3*i) * time.Second)
			r.endProcess(m, false)
			r.CallerHost.Clock().Sleep(500 * time.Millisecond)
			r.startMachine(m)
		})
	}
}

// heal ends the isolation and starts stopped machines.
func (r *isolationRun) heal() {
	r.Net.Heal()
	r.Net.LinkFailure = LinkSilent
	for _, m := range r.All() {
		switch {
		case m.Host.frozen:
			m.Host.Thaw()
		case r.stopsMachines() && r.isolated[m]:
			r.startMachine(m)
		}
	}
	r.healedAt = r.World.now
}

// callCore makes one call to a core and waits up to operatorTimeout for the answer. Later
// answers are recorded and checked as well.
func (r *isolationRun) callCore(kind string, m *Machine, method, path string, order *sentOrder) *operatorCall {
	clock := r.CallerHost.Clock()
	call := &operatorCall{kind: kind, core: m, sentAt: clock.Now()}
	var header [][2]string
	var body []byte
	if order != nil {
		call.baseVersion, call.version, body = order.baseVersion, order.version, order.document
		header = [][2]string{{parties.HeaderIfMatch, strconv.FormatUint(order.baseVersion, 10)}}
	}
	r.calls = append(r.calls, call)
	answers := newPipe[int](r.CallerHost)
	if !m.Host.alive || m.core == nil {
		if m.Host.poweredOff {
			clock.Sleep(operatorTimeout)
		}
		clock.Sleep(r.clientDelay())
		call.answeredAt, call.hostStopped = clock.Now(), true
		return call
	}
	core, life := m.core, m.Host.incarnation
	startedAt := r.World.now
	r.World.spawn(m.Host, life, r.World.now+r.clientDelay(), func() {
		request := newRequestCtx(method, path, m.Host.Name, header, body)
		platform.ServeOperator(request, m.Host.Clock(), core)
		call.status, call.retryAfter, call.body = request.Response.StatusCode(), string(request.Response.Header.Peek("Retry-After")), slices.Clone(request.Response.Body())
		call.answeredAt = r.World.now
		overlaps := r.isolated[m] && r.isolatedAt > 0 && startedAt < r.healedAt && call.answeredAt > r.isolatedAt
		call.hostStopped = overlaps && r.stopsMachines()
		// A core that is cut off from the disks only may still ask the other cores.
		call.isolated = overlaps && startedAt >= r.isolatedAt && call.answeredAt < r.healedAt && r.result.Target != TargetLeaderFromDisks
		answers.send(r.clientDelay(), call.status)
	})
	if _, ok := answers.receive(clock.Now()+operatorTimeout, nil); !ok {
		call.hostStopped = call.hostStopped || m.Host.frozen || m.Host.incarnation != life
		return &operatorCall{kind: call.kind, core: m, sentAt: call.sentAt, answeredAt: clock.Now(), hostStopped: true}
	}
	return call
}

// newOrder returns a new valid configuration on top of a version.
func (r *isolationRun) newOrder(baseVersion uint64) *sentOrder {
	config := r.drafts.NextValid(r.config.newestAcked.Config)
	r.serial += 1 + r.rng.IntN(3)
	config.Generation = r.orders[0].version + uint64(r.serial)
	order := &sentOrder{baseVersion: baseVersion, version: config.Generation, document: config.Encode(), sentAt: r.World.now}
	r.orders = append(r.orders, order)
	return order
}

// submit repeats an order, as an operator does, until it is acknowledged or refused or the
// deadline has passed. It reports whether the order was acknowledged.
func (r *isolationRun) submit(order *sentOrder, targets func() []*Machine, deadline time.Duration) bool {
	clock := r.CallerHost.Clock()
	for attempt := 1; clock.Now() < deadline; attempt++ {
		call := r.callCore("PUT", r.pickMachine(targets()), "PUT", parties.PathConfig, order)
		switch {
		case call.status == 200:
			r.recordAck(order)
			return true
		case call.status >= 400 && call.status < 500:
			order.refused = true
			return false
		}
		clock.Sleep(parties.OrderBackoff(attempt))
	}
	return false
}

// recordAck records that an order was acknowledged.
func (r *isolationRun) recordAck(order *sentOrder) {
	if order.ackedAt == 0 {
		order.ackedAt = r.World.now
	}
	r.currentVersion = max(r.currentVersion, order.version)
}

// writeLoop submits one change after another on top of the newest version.
func (r *isolationRun) writeLoop(running func() bool) {
	clock := r.CallerHost.Clock()
	for running() {
		order := r.newOrder(r.currentVersion)
		if r.submit(order, func() []*Machine { return r.Cores }, r.World.now+r.result.Duration*2) && r.isolatedAt > 0 && r.result.AnyCoreAckTime == 0 {
			r.result.AnyCoreAckTime = r.World.now - r.isolatedAt
		}
		clock.Sleep(r.World.Between(50*time.Millisecond, 600*time.Millisecond))
	}
}

// measureMajorityAck repeats the newest acknowledged order at the majority's side until it
// is acknowledged again there, which needs a leader on that side.
func (r *isolationRun) measureMajorityAck() {
	order := r.newestAcked()
	majority := base.Filter(r.Cores, func(m *Machine) bool { return !r.isolated[m] })
	for r.World.now < r.healedAt {
		call := r.callCore("repeat", r.pickMachine(majority), "PUT", parties.PathConfig, order)
		if call.status == 200 && call.sentAt >= r.isolatedAt {
			r.result.MajorityAckTime = r.World.now - r.isolatedAt
			return
		}
		r.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
	r.addBreach("nothing was acknowledged on the majority's side during the isolation of: %s (%s)", r.result.Target, r.result.Mode)
}

// newestAcked returns the order that was acknowledged last, or the initial one.
func (r *isolationRun) newestAcked() *sentOrder {
	for i := len(r.orders) - 1; i > 0; i-- {
		if r.orders[i].ackedAt > 0 {
			return r.orders[i]
		}
	}
	return r.orders[0]
}

// readLoop reads the newest configuration from cores of both sides.
func (r *isolationRun) readLoop(running func() bool) {
	for running() {
		r.callCore("GET", r.pickMachine(r.Cores), "GET", parties.PathConfig, nil)
		r.CallerHost.Clock().Sleep(r.World.Between(20*time.Millisecond, 400*time.Millisecond))
	}
}

// predictableCallLoop sends calls whose result is known in advance: changes on an outdated
// version, orders that were acknowledged before, and retirements of unknown machines.
func (r *isolationRun) predictableCallLoop(running func() bool) {
	for round := 0; running(); round++ {
		m := r.pickMachine(r.Cores)
		switch round % 4 {
		case 0:
			stale := r.newOrder(r.orders[0].baseVersion)
			stale.refused = true
			r.callCore("stale PUT", m, "PUT", parties.PathConfig, stale)
		case 1:
			if order := r.newestAcked(); order != r.orders[0] {
				r.callCore("repeat", m, "PUT", parties.PathConfig, order)
			}
		case 2:
			r.callCore("GET retire", m, "GET", parties.PathRetire+"storage-none", nil)
		case 3:
			r.callCore("POST retire", m, "POST", parties.PathRetire+"storage-none", nil)
		}
		r.CallerHost.Clock().Sleep(r.World.Between(20*time.Millisecond, 300*time.Millisecond))
	}
}

// measureRecovery measures how long it takes until every core returns the newest
// configuration.
func (r *isolationRun) measureRecovery() {
	r.pollUntil(30*time.Second, func() bool {
		newest := r.currentVersion
		for _, m := range r.Cores {
			call := r.callCore("GET", m, "GET", parties.PathConfig, nil)
			if call.status != 200 || parseGeneration(call.body) < newest {
				return false
			}
		}
		return true
	})
	r.result.RecoveryTime = r.World.now - r.healedAt
}

// readFromAllCores reads the configuration from every core at the end of the run.
func (r *isolationRun) readFromAllCores() {
	for _, m := range r.Cores {
		if call := r.callCore("GET", m, "GET", parties.PathConfig, nil); call.status != 200 {
			r.addBreach("no configuration after the isolation: %s", call)
		}
	}
}

// parseGeneration returns the version of a document, 0 if it cannot be parsed.
func parseGeneration(document []byte) uint64 {
	table, err := platform.ReadTable(document)
	if err != nil {
		return 0
	}
	return table.Version
}
