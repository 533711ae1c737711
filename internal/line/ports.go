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
	Most      int64
	Budget    int64
	HasBudget bool
	Run       string
	Owner     string
	Epoch     uint64
	Previous  string
	// Confirmed tells that this claim held before.
	Confirmed bool
	// Keep is how long what is kept of the program may be needed.
	Keep time.Duration
	// After is the assignment that is to be succeeded, if any.
	After *Assignment
}

// Claimed tells who has the session; Mine that the claim holds and the turn's
// tokens are set aside.
type Claimed struct {
	Assignment *Assignment
	Mine       bool
}

// Kept is one turn answered whole.
type Kept struct {
	Turn     string
	Previous string
	Input    []byte
	Output   []byte
}

// Ending is a turn answered whole on its way into the ledger.
type Ending struct {
	Program string
	Session string
	Run     string
	Owner   string
	Epoch   uint64
	Kept
	Budgeted bool
	Tokens   int64
	Retain   time.Duration
}

// Settled is what a turn came to that was not answered whole.
type Settled struct {
	Program string
	Run     string
	Turn    string
	Tokens  int64
	Keep    time.Duration
}

// Ledger keeps assignments, reservations and turns.
type Ledger interface {
	Begin(ctx *base.Ctx, claim *Claim) (*Claimed, error)
	Finish(ctx *base.Ctx, ending *Ending) error
	Settle(ctx *base.Ctx, settled *Settled) error
	Chain(ctx *base.Ctx, program, turn string) ([]Kept, error)
}

// Reply is a worker's answer under way.
type Reply interface {
	Status() int
	Headers() []relay.Header
	// Event gives the next event; io.EOF at a clean end.
	Event(limit time.Duration) (*relay.Event, error)
	Body(limit time.Duration) ([]byte, error)
	// Streams tells that events are to come; otherwise the body is whole.
	Streams() bool
	Close()
}

// Workers sends a call to one worker that runs it.
type Workers interface {
	Offer(ctx *base.Ctx, matched *route.Route, service string, call *relay.Call, body []byte) (Reply, error)
}
