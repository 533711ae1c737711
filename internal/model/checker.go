// Package model is an explicit-state model checker for the control protocol. A
// System is a bounded model of replicas, leaders, seeds or followers whose steps
// call the decision functions of package consensus, the same that run in
// production. The checker visits each state that is reachable by any
// interleaving of steps, breadth first, so that the trace of the first violation
// found is a shortest one.
//
// If a system violates an invariant under the rules as implemented, the protocol
// is wrong. Each rule of a system can also be replaced by a weaker one. The
// checker must then find a violation; otherwise the system does not test the
// rule.
package model

import (
	"hash/maphash"
	"time"

	"fordseam/internal/base"
)

// Step identifies a transition of a system. Its kind and operands have a meaning
// only to that system, whose Describe renders them.
type Step struct {
	Kind     uint8
	Operands [4]uint8
}

// System is a bounded transition system. Its state S must be a plain value, so
// that an assignment copies all of it.
type System[S any] interface {
	// Initial returns the initial state.
	Initial() S
	// Steps calls visit with each possible step from a state and the state after
	// it. visit must not retain next.
	Steps(state *S, visit func(step Step, next *S))
	// Violation returns the name of the invariant that a state violates, or "".
	Violation(state *S) string
	// Key appends an encoding of the state by which equal states are found. States
	// that are equal but for a permutation of interchangeable parties may have the
	// same key (symmetry reduction).
	Key(state *S, key []byte) []byte
	// Describe returns a step's line in a trace.
	Describe(step Step) string
}

// Limits bound a search. A zero field is no limit.
type Limits struct {
	States int
	Depth  int
	Time   time.Duration
}

// Result is the result of a search.
type Result struct {
	// States is the number of distinct states visited, and Depth is the largest
	// number of steps from the initial state at which one was found.
	States int
	Depth  int
	Time   time.Duration
	// Complete reports whether every reachable state was visited: no limit and no
	// violation ended the search.
	Complete bool
	// Violation is the name of the violated invariant, "" if there is none, and
	// Trace lists the steps of a shortest path to the violation.
	Violation string
	Trace     []string
}

// fingerprint is a 128-bit hash that stands for a state. That two states of one
// search have the same one is less likely than a hardware error.
type fingerprint [2]uint64

// transition is the step by which a state was first reached, and the index of
// the state before it, -1 for the initial state.
type transition struct {
	parent int32
	step   Step
}

// search is the state of a breadth-first search. transitions has an element for
// each state, in the order of discovery.
type search[S any] struct {
	system      System[S]
	seeds       [2]maphash.Seed
	seen        map[fingerprint]struct{}
	transitions []transition
	keyBuffer   []byte
}

// frontierState is a discovered state that is yet to be expanded, with its index
// in search.transitions.
type frontierState[S any] struct {
	index int32
	state S
}

// clockCheckInterval is how many states are expanded between two checks of the
// time limit.
const clockCheckInterval = 1024

// Check searches the states of a system until all are visited, a limit is
// reached or an invariant is violated.
func Check[S any](clock base.Clock, system System[S], limits Limits) Result {
	started := clock.Now()
	run := &search[S]{
		system: system,
		seeds:  [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		seen:   map[fingerprint]struct{}{},
	}
	initial := system.Initial()
	run.add(&initial, transition{parent: -1})
	result := Result{Violation: system.Violation(&initial)}
	frontier := []frontierState[S]{{state: initial}}
	stopped := result.Violation != ""
	expanded := 0
	for len(frontier) > 0 && !stopped {
		if limits.Depth > 0 && result.Depth >= limits.Depth {
			break
		}
		var next []frontierState[S]
		for index := range frontier {
			next = run.expand(&frontier[index], next, &result)
			expanded++
			timeExceeded := limits.Time > 0 && expanded%clockCheckInterval == 0 && clock.Now()-started > limits.Time
			statesExceeded := limits.States > 0 && len(run.transitions) >= limits.States
			if result.Violation != "" || timeExceeded || statesExceeded {
				stopped = true
				break
			}
		}
		if len(next) > 0 {
			result.Depth++
		}
		frontier = next
	}
	result.States = len(run.transitions)
	result.Complete = !stopped && len(frontier) == 0
	result.Time = clock.Now() - started
	return result
}

// expand visits the successors of a state and appends the new ones to next.
func (s *search[S]) expand(from *frontierState[S], next []frontierState[S], result *Result) []frontierState[S] {
	s.system.Steps(&from.state, func(step Step, state *S) {
		if result.Violation != "" || !s.add(state, transition{parent: from.index, step: step}) {
			return
		}
		index := int32(len(s.transitions) - 1)
		if violation := s.system.Violation(state); violation != "" {
			result.Violation = violation
			result.Trace = s.trace(index)
			return
		}
		next = append(next, frontierState[S]{index: index, state: *state})
	})
	return next
}

// add records a state and the transition to it, and reports whether the state is
// new.
func (s *search[S]) add(state *S, via transition) bool {
	s.keyBuffer = s.system.Key(state, s.keyBuffer[:0])
	sum := fingerprint{maphash.Bytes(s.seeds[0], s.keyBuffer), maphash.Bytes(s.seeds[1], s.keyBuffer)}
	if _, known := s.seen[sum]; known {
		return false
	}
	s.seen[sum] = struct{}{}
	s.transitions = append(s.transitions, via)
	return true
}

// trace lists the descriptions of the steps from the initial state to the one
// with this index.
func (s *search[S]) trace(index int32) []string {
	var reversed []string
	for index > 0 {
		via := s.transitions[index]
		reversed = append(reversed, s.system.Describe(via.step))
		index = via.parent
	}
	trace := make([]string, 0, len(reversed))
	for position := len(reversed) - 1; position >= 0; position-- {
		trace = append(trace, reversed[position])
	}
	return trace
}
