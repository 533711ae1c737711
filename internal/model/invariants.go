package model

// The invariants by name.
const (
	// OneDocument: of the documents that build on one version, at most one is
	// acknowledged.
	OneDocument = "one acknowledged document a base version"
	// NothingLost: every majority that a new leader may ask holds what was
	// acknowledged.
	NothingLost = "nothing acknowledged is lost within the fault budget"
	// ReadsAreFresh: a read shows each acknowledgement that came before it.
	ReadsAreFresh = "a read confirmed by a majority is never older than an acknowledgement before it"
	// OneLeader: at most one leader confirms changes or reads under an epoch.
	OneLeader = "no two owners confirm under one epoch"
	// SharedMajority: any majority of one set in force and any of another share
	// a voter.
	SharedMajority = "two sets in force always share a majority"
	// OneCluster: the seeds decide one first set.
	OneCluster = "one first set is decided"
	// WithinLease: a node's configuration is at most a lease older than the
	// newest acknowledged one.
	WithinLease = "no node serves beyond its lease"
)

// violation is an invariant's place in invariantNames; it is part of a state.
type violation uint8

const (
	holds violation = iota
	brokenDocument
	brokenLoss
	brokenRead
	brokenLeader
	brokenMajority
	brokenCluster
	brokenLease
)

var invariantNames = [...]string{
	holds:          "",
	brokenDocument: OneDocument,
	brokenLoss:     NothingLost,
	brokenRead:     ReadsAreFresh,
	brokenLeader:   OneLeader,
	brokenMajority: SharedMajority,
	brokenCluster:  OneCluster,
	brokenLease:    WithinLease,
}
