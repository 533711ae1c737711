package register

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// Client finds the leader of a group's shard and calls operations on it.
// Operations may be executed twice, so a call whose reply was lost is repeated
// until its context is over; only then is its outcome unknown.
type Client struct {
	clock      base.Clock
	httpClient base.HTTPClient
	view       *membership.View
	bounds     *base.AtomicPointer[base.Bounds]

	mu          sync.Mutex
	lastLeaders map[uint32]string // the core that last answered for a shard
}

// NewClient returns a client that finds cores in a membership view.
func NewClient(clock base.Clock, httpClient base.HTTPClient, view *membership.View, bounds *base.AtomicPointer[base.Bounds]) *Client {
	return &Client{clock: clock, httpClient: httpClient, view: view, bounds: bounds, lastLeaders: map[uint32]string{}}
}

// LeaderCandidates lists the live cores that may lead a shard, the preferred one
// first.
func (c *Client) LeaderCandidates(shardNum uint32) []string {
	return leaderCandidates(c.view, shardNum)
}

// Change executes an operation on a group's shard and decodes its result, unless
// result is nil.
func (c *Client) Change(ctx *base.Ctx, group, op string, args, result any) error {
	return c.requestChange(ctx, group, op, args, result)
}

// Read executes an operation that changes nothing. Whether it ran makes no
// difference, so an unknown outcome becomes an error that may be retried.
func (c *Client) Read(ctx *base.Ctx, group, op string, args, result any) error {
	err := c.requestChange(ctx, group, op, args, result)
	if base.IsCode(err, "outcome_unknown") {
		return base.Busy(503, "control_unreachable", 1, "%s", base.ToRequestError(err).Message)
	}
	return err
}

func (c *Client) requestChange(ctx *base.Ctx, group, op string, args, result any) error {
	request := &ChangeRequest{Group: group, Op: op, Args: base.MustMarshal(args)}
	bounds := c.bounds.Load()
	encoded, err := c.findLeader(ctx, ShardOf(group), bounds.CoreCallTimeout()/2, bounds.CoreHedgeDelay(), func(ctx *base.Ctx, addr string) coreReply {
		reply, err := NewRegisterProtobufClient("http://"+addr, c.httpClient).Change(ctx, request)
		if err != nil {
			return coreReply{err: err}
		}
		return coreReply{hint: reply.Owner, result: reply.Result}
	})
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

// CallLeader calls cores, following their hints and retrying, until the leader
// of a shard answers for itself. Each call may take up to callTimeout, and no
// other core is called at the same time. A core that does not answer in that
// time is skipped until its next heartbeat arrives.
func (c *Client) CallLeader(ctx *base.Ctx, shardNum uint32, callTimeout time.Duration, call func(ctx *base.Ctx, addr string) (hint string, err error)) error {
	_, err := c.findLeader(ctx, shardNum, callTimeout, neverHedge, func(ctx *base.Ctx, addr string) coreReply {
		hint, err := call(ctx, addr)
		return coreReply{hint: hint, err: err}
	})
	return err
}

// pickCore picks the core to call next: the one that answered last for the
// shard, then the others in the order of the shard's candidates. Cores that
// already failed in this search come after those that were not called yet,
// because the leader may be unreachable for others, or cut off from the disks,
// and still look alive from here.
func (c *Client) pickCore(shardNum uint32, failures map[string]int) string {
	ranked := c.LeaderCandidates(shardNum)
	c.mu.Lock()
	lastLeader := c.lastLeaders[shardNum]
	c.mu.Unlock()
	if index := slices.Index(ranked, lastLeader); index > 0 {
		ranked = slices.Insert(slices.Delete(ranked, index, index+1), 0, lastLeader)
	}
	slices.SortStableFunc(ranked, func(a, b string) int { return failures[a] - failures[b] })
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

func (c *Client) recordLeader(shardNum uint32, core string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLeaders[shardNum] = core
}
