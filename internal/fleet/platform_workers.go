package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"
	"fordseam/internal/standin/platform/sockets"
)

// injectedFaults are the faults that a worker, or all workers of a service, have until
// a time. Each request has one of them with the given probability.
type injectedFaults struct {
	faults      []platform.Fault
	probability float64
	expiresAt   time.Duration
}

// nextFault chooses the fault of a request, from the faults of the worker or else of its
// service.
func (run *platformRun) nextFault(worker, service string) platform.Fault {
	for _, name := range []string{worker, service} {
		run.mu.Lock()
		injected := run.faults[name]
		run.mu.Unlock()
		if injected != nil && run.clock.Now() <= injected.expiresAt && run.randomFloat() < injected.probability {
			return injected.faults[run.randomInt(len(injected.faults))]
		}
	}
	return platform.NoFault
}

// injectFaults injects faults into a service, or into a single worker if service is a
// worker ID, for a duration.
func (run *platformRun) injectFaults(service string, probability float64, duration time.Duration, faults ...platform.Fault) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.faults[service] = &injectedFaults{faults: faults, probability: probability, expiresAt: run.clock.Now() + duration}
}

// answerWithoutEnd makes a share of the workers of a service, or of all services, answer each
// request without end for the duration of the event.
func (run *platformRun) answerWithoutEnd(event PlatformEvent) {
	var faulty []*sockets.WorkerServer
	for _, service := range run.plan.Site.Services {
		if event.Target == "" || event.Target == service.Name {
			workers := run.activeWorkers(service.Name)
			faulty = append(faulty, workers[:int(orDefault(event.Share, 0.5)*float64(len(workers))+0.5)]...)
		}
	}
	run.setEndless(faulty, event.endlessFault())
	run.clock.Sleep(event.Duration)
	run.setEndless(faulty)
}

// setEndless makes workers answer each request with one of the faults, or as usual if there are
// none.
func (run *platformRun) setEndless(workers []*sockets.WorkerServer, faults ...platform.Fault) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, server := range workers {
		run.endless[server.Worker.ID] = faults
	}
}

// nextEndless draws the endless answer of a worker, or returns NoFault.
func (run *platformRun) nextEndless(worker string) platform.Fault {
	run.mu.Lock()
	faults := run.endless[worker]
	run.mu.Unlock()
	if len(faults) == 0 {
		return platform.NoFault
	}
	return faults[run.randomInt(len(faults))]
}

// startWorkers starts the workers of all services, spread over the zones.
func (run *platformRun) startWorkers() error {
	for _, class := range run.plan.Site.Classes {
		run.workByPrefix[run.names.Prefixes[class.Name]] = class.WorkMs
	}
	count := 0
	for index := range run.plan.Site.Services {
		shape := run.plan.Site.Services[index]
		for workerIndex := range shape.Workers {
			count++
			if _, err := run.startWorker(shape, run.plan.Site.Zones[workerIndex%len(run.plan.Site.Zones)], run.nextLoopbackAddr()+":0", 0); err != nil {
				return err
			}
		}
	}
	return nil
}

// startWorker starts a worker with a new ID at an address, and adds it to the worker
// list after a delay.
func (run *platformRun) startWorker(shape platform.ServiceSpec, zone, address string, delay time.Duration) (*sockets.WorkerServer, error) {
	id := fmt.Sprintf("i-%08x", uint32(run.randomInt(1<<31)))
	rng := rand.New(rand.NewPCG(run.plan.Seed, base.Hash64(id)))
	var rngMu sync.Mutex
	service := run.names.Services[shape.Name]
	worker := &platform.Worker{ID: id, Service: service, Zone: zone, Clock: run.clock, Recorder: run.ledger, Spec: shape, KeepAlive: 5 * time.Second,
		Slowdown: []float64{1, 1, 1.3}[run.randomInt(3)], Rng: rand.New(rand.NewPCG(run.plan.Seed, base.Hash64(id, "own"))), NextFault: func() platform.Fault { return run.nextFault(id, service) }, NextEndless: func() platform.Fault { return run.nextEndless(id) },
		Workload: func(target string) (time.Duration, int) {
			rngMu.Lock()
			defer rngMu.Unlock()
			work := platform.Distribution{Mean: 50, Spread: 1, Max: 200}
			for prefix, draw := range run.workByPrefix {
				if strings.HasPrefix(target, prefix) && draw.Mean > 0 {
					work = draw
				}
			}
			return time.Duration(work.Sample(rng) * float64(time.Millisecond)), run.answerSize()
		}}
	server, err := sockets.ListenWorker(worker, address, func(s *sockets.WorkerServer) {
		s.DrawCloseAfterResponse = func() bool { return run.randomInt(50) == 0 }
	})
	if err != nil {
		return nil, err
	}
	run.mu.Lock()
	run.workers = append(run.workers, server)
	run.mu.Unlock()
	instance := run.instanceOf(server, platform.StateReady)
	run.instances.ScheduleChange(id, &instance, delay)
	return server, nil
}

