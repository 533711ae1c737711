package feed

import (
	"cmp"
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
	"fordseam/internal/register"
)

const (
	// maxDirectFollowers is up to how many nodes all of them ask the leader.
	maxDirectFollowers = 24
	// maxCoreFollowers and maxGatewayFollowers are how many gateways a core and
	// a gateway answer as relays. maxLeaderFollowers is how many the leader
	// answers that found no relay.
	maxCoreFollowers    = 16
	maxGatewayFollowers = 10
	maxLeaderFollowers  = 32
	// maxRelayHints is how many other nodes a redirect names.
	maxRelayHints = 6
	// maxRelayAttempts is how many relays are asked before the leader.
	maxRelayAttempts = 4
	// maxRecentBytes limits the changes that a follower keeps for its own
	// followers.
	maxRecentBytes = 1 << 20
)

// usesRelays reports whether the fleet is too large for every node to ask the
// leader. A partial view may show few gateways or none, so it counts as large.
func usesRelays(view *membership.View) bool {
	return view.Partial() || len(view.Known(membership.RoleCore))+len(view.Known(membership.RoleGateway)) > maxDirectFollowers
}

// relayCandidates returns the addresses to ask as relays, in order: the current
// parent, then the cores in an order that differs by node. It returns nil for a
// node that asks the leader directly.
func (f *Follower) relayCandidates() []string {
	self := f.view.Self()
	if self.Role == membership.RoleCore || !usesRelays(f.view) {
		return nil
	}
	cores := slices.Clone(f.view.Available(membership.RoleCore))
	slices.SortFunc(cores, func(a, b *membership.Member) int {
		return cmp.Compare(base.Hash64(self.Id, b.Id), base.Hash64(self.Id, a.Id))
	})
	addresses := base.Map(cores, func(m *membership.Member) string { return m.Addr })
	if f.parent == "" {
		return addresses
	}
	if known := f.memberAtAddress(f.parent); known != nil {
		if _, alive := f.view.Find(known.Id); !alive || known.Leaving {
			f.parent = ""
			return addresses
		}
	}
	return prepend(addresses, f.parent)
}

// prepend returns first followed by the others that are not in first.
func prepend(addresses []string, first ...string) []string {
	rest := base.Filter(addresses, func(address string) bool { return !slices.Contains(first, address) })
	return append(slices.Clone(first), rest...)
}

// memberAtAddress returns the core or gateway known at an address. It returns
// nil when a partial view leaves that member out.
func (f *Follower) memberAtAddress(address string) *membership.Member {
	for _, role := range []string{membership.RoleCore, membership.RoleGateway} {
		for _, member := range f.view.Known(role) {
			if member.Addr == address {
				return member
			}
		}
	}
	return nil
}

// shouldRedirect reports whether a follower is sent to other nodes: this one
// answers as many as it accepts, is leaving, or follows the sender itself.
func (f *Follower) shouldRedirect(request *FollowRequest, limit int) bool {
	if request.From == "" || request.From == f.view.SelfID() || request.Core {
		return false
	}
	if f.view.Self().Leaving && f.view.Self().Role == membership.RoleGateway {
		return true
	}
	if parent := f.publishedParent.Load(); parent != nil && *parent == addressFromID(request.From) {
		return true
	}
	return f.followers.atCapacity(request.From, limit, f.clock.Now(), f.followerTTL())
}

// followerTTL is how long a follower counts after its newest request.
func (f *Follower) followerTTL() time.Duration { return 2 * f.bounds.Load().Lease() }

// change is one change of a follower's snapshot.
type change struct {
	from, to uint64
	puts     []*register.Put
	bytes    int
}

// changeLog holds the newest changes. Each begins at the revision at which the
// one before ends.
type changeLog struct {
	changes []change
	bytes   int
}

// add appends a change and drops the oldest ones beyond maxRecentBytes.
func (l *changeLog) add(next change) {
	for _, put := range next.puts {
		next.bytes += len(put.Key) + len(put.Value) + 64
	}
	l.changes, l.bytes = append(l.changes, next), l.bytes+next.bytes
	for len(l.changes) > 0 && l.bytes > maxRecentBytes {
		l.bytes -= l.changes[0].bytes
		l.changes = slices.Delete(l.changes, 0, 1)
	}
}

// since returns the puts after a revision; ok is false when some were dropped.
// A change that begins before the revision is returned in full, which is
// harmless: puts are applied in order, so the last one counts.
func (l *changeLog) since(revision uint64) (puts []*register.Put, ok bool) {
	for i, entry := range l.changes {
		if entry.to <= revision {
			continue
		}
		if i == 0 && entry.from > revision {
			return nil, false
		}
		puts = append(puts, entry.puts...)
	}
	return puts, len(l.changes) > 0
}

// AnswerFollower answers another follower's long poll from this node's
// snapshot. It waits until there is something newer, or a renewed confirmation
// after half the wait, or the wait plus a quarter is over.
func (f *Follower) AnswerFollower(ctx *base.Ctx, request *FollowRequest) (*FollowReply, error) {
	wait := min(time.Duration(request.HoldMs)*time.Millisecond, ctx.Remaining()/2)
	receivedAt := f.clock.Now()
	firstConfirmed := f.lastConfirmed()
	for {
		next := f.confirmationNotifier.Next()
		confirmed, now := f.lastConfirmed(), f.clock.Now()
		snapshot := f.Snapshot()
		renewed := confirmed > firstConfirmed && now-receivedAt >= wait/2
		if snapshot.Initialized && (!request.Begun || snapshot.Revision > request.Place) || renewed || now >= receivedAt+wait*5/4 {
			return f.reply(request, receivedAt)
		}
		next.Wait(receivedAt + wait*5/4 - now)
	}
}

// reply answers with this node's state. It fails when that was confirmed too
// long ago (see consensus.MayRelay) or is older than what the follower has.
func (f *Follower) reply(request *FollowRequest, receivedAt time.Duration) (*FollowReply, error) {
	f.mu.Lock()
	confirmed, snapshot, gatewayCount := f.confirmed, f.Snapshot(), f.gatewayCount
	puts, ok := f.recent.since(request.Place)
	f.mu.Unlock()
	if !snapshot.Initialized || !consensus.AcceptsRevision(snapshot.Revision, request.Place) || !consensus.MayRelay(f.clock.Now(), confirmed, f.bounds.Load().Lease()) {
		f.counters.Add("feed_relays_declined", 1)
		return nil, base.ToTwirpError(base.Busy(503, "feed_stale", 1, "this node's own snapshot of the feed is out of date"))
	}
	reply := &FollowReply{Place: snapshot.Revision, Gateways: gatewayCount, BehindMs: consensus.ConfirmationAge(receivedAt, confirmed).Milliseconds()}
	switch {
	case !request.Begun || snapshot.Revision > request.Place && !ok:
		reply.Frame = true
		for _, key := range base.SortedKeys(snapshot.Values) {
			reply.Puts = append(reply.Puts, &register.Put{Key: key, Value: snapshot.Values[key]})
		}
	case snapshot.Revision > request.Place:
		reply.Puts = puts
	}
	return reply, nil
}

// lastConfirmed returns a time at which this node's snapshot was up to date.
func (f *Follower) lastConfirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}
