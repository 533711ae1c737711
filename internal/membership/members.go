package membership

import (
	"math/bits"
	"strconv"
	"time"

	"fordseam/internal/base"
)

// peer is what this node knows about another member. Incarnations compare as in
// SWIM: a suspicion holds for the incarnation it names and lower ones.
type peer struct {
	member               *Member
	memberDigest         uint64
	knownSelfIncarnation uint64 // the incarnation of this node that the peer holds
	localSuspicion       uint64 // the incarnation this node itself suspects, not announced; 0 for none
	sharedSuspicion      uint64 // the announced one, until a higher incarnation refutes it
	sharedSuspicionAt    time.Duration
	suspectedAt          time.Duration
	// probeDone fires at the end of the probe that is under way; nil if there
	// is none.
	probeDone base.Signal
	// unanswered is whether the peer left this node's own last message
	// unanswered, regardless of what others report; unansweredAt is when that
	// was found.
	unanswered   bool
	unansweredAt time.Duration
}

// update is an entry to pass on, and how many more times.
type update struct {
	member    *Member
	sendsLeft int
}

// incarnationMark records up to which incarnation a member is removed, or an
// update about it was queued, and when.
type incarnationMark struct {
	incarnation uint64
	at          time.Duration
}

// announceSelf queues this node's own entry with a new incarnation. The caller
// holds the lock.
func (v *View) announceSelf() {
	v.self.Incarnation++
	v.invalidateSnapshot()
	v.enqueueUpdate(v.self, false)
}

// maxSends is how often a node passes an update on. The caller holds the lock.
func (v *View) maxSends() int { return 2 + bits.Len(uint(len(v.known))) }

// enqueueUpdate queues an entry to pass on, once for each incarnation and state
// unless force is set. The caller holds the lock.
func (v *View) enqueueUpdate(member *Member, force bool) {
	key := member.Id + "/" + strconv.Itoa(int(member.State))
	if queued, ok := v.lastQueued[key]; ok && queued.incarnation >= member.Incarnation && !force {
		return
	}
	v.lastQueued[key] = incarnationMark{member.Incarnation, v.clock.Now()}
	v.pendingUpdates[member.Id] = &update{cloneMember(member), v.maxSends()}
	v.changeNotifier.Notify()
}

// isolated reports whether no other member is alive. The caller holds the lock.
func (v *View) isolated() bool {
	for _, p := range v.known {
		if v.isAlive(p) {
			return false
		}
	}
	return true
}

// idAtAddr returns the id of the member at an address, or "".
func (v *View) idAtAddr(addr string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range base.SortedKeys(v.known) {
		if v.known[id].member.Addr == addr {
			return id
		}
	}
	return ""
}

// complete reports whether this view lists the whole fleet. The caller holds
// the lock.
func (v *View) complete() bool { return v.clock.Now() >= v.partialUntil }

// digest returns a digest of a complete view, or 0 for a partial one. The
// caller holds the lock.
func (v *View) digest() uint64 {
	if !v.complete() {
		return 0
	}
	sum := memberDigest(v.self)
	for _, p := range v.known {
		if v.isAlive(p) {
			sum ^= p.memberDigest
		}
	}
	return sum | 1
}

func memberDigest(m *Member) uint64 {
	return base.Hash64(m.Id, strconv.FormatUint(m.Incarnation, 10))
}

// applyEntry takes in an entry of a member that its sender takes for alive. It
// is authoritative if it comes from the member itself; then it ends any
// previous id at that address. forward queues it for others. A member
// that is suspected here is returned to be probed. The caller holds the lock.
func (v *View) applyEntry(member *Member, authoritative, forward bool) (toProbe []string) {
	if ended, ok := v.tombstones[member.Id]; ok && member.Incarnation <= ended.incarnation || member.Addr == v.self.Addr {
		return nil
	}
	if authoritative {
		for _, id := range base.SortedKeys(v.known) {
			if previous := v.known[id].member; previous.Addr == member.Addr && id != member.Id {
				v.markGone(id, previous.Incarnation)
			}
		}
	}
	p, ok := v.known[member.Id]
	switch {
	case !ok && (authoritative || !v.addressTaken(member)):
		p = &peer{}
		v.known[member.Id] = p
	case !ok || member.Incarnation < p.member.Incarnation:
		return nil
	case member.Incarnation == p.member.Incarnation:
		if !v.isAlive(p) {
			toProbe = append(toProbe, member.Id)
		}
		return toProbe
	}
	p.member, p.memberDigest = member, memberDigest(member)
	v.invalidateSnapshot()
	delete(v.tombstones, member.Id)
	if forward {
		v.enqueueUpdate(member, false)
	}
	return nil
}

