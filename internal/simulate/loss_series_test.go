// Tests of storage machines that are lost and replaced one after another, each as soon as
// the fault budget allows it.
package simulate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/matryer/is"
)

// catchUp is how long a machine counts as lost after it was started again or replaced.
const catchUp = 4100 * time.Millisecond

// lossStep is a step of a series: a loss of storage machines, or a planned change of them.
type lossStep int

const (
	// retireStep retires a machine and removes it with its disk.
	retireStep lossStep = iota
	// wipeStep empties the disks of machines, which start again at their addresses.
	wipeStep
	// replaceStep removes machines with their disks; empty ones start at other addresses.
	replaceStep
	// restartStep restarts machines, which keep their disks.
	restartStep
	// powerLossStep takes the power of all machines; some disks come back empty.
	powerLossStep
	// leaderStep freezes the leader of shard 0, so that another core takes over.
	leaderStep
	lossStepCount
)

func (s lossStep) String() string {
	return [...]string{"retire", "wipe", "replace", "restart", "power loss", "change of leader"}[s]
}

// lossSeries plays a series on a fleet.
type lossSeries struct {
	is       *is.I
	fleet    *Fleet
	call     *apiClient
	settings int // version of the last acknowledged settings
}

// play executes a step and waits until no machine counts as lost any more.
func (s *lossSeries) play(step lossStep) {
	f := s.fleet
	switch step {
	case retireStep:
		s.retire()
		return
	case wipeStep:
		s.loseAndReturn(f.wipeMachine, f.Start)
	case replaceStep:
		silent := f.World.Int64N(2) == 0
		s.loseAndReturn(func(m *Machine) { f.loseMachine(m, silent) }, func(*Machine) { f.AddMachine("storage") })
	case restartStep:
		s.loseAndReturn(f.Kill, f.Start)
	case powerLossStep:
		for _, m := range s.pickLost() {
			f.wipeMachine(m)
		}
		f.totalOutage()
	case leaderStep:
		if leader := f.feedLeader(); leader != nil {
			f.freeze(leader, 3*time.Second)
		}
		s.call.sleep(3 * time.Second)
	}
	s.call.sleep(catchUp)
	s.checkTolerance(step)
	s.call.sleep(f.World.Between(0, 1500*time.Millisecond) * time.Duration(f.World.Int64N(2)))
}

// pickLost returns as many machines as may be lost at once.
func (s *lossSeries) pickLost() (lost []*Machine) {
	for len(lost) < s.fleet.Shape.FaultTolerance {
		if m := s.fleet.pickMachine(s.fleet.remainingStorage()); !slices.Contains(lost, m) {
			lost = append(lost, m)
		}
	}
	return lost
}

// loseAndReturn loses as many machines as may be lost at once, and later lets them, or
// others for them, start.
func (s *lossSeries) loseAndReturn(lose, start func(m *Machine)) {
	lost := s.pickLost()
	for _, m := range lost {
		lose(m)
	}
	s.call.sleep(s.fleet.World.Between(0, 3*time.Second))
	for _, m := range lost {
		start(m)
	}
}

// retire retires a machine, if more remain than the fault budget needs, and removes it
// with its disk.
func (s *lossSeries) retire() {
	f := s.fleet
	if len(f.remainingStorage()) <= 2*f.Shape.FaultTolerance+1 {
		return
	}
	retired := f.pickMachine(f.remainingStorage())
	s.is.Equal(f.retireNode("POST", retired.Host.Name), "200active")
	complete := func() bool { return f.retireNode("GET", retired.Host.Name) == "200complete" }
	s.is.True(f.waitUntil(20*time.Second, complete) < 20*time.Second)
	f.loseMachine(retired, false)
}

// checkTolerance checks that as many voters as the fault budget allows may be lost now, and
// the others are still a majority.
func (s *lossSeries) checkTolerance(step lossStep) {
	f := s.fleet
	set := f.diskSet()
	live := map[string]bool{}
	for _, m := range f.remainingStorage() {
		if m.Host.alive && m.storage != nil {
			live[m.storage.Store.ID()] = true
		}
	}
	voters := set.ToConsensus().Voters()
	liveVoters := len(base.Filter(voters, func(id string) bool { return live[id] }))
	if liveVoters-f.Shape.FaultTolerance < consensus.Majority(len(voters)) {
		f.Tally.Breach("after %v: %d of %d voters are live, the loss of %d more stops the control state; %v", step, liveVoters, len(voters), f.Shape.FaultTolerance, set)
	}
}

// changeSettings applies a change of the settings, which must be acknowledged.
func (s *lossSeries) changeSettings() {
	f := s.fleet
	change := fmt.Sprint("change-", s.settings)
	applied := func() bool {
		status, _ := f.OperatorRequest(f.liveCore(), "POST", "/v1/operator/settings/apply",
			map[string]any{"change": change, "based_on": s.settings, "document": f.settingsWithMarker(change)})
		return status == 200
	}
	s.is.True(f.waitUntil(catchUp, applied) < catchUp)
	s.settings++
}

// playLossSeries plays a series, stops as many machines as may be lost and changes the
// settings once more.
func playLossSeries(is *is.I, f *Fleet, call *apiClient, steps []lossStep) {
	is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
	series := &lossSeries{is: is, fleet: f, call: call, settings: 1}
	for _, step := range steps {
		series.changeSettings()
		series.play(step)
	}
	for _, m := range series.pickLost() {
		f.Kill(m)
	}
	series.changeSettings()
}

// Guards against CONFIG: after a retirement and a lost disk, two storage machines that were
// replaced one after the other left the control state without a majority.
func TestMajoritySurvivesReplacementsAfterRetirement(t *testing.T) {
	t.Parallel()
	runReconciling(t, reconcilingShape(4, 1), func(is *is.I, f *Fleet, call *apiClient) {
		playLossSeries(is, f, call, []lossStep{retireStep, wipeStep, replaceStep, replaceStep})
	})
}

// lossSeriesLength is the number of steps of a drawn series.
const lossSeriesLength = 5

// Guards against any series of losses within the fault budget that leaves the control state
// without a majority that bears the next loss.
func TestMajoritySurvivesLossSeries(t *testing.T) {
	const seriesPerSize = 12
	for _, size := range []struct{ storage, tolerate int }{{4, 1}, {5, 1}, {9, 2}} {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			runReconcilingSeeds(t, seriesPerSize, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
				steps := make([]lossStep, lossSeriesLength)
				names := make([]string, lossSeriesLength)
				for index := range steps {
					steps[index] = lossStep(f.World.Int64N(int64(lossStepCount)))
					names[index] = steps[index].String()
				}
				t.Logf("%d storage machines: %s", size.storage, strings.Join(names, ", "))
				playLossSeries(is, f, call, steps)
			})
		})
	}
}
