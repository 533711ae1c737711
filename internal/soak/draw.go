package soak

import (
	"math/rand/v2"
	"time"
)

// Shape is the deployment that a schedule is drawn for.
type Shape struct {
	Zones []string
	Edges int
	// Cores and Storage are the most core and storage machines that a schedule begins with.
	Cores, Storage int
	// MinStorage is the least number of storage machines, twice the fault budget plus one.
	MinStorage int
	// CatchUp is how long a machine counts as lost after its process was started again.
	CatchUp time.Duration
	// Traffic is how long the steps go on.
	Traffic time.Duration
	// Services are the kinds of services whose workers are disturbed.
	Services []string
}

// drawer draws one lane. Each lane has a random source of its own, so that a change of the
// draw of one lane leaves the others as they are.
type drawer struct {
	shape   *Shape
	rng     *rand.Rand
	classes map[Class]*population
	elapsed time.Duration
	steps   []Step
}

// population is the machines of a class, as the steps drawn so far leave them.
type population struct {
	machines []Machine
	// total counts the machines that were ever part of the class, which gives the number
	// of the next one.
	total int
}

// newPopulation returns the machines that a class begins with. They are spread over the
// zones in turn, and numbered within their zone.
func newPopulation(class Class, zones []string, count int) *population {
	p := &population{total: count}
	for index := range count {
		p.machines = append(p.machines, Machine{class, zones[index%len(zones)], index/len(zones) + 1})
	}
	return p
}

// next returns the machine that is added next to a class in a zone.
func (p *population) next(class Class, zone string) Machine {
	p.total++
	return Machine{class, zone, p.total}
}

// minCores is the least number of core machines of which one may be lost.
const minCores = 3

// Streams of random numbers, one for each lane.
const (
	lossStream = iota + 1
	sizeStream
	firstEdgeStream
	secondEdgeStream
	configStream
	workerStream
	closingStream
	environmentStream
)

// Draw draws the schedule of a seed, and the size of its fleet: the losses are hardest where
// there are no more storage machines than the fault budget needs.
func Draw(deployment *Shape, seed uint64) *Schedule {
	shape := *deployment
	sizes := rand.New(rand.NewPCG(seed, sizeStream))
	shape.Storage = shape.MinStorage + sizes.IntN(max(1, shape.Storage-shape.MinStorage+1))
	shape.Cores = min(shape.Cores, minCores+sizes.IntN(max(1, shape.Cores-minCores+1)))
	lane := func(name string, stream uint64, draw func(d *drawer)) Lane {
		d := &drawer{shape: &shape, rng: rand.New(rand.NewPCG(seed, stream)), classes: map[Class]*population{
			Core: newPopulation(Core, shape.Zones, shape.Cores), Storage: newPopulation(Storage, shape.Zones, shape.Storage)}}
		for d.elapsed < shape.Traffic {
			draw(d)
		}
		return Lane{name, d.steps}
	}
	edges := newPopulation(Edge, shape.Zones, shape.Edges).machines
	half := (len(edges) + 1) / 2
	schedule := &Schedule{Seed: seed, Cores: shape.Cores, Storage: shape.Storage, Lanes: []Lane{
		lane("losses", lossStream, (*drawer).drawLoss),
		lane("edges", firstEdgeStream, func(d *drawer) { d.drawEdgeStep(edges[:half]) }),
		lane("more edges", secondEdgeStream, func(d *drawer) { d.drawEdgeStep(edges[half:]) }),
		lane("configuration", configStream, (*drawer).drawConfigStep),
		lane("workers", workerStream, (*drawer).drawWorkerStep),
		lane("environment", environmentStream, func(d *drawer) { d.drawEnvironment(edges) }),
	}}
	closings := []Closing{NoClosing, KillAll, KillAndWipe}
	schedule.Closing = closings[rand.New(rand.NewPCG(seed, closingStream)).IntN(len(closings))]
	return schedule
}

// between draws a time in whole tenths of a second, both ends included.
func (d *drawer) between(low, high time.Duration) time.Duration {
	const unit = 100 * time.Millisecond
	return low + time.Duration(d.rng.IntN(int((high-low)/unit)+1))*unit
}

// chance is true in the given number of a hundred cases.
func (d *drawer) chance(percent int) bool { return d.rng.IntN(100) < percent }

// weighted is a kind with its weight among the kinds of a lane.
type weighted struct {
	kind   Kind
	weight int
}

// pick draws one of several kinds by their weights.
func (d *drawer) pick(kinds []weighted) Kind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	drawn := d.rng.IntN(total)
	for _, k := range kinds {
		if drawn -= k.weight; drawn < 0 {
			return k.kind
		}
	}
	return kinds[0].kind
}

