// Package node assembles the other packages into the three kinds of process:
// gateways, cores and storage nodes. The daemons and the simulator differ only
// in the Env that they pass in.
package node

import (
	"fordseam/internal/line"
	"fordseam/internal/relay"
	"fordseam/internal/route"
	"net/http"
	"slices"
	"strings"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/disk"
	"fordseam/internal/feed"
	"fordseam/internal/founding"
	"fordseam/internal/front"
	"fordseam/internal/ledger"
	"fordseam/internal/membership"
	"fordseam/internal/memory"
	"fordseam/internal/operate"
	"fordseam/internal/register"
	"fordseam/internal/session"
	"fordseam/internal/settings"
	"fordseam/internal/toolcall"
	"fordseam/internal/worker"
)

// Env is the environment of a process: clock, network, files and workers.
type Env struct {
	Clock      base.Clock
	HTTPClient base.HTTPClient
	Files      disk.Files
	Backends   base.BackendClient
	Counters   *base.Counters
	// Memory is what requests and messages hold together; nil sets no bound.
	Memory *memory.Budget
	// Names are the header names that clients and workers of operators' routes use.
	Names *relay.WireNames
}

// Config is the configuration of a process.
type Config struct {
	Role           string
	Addr           string
	PublicAddr     string
	Zone           string
	DataDir        string
	Seeds          []string
	DiskLimitBytes int64
	// MemoryBytes and MaxDescriptors are what the machine grants the process, 0 where that
	// is not known.
	MemoryBytes    int64
	MaxDescriptors int
	// Cluster, if set, is the only cluster that the process joins.
	Cluster string
	// NodeName is the name of the machine, by which it can be retired.
	NodeName string
	// FaultTolerance is how many machines may be lost with their disks at the same
	// time. If above 0, the cores replace lost disks automatically.
	FaultTolerance int
	// Bootstrap tells a core that this is the first start of the whole system, so
	// that the seeds form a new cluster. It applies to one run of the process only.
	Bootstrap bool
	// Bounds, if set, apply until settings replace them.
	Bounds *base.Bounds
}

// common is the part that all kinds of process share.
type common struct {
	env           Env
	defaultBounds *base.Bounds
	bounds        *base.AtomicPointer[base.Bounds]
	view          *membership.View
	mux           *http.ServeMux
}

func newCommon(env Env, config Config, usageStore membership.UsageStore, bounds *base.AtomicPointer[base.Bounds]) *common {
	c := &common{env: env, defaultBounds: config.Bounds, bounds: bounds, mux: http.NewServeMux()}
	self := &membership.Member{Id: config.Addr + "/" + base.NewID(env.Clock, ""), Addr: config.Addr, PublicAddr: config.PublicAddr, Role: config.Role, Zone: config.Zone}
	seeds := slices.Clone(config.Seeds)
	if env.Files != nil {
		seeds = append(seeds, disk.ReadPeerAddresses(env.Files)...)
	}
	c.view = membership.NewView(env.Clock, env.HTTPClient, bounds, env.Counters, self, seeds, usageStore)
	c.view.SetCluster(config.Cluster)
	c.mount(membership.NewMembershipServer(c.view))
	return c
}

// twirpServer is a generated RPC handler.
type twirpServer interface {
	http.Handler
	PathPrefix() string
}

func (c *common) mount(server twirpServer) { c.mux.Handle(server.PathPrefix(), server) }

// Handler serves the RPCs of other nodes.
func (c *common) Handler() http.Handler {
	return base.HandleMessages(c.env.Clock, limitMessages(c.env.Memory, c.mux))
}

// View is the node's partial view of the fleet.
func (c *common) View() *membership.View { return c.view }

func newBounds(config Config) *base.AtomicPointer[base.Bounds] {
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	if config.Bounds != nil {
		bounds.Store(config.Bounds)
	}
	return bounds
}

