// A writer of turn histories: it keeps what storage machines acknowledged, and
// looks for all of it again.
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

// historyWriter takes turns of many programs, one after the other, straight to
// the storage machines.
type historyWriter struct {
	fleet      *Fleet
	client     *ledger.Client
	ackedTurns [][]string // those acknowledged, by program
	attempts   int
	epochs     []uint64
	paused     bool
	writing    bool // a round is under way
	stopped    bool
}

func newHistoryWriter(f *Fleet) *historyWriter {
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	client := ledger.NewClient(f.CallerHost.Clock(), f.Net.Wire(f.CallerHost), f.diskSet, f.CallerHost.Zone, f.Shape.FaultTolerance, bounds, base.NewCounters(), nil)
	return &historyWriter{fleet: f, client: client, ackedTurns: make([][]string, historyPrograms), epochs: make([]uint64, historyPrograms)}
}

func (w *historyWriter) ctx() *base.Ctx {
	return base.NewCtx(w.fleet.CallerHost.Clock(), 6*time.Second)
}

func programName(place int) string { return fmt.Sprintf("program-%d", place) }

// lastTurn is the newest acknowledged turn of a program.
func (w *historyWriter) lastTurn(place int) string {
	if count := len(w.ackedTurns[place]); count > 0 {
		return w.ackedTurns[place][count-1]
	}
	return ""
}

// runTurn takes one turn of a program and tells whether it was acknowledged.
func (w *historyWriter) runTurn(place int) bool {
	w.attempts++
	program, previous := programName(place), w.lastTurn(place)
	id := fmt.Sprintf("%s.%d", program, w.attempts)
	run := "run-" + program
	claim, err := w.client.Begin(w.ctx(), &ledger.BeginParams{Program: program, Session: "session", Turn: id, Previous: previous, Owner: "gateway",
		Run: run, Epoch: w.epochs[place], Confirmed: w.epochs[place] > 0, Retention: historyRetention})
	if err != nil || !claim.Granted {
		return false
	}
	w.epochs[place] = claim.Epoch
	err = w.client.Finish(w.ctx(), &ledger.FinishParams{Program: program, Session: "session", Turn: id, Previous: previous, Owner: "gateway",
		Run: run, Epoch: claim.Epoch, Input: []byte("in " + id), Output: []byte("out " + id), Retention: historyRetention})
	if err != nil {
		return false
	}
	w.ackedTurns[place] = append(w.ackedTurns[place], id)
	return true
}

// runRound takes one turn of each program.
func (w *historyWriter) runRound() {
	for place := range w.ackedTurns {
		if w.paused {
			return
		}
		w.runTurn(place)
	}
}

// start goes on with turns until it is stopped.
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

// missingTurns says which programs' acknowledged turns are not all found.
func (w *historyWriter) missingTurns() (missing []string) {
	for place := range w.ackedTurns {
		acknowledged := w.ackedTurns[place]
		if len(acknowledged) == 0 {
			continue
		}
		chain, err := w.client.Chain(w.ctx(), programName(place), acknowledged[len(acknowledged)-1])
		switch {
		case err != nil:
			missing = append(missing, fmt.Sprintf("%s: %v", programName(place), err))
		case len(chain) < len(acknowledged):
			missing = append(missing, fmt.Sprintf("%s: %d of %d turns", programName(place), len(chain), len(acknowledged)))
		}
	}
	return missing
}

// nextTurnAttempts is how often a program tries to go on, as clients do that are
// answeredAt to come back.
const nextTurnAttempts = 3

// stuckPrograms says which programs cannot go on.
func (w *historyWriter) stuckPrograms() (stuck []string) {
	for place := range w.ackedTurns {
		acknowledged := false
		for try := 0; try < nextTurnAttempts && !acknowledged; try++ {
			acknowledged = w.runTurn(place)
		}
		if !acknowledged {
			stuck = append(stuck, fmt.Sprintf("%s: cannot go on", programName(place)))
		}
	}
	return stuck
}

// pause ends the round that is under way and begins no other.
func (w *historyWriter) pause() {
	w.paused = true
	for w.writing {
		w.fleet.CallerHost.Clock().Sleep(5 * time.Millisecond)
	}
}

// delayHistoryFetches makes stores fill slowly: each request for what is missing takes
// a while, as it does with a whole retention window of turns.
func delayHistoryFetches(f *Fleet, delay time.Duration) {
	f.Net.Intercept = func(m *Message) *http.Response {
		if strings.HasSuffix(m.Path, "Ledger/Fetch") {
			m.From.Clock().Sleep(delay)
		}
		response, _ := m.Forward(m.Body)
		return response
	}
}
