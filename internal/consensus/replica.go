package consensus

// Rejection is a replica's reason for not taking a message; its values go over
// the wire.
type Rejection string

const (
	// Accepted means that there is no reason to reject.
	Accepted Rejection = ""
	// RejectedBlank means that the message is meant for another replica, or
	// that this one was never formatted.
	RejectedWrongReplica Rejection = "blank"
	// RejectedSet means that the sender goes by another replica set.
	RejectedSet Rejection = "set"
	// RejectedEpoch means that a higher epoch was promised, or the same one to
	// another leader.
	RejectedEpoch Rejection = "epoch"
	// RejectedBehind means that the replica lacks what comes before the entries,
	// and needs a snapshot.
	RejectedBehind Rejection = "behind"
	// RejectedCluster means that the set is of another cluster.
	RejectedCluster Rejection = "other_cluster"
)

// Claim heads each message of a shard's leader to a replica.
type Claim struct {
	Epoch  uint64
	Leader string
	// SetVersion is that of the replica set which the leader goes by.
	SetVersion uint64
	// Replica is whom the message is meant for.
	Replica string
}

// Identity is who a replica is, and the version of the set that it goes by.
type Identity struct {
	ID         string
	SetVersion uint64
}

// ShardState is how far a replica's copy of one shard is; its content is kept
// beside it.
type ShardState struct {
	// Promised is the highest epoch that was promised, and Leader to whom.
	Promised uint64
	Leader   string
	// Installed is the epoch under which the content was installed, and Seq the
	// number of the newest change in it.
	Installed uint64
	Seq       uint64
}

// CheckClaim says whether a replica may act on a message with this claim.
func CheckClaim(self Identity, held ShardState, claim Claim) Rejection {
	switch {
	case self.ID == "" || claim.Replica != self.ID:
		return RejectedWrongReplica
	case claim.SetVersion != self.SetVersion:
		return RejectedSet
	case claim.Epoch < held.Promised:
		return RejectedEpoch
	case claim.Epoch == held.Promised && held.Leader != claim.Leader:
		return RejectedEpoch
	}
	return Accepted
}

// CheckAppend says whether entries that begin with number first follow what
// the replica holds. A message without entries has first 0.
func CheckAppend(held ShardState, epoch, first uint64) Rejection {
	if held.Installed != epoch || first > held.Seq+1 {
		return RejectedBehind
	}
	return Accepted
}

// Promise raises the epoch below which the shard takes nothing.
func (s ShardState) Promise(epoch uint64, leader string) ShardState {
	if epoch >= s.Promised {
		s.Promised, s.Leader = epoch, leader
	}
	return s
}

// Covers tells that a snapshot holds nothing that the shard lacks.
func (s ShardState) Covers(epoch, seq uint64) bool {
	return epoch == s.Installed && seq <= s.Seq
}

// Install puts a snapshot up to seq in the place of the content, unless it is
// fenced by a higher epoch or already covered; taken tells which.
func (s ShardState) Install(epoch uint64, leader string, seq uint64) (next ShardState, taken bool) {
	if epoch < s.Promised || s.Covers(epoch, seq) {
		return s, false
	}
	return ShardState{Promised: epoch, Leader: leader, Installed: epoch, Seq: seq}, true
}

// Append adds the entry with number seq, unless the content was installed under
// another epoch or has the entry already; taken tells which.
func (s ShardState) Append(epoch, seq uint64) (next ShardState, taken bool) {
	if s.Installed != epoch || seq <= s.Seq {
		return s, false
	}
	s.Seq = seq
	return s, true
}
