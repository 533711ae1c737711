package model_test

import (
	"strings"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/model"

	"github.com/matryer/is"
)

// check searches a whole world.
func check[S any](t *testing.T, world model.System[S]) model.Result {
	t.Helper()
	return checkWithin(t, world, model.Limits{})
}

// checkWithin searches a world up to limits and logs how much of it there is.
func checkWithin[S any](t *testing.T, world model.System[S], limits model.Limits) model.Result {
	t.Helper()
	result := model.Check(base.NewRealClock(), world, limits)
	t.Logf("%d states, depth %d, %v, complete %v", result.States, result.Depth, result.Time, result.Complete)
	if result.Violation != "" {
		t.Logf("%s after %d steps:\n%s", result.Violation, len(result.Trace), strings.Join(result.Trace, "\n"))
	}
	return result
}

func TestReplicationHolds(t *testing.T) {
	for _, row := range []struct {
		name  string
		world model.Replication
	}{
		{"documents that collide", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0}}},
		{"reads", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, Reads: true}},
		{"power lost", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, PowerLoss: true}},
		{"power lost and a disk", model.Replication{Replicas: 3, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0, 0}, PowerLoss: true, Wipes: 1}},
		{"a disk lost", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, Wipes: 1, Reads: true}},
		{"one document after another", model.Replication{Replicas: 3, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0, 1}, PowerLoss: true}},
		{"four replicas in halves", model.Replication{Replicas: 4, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, Reads: true}},
		{"five replicas in parts", model.Replication{Replicas: 5, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}}},
		{"five replicas, two disks lost", model.Replication{Replicas: 5, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, Wipes: 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			row.world.Rules = model.ImplementedRules()
			result := check(t, &row.world)
			is.Equal(result.Violation, "")
			is.True(result.Complete)
		})
	}
}

// withoutEpochs accepts a claim whatever was promised.
func withoutEpochs(self consensus.Identity, held consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	held.Promised = 0
	return consensus.CheckClaim(self, held, claim)
}

// withoutLeaders accepts a claim of any leader under the promised epoch.
func withoutLeaders(self consensus.Identity, held consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	held.Leader = claim.Leader
	return consensus.CheckClaim(self, held, claim)
}

// withoutIdentity accepts a claim that is meant for another replica.
func withoutIdentity(self consensus.Identity, held consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	claim.Replica = self.ID
	return consensus.CheckClaim(self, held, claim)
}

func TestReplicationRulesRemoved(t *testing.T) {
	for _, row := range []struct {
		name      string
		world     model.Replication
		remove    func(rules *model.Rules)
		violation string
	}{
		{
			"majority contact before a read",
			model.Replication{BaseVersions: []uint8{0}, Reads: true},
			func(rules *model.Rules) { rules.ReadQuorum = func(int) int { return 0 } },
			model.FreshReads,
		},
		{
			"epoch check at the replica",
			model.Replication{BaseVersions: []uint8{0, 0}},
			func(rules *model.Rules) { rules.CheckClaim = withoutEpochs },
			model.OneLeaderPerEpoch,
		},
		{
			"one leader an epoch at the replica",
			model.Replication{BaseVersions: []uint8{0, 0}},
			func(rules *model.Rules) { rules.CheckClaim = withoutLeaders },
			model.OneLeaderPerEpoch,
		},
		{
			"the replica's identity",
			model.Replication{BaseVersions: []uint8{0}, Wipes: 1},
			func(rules *model.Rules) { rules.CheckClaim = withoutIdentity },
			model.OneLeaderPerEpoch,
		},
		{
			"a majority for a take-over",
			model.Replication{BaseVersions: []uint8{0}},
			func(rules *model.Rules) { rules.PromiseQuorum = func(int) int { return 1 } },
			model.NoAcknowledgedLoss,
		},
		{
			"a majority for an acknowledgement",
			model.Replication{BaseVersions: []uint8{0}},
			func(rules *model.Rules) { rules.Committed = committedByAny },
			model.NoAcknowledgedLoss,
		},
		{
			"the newest content of a majority",
			model.Replication{BaseVersions: []uint8{0, 0}},
			func(rules *model.Rules) { rules.Newer = newerByNumber },
			model.NoAcknowledgedLoss,
		},
		{
			"snapshots never go back",
			model.Replication{BaseVersions: []uint8{0}},
			func(rules *model.Rules) { rules.Install = installAnyway },
			model.NoAcknowledgedLoss,
		},
		{
			"entries follow what the replica holds",
			model.Replication{BaseVersions: []uint8{0, 1}},
			func(rules *model.Rules) { rules.CheckAppend = appendAnywhere },
			model.NoAcknowledgedLoss,
		},
		{
			"a sync before each answer",
			model.Replication{BaseVersions: []uint8{0}, PowerLoss: true},
			func(rules *model.Rules) { rules.SyncBeforeAnswer = false },
			model.NoAcknowledgedLoss,
		},
		{
			"a name of its own for each life of a leader",
			model.Replication{Leaders: 1, Epochs: 1, BaseVersions: []uint8{0, 0}, LeaderCrashes: true},
			func(rules *model.Rules) { rules.UniqueLeaderNames = false },
			model.NoAcknowledgedLoss,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			world := row.world
			world.Replicas = 3
			if world.Leaders == 0 {
				world.Leaders, world.Epochs = 2, 2
			}
			world.Rules = model.ImplementedRules()
			row.remove(&world.Rules)
			is.New(t).Equal(check(t, &world).Violation, row.violation)
		})
	}
}

func committedByAny(committed, _ uint64, voters []consensus.Progress) (uint64, bool) {
	reached := false
	for _, voter := range voters {
		if voter.Has(committed) {
			committed, reached = voter.Acked, true
		}
	}
	return committed, reached
}

func newerByNumber(position, other consensus.Position) bool { return position.Seq > other.Seq }

func installAnyway(held consensus.ShardState, epoch uint64, leader string, seq uint64) (consensus.ShardState, bool) {
	if epoch < held.Promised {
		return held, false
	}
	return consensus.ShardState{Promised: epoch, Leader: leader, Installed: epoch, Seq: seq}, true
}

func appendAnywhere(held consensus.ShardState, epoch, _ uint64) consensus.Rejection {
	return consensus.CheckAppend(held, epoch, 0)
}
