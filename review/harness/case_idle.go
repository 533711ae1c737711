package main

import (
	"fmt"
	"time"
)

// idleLine plays conversations that rest for a while and then come in through
// another zone, inside the time for which their turns are kept.
func idleLine(s *System, trouble bool) error {
	const pause = 28 * time.Second
	type line struct {
		program, session, previous, text string
		answered                         time.Time
		next                             []*Machine // where the tries after the pause arrive
	}
	first := func(previous, body string, program, session string) *Ask {
		return &Ask{Path: "/talk/a", Body: body, Program: program, Session: session, Previous: previous, Budget: 4000, Most: 16, Finish: 80 * time.Second}
	}
	lines := []*line{}
	for n := range zones {
		here, there := s.Zone(zones[n]), s.Zone(zones[(n+1)%len(zones)])
		l := &line{program: newID()[:6], session: newID()[:6], next: there}
		if !trouble {
			l.next = here
		}
		// The second turn comes in through the other zone, at once: that works.
		for turn, m := range []*Machine{here[0], there[0]} {
			input := fmt.Sprintf("line %d turn %d\n", n, turn)
			got := first(l.previous, input, l.program, l.session).Send(s.Record, m)
			if got.Status != 200 || !got.Whole {
				return fmt.Errorf("a turn before the pause was not answered: %v", got)
			}
			l.previous, l.text, l.answered = got.ID, l.text+said(input, got.Events), time.Now()
		}
		lines = append(lines, l)
	}
	s.Record.Say("all lines rest for %s; retain_s is 60", pause)
	time.Sleep(pause)
	others, served := 0, 0
	for _, l := range lines {
		other := first("", "a first turn\n", newID()[:6], newID()[:6]).Send(s.Record, l.next[0])
		if others++; len(s.Platform.Runs(other.ID)) > 0 {
			served++
		}
		// A turn has two tries, and is sent again from its start twice.
		reached, tries, input := false, 0, "after the pause\n"
		for ; tries < 6 && !reached; tries++ {
			got := first(l.previous, input, l.program, l.session).Send(s.Record, l.next[tries%len(l.next)])
			for _, run := range s.Platform.Runs(got.ID) {
				reached = true
				if run.Body != l.text+input {
					s.Record.Break("UNASKED: turn %s ran with another body than its chain", got.ID)
				}
			}
			if !reached {
				time.Sleep(got.Pause())
			}
		}
		age := time.Since(l.answered)
		s.Record.Say("line %s of program %s: reached a worker: %v, in %d tries, %.0f s after its last turn", l.session, l.program, reached, tries, age.Seconds())
		if !reached && tries >= 5 && age < 60*time.Second {
			s.Record.Break("LOST: the turn that continues from %s, answered whole %.0f s before, reached no worker in %d tries in zone %s",
				l.previous, age.Seconds(), tries, l.next[0].Zone)
		}
	}
	if served*10 < others*9 {
		return fmt.Errorf("only %d of %d first turns reached a worker", served, others)
	}
	return nil
}