// usualAnswerBytes is the size of plain workers' answers.
const usualAnswerBytes = 800

// answerSize returns the size of plain workers' answers.
func (run *platformRun) answerSize() int {
	if size := run.answerBytes.Load(); size > 0 {
		return int(size)
	}
	return usualAnswerBytes
}

// instanceOf returns the entry of a worker in the worker list.
func (run *platformRun) instanceOf(server *sockets.WorkerServer, state string) platform.Instance {
	instance := platform.Instance{ID: server.Worker.ID, Service: server.Worker.Service, Address: server.Worker.Address, Zone: server.Worker.Zone, Generation: "v1",
		Capacity: server.Worker.Spec.Capacity, State: state}
	if server.Worker.Spec.Engine != nil {
		instance.Model = run.names.Model
	}
	return instance
}

// activeWorkers returns the workers of a service that are not draining or ended, or
// those of all services if shape is empty. A worker that draws a fault holds its own lock
// and asks the run, so the workers are asked without the run's lock.
func (run *platformRun) activeWorkers(shape string) []*sockets.WorkerServer {
	run.mu.Lock()
	workers := slices.Clone(run.workers)
	run.mu.Unlock()
	return base.Filter(workers, func(server *sockets.WorkerServer) bool {
		return !server.Worker.Draining() && (shape == "" || server.Worker.Spec.Name == shape)
	})
}

// drainWorker removes a worker gracefully: the list shows it as draining, and it serves
// for the drain time and 1.5 s more before it ends.
func (run *platformRun) drainWorker(server *sockets.WorkerServer) {
	draining := run.instanceOf(server, platform.StateDraining)
	run.instances.ScheduleChange(server.Worker.ID, &draining, 0)
	run.clock.Sleep(run.instances.Lag)
	run.instances.ApplyDue()
	server.Worker.Drain()
	run.clock.Sleep(run.plan.Site.Bounds.Drain + 1500*time.Millisecond)
	run.instances.ScheduleChange(server.Worker.ID, nil, 0)
	server.Close()
}

// releaseNewVersion replaces a share of the workers of a service one after the other.
// Finally a worker of another service reuses the address of the first old one.
func (run *platformRun) releaseNewVersion(shape string, share float64, interval time.Duration) {
	old := run.activeWorkers(shape)
	var drained sync.WaitGroup
	for _, server := range old[:int(share*float64(len(old))+0.5)] {
		if _, err := run.startWorker(server.Worker.Spec, server.Worker.Zone, run.nextLoopbackAddr()+":0", 0); err != nil {
			continue
		}
		drained.Add(1)
		go func() {
			defer drained.Done()
			run.drainWorker(server)
		}()
		run.clock.Sleep(interval)
	}
	drained.Wait()
	// Reuse an address for a worker of another service.
	if len(old) > 0 && share > 0 {
		run.clock.Sleep(run.plan.Site.Bounds.ReuseAfter)
		for _, other := range run.plan.Site.Services {
			if other.Name != old[0].Worker.Spec.Name {
				_, _ = run.startWorker(other, old[0].Worker.Zone, old[0].Worker.Address, 0)
				return
			}
		}
	}
}

// applyToOneWorker calls step with a randomly chosen worker of the event's service.
func (run *platformRun) applyToOneWorker(event PlatformEvent, step func(server *sockets.WorkerServer, event PlatformEvent)) error {
	if workers := run.activeWorkers(event.targetOr("app")); len(workers) > 0 {
		step(workers[run.randomInt(len(workers))], event)
	}
	return nil
}

// degradeWorker makes some requests of a worker fail, slow down or get no response,
// while the worker still reports that it is healthy.
func (run *platformRun) degradeWorker(server *sockets.WorkerServer, event PlatformEvent) {
	run.injectFaults(server.Worker.ID, orDefault(event.Share, 0.5), event.Duration, platform.FaultLostSilent, platform.FaultSlow, platform.FaultError)
}

// flapHealth makes a worker report alternately that it is unhealthy and healthy.
func (run *platformRun) flapHealth(server *sockets.WorkerServer, event PlatformEvent) {
	deadline := run.clock.Now() + event.Duration
	for healthy := false; run.clock.Now() < deadline; healthy = !healthy {
		server.Worker.SetHealthy(healthy)
		run.clock.Sleep(event.Interval / 2)
	}
	server.Worker.SetHealthy(true)
}

// crashWorker ends a worker at once. The list shows it for 3 s more.
func (run *platformRun) crashWorker(server *sockets.WorkerServer) {
	server.Worker.Drain()
	server.Close()
	run.instances.ScheduleChange(server.Worker.ID, nil, 3*time.Second)
}
