// The steps of leaders and replicas under epochs.

package model

import (
	"fordseam/internal/consensus"
)

// Steps visits every step of every party.
func (w *Replication) Steps(state *ReplicationState, visit func(Step, *ReplicationState)) {
	for leader := range uint8(w.Leaders) {
		w.starts(state, leader, visit)
		w.decisions(state, leader, visit)
		w.reads(state, leader, visit)
		for epoch := uint8(1); int(epoch) <= w.Epochs; epoch++ {
			if state.attempts[epoch-1][leader].begun {
				w.messages(state, epoch, leader, visit)
			}
		}
	}
	w.faults(state, visit)
}

// starts has a leader begin to take the shard, under any higher epoch that it
// may have learnt of.
func (w *Replication) starts(state *ReplicationState, leader uint8, visit func(Step, *ReplicationState)) {
	for epoch := state.leaders[leader].highest + 1; int(epoch) <= w.Epochs; epoch++ {
		next := *state
		next.leaders[leader] = leaderState{epoch: epoch, highest: epoch}
		next.attempts[epoch-1][leader] = attempt{begun: true}
		visit(Step{stepStart, [4]uint8{leader, epoch}}, &next)
	}
	if w.LeaderCrashes && state.leaders[leader].highest > 0 && !w.Rules.UniqueLeaderNames {
		next := *state
		next.leaders[leader] = leaderState{}
		visit(Step{stepCrash, [4]uint8{leader}}, &next)
	}
}

// messages delivers what a leader sends under an epoch, and has it choose the
// content.
func (w *Replication) messages(state *ReplicationState, epoch, leader uint8, visit func(Step, *ReplicationState)) {
	try := &state.attempts[epoch-1][leader]
	for replica := range uint8(w.Replicas) {
		if !w.judge(state, epoch, leader, replica) {
			continue
		}
		for _, how := range w.outcomes() {
			w.promise(state, epoch, leader, replica, how, visit)
			if !try.taken {
				continue
			}
			for seq := try.base; seq <= try.tail; seq++ {
				w.install(state, epoch, leader, replica, seq, how, visit)
			}
			for first := try.base + 1; first <= try.tail; first++ {
				w.append(state, epoch, leader, replica, first, how, visit)
			}
		}
	}
	if state.leaders[leader].epoch == epoch && !try.taken {
		w.takes(state, epoch, leader, visit)
	}
}

func (w *Replication) outcomes() []uint8 {
	if w.PowerLoss {
		return []uint8{answered, unsynced}
	}
	return []uint8{answered}
}

// settle ends a replica's step: it syncs, if it is to.
func (w *Replication) settle(replica *replicaState, how uint8) {
	if how == answered && w.Rules.SyncBeforeAnswer || !w.PowerLoss {
		replica.durable = replica.memory
	}
}

func (w *Replication) promise(state *ReplicationState, epoch, leader, replica, how uint8, visit func(Step, *ReplicationState)) {
	next := *state
	taker := &next.replicas[replica]
	taker.memory = taker.memory.withShard(taker.memory.shard().Promise(uint64(epoch), leaderNames[leader]))
	w.settle(taker, how)
	try := &next.attempts[epoch-1][leader]
	if how == answered && !try.taken && !try.promises[replica].given {
		try.promises[replica] = promiseReply{given: true, installed: taker.memory.installed, seq: taker.memory.seq, content: taker.memory.content}
	}
	visit(Step{stepPromise, [4]uint8{leader, epoch, replica, how}}, &next)
}

// takes has a leader choose the newest content that a majority told of.
func (w *Replication) takes(state *ReplicationState, epoch, leader uint8, visit func(Step, *ReplicationState)) {
	for members := range 1 << w.Replicas {
		if countBits(members) != w.Rules.PromiseQuorum(w.Replicas) {
			continue
		}
		newest, complete := newestOf(w.Rules.Newer, &state.attempts[epoch-1][leader].promises, members)
		if !complete {
			continue
		}
		next := *state
		next.attempts[epoch-1][leader] = attempt{begun: true, taken: true, base: newest.seq, tail: newest.seq, content: newest.content.upTo(newest.seq)}
		next.leaders[leader].serving = !w.Rules.InstallBeforeServing
		visit(Step{stepTake, [4]uint8{leader, epoch, uint8(members)}}, &next)
	}
}

// newestOf is the newest content of some replicas, if all of them answered.
func newestOf(newer func(position, other consensus.Position) bool, promises *[maxReplicas]promiseReply, members int) (newest promiseReply, complete bool) {
	for place, reply := range promises {
		if members&(1<<place) == 0 {
			continue
		}
		if !reply.given {
			return newest, false
		}
		if !newest.given || newer(reply.position(), newest.position()) {
			newest = reply
		}
	}
	return newest, true
}

func (p promiseReply) position() consensus.Position {
	return consensus.Position{Installed: uint64(p.installed), Seq: uint64(p.seq)}
}

func (w *Replication) install(state *ReplicationState, epoch, leader, replica, seq, how uint8, visit func(Step, *ReplicationState)) {
	next := *state
	taker := &next.replicas[replica]
	try := &next.attempts[epoch-1][leader]
	held, taken := w.Rules.Install(taker.memory.shard(), uint64(epoch), leaderNames[leader], uint64(seq))
	if taken {
		taker.memory = taker.memory.withShard(held)
		taker.memory.content = try.content.upTo(seq)
	}
	w.settle(taker, how)
	if how == answered {
		w.acknowledge(&next, epoch, leader, replica, taker.memory.seq)
	}
	visit(Step{stepInstall, [4]uint8{leader, epoch, replica, how<<4 | seq}}, &next)
}

