package model

import (
	"fordseam/internal/consensus"
)

const (
	// maxSetVersions bounds Membership.SetVersions.
	maxSetVersions = 5
	// minVoters is the smallest number of voters in a set.
	minVoters = 3
)

// Membership models a shard whose replica set changes. The record of the set is
// kept in the register, and the Replication model checks that the register is
// linearizable. It is therefore modelled as one record with atomic changes. The
// leader of the register's first shard changes it; two candidates for that
// leadership act on the same record. The leaders of the shard, one of which may
// be out of date, each use the newest version of the set that they have learned.
// A leader has at most one message in flight to each replica, and the answer may
// be delayed for any time.
type Membership struct {
	Rules MembershipRules
	// Voters and Learners are the numbers of replicas in the first set, and Spares
	// is the number of blank replicas that are in no set.
	Voters   int
	Learners int
	Spares   int
	// SetVersions is the highest version of the set. The first set is version 1.
	SetVersions int
	Leaders     int
	Epochs      int
	// SingleAttempt limits each leader to one attempt, under an epoch of its own.
	SingleAttempt bool
	// InitialLeader makes the first leader serve under epoch 1 in the initial state.
	InitialLeader bool
	// BaseVersions are the versions that the clients' documents build on: document
	// 1+i builds on BaseVersions[i].
	BaseVersions []uint8
	// Wipes is how many replicas lose their disks in all.
	Wipes int
	// FaultBudget is how many replicas may be lost and not yet replaced at a time.
	FaultBudget int
	// ImmediateAnswers delivers a replica's answer to the leader at once.
	ImmediateAnswers bool
	// MessageLoss lets messages and answers be lost.
	MessageLoss bool
	// Reads lets clients read from leaders.
	Reads bool
}

// MembershipRules adds the decision functions for changes of the set to Rules.
type MembershipRules struct {
	Rules
	CheckProposal func(record consensus.SetRecord, next consensus.ReplicaSet) consensus.ProposalRejection
	CheckSet      func(known *consensus.ReplicaSet, offered consensus.ReplicaSet) consensus.Rejection
	Adopted       func(before, after consensus.ReplicaSet, accepted func(id string) bool) bool
	Settled       func(committed, setVersion uint64, voters []consensus.Progress) bool
	// CountingVersion returns the version of the set whose voters a leader counts
	// when the answer to a message sent under one version arrives and the leader
	// knows another.
	CountingVersion func(sent, known uint8) uint8
}

// replicaMask is a bit mask of replicas by their indexes.
type replicaMask uint8

func (m replicaMask) has(replicaIndex uint8) bool { return m&(1<<replicaIndex) != 0 }

// setMembers are the members of one version of the set.
type setMembers struct {
	voters   replicaMask
	learners replicaMask
}

// member is a replica. It syncs every change before it answers.
type member struct {
	shard      shardCopy
	setVersion uint8 // 0 before it has adopted a set
	wiped      bool
}

// answerState is a replica's answer in flight to a leader.
type answerState struct {
	inFlight   bool
	setVersion uint8
	seq        uint8
}

// replicaProgress is what a leader knows of a replica. See consensus.Progress.
type replicaProgress struct {
	installed    bool
	unresponsive bool
	acked        uint8
	setVersion   uint8
	answer       answerState
}

// membershipLeader is the state of a leader. The epoch is 0 before its first
// attempt.
type membershipLeader struct {
	epoch             uint8
	setVersion        uint8 // the newest version that it has learned
	promiseSetVersion uint8 // the version whose voters it asks for promises
	contentChosen     bool
	serving           bool
	base              uint8
	tail              uint8
	committed         uint8
	content           history
	promises          [maxReplicas]promiseReply
	replicas          [maxReplicas]replicaProgress
	read              readState
	readSetVersion    uint8 // the version whose voters confirm the read
}

