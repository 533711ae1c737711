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

// TierShape describes a deployment of the tier at some size.
type TierShape struct {
	Name string
	Site *parties.Deployment
	// FaultTolerance is how many storage machines may be lost at once.
	FaultTolerance int
	// LoadFactor multiplies the site's usual request rates.
	LoadFactor float64
}

// TierShapes are the shapes that the tier's scenarios can run at, by name.
var TierShapes = map[string]func() TierShape{
	"small": func() TierShape {
		site := parties.Deployments()["small"]
		site.Storage = 4 // one machine may be lost while another is replaced
		return TierShape{Name: "small", Site: site, FaultTolerance: 1, LoadFactor: 1.5}
	},
	"kiondo": func() TierShape {
		return TierShape{Name: "kiondo", Site: parties.Deployments()["kiondo"], FaultTolerance: 1, LoadFactor: 0.4}
	},
	"grown": grownShape,
	"roaming": func() TierShape {
		site := parties.Deployments()["small"]
		site.Storage = 4
		return TierShape{Name: "roaming", Site: withUnkeptTurns(site), FaultTolerance: 1, LoadFactor: 1.5}
	},
	"roaming-grown": func() TierShape {
		shape := grownShape()
		shape.Name, shape.Site = "roaming-grown", withUnkeptTurns(shape.Site)
		shape.Site.Edges = 16
		return shape
	},
	"paycentre": func() TierShape {
		shape := grownShape()
		shape.Name, shape.Site.Name = "paycentre", "paycentre"
		shape.Site.Edges, shape.Site.Cores = 24, 8
		return shape
	},
}

// withUnkeptTurns changes a site so that short chats send the whole prompt with each
// turn, no turn of theirs is kept, interrupted streams are resumed, and many programs
// try to exceed their budget.
func withUnkeptTurns(site *parties.Deployment) *parties.Deployment {
	site.Name = "roaming"
	short := &site.Classes[0]
	short.SpendRetention, short.Retain, short.Resumable, short.RunawayProbability = short.Retain, 0, true, 0.06
	short.MaxTries = 3
	return site
}

// grownShape has enough storage machines to tolerate the loss of two.
func grownShape() TierShape {
	site := parties.Deployments()["kiondo"]
	site.Name, site.Zones = "grown", append(site.Zones, "mombasa-road")
	site.Edges, site.Cores, site.Storage = 12, 5, 9
	ms := time.Millisecond
	b := &site.Bounds
	b.Contact, b.Ack, b.CatchUp, b.Drain, b.Apply, b.Stretch, b.Recovery, b.Pass = 4000*ms, 5000*ms, 6000*ms, 4000*ms, 2500*ms, 6000*ms, 15000*ms, 200*ms
	site.Services[0].Workers, site.Services[0].Capacity, site.Services[1].Workers = 16, 16, 10
	return TierShape{Name: "grown", Site: site, FaultTolerance: 2, LoadFactor: 0.35}
}

// Tier is one run of a fleet that serves an operator's routes on the platform. The
// gateways, cores and storage machines are the daemons' own code. Clients, programs,
// operators, workers and the workers' list are stand-ins that record what they see,
// and the checker looks for violated rules in the record.
type Tier struct {
	*Fleet
	TierShape          TierShape
	Site               *parties.Deployment
	recorder           *parties.Recorder
	words              *parties.Names
	drafts             *parties.ConfigGenerator
	instances          *parties.Instances
	entryPoint         *parties.LoadBalancer
	programRunner      *parties.ProgramRunner
	machinesByName     map[string]*Machine
	workers            []*tierWorker
	workersByAddress   map[string]*tierWorker
	workDistributions  map[string]parties.Distribution
	workerFaults       map[string]*workerFaultRate // by worker id or service
	conns              map[*workerConn]bool
	clientExchanges    map[*clientExchange]bool
	config             tierConfig
	rng                *rand.Rand
	lastNumber         int
	addressCount       int
	loadMultiplier     float64       // raised temporarily by a load burst
	retryUntil         time.Duration // programs that continue from before the final fault retry until then
	trafficRunning     bool
	openPrograms       int
	runningFaults      int
	messageCost        time.Duration // processor time per message on each machine
	rotateGateways     bool          // each request of a client goes to another gateway
	maxDialTime        time.Duration // the longest time that a connection to a worker takes
	storageFaultActive bool          // a storage machine is lost or catching up
}

