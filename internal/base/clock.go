// Package base holds what all other packages build on: the clock and its one
// blocking primitive (Signal), the context of a request, the error type,
// quorum calls, and small generic containers. The clock is an interface so
// that the same code runs on the machine's monotonic clock in the daemons and
// on a virtual clock in the simulator. Code under the clock blocks only in
// Signal.Wait, Clock.Sleep, network calls and disk operations, and never while
// it holds a mutex. This allows the simulator to run one task at a time and to
// replay a seed exactly.
package base

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Clock provides time, tasks (goroutines) and random numbers. There is no wall
// clock: records that outlive a process use the time counted by the register's
// shards.
type Clock interface {
	// Now returns the monotonic time. It advances while the process is frozen.
	Now() time.Duration
	Sleep(time.Duration)
	// Go runs a function as a new task.
	Go(func())
	NewSignal() Signal
	// Int64N returns a random number in [0, n).
	Int64N(n int64) int64
}

// Signal is a one-shot event.
type Signal interface {
	Fire()
	Fired() bool
	// Wait returns true once the signal has fired and false if the timeout
	// passes first. A negative timeout waits without limit.
	Wait(timeout time.Duration) bool
}

type realClock struct{ started time.Time }

// TimeOfDay returns the time of day in UTC, for log records. No decision uses it: the wall
// clock differs between machines and jumps.
func TimeOfDay() string { return time.Now().UTC().Format(time.RFC3339Nano) }

// NewRealClock returns a clock on the machine's monotonic time.
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

func (s *realSignal) Wait(timeout time.Duration) bool {
	if timeout < 0 {
		<-s.done
		return true
	}
	if s.Fired() {
		return true
	}
	if timeout == 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.done:
		return true
	case <-timer.C:
		return s.Fired()
	}
}

// Notifier wakes all waiters each time that some state has changed. To miss no
// change, a waiter calls Next before it reads the state and then waits on the
// signal that Next returned.
type Notifier struct {
	clock Clock
	mu    sync.Mutex
	next  Signal
}

// NewNotifier returns a Notifier on the clock.
func NewNotifier(clock Clock) *Notifier { return &Notifier{clock: clock, next: clock.NewSignal()} }

// Next returns the signal that the next Notify fires.
func (n *Notifier) Next() Signal {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// Notify wakes all waiters.
func (n *Notifier) Notify() {
	n.mu.Lock()
	current := n.next
	n.next = n.clock.NewSignal()
	n.mu.Unlock()
	current.Fire()
}
