package model

// The invariants by name.
const (
	// OneDocumentPerVersion: of the documents that build on one version, at most one is
	// acknowledged.
	OneDocumentPerVersion = "one acknowledged document a base version"
	// NoAcknowledgedLoss: every majority that a new leader may ask holds what was
	// acknowledged.
	NoAcknowledgedLoss = "nothing acknowledged is lost within the fault budget"
	// FreshReads: a read shows each acknowledgement that came before it.
	FreshReads = "a read confirmed by a majority is never older than an acknowledgement before it"
	// OneLeaderPerEpoch: at most one leader confirms changes or reads under an epoch.
	OneLeaderPerEpoch = "no two owners confirm under one epoch"
	// MajoritiesIntersect: any majority of one set in force and any of another share
	// a voter.
	MajoritiesIntersect = "two sets in force always share a majority"
	// OneFirstSet: the seeds decide one first set.
	OneFirstSet = "one first set is decided"
	// ServingWithinLease: a node's configuration is at most a lease older than the
	// newest acknowledged one.
	ServingWithinLease = "no node serves beyond its lease"
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
	brokenDocument: OneDocumentPerVersion,
	brokenLoss:     NoAcknowledgedLoss,
	brokenRead:     FreshReads,
	brokenLeader:   OneLeaderPerEpoch,
	brokenMajority: MajoritiesIntersect,
	brokenCluster:  OneFirstSet,
	brokenLease:    ServingWithinLease,
}
