// Package relay carries a request to a worker of a route's service and its
// answer back. A call here is in the product's own terms; WireNames says what its
// parts are called on the wire, so that this package knows no one's words.
package relay

import "time"

// WireNames are the header names that clients and workers use.
type WireNames struct {
	ID, Deadline, Model, TokenCounts, PromptParts, Seal, ExpectWorker, NotRun, Load, Worker, Urgency string
	Program, Session, Finish, TokenBudget, PreviousTurn, LastEventID, WeightVersions, ExpectVersion  string
	ReportPath                                                                                       string
}

// PromptPart is a stretch of a prompt that others may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Header is one header line that is passed on.
type Header struct{ Name, Value string }

// Call is one request of a client: one try with its own id.
type Call struct {
	ID              string
	Host            string
	Method          string
	Target          string // path and query, byte for byte
	Headers         []Header
	Body            []byte
	Deadline        time.Duration // how long the client will wait, 0 when it did not say
	Model           string
	PromptTokens    int // tokens of the prompt
	MaxOutputTokens int // most tokens out
	PromptParts     []PromptPart

	Program        string
	Session        string
	Finish         time.Duration
	TokenBudget    int64
	HasTokenBudget bool
	PreviousTurn   string
	// LastWorker is the worker that ran the session's last turn, if that is known.
	LastWorker string
}
