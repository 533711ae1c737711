// Package asynclog writes log records in the background. Whoever logs is never held up by an
// output that is slow, full or gone: records are queued, and dropped while the queue is full.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// maxQueuedRecords bounds the memory that records need while the output takes none.
const maxQueuedRecords = 1024

// Handler is a log handler that formats records at once and writes them in the background.
type Handler struct {
	format  func(io.Writer) log.Handler
	queue   chan queued
	dropped atomic.Int64
}

// queued is a record in the queue, or the mark of a Flush.
type queued struct {
	text  []byte
	flush chan struct{} // closed when it is this entry's turn, if not nil
}

// New returns a handler that writes to an output what the handlers that format returns write
// for each record. Errors of the output are ignored.
func New(output io.Writer, format func(io.Writer) log.Handler) *Handler {
	h := &Handler{format: format, queue: make(chan queued, maxQueuedRecords)}
	go h.writeAll(output)
	return h
}

// HandleLog queues a record, or drops it if the queue is full.
func (h *Handler) HandleLog(entry *log.Entry) error {
	var text bytes.Buffer
	if err := h.format(&text).HandleLog(entry); err != nil {
		return err
	}
	select {
	case h.queue <- queued{text: text.Bytes()}:
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Flush waits until all records that were queued before are written, and reports whether they
// were within the timeout.
func (h *Handler) Flush(timeout time.Duration) bool {
	written := make(chan struct{})
	expired := time.After(timeout)
	select {
	case h.queue <- queued{flush: written}:
	case <-expired:
		return false
	}
	select {
	case <-written:
		return true
	case <-expired:
		return false
	}
}

// writeAll writes queued records for as long as the process runs.
func (h *Handler) writeAll(output io.Writer) {
	for next := range h.queue {
		if next.flush != nil {
			close(next.flush)
			continue
		}
		if dropped := h.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(output, "%d log records were dropped, because the output took none\n", dropped)
		}
		_, _ = output.Write(next.text)
	}
}
