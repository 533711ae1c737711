package consensus

// Position orders contents of a shard: first by the epoch they were installed
// under, then by the number of their newest change.
type Position struct {
	Installed uint64
	Seq       uint64
}

// Newer reports whether p is of newer content than other.
func (p Position) Newer(other Position) bool {
	if p.Installed != other.Installed {
		return p.Installed > other.Installed
	}
	return p.Seq > other.Seq
}

// Progress is what a leader knows of a replica's copy of its shard.
type Progress struct {
	// Installed tells that the replica has the leader's snapshot.
	Installed bool
	// Acked is the newest change that the replica acknowledged.
	Acked uint64
	// SetVersion is that of the set under which it last did.
	SetVersion uint64
	// Mute tells that the last message got no answer.
	Unresponsive bool
}

// Has reports whether the replica is known to hold the shard up to seq.
func (p Progress) Has(seq uint64) bool { return p.Installed && p.Acked >= seq }

// Acknowledge takes in a replica's answer to a message sent under a set.
func (p Progress) Acknowledge(seq, setVersion uint64) Progress {
	return Progress{Installed: true, Acked: max(p.Acked, seq), SetVersion: setVersion}
}

// MessageKind is what a leader sends a replica next.
type MessageKind int

const (
	// SendNothing means that the replica has all there is.
	SendNothing MessageKind = iota
	// SendProbe is an append without entries, which asks how far the replica is
	// and under which set.
	SendProbe
	// SendSnapshot is the whole content.
	SendSnapshot
	// SendEntries is what follows what the replica has.
	SendEntries
)

// NeedsSnapshot tells that the replica can't go on from entries that begin
// with number first.
func (p Progress) NeedsSnapshot(first uint64) bool { return !p.Installed || p.Acked+1 < first }

// Next decides what to send a replica, where the leader keeps the entries from
// first to tail and goes by the set of a version.
func (p Progress) Next(first, tail, setVersion uint64) MessageKind {
	switch {
	case p.Unresponsive:
		return SendProbe
	case p.NeedsSnapshot(first):
		return SendSnapshot
	case p.Acked < tail:
		return SendEntries
	case p.SetVersion != setVersion:
		return SendProbe
	}
	return SendNothing
}

// Committed finds the newest change that a majority of the voters of a set has,
// from committed on. It is not reached while no majority has even that. Only
// what a replica acknowledged under this very set counts: since it acknowledged
// something under a former set it may have promised a higher epoch to another
// leader, whose majority of that set need not meet one of this set.
func Committed(committed, setVersion uint64, voters []Progress) (seq uint64, reached bool) {
	seq = committed
	for _, voter := range voters {
		if voter.AckedUnder(seq, setVersion) && MajorityAcked(voter.Acked, setVersion, voters) {
			seq, reached = voter.Acked, true
		}
	}
	return seq, reached
}

// MajorityAcked reports whether a majority of the voters acknowledged a change under
// the set of a version.
func MajorityAcked(seq, setVersion uint64, voters []Progress) bool {
	count := 0
	for _, voter := range voters {
		if voter.AckedUnder(seq, setVersion) {
			count++
		}
	}
	return count >= Majority(len(voters))
}

// AckedUnder reports whether the replica acknowledged a change under the set of a
// version.
func (p Progress) AckedUnder(seq, setVersion uint64) bool {
	return p.Has(seq) && p.SetVersion == setVersion
}
