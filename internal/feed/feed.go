// Package feed brings control state to the nodes. A follower starts from a
// frame and goes on with numbered changes; each answer is as fresh as the
// moment it was asked for, which gives the follower a permit counted from
// before it asked. A node serves only under a permit. When it lapses, visits
// are held briefly and then declined as not run. The place a follower has
// reached never falls: an answer from before it is dropped and renews
// nothing.
package feed

import (
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Prefix marks the keys that are told to every node.
const Prefix = "feed/"

// Service is a core's side of the feed.
type Service struct {
	clock base.Clock
	owner *register.Owner
	polls polls
}

func NewService(clock base.Clock, owner *register.Owner) *Service {
	return &Service{clock: clock, owner: owner, polls: polls{holders: map[string]poll{}}}
}

func (v *Service) Follow(plain context.Context, request *FollowRequest) (*FollowReply, error) {
	ctx := base.CtxOf(plain, v.clock)
	v.note(request)
	hold := min(time.Duration(request.HoldMs)*time.Millisecond, ctx.Left()/2)
	place, frame, puts, hint, err := v.owner.News(ctx, request.Place, request.Begun, hold)
	if err != nil {
		return nil, base.ToWire(err)
	}
	told := base.Filter(puts, func(put *register.Put) bool { return strings.HasPrefix(put.Key, Prefix) })
	return &FollowReply{Place: place, Frame: frame, Puts: told, Owner: hint}, nil
}

// Frame is what a follower knows, swapped whole at each change. Begun tells it
// from the frame of a follower that was told nothing yet.
type Frame struct {
	Begun  bool
	Place  uint64
	Values map[string][]byte
}

// Follower keeps a node's frame and its permit.
type Follower struct {
	clock    base.Clock
	wire     base.Wire
	client   *register.Client
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	frame    base.Table[Frame]
	changed  func(*Frame)
	bell     *base.Bell

	// Tell, when set before Run, adds to a question what the node tells of itself.
	Tell func(request *FollowRequest)

	until atomic.Int64 // a permit's end, by the node's clock
	asked atomic.Int64 // when the newest confirmation was asked for, and 1

	mu     sync.Mutex
	lapses uint64
	closed bool
}

// NewFollower calls changed with each new frame, before the permit that
// came with it counts.
func NewFollower(clock base.Clock, wire base.Wire, client *register.Client, bounds *base.Table[base.Bounds], counters *base.Counters, changed func(*Frame)) *Follower {
	f := &Follower{clock: clock, wire: wire, client: client, bounds: bounds, counters: counters, changed: changed, bell: base.NewBell(clock)}
	f.frame.Swap(&Frame{Values: map[string][]byte{}})
	return f
}

// Frame is the newest state this node has shown.
func (f *Follower) Frame() *Frame { return f.frame.Load() }

// Run follows until closed.
func (f *Follower) Run() {
	for !f.Closed() {
		bounds := f.bounds.Load()
		asked := f.clock.Now()
		var reply *FollowReply
		frame := f.Frame()
		request := &FollowRequest{Begun: frame.Begun, Place: frame.Place, HoldMs: bounds.FeedHold().Milliseconds()}
		if f.Tell != nil {
			f.Tell(request)
		}
		err := f.client.Reach(base.NewCtx(f.clock, bounds.Permit()), 0, bounds.Follow(), func(ctx *base.Ctx, addr string) (string, error) {
			asked = f.clock.Now()
			answered, err := NewFeedProtobufClient("http://"+addr, f.wire).Follow(ctx, request)
			request.HoldMs = 0 // another try must not wait: the permit runs out
			if err != nil {
				return "", err
			}
			reply = answered
			return answered.Owner, nil
		})
		if err != nil {
			f.counters.Add("feed_failures", 1)
			f.clock.Sleep(bounds.FeedHold() / 4)
			continue
		}
		f.take(reply, asked)
	}
}

// Closed reports whether the follower was ended.
func (f *Follower) Closed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

func (f *Follower) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
}

func (f *Follower) take(reply *FollowReply, asked time.Duration) {
	current := f.Frame()
	if reply.Place < current.Place {
		f.counters.Add("feed_older_dropped", 1)
		return
	}
	if reply.Place > current.Place || !current.Begun {
		values := map[string][]byte{}
		if !reply.Frame {
			values = maps.Clone(current.Values)
		}
		for _, put := range reply.Puts {
			if put.Gone {
				delete(values, put.Key)
			} else {
				values[put.Key] = put.Value
			}
		}
		next := &Frame{Begun: true, Place: reply.Place, Values: values}
		f.changed(next)
		f.frame.Swap(next)
		f.counters.Add("feed_changes", 1)
	}
	permit := f.bounds.Load().Permit()
	f.mu.Lock()
	until := time.Duration(f.until.Load())
	if until > 0 && f.clock.Now() >= until {
		f.lapses++
	}
	f.until.Store(int64(max(until, asked+permit-permit/20)))
	f.asked.Store(max(f.asked.Load(), int64(asked)+1))
	f.mu.Unlock()
	f.bell.Ring()
}

// News rings at the next confirmation.
func (f *Follower) News() base.Signal { return f.bell.Next() }

// Confirmed reports whether the newest confirmation was asked for so lately.
func (f *Follower) Confirmed(within time.Duration) bool {
	asked := f.asked.Load()
	return asked > 0 && f.clock.Now() < time.Duration(asked)+within
}

// Permitted reports whether this node may serve at this moment.
func (f *Follower) Permitted() bool { return f.clock.Now() < time.Duration(f.until.Load()) }

// Lapses counts how often the permit ran out before it was renewed.
func (f *Follower) Lapses() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lapses
}

// Permit waits a little for a lapsed permit, then declines.
func (f *Follower) Permit(ctx *base.Ctx) error {
	end := f.clock.Now() + min(f.bounds.Load().Hold(), ctx.Left())
	for {
		next := f.bell.Next()
		if f.Permitted() {
			return nil
		}
		if !next.Wait(max(0, end-f.clock.Now())) {
			f.counters.Add("visits_declined_no_permit", 1)
			return base.Busy(503, "no_confirmed_settings", 1, "this node cannot confirm its settings")
		}
	}
}
