package consensus

import "time"

// ClockDriftDivisor is the share of a lease, one in so many, that is kept back for
// clocks that go at another rate: a clock may be slower than true time by this
// share.
const ClockDriftDivisor = 20

// relayNumerator and relayDenominator are the part of a lease after which a
// follower no longer passes on what it was told: its own followers would have
// too little left to ask again.
const (
	relayNumerator   = 2
	relayDenominator = 3
)

// LeaseEnd is until when a follower may serve on an answer, by its own clock.
// The lease counts from before the question was asked, and from as much
// earlier as the answer was confirmed before the question reached a relay.
func LeaseEnd(asked, behind, lease time.Duration) time.Duration {
	return asked - behind + lease - lease/ClockDriftDivisor
}

// ConfirmationAge is how long before a question arrived at a relay, by its clock, what
// it knows was confirmed; it is rounded up to whole milliseconds, which go over
// the wire.
func ConfirmationAge(arrived, confirmed time.Duration) time.Duration {
	behind := max(0, arrived-confirmed)
	return (behind + time.Millisecond - 1).Truncate(time.Millisecond)
}

// MayRelay reports whether what was confirmed then may still be passed on now.
func MayRelay(now, confirmed, lease time.Duration) bool {
	return now-confirmed <= lease*relayNumerator/relayDenominator
}

// AcceptsRevision reports whether an answer with this revision may count for a
// follower at the current one: its revision never falls, and an answer from
// before renews nothing. A relay gives no such answer, and a follower that gets
// one drops it.
func AcceptsRevision(revision, current uint64) bool { return revision >= current }
