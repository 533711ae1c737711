package membership

import (
	"slices"

	"fordseam/internal/base"
)

// pickPartner picks the member to exchange a message with next. Two of three
// partners are in this node's zone: one is the next on the ring of its ids, so
// that each member has a regular prober, and one is random. The third is in
// another zone. Every retryEvery rounds addrs adds an unresponsive member or an
// unknown seed. For a node that knows no live member, joining is true and addrs
// lists several of these, to ask for their views.
func (v *View) pickPartner() (partner string, addrs []string, joining bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune(v.clock.Now())
	sameZone, otherZones, unresponsive := []string{}, []string{}, []string{}
	known := map[string]bool{v.self.Addr: true}
	for _, id := range base.SortedKeys(v.known) {
		p := v.known[id]
		known[p.member.Addr] = true
		switch {
		case !v.isAlive(p):
			unresponsive = append(unresponsive, p.member.Addr)
		case p.member.Zone == v.self.Zone:
			sameZone = append(sameZone, id)
		default:
			otherZones = append(otherZones, id)
		}
	}
	for _, seed := range v.seeds {
		if !known[seed] {
			unresponsive = append(unresponsive, seed)
		}
	}
	v.shuffle(unresponsive)
	if len(sameZone)+len(otherZones) == 0 {
		return "", unresponsive[:min(maxJoinAddrs, len(unresponsive))], true
	}
	v.round++
	if v.round%retryEvery == 0 && len(unresponsive) > 0 {
		addrs = unresponsive[:1]
	}
	candidates := sameZone
	if v.round%3 == 0 && len(otherZones) > 0 || len(sameZone) == 0 {
		candidates = otherZones
	}
	if v.round%3 == 1 {
		return v.successor(candidates), addrs, false
	}
	return candidates[v.clock.Int64N(int64(len(candidates)))], addrs, false
}

// successor returns the id that follows this node's on the ring of the sorted
// ids.
func (v *View) successor(ids []string) string {
	i, _ := slices.BinarySearch(ids, v.self.Id)
	return ids[i%len(ids)]
}

// shuffle reorders a list at random, with the clock's random numbers.
func (v *View) shuffle(list []string) {
	for i := len(list) - 1; i > 0; i-- {
		j := v.clock.Int64N(int64(i + 1))
		list[i], list[j] = list[j], list[i]
	}
}
