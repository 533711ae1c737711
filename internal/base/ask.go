// Ask puts a question to many at once, each in a task of its own.
package base

import (
	"sync"
	"time"
)

// Ask calls all and returns once enough said yes, all have answered, or the
// limit passed; it tells whether enough said yes.
func Ask[T any](clock Clock, all []T, enough int, limit time.Duration, call func(*Ctx, T) bool) bool {
	var mu sync.Mutex
	bell := NewBell(clock)
	said, yes := 0, 0
	for _, one := range all {
		clock.Go(func() {
			ok := call(NewCtx(clock, limit), one)
			mu.Lock()
			said++
			if ok {
				yes++
			}
			mu.Unlock()
			bell.Ring()
		})
	}
	end := clock.Now() + limit
	for {
		next := bell.Next()
		mu.Lock()
		over, enoughYes := said == len(all), yes >= enough
		mu.Unlock()
		if over || enoughYes {
			return enoughYes
		}
		if !next.Wait(max(0, end-clock.Now())) {
			return false
		}
	}
}

// AskAll calls all and returns once each has ended, or the limit passed.
func AskAll[T any](clock Clock, all []T, limit time.Duration, call func(*Ctx, T)) {
	Ask(clock, all, len(all)+1, limit, func(ctx *Ctx, one T) bool {
		call(ctx, one)
		return true
	})
}
