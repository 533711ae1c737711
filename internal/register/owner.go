// Package register is the control state. Keys belong to groups, groups are
// hashed into slots, and each slot has one core owner at a time under an
// epoch. To take a slot a core raises the epoch on a majority of the disks,
// reads that majority, writes the newest content back under the new epoch,
// and only then serves. A change is decided in memory, numbered within its
// slot, and answered once a majority of disks has it synced. Disks hold a
// prefix of the slot's numbers under the epoch that installed it, so the
// newest content of a majority is the one with the highest (epoch, number).
// There is no log across slots and no leader for all of them.
package register

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/emirpasic/gods/maps/treemap"
)

const (
	// Slots is how many parts the control state is cut into.
	Slots = 32
	// FeedGroup is the group whose changes every node follows.
	FeedGroup = "feed"

	bufferLimit = 4096
	// feedBytes bounds the committed changes kept for followers of the feed; who
	// is further behind is given the frame.
	feedBytes = 4 << 20
)

// SlotOf places a group. The feed has slot 0 to itself, so that the slot's
// numbers are the feed's places.
func SlotOf(group string) uint32 {
	if group == FeedGroup {
		return 0
	}
	return uint32(1 + base.Hash64("group", group)%(Slots-1))
}

// TimeKey is where a slot keeps the time of its newest change.
const TimeKey = "time"

// now is the slot's time; the caller holds the lock.
func (s *slot) now(clock base.Clock) int64 {
	return s.time + (clock.Now() - s.timeFrom).Milliseconds()
}

// Op decides a change within one slot. It must be safe to ask twice: the
// asker repeats it when a reply is lost.
type Op func(tx *Tx, args []byte) (any, error)

// Tx is what an op sees: the slot's keys, and the puts it has made so far.
type Tx struct {
	// Now is the slot's own time, in milliseconds: it goes on with whoever
	// keeps the slot, stands still while nobody does, and never goes back.
	Now    int64
	Bounds *base.Bounds
	Group  string
	// Epoch is the one that the change is made under.
	Epoch uint64
	held  *treemap.Map
	puts  []*Put
}

func (t *Tx) Get(key string) []byte {
	for last := len(t.puts) - 1; last >= 0; last-- {
		if t.puts[last].Key == key {
			return t.puts[last].Value
		}
	}
	if value, ok := t.held.Get(key); ok {
		return value.([]byte)
	}
	return nil
}

func (t *Tx) Put(key string, value []byte) { t.puts = append(t.puts, &Put{Key: key, Value: value}) }
func (t *Tx) Gone(key string)              { t.puts = append(t.puts, &Put{Key: key, Gone: true}) }

// Walk visits the keys under a prefix in order, as they were before this
// change, from after a key on; visit returns false to stop.
func (t *Tx) Walk(prefix, after string, visit func(key string, value []byte) bool) {
	from := prefix
	if after != "" {
		from = after + "\x00"
	}
	for {
		key, value := t.held.Ceiling(from)
		if key == nil || len(key.(string)) < len(prefix) || key.(string)[:len(prefix)] != prefix {
			return
		}
		if !visit(key.(string), value.([]byte)) {
			return
		}
		from = key.(string) + "\x00"
	}
}

type phase int

const (
	idle phase = iota
	taking
	serving
)

// progress is what a disk has of a slot, and the disk set under which it
// last said so.
type progress struct {
	installed bool
	// mute disks gave no answer to the last message; they are sent a small one
	// next.
	mute  bool
	acked uint64
	stamp uint64
}

// has reports whether the disk is known to hold the slot up to a number.
func (p *progress) has(seq uint64) bool { return p != nil && p.installed && p.acked >= seq }

type slot struct {
	num  uint32
	bell *base.Bell

	mu         sync.Mutex
	phase      phase
	epoch      uint64
	highest    uint64
	held       *treemap.Map
	time       int64
	timeFrom   time.Duration
	tail       uint64
	commit     uint64
	based      bool
	buffer     []*Entry
	progress   map[string]*progress
	nextRound  *round
	roundsBusy bool
}

