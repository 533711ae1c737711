// The tier: a fleet that serves an operator's routes on the platform, with the
// platform's parties round it. Gateways, cores and storage machines are the
// daemons' own parts; clients, programs, operators, workers and the list of
// workers are the stand-ins; the checker names the rules that were broken in
// what they saw. Everything runs in virtual time and replays from its seed.

package simulate

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/node"
	parties "fordseam/internal/standin/platform"
	"fordseam/platform"
)

// TierShape is a deployment at some size.
type TierShape struct {
	Name string
	Site *parties.Site
	// Tolerate is how many machines with a disk may be lost at once.
	Tolerate int
	// Rate is how many times the site's usual load comes.
	Rate float64
}

// TierShapes are the sizes that the tier's days run at.
var TierShapes = map[string]func() TierShape{
	"small": func() TierShape {
		site := parties.Sites()["small"]
		site.Storage = 4 // one may be lost while another is replaced
		return TierShape{Name: "small", Site: site, Tolerate: 1, Rate: 1.5}
	},
	"kiondo": func() TierShape {
		return TierShape{Name: "kiondo", Site: parties.Sites()["kiondo"], Tolerate: 1, Rate: 0.4}
	},
	"grown": func() TierShape {
		site := parties.Sites()["kiondo"]
		site.Name, site.Zones = "grown", append(site.Zones, "mombasa-road")
		site.Edges, site.Cores, site.Storage = 12, 5, 9
		ms := time.Millisecond
		b := &site.Bounds
		b.Contact, b.Ack, b.CatchUp, b.Drain, b.Apply, b.Stretch, b.Recovery, b.Pass = 4000*ms, 5000*ms, 6000*ms, 4000*ms, 2500*ms, 6000*ms, 15000*ms, 200*ms
		site.Services[0].Workers, site.Services[0].Capacity, site.Services[1].Workers = 16, 16, 10
		return TierShape{Name: "grown", Site: site, Tolerate: 2, Rate: 0.35}
	},
}

// Tier is one run.
type Tier struct {
	*Fleet
	Plan      TierShape
	Site      *parties.Site
	record    *parties.Ledger
	words     *parties.Words
	drafts    *parties.Drafts
	list      *parties.Instances
	entry     *parties.Entry
	player    *parties.Player
	names     map[string]*Machine
	workers   []*tierWorker
	listening map[string]*tierWorker
	works     map[string]parties.Draw
	faults    map[string]*tierFaults // by worker or service
	conns     map[*workerConn]bool
	exchanges map[*exchange]bool
	config    tierConfig
	rng       *rand.Rand
	serial    int
	addresses int
	times     float64 // the load, for a while
	persist   time.Duration
	during    bool          // traffic goes on
	programs  int           // under way
	deeds     int           // troubles under way
	cost      time.Duration // of a message, on each machine
	wander    bool          // each connection of a client reaches another node
	dialing   time.Duration // most that a connection to a worker takes to come up
	diskBusy  bool          // a machine with a disk is lost or catches up
}

// tierFaults are what a worker does wrong for a while.
type tierFaults struct {
	share float64
	kinds []parties.Fault
}

// inOrder lists connections as they were made.
func (t *Tier) inOrder(conns map[*workerConn]bool) []*workerConn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *workerConn) int { return cmp.Compare(a.number, b.number) })
}

// way is how long a message takes between a client or an operator and a node.
func (t *Tier) way() time.Duration {
	return t.World.Between(800*time.Microsecond, 1500*time.Microsecond)
}

