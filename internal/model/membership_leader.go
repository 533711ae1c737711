package model

import (
	"fordseam/internal/consensus"
)

// Steps visits the state after each possible step of the leaders, the replicas
// and the record of the set.
func (m *Membership) Steps(state *MembershipState, visit func(Step, *MembershipState)) {
	for leaderIndex := range uint8(m.Leaders) {
		m.startSteps(state, leaderIndex, visit)
		m.learnSetSteps(state, leaderIndex, visit)
		leader := &state.leaders[leaderIndex]
		if leader.epoch == 0 {
			continue
		}
		m.takeoverSteps(state, leaderIndex, visit)
		m.replicationSteps(state, leaderIndex, visit)
		m.writeSteps(state, leaderIndex, visit)
		m.readSteps(state, leaderIndex, visit)
		m.censusSteps(state, leaderIndex, visit)
	}
	m.proposalSteps(state, visit)
	m.adoptionSteps(state, visit)
	m.wipeSteps(state, visit)
}

// startSteps lets a leader start an attempt to take over the shard, under any
// higher epoch.
func (m *Membership) startSteps(state *MembershipState, leaderIndex uint8, visit func(Step, *MembershipState)) {
	for epoch := state.leaders[leaderIndex].epoch + 1; int(epoch) <= m.Epochs; epoch++ {
		if m.SingleAttempt && epoch != leaderIndex+1 {
			continue
		}
		next := *state
		set := state.leaders[leaderIndex].setVersion
		next.leaders[leaderIndex] = membershipLeader{epoch: epoch, setVersion: set, promiseSetVersion: set}
		visit(Step{stepStart, [4]uint8{leaderIndex, epoch}}, &next)
	}
}

// learnSetSteps lets a leader learn of a newer set that some replica has adopted.
func (m *Membership) learnSetSteps(state *MembershipState, leaderIndex uint8, visit func(Step, *MembershipState)) {
	for version := state.leaders[leaderIndex].setVersion + 1; version <= state.maxAdopted; version++ {
		next := *state
		next.leaders[leaderIndex].setVersion = version
		visit(Step{stepLearnSet, [4]uint8{leaderIndex, version}}, &next)
	}
}

// acceptsClaim reports whether a replica accepts messages of a leader that uses a
// version of the set.
func (m *Membership) acceptsClaim(state *MembershipState, leaderIndex, replicaIndex, version uint8) bool {
	replica := &state.members[replicaIndex]
	self := consensus.Identity{ID: replicaNames[replicaIndex], SetVersion: uint64(replica.setVersion)}
	if replica.wiped {
		self.ID = wipedReplicaName
	}
	claim := consensus.Claim{Epoch: uint64(state.leaders[leaderIndex].epoch), Leader: leaderNames[leaderIndex], SetVersion: uint64(version), Replica: replicaNames[replicaIndex]}
	return m.Rules.CheckClaim(self, replica.shard.state(), claim) == consensus.Accepted
}

// takeoverSteps collects promises from the voters, and has the leader choose the
// newest content among those of a majority.
func (m *Membership) takeoverSteps(state *MembershipState, leaderIndex uint8, visit func(Step, *MembershipState)) {
	leader := &state.leaders[leaderIndex]
	if leader.contentChosen {
		return
	}
	voters := state.sets[leader.promiseSetVersion].voters
	for replicaIndex := range m.replicaCount() {
		if !voters.has(replicaIndex) || leader.promises[replicaIndex].received || !m.acceptsClaim(state, leaderIndex, replicaIndex, leader.promiseSetVersion) {
			continue
		}
		next := *state
		replica := &next.members[replicaIndex]
		replica.shard = replica.shard.withState(replica.shard.state().Promise(uint64(leader.epoch), leaderNames[leaderIndex]))
		next.leaders[leaderIndex].promises[replicaIndex] = promiseReply{received: true, installedEpoch: replica.shard.installedEpoch, seq: replica.shard.seq, content: replica.shard.content}
		visit(Step{stepPromise, [4]uint8{leaderIndex, leader.epoch, replicaIndex}}, &next)
	}
	quorum := m.Rules.PromiseQuorum(countBits(int(voters)))
	for subset := range 1 << m.replicaCount() {
		if subset&^int(voters) != 0 || countBits(subset) != quorum {
			continue
		}
		newest, complete := newestPromise(m.Rules.Newer, &leader.promises, subset)
		if !complete {
			continue
		}
		next := *state
		nextLeader := &next.leaders[leaderIndex]
		nextLeader.contentChosen, nextLeader.base, nextLeader.tail, nextLeader.content = true, newest.seq, newest.seq, newest.content
		nextLeader.promises = [maxReplicas]promiseReply{}
		visit(Step{stepChooseContent, [4]uint8{leaderIndex, leader.epoch, uint8(subset)}}, &next)
	}
}

