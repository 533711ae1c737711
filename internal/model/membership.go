package model

import (
	"bytes"
	"fmt"
	"slices"

	"fordseam/internal/consensus"
)

const (
	// maxSets is how many versions of the set there can be.
	maxSets = 5
	// leastVoters is how few voters a set may have.
	leastVoters = 3
)

// Membership is the world of a shard whose set of replicas changes. The record
// of the set is taken for what Replication shows the register to be: one record
// that changes step by step. Whoever leads the register's first shard acts on
// it, so that two candidates for that are two who act on one record; leaders of
// the shard, of which one may be out of date, go by the versions that they
// learnt. A leader has one message out to each replica; its answer may come at
// any later time.
type Membership struct {
	Rules MembershipRules
	// Voters and Learners are how many replicas the first set has, and Spares how
	// many blank ones are at hand.
	Voters   int
	Learners int
	Spares   int
	// Sets is how many versions of the set there are, the first included.
	Sets    int
	Leaders int
	Epochs  int
	// OneTry has each leader try once, under an epoch of its own.
	OneTry bool
	// Bases are the versions that the clients' documents build on.
	Bases []uint8
	// Wipes is how many replicas lose their disks; the next one does once the
	// one before was replaced.
	Wipes int
	// Budget is how many replicas may be lost at once.
	Budget int
	// Losses has messages and answers get lost.
	Losses bool
	// Reads has leaders answer reads.
	Reads bool
}

// MembershipRules are the decisions about a changing set, beside Rules.
type MembershipRules struct {
	Rules
	JudgeProposal func(record consensus.SetRecord, next consensus.ReplicaSet) consensus.ProposalRejection
	JudgeSet      func(known *consensus.ReplicaSet, offered consensus.ReplicaSet) consensus.Rejection
	Adopted       func(before, after consensus.ReplicaSet, took func(id string) bool) bool
	Settled       func(committed, setVersion uint64, voters []consensus.Progress) bool
	// CountedBy is the version whose voters a leader counts when an answer to a
	// message sent under one version arrives and it knows another.
	CountedBy func(sent, known uint8) uint8
}

// replicaMask is a set of replicas by their places.
type replicaMask uint8

func (m replicaMask) has(place uint8) bool { return m&(1<<place) != 0 }

// setState is one version of the set.
type setState struct {
	voters   replicaMask
	learners replicaMask
}

// member is a replica of a changing set. Every answer is synced.
type member struct {
	held  shardCopy
	set   uint8 // version, 0 before it was given one
	wiped bool
}

// answerState is a replica's answer on its way to the leader.
type answerState struct {
	underWay bool
	set      uint8
	seq      uint8
}

// known is what a leader knows of a replica.
type known struct {
	installed bool
	mute      bool
	acked     uint8
	set       uint8
	answer    answerState
}

// candidate is a leader's part in a changing set.
type candidate struct {
	epoch     uint8
	set       uint8 // the newest version it knows
	askedAt   uint8 // the version under which it asks for promises
	taken     bool
	serving   bool
	base      uint8
	tail      uint8
	committed uint8
	content   history
	promises  [maxReplicas]promiseReply
	replicas  [maxReplicas]known
	read      readState
	readSet   uint8 // the version under which the read is confirmed
}

// MembershipState is a state of Membership.
type MembershipState struct {
	members [maxReplicas]member
	leaders [maxLeaders]candidate
	sets    [maxSets + 1]setState
	// current, proposed and settled are the record; took are those that
	// answered that they adopted the proposed set, and filled the learners that
	// were told to be whole.
	current  uint8
	proposed uint8
	settled  bool
	took     replicaMask
	filled   replicaMask
	// adopted is the highest version that any replica adopted.
	adopted     uint8
	confirmedBy [maxEpochs]uint8
	told        acknowledged
	wipes       uint8
	broken      violation
}

const (
	stepExchange uint8 = iota + 64
	stepAnswer
	stepLostRequest
	stepLostAnswer
	stepLearn
	stepPropose
	stepAdopt
	stepConclude
	stepCensus
)

// ImplementedMembershipRules are the decisions that run in production.
func ImplementedMembershipRules() MembershipRules {
	return MembershipRules{
		Rules:         ImplementedRules(),
		JudgeProposal: consensus.SetRecord.JudgeProposal,
		JudgeSet:      consensus.JudgeSet,
		Adopted:       consensus.Adopted,
		Settled:       consensus.Settled,
		CountedBy:     func(_, known uint8) uint8 { return known },
	}
}

// Initial has a first set that every replica in it has adopted.
func (w *Membership) Initial() MembershipState {
	var state MembershipState
	members := w.Voters + w.Learners
	state.sets[1].voters = 1<<w.Voters - 1
	state.sets[1].learners = 1<<members - 1 - state.sets[1].voters
	state.current, state.settled, state.adopted = 1, true, 1
	for place := range members {
		state.members[place].set = 1
	}
	for place := range w.Leaders {
		state.leaders[place].set = 1
	}
	return state
}