type round struct {
	done base.Signal
	err  error
}

// Owner is a core's part in the register.
type Owner struct {
	clock    base.Clock
	wire     base.Wire
	view     *membership.View
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	ops      map[string]Op
	sweeps   []func(tx *Tx)
	slots    [Slots]*slot

	// mending is set by Mend, before Run.
	mending *mending

	mu     sync.Mutex
	set    *DiskSet
	slow   map[string]time.Duration
	lookup base.Signal
	moving bool
	// mute are the cores that gave the last census no answer.
	mute     []string
	repairs  map[string]int
	repaired base.Signal
	closed   bool
}

func NewOwner(clock base.Clock, wire base.Wire, view *membership.View, bounds *base.Table[base.Bounds], counters *base.Counters) *Owner {
	o := &Owner{clock: clock, wire: wire, view: view, bounds: bounds, counters: counters, ops: map[string]Op{}, slow: map[string]time.Duration{}, repairs: map[string]int{}, repaired: clock.NewSignal()}
	o.handleDisks()
	o.handleRetiring()
	for num := range o.slots {
		o.slots[num] = &slot{num: uint32(num), bell: base.NewBell(clock)}
	}
	return o
}

// Handle names an op; Sweep adds a clean-up run over every slot now and
// then. Both are called before Run.
func (o *Owner) Handle(name string, op Op) { o.ops[name] = op }
func (o *Owner) Sweep(clean func(tx *Tx))  { o.sweeps = append(o.sweeps, clean) }
func (o *Owner) disk(entry *DiskEntry) Disk {
	return NewDiskProtobufClient("http://"+entry.Addr, o.wire)
}

// claim is a message's head to one disk of a set.
func (o *Owner) claim(s *slot, epoch uint64, set *DiskSet, entry *DiskEntry) *Claim {
	return &Claim{Slot: s.num, Epoch: epoch, Owner: o.view.Me(), SetStamp: set.Stamp, Disk: entry.Id}
}

// Run takes the slots that rendezvous gives this core, and sweeps.
func (o *Owner) Run() {
	swept := o.clock.Now()
	for !o.isClosed() {
		for _, s := range o.slots {
			if o.preferred(s) == o.view.Me() {
				o.start(s)
			}
		}
		o.moveDisks()
		if o.clock.Now()-swept > o.bounds.Load().Sweep() {
			swept = o.clock.Now()
			o.sweepAll()
		}
		o.clock.Sleep(o.bounds.Load().Beat())
	}
}

func (o *Owner) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// Close stops serving at once; another core takes the slots by epoch.
func (o *Owner) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	for _, s := range o.slots {
		s.mu.Lock()
		s.phase, s.epoch = idle, 0
		s.mu.Unlock()
		s.bell.Ring()
	}
}

// Yield waits until other cores have taken this one's slots, while it still
// answers for those not yet taken.
func (o *Owner) Yield(limit time.Duration) {
	end := o.clock.Now() + limit
	for _, s := range o.slots {
		for {
			next := s.bell.Next()
			s.mu.Lock()
			serves := s.phase == serving
			s.mu.Unlock()
			if !serves || !next.Wait(max(0, end-o.clock.Now())) {
				break
			}
		}
	}
}

func (o *Owner) preferred(s *slot) string {
	ids := base.Map(o.view.Alive(membership.RoleCore), func(m *membership.Member) string { return m.Id })
	if len(ids) == 0 {
		return ""
	}
	return base.Rendezvous(fmt.Sprint("slot/", s.num), ids)[0]
}

