// CallQuorum puts a question to many at once, each in a task of its own.

package base

import (
	"sync"
	"time"
)

// CallQuorum calls all and returns once enough said yes, too many said no for that,
// all have answered, or the limit passed; it tells whether enough said yes.
func CallQuorum[T any](clock Clock, all []T, enough int, limit time.Duration, call func(*Ctx, T) bool) bool {
	var mu sync.Mutex
	bell := NewNotifier(clock)
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
			bell.Notify()
		})
	}
	end := clock.Now() + limit
	for {
		next := bell.Next()
		mu.Lock()
		over, enoughYes := said == len(all) || enough <= len(all) && said-yes > len(all)-enough, yes >= enough
		mu.Unlock()
		if over || enoughYes {
			return enoughYes
		}
		if !next.Wait(max(0, end-clock.Now())) {
			return false
		}
	}
}

// CallQuorumHedged calls only as many as must say yes. One more is called for each that
// says no, and all the others once patience is over.
func CallQuorumHedged[T any](clock Clock, all []T, enough int, patience, limit time.Duration, call func(*Ctx, T) bool) bool {
	var mu sync.Mutex
	bell := NewNotifier(clock)
	begun, no, yes := 0, 0, 0
	begin := func(upTo int) {
		for ; begun < min(upTo, len(all)); begun++ {
			one := all[begun]
			clock.Go(func() {
				ok := call(NewCtx(clock, limit), one)
				mu.Lock()
				if ok {
					yes++
				} else {
					no++
				}
				mu.Unlock()
				bell.Notify()
			})
		}
	}
	end, late := clock.Now()+limit, clock.Now()+patience
	for {
		next := bell.Next()
		mu.Lock()
		enoughYes, over := yes >= enough, len(all)-no < enough
		need := enough + no
		mu.Unlock()
		if enoughYes || over {
			return enoughYes
		}
		until := late
		if clock.Now() >= late {
			need, until = len(all), end
		}
		begin(need)
		if !next.Wait(max(0, until-clock.Now())) && clock.Now() >= end {
			return false
		}
	}
}

// CallAll calls all and returns once each has ended, or the limit passed.
func CallAll[T any](clock Clock, all []T, limit time.Duration, call func(*Ctx, T)) {
	CallQuorum(clock, all, len(all)+1, limit, func(ctx *Ctx, one T) bool {
		call(ctx, one)
		return true
	})
}
