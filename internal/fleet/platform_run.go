// One run on the platform from start to report: formation, traffic with
// troubles at their times, probes, a closing fault, reading back, checking.

package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// configState is the operators' view of the configuration.
type configState struct {
	mu       sync.Mutex
	operator *platform.Operator
	latest   *platform.Order
	removed  []platform.Route
	added    []platform.Route
	changeMu sync.Mutex // one change at a time
}

func (c *configState) setLatest(order *platform.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest != nil {
		c.added, c.removed = nil, nil
		for _, r := range order.Config.Routes {
			if was := c.latest.Config.Match(r.Host, r.Prefix); was == nil || was.Prefix != r.Prefix {
				c.added = append(c.added, r)
			}
		}
		for _, r := range c.latest.Config.Routes {
			if is := order.Config.Match(r.Host, r.Prefix); is == nil {
				c.removed = append(c.removed, r)
			}
		}
	}
	c.latest = order
}

func (c *configState) current() *platform.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest.Config
}

// changeConfig sends one valid configuration on top of the newest.
func (w *platformRun) changeConfig() *platform.Order {
	w.config.changeMu.Lock()
	defer w.config.changeMu.Unlock()
	return w.changeConfigLocked()
}

func (w *platformRun) changeConfigLocked() *platform.Order {
	newest := w.config.current()
	next := w.drafts.Next(newest)
	order := w.config.operator.Put(newest.Generation, next, next.Encode(), "", 30*time.Second)
	if order.Acked() {
		w.config.setLatest(order)
	}
	return order
}

// submitConflictingConfigs has two operators build on the same version at once.
func (w *platformRun) submitConflictingConfigs() {
	w.config.changeMu.Lock()
	defer w.config.changeMu.Unlock()
	newest := w.config.current()
	orders := make([]*platform.Order, 2)
	drafts := []*platform.Config{w.drafts.Next(newest), w.drafts.Next(newest)}
	if drafts[0].Generation == drafts[1].Generation {
		drafts[1].Generation++
	}
	var group sync.WaitGroup
	for place := range orders {
		operator := w.newOperator(fmt.Sprintf("racer-%d-%d", place, drafts[place].Generation))
		group.Add(1)
		go func() {
			defer group.Done()
			orders[place] = operator.Put(newest.Generation, drafts[place], drafts[place].Encode(), "", 30*time.Second)
		}()
	}
	group.Wait()
	for _, order := range orders {
		if order.Acked() {
			w.config.setLatest(order)
		}
	}
}

func (w *platformRun) submitInvalidConfigs(count int, gap time.Duration) {
	for place := range count {
		w.config.changeMu.Lock()
		newest := w.config.current()
		config, raw, fault := w.drafts.Invalid(newest, platform.InvalidKinds[place%len(platform.InvalidKinds)])
		order := w.config.operator.Put(newest.Generation, config, raw, fault, 10*time.Second)
		if order.Acked() && config != nil {
			w.config.setLatest(order)
		}
		w.config.changeMu.Unlock()
		w.clock.Sleep(gap)
	}
}

func (w *platformRun) setRateFactor(times float64) {
	w.rngMu.Lock()
	w.rateFactor = times
	w.rngMu.Unlock()
}

func (w *platformRun) currentRateFactor() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rateFactor * w.plan.RateFactor
}

// generateTraffic begins programs in every zone until its time is over.
func (w *platformRun) generateTraffic(ctx context.Context, end time.Duration) {
	var group sync.WaitGroup
	for place := range w.plan.Site.Classes {
		class := &w.plan.Site.Classes[place]
		if class.PerS == 0 {
			continue
		}
		for number, zone := range w.plan.Site.Zones {
			rng := rand.New(rand.NewPCG(w.plan.Seed, uint64(100+100*place+number)))
			group.Add(1)
			go func() {
				defer group.Done()
				for {
					w.clock.Sleep(time.Duration(rng.ExpFloat64() / (class.PerS * w.currentRateFactor()) * float64(time.Second)))
					if ctx.Err() != nil || w.clock.Now() >= end {
						return
					}
					w.startProgram(class, zone, rng.IntN(w.plan.Site.Clients), end, "")
				}
			}()
		}
	}
	group.Wait()
}

