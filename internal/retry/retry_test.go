package retry

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestUntilRepeatsWhileAsked(t *testing.T) {
	is := is.New(t)
	pauses, last, calls := Pauses{time.Microsecond, time.Millisecond}, errors.New("last"), 0
	err := pauses.Until(context.Background(), func(before int) (bool, error) {
		is.Equal(before, calls)
		calls++
		return calls < 5, last
	})
	is.Equal(err, last)
	is.Equal(calls, 5)
}

func TestUntilEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	err := Pauses{time.Hour, time.Hour}.Until(ctx, func(int) (bool, error) {
		cancel()
		return true, errors.New("not yet")
	})
	is.Equal(errors.Cause(err), context.Canceled)
}
