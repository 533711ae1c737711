package consensus

// Acceptor is a seed's state in the vote on the first replica set (single-decree
// Paxos). It must be saved before it is told to others. A seed that has restarted
// without it neither votes nor proposes, since it does not know what it promised
// before.
type Acceptor[V any] struct {
	// Promised is the highest ballot that the seed has promised; it votes under no
	// lower one.
	Promised uint64
	// Accepted is the ballot of the seed's newest vote, 0 before the first, and
	// Value is what it voted for.
	Accepted uint64
	Value    V
}

// Prepare promises not to vote under a lower ballot, unless a higher one was
// promised already.
func (a Acceptor[V]) Prepare(ballot uint64) (next Acceptor[V], ok bool) {
	if ballot < a.Promised {
		return a, false
	}
	a.Promised = ballot
	return a, true
}

// Accept votes for a value under a ballot, unless a higher one was promised.
func (a Acceptor[V]) Accept(ballot uint64, value V) (next Acceptor[V], ok bool) {
	if ballot < a.Promised {
		return a, false
	}
	return Acceptor[V]{Promised: ballot, Accepted: ballot, Value: value}, true
}

// Proposal is the value that a proposer asks the seeds to accept: its own, until it
// learns of a value that a seed has accepted.
type Proposal[V any] struct {
	Accepted uint64
	Value    V
}

// Learn adopts a value that a seed has accepted, if its ballot is the highest so
// far.
func (p Proposal[V]) Learn(accepted uint64, value V) Proposal[V] {
	if accepted > p.Accepted {
		return Proposal[V]{Accepted: accepted, Value: value}
	}
	return p
}

// NextBallot returns a ballot above the promised one that only the seed with this
// index uses.
func NextBallot(promised uint64, seeds, index int) uint64 {
	count := uint64(seeds)
	return (promised/count+1)*count + uint64(index)
}
