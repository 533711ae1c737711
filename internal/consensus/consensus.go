// Package consensus holds the decisions of the control state's protocol as pure
// functions: how a replica answers a message, what a leader considers committed,
// which replica sets may follow each other, the vote of the seeds on the first
// set, and the arithmetic of leases. The functions keep no state, read no clock
// and send nothing. Packages register, disk, founding and feed call them, and
// package model checks the same functions.
package consensus

// Majority returns how many of a number of voters make a majority. Any two
// majorities have a voter in common.
func Majority(voters int) int { return voters/2 + 1 }
