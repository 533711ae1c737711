// A fleet in virtual time: gateways, cores and storage machines built from
// the same parts as the daemons, with stand-in workers behind them.

package simulate

import (
	"encoding/json"
	"fmt"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/front"
	"fordseam/internal/node"
	"fordseam/internal/standin"
	"fordseam/internal/worker"
)

type listedWorker = worker.Worker

// Machine is one simulated process with its machine.
type Machine struct {
	Host         *Host
	Role         string
	Disk         *Disk
	gateway      *node.Gateway
	core         *node.Core
	storage      *node.Storage
	Counters     *base.Counters
	StorageErr   error
	openRequests int
	stopping     bool
	// removed machines never come back.
	removed bool
	// startedBefore machines have had a life already.
	startedBefore bool
	// stopRequested machines were told to stop.
	stopRequested bool
}

// Fleet is all machines.
type Fleet struct {
	World      *World
	Net        *Net
	Shape      Shape
	Gateways   []*Machine
	Cores      []*Machine
	Storage    []*Machine
	Models     []*standin.Model
	Tools      []*standin.Tool
	CallerHost *Host
	modelsByID map[string]*standin.Model
	toolsByID  map[string]*standin.Tool
	WorkerList worker.List
	Tally      *standin.Tally
	// Seeds, when set, are every machine's; Pinned is the cluster in their places.
	SeedAddrs      []string
	ClusterID      string
	reportedStates map[string]reportedState
	reportCount    int64
	// pendingFaults counts failures whose end is still to come.
	pendingFaults int
	// lost, set by tests only, takes mechanisms away that lie outside the wire.
	disabled mechanisms
	// equip, when set, changes what a process is given; begins sees it built, before it starts.
	configure func(m *Machine, env *node.Env, place *node.Config)
	onBuilt   func(m *Machine)
}

// expectedID is the id that a worker is told to have, match the id that an answer
// must carry back, proof the proof that a request has not run, stays the last
// pollInForce at the list before a request leaves.
type mechanisms struct{ gracefulStop, seeds, endMarker, expectedID, answerID, notRunProof, finalListCheck bool }

// NewFleet builds and starts a fleet.
func NewFleet(seed uint64, shape Shape) *Fleet {
	f := buildFleet(seed, shape)
	for _, m := range f.All() {
		f.Start(m)
	}
	f.CallerHost.Go(f.WatchGateways)
	return f
}

// buildFleet builds a fleet; nothing runs yet.
func buildFleet(seed uint64, shape Shape) *Fleet {
	world := NewWorld(seed)
	if shape.ModelPool == "" {
		shape.ModelPool, shape.ToolPool = "models", "apps"
	}
	f := &Fleet{World: world, Net: NewNet(world), Shape: shape, modelsByID: map[string]*standin.Model{}, toolsByID: map[string]*standin.Tool{}, Tally: standin.NewTally(), reportedStates: map[string]reportedState{}}
	f.CallerHost = world.NewHost("callers", "outside")
	zone := shape.zone
	for i := 0; i < shape.ModelWorkers; i++ {
		name := fmt.Sprintf("model-%d", i)
		model := &standin.Model{ID: name, Clock: world.NewHost(name, zone(i)).Clock(), Pieces: shape.PiecesPerTurn, Gap: shape.PieceInterval, Prefill: shape.PrefillTime, Cache: shape.CachedPrefixes, Capacity: shape.WorkerCapacity, Given: f.Tally.Given}
		f.Models, f.modelsByID[name] = append(f.Models, model), model
		f.WorkerList.Workers = append(f.WorkerList.Workers, worker.Worker{ID: name, Addr: name + ":1", Pool: shape.ModelPool, Zone: zone(i), Capacity: shape.WorkerCapacity})
	}
	for i := 0; i < shape.ToolWorkers; i++ {
		name := fmt.Sprintf("app-%d", i)
		tool := &standin.Tool{ID: name, Clock: world.NewHost(name, zone(i)).Clock(), Pause: shape.PieceInterval, Given: f.Tally.Given}
		f.Tools, f.toolsByID[name] = append(f.Tools, tool), tool
		f.WorkerList.Workers = append(f.WorkerList.Workers, worker.Worker{ID: name, Addr: name + ":1", Pool: shape.ToolPool, Zone: zone(i), Capacity: shape.WorkerCapacity})
	}
	f.WorkerList.Stamp = 1
	add := func(list *[]*Machine, role string, count int) {
		for i := 0; i < count; i++ {
			m := &Machine{Host: world.NewHost(fmt.Sprintf("%s-%d", role, i), zone(i)), Role: role}
			m.Disk = NewDisk(m.Host)
			*list = append(*list, m)
		}
	}
	add(&f.Storage, "storage", shape.Storage)
	add(&f.Cores, "core", shape.Cores)
	add(&f.Gateways, "edge", shape.Gateways)
	return f
}

