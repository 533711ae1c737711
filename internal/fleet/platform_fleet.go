package fleet

import (
	"slices"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// PlatformFleet is a fleet on the simulated platform without clients, for tests that bring
// clients of their own. A configuration is in force, and all its nodes are ready.
type PlatformFleet struct{ run *platformRun }

// PlatformMachine is a machine of a fleet with the addresses on which its process listens.
// Those that its class does not have are empty.
type PlatformMachine struct {
	Name, Class                         string
	PID                                 int
	Front, Readiness, Control, Internal string
}

// StartPlatformFleet starts the fleet of a plan, whose traffic and events are not played.
func StartPlatformFleet(plan *PlatformPlan) (*PlatformFleet, error) {
	run := newPlatformRun(plan)
	if err := run.setUp(); err != nil {
		err = run.withLogTails(err)
		run.stop()
		return nil, err
	}
	return &PlatformFleet{run: run}, nil
}

// Stop ends all processes of the fleet.
func (f *PlatformFleet) Stop() { f.run.stop() }

// Machines returns the machines of a class, or of all classes if class is empty.
func (f *PlatformFleet) Machines(class string) []PlatformMachine {
	return base.Map(f.run.machinesOf(class), func(m *machine) PlatformMachine {
		pid, _ := m.runningPID()
		described := PlatformMachine{Name: m.Name, Class: m.class, PID: pid, Internal: f.run.addrOf(m, f.run.ports.internalPorts[0])}
		switch m.class {
		case platform.ClassEdge:
			described.Front, described.Readiness = f.run.addrOf(m, f.run.ports.frontPort), f.run.addrOf(m, f.run.ports.readinessPort)
		case platform.ClassCore:
			described.Control, described.Internal = f.run.addrOf(m, f.run.ports.controlPort), f.run.addrOf(m, f.run.ports.internalPorts[0]+1)
		}
		return described
	})
}

// Route returns the route of a class of requests.
func (f *PlatformFleet) Route(class string) platform.Route {
	return *f.run.config.current().Match(f.run.names.Hosts[class], f.run.names.Prefixes[class]+"x")
}

// Model returns the name of the model that model workers serve.
func (f *PlatformFleet) Model() string { return f.run.names.Model }

// SetEndlessWorkers makes the first workers of each service, a share of them, answer each request
// with one of the faults, and all others as usual.
func (f *PlatformFleet) SetEndlessWorkers(share float64, faults ...platform.Fault) {
	for _, service := range f.run.plan.Site.Services {
		workers := f.run.activeWorkers(service.Name)
		faulty := int(share*float64(len(workers)) + 0.5)
		f.run.setEndless(workers[:faulty], faults...)
		f.run.setEndless(workers[faulty:])
	}
}

// SetAnswerBytes sets the size of the answers of plain workers; 0 is the usual one.
func (f *PlatformFleet) SetAnswerBytes(size int) { f.run.answerBytes.Store(int64(size)) }

// SetEndlessList makes the list of workers answer without end, or as usual if form is empty.
func (f *PlatformFleet) SetEndlessList(form platform.EndlessForm) { f.run.listServer.SetEndless(form) }

// EndlessAnswers returns how many endless answers of workers have ended, and the most bytes that
// a connection took of one answer of a worker or of the list, buffers of sockets included.
func (f *PlatformFleet) EndlessAnswers() (count int, most int64) {
	most = f.run.listServer.MostEndlessBytes()
	f.run.ledger.Update(func(r *platform.Record) {
		for _, arrival := range r.Arrivals {
			if arrival.EndlessBytes > 0 {
				count++
				most = max(most, arrival.EndlessBytes)
			}
		}
	})
	return count, most
}

// ForgetEndlessAnswers makes EndlessAnswers begin anew.
func (f *PlatformFleet) ForgetEndlessAnswers() {
	f.run.listServer.ForgetEndless()
	f.run.ledger.Update(func(r *platform.Record) {
		for _, arrival := range r.Arrivals {
			arrival.EndlessBytes = 0
		}
	})
}

// UnexpectedExits describes the processes that ended by themselves so far.
func (f *PlatformFleet) UnexpectedExits() []string {
	f.run.mu.Lock()
	defer f.run.mu.Unlock()
	return slices.Clone(f.run.unexpectedExits)
}

// Restart kills the process of a machine and starts it again.
func (f *PlatformFleet) Restart(name string) error {
	for _, m := range f.run.machinesOf("") {
		if m.Name == name {
			f.run.stopWith(m, m.Kill)
			return f.run.start(m)
		}
	}
	return errors.Errorf("there is no machine %q", name)
}
