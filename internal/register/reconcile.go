package register

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
)

// reconciler brings the disk set to what it should be. It is active at the leader
// of shard 0, which observes the storage machines and the set:
//
//   - a blank disk is formatted and joins as a learner;
//   - a learner that holds all shards becomes a voter;
//   - a disk that can never come back, because another disk answers at its
//     address, is dropped;
//   - a silent disk is dropped once a filled learner can replace it, or after a
//     long silence if the remaining voters suffice.
//
// Each change adds or removes at most one voter, so that majorities before and
// after it intersect; learners may be added and removed with it. A frozen or cut
// off machine keeps its vote while there is no replacement.
type reconciler struct {
	// tolerate is how many machines may be lost at once, with their disks.
	tolerate int
	// isEmpty must hold, if set, before a retirement is complete.
	isEmpty func(ctx *base.Ctx, disk string) (bool, error)
	// redundancy must be complete, if set, before a planned change is made.
	redundancy RedundancyChecker

	mu           sync.Mutex
	delay        changeDelay
	observations map[string]*observation
	// epoch is this leader's when the observations were made; observations of
	// another epoch may be out of date. stamp is the observed set's, which has
	// been in force since setSince.
	epoch, stamp uint64
	setSince     time.Duration
	// status describes in words what is in progress.
	status []string
}

// EnableReconcile makes this core reconcile the disk set when it leads shard 0, so
// that the control state survives the loss of up to tolerate machines, with their
// disks, at once. It is called before Run.
func (srv *Server) EnableReconcile(tolerate int) {
	srv.reconciler = &reconciler{tolerate: tolerate, observations: map[string]*observation{}}
}

// SetEmptyCheck adds a condition for a retirement to be complete: that no other
// data is left on the disk. It is called after EnableReconcile and before Run.
func (srv *Server) SetEmptyCheck(isEmpty func(ctx *base.Ctx, disk string) (bool, error)) {
	srv.reconciler.isEmpty = isEmpty
}

// ReconcileEnabled reports whether the disk set is reconciled automatically.
func (srv *Server) ReconcileEnabled() bool { return srv.reconciler != nil }

// ReconcileStatus describes in words what is in progress. It is empty except at the
// leader of shard 0.
func (srv *Server) ReconcileStatus() []string {
	if srv.reconciler == nil {
		return nil
	}
	srv.reconciler.mu.Lock()
	defer srv.reconciler.mu.Unlock()
	return slices.Clone(srv.reconciler.status)
}

// requiredVoters returns how many voters must remain in the set.
func (r *reconciler) requiredVoters() int { return max(minVoters, 2*r.tolerate+1) }

// reset discards all observations when another core leads shard 0.
func (r *reconciler) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations, r.status, r.stamp, r.epoch, r.delay = map[string]*observation{}, nil, 0, 0, changeDelay{}
}

// diskOfNode returns the disk that was observed on a machine.
func (r *reconciler) diskOfNode(node string) (id string, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, addr := range base.SortedKeys(r.observations) {
		if state := r.observations[addr].state; state != nil && state.Node == node {
			return state.Id, true
		}
	}
	return "", false
}

// reconcileDiskSet proposes the next change of the disk set, if one is needed, and
// concludes retirements otherwise. Its results are those of reconfigureStep.
func (srv *Server) reconcileDiskSet(records *feedRecords, filledShards map[string]int) (progress string, more bool) {
	record, view := records.diskSet, srv.observe(records)
	plan := srv.plan(record, view, filledShards, repairOnly)
	if plan.set == nil && plan.deferred {
		plan = srv.plannedChange(record, view, filledShards)
	}
	status := plan.status
	concluded := false
	if plan.set == nil {
		retirements := srv.concludeRetirements(records)
		concluded = retirements.concluded
		status = append(status, retirements.status...)
	}
	srv.reconciler.mu.Lock()
	srv.reconciler.status = status
	srv.reconciler.mu.Unlock()
	args := diskSetArgs{Base: record.Current, Next: plan.set, TargetVoters: plan.targetVoters}
	switch {
	case plan.set != nil:
		if srv.applyToFeed("disks.propose", args) != nil {
			return "", false
		}
		srv.counters.Add("disk_sets_mended", 1)
		srv.counters.Add("disks_dropped", int64(plan.dropped))
		return fmt.Sprint("proposed ", plan.set.Stamp), true
	case plan.targetVoters != record.TargetVoters:
		return fmt.Sprint("target voters ", plan.targetVoters), srv.applyToFeed("disks.want", args) == nil
	}
	return fmt.Sprint(status, filledShards), concluded || view.pending || record.ChangePending()
}

// plannedChange plans a change that no loss makes necessary. It waits, and says
// so, while a disk lacks data that it should hold; once it has waited for the
// recovery bound, disks may be added but none removed.
func (srv *Server) plannedChange(record *DiskSetRecord, view *clusterView, filledShards map[string]int) *setPlan {
	redundancy := srv.checkRedundancy(record.Current)
	scope := anyChange
	switch {
	case redundancy.full():
	case redundancy.waited >= srv.bounds.Load().Recovery:
		scope = repairAndGrowth
	default:
		scope = repairOnly
	}
	plan := srv.plan(record, view, filledShards, scope)
	if plan.set == nil && !redundancy.full() {
		plan.status = append(plan.status, "the next planned change of the disk set waits: "+redundancy.describe())
	}
	return plan
}
