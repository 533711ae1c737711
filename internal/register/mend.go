// A disk set that mends itself. The core that owns slot 0 looks at the storage
// machines and at the set: a blank disk is formatted and learns, a learner that
// is whole gets a vote, a disk that can never come back (its address answers
// with another disk) is dropped, a silent one is dropped once a whole learner
// can take its place, or when it has been silent for long and others are
// enough. At most one vote comes or goes with each change, so the majorities
// before and after it meet; learners come and go along with it. A frozen or cut
// off machine keeps its vote while nobody can take its place.

package register

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// mending is what the owner of slot 0 has seen of the storage machines.
type mending struct {
	tolerate int
	// emptied is asked before a retirement is complete.
	emptied func(ctx *base.Ctx, disk string) (bool, error)
	// content, where there is one, is what planned changes wait for.
	content Content

	mu   sync.Mutex
	held hold
	seen map[string]*sighting
	// epoch and stamp are the owner's and the set's that was looked at, and
	// since when; what was seen under another epoch may be out of date.
	epoch, stamp uint64
	since        time.Duration
	// told says in words what is under way.
	told []string
}

// sighting is what the disk at an address last said.
type sighting struct {
	life    string
	state   *DiskState
	asOf    time.Duration // when it was asked for that
	asked   time.Duration
	busy    bool
	silent  bool
	silence time.Duration
}

// Mend has this core mend the disk set, so that it goes on when so many
// machines are lost with their disks at once. It is called before Run.
func (o *Owner) Mend(tolerate int) {
	o.mending = &mending{tolerate: tolerate, seen: map[string]*sighting{}}
}

// Emptied adds a condition for a retirement to be complete: that nothing is
// kept on the disk any more. It is called after Mend and before Run.
func (o *Owner) Emptied(emptied func(ctx *base.Ctx, disk string) (bool, error)) {
	o.mending.emptied = emptied
}

// Mends tells whether the disk set mends itself.
func (o *Owner) Mends() bool { return o.mending != nil }

// Mending says in words what is under way; only the owner of slot 0 knows.
func (o *Owner) Mending() []string {
	if o.mending == nil {
		return nil
	}
	o.mending.mu.Lock()
	defer o.mending.mu.Unlock()
	return slices.Clone(o.mending.told)
}

// least is how many voters must stay.
func (m *mending) least() int { return max(leastVoters, 2*m.tolerate+1) }

// forget drops what was seen, once another core sees to it.
func (m *mending) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen, m.told, m.stamp, m.epoch, m.held = map[string]*sighting{}, nil, 0, 0, hold{}
}

// diskOf is the disk of a machine that was seen.
func (m *mending) diskOf(node string) (id string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, addr := range base.SortedKeys(m.seen) {
		if state := m.seen[addr].state; state != nil && state.Node == node {
			return state.Id, true
		}
	}
	return "", false
}

// condition is how a disk of the set stands.
type condition struct {
	known  bool
	fresh  bool // it was asked since the set last changed
	gone   bool // another disk answers at its address
	silent time.Duration
	alive  bool // membership hears its machine
	// departed tells that its machine said that it leaves.
	departed bool
}

func (c condition) well() bool { return c.known && !c.gone && c.silent == 0 }
func (c condition) lost() bool { return c.gone || c.silent > 0 }

// outlook is all that a plan goes by.
type outlook struct {
	conditions map[string]condition
	candidates []*DiskEntry
	leaving    map[string]bool // machines being retired
	asking     bool            // a machine was asked that had not answered yet
}

