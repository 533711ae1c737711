// Which workers are open to a leg, one reason at a time.
package worker

import (
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

func bench(values map[string][]byte) (*Nominator, *Book) {
	clock, bounds := base.NewRealClock(), &base.Table[base.Bounds]{}
	bounds.Swap(base.DefaultBounds())
	book := NewBook(clock, bounds)
	n := NewNominator(clock, bounds, base.NewCounters(), book, "z")
	n.Swap(RosterOf(values))
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
		do     func(n *Nominator, book *Book)
		open   bool
	}{
		{"nothing", map[string][]byte{ListKey: list}, func(*Nominator, *Book) {}, true},
		{"the feed's notice", map[string][]byte{ListKey: list, LeavingPrefix + "a": notice("one")}, func(*Nominator, *Book) {}, false},
		{"a former life's notice", map[string][]byte{ListKey: list, LeavingPrefix + "a": notice("nought")}, func(*Nominator, *Book) {}, true},
		{"its own report", map[string][]byte{ListKey: list}, func(_ *Nominator, book *Book) {
			book.Tell(&membership.Usage{Worker: "a", Number: 1, Leaving: true})
		}, false},
		{"its refusal here", map[string][]byte{ListKey: list}, func(n *Nominator, _ *Book) {
			n.LeftNow(&Worker{ID: "a", Incarnation: "one"})
		}, false},
		{"not listed", map[string][]byte{ListKey: base.Encode(List{Stamp: 2, Workers: []Worker{{ID: "b", Pool: "p", Capacity: 1}}})}, func(*Nominator, *Book) {}, false},
		{"full by its report", map[string][]byte{ListKey: list}, func(_ *Nominator, book *Book) {
			book.Tell(&membership.Usage{Worker: "a", Incarnation: "one", Number: 2, Load: 1})
		}, false},
		{"an older report is dropped", map[string][]byte{ListKey: list}, func(_ *Nominator, book *Book) {
			book.Tell(&membership.Usage{Worker: "a", Incarnation: "one", Number: 2})
			book.Tell(&membership.Usage{Worker: "a", Incarnation: "one", Number: 1, Leaving: true})
		}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			n, book := bench(row.values)
			row.do(n, book)
			need := &Need{Pool: "p", Former: "a", Affinity: "s", Tried: map[string]bool{"b": true}}
			held, err := n.Hold(base.NewCtx(base.NewRealClock(), 0), need)
			is.Equal(err == nil, row.open)
			if row.open {
				is.Equal(held.ID, "a")
				_, err = n.Hold(base.NewCtx(base.NewRealClock(), 0), need) // one more than it can take
				is.True(err != nil)
				n.Release(held, need, time.Second)
				_, err = n.Hold(base.NewCtx(base.NewRealClock(), 0), need)
				is.NoErr(err)
			}
		})
	}
}
