// Package membership is how nodes know each other: each holds a view of the
// fleet, partial in a large one, and exchanges a few words with one neighbour
// at a time, in the manner of SWIM. An exchange is the sign of life; who gives
// none is asked for through two others, and is suspected when they find it
// silent too. What changed (joined, leaves, unwell, suspected, refuted, gone) is
// news, which each node passes on a number of times that grows with the
// logarithm of the fleet; nothing else rides along, but a digest by which two
// neighbours find that their views differ. Suspicion only steers messages and
// rendezvous; it never grants ownership, which epochs alone do. Usage reports
// of workers spread as news too, since they are as soft as the view itself.
package membership

import (
	"context"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
)

const (
	RoleEdge    = "edge"
	RoleCore    = "core"
	RoleStorage = "storage"

	viewLimit   = 96
	newsLimit   = 24
	usageLimit  = 16
	sampleLimit = 4
	// sampleEvery is how many turns pass between samples of a partial view, and
	// silentEvery between tries at a silent neighbour or an unmet seed.
	sampleEvery = 8
	silentEvery = 4
	// joinWidth is how many addresses a node that knows nobody alive tries at once.
	joinWidth = 6
	// verifiers is how many of the fleet look for themselves when a suspicion spreads.
	verifiers = 3
	// relays is how many others are asked to look for a silent neighbour.
	relays = 2
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

// shown is the view as readers have it, made anew after a change. It holds
// until a suspicion that stands unrefuted takes effect by itself.
type shown struct {
	until time.Duration
	all   []*Member
	alive map[string]bool
	byID  map[string]*Member
	roles map[string]*shownRole
}

// shownRole is a role's members: all, those alive, and those not leaving.
type shownRole struct{ known, present, staying []*Member }

// told is an item of news and how often it is still passed on.
type told struct {
	member *Member
	left   int
}

// grave marks a life that ended, or news already passed on.
type grave struct {
	incarnation uint64
	at          time.Duration
}

// View is this node's view of the fleet.
type View struct {
	clock    base.Clock
	wire     base.Wire
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	seeds    []string
	usages   UsageBook
	bell     *base.Bell
	// Cluster tells the cluster this node knows itself to be of, from its disk
	// or the control state; "" while it does not know. It is set before Run.
	Cluster func() string
	// Unwell says in a word what keeps this node from serving, if anything; it
	// is set before Run.
	Unwell func() string

	shown atomic.Pointer[shown]

	mu      sync.Mutex
	self    *Member
	cluster string
	known   map[string]*neighbour
	news    map[string]*told
	passed  map[string]grave
	graves  map[string]grave
	turn    uint64
	synced  time.Duration
	// partial is until when the view counts as partial, since it had to drop
	// members.
	partial time.Duration
	closed  bool
}

// UsageBook is the worker slice's soft state that exchanges carry. Sample gives
// reports that were given fewer than times before, the least given first.
type UsageBook interface {
	Sample(limit, times int) []*Usage
	Unsaid(times int) bool
	Merge([]*Usage)
}

func NewView(clock base.Clock, wire base.Wire, bounds *base.Table[base.Bounds], counters *base.Counters, self *Member, seeds []string, usages UsageBook) *View {
	self.Incarnation = max(self.Incarnation, 1)
	return &View{clock: clock, wire: wire, bounds: bounds, counters: counters, self: self, seeds: seeds, bell: base.NewBell(clock),
		usages: usages, known: map[string]*neighbour{}, news: map[string]*told{}, passed: map[string]grave{}, graves: map[string]grave{}}
}

// Self is this node's own entry.
func (v *View) Self() *Member { return v.look().byID[v.self.Id] }

// Me is this node's id, which never changes within a life.
func (v *View) Me() string { return v.self.Id }

// Run exchanges with neighbours until the view is closed: every two beats, and
// faster while there is news to pass on.
func (v *View) Run() {
	for !v.Closed() {
		if v.Cluster != nil {
			v.belong(v.Cluster())
		}
		v.Refresh()
		began := v.clock.Now()
		partner, addrs, joins := v.nominate()
		if partner != "" {
			v.probe(partner)
		}
		for _, addr := range addrs {
			v.clock.Go(func() { _, _ = v.exchange(addr, v.bounds.Load().Beat()*4, joins) })
		}
		v.pause()
		if asleep := v.clock.Now() - began; asleep > v.bounds.Load().Suspect() {
			v.wake()
		}
	}
}

// pause waits for the next turn: as long as nothing is new, else just long
// enough to gather what comes in.
func (v *View) pause() {
	beat := v.bounds.Load().Beat()
	end := v.clock.Now() + beat*3/2 + time.Duration(v.clock.Int64N(int64(beat)))
	for {
		next := v.bell.Next()
		v.mu.Lock()
		hurry, alone, gossip := len(v.news) > 0, v.alone(), v.usages != nil && v.usages.Unsaid(v.times())
		v.mu.Unlock()
		switch {
		case hurry:
			v.clock.Sleep(min(max(0, end-v.clock.Now()), beat/8+time.Duration(v.clock.Int64N(int64(beat/4)))))
			return
		case alone || gossip:
			end = min(end, v.clock.Now()+beat)
		}
		if !next.Wait(max(0, end-v.clock.Now())) {
			return
		}
	}
}

// wake forgets the news of before a long sleep, which are old.
func (v *View) wake() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.news, v.synced = map[string]*told{}, 0
	v.counters.Add("views_woken", 1)
}

