// Package relay carries a request to a worker of a route's service and its
// answer back. A call here is in the product's own terms; Names says what its
// parts are called on the wire, so that this package knows no one's words.
package relay

import "time"

// Names are the header names that clients and workers use.
type Names struct {
	ID, Deadline, Model, Tokens, Prompt, Seal, ExpectWorker, NotRun, Load, Worker, Urgency string
	Program, Session, Finish, Budget, Previous, LastEvent, Weights, ExpectWeights          string
	ReportPath                                                                             string
}

// Part is a stretch of a prompt that others may share.
type Part struct {
	ID     string
	Tokens int
}

// Header is one header line that is passed on.
type Header struct{ Name, Value string }

// Call is one request of a client: one try with its own id.
type Call struct {
	ID       string
	Host     string
	Method   string
	Target   string // path and query, byte for byte
	Headers  []Header
	Body     []byte
	Deadline time.Duration // how long the client will wait, 0 when it did not say
	Model    string
	Prompt   int // tokens of the prompt
	Most     int // most tokens out
	Parts    []Part

	Program   string
	Session   string
	Finish    time.Duration
	Budget    int64
	HasBudget bool
	Previous  string
	// Former is the worker that ran the session's last turn, if that is known.
	Former string
}
