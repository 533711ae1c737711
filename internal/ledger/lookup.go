package ledger

import (
	"slices"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Chain returns a turn and all its ancestors, oldest first. The program is a hint
// where to look first. The code "unknown_turn" is returned only if so many complete
// stores lack the turn that no quorum can hold it.
func (c *Client) Chain(ctx *base.Ctx, program, id string) ([]*Turn, error) {
	chain := []*Turn{}
	for id != "" {
		segment, err := c.findTurnAndAncestors(ctx, program, id)
		if len(chain) > 0 && base.IsCode(err, "unknown_turn") {
			c.counters.Add("ledger_chains_broken", 1)
			return nil, base.Busy(503, "chain_broken", 1, "turn %q, an ancestor in the chain, is missing", id)
		}
		if err != nil {
			return nil, err
		}
		chain = append(segment, chain...)
		program, id = segment[0].Program, segment[0].Previous
	}
	return chain, nil
}

func (c *Client) findTurnAndAncestors(ctx *base.Ctx, program, id string) ([]*Turn, error) {
	attempt := c.newAttempt(ctx)
	ctx = attempt.ctx
	everyStoreAnswered := false
	for !attempt.ended(everyStoreAnswered) {
		set, replicas, quorum := c.replicas(program)
		if set == nil {
			c.backOff(ctx)
			continue
		}
		others := base.Filter(set.Disks, func(entry *register.DiskEntry) bool { return !slices.Contains(replicas, entry) })
		hasTurns := func(reply *ChainReply) bool { return reply.Ack.GetWhy() == "" && len(reply.Turns) > 0 }
		absent := func(responses []storeResponse[*ChainReply]) bool {
			lackingStores := base.Filter(responses, func(response storeResponse[*ChainReply]) bool {
				return response.ack != nil && response.ack.Why == "" && response.ack.Whole && len(response.reply.Turns) == 0
			})
			return len(lackingStores) > len(set.Disks)-quorum
		}
		responses, setChanged := callQuorum(c, ctx, quorumCall[*ChainReply]{set: set, stores: append(replicas, c.orderByPreference(others)...), required: 1, askAllOnMiss: true, accepted: hasTurns, decided: absent,
			send: func(ctx *base.Ctx, store Ledger, target *Target) (*ChainReply, error) {
				return store.Chain(ctx, &ChainRequest{Target: target, Turn: id})
			}})
		for _, response := range responses {
			if response.ack != nil && hasTurns(response.reply) {
				return response.reply.Turns, nil
			}
		}
		if !setChanged && absent(responses) {
			return nil, base.Decline(404, "unknown_turn", "turn %q does not exist", id)
		}
		everyStoreAnswered = !setChanged && allAnswered(responses, len(set.Disks))
		if !setChanged {
			c.backOff(ctx)
		}
	}
	return nil, c.unreachableError("the turn's chain")
}
