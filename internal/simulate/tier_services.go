package simulate

import (
	parties "fordseam/internal/standin/platform"
)

// withMovingServices changes a site so that its services have alternatives, and many programs
// spend their whole budget.
func withMovingServices(site *parties.Deployment) {
	*site = *site.WithAlternatives()
	for index := range site.Classes {
		if site.Classes[index].RunawayProbability > 0 {
			site.Classes[index].RunawayProbability = 0.2
		}
	}
}

// moveServices changes the configuration so that routes move between services while turns
// wait, stream and are settled.
func moveServices(t *Tier) {
	for range 8 {
		t.changeServices()
		t.CallerHost.Clock().Sleep(t.World.Between(0, 2*second))
	}
}
