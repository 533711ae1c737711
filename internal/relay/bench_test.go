// What a gateway spends by the number of workers: on choosing one, and on a
// change of the roster.
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

func BenchmarkChoosingAmong(b *testing.B) {
	for _, row := range []struct {
		name    string
		service *route.Service
	}{{"plain", service}, {"model", engine}} {
		for _, workers := range workerCounts {
			b.Run(fmt.Sprintf("%s/%d", row.name, workers), func(b *testing.B) {
				f := &fleet{workers: map[string]*fakeWorker{}, clock: base.NewRealClock()}
				for place := range workers {
					f.add(fmt.Sprintf("w%d", place), []string{"z1", "z2", "z3"}[place%3], 96)
				}
				r := f.relay("z1")
				r.Backends = instant{}
				c := call()
				for place := range 8 {
					c.PromptParts = append(c.PromptParts, relay.PromptPart{ID: fmt.Sprint("p", place), Tokens: 400})
				}
				c.PromptTokens = 3200
				rt := plain(route.KindNonIdempotent, 1)
				ctx := base.NewCtx(f.clock, time.Hour)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := r.Dispatch(ctx, rt, row.service, c, nil); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// rosterValues is a frame with a roster in it.
func rosterValues(workers int) map[string][]byte {
	values := map[string][]byte{}
	for place := range workers {
		one := relay.Worker{Service: fmt.Sprintf("service-%d", place%4), Addr: fmt.Sprintf("10.1.%d.%d:8080", place/250, place%250), Zone: fmt.Sprintf("zone-%d", place%6), Capacity: 96}
		values[fmt.Sprintf("%sinstance-%05d", relay.RosterKeyPrefix, place)] = base.Encode(one)
	}
	return values
}

// BenchmarkRosterChange is one worker that begins to drain, or is back.
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
				draining[fmt.Sprint(drains)] = base.Encode(relay.Worker{Service: "service-3", Addr: "10.1.0.7:8080", Zone: "zone-1", Capacity: 96, Draining: drains})
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

// BenchmarkRosterUnchanged is a change of the feed that is not the roster's.
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
