package consensus_test

import (
	"testing"
	"time"

	"fordseam/internal/consensus"

	"github.com/matryer/is"
)

func TestCheckClaim(t *testing.T) {
	self := consensus.Identity{ID: "a", SetVersion: 2}
	state := consensus.ShardState{Promised: 5, Leader: "one"}
	for _, row := range []struct {
		name  string
		claim consensus.Claim
		want  consensus.Rejection
	}{
		{"the same leader", consensus.Claim{Epoch: 5, Leader: "one", SetVersion: 2, Replica: "a"}, consensus.Accepted},
		{"a higher epoch", consensus.Claim{Epoch: 6, Leader: "two", SetVersion: 2, Replica: "a"}, consensus.Accepted},
		{"a lower epoch", consensus.Claim{Epoch: 4, Leader: "one", SetVersion: 2, Replica: "a"}, consensus.RejectedEpoch},
		{"another leader of the same epoch", consensus.Claim{Epoch: 5, Leader: "two", SetVersion: 2, Replica: "a"}, consensus.RejectedEpoch},
		{"an older set", consensus.Claim{Epoch: 6, Leader: "two", SetVersion: 1, Replica: "a"}, consensus.RejectedSet},
		{"a newer set", consensus.Claim{Epoch: 6, Leader: "two", SetVersion: 3, Replica: "a"}, consensus.RejectedSet},
		{"another replica", consensus.Claim{Epoch: 6, Leader: "two", SetVersion: 2, Replica: "b"}, consensus.RejectedWrongReplica},
	} {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(consensus.CheckClaim(self, state, row.claim), row.want)
		})
	}
}

func TestCheckClaimWithoutIdentity(t *testing.T) {
	is.New(t).Equal(consensus.CheckClaim(consensus.Identity{}, consensus.ShardState{}, consensus.Claim{}), consensus.RejectedWrongReplica)
}

func TestInstallAndAppend(t *testing.T) {
	is := is.New(t)
	shard := consensus.ShardState{}.Promise(3, "one")
	_, applied := shard.Install(2, "two", 9)
	is.True(!applied) // fenced by the promise
	shard, applied = shard.Install(3, "one", 4)
	is.True(applied)
	_, applied = shard.Install(3, "one", 4)
	is.True(!applied) // covered by the content already
	is.Equal(consensus.CheckAppend(shard, 3, 6), consensus.RejectedBehind)
	is.Equal(consensus.CheckAppend(shard, 2, 5), consensus.RejectedBehind)
	is.Equal(consensus.CheckAppend(shard, 3, 5), consensus.Accepted)
	shard, applied = shard.Append(3, 5)
	is.True(applied)
	_, applied = shard.Append(3, 5)
	is.True(!applied)
	is.Equal(shard, consensus.ShardState{Promised: 3, Leader: "one", Installed: 3, Seq: 5})
}

func TestCommitted(t *testing.T) {
	at := func(acked uint64) consensus.Progress {
		return consensus.Progress{Installed: true, Acked: acked, SetVersion: 2}
	}
	former := consensus.Progress{Installed: true, Acked: 4, SetVersion: 1}
	empty := consensus.Progress{}
	for _, row := range []struct {
		name      string
		committed uint64
		voters    []consensus.Progress
		want      uint64
		reached   bool
	}{
		{"no acknowledgement", 0, []consensus.Progress{empty, empty, empty}, 0, false},
		{"one of three", 0, []consensus.Progress{at(4), empty, empty}, 0, false},
		{"two of three, the lower counts", 0, []consensus.Progress{at(4), at(2), empty}, 2, true},
		{"two of four", 0, []consensus.Progress{at(4), at(4), empty, empty}, 0, false},
		{"three of four", 0, []consensus.Progress{at(4), at(3), at(5), empty}, 3, true},
		{"one acknowledged under a former set", 0, []consensus.Progress{at(4), former, empty}, 0, false},
		{"never decreases", 5, []consensus.Progress{at(4), at(4), at(4)}, 5, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			seq, reached := consensus.Committed(row.committed, 2, row.voters)
			is.Equal(seq, row.want)
			is.Equal(reached, row.reached)
		})
	}
}

func TestNextMessage(t *testing.T) {
	for _, row := range []struct {
		name     string
		progress consensus.Progress
		want     consensus.MessageKind
	}{
		{"nothing installed", consensus.Progress{}, consensus.SendSnapshot},
		{"no answer to the last message", consensus.Progress{Unresponsive: true}, consensus.SendProbe},
		{"the entries are retained", consensus.Progress{Installed: true, Acked: 4, SetVersion: 1}, consensus.SendEntries},
		{"the entries were dropped", consensus.Progress{Installed: true, Acked: 2, SetVersion: 1}, consensus.SendSnapshot},
		{"up to date", consensus.Progress{Installed: true, Acked: 7, SetVersion: 1}, consensus.SendNothing},
		{"up to date under a former set", consensus.Progress{Installed: true, Acked: 7}, consensus.SendProbe},
	} {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(row.progress.Next(4, 7, 1), row.want)
		})
	}
}

