package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

const sec = time.Second

// recordBuilder builds the record of a run with two edges, three cores, one storage machine,
// a model service and an app service with one worker each, and some successful requests.
type recordBuilder struct {
	*Record
	initialOrder *Order
}

func newRecordBuilder() *recordBuilder {
	c := &Config{Generation: 2, Services: []Service{{Name: "m", HealthPath: "/health"}, {Name: "a", HealthPath: "/health"}}, Routes: []Route{
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: Streaming, DeadlineMs: 6000, Service: "m", Retained: true, RetainS: 60},
		{Name: "post", Host: "h", Prefix: "/post/", Kind: NonIdempotent, DeadlineMs: 6000, Service: "a"},
		{Name: "look", Host: "h", Prefix: "/look/", Kind: Idempotent, DeadlineMs: 6000, Service: "a"},
	}}
	s := &recordBuilder{Record: &Record{Bounds: DefaultBounds(), Stride: 2, Core: 3, Over: 60 * sec}}
	s.Starts = []Start{
		{"edge-1", ClassEdge, 0}, {"edge-2", ClassEdge, 0},
		{"core-1", ClassCore, 0}, {"core-2", ClassCore, 0}, {"core-3", ClassCore, 0},
		{"storage-1", ClassStorage, 0},
	}
	s.initialOrder = s.addOrder(0, c, 1*sec, 200)
	s.addAnsweredTry("p1", NonIdempotent, "/post/1", 10*sec)
	s.addAnsweredTry("l1", Idempotent, "/look/1", 10*sec)
	s.addTurn("u1", "", 10*sec)
	s.addTurn("u2", "u1", 12*sec)
	s.Reads = []ReadBack{{59 * sec, 200, c.Encode()}}
	return s
}

func (s *recordBuilder) addOrder(base uint64, c *Config, at time.Duration, status int) *Order {
	o := &Order{Operator: "op", Base: base, Config: c, Raw: c.Encode(), Sent: at, Ended: at + 100*time.Millisecond, Status: status}
	if status != 200 && status != 412 {
		o.Fault = c.InvalidReason(base)
	}
	s.Orders = append(s.Orders, o)
	return o
}

// nextConfig returns a configuration on top of the initial one that moves a route to the
// other service and adds one.
func (s *recordBuilder) nextConfig(generation uint64) *Config {
	c := s.initialOrder.Config.Clone()
	c.Generation = generation
	c.Routes[2].Service = "m"
	c.Routes = append(c.Routes, Route{Name: "more", Host: "h", Prefix: "/more/", Kind: Idempotent, DeadlineMs: 1000, Service: "a"})
	return c
}

// addAckedOrder adds an acknowledged nextConfig, which is also what is read back.
func (s *recordBuilder) addAckedOrder(generation uint64, at time.Duration) *Order {
	o := s.addOrder(2, s.nextConfig(generation), at, 200)
	s.Reads = []ReadBack{{59 * sec, 200, o.Raw}}
	return o
}

func (s *recordBuilder) addTry(id string, kind Kind, target string, at time.Duration) *Try {
	t := &Try{ID: id, Class: "c", Kind: kind, Host: "h", Method: "POST", Target: target, Body: []byte("body of " + id), Node: "edge-1", Deadline: 6 * sec,
		Sent: at, Written: at + time.Millisecond, Ended: at + 500*time.Millisecond}
	s.Tries = append(s.Tries, t)
	return t
}

func (s *recordBuilder) addArrival(t *Try, service string) *Arrival {
	a := &Arrival{Worker: "w-" + service, Service: service, ID: t.ID, Host: t.Host, Method: t.Method, Target: t.Target, Body: base.Digest(t.Body),
		At: t.Sent + 10*time.Millisecond, Ran: true, Began: t.Sent + 20*time.Millisecond, Ended: t.Ended - 10*time.Millisecond, Status: 200, Seal: "s-" + t.ID,
		Answer: base.Digest([]byte("answer to " + t.ID)), Whole: true}
	s.Arrivals = append(s.Arrivals, a)
	return a
}

// deliver fills in the try as if the client had received what the worker sent.
func deliver(t *Try, a *Arrival) {
	t.Status, t.Seal, t.Echo, t.Answer, t.Complete = a.Status, a.Seal, t.ID, a.Answer, true
	t.Events = append([]Event(nil), a.Events...)
	t.First = t.Sent + 30*time.Millisecond
}

