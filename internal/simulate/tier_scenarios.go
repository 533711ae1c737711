package simulate

import (
	"time"

	parties "fordseam/internal/standin/platform"
)

// delayed returns a fault that starts some seconds after the traffic, plus up to a
// second drawn from the seed.
func delayed(delaySeconds float64, fault func(t *Tier)) func(t *Tier) {
	return func(t *Tier) {
		t.CallerHost.Clock().Sleep(time.Duration(delaySeconds*float64(time.Second)) + t.World.Between(0, time.Second))
		fault(t)
	}
}

const (
	second        = time.Second
	shortDowntime = 1500 * time.Millisecond
)

func gatewayMachines(t *Tier) []*Machine { return t.Gateways }

func coreMachines(t *Tier) []*Machine { return t.Cores }

func storageMachines(t *Tier) []*Machine { return t.Storage }

// killMachines returns a fault that kills a share of a role's machines for a moment, but
// of storage machines at most as many as may be lost.
func killMachines(machinesOf func(t *Tier) []*Machine, fraction float64, powerLoss bool) func(t *Tier) {
	return func(t *Tier) {
		count := max(1, int(fraction*float64(len(machinesOf(t)))))
		if machinesOf(t)[0].Role == "storage" {
			count = min(count, t.TierShape.FaultTolerance)
		}
		t.forEachMachine(t.drawMachines(machinesOf(t), count), func(m *Machine) {
			t.crashFor(m, "node_kill", t.World.Between(200*time.Millisecond, 2*second), powerLoss, false)
		})
	}
}

func freezeMachine(machinesOf func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.forEachMachine(t.drawMachines(machinesOf(t), 1), func(m *Machine) { t.freezeFor(m, t.World.Between(second, 4*second)) })
	}
}

func slowMachine(machinesOf func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.forEachMachine(t.drawMachines(machinesOf(t), 1), func(m *Machine) { t.slowFor(m, 3*second) })
	}
}

func replaceMachine(machinesOf func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.forEachMachine(t.drawMachines(machinesOf(t), 1), func(m *Machine) { t.replaceLost(m, shortDowntime) })
	}
}

// replaceAfterJoin returns a fault that replaces a machine as planned work: its
// replacement joins first.
func replaceAfterJoin(machinesOf func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.forEachMachine(t.drawMachines(machinesOf(t), 1), func(m *Machine) { t.replaceAfterJoin(m, t.World.Between(second, 4*second)) })
	}
}

// consecutiveStorageLosses loses storage machines in several ways, each as soon as the
// last machine has caught up: one is retired and others lose their disks at that
// moment, two are wiped one after the other, and one is replaced as planned work.
func consecutiveStorageLosses(t *Tier) {
	clock, catchUp := t.CallerHost.Clock(), t.Site.Bounds.CatchUp
	wipeMachines := func(count int) {
		t.forEachMachine(t.drawMachines(t.Storage, count), func(m *Machine) { t.crashFor(m, "node_kill", shortDowntime, true, true) })
		clock.Sleep(catchUp)
	}
	t.joinMachine("storage")
	clock.Sleep(2 * second)
	t.forEachMachine(t.drawMachines(t.Storage, 1), func(m *Machine) { t.retireStorage(m) })
	wipeMachines(t.TierShape.FaultTolerance)
	wipeMachines(1)
	wipeMachines(1)
	replaceAfterJoin(storageMachines)(t)
	clock.Sleep(catchUp)
}

func isolateMachines(machinesOf func(t *Tier) []*Machine, half bool) func(t *Tier) {
	return func(t *Tier) {
		count := 1
		if half {
			count = len(machinesOf(t)) / 2
		}
		t.isolateFor(t.drawMachines(machinesOf(t), count), t.World.Between(second, 4*second))
	}
}

// partitionInHalves partitions the cores and storage machines into halves for some
// seconds.
func partitionInHalves(t *Tier) { t.partitionFor(t.World.Between(2*second, 5*second)) }

// excessStorageOutage cuts the power of more storage machines than may be lost; all
// come back with their disks.
func excessStorageOutage(t *Tier) {
	t.forEachMachine(t.drawMachines(t.Storage, t.TierShape.FaultTolerance+2), func(m *Machine) {
		t.crashFor(m, "node_kill", t.World.Between(second, 4*second), true, false)
	})
}

func rollingRestart(machinesOf func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		for _, m := range t.drawMachines(machinesOf(t), 3) {
			t.restartGracefully(m, "roll_term", 300*time.Millisecond)
			t.CallerHost.Clock().Sleep(second)
		}
	}
}

