// A fleet on the platform: each machine has a loopback address of its own and
// the same ports as all others, its process is told of its place by a settings
// file, and the platform's stand-ins play round it. The commands of the roles
// are given, so that any build can be put to it.

package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"
	"fordseam/internal/standin/platform/sockets"

	"github.com/juju/errors"
)

// PlatformPlan says how a run on the platform goes.
type PlatformPlan struct {
	Site *platform.Site
	// WorkDir is where programs start, Folder has settings, data and logs.
	WorkDir, Dir string
	// Commands are the programs with their arguments, by class of machine.
	Commands        map[string]string
	TrafficDuration time.Duration
	RateFactor      float64 // times the site's usual
	Seed            uint64
	Events          []PlatformEvent
	// ClosingFault, when set, ends the day: kill_all, wipe.
	ClosingFault string
	// RecordFile, when set, gets everything that was seen, as JSON.
	RecordFile string
	// SetUpTimeout is how long a fleet may take until it serves.
	SetUpTimeout time.Duration
}

// platformPorts are the same on all machines of a run.
type platformPorts struct {
	frontPort, readinessPort, controlPort int
	internalPorts                         [2]int
}

type machine struct {
	Process
	class        string
	ip           string
	initial      bool
	lifecycleMu  sync.Mutex // one start or end at a time
	exitExpected bool       // its end is expected
	removed      bool
}

// platformRun is a run under way.
type platformRun struct {
	plan            *PlatformPlan
	clock           base.Clock
	rng             *rand.Rand
	rngMu           sync.Mutex
	ledger          *platform.Ledger
	names           *platform.Words
	drafts          *platform.Drafts
	instances       *platform.Instances
	listServer      *sockets.InstanceListServer
	entry           *sockets.LoadBalancer
	clients         *sockets.Clients
	player          *platform.Player
	ports           platformPorts
	networkIndex    int
	hostCount       int
	mu              sync.Mutex
	machines        []*machine
	workers         []*sockets.WorkerServer
	faults          map[string]*injectedFaults // by worker or service
	workByPrefix    map[string]platform.Draw   // by route prefix
	unexpectedExits []string
	done            chan struct{}
	tasks           sync.WaitGroup
	programs        sync.WaitGroup
	config          configState
	rateFactor      float64      // burst
	persistUntil    atomic.Int64 // until when turns from before a closing fault are asked for
}

func newPlatformRun(plan *PlatformPlan) *platformRun {
	w := &platformRun{plan: plan, clock: base.NewRealClock(), rng: rand.New(rand.NewPCG(plan.Seed, 1)), done: make(chan struct{}),
		faults: map[string]*injectedFaults{}, workByPrefix: map[string]platform.Draw{}, rateFactor: 1}
	w.ledger = platform.NewLedger(plan.Site.Bounds, plan.Site.Stride(), plan.Site.Cores)
	w.names = plan.Site.DrawWords(rand.New(rand.NewPCG(plan.Seed, 2)))
	w.drafts = &platform.Drafts{Site: plan.Site, Words: w.names, Rng: rand.New(rand.NewPCG(plan.Seed, 3))}
	w.networkIndex = os.Getpid()*7 + int(plan.Seed%1000)
	w.instances = &platform.Instances{Clock: w.clock, Ledger: w.ledger, Lag: plan.Site.Bounds.ListMaxLag / 2, PerS: plan.Site.ListPerS}
	w.entry = &sockets.LoadBalancer{}
	w.clients = &sockets.Clients{Clock: w.clock, NodePicker: w.entry, KeepAliveTenths: 5}
	w.player = platform.NewPlayer(w.clock, w.clients, w.ledger, plan.Site, w.names, plan.Seed)
	w.player.Persist = func() time.Duration { return time.Duration(w.persistUntil.Load()) }
	return w
}

func (w *platformRun) randomInt(n int) int {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.IntN(n)
}

func (w *platformRun) randomFloat() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func (w *platformRun) nextLoopbackAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hostCount++
	return fmt.Sprintf("127.%d.%d.%d", 10+w.networkIndex/250%200, 1+w.networkIndex%250, w.hostCount)
}

// choosePorts draws ports that are free where this machine looks.
func (w *platformRun) choosePorts() {
	host := w.nextLoopbackAddr()
	for range 50 {
		base := 7000 + 100*w.randomInt(200)
		w.ports = platformPorts{frontPort: base + 49, readinessPort: base + 41, controlPort: base + 44, internalPorts: [2]int{base + 80, base + 95}}
		taken := false
		for port := base + 41; port <= base+95; port++ {
			taken = taken || !portIsFree(fmt.Sprintf("%s:%d", host, port))
		}
		if !taken {
			return
		}
	}
}

