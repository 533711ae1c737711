// The guard by itself: who decides at each step of a change, what it needs for
// that, and what a check costs at the size of a whole deployment.
package access_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/settings"

	"github.com/matryer/is"
)

// hand is a clock that a test moves by hand.
type hand struct {
	base.Clock
	now time.Duration
}

func (h *hand) Now() time.Duration { return h.now }

// confirming is a follower that a test moves by hand; a wait for news passes
// the time that it was given.
type confirming struct {
	clock *hand
	asked time.Duration
	until time.Duration
}

func (c *confirming) HasLease() bool                            { return c.clock.now < c.until }
func (c *confirming) ConfirmedWithin(within time.Duration) bool { return c.clock.now < c.asked+within }
func (c *confirming) NextConfirmation() base.Signal             { return passing{c.clock} }

type passing struct{ clock *hand }

func (p passing) Fire()       {}
func (p passing) Fired() bool { return false }
func (p passing) Wait(limit time.Duration) bool {
	p.clock.now += limit
	return false
}

type bench struct {
	clock    *hand
	follower *confirming
	guard    *access.Guard
	counters *base.Counters
	bounds   *base.Bounds
}

func newBench() *bench {
	clock := &hand{Clock: base.NewRealClock(), now: time.Minute}
	follower := &confirming{clock: clock, asked: clock.now, until: clock.now + time.Second}
	table, bounds, counters := &base.Table[base.Bounds]{}, base.DefaultBounds(), base.NewCounters()
	table.Swap(bounds)
	guard := access.NewGuard(clock, table, counters)
	guard.SetFeedStatus(follower)
	return &bench{clock, follower, guard, counters, bounds}
}

func (b *bench) ask(q *access.Request) *base.Verdict {
	if err := b.guard.Authorize(base.NewCtx(b.clock, time.Minute), q); err != nil {
		return base.FromWire(err)
	}
	return nil
}

// tenants writes a tree of so many teams, each with a site and a host of its own.
func tenants(teams, models int, deny string) []byte {
	names := []string{}
	for at := range models {
		names = append(names, fmt.Sprintf("%q", fmt.Sprint("model-", at)))
	}
	text := &strings.Builder{}
	fmt.Fprintf(text, `{"models":[%s],"pools":{"m":{"kind":"model"}},"groups":{`, strings.Join(names, ","))
	for at := range teams {
		if at > 0 {
			text.WriteString(",")
		}
		own := fmt.Sprintf(`"models":[%s]`, names[at%len(names)])
		if at == 0 && deny != "" {
			own += `,"deny":[` + names[0] + `]`
		}
		fmt.Fprintf(text, `"group-%d":{"teams":{"team-%d":{%s}},"team":"team-%d","sites":{"main":{"pool":"m","hosts":["host-%d.example"],"routes":{"chat":{"kind":"model","model":%s}}}}}`,
			at, at, own, at, at, names[at%len(names)])
	}
	text.WriteString("}}")
	return []byte(text.String())
}

func tableOf(t testing.TB, document []byte) *access.Table {
	t.Helper()
	tree, faults := settings.Parse(document)
	if len(faults) > 0 {
		t.Fatal(faults[0])
	}
	return tree.Access()
}

var (
	first  = &access.Request{Scope: access.Scope{Group: "group-0", Site: "main", Route: "chat"}}
	second = &access.Request{Scope: access.Scope{Group: "group-1", Site: "main", Route: "chat"}}
)

func TestAGuardWithoutRulesAllowsEverything(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.follower.until = 0 // and asks for no permit
	is.True(!b.guard.HasRules())
	is.True(b.ask(first) == nil)
	b.guard.SetRules(access.StampedTable{Stamp: 1}, nil)
	is.True(b.ask(first) == nil)
	is.Equal(len(b.counters.Frame()), 0)
}

func TestARefusalSaysWhatDecided(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.guard.SetRules(access.StampedTable{Stamp: 7, Table: tableOf(t, tenants(2, 2, "deny"))}, nil)
	v := b.ask(first)
	is.Equal(v.Status, 403)
	is.Equal(v.Code, "model_not_allowed")
	is.Equal(v.Ran, base.NotRun)
	is.Equal(v.Team, "team-0")
	is.Equal(v.Model, "model-0")
	is.Equal(v.Stamp, uint64(7))
	is.True(b.ask(second) == nil)
	v = b.ask(&access.Request{Host: "host-1.example", Model: "model-0"})
	is.Equal(v.Team, "team-1")
	v = b.ask(&access.Request{Host: "elsewhere.example", Model: "model-0"})
	is.Equal(v.Code, "unknown_team")
	is.Equal(v.Status, 403)
}

