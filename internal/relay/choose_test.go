// How requests spread over workers, with many nodes choosing at once from late
// and partial news.
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

// crowd runs nodes that each send requests at a steady mean rate to workers of
// which every fourth is slower, and gives the times of those served, how many
// were not, and the most that one worker had.
func crowd(t *testing.T, nodes, workers, draws int, load float64) (times []time.Duration, refused, most int) {
	f := newFleet(t, 7)
	zones := []string{"z1", "z2", "z3", "z4"}
	for place := range workers {
		w := f.add(fmt.Sprintf("w%d", place), zones[place%4], 6)
		slow := time.Duration(1)
		if place%5 == 4 {
			slow = 2
		}
		w.work = func() time.Duration { return slow * f.world.Between(20*time.Millisecond, 140*time.Millisecond) }
	}
	between := time.Duration(float64(100*time.Millisecond) * float64(nodes) / (load * 6 * float64(workers)))
	f.run(func() {
		left := nodes
		for place := range nodes {
			r := f.relay(zones[place%4])
			if draws > 0 {
				r.Draw(draws)
			}
			f.clock.Go(func() {
				under := 0
				for end := f.clock.Now() + 8*time.Second; f.clock.Now() < end; {
					under++
					f.clock.Go(func() {
						began := f.clock.Now()
						if _, v := f.offer(r, plain(route.KindNonIdempotent, 2), call()); v == nil {
							times = append(times, f.clock.Now()-began)
						} else {
							refused++
						}
						under--
					})
					f.clock.Sleep(f.world.Between(0, 2*between))
				}
				for under > 0 {
					f.clock.Sleep(100 * time.Millisecond)
				}
				left--
			})
		}
		for left > 0 {
			f.clock.Sleep(100 * time.Millisecond)
		}
	})
	for _, w := range f.order {
		most = max(most, w.most)
	}
	slices.Sort(times)
	return times, refused, most
}

// Two ways of choosing, and one at random: the least of all, with news that
// fades, is to be the best of them.
func TestManyChoosersDoNotHerd(t *testing.T) {
	for _, row := range []struct {
		nodes, workers int
		load           float64
	}{{6, 8, 0.8}, {64, 40, 0.7}} {
		late := map[int]time.Duration{}
		for _, draws := range []int{0, 2, 1} {
			times, refused, most := crowd(t, row.nodes, row.workers, draws, row.load)
			late[draws] = times[len(times)*99/100]
			t.Logf("%d nodes, %d workers, load %.1f, %d drawn: %d served, %d refused, p50 %v, p99 %v, most at a worker %d", row.nodes, row.workers, row.load, draws, len(times), refused,
				times[len(times)/2].Round(time.Millisecond), late[draws].Round(time.Millisecond), most)
			if refused > 0 {
				t.Error("requests were refused")
			}
		}
		if late[0] > late[2] || late[0] > late[1] || late[0] > 250*time.Millisecond {
			t.Error("requests herd", late)
		}
	}
}

// At twice of what the workers can do, the urgent half is served and of the
// other half what there is room for; a refusal comes within a quarter of the
// aim, and those served do not wait for ever.
func TestTooMuchIsRefusedEarlyAndLeastUrgentFirst(t *testing.T) {
	served, refused := tooMuch(t, 0, 9)
	if refused[0] > 40 {
		t.Error("urgent requests were refused", refused)
	}
	if served[0]+served[9] < 1900 {
		t.Error("workers were idle", served)
	}
	served, _ = tooMuch(t, 2, 2)
	if served[2] < 1900 {
		t.Error("workers were idle", served)
	}
}

func tooMuch(t *testing.T, urgencies ...int) (served, refused map[int]int) {
	f := newFleet(t, 5)
	for place := range 4 {
		f.add(fmt.Sprintf("w%d", place), "z1", 6)
	}
	nodes := []*relay.Relay{f.relay("z1"), f.relay("z1"), f.relay("z1")}
	served, refused = map[int]int{}, map[int]int{}
	var slowest time.Duration
	f.run(func() {
		under := 0
		for place := range 4000 { // 480 a second, where 240 can be served
			rt := plain(route.KindNonIdempotent, 1)
			rt.Urgency = urgencies[place%2]
			under++
			f.clock.Go(func() {
				began := f.clock.Now()
				_, v := f.offer(nodes[place%3], rt, call())
				took := f.clock.Now() - began
				if v == nil {
					served[rt.Urgency]++
					slowest = max(slowest, took)
				} else {
					f.Equal(v.Ran, base.NotRun)
					f.True(took <= rt.LatencyTarget/4)
					refused[rt.Urgency]++
				}
				under--
			})
			f.clock.Sleep(time.Second / 480)
		}
		for under > 0 {
			f.clock.Sleep(100 * time.Millisecond)
		}
	})
	t.Logf("served %v, refused %v, slowest %v", served, refused, slowest)
	f.True(slowest < 1500*time.Millisecond)
	return served, refused
}

func model(prompt int, parts ...relay.PromptPart) *relay.Call {
	c := call()
	c.PromptParts, c.MaxOutputTokens = parts, 34
	value := ""
	for place, part := range parts {
		c.PromptTokens += part.Tokens
		if place > 0 {
			value += ","
		}
		value += fmt.Sprintf("%s:%d", part.ID, part.Tokens)
	}
	c.Headers = []relay.Header{{Name: "Parts", Value: value}, {Name: "Stream", Value: "data: x\n\n"}}
	return c
}

