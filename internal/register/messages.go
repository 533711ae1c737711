// What the wire's messages mean to the protocol's decisions.

package register

import (
	"fordseam/internal/base"
	"fordseam/internal/consensus"
)

// ToConsensus is the claim as the protocol's decisions take it.
func (c *Claim) ToConsensus() consensus.Claim {
	return consensus.Claim{Epoch: c.GetEpoch(), Leader: c.GetOwner(), SetVersion: c.GetSetStamp(), Replica: c.GetDisk()}
}

// FirstSeq is the number of the first entry, 0 where there is none.
func (r *AppendRequest) FirstSeq() uint64 {
	if len(r.GetEntries()) == 0 {
		return 0
	}
	return r.Entries[0].Seq
}

func (r *PromiseReply) position() consensus.Position {
	return consensus.Position{Installed: r.GetInstalled(), Seq: r.GetSeq()}
}

// ToConsensus is the set as the protocol's decisions take it; nil for none.
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

// ToConsensus is the record as the protocol's decisions take it.
func (d *DiskSetRecord) ToConsensus() consensus.SetRecord {
	return consensus.SetRecord{Current: *d.Current.ToConsensus(), NextVersion: d.Next.GetStamp(), Settled: d.Settled}
}