func (o *Owner) start(s *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != idle || o.isClosed() {
		return
	}
	s.phase = taking
	o.clock.Go(func() {
		err := o.take(s)
		if base.IsCode(err, "older_epoch") {
			err = o.take(s) // the disks told which epoch they are at
		}
		if err != nil {
			o.counters.Add("slot_takes_failed", 1)
			pause := o.bounds.Load().Beat() / 4
			o.clock.Sleep(pause + time.Duration(o.clock.Int64N(int64(pause))))
			s.mu.Lock()
			s.phase = idle
			s.mu.Unlock()
			s.bell.Ring()
		}
	})
}

// Set is the disk set this core goes by, looked up on the disks if need be.
func (o *Owner) Set() *DiskSet {
	if known := o.knownSet(); known != nil {
		return known
	}
	o.mu.Lock()
	lookup := o.lookup
	if lookup == nil { // all who ask at once share one round
		lookup = o.clock.NewSignal()
		o.lookup = lookup
		o.clock.Go(func() {
			o.findSet()
			o.mu.Lock()
			o.lookup = nil
			o.mu.Unlock()
			lookup.Fire()
		})
	}
	o.mu.Unlock()
	lookup.Wait(o.bounds.Load().Call())
	return o.knownSet()
}

func (o *Owner) findSet() {
	base.Ask(o.clock, o.view.Known(membership.RoleStorage), 2, o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, member *membership.Member) bool {
		state, err := NewDiskProtobufClient("http://"+member.Addr, o.wire).Describe(ctx, &DescribeRequest{})
		if err != nil || state.Set == nil || len(state.Set.Disks) == 0 {
			return false
		}
		o.Learn(state.Set)
		return true
	})
}

// Cluster is the cluster of the disk set this core goes by.
func (o *Owner) Cluster() string { return o.knownSet().GetCluster() }

// Known is the disk set as this core has learnt it, without asking.
func (o *Owner) Known() *DiskSet { return o.knownSet() }

func (o *Owner) knownSet() *DiskSet {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.set
}

// Learn takes in a newer disk set of this cluster.
func (o *Owner) Learn(set *DiskSet) {
	o.mu.Lock()
	newer := set != nil && len(set.Disks) > 0 && (o.set == nil || set.Stamp > o.set.Stamp && set.Cluster == o.set.Cluster)
	if newer {
		o.set = set
	}
	o.mu.Unlock()
	if newer {
		for _, s := range o.slots {
			o.refit(s)
			s.bell.Ring()
		}
	}
}

// voters are the disks whose word counts; learners are only being filled.
func voters(set *DiskSet) []*DiskEntry {
	return base.Filter(set.Disks, func(entry *DiskEntry) bool { return !entry.Learner })
}

func majority(set *DiskSet) int { return len(voters(set))/2 + 1 }

func (o *Owner) take(s *slot) error {
	set := o.Set()
	if set == nil {
		return base.Busy(503, "no_disks", 1, "no disk set is known")
	}
	s.mu.Lock()
	s.highest++
	epoch := s.highest
	s.mu.Unlock()
	var mu sync.Mutex
	var newest *PromiseReply
	promised := base.Ask(o.clock, voters(set), majority(set), o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, entry *DiskEntry) bool {
		reply, err := o.promise(ctx, entry, &PromiseRequest{Claim: o.claim(s, epoch, set, entry)})
		if err != nil {
			return false
		}
		if !reply.Ack.Ok {
			o.agreeOnSet(entry, reply.Ack)
			s.mu.Lock()
			s.highest = max(s.highest, reply.Ack.Epoch)
			s.mu.Unlock()
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		switch {
		case newest == nil || reply.Installed > newest.Installed || (reply.Installed == newest.Installed && reply.Seq > newest.Seq):
			newest = reply
		case reply.Installed == newest.Installed && reply.Seq == newest.Seq:
			newest.AgeMs = max(newest.AgeMs, reply.AgeMs)
		}
		return true
	})
	if !promised {
		s.mu.Lock()
		learnt := s.highest > epoch
		s.mu.Unlock()
		if learnt {
			return base.Busy(503, "older_epoch", 1, "the disks have promised a higher epoch")
		}
		return base.Busy(503, "no_majority", 1, "no majority of disks")
	}
	mu.Lock()
	content, age := newest, newest.AgeMs
	mu.Unlock()
	held := treemap.NewWithStringComparator()
	for _, put := range content.Puts {
		held.Put(put.Key, put.Value)
	}
	s.mu.Lock()
	s.epoch, s.held, s.tail, s.commit, s.based, s.buffer = epoch, held, content.Seq, 0, false, nil
	s.time, s.timeFrom = 0, o.clock.Now()
	if raw, ok := held.Get(TimeKey); ok {
		kept, _ := binary.Varint(raw.([]byte))
		s.time = kept + age // no disk has held it for longer than it is old
	}
	s.progress = map[string]*progress{}
	s.mu.Unlock()
	o.refit(s)
	end := o.clock.Now() + o.bounds.Load().Call()
	for {
		next := s.bell.Next()
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			return base.Busy(503, "fenced", 1, "another core took the slot")
		}
		if s.based {
			s.phase = serving
			s.mu.Unlock()
			s.bell.Ring()
			o.counters.Add("slots_taken", 1)
			return nil
		}
		s.mu.Unlock()
		if !next.Wait(max(0, end-o.clock.Now())) {
			//NOSTEP
			return base.Busy(503, "no_majority", 1, "no majority of disks")
		}
	}
}

