// Package memory bounds the bytes that a process holds for its clients and for other nodes:
// bodies that are being received, that wait, that are forwarded and that are being stored, and
// the answers of back ends. All of them take from one Budget, which is a share of the memory of
// the machine. Bytes count as they arrive, so that a peer which announces a large body takes
// nothing.
//
// Large requests leave a part of the budget to small ones. If there is too little, a body that
// has stalled on its way in is dropped for a new one, and otherwise the new one is refused.
package memory

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
)

// retryTime is when a request that found too little memory may find enough.
const retryTime = 500 * time.Millisecond

// RequestError returns the error of a request that was not run because of an error of this
// package.
func RequestError(err error) *base.RequestError {
	if err == ErrTooLarge || err == ErrBodyTooLarge {
		return base.Decline(413, "body_too_large", "the request needs more memory than it may have on this node")
	}
	return base.BusyFor(503, "memory_short", retryTime, "too little memory is free on this node")
}

const (
	// SmallBytes is the most that a small request holds.
	SmallBytes = 64 << 10
	// stallTime is how long a body must not have grown before it may be dropped.
	stallTime = time.Second

	budgetPercent  = 40 // of the machine's memory
	reservePercent = 12 // of the budget, for small requests alone
	waitingPercent = 50 // of the rest, for requests that are not admitted
	answersPercent = 50 // of the rest, for answers of back ends
)

var (
	// ErrShort means that the memory is in use at the moment.
	ErrShort = errors.New("too little memory is free")
	// ErrTooLarge means that so much memory is never available.
	ErrTooLarge = errors.New("needs more memory than one request may have")
	// ErrRevoked means that the lease was closed, or revoked because its body had stalled.
	ErrRevoked = errors.New("dropped because its body had stalled")
)

// Budget is the memory that requests share. Its methods are safe for concurrent use.
type Budget struct {
	clock      base.Clock
	counters   *base.Counters
	capacity   int64 // 0 means no bound
	largeShare int64 // of the capacity, for leases that are not small
	// limits are the parts of largeShare for the uses of leases. Requests that wait and answers
	// leave a part to admitted requests, so that those find memory to be processed.
	limits [useCount]int64

	mu        sync.Mutex
	used      int64
	usedBy    [useCount]int64
	revocable map[*Lease]bool
	// collecting is set while one request collects a large amount in several steps.
	collecting bool
	waiters    int
	released   *base.Notifier
}

// NewBudget returns the budget of a process on a machine with so much memory in bytes; 0 means
// that it is not known, and sets no bound.
func NewBudget(clock base.Clock, counters *base.Counters, machineBytes int64) *Budget {
	capacity := machineBytes * budgetPercent / 100
	largeShare := capacity - capacity*reservePercent/100
	b := &Budget{clock: clock, counters: counters, capacity: capacity, largeShare: largeShare,
		limits:    [useCount]int64{useWaiting: largeShare * waitingPercent / 100, useAdmitted: largeShare, useAnswer: largeShare * answersPercent / 100},
		revocable: map[*Lease]bool{}, released: base.NewNotifier(clock)}
	counters.AddSource(func(snapshot map[string]int64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		snapshot["memory_held_bytes"], snapshot["memory_answers_bytes"] = b.used, b.usedBy[useAnswer]
	})
	return b
}

// use is what a lease is for.
type use int

const (
	useWaiting  use = iota // a request that is received or waits
	useAdmitted            // a request that is processed
	useAnswer              // an answer of a back end
	useCount
)

// Used returns the bytes that all leases hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewLease returns a lease for a request that holds nothing yet. That of a nil budget is nil.
func (b *Budget) NewLease() *Lease { return b.newLease(useWaiting) }

// NewAnswerLease is NewLease for an answer of a back end.
func (b *Budget) NewAnswerLease() *Lease { return b.newLease(useAnswer) }

func (b *Budget) newLease(use use) *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b, use: use}
}

// fits reports whether a lease may hold so many bytes beside all others.
func (b *Budget) fits(l *Lease, bytes int64) bool {
	if bytes <= SmallBytes {
		return b.used-l.held+bytes <= b.capacity
	}
	return b.usedBy[l.use]-l.held+bytes <= b.limits[l.use] && b.used-l.held+bytes <= b.largeShare
}

// most returns what the lease may hold if no other holds anything.
func (b *Budget) most(l *Lease) int64 { return b.limits[l.use] }

// hold changes what a lease holds. The caller holds the lock.
func (b *Budget) hold(l *Lease, bytes int64) {
	b.used += bytes - l.held
	b.usedBy[l.use] += bytes - l.held
	l.held = bytes
	l.wasLarge = l.wasLarge || bytes > SmallBytes
}

// setUse changes what a lease is for. The caller holds the lock.
func (b *Budget) setUse(l *Lease, use use) {
	held := l.held
	b.hold(l, 0)
	l.use = use
	b.hold(l, held)
}

