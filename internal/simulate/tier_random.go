package simulate

import (
	"time"

	parties "fordseam/internal/standin/platform"
)

// startFault starts a fault and does not wait for its end.
func (t *Tier) startFault(fault func(t *Tier)) {
	t.runningFaults++
	t.CallerHost.Go(func() {
		fault(t)
		t.runningFaults--
	})
}

// startStorageFault is startFault for a fault that loses a storage machine. It does
// nothing while another such fault lasts or its machine catches up.
func (t *Tier) startStorageFault(fault func(t *Tier)) {
	if t.storageFaultActive {
		return
	}
	t.storageFaultActive = true
	t.startFault(func(t *Tier) {
		fault(t)
		t.CallerHost.Clock().Sleep(t.Site.Bounds.CatchUp)
		t.storageFaultActive = false
	})
}

// injectRandomTierFault starts a fault that is drawn from the seed and does not wait
// for its end. Only one storage fault is active at a time, including the time to catch
// up.
func (t *Tier) injectRandomTierFault() {
	switch t.rng.IntN(16) {
	case 0, 1:
		t.startFault(killMachines(gatewayMachines, 0.3, t.rng.IntN(2) == 0))
	case 2:
		t.startFault(freezeMachine(gatewayMachines))
	case 3:
		t.startFault(killMachines(coreMachines, 0.25, t.rng.IntN(2) == 0))
	case 4:
		t.startFault(freezeMachine(coreMachines))
	case 5:
		t.startStorageFault(killMachines(storageMachines, 0.25, t.rng.IntN(2) == 0))
	case 6:
		t.startStorageFault(freezeMachine(storageMachines))
	case 7:
		t.startStorageFault(wipeStorageAfterAck)
	case 8:
		t.startStorageFault(isolateMachines(storageMachines, false))
	case 9:
		t.startFault(loseAnswers("app", 0.1))
	case 10:
		t.startFault(loseAnswers("model", 0.05))
	case 11:
		t.startFault(func(t *Tier) { t.changeConfig() })
	case 12:
		t.startFault(func(t *Tier) { t.raceConfigs() })
	case 13:
		t.startFault(withRandomWorker("app", func(t *Tier, s *tierWorker) {
			t.startWorker(s.Spec, s.Zone, "")
			t.drainWorker(s)
			t.reuseAddress(s)
		}))
	case 14:
		t.startStorageFault(isolateMachines(coreMachines, t.rng.IntN(2) == 0))
	case 15:
		t.startFault(slowMachine(gatewayMachines))
	}
}

// randomFaults draws the routing, the processor time per message, and faults at random
// times, and waits at the end until storage machines have caught up.
func randomFaults(t *Tier) {
	t.rotateGateways = t.rng.IntN(3) == 0
	if t.rng.IntN(4) == 0 {
		for _, m := range t.All() {
			m.Host.MessageCost = 800 * time.Microsecond
		}
	}
	clock := t.CallerHost.Clock()
	for end := t.World.now + 16*second; t.World.now < end; clock.Sleep(t.World.Between(200*time.Millisecond, 2500*time.Millisecond)) {
		if t.rng.IntN(2) == 0 {
			t.injectRandomTierFault()
			continue
		}
		switch t.rng.IntN(14) {
		case 0:
			t.startFault(rollingRestart(gatewayMachines))
		case 1:
			t.startStorageFault(rollingRestart(storageMachines))
		case 2:
			t.startFault(rollingRestart(coreMachines))
		case 3:
			t.startFault(replaceMachine(coreMachines))
		case 4:
			t.startStorageFault(replaceMachine(storageMachines))
		case 5:
			t.startFault(func(t *Tier) { t.joinMachine([]string{"edge", "core", "storage"}[t.rng.IntN(3)]) })
		case 6:
			t.startStorageFault(func(t *Tier) {
				if len(t.available(t.Storage)) < t.Site.Storage+1 {
					t.joinMachine("storage")
				}
				t.forEachMachine(t.drawMachines(t.Storage, 1), func(m *Machine) { t.retireStorage(m) })
			})
		case 7:
			t.startFault(func(t *Tier) { t.failList(t.World.Between(second, 4*second)) })
		case 8:
			t.startFault(loadBurst(float64(2 + t.rng.IntN(4))))
		case 9:
			t.startFault(func(t *Tier) { t.sendInvalidConfigs(100 * time.Millisecond) })
		case 10:
			t.startFault(withRandomWorker("app", func(t *Tier, s *tierWorker) {
				t.crashWorker(s)
				t.reuseAddress(s)
			}))
		case 11:
			t.startFault(func(t *Tier) {
				t.injectWorkerFaults(t.words.Services["app"], 0.1, 4*second, parties.FaultGarbled, parties.FaultCut, parties.FaultExtra, parties.FaultLateExtra, parties.FaultSlow)
			})
		case 12:
			t.startFault(releaseWorkers("app"))
		case 13:
			t.startFault(killMachines(coreMachines, 1, false))
		}
	}
	clock.Sleep(t.Site.Bounds.CatchUp + 4*second)
}

// randomFinalFault injects a final fault that is drawn from the seed.
func randomFinalFault(t *Tier) {
	switch t.rng.IntN(4) {
	case 0:
		t.restartAll(true, nil)
	case 1:
		t.restartAll(false, nil)
	case 2:
		t.restartAll(true, t.drawMachines(t.Storage, t.TierShape.FaultTolerance))
	case 3:
		t.forEachMachine(t.drawMachines(t.Storage, t.TierShape.FaultTolerance), func(m *Machine) { t.crashFor(m, "after_ack_wipe", shortDowntime, true, true) })
	}
}