// promise asks a disk again while it cannot be reached: after an outage disks
// come back one by one, and the last that a majority needs is not to be missed.
func (o *Owner) promise(ctx *base.Ctx, entry *DiskEntry, request *PromiseRequest) (*PromiseReply, error) {
	for {
		reply, err := o.disk(entry).Promise(ctx, request)
		pause := o.bounds.Load().Beat() / 12
		if err == nil || !base.WasNotSent(err) || ctx.Left() < pause || o.isClosed() {
			return reply, err
		}
		o.clock.Sleep(pause/2 + time.Duration(o.clock.Int64N(int64(pause))))
	}
}

// refit starts a sender to each disk of the set that has none.
func (o *Owner) refit(s *slot) {
	set := o.knownSet()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.progress == nil {
		return
	}
	for _, entry := range set.Disks {
		if s.progress[entry.Id] == nil {
			s.progress[entry.Id] = &progress{}
			epoch := s.epoch
			o.clock.Go(func() { o.send(s, epoch, entry) })
		}
	}
}

func (o *Owner) stepDown(s *slot, epoch, higher uint64) {
	s.mu.Lock()
	s.highest = max(s.highest, higher)
	if s.epoch == epoch {
		if s.phase == serving {
			s.phase = idle
			o.counters.Add("slots_lost", 1)
		}
		s.epoch, s.held, s.buffer, s.progress = 0, nil, nil, nil
	}
	s.mu.Unlock()
	s.bell.Ring()
}

// send keeps one disk up with one slot: a frame first, then what follows.
func (o *Owner) send(s *slot, epoch uint64, entry *DiskEntry) {
	for {
		next := s.bell.Next()
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			return
		}
		set := o.knownSet()
		if !inSet(set, entry.Id) {
			delete(s.progress, entry.Id)
			s.mu.Unlock()
			return
		}
		repair := s.based && s.needsFrame(entry.Id) && !s.progress[entry.Id].mute
		if repair {
			if turn := o.beginRepair(entry.Id); turn != nil {
				s.mu.Unlock()
				turn.Wait(o.bounds.Load().Beat() / 2)
				continue
			}
		}
		install, appended := s.outstanding(o.claim(s, epoch, set, entry), entry.Id)
		s.mu.Unlock()
		if install == nil && appended == nil {
			next.Wait(-1)
			continue
		}
		ack, err := o.deliver(entry, install, appended)
		if repair {
			o.endRepair(entry.Id)
		}
		if err != nil || !ack.Ok {
			if !o.mend(s, epoch, entry, ack) {
				return
			}
			continue
		}
		s.mu.Lock()
		if s.epoch == epoch && s.progress[entry.Id] != nil {
			mark := s.progress[entry.Id]
			mark.installed, mark.mute, mark.acked, mark.stamp = true, false, max(mark.acked, ack.Seq), set.Stamp
			s.recount(set)
		}
		s.mu.Unlock()
		s.bell.Ring()
	}
}