func TestWhoDecidesWhileAChangeIsUnderWay(t *testing.T) {
	is := is.New(t)
	b := newBench()
	was, next := tableOf(t, tenants(2, 2, "")), tableOf(t, tenants(2, 2, "deny"))
	b.guard.SetRules(access.StampedTable{Stamp: 1, Table: was}, &access.StampedTable{Stamp: 2, Table: next})
	is.True(b.ask(first) == nil) // freshly confirmed: the former rules decide
	b.clock.now += b.bounds.AccessFresh()
	is.True(b.ask(second) == nil) // both say the same: a permit is enough
	began := b.clock.now
	v := b.ask(first)
	is.Equal(v.Code, "no_confirmed_settings") // held briefly, then refused as not run
	is.Equal(v.Status, 503)
	is.Equal(v.Ran, base.NotRun)
	is.Equal(b.clock.now-began, b.bounds.Hold())
	b.follower.asked = b.clock.now
	is.True(b.ask(first) == nil)
	b.guard.SetRules(access.StampedTable{Stamp: 2, Table: next}, nil)
	b.follower.until = b.clock.now + time.Second
	is.Equal(b.ask(first).Stamp, uint64(2))
	b.clock.now += 2 * time.Second // as after a freeze
	is.Equal(b.ask(second).Code, "no_confirmed_settings")
}

func TestTheFirstRulesAndTheLast(t *testing.T) {
	is := is.New(t)
	b := newBench()
	rules := tableOf(t, tenants(2, 2, "deny"))
	b.guard.SetRules(access.StampedTable{Stamp: 1}, &access.StampedTable{Stamp: 2, Table: rules})
	is.True(b.ask(first) == nil)
	b.guard.SetRules(access.StampedTable{Stamp: 2, Table: rules}, nil)
	is.Equal(b.ask(first).Status, 403)
	b.guard.SetRules(access.StampedTable{Stamp: 2, Table: rules}, &access.StampedTable{Stamp: 3})
	is.Equal(b.ask(first).Status, 403)
	b.guard.SetRules(access.StampedTable{Stamp: 3}, nil)
	is.True(b.ask(first) == nil)
}

func TestAPlaceThatAChangeBrings(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.guard.SetRules(access.StampedTable{Stamp: 1, Table: tableOf(t, tenants(1, 2, ""))}, &access.StampedTable{Stamp: 2, Table: tableOf(t, tenants(2, 2, ""))})
	is.True(b.ask(second) == nil) // no former rule speaks of it
}

func TestCountsByTeamAndModelAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.guard.SetRules(access.StampedTable{Stamp: 1, Table: tableOf(t, tenants(600, 4, "deny"))}, nil)
	for at := range 600 {
		b.ask(&access.Request{Scope: access.Scope{Group: fmt.Sprint("group-", at), Site: "main", Route: "chat"}})
	}
	b.ask(&access.Request{Host: "elsewhere.example", Model: "model-0"})
	frame := map[string]int64{}
	b.guard.AddCounts(frame)
	is.Equal(len(frame), 2*256+2)
	is.Equal(frame["access_refused/team-0/model-0"], int64(1))
	is.Equal(frame["access_allowed/team-1/model-1"], int64(1))
	total := int64(0)
	for _, count := range frame {
		total += count
	}
	is.Equal(total, int64(601))
	b.guard.SetRules(access.StampedTable{Stamp: 2, Table: tableOf(t, tenants(601, 4, "deny"))}, nil)
	frame = map[string]int64{}
	b.guard.AddCounts(frame)
	is.Equal(frame["access_refused/team-0/model-0"], int64(1)) // carried over a change
}

func BenchmarkAllows(b *testing.B) {
	for _, row := range []struct {
		name string
		made func(at int) *access.Request
	}{
		{"own interface", func(at int) *access.Request {
			return &access.Request{Scope: access.Scope{Group: fmt.Sprint("group-", at), Site: "main", Route: "chat"}}
		}},
		{"operator's route", func(at int) *access.Request {
			return &access.Request{Host: fmt.Sprintf("host-%d.example", at), Scope: access.Scope{Route: "till-dispute"}, Model: fmt.Sprint("model-", at%4)}
		}},
	} {
		b.Run(row.name, func(b *testing.B) {
			one := newBench()
			one.follower.until = 1 << 60
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tree, _ := settings.Parse(tenants(2600, 4, ""))
			one.guard.SetRules(access.StampedTable{Stamp: 1, Table: tree.Access()}, nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			treeWith := float64(after.HeapAlloc - before.HeapAlloc)
			runtime.KeepAlive(tree)
			runtime.GC()
			runtime.ReadMemStats(&after)
			asked := make([]*access.Request, 2600)
			for at := range asked {
				asked[at] = row.made(at)
			}
			ctx := base.NewCtx(one.clock, time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for at := 0; pb.Next(); at++ {
					if err := one.guard.Authorize(ctx, asked[at%len(asked)]); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "table-MB")
			b.ReportMetric(treeWith/1e6, "with-tree-MB")
		})
	}
	b.Run("no rules", func(b *testing.B) {
		one := newBench()
		ctx := base.NewCtx(one.clock, time.Minute)
		b.ReportAllocs()
		for range b.N {
			_ = one.guard.Authorize(ctx, first)
		}
	})
}

// Reading the tree of a whole deployment happens once a change, off the
// request path.
func BenchmarkRead(b *testing.B) {
	document := tenants(2600, 4, "")
	b.ReportMetric(float64(len(document))/1e3, "document-KB")
	for range b.N {
		tableOf(b, document)
	}
}
