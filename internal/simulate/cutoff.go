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

// operatorSilence is how long an operator waits for an answer.
const operatorSilence = time.Second

// consultation is one call of an operator and its answer.
type consultation struct {
	kind       string
	core       *Machine
	sent       time.Duration
	ended      time.Duration
	base       uint64
	version    uint64
	status     int
	retryAfter string
	body       []byte
	// apart: the core could not reach a majority from before the call was sent
	// until after it was answered; stopped: its process did not run all the while.
	apart, stopped bool
}

func (c *consultation) String() string {
	return fmt.Sprintf("%s of %d on %d to %s at %v: %d after %v %q", c.kind, c.version, c.base, c.core.Host.Name, c.sent, c.status, c.ended-c.sent, c.body)
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

// cutPlay is a run under way.
type cutPlay struct {
	*Tier
	run     *IsolationResult
	apart   map[*Machine]bool
	from    time.Duration
	to      time.Duration
	calls   []*consultation
	orders  []*cutOrder
	serial  int
	current uint64
}

// cutOrder is a document that was sent, and what is known of its fate.
type cutOrder struct {
	base, version uint64
	raw           []byte
	sent          time.Duration
	// acked is when a first answer took it, 0 for never; refused that it got a
	// clear refusal.
	acked   time.Duration
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
	p := &cutPlay{Tier: t, run: run, apart: map[*Machine]bool{}}
	over := false
	t.CallerHost.Go(func() {
		p.play()
		over = true
	})
	if !t.World.Run(5*time.Minute, func() bool { return over }) {
		p.breach("the run does not end")
	}
	return run
}

func (p *cutPlay) breach(format string, args ...any) {
	p.run.Breaches = append(p.run.Breaches, fmt.Sprintf(format, args...))
}

func (p *cutPlay) play() {
	clock := p.CallerHost.Clock()
	if !p.form() {
		p.breach("the fleet did not form")
		return
	}
	p.current = p.config.newest.Config.Generation
	p.orders = append(p.orders, &cutOrder{version: p.current, acked: clock.Now(), raw: p.config.newest.Raw})
	clock.Sleep(p.World.Between(2*time.Second, 4*time.Second))
	if !p.until2(20*time.Second, func() bool { return p.feeds() != nil }) {
		p.breach("no core owns the feed")
		return
	}
	end := p.World.now + time.Second + p.run.Duration + 6*time.Second
	left := 0
	enter := func(task func()) {
		left++
		p.CallerHost.Go(func() { task(); left-- })
	}
	going := func() bool { return p.World.now < end }
	enter(func() { p.write(going) })
	for range 2 {
		enter(func() { p.read(going) })
	}
	enter(func() { p.ask(going) })
	clock.Sleep(time.Second + p.World.Between(0, 300*time.Millisecond))
	p.cut()
	enter(p.firstAck)
	clock.Sleep(p.run.Duration)
	p.heal()
	enter(p.settle)
	p.until(2*time.Minute, func() bool { return left == 0 })
	p.readAll()
	p.judge()
}

func (p *cutPlay) until2(limit time.Duration, met func() bool) bool {
	p.until(limit, met)
	return met()
}

// cut brings the trouble about.
func (p *cutPlay) cut() {
	owner := p.feeds()
	if owner == nil {
		owner = p.pick(p.Cores)
	}
	others := base.Filter(p.Cores, func(m *Machine) bool { return m != owner })
	from := append(slices.Clone(p.Cores), p.Storage...)
	switch p.run.Target {
	case TargetLeader, TargetLeaderRestarted:
		p.apart[owner] = true
	case TargetLeaderAndDisk:
		p.apart[owner], p.apart[p.pick(p.Storage)] = true, true
	case TargetLeaderFromDisks:
		p.apart[owner], from = true, p.Storage
	case TargetOtherCore:
		p.apart[p.pick(others)] = true
	case TargetSeeds, TargetSeedsWithRestarts:
		for _, m := range p.Cores[:3] {
			p.apart[m] = true
		}
		p.apart[p.pick(p.Storage)] = true
	}
	p.from, p.to = p.World.now, 1<<60
	if p.stops() {
		for _, m := range p.All() {
			if p.apart[m] {
				p.stop(m)
			}
		}
		return
	}
	p.Net.ResetOnExit = true
	p.Net.LinkFailure = map[IsolationMode]LinkFailure{IsolationReset: LinkReset, IsolationRefused: LinkRefused}[p.run.Mode]
	for _, m := range p.All() {
		if !p.apart[m] {
			continue
		}
		for _, other := range from {
			if p.apart[other] {
				continue
			}
			if p.run.Mode != IsolationInbound {
				p.Net.CutLink(m.Host.Name, other.Host.Name)
			}
			if p.run.Mode != IsolationOutbound {
				p.Net.CutLink(other.Host.Name, m.Host.Name)
			}
		}
	}
	p.restarts()
}

// stops tells that the machines stand still or fall instead of being cut off.
func (p *cutPlay) stops() bool {
	return p.run.Mode == IsolationFrozen || p.run.Mode == IsolationKilled || p.run.Mode == IsolationPowerLoss
}

func (p *cutPlay) stop(m *Machine) {
	switch p.run.Mode {
	case IsolationFrozen:
		m.Host.Freeze()
	case IsolationKilled:
		p.down(m, false)
	case IsolationPowerLoss:
		p.down(m, true)
	}
}

// restarts kills processes and starts them again while the cut lasts.
func (p *cutPlay) restarts() {
	var list []*Machine
	for _, m := range p.Cores {
		if p.run.Target == TargetLeaderRestarted && p.apart[m] || p.run.Target == TargetSeedsWithRestarts {
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

func (p *cutPlay) heal() {
	p.Net.Heal()
	p.Net.LinkFailure = LinkSilent
	for _, m := range p.All() {
		switch {
		case m.Host.frozen:
			m.Host.Thaw()
		case p.stops() && p.apart[m]:
			p.begin(m)
		}
	}
	p.to = p.World.now
}

// consult makes one call to a core and waits for the answer as long as the
// operator would; what comes later is judged all the same.
func (p *cutPlay) consult(kind string, m *Machine, method, path string, order *cutOrder) *consultation {
	clock := p.CallerHost.Clock()
	c := &consultation{kind: kind, core: m, sent: clock.Now()}
	var header [][2]string
	var body []byte
	if order != nil {
		c.base, c.version, body = order.base, order.version, order.raw
		header = [][2]string{{parties.HeaderIfMatch, strconv.FormatUint(order.base, 10)}}
	}
	p.calls = append(p.calls, c)
	in := newPipe[int](p.CallerHost)
	if !m.Host.alive || m.core == nil {
		if m.Host.dark {
			clock.Sleep(operatorSilence)
		}
		clock.Sleep(p.way())
		c.ended, c.stopped = clock.Now(), true
		return c
	}
	core, life := m.core, m.Host.life
	since := p.World.now
	p.World.spawn(m.Host, life, p.World.now+p.way(), func() {
		r := inProcess(method, path, m.Host.Name, header, body)
		platform.ServeOperator(r, m.Host.Clock(), core)
		c.status, c.retryAfter, c.body = r.Response.StatusCode(), string(r.Response.Header.Peek("Retry-After")), slices.Clone(r.Response.Body())
		c.ended = p.World.now
		overlaps := p.apart[m] && p.from > 0 && since < p.to && c.ended > p.from
		c.stopped = overlaps && p.stops()
		// Who is cut off from the disks only may ask the other cores.
		c.apart = overlaps && since >= p.from && c.ended < p.to && p.run.Target != TargetLeaderFromDisks
		in.put(p.way(), c.status)
	})
	if _, ok := in.next(clock.Now()+operatorSilence, nil); !ok {
		c.stopped = c.stopped || m.Host.frozen || m.Host.life != life
		return &consultation{kind: c.kind, core: m, sent: c.sent, ended: clock.Now(), stopped: true}
	}
	return c
}

// draft is a new valid document on top of a version.
func (p *cutPlay) draft(onto uint64) *cutOrder {
	next := p.drafts.Next(p.config.newest.Config)
	p.serial += 1 + p.rng.IntN(3)
	next.Generation = p.orders[0].version + uint64(p.serial)
	order := &cutOrder{base: onto, version: next.Generation, raw: next.Encode(), sent: p.World.now}
	p.orders = append(p.orders, order)
	return order
}

// send repeats an order until it is acknowledged or refused, or the time is
// over, as an operator does.
func (p *cutPlay) send(order *cutOrder, among func() []*Machine, until time.Duration) bool {
	clock := p.CallerHost.Clock()
	for tries := 1; clock.Now() < until; tries++ {
		c := p.consult("PUT", p.pick(among()), "PUT", parties.PathConfig, order)
		switch {
		case c.status == 200:
			p.took(order)
			return true
		case c.status >= 400 && c.status < 500:
			order.refused = true
			return false
		}
		clock.Sleep(parties.OrderPause(tries))
	}
	return false
}

func (p *cutPlay) took(order *cutOrder) {
	if order.acked == 0 {
		order.acked = p.World.now
	}
	p.current = max(p.current, order.version)
}

// write sends one change after another on top of the newest.
func (p *cutPlay) write(going func() bool) {
	clock := p.CallerHost.Clock()
	for going() {
		order := p.draft(p.current)
		if p.send(order, func() []*Machine { return p.Cores }, p.World.now+p.run.Duration*2) && p.from > 0 && p.run.AnyCoreAckTime == 0 {
			p.run.AnyCoreAckTime = p.World.now - p.from
		}
		clock.Sleep(p.World.Between(50*time.Millisecond, 600*time.Millisecond))
	}
}

// firstAck repeats the newest acknowledged order at the majority's side until
// it is acknowledged again there: the change of hands is what it waits for.
func (p *cutPlay) firstAck() {
	order := p.newest()
	near := base.Filter(p.Cores, func(m *Machine) bool { return !p.apart[m] })
	for p.World.now < p.to {
		c := p.consult("repeat", p.pick(near), "PUT", parties.PathConfig, order)
		if c.status == 200 && c.sent >= p.from {
			p.run.MajorityAckTime = p.World.now - p.from
			return
		}
		p.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
	p.breach("nothing was acknowledged on the majority's side while %s was cut off (%s)", p.run.Target, p.run.Mode)
}

func (p *cutPlay) newest() *cutOrder {
	for place := len(p.orders) - 1; place > 0; place-- {
		if p.orders[place].acked > 0 {
			return p.orders[place]
		}
	}
	return p.orders[0]
}

// read asks cores of both sides for the newest configuration.
func (p *cutPlay) read(going func() bool) {
	for going() {
		p.consult("GET", p.pick(p.Cores), "GET", parties.PathConfig, nil)
		p.CallerHost.Clock().Sleep(p.World.Between(20*time.Millisecond, 400*time.Millisecond))
	}
}

// ask sends what must be refused or was taken before: changes on a version of
// long ago, orders that were acknowledged, and retirements of machines that
// are none.
func (p *cutPlay) ask(going func() bool) {
	for round := 0; going(); round++ {
		m := p.pick(p.Cores)
		switch round % 4 {
		case 0:
			stale := p.draft(p.orders[0].base)
			stale.refused = true
			p.consult("stale PUT", m, "PUT", parties.PathConfig, stale)
		case 1:
			if order := p.newest(); order != p.orders[0] {
				p.consult("repeat", m, "PUT", parties.PathConfig, order)
			}
		case 2:
			p.consult("GET retire", m, "GET", parties.PathRetire+"storage-none", nil)
		case 3:
			p.consult("POST retire", m, "POST", parties.PathRetire+"storage-none", nil)
		}
		p.CallerHost.Clock().Sleep(p.World.Between(20*time.Millisecond, 300*time.Millisecond))
	}
}

// settle times how long it takes until every core gives the newest configuration.
func (p *cutPlay) settle() {
	p.until(30*time.Second, func() bool {
		newest := p.current
		for _, m := range p.Cores {
			c := p.consult("GET", m, "GET", parties.PathConfig, nil)
			if c.status != 200 || generationOf(c.body) < newest {
				return false
			}
		}
		return true
	})
	p.run.RecoveryTime = p.World.now - p.to
}

// readAll has every core give the configuration at the end.
func (p *cutPlay) readAll() {
	for _, m := range p.Cores {
		if c := p.consult("GET", m, "GET", parties.PathConfig, nil); c.status != 200 {
			p.breach("after the cut: %s", c)
		}
	}
}

func generationOf(raw []byte) uint64 {
	found, err := platform.ReadTable(raw)
	if err != nil {
		return 0
	}
	return found.Version
}
