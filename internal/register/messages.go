package register

import (
	"fordseam/internal/base"
	"fordseam/internal/consensus"
)

// ToConsensus converts the claim for package consensus.
func (c *Claim) ToConsensus() consensus.Claim {
	return consensus.Claim{Epoch: c.GetEpoch(), Leader: c.GetOwner(), SetVersion: c.GetSetStamp(), Replica: c.GetDisk()}
}

// FirstSeq returns the sequence number of the first entry, 0 if there is none.
func (r *AppendRequest) FirstSeq() uint64 {
	if len(r.GetEntries()) == 0 {
		return 0
	}
	return r.Entries[0].Seq
}

// position returns the position of the content that the disk holds.
func (r *PromiseReply) position() consensus.Position {
	return consensus.Position{Installed: r.GetInstalled(), Seq: r.GetSeq()}
}

// ToConsensus converts the set for package consensus; nil stays nil.
func (s *DiskSet) ToConsensus() *consensus.ReplicaSet {
	if s == nil {
		return nil
	}
	return &consensus.ReplicaSet{
		Version: s.Stamp,
		Cluster: s.Cluster,
		Members: base.Map(s.Disks, func(entry *DiskEntry) consensus.Member {
			return consensus.Member{ID: entry.Id, Learner: entry.Learner}
		}),
	}
}

// ToConsensus converts the record for package consensus.
func (d *DiskSetRecord) ToConsensus() consensus.SetRecord {
	return consensus.SetRecord{Current: *d.Current.ToConsensus(), NextVersion: d.Next.GetStamp(), Settled: d.Settled}
}