// NewTier lays a tier out and starts its machines and workers.
func NewTier(seed uint64, form TierShape, change func(t *Tier)) *Tier {
	site := form.Site
	f := layFleet(seed, Shape{Name: form.Name, Zones: len(site.Zones), ZoneNames: site.Zones, Edges: site.Edges, Cores: site.Cores, Storage: site.Storage,
		Tolerate: form.Tolerate, Found: true})
	t := &Tier{Fleet: f, Plan: form, Site: site, record: parties.NewLedger(site.Bounds, site.Stride(), site.Cores), entry: &parties.Entry{},
		words: site.DrawWords(rand.New(rand.NewPCG(seed, 2))), names: map[string]*Machine{}, listening: map[string]*tierWorker{}, works: map[string]parties.Draw{},
		faults: map[string]*tierFaults{}, conns: map[*workerConn]bool{}, exchanges: map[*exchange]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), times: 1}
	t.drafts = &parties.Drafts{Site: site, Words: t.words, Rng: rand.New(rand.NewPCG(seed, 3))}
	clock := f.Callers.Clock()
	t.list = &parties.Instances{Clock: clock, Ledger: t.record, Lag: site.Bounds.ListMaxLag / 2, PerS: site.ListPerS}
	t.player = parties.NewPlayer(clock, &tierClients{t}, t.record, site, t.words, seed)
	t.player.Persist = func() time.Duration { return t.persist }
	f.equip, f.begins = t.equip, t.begins
	f.Net.Resets, t.cost = true, 150*time.Microsecond
	if change != nil {
		change(t)
	}
	for _, m := range f.All() {
		t.begin(m)
	}
	for _, class := range site.Classes {
		t.works[t.words.Prefixes[class.Name]] = class.Work
	}
	for _, shape := range site.Services {
		for place := range shape.Workers {
			t.openWorker(shape, site.Zones[place%len(site.Zones)], "")
		}
	}
	return t
}

func (t *Tier) named(name string) *Machine { return t.names[name] }

// begin starts a machine's process, and asks an edge machine whether it is
// ready from then on.
func (t *Tier) begin(m *Machine) {
	known := t.names[m.Host.Name] != nil
	t.names[m.Host.Name] = m
	t.record.Note(func(r *parties.Record) {
		r.Starts = append(r.Starts, parties.Start{Machine: m.Host.Name, Class: m.Role, At: t.World.now})
	})
	t.Start(m)
	if m.Role == "edge" && !known {
		entered := &parties.EntryNode{Name: m.Host.Name, Zone: m.Host.Zone, Front: m.Host.Name}
		t.entry.Add(entered)
		t.Callers.Go(func() {
			for {
				up := m.Host.alive && !m.Host.frozen && !m.leaving && m.gateway != nil && m.gateway.Serves() == nil
				t.entry.Heard(entered, up)
				t.Callers.Clock().Sleep(time.Second)
			}
		})
	}
}

// equip gives a process what the platform's settings file would.
func (t *Tier) equip(m *Machine, env *node.Env, place *node.Place) {
	m.Host.Cost = t.cost
	b := t.Site.Bounds
	place.Bounds = &base.Bounds{Settings: b.Apply, Leave: b.Drain, Recover: b.Recovery, Retain: time.Minute}
	env.Names = &platform.Names
	env.Backends = &workerCalls{tier: t, host: m.Host, connect: base.DefaultBounds().Recover / 12, stocks: map[string]*workerStock{}}
}

func (t *Tier) begins(m *Machine) {
	switch {
	case m.gateway != nil:
		m.gateway.Table = platform.ReadTable
	case m.core != nil:
		m.core.Operate.Table = platform.ReadTable
		m.core.Lister = platform.Lister(t.readList(m))
	}
}

// readList is a core's way to the platform's list.
func (t *Tier) readList(m *Machine) platform.ListPage {
	return func(token string, _ time.Duration) (int, []byte, error) {
		m.Host.Clock().Sleep(t.way())
		status, body := t.list.Get("", token)
		m.Host.Clock().Sleep(t.way())
		return status, body, nil
	}
}

// openWorker starts one life of a worker, at an address of its own unless one
// is given, and puts it on the list.
func (t *Tier) openWorker(shape parties.ServiceShape, zone, address string) *tierWorker {
	id := fmt.Sprintf("i-%08x", uint32(t.rng.Uint32()))
	if address == "" {
		t.addresses++
		address = fmt.Sprintf("worker-%d:1", t.addresses)
	}
	host := t.World.NewHost(id, zone)
	rng := rand.New(rand.NewPCG(t.World.Seed, base.Hash64(id)))
	service := t.words.Services[shape.Name]
	s := &tierWorker{host: host, conns: map[*workerConn]bool{}}
	s.Worker = &parties.Worker{ID: id, Service: service, Zone: zone, Address: address, Clock: host.Clock(), Ledger: t.record, Shape: shape, KeepIdle: 5 * time.Second,
		Speed: []float64{1, 1, 1.3}[t.rng.IntN(3)], Draws: rand.New(rand.NewPCG(t.World.Seed, base.Hash64(id, "own"))), Next: func() parties.Fault { return t.fault(id, service) },
		Work: func(target string) (time.Duration, int) {
			work := parties.Draw{Mean: 50, Spread: 1, Most: 200}
			for _, prefix := range base.SortedKeys(t.works) {
				if one := t.works[prefix]; strings.HasPrefix(target, prefix) && one.Mean > 0 {
					work = one
				}
			}
			return time.Duration(work.Value(rng) * float64(time.Millisecond)), 800
		}}
	s.Start()
	t.listening[address] = s
	t.workers = append(t.workers, s)
	one := t.instance(s, parties.StateReady)
	t.list.Change(id, &one, 0)
	return s
}

