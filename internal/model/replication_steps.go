package model

import (
	"fordseam/internal/consensus"
)

// Steps visits the state after each possible step of the leaders and the
// replicas.
func (r *Replication) Steps(state *ReplicationState, visit func(Step, *ReplicationState)) {
	for leaderIndex := range uint8(r.Leaders) {
		r.startSteps(state, leaderIndex, visit)
		r.writeSteps(state, leaderIndex, visit)
		r.readSteps(state, leaderIndex, visit)
		for epoch := uint8(1); int(epoch) <= r.Epochs; epoch++ {
			if state.attempts[epoch-1][leaderIndex].started {
				r.messageSteps(state, epoch, leaderIndex, visit)
			}
		}
	}
	r.faultSteps(state, visit)
}

// startSteps lets a leader start an attempt to take over the shard, under any
// higher epoch that it may have learned of, or crash.
func (r *Replication) startSteps(state *ReplicationState, leaderIndex uint8, visit func(Step, *ReplicationState)) {
	for epoch := state.leaders[leaderIndex].highestEpoch + 1; int(epoch) <= r.Epochs; epoch++ {
		next := *state
		next.leaders[leaderIndex] = leaderState{epoch: epoch, highestEpoch: epoch}
		next.attempts[epoch-1][leaderIndex] = leaderAttempt{started: true}
		visit(Step{stepStart, [4]uint8{leaderIndex, epoch}}, &next)
	}
	if r.LeaderCrashes && state.leaders[leaderIndex].highestEpoch > 0 && !r.Rules.UniqueLeaderNames {
		next := *state
		next.leaders[leaderIndex] = leaderState{}
		visit(Step{stepCrash, [4]uint8{leaderIndex}}, &next)
	}
}

// messageSteps delivers the messages that a leader sends under an epoch, and has
// the leader choose its content.
func (r *Replication) messageSteps(state *ReplicationState, epoch, leaderIndex uint8, visit func(Step, *ReplicationState)) {
	attempt := &state.attempts[epoch-1][leaderIndex]
	for replicaIndex := range uint8(r.Replicas) {
		if !r.acceptsClaim(state, epoch, leaderIndex, replicaIndex) {
			continue
		}
		for _, outcome := range r.outcomes() {
			r.deliverPromise(state, epoch, leaderIndex, replicaIndex, outcome, visit)
			if !attempt.contentChosen {
				continue
			}
			for seq := attempt.base; seq <= attempt.tail; seq++ {
				r.deliverSnapshot(state, epoch, leaderIndex, replicaIndex, seq, outcome, visit)
			}
			for first := attempt.base + 1; first <= attempt.tail; first++ {
				r.deliverEntries(state, epoch, leaderIndex, replicaIndex, first, outcome, visit)
			}
		}
	}
	if state.leaders[leaderIndex].epoch == epoch && !attempt.contentChosen {
		r.chooseContentSteps(state, epoch, leaderIndex, visit)
	}
}

// outcomes lists the possible outcomes of a message that reaches a replica.
func (r *Replication) outcomes() []uint8 {
	if r.PowerLoss {
		return []uint8{outcomeAnswered, outcomeUnsynced}
	}
	return []uint8{outcomeAnswered}
}

// maybeSync makes a replica's memory durable, unless the outcome or the rules
// leave it unsynced.
func (r *Replication) maybeSync(replica *replicaState, outcome uint8) {
	if outcome == outcomeAnswered && r.Rules.SyncBeforeAnswer || !r.PowerLoss {
		replica.durable = replica.memory
	}
}

// deliverPromise asks a replica to promise an epoch to a leader.
func (r *Replication) deliverPromise(state *ReplicationState, epoch, leaderIndex, replicaIndex, outcome uint8, visit func(Step, *ReplicationState)) {
	next := *state
	replica := &next.replicas[replicaIndex]
	replica.memory = replica.memory.withState(replica.memory.state().Promise(uint64(epoch), leaderNames[leaderIndex]))
	r.maybeSync(replica, outcome)
	attempt := &next.attempts[epoch-1][leaderIndex]
	if outcome == outcomeAnswered && !attempt.contentChosen && !attempt.promises[replicaIndex].received {
		attempt.promises[replicaIndex] = promiseReply{received: true, installedEpoch: replica.memory.installedEpoch, seq: replica.memory.seq, content: replica.memory.content}
	}
	visit(Step{stepPromise, [4]uint8{leaderIndex, epoch, replicaIndex, outcome}}, &next)
}