// Refresh takes the word on what keeps this node from serving at once, and
// tells the neighbours if it has changed.
func (v *View) Refresh() {
	if v.Unwell != nil {
		v.mend(v.Unwell())
	}
}

// Unheard reports whether a member gave this node's own last question no answer,
// as was found within a span. It may live: others may hear it.
func (v *View) Unheard(id string, within time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	held, ok := v.known[id]
	return ok && held.unheard && v.clock.Now()-held.unheardAt <= within
}

// hear notes whether a member answered this node's own question.
func (v *View) hear(id string, answered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if held, ok := v.known[id]; ok {
		held.unheard, held.unheardAt = !answered, v.clock.Now()
	}
}

// mend takes the word on what keeps this node from serving.
func (v *View) mend(word string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Unwell != word {
		v.self.Unwell = word
		v.announce()
	}
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
	v.passed[key] = grave{member.Incarnation, v.clock.Now()}
	v.news[member.Id] = &told{copyMember(member), v.times()}
	v.bell.Ring()
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

// Partial tells that the view holds as much as it may, so that there may be
// more gateways than it knows of.
func (v *View) Partial() bool { return len(v.look().all) > viewLimit }

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
	v.announce()
	addrs := []string{}
	for _, id := range base.SortedKeys(v.known) {
		addrs = append(addrs, v.known[id].member.Addr)
	}
	v.mu.Unlock()
	base.AskAll(v.clock, addrs, limit, func(_ *base.Ctx, addr string) { _, _ = v.exchange(addr, limit, false) })
}

func (v *View) Close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	v.bell.Ring()
}

// Closed reports whether the view was ended.
func (v *View) Closed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closed
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

