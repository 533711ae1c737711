// Package retry repeats what a machine refuses for a moment.
package retry

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Pauses are the times between tries, which double from the first to the longest.
type Pauses struct {
	First, Longest time.Duration
}

// Until calls try, with the number of tries before it, until it asks for no further one. It returns
// the last error, or that of ctx if ctx ends first.
func (p Pauses) Until(ctx context.Context, try func(before int) (again bool, err error)) error {
	pause := p.First
	for before := 0; ; before++ {
		again, err := try(before)
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-time.After(pause):
		}
		pause = min(2*pause, p.Longest)
	}
}
