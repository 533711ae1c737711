// The exchange between two neighbours: what is said, and what is taken in.

package membership

import (
	"context"
	"slices"
	"strings"
	"time"

	"fordseam/internal/base"
)

// exchange speaks with whoever lives at an address, tells who that is, and
// sees to it that views which differ are compared whole.
func (v *View) exchange(addr string, limit time.Duration, askView bool) (id string, err error) {
	message := v.message(v.at(addr), askView, nil)
	reply, err := NewMembershipProtobufClient("http://"+addr, v.wire).Shuffle(base.NewCtx(v.clock, limit), message)
	if err != nil {
		v.hear(v.at(addr), false)
		if base.WasNotSent(err) {
			v.doubtAt(addr)
		}
		return "", err
	}
	if len(reply.Members) > 0 {
		id = reply.Members[0].Id
		v.hear(id, true)
	}
	if differs := v.merge(reply, addr); differs && !askView {
		v.counters.Add("views_compared", 1)
		v.clock.Go(func() { _, _ = v.exchange(addr, v.bounds.Load().Beat()*4, true) })
	}
	return id, nil
}

// message builds what is said to a neighbour, "" when it is not known who that
// is; heard are ids that the other side has just told of itself.
func (v *View) message(to string, askView bool, heard map[string]bool) *ShuffleMessage {
	v.mu.Lock()
	message := &ShuffleMessage{Cluster: v.cluster, AskView: askView, Members: []*Member{pack(v.self)}, Digest: v.digest()}
	held := v.known[to]
	if held != nil {
		message.Holds = held.member.Incarnation
		if held.holds >= v.self.Incarnation {
			message.Members[0] = &Member{Id: v.self.Id, Incarnation: v.self.Incarnation}
		}
		if held.accused >= held.member.Incarnation {
			message.Members = append(message.Members, &Member{Id: to, Incarnation: held.accused, State: State_SUSPECTED})
		}
	}
	waiting := base.SortedKeys(v.news)
	slices.SortStableFunc(waiting, func(a, b string) int { return v.news[b].left - v.news[a].left })
	for _, id := range waiting[:min(newsLimit, len(waiting))] {
		item := v.news[id]
		if id == to || heard[id] {
			continue
		}
		if id != v.self.Id {
			message.Members = append(message.Members, pack(item.member))
		}
		if item.left--; item.left <= 0 {
			delete(v.news, id)
		}
	}
	if askView {
		message.View = v.sample(viewLimit)
	} else if message.Digest == 0 && v.turn%sampleEvery == 0 {
		message.View = v.sample(sampleLimit)
	}
	times, uses := v.times(), held == nil || held.member.Role == RoleGateway
	v.mu.Unlock()
	if v.usages != nil && uses {
		message.Usages = v.usages.Sample(usageLimit, times)
	}
	return message
}

// sample is part of the view, half of it cores and storage machines; the caller
// holds the lock.
func (v *View) sample(limit int) []*Member {
	duties, edges := []string{}, []string{}
	for _, id := range base.SortedKeys(v.known) {
		if held := v.known[id]; v.alive(held) && held.accused < held.member.Incarnation {
			if held.member.Role == RoleGateway {
				edges = append(edges, id)
			} else {
				duties = append(duties, id)
			}
		}
	}
	v.mix(duties)
	v.mix(edges)
	chosen := duties[:min(max(limit/2, limit-len(edges)), len(duties))]
	chosen = append(chosen, edges[:min(limit-len(chosen), len(edges))]...)
	return base.Map(chosen, func(id string) *Member { return pack(v.known[id].member) })
}

func copyMember(m *Member) *Member {
	return &Member{Id: m.Id, Addr: m.Addr, PublicAddr: m.PublicAddr, Role: m.Role, Zone: m.Zone, Incarnation: m.Incarnation, Leaving: m.Leaving, Unwell: m.Unwell, State: m.State}
}

