// What a leader of a shard with a changing set does.

package model

import (
	"fordseam/internal/consensus"
)

// Steps visits every step of every party.
func (w *Membership) Steps(state *MembershipState, visit func(Step, *MembershipState)) {
	for leader := range uint8(w.Leaders) {
		w.begins(state, leader, visit)
		w.learns(state, leader, visit)
		owner := &state.leaders[leader]
		if owner.epoch == 0 {
			continue
		}
		w.takesOver(state, leader, visit)
		w.replicates(state, leader, visit)
		w.decides(state, leader, visit)
		w.reads(state, leader, visit)
		w.census(state, leader, visit)
	}
	w.proposals(state, visit)
	w.adoptions(state, visit)
	w.wipes(state, visit)
}

// begins has a leader begin to take the shard.
func (w *Membership) begins(state *MembershipState, leader uint8, visit func(Step, *MembershipState)) {
	for epoch := state.leaders[leader].epoch + 1; int(epoch) <= w.Epochs; epoch++ {
		if w.SingleAttempt && epoch != leader+1 {
			continue
		}
		next := *state
		set := state.leaders[leader].set
		next.leaders[leader] = candidate{epoch: epoch, set: set, askedAt: set}
		visit(Step{stepStart, [4]uint8{leader, epoch}}, &next)
	}
}

// learns has a leader learn of a newer set, which a replica adopted.
func (w *Membership) learns(state *MembershipState, leader uint8, visit func(Step, *MembershipState)) {
	for version := state.leaders[leader].set + 1; version <= state.adopted; version++ {
		next := *state
		next.leaders[leader].set = version
		visit(Step{stepLearn, [4]uint8{leader, version}}, &next)
	}
}

// judge asks a replica whether it may act for a leader that goes by a version.
func (w *Membership) judge(state *MembershipState, leader, place, version uint8) bool {
	replica := &state.members[place]
	self := consensus.Identity{ID: replicaNames[place], SetVersion: uint64(replica.set)}
	if replica.wiped {
		self.ID = wipedName
	}
	claim := consensus.Claim{Epoch: uint64(state.leaders[leader].epoch), Leader: leaderNames[leader], SetVersion: uint64(version), Replica: replicaNames[place]}
	return w.Rules.CheckClaim(self, replica.held.shard(), claim) == consensus.Accepted
}

// takesOver asks for promises and chooses the newest content of a majority.
func (w *Membership) takesOver(state *MembershipState, leader uint8, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	if owner.taken {
		return
	}
	voters := state.sets[owner.askedAt].voters
	for place := range w.places() {
		if !voters.has(place) || owner.promises[place].given || !w.judge(state, leader, place, owner.askedAt) {
			continue
		}
		next := *state
		replica := &next.members[place]
		replica.held = replica.held.withShard(replica.held.shard().Promise(uint64(owner.epoch), leaderNames[leader]))
		next.leaders[leader].promises[place] = promiseReply{given: true, installed: replica.held.installed, seq: replica.held.seq, content: replica.held.content}
		visit(Step{stepPromise, [4]uint8{leader, owner.epoch, place}}, &next)
	}
	quorum := w.Rules.PromiseQuorum(countBits(int(voters)))
	for members := range 1 << w.places() {
		if members&^int(voters) != 0 || countBits(members) != quorum {
			continue
		}
		newest, complete := newestOf(w.Rules.Newer, &owner.promises, members)
		if !complete {
			continue
		}
		next := *state
		taker := &next.leaders[leader]
		taker.taken, taker.base, taker.tail, taker.content = true, newest.seq, newest.seq, newest.content
		taker.promises = [maxReplicas]promiseReply{}
		visit(Step{stepTake, [4]uint8{leader, owner.epoch, uint8(members)}}, &next)
	}
}

// replicates exchanges messages with the replicas of the set that the leader
// knows.
func (w *Membership) replicates(state *MembershipState, leader uint8, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	if !owner.taken {
		return
	}
	set := state.sets[owner.set]
	for place := range w.places() {
		about := &owner.replicas[place]
		if about.answer.underWay {
			w.answers(state, leader, place, visit)
			continue
		}
		if !(set.voters | set.learners).has(place) {
			continue
		}
		kind := about.progress().Next(uint64(owner.base)+1, uint64(owner.tail), uint64(owner.set))
		if kind == consensus.SendNothing {
			continue
		}
		w.exchange(state, leader, place, kind, visit)
		if w.MessageLoss && !about.mute {
			next := *state
			lost := &next.leaders[leader].replicas[place]
			lost.mute = true
			lost.installed = lost.installed && kind != consensus.SendSnapshot
			visit(Step{stepLostRequest, [4]uint8{leader, owner.epoch, place}}, &next)
		}
	}
}

