// In a large fleet the feed is told through a tree of followers, so that its
// owner answers a bounded number. Cores ask the owner, gateways ask a core. Each
// node answers a bounded number of gateways; one that has as many names some of
// them to whoever else asks, who turns to those. So the tree grows with the fleet
// by itself, and nobody needs to know all gateways. A node stays with whom it
// found while that gives fresh answers. An answer at second hand says how long
// before the question it was confirmed, which the permit is shorter by; order is
// kept as ever, since no follower's place falls. In a circle nobody's
// confirmation is renewed, so it ends when that is too old. The owner is asked last.

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
	// directMost is how many nodes all ask the owner.
	directMost = 24
	// coreFollowers and relayFollowers are how many gateways a core and a gateway
	// answer at second hand; ownerFollowers is how many the owner answers that
	// found nobody else.
	coreFollowers  = 16
	relayFollowers = 10
	ownerFollowers = 32
	// relaysTold is how many relays a crowded node names.
	relaysTold = 6
	// relayTries is how many are asked at second hand before the owner.
	relayTries = 4
	// stepBytes bounds the changes that a follower keeps to tell others.
	stepBytes = 1 << 20
)

// large tells that there are too many nodes for all to ask the owner. A view that
// leaves members out may show few gateways, or none.
func large(view *membership.View) bool {
	return view.Partial() || len(view.Known(membership.RoleCore))+len(view.Known(membership.RoleGateway)) > directMost
}

// relays lists the addresses that a node asks at second hand, in turn: the one
// that answered last, then the cores in an order of its own; none where it asks
// the owner.
func (f *Follower) relays() []string {
	self := f.view.Self()
	if self.Role == membership.RoleCore || !large(f.view) {
		return nil
	}
	cores := slices.Clone(f.view.Available(membership.RoleCore))
	slices.SortFunc(cores, func(a, b *membership.Member) int {
		return cmp.Compare(base.Hash64(self.Id, b.Id), base.Hash64(self.Id, a.Id))
	})
	found := base.Map(cores, func(m *membership.Member) string { return m.Addr })
	if f.parent == "" {
		return found
	}
	if known := f.memberAt(f.parent); known != nil {
		if _, alive := f.view.Find(known.Id); !alive || known.Leaving {
			f.parent = ""
			return found
		}
	}
	return prepend(found, f.parent)
}

// prepend puts addresses before others, and each there once.
func prepend(others []string, first ...string) []string {
	rest := base.Filter(others, func(address string) bool { return !slices.Contains(first, address) })
	return append(slices.Clone(first), rest...)
}

// memberAt finds who is known to listen at an address, nobody where the view is
// partial and leaves it out.
func (f *Follower) memberAt(address string) *membership.Member {
	for _, role := range []string{membership.RoleCore, membership.RoleGateway} {
		for _, member := range f.view.Known(role) {
			if member.Addr == address {
				return member
			}
		}
	}
	return nil
}

// crowded tells that a question is left to other nodes, since this one answers
// as many followers as it takes, or is leaving, or follows the asker itself.
func (f *Follower) crowded(request *FollowRequest, most int) bool {
	if request.From == "" || request.From == f.view.SelfID() || request.Core {
		return false
	}
	if f.view.Self().Leaving && f.view.Self().Role == membership.RoleGateway {
		return true
	}
	if parent := f.followed.Load(); parent != nil && *parent == addressOf(request.From) {
		return true
	}
	return f.asking.full(request.From, most, f.clock.Now(), f.remembers())
}

// remembers is how long a follower counts after its newest question.
func (f *Follower) remembers() time.Duration { return 2 * f.bounds.Load().Permit() }

// step is a change of a follower's frame.
type step struct {
	from, to uint64
	puts     []*register.Put
	bytes    int
}

// steps are the newest changes, each where the one before ends.
type steps struct {
	list  []step
	bytes int
}

func (s *steps) add(next step) {
	for _, put := range next.puts {
		next.bytes += len(put.Key) + len(put.Value) + 64
	}
	s.list, s.bytes = append(s.list, next), s.bytes+next.bytes
	for len(s.list) > 0 && s.bytes > stepBytes {
		s.bytes -= s.list[0].bytes
		s.list = slices.Delete(s.list, 0, 1)
	}
}

// since gives the puts from a place on, if all are at hand. A step that begins
// before the place is given whole: its puts come in order, so the last counts.
func (s *steps) since(place uint64) (puts []*register.Put, ok bool) {
	for at, one := range s.list {
		if one.to <= place {
			continue
		}
		if at == 0 && one.from > place {
			return nil, false
		}
		puts = append(puts, one.puts...)
	}
	return puts, len(s.list) > 0
}

// AnswerFollower answers another follower from this one's frame.
func (f *Follower) AnswerFollower(ctx *base.Ctx, request *FollowRequest) (*FollowReply, error) {
	hold := min(time.Duration(request.HoldMs)*time.Millisecond, ctx.Left()/2)
	arrived := f.clock.Now()
	first := f.confirmedAt()
	for {
		next := f.bell.Next()
		confirmed, now := f.confirmedAt(), f.clock.Now()
		frame := f.Snapshot()
		renewed := confirmed > first && now-arrived >= hold/2
		if frame.Initialized && (!request.Begun || frame.Revision > request.Place) || renewed || now >= arrived+hold*5/4 {
			return f.tell(request, arrived)
		}
		next.Wait(arrived + hold*5/4 - now)
	}
}

// tell answers with what this follower has, unless that is older than two
// thirds of a permit or than what the other has.
func (f *Follower) tell(request *FollowRequest, arrived time.Duration) (*FollowReply, error) {
	f.mu.Lock()
	confirmed, frame, gateways := f.confirmed, f.Snapshot(), f.gateways
	puts, ok := f.steps.since(request.Place)
	f.mu.Unlock()
	if !frame.Initialized || !consensus.AcceptsRevision(frame.Revision, request.Place) || !consensus.MayRelay(f.clock.Now(), confirmed, f.bounds.Load().Permit()) {
		f.counters.Add("feed_relays_declined", 1)
		return nil, base.ToWire(base.Busy(503, "feed_stale", 1, "this node is behind the feed itself"))
	}
	reply := &FollowReply{Place: frame.Revision, Gateways: gateways, BehindMs: consensus.ConfirmationAge(arrived, confirmed).Milliseconds()}
	switch {
	case !request.Begun || frame.Revision > request.Place && !ok:
		reply.Frame = true
		for _, key := range base.SortedKeys(frame.Values) {
			reply.Puts = append(reply.Puts, &register.Put{Key: key, Value: frame.Values[key]})
		}
	case frame.Revision > request.Place:
		reply.Puts = puts
	}
	return reply, nil
}

// confirmedAt is a moment from which on this node's frame held all there was.
func (f *Follower) confirmedAt() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}
