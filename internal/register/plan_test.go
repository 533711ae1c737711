package register

import (
	"testing"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// planned returns the plan for a disk set, with a fault budget of one machine.
func planned(record *DiskSetRecord, view *clusterView, filledShards map[string]int) *setPlan {
	srv := &Server{bounds: &base.AtomicPointer[base.Bounds]{}, reconciler: &reconciler{tolerate: 1}}
	srv.bounds.Store(base.DefaultBounds())
	return srv.plan(record, view, filledShards, anyChange)
}

// votersOf returns a settled record whose set consists of voters, each on a machine of the
// same name.
func votersOf(target int, ids ...string) *DiskSetRecord {
	set := &DiskSet{Stamp: 7}
	for _, id := range ids {
		set.Disks = append(set.Disks, &DiskEntry{Id: id, Addr: id + ":1", Node: id})
	}
	return &DiskSetRecord{Current: set, Settled: true, SettledShards: ShardCount, TargetVoters: target}
}

// viewOf returns a view in which the disks of a record are healthy.
func viewOf(record *DiskSetRecord) *clusterView {
	view := &clusterView{conditions: map[string]diskCondition{}, retiring: map[string]bool{}}
	for _, entry := range record.Current.Disks {
		view.conditions[entry.Id] = diskCondition{known: true, fresh: true, alive: true}
	}
	return view
}

// Guards against CONFIG: a lost disk that was last observed before its replacement got a vote
// was counted as one more machine.
func TestStaleObservationLeavesTargetVoters(t *testing.T) {
	is := is.New(t)
	record := votersOf(3, "a", "b", "c", "lost")
	view := viewOf(record)
	view.conditions["lost"] = diskCondition{known: true, alive: true}
	plan := planned(record, view, nil)
	is.Equal(plan.targetVoters, 3)
	is.Equal(plan.set, nil)
	view.conditions["lost"] = diskCondition{known: true, fresh: true, alive: true, replaced: true}
	plan = planned(record, view, nil)
	is.Equal(plan.targetVoters, 3)
	is.Equal(plan.dropped, 1)
	is.Equal(len(plan.set.Disks), 3)
}

// Guards against a retiring disk that loses its vote while another voter may be lost.
func TestStaleObservationDelaysRetirement(t *testing.T) {
	is := is.New(t)
	record := votersOf(4, "a", "b", "c", "retiring")
	view := viewOf(record)
	view.retiring["retiring"] = true
	view.conditions["a"] = diskCondition{known: true, alive: true}
	is.Equal(planned(record, view, nil).set, nil)
	view.conditions["a"] = diskCondition{known: true, fresh: true, alive: true}
	plan := planned(record, view, nil)
	is.Equal(len(plan.set.Disks), 3)
	is.Equal(plan.targetVoters, 3)
}

// Guards against CONFIG: with more voters wanted than machines exist, a lost disk keeps its
// vote beside its replacement.
func TestTargetVotersFollowMachines(t *testing.T) {
	learner := &DiskEntry{Id: "d", Addr: "d:1", Node: "d", Learner: true}
	for _, row := range []struct {
		name   string
		adapt  func(record *DiskSetRecord, view *clusterView)
		target int
	}{
		{"no machine may join", func(*DiskSetRecord, *clusterView) {}, 3},
		{"a machine may join", func(_ *DiskSetRecord, view *clusterView) { view.joining = true }, 4},
		{"a learner is being filled", func(record *DiskSetRecord, view *clusterView) {
			record.Current.Disks = append(record.Current.Disks, learner)
			view.conditions["d"] = diskCondition{known: true, fresh: true, alive: true}
		}, 4},
		{"a voter is lost", func(_ *DiskSetRecord, view *clusterView) {
			view.conditions["a"] = diskCondition{known: true, fresh: true, silentFor: 1}
		}, 4},
		{"the recorded number is less than the voters", func(record *DiskSetRecord, view *clusterView) {
			record.TargetVoters, view.joining = 2, true
		}, 3},
		{"no number is recorded", func(record *DiskSetRecord, view *clusterView) {
			record.TargetVoters = 0
			view.conditions["a"] = diskCondition{known: true, fresh: true, silentFor: 1}
		}, 3},
	} {
		t.Run(row.name, func(t *testing.T) {
			record := votersOf(4, "a", "b", "c")
			view := viewOf(record)
			row.adapt(record, view)
			is.New(t).Equal(planned(record, view, nil).targetVoters, row.target)
		})
	}
}
