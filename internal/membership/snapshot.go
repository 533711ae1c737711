// The view as readers have it, made anew after a change.

package membership

import (
	"math"
	"slices"
	"strings"
	"time"
)

// snapshot is the view as readers have it, made anew after a change. It holds
// until a suspicion that stands unrefuted takes effect by itself.
type snapshot struct {
	until time.Duration
	all   []*Member
	alive map[string]bool
	byID  map[string]*Member
	roles map[string]*roleMembers
}

// roleMembers are a role's members: all, those alive, and those not leaving.
type roleMembers struct{ known, present, staying []*Member }

// changed has readers look anew; the caller holds the lock.
func (v *View) changed() { v.published.Store(nil) }

// current gives the view to read. What it holds is shared and never changed.
func (v *View) current() *snapshot {
	if now := v.published.Load(); now != nil && v.clock.Now() < now.until {
		return now
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	next := &snapshot{until: math.MaxInt64, alive: make(map[string]bool, len(v.known)+1), byID: make(map[string]*Member, len(v.known)+1), roles: map[string]*roleMembers{}}
	add := func(m *Member, alive bool) {
		next.byID[m.Id], next.alive[m.Id] = m, alive
		next.all = append(next.all, m)
	}
	for _, held := range v.known {
		add(held.member, v.alive(held))
		if ripe := held.accusedAt + v.suspicionHolds(); held.accused >= held.member.Incarnation && now <= ripe {
			next.until = min(next.until, ripe+1)
		}
	}
	add(copyMember(v.self), true)
	slices.SortFunc(next.all, func(a, b *Member) int { return strings.Compare(a.Id, b.Id) })
	for _, m := range next.all {
		role := next.roles[m.Role]
		if role == nil {
			role = &roleMembers{}
			next.roles[m.Role] = role
		}
		role.known = append(role.known, m)
		if next.alive[m.Id] {
			role.present = append(role.present, m)
			if !m.Leaving {
				role.staying = append(role.staying, m)
			}
		}
	}
	v.published.Store(next)
	return next
}

func (s *snapshot) role(name string) roleMembers {
	if found := s.roles[name]; found != nil {
		return *found
	}
	return roleMembers{}
}

// Available lists the members of a role that are not suspected and not leaving,
// this node included, by id. What the lists hold is shared: readers leave it
// as it is.
func (v *View) Available(role string) []*Member { return slices.Clip(v.current().role(role).staying) }

// Live lists all of a role that are not suspected, leaving or not.
func (v *View) Live(role string) []*Member { return slices.Clip(v.current().role(role).present) }

// Known lists every member of a role, suspected or not.
func (v *View) Known(role string) []*Member { return slices.Clip(v.current().role(role).known) }

// Find gives a member by id.
func (v *View) Find(id string) (member *Member, alive bool) {
	now := v.current()
	return now.byID[id], now.alive[id]
}