// workerFaultRate is the probability with which a worker's request meets one of some
// faults.
type workerFaultRate struct {
	probability float64
	kinds       []parties.Fault
}

// sortedConns lists connections in the order they were opened.
func (t *Tier) sortedConns(conns map[*workerConn]bool) []*workerConn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *workerConn) int { return cmp.Compare(a.number, b.number) })
}

// clientDelay draws the delay of a message between a client or an operator and a node.
func (t *Tier) clientDelay() time.Duration {
	return t.World.Between(800*time.Microsecond, 1500*time.Microsecond)
}

// NewTier builds a tier and starts its machines and workers; prepare may adjust it
// before they start.
func NewTier(seed uint64, shape TierShape, prepare func(t *Tier)) *Tier {
	site := shape.Site
	f := buildFleet(seed, Shape{Name: shape.Name, Zones: len(site.Zones), ZoneNames: site.Zones, Gateways: site.Edges, Cores: site.Cores, Storage: site.Storage,
		FaultTolerance: shape.FaultTolerance, Bootstrap: true})
	t := &Tier{Fleet: f, TierShape: shape, Site: site, recorder: parties.NewRecorder(site.Bounds, site.TokensPerEvent(), site.Cores), entryPoint: &parties.LoadBalancer{},
		words: site.DrawNames(rand.New(rand.NewPCG(seed, 2))), machinesByName: map[string]*Machine{}, workersByAddress: map[string]*tierWorker{}, workDistributions: map[string]parties.Distribution{},
		workerFaults: map[string]*workerFaultRate{}, conns: map[*workerConn]bool{}, clientExchanges: map[*clientExchange]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), loadMultiplier: 1}
	t.drafts = &parties.ConfigGenerator{Deployment: site, Names: t.words, Rng: rand.New(rand.NewPCG(seed, 3))}
	clock := f.CallerHost.Clock()
	t.instances = &parties.Instances{Clock: clock, Recorder: t.recorder, Lag: site.Bounds.ListMaxLag / 2, CallsPerSecond: site.ListCallsPerSecond}
	t.programRunner = parties.NewProgramRunner(clock, &tierClients{t}, t.recorder, site, t.words, seed)
	t.programRunner.RetryUntil = func() time.Duration { return t.retryUntil }
	f.configure, f.onBuilt = t.configureMachine, t.machineBuilt
	f.Net.ResetOnExit, t.messageCost = true, 150*time.Microsecond
	if prepare != nil {
		prepare(t)
	}
	for _, m := range f.All() {
		t.startMachine(m)
	}
	for _, class := range site.Classes {
		t.workDistributions[t.words.Prefixes[class.Name]] = class.WorkMs
	}
	for _, serviceShape := range site.Services {
		for index := range serviceShape.Workers {
			t.startWorker(serviceShape, site.Zones[index%len(site.Zones)], "")
		}
	}
	return t
}

func (t *Tier) machineNamed(name string) *Machine { return t.machinesByName[name] }

// startMachine starts a machine's process. From a gateway's first start on, its
// readiness is checked once per second.
func (t *Tier) startMachine(m *Machine) {
	restarted := t.machinesByName[m.Host.Name] != nil
	t.machinesByName[m.Host.Name] = m
	t.recorder.Update(func(r *parties.Record) {
		r.Starts = append(r.Starts, parties.Start{Machine: m.Host.Name, Class: m.Role, At: t.World.now})
	})
	t.Start(m)
	if m.Role == "edge" && !restarted {
		entry := &parties.EdgeNode{Name: m.Host.Name, Zone: m.Host.Zone, Front: m.Host.Name}
		t.entryPoint.Add(entry)
		t.CallerHost.Go(func() {
			for {
				ready := m.Host.alive && !m.Host.frozen && !m.stopRequested && m.gateway != nil && m.gateway.RoutesReady() == nil
				t.entryPoint.RecordProbe(entry, ready)
				t.CallerHost.Clock().Sleep(time.Second)
			}
		})
	}
}

