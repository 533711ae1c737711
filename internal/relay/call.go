// Package relay sends a client's request to one of the workers of a route's
// service and returns the worker's response.
//
// It chooses the worker, queues requests while all workers are full, retries at
// another worker where that is safe, and resumes streams. WireNames configures the
// names of all headers, so that the package does not depend on a platform's
// protocol.
package relay

import (
	"time"

	"fordseam/internal/memory"
)

// WireNames holds the header names that clients and workers use, and the path of
// the workers' reports.
//
// ID, Deadline, ExpectWorker and Urgency are set on requests to workers;
// ExpectWorker names the worker that must run the request. Workers answer with
// Load, with Seal in every successful response, and with NotRun if they did not run
// the request. LastEventID asks for the events of a stream after an id; without it
// streams are not resumed.
type WireNames struct {
	ID, Deadline, Model, TokenCounts, PromptParts, Seal, ExpectWorker, NotRun, Load, Worker, Urgency string
	Program, Session, Finish, TokenBudget, PreviousTurn, LastEventID, WeightVersions, ExpectVersion  string
	ReportPath                                                                                       string
}

// PromptPart is a section of a prompt. Prompts that share it give it the same id.
type PromptPart struct {
	ID     string
	Tokens int
}

// Header is a header line.
type Header struct{ Name, Value string }

// Call is one request of a client. A client's retry is another call with its own
// id.
type Call struct {
	ID              string
	Host            string
	Method          string
	Target          string // path and query, byte for byte
	Headers         []Header
	Body            []byte
	Memory          *memory.Lease // counts the body and its copies; may be nil
	Deadline        time.Duration // how long the client waits, 0 if unknown
	Model           string
	PromptTokens    int
	MaxOutputTokens int
	PromptParts     []PromptPart

	Program        string
	Session        string
	Finish         time.Duration // time left for the program to finish, 0 if unknown
	TokenBudget    int64
	HasTokenBudget bool
	PreviousTurn   string
	// LastWorker is the worker that ran the session's previous turn, if known.
	LastWorker string
}
