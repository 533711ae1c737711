package fleet

import (
	"fmt"
	"io"
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

const resumeSignal = syscall.SIGCONT

// PlatformEvent is a fault or planned operation at a time of the run. On the command
// line and in the record it is called a trouble.
type PlatformEvent struct {
	Kind     string
	Target   string        // class of machines, or service
	At       time.Duration // since the start of traffic
	Duration time.Duration
	Count    int
	Share    float64
	Interval time.Duration // between repetitions
	WipeDisk bool
	// Form and Status are those of endless answers: by default events, behind 200.
	Form   platform.EndlessForm
	Status int
}

// PlatformEventKinds are the supported kinds of events.
var PlatformEventKinds = []string{"node_kill", "node_freeze", "roll_term", "settings_hup", "kill_all", "replace_core", "add_nodes", "retire", "after_ack_kill",
	"release", "worker_crash", "answer_lost", "garble", "worker_slow", "worker_grey", "worker_flap", "worker_forget", "worker_endless", "list_down", "list_endless", "burst", "config_change", "config_race", "bad_config"}

// ParsePlatformEvent parses an event from the command line, which has the form
// KIND[:CLASS]@SECONDS[+FOR][,option...].
func ParsePlatformEvent(spec string) (PlatformEvent, error) {
	parts := strings.Split(spec, ",")
	head, timing, ok := strings.Cut(parts[0], "@")
	event := PlatformEvent{Count: 1, Interval: time.Second}
	event.Kind, event.Target, _ = strings.Cut(head, ":")
	if !ok || !slices.Contains(PlatformEventKinds, event.Kind) {
		return event, errors.Errorf("trouble %q must be KIND[:CLASS]@SECONDS[+FOR][,wipe][,count=N][,share=N][,gap=SECONDS][,form=FORM][,status=N] with a KIND of %s", spec, strings.Join(PlatformEventKinds, ", "))
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
		case "form":
			event.Form, ok = platform.EndlessForm(value), ok && slices.Contains(platform.EndlessForms, platform.EndlessForm(value))
		case "status":
			status, err := strconv.Atoi(value)
			event.Status, ok = status, ok && err == nil && status >= 100 && status <= 599
		case "gap":
			event.Interval = seconds(value)
		default:
			ok = false
		}
	}
	if !ok {
		return event, errors.Errorf("trouble %q: invalid time or option", spec)
	}
	return event, nil
}

