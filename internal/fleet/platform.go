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
	run := &platformRun{plan: plan, clock: base.NewRealClock(), rng: rand.New(rand.NewPCG(plan.Seed, 1)), done: make(chan struct{}),
		faults: map[string]*injectedFaults{}, workByPrefix: map[string]platform.Draw{}, rateFactor: 1}
	run.ledger = platform.NewLedger(plan.Site.Bounds, plan.Site.Stride(), plan.Site.Cores)
	run.names = plan.Site.DrawWords(rand.New(rand.NewPCG(plan.Seed, 2)))
	run.drafts = &platform.Drafts{Site: plan.Site, Words: run.names, Rng: rand.New(rand.NewPCG(plan.Seed, 3))}
	run.networkIndex = os.Getpid()*7 + int(plan.Seed%1000)
	run.instances = &platform.Instances{Clock: run.clock, Ledger: run.ledger, Lag: plan.Site.Bounds.ListMaxLag / 2, PerS: plan.Site.ListPerS}
	run.entry = &sockets.LoadBalancer{}
	run.clients = &sockets.Clients{Clock: run.clock, NodePicker: run.entry, KeepAliveTenths: 5}
	run.player = platform.NewPlayer(run.clock, run.clients, run.ledger, plan.Site, run.names, plan.Seed)
	run.player.Persist = func() time.Duration { return time.Duration(run.persistUntil.Load()) }
	return run
}

func (run *platformRun) randomInt(n int) int {
	run.rngMu.Lock()
	defer run.rngMu.Unlock()
	return run.rng.IntN(n)
}

func (run *platformRun) randomFloat() float64 {
	run.rngMu.Lock()
	defer run.rngMu.Unlock()
	return run.rng.Float64()
}

func (run *platformRun) nextLoopbackAddr() string {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.hostCount++
	return fmt.Sprintf("127.%d.%d.%d", 10+run.networkIndex/250%200, 1+run.networkIndex%250, run.hostCount)
}

// choosePorts draws ports that are free where this machine looks.
func (run *platformRun) choosePorts() {
	host := run.nextLoopbackAddr()
	for range 50 {
		basePort := 7000 + 100*run.randomInt(200)
		run.ports = platformPorts{frontPort: basePort + 49, readinessPort: basePort + 41, controlPort: basePort + 44, internalPorts: [2]int{basePort + 80, basePort + 95}}
		occupied := false
		for port := basePort + 41; port <= basePort+95; port++ {
			occupied = occupied || !portIsFree(fmt.Sprintf("%s:%d", host, port))
		}
		if !occupied {
			return
		}
	}
}

// addMachine adds a machine; nothing runs yet.
func (run *platformRun) addMachine(class, zone string, number int, initial bool) *machine {
	m := &machine{class: class, ip: run.nextLoopbackAddr(), initial: initial}
	m.Name, m.Role, m.Zone = platform.Place(class, zone, number), "my-"+class, zone
	if class != platform.ClassEdge {
		m.DataDir = filepath.Join(run.plan.Dir, m.Name, "data")
	}
	run.mu.Lock()
	run.machines = append(run.machines, m)
	run.mu.Unlock()
	return m
}

func (run *platformRun) addInitialMachines() {
	run.choosePorts()
	site := run.plan.Site
	for _, class := range []struct {
		name  string
		count int
	}{{platform.ClassStorage, site.Storage}, {platform.ClassCore, site.Cores}, {platform.ClassEdge, site.Edges}} {
		for index := range class.count {
			run.addMachine(class.name, site.Zones[index%len(site.Zones)], index/len(site.Zones)+1, true)
		}
	}
}

// machinesOf lists the machines of a class that are there, all for none.
func (run *platformRun) machinesOf(class string) []*machine {
	run.mu.Lock()
	defer run.mu.Unlock()
	return base.Filter(run.machines, func(m *machine) bool { return !m.removed && (class == "" || m.class == class) })
}

