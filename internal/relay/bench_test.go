package relay_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"
)

var workerCounts = []int{72, 650, 2600}

// The cost of choosing a worker by the number of workers.
func BenchmarkChooseByWorkerCount(b *testing.B) {
	for _, bb := range []struct {
		name    string
		service *route.Service
	}{{"plain", plainService}, {"model", modelService}} {
		for _, workers := range workerCounts {
			b.Run(fmt.Sprintf("%s/%d", bb.name, workers), func(b *testing.B) {
				f := &fleet{workers: map[string]*fakeWorker{}, clock: base.NewRealClock()}
				for i := range workers {
					f.addWorker(fmt.Sprintf("w%d", i), []string{"z1", "z2", "z3"}[i%3], 96)
				}
				r := f.relay("z1")
				r.Backends = instantBackends{}
				c := newCall()
				for i := range 8 {
					c.PromptParts = append(c.PromptParts, relay.PromptPart{ID: fmt.Sprint("p", i), Tokens: 400})
				}
				c.PromptTokens = 3200
				rt := newRoute(route.KindNonIdempotent, 1)
				ctx := base.NewCtx(f.clock, time.Hour)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := r.Dispatch(ctx, rt, bb.service, c, nil); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// rosterValues returns the keys and values of a roster in the feed.
func rosterValues(workers int) map[string][]byte {
	values := map[string][]byte{}
	for i := range workers {
		w := relay.Worker{Service: fmt.Sprintf("service-%d", i%4), Addr: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%6), Capacity: 96}
		values[fmt.Sprintf("%sinstance-%05d", relay.RosterKeyPrefix, i)] = base.MustMarshal(w)
	}
	return values
}

// BenchmarkRosterChange measures a change in which one worker begins or ends to
// drain.
func BenchmarkRosterChange(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := &fleet{workers: map[string]*fakeWorker{}, clock: base.NewRealClock()}
			r := f.relay("z1")
			values := rosterValues(workers)
			var roster relay.RosterDecoder
			key := relay.RosterKeyPrefix + "instance-00007"
			draining := map[string][]byte{}
			for _, drains := range []bool{false, true} {
				draining[fmt.Sprint(drains)] = base.MustMarshal(relay.Worker{Service: "service-3", Addr: "10.1.0.7:8080", Zone: "zone-1", Capacity: 96, Draining: drains})
			}
			size := 0
			for key, value := range values {
				size += len(key) + len(value)
			}
			turn := 0
			b.ReportAllocs()
			for b.Loop() {
				turn++
				values = maps.Clone(values)
				values[key] = draining[fmt.Sprint(turn%2 == 0)]
				if list, changed := roster.Decode(values); changed {
					r.SetWorkers(list)
				}
			}
			b.ReportMetric(float64(size), "frame-bytes")
		})
	}
}

// BenchmarkRosterUnchanged measures a change of the feed that does not concern the
// roster.
func BenchmarkRosterUnchanged(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := &fleet{workers: map[string]*fakeWorker{}, clock: base.NewRealClock()}
			r := f.relay("z1")
			values := rosterValues(workers)
			var roster relay.RosterDecoder
			b.ReportAllocs()
			for b.Loop() {
				values = maps.Clone(values)
				if list, changed := roster.Decode(values); changed {
					r.SetWorkers(list)
				}
			}
		})
	}
}
