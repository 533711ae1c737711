package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"
)

// runLoad runs nodes that each send requests at a steady mean rate to workers, every
// fifth of which takes twice as long. It returns the sorted times of the requests served,
// how many were declined, and the most requests that one worker had at once.
func runLoad(t *testing.T, nodes, workers, draws int, load float64) (times []time.Duration, declined, peakLoad int) {
	f := newFleet(t, 7)
	zones := []string{"z1", "z2", "z3", "z4"}
	for i := range workers {
		w := f.addWorker(fmt.Sprintf("w%d", i), zones[i%4], 6)
		slow := time.Duration(1)
		if i%5 == 4 {
			slow = 2
		}
		w.workTime = func() time.Duration { return slow * f.world.Between(20*time.Millisecond, 140*time.Millisecond) }
	}
	interval := time.Duration(float64(100*time.Millisecond) * float64(nodes) / (load * 6 * float64(workers)))
	f.run(func() {
		remaining := nodes
		for i := range nodes {
			r := f.relay(zones[i%4])
			if draws > 0 {
				r.DrawCandidates(draws)
			}
			f.clock.Go(func() {
				inFlight := 0
				for deadline := f.clock.Now() + 8*time.Second; f.clock.Now() < deadline; {
					inFlight++
					f.clock.Go(func() {
						start := f.clock.Now()
						if _, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 2), newCall()); v == nil {
							times = append(times, f.clock.Now()-start)
						} else {
							declined++
						}
						inFlight--
					})
					f.clock.Sleep(f.world.Between(0, 2*interval))
				}
				for inFlight > 0 {
					f.clock.Sleep(100 * time.Millisecond)
				}
				remaining--
			})
		}
		for remaining > 0 {
			f.clock.Sleep(100 * time.Millisecond)
		}
	})
	for _, w := range f.ordered {
		peakLoad = max(peakLoad, w.peakLoad)
	}
	slices.Sort(times)
	return times, declined, peakLoad
}

// Many nodes choose workers at the same time from outdated and partial reports.
// Choosing the lowest cost of all workers must not be worse than the better of two
// random workers, or than a random one.
func TestConcurrentNodesDoNotHerd(t *testing.T) {
	for _, tt := range []struct {
		nodes, workers int
		load           float64
	}{{6, 8, 0.8}, {64, 40, 0.7}} {
		p99 := map[int]time.Duration{}
		for _, draws := range []int{0, 2, 1} {
			times, declined, peakLoad := runLoad(t, tt.nodes, tt.workers, draws, tt.load)
			p99[draws] = times[len(times)*99/100]
			t.Logf("%d nodes, %d workers, load %.1f, %d drawn: %d served, %d declined, p50 %v, p99 %v, most at a worker %d", tt.nodes, tt.workers, tt.load, draws, len(times), declined,
				times[len(times)/2].Round(time.Millisecond), p99[draws].Round(time.Millisecond), peakLoad)
			if declined > 0 {
				t.Error("requests were declined")
			}
		}
		if p99[0] > p99[2] || p99[0] > p99[1] || p99[0] > 250*time.Millisecond {
			t.Error("requests herd at some workers, p99 by workers drawn:", p99)
		}
	}
}

// At twice the load that the workers can serve, the urgent half is served, and of
// the other half as much as there is room for. A request is declined within a
// quarter of the latency target, and those served have a bounded wait.
func TestOverloadDeclinesLeastUrgentEarly(t *testing.T) {
	served, declined := overload(t, 0, 9)
	if declined[0] > 40 {
		t.Error("urgent requests were declined", declined)
	}
	if served[0]+served[9] < 1900 {
		t.Error("workers were idle", served)
	}
	served, _ = overload(t, 2, 2)
	if served[2] < 1900 {
		t.Error("workers were idle", served)
	}
}

