package model

import "fordseam/internal/base"

// Bounded is a world with a name, ready to be searched under the rules as
// implemented.
type Bounded struct {
	Name  string
	Check func(clock base.Clock, limits Limits) Result
}

// Clocks of a lease's world, in milliseconds shown for a tick of 20.
const (
	slowestClock = 19
	trueClock    = 20
	fastestClock = 21
)

// Worlds lists bounded worlds, larger ones than the tests visit whole.
func Worlds() []Bounded {
	return []Bounded{
		replication("replication", Replication{Replicas: 3, Leaders: 2, Epochs: 2, Bases: []uint8{0, 0, 1}, Reads: true}),
		replication("replication-power", Replication{Replicas: 3, Leaders: 2, Epochs: 2, Bases: []uint8{0, 0}, Power: true, Wipes: 1, Reads: true}),
		replication("replication-epochs", Replication{Replicas: 3, Leaders: 2, Epochs: 3, Bases: []uint8{0, 0}, Wipes: 1}),
		replication("replication-five", Replication{Replicas: 5, Leaders: 2, Epochs: 2, Bases: []uint8{0, 0}, Wipes: 2}),
		membership("membership-three", Membership{Voters: 3, Spares: 1, Sets: 5, Leaders: 1, Epochs: 1, Bases: []uint8{0, 1}, Losses: true}),
		membership("membership-replaced", Membership{Voters: 3, Spares: 2, Sets: 4, Leaders: 1, Epochs: 2, Bases: []uint8{0}, Wipes: 1, Budget: 1}),
		membership("membership-four", Membership{Voters: 4, Spares: 1, Sets: 4, Leaders: 1, Epochs: 2, Bases: []uint8{0}, Losses: true}),
		membership("membership-five", Membership{Voters: 5, Sets: 3, Leaders: 1, Epochs: 2, Bases: []uint8{0}, Losses: true}),
		membership("membership-leaders", Membership{Voters: 3, Learners: 1, Sets: 3, Leaders: 2, Epochs: 2, OneTry: true, Bases: []uint8{0}, Reads: true}),
		membership("membership-candidates", Membership{Voters: 3, Learners: 1, Sets: 3, Leaders: 2, Epochs: 2, OneTry: true, Led: true, Prompt: true, Bases: []uint8{0}}),
		bootstrap("bootstrap", Bootstrap{Seeds: 3, Ballots: 8, Restarts: 2}),
		lease("lease-one-level", Lease{Rates: []uint8{slowestClock, fastestClock}, LeaseTicks: 8, Direct: true, Hold: true}),
		lease("lease-two-levels", Lease{Rates: []uint8{slowestClock, trueClock, slowestClock}, LeaseTicks: 4}),
	}
}

func replication(name string, world Replication) Bounded {
	world.Rules = ImplementedRules()
	return bounded(name, &world)
}

func membership(name string, world Membership) Bounded {
	world.Rules = ImplementedMembershipRules()
	return bounded(name, &world)
}

func bootstrap(name string, world Bootstrap) Bounded {
	world.Rules = ImplementedBootstrapRules()
	return bounded(name, &world)
}

func lease(name string, world Lease) Bounded {
	world.Rules = ImplementedLeaseRules()
	return bounded(name, &world)
}

func bounded[S any](name string, world World[S]) Bounded {
	return Bounded{Name: name, Check: func(clock base.Clock, limits Limits) Result { return Check(clock, world, limits) }}
}
