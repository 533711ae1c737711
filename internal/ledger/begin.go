// The beginning of a turn: its session's claim and its tokens' reservation.

package ledger

import (
	"time"

	"fordseam/internal/base"
)

// BeginParams is a turn that wants to run, and the claim it runs under: for a
// first claim the epoch is 1, for a successor's one more than that of the Run
// it succeeds, and once a Begin gave the session to the claim, the epoch it
// gave, with Confirmed. A Run that had to give way needs a new id to claim
// again.
type BeginParams struct {
	Program  string
	Session  string
	Turn     string
	Previous string
	Owner    string
	Run      string
	Epoch    uint64
	// Confirmed tells that a quorum took this claim before.
	Confirmed bool
	// Budgeted turns reserve MaxTokens of the program's Budget.
	Budgeted  bool
	MaxTokens int64
	Budget    int64
	// Retention is how long the program's state may be needed after this.
	Retention time.Duration
}

// BeginResult is who holds the session; Granted tells that it is the claimant.
type BeginResult struct {
	Granted bool
	Owner   string
	Run     string
	Epoch   uint64
}

// Begin claims the session and reserves the turn's tokens. When another holds
// the session nothing is reserved and the holder is told. An error means that
// the turn must not run.
func (c *Client) Begin(ctx *base.Ctx, b *BeginParams) (*BeginResult, error) {
	epoch := max(b.Epoch, 1)
	came, err := c.settleClaim(ctx, b, &epoch, nil)
	if err != nil || came.best != nil {
		c.cancel(b)
		if err != nil {
			return nil, err
		}
		return &BeginResult{Owner: came.best.Owner, Run: came.best.Run, Epoch: came.best.Epoch}, nil
	}
	if b.Budgeted && b.Turn != "" {
		if err := c.afford(ctx, b, &epoch, came); err != nil {
			c.cancel(b)
			return nil, err
		}
	}
	return &BeginResult{Granted: true, Owner: b.Owner, Run: b.Run, Epoch: epoch}, nil
}

// afford decides whether the budget holds the turn. Any two reservations meet
// at some replica, where the later sees the earlier, but of three each may see
// only one other. So one round is enough only where all replicas saw the same
// reservations. Otherwise a second, begun after the first was on a quorum, sees
// whatever was granted before it, and tells each replica what it missed. Of any
// reservations granted so, one sees all the others; docs/duties/ledger.md says
// why.
func (c *Client) afford(ctx *base.Ctx, b *BeginParams, epoch *uint64, came claimed) error {
	for tries := 0; ; tries++ {
		if !came.alike || tries > 0 {
			c.counters.Add("ledger_second_rounds", 1)
			again, err := c.settleClaim(ctx, b, epoch, came.known())
			if err != nil {
				return err
			}
			if again.best != nil {
				return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
			}
			again.merge(came)
			came = again
		}
		settled, open := came.sums()
		if settled+open < b.Budget {
			return nil
		}
		if settled+came.ahead(b.Turn+"/"+b.Run) >= b.Budget || tries == 3 || ctx.Over() {
			return base.Decline(402, "over_budget", "the program's budget is spent")
		}
		c.clock.Sleep(min(ctx.Left(), c.bounds.Load().Hedge()/8<<tries))
	}
}

// cancel takes back what a turn reserved that will not run.
func (c *Client) cancel(b *BeginParams) {
	if !b.Budgeted || b.Turn == "" {
		return
	}
	c.clock.Go(func() {
		_ = c.Settle(base.NewCtx(c.clock, c.bounds.Load().Call()), &SettleParams{Program: b.Program, Run: b.Run, Turn: b.Turn, Retention: b.Retention})
	})
}

// TakeOver takes a session over from a Run; it is told by that Run's epoch.
// Whoever loses a race is told who won.
func (c *Client) TakeOver(ctx *base.Ctx, program, session, owner, run string, expected uint64, keep time.Duration) (*BeginResult, error) {
	return c.Begin(ctx, &BeginParams{Program: program, Session: session, Owner: owner, Run: run, Epoch: expected + 1, Retention: keep})
}
