package model

// The names of the invariants.
const (
	// OneDocumentPerVersion is violated if two documents that build on the same
	// version are acknowledged.
	OneDocumentPerVersion = "at most one acknowledged document per base version"
	// NoAcknowledgedLoss is violated if a majority that a new leader may ask does
	// not lead it to content with everything that was acknowledged.
	NoAcknowledgedLoss = "nothing acknowledged is lost within the fault budget"
	// FreshReads is violated if a read misses a change that was acknowledged before
	// the read began.
	FreshReads = "a read confirmed by a majority includes every change acknowledged before it"
	// OneLeaderPerEpoch is violated if majorities confirm changes or reads of two
	// leaders under the same epoch.
	OneLeaderPerEpoch = "at most one leader is confirmed per epoch"
	// MajoritiesIntersect is violated if a majority of one set in force and a
	// majority of another have no voter in common.
	MajoritiesIntersect = "majorities of any two sets in force intersect"
	// OneFirstSet is violated if the seeds decide on two first sets.
	OneFirstSet = "at most one first set is decided"
	// ServingWithinLease is violated if a node serves a configuration for longer
	// than a lease after a newer one was acknowledged.
	ServingWithinLease = "no node serves beyond its lease"
)

// violation is the index of a violated invariant in invariantNames. It is part
// of a state.
type violation uint8

const (
	noViolation violation = iota
	documentViolation
	lossViolation
	readViolation
	leaderViolation
	majorityViolation
	firstSetViolation
	leaseViolation
)

var invariantNames = [...]string{
	noViolation:       "",
	documentViolation: OneDocumentPerVersion,
	lossViolation:     NoAcknowledgedLoss,
	readViolation:     FreshReads,
	leaderViolation:   OneLeaderPerEpoch,
	majorityViolation: MajoritiesIntersect,
	firstSetViolation: OneFirstSet,
	leaseViolation:    ServingWithinLease,
}
