package ledger

import (
	"slices"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// smallChainBytes is the size of payloads in a reply for which no memory is reserved.
const smallChainBytes = 256 << 10

// Chain returns a turn and all its ancestors, oldest first. The program is a hint
// where to look first. The code "unknown_turn" is returned only if so many complete
// stores lack the turn that no quorum can hold it.
func (c *Client) Chain(ctx *base.Ctx, program, id string) ([]*Turn, error) {
	return c.ChainWithin(ctx, program, id, unlimited{})
}

// ChainMemory counts what the lookup of a chain holds. An error ends the lookup.
type ChainMemory interface {
	// Reserve is called with the size of a large turn before that is sent.
	Reserve(bytes int) error
	// Received is called with the size of the turns that were received.
	Received(bytes int) error
}

// unlimited is a ChainMemory without a bound.
type unlimited struct{}

func (unlimited) Reserve(int) error  { return nil }
func (unlimited) Received(int) error { return nil }

// ChainWithin is Chain that counts what it receives.
func (c *Client) ChainWithin(ctx *base.Ctx, program, id string, memory ChainMemory) ([]*Turn, error) {
	chain := []*Turn{}
	for maxBytes := smallChainBytes; id != ""; {
		segment, nextBytes, err := c.findTurnAndAncestors(ctx, program, id, maxBytes)
		if len(chain) > 0 && base.IsCode(err, "unknown_turn") {
			c.counters.Add("ledger_chains_broken", 1)
			return nil, base.Busy(503, "chain_broken", 1, "turn %q, an ancestor in the chain, is missing", id)
		}
		if err != nil {
			return nil, err
		}
		if len(segment) == 0 {
			if err := memory.Reserve(nextBytes); err != nil {
				return nil, err
			}
			maxBytes = nextBytes
			continue
		}
		maxBytes = smallChainBytes
		size := 0
		for _, t := range segment {
			size += len(t.Input) + len(t.Output)
		}
		if err := memory.Received(size); err != nil {
			return nil, err
		}
		chain = append(segment, chain...)
		program, id = segment[0].Program, segment[0].Previous
	}
	return chain, nil
}

// findTurnAndAncestors returns a turn with ancestors whose payloads have at most maxBytes, or
// the size of the turn if that alone has more.
func (c *Client) findTurnAndAncestors(ctx *base.Ctx, program, id string, maxBytes int) (segment []*Turn, nextBytes int, err error) {
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
		hasTurns := func(reply *ChainReply) bool {
			return reply.Ack.GetWhy() == "" && (len(reply.Turns) > 0 || reply.NextBytes > 0)
		}
		absent := func(responses []storeResponse[*ChainReply]) bool {
			lackingStores := base.Filter(responses, func(response storeResponse[*ChainReply]) bool {
				return response.ack != nil && response.ack.Why == "" && response.ack.Whole && !hasTurns(response.reply)
			})
			return len(lackingStores) > len(set.Disks)-quorum
		}
		responses, setChanged := callQuorum(c, ctx, quorumCall[*ChainReply]{set: set, stores: append(replicas, c.orderByPreference(others)...), required: 1, askAllOnMiss: true, accepted: hasTurns, decided: absent,
			send: func(ctx *base.Ctx, store Ledger, target *Target) (*ChainReply, error) {
				return store.Chain(ctx, &ChainRequest{Target: target, Turn: id, MaxBytes: int64(maxBytes)})
			}})
		for _, response := range responses {
			if response.ack != nil && hasTurns(response.reply) {
				return response.reply.Turns, int(response.reply.NextBytes), nil
			}
		}
		if !setChanged && absent(responses) {
			return nil, 0, base.Decline(404, "unknown_turn", "turn %q does not exist", id)
		}
		everyStoreAnswered = !setChanged && allAnswered(responses, len(set.Disks))
		if !setChanged {
			c.backOff(ctx)
		}
	}
	return nil, 0, c.unreachableError("the turn's chain")
}
