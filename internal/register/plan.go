package register

import (
	"fmt"

	"fordseam/internal/base"
)

// changeScope limits which changes of the disk set may be planned.
type changeScope int

const (
	// repairOnly allows only what the loss of a disk makes necessary.
	repairOnly changeScope = iota
	// repairAndGrowth also allows adding disks, which removes no copy.
	repairAndGrowth
	// anyChange also allows removing the disks of retiring machines.
	anyChange
)

// restartDivisor gives the part of the recovery bound that a planned restart of a
// storage machine may take. It leaves enough of the catch-up time to fill the
// disks that replace its copies.
const restartDivisor = 8

// setPlan is the next change of the disk set.
type setPlan struct {
	// set is the next set; nil if nothing changes.
	set *DiskSet
	// targetVoters is how many voters there should be, once losses are replaced.
	targetVoters int
	// status describes in words what is wrong or in progress.
	status []string
	// deferred reports whether a change was left out because of the scope.
	deferred bool
	// dropped counts the voters that the change removes.
	dropped int
}

// planner chooses the next change of the disk set. A change adds or removes at
// most one voter.
type planner struct {
	*setPlan
	view         *clusterView
	current      *DiskSet
	filledShards map[string]int
	scope        changeScope
	bounds       *base.Bounds

	requiredVoters int // how many voters must remain
	voterCount     int
	healthyVoters  int // voters that were observed as healthy
	lostVoters     int // voters that are replaced or silent
	learners       int
	filledLearners int // healthy learners that hold all shards
	canDropVoter   bool

	drop, promote *DiskEntry
}

// plan chooses the next change of the disk set from what was observed, and
// describes what is wrong.
func (srv *Server) plan(record *DiskSetRecord, view *clusterView, filledShards map[string]int, scope changeScope) *setPlan {
	p := &planner{setPlan: &setPlan{}, view: view, current: record.Current, filledShards: filledShards, scope: scope, bounds: srv.bounds.Load(), requiredVoters: srv.reconciler.requiredVoters()}
	p.assess()
	p.setTargetVoters(record.TargetVoters)
	p.pickVoteChange()
	p.buildSet()
	return p.setPlan
}

// assess counts the voters, lost voters and filled learners of the set, and
// describes what is wrong.
func (p *planner) assess() {
	p.voterCount = len(voters(p.current))
	p.canDropVoter = p.voterCount-1 >= p.requiredVoters
	for _, entry := range p.current.Disks {
		condition := p.view.conditions[entry.Id]
		switch {
		case condition.replaced:
			p.status = append(p.status, fmt.Sprintf("disk %s at %s was lost; another disk answers there", entry.Id, entry.Addr))
		case condition.silentFor > 0:
			p.status = append(p.status, fmt.Sprintf("disk %s at %s is silent", entry.Id, entry.Addr))
		case entry.Learner:
			p.status = append(p.status, fmt.Sprintf("disk %s at %s is being filled: %d of %d shards", entry.Id, entry.Addr, p.filledShards[entry.Id], ShardCount))
		}
		switch {
		case entry.Learner:
			p.learners++
			if p.filledShards[entry.Id] == ShardCount && condition.healthy() {
				p.filledLearners++
			}
		case condition.lost():
			p.lostVoters++
		case condition.healthy():
			p.healthyVoters++
		}
	}
}

// setTargetVoters decides how many voters there should be, from the recorded number.
// The number stays while a voter is lost, or was not observed since the set last
// changed: a lost voter beside its replacement would be counted as a machine of its
// own, and then be kept in the set for lack of another replacement. While all voters
// are healthy the number is that of the machines that vote or may join.
func (p *planner) setTargetVoters(recorded int) {
	p.targetVoters = max(recorded, p.requiredVoters)
	if recorded == 0 {
		p.targetVoters = max(p.targetVoters, p.voterCount)
	}
	if p.healthyVoters < p.voterCount {
		return
	}
	mayGrow := p.learners > 0 || p.view.joining
	if !mayGrow || p.targetVoters < p.voterCount {
		p.targetVoters = max(p.requiredVoters, p.voterCount)
	}
}

// pickVoteChange picks the one voter to add or remove: first what a loss makes
// necessary, then a filled learner, then the disks of retiring machines and those
// that have been silent for the whole recovery bound.
func (p *planner) pickVoteChange() {
	p.pickDrop(func(_ *DiskEntry, condition diskCondition) bool { return condition.replaced })
	p.pickDrop(func(_ *DiskEntry, condition diskCondition) bool { return p.stoppedPermanently(condition) })
	p.pickDrop(func(_ *DiskEntry, condition diskCondition) bool {
		return p.replaceable(condition) && p.voterCount-1+p.filledLearners >= p.targetVoters
	})
	p.pickPromotion()
	p.pickDrop(func(entry *DiskEntry, condition diskCondition) bool {
		return p.view.retiring[entry.Node] && p.othersHealthy(entry.Id) && (condition.lost() || p.inScope(anyChange))
	})
	p.pickDrop(func(entry *DiskEntry, condition diskCondition) bool {
		return !condition.alive && condition.silentFor >= p.bounds.Recovery && p.othersHealthy(entry.Id)
	})
}