// targetOr returns the target of the event, or fallback if it has none. It accepts store
// and front as other names of the storage and edge classes.
func (e *PlatformEvent) targetOr(fallback string) string {
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

// formOrDefault returns the form of endless answers.
func (e *PlatformEvent) formOrDefault() platform.EndlessForm {
	if e.Form == "" {
		return platform.EndlessEvents
	}
	return e.Form
}

// endlessFault returns the fault of endless answers.
func (e *PlatformEvent) endlessFault() platform.Fault {
	status := e.Status
	if status == 0 {
		status = 200
	}
	return platform.FaultEndless(e.formOrDefault(), status)
}

// runEvent runs an event and returns when it is over.
func (run *platformRun) runEvent(event PlatformEvent) error {
	switch event.Kind {
	case "node_kill":
		return run.applyToSome(event.targetOr(platform.ClassEdge), event, func(m *machine) error { return run.killAndRestart(m, event) })
	case "node_freeze":
		return run.applyToSome(event.targetOr(platform.ClassEdge), event, func(m *machine) error { return run.freeze(m, event.Duration) })
	case "roll_term":
		return run.rollingRestart(run.machinesOf(event.targetOr(platform.ClassEdge)), event)
	case "settings_hup":
		return run.applyToSome(event.targetOr(platform.ClassEdge), event, run.reloadSettings)
	case "kill_all":
		return run.killAndRestartAll(event.Duration, event.WipeDisk)
	case "replace_core":
		return run.applyToSome(event.targetOr(platform.ClassStorage), PlatformEvent{Count: 1}, func(m *machine) error { return run.replaceMachine(m, event.Duration) })
	case "add_nodes":
		return run.addNode(event.targetOr(platform.ClassEdge))
	case "retire":
		return run.retireStorage(event.Duration)
	case "after_ack_kill":
		return run.killAfterAck(event)
	case "release":
		run.releaseNewVersion(event.targetOr("app"), orDefault(event.Share, 0.5), event.Interval)
	case "worker_crash":
		workers := run.activeWorkers(event.Target)
		for index := range min(event.Count, len(workers)) {
			run.crashWorker(workers[index])
		}
	case "answer_lost":
		run.injectFaults(run.names.Services[event.targetOr("app")], orDefault(event.Share, 0.05), event.Duration, platform.FaultLostReset, platform.FaultLostSilent)
	case "garble":
		run.injectFaults(run.names.Services[event.targetOr("app")], orDefault(event.Share, 0.03), event.Duration, platform.FaultGarbled, platform.FaultCut, platform.FaultExtra, platform.FaultLateExtra)
	case "worker_slow":
		run.injectFaults(run.names.Services[event.targetOr("app")], orDefault(event.Share, 0.3), event.Duration, platform.FaultSlow)
	case "worker_grey":
		return run.applyToOneWorker(event, run.degradeWorker)
	case "worker_flap":
		return run.applyToOneWorker(event, run.flapHealth)
	case "worker_forget":
		for _, server := range run.activeWorkers(event.targetOr("app")) {
			server.SetSilentDropAfter(event.Interval)
		}
		run.clock.Sleep(event.Duration)
		for _, server := range run.activeWorkers(event.targetOr("app")) {
			server.SetSilentDropAfter(0)
		}
	case "worker_endless":
		run.answerWithoutEnd(event)
	case "list_endless":
		run.listServer.SetEndless(event.formOrDefault())
		run.clock.Sleep(event.Duration)
		run.listServer.SetEndless("")
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

// orDefault returns value, or fallback if value is 0.
func orDefault(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

// applyToSome runs step concurrently on randomly chosen machines of a class, as many as
// the count or the share of the event says.
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

// forEach runs step concurrently on all machines, and returns the first error in the
// order of the machines.
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

// wipeDisk deletes the data directory of a machine, if it has one.
func (run *platformRun) wipeDisk(m *machine) error {
	if m.DataDir == "" {
		return nil
	}
	return errors.Trace(os.RemoveAll(m.DataDir))
}

// killAndRestart kills a machine and starts it again after the duration of the event,
// with an empty disk if the event says so.
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

// freeze stops the process of a machine with SIGSTOP for a time.
func (run *platformRun) freeze(m *machine, duration time.Duration) error {
	end := run.recordTrouble("node_freeze", m, nil)
	m.Signal(syscall.SIGSTOP)
	run.clock.Sleep(duration)
	m.Signal(syscall.SIGCONT)
	end()
	return nil
}

// stopGracefully sends SIGTERM, and SIGKILL if the process has not exited after the
// grace period.
func (run *platformRun) stopGracefully(m *machine) {
	run.stopWith(m, func() {
		m.Signal(syscall.SIGTERM)
		if _, exited := m.Wait(run.plan.Site.Bounds.Grace); !exited {
			m.Kill()
		}
	})
}

// rollingRestart gracefully restarts a share of the machines, or all of them, one by
// one.
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

// reloadSettings rewrites the settings file of a machine and sends SIGHUP.
func (run *platformRun) reloadSettings(m *machine) error {
	end := run.recordTrouble("settings_hup", m, func(trouble *platform.Trouble) { trouble.Hup = true })
	defer end()
	if err := run.writeSettings(m); err != nil {
		return err
	}
	m.Signal(syscall.SIGHUP)
	return nil
}

// killAndRestartAll kills all processes and starts them again after the downtime. With
// wipe, one storage machine loses its disk.
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

// removeMachine kills a machine, removes it for good and deletes its data.
func (run *platformRun) removeMachine(m *machine) error {
	run.stopWith(m, m.Kill)
	run.mu.Lock()
	m.removed = true
	run.mu.Unlock()
	return run.wipeDisk(m)
}

// nextNumber returns the number of the next machine of a class.
func (run *platformRun) nextNumber(class string) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return 1 + len(base.Filter(run.machines, func(m *machine) bool { return m.class == class }))
}

// replaceMachine removes a machine, and after the downtime starts an empty one at a new
// address in the same zone.
func (run *platformRun) replaceMachine(m *machine, downtime time.Duration) error {
	end := run.recordTrouble("replace_core", m, nil)
	defer end()
	if err := run.removeMachine(m); err != nil {
		return err
	}
	run.clock.Sleep(downtime)
	return run.start(run.addMachine(m.class, m.Zone, run.nextNumber(m.class), false))
}

// addNode starts an additional machine in a random zone. Clients use it if it is an edge
// machine.
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

// retireStorage retires a random storage machine.
func (run *platformRun) retireStorage(duration time.Duration) error {
	storage := run.machinesOf(platform.ClassStorage)
	return run.retireMachine(storage[run.randomInt(len(storage))], duration)
}

// retireMachine retires a storage machine and removes it when its data has been moved. If
// the retirement fails, it only logs that.
func (run *platformRun) retireMachine(m *machine, duration time.Duration) error {
	if err := run.newOperator("retire").Retire(m.Name, max(duration, time.Second), duration+run.plan.Site.Bounds.Ack); err != nil {
		run.logf("%v", err)
		return nil
	}
	end := run.recordTrouble("retire", m, func(trouble *platform.Trouble) { trouble.Term = true })
	defer end()
	return run.removeMachine(m)
}

// killAfterAck submits a configuration, and kills the core machine that acknowledged it.
// If the event targets storage machines, it kills some of these instead.
func (run *platformRun) killAfterAck(event PlatformEvent) error {
	order := run.changeConfig()
	if event.targetOr(platform.ClassCore) == platform.ClassStorage {
		return run.applyToSome(platform.ClassStorage, event, func(m *machine) error { return run.killAndRestart(m, event) })
	}
	for _, m := range run.machinesOf(platform.ClassCore) {
		if order.Acked() && run.addrOf(m, run.ports.controlPort) == order.Node {
			return run.killAndRestart(m, event)
		}
	}
	return nil
}

// logf logs a message with the time of the run.
func (run *platformRun) logf(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	var out io.Writer = os.Stderr
	if run.plan.Log != nil {
		out = run.plan.Log
	}
	_, _ = fmt.Fprintf(out, "%6.1fs  %s\n", run.clock.Now().Seconds(), fmt.Sprintf(format, args...))
}
