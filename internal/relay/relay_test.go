// When a request goes on to another worker, and what its client is told.
package relay_test

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"
)

// Two workers; the first that is asked has a fault. A second is asked only
// when the first has certainly not run the request, or when it may be repeated.
func TestASecondWorkerNeedsAProof(t *testing.T) {
	for _, row := range []struct {
		name   string
		fault  fault
		kind   route.Kind
		tries  int
		status int // the client's
		ran    base.Ran
		sent   int // workers that were sent to
	}{
		{"well", well, route.KindNonIdempotent, 1, 200, "", 1},
		{"turned away, another try", refuses, route.KindNonIdempotent, 2, 200, "", 2},
		{"turned away, no try left", refuses, route.KindNonIdempotent, 1, 503, base.NotRun, 1},
		{"turned away, tries not told", refuses, route.KindNonIdempotent, 0, 503, base.NotRun, 1},
		{"another worker's address", mistaken, route.KindNonIdempotent, 2, 200, "", 2},
		{"no connection needs no try", unreachable, route.KindNonIdempotent, 1, 200, "", 1},
		{"a bare 503 promises nothing", refusesBare, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"lost", loses, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"lost stream", loses, route.KindStream, 2, 502, base.MayHaveRun, 1},
		{"lost, may be repeated", loses, route.KindIdempotent, 2, 200, "", 2},
		{"lost, may be repeated, no try left", loses, route.KindIdempotent, 1, 502, base.MayHaveRun, 1},
		{"cut", cuts, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"cut, may be repeated", cuts, route.KindIdempotent, 2, 200, "", 2},
		{"without seal", unsealed, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"without seal, a stream", unsealed, route.KindStream, 2, 502, base.MayHaveRun, 1},
		{"encoded", encoded, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"the worker's own failure is the answer", breaks, route.KindNonIdempotent, 2, 500, "", 1},
		{"also of what may be repeated", breaks, route.KindIdempotent, 2, 500, "", 1},
		{"silence", silent, route.KindNonIdempotent, 2, 504, base.MayHaveRun, 1},
		{"silence, may be repeated", silent, route.KindIdempotent, 2, 200, "", 2},
		{"silence, may be repeated, no try left", silent, route.KindIdempotent, 1, 504, base.MayHaveRun, 1},
		{"silence of a stream", silent, route.KindStream, 2, 504, base.MayHaveRun, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, 1)
			a, b := f.add("a", "z1", 6), f.add("b", "z1", 6)
			r := f.relay("z1")
			f.before = func(w *fakeWorker) {
				if len(a.got)+len(b.got) == 0 {
					w.fault = row.fault
				}
			}
			if row.fault == unreachable { // found before any byte leaves
				f.before = nil
				a.fault = unreachable
			}
			f.run(func() {
				for range 4 { // with a, b both likely to be the first
					c := call()
					sent := len(a.got) + len(b.got)
					reply, v := f.offer(r, plain(row.kind, row.tries), c)
					if v != nil {
						f.Equal(v.Status, row.status)
						f.Equal(v.Ran, row.ran)
					} else {
						f.Equal(reply.Status, row.status)
						body, err := reply.Body(time.Second)
						f.NoErr(err)
						f.Equal(string(body), "answer to "+c.ID)
						f.Equal(reply.Seal(), "sealed-"+c.ID)
						reply.Close()
					}
					f.Equal(len(a.got)+len(b.got)-sent, row.sent)
					if row.fault != unreachable {
						break
					}
				}
			})
			if row.kind != route.KindIdempotent {
				all := append(slices.Clone(a.ran), b.ran...)
				slices.Sort(all)
				f.Equal(len(slices.Compact(all)), len(a.ran)+len(b.ran)) // none ran twice
			}
		})
	}
}

// A lost answer and then a refusal is no promise.
func TestALossIsNeverCalledNotRunLater(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.add("a", "z1", 6), f.add("b", "z1", 6)
	r := f.relay("z1")
	f.before = func(w *fakeWorker) {
		w.fault = loses
		if len(a.got)+len(b.got) == 1 {
			w.fault = refuses
		}
	}
	f.run(func() {
		_, v := f.offer(r, plain(route.KindIdempotent, 3), call())
		f.Equal(v.Status, 502)
		f.Equal(v.Ran, base.MayHaveRun)
	})
	f.Equal(len(a.got)+len(b.got), 2)
}

