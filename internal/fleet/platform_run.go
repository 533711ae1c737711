package fleet

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// configState is the latest acknowledged configuration, with the routes that its last
// change added and removed.
type configState struct {
	mu       sync.Mutex
	operator *platform.Operator
	latest   *platform.Order
	removed  []platform.Route
	added    []platform.Route
	changeMu sync.Mutex // one change at a time
}

// setLatest records an acknowledged configuration and compares its routes with those of
// the previous one.
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

// changeConfig submits a valid configuration that is based on the latest.
func (run *platformRun) changeConfig() *platform.Order {
	run.config.changeMu.Lock()
	defer run.config.changeMu.Unlock()
	return run.changeConfigLocked()
}

// changeConfigLocked is changeConfig for callers that hold config.changeMu.
func (run *platformRun) changeConfigLocked() *platform.Order {
	return run.submitLocked(run.drafts.NextValid(run.config.current()))
}

// submitLocked submits a valid configuration on top of the latest, for callers that hold
// config.changeMu.
func (run *platformRun) submitLocked(next *platform.Config) *platform.Order {
	latest := run.config.current()
	order := run.config.operator.PutConfig(latest.Generation, next, next.Encode(), "", 30*time.Second)
	if order.Acked() {
		run.config.setLatest(order)
	}
	return order
}

// submitConflictingConfigs has two operators concurrently submit configurations that
// are based on the same version.
func (run *platformRun) submitConflictingConfigs() {
	run.config.changeMu.Lock()
	defer run.config.changeMu.Unlock()
	latest := run.config.current()
	orders := make([]*platform.Order, 2)
	drafts := []*platform.Config{run.drafts.NextValid(latest), run.drafts.NextValid(latest)}
	if drafts[0].Generation == drafts[1].Generation {
		drafts[1].Generation++
	}
	var group sync.WaitGroup
	for index := range orders {
		operator := run.newOperator(fmt.Sprintf("racer-%d-%d", index, drafts[index].Generation))
		group.Add(1)
		go func() {
			defer group.Done()
			orders[index] = operator.PutConfig(latest.Generation, drafts[index], drafts[index].Encode(), "", 30*time.Second)
		}()
	}
	group.Wait()
	for _, order := range orders {
		if order.Acked() {
			run.config.setLatest(order)
		}
	}
}

// submitInvalidConfigs submits count invalid configurations, of all kinds in turn.
func (run *platformRun) submitInvalidConfigs(count int, interval time.Duration) {
	for index := range count {
		run.config.changeMu.Lock()
		latest := run.config.current()
		config, raw, expectedFault := run.drafts.Invalid(latest, platform.InvalidKinds[index%len(platform.InvalidKinds)])
		order := run.config.operator.PutConfig(latest.Generation, config, raw, expectedFault, 10*time.Second)
		if order.Acked() && config != nil {
			run.config.setLatest(order)
		}
		run.config.changeMu.Unlock()
		run.clock.Sleep(interval)
	}
}

// setRateFactor multiplies the rate of traffic by a factor, for bursts.
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

// generateTraffic starts programs of all classes in all zones, at random intervals,
// until end.
func (run *platformRun) generateTraffic(ctx context.Context, end time.Duration) {
	var group sync.WaitGroup
	for classIndex := range run.plan.Site.Classes {
		class := &run.plan.Site.Classes[classIndex]
		if class.ProgramsPerSecond == 0 {
			continue
		}
		for zoneIndex, zone := range run.plan.Site.Zones {
			rng := rand.New(rand.NewPCG(run.plan.Seed, uint64(100+100*classIndex+zoneIndex)))
			group.Add(1)
			go func() {
				defer group.Done()
				for {
					run.clock.Sleep(time.Duration(rng.ExpFloat64() / (class.ProgramsPerSecond * run.currentRateFactor()) * float64(time.Second)))
					if ctx.Err() != nil || run.clock.Now() >= end {
						return
					}
					run.startProgram(class, zone, rng.IntN(run.plan.Site.ClientsPerZone), end, "")
				}
			}()
		}
	}
	group.Wait()
}

