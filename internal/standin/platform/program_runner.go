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

func (p *ProgramRunner) newTryID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return RandomID(p.rng)
}

func (p *ProgramRunner) randomFraction() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// together runs steps at once and waits for all.
func (p *ProgramRunner) parallel(count int, step func(index int)) {
	var group []base.Signal
	for index := range count {
		done := p.Clock.NewSignal()
		group = append(group, done)
		p.Clock.Go(func() {
			defer done.Fire()
			step(index)
		})
	}
	for _, done := range group {
		done.Wait(-1)
	}
}

// SendWithRetries makes a request with the tries its class has; make fills in what is
// the same in every try. It gives the last try.
func (p *ProgramRunner) SendWithRetries(class *RequestClass, retries int, setFields func(t *Try)) *Try {
	startedAt, lastEvent := p.Clock.Now(), int64(0)
	for tries := 0; ; tries++ {
		remaining := class.Deadline - (p.Clock.Now() - startedAt)
		t := &Try{ID: p.newTryID(), Class: class.Name, Kind: class.Kind, Method: class.Method, Deadline: remaining, Aim: class.TargetLatency, Pause: class.GapTarget, Fresh: tries > 0,
			MaxTries: class.MaxTries, Resumable: class.Resumable, After: lastEvent}
		setFields(t)
		if lastEvent > 0 {
			t.Header = append(t.Header, [2]string{HeaderLastEvent, fmt.Sprint(lastEvent)})
		}
		t.Header = append([][2]string{{HeaderID, t.ID}, {HeaderDeadline, fmt.Sprint(max(1, remaining.Milliseconds()))}}, t.Header...)
		// The whole record knows of a try before its first byte leaves.
		p.Recorder.Update(func(r *Record) { r.Tries = append(r.Tries, t) })
		p.Transport.Send(t)
		remaining = class.Deadline - (p.Clock.Now() - startedAt)
		retry, pause := ShouldRetry(t, retries-tries, remaining)
		if !retry {
			return t
		}
		if class.Resumable && len(t.Events) > 0 {
			lastEvent = t.Events[len(t.Events)-1].ID
		}
		if pause > 0 {
			p.Clock.Sleep(pause)
		}
	}
}

// run is one program under way.
type programRun struct {
	*ProgramRunner
	plan       *ProgramPlan
	startedAt  time.Duration
	mu         sync.Mutex
	stopped    bool
	overBudget bool
	reason     string
}

func (r *programRun) stop(overBudget bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.stopped, r.overBudget, r.reason = true, overBudget, reason
	}
}

func (r *programRun) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// RunProgram plays a plan to its end; previous, when set, is the turn its line
// continues from.
func (p *ProgramRunner) RunProgram(plan *ProgramPlan, previous string) Outcome {
	r := &programRun{ProgramRunner: p, plan: plan, startedAt: p.Clock.Now()}
	r.runSession(plan.MainSession, previous)
	elapsed := p.Clock.Now() - r.startedAt
	outcome := Outcome{Class: plan.Class.Name, Program: plan.ID, Began: r.startedAt, Ended: p.Clock.Now(), Why: r.reason, Runaway: plan.Runaway}
	switch {
	case r.overBudget:
		outcome.Ending = BudgetSpent
	case r.stopped:
		outcome.Ending = Failed
	case elapsed <= plan.TargetTime:
		outcome.Ending = InTime
	case elapsed <= 2*plan.TargetTime:
		outcome.Ending = Late
	default:
		outcome.Ending = TooLate
	}
	p.Recorder.Update(func(r *Record) { r.Outcomes = append(r.Outcomes, outcome) })
	return outcome
}

