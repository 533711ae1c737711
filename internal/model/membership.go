package model

import (
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
	// SetVersions is how many versions of the set there are, the first included.
	SetVersions int
	Leaders     int
	Epochs      int
	// SingleAttempt has each leader try once, under an epoch of its own.
	SingleAttempt bool
	// InitialLeader has the first leader serve from the start, under epoch 1.
	InitialLeader bool
	// BaseVersions are the versions that the clients' documents build on.
	BaseVersions []uint8
	// Wipes is how many replicas lose their disks; the next one does once the
	// one before was replaced.
	Wipes int
	// FaultBudget is how many replicas may be lost at once.
	FaultBudget int
	// ImmediateAnswers has a replica's answer reach the leader at once.
	ImmediateAnswers bool
	// MessageLoss has messages and answers get lost.
	MessageLoss bool
	// Reads has leaders answer reads.
	Reads bool
}

// MembershipRules are the decisions about a changing set, beside Rules.
type MembershipRules struct {
	Rules
	CheckProposal func(record consensus.SetRecord, next consensus.ReplicaSet) consensus.ProposalRejection
	CheckSet      func(known *consensus.ReplicaSet, offered consensus.ReplicaSet) consensus.Rejection
	Adopted       func(before, after consensus.ReplicaSet, took func(id string) bool) bool
	Settled       func(committed, setVersion uint64, voters []consensus.Progress) bool
	// CountingVersion is the version whose voters a leader counts when an answer to a
	// message sent under one version arrives and it knows another.
	CountingVersion func(sent, known uint8) uint8
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
		Rules:           ImplementedRules(),
		CheckProposal:   consensus.SetRecord.CheckProposal,
		CheckSet:        consensus.CheckSet,
		Adopted:         consensus.Adopted,
		Settled:         consensus.MajorityAcked,
		CountingVersion: func(_, known uint8) uint8 { return known },
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
	if w.InitialLeader {
		w.lead(&state, members)
	}
	return state
}

// lead has the first leader serve, with its snapshot on the first members.
func (w *Membership) lead(state *MembershipState, members int) {
	leader := &state.leaders[0]
	*leader = candidate{epoch: 1, set: 1, askedAt: 1, taken: true, serving: true}
	for place := range members {
		state.members[place].held = shardCopy{promised: 1, leader: 1, installed: 1}
		leader.replicas[place] = known{installed: true, set: 1}
	}
	state.confirmedBy[0] = 1
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
	return consensus.Progress{Installed: k.installed, Acked: uint64(k.acked), SetVersion: uint64(k.set), Unresponsive: k.mute}
}

func (k known) withProgress(next consensus.Progress) known {
	k.installed, k.mute, k.acked, k.set = next.Installed, next.Unresponsive, uint8(next.Acked), uint8(next.SetVersion)
	return k
}
