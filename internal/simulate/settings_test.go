package simulate

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConcurrentSettingsChangesUnderFaults has two operators make conflicting changes
// while machines fail. Every run checks that an accepted change is in force within its
// bound, that no node goes back to an older version, and that a change that lost or was
// refused is never served.
func TestConcurrentSettingsChangesUnderFaults(t *testing.T) {
	for _, name := range []string{"edges killed", "edges frozen and woken", "cores killed", "cores frozen and woken", "disks lose power",
		"disks frozen and woken", "messages lost, late and twice", "a machine cut off", "one-way loss"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, *seedCount+1, SmallShape(), func(t *testing.T, f *Fleet) {
				is := is.New(t)
				waitUntilFormed(t, f)
				remaining, rounds := 2, 0
				for _, operator := range []string{"one", "two"} {
					f.CallerHost.Go(func() {
						f.RunOperator(operator, func() bool { rounds++; return rounds <= 24 })
						remaining--
					})
				}
				f.startScenarioFaults(name, func() bool { return remaining > 0 })
				is.True(f.World.Run(f.World.Now()+10*time.Minute, func() bool { return remaining == 0 }))
				accepted, refused := f.Tally.Counts["settings_taken"], f.Tally.Counts["settings_refused"]
				t.Logf("%d accepted, %d refused, %d with an unknown outcome", accepted, refused, f.Tally.Counts["settings_unknown"])
				is.True(accepted > 0 && refused > 0)
				is.Equal(accepted+refused, 24)
			})
		})
	}
}

func TestInvalidSettingsAreNeverStored(t *testing.T) {
	runSeeds(t, 1, SmallShape(), func(t *testing.T, f *Fleet) {
		is := is.New(t)
		waitUntilFormed(t, f)
		done := false
		f.CallerHost.Go(func() {
			defer func() { done = true }()
			status, answer := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/apply",
				map[string]any{"change": "bad", "based_on": 1, "document": json.RawMessage(`{"queue_size":0}`)})
			is.Equal(status, 400)
			is.True(strings.Contains(string(answer), "$.queue_size"))
			status, answer = f.OperatorRequest(f.Cores[1], "GET", "/v1/operator/settings", nil)
			is.Equal(status, 200)
			is.True(strings.Contains(string(answer), `"stamp":1`))
			// A change whose outcome was settled as refused stays refused: a late copy of it
			// is refused too.
			status, answer = f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/outcome", map[string]string{"change": "late"})
			is.Equal(status, 200)
			is.True(strings.Contains(string(answer), `"refused"`))
			status, _ = f.OperatorRequest(f.Cores[1], "POST", "/v1/operator/settings/apply",
				map[string]any{"change": "late", "based_on": 1, "document": f.settingsWithMarker("late")})
			is.Equal(status, 409)
		})
		is.True(f.World.Run(f.World.Now()+30*time.Second, func() bool { return done }))
	})
}

// TestIsolatedGatewayStopsServing: a gateway that cannot confirm its settings holds
// requests briefly and then rejects them as not run, within the bound.
func TestIsolatedGatewayStopsServing(t *testing.T) {
	runSeeds(t, 2, SmallShape(), func(t *testing.T, f *Fleet) {
		is := is.New(t)
		waitUntilFormed(t, f)
		f.Net.Isolate(map[string]bool{f.Gateways[0].Host.Name: true})
		isolatedAt := f.World.Now()
		rejectedAt := time.Duration(0)
		f.CallerHost.Go(func() {
			send := f.RequestSender(f.CallerHost)
			for rejectedAt == 0 {
				answer, err := send(0, "GET", "/v1/platform/workers", nil, nil)
				is.NoErr(err)
				if strings.Contains(string(answer.Body), "no_confirmed_settings") {
					is.Equal(answer.Status, 503)
					is.True(strings.Contains(string(answer.Body), `"not_run"`))
					is.True(answer.Header["Retry-After"] != "")
					rejectedAt = f.World.Now()
				}
			}
		})
		is.True(f.World.Run(isolatedAt+30*time.Second, func() bool { return rejectedAt > 0 }))
		is.True(!f.Gateways[0].gateway.Follower.HasLease())
		f.Net.Heal()
		is.True(f.World.Run(f.World.Now()+5*time.Second, func() bool { return f.Gateways[0].gateway.Follower.HasLease() }))
	})
}
