package ledger

import (
	"time"

	"fordseam/internal/base"
)

// FinishParams describes a turn that was answered completely.
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

// SettleParams describes the tokens used by a turn that was not answered
// completely.
type SettleParams struct {
	Program   string
	Run       string
	Turn      string
	Tokens    int64
	Retention time.Duration
}

// Finish stores a completely answered turn. The end of the answer must not be sent
// to the caller before Finish has returned without error.
func (c *Client) Finish(ctx *base.Ctx, params *FinishParams) error {
	claim := &Assignment{Session: params.Session, Owner: params.Owner, Run: params.Run, Epoch: params.Epoch, Confirmed: true}
	for !ctx.Expired() {
		set, replicas, quorum := c.replicas(params.Program)
		if set == nil {
			c.backOff(ctx)
			continue
		}
		stale := func(responses []storeResponse[*WriteReply]) bool {
			return len(base.Filter(responses, func(response storeResponse[*WriteReply]) bool { return response.ack.GetWhy() == "held" })) > len(replicas)-quorum
		}
		responses, setChanged := callQuorum(c, ctx, quorumCall[*WriteReply]{set: set, stores: replicas, required: quorum, accepted: writeAccepted, decided: stale,
			send: func(ctx *base.Ctx, store Ledger, target *Target) (*WriteReply, error) {
				return store.Finish(ctx, &FinishRequest{Target: target, Program: params.Program, Claim: claim, Turn: params.Turn, Previous: params.Previous,
					Input: params.Input, Output: params.Output, Budgeted: params.Budgeted, Tokens: params.Tokens, KeepMs: params.Retention.Milliseconds()})
			}})
		switch {
		case setChanged:
		case countAccepted(responses) >= quorum:
			return nil
		case stale(responses):
			return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
		default:
			c.backOff(ctx)
		}
	}
	return base.Indeterminate(503, "outcome_unknown", "too few storage machines answered to confirm the end of turn %q", params.Turn)
}

// Settle replaces the reservation of a turn that was not answered completely by
// the tokens that it used: 0 if it certainly delivered none.
func (c *Client) Settle(ctx *base.Ctx, params *SettleParams) error {
	for !ctx.Expired() {
		set, replicas, quorum := c.replicas(params.Program)
		if set == nil {
			c.backOff(ctx)
			continue
		}
		responses, setChanged := callQuorum(c, ctx, quorumCall[*WriteReply]{set: set, stores: replicas, required: quorum, accepted: writeAccepted,
			send: func(ctx *base.Ctx, store Ledger, target *Target) (*WriteReply, error) {
				return store.Settle(ctx, &SettleRequest{Target: target, Program: params.Program, Run: params.Run, Turn: params.Turn, Tokens: params.Tokens, KeepMs: params.Retention.Milliseconds()})
			}})
		if countAccepted(responses) >= quorum && !setChanged {
			return nil
		}
		if !setChanged {
			c.backOff(ctx)
		}
	}
	return base.Indeterminate(503, "outcome_unknown", "too few storage machines answered to settle turn %q", params.Turn)
}
