// Package feed distributes control state to the nodes: a watch on the register
// keys under KeyPrefix. A Follower starts from a snapshot and then receives
// changes by revision. An answer of the leader is at least as fresh as the time
// its request was sent, so it grants the follower a lease counted from before that
// request. A node serves only while it has a lease; when the lease expires,
// requests are held briefly and then rejected as not run. A follower's revision
// never goes back: an answer from an earlier revision is dropped and renews
// nothing.
//
// In a large fleet the followers form a tree, so that the leader of the feed's
// shard answers a bounded number of nodes. Cores ask the leader and gateways
// ask a core. Each node answers a bounded number of gateways; once it has that
// many it redirects others to some of them, so the tree grows with the fleet
// and no node needs to know every gateway. A node stays with its parent as long
// as the parent's answers are fresh. A relayed answer states how long before
// the request it was confirmed, and the lease is shorter by that time. Ordering
// is unaffected, because no follower's revision goes back. In a cycle of
// followers nobody's confirmation is renewed, so the cycle breaks when the
// confirmation gets too old. A node asks the leader itself when no relay
// answers.
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

// KeyPrefix is the prefix of the register keys that are distributed to every
// node.
const KeyPrefix = "feed/"

// Service answers followers: as the leader on a core that leads the feed's
// shard, and as a relay on any other node.
type Service struct {
	clock    base.Clock
	server   *register.Server
	follower *Follower
	reports  settingsReports
}

// NewService returns the feed service of a node. server is nil on a gateway.
func NewService(clock base.Clock, server *register.Server, follower *Follower) *Service {
	return &Service{clock: clock, server: server, follower: follower, reports: settingsReports{byNode: map[string]settingsReport{}}}
}

// Follow answers one long poll of a follower, or redirects it to other nodes.
func (s *Service) Follow(parent context.Context, request *FollowRequest) (*FollowReply, error) {
	ctx := base.CtxFromContext(parent, s.clock)
	if s.follower.shouldRedirect(request, s.followerLimit(request)) {
		s.follower.counters.Add("feed_relays_crowded", 1)
		return &FollowReply{Crowded: true, Relays: s.follower.followers.relayHints(request.From, request.Zone)}, nil
	}
	gateways := s.follower.countGateways(request)
	if s.server == nil || request.Relayed && !s.server.LeadsFeed() {
		return s.follower.AnswerFollower(ctx, request)
	}
	s.recordReport(request)
	wait := min(time.Duration(request.HoldMs)*time.Millisecond, ctx.Remaining()/2)
	revision, full, puts, leaderHint, err := s.server.Watch(ctx, request.Place, request.Begun, wait)
	if err != nil {
		return nil, base.ToTwirpError(err)
	}
	visible := base.Filter(puts, func(put *register.Put) bool { return strings.HasPrefix(put.Key, KeyPrefix) })
	reply := &FollowReply{Place: revision, Frame: full, Puts: visible, Owner: leaderHint}
	if request.From != "" {
		reply.Gateways = gateways
	}
	return reply, nil
}

// followerLimit returns how many gateways this node answers. A follower that
// reports which settings it has must be answered by the leader itself, so the
// leader does not limit those.
func (s *Service) followerLimit(request *FollowRequest) int {
	switch {
	case s.server == nil:
		return maxGatewayFollowers
	case request.Node != "":
		return math.MaxInt
	case !request.Relayed:
		return maxLeaderFollowers
	}
	return maxCoreFollowers
}

// Snapshot is the control state that a follower has. It is immutable and
// replaced as a whole at each change. Initialized is false before the first
// answer, which distinguishes that state from one at revision 0.
type Snapshot struct {
	Initialized bool
	Revision    uint64
	Values      map[string][]byte
}

