// Tests of a fleet that bootstraps its cluster and reconciles its disk set by itself:
// bootstrap, lost and replaced disks, and machines that are retired by name.
package simulate

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"

	"github.com/matryer/is"
)

// reconcileSeeds is the least number of seeds for each of these tests.
const reconcileSeeds = 4

// reconcilingShape returns a shape whose machines bootstrap the cluster and reconcile the
// disk set by themselves.
func reconcilingShape(storage, tolerate int) Shape {
	shape := SmallShape()
	shape.Cores, shape.Storage, shape.FaultTolerance, shape.Bootstrap = 4, storage, tolerate, true
	return shape
}

// runReconciling runs a script with several seeds.
func runReconciling(t *testing.T, shape Shape, steps func(is *is.I, f *Fleet, call *apiClient)) {
	t.Helper()
	runReconcilingSeeds(t, reconcileSeeds, shape, steps)
}

// runReconcilingSeeds runs a script with count seeds, multiplied by the flag seeds.
func runReconcilingSeeds(t *testing.T, count int, shape Shape, steps func(is *is.I, f *Fleet, call *apiClient)) {
	t.Helper()
	runSeeds(t, count**seedCount, shape, func(t *testing.T, f *Fleet) {
		is := is.New(t)
		waitUntilFormed(t, f)
		done := false
		f.CallerHost.Go(func() {
			defer func() { done = true }()
			steps(is, f, &apiClient{f, f.RequestSender(f.CallerHost)})
		})
		is.True(f.World.Run(f.World.Now()+10*time.Minute, func() bool { return done }))
	})
}

// logState logs the state of the cores and storage machines.
func (f *Fleet) logState(t *testing.T) {
	t.Helper()
	t.Logf("seed %d at %v: %v", f.World.Seed, f.World.Now(), f.diskSet())
	for _, m := range f.Cores {
		if m.Host.alive && !m.Host.frozen && m.core != nil {
			shards, _ := m.core.RegisterServer.Status()
			t.Logf("%s leads shards %v, reconciling %q, knows disk set %d", m.Host.Name, shards, m.core.RegisterServer.ReconcileStatus(), m.core.RegisterServer.KnownDiskSet().GetStamp())
		}
	}
	for _, m := range f.Storage {
		t.Logf("%s alive %v frozen %v removed %v", m.Host.Name, m.Host.alive, m.Host.frozen, m.removed)
	}
}

// loseMachine removes a machine and its disk for good. A silent one does not even refuse
// connections.
func (f *Fleet) loseMachine(m *Machine, silent bool) {
	if silent {
		m.Host.Freeze()
	} else {
		f.PowerLoss(m)
	}
	m.removed = true
}

// wipeMachine takes a machine down and empties its disk.
func (f *Fleet) wipeMachine(m *Machine) {
	f.PowerLoss(m)
	m.Disk.Wipe()
}

// retireNode asks a core to retire a machine (POST) or for the state of its retirement
// (GET), and returns status and state.
func (f *Fleet) retireNode(method, node string) string {
	for {
		path, body := "/v1/operator/storage/empty", any(nil)
		if method == "POST" {
			body = map[string]string{"node": node}
		}
		status, answer := f.OperatorRequestWithQuery(f.liveCore(), method, path, map[string]string{"node": node}, body)
		var reply struct {
			State string `json:"state"`
		}
		if status != 0 && status != 503 && json.Unmarshal(answer, &reply) == nil {
			return fmt.Sprint(status, reply.State)
		}
		f.CallerHost.Clock().Sleep(50 * time.Millisecond)
	}
}

// remainingStorage returns the storage machines that were not removed.
func (f *Fleet) remainingStorage() []*Machine {
	return base.Filter(f.Storage, func(m *Machine) bool { return !m.removed })
}