// append delivers the entries from first to the leader's newest.
func (w *Replication) append(state *ReplicationState, epoch, leader, replica, first, how uint8, visit func(Step, *ReplicationState)) {
	if w.Rules.CheckAppend(state.replicas[replica].memory.shard(), uint64(epoch), uint64(first)) != consensus.Accepted {
		return
	}
	next := *state
	taker := &next.replicas[replica]
	try := &next.attempts[epoch-1][leader]
	for seq := first; seq <= try.tail; seq++ {
		held, taken := taker.memory.shard().Append(uint64(epoch), uint64(seq))
		if !taken {
			continue
		}
		taker.memory = taker.memory.withShard(held)
		taker.memory.content = taker.memory.content.upTo(seq-1).with(seq-1, try.content.at(seq-1))
	}
	w.settle(taker, how)
	if how == answered {
		w.acknowledge(&next, epoch, leader, replica, taker.memory.seq)
	}
	visit(Step{stepAppend, [4]uint8{leader, epoch, replica, how<<4 | first}}, &next)
}

// acknowledge brings a replica's answer to the leader, if that still cares, and
// has clients told of what a majority has.
func (w *Replication) acknowledge(state *ReplicationState, epoch, leader, replica, seq uint8) {
	owner := &state.leaders[leader]
	if owner.epoch != epoch {
		return
	}
	try := &state.attempts[epoch-1][leader]
	try.acked[replica] = max(try.acked[replica], seq+1)
	voters := make([]consensus.Progress, w.Replicas)
	for place := range voters {
		if acked := try.acked[place]; acked > 0 {
			voters[place] = consensus.Progress{Installed: true, Acked: uint64(acked - 1), SetVersion: setVersion}
		}
	}
	committed, reached := w.Rules.Committed(uint64(owner.committed), setVersion, voters)
	if !reached {
		return
	}
	owner.serving = true
	owner.committed = uint8(committed)
	w.confirmed(state, epoch, leader)
	if !state.told.tell(try.content, try.base, owner.committed) {
		state.broken = brokenDocument
	}
}

// confirmed notes that a majority went by a leader under an epoch.
func (w *Replication) confirmed(state *ReplicationState, epoch, leader uint8) {
	by := &state.confirmedBy[epoch-1]
	if *by != 0 && *by != leader+1 {
		state.broken = brokenLeader
	}
	*by = leader + 1
}

// decisions has a serving leader take a client's document.
func (w *Replication) decisions(state *ReplicationState, leader uint8, visit func(Step, *ReplicationState)) {
	owner := &state.leaders[leader]
	if !owner.serving {
		return
	}
	try := &state.attempts[owner.epoch-1][leader]
	for place, base := range w.BaseVersions {
		document := uint8(place) + 1
		if base != try.tail || try.content.has(document, try.tail) {
			continue
		}
		next := *state
		grown := &next.attempts[owner.epoch-1][leader]
		grown.content = grown.content.with(grown.tail, document)
		grown.tail++
		visit(Step{stepDecide, [4]uint8{leader, owner.epoch, document}}, &next)
	}
}

// reads has a serving leader begin a read, and replicas confirm it.
func (w *Replication) reads(state *ReplicationState, leader uint8, visit func(Step, *ReplicationState)) {
	owner := &state.leaders[leader]
	if !w.Reads || !owner.serving {
		return
	}
	if !owner.read.active {
		next := *state
		next.leaders[leader].read = readState{active: true, version: state.attempts[owner.epoch-1][leader].tail, floor: state.told.length}
		w.answerRead(&next, leader)
		visit(Step{stepRead, [4]uint8{leader, owner.epoch}}, &next)
		return
	}
	if owner.committed < owner.read.version {
		return
	}
	for replica := range uint8(w.Replicas) {
		if owner.read.confirmed&(1<<replica) != 0 || !w.judge(state, owner.epoch, leader, replica) {
			continue
		}
		next := *state
		next.leaders[leader].read.confirmed |= 1 << replica
		w.answerRead(&next, leader)
		visit(Step{stepConfirm, [4]uint8{leader, owner.epoch, replica}}, &next)
	}
}

// answerRead answers a read that enough replicas have confirmed.
func (w *Replication) answerRead(state *ReplicationState, leader uint8) {
	owner := &state.leaders[leader]
	quorum := w.Rules.ReadQuorum(w.Replicas)
	if owner.committed < owner.read.version || countBits(int(owner.read.confirmed)) < quorum {
		return
	}
	if quorum > 0 {
		w.confirmed(state, owner.epoch, leader)
	}
	if owner.read.version < owner.read.floor {
		state.broken = brokenRead
	}
	if !state.told.tell(state.attempts[owner.epoch-1][leader].content, 0, owner.read.version) {
		state.broken = brokenDocument
	}
	owner.read = readState{}
}

// faults has replicas lose power and disks.
func (w *Replication) faults(state *ReplicationState, visit func(Step, *ReplicationState)) {
	for place := range uint8(w.Replicas) {
		replica := &state.replicas[place]
		if replica.wiped {
			continue
		}
		if replica.memory != replica.durable {
			next := *state
			next.replicas[place].memory = replica.durable
			visit(Step{stepPower, [4]uint8{place}}, &next)
		}
		if int(state.wipes) < w.Wipes {
			next := *state
			next.replicas[place] = replicaState{wiped: true}
			next.wipes++
			visit(Step{stepWipe, [4]uint8{place}}, &next)
		}
	}
}
