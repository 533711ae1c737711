package session

import (
	"fordseam/internal/base"
	"fordseam/internal/memory"
)

const (
	// maxAnswerBytes bounds the output of one answer.
	maxAnswerBytes = 16 << 20
	// maxIdleBytes is how many bytes of an answer may arrive without output: comments that keep a
	// connection open, blank lines, chunks without content.
	maxIdleBytes = 64 << 10
	// contentCopies is how often output is in memory: in the stream and in the turn.
	contentCopies = 2
)

// answerBounds bound what a worker may send as one answer.
type answerBounds struct {
	granted      int64 // tokens
	contentBytes int
	idleBytes    int // since the last output
	memory       memory.Steps
}

// newAnswerBounds returns the bounds of an answer that counts to a lease.
func newAnswerBounds(granted int64, lease *memory.Lease) *answerBounds {
	return &answerBounds{granted: granted, memory: memory.Steps{Lease: lease, Timeout: memory.AnswerWait}}
}

// addLine takes a line into account, which may bring the answer further or not.
func (b *answerBounds) addLine(bytes int, progressed bool) *base.RequestError {
	if progressed {
		b.idleBytes = 0
		return nil
	}
	if b.idleBytes += bytes; b.idleBytes > maxIdleBytes {
		return base.Indeterminate(502, "worker_malformed", "the worker sent more than %d bytes without output", maxIdleBytes)
	}
	return nil
}

// addContent takes output into account.
func (b *answerBounds) addContent(bytes int) *base.RequestError {
	if b.contentBytes += bytes; b.contentBytes > maxAnswerBytes {
		return base.Indeterminate(502, "worker_overran", "the worker sent more than %d bytes of output", maxAnswerBytes)
	}
	if b.memory.Add(contentCopies*bytes) != nil {
		return memory.AnswerError()
	}
	return nil
}
