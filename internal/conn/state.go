package conn

// state is where a connection between two nodes stands. Only next moves it.
type state uint8

const (
	// stateOpen carries bytes both ways.
	stateOpen state = iota
	// stateClosing was closed by this side. Bytes that were handed to the event
	// loop before may still leave; nothing new is taken.
	stateClosing
	// stateClosed is over for the event loop as well: nothing leaves any more.
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

// event is what happens to a connection.
type event uint8

const (
	// eventClose is a Close by this side.
	eventClose event = iota
	// eventGone is the event loop's word that the socket is closed, by the peer,
	// by a failure or after a Close.
	eventGone
)

// next gives the state after an event. A connection never goes back.
func (s state) next(e event) state {
	switch {
	case e == eventGone:
		return stateClosed
	case s == stateOpen:
		return stateClosing
	}
	return s
}

// writeState is what became of one Write.
type writeState uint8

const (
	// writeQueued waits for the event loop: its bytes may leave at any moment.
	writeQueued writeState = iota
	// writeTaken was accepted by the socket.
	writeTaken
	// writeRefused failed, and none of its bytes left.
	writeRefused
)

// written is how many of a write's bytes may have left. net/http sends a
// request once more on another connection when it hears of none, so none is
// told only where that is certain.
func (w writeState) written(length int) int {
	if w == writeRefused {
		return 0
	}
	return length
}
