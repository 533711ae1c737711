package model

import (
	"fmt"
	"time"

	"fordseam/internal/consensus"
)

const (
	maxFollowers = 3
	// tickDuration is the true length of a tick. A follower's clock may show more
	// or less.
	tickDuration = 20 * time.Millisecond
)

// Lease models followers that serve a configuration under a lease. The first
// follower asks the source, and each other one asks the follower before it as its
// relay, so that there is one level of relays less than there are followers. A
// request and its answer may each be delayed for any time. The source
// acknowledges one change, at any time.
//
// A state has ages instead of points in time, and an age stops growing once it
// makes no more difference. The number of states is thus finite, although time is
// not bounded.
type Lease struct {
	Rules LeaseRules
	// ClockRates are the milliseconds by which each follower's clock advances in a
	// tick.
	ClockRates []uint8
	// LeaseTicks is the length of the lease in ticks.
	LeaseTicks uint8
	// SourceRequests lets any follower ask the source instead of its relay.
	SourceRequests bool
	// RelayDelay lets a relay answer at any time after a request has arrived,
	// instead of at once.
	RelayDelay bool
}

// LeaseRules are the decision functions of the followers.
type LeaseRules struct {
	LeaseEnd        func(asked, behind, lease time.Duration) time.Duration
	ConfirmationAge func(arrived, confirmed time.Duration) time.Duration
	MayRelay        func(now, confirmed, lease time.Duration) bool
	AcceptsRevision func(revision, current uint64) bool
	// FromRequest starts a lease when the request is sent, not when the answer
	// arrives.
	FromRequest bool
}

// ImplementedLeaseRules returns the rules that run in production.
func ImplementedLeaseRules() LeaseRules {
	return LeaseRules{
		LeaseEnd:        consensus.LeaseEnd,
		ConfirmationAge: consensus.ConfirmationAge,
		MayRelay:        consensus.MayRelay,
		AcceptsRevision: consensus.AcceptsRevision,
		FromRequest:     true,
	}
}

// requestState is the progress of a follower's request.
type requestState uint8

const (
	noRequest requestState = iota
	requestSent
	requestArrived
	answerSent
)

// followerState is the state of a follower. Its durations are in milliseconds by
// the follower's own clock, if not said otherwise.
type followerState struct {
	revision  uint8
	hasConfig bool
	// leaseLeft is the rest of its lease, and confirmationAge is how long ago its
	// configuration was confirmed.
	leaseLeft       uint16
	confirmationAge uint16

	request requestState
	// toSource reports whether the request goes to the source, not to the relay.
	toSource bool
	// requestAge and arrivalAge are the ticks since the request was sent, and since
	// it arrived.
	requestAge uint8
	arrivalAge uint8
	// The answer in flight: its revision, and the age of its confirmation when the
	// request arrived.
	answerRevision uint8
	answerAge      uint16
}

// LeaseState is a state of the Lease model.
type LeaseState struct {
	changed bool
	// changeAge is the ticks since the change.
	changeAge uint8
	followers [maxFollowers]followerState
}

const (
	stepTick uint8 = iota + 160
	stepChange
	stepSendRequest
	stepRequestArrives
	stepSendAnswer
	stepDecline
	stepReceiveAnswer
)

// Initial returns a state in which no follower has a configuration.
func (l *Lease) Initial() LeaseState {
	var state LeaseState
	for index := range state.followers {
		state.followers[index].confirmationAge = l.maxAgeMs()
	}
	return state
}

func (l *Lease) duration() time.Duration { return time.Duration(l.LeaseTicks) * tickDuration }

// maxAgeTicks caps the ages of requests and arrivals, in ticks. By the slowest
// clock, that is a lease ago, so that greater ages make no difference.
func (l *Lease) maxAgeTicks() uint8 { return l.LeaseTicks + 2 }

// maxAgeMs caps the age of a confirmation, in milliseconds. Greater ages make no
// difference.
func (l *Lease) maxAgeMs() uint16 { return uint16(l.duration().Milliseconds()) + 1 }

func milliseconds(count uint16) time.Duration { return time.Duration(count) * time.Millisecond }

// elapsed converts ticks to a duration by a follower's clock.
func (l *Lease) elapsed(index, ticks uint8) time.Duration {
	return time.Duration(ticks) * milliseconds(uint16(l.ClockRates[index]))
}

// Violation returns ServingWithinLease if a follower serves the configuration
// from before the change more than a lease after the change was acknowledged.
func (l *Lease) Violation(state *LeaseState) string {
	if !state.changed || state.changeAge <= l.LeaseTicks {
		return ""
	}
	for index := range l.ClockRates {
		follower := &state.followers[index]
		if follower.hasConfig && follower.revision == 0 && follower.leaseLeft > 0 {
			return ServingWithinLease
		}
	}
	return ""
}

// Steps visits the state after each possible step of the source and the
// followers.
func (l *Lease) Steps(state *LeaseState, visit func(Step, *LeaseState)) {
	next := *state
	l.tick(&next)
	visit(Step{Kind: stepTick}, &next)
	if !state.changed {
		next := *state
		next.changed = true
		visit(Step{Kind: stepChange}, &next)
	}
	for index := range uint8(len(l.ClockRates)) {
		l.followerSteps(state, index, visit)
	}
}

// tick advances the time by a tick.
func (l *Lease) tick(next *LeaseState) {
	if next.changed {
		next.changeAge = min(next.changeAge+1, l.LeaseTicks+1)
	}
	for index, rate := range l.ClockRates {
		follower := &next.followers[index]
		follower.leaseLeft -= min(follower.leaseLeft, uint16(rate))
		follower.confirmationAge = min(follower.confirmationAge+uint16(rate), l.maxAgeMs())
		if follower.request != noRequest {
			follower.requestAge = min(follower.requestAge+1, l.maxAgeTicks())
		}
		if follower.request == requestArrived {
			follower.arrivalAge = min(follower.arrivalAge+1, l.maxAgeTicks())
		}
	}
}