// makeRoom revokes stalled leases, those that stalled first before others, until the lease may
// hold so many bytes, and reports whether it may.
func (b *Budget) makeRoom(l *Lease, bytes int64) bool {
	if b.fits(l, bytes) {
		return true
	}
	stalledBefore := b.clock.Now() - stallTime
	stalled := []*Lease{}
	for other := range b.revocable {
		if other != l && other.held > 0 && other.progressAt() < stalledBefore {
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(a, b *Lease) int { return cmp.Compare(a.progressAt(), b.progressAt()) })
	for _, other := range stalled {
		b.counters.Add("bodies_dropped", 1)
		other.revoke()
		if b.fits(l, bytes) {
			return true
		}
	}
	return false
}

// Lease is what one request or one answer holds of a budget: a request at first while it is
// received and waits, and once it is admitted, while it is processed. A nil lease has no bound.
type Lease struct {
	budget   *Budget
	progress atomic.Int64 // clock reading when the body last grew

	// Guarded by the budget's lock.
	held     int64
	wasLarge bool
	use      use
	revoked  bool
	onRevoke func()
}

func (l *Lease) progressAt() time.Duration { return time.Duration(l.progress.Load()) }

// MarkProgress records that the body of the request has grown.
func (l *Lease) MarkProgress() {
	if l != nil {
		l.progress.Store(int64(l.budget.clock.Now()))
	}
}

// Grow adds bytes to what the lease holds. After an error it holds what it did before; after
// ErrRevoked that is nothing.
func (l *Lease) Grow(bytes int) error {
	if l == nil {
		return nil
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.budget.counted(l.grow(bytes))
}

// counted counts a refusal and returns it.
func (b *Budget) counted(err error) error {
	if err != nil {
		b.counters.Add("memory_refused", 1)
	}
	return err
}

// grow implements Grow. The caller holds the lock.
func (l *Lease) grow(bytes int) error {
	b := l.budget
	next := l.held + int64(bytes)
	switch {
	case l.revoked:
		return ErrRevoked
	case b.capacity > 0 && next > b.most(l):
		return ErrTooLarge
	case b.capacity > 0 && !b.makeRoom(l, next):
		return ErrShort
	}
	b.hold(l, next)
	return nil
}

// GrowWithin is Grow that waits up to timeout while too little is free.
func (l *Lease) GrowWithin(bytes int, timeout time.Duration) error {
	if l == nil {
		return nil
	}
	return l.budget.await(timeout, func() error { return l.grow(bytes) })
}

// Admit is GrowWithin for the memory that it takes to process a request.
func (l *Lease) Admit(bytes int, timeout time.Duration) error {
	if l == nil {
		return nil
	}
	return l.budget.await(timeout, func() error { return l.admit(bytes) })
}

// await calls try, which is called with the lock held, until it does not fail for lack of memory
// any more, or timeout has passed.
func (b *Budget) await(timeout time.Duration, try func() error) error {
	b.addWaiters(1)
	defer b.addWaiters(-1)
	for deadline := b.clock.Now() + timeout; ; {
		released := b.released.Next()
		b.mu.Lock()
		err := try()
		b.mu.Unlock()
		if err != ErrShort {
			return b.counted(err)
		}
		if !released.Wait(max(0, deadline-b.clock.Now())) {
			return b.counted(ErrShort)
		}
	}
}

// admit implements one try of Admit. The caller holds the lock.
func (l *Lease) admit(bytes int) error {
	former := l.use
	l.budget.setUse(l, useAdmitted)
	err := l.grow(bytes)
	if err != nil {
		l.budget.setUse(l, former)
	}
	return err
}

func (b *Budget) addWaiters(count int) {
	b.mu.Lock()
	b.waiters += count
	b.mu.Unlock()
}

// WasLarge reports whether the lease has ever held more than a small one.
func (l *Lease) WasLarge() bool {
	if l == nil {
		return false
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.wasLarge
}

// Shrink gives bytes back.
func (l *Lease) Shrink(bytes int) {
	if l != nil {
		l.release(int64(bytes))
	}
}

// Release gives everything back. It may be called more than once.
func (l *Lease) Release() {
	if l != nil {
		l.SetRevocable(nil)
		l.release(1 << 62)
	}
}

// Close is Release for a lease that is not used again: it fails what still grows it.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	l.revoked = true
	l.budget.mu.Unlock()
	l.Release()
}

// release gives back at most so many bytes.
func (l *Lease) release(bytes int64) {
	b := l.budget
	b.mu.Lock()
	bytes = min(bytes, l.held)
	b.hold(l, l.held-bytes)
	notify := bytes > 0 && b.waiters > 0
	b.mu.Unlock()
	if notify {
		b.released.Notify()
	}
}

// SetRevocable allows the lease to be revoked while its body stalls. onRevoke then ends the
// request; it is called under a lock and must neither block nor use the budget. nil takes the
// permission back.
func (l *Lease) SetRevocable(onRevoke func()) {
	if l == nil {
		return
	}
	l.MarkProgress()
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	l.onRevoke = onRevoke
	if onRevoke == nil {
		delete(b.revocable, l)
	} else {
		b.revocable[l] = true
	}
}

// revoke takes everything back. The caller holds the budget's lock.
func (l *Lease) revoke() {
	l.budget.hold(l, 0)
	l.revoked = true
	delete(l.budget.revocable, l)
	l.onRevoke()
}

type contextKey struct{}

// WithLease returns a context that carries the lease of a request.
func WithLease(ctx context.Context, lease *Lease) context.Context {
	return context.WithValue(ctx, contextKey{}, lease)
}

// LeaseFrom returns the lease of the request that a context belongs to, or nil.
func LeaseFrom(ctx context.Context) *Lease {
	lease, _ := ctx.Value(contextKey{}).(*Lease)
	return lease
}