var engine = &route.Service{Name: "s", Engine: &route.Engine{Slots: 96, CacheTokens: 250000, TokensPerEvent: 2}}

func (f *fleet) turn(r *relay.Relay, c *relay.Call) string {
	reply, err := r.Dispatch(base.NewCtx(f.clock, time.Minute), plain(route.KindStream, 2), engine, c, []byte("ask"))
	f.NoErr(err)
	defer reply.Close()
	for err == nil {
		_, err = reply.Event(time.Second)
	}
	return reply.WorkerID
}

// A session's next turn goes where its chain is kept; a new session goes where
// the part that it shares is kept; a worker that is swamped is left.
func TestSessionsStayWhereTheirPrefixIsKept(t *testing.T) {
	f := newFleet(t, 3)
	for place := range 9 {
		w := f.add(fmt.Sprintf("w%d", place), []string{"z1", "z2", "z3"}[place%3], 96)
		w.reading = time.Millisecond / 32
		w.work = func() time.Duration { return 20 * time.Millisecond }
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
				on := f.turn(r, model(0, chain...))
				if home == "" {
					home = on
				}
				f.Equal(on, home)
			}
			homes[home]++
		}
		f.True(len(homes) <= 2) // one after another they need no more
		read := 0
		for _, w := range f.order {
			read += w.read
		}
		f.True(read <= 12*4*500+2*2560)
		// Another node, which knows only where the last turn ran.
		other := f.relay("z3")
		former := f.order[5]
		c := model(0, shared, relay.PromptPart{ID: "x-0", Tokens: 3000}, relay.PromptPart{ID: "x-1", Tokens: 200})
		c.LastWorker = former.ID
		f.Equal(f.turn(other, c), former.ID)
		// Many sessions at once share one part: they spread.
		on := map[string]int{}
		left := 60
		for session := range left {
			f.clock.Go(func() {
				on[f.turn(r, model(0, shared, relay.PromptPart{ID: fmt.Sprintf("many%d", session), Tokens: 1000}))]++
				left--
			})
		}
		for left > 0 {
			f.clock.Sleep(10 * time.Millisecond)
		}
		f.True(len(on) >= 6)
	})
}

// A session's own part keeps its id and grows; only what is new of it is read,
// and what was put out after it counts as kept.
func TestAGrowingPartIsReadOnlyWhereItGrew(t *testing.T) {
	f := newFleet(t, 3)
	for place := range 4 {
		w := f.add(fmt.Sprintf("w%d", place), "z1", 96)
		w.reading = time.Millisecond / 32
		w.work = func() time.Duration { return 20 * time.Millisecond }
	}
	r := f.relay("z1")
	f.run(func() {
		shared := relay.PromptPart{ID: "system", Tokens: 2000}
		home := f.turn(r, model(0, shared, relay.PromptPart{ID: "own", Tokens: 500}))
		f.Equal(f.turn(r, model(0, shared, relay.PromptPart{ID: "own", Tokens: 900})), home)
		f.Equal(f.workers["addr-"+home].read, 2900)
		f.Equal(r.Unread(home, model(0, shared, relay.PromptPart{ID: "own", Tokens: 1300})), 400-2) // one event of two tokens
		f.Equal(r.Unread(home, model(0, shared, relay.PromptPart{ID: "own", Tokens: 600})), 0)
		f.Equal(r.Unread(home, model(0, shared, relay.PromptPart{ID: "other", Tokens: 600}, relay.PromptPart{ID: "own", Tokens: 600})), 1200)
	})
}

// A worker that turned a prompt away is not believed to keep its parts.
func TestAPromptTurnedAwayIsNotKept(t *testing.T) {
	f := newFleet(t, 3)
	for place := range 4 {
		w := f.add(fmt.Sprintf("w%d", place), "z1", 96)
		w.reading = time.Millisecond / 32
		w.work = func() time.Duration { return 20 * time.Millisecond }
	}
	r := f.relay("z1")
	f.run(func() {
		prompt := []relay.PromptPart{{ID: "system", Tokens: 2560}, {ID: "own", Tokens: 1000}}
		turned := ""
		f.before = func(w *fakeWorker) {
			f.before = nil
			turned, w.fault = w.ID, refuses
		}
		home := f.turn(r, model(0, prompt...))
		f.True(home != turned)
		f.workers["addr-"+turned].fault = well
		f.clock.Sleep(10 * time.Second)
		for range 4 {
			f.Equal(f.turn(r, model(0, prompt...)), home)
		}
	})
}

func BenchmarkChoosing(b *testing.B) {
	for _, row := range []struct {
		name    string
		service *route.Service
	}{{"plain", service}, {"model", engine}} {
		b.Run(row.name, func(b *testing.B) {
			f := &fleet{workers: map[string]*fakeWorker{}, clock: base.NewRealClock()}
			for place := range 72 {
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

// instant is workers that answer at once.
type instant struct{}

var instantReply = &fakeReply{worker: &fakeWorker{slots: 96}, status: 200, header: map[string]string{"Seal": "x", "Load": "1,0,96"}}

func (instant) Forget(string) {}
func (instant) Call(*base.Ctx, string, *base.BackRequest) (base.BackReply, error) {
	return instantReply, nil
}
