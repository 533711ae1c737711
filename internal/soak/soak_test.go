package soak

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testShape is the shape of a small deployment.
func testShape() *Shape {
	return &Shape{Zones: []string{"a", "b", "c", "d"}, Edges: 6, Cores: 4, Storage: 4, MinStorage: 3, CatchUp: 4100 * time.Millisecond, Traffic: 40 * time.Second, Services: []string{"model", "app"}}
}

// A schedule must be the same on each machine, so its bytes are compared with a digest.
func TestScheduleFollowsFromSeed(t *testing.T) {
	is := is.New(t)
	digest := fnv.New64a()
	for seed := range uint64(50) {
		schedule := Draw(testShape(), seed).String()
		is.Equal(schedule, Draw(testShape(), seed).String())
		_, _ = digest.Write([]byte(schedule))
	}
	is.Equal(fmt.Sprintf("%016x", digest.Sum64()), "ffbc1c5e00238c58")
}

// Machines that count against the fault budget are lost one at a time, and each loss names a
// machine that is there.
func TestLossesKeepFaultBudget(t *testing.T) {
	is := is.New(t)
	kinds, sizes, closest := map[Kind]int{}, map[int]int{}, 0
	for seed := range uint64(200) {
		shape := testShape()
		present := map[string]bool{}
		schedule := Draw(shape, seed)
		is.True(schedule.Storage >= shape.MinStorage && schedule.Storage <= shape.Storage)
		is.True(schedule.Cores >= minCores && schedule.Cores <= shape.Cores)
		sizes[schedule.Storage]++
		for _, class := range []*population{newPopulation(Core, shape.Zones, schedule.Cores), newPopulation(Storage, shape.Zones, schedule.Storage)} {
			for _, machine := range class.machines {
				present[machine.String()] = true
			}
		}
		var before Kind
		for _, step := range schedule.Lanes[0].Steps {
			kinds[step.Kind]++
			if before != "" && before != Retire && before != Add {
				is.True(step.After >= shape.CatchUp)
				if step.After == shape.CatchUp {
					closest++
				}
			}
			before = step.Kind
			switch step.Kind {
			case Add:
				is.True(!present[step.Machine.String()])
				present[step.Machine.String()] = true
				continue
			case KillAfterAck:
				continue
			}
			is.True(present[step.Machine.String()])
			switch step.Kind {
			case Retire:
				delete(present, step.Machine.String())
			case Replace:
				delete(present, step.Machine.String())
				present[step.Replacement.String()] = true
			}
		}
		for _, lane := range schedule.Lanes[1:] {
			for _, step := range lane.Steps {
				kinds[step.Kind]++
			}
		}
	}
	for _, kind := range []Kind{Kill, Wipe, Replace, Freeze, Restart, Reload, Retire, Add, KillAfterAck, RestartHeldPorts, LimitDescriptors, ChangeRoutes, RaceChanges, InvalidChanges, MoveServices,
		ReleaseWorkers, CrashWorker, LoseAnswers, GarbleAnswers, ForgetConns, DegradeWorker, FlapWorker, StopList} {
		is.True(kinds[kind] > 0)
	}
	is.True(closest > 200)
	is.Equal(len(sizes), 2)
}
