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
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
	"fordseam/internal/register"
)

// KeyPrefix marks the keys that are told to every node.
const KeyPrefix = "feed/"

// Service answers followers: the owner's part on a core, and any node's towards
// those that it tells at second hand.
type Service struct {
	clock    base.Clock
	owner    *register.Server
	follower *Follower
	polls    polls
}

// NewService takes no owner on a gateway.
func NewService(clock base.Clock, owner *register.Server, follower *Follower) *Service {
	return &Service{clock: clock, owner: owner, follower: follower, polls: polls{holders: map[string]poll{}}}
}

func (v *Service) Follow(plain context.Context, request *FollowRequest) (*FollowReply, error) {
	ctx := base.CtxOf(plain, v.clock)
	if v.follower.crowded(request, v.most(request)) {
		v.follower.counters.Add("feed_relays_crowded", 1)
		return &FollowReply{Crowded: true, Relays: v.follower.asking.relays(request.From, request.Zone)}, nil
	}
	gateways := v.follower.below(request)
	if v.owner == nil || request.Relayed && !v.owner.LeadsFeed() {
		return v.follower.AnswerFollower(ctx, request)
	}
	v.note(request)
	hold := min(time.Duration(request.HoldMs)*time.Millisecond, ctx.Left()/2)
	place, frame, puts, hint, err := v.owner.Watch(ctx, request.Place, request.Begun, hold)
	if err != nil {
		return nil, base.ToWire(err)
	}
	told := base.Filter(puts, func(put *register.Put) bool { return strings.HasPrefix(put.Key, KeyPrefix) })
	reply := &FollowReply{Place: place, Frame: frame, Puts: told, Owner: hint}
	if request.From != "" {
		reply.Gateways = gateways
	}
	return reply, nil
}

// most is how many gateways this node answers. What a node holds under rules of
// access is told to the owner itself, by however many.
func (v *Service) most(request *FollowRequest) int {
	switch {
	case v.owner == nil:
		return relayFollowers
	case request.Node != "":
		return math.MaxInt
	case !request.Relayed:
		return ownerFollowers
	}
	return coreFollowers
}

// Snapshot is what a follower knows, swapped whole at each change. Begun tells it
// from the frame of a follower that was told nothing yet.
type Snapshot struct {
	Initialized bool
	Revision    uint64
	Values      map[string][]byte
}

// with gives the frame that a reply makes of this one.
func (f *Snapshot) with(reply *FollowReply) *Snapshot {
	values := map[string][]byte{}
	if !reply.Frame {
		values = maps.Clone(f.Values)
	}
	for _, put := range reply.Puts {
		if put.Gone {
			delete(values, put.Key)
		} else {
			values[put.Key] = put.Value
		}
	}
	return &Snapshot{Initialized: true, Revision: reply.Place, Values: values}
}

// puts are the changes that make another frame of this one: whoever has this one
// need not be told the whole of the other.
func (f *Snapshot) puts(next *Snapshot) (puts []*register.Put) {
	for _, key := range base.SortedKeys(f.Values) {
		if _, stays := next.Values[key]; !stays {
			puts = append(puts, &register.Put{Key: key, Gone: true})
		}
	}
	for _, key := range base.SortedKeys(next.Values) {
		value := next.Values[key]
		if before, known := f.Values[key]; !known || string(before) != string(value) {
			puts = append(puts, &register.Put{Key: key, Value: value})
		}
	}
	return puts
}

// Follower keeps a node's frame and its permit.
type Follower struct {
	clock    base.Clock
	wire     base.Wire
	client   *register.Client
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	frame    base.Table[Snapshot]
	changed  func(*Snapshot)
	bell     *base.Bell
	view     *membership.View
	asking   followers
	parent   string                 // the address that answered at second hand last; only Run has it
	followed atomic.Pointer[string] // the same, for those who ask

	// Tell, when set before Run, adds to a question what the node tells of itself.
	AddNodeInfo func(request *FollowRequest)

	until atomic.Int64 // a permit's end, by the node's clock
	asked atomic.Int64 // when the newest confirmation was asked for, and 1

	mu        sync.Mutex
	confirmed time.Duration
	steps     steps
	gateways  int64
	lapses    uint64
	closed    bool
}