// followerSteps advances a follower's request by a step.
func (l *Lease) followerSteps(state *LeaseState, index uint8, visit func(Step, *LeaseState)) {
	next := *state
	follower := &next.followers[index]
	switch follower.request {
	case noRequest:
		follower.request, follower.requestAge, follower.toSource = requestSent, 0, true
		if l.SourceRequests || index == 0 {
			visit(Step{stepSendRequest, [4]uint8{index, 1}}, &next)
		}
		if index > 0 {
			follower.toSource = false
			visit(Step{stepSendRequest, [4]uint8{index, 0}}, &next)
		}
	case requestSent:
		follower.request, follower.arrivalAge = requestArrived, 0
		if !l.RelayDelay || follower.toSource {
			l.answerRequest(&next, index, visit)
			return
		}
		visit(Step{stepRequestArrives, [4]uint8{index}}, &next)
	case requestArrived:
		l.answerRequest(&next, index, visit)
	case answerSent:
		l.receiveAnswer(&next, index)
		visit(Step{stepReceiveAnswer, [4]uint8{index, follower.revision}}, &next)
	}
}

// answerRequest lets the source or the relay answer a follower's request. A relay
// declines if its own configuration is older than the follower's, or its
// confirmation too old to be relayed.
func (l *Lease) answerRequest(next *LeaseState, index uint8, visit func(Step, *LeaseState)) {
	follower := &next.followers[index]
	if follower.toSource {
		follower.request, follower.arrivalAge = answerSent, 0
		follower.answerRevision, follower.answerAge = boolToByte(next.changed), 0
		visit(Step{stepSendAnswer, [4]uint8{index, follower.answerRevision}}, next)
		return
	}
	relay := &next.followers[index-1]
	confirmedAt := -milliseconds(relay.confirmationAge)
	upToDate := relay.hasConfig && l.Rules.AcceptsRevision(uint64(relay.revision), uint64(follower.revision))
	if !upToDate || !l.Rules.MayRelay(0, confirmedAt, l.duration()) {
		follower.request, follower.requestAge, follower.arrivalAge, follower.toSource = noRequest, 0, 0, false
		visit(Step{stepDecline, [4]uint8{index}}, next)
		return
	}
	age := l.Rules.ConfirmationAge(-l.elapsed(index-1, follower.arrivalAge), confirmedAt)
	follower.request, follower.arrivalAge = answerSent, 0
	follower.answerRevision, follower.answerAge = relay.revision, uint16(age.Milliseconds())
	visit(Step{stepSendAnswer, [4]uint8{index, follower.answerRevision}}, next)
}

// receiveAnswer applies the answer to a follower.
func (l *Lease) receiveAnswer(next *LeaseState, index uint8) {
	follower := &next.followers[index]
	requestedAt := -l.elapsed(index, follower.requestAge)
	if !l.Rules.FromRequest {
		requestedAt = 0
	}
	if l.Rules.AcceptsRevision(uint64(follower.answerRevision), uint64(follower.revision)) {
		age := milliseconds(follower.answerAge)
		follower.hasConfig, follower.revision = true, follower.answerRevision
		left := max(0, l.Rules.LeaseEnd(requestedAt, age, l.duration()))
		follower.leaseLeft = max(follower.leaseLeft, uint16(left.Milliseconds()))
		confirmationAge := min(age-requestedAt, milliseconds(l.maxAgeMs()))
		follower.confirmationAge = min(follower.confirmationAge, uint16(confirmationAge.Milliseconds()))
	}
	follower.request, follower.requestAge, follower.toSource = noRequest, 0, false
	follower.answerRevision, follower.answerAge = 0, 0
}

// Key appends the whole state.
func (l *Lease) Key(state *LeaseState, key []byte) []byte {
	key = append(key, boolToByte(state.changed), state.changeAge)
	for index := range l.ClockRates {
		follower := &state.followers[index]
		key = append(key, follower.revision, boolToByte(follower.hasConfig)|boolToByte(follower.toSource)<<1,
			uint8(follower.leaseLeft), uint8(follower.leaseLeft>>8), uint8(follower.confirmationAge), uint8(follower.confirmationAge>>8),
			uint8(follower.request), follower.requestAge, follower.arrivalAge,
			follower.answerRevision, uint8(follower.answerAge), uint8(follower.answerAge>>8))
	}
	return key
}

// Describe returns a step's line in a trace.
func (l *Lease) Describe(step Step) string {
	index, revision := step.Operands[0], step.Operands[1]
	switch step.Kind {
	case stepTick:
		return "time advances by a tick"
	case stepChange:
		return "the source acknowledges the change"
	case stepSendRequest:
		if revision == 0 {
			return fmt.Sprintf("follower %d sends a request to follower %d", index, index-1)
		}
		return fmt.Sprintf("follower %d sends a request to the source", index)
	case stepRequestArrives:
		return fmt.Sprintf("the request of follower %d arrives", index)
	case stepSendAnswer:
		return fmt.Sprintf("follower %d is sent an answer with revision %d", index, revision)
	case stepDecline:
		return fmt.Sprintf("the request of follower %d is declined", index)
	case stepReceiveAnswer:
		return fmt.Sprintf("the answer reaches follower %d, which is now at revision %d", index, revision)
	}
	return fmt.Sprint("unknown step kind ", step.Kind)
}
