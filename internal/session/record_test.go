// Conformance tests for the tables of the design page: the phases of a Run, the
// operation states, and how limits are bounded.
package session

import (
	"testing"
	"time"

	"fordseam/internal/budget"
	"fordseam/internal/settings"

	"github.com/matryer/is"
)

func TestPhaseTransitions(t *testing.T) {
	active := []Phase{Pending, Scheduled, Running, Ready, Finalizing}
	terminal := []Phase{Succeeded, Failed, Cancelled}
	is := is.New(t)
	for from, phase := range active {
		is.True(!phase.Terminal())
		for to, next := range active {
			is.Equal(phase.CanBecome(next), to > from) // only to a later phase
		}
		for _, terminalPhase := range terminal {
			is.True(phase.CanBecome(terminalPhase)) // any active Run may end
		}
	}
	for _, terminalPhase := range terminal {
		is.True(terminalPhase.Terminal())
		for _, next := range append(active, terminal...) {
			is.True(!terminalPhase.CanBecome(next)) // a terminal phase never changes
		}
	}
}

func TestOperationStateTransitions(t *testing.T) {
	is := is.New(t)
	transitions := map[OperationState][]OperationState{
		OpQueued:  {OpRunning, OpFailed, OpCancelled, OpTimedOut},
		OpRunning: {OpSucceeded, OpFailed, OpCancelled, OpTimedOut},
	}
	all := []OperationState{OpQueued, OpRunning, OpSucceeded, OpFailed, OpCancelled, OpTimedOut}
	for _, from := range all {
		for _, to := range all {
			want := false
			for _, next := range transitions[from] {
				want = want || next == to
			}
			is.Equal(from.CanBecome(to), want)
		}
	}
}

func TestTerminationOnlyEscalates(t *testing.T) {
	is := is.New(t)
	rows := []struct{ current, requested, want budget.Termination }{
		{"", "", ""}, {"", budget.Drain, budget.Drain}, {"", budget.Immediate, budget.Immediate},
		{budget.Drain, budget.Immediate, budget.Immediate}, {budget.Drain, "", budget.Drain}, {budget.Drain, budget.Drain, budget.Drain},
		{budget.Immediate, budget.Drain, budget.Immediate}, {budget.Immediate, "", budget.Immediate},
	}
	for _, row := range rows {
		is.Equal(row.current.Escalate(row.requested), row.want)
	}
}

func TestEffectiveLimitsAreTheMinimumOfRequestSiteAndGlobal(t *testing.T) {
	rows := []struct {
		document string
		queue    int
		timeout  time.Duration
		wantSize int
		wantMs   int64
	}{
		{``, 0, 0, 32, 300000},
		{``, 8, time.Second, 8, 1000},
		{``, 64, time.Hour, 32, 300000},
		{`"queue_size":16,"operation_timeout_s":60,`, 20, 0, 16, 60000},
		{`"queue_size":16,`, 4, 0, 4, 300000},
	}
	for _, row := range rows {
		is := is.New(t)
		tree, faults := settings.Parse([]byte(`{` + row.document + `"pools":{"m":{"kind":"model"}},"groups":{"g":{"sites":{"s":{"routes":{"r":{"kind":"model","pool":"m"}}}}}}}`))
		is.Equal(len(faults), 0)
		route, err := tree.Route("g", "s", "r")
		is.NoErr(err)
		size, ms := EffectiveLimits(route, row.queue, row.timeout)
		is.Equal(size, row.wantSize)
		is.Equal(ms, row.wantMs)
	}
}
