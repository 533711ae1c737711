// A roster that is read change by change comes to what a whole reading gives.
package relay_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

func TestARosterReadByChangesIsTheWholeRoster(t *testing.T) {
	is := is.New(t)
	world := newFleet(t, 11).world
	values := map[string][]byte{"feed/other": []byte("x")}
	var reader relay.RosterDecoder
	for step := range 400 {
		before := values
		values = maps.Clone(values)
		for range world.Int64N(3) {
			key := fmt.Sprintf("%sw%d", relay.RosterKeyPrefix, world.Int64N(30))
			switch world.Int64N(5) {
			case 0:
				delete(values, key)
			case 1:
				values[key] = []byte("no JSON")
			default:
				values[key] = base.Encode(relay.Worker{Service: fmt.Sprint("s", world.Int64N(2)), Addr: fmt.Sprint("a", world.Int64N(3)), Draining: world.Int64N(3) == 0})
			}
		}
		if step%50 == 0 { // as a frame brings it: equal bytes, held anew
			for key, raw := range values {
				values[key] = slices.Clone(raw)
			}
		}
		whole := relay.DecodeRoster(values)
		is.True(slices.IsSortedFunc(whole, func(a, b relay.Worker) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		}))
		list, changed := reader.Decode(values)
		is.Equal(list, whole)
		is.Equal(changed, !slices.Equal(whole, relay.DecodeRoster(before)))
	}
}

// The changes from one roster to a list make that list, and none speaks of more
// workers than a part holds.
func TestChangesOfARosterMakeTheList(t *testing.T) {
	is := is.New(t)
	world := newFleet(t, 17).world
	held := map[string]relay.Worker{}
	for step := range 60 {
		var list []relay.Worker
		for place := range world.Int64N(1000) {
			if world.Int64N(4) > 0 {
				list = append(list, relay.Worker{ID: fmt.Sprintf("w%03d", place), Service: "s", Addr: fmt.Sprint("a", world.Int64N(3)), Draining: world.Int64N(3) == 0})
			}
		}
		if step%7 == 0 && len(list) > 0 { // named twice: the last counts
			again := list[0]
			again.Draining = !again.Draining
			list = append(list, again)
		}
		before := slices.SortedFunc(maps.Values(held), relay.InOrder)
		changes := relay.ChangesTo(before, list)
		for _, change := range changes {
			is.True(len(change.Put)+len(change.Remove) <= relay.RosterPart)
			for _, id := range change.Remove {
				delete(held, id)
			}
			for id, one := range change.Put {
				is.True(held[id] != one)
				held[id] = one
			}
		}
		want := map[string]relay.Worker{}
		for _, one := range list {
			want[one.ID] = one
		}
		is.Equal(held, want)
		is.Equal(len(relay.ChangesTo(slices.SortedFunc(maps.Values(held), relay.InOrder), list)), 0)
	}
}

// A relay that was given one list after another sends to the same workers as
// one that was given the last only.
func TestChangesOfTheListReachTheirServicesOnly(t *testing.T) {
	f := newFleet(t, 5)
	for place := range 12 {
		f.add(fmt.Sprintf("w%02d", place), "z1", 4)
	}
	r := f.relay("z1")
	for range 200 {
		for _, w := range f.order {
			switch f.world.Int64N(6) {
			case 0:
				w.Draining = !w.Draining
			case 1:
				w.Service = fmt.Sprint("s", f.world.Int64N(2))
			case 2:
				delete(f.workers, w.Addr)
				w.Addr = fmt.Sprintf("addr-%s-%d", w.ID, f.world.Int64N(1000))
				f.workers[w.Addr] = w
			}
		}
		list := slices.DeleteFunc(f.list(), func(relay.Worker) bool { return f.world.Int64N(5) == 0 })
		r.SetWorkers(list)
		for _, name := range []string{"s0", "s1"} {
			var want []string
			for _, one := range list {
				if one.Service == name && !one.Draining {
					want = append(want, one.ID+"@"+one.Addr)
				}
			}
			f.Equal(r.Serving(name), want)
		}
	}
	f.run(func() {
		_, v := f.offerTo(r, &route.Service{Name: "s0"})
		f.Equal(v == nil, len(r.Serving("s0")) > 0)
	})
}

func (f *fleet) offerTo(r *relay.Relay, to *route.Service) (*relay.Reply, *base.Verdict) {
	reply, err := r.Dispatch(base.NewCtx(f.clock, base.DefaultBounds().Recover), plain(route.KindNonIdempotent, 2), to, call(), nil)
	if err != nil {
		return nil, base.FromWire(err)
	}
	return reply, nil
}
