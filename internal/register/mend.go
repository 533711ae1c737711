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

	mu   sync.Mutex
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
	m.seen, m.told, m.stamp, m.epoch = map[string]*sighting{}, nil, 0, 0
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
		case seen.state == nil || seen.silent || life == nil:
			every = beat / 2
		case seen.asked < m.since:
			every = 0
		case len(m.told) > 0:
			every = beat / 2
		}
		if !seen.busy && (seen.asked == 0 || now-seen.asked >= every) {
			seen.busy, seen.asked = true, now
			asked := seen.life
			o.clock.Go(func() { o.see(seen, asked, addr, life != nil && !life.Leaving, view.leaving) })
		}
		view.asking = view.asking || seen.busy && seen.state == nil && life != nil
		if seen.busy && !seen.silent && now-seen.asked > beat/2 {
			seen.silent, seen.silence = true, seen.asked
		}
	}
	for _, entry := range set.Disks {
		seen := m.seen[entry.Addr]
		stands := condition{known: seen.state != nil, alive: lives[entry.Addr] != nil}
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

// see asks one disk how it stands and formats a blank one.
func (o *Owner) see(seen *sighting, life, addr string, present bool, leaving map[string]bool) {
	ctx := base.NewCtx(o.clock, o.bounds.Load().DiskLimit())
	disk := NewDiskProtobufClient("http://"+addr, o.wire)
	state, err := disk.Describe(ctx, &DescribeRequest{})
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
	next, wanted, told := o.plan(now, view, filled)
	for _, retiring := range found.retiring {
		if !retiring.Complete {
			told = append(told, fmt.Sprintf("machine %s is being retired", retiring.Node))
		}
	}
	o.mending.mu.Lock()
	o.mending.told = told
	o.mending.mu.Unlock()
	asked := disksAsk{Base: now.Current, Next: next, Wanted: wanted}
	switch {
	case next != nil:
		if o.own("disks.propose", asked) != nil {
			return "", false
		}
		o.counters.Add("disk_sets_mended", 1)
		return fmt.Sprint("proposed ", next.Stamp), true
	case wanted != now.Wanted:
		return fmt.Sprint("wanted ", wanted), o.own("disks.want", asked) == nil
	}
	done := o.finishRetiring(found)
	return fmt.Sprint(told, filled), done || view.asking || now.Under()
}

// plan says what the next set should be, how many voters are wanted then, and
// in words what is amiss.
func (o *Owner) plan(now *Disks, view *outlook, filled map[string]int) (next *DiskSet, wanted int, told []string) {
	recover := o.bounds.Load().Recover
	set, need := now.Current, o.mending.least()
	votes, lost, whole := len(voters(set)), 0, 0
	for _, entry := range set.Disks {
		stands := view.conditions[entry.Id]
		switch {
		case stands.gone:
			told = append(told, fmt.Sprintf("disk %s at %s was lost; another disk answers there", entry.Id, entry.Addr))
		case stands.silent > 0:
			told = append(told, fmt.Sprintf("disk %s at %s is silent", entry.Id, entry.Addr))
		case entry.Learner:
			told = append(told, fmt.Sprintf("disk %s at %s is being filled: %d of %d slots", entry.Id, entry.Addr, filled[entry.Id], Slots))
		}
		if !entry.Learner && stands.lost() {
			lost++
		}
		if entry.Learner && filled[entry.Id] == Slots && stands.well() {
			whole++
		}
	}
	wanted = max(now.Wanted, need)
	if now.Wanted == 0 || lost == 0 {
		wanted = max(wanted, votes)
	}
	// silent for long enough to give its place to a learner that is whole
	replaceable := func(c condition) bool {
		return c.silent >= recover/16 || !c.alive && c.silent >= o.bounds.Load().Beat()
	}
	others := func(id string) bool {
		for _, entry := range voters(set) {
			if entry.Id != id && !view.conditions[entry.Id].well() {
				return false
			}
		}
		return true
	}
	drop, promote := "", ""
	choose := func(fits func(entry *DiskEntry, c condition) bool) {
		for _, entry := range set.Disks {
			if drop == "" && promote == "" && fits(entry, view.conditions[entry.Id]) {
				if entry.Learner {
					promote = entry.Id
				} else {
					drop = entry.Id
				}
			}
		}
	}
	fresh := func(entry *DiskEntry) bool { return view.conditions[entry.Id].fresh }
	heard := len(base.Filter(voters(set), fresh)) == votes
	spare := votes-1 >= need
	choose(func(entry *DiskEntry, c condition) bool { return !entry.Learner && spare && c.gone })
	choose(func(entry *DiskEntry, c condition) bool {
		return !entry.Learner && spare && replaceable(c) && votes-1+whole >= wanted
	})
	choose(func(entry *DiskEntry, c condition) bool {
		return entry.Learner && heard && filled[entry.Id] == Slots && c.well() && !view.leaving[entry.Node]
	})
	if promote != "" {
		wanted = max(wanted, votes+1-lost)
	}
	choose(func(entry *DiskEntry, c condition) bool {
		return !entry.Learner && view.leaving[entry.Node] && spare && others(entry.Id)
	})
	choose(func(entry *DiskEntry, c condition) bool {
		return !entry.Learner && spare && !c.alive && c.silent >= recover && others(entry.Id)
	})
	next = &DiskSet{Stamp: set.Stamp + 1, Cluster: set.Cluster}
	changed := drop != "" || promote != ""
	for _, entry := range set.Disks {
		stands := view.conditions[entry.Id]
		if entry.Id == drop {
			o.counters.Add("disks_dropped", 1)
			if view.leaving[entry.Node] {
				wanted = max(need, min(wanted, votes-1))
			}
			continue
		}
		if entry.Learner && (stands.gone || stands.silent >= recover/8 || view.leaving[entry.Node]) {
			changed = true
			continue
		}
		next.Disks = append(next.Disks, &DiskEntry{Id: entry.Id, Addr: entry.Addr, Zone: entry.Zone, Node: entry.Node, Learner: entry.Learner && entry.Id != promote})
	}
	for _, entry := range view.candidates {
		changed = true
		next.Disks = append(next.Disks, entry)
	}
	if !changed {
		return nil, wanted, told
	}
	return next, wanted, append(told, fmt.Sprintf("disk set %d is under way", next.Stamp))
}

// finishRetiring concludes retirements whose disk is out of the set, which is
// settled, and of which nothing else is kept.
func (o *Owner) finishRetiring(found *recorded) bool {
	done := false
	for _, retiring := range found.retiring {
		stays := slices.ContainsFunc(found.disks.Current.Disks, func(entry *DiskEntry) bool {
			return entry.Node == retiring.Node || entry.Id == retiring.Disk
		})
		if retiring.Complete || stays {
			continue
		}
		if emptied := o.mending.emptied; emptied != nil && retiring.Disk != "" {
			if empty, err := emptied(base.NewCtx(o.clock, o.bounds.Load().Call()), retiring.Disk); err != nil || !empty {
				continue
			}
		}
		done = o.own("retiring.conclude", retiring) == nil || done
	}
	return done
}
