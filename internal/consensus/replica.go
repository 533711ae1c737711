package consensus

// Rejection is a replica's reason to reject a message. Its values are sent on the
// wire.
type Rejection string

const (
	// Accepted means that the message is not rejected.
	Accepted Rejection = ""
	// RejectedWrongReplica means that the message is addressed to another replica,
	// or that this one was never formatted.
	RejectedWrongReplica Rejection = "blank"
	// RejectedSet means that the sender uses another version of the replica set.
	RejectedSet Rejection = "set"
	// RejectedEpoch means that a higher epoch was promised, or the same epoch to
	// another leader.
	RejectedEpoch Rejection = "epoch"
	// RejectedBehind means that the replica lacks changes before the entries and
	// needs a snapshot.
	RejectedBehind Rejection = "behind"
	// RejectedCluster means that the offered set belongs to another cluster.
	RejectedCluster Rejection = "other_cluster"
)

// Claim is the header of each message from a shard's leader to a replica.
type Claim struct {
	Epoch  uint64
	Leader string
	// SetVersion is the version of the replica set that the leader uses.
	SetVersion uint64
	// Replica is the id of the replica that the message is addressed to.
	Replica string
}

// Identity is a replica's id, empty before it is formatted, and the version of the
// replica set that it uses.
type Identity struct {
	ID         string
	SetVersion uint64
}

// ShardState is the state of a replica's copy of one shard, without the content.
type ShardState struct {
	// Promised is the highest epoch that the replica has promised, and Leader
	// is the leader it promised it to.
	Promised uint64
	Leader   string
	// Installed is the epoch under which the content was installed, and Seq is the
	// sequence number of the newest change in it.
	Installed uint64
	Seq       uint64
}

// CheckClaim checks whether a replica may act on a message with a claim.
func CheckClaim(self Identity, state ShardState, claim Claim) Rejection {
	switch {
	case self.ID == "" || claim.Replica != self.ID:
		return RejectedWrongReplica
	case claim.SetVersion != self.SetVersion:
		return RejectedSet
	case claim.Epoch < state.Promised:
		return RejectedEpoch
	case claim.Epoch == state.Promised && state.Leader != claim.Leader:
		return RejectedEpoch
	}
	return Accepted
}

// CheckAppend checks whether entries from first on continue what the replica holds
// under an epoch. A message without entries has first 0.
func CheckAppend(state ShardState, epoch, first uint64) Rejection {
	if state.Installed != epoch || first > state.Seq+1 {
		return RejectedBehind
	}
	return Accepted
}

// Promise returns the state after a promise to accept nothing of a lower epoch than
// this one.
func (s ShardState) Promise(epoch uint64, leader string) ShardState {
	if epoch >= s.Promised {
		s.Promised, s.Leader = epoch, leader
	}
	return s
}

// Covers reports whether the replica already holds all of a snapshot under the
// snapshot's epoch.
func (s ShardState) Covers(epoch, seq uint64) bool {
	return epoch == s.Installed && seq <= s.Seq
}

// Install returns the state after a snapshot up to seq has replaced the content. It
// is not installed if a higher epoch was promised or the content covers it already.
func (s ShardState) Install(epoch uint64, leader string, seq uint64) (next ShardState, installed bool) {
	if epoch < s.Promised || s.Covers(epoch, seq) {
		return s, false
	}
	return ShardState{Promised: epoch, Leader: leader, Installed: epoch, Seq: seq}, true
}

// Append returns the state after the entry with sequence number seq was
// appended. It is not appended if the content was installed under another epoch
// or already has the entry.
func (s ShardState) Append(epoch, seq uint64) (next ShardState, appended bool) {
	if s.Installed != epoch || seq <= s.Seq {
		return s, false
	}
	s.Seq = seq
	return s, true
}
