package model

import (
	"fmt"
	"time"

	"fordseam/internal/consensus"
)

const (
	maxFollowers = 3
	// tickLength is what a tick lasts in true time; a clock shows a little more
	// or less.
	tickLength = 20 * time.Millisecond
)

// Lease is the world of followers that serve a configuration under a lease. The
// first follower asks the source, and each other one the follower before it, so
// that there are as many levels of fan-out as followers but one. A question and
// its answer may each take any time. One change is acknowledged by the source at
// any moment. A state holds how long ago things were, not when, so that the
// states are few however long the world goes on.
type Lease struct {
	Rules LeaseRules
	// ClockRates are how much the followers' clocks show for a tick, in milliseconds.
	ClockRates []uint8
	// LeaseTicks is the lease.
	LeaseTicks uint8
	// SourceRequests has any follower ask the source instead, where it likes to.
	SourceRequests bool
	// RelayDelay has a relay answer at any time after a question arrived.
	RelayDelay bool
}

// LeaseRules are the decisions of the followers.
type LeaseRules struct {
	LeaseEnd        func(asked, behind, lease time.Duration) time.Duration
	ConfirmationAge func(arrived, confirmed time.Duration) time.Duration
	MayRelay        func(now, confirmed, lease time.Duration) bool
	AcceptsRevision func(revision, current uint64) bool
	// FromRequest counts a lease from the question, not from its answer.
	FromRequest bool
}

// ImplementedLeaseRules are the decisions that run in production.
func ImplementedLeaseRules() LeaseRules {
	return LeaseRules{
		LeaseEnd:        consensus.LeaseEnd,
		ConfirmationAge: consensus.ConfirmationAge,
		MayRelay:        consensus.MayRelay,
		AcceptsRevision: consensus.AcceptsRevision,
		FromRequest:     true,
	}
}

// questionState is how far a follower's question has come.
type questionState uint8

const (
	noQuestion questionState = iota
	questionSent
	questionArrived
	answerSent
)

// followerState is a follower; its spans are milliseconds by its own clock.
type followerState struct {
	revision uint8
	begun    bool
	// left is how much of its lease is left, and confirmedAge how long ago its
	// configuration was confirmed.
	left         uint16
	confirmedAge uint16

	question questionState
	// direct tells that it asked the source.
	direct bool
	// askedAge and arrivedAge are the ticks since its question was asked, and
	// since it arrived.
	askedAge   uint8
	arrivedAge uint8
	// The answer that is on its way back.
	answerRevision uint8
	answerBehind   uint16
}

// LeaseState is a state of Lease.
type LeaseState struct {
	changed bool
	// changedAge is the ticks since the change.
	changedAge uint8
	followers  [maxFollowers]followerState
}

const (
	stepTick uint8 = iota + 160
	stepChange
	stepQuestion
	stepArrive
	stepTell
	stepDecline
	stepTakeAnswer
)

// Initial has followers that know nothing yet.
func (w *Lease) Initial() LeaseState {
	var state LeaseState
	for place := range state.followers {
		state.followers[place].confirmedAge = w.oldest()
	}
	return state
}

func (w *Lease) lease() time.Duration { return time.Duration(w.LeaseTicks) * tickLength }

// oldestTicks is an age in ticks from which on a question or an arrival is as
// good as any older one: by the slowest clock it is a lease ago.
func (w *Lease) oldestTicks() uint8 { return w.LeaseTicks + 2 }

// oldest is an age in milliseconds from which on a confirmation is as good as
// any older one.
func (w *Lease) oldest() uint16 { return uint16(w.lease().Milliseconds()) + 1 }

func milliseconds(short uint16) time.Duration { return time.Duration(short) * time.Millisecond }

// since is how long ago something was, by a follower's clock.
func (w *Lease) since(place, ticks uint8) time.Duration {
	return time.Duration(ticks) * milliseconds(uint16(w.ClockRates[place]))
}

// Violation names the invariant that is broken: a follower serves the
// configuration from before a change, more than a lease after its
// acknowledgement.
func (w *Lease) Violation(state *LeaseState) string {
	if !state.changed || state.changedAge <= w.LeaseTicks {
		return ""
	}
	for place := range w.ClockRates {
		follower := &state.followers[place]
		if follower.begun && follower.revision == 0 && follower.left > 0 {
			return ServingWithinLease
		}
	}
	return ""
}

// Steps visits every step of the source and the followers.
func (w *Lease) Steps(state *LeaseState, visit func(Step, *LeaseState)) {
	next := *state
	w.tick(&next)
	visit(Step{Kind: stepTick}, &next)
	if !state.changed {
		next := *state
		next.changed = true
		visit(Step{Kind: stepChange}, &next)
	}
	for place := range uint8(len(w.ClockRates)) {
		w.follow(state, place, visit)
	}
}

// tick lets time pass.
func (w *Lease) tick(next *LeaseState) {
	if next.changed {
		next.changedAge = min(next.changedAge+1, w.LeaseTicks+1)
	}
	for place, rate := range w.ClockRates {
		follower := &next.followers[place]
		follower.left -= min(follower.left, uint16(rate))
		follower.confirmedAge = min(follower.confirmedAge+uint16(rate), w.oldest())
		if follower.question != noQuestion {
			follower.askedAge = min(follower.askedAge+1, w.oldestTicks())
		}
		if follower.question == questionArrived {
			follower.arrivedAge = min(follower.arrivedAge+1, w.oldestTicks())
		}
	}
}