func (t *Tier) instance(s *tierWorker, state string) parties.Instance {
	one := parties.Instance{ID: s.ID, Service: s.Service, Address: s.Address, Zone: s.Zone, Generation: "v1", Capacity: s.Shape.Capacity, State: state}
	if s.Shape.Engine != nil {
		one.Model = t.words.Model
	}
	return one
}

func (t *Tier) fault(id, service string) parties.Fault {
	for _, name := range []string{id, service} {
		if f := t.faults[name]; f != nil && t.rng.Float64() < f.share {
			return f.kinds[t.rng.IntN(len(f.kinds))]
		}
	}
	return parties.Fine
}

// tierConfig is the operators' view of the configuration.
type tierConfig struct {
	operator *parties.Operator
	newest   *parties.Order
	added    []parties.Route
	dropped  []parties.Route
	busy     bool // one change at a time
}

func (c *tierConfig) took(order *parties.Order) {
	if c.newest != nil {
		c.added, c.dropped = nil, nil
		for _, r := range order.Config.Routes {
			if was := c.newest.Config.Match(r.Host, r.Prefix); was == nil || was.Prefix != r.Prefix {
				c.added = append(c.added, r)
			}
		}
		for _, r := range c.newest.Config.Routes {
			if order.Config.Match(r.Host, r.Prefix) == nil {
				c.dropped = append(c.dropped, r)
			}
		}
	}
	c.newest = order
}

func (t *Tier) operator(name string) *parties.Operator {
	return &parties.Operator{Name: name, Clock: t.Callers.Clock(), Ledger: t.record, Call: t.control, Rng: rand.New(rand.NewPCG(t.World.Seed, base.Hash64(name))),
		Control: func() []string {
			return base.Map(base.Filter(t.Cores, func(m *Machine) bool { return !m.gone }), func(m *Machine) string { return m.Host.Name })
		}}
}

// alone has one change of the configuration at a time.
func (t *Tier) alone(step func()) {
	for t.config.busy {
		t.Callers.Clock().Sleep(20 * time.Millisecond)
	}
	t.config.busy = true
	step()
	t.config.busy = false
}

// change sends one valid configuration on top of the newest.
func (t *Tier) change() (order *parties.Order) {
	t.alone(func() {
		newest := t.config.newest.Config
		next := t.drafts.Next(newest)
		order = t.config.operator.Put(newest.Generation, next, next.Encode(), "", 30*time.Second)
		if order.Acked() {
			t.config.took(order)
		}
	})
	return order
}

// race has two operators build on the same version at once.
func (t *Tier) race() {
	t.alone(func() {
		newest := t.config.newest.Config
		drafts := []*parties.Config{t.drafts.Next(newest), t.drafts.Next(newest)}
		if drafts[0].Generation == drafts[1].Generation {
			drafts[1].Generation++
		}
		orders := make([]*parties.Order, len(drafts))
		t.together(len(drafts), func(place int) {
			operator := t.operator(fmt.Sprintf("racer-%d-%d", place, drafts[place].Generation))
			orders[place] = operator.Put(newest.Generation, drafts[place], drafts[place].Encode(), "", 30*time.Second)
		})
		for _, order := range orders {
			if order.Acked() {
				t.config.took(order)
			}
		}
	})
}

func (t *Tier) badConfigs(gap time.Duration) {
	for _, kind := range parties.InvalidKinds {
		t.alone(func() {
			newest := t.config.newest.Config
			config, raw, fault := t.drafts.Invalid(newest, kind)
			if order := t.config.operator.Put(newest.Generation, config, raw, fault, 10*time.Second); order.Acked() && config != nil {
				t.config.took(order)
			}
		})
		t.Callers.Clock().Sleep(gap)
	}
}

