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

// listedWorker is an entry of the worker list.
type listedWorker = worker.Worker

// Machine is a simulated machine and the process that runs on it.
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
	// stopping machines accept no new requests.
	stopping bool
	// removed machines never come back.
	removed bool
	// startedBefore is set from the machine's first start on.
	startedBefore bool
	// stopRequested is set once the process was told to stop.
	stopRequested bool
}

// Fleet is a set of gateways, cores and storage machines in virtual time. They are built
// from the same parts as the daemons; simulated workers stand behind them.
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
	// SeedAddrs, if set, replaces the seed addresses of every machine. ClusterID is the
	// cluster that their configuration names, if any.
	SeedAddrs      []string
	ClusterID      string
	reportedStates map[string]reportedState
	reportCount    int64
	// pendingFaults counts injected faults that are not undone yet.
	pendingFaults int
	// disabled, set by tests only, disables mechanisms that Net.Intercept cannot reach.
	disabled disabledMechanisms
	// configure, if set, changes a process's environment and configuration. onBuilt, if set,
	// is called after a gateway or core was built, before it starts.
	configure func(m *Machine, env *node.Env, config *node.Config)
	onBuilt   func(m *Machine)
}

// disabledMechanisms selects the mechanisms that a test disables: the graceful stop, the
// seed addresses, the end marker of an answer, the id that a worker is expected to have, the
// id that an answer must carry, the proof that a request has not run, and the last check of
// the worker list before a request is sent.
type disabledMechanisms struct{ gracefulStop, seeds, endMarker, expectedID, answerID, notRunProof, finalListCheck bool }

// NewFleet builds a fleet and starts its machines.
func NewFleet(seed uint64, shape Shape) *Fleet {
	f := buildFleet(seed, shape)
	for _, m := range f.All() {
		f.Start(m)
	}
	f.CallerHost.Go(f.WatchGateways)
	return f
}

// buildFleet builds a fleet and starts nothing.
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
		model := &standin.Model{ID: name, Clock: world.NewHost(name, zone(i)).Clock(), PiecesPerAnswer: shape.PiecesPerTurn, PieceInterval: shape.PieceInterval, PrefillPerMessage: shape.PrefillTime, CachedPrefixes: shape.CachedPrefixes, Capacity: shape.WorkerCapacity, OnRun: f.Tally.RecordWorkStarted}
		f.Models, f.modelsByID[name] = append(f.Models, model), model
		f.WorkerList.Workers = append(f.WorkerList.Workers, worker.Worker{ID: name, Addr: name + ":1", Pool: shape.ModelPool, Zone: zone(i), Capacity: shape.WorkerCapacity})
	}
	for i := 0; i < shape.ToolWorkers; i++ {
		name := fmt.Sprintf("app-%d", i)
		tool := &standin.Tool{ID: name, Clock: world.NewHost(name, zone(i)).Clock(), Delay: shape.PieceInterval, OnRun: f.Tally.RecordWorkStarted}
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

// All returns every machine: storage machines, cores, gateways.
func (f *Fleet) All() []*Machine {
	return append(append(append([]*Machine{}, f.Storage...), f.Cores...), f.Gateways...)
}

// AddMachine adds a machine of a role at a new address and starts it.
func (f *Fleet) AddMachine(role string) *Machine {
	m := f.newMachine(role)
	f.Start(m)
	return m
}

// newMachine adds a machine of a role without starting it.
func (f *Fleet) newMachine(role string) *Machine {
	list := map[string]*[]*Machine{"storage": &f.Storage, "core": &f.Cores, "edge": &f.Gateways}[role]
	index := len(*list)
	m := &Machine{Host: f.World.NewHost(fmt.Sprintf("%s-%d", role, index), f.Shape.zone(index)), Role: role}
	m.Disk = NewDisk(m.Host)
	*list = append(*list, m)
	return m
}

// Start starts a machine's process.
func (f *Fleet) Start(m *Machine) {
	h := m.Host
	h.alive, h.poweredOff, m.openRequests, m.stopping, m.stopRequested = true, false, 0, false, false
	m.gateway, m.core, m.storage = nil, nil, nil
	m.Counters = base.NewCounters()
	env := node.Env{Clock: h.Clock(), HTTPClient: f.Net.HTTPClient(h), Files: m.Disk, Counters: m.Counters,
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
					f.Tally.Breach("%s does not open although its disk is not corrupted: %v", h.Name, m.StorageErr)
				}
				h.alive = false
				return
			}
			h.serve = m.storage.Handler()
			m.storage.Start()
		}
	})
}

