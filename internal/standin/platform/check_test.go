// Each rule is fed a record of each of its breaches, and records that come
// close and break nothing.
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

// scene is a record under construction: one edge, three cores, a model and an
// app service with a worker each, and some requests that went well.
type scene struct {
	*Record
	first *Order
}

func newScene() *scene {
	c := &Config{Generation: 2, Services: []Service{{Name: "m", HealthPath: "/health"}, {Name: "a", HealthPath: "/health"}}, Routes: []Route{
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: Streaming, DeadlineMs: 6000, Service: "m", Retained: true, RetainS: 60},
		{Name: "post", Host: "h", Prefix: "/post/", Kind: NonIdempotent, DeadlineMs: 6000, Service: "a"},
		{Name: "look", Host: "h", Prefix: "/look/", Kind: Idempotent, DeadlineMs: 6000, Service: "a"},
	}}
	s := &scene{Record: &Record{Bounds: DefaultBounds(), Stride: 2, Core: 3, Over: 60 * sec}}
	s.Starts = []Start{
		{"edge-1", ClassEdge, 0}, {"edge-2", ClassEdge, 0},
		{"core-1", ClassCore, 0}, {"core-2", ClassCore, 0}, {"core-3", ClassCore, 0},
		{"storage-1", ClassStorage, 0},
	}
	s.first = s.order(0, c, 1*sec, 200)
	s.call("p1", NonIdempotent, "/post/1", 10*sec)
	s.call("l1", Idempotent, "/look/1", 10*sec)
	s.turn("u1", "", 10*sec)
	s.turn("u2", "u1", 12*sec)
	s.Reads = []ReadBack{{59 * sec, 200, c.Encode()}}
	return s
}

func (s *scene) order(base uint64, c *Config, at time.Duration, status int) *Order {
	o := &Order{Operator: "op", Base: base, Config: c, Raw: c.Encode(), Sent: at, Ended: at + 100*time.Millisecond, Status: status}
	if status != 200 && status != 412 {
		o.Fault = c.InvalidReason(base)
	}
	s.Orders = append(s.Orders, o)
	return o
}

// next is a configuration on top of the first that moves a route to the other
// service, and adds one.
func (s *scene) next(generation uint64) *Config {
	c := s.first.Config.Clone()
	c.Generation = generation
	c.Routes[2].Service = "m"
	c.Routes = append(c.Routes, Route{Name: "more", Host: "h", Prefix: "/more/", Kind: Idempotent, DeadlineMs: 1000, Service: "a"})
	return c
}

// acked puts a next configuration in force, also for what is read back.
func (s *scene) acked(generation uint64, at time.Duration) *Order {
	o := s.order(2, s.next(generation), at, 200)
	s.Reads = []ReadBack{{59 * sec, 200, o.Raw}}
	return o
}

func (s *scene) try(id string, kind Kind, target string, at time.Duration) *Try {
	t := &Try{ID: id, Class: "c", Kind: kind, Host: "h", Method: "POST", Target: target, Body: []byte("body of " + id), Node: "edge-1", Deadline: 6 * sec,
		Sent: at, Written: at + time.Millisecond, Ended: at + 500*time.Millisecond}
	s.Tries = append(s.Tries, t)
	return t
}

func (s *scene) arrive(t *Try, service string) *Arrival {
	a := &Arrival{Worker: "w-" + service, Service: service, ID: t.ID, Host: t.Host, Method: t.Method, Target: t.Target, Body: base.Digest(t.Body),
		At: t.Sent + 10*time.Millisecond, Ran: true, Began: t.Sent + 20*time.Millisecond, Ended: t.Ended - 10*time.Millisecond, Status: 200, Seal: "s-" + t.ID,
		Answer: base.Digest([]byte("answer to " + t.ID)), Whole: true}
	s.Arrivals = append(s.Arrivals, a)
	return a
}

