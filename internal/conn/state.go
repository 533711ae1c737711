package conn

// state is the state of a connection between two nodes. It changes only by next.
type state uint8

const (
	// stateOpen carries bytes both ways.
	stateOpen state = iota
	// stateClosing means that this side has closed the connection. Bytes that were
	// queued in the event loop before may still be sent; no new ones are accepted.
	stateClosing
	// stateClosed means that the event loop has closed the socket as well, so nothing
	// more is sent.
	stateClosed
)

func (s state) String() string {
	switch s {
	case stateOpen:
		return "open"
	case stateClosing:
		return "closing"
	case stateClosed:
		return "closed"
	}
	return "unknown"
}

// event is an event that changes a connection's state.
type event uint8

const (
	// eventLocalClose is a call of Close by this side.
	eventLocalClose event = iota
	// eventSocketClosed means that the event loop has closed the socket: the peer
	// closed it, it failed, or Close was called before.
	eventSocketClosed
)

// next returns the state after an event. A connection never returns to an earlier
// state.
func (s state) next(e event) state {
	switch {
	case e == eventSocketClosed:
		return stateClosed
	case s == stateOpen:
		return stateClosing
	}
	return s
}

// writeOutcome is the outcome of one Write.
type writeOutcome uint8

const (
	// writePending means that the data are still queued in the event loop and may be
	// sent at any time.
	writePending writeOutcome = iota
	// writeAccepted means that the socket has accepted the data.
	writeAccepted
	// writeNotSent means that the write failed and no byte was sent.
	writeNotSent
)

// possiblySent returns how many bytes of a write of this length may have been sent.
// net/http repeats a request on another connection if a write returned 0, so the result
// is 0 only if it is certain that nothing was or will be sent.
func (o writeOutcome) possiblySent(length int) int {
	if o == writeNotSent {
		return 0
	}
	return length
}
