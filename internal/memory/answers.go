package memory

import (
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
)

// AnswerWait is how long the bytes of an answer stay with the back end at most while too little
// memory is free.
const AnswerWait = time.Second

// WaitingLease is a Lease whose Grow waits up to Timeout while too little memory is free.
type WaitingLease struct {
	*Lease
	Timeout time.Duration
}

// Grow is GrowWithin with the lease's timeout.
func (l WaitingLease) Grow(bytes int) error { return l.GrowWithin(bytes, l.Timeout) }

// IsShortage reports whether an error means that a lease could not grow.
func IsShortage(err error) bool {
	return errors.Is(err, ErrShort) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrRevoked)
}

// AnswerError returns the error of a request whose answer a lease could not count.
func AnswerError() *base.RequestError {
	return base.Indeterminate(502, "memory_short", "too little memory is free on this node for the worker's answer")
}
