package model_test

import (
	"testing"

	"fordseam/internal/consensus"
	"fordseam/internal/model"

	"github.com/matryer/is"
)

func TestMembershipInvariantsHold(t *testing.T) {
	for _, row := range []struct {
		name   string
		system model.Membership
		// maxStates bounds the search of a system that is too large for CI; 0 is no
		// bound.
		maxStates int
	}{
		{"a learner is promoted, a voter is removed", model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}, 0},
		{"messages are lost during a change", model.Membership{Voters: 3, Learners: 1, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}, MessageLoss: true}, 0},
		{"a blank replica is added, filled and promoted", model.Membership{Voters: 3, Spares: 1, SetVersions: 3, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}, 0},
		{"a disk is lost and replaced at its address", model.Membership{Voters: 4, Spares: 1, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}, Wipes: 1, FaultBudget: 1}, 0},
		{"four voters become three", model.Membership{Voters: 4, SetVersions: 2, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}}, 0},
		{"five voters become four", model.Membership{Voters: 5, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}, 0},
		{"two candidates for leader", model.Membership{Voters: 3, Learners: 1, SetVersions: 2, Leaders: 2, Epochs: 2, SingleAttempt: true, BaseVersions: []uint8{0}}, 300_000},
		{"two candidates, immediate answers", model.Membership{Voters: 3, Learners: 1, SetVersions: 2, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}, 0},
		{"two candidates, a learner is promoted, a voter is removed", model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}, 200_000},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			row.system.Rules = model.ImplementedMembershipRules()
			result := checkWithLimits(t, &row.system, model.Limits{States: row.maxStates})
			is.Equal(result.Violation, "")
			is.True(result.Complete || result.States >= row.maxStates && row.maxStates > 0)
		})
	}
}

// Each row removes the rule that it is named after.
func TestMembershipRulesRemoved(t *testing.T) {
	candidates := model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 2, Epochs: 2, SingleAttempt: true, InitialLeader: true, ImmediateAnswers: true, BaseVersions: []uint8{0}}
	growing := model.Membership{Voters: 3, Learners: 1, SetVersions: 3, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}
	for _, row := range []struct {
		name      string
		system    model.Membership
		remove    func(rules *model.MembershipRules)
		violation string
	}{
		{
			"answers are counted among the voters of the current set",
			growing,
			func(rules *model.MembershipRules) {
				rules.CountingVersion = func(sent, _ uint8) uint8 { return sent }
				rules.Committed = committedUnderAnySet
			},
			model.NoAcknowledgedLoss,
		},
		{
			"only acknowledgements under the current set are counted",
			candidates,
			func(rules *model.MembershipRules) { rules.Committed = committedUnderAnySet },
			model.NoAcknowledgedLoss,
		},
		{
			"a change is settled before the next one",
			growing,
			func(rules *model.MembershipRules) { rules.CheckProposal = checkProposalIgnoringSettled },
			model.NoAcknowledgedLoss,
		},
		{
			"joint majority, and a change is settled before the next one",
			growing,
			func(rules *model.MembershipRules) {
				rules.Adopted = alwaysAdopted
				rules.CheckProposal = checkProposalIgnoringSettled
			},
			model.MajoritiesIntersect,
		},
		{
			"joint majority, and only acknowledgements under the set settle it",
			growing,
			func(rules *model.MembershipRules) {
				rules.Adopted = alwaysAdopted
				rules.Settled = settledUnderAnySet
			},
			model.MajoritiesIntersect,
		},
		{
			"one vote changes at a time",
			growing,
			func(rules *model.MembershipRules) { rules.CheckProposal = checkProposalIgnoringVotes },
			model.MajoritiesIntersect,
		},
		{
			"a replica checks the version of the set",
			growing,
			func(rules *model.MembershipRules) { rules.CheckClaim = checkClaimIgnoringSet },
			model.MajoritiesIntersect,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			system := row.system
			system.Rules = model.ImplementedMembershipRules()
			row.remove(&system.Rules)
			is.New(t).Equal(check(t, &system).Violation, row.violation)
		})
	}
}

// The joint majority alone is not needed for safety. A set is settled only after a
// majority of it has acknowledged messages under it, and that majority intersects
// each majority of the set before, which differs by one vote.
func TestJointMajorityIsImpliedBySettling(t *testing.T) {
	is := is.New(t)
	system := model.Membership{Voters: 4, SetVersions: 2, Leaders: 1, Epochs: 1, BaseVersions: []uint8{0}}
	system.Rules = model.ImplementedMembershipRules()
	system.Rules.Adopted = alwaysAdopted
	result := check(t, &system)
	is.Equal(result.Violation, "")
	is.True(result.Complete)
}

func checkProposalIgnoringSettled(record consensus.SetRecord, next consensus.ReplicaSet) consensus.ProposalRejection {
	record.Settled = true
	return record.CheckProposal(next)
}

func checkProposalIgnoringVotes(record consensus.SetRecord, next consensus.ReplicaSet) consensus.ProposalRejection {
	rejection := record.CheckProposal(next)
	if rejection == consensus.ProposalTooManyVotes {
		return consensus.ProposalAccepted
	}
	return rejection
}

func alwaysAdopted(_, _ consensus.ReplicaSet, _ func(id string) bool) bool { return true }

func settledUnderAnySet(committed, setVersion uint64, voters []consensus.Progress) bool {
	for index := range voters {
		voters[index].SetVersion = setVersion
	}
	return consensus.MajorityAcked(committed, setVersion, voters)
}

func committedUnderAnySet(committed, setVersion uint64, voters []consensus.Progress) (uint64, bool) {
	for index := range voters {
		voters[index].SetVersion = setVersion
	}
	return consensus.Committed(committed, setVersion, voters)
}

func checkClaimIgnoringSet(self consensus.Identity, state consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	claim.SetVersion = self.SetVersion
	return consensus.CheckClaim(self, state, claim)
}