// newFollower returns a follower of the feed that updates the settings, the bounds
// and the access guard. Where there are access rules, the follower reports the
// version it holds to the core, and it polls more often while a change of them
// is pending.
func (c *common) newFollower(settingsTree *base.AtomicPointer[settings.Tree], guard *access.Guard, onSnapshot func(*feed.Snapshot)) (*register.Client, *feed.Follower) {
	client := register.NewClient(c.env.Clock, c.env.HTTPClient, c.view, c.bounds)
	cache, heldVersion := &settings.FeedCache{}, uint64(0)
	follower := feed.NewFollower(c.env.Clock, c.env.HTTPClient, c.view, client, c.bounds, c.env.Counters, func(snapshot *feed.Snapshot) {
		version, newTree, changed := cache.Update(snapshot.Values)
		if changed {
			bounds := newTree.BoundsWithDefaults(c.defaultBounds)
			c.bounds.Store(&bounds)
			settingsTree.Store(newTree)
		}
		if newTree != nil {
			heldVersion = version
			guard.SetRules(cache.AccessTables())
		}
		onSnapshot(snapshot)
	})
	follower.AddNodeInfo = func(request *feed.FollowRequest) {
		if guard.HasRules() {
			request.Node, request.Stamp = c.view.SelfID(), heldVersion
		}
		if guard.ChangePending() {
			request.HoldMs = c.bounds.Load().AccessPollWait().Milliseconds()
		}
	}
	guard.SetFeedStatus(follower)
	return client, follower
}

// Gateway is the process of the data plane: it serves callers and clients.
type Gateway struct {
	*common
	Front    *front.Handler
	Sessions *session.Manager
	Follower *feed.Follower
	Routes   *base.AtomicPointer[route.Table]
	Relay    *relay.Relay
	Lines    *line.Manager
	Access   *access.Guard
	// ParseRoutes parses the operator's document of routes. It is set before Start
	// on a gateway that serves routes.
	ParseRoutes func(document []byte) (*route.Table, error)

	diskSet       base.AtomicPointer[register.DiskSet]
	routesChanged *base.Notifier
	// rosterDecoder and routesValue keep what the feed sent last. Only
	// applySnapshot uses them.
	rosterDecoder relay.RosterDecoder
	routesValue   []byte
}

// NewGateway returns a gateway that is not started yet.
func NewGateway(env Env, config Config) *Gateway {
	config.Role = membership.RoleGateway
	bounds, settingsTree := newBounds(config), &base.AtomicPointer[settings.Tree]{}
	usageReports := worker.NewUsageReports(env.Clock, bounds)
	picker := worker.NewPicker(env.Clock, bounds, env.Counters, usageReports, config.Zone)
	c := newCommon(env, config, usageReports, bounds)
	g := &Gateway{common: c, Access: access.NewGuard(env.Clock, bounds, env.Counters)}
	env.Counters.AddSource(g.Access.AddCounts)
	client, follower := c.newFollower(settingsTree, g.Access, func(snapshot *feed.Snapshot) {
		picker.SetRoster(worker.DecodeRoster(snapshot.Values))
		g.Sessions.SetTerminations(terminationsIn(snapshot.Values))
		g.applySnapshot(snapshot)
	})
	g.Follower = follower
	c.mount(feed.NewFeedServer(feed.NewService(env.Clock, nil, follower)))
	g.Sessions = session.NewManager(session.Dependencies{Clock: env.Clock, HTTPClient: env.HTTPClient, View: c.view, Bounds: bounds, Counters: env.Counters,
		Register: client, Follower: follower, Picker: picker, Backends: env.Backends, Tree: settingsTree, Memory: env.Memory})
	g.Front = &front.Handler{Clock: env.Clock, Bounds: bounds, Counters: env.Counters, Follower: follower, Settings: settingsTree,
		Budget: &budget.Client{Register: client}, Sessions: g.Sessions, Tools: &toolcall.Client{Register: client},
		Workers: &worker.Client{Register: client}, UsageReports: usageReports, Picker: picker, Backends: env.Backends, Access: g.Access, Memory: env.Memory}
	c.mount(session.NewOwnerServer(g.Sessions))
	g.Routes, g.routesChanged = &base.AtomicPointer[route.Table]{}, base.NewNotifier(env.Clock)
	g.Relay = relay.New(relay.Config{Clock: env.Clock, Backends: env.Backends, Bounds: bounds, Counters: env.Counters, Names: env.Names, Zone: config.Zone, MaxConnsPerWorker: g.maxConnsPerWorker, MaxResponseBytes: maxResponseBytes, Memory: env.Memory})
	ledgerClient := ledger.NewClient(env.Clock, env.HTTPClient, g.diskSet.Load, config.Zone, config.FaultTolerance, bounds, env.Counters, nil)
	g.Lines = line.NewManager(line.Dependencies{Clock: env.Clock, HTTPClient: env.HTTPClient, View: c.view, Bounds: bounds, Counters: env.Counters,
		Routes: g.Routes, Ledger: ledgerAdapter{ledgerClient}, Workers: relayAdapter{g}, Memory: env.Memory, MemoryBytes: config.MemoryBytes})
	c.mount(line.NewOwnerServer(g.Lines))
	return g
}

