package model

import (
	"fordseam/internal/consensus"
)

const (
	maxReplicas = 5
	maxLeaders  = 2
	maxEpochs   = 3
)

// Replication is the world of one shard's replicas under epochs. Its set of
// replicas stays as it is. Leaders stop and go on at any step. A message may
// arrive at any time after it could have been sent, in any order, again, or
// never; so may its answer.
type Replication struct {
	Rules    Rules
	Replicas int
	Leaders  int
	Epochs   int
	// BaseVersions are the versions that the clients' documents build on: document
	// 1+i builds on Bases[i].
	BaseVersions []uint8
	// PowerLoss has replicas lose what they have not synced, each at any step and so
	// all of them together.
	PowerLoss bool
	// Wipes is how many replicas lose their disks, at any step.
	Wipes int
	// Reads has leaders answer reads.
	Reads bool
	// LeaderCrashes has leaders forget all they know.
	LeaderCrashes bool
}

// shardCopy is one replica's copy of the shard.
type shardCopy struct {
	promised  uint8
	leader    uint8
	installed uint8
	seq       uint8
	content   history
}

// replicaState is a replica: what it goes by, and what outlives a loss of power.
type replicaState struct {
	memory  shardCopy
	durable shardCopy
	wiped   bool
}

// promiseReply is a replica's answer to a promise, on its way to the leader.
type promiseReply struct {
	given     bool
	installed uint8
	seq       uint8
	content   history
}

// attempt is a leader's try under one epoch. It outlives the leader's interest
// in it, since its messages may still arrive.
type attempt struct {
	begun bool
	// taken tells that the content was chosen; it begins at base and has grown
	// to tail.
	taken   bool
	base    uint8
	tail    uint8
	content history

	promises [maxReplicas]promiseReply
	// acked is one more than the newest change that a replica acknowledged, and
	// 0 before it has the snapshot.
	acked [maxReplicas]uint8
}

// readState is a read under way: what it will show, what clients knew when it
// began, and which replicas confirmed the leader since.
type readState struct {
	active    bool
	version   uint8
	floor     uint8
	confirmed uint8
}

// leaderState is a core's part; epoch 0 means that it leads nothing.
type leaderState struct {
	epoch     uint8
	highest   uint8
	serving   bool
	committed uint8
	read      readState
}

// ReplicationState is a state of Replication.
type ReplicationState struct {
	replicas [maxReplicas]replicaState
	leaders  [maxLeaders]leaderState
	attempts [maxEpochs][maxLeaders]attempt
	// confirmedBy is one more than the leader that a majority confirmed under
	// an epoch.
	confirmedBy [maxEpochs]uint8
	told        acknowledged
	wipes       uint8
	broken      violation
}

const (
	stepStart uint8 = iota
	stepPromise
	stepTake
	stepInstall
	stepAppend
	stepDecide
	stepRead
	stepConfirm
	stepPower
	stepWipe
	stepCrash
)

// Whether a replica syncs what it took and answers, or the message came without
// an answer.
const (
	answered uint8 = iota
	unsynced
)

var (
	leaderNames  = [maxLeaders]string{"leader-0", "leader-1"}
	replicaNames = [maxReplicas]string{"replica-0", "replica-1", "replica-2", "replica-3", "replica-4"}
)

const wipedName = "replica-new"

// setVersion is the only one in this world.
const setVersion = 1

// Initial has empty replicas of a set and no leader.
func (w *Replication) Initial() ReplicationState { return ReplicationState{} }

// Violation names the invariant that is broken.
func (w *Replication) Violation(state *ReplicationState) string {
	if state.broken != holds {
		return invariantNames[state.broken]
	}
	if !w.recoverable(state) {
		return NoAcknowledgedLoss
	}
	return ""
}

// recoverable reports whether each majority that a new leader may ask leads it
// to a content with all that clients were told of.
func (w *Replication) recoverable(state *ReplicationState) bool {
	if state.told.length == 0 {
		return true
	}
	quorum := w.Rules.PromiseQuorum(w.Replicas)
	for members := range 1 << w.Replicas {
		if countBits(members) != quorum {
			continue
		}
		newest, whole := shardCopy{}, true
		first := true
		for place := range w.Replicas {
			if members&(1<<place) == 0 {
				continue
			}
			replica := &state.replicas[place]
			whole = whole && !replica.wiped
			if first || w.Rules.Newer(replica.durable.position(), newest.position()) {
				newest, first = replica.durable, false
			}
		}
		if whole && !state.told.within(newest.content, newest.seq) {
			return false
		}
	}
	return true
}

func countBits(members int) int {
	count := 0
	for ; members != 0; members &= members - 1 {
		count++
	}
	return count
}

func (c shardCopy) position() consensus.Position {
	return consensus.Position{Installed: uint64(c.installed), Seq: uint64(c.seq)}
}

func (c shardCopy) shard() consensus.ShardState {
	return consensus.ShardState{Promised: uint64(c.promised), Leader: leaderName(c.leader), Installed: uint64(c.installed), Seq: uint64(c.seq)}
}

// withShard is the copy after a decision on its shard.
func (c shardCopy) withShard(next consensus.ShardState) shardCopy {
	c.promised, c.installed, c.seq = uint8(next.Promised), uint8(next.Installed), uint8(next.Seq)
	c.leader = 0
	for place, name := range leaderNames {
		if name == next.Leader {
			c.leader = uint8(place) + 1
		}
	}
	return c
}

func leaderName(place uint8) string {
	if place == 0 {
		return ""
	}
	return leaderNames[place-1]
}

// judge asks a replica whether it may act for a leader's attempt.
func (w *Replication) judge(state *ReplicationState, epoch, leader, replica uint8) bool {
	self := consensus.Identity{ID: replicaNames[replica], SetVersion: setVersion}
	if state.replicas[replica].wiped {
		self.ID = wipedName
	}
	claim := consensus.Claim{Epoch: uint64(epoch), Leader: leaderNames[leader], SetVersion: setVersion, Replica: replicaNames[replica]}
	return w.Rules.CheckClaim(self, state.replicas[replica].memory.shard(), claim) == consensus.Accepted
}
