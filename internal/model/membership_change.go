// How the set changes: census, proposals, adoption, and disks that are lost.

package model

import (
	"fordseam/internal/consensus"
)

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
		if state.sets[owner.set].learners.has(place) && owner.replicas[place].progress().AckedUnder(committed, version) {
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
	if int(state.newest()) >= w.SetVersions {
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
	if w.Rules.CheckProposal(state.record(), next.replicaSet(version)) != consensus.ProposalAccepted {
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
	if w.Rules.CheckSet(before, state.replicaSet(version)) != consensus.Accepted {
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
	if int(state.wipes) >= w.Wipes || w.lost(state) >= w.FaultBudget {
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
