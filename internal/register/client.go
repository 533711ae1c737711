// The client finds the owner of a group's shard and asks it for a change. Ops
// are safe to ask twice, so a lost reply is asked again until the call's time
// is over; only then is the outcome unknown.

package register

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// Client asks the owners of shards for changes.
type Client struct {
	clock  base.Clock
	wire   base.Wire
	view   *membership.View
	bounds *base.Table[base.Bounds]

	mu       sync.Mutex
	answered map[uint32]string // the core that answered for a slot last
}

// NewClient makes a client that finds cores by a view.
func NewClient(clock base.Clock, wire base.Wire, view *membership.View, bounds *base.Table[base.Bounds]) *Client {
	return &Client{clock: clock, wire: wire, view: view, bounds: bounds, answered: map[uint32]string{}}
}

// LeaderCandidates orders the live cores for a slot.
func (c *Client) LeaderCandidates(slot uint32) []string { return ownersFor(c.view, slot) }

// Change asks for an op in a group and reads its result into into.
func (c *Client) Change(ctx *base.Ctx, group, op string, args, into any) error {
	return c.change(ctx, group, op, args, into)
}

// Read asks for an op that changes nothing. Since it is all the same whether it
// ran, a lost answer is a refusal that says when to come back.
func (c *Client) Read(ctx *base.Ctx, group, op string, args, into any) error {
	err := c.change(ctx, group, op, args, into)
	if base.IsCode(err, "outcome_unknown") {
		return base.Busy(503, "control_unreachable", 1, "%s", base.FromWire(err).Message)
	}
	return err
}

func (c *Client) change(ctx *base.Ctx, group, op string, args, into any) error {
	request := &ChangeRequest{Group: group, Op: op, Args: base.Encode(args)}
	bounds := c.bounds.Load()
	result, err := c.search(ctx, ShardOf(group), bounds.Call()/2, bounds.AnotherCore(), func(ctx *base.Ctx, addr string) answer {
		reply, err := NewRegisterProtobufClient("http://"+addr, c.wire).Change(ctx, request)
		if err != nil {
			return answer{err: err}
		}
		return answer{hint: reply.Owner, result: reply.Result}
	})
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(result, into)
}

// CallLeader calls the owner of a slot, following hints and trying again, until
// it answers for itself. One call may take up to limit and no other is made
// meanwhile; a core that gives no answer in that time is passed over until it
// is heard to beat again.
func (c *Client) CallLeader(ctx *base.Ctx, slot uint32, limit time.Duration, call func(ctx *base.Ctx, addr string) (hint string, err error)) error {
	_, err := c.search(ctx, slot, limit, forEver, func(ctx *base.Ctx, addr string) answer {
		hint, err := call(ctx, addr)
		return answer{hint: hint, err: err}
	})
	return err
}

// choose prefers the core that answered last, then the slot's order; a core
// that gave no answer to this call comes after those that were not asked yet.
// The owner may be one that others cannot reach, or that cannot reach the
// disks, and still look alive from here.
func (c *Client) choose(slot uint32, turned map[string]int) string {
	order := c.LeaderCandidates(slot)
	c.mu.Lock()
	former := c.answered[slot]
	c.mu.Unlock()
	if place := slices.Index(order, former); place > 0 {
		order = slices.Insert(slices.Delete(order, place, place+1), 0, former)
	}
	slices.SortStableFunc(order, func(a, b string) int { return turned[a] - turned[b] })
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

func (c *Client) note(slot uint32, core string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[slot] = core
}
