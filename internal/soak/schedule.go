// Package soak draws schedules of overlapping faults, planned work and changes from a
// seed. A schedule depends on its shape and seed only: the same ones give the same bytes
// on each machine. Machines that count against the fault budget are lost one after the
// other, as closely as the fault budget allows. Everything else overlaps with that and
// with itself.
package soak

import (
	"fmt"
	"strings"
	"time"
)

// Kind is what a step does.
type Kind string

// Steps on one machine. KillAfterAck changes the configuration, and kills the core machine
// that acknowledged it. RestartHeldPorts restarts a process while other sockets hold its ports for
// a time, and LimitDescriptors leaves it hardly any descriptors for a time.
const (
	Kill             Kind = "kill"
	Wipe             Kind = "wipe"
	Replace          Kind = "replace"
	Freeze           Kind = "freeze"
	Restart          Kind = "restart"
	Reload           Kind = "reload"
	Retire           Kind = "retire"
	Add              Kind = "add"
	KillAfterAck     Kind = "kill after ack"
	RestartHeldPorts Kind = "restart with held ports"
	LimitDescriptors Kind = "limit descriptors"
)

// Steps on the configuration.
const (
	ChangeRoutes   Kind = "change routes"
	RaceChanges    Kind = "race of changes"
	InvalidChanges Kind = "invalid changes"
	MoveServices   Kind = "move services"
)

// Steps on workers and on the list of them.
const (
	ReleaseWorkers Kind = "release workers"
	CrashWorker    Kind = "crash worker"
	LoseAnswers    Kind = "lose answers"
	GarbleAnswers  Kind = "garble answers"
	ForgetConns    Kind = "forget connections"
	DegradeWorker  Kind = "degrade worker"
	FlapWorker     Kind = "flap worker"
	StopList       Kind = "stop list"
)

// Class is a class of machines.
type Class string

// The classes of machines. Core and storage machines count against the fault budget.
const (
	Edge    Class = "edge"
	Core    Class = "core"
	Storage Class = "storage"
)

// Machine names a machine by its class, zone and number.
type Machine struct {
	Class  Class
	Zone   string
	Number int
}

func (m Machine) String() string { return fmt.Sprintf("%s-%s-%d", m.Class, m.Zone, m.Number) }

// Step is one step of a lane. It begins After the end of the step before it: for a step
// that takes a machine down, when its process, or its replacement's, was started again.
type Step struct {
	After time.Duration
	Kind  Kind
	// Machine is the machine that the step affects, or the one that Add adds.
	Machine Machine
	// Replacement is the machine that Replace starts for Machine.
	Replacement Machine
	// Service is the kind of service that the step affects.
	Service string
	// Duration is how long a machine is down or frozen, or a fault of workers lasts.
	Duration time.Duration
	// Percent is the share of workers or answers that the step affects.
	Percent int
}

func (s Step) String() string {
	text := fmt.Sprintf("+%v %s", s.After, s.Kind)
	if s.Machine.Number > 0 {
		text += " " + s.Machine.String()
	}
	if s.Replacement.Number > 0 {
		text += " by " + s.Replacement.String()
	}
	if s.Service != "" {
		text += " of " + s.Service
	}
	if s.Duration > 0 {
		text += fmt.Sprintf(" for %v", s.Duration)
	}
	if s.Percent > 0 {
		text += fmt.Sprintf(" at %d%%", s.Percent)
	}
	return text
}

// Lane is a series of steps, one after the other. Lanes run at the same time.
type Lane struct {
	Name  string
	Steps []Step
}

// Closing is the loss of all power at the end of a schedule.
type Closing string

// The closing faults: none, all processes killed, and one disk lost as well.
const (
	NoClosing   Closing = ""
	KillAll     Closing = "kill_all"
	KillAndWipe Closing = "wipe"
)

// Schedule is all that a seed draws for one run.
type Schedule struct {
	Seed uint64
	// Cores and Storage are how many core and storage machines the fleet begins with.
	Cores, Storage int

	Lanes   []Lane
	Closing Closing
}

// String lists the schedule, a step a line.
func (s *Schedule) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d core and %d storage machines\n", s.Seed, s.Cores, s.Storage)
	for _, lane := range s.Lanes {
		fmt.Fprintf(&text, "%s:\n", lane.Name)
		for _, step := range lane.Steps {
			fmt.Fprintf(&text, "  %v\n", step)
		}
	}
	if s.Closing != NoClosing {
		fmt.Fprintf(&text, "closing: %s\n", s.Closing)
	}
	return text.String()
}