func (s *recordBuilder) addAnsweredTry(id string, kind Kind, target string, at time.Duration) (*Try, *Arrival) {
	t := s.addTry(id, kind, target, at)
	a := s.addArrival(t, "a")
	deliver(t, a)
	return t, a
}

func (s *recordBuilder) addTurn(id, previous string, at time.Duration) (*Try, *Arrival) {
	t := s.addTry(id, Streaming, "/chat/1", at)
	t.Program, t.Previous, t.Budget, t.Most, t.Retain = "prog", previous, 20, 6, 60*sec
	a := s.addArrival(t, "m")
	if previous != "" {
		var chain []*Try
		for name := previous; name != ""; {
			turn := s.findTry(name)
			if turn == nil {
				break
			}
			chain = append([]*Try{turn}, chain...)
			name = turn.Previous
		}
		a.Body = base.Digest(ComposeInput(chain, t.Body))
	}
	for index := range 3 {
		a.Events = append(a.Events, Event{int64(index + 1), fmt.Sprintf("%s-%d", id, index+1), at})
	}
	deliver(t, a)
	return t, a
}

func (s *recordBuilder) findTry(id string) *Try {
	for _, t := range s.Tries {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// addSystemAnswer adds a try that the system answered itself, without a worker.
func (s *recordBuilder) addSystemAnswer(id string, kind Kind, target string, at time.Duration, status int) *Try {
	t := s.addTry(id, kind, target, at)
	t.Status, t.Complete = status, true
	return t
}

func (s *recordBuilder) addTrouble(kind, machine, class string, from, to time.Duration) *Trouble {
	t := &Trouble{Kind: kind, Machine: machine, Class: class, From: from, To: to}
	s.Troubles = append(s.Troubles, t)
	return t
}

// addDroppedTry adds a request that was read and whose connection ended without an answer.
func (s *recordBuilder) addDroppedTry(id string, at time.Duration) (*Try, *Arrival) {
	t := s.addTry(id, NonIdempotent, "/post/d", at)
	a := s.addArrival(t, "a")
	a.Left, a.Whole = true, false
	return t, a
}

func (s *recordBuilder) setClosing(from, back time.Duration) { s.Closing = &Closing{from, back} }

type testCase struct {
	name  string
	setup func(s *recordBuilder)
	want  string // a part of the breach with its rule, or empty for none
}

// runCases checks that each case's record shows a breach of the wanted rule and of no other,
// or no breach at all: a rule must find each of its breaches and accept records that come
// close to one.
func runCases(t *testing.T, cases []testCase) {
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newRecordBuilder()
			test.setup(s)
			found := fmt.Sprint(s.Check())
			if test.want == "" {
				is.Equal(found, "[]")
				return
			}
			if !strings.Contains(found, test.want) {
				t.Fatalf("the breaches %s do not include %q", found, test.want)
			}
			rule, _, _ := strings.Cut(test.want, ":")
			for _, b := range s.Check() {
				is.Equal(b.Rule, rule) // no breach of another rule
			}
		})
	}
}

