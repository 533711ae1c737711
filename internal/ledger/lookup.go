// Looking turns up, with all before them.

package ledger

import (
	"slices"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Chain gives a turn and all before it, oldest first. The program is a hint
// where to look. A turn is told unknown only when no quorum can hide it.
func (c *Client) Chain(ctx *base.Ctx, program, id string) ([]*Turn, error) {
	found := []*Turn{}
	for id != "" {
		part, err := c.look(ctx, program, id)
		if len(found) > 0 && base.IsCode(err, "unknown_turn") {
			c.counters.Add("ledger_chains_broken", 1)
			return nil, base.Busy(503, "chain_broken", 1, "a turn that the chain goes on from is missing")
		}
		if err != nil {
			return nil, err
		}
		found = append(part, found...)
		program, id = part[0].Program, part[0].Previous
	}
	return found, nil
}

func (c *Client) look(ctx *base.Ctx, program, id string) ([]*Turn, error) {
	try := c.confirming(ctx)
	ctx = try.ctx
	answered := false
	for !try.over(answered) {
		set, order, need := c.replicas(program)
		if set == nil {
			c.pause(ctx)
			continue
		}
		others := base.Filter(set.Disks, func(entry *register.DiskEntry) bool { return !slices.Contains(order, entry) })
		has := func(reply *ChainReply) bool { return reply.Ack.GetWhy() == "" && len(reply.Turns) > 0 }
		absent := func(answers []answer[*ChainReply]) bool {
			without := base.Filter(answers, func(one answer[*ChainReply]) bool {
				return one.ack != nil && one.ack.Why == "" && one.ack.Whole && len(one.reply.Turns) == 0
			})
			return len(without) > len(set.Disks)-need
		}
		answers, moved := gather(c, ctx, round[*ChainReply]{set: set, order: append(order, c.prefer(others)...), enough: 1, wide: true, yes: has, over: absent,
			call: func(ctx *base.Ctx, store Ledger, target *Target) (*ChainReply, error) {
				return store.Chain(ctx, &ChainRequest{Target: target, Turn: id})
			}})
		for _, one := range answers {
			if one.ack != nil && has(one.reply) {
				return one.reply.Turns, nil
			}
		}
		if !moved && absent(answers) {
			return nil, base.Decline(404, "unknown_turn", "there is no such turn")
		}
		answered = !moved && allAnswered(answers, len(set.Disks))
		if !moved {
			c.pause(ctx)
		}
	}
	return nil, c.unreached("the turn's chain")
}
