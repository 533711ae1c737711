// Troubles of a run on the platform, by the names that the platform has for
// them, each at its time: KIND[:CLASS]@SECONDS[+FOR][,option...].

package fleet

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

const continueSignal = syscall.SIGCONT

// PlatformEvent is one planned trouble.
type PlatformEvent struct {
	Kind     string
	Target   string // class of machine, or service
	At       time.Duration
	Duration time.Duration
	Count    int
	Share    float64
	Interval time.Duration
	WipeDisk bool
}

// PlatformEventKinds are the troubles that a run can bring about.
var PlatformEventKinds = []string{"node_kill", "node_freeze", "roll_term", "settings_hup", "kill_all", "replace_core", "add_nodes", "retire", "after_ack_kill",
	"release", "worker_crash", "answer_lost", "garble", "worker_slow", "worker_grey", "worker_flap", "worker_forget", "list_down", "burst", "config_change", "config_race", "bad_config"}

// ParsePlatformEvent reads a trouble as it is written on a command line.
func ParsePlatformEvent(spec string) (PlatformEvent, error) {
	parts := strings.Split(spec, ",")
	head, timing, ok := strings.Cut(parts[0], "@")
	event := PlatformEvent{Count: 1, Interval: time.Second}
	event.Kind, event.Target, _ = strings.Cut(head, ":")
	if !ok || !slices.Contains(PlatformEventKinds, event.Kind) {
		return event, errors.Errorf("trouble %q must be KIND[:CLASS]@SECONDS[+FOR][,wipe][,count=N][,share=N][,gap=SECONDS] with a KIND of %s", spec, strings.Join(PlatformEventKinds, ", "))
	}
	seconds := func(text string) time.Duration {
		value, err := strconv.ParseFloat(text, 64)
		ok = ok && err == nil && value >= 0
		return time.Duration(value * float64(time.Second))
	}
	at, duration, hasDuration := strings.Cut(timing, "+")
	event.At, event.Duration = seconds(at), 3*time.Second
	if hasDuration {
		event.Duration = seconds(duration)
	}
	for _, option := range parts[1:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "wipe":
			event.WipeDisk = true
		case "count":
			count, err := strconv.Atoi(value)
			event.Count, ok = count, ok && err == nil && count > 0
		case "share":
			share, err := strconv.ParseFloat(value, 64)
			event.Share, ok = share, ok && err == nil && share > 0
		case "gap":
			event.Interval = seconds(value)
		default:
			ok = false
		}
	}
	if !ok {
		return event, errors.Errorf("trouble %q: bad time or option", spec)
	}
	return event, nil
}

// classOr is the class of machine that a trouble is on.
func (e *PlatformEvent) classOr(fallback string) string {
	switch e.Target {
	case "":
		return fallback
	case "store":
		return platform.ClassStorage
	case "front":
		return platform.ClassEdge
	}
	return e.Target
}