// startProgram starts a program, unless it is expected to end too late.
func (run *platformRun) startProgram(class *platform.RequestClass, zone string, client int, end time.Duration, previousTurn string) {
	var plan *platform.ProgramPlan
	run.player.WithGenerator(func(g *platform.ProgramGenerator) { plan = g.Program(class, zone, client) })
	if run.clock.Now()+plan.TargetTime > end+run.plan.Site.Bounds.Finish {
		return
	}
	run.programs.Add(1)
	go func() {
		defer run.programs.Done()
		run.player.RunProgram(plan, previousTurn)
	}()
}

// probeNodes sends requests directly to each ready node, on routes that were just added
// or removed and on routes that never existed.
func (run *platformRun) probeNodes(ctx context.Context) {
	for ctx.Err() == nil {
		run.config.mu.Lock()
		routes := append(append([]platform.Route(nil), run.config.added...), run.config.removed...)
		run.config.mu.Unlock()
		routes = append(routes, platform.Route{Host: "never.example", Prefix: fmt.Sprintf("/never%d/", run.randomInt(1000)), Kind: platform.Idempotent})
		for _, node := range run.entry.ReadyNodes() {
			route := routes[run.randomInt(len(routes))]
			if route.Kind != platform.Idempotent {
				continue
			}
			class := &platform.RequestClass{Name: "probe", Kind: platform.Idempotent, Method: "GET", TargetLatency: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond}
			run.programs.Add(1)
			go func() {
				defer run.programs.Done()
				run.player.SendWithRetries(class, 0, func(try *platform.Try) {
					try.Probe, try.Node, try.Host, try.Target, try.Client = true, platform.ProbeTarget(node), route.Host, route.Prefix+"probe", "probe"
				})
			}()
		}
		run.clock.Sleep(500 * time.Millisecond)
	}
}

// runClosingFault kills all machines right after a configuration was acknowledged, and
// restarts them. Then it generates traffic again, with programs that continue turns
// from before the fault.
func (run *platformRun) runClosingFault(ctx context.Context) error {
	run.changeConfig()
	turns := run.answeredTurns()
	start := run.clock.Now()
	// The record shows the fault as ongoing from before the first kill.
	closing := &platform.Closing{From: start, Back: 1 << 59}
	run.ledger.Update(func(r *platform.Record) { r.Closing = closing })
	if err := run.killAndRestartAll(time.Second, run.plan.ClosingFault == "wipe"); err != nil {
		return err
	}
	restartedAt := run.clock.Now()
	run.ledger.Update(func(*platform.Record) { closing.Back = restartedAt })
	recoveredBy := restartedAt + run.plan.Site.Bounds.Recovery
	end := recoveredBy + 6*time.Second
	run.persistUntil.Store(int64(recoveredBy))
	for _, turn := range turns {
		run.startProgram(run.plan.Site.Class(turn.Class), turn.Zone, run.randomInt(run.plan.Site.ClientsPerZone), end, turn.ID)
	}
	run.generateTraffic(ctx, end)
	return nil
}

