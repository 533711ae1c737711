// Package policy runs operators' small Starlark programs. They define nominate,
// which picks the worker for an attempt, and admit, which may refuse a new
// session. A program is compiled and tried when settings are applied. Its only
// input and output are arguments and result, and it is stopped after a bounded
// number of steps. When a policy fails, the caller counts that and uses the
// built-in rule.
package policy

import (
	"fmt"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// MaxSteps limits the execution steps of one call, and MaxSourceBytes the size
// of a program.
const (
	MaxSteps       = 20000
	MaxSourceBytes = 16 << 10
)

// Policy is one compiled program. It is safe for concurrent use.
type Policy struct {
	nominate *starlark.Function
	admit    *starlark.Function
}

// Candidate is a worker as a policy sees it. Previous (former in the program)
// means that the session used this worker before.
type Candidate struct {
	ID       string
	Zone     string
	Load     int
	Capacity int
	Previous bool
}

// newThread returns a thread with the step limit whose print does nothing.
func newThread() *starlark.Thread {
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(MaxSteps)
	return thread
}

// Compile compiles a program and tries each of its functions once.
func Compile(source string) (*Policy, error) {
	if len(source) > MaxSourceBytes {
		return nil, errors.Errorf("is longer than %d bytes", MaxSourceBytes)
	}
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, newThread(), "policy", source, nil)
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
	candidates := []Candidate{{"worker-1", "zone-1", 1, 4, true}, {"worker-2", "zone-2", 4, 4, false}}
	if _, err := p.Pick("normal", "zone-1", candidates); err != nil {
		return nil, errors.Annotate(err, "trial call of nominate with two workers")
	}
	if _, err := p.Admit("normal", "route", 3); err != nil {
		return nil, errors.Annotate(err, "trial call of admit")
	}
	return p, nil
}

// newDict returns a dict of alternating keys and values.
func newDict(pairs ...any) *starlark.Dict {
	result := starlark.NewDict(len(pairs) / 2)
	for i := 0; i < len(pairs); i += 2 {
		var value starlark.Value
		switch v := pairs[i+1].(type) {
		case string:
			value = starlark.String(v)
		case int:
			value = starlark.MakeInt(v)
		case bool:
			value = starlark.Bool(v)
		}
		_ = result.SetKey(starlark.String(pairs[i].(string)), value)
	}
	return result
}

// call calls a function of the program with frozen arguments. A panic of the
// interpreter becomes an error.
func call(function *starlark.Function, args ...starlark.Value) (result starlark.Value, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.New(fmt.Sprint(r))
		}
	}()
	for _, arg := range args {
		arg.Freeze()
	}
	return starlark.Call(newThread(), function, args, nil)
}

// Pick returns the id of the worker that the policy picks, or "" if it leaves
// the choice to the built-in rule.
func (p *Policy) Pick(urgency, zone string, candidates []Candidate) (string, error) {
	if p.nominate == nil {
		return "", nil
	}
	workers := base.Map(candidates, func(candidate Candidate) starlark.Value {
		return newDict("id", candidate.ID, "zone", candidate.Zone, "load", candidate.Load, "capacity", candidate.Capacity, "former", candidate.Previous)
	})
	result, err := call(p.nominate, newDict("urgency", urgency, "zone", zone), starlark.NewList(workers))
	if err != nil {
		return "", errors.Trace(err)
	}
	if result == starlark.None {
		return "", nil
	}
	id, ok := starlark.AsString(result)
	if !ok {
		return "", errors.Errorf("returned a %s instead of a worker's id or None", result.Type())
	}
	for _, candidate := range candidates {
		if candidate.ID == id {
			return id, nil
		}
	}
	return "", errors.Errorf("returned %q, which is not the id of a worker that it was given", id)
}

// Admit reports whether a new session may be created. It is true if the policy
// fails.
func (p *Policy) Admit(urgency, route string, sessions int) (bool, error) {
	if p.admit == nil {
		return true, nil
	}
	result, err := call(p.admit, newDict("urgency", urgency, "route", route, "sessions_here", sessions))
	if err != nil {
		return true, errors.Trace(err)
	}
	allowed, ok := result.(starlark.Bool)
	if !ok {
		return true, errors.Errorf("returned a %s instead of True or False", result.Type())
	}
	return bool(allowed), nil
}