// runEvent brings a trouble about and returns when it is over.
func (run *platformRun) runEvent(event PlatformEvent) error {
	switch event.Kind {
	case "node_kill":
		return run.applyToSome(event.classOr(platform.ClassEdge), event, func(m *machine) error { return run.killAndRestart(m, event) })
	case "node_freeze":
		return run.applyToSome(event.classOr(platform.ClassEdge), event, func(m *machine) error { return run.freeze(m, event.Duration) })
	case "roll_term":
		return run.rollingRestart(run.machinesOf(event.classOr(platform.ClassEdge)), event)
	case "settings_hup":
		return run.applyToSome(event.classOr(platform.ClassEdge), event, run.reloadSettings)
	case "kill_all":
		return run.killAndRestartAll(event.Duration, event.WipeDisk)
	case "replace_core":
		return run.applyToSome(event.classOr(platform.ClassStorage), PlatformEvent{Count: 1}, func(m *machine) error { return run.replaceMachine(m, event.Duration) })
	case "add_nodes":
		return run.addNode(event.classOr(platform.ClassEdge))
	case "retire":
		return run.retireStorage(event.Duration)
	case "after_ack_kill":
		return run.killAfterAck(event)
	case "release":
		run.releaseNewVersion(event.classOr("app"), orDefault(event.Share, 0.5), event.Interval)
	case "worker_crash":
		workers := run.activeWorkers(event.Target)
		for index := range min(event.Count, len(workers)) {
			run.crashWorker(workers[index])
		}
	case "answer_lost":
		run.injectFaults(run.names.Services[event.classOr("app")], orDefault(event.Share, 0.05), event.Duration, platform.LostReset, platform.LostSilent)
	case "garble":
		run.injectFaults(run.names.Services[event.classOr("app")], orDefault(event.Share, 0.03), event.Duration, platform.Garbled, platform.Cut, platform.Extra, platform.LateExtra)
	case "worker_slow":
		run.injectFaults(run.names.Services[event.classOr("app")], orDefault(event.Share, 0.3), event.Duration, platform.Slow)
	case "worker_grey":
		return run.applyToOneWorker(event, run.degradeWorker)
	case "worker_flap":
		return run.applyToOneWorker(event, run.flapHealth)
	case "worker_forget":
		for _, s := range run.activeWorkers(event.classOr("app")) {
			s.SetSilentDropAfter(event.Interval)
		}
		run.clock.Sleep(event.Duration)
		for _, s := range run.activeWorkers(event.classOr("app")) {
			s.SetSilentDropAfter(0)
		}
	case "list_down":
		end := run.recordTrouble(event.Kind, &machine{Process: Process{Name: "list"}, class: "list"}, nil)
		run.instances.SetDown(true)
		run.clock.Sleep(event.Duration)
		run.instances.SetDown(false)
		end()
	case "burst":
		run.setRateFactor(orDefault(event.Share, 2))
		run.clock.Sleep(event.Duration)
		run.setRateFactor(1)
	case "config_change":
		run.changeConfig()
	case "config_race":
		for range event.Count {
			run.submitConflictingConfigs()
			run.clock.Sleep(event.Interval)
		}
	case "bad_config":
		run.submitInvalidConfigs(max(event.Count, len(platform.InvalidKinds)), event.Interval)
	}
	return nil
}