// follow moves a follower's question on by a step.
func (w *Lease) follow(state *LeaseState, place uint8, visit func(Step, *LeaseState)) {
	next := *state
	follower := &next.followers[place]
	switch follower.question {
	case noQuestion:
		follower.question, follower.askedAge, follower.direct = questionSent, 0, true
		if w.SourceRequests || place == 0 {
			visit(Step{stepQuestion, [4]uint8{place, 1}}, &next)
		}
		if place > 0 {
			follower.direct = false
			visit(Step{stepQuestion, [4]uint8{place, 0}}, &next)
		}
	case questionSent:
		follower.question, follower.arrivedAge = questionArrived, 0
		if !w.RelayDelay || follower.direct {
			w.tell(&next, place, visit)
			return
		}
		visit(Step{stepArrive, [4]uint8{place}}, &next)
	case questionArrived:
		w.tell(&next, place, visit)
	case answerSent:
		w.take(&next, place)
		visit(Step{stepTakeAnswer, [4]uint8{place, follower.revision}}, &next)
	}
}

// tell has the source or a relay answer, or decline.
func (w *Lease) tell(next *LeaseState, place uint8, visit func(Step, *LeaseState)) {
	follower := &next.followers[place]
	if follower.direct {
		follower.question, follower.arrivedAge = answerSent, 0
		follower.answerRevision, follower.answerBehind = flag(next.changed), 0
		visit(Step{stepTell, [4]uint8{place, follower.answerRevision}}, next)
		return
	}
	relay := &next.followers[place-1]
	confirmed := -milliseconds(relay.confirmedAge)
	follows := relay.begun && w.Rules.AcceptsRevision(uint64(relay.revision), uint64(follower.revision))
	if !follows || !w.Rules.MayRelay(0, confirmed, w.lease()) {
		follower.question, follower.askedAge, follower.arrivedAge, follower.direct = noQuestion, 0, 0, false
		visit(Step{stepDecline, [4]uint8{place}}, next)
		return
	}
	behind := w.Rules.ConfirmationAge(-w.since(place-1, follower.arrivedAge), confirmed)
	follower.question, follower.arrivedAge = answerSent, 0
	follower.answerRevision, follower.answerBehind = relay.revision, uint16(behind.Milliseconds())
	visit(Step{stepTell, [4]uint8{place, follower.answerRevision}}, next)
}

// take has an answer count for a follower.
func (w *Lease) take(next *LeaseState, place uint8) {
	follower := &next.followers[place]
	asked := -w.since(place, follower.askedAge)
	if !w.Rules.FromRequest {
		asked = 0
	}
	if w.Rules.AcceptsRevision(uint64(follower.answerRevision), uint64(follower.revision)) {
		behind := milliseconds(follower.answerBehind)
		follower.begun, follower.revision = true, follower.answerRevision
		left := max(0, w.Rules.LeaseEnd(asked, behind, w.lease()))
		follower.left = max(follower.left, uint16(left.Milliseconds()))
		age := min(behind-asked, milliseconds(w.oldest()))
		follower.confirmedAge = min(follower.confirmedAge, uint16(age.Milliseconds()))
	}
	follower.question, follower.askedAge, follower.direct = noQuestion, 0, false
	follower.answerRevision, follower.answerBehind = 0, 0
}

// Key appends the whole state.
func (w *Lease) Key(state *LeaseState, key []byte) []byte {
	key = append(key, flag(state.changed), state.changedAge)
	for place := range w.ClockRates {
		follower := &state.followers[place]
		key = append(key, follower.revision, flag(follower.begun)|flag(follower.direct)<<1,
			uint8(follower.left), uint8(follower.left>>8), uint8(follower.confirmedAge), uint8(follower.confirmedAge>>8),
			uint8(follower.question), follower.askedAge, follower.arrivedAge,
			follower.answerRevision, uint8(follower.answerBehind), uint8(follower.answerBehind>>8))
	}
	return key
}

// Describe puts a step into words.
func (w *Lease) Describe(step Step) string {
	place, revision := step.Operands[0], step.Operands[1]
	switch step.Kind {
	case stepTick:
		return "a tick passes"
	case stepChange:
		return "a change is acknowledged"
	case stepQuestion:
		if revision == 0 {
			return fmt.Sprintf("follower %d asks follower %d", place, place-1)
		}
		return fmt.Sprintf("follower %d asks the source", place)
	case stepArrive:
		return fmt.Sprintf("the question of follower %d arrives", place)
	case stepTell:
		return fmt.Sprintf("follower %d is answered with revision %d", place, revision)
	case stepDecline:
		return fmt.Sprintf("follower %d is declined", place)
	case stepTakeAnswer:
		return fmt.Sprintf("the answer reaches follower %d, which is at revision %d", place, revision)
	}
	return fmt.Sprint("step ", step.Kind)
}
