package model

import (
	"fordseam/internal/consensus"
)

// censusSteps lets a serving leader report whether a majority holds its whole
// shard, and which learners do. On this report, a change of the set is settled
// and a learner may get a vote.
func (m *Membership) censusSteps(state *MembershipState, leaderIndex uint8, visit func(Step, *MembershipState)) {
	leader := &state.leaders[leaderIndex]
	if !leader.serving || leader.setVersion != state.current || state.proposed != 0 {
		return
	}
	next := *state
	committed, version := uint64(leader.committed), uint64(leader.setVersion)
	next.settled = state.settled || m.Rules.Settled(committed, version, state.voterProgress(leaderIndex, leader.setVersion))
	for replicaIndex := range m.replicaCount() {
		if state.sets[leader.setVersion].learners.has(replicaIndex) && leader.replicas[replicaIndex].toConsensus().AckedUnder(committed, version) {
			next.filledLearners |= 1 << replicaIndex
		}
	}
	if next.settled != state.settled || next.filledLearners != state.filledLearners {
		visit(Step{stepCensus, [4]uint8{leaderIndex, leader.epoch}}, &next)
	}
}

// proposalSteps proposes each possible next version of the set: a spare is added
// as a learner, a filled learner is promoted to a voter, a voter is removed, or a
// voter is replaced by a filled learner, or by a spare as a learner (a blank disk
// at the voter's address).
func (m *Membership) proposalSteps(state *MembershipState, visit func(Step, *MembershipState)) {
	if int(state.newestVersion()) >= m.SetVersions {
		return
	}
	current := state.sets[state.current]
	for replicaIndex := range m.replicaCount() {
		bit := replicaMask(1) << replicaIndex
		switch {
		case current.voters.has(replicaIndex):
			m.proposeSet(state, setMembers{current.voters &^ bit, current.learners}, visit)
			for spare := range m.replicaCount() {
				if m.isSpare(state, spare) {
					m.proposeSet(state, setMembers{current.voters &^ bit, current.learners | 1<<spare}, visit)
				}
			}
		case current.learners.has(replicaIndex):
			if state.filledLearners.has(replicaIndex) {
				m.proposeSet(state, setMembers{current.voters | bit, current.learners &^ bit}, visit)
				for other := range m.replicaCount() {
					if current.voters.has(other) {
						m.proposeSet(state, setMembers{current.voters&^(1<<other) | bit, current.learners &^ bit}, visit)
					}
				}
			}
		case m.isSpare(state, replicaIndex):
			m.proposeSet(state, setMembers{current.voters, current.learners | bit}, visit)
		}
	}
}

// isSpare reports whether a replica is not in the current set and not wiped. It
// may be blank, or have been removed and still hold its content.
func (m *Membership) isSpare(state *MembershipState, replicaIndex uint8) bool {
	current := state.sets[state.current]
	return !(current.voters | current.learners).has(replicaIndex) && !state.members[replicaIndex].wiped
}

// proposeSet makes a set the proposed one, if the record accepts the proposal.
func (m *Membership) proposeSet(state *MembershipState, set setMembers, visit func(Step, *MembershipState)) {
	if countBits(int(set.voters)) < minVoters {
		return
	}
	next := *state
	version := state.newestVersion() + 1
	next.sets[version] = set
	if m.Rules.CheckProposal(state.setRecord(), next.replicaSet(version)) != consensus.ProposalAccepted {
		return
	}
	next.proposed = version
	next.adoptedBy = 0
	visit(Step{stepProposeSet, [4]uint8{uint8(set.voters), uint8(set.learners), version}}, &next)
}

// adoptionSteps lets replicas adopt sets, and concludes the pending change once
// enough replicas have adopted the proposed set.
func (m *Membership) adoptionSteps(state *MembershipState, visit func(Step, *MembershipState)) {
	for version := uint8(1); version <= state.newestVersion(); version++ {
		for replicaIndex := range m.replicaCount() {
			m.adoptSet(state, replicaIndex, version, visit)
		}
	}
	if state.proposed == 0 {
		return
	}
	adopted := func(id string) bool {
		for replicaIndex, name := range replicaNames {
			if name == id {
				return state.adoptedBy.has(uint8(replicaIndex))
			}
		}
		return false
	}
	if m.Rules.Adopted(state.replicaSet(state.current), state.replicaSet(state.proposed), adopted) {
		next := *state
		next.current, next.proposed, next.settled = state.proposed, 0, false
		next.adoptedBy, next.filledLearners = 0, 0
		visit(Step{stepConcludeChange, [4]uint8{next.current}}, &next)
	}
}

// adoptSet lets a replica adopt a version of the set, if it is a member of that
// version or is being removed by the pending change. A removed replica drops its
// content.
func (m *Membership) adoptSet(state *MembershipState, replicaIndex, version uint8, visit func(Step, *MembershipState)) {
	replica := state.members[replicaIndex]
	inSet := (state.sets[version].voters | state.sets[version].learners).has(replicaIndex)
	leaving := version == state.proposed && (state.sets[state.current].voters | state.sets[state.current].learners).has(replicaIndex)
	if replica.wiped || !inSet && !leaving {
		return
	}
	var before *consensus.ReplicaSet
	if replica.setVersion > 0 {
		set := state.replicaSet(replica.setVersion)
		before = &set
	}
	if m.Rules.CheckSet(before, state.replicaSet(version)) != consensus.Accepted {
		return
	}
	next := *state
	next.members[replicaIndex].setVersion = version
	if !inSet {
		next.members[replicaIndex].shard = shardCopy{}
	}
	if version == state.proposed {
		next.adoptedBy |= 1 << replicaIndex
	}
	next.maxAdopted = max(state.maxAdopted, version)
	if next.members[replicaIndex] != state.members[replicaIndex] || next.adoptedBy != state.adoptedBy {
		visit(Step{stepAdoptSet, [4]uint8{replicaIndex, version}}, &next)
	}
}

// wipeSteps lets a replica lose its disk, as long as the fault budget allows it.
func (m *Membership) wipeSteps(state *MembershipState, visit func(Step, *MembershipState)) {
	if int(state.wipes) >= m.Wipes || m.lostReplicas(state) >= m.FaultBudget {
		return
	}
	for replicaIndex := range m.replicaCount() {
		if state.members[replicaIndex].wiped || state.members[replicaIndex].setVersion == 0 {
			continue
		}
		next := *state
		next.members[replicaIndex] = member{wiped: true}
		next.wipes++
		visit(Step{stepWipe, [4]uint8{replicaIndex}}, &next)
	}
}

// lostReplicas counts the wiped replicas that are not yet replaced: those that
// are voters, and all of them while a change is not settled or the set has fewer
// voters than the first one.
func (m *Membership) lostReplicas(state *MembershipState) int {
	count, voters := 0, state.sets[state.current].voters
	unsettled := !state.settled || state.proposed != 0
	for replicaIndex := range m.replicaCount() {
		if state.members[replicaIndex].wiped && (voters.has(replicaIndex) || unsettled || countBits(int(voters)) < m.Voters) {
			count++
		}
	}
	return count
}
