// The next set: at most one change, chosen from what was observed.

package register

import (
	"fmt"

	"fordseam/internal/base"
)

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
func (o *Server) plan(now *DiskSetRecord, view *outlook, filled map[string]int, allowed allowance) *setPlan {
	p := &planner{setPlan: &setPlan{}, view: view, current: now.Current, filled: filled, allowed: allowed, bounds: o.bounds.Load(), need: o.mending.least()}
	p.survey()
	p.wanted = max(now.TargetVoters, p.need)
	if now.TargetVoters == 0 || p.lost == 0 {
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
			p.told = append(p.told, fmt.Sprintf("disk %s at %s is being filled: %d of %d slots", entry.Id, entry.Addr, p.filled[entry.Id], ShardCount))
		}
		if !entry.Learner && stands.lost() {
			p.lost++
		}
		if entry.Learner && p.filled[entry.Id] == ShardCount && stands.well() {
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
		ready := entry.Learner && p.filled[entry.Id] == ShardCount && p.view.conditions[entry.Id].well() && !p.view.leaving[entry.Node]
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
