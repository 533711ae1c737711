package simulate

import (
	"time"

	parties "fordseam/internal/standin/platform"
)

// restingProgramCount is how many programs restPrograms runs in each zone.
const restingProgramCount = 6

// restPrograms runs programs that rest for up to the time that their turns are retained, less
// what the last turn may take to be continued. After its rest, each program goes on from
// another zone, and must be served.
func restPrograms(t *Tier) {
	class := retainedClass(t.Site)
	if class == nil {
		return
	}
	limit := class.Retain - t.Site.Bounds.Recovery - second
	t.retryUntil = t.World.now + 2*class.Retain
	clock := t.CallerHost.Clock()
	for client := range restingProgramCount * len(t.Site.Zones) {
		var plan *parties.RestingPlan
		t.programRunner.WithGenerator(func(g *parties.ProgramGenerator) { plan = g.Resting(class, t.rng, client, limit) })
		zone := t.Site.Zones[t.rng.IntN(len(t.Site.Zones))]
		t.openPrograms++
		t.CallerHost.Go(func() {
			defer func() { t.openPrograms-- }()
			// The program rests once, after the last of its turns.
			for index := range len(plan.Rests) - 1 {
				plan.Rests[index] = 0
			}
			rest := func(duration time.Duration) bool {
				clock.Sleep(duration)
				return true
			}
			if last := t.programRunner.RunResting(plan, rest); last != nil {
				t.programRunner.Continue(plan.Program, last, zone, client%3 == 0)
			}
		})
		clock.Sleep(t.World.Between(0, second))
	}
}

// retainedClass returns a class of requests whose turns are retained, or nil.
func retainedClass(site *parties.Deployment) *parties.RequestClass {
	for index := range site.Classes {
		if site.Classes[index].Retain > 0 {
			return &site.Classes[index]
		}
	}
	return nil
}