func (run *platformRun) addrOf(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (run *platformRun) controlAddrs() []string {
	return base.Map(run.machinesOf(platform.ClassCore), func(m *machine) string { return run.addrOf(m, run.ports.controlPort) })
}

func (run *platformRun) settingsOf(m *machine) *platform.Settings {
	controlAddrs := run.controlAddrs()
	servedRole := map[string]string{platform.ClassEdge: platform.ClassEdge, platform.ClassCore: "control", platform.ClassStorage: platform.ClassStorage}[m.class]
	return &platform.Settings{Node: m.Name, Role: m.Role, Class: m.class, Serves: servedRole, IP: m.ip, Zone: m.Zone, Region: run.plan.Site.Region,
		Zones: run.plan.Site.Zones, Front: run.addrOf(m, run.ports.frontPort), Readiness: run.addrOf(m, run.ports.readinessPort), Control: run.addrOf(m, run.ports.controlPort),
		Ports: run.ports.internalPorts, Seeds: controlAddrs[:min(3, len(controlAddrs))], First: m.initial, Counted: m.class != platform.ClassEdge, DataDir: m.DataDir,
		Tolerate: 1, Bounds: run.plan.Site.Bounds, ListAddress: run.listServer.Address, ListPerS: run.plan.Site.ListPerS}
}

func (run *platformRun) settingsPath(m *machine) string {
	return filepath.Join(run.plan.Dir, m.Name, "settings.yaml")
}

func (run *platformRun) logPath(m *machine) string {
	return filepath.Join(run.plan.Dir, m.Name+".log")
}

// writeSettings writes a machine's settings file as they are now.
func (run *platformRun) writeSettings(m *machine) error {
	if err := os.MkdirAll(filepath.Dir(run.settingsPath(m)), 0o755); err != nil {
		return errors.Trace(err)
	}
	if m.DataDir != "" {
		if err := os.MkdirAll(m.DataDir, 0o755); err != nil {
			return errors.Trace(err)
		}
	}
	newPath := run.settingsPath(m) + ".new"
	if err := os.WriteFile(newPath, []byte(run.settingsOf(m).YAML()), 0o644); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(newPath, run.settingsPath(m)))
}

// start runs a machine's process and starts it again when it ends by itself.
func (run *platformRun) start(m *machine) error {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	return run.startLocked(m)
}

func (run *platformRun) startLocked(m *machine) error {
	run.mu.Lock()
	removed := m.removed
	run.mu.Unlock()
	// Two troubles may end on one machine: it runs one process, or none for good.
	if removed || m.Running() {
		return nil
	}
	if err := run.writeSettings(m); err != nil {
		return err
	}
	commandLine := strings.Fields(run.plan.Commands[m.class])
	if len(commandLine) == 0 {
		return errors.Errorf("no command for machines of class %s", m.class)
	}
	command := exec.Command(commandLine[0], commandLine[1:]...)
	command.Dir = run.plan.WorkDir
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + run.settingsPath(m)}
	if err := m.launch(command, run.logPath(m)); err != nil {
		return errors.Annotate(err, m.Name)
	}
	m.initial, m.exitExpected = false, false
	startedAt := run.clock.Now()
	run.ledger.Note(func(r *platform.Record) {
		r.Starts = append(r.Starts, platform.Start{Machine: m.Name, Class: m.class, At: startedAt})
	})
	exited := m.exited
	run.tasks.Add(1)
	go func() {
		defer run.tasks.Done()
		select {
		case <-run.done:
		case <-exited:
			run.restartAfterExit(m, exited)
		}
	}()
	return nil
}

// restartAfterExit starts a process again that ended though nobody asked it to.
func (run *platformRun) restartAfterExit(m *machine, exited chan struct{}) {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	run.mu.Lock()
	expected := m.exitExpected || m.removed || m.exited != exited
	run.mu.Unlock()
	if expected {
		return
	}
	exitCode, _ := m.Wait(0)
	log, _ := os.ReadFile(run.logPath(m))
	run.mu.Lock()
	run.unexpectedExits = append(run.unexpectedExits, fmt.Sprintf("%s ended by itself with code %d at %.1fs: %s", m.Name, exitCode, run.clock.Now().Seconds(), log[max(0, len(log)-400):]))
	tooMany := len(run.unexpectedExits) > 50
	run.mu.Unlock()
	select {
	case <-run.done:
		return
	case <-time.After(500 * time.Millisecond):
	}
	if !tooMany {
		_ = run.startLocked(m)
	}
}