// add appends a step to the lane.
func (d *drawer) add(step Step) {
	d.steps = append(d.steps, step)
	d.elapsed += step.After + step.Duration
}

// lossPause draws the pause before the next loss: usually just as long as the machine
// before counts as lost, and sometimes longer.
func (d *drawer) lossPause() time.Duration {
	if len(d.steps) == 0 {
		return d.between(0, time.Second)
	}
	switch d.steps[len(d.steps)-1].Kind {
	case Retire, Add:
		return d.between(0, time.Second)
	}
	if d.chance(60) {
		return d.shape.CatchUp
	}
	return d.shape.CatchUp + d.between(0, 3*time.Second)
}

// drawLoss draws a step on a machine that counts against the fault budget.
func (d *drawer) drawLoss() {
	step := Step{After: d.lossPause()}
	step.Kind = d.pick([]weighted{{Kill, 2}, {Wipe, 5}, {Replace, 6}, {Freeze, 2}, {Restart, 2}, {Retire, 4}, {Add, 2}, {KillAfterAck, 1}})
	class := Storage
	if step.Kind != Retire && d.chance(20) {
		class = Core
	}
	p := d.classes[class]
	index := d.rng.IntN(len(p.machines))
	step.Machine = p.machines[index]
	switch step.Kind {
	case Kill, Wipe, Restart:
		step.Duration = d.between(0, 2*time.Second)
	case Freeze:
		step.Duration = d.between(500*time.Millisecond, 5*time.Second)
	case KillAfterAck:
		step.Machine, step.Duration = Machine{}, d.between(0, 2*time.Second)
	case Replace:
		step.Duration = d.between(0, 2500*time.Millisecond)
		step.Replacement = p.next(class, step.Machine.Zone)
		p.machines[index] = step.Replacement
	case Retire:
		if len(p.machines) <= d.shape.MinStorage {
			return
		}
		p.machines = append(p.machines[:index:index], p.machines[index+1:]...)
	case Add:
		if len(p.machines) > max(d.shape.Storage, d.shape.Cores) {
			return
		}
		step.Machine = p.next(class, d.shape.Zones[d.rng.IntN(len(d.shape.Zones))])
		p.machines = append(p.machines, step.Machine)
	}
	d.add(step)
}

// drawEdgeStep draws a step on one of some edge machines, which do not count against the
// fault budget.
func (d *drawer) drawEdgeStep(edges []Machine) {
	if len(edges) == 0 {
		d.elapsed = d.shape.Traffic
		return
	}
	step := Step{After: d.between(0, 4*time.Second), Machine: edges[d.rng.IntN(len(edges))]}
	step.Kind = d.pick([]weighted{{Restart, 4}, {Kill, 2}, {Freeze, 2}, {Reload, 3}})
	switch step.Kind {
	case Restart, Kill:
		step.Duration = d.between(0, 2*time.Second)
	case Freeze:
		step.Duration = d.between(300*time.Millisecond, 4*time.Second)
	}
	d.add(step)
}

// drawEnvironment draws something that the machine of an edge process lacks for a time, which
// must not end the process.
func (d *drawer) drawEnvironment(edges []Machine) {
	step := Step{After: d.between(0, 6*time.Second), Machine: edges[d.rng.IntN(len(edges))], Duration: d.between(300*time.Millisecond, 3*time.Second)}
	step.Kind = d.pick([]weighted{{RestartHeldPorts, 1}, {LimitDescriptors, 1}})
	d.add(step)
}

// drawConfigStep draws a change of the configuration. Services move most often, and then
// soon again.
func (d *drawer) drawConfigStep() {
	step := Step{After: d.between(0, 3*time.Second)}
	step.Kind = d.pick([]weighted{{ChangeRoutes, 2}, {RaceChanges, 1}, {InvalidChanges, 1}, {MoveServices, 5}})
	d.add(step)
	d.elapsed += 200 * time.Millisecond
}

// drawWorkerStep draws a disturbance of workers or of their list.
func (d *drawer) drawWorkerStep() {
	step := Step{After: d.between(0, 3*time.Second), Service: d.shape.Services[d.rng.IntN(len(d.shape.Services))], Duration: d.between(500*time.Millisecond, 4*time.Second)}
	step.Kind = d.pick([]weighted{{ReleaseWorkers, 2}, {CrashWorker, 2}, {LoseAnswers, 2}, {GarbleAnswers, 2}, {ForgetConns, 1}, {DegradeWorker, 1}, {FlapWorker, 1}, {StopList, 1}})
	switch step.Kind {
	case ReleaseWorkers:
		step.Duration, step.Percent = 0, 50
	case CrashWorker:
		step.Duration = 0
	case LoseAnswers:
		step.Percent = 5
	case GarbleAnswers:
		step.Percent = 3
	case StopList:
		step.Service = ""
	}
	d.add(step)
}
