package model

import (
	"bytes"
	"fmt"
	"slices"
)

// Key appends the state with the replicas sorted by their keys, since replicas
// are interchangeable.
func (r *Replication) Key(state *ReplicationState, key []byte) []byte {
	for leaderIndex := range state.leaders[:r.Leaders] {
		leader := &state.leaders[leaderIndex]
		key = append(key, leader.epoch, leader.highestEpoch, boolToByte(leader.serving), leader.committed,
			boolToByte(leader.read.active), leader.read.version, leader.read.observedLength)
	}
	for epoch := range state.attempts[:r.Epochs] {
		for leaderIndex := range state.attempts[epoch][:r.Leaders] {
			attempt := &state.attempts[epoch][leaderIndex]
			key = append(key, boolToByte(attempt.started), boolToByte(attempt.contentChosen), attempt.base, attempt.tail, uint8(attempt.content))
		}
		key = append(key, state.confirmedBy[epoch])
	}
	key = append(key, state.observed.length, uint8(state.observed.history), state.wipes, uint8(state.violation))

	var parts [maxReplicas][]byte
	var buffer [maxReplicas * maxReplicaKey]byte
	for replicaIndex := range r.Replicas {
		parts[replicaIndex] = r.replicaKey(state, replicaIndex, buffer[replicaIndex*maxReplicaKey:replicaIndex*maxReplicaKey])
	}
	slices.SortFunc(parts[:r.Replicas], bytes.Compare)
	for _, part := range parts[:r.Replicas] {
		key = append(key, part...)
	}
	return key
}

// maxReplicaKey bounds the length of a replicaKey.
const maxReplicaKey = 16 + 6*maxEpochs*maxLeaders + maxLeaders

// replicaKey appends all state that belongs to one replica. Acknowledgements to
// an attempt that its leader has abandoned are left out: they have no effect.
func (r *Replication) replicaKey(state *ReplicationState, replicaIndex int, key []byte) []byte {
	replica := &state.replicas[replicaIndex]
	for _, shard := range [...]shardCopy{replica.memory, replica.durable} {
		key = append(key, shard.promisedEpoch, shard.leader, shard.installedEpoch, shard.seq, uint8(shard.content))
	}
	key = append(key, boolToByte(replica.wiped))
	for epoch := range state.attempts[:r.Epochs] {
		for leaderIndex := range state.attempts[epoch][:r.Leaders] {
			attempt := &state.attempts[epoch][leaderIndex]
			reply := attempt.promises[replicaIndex]
			key = append(key, boolToByte(reply.received), reply.installedEpoch, reply.seq, uint8(reply.content))
			if int(state.leaders[leaderIndex].epoch) == epoch+1 {
				key = append(key, attempt.acked[replicaIndex])
			}
		}
	}
	for leaderIndex := range state.leaders[:r.Leaders] {
		key = append(key, state.leaders[leaderIndex].read.confirmedBy>>replicaIndex&1)
	}
	return key
}

func boolToByte(set bool) uint8 {
	if set {
		return 1
	}
	return 0
}

// Describe returns a step's line in a trace.
func (r *Replication) Describe(step Step) string {
	leaderOrReplica, epoch, replica, detail := step.Operands[0], step.Operands[1], step.Operands[2], step.Operands[3]
	outcomeText := "; its answer arrives"
	if step.Kind == stepPromise && detail == outcomeUnsynced || step.Kind != stepPromise && detail>>4 == outcomeUnsynced {
		outcomeText = "; not yet synced, no answer"
	}
	switch step.Kind {
	case stepStart:
		return fmt.Sprintf("leader %d starts to take over the shard under epoch %d", leaderOrReplica, epoch)
	case stepPromise:
		return fmt.Sprintf("replica %d promises epoch %d to leader %d%s", replica, epoch, leaderOrReplica, outcomeText)
	case stepChooseContent:
		return fmt.Sprintf("leader %d chooses the newest content of replicas %s under epoch %d", leaderOrReplica, formatReplicas(replica), epoch)
	case stepInstall:
		return fmt.Sprintf("replica %d receives the snapshot up to %d from leader %d, epoch %d%s", replica, detail&15, leaderOrReplica, epoch, outcomeText)
	case stepAppend:
		return fmt.Sprintf("replica %d receives the entries starting at %d from leader %d, epoch %d%s", replica, detail&15, leaderOrReplica, epoch, outcomeText)
	case stepWrite:
		return fmt.Sprintf("leader %d appends document %d under epoch %d", leaderOrReplica, replica, epoch)
	case stepRead:
		return fmt.Sprintf("a client starts a read at leader %d, epoch %d", leaderOrReplica, epoch)
	case stepConfirmRead:
		return fmt.Sprintf("replica %d confirms epoch %d to leader %d", replica, epoch, leaderOrReplica)
	case stepPowerLoss:
		return fmt.Sprintf("replica %d loses power", leaderOrReplica)
	case stepWipe:
		return fmt.Sprintf("replica %d loses its disk", leaderOrReplica)
	case stepCrash:
		return fmt.Sprintf("leader %d restarts under the same name and loses its state", leaderOrReplica)
	}
	return fmt.Sprint("unknown step kind ", step.Kind)
}

// formatReplicas lists the indexes of the replicas in a bit mask.
func formatReplicas(mask uint8) string {
	var indexes []int
	for index := range maxReplicas {
		if mask&(1<<index) != 0 {
			indexes = append(indexes, index)
		}
	}
	return fmt.Sprint(indexes)
}
