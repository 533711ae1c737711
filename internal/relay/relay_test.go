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

// Of two workers, the one that gets the request first has a fault. The second one
// gets it only if the first has certainly not run it, or if it is repeatable.
func TestSecondAttemptNeedsNotRunProof(t *testing.T) {
	for _, tt := range []struct {
		name   string
		fault  fault
		kind   route.Kind
		tries  int
		status int // seen by the client
		ran    base.Execution
		sent   int // number of workers it was sent to
	}{
		{"no fault", healthy, route.KindNonIdempotent, 1, 200, "", 1},
		{"rejected, another attempt", rejects, route.KindNonIdempotent, 2, 200, "", 2},
		{"rejected, no attempt left", rejects, route.KindNonIdempotent, 1, 503, base.NotRun, 1},
		{"rejected, attempts not configured", rejects, route.KindNonIdempotent, 0, 503, base.NotRun, 1},
		{"misdirected", misdirects, route.KindNonIdempotent, 2, 200, "", 2},
		{"no connection does not count as an attempt", unreachable, route.KindNonIdempotent, 1, 200, "", 1},
		{"a 503 without the header proves nothing", rejectsWithoutProof, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"response lost", losesReply, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"response lost, a stream", losesReply, route.KindStream, 2, 502, base.MayHaveRun, 1},
		{"response lost, repeatable", losesReply, route.KindIdempotent, 2, 200, "", 2},
		{"response lost, repeatable, no attempt left", losesReply, route.KindIdempotent, 1, 502, base.MayHaveRun, 1},
		{"body truncated", truncatesBody, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"body truncated, repeatable", truncatesBody, route.KindIdempotent, 2, 200, "", 2},
		{"without seal", omitsSeal, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"without seal, a stream", omitsSeal, route.KindStream, 2, 502, base.MayHaveRun, 1},
		{"with a content encoding", encodesBody, route.KindNonIdempotent, 2, 502, base.MayHaveRun, 1},
		{"the worker's own status 500 is passed on", returns500, route.KindNonIdempotent, 2, 500, "", 1},
		{"also if repeatable", returns500, route.KindIdempotent, 2, 500, "", 1},
		{"silence", neverAnswers, route.KindNonIdempotent, 2, 504, base.MayHaveRun, 1},
		{"silence, repeatable", neverAnswers, route.KindIdempotent, 2, 200, "", 2},
		{"silence, repeatable, no attempt left", neverAnswers, route.KindIdempotent, 1, 504, base.MayHaveRun, 1},
		{"silence, a stream", neverAnswers, route.KindStream, 2, 504, base.MayHaveRun, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 1)
			a, b := f.addWorker("a", "z1", 6), f.addWorker("b", "z1", 6)
			r := f.relay("z1")
			f.beforeSend = func(w *fakeWorker) {
				if len(a.receivedIDs)+len(b.receivedIDs) == 0 {
					w.fault = tt.fault
				}
			}
			if tt.fault == unreachable { // found before any byte is sent
				f.beforeSend = nil
				a.fault = unreachable
			}
			f.run(func() {
				for range 4 { // so that a and b are both likely to be the first
					c := newCall()
					sentBefore := len(a.receivedIDs) + len(b.receivedIDs)
					reply, v := f.dispatch(r, newRoute(tt.kind, tt.tries), c)
					if v != nil {
						f.Equal(v.Status, tt.status)
						f.Equal(v.Execution, tt.ran)
					} else {
						f.Equal(reply.Status, tt.status)
						body, err := reply.Body(time.Second)
						f.NoErr(err)
						f.Equal(string(body), "answer to "+c.ID)
						f.Equal(reply.Seal(), "sealed-"+c.ID)
						reply.Close()
					}
					f.Equal(len(a.receivedIDs)+len(b.receivedIDs)-sentBefore, tt.sent)
					if tt.fault != unreachable {
						break
					}
				}
			})
			if tt.kind != route.KindIdempotent {
				all := append(slices.Clone(a.ranIDs), b.ranIDs...)
				slices.Sort(all)
				f.Equal(len(slices.Compact(all)), len(a.ranIDs)+len(b.ranIDs)) // none ran twice
			}
		})
	}
}