// applySuspicion takes in another node's suspicion and reports whether this
// node should probe the member too. The caller holds the lock.
func (v *View) applySuspicion(member *Member) bool {
	p, ok := v.known[member.Id]
	if ok && (p.member.Incarnation > member.Incarnation || p.sharedSuspicion >= member.Incarnation) {
		return false
	}
	if ended, dead := v.tombstones[member.Id]; dead && ended.incarnation >= member.Incarnation {
		return false
	}
	v.enqueueUpdate(member, false)
	if !ok {
		return false
	}
	v.recordSharedSuspicion(p, member.Incarnation)
	return v.clock.Int64N(int64(len(v.known))) < expectedVerifiers
}

// markGone removes a member for good, up to the given incarnation. The caller
// holds the lock.
func (v *View) markGone(id string, incarnation uint64) {
	p, ok := v.known[id]
	if ended, dead := v.tombstones[id]; dead && ended.incarnation >= incarnation || ok && p.member.Incarnation > incarnation {
		return
	}
	delete(v.known, id)
	v.invalidateSnapshot()
	v.tombstones[id] = incarnationMark{incarnation, v.clock.Now()}
	v.enqueueUpdate(&Member{Id: id, Incarnation: incarnation, State: State_GONE}, false)
}

// addressTaken reports whether another member is alive at the entry's address,
// so that second-hand information must not replace it. The caller holds the
// lock.
func (v *View) addressTaken(member *Member) bool {
	if member.Addr == v.self.Addr {
		return true
	}
	for id, p := range v.known {
		if p.member.Addr == member.Addr && id != member.Id && v.isAlive(p) {
			return true
		}
	}
	return false
}

// prune drops members that have been suspected for long, and limits the size of
// the view: random gateways are dropped rather than the few cores and storage
// machines that other packages need. The caller holds the lock.
func (v *View) prune(now time.Duration) {
	retention := 10 * v.bounds.Load().SuspectTimeout()
	for id, p := range v.known {
		if !v.isAlive(p) && now-p.suspectedAt > retention {
			delete(v.known, id)
			v.invalidateSnapshot()
		}
	}
	for _, marks := range []map[string]incarnationMark{v.tombstones, v.lastQueued} {
		for id, mark := range marks {
			if now-mark.at > retention {
				delete(marks, id)
			}
		}
	}
	if len(v.known) <= maxViewMembers {
		return
	}
	v.partialUntil = now + retention
	gateways := base.Filter(base.SortedKeys(v.known), func(id string) bool { return v.known[id].member.Role == RoleGateway })
	v.shuffle(gateways)
	v.invalidateSnapshot()
	for _, id := range gateways[:min(len(gateways), len(v.known)-maxViewMembers)] {
		delete(v.known, id)
	}
}

// isAlive reports whether a member is taken for alive: this node does not
// suspect it, and no announced suspicion has gone unrefuted for
// suspicionTimeout.
func (v *View) isAlive(p *peer) bool {
	sharedlySuspected := p.sharedSuspicion >= p.member.Incarnation && v.clock.Now()-p.sharedSuspicionAt > v.suspicionTimeout()
	return p.localSuspicion < p.member.Incarnation && !sharedlySuspected
}

// suspicionTimeout is how long an announced suspicion can be refuted before it
// takes effect.
func (v *View) suspicionTimeout() time.Duration { return 2 * v.bounds.Load().HeartbeatInterval() }
