package main

import (
	"fmt"
	"sync"
	"time"
)

// movedService moves the route of turns to another service while a program's
// lines wait for their first tokens; the new configuration has no longer the
// service that no route names any more.
func movedService(s *System, trouble bool) error {
	edges := s.Of("edge")
	for n := range 3 {
		if _, err := s.Platform.Add("agent2", zones[n], 96, true, 10*time.Millisecond, 34); err != nil {
			return err
		}
	}
	for _, w := range s.Platform.workers {
		if w.Service == "agent" {
			w.First, w.Pause, w.Events = 900*time.Millisecond, 10*time.Millisecond, 34
		}
	}
	time.Sleep(3 * time.Second) // the list is behind by up to a second
	const most, budget, lines = 68, 400, 5
	program := newID()[:6]
	handed, began := 0, time.Now()
	var mu sync.Mutex
	send := func(ask *Ask, m *Machine) *Answer {
		ask.Path, ask.Program, ask.Budget, ask.Most, ask.Finish = "/talk/a", program, budget, most, 60*time.Second-time.Since(began)
		got := ask.Send(s.Record, m)
		mu.Lock()
		handed += len(got.Events) * stride
		mu.Unlock()
		return got
	}
	first := send(&Ask{Body: "the program begins\n", Session: newID()[:6]}, edges[0])
	if first.Status != 200 || !first.Whole {
		return fmt.Errorf("the first turn was not answered: %v", first)
	}
	var group sync.WaitGroup
	for n := range lines {
		group.Add(1)
		go func() {
			defer group.Done()
			send(&Ask{Body: fmt.Sprintf("helper %d\n", n), Session: newID()[:6], Previous: first.ID}, edges[n%len(edges)])
		}()
	}
	time.Sleep(150 * time.Millisecond)
	routes := usualRoutes()
	routes[0].Service = "agent2"
	services := []string{"agent2", "backend", "backend2"}
	if !trouble {
		services = append(services, "agent")
	}
	status, err := s.Put(2, 1, configOf(2, routes, services...), 4*time.Second)
	if err != nil || status != 200 {
		return fmt.Errorf("the move was not acknowledged: %d %v", status, err)
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	spent := false
	for try := 0; try < 12 && !spent; try++ {
		got := send(&Ask{Body: fmt.Sprintf("and on %d\n", try), Session: newID()[:6], Previous: first.ID}, edges[try%len(edges)])
		spent = got.Status == 402
	}
	s.Record.Say("program %s was handed %d tokens of a budget of %d; the most of one turn is %d", program, handed, budget, most)
	if !spent {
		s.Record.Say("it was not stopped")
	}
	if handed > budget+most {
		s.Record.Break("BUDGET: program %s was handed %d tokens, its budget is %d and the most of one turn %d", program, handed, budget, most)
	}
	return nil
}
