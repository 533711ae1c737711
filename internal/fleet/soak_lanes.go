package fleet

import (
	"context"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/soak"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// maxLaneDelay is how many times as long as planned the lanes may take. A fleet that has
// lost its majority lets each change wait for its whole timeout; what the lanes have left
// then shows nothing more.
const maxLaneDelay = 2

// runLanes runs the lanes of a schedule at the same time, and returns the first error.
func (run *platformRun) runLanes(ctx context.Context, schedule *soak.Schedule) error {
	latest := run.clock.Now() + maxLaneDelay*run.plan.TrafficDuration
	errs := make(chan error, len(schedule.Lanes))
	var group sync.WaitGroup
	for _, lane := range schedule.Lanes {
		group.Add(1)
		go func() {
			defer group.Done()
			for _, step := range lane.Steps {
				if !run.sleepUnlessDone(ctx, step.After) {
					return
				}
				if run.clock.Now() > latest {
					run.logf("%s: the rest is left out, since the lane is late", lane.Name)
					return
				}
				run.logf("%s: %v", lane.Name, step)
				if err := run.runStep(ctx, step); err != nil {
					errs <- errors.Annotatef(err, "%s: %v", lane.Name, step)
					return
				}
			}
		}()
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// sleepUnlessDone sleeps, and returns false at once when the context is done.
func (run *platformRun) sleepUnlessDone(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return ctx.Err() == nil
	}
}

// machineOf returns a machine of a schedule, or nil if it was removed.
func (run *platformRun) machineOf(m soak.Machine) *machine {
	for _, candidate := range run.machinesOf(string(m.Class)) {
		if candidate.Name == m.String() {
			return candidate
		}
	}
	return nil
}

// runStep runs a step of a schedule and returns when it is over.
func (run *platformRun) runStep(ctx context.Context, step soak.Step) error {
	switch step.Kind {
	case soak.Add:
		return run.start(run.addMachine(string(step.Machine.Class), step.Machine.Zone, step.Machine.Number, false))
	case soak.KillAfterAck:
		return run.killAfterAck(PlatformEvent{Kind: "after_ack_kill", Duration: step.Duration})
	}
	if step.Machine.Number > 0 {
		return run.runMachineStep(step)
	}
	if run.runConfigStep(step) {
		return nil
	}
	return run.runWorkerStep(ctx, step)
}

// runMachineStep runs a step on a machine.
func (run *platformRun) runMachineStep(step soak.Step) error {
	m := run.machineOf(step.Machine)
	if m == nil {
		return nil
	}
	switch step.Kind {
	case soak.Kill, soak.Wipe:
		return run.killAndRestart(m, PlatformEvent{Kind: "node_kill", Duration: step.Duration, WipeDisk: step.Kind == soak.Wipe})
	case soak.Freeze:
		return run.freeze(m, step.Duration)
	case soak.Restart:
		return run.restartGracefully(m, step.Duration)
	case soak.Reload:
		return run.reloadSettings(m)
	case soak.Replace:
		end := run.recordTrouble("replace_core", m, nil)
		defer end()
		if err := run.removeMachine(m); err != nil {
			return err
		}
		run.clock.Sleep(step.Duration)
		return run.start(run.addMachine(m.class, step.Replacement.Zone, step.Replacement.Number, false))
	case soak.RestartHeldPorts:
		return run.restartWithHeldPorts(m, step.Duration)
	case soak.LimitDescriptors:
		return run.limitDescriptors(m, step.Duration)
	case soak.Retire:
		return run.retireMachine(m, run.plan.Site.Bounds.Recovery)
	}
	return nil
}

// restartGracefully stops a machine as planned work, and starts it again after a time.
func (run *platformRun) restartGracefully(m *machine, downtime time.Duration) error {
	end := run.recordTrouble("roll_term", m, func(trouble *platform.Trouble) { trouble.Term = true })
	defer end()
	run.stopGracefully(m)
	run.clock.Sleep(downtime)
	return run.start(m)
}

// runConfigStep runs a step on the configuration, and returns false if it is none.
func (run *platformRun) runConfigStep(step soak.Step) bool {
	switch step.Kind {
	case soak.ChangeRoutes:
		run.changeConfig()
	case soak.RaceChanges:
		run.submitConflictingConfigs()
	case soak.InvalidChanges:
		run.submitInvalidConfigs(1+run.randomInt(len(platform.InvalidKinds)), 100*time.Millisecond)
	case soak.MoveServices:
		run.changeServices()
	default:
		return false
	}
	return true
}

// changeServices submits a configuration that moves routes between services.
func (run *platformRun) changeServices() *platform.Order {
	run.config.changeMu.Lock()
	defer run.config.changeMu.Unlock()
	return run.submitLocked(run.drafts.NextServices(run.config.current()))
}

// runWorkerStep runs a step on workers or on the list of workers.
func (run *platformRun) runWorkerStep(ctx context.Context, step soak.Step) error {
	event := PlatformEvent{Target: step.Service, Duration: step.Duration, Count: 1, Share: float64(step.Percent) / 100, Interval: 300 * time.Millisecond}
	event.Kind = map[soak.Kind]string{soak.ReleaseWorkers: "release", soak.LoseAnswers: "answer_lost", soak.GarbleAnswers: "garble",
		soak.ForgetConns: "worker_forget", soak.DegradeWorker: "worker_grey", soak.FlapWorker: "worker_flap", soak.StopList: "list_down"}[step.Kind]
	if step.Kind == soak.CrashWorker {
		return run.crashAndReplaceWorker(step.Service)
	}
	if err := run.runEvent(event); err != nil {
		return err
	}
	if step.Kind == soak.LoseAnswers || step.Kind == soak.GarbleAnswers {
		run.sleepUnlessDone(ctx, step.Duration)
	}
	return nil
}

// crashAndReplaceWorker ends a worker of a service, and starts another one.
func (run *platformRun) crashAndReplaceWorker(service string) error {
	workers := run.activeWorkers(service)
	if len(workers) == 0 {
		return nil
	}
	crashed := workers[run.randomInt(len(workers))]
	run.crashWorker(crashed)
	_, err := run.startWorker(crashed.Worker.Spec, crashed.Worker.Zone, run.nextLoopbackAddr()+":0", 0)
	return err
}

// keptProgram is a program whose last turn may be continued.
type keptProgram struct {
	program *platform.ProgramPlan
	last    *platform.Try
}

// restingPrograms runs programs that rest between their turns.
type restingPrograms struct {
	run  *platformRun
	stop chan struct{}
	mu   sync.Mutex
	kept []keptProgram
	wait sync.WaitGroup
}

// restStep is the interval between the starts of two resting programs.
const restStep = 400 * time.Millisecond

// start starts a resting program every restStep until the context is done.
func (r *restingPrograms) start(ctx context.Context) {
	run := r.run
	rng := run.laneRandom("resting programs")
	class := &run.plan.Site.Classes[0]
	for client := 0; run.sleepUnlessDone(ctx, restStep); client++ {
		var plan *platform.RestingPlan
		run.player.WithGenerator(func(g *platform.ProgramGenerator) {
			plan = g.Resting(class, rng, client, class.Retain-time.Second)
		})
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			last := run.player.RunResting(plan, r.rest)
			if last == nil {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.kept = append(r.kept, keptProgram{plan.Program, last})
		}()
	}
}

// rest waits, and returns false when the programs are to stop.
func (r *restingPrograms) rest(duration time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// maxContinued is how many programs are continued at the end, so that the machines are not
// overloaded by them.
const maxContinued = 40

// stopAll stops the programs after the turns that are under way.
func (r *restingPrograms) stopAll() {
	close(r.stop)
	r.wait.Wait()
}

// continueKept continues the stopped programs whose last turn is retained for longer than the
// recovery bound: each from another zone, and every third in a session of its own, as a
// helper does.
func (r *restingPrograms) continueKept() {
	run := r.run
	until := run.clock.Now() + run.plan.Site.Bounds.Recovery
	run.persistUntil.Store(int64(until))
	kept := base.Filter(r.kept, func(k keptProgram) bool {
		return k.last.Ended+k.last.Retain > until+run.plan.Site.Bounds.Finish
	})
	zones := run.plan.Site.Zones
	var group sync.WaitGroup
	for index, k := range kept[:min(len(kept), maxContinued)] {
		group.Add(1)
		go func() {
			defer group.Done()
			run.player.Continue(k.program, k.last, zones[index%len(zones)], index%3 == 0)
		}()
	}
	group.Wait()
	run.logf("%d of %d kept programs continued", min(len(kept), maxContinued), len(r.kept))
}
