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
	FaultTolerance int
	// Rate is how many times the site's usual load comes.
	LoadFactor float64
}

// TierShapes are the sizes that the tier's days run at.
var TierShapes = map[string]func() TierShape{
	"small": func() TierShape {
		site := parties.Sites()["small"]
		site.Storage = 4 // one may be lost while another is replaced
		return TierShape{Name: "small", Site: site, FaultTolerance: 1, LoadFactor: 1.5}
	},
	"kiondo": func() TierShape {
		return TierShape{Name: "kiondo", Site: parties.Sites()["kiondo"], FaultTolerance: 1, LoadFactor: 0.4}
	},
	"grown": grownShape,
	"roaming": func() TierShape {
		site := parties.Sites()["small"]
		site.Storage = 4
		return TierShape{Name: "roaming", Site: roaming(site), FaultTolerance: 1, LoadFactor: 1.5}
	},
	"roaming-grown": func() TierShape {
		form := grownShape()
		form.Name, form.Site = "roaming-grown", roaming(form.Site)
		form.Site.Edges = 16
		return form
	},
	"paycentre": func() TierShape {
		form := grownShape()
		form.Name, form.Site.Name = "paycentre", "paycentre"
		form.Site.Edges, form.Site.Cores = 24, 8
		return form
	},
}

// roaming has the short chats' whole prompt come with each turn, so that none is
// kept, and their streams continued where they break off; many programs run away.
func roaming(site *parties.Site) *parties.Site {
	site.Name = "roaming"
	short := &site.Classes[0]
	short.Spending, short.Retain, short.Resumable, short.Runaway = short.Retain, 0, true, 0.06
	short.MaxTries = 3
	return site
}

// grownShape has as many machines with disks as bear the loss of two.
func grownShape() TierShape {
	site := parties.Sites()["kiondo"]
	site.Name, site.Zones = "grown", append(site.Zones, "mombasa-road")
	site.Edges, site.Cores, site.Storage = 12, 5, 9
	ms := time.Millisecond
	b := &site.Bounds
	b.Contact, b.Ack, b.CatchUp, b.Drain, b.Apply, b.Stretch, b.Recovery, b.Pass = 4000*ms, 5000*ms, 6000*ms, 4000*ms, 2500*ms, 6000*ms, 15000*ms, 200*ms
	site.Services[0].Workers, site.Services[0].Capacity, site.Services[1].Workers = 16, 16, 10
	return TierShape{Name: "grown", Site: site, FaultTolerance: 2, LoadFactor: 0.35}
}

// Tier is one run.
type Tier struct {
	*Fleet
	TierShape TierShape
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
	f := buildFleet(seed, Shape{Name: form.Name, Zones: len(site.Zones), ZoneNames: site.Zones, Gateways: site.Edges, Cores: site.Cores, Storage: site.Storage,
		FaultTolerance: form.FaultTolerance, Bootstrap: true})
	t := &Tier{Fleet: f, TierShape: form, Site: site, record: parties.NewLedger(site.Bounds, site.Stride(), site.Cores), entry: &parties.Entry{},
		words: site.DrawWords(rand.New(rand.NewPCG(seed, 2))), names: map[string]*Machine{}, listening: map[string]*tierWorker{}, works: map[string]parties.Draw{},
		faults: map[string]*tierFaults{}, conns: map[*workerConn]bool{}, exchanges: map[*exchange]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), times: 1}
	t.drafts = &parties.Drafts{Site: site, Words: t.words, Rng: rand.New(rand.NewPCG(seed, 3))}
	clock := f.CallerHost.Clock()
	t.list = &parties.Instances{Clock: clock, Ledger: t.record, Lag: site.Bounds.ListMaxLag / 2, PerS: site.ListPerS}
	t.player = parties.NewPlayer(clock, &tierClients{t}, t.record, site, t.words, seed)
	t.player.Persist = func() time.Duration { return t.persist }
	f.configure, f.onBuilt = t.equip, t.begins
	f.Net.ResetOnExit, t.cost = true, 150*time.Microsecond
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
		t.CallerHost.Go(func() {
			for {
				up := m.Host.alive && !m.Host.frozen && !m.stopRequested && m.gateway != nil && m.gateway.RoutesReady() == nil
				t.entry.Heard(entered, up)
				t.CallerHost.Clock().Sleep(time.Second)
			}
		})
	}
}

// equip gives a process what the platform's settings file would.
func (t *Tier) equip(m *Machine, env *node.Env, place *node.Config) {
	m.Host.MessageCost = t.cost
	b := t.Site.Bounds
	place.Bounds = &base.Bounds{SettingsApply: b.Apply, Drain: b.Drain, Recovery: b.Recovery, Retention: time.Minute}
	env.Names = &platform.Names
	env.Backends = &workerCalls{tier: t, host: m.Host, connect: base.DefaultBounds().Recovery / 12, stocks: map[string]*workerStock{}}
}

func (t *Tier) begins(m *Machine) {
	switch {
	case m.gateway != nil:
		m.gateway.ParseRoutes = platform.ReadTable
	case m.core != nil:
		m.core.OperatorAPI.ParseRoutes = platform.ReadTable
		m.core.Lister = platform.NewLister(t.readList(m))
	}
}

// readList is a core's way to the platform's list.
func (t *Tier) readList(m *Machine) platform.FetchPage {
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

// traffic begins programs in every zone until its time is over.
func (t *Tier) traffic(end time.Duration) {
	t.during = true
	clock := t.CallerHost.Clock()
	for place := range t.Site.Classes {
		class := &t.Site.Classes[place]
		if class.PerS == 0 {
			continue
		}
		for number, zone := range t.Site.Zones {
			rng := rand.New(rand.NewPCG(t.World.Seed+uint64(t.World.now), uint64(100+100*place+number)))
			t.programs++
			t.CallerHost.Go(func() {
				defer func() { t.programs-- }()
				for {
					clock.Sleep(time.Duration(rng.ExpFloat64() / (class.PerS * t.TierShape.LoadFactor * t.times) * float64(time.Second)))
					if clock.Now() >= end {
						return
					}
					t.program(class, zone, rng.IntN(t.Site.Clients), end, "")
				}
			})
		}
	}
	t.programs++
	t.CallerHost.Go(func() {
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
	t.CallerHost.Go(func() {
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
		t.CallerHost.Go(func() {
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
	for end := t.World.now + 20*time.Second; t.entry.Ready() < len(t.Gateways); {
		if t.World.now > end {
			return false
		}
		t.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
	return true
}
