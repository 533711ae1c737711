// A writer of turn histories that tests use to check that no acknowledged turn is lost.
package simulate

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
)

const (
	historyPrograms  = 60
	historyRetention = 10 * time.Minute
)

// historyWriter writes turns of many programs directly to the storage machines.
type historyWriter struct {
	fleet      *Fleet
	client     *ledger.Client
	ackedTurns [][]string // acknowledged turns by program
	attempts   int
	epochs     []uint64
	paused     bool
	writing    bool // a round is running
	stopped    bool
}

// newHistoryWriter returns a writer that runs on the callers' host.
func newHistoryWriter(f *Fleet) *historyWriter {
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	client := ledger.NewClient(f.CallerHost.Clock(), f.Net.HTTPClient(f.CallerHost), f.diskSet, f.CallerHost.Zone, f.Shape.FaultTolerance, bounds, base.NewCounters(), nil)
	return &historyWriter{fleet: f, client: client, ackedTurns: make([][]string, historyPrograms), epochs: make([]uint64, historyPrograms)}
}

// ctx returns a context with a timeout of 6 s.
func (w *historyWriter) ctx() *base.Ctx {
	return base.NewCtx(w.fleet.CallerHost.Clock(), 6*time.Second)
}

// programName returns the name of the program at an index.
func programName(index int) string { return fmt.Sprintf("program-%d", index) }

// lastTurn returns the newest acknowledged turn of a program, or "".
func (w *historyWriter) lastTurn(index int) string {
	if count := len(w.ackedTurns[index]); count > 0 {
		return w.ackedTurns[index][count-1]
	}
	return ""
}

// runTurn begins and finishes a program's next turn and reports whether it was acknowledged.
func (w *historyWriter) runTurn(index int) bool {
	w.attempts++
	program, previous := programName(index), w.lastTurn(index)
	id := fmt.Sprintf("%s.%d", program, w.attempts)
	run := "run-" + program
	claim, err := w.client.Begin(w.ctx(), &ledger.BeginParams{Program: program, Session: "session", Turn: id, Previous: previous, Owner: "gateway",
		Run: run, Epoch: w.epochs[index], Confirmed: w.epochs[index] > 0, Retention: historyRetention})
	if err != nil || !claim.Granted {
		return false
	}
	w.epochs[index] = claim.Epoch
	err = w.client.Finish(w.ctx(), &ledger.FinishParams{Program: program, Session: "session", Turn: id, Previous: previous, Owner: "gateway",
		Run: run, Epoch: claim.Epoch, Input: []byte("in " + id), Output: []byte("out " + id), Retention: historyRetention})
	if err != nil {
		return false
	}
	w.ackedTurns[index] = append(w.ackedTurns[index], id)
	return true
}

// runRound runs one turn of each program.
func (w *historyWriter) runRound() {
	for index := range w.ackedTurns {
		if w.paused {
			return
		}
		w.runTurn(index)
	}
}

// start runs rounds until the writer is stopped.
func (w *historyWriter) start() {
	w.fleet.CallerHost.Go(func() {
		for !w.stopped {
			if !w.paused {
				w.writing = true
				w.runRound()
				w.writing = false
			}
			w.fleet.CallerHost.Clock().Sleep(200 * time.Millisecond)
		}
	})
}

// missingTurns lists the programs whose acknowledged turns cannot all be read.
func (w *historyWriter) missingTurns() (missing []string) {
	for index := range w.ackedTurns {
		acknowledged := w.ackedTurns[index]
		if len(acknowledged) == 0 {
			continue
		}
		chain, err := w.client.Chain(w.ctx(), programName(index), acknowledged[len(acknowledged)-1])
		switch {
		case err != nil:
			missing = append(missing, fmt.Sprintf("%s: %v", programName(index), err))
		case len(chain) < len(acknowledged):
			missing = append(missing, fmt.Sprintf("%s: %d of %d turns", programName(index), len(chain), len(acknowledged)))
		}
	}
	return missing
}

// nextTurnAttempts is how often a program attempts its next turn, as a client that is told
// to retry does.
const nextTurnAttempts = 3

// stuckPrograms lists the programs whose next turn is not acknowledged.
func (w *historyWriter) stuckPrograms() (stuck []string) {
	for index := range w.ackedTurns {
		acknowledged := false
		for try := 0; try < nextTurnAttempts && !acknowledged; try++ {
			acknowledged = w.runTurn(index)
		}
		if !acknowledged {
			stuck = append(stuck, fmt.Sprintf("%s: next turn not acknowledged", programName(index)))
		}
	}
	return stuck
}

// pause waits for the running round to end and starts no other.
func (w *historyWriter) pause() {
	w.paused = true
	for w.writing {
		w.fleet.CallerHost.Clock().Sleep(5 * time.Millisecond)
	}
}

// delayHistoryFetches delays every fetch of missing turns, as large histories do, so that
// stores fill slowly.
func delayHistoryFetches(f *Fleet, delay time.Duration) {
	f.Net.Intercept = func(m *Message) *http.Response {
		if strings.HasSuffix(m.Path, "Ledger/Fetch") {
			m.From.Clock().Sleep(delay)
		}
		response, _ := m.Forward(m.Body)
		return response
	}
}
