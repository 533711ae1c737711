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

// Trouble is one planned trouble.
type Trouble struct {
	Kind  string
	On    string // class of machine, or service
	At    time.Duration
	For   time.Duration
	Count int
	Share float64
	Gap   time.Duration
	Wipe  bool
}

// TroubleKinds are the troubles that a run can bring about.
var TroubleKinds = []string{"node_kill", "node_freeze", "roll_term", "settings_hup", "kill_all", "replace_core", "add_nodes", "retire", "after_ack_kill",
	"release", "worker_crash", "answer_lost", "garble", "worker_slow", "worker_grey", "worker_flap", "worker_forget", "list_down", "burst", "config_change", "config_race", "bad_config"}

// ParseTrouble reads a trouble as it is written on a command line.
func ParseTrouble(written string) (Trouble, error) {
	parts := strings.Split(written, ",")
	head, when, ok := strings.Cut(parts[0], "@")
	t := Trouble{Count: 1, Gap: time.Second}
	t.Kind, t.On, _ = strings.Cut(head, ":")
	if !ok || !slices.Contains(TroubleKinds, t.Kind) {
		return t, errors.Errorf("trouble %q must be KIND[:CLASS]@SECONDS[+FOR][,wipe][,count=N][,share=N][,gap=SECONDS] with a KIND of %s", written, strings.Join(TroubleKinds, ", "))
	}
	seconds := func(word string) time.Duration {
		value, err := strconv.ParseFloat(word, 64)
		ok = ok && err == nil && value >= 0
		return time.Duration(value * float64(time.Second))
	}
	at, span, spans := strings.Cut(when, "+")
	t.At, t.For = seconds(at), 3*time.Second
	if spans {
		t.For = seconds(span)
	}
	for _, option := range parts[1:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "wipe":
			t.Wipe = true
		case "count":
			count, err := strconv.Atoi(value)
			t.Count, ok = count, ok && err == nil && count > 0
		case "share":
			share, err := strconv.ParseFloat(value, 64)
			t.Share, ok = share, ok && err == nil && share > 0
		case "gap":
			t.Gap = seconds(value)
		default:
			ok = false
		}
	}
	if !ok {
		return t, errors.Errorf("trouble %q: bad time or option", written)
	}
	return t, nil
}

// class is the class of machine that a trouble is on.
func (t *Trouble) class(otherwise string) string {
	switch t.On {
	case "":
		return otherwise
	case "store":
		return platform.ClassStorage
	case "front":
		return platform.ClassEdge
	}
	return t.On
}

// bring brings a trouble about and returns when it is over.
func (w *platformWorld) bring(t Trouble) error {
	switch t.Kind {
	case "node_kill":
		return w.some(t.class(platform.ClassEdge), t, func(m *machine) error { return w.kill(m, t) })
	case "node_freeze":
		return w.some(t.class(platform.ClassEdge), t, func(m *machine) error { return w.freezeNode(m, t.For) })
	case "roll_term":
		return w.roll(w.of(t.class(platform.ClassEdge)), t)
	case "settings_hup":
		return w.some(t.class(platform.ClassEdge), t, w.hup)
	case "kill_all":
		return w.killAll(t.For, t.Wipe)
	case "replace_core":
		return w.some(t.class(platform.ClassStorage), Trouble{Count: 1}, func(m *machine) error { return w.replace(m, t.For) })
	case "add_nodes":
		return w.add(t.class(platform.ClassEdge))
	case "retire":
		return w.retire(t.For)
	case "after_ack_kill":
		return w.afterAck(t)
	case "release":
		w.release(t.class("app"), orNumber(t.Share, 0.5), t.Gap)
	case "worker_crash":
		list := w.serving(t.On)
		for place := range min(t.Count, len(list)) {
			w.crashWorker(list[place])
		}
	case "answer_lost":
		w.setFault(w.words.Services[t.class("app")], orNumber(t.Share, 0.05), t.For, platform.LostReset, platform.LostSilent)
	case "garble":
		w.setFault(w.words.Services[t.class("app")], orNumber(t.Share, 0.03), t.For, platform.Garbled, platform.Cut, platform.Extra, platform.LateExtra)
	case "worker_slow":
		w.setFault(w.words.Services[t.class("app")], orNumber(t.Share, 0.3), t.For, platform.Slow)
	case "worker_grey":
		return w.oneWorker(t, w.greyWorker)
	case "worker_flap":
		return w.oneWorker(t, w.flapWorker)
	case "worker_forget":
		for _, s := range w.serving(t.class("app")) {
			s.Forget(t.Gap)
		}
		w.clock.Sleep(t.For)
		for _, s := range w.serving(t.class("app")) {
			s.Forget(0)
		}
	case "list_down":
		end := w.trouble(t.Kind, &machine{Process: Process{Name: "list"}, class: "list"}, nil)
		w.list.SetDown(true)
		w.clock.Sleep(t.For)
		w.list.SetDown(false)
		end()
	case "burst":
		w.setRate(orNumber(t.Share, 2))
		w.clock.Sleep(t.For)
		w.setRate(1)
	case "config_change":
		w.change()
	case "config_race":
		for range t.Count {
			w.race()
			w.clock.Sleep(t.Gap)
		}
	case "bad_config":
		w.badConfigs(max(t.Count, len(platform.InvalidKinds)), t.Gap)
	}
	return nil
}