// repairsAtOnce bounds the frames that one core sends to each disk that is
// behind while its slots are served without it, so that repair stays below the
// live traffic, and a disk that falls silent does not hold up another's. A take-over's own frames are not held back.
const repairsAtOnce = 2

// beginRepair takes a place, or gives what to wait for until one is free.
func (o *Owner) beginRepair(disk string) base.Signal {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.repairs[disk] >= repairsAtOnce {
		o.counters.Add("repairs_paced", 1)
		return o.repaired
	}
	o.repairs[disk]++
	return nil
}

func (o *Owner) endRepair(disk string) {
	o.mu.Lock()
	if o.repairs[disk]--; o.repairs[disk] == 0 {
		delete(o.repairs, disk)
	}
	freed := o.repaired
	o.repaired = o.clock.NewSignal()
	o.mu.Unlock()
	freed.Fire()
}

func inSet(set *DiskSet, id string) bool {
	for _, entry := range set.Disks {
		if entry.Id == id {
			return true
		}
	}
	return false
}

// first is the number that the buffer begins with; the caller holds the lock.
func (s *slot) first() uint64 { return s.tail + 1 - uint64(len(s.buffer)) }

// needsFrame tells that a disk cannot go on from the buffer; the caller holds
// the lock.
func (s *slot) needsFrame(diskID string) bool {
	mark := s.progress[diskID]
	return !mark.installed || mark.acked+1 < s.first()
}

// outstanding builds what a disk lacks; the caller holds the lock.
func (s *slot) outstanding(claim *Claim, diskID string) (*InstallRequest, *AppendRequest) {
	mark := s.progress[diskID]
	if mark.mute {
		return nil, &AppendRequest{Claim: claim}
	}
	if s.needsFrame(diskID) {
		mark.installed = false
		install := &InstallRequest{Claim: claim, Seq: s.tail}
		s.held.Each(func(key, value any) {
			install.Puts = append(install.Puts, &Put{Key: key.(string), Value: value.([]byte)})
		})
		return install, nil
	}
	if mark.acked >= s.tail {
		if mark.stamp != claim.SetStamp {
			return nil, &AppendRequest{Claim: claim}
		}
		return nil, nil
	}
	entries := append([]*Entry(nil), s.buffer[mark.acked+1-s.first():]...)
	return nil, &AppendRequest{Claim: claim, Entries: entries}
}

func (o *Owner) deliver(entry *DiskEntry, install *InstallRequest, appended *AppendRequest) (*Ack, error) {
	ctx := base.NewCtx(o.clock, o.bounds.Load().DiskLimit())
	if install != nil {
		o.counters.Add("disk_installs_sent", 1)
		return o.disk(entry).Install(ctx, install)
	}
	o.counters.Add("disk_appends_sent", 1)
	return o.disk(entry).Append(ctx, appended)
}

// mend reacts to a disk that did not take what it was sent, and says whether
// to go on sending.
func (o *Owner) mend(s *slot, epoch uint64, entry *DiskEntry, ack *Ack) bool {
	pause := o.bounds.Load().Beat() / 2
	if ack != nil {
		switch ack.Why {
		case "epoch":
			o.stepDown(s, epoch, ack.Epoch)
			return false
		case "set":
			if o.agreeOnSet(entry, ack) {
				return true
			}
		case "behind":
			s.mu.Lock()
			if mark := s.progress[entry.Id]; s.epoch == epoch && mark != nil {
				mark.installed, mark.mute = false, false
			}
			s.mu.Unlock()
			return true
		}
	}
	s.mu.Lock()
	if mark := s.progress[entry.Id]; s.epoch == epoch && mark != nil {
		mark.mute = ack == nil
	}
	s.mu.Unlock()
	o.clock.Sleep(pause + time.Duration(o.clock.Int64N(int64(pause))))
	return true
}

