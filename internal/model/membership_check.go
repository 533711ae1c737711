// The invariants of a changing set, and its states and steps told apart.

package model

import (
	"bytes"
	"fmt"
	"slices"

	"fordseam/internal/consensus"
)

// Violation names the invariant that is broken.
func (w *Membership) Violation(state *MembershipState) string {
	switch {
	case state.broken != holds:
		return invariantNames[state.broken]
	case !w.majoritiesShare(state):
		return MajoritiesIntersect
	case !w.recoverable(state):
		return NoAcknowledgedLoss
	}
	return ""
}

// inForce tells that a majority of a version's voters may still go by it.
func (w *Membership) inForce(state *MembershipState, version uint8) bool {
	if version > state.adopted {
		return false
	}
	voters := state.sets[version].voters
	return countBits(int(w.available(state, version))) >= consensus.Majority(countBits(int(voters)))
}

// available are a version's voters that may answer a leader that goes by it,
// now or once they adopted another set.
func (w *Membership) available(state *MembershipState, version uint8) replicaMask {
	available := replicaMask(0)
	for place := range w.places() {
		replica := &state.members[place]
		if state.sets[version].voters.has(place) && !replica.wiped && w.mayAnswer(replica.set, version, state.newest()) {
			available |= 1 << place
		}
	}
	return available
}

// mayAnswer tells that a replica that has adopted one version, and may adopt
// any up to the newest, answers a new leader that goes by another.
func (w *Membership) mayAnswer(adopted, version, newest uint8) bool {
	claim := consensus.Claim{Epoch: uint64(w.Epochs) + 1, SetVersion: uint64(version), Replica: replicaNames[0]}
	for ; adopted <= newest; adopted++ {
		self := consensus.Identity{ID: replicaNames[0], SetVersion: uint64(adopted)}
		if w.Rules.CheckClaim(self, consensus.ShardState{}, claim) == consensus.Accepted {
			return true
		}
	}
	return false
}

// majoritiesShare tells that any two sets in force share a voter in any two
// majorities.
func (w *Membership) majoritiesShare(state *MembershipState) bool {
	for older := uint8(1); older < state.newest(); older++ {
		for newer := older + 1; newer <= state.newest(); newer++ {
			if !w.inForce(state, older) || !w.inForce(state, newer) {
				continue
			}
			first, second := int(state.sets[older].voters), int(state.sets[newer].voters)
			needed := consensus.Majority(countBits(first)) + consensus.Majority(countBits(second))
			if needed <= countBits(first|second) {
				return false
			}
		}
	}
	return true
}

// recoverable tells that each majority that a new leader may ask, under any
// version, leads it to all that clients were told of.
func (w *Membership) recoverable(state *MembershipState) bool {
	if state.told.length == 0 {
		return true
	}
	for version := uint8(1); version <= state.newest(); version++ {
		available := int(w.available(state, version))
		quorum := w.Rules.PromiseQuorum(countBits(int(state.sets[version].voters)))
		for members := range 1 << w.places() {
			if members&^available == 0 && countBits(members) == quorum && !w.leadsToAll(state, members) {
				return false
			}
		}
	}
	return true
}

// leadsToAll tells that the newest content of these replicas has all that
// clients were told of.
func (w *Membership) leadsToAll(state *MembershipState, members int) bool {
	var newest shardCopy
	first := true
	for place := range w.places() {
		if members&(1<<place) == 0 {
			continue
		}
		held := state.members[place].held
		if first || w.Rules.Newer(held.position(), newest.position()) {
			newest, first = held, false
		}
	}
	return state.told.within(newest.content, newest.seq)
}

// Key appends the state with its replicas in an order of their own.
func (w *Membership) Key(state *MembershipState, key []byte) []byte {
	for leader := range state.leaders[:w.Leaders] {
		owner := &state.leaders[leader]
		key = append(key, owner.epoch, owner.set, owner.askedAt, flag(owner.taken), flag(owner.serving),
			owner.base, owner.tail, owner.committed, uint8(owner.content),
			flag(owner.read.active), owner.read.version, owner.read.floor, owner.readSet)
	}
	key = append(key, state.confirmedBy[:w.Epochs]...)
	key = append(key, state.current, state.proposed, flag(state.settled), state.adopted,
		state.told.length, uint8(state.told.history), state.wipes, uint8(state.broken))

	var parts [maxReplicas][]byte
	var room [maxReplicas * maxMemberKey]byte
	count := int(w.places())
	for place := range count {
		parts[place] = w.memberKey(state, uint8(place), room[place*maxMemberKey:place*maxMemberKey])
	}
	slices.SortFunc(parts[:count], bytes.Compare)
	for _, part := range parts[:count] {
		key = append(key, part...)
	}
	return key
}

// maxMemberKey bounds what tells one replica of a set from another.
const maxMemberKey = 10 + maxSets + 14*maxLeaders

// memberKey appends all that concerns one replica.
func (w *Membership) memberKey(state *MembershipState, place uint8, key []byte) []byte {
	replica := &state.members[place]
	held := replica.held
	key = append(key, held.promised, held.leader, held.installed, held.seq, uint8(held.content), replica.set, flag(replica.wiped),
		flag(state.took.has(place)), flag(state.filled.has(place)))
	for version := 1; version <= w.SetVersions; version++ {
		key = append(key, flag(state.sets[version].voters.has(place))|flag(state.sets[version].learners.has(place))<<1)
	}
	for leader := range state.leaders[:w.Leaders] {
		owner := &state.leaders[leader]
		reply, about := owner.promises[place], owner.replicas[place]
		key = append(key, flag(reply.given), reply.installed, reply.seq, uint8(reply.content),
			flag(about.installed)|flag(about.mute)<<1|flag(about.answer.underWay)<<2, about.acked, about.set,
			about.answer.set, about.answer.seq, owner.read.confirmed>>place&1)
	}
	return key
}

// Describe puts a step into words.
func (w *Membership) Describe(step Step) string {
	first, second, third := step.Operands[0], step.Operands[1], step.Operands[2]
	switch step.Kind {
	case stepPromise:
		return fmt.Sprintf("replica %d promises epoch %d to leader %d", third, second, first)
	case stepExchange:
		kinds := [...]string{"nothing", "a probe", "a snapshot", "entries"}
		return fmt.Sprintf("replica %d gets %s of leader %d, epoch %d; its answer is on its way", third, kinds[step.Operands[3]], first, second)
	case stepAnswer:
		return fmt.Sprintf("the answer of replica %d reaches leader %d, epoch %d", third, first, second)
	case stepLostRequest:
		return fmt.Sprintf("a message of leader %d, epoch %d, to replica %d is lost", first, second, third)
	case stepLostAnswer:
		return fmt.Sprintf("the answer of replica %d to leader %d, epoch %d, is lost", third, first, second)
	case stepLearn:
		return fmt.Sprintf("leader %d learns of set %d", first, second)
	case stepPropose:
		return fmt.Sprintf("set %d is proposed: voters %s, learners %s", third, members(first), members(second))
	case stepAdopt:
		return fmt.Sprintf("replica %d adopts set %d", first, second)
	case stepConclude:
		return fmt.Sprintf("set %d is concluded", first)
	case stepCensus:
		return fmt.Sprintf("leader %d, epoch %d, tells how whole its shard is", first, second)
	}
	return (&Replication{}).Describe(step)
}
