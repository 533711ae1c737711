// Package simulate runs the daemons' own code in virtual time, with an in-memory
// network, disks and back ends, and injects faults that are drawn from a seed.
//
// One task runs at a time, and a task yields only where the code may block, so the
// seed determines the order of everything and a run replays exactly. Every run ends
// with checks of what the callers, operators and workers recorded.
//
// A Scenario runs a Fleet with the project's own API in front. A TierScenario runs a
// Tier: a fleet that serves an operator's routes on the platform.
package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"fordseam/internal/base"
)

// World holds virtual time, the tasks, the queue of wake-ups and the random source of a
// run.
type World struct {
	Seed       uint64
	now        time.Duration
	eventCount uint64
	events     eventHeap
	rng        *rand.Rand
	current    *task
	yielded    chan struct{}
	tasks      map[*task]struct{}
	Hosts      map[string]*Host
	closing    bool
	taskPanic  any
}

// Host is a machine that can be frozen, killed and started again.
type Host struct {
	World          *World
	Name           string
	Zone           string
	incarnation    int // incremented by Kill; tasks of an older one never run again
	alive          bool
	frozen         bool
	deferredEvents []*event // held back while the host is frozen
	serve          handler
	openReplies    map[*BackendReply]struct{}
	// poweredOff hosts do not answer at all, whereas a host whose process has ended
	// refuses connections.
	poweredOff bool
	// MessageCost is the processor time of each message; messages are processed one
	// after the other.
	MessageCost  time.Duration
	busyUntil    time.Duration
	pendingCalls []*pendingCall
	// ExtraDelay is added to every message to and from the host.
	ExtraDelay time.Duration
}

// task is a goroutine that runs only while the world resumes it.
type task struct {
	host        *Host
	incarnation int
	generation  uint64 // incremented at each resume; an event of an older one is ignored
	wake        chan struct{}
	ended       bool
}

// event wakes a task at a time. Events of the same time run in the order they were
// scheduled.
type event struct {
	at         time.Duration
	order      uint64
	task       *task
	generation uint64
}

// eventHeap implements heap.Interface; the earliest event comes first.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].order < h[b].order
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// NewWorld returns a world at time 0.
func NewWorld(seed uint64) *World {
	return &World{Seed: seed, rng: rand.New(rand.NewPCG(seed, 0x5eed)), yielded: make(chan struct{}),
		tasks: map[*task]struct{}{}, Hosts: map[string]*Host{}}
}

// NewHost adds a running host.
func (w *World) NewHost(name, zone string) *Host {
	h := &Host{World: w, Name: name, Zone: zone, alive: true, openReplies: map[*BackendReply]struct{}{}}
	w.Hosts[name] = h
	return h
}

