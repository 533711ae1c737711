package line

import (
	"fordseam/internal/base"
	"fordseam/internal/memory"
)

// firstOutputBytes is the size of the buffer of an output before it grows.
const firstOutputBytes = 4 << 10

// turnOutput collects the data of the events of a turn that will be stored, and takes the memory
// that it takes to store them. A nil turnOutput collects nothing.
type turnOutput struct {
	bytes []byte
	lease *memory.Lease
	ctx   *base.Ctx
}

// newOutput returns the output of a turn, nil if the turn will not be stored.
func (m *Manager) newOutput(op *operation) *turnOutput {
	if op.route == nil || !op.route.RetainTurns {
		return nil
	}
	return &turnOutput{lease: m.Memory.NewAnswerLease(), ctx: op.ctx}
}

// add adds the data of an event and a line feed.
func (o *turnOutput) add(data []byte) error {
	if o == nil {
		return nil
	}
	if needed := len(o.bytes) + len(data) + 1; needed > cap(o.bytes) {
		if err := o.grow(max(firstOutputBytes, 2*cap(o.bytes), needed)); err != nil {
			return err
		}
	}
	o.bytes = append(append(o.bytes, data...), '\n')
	return nil
}

// grow replaces the buffer by a larger one.
func (o *turnOutput) grow(size int) error {
	const copies = 1 + commitCopies
	former := cap(o.bytes)
	if err := o.lease.GrowWithin(copies*size, waitForMemory(o.ctx)); err != nil {
		return err
	}
	o.bytes = append(make([]byte, 0, size), o.bytes...)
	o.lease.Shrink(copies * former)
	return nil
}

// release gives the memory back once the turn is stored or given up.
func (o *turnOutput) release() {
	if o != nil {
		o.lease.Close()
	}
}

// collected returns the data of all events.
func (o *turnOutput) collected() []byte {
	if o == nil {
		return nil
	}
	return o.bytes
}
