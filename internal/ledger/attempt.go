package ledger

import (
	"time"

	"fordseam/internal/base"
)

// backOff sleeps for a quarter to three quarters of the hedge delay.
func (c *Client) backOff(ctx *base.Ctx) {
	hedge := int64(c.bounds.Load().DiskHedgeDelay())
	c.clock.Sleep(min(ctx.Remaining(), time.Duration(hedge/4+c.clock.Int64N(hedge/2))))
}

// confirmAttempt bounds how long the client tries to get a quorum's confirmation.
// A turn does not wait for it until its deadline: the caller is refused early
// enough to retry.
type confirmAttempt struct {
	client    *Client
	ctx       *base.Ctx
	startedAt time.Duration
}

// newAttempt starts an attempt that lasts as long as one reply of a disk may take,
// but at most half of the turn's remaining time.
func (c *Client) newAttempt(ctx *base.Ctx) *confirmAttempt {
	limit := min(c.bounds.Load().DiskTimeout(), ctx.Remaining()/2)
	return &confirmAttempt{client: c, ctx: ctx.WithTimeout(limit), startedAt: c.clock.Now()}
}

// maxIncompleteHedges is the number of hedge delays after which an attempt ends if
// all stores answer but too many are incomplete: they must be filled first, which
// takes longer than an attempt.
const maxIncompleteHedges = 4

// ended reports whether the attempt is over. everyStoreAnswered means that every
// store that was asked replied in the last round.
func (a *confirmAttempt) ended(everyStoreAnswered bool) bool {
	incomplete := everyStoreAnswered && a.client.clock.Now()-a.startedAt >= maxIncompleteHedges*a.client.bounds.Load().DiskHedgeDelay()
	return incomplete || a.ctx.Expired()
}

// unreachableError is the error of an attempt that ended without a quorum.
func (c *Client) unreachableError(what string) error {
	c.counters.Add("ledger_unconfirmed", 1)
	return base.BusyFor(503, "ledger_unreachable", c.bounds.Load().Recovery/40, "too few storage machines answered to confirm %s", what)
}
