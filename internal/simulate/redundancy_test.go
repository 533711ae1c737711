// The next loss: storage machines are wiped, replaced, cut off and retired one
// after another, and the next goes as soon as the last has caught up. What was
// acknowledged of turn histories is found throughout.
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
	// catchUpTime is how long a machine that is back still counts as lost at the
	// sites with the shortest such time.
	catchUpTime = 4100 * time.Millisecond
	// historyFetchDelay is how long a store takes to fill in these runs, per request.
	historyFetchDelay = 400 * time.Millisecond
)

// lossSeedCount is how many seeds each of these runs has at the least.
const lossSeedCount = 1

// lossSize is a number of storage machines and how many may be lost at once.
type lossSize struct{ storage, tolerate int }

var lossSizes = []lossSize{{3, 1}, {4, 1}, {9, 2}}

// lossKinds have machines go in one way and come back or be replaced; they end
// when the last is back.
var lossKinds = map[string]func(f *Fleet, lost []*Machine, call *apiClient){
	"wiped": func(f *Fleet, lost []*Machine, call *apiClient) {
		for _, m := range lost {
			f.wipeMachine(m)
		}
		call.sleep(f.World.Between(100*time.Millisecond, time.Second))
		for _, m := range lost {
			f.Start(m)
		}
	},
	"replaced": func(f *Fleet, lost []*Machine, call *apiClient) {
		for _, m := range lost {
			f.loseMachine(m, f.World.Chance(0.5))
		}
		call.sleep(f.World.Between(0, 2*time.Second))
		for range lost {
			f.AddMachine("storage")
		}
	},
	"cut off": func(f *Fleet, lost []*Machine, call *apiClient) {
		apart := map[string]bool{}
		for _, m := range lost {
			apart[m.Host.Name] = true
		}
		f.Net.Isolate(apart)
		call.sleep(f.World.Between(time.Second, 6*time.Second))
		f.Net.Heal()
	},
	"power lost everywhere, some wiped": func(f *Fleet, lost []*Machine, call *apiClient) {
		for _, m := range f.All() {
			if m.Host.alive {
				f.PowerLoss(m)
			}
		}
		for _, m := range lost {
			m.Disk.Wipe()
		}
		call.sleep(f.World.Between(500*time.Millisecond, 2*time.Second))
		for _, m := range f.All() {
			if !m.removed {
				f.Start(m)
			}
		}
	},
}

// pickDistinctStorage picks different storage machines that are not gone.
func (f *Fleet) pickDistinctStorage(count int) []*Machine {
	var chosen []*Machine
	for len(chosen) < count {
		if m := f.pickMachine(f.remainingStorage()); !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// checkHistory fails the test where an acknowledged turn is not found, or a
// program whose turns are all found cannot go on.
func checkHistory(t *testing.T, is *is.I, f *Fleet, w *historyWriter) {
	t.Helper()
	w.pause()
	lost := append(w.missingTurns(), w.stuckPrograms()...)
	w.paused = false
	for _, one := range lost {
		t.Logf("seed %d at %v: %s", f.World.Seed, f.World.Now(), one)
	}
	if len(lost) > 0 {
		t.Logf("gaps: %v", w.client.Gaps(w.ctx(), f.diskSet()))
		f.logState(t)
	}
	is.Equal(len(lost), 0)
}

func TestStorageLossAfterCatchUp(t *testing.T) {
	for name, way := range lossKinds {
		for _, size := range lossSizes {
			t.Run(fmt.Sprint(name, "/", size.storage), func(t *testing.T) {
				t.Parallel()
				runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
					is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
					w := newHistoryWriter(f)
					w.runRound()
					delayHistoryFetches(f, historyFetchDelay)
					w.start()
					for range 4 {
						call.sleep(f.World.Between(0, time.Second))
						way(f, f.pickDistinctStorage(size.tolerate), call)
						call.sleep(catchUpTime)
						checkHistory(t, is, f, w)
					}
					w.stopped = true
				})
			})
		}
	}
}

// Every machine in turn is retired, replaced by another, and taken away with its
// disk the moment that is complete; others lose their disks right then.
func TestRetiringEachStorageMachineInTurn(t *testing.T) {
	for _, size := range []lossSize{{4, 1}, {9, 2}} {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			var longest time.Duration
			runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
				is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
				w := newHistoryWriter(f)
				w.runRound()
				delayHistoryFetches(f, historyFetchDelay)
				w.start()
				for _, out := range slices.Clone(f.Storage) {
					longest = max(longest, retireThenLose(t, is, f, w, call, out))
				}
				w.stopped = true
			})
			t.Logf("%d disks: retired within %v", size.storage, longest)
		})
	}
}

// retireThenLose retires one machine, takes it away, and has as many others as
// may be lost wiped at that moment. It tells how long the retirement took.
func retireThenLose(t *testing.T, is *is.I, f *Fleet, w *historyWriter, call *apiClient, out *Machine) time.Duration {
	t.Helper()
	f.AddMachine("storage")
	call.sleep(time.Second)
	began := f.World.Now()
	is.Equal(f.retireNode("POST", out.Host.Name), "200active")
	took := f.waitUntil(20*time.Second, func() bool { return f.retireNode("GET", out.Host.Name) == "200complete" })
	if took >= 20*time.Second {
		f.logState(t)
	}
	is.True(took < 20*time.Second)
	took = f.World.Now() - began
	f.loseMachine(out, false)
	lost := f.pickDistinctStorage(f.Shape.FaultTolerance)
	for _, m := range lost {
		f.wipeMachine(m)
	}
	call.sleep(300 * time.Millisecond)
	for _, m := range lost {
		f.Start(m)
	}
	call.sleep(catchUpTime)
	checkHistory(t, is, f, w)
	return took
}

