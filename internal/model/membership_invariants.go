package model

import (
	"bytes"
	"fmt"
	"slices"

	"fordseam/internal/consensus"
)

// Violation returns the name of the violated invariant, if any.
func (m *Membership) Violation(state *MembershipState) string {
	switch {
	case state.violation != noViolation:
		return invariantNames[state.violation]
	case !m.majoritiesIntersect(state):
		return MajoritiesIntersect
	case !m.recoverable(state):
		return NoAcknowledgedLoss
	}
	return ""
}

// inForce reports whether a majority of a version's voters may still use it.
func (m *Membership) inForce(state *MembershipState, version uint8) bool {
	if version > state.maxAdopted {
		return false
	}
	voters := state.sets[version].voters
	return countBits(int(m.availableVoters(state, version))) >= consensus.Majority(countBits(int(voters)))
}

// availableVoters returns the voters of a version that accept messages of a
// leader that uses it, now or after they adopt a newer version.
func (m *Membership) availableVoters(state *MembershipState, version uint8) replicaMask {
	available := replicaMask(0)
	for replicaIndex := range m.replicaCount() {
		replica := &state.members[replicaIndex]
		if state.sets[version].voters.has(replicaIndex) && !replica.wiped && m.mayAnswer(replica.setVersion, version, state.newestVersion()) {
			available |= 1 << replicaIndex
		}
	}
	return available
}

// mayAnswer reports whether a replica accepts the claim of a new leader that uses
// a version, under the version that the replica has adopted or under any from
// there up to the newest.
func (m *Membership) mayAnswer(adopted, version, newest uint8) bool {
	claim := consensus.Claim{Epoch: uint64(m.Epochs) + 1, SetVersion: uint64(version), Replica: replicaNames[0]}
	for ; adopted <= newest; adopted++ {
		self := consensus.Identity{ID: replicaNames[0], SetVersion: uint64(adopted)}
		if m.Rules.CheckClaim(self, consensus.ShardState{}, claim) == consensus.Accepted {
			return true
		}
	}
	return false
}