// configureMachine sets what the platform's settings file would set for a process.
func (t *Tier) configureMachine(m *Machine, env *node.Env, config *node.Config) {
	m.Host.MessageCost = t.messageCost
	b := t.Site.Bounds
	config.Bounds = &base.Bounds{SettingsApply: b.Apply, Drain: b.Drain, Recovery: b.Recovery, Retention: time.Minute}
	env.Names = &platform.Names
	env.Backends = &workerTransport{tier: t, host: m.Host, connectTimeout: base.DefaultBounds().Recovery / 12, pools: map[string]*workerPool{}}
}

// machineBuilt configures a process that was built, before it starts.
func (t *Tier) machineBuilt(m *Machine) {
	switch {
	case m.gateway != nil:
		m.gateway.ParseRoutes = platform.ReadTable
	case m.core != nil:
		m.core.OperatorAPI.ParseRoutes = platform.ReadTable
		m.core.Lister = platform.NewLister(t.listReader(m))
	}
}

// listReader returns the function by which a core reads the platform's list of workers.
func (t *Tier) listReader(m *Machine) platform.FetchPage {
	return func(token string, _ time.Duration) (int, []byte, error) {
		m.Host.Clock().Sleep(t.clientDelay())
		status, body := t.instances.FetchPage("", token)
		m.Host.Clock().Sleep(t.clientDelay())
		return status, body, nil
	}
}

// startWorker starts a worker, at a new address unless one is given, and adds it to the
// list.
func (t *Tier) startWorker(shape parties.ServiceSpec, zone, address string) *tierWorker {
	id := fmt.Sprintf("i-%08x", uint32(t.rng.Uint32()))
	if address == "" {
		t.addressCount++
		address = fmt.Sprintf("worker-%d:1", t.addressCount)
	}
	host := t.World.NewHost(id, zone)
	rng := rand.New(rand.NewPCG(t.World.Seed, base.Hash64(id)))
	service := t.words.Services[shape.Name]
	w := &tierWorker{host: host, conns: map[*workerConn]bool{}}
	w.Worker = &parties.Worker{ID: id, Service: service, Zone: zone, Address: address, Clock: host.Clock(), Recorder: t.recorder, Spec: shape, KeepAlive: 5 * time.Second,
		Slowdown: []float64{1, 1, 1.3}[t.rng.IntN(3)], Rng: rand.New(rand.NewPCG(t.World.Seed, base.Hash64(id, "own"))), NextFault: func() parties.Fault { return t.drawFault(id, service) },
		Workload: func(target string) (time.Duration, int) {
			work := parties.Distribution{Mean: 50, Spread: 1, Max: 200}
			for _, prefix := range base.SortedKeys(t.workDistributions) {
				if draw := t.workDistributions[prefix]; strings.HasPrefix(target, prefix) && draw.Mean > 0 {
					work = draw
				}
			}
			return time.Duration(work.Sample(rng) * float64(time.Millisecond)), 800
		}}
	w.Start()
	t.workersByAddress[address] = w
	t.workers = append(t.workers, w)
	entry := t.instanceEntry(w, parties.StateReady)
	t.instances.ScheduleChange(id, &entry, 0)
	return w
}

// instanceEntry returns the entry of a worker in the platform's list.
func (t *Tier) instanceEntry(w *tierWorker, state string) parties.Instance {
	entry := parties.Instance{ID: w.ID, Service: w.Service, Address: w.Address, Zone: w.Zone, Generation: "v1", Capacity: w.Spec.Capacity, State: state}
	if w.Spec.Engine != nil {
		entry.Model = t.words.Model
	}
	return entry
}

