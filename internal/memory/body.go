package memory

import (
	"io"

	"fordseam/internal/base"

	"github.com/juju/errors"
)

// firstBufferBytes is the size of a body's buffer before it grows.
const firstBufferBytes = 4 << 10

// ErrBodyTooLarge means that a body exceeds its limit.
var ErrBodyTooLarge = errors.New("the body is too large")

// ReadBody reads a body of at most limit bytes whose buffer counts to the lease. length is the
// announced length, or negative if there is none. After an error nothing is held for the body.
func ReadBody(body io.Reader, length, limit int, lease base.MemoryLease) ([]byte, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	most := limit
	if length >= 0 {
		most = length
	}
	reader := bodyReader{lease: lease, most: most}
	if err := reader.readAll(body); err != nil {
		lease.Shrink(cap(reader.buffer))
		return nil, err
	}
	if length >= 0 && len(reader.buffer) != length {
		lease.Shrink(cap(reader.buffer))
		return nil, io.ErrUnexpectedEOF
	}
	return reader.buffer, nil
}

// bodyReader reads a body into a buffer that grows as the bytes arrive.
type bodyReader struct {
	lease  base.MemoryLease
	most   int // the size that the buffer may have
	buffer []byte
}

// readAll reads until the end of the body. A body without an announced length may end exactly
// at the limit, which one more read shows.
func (r *bodyReader) readAll(body io.Reader) error {
	for {
		if len(r.buffer) == r.most {
			return r.expectEnd(body)
		}
		if len(r.buffer) == cap(r.buffer) {
			if err := r.grow(); err != nil {
				return err
			}
		}
		n, err := body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if n > 0 {
			r.lease.MarkProgress()
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// expectEnd returns an error unless the body has ended.
func (r *bodyReader) expectEnd(body io.Reader) error {
	var next [1]byte
	for {
		n, err := body.Read(next[:])
		switch {
		case n > 0:
			return ErrBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer, up to its largest size.
func (r *bodyReader) grow() error {
	former := cap(r.buffer)
	size := min(max(2*former, firstBufferBytes), r.most)
	if err := r.lease.Grow(size); err != nil {
		return err
	}
	grown := make([]byte, len(r.buffer), size)
	copy(grown, r.buffer)
	r.buffer = grown
	r.lease.Shrink(former)
	return nil
}
