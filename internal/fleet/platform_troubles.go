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
func ParsePlatformEvent(written string) (PlatformEvent, error) {
	parts := strings.Split(written, ",")
	head, when, ok := strings.Cut(parts[0], "@")
	t := PlatformEvent{Count: 1, Interval: time.Second}
	t.Kind, t.Target, _ = strings.Cut(head, ":")
	if !ok || !slices.Contains(PlatformEventKinds, t.Kind) {
		return t, errors.Errorf("trouble %q must be KIND[:CLASS]@SECONDS[+FOR][,wipe][,count=N][,share=N][,gap=SECONDS] with a KIND of %s", written, strings.Join(PlatformEventKinds, ", "))
	}
	seconds := func(word string) time.Duration {
		value, err := strconv.ParseFloat(word, 64)
		ok = ok && err == nil && value >= 0
		return time.Duration(value * float64(time.Second))
	}
	at, span, spans := strings.Cut(when, "+")
	t.At, t.Duration = seconds(at), 3*time.Second
	if spans {
		t.Duration = seconds(span)
	}
	for _, option := range parts[1:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "wipe":
			t.WipeDisk = true
		case "count":
			count, err := strconv.Atoi(value)
			t.Count, ok = count, ok && err == nil && count > 0
		case "share":
			share, err := strconv.ParseFloat(value, 64)
			t.Share, ok = share, ok && err == nil && share > 0
		case "gap":
			t.Interval = seconds(value)
		default:
			ok = false
		}
	}
	if !ok {
		return t, errors.Errorf("trouble %q: bad time or option", written)
	}
	return t, nil
}

// classOr is the class of machine that a trouble is on.
func (t *PlatformEvent) classOr(otherwise string) string {
	switch t.Target {
	case "":
		return otherwise
	case "store":
		return platform.ClassStorage
	case "front":
		return platform.ClassEdge
	}
	return t.Target
}

// runEvent brings a trouble about and returns when it is over.
func (w *platformRun) runEvent(t PlatformEvent) error {
	switch t.Kind {
	case "node_kill":
		return w.applyToSome(t.classOr(platform.ClassEdge), t, func(m *machine) error { return w.killAndRestart(m, t) })
	case "node_freeze":
		return w.applyToSome(t.classOr(platform.ClassEdge), t, func(m *machine) error { return w.freeze(m, t.Duration) })
	case "roll_term":
		return w.rollingRestart(w.machinesOf(t.classOr(platform.ClassEdge)), t)
	case "settings_hup":
		return w.applyToSome(t.classOr(platform.ClassEdge), t, w.reloadSettings)
	case "kill_all":
		return w.killAndRestartAll(t.Duration, t.WipeDisk)
	case "replace_core":
		return w.applyToSome(t.classOr(platform.ClassStorage), PlatformEvent{Count: 1}, func(m *machine) error { return w.replaceMachine(m, t.Duration) })
	case "add_nodes":
		return w.addNode(t.classOr(platform.ClassEdge))
	case "retire":
		return w.retireStorage(t.Duration)
	case "after_ack_kill":
		return w.killAfterAck(t)
	case "release":
		w.releaseNewVersion(t.classOr("app"), orDefault(t.Share, 0.5), t.Interval)
	case "worker_crash":
		list := w.activeWorkers(t.Target)
		for place := range min(t.Count, len(list)) {
			w.crashWorker(list[place])
		}
	case "answer_lost":
		w.injectFaults(w.names.Services[t.classOr("app")], orDefault(t.Share, 0.05), t.Duration, platform.LostReset, platform.LostSilent)
	case "garble":
		w.injectFaults(w.names.Services[t.classOr("app")], orDefault(t.Share, 0.03), t.Duration, platform.Garbled, platform.Cut, platform.Extra, platform.LateExtra)
	case "worker_slow":
		w.injectFaults(w.names.Services[t.classOr("app")], orDefault(t.Share, 0.3), t.Duration, platform.Slow)
	case "worker_grey":
		return w.applyToOneWorker(t, w.degradeWorker)
	case "worker_flap":
		return w.applyToOneWorker(t, w.flapHealth)
	case "worker_forget":
		for _, s := range w.activeWorkers(t.classOr("app")) {
			s.SetSilentDropAfter(t.Interval)
		}
		w.clock.Sleep(t.Duration)
		for _, s := range w.activeWorkers(t.classOr("app")) {
			s.SetSilentDropAfter(0)
		}
	case "list_down":
		end := w.recordTrouble(t.Kind, &machine{Process: Process{Name: "list"}, class: "list"}, nil)
		w.instances.SetDown(true)
		w.clock.Sleep(t.Duration)
		w.instances.SetDown(false)
		end()
	case "burst":
		w.setRateFactor(orDefault(t.Share, 2))
		w.clock.Sleep(t.Duration)
		w.setRateFactor(1)
	case "config_change":
		w.changeConfig()
	case "config_race":
		for range t.Count {
			w.submitConflictingConfigs()
			w.clock.Sleep(t.Interval)
		}
	case "bad_config":
		w.submitInvalidConfigs(max(t.Count, len(platform.InvalidKinds)), t.Interval)
	}
	return nil
}