// places is how many replicas there are in all.
func (w *Membership) places() uint8 { return uint8(w.Voters + w.Learners + w.Spares) }

// replicaSet is a version of the set as the decisions take it.
func (s *MembershipState) replicaSet(version uint8) consensus.ReplicaSet {
	set := consensus.ReplicaSet{Version: uint64(version)}
	for place := range uint8(maxReplicas) {
		voter, learner := s.sets[version].voters.has(place), s.sets[version].learners.has(place)
		if voter || learner {
			set.Members = append(set.Members, consensus.Member{ID: replicaNames[place], Learner: learner})
		}
	}
	return set
}

func (s *MembershipState) record() consensus.SetRecord {
	return consensus.SetRecord{Current: s.replicaSet(s.current), NextVersion: uint64(s.proposed), Settled: s.settled}
}

// newest is the highest version that was ever proposed.
func (s *MembershipState) newest() uint8 { return max(s.current, s.proposed) }

// voters is what a leader knows of the voters of a version.
func (s *MembershipState) voters(leader, version uint8) []consensus.Progress {
	var voters []consensus.Progress
	for place := range uint8(maxReplicas) {
		if s.sets[version].voters.has(place) {
			voters = append(voters, s.leaders[leader].replicas[place].progress())
		}
	}
	return voters
}

func (k known) progress() consensus.Progress {
	return consensus.Progress{Installed: k.installed, Acked: uint64(k.acked), SetVersion: uint64(k.set), Mute: k.mute}
}

