package model

import (
	"fordseam/internal/consensus"
)

const (
	maxReplicas = 5
	maxLeaders  = 2
	maxEpochs   = 3
)

// Replication models the replicas of one shard and its leaders under epochs. The
// replica set does not change. A leader may pause at any step and go on later.
// Messages and their answers may be delayed, reordered, duplicated or lost.
type Replication struct {
	Rules    Rules
	Replicas int
	Leaders  int
	Epochs   int
	// BaseVersions are the versions that the clients' documents build on: document
	// 1+i builds on BaseVersions[i].
	BaseVersions []uint8
	// PowerLoss lets a replica lose what it has not synced, at any step. All of them
	// may thus lose power together.
	PowerLoss bool
	// Wipes is how many replicas may lose their disks, each at any step.
	Wipes int
	// Reads lets clients read from leaders.
	Reads bool
	// LeaderCrashes lets a leader restart without its state under the same name. It
	// has an effect only without the rule UniqueLeaderNames.
	LeaderCrashes bool
}

// shardCopy is a replica's copy of the shard. leader is one more than the index
// of the leader that the epoch was promised to, 0 if none; for the other fields
// see consensus.ShardState.
type shardCopy struct {
	promisedEpoch  uint8
	leader         uint8
	installedEpoch uint8
	seq            uint8
	content        history
}

// replicaState is the state of a replica: its copy in memory, and the durable one
// that survives a power loss.
type replicaState struct {
	memory  shardCopy
	durable shardCopy
	wiped   bool
}

// promiseReply is a replica's promise to a leader, with the position and the
// content of its copy.
type promiseReply struct {
	received       bool
	installedEpoch uint8
	seq            uint8
	content        history
}

// leaderAttempt is a leader's attempt to lead the shard under one epoch. It is
// kept after the leader has abandoned it, since its messages may still arrive.
type leaderAttempt struct {
	started bool
	// contentChosen reports whether the leader has chosen its content from the promises.
	// base is the sequence number of the chosen content and tail that of the newest
	// entry since.
	contentChosen bool
	base          uint8
	tail          uint8
	content       history

	promises [maxReplicas]promiseReply
	// acked is one more than the newest change that a replica has acknowledged, 0
	// before it has installed the snapshot.
	acked [maxReplicas]uint8
}

// readState is a read in progress: the version that it returns, the length of
// what clients had observed when it started, and a bit mask of the replicas that
// have confirmed the leader since.
type readState struct {
	active         bool
	version        uint8
	observedLength uint8
	confirmedBy    uint8
}

// leaderState is the state of a leader. The epoch is that of its current attempt,
// 0 if there is none, and highestEpoch that of its latest.
type leaderState struct {
	epoch        uint8
	highestEpoch uint8
	serving      bool
	committed    uint8
	read         readState
}

// ReplicationState is a state of the Replication model.
type ReplicationState struct {
	replicas [maxReplicas]replicaState
	leaders  [maxLeaders]leaderState
	attempts [maxEpochs][maxLeaders]leaderAttempt
	// confirmedBy is one more than the index of the leader that a majority confirmed
	// under an epoch, 0 if none.
	confirmedBy [maxEpochs]uint8
	observed    observation
	wipes       uint8
	violation   violation
}

const (
	stepStart uint8 = iota
	stepPromise
	stepChooseContent
	stepInstall
	stepAppend
	stepWrite
	stepRead
	stepConfirmRead
	stepPowerLoss
	stepWipe
	stepCrash
)

// The outcomes of a message that reaches a replica: the replica's answer arrives,
// before which the replica syncs the change if SyncBeforeAnswer is set; or the
// change is not yet synced and no answer is sent.
const (
	outcomeAnswered uint8 = iota
	outcomeUnsynced
)

var (
	leaderNames  = [maxLeaders]string{"leader-0", "leader-1"}
	replicaNames = [maxReplicas]string{"replica-0", "replica-1", "replica-2", "replica-3", "replica-4"}
)

// wipedReplicaName is the identity of a replica that has lost its disk.
const wipedReplicaName = "replica-new"

// setVersion is the version of the replica set, which does not change in the
// Replication model.
const setVersion = 1

// Initial returns a state with empty replicas and no leader.
func (r *Replication) Initial() ReplicationState { return ReplicationState{} }

// Violation returns the name of the violated invariant, if any.
func (r *Replication) Violation(state *ReplicationState) string {
	if state.violation != noViolation {
		return invariantNames[state.violation]
	}
	if !r.recoverable(state) {
		return NoAcknowledgedLoss
	}
	return ""
}

// recoverable reports whether each majority without a wiped replica leads a new
// leader that asks it to content with everything that clients observed.
func (r *Replication) recoverable(state *ReplicationState) bool {
	if state.observed.length == 0 {
		return true
	}
	quorum := r.Rules.PromiseQuorum(r.Replicas)
	for subset := range 1 << r.Replicas {
		if countBits(subset) != quorum {
			continue
		}
		newest, allPresent := shardCopy{}, true
		first := true
		for replicaIndex := range r.Replicas {
			if subset&(1<<replicaIndex) == 0 {
				continue
			}
			replica := &state.replicas[replicaIndex]
			allPresent = allPresent && !replica.wiped
			if first || r.Rules.Newer(replica.durable.position(), newest.position()) {
				newest, first = replica.durable, false
			}
		}
		if allPresent && !state.observed.containedIn(newest.content, newest.seq) {
			return false
		}
	}
	return true
}

func countBits(mask int) int {
	count := 0
	for ; mask != 0; mask &= mask - 1 {
		count++
	}
	return count
}

func (c shardCopy) position() consensus.Position {
	return consensus.Position{Installed: uint64(c.installedEpoch), Seq: uint64(c.seq)}
}

func (c shardCopy) state() consensus.ShardState {
	return consensus.ShardState{Promised: uint64(c.promisedEpoch), Leader: leaderName(c.leader), Installed: uint64(c.installedEpoch), Seq: uint64(c.seq)}
}

// withState returns the copy with the state that a decision function returned.
func (c shardCopy) withState(next consensus.ShardState) shardCopy {
	c.promisedEpoch, c.installedEpoch, c.seq = uint8(next.Promised), uint8(next.Installed), uint8(next.Seq)
	c.leader = 0
	for index, name := range leaderNames {
		if name == next.Leader {
			c.leader = uint8(index) + 1
		}
	}
	return c
}

// leaderName returns the name of the leader with a number from 1 on, "" for 0.
func leaderName(number uint8) string {
	if number == 0 {
		return ""
	}
	return leaderNames[number-1]
}

// acceptsClaim reports whether a replica accepts messages of a leader under an
// epoch.
func (r *Replication) acceptsClaim(state *ReplicationState, epoch, leaderIndex, replicaIndex uint8) bool {
	self := consensus.Identity{ID: replicaNames[replicaIndex], SetVersion: setVersion}
	if state.replicas[replicaIndex].wiped {
		self.ID = wipedReplicaName
	}
	claim := consensus.Claim{Epoch: uint64(epoch), Leader: leaderNames[leaderIndex], SetVersion: setVersion, Replica: replicaNames[replicaIndex]}
	return r.Rules.CheckClaim(self, state.replicas[replicaIndex].memory.state(), claim) == consensus.Accepted
}
