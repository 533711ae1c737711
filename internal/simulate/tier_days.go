// The days: every trouble of the deployments' sheets, alone and mixed, and the
// faults that end a day.

package simulate

import (
	"time"

	parties "fordseam/internal/standin/platform"
)

// at is a deed some seconds after traffic began, drawn by the seed up to a
// second later.
func at(seconds float64, deed func(t *Tier)) func(t *Tier) {
	return func(t *Tier) {
		t.CallerHost.Clock().Sleep(time.Duration(seconds*float64(time.Second)) + t.World.Between(0, time.Second))
		deed(t)
	}
}

const (
	second = time.Second
	short  = 1500 * time.Millisecond
)

func edges(t *Tier) []*Machine { return t.Gateways }

func cores(t *Tier) []*Machine { return t.Cores }

func stores(t *Tier) []*Machine { return t.Storage }

// killed kills some machines of a class, at most as many of those with a disk
// as may be lost.
func killed(list func(t *Tier) []*Machine, share float64, power bool) func(t *Tier) {
	return func(t *Tier) {
		count := max(1, int(share*float64(len(list(t)))))
		if list(t)[0].Role == "storage" {
			count = min(count, t.TierShape.FaultTolerance)
		}
		t.each(t.some(list(t), count), func(m *Machine) {
			t.fall(m, "node_kill", t.World.Between(200*time.Millisecond, 2*second), power, false)
		})
	}
}

func frozen(list func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.each(t.some(list(t), 1), func(m *Machine) { t.freezeNode(m, t.World.Between(second, 4*second)) })
	}
}

func slowed(list func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.each(t.some(list(t), 1), func(m *Machine) { t.slowNode(m, 3*second) })
	}
}

func replaced(list func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.each(t.some(list(t), 1), func(m *Machine) { t.replace(m, short) })
	}
}

// succeeded replaces a machine as planned work.
func succeeded(list func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		t.each(t.some(list(t), 1), func(m *Machine) { t.succeed(m, t.World.Between(second, 4*second)) })
	}
}

// secondLosses lose storage machines in one way after another, each when the
// last has caught up: one is retired and others lose their disks right then, two
// are wiped apart, one is replaced as planned work.
func secondLosses(t *Tier) {
	clock, catchUp := t.CallerHost.Clock(), t.Site.Bounds.CatchUp
	wiped := func(count int) {
		t.each(t.some(t.Storage, count), func(m *Machine) { t.fall(m, "node_kill", short, true, true) })
		clock.Sleep(catchUp)
	}
	t.add("storage")
	clock.Sleep(2 * second)
	t.each(t.some(t.Storage, 1), func(m *Machine) { t.retire(m) })
	wiped(t.TierShape.FaultTolerance)
	wiped(1)
	wiped(1)
	succeeded(stores)(t)
	clock.Sleep(catchUp)
}

func cut(list func(t *Tier) []*Machine, half bool) func(t *Tier) {
	return func(t *Tier) {
		count := 1
		if half {
			count = len(list(t)) / 2
		}
		t.cutOff(t.some(list(t), count), t.World.Between(second, 4*second))
	}
}

// halved cuts the machines that count into halves for some seconds.
func halved(t *Tier) { t.halve(t.World.Between(2*second, 5*second)) }

// storesDown has more storage machines without power at once than may be lost;
// all disks come back.
func storesDown(t *Tier) {
	t.each(t.some(t.Storage, t.TierShape.FaultTolerance+2), func(m *Machine) {
		t.fall(m, "node_kill", t.World.Between(second, 4*second), true, false)
	})
}

func rolled(list func(t *Tier) []*Machine) func(t *Tier) {
	return func(t *Tier) {
		for _, m := range t.some(list(t), 3) {
			t.term(m, "roll_term", 300*time.Millisecond)
			t.CallerHost.Clock().Sleep(second)
		}
	}
}

func released(shape string) func(t *Tier) {
	return func(t *Tier) { t.release(shape, 0.5, 800*time.Millisecond) }
}

func answersLost(shape string, share float64) func(t *Tier) {
	return func(t *Tier) {
		t.ill(t.words.Services[shape], share, 6*second, parties.LostReset, parties.LostSilent)
	}
}

func burst(times float64) func(t *Tier) {
	return func(t *Tier) {
		t.times = times
		t.CallerHost.Clock().Sleep(3 * second)
		t.times = 1
	}
}