// notifyBuilt calls onBuilt, if set.
func (f *Fleet) notifyBuilt(m *Machine) {
	if f.onBuilt != nil {
		f.onBuilt(m)
	}
}

// Gateway returns the gateway of the running process, nil if there is none.
func (m *Machine) Gateway() *node.Gateway { return m.gateway }

// feedFollower returns the feed follower of a running gateway or core, or nil.
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

// Serving reports whether a gateway runs and holds a lease.
func (m *Machine) Serving() bool {
	return m.Host.alive && !m.Host.frozen && m.gateway != nil && m.gateway.Follower.HasLease()
}

// Kill ends a machine's process without a graceful stop.
func (f *Fleet) Kill(m *Machine) {
	m.Host.Kill()
	m.gateway, m.core, m.storage = nil, nil, nil
}

// PowerLoss ends a machine's process and drops what its disk had not synced.
func (f *Fleet) PowerLoss(m *Machine) {
	f.Kill(m)
	m.Disk.LosePower()
}

// Stop ends a machine as SIGTERM does: the process drains and stops, and is killed when it
// takes longer than stopTimeout.
func (f *Fleet) Stop(m *Machine) {
	notifier := base.NewNotifier(f.CallerHost.Clock())
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
		notifier.Notify()
	})
	m.stopping = true
	if f.disabled.gracefulStop {
		f.Tally.RecordDroppedRequests(m.Host.Name, m.openRequests)
		f.Kill(m)
	}
	for end := f.World.now + stopTimeout + time.Second; (!drained || m.openRequests > 0) && m.Host.incarnation == life && f.World.now < end; {
		notifier.Next().Wait(pollInterval)
	}
	m.stopping = false
	if m.Host.incarnation == life {
		f.Tally.RecordDroppedRequests(m.Host.Name, m.openRequests)
		f.Kill(m)
	}
}

// stopTimeout is the longest time that a graceful stop may take.
const stopTimeout = 24 * time.Second

// OperatorRequest sends a request to a core's operator API and returns status and body,
// status 0 without an answer.
func (f *Fleet) OperatorRequest(m *Machine, method, path string, body any) (status int, answer []byte) {
	return f.OperatorRequestWithQuery(m, method, path, map[string]string{}, body)
}

// OperatorRequestWithQuery is OperatorRequest with query parameters.
func (f *Fleet) OperatorRequestWithQuery(m *Machine, method, path string, query map[string]string, body any) (status int, answer []byte) {
	notifier := base.NewNotifier(f.CallerHost.Clock())
	if !m.Host.alive || m.core == nil {
		return 0, nil
	}
	done := false
	m.Host.Go(func() {
		response := m.core.OperatorAPI.Handle(base.NewCtx(m.Host.Clock(), 30*time.Second), &front.Request{Method: method, Path: path, Query: query, Body: base.MustMarshal(body)})
		status, answer, done = response.Status, response.Body, true
		notifier.Notify()
	})
	end := f.World.now + 40*time.Second
	for !done && f.World.now < end {
		next := notifier.Next()
		if done {
			break
		}
		next.Wait(pollInterval)
	}
	return status, answer
}

// SetUp forms the cluster, applies the settings and submits the worker list. It must run as
// a task of the callers' host.
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

// liveCore returns the first core that runs, or the first core if none does.
func (f *Fleet) liveCore() *Machine {
	for _, m := range f.Cores {
		if m.Host.alive && !m.Host.frozen {
			return m
		}
	}
	return f.Cores[0]
}

// retryUntilOK repeats an attempt until its status is 200; it panics after 200 attempts.
func (f *Fleet) retryUntilOK(step string, attempt func() int) {
	for try := 0; try < 200; try++ {
		if attempt() == 200 {
			return
		}
		f.CallerHost.Clock().Sleep(100 * time.Millisecond)
	}
	panic("simulate: fleet did not come up: step " + step)
}

// feedLeader returns the core that leads the feed's shard, or nil.
func (f *Fleet) feedLeader() *Machine {
	for _, m := range f.Cores {
		if m.Host.alive && m.core != nil && m.core.RegisterServer.LeadsFeed() {
			return m
		}
	}
	return nil
}