// All lists every machine, storage first.
func (f *Fleet) All() []*Machine {
	return append(append(append([]*Machine{}, f.Storage...), f.Cores...), f.Gateways...)
}

// AddMachine brings a new machine of a role into the fleet, at a new address.
func (f *Fleet) AddMachine(role string) *Machine {
	m := f.newMachine(role)
	f.Start(m)
	return m
}

func (f *Fleet) newMachine(role string) *Machine {
	list := map[string]*[]*Machine{"storage": &f.Storage, "core": &f.Cores, "edge": &f.Gateways}[role]
	index := len(*list)
	m := &Machine{Host: f.World.NewHost(fmt.Sprintf("%s-%d", role, index), f.Shape.zone(index)), Role: role}
	m.Disk = NewDisk(m.Host)
	*list = append(*list, m)
	return m
}

// Start gives a machine a new life.
func (f *Fleet) Start(m *Machine) {
	h := m.Host
	h.alive, h.poweredOff, m.openRequests, m.stopping, m.stopRequested = true, false, 0, false, false
	m.gateway, m.core, m.storage = nil, nil, nil
	m.Counters = base.NewCounters()
	env := node.Env{Clock: h.Clock(), HTTPClient: f.Net.Wire(h), Files: m.Disk, Counters: m.Counters,
		Backends: &Backends{net: f.Net, host: h, models: f.modelsByID, tools: f.toolsByID, disabled: &f.disabled}}
	config := node.Config{Addr: h.Name + ":1", PublicAddr: h.Name + ":2", Zone: h.Zone, Seeds: []string{f.Cores[0].Host.Name + ":1", f.Cores[len(f.Cores)-1].Host.Name + ":1", f.Storage[0].Host.Name + ":1"}}
	if f.SeedAddrs != nil {
		config.Seeds = f.SeedAddrs
	}
	if f.Shape.Bootstrap && f.SeedAddrs == nil {
		config.Seeds = base.Map(f.Cores[:min(3, len(f.Cores))], func(m *Machine) string { return m.Host.Name + ":1" })
	}
	config.Cluster, config.NodeName, config.FaultTolerance, config.Bootstrap = f.ClusterID, h.Name, f.Shape.FaultTolerance, f.Shape.Bootstrap && !m.startedBefore
	if f.disabled.seeds {
		config.Seeds = []string{"nowhere:1"}
	}
	if f.configure != nil {
		f.configure(m, &env, &config)
	}
	h.Go(func() {
		m.startedBefore = true
		switch m.Role {
		case "edge":
			m.gateway = node.NewGateway(env, config)
			h.serve = m.gateway.Handler()
			f.notifyBuilt(m)
			m.gateway.Start()
		case "core":
			m.core = node.NewCore(env, config)
			h.serve = m.core.Handler()
			f.notifyBuilt(m)
			m.core.Start()
		case "storage":
			m.storage, m.StorageErr = node.NewStorage(env, config)
			if m.StorageErr != nil {
				if !m.Disk.Corrupted {
					f.Tally.Breach("%s does not open though nothing rotted: %v", h.Name, m.StorageErr)
				}
				h.alive = false
				return
			}
			h.serve = m.storage.Handler()
			m.storage.Start()
		}
	})
}

func (f *Fleet) notifyBuilt(m *Machine) {
	if f.onBuilt != nil {
		f.onBuilt(m)
	}
}

// Gateway is a machine's gateway in its present life.
func (m *Machine) Gateway() *node.Gateway { return m.gateway }

// feedFollower is what a gateway or core follows the feed with.
func (m *Machine) feedFollower() *feed.Follower {
	switch {
	case !m.Host.alive || m.Host.frozen:
		return nil
	case m.gateway != nil:
		return m.gateway.Follower
	case m.core != nil:
		return m.core.Follower
	}
	return nil
}

// Serving tells whether a gateway lives and may serve.
func (m *Machine) Serving() bool {
	return m.Host.alive && !m.Host.frozen && m.gateway != nil && m.gateway.Follower.HasLease()
}

// Kill ends a machine's process; PowerLoss ends it and drops what its disk
// had not synced.
func (f *Fleet) Kill(m *Machine) {
	m.Host.Kill()
	m.gateway, m.core, m.storage = nil, nil, nil
}

