package workerconn

// state is the state of a connection to a worker. It changes only by next.
type state uint8

const (
	// stateReady: the connection is new, or idle and just found usable. A request
	// may be sent.
	stateReady state = iota
	// stateSending: a request is being sent. From here on the worker may have read
	// and run it.
	stateSending
	// stateAwaiting: the whole request was sent and the response is awaited.
	stateAwaiting
	// stateAnswering: the response to the request is being read.
	stateAnswering
	// stateIdle: the connection is pooled after a complete response and has not
	// been checked since.
	stateIdle
	// stateClosed: the connection must not be used any more.
	stateClosed
)

var stateNames = [...]string{"ready", "sending", "awaiting", "answering", "idle", "closed"}

func (s state) String() string { return stateNames[s] }

// event is what happens to a connection.
type event uint8

const (
	// eventCheckedIdle: the check of an idle connection found it usable.
	eventCheckedIdle event = iota
	// eventReturned: a ready connection goes back to the pool unused.
	eventReturned
	// eventSend precedes the first byte of a request.
	eventSend
	// eventSent follows the last byte of a request.
	eventSent
	// eventReplyHead: the head of the response to the request was read.
	eventReplyHead
	// eventComplete: a response ended and the connection can be reused.
	eventComplete
	// eventUnusable is anything else: a failure, a close, bytes that belong to no
	// request, an abandoned response. The connection is closed.
	eventUnusable
)

// transitions holds the legal transitions. eventUnusable is not among them: it
// leads from every state to stateClosed.
var transitions = map[event]struct{ from, to state }{
	eventCheckedIdle: {stateIdle, stateReady},
	eventReturned:    {stateReady, stateIdle},
	eventSend:        {stateReady, stateSending},
	eventSent:        {stateSending, stateAwaiting},
	eventReplyHead:   {stateAwaiting, stateAnswering},
	eventComplete:    {stateAnswering, stateIdle},
}

// next returns the state after an event. An illegal transition closes the
// connection, because its state is then unknown.
func (s state) next(e event) state {
	transition, known := transitions[e]
	if !known || transition.from != s {
		return stateClosed
	}
	return transition.to
}

// replyEnd describes a response that was read to its end.
type replyEnd struct {
	clean          bool // the body's end was given by the protocol, not by a close
	closing        bool // the worker announced that it closes the connection
	upgraded       bool // the connection was switched to another protocol
	foreignReplies int  // responses to other requests that were skipped
	trailingBytes  int  // bytes received after the response
}

// event is eventComplete if the connection may carry another request.
func (end replyEnd) event() event {
	if end.clean && !end.closing && !end.upgraded && end.foreignReplies == 0 && end.trailingBytes == 0 {
		return eventComplete
	}
	return eventUnusable
}
