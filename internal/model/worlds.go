package model

import "fordseam/internal/base"

// NamedSystem is a world with a name, ready to be searched under the rules as
// implemented.
type NamedSystem struct {
	Name  string
	Check func(clock base.Clock, limits Limits) Result
}

// Clocks of a lease's world, in milliseconds shown for a tick of 20.
const (
	slowestClock = 19
	trueClock    = 20
	fastestClock = 21
)

// Systems lists bounded worlds, larger ones than the tests visit whole.
func Systems() []NamedSystem {
	return []NamedSystem{
		replication("replication", Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0, 1}, Reads: true}),
		replication("replication-power", Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0}, PowerLoss: true, Wipes: 1, Reads: true}),
		replication("replication-epochs", Replication{Replicas: 3, Leaders: 2, Epochs: 3, BaseVersions: []uint8{0, 0}, Wipes: 1}),
		replication("replication-five", Replication{Replicas: 5, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0}, Wipes: 2}),
		membership("membership-three", Membership{Voters: 3, Spares: 1, SetVersions: 5, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0, 1}, MessageLoss: true}),
		membership("membership-replaced", Membership{Voters: 3, Spares: 2, SetVersions: 4, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, Wipes: 1, FaultBudget: 1}),
		membership("membership-four", Membership{Voters: 4, Spares: 1, SetVersions: 4, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, MessageLoss: true}),
		membership("membership-five", Membership{Voters: 5, SetVersions: 3, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, MessageLoss: true}),
		membership("membership-leaders", Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, BaseVersions: []uint8{0}, Reads: true}),
		membership("membership-candidates", Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}),
		bootstrap("bootstrap", Bootstrap{Seeds: 3, MaxBallot: 8, MaxRestarts: 2}),
		lease("lease-one-level", Lease{ClockRates: []uint8{slowestClock, fastestClock}, LeaseTicks: 8, SourceRequests: true, RelayDelay: true}),
		lease("lease-two-levels", Lease{ClockRates: []uint8{slowestClock, trueClock, slowestClock}, LeaseTicks: 4}),
	}
}

func replication(name string, world Replication) NamedSystem {
	world.Rules = ImplementedRules()
	return bounded(name, &world)
}

func membership(name string, world Membership) NamedSystem {
	world.Rules = ImplementedMembershipRules()
	return bounded(name, &world)
}

func bootstrap(name string, world Bootstrap) NamedSystem {
	world.Rules = ImplementedBootstrapRules()
	return bounded(name, &world)
}

func lease(name string, world Lease) NamedSystem {
	world.Rules = ImplementedLeaseRules()
	return bounded(name, &world)
}

func bounded[S any](name string, world System[S]) NamedSystem {
	return NamedSystem{Name: name, Check: func(clock base.Clock, limits Limits) Result { return Check(clock, world, limits) }}
}