// stopWith ends a process with a signal; its end is expected.
func (run *platformRun) stopWith(m *machine, stop func()) {
	m.lifecycleMu.Lock()
	m.exitExpected = true
	m.lifecycleMu.Unlock()
	stop()
}

// recordTrouble notes a trouble of a machine until the step it gives back is called.
func (run *platformRun) recordTrouble(kind string, m *machine, configure func(trouble *platform.Trouble)) (end func()) {
	trouble := &platform.Trouble{Kind: kind, Machine: m.Name, Class: m.class, From: run.clock.Now(), To: 1 << 60}
	if configure != nil {
		configure(trouble)
	}
	run.ledger.Note(func(r *platform.Record) { r.Troubles = append(r.Troubles, trouble) })
	return func() {
		endedAt := run.clock.Now()
		run.ledger.Note(func(*platform.Record) { trouble.To = endedAt })
	}
}

// waitUntil waits for a condition, within a bound and while the run goes on.
func (run *platformRun) waitUntil(timeout time.Duration, condition func() bool) bool {
	deadline := run.clock.Now() + timeout
	for !condition() {
		if run.clock.Now() > deadline {
			return false
		}
		run.clock.Sleep(50 * time.Millisecond)
	}
	return true
}

// setUp starts everything, sends the first configuration, and waits until all
// nodes that take clients are ready.
func (run *platformRun) setUp() error {
	var err error
	if run.listServer, err = sockets.ListenInstanceList(run.instances, run.nextLoopbackAddr()+":0"); err != nil {
		return err
	}
	run.addInitialMachines()
	if err := run.startWorkers(); err != nil {
		return err
	}
	for _, m := range run.machinesOf("") {
		if err := run.start(m); err != nil {
			return err
		}
	}
	var nodes []*platform.EntryNode
	for _, m := range run.machinesOf(platform.ClassEdge) {
		nodes = append(nodes, run.newEntryNode(m))
	}
	run.entry.Start(nodes)
	run.config.operator = run.newOperator("first")
	config := run.drafts.First()
	order := run.config.operator.Put(0, config, config.Encode(), "", run.plan.SetUpTimeout)
	if !order.Acked() {
		return errors.Errorf("the first configuration was not taken within %v: %d", run.plan.SetUpTimeout, order.Status)
	}
	run.config.setLatest(order)
	if !run.waitUntil(run.plan.SetUpTimeout, func() bool { return run.entry.Ready() == len(nodes) }) {
		return errors.Errorf("%d of %d nodes are ready after %v", run.entry.Ready(), len(nodes), run.plan.SetUpTimeout)
	}
	return nil
}

func (run *platformRun) newEntryNode(m *machine) *platform.EntryNode {
	return &platform.EntryNode{Name: m.Name, Zone: m.Zone, Front: run.addrOf(m, run.ports.frontPort), Readiness: run.addrOf(m, run.ports.readinessPort)}
}

func (run *platformRun) newOperator(name string) *platform.Operator {
	return &platform.Operator{Call: sockets.CallControl, Name: name, Clock: run.clock, Ledger: run.ledger, Control: run.controlAddrs, Rng: rand.New(rand.NewPCG(run.plan.Seed, base.Hash64(name)))}
}

// stop ends everything that the run started, by its id.
func (run *platformRun) stop() {
	close(run.done)
	run.mu.Lock()
	machines := append([]*machine(nil), run.machines...)
	run.mu.Unlock()
	for _, m := range machines {
		run.stopWith(m, func() {
			m.Signal(continueSignal)
			m.Kill()
		})
	}
	run.tasks.Wait()
	if run.entry != nil && run.config.operator != nil {
		run.entry.Close()
	}
	for _, worker := range run.workers {
		worker.Close()
	}
	if run.listServer != nil {
		run.listServer.Close()
	}
}

// portIsFree tells whether a port can be listened at on an address.
func portIsFree(addr string) bool {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
