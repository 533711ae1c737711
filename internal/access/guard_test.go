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

// manualClock is a clock that a test sets.
type manualClock struct {
	base.Clock
	now time.Duration
}

func (c *manualClock) Now() time.Duration { return c.now }

// fakeFeedStatus is a feed status that a test sets. Waiting for a confirmation
// advances the clock by the full timeout.
type fakeFeedStatus struct {
	clock       *manualClock
	confirmedAt time.Duration
	leaseEnd    time.Duration
}

func (c *fakeFeedStatus) HasLease() bool { return c.clock.now < c.leaseEnd }
func (c *fakeFeedStatus) ConfirmedWithin(within time.Duration) bool {
	return c.clock.now < c.confirmedAt+within
}
func (c *fakeFeedStatus) NextConfirmation() base.Signal { return elapsingSignal{c.clock} }

type elapsingSignal struct{ clock *manualClock }

func (s elapsingSignal) Fire()       {}
func (s elapsingSignal) Fired() bool { return false }
func (s elapsingSignal) Wait(limit time.Duration) bool {
	s.clock.now += limit
	return false
}

type fixture struct {
	clock    *manualClock
	follower *fakeFeedStatus
	guard    *access.Guard
	counters *base.Counters
	bounds   *base.Bounds
}

func newFixture() *fixture {
	clock := &manualClock{Clock: base.NewRealClock(), now: time.Minute}
	follower := &fakeFeedStatus{clock: clock, confirmedAt: clock.now, leaseEnd: clock.now + time.Second}
	table, bounds, counters := &base.AtomicPointer[base.Bounds]{}, base.DefaultBounds(), base.NewCounters()
	table.Store(bounds)
	guard := access.NewGuard(clock, table, counters)
	guard.SetFeedStatus(follower)
	return &fixture{clock, follower, guard, counters, bounds}
}

func (f *fixture) authorize(q *access.Request) *base.RequestError {
	if err := f.guard.Authorize(base.NewCtx(f.clock, time.Minute), q); err != nil {
		return base.ToRequestError(err)
	}
	return nil
}

// treeDocument returns a settings document with the given number of teams, each
// with a site and a host of its own. deny adds a denied model to the first
// team.
func treeDocument(teams, models int, deny string) []byte {
	names := []string{}
	for i := range models {
		names = append(names, fmt.Sprintf("%q", fmt.Sprint("model-", i)))
	}
	text := &strings.Builder{}
	fmt.Fprintf(text, `{"models":[%s],"pools":{"m":{"kind":"model"}},"groups":{`, strings.Join(names, ","))
	for i := range teams {
		if i > 0 {
			text.WriteString(",")
		}
		rules := fmt.Sprintf(`"models":[%s]`, names[i%len(names)])
		if i == 0 && deny != "" {
			rules += `,"deny":[` + names[0] + `]`
		}
		fmt.Fprintf(text, `"group-%d":{"teams":{"team-%d":{%s}},"team":"team-%d","sites":{"main":{"pool":"m","hosts":["host-%d.example"],"routes":{"chat":{"kind":"model","model":%s}}}}}`,
			i, i, rules, i, i, names[i%len(names)])
	}
	text.WriteString("}}")
	return []byte(text.String())
}

func tableOf(t testing.TB, document []byte) *access.Table {
	t.Helper()
	tree, violations := settings.Parse(document)
	if len(violations) > 0 {
		t.Fatal(violations[0])
	}
	return tree.Access()
}

var (
	firstTeam  = &access.Request{Scope: access.Scope{Group: "group-0", Site: "main", Route: "chat"}}
	secondTeam = &access.Request{Scope: access.Scope{Group: "group-1", Site: "main", Route: "chat"}}
)

func TestAGuardWithoutRulesAllowsEverything(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.follower.leaseEnd = 0 // it needs no lease either
	is.True(!f.guard.HasRules())
	is.True(f.authorize(firstTeam) == nil)
	f.guard.SetRules(access.VersionedTable{Version: 1}, nil)
	is.True(f.authorize(firstTeam) == nil)
	is.Equal(len(f.counters.Snapshot()), 0)
}

func TestRefusalNamesTeamModelAndVersion(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.guard.SetRules(access.VersionedTable{Version: 7, Table: tableOf(t, treeDocument(2, 2, "deny"))}, nil)
	v := f.authorize(firstTeam)
	is.Equal(v.Status, 403)
	is.Equal(v.Code, "model_not_allowed")
	is.Equal(v.Execution, base.NotRun)
	is.Equal(v.Team, "team-0")
	is.Equal(v.Model, "model-0")
	is.Equal(v.CurrentVersion, uint64(7))
	is.True(f.authorize(secondTeam) == nil)
	v = f.authorize(&access.Request{Host: "host-1.example", Model: "model-0"})
	is.Equal(v.Team, "team-1")
	v = f.authorize(&access.Request{Host: "elsewhere.example", Model: "model-0"})
	is.Equal(v.Code, "unknown_team")
	is.Equal(v.Status, 403)
}