// startProgram starts one program; one that ought to end too late does not begin.
func (w *platformRun) startProgram(class *platform.Class, zone string, client int, end time.Duration, previous string) {
	var plan *platform.ProgramPlan
	w.player.Draw(func(g *platform.Generator) { plan = g.Program(class, zone, client) })
	if w.clock.Now()+plan.Aim > end+w.plan.Site.Bounds.Finish {
		return
	}
	w.programs.Add(1)
	go func() {
		defer w.programs.Done()
		w.player.Program(plan, previous)
	}()
}

// probeNodes asks every ready node directly, on routes that were just added or
// removed and on one that never was.
func (w *platformRun) probeNodes(ctx context.Context) {
	for ctx.Err() == nil {
		w.config.mu.Lock()
		routes := append(append([]platform.Route(nil), w.config.added...), w.config.removed...)
		w.config.mu.Unlock()
		routes = append(routes, platform.Route{Host: "never.example", Prefix: fmt.Sprintf("/never%d/", w.randomInt(1000)), Kind: platform.Idempotent})
		for _, node := range w.entry.In() {
			route := routes[w.randomInt(len(routes))]
			if route.Kind != platform.Idempotent {
				continue
			}
			class := &platform.Class{Name: "probe", Kind: platform.Idempotent, Method: "GET", Aim: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond}
			w.programs.Add(1)
			go func() {
				defer w.programs.Done()
				w.player.Request(class, 0, func(t *platform.Try) {
					t.Probe, t.Node, t.Host, t.Target, t.Client = true, platform.Probe(node), route.Host, route.Prefix+"probe", "probe"
				})
			}()
		}
		w.clock.Sleep(500 * time.Millisecond)
	}
}

// runClosingFault brings the fault at the end of a day about, right after a
// configuration was acknowledged, and has programs continue from before it.
func (w *platformRun) runClosingFault(ctx context.Context) error {
	w.changeConfig()
	before := w.answeredTurns()
	from := w.clock.Now()
	// The span stands in the record from the first kill on.
	closing := &platform.Closing{From: from, Back: 1 << 59}
	w.ledger.Note(func(r *platform.Record) { r.Closing = closing })
	if err := w.killAndRestartAll(time.Second, w.plan.ClosingFault == "wipe"); err != nil {
		return err
	}
	back := w.clock.Now()
	w.ledger.Note(func(*platform.Record) { closing.Back = back })
	until := back + w.plan.Site.Bounds.Recovery
	end := until + 6*time.Second
	w.persistUntil.Store(int64(until))
	for _, t := range before {
		w.startProgram(w.plan.Site.Class(t.Class), t.Zone, w.randomInt(w.plan.Site.Clients), end, t.ID)
	}
	w.generateTraffic(ctx, end)
	return nil
}

// answeredTurns gives some turns that were answered whole and are still kept.
func (w *platformRun) answeredTurns() (turns []*platform.Try) {
	for _, o := range w.ledger.Record().Outcomes {
		if o.Ending != platform.InTime && o.Ending != platform.Late {
			continue
		}
		var last *platform.Try
		for _, t := range w.ledger.Record().Tries {
			if t.Program == o.Program && t.Retain > 0 && t.OK() {
				last = t
			}
		}
		if last != nil && w.clock.Now()-last.Ended < last.Retain/2 {
			turns = append(turns, last)
		}
		if len(turns) >= 6 {
			break
		}
	}
	return turns
}