func orDefault(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

// applyToSome brings a step to several machines of a class at once, drawn.
func (run *platformRun) applyToSome(class string, event PlatformEvent, step func(m *machine) error) error {
	machines := run.machinesOf(class)
	if len(machines) == 0 {
		return errors.Errorf("no machine of class %q", class)
	}
	run.rngMu.Lock()
	run.rng.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	run.rngMu.Unlock()
	count := event.Count
	if event.Share > 0 {
		count = int(event.Share*float64(len(machines)) + 0.5)
	}
	return run.forEach(machines[:min(max(count, 1), len(machines))], step)
}

func (run *platformRun) forEach(machines []*machine, step func(m *machine) error) error {
	errs := make([]error, len(machines))
	var group sync.WaitGroup
	for index, m := range machines {
		group.Add(1)
		go func() {
			defer group.Done()
			errs[index] = step(m)
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (run *platformRun) wipeDisk(m *machine) error {
	if m.DataDir == "" {
		return nil
	}
	return errors.Trace(os.RemoveAll(m.DataDir))
}

func (run *platformRun) killAndRestart(m *machine, event PlatformEvent) error {
	end := run.recordTrouble(event.Kind, m, nil)
	run.stopWith(m, m.Kill)
	if event.WipeDisk {
		if err := run.wipeDisk(m); err != nil {
			return err
		}
	}
	run.clock.Sleep(event.Duration)
	err := run.start(m)
	end()
	return err
}

func (run *platformRun) freeze(m *machine, duration time.Duration) error {
	end := run.recordTrouble("node_freeze", m, nil)
	m.Signal(syscall.SIGSTOP)
	run.clock.Sleep(duration)
	m.Signal(syscall.SIGCONT)
	end()
	return nil
}

// stopGracefully sends SIGTERM, then SIGKILL after the grace.
func (run *platformRun) stopGracefully(m *machine) {
	run.stopWith(m, func() {
		m.Signal(syscall.SIGTERM)
		if _, exited := m.Wait(run.plan.Site.Bounds.Grace); !exited {
			m.Kill()
		}
	})
}

func (run *platformRun) rollingRestart(machines []*machine, event PlatformEvent) error {
	count := len(machines)
	if event.Share > 0 {
		count = int(event.Share*float64(len(machines)) + 0.5)
	}
	for _, m := range machines[:min(max(count, 1), len(machines))] {
		end := run.recordTrouble("roll_term", m, func(trouble *platform.Trouble) { trouble.Term = true })
		run.stopGracefully(m)
		run.clock.Sleep(300 * time.Millisecond)
		err := run.start(m)
		end()
		if err != nil {
			return err
		}
		run.clock.Sleep(event.Interval)
	}
	return nil
}

func (run *platformRun) reloadSettings(m *machine) error {
	end := run.recordTrouble("settings_hup", m, func(trouble *platform.Trouble) { trouble.Hup = true })
	defer end()
	if err := run.writeSettings(m); err != nil {
		return err
	}
	m.Signal(syscall.SIGHUP)
	return nil
}

// killAndRestartAll kills every process and starts all again; with wipe, one machine
// that counts loses its disk.
func (run *platformRun) killAndRestartAll(downtime time.Duration, wipe bool) error {
	machines := run.machinesOf("")
	var endTroubles []func()
	for _, m := range machines {
		endTroubles = append(endTroubles, run.recordTrouble("kill_all", m, nil))
	}
	if err := run.forEach(machines, func(m *machine) error {
		run.stopWith(m, m.Kill)
		return nil
	}); err != nil {
		return err
	}
	if wipe {
		storage := run.machinesOf(platform.ClassStorage)
		if err := run.wipeDisk(storage[run.randomInt(len(storage))]); err != nil {
			return err
		}
	}
	run.clock.Sleep(downtime)
	err := run.forEach(machines, run.start)
	for _, end := range endTroubles {
		end()
	}
	return err
}

// removeMachine takes a machine away for good, with its disk.
func (run *platformRun) removeMachine(m *machine) error {
	run.stopWith(m, m.Kill)
	run.mu.Lock()
	m.removed = true
	run.mu.Unlock()
	return run.wipeDisk(m)
}

func (run *platformRun) nextNumber(class string) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return 1 + len(base.Filter(run.machines, func(m *machine) bool { return m.class == class }))
}

// replaceMachine puts an empty machine at another address in a lost one's place.
func (run *platformRun) replaceMachine(m *machine, downtime time.Duration) error {
	end := run.recordTrouble("replace_core", m, nil)
	defer end()
	if err := run.removeMachine(m); err != nil {
		return err
	}
	run.clock.Sleep(downtime)
	return run.start(run.addMachine(m.class, m.Zone, run.nextNumber(m.class), false))
}

func (run *platformRun) addNode(class string) error {
	zones := run.plan.Site.Zones
	m := run.addMachine(class, zones[run.randomInt(len(zones))], run.nextNumber(class), false)
	if err := run.start(m); err != nil {
		return err
	}
	if class == platform.ClassEdge {
		run.entry.Add(run.newEntryNode(m))
	}
	return nil
}

// retireStorage has a storage machine emptied and takes it away once it is.
func (run *platformRun) retireStorage(duration time.Duration) error {
	storage := run.machinesOf(platform.ClassStorage)
	m := storage[run.randomInt(len(storage))]
	if err := run.newOperator("retire").Retire(m.Name, max(duration, time.Second), duration+run.plan.Site.Bounds.Ack); err != nil {
		run.logf("%v", err)
		return nil
	}
	end := run.recordTrouble("retire", m, func(trouble *platform.Trouble) { trouble.Term = true })
	defer end()
	return run.removeMachine(m)
}

// killAfterAck kills the machine that has just acknowledged a configuration, or a
// storage machine at that moment.
func (run *platformRun) killAfterAck(event PlatformEvent) error {
	order := run.changeConfig()
	if event.classOr(platform.ClassCore) == platform.ClassStorage {
		return run.applyToSome(platform.ClassStorage, event, func(m *machine) error { return run.killAndRestart(m, event) })
	}
	for _, m := range run.machinesOf(platform.ClassCore) {
		if order.Acked() && run.addrOf(m, run.ports.controlPort) == order.Node {
			return run.killAndRestart(m, event)
		}
	}
	return nil
}

func (run *platformRun) logf(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%6.1fs  %s\n", run.clock.Now().Seconds(), fmt.Sprintf(format, args...))
}