// chooseContentSteps has a leader choose the newest content among the promises of
// a majority.
func (r *Replication) chooseContentSteps(state *ReplicationState, epoch, leaderIndex uint8, visit func(Step, *ReplicationState)) {
	for subset := range 1 << r.Replicas {
		if countBits(subset) != r.Rules.PromiseQuorum(r.Replicas) {
			continue
		}
		newest, complete := newestPromise(r.Rules.Newer, &state.attempts[epoch-1][leaderIndex].promises, subset)
		if !complete {
			continue
		}
		next := *state
		next.attempts[epoch-1][leaderIndex] = leaderAttempt{started: true, contentChosen: true, base: newest.seq, tail: newest.seq, content: newest.content.prefix(newest.seq)}
		next.leaders[leaderIndex].serving = !r.Rules.InstallBeforeServing
		visit(Step{stepChooseContent, [4]uint8{leaderIndex, epoch, uint8(subset)}}, &next)
	}
}

// newestPromise returns the promise with the newest content of a subset of the
// replicas. complete is false if not all of them have promised.
func newestPromise(newer func(position, other consensus.Position) bool, promises *[maxReplicas]promiseReply, subset int) (newest promiseReply, complete bool) {
	for replicaIndex, reply := range promises {
		if subset&(1<<replicaIndex) == 0 {
			continue
		}
		if !reply.received {
			return newest, false
		}
		if !newest.received || newer(reply.position(), newest.position()) {
			newest = reply
		}
	}
	return newest, true
}

func (p promiseReply) position() consensus.Position {
	return consensus.Position{Installed: uint64(p.installedEpoch), Seq: uint64(p.seq)}
}

// deliverSnapshot delivers a snapshot of the leader's content up to seq.
func (r *Replication) deliverSnapshot(state *ReplicationState, epoch, leaderIndex, replicaIndex, seq, outcome uint8, visit func(Step, *ReplicationState)) {
	next := *state
	replica := &next.replicas[replicaIndex]
	attempt := &next.attempts[epoch-1][leaderIndex]
	shard, installed := r.Rules.Install(replica.memory.state(), uint64(epoch), leaderNames[leaderIndex], uint64(seq))
	if installed {
		replica.memory = replica.memory.withState(shard)
		replica.memory.content = attempt.content.prefix(seq)
	}
	r.maybeSync(replica, outcome)
	if outcome == outcomeAnswered {
		r.receiveAck(&next, epoch, leaderIndex, replicaIndex, replica.memory.seq)
	}
	visit(Step{stepInstall, [4]uint8{leaderIndex, epoch, replicaIndex, outcome<<4 | seq}}, &next)
}

// deliverEntries delivers the entries from first up to the leader's newest.
func (r *Replication) deliverEntries(state *ReplicationState, epoch, leaderIndex, replicaIndex, first, outcome uint8, visit func(Step, *ReplicationState)) {
	if r.Rules.CheckAppend(state.replicas[replicaIndex].memory.state(), uint64(epoch), uint64(first)) != consensus.Accepted {
		return
	}
	next := *state
	replica := &next.replicas[replicaIndex]
	attempt := &next.attempts[epoch-1][leaderIndex]
	for seq := first; seq <= attempt.tail; seq++ {
		shard, appended := replica.memory.state().Append(uint64(epoch), uint64(seq))
		if !appended {
			continue
		}
		replica.memory = replica.memory.withState(shard)
		replica.memory.content = replica.memory.content.prefix(seq-1).withDocument(seq-1, attempt.content.documentAt(seq-1))
	}
	r.maybeSync(replica, outcome)
	if outcome == outcomeAnswered {
		r.receiveAck(&next, epoch, leaderIndex, replicaIndex, replica.memory.seq)
	}
	visit(Step{stepAppend, [4]uint8{leaderIndex, epoch, replicaIndex, outcome<<4 | first}}, &next)
}

// receiveAck delivers a replica's acknowledgement to the leader, unless the leader
// has abandoned the attempt, and acknowledges to the clients what is committed.
func (r *Replication) receiveAck(state *ReplicationState, epoch, leaderIndex, replicaIndex, seq uint8) {
	leader := &state.leaders[leaderIndex]
	if leader.epoch != epoch {
		return
	}
	attempt := &state.attempts[epoch-1][leaderIndex]
	attempt.acked[replicaIndex] = max(attempt.acked[replicaIndex], seq+1)
	voters := make([]consensus.Progress, r.Replicas)
	for index := range voters {
		if acked := attempt.acked[index]; acked > 0 {
			voters[index] = consensus.Progress{Installed: true, Acked: uint64(acked - 1), SetVersion: setVersion}
		}
	}
	committed, reached := r.Rules.Committed(uint64(leader.committed), setVersion, voters)
	if !reached {
		return
	}
	leader.serving = true
	leader.committed = uint8(committed)
	r.recordConfirmation(state, epoch, leaderIndex)
	if !state.observed.record(attempt.content, attempt.base, leader.committed) {
		state.violation = documentViolation
	}
}

