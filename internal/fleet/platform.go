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
	// Root is where programs start, Folder has settings, data and logs.
	Root, Folder string
	// Commands are the programs with their arguments, by class of machine.
	Commands map[string]string
	Traffic  time.Duration
	Rate     float64 // times the site's usual
	Seed     uint64
	Troubles []Trouble
	// Closing, when set, ends the day: kill_all, wipe.
	Closing string
	// RecordFile, when set, gets everything that was seen, as JSON.
	RecordFile string
	// Formation is how long a fleet may take until it serves.
	Formation time.Duration
}

// platformPorts are the same on all machines of a run.
type platformPorts struct {
	front, readiness, control int
	inner                     [2]int
}

type machine struct {
	Process
	class   string
	ip      string
	first   bool
	settled sync.Mutex // one start or end at a time
	expect  bool       // its end is expected
	gone    bool
}

// platformWorld is a run under way.
type platformWorld struct {
	plan     *PlatformPlan
	clock    base.Clock
	rng      *rand.Rand
	rngMu    sync.Mutex
	ledger   *platform.Ledger
	words    *platform.Words
	drafts   *platform.Drafts
	list     *platform.Instances
	listed   *sockets.ListServer
	entry    *sockets.VirtualEntry
	clients  *sockets.Clients
	player   *platform.Player
	ports    platformPorts
	network  int
	hosts    int
	mu       sync.Mutex
	machines []*machine
	workers  []*sockets.WorkerServer
	faults   map[string]*workerFaults // by worker or service
	works    map[string]platform.Draw // by route prefix
	ownEnds  []string
	over     chan struct{}
	tasks    sync.WaitGroup
	programs sync.WaitGroup
	config   configState
	extra    float64      // burst
	persist  atomic.Int64 // until when turns from before a closing fault are asked for
}

func newPlatformWorld(plan *PlatformPlan) *platformWorld {
	w := &platformWorld{plan: plan, clock: base.NewRealClock(), rng: rand.New(rand.NewPCG(plan.Seed, 1)), over: make(chan struct{}),
		faults: map[string]*workerFaults{}, works: map[string]platform.Draw{}, extra: 1}
	w.ledger = platform.NewLedger(plan.Site.Bounds, plan.Site.Stride(), plan.Site.Cores)
	w.words = plan.Site.DrawWords(rand.New(rand.NewPCG(plan.Seed, 2)))
	w.drafts = &platform.Drafts{Site: plan.Site, Words: w.words, Rng: rand.New(rand.NewPCG(plan.Seed, 3))}
	w.network = os.Getpid()*7 + int(plan.Seed%1000)
	w.list = &platform.Instances{Clock: w.clock, Ledger: w.ledger, Lag: plan.Site.Bounds.ListMaxLag / 2, PerS: plan.Site.ListPerS}
	w.entry = &sockets.VirtualEntry{}
	w.clients = &sockets.Clients{Clock: w.clock, Entry: w.entry, KeepShare: 5}
	w.player = platform.NewPlayer(w.clock, w.clients, w.ledger, plan.Site, w.words, plan.Seed)
	w.player.Persist = func() time.Duration { return time.Duration(w.persist.Load()) }
	return w
}

func (w *platformWorld) draw(n int) int {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.IntN(n)
}

func (w *platformWorld) chance() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func (w *platformWorld) nextHost() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d", 10+w.network/250%200, 1+w.network%250, w.hosts)
}

// layPorts draws ports that are free where this machine looks.
func (w *platformWorld) layPorts() {
	host := w.nextHost()
	for range 50 {
		base := 7000 + 100*w.draw(200)
		w.ports = platformPorts{front: base + 49, readiness: base + 41, control: base + 44, inner: [2]int{base + 80, base + 95}}
		taken := false
		for port := base + 41; port <= base+95; port++ {
			taken = taken || !freePort(fmt.Sprintf("%s:%d", host, port))
		}
		if !taken {
			return
		}
	}
}

