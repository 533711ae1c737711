package line

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/route"
)

// Claim starts a turn in the ledger: it claims or confirms the session's assignment
// and reserves the turn's tokens in one step.
type Claim struct {
	Program string
	Session string
	Turn    string
	// InputBytes is the size of the turn's input if the ledger will store it, else 0.
	InputBytes int
	MaxTokens  int64
	Budget     int64
	HasBudget  bool
	Run        string
	Owner      string
	Epoch      uint64
	Previous   string
	// Confirmed reports whether the ledger accepted this assignment before.
	Confirmed bool
	// Retain is how long the ledger's record of the program may be needed.
	Retain time.Duration
	// Replaces is the assignment that this one is to replace, if any.
	Replaces *Assignment
}

// ClaimResult is the session's assignment after a claim. Granted says that the claim
// holds and the turn's tokens are reserved.
type ClaimResult struct {
	Assignment *Assignment
	Granted    bool
}

// CompletedTurn is one completely answered turn.
type CompletedTurn struct {
	Turn     string
	Previous string
	Input    []byte
	Output   []byte
}

// Completion stores a completed turn in the ledger and settles its tokens.
type Completion struct {
	Program string
	Session string
	Run     string
	Owner   string
	Epoch   uint64
	CompletedTurn
	Budgeted bool
	Tokens   int64
	Retain   time.Duration
}

// Settlement reports the tokens used by a turn whose answer is not stored.
type Settlement struct {
	Program string
	Run     string
	Turn    string
	Tokens  int64
	Retain  time.Duration
}

// ChainMemory counts what is received of a conversation. An error ends the lookup.
type ChainMemory interface {
	// Reserve is called with the size of a large turn before that is sent.
	Reserve(bytes int) error
	// Received is called with the size of the turns that were received.
	Received(bytes int) error
}

// Ledger stores assignments, reservations and completed turns durably.
type Ledger interface {
	Begin(ctx *base.Ctx, claim *Claim) (*ClaimResult, error)
	Finish(ctx *base.Ctx, ending *Completion) error
	Settle(ctx *base.Ctx, settled *Settlement) error
	// Chain returns a turn and its ancestors, oldest first, and counts what it receives.
	Chain(ctx *base.Ctx, program, turn string, memory ChainMemory) ([]CompletedTurn, error)
}

// Reply is a worker's response while it is received.
type Reply interface {
	Status() int
	Headers() []relay.Header
	// Event returns the next event, or io.EOF at a clean end.
	Event(limit time.Duration) (*relay.Event, error)
	Body(limit time.Duration) ([]byte, error)
	// IsStream reports whether events follow; otherwise Body returns the whole body.
	IsStream() bool
	// TakeMemory returns the lease that counts the whole body, which the caller then closes.
	TakeMemory() *memory.Lease
	// Fail ends the response as a failure of the worker, Close for any other reason.
	Fail()
	Close()
}

// Workers sends a call to a worker of a service.
type Workers interface {
	Send(ctx *base.Ctx, matched *route.Route, service *route.Service, call *relay.Call, body []byte) (Reply, error)
}