// Machines are lost with their disks one after another, each 4.1 s after the replacement of
// the one before was started. The replacement must have a vote by then, whatever the kind of
// the loss, and acknowledged settings and turns must survive.
func TestReplacementBeforeNextLoss(t *testing.T) {
	losses := map[string]struct {
		silent, sameAddress, freezeLeader bool
		wait                              time.Duration
	}{
		"refusing, another address":         {wait: time.Second},
		"silent, another address":           {silent: true, wait: time.Second},
		"silent, at once":                   {silent: true},
		"silent, late":                      {silent: true, wait: 5 * time.Second},
		"same address, empty":               {sameAddress: true, wait: 300 * time.Millisecond},
		"silent, the change's core as well": {silent: true, freezeLeader: true, wait: time.Second},
	}
	for name, loss := range losses {
		for _, size := range []struct{ storage, tolerate int }{{4, 1}, {9, 2}, {3, 1}} {
			t.Run(fmt.Sprint(name, "/", size.storage), func(t *testing.T) {
				t.Parallel()
				var longest time.Duration
				runReconciling(t, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
					remaining := f.StartCallers(3, 10, true, func(c *standin.Caller) {
						c.AfterTurn = func(int) { c.Clock.Sleep(f.World.Between(0, 2*time.Second)) }
					})
					is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
					for round := range 4 {
						status, _ := f.OperatorRequest(f.liveCore(), "POST", "/v1/operator/settings/apply",
							map[string]any{"change": fmt.Sprint("round-", round), "based_on": round + 1, "document": f.settingsWithMarker(fmt.Sprint(round))})
						is.Equal(status, 200)
						var lost []*Machine
						for len(lost) < size.tolerate {
							if m := f.pickMachine(f.remainingStorage()); !slices.Contains(lost, m) {
								lost = append(lost, m)
							}
						}
						for _, m := range lost {
							if loss.sameAddress {
								f.wipeMachine(m)
							} else {
								f.loseMachine(m, loss.silent)
							}
						}
						call.sleep(loss.wait)
						if loss.freezeLeader {
							for _, m := range f.Cores {
								if shards, _ := m.core.RegisterServer.Status(); slices.Contains(shards, 0) && !m.Host.frozen {
									f.freeze(m, 3*time.Second)
									break
								}
							}
						}
						for _, m := range lost {
							if loss.sameAddress {
								f.Start(m)
							} else {
								f.AddMachine("storage")
							}
						}
						start := f.World.Now()
						took := f.waitUntil(4*time.Second, f.diskSetComplete)
						longest = max(longest, took)
						if took >= 4*time.Second {
							f.logState(t)
						}
						is.True(took < 4*time.Second)
						call.sleep(start + 4100*time.Millisecond - f.World.Now())
					}
					for remaining() > 0 {
						call.sleep(time.Second)
					}
					is.Equal(f.Tally.Counts["conversations_whole"], 3)
					for _, m := range f.Gateways {
						is.Equal(m.gateway.SettingsVersion(), uint64(5))
					}
				})
				t.Logf("%s, %d disks: disk set complete within %v", name, size.storage, longest)
			})
		}
	}
}

// All machines lose power at once, and as many disks as are tolerated come back empty.
func TestPowerLossWithLostDisks(t *testing.T) {
	for _, size := range []struct{ storage, tolerate int }{{4, 1}, {9, 2}, {3, 1}} {
		t.Run(fmt.Sprint(size.storage), func(t *testing.T) {
			t.Parallel()
			var longestServing, longestComplete time.Duration
			runReconciling(t, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
				is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
				program, secret := call.createProgram(1000, nil)
				path, key := call.openSession(0, program, secret, nil)
				last := ""
				for round := range 3 {
					turn := fmt.Sprint("t", round)
					outcome, _, _ := call.sendTurn(1, path, key, program, turn, last).finalResult()
					is.Equal(outcome, "success")
					last = turn
					status, _ := f.OperatorRequest(f.liveCore(), "POST", "/v1/operator/settings/apply",
						map[string]any{"change": turn, "based_on": round + 1, "document": f.settingsWithMarker(turn)})
					is.Equal(status, 200)
					for _, m := range f.All() {
						f.PowerLoss(m)
					}
					empty := map[*Machine]bool{}
					for len(empty) < size.tolerate {
						m := f.pickMachine(f.Storage)
						m.Disk.Wipe()
						empty[m] = true
					}
					call.sleep(time.Second)
					for _, m := range f.All() {
						f.Start(m)
						call.sleep(f.World.Between(0, 50*time.Millisecond))
					}
					took := f.waitUntilServing(time.Minute)
					longestServing = max(longestServing, took)
					is.True(took < 5*time.Second)
					for _, m := range f.Gateways {
						is.Equal(m.gateway.SettingsVersion(), uint64(round+2))
					}
					took += f.waitUntil(8*time.Second, f.diskSetComplete)
					if !f.diskSetComplete() {
						f.logState(t)
					}
					is.True(f.diskSetComplete())
					longestComplete = max(longestComplete, took)
				}
				outcome, _, _ := call.sendTurn(2, path, key, program, "end", last).finalResult()
				is.Equal(outcome, "success")
			})
			t.Logf("%d disks: serving within %v, disk set complete within %v", size.storage, longestServing, longestComplete)
		})
	}
}

