// A question goes to no more than are needed, until some are slow.
package base

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCallQuorumHedgedMakesNoMoreCallsThanNeeded(t *testing.T) {
	for _, row := range []struct {
		name   string
		answer map[int]string
		asked  int
		ok     bool
	}{
		{"all say yes", nil, 2, true},
		{"one says no", map[int]string{0: "no"}, 3, true},
		{"one is silent", map[int]string{1: "silent"}, 4, true},
		{"too many say no", map[int]string{0: "no", 1: "no", 2: "no"}, 4, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			clock := NewRealClock()
			silent := clock.NewSignal()
			defer silent.Fire()
			var mu sync.Mutex
			asked := 0
			patience := time.Duration(0)
			if row.answer[1] != "silent" {
				patience = time.Hour
			}
			ok := CallQuorumHedged(clock, []int{0, 1, 2, 3}, 2, patience, time.Hour, func(_ *Ctx, one int) bool {
				mu.Lock()
				asked++
				mu.Unlock()
				if row.answer[one] == "silent" {
					silent.Wait(-1)
				}
				return row.answer[one] == ""
			})
			is.Equal(ok, row.ok)
			mu.Lock()
			defer mu.Unlock()
			is.True(asked <= row.asked)
			is.True(asked >= 2)
		})
	}
}
