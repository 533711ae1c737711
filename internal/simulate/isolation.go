// Machines that count are cut off from the others that count, while operators
// reach both sides. What each operator was answered is kept and judged: a
// machine that cannot reach a majority refuses with 503 and says when to come
// back, an acknowledged configuration stands, one that got no clear answer is
// either in force everywhere or never, and the others go on.

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

// IsolationMode is how machines are cut off.
type IsolationMode string

// The ways: in both directions or one, noticed or not, and frozen instead.
const (
	IsolationSilent   IsolationMode = "silent"
	IsolationOutbound IsolationMode = "outbound"
	IsolationInbound  IsolationMode = "inbound"
	IsolationReset    IsolationMode = "resets"
	IsolationRefused  IsolationMode = "refused"
	IsolationFrozen   IsolationMode = "frozen"
	// IsolationKilled and CutDark end the process, or the machine's power, instead.
	IsolationKilled    IsolationMode = "killed"
	IsolationPowerLoss IsolationMode = "without power"
)

// IsolationModes lists those that leave the machines alive.
var IsolationModes = []IsolationMode{IsolationSilent, IsolationOutbound, IsolationInbound, IsolationReset, IsolationRefused, IsolationFrozen}

// IsolationTarget is who is cut off.
type IsolationTarget string

// The targets. The owner of the feed's shard is the core that reads the
// platform's list of workers as well.
const (
	TargetLeader            IsolationTarget = "owner"
	TargetLeaderAndDisk     IsolationTarget = "owner and a disk"
	TargetLeaderFromDisks   IsolationTarget = "owner, from the disks only"
	TargetOtherCore         IsolationTarget = "another core"
	TargetSeeds             IsolationTarget = "all seeds"
	TargetSeedsWithRestarts IsolationTarget = "all seeds, with restarts on both sides"
	TargetLeaderRestarted   IsolationTarget = "owner, restarted behind the cut"
)

// IsolationTargets lists them.
var IsolationTargets = []IsolationTarget{TargetLeader, TargetLeaderAndDisk, TargetLeaderFromDisks, TargetOtherCore, TargetSeeds, TargetSeedsWithRestarts, TargetLeaderRestarted}

// IsolationSizes are the users' four deployments: gateways, cores, storage machines
// and how many of those with a disk may be lost at once.
var IsolationSizes = map[string][4]int{"tills": {6, 4, 4, 1}, "pay": {9, 4, 4, 1}, "grown tills": {64, 5, 9, 2}, "grown pay": {55, 8, 9, 2}}

// IsolationShape is a deployment of a size whose gateways have nothing to serve.
func IsolationShape(name string) TierShape {
	size := IsolationSizes[name]
	form := TierShapes["kiondo"]()
	if size[3] > 1 {
		form = TierShapes["grown"]()
	}
	site := form.Site
	site.Edges, site.Cores, site.Storage = size[0], size[1], size[2]
	for place := range site.Services {
		site.Services[place].Workers = 1
	}
	form.Name, form.Tolerate = name, size[3]
	return form
}

// operatorTimeout is how long an operator waits for an answer.
const operatorTimeout = time.Second

// operatorCall is one call of an operator and its answer.
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
	// apart: the core could not reach a majority from before the call was sent
	// waitUntil after it was answered; stopped: its process did not run all the while.
	isolated, hostStopped bool
}

func (c *operatorCall) String() string {
	return fmt.Sprintf("%s of %d on %d to %s at %v: %d after %v %q", c.kind, c.version, c.baseVersion, c.core.Host.Name, c.sentAt, c.status, c.answeredAt-c.sentAt, c.body)
}

// IsolationPlan is one cut: at which size, who, how, and for how long.
type IsolationPlan struct {
	Size     string
	Target   IsolationTarget
	Mode     IsolationMode
	Duration time.Duration
	Seed     uint64
}

func (c IsolationPlan) String() string {
	return fmt.Sprintf("%s, seed %d, %s, %s", c.Size, c.Seed, c.Target, c.Mode)
}

// IsolationResult is one cut and what came of it.
type IsolationResult struct {
	IsolationPlan
	// MajorityAckTime is how long after the cut a change was acknowledged by a core on the
	// majority's side, to an operator who calls that side only; Everywhere is the
	// same for one who calls cores of both sides as they come.
	MajorityAckTime, AnyCoreAckTime time.Duration
	// RecoveryTime is how long after the end of the cut all cores gave the newest
	// configuration.
	RecoveryTime  time.Duration
	CallCount     int
	RefusalCount  int
	SlowestAnswer time.Duration
	Breaches      []string
}