// A repeatable request leaves a silent worker soon enough to be served inside
// its deadline; one whose expected work leaves no time for a second attempt
// stays.
func TestARepeatableRequestLeavesASilentWorker(t *testing.T) {
	for _, row := range []struct {
		name     string
		work     time.Duration
		deadline time.Duration
		sent     int
	}{
		{"time for another attempt", 50 * time.Millisecond, 1500 * time.Millisecond, 2},
		{"no time for another attempt", 50 * time.Millisecond, 300 * time.Millisecond, 1},
		{"slow work, no time for another attempt", 300 * time.Millisecond, 1500 * time.Millisecond, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, 1)
			a, b := f.add("a", "z1", 6), f.add("b", "z1", 6)
			for _, w := range f.order {
				w.work = func() time.Duration { return row.work }
			}
			r := f.relay("z1")
			f.run(func() {
				for range 40 { // the time of a request is learned
					_, v := f.offer(r, plain(route.KindIdempotent, 2), call())
					f.True(v == nil)
				}
				sent := len(a.got) + len(b.got)
				f.before = func(w *fakeWorker) {
					if len(a.got)+len(b.got) == sent {
						w.fault = silent
					}
				}
				c := call()
				c.Deadline = row.deadline
				began := f.clock.Now()
				_, v := f.offer(r, plain(route.KindIdempotent, 2), c)
				f.Equal(v == nil, row.sent == 2)
				f.Equal(len(a.got)+len(b.got)-sent, row.sent)
				if row.sent == 2 {
					f.True(f.clock.Now()-began < row.deadline/2)
				}
			})
		})
	}
}

func TestWhatAWorkerIsSent(t *testing.T) {
	f := newFleet(t, 1)
	w := f.add("a", "z1", 6)
	r := f.relay("z1")
	c := call()
	c.Headers = []relay.Header{{"X-B", "2"}, {"x-a", "1"}, {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "no"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "9"},
		{"Host", "other"}, {"time-left", "9"}, {"Only-Worker", "else"}, {"Call-Id", c.ID}, {"Expect", "100-continue"}, {"X-B", "3"}}
	f.run(func() {
		_, v := f.offer(r, plain(route.KindNonIdempotent, 1), c)
		f.True(v == nil)
	})
	f.Equal(w.last.Method+" "+w.last.Path+" "+w.last.Host+" "+string(w.last.Body)+" "+w.last.Worker, "POST /p?q=1 h ask a")
	var lines []string
	for _, line := range w.last.Lines {
		lines = append(lines, line.Name+"="+line.Value)
	}
	f.Equal(strings.Join(lines, " "), "X-B=2 x-a=1 X-B=3 Call-Id="+c.ID+" Rank=3 Time-Left=5000 Only-Worker=a")
	f.Equal(w.last.Match, base.HeaderLine{Name: "Call-Id", Value: c.ID})
}

// The worker is given the least of the client's time, the route's and what is
// left of both after a first worker.
func TestAWorkerIsGivenTheTimeLeft(t *testing.T) {
	f := newFleet(t, 1)
	f.add("a", "z1", 6)
	f.add("b", "z1", 6)
	r := f.relay("z1")
	rt := plain(route.KindNonIdempotent, 2)
	rt.Timeout = 3 * time.Second
	var second *base.BackRequest
	f.run(func() {
		f.before = func(w *fakeWorker) {
			w.fault = well
			if second == nil {
				w.fault = refuses
				f.clock.Sleep(500 * time.Millisecond)
				second = &base.BackRequest{}
			}
		}
		reply, v := f.offer(r, rt, call())
		f.True(v == nil)
		second = f.workers["addr-"+reply.WorkerID].last
	})
	f.Equal(valueOf(second, "Time-Left"), "2498")
}

func TestNoWorkerIsSentWhatCannotCount(t *testing.T) {
	f := newFleet(t, 1)
	w := f.add("a", "z1", 6)
	r := f.relay("z1")
	c := call()
	c.Deadline = 30 * time.Millisecond // under a tenth of the aim
	f.run(func() {
		_, v := f.offer(r, plain(route.KindNonIdempotent, 1), c)
		f.Equal(v.Ran, base.NotRun)
		f.Equal(v.Status, 503)
	})
	f.Equal(len(w.got), 0)
}

