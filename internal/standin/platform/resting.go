package platform

import (
	"math/rand/v2"
	"time"
)

// RestingPlan is a program whose turns have no tools and no helpers, and that rests after
// each turn, longer than sessions and connections are usually kept open for.
type RestingPlan struct {
	Program *ProgramPlan
	// Rests has a rest for each turn of the main session, and Zones the zone that the turn
	// comes from.
	Rests []time.Duration
	Zones []string
}

// restingTurns is how many turns a resting program has at most.
const restingTurns = 4

// Resting draws a resting program. Its rests are shorter than maxRest, and each turn comes
// from a random zone. Half of these programs name no session.
func (g *ProgramGenerator) Resting(class *RequestClass, rng *rand.Rand, client int, maxRest time.Duration) *RestingPlan {
	zones := g.Deployment.Zones
	plan := &RestingPlan{Program: g.Program(class, zones[rng.IntN(len(zones))], client)}
	plan.Program.Runaway = false
	session := plan.Program.MainSession
	session.Turns = session.Turns[:min(len(session.Turns), restingTurns)]
	if rng.IntN(2) == 0 {
		session.SessionID = ""
	}
	for _, turn := range session.Turns {
		turn.Tools, turn.Subagents = nil, nil
		rest := time.Duration(rng.Int64N(int64(maxRest)))
		plan.Rests, plan.Zones = append(plan.Rests, rest), append(plan.Zones, zones[rng.IntN(len(zones))])
		plan.Program.TargetTime += rest
	}
	return plan
}

// inZone returns the program as its client in another zone runs it.
func (p *ProgramPlan) inZone(zone string) *ProgramPlan {
	moved := *p
	moved.Zone, moved.Client = zone, zone+" "+p.ID
	return &moved
}

// RunResting runs a resting program, and returns its last turn that was answered whole, or
// nil. rest waits, and returns false if the program is to stop.
func (p *ProgramRunner) RunResting(plan *RestingPlan, rest func(duration time.Duration) bool) (last *Try) {
	previous, startedAt := "", p.Clock.Now()
	for index, turn := range plan.Program.MainSession.Turns {
		r := &programRun{ProgramRunner: p, plan: plan.Program.inZone(plan.Zones[index]), startedAt: startedAt}
		answered := r.runTurn(plan.Program.MainSession, turn, previous, false)
		if answered == nil {
			return last
		}
		last, previous = answered, answered.ID
		if !rest(plan.Rests[index]) {
			return last
		}
	}
	return last
}

// Continue continues a program after a turn from another zone, in the turn's session or, as a
// helper, in another one, and records the attempt. It tries again until the turn is answered,
// or RetryUntil.
func (p *ProgramRunner) Continue(program *ProgramPlan, last *Try, zone string, asHelper bool) {
	p.Recorder.Update(func(r *Record) { r.Continuations = append(r.Continuations, last.ID) })
	session := *program.MainSession
	session.SessionID = last.Session
	if asHelper {
		session.SessionID = "helper-" + last.ID
	}
	r := &programRun{ProgramRunner: p, plan: program.inZone(zone), startedAt: p.Clock.Now()}
	r.runTurn(&session, program.MainSession.Turns[0], last.ID, true)
}
