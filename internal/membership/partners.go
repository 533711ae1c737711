// Choosing whom to turn to next.

package membership

import (
	"slices"

	"fordseam/internal/base"
)

// pickPartners chooses whom to turn to. Two of three partners are of this node's
// zone: one the next in the ring of its ids, so that each is looked after by
// one other in turn, and one by chance; the third is of another zone. Now and
// then a silent neighbour or an unmet seed is tried too; a node that knows
// nobody alive tries several of them, and asks for their views.
func (v *View) pickPartners() (partner string, addrs []string, joins bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forget(v.clock.Now())
	near, far, silent := []string{}, []string{}, []string{}
	met := map[string]bool{v.self.Addr: true}
	for _, id := range base.SortedKeys(v.known) {
		held := v.known[id]
		met[held.member.Addr] = true
		switch {
		case !v.alive(held):
			silent = append(silent, held.member.Addr)
		case held.member.Zone == v.self.Zone:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	for _, seed := range v.seeds {
		if !met[seed] {
			silent = append(silent, seed)
		}
	}
	v.mix(silent)
	if len(near)+len(far) == 0 {
		return "", silent[:min(joinWidth, len(silent))], true
	}
	v.turn++
	if v.turn%silentEvery == 0 && len(silent) > 0 {
		addrs = silent[:1]
	}
	from := near
	if v.turn%3 == 0 && len(far) > 0 || len(near) == 0 {
		from = far
	}
	if v.turn%3 == 1 {
		return v.successor(from), addrs, false
	}
	return from[v.clock.Int64N(int64(len(from)))], addrs, false
}

// successor is the next in the ring of ids after this node.
func (v *View) successor(ids []string) string {
	place, _ := slices.BinarySearch(ids, v.self.Id)
	return ids[place%len(ids)]
}

func (v *View) mix(list []string) {
	for last := len(list) - 1; last > 0; last-- {
		other := v.clock.Int64N(int64(last + 1))
		list[last], list[other] = list[other], list[last]
	}
}