// isolationRun is a run under way.
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

// sentOrder is a document that was sent, and what is known of its fate.
type sentOrder struct {
	baseVersion, version uint64
	document             []byte
	sentAt               time.Duration
	// ackedAt is when a first answer took it, 0 for never; refused that it got a
	// clear refusal.
	ackedAt time.Duration
	refused bool
}

// Run has the target cut off; a test may change the fleet before.
func (c IsolationPlan) Run(change func(f *Fleet)) *IsolationResult {
	run := &IsolationResult{IsolationPlan: c}
	t := NewTier(c.Seed, IsolationShape(c.Size), nil)
	defer t.World.Close()
	if change != nil {
		change(t.Fleet)
	}
	p := &isolationRun{Tier: t, result: run, isolated: map[*Machine]bool{}}
	over := false
	t.CallerHost.Go(func() {
		p.execute()
		over = true
	})
	if !t.World.Run(5*time.Minute, func() bool { return over }) {
		p.addBreach("the run does not end")
	}
	return run
}

func (p *isolationRun) addBreach(format string, args ...any) {
	p.result.Breaches = append(p.result.Breaches, fmt.Sprintf(format, args...))
}

func (p *isolationRun) execute() {
	clock := p.CallerHost.Clock()
	if !p.form() {
		p.addBreach("the fleet did not form")
		return
	}
	p.currentVersion = p.config.newest.Config.Generation
	p.orders = append(p.orders, &sentOrder{version: p.currentVersion, ackedAt: clock.Now(), document: p.config.newest.Raw})
	clock.Sleep(p.World.Between(2*time.Second, 4*time.Second))
	if !p.waitFor(20*time.Second, func() bool { return p.feedLeader() != nil }) {
		p.addBreach("no core owns the feed")
		return
	}
	end := p.World.now + time.Second + p.result.Duration + 6*time.Second
	left := 0
	enter := func(task func()) {
		left++
		p.CallerHost.Go(func() { task(); left-- })
	}
	going := func() bool { return p.World.now < end }
	enter(func() { p.writeLoop(going) })
	for range 2 {
		enter(func() { p.readLoop(going) })
	}
	enter(func() { p.rejectableCallLoop(going) })
	clock.Sleep(time.Second + p.World.Between(0, 300*time.Millisecond))
	p.isolate()
	enter(p.measureMajorityAck)
	clock.Sleep(p.result.Duration)
	p.heal()
	enter(p.measureRecovery)
	p.until(2*time.Minute, func() bool { return left == 0 })
	p.readFromAllCores()
	p.check()
}

func (p *isolationRun) waitFor(limit time.Duration, met func() bool) bool {
	p.until(limit, met)
	return met()
}

// isolate brings the trouble about.
func (p *isolationRun) isolate() {
	owner := p.feedLeader()
	if owner == nil {
		owner = p.pickMachine(p.Cores)
	}
	others := base.Filter(p.Cores, func(m *Machine) bool { return m != owner })
	from := append(slices.Clone(p.Cores), p.Storage...)
	switch p.result.Target {
	case TargetLeader, TargetLeaderRestarted:
		p.isolated[owner] = true
	case TargetLeaderAndDisk:
		p.isolated[owner], p.isolated[p.pickMachine(p.Storage)] = true, true
	case TargetLeaderFromDisks:
		p.isolated[owner], from = true, p.Storage
	case TargetOtherCore:
		p.isolated[p.pickMachine(others)] = true
	case TargetSeeds, TargetSeedsWithRestarts:
		for _, m := range p.Cores[:3] {
			p.isolated[m] = true
		}
		p.isolated[p.pickMachine(p.Storage)] = true
	}
	p.isolatedAt, p.healedAt = p.World.now, 1<<60
	if p.stopsMachines() {
		for _, m := range p.All() {
			if p.isolated[m] {
				p.stopMachine(m)
			}
		}
		return
	}
	p.Net.ResetOnExit = true
	p.Net.LinkFailure = map[IsolationMode]LinkFailure{IsolationReset: LinkReset, IsolationRefused: LinkRefused}[p.result.Mode]
	for _, m := range p.All() {
		if !p.isolated[m] {
			continue
		}
		for _, other := range from {
			if p.isolated[other] {
				continue
			}
			if p.result.Mode != IsolationInbound {
				p.Net.CutLink(m.Host.Name, other.Host.Name)
			}
			if p.result.Mode != IsolationOutbound {
				p.Net.CutLink(other.Host.Name, m.Host.Name)
			}
		}
	}
	p.scheduleRestarts()
}

