package base

import (
	"sync"
	"time"
)

// CallQuorum calls all targets at once, each in a task of its own. It returns
// as soon as the outcome is known: enough calls succeeded, too many failed for
// that, all returned, or the timeout passed. The result is whether enough
// succeeded.
func CallQuorum[T any](clock Clock, targets []T, needed int, timeout time.Duration, call func(*Ctx, T) bool) bool {
	var mu sync.Mutex
	progress := NewNotifier(clock)
	returned, succeeded := 0, 0
	for _, target := range targets {
		clock.Go(func() {
			ok := call(NewCtx(clock, timeout), target)
			mu.Lock()
			returned++
			if ok {
				succeeded++
			}
			mu.Unlock()
			progress.Notify()
		})
	}
	end := clock.Now() + timeout
	for {
		next := progress.Next()
		mu.Lock()
		decided, reached := returned == len(targets) || needed <= len(targets) && returned-succeeded > len(targets)-needed, succeeded >= needed
		mu.Unlock()
		if decided || reached {
			return reached
		}
		if !next.Wait(max(0, end-clock.Now())) {
			return false
		}
	}
}

// CallQuorumHedged is CallQuorum with as few calls as possible: it starts with
// as many as must succeed, adds one for each that fails, and calls all
// remaining targets after hedgeDelay.
func CallQuorumHedged[T any](clock Clock, targets []T, needed int, hedgeDelay, timeout time.Duration, call func(*Ctx, T) bool) bool {
	var mu sync.Mutex
	progress := NewNotifier(clock)
	started, failed, succeeded := 0, 0, 0
	startUpTo := func(count int) {
		for ; started < min(count, len(targets)); started++ {
			target := targets[started]
			clock.Go(func() {
				ok := call(NewCtx(clock, timeout), target)
				mu.Lock()
				if ok {
					succeeded++
				} else {
					failed++
				}
				mu.Unlock()
				progress.Notify()
			})
		}
	}
	end, hedgeAt := clock.Now()+timeout, clock.Now()+hedgeDelay
	for {
		next := progress.Next()
		mu.Lock()
		reached, unreachable := succeeded >= needed, len(targets)-failed < needed
		wanted := needed + failed
		mu.Unlock()
		if reached || unreachable {
			return reached
		}
		until := hedgeAt
		if clock.Now() >= hedgeAt {
			wanted, until = len(targets), end
		}
		startUpTo(wanted)
		if !next.Wait(max(0, until-clock.Now())) && clock.Now() >= end {
			return false
		}
	}
}

// CallAll calls all targets at once and returns when every call has returned
// or the timeout has passed.
func CallAll[T any](clock Clock, targets []T, timeout time.Duration, call func(*Ctx, T)) {
	CallQuorum(clock, targets, len(targets)+1, timeout, func(ctx *Ctx, target T) bool {
		call(ctx, target)
		return true
	})
}
