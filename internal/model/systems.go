package model

import "fordseam/internal/base"

// NamedSystem is a system under the rules as implemented, with the name by which
// it is selected on the command line.
type NamedSystem struct {
	Name  string
	Check func(clock base.Clock, limits Limits) Result
}

// Clock rates of the followers, in milliseconds by which a clock advances in a
// tick of 20 ms.
const (
	slowestClockRate = 19
	trueClockRate    = 20
	fastestClockRate = 21
)

// Systems lists the named systems. They are larger than those that the tests
// search completely.
func Systems() []NamedSystem {
	return []NamedSystem{
		namedReplication("replication", Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0, 1}, Reads: true}),
		namedReplication("replication-power", Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0}, PowerLoss: true, Wipes: 1, Reads: true}),
		namedReplication("replication-epochs", Replication{Replicas: 3, Leaders: 2, Epochs: 3, BaseVersions: []uint8{0, 0}, Wipes: 1}),
		namedReplication("replication-five", Replication{Replicas: 5, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0}, Wipes: 2}),
		namedMembership("membership-three", Membership{Voters: 3, Spares: 1, SetVersions: 5, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0, 1}, MessageLoss: true}),
		namedMembership("membership-replaced", Membership{Voters: 3, Spares: 2, SetVersions: 4, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, Wipes: 1, FaultBudget: 1}),
		namedMembership("membership-four", Membership{Voters: 4, Spares: 1, SetVersions: 4, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, MessageLoss: true}),
		namedMembership("membership-five", Membership{Voters: 5, SetVersions: 3, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, MessageLoss: true}),
		namedMembership("membership-leaders", Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, BaseVersions: []uint8{0}, Reads: true}),
		namedMembership("membership-candidates", Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}),
		namedBootstrap("bootstrap", Bootstrap{Seeds: 3, MaxBallot: 8, MaxRestarts: 2}),
		namedLease("lease-one-level", Lease{ClockRates: []uint8{slowestClockRate, fastestClockRate}, LeaseTicks: 8, SourceRequests: true, RelayDelay: true}),
		namedLease("lease-two-levels", Lease{ClockRates: []uint8{slowestClockRate, trueClockRate, slowestClockRate}, LeaseTicks: 4}),
	}
}

func namedReplication(name string, system Replication) NamedSystem {
	system.Rules = ImplementedRules()
	return named(name, &system)
}

func namedMembership(name string, system Membership) NamedSystem {
	system.Rules = ImplementedMembershipRules()
	return named(name, &system)
}

func namedBootstrap(name string, system Bootstrap) NamedSystem {
	system.Rules = ImplementedBootstrapRules()
	return named(name, &system)
}

func namedLease(name string, system Lease) NamedSystem {
	system.Rules = ImplementedLeaseRules()
	return named(name, &system)
}

func named[S any](name string, system System[S]) NamedSystem {
	return NamedSystem{Name: name, Check: func(clock base.Clock, limits Limits) Result { return Check(clock, system, limits) }}
}