// apply returns the snapshot that results from applying a reply to this one.
func (s *Snapshot) apply(reply *FollowReply) *Snapshot {
	values := map[string][]byte{}
	if !reply.Frame {
		values = maps.Clone(s.Values)
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

// diff returns the changes that lead from this snapshot to next, so that a
// follower that has this one need not get all of next.
func (s *Snapshot) diff(next *Snapshot) (puts []*register.Put) {
	for _, key := range base.SortedKeys(s.Values) {
		if _, present := next.Values[key]; !present {
			puts = append(puts, &register.Put{Key: key, Gone: true})
		}
	}
	for _, key := range base.SortedKeys(next.Values) {
		value := next.Values[key]
		if old, known := s.Values[key]; !known || string(old) != string(value) {
			puts = append(puts, &register.Put{Key: key, Value: value})
		}
	}
	return puts
}

// Follower keeps a node's snapshot of the control state and its lease.
type Follower struct {
	clock                base.Clock
	httpClient           base.HTTPClient
	client               *register.Client
	bounds               *base.AtomicPointer[base.Bounds]
	counters             *base.Counters
	snapshot             base.AtomicPointer[Snapshot]
	onChange             func(*Snapshot)
	confirmationNotifier *base.Notifier
	view                 *membership.View
	followers            followerTable
	parent               string                 // the relay that answered last; used by Run only
	publishedParent      atomic.Pointer[string] // the value of parent, for other goroutines

	// AddNodeInfo, when set before Run, adds what this node reports about
	// itself to each request.
	AddNodeInfo func(request *FollowRequest)

	leaseEnd         atomic.Int64 // by the node's clock
	confirmedPlusOne atomic.Int64 // when the newest confirmation was requested, plus 1; 0 for none

	mu               sync.Mutex
	confirmed        time.Duration
	recent           changeLog
	gatewayCount     int64
	leaseExpirations uint64
	closed           bool
}

// NewFollower returns a follower that calls onChange with each new snapshot,
// before the lease that came with it takes effect.
func NewFollower(clock base.Clock, httpClient base.HTTPClient, view *membership.View, client *register.Client, bounds *base.AtomicPointer[base.Bounds], counters *base.Counters, onChange func(*Snapshot)) *Follower {
	f := &Follower{clock: clock, httpClient: httpClient, view: view, client: client, bounds: bounds, counters: counters, onChange: onChange, confirmationNotifier: base.NewNotifier(clock)}
	f.snapshot.Store(&Snapshot{Values: map[string][]byte{}})
	return f
}

// Snapshot returns the newest state that this node has received.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Run follows the feed until Close.
func (f *Follower) Run() {
	for !f.Closed() {
		snapshot, bounds := f.Snapshot(), f.bounds.Load()
		request := &FollowRequest{Begun: snapshot.Initialized, Place: snapshot.Revision, HoldMs: bounds.FeedPollWait().Milliseconds()}
		if !snapshot.Initialized || usesRelays(f.view) {
			self := f.view.Self()
			request.From, request.Zone = self.Id, self.Zone
			request.Core = self.Role == membership.RoleCore
			request.Gateways = f.countGateways(&FollowRequest{})
		}
		if f.AddNodeInfo != nil {
			f.AddNodeInfo(request)
		}
		reply, askedAt, err := f.ask(request)
		if err != nil {
			f.counters.Add("feed_failures", 1)
			f.clock.Sleep(bounds.FeedPollWait() / 4)
			continue
		}
		f.applyReply(reply, askedAt)
	}
}

// countGateways records the sender of a request as a follower and returns how
// many gateways follow through this node, counting itself and the sender. A
// core that sends requests to itself is not its own follower.
func (f *Follower) countGateways(request *FollowRequest) int64 {
	from := request.From
	if from == f.view.SelfID() {
		from = ""
	}
	info := followerInfo{gateways: request.Gateways, zone: request.Zone, core: request.Core, lastSeen: f.clock.Now()}
	sum := f.followers.record(from, info, f.followerTTL())
	if f.view.Self().Role == membership.RoleGateway {
		sum++
	}
	return sum
}

// ask sends a request to the relay candidates, if there are any, and then to
// the leader. It also returns when the answered request was sent.
func (f *Follower) ask(request *FollowRequest) (reply *FollowReply, askedAt time.Duration, err error) {
	addresses := f.relayCandidates()
	if request.Node != "" {
		addresses = nil // the leader itself must learn which settings this node has
	}
	if reply, askedAt = f.askRelays(request, addresses); reply != nil {
		return reply, askedAt, nil
	}
	return f.askLeader(request)
}

// askRelays asks one address after another, and the nodes that they redirect
// to. It returns nil when none of at most maxRelayAttempts gave an answer to
// use.
func (f *Follower) askRelays(request *FollowRequest, addresses []string) (reply *FollowReply, askedAt time.Duration) {
	request.Relayed = true
	replyLost, tried := false, map[string]bool{f.view.Self().Addr: true}
	for attempts := 0; attempts < maxRelayAttempts && len(addresses) > 0; {
		address := addresses[0]
		addresses = addresses[1:]
		member := f.memberAtAddress(address)
		isCore := member != nil && member.Role == membership.RoleCore
		if tried[address] || replyLost && !isCore {
			continue // a lost reply leaves little of the lease: ask only the cores, which are well known
		}
		tried[address] = true
		attempts++
		askedAt = f.clock.Now()
		answer, err := NewFeedProtobufClient("http://"+address, f.httpClient).Follow(base.NewCtx(f.clock, f.bounds.Load().FollowTimeout()), request)
		switch {
		case err == nil && answer.Crowded:
			addresses = prepend(addresses, answer.Relays...)
			f.dropParent(address)
		case err == nil && answer.Owner == "":
			f.parent = address
			f.publishedParent.Store(&address)
			return answer, askedAt
		default:
			request.HoldMs = 0 // another attempt must not wait: the lease is running out
			f.counters.Add("feed_relays_failed", 1)
			f.dropParent(address)
			if requestErr := base.ToRequestError(err); requestErr != nil && (requestErr.Code == "unreachable" || requestErr.Code == "reply_lost") {
				replyLost = replyLost || requestErr.Code == "reply_lost"
				if member != nil {
					f.view.Suspect(member.Id)
				}
			}
		}
	}
	return nil, askedAt
}

// dropParent stops preferring address as the node's parent.
func (f *Follower) dropParent(address string) {
	if f.parent == address {
		f.parent = ""
		f.publishedParent.Store(nil)
	}
}

// askLeader asks the leader of the feed's shard, and the relays that it
// redirects to.
func (f *Follower) askLeader(request *FollowRequest) (reply *FollowReply, askedAt time.Duration, err error) {
	request.Relayed = false
	bounds := f.bounds.Load()
	err = f.client.CallLeader(base.NewCtx(f.clock, bounds.Lease()), 0, bounds.FollowTimeout(), func(ctx *base.Ctx, addr string) (string, error) {
		askedAt = f.clock.Now()
		answer, err := NewFeedProtobufClient("http://"+addr, f.httpClient).Follow(ctx, request)
		request.HoldMs = 0
		if err != nil {
			return "", err
		}
		reply = answer
		return answer.Owner, nil
	})
	if err == nil && reply.Crowded {
		request.HoldMs = 0
		if reply, askedAt = f.askRelays(request, reply.Relays); reply == nil {
			err = base.Busy(503, "feed_crowded", 1, "none of the nodes asked accepts another follower")
		}
	}
	return reply, askedAt, err
}

// Closed reports whether Close was called.
func (f *Follower) Closed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Close ends Run after its current request.
func (f *Follower) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
}

// applyReply takes in an answer to a request that was sent at askedAt: it
// updates the snapshot, then extends the lease.
func (f *Follower) applyReply(reply *FollowReply, askedAt time.Duration) {
	current := f.Snapshot()
	if !consensus.AcceptsRevision(reply.Place, current.Revision) {
		f.counters.Add("feed_older_dropped", 1)
		return
	}
	if reply.Place > current.Revision || !current.Initialized {
		next := current.apply(reply)
		f.onChange(next)
		f.mu.Lock()
		if current.Initialized {
			puts := reply.Puts
			if reply.Frame {
				puts = current.diff(next)
			}
			f.recent.add(change{from: current.Revision, to: next.Revision, puts: puts})
		}
		f.snapshot.Store(next)
		f.mu.Unlock()
		f.counters.Add("feed_changes", 1)
	}
	lease := f.bounds.Load().Lease()
	behind := time.Duration(reply.BehindMs) * time.Millisecond
	leaseEnd := consensus.LeaseEnd(askedAt, behind, lease)
	askedAt -= behind
	f.mu.Lock()
	f.gatewayCount, f.confirmed = reply.Gateways, max(f.confirmed, askedAt)
	previousEnd := time.Duration(f.leaseEnd.Load())
	if previousEnd > 0 && f.clock.Now() >= previousEnd {
		f.leaseExpirations++
	}
	f.leaseEnd.Store(int64(max(previousEnd, leaseEnd)))
	f.confirmedPlusOne.Store(max(f.confirmedPlusOne.Load(), int64(askedAt)+1))
	f.mu.Unlock()
	f.confirmationNotifier.Notify()
}

// NextConfirmation returns a signal that fires at the next confirmation.
func (f *Follower) NextConfirmation() base.Signal { return f.confirmationNotifier.Next() }

// ConfirmedWithin reports whether the newest confirmation was requested less
// than within ago.
func (f *Follower) ConfirmedWithin(within time.Duration) bool {
	confirmedPlusOne := f.confirmedPlusOne.Load()
	return confirmedPlusOne > 0 && f.clock.Now() < time.Duration(confirmedPlusOne)+within
}

// HasLease reports whether this node may serve now.
func (f *Follower) HasLease() bool { return f.clock.Now() < time.Duration(f.leaseEnd.Load()) }

// GatewayCount returns how many gateways follow the feed in the whole fleet, as
// of the last answer.
func (f *Follower) GatewayCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.gatewayCount)
}

// LeaseExpirations returns how often the lease expired before it was renewed.
func (f *Follower) LeaseExpirations() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseExpirations
}

// WaitForLease returns at once under a lease. Otherwise it waits up to the
// configured hold time for a new one and then rejects the request as not run.
func (f *Follower) WaitForLease(ctx *base.Ctx) error {
	deadline := f.clock.Now() + min(f.bounds.Load().LeaseWait(), ctx.Remaining())
	for {
		next := f.confirmationNotifier.Next()
		if f.HasLease() {
			return nil
		}
		if !next.Wait(max(0, deadline-f.clock.Now())) {
			f.counters.Add("visits_declined_no_permit", 1)
			return base.Busy(503, "no_confirmed_settings", 1, "this node cannot confirm its settings")
		}
	}
}
