package fleet

import (
	"fmt"
	"io"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"

	"github.com/juju/errors"
)

// CounterTotals returns the sums of the counters of all processes that respond.
func (f *Fleet) CounterTotals() map[string]int64 {
	total := map[string]int64{}
	for _, p := range f.All() {
		for name, count := range p.Counters() {
			total[name] += count
		}
	}
	return total
}

// perCompletedTurn returns the increase of some counters per turn. It returns nil if
// the counters cannot be compared: there are none from before, or a process was
// restarted, so that its counters started again at 0.
func perCompletedTurn(before, after map[string]int64, turnCount float64) map[string]float64 {
	if before == nil {
		return nil
	}
	for name := range after {
		if after[name] < before[name] {
			return nil
		}
	}
	perTurn := map[string]float64{}
	for _, name := range []string{"disk_syncs", "disk_records", "messages_sent", "register_changes", "register_confirms", "legs_sent"} {
		perTurn[name] = float64(after[name]-before[name]) / turnCount
	}
	return perTurn
}

// WriteReport writes the result of a run as text or as JSON. It returns an error if the
// tally has a breach.
func (f *Fleet) WriteReport(out io.Writer, tally *standin.Tally, workers *Workers, before map[string]int64, duration time.Duration, asJSON bool) error {
	after := f.CounterTotals()
	turnCount := int64(max(1, tally.Counts["turns_whole"]))
	modelRuns, prefixHits := 0, 0
	for _, model := range workers.Models {
		_, _, runs, reused := model.Stats()
		modelRuns, prefixHits = modelRuns+runs, prefixHits+reused
	}
	perTurn := perCompletedTurn(before, after, float64(turnCount))
	report := map[string]any{"seconds": duration.Seconds(), "callers": tally.Counts, "per_turn": perTurn, "model_runs": modelRuns, "prefix_hits": prefixHits,
		"slowest_turn_s": tally.SlowestTurn.Seconds(), "breaches": tally.Breaches, "counters": after}
	if asJSON {
		_, _ = fmt.Fprintln(out, string(base.MustMarshal(report)))
	} else {
		_, _ = fmt.Fprintf(out, "%.1f s, %d model runs, %d with a cached prefix, slowest turn %.2f s\n", duration.Seconds(), modelRuns, prefixHits, tally.SlowestTurn.Seconds())
		for _, name := range base.SortedKeys(tally.Counts) {
			_, _ = fmt.Fprintf(out, "  %-40s %d\n", name, tally.Counts[name])
		}
		if perTurn != nil {
			_, _ = fmt.Fprintln(out, "per completed turn:")
		}
		for _, name := range base.SortedKeys(perTurn) {
			_, _ = fmt.Fprintf(out, "  %-40s %.2f\n", name, perTurn[name])
		}
		for _, breach := range tally.Breaches {
			_, _ = fmt.Fprintln(out, "BREACH:", breach)
		}
	}
	if len(tally.Breaches) > 0 {
		return errors.Errorf("%d breaches", len(tally.Breaches))
	}
	return nil
}
