// Package node puts the slices together into the three kinds of process:
// gateways, cores and storage machines. What differs between the daemons and
// the simulator is only what Env brings in.
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
	"fordseam/internal/operate"
	"fordseam/internal/register"
	"fordseam/internal/session"
	"fordseam/internal/settings"
	"fordseam/internal/toolcall"
	"fordseam/internal/worker"
)

// Env is time, wire, disk and back ends.
type Env struct {
	Clock    base.Clock
	Wire     base.Wire
	Files    disk.Files
	Backends base.Backends
	Counters *base.Counters
	// Names are what clients and workers of an operator's routes call things.
	Names *relay.WireNames
}

// Place is where a process stands in the fleet.
type Place struct {
	Role   string
	Addr   string
	Public string
	Zone   string
	Data   string
	Seeds  []string
	Limit  int64
	// Cluster, when given, is the only one this process will be of.
	Cluster string
	// Node is the machine's name, by which it can be retired.
	Node string
	// Tolerate is how many machines may be lost with their disks at once;
	// above 0 the cores mend the disk set by themselves.
	Tolerate int
	// Found tells a core that this is the very first start of the whole system,
	// so that the seeds form the cluster. It holds for one life only.
	Found bool
	// Bounds, when given, hold until settings bring others.
	Bounds *base.Bounds
}

type common struct {
	env    Env
	place  *base.Bounds
	bounds *base.Table[base.Bounds]
	view   *membership.View
	mux    *http.ServeMux
}

func newCommon(env Env, place Place, usages membership.UsageStore, bounds *base.Table[base.Bounds]) *common {
	c := &common{env: env, place: place.Bounds, bounds: bounds, mux: http.NewServeMux()}
	self := &membership.Member{Id: place.Addr + "/" + base.NewID(env.Clock, ""), Addr: place.Addr, PublicAddr: place.Public, Role: place.Role, Zone: place.Zone}
	seeds := slices.Clone(place.Seeds)
	if env.Files != nil {
		seeds = append(seeds, disk.ReadPeerAddresses(env.Files)...)
	}
	c.view = membership.NewView(env.Clock, env.Wire, bounds, env.Counters, self, seeds, usages)
	c.view.SetCluster(place.Cluster)
	c.mount(membership.NewMembershipServer(c.view))
	return c
}

type twirpServer interface {
	http.Handler
	PathPrefix() string
}

func (c *common) mount(server twirpServer) { c.mux.Handle(server.PathPrefix(), server) }

// Handler is what partners call.
func (c *common) Handler() http.Handler { return base.Receive(c.env.Clock, c.mux) }

// View is the node's partial view of the fleet.
func (c *common) View() *membership.View { return c.view }

func newBounds(place Place) *base.Table[base.Bounds] {
	table := &base.Table[base.Bounds]{}
	table.Swap(base.DefaultBounds())
	if place.Bounds != nil {
		table.Swap(place.Bounds)
	}
	return table
}

// follow makes a follower that keeps the settings, the bounds and the guard.
// Where there are rules of access it tells the core what it holds, and asks
// more often while they change.
func (c *common) follow(tree *base.Table[settings.Tree], guard *access.Guard, also func(*feed.Snapshot)) (*register.Client, *feed.Follower) {
	client := register.NewClient(c.env.Clock, c.env.Wire, c.view, c.bounds)
	known, held := &settings.FeedCache{}, uint64(0)
	follower := feed.NewFollower(c.env.Clock, c.env.Wire, c.view, client, c.bounds, c.env.Counters, func(frame *feed.Snapshot) {
		stamp, next, fresh := known.Update(frame.Values)
		if fresh {
			bounds := next.BoundsWithDefaults(c.place)
			c.bounds.Swap(&bounds)
			tree.Swap(next)
		}
		if next != nil {
			held = stamp
			guard.SetRules(known.AccessTables())
		}
		also(frame)
	})
	follower.AddNodeInfo = func(request *feed.FollowRequest) {
		if guard.HasRules() {
			request.Node, request.Stamp = c.view.SelfID(), held
		}
		if guard.ChangePending() {
			request.HoldMs = c.bounds.Load().AccessHold().Milliseconds()
		}
	}
	guard.SetFeedStatus(follower)
	return client, follower
}