func overload(t *testing.T, urgencies ...int) (served, declined map[int]int) {
	f := newFleet(t, 5)
	for i := range 4 {
		f.addWorker(fmt.Sprintf("w%d", i), "z1", 6)
	}
	nodes := []*relay.Relay{f.relay("z1"), f.relay("z1"), f.relay("z1")}
	served, declined = map[int]int{}, map[int]int{}
	var slowest time.Duration
	f.run(func() {
		inFlight := 0
		for i := range 4000 { // 480 a second, where 240 can be served
			rt := newRoute(route.KindNonIdempotent, 1)
			rt.Urgency = urgencies[i%2]
			inFlight++
			f.clock.Go(func() {
				start := f.clock.Now()
				_, v := f.dispatch(nodes[i%3], rt, newCall())
				elapsed := f.clock.Now() - start
				if v == nil {
					served[rt.Urgency]++
					slowest = max(slowest, elapsed)
				} else {
					f.Equal(v.Execution, base.NotRun)
					f.True(elapsed <= rt.LatencyTarget/4)
					declined[rt.Urgency]++
				}
				inFlight--
			})
			f.clock.Sleep(time.Second / 480)
		}
		for inFlight > 0 {
			f.clock.Sleep(100 * time.Millisecond)
		}
	})
	t.Logf("served %v, declined %v, slowest %v", served, declined, slowest)
	f.True(slowest < 1500*time.Millisecond)
	return served, declined
}

// modelCall returns a call of a model with a prompt of the given parts.
func modelCall(prompt int, parts ...relay.PromptPart) *relay.Call {
	c := newCall()
	c.PromptParts, c.MaxOutputTokens = parts, 34
	value := ""
	for i, part := range parts {
		c.PromptTokens += part.Tokens
		if i > 0 {
			value += ","
		}
		value += fmt.Sprintf("%s:%d", part.ID, part.Tokens)
	}
	c.Headers = []relay.Header{{Name: "Parts", Value: value}, {Name: "Stream", Value: "data: x\n\n"}}
	return c
}

var modelService = &route.Service{Name: "s", Engine: &route.Engine{Slots: 96, CacheTokens: 250000, TokensPerEvent: 2}}

// runTurn sends a call, reads its stream and returns the worker that ran it.
func (f *fleet) runTurn(r *relay.Relay, c *relay.Call) string {
	reply, err := r.Dispatch(base.NewCtx(f.clock, time.Minute), newRoute(route.KindStream, 2), modelService, c, []byte("ask"))
	f.NoErr(err)
	defer reply.Close()
	for err == nil {
		_, err = reply.Event(time.Second)
	}
	return reply.WorkerID
}

// A session's next turn goes to the worker that has its prefix cached, and a new
// session to one that has the shared part cached. Many sessions at once spread, as
// that worker is overloaded.
func TestSessionsStayAtWorkerWithCachedPrefix(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 9 {
		w := f.addWorker(fmt.Sprintf("w%d", i), []string{"z1", "z2", "z3"}[i%3], 96)
		w.prefillPerToken = time.Millisecond / 32
		w.workTime = func() time.Duration { return 20 * time.Millisecond }
	}
	r := f.relay("z1")
	f.run(func() {
		shared := relay.PromptPart{ID: "system", Tokens: 2560}
		homes := map[string]int{}
		for session := range 12 {
			chain := []relay.PromptPart{shared}
			home := ""
			for turn := range 4 {
				chain = append(chain, relay.PromptPart{ID: fmt.Sprintf("s%d-%d", session, turn), Tokens: 500})
				on := f.runTurn(r, modelCall(0, chain...))
				if home == "" {
					home = on
				}
				f.Equal(on, home)
			}
			homes[home]++
		}
		f.True(len(homes) <= 2) // run one after another, they need no more
		prefilled := 0
		for _, w := range f.ordered {
			prefilled += w.prefilledTokens
		}
		f.True(prefilled <= 12*4*500+2*2560)
		// Another node only knows which worker ran the previous turn.
		other := f.relay("z3")
		last := f.ordered[5]
		c := modelCall(0, shared, relay.PromptPart{ID: "x-0", Tokens: 3000}, relay.PromptPart{ID: "x-1", Tokens: 200})
		c.LastWorker = last.ID
		f.Equal(f.runTurn(other, c), last.ID)
		// Many sessions at once that share one part spread over the workers.
		on := map[string]int{}
		remaining := 60
		for session := range remaining {
			f.clock.Go(func() {
				on[f.runTurn(r, modelCall(0, shared, relay.PromptPart{ID: fmt.Sprintf("many%d", session), Tokens: 1000}))]++
				remaining--
			})
		}
		for remaining > 0 {
			f.clock.Sleep(10 * time.Millisecond)
		}
		f.True(len(on) >= 6)
	})
}

