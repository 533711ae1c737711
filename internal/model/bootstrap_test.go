package model_test

import (
	"testing"

	"fordseam/internal/consensus"
	"fordseam/internal/model"

	"github.com/matryer/is"
)

func TestBootstrapInvariantsHold(t *testing.T) {
	for _, row := range []struct {
		name   string
		system model.Bootstrap
	}{
		{"no restart", model.Bootstrap{Seeds: 3, MaxBallot: 5}},
		{"one restart", model.Bootstrap{Seeds: 3, MaxBallot: 5, MaxRestarts: 1}},
		{"two restarts", model.Bootstrap{Seeds: 3, MaxBallot: 5, MaxRestarts: 2}},
		{"two restarts that keep the votes", model.Bootstrap{Seeds: 3, MaxBallot: 5, MaxResumes: 2}},
		{"a restart of each kind", model.Bootstrap{Seeds: 3, MaxBallot: 5, MaxRestarts: 1, MaxResumes: 1}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			row.system.Rules = model.ImplementedBootstrapRules()
			result := check(t, &row.system)
			is.Equal(result.Violation, "")
			is.True(result.Complete)
		})
	}
}

// Each row removes the rule that it is named after.
func TestBootstrapRulesRemoved(t *testing.T) {
	for _, row := range []struct {
		name   string
		system model.Bootstrap
		remove func(rules *model.BootstrapRules)
	}{
		{
			"no votes after a restart",
			model.Bootstrap{MaxRestarts: 1},
			func(rules *model.BootstrapRules) { rules.FirstIncarnationOnly = false },
		},
		{
			"votes are kept over a restart",
			model.Bootstrap{MaxResumes: 1},
			func(rules *model.BootstrapRules) { rules.Saved = loseVotes },
		},
		{
			"a majority decides",
			model.Bootstrap{},
			func(rules *model.BootstrapRules) { rules.Quorum = func(int) int { return 1 } },
		},
		{
			"a value already accepted is proposed again",
			model.Bootstrap{},
			func(rules *model.BootstrapRules) { rules.Learn = ignoreAcceptedValue },
		},
		{
			"no vote below the promised ballot",
			model.Bootstrap{},
			func(rules *model.BootstrapRules) { rules.Accept = acceptAnyBallot },
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			system := row.system
			system.Seeds, system.MaxBallot = 3, 5
			system.Rules = model.ImplementedBootstrapRules()
			row.remove(&system.Rules)
			is.New(t).Equal(check(t, &system).Violation, model.OneFirstSet)
		})
	}
}

func ignoreAcceptedValue(proposal consensus.Proposal[uint8], _ uint64, _ uint8) consensus.Proposal[uint8] {
	return proposal
}

func acceptAnyBallot(acceptor consensus.Acceptor[uint8], ballot uint64, value uint8) (consensus.Acceptor[uint8], bool) {
	return consensus.Acceptor[uint8]{Promised: max(acceptor.Promised, ballot), Accepted: ballot, Value: value}, true
}

func loseVotes(consensus.Acceptor[uint8]) consensus.Acceptor[uint8] {
	return consensus.Acceptor[uint8]{}
}