// terminationsIn returns the terminated programs in the values of the feed.
func terminationsIn(values map[string][]byte) map[string]budget.Termination {
	terminations := map[string]budget.Termination{}
	for key, raw := range values {
		if id, ok := strings.CutPrefix(key, budget.TerminationPrefix); ok {
			terminations[id] = budget.DecodeTermination(raw)
		}
	}
	return terminations
}

// notReadyCode returns a function for membership.View.UnwellReason: it returns the
// error code of ready, or "" if the node is ready.
func notReadyCode(ready func() error) func() string {
	return func() string {
		if err := ready(); err != nil {
			return base.ToRequestError(err).Code
		}
		return ""
	}
}

// Start starts the background tasks of the node.
func (g *Gateway) Start() {
	g.view.UnwellReason = notReadyCode(g.Ready)
	g.env.Clock.Go(g.view.Run)
	g.env.Clock.Go(g.Follower.Run)
	g.env.Clock.Go(g.Sessions.Run)
	g.env.Clock.Go(g.Lines.Run)
	g.env.Clock.Go(func() {
		for !g.Follower.Closed() {
			g.env.Clock.Sleep(g.bounds.Load().Recovery)
			g.Front.EvictExpired()
		}
	})
}

// SettingsVersion is the version of the settings that this gateway applies.
func (g *Gateway) SettingsVersion() uint64 {
	return settings.VersionFromFeed(g.Follower.Snapshot().Values)
}

// Ready returns nil if the platform may send callers to this gateway.
func (g *Gateway) Ready() error {
	if g.Front.Settings.Load() == nil {
		return base.Busy(503, "no_settings", 1, "no settings have been applied")
	}
	if !g.Follower.HasLease() {
		return base.Busy(503, "no_confirmed_settings", 1, "this node holds no valid lease on the settings")
	}
	if g.view.Self().Leaving {
		return base.Busy(503, "draining", 1, "this node is leaving")
	}
	return nil
}

// Drain announces that the node stops, and hands over what it owns.
func (g *Gateway) Drain(timeout time.Duration) {
	g.view.Leave(g.bounds.Load().HeartbeatInterval() * 4)
	g.Lines.Drain(timeout)
	g.Sessions.Drain(timeout)
}

// Stop ends the background tasks.
func (g *Gateway) Stop() {
	g.Sessions.Close()
	g.Follower.Close()
	g.view.Close()
}