// look asks the disks that are due to be asked and gathers what is known. Where
// nothing is amiss each is asked now and then only; membership tells of lives
// that began or went silent.
func (o *Owner) look(found *recorded) *outlook {
	m, now, beat := o.mending, o.clock.Now(), o.bounds.Load().Beat()
	set := found.disks.Current
	view := &outlook{conditions: map[string]condition{}, leaving: map[string]bool{}}
	for _, retiring := range found.retiring {
		view.leaving[retiring.Node] = true
	}
	lives := map[string]*membership.Member{}
	for _, member := range o.view.Present(membership.RoleStorage) {
		lives[member.Addr] = member
	}
	departed := departedAddresses(o.view)
	wanted := map[string]bool{}
	for _, entry := range set.Disks {
		wanted[entry.Addr] = true
	}
	for addr, life := range lives {
		wanted[addr] = wanted[addr] || !life.Leaving
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != found.epoch {
		m.epoch, m.stamp, m.seen = found.epoch, 0, map[string]*sighting{}
	}
	if m.stamp != set.Stamp {
		m.stamp, m.since = set.Stamp, now
	}
	for addr := range m.seen {
		if !wanted[addr] {
			delete(m.seen, addr)
		}
	}
	for _, addr := range base.SortedKeys(wanted) {
		seen, life := m.seen[addr], lives[addr]
		if seen == nil {
			seen = &sighting{}
			m.seen[addr] = seen
		}
		if life != nil && life.Id != seen.life {
			seen.life, seen.state = life.Id, nil
		}
		every := o.bounds.Load().Recover / 4
		switch {
		case seen.state == nil || seen.silent || life == nil || departed[addr]:
			every = beat / 2
		case seen.asked < m.since:
			every = 0
		case len(m.told) > 0:
			every = beat / 2
		}
		if !seen.busy && (seen.asked == 0 || now-seen.asked >= every) {
			seen.busy, seen.asked = true, now
			asked := seen.life
			o.clock.Go(func() { o.see(seen, asked, addr, life != nil && !life.Leaving, view.leaving, set) })
		}
		view.asking = view.asking || seen.busy && seen.state == nil && life != nil
		if seen.busy && !seen.silent && now-seen.asked > beat/2 {
			seen.silent, seen.silence = true, seen.asked
		}
	}
	for _, entry := range set.Disks {
		seen := m.seen[entry.Addr]
		stands := condition{known: seen.state != nil, alive: lives[entry.Addr] != nil, departed: departed[entry.Addr]}
		stands.fresh = seen.silent || seen.state != nil && seen.asOf >= m.since
		stands.gone = seen.state != nil && seen.asOf >= m.since && seen.state.Id != entry.Id
		if seen.silent {
			stands.silent = max(1, now-seen.silence)
		}
		view.conditions[entry.Id] = stands
	}
	for _, addr := range base.SortedKeys(lives) {
		life, seen := lives[addr], m.seen[addr]
		if life.Leaving || seen == nil || seen.silent || seen.state == nil || seen.state.Id == "" || inSet(set, seen.state.Id) || view.leaving[seen.state.Node] {
			continue
		}
		state := seen.state
		if state.Set != nil && state.Set.Cluster != set.Cluster || slices.Contains(found.disks.Retired, state.Id) {
			continue
		}
		view.candidates = append(view.candidates, &DiskEntry{Id: state.Id, Addr: addr, Zone: life.Zone, Node: state.Node, Learner: true})
	}
	return view
}

// departedAddresses are those of storage machines that said that they leave and
// at which no other life has begun.
func departedAddresses(view *membership.View) map[string]bool {
	departed := map[string]bool{}
	for _, member := range view.Known(membership.RoleStorage) {
		departed[member.Addr] = departed[member.Addr] || member.Leaving
	}
	for _, member := range view.Present(membership.RoleStorage) {
		if !member.Leaving {
			departed[member.Addr] = false
		}
	}
	return departed
}

// see asks one disk how it stands and formats a blank one.
func (o *Owner) see(seen *sighting, life, addr string, present bool, leaving map[string]bool, set *DiskSet) {
	ctx := base.NewCtx(o.clock, o.bounds.Load().DiskLimit())
	disk := NewDiskProtobufClient("http://"+addr, o.wire)
	state, err := disk.Describe(ctx, describeBeyond(set))
	if err == nil && state.Id == "" && present && !leaving[state.Node] {
		if formatted, failed := disk.Format(ctx, &FormatRequest{}); failed == nil {
			state = formatted
			o.counters.Add("disks_formatted", 1)
		}
	}
	o.mending.mu.Lock()
	defer o.mending.mu.Unlock()
	seen.busy = false
	switch {
	case err == nil && life != seen.life:
		seen.asked = 0 // another life has begun there meanwhile
	case err == nil:
		seen.state, seen.asOf, seen.silent = state, seen.asked, false
	case !seen.silent:
		seen.silent, seen.silence = true, seen.asked
	}
}

// mendSet makes the next change that the set needs, if any.
func (o *Owner) mendSet(found *recorded, filled map[string]int) (reached string, more bool) {
	now, view := found.disks, o.look(found)
	next := o.plan(now, view, filled, repairOnly)
	if next.set == nil && next.planned {
		next = o.plannedChange(now, view, filled)
	}
	told := next.told
	finished := false
	if next.set == nil {
		retired := o.finishRetiring(found)
		finished = retired.finished
		told = append(told, retired.told...)
	}
	o.mending.mu.Lock()
	o.mending.told = told
	o.mending.mu.Unlock()
	asked := disksAsk{Base: now.Current, Next: next.set, Wanted: next.wanted}
	switch {
	case next.set != nil:
		if o.own("disks.propose", asked) != nil {
			return "", false
		}
		o.counters.Add("disk_sets_mended", 1)
		o.counters.Add("disks_dropped", int64(next.dropped))
		return fmt.Sprint("proposed ", next.set.Stamp), true
	case next.wanted != now.Wanted:
		return fmt.Sprint("wanted ", next.wanted), o.own("disks.want", asked) == nil
	}
	return fmt.Sprint(told, filled), finished || view.asking || now.Under()
}

// plannedChange makes a planned change once the content's copies are in place,
// and says what it waits for until then.
func (o *Owner) plannedChange(now *Disks, view *outlook, filled map[string]int) *setPlan {
	copies := o.redundancyOf(now.Current)
	allowed := anyChange
	switch {
	case copies.full():
	case copies.waited >= o.bounds.Load().Recover:
		allowed = growth
	default:
		allowed = repairOnly
	}
	next := o.plan(now, view, filled, allowed)
	if next.set == nil && !copies.full() {
		next.told = append(next.told, "the next planned change of the disk set waits: "+copies.words())
	}
	return next
}

// allowance is which changes of the set may be made at the moment.
type allowance int

const (
	// repairOnly is what a loss makes necessary.
	repairOnly allowance = iota
	// growth lets more disks in as well, which gives no copy up.
	growth
	// anyChange lets machines leave as well.
	anyChange
)

// restartShare is the part of the recovery bound that a planned restart of a
// storage machine may take. It leaves enough of the time to catch up to fill
// the disks that take over its copies.
const restartShare = 8

// setPlan is the next change of the set.
type setPlan struct {
	// set is nil where nothing changes.
	set *DiskSet
	// wanted is how many voters there should be then.
	wanted int
	// told says in words what is amiss.
	told []string
	// planned tells that there is a change that nothing forces.
	planned bool
	dropped int
}

// planner chooses the next change. At most one vote comes or goes with it.
type planner struct {
	*setPlan
	view    *outlook
	current *DiskSet
	filled  map[string]int
	allowed allowance
	bounds  *base.Bounds

	need  int // voters that must stay
	votes int
	lost  int // voters that are gone or silent
	whole int // learners that may have a vote
	spare bool

	drop, promote *DiskEntry
}

// plan says what the next set should be, how many voters are wanted then, and
// in words what is amiss.
func (o *Owner) plan(now *Disks, view *outlook, filled map[string]int, allowed allowance) *setPlan {
	p := &planner{setPlan: &setPlan{}, view: view, current: now.Current, filled: filled, allowed: allowed, bounds: o.bounds.Load(), need: o.mending.least()}
	p.survey()
	p.wanted = max(now.Wanted, p.need)
	if now.Wanted == 0 || p.lost == 0 {
		p.wanted = max(p.wanted, p.votes)
	}
	p.choose()
	p.build()
	return p.setPlan
}

// survey counts how the disks of the set stand, and says what is amiss.
func (p *planner) survey() {
	p.votes = len(voters(p.current))
	p.spare = p.votes-1 >= p.need
	for _, entry := range p.current.Disks {
		stands := p.view.conditions[entry.Id]
		switch {
		case stands.gone:
			p.told = append(p.told, fmt.Sprintf("disk %s at %s was lost; another disk answers there", entry.Id, entry.Addr))
		case stands.silent > 0:
			p.told = append(p.told, fmt.Sprintf("disk %s at %s is silent", entry.Id, entry.Addr))
		case entry.Learner:
			p.told = append(p.told, fmt.Sprintf("disk %s at %s is being filled: %d of %d slots", entry.Id, entry.Addr, p.filled[entry.Id], Slots))
		}
		if !entry.Learner && stands.lost() {
			p.lost++
		}
		if entry.Learner && p.filled[entry.Id] == Slots && stands.well() {
			p.whole++
		}
	}
}

// choose picks the one vote that comes or goes: first what a loss makes
// necessary, then machines that come, then those that leave.
func (p *planner) choose() {
	p.pickDrop(func(_ *DiskEntry, stands condition) bool { return stands.gone })
	p.pickDrop(func(_ *DiskEntry, stands condition) bool { return p.stoppedForGood(stands) })
	p.pickDrop(func(_ *DiskEntry, stands condition) bool {
		return p.replaceable(stands) && p.votes-1+p.whole >= p.wanted
	})
	p.pickPromotion()
	p.pickDrop(func(entry *DiskEntry, stands condition) bool {
		return p.view.leaving[entry.Node] && p.others(entry.Id) && (stands.lost() || p.may(anyChange))
	})
	p.pickDrop(func(entry *DiskEntry, stands condition) bool {
		return !stands.alive && stands.silent >= p.bounds.Recover && p.others(entry.Id)
	})
}

// may tells whether a planned change is allowed; it is noted where it is not.
func (p *planner) may(change allowance) bool {
	if p.allowed < change {
		p.planned = true
		return false
	}
	return true
}

// replaceable tells that a disk has been silent for long enough to give its
// place to a learner that is whole.
func (p *planner) replaceable(stands condition) bool {
	return stands.silent >= p.bounds.Recover/16 || !stands.alive && stands.silent >= p.bounds.Beat()
}

// stoppedForGood tells that a machine was told to stop and has not begun again
// for longer than a restart takes. Its successor may have come before it went,
// and then nothing else shows that its copies are missing.
func (p *planner) stoppedForGood(stands condition) bool {
	return stands.departed && stands.silent >= p.bounds.Recover/restartShare
}

// others tells that all other voters are well.
func (p *planner) others(id string) bool {
	for _, entry := range voters(p.current) {
		if entry.Id != id && !p.view.conditions[entry.Id].well() {
			return false
		}
	}
	return true
}

func (p *planner) chosen() bool { return p.drop != nil || p.promote != nil }

// pickDrop takes the first voter that fits out, where it can be spared.
func (p *planner) pickDrop(fits func(entry *DiskEntry, stands condition) bool) {
	if !p.spare {
		return
	}
	for _, entry := range voters(p.current) {
		if !p.chosen() && fits(entry, p.view.conditions[entry.Id]) {
			p.drop = entry
		}
	}
}

// pickPromotion gives a vote to a learner that is whole, once every voter was
// asked since the set last changed. Where votes are missing that is a repair.
func (p *planner) pickPromotion() {
	if p.chosen() {
		return
	}
	for _, entry := range voters(p.current) {
		if !p.view.conditions[entry.Id].fresh {
			return
		}
	}
	missing := p.votes-p.lost < p.wanted
	for _, entry := range p.current.Disks {
		ready := entry.Learner && p.filled[entry.Id] == Slots && p.view.conditions[entry.Id].well() && !p.view.leaving[entry.Node]
		if ready && !p.chosen() && (missing || p.may(growth)) {
			p.promote = entry
			p.wanted = max(p.wanted, p.votes+1-p.lost)
		}
	}
}

// build makes the next set, where anything changes.
func (p *planner) build() {
	next := &DiskSet{Stamp: p.current.Stamp + 1, Cluster: p.current.Cluster}
	changed, learners := p.chosen(), 0
	for _, entry := range p.current.Disks {
		if entry == p.drop {
			p.dropped++
			if p.view.leaving[entry.Node] || p.stoppedForGood(p.view.conditions[entry.Id]) {
				p.wanted = max(p.need, min(p.wanted, p.votes-1))
			}
			continue
		}
		if entry.Learner && p.givesUp(entry) {
			changed = true
			continue
		}
		learner := entry.Learner && entry != p.promote
		if learner {
			learners++
		}
		next.Disks = append(next.Disks, &DiskEntry{Id: entry.Id, Addr: entry.Addr, Zone: entry.Zone, Node: entry.Node, Learner: learner})
	}
	joining := p.joining(learners)
	next.Disks = append(next.Disks, joining...)
	if !changed && len(joining) == 0 {
		return
	}
	p.set = next
	p.told = append(p.told, fmt.Sprintf("disk set %d is under way", next.Stamp))
}

// givesUp tells that a learner goes: it is lost, or its machine leaves.
func (p *planner) givesUp(entry *DiskEntry) bool {
	stands := p.view.conditions[entry.Id]
	if stands.gone || stands.silent >= p.bounds.Recover/8 {
		return true
	}
	return p.view.leaving[entry.Node] && p.may(anyChange)
}

// joining are the candidates that become learners with this change. As many
// come at once as votes are missing; more of them are growth.
func (p *planner) joining(learners int) []*DiskEntry {
	votes := p.votes - p.lost
	if p.promote != nil {
		votes++
	}
	missing := max(0, p.wanted-votes-learners)
	if len(p.view.candidates) <= missing {
		return p.view.candidates
	}
	if p.may(growth) {
		missing = max(missing, p.budget()-learners)
	}
	return p.view.candidates[:min(max(0, missing), len(p.view.candidates))]
}

// budget is how many machines may be lost at once. As many may take places of
// others at once, so that enough copies stay where they were.
func (p *planner) budget() int { return max(1, (p.need-1)/2) }

// retirements is what became of the machines being retired.
type retirements struct {
	finished bool
	told     []string
}

// finishRetiring concludes retirements whose disk is out of the set, which is
// settled, whose content has its full number of copies without it, and of which
// nothing else is kept.
func (o *Owner) finishRetiring(found *recorded) (result retirements) {
	set := found.disks.Current
	for _, retiring := range found.retiring {
		if retiring.Complete {
			continue
		}
		if waits := o.retirementWaits(set, retiring); waits != "" {
			result.told = append(result.told, fmt.Sprintf("machine %s is being retired: %s", retiring.Node, waits))
			continue
		}
		result.finished = o.own("retiring.conclude", retiring) == nil || result.finished
	}
	return result
}

// retirementWaits says what keeps a machine from being given up.
func (o *Owner) retirementWaits(set *DiskSet, retiring *Retiring) string {
	stays := slices.ContainsFunc(set.Disks, func(entry *DiskEntry) bool {
		return entry.Node == retiring.Node || entry.Id == retiring.Disk
	})
	if stays {
		return "its disk is in the set"
	}
	if copies := o.redundancyOf(set); !copies.full() {
		return copies.words()
	}
	if emptied := o.mending.emptied; emptied != nil && retiring.Disk != "" {
		if empty, err := emptied(base.NewCtx(o.clock, o.bounds.Load().Call()), retiring.Disk); err != nil || !empty {
			return "data is kept there"
		}
	}
	return ""
}