func TestLeavingWorkersGetNothing(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.add("a", "z1", 6), f.add("b", "z1", 6)
	r := f.relay("z1")
	f.run(func() {
		a.Draining = true
		r.SetWorkers(f.list())
		for range 20 {
			_, v := f.offer(r, plain(route.KindNonIdempotent, 1), call())
			f.True(v == nil)
		}
		f.Equal(len(a.got), 0)
		a.Draining = false
		r.SetWorkers(f.list())
		// The list changes between the choice and the sending.
		f.before = func(w *fakeWorker) {
			f.before = nil
			w.Draining = true
			r.SetWorkers(f.list())
		}
		_, v := f.offer(r, plain(route.KindNonIdempotent, 1), call())
		f.True(v == nil)
		for _, w := range f.order {
			f.Equal(len(w.got) > 0, !w.Draining || w == b)
		}
		f.before = nil
		f.order = []*fakeWorker{}
		r.SetWorkers(f.list())
		_, v = f.offer(r, plain(route.KindNonIdempotent, 1), call())
		f.Equal(v.Ran, base.NotRun)
		f.Equal(v.Status, 503)
		slices.Sort(f.forgot)
		f.Equal(strings.Join(f.forgot, ""), "ab")
	})
}

// A request that waits for room goes to a worker that comes, never to one that
// began to leave meanwhile.
func TestWhoWaitsFollowsTheList(t *testing.T) {
	f := newFleet(t, 1)
	f.add("a", "z1", 1).fault = refuses
	r := f.relay("z1")
	f.run(func() {
		_, v := f.offer(r, plain(route.KindNonIdempotent, 1), call()) // a says that it is full
		f.Equal(v.Status, 503)
		served := ""
		f.clock.Go(func() {
			if reply, v := f.offer(r, plain(route.KindNonIdempotent, 1), call()); v == nil {
				served = reply.WorkerID
			}
		})
		f.clock.Sleep(2 * time.Millisecond)
		f.order[0].Draining = true
		f.add("b", "z1", 1)
		r.SetWorkers(f.list())
		f.clock.Sleep(time.Second)
		f.Equal(served, "b")
		f.Equal(len(f.order[0].got), 1)
	})
}

// When every worker is full the refusal comes within a quarter of the aim, and
// tells when to come back, within a third of the time left.
func TestARefusalComesEarlyAndTellsWhen(t *testing.T) {
	f := newFleet(t, 1)
	w := f.add("a", "z1", 1)
	w.queue, w.fault = 0, refuses
	r := f.relay("z1")
	f.run(func() {
		_, _ = f.offer(r, plain(route.KindNonIdempotent, 1), call())
		for range 5 {
			c := call()
			began := f.clock.Now()
			_, v := f.offer(r, plain(route.KindNonIdempotent, 1), c)
			f.True(f.clock.Now()-began <= 100*time.Millisecond)
			f.Equal(v.Status, 503)
			f.Equal(v.Ran, base.NotRun)
			f.True(v.RetryAfterMs >= 1 && v.RetryAfterMs <= 5000/3)
		}
		c := call()
		c.Deadline = 90 * time.Millisecond
		w.slots = 0
		_, v := f.offer(r, plain(route.KindNonIdempotent, 1), c)
		f.True(v.RetryAfterMs >= 1 && v.RetryAfterMs <= 30)
	})
}

// In a line that is full the least urgent give way, and who is served first is
// the most urgent.
func TestTheLineIsByRankThenUrgency(t *testing.T) {
	f := newFleet(t, 1)
	w := f.add("a", "z1", 1)
	w.queue = 0
	r := f.relay("z1")
	r.MaxConnsPerWorker = func(*route.Service) int { return 1 }
	r.Rank = func(c *relay.Call) int {
		if c.Program == "runaway" {
			return 1
		}
		return 0
	}
	w.work = func() time.Duration { return 20 * time.Millisecond }
	var order []string
	f.run(func() {
		send := func(name string, urgency int) {
			rt := plain(route.KindNonIdempotent, 1)
			rt.Urgency = urgency
			c := call()
			c.Program = name
			f.clock.Go(func() {
				if reply, v := f.offer(r, rt, c); v == nil {
					_ = reply
					order = append(order, name)
				}
			})
			f.clock.Sleep(100 * time.Microsecond)
		}
		send("first", 9)
		send("runaway", 0)
		send("least", 9)
		send("most", 0)
		send("middle", 5)
		f.clock.Sleep(time.Second)
	})
	f.Equal(strings.Join(order, " "), "first most middle least")
}

// A worker that fails is avoided for a while, not for ever, and when all fail
// none is avoided.
func TestAFailingWorkerIsAvoidedForAWhile(t *testing.T) {
	f := newFleet(t, 1)
	bad, good := f.add("bad", "z1", 6), f.add("good", "z1", 6)
	bad.fault = loses
	r := f.relay("z1")
	f.run(func() {
		for range 100 {
			_, _ = f.offer(r, plain(route.KindNonIdempotent, 1), call())
		}
		f.True(len(bad.got) >= 2)
		f.True(len(bad.got) <= 10)
		bad.fault = well
		f.clock.Sleep(5 * time.Second)
		before := len(bad.got)
		for range 100 {
			_, v := f.offer(r, plain(route.KindNonIdempotent, 1), call())
			f.True(v == nil)
		}
		f.True(len(bad.got)-before > 20)
		good.fault, bad.fault = loses, loses
		for range 10 {
			_, _ = f.offer(r, plain(route.KindNonIdempotent, 1), call())
		}
		good.fault, bad.fault = well, well
		_, v := f.offer(r, plain(route.KindNonIdempotent, 1), call())
		f.True(v == nil)
	})
}

