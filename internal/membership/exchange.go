package membership

import (
	"context"
	"slices"
	"strings"
	"time"

	"fordseam/internal/base"
)

// exchange sends a message to the member at an address and takes in the reply.
// It returns the id of the member that answered. If the two views differ, it
// asks for the other's whole view.
func (v *View) exchange(addr string, timeout time.Duration, askView bool) (id string, err error) {
	message := v.buildMessage(v.idAtAddr(addr), askView, nil)
	reply, err := NewMembershipProtobufClient("http://"+addr, v.httpClient).Shuffle(base.NewCtx(v.clock, timeout), message)
	if err != nil {
		v.recordAnswer(v.idAtAddr(addr), false)
		if base.WasNotSent(err) {
			v.suspectLocallyAtAddr(addr)
		}
		return "", err
	}
	if len(reply.Members) > 0 {
		id = reply.Members[0].Id
		v.recordAnswer(id, true)
	}
	if differs := v.merge(reply, addr); differs && !askView {
		v.counters.Add("views_compared", 1)
		v.clock.Go(func() { _, _ = v.exchange(addr, v.bounds.Load().HeartbeatInterval()*4, true) })
	}
	return id, nil
}

// buildMessage builds a message to a member; the id is "" when it is not known
// who is at the address. senderKnows lists ids that the other side has just
// sent entries of.
func (v *View) buildMessage(to string, askView bool, senderKnows map[string]bool) *ShuffleMessage {
	v.mu.Lock()
	message := &ShuffleMessage{Cluster: v.cluster, AskView: askView, Members: []*Member{compact(v.self)}, Digest: v.digest()}
	p := v.known[to]
	if p != nil {
		message.Holds = p.member.Incarnation
		if p.knownSelfIncarnation >= v.self.Incarnation {
			message.Members[0] = &Member{Id: v.self.Id, Incarnation: v.self.Incarnation}
		}
		if p.sharedSuspicion >= p.member.Incarnation {
			message.Members = append(message.Members, &Member{Id: to, Incarnation: p.sharedSuspicion, State: State_SUSPECTED})
		}
	}
	queued := base.SortedKeys(v.pendingUpdates)
	slices.SortStableFunc(queued, func(a, b string) int { return v.pendingUpdates[b].sendsLeft - v.pendingUpdates[a].sendsLeft })
	for _, id := range queued[:min(maxUpdatesPerMessage, len(queued))] {
		item := v.pendingUpdates[id]
		if id == to || senderKnows[id] {
			continue
		}
		if id != v.self.Id {
			message.Members = append(message.Members, compact(item.member))
		}
		if item.sendsLeft--; item.sendsLeft <= 0 {
			delete(v.pendingUpdates, id)
		}
	}
	if askView {
		message.View = v.sampleMembers(maxViewMembers)
	} else if message.Digest == 0 && v.round%sampleEvery == 0 {
		message.View = v.sampleMembers(maxSampleMembers)
	}
	maxSends, wantsUsages := v.maxSends(), p == nil || p.member.Role == RoleGateway
	v.mu.Unlock()
	if v.usages != nil && wantsUsages {
		message.Usages = v.usages.Sample(maxUsagesPerMessage, maxSends)
	}
	return message
}

// sampleMembers returns part of the view, half of it cores and storage
// machines. The caller holds the lock.
func (v *View) sampleMembers(limit int) []*Member {
	servers, gateways := []string{}, []string{}
	for _, id := range base.SortedKeys(v.known) {
		if p := v.known[id]; v.isAlive(p) && p.sharedSuspicion < p.member.Incarnation {
			if p.member.Role == RoleGateway {
				gateways = append(gateways, id)
			} else {
				servers = append(servers, id)
			}
		}
	}
	v.shuffle(servers)
	v.shuffle(gateways)
	sample := servers[:min(max(limit/2, limit-len(gateways)), len(servers))]
	sample = append(sample, gateways[:min(limit-len(sample), len(gateways))]...)
	return base.Map(sample, func(id string) *Member { return compact(v.known[id].member) })
}

func cloneMember(m *Member) *Member {
	return &Member{Id: m.Id, Addr: m.Addr, PublicAddr: m.PublicAddr, Role: m.Role, Zone: m.Zone, Incarnation: m.Incarnation, Leaving: m.Leaving, Unwell: m.Unwell, State: m.State}
}