// Retirement is asked for on every machine at once; each that is complete goes
// with its disk, and one that may be lost is lost during the hand-over.
func TestConcurrentRetirementsWithDiskLoss(t *testing.T) {
	for _, size := range []lossSize{{7, 1}, {9, 2}} {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
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
				is.Equal(len(leaving), size.storage-2*size.tolerate-1) // the others are refused
				call.sleep(f.World.Between(0, 2*time.Second))
				victim := f.pickMachine(f.remainingStorage())
				f.wipeMachine(victim)
				call.sleep(300 * time.Millisecond)
				f.Start(victim)
				for _, m := range leaving {
					taken := f.waitUntil(30*time.Second, func() bool { return f.retireNode("GET", m.Host.Name) == "200complete" })
					if taken >= 30*time.Second {
						f.logState(t)
					}
					is.True(taken < 30*time.Second)
					f.loseMachine(m, false)
				}
				next := f.pickMachine(f.remainingStorage())
				f.wipeMachine(next)
				call.sleep(300 * time.Millisecond)
				f.Start(next)
				call.sleep(catchUpTime)
				checkHistory(t, is, f, w)
				w.stopped = true
			})
		})
	}
}

// A machine is replaced as planned work: the new one comes first, then the old
// one is told to stop and never comes back. Once its successor has had the time
// to catch up, all lose power and as many as may be lost come back empty.
func TestReplacementThatJoinsFirst(t *testing.T) {
	for _, size := range lossSizes {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			runReconcilingSeeds(t, lossSeedCount, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
				is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
				w := newHistoryWriter(f)
				w.start()
				for range 4 {
					replaceAfterJoinThenOutage(f, w, call)
					checkHistory(t, is, f, w)
				}
				w.stopped = true
			})
		})
	}
}

// replaceAfterJoinThenOutage has one machine's successor come before it is told to stop, and
// then all lose power and as many as may be lost their disks.
func replaceAfterJoinThenOutage(f *Fleet, w *historyWriter, call *apiClient) {
	call.sleep(f.World.Between(0, time.Second))
	out := f.pickMachine(f.remainingStorage())
	f.AddMachine("storage")
	call.sleep(f.World.Between(500*time.Millisecond, 4*time.Second))
	w.pause() // the next turn of a program would copy those before it
	f.Stop(out)
	f.loseMachine(out, false)
	call.sleep(catchUpTime)
	lossKinds["power lost everywhere, some wiped"](f, f.pickDistinctStorage(f.Shape.FaultTolerance), call)
	call.sleep(catchUpTime)
}

// Without word of its leave a machine that stopped keeps its place, and the next
// loss takes more copies than are tolerated.
func TestDisabledGracefulStopLosesTurns(t *testing.T) {
	t.Parallel()
	const tries = 4
	for seed := uint64(1); seed <= tries; seed++ {
		lost := 0
		runOnFleet(t, seed, reconcilingShape(9, 2), func(f *Fleet, call *apiClient) {
			w := newHistoryWriter(f)
			w.start()
			f.disabled.gracefulStop = true
			replaceAfterJoinThenOutage(f, w, call)
			lost = len(w.missingTurns()) + len(w.stuckPrograms())
			w.stopped = true
		})
		if lost > 0 {
			t.Logf("seed %d shows the loss: %d", seed, lost)
			return
		}
	}
	t.Fatalf("none of %d seeds shows the loss", tries)
}

// runOnFleet runs a script on one fleet that is whole, whose tally nobody reads.
func runOnFleet(t *testing.T, seed uint64, shape Shape, steps func(f *Fleet, call *apiClient)) {
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
		t.Fatalf("seed %d did not end", seed)
	}
}

// noGaps is content that always has its copies: what planned changes waited
// for is taken away.
type noGaps struct{}

func (noGaps) Gaps(*base.Ctx, *register.DiskSet) []register.DiskGap { return nil }

// Without the wait for copies, a retirement that is called complete too soon
// loses what was acknowledged.
func TestRetirementWithoutRedundancyCheckLosesTurns(t *testing.T) {
	t.Parallel()
	const tries = 8
	for seed := uint64(1); seed <= tries; seed++ {
		if turnsLostWithoutWaiting(t, seed) > 0 {
			t.Logf("seed %d shows the loss", seed)
			return
		}
	}
	t.Fatalf("none of %d seeds shows the loss", tries)
}

// turnsLostWithoutWaiting tells how many programs lost turns.
func turnsLostWithoutWaiting(t *testing.T, seed uint64) (lost int) {
	t.Helper()
	runOnFleet(t, seed, reconcilingShape(5, 1), func(f *Fleet, call *apiClient) {
		for _, m := range f.Cores {
			m.core.RegisterServer.SetRedundancyChecker(noGaps{})
		}
		w := newHistoryWriter(f)
		w.runRound()
		delayHistoryFetches(f, 2*historyFetchDelay)
		out := f.pickMachine(f.Storage)
		f.retireNode("POST", out.Host.Name)
		f.waitUntil(20*time.Second, func() bool { return f.retireNode("GET", out.Host.Name) == "200complete" })
		f.loseMachine(out, false)
		next := f.pickMachine(f.remainingStorage())
		f.wipeMachine(next)
		call.sleep(300 * time.Millisecond)
		f.Start(next)
		call.sleep(catchUpTime)
		lost = len(w.missingTurns())
	})
	return lost
}
