package model_test

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/model"

	"github.com/matryer/is"
)

// Clock rates in milliseconds per tick of 20 ms. They are off by up to a
// twentieth, the drift that the lease allows for.
const (
	slowClockRate = 19
	trueClockRate = 20
	fastClockRate = 21
	// longLeaseTicks is long enough that the allowance for clock drift is more than
	// a tick.
	longLeaseTicks = 21
)

func TestLeaseInvariantsHold(t *testing.T) {
	rates := []uint8{slowClockRate, trueClockRate, fastClockRate}
	for _, relay := range rates {
		t.Run(fmt.Sprint("no relay, clock rate ", relay), func(t *testing.T) {
			checkLeaseInvariant(t, model.Lease{ClockRates: []uint8{relay}, LeaseTicks: longLeaseTicks})
		})
		for _, follower := range rates {
			t.Run(fmt.Sprintf("one level of relays, clock rates %d and %d", relay, follower), func(t *testing.T) {
				checkLeaseInvariant(t, model.Lease{ClockRates: []uint8{relay, follower}, LeaseTicks: 4, SourceRequests: true, RelayDelay: true})
			})
		}
	}
	for _, rates := range [][]uint8{
		{slowClockRate, slowClockRate, slowClockRate},
		{slowClockRate, slowClockRate, fastClockRate},
		{fastClockRate, fastClockRate, slowClockRate},
		{slowClockRate, fastClockRate, slowClockRate},
	} {
		t.Run(fmt.Sprint("two levels of relays, clock rates ", rates), func(t *testing.T) {
			checkLeaseInvariant(t, model.Lease{ClockRates: rates, LeaseTicks: 3})
		})
	}
}

// checkLeaseInvariant searches a system completely under the rules as implemented
// and fails if the invariant is violated.
func checkLeaseInvariant(t *testing.T, system model.Lease) {
	t.Helper()
	is := is.New(t)
	system.Rules = model.ImplementedLeaseRules()
	result := check(t, &system)
	is.Equal(result.Violation, "")
	is.True(result.Complete)
}

// Each row removes the rule that it is named after.
func TestLeaseRulesRemoved(t *testing.T) {
	for _, row := range []struct {
		name   string
		system model.Lease
		remove func(rules *model.LeaseRules)
	}{
		{
			"the age of a relay's confirmation shortens the lease",
			model.Lease{ClockRates: []uint8{trueClockRate, trueClockRate}, LeaseTicks: 4},
			func(rules *model.LeaseRules) {
				rules.ConfirmationAge = func(_, _ time.Duration) time.Duration { return 0 }
			},
		},
		{
			"the lease starts when the request is sent",
			model.Lease{ClockRates: []uint8{trueClockRate}, LeaseTicks: 4},
			func(rules *model.LeaseRules) { rules.FromRequest = false },
		},
		{
			"the lease is shortened to allow for clock drift",
			model.Lease{ClockRates: []uint8{slowClockRate}, LeaseTicks: longLeaseTicks},
			func(rules *model.LeaseRules) {
				rules.LeaseEnd = func(requestedAt, age, lease time.Duration) time.Duration { return requestedAt - age + lease }
			},
		},
		{
			"older answers are dropped",
			model.Lease{ClockRates: []uint8{trueClockRate, trueClockRate}, LeaseTicks: 3, SourceRequests: true},
			func(rules *model.LeaseRules) {
				rules.AcceptsRevision = func(_, _ uint64) bool { return true }
			},
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			system := row.system
			system.Rules = model.ImplementedLeaseRules()
			row.remove(&system.Rules)
			is.New(t).Equal(check(t, &system).Violation, model.ServingWithinLease)
		})
	}
}
