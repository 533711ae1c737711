package model_test

import (
	"strings"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/model"

	"github.com/matryer/is"
)

// check searches a system completely.
func check[S any](t *testing.T, system model.System[S]) model.Result {
	t.Helper()
	return checkWithLimits(t, system, model.Limits{})
}

// checkWithLimits searches a system up to limits and logs the extent and the trace
// of a violation.
func checkWithLimits[S any](t *testing.T, system model.System[S], limits model.Limits) model.Result {
	t.Helper()
	result := model.Check(base.NewRealClock(), system, limits)
	t.Logf("%d states, depth %d, %v, complete %v", result.States, result.Depth, result.Time, result.Complete)
	if result.Violation != "" {
		t.Logf("%s after %d steps:\n%s", result.Violation, len(result.Trace), strings.Join(result.Trace, "\n"))
	}
	return result
}

func TestReplicationInvariantsHold(t *testing.T) {
	for _, row := range []struct {
		name   string
		system model.Replication
	}{
		{"conflicting documents", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0, 0}}},
		{"reads", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, Reads: true}},
		{"power loss", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, PowerLoss: true}},
		{"power loss and a lost disk", model.Replication{Replicas: 3, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0, 0}, PowerLoss: true, Wipes: 1}},
		{"a lost disk", model.Replication{Replicas: 3, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, Wipes: 1, Reads: true}},
		{"successive documents", model.Replication{Replicas: 3, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0, 1}, PowerLoss: true}},
		{"four replicas", model.Replication{Replicas: 4, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}, Reads: true}},
		{"five replicas", model.Replication{Replicas: 5, Leaders: 2, Epochs: 2, BaseVersions: []uint8{0}}},
		{"five replicas, two lost disks", model.Replication{Replicas: 5, Leaders: 1, Epochs: 2, BaseVersions: []uint8{0}, Wipes: 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			row.system.Rules = model.ImplementedRules()
			result := check(t, &row.system)
			is.Equal(result.Violation, "")
			is.True(result.Complete)
		})
	}
}

// checkClaimIgnoringEpoch accepts a claim whatever epoch was promised.
func checkClaimIgnoringEpoch(self consensus.Identity, state consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	state.Promised = 0
	return consensus.CheckClaim(self, state, claim)
}

// checkClaimIgnoringLeader accepts a claim of any leader under the promised epoch.
func checkClaimIgnoringLeader(self consensus.Identity, state consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	state.Leader = claim.Leader
	return consensus.CheckClaim(self, state, claim)
}

// checkClaimIgnoringReplica accepts a claim that is addressed to another replica.
func checkClaimIgnoringReplica(self consensus.Identity, state consensus.ShardState, claim consensus.Claim) consensus.Rejection {
	claim.Replica = self.ID
	return consensus.CheckClaim(self, state, claim)
}

// Each row removes the rule that it is named after.
func TestReplicationRulesRemoved(t *testing.T) {
	for _, row := range []struct {
		name      string
		system    model.Replication
		remove    func(rules *model.Rules)
		violation string
	}{
		{
			"a majority confirms a read",
			model.Replication{BaseVersions: []uint8{0}, Reads: true},
			func(rules *model.Rules) { rules.ReadQuorum = func(int) int { return 0 } },
			model.FreshReads,
		},
		{
			"a replica checks the epoch",
			model.Replication{BaseVersions: []uint8{0, 0}},
			func(rules *model.Rules) { rules.CheckClaim = checkClaimIgnoringEpoch },
			model.OneLeaderPerEpoch,
		},
		{
			"a replica accepts one leader per epoch",
			model.Replication{BaseVersions: []uint8{0, 0}},
			func(rules *model.Rules) { rules.CheckClaim = checkClaimIgnoringLeader },
			model.OneLeaderPerEpoch,
		},
		{
			"a replica checks its identity",
			model.Replication{BaseVersions: []uint8{0}, Wipes: 1},
			func(rules *model.Rules) { rules.CheckClaim = checkClaimIgnoringReplica },
			model.OneLeaderPerEpoch,
		},
		{
			"a majority promises before a takeover",
			model.Replication{BaseVersions: []uint8{0}},
			func(rules *model.Rules) { rules.PromiseQuorum = func(int) int { return 1 } },
			model.NoAcknowledgedLoss,
		},
		{
			"a majority has a change before it is acknowledged",
			model.Replication{BaseVersions: []uint8{0}},
			func(rules *model.Rules) { rules.Committed = committedByAnyVoter },
			model.NoAcknowledgedLoss,
		},
		{
			"a later epoch is newer than a higher sequence number",
			model.Replication{BaseVersions: []uint8{0, 0}},
			func(rules *model.Rules) { rules.Newer = newerBySeqOnly },
			model.NoAcknowledgedLoss,
		},
		{
			"a snapshot does not replace newer content",
			model.Replication{BaseVersions: []uint8{0}},
			func(rules *model.Rules) { rules.Install = installIgnoringContent },
			model.NoAcknowledgedLoss,
		},
		{
			"entries leave no gap",
			model.Replication{BaseVersions: []uint8{0, 1}},
			func(rules *model.Rules) { rules.CheckAppend = checkAppendIgnoringGaps },
			model.NoAcknowledgedLoss,
		},
		{
			"a replica syncs before it answers",
			model.Replication{BaseVersions: []uint8{0}, PowerLoss: true},
			func(rules *model.Rules) { rules.SyncBeforeAnswer = false },
			model.NoAcknowledgedLoss,
		},
		{
			"a leader has a new name after a restart",
			model.Replication{Leaders: 1, Epochs: 1, BaseVersions: []uint8{0, 0}, LeaderCrashes: true},
			func(rules *model.Rules) { rules.UniqueLeaderNames = false },
			model.NoAcknowledgedLoss,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			system := row.system
			system.Replicas = 3
			if system.Leaders == 0 {
				system.Leaders, system.Epochs = 2, 2
			}
			system.Rules = model.ImplementedRules()
			row.remove(&system.Rules)
			is.New(t).Equal(check(t, &system).Violation, row.violation)
		})
	}
}

func committedByAnyVoter(committed, _ uint64, voters []consensus.Progress) (uint64, bool) {
	reached := false
	for _, voter := range voters {
		if voter.Has(committed) {
			committed, reached = voter.Acked, true
		}
	}
	return committed, reached
}

func newerBySeqOnly(position, other consensus.Position) bool { return position.Seq > other.Seq }

func installIgnoringContent(state consensus.ShardState, epoch uint64, leader string, seq uint64) (consensus.ShardState, bool) {
	if epoch < state.Promised {
		return state, false
	}
	return consensus.ShardState{Promised: epoch, Leader: leader, Installed: epoch, Seq: seq}, true
}

func checkAppendIgnoringGaps(state consensus.ShardState, epoch, _ uint64) consensus.Rejection {
	return consensus.CheckAppend(state, epoch, 0)
}
