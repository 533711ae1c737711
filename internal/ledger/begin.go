package ledger

import (
	"time"

	"fordseam/internal/base"
)

// BeginParams describes a turn to begin and the claim it runs under. The epoch of
// a first claim is 1, and that of a takeover is one more than the epoch of the
// Run that is taken over. Once Begin has granted the claim, later calls pass the
// epoch that it returned and set Confirmed. A Run whose claim was refused needs a
// new id to claim again.
type BeginParams struct {
	Program  string
	Session  string
	Turn     string
	Previous string
	Owner    string
	Run      string
	Epoch    uint64
	// Confirmed means that a quorum has granted this claim before.
	Confirmed bool
	// Budgeted turns reserve MaxTokens of the program's Budget, in tokens.
	Budgeted  bool
	MaxTokens int64
	Budget    int64
	// InputBytes is the size of the turn's input if it will be stored, else 0.
	InputBytes int
	// Retention is how long the program's state must be kept from now on.
	Retention time.Duration
}

// BeginResult is the holder of the session. Granted means that it is the
// claimant.
type BeginResult struct {
	Granted bool
	Owner   string
	Run     string
	Epoch   uint64
}

// Begin claims the session and reserves the turn's tokens. If another Run holds
// the session, it reserves nothing and returns the holder. After an error the
// turn must not run.
func (c *Client) Begin(ctx *base.Ctx, params *BeginParams) (*BeginResult, error) {
	epoch := max(params.Epoch, 1)
	round, err := c.claimSession(ctx, params, &epoch, nil)
	if err != nil || round.rival != nil {
		c.releaseReservation(params)
		if err != nil {
			return nil, err
		}
		return &BeginResult{Owner: round.rival.Owner, Run: round.rival.Run, Epoch: round.rival.Epoch}, nil
	}
	if params.Budgeted && params.Turn != "" {
		if err := c.reserveBudget(ctx, params, &epoch, round); err != nil {
			c.releaseReservation(params)
			return nil, err
		}
	}
	return &BeginResult{Granted: true, Owner: params.Owner, Run: params.Run, Epoch: epoch}, nil
}

// reserveBudget checks that the program's budget covers the turn. Any two
// reservations meet at some replica, where the later one sees the earlier one,
// but of three concurrent reservations each may see only one other. One round is
// therefore enough only if all replicas reported the same reservations. Otherwise
// a second round, started once the first is on a quorum, sees everything granted
// before it and tells each replica what it missed. Among any set of granted
// reservations, one has then seen all the others; docs/duties/ledger.md has the
// proof.
func (c *Client) reserveBudget(ctx *base.Ctx, params *BeginParams, epoch *uint64, round claimRound) error {
	for retries := 0; ; retries++ {
		if !round.identical || retries > 0 {
			c.counters.Add("ledger_second_rounds", 1)
			again, err := c.claimSession(ctx, params, epoch, round.knownSpends())
			if err != nil {
				return err
			}
			if again.rival != nil {
				return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
			}
			again.merge(round)
			round = again
		}
		settled, reserved := round.totals()
		if settled+reserved < params.Budget {
			return nil
		}
		if settled+round.reservedBefore(params.Turn+"/"+params.Run) >= params.Budget || retries == 3 || ctx.Expired() {
			return base.Decline(402, "over_budget", "the program's token budget is used up")
		}
		c.clock.Sleep(min(ctx.Remaining(), c.bounds.Load().DiskHedgeDelay()/8<<retries))
	}
}

// releaseReservation settles, in the background, the reservation of a turn that
// will not run.
func (c *Client) releaseReservation(params *BeginParams) {
	if !params.Budgeted || params.Turn == "" {
		return
	}
	c.clock.Go(func() {
		_ = c.Settle(base.NewCtx(c.clock, c.bounds.Load().CoreCallTimeout()), &SettleParams{Program: params.Program, Run: params.Run, Turn: params.Turn, Retention: params.Retention})
	})
}

// TakeOver claims a session from the Run that held it at formerEpoch. Of
// concurrent takeovers one is granted, and the others return its holder.
func (c *Client) TakeOver(ctx *base.Ctx, program, session, owner, run string, formerEpoch uint64, retention time.Duration) (*BeginResult, error) {
	return c.Begin(ctx, &BeginParams{Program: program, Session: session, Owner: owner, Run: run, Epoch: formerEpoch + 1, Retention: retention})
}
