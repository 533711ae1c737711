// Package policy runs operators' small Starlark programs: nominate, which
// names the worker for a leg, and admit, which may decline a new session.
// A policy is compiled and tried when settings are applied, has no input or
// output but its arguments, and is stopped after a bounded number of steps.
// One that faults counts, and the built-in rule decides instead.
package policy

import (
	"fmt"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// StepLimit bounds one call; SourceLimit the text.
const (
	MaxSteps       = 20000
	MaxSourceBytes = 16 << 10
)

// Policy is one compiled program; it may be called from many tasks.
type Policy struct {
	nominate *starlark.Function
	admit    *starlark.Function
}

// Candidate is a worker as a policy sees it.
type Candidate struct {
	ID       string
	Zone     string
	Load     int
	Capacity int
	Previous bool
}

func thread() *starlark.Thread {
	fresh := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	fresh.SetMaxExecutionSteps(MaxSteps)
	return fresh
}

// Compile checks a program and tries each of its functions once.
func Compile(source string) (*Policy, error) {
	if len(source) > MaxSourceBytes {
		return nil, errors.Errorf("is longer than %d bytes", MaxSourceBytes)
	}
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, thread(), "policy", source, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Policy{}
	for _, name := range globals.Keys() {
		function, ok := globals[name].(*starlark.Function)
		switch {
		case name == "nominate" && ok && function.NumParams() == 2:
			p.nominate = function
		case name == "admit" && ok && function.NumParams() == 1:
			p.admit = function
		case name == "nominate" || name == "admit":
			return nil, errors.Errorf("%s must be a function: nominate(leg, workers) or admit(session)", name)
		}
	}
	if p.nominate == nil && p.admit == nil {
		return nil, errors.New("must define nominate(leg, workers) or admit(session)")
	}
	trial := []Candidate{{"worker-1", "zone-1", 1, 4, true}, {"worker-2", "zone-2", 4, 4, false}}
	if _, err := p.Nominate("normal", "zone-1", trial); err != nil {
		return nil, errors.Annotate(err, "nominate, tried on two workers")
	}
	if _, err := p.Admit("normal", "route", 3); err != nil {
		return nil, errors.Annotate(err, "admit, tried on a session")
	}
	return p, nil
}

func dict(pairs ...any) *starlark.Dict {
	made := starlark.NewDict(len(pairs) / 2)
	for place := 0; place < len(pairs); place += 2 {
		var value starlark.Value
		switch held := pairs[place+1].(type) {
		case string:
			value = starlark.String(held)
		case int:
			value = starlark.MakeInt(held)
		case bool:
			value = starlark.Bool(held)
		}
		_ = made.SetKey(starlark.String(pairs[place].(string)), value)
	}
	return made
}

// call guards against faults of the program and of the library alike.
func call(function *starlark.Function, args ...starlark.Value) (result starlark.Value, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.New(fmt.Sprint(r))
		}
	}()
	for _, arg := range args {
		arg.Freeze()
	}
	return starlark.Call(thread(), function, args, nil)
}

// Nominate gives the id of the chosen worker, or nothing when the policy
// leaves the choice to the built-in rule.
func (p *Policy) Nominate(urgency, zone string, candidates []Candidate) (string, error) {
	if p.nominate == nil {
		return "", nil
	}
	workers := base.Map(candidates, func(one Candidate) starlark.Value {
		return dict("id", one.ID, "zone", one.Zone, "load", one.Load, "capacity", one.Capacity, "former", one.Previous)
	})
	result, err := call(p.nominate, dict("urgency", urgency, "zone", zone), starlark.NewList(workers))
	if err != nil {
		return "", errors.Trace(err)
	}
	if result == starlark.None {
		return "", nil
	}
	id, ok := starlark.AsString(result)
	if !ok {
		return "", errors.Errorf("gave a %s and not a worker's id or None", result.Type())
	}
	for _, one := range candidates {
		if one.ID == id {
			return id, nil
		}
	}
	return "", errors.Errorf("gave %q, which is no worker", id)
}

// Admit tells whether a new session may be made.
func (p *Policy) Admit(urgency, route string, sessions int) (bool, error) {
	if p.admit == nil {
		return true, nil
	}
	result, err := call(p.admit, dict("urgency", urgency, "route", route, "sessions_here", sessions))
	if err != nil {
		return true, errors.Trace(err)
	}
	allowed, ok := result.(starlark.Bool)
	if !ok {
		return true, errors.Errorf("gave a %s and not True or False", result.Type())
	}
	return bool(allowed), nil
}