// together runs steps at once and waits for all.
func (t *Tier) together(count int, step func(place int)) {
	left := count
	bell := base.NewBell(t.Callers.Clock())
	for place := range count {
		t.Callers.Go(func() {
			step(place)
			left--
			bell.Ring()
		})
	}
	for left > 0 {
		bell.Next().Wait(-1)
	}
}

// traffic begins programs in every zone until its time is over.
func (t *Tier) traffic(end time.Duration) {
	t.during = true
	clock := t.Callers.Clock()
	for place := range t.Site.Classes {
		class := &t.Site.Classes[place]
		if class.PerS == 0 {
			continue
		}
		for number, zone := range t.Site.Zones {
			rng := rand.New(rand.NewPCG(t.World.Seed+uint64(t.World.now), uint64(100+100*place+number)))
			t.programs++
			t.Callers.Go(func() {
				defer func() { t.programs-- }()
				for {
					clock.Sleep(time.Duration(rng.ExpFloat64() / (class.PerS * t.Plan.Rate * t.times) * float64(time.Second)))
					if clock.Now() >= end {
						return
					}
					t.program(class, zone, rng.IntN(t.Site.Clients), end, "")
				}
			})
		}
	}
	t.programs++
	t.Callers.Go(func() {
		defer func() { t.programs-- }()
		for clock.Now() < end {
			t.probe()
			clock.Sleep(500 * time.Millisecond)
		}
	})
	clock.Sleep(end - clock.Now())
	t.during = false
}

// program starts one program; one that ought to end too late does not begin.
func (t *Tier) program(class *parties.Class, zone string, client int, end time.Duration, previous string) {
	var plan *parties.ProgramPlan
	t.player.Draw(func(g *parties.Generator) { plan = g.Program(class, zone, client) })
	if t.World.now+plan.Aim > end+t.Site.Bounds.Finish {
		return
	}
	t.programs++
	t.Callers.Go(func() {
		t.player.Program(plan, previous)
		t.programs--
	})
}

// probe asks every node that is in directly, on routes that were just added or
// removed and on one that never was.
func (t *Tier) probe() {
	routes := append(slices.Clone(t.config.added), t.config.dropped...)
	routes = append(routes, parties.Route{Host: "never.example", Prefix: fmt.Sprintf("/never%d/", t.rng.IntN(1000)), Kind: parties.Idempotent})
	for _, in := range t.entry.In() {
		route := routes[t.rng.IntN(len(routes))]
		if route.Kind != parties.Idempotent {
			continue
		}
		class := &parties.Class{Name: "probe", Kind: parties.Idempotent, Method: "GET", Aim: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond}
		t.programs++
		t.Callers.Go(func() {
			t.player.Request(class, 0, func(try *parties.Try) {
				try.Probe, try.Node, try.Host, try.Target, try.Client = true, parties.Probe(in), route.Host, route.Prefix+"probe", "probe"
			})
			t.programs--
		})
	}
}

// form waits until the tier has taken its first configuration and all gateways
// are ready.
func (t *Tier) form() bool {
	t.config.operator = t.operator("first")
	first := t.drafts.First()
	order := t.config.operator.Put(0, first, first.Encode(), "", 20*time.Second)
	if !order.Acked() {
		return false
	}
	t.config.took(order)
	for end := t.World.now + 20*time.Second; t.entry.Ready() < len(t.Edges); {
		if t.World.now > end {
			return false
		}
		t.Callers.Clock().Sleep(50 * time.Millisecond)
	}
	return true
}

// TierDay is a day with its troubles, named after them.
type TierDay struct {
	Name string
	// Fit changes the deployment that the day is played on.
	Fit func(site *parties.Site)
	// Deeds bring the day's troubles about while traffic goes on.
	Deeds []func(t *Tier)
	// Closing, when set, is the fault that ends the day.
	Closing func(t *Tier)
	// Traffic is how long clients come, tierTraffic unless set.
	Traffic time.Duration
}

const tierTraffic = 12 * time.Second

// Run plays the day with a seed.
func (d *TierDay) Run(seed uint64, form TierShape) *Outcome { return d.RunWith(seed, form, nil) }