// After its pause one request tries the worker; others go elsewhere until that
// one has come back.
func TestOneRequestTriesAWorkerAgain(t *testing.T) {
	f := newFleet(t, 1)
	bad, good := f.add("bad", "z1", 6), f.add("good", "z1", 6)
	bad.fault, good.fault = loses, refuses
	r := f.relay("z1")
	f.run(func() {
		_, _ = f.offer(r, plain(route.KindNonIdempotent, 2), call())
		if len(bad.got) == 0 {
			_, _ = f.offer(r, plain(route.KindNonIdempotent, 2), call())
		}
		f.True(len(bad.got) > 0)
		bad.fault, good.fault = well, well
		f.clock.Sleep(10 * time.Second)
		before := len(bad.got)
		for range 12 {
			f.clock.Go(func() { _, _ = f.offer(r, plain(route.KindNonIdempotent, 1), call()) })
			f.clock.Sleep(time.Millisecond)
		}
		f.True(len(bad.got)-before <= 1)
		f.clock.Sleep(time.Second)
		for range 12 {
			f.clock.Go(func() { _, _ = f.offer(r, plain(route.KindNonIdempotent, 1), call()) })
			f.clock.Sleep(time.Millisecond)
		}
		f.True(len(bad.got)-before > 3)
	})
}

// A worker that owes answers and says nothing gets no more for the time being.
func TestASilentWorkerGetsNoMore(t *testing.T) {
	f := newFleet(t, 1)
	mute, _ := f.add("mute", "z1", 6), f.add("well", "z1", 6)
	mute.fault = silent
	r := f.relay("z1")
	f.run(func() {
		for range 400 {
			f.clock.Go(func() { _, _ = f.offer(r, plain(route.KindNonIdempotent, 1), call()) })
			f.clock.Sleep(10 * time.Millisecond)
		}
		f.True(len(mute.got) > 0)
		f.True(len(mute.got) < 60)
	})
}

// Who waits is served when a worker that was full has room again, though
// nothing on this node has ended meanwhile.
func TestWhoWaitsIsServedWhenTimeAloneMakesRoom(t *testing.T) {
	f := newFleet(t, 1)
	w := f.add("a", "z1", 6)
	w.fault = refuses
	r := f.relay("z1")
	f.run(func() {
		_, v := f.offer(r, plain(route.KindNonIdempotent, 1), call())
		f.Equal(v.Status, 503)
		w.fault = well
		_, v = f.offer(r, plain(route.KindNonIdempotent, 1), call())
		f.True(v == nil)
	})
}

func TestStreamsComeEventByEvent(t *testing.T) {
	f := newFleet(t, 1)
	w := f.add("a", "z1", 6)
	r := f.relay("z1")
	c := call()
	c.Headers = []relay.Header{{"Stream", "id: 1\ndata: one\ndata:two\n\nversions: 3\nid:2\ndata: x\n\n"}}
	f.run(func() {
		reply, v := f.offer(r, plain(route.KindStream, 1), c)
		f.True(v == nil)
		f.True(!reply.Buffered())
		event, err := reply.Event(time.Second)
		f.NoErr(err)
		f.Equal(string(event.Raw), "id: 1\ndata: one\ndata:two\n\n")
		f.Equal(string(event.Data), "one\ntwo")
		f.Equal(event.ID, "1")
		event, err = reply.Event(time.Second)
		f.NoErr(err)
		f.Equal(string(event.Raw), "versions: 3\nid:2\ndata: x\n\n")
		_, err = reply.Event(time.Second)
		f.Equal(err, io.EOF)
		reply.Close()
		w.fault = cuts
		cut := call()
		cut.Headers = []relay.Header{{"Stream", "data: one\n\ndata: tw"}}
		reply, v = f.offer(r, plain(route.KindStream, 1), cut)
		f.True(v == nil)
		_, err = reply.Event(time.Second)
		f.NoErr(err)
		_, err = reply.Event(time.Second)
		f.Equal(base.FromWire(err).Ran, base.MayHaveRun)
		reply.Close()
	})
}
