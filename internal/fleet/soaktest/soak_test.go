// Package soaktest runs a short soak of the daemons, built with the race detector. It is a
// test binary of its own, so that it does not share the machine with other tests of fleets.
package soaktest

import (
	"bytes"
	"context"
	"testing"
	"time"

	"fordseam/internal/fleet"
	"fordseam/internal/fleet/fleettest"
	"fordseam/internal/standin/platform"

	"github.com/matryer/is"
)

// TestShortSoakFindsNothing plays two short series of overlapping faults. Long ones are
// started by hand, with fordseam-fleet soak.
func TestShortSoakFindsNothing(t *testing.T) {
	is := is.New(t)
	programs, err := fleettest.BuildDaemons()
	is.NoErr(err)
	plan := &fleet.SoakPlan{SiteName: "small", Site: platform.Deployments()["small"], FirstSeed: 1, LastSeed: 2, Jobs: 2, Traffic: 12 * time.Second, RateFactor: 0.5,
		Dir: fleettest.TempDir(t, "/dev/shm"), WorkDir: t.TempDir(), Repeat: "fordseam-fleet soak --site small --traffic 12s --rate 0.5",
		Commands: map[string]string{platform.ClassEdge: programs + "/fordseam-gateway platform", platform.ClassCore: programs + "/fordseam-controller core", platform.ClassStorage: programs + "/fordseam-controller storage"}}
	var out bytes.Buffer
	records, err := fleet.RunSoak(context.Background(), plan, &out)
	t.Log(out.String())
	is.NoErr(err)
	is.Equal(len(records), 2)
	for _, record := range records {
		is.Equal(record.Error, "")
		is.Equal(len(record.Breaches), 0)
	}
}