func (r *programRun) runSession(session *SessionPlan, previous string) {
	for index, turn := range session.Turns {
		if r.isStopped() {
			return
		}
		answered := r.runTurn(session, turn, previous, index == 0 && previous != "")
		if answered == nil {
			return
		}
		previous = answered.ID
		if len(turn.Subagents) > 0 {
			r.parallel(len(turn.Subagents), func(index int) { r.runSession(turn.Subagents[index], previous) })
		}
		if len(turn.Tools) > 0 {
			r.parallel(len(turn.Tools), func(index int) { r.runToolCall(session, turn.Tools[index]) })
		}
		for rounds := 0; r.plan.Runaway && session == r.plan.MainSession && rounds < 30 && !r.isStopped(); rounds++ {
			var subagents [2]*SessionPlan
			r.WithGenerator(func(g *ProgramGenerator) {
				subagents = [2]*SessionPlan{g.RunawaySubagent(r.plan, turn), g.RunawaySubagent(r.plan, turn)}
			})
			r.parallel(2, func(index int) { r.runSession(subagents[index], previous) })
		}
		r.Clock.Sleep(turn.ThinkTime)
	}
}

// turn asks one turn until it is answered whole, or the program ends.
func (r *programRun) runTurn(session *SessionPlan, turn *TurnPlan, previous string, continues bool) *Try {
	class := r.plan.Class
	budgetRejections := 0
	for failures := 0; ; failures++ {
		t := r.SendWithRetries(class, class.Retries, func(t *Try) { r.fillTurn(t, session, turn, previous) })
		switch {
		case t.Succeeded():
			return t
		case t.Status == 402 && r.plan.Runaway && budgetRejections < 2:
			budgetRejections++
			failures--
		case t.Complete && EndsProgram(t.Status):
			r.stop(t.Status == 402, fmt.Sprintf("turn %s got %d", t.ID, t.Status))
			return nil
		case failures >= 2 && !(continues && r.RetryUntil != nil && r.Clock.Now() < r.RetryUntil()):
			r.stop(false, fmt.Sprintf("turn %s failed the last time with %d", t.ID, t.Status))
			return nil
		}
		if r.isStopped() {
			return nil
		}
		r.Clock.Sleep(time.Duration(100+300*r.randomFraction()) * time.Millisecond)
	}
}

func (r *programRun) fillTurn(t *Try, session *SessionPlan, turn *TurnPlan, previous string) {
	plan := r.plan
	t.Host, t.Target, t.Body, t.Zone, t.Client = plan.Host, plan.Target, turn.Input, plan.Zone, plan.Client
	t.Program, t.Session, t.Previous, t.Budget, t.Most, t.Retain = plan.ID, session.SessionID, previous, plan.Budget, turn.MaxTokens, plan.Class.Retain
	if plan.Class.Retain == 0 {
		previous, t.Previous = "", "" // the prompt says it all
	}
	t.Chunked = len(turn.Input)%4 == 0
	t.Header = append(r.programHeaders(session), [][2]string{{HeaderBudget, fmt.Sprint(plan.Budget)}, {HeaderModel, plan.Model},
		{HeaderTokens, fmt.Sprintf("%d,%d", turn.PromptTokens, turn.MaxTokens)}, {HeaderPrompt, turn.PromptParts}}...)
	if previous != "" {
		t.Header = append(t.Header, [2]string{HeaderPrevious, previous})
	}
}

// mark is what every request of a program carries.
func (r *programRun) programHeaders(session *SessionPlan) [][2]string {
	remaining := max(1, (r.plan.TargetTime - (r.Clock.Now() - r.startedAt)).Milliseconds())
	return [][2]string{{HeaderProgram, r.plan.ID}, {HeaderSession, session.SessionID}, {HeaderFinish, fmt.Sprint(remaining)}}
}

func (r *programRun) runToolCall(session *SessionPlan, tool ToolCallPlan) {
	t := r.SendWithRetries(tool.Class, tool.Class.Retries, func(t *Try) {
		t.Host, t.Target, t.Body, t.Zone, t.Client = r.Names.Hosts[tool.Class.Name], tool.Target, tool.Body, r.plan.Zone, r.plan.Client
		t.Program, t.Session = r.plan.ID, session.SessionID
		t.Header = r.programHeaders(session)
	})
	workerError := t.Seal != "" && t.Status == 500
	if !t.Succeeded() && !workerError && !(tool.Class.Kind == NonIdempotent && t.Status == 0) {
		r.stop(false, fmt.Sprintf("call %s (%s) failed with %d", t.ID, tool.Class.Name, t.Status))
	}
}