// A refusal after a lost response must not be reported as not run.
func TestLossIsNotReportedAsNotRun(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.addWorker("a", "z1", 6), f.addWorker("b", "z1", 6)
	r := f.relay("z1")
	f.beforeSend = func(w *fakeWorker) {
		w.fault = losesReply
		if len(a.receivedIDs)+len(b.receivedIDs) == 1 {
			w.fault = rejects
		}
	}
	f.run(func() {
		_, v := f.dispatch(r, newRoute(route.KindIdempotent, 3), newCall())
		f.Equal(v.Status, 502)
		f.Equal(v.Execution, base.MayHaveRun)
	})
	f.Equal(len(a.receivedIDs)+len(b.receivedIDs), 2)
}

// A repeatable request leaves a silent worker early enough to be served elsewhere
// before its deadline. It stays if its expected duration leaves no time for a
// second attempt.
func TestRepeatableRequestLeavesSilentWorker(t *testing.T) {
	for _, tt := range []struct {
		name     string
		work     time.Duration
		deadline time.Duration
		sent     int
	}{
		{"time for another attempt", 50 * time.Millisecond, 1500 * time.Millisecond, 2},
		{"no time for another attempt", 50 * time.Millisecond, 300 * time.Millisecond, 1},
		{"slow work, no time for another attempt", 300 * time.Millisecond, 1500 * time.Millisecond, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 1)
			a, b := f.addWorker("a", "z1", 6), f.addWorker("b", "z1", 6)
			for _, w := range f.ordered {
				w.workTime = func() time.Duration { return tt.work }
			}
			r := f.relay("z1")
			f.run(func() {
				for range 40 { // the mean time of a request is measured
					_, v := f.dispatch(r, newRoute(route.KindIdempotent, 2), newCall())
					f.True(v == nil)
				}
				sentBefore := len(a.receivedIDs) + len(b.receivedIDs)
				f.beforeSend = func(w *fakeWorker) {
					if len(a.receivedIDs)+len(b.receivedIDs) == sentBefore {
						w.fault = neverAnswers
					}
				}
				c := newCall()
				c.Deadline = tt.deadline
				start := f.clock.Now()
				_, v := f.dispatch(r, newRoute(route.KindIdempotent, 2), c)
				f.Equal(v == nil, tt.sent == 2)
				f.Equal(len(a.receivedIDs)+len(b.receivedIDs)-sentBefore, tt.sent)
				if tt.sent == 2 {
					f.True(f.clock.Now()-start < tt.deadline/2)
				}
			})
		})
	}
}

func TestRequestSentToWorker(t *testing.T) {
	f := newFleet(t, 1)
	w := f.addWorker("a", "z1", 6)
	r := f.relay("z1")
	c := newCall()
	c.Headers = []relay.Header{{"X-B", "2"}, {"x-a", "1"}, {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "no"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "9"},
		{"Host", "other"}, {"time-left", "9"}, {"Only-Worker", "else"}, {"Call-Id", c.ID}, {"Expect", "100-continue"}, {"X-B", "3"}}
	f.run(func() {
		_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), c)
		f.True(v == nil)
	})
	f.Equal(w.lastRequest.Method+" "+w.lastRequest.Path+" "+w.lastRequest.Host+" "+string(w.lastRequest.Body)+" "+w.lastRequest.Incarnation, "POST /p?q=1 h ask a")
	var lines []string
	for _, line := range w.lastRequest.HeaderLines {
		lines = append(lines, line.Name+"="+line.Value)
	}
	f.Equal(strings.Join(lines, " "), "X-B=2 x-a=1 X-B=3 Call-Id="+c.ID+" Rank=3 Time-Left=5000 Only-Worker=a")
	f.Equal(w.lastRequest.EchoedHeader, base.HeaderLine{Name: "Call-Id", Value: c.ID})
}

// A worker is given the least of the client's and the route's time, less the time
// spent at a previous worker.
func TestWorkerGetsRemainingTime(t *testing.T) {
	f := newFleet(t, 1)
	f.addWorker("a", "z1", 6)
	f.addWorker("b", "z1", 6)
	r := f.relay("z1")
	rt := newRoute(route.KindNonIdempotent, 2)
	rt.Timeout = 3 * time.Second
	var second *base.BackendRequest
	f.run(func() {
		f.beforeSend = func(w *fakeWorker) {
			w.fault = healthy
			if second == nil {
				w.fault = rejects
				f.clock.Sleep(500 * time.Millisecond)
				second = &base.BackendRequest{}
			}
		}
		reply, v := f.dispatch(r, rt, newCall())
		f.True(v == nil)
		second = f.workers["addr-"+reply.WorkerID].lastRequest
	})
	f.Equal(valueOf(second, "Time-Left"), "2498")
}

