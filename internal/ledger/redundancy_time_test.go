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
	// linkBytesPerSecond is the bandwidth of a storage machine's link at the larger
	// sites: 600 Mbit/s.
	linkBytesPerSecond = 75 << 20
	// historyTurns is the number of turns that are held, and turnBytes the size of
	// each.
	historyTurns = 2000
	turnBytes    = 5700
	// refillLimit is what remains of catch_up_s (4.1 s) once the loss of a disk has
	// been detected and the set has changed.
	refillLimit = 2 * time.Second
)

// limitBandwidth limits the link of each store to linkBytesPerSecond.
func (f *fleet) limitBandwidth() {
	freeAt := map[string]time.Duration{}
	f.net.Intercept = func(m *simulate.Message) *http.Response {
		response, _ := m.Forward(m.Body)
		if response == nil || !strings.Contains(m.Path, "Ledger/") {
			return response
		}
		body, _ := io.ReadAll(response.Body)
		response.Body = io.NopCloser(bytes.NewReader(body))
		clock := m.From.Clock()
		start := max(freeAt[m.From.Name], clock.Now())
		freeAt[m.From.Name] = start + time.Duration(len(body)+len(m.Body))*time.Second/linkBytesPerSecond
		clock.Sleep(freeAt[m.From.Name] - clock.Now())
		return response
	}
}

// TestRedundancyIsRestoredInTime wipes as many disks as may be lost at once and
// checks that every store is complete again within refillLimit.
func TestRedundancyIsRestoredInTime(t *testing.T) {
	for _, size := range []struct{ stores, tolerate int }{{4, 1}, {9, 2}} {
		for _, syncTime := range []time.Duration{500 * time.Microsecond, 2 * time.Millisecond} {
			t.Run(fmt.Sprint(size.stores, "/", syncTime), func(t *testing.T) {
				runFleet(t, 1, size.stores, size.tolerate, func(f *fleet) {
					for _, m := range f.machines {
						m.files.MinSyncTime, m.files.MaxSyncTime = syncTime, syncTime
					}
					f.fillHistory()
					f.limitBandwidth()
					for _, m := range f.machines[:size.tolerate] {
						removed := m.diskID
						f.wipe(m)
						f.start(m)
						f.sleep(50 * time.Millisecond)
						f.replaceDisk(removed, m)
					}
					began := f.now()
					c := f.newClient(1)
					f.is.True(f.waitComplete(c))
					elapsed := f.now() - began
					t.Logf("%d stores, %d wiped, sync %v: complete after %v with %d KB in the first", size.stores, size.tolerate, syncTime, elapsed, f.machines[0].describe().Bytes>>10)
					f.is.True(elapsed < refillLimit)
				})
			})
		}
	}
}

// fillHistory writes historyTurns turns in programs of ten turns each.
func (f *fleet) fillHistory() {
	c := f.newClient(0)
	text := bytes.Repeat([]byte("x"), turnBytes)
	for i := range historyTurns / 10 {
		s := f.newSession(c, fmt.Sprintf("h%d", i))
		for turn := range 10 {
			id := fmt.Sprintf("%s.%d", s.program, turn)
			_, err := s.begin(id)
			f.is.NoErr(err)
			f.is.NoErr(c.Finish(f.ctx(), &ledger.FinishParams{Program: s.program, Session: s.session, Turn: id, Owner: s.owner, Run: s.run, Epoch: s.epoch,
				Input: text, Output: text[:100], Budgeted: true, Tokens: s.maxTokens, Retention: retention}))
		}
	}
}