// RunPlatform plays a plan, writes its report and gives the rules broken.
func RunPlatform(ctx context.Context, plan *PlatformPlan, out io.Writer) ([]platform.Breach, error) {
	w := newPlatformRun(plan)
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			w.stop()
		}
	}
	defer stop()
	if err := w.setUp(); err != nil {
		return nil, w.withLogTails(err)
	}
	formed := w.clock.Now()
	w.logf("all %d nodes are ready", w.entry.Ready())
	end := formed + plan.TrafficDuration
	during, calm := context.WithCancel(ctx)
	defer calm()
	var group sync.WaitGroup
	failed := make(chan error, len(plan.Events)+1)
	for _, t := range plan.Events {
		group.Add(1)
		go func() {
			defer group.Done()
			select {
			case <-during.Done():
				return
			case <-time.After(t.At):
			}
			w.logf("%s %s", t.Kind, t.Target)
			if err := w.runEvent(t); err != nil {
				failed <- errors.Annotate(err, t.Kind)
			}
		}()
	}
	w.programs.Add(1)
	go func() {
		defer w.programs.Done()
		w.probeNodes(during)
	}()
	w.generateTraffic(during, end)
	group.Wait()
	if plan.ClosingFault != "" && during.Err() == nil {
		w.logf("closing fault: %s", plan.ClosingFault)
		if err := w.runClosingFault(during); err != nil {
			failed <- errors.Annotate(err, "closing fault")
		}
	}
	calm()
	w.programs.Wait()
	surplus := w.clients.Close()
	w.config.operator.ReadBack(plan.Site.Bounds.Contact, plan.Site.Bounds.Contact+20*time.Second)
	w.instances.Settle()
	w.ledger.Note(func(r *platform.Record) { r.Over = w.clock.Now() })
	stop()
	record := w.ledger.Record()
	breaches := record.Check()
	for _, word := range surplus {
		breaches = append(breaches, platform.Breach{Rule: "MIXED", Word: word + " where no request was waiting"})
	}
	for _, word := range w.unexpectedExits {
		breaches = append(breaches, platform.Breach{Rule: "FAULT", Word: word})
	}
	record.Print(out, breaches)
	if plan.RecordFile != "" {
		if err := os.WriteFile(plan.RecordFile, base.MustMarshal(record), 0o644); err != nil {
			return breaches, errors.Trace(err)
		}
	}
	for _, class := range []string{platform.ClassEdge, platform.ClassCore, platform.ClassStorage} {
		used, peak, count := time.Duration(0), int64(0), 0
		for _, m := range w.machinesOf(class) {
			used, peak, count = used+m.cpuTime, max(peak, m.peakMemory), count+1
		}
		_, _ = fmt.Fprintf(out, "%d %s: %.2f s of processor time, at most %d MB each\n", count, class, used.Seconds(), peak>>20)
	}
	calls, refused := w.instances.Calls()
	opened, asked, found := 0, 0, 0
	for _, worker := range w.workers {
		opened += worker.OpenedConns()
		prompt, kept := worker.Worker.Prompts()
		asked, found = asked+prompt, found+kept
	}
	_, _ = fmt.Fprintf(out, "%d prompt tokens asked of model workers, %d of them kept there (%.0f%%)\n", asked, found, 100*float64(found)/float64(max(1, asked)))
	_, _ = fmt.Fprintf(out, "%.1f s to form; list: %d calls, %d over the rate; %d connections to workers\n", formed.Seconds(), calls, refused, opened)
	select {
	case err := <-failed:
		return breaches, w.withLogTails(err)
	default:
		return breaches, nil
	}
}

// withLogTails adds the end of the logs to an error, for tests.
func (w *platformRun) withLogTails(err error) error {
	word := ""
	for _, m := range w.machinesOf("") {
		written, _ := os.ReadFile(w.logPath(m))
		word += fmt.Sprintf("\n%s: %s", m.Name, written[max(0, len(written)-600):])
	}
	return errors.Errorf("%v%s", err, word)
}