// push schedules a wake-up of a task. It has no effect if the task is resumed before.
func (w *World) push(at time.Duration, t *task) {
	w.eventCount++
	heap.Push(&w.events, &event{at: max(at, w.now), order: w.eventCount, task: t, generation: t.generation})
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

// Int64N draws an integer in [0, n).
func (w *World) Int64N(n int64) int64 { return w.rng.Int64N(n) }

// Chance returns true with probability p.
func (w *World) Chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// Between draws a duration between low and high, both included.
func (w *World) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// spawn starts a task on a host at a time. Run panics with the stack of a task that
// panics.
func (w *World) spawn(h *Host, incarnation int, at time.Duration, fn func()) {
	t := &task{host: h, incarnation: incarnation, wake: make(chan struct{})}
	w.tasks[t] = struct{}{}
	go func() {
		defer func() {
			if r := recover(); r != nil && w.taskPanic == nil {
				stack := make([]byte, 16<<10)
				w.taskPanic = fmt.Sprintf("%s: %v\n%s", h.Name, r, stack[:runtime.Stack(stack, false)])
			}
			t.ended = true
			w.yielded <- struct{}{}
		}()
		<-t.wake
		if w.closing {
			return
		}
		fn()
	}()
	w.push(at, t)
}

// park suspends the current task until it is resumed.
func (w *World) park() {
	t := w.current
	if w.closing {
		runtime.Goexit()
	}
	w.yielded <- struct{}{}
	<-t.wake
	if w.closing {
		runtime.Goexit()
	}
}

// resume runs a task until it parks or ends.
func (w *World) resume(t *task) {
	t.generation++
	previous := w.current
	w.current = t
	t.wake <- struct{}{}
	<-w.yielded
	w.current = previous
	if t.ended {
		delete(w.tasks, t)
	}
	if w.taskPanic != nil && !w.closing {
		panic(w.taskPanic)
	}
}

// Run runs tasks until done returns true, virtual time reaches the limit or nothing is
// scheduled. It returns whether done holds; a nil done always does.
func (w *World) Run(limit time.Duration, done func() bool) bool {
	for len(w.events) > 0 {
		if done != nil && done() {
			return true
		}
		next := heap.Pop(&w.events).(*event)
		if next.at > limit {
			heap.Push(&w.events, next)
			w.now = limit
			return done == nil || done()
		}
		if next.generation != next.task.generation {
			continue
		}
		h := next.task.host
		if next.task.incarnation != h.incarnation {
			continue
		}
		w.now = max(w.now, next.at)
		if h.frozen {
			h.deferredEvents = append(h.deferredEvents, next)
			continue
		}
		w.resume(next.task)
	}
	return done == nil || done()
}

// Close ends all tasks. Nothing can run in the world afterwards.
func (w *World) Close() {
	w.closing = true
	for t := range w.tasks {
		w.resume(t)
	}
}

// Go starts a task on the host. The task never runs again once the host is killed.
func (h *Host) Go(fn func()) { h.World.spawn(h, h.incarnation, h.World.now, fn) }

// processingDelay returns how long a message takes until the processor has processed
// it, after the messages before it.
func (h *Host) processingDelay() time.Duration {
	if h.MessageCost == 0 {
		return 0
	}
	h.busyUntil = max(h.busyUntil, h.World.now) + h.MessageCost
	return h.busyUntil - h.World.now
}

// Kill ends all tasks on the host at once and resets its open calls.
func (h *Host) Kill() {
	h.incarnation++
	for _, call := range h.pendingCalls {
		call.reset.Fire()
	}
	h.pendingCalls, h.busyUntil = nil, 0
	h.alive, h.frozen, h.deferredEvents, h.serve = false, false, nil, nil
	for reply := range h.openReplies {
		reply.connectionLost = true
	}
	h.openReplies = map[*BackendReply]struct{}{}
}

// Revive starts a worker's host again after Kill.
func (h *Host) Revive() { h.alive = true }

// Serve sets the handler of messages to the host; Kill removes it.
func (h *Host) Serve(handler http.Handler) { h.serve = handler }

// Freeze suspends the host's tasks until Thaw.
func (h *Host) Freeze() { h.frozen = true }

// Thaw resumes the tasks of a frozen host.
func (h *Host) Thaw() {
	h.frozen = false
	for _, deferred := range h.deferredEvents {
		if deferred.generation == deferred.task.generation {
			h.World.eventCount++
			heap.Push(&h.World.events, &event{at: h.World.now, order: h.World.eventCount, task: deferred.task, generation: deferred.generation})
		}
	}
	h.deferredEvents = nil
}

// Clock returns the host's clock. Its tasks end with the host.
func (h *Host) Clock() base.Clock { return &clock{h} }

type clock struct{ host *Host }

func (c *clock) Now() time.Duration   { return c.host.World.now }
func (c *clock) Go(fn func())         { c.host.Go(fn) }
func (c *clock) Int64N(n int64) int64 { return c.host.World.Int64N(n) }

func (c *clock) Sleep(d time.Duration) {
	w := c.host.World
	if w.closing {
		runtime.Goexit()
	}
	w.push(w.now+max(d, 0), w.current)
	w.park()
}

func (c *clock) NewSignal() base.Signal { return &signal{world: c.host.World} }

type waiter struct {
	task       *task
	generation uint64
}

// signal implements base.Signal for simulated tasks.
type signal struct {
	world   *World
	fired   bool
	waiters []waiter
}

func (s *signal) Fired() bool { return s.fired }

func (s *signal) Fire() {
	if s.fired {
		return
	}
	s.fired = true
	for _, w := range s.waiters {
		if w.task.generation == w.generation && !w.task.ended {
			s.world.push(s.world.now, w.task)
		}
	}
	s.waiters = nil
}

func (s *signal) Wait(limit time.Duration) bool {
	if s.fired || limit == 0 {
		return s.fired
	}
	w := s.world
	if w.closing {
		runtime.Goexit()
	}
	s.waiters = append(s.waiters, waiter{w.current, w.current.generation})
	if limit > 0 {
		w.push(w.now+limit, w.current)
	}
	w.park()
	return s.fired
}