// replicationSteps delivers or loses the next message, or the answer in flight, of
// each replica in the set that the leader knows.
func (m *Membership) replicationSteps(state *MembershipState, leaderIndex uint8, visit func(Step, *MembershipState)) {
	leader := &state.leaders[leaderIndex]
	if !leader.contentChosen {
		return
	}
	set := state.sets[leader.setVersion]
	for replicaIndex := range m.replicaCount() {
		progress := &leader.replicas[replicaIndex]
		if progress.answer.inFlight {
			m.answerSteps(state, leaderIndex, replicaIndex, visit)
			continue
		}
		if !(set.voters | set.learners).has(replicaIndex) {
			continue
		}
		kind := progress.toConsensus().Next(uint64(leader.base)+1, uint64(leader.tail), uint64(leader.setVersion))
		if kind == consensus.SendNothing {
			continue
		}
		m.deliver(state, leaderIndex, replicaIndex, kind, visit)
		if m.MessageLoss && !progress.unresponsive {
			next := *state
			nextProgress := &next.leaders[leaderIndex].replicas[replicaIndex]
			nextProgress.unresponsive = true
			nextProgress.installed = nextProgress.installed && kind != consensus.SendSnapshot
			visit(Step{stepLostRequest, [4]uint8{leaderIndex, leader.epoch, replicaIndex}}, &next)
		}
	}
}

// deliver lets a replica apply the leader's next message and answer it.
func (m *Membership) deliver(state *MembershipState, leaderIndex, replicaIndex uint8, kind consensus.MessageKind, visit func(Step, *MembershipState)) {
	leader := &state.leaders[leaderIndex]
	if !m.acceptsClaim(state, leaderIndex, replicaIndex, leader.setVersion) {
		return
	}
	next := *state
	replica, progress := &next.members[replicaIndex], &next.leaders[leaderIndex].replicas[replicaIndex]
	epoch := uint64(leader.epoch)
	if kind == consensus.SendSnapshot {
		progress.installed = false
		shard, applied := m.Rules.Install(replica.shard.state(), epoch, leaderNames[leaderIndex], uint64(leader.tail))
		if applied {
			replica.shard = replica.shard.withState(shard)
			replica.shard.content = leader.content
		}
	} else {
		first := uint64(0)
		if kind == consensus.SendEntries {
			first = uint64(progress.acked) + 1
		}
		if m.Rules.CheckAppend(replica.shard.state(), epoch, first) != consensus.Accepted {
			progress.installed, progress.unresponsive = false, false
			visit(Step{stepDeliver, [4]uint8{leaderIndex, leader.epoch, replicaIndex, uint8(kind)}}, &next)
			return
		}
		for seq := first; seq > 0 && seq <= uint64(leader.tail); seq++ {
			shard, applied := replica.shard.state().Append(epoch, seq)
			if applied {
				replica.shard = replica.shard.withState(shard)
				replica.shard.content = leader.content.prefix(uint8(seq))
			}
		}
	}
	progress.answer = answerState{inFlight: true, setVersion: leader.setVersion, seq: replica.shard.seq}
	if m.ImmediateAnswers {
		m.receiveAnswer(&next, leaderIndex, replicaIndex)
	}
	visit(Step{stepDeliver, [4]uint8{leaderIndex, leader.epoch, replicaIndex, uint8(kind)}}, &next)
}

// answerSteps delivers a replica's answer to the leader, or loses it.
func (m *Membership) answerSteps(state *MembershipState, leaderIndex, replicaIndex uint8, visit func(Step, *MembershipState)) {
	leader := &state.leaders[leaderIndex]
	next := *state
	m.receiveAnswer(&next, leaderIndex, replicaIndex)
	visit(Step{stepAnswerArrives, [4]uint8{leaderIndex, leader.epoch, replicaIndex}}, &next)
	if m.MessageLoss {
		next := *state
		next.leaders[leaderIndex].replicas[replicaIndex].answer = answerState{}
		next.leaders[leaderIndex].replicas[replicaIndex].unresponsive = true
		visit(Step{stepLostAnswer, [4]uint8{leaderIndex, leader.epoch, replicaIndex}}, &next)
	}
}