// pack leaves out an address that the id begins with; unpack puts it back.
func pack(m *Member) *Member {
	packed := copyMember(m)
	if addrIn(m.Id) == m.Addr {
		packed.Addr = ""
	}
	return packed
}

func unpack(m *Member) *Member {
	if m.Addr == "" {
		m.Addr = addrIn(m.Id)
	}
	return m
}

func addrIn(id string) string {
	if place := strings.LastIndexByte(id, '/'); place > 0 {
		return id[:place]
	}
	return ""
}

// Shuffle answers a neighbour's exchange, in the name of the cluster that this
// node was of before it heard.
func (v *View) Shuffle(_ context.Context, message *ShuffleMessage) (*ShuffleMessage, error) {
	v.mu.Lock()
	cluster := v.cluster
	v.mu.Unlock()
	same := message.Cluster == "" || cluster == "" || message.Cluster == cluster
	v.merge(message, "")
	heard, from := map[string]bool{}, ""
	for place, member := range message.Members {
		heard[member.Id] = true
		if place == 0 {
			from = member.Id
		}
	}
	reply := v.message(from, message.AskView && same, heard)
	reply.Cluster = cluster
	return reply, nil
}

// merge takes news in and tells whether the views differ while neither side
// has news. The first member of a message is its sender, whose word on who
// lives at its address ends any former life there.
func (v *View) merge(message *ShuffleMessage, asked string) (differs bool) {
	v.mu.Lock()
	if !v.sameCluster(message.Cluster) {
		v.mu.Unlock()
		v.counters.Add("foreign_members_dropped", 1)
		return false
	}
	now := v.clock.Now()
	joining := v.alone()
	look := []string{}
	for _, member := range message.Members {
		if member.State == State_GONE && member.Id != v.self.Id {
			v.endLife(member.Id, member.Incarnation)
		}
	}
	for place, member := range message.Members {
		unpack(member)
		switch {
		case member.Id == v.self.Id:
			if member.State != State_ALIVE && member.Incarnation >= v.self.Incarnation {
				v.self.Incarnation = member.Incarnation
				v.counters.Add("suspicions_refuted", 1)
				v.announce()
			}
		case member.State == State_GONE:
		case member.State == State_SUSPECTED:
			if v.suspected(member) {
				look = append(look, member.Id)
			}
		case place == 0 && member.Role == "":
			if held, ok := v.known[member.Id]; ok {
				held.holds = message.Holds
			}
		default:
			first := place == 0 && (asked == "" || asked == member.Addr)
			// To a partial view a stranger is no news, unless it joins.
			look = append(look, v.admit(member, first, place > 0 || message.AskView || v.whole())...)
			if held, ok := v.known[member.Id]; ok && place == 0 {
				held.holds = message.Holds
			}
		}
	}
	for _, member := range message.View {
		if unpack(member).Id != v.self.Id && member.State == State_ALIVE {
			look = append(look, v.admit(member, false, !joining && v.whole())...)
		}
	}
	v.forget(now)
	mine := v.digest()
	if differs = asked != "" && mine != 0 && message.Digest != 0 && mine != message.Digest && len(v.news) == 0 &&
		len(message.Members) == 1 && now-v.synced > v.bounds.Load().Suspect()/2; differs {
		v.synced = now
	}
	v.mu.Unlock()
	for _, id := range look {
		v.probe(id)
	}
	if v.usages != nil {
		v.usages.Merge(message.Usages)
	}
	return differs
}

// sameCluster keeps clusters apart whose machines reach each other at addresses that
// one of them has given up. A node that does not know its cluster learns it
// from the first it hears, so one whose place names it is safer. The caller
// holds the lock.
func (v *View) sameCluster(cluster string) bool {
	switch {
	case cluster == "" || cluster == v.cluster:
		return true
	case v.cluster == "":
		v.cluster = cluster
		return true
	}
	return false
}