// majoritiesIntersect reports whether, for any two sets in force, each majority
// of one has a voter in common with each majority of the other.
func (m *Membership) majoritiesIntersect(state *MembershipState) bool {
	for older := uint8(1); older < state.newestVersion(); older++ {
		for newer := older + 1; newer <= state.newestVersion(); newer++ {
			if !m.inForce(state, older) || !m.inForce(state, newer) {
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

// recoverable reports whether, under any version of the set, each majority that a
// new leader may ask leads it to content with everything that clients observed.
func (m *Membership) recoverable(state *MembershipState) bool {
	if state.observed.length == 0 {
		return true
	}
	for version := uint8(1); version <= state.newestVersion(); version++ {
		available := int(m.availableVoters(state, version))
		quorum := m.Rules.PromiseQuorum(countBits(int(state.sets[version].voters)))
		for subset := range 1 << m.replicaCount() {
			if subset&^available == 0 && countBits(subset) == quorum && !m.recoversObserved(state, subset) {
				return false
			}
		}
	}
	return true
}

// recoversObserved reports whether the newest content of a subset of the replicas
// contains everything that clients observed.
func (m *Membership) recoversObserved(state *MembershipState, subset int) bool {
	var newest shardCopy
	first := true
	for replicaIndex := range m.replicaCount() {
		if subset&(1<<replicaIndex) == 0 {
			continue
		}
		shard := state.members[replicaIndex].shard
		if first || m.Rules.Newer(shard.position(), newest.position()) {
			newest, first = shard, false
		}
	}
	return state.observed.containedIn(newest.content, newest.seq)
}

// Key appends the state with the replicas sorted by their keys, since replicas
// are interchangeable.
func (m *Membership) Key(state *MembershipState, key []byte) []byte {
	for leaderIndex := range state.leaders[:m.Leaders] {
		leader := &state.leaders[leaderIndex]
		key = append(key, leader.epoch, leader.setVersion, leader.promiseSetVersion, boolToByte(leader.contentChosen), boolToByte(leader.serving),
			leader.base, leader.tail, leader.committed, uint8(leader.content),
			boolToByte(leader.read.active), leader.read.version, leader.read.observedLength, leader.readSetVersion)
	}
	key = append(key, state.confirmedBy[:m.Epochs]...)
	key = append(key, state.current, state.proposed, boolToByte(state.settled), state.maxAdopted,
		state.observed.length, uint8(state.observed.history), state.wipes, uint8(state.violation))

	var parts [maxReplicas][]byte
	var buffer [maxReplicas * maxMemberKey]byte
	count := int(m.replicaCount())
	for replicaIndex := range count {
		parts[replicaIndex] = m.memberKey(state, uint8(replicaIndex), buffer[replicaIndex*maxMemberKey:replicaIndex*maxMemberKey])
	}
	slices.SortFunc(parts[:count], bytes.Compare)
	for _, part := range parts[:count] {
		key = append(key, part...)
	}
	return key
}

// maxMemberKey bounds the length of a memberKey.
const maxMemberKey = 10 + maxSetVersions + 14*maxLeaders

// memberKey appends all state that belongs to one replica.
func (m *Membership) memberKey(state *MembershipState, replicaIndex uint8, key []byte) []byte {
	replica := &state.members[replicaIndex]
	shard := replica.shard
	key = append(key, shard.promisedEpoch, shard.leader, shard.installedEpoch, shard.seq, uint8(shard.content), replica.setVersion, boolToByte(replica.wiped),
		boolToByte(state.adoptedBy.has(replicaIndex)), boolToByte(state.filledLearners.has(replicaIndex)))
	for version := 1; version <= m.SetVersions; version++ {
		key = append(key, boolToByte(state.sets[version].voters.has(replicaIndex))|boolToByte(state.sets[version].learners.has(replicaIndex))<<1)
	}
	for leaderIndex := range state.leaders[:m.Leaders] {
		leader := &state.leaders[leaderIndex]
		reply, progress := leader.promises[replicaIndex], leader.replicas[replicaIndex]
		key = append(key, boolToByte(reply.received), reply.installedEpoch, reply.seq, uint8(reply.content),
			boolToByte(progress.installed)|boolToByte(progress.unresponsive)<<1|boolToByte(progress.answer.inFlight)<<2, progress.acked, progress.setVersion,
			progress.answer.setVersion, progress.answer.seq, leader.read.confirmedBy>>replicaIndex&1)
	}
	return key
}

// Describe returns a step's line in a trace.
func (m *Membership) Describe(step Step) string {
	first, second, third := step.Operands[0], step.Operands[1], step.Operands[2]
	switch step.Kind {
	case stepPromise:
		return fmt.Sprintf("replica %d promises epoch %d to leader %d", third, second, first)
	case stepDeliver:
		kinds := [...]string{"nothing", "a probe", "a snapshot", "entries"}
		return fmt.Sprintf("replica %d receives %s from leader %d, epoch %d, and answers", third, kinds[step.Operands[3]], first, second)
	case stepAnswerArrives:
		return fmt.Sprintf("the answer of replica %d reaches leader %d, epoch %d", third, first, second)
	case stepLostRequest:
		return fmt.Sprintf("a message of leader %d, epoch %d, to replica %d is lost", first, second, third)
	case stepLostAnswer:
		return fmt.Sprintf("the answer of replica %d to leader %d, epoch %d, is lost", third, first, second)
	case stepLearnSet:
		return fmt.Sprintf("leader %d learns of set version %d", first, second)
	case stepProposeSet:
		return fmt.Sprintf("set version %d is proposed: voters %s, learners %s", third, formatReplicas(first), formatReplicas(second))
	case stepAdoptSet:
		return fmt.Sprintf("replica %d adopts set version %d", first, second)
	case stepConcludeChange:
		return fmt.Sprintf("the change to set version %d is concluded", first)
	case stepCensus:
		return fmt.Sprintf("leader %d, epoch %d, reports which replicas hold its whole shard", first, second)
	}
	return (&Replication{}).Describe(step)
}