// inScope reports whether a planned change is allowed, and marks the plan as
// deferred if it is not.
func (p *planner) inScope(change changeScope) bool {
	if p.scope < change {
		p.deferred = true
		return false
	}
	return true
}

// replaceable reports whether a disk has been silent for long enough to be
// replaced by a filled learner.
func (p *planner) replaceable(condition diskCondition) bool {
	return condition.silentFor >= p.bounds.Recovery/16 || !condition.alive && condition.silentFor >= p.bounds.HeartbeatInterval()
}

// stoppedPermanently reports whether a machine announced that it would stop and
// has been silent for longer than a restart takes. Its replacement may have joined
// before it stopped, and then nothing else shows that its copies are missing.
func (p *planner) stoppedPermanently(condition diskCondition) bool {
	return condition.announcedLeave && condition.silentFor >= p.bounds.Recovery/restartDivisor
}

// othersHealthy reports whether all other voters are healthy.
func (p *planner) othersHealthy(id string) bool {
	for _, entry := range voters(p.current) {
		if entry.Id != id && !p.view.conditions[entry.Id].healthy() {
			return false
		}
	}
	return true
}

// hasVoteChange reports whether a voter to add or remove was already picked.
func (p *planner) hasVoteChange() bool { return p.drop != nil || p.promote != nil }

// pickDrop picks the first voter that fits for removal, if enough voters remain
// without it.
func (p *planner) pickDrop(eligible func(entry *DiskEntry, condition diskCondition) bool) {
	if !p.canDropVoter {
		return
	}
	for _, entry := range voters(p.current) {
		if !p.hasVoteChange() && eligible(entry, p.view.conditions[entry.Id]) {
			p.drop = entry
		}
	}
}

// pickPromotion picks a filled learner to become a voter, once every voter was
// observed since the set last changed. It is a repair if voters are missing and
// growth otherwise.
func (p *planner) pickPromotion() {
	if p.hasVoteChange() {
		return
	}
	for _, entry := range voters(p.current) {
		if !p.view.conditions[entry.Id].fresh {
			return
		}
	}
	missing := p.voterCount-p.lostVoters < p.targetVoters
	for _, entry := range p.current.Disks {
		eligible := entry.Learner && p.filledShards[entry.Id] == ShardCount && p.view.conditions[entry.Id].healthy() && !p.view.retiring[entry.Node]
		if eligible && !p.hasVoteChange() && (missing || p.inScope(repairAndGrowth)) {
			p.promote = entry
			p.targetVoters = max(p.targetVoters, p.voterCount+1-p.lostVoters)
		}
	}
}

// buildSet builds the next set if anything changes.
func (p *planner) buildSet() {
	next := &DiskSet{Stamp: p.current.Stamp + 1, Cluster: p.current.Cluster}
	changed, learnerCount := p.hasVoteChange(), 0
	for _, entry := range p.current.Disks {
		if entry == p.drop {
			p.dropped++
			if p.view.retiring[entry.Node] || p.stoppedPermanently(p.view.conditions[entry.Id]) {
				p.targetVoters = max(p.requiredVoters, min(p.targetVoters, p.voterCount-1))
			}
			continue
		}
		if entry.Learner && p.shouldDropLearner(entry) {
			changed = true
			continue
		}
		learner := entry.Learner && entry != p.promote
		if learner {
			learnerCount++
		}
		next.Disks = append(next.Disks, &DiskEntry{Id: entry.Id, Addr: entry.Addr, Zone: entry.Zone, Node: entry.Node, Learner: learner})
	}
	added := p.newLearners(learnerCount)
	next.Disks = append(next.Disks, added...)
	if !changed && len(added) == 0 {
		return
	}
	p.set = next
	p.status = append(p.status, fmt.Sprintf("the change to disk set %d is in progress", next.Stamp))
}

// shouldDropLearner reports whether a learner is removed: it is lost, or its
// machine is being retired.
func (p *planner) shouldDropLearner(entry *DiskEntry) bool {
	condition := p.view.conditions[entry.Id]
	if condition.replaced || condition.silentFor >= p.bounds.Recovery/8 {
		return true
	}
	return p.view.retiring[entry.Node] && p.inScope(anyChange)
}

// newLearners returns the candidates that become learners with this change: as
// many as voters are missing, and more of them only as growth.
func (p *planner) newLearners(learnerCount int) []*DiskEntry {
	healthyVoters := p.voterCount - p.lostVoters
	if p.promote != nil {
		healthyVoters++
	}
	missing := max(0, p.targetVoters-healthyVoters-learnerCount)
	if len(p.view.candidates) <= missing {
		return p.view.candidates
	}
	if p.inScope(repairAndGrowth) {
		missing = max(missing, p.faultBudget()-learnerCount)
	}
	return p.view.candidates[:min(max(0, missing), len(p.view.candidates))]
}

// faultBudget is how many machines may be lost at once. At most as many learners
// are filled at once as growth, so that enough copies stay where they are.
func (p *planner) faultBudget() int { return max(1, (p.requiredVoters-1)/2) }