// compact returns an entry without its address if the id begins with that;
// expand adds it again.
func compact(m *Member) *Member {
	short := cloneMember(m)
	if addrFromID(m.Id) == m.Addr {
		short.Addr = ""
	}
	return short
}

func expand(m *Member) *Member {
	if m.Addr == "" {
		m.Addr = addrFromID(m.Id)
	}
	return m
}

func addrFromID(id string) string {
	if slash := strings.LastIndexByte(id, '/'); slash > 0 {
		return id[:slash]
	}
	return ""
}

// Shuffle answers another node's message. The reply names the cluster that this
// node belonged to before the message arrived.
func (v *View) Shuffle(_ context.Context, message *ShuffleMessage) (*ShuffleMessage, error) {
	v.mu.Lock()
	cluster := v.cluster
	v.mu.Unlock()
	sameCluster := message.Cluster == "" || cluster == "" || message.Cluster == cluster
	v.merge(message, "")
	senderKnows, from := map[string]bool{}, ""
	for i, member := range message.Members {
		senderKnows[member.Id] = true
		if i == 0 {
			from = member.Id
		}
	}
	reply := v.buildMessage(from, message.AskView && sameCluster, senderKnows)
	reply.Cluster = cluster
	return reply, nil
}

// merge takes in a message and reports whether the two views differ although
// neither side has updates. The first member of a message is its sender, whose
// entry ends any previous id at its address. askedAddr is the address
// that was asked if the message is a reply, or "".
func (v *View) merge(message *ShuffleMessage, askedAddr string) (differs bool) {
	v.mu.Lock()
	if !v.acceptCluster(message.Cluster) {
		v.mu.Unlock()
		v.counters.Add("foreign_members_dropped", 1)
		return false
	}
	now := v.clock.Now()
	joining := v.isolated()
	toProbe := []string{}
	for _, member := range message.Members {
		if member.State == State_GONE && member.Id != v.self.Id {
			v.markGone(member.Id, member.Incarnation)
		}
	}
	for i, member := range message.Members {
		expand(member)
		switch {
		case member.Id == v.self.Id:
			if member.State != State_ALIVE && member.Incarnation >= v.self.Incarnation {
				v.self.Incarnation = member.Incarnation
				v.counters.Add("suspicions_refuted", 1)
				v.announceSelf()
			}
		case member.State == State_GONE:
		case member.State == State_SUSPECTED:
			if v.applySuspicion(member) {
				toProbe = append(toProbe, member.Id)
			}
		case i == 0 && member.Role == "":
			if p, ok := v.known[member.Id]; ok {
				p.knownSelfIncarnation = message.Holds
			}
		default:
			authoritative := i == 0 && (askedAddr == "" || askedAddr == member.Addr)
			// A partial view does not forward the sender's entry, which may be
			// new to this node only, unless the sender is joining.
			toProbe = append(toProbe, v.applyEntry(member, authoritative, i > 0 || message.AskView || v.complete())...)
			if p, ok := v.known[member.Id]; ok && i == 0 {
				p.knownSelfIncarnation = message.Holds
			}
		}
	}
	for _, member := range message.View {
		if expand(member).Id != v.self.Id && member.State == State_ALIVE {
			toProbe = append(toProbe, v.applyEntry(member, false, !joining && v.complete())...)
		}
	}
	v.prune(now)
	ownDigest := v.digest()
	if differs = askedAddr != "" && ownDigest != 0 && message.Digest != 0 && ownDigest != message.Digest && len(v.pendingUpdates) == 0 &&
		len(message.Members) == 1 && now-v.lastCompared > v.bounds.Load().SuspectTimeout()/2; differs {
		v.lastCompared = now
	}
	v.mu.Unlock()
	for _, id := range toProbe {
		v.probe(id)
	}
	if v.usages != nil {
		v.usages.Merge(message.Usages)
	}
	return differs
}

// acceptCluster reports whether a message is from this node's cluster. It keeps
// clusters apart whose machines get each other's former addresses. A node that
// does not know its cluster learns it from the first message it gets, so it is
// safer to name the cluster in the process's settings. The caller holds the
// lock.
func (v *View) acceptCluster(cluster string) bool {
	switch {
	case cluster == "" || cluster == v.cluster:
		return true
	case v.cluster == "":
		v.cluster = cluster
		return true
	}
	return false
}
