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
	lease *memory.Lease
	ctx   *base.Ctx

	mu        sync.Mutex
	discarded bool
}

// prepareInput puts the input of a turn together, in the background if its conversation must
// be loaded from the ledger. The caller discards it after use.
func (m *Manager) prepareInput(op *operation) *turnInput {
	call := op.call
	input := &turnInput{ready: m.Clock.NewSignal(), body: call.Body, lease: m.Memory.NewLease(), ctx: op.ctx}
	if call.PreviousTurn == "" || !op.route.RetainTurns {
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
		defer input.mu.Unlock()
		if input.discarded {
			input.lease.Release()
		}
	})
	return input
}

// discard gives the memory of the input back, now or once it is loaded.
func (i *turnInput) discard() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.discarded = true
	if i.ready.Fired() {
		i.lease.Release()
	}
}

// grow takes memory for the input.
func (i *turnInput) grow(bytes int) *base.RequestError { return admit(i.ctx, i.lease, bytes) }

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

// admit takes memory for a turn that is not run without it.
func admit(ctx *base.Ctx, lease *memory.Lease, bytes int) *base.RequestError {
	if err := lease.Admit(bytes, min(memoryWait, ctx.Remaining()/memoryWaitShare)); err != nil {
		return memory.RequestError(err)
	}
	return nil
}

// commitCopies is how often the body of a turn is in memory while it is stored, beside the
// body itself: in the messages to the replicas, and on its way to their sockets.
const commitCopies = 6

// reserveCommit takes the memory that it takes to store the turn, as a turn that was run must
// not fail for lack of it.
func (op *operation) reserveCommit() *base.RequestError {
	if !op.route.RetainTurns {
		return nil
	}
	return admit(op.ctx, op.call.Memory, commitCopies*len(op.call.Body))
}

// forwardCopies is how often the body of a turn is in memory while it is sent to its owner,
// beside the body itself: encoded, and on its way to the socket.
const forwardCopies = 2

// reserveForward takes the memory that it takes to forward a turn.
func reserveForward(ctx *base.Ctx, call *relay.Call) *base.RequestError {
	return admit(ctx, call.Memory, forwardCopies*len(call.Body))
}