// newReplicaSet returns a set with one voter for each letter of voters and one
// learner for each letter of learners.
func newReplicaSet(version uint64, voters, learners string) consensus.ReplicaSet {
	set := consensus.ReplicaSet{Version: version, Cluster: "cluster"}
	for _, id := range voters {
		set.Members = append(set.Members, consensus.Member{ID: string(id)})
	}
	for _, id := range learners {
		set.Members = append(set.Members, consensus.Member{ID: string(id), Learner: true})
	}
	return set
}

func TestCheckProposal(t *testing.T) {
	current := newReplicaSet(4, "ABC", "D")
	settled := consensus.SetRecord{Current: current, Settled: true}
	for _, row := range []struct {
		name   string
		record consensus.SetRecord
		next   consensus.ReplicaSet
		want   consensus.ProposalRejection
	}{
		{"a learner becomes a voter", settled, newReplicaSet(5, "ABCD", ""), consensus.ProposalAccepted},
		{"a voter is removed and learners change", settled, newReplicaSet(5, "AB", "EF"), consensus.ProposalAccepted},
		{"a voter is replaced", settled, newReplicaSet(5, "ABD", ""), consensus.ProposalTooManyVotes},
		{"two voters are added", settled, newReplicaSet(5, "ABCDE", ""), consensus.ProposalTooManyVotes},
		{"a version is skipped", settled, newReplicaSet(6, "ABCD", ""), consensus.ProposalStale},
		{"another change is being adopted", consensus.SetRecord{Current: current, Settled: true, NextVersion: 5}, newReplicaSet(5, "ABCD", ""), consensus.ProposalChangePending},
		{"the last change is not settled", consensus.SetRecord{Current: current}, newReplicaSet(5, "ABCD", ""), consensus.ProposalChangePending},
	} {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(row.record.CheckProposal(row.next), row.want)
		})
	}
}

func TestAdopted(t *testing.T) {
	before, after := newReplicaSet(4, "ABCD", "E"), newReplicaSet(5, "ABCDE", "")
	for _, row := range []struct {
		name string
		took string
		want bool
	}{
		{"a majority of both", "ABC", true},
		{"a majority of the set after only", "ABE", false},
		{"nobody", "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			accepted := map[string]bool{}
			for _, id := range row.took {
				accepted[string(id)] = true
			}
			is.New(t).Equal(consensus.Adopted(before, after, func(id string) bool { return accepted[id] }), row.want)
		})
	}
}

func TestCheckSet(t *testing.T) {
	known := newReplicaSet(4, "ABC", "")
	other := newReplicaSet(5, "ABC", "")
	other.Cluster = "other"
	for _, row := range []struct {
		name    string
		known   *consensus.ReplicaSet
		offered consensus.ReplicaSet
		want    consensus.Rejection
	}{
		{"no known set", nil, known, consensus.Accepted},
		{"a newer version", &known, newReplicaSet(5, "ABCD", ""), consensus.Accepted},
		{"the same version", &known, newReplicaSet(4, "ABC", ""), consensus.Accepted},
		{"an older version", &known, newReplicaSet(3, "ABC", ""), consensus.RejectedSet},
		{"another cluster", &known, other, consensus.RejectedCluster},
	} {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(consensus.CheckSet(row.known, row.offered), row.want)
		})
	}
}

func TestAcceptorAndProposal(t *testing.T) {
	is := is.New(t)
	seed := consensus.Acceptor[string]{}
	seed, ok := seed.Prepare(4)
	is.True(ok)
	_, ok = seed.Accept(3, "older")
	is.True(!ok) // a higher ballot was promised
	seed, ok = seed.Accept(4, "first")
	is.True(ok)
	_, ok = seed.Prepare(3)
	is.True(!ok)

	proposal := consensus.Proposal[string]{Value: "own"}
	is.Equal(proposal.Learn(0, "").Value, "own") // a seed that has not voted
	proposal = proposal.Learn(seed.Accepted, seed.Value)
	is.Equal(proposal.Learn(2, "older").Value, "first")

	is.Equal(consensus.NextBallot(0, 3, 2), uint64(5))
	is.Equal(consensus.NextBallot(5, 3, 0), uint64(6))
}

func TestLease(t *testing.T) {
	is := is.New(t)
	const lease = 1200 * time.Millisecond
	is.Equal(consensus.LeaseEnd(time.Second, 0, lease), 2140*time.Millisecond)
	is.Equal(consensus.LeaseEnd(time.Second, 200*time.Millisecond, lease), 1940*time.Millisecond)
	is.Equal(consensus.ConfirmationAge(time.Second, 900*time.Millisecond+1), 100*time.Millisecond) // rounded up
	is.Equal(consensus.ConfirmationAge(time.Second, 2*time.Second), time.Duration(0))              // confirmed after the request arrived
	is.True(consensus.MayRelay(800*time.Millisecond, 0, lease))
	is.True(!consensus.MayRelay(801*time.Millisecond, 0, lease))
	is.True(consensus.AcceptsRevision(3, 3))
	is.True(!consensus.AcceptsRevision(2, 3))
}
