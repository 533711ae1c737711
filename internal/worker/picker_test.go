// Which workers are open to a leg, one reason at a time.
package worker

import (
	"runtime"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

func bench(values map[string][]byte) (*Picker, *UsageReports) {
	clock, bounds := base.NewRealClock(), &base.Table[base.Bounds]{}
	bounds.Swap(base.DefaultBounds())
	book := NewUsageReports(clock, bounds)
	n := NewPicker(clock, bounds, base.NewCounters(), book, "z")
	n.SetRoster(DecodeRoster(values))
	return n, book
}

func TestOneReasonIsEnoughToKeepOff(t *testing.T) {
	list := base.Encode(List{Stamp: 1, Workers: []Worker{{ID: "a", Pool: "p", Capacity: 1, Incarnation: "one"}, {ID: "b", Pool: "p", Capacity: 1}}})
	notice := func(incarnation string) []byte {
		return base.Encode(Notice{Worker: "a", Incarnation: incarnation, Leaving: true})
	}
	rows := []struct {
		name   string
		values map[string][]byte
		do     func(n *Picker, book *UsageReports)
		open   bool
	}{
		{"nothing", map[string][]byte{ListKey: list}, func(*Picker, *UsageReports) {}, true},
		{"the feed's notice", map[string][]byte{ListKey: list, LeavingKeyPrefix + "a": notice("one")}, func(*Picker, *UsageReports) {}, false},
		{"a notice of a life this node has not heard of", map[string][]byte{ListKey: list, LeavingKeyPrefix + "a": notice("life-1")}, func(*Picker, *UsageReports) {}, false},
		{"its own report", map[string][]byte{ListKey: list}, func(_ *Picker, book *UsageReports) {
			book.Record(&membership.Usage{Worker: "a", Number: 1, Leaving: true})
		}, false},
		{"its refusal here", map[string][]byte{ListKey: list}, func(n *Picker, _ *UsageReports) {
			n.MarkLeaving(&Worker{ID: "a", Incarnation: "one"})
		}, false},
		{"not listed", map[string][]byte{ListKey: base.Encode(List{Stamp: 2, Workers: []Worker{{ID: "b", Pool: "p", Capacity: 1}}})}, func(*Picker, *UsageReports) {}, false},
		{"full by its report", map[string][]byte{ListKey: list}, func(_ *Picker, book *UsageReports) {
			book.Record(&membership.Usage{Worker: "a", Incarnation: "one", Number: 2, Load: 1})
		}, false},
		{"an older report is dropped", map[string][]byte{ListKey: list}, func(_ *Picker, book *UsageReports) {
			book.Record(&membership.Usage{Worker: "a", Incarnation: "one", Number: 2})
			book.Record(&membership.Usage{Worker: "a", Incarnation: "one", Number: 1, Leaving: true})
		}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			n, book := bench(row.values)
			row.do(n, book)
			need := &Requirements{Pool: "p", LastWorker: "a", AffinityKey: "s", Tried: map[string]bool{"b": true}}
			held, err := n.Acquire(base.NewCtx(base.NewRealClock(), 0), need)
			is.Equal(err == nil, row.open)
			if row.open {
				is.Equal(held.ID, "a")
				_, err = n.Acquire(base.NewCtx(base.NewRealClock(), 0), need) // one more than it can take
				is.True(err != nil)
				n.Release(held, need, time.Second)
				_, err = n.Acquire(base.NewCtx(base.NewRealClock(), 0), need)
				is.NoErr(err)
			}
		})
	}
}

// Among legs of one urgency the site with fewest under way goes first, and
// then the program with fewest.
func TestTheLineIsFairBySiteThenProgram(t *testing.T) {
	is := is.New(t)
	n, _ := bench(map[string][]byte{ListKey: base.Encode(List{Stamp: 1, Workers: []Worker{{ID: "a", Pool: "p", Capacity: 3}}})})
	hold := func(site, program string) *Requirements {
		return &Requirements{Pool: "p", Site: site, Program: program, AffinityKey: program, MaxQueue: 8, Tried: map[string]bool{}}
	}
	ctx := base.NewCtx(base.NewRealClock(), time.Minute)
	under := []*Requirements{hold("crowded", "one"), hold("crowded", "one"), hold("crowded", "two")}
	var held *Worker
	for _, need := range under {
		chosen, err := n.Acquire(ctx, need)
		is.NoErr(err)
		held = chosen
	}
	granted := make(chan string)
	for place, need := range []*Requirements{hold("crowded", "one"), hold("crowded", "three"), hold("quiet", "four")} {
		go func() {
			if _, err := n.Acquire(ctx, need); err == nil {
				granted <- need.Program
			}
		}()
		for waiting := 0; waiting <= place; runtime.Gosched() {
			n.mu.Lock()
			waiting = len(n.waiting)
			n.mu.Unlock()
		}
	}
	for _, want := range []string{"four", "three"} {
		n.Release(held, under[2], 0)
		is.Equal(<-granted, want)
	}
}
