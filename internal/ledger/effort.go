// How long a try at having the stores confirm something lasts.

package ledger

import (
	"time"

	"fordseam/internal/base"
)

func (c *Client) pause(ctx *base.Ctx) {
	hedge := int64(c.bounds.Load().Hedge())
	c.clock.Sleep(min(ctx.Left(), time.Duration(hedge/4+c.clock.Int64N(hedge/2))))
}

// effort is one try at having the stores confirm something. A turn is not held
// for it towards its deadline: whoever asks is refused in time to come back.
type effort struct {
	client *Client
	ctx    *base.Ctx
	began  time.Duration
}

// confirming begins a try that lasts as long as one answer of a disk may take,
// and leaves half of the time that the turn has.
func (c *Client) confirming(ctx *base.Ctx) *effort {
	limit := min(c.bounds.Load().DiskLimit(), ctx.Left()/2)
	return &effort{client: c, ctx: ctx.Within(limit), began: c.clock.Now()}
}

// settledHedges is after how many hedges a try ends whose stores all answer and
// lack too much: only their filling helps, which takes longer.
const settledHedges = 4

// over tells that the try has ended. answered tells that every store that was
// asked gave an answer.
func (e *effort) over(answered bool) bool {
	settled := answered && e.client.clock.Now()-e.began >= settledHedges*e.client.bounds.Load().Hedge()
	return settled || e.ctx.Over()
}

func (c *Client) unreached(what string) error {
	c.counters.Add("ledger_unconfirmed", 1)
	return base.BusyFor(503, "ledger_unreachable", c.bounds.Load().Recover/40, "too few storage machines answered for %s", what)
}
