package consensus

// Position orders versions of a shard's content: first by the epoch under which
// they were installed, then by the sequence number of their newest change.
type Position struct {
	Installed uint64
	Seq       uint64
}

// Newer reports whether p is the position of newer content than other.
func (p Position) Newer(other Position) bool {
	if p.Installed != other.Installed {
		return p.Installed > other.Installed
	}
	return p.Seq > other.Seq
}

// Progress is what a shard's leader knows of a replica's copy of the shard.
type Progress struct {
	// Installed reports whether the replica has content of this leader's epoch.
	Installed bool
	// Acked is the newest change that the replica has acknowledged.
	Acked uint64
	// SetVersion is the version of the replica set under which it last did.
	SetVersion uint64
	// Unresponsive reports whether the last message got no answer.
	Unresponsive bool
}

// Has reports whether the replica has acknowledged the shard up to seq.
func (p Progress) Has(seq uint64) bool { return p.Installed && p.Acked >= seq }

// Acknowledge returns the progress after a replica's answer to a message that was
// sent under a set.
func (p Progress) Acknowledge(seq, setVersion uint64) Progress {
	return Progress{Installed: true, Acked: max(p.Acked, seq), SetVersion: setVersion}
}

// MessageKind is the kind of message that a leader sends a replica next.
type MessageKind int

const (
	// SendNothing means that the replica is up to date.
	SendNothing MessageKind = iota
	// SendProbe is an append without entries. Its answer tells how far the replica
	// is under the current set.
	SendProbe
	// SendSnapshot is the whole content of the shard.
	SendSnapshot
	// SendEntries is the entries that the replica lacks.
	SendEntries
)

// NeedsSnapshot reports whether entries from first on do not suffice for the
// replica.
func (p Progress) NeedsSnapshot(first uint64) bool { return !p.Installed || p.Acked+1 < first }

// Next decides what to send a replica, if the leader retains the entries from first
// to tail and uses the set with setVersion.
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

// Committed returns the newest change, from committed on, that a majority of
// the voters has acknowledged under the set with setVersion. reached is false
// if no majority has acknowledged committed itself. Acknowledgements under a
// former set do not count: since then the replica may have promised a higher
// epoch to another leader, whose majority of that set need not intersect one of
// this set.
func Committed(committed, setVersion uint64, voters []Progress) (seq uint64, reached bool) {
	seq = committed
	for _, voter := range voters {
		if voter.AckedUnder(seq, setVersion) && MajorityAcked(voter.Acked, setVersion, voters) {
			seq, reached = voter.Acked, true
		}
	}
	return seq, reached
}

// MajorityAcked reports whether a majority of the voters has acknowledged the shard
// up to seq under the set with setVersion.
func MajorityAcked(seq, setVersion uint64, voters []Progress) bool {
	count := 0
	for _, voter := range voters {
		if voter.AckedUnder(seq, setVersion) {
			count++
		}
	}
	return count >= Majority(len(voters))
}

// AckedUnder reports whether the replica has acknowledged the shard up to seq under
// the set with setVersion.
func (p Progress) AckedUnder(seq, setVersion uint64) bool {
	return p.Has(seq) && p.SetVersion == setVersion
}
