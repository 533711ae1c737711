// Package base holds what every slice stands on: the clock and its one
// blocking primitive (Signal), the context carried through a visit, the
// verdict type, and small generic containers. The clock is an interface so
// that the same slice code runs on the machine's monotonic clock in the
// daemons and on a virtual one in the simulator. Slice code blocks only in
// Signal.Wait, Clock.Sleep, the wire and the disk, and never while it holds
// a mutex; that is what lets the simulator run one task at a time and replay
// a seed exactly.
package base

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Clock is time, tasks and chance. Now is monotonic and goes on while a
// process is frozen. There is no wall clock: what outlives a process goes by
// the time that the register's slots count.
type Clock interface {
	Now() time.Duration
	Sleep(time.Duration)
	Go(func())
	NewSignal() Signal
	Int64N(n int64) int64
}

// Signal is a one-shot event. Wait returns true once it has fired, false
// when the limit passed first; a negative limit waits for ever.
type Signal interface {
	Fire()
	Fired() bool
	Wait(limit time.Duration) bool
}

type realClock struct{ started time.Time }

// NewRealClock gives the machine's own clock.
func NewRealClock() Clock { return &realClock{started: time.Now()} }

func (c *realClock) Now() time.Duration    { return time.Since(c.started) }
func (c *realClock) Sleep(d time.Duration) { time.Sleep(d) }
func (c *realClock) Go(fn func())          { go fn() }
func (c *realClock) NewSignal() Signal     { return &realSignal{done: make(chan struct{})} }
func (c *realClock) Int64N(n int64) int64  { return rand.Int64N(n) }

type realSignal struct {
	once sync.Once
	done chan struct{}
}

func (s *realSignal) Fire() { s.once.Do(func() { close(s.done) }) }

func (s *realSignal) Fired() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *realSignal) Wait(limit time.Duration) bool {
	if limit < 0 {
		<-s.done
		return true
	}
	if s.Fired() {
		return true
	}
	if limit == 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
		return true
	case <-timer.C:
		return s.Fired()
	}
}

// Notifier is a signal that can ring many times: a waiter takes the current
// signal before it looks at the state, and waits on that.
type Notifier struct {
	clock Clock
	mu    sync.Mutex
	next  Signal
}

func NewNotifier(clock Clock) *Notifier { return &Notifier{clock: clock, next: clock.NewSignal()} }

func (b *Notifier) Next() Signal {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

func (b *Notifier) Notify() {
	b.mu.Lock()
	rung := b.next
	b.next = b.clock.NewSignal()
	b.mu.Unlock()
	rung.Fire()
}
