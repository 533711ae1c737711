// States and steps of replication told apart.

package model

import (
	"bytes"
	"fmt"
	"slices"
)

// Key appends the state with its replicas in an order of their own: which of
// them is which makes no difference.
func (w *Replication) Key(state *ReplicationState, key []byte) []byte {
	for leader := range state.leaders[:w.Leaders] {
		owner := &state.leaders[leader]
		key = append(key, owner.epoch, owner.highest, flag(owner.serving), owner.committed,
			flag(owner.read.active), owner.read.version, owner.read.floor)
	}
	for epoch := range state.attempts[:w.Epochs] {
		for leader := range state.attempts[epoch][:w.Leaders] {
			try := &state.attempts[epoch][leader]
			key = append(key, flag(try.begun), flag(try.taken), try.base, try.tail, uint8(try.content))
		}
		key = append(key, state.confirmedBy[epoch])
	}
	key = append(key, state.told.length, uint8(state.told.history), state.wipes, uint8(state.broken))

	var parts [maxReplicas][]byte
	var room [maxReplicas * maxReplicaKey]byte
	for place := range w.Replicas {
		parts[place] = w.replicaKey(state, place, room[place*maxReplicaKey:place*maxReplicaKey])
	}
	slices.SortFunc(parts[:w.Replicas], bytes.Compare)
	for _, part := range parts[:w.Replicas] {
		key = append(key, part...)
	}
	return key
}

// maxReplicaKey bounds what tells one replica from another.
const maxReplicaKey = 16 + 6*maxEpochs*maxLeaders + maxLeaders

// replicaKey appends all that concerns one replica.
func (w *Replication) replicaKey(state *ReplicationState, place int, key []byte) []byte {
	replica := &state.replicas[place]
	for _, held := range [...]shardCopy{replica.memory, replica.durable} {
		key = append(key, held.promised, held.leader, held.installed, held.seq, uint8(held.content))
	}
	key = append(key, flag(replica.wiped))
	for epoch := range state.attempts[:w.Epochs] {
		for leader := range state.attempts[epoch][:w.Leaders] {
			try := &state.attempts[epoch][leader]
			reply := try.promises[place]
			key = append(key, flag(reply.given), reply.installed, reply.seq, uint8(reply.content))
			if int(state.leaders[leader].epoch) == epoch+1 {
				key = append(key, try.acked[place])
			}
		}
	}
	for leader := range state.leaders[:w.Leaders] {
		key = append(key, state.leaders[leader].read.confirmed>>place&1)
	}
	return key
}

func flag(set bool) uint8 {
	if set {
		return 1
	}
	return 0
}

// Describe puts a step into words.
func (w *Replication) Describe(step Step) string {
	who, epoch, replica, detail := step.Operands[0], step.Operands[1], step.Operands[2], step.Operands[3]
	how := "; it syncs and answers"
	if step.Kind == stepPromise && detail == unsynced || step.Kind != stepPromise && detail>>4 == unsynced {
		how = "; not yet synced"
	}
	switch step.Kind {
	case stepStart:
		return fmt.Sprintf("leader %d begins to take the shard under epoch %d", who, epoch)
	case stepPromise:
		return fmt.Sprintf("replica %d promises epoch %d to leader %d%s", replica, epoch, who, how)
	case stepTake:
		return fmt.Sprintf("leader %d takes the newest content of replicas %s under epoch %d", who, members(replica), epoch)
	case stepInstall:
		return fmt.Sprintf("replica %d gets the snapshot up to %d of leader %d, epoch %d%s", replica, detail&15, who, epoch, how)
	case stepAppend:
		return fmt.Sprintf("replica %d gets the entries from %d on of leader %d, epoch %d%s", replica, detail&15, who, epoch, how)
	case stepDecide:
		return fmt.Sprintf("leader %d decides on document %d under epoch %d", who, replica, epoch)
	case stepRead:
		return fmt.Sprintf("a client reads from leader %d, epoch %d", who, epoch)
	case stepConfirm:
		return fmt.Sprintf("replica %d confirms epoch %d to leader %d", replica, epoch, who)
	case stepPower:
		return fmt.Sprintf("replica %d loses power", who)
	case stepWipe:
		return fmt.Sprintf("replica %d loses its disk", who)
	case stepCrash:
		return fmt.Sprintf("leader %d is restarted under the same name", who)
	}
	return fmt.Sprint("step ", step.Kind)
}

// members lists the places of a set of replicas.
func members(set uint8) string {
	var places []int
	for place := range maxReplicas {
		if set&(1<<place) != 0 {
			places = append(places, place)
		}
	}
	return fmt.Sprint(places)
}
