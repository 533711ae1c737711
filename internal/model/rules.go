package model

import "fordseam/internal/consensus"

// Rules are the decision functions that the replication and membership models
// call. ImplementedRules returns those that run in production; a test removes a
// rule by replacing it with a weaker one.
type Rules struct {
	CheckClaim  func(self consensus.Identity, held consensus.ShardState, claim consensus.Claim) consensus.Rejection
	CheckAppend func(held consensus.ShardState, epoch, first uint64) consensus.Rejection
	Install     func(held consensus.ShardState, epoch uint64, leader string, seq uint64) (consensus.ShardState, bool)
	Newer       func(position, other consensus.Position) bool
	Committed   func(committed, setVersion uint64, voters []consensus.Progress) (uint64, bool)
	// PromiseQuorum and ReadQuorum return how many of the voters must answer a new
	// leader, and a leader that confirms a read.
	PromiseQuorum func(voters int) int
	ReadQuorum    func(voters int) int
	// SyncBeforeAnswer makes a replica sync a change to disk before it answers.
	SyncBeforeAnswer bool
	// InstallBeforeServing makes a leader serve only after a majority has installed
	// its snapshot.
	InstallBeforeServing bool
	// UniqueLeaderNames gives a leader a new name after each restart.
	UniqueLeaderNames bool
}

// ImplementedRules returns the rules that run in production.
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
