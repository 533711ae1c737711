// Package consensus holds the decisions of the control protocol as pure
// functions: what a replica answers to a message, what a leader takes for
// committed, which replica sets may follow each other, the vote of the seeds
// on the first set, and the arithmetic of leases. The functions keep no state,
// read no clock and send nothing. The processes call them from
// internal/register, internal/disk, internal/founding and internal/feed, and
// the model checker in internal/model calls the same ones.
package consensus

// Majority is the least number of voters that any two majorities share one of.
func Majority(voters int) int { return voters/2 + 1 }