func (k known) withProgress(next consensus.Progress) known {
	k.installed, k.mute, k.acked, k.set = next.Installed, next.Mute, uint8(next.Acked), uint8(next.SetVersion)
	return k
}

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
		if w.OneTry && epoch != leader+1 {
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
	return w.Rules.Judge(self, replica.held.shard(), claim) == consensus.Accepted
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
		if w.Losses && !about.mute {
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
		if w.Rules.JudgeAppend(replica.held.shard(), epoch, first) != consensus.Accepted {
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
	visit(Step{stepExchange, [4]uint8{leader, owner.epoch, place, uint8(kind)}}, &next)
}

// answers brings a replica's answer to the leader, or loses it.
func (w *Membership) answers(state *MembershipState, leader, place uint8, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	answer := owner.replicas[place].answer
	next := *state
	about := &next.leaders[leader].replicas[place]
	about.answer = answerState{}
	*about = about.withProgress(about.progress().Acknowledge(uint64(answer.seq), uint64(answer.set)))
	w.recount(&next, leader, answer.set)
	visit(Step{stepAnswer, [4]uint8{leader, owner.epoch, place}}, &next)
	if w.Losses {
		next := *state
		next.leaders[leader].replicas[place].answer = answerState{}
		next.leaders[leader].replicas[place].mute = true
		visit(Step{stepLostAnswer, [4]uint8{leader, owner.epoch, place}}, &next)
	}
}

// recount finds what is committed once an answer came to a message that was
// sent under a version, and has clients told of it.
func (w *Membership) recount(state *MembershipState, leader, sent uint8) {
	owner := &state.leaders[leader]
	version := w.Rules.CountedBy(sent, owner.set)
	committed, reached := w.Rules.Committed(uint64(owner.committed), state.voters(leader, version))
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
	for place, base := range w.Bases {
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

// census has a serving leader tell that its shard is whole on a majority, and
// on which learners.
func (w *Membership) census(state *MembershipState, leader uint8, visit func(Step, *MembershipState)) {
	owner := &state.leaders[leader]
	if !owner.serving || owner.set != state.current || state.proposed != 0 {
		return
	}
	next := *state
	committed, version := uint64(owner.committed), uint64(owner.set)
	next.settled = state.settled || w.Rules.Settled(committed, version, state.voters(leader, owner.set))
	for place := range w.places() {
		if state.sets[owner.set].learners.has(place) && owner.replicas[place].progress().Whole(committed, version) {
			next.filled |= 1 << place
		}
	}
	if next.settled != state.settled || next.filled != state.filled {
		visit(Step{stepCensus, [4]uint8{leader, owner.epoch}}, &next)
	}
}

// proposals has the set's next version proposed: a blank replica learns, a
// whole learner gets a vote, a voter is dropped, or replaced by a blank one at
// its address.
func (w *Membership) proposals(state *MembershipState, visit func(Step, *MembershipState)) {
	if int(state.newest()) >= w.Sets {
		return
	}
	current := state.sets[state.current]
	for place := range w.places() {
		bit := replicaMask(1) << place
		switch {
		case current.voters.has(place):
			w.propose(state, setState{current.voters &^ bit, current.learners}, visit)
			for spare := range w.places() {
				if w.isSpare(state, spare) {
					w.propose(state, setState{current.voters &^ bit, current.learners | 1<<spare}, visit)
				}
			}
		case current.learners.has(place):
			if state.filled.has(place) {
				w.propose(state, setState{current.voters | bit, current.learners &^ bit}, visit)
				for other := range w.places() {
					if current.voters.has(other) {
						w.propose(state, setState{current.voters&^(1<<other) | bit, current.learners &^ bit}, visit)
					}
				}
			}
		case w.isSpare(state, place):
			w.propose(state, setState{current.voters, current.learners | bit}, visit)
		}
	}
}

// isSpare tells that a replica is in no set now; it may be blank, or have been
// dropped with what it holds.
func (w *Membership) isSpare(state *MembershipState, place uint8) bool {
	current := state.sets[state.current]
	return !(current.voters | current.learners).has(place) && !state.members[place].wiped
}

func (w *Membership) propose(state *MembershipState, set setState, visit func(Step, *MembershipState)) {
	if countBits(int(set.voters)) < leastVoters {
		return
	}
	next := *state
	version := state.newest() + 1
	next.sets[version] = set
	if w.Rules.JudgeProposal(state.record(), next.replicaSet(version)) != consensus.ProposalAccepted {
		return
	}
	next.proposed = version
	next.took = 0
	visit(Step{stepPropose, [4]uint8{uint8(set.voters), uint8(set.learners), version}}, &next)
}

// adoptions has replicas adopt sets, and a change concluded.
func (w *Membership) adoptions(state *MembershipState, visit func(Step, *MembershipState)) {
	for version := uint8(1); version <= state.newest(); version++ {
		for place := range w.places() {
			w.adopt(state, place, version, visit)
		}
	}
	if state.proposed == 0 {
		return
	}
	took := func(id string) bool {
		for place, name := range replicaNames {
			if name == id {
				return state.took.has(uint8(place))
			}
		}
		return false
	}
	if w.Rules.Adopted(state.replicaSet(state.current), state.replicaSet(state.proposed), took) {
		next := *state
		next.current, next.proposed, next.settled = state.proposed, 0, false
		next.took, next.filled = 0, 0
		visit(Step{stepConclude, [4]uint8{next.current}}, &next)
	}
}

func (w *Membership) adopt(state *MembershipState, place, version uint8, visit func(Step, *MembershipState)) {
	replica := state.members[place]
	inSet := (state.sets[version].voters | state.sets[version].learners).has(place)
	leaving := version == state.proposed && (state.sets[state.current].voters | state.sets[state.current].learners).has(place)
	if replica.wiped || !inSet && !leaving {
		return
	}
	var before *consensus.ReplicaSet
	if replica.set > 0 {
		set := state.replicaSet(replica.set)
		before = &set
	}
	if w.Rules.JudgeSet(before, state.replicaSet(version)) != consensus.Accepted {
		return
	}
	next := *state
	next.members[place].set = version
	if !inSet {
		next.members[place].held = shardCopy{}
	}
	if version == state.proposed {
		next.took |= 1 << place
	}
	next.adopted = max(state.adopted, version)
	if next.members[place] != state.members[place] || next.took != state.took {
		visit(Step{stepAdopt, [4]uint8{place, version}}, &next)
	}
}

// wipes has replicas lose their disks, each once the one before was replaced.
func (w *Membership) wipes(state *MembershipState, visit func(Step, *MembershipState)) {
	if int(state.wipes) >= w.Wipes || w.lost(state) >= w.Budget {
		return
	}
	for place := range w.places() {
		if state.members[place].wiped || state.members[place].set == 0 {
			continue
		}
		next := *state
		next.members[place] = member{wiped: true}
		next.wipes++
		visit(Step{stepWipe, [4]uint8{place}}, &next)
	}
}

// lost counts the replicas that are lost and not yet replaced: they have votes,
// or their places are not filled by a settled set.
func (w *Membership) lost(state *MembershipState) int {
	count, voters := 0, state.sets[state.current].voters
	unsettled := !state.settled || state.proposed != 0
	for place := range w.places() {
		if state.members[place].wiped && (voters.has(place) || unsettled || countBits(int(voters)) < w.Voters) {
			count++
		}
	}
	return count
}

// Violation names the invariant that is broken.
func (w *Membership) Violation(state *MembershipState) string {
	switch {
	case state.broken != holds:
		return invariantNames[state.broken]
	case !w.majoritiesShare(state):
		return SharedMajority
	case !w.recoverable(state):
		return NothingLost
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
		if w.Rules.Judge(self, consensus.Shard{}, claim) == consensus.Accepted {
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
	for version := 1; version <= w.Sets; version++ {
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
