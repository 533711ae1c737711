package fleet

import (
	"fmt"
	"io"
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
	"fordseam/internal/soak"
	"fordseam/internal/standin/platform"
	"fordseam/internal/standin/platform/sockets"

	"github.com/juju/errors"
)

// PlatformPlan configures a run on the simulated platform.
type PlatformPlan struct {
	Site *platform.Deployment
	// WorkDir is the working directory of the commands. Dir contains settings, data
	// and logs.
	WorkDir, Dir string
	// Commands has the command line of each class of machines, so that any build can be
	// tested.
	Commands        map[string]string
	TrafficDuration time.Duration
	RateFactor      float64 // multiple of the site's usual rate
	Seed            uint64
	Events          []PlatformEvent
	// Schedule, if set, is run in place of Events, and ends the traffic.
	Schedule *soak.Schedule
	// ClosingFault is the fault at the end: kill_all, wipe, or none if empty.
	ClosingFault string
	// RecordFile, if set, is where all observations are written as JSON.
	RecordFile string
	// SetUpTimeout is the time within which the fleet must be ready.
	SetUpTimeout time.Duration
	// HardClients keep nearly all of their connections, and pause while they send and read.
	HardClients bool
	// MemoryMB, if above 0, is the memory of each machine in place of that of its class.
	MemoryMB int
	// Log is where the progress of the run is logged; standard error if it is nil.
	Log io.Writer
}

// platformFaultTolerance is how many machines of a platform's fleet may be lost at once.
const platformFaultTolerance = 1

// platformPorts are the ports of a machine. They are the same on all machines of a
// run.
type platformPorts struct {
	frontPort, readinessPort, controlPort int
	internalPorts                         [2]int
}

// machine is a machine of the fleet. initial is true until its first start if it is
// part of the initial fleet; removed is true once it was removed for good.
type machine struct {
	Process
	class        string
	ip           string
	initial      bool
	lifecycleMu  sync.Mutex // held while the process is started or is marked to exit
	exitExpected bool       // the run ends the process, so that it is not restarted
	removed      bool
}

// platformRun is a run of a fleet on the simulated platform. Each machine has its own
// loopback address and the same ports as all others, and its process gets its
// configuration from a settings file. The platform's workers, worker list, clients and
// operators are simulated in this process.
type platformRun struct {
	plan            *PlatformPlan
	clock           base.Clock
	rng             *rand.Rand
	rngMu           sync.Mutex
	ledger          *platform.Recorder
	names           *platform.Names
	drafts          *platform.ConfigGenerator
	instances       *platform.Instances
	listServer      *sockets.InstanceListServer
	entry           *sockets.LoadBalancer
	clients         *sockets.Clients
	player          *platform.ProgramRunner
	ports           platformPorts
	networkIndex    int
	hostCount       int
	mu              sync.Mutex
	machines        []*machine
	workers         []*sockets.WorkerServer
	faults          map[string]*injectedFaults       // by worker ID or service
	endless         map[string][]platform.Fault      // endless answers to draw from, by worker ID
	answerBytes     atomic.Int64                     // of plain workers' answers, 0 for the usual size
	workByPrefix    map[string]platform.Distribution // by route prefix
	unexpectedExits []string                         // reported as violations of the rule FAULT
	exitCount       int                              // unexpected exits, those not counted as violations too
	// observedBreaches are violations that the harness itself observed.
	observedBreaches []platform.Breach
	done             chan struct{}
	tasks            sync.WaitGroup // watchers of machine processes
	programs         sync.WaitGroup // programs of clients and probes
	config           configState
	rateFactor       float64      // raised during a burst
	persistUntil     atomic.Int64 // until when clients retry turns from before the closing fault
}