func orDefault(given, otherwise float64) float64 {
	if given == 0 {
		return otherwise
	}
	return given
}

// applyToSome brings a step to several machines of a class at once, drawn.
func (w *platformRun) applyToSome(class string, t PlatformEvent, step func(m *machine) error) error {
	list := w.machinesOf(class)
	if len(list) == 0 {
		return errors.Errorf("no machine of class %q", class)
	}
	w.rngMu.Lock()
	w.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	w.rngMu.Unlock()
	count := t.Count
	if t.Share > 0 {
		count = int(t.Share*float64(len(list)) + 0.5)
	}
	return w.forEach(list[:min(max(count, 1), len(list))], step)
}

func (w *platformRun) forEach(list []*machine, step func(m *machine) error) error {
	failed := make([]error, len(list))
	var group sync.WaitGroup
	for place, m := range list {
		group.Add(1)
		go func() {
			defer group.Done()
			failed[place] = step(m)
		}()
	}
	group.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *platformRun) wipeDisk(m *machine) error {
	if m.DataDir == "" {
		return nil
	}
	return errors.Trace(os.RemoveAll(m.DataDir))
}

func (w *platformRun) killAndRestart(m *machine, t PlatformEvent) error {
	end := w.recordTrouble(t.Kind, m, nil)
	w.stopWith(m, m.Kill)
	if t.WipeDisk {
		if err := w.wipeDisk(m); err != nil {
			return err
		}
	}
	w.clock.Sleep(t.Duration)
	err := w.start(m)
	end()
	return err
}

func (w *platformRun) freeze(m *machine, span time.Duration) error {
	end := w.recordTrouble("node_freeze", m, nil)
	m.Signal(syscall.SIGSTOP)
	w.clock.Sleep(span)
	m.Signal(syscall.SIGCONT)
	end()
	return nil
}

// stopGracefully sends SIGTERM, then SIGKILL after the grace.
func (w *platformRun) stopGracefully(m *machine) {
	w.stopWith(m, func() {
		m.Signal(syscall.SIGTERM)
		if _, ended := m.Wait(w.plan.Site.Bounds.Grace); !ended {
			m.Kill()
		}
	})
}

func (w *platformRun) rollingRestart(list []*machine, t PlatformEvent) error {
	count := len(list)
	if t.Share > 0 {
		count = int(t.Share*float64(len(list)) + 0.5)
	}
	for _, m := range list[:min(max(count, 1), len(list))] {
		end := w.recordTrouble("roll_term", m, func(x *platform.Trouble) { x.Term = true })
		w.stopGracefully(m)
		w.clock.Sleep(300 * time.Millisecond)
		err := w.start(m)
		end()
		if err != nil {
			return err
		}
		w.clock.Sleep(t.Interval)
	}
	return nil
}