// lay adds a machine; nothing runs yet.
func (w *platformWorld) lay(class, zone string, number int, first bool) *machine {
	m := &machine{class: class, ip: w.nextHost(), first: first}
	m.Name, m.Role, m.Zone = platform.Place(class, zone, number), "my-"+class, zone
	if class != platform.ClassEdge {
		m.Data = filepath.Join(w.plan.Folder, m.Name, "data")
	}
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m
}

func (w *platformWorld) layAll() {
	w.layPorts()
	site := w.plan.Site
	for _, class := range []struct {
		name  string
		count int
	}{{platform.ClassStorage, site.Storage}, {platform.ClassCore, site.Cores}, {platform.ClassEdge, site.Edges}} {
		for place := range class.count {
			w.lay(class.name, site.Zones[place%len(site.Zones)], place/len(site.Zones)+1, true)
		}
	}
}

// of lists the machines of a class that are there, all for none.
func (w *platformWorld) of(class string) []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return base.Filter(w.machines, func(m *machine) bool { return !m.gone && (class == "" || m.class == class) })
}

func (w *platformWorld) at(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (w *platformWorld) controls() []string {
	return base.Map(w.of(platform.ClassCore), func(m *machine) string { return w.at(m, w.ports.control) })
}

func (w *platformWorld) settings(m *machine) *platform.Settings {
	controls := w.controls()
	serves := map[string]string{platform.ClassEdge: platform.ClassEdge, platform.ClassCore: "control", platform.ClassStorage: platform.ClassStorage}[m.class]
	return &platform.Settings{Node: m.Name, Role: m.Role, Class: m.class, Serves: serves, IP: m.ip, Zone: m.Zone, Region: w.plan.Site.Region,
		Zones: w.plan.Site.Zones, Front: w.at(m, w.ports.front), Readiness: w.at(m, w.ports.readiness), Control: w.at(m, w.ports.control),
		Ports: w.ports.inner, Seeds: controls[:min(3, len(controls))], First: m.first, Counted: m.class != platform.ClassEdge, DataDir: m.Data,
		Tolerate: 1, Bounds: w.plan.Site.Bounds, ListAddress: w.listed.Address, ListPerS: w.plan.Site.ListPerS}
}

func (w *platformWorld) settingsPath(m *machine) string {
	return filepath.Join(w.plan.Folder, m.Name, "settings.yaml")
}

func (w *platformWorld) logPath(m *machine) string {
	return filepath.Join(w.plan.Folder, m.Name+".log")
}

// tell writes a machine's settings file as they are now.
func (w *platformWorld) tell(m *machine) error {
	if err := os.MkdirAll(filepath.Dir(w.settingsPath(m)), 0o755); err != nil {
		return errors.Trace(err)
	}
	if m.Data != "" {
		if err := os.MkdirAll(m.Data, 0o755); err != nil {
			return errors.Trace(err)
		}
	}
	fresh := w.settingsPath(m) + ".new"
	if err := os.WriteFile(fresh, []byte(w.settings(m).YAML()), 0o644); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(fresh, w.settingsPath(m)))
}

// start runs a machine's process and starts it again when it ends by itself.
func (w *platformWorld) start(m *machine) error {
	m.settled.Lock()
	defer m.settled.Unlock()
	return w.startNow(m)
}

func (w *platformWorld) startNow(m *machine) error {
	w.mu.Lock()
	gone := m.gone
	w.mu.Unlock()
	// Two troubles may end on one machine: it runs one process, or none for good.
	if gone || m.Running() {
		return nil
	}
	if err := w.tell(m); err != nil {
		return err
	}
	words := strings.Fields(w.plan.Commands[m.class])
	if len(words) == 0 {
		return errors.Errorf("no command for machines of class %s", m.class)
	}
	command := exec.Command(words[0], words[1:]...)
	command.Dir = w.plan.Root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + w.settingsPath(m)}
	if err := m.launch(command, w.logPath(m)); err != nil {
		return errors.Annotate(err, m.Name)
	}
	m.first, m.expect = false, false
	at := w.clock.Now()
	w.ledger.Note(func(r *platform.Record) {
		r.Starts = append(r.Starts, platform.Start{Machine: m.Name, Class: m.class, At: at})
	})
	exited := m.exited
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		select {
		case <-w.over:
		case <-exited:
			w.ended(m, exited)
		}
	}()
	return nil
}

