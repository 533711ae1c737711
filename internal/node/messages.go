package node

import (
	"bytes"
	"cmp"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"

	"github.com/twitchtv/twirp"
)

const (
	// maxMessageBytes is the largest message of another node.
	maxMessageBytes = 64 << 20
	// maxMessageHeaderBytes is the largest head of a message.
	maxMessageHeaderBytes = 16 << 10
	// messageReadTimeout bounds the time in which a head, and then a body, arrives.
	messageReadTimeout = 10 * time.Second
	// messageIdleTimeout is longer than clients of other nodes keep idle connections.
	messageIdleTimeout = time.Minute
	// messageCopies is how often a message is in memory while it is decoded and processed,
	// beside the body as it was received.
	messageCopies = 3
	// messageMemoryWait is how long a message waits for memory.
	messageMemoryWait = 500 * time.Millisecond
)

// discardedErrors is the log of the server for other nodes, whose errors concern connections.
var discardedErrors = log.New(io.Discard, "", 0)

// limitMessages reads each message before it passes it on. Its body and the copies made of it
// count to the budget until the reply was sent. A message for which there is no memory is
// declined before it is processed.
func limitMessages(budget *memory.Budget, next http.Handler) http.Handler {
	if budget == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lease := budget.NewLease()
		defer lease.Release()
		if r.Body != nil && r.ContentLength != 0 {
			body, err := readMessage(w, r, lease)
			if err != nil {
				w.Header().Set("Connection", "close")
				_ = twirp.WriteError(w, base.ToTwirpError(messageError(err)))
				return
			}
			r.Body = &messageBody{Reader: bytes.NewReader(body)}
		}
		next.ServeHTTP(w, r.WithContext(memory.WithLease(r.Context(), lease)))
	})
}

// messageError returns the error of a message that was not processed.
func messageError(err error) *base.RequestError {
	switch err {
	case memory.ErrBodyTooLarge, memory.ErrTooLarge, memory.ErrShort:
		return memory.RequestError(err)
	}
	return base.Decline(400, "bad_request", "the message could not be read")
}

// readMessage reads the body of a message.
func readMessage(w http.ResponseWriter, r *http.Request, lease *memory.Lease) ([]byte, error) {
	control := http.NewResponseController(w)
	endRead := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) } // has no effect on a connection without deadlines
	timer := time.AfterFunc(messageReadTimeout, endRead)
	lease.SetRevocable(endRead)
	body, err := memory.ReadBody(r.Body, int(r.ContentLength), maxMessageBytes, lease)
	lease.SetRevocable(nil)
	timedOut := !timer.Stop()
	if err != nil {
		return nil, err
	}
	if timedOut {
		_ = control.SetReadDeadline(time.Time{})
	}
	if err := lease.Admit(messageCopies*len(body), messageMemoryWait); err != nil {
		return nil, err
	}
	return body, nil
}

// messageBody is the body of a message, which it drops once it was read.
type messageBody struct{ *bytes.Reader }

func (b *messageBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if err == io.EOF {
		b.Reset(nil)
	}
	return n, err
}

// Close has no effect.
func (*messageBody) Close() error { return nil }

// connLimiter closes connections of other nodes that are too many.
type connLimiter struct {
	clock    base.Clock
	counters *base.Counters
	maxConns int // 0 means no bound

	mu    sync.Mutex
	conns map[net.Conn]connUse
}

// connUse is what a connection does since a reading of the clock.
type connUse struct {
	inRequest bool
	since     time.Duration
}

func newConnLimiter(clock base.Clock, counters *base.Counters, maxConns int) *connLimiter {
	return &connLimiter{clock: clock, counters: counters, maxConns: maxConns, conns: map[net.Conn]connUse{}}
}

// onStateChange follows the connections of a server.
func (l *connLimiter) onStateChange(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	default:
		l.conns[c] = connUse{inRequest: state == http.StateActive, since: l.clock.Now()}
	}
	if state == http.StateNew && l.maxConns > 0 && len(l.conns) > l.maxConns {
		l.closeOldest()
	}
}

// closeOldest closes the connection that is unused for longest, or if all are in use, the one
// whose request is the oldest.
func (l *connLimiter) closeOldest() {
	candidates := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		candidates = append(candidates, c)
	}
	oldest := slices.MinFunc(candidates, func(a, b net.Conn) int {
		left, right := l.conns[a], l.conns[b]
		switch {
		case left.inRequest && !right.inRequest:
			return 1
		case right.inRequest && !left.inRequest:
			return -1
		}
		return cmp.Compare(left.since, right.since)
	})
	_ = oldest.Close()
	delete(l.conns, oldest)
	l.counters.Add("node_connections_displaced", 1)
}
