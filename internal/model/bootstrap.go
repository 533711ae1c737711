package model

import (
	"fmt"

	"fordseam/internal/consensus"
)

const (
	maxSeeds   = 3
	maxBallots = 12
)

// Bootstrap models the seeds that decide on the first replica set by
// single-decree Paxos. Each ballot of a seed proposes a set of its own, which is
// identified by the ballot. A seed may restart at any step, with its saved votes or
// without its state. A message may be delayed, duplicated or lost.
type Bootstrap struct {
	Rules BootstrapRules
	Seeds int
	// MaxBallot is the highest ballot that a seed starts.
	MaxBallot uint8
	// MaxRestarts is how many restarts of seeds that lose their state there may be in
	// all, and MaxResumes how many of seeds that keep their saved votes.
	MaxRestarts int
	MaxResumes  int
}

// BootstrapRules are the decision functions of the seeds.
type BootstrapRules struct {
	Prepare func(vote consensus.Acceptor[uint8], ballot uint64) (consensus.Acceptor[uint8], bool)
	Accept  func(vote consensus.Acceptor[uint8], ballot uint64, value uint8) (consensus.Acceptor[uint8], bool)
	Learn   func(proposal consensus.Proposal[uint8], accepted uint64, value uint8) consensus.Proposal[uint8]
	Quorum  func(seeds int) int
	// FirstIncarnationOnly keeps a seed that has restarted from voting and proposing.
	FirstIncarnationOnly bool
	// Saved returns what a seed still has of its votes after a restart that keeps its
	// disk.
	Saved func(vote consensus.Acceptor[uint8]) consensus.Acceptor[uint8]
}

// ImplementedBootstrapRules returns the rules that run in production.
func ImplementedBootstrapRules() BootstrapRules {
	return BootstrapRules{
		Prepare:              consensus.Acceptor[uint8].Prepare,
		Accept:               consensus.Acceptor[uint8].Accept,
		Learn:                consensus.Proposal[uint8].Learn,
		Quorum:               consensus.Majority,
		FirstIncarnationOnly: true,
		Saved:                func(vote consensus.Acceptor[uint8]) consensus.Acceptor[uint8] { return vote },
	}
}

// seedState is a seed's state as an acceptor and as the proposer of its own
// ballot.
type seedState struct {
	promisedBallot uint8
	acceptedBallot uint8
	acceptedValue  uint8
	restarts       uint8
	resumes        uint8
	// ballot is the seed's own ballot, 0 before it starts one. proposedValue is
	// the value to propose under it, and highestAccepted is the ballot under which
	// that value was accepted before, 0 if it is the seed's own. preparedBy and
	// acceptedBy are bit masks of the seeds whose answers arrived.
	ballot          uint8
	proposedValue   uint8
	highestAccepted uint8
	preparedBy      uint8
	acceptedBy      uint8
}

// BootstrapState is a state of the Bootstrap model.
type BootstrapState struct {
	seeds [maxSeeds]seedState
	// sentValues are the values that the seeds were asked to accept, by ballot, 0
	// if not asked yet. The messages may arrive at any later time.
	sentValues     [maxBallots + 1]uint8
	startedBallots uint16
	decided        uint8
	violation      violation
}

const (
	stepNewBallot uint8 = iota + 128
	stepPrepare
	stepSendAccept
	stepAccept
	stepRestart
	stepResume
)

// Initial returns a state in which no seed has voted.
func (b *Bootstrap) Initial() BootstrapState { return BootstrapState{} }

// Violation returns the name of the violated invariant, if any.
func (b *Bootstrap) Violation(state *BootstrapState) string { return invariantNames[state.violation] }

func (s seedState) acceptor() consensus.Acceptor[uint8] {
	return consensus.Acceptor[uint8]{Promised: uint64(s.promisedBallot), Accepted: uint64(s.acceptedBallot), Value: s.acceptedValue}
}

func (s seedState) withAcceptor(next consensus.Acceptor[uint8]) seedState {
	s.promisedBallot, s.acceptedBallot, s.acceptedValue = uint8(next.Promised), uint8(next.Accepted), next.Value
	return s
}

func (s seedState) proposal() consensus.Proposal[uint8] {
	return consensus.Proposal[uint8]{Accepted: uint64(s.highestAccepted), Value: s.proposedValue}
}

// participates reports whether a seed votes and proposes.
func (b *Bootstrap) participates(seed seedState) bool {
	return seed.restarts == 0 || !b.Rules.FirstIncarnationOnly
}

// Steps visits the state after each possible step of each seed.
func (b *Bootstrap) Steps(state *BootstrapState, visit func(Step, *BootstrapState)) {
	for index := range uint8(b.Seeds) {
		if b.participates(state.seeds[index]) {
			b.proposerSteps(state, index, visit)
		}
		b.restartSteps(state, index, visit)
		b.resumeSteps(state, index, visit)
	}
	for ballot := uint8(1); ballot <= b.MaxBallot; ballot++ {
		if state.startedBallots&(1<<ballot) == 0 {
			continue
		}
		for index := range uint8(b.Seeds) {
			if b.participates(state.seeds[index]) {
				b.acceptorSteps(state, ballot, index, visit)
			}
		}
	}
}