// recount finds what a majority has; the caller holds the lock.
func (s *slot) recount(set *DiskSet) {
	reached := func(seq uint64) bool {
		count := 0
		for _, entry := range voters(set) {
			if s.progress[entry.Id].has(seq) {
				count++
			}
		}
		return count >= majority(set)
	}
	for _, entry := range voters(set) {
		if mark := s.progress[entry.Id]; mark.has(s.commit) && reached(mark.acked) {
			s.commit, s.based = mark.acked, true
		}
	}
	lowest := s.commit
	for _, mark := range s.progress {
		if mark.installed {
			lowest = min(lowest, mark.acked)
		}
	}
	first := s.first()
	keep := max(lowest+1, first)
	if lowest < s.commit && uint64(len(s.buffer)) > bufferLimit {
		keep = s.commit + 1
	}
	// The feed reads committed changes from the buffer, so some stay.
	if s.num == 0 && keep > first {
		stays, bytes := keep, 0
		for stays > first && s.tail-stays+1 < bufferLimit {
			if bytes += s.buffer[stays-1-first].weight(); bytes > feedBytes {
				break
			}
			stays--
		}
		keep = stays
	}
	s.buffer = s.buffer[keep-first:]
}

// weight is about what an entry holds in memory.
func (e *Entry) weight() int {
	sum := 64
	for _, put := range e.Puts {
		sum += len(put.Key) + len(put.Value) + 64
	}
	return sum
}

// Change answers the asker of an op, or names the core to ask instead.
func (o *Owner) Change(plain context.Context, request *ChangeRequest) (*ChangeReply, error) {
	ctx := base.CtxOf(plain, o.clock)
	op, ok := o.ops[request.Op]
	if !ok {
		return nil, base.ToWire(base.Decline(400, "unknown_op", "unknown op %q", request.Op))
	}
	s := o.slots[SlotOf(request.Group)]
	hint, err := o.await(ctx, s)
	if hint != "" || err != nil {
		return &ChangeReply{Owner: hint}, base.ToWire(err)
	}
	result, err := o.decide(ctx, s, request.Group, func(tx *Tx) (any, error) { return op(tx, request.Args) })
	if err != nil {
		return nil, base.ToWire(err)
	}
	return &ChangeReply{Result: base.Encode(result)}, nil
}

// await gets this core to serve the slot, or names who should.
func (o *Owner) await(ctx *base.Ctx, s *slot) (hint string, err error) {
	for {
		next := s.bell.Next()
		s.mu.Lock()
		serves := s.phase == serving
		s.mu.Unlock()
		if serves {
			return "", nil
		}
		if preferred := o.preferred(s); preferred != o.view.Me() {
			// Whoever asks here may have found that core silent.
			o.view.Probe(preferred)
			return preferred, nil
		}
		o.start(s)
		if !next.Wait(ctx.Left() / 2) {
			return "", base.Busy(503, "slot_not_ready", 1, "no majority of disks has answered yet")
		}
	}
}

func (o *Owner) decide(ctx *base.Ctx, s *slot, group string, decide func(tx *Tx) (any, error)) (any, error) {
	return o.decideSaid(ctx, s, group, decide, true)
}

// decideUnsaid is a change of the owner's own: where nothing changes, nobody is
// told so, and the epoch need not be confirmed.
func (o *Owner) decideUnsaid(ctx *base.Ctx, s *slot, decide func(tx *Tx) (any, error)) (any, error) {
	return o.decideSaid(ctx, s, "", decide, false)
}

