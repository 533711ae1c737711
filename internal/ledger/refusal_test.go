// A turn whose history cannot be confirmed is refused in time to come back,
// long before its deadline.
package ledger_test

import (
	"errors"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
)

// TestWhatCannotBeConfirmedIsRefusedAtOnce asks with a long deadline while too
// few stores can confirm anything.
func TestWhatCannotBeConfirmedIsRefusedAtOnce(t *testing.T) {
	const deadline = 30 * time.Second
	diskLimit := base.DefaultBounds().DiskLimit()
	ways := map[string]struct {
		lose  func(f *fleet)
		limit time.Duration
	}{
		"two stores refuse connections": {func(f *fleet) {
			f.kill(f.stores[0])
			f.kill(f.stores[1])
		}, diskLimit},
		"two stores are silent": {func(f *fleet) {
			f.stores[0].host.Freeze()
			f.stores[1].host.Freeze()
		}, diskLimit},
		"two stores are blank": {func(f *fleet) {
			for _, m := range f.stores[:2] {
				gone := m.id
				f.wipe(m)
				f.start(m)
				f.sleep(100 * time.Millisecond)
				f.replace(gone, m)
			}
			f.sleep(2 * time.Second)
		}, diskLimit / 2},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			play(t, 1, 3, 1, func(f *fleet) {
				c := f.client(1)
				l := f.line(c, "p")
				l.turn()
				way.lose(f)
				asked := map[string]func(ctx *base.Ctx) error{
					"the history": func(ctx *base.Ctx) error {
						_, err := c.Chain(ctx, "p", "another")
						return err
					},
					"the claim": func(ctx *base.Ctx) error {
						_, err := c.Begin(ctx, &ledger.BeginParams{Program: "p", Session: l.session, Turn: "next", Previous: l.turns[0], Owner: l.owner,
							Run: l.run, Epoch: l.epoch, Confirmed: true, Retention: retain})
						return err
					},
				}
				for _, what := range base.SortedKeys(asked) {
					began := f.now()
					err := asked[what](base.NewCtx(f.test.Clock(), deadline))
					took := f.now() - began
					t.Logf("%s: refused after %v: %v", what, took, err)
					var verdict *base.Verdict
					f.is.True(errors.As(err, &verdict))
					f.is.Equal(verdict.Status, 503)
					f.is.Equal(verdict.Ran, base.NotRun)
					f.is.True(verdict.RetryAfter > 0)
					f.is.True(took <= way.limit+50*time.Millisecond)
				}
			})
		})
	}
}