// nominate chooses whom to turn to. Two of three partners are of this node's
// zone: one the next in the ring of its ids, so that each is looked after by
// one other in turn, and one by chance; the third is of another zone. Now and
// then a silent neighbour or an unmet seed is tried too; a node that knows
// nobody alive tries several of them, and asks for their views.
func (v *View) nominate() (partner string, addrs []string, joins bool) {
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

// Probe looks after a member that another node found silent, and doubts it
// when no sign of life comes in two beats, until others say that it lives. The
// signal fires at the end of the probe; nil where there is nobody to probe.
func (v *View) Probe(id string) base.Signal {
	over, fresh := v.probe(id)
	if fresh {
		v.clock.Go(func() {
			if !over.Wait(2 * v.bounds.Load().Beat()) {
				v.doubt(id)
			}
		})
	}
	return over
}

// probe asks a member for a sign of life; when none comes soon, others are
// asked to look, and it is suspected when they find it silent too. One probe
// at a time goes to each member. The signal fires once there is an outcome;
// fresh tells that this call began the probe.
func (v *View) probe(id string) (over base.Signal, fresh bool) {
	v.mu.Lock()
	held, ok := v.known[id]
	if !ok || v.closed {
		v.mu.Unlock()
		return nil, false
	}
	if held.probe != nil {
		defer v.mu.Unlock()
		return held.probe, false
	}
	over = v.clock.NewSignal()
	held.probe = over
	member := copyMember(held.member)
	v.mu.Unlock()
	v.clock.Go(func() {
		v.verify(member)
		v.mu.Lock()
		held.probe = nil
		v.mu.Unlock()
		over.Fire()
	})
	return over, true
}

// verify waits a beat for an answer before it asks others; an answer that comes
// while they look still counts, so that a slow node is not taken for a lost one.
func (v *View) verify(member *Member) {
	beat, began := v.bounds.Load().Beat(), v.clock.Now()
	answered, heard := v.clock.NewSignal(), v.clock.NewSignal()
	v.clock.Go(func() {
		defer answered.Fire()
		found, err := v.exchange(member.Addr, beat*15/4, false)
		if err != nil {
			return
		}
		heard.Fire()
		if found == member.Id {
			v.trust(found)
		}
	})
	answered.Wait(beat)
	if heard.Fired() || v.clock.Now()-began > 3*beat {
		return // it lives, or this node slept and is no judge
	}
	v.hear(member.Id, false)
	yes, no := v.askOthers(member)
	switch {
	case heard.Fired() || v.clock.Now()-began > 6*beat:
	case yes:
		v.trust(member.Id)
	case no:
		v.condemn(member)
	default:
		v.doubt(member.Id)
	}
}

// askOthers has a few others look for a member, one of its own zone among them
// if there is one.
func (v *View) askOthers(member *Member) (yes, no bool) {
	v.mu.Lock()
	its, others := []string{}, []string{}
	for _, id := range base.SortedKeys(v.known) {
		held := v.known[id]
		switch {
		case id == member.Id || !v.alive(held):
		case held.member.Zone == member.Zone:
			its = append(its, held.member.Addr)
		default:
			others = append(others, held.member.Addr)
		}
	}
	v.mix(its)
	v.mix(others)
	asked := append(its[:min(1, len(its))], others...)
	if len(asked) < relays && len(its) > 1 {
		asked = append(asked, its[1:]...)
	}
	v.mu.Unlock()
	var mu sync.Mutex
	answers := 0
	yes = base.Ask(v.clock, asked[:min(relays, len(asked))], 1, v.bounds.Load().Beat()*11/4, func(ctx *base.Ctx, addr string) bool {
		reply, err := NewMembershipProtobufClient("http://"+addr, v.wire).PingReq(ctx, &PingRequest{Addr: member.Addr, Id: member.Id})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && !reply.Alive {
			answers++
		}
		return err == nil && reply.Alive
	})
	mu.Lock()
	defer mu.Unlock()
	return yes, answers > 0
}

// PingReq looks for a member on behalf of another node.
func (v *View) PingReq(_ context.Context, request *PingRequest) (*PingReply, error) {
	found, err := v.exchange(request.Addr, v.bounds.Load().Beat()*9/4, false)
	return &PingReply{Alive: err == nil && found == request.Id}, nil
}

// trust takes a doubt of this node's own back.
func (v *View) trust(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if held, ok := v.known[id]; ok {
		held.doubted = 0
		v.changed()
	}
}

// condemn takes a member for lost, tells all, and looks at others of its
// zone when that is not this node's own: a zone may have been cut off whole.
func (v *View) condemn(member *Member) {
	v.doubt(member.Id)
	v.mu.Lock()
	held, ok := v.known[member.Id]
	if !ok || held.member.Incarnation > member.Incarnation {
		v.mu.Unlock()
		return
	}
	fresh := held.accused < member.Incarnation
	v.accuse(held, member.Incarnation)
	v.spread(&Member{Id: member.Id, Incarnation: member.Incarnation, State: State_SUSPECTED}, true)
	also := []string{}
	for _, id := range base.SortedKeys(v.known) {
		if other := v.known[id]; fresh && member.Zone != v.self.Zone && other.member.Zone == member.Zone && v.alive(other) {
			also = append(also, id)
		}
	}
	v.mix(also)
	v.mu.Unlock()
	for _, id := range also[:min(relays, len(also))] {
		v.probe(id)
	}
}

// accuse marks a suspicion that is public; the caller holds the lock.
func (v *View) accuse(held *neighbour, incarnation uint64) {
	if held.accused >= incarnation {
		return
	}
	if v.alive(held) {
		v.counters.Add("members_suspected", 1)
	}
	held.accused, held.accusedAt, held.lost = incarnation, v.clock.Now(), v.clock.Now()
	v.changed()
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
	times, uses := v.times(), held == nil || held.member.Role == RoleEdge
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
			if held.member.Role == RoleEdge {
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
	kin := message.Cluster == "" || cluster == "" || message.Cluster == cluster
	v.merge(message, "")
	heard, from := map[string]bool{}, ""
	for place, member := range message.Members {
		heard[member.Id] = true
		if place == 0 {
			from = member.Id
		}
	}
	reply := v.message(from, message.AskView && kin, heard)
	reply.Cluster = cluster
	return reply, nil
}

// merge takes news in and tells whether the views differ while neither side
// has news. The first member of a message is its sender, whose word on who
// lives at its address ends any former life there.
func (v *View) merge(message *ShuffleMessage, asked string) (differs bool) {
	v.mu.Lock()
	if !v.kin(message.Cluster) {
		v.mu.Unlock()
		v.counters.Add("foreign_members_dropped", 1)
		return false
	}
	now := v.clock.Now()
	joining := v.alone()
	look := []string{}
	for _, member := range message.Members {
		if member.State == State_GONE && member.Id != v.self.Id {
			v.bury(member.Id, member.Incarnation)
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

// admit takes an entry of one who lives in, and gives back whom to look at:
// one that others take for alive and that was suspected here. The caller holds
// the lock.
func (v *View) admit(member *Member, first, news bool) (look []string) {
	if ended, ok := v.graves[member.Id]; ok && member.Incarnation <= ended.incarnation || member.Addr == v.self.Addr {
		return nil
	}
	if first {
		for _, id := range base.SortedKeys(v.known) {
			if former := v.known[id].member; former.Addr == member.Addr && id != member.Id {
				v.bury(id, former.Incarnation)
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
	delete(v.graves, member.Id)
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
	if ended, dead := v.graves[member.Id]; dead && ended.incarnation >= member.Incarnation {
		return false
	}
	v.spread(member, false)
	if !ok {
		return false
	}
	v.accuse(held, member.Incarnation)
	return v.clock.Int64N(int64(len(v.known))) < verifiers
}

// bury ends a life for good; the caller holds the lock.
func (v *View) bury(id string, incarnation uint64) {
	held, ok := v.known[id]
	if ended, dead := v.graves[id]; dead && ended.incarnation >= incarnation || ok && held.member.Incarnation > incarnation {
		return
	}
	delete(v.known, id)
	v.changed()
	v.graves[id] = grave{incarnation, v.clock.Now()}
	v.spread(&Member{Id: id, Incarnation: incarnation, State: State_GONE}, false)
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
	for _, marks := range []map[string]grave{v.graves, v.passed} {
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
	edges := base.Filter(base.SortedKeys(v.known), func(id string) bool { return v.known[id].member.Role == RoleEdge })
	v.mix(edges)
	v.changed()
	for _, id := range edges[:min(len(edges), len(v.known)-viewLimit)] {
		delete(v.known, id)
	}
}

// alive tells whether a neighbour is taken for alive: this node does not doubt
// it, and nobody's suspicion has stood unrefuted for two beats.
func (v *View) alive(held *neighbour) bool {
	accused := held.accused >= held.member.Incarnation && v.clock.Now()-held.accusedAt > v.ripens()
	return held.doubted < held.member.Incarnation && !accused
}

// changed has readers look anew; the caller holds the lock.
func (v *View) changed() { v.shown.Store(nil) }

// ripens is how long a suspicion stands before it counts.
func (v *View) ripens() time.Duration { return 2 * v.bounds.Load().Beat() }

// look gives the view to read. What it holds is shared and never changed.
func (v *View) look() *shown {
	if now := v.shown.Load(); now != nil && v.clock.Now() < now.until {
		return now
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	next := &shown{until: math.MaxInt64, alive: make(map[string]bool, len(v.known)+1), byID: make(map[string]*Member, len(v.known)+1), roles: map[string]*shownRole{}}
	add := func(m *Member, alive bool) {
		next.byID[m.Id], next.alive[m.Id] = m, alive
		next.all = append(next.all, m)
	}
	for _, held := range v.known {
		add(held.member, v.alive(held))
		if ripe := held.accusedAt + v.ripens(); held.accused >= held.member.Incarnation && now <= ripe {
			next.until = min(next.until, ripe+1)
		}
	}
	add(copyMember(v.self), true)
	slices.SortFunc(next.all, func(a, b *Member) int { return strings.Compare(a.Id, b.Id) })
	for _, m := range next.all {
		role := next.roles[m.Role]
		if role == nil {
			role = &shownRole{}
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
	v.shown.Store(next)
	return next
}

func (s *shown) role(name string) shownRole {
	if found := s.roles[name]; found != nil {
		return *found
	}
	return shownRole{}
}

// Alive lists the members of a role that are not suspected and not leaving,
// this node included, by id. What the lists hold is shared: readers leave it
// as it is.
func (v *View) Alive(role string) []*Member { return slices.Clip(v.look().role(role).staying) }

// Present lists all of a role that are not suspected, leaving or not.
func (v *View) Present(role string) []*Member { return slices.Clip(v.look().role(role).present) }

// Known lists every member of a role, suspected or not.
func (v *View) Known(role string) []*Member { return slices.Clip(v.look().role(role).known) }

// Find gives a member by id.
func (v *View) Find(id string) (member *Member, alive bool) {
	now := v.look()
	return now.byID[id], now.alive[id]
}

// Suspect doubts a member until it or another gives a sign of its life.
func (v *View) Suspect(id string) {
	if v.doubt(id) {
		v.probe(id)
	}
}

// doubt marks this node's own suspicion, and tells whether that is new.
func (v *View) doubt(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	held, ok := v.known[id]
	if !ok || held.doubted >= held.member.Incarnation {
		return false
	}
	if v.alive(held) {
		v.counters.Add("members_suspected", 1)
		held.lost = v.clock.Now()
	}
	held.doubted = held.member.Incarnation
	v.changed()
	return true
}

// SuspectAddr doubts whoever lives at an address.
func (v *View) SuspectAddr(addr string) {
	if id := v.at(addr); id != "" {
		v.Suspect(id)
	}
}

// doubtAt doubts whoever lives at an address that refuses connections.
func (v *View) doubtAt(addr string) {
	if id := v.at(addr); id != "" {
		v.doubt(id)
	}
}
