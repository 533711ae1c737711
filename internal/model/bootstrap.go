package model

import (
	"fmt"

	"fordseam/internal/consensus"
)

const (
	maxSeeds   = 3
	maxBallots = 12
)

// Bootstrap is the world of the seeds that decide on the first set. Each try of
// a seed brings a set of its own, named by its ballot. A seed may come back
// without memory at any step; a message may arrive at any time after it was
// sent, again, or never.
type Bootstrap struct {
	Rules BootstrapRules
	Seeds int
	// MaxBallot is the highest ballot that is tried.
	MaxBallot uint8
	// MaxRestarts is how many seeds come back without memory.
	MaxRestarts int
}

// BootstrapRules are the decisions of the seeds.
type BootstrapRules struct {
	Prepare func(vote consensus.Acceptor[uint8], ballot uint64) (consensus.Acceptor[uint8], bool)
	Accept  func(vote consensus.Acceptor[uint8], ballot uint64, value uint8) (consensus.Acceptor[uint8], bool)
	Learn   func(proposal consensus.Proposal[uint8], accepted uint64, value uint8) consensus.Proposal[uint8]
	Quorum  func(seeds int) int
	// FirstIncarnationOnly has a seed that came back neither vote nor propose.
	FirstIncarnationOnly bool
}

// ImplementedBootstrapRules are the decisions that run in production.
func ImplementedBootstrapRules() BootstrapRules {
	return BootstrapRules{
		Prepare:              consensus.Acceptor[uint8].Prepare,
		Accept:               consensus.Acceptor[uint8].Accept,
		Learn:                consensus.Proposal[uint8].Learn,
		Quorum:               consensus.Majority,
		FirstIncarnationOnly: true,
	}
}

// seedState is a seed's vote and its own try.
type seedState struct {
	promised uint8
	accepted uint8
	value    uint8
	restarts uint8
	// ballot is that of its try, 0 while it has none; the proposal is what it
	// would have the others vote for, and prepared and supported are those that
	// answered.
	ballot    uint8
	proposed  uint8
	newest    uint8
	prepared  uint8
	supported uint8
}

// BootstrapState is a state of Bootstrap.
type BootstrapState struct {
	seeds [maxSeeds]seedState
	// sent is what each ballot asked the seeds to accept, 0 before it did; its
	// messages may still arrive.
	sent    [maxBallots + 1]uint8
	begun   uint16
	decided uint8
	broken  violation
}

const (
	stepTry uint8 = iota + 128
	stepPrepare
	stepAsk
	stepAccept
	stepRestart
)

// Initial has seeds that have not voted.
func (w *Bootstrap) Initial() BootstrapState { return BootstrapState{} }

// Violation names the invariant that is broken.
func (w *Bootstrap) Violation(state *BootstrapState) string { return invariantNames[state.broken] }

func (s seedState) vote() consensus.Acceptor[uint8] {
	return consensus.Acceptor[uint8]{Promised: uint64(s.promised), Accepted: uint64(s.accepted), Value: s.value}
}

func (s seedState) withVote(next consensus.Acceptor[uint8]) seedState {
	s.promised, s.accepted, s.value = uint8(next.Promised), uint8(next.Accepted), next.Value
	return s
}

func (s seedState) proposal() consensus.Proposal[uint8] {
	return consensus.Proposal[uint8]{Accepted: uint64(s.newest), Value: s.proposed}
}

// takesPart tells that a seed votes and proposes.
func (w *Bootstrap) takesPart(seed seedState) bool {
	return seed.restarts == 0 || !w.Rules.FirstIncarnationOnly
}

// Steps visits every step of every seed.
func (w *Bootstrap) Steps(state *BootstrapState, visit func(Step, *BootstrapState)) {
	for place := range uint8(w.Seeds) {
		if w.takesPart(state.seeds[place]) {
			w.tries(state, place, visit)
		}
		w.restarts(state, place, visit)
	}
	for ballot := uint8(1); ballot <= w.MaxBallot; ballot++ {
		if state.begun&(1<<ballot) == 0 {
			continue
		}
		for place := range uint8(w.Seeds) {
			if w.takesPart(state.seeds[place]) {
				w.votes(state, ballot, place, visit)
			}
		}
	}
}