// MembershipState is a state of the Membership model.
type MembershipState struct {
	members [maxReplicas]member
	leaders [maxLeaders]membershipLeader
	sets    [maxSetVersions + 1]setMembers
	// current, proposed and settled are the record of the set, with proposed 0 if
	// no change is pending. adoptedBy are the replicas that have answered that they
	// adopted the proposed set. filledLearners are the learners that have been
	// reported to hold the whole shard.
	current        uint8
	proposed       uint8
	settled        bool
	adoptedBy      replicaMask
	filledLearners replicaMask
	// maxAdopted is the highest version that any replica has adopted.
	maxAdopted uint8
	// confirmedBy is one more than the index of the leader that a majority confirmed
	// under an epoch, 0 if none.
	confirmedBy [maxEpochs]uint8
	observed    observation
	wipes       uint8
	violation   violation
}

const (
	stepDeliver uint8 = iota + 64
	stepAnswerArrives
	stepLostRequest
	stepLostAnswer
	stepLearnSet
	stepProposeSet
	stepAdoptSet
	stepConcludeChange
	stepCensus
)

// ImplementedMembershipRules returns the rules that run in production.
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

// Initial returns a state in which all members have adopted the first set.
func (m *Membership) Initial() MembershipState {
	var state MembershipState
	members := m.Voters + m.Learners
	state.sets[1].voters = 1<<m.Voters - 1
	state.sets[1].learners = 1<<members - 1 - state.sets[1].voters
	state.current, state.settled, state.maxAdopted = 1, true, 1
	for replicaIndex := range members {
		state.members[replicaIndex].setVersion = 1
	}
	for replicaIndex := range m.Leaders {
		state.leaders[replicaIndex].setVersion = 1
	}
	if m.InitialLeader {
		m.startServing(&state, members)
	}
	return state
}

// startServing makes the first leader serve under epoch 1, with its snapshot
// installed on all members.
func (m *Membership) startServing(state *MembershipState, members int) {
	leader := &state.leaders[0]
	*leader = membershipLeader{epoch: 1, setVersion: 1, promiseSetVersion: 1, contentChosen: true, serving: true}
	for replicaIndex := range members {
		state.members[replicaIndex].shard = shardCopy{promisedEpoch: 1, leader: 1, installedEpoch: 1}
		leader.replicas[replicaIndex] = replicaProgress{installed: true, setVersion: 1}
	}
	state.confirmedBy[0] = 1
}

// replicaCount returns the number of replicas, in the set or not.
func (m *Membership) replicaCount() uint8 { return uint8(m.Voters + m.Learners + m.Spares) }

// replicaSet returns a version of the set as the decision functions take it.
func (s *MembershipState) replicaSet(version uint8) consensus.ReplicaSet {
	set := consensus.ReplicaSet{Version: uint64(version)}
	for replicaIndex := range uint8(maxReplicas) {
		voter, learner := s.sets[version].voters.has(replicaIndex), s.sets[version].learners.has(replicaIndex)
		if voter || learner {
			set.Members = append(set.Members, consensus.Member{ID: replicaNames[replicaIndex], Learner: learner})
		}
	}
	return set
}

// setRecord returns the record of the set as the decision functions take it.
func (s *MembershipState) setRecord() consensus.SetRecord {
	return consensus.SetRecord{Current: s.replicaSet(s.current), NextVersion: uint64(s.proposed), Settled: s.settled}
}

// newestVersion returns the highest version that has been proposed.
func (s *MembershipState) newestVersion() uint8 { return max(s.current, s.proposed) }

// voterProgress returns what a leader knows of the voters of a version.
func (s *MembershipState) voterProgress(leaderIndex, version uint8) []consensus.Progress {
	var voters []consensus.Progress
	for replicaIndex := range uint8(maxReplicas) {
		if s.sets[version].voters.has(replicaIndex) {
			voters = append(voters, s.leaders[leaderIndex].replicas[replicaIndex].toConsensus())
		}
	}
	return voters
}

func (p replicaProgress) toConsensus() consensus.Progress {
	return consensus.Progress{Installed: p.installed, Acked: uint64(p.acked), SetVersion: uint64(p.setVersion), Unresponsive: p.unresponsive}
}

func (p replicaProgress) withProgress(next consensus.Progress) replicaProgress {
	p.installed, p.unresponsive, p.acked, p.setVersion = next.Installed, next.Unresponsive, uint8(next.Acked), uint8(next.SetVersion)
	return p
}
