package workerconn

import (
	"fordseam/internal/base"

	"github.com/juju/errors"
)

const (
	maxLineBytes        = 1 << 20  // of one line of a stream
	firstLineBufferSize = 16 << 10 // of a line that does not fit into the reader's buffer
)

// errLineTooLong means that a line of a body is longer than maxLineBytes.
var errLineTooLong = errors.Errorf("a line of the response is longer than %d bytes", maxLineBytes)

// lineBuffer collects a line that is longer than the buffer of its reader, and counts it.
type lineBuffer struct {
	memory base.MemoryLease
	bytes  []byte
}

// append adds a piece of the line.
func (b *lineBuffer) append(piece []byte) error {
	size := len(b.bytes) + len(piece)
	if size > maxLineBytes {
		return errLineTooLong
	}
	if size > cap(b.bytes) {
		former, next := cap(b.bytes), max(firstLineBufferSize, 2*cap(b.bytes), size)
		if err := b.memory.Grow(next); err != nil {
			return err
		}
		b.bytes = append(make([]byte, 0, next), b.bytes...)
		b.memory.Shrink(former)
	}
	b.bytes = append(b.bytes, piece...)
	return nil
}

// release drops the line and what was counted for it.
func (b *lineBuffer) release() {
	b.memory.Shrink(cap(b.bytes))
	b.bytes = nil
}
