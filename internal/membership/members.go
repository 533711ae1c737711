// The members that this node holds: how entries come in, end and are dropped, and
// the news of them that is passed on.

package membership

import (
	"math/bits"
	"strconv"
	"time"

	"fordseam/internal/base"
)

// neighbour is what this node holds of another. Doubt is its own finding;
// an accusation is public and stands until a higher incarnation refutes it.
type neighbour struct {
	member    *Member
	hash      uint64
	holds     uint64
	doubted   uint64
	accused   uint64
	accusedAt time.Duration
	lost      time.Duration
	// probe fires at the end of the probe that is under way, nil if none is.
	probe base.Signal
	// unheard is that it gave this node's own last question no answer, whether or
	// not others hear it, as was found at a moment.
	unheard   bool
	unheardAt time.Duration
}

// update is an item of news and how often it is still passed on.
type update struct {
	member *Member
	left   int
}

// tombstone marks a life that ended, or news already passed on.
type tombstone struct {
	incarnation uint64
	at          time.Duration
}

// announce makes this node's own entry news; the caller holds the lock.
func (v *View) announce() {
	v.self.Incarnation++
	v.changed()
	v.spread(v.self, false)
}

// times is how often a node passes an item of news on; the caller holds the lock.
func (v *View) times() int { return 2 + bits.Len(uint(len(v.known))) }

// spread makes an entry news, once for each incarnation and state; the caller
// holds the lock.
func (v *View) spread(member *Member, again bool) {
	key := member.Id + "/" + strconv.Itoa(int(member.State))
	if before, ok := v.passed[key]; ok && before.incarnation >= member.Incarnation && !again {
		return
	}
	v.passed[key] = tombstone{member.Incarnation, v.clock.Now()}
	v.news[member.Id] = &update{copyMember(member), v.times()}
	v.notify.Ring()
}

// alone tells that no neighbour is alive; the caller holds the lock.
func (v *View) alone() bool {
	for _, held := range v.known {
		if v.alive(held) {
			return false
		}
	}
	return true
}

// at finds who lives at an address.
func (v *View) at(addr string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range base.SortedKeys(v.known) {
		if v.known[id].member.Addr == addr {
			return id
		}
	}
	return ""
}

// whole tells that this view leaves nobody out; the caller holds the lock.
func (v *View) whole() bool { return v.clock.Now() >= v.partial }

// digest is what a whole view comes to, 0 for a partial one; the caller holds
// the lock.
func (v *View) digest() uint64 {
	if !v.whole() {
		return 0
	}
	sum := entryHash(v.self)
	for _, held := range v.known {
		if v.alive(held) {
			sum ^= held.hash
		}
	}
	return sum | 1
}

func entryHash(m *Member) uint64 {
	return base.Hash64(m.Id, strconv.FormatUint(m.Incarnation, 10))
}

// admit takes an entry of one who lives in, and gives back whom to look at:
// one that others take for alive and that was suspected here. The caller holds
// the lock.
func (v *View) admit(member *Member, first, news bool) (look []string) {
	if ended, ok := v.tombstones[member.Id]; ok && member.Incarnation <= ended.incarnation || member.Addr == v.self.Addr {
		return nil
	}
	if first {
		for _, id := range base.SortedKeys(v.known) {
			if former := v.known[id].member; former.Addr == member.Addr && id != member.Id {
				v.endLife(id, former.Incarnation)
			}
		}
	}
	held, ok := v.known[member.Id]
	switch {
	case !ok && (first || !v.superseded(member)):
		held = &neighbour{}
		v.known[member.Id] = held
	case !ok || member.Incarnation < held.member.Incarnation:
		return nil
	case member.Incarnation == held.member.Incarnation:
		if !v.alive(held) {
			look = append(look, member.Id)
		}
		return look
	}
	held.member, held.hash = member, entryHash(member)
	v.changed()
	delete(v.tombstones, member.Id)
	if news {
		v.spread(member, false)
	}
	return nil
}

// suspected takes another's suspicion in and tells whether to look for oneself.
// The caller holds the lock.
func (v *View) suspected(member *Member) bool {
	held, ok := v.known[member.Id]
	if ok && (held.member.Incarnation > member.Incarnation || held.accused >= member.Incarnation) {
		return false
	}
	if ended, dead := v.tombstones[member.Id]; dead && ended.incarnation >= member.Incarnation {
		return false
	}
	v.spread(member, false)
	if !ok {
		return false
	}
	v.suspectPublicly(held, member.Incarnation)
	return v.clock.Int64N(int64(len(v.known))) < verifiers
}

// endLife ends a life for good; the caller holds the lock.
func (v *View) endLife(id string, incarnation uint64) {
	held, ok := v.known[id]
	if ended, dead := v.tombstones[id]; dead && ended.incarnation >= incarnation || ok && held.member.Incarnation > incarnation {
		return
	}
	delete(v.known, id)
	v.changed()
	v.tombstones[id] = tombstone{incarnation, v.clock.Now()}
	v.spread(&Member{Id: id, Incarnation: incarnation, State: State_GONE}, false)
}

// superseded keeps hearsay about an address from displacing a life there
// that this node knows to be alive.
func (v *View) superseded(member *Member) bool {
	if member.Addr == v.self.Addr {
		return true
	}
	for id, held := range v.known {
		if held.member.Addr == member.Addr && id != member.Id && v.alive(held) {
			return true
		}
	}
	return false
}

// forget drops the long lost, and bounds the view: gateways go by chance before
// the few cores and disks that duties need. The caller holds the lock.
func (v *View) forget(now time.Duration) {
	long := 10 * v.bounds.Load().Suspect()
	for id, held := range v.known {
		if !v.alive(held) && now-held.lost > long {
			delete(v.known, id)
			v.changed()
		}
	}
	for _, marks := range []map[string]tombstone{v.tombstones, v.passed} {
		for id, mark := range marks {
			if now-mark.at > long {
				delete(marks, id)
			}
		}
	}
	if len(v.known) <= viewLimit {
		return
	}
	v.partial = now + long
	edges := base.Filter(base.SortedKeys(v.known), func(id string) bool { return v.known[id].member.Role == RoleGateway })
	v.mix(edges)
	v.changed()
	for _, id := range edges[:min(len(edges), len(v.known)-viewLimit)] {
		delete(v.known, id)
	}
}

// alive tells whether a neighbour is taken for alive: this node does not doubt
// it, and nobody's suspicion has stood unrefuted for two beats.
func (v *View) alive(held *neighbour) bool {
	accused := held.accused >= held.member.Incarnation && v.clock.Now()-held.accusedAt > v.suspicionHolds()
	return held.doubted < held.member.Incarnation && !accused
}

// suspicionHolds is how long a suspicion stands before it counts.
func (v *View) suspicionHolds() time.Duration { return 2 * v.bounds.Load().Beat() }
