package simulate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"

	"github.com/matryer/is"
)

const (
	// catchUpTime is how long a machine that is back still counts as lost. It is the
	// shortest such time of all sites.
	catchUpTime = 4100 * time.Millisecond
	// historyFetchDelay delays each request by which a storage machine fetches turns.
	historyFetchDelay = 400 * time.Millisecond
)

// lossSeedCount is the least number of seeds of each of these tests.
const lossSeedCount = 1

// lossSize is a number of storage machines and how many of them may be lost at once.
type lossSize struct{ storage, faultTolerance int }

var lossSizes = []lossSize{{3, 1}, {4, 1}, {9, 2}}

// lossKinds lose machines in one way each. They return when all are back or replaced.
var lossKinds = map[string]func(f *Fleet, lost []*Machine, client *apiClient){
	"wiped": func(f *Fleet, lost []*Machine, client *apiClient) {
		for _, m := range lost {
			f.wipeMachine(m)
		}
		client.sleep(f.World.Between(100*time.Millisecond, time.Second))
		for _, m := range lost {
			f.Start(m)
		}
	},
	"replaced": func(f *Fleet, lost []*Machine, client *apiClient) {
		for _, m := range lost {
			f.loseMachine(m, f.World.Chance(0.5))
		}
		client.sleep(f.World.Between(0, 2*time.Second))
		for range lost {
			f.AddMachine("storage")
		}
	},
	"cut off": func(f *Fleet, lost []*Machine, client *apiClient) {
		isolated := map[string]bool{}
		for _, m := range lost {
			isolated[m.Host.Name] = true
		}
		f.Net.Isolate(isolated)
		client.sleep(f.World.Between(time.Second, 6*time.Second))
		f.Net.Heal()
	},
	"power lost everywhere, some wiped": func(f *Fleet, lost []*Machine, client *apiClient) {
		for _, m := range f.All() {
			if m.Host.alive {
				f.PowerLoss(m)
			}
		}
		for _, m := range lost {
			m.Disk.Wipe()
		}
		client.sleep(f.World.Between(500*time.Millisecond, 2*time.Second))
		for _, m := range f.All() {
			if !m.removed {
				f.Start(m)
			}
		}
	},
}

// pickDistinctStorage draws different storage machines that are not removed.
func (f *Fleet) pickDistinctStorage(count int) []*Machine {
	var chosen []*Machine
	for len(chosen) < count {
		if m := f.pickMachine(f.remainingStorage()); !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// checkHistory fails the test if an acknowledged turn is not found, or if a program
// whose turns are all found cannot continue.
func checkHistory(t *testing.T, is *is.I, f *Fleet, w *historyWriter) {
	t.Helper()
	w.pause()
	problems := append(w.missingTurns(), w.stuckPrograms()...)
	w.paused = false
	for _, problem := range problems {
		t.Logf("seed %d at %v: %s", f.World.Seed, f.World.Now(), problem)
	}
	if len(problems) > 0 {
		t.Logf("gaps: %v", w.client.Gaps(w.ctx(), f.diskSet()))
		f.logState(t)
	}
	is.Equal(len(problems), 0)
}

// TestStorageLossAfterCatchUp: every acknowledged turn is still found when storage
// machines are lost one after the other, each as soon as the last has caught up.
func TestStorageLossAfterCatchUp(t *testing.T) {
	for name, lose := range lossKinds {
		for _, size := range lossSizes {
			t.Run(fmt.Sprint(name, "/", size.storage), func(t *testing.T) {
				t.Parallel()
				runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.faultTolerance), func(is *is.I, f *Fleet, client *apiClient) {
					is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
					w := newHistoryWriter(f)
					w.runRound()
					delayHistoryFetches(f, historyFetchDelay)
					w.start()
					for range 4 {
						client.sleep(f.World.Between(0, time.Second))
						lose(f, f.pickDistinctStorage(size.faultTolerance), client)
						client.sleep(catchUpTime)
						checkHistory(t, is, f, w)
					}
					w.stopped = true
				})
			})
		}
	}
}

