package model_test

import (
	"testing"

	"fordseam/internal/consensus"
	"fordseam/internal/model"

	"github.com/matryer/is"
)

func TestBootstrapHolds(t *testing.T) {
	for _, row := range []struct {
		name  string
		world model.Bootstrap
	}{
		{"three tries", model.Bootstrap{Seeds: 3, MaxBallot: 5}},
		{"a seed comes back without memory", model.Bootstrap{Seeds: 3, MaxBallot: 5, MaxRestarts: 1}},
		{"two seeds come back without memory", model.Bootstrap{Seeds: 3, MaxBallot: 5, MaxRestarts: 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			row.world.Rules = model.ImplementedBootstrapRules()
			result := check(t, &row.world)
			is.Equal(result.Violation, "")
			is.True(result.Complete)
		})
	}
}

func TestBootstrapRulesRemoved(t *testing.T) {
	for _, row := range []struct {
		name   string
		world  model.Bootstrap
		remove func(rules *model.BootstrapRules)
	}{
		{
			"votes by the first life only",
			model.Bootstrap{MaxRestarts: 1},
			func(rules *model.BootstrapRules) { rules.FirstIncarnationOnly = false },
		},
		{
			"a majority of the seeds",
			model.Bootstrap{},
			func(rules *model.BootstrapRules) { rules.Quorum = func(int) int { return 1 } },
		},
		{
			"what was voted for is taken up",
			model.Bootstrap{},
			func(rules *model.BootstrapRules) { rules.Learn = learnNothing },
		},
		{
			"no vote below a promised ballot",
			model.Bootstrap{},
			func(rules *model.BootstrapRules) { rules.Accept = acceptAnyway },
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			world := row.world
			world.Seeds, world.MaxBallot = 3, 5
			world.Rules = model.ImplementedBootstrapRules()
			row.remove(&world.Rules)
			is.New(t).Equal(check(t, &world).Violation, model.OneFirstSet)
		})
	}
}

func learnNothing(proposal consensus.Proposal[uint8], _ uint64, _ uint8) consensus.Proposal[uint8] {
	return proposal
}

func acceptAnyway(vote consensus.Acceptor[uint8], ballot uint64, value uint8) (consensus.Acceptor[uint8], bool) {
	return consensus.Acceptor[uint8]{Promised: max(vote.Promised, ballot), Accepted: ballot, Value: value}, true
}