// answer has the client get what the worker sent.
func answer(t *Try, a *Arrival) {
	t.Status, t.Seal, t.Echo, t.Answer, t.Complete = a.Status, a.Seal, t.ID, a.Answer, true
	t.Events = append([]Event(nil), a.Events...)
	t.First = t.Sent + 30*time.Millisecond
}

func (s *scene) call(id string, kind Kind, target string, at time.Duration) (*Try, *Arrival) {
	t := s.try(id, kind, target, at)
	a := s.arrive(t, "a")
	answer(t, a)
	return t, a
}

func (s *scene) turn(id, previous string, at time.Duration) (*Try, *Arrival) {
	t := s.try(id, Streaming, "/chat/1", at)
	t.Program, t.Previous, t.Budget, t.Most, t.Retain = "prog", previous, 20, 6, 60*sec
	a := s.arrive(t, "m")
	if previous != "" {
		var chain []*Try
		for name := previous; name != ""; {
			turn := s.find(name)
			if turn == nil {
				break
			}
			chain = append([]*Try{turn}, chain...)
			name = turn.Previous
		}
		a.Body = base.Digest(ComposeInput(chain, t.Body))
	}
	for place := range 3 {
		a.Events = append(a.Events, Event{int64(place + 1), fmt.Sprintf("%s-%d", id, place+1), at})
	}
	answer(t, a)
	return t, a
}

