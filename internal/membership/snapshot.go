package membership

import (
	"math"
	"slices"
	"strings"
	"time"
)

// snapshot is an immutable copy of the view for readers, rebuilt after a
// change. It is valid until a shared suspicion takes effect with time.
type snapshot struct {
	validUntil time.Duration
	all        []*Member
	alive      map[string]bool
	byID       map[string]*Member
	roles      map[string]*roleMembers
}

// roleMembers lists the members of a role: all, those not suspected, and of
// these those not leaving.
type roleMembers struct{ known, live, available []*Member }

// invalidateSnapshot makes the next reader rebuild the snapshot. The caller
// holds the lock.
func (v *View) invalidateSnapshot() { v.published.Store(nil) }

// currentSnapshot returns the snapshot for readers, who must not modify it.
func (v *View) currentSnapshot() *snapshot {
	if now := v.published.Load(); now != nil && v.clock.Now() < now.validUntil {
		return now
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	next := &snapshot{validUntil: math.MaxInt64, alive: make(map[string]bool, len(v.known)+1), byID: make(map[string]*Member, len(v.known)+1), roles: map[string]*roleMembers{}}
	add := func(m *Member, alive bool) {
		next.byID[m.Id], next.alive[m.Id] = m, alive
		next.all = append(next.all, m)
	}
	for _, p := range v.known {
		add(p.member, v.isAlive(p))
		if effectiveAt := p.sharedSuspicionAt + v.suspicionTimeout(); p.sharedSuspicion >= p.member.Incarnation && now <= effectiveAt {
			next.validUntil = min(next.validUntil, effectiveAt+1)
		}
	}
	add(cloneMember(v.self), true)
	slices.SortFunc(next.all, func(a, b *Member) int { return strings.Compare(a.Id, b.Id) })
	for _, m := range next.all {
		role := next.roles[m.Role]
		if role == nil {
			role = &roleMembers{}
			next.roles[m.Role] = role
		}
		role.known = append(role.known, m)
		if next.alive[m.Id] {
			role.live = append(role.live, m)
			if !m.Leaving {
				role.available = append(role.available, m)
			}
		}
	}
	v.published.Store(next)
	return next
}

func (s *snapshot) members(name string) roleMembers {
	if found := s.roles[name]; found != nil {
		return *found
	}
	return roleMembers{}
}

// Available returns the members of a role that are neither suspected nor
// leaving, this node included, ordered by id. The members are shared; callers
// must not modify them.
func (v *View) Available(role string) []*Member {
	return slices.Clip(v.currentSnapshot().members(role).available)
}

// Live returns the members of a role that are not suspected, including leaving
// ones.
func (v *View) Live(role string) []*Member {
	return slices.Clip(v.currentSnapshot().members(role).live)
}

// Known returns all members of a role, suspected or not.
func (v *View) Known(role string) []*Member {
	return slices.Clip(v.currentSnapshot().members(role).known)
}

// Find returns a member by id, and whether it is alive, that is not suspected.
func (v *View) Find(id string) (member *Member, alive bool) {
	current := v.currentSnapshot()
	return current.byID[id], current.alive[id]
}
