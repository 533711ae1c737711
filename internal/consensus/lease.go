package consensus

import "time"

// ClockDriftDivisor gives the part of a lease, one in so many, by which a lease is
// shortened to allow for clock drift: a clock may be slower than true time by up to
// this part.
const ClockDriftDivisor = 20

// relayNumerator and relayDenominator give the part of a lease after which a
// follower no longer relays what it knows: its own followers would have too little
// of the lease left to renew it.
const (
	relayNumerator   = 2
	relayDenominator = 3
)

// LeaseEnd returns until when a follower may serve on an answer, by its own
// clock. The lease starts at askedAt, before the request was sent, less the age
// of the answer's confirmation when the request reached a relay.
func LeaseEnd(askedAt, age, lease time.Duration) time.Duration {
	return askedAt - age + lease - lease/ClockDriftDivisor
}

// ConfirmationAge returns how long before the arrival of a request, by the relay's
// clock, the relay's knowledge was confirmed. It is rounded up to whole
// milliseconds, the unit on the wire, and is 0 if the confirmation came later.
func ConfirmationAge(arrived, confirmed time.Duration) time.Duration {
	age := max(0, arrived-confirmed)
	return (age + time.Millisecond - 1).Truncate(time.Millisecond)
}

// MayRelay reports whether knowledge confirmed at a time may still be relayed now.
func MayRelay(now, confirmed, lease time.Duration) bool {
	return now-confirmed <= lease*relayNumerator/relayDenominator
}

// AcceptsRevision reports whether an answer with a revision may renew the lease
// of a follower that is at the current one. A follower's revision never
// decreases, and an older answer renews nothing: a relay does not give one, and
// a follower drops it.
func AcceptsRevision(revision, current uint64) bool { return revision >= current }
