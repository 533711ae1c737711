package ledger_test

import (
	"errors"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
)

// TestUnconfirmableRequestIsRefusedEarly checks that a request with a long deadline is
// refused well before it, early enough to be retried, if too few stores can confirm
// it.
func TestUnconfirmableRequestIsRefusedEarly(t *testing.T) {
	const deadline = 30 * time.Second
	diskLimit := base.DefaultBounds().DiskTimeout()
	cases := map[string]struct {
		lose  func(f *fleet)
		limit time.Duration
	}{
		"two stores refuse connections": {func(f *fleet) {
			f.kill(f.machines[0])
			f.kill(f.machines[1])
		}, diskLimit},
		"two stores are silent": {func(f *fleet) {
			f.machines[0].host.Freeze()
			f.machines[1].host.Freeze()
		}, diskLimit},
		"two stores are blank": {func(f *fleet) {
			for _, m := range f.machines[:2] {
				removed := m.diskID
				f.wipe(m)
				f.start(m)
				f.sleep(100 * time.Millisecond)
				f.replaceDisk(removed, m)
			}
			f.sleep(2 * time.Second)
		}, diskLimit / 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 3, 1, func(f *fleet) {
				c := f.newClient(1)
				s := f.newSession(c, "p")
				s.runTurn()
				tc.lose(f)
				requests := map[string]func(ctx *base.Ctx) error{
					"the history": func(ctx *base.Ctx) error {
						_, err := c.Chain(ctx, "p", "another")
						return err
					},
					"the claim": func(ctx *base.Ctx) error {
						_, err := c.Begin(ctx, &ledger.BeginParams{Program: "p", Session: s.session, Turn: "next", Previous: s.turns[0], Owner: s.owner,
							Run: s.run, Epoch: s.epoch, Confirmed: true, Retention: retention})
						return err
					},
				}
				for _, name := range base.SortedKeys(requests) {
					began := f.now()
					err := requests[name](base.NewCtx(f.testHost.Clock(), deadline))
					elapsed := f.now() - began
					t.Logf("%s: refused after %v: %v", name, elapsed, err)
					var requestErr *base.RequestError
					f.is.True(errors.As(err, &requestErr))
					f.is.Equal(requestErr.Status, 503)
					f.is.Equal(requestErr.Execution, base.NotRun)
					f.is.True(requestErr.RetryAfter > 0)
					f.is.True(elapsed <= tc.limit+50*time.Millisecond)
				}
			})
		})
	}
}