// answeredTurns returns up to six turns that were answered completely and have at least
// half of their retention left.
func (run *platformRun) answeredTurns() (turns []*platform.Try) {
	for _, outcome := range run.ledger.Snapshot().Outcomes {
		if outcome.Ending != platform.InTime && outcome.Ending != platform.Late {
			continue
		}
		var last *platform.Try
		for _, try := range run.ledger.Snapshot().Tries {
			if try.Program == outcome.Program && try.Retain > 0 && try.Succeeded() {
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

// RunPlatform runs a plan, writes its report to out and returns the violations of the
// platform's rules. It sets up the fleet, generates traffic with the planned events and
// with probes, runs the closing fault, reads the configuration back, stops all
// processes and checks the record.
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
	run.logf("all %d nodes are ready", run.entry.CountReady())
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	errs := make(chan error, len(plan.Events)+2)
	run.programs.Add(1)
	go func() {
		defer run.programs.Done()
		run.probeNodes(trafficCtx)
	}()
	if plan.Schedule == nil {
		run.playEvents(trafficCtx, readyAt+plan.TrafficDuration, errs)
	} else if err := run.playSchedule(trafficCtx); err != nil {
		errs <- err
	}
	stopTraffic()
	run.programs.Wait()
	extraResponses := run.clients.Close()
	run.config.operator.ReadConfigRepeatedly(plan.Site.Bounds.Contact, plan.Site.Bounds.Contact+20*time.Second)
	run.instances.ApplyDue()
	run.ledger.Update(func(r *platform.Record) { r.Over = run.clock.Now() })
	stop()
	record := run.ledger.Snapshot()
	breaches := record.Check()
	for _, text := range extraResponses {
		breaches = append(breaches, platform.Breach{Rule: "MIXED", Detail: text + " with no request outstanding"})
	}
	for _, text := range run.unexpectedExits {
		breaches = append(breaches, platform.Breach{Rule: "FAULT", Detail: text})
	}
	run.checkLogs()
	breaches = append(breaches, run.observedBreaches...)
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
		_, _ = fmt.Fprintf(out, "%d %s machines: %.2f s of processor time, at most %d MB of memory each\n", count, class, cpuTime.Seconds(), peakMemory>>20)
	}
	listCalls, rejectedCalls := run.instances.CallCounts()
	connections, promptTokens, cachedTokens := 0, 0, 0
	for _, worker := range run.workers {
		connections += worker.OpenedConns()
		requested, cached := worker.Worker.PromptTokens()
		promptTokens, cachedTokens = promptTokens+requested, cachedTokens+cached
	}
	_, _ = fmt.Fprintf(out, "%d prompt tokens sent to model workers, %d of them cached there (%.0f%%)\n", promptTokens, cachedTokens, 100*float64(cachedTokens)/float64(max(1, promptTokens)))
	_, _ = fmt.Fprintf(out, "%.1f s to set up; worker list: %d calls, %d over the rate limit; %d connections to workers\n", readyAt.Seconds(), listCalls, rejectedCalls, connections)
	select {
	case err := <-errs:
		return breaches, run.withLogTails(err)
	default:
		return breaches, nil
	}
}

// playEvents generates traffic until end, with the planned events and the closing fault.
func (run *platformRun) playEvents(ctx context.Context, end time.Duration, errs chan<- error) {
	var group sync.WaitGroup
	for _, event := range run.plan.Events {
		group.Add(1)
		go func() {
			defer group.Done()
			if !run.sleepUnlessDone(ctx, event.At) {
				return
			}
			run.logf("%s %s", event.Kind, event.Target)
			if err := run.runEvent(event); err != nil {
				errs <- errors.Annotate(err, event.Kind)
			}
		}()
	}
	run.generateTraffic(ctx, end)
	group.Wait()
	if run.plan.ClosingFault != "" && ctx.Err() == nil {
		run.logf("closing fault: %s", run.plan.ClosingFault)
		if err := run.runClosingFault(ctx); err != nil {
			errs <- errors.Annotate(err, "closing fault")
		}
	}
}

// playSchedule generates traffic while the lanes of the schedule run, then plays the closing
// fault, and checks what must hold when all machines are back.
func (run *platformRun) playSchedule(ctx context.Context) error {
	before := run.resourcesByClass()
	resting := &restingPrograms{run: run, stop: make(chan struct{})}
	seriesCtx, endSeries := context.WithCancel(ctx)
	defer endSeries()
	var group sync.WaitGroup
	for _, traffic := range []func(){func() { run.generateTraffic(seriesCtx, math.MaxInt64/2) }, func() { resting.start(seriesCtx) }} {
		group.Add(1)
		go func() {
			defer group.Done()
			traffic()
		}()
	}
	err := run.runLanes(seriesCtx, run.plan.Schedule)
	endSeries()
	group.Wait()
	// A resting program that woke up within the recovery bound of the closing fault would be
	// judged by its first tries.
	resting.stopAll()
	if err != nil || ctx.Err() != nil {
		return err
	}
	if run.plan.ClosingFault != "" {
		run.logf("closing fault: %s", run.plan.ClosingFault)
		if err := run.runClosingFault(ctx); err != nil {
			return errors.Annotate(err, "closing fault")
		}
	}
	run.sleepUnlessDone(ctx, run.plan.Site.Bounds.CatchUp)
	resting.continueKept()
	run.checkAfterSeries(ctx)
	run.checkResources(before)
	return nil
}

// withLogTails adds the ends of all machines' logs to an error.
func (run *platformRun) withLogTails(err error) error {
	tails := ""
	for _, m := range run.machinesOf("") {
		content, _ := os.ReadFile(run.logPath(m))
		tails += fmt.Sprintf("\n%s: %s", m.Name, content[max(0, len(content)-600):])
	}
	return errors.Errorf("%v%s", err, tails)
}