// newPlatformRun prepares a run without starting anything. Names, configurations and
// events have separate random sources, which follow from the seed.
func newPlatformRun(plan *PlatformPlan) *platformRun {
	run := &platformRun{plan: plan, clock: base.NewRealClock(), rng: rand.New(rand.NewPCG(plan.Seed, 1)), done: make(chan struct{}),
		faults: map[string]*injectedFaults{}, endless: map[string][]platform.Fault{}, workByPrefix: map[string]platform.Distribution{}, rateFactor: 1}
	run.ledger = platform.NewRecorder(plan.Site.Bounds, plan.Site.TokensPerEvent(), plan.Site.Cores)
	run.names = plan.Site.DrawNames(rand.New(rand.NewPCG(plan.Seed, 2)))
	run.drafts = &platform.ConfigGenerator{Deployment: plan.Site, Names: run.names, Rng: rand.New(rand.NewPCG(plan.Seed, 3))}
	run.networkIndex = os.Getpid()*7 + int(plan.Seed%1000)
	run.instances = &platform.Instances{Clock: run.clock, Recorder: run.ledger, Lag: plan.Site.Bounds.ListMaxLag / 2, CallsPerSecond: plan.Site.ListCallsPerSecond}
	run.entry = &sockets.LoadBalancer{}
	run.clients = &sockets.Clients{Clock: run.clock, NodePicker: run.entry, KeepAliveTenths: 5}
	if plan.HardClients {
		run.clients.KeepAliveTenths = 9
		run.clients.SendPause = run.occasionally(10, 800*time.Millisecond)
		run.clients.ReadPause = run.occasionally(10, 500*time.Millisecond)
	}
	run.player = platform.NewProgramRunner(run.clock, run.clients, run.ledger, plan.Site, run.names, plan.Seed)
	run.player.RetryUntil = func() time.Duration { return time.Duration(run.persistUntil.Load()) }
	return run
}

// occasionally returns a function that returns a random time up to a maximum in some percent
// of its calls, and else 0.
func (run *platformRun) occasionally(percent int, limit time.Duration) func() time.Duration {
	return func() time.Duration {
		if run.randomInt(100) >= percent {
			return 0
		}
		return time.Duration(run.randomFloat() * float64(limit))
	}
}

// randomInt returns a random number below n. It is safe for concurrent use.
func (run *platformRun) randomInt(n int) int {
	run.rngMu.Lock()
	defer run.rngMu.Unlock()
	return run.rng.IntN(n)
}

// randomFloat returns a random number below 1. It is safe for concurrent use.
func (run *platformRun) randomFloat() float64 {
	run.rngMu.Lock()
	defer run.rngMu.Unlock()
	return run.rng.Float64()
}

// hostsPerNetwork is how many addresses of one loopback network a run uses before it goes on
// to another network.
const hostsPerNetwork = 250

// nextLoopbackAddr returns a loopback address that is not used yet in this run.
func (run *platformRun) nextLoopbackAddr() string {
	run.mu.Lock()
	defer run.mu.Unlock()
	network := run.networkIndex + 101*(run.hostCount/hostsPerNetwork)
	host := 1 + run.hostCount%hostsPerNetwork
	run.hostCount++
	return fmt.Sprintf("127.%d.%d.%d", 10+network/250%200, 1+network%250, host)
}

// choosePorts chooses random ports. It probes them on one loopback address only, and
// keeps the last ones after 50 attempts.
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

// addMachine adds a machine without starting its process.
func (run *platformRun) addMachine(class, zone string, number int, initial bool) *machine {
	m := &machine{class: class, ip: run.nextLoopbackAddr(), initial: initial}
	m.Name, m.Role, m.Zone = platform.MachineName(class, zone, number), "my-"+class, zone
	if class != platform.ClassEdge {
		m.DataDir = filepath.Join(run.plan.Dir, m.Name, "data")
	}
	run.mu.Lock()
	run.machines = append(run.machines, m)
	run.mu.Unlock()
	return m
}

// addInitialMachines chooses the ports and adds the machines of the site.
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