// A session's own part keeps its id and grows. Only its new tokens are prefilled,
// and the output generated after it counts as cached.
func TestGrowingPartPrefillsOnlyNewTokens(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 4 {
		w := f.addWorker(fmt.Sprintf("w%d", i), "z1", 96)
		w.prefillPerToken = time.Millisecond / 32
		w.workTime = func() time.Duration { return 20 * time.Millisecond }
	}
	r := f.relay("z1")
	f.run(func() {
		shared := relay.PromptPart{ID: "system", Tokens: 2000}
		home := f.runTurn(r, modelCall(0, shared, relay.PromptPart{ID: "own", Tokens: 500}))
		f.Equal(f.runTurn(r, modelCall(0, shared, relay.PromptPart{ID: "own", Tokens: 900})), home)
		f.Equal(f.workers["addr-"+home].prefilledTokens, 2900)
		f.Equal(r.UncachedTokens(home, modelCall(0, shared, relay.PromptPart{ID: "own", Tokens: 1300})), 400-2) // one event of two tokens
		f.Equal(r.UncachedTokens(home, modelCall(0, shared, relay.PromptPart{ID: "own", Tokens: 600})), 0)
		f.Equal(r.UncachedTokens(home, modelCall(0, shared, relay.PromptPart{ID: "other", Tokens: 600}, relay.PromptPart{ID: "own", Tokens: 600})), 1200)
	})
}

// After a worker has rejected a prompt, its parts do not count as cached there.
func TestRejectedPromptIsNotCached(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 4 {
		w := f.addWorker(fmt.Sprintf("w%d", i), "z1", 96)
		w.prefillPerToken = time.Millisecond / 32
		w.workTime = func() time.Duration { return 20 * time.Millisecond }
	}
	r := f.relay("z1")
	f.run(func() {
		prompt := []relay.PromptPart{{ID: "system", Tokens: 2560}, {ID: "own", Tokens: 1000}}
		rejectedBy := ""
		f.beforeSend = func(w *fakeWorker) {
			f.beforeSend = nil
			rejectedBy, w.fault = w.ID, rejects
		}
		home := f.runTurn(r, modelCall(0, prompt...))
		f.True(home != rejectedBy)
		f.workers["addr-"+rejectedBy].fault = healthy
		f.clock.Sleep(10 * time.Second)
		for range 4 {
			f.Equal(f.runTurn(r, modelCall(0, prompt...)), home)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, bb := range []struct {
		name    string
		service *route.Service
	}{{"plain", plainService}, {"model", modelService}} {
		b.Run(bb.name, func(b *testing.B) {
			f := &fleet{workers: map[string]*fakeWorker{}, clock: base.NewRealClock()}
			for i := range 72 {
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

// instantBackends answers every request at once.
type instantBackends struct{}

var instantReply = &fakeReply{worker: &fakeWorker{slots: 96}, status: 200, header: map[string]string{"Seal": "x", "Load": "1,0,96"}}

func (instantBackends) DropIdle(string) {}
func (instantBackends) Call(*base.Ctx, string, *base.BackendRequest) (base.BackendReply, error) {
	return instantReply, nil
}
