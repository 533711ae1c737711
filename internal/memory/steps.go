package memory

import "time"

const (
	// freeStepBytes are not counted, and more is counted in steps of stepBytes, so that the many
	// small pieces of ordinary streams cost nothing.
	freeStepBytes = 8 << 10
	stepBytes     = 16 << 10
)

// Steps counts many small pieces on a lease. It is not safe for concurrent use.
type Steps struct {
	Lease   *Lease
	Timeout time.Duration // how long a step waits while too little memory is free

	bytes, held int
}

// Add counts bytes more.
func (s *Steps) Add(bytes int) error {
	s.bytes += bytes
	if s.bytes <= max(freeStepBytes, s.held) {
		return nil
	}
	step := max(stepBytes, s.bytes-s.held)
	if err := s.Lease.GrowWithin(step, s.Timeout); err != nil {
		return err
	}
	s.held += step
	return nil
}

// Reset gives back what was counted.
func (s *Steps) Reset() {
	s.Lease.Shrink(s.held)
	s.bytes, s.held = 0, 0
}
