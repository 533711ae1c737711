// In a large fleet the feed is told through a tree of followers, so that its
// owner answers a bounded number. Cores ask the owner; gateways ask a core; in
// a fleet with many gateways for each core, one gateway in six asks a core and
// the others ask one of those, of their own zone where there is one. Who has
// which part follows from a node's id, so there are no loops and nothing to
// agree on. An answer at second hand says how long before the question it was
// confirmed, which its permit is shorter by; order is kept as ever, since no
// follower's place falls. Whoever gives no fresh answer is passed over, and the
// owner is asked last.

package feed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/membership"
	"fordseam/internal/register"
)

const (
	// directMost is how many nodes all ask the owner.
	directMost = 24
	// perCore is how many gateways a core tells before gateways tell gateways.
	perCore = 16
	// branch is how many gateways there are for one that tells others, and
	// tellsMost how many followers a gateway takes.
	branch    = 6
	tellsMost = 10
	// stepBytes bounds the changes that a follower keeps to tell others.
	stepBytes = 1 << 20
	// relayTries is how many are asked at second hand before the owner.
	relayTries = 3
)

// tells reports whether a gateway is one of those that tell others.
func tells(id string) bool { return base.Hash64("feed", id)%branch == 0 }

// large tells that there are too many nodes for all to ask the owner.
func large(view *membership.View) bool {
	return len(view.Known(membership.RoleCore))+len(view.Known(membership.RoleEdge)) > directMost
}

// relays lists whom a node may ask at second hand, first the one it should;
// none where it asks the owner.
func relays(view *membership.View) []*membership.Member {
	self := view.Self()
	if self.Role == membership.RoleCore || !large(view) {
		return nil
	}
	cores, gateways := view.Alive(membership.RoleCore), view.Alive(membership.RoleEdge)
	deep := view.Partial() || len(gateways) > perCore*len(cores)
	if !deep || tells(self.Id) {
		return nearest(self, cores, false)
	}
	tellers := base.Filter(gateways, func(m *membership.Member) bool { return tells(m.Id) && m.Id != self.Id })
	return append(nearest(self, tellers, true), nearest(self, cores, false)...)
}

// candidates puts the one that answered last first. A partial view may have
// dropped it meanwhile; it stays unless it is known to be lost or leaving.
func (f *Follower) candidates() []*membership.Member {
	all := relays(f.view)
	if f.parent == nil || len(all) == 0 {
		return all
	}
	if known, alive := f.view.Find(f.parent.Id); known != nil && (!alive || known.Leaving) {
		f.parent = nil
		return all
	}
	return append([]*membership.Member{f.parent}, slices.DeleteFunc(all, func(m *membership.Member) bool { return m.Id == f.parent.Id })...)
}

// nearest orders members by this node's own rendezvous, its zone's first where
// that is asked for.
func nearest(self *membership.Member, members []*membership.Member, zoned bool) []*membership.Member {
	rank := make(map[string]uint64, len(members))
	for _, m := range members {
		rank[m.Id] = base.Hash64(self.Id, m.Id)
	}
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b *membership.Member) int {
		if zoned && (a.Zone == self.Zone) != (b.Zone == self.Zone) {
			if a.Zone == self.Zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank[b.Id], rank[a.Id])
	})
	return ordered
}

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

func (s *steps) clear() { *s = steps{} }

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

// Relay answers another follower from this one's frame.
func (f *Follower) Relay(ctx *base.Ctx, request *FollowRequest) (*FollowReply, error) {
	hold := min(time.Duration(request.HoldMs)*time.Millisecond, ctx.Left()/2)
	arrived := f.clock.Now()
	first := f.confirmedAt()
	for {
		next := f.bell.Next()
		confirmed, now := f.confirmedAt(), f.clock.Now()
		frame := f.Frame()
		renewed := confirmed > first && now-arrived >= hold/2
		if frame.Begun && (!request.Begun || frame.Place > request.Place) || renewed || now >= arrived+hold*5/4 {
			return f.tell(request, arrived)
		}
		next.Wait(arrived + hold*5/4 - now)
	}
}

// tell answers with what this follower has, unless that is older than two
// thirds of a permit or than what the other has.
func (f *Follower) tell(request *FollowRequest, arrived time.Duration) (*FollowReply, error) {
	f.mu.Lock()
	confirmed, frame, gateways := f.confirmed, f.Frame(), f.gateways
	puts, ok := f.steps.since(request.Place)
	f.mu.Unlock()
	if !frame.Begun || frame.Place < request.Place || !consensus.MayRelay(f.clock.Now(), confirmed, f.bounds.Load().Permit()) {
		f.counters.Add("feed_relays_declined", 1)
		return nil, base.ToWire(base.Busy(503, "feed_stale", 1, "this node is behind the feed itself"))
	}
	reply := &FollowReply{Place: frame.Place, Gateways: gateways, BehindMs: consensus.Behind(arrived, confirmed).Milliseconds()}
	switch {
	case !request.Begun || frame.Place > request.Place && !ok:
		reply.Frame = true
		for _, key := range base.SortedKeys(frame.Values) {
			reply.Puts = append(reply.Puts, &register.Put{Key: key, Value: frame.Values[key]})
		}
	case frame.Place > request.Place:
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

// followers counts the gateways that follow through a node.
type followers struct {
	mu  sync.Mutex
	all map[string]heard
}

type heard struct {
	gateways int64
	at       time.Duration
}

// full tells that a node has as many followers as it takes, the asker not being
// one of them.
func (c *followers) full(from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.all[from]
	return !known && len(c.all) >= tellsMost
}

// note takes an asker in, and gives the sum of those heard within a span.
func (c *followers) note(from string, gateways int64, now, span time.Duration) (sum int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[string]heard{}
	}
	if from != "" {
		c.all[from] = heard{gateways, now}
	}
	for id, one := range c.all {
		if now-one.at > span {
			delete(c.all, id)
			continue
		}
		sum += one.gateways
	}
	return sum
}