func TestAnswerRules(t *testing.T) {
	runCases(t, []testCase{
		{"a correct record", func(*recordBuilder) {}, ""},
		{"a success without a seal", func(s *recordBuilder) { s.addSystemAnswer("x", Idempotent, "/look/2", 20*sec, 200) }, "MIXED: x got a successful answer without a worker's seal"},
		{"another body", func(s *recordBuilder) {
			t, _ := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec)
			t.Answer = "other"
		}, "MIXED: x got a body that differs"},
		{"an encoded body", func(s *recordBuilder) {
			t, _ := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec)
			t.Encoding = "gzip"
		}, "MIXED: x got a body with content encoding"},
		{"a success where the worker failed", func(s *recordBuilder) { _, a := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec); a.Status = 500 }, "MIXED: x got 200 where"},
		{"a failure that the worker gave", func(s *recordBuilder) {
			t, a := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec)
			t.Status, a.Status = 500, 500
		}, ""},
		{"the answer to another request", func(s *recordBuilder) { t, _ := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec); t.Echo = "p1" }, "MIXED: x got the answer to p1"},
		{"the seal of another request's answer", func(s *recordBuilder) { t, _ := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec); t.Seal = "s-p1" }, "MIXED: x got a successful answer with seal"},
		{"unexpected bytes on an idle connection", func(s *recordBuilder) { s.Tries[0].Surplus = "HTTP/1.1 200" }, "MIXED: p1 got HTTP/1.1 200 where no"},
		{"bytes that are not an HTTP response", func(s *recordBuilder) { s.addTry("x", Idempotent, "/look/2", 20*sec).Garbage = "zz" }, "MIXED: x got bytes that are not an HTTP response"},
		{"bytes that are not an HTTP response after the worker broke off", func(s *recordBuilder) {
			t := s.addTry("x", Idempotent, "/look/2", 20*sec)
			t.Garbage = "zz"
			s.addArrival(t, "a").Broke = true
		}, ""},
		{"a truncated answer that looks complete", func(s *recordBuilder) { _, a := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec); a.Whole = false }, "MIXED: x got a truncated answer"},
		{"a truncated answer that looks truncated", func(s *recordBuilder) {
			t, a := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec)
			t.Complete, a.Whole, a.Broke = false, false, true
		}, ""},
		{"an event missing", func(s *recordBuilder) {
			t, _ := s.addTurn("x", "", 20*sec)
			t.Events = append(t.Events[:1], t.Events[2:]...)
		}, "ORDER: the events of x"},
		{"an event twice", func(s *recordBuilder) {
			t, _ := s.addTurn("x", "", 20*sec)
			t.Events = append(t.Events[:2], t.Events[1:]...)
		}, "ORDER: the events of x"},
		{"an end before the last event", func(s *recordBuilder) { t, _ := s.addTurn("x", "", 20*sec); t.Events = t.Events[:2] }, "ORDER: the stream of x ended as complete before"},
		{"a stream cut short that says so", func(s *recordBuilder) {
			t, _ := s.addTurn("x", "", 20*sec)
			t.Events, t.Complete = t.Events[:2], false
		}, ""},
		{"events of two runs of a repeated stream", func(s *recordBuilder) {
			t, a := s.addTurn("x", "", 20*sec)
			t.Events[2].Data = "of another run"
			_ = a
		}, "ORDER: the events of x"},
	})
}