func (o *Owner) decideSaid(ctx *base.Ctx, s *slot, group string, decide func(tx *Tx) (any, error), said bool) (any, error) {
	s.mu.Lock()
	if s.phase != serving {
		s.mu.Unlock()
		return nil, base.Busy(503, "slot_not_ready", 1, "the slot is changing hands")
	}
	epoch := s.epoch
	tx := &Tx{Now: s.now(o.clock), Bounds: o.bounds.Load(), Group: group, Epoch: epoch, held: s.held}
	result, declined := decide(tx)
	changed := declined == nil && len(tx.puts) > 0
	if changed {
		tx.Put(TimeKey, binary.AppendVarint(nil, tx.Now))
		s.tail++
		s.buffer = append(s.buffer, &Entry{Seq: s.tail, Puts: tx.puts})
		for _, put := range tx.puts {
			if put.Gone {
				s.held.Remove(put.Key)
			} else {
				s.held.Put(put.Key, put.Value)
			}
		}
	}
	target := s.tail
	s.mu.Unlock()
	if changed {
		o.counters.Add("register_changes", 1)
		s.bell.Ring()
	}
	if err := o.settled(ctx, s, epoch, target); err != nil {
		return nil, err
	}
	if !changed && said {
		if err := o.confirm(ctx, s, epoch); err != nil {
			return nil, err
		}
	}
	return result, declined
}

// settled waits until a majority has the slot up to target.
func (o *Owner) settled(ctx *base.Ctx, s *slot, epoch, target uint64) error {
	for {
		next := s.bell.Next()
		s.mu.Lock()
		mine, done := s.epoch == epoch, s.commit >= target
		s.mu.Unlock()
		switch {
		case !mine:
			return base.Unsure(503, "slot_moved", "the slot changed hands before a majority had the change")
		case done:
			return nil
		}
		if !next.Wait(ctx.Left()) {
			return base.Unsure(503, "no_majority", "a majority of disks has not confirmed the change")
		}
	}
}

// confirm proves that the epoch still stood after the asker asked. All who
// ask before a round starts share it.
func (o *Owner) confirm(ctx *base.Ctx, s *slot, epoch uint64) error {
	s.mu.Lock()
	if s.nextRound == nil {
		s.nextRound = &round{done: o.clock.NewSignal()}
	}
	joined := s.nextRound
	if !s.roundsBusy {
		s.roundsBusy = true
		o.clock.Go(func() { o.rounds(s) })
	}
	s.mu.Unlock()
	if !joined.done.Wait(ctx.Left()) || joined.err != nil {
		return base.Busy(503, "no_majority", 1, "no majority of disks confirms this owner")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch {
		return base.Busy(503, "slot_not_ready", 1, "the slot changed hands")
	}
	return nil
}

func (o *Owner) rounds(s *slot) {
	for {
		s.mu.Lock()
		current := s.nextRound
		s.nextRound = nil
		if current == nil {
			s.roundsBusy = false
			s.mu.Unlock()
			return
		}
		epoch := s.epoch
		s.mu.Unlock()
		set := o.knownSet()
		o.counters.Add("register_confirms", 1)
		bounds := o.bounds.Load()
		confirmed := base.AskFew(o.clock, o.promptFirst(voters(set)), majority(set), bounds.Confirm(), bounds.DiskLimit(), func(ctx *base.Ctx, entry *DiskEntry) bool {
			began := o.clock.Now()
			ack, err := o.disk(entry).Confirm(ctx, &ConfirmRequest{Claim: o.claim(s, epoch, set, entry)})
			o.timed(entry, err == nil && o.clock.Now()-began < bounds.Confirm())
			if err == nil && ack.Why == "epoch" {
				o.stepDown(s, epoch, ack.Epoch)
			}
			if err == nil {
				o.agreeOnSet(entry, ack)
			}
			return err == nil && ack.Ok
		})
		if !confirmed {
			current.err = base.Busy(503, "no_majority", 1, "no majority of disks")
		}
		current.done.Fire()
	}
}

// timed notes whether a disk was prompt; promptFirst puts those that were not
// last, and among the others those of this core's zone first.
func (o *Owner) timed(entry *DiskEntry, prompt bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if prompt {
		delete(o.slow, entry.Id)
	} else {
		o.slow[entry.Id] = o.clock.Now()
	}
}

func (o *Owner) promptFirst(entries []*DiskEntry) []*DiskEntry {
	zone := o.view.Self().Zone
	o.mu.Lock()
	defer o.mu.Unlock()
	rank := func(entry *DiskEntry) int {
		at, slow := o.slow[entry.Id]
		switch {
		case slow && o.clock.Now()-at < o.bounds.Load().Recover:
			return 2
		case entry.Zone != zone:
			return 1
		}
		return 0
	}
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b *DiskEntry) int { return rank(a) - rank(b) })
	return ordered
}

