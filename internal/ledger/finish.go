// The end of a turn: kept whole, or settled for what it handed out.

package ledger

import (
	"time"

	"fordseam/internal/base"
)

// FinishParams is a turn that was answered whole.
type FinishParams struct {
	Program   string
	Session   string
	Turn      string
	Previous  string
	Owner     string
	Run       string
	Epoch     uint64
	Input     []byte
	Output    []byte
	Budgeted  bool
	Tokens    int64
	Retention time.Duration
}

// SettleParams is what a turn came to that was not answered whole.
type SettleParams struct {
	Program   string
	Run       string
	Turn      string
	Tokens    int64
	Retention time.Duration
}

// Finish keeps a turn that was answered whole. Until it returns without error
// the end of the answer must not be let out.
func (c *Client) Finish(ctx *base.Ctx, f *FinishParams) error {
	claim := &Assignment{Session: f.Session, Owner: f.Owner, Run: f.Run, Epoch: f.Epoch, Confirmed: true}
	for !ctx.Over() {
		set, order, need := c.replicas(f.Program)
		if set == nil {
			c.pause(ctx)
			continue
		}
		stale := func(answers []answer[*WriteReply]) bool {
			return len(base.Filter(answers, func(one answer[*WriteReply]) bool { return one.ack.GetWhy() == "held" })) > len(order)-need
		}
		answers, moved := gather(c, ctx, round[*WriteReply]{set: set, order: order, enough: need, yes: wholeYes, over: stale,
			call: func(ctx *base.Ctx, store Ledger, target *Target) (*WriteReply, error) {
				return store.Finish(ctx, &FinishRequest{Target: target, Program: f.Program, Claim: claim, Turn: f.Turn, Previous: f.Previous,
					Input: f.Input, Output: f.Output, Budgeted: f.Budgeted, Tokens: f.Tokens, KeepMs: f.Retention.Milliseconds()})
			}})
		switch {
		case moved:
		case wholes(answers) >= need:
			return nil
		case stale(answers):
			return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
		default:
			c.pause(ctx)
		}
	}
	return base.Unsure(503, "outcome_unknown", "too few storage machines answered for the turn's end")
}

// Settle says what a turn came to that was not answered whole: nought where it
// surely handed nothing out.
func (c *Client) Settle(ctx *base.Ctx, t *SettleParams) error {
	for !ctx.Over() {
		set, order, need := c.replicas(t.Program)
		if set == nil {
			c.pause(ctx)
			continue
		}
		answers, moved := gather(c, ctx, round[*WriteReply]{set: set, order: order, enough: need, yes: wholeYes,
			call: func(ctx *base.Ctx, store Ledger, target *Target) (*WriteReply, error) {
				return store.Settle(ctx, &SettleRequest{Target: target, Program: t.Program, Run: t.Run, Turn: t.Turn, Tokens: t.Tokens, KeepMs: t.Retention.Milliseconds()})
			}})
		if wholes(answers) >= need && !moved {
			return nil
		}
		if !moved {
			c.pause(ctx)
		}
	}
	return base.Unsure(503, "outcome_unknown", "too few storage machines answered for what the turn came to")
}
