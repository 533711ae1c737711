// The player carries plans out: it makes tries, waits and tries again as the
// protocol says, and notes how each program ended. How a try reaches a node is
// the carrier's matter, so that the same player runs over sockets and in
// virtual time.

package platform

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Transport sends a try and fills in what came of it; it returns when the try is over.
type Transport interface {
	Send(t *Try)
}

// ProgramRunner plays clients and programs.
type ProgramRunner struct {
	Clock     base.Clock
	Transport Transport
	Recorder  *Recorder
	Names     *Names
	// RetryUntil, when set, tells until when programs that continue from before a
	// closing fault keep asking.
	RetryUntil func() time.Duration

	mu        sync.Mutex
	rng       *rand.Rand
	generator *ProgramGenerator
}

// NewProgramRunner makes a player that draws from a seed.
func NewProgramRunner(clock base.Clock, carrier Transport, ledger *Recorder, site *Deployment, words *Names, seed uint64) *ProgramRunner {
	rng := rand.New(rand.NewPCG(seed, 11))
	return &ProgramRunner{Clock: clock, Transport: carrier, Recorder: ledger, Names: words, rng: rng,
		generator: &ProgramGenerator{Deployment: site, Names: words, Rng: rand.New(rand.NewPCG(seed, 12))}}
}

// WithGenerator runs a step of the generator; the player's tasks share it.
func (p *ProgramRunner) WithGenerator(step func(g *ProgramGenerator)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	step(p.generator)
}

func (p *ProgramRunner) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return RandomID(p.rng)
}

func (p *ProgramRunner) fraction() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// together runs steps at once and waits for all.
func (p *ProgramRunner) together(count int, step func(place int)) {
	var group []base.Signal
	for place := range count {
		done := p.Clock.NewSignal()
		group = append(group, done)
		p.Clock.Go(func() {
			defer done.Fire()
			step(place)
		})
	}
	for _, done := range group {
		done.Wait(-1)
	}
}

// SendWithRetries makes a request with the tries its class has; make fills in what is
// the same in every try. It gives the last try.
func (p *ProgramRunner) SendWithRetries(class *RequestClass, further int, make func(t *Try)) *Try {
	began, after := p.Clock.Now(), int64(0)
	for tries := 0; ; tries++ {
		left := class.Deadline - (p.Clock.Now() - began)
		t := &Try{ID: p.id(), Class: class.Name, Kind: class.Kind, Method: class.Method, Deadline: left, Aim: class.TargetLatency, Pause: class.GapTarget, Fresh: tries > 0,
			MaxTries: class.MaxTries, Resumable: class.Resumable, After: after}
		make(t)
		if after > 0 {
			t.Header = append(t.Header, [2]string{HeaderLastEvent, fmt.Sprint(after)})
		}
		t.Header = append([][2]string{{HeaderID, t.ID}, {HeaderDeadline, fmt.Sprint(max(1, left.Milliseconds()))}}, t.Header...)
		// The whole record knows of a try before its first byte leaves.
		p.Recorder.Update(func(r *Record) { r.Tries = append(r.Tries, t) })
		p.Transport.Send(t)
		left = class.Deadline - (p.Clock.Now() - began)
		again, pause := ShouldRetry(t, further-tries, left)
		if !again {
			return t
		}
		if class.Resumable && len(t.Events) > 0 {
			after = t.Events[len(t.Events)-1].ID
		}
		if pause > 0 {
			p.Clock.Sleep(pause)
		}
	}
}

// run is one program under way.
type run struct {
	*ProgramRunner
	plan    *ProgramPlan
	began   time.Duration
	mu      sync.Mutex
	stopped bool
	spent   bool
	why     string
}

func (r *run) stop(spent bool, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.stopped, r.spent, r.why = true, spent, why
	}
}

func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// RunProgram plays a plan to its end; previous, when set, is the turn its line
// continues from.
func (p *ProgramRunner) RunProgram(plan *ProgramPlan, previous string) Outcome {
	r := &run{ProgramRunner: p, plan: plan, began: p.Clock.Now()}
	r.line(plan.MainSession, previous)
	took := p.Clock.Now() - r.began
	out := Outcome{Class: plan.Class.Name, Program: plan.ID, Began: r.began, Ended: p.Clock.Now(), Why: r.why, Runaway: plan.Runaway}
	switch {
	case r.spent:
		out.Ending = BudgetSpent
	case r.stopped:
		out.Ending = Failed
	case took <= plan.TargetTime:
		out.Ending = InTime
	case took <= 2*plan.TargetTime:
		out.Ending = Late
	default:
		out.Ending = TooLate
	}
	p.Recorder.Update(func(r *Record) { r.Outcomes = append(r.Outcomes, out) })
	return out
}