// While a change is pending the previous rules only decide under a fresh
// confirmation. A node without one must reject a request on which the two
// tables differ: the change may have taken effect elsewhere.
func TestDecisionsDuringAChange(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	current, next := tableOf(t, treeDocument(2, 2, "")), tableOf(t, treeDocument(2, 2, "deny"))
	f.guard.SetRules(access.VersionedTable{Version: 1, Table: current}, &access.VersionedTable{Version: 2, Table: next})
	is.True(f.authorize(firstTeam) == nil) // freshly confirmed: the previous rules decide
	f.clock.now += f.bounds.AccessFreshness()
	is.True(f.authorize(secondTeam) == nil) // both tables agree: a lease is enough
	began := f.clock.now
	v := f.authorize(firstTeam)
	is.Equal(v.Code, "no_confirmed_settings") // held briefly, then rejected as not run
	is.Equal(v.Status, 503)
	is.Equal(v.Execution, base.NotRun)
	is.Equal(f.clock.now-began, f.bounds.LeaseWait())
	f.follower.confirmedAt = f.clock.now
	is.True(f.authorize(firstTeam) == nil)
	f.guard.SetRules(access.VersionedTable{Version: 2, Table: next}, nil)
	f.follower.leaseEnd = f.clock.now + time.Second
	is.Equal(f.authorize(firstTeam).CurrentVersion, uint64(2))
	f.clock.now += 2 * time.Second // as after the process was suspended
	is.Equal(f.authorize(secondTeam).Code, "no_confirmed_settings")
}

func TestRulesAreAddedAndRemoved(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	rules := tableOf(t, treeDocument(2, 2, "deny"))
	f.guard.SetRules(access.VersionedTable{Version: 1}, &access.VersionedTable{Version: 2, Table: rules})
	is.True(f.authorize(firstTeam) == nil)
	f.guard.SetRules(access.VersionedTable{Version: 2, Table: rules}, nil)
	is.Equal(f.authorize(firstTeam).Status, 403)
	f.guard.SetRules(access.VersionedTable{Version: 2, Table: rules}, &access.VersionedTable{Version: 3})
	is.Equal(f.authorize(firstTeam).Status, 403)
	f.guard.SetRules(access.VersionedTable{Version: 3}, nil)
	is.True(f.authorize(firstTeam) == nil)
}

func TestRouteAddedByAPendingChange(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.guard.SetRules(access.VersionedTable{Version: 1, Table: tableOf(t, treeDocument(1, 2, ""))}, &access.VersionedTable{Version: 2, Table: tableOf(t, treeDocument(2, 2, ""))})
	is.True(f.authorize(secondTeam) == nil) // the previous rules have no such route
}

func TestCountsByTeamAndModelAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.guard.SetRules(access.VersionedTable{Version: 1, Table: tableOf(t, treeDocument(600, 4, "deny"))}, nil)
	for i := range 600 {
		f.authorize(&access.Request{Scope: access.Scope{Group: fmt.Sprint("group-", i), Site: "main", Route: "chat"}})
	}
	f.authorize(&access.Request{Host: "elsewhere.example", Model: "model-0"})
	counters := map[string]int64{}
	f.guard.AddCounts(counters)
	is.Equal(len(counters), 2*256+2)
	is.Equal(counters["access_refused/team-0/model-0"], int64(1))
	is.Equal(counters["access_allowed/team-1/model-1"], int64(1))
	total := int64(0)
	for _, count := range counters {
		total += count
	}
	is.Equal(total, int64(601))
	f.guard.SetRules(access.VersionedTable{Version: 2, Table: tableOf(t, treeDocument(601, 4, "deny"))}, nil)
	counters = map[string]int64{}
	f.guard.AddCounts(counters)
	is.Equal(counters["access_refused/team-0/model-0"], int64(1)) // counts are kept across a change
}

// BenchmarkAuthorize measures one decision with 2600 teams, and the memory of
// their table.
func BenchmarkAuthorize(b *testing.B) {
	for _, row := range []struct {
		name    string
		request func(i int) *access.Request
	}{
		{"own interface", func(i int) *access.Request {
			return &access.Request{Scope: access.Scope{Group: fmt.Sprint("group-", i), Site: "main", Route: "chat"}}
		}},
		{"operator's route", func(i int) *access.Request {
			return &access.Request{Host: fmt.Sprintf("host-%d.example", i), Scope: access.Scope{Route: "till-dispute"}, Model: fmt.Sprint("model-", i%4)}
		}},
	} {
		b.Run(row.name, func(b *testing.B) {
			f := newFixture()
			f.follower.leaseEnd = 1 << 60
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tree, _ := settings.Parse(treeDocument(2600, 4, ""))
			f.guard.SetRules(access.VersionedTable{Version: 1, Table: tree.Access()}, nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			withTree := float64(after.HeapAlloc - before.HeapAlloc)
			runtime.KeepAlive(tree)
			runtime.GC()
			runtime.ReadMemStats(&after)
			requests := make([]*access.Request, 2600)
			for i := range requests {
				requests[i] = row.request(i)
			}
			ctx := base.NewCtx(f.clock, time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if err := f.guard.Authorize(ctx, requests[i%len(requests)]); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "table-MB")
			b.ReportMetric(withTree/1e6, "with-tree-MB")
		})
	}
	b.Run("no rules", func(b *testing.B) {
		f := newFixture()
		ctx := base.NewCtx(f.clock, time.Minute)
		b.ReportAllocs()
		for range b.N {
			_ = f.guard.Authorize(ctx, firstTeam)
		}
	})
}

// BenchmarkParse measures parsing the tree of a large deployment, which happens
// once for each change and not on the request path.
func BenchmarkParse(b *testing.B) {
	document := treeDocument(2600, 4, "")
	b.ReportMetric(float64(len(document))/1e3, "document-KB")
	for range b.N {
		tableOf(b, document)
	}
}