// Core is the process of the control plane that leads shards of the register.
type Core struct {
	*common
	RegisterServer  *register.Server
	Follower        *feed.Follower
	OperatorAPI     *operate.Handler
	Register        *register.Client
	accessActivator *access.Activator
	// Lister fetches the list of workers. It is set before Start on a core that
	// maintains the roster.
	Lister       relay.Lister
	bootstrapper *founding.Bootstrapper
}

// NewCore returns a core that is not started yet.
func NewCore(env Env, config Config) *Core {
	config.Role = membership.RoleCore
	bounds, settingsTree := newBounds(config), &base.AtomicPointer[settings.Tree]{}
	c := newCommon(env, config, nil, bounds)
	server := register.NewServer(env.Clock, env.HTTPClient, c.view, bounds, env.Counters)
	settings.RegisterHandlers(server)
	budget.RegisterHandlers(server)
	session.RegisterHandlers(server)
	toolcall.RegisterHandlers(server)
	worker.RegisterHandlers(server)
	route.RegisterOperations(server)
	relay.RegisterHandlers(server)
	guard := access.NewGuard(env.Clock, bounds, env.Counters)
	client, follower := c.newFollower(settingsTree, guard, func(*feed.Snapshot) {})
	if config.FaultTolerance > 0 {
		server.EnableReconcile(config.FaultTolerance)
		ledgerClient := ledger.NewClient(env.Clock, env.HTTPClient, func() *register.DiskSet { return register.DiskSetIn(follower.Snapshot().Values) }, config.Zone, config.FaultTolerance, bounds, env.Counters, nil)
		server.SetRedundancyChecker(ledgerClient)
	}
	core := &Core{common: c, RegisterServer: server, Follower: follower, Register: client}
	if votes := founding.LoadVotes(env.Clock, env.Files, config.Seeds, config.Bootstrap); votes != nil {
		core.bootstrapper = founding.New(env.Clock, env.HTTPClient, c.view, bounds, env.Counters, server, config.Addr, votes, config.FaultTolerance)
		c.mount(founding.NewFoundingServer(core.bootstrapper))
	}
	c.mount(register.NewRegisterServer(server))
	feedService := feed.NewService(env.Clock, server, follower)
	c.mount(feed.NewFeedServer(feedService))
	access.RegisterHandlers(server, feedService.AllNodesHave, func() any { return feedService.ReportedSettings(2 * bounds.Load().Recovery) })
	core.accessActivator = &access.Activator{Clock: env.Clock, Bounds: bounds, Counters: env.Counters, Register: client, Follower: follower, FeedEpoch: server.FeedEpoch, AllNodesHave: feedService.AllNodesHave}
	core.OperatorAPI = &operate.Handler{Clock: env.Clock, HTTPClient: env.HTTPClient, View: c.view, Bounds: bounds, Register: client, Server: server, Counters: env.Counters,
		FeedValues: func() map[string][]byte { return follower.Snapshot().Values }}
	return core
}

// Start starts the background tasks of the core.
func (c *Core) Start() {
	c.view.UnwellReason, c.view.KnownCluster = notReadyCode(c.health), c.RegisterServer.Cluster
	c.env.Clock.Go(c.view.Run)
	c.env.Clock.Go(c.RegisterServer.Run)
	if c.bootstrapper != nil {
		c.env.Clock.Go(c.bootstrapper.Run)
	}
	c.env.Clock.Go(c.Follower.Run)
	c.env.Clock.Go(c.accessActivator.Run)
	if c.Lister != nil {
		syncer := &relay.RosterSyncer{Clock: c.env.Clock, Bounds: c.bounds, Counters: c.env.Counters, Register: c.Register, Follower: c.Follower, Lister: c.Lister,
			OwnsFeed: c.RegisterServer.LeadsFeed, Needed: func() bool { return len(c.Follower.Snapshot().Values[route.FeedKey]) > 0 }}
		c.env.Clock.Go(syncer.Run)
	}
}

// OperatorTimeout limits the handling of an operator's request.
func (c *Core) OperatorTimeout() time.Duration { return c.bounds.Load().CoreCallTimeout() / 2 }

