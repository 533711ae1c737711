package model

import (
	"bytes"
	"fmt"
	"slices"

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
	// Bases are the versions that the clients' documents build on: document
	// 1+i builds on Bases[i].
	Bases []uint8
	// Power has replicas lose what they have not synced, each at any step and so
	// all of them together.
	Power bool
	// Wipes is how many replicas lose their disks, at any step.
	Wipes int
	// Reads has leaders answer reads.
	Reads bool
	// Crashes has leaders forget all they know.
	Crashes bool
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
		return NothingLost
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

func (c shardCopy) shard() consensus.Shard {
	return consensus.Shard{Promised: uint64(c.promised), Leader: leaderName(c.leader), Installed: uint64(c.installed), Seq: uint64(c.seq)}
}

// withShard is the copy after a decision on its shard.
func (c shardCopy) withShard(next consensus.Shard) shardCopy {
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
	return w.Rules.Judge(self, state.replicas[replica].memory.shard(), claim) == consensus.Accepted
}

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
	if w.Crashes && state.leaders[leader].highest > 0 && !w.Rules.FreshLeaderNames {
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
	if w.Power {
		return []uint8{answered, unsynced}
	}
	return []uint8{answered}
}

// settle ends a replica's step: it syncs, if it is to.
func (w *Replication) settle(replica *replicaState, how uint8) {
	if how == answered && w.Rules.SyncBeforeAnswer || !w.Power {
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
	if w.Rules.JudgeAppend(state.replicas[replica].memory.shard(), uint64(epoch), uint64(first)) != consensus.Accepted {
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
	committed, reached := w.Rules.Committed(uint64(owner.committed), voters)
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
	for place, base := range w.Bases {
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
