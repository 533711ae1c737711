// The platform's workers in a run: opened, put on the list, given troubles,
// replaced one after the other, crashed.

package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"
	"fordseam/internal/standin/platform/sockets"
)

// injectedFaults is what a service's workers do wrong just now.
type injectedFaults struct {
	faults      []platform.Fault
	probability float64
	expiresAt   time.Duration
}

// nextFault draws the trouble of one request, by what is wrong with the worker or
// with all of its service.
func (run *platformRun) nextFault(worker, service string) platform.Fault {
	for _, name := range []string{worker, service} {
		run.mu.Lock()
		injected := run.faults[name]
		run.mu.Unlock()
		if injected != nil && run.clock.Now() <= injected.expiresAt && run.randomFloat() < injected.probability {
			return injected.faults[run.randomInt(len(injected.faults))]
		}
	}
	return platform.Fine
}

func (run *platformRun) injectFaults(service string, probability float64, duration time.Duration, faults ...platform.Fault) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.faults[service] = &injectedFaults{faults: faults, probability: probability, expiresAt: run.clock.Now() + duration}
}

func (run *platformRun) startWorkers() error {
	for _, class := range run.plan.Site.Classes {
		run.workByPrefix[run.names.Prefixes[class.Name]] = class.Work
	}
	number := 0
	for index := range run.plan.Site.Services {
		shape := run.plan.Site.Services[index]
		for workerIndex := range shape.Workers {
			number++
			if _, err := run.startWorker(shape, run.plan.Site.Zones[workerIndex%len(run.plan.Site.Zones)], run.nextLoopbackAddr()+":0", 0); err != nil {
				return err
			}
		}
	}
	return nil
}

// startWorker starts one life of a worker and puts it on the list.
func (run *platformRun) startWorker(shape platform.ServiceShape, zone, address string, delay time.Duration) (*sockets.WorkerServer, error) {
	id := fmt.Sprintf("i-%08x", uint32(run.randomInt(1<<31)))
	rng := rand.New(rand.NewPCG(run.plan.Seed, base.Hash64(id)))
	var rngMu sync.Mutex
	service := run.names.Services[shape.Name]
	worker := &platform.Worker{ID: id, Service: service, Zone: zone, Clock: run.clock, Ledger: run.ledger, Shape: shape, KeepIdle: 5 * time.Second,
		Speed: []float64{1, 1, 1.3}[run.randomInt(3)], Draws: rand.New(rand.NewPCG(run.plan.Seed, base.Hash64(id, "own"))), Next: func() platform.Fault { return run.nextFault(id, service) },
		Work: func(target string) (time.Duration, int) {
			rngMu.Lock()
			defer rngMu.Unlock()
			work := platform.Draw{Mean: 50, Spread: 1, Most: 200}
			for prefix, draw := range run.workByPrefix {
				if strings.HasPrefix(target, prefix) && draw.Mean > 0 {
					work = draw
				}
			}
			return time.Duration(work.Value(rng) * float64(time.Millisecond)), 800
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
	run.instances.Change(id, &instance, delay)
	return server, nil
}

func (run *platformRun) instanceOf(server *sockets.WorkerServer, state string) platform.Instance {
	instance := platform.Instance{ID: server.Worker.ID, Service: server.Worker.Service, Address: server.Worker.Address, Zone: server.Worker.Zone, Generation: "v1",
		Capacity: server.Worker.Shape.Capacity, State: state}
	if server.Worker.Shape.Engine != nil {
		instance.Model = run.names.Model
	}
	return instance
}

// activeWorkers lists the workers of a service's shape, all for none.
func (run *platformRun) activeWorkers(shape string) []*sockets.WorkerServer {
	run.mu.Lock()
	defer run.mu.Unlock()
	return base.Filter(run.workers, func(server *sockets.WorkerServer) bool {
		return !server.Worker.Leaving() && (shape == "" || server.Worker.Shape.Name == shape)
	})
}

// drainWorker takes a worker off in order: the list shows it as draining, it
// serves for the drain's time and a little longer, then it ends.
func (run *platformRun) drainWorker(server *sockets.WorkerServer) {
	draining := run.instanceOf(server, platform.StateDraining)
	run.instances.Change(server.Worker.ID, &draining, 0)
	run.clock.Sleep(run.instances.Lag)
	run.instances.Settle()
	server.Worker.Leave()
	run.clock.Sleep(run.plan.Site.Bounds.Drain + 1500*time.Millisecond)
	run.instances.Change(server.Worker.ID, nil, 0)
	server.Close()
}

// releaseNewVersion replaces a share of a service's workers one after the other; an old
// one's address may go to a worker of another service.
func (run *platformRun) releaseNewVersion(shape string, share float64, interval time.Duration) {
	old := run.activeWorkers(shape)
	var drained sync.WaitGroup
	for _, server := range old[:int(share*float64(len(old))+0.5)] {
		if _, err := run.startWorker(server.Worker.Shape, server.Worker.Zone, run.nextLoopbackAddr()+":0", 0); err != nil {
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
	// Another service takes one of the addresses.
	if len(old) > 0 && share > 0 {
		run.clock.Sleep(run.plan.Site.Bounds.ReuseAfter)
		for _, other := range run.plan.Site.Services {
			if other.Name != old[0].Worker.Shape.Name {
				_, _ = run.startWorker(other, old[0].Worker.Zone, old[0].Worker.Address, 0)
				return
			}
		}
	}
}

func (run *platformRun) applyToOneWorker(event PlatformEvent, step func(server *sockets.WorkerServer, event PlatformEvent)) error {
	if workers := run.activeWorkers(event.classOr("app")); len(workers) > 0 {
		step(workers[run.randomInt(len(workers))], event)
	}
	return nil
}

// degradeWorker has one worker fail or hang in part, and say that it is well.
func (run *platformRun) degradeWorker(server *sockets.WorkerServer, event PlatformEvent) {
	run.injectFaults(server.Worker.ID, orDefault(event.Share, 0.5), event.Duration, platform.LostSilent, platform.Slow, platform.Fail)
}

// flapHealth has one worker call itself unwell and well in turn.
func (run *platformRun) flapHealth(server *sockets.WorkerServer, event PlatformEvent) {
	deadline := run.clock.Now() + event.Duration
	for healthy := false; run.clock.Now() < deadline; healthy = !healthy {
		server.Worker.SetWell(healthy)
		run.clock.Sleep(event.Interval / 2)
	}
	server.Worker.SetWell(true)
}

// crashWorker ends a worker at once; the list shows it for some seconds more.
func (run *platformRun) crashWorker(server *sockets.WorkerServer) {
	server.Worker.Leave()
	server.Close()
	run.instances.Change(server.Worker.ID, nil, 3*time.Second)
}
