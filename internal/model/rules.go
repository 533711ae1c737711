package model

import "fordseam/internal/consensus"

// Rules are the decisions that a world calls. ImplementedRules are those that
// run in production; a removal replaces one of them by a weaker one.
type Rules struct {
	CheckClaim  func(self consensus.Identity, held consensus.ShardState, claim consensus.Claim) consensus.Rejection
	CheckAppend func(held consensus.ShardState, epoch, first uint64) consensus.Rejection
	Install     func(held consensus.ShardState, epoch uint64, leader string, seq uint64) (consensus.ShardState, bool)
	Newer       func(position, other consensus.Position) bool
	Committed   func(committed, setVersion uint64, voters []consensus.Progress) (uint64, bool)
	// PromiseQuorum and ReadQuorum are how many of the voters must answer.
	PromiseQuorum func(voters int) int
	ReadQuorum    func(voters int) int
	// SyncBeforeAnswer has a replica answer only what it has synced.
	SyncBeforeAnswer bool
	// InstallBeforeServing has a leader serve only once its snapshot is on a
	// majority.
	InstallBeforeServing bool
	// UniqueLeaderNames gives each life of a process another name.
	UniqueLeaderNames bool
}

// ImplementedRules are the decisions that run in production.
func ImplementedRules() Rules {
	return Rules{
		CheckClaim:           consensus.CheckClaim,
		CheckAppend:          consensus.CheckAppend,
		Install:              consensus.ShardState.Install,
		Newer:                consensus.Position.Newer,
		Committed:            consensus.Committed,
		PromiseQuorum:        consensus.Majority,
		ReadQuorum:           consensus.Majority,
		SyncBeforeAnswer:     true,
		InstallBeforeServing: true,
		UniqueLeaderNames:    true,
	}
}