// NewFollower calls changed with each new frame, before the permit that
// came with it counts.
func NewFollower(clock base.Clock, wire base.Wire, view *membership.View, client *register.Client, bounds *base.Table[base.Bounds], counters *base.Counters, changed func(*Snapshot)) *Follower {
	f := &Follower{clock: clock, wire: wire, view: view, client: client, bounds: bounds, counters: counters, changed: changed, bell: base.NewBell(clock)}
	f.frame.Swap(&Snapshot{Values: map[string][]byte{}})
	return f
}

// Snapshot is the newest state this node has shown.
func (f *Follower) Snapshot() *Snapshot { return f.frame.Load() }

// Run follows until closed.
func (f *Follower) Run() {
	for !f.Closed() {
		frame, bounds := f.Snapshot(), f.bounds.Load()
		request := &FollowRequest{Begun: frame.Initialized, Place: frame.Revision, HoldMs: bounds.FeedHold().Milliseconds()}
		if !frame.Initialized || large(f.view) {
			self := f.view.Self()
			request.From, request.Zone = self.Id, self.Zone
			request.Core = self.Role == membership.RoleCore
			request.Gateways = f.below(&FollowRequest{})
		}
		if f.AddNodeInfo != nil {
			f.AddNodeInfo(request)
		}
		reply, asked, err := f.ask(request)
		if err != nil {
			f.counters.Add("feed_failures", 1)
			f.clock.Sleep(bounds.FeedHold() / 4)
			continue
		}
		f.take(reply, asked)
	}
}

// below counts the gateways that follow through this node, itself and the asker
// included. A core that asks itself is not its own follower.
func (f *Follower) below(request *FollowRequest) int64 {
	from := request.From
	if from == f.view.SelfID() {
		from = ""
	}
	asked := heard{gateways: request.Gateways, zone: request.Zone, core: request.Core, at: f.clock.Now()}
	sum := f.asking.note(from, asked, f.remembers())
	if f.view.Self().Role == membership.RoleGateway {
		sum++
	}
	return sum
}

// ask asks those who tell at second hand, if there are any, and then the owner.
func (f *Follower) ask(request *FollowRequest) (reply *FollowReply, asked time.Duration, err error) {
	addresses := f.relays()
	if request.Node != "" {
		addresses = nil // what this node holds is told to the owner itself
	}
	if reply, asked = f.askRelays(request, addresses); reply != nil {
		return reply, asked, nil
	}
	return f.askOwner(request)
}

// askRelays asks one address after another, and whom those name; it gives nothing
// where none of a few had a fresh answer.
func (f *Follower) askRelays(request *FollowRequest, addresses []string) (reply *FollowReply, asked time.Duration) {
	request.Relayed = true
	lost, tried := false, map[string]bool{f.view.Self().Addr: true}
	for tries := 0; tries < relayTries && len(addresses) > 0; {
		address := addresses[0]
		addresses = addresses[1:]
		member := f.memberAt(address)
		isCore := member != nil && member.Role == membership.RoleCore
		if tried[address] || lost && !isCore {
			continue // after a lost answer time is short; the cores are well known
		}
		tried[address] = true
		tries++
		asked = f.clock.Now()
		answered, err := NewFeedProtobufClient("http://"+address, f.wire).Follow(base.NewCtx(f.clock, f.bounds.Load().Follow()), request)
		switch {
		case err == nil && answered.Crowded:
			addresses = prepend(addresses, answered.Relays...)
			f.leave(address)
		case err == nil && answered.Owner == "":
			f.parent = address
			f.followed.Store(&address)
			return answered, asked
		default:
			request.HoldMs = 0 // another try must not wait: the permit runs out
			f.counters.Add("feed_relays_failed", 1)
			f.leave(address)
			if v := base.FromWire(err); v != nil && (v.Code == "unreachable" || v.Code == "reply_lost") {
				lost = lost || v.Code == "reply_lost"
				if member != nil {
					f.view.Suspect(member.Id)
				}
			}
		}
	}
	return nil, asked
}

