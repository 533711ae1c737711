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
	historyPrograms = 60
	historyRetain   = 10 * time.Minute
)

// historyWriter takes turns of many programs, one after the other, straight to
// the storage machines.
type historyWriter struct {
	fleet    *Fleet
	client   *ledger.Client
	turns    [][]string // those acknowledged, by program
	attempts int
	epochs   []uint64
	paused   bool
	writing  bool // a round is under way
	stopped  bool
}

func newHistoryWriter(f *Fleet) *historyWriter {
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	client := ledger.NewClient(f.CallerHost.Clock(), f.Net.Wire(f.CallerHost), f.set, f.CallerHost.Zone, f.Shape.Tolerate, bounds, base.NewCounters(), nil)
	return &historyWriter{fleet: f, client: client, turns: make([][]string, historyPrograms), epochs: make([]uint64, historyPrograms)}
}

func (w *historyWriter) ctx() *base.Ctx {
	return base.NewCtx(w.fleet.CallerHost.Clock(), 6*time.Second)
}

func programName(place int) string { return fmt.Sprintf("program-%d", place) }

// last is the newest acknowledged turn of a program.
func (w *historyWriter) last(place int) string {
	if count := len(w.turns[place]); count > 0 {
		return w.turns[place][count-1]
	}
	return ""
}

// turn takes one turn of a program and tells whether it was acknowledged.
func (w *historyWriter) turn(place int) bool {
	w.attempts++
	program, previous := programName(place), w.last(place)
	id := fmt.Sprintf("%s.%d", program, w.attempts)
	run := "run-" + program
	begun, err := w.client.Begin(w.ctx(), &ledger.BeginParams{Program: program, Session: "session", Turn: id, Previous: previous, Owner: "gateway",
		Run: run, Epoch: w.epochs[place], Confirmed: w.epochs[place] > 0, Retention: historyRetain})
	if err != nil || !begun.Granted {
		return false
	}
	w.epochs[place] = begun.Epoch
	err = w.client.Finish(w.ctx(), &ledger.FinishParams{Program: program, Session: "session", Turn: id, Previous: previous, Owner: "gateway",
		Run: run, Epoch: begun.Epoch, Input: []byte("in " + id), Output: []byte("out " + id), Retention: historyRetain})
	if err != nil {
		return false
	}
	w.turns[place] = append(w.turns[place], id)
	return true
}

// round takes one turn of each program.
func (w *historyWriter) round() {
	for place := range w.turns {
		if w.paused {
			return
		}
		w.turn(place)
	}
}

// keepWriting goes on with turns until it is stopped.
func (w *historyWriter) keepWriting() {
	w.fleet.CallerHost.Go(func() {
		for !w.stopped {
			if !w.paused {
				w.writing = true
				w.round()
				w.writing = false
			}
			w.fleet.CallerHost.Clock().Sleep(200 * time.Millisecond)
		}
	})
}

// missing says which programs' acknowledged turns are not all found.
func (w *historyWriter) missing() (lost []string) {
	for place := range w.turns {
		acknowledged := w.turns[place]
		if len(acknowledged) == 0 {
			continue
		}
		found, err := w.client.Chain(w.ctx(), programName(place), acknowledged[len(acknowledged)-1])
		switch {
		case err != nil:
			lost = append(lost, fmt.Sprintf("%s: %v", programName(place), err))
		case len(found) < len(acknowledged):
			lost = append(lost, fmt.Sprintf("%s: %d of %d turns", programName(place), len(found), len(acknowledged)))
		}
	}
	return lost
}

// nextTurnTries is how often a program tries to go on, as clients do that are
// told to come back.
const nextTurnTries = 3

// stuck says which programs cannot go on.
func (w *historyWriter) stuck() (stuck []string) {
	for place := range w.turns {
		taken := false
		for try := 0; try < nextTurnTries && !taken; try++ {
			taken = w.turn(place)
		}
		if !taken {
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

// slowHistory makes stores fill slowly: each request for what is missing takes
// a while, as it does with a whole retention window of turns.
func slowHistory(f *Fleet, span time.Duration) {
	f.Net.Intercept = func(m *Message) *http.Response {
		if strings.HasSuffix(m.Path, "Ledger/Fetch") {
			m.From.Clock().Sleep(span)
		}
		response, _ := m.Forward(m.Body)
		return response
	}
}