// tries has a seed begin a try, and go on with it once enough have promised.
func (w *Bootstrap) tries(state *BootstrapState, place uint8, visit func(Step, *BootstrapState)) {
	seed := state.seeds[place]
	ballot := consensus.NextBallot(uint64(seed.promised), w.Seeds, int(place))
	if ballot <= uint64(w.MaxBallot) {
		next := *state
		trying := &next.seeds[place]
		trying.promised, trying.ballot = uint8(ballot), uint8(ballot)
		trying.proposed, trying.newest = uint8(ballot), 0
		trying.prepared, trying.supported = 0, 0
		next.begun |= 1 << ballot
		visit(Step{stepTry, [4]uint8{place, uint8(ballot)}}, &next)
	}
	if seed.ballot > 0 && state.sent[seed.ballot] == 0 && countBits(int(seed.prepared)) >= w.Rules.Quorum(w.Seeds) {
		next := *state
		next.sent[seed.ballot] = seed.proposed
		visit(Step{stepAsk, [4]uint8{place, seed.ballot, seed.proposed}}, &next)
	}
}

// votes delivers a ballot's messages to a seed, with and without the answer.
func (w *Bootstrap) votes(state *BootstrapState, ballot, place uint8, visit func(Step, *BootstrapState)) {
	proposer := ballot % uint8(w.Seeds)
	for _, answers := range []bool{true, false} {
		if vote, ok := w.Rules.Prepare(state.seeds[place].vote(), uint64(ballot)); ok {
			next := *state
			next.seeds[place] = next.seeds[place].withVote(vote)
			trying := &next.seeds[proposer]
			if answers && trying.ballot == ballot && state.sent[ballot] == 0 {
				learnt := w.Rules.Learn(trying.proposal(), vote.Accepted, vote.Value)
				trying.newest, trying.proposed = uint8(learnt.Accepted), learnt.Value
				trying.prepared |= 1 << place
			}
			visit(Step{stepPrepare, [4]uint8{place, ballot, 0, flag(answers)}}, &next)
		}
		value := state.sent[ballot]
		if value == 0 {
			continue
		}
		if vote, ok := w.Rules.Accept(state.seeds[place].vote(), uint64(ballot), value); ok {
			next := *state
			next.seeds[place] = next.seeds[place].withVote(vote)
			if trying := &next.seeds[proposer]; answers && trying.ballot == ballot {
				trying.supported |= 1 << place
				w.decide(&next, trying.supported, value)
			}
			visit(Step{stepAccept, [4]uint8{place, ballot, value, flag(answers)}}, &next)
		}
	}
}

// decide notes a set that enough seeds voted for.
func (w *Bootstrap) decide(state *BootstrapState, supported, value uint8) {
	if countBits(int(supported)) < w.Rules.Quorum(w.Seeds) {
		return
	}
	if state.decided != 0 && state.decided != value {
		state.broken = brokenCluster
	}
	state.decided = value
}

// restarts has a seed come back without memory.
func (w *Bootstrap) restarts(state *BootstrapState, place uint8, visit func(Step, *BootstrapState)) {
	count := 0
	for _, seed := range state.seeds {
		count += int(seed.restarts)
	}
	if count >= w.MaxRestarts {
		return
	}
	next := *state
	next.seeds[place] = seedState{restarts: state.seeds[place].restarts + 1}
	visit(Step{stepRestart, [4]uint8{place}}, &next)
}

// Key appends the whole state: seeds differ by their ballots.
func (w *Bootstrap) Key(state *BootstrapState, key []byte) []byte {
	for place := range state.seeds[:w.Seeds] {
		seed := &state.seeds[place]
		key = append(key, seed.promised, seed.accepted, seed.value, seed.restarts,
			seed.ballot, seed.proposed, seed.newest, seed.prepared, seed.supported)
	}
	key = append(key, state.sent[:]...)
	return append(key, uint8(state.begun), uint8(state.begun>>8), state.decided, uint8(state.broken))
}

// Describe puts a step into words.
func (w *Bootstrap) Describe(step Step) string {
	place, ballot, value := step.Operands[0], step.Operands[1], step.Operands[2]
	answer := "; its answer arrives"
	if step.Operands[3] == 0 {
		answer = "; its answer is lost"
	}
	switch step.Kind {
	case stepTry:
		return fmt.Sprintf("seed %d tries ballot %d", place, ballot)
	case stepPrepare:
		return fmt.Sprintf("seed %d promises ballot %d%s", place, ballot, answer)
	case stepAsk:
		return fmt.Sprintf("seed %d asks for votes for set %d under ballot %d", place, value, ballot)
	case stepAccept:
		return fmt.Sprintf("seed %d votes for set %d under ballot %d%s", place, value, ballot, answer)
	case stepRestart:
		return fmt.Sprintf("seed %d comes back without memory", place)
	}
	return fmt.Sprint("step ", step.Kind)
}