// Disks that are frozen or cut off for a while keep their votes. A disk that is away for
// long loses its vote and gets it back when it returns.
func TestUnresponsiveDisksKeepTheirVotes(t *testing.T) {
	t.Parallel()
	runReconciling(t, reconcilingShape(4, 1), func(is *is.I, f *Fleet, call *apiClient) {
		is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
		version := f.diskSet().Stamp
		for round := range 4 {
			m := f.pickMachine(f.Storage)
			if round%2 == 0 {
				m.Host.Freeze()
				call.sleep(3 * time.Second)
				m.Host.Thaw()
			} else {
				f.Net.Isolate(map[string]bool{m.Host.Name: true})
				call.sleep(5 * time.Second)
				f.Net.Heal()
			}
			call.sleep(4 * time.Second)
		}
		f.crash(f.pickMachine(f.Storage), 2*time.Second, true)
		call.sleep(6 * time.Second)
		is.Equal(f.diskSet().Stamp, version)
		// A disk that is away for long leaves the disk set and rejoins when it returns.
		away := f.pickMachine(f.Storage)
		f.PowerLoss(away)
		call.sleep(16 * time.Second)
		is.Equal(len(f.diskSet().Disks), 3)
		f.Start(away)
		is.True(f.waitUntil(4*time.Second, f.diskSetComplete) < 4*time.Second)
	})
}

