package consensus

// MaxVotesChanged is how many voters one change of the replica set may add or
// remove. With one, any majority before the change and any majority after it
// have a voter in common.
const MaxVotesChanged = 1

// Member is a replica in a replica set.
type Member struct {
	ID string
	// Learner reports whether the replica is still being filled and has no vote.
	Learner bool
}

// ReplicaSet is one version of the set of replicas of a cluster.
type ReplicaSet struct {
	Version uint64
	Cluster string
	Members []Member
}

// Voters lists the members that count towards a majority.
func (s ReplicaSet) Voters() []string {
	var voters []string
	for _, member := range s.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// HasMajority reports whether a majority of the voters accepted something.
func (s ReplicaSet) HasMajority(accepted func(id string) bool) bool {
	voters := s.Voters()
	count := 0
	for _, id := range voters {
		if accepted(id) {
			count++
		}
	}
	return count >= Majority(len(voters))
}

// Adopted reports whether a change of the replica set may be concluded: a
// majority of the set before and a majority of the set after have accepted the
// set after.
func Adopted(before, after ReplicaSet, accepted func(id string) bool) bool {
	return before.HasMajority(accepted) && after.HasMajority(accepted)
}

// VotesChanged counts the voters that are added or removed between two sets.
func VotesChanged(before, after ReplicaSet) int {
	return len(difference(before.Voters(), after.Voters())) + len(difference(after.Voters(), before.Voters()))
}

// difference lists the ids that are not among the others.
func difference(ids, others []string) []string {
	inOthers := make(map[string]bool, len(others))
	for _, id := range others {
		inOthers[id] = true
	}
	var missing []string
	for _, id := range ids {
		if !inOthers[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// CheckSet checks whether a replica or a core that uses a known set, or none,
// accepts another one instead. A set of the same version is accepted again.
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

// ProposalRejection is the reason why a proposed set may not follow the current
// one.
type ProposalRejection int

const (
	// ProposalAccepted means that the proposal is not rejected.
	ProposalAccepted ProposalRejection = iota
	// ProposalChangePending means that the last change is not concluded or not
	// settled yet.
	ProposalChangePending
	// ProposalStale means that the proposed version does not follow the current
	// one.
	ProposalStale
	// ProposalTooManyVotes means that it changes more than MaxVotesChanged votes.
	ProposalTooManyVotes
)

// SetRecord is the committed record of the replica set and of its change.
type SetRecord struct {
	Current ReplicaSet
	// NextVersion is the version of the set that is being adopted, 0 if there is
	// none.
	NextVersion uint64
	// Settled reports whether a majority of the current set has acknowledged every shard
	// under it.
	Settled bool
}

// CheckProposal checks whether a set may follow the current one.
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