func changes(t *Tier) {
	for range 4 {
		t.change()
		t.CallerHost.Clock().Sleep(2 * second)
	}
}

func races(t *Tier) {
	for range 4 {
		t.race()
		t.CallerHost.Clock().Sleep(second)
	}
}

func wipedAfterAck(t *Tier) {
	t.afterAck(func(m *Machine) { t.fall(m, "after_ack_wipe", short, true, true) }, t.TierShape.FaultTolerance)
}

func one(shape string, step func(t *Tier, s *tierWorker)) func(t *Tier) {
	return func(t *Tier) {
		if list := t.serving(shape); len(list) > 0 {
			step(t, list[t.rng.IntN(len(list))])
		}
	}
}

// TierScenarios are all days that runs and campaigns draw on.
var TierScenarios = []*TierScenario{
	{Name: "quiet"},
	{Name: "burst", Faults: []func(t *Tier){at(2, burst(6))}},
	{Name: "urgent burst", Faults: []func(t *Tier){at(2, func(t *Tier) {
		class := &t.Site.Classes[0]
		for range 20 * len(t.Site.Zones) {
			t.program(class, t.Site.Zones[t.rng.IntN(len(t.Site.Zones))], t.rng.IntN(t.Site.Clients), t.World.now+10*second, "")
		}
	})}},
	{Name: "release of model workers", Faults: []func(t *Tier){at(1, released("model"))}},
	{Name: "release of plain workers", Faults: []func(t *Tier){at(1, released("app"))}},
	{Name: "answer_lost at plain workers", Faults: []func(t *Tier){at(1, answersLost("app", 0.15))}},
	{Name: "answer_lost at model workers", Faults: []func(t *Tier){at(1, answersLost("model", 0.1))}},
	{Name: "answers garbled, cut, late and extra", Faults: []func(t *Tier){
		at(1, func(t *Tier) {
			t.ill(t.words.Services["app"], 0.15, 8*second, parties.Garbled, parties.Cut, parties.Extra, parties.LateExtra)
		}),
		at(1, func(t *Tier) {
			t.ill(t.words.Services["model"], 0.1, 8*second, parties.Garbled, parties.Cut, parties.Extra, parties.LateExtra)
		})}},
	{Name: "srv_slow", Faults: []func(t *Tier){at(1, func(t *Tier) { t.ill(t.words.Services["app"], 0.5, 6*second, parties.Slow) })}},
	{Name: "srv_grey", Faults: []func(t *Tier){at(1, one("app", func(t *Tier, s *tierWorker) {
		s.LyingHealth = true
		t.ill(s.ID, 0.6, 7*second, parties.LostSilent, parties.Slow, parties.Fail)
	}))}},
	{Name: "srv_lying_health", Faults: []func(t *Tier){
		at(1, one("app", func(t *Tier, s *tierWorker) {
			s.SetWell(false)
			t.CallerHost.Clock().Sleep(6 * second)
			s.SetWell(true)
		})),
		at(1, one("model", func(t *Tier, s *tierWorker) {
			s.LyingHealth = true
			s.SetWell(false)
			t.ill(s.ID, 0.5, 6*second, parties.LostReset, parties.Slow)
			s.SetWell(true)
		}))}},
	{Name: "srv_flap", Faults: []func(t *Tier){at(1, one("app", func(t *Tier, s *tierWorker) {
		for place := range 8 {
			s.SetWell(place%2 == 1)
			t.CallerHost.Clock().Sleep(700 * time.Millisecond)
		}
	}))}},
	{Name: "workers crash", Faults: []func(t *Tier){at(1, one("app", func(t *Tier, s *tierWorker) {
		t.crashWorker(s)
		t.reuse(s)
	})), at(3, one("model", func(t *Tier, s *tierWorker) {
		t.crashWorker(s)
		t.reuse(s)
	}))}},
	{Name: "workers forget connections", Faults: []func(t *Tier){at(1, func(t *Tier) {
		for _, s := range t.workers {
			s.forget = 300 * time.Millisecond
		}
		t.CallerHost.Clock().Sleep(8 * second)
		for _, s := range t.workers {
			s.forget = 0
		}
	})}},
	{Name: "release with a short drain, connections slow to come up", AdjustSite: func(site *parties.Site) {
		site.Bounds.Drain = 150 * time.Millisecond
	}, Faults: []func(t *Tier){func(t *Tier) { t.dialing = 300 * time.Millisecond }, at(1, burst(3)), at(5, burst(3)), at(0, func(t *Tier) {
		for range 5 {
			t.release("app", 1, 600*time.Millisecond)
		}
	})}},
	{Name: "list_down", Faults: []func(t *Tier){at(1, func(t *Tier) { t.listDown(4 * second) }), at(2, released("app"))}},

	{Name: "node_kill", Faults: []func(t *Tier){at(1, killed(edges, 0.34, false)), at(6, killed(edges, 0.34, true))}},
	{Name: "node_kill of control", Faults: []func(t *Tier){at(1, killed(cores, 0.25, false)), at(6, killed(cores, 0.5, false)), at(3, changes)}},
	{Name: "herd_kill", Faults: []func(t *Tier){at(2, killed(edges, 0.7, false)), at(7, killed(cores, 1, false))}},
	{Name: "node_freeze", Faults: []func(t *Tier){at(1, frozen(edges)), at(6, frozen(edges))}},
	{Name: "node_freeze of control", Faults: []func(t *Tier){at(1, frozen(cores)), at(5, changes)}},
	{Name: "node_slow", Faults: []func(t *Tier){at(1, slowed(edges)), at(5, slowed(cores))}},
	{Name: "roll_term", LoadDuration: 24 * second, Faults: []func(t *Tier){at(1, rolled(edges))}},
	{Name: "roll_term of control and stores", LoadDuration: 16 * second, Faults: []func(t *Tier){at(1, rolled(cores)), at(6, rolled(stores))}},
	{Name: "add_nodes", Faults: []func(t *Tier){at(1, func(t *Tier) { t.add("edge") }), at(3, func(t *Tier) { t.add("core") }), at(5, func(t *Tier) { t.add("storage") })}},
	{Name: "replace_core", Faults: []func(t *Tier){at(1, replaced(cores)), at(4, changes)}},
	{Name: "after_ack_kill", Faults: []func(t *Tier){at(2, func(t *Tier) {
		t.afterAck(func(m *Machine) { t.fall(m, "after_ack_kill", short, true, false) }, 0)
	})}},
	{Name: "after_ack_wipe", Faults: []func(t *Tier){at(2, func(t *Tier) {
		t.afterAck(func(m *Machine) { t.fall(m, "after_ack_wipe", short, true, true) }, 0)
	})}},
	{Name: "core_cut", LoadDuration: 16 * second, Faults: []func(t *Tier){at(1, cut(cores, false)), at(7, cut(cores, true)), at(2, changes)}},
	{Name: "counted machines in halves", LoadDuration: 20 * second, AllowUnavailable: true, Faults: []func(t *Tier){at(1, halved), at(10, halved), at(0, changes), at(2, races), at(11, races)}},
	{Name: "counted machines in halves, then all without power", LoadDuration: 12 * second, AllowUnavailable: true, Faults: []func(t *Tier){at(1, changes), at(6, halved), at(6, races)},
		FinalFault: func(t *Tier) { t.all(true, t.some(t.Storage, t.TierShape.FaultTolerance)) }},
	{Name: "more stores down at once than may be lost", LoadDuration: 16 * second, AllowUnavailable: true, Faults: []func(t *Tier){at(3, storesDown), at(1, changes), at(3, races)}},
	{Name: "config_change", Faults: []func(t *Tier){at(1, changes)}},
	{Name: "config_race", Faults: []func(t *Tier){at(1, races)}},
	{Name: "config_race with core_cut", LoadDuration: 14 * second, Faults: []func(t *Tier){at(1, races), at(2, cut(cores, true)), at(7, races)}},
	{Name: "bad_config", Faults: []func(t *Tier){at(1, func(t *Tier) { t.badConfigs(300 * time.Millisecond) }), at(5, changes)}},

	{Name: "stores killed", LoadDuration: 16 * second, Faults: []func(t *Tier){at(1, killed(stores, 0.25, false)), at(9, killed(stores, 0.25, true))}},
	{Name: "stores frozen", Faults: []func(t *Tier){at(2, frozen(stores))}},
	{Name: "stores slow", Faults: []func(t *Tier){at(2, slowed(stores))}},
	{Name: "stores after_ack_kill", Faults: []func(t *Tier){at(2, func(t *Tier) {
		t.afterAck(func(m *Machine) { t.fall(m, "after_ack_kill", short, true, false) }, t.TierShape.FaultTolerance)
	})}},
	{Name: "stores after_ack_wipe", LoadDuration: 18 * second, Faults: []func(t *Tier){at(2, wipedAfterAck), at(11, wipedAfterAck)}},
	{Name: "stores replace_core", LoadDuration: 18 * second, Faults: []func(t *Tier){at(1, replaced(stores)), at(11, wipedAfterAck)}},
	{Name: "stores core_cut", Faults: []func(t *Tier){at(2, cut(stores, false)), at(3, changes)}},
	{Name: "stores retire", LoadDuration: 18 * second, Faults: []func(t *Tier){at(1, func(t *Tier) {
		t.add("storage")
		t.CallerHost.Clock().Sleep(2 * second)
		t.each(t.some(t.Storage, 1), func(m *Machine) { t.retire(m) })
	}), at(13, wipedAfterAck)}},

	{Name: "stores replaced, the successor first", LoadDuration: 22 * second, Faults: []func(t *Tier){at(1, succeeded(stores)), at(2, replaced(cores)), at(8, succeeded(stores))},
		FinalFault: func(t *Tier) { t.all(true, t.some(t.Storage, t.TierShape.FaultTolerance)) }},
	{Name: "stores retired, wiped, and replaced with the successor first", LoadDuration: 40 * second, Faults: []func(t *Tier){secondLosses, at(4, replaced(cores)), at(14, replaced(cores))},
		FinalFault: func(t *Tier) { t.all(true, t.some(t.Storage, t.TierShape.FaultTolerance)) }},

	{Name: "closing power", FinalFault: func(t *Tier) { t.all(true, nil) }},
	{Name: "closing kill", FinalFault: func(t *Tier) { t.all(false, nil) }},
	{Name: "closing wipe", FinalFault: func(t *Tier) {
		list := t.some(t.Storage, t.TierShape.FaultTolerance)
		t.each(list, func(m *Machine) { t.fall(m, "after_ack_wipe", short, true, true) })
	}},
	{Name: "closing wipe and power", FinalFault: func(t *Tier) { t.all(true, t.some(t.Storage, t.TierShape.FaultTolerance)) }},

	{Name: "sessions wander", Faults: []func(t *Tier){func(t *Tier) { t.wander = true }}},
	{Name: "sessions wander, edges frozen", LoadDuration: 16 * second, Faults: []func(t *Tier){func(t *Tier) { t.wander = true }, at(1, frozen(edges)), at(5, frozen(edges)), at(9, frozen(edges))}},
	{Name: "sessions wander, edges killed", Faults: []func(t *Tier){func(t *Tier) { t.wander = true }, at(1, killed(edges, 0.34, false)), at(4, killed(edges, 0.34, true)), at(7, killed(edges, 0.34, false))}},
	{Name: "sessions wander, stores wiped", LoadDuration: 18 * second, Faults: []func(t *Tier){func(t *Tier) { t.wander = true }, at(1, wipedAfterAck), at(10, wipedAfterAck), at(5, killed(edges, 0.34, false))}},
	{Name: "stores wiped in turn, owners killed", LoadDuration: 22 * second, Faults: []func(t *Tier){func(t *Tier) {
		// The tightest that is to be borne: each is wiped as soon as the last has caught up.
		t.wander = true
		for _, m := range t.some(t.Storage, 3) {
			t.fall(m, "node_kill", t.World.Between(100*time.Millisecond, short), true, true)
			back := t.World.now
			t.each(t.some(t.Gateways, len(t.Gateways)/2), func(m *Machine) { t.fall(m, "node_kill", 300*time.Millisecond, false, false) })
			t.CallerHost.Clock().Sleep(back + t.Site.Bounds.CatchUp - t.World.now)
		}
	}}},

	{Name: "turns kept for a short time", AdjustSite: func(site *parties.Site) {
		for place := range site.Classes {
			if site.Classes[place].Retain > 0 {
				site.Classes[place].Retain = 2 * second
			}
		}
	}, Faults: []func(t *Tier){at(3, killed(edges, 0.34, false))}},
	{Name: "engines short of memory", AdjustSite: func(site *parties.Site) {
		engine := *site.Services[0].Engine
		engine.CacheTokens = 16000
		site.Services[0].Engine = &engine
	}, Faults: []func(t *Tier){at(2, burst(3))}},
	{Name: "workers take few connections", AdjustSite: func(site *parties.Site) {
		for place := range site.Services {
			site.Services[place].MaxConns = 6
		}
	}, Faults: []func(t *Tier){at(2, burst(3)), at(4, func(t *Tier) { t.add("edge") })}},
	{Name: "processors short, burst", Faults: []func(t *Tier){func(t *Tier) {
		for _, m := range t.All() {
			m.Host.MessageCost = 2 * time.Millisecond
		}
	}, at(2, burst(4)), at(3, changes)}},

	{Name: "mixed: roll_term in a burst", LoadDuration: 20 * second, Faults: []func(t *Tier){at(0, rolled(edges)), at(1, burst(4)), at(6, burst(4)), at(2, changes)}},
	{Name: "mixed: core_cut, races, after_ack_kill", LoadDuration: 16 * second, Faults: []func(t *Tier){at(1, cut(cores, true)), at(0, races), at(2, func(t *Tier) {
		t.afterAck(func(m *Machine) { t.fall(m, "after_ack_kill", short, true, true) }, 0)
	}), at(8, cut(cores, true)), at(8, races)}},
	{Name: "mixed: all cores replaced one after the other, release", LoadDuration: 24 * second, Faults: []func(t *Tier){at(1, func(t *Tier) {
		for _, m := range append([]*Machine{}, t.Cores...) {
			t.replace(m, 300*time.Millisecond)
			t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp)
			t.change()
		}
	}), at(2, released("app"))}, FinalFault: func(t *Tier) { t.all(true, nil) }},
	{Name: "mixed: all stores replaced one after the other", LoadDuration: 34 * second, Faults: []func(t *Tier){func(t *Tier) { t.wander = true }, at(1, func(t *Tier) {
		for _, m := range append([]*Machine{}, t.Storage[:min(4, len(t.Storage))]...) {
			t.replace(m, 300*time.Millisecond)
			t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp + second)
		}
	}), at(9, killed(edges, 0.5, false)), at(19, killed(edges, 0.5, false))}, FinalFault: func(t *Tier) { t.all(true, nil) }},
	{Name: "mixed: list_down, control killed, workers crash", Faults: []func(t *Tier){at(1, func(t *Tier) { t.listDown(5 * second) }), at(2, killed(cores, 0.25, false)), at(2, one("app", func(t *Tier, s *tierWorker) {
		t.crashWorker(s)
		t.reuse(s)
	})), at(7, released("model"))}},
	{Name: "mixed: everything killed at once in the middle", LoadDuration: 18 * second, Faults: []func(t *Tier){at(3, func(t *Tier) { t.all(false, nil) }), at(1, races)}},
	{Name: "mixed: release, edges killed, configuration changes", Faults: []func(t *Tier){at(1, released("app")), at(3, killed(edges, 0.34, false)), at(1, changes), at(2, answersLost("app", 0.1))}},
	{Name: "mixed: stores wiped, control killed, two operators", LoadDuration: 16 * second, Faults: []func(t *Tier){at(1, wipedAfterAck), at(2, killed(cores, 0.25, false)), at(3, races), at(5, killed(edges, 0.34, false))}},
	{Name: "mixed: stores frozen, edges rolled, answers lost", LoadDuration: 18 * second, Faults: []func(t *Tier){at(1, frozen(stores)), at(1, rolled(edges)), at(2, answersLost("model", 0.08))}},
	{Name: "mixed: storm, closing power", LoadDuration: 16 * second, Faults: []func(t *Tier){at(1, func(t *Tier) {
		for end := t.World.now + 13*second; t.World.now < end; {
			t.storm()
			t.CallerHost.Clock().Sleep(t.World.Between(300*time.Millisecond, 2*second))
		}
	})}, FinalFault: func(t *Tier) { t.all(true, nil) }},
	{Name: "mixed: storm, closing wipe and power", LoadDuration: 16 * second, Faults: []func(t *Tier){at(1, func(t *Tier) {
		for end := t.World.now + 12*second; t.World.now < end; {
			t.storm()
			t.CallerHost.Clock().Sleep(t.World.Between(300*time.Millisecond, 2*second))
		}
		t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp + 3*second)
	})}, FinalFault: func(t *Tier) { t.all(true, t.some(t.Storage, t.TierShape.FaultTolerance)) }},
	{Name: "hunt", LoadDuration: 16 * second, Faults: []func(t *Tier){hunt}, FinalFault: anyClosing},
}

// FindTierScenario finds one.
func FindTierScenario(name string) *TierScenario {
	for _, one := range TierScenarios {
		if one.Name == name {
			return one
		}
	}
	return nil
}