// machinesOf returns the machines of a class that are not removed, or of all classes if
// class is empty.
func (run *platformRun) machinesOf(class string) []*machine {
	run.mu.Lock()
	defer run.mu.Unlock()
	return base.Filter(run.machines, func(m *machine) bool { return !m.removed && (class == "" || m.class == class) })
}

func (run *platformRun) addrOf(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// controlAddrs returns the control addresses of the core machines.
func (run *platformRun) controlAddrs() []string {
	return base.Map(run.machinesOf(platform.ClassCore), func(m *machine) string { return run.addrOf(m, run.ports.controlPort) })
}

// settingsOf returns the current settings of a machine.
func (run *platformRun) settingsOf(m *machine) *platform.Settings {
	controlAddrs := run.controlAddrs()
	servedRole := map[string]string{platform.ClassEdge: platform.ClassEdge, platform.ClassCore: "control", platform.ClassStorage: platform.ClassStorage}[m.class]
	return &platform.Settings{Node: m.Name, Role: m.Role, Class: m.class, Serves: servedRole, IP: m.ip, Zone: m.Zone, Region: run.plan.Site.Region,
		Zones: run.plan.Site.Zones, Front: run.addrOf(m, run.ports.frontPort), Readiness: run.addrOf(m, run.ports.readinessPort), Control: run.addrOf(m, run.ports.controlPort),
		Ports: run.ports.internalPorts, Seeds: controlAddrs[:min(3, len(controlAddrs))], Bootstrap: m.initial, LossCounted: m.class != platform.ClassEdge, DataDir: m.DataDir,
		FaultTolerance: platformFaultTolerance, Bounds: run.plan.Site.Bounds, ListAddress: run.listServer.Address, ListCallsPerSecond: run.plan.Site.ListCallsPerSecond, MemoryMB: run.plan.MemoryMB}
}

func (run *platformRun) settingsPath(m *machine) string {
	return filepath.Join(run.plan.Dir, m.Name, "settings.yaml")
}

func (run *platformRun) logPath(m *machine) string {
	return filepath.Join(run.plan.Dir, m.Name+".log")
}

// writeSettings atomically replaces the settings file of a machine, and creates its
// data directory.
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

// start starts the process of a machine, and restarts it when it exits unexpectedly.
func (run *platformRun) start(m *machine) error {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	return run.startLocked(m)
}

// startLocked is start for callers that hold m.lifecycleMu.
func (run *platformRun) startLocked(m *machine) error {
	run.mu.Lock()
	removed := m.removed
	run.mu.Unlock()
	// Two events may affect the same machine. It must not run two processes, and none
	// after it was removed.
	if removed || m.Running() {
		return nil
	}
	if err := run.writeSettings(m); err != nil {
		return err
	}
	commandLine := strings.Fields(run.plan.Commands[m.class])
	if len(commandLine) == 0 {
		return errors.Errorf("no command is configured for machines of class %q", m.class)
	}
	command := exec.Command(commandLine[0], commandLine[1:]...)
	command.Dir = run.plan.WorkDir
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + run.settingsPath(m)}
	if err := m.launch(command, run.logPath(m)); err != nil {
		return errors.Annotate(err, m.Name)
	}
	m.initial, m.exitExpected = false, false
	startedAt := run.clock.Now()
	run.ledger.Update(func(r *platform.Record) {
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

// restartAfterExit records an unexpected exit of the process and starts it again. After
// 50 unexpected exits in the run, processes are no longer restarted.
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
	logContent, _ := os.ReadFile(run.logPath(m))
	description := fmt.Sprintf("%s exited unexpectedly with code %d at %.1fs: %s", m.Name, exitCode, run.clock.Now().Seconds(), logContent[max(0, len(logContent)-400):])
	if run.inTrouble(m.Name) {
		run.logf("not counted, because of the trouble of its machine: %s", description)
	} else {
		run.mu.Lock()
		run.unexpectedExits = append(run.unexpectedExits, description)
		run.mu.Unlock()
	}
	run.mu.Lock()
	run.exitCount++
	tooMany := run.exitCount > 50
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

// troubleSlack is how long after a trouble of its machine a process may end by itself: the
// rules do not count such an end.
const troubleSlack = time.Second

// inTrouble reports whether a machine has a trouble that may end its process, or had one until
// troubleSlack ago. A reload of its settings is none.
func (run *platformRun) inTrouble(machine string) (found bool) {
	now := run.clock.Now()
	run.ledger.Update(func(r *platform.Record) {
		for _, trouble := range r.Troubles {
			found = found || trouble.Machine == machine && !trouble.Hup && !survivableTroubles[trouble.Kind] && trouble.To >= now-troubleSlack
		}
	})
	return found
}

// stopWith marks the exit of the process as expected and calls stop to end it.
func (run *platformRun) stopWith(m *machine, stop func()) {
	m.lifecycleMu.Lock()
	m.exitExpected = true
	m.lifecycleMu.Unlock()
	stop()
}

// recordTrouble records a trouble of a machine that lasts until the returned function
// is called.
func (run *platformRun) recordTrouble(kind string, m *machine, configure func(trouble *platform.Trouble)) (end func()) {
	trouble := &platform.Trouble{Kind: kind, Machine: m.Name, Class: m.class, From: run.clock.Now(), To: 1 << 60}
	if configure != nil {
		configure(trouble)
	}
	run.ledger.Update(func(r *platform.Record) { r.Troubles = append(r.Troubles, trouble) })
	return func() {
		endedAt := run.clock.Now()
		run.ledger.Update(func(*platform.Record) { trouble.To = endedAt })
	}
}

// waitUntil polls until the condition is true, and returns false after the timeout.
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

// setUp starts the worker list, the workers and all machines, submits the first
// configuration, and waits until all nodes that serve clients are ready.
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
	var nodes []*platform.EdgeNode
	for _, m := range run.machinesOf(platform.ClassEdge) {
		nodes = append(nodes, run.newEntryNode(m))
	}
	run.entry.Start(nodes)
	run.config.operator = run.newOperator("first")
	config := run.drafts.Initial()
	order := run.config.operator.PutConfig(0, config, config.Encode(), "", run.plan.SetUpTimeout)
	if !order.Acked() {
		return errors.Errorf("the first configuration was not acknowledged within %v: status %d", run.plan.SetUpTimeout, order.Status)
	}
	run.config.setLatest(order)
	if !run.waitUntil(run.plan.SetUpTimeout, func() bool { return run.entry.CountReady() == len(nodes) }) {
		return errors.Errorf("only %d of %d nodes are ready after %v", run.entry.CountReady(), len(nodes), run.plan.SetUpTimeout)
	}
	return nil
}

func (run *platformRun) newEntryNode(m *machine) *platform.EdgeNode {
	return &platform.EdgeNode{Name: m.Name, Zone: m.Zone, Front: run.addrOf(m, run.ports.frontPort), Readiness: run.addrOf(m, run.ports.readinessPort)}
}

// newOperator returns an operator whose random choices follow from the seed and its
// name.
func (run *platformRun) newOperator(name string) *platform.Operator {
	return &platform.Operator{Call: sockets.CallControl, Name: name, Clock: run.clock, Recorder: run.ledger, Control: run.controlAddrs, Rng: rand.New(rand.NewPCG(run.plan.Seed, base.Hash64(name)))}
}

// stop ends all processes and servers that the run has started. It signals processes by
// their IDs, and resumes frozen ones first.
func (run *platformRun) stop() {
	close(run.done)
	run.mu.Lock()
	machines := append([]*machine(nil), run.machines...)
	run.mu.Unlock()
	for _, m := range machines {
		run.stopWith(m, func() {
			m.Signal(resumeSignal)
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

// portIsFree reports whether it is possible to listen on the address.
func portIsFree(addr string) bool {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