func (r *run) line(line *SessionPlan, previous string) {
	for place, turn := range line.Turns {
		if r.over() {
			return
		}
		done := r.turn(line, turn, previous, place == 0 && previous != "")
		if done == nil {
			return
		}
		previous = done.ID
		if len(turn.Subagents) > 0 {
			r.together(len(turn.Subagents), func(place int) { r.line(turn.Subagents[place], previous) })
		}
		if len(turn.Tools) > 0 {
			r.together(len(turn.Tools), func(place int) { r.tool(line, turn.Tools[place]) })
		}
		for rounds := 0; r.plan.Runaway && line == r.plan.MainSession && rounds < 30 && !r.over(); rounds++ {
			var helpers [2]*SessionPlan
			r.WithGenerator(func(g *ProgramGenerator) {
				helpers = [2]*SessionPlan{g.RunawaySubagent(r.plan, turn), g.RunawaySubagent(r.plan, turn)}
			})
			r.together(2, func(place int) { r.line(helpers[place], previous) })
		}
		r.Clock.Sleep(turn.ThinkTime)
	}
}

// turn asks one turn until it is answered whole, or the program ends.
func (r *run) turn(line *SessionPlan, turn *TurnPlan, previous string, continues bool) *Try {
	class := r.plan.Class
	spent := 0
	for again := 0; ; again++ {
		t := r.SendWithRetries(class, class.Retries, func(t *Try) { r.fill(t, line, turn, previous) })
		switch {
		case t.Succeeded():
			return t
		case t.Status == 402 && r.plan.Runaway && spent < 2:
			spent++
			again--
		case t.Complete && EndsProgram(t.Status):
			r.stop(t.Status == 402, fmt.Sprintf("turn %s got %d", t.ID, t.Status))
			return nil
		case again >= 2 && !(continues && r.RetryUntil != nil && r.Clock.Now() < r.RetryUntil()):
			r.stop(false, fmt.Sprintf("turn %s failed the last time with %d", t.ID, t.Status))
			return nil
		}
		if r.over() {
			return nil
		}
		r.Clock.Sleep(time.Duration(100+300*r.fraction()) * time.Millisecond)
	}
}

func (r *run) fill(t *Try, line *SessionPlan, turn *TurnPlan, previous string) {
	plan := r.plan
	t.Host, t.Target, t.Body, t.Zone, t.Client = plan.Host, plan.Target, turn.Input, plan.Zone, plan.Client
	t.Program, t.Session, t.Previous, t.Budget, t.Most, t.Retain = plan.ID, line.SessionID, previous, plan.Budget, turn.MaxTokens, plan.Class.Retain
	if plan.Class.Retain == 0 {
		previous, t.Previous = "", "" // the prompt says it all
	}
	t.Chunked = len(turn.Input)%4 == 0
	t.Header = append(r.mark(line), [][2]string{{HeaderBudget, fmt.Sprint(plan.Budget)}, {HeaderModel, plan.Model},
		{HeaderTokens, fmt.Sprintf("%d,%d", turn.PromptTokens, turn.MaxTokens)}, {HeaderPrompt, turn.PromptParts}}...)
	if previous != "" {
		t.Header = append(t.Header, [2]string{HeaderPrevious, previous})
	}
}

// mark is what every request of a program carries.
func (r *run) mark(line *SessionPlan) [][2]string {
	left := max(1, (r.plan.TargetTime - (r.Clock.Now() - r.began)).Milliseconds())
	return [][2]string{{HeaderProgram, r.plan.ID}, {HeaderSession, line.SessionID}, {HeaderFinish, fmt.Sprint(left)}}
}

func (r *run) tool(line *SessionPlan, tool ToolCallPlan) {
	t := r.SendWithRetries(tool.Class, tool.Class.Retries, func(t *Try) {
		t.Host, t.Target, t.Body, t.Zone, t.Client = r.Names.Hosts[tool.Class.Name], tool.Target, tool.Body, r.plan.Zone, r.plan.Client
		t.Program, t.Session = r.plan.ID, line.SessionID
		t.Header = r.mark(line)
	})
	sealed500 := t.Seal != "" && t.Status == 500
	if !t.Succeeded() && !sealed500 && !(tool.Class.Kind == NonIdempotent && t.Status == 0) {
		r.stop(false, fmt.Sprintf("call %s (%s) failed with %d", t.ID, tool.Class.Name, t.Status))
	}
}
