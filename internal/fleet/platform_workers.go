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
func (w *platformRun) nextFault(worker, service string) platform.Fault {
	for _, name := range []string{worker, service} {
		w.mu.Lock()
		f := w.faults[name]
		w.mu.Unlock()
		if f != nil && w.clock.Now() <= f.expiresAt && w.randomFloat() < f.probability {
			return f.faults[w.randomInt(len(f.faults))]
		}
	}
	return platform.Fine
}

func (w *platformRun) injectFaults(service string, share float64, span time.Duration, faults ...platform.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[service] = &injectedFaults{faults: faults, probability: share, expiresAt: w.clock.Now() + span}
}

func (w *platformRun) startWorkers() error {
	for _, class := range w.plan.Site.Classes {
		w.workByPrefix[w.names.Prefixes[class.Name]] = class.Work
	}
	number := 0
	for place := range w.plan.Site.Services {
		shape := w.plan.Site.Services[place]
		for one := range shape.Workers {
			number++
			if _, err := w.startWorker(shape, w.plan.Site.Zones[one%len(w.plan.Site.Zones)], w.nextLoopbackAddr()+":0", 0); err != nil {
				return err
			}
		}
	}
	return nil
}

// startWorker starts one life of a worker and puts it on the list.
func (w *platformRun) startWorker(shape platform.ServiceShape, zone, address string, after time.Duration) (*sockets.WorkerServer, error) {
	id := fmt.Sprintf("i-%08x", uint32(w.randomInt(1<<31)))
	rng := rand.New(rand.NewPCG(w.plan.Seed, base.Hash64(id)))
	var rngMu sync.Mutex
	service := w.names.Services[shape.Name]
	worker := &platform.Worker{ID: id, Service: service, Zone: zone, Clock: w.clock, Ledger: w.ledger, Shape: shape, KeepIdle: 5 * time.Second,
		Speed: []float64{1, 1, 1.3}[w.randomInt(3)], Draws: rand.New(rand.NewPCG(w.plan.Seed, base.Hash64(id, "own"))), Next: func() platform.Fault { return w.nextFault(id, service) },
		Work: func(target string) (time.Duration, int) {
			rngMu.Lock()
			defer rngMu.Unlock()
			work := platform.Draw{Mean: 50, Spread: 1, Most: 200}
			for prefix, one := range w.workByPrefix {
				if strings.HasPrefix(target, prefix) && one.Mean > 0 {
					work = one
				}
			}
			return time.Duration(work.Value(rng) * float64(time.Millisecond)), 800
		}}
	server, err := sockets.ListenWorker(worker, address, func(s *sockets.WorkerServer) {
		s.DrawCloseAfterResponse = func() bool { return w.randomInt(50) == 0 }
	})
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.workers = append(w.workers, server)
	w.mu.Unlock()
	instance := w.instanceOf(server, platform.StateReady)
	w.instances.Change(id, &instance, after)
	return server, nil
}

func (w *platformRun) instanceOf(s *sockets.WorkerServer, state string) platform.Instance {
	one := platform.Instance{ID: s.Worker.ID, Service: s.Worker.Service, Address: s.Worker.Address, Zone: s.Worker.Zone, Generation: "v1",
		Capacity: s.Worker.Shape.Capacity, State: state}
	if s.Worker.Shape.Engine != nil {
		one.Model = w.names.Model
	}
	return one
}

// activeWorkers lists the workers of a service's shape, all for none.
func (w *platformRun) activeWorkers(shape string) []*sockets.WorkerServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return base.Filter(w.workers, func(s *sockets.WorkerServer) bool {
		return !s.Worker.Leaving() && (shape == "" || s.Worker.Shape.Name == shape)
	})
}

// drainWorker takes a worker off in order: the list shows it as draining, it
// serves for the drain's time and a little longer, then it ends.
func (w *platformRun) drainWorker(s *sockets.WorkerServer) {
	draining := w.instanceOf(s, platform.StateDraining)
	w.instances.Change(s.Worker.ID, &draining, 0)
	w.clock.Sleep(w.instances.Lag)
	w.instances.Settle()
	s.Worker.Leave()
	w.clock.Sleep(w.plan.Site.Bounds.Drain + 1500*time.Millisecond)
	w.instances.Change(s.Worker.ID, nil, 0)
	s.Close()
}

// releaseNewVersion replaces a share of a service's workers one after the other; an old
// one's address may go to a worker of another service.
func (w *platformRun) releaseNewVersion(shape string, share float64, gap time.Duration) {
	old := w.activeWorkers(shape)
	var ended sync.WaitGroup
	for _, s := range old[:int(share*float64(len(old))+0.5)] {
		if _, err := w.startWorker(s.Worker.Shape, s.Worker.Zone, w.nextLoopbackAddr()+":0", 0); err != nil {
			continue
		}
		ended.Add(1)
		go func() {
			defer ended.Done()
			w.drainWorker(s)
		}()
		w.clock.Sleep(gap)
	}
	ended.Wait()
	// Another service takes one of the addresses.
	if len(old) > 0 && share > 0 {
		w.clock.Sleep(w.plan.Site.Bounds.ReuseAfter)
		for _, other := range w.plan.Site.Services {
			if other.Name != old[0].Worker.Shape.Name {
				_, _ = w.startWorker(other, old[0].Worker.Zone, old[0].Worker.Address, 0)
				return
			}
		}
	}
}

func (w *platformRun) applyToOneWorker(t PlatformEvent, step func(s *sockets.WorkerServer, t PlatformEvent)) error {
	if list := w.activeWorkers(t.classOr("app")); len(list) > 0 {
		step(list[w.randomInt(len(list))], t)
	}
	return nil
}

// degradeWorker has one worker fail or hang in part, and say that it is well.
func (w *platformRun) degradeWorker(s *sockets.WorkerServer, t PlatformEvent) {
	w.injectFaults(s.Worker.ID, orDefault(t.Share, 0.5), t.Duration, platform.LostSilent, platform.Slow, platform.Fail)
}

// flapHealth has one worker call itself unwell and well in turn.
func (w *platformRun) flapHealth(s *sockets.WorkerServer, t PlatformEvent) {
	end := w.clock.Now() + t.Duration
	for well := false; w.clock.Now() < end; well = !well {
		s.Worker.SetWell(well)
		w.clock.Sleep(t.Interval / 2)
	}
	s.Worker.SetWell(true)
}

// crashWorker ends a worker at once; the list shows it for some seconds more.
func (w *platformRun) crashWorker(s *sockets.WorkerServer) {
	s.Worker.Leave()
	s.Close()
	w.instances.Change(s.Worker.ID, nil, 3*time.Second)
}