// drawFault draws the fault of a worker's next request from the rates of the worker and
// its service.
func (t *Tier) drawFault(id, service string) parties.Fault {
	for _, name := range []string{id, service} {
		if rate := t.workerFaults[name]; rate != nil && t.rng.Float64() < rate.probability {
			return rate.kinds[t.rng.IntN(len(rate.kinds))]
		}
	}
	return parties.NoFault
}

// runTraffic starts programs of every class in every zone, and probes, until a time.
func (t *Tier) runTraffic(end time.Duration) {
	t.trafficRunning = true
	clock := t.CallerHost.Clock()
	for index := range t.Site.Classes {
		class := &t.Site.Classes[index]
		if class.ProgramsPerSecond == 0 {
			continue
		}
		for number, zone := range t.Site.Zones {
			rng := rand.New(rand.NewPCG(t.World.Seed+uint64(t.World.now), uint64(100+100*index+number)))
			t.openPrograms++
			t.CallerHost.Go(func() {
				defer func() { t.openPrograms-- }()
				for {
					clock.Sleep(time.Duration(rng.ExpFloat64() / (class.ProgramsPerSecond * t.TierShape.LoadFactor * t.loadMultiplier) * float64(time.Second)))
					if clock.Now() >= end {
						return
					}
					t.startProgram(class, zone, rng.IntN(t.Site.ClientsPerZone), end, "")
				}
			})
		}
	}
	t.openPrograms++
	t.CallerHost.Go(func() {
		defer func() { t.openPrograms-- }()
		for clock.Now() < end {
			t.probeGateways()
			clock.Sleep(500 * time.Millisecond)
		}
	})
	clock.Sleep(end - clock.Now())
	t.trafficRunning = false
}

// startProgram starts one program, unless it is expected to end too late.
func (t *Tier) startProgram(class *parties.RequestClass, zone string, client int, end time.Duration, previous string) {
	var plan *parties.ProgramPlan
	t.programRunner.WithGenerator(func(g *parties.ProgramGenerator) { plan = g.Program(class, zone, client) })
	if t.World.now+plan.TargetTime > end+t.Site.Bounds.Finish {
		return
	}
	t.openPrograms++
	t.CallerHost.Go(func() {
		t.programRunner.RunProgram(plan, previous)
		t.openPrograms--
	})
}

// probeGateways sends a request directly to each gateway that takes clients, on a route
// that was just added, was just removed, or never existed.
func (t *Tier) probeGateways() {
	routes := append(slices.Clone(t.config.addedRoutes), t.config.removedRoutes...)
	routes = append(routes, parties.Route{Host: "never.example", Prefix: fmt.Sprintf("/never%d/", t.rng.IntN(1000)), Kind: parties.Idempotent})
	for _, node := range t.entryPoint.ReadyNodes() {
		route := routes[t.rng.IntN(len(routes))]
		if route.Kind != parties.Idempotent {
			continue
		}
		class := &parties.RequestClass{Name: "probe", Kind: parties.Idempotent, Method: "GET", TargetLatency: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond}
		t.openPrograms++
		t.CallerHost.Go(func() {
			t.programRunner.SendWithRetries(class, 0, func(try *parties.Try) {
				try.Probe, try.Node, try.Host, try.Target, try.Client = true, parties.ProbeTarget(node), route.Host, route.Prefix+"probe", "probe"
			})
			t.openPrograms--
		})
	}
}

// applyFirstConfig sends the first configuration and waits until all gateways are
// ready. It returns false when the configuration is not acknowledged or a gateway is
// not ready after 20 s.
func (t *Tier) applyFirstConfig() bool {
	t.config.operator = t.newOperator("first")
	first := t.drafts.Initial()
	order := t.config.operator.PutConfig(0, first, first.Encode(), "", 20*time.Second)
	if !order.Acked() {
		return false
	}
	t.config.recordAcked(order)
	for end := t.World.now + 20*time.Second; t.entryPoint.CountReady() < len(t.Gateways); {
		if t.World.now > end {
			return false
		}
		t.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
	return true
}