func (o *Owner) sweepAll() {
	for _, s := range o.slots {
		s.mu.Lock()
		serves := s.phase == serving
		s.mu.Unlock()
		if !serves {
			continue
		}
		_, _ = o.decideUnsaid(base.NewCtx(o.clock, o.bounds.Load().Call()), s, func(tx *Tx) (any, error) {
			for _, clean := range o.sweeps {
				clean(tx)
			}
			// The time that passed is kept even where nothing else happens.
			if len(tx.puts) == 0 && tx.held.Size() > 1 {
				tx.Put(TimeKey, nil)
			}
			return nil, nil
		})
	}
}

// News gives a follower of the feed what is committed after a place: the
// changes if they are still at hand, else the whole frame. It waits up to
// hold for news if the follower has begun, and confirms its epoch last, so that the answer is as fresh
// as the moment it was asked for.
func (o *Owner) News(ctx *base.Ctx, place uint64, begun bool, hold time.Duration) (now uint64, frame bool, puts []*Put, hint string, err error) {
	s := o.slots[0]
	if hint, err = o.await(ctx, s); hint != "" || err != nil {
		return 0, false, nil, hint, err
	}
	// Quiet followers are answered at common ticks, so that one confirmation
	// serves them all.
	end := o.clock.Now() + hold
	if hold > 0 {
		end = (o.clock.Now() + hold*5/4) / hold * hold
	}
	for {
		next := s.bell.Next()
		s.mu.Lock()
		quiet := s.phase == serving && begun && s.commit == place
		s.mu.Unlock()
		if !quiet || !next.Wait(max(0, end-o.clock.Now())) {
			break
		}
	}
	s.mu.Lock()
	if s.phase != serving {
		s.mu.Unlock()
		return 0, false, nil, "", base.Busy(503, "slot_not_ready", 1, "the feed is changing hands")
	}
	epoch, target := s.epoch, s.tail
	first := s.first()
	frame = !begun || place+1 < first || place > target
	if frame {
		s.held.Each(func(key, value any) { puts = append(puts, &Put{Key: key.(string), Value: value.([]byte)}) })
	} else {
		for _, entry := range s.buffer[place+1-first:] {
			puts = append(puts, entry.Puts...)
		}
	}
	s.mu.Unlock()
	if err = o.settled(ctx, s, epoch, target); err != nil {
		return 0, false, nil, "", err
	}
	return target, frame, puts, "", o.confirm(ctx, s, epoch)
}

// Frame counts what this core owns, for the status page.
func (o *Owner) Frame() (owned []uint32, set *DiskSet) {
	for _, s := range o.slots {
		s.mu.Lock()
		if s.phase == serving {
			owned = append(owned, s.num)
		}
		s.mu.Unlock()
	}
	return owned, o.Set()
}

// FeedEpoch is the epoch under which this core owns the feed's slot, 0 when it
// does not.
func (o *Owner) FeedEpoch() uint64 {
	s := o.slots[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != serving {
		return 0
	}
	return s.epoch
}

// ServesFeed tells whether this core owns the feed's slot.
func (o *Owner) ServesFeed() bool {
	s := o.slots[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == serving
}
