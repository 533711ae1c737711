package line

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
)

// turnInput is what a worker gets for a turn: the conversation so far and the turn's own body.
// body and err are set once ready has fired.
type turnInput struct {
	ready base.Signal
	body  []byte
	err   *base.RequestError

	// lease counts the conversation apart from the turn, which may be forwarded while the
	// conversation is still being loaded.
	lease  *memory.Lease
	budget *memory.Budget
	ctx    *base.Ctx

	mu         sync.Mutex
	discarded  bool
	collecting bool
}

// prepareInput puts the input of a turn together, in the background if its conversation must
// be loaded from the ledger. The caller discards it after use.
func (m *Manager) prepareInput(op *operation) *turnInput {
	call := op.call
	input := &turnInput{ready: m.Clock.NewSignal(), body: call.Body, lease: m.Memory.NewLease(), budget: m.Memory, ctx: op.ctx}
	if call.PreviousTurn == "" || !op.route.RetainTurns {
		input.ready.Fire()
		return input
	}
	if input.err = input.collect(op.commitBytes()); input.err != nil {
		input.ready.Fire()
		return input
	}
	if entries, size, ok := m.history.ancestry(call.PreviousTurn); ok {
		if input.err = input.grow(size + len(call.Body)); input.err == nil {
			input.body = joinEntries(entries, size, call.Body)
		}
		input.ready.Fire()
		return input
	}
	program, previous, retention := call.Program, call.PreviousTurn, op.route.Retention
	m.Clock.Go(func() {
		input.load(m, program, previous, retention)
		input.ready.Fire()
		input.mu.Lock()
		discarded := input.discarded
		input.mu.Unlock()
		if discarded {
			input.release()
		}
	})
	return input
}

// discard gives the memory of the input back, now or once it is loaded.
func (i *turnInput) discard() {
	i.mu.Lock()
	i.discarded = true
	i.mu.Unlock()
	if i.ready.Fired() {
		i.release()
	}
}

// release gives back all that the input has taken. It may be called more than once.
func (i *turnInput) release() {
	i.lease.Release()
	i.endCollecting()
}

// grow takes memory for the input.
func (i *turnInput) grow(bytes int) *base.RequestError {
	if err := i.collect(bytes); err != nil {
		return err
	}
	return admit(i.ctx, i.lease, bytes)
}

// collect waits until the turn may take a large amount of memory; a small one is free to take.
func (i *turnInput) collect(bytes int) *base.RequestError {
	if !i.budget.MustCollect(bytes) {
		return nil
	}
	i.mu.Lock()
	collecting := i.collecting
	i.mu.Unlock()
	if collecting {
		return nil
	}
	if !i.budget.BeginCollecting(waitForMemory(i.ctx)) {
		return memory.RequestError(memory.ErrShort)
	}
	i.mu.Lock()
	i.collecting = true
	i.mu.Unlock()
	return nil
}

// endCollecting lets other turns take large amounts, once this one needs no more.
func (i *turnInput) endCollecting() {
	i.mu.Lock()
	collecting := i.collecting
	i.collecting = false
	i.mu.Unlock()
	if collecting {
		i.budget.EndCollecting()
	}
}

// loadCopies is how often a large turn is in memory while it is received from the ledger.
const loadCopies = 5

// chainLoad counts a conversation that is loaded from the ledger.
type chainLoad struct {
	input    *turnInput
	reserved int // for a turn that is being received
	received int
}

// Reserve takes the memory for a large turn.
func (l *chainLoad) Reserve(bytes int) error {
	if err := l.input.grow(loadCopies * bytes); err != nil {
		return err
	}
	l.reserved += loadCopies * bytes
	return nil
}

// Received keeps the memory for turns that were received, and gives the rest back.
func (l *chainLoad) Received(bytes int) error {
	l.input.lease.Shrink(l.reserved)
	l.reserved = 0
	if err := l.input.grow(bytes); err != nil {
		return err
	}
	l.received += bytes
	return nil
}

// load loads the conversation that ends with a turn from the ledger, adds it to the history
// and puts it before the body.
func (i *turnInput) load(m *Manager, program, previous string, retention time.Duration) {
	m.Counters.Add("chains_recalled", 1)
	load := &chainLoad{input: i}
	turns, err := m.Ledger.Chain(i.ctx, program, previous, load)
	if err != nil {
		i.err = base.ToRequestError(err)
		return
	}
	if i.err = i.grow(totalSize(turns) + len(i.body)); i.err != nil {
		return
	}
	for _, turn := range turns {
		m.history.add(turn, retention)
	}
	i.body = joinTurns(turns, i.body)
	i.lease.Shrink(load.received)
}

const (
	// memoryWait is how long a turn waits at most for memory, and memoryWaitShare the part of
	// its time left that this may take.
	memoryWait      = time.Second
	memoryWaitShare = 4
)

// waitForMemory returns how long a turn waits for memory.
func waitForMemory(ctx *base.Ctx) time.Duration {
	return min(memoryWait, ctx.Remaining()/memoryWaitShare)
}

// admit takes memory for a turn that is not run without it.
func admit(ctx *base.Ctx, lease *memory.Lease, bytes int) *base.RequestError {
	if err := lease.Admit(bytes, waitForMemory(ctx)); err != nil {
		return memory.RequestError(err)
	}
	return nil
}

// commitCopies is how often the body of a turn is in memory while it is stored, beside the
// body itself: in the messages to the replicas, and on its way to their sockets.
const commitCopies = 6

// commitBytes is the memory that it takes to store the turn.
func (op *operation) commitBytes() int {
	if !op.route.RetainTurns {
		return 0
	}
	return commitCopies * len(op.call.Body)
}

// reserveCommit takes the memory that it takes to store the turn, as a turn that was run must
// not fail for lack of it. The turn then needs no more.
func (op *operation) reserveCommit(input *turnInput) *base.RequestError {
	defer input.endCollecting()
	return admit(op.ctx, op.call.Memory, op.commitBytes())
}

// forwardCopies is how often the body of a turn is in memory while it is sent to its owner,
// beside the body itself: encoded, and on its way to the socket.
const forwardCopies = 2

// reserveForward takes the memory that it takes to forward a turn.
func reserveForward(ctx *base.Ctx, call *relay.Call) *base.RequestError {
	return admit(ctx, call.Memory, forwardCopies*len(call.Body))
}
