// Package membership is how nodes know each other: each holds a partial view
// of the fleet, beats, and shuffles part of its view with neighbours chosen
// at random. Who has not been heard of for a while is suspected. Suspicion
// only steers messages and rendezvous; it never grants ownership, which
// epochs alone do. Usage reports of workers ride along, since they are as
// soft as the view itself.
package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
)

const (
	RoleEdge    = "edge"
	RoleCore    = "core"
	RoleStorage = "storage"

	viewLimit    = 96
	sampleLimit  = 48
	shuffleWidth = 2
)

type neighbour struct {
	member  *Member
	heard   time.Duration
	doubted uint64
	probing bool
}

// View is this node's partial view.
type View struct {
	clock    base.Clock
	wire     base.Wire
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	seeds    []string
	usages   UsageBook
	// Cluster tells the cluster this node knows itself to be of, from its disk
	// or the control state; "" while it does not know. It is set before Run.
	Cluster func() string
	// Unwell says in a word what keeps this node from serving, if anything; it
	// is set before Run.
	Unwell func() string

	mu      sync.Mutex
	self    *Member
	cluster string
	known   map[string]*neighbour
	closed  bool
}

// UsageBook is the worker slice's soft state that shuffles carry.
type UsageBook interface {
	Sample(limit int) []*Usage
	Merge([]*Usage)
}

func NewView(clock base.Clock, wire base.Wire, bounds *base.Table[base.Bounds], counters *base.Counters, self *Member, seeds []string, usages UsageBook) *View {
	return &View{clock: clock, wire: wire, bounds: bounds, counters: counters, self: self, seeds: seeds,
		usages: usages, known: map[string]*neighbour{}}
}

// Self is this node's own entry.
func (v *View) Self() *Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return copyMember(v.self)
}

// Me is this node's id, which never changes within a life.
func (v *View) Me() string { return v.self.Id }

// Run beats and shuffles until the view is closed.
func (v *View) Run() {
	for {
		v.mu.Lock()
		if v.closed {
			v.mu.Unlock()
			return
		}
		v.self.Beat++
		v.mu.Unlock()
		if v.Cluster != nil {
			v.belong(v.Cluster())
		}
		if v.Unwell != nil {
			word := v.Unwell()
			v.mu.Lock()
			v.self.Unwell = word
			v.mu.Unlock()
		}
		for _, chosenAddr := range v.nominate() {
			v.clock.Go(func() { _ = v.exchange(chosenAddr, 4) })
		}
		beat := v.bounds.Load().Beat()
		v.clock.Sleep(beat*3/4 + time.Duration(v.clock.Int64N(int64(beat/2))))
	}
}

// belong takes the name of this node's cluster, once.
func (v *View) belong(cluster string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cluster == "" {
		v.cluster = cluster
	}
}

// Pin names the cluster from the settings file, before Run.
func (v *View) Pin(cluster string) { v.belong(cluster) }

// Addresses lists where live neighbours are.
func (v *View) Addresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	found := map[string]bool{}
	for _, held := range v.known {
		if v.alive(held) {
			found[held.member.Addr] = true
		}
	}
	return base.SortedKeys(found)
}

// Leave tells neighbours that this node takes no more duties, and is over
// when most have heard or the limit passed.
func (v *View) Leave(limit time.Duration) {
	v.mu.Lock()
	v.self.Leaving = true
	v.self.Beat++
	addrs := []string{}
	for _, id := range base.SortedKeys(v.known) {
		addrs = append(addrs, v.known[id].member.Addr)
	}
	v.mu.Unlock()
	base.AskAll(v.clock, addrs, limit, func(_ *base.Ctx, addr string) { _ = v.exchange(addr, 4) })
}

func (v *View) Close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
}

// Closed reports whether the view was ended.
func (v *View) Closed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closed
}

func (v *View) nominate() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	live, silent := []string{}, []string{}
	met := map[string]bool{v.self.Addr: true}
	for _, id := range base.SortedKeys(v.known) {
		met[v.known[id].member.Addr] = true
		if v.alive(v.known[id]) {
			live = append(live, v.known[id].member.Addr)
		} else {
			silent = append(silent, v.known[id].member.Addr)
		}
	}
	for _, seed := range v.seeds {
		if !met[seed] {
			silent = append(silent, seed)
		}
	}
	v.mix(live)
	v.mix(silent)
	chosen := live[:min(shuffleWidth, len(live))]
	if len(silent) > 0 {
		chosen = append(chosen, silent[0])
	}
	return chosen
}

func (v *View) mix(list []string) {
	for last := len(list) - 1; last > 0; last-- {
		other := v.clock.Int64N(int64(last + 1))
		list[last], list[other] = list[other], list[last]
	}
}

// exchange shuffles with whoever lives at an address, within some beats.
func (v *View) exchange(addr string, beats time.Duration) error {
	ctx := base.NewCtx(v.clock, v.bounds.Load().Beat()*beats)
	reply, err := NewMembershipProtobufClient("http://"+addr, v.wire).Shuffle(ctx, v.message())
	if err != nil {
		if base.WasNotSent(err) {
			v.SuspectAddr(addr)
		}
		return err
	}
	v.merge(reply, addr)
	return nil
}