func (f *Fleet) PowerLoss(m *Machine) {
	f.Kill(m)
	m.Disk.LosePower()
}

// Stop ends a machine as a signal would: it finishes what it read, hands
// over, and ends.
func (f *Fleet) Stop(m *Machine) {
	bell := base.NewNotifier(f.CallerHost.Clock())
	drained, life := false, m.Host.incarnation
	m.Host.Go(func() {
		switch {
		case m.gateway != nil && m.Role == "edge":
			m.gateway.Drain(stopTimeout)
			m.gateway.Stop()
		case m.core != nil && m.Role == "core":
			m.core.Drain(stopTimeout)
			m.core.Stop()
		case m.storage != nil && m.Role == "storage":
			m.storage.Drain(stopTimeout)
			m.storage.Stop()
		}
		drained = true
		bell.Notify()
	})
	m.stopping = true
	if f.disabled.gracefulStop {
		f.Tally.Dropped(m.Host.Name, m.openRequests)
		f.Kill(m)
	}
	for end := f.World.now + stopTimeout + time.Second; (!drained || m.openRequests > 0) && m.Host.incarnation == life && f.World.now < end; {
		bell.Next().Wait(pollInterval)
	}
	m.stopping = false
	if m.Host.incarnation == life {
		f.Tally.Dropped(m.Host.Name, m.openRequests)
		f.Kill(m)
	}
}

// stopTimeout is what a daemon told to stop takes at the most.
const stopTimeout = 24 * time.Second

// OperatorRequest sends an operator's request to a core and gives status and body.
func (f *Fleet) OperatorRequest(m *Machine, method, path string, body any) (status int, answer []byte) {
	return f.OperatorRequestWithQuery(m, method, path, map[string]string{}, body)
}

// OperatorRequestWithQuery does so with a query.
func (f *Fleet) OperatorRequestWithQuery(m *Machine, method, path string, query map[string]string, body any) (status int, answer []byte) {
	bell := base.NewNotifier(f.CallerHost.Clock())
	if !m.Host.alive || m.core == nil {
		return 0, nil
	}
	done := false
	m.Host.Go(func() {
		response := m.core.OperatorAPI.Handle(base.NewCtx(m.Host.Clock(), 30*time.Second), &front.Request{Method: method, Path: path, Query: query, Body: base.MustMarshal(body)})
		status, answer, done = response.Status, response.Body, true
		bell.Notify()
	})
	end := f.World.now + 40*time.Second
	for !done && f.World.now < end {
		next := bell.Next()
		if done {
			break
		}
		next.Wait(pollInterval)
	}
	return status, answer
}

// SetUp makes the cluster, applies the settings and gives the worker list;
// it runs as a task of the callers' host.
func (f *Fleet) SetUp() {
	if !f.Shape.Bootstrap {
		addrs := base.Map(f.Storage, func(m *Machine) string { return m.Host.Name + ":1" })
		f.retryUntilOK("form", func() int {
			status, _ := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/init", map[string]any{"disks": addrs})
			return status
		})
	}
	f.retryUntilOK("apply", func() int {
		status, _ := f.OperatorRequest(f.liveCore(), "POST", "/v1/operator/settings/apply",
			map[string]any{"change": "first", "based_on": 0, "document": json.RawMessage(f.Shape.Settings)})
		return status
	})
	ask := f.RequestSender(f.CallerHost)
	f.retryUntilOK("workers", func() int {
		answer, err := ask(0, "PUT", "/v1/platform/workers", nil, base.MustMarshal(f.WorkerList))
		if err != nil {
			return 0
		}
		return answer.Status
	})
}

// liveCore is a core that is up.
func (f *Fleet) liveCore() *Machine {
	for _, m := range f.Cores {
		if m.Host.alive && !m.Host.frozen {
			return m
		}
	}
	return f.Cores[0]
}

func (f *Fleet) retryUntilOK(step string, attempt func() int) {
	for try := 0; try < 200; try++ {
		if attempt() == 200 {
			return
		}
		f.CallerHost.Clock().Sleep(100 * time.Millisecond)
	}
	panic("fleet did not come up: " + step)
}

// feedLeader is the core that owns the feed.
func (f *Fleet) feedLeader() *Machine {
	for _, m := range f.Cores {
		if m.Host.alive && m.core != nil && m.core.RegisterServer.LeadsFeed() {
			return m
		}
	}
	return nil
}