func TestExecutionRules(t *testing.T) {
	runCases(t, []testCase{
		{"an id that no client sent", func(s *recordBuilder) {
			t := &Try{ID: "ghost", Host: "h", Method: "POST", Target: "/post/1", Sent: 20 * sec}
			s.addArrival(t, "a")
		}, "UNASKED: worker w-a ran \"ghost\""},
		{"another path", func(s *recordBuilder) {
			_, a := s.addAnsweredTry("x", NonIdempotent, "/post/2", 20*sec)
			a.Target = "/post/3"
		}, "UNASKED: x ran as POST /post/3"},
		{"another method", func(s *recordBuilder) {
			_, a := s.addAnsweredTry("x", NonIdempotent, "/post/2", 20*sec)
			a.Method = "GET"
		}, "UNASKED: x ran as GET"},
		{"another query", func(s *recordBuilder) {
			_, a := s.addAnsweredTry("x", Idempotent, "/look/2?a=1", 20*sec)
			a.Target = "/look/2"
		}, "UNASKED: x ran as POST /look/2 "},
		{"another body", func(s *recordBuilder) {
			_, a := s.addAnsweredTry("x", NonIdempotent, "/post/2", 20*sec)
			a.Body = "other"
		}, "UNASKED: x ran with a body that differs"},
		{"a turn without its chain", func(s *recordBuilder) {
			t, a := s.addTurn("x", "u2", 20*sec)
			a.Body = base.Digest(t.Body)
		}, "UNASKED: x ran with a body that differs"},
		{"a turn with half its chain", func(s *recordBuilder) {
			t, a := s.addTurn("x", "u2", 20*sec)
			a.Body = base.Digest(ComposeInput([]*Try{s.findTry("u2")}, t.Body))
		}, "UNASKED: x ran with a body that differs"},
		{"two turns that follow the same one", func(s *recordBuilder) { s.addTurn("x", "u1", 20*sec); s.addTurn("y", "u1", 20*sec) }, ""},
		{"a turn after one that does not exist", func(s *recordBuilder) { s.addTurn("x", "nothing", 20*sec) }, "UNASKED: x ran, but its previous turn"},
		{"a non-idempotent request twice", func(s *recordBuilder) {
			t, _ := s.addAnsweredTry("x", NonIdempotent, "/post/2", 20*sec)
			s.addArrival(t, "a")
		}, "TWICE: x (c) ran 2 times"},
		{"a turn twice", func(s *recordBuilder) {
			t, a := s.addTurn("x", "", 20*sec)
			again := *a
			s.Arrivals = append(s.Arrivals, &again)
			_ = t
		}, "TWICE: x"},
		{"an idempotent request twice", func(s *recordBuilder) {
			t, _ := s.addAnsweredTry("x", Idempotent, "/look/2", 20*sec)
			s.addArrival(t, "a")
		}, ""},
		{"a non-idempotent request that reached two workers and ran once", func(s *recordBuilder) {
			t, _ := s.addAnsweredTry("x", NonIdempotent, "/post/2", 20*sec)
			a := s.addArrival(t, "a")
			a.Ran, a.Status = false, 503
		}, ""},
		{"a refused non-idempotent request that ran", func(s *recordBuilder) {
			t := s.addSystemAnswer("x", NonIdempotent, "/post/2", 20*sec, 503)
			s.addArrival(t, "a")
		}, "REFUSED: x (c) got 503 but ran on worker"},
		{"a refused non-idempotent request that ran later", func(s *recordBuilder) {
			t := s.addSystemAnswer("x", NonIdempotent, "/post/2", 20*sec, 429)
			a := s.addArrival(t, "a")
			a.At, a.Began = 30*sec, 30*sec
		}, "REFUSED: x (c) got 429 but ran on worker"},
		{"a refused non-idempotent request that a worker rejected", func(s *recordBuilder) {
			t := s.addSystemAnswer("x", NonIdempotent, "/post/2", 20*sec, 503)
			s.addArrival(t, "a").Ran = false
		}, ""},
		{"a refused idempotent request that ran", func(s *recordBuilder) {
			t := s.addSystemAnswer("x", Idempotent, "/look/2", 20*sec, 503)
			s.addArrival(t, "a")
		}, ""},
		{"a turn over budget that ran", func(s *recordBuilder) {
			t := s.addSystemAnswer("x", Streaming, "/chat/2", 20*sec, 402)
			s.addArrival(t, "m")
		}, "REFUSED: turn x got 402 but ran on worker"},
		{"a service no configuration allows", func(s *recordBuilder) {
			t := s.addTry("x", NonIdempotent, "/post/2", 20*sec)
			deliver(t, s.addArrival(t, "m"))
		}, "ROUTE: x ran on worker w-m of service m"},
		{"more tokens than the budget and one turn", func(s *recordBuilder) {
			for index := range 3 {
				s.addTurn(fmt.Sprint("x", index), "", 20*sec)
			}
		}, "BUDGET: program prog received 30 tokens, over its budget of 20"},
		{"the budget and one turn", func(s *recordBuilder) { s.addTurn("x", "", 20*sec); s.addTurn("y", "", 21*sec) }, ""},
		{"tokens of tries that broke off count", func(s *recordBuilder) {
			for index := range 4 {
				t, _ := s.addTurn(fmt.Sprint("x", index), "", 20*sec)
				t.Complete, t.Events = false, t.Events[:2]
			}
		}, "BUDGET: program prog received 28 tokens"},
		{"many valid requests denied", func(s *recordBuilder) {
			for index := range 6 {
				s.addSystemAnswer(fmt.Sprint("x", index), Idempotent, "/look/2", 20*sec, 400)
			}
		}, "DENIED: 6 of 10 requests"},
		{"a few valid requests denied", func(s *recordBuilder) {
			for index := range 5 {
				s.addSystemAnswer(fmt.Sprint("x", index), Idempotent, "/look/2", 20*sec, 400)
			}
		}, ""},
		{"invalid requests denied", func(s *recordBuilder) {
			for index := range 20 {
				s.addSystemAnswer(fmt.Sprint("x", index), Idempotent, "/nowhere/2", 20*sec, 404)
			}
		}, ""},
	})
}