func (s *scene) find(id string) *Try {
	for _, t := range s.Tries {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// own is an answer of the system's own, that no worker saw.
func (s *scene) own(id string, kind Kind, target string, at time.Duration, status int) *Try {
	t := s.try(id, kind, target, at)
	t.Status, t.Complete = status, true
	return t
}

func (s *scene) trouble(kind, machine, class string, from, to time.Duration) *Trouble {
	t := &Trouble{Kind: kind, Machine: machine, Class: class, From: from, To: to}
	s.Troubles = append(s.Troubles, t)
	return t
}

// dropped is a request that was read and whose connection ended without an answer.
func (s *scene) dropped(id string, at time.Duration) (*Try, *Arrival) {
	t := s.try(id, NonIdempotent, "/post/d", at)
	a := s.arrive(t, "a")
	a.Left, a.Whole = true, false
	return t, a
}

func (s *scene) closing(from, back time.Duration) { s.Closing = &Closing{from, back} }

type row struct {
	name   string
	make   func(s *scene)
	broken string // the rule and a word of it, or nothing
}

func check(t *testing.T, rows []row) {
	for _, one := range rows {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			s := newScene()
			one.make(s)
			found := fmt.Sprint(s.Check())
			if one.broken == "" {
				is.Equal(found, "[]")
				return
			}
			if !strings.Contains(found, one.broken) {
				t.Fatalf("%s does not say %q", found, one.broken)
			}
			rule, _, _ := strings.Cut(one.broken, ":")
			for _, b := range s.Check() {
				is.Equal(b.Rule, rule) // no other rule is named
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	check(t, []row{
		{"a clean record", func(*scene) {}, ""},
		{"a success without a seal", func(s *scene) { s.own("x", Idempotent, "/look/2", 20*sec, 200) }, "MIXED: x got a success without a seal"},
		{"another body", func(s *scene) { t, _ := s.call("x", Idempotent, "/look/2", 20*sec); t.Answer = "other" }, "MIXED: x got a body other"},
		{"an encoded body", func(s *scene) { t, _ := s.call("x", Idempotent, "/look/2", 20*sec); t.Encoding = "gzip" }, "MIXED: x got a body in encoding"},
		{"a success where the worker failed", func(s *scene) { _, a := s.call("x", Idempotent, "/look/2", 20*sec); a.Status = 500 }, "MIXED: x got 200 where"},
		{"a failure that the worker gave", func(s *scene) {
			t, a := s.call("x", Idempotent, "/look/2", 20*sec)
			t.Status, a.Status = 500, 500
		}, ""},
		{"another's answer", func(s *scene) { t, _ := s.call("x", Idempotent, "/look/2", 20*sec); t.Echo = "p1" }, "MIXED: x got the answer of p1"},
		{"another's seal", func(s *scene) { t, _ := s.call("x", Idempotent, "/look/2", 20*sec); t.Seal = "s-p1" }, "MIXED: x got a success sealed"},
		{"bytes where no request waits", func(s *scene) { s.Tries[0].Surplus = "HTTP/1.1 200" }, "MIXED: p1 got HTTP/1.1 200 where no"},
		{"bytes that are no answer", func(s *scene) { s.try("x", Idempotent, "/look/2", 20*sec).Garbage = "zz" }, "MIXED: x got bytes that are no answer"},
		{"bytes that are no answer where the worker broke off", func(s *scene) {
			t := s.try("x", Idempotent, "/look/2", 20*sec)
			t.Garbage = "zz"
			s.arrive(t, "a").Broke = true
		}, ""},
		{"a cut answer that looks complete", func(s *scene) { _, a := s.call("x", Idempotent, "/look/2", 20*sec); a.Whole = false }, "MIXED: x got a cut answer"},
		{"a cut answer that looks cut", func(s *scene) {
			t, a := s.call("x", Idempotent, "/look/2", 20*sec)
			t.Complete, a.Whole, a.Broke = false, false, true
		}, ""},
		{"an event missing", func(s *scene) {
			t, _ := s.turn("x", "", 20*sec)
			t.Events = append(t.Events[:1], t.Events[2:]...)
		}, "ORDER: the events of x"},
		{"an event twice", func(s *scene) {
			t, _ := s.turn("x", "", 20*sec)
			t.Events = append(t.Events[:2], t.Events[1:]...)
		}, "ORDER: the events of x"},
		{"an end before the last event", func(s *scene) { t, _ := s.turn("x", "", 20*sec); t.Events = t.Events[:2] }, "ORDER: x ended as complete before"},
		{"a stream cut short that says so", func(s *scene) {
			t, _ := s.turn("x", "", 20*sec)
			t.Events, t.Complete = t.Events[:2], false
		}, ""},
		{"events of two runs of a repeated stream", func(s *scene) {
			t, a := s.turn("x", "", 20*sec)
			t.Events[2].Data = "of another run"
			_ = a
		}, "ORDER: the events of x"},
	})
}

func TestRuns(t *testing.T) {
	check(t, []row{
		{"an id nobody sent", func(s *scene) {
			t := &Try{ID: "ghost", Host: "h", Method: "POST", Target: "/post/1", Sent: 20 * sec}
			s.arrive(t, "a")
		}, "UNASKED: w-a ran \"ghost\""},
		{"another path", func(s *scene) { _, a := s.call("x", NonIdempotent, "/post/2", 20*sec); a.Target = "/post/3" }, "UNASKED: x ran as POST /post/3"},
		{"another method", func(s *scene) { _, a := s.call("x", NonIdempotent, "/post/2", 20*sec); a.Method = "GET" }, "UNASKED: x ran as GET"},
		{"another query", func(s *scene) { _, a := s.call("x", Idempotent, "/look/2?a=1", 20*sec); a.Target = "/look/2" }, "UNASKED: x ran as POST /look/2 "},
		{"another body", func(s *scene) { _, a := s.call("x", NonIdempotent, "/post/2", 20*sec); a.Body = "other" }, "UNASKED: x ran with another body"},
		{"a turn without its chain", func(s *scene) {
			t, a := s.turn("x", "u2", 20*sec)
			a.Body = base.Digest(t.Body)
		}, "UNASKED: x ran with another body"},
		{"a turn with half its chain", func(s *scene) {
			t, a := s.turn("x", "u2", 20*sec)
			a.Body = base.Digest(ComposeInput([]*Try{s.find("u2")}, t.Body))
		}, "UNASKED: x ran with another body"},
		{"two turns that follow the same one", func(s *scene) { s.turn("x", "u1", 20*sec); s.turn("y", "u1", 20*sec) }, ""},
		{"a turn after one that never was", func(s *scene) { s.turn("x", "nothing", 20*sec) }, "UNASKED: x ran, whose previous turn"},
		{"a posting twice", func(s *scene) { t, _ := s.call("x", NonIdempotent, "/post/2", 20*sec); s.arrive(t, "a") }, "TWICE: x (c) ran 2 times"},
		{"a turn twice", func(s *scene) {
			t, a := s.turn("x", "", 20*sec)
			again := *a
			s.Arrivals = append(s.Arrivals, &again)
			_ = t
		}, "TWICE: x"},
		{"a look-up twice", func(s *scene) { t, _ := s.call("x", Idempotent, "/look/2", 20*sec); s.arrive(t, "a") }, ""},
		{"a posting offered twice that ran once", func(s *scene) {
			t, _ := s.call("x", NonIdempotent, "/post/2", 20*sec)
			a := s.arrive(t, "a")
			a.Ran, a.Status = false, 503
		}, ""},
		{"a refused posting that ran", func(s *scene) { t := s.own("x", NonIdempotent, "/post/2", 20*sec, 503); s.arrive(t, "a") }, "REFUSED: x (c) got 503 and ran"},
		{"a refused posting that ran later", func(s *scene) {
			t := s.own("x", NonIdempotent, "/post/2", 20*sec, 429)
			a := s.arrive(t, "a")
			a.At, a.Began = 30*sec, 30*sec
		}, "REFUSED: x (c) got 429 and ran"},
		{"a refused posting that a worker turned away", func(s *scene) {
			t := s.own("x", NonIdempotent, "/post/2", 20*sec, 503)
			s.arrive(t, "a").Ran = false
		}, ""},
		{"a refused look-up that ran", func(s *scene) { t := s.own("x", Idempotent, "/look/2", 20*sec, 503); s.arrive(t, "a") }, ""},
		{"a turn over budget that ran", func(s *scene) { t := s.own("x", Streaming, "/chat/2", 20*sec, 402); s.arrive(t, "m") }, "REFUSED: turn x got 402 and ran"},
		{"a service no configuration allows", func(s *scene) {
			t := s.try("x", NonIdempotent, "/post/2", 20*sec)
			answer(t, s.arrive(t, "m"))
		}, "ROUTE: x ran at w-m of m"},
		{"more tokens than the budget and one turn", func(s *scene) {
			for place := range 3 {
				s.turn(fmt.Sprint("x", place), "", 20*sec)
			}
		}, "BUDGET: program prog was handed 30 tokens of 20"},
		{"the budget and one turn", func(s *scene) { s.turn("x", "", 20*sec); s.turn("y", "", 21*sec) }, ""},
		{"tokens of tries that broke off count", func(s *scene) {
			for place := range 4 {
				t, _ := s.turn(fmt.Sprint("x", place), "", 20*sec)
				t.Complete, t.Events = false, t.Events[:2]
			}
		}, "BUDGET: program prog was handed 28 tokens"},
		{"many proper requests denied", func(s *scene) {
			for place := range 6 {
				s.own(fmt.Sprint("x", place), Idempotent, "/look/2", 20*sec, 400)
			}
		}, "DENIED: 6 of 10"},
		{"a few denied", func(s *scene) {
			for place := range 5 {
				s.own(fmt.Sprint("x", place), Idempotent, "/look/2", 20*sec, 400)
			}
		}, ""},
		{"improper ones denied", func(s *scene) {
			for place := range 20 {
				s.own(fmt.Sprint("x", place), Idempotent, "/nowhere/2", 20*sec, 404)
			}
		}, ""},
	})
}

func TestLeaving(t *testing.T) {
	late := func(s *scene, machine string) {
		s.Notices = append(s.Notices, Notice{"w-a", 20 * sec})
		t, _ := s.call("x", NonIdempotent, "/post/2", 23100*time.Millisecond)
		t.Node = machine
	}
	check(t, []row{
		{"a leaving worker given work after the bound", func(s *scene) { late(s, "edge-1") }, "DRAIN: x reached w-a 3.11s after"},
		{"a leaving worker given work within it", func(s *scene) {
			s.Notices = append(s.Notices, Notice{"w-a", 20 * sec})
			s.call("x", NonIdempotent, "/post/2", 22900*time.Millisecond)
		}, ""},
		{"by a machine that was frozen", func(s *scene) { late(s, "edge-1"); s.trouble("node_freeze", "edge-1", ClassEdge, 19*sec, 22*sec) }, ""},
		{"while the core was in trouble", func(s *scene) { late(s, "edge-1"); s.trouble("node_kill", "core-1", ClassCore, 19*sec, 22*sec) }, ""},
		{"while the list was down", func(s *scene) { late(s, "edge-1"); s.trouble("list_down", "list", "list", 19*sec, 22*sec) }, ""},
		{"turned away as another worker", func(s *scene) {
			late(s, "edge-1")
			a := s.Arrivals[len(s.Arrivals)-1]
			a.Ran, a.Status = false, 421
			t := s.find("x")
			t.Status, t.Seal = 503, ""
		}, ""},
		{"a request dropped by a planned stop", func(s *scene) {
			s.dropped("x", 20*sec)
			s.trouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, "LOST: x (c) was read by edge-1"},
		{"dropped by another machine's planned stop", func(s *scene) {
			s.dropped("x", 20*sec)
			s.trouble("roll_term", "edge-2", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, ""},
		{"dropped at a planned stop amid other trouble", func(s *scene) {
			s.dropped("x", 20*sec)
			s.trouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
			s.trouble("node_kill", "storage-1", ClassStorage, 18*sec, 19*sec)
		}, ""},
		{"broken off by its worker at a planned stop", func(s *scene) {
			_, a := s.dropped("x", 20*sec)
			a.Broke = true
			s.trouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, ""},
		{"closed unread at a planned stop", func(s *scene) {
			t := s.try("x", NonIdempotent, "/post/2", 20*sec)
			t.Unread, t.Ended = true, t.Written+10*time.Millisecond
			s.trouble("roll_term", "edge-1", ClassEdge, 19*sec, 23*sec).Term = true
		}, ""},
		{"held and closed at a planned stop", func(s *scene) {
			s.try("x", NonIdempotent, "/post/2", 20*sec)
			s.trouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 23*sec).Term = true
		}, "LOST: x (c) was read"},
		{"whose worker was still at work late in the grace", func(s *scene) {
			t, a := s.dropped("x", 20*sec)
			t.Ended, a.Ended = 25500*time.Millisecond, 25500*time.Millisecond
			s.trouble("roll_term", "edge-1", ClassEdge, 20200*time.Millisecond, 28*sec).Term = true
		}, ""},
		{"dropped when the settings file changed", func(s *scene) {
			s.dropped("x", 21*sec)
			s.trouble("settings_hup", "edge-1", ClassEdge, 20200*time.Millisecond, 20200*time.Millisecond).Hup = true
		}, "LOST: x (c) was read"},
		{"many dropped while the configuration changes", func(s *scene) {
			s.acked(4, 20*sec)
			for place := range 5 {
				s.dropped(fmt.Sprint("x", place), 20*sec)
			}
		}, "LOST: edge-1 dropped 5"},
		{"as many dropped at other times", func(s *scene) {
			s.acked(4, 20*sec)
			for place := range 5 {
				s.dropped(fmt.Sprint("x", place), 20*sec)
				s.dropped(fmt.Sprint("y", place), 40*sec)
			}
		}, ""},
		{"many dropped long after a change without a clear answer", func(s *scene) {
			o := s.order(2, s.next(4), 20*sec, 412)
			o.Unclear, o.Fault = true, ""
			for place := range 5 {
				s.dropped(fmt.Sprint("x", place), 30*sec)
			}
		}, ""},
		{"many dropped near their deadline while the configuration changes", func(s *scene) {
			s.acked(4, 20*sec)
			for place := range 5 {
				t, _ := s.dropped(fmt.Sprint("x", place), 20*sec)
				t.Ended = t.Sent + 5*sec
			}
		}, ""},
	})
}

func TestKeptTurns(t *testing.T) {
	after := func(s *scene, ran bool) {
		s.closing(30*sec, 31*sec)
		s.Over = 43 * sec
		for at := 39 * sec; at < 43*sec; at += sec {
			s.turn(fmt.Sprint("o", at), "", at)
			s.find(fmt.Sprint("o", at)).Program = fmt.Sprint(at)
			if !ran {
				s.own(fmt.Sprint("x", at), Streaming, "/chat/1", at, 503).Previous = "u2"
				s.find(fmt.Sprint("x", at)).Retain = 60 * sec
			}
		}
		if ran {
			s.turn("x", "u2", 40*sec)
			s.find("x").Program = "x"
		}
	}
	check(t, []row{
		{"a kept turn that is not found", func(s *scene) { s.own("x", Streaming, "/chat/1", 20*sec, 404).Previous = "u2" }, "LOST: turn x got 404"},
		{"a kept turn that is gone", func(s *scene) { s.own("x", Streaming, "/chat/1", 20*sec, 410).Previous = "u2" }, "LOST: turn x got 410"},
		{"also amid trouble", func(s *scene) {
			s.trouble("node_kill", "edge-1", ClassEdge, 19*sec, 19500*time.Millisecond)
			s.own("x", Streaming, "/chat/1", 20*sec, 404).Previous = "u2"
		}, "LOST: turn x got 404"},
		{"a turn that was kept long enough", func(s *scene) { s.own("x", Streaming, "/chat/1", 73*sec, 404).Previous = "u2" }, ""},
		{"a turn that never was", func(s *scene) { s.own("x", Streaming, "/chat/1", 20*sec, 404).Previous = "nothing" }, ""},
		{"a turn that was cut", func(s *scene) {
			t, _ := s.turn("y", "", 15*sec)
			t.Complete, t.Events = false, t.Events[:1]
			s.own("x", Streaming, "/chat/1", 20*sec, 404).Previous = "y"
		}, ""},
		{"a node that is not sure", func(s *scene) { s.own("x", Streaming, "/chat/1", 20*sec, 503).Previous = "u2" }, ""},
		{"a turn from before the closing fault that no worker is given", func(s *scene) { after(s, false) }, "LOST: turn u2 from before"},
		{"one that is continued", func(s *scene) { after(s, true) }, ""},
		{"too little served after the closing fault", func(s *scene) {
			s.closing(30*sec, 31*sec)
			for place := range 5 {
				s.own(fmt.Sprint("x", place), Idempotent, "/look/1", 44*sec, 503)
			}
		}, "RECOVER: 0 of 5"},
		{"enough served after the closing fault", func(s *scene) {
			s.closing(30*sec, 31*sec)
			for place := range 3 {
				s.own(fmt.Sprint("x", place), Idempotent, "/look/1", 44*sec, 503)
			}
			s.call("y", Idempotent, "/look/1", 44*sec)
		}, ""},
	})
}

func TestConfigurations(t *testing.T) {
	check(t, []row{
		{"a change in force", func(s *scene) {
			s.acked(4, 20*sec)
			t := s.try("x", Idempotent, "/look/2", 23*sec)
			answer(t, s.arrive(t, "m"))
		}, ""},
		{"an old service after the bound", func(s *scene) { s.acked(4, 20*sec); s.call("x", Idempotent, "/look/2", 22200*time.Millisecond) }, "CONFIG: x was handled by edge-1 as only 2 allows"},
		{"an old service within it", func(s *scene) { s.acked(4, 20*sec); s.call("x", Idempotent, "/look/2", 22000*time.Millisecond) }, ""},
		{"a new route refused after the bound", func(s *scene) { s.acked(4, 20*sec); s.own("x", Idempotent, "/more/2", 23*sec, 404) }, "CONFIG: x was handled by edge-1 as only 2 allows"},
		{"a dropped route run after the bound", func(s *scene) {
			c := s.first.Config.Clone()
			c.Generation, c.Routes = 4, c.Routes[:2]
			s.Reads = []ReadBack{{59 * sec, 200, s.order(2, c, 20*sec, 200).Raw}}
			s.call("x", Idempotent, "/look/2", 23*sec)
		}, "CONFIG: x was handled by edge-1 as only 2 allows"},
		{"late on a machine that was frozen", func(s *scene) {
			s.acked(4, 20*sec)
			s.trouble("node_freeze", "edge-1", ClassEdge, 20*sec, 23*sec)
			s.call("x", Idempotent, "/look/2", 25*sec)
		}, ""},
		{"late on a machine that has just started", func(s *scene) {
			s.acked(4, 20*sec)
			s.Starts = append(s.Starts, Start{"edge-1", ClassEdge, 22 * sec})
			s.call("x", Idempotent, "/look/2", 23*sec)
		}, ""},
		{"late while the core is unsettled", func(s *scene) {
			s.acked(4, 20*sec)
			s.trouble("node_kill", "core-1", ClassCore, 20*sec, 22*sec)
			s.call("x", Idempotent, "/look/2", 24*sec)
		}, ""},
		{"later than an unsettled core allows", func(s *scene) {
			s.acked(4, 20*sec)
			s.trouble("node_kill", "core-1", ClassCore, 20*sec, 29*sec)
			s.call("x", Idempotent, "/look/2", 28*sec)
		}, "CONFIG: x was handled by edge-1 as only 2 allows"},
		{"a change without a clear answer", func(s *scene) {
			o := s.order(2, s.next(4), 20*sec, 0)
			o.Unclear, o.Fault = true, ""
			s.trouble("node_kill", "core-1", ClassCore, 20*sec, 60*sec)
			t := s.try("x", Idempotent, "/look/2", 23*sec)
			answer(t, s.arrive(t, "m"))
			s.call("y", Idempotent, "/look/2", 23*sec)
			s.find("y").Node = "edge-2"
		}, ""},
		{"a machine that goes back", func(s *scene) {
			s.acked(4, 20*sec)
			t := s.try("x", Idempotent, "/look/2", 20200*time.Millisecond)
			answer(t, s.arrive(t, "m"))
			s.call("y", Idempotent, "/look/2", 20800*time.Millisecond)
		}, "CONFIG: edge-1 went back from 4 to 2"},
		{"a machine that goes back in another life", func(s *scene) {
			s.acked(4, 20*sec)
			t := s.try("x", Idempotent, "/look/2", 20200*time.Millisecond)
			answer(t, s.arrive(t, "m"))
			s.Starts = append(s.Starts, Start{"edge-1", ClassEdge, 20750 * time.Millisecond})
			s.call("y", Idempotent, "/look/2", 20800*time.Millisecond)
		}, ""},
		{"another machine that is behind", func(s *scene) {
			s.acked(4, 20*sec)
			t := s.try("x", Idempotent, "/look/2", 20200*time.Millisecond)
			answer(t, s.arrive(t, "m"))
			y, _ := s.call("y", Idempotent, "/look/2", 20800*time.Millisecond)
			y.Node = "edge-2"
		}, ""},
		{"a slowed machine that goes back a little", func(s *scene) {
			s.acked(4, 20*sec)
			t := s.try("x", Idempotent, "/look/2", 20200*time.Millisecond)
			answer(t, s.arrive(t, "m"))
			s.trouble("node_slow", "edge-1", ClassEdge, 20*sec, 30*sec).Slow = true
			s.call("y", Idempotent, "/look/2", 20800*time.Millisecond)
		}, ""},
		{"a refused change in force", func(s *scene) {
			o := s.order(2, s.next(4), 20*sec, 412)
			o.Config.Routes[3].Service = "a"
			t, _ := s.call("x", Idempotent, "/more/2", 23*sec)
			_ = t
		}, "CONFIG: x was handled by edge-1 as only configuration 4 allows, which was refused"},
		{"an invalid one in force", func(s *scene) {
			c := s.next(4)
			c.Routes[0].DeadlineMs = 0
			s.order(2, c, 20*sec, 400)
			s.call("x", Idempotent, "/more/2", 23*sec)
		}, "CONFIG: x was handled by edge-1 as only configuration 4 allows"},
		{"an invalid one acknowledged", func(s *scene) {
			c := s.next(4)
			c.Routes[0].DeadlineMs = 0
			o := s.order(2, c, 20*sec, 400)
			o.Status = 200
		}, "CONFIG: an invalid configuration was acknowledged"},
		{"a race with two winners", func(s *scene) {
			s.order(2, s.next(4), 20*sec, 200)
			s.acked(5, 20*sec)
		}, "CONFIG: 4 and 5 were both acknowledged on top of 2"},
		{"a race with a winner and a loser", func(s *scene) {
			s.order(2, s.next(5), 20*sec, 412)
			s.acked(4, 20*sec)
		}, ""},
		{"an older one read back", func(s *scene) { s.acked(4, 20*sec); s.Reads[0].Raw = s.first.Raw }, "CONFIG: the configuration read back is 2"},
		{"another one read back under its number", func(s *scene) {
			s.acked(4, 20*sec)
			c := s.next(4)
			c.Routes[0].TargetMs = 7
			s.Reads[0].Raw = c.Encode()
		}, "CONFIG: the configuration read back as 4 differs"},
		{"the same one read back in other words", func(s *scene) {
			o := s.acked(4, 20*sec)
			s.Reads[0].Raw = []byte(strings.ReplaceAll(string(o.Raw), `"retain_s":60,`, "\n \"retain_s\": 60.0 ,"))
		}, ""},
		{"none read back", func(s *scene) { s.Reads[0] = ReadBack{At: 59 * sec, Status: 503} }, "CONFIG: the configuration could not be read back"},
		{"an unclear one read back", func(s *scene) {
			o := s.order(2, s.next(4), 50*sec, 0)
			o.Unclear, o.Fault = true, ""
			s.trouble("node_kill", "core-1", ClassCore, 50*sec, 60*sec)
			s.Reads[0].Raw = o.Raw
		}, ""},
		{"an acknowledged one gone after the closing fault", func(s *scene) {
			s.acked(4, 20*sec)
			s.closing(30*sec, 31*sec)
			s.Reads[0].Raw = s.first.Raw
		}, "LOST: the configuration read back is 2"},
		{"no acknowledgement in time", func(s *scene) {
			o := s.acked(4, 20*sec)
			o.Ended = 24200 * time.Millisecond
		}, "ACKS: configuration 4 had no acknowledgement"},
		{"none in time while a core has just started", func(s *scene) {
			o := s.acked(4, 20*sec)
			o.Ended = 24200 * time.Millisecond
			s.Starts = append(s.Starts, Start{"core-4", ClassCore, 18 * sec})
		}, ""},
		{"none in time while the core is in trouble", func(s *scene) {
			o := s.acked(4, 20*sec)
			o.Ended = 24200 * time.Millisecond
			s.trouble("node_kill", "core-1", ClassCore, 19*sec, 21*sec)
		}, ""},
		{"later routes served less", func(s *scene) {
			s.acked(4, 20*sec)
			for place := range 20 {
				s.own(fmt.Sprint("x", place), Idempotent, "/more/2", 30*sec, 503)
			}
		}, "CONFIG: requests on later routes"},
	})
}