func releaseWorkers(service string) func(t *Tier) {
	return func(t *Tier) { t.releaseWorkers(service, 0.5, 800*time.Millisecond) }
}

func loseAnswers(service string, probability float64) func(t *Tier) {
	return func(t *Tier) {
		t.injectWorkerFaults(t.words.Services[service], probability, 6*second, parties.FaultLostReset, parties.FaultLostSilent)
	}
}

func loadBurst(factor float64) func(t *Tier) {
	return func(t *Tier) {
		t.loadMultiplier = factor
		t.CallerHost.Clock().Sleep(3 * second)
		t.loadMultiplier = 1
	}
}

func repeatConfigChanges(t *Tier) {
	for range 4 {
		t.changeConfig()
		t.CallerHost.Clock().Sleep(2 * second)
	}
}

func repeatConfigRaces(t *Tier) {
	for range 4 {
		t.raceConfigs()
		t.CallerHost.Clock().Sleep(second)
	}
}

func wipeStorageAfterAck(t *Tier) {
	t.afterConfigAck(func(m *Machine) { t.crashFor(m, "after_ack_wipe", shortDowntime, true, true) }, t.TierShape.FaultTolerance)
}

func withRandomWorker(service string, step func(t *Tier, s *tierWorker)) func(t *Tier) {
	return func(t *Tier) {
		if workers := t.activeWorkers(service); len(workers) > 0 {
			step(t, workers[t.rng.IntN(len(workers))])
		}
	}
}