func TestDrainAndPlannedWorkRules(t *testing.T) {
	addLateArrival := func(s *recordBuilder, machine string) {
		s.Notices = append(s.Notices, Notice{"w-a", 20 * sec})
		t, _ := s.addAnsweredTry("x", NonIdempotent, "/post/2", 23100*time.Millisecond)
		t.Node = machine
	}
	runCases(t, []testCase{
		{"a draining worker given work after the bound", func(s *recordBuilder) { addLateArrival(s, "edge-1") }, "DRAIN: x reached worker w-a 3.11s after"},
		{"a draining worker given work within the bound", func(s *recordBuilder) {
			s.Notices = append(s.Notices, Notice{"w-a", 20 * sec})
			s.addAnsweredTry("x", NonIdempotent, "/post/2", 22900*time.Millisecond)
		}, ""},
		{"by a machine that was frozen", func(s *recordBuilder) {
			addLateArrival(s, "edge-1")
			s.addTrouble("node_freeze", "edge-1", ClassEdge, 19*sec, 22*sec)
		}, ""},
		{"while the core was in trouble", func(s *recordBuilder) {
			addLateArrival(s, "edge-1")
			s.addTrouble("node_kill", "core-1", ClassCore, 19*sec, 22*sec)
		}, ""},
		{"while the list was down", func(s *recordBuilder) {
			addLateArrival(s, "edge-1")
			s.addTrouble("list_down", "list", "list", 19*sec, 22*sec)
		}, ""},
		{"rejected because the address belongs to another worker", func(s *recordBuilder) {
			addLateArrival(s, "edge-1")
			a := s.Arrivals[len(s.Arrivals)-1]
			a.Ran, a.Status = false, 421
			t := s.findTry("x")
			t.Status, t.Seal = 503, ""
		}, ""},
		{"a request dropped by a planned stop", func(s *recordBuilder) {
			s.addDroppedTry("x", 20*sec)
			s.addTrouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, "LOST: x (c) was read by edge-1"},
		{"dropped by another machine's planned stop", func(s *recordBuilder) {
			s.addDroppedTry("x", 20*sec)
			s.addTrouble("roll_term", "edge-2", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, ""},
		{"dropped at a planned stop amid other trouble", func(s *recordBuilder) {
			s.addDroppedTry("x", 20*sec)
			s.addTrouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
			s.addTrouble("node_kill", "storage-1", ClassStorage, 18*sec, 19*sec)
		}, ""},
		{"broken off by its worker at a planned stop", func(s *recordBuilder) {
			_, a := s.addDroppedTry("x", 20*sec)
			a.Broke = true
			s.addTrouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, ""},
		{"closed unread at a planned stop", func(s *recordBuilder) {
			t := s.addTry("x", NonIdempotent, "/post/2", 20*sec)
			t.Unread, t.Ended = true, t.Written+10*time.Millisecond
			s.addTrouble("roll_term", "edge-1", ClassEdge, 19*sec, 23*sec).Term = true
		}, ""},
		{"dropped before it reached a worker at a planned stop", func(s *recordBuilder) {
			s.addTry("x", NonIdempotent, "/post/2", 20*sec)
			s.addTrouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, "LOST: x (c) was read"},
		{"dropped while its worker still ran late in the grace period", func(s *recordBuilder) {
			t, a := s.addDroppedTry("x", 20*sec)
			t.Ended, a.Ended = 25500*time.Millisecond, 25500*time.Millisecond
			s.addTrouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 28*sec).Term = true
		}, ""},
		{"dropped when the settings file changed", func(s *recordBuilder) {
			s.addDroppedTry("x", 21*sec)
			s.addTrouble("settings_hup", "edge-1", ClassEdge, 20200*time.Millisecond, 20200*time.Millisecond).Hup = true
		}, "LOST: x (c) was read"},
		{"many dropped while the configuration changes", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			for index := range 5 {
				s.addDroppedTry(fmt.Sprint("x", index), 20*sec)
			}
		}, "LOST: edge-1 dropped 5 of 5 requests"},
		{"as many dropped at other times", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			for index := range 5 {
				s.addDroppedTry(fmt.Sprint("x", index), 20*sec)
				s.addDroppedTry(fmt.Sprint("y", index), 40*sec)
			}
		}, ""},
		{"many dropped long after a change without a clear answer", func(s *recordBuilder) {
			o := s.addOrder(2, s.nextConfig(4), 20*sec, 412)
			o.Unclear, o.Fault = true, ""
			for index := range 5 {
				s.addDroppedTry(fmt.Sprint("x", index), 30*sec)
			}
		}, ""},
		{"many dropped near their deadline while the configuration changes", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			for index := range 5 {
				t, _ := s.addDroppedTry(fmt.Sprint("x", index), 20*sec)
				t.Ended = t.Sent + 5*sec
			}
		}, ""},
	})
}

func TestRetainedTurnRules(t *testing.T) {
	addTurnsAfterClosing := func(s *recordBuilder, ran bool) {
		s.setClosing(30*sec, 31*sec)
		s.Over = 43 * sec
		for at := 39 * sec; at < 43*sec; at += sec {
			s.addTurn(fmt.Sprint("o", at), "", at)
			s.findTry(fmt.Sprint("o", at)).Program = fmt.Sprint(at)
			if !ran {
				s.addSystemAnswer(fmt.Sprint("x", at), Streaming, "/chat/1", at, 503).Previous = "u2"
				s.findTry(fmt.Sprint("x", at)).Retain = 60 * sec
			}
		}
		if ran {
			s.addTurn("x", "u2", 40*sec)
			s.findTry("x").Program = "x"
		}
	}
	runCases(t, []testCase{
		{"a retained turn that is not found", func(s *recordBuilder) { s.addSystemAnswer("x", Streaming, "/chat/1", 20*sec, 404).Previous = "u2" }, "LOST: turn x got 404"},
		{"a retained turn that is gone", func(s *recordBuilder) { s.addSystemAnswer("x", Streaming, "/chat/1", 20*sec, 410).Previous = "u2" }, "LOST: turn x got 410"},
		{"a retained turn that is not found during trouble", func(s *recordBuilder) {
			s.addTrouble("node_kill", "edge-1", ClassEdge, 19*sec, 19500*time.Millisecond)
			s.addSystemAnswer("x", Streaming, "/chat/1", 20*sec, 404).Previous = "u2"
		}, "LOST: turn x got 404"},
		{"a turn whose retention time is over", func(s *recordBuilder) { s.addSystemAnswer("x", Streaming, "/chat/1", 73*sec, 404).Previous = "u2" }, ""},
		{"a turn that does not exist", func(s *recordBuilder) { s.addSystemAnswer("x", Streaming, "/chat/1", 20*sec, 404).Previous = "nothing" }, ""},
		{"a turn that was cut", func(s *recordBuilder) {
			t, _ := s.addTurn("y", "", 15*sec)
			t.Complete, t.Events = false, t.Events[:1]
			s.addSystemAnswer("x", Streaming, "/chat/1", 20*sec, 404).Previous = "y"
		}, ""},
		{"a node that cannot tell", func(s *recordBuilder) { s.addSystemAnswer("x", Streaming, "/chat/1", 20*sec, 503).Previous = "u2" }, ""},
		{"a turn from before the closing fault that no worker is given", func(s *recordBuilder) { addTurnsAfterClosing(s, false) }, "LOST: turn u2 from before"},
		{"a turn from before the closing fault that is continued", func(s *recordBuilder) { addTurnsAfterClosing(s, true) }, ""},
		{"a turn that cannot be continued at the end", func(s *recordBuilder) {
			s.Continuations = []string{"u2"}
			s.addSystemAnswer("x", Streaming, "/chat/1", 40*sec, 503).Previous = "u2"
		}, "LOST: turn u2 could not be continued"},
		{"a turn that is continued at the end by one of its tries", func(s *recordBuilder) {
			s.Continuations = []string{"u2"}
			s.addSystemAnswer("x", Streaming, "/chat/1", 40*sec, 503).Previous = "u2"
			s.addTurn("y", "u2", 41*sec)
		}, ""},
		{"a turn without budget at the end", func(s *recordBuilder) {
			s.Continuations = []string{"u2"}
			s.addSystemAnswer("x", Streaming, "/chat/1", 40*sec, 402).Previous = "u2"
		}, ""},
		{"a turn that is continued too late", func(s *recordBuilder) {
			s.Continuations = []string{"u2"}
			s.addSystemAnswer("x", Streaming, "/chat/1", 73*sec, 503).Previous = "u2"
		}, ""},
		{"too little served after the closing fault", func(s *recordBuilder) {
			s.setClosing(30*sec, 31*sec)
			for index := range 5 {
				s.addSystemAnswer(fmt.Sprint("x", index), Idempotent, "/look/1", 44*sec, 503)
			}
		}, "RECOVER: 0 of 5"},
		{"enough served after the closing fault", func(s *recordBuilder) {
			s.setClosing(30*sec, 31*sec)
			for index := range 3 {
				s.addSystemAnswer(fmt.Sprint("x", index), Idempotent, "/look/1", 44*sec, 503)
			}
			s.addAnsweredTry("y", Idempotent, "/look/1", 44*sec)
		}, ""},
	})
}

func TestConfigRules(t *testing.T) {
	runCases(t, []testCase{
		{"a change in force", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			t := s.addTry("x", Idempotent, "/look/2", 23*sec)
			deliver(t, s.addArrival(t, "m"))
		}, ""},
		{"an old service after the bound", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.addAnsweredTry("x", Idempotent, "/look/2", 22200*time.Millisecond)
		}, "CONFIG: x was handled by edge-1 as only generation 2 allows"},
		{"an old service within the bound", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.addAnsweredTry("x", Idempotent, "/look/2", 22000*time.Millisecond)
		}, ""},
		{"a new route refused after the bound", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.addSystemAnswer("x", Idempotent, "/more/2", 23*sec, 404)
		}, "CONFIG: x was handled by edge-1 as only generation 2 allows"},
		{"a dropped route run after the bound", func(s *recordBuilder) {
			c := s.initialOrder.Config.Clone()
			c.Generation, c.Routes = 4, c.Routes[:2]
			s.Reads = []ReadBack{{59 * sec, 200, s.addOrder(2, c, 20*sec, 200).Raw}}
			s.addAnsweredTry("x", Idempotent, "/look/2", 23*sec)
		}, "CONFIG: x was handled by edge-1 as only generation 2 allows"},
		{"late on a machine that was frozen", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.addTrouble("node_freeze", "edge-1", ClassEdge, 20*sec, 23*sec)
			s.addAnsweredTry("x", Idempotent, "/look/2", 25*sec)
		}, ""},
		{"late on a machine that has just started", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.Starts = append(s.Starts, Start{"edge-1", ClassEdge, 22 * sec})
			s.addAnsweredTry("x", Idempotent, "/look/2", 23*sec)
		}, ""},
		{"late while the core is unsettled", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.addTrouble("node_kill", "core-1", ClassCore, 20*sec, 22*sec)
			s.addAnsweredTry("x", Idempotent, "/look/2", 24*sec)
		}, ""},
		{"later than an unsettled core allows", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.addTrouble("node_kill", "core-1", ClassCore, 20*sec, 29*sec)
			s.addAnsweredTry("x", Idempotent, "/look/2", 28*sec)
		}, "CONFIG: x was handled by edge-1 as only generation 2 allows"},
		{"a change without a clear answer", func(s *recordBuilder) {
			o := s.addOrder(2, s.nextConfig(4), 20*sec, 0)
			o.Unclear, o.Fault = true, ""
			s.addTrouble("node_kill", "core-1", ClassCore, 20*sec, 60*sec)
			t := s.addTry("x", Idempotent, "/look/2", 23*sec)
			deliver(t, s.addArrival(t, "m"))
			s.addAnsweredTry("y", Idempotent, "/look/2", 23*sec)
			s.findTry("y").Node = "edge-2"
		}, ""},
		{"a machine that goes back", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			t := s.addTry("x", Idempotent, "/look/2", 20200*time.Millisecond)
			deliver(t, s.addArrival(t, "m"))
			s.addAnsweredTry("y", Idempotent, "/look/2", 20800*time.Millisecond)
		}, "CONFIG: edge-1 went back from generation 4 to 2"},
		{"a machine that goes back after a restart", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			t := s.addTry("x", Idempotent, "/look/2", 20200*time.Millisecond)
			deliver(t, s.addArrival(t, "m"))
			s.Starts = append(s.Starts, Start{"edge-1", ClassEdge, 20750 * time.Millisecond})
			s.addAnsweredTry("y", Idempotent, "/look/2", 20800*time.Millisecond)
		}, ""},
		{"another machine that is behind", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			t := s.addTry("x", Idempotent, "/look/2", 20200*time.Millisecond)
			deliver(t, s.addArrival(t, "m"))
			y, _ := s.addAnsweredTry("y", Idempotent, "/look/2", 20800*time.Millisecond)
			y.Node = "edge-2"
		}, ""},
		{"a slowed machine that goes back a little", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			t := s.addTry("x", Idempotent, "/look/2", 20200*time.Millisecond)
			deliver(t, s.addArrival(t, "m"))
			s.addTrouble("node_slow", "edge-1", ClassEdge, 20*sec, 30*sec).Slow = true
			s.addAnsweredTry("y", Idempotent, "/look/2", 20800*time.Millisecond)
		}, ""},
		{"a refused change in force", func(s *recordBuilder) {
			o := s.addOrder(2, s.nextConfig(4), 20*sec, 412)
			o.Config.Routes[3].Service = "a"
			t, _ := s.addAnsweredTry("x", Idempotent, "/more/2", 23*sec)
			_ = t
		}, "CONFIG: x was handled by edge-1 as only generation 4 allows, which was refused"},
		{"an invalid one in force", func(s *recordBuilder) {
			c := s.nextConfig(4)
			c.Routes[0].DeadlineMs = 0
			s.addOrder(2, c, 20*sec, 400)
			s.addAnsweredTry("x", Idempotent, "/more/2", 23*sec)
		}, "CONFIG: x was handled by edge-1 as only generation 4 allows"},
		{"an invalid one acknowledged", func(s *recordBuilder) {
			c := s.nextConfig(4)
			c.Routes[0].DeadlineMs = 0
			o := s.addOrder(2, c, 20*sec, 400)
			o.Status = 200
		}, "CONFIG: an invalid configuration was acknowledged"},
		{"two concurrent changes that are both acknowledged", func(s *recordBuilder) {
			s.addOrder(2, s.nextConfig(4), 20*sec, 200)
			s.addAckedOrder(5, 20*sec)
		}, "CONFIG: generations 4 and 5 were both acknowledged on top of generation 2"},
		{"two concurrent changes of which one is acknowledged", func(s *recordBuilder) {
			s.addOrder(2, s.nextConfig(5), 20*sec, 412)
			s.addAckedOrder(4, 20*sec)
		}, ""},
		{"an older one read back", func(s *recordBuilder) { s.addAckedOrder(4, 20*sec); s.Reads[0].Raw = s.initialOrder.Raw }, "CONFIG: the configuration read back has generation 2"},
		{"another one read back under its number", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			c := s.nextConfig(4)
			c.Routes[0].TargetMs = 7
			s.Reads[0].Raw = c.Encode()
		}, "CONFIG: the configuration read back with generation 4 differs"},
		{"the same one read back with another JSON spelling", func(s *recordBuilder) {
			o := s.addAckedOrder(4, 20*sec)
			s.Reads[0].Raw = []byte(strings.ReplaceAll(string(o.Raw), `"retain_s":60,`, "\n \"retain_s\": 60.0 ,"))
		}, ""},
		{"none read back", func(s *recordBuilder) { s.Reads[0] = ReadBack{At: 59 * sec, Status: 503} }, "CONFIG: the configuration could not be read back"},
		{"an unclear one read back", func(s *recordBuilder) {
			o := s.addOrder(2, s.nextConfig(4), 50*sec, 0)
			o.Unclear, o.Fault = true, ""
			s.addTrouble("node_kill", "core-1", ClassCore, 50*sec, 60*sec)
			s.Reads[0].Raw = o.Raw
		}, ""},
		{"an acknowledged one gone after the closing fault", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			s.setClosing(30*sec, 31*sec)
			s.Reads[0].Raw = s.initialOrder.Raw
		}, "LOST: the configuration read back has generation 2"},
		{"no acknowledgement in time", func(s *recordBuilder) {
			o := s.addAckedOrder(4, 20*sec)
			o.Ended = 24200 * time.Millisecond
		}, "ACKS: generation 4 was not acknowledged"},
		{"none in time while a core has just started", func(s *recordBuilder) {
			o := s.addAckedOrder(4, 20*sec)
			o.Ended = 24200 * time.Millisecond
			s.Starts = append(s.Starts, Start{"core-4", ClassCore, 18 * sec})
		}, ""},
		{"none in time while the core is in trouble", func(s *recordBuilder) {
			o := s.addAckedOrder(4, 20*sec)
			o.Ended = 24200 * time.Millisecond
			s.addTrouble("node_kill", "core-1", ClassCore, 19*sec, 21*sec)
		}, ""},
		{"later routes served less", func(s *recordBuilder) {
			s.addAckedOrder(4, 20*sec)
			for index := range 20 {
				s.addSystemAnswer(fmt.Sprint("x", index), Idempotent, "/more/2", 30*sec, 503)
			}
		}, "CONFIG: 0 of 20 requests were served on routes added later"},
	})
}