// recordConfirmation records that a majority confirmed a leader under an epoch,
// and a violation if it was another leader before.
func (r *Replication) recordConfirmation(state *ReplicationState, epoch, leaderIndex uint8) {
	confirmer := &state.confirmedBy[epoch-1]
	if *confirmer != 0 && *confirmer != leaderIndex+1 {
		state.violation = leaderViolation
	}
	*confirmer = leaderIndex + 1
}

// writeSteps lets a serving leader append a client's document that builds on the
// leader's newest version.
func (r *Replication) writeSteps(state *ReplicationState, leaderIndex uint8, visit func(Step, *ReplicationState)) {
	leader := &state.leaders[leaderIndex]
	if !leader.serving {
		return
	}
	attempt := &state.attempts[leader.epoch-1][leaderIndex]
	for index, base := range r.BaseVersions {
		document := uint8(index) + 1
		if base != attempt.tail || attempt.content.contains(document, attempt.tail) {
			continue
		}
		next := *state
		nextAttempt := &next.attempts[leader.epoch-1][leaderIndex]
		nextAttempt.content = nextAttempt.content.withDocument(nextAttempt.tail, document)
		nextAttempt.tail++
		visit(Step{stepWrite, [4]uint8{leaderIndex, leader.epoch, document}}, &next)
	}
}

// readSteps lets a client start a read at a serving leader, and replicas confirm
// it.
func (r *Replication) readSteps(state *ReplicationState, leaderIndex uint8, visit func(Step, *ReplicationState)) {
	leader := &state.leaders[leaderIndex]
	if !r.Reads || !leader.serving {
		return
	}
	if !leader.read.active {
		next := *state
		next.leaders[leaderIndex].read = readState{active: true, version: state.attempts[leader.epoch-1][leaderIndex].tail, observedLength: state.observed.length}
		r.completeRead(&next, leaderIndex)
		visit(Step{stepRead, [4]uint8{leaderIndex, leader.epoch}}, &next)
		return
	}
	if leader.committed < leader.read.version {
		return
	}
	for replicaIndex := range uint8(r.Replicas) {
		if leader.read.confirmedBy&(1<<replicaIndex) != 0 || !r.acceptsClaim(state, leader.epoch, leaderIndex, replicaIndex) {
			continue
		}
		next := *state
		next.leaders[leaderIndex].read.confirmedBy |= 1 << replicaIndex
		r.completeRead(&next, leaderIndex)
		visit(Step{stepConfirmRead, [4]uint8{leaderIndex, leader.epoch, replicaIndex}}, &next)
	}
}

// completeRead answers the read if enough replicas have confirmed it and its
// version is committed.
func (r *Replication) completeRead(state *ReplicationState, leaderIndex uint8) {
	leader := &state.leaders[leaderIndex]
	quorum := r.Rules.ReadQuorum(r.Replicas)
	if leader.committed < leader.read.version || countBits(int(leader.read.confirmedBy)) < quorum {
		return
	}
	if quorum > 0 {
		r.recordConfirmation(state, leader.epoch, leaderIndex)
	}
	if leader.read.version < leader.read.observedLength {
		state.violation = readViolation
	}
	if !state.observed.record(state.attempts[leader.epoch-1][leaderIndex].content, 0, leader.read.version) {
		state.violation = documentViolation
	}
	leader.read = readState{}
}

// faultSteps lets a replica lose power or its disk.
func (r *Replication) faultSteps(state *ReplicationState, visit func(Step, *ReplicationState)) {
	for replicaIndex := range uint8(r.Replicas) {
		replica := &state.replicas[replicaIndex]
		if replica.wiped {
			continue
		}
		if replica.memory != replica.durable {
			next := *state
			next.replicas[replicaIndex].memory = replica.durable
			visit(Step{stepPowerLoss, [4]uint8{replicaIndex}}, &next)
		}
		if int(state.wipes) < r.Wipes {
			next := *state
			next.replicas[replicaIndex] = replicaState{wiped: true}
			next.wipes++
			visit(Step{stepWipe, [4]uint8{replicaIndex}}, &next)
		}
	}
}