// TestRetiringEachStorageMachineInTurn replaces every machine by another: it is retired
// and removed with its disk as soon as the retirement is complete, and other machines
// lose their disks at that moment.
func TestRetiringEachStorageMachineInTurn(t *testing.T) {
	for _, size := range []lossSize{{4, 1}, {9, 2}} {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			var longest time.Duration
			runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.faultTolerance), func(is *is.I, f *Fleet, client *apiClient) {
				is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
				w := newHistoryWriter(f)
				w.runRound()
				delayHistoryFetches(f, historyFetchDelay)
				w.start()
				for _, leaving := range slices.Clone(f.Storage) {
					longest = max(longest, retireThenLose(t, is, f, w, client, leaving))
				}
				w.stopped = true
			})
			t.Logf("%d disks: the longest retirement took %v", size.storage, longest)
		})
	}
}

// retireThenLose retires and removes one machine and wipes as many others as may be lost
// at that moment. It returns how long the retirement took.
func retireThenLose(t *testing.T, is *is.I, f *Fleet, w *historyWriter, client *apiClient, leaving *Machine) time.Duration {
	t.Helper()
	f.AddMachine("storage")
	client.sleep(time.Second)
	startedAt := f.World.Now()
	is.Equal(f.retireNode("POST", leaving.Host.Name), "200active")
	took := f.waitUntil(20*time.Second, func() bool { return f.retireNode("GET", leaving.Host.Name) == "200complete" })
	if took >= 20*time.Second {
		f.logState(t)
	}
	is.True(took < 20*time.Second)
	took = f.World.Now() - startedAt
	f.loseMachine(leaving, false)
	lost := f.pickDistinctStorage(f.Shape.FaultTolerance)
	for _, m := range lost {
		f.wipeMachine(m)
	}
	client.sleep(300 * time.Millisecond)
	for _, m := range lost {
		f.Start(m)
	}
	client.sleep(catchUpTime)
	checkHistory(t, is, f, w)
	return took
}

// TestConcurrentRetirementsWithDiskLoss retires as many machines as possible at the same
// time and removes each with its disk when its retirement is complete. Another machine
// loses its disk meanwhile.
func TestConcurrentRetirementsWithDiskLoss(t *testing.T) {
	for _, size := range []lossSize{{7, 1}, {9, 2}} {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.faultTolerance), func(is *is.I, f *Fleet, client *apiClient) {
				is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
				w := newHistoryWriter(f)
				w.runRound()
				delayHistoryFetches(f, historyFetchDelay)
				w.start()
				var leaving []*Machine
				for _, m := range slices.Clone(f.Storage) {
					if f.retireNode("POST", m.Host.Name) == "200active" {
						leaving = append(leaving, m)
					}
				}
				is.Equal(len(leaving), size.storage-2*size.faultTolerance-1) // the others are refused
				client.sleep(f.World.Between(0, 2*time.Second))
				victim := f.pickMachine(f.remainingStorage())
				f.wipeMachine(victim)
				client.sleep(300 * time.Millisecond)
				f.Start(victim)
				for _, m := range leaving {
					took := f.waitUntil(30*time.Second, func() bool { return f.retireNode("GET", m.Host.Name) == "200complete" })
					if took >= 30*time.Second {
						f.logState(t)
					}
					is.True(took < 30*time.Second)
					f.loseMachine(m, false)
				}
				next := f.pickMachine(f.remainingStorage())
				f.wipeMachine(next)
				client.sleep(300 * time.Millisecond)
				f.Start(next)
				client.sleep(catchUpTime)
				checkHistory(t, is, f, w)
				w.stopped = true
			})
		})
	}
}

// TestReplacementThatJoinsFirst replaces a machine as planned work: the new machine joins
// first, then the old one is stopped for good. Once the new one has had the time to
// catch up, all machines lose power and as many as may be lost come back empty.
func TestReplacementThatJoinsFirst(t *testing.T) {
	for _, size := range lossSizes {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.faultTolerance), func(is *is.I, f *Fleet, client *apiClient) {
				is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
				w := newHistoryWriter(f)
				w.start()
				for range 4 {
					replaceAfterJoinThenOutage(f, w, client)
					checkHistory(t, is, f, w)
				}
				w.stopped = true
			})
		})
	}
}

