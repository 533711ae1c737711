package workerconn

// state is where a connection to a worker stands. Only next moves it.
type state uint8

const (
	// stateReady carries nothing, and was new or quiet when last looked at: a
	// request may be sent.
	stateReady state = iota
	// stateSending is from the moment before a request's first byte: from here
	// on the worker may have read and run it.
	stateSending
	// stateAwaiting has sent a whole request and waits for its answer.
	stateAwaiting
	// stateAnswering reads the request's own answer.
	stateAnswering
	// stateIdle is kept after a whole answer, and not looked at since.
	stateIdle
	// stateClosed carries nothing any more.
	stateClosed
)

var stateNames = [...]string{"ready", "sending", "awaiting", "answering", "idle", "closed"}

func (s state) String() string { return stateNames[s] }

// event is what happens to a connection.
type event uint8

const (
	// eventQuiet is a look at an idle connection that found nothing amiss.
	eventQuiet event = iota
	// eventUnused puts a ready connection back without a request.
	eventUnused
	// eventSend comes before a request's first byte.
	eventSend
	// eventSent comes after a request's last byte.
	eventSent
	// eventHead is the head of the request's own answer.
	eventHead
	// eventWhole is the end of an answer after which nothing is in doubt.
	eventWhole
	// eventDoubt is everything else: a failure, an end, bytes that belong to no
	// request, an answer that was given up. The connection is closed.
	eventDoubt
)

// moves are the legal ones beside eventDoubt, which leads from everywhere to
// stateClosed.
var moves = map[event]struct{ from, to state }{
	eventQuiet:  {stateIdle, stateReady},
	eventUnused: {stateReady, stateIdle},
	eventSend:   {stateReady, stateSending},
	eventSent:   {stateSending, stateAwaiting},
	eventHead:   {stateAwaiting, stateAnswering},
	eventWhole:  {stateAnswering, stateIdle},
}

// next gives the state after an event. A move that is not foreseen closes the
// connection: its state is in doubt.
func (s state) next(e event) state {
	move, known := moves[e]
	if !known || move.from != s {
		return stateClosed
	}
	return move.to
}

// answerEnd is what is known when an answer has been read to its end.
type answerEnd struct {
	clean    bool // the end was told by the protocol, not by a close
	closes   bool // the worker said that it will close
	upgraded bool // the connection speaks another protocol now
	foreign  int  // answers to other requests that were read past
	behind   int  // bytes that came behind the answer
}

// event says whether the connection may carry another request.
func (a answerEnd) event() event {
	if a.clean && !a.closes && !a.upgraded && a.foreign == 0 && a.behind == 0 {
		return eventWhole
	}
	return eventDoubt
}
