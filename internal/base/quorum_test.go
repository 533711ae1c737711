package base

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallQuorumHedgedMakesNoMoreCallsThanNeeded checks that a hedged quorum call
// makes an extra call only for one that failed or was too slow.
func TestCallQuorumHedgedMakesNoMoreCallsThanNeeded(t *testing.T) {
	for _, row := range []struct {
		name     string
		outcomes map[int]string
		maxCalls int
		ok       bool
	}{
		{"all succeed", nil, 2, true},
		{"one fails", map[int]string{0: "fails"}, 3, true},
		{"one is silent", map[int]string{1: "silent"}, 4, true},
		{"too many fail", map[int]string{0: "fails", 1: "fails", 2: "fails"}, 4, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			clock := NewRealClock()
			finished := clock.NewSignal()
			defer finished.Fire()
			var mu sync.Mutex
			calls := 0
			hedgeDelay := time.Duration(0)
			if row.outcomes[1] != "silent" {
				hedgeDelay = time.Hour
			}
			ok := CallQuorumHedged(clock, []int{0, 1, 2, 3}, 2, hedgeDelay, time.Hour, func(_ *Ctx, target int) bool {
				mu.Lock()
				calls++
				mu.Unlock()
				if row.outcomes[target] == "silent" {
					finished.Wait(-1)
				}
				return row.outcomes[target] == ""
			})
			is.Equal(ok, row.ok)
			mu.Lock()
			defer mu.Unlock()
			is.True(calls <= row.maxCalls)
			is.True(calls >= 2)
		})
	}
}
