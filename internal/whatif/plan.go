// Package whatif answers operators' questions in virtual time: a deployment,
// a settings document, a load curve, a script of failures and a seed go in;
// refusals, waiting, take-over pauses, budget use, prefix reuse and the
// must-nevers come out. It runs the slices' own code, and the same input
// gives the same bytes out.
package whatif

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"fordseam/internal/base"

	"github.com/go-faster/jx"
	"github.com/juju/errors"
)

// Deployment is the fleet in question.
type Deployment struct {
	Group, Site, Route, ToolRoute   string
	Zones, Gateways, Cores, Storage int
	Models, Capacity, AnswerTokens  int
	// CachePrefixes is how many prefixes a model worker keeps; 0 keeps all.
	CachePrefixes              int
	TokenInterval, PrefillTime time.Duration
	Tools                      int
	ToolTime                   time.Duration
}

// LoadStep of a load curve holds until the next.
type LoadStep struct {
	At               time.Duration
	CallersPerSecond float64
}

// Load is the callers' part.
type Load struct {
	Steps                 []LoadStep
	Duration              time.Duration
	TurnCounts            [2]int
	LongConversationShare float64
	UrgentShare           float64
	ToolCalls             bool
	ThinkTime             time.Duration
	TokenBudget           int64
	Patience              time.Duration
	// SystemPrompts is how many system prompts there are.
	SystemPrompts int
	// HastyShare is the share of callers who do not obey Retry-After.
	HastyShare float64
}

// ScriptEvent of a script.
type ScriptEvent struct {
	Line    int
	At      time.Duration
	Action  string
	Machine string
}

// DefaultDeployment is the deployment used when none is given.
func DefaultDeployment() *Deployment {
	return &Deployment{Group: "kiondo", Site: "main", Route: "chat", ToolRoute: "loyalty", Zones: 4, Gateways: 6, Cores: 4, Storage: 4,
		Models: 9, Capacity: 8, AnswerTokens: 8, TokenInterval: 20 * time.Millisecond, PrefillTime: 10 * time.Millisecond, Tools: 4, ToolTime: 20 * time.Millisecond}
}

// DefaultLoad is the load used when none is given: quiet, a rush, and back.
func DefaultLoad() *Load {
	return &Load{Steps: []LoadStep{{0, 2}, {10 * time.Second, 20}, {30 * time.Second, 2}}, Duration: 45 * time.Second, TurnCounts: [2]int{3, 5},
		LongConversationShare: 0.2, UrgentShare: 0.1, ToolCalls: true, ThinkTime: time.Second, TokenBudget: 1000, Patience: 30 * time.Second, SystemPrompts: 1}
}

func intField(into *int, low, high float64) base.FieldReader {
	return func(path string, d *jx.Decoder) error {
		var value float64
		err := base.NumberField(&value, low, high, true)(path, d)
		*into = int(value)
		return err
	}
}

func durationField(into *time.Duration, unit time.Duration, low, high float64) base.FieldReader {
	return func(path string, d *jx.Decoder) error {
		var value float64
		err := base.NumberField(&value, low, high, false)(path, d)
		*into = time.Duration(value * float64(unit))
		return err
	}
}

// locateError names the file, the line and the field of what is wrong.
func locateError(file string, line int, err error) error {
	if v := base.FindRequestError(err); v != nil {
		if line > 0 {
			return errors.Errorf("%s: line %d: %s: %s", file, line, v.Field, v.Message)
		}
		return errors.Errorf("%s: %s: %s", file, v.Field, v.Message)
	}
	return err
}

// ReadDeployment reads a deployment over the default.
func ReadDeployment(file string, document []byte) (*Deployment, error) {
	d := DefaultDeployment()
	err := base.ReadFields(document, map[string]base.FieldReader{
		"group": base.StringField(&d.Group, 128), "site": base.StringField(&d.Site, 128), "route": base.StringField(&d.Route, 128), "tool_route": base.StringField(&d.ToolRoute, 128),
		"zones": intField(&d.Zones, 1, 64), "edges": intField(&d.Gateways, 1, 64), "cores": intField(&d.Cores, 1, 32), "storage": intField(&d.Storage, 3, 32),
		"models": intField(&d.Models, 1, 128), "model_capacity": intField(&d.Capacity, 1, 4096), "answer_tokens": intField(&d.AnswerTokens, 1, 4096),
		"token_gap_ms": durationField(&d.TokenInterval, time.Millisecond, 0.1, 10000), "cache_prefixes": intField(&d.CachePrefixes, 0, 1<<20), "prefill_ms": durationField(&d.PrefillTime, time.Millisecond, 0, 10000),
		"tools": intField(&d.Tools, 1, 128), "tool_ms": durationField(&d.ToolTime, time.Millisecond, 0.1, 60000),
	})
	return d, locateError(file, 0, err)
}

