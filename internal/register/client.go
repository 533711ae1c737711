// The client finds the owner of a group's slot and asks it for a change. Ops
// are safe to ask twice, so a lost reply is asked again until the visit's
// time is over; only then is the outcome unknown.
package register

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

type Client struct {
	clock  base.Clock
	wire   base.Wire
	view   *membership.View
	bounds *base.Table[base.Bounds]

	mu       sync.Mutex
	answered map[uint32]string // the core that answered for a slot last
}

func NewClient(clock base.Clock, wire base.Wire, view *membership.View, bounds *base.Table[base.Bounds]) *Client {
	return &Client{clock: clock, wire: wire, view: view, bounds: bounds, answered: map[uint32]string{}}
}

// Nominate orders the live cores for a slot.
func (c *Client) Nominate(slot uint32) []string {
	ids := base.Map(c.view.Alive(membership.RoleCore), func(m *membership.Member) string { return m.Id })
	return base.Rendezvous(fmt.Sprint("slot/", slot), ids)
}

// Change asks for an op in a group and reads its result into into.
func (c *Client) Change(ctx *base.Ctx, group, op string, args, into any) error {
	request := &ChangeRequest{Group: group, Op: op, Args: base.Encode(args)}
	var result []byte
	err := c.Reach(ctx, SlotOf(group), c.bounds.Load().Call()/2, func(ctx *base.Ctx, addr string) (string, error) {
		reply, err := NewRegisterProtobufClient("http://"+addr, c.wire).Change(ctx, request)
		if err != nil {
			return "", err
		}
		result = reply.Result
		return reply.Owner, nil
	})
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(result, into)
}

// choose prefers the core that answered last, then the slot's order; a core
// that gave no answer to this call comes after those that were not asked yet.
// The owner may be one that others cannot reach, or that cannot reach the
// disks, and still look alive from here.
func (c *Client) choose(slot uint32, turned map[string]int) string {
	order := c.Nominate(slot)
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

// Reach calls the owner of a slot, following hints and trying again, until
// it answers for itself. One call may take up to limit; a core that gives no
// answer in that time is passed over until it is heard to beat again.
func (c *Client) Reach(ctx *base.Ctx, slot uint32, limit time.Duration, call func(ctx *base.Ctx, addr string) (hint string, err error)) error {
	var last error
	hint, lost, turned := "", false, map[string]int{}
	for hops := 0; !ctx.Over(); hops++ {
		chosenCore := hint
		if chosenCore == "" || turned[chosenCore] > 0 {
			chosenCore = c.choose(slot, turned)
		}
		member, _ := c.view.Find(chosenCore)
		hint = ""
		if member != nil {
			var err error
			hint, err = call(ctx.Within(limit), member.Addr)
			if err == nil && hint == "" {
				c.note(slot, chosenCore)
				return nil
			}
			if _, alive := c.view.Find(hint); !alive {
				hint = "" // the core that was asked probes that one; ask it again
			}
			if err != nil {
				v := base.FromWire(err)
				last = v
				switch v.Code {
				case "unreachable":
					turned[chosenCore]++
					c.view.Suspect(chosenCore)
				case "reply_lost":
					turned[chosenCore]++
					lost = true
					c.view.Suspect(chosenCore)
				case "slot_moved", "no_majority", "slot_not_ready", "no_disks":
					lost = lost || v.Ran != base.NotRun
				default:
					return v
				}
			}
		}
		if hops > 0 || member == nil || hint == "" {
			pause := c.bounds.Load().Beat() / 5 << min(hops, 3)
			c.clock.Sleep(min(ctx.Left(), pause+time.Duration(c.clock.Int64N(int64(pause)))))
		}
	}
	if lost {
		return base.Unsure(503, "outcome_unknown", "the control state did not answer in time: %v", last)
	}
	return base.Busy(503, "control_unreachable", 1, "the control state could not be reached: %v", last)
}
