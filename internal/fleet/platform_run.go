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
		for _, route := range order.Config.Routes {
			if previous := c.latest.Config.Match(route.Host, route.Prefix); previous == nil || previous.Prefix != route.Prefix {
				c.added = append(c.added, route)
			}
		}
		for _, route := range c.latest.Config.Routes {
			if current := order.Config.Match(route.Host, route.Prefix); current == nil {
				c.removed = append(c.removed, route)
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
func (run *platformRun) changeConfig() *platform.Order {
	run.config.changeMu.Lock()
	defer run.config.changeMu.Unlock()
	return run.changeConfigLocked()
}

func (run *platformRun) changeConfigLocked() *platform.Order {
	latest := run.config.current()
	next := run.drafts.Next(latest)
	order := run.config.operator.Put(latest.Generation, next, next.Encode(), "", 30*time.Second)
	if order.Acked() {
		run.config.setLatest(order)
	}
	return order
}

// submitConflictingConfigs has two operators build on the same version at once.
func (run *platformRun) submitConflictingConfigs() {
	run.config.changeMu.Lock()
	defer run.config.changeMu.Unlock()
	latest := run.config.current()
	orders := make([]*platform.Order, 2)
	drafts := []*platform.Config{run.drafts.Next(latest), run.drafts.Next(latest)}
	if drafts[0].Generation == drafts[1].Generation {
		drafts[1].Generation++
	}
	var group sync.WaitGroup
	for index := range orders {
		operator := run.newOperator(fmt.Sprintf("racer-%d-%d", index, drafts[index].Generation))
		group.Add(1)
		go func() {
			defer group.Done()
			orders[index] = operator.Put(latest.Generation, drafts[index], drafts[index].Encode(), "", 30*time.Second)
		}()
	}
	group.Wait()
	for _, order := range orders {
		if order.Acked() {
			run.config.setLatest(order)
		}
	}
}

func (run *platformRun) submitInvalidConfigs(count int, interval time.Duration) {
	for index := range count {
		run.config.changeMu.Lock()
		latest := run.config.current()
		config, raw, expectedFault := run.drafts.Invalid(latest, platform.InvalidKinds[index%len(platform.InvalidKinds)])
		order := run.config.operator.Put(latest.Generation, config, raw, expectedFault, 10*time.Second)
		if order.Acked() && config != nil {
			run.config.setLatest(order)
		}
		run.config.changeMu.Unlock()
		run.clock.Sleep(interval)
	}
}

func (run *platformRun) setRateFactor(factor float64) {
	run.rngMu.Lock()
	run.rateFactor = factor
	run.rngMu.Unlock()
}

func (run *platformRun) currentRateFactor() float64 {
	run.rngMu.Lock()
	defer run.rngMu.Unlock()
	return run.rateFactor * run.plan.RateFactor
}

// generateTraffic begins programs in every zone until its time is over.
func (run *platformRun) generateTraffic(ctx context.Context, end time.Duration) {
	var group sync.WaitGroup
	for classIndex := range run.plan.Site.Classes {
		class := &run.plan.Site.Classes[classIndex]
		if class.PerS == 0 {
			continue
		}
		for zoneIndex, zone := range run.plan.Site.Zones {
			rng := rand.New(rand.NewPCG(run.plan.Seed, uint64(100+100*classIndex+zoneIndex)))
			group.Add(1)
			go func() {
				defer group.Done()
				for {
					run.clock.Sleep(time.Duration(rng.ExpFloat64() / (class.PerS * run.currentRateFactor()) * float64(time.Second)))
					if ctx.Err() != nil || run.clock.Now() >= end {
						return
					}
					run.startProgram(class, zone, rng.IntN(run.plan.Site.Clients), end, "")
				}
			}()
		}
	}
	group.Wait()
}

// startProgram starts one program; one that ought to end too late does not begin.
func (run *platformRun) startProgram(class *platform.Class, zone string, client int, end time.Duration, previousTurn string) {
	var plan *platform.ProgramPlan
	run.player.Draw(func(g *platform.Generator) { plan = g.Program(class, zone, client) })
	if run.clock.Now()+plan.Aim > end+run.plan.Site.Bounds.Finish {
		return
	}
	run.programs.Add(1)
	go func() {
		defer run.programs.Done()
		run.player.Program(plan, previousTurn)
	}()
}

// probeNodes asks every ready node directly, on routes that were just added or
// removed and on one that never was.
func (run *platformRun) probeNodes(ctx context.Context) {
	for ctx.Err() == nil {
		run.config.mu.Lock()
		routes := append(append([]platform.Route(nil), run.config.added...), run.config.removed...)
		run.config.mu.Unlock()
		routes = append(routes, platform.Route{Host: "never.example", Prefix: fmt.Sprintf("/never%d/", run.randomInt(1000)), Kind: platform.Idempotent})
		for _, node := range run.entry.In() {
			route := routes[run.randomInt(len(routes))]
			if route.Kind != platform.Idempotent {
				continue
			}
			class := &platform.Class{Name: "probe", Kind: platform.Idempotent, Method: "GET", Aim: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond}
			run.programs.Add(1)
			go func() {
				defer run.programs.Done()
				run.player.Request(class, 0, func(try *platform.Try) {
					try.Probe, try.Node, try.Host, try.Target, try.Client = true, platform.Probe(node), route.Host, route.Prefix+"probe", "probe"
				})
			}()
		}
		run.clock.Sleep(500 * time.Millisecond)
	}
}

// runClosingFault brings the fault at the end of a day about, right after a
// configuration was acknowledged, and has programs continue from before it.
func (run *platformRun) runClosingFault(ctx context.Context) error {
	run.changeConfig()
	turns := run.answeredTurns()
	start := run.clock.Now()
	// The span stands in the record from the first kill on.
	closing := &platform.Closing{From: start, Back: 1 << 59}
	run.ledger.Note(func(r *platform.Record) { r.Closing = closing })
	if err := run.killAndRestartAll(time.Second, run.plan.ClosingFault == "wipe"); err != nil {
		return err
	}
	restartedAt := run.clock.Now()
	run.ledger.Note(func(*platform.Record) { closing.Back = restartedAt })
	recoveredBy := restartedAt + run.plan.Site.Bounds.Recovery
	end := recoveredBy + 6*time.Second
	run.persistUntil.Store(int64(recoveredBy))
	for _, turn := range turns {
		run.startProgram(run.plan.Site.Class(turn.Class), turn.Zone, run.randomInt(run.plan.Site.Clients), end, turn.ID)
	}
	run.generateTraffic(ctx, end)
	return nil
}

// answeredTurns gives some turns that were answered whole and are still kept.
func (run *platformRun) answeredTurns() (turns []*platform.Try) {
	for _, outcome := range run.ledger.Record().Outcomes {
		if outcome.Ending != platform.InTime && outcome.Ending != platform.Late {
			continue
		}
		var last *platform.Try
		for _, try := range run.ledger.Record().Tries {
			if try.Program == outcome.Program && try.Retain > 0 && try.OK() {
				last = try
			}
		}
		if last != nil && run.clock.Now()-last.Ended < last.Retain/2 {
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
	run := newPlatformRun(plan)
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			run.stop()
		}
	}
	defer stop()
	if err := run.setUp(); err != nil {
		return nil, run.withLogTails(err)
	}
	readyAt := run.clock.Now()
	run.logf("all %d nodes are ready", run.entry.Ready())
	end := readyAt + plan.TrafficDuration
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var group sync.WaitGroup
	errs := make(chan error, len(plan.Events)+1)
	for _, event := range plan.Events {
		group.Add(1)
		go func() {
			defer group.Done()
			select {
			case <-trafficCtx.Done():
				return
			case <-time.After(event.At):
			}
			run.logf("%s %s", event.Kind, event.Target)
			if err := run.runEvent(event); err != nil {
				errs <- errors.Annotate(err, event.Kind)
			}
		}()
	}
	run.programs.Add(1)
	go func() {
		defer run.programs.Done()
		run.probeNodes(trafficCtx)
	}()
	run.generateTraffic(trafficCtx, end)
	group.Wait()
	if plan.ClosingFault != "" && trafficCtx.Err() == nil {
		run.logf("closing fault: %s", plan.ClosingFault)
		if err := run.runClosingFault(trafficCtx); err != nil {
			errs <- errors.Annotate(err, "closing fault")
		}
	}
	stopTraffic()
	run.programs.Wait()
	extraResponses := run.clients.Close()
	run.config.operator.ReadBack(plan.Site.Bounds.Contact, plan.Site.Bounds.Contact+20*time.Second)
	run.instances.Settle()
	run.ledger.Note(func(r *platform.Record) { r.Over = run.clock.Now() })
	stop()
	record := run.ledger.Record()
	breaches := record.Check()
	for _, text := range extraResponses {
		breaches = append(breaches, platform.Breach{Rule: "MIXED", Word: text + " where no request was waiting"})
	}
	for _, text := range run.unexpectedExits {
		breaches = append(breaches, platform.Breach{Rule: "FAULT", Word: text})
	}
	record.Print(out, breaches)
	if plan.RecordFile != "" {
		if err := os.WriteFile(plan.RecordFile, base.MustMarshal(record), 0o644); err != nil {
			return breaches, errors.Trace(err)
		}
	}
	for _, class := range []string{platform.ClassEdge, platform.ClassCore, platform.ClassStorage} {
		cpuTime, peakMemory, count := time.Duration(0), int64(0), 0
		for _, m := range run.machinesOf(class) {
			cpuTime, peakMemory, count = cpuTime+m.cpuTime, max(peakMemory, m.peakMemory), count+1
		}
		_, _ = fmt.Fprintf(out, "%d %s: %.2f s of processor time, at most %d MB each\n", count, class, cpuTime.Seconds(), peakMemory>>20)
	}
	listCalls, rejectedCalls := run.instances.Calls()
	connections, promptTokens, cachedTokens := 0, 0, 0
	for _, worker := range run.workers {
		connections += worker.OpenedConns()
		requested, cached := worker.Worker.Prompts()
		promptTokens, cachedTokens = promptTokens+requested, cachedTokens+cached
	}
	_, _ = fmt.Fprintf(out, "%d prompt tokens asked of model workers, %d of them kept there (%.0f%%)\n", promptTokens, cachedTokens, 100*float64(cachedTokens)/float64(max(1, promptTokens)))
	_, _ = fmt.Fprintf(out, "%.1f s to form; list: %d calls, %d over the rate; %d connections to workers\n", readyAt.Seconds(), listCalls, rejectedCalls, connections)
	select {
	case err := <-errs:
		return breaches, run.withLogTails(err)
	default:
		return breaches, nil
	}
}

// withLogTails adds the end of the logs to an error, for tests.
func (run *platformRun) withLogTails(err error) error {
	tails := ""
	for _, m := range run.machinesOf("") {
		log, _ := os.ReadFile(run.logPath(m))
		tails += fmt.Sprintf("\n%s: %s", m.Name, log[max(0, len(log)-600):])
	}
	return errors.Errorf("%v%s", err, tails)
}