// addMachine adds a machine; nothing runs yet.
func (w *platformRun) addMachine(class, zone string, number int, first bool) *machine {
	m := &machine{class: class, ip: w.nextLoopbackAddr(), initial: first}
	m.Name, m.Role, m.Zone = platform.Place(class, zone, number), "my-"+class, zone
	if class != platform.ClassEdge {
		m.DataDir = filepath.Join(w.plan.Dir, m.Name, "data")
	}
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m
}

func (w *platformRun) addInitialMachines() {
	w.choosePorts()
	site := w.plan.Site
	for _, class := range []struct {
		name  string
		count int
	}{{platform.ClassStorage, site.Storage}, {platform.ClassCore, site.Cores}, {platform.ClassEdge, site.Edges}} {
		for place := range class.count {
			w.addMachine(class.name, site.Zones[place%len(site.Zones)], place/len(site.Zones)+1, true)
		}
	}
}

// machinesOf lists the machines of a class that are there, all for none.
func (w *platformRun) machinesOf(class string) []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return base.Filter(w.machines, func(m *machine) bool { return !m.removed && (class == "" || m.class == class) })
}

func (w *platformRun) addrOf(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (w *platformRun) controlAddrs() []string {
	return base.Map(w.machinesOf(platform.ClassCore), func(m *machine) string { return w.addrOf(m, w.ports.controlPort) })
}

func (w *platformRun) settingsOf(m *machine) *platform.Settings {
	controls := w.controlAddrs()
	serves := map[string]string{platform.ClassEdge: platform.ClassEdge, platform.ClassCore: "control", platform.ClassStorage: platform.ClassStorage}[m.class]
	return &platform.Settings{Node: m.Name, Role: m.Role, Class: m.class, Serves: serves, IP: m.ip, Zone: m.Zone, Region: w.plan.Site.Region,
		Zones: w.plan.Site.Zones, Front: w.addrOf(m, w.ports.frontPort), Readiness: w.addrOf(m, w.ports.readinessPort), Control: w.addrOf(m, w.ports.controlPort),
		Ports: w.ports.internalPorts, Seeds: controls[:min(3, len(controls))], First: m.initial, Counted: m.class != platform.ClassEdge, DataDir: m.DataDir,
		Tolerate: 1, Bounds: w.plan.Site.Bounds, ListAddress: w.listServer.Address, ListPerS: w.plan.Site.ListPerS}
}

func (w *platformRun) settingsPath(m *machine) string {
	return filepath.Join(w.plan.Dir, m.Name, "settings.yaml")
}

func (w *platformRun) logPath(m *machine) string {
	return filepath.Join(w.plan.Dir, m.Name+".log")
}

// writeSettings writes a machine's settings file as they are now.
func (w *platformRun) writeSettings(m *machine) error {
	if err := os.MkdirAll(filepath.Dir(w.settingsPath(m)), 0o755); err != nil {
		return errors.Trace(err)
	}
	if m.DataDir != "" {
		if err := os.MkdirAll(m.DataDir, 0o755); err != nil {
			return errors.Trace(err)
		}
	}
	fresh := w.settingsPath(m) + ".new"
	if err := os.WriteFile(fresh, []byte(w.settingsOf(m).YAML()), 0o644); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(fresh, w.settingsPath(m)))
}

// start runs a machine's process and starts it again when it ends by itself.
func (w *platformRun) start(m *machine) error {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	return w.startLocked(m)
}

func (w *platformRun) startLocked(m *machine) error {
	w.mu.Lock()
	gone := m.removed
	w.mu.Unlock()
	// Two troubles may end on one machine: it runs one process, or none for good.
	if gone || m.Running() {
		return nil
	}
	if err := w.writeSettings(m); err != nil {
		return err
	}
	words := strings.Fields(w.plan.Commands[m.class])
	if len(words) == 0 {
		return errors.Errorf("no command for machines of class %s", m.class)
	}
	command := exec.Command(words[0], words[1:]...)
	command.Dir = w.plan.WorkDir
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + w.settingsPath(m)}
	if err := m.launch(command, w.logPath(m)); err != nil {
		return errors.Annotate(err, m.Name)
	}
	m.initial, m.exitExpected = false, false
	at := w.clock.Now()
	w.ledger.Note(func(r *platform.Record) {
		r.Starts = append(r.Starts, platform.Start{Machine: m.Name, Class: m.class, At: at})
	})
	exited := m.exited
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		select {
		case <-w.done:
		case <-exited:
			w.restartAfterExit(m, exited)
		}
	}()
	return nil
}