func TestNothingIsSentWithTooLittleTime(t *testing.T) {
	f := newFleet(t, 1)
	w := f.addWorker("a", "z1", 6)
	r := f.relay("z1")
	c := newCall()
	c.Deadline = 30 * time.Millisecond // less than a tenth of the latency target
	f.run(func() {
		_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), c)
		f.Equal(v.Execution, base.NotRun)
		f.Equal(v.Status, 503)
	})
	f.Equal(len(w.receivedIDs), 0)
}

func TestLeavingWorkersGetNoRequests(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.addWorker("a", "z1", 6), f.addWorker("b", "z1", 6)
	r := f.relay("z1")
	f.run(func() {
		a.Draining = true
		r.SetWorkers(f.list())
		for range 20 {
			_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
			f.True(v == nil)
		}
		f.Equal(len(a.receivedIDs), 0)
		a.Draining = false
		r.SetWorkers(f.list())
		// The list changes between the choice and the sending.
		f.beforeSend = func(w *fakeWorker) {
			f.beforeSend = nil
			w.Draining = true
			r.SetWorkers(f.list())
		}
		_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		f.True(v == nil)
		for _, w := range f.ordered {
			f.Equal(len(w.receivedIDs) > 0, !w.Draining || w == b)
		}
		f.beforeSend = nil
		f.ordered = []*fakeWorker{}
		r.SetWorkers(f.list())
		_, v = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		f.Equal(v.Execution, base.NotRun)
		f.Equal(v.Status, 503)
		slices.Sort(f.forgotten)
		f.Equal(strings.Join(f.forgotten, ""), "ab")
	})
}

// A queued request goes to a worker that is added to the list, never to one that
// began to leave in the meantime.
func TestQueuedRequestFollowsWorkerList(t *testing.T) {
	f := newFleet(t, 1)
	f.addWorker("a", "z1", 1).fault = rejects
	r := f.relay("z1")
	f.run(func() {
		_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall()) // a reports that it is full
		f.Equal(v.Status, 503)
		served := ""
		f.clock.Go(func() {
			if reply, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall()); v == nil {
				served = reply.WorkerID
			}
		})
		f.clock.Sleep(2 * time.Millisecond)
		f.ordered[0].Draining = true
		f.addWorker("b", "z1", 1)
		r.SetWorkers(f.list())
		f.clock.Sleep(time.Second)
		f.Equal(served, "b")
		f.Equal(len(f.ordered[0].receivedIDs), 1)
	})
}

// If every worker is full, a request is declined within a quarter of the latency
// target, with a retry time of at most a third of the time left.
func TestBusyIsEarlyWithRetryTime(t *testing.T) {
	f := newFleet(t, 1)
	w := f.addWorker("a", "z1", 1)
	w.queue, w.fault = 0, rejects
	r := f.relay("z1")
	f.run(func() {
		_, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		for range 5 {
			c := newCall()
			start := f.clock.Now()
			_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), c)
			f.True(f.clock.Now()-start <= 100*time.Millisecond)
			f.Equal(v.Status, 503)
			f.Equal(v.Execution, base.NotRun)
			f.True(v.RetryAfterMs >= 1 && v.RetryAfterMs <= 5000/3)
		}
		c := newCall()
		c.Deadline = 90 * time.Millisecond
		w.slots = 0
		_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), c)
		f.True(v.RetryAfterMs >= 1 && v.RetryAfterMs <= 30)
	})
}