// Gateway is the data plane's process.
type Gateway struct {
	*common
	Front    *front.Handler
	Keeper   *session.Manager
	Follower *feed.Follower
	Routes   *base.Table[route.Table]
	Relay    *relay.Relay
	Lines    *line.Manager
	Access   *access.Guard
	// Table reads the operator's document; it is set before Start where this
	// gateway serves routes.
	Table func(written []byte) (*route.Table, error)

	disks  base.Table[register.DiskSet]
	routed *base.Bell
	// roster and written are what the feed told last; only learn has them.
	roster  relay.RosterDecoder
	written []byte
}

func NewGateway(env Env, place Place) *Gateway {
	place.Role = membership.RoleGateway
	bounds, tree := newBounds(place), &base.Table[settings.Tree]{}
	book := worker.NewUsageReports(env.Clock, bounds)
	picker := worker.NewPicker(env.Clock, bounds, env.Counters, book, place.Zone)
	c := newCommon(env, place, book, bounds)
	g := &Gateway{common: c, Access: access.NewGuard(env.Clock, bounds, env.Counters)}
	env.Counters.Also(g.Access.AddCounts)
	client, follower := c.follow(tree, g.Access, func(frame *feed.Snapshot) {
		picker.SetRoster(worker.DecodeRoster(frame.Values))
		g.Keeper.SetTerminations(endedIn(frame.Values))
		g.learn(frame)
	})
	g.Follower = follower
	c.mount(feed.NewFeedServer(feed.NewService(env.Clock, nil, follower)))
	g.Keeper = session.NewManager(session.Dependencies{Clock: env.Clock, Wire: env.Wire, View: c.view, Bounds: bounds, Counters: env.Counters,
		Register: client, Follower: follower, Picker: picker, Backends: env.Backends, Tree: tree})
	g.Front = &front.Handler{Clock: env.Clock, Bounds: bounds, Counters: env.Counters, Follower: follower, Settings: tree,
		Budget: &budget.Client{Register: client}, Sessions: g.Keeper, Tools: &toolcall.Client{Register: client},
		Workers: &worker.Client{Register: client}, UsageReports: book, Picker: picker, Backends: env.Backends, Access: g.Access}
	c.mount(session.NewOwnerServer(g.Keeper))
	g.Routes, g.routed = &base.Table[route.Table]{}, base.NewBell(env.Clock)
	g.Relay = relay.New(relay.Config{Clock: env.Clock, Backends: env.Backends, Bounds: bounds, Counters: env.Counters, Names: env.Names, Zone: place.Zone, MaxConnsPerWorker: g.connShare, MaxResponseBytes: answerLimit})
	kept := ledger.NewClient(env.Clock, env.Wire, g.disks.Load, place.Zone, place.Tolerate, bounds, env.Counters, nil)
	g.Lines = line.NewManager(line.Dependencies{Clock: env.Clock, Wire: env.Wire, View: c.view, Bounds: bounds, Counters: env.Counters,
		Routes: g.Routes, Ledger: keeping{kept}, Workers: offering{g}})
	c.mount(line.NewOwnerServer(g.Lines))
	return g
}

func endedIn(values map[string][]byte) map[string]budget.Termination {
	ended := map[string]budget.Termination{}
	for key, raw := range values {
		if id, ok := strings.CutPrefix(key, budget.TerminationPrefix); ok {
			ended[id] = budget.DecodeTermination(raw)
		}
	}
	return ended
}

// unwell is the word that a node's entry carries while it is not ready.
func unwell(ready func() error) func() string {
	return func() string {
		if err := ready(); err != nil {
			return base.FromWire(err).Code
		}
		return ""
	}
}

// Start begins the node's own tasks.
func (g *Gateway) Start() {
	g.view.UnwellReason = unwell(g.Ready)
	g.env.Clock.Go(g.view.Run)
	g.env.Clock.Go(g.Follower.Run)
	g.env.Clock.Go(g.Keeper.Run)
	g.env.Clock.Go(g.Lines.Run)
	g.env.Clock.Go(func() {
		for !g.Follower.Closed() {
			g.env.Clock.Sleep(g.bounds.Load().Recover)
			g.Front.EvictExpired()
		}
	})
}