// leave ends following a node.
func (f *Follower) leave(address string) {
	if f.parent == address {
		f.parent = ""
		f.followed.Store(nil)
	}
}

// askOwner asks the owner itself.
func (f *Follower) askOwner(request *FollowRequest) (reply *FollowReply, asked time.Duration, err error) {
	request.Relayed = false
	bounds := f.bounds.Load()
	err = f.client.CallLeader(base.NewCtx(f.clock, bounds.Permit()), 0, bounds.Follow(), func(ctx *base.Ctx, addr string) (string, error) {
		asked = f.clock.Now()
		answered, err := NewFeedProtobufClient("http://"+addr, f.wire).Follow(ctx, request)
		request.HoldMs = 0
		if err != nil {
			return "", err
		}
		reply = answered
		return answered.Owner, nil
	})
	if err == nil && reply.Crowded {
		request.HoldMs = 0
		if reply, asked = f.askRelays(request, reply.Relays); reply == nil {
			err = base.Busy(503, "feed_crowded", 1, "nobody that was asked takes another follower")
		}
	}
	return reply, asked, err
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
	current := f.Snapshot()
	if !consensus.AcceptsRevision(reply.Place, current.Revision) {
		f.counters.Add("feed_older_dropped", 1)
		return
	}
	if reply.Place > current.Revision || !current.Initialized {
		next := current.with(reply)
		f.changed(next)
		f.mu.Lock()
		if current.Initialized {
			puts := reply.Puts
			if reply.Frame {
				puts = current.puts(next)
			}
			f.steps.add(step{from: current.Revision, to: next.Revision, puts: puts})
		}
		f.frame.Swap(next)
		f.mu.Unlock()
		f.counters.Add("feed_changes", 1)
	}
	permit := f.bounds.Load().Permit()
	behind := time.Duration(reply.BehindMs) * time.Millisecond
	leaseEnd := consensus.LeaseEnd(asked, behind, permit)
	asked -= behind
	f.mu.Lock()
	f.gateways, f.confirmed = reply.Gateways, max(f.confirmed, asked)
	until := time.Duration(f.until.Load())
	if until > 0 && f.clock.Now() >= until {
		f.lapses++
	}
	f.until.Store(int64(max(until, leaseEnd)))
	f.asked.Store(max(f.asked.Load(), int64(asked)+1))
	f.mu.Unlock()
	f.bell.Ring()
}

// NextConfirmation rings at the next confirmation.
func (f *Follower) NextConfirmation() base.Signal { return f.bell.Next() }

// ConfirmedWithin reports whether the newest confirmation was asked for so lately.
func (f *Follower) ConfirmedWithin(within time.Duration) bool {
	asked := f.asked.Load()
	return asked > 0 && f.clock.Now() < time.Duration(asked)+within
}

// HasLease reports whether this node may serve at this moment.
func (f *Follower) HasLease() bool { return f.clock.Now() < time.Duration(f.until.Load()) }

// GatewayCount is how many follow the feed in all, as last told.
func (f *Follower) GatewayCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.gateways)
}

// LeaseExpirations counts how often the permit ran out before it was renewed.
func (f *Follower) LeaseExpirations() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lapses
}

// WaitForLease waits a little for a lapsed permit, then declines.
func (f *Follower) WaitForLease(ctx *base.Ctx) error {
	end := f.clock.Now() + min(f.bounds.Load().Hold(), ctx.Left())
	for {
		next := f.bell.Next()
		if f.HasLease() {
			return nil
		}
		if !next.Wait(max(0, end-f.clock.Now())) {
			f.counters.Add("visits_declined_no_permit", 1)
			return base.Busy(503, "no_confirmed_settings", 1, "this node cannot confirm its settings")
		}
	}
}
