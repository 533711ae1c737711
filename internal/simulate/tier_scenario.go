package simulate

import (
	"fmt"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"
)

// TierScenario is one run of the tier: client traffic, faults, a final fault, and a
// check of what clients and operators saw. It is named after its faults.
type TierScenario struct {
	Name string
	// AdjustSite, when set, changes the deployment that the scenario runs on.
	AdjustSite func(site *parties.Deployment)
	// Faults inject the scenario's faults while clients send traffic.
	Faults []func(t *Tier)
	// AllowUnavailable scenarios lose more machines than the tier tolerates, though
	// not more disks, so it may be unavailable for a while.
	AllowUnavailable bool
	// FinalFault, when set, is injected once the other faults are over.
	FinalFault func(t *Tier)
	// LoadDuration is how long clients send traffic; defaultTierLoadDuration unless set.
	LoadDuration time.Duration
}

const defaultTierLoadDuration = 12 * time.Second

// Run runs the scenario with a seed.
func (s *TierScenario) Run(seed uint64, shape TierShape) *Outcome { return s.RunWith(seed, shape, nil) }

// RunWith is Run with a function that changes the tier before it starts.
func (s *TierScenario) RunWith(seed uint64, shape TierShape, prepare func(t *Tier)) *Outcome {
	if s.AdjustSite != nil {
		s.AdjustSite(shape.Site)
	}
	t := NewTier(seed, shape, prepare)
	defer t.World.Close()
	done := false
	t.CallerHost.Go(func() {
		s.execute(t)
		done = true
	})
	outcome := &Outcome{Scenario: s.Name, Tier: true, Shape: shape.Name, Seed: seed}
	if !t.World.Run(4*time.Minute, func() bool { return done }) {
		outcome.Breaches = append(outcome.Breaches, "FAULT: the scenario did not end within 4 minutes")
	}
	t.instances.ApplyDue()
	t.recorder.Update(func(r *parties.Record) { r.Over = t.World.now })
	record := t.recorder.Snapshot()
	outcome.VirtualS, outcome.Counts = t.World.now.Seconds(), countOutcomes(record)
	for _, try := range record.Tries {
		if try.Retain > 0 && try.Succeeded() {
			outcome.TurnTimes = append(outcome.TurnTimes, try.Ended-try.Sent)
		}
	}
	for _, m := range t.All() {
		if m.StorageErr != nil {
			outcome.Breaches = append(outcome.Breaches, fmt.Sprintf("FAULT: the storage of %s does not open: %v", m.Host.Name, m.StorageErr))
		}
	}
	if t.config.newestAcked == nil || t.entryPoint.CountReady() == 0 && outcome.Counts["served"] == 0 {
		outcome.Breaches = append(outcome.Breaches, "FAULT: the tier did not form")
		return outcome
	}
	if !s.AllowUnavailable && 2*outcome.Counts["served"] < outcome.Counts["tries"] {
		outcome.Breaches = append(outcome.Breaches, fmt.Sprintf("FAULT: %d of %d tries were served", outcome.Counts["served"], outcome.Counts["tries"]))
	}
	for _, breach := range record.Check() {
		outcome.Breaches = append(outcome.Breaches, breach.String())
	}
	return outcome
}

func (s *TierScenario) execute(t *Tier) {
	if !t.applyFirstConfig() {
		return
	}
	duration := s.LoadDuration
	if duration == 0 {
		duration = defaultTierLoadDuration
	}
	end := t.World.now + duration
	for _, fault := range s.Faults {
		t.runningFaults++
		t.CallerHost.Go(func() {
			fault(t)
			t.runningFaults--
		})
	}
	t.runTraffic(end)
	t.pollUntil(time.Minute, func() bool { return t.runningFaults == 0 })
	if s.FinalFault != nil {
		t.runFinalFault(s.FinalFault)
	}
	t.pollUntil(2*time.Minute, func() bool { return t.openPrograms == 0 && t.runningFaults == 0 })
	t.config.operator.ReadConfigRepeatedly(t.Site.Bounds.Contact, t.Site.Bounds.Contact+20*time.Second)
}

// pollUntil waits until a condition holds or a limit is over.
func (t *Tier) pollUntil(limit time.Duration, condition func() bool) {
	for end := t.World.now + limit; !condition() && t.World.now < end; {
		t.CallerHost.Clock().Sleep(20 * time.Millisecond)
	}
}

// runFinalFault injects the final fault right after a configuration was acknowledged,
// then continues programs from turns that ended before the fault.
func (t *Tier) runFinalFault(fault func(t *Tier)) {
	t.changeConfig()
	before := t.completedTurns()
	closing := &parties.Closing{From: t.World.now, Back: 1 << 59}
	t.recorder.Update(func(r *parties.Record) { r.Closing = closing })
	fault(t)
	closing.Back = t.World.now
	t.retryUntil = closing.Back + t.Site.Bounds.Recovery
	end := t.retryUntil + 6*time.Second
	for _, turn := range before {
		t.startProgram(t.Site.Class(turn.Class), turn.Zone, t.rng.IntN(t.Site.ClientsPerZone), end, turn.ID)
	}
	t.runTraffic(end)
}

// completedTurns returns the last complete turns of up to 8 programs, none older than
// half its retention.
func (t *Tier) completedTurns() (turns []*parties.Try) {
	lastByProgram := map[string]*parties.Try{}
	record := t.recorder.Snapshot()
	for _, try := range record.Tries {
		if try.Retain > 0 && try.Succeeded() && t.World.now-try.Ended < try.Retain/2 {
			lastByProgram[try.Program] = try
		}
	}
	for _, program := range base.SortedKeys(lastByProgram) {
		if turns = append(turns, lastByProgram[program]); len(turns) >= 8 {
			break
		}
	}
	return turns
}

// countOutcomes counts the attempts of a record by result, without probes, and the ended
// programs by how they ended.
func countOutcomes(r *parties.Record) map[string]int {
	counts := map[string]int{"tries": len(r.Tries), "arrivals": len(r.Arrivals), "orders": len(r.Orders)}
	for _, try := range r.Tries {
		switch {
		case try.Probe:
			counts["tries"]--
		case try.Succeeded():
			counts["served"]++
			if try.Retain > 0 {
				counts["turns_whole"]++
			}
		case try.Status != 0:
			counts[fmt.Sprintf("status_%d", try.Status)]++
		default:
			counts["unanswered"]++
		}
	}
	for _, o := range r.Outcomes {
		counts["programs "+string(o.Ending)]++
	}
	return counts
}
