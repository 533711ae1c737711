package model_test

import (
	"testing"

	"fordseam/internal/consensus"
	"fordseam/internal/model"

	"github.com/matryer/is"
)

func TestMembershipHolds(t *testing.T) {
	for _, row := range []struct {
		name  string
		world model.Membership
		// states bounds the search of a world too large for CI.
		states int
	}{
		{"a learner gets a vote, a voter goes", model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}, 0},
		{"messages lost meanwhile", model.Membership{Voters: 3, Learners: 1, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}, MessageLoss: true}, 0},
		{"a blank replica is added, filled and promoted", model.Membership{Voters: 3, Spares: 1, SetVersions: 3, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}, 0},
		{"a disk is lost and replaced at its address", model.Membership{Voters: 4, Spares: 1, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}, Wipes: 1, FaultBudget: 1}, 0},
		{"four voters become three", model.Membership{Voters: 4, SetVersions: 2, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}}, 0},
		{"five voters become four", model.Membership{Voters: 5, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}, 0},
		{"two candidates for leader", model.Membership{Voters: 3, Learners: 1, SetVersions: 2, Leaders: 2, Epochs: 2, SingleAttempt: true, BaseVersions: []uint8{0}}, 300_000},
		{"two candidates, prompt answers", model.Membership{Voters: 3, Learners: 1, SetVersions: 2, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}, 0},
		{"two candidates, a learner gets a vote, a voter goes", model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}, 200_000},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			row.world.Rules = model.ImplementedMembershipRules()
			result := checkWithin(t, &row.world, model.Limits{States: row.states})
			is.Equal(result.Violation, "")
			is.True(result.Complete || result.States >= row.states && row.states > 0)
		})
	}
}

func TestMembershipRulesRemoved(t *testing.T) {
	candidates := model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}
	growing := model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}
	for _, row := range []struct {
		name      string
		world     model.Membership
		remove    func(rules *model.MembershipRules)
		violation string
	}{
		{
			"answers are counted by the set in force",
			growing,
			func(rules *model.MembershipRules) {
				rules.CountingVersion = func(sent, _ uint8) uint8 { return sent }
				rules.Committed = committedUnderAnySet
			},
			model.NoAcknowledgedLoss,
		},
		{
			"only what was acknowledged under the set is counted",
			candidates,
			func(rules *model.MembershipRules) { rules.Committed = committedUnderAnySet },
			model.NoAcknowledgedLoss,
		},
		{
			"settled before the next change",
			growing,
			func(rules *model.MembershipRules) { rules.CheckProposal = withoutSettling },
			model.NoAcknowledgedLoss,
		},
		{
			"joint majority and settled before the next change",
			growing,
			func(rules *model.MembershipRules) {
				rules.Adopted = adoptedByAny
				rules.CheckProposal = withoutSettling
			},
			model.MajoritiesIntersect,
		},
		{
			"joint majority and settled under the set only",
			growing,
			func(rules *model.MembershipRules) {
				rules.Adopted = adoptedByAny
				rules.Settled = settledUnderAnySet
			},
			model.MajoritiesIntersect,
		},
		{
			"one vote at a time",
			growing,
			func(rules *model.MembershipRules) { rules.CheckProposal = manyVotes },
			model.MajoritiesIntersect,
		},
		{
			"the set's version is checked at the replica",
			growing,
			func(rules *model.MembershipRules) { rules.CheckClaim = withoutSets },
			model.MajoritiesIntersect,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			world := row.world
			world.Rules = model.ImplementedMembershipRules()
			row.remove(&world.Rules)
			is.New(t).Equal(check(t, &world).Violation, row.violation)
		})
	}
}

// The joint majority alone is not needed for safety: a set is settled only once
// a majority of it took messages under it, and that majority meets each one of
// the set before, which differs by one vote.
func TestJointMajorityIsImpliedBySettling(t *testing.T) {
	is := is.New(t)
	world := model.Membership{Voters: 4, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}
	world.Rules = model.ImplementedMembershipRules()
	world.Rules.Adopted = adoptedByAny
	result := check(t, &world)
	is.Equal(result.Violation, "")
	is.True(result.Complete)
}

func withoutSettling(record consensus.SetRecord, next consensus.ReplicaSet) consensus.ProposalRejection {
	record.Settled = true
	return record.CheckProposal(next)
}

func manyVotes(record consensus.SetRecord, next consensus.ReplicaSet) consensus.ProposalRejection {
	rejection := record.CheckProposal(next)
	if rejection == consensus.ProposalTooManyVotes {
		return consensus.ProposalAccepted
	}
	return rejection
}

func adoptedByAny(_, _ consensus.ReplicaSet, _ func(id string) bool) bool { return true }

func settledUnderAnySet(committed, setVersion uint64, voters []consensus.Progress) bool {
	for place := range voters {
		voters[place].SetVersion = setVersion
	}
	return consensus.MajorityAcked(committed, setVersion, voters)
}

func committedUnderAnySet(committed, setVersion uint64, voters []consensus.Progress) (uint64, bool) {
	for place := range voters {
		voters[place].SetVersion = setVersion
	}
	return consensus.Committed(committed, setVersion, voters)
}

func withoutSets(self consensus.Identity, held consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	claim.SetVersion = self.SetVersion
	return consensus.CheckClaim(self, held, claim)
}