// proposerSteps lets a seed start a ballot, or ask the seeds to accept its
// proposal once a quorum has promised the ballot.
func (b *Bootstrap) proposerSteps(state *BootstrapState, index uint8, visit func(Step, *BootstrapState)) {
	seed := state.seeds[index]
	ballot := consensus.NextBallot(uint64(seed.promisedBallot), b.Seeds, int(index))
	if ballot <= uint64(b.MaxBallot) {
		next := *state
		proposer := &next.seeds[index]
		proposer.promisedBallot, proposer.ballot = uint8(ballot), uint8(ballot)
		proposer.proposedValue, proposer.highestAccepted = uint8(ballot), 0
		proposer.preparedBy, proposer.acceptedBy = 0, 0
		next.startedBallots |= 1 << ballot
		visit(Step{stepNewBallot, [4]uint8{index, uint8(ballot)}}, &next)
	}
	if seed.ballot > 0 && state.sentValues[seed.ballot] == 0 && countBits(int(seed.preparedBy)) >= b.Rules.Quorum(b.Seeds) {
		next := *state
		next.sentValues[seed.ballot] = seed.proposedValue
		visit(Step{stepSendAccept, [4]uint8{index, seed.ballot, seed.proposedValue}}, &next)
	}
}

// acceptorSteps delivers the messages of a ballot to a seed, each once with its
// answer delivered and once with its answer lost.
func (b *Bootstrap) acceptorSteps(state *BootstrapState, ballot, index uint8, visit func(Step, *BootstrapState)) {
	proposerIndex := ballot % uint8(b.Seeds)
	for _, answerArrives := range []bool{true, false} {
		if acceptor, ok := b.Rules.Prepare(state.seeds[index].acceptor(), uint64(ballot)); ok {
			next := *state
			next.seeds[index] = next.seeds[index].withAcceptor(acceptor)
			proposer := &next.seeds[proposerIndex]
			if answerArrives && proposer.ballot == ballot && state.sentValues[ballot] == 0 {
				learned := b.Rules.Learn(proposer.proposal(), acceptor.Accepted, acceptor.Value)
				proposer.highestAccepted, proposer.proposedValue = uint8(learned.Accepted), learned.Value
				proposer.preparedBy |= 1 << index
			}
			visit(Step{stepPrepare, [4]uint8{index, ballot, 0, boolToByte(answerArrives)}}, &next)
		}
		value := state.sentValues[ballot]
		if value == 0 {
			continue
		}
		if acceptor, ok := b.Rules.Accept(state.seeds[index].acceptor(), uint64(ballot), value); ok {
			next := *state
			next.seeds[index] = next.seeds[index].withAcceptor(acceptor)
			if proposer := &next.seeds[proposerIndex]; answerArrives && proposer.ballot == ballot {
				proposer.acceptedBy |= 1 << index
				b.recordDecision(&next, proposer.acceptedBy, value)
			}
			visit(Step{stepAccept, [4]uint8{index, ballot, value, boolToByte(answerArrives)}}, &next)
		}
	}
}

// recordDecision records the value as decided once a quorum has accepted it, and
// a violation if another one was decided before.
func (b *Bootstrap) recordDecision(state *BootstrapState, acceptedBy, value uint8) {
	if countBits(int(acceptedBy)) < b.Rules.Quorum(b.Seeds) {
		return
	}
	if state.decided != 0 && state.decided != value {
		state.violation = firstSetViolation
	}
	state.decided = value
}

// restartSteps restarts a seed, which loses its state.
func (b *Bootstrap) restartSteps(state *BootstrapState, index uint8, visit func(Step, *BootstrapState)) {
	count := 0
	for _, seed := range state.seeds {
		count += int(seed.restarts)
	}
	if count >= b.MaxRestarts {
		return
	}
	next := *state
	next.seeds[index] = seedState{restarts: state.seeds[index].restarts + 1}
	visit(Step{stepRestart, [4]uint8{index}}, &next)
}

// resumeSteps restarts a seed, which keeps its saved votes and forgets what it proposed.
func (b *Bootstrap) resumeSteps(state *BootstrapState, index uint8, visit func(Step, *BootstrapState)) {
	count := 0
	for _, seed := range state.seeds {
		count += int(seed.resumes)
	}
	if count >= b.MaxResumes {
		return
	}
	former := state.seeds[index]
	next := *state
	next.seeds[index] = seedState{restarts: former.restarts, resumes: former.resumes + 1}.withAcceptor(b.Rules.Saved(former.acceptor()))
	visit(Step{stepResume, [4]uint8{index}}, &next)
}

// Key appends the whole state. Seeds are not interchangeable, since each has
// ballots of its own.
func (b *Bootstrap) Key(state *BootstrapState, key []byte) []byte {
	for index := range state.seeds[:b.Seeds] {
		seed := &state.seeds[index]
		key = append(key, seed.promisedBallot, seed.acceptedBallot, seed.acceptedValue, seed.restarts, seed.resumes,
			seed.ballot, seed.proposedValue, seed.highestAccepted, seed.preparedBy, seed.acceptedBy)
	}
	key = append(key, state.sentValues[:]...)
	return append(key, uint8(state.startedBallots), uint8(state.startedBallots>>8), state.decided, uint8(state.violation))
}

// Describe returns a step's line in a trace.
func (b *Bootstrap) Describe(step Step) string {
	index, ballot, value := step.Operands[0], step.Operands[1], step.Operands[2]
	answer := "; the answer arrives"
	if step.Operands[3] == 0 {
		answer = "; the answer is lost"
	}
	switch step.Kind {
	case stepNewBallot:
		return fmt.Sprintf("seed %d starts ballot %d", index, ballot)
	case stepPrepare:
		return fmt.Sprintf("seed %d promises ballot %d%s", index, ballot, answer)
	case stepSendAccept:
		return fmt.Sprintf("seed %d asks the seeds to accept set %d under ballot %d", index, value, ballot)
	case stepAccept:
		return fmt.Sprintf("seed %d accepts set %d under ballot %d%s", index, value, ballot, answer)
	case stepRestart:
		return fmt.Sprintf("seed %d restarts and loses its state", index)
	case stepResume:
		return fmt.Sprintf("seed %d restarts and keeps its votes", index)
	}
	return fmt.Sprint("unknown step kind ", step.Kind)
}