// Stamp is the settings' stamp this gateway goes by.
func (g *Gateway) Stamp() uint64 {
	return settings.VersionFromFeed(g.Follower.Snapshot().Values)
}

// Ready says whether the platform may send callers here.
func (g *Gateway) Ready() error {
	if g.Front.Settings.Load() == nil {
		return base.Busy(503, "no_settings", 1, "no settings have been applied")
	}
	if !g.Follower.HasLease() {
		return base.Busy(503, "no_confirmed_settings", 1, "settings are not confirmed")
	}
	if g.view.Self().Leaving {
		return base.Busy(503, "draining", 1, "this node is leaving")
	}
	return nil
}

// Leave hands over what this node owns.
func (g *Gateway) Leave(limit time.Duration) {
	g.view.Leave(g.bounds.Load().Beat() * 4)
	g.Lines.Drain(limit)
	g.Keeper.Drain(limit)
}

// Stop ends the node's tasks.
func (g *Gateway) Stop() {
	g.Keeper.Close()
	g.Follower.Close()
	g.view.Close()
}

// Core is the control plane's process that owns keys.
type Core struct {
	*common
	Owner    *register.Server
	Follower *feed.Follower
	Operate  *operate.Operate
	Register *register.Client
	settles  *access.Activator
	// Lister asks for the list of workers; it is set before Start where this
	// core keeps a roster.
	Lister  relay.Lister
	founder *founding.Bootstrapper
}

func NewCore(env Env, place Place) *Core {
	place.Role = membership.RoleCore
	bounds, tree := newBounds(place), &base.Table[settings.Tree]{}
	c := newCommon(env, place, nil, bounds)
	owner := register.NewServer(env.Clock, env.Wire, c.view, bounds, env.Counters)
	settings.RegisterHandlers(owner)
	budget.RegisterHandlers(owner)
	session.RegisterHandlers(owner)
	toolcall.RegisterHandlers(owner)
	worker.RegisterHandlers(owner)
	route.RegisterOperations(owner)
	relay.RegisterHandlers(owner)
	guard := access.NewGuard(env.Clock, bounds, env.Counters)
	client, follower := c.follow(tree, guard, func(*feed.Snapshot) {})
	if place.Tolerate > 0 {
		owner.EnableReconcile(place.Tolerate)
		kept := ledger.NewClient(env.Clock, env.Wire, func() *register.DiskSet { return register.DiskSetIn(follower.Snapshot().Values) }, place.Zone, place.Tolerate, bounds, env.Counters, nil)
		owner.SetRedundancyChecker(kept)
	}
	core := &Core{common: c, Owner: owner, Follower: follower, Register: client}
	if place.Found {
		core.founder = founding.New(env.Clock, env.Wire, c.view, bounds, env.Counters, owner, place.Addr, place.Seeds, place.Tolerate)
		c.mount(founding.NewFoundingServer(core.founder))
	}
	c.mount(register.NewRegisterServer(owner))
	told := feed.NewService(env.Clock, owner, follower)
	c.mount(feed.NewFeedServer(told))
	access.RegisterHandlers(owner, told.AllNodesHave, func() any { return told.ReportedSettings(2 * bounds.Load().Recover) })
	core.settles = &access.Activator{Clock: env.Clock, Bounds: bounds, Counters: env.Counters, Register: client, Follower: follower, FeedEpoch: owner.FeedEpoch, AllNodesHave: told.AllNodesHave}
	core.Operate = &operate.Operate{Clock: env.Clock, Wire: env.Wire, View: c.view, Bounds: bounds, Register: client, Owner: owner, Counters: env.Counters,
		Frame: func() map[string][]byte { return follower.Snapshot().Values }}
	return core
}