// runBootstrap lets fleets bootstrap by themselves while a fault is injected, and checks
// that exactly one cluster was formed.
func runBootstrap(t *testing.T, storage int, injectFault func(f *Fleet, call *apiClient)) (longest time.Duration) {
	t.Helper()
	for seed := uint64(1); seed <= uint64(8**seedCount); seed++ {
		is := is.New(t)
		f := NewFleet(seed, reconcilingShape(storage, 1))
		done := false
		f.CallerHost.Go(func() {
			injectFault(f, &apiClient{f, f.RequestSender(f.CallerHost)})
			took := f.waitUntil(20*time.Second, f.diskSetComplete)
			longest = max(longest, took)
			if !f.diskSetComplete() {
				f.logState(t)
			}
			done = true
		})
		is.True(f.World.Run(time.Minute, func() bool { return done }))
		is.True(f.diskSetComplete())
		// A machine that started late may not have joined yet when the disk set is complete.
		clusters := func() map[string]bool {
			ids := map[string]bool{}
			for _, m := range f.Storage {
				ids[m.storage.Store.Cluster()] = true
			}
			return ids
		}
		joined := f.runUntil(20*time.Second, func() bool { return !clusters()[""] })
		is.True(joined < 20*time.Second)
		is.Equal(len(clusters()), 1)
		f.Net.Heal()
		f.Net.Faults = NetworkFaults{}
		formed := false
		f.CallerHost.Go(func() { f.SetUp(); formed = true })
		is.True(f.World.Run(f.World.Now()+time.Minute, func() bool { return formed }))
		for _, breach := range f.CheckInvariants() {
			t.Errorf("seed %d: %s", seed, breach)
		}
		f.World.Close()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	return longest
}

// The machines form exactly one cluster by themselves, whatever fails meanwhile.
func TestClusterBootstrap(t *testing.T) {
	faults := map[string]func(f *Fleet, call *apiClient){
		"in quiet":                   func(*Fleet, *apiClient) {},
		"the first seed never comes": func(f *Fleet, _ *apiClient) { f.Kill(f.Cores[0]) },
		"the founder is killed": func(f *Fleet, call *apiClient) {
			call.sleep(f.World.Between(200*time.Millisecond, 800*time.Millisecond))
			f.Kill(f.Cores[0])
			f.scheduleRecovery(time.Second, func() { f.Start(f.Cores[0]) })
		},
		"two seeds restart": func(f *Fleet, call *apiClient) {
			call.sleep(f.World.Between(50*time.Millisecond, 800*time.Millisecond))
			for _, m := range f.Cores[:2] {
				f.Kill(m)
				f.scheduleRecovery(f.World.Between(0, time.Second), func() { f.Start(m) })
			}
		},
		"all seeds lose power in turn": func(f *Fleet, call *apiClient) {
			for _, m := range f.Cores[:3] {
				call.sleep(f.World.Between(50*time.Millisecond, 400*time.Millisecond))
				f.Kill(m)
				m.Disk.LosePower()
				f.scheduleRecovery(f.World.Between(0, time.Second), func() { f.Start(m) })
			}
		},
		"the founder freezes": func(f *Fleet, call *apiClient) {
			call.sleep(f.World.Between(200*time.Millisecond, 800*time.Millisecond))
			f.freeze(f.Cores[0], 5*time.Second)
		},
		"storage comes late": func(f *Fleet, call *apiClient) {
			for _, m := range f.Storage {
				f.Kill(m)
			}
			for _, m := range f.Storage {
				call.sleep(f.World.Between(0, 1500*time.Millisecond))
				f.Start(m)
			}
		},
		"messages lost and late": func(f *Fleet, call *apiClient) {
			f.Net.Faults = NetworkFaults{LossRate: 0.2, DelayRate: 0.2, DuplicateRate: 0.2, MaxExtraDelay: 3 * time.Second}
			call.sleep(8 * time.Second)
			f.Net.Faults = NetworkFaults{}
		},
		"the founder is cut off": func(f *Fleet, call *apiClient) {
			call.sleep(f.World.Between(200*time.Millisecond, 800*time.Millisecond))
			f.Net.Isolate(map[string]bool{f.Cores[0].Host.Name: true, f.Storage[0].Host.Name: true})
			f.scheduleRecovery(5*time.Second, f.Net.Heal)
		},
		"two halves": func(f *Fleet, call *apiClient) {
			call.sleep(f.World.Between(200*time.Millisecond, 700*time.Millisecond))
			f.Net.Isolate(map[string]bool{f.Cores[0].Host.Name: true, f.Storage[0].Host.Name: true, f.Storage[1].Host.Name: true, f.Storage[2].Host.Name: true})
			f.scheduleRecovery(5*time.Second, f.Net.Heal)
		},
	}
	for name, injectFault := range faults {
		for _, storage := range []int{4, 9} {
			t.Run(fmt.Sprint(name, "/", storage), func(t *testing.T) {
				t.Parallel()
				t.Logf("%s, %d disks: formed within %v", name, storage, runBootstrap(t, storage, injectFault))
			})
		}
	}
}

// Machines that were not told that this is the first start never bootstrap a cluster.
func TestNoBootstrapUnlessFirstStart(t *testing.T) {
	t.Parallel()
	f := NewFleet(1, reconcilingShape(4, 1))
	for _, m := range f.All() {
		f.Kill(m)
		m.startedBefore = true
		f.Start(m)
	}
	is := is.New(t)
	f.World.Run(30*time.Second, func() bool { return false })
	is.True(f.diskSet() == nil)
	for _, m := range f.Storage {
		is.Equal(m.storage.Store.Cluster(), "")
	}
	f.World.Close()
}

// A machine is retired by its node name and removed with its disk as soon as the retirement
// is complete; then another machine loses its disk.
func TestRetireByNodeName(t *testing.T) {
	for _, size := range []struct{ storage, tolerate int }{{4, 1}, {9, 2}} {
		for _, fault := range []string{"in quiet", "its process disappears", "the change's core is lost", "its disk is lost"} {
			t.Run(fmt.Sprint(fault, "/", size.storage), func(t *testing.T) {
				t.Parallel()
				var longest time.Duration
				runReconciling(t, reconcilingShape(size.storage, size.tolerate), func(is *is.I, f *Fleet, call *apiClient) {
					remaining := f.StartCallers(3, 8, true, func(c *standin.Caller) {
						c.AfterTurn = func(int) { c.Clock.Sleep(f.World.Between(0, 2*time.Second)) }
					})
					is.True(f.waitUntil(10*time.Second, f.diskSetComplete) < 10*time.Second)
					occupied := map[string]bool{} // disks that still hold data of other services
					for _, m := range f.Cores {
						m.core.RegisterServer.SetEmptyCheck(func(_ *base.Ctx, disk string) (bool, error) { return !occupied[disk], nil })
					}
					retired := f.pickMachine(f.Storage)
					id := retired.storage.Store.ID()
					occupied[id] = true
					is.Equal(f.retireNode("GET", "none"), "404")
					is.Equal(f.retireNode("GET", retired.Host.Name), "404")
					is.Equal(f.retireNode("POST", "none"), "404")
					start := f.World.Now()
					is.Equal(f.retireNode("POST", retired.Host.Name), "200active")
					is.Equal(f.retireNode("POST", retired.Host.Name), "200active")
					switch fault {
					case "its process disappears":
						f.Kill(retired)
					case "its disk is lost":
						f.wipeMachine(retired)
						f.Start(retired)
					case "the change's core is lost":
						for _, m := range f.Cores {
							if shards, _ := m.core.RegisterServer.Status(); slices.Contains(shards, 0) {
								f.freeze(m, 2*time.Second)
							}
						}
					}
					call.sleep(3 * time.Second)
					is.Equal(f.retireNode("GET", retired.Host.Name), "200active") // the disk still holds data
					for _, entry := range f.diskSet().Disks {
						is.True(entry.Id != id)
					}
					for _, m := range f.Cores {
						m.core.RegisterServer.SetEmptyCheck(nil)
					}
					is.True(f.waitUntil(5*time.Second, func() bool { return f.retireNode("GET", retired.Host.Name) == "200complete" }) < 5*time.Second)
					longest = max(longest, f.World.Now()-start)
					f.loseMachine(retired, false)
					next := f.pickMachine(f.remainingStorage())
					f.wipeMachine(next)
					call.sleep(time.Second)
					f.Start(next)
					is.True(f.waitUntil(4*time.Second, f.diskSetComplete) < 4*time.Second)
					is.Equal(f.retireNode("POST", retired.Host.Name), "200complete")
					if size.storage == 4 {
						is.Equal(f.retireNode("POST", f.remainingStorage()[0].Host.Name), "409")
					}
					retired.removed = false
					retired.Disk.Wipe()
					f.Start(retired) // a retired disk is not admitted again
					call.sleep(4 * time.Second)
					is.True(retired.storage.Ready() != nil)
					retired.removed = true
					is.Equal(f.retireNode("GET", retired.Host.Name), "200complete")
					for remaining() > 0 {
						call.sleep(time.Second)
					}
					is.Equal(f.Tally.Counts["conversations_whole"], 3)
				})
			})
		}
	}
}

// Runs every scenario on a fleet that bootstraps and reconciles its disk set by itself.
func TestInvariantsHoldWhileReconciling(t *testing.T) {
	for _, size := range []struct{ storage, tolerate int }{{4, 1}, {9, 2}} {
		for _, scenario := range Scenarios {
			t.Run(fmt.Sprint(scenario.Name, "/", size.storage), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= uint64(*seedCount); seed++ {
					outcome := scenario.Run(seed, reconcilingShape(size.storage, size.tolerate))
					t.Logf("seed %d, %.0f s: %v", seed, outcome.VirtualS, outcome.Counts)
					for _, breach := range outcome.Breaches {
						t.Errorf("seed %d: %s", seed, breach)
					}
				}
			})
		}
	}
}