func (w *platformRun) reloadSettings(m *machine) error {
	end := w.recordTrouble("settings_hup", m, func(x *platform.Trouble) { x.Hup = true })
	defer end()
	if err := w.writeSettings(m); err != nil {
		return err
	}
	m.Signal(syscall.SIGHUP)
	return nil
}

// killAndRestartAll kills every process and starts all again; with wipe, one machine
// that counts loses its disk.
func (w *platformRun) killAndRestartAll(down time.Duration, wipe bool) error {
	all := w.machinesOf("")
	var ends []func()
	for _, m := range all {
		ends = append(ends, w.recordTrouble("kill_all", m, nil))
	}
	if err := w.forEach(all, func(m *machine) error {
		w.stopWith(m, m.Kill)
		return nil
	}); err != nil {
		return err
	}
	if wipe {
		storage := w.machinesOf(platform.ClassStorage)
		if err := w.wipeDisk(storage[w.randomInt(len(storage))]); err != nil {
			return err
		}
	}
	w.clock.Sleep(down)
	err := w.forEach(all, w.start)
	for _, end := range ends {
		end()
	}
	return err
}

// removeMachine takes a machine away for good, with its disk.
func (w *platformRun) removeMachine(m *machine) error {
	w.stopWith(m, m.Kill)
	w.mu.Lock()
	m.removed = true
	w.mu.Unlock()
	return w.wipeDisk(m)
}

func (w *platformRun) nextNumber(class string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 1 + len(base.Filter(w.machines, func(m *machine) bool { return m.class == class }))
}

// replaceMachine puts an empty machine at another address in a lost one's place.
func (w *platformRun) replaceMachine(m *machine, down time.Duration) error {
	end := w.recordTrouble("replace_core", m, nil)
	defer end()
	if err := w.removeMachine(m); err != nil {
		return err
	}
	w.clock.Sleep(down)
	return w.start(w.addMachine(m.class, m.Zone, w.nextNumber(m.class), false))
}

func (w *platformRun) addNode(class string) error {
	zones := w.plan.Site.Zones
	m := w.addMachine(class, zones[w.randomInt(len(zones))], w.nextNumber(class), false)
	if err := w.start(m); err != nil {
		return err
	}
	if class == platform.ClassEdge {
		w.entry.Add(w.newEntryNode(m))
	}
	return nil
}

// retireStorage has a storage machine emptied and takes it away once it is.
func (w *platformRun) retireStorage(within time.Duration) error {
	storage := w.machinesOf(platform.ClassStorage)
	m := storage[w.randomInt(len(storage))]
	if err := w.newOperator("retire").Retire(m.Name, max(within, time.Second), within+w.plan.Site.Bounds.Ack); err != nil {
		w.logf("%v", err)
		return nil
	}
	end := w.recordTrouble("retire", m, func(x *platform.Trouble) { x.Term = true })
	defer end()
	return w.removeMachine(m)
}

// killAfterAck kills the machine that has just acknowledged a configuration, or a
// storage machine at that moment.
func (w *platformRun) killAfterAck(t PlatformEvent) error {
	order := w.changeConfig()
	if t.classOr(platform.ClassCore) == platform.ClassStorage {
		return w.applyToSome(platform.ClassStorage, t, func(m *machine) error { return w.killAndRestart(m, t) })
	}
	for _, m := range w.machinesOf(platform.ClassCore) {
		if order.Acked() && w.addrOf(m, w.ports.controlPort) == order.Node {
			return w.killAndRestart(m, t)
		}
	}
	return nil
}

func (w *platformRun) logf(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%6.1fs  %s\n", w.clock.Now().Seconds(), fmt.Sprintf(format, args...))
}
