package consensus

// MaxVotesChanged is how many votes one change of the set may give or take:
// with one, any majority before the change and any after it share a voter.
const MaxVotesChanged = 1

// Member is a replica in a set.
type Member struct {
	ID string
	// Learner members are filled and have no vote.
	Learner bool
}

// ReplicaSet is one version of the set of replicas.
type ReplicaSet struct {
	Version uint64
	Cluster string
	Members []Member
}

// Voters are the members whose word counts.
func (s ReplicaSet) Voters() []string {
	var voters []string
	for _, member := range s.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// HasMajority reports whether a majority of the voters took something.
func (s ReplicaSet) HasMajority(took func(id string) bool) bool {
	voters := s.Voters()
	count := 0
	for _, id := range voters {
		if took(id) {
			count++
		}
	}
	return count >= Majority(len(voters))
}

// Adopted reports whether a change of the set may be concluded: a majority of
// the set before and one of the set after took the set after.
func Adopted(before, after ReplicaSet, took func(id string) bool) bool {
	return before.HasMajority(took) && after.HasMajority(took)
}

// VotesChanged counts the votes that come or go between two sets.
func VotesChanged(before, after ReplicaSet) int {
	return len(missing(before.Voters(), after.Voters())) + len(missing(after.Voters(), before.Voters()))
}

// missing lists those of the first list that aren't in the second.
func missing(ids, from []string) []string {
	known := make(map[string]bool, len(from))
	for _, id := range from {
		known[id] = true
	}
	var lacking []string
	for _, id := range ids {
		if !known[id] {
			lacking = append(lacking, id)
		}
	}
	return lacking
}

// CheckSet says whether a replica or a core that goes by a set, or by none,
// takes another in its place. One of the same version is taken again.
func CheckSet(known *ReplicaSet, offered ReplicaSet) Rejection {
	switch {
	case known == nil:
		return Accepted
	case known.Cluster != "" && known.Cluster != offered.Cluster:
		return RejectedCluster
	case known.Version > offered.Version:
		return RejectedSet
	}
	return Accepted
}

// ProposalRejection is why a set may not be the next one.
type ProposalRejection int

const (
	// ProposalAccepted means that there is no reason to reject.
	ProposalAccepted ProposalRejection = iota
	// ProposalUnderWay means that another change is not concluded and settled.
	ProposalChangePending
	// ProposalStale means that the proposal does not follow the current set.
	ProposalStale
	// ProposalManyVotes means that it changes more than one vote.
	ProposalTooManyVotes
)

// SetRecord is where the replica set stands, as a majority holds it.
type SetRecord struct {
	Current ReplicaSet
	// NextVersion is that of the set that is being adopted, 0 where there is
	// none.
	NextVersion uint64
	// Settled tells that each shard is whole on a majority of the current set.
	Settled bool
}

// CheckProposal says whether a set may follow the current one.
func (r SetRecord) CheckProposal(next ReplicaSet) ProposalRejection {
	switch {
	case r.NextVersion != 0 || !r.Settled:
		return ProposalChangePending
	case next.Version != r.Current.Version+1:
		return ProposalStale
	case VotesChanged(r.Current, next) > MaxVotesChanged:
		return ProposalTooManyVotes
	}
	return ProposalAccepted
}