// receiveAnswer applies a replica's answer to the leader's progress.
func (m *Membership) receiveAnswer(next *MembershipState, leaderIndex, replicaIndex uint8) {
	progress := &next.leaders[leaderIndex].replicas[replicaIndex]
	answer := progress.answer
	progress.answer = answerState{}
	*progress = progress.withProgress(progress.toConsensus().Acknowledge(uint64(answer.seq), uint64(answer.setVersion)))
	m.updateCommitted(next, leaderIndex, answer.setVersion)
}

// updateCommitted determines what is committed after the answer to a message that
// was sent under a version of the set, and acknowledges it to the clients.
func (m *Membership) updateCommitted(state *MembershipState, leaderIndex, messageVersion uint8) {
	leader := &state.leaders[leaderIndex]
	version := m.Rules.CountingVersion(messageVersion, leader.setVersion)
	committed, reached := m.Rules.Committed(uint64(leader.committed), uint64(version), state.voterProgress(leaderIndex, version))
	if !reached {
		return
	}
	leader.serving, leader.committed = true, uint8(committed)
	m.recordConfirmation(state, leaderIndex)
	if !state.observed.record(leader.content, leader.base, leader.committed) {
		state.violation = documentViolation
	}
}

// recordConfirmation records that a majority confirmed a leader under its epoch,
// and a violation if it was another leader before.
func (m *Membership) recordConfirmation(state *MembershipState, leaderIndex uint8) {
	confirmer := &state.confirmedBy[state.leaders[leaderIndex].epoch-1]
	if *confirmer != 0 && *confirmer != leaderIndex+1 {
		state.violation = leaderViolation
	}
	*confirmer = leaderIndex + 1
}

// writeSteps lets a serving leader append a client's document that builds on the
// leader's newest version.
func (m *Membership) writeSteps(state *MembershipState, leaderIndex uint8, visit func(Step, *MembershipState)) {
	leader := &state.leaders[leaderIndex]
	if !leader.serving {
		return
	}
	for index, base := range m.BaseVersions {
		document := uint8(index) + 1
		if base != leader.tail || leader.content.contains(document, leader.tail) {
			continue
		}
		next := *state
		nextLeader := &next.leaders[leaderIndex]
		nextLeader.content = nextLeader.content.withDocument(nextLeader.tail, document)
		nextLeader.tail++
		visit(Step{stepWrite, [4]uint8{leaderIndex, leader.epoch, document}}, &next)
	}
}

// readSteps lets a client start a read at a serving leader, and voters confirm
// it.
func (m *Membership) readSteps(state *MembershipState, leaderIndex uint8, visit func(Step, *MembershipState)) {
	leader := &state.leaders[leaderIndex]
	if !m.Reads || !leader.serving {
		return
	}
	if !leader.read.active {
		if leader.committed < leader.tail {
			return
		}
		next := *state
		nextLeader := &next.leaders[leaderIndex]
		nextLeader.read = readState{active: true, version: leader.tail, observedLength: state.observed.length}
		nextLeader.readSetVersion = leader.setVersion
		m.completeRead(&next, leaderIndex)
		visit(Step{stepRead, [4]uint8{leaderIndex, leader.epoch}}, &next)
		return
	}
	for replicaIndex := range m.replicaCount() {
		if !state.sets[leader.readSetVersion].voters.has(replicaIndex) || leader.read.confirmedBy&(1<<replicaIndex) != 0 || !m.acceptsClaim(state, leaderIndex, replicaIndex, leader.readSetVersion) {
			continue
		}
		next := *state
		next.leaders[leaderIndex].read.confirmedBy |= 1 << replicaIndex
		m.completeRead(&next, leaderIndex)
		visit(Step{stepConfirmRead, [4]uint8{leaderIndex, leader.epoch, replicaIndex}}, &next)
	}
}

// completeRead answers the read if enough voters have confirmed it.
func (m *Membership) completeRead(state *MembershipState, leaderIndex uint8) {
	leader := &state.leaders[leaderIndex]
	quorum := m.Rules.ReadQuorum(countBits(int(state.sets[leader.readSetVersion].voters)))
	if countBits(int(leader.read.confirmedBy)) < quorum {
		return
	}
	if leader.read.version < leader.read.observedLength {
		state.violation = readViolation
	}
	if !state.observed.record(leader.content, 0, leader.read.version) {
		state.violation = documentViolation
	}
	leader.read, leader.readSetVersion = readState{}, 0
}
