// How long it takes until a lost disk's copies stand elsewhere, with the disks
// and the link of the larger sites.
package ledger_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fordseam/internal/ledger"
	"fordseam/internal/simulate"
)

const (
	// linkBytes is what a storage machine's link carries in a second: 600 Mbit/s.
	linkBytes = 75 << 20
	// historyTurns and turnBytes are the turns that are held.
	historyTurns = 2000
	turnBytes    = 5700
	// fillBound is what is left of catch_up_s (4.1 s) once a lost disk has been
	// noticed and the set has changed.
	fillBound = 2 * time.Second
)

// narrowLinks has each store's link carry linkBytes a second.
func (f *fleet) narrowLinks() {
	free := map[string]time.Duration{}
	f.net.Meddle = func(m *simulate.Message) *http.Response {
		response, _ := m.Pass(m.Body)
		if response == nil || !strings.Contains(m.Path, "Ledger/") {
			return response
		}
		body, _ := io.ReadAll(response.Body)
		response.Body = io.NopCloser(bytes.NewReader(body))
		clock := m.From.Clock()
		from := max(free[m.From.Name], clock.Now())
		free[m.From.Name] = from + time.Duration(len(body)+len(m.Body))*time.Second/linkBytes
		clock.Sleep(free[m.From.Name] - clock.Now())
		return response
	}
}

// TestFullRedundancyWithinTheTimeToCatchUp wipes as many disks as may be lost
// and waits until every store is whole again.
func TestFullRedundancyWithinTheTimeToCatchUp(t *testing.T) {
	for _, size := range []struct{ stores, tolerate int }{{4, 1}, {9, 2}} {
		for _, sync := range []time.Duration{500 * time.Microsecond, 2 * time.Millisecond} {
			t.Run(fmt.Sprint(size.stores, "/", sync), func(t *testing.T) {
				play(t, 1, size.stores, size.tolerate, func(f *fleet) {
					for _, m := range f.stores {
						m.files.Quick, m.files.Slow = sync, sync
					}
					f.fillHistory()
					f.narrowLinks()
					for _, m := range f.stores[:size.tolerate] {
						gone := m.id
						f.wipe(m)
						f.start(m)
						f.sleep(50 * time.Millisecond)
						f.replace(gone, m)
					}
					began := f.now()
					c := f.client(1)
					f.is.True(f.settled(c))
					took := f.now() - began
					t.Logf("%d stores, %d wiped, sync %v: whole after %v with %d KB in the first", size.stores, size.tolerate, sync, took, f.stores[0].state().Bytes>>10)
					f.is.True(took < fillBound)
				})
			})
		}
	}
}

// fillHistory has programs of ten turns each, of which nobody reads.
func (f *fleet) fillHistory() {
	c := f.client(0)
	text := bytes.Repeat([]byte("x"), turnBytes)
	for place := range historyTurns / 10 {
		l := f.line(c, fmt.Sprintf("h%d", place))
		for turn := range 10 {
			id := fmt.Sprintf("%s.%d", l.program, turn)
			_, err := l.begin(id)
			f.is.NoErr(err)
			f.is.NoErr(c.Finish(f.ctx(), &ledger.FinishParams{Program: l.program, Session: l.session, Turn: id, Owner: l.owner, Run: l.run, Epoch: l.epoch,
				Input: text, Output: text[:100], Budgeted: true, Tokens: l.most, Retention: retain}))
		}
	}
}