// exchange has a replica act on the leader's next message.
func (w *Membership) exchange(state *MembershipState, leader, place uint8, kind consensus.MessageKind, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	if !w.judge(state, leader, place, owner.set) {
		return
	}
	next := *state
	replica, about := &next.members[place], &next.leaders[leader].replicas[place]
	epoch := uint64(owner.epoch)
	if kind == consensus.SendSnapshot {
		about.installed = false
		held, taken := w.Rules.Install(replica.held.shard(), epoch, leaderNames[leader], uint64(owner.tail))
		if taken {
			replica.held = replica.held.withShard(held)
			replica.held.content = owner.content
		}
	} else {
		first := uint64(0)
		if kind == consensus.SendEntries {
			first = uint64(about.acked) + 1
		}
		if w.Rules.CheckAppend(replica.held.shard(), epoch, first) != consensus.Accepted {
			about.installed, about.mute = false, false
			visit(Step{stepExchange, [4]uint8{leader, owner.epoch, place, uint8(kind)}}, &next)
			return
		}
		for seq := first; seq > 0 && seq <= uint64(owner.tail); seq++ {
			held, taken := replica.held.shard().Append(epoch, seq)
			if taken {
				replica.held = replica.held.withShard(held)
				replica.held.content = owner.content.upTo(uint8(seq))
			}
		}
	}
	about.answer = answerState{underWay: true, set: owner.set, seq: replica.held.seq}
	if w.ImmediateAnswers {
		w.hear(&next, leader, place)
	}
	visit(Step{stepExchange, [4]uint8{leader, owner.epoch, place, uint8(kind)}}, &next)
}

// answers brings a replica's answer to the leader, or loses it.
func (w *Membership) answers(state *MembershipState, leader, place uint8, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	next := *state
	w.hear(&next, leader, place)
	visit(Step{stepAnswer, [4]uint8{leader, owner.epoch, place}}, &next)
	if w.MessageLoss {
		next := *state
		next.leaders[leader].replicas[place].answer = answerState{}
		next.leaders[leader].replicas[place].mute = true
		visit(Step{stepLostAnswer, [4]uint8{leader, owner.epoch, place}}, &next)
	}
}

// hear has a leader take in a replica's answer.
func (w *Membership) hear(next *MembershipState, leader, place uint8) {
	about := &next.leaders[leader].replicas[place]
	answer := about.answer
	about.answer = answerState{}
	*about = about.withProgress(about.progress().Acknowledge(uint64(answer.seq), uint64(answer.set)))
	w.recount(next, leader, answer.set)
}

// recount finds what is committed once an answer came to a message that was
// sent under a version, and has clients told of it.
func (w *Membership) recount(state *MembershipState, leader, sent uint8) {
	owner := &state.leaders[leader]
	version := w.Rules.CountingVersion(sent, owner.set)
	committed, reached := w.Rules.Committed(uint64(owner.committed), uint64(version), state.voters(leader, version))
	if !reached {
		return
	}
	owner.serving, owner.committed = true, uint8(committed)
	w.confirmed(state, leader)
	if !state.told.tell(owner.content, owner.base, owner.committed) {
		state.broken = brokenDocument
	}
}

// confirmed notes that a majority went by a leader under its epoch.
func (w *Membership) confirmed(state *MembershipState, leader uint8) {
	by := &state.confirmedBy[state.leaders[leader].epoch-1]
	if *by != 0 && *by != leader+1 {
		state.broken = brokenLeader
	}
	*by = leader + 1
}

// decides has a serving leader take a client's document.
func (w *Membership) decides(state *MembershipState, leader uint8, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	if !owner.serving {
		return
	}
	for place, base := range w.BaseVersions {
		document := uint8(place) + 1
		if base != owner.tail || owner.content.has(document, owner.tail) {
			continue
		}
		next := *state
		grown := &next.leaders[leader]
		grown.content = grown.content.with(grown.tail, document)
		grown.tail++
		visit(Step{stepDecide, [4]uint8{leader, owner.epoch, document}}, &next)
	}
}

// reads has a serving leader begin a read, and voters confirm it.
func (w *Membership) reads(state *MembershipState, leader uint8, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	if !w.Reads || !owner.serving {
		return
	}
	if !owner.read.active {
		if owner.committed < owner.tail {
			return
		}
		next := *state
		reader := &next.leaders[leader]
		reader.read = readState{active: true, version: owner.tail, floor: state.told.length}
		reader.readSet = owner.set
		w.answerRead(&next, leader)
		visit(Step{stepRead, [4]uint8{leader, owner.epoch}}, &next)
		return
	}
	for place := range w.places() {
		if !state.sets[owner.readSet].voters.has(place) || owner.read.confirmed&(1<<place) != 0 || !w.judge(state, leader, place, owner.readSet) {
			continue
		}
		next := *state
		next.leaders[leader].read.confirmed |= 1 << place
		w.answerRead(&next, leader)
		visit(Step{stepConfirm, [4]uint8{leader, owner.epoch, place}}, &next)
	}
}

// answerRead answers a read that enough voters have confirmed.
func (w *Membership) answerRead(state *MembershipState, leader uint8) {
	owner := &state.leaders[leader]
	quorum := w.Rules.ReadQuorum(countBits(int(state.sets[owner.readSet].voters)))
	if countBits(int(owner.read.confirmed)) < quorum {
		return
	}
	if owner.read.version < owner.read.floor {
		state.broken = brokenRead
	}
	if !state.told.tell(owner.content, 0, owner.read.version) {
		state.broken = brokenDocument
	}
	owner.read, owner.readSet = readState{}, 0
}