// stopsMachines tells that the machines stand still or fall instead of being cut off.
func (p *isolationRun) stopsMachines() bool {
	return p.result.Mode == IsolationFrozen || p.result.Mode == IsolationKilled || p.result.Mode == IsolationPowerLoss
}

func (p *isolationRun) stopMachine(m *Machine) {
	switch p.result.Mode {
	case IsolationFrozen:
		m.Host.Freeze()
	case IsolationKilled:
		p.down(m, false)
	case IsolationPowerLoss:
		p.down(m, true)
	}
}

// scheduleRestarts kills processes and starts them again while the cut lasts.
func (p *isolationRun) scheduleRestarts() {
	var list []*Machine
	for _, m := range p.Cores {
		if p.result.Target == TargetLeaderRestarted && p.isolated[m] || p.result.Target == TargetSeedsWithRestarts {
			list = append(list, m)
		}
	}
	for place, m := range list {
		p.CallerHost.Go(func() {
			p.CallerHost.Clock().Sleep(time.Duration(2+3*place) * time.Second)
			p.down(m, false)
			p.CallerHost.Clock().Sleep(500 * time.Millisecond)
			p.begin(m)
		})
	}
}

func (p *isolationRun) heal() {
	p.Net.Heal()
	p.Net.LinkFailure = LinkSilent
	for _, m := range p.All() {
		switch {
		case m.Host.frozen:
			m.Host.Thaw()
		case p.stopsMachines() && p.isolated[m]:
			p.begin(m)
		}
	}
	p.healedAt = p.World.now
}

// callCore makes one call to a core and waits for the answer as long as the
// runOperator would; what comes later is judged all the same.
func (p *isolationRun) callCore(kind string, m *Machine, method, path string, order *sentOrder) *operatorCall {
	clock := p.CallerHost.Clock()
	c := &operatorCall{kind: kind, core: m, sentAt: clock.Now()}
	var header [][2]string
	var body []byte
	if order != nil {
		c.baseVersion, c.version, body = order.baseVersion, order.version, order.document
		header = [][2]string{{parties.HeaderIfMatch, strconv.FormatUint(order.baseVersion, 10)}}
	}
	p.calls = append(p.calls, c)
	in := newPipe[int](p.CallerHost)
	if !m.Host.alive || m.core == nil {
		if m.Host.dark {
			clock.Sleep(operatorTimeout)
		}
		clock.Sleep(p.way())
		c.answeredAt, c.hostStopped = clock.Now(), true
		return c
	}
	core, life := m.core, m.Host.life
	since := p.World.now
	p.World.spawn(m.Host, life, p.World.now+p.way(), func() {
		r := inProcess(method, path, m.Host.Name, header, body)
		platform.ServeOperator(r, m.Host.Clock(), core)
		c.status, c.retryAfter, c.body = r.Response.StatusCode(), string(r.Response.Header.Peek("Retry-After")), slices.Clone(r.Response.Body())
		c.answeredAt = p.World.now
		overlaps := p.isolated[m] && p.isolatedAt > 0 && since < p.healedAt && c.answeredAt > p.isolatedAt
		c.hostStopped = overlaps && p.stopsMachines()
		// Who is cut off from the disks only may ask the other cores.
		c.isolated = overlaps && since >= p.isolatedAt && c.answeredAt < p.healedAt && p.result.Target != TargetLeaderFromDisks
		in.put(p.way(), c.status)
	})
	if _, ok := in.next(clock.Now()+operatorTimeout, nil); !ok {
		c.hostStopped = c.hostStopped || m.Host.frozen || m.Host.life != life
		return &operatorCall{kind: c.kind, core: m, sentAt: c.sentAt, answeredAt: clock.Now(), hostStopped: true}
	}
	return c
}

// newOrder is a new valid document on top of a version.
func (p *isolationRun) newOrder(onto uint64) *sentOrder {
	next := p.drafts.Next(p.config.newest.Config)
	p.serial += 1 + p.rng.IntN(3)
	next.Generation = p.orders[0].version + uint64(p.serial)
	order := &sentOrder{baseVersion: onto, version: next.Generation, document: next.Encode(), sentAt: p.World.now}
	p.orders = append(p.orders, order)
	return order
}

