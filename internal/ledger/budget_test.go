// Reservations of one program that cross on the way: each gateway reaches only
// a quorum of its own, and each message takes its own time.
package ledger_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
	"fordseam/internal/simulate"
)

func TestReservationsThatCross(t *testing.T) {
	for seed := uint64(1); seed <= seeds(400); seed++ {
		shape := []struct{ stores, tolerate int }{{3, 1}, {5, 2}}[seed%2]
		play(t, seed, shape.stores, shape.tolerate, func(f *fleet) {
			w := f.world
			blocked := map[string]bool{}
			longest := w.Between(5*time.Millisecond, 75*time.Millisecond)
			f.net.Meddle = func(m *simulate.Message) *http.Response {
				if strings.HasPrefix(m.From.Name, "edge") && strings.HasSuffix(m.Path, "/Begin") {
					if blocked[m.From.Name+m.To.Name] {
						return &http.Response{StatusCode: 503, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}
					}
					m.From.Clock().Sleep(w.Between(0, longest))
				}
				response, _ := m.Pass(m.Body)
				return response
			}
			budget, most := 10+w.Int64N(30), int64(10)
			clients := 3 + int(w.Int64N(6))
			handed, over := int64(0), 0
			for place := 0; place < clients; place++ {
				h := w.NewHost(fmt.Sprintf("edge-%d", place), fmt.Sprintf("zone-%d", w.Int64N(5)))
				for one := 0; one < shape.tolerate; one++ {
					blocked[fmt.Sprintf("edge-%dstore-%d", place, w.Int64N(int64(shape.stores)))] = true
				}
				c := f.clientOn(h)
				h.Go(func() {
					defer func() { over++ }()
					ctx := base.NewCtx(h.Clock(), 4*time.Second)
					turn := fmt.Sprintf("t%d", place)
					h.Clock().Sleep(w.Between(0, longest))
					_, err := c.Begin(ctx, &ledger.BeginParams{Program: "p", Session: "s" + turn, Turn: turn, Owner: h.Name, Run: "run" + turn,
						Budgeted: true, MaxTokens: most, Budget: budget, Retention: retain})
					if err != nil {
						f.is.True(base.IsCode(err, "over_budget"))
						return
					}
					handed += most
					if w.Chance(0.5) {
						_ = c.Finish(ctx, &ledger.FinishParams{Program: "p", Session: "s" + turn, Turn: turn, Owner: h.Name, Run: "run" + turn, Epoch: 1,
							Budgeted: true, Tokens: most, Retention: retain})
					}
				})
			}
			for over < clients {
				f.sleep(5 * time.Millisecond)
			}
			f.is.True(handed >= most) // somebody got through
			if handed >= budget+most {
				t.Errorf("seed %d: %d tokens were handed out of %d", seed, handed, budget)
			}
		})
	}
}
