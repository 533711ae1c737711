// What a line needs of others: the ledger that keeps it, and the relay that
// takes its turns to workers.

package line

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"
)

// Claim begins a turn: it claims or confirms the session's assignment and
// sets the turn's tokens aside in one step.
type Claim struct {
	Program   string
	Session   string
	Turn      string
	MaxTokens int64
	Budget    int64
	HasBudget bool
	Run       string
	Owner     string
	Epoch     uint64
	Previous  string
	// Confirmed tells that this claim held before.
	Confirmed bool
	// Keep is how long what is kept of the program may be needed.
	Retain time.Duration
	// After is the assignment that is to be succeeded, if any.
	Replaces *Assignment
}

// ClaimResult tells who has the session; Mine that the claim holds and the turn's
// tokens are set aside.
type ClaimResult struct {
	Assignment *Assignment
	Granted    bool
}

// CompletedTurn is one turn answered whole.
type CompletedTurn struct {
	Turn     string
	Previous string
	Input    []byte
	Output   []byte
}

// Completion is a turn answered whole on its way into the ledger.
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

// Settlement is what a turn came to that was not answered whole.
type Settlement struct {
	Program string
	Run     string
	Turn    string
	Tokens  int64
	Retain  time.Duration
}

// Ledger keeps assignments, reservations and turns.
type Ledger interface {
	Begin(ctx *base.Ctx, claim *Claim) (*ClaimResult, error)
	Finish(ctx *base.Ctx, ending *Completion) error
	Settle(ctx *base.Ctx, settled *Settlement) error
	Chain(ctx *base.Ctx, program, turn string) ([]CompletedTurn, error)
}

// Reply is a worker's answer under way.
type Reply interface {
	Status() int
	Headers() []relay.Header
	// Event gives the next event; io.EOF at a clean end.
	Event(limit time.Duration) (*relay.Event, error)
	Body(limit time.Duration) ([]byte, error)
	// Streams tells that events are to come; otherwise the body is whole.
	IsStream() bool
	Close()
}

// Workers sends a call to one worker that runs it.
type Workers interface {
	Send(ctx *base.Ctx, matched *route.Route, service string, call *relay.Call, body []byte) (Reply, error)
}