// ReadLoad reads a load curve over the default.
func ReadLoad(file string, document []byte) (*Load, error) {
	l := DefaultLoad()
	var turns, long, budget float64 = float64(l.TurnCounts[0]), float64(l.TurnCounts[1]), float64(l.TokenBudget)
	err := base.ReadFields(document, map[string]base.FieldReader{
		"until_s": durationField(&l.Duration, time.Second, 1, 86400), "turns": base.NumberField(&turns, 1, 100, true), "long_turns": base.NumberField(&long, 1, 1000, true),
		"long_share": base.NumberField(&l.LongConversationShare, 0, 1, false), "urgent_share": base.NumberField(&l.UrgentShare, 0, 1, false),
		"tool_calls": base.BoolField(&l.ToolCalls), "think_s": durationField(&l.ThinkTime, time.Second, 0, 3600), "budget_tokens": base.NumberField(&budget, 1, 1<<40, true),
		"patience_s": durationField(&l.Patience, time.Second, 1, 3600), "hasty_share": base.NumberField(&l.HastyShare, 0, 1, false), "prompts": intField(&l.SystemPrompts, 1, 1<<20),
		"steps": func(path string, d *jx.Decoder) error {
			if d.Next() != jx.Array {
				return base.DeclineField(path, "must be a list")
			}
			l.Steps = nil
			return d.Arr(func(d *jx.Decoder) error {
				at := fmt.Sprintf("%s[%d]", path, len(l.Steps))
				raw, err := d.Raw()
				if err != nil {
					return err
				}
				var step LoadStep
				err = base.ReadFields(raw, map[string]base.FieldReader{"at_s": durationField(&step.At, time.Second, 0, 86400), "callers_per_s": base.NumberField(&step.CallersPerSecond, 0, 10000, false)})
				if v := base.FindRequestError(err); v != nil {
					v.Field = at + "." + v.Field
					return v
				}
				if len(l.Steps) > 0 && step.At <= l.Steps[len(l.Steps)-1].At {
					return base.DeclineField(at+".at_s", "must be after the step before")
				}
				l.Steps = append(l.Steps, step)
				return nil
			})
		},
	})
	l.TurnCounts, l.TokenBudget = [2]int{int(turns), int(long)}, int64(budget)
	if err == nil && len(l.Steps) == 0 {
		err = base.DeclineField("steps", "must not be empty")
	}
	return l, locateError(file, 0, err)
}

var actionNeedsMachine = map[string]bool{"kill": true, "power": true, "start": true, "freeze": true, "wake": true, "stop": true, "wipe": true,
	"stall": true, "unstall": true, "cut": true, "heal": false}

// ReadScript reads one event a line.
func ReadScript(file string, document []byte, machines []string) ([]ScriptEvent, error) {
	events := []ScriptEvent{}
	for place, line := range bytes.Split(document, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		event := ScriptEvent{Line: place + 1, At: -1}
		err := base.ReadFields(line, map[string]base.FieldReader{"at_s": durationField(&event.At, time.Second, 0, 86400),
			"do": base.StringField(&event.Action, 16), "machine": base.StringField(&event.Machine, 64)})
		needs, known := actionNeedsMachine[event.Action]
		switch {
		case err != nil:
		case event.At < 0:
			err = base.DeclineField("at_s", "must be given")
		case !known:
			err = base.DeclineField("do", "must be one of %s", strings.Join(base.SortedKeys(actionNeedsMachine), ", "))
		case needs != (event.Machine != ""):
			err = base.DeclineField("machine", "must be given for all but heal")
		case needs && !named(machines, event.Machine):
			err = base.DeclineField("machine", "no machine is named %q", event.Machine)
		case len(events) > 0 && event.At < events[len(events)-1].At:
			err = base.DeclineField("at_s", "must not be before the line above")
		}
		if err != nil {
			return nil, locateError(file, place+1, err)
		}
		events = append(events, event)
	}
	return events, nil
}

func named(machines []string, name string) bool {
	for _, one := range machines {
		if one == name {
			return true
		}
	}
	return false
}

// Machines names all machines of a deployment, workers included.
func (d *Deployment) Machines() []string {
	names := []string{}
	for _, kind := range []struct {
		name  string
		count int
	}{{"storage", d.Storage}, {"core", d.Cores}, {"edge", d.Gateways}, {"model", d.Models}, {"app", d.Tools}} {
		for place := 0; place < kind.count; place++ {
			names = append(names, fmt.Sprintf("%s-%d", kind.name, place))
		}
	}
	return names
}
