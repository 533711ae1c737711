package relay

import (
	"fordseam/internal/base"

	"github.com/juju/errors"
)

// notRunProof is the evidence that an attempt was not run by its worker. The list
// is complete: in any other case the attempt may have run, and a request that must
// not be repeated is not sent again.
type notRunProof uint8

const (
	// proofNone: the attempt may have run.
	proofNone notRunProof = iota
	// proofLeaving: not sent, because just before the first byte the worker turned
	// out to be leaving or too little time was left.
	proofLeaving
	// proofNoConnection: not sent, because the worker has its maximum of
	// connections.
	proofNoConnection
	// proofUnreachable: not sent, because no connection could be made or no byte
	// could be written to a pooled one.
	proofUnreachable
	// proofRejected: the response says that the request did not run.
	proofRejected
	// proofMisdirected: the response is 421, from a worker that was not addressed.
	proofMisdirected
)

// consequence is what follows from a proof: the outcome recorded for the worker,
// and the error for the client if no other worker takes the request.
type consequence struct {
	outcome outcome
	code    string
	message string
}

// consequences has an entry for every proof except proofNone.
var consequences = map[notRunProof]consequence{
	proofLeaving:      {outcomeNotSent, "worker_leaving", "the worker is leaving"},
	proofNoConnection: {outcomeRejected, "worker_full", "all connections to the worker are in use"},
	proofUnreachable:  {outcomeUnreachable, "worker_unreachable", "the worker could not be reached"},
	proofRejected:     {outcomeRejected, "worker_full", "the worker has no room"},
	proofMisdirected:  {outcomeMisdirected, "worker_full", "another worker answered at the address"},
}

// statusMisdirected is the status of a worker that was not the one addressed.
const statusMisdirected = 421

// proofFromError returns the proof given by the error of a call without response.
func proofFromError(err error) notRunProof {
	switch {
	case errors.Is(err, base.ErrDraining):
		return proofLeaving
	case errors.Is(err, base.ErrConnectionLimit):
		return proofNoConnection
	case base.WasNotSent(err):
		return proofUnreachable
	}
	return proofNone
}

// proofFromResponse returns the proof given by the head of a response.
func proofFromResponse(status int, notRun string) notRunProof {
	switch {
	case status == statusMisdirected:
		return proofMisdirected
	case notRun != "":
		return proofRejected
	}
	return proofNone
}

// requestError returns the error for the client if no other worker takes the request.
func (p notRunProof) requestError() *base.RequestError {
	c := consequences[p]
	return base.Decline(503, c.code, "%s", c.message)
}
