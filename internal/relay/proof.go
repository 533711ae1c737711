package relay

import (
	"fordseam/internal/base"

	"github.com/juju/errors"
)

// proof is why an attempt has certainly not run. The list is complete: whatever
// is not on it may have run, and a request that may not be repeated is then not
// sent again.
type proof uint8

const (
	// proofNone: the attempt may have run.
	proofNone proof = iota
	// proofLeaving: not sent, the worker was found to be leaving or too little
	// time was left in the moment before the first byte.
	proofLeaving
	// proofNoRoom: not sent, the worker has as many connections as it may.
	proofNoRoom
	// proofUnreached: not sent, no connection could be made, or a kept one took
	// no byte.
	proofUnreached
	// proofTurnedAway: the answer says that the request did not run.
	proofTurnedAway
	// proofStranger: the answer is 421, of a worker that was not meant.
	proofStranger
)

// consequence is what follows from a proof: how the worker's place is given
// back, and the verdict should no other worker take the request.
type consequence struct {
	outcome outcome
	code    string
	message string
}

var consequences = map[proof]consequence{
	proofLeaving:    {turnedBack, "worker_leaving", "the worker is leaving"},
	proofNoRoom:     {full, "worker_full", "the worker's connections are taken"},
	proofUnreached:  {unreached, "worker_unreachable", "the worker could not be reached"},
	proofTurnedAway: {full, "worker_full", "the worker took no more"},
	proofStranger:   {stranger, "worker_full", "the worker took no more"},
}

// statusMisdirected is the status by which a worker says that another was meant.
const statusMisdirected = 421

// proofOfError is what a call without an answer proves.
func proofOfError(err error) proof {
	switch {
	case errors.Is(err, base.ErrLeaves):
		return proofLeaving
	case errors.Is(err, base.ErrNoConnection):
		return proofNoRoom
	case base.WasNotSent(err):
		return proofUnreached
	}
	return proofNone
}

// proofOfAnswer is what the head of an answer proves.
func proofOfAnswer(status int, notRun string) proof {
	switch {
	case status == statusMisdirected:
		return proofStranger
	case notRun != "":
		return proofTurnedAway
	}
	return proofNone
}

// verdict is what the client hears when no other worker takes the request.
func (p proof) verdict() *base.Verdict {
	follows := consequences[p]
	return base.Decline(503, follows.code, "%s", follows.message)
}
