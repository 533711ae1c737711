// What the owner of the set observes of each machine, and concludes from it.

package register

import (
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

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
func (o *Server) look(found *recorded) *outlook {
	m, now, beat := o.mending, o.clock.Now(), o.bounds.Load().Beat()
	set := found.disks.Current
	view := &outlook{conditions: map[string]condition{}, leaving: map[string]bool{}}
	for _, retiring := range found.retiring {
		view.leaving[retiring.Node] = true
	}
	lives := map[string]*membership.Member{}
	for _, member := range o.view.Live(membership.RoleStorage) {
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
	for _, member := range view.Live(membership.RoleStorage) {
		if !member.Leaving {
			departed[member.Addr] = false
		}
	}
	return departed
}

// see asks one disk how it stands and formats a blank one.
func (o *Server) see(seen *sighting, life, addr string, present bool, leaving map[string]bool, set *DiskSet) {
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