func (c *Core) Start() {
	c.view.UnwellReason, c.view.KnownCluster = unwell(c.state), c.Owner.Cluster
	c.env.Clock.Go(c.view.Run)
	c.env.Clock.Go(c.Owner.Run)
	if c.founder != nil {
		c.env.Clock.Go(c.founder.Run)
	}
	c.env.Clock.Go(c.Follower.Run)
	c.env.Clock.Go(c.settles.Run)
	if c.Lister != nil {
		duty := &relay.RosterSyncer{Clock: c.env.Clock, Bounds: c.bounds, Counters: c.env.Counters, Register: c.Register, Follower: c.Follower, Lister: c.Lister,
			OwnsFeed: c.Owner.LeadsFeed, Needed: func() bool { return len(c.Follower.Snapshot().Values[route.FeedKey]) > 0 }}
		c.env.Clock.Go(duty.Run)
	}
}

// AnswerWithin is how long an operator's call may take before it is answered.
func (c *Core) AnswerWithin() time.Duration { return c.bounds.Load().Call() / 2 }

// Ready says whether this core can reach the control state.
func (c *Core) Ready() error {
	if !c.Follower.HasLease() {
		return base.Busy(503, "no_confirmed_state", 1, "the control state is not confirmed")
	}
	return nil
}

// state is what the others are told of this core: above all that it cannot reach
// a majority of the disks.
func (c *Core) state() error {
	if c.Owner.WithoutQuorum() {
		return base.Busy(503, register.NoQuorum, 1, "no majority of disks answers this core")
	}
	return c.Ready()
}

// Leave tells the fleet, so that others take this core's slots.
func (c *Core) Leave(time.Duration) {
	c.view.Leave(c.bounds.Load().Beat() * 4)
	c.Owner.AwaitHandover(c.bounds.Load().Call())
}

func (c *Core) Stop() {
	c.Owner.Close()
	c.Follower.Close()
	c.view.Close()
}

// Storage is the control plane's process that keeps a disk.
type Storage struct {
	*common
	Store  *disk.Store
	Ledger *ledger.Store
}

func NewStorage(env Env, place Place) (*Storage, error) {
	place.Role = membership.RoleStorage
	bounds := newBounds(place)
	c := newCommon(env, place, nil, bounds)
	store, err := disk.Open(env.Clock, env.Files, env.Counters)
	if err != nil {
		return nil, err
	}
	kept, err := ledger.OpenStore(ledger.StoreConfig{Clock: env.Clock, Wire: env.Wire, Files: env.Files, Bounds: bounds, Counters: env.Counters,
		FaultTolerance: place.Tolerate, LocalDisk: store.Identity})
	if err != nil {
		store.Close()
		return nil, err
	}
	store.OnIdentityChange(kept.NotifySetChange)
	service := disk.NewService(store, bounds.Load().DiskLimit())
	service.NodeName = place.Node
	c.mount(register.NewDiskServer(service))
	c.mount(ledger.NewLedgerServer(kept))
	return &Storage{common: c, Store: store, Ledger: kept}, nil
}

func (s *Storage) Start() {
	s.view.UnwellReason, s.view.KnownCluster = unwell(s.Ready), s.Store.Cluster
	s.env.Clock.Go(s.view.Run)
	s.env.Clock.Go(s.remember)
	s.env.Clock.Go(s.Ledger.Run)
}

// remember keeps the addresses of the fleet in the data folder: when all seeds
// have been replaced, the storage machines still find it after an outage.
func (s *Storage) remember() {
	kept := disk.ReadPeerAddresses(s.env.Files)
	for !s.view.Closed() {
		s.env.Clock.Sleep(s.bounds.Load().Suspect())
		if now := s.view.LiveAddresses(); s.Store.Cluster() != "" && len(now) > 0 && !slices.Equal(now, kept) {
			if disk.WritePeerAddresses(s.env.Files, now) == nil {
				kept = now
			}
		}
	}
}

func (s *Storage) Ready() error {
	if err := s.Store.Ready(); err != nil {
		return err
	}
	return s.Ledger.Ready()
}

func (s *Storage) Leave(time.Duration) { s.view.Leave(s.bounds.Load().Beat() * 4) }

func (s *Storage) Stop() {
	s.Store.Close()
	s.Ledger.Close()
	s.view.Close()
}
