// Package model checks the control protocol by explicit-state search. A world
// is a bounded system of replicas, leaders, seeds or followers whose every step
// calls the decisions of internal/consensus, the ones that run in production;
// the checker visits each state that any order of steps reaches, breadth first,
// so that the first violation of an invariant has a shortest trace.
//
// A violation of a world under the rules as implemented is a fault of the
// protocol. Each rule can also be removed from a world, and the checker must
// then find a violation; otherwise the world would not test the rule.
package model

import (
	"hash/maphash"
	"time"

	"fordseam/internal/base"
)

// Step is one step of a world: a kind and its operands, which the world puts
// into words.
type Step struct {
	Kind     uint8
	Operands [4]uint8
}

// System is a bounded system. A state must be a plain value: copying it copies
// all of it.
type System[S any] interface {
	// Initial is where each run begins.
	Initial() S
	// Steps calls visit with each state that one step leads to; visit keeps no
	// reference to next.
	Steps(state *S, visit func(step Step, next *S))
	// Violation names the invariant that a state violates, or is "".
	Violation(state *S) string
	// Key appends what tells a state from others. States that differ only in
	// which of several alike parties is which may have the same key.
	Key(state *S, key []byte) []byte
	// Describe puts a step into words.
	Describe(step Step) string
}

// Limits bound a search; zero means no bound.
type Limits struct {
	States int
	Depth  int
	Time   time.Duration
}

// Result is what a search found.
type Result struct {
	// States counts the different states visited, Depth is the longest of the
	// shortest ways to one.
	States int
	Depth  int
	Time   time.Duration
	// Complete tells that every reachable state was visited.
	Complete bool
	// Violation names the invariant that does not hold, "" where all hold, and
	// Trace is a shortest way to break it.
	Violation string
	Trace     []string
}

// fingerprint stands for a state; that two states of one search share one is
// less likely than a fault of the machine.
type fingerprint [2]uint64

// visited is how a state was first reached.
type visited struct {
	parent int32
	step   Step
}

// search is a breadth-first search in progress.
type search[S any] struct {
	world System[S]
	seeds [2]maphash.Seed
	known map[fingerprint]struct{}
	order []visited
	key   []byte
}

// reached is a state whose steps are not yet visited.
type reached[S any] struct {
	place int32
	state S
}

// clockInterval is how many states are expanded between two looks at the clock.
const clockInterval = 1024

// Check searches a world up to the limits, or until an invariant is violated.
func Check[S any](clock base.Clock, world System[S], limits Limits) Result {
	began := clock.Now()
	current := &search[S]{
		world: world,
		seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		known: map[fingerprint]struct{}{},
	}
	initial := world.Initial()
	current.add(&initial, visited{parent: -1})
	result := Result{Violation: world.Violation(&initial)}
	frontier := []reached[S]{{state: initial}}
	stopped := result.Violation != ""
	expanded := 0
	for len(frontier) > 0 && !stopped {
		if limits.Depth > 0 && result.Depth >= limits.Depth {
			break
		}
		var next []reached[S]
		for place := range frontier {
			next = current.expand(&frontier[place], next, &result)
			expanded++
			overTime := limits.Time > 0 && expanded%clockInterval == 0 && clock.Now()-began > limits.Time
			overStates := limits.States > 0 && len(current.order) >= limits.States
			if result.Violation != "" || overTime || overStates {
				stopped = true
				break
			}
		}
		if len(next) > 0 {
			result.Depth++
		}
		frontier = next
	}
	result.States = len(current.order)
	result.Complete = !stopped && len(frontier) == 0
	result.Time = clock.Now() - began
	return result
}

// expand visits the steps of one state and adds the new states to next.
func (s *search[S]) expand(from *reached[S], next []reached[S], result *Result) []reached[S] {
	s.world.Steps(&from.state, func(step Step, state *S) {
		if result.Violation != "" || !s.add(state, visited{parent: from.place, step: step}) {
			return
		}
		place := int32(len(s.order) - 1)
		if violation := s.world.Violation(state); violation != "" {
			result.Violation = violation
			result.Trace = s.trace(place)
			return
		}
		next = append(next, reached[S]{place: place, state: *state})
	})
	return next
}

// add notes a state and reports whether it is new.
func (s *search[S]) add(state *S, how visited) bool {
	s.key = s.world.Key(state, s.key[:0])
	print := fingerprint{maphash.Bytes(s.seeds[0], s.key), maphash.Bytes(s.seeds[1], s.key)}
	if _, known := s.known[print]; known {
		return false
	}
	s.known[print] = struct{}{}
	s.order = append(s.order, how)
	return true
}

// trace lists the steps that first led to a state.
func (s *search[S]) trace(place int32) []string {
	var backwards []string
	for place > 0 {
		how := s.order[place]
		backwards = append(backwards, s.world.Describe(how.step))
		place = how.parent
	}
	trace := make([]string, 0, len(backwards))
	for last := len(backwards) - 1; last >= 0; last-- {
		trace = append(trace, backwards[last])
	}
	return trace
}
