package platform

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Transport sends a try to a node, fills in the outcome, and returns when the try is over.
type Transport interface {
	Send(t *Try)
}

// ProgramRunner carries out the plans of programs as their clients would: it sends tries, waits
// and retries as the protocol says, and records how each program ended. The transport is
// given, so that the same runner works over sockets and in virtual time.
type ProgramRunner struct {
	Clock     base.Clock
	Transport Transport
	Recorder  *Recorder
	Names     *Names
	// RetryUntil, if set, returns until when programs that continue a turn from before the
	// closing fault keep retrying.
	RetryUntil func() time.Duration

	mu        sync.Mutex
	rng       *rand.Rand
	generator *ProgramGenerator
}

// NewProgramRunner returns a runner whose random choices come from a seed.
func NewProgramRunner(clock base.Clock, carrier Transport, ledger *Recorder, deployment *Deployment, words *Names, seed uint64) *ProgramRunner {
	rng := rand.New(rand.NewPCG(seed, 11))
	return &ProgramRunner{Clock: clock, Transport: carrier, Recorder: ledger, Names: words, rng: rng,
		generator: &ProgramGenerator{Deployment: deployment, Names: words, Rng: rand.New(rand.NewPCG(seed, 12))}}
}

// WithGenerator calls step with the generator, which the runner's tasks share under a lock.
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

// parallel runs count steps concurrently and waits for all of them.
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

// SendWithRetries sends a request of a class, with at most the given number of retries;
// setFields fills in what is the same in every try. It returns the last try.
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
		// The try is in the record before its first byte is sent.
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

// programRun is a program being run; it stops when a turn or tool call fails for good.
type programRun struct {
	*ProgramRunner
	plan       *ProgramPlan
	startedAt  time.Duration
	mu         sync.Mutex
	stopped    bool
	overBudget bool
	reason     string
}

// stop ends the program; only the first reason is kept.
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

// RunProgram runs a plan to its end and records the outcome; previous, if set, is the turn that
// its main session continues.
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

// runSession runs a session's turns, each followed by its subagents, its tool calls and the
// think time. The main session of a runaway program starts two more subagents at a time, up
// to 30 times after each turn, until the program is stopped.
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

// runTurn sends a turn until it is answered in full, or ends the program: after an answer that
// ends programs, or after three failed requests. A runaway program ignores the first two
// answers that reject a turn over budget (402).
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
			r.stop(t.Status == 402, fmt.Sprintf("turn %s got status %d", t.ID, t.Status))
			return nil
		case failures >= 2 && !(continues && r.RetryUntil != nil && r.Clock.Now() < r.RetryUntil()):
			r.stop(false, fmt.Sprintf("turn %s failed, finally with status %d", t.ID, t.Status))
			return nil
		}
		if r.isStopped() {
			return nil
		}
		r.Clock.Sleep(time.Duration(100+300*r.randomFraction()) * time.Millisecond)
	}
}

// fillTurn sets the fields and headers of a turn's try.
func (r *programRun) fillTurn(t *Try, session *SessionPlan, turn *TurnPlan, previous string) {
	plan := r.plan
	t.Host, t.Target, t.Body, t.Zone, t.Client = plan.Host, plan.Target, turn.Input, plan.Zone, plan.Client
	t.Program, t.Session, t.Previous, t.Budget, t.Most, t.Retain = plan.ID, session.SessionID, previous, plan.Budget, turn.MaxTokens, plan.Class.Retain
	if plan.Class.Retain == 0 {
		previous, t.Previous = "", "" // the input holds the whole conversation
	}
	t.Chunked = len(turn.Input)%4 == 0
	t.Header = append(r.programHeaders(session), [][2]string{{HeaderBudget, fmt.Sprint(plan.Budget)}, {HeaderModel, plan.Model},
		{HeaderTokens, fmt.Sprintf("%d,%d", turn.PromptTokens, turn.MaxTokens)}, {HeaderPrompt, turn.PromptParts}}...)
	if previous != "" {
		t.Header = append(t.Header, [2]string{HeaderPrevious, previous})
	}
}

// programHeaders returns the headers that every request of a program has. A session may be
// unnamed.
func (r *programRun) programHeaders(session *SessionPlan) [][2]string {
	remaining := max(1, (r.plan.TargetTime - (r.Clock.Now() - r.startedAt)).Milliseconds())
	headers := [][2]string{{HeaderProgram, r.plan.ID}, {HeaderFinish, fmt.Sprint(remaining)}}
	if session.SessionID != "" {
		headers = append(headers, [2]string{HeaderSession, session.SessionID})
	}
	return headers
}

// runToolCall makes a tool call. The program fails with it, except on a worker's own 500 and
// on a non-idempotent call without an answer, which may have run.
func (r *programRun) runToolCall(session *SessionPlan, tool ToolCallPlan) {
	t := r.SendWithRetries(tool.Class, tool.Class.Retries, func(t *Try) {
		t.Host, t.Target, t.Body, t.Zone, t.Client = r.Names.Hosts[tool.Class.Name], tool.Target, tool.Body, r.plan.Zone, r.plan.Client
		t.Program, t.Session = r.plan.ID, session.SessionID
		t.Header = r.programHeaders(session)
	})
	workerError := t.Seal != "" && t.Status == 500
	if !t.Succeeded() && !workerError && !(tool.Class.Kind == NonIdempotent && t.Status == 0) {
		r.stop(false, fmt.Sprintf("tool call %s (%s) failed with status %d", t.ID, tool.Class.Name, t.Status))
	}
}