// submit repeats an order until it is acknowledged or refused, or the time is
// over, as an operator does.
func (p *isolationRun) submit(order *sentOrder, among func() []*Machine, until time.Duration) bool {
	clock := p.CallerHost.Clock()
	for tries := 1; clock.Now() < until; tries++ {
		c := p.callCore("PUT", p.pickMachine(among()), "PUT", parties.PathConfig, order)
		switch {
		case c.status == 200:
			p.recordAck(order)
			return true
		case c.status >= 400 && c.status < 500:
			order.refused = true
			return false
		}
		clock.Sleep(parties.OrderPause(tries))
	}
	return false
}

func (p *isolationRun) recordAck(order *sentOrder) {
	if order.ackedAt == 0 {
		order.ackedAt = p.World.now
	}
	p.currentVersion = max(p.currentVersion, order.version)
}

// writeLoop sends one change after another on top of the newest.
func (p *isolationRun) writeLoop(going func() bool) {
	clock := p.CallerHost.Clock()
	for going() {
		order := p.newOrder(p.currentVersion)
		if p.submit(order, func() []*Machine { return p.Cores }, p.World.now+p.result.Duration*2) && p.isolatedAt > 0 && p.result.AnyCoreAckTime == 0 {
			p.result.AnyCoreAckTime = p.World.now - p.isolatedAt
		}
		clock.Sleep(p.World.Between(50*time.Millisecond, 600*time.Millisecond))
	}
}

// measureMajorityAck repeats the newest acknowledged order at the majority's side until
// it is acknowledged again there: the change of hands is what it waits for.
func (p *isolationRun) measureMajorityAck() {
	order := p.newestAcked()
	near := base.Filter(p.Cores, func(m *Machine) bool { return !p.isolated[m] })
	for p.World.now < p.healedAt {
		c := p.callCore("repeat", p.pickMachine(near), "PUT", parties.PathConfig, order)
		if c.status == 200 && c.sentAt >= p.isolatedAt {
			p.result.MajorityAckTime = p.World.now - p.isolatedAt
			return
		}
		p.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
	p.addBreach("nothing was acknowledged on the majority's side while %s was cut off (%s)", p.result.Target, p.result.Mode)
}

func (p *isolationRun) newestAcked() *sentOrder {
	for place := len(p.orders) - 1; place > 0; place-- {
		if p.orders[place].ackedAt > 0 {
			return p.orders[place]
		}
	}
	return p.orders[0]
}

// readLoop asks cores of both sides for the newest configuration.
func (p *isolationRun) readLoop(going func() bool) {
	for going() {
		p.callCore("GET", p.pickMachine(p.Cores), "GET", parties.PathConfig, nil)
		p.CallerHost.Clock().Sleep(p.World.Between(20*time.Millisecond, 400*time.Millisecond))
	}
}

// rejectableCallLoop sends what must be refused or was taken before: changes on a version of
// long ago, orders that were acknowledged, and retirements of machines that
// are none.
func (p *isolationRun) rejectableCallLoop(going func() bool) {
	for round := 0; going(); round++ {
		m := p.pickMachine(p.Cores)
		switch round % 4 {
		case 0:
			stale := p.newOrder(p.orders[0].baseVersion)
			stale.refused = true
			p.callCore("stale PUT", m, "PUT", parties.PathConfig, stale)
		case 1:
			if order := p.newestAcked(); order != p.orders[0] {
				p.callCore("repeat", m, "PUT", parties.PathConfig, order)
			}
		case 2:
			p.callCore("GET retire", m, "GET", parties.PathRetire+"storage-none", nil)
		case 3:
			p.callCore("POST retire", m, "POST", parties.PathRetire+"storage-none", nil)
		}
		p.CallerHost.Clock().Sleep(p.World.Between(20*time.Millisecond, 300*time.Millisecond))
	}
}

// measureRecovery times how long it takes until every core gives the newest configuration.
func (p *isolationRun) measureRecovery() {
	p.until(30*time.Second, func() bool {
		newest := p.currentVersion
		for _, m := range p.Cores {
			c := p.callCore("GET", m, "GET", parties.PathConfig, nil)
			if c.status != 200 || parseGeneration(c.body) < newest {
				return false
			}
		}
		return true
	})
	p.result.RecoveryTime = p.World.now - p.healedAt
}

// readFromAllCores has every core give the configuration at the end.
func (p *isolationRun) readFromAllCores() {
	for _, m := range p.Cores {
		if c := p.callCore("GET", m, "GET", parties.PathConfig, nil); c.status != 200 {
			p.addBreach("after the cut: %s", c)
		}
	}
}

func parseGeneration(raw []byte) uint64 {
	found, err := platform.ReadTable(raw)
	if err != nil {
		return 0
	}
	return found.Version
}
