package model_test

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/model"

	"github.com/matryer/is"
)

// Clocks show 19 to 21 ms for a tick of 20 ms: they are off by up to a
// twentieth, the bound that the lease allows for.
const (
	slowClock = 19
	trueClock = 20
	fastClock = 21
	// longLease is long enough for the part kept back to be more than a tick.
	longLease = 21
)

func TestLeaseHolds(t *testing.T) {
	rates := []uint8{slowClock, trueClock, fastClock}
	for _, direct := range rates {
		t.Run(fmt.Sprint("the source's follower at ", direct), func(t *testing.T) {
			holdsWithinLease(t, model.Lease{ClockRates: []uint8{direct}, LeaseTicks: longLease})
		})
		for _, first := range rates {
			t.Run(fmt.Sprintf("one level at %d and %d", direct, first), func(t *testing.T) {
				holdsWithinLease(t, model.Lease{ClockRates: []uint8{direct, first}, LeaseTicks: 4, SourceRequests: true, RelayDelay: true})
			})
		}
	}
	for _, rates := range [][]uint8{
		{slowClock, slowClock, slowClock},
		{slowClock, slowClock, fastClock},
		{fastClock, fastClock, slowClock},
		{slowClock, fastClock, slowClock},
	} {
		t.Run(fmt.Sprint("two levels at ", rates), func(t *testing.T) {
			holdsWithinLease(t, model.Lease{ClockRates: rates, LeaseTicks: 3})
		})
	}
}

func holdsWithinLease(t *testing.T, world model.Lease) {
	t.Helper()
	is := is.New(t)
	world.Rules = model.ImplementedLeaseRules()
	result := check(t, &world)
	is.Equal(result.Violation, "")
	is.True(result.Complete)
}

func TestLeaseRulesRemoved(t *testing.T) {
	for _, row := range []struct {
		name   string
		world  model.Lease
		remove func(rules *model.LeaseRules)
	}{
		{
			"the lease is shortened by the answer's age",
			model.Lease{ClockRates: []uint8{trueClock, trueClock}, LeaseTicks: 4},
			func(rules *model.LeaseRules) {
				rules.ConfirmationAge = func(_, _ time.Duration) time.Duration { return 0 }
			},
		},
		{
			"the lease counts from the question",
			model.Lease{ClockRates: []uint8{trueClock}, LeaseTicks: 4},
			func(rules *model.LeaseRules) { rules.FromRequest = false },
		},
		{
			"a part is kept back for slow clocks",
			model.Lease{ClockRates: []uint8{slowClock}, LeaseTicks: longLease},
			func(rules *model.LeaseRules) {
				rules.LeaseEnd = func(asked, behind, lease time.Duration) time.Duration { return asked - behind + lease }
			},
		},
		{
			"older answers are dropped",
			model.Lease{ClockRates: []uint8{trueClock, trueClock}, LeaseTicks: 3, SourceRequests: true},
			func(rules *model.LeaseRules) {
				rules.AcceptsRevision = func(_, _ uint64) bool { return true }
			},
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			world := row.world
			world.Rules = model.ImplementedLeaseRules()
			row.remove(&world.Rules)
			is.New(t).Equal(check(t, &world).Violation, model.ServingWithinLease)
		})
	}
}