// ended starts a process again that ended though nobody asked it to.
func (w *platformWorld) ended(m *machine, exited chan struct{}) {
	m.settled.Lock()
	defer m.settled.Unlock()
	w.mu.Lock()
	expected := m.expect || m.gone || m.exited != exited
	w.mu.Unlock()
	if expected {
		return
	}
	code, _ := m.Wait(0)
	written, _ := os.ReadFile(w.logPath(m))
	w.mu.Lock()
	w.ownEnds = append(w.ownEnds, fmt.Sprintf("%s ended by itself with code %d at %.1fs: %s", m.Name, code, w.clock.Now().Seconds(), written[max(0, len(written)-400):]))
	many := len(w.ownEnds) > 50
	w.mu.Unlock()
	select {
	case <-w.over:
		return
	case <-time.After(500 * time.Millisecond):
	}
	if !many {
		_ = w.startNow(m)
	}
}

// down ends a process with a signal; its end is expected.
func (w *platformWorld) down(m *machine, how func()) {
	m.settled.Lock()
	m.expect = true
	m.settled.Unlock()
	how()
}

// trouble notes a trouble of a machine until the step it gives back is called.
func (w *platformWorld) trouble(kind string, m *machine, change func(t *platform.Trouble)) (end func()) {
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

// until waits for a condition, within a bound and while the run goes on.
func (w *platformWorld) until(limit time.Duration, met func() bool) bool {
	end := w.clock.Now() + limit
	for !met() {
		if w.clock.Now() > end {
			return false
		}
		w.clock.Sleep(50 * time.Millisecond)
	}
	return true
}

// form starts everything, sends the first configuration, and waits until all
// nodes that take clients are ready.
func (w *platformWorld) form() error {
	var err error
	if w.listed, err = sockets.ListenInstances(w.list, w.nextHost()+":0"); err != nil {
		return err
	}
	w.layAll()
	if err := w.openWorkers(); err != nil {
		return err
	}
	for _, m := range w.of("") {
		if err := w.start(m); err != nil {
			return err
		}
	}
	var nodes []*platform.EntryNode
	for _, m := range w.of(platform.ClassEdge) {
		nodes = append(nodes, w.entryNode(m))
	}
	w.entry.Open(nodes)
	w.config.operator = w.operator("first")
	first := w.drafts.First()
	order := w.config.operator.Put(0, first, first.Encode(), "", w.plan.Formation)
	if !order.Acked() {
		return errors.Errorf("the first configuration was not taken within %v: %d", w.plan.Formation, order.Status)
	}
	w.config.took(order)
	if !w.until(w.plan.Formation, func() bool { return w.entry.Ready() == len(nodes) }) {
		return errors.Errorf("%d of %d nodes are ready after %v", w.entry.Ready(), len(nodes), w.plan.Formation)
	}
	return nil
}

func (w *platformWorld) entryNode(m *machine) *platform.EntryNode {
	return &platform.EntryNode{Name: m.Name, Zone: m.Zone, Front: w.at(m, w.ports.front), Readiness: w.at(m, w.ports.readiness)}
}

func (w *platformWorld) operator(name string) *platform.Operator {
	return &platform.Operator{Call: sockets.CallControl, Name: name, Clock: w.clock, Ledger: w.ledger, Control: w.controls, Rng: rand.New(rand.NewPCG(w.plan.Seed, base.Hash64(name)))}
}

// stop ends everything that the run started, by its id.
func (w *platformWorld) stop() {
	close(w.over)
	w.mu.Lock()
	machines := append([]*machine(nil), w.machines...)
	w.mu.Unlock()
	for _, m := range machines {
		w.down(m, func() {
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
	if w.listed != nil {
		w.listed.Close()
	}
}

// freePort tells whether a port can be listened at on an address.
func freePort(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