func orNumber(given, otherwise float64) float64 {
	if given == 0 {
		return otherwise
	}
	return given
}

// some brings a step to several machines of a class at once, drawn.
func (w *platformWorld) some(class string, t Trouble, step func(m *machine) error) error {
	list := w.of(class)
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
	return w.each(list[:min(max(count, 1), len(list))], step)
}

func (w *platformWorld) each(list []*machine, step func(m *machine) error) error {
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

func (w *platformWorld) wipe(m *machine) error {
	if m.Data == "" {
		return nil
	}
	return errors.Trace(os.RemoveAll(m.Data))
}

func (w *platformWorld) kill(m *machine, t Trouble) error {
	end := w.trouble(t.Kind, m, nil)
	w.down(m, m.Kill)
	if t.Wipe {
		if err := w.wipe(m); err != nil {
			return err
		}
	}
	w.clock.Sleep(t.For)
	err := w.start(m)
	end()
	return err
}

func (w *platformWorld) freezeNode(m *machine, span time.Duration) error {
	end := w.trouble("node_freeze", m, nil)
	m.Signal(syscall.SIGSTOP)
	w.clock.Sleep(span)
	m.Signal(syscall.SIGCONT)
	end()
	return nil
}

// stopInOrder sends SIGTERM, then SIGKILL after the grace.
func (w *platformWorld) stopInOrder(m *machine) {
	w.down(m, func() {
		m.Signal(syscall.SIGTERM)
		if _, ended := m.Wait(w.plan.Site.Bounds.Grace); !ended {
			m.Kill()
		}
	})
}

func (w *platformWorld) roll(list []*machine, t Trouble) error {
	count := len(list)
	if t.Share > 0 {
		count = int(t.Share*float64(len(list)) + 0.5)
	}
	for _, m := range list[:min(max(count, 1), len(list))] {
		end := w.trouble("roll_term", m, func(x *platform.Trouble) { x.Term = true })
		w.stopInOrder(m)
		w.clock.Sleep(300 * time.Millisecond)
		err := w.start(m)
		end()
		if err != nil {
			return err
		}
		w.clock.Sleep(t.Gap)
	}
	return nil
}

func (w *platformWorld) hup(m *machine) error {
	end := w.trouble("settings_hup", m, func(x *platform.Trouble) { x.Hup = true })
	defer end()
	if err := w.tell(m); err != nil {
		return err
	}
	m.Signal(syscall.SIGHUP)
	return nil
}

// killAll kills every process and starts all again; with wipe, one machine
// that counts loses its disk.
func (w *platformWorld) killAll(down time.Duration, wipe bool) error {
	all := w.of("")
	var ends []func()
	for _, m := range all {
		ends = append(ends, w.trouble("kill_all", m, nil))
	}
	if err := w.each(all, func(m *machine) error {
		w.down(m, m.Kill)
		return nil
	}); err != nil {
		return err
	}
	if wipe {
		storage := w.of(platform.ClassStorage)
		if err := w.wipe(storage[w.draw(len(storage))]); err != nil {
			return err
		}
	}
	w.clock.Sleep(down)
	err := w.each(all, w.start)
	for _, end := range ends {
		end()
	}
	return err
}

// remove takes a machine away for good, with its disk.
func (w *platformWorld) remove(m *machine) error {
	w.down(m, m.Kill)
	w.mu.Lock()
	m.gone = true
	w.mu.Unlock()
	return w.wipe(m)
}

func (w *platformWorld) number(class string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 1 + len(base.Filter(w.machines, func(m *machine) bool { return m.class == class }))
}

// replace puts an empty machine at another address in a lost one's place.
func (w *platformWorld) replace(m *machine, down time.Duration) error {
	end := w.trouble("replace_core", m, nil)
	defer end()
	if err := w.remove(m); err != nil {
		return err
	}
	w.clock.Sleep(down)
	return w.start(w.lay(m.class, m.Zone, w.number(m.class), false))
}

func (w *platformWorld) add(class string) error {
	zones := w.plan.Site.Zones
	m := w.lay(class, zones[w.draw(len(zones))], w.number(class), false)
	if err := w.start(m); err != nil {
		return err
	}
	if class == platform.ClassEdge {
		w.entry.Add(w.entryNode(m))
	}
	return nil
}

// retire has a storage machine emptied and takes it away once it is.
func (w *platformWorld) retire(within time.Duration) error {
	storage := w.of(platform.ClassStorage)
	m := storage[w.draw(len(storage))]
	if err := w.operator("retire").Retire(m.Name, max(within, time.Second), within+w.plan.Site.Bounds.Ack); err != nil {
		w.say("%v", err)
		return nil
	}
	end := w.trouble("retire", m, func(x *platform.Trouble) { x.Term = true })
	defer end()
	return w.remove(m)
}

// afterAck kills the machine that has just acknowledged a configuration, or a
// storage machine at that moment.
func (w *platformWorld) afterAck(t Trouble) error {
	order := w.change()
	if t.class(platform.ClassCore) == platform.ClassStorage {
		return w.some(platform.ClassStorage, t, func(m *machine) error { return w.kill(m, t) })
	}
	for _, m := range w.of(platform.ClassCore) {
		if order.Acked() && w.at(m, w.ports.control) == order.Node {
			return w.kill(m, t)
		}
	}
	return nil
}

func (w *platformWorld) say(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%6.1fs  %s\n", w.clock.Now().Seconds(), fmt.Sprintf(format, args...))
}
