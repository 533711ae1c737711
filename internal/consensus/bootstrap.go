package consensus

// Acceptor is a seed's vote on the first replica set, by ballots (single-decree
// Paxos). It lives in the memory of the seed's first life only: a later life
// neither votes nor proposes, since it does not know what it promised.
type Acceptor[V any] struct {
	// Promised is the ballot below which the seed votes for nothing.
	Promised uint64
	// Accepted is the ballot of its newest vote, 0 before the first, and Value
	// what it voted for.
	Accepted uint64
	Value    V
}

// Prepare promises to vote for no lower ballot, unless a higher one was
// promised.
func (a Acceptor[V]) Prepare(ballot uint64) (next Acceptor[V], ok bool) {
	if ballot < a.Promised {
		return a, false
	}
	a.Promised = ballot
	return a, true
}

// Accept votes for a value, unless a higher ballot was promised.
func (a Acceptor[V]) Accept(ballot uint64, value V) (next Acceptor[V], ok bool) {
	if ballot < a.Promised {
		return a, false
	}
	return Acceptor[V]{Promised: ballot, Accepted: ballot, Value: value}, true
}

// Proposal is what a proposer would have the seeds vote for: what it brings
// itself, until it hears of a vote.
type Proposal[V any] struct {
	Accepted uint64
	Value    V
}

// Learn takes up the newest vote that a seed told of.
func (p Proposal[V]) Learn(accepted uint64, value V) Proposal[V] {
	if accepted > p.Accepted {
		return Proposal[V]{Accepted: accepted, Value: value}
	}
	return p
}

// NextBallot is a ballot above the promised one that no other seed uses.
func NextBallot(promised uint64, seeds, place int) uint64 {
	count := uint64(seeds)
	return (promised/count+1)*count + uint64(place)
}