// Probe asks a member for a sign of life, and doubts it when none comes soon.
// One probe at a time goes to each member.
func (v *View) Probe(id string) {
	v.mu.Lock()
	held, ok := v.known[id]
	if !ok || held.probing {
		v.mu.Unlock()
		return
	}
	held.probing = true
	addr := held.member.Addr
	v.mu.Unlock()
	v.clock.Go(func() {
		err := v.exchange(addr, 2)
		v.mu.Lock()
		held.probing = false
		v.mu.Unlock()
		if err != nil {
			v.Suspect(id)
		}
	})
}

func (v *View) message() *ShuffleMessage {
	message := &ShuffleMessage{}
	v.mu.Lock()
	self := copyMember(v.self)
	message.Cluster = v.cluster
	live := []string{}
	for _, id := range base.SortedKeys(v.known) {
		if v.alive(v.known[id]) {
			live = append(live, id)
		}
	}
	v.mix(live)
	message.Members = append(message.Members, self)
	for _, id := range live[:min(sampleLimit, len(live))] {
		message.Members = append(message.Members, copyMember(v.known[id].member))
	}
	v.mu.Unlock()
	if v.usages != nil {
		message.Usages = v.usages.Sample(sampleLimit)
	}
	return message
}

func copyMember(m *Member) *Member {
	return &Member{Id: m.Id, Addr: m.Addr, PublicAddr: m.PublicAddr, Role: m.Role, Zone: m.Zone, Beat: m.Beat, Leaving: m.Leaving, Unwell: m.Unwell}
}

// Shuffle answers a neighbour's exchange.
func (v *View) Shuffle(_ context.Context, message *ShuffleMessage) (*ShuffleMessage, error) {
	reply := v.message()
	v.merge(message, "")
	return reply, nil
}

// merge takes news in. The first member of a message is its sender, whose
// word on who lives at its address ends any former life there.
func (v *View) merge(message *ShuffleMessage, asked string) {
	v.mu.Lock()
	if !v.kin(message.Cluster) {
		v.mu.Unlock()
		v.counters.Add("foreign_members_dropped", 1)
		return
	}
	now := v.clock.Now()
	for place, member := range message.Members {
		if member.Id == v.self.Id {
			continue
		}
		if place == 0 && (asked == "" || asked == member.Addr) {
			for id, former := range v.known {
				if former.member.Addr == member.Addr && id != member.Id {
					delete(v.known, id)
				}
			}
		}
		held, ok := v.known[member.Id]
		switch {
		case !ok && !v.superseded(member):
			v.known[member.Id] = &neighbour{member: member, heard: now}
		case ok && member.Beat > held.member.Beat:
			held.member, held.heard = member, now
		}
	}
	v.forget(now)
	v.mu.Unlock()
	if v.usages != nil {
		v.usages.Merge(message.Usages)
	}
}

// kin keeps clusters apart whose machines reach each other at addresses that
// one of them has given up. A node that does not know its cluster learns it
// from the first it hears, so one whose place names it is safer. The caller
// holds the lock.
func (v *View) kin(cluster string) bool {
	switch {
	case cluster == "" || cluster == v.cluster:
		return true
	case v.cluster == "":
		v.cluster = cluster
		return true
	}
	return false
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

// forget drops the long silent, and bounds the view: edges go before the
// few cores and disks that duties need.
func (v *View) forget(now time.Duration) {
	for id, held := range v.known {
		if now-held.heard > 10*v.bounds.Load().Suspect() {
			delete(v.known, id)
		}
	}
	for _, id := range base.SortedKeys(v.known) {
		if len(v.known) <= viewLimit {
			return
		}
		if v.known[id].member.Role == RoleEdge {
			delete(v.known, id)
		}
	}
}

func (v *View) alive(held *neighbour) bool {
	return v.clock.Now()-held.heard <= v.bounds.Load().Suspect() && held.doubted < held.member.Beat
}

// Alive lists the members of a role that are not suspected and not leaving,
// this node included, by id.
func (v *View) Alive(role string) []*Member {
	return v.list(func(m *Member, alive bool) bool { return m.Role == role && alive && !m.Leaving })
}

// Present lists all of a role that are not suspected, leaving or not.
func (v *View) Present(role string) []*Member {
	return v.list(func(m *Member, alive bool) bool { return m.Role == role && alive })
}

// Known lists every member of a role, suspected or not.
func (v *View) Known(role string) []*Member {
	return v.list(func(m *Member, _ bool) bool { return m.Role == role })
}

func (v *View) list(keep func(*Member, bool) bool) []*Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	found := []*Member{}
	for _, held := range v.known {
		if keep(held.member, v.alive(held)) {
			found = append(found, copyMember(held.member))
		}
	}
	if keep(v.self, true) {
		found = append(found, copyMember(v.self))
	}
	slices.SortFunc(found, func(a, b *Member) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	return found
}

// Find gives a member by id.
func (v *View) Find(id string) (member *Member, alive bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if id == v.self.Id {
		return copyMember(v.self), true
	}
	held, ok := v.known[id]
	if !ok {
		return nil, false
	}
	return copyMember(held.member), v.alive(held)
}

// Suspect doubts a member until it is heard to beat again.
func (v *View) Suspect(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if held, ok := v.known[id]; ok && held.doubted < held.member.Beat {
		held.doubted = held.member.Beat
		v.counters.Add("members_suspected", 1)
	}
}

// SuspectAddr doubts whoever lives at an address.
func (v *View) SuspectAddr(addr string) {
	v.mu.Lock()
	ids := []string{}
	for id, held := range v.known {
		if held.member.Addr == addr {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	for _, id := range ids {
		v.Suspect(id)
	}
}
