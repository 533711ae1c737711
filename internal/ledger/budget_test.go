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

// TestConcurrentReservationsStayWithinBudget guards against concurrent reservations
// that do not see each other: every gateway reaches only its own quorum, and
// messages are delayed at random. Of three such reservations each may see only one
// other, so that one round alone would overspend the budget.
func TestConcurrentReservationsStayWithinBudget(t *testing.T) {
	for seed := uint64(1); seed <= seedCount(400); seed++ {
		size := []struct{ stores, tolerate int }{{3, 1}, {5, 2}}[seed%2]
		runFleet(t, seed, size.stores, size.tolerate, func(f *fleet) {
			world := f.world
			blocked := map[string]bool{}
			maxDelay := world.Between(5*time.Millisecond, 75*time.Millisecond)
			f.net.Intercept = func(m *simulate.Message) *http.Response {
				if strings.HasPrefix(m.From.Name, "edge") && strings.HasSuffix(m.Path, "/Begin") {
					if blocked[m.From.Name+m.To.Name] {
						return &http.Response{StatusCode: 503, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}
					}
					m.From.Clock().Sleep(world.Between(0, maxDelay))
				}
				response, _ := m.Forward(m.Body)
				return response
			}
			budget, maxTokens := 10+world.Int64N(30), int64(10)
			clients := 3 + int(world.Int64N(6))
			granted, ended := int64(0), 0
			for i := 0; i < clients; i++ {
				host := world.NewHost(fmt.Sprintf("edge-%d", i), fmt.Sprintf("zone-%d", world.Int64N(5)))
				for n := 0; n < size.tolerate; n++ {
					blocked[fmt.Sprintf("edge-%dstore-%d", i, world.Int64N(int64(size.stores)))] = true
				}
				c := f.newClientOn(host)
				host.Go(func() {
					defer func() { ended++ }()
					ctx := base.NewCtx(host.Clock(), 4*time.Second)
					turn := fmt.Sprintf("t%d", i)
					host.Clock().Sleep(world.Between(0, maxDelay))
					_, err := c.Begin(ctx, &ledger.BeginParams{Program: "p", Session: "s" + turn, Turn: turn, Owner: host.Name, Run: "run" + turn,
						Budgeted: true, MaxTokens: maxTokens, Budget: budget, Retention: retention})
					if err != nil {
						f.is.True(base.IsCode(err, "over_budget"))
						return
					}
					granted += maxTokens
					if world.Chance(0.5) {
						_ = c.Finish(ctx, &ledger.FinishParams{Program: "p", Session: "s" + turn, Turn: turn, Owner: host.Name, Run: "run" + turn, Epoch: 1,
							Budgeted: true, Tokens: maxTokens, Retention: retention})
					}
				})
			}
			for ended < clients {
				f.sleep(5 * time.Millisecond)
			}
			f.is.True(granted >= maxTokens) // at least one reservation was granted
			if granted >= budget+maxTokens {
				t.Errorf("seed %d: %d tokens granted of a budget of %d", seed, granted, budget)
			}
		})
	}
}