// replaceAfterJoinThenOutage adds a machine, stops another for good, and after the time
// to catch up cuts the power of all and wipes as many as may be lost.
func replaceAfterJoinThenOutage(f *Fleet, w *historyWriter, client *apiClient) {
	client.sleep(f.World.Between(0, time.Second))
	leaving := f.pickMachine(f.remainingStorage())
	f.AddMachine("storage")
	client.sleep(f.World.Between(500*time.Millisecond, 4*time.Second))
	w.pause() // a program's next turn would copy the turns before it
	f.Stop(leaving)
	f.loseMachine(leaving, false)
	client.sleep(catchUpTime)
	lossKinds["power lost everywhere, some wiped"](f, f.pickDistinctStorage(f.Shape.FaultTolerance), client)
	client.sleep(catchUpTime)
}

// TestDisabledGracefulStopLosesTurns: a machine that stops without announcing it stays in
// the disk set, so the next loss takes more copies than are tolerated. The checks must
// detect it.
func TestDisabledGracefulStopLosesTurns(t *testing.T) {
	t.Parallel()
	const maxSeeds = 4
	for seed := uint64(1); seed <= maxSeeds; seed++ {
		lost := 0
		runOnFleet(t, seed, reconcilingShape(9, 2), func(f *Fleet, client *apiClient) {
			w := newHistoryWriter(f)
			w.start()
			f.disabled.gracefulStop = true
			replaceAfterJoinThenOutage(f, w, client)
			lost = len(w.missingTurns()) + len(w.stuckPrograms())
			w.stopped = true
		})
		if lost > 0 {
			t.Logf("seed %d: %d programs lost turns or cannot continue", seed, lost)
			return
		}
	}
	t.Fatalf("none of %d seeds lost turns", maxSeeds)
}

// runOnFleet runs steps on a fleet with a complete disk set. It does not check the
// invariants.
func runOnFleet(t *testing.T, seed uint64, shape Shape, steps func(f *Fleet, client *apiClient)) {
	t.Helper()
	f := NewFleet(seed, shape)
	defer f.World.Close()
	waitUntilFormed(t, f)
	done := false
	f.CallerHost.Go(func() {
		defer func() { done = true }()
		f.waitUntil(10*time.Second, f.diskSetComplete)
		steps(f, &apiClient{f, f.RequestSender(f.CallerHost)})
	})
	if !f.World.Run(f.World.Now()+10*time.Minute, func() bool { return done }) {
		t.Fatalf("seed %d did not end within 10 minutes", seed)
	}
}

// noGaps reports that all content has enough copies, so planned changes wait for
// nothing.
type noGaps struct{}

func (noGaps) Gaps(*base.Ctx, *register.DiskSet) []register.DiskGap { return nil }

// TestRetirementWithoutRedundancyCheckLosesTurns: a retirement that does not wait for
// copies is complete too early and loses acknowledged turns. The checks must detect it.
func TestRetirementWithoutRedundancyCheckLosesTurns(t *testing.T) {
	t.Parallel()
	const maxSeeds = 8
	for seed := uint64(1); seed <= maxSeeds; seed++ {
		if turnsLostWithoutWaiting(t, seed) > 0 {
			t.Logf("seed %d lost turns", seed)
			return
		}
	}
	t.Fatalf("none of %d seeds lost turns", maxSeeds)
}

// turnsLostWithoutWaiting returns how many programs a retirement without the check lost
// turns of.
func turnsLostWithoutWaiting(t *testing.T, seed uint64) (lost int) {
	t.Helper()
	runOnFleet(t, seed, reconcilingShape(5, 1), func(f *Fleet, client *apiClient) {
		for _, m := range f.Cores {
			m.core.RegisterServer.SetRedundancyChecker(noGaps{})
		}
		w := newHistoryWriter(f)
		w.runRound()
		delayHistoryFetches(f, 2*historyFetchDelay)
		leaving := f.pickMachine(f.Storage)
		f.retireNode("POST", leaving.Host.Name)
		f.waitUntil(20*time.Second, func() bool { return f.retireNode("GET", leaving.Host.Name) == "200complete" })
		f.loseMachine(leaving, false)
		victim := f.pickMachine(f.remainingStorage())
		f.wipeMachine(victim)
		client.sleep(300 * time.Millisecond)
		f.Start(victim)
		client.sleep(catchUpTime)
		lost = len(w.missingTurns())
	})
	return lost
}