// RunWith lets a test change the tier before it starts.
func (d *TierDay) RunWith(seed uint64, form TierShape, change func(t *Tier)) *Outcome {
	if d.Fit != nil {
		d.Fit(form.Site)
	}
	t := NewTier(seed, form, change)
	defer t.World.Close()
	over := false
	t.Callers.Go(func() {
		d.play(t)
		over = true
	})
	out := &Outcome{Scenario: d.Name, Tier: true, Shape: form.Name, Seed: seed}
	if !t.World.Run(4*time.Minute, func() bool { return over }) {
		out.Breaches = append(out.Breaches, "FAULT: the day does not end")
	}
	t.list.Settle()
	t.record.Note(func(r *parties.Record) { r.Over = t.World.now })
	record := t.record.Record()
	out.VirtualS, out.Counts = t.World.now.Seconds(), countsOf(record)
	for _, try := range record.Tries {
		if try.Retain > 0 && try.OK() {
			out.Turns = append(out.Turns, try.Ended-try.Sent)
		}
	}
	for _, m := range t.All() {
		if m.Broken != nil {
			out.Breaches = append(out.Breaches, fmt.Sprintf("FAULT: %s does not open: %v", m.Host.Name, m.Broken))
		}
	}
	if t.config.newest == nil || t.entry.Ready() == 0 && out.Counts["served"] == 0 {
		out.Breaches = append(out.Breaches, "FAULT: the tier did not form")
		return out
	}
	if 2*out.Counts["served"] < out.Counts["tries"] {
		out.Breaches = append(out.Breaches, fmt.Sprintf("FAULT: %d of %d tries were served", out.Counts["served"], out.Counts["tries"]))
	}
	for _, breach := range record.Check() {
		out.Breaches = append(out.Breaches, breach.String())
	}
	return out
}

func (d *TierDay) play(t *Tier) {
	if !t.form() {
		return
	}
	span := d.Traffic
	if span == 0 {
		span = tierTraffic
	}
	end := t.World.now + span
	for _, deed := range d.Deeds {
		t.deeds++
		t.Callers.Go(func() {
			deed(t)
			t.deeds--
		})
	}
	t.traffic(end)
	t.until(time.Minute, func() bool { return t.deeds == 0 })
	if d.Closing != nil {
		t.closing(d.Closing)
	}
	t.until(2*time.Minute, func() bool { return t.programs == 0 && t.deeds == 0 })
	t.config.operator.ReadBack(t.Site.Bounds.Contact, t.Site.Bounds.Contact+20*time.Second)
}

// until waits for a condition within a bound.
func (t *Tier) until(limit time.Duration, met func() bool) {
	for end := t.World.now + limit; !met() && t.World.now < end; {
		t.Callers.Clock().Sleep(20 * time.Millisecond)
	}
}

// closing brings the fault at the end of a day about, right after a
// configuration was acknowledged, and has programs continue from before it.
func (t *Tier) closing(fault func(t *Tier)) {
	t.change()
	before := t.endedTurns()
	closing := &parties.Closing{From: t.World.now, Back: 1 << 59}
	t.record.Note(func(r *parties.Record) { r.Closing = closing })
	fault(t)
	closing.Back = t.World.now
	t.persist = closing.Back + t.Site.Bounds.Recovery
	end := t.persist + 6*time.Second
	for _, turn := range before {
		t.program(t.Site.Class(turn.Class), turn.Zone, t.rng.IntN(t.Site.Clients), end, turn.ID)
	}
	t.traffic(end)
}

// endedTurns gives some turns that were answered whole and are still kept.
func (t *Tier) endedTurns() (turns []*parties.Try) {
	last := map[string]*parties.Try{}
	record := t.record.Record()
	for _, try := range record.Tries {
		if try.Retain > 0 && try.OK() && t.World.now-try.Ended < try.Retain/2 {
			last[try.Program] = try
		}
	}
	for _, program := range base.SortedKeys(last) {
		if turns = append(turns, last[program]); len(turns) >= 8 {
			break
		}
	}
	return turns
}

func countsOf(r *parties.Record) map[string]int {
	counts := map[string]int{"tries": len(r.Tries), "arrivals": len(r.Arrivals), "orders": len(r.Orders)}
	for _, try := range r.Tries {
		switch {
		case try.Probe:
			counts["tries"]--
		case try.OK():
			counts["served"]++
			if try.Retain > 0 {
				counts["turns_whole"]++
			}
		case try.Status != 0:
			counts[fmt.Sprintf("status_%d", try.Status)]++
		default:
			counts["unanswered"]++
		}
	}
	for _, o := range r.Outcomes {
		counts["programs "+string(o.Ending)]++
	}
	return counts
}