// TierScenarios are all scenarios of the tier: the platform's faults alone and combined,
// and final faults.
var TierScenarios = []*TierScenario{
	{Name: "quiet"},
	{Name: "burst", Faults: []func(t *Tier){delayed(2, loadBurst(6))}},
	{Name: "urgent burst", Faults: []func(t *Tier){delayed(2, func(t *Tier) {
		class := &t.Site.Classes[0]
		for range 20 * len(t.Site.Zones) {
			t.startProgram(class, t.Site.Zones[t.rng.IntN(len(t.Site.Zones))], t.rng.IntN(t.Site.ClientsPerZone), t.World.now+10*second, "")
		}
	})}},
	{Name: "release of model workers", Faults: []func(t *Tier){delayed(1, releaseWorkers("model"))}},
	{Name: "release of plain workers", Faults: []func(t *Tier){delayed(1, releaseWorkers("app"))}},
	{Name: "answer_lost at plain workers", Faults: []func(t *Tier){delayed(1, loseAnswers("app", 0.15))}},
	{Name: "answer_lost at model workers", Faults: []func(t *Tier){delayed(1, loseAnswers("model", 0.1))}},
	{Name: "answers garbled, cut, late and extra", Faults: []func(t *Tier){
		delayed(1, func(t *Tier) {
			t.injectWorkerFaults(t.words.Services["app"], 0.15, 8*second, parties.FaultGarbled, parties.FaultCut, parties.FaultExtra, parties.FaultLateExtra)
		}),
		delayed(1, func(t *Tier) {
			t.injectWorkerFaults(t.words.Services["model"], 0.1, 8*second, parties.FaultGarbled, parties.FaultCut, parties.FaultExtra, parties.FaultLateExtra)
		})}},
	{Name: "srv_slow", Faults: []func(t *Tier){delayed(1, func(t *Tier) { t.injectWorkerFaults(t.words.Services["app"], 0.5, 6*second, parties.FaultSlow) })}},
	{Name: "srv_grey", Faults: []func(t *Tier){delayed(1, withRandomWorker("app", func(t *Tier, s *tierWorker) {
		s.LyingHealth = true
		t.injectWorkerFaults(s.ID, 0.6, 7*second, parties.FaultLostSilent, parties.FaultSlow, parties.FaultError)
	}))}},
	{Name: "srv_lying_health", Faults: []func(t *Tier){
		delayed(1, withRandomWorker("app", func(t *Tier, s *tierWorker) {
			s.SetHealthy(false)
			t.CallerHost.Clock().Sleep(6 * second)
			s.SetHealthy(true)
		})),
		delayed(1, withRandomWorker("model", func(t *Tier, s *tierWorker) {
			s.LyingHealth = true
			s.SetHealthy(false)
			t.injectWorkerFaults(s.ID, 0.5, 6*second, parties.FaultLostReset, parties.FaultSlow)
			s.SetHealthy(true)
		}))}},
	{Name: "srv_flap", Faults: []func(t *Tier){delayed(1, withRandomWorker("app", func(t *Tier, s *tierWorker) {
		for index := range 8 {
			s.SetHealthy(index%2 == 1)
			t.CallerHost.Clock().Sleep(700 * time.Millisecond)
		}
	}))}},
	{Name: "workers crash", Faults: []func(t *Tier){delayed(1, withRandomWorker("app", func(t *Tier, s *tierWorker) {
		t.crashWorker(s)
		t.reuseAddress(s)
	})), delayed(3, withRandomWorker("model", func(t *Tier, s *tierWorker) {
		t.crashWorker(s)
		t.reuseAddress(s)
	}))}},
	{Name: "workers forget connections", Faults: []func(t *Tier){delayed(1, func(t *Tier) {
		for _, s := range t.workers {
			s.silentDropAfter = 300 * time.Millisecond
		}
		t.CallerHost.Clock().Sleep(8 * second)
		for _, s := range t.workers {
			s.silentDropAfter = 0
		}
	})}},
	{Name: "release with a short drain, connections slow to come up", AdjustSite: func(site *parties.Deployment) {
		site.Bounds.Drain = 150 * time.Millisecond
	}, Faults: []func(t *Tier){func(t *Tier) { t.maxDialTime = 300 * time.Millisecond }, delayed(1, loadBurst(3)), delayed(5, loadBurst(3)), delayed(0, func(t *Tier) {
		for range 5 {
			t.releaseWorkers("app", 1, 600*time.Millisecond)
		}
	})}},
	{Name: "list_down", Faults: []func(t *Tier){delayed(1, func(t *Tier) { t.failList(4 * second) }), delayed(2, releaseWorkers("app"))}},

	{Name: "node_kill", Faults: []func(t *Tier){delayed(1, killMachines(gatewayMachines, 0.34, false)), delayed(6, killMachines(gatewayMachines, 0.34, true))}},
	{Name: "node_kill of control", Faults: []func(t *Tier){delayed(1, killMachines(coreMachines, 0.25, false)), delayed(6, killMachines(coreMachines, 0.5, false)), delayed(3, repeatConfigChanges)}},
	{Name: "herd_kill", Faults: []func(t *Tier){delayed(2, killMachines(gatewayMachines, 0.7, false)), delayed(7, killMachines(coreMachines, 1, false))}},
	{Name: "node_freeze", Faults: []func(t *Tier){delayed(1, freezeMachine(gatewayMachines)), delayed(6, freezeMachine(gatewayMachines))}},
	{Name: "node_freeze of control", Faults: []func(t *Tier){delayed(1, freezeMachine(coreMachines)), delayed(5, repeatConfigChanges)}},
	{Name: "node_slow", Faults: []func(t *Tier){delayed(1, slowMachine(gatewayMachines)), delayed(5, slowMachine(coreMachines))}},
	{Name: "roll_term", LoadDuration: 24 * second, Faults: []func(t *Tier){delayed(1, rollingRestart(gatewayMachines))}},
	{Name: "roll_term of control and stores", LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, rollingRestart(coreMachines)), delayed(6, rollingRestart(storageMachines))}},
	{Name: "add_nodes", Faults: []func(t *Tier){delayed(1, func(t *Tier) { t.joinMachine("edge") }), delayed(3, func(t *Tier) { t.joinMachine("core") }), delayed(5, func(t *Tier) { t.joinMachine("storage") })}},
	{Name: "replace_core", Faults: []func(t *Tier){delayed(1, replaceMachine(coreMachines)), delayed(4, repeatConfigChanges)}},
	{Name: "after_ack_kill", Faults: []func(t *Tier){delayed(2, func(t *Tier) {
		t.afterConfigAck(func(m *Machine) { t.crashFor(m, "after_ack_kill", shortDowntime, true, false) }, 0)
	})}},
	{Name: "after_ack_wipe", Faults: []func(t *Tier){delayed(2, func(t *Tier) {
		t.afterConfigAck(func(m *Machine) { t.crashFor(m, "after_ack_wipe", shortDowntime, true, true) }, 0)
	})}},
	{Name: "core_cut", LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, isolateMachines(coreMachines, false)), delayed(7, isolateMachines(coreMachines, true)), delayed(2, repeatConfigChanges)}},
	{Name: "counted machines in halves", LoadDuration: 20 * second, AllowUnavailable: true, Faults: []func(t *Tier){delayed(1, partitionInHalves), delayed(10, partitionInHalves), delayed(0, repeatConfigChanges), delayed(2, repeatConfigRaces), delayed(11, repeatConfigRaces)}},
	{Name: "counted machines in halves, then all without power", LoadDuration: 12 * second, AllowUnavailable: true, Faults: []func(t *Tier){delayed(1, repeatConfigChanges), delayed(6, partitionInHalves), delayed(6, repeatConfigRaces)},
		FinalFault: func(t *Tier) { t.restartAll(true, t.drawMachines(t.Storage, t.TierShape.FaultTolerance)) }},
	{Name: "more stores down at once than may be lost", LoadDuration: 16 * second, AllowUnavailable: true, Faults: []func(t *Tier){delayed(3, excessStorageOutage), delayed(1, repeatConfigChanges), delayed(3, repeatConfigRaces)}},
	{Name: "config_change", Faults: []func(t *Tier){delayed(1, repeatConfigChanges)}},
	{Name: "config_race", Faults: []func(t *Tier){delayed(1, repeatConfigRaces)}},
	{Name: "config_race with core_cut", LoadDuration: 14 * second, Faults: []func(t *Tier){delayed(1, repeatConfigRaces), delayed(2, isolateMachines(coreMachines, true)), delayed(7, repeatConfigRaces)}},
	{Name: "bad_config", Faults: []func(t *Tier){delayed(1, func(t *Tier) { t.sendInvalidConfigs(300 * time.Millisecond) }), delayed(5, repeatConfigChanges)}},

	{Name: "stores killed", LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, killMachines(storageMachines, 0.25, false)), delayed(9, killMachines(storageMachines, 0.25, true))}},
	{Name: "stores frozen", Faults: []func(t *Tier){delayed(2, freezeMachine(storageMachines))}},
	{Name: "stores slow", Faults: []func(t *Tier){delayed(2, slowMachine(storageMachines))}},
	{Name: "stores after_ack_kill", Faults: []func(t *Tier){delayed(2, func(t *Tier) {
		t.afterConfigAck(func(m *Machine) { t.crashFor(m, "after_ack_kill", shortDowntime, true, false) }, t.TierShape.FaultTolerance)
	})}},
	{Name: "stores after_ack_wipe", LoadDuration: 18 * second, Faults: []func(t *Tier){delayed(2, wipeStorageAfterAck), delayed(11, wipeStorageAfterAck)}},
	{Name: "stores replace_core", LoadDuration: 18 * second, Faults: []func(t *Tier){delayed(1, replaceMachine(storageMachines)), delayed(11, wipeStorageAfterAck)}},
	{Name: "stores core_cut", Faults: []func(t *Tier){delayed(2, isolateMachines(storageMachines, false)), delayed(3, repeatConfigChanges)}},
	{Name: "stores retire", LoadDuration: 18 * second, Faults: []func(t *Tier){delayed(1, func(t *Tier) {
		t.joinMachine("storage")
		t.CallerHost.Clock().Sleep(2 * second)
		t.forEachMachine(t.drawMachines(t.Storage, 1), func(m *Machine) { t.retireStorage(m) })
	}), delayed(13, wipeStorageAfterAck)}},

	{Name: "stores replaced, the successor first", LoadDuration: 22 * second, Faults: []func(t *Tier){delayed(1, replaceAfterJoin(storageMachines)), delayed(2, replaceMachine(coreMachines)), delayed(8, replaceAfterJoin(storageMachines))},
		FinalFault: func(t *Tier) { t.restartAll(true, t.drawMachines(t.Storage, t.TierShape.FaultTolerance)) }},
	{Name: "stores retired, wiped, and replaced with the successor first", LoadDuration: 40 * second, Faults: []func(t *Tier){consecutiveStorageLosses, delayed(4, replaceMachine(coreMachines)), delayed(14, replaceMachine(coreMachines))},
		FinalFault: func(t *Tier) { t.restartAll(true, t.drawMachines(t.Storage, t.TierShape.FaultTolerance)) }},

	{Name: "closing power", FinalFault: func(t *Tier) { t.restartAll(true, nil) }},
	{Name: "closing kill", FinalFault: func(t *Tier) { t.restartAll(false, nil) }},
	{Name: "closing wipe", FinalFault: func(t *Tier) {
		list := t.drawMachines(t.Storage, t.TierShape.FaultTolerance)
		t.forEachMachine(list, func(m *Machine) { t.crashFor(m, "after_ack_wipe", shortDowntime, true, true) })
	}},
	{Name: "closing wipe and power", FinalFault: func(t *Tier) { t.restartAll(true, t.drawMachines(t.Storage, t.TierShape.FaultTolerance)) }},

	{Name: "sessions wander", Faults: []func(t *Tier){func(t *Tier) { t.rotateGateways = true }}},
	{Name: "sessions wander, edges frozen", LoadDuration: 16 * second, Faults: []func(t *Tier){func(t *Tier) { t.rotateGateways = true }, delayed(1, freezeMachine(gatewayMachines)), delayed(5, freezeMachine(gatewayMachines)), delayed(9, freezeMachine(gatewayMachines))}},
	{Name: "sessions wander, edges killed", Faults: []func(t *Tier){func(t *Tier) { t.rotateGateways = true }, delayed(1, killMachines(gatewayMachines, 0.34, false)), delayed(4, killMachines(gatewayMachines, 0.34, true)), delayed(7, killMachines(gatewayMachines, 0.34, false))}},
	{Name: "sessions wander, stores wiped", LoadDuration: 18 * second, Faults: []func(t *Tier){func(t *Tier) { t.rotateGateways = true }, delayed(1, wipeStorageAfterAck), delayed(10, wipeStorageAfterAck), delayed(5, killMachines(gatewayMachines, 0.34, false))}},
	{Name: "stores wiped in turn, owners killed", LoadDuration: 22 * second, Faults: []func(t *Tier){func(t *Tier) {
		// The closest losses that must be tolerated: each machine is wiped as soon as the
		// last one has caught up.
		t.rotateGateways = true
		for _, m := range t.drawMachines(t.Storage, 3) {
			t.crashFor(m, "node_kill", t.World.Between(100*time.Millisecond, shortDowntime), true, true)
			back := t.World.now
			t.forEachMachine(t.drawMachines(t.Gateways, len(t.Gateways)/2), func(m *Machine) { t.crashFor(m, "node_kill", 300*time.Millisecond, false, false) })
			t.CallerHost.Clock().Sleep(back + t.Site.Bounds.CatchUp - t.World.now)
		}
	}}},

	{Name: "programs rest", Faults: []func(t *Tier){restPrograms}},
	{Name: "programs rest, edges killed", LoadDuration: 16 * second, Faults: []func(t *Tier){restPrograms, delayed(5, killMachines(gatewayMachines, 0.34, false)), delayed(9, killMachines(gatewayMachines, 0.34, true))}},
	{Name: "programs rest, edges restarted as planned", LoadDuration: 20 * second, Faults: []func(t *Tier){restPrograms, delayed(6, rollingRestart(gatewayMachines))}},
	{Name: "services move", AdjustSite: withMovingServices, LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, moveServices)}},
	{Name: "services move, edges killed, workers released", AdjustSite: withMovingServices, LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, moveServices), delayed(3, killMachines(gatewayMachines, 0.34, false)), delayed(2, releaseWorkers("model"))}},

	{Name: "turns kept for a short time", AdjustSite: func(site *parties.Deployment) {
		for index := range site.Classes {
			if site.Classes[index].Retain > 0 {
				site.Classes[index].Retain = 2 * second
			}
		}
	}, Faults: []func(t *Tier){delayed(3, killMachines(gatewayMachines, 0.34, false))}},
	{Name: "engines short of memory", AdjustSite: func(site *parties.Deployment) {
		engine := *site.Services[0].Engine
		engine.CacheTokens = 16000
		site.Services[0].Engine = &engine
	}, Faults: []func(t *Tier){delayed(2, loadBurst(3))}},
	{Name: "workers take few connections", AdjustSite: func(site *parties.Deployment) {
		for index := range site.Services {
			site.Services[index].MaxConns = 6
		}
	}, Faults: []func(t *Tier){delayed(2, loadBurst(3)), delayed(4, func(t *Tier) { t.joinMachine("edge") })}},
	{Name: "processors short, burst", Faults: []func(t *Tier){func(t *Tier) {
		for _, m := range t.All() {
			m.Host.MessageCost = 2 * time.Millisecond
		}
	}, delayed(2, loadBurst(4)), delayed(3, repeatConfigChanges)}},

	{Name: "mixed: roll_term in a burst", LoadDuration: 20 * second, Faults: []func(t *Tier){delayed(0, rollingRestart(gatewayMachines)), delayed(1, loadBurst(4)), delayed(6, loadBurst(4)), delayed(2, repeatConfigChanges)}},
	{Name: "mixed: core_cut, races, after_ack_kill", LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, isolateMachines(coreMachines, true)), delayed(0, repeatConfigRaces), delayed(2, func(t *Tier) {
		t.afterConfigAck(func(m *Machine) { t.crashFor(m, "after_ack_kill", shortDowntime, true, true) }, 0)
	}), delayed(8, isolateMachines(coreMachines, true)), delayed(8, repeatConfigRaces)}},
	{Name: "mixed: all cores replaced one after the other, release", LoadDuration: 24 * second, Faults: []func(t *Tier){delayed(1, func(t *Tier) {
		for _, m := range append([]*Machine{}, t.Cores...) {
			t.replaceLost(m, 300*time.Millisecond)
			t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp)
			t.changeConfig()
		}
	}), delayed(2, releaseWorkers("app"))}, FinalFault: func(t *Tier) { t.restartAll(true, nil) }},
	{Name: "mixed: all stores replaced one after the other", LoadDuration: 34 * second, Faults: []func(t *Tier){func(t *Tier) { t.rotateGateways = true }, delayed(1, func(t *Tier) {
		for _, m := range append([]*Machine{}, t.Storage[:min(4, len(t.Storage))]...) {
			t.replaceLost(m, 300*time.Millisecond)
			t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp + second)
		}
	}), delayed(9, killMachines(gatewayMachines, 0.5, false)), delayed(19, killMachines(gatewayMachines, 0.5, false))}, FinalFault: func(t *Tier) { t.restartAll(true, nil) }},
	{Name: "mixed: list_down, control killed, workers crash", Faults: []func(t *Tier){delayed(1, func(t *Tier) { t.failList(5 * second) }), delayed(2, killMachines(coreMachines, 0.25, false)), delayed(2, withRandomWorker("app", func(t *Tier, s *tierWorker) {
		t.crashWorker(s)
		t.reuseAddress(s)
	})), delayed(7, releaseWorkers("model"))}},
	{Name: "mixed: everything killed at once in the middle", LoadDuration: 18 * second, Faults: []func(t *Tier){delayed(3, func(t *Tier) { t.restartAll(false, nil) }), delayed(1, repeatConfigRaces)}},
	{Name: "mixed: release, edges killed, configuration changes", Faults: []func(t *Tier){delayed(1, releaseWorkers("app")), delayed(3, killMachines(gatewayMachines, 0.34, false)), delayed(1, repeatConfigChanges), delayed(2, loseAnswers("app", 0.1))}},
	{Name: "mixed: stores wiped, control killed, two operators", LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, wipeStorageAfterAck), delayed(2, killMachines(coreMachines, 0.25, false)), delayed(3, repeatConfigRaces), delayed(5, killMachines(gatewayMachines, 0.34, false))}},
	{Name: "mixed: stores frozen, edges rolled, answers lost", LoadDuration: 18 * second, Faults: []func(t *Tier){delayed(1, freezeMachine(storageMachines)), delayed(1, rollingRestart(gatewayMachines)), delayed(2, loseAnswers("model", 0.08))}},
	{Name: "mixed: storm, closing power", LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, func(t *Tier) {
		for end := t.World.now + 13*second; t.World.now < end; {
			t.injectRandomTierFault()
			t.CallerHost.Clock().Sleep(t.World.Between(300*time.Millisecond, 2*second))
		}
	})}, FinalFault: func(t *Tier) { t.restartAll(true, nil) }},
	{Name: "mixed: storm, closing wipe and power", LoadDuration: 16 * second, Faults: []func(t *Tier){delayed(1, func(t *Tier) {
		for end := t.World.now + 12*second; t.World.now < end; {
			t.injectRandomTierFault()
			t.CallerHost.Clock().Sleep(t.World.Between(300*time.Millisecond, 2*second))
		}
		t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp + 3*second)
	})}, FinalFault: func(t *Tier) { t.restartAll(true, t.drawMachines(t.Storage, t.TierShape.FaultTolerance)) }},
	{Name: "hunt", LoadDuration: 16 * second, Faults: []func(t *Tier){randomFaults}, FinalFault: randomFinalFault},
}

// FindTierScenario returns the scenario with a name, or nil.
func FindTierScenario(name string) *TierScenario {
	for _, scenario := range TierScenarios {
		if scenario.Name == name {
			return scenario
		}
	}
	return nil
}