// The queue is served by rank, then urgency. A request that others keep preceding
// is declined.
func TestQueueOrderIsRankThenUrgency(t *testing.T) {
	f := newFleet(t, 1)
	w := f.addWorker("a", "z1", 1)
	w.queue = 0
	r := f.relay("z1")
	r.MaxConnsPerWorker = func(*route.Service) int { return 1 }
	r.Rank = func(c *relay.Call) int {
		if c.Program == "runaway" {
			return 1
		}
		return 0
	}
	w.workTime = func() time.Duration { return 20 * time.Millisecond }
	var order []string
	f.run(func() {
		send := func(name string, urgency int) {
			rt := newRoute(route.KindNonIdempotent, 1)
			rt.Urgency = urgency
			c := newCall()
			c.Program = name
			f.clock.Go(func() {
				if reply, v := f.dispatch(r, rt, c); v == nil {
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

// A worker that fails is avoided for a limited time. If all workers fail, none is
// avoided.
func TestFailingWorkerIsAvoidedTemporarily(t *testing.T) {
	f := newFleet(t, 1)
	bad, good := f.addWorker("bad", "z1", 6), f.addWorker("good", "z1", 6)
	bad.fault = losesReply
	r := f.relay("z1")
	f.run(func() {
		for range 100 {
			_, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		}
		f.True(len(bad.receivedIDs) >= 2)
		f.True(len(bad.receivedIDs) <= 10)
		bad.fault = healthy
		f.clock.Sleep(5 * time.Second)
		before := len(bad.receivedIDs)
		for range 100 {
			_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
			f.True(v == nil)
		}
		f.True(len(bad.receivedIDs)-before > 20)
		good.fault, bad.fault = losesReply, losesReply
		for range 10 {
			_, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		}
		good.fault, bad.fault = healthy, healthy
		_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		f.True(v == nil)
	})
}

// When a failed worker is no longer avoided, a single request probes it. Others go
// elsewhere until that one is answered.
func TestOneProbeAfterBackoff(t *testing.T) {
	f := newFleet(t, 1)
	bad, good := f.addWorker("bad", "z1", 6), f.addWorker("good", "z1", 6)
	bad.fault, good.fault = losesReply, rejects
	r := f.relay("z1")
	f.run(func() {
		_, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 2), newCall())
		if len(bad.receivedIDs) == 0 {
			_, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 2), newCall())
		}
		f.True(len(bad.receivedIDs) > 0)
		bad.fault, good.fault = healthy, healthy
		f.clock.Sleep(10 * time.Second)
		before := len(bad.receivedIDs)
		for range 12 {
			f.clock.Go(func() { _, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall()) })
			f.clock.Sleep(time.Millisecond)
		}
		f.True(len(bad.receivedIDs)-before <= 1)
		f.clock.Sleep(time.Second)
		for range 12 {
			f.clock.Go(func() { _, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall()) })
			f.clock.Sleep(time.Millisecond)
		}
		f.True(len(bad.receivedIDs)-before > 3)
	})
}

// A worker that has requests in flight but sends nothing gets no new ones for some
// time.
func TestSilentWorkerGetsNoNewRequests(t *testing.T) {
	f := newFleet(t, 1)
	silent, _ := f.addWorker("mute", "z1", 6), f.addWorker("well", "z1", 6)
	silent.fault = neverAnswers
	r := f.relay("z1")
	f.run(func() {
		for range 400 {
			f.clock.Go(func() { _, _ = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall()) })
			f.clock.Sleep(10 * time.Millisecond)
		}
		f.True(len(silent.receivedIDs) > 0)
		f.True(len(silent.receivedIDs) < 60)
	})
}

// A queued request is served once a worker no longer counts as full, even though no
// request of this node has ended in the meantime.
func TestQueuedRequestIsServedAfterBackoffExpires(t *testing.T) {
	f := newFleet(t, 1)
	w := f.addWorker("a", "z1", 6)
	w.fault = rejects
	r := f.relay("z1")
	f.run(func() {
		_, v := f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		f.Equal(v.Status, 503)
		w.fault = healthy
		_, v = f.dispatch(r, newRoute(route.KindNonIdempotent, 1), newCall())
		f.True(v == nil)
	})
}

func TestStreamIsReadEventByEvent(t *testing.T) {
	f := newFleet(t, 1)
	w := f.addWorker("a", "z1", 6)
	r := f.relay("z1")
	c := newCall()
	c.Headers = []relay.Header{{"Stream", "id: 1\ndata: one\ndata:two\n\nversions: 3\nid:2\ndata: x\n\n"}}
	f.run(func() {
		reply, v := f.dispatch(r, newRoute(route.KindStream, 1), c)
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
		w.fault = truncatesBody
		cut := newCall()
		cut.Headers = []relay.Header{{"Stream", "data: one\n\ndata: tw"}}
		reply, v = f.dispatch(r, newRoute(route.KindStream, 1), cut)
		f.True(v == nil)
		_, err = reply.Event(time.Second)
		f.NoErr(err)
		_, err = reply.Event(time.Second)
		f.Equal(base.ToRequestError(err).Execution, base.MayHaveRun)
		reply.Close()
	})
}
