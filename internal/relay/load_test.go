package relay_test

import (
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/route"
)

// TestFullWorkersAreTriedAgain guards against a node that refuses requests for good once all workers
// have reported that they are full, since only a request brings a new report.
func TestFullWorkersAreTriedAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.addWorker("a", "z1", 6)
	f.addWorker("b", "z1", 6)
	r := f.relay("z1")
	var before, after *base.RequestError
	f.run(func() {
		_, before = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		r.ReportLoad(100)
		f.clock.Sleep(base.DefaultBounds().Recovery)
		_, after = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
	})
	if before != nil || after != nil {
		t.Errorf("refused before the reports: %v, and after them: %v", before, after)
	}
}
