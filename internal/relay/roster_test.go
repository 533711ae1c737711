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

// A roster decoded change by change equals one decoded from the last snapshot only.
func TestIncrementalDecodeEqualsFullDecode(t *testing.T) {
	is := is.New(t)
	world := newFleet(t, 11).world
	values := map[string][]byte{"feed/other": []byte("x")}
	var decoder relay.RosterDecoder
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
				values[key] = base.MustMarshal(relay.Worker{Service: fmt.Sprint("s", world.Int64N(2)), Addr: fmt.Sprint("a", world.Int64N(3)), Draining: world.Int64N(3) == 0})
			}
		}
		if step%50 == 0 { // as in a whole new snapshot: equal values in new slices
			for key, raw := range values {
				values[key] = slices.Clone(raw)
			}
		}
		full := relay.DecodeRoster(values)
		is.True(slices.IsSortedFunc(full, func(a, b relay.Worker) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		}))
		list, changed := decoder.Decode(values)
		is.Equal(list, full)
		is.Equal(changed, !slices.Equal(full, relay.DecodeRoster(before)))
	}
}

// The changes from a roster to a list produce that list, and none of them contains
// more workers than allowed.
func TestRosterChangesProduceTheList(t *testing.T) {
	is := is.New(t)
	world := newFleet(t, 17).world
	current := map[string]relay.Worker{}
	for step := range 60 {
		var list []relay.Worker
		for i := range world.Int64N(1000) {
			if world.Int64N(4) > 0 {
				list = append(list, relay.Worker{ID: fmt.Sprintf("w%03d", i), Service: "s", Addr: fmt.Sprint("a", world.Int64N(3)), Draining: world.Int64N(3) == 0})
			}
		}
		if step%7 == 0 && len(list) > 0 { // listed twice: the last one counts
			again := list[0]
			again.Draining = !again.Draining
			list = append(list, again)
		}
		before := slices.SortedFunc(maps.Values(current), relay.CompareWorkers)
		changes := relay.RosterChanges(before, list)
		for _, change := range changes {
			is.True(len(change.Put)+len(change.Remove) <= relay.MaxChangeWorkers)
			for _, id := range change.Remove {
				delete(current, id)
			}
			for id, w := range change.Put {
				is.True(current[id] != w)
				current[id] = w
			}
		}
		want := map[string]relay.Worker{}
		for _, w := range list {
			want[w.ID] = w
		}
		is.Equal(current, want)
		is.Equal(len(relay.RosterChanges(slices.SortedFunc(maps.Values(current), relay.CompareWorkers), list)), 0)
	}
}

// A relay that was given one list after another chooses from the same workers as
// one that was given only the last.
func TestIncrementalSetWorkersEqualsFull(t *testing.T) {
	f := newFleet(t, 5)
	for i := range 12 {
		f.addWorker(fmt.Sprintf("w%02d", i), "z1", 4)
	}
	r := f.relay("z1")
	for range 200 {
		for _, w := range f.ordered {
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
			for _, listed := range list {
				if listed.Service == name && !listed.Draining {
					want = append(want, listed.ID+"@"+listed.Addr)
				}
			}
			f.Equal(r.ServingWorkers(name), want)
		}
	}
	f.run(func() {
		_, v := f.dispatchTo(r, &route.Service{Name: "s0"})
		f.Equal(v == nil, len(r.ServingWorkers("s0")) > 0)
	})
}

func (f *fleet) dispatchTo(r *relay.Relay, to *route.Service) (*relay.Reply, *base.RequestError) {
	reply, err := r.Dispatch(base.NewCtx(f.clock, base.DefaultBounds().Recovery), newRoute(route.KindNonIdempotent, 2), to, newCall(), nil)
	if err != nil {
		return nil, base.ToRequestError(err)
	}
	return reply, nil
}