// restartAfterExit starts a process again that ended though nobody asked it to.
func (w *platformRun) restartAfterExit(m *machine, exited chan struct{}) {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	w.mu.Lock()
	expected := m.exitExpected || m.removed || m.exited != exited
	w.mu.Unlock()
	if expected {
		return
	}
	code, _ := m.Wait(0)
	written, _ := os.ReadFile(w.logPath(m))
	w.mu.Lock()
	w.unexpectedExits = append(w.unexpectedExits, fmt.Sprintf("%s ended by itself with code %d at %.1fs: %s", m.Name, code, w.clock.Now().Seconds(), written[max(0, len(written)-400):]))
	many := len(w.unexpectedExits) > 50
	w.mu.Unlock()
	select {
	case <-w.done:
		return
	case <-time.After(500 * time.Millisecond):
	}
	if !many {
		_ = w.startLocked(m)
	}
}

// stopWith ends a process with a signal; its end is expected.
func (w *platformRun) stopWith(m *machine, how func()) {
	m.lifecycleMu.Lock()
	m.exitExpected = true
	m.lifecycleMu.Unlock()
	how()
}

// recordTrouble notes a trouble of a machine until the step it gives back is called.
func (w *platformRun) recordTrouble(kind string, m *machine, change func(t *platform.Trouble)) (end func()) {
	t := &platform.Trouble{Kind: kind, Machine: m.Name, Class: m.class, From: w.clock.Now(), To: 1 << 60}
	if change != nil {
		change(t)
	}
	w.ledger.Note(func(r *platform.Record) { r.Troubles = append(r.Troubles, t) })
	return func() {
		at := w.clock.Now()
		w.ledger.Note(func(*platform.Record) { t.To = at })
	}
}

// waitUntil waits for a condition, within a bound and while the run goes on.
func (w *platformRun) waitUntil(limit time.Duration, met func() bool) bool {
	end := w.clock.Now() + limit
	for !met() {
		if w.clock.Now() > end {
			return false
		}
		w.clock.Sleep(50 * time.Millisecond)
	}
	return true
}

// setUp starts everything, sends the first configuration, and waits until all
// nodes that take clients are ready.
func (w *platformRun) setUp() error {
	var err error
	if w.listServer, err = sockets.ListenInstanceList(w.instances, w.nextLoopbackAddr()+":0"); err != nil {
		return err
	}
	w.addInitialMachines()
	if err := w.startWorkers(); err != nil {
		return err
	}
	for _, m := range w.machinesOf("") {
		if err := w.start(m); err != nil {
			return err
		}
	}
	var nodes []*platform.EntryNode
	for _, m := range w.machinesOf(platform.ClassEdge) {
		nodes = append(nodes, w.newEntryNode(m))
	}
	w.entry.Start(nodes)
	w.config.operator = w.newOperator("first")
	first := w.drafts.First()
	order := w.config.operator.Put(0, first, first.Encode(), "", w.plan.SetUpTimeout)
	if !order.Acked() {
		return errors.Errorf("the first configuration was not taken within %v: %d", w.plan.SetUpTimeout, order.Status)
	}
	w.config.setLatest(order)
	if !w.waitUntil(w.plan.SetUpTimeout, func() bool { return w.entry.Ready() == len(nodes) }) {
		return errors.Errorf("%d of %d nodes are ready after %v", w.entry.Ready(), len(nodes), w.plan.SetUpTimeout)
	}
	return nil
}

func (w *platformRun) newEntryNode(m *machine) *platform.EntryNode {
	return &platform.EntryNode{Name: m.Name, Zone: m.Zone, Front: w.addrOf(m, w.ports.frontPort), Readiness: w.addrOf(m, w.ports.readinessPort)}
}

func (w *platformRun) newOperator(name string) *platform.Operator {
	return &platform.Operator{Call: sockets.CallControl, Name: name, Clock: w.clock, Ledger: w.ledger, Control: w.controlAddrs, Rng: rand.New(rand.NewPCG(w.plan.Seed, base.Hash64(name)))}
}

// stop ends everything that the run started, by its id.
func (w *platformRun) stop() {
	close(w.done)
	w.mu.Lock()
	machines := append([]*machine(nil), w.machines...)
	w.mu.Unlock()
	for _, m := range machines {
		w.stopWith(m, func() {
			m.Signal(continueSignal)
			m.Kill()
		})
	}
	w.tasks.Wait()
	if w.entry != nil && w.config.operator != nil {
		w.entry.Close()
	}
	for _, worker := range w.workers {
		worker.Close()
	}
	if w.listServer != nil {
		w.listServer.Close()
	}
}

// portIsFree tells whether a port can be listened at on an address.
func portIsFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
