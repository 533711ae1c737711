package worker

import (
	"runtime"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

// newTestPicker returns a picker whose roster is decoded from a feed frame.
func newTestPicker(values map[string][]byte) (*Picker, *UsageReports) {
	clock, bounds := base.NewRealClock(), &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	reports := NewUsageReports(clock, bounds)
	picker := NewPicker(clock, bounds, base.NewCounters(), reports, "z")
	picker.SetRoster(DecodeRoster(values))
	return picker, reports
}

// Each of the reasons excludes a worker on its own.
func TestPickerSkipsIneligibleWorkers(t *testing.T) {
	list := base.MustMarshal(List{Stamp: 1, Workers: []Worker{{ID: "a", Pool: "p", Capacity: 1, Incarnation: "one"}, {ID: "b", Pool: "p", Capacity: 1}}})
	notice := func(incarnation string) []byte {
		return base.MustMarshal(Notice{Worker: "a", Incarnation: incarnation, Leaving: true})
	}
	tests := []struct {
		name     string
		values   map[string][]byte
		prepare  func(picker *Picker, reports *UsageReports)
		eligible bool
	}{
		{"nothing", map[string][]byte{ListKey: list}, func(*Picker, *UsageReports) {}, true},
		{"a notice in the feed", map[string][]byte{ListKey: list, LeavingKeyPrefix + "a": notice("one")}, func(*Picker, *UsageReports) {}, false},
		{"a notice for an unknown incarnation", map[string][]byte{ListKey: list, LeavingKeyPrefix + "a": notice("life-1")}, func(*Picker, *UsageReports) {}, false},
		{"the worker's own report", map[string][]byte{ListKey: list}, func(_ *Picker, reports *UsageReports) {
			reports.Record(&membership.Usage{Worker: "a", Number: 1, Leaving: true})
		}, false},
		{"a refusal seen by this node", map[string][]byte{ListKey: list}, func(picker *Picker, _ *UsageReports) {
			picker.MarkLeaving(&Worker{ID: "a", Incarnation: "one"})
		}, false},
		{"not listed", map[string][]byte{ListKey: base.MustMarshal(List{Stamp: 2, Workers: []Worker{{ID: "b", Pool: "p", Capacity: 1}}})}, func(*Picker, *UsageReports) {}, false},
		{"full according to its report", map[string][]byte{ListKey: list}, func(_ *Picker, reports *UsageReports) {
			reports.Record(&membership.Usage{Worker: "a", Incarnation: "one", Number: 2, Load: 1})
		}, false},
		{"an older report is dropped", map[string][]byte{ListKey: list}, func(_ *Picker, reports *UsageReports) {
			reports.Record(&membership.Usage{Worker: "a", Incarnation: "one", Number: 2})
			reports.Record(&membership.Usage{Worker: "a", Incarnation: "one", Number: 1, Leaving: true})
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			picker, reports := newTestPicker(tt.values)
			tt.prepare(picker, reports)
			req := &Requirements{Pool: "p", LastWorker: "a", AffinityKey: "s", Tried: map[string]bool{"b": true}}
			chosen, err := picker.Acquire(base.NewCtx(base.NewRealClock(), 0), req)
			is.Equal(err == nil, tt.eligible)
			if tt.eligible {
				is.Equal(chosen.ID, "a")
				_, err = picker.Acquire(base.NewCtx(base.NewRealClock(), 0), req) // one more than it can take
				is.True(err != nil)
				picker.Release(chosen, req, time.Second)
				_, err = picker.Acquire(base.NewCtx(base.NewRealClock(), 0), req)
				is.NoErr(err)
			}
		})
	}
}

// Among queued requests of the same urgency, the site with the fewest requests in
// flight is served first, and then the program with the fewest.
func TestQueueIsFairBySiteThenProgram(t *testing.T) {
	is := is.New(t)
	picker, _ := newTestPicker(map[string][]byte{ListKey: base.MustMarshal(List{Stamp: 1, Workers: []Worker{{ID: "a", Pool: "p", Capacity: 3}}})})
	request := func(site, program string) *Requirements {
		return &Requirements{Pool: "p", Site: site, Program: program, AffinityKey: program, MaxQueue: 8, Tried: map[string]bool{}}
	}
	ctx := base.NewCtx(base.NewRealClock(), time.Minute)
	inFlight := []*Requirements{request("crowded", "one"), request("crowded", "one"), request("crowded", "two")}
	var last *Worker
	for _, req := range inFlight {
		chosen, err := picker.Acquire(ctx, req)
		is.NoErr(err)
		last = chosen
	}
	granted := make(chan string)
	for i, req := range []*Requirements{request("crowded", "one"), request("crowded", "three"), request("quiet", "four")} {
		go func() {
			if _, err := picker.Acquire(ctx, req); err == nil {
				granted <- req.Program
			}
		}()
		for queued := 0; queued <= i; runtime.Gosched() {
			picker.mu.Lock()
			queued = len(picker.queue)
			picker.mu.Unlock()
		}
	}
	for _, want := range []string{"four", "three"} {
		picker.Release(last, inFlight[2], 0)
		is.Equal(<-granted, want)
	}
}

// A worker that keeps failing comes last for longer each time, until it gives a good answer.
func TestFailingWorkersAreChosenLast(t *testing.T) {
	is := is.New(t)
	picker, _ := newTestPicker(map[string][]byte{ListKey: base.MustMarshal(List{Stamp: 1, Workers: []Worker{{ID: "a", Pool: "p", Capacity: 1, Zone: "z"}, {ID: "b", Pool: "p", Capacity: 1, Zone: "y"}}})})
	choose := func(tried ...string) string {
		req := &Requirements{Pool: "p", LastWorker: "a", AffinityKey: "s", Tried: map[string]bool{}}
		for _, id := range tried {
			req.Tried[id] = true
		}
		chosen, err := picker.Acquire(base.NewCtx(base.NewRealClock(), 0), req)
		if err != nil {
			return ""
		}
		picker.Release(chosen, req, time.Millisecond)
		return chosen.ID
	}
	is.Equal(choose(), "a")
	clock := base.NewRealClock()
	expired, ctx := base.NewCtx(clock, 0), base.NewCtx(clock, time.Minute)
	picker.ReportFailure(expired, "a")
	is.Equal(choose(), "b")
	delete(picker.avoidUntil, "a")
	is.Equal(choose(), "a") // the request may have waited elsewhere
	lasted := time.Duration(0)
	for range 2 * maxFailureDoublings {
		picker.ReportFailure(ctx, "a")
		delete(picker.avoidUntil, "a")
		is.Equal(choose(), "b")
		is.Equal(choose("b"), "a") // no other can be chosen
		picker.inFlight["b"] = 1
		is.Equal(choose(), "a") // the other has no room
		delete(picker.inFlight, "b")
		left := picker.failing["a"].until - picker.clock.Now()
		is.True(left > lasted || picker.failing["a"].failures > maxFailureDoublings)
		lasted = left
	}
	picker.ReportSuccess("a")
	is.Equal(choose(), "a")
	picker.ReportFailure(ctx, "a")
	picker.SetRoster(&Roster{Pools: map[string][]Worker{}})
	is.Equal(len(picker.failing), 0)
}