// Ready returns nil if this core can reach the control state.
func (c *Core) Ready() error {
	if !c.Follower.HasLease() {
		return base.Busy(503, "no_confirmed_state", 1, "this core holds no valid lease on the control state")
	}
	return nil
}

// health is the state that this core announces to the other nodes: above all
// whether it reaches a majority of the disks.
func (c *Core) health() error {
	if c.RegisterServer.WithoutQuorum() {
		return base.Busy(503, register.NoQuorum, 1, "this core reaches no majority of the disks")
	}
	return c.Ready()
}

// Drain announces that the core stops, so that other cores take over its shards.
func (c *Core) Drain(time.Duration) {
	c.view.Leave(c.bounds.Load().HeartbeatInterval() * 4)
	c.RegisterServer.AwaitHandover(c.bounds.Load().CoreCallTimeout())
}

// Stop ends the background tasks.
func (c *Core) Stop() {
	c.RegisterServer.Close()
	c.Follower.Close()
	c.view.Close()
}

// Storage is the process that stores the data of the register and the ledger on a
// disk.
type Storage struct {
	*common
	Store  *disk.Store
	Ledger *ledger.Store
}

// NewStorage opens the data folder and returns a storage node that is not started
// yet.
func NewStorage(env Env, config Config) (*Storage, error) {
	config.Role = membership.RoleStorage
	bounds := newBounds(config)
	c := newCommon(env, config, nil, bounds)
	store, err := disk.Open(env.Clock, env.Files, env.Counters)
	if err != nil {
		return nil, err
	}
	ledgerStore, err := ledger.OpenStore(ledger.StoreConfig{Clock: env.Clock, HTTPClient: env.HTTPClient, Files: env.Files, Bounds: bounds, Counters: env.Counters,
		FaultTolerance: config.FaultTolerance, LocalDisk: store.Identity, MemoryBytes: config.MemoryBytes})
	if err != nil {
		store.Close()
		return nil, err
	}
	store.OnIdentityChange(ledgerStore.NotifySetChange)
	service := disk.NewService(store, bounds.Load().DiskTimeout())
	service.NodeName = config.NodeName
	c.mount(register.NewDiskServer(service))
	c.mount(ledger.NewLedgerServer(ledgerStore))
	return &Storage{common: c, Store: store, Ledger: ledgerStore}, nil
}

// Start starts the background tasks of the storage node.
func (s *Storage) Start() {
	s.view.UnwellReason, s.view.KnownCluster = notReadyCode(s.Ready), s.Store.Cluster
	s.env.Clock.Go(s.view.Run)
	s.env.Clock.Go(s.saveNeighbours)
	s.env.Clock.Go(s.Ledger.Run)
}

// saveNeighbours saves the addresses of live nodes in the data folder, so that
// storage nodes find the others after an outage even if all seeds have been
// replaced.
func (s *Storage) saveNeighbours() {
	saved := disk.ReadPeerAddresses(s.env.Files)
	for !s.view.Closed() {
		s.env.Clock.Sleep(s.bounds.Load().SuspectTimeout())
		if addresses := s.view.LiveAddresses(); s.Store.Cluster() != "" && len(addresses) > 0 && !slices.Equal(addresses, saved) {
			if disk.WritePeerAddresses(s.env.Files, addresses) == nil {
				saved = addresses
			}
		}
	}
}

// Ready returns nil if the disk and the ledger can serve.
func (s *Storage) Ready() error {
	if err := s.Store.Ready(); err != nil {
		return err
	}
	return s.Ledger.Ready()
}

// Drain announces that the storage node stops.
func (s *Storage) Drain(time.Duration) { s.view.Leave(s.bounds.Load().HeartbeatInterval() * 4) }

// Stop ends the background tasks and closes the files.
func (s *Storage) Stop() {
	s.Store.Close()
	s.Ledger.Close()
	s.view.Close()
}
