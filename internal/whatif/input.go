// Package whatif simulates a deployment in virtual time, to show operators the effect
// of a change. The input is a deployment, a settings document, a load curve, a script
// of failures and a seed. The output reports refusals, waiting times, takeover
// pauses, budget use, prefix reuse and violated invariants. The simulation runs the
// same code as the daemons, and the same input gives the same bytes of output.
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

// Deployment describes the fleet to simulate.
type Deployment struct {
	Group, Site, Route, ToolRoute              string
	Zones, Gateways, Cores, Storage            int
	ModelWorkers, WorkerCapacity, AnswerTokens int
	// CachedPrefixes is the number of prompt prefixes that a model worker caches; 0 is
	// unlimited.
	CachedPrefixes             int
	TokenInterval, PrefillTime time.Duration
	ToolWorkers                int
	ToolTime                   time.Duration
}

// LoadStep is a step of a load curve. Its rate applies from At to the next step.
type LoadStep struct {
	At               time.Duration
	CallersPerSecond float64
}

// Load describes the callers and their conversations.
type Load struct {
	Steps []LoadStep
	// Duration is the time for which new callers start.
	Duration time.Duration
	// TurnCounts are the numbers of turns of a short and of a long conversation.
	TurnCounts            [2]int
	LongConversationShare float64
	UrgentShare           float64
	ToolCalls             bool
	ThinkTime             time.Duration
	TokenBudget           int64
	// Patience is how long a caller retries a turn.
	Patience time.Duration
	// SystemPrompts is the number of different system prompts.
	SystemPrompts int
	// HastyShare is the share of callers that ignore Retry-After.
	HastyShare float64
}

// ScriptEvent is one action of a script, at a time since the start of the load. Line
// is its line in the file.
type ScriptEvent struct {
	Line    int
	At      time.Duration
	Action  string
	Machine string
}

// DefaultDeployment returns the deployment that is used if none is given.
func DefaultDeployment() *Deployment {
	return &Deployment{Group: "kiondo", Site: "main", Route: "chat", ToolRoute: "loyalty", Zones: 4, Gateways: 6, Cores: 4, Storage: 4,
		ModelWorkers: 9, WorkerCapacity: 8, AnswerTokens: 8, TokenInterval: 20 * time.Millisecond, PrefillTime: 10 * time.Millisecond, ToolWorkers: 4, ToolTime: 20 * time.Millisecond}
}

// DefaultLoad returns the load that is used if none is given: a low load with a peak
// from 10 to 30 s.
func DefaultLoad() *Load {
	return &Load{Steps: []LoadStep{{0, 2}, {10 * time.Second, 20}, {30 * time.Second, 2}}, Duration: 45 * time.Second, TurnCounts: [2]int{3, 5},
		LongConversationShare: 0.2, UrgentShare: 0.1, ToolCalls: true, ThinkTime: time.Second, TokenBudget: 1000, Patience: 30 * time.Second, SystemPrompts: 1}
}

// intField returns a reader for an integer between low and high.
func intField(target *int, low, high float64) base.FieldReader {
	return func(path string, d *jx.Decoder) error {
		var value float64
		err := base.NumberField(&value, low, high, true)(path, d)
		*target = int(value)
		return err
	}
}

// durationField returns a reader for a number of units between low and high.
func durationField(target *time.Duration, unit time.Duration, low, high float64) base.FieldReader {
	return func(path string, d *jx.Decoder) error {
		var value float64
		err := base.NumberField(&value, low, high, false)(path, d)
		*target = time.Duration(value * float64(unit))
		return err
	}
}

// locateError adds the file and the line, if there is one, to an error about a field.
func locateError(file string, line int, err error) error {
	if requestErr := base.FindRequestError(err); requestErr != nil {
		if line > 0 {
			return errors.Errorf("%s: line %d: %s: %s", file, line, requestErr.Field, requestErr.Message)
		}
		return errors.Errorf("%s: %s: %s", file, requestErr.Field, requestErr.Message)
	}
	return err
}

// ReadDeployment parses a deployment. Missing fields have the values of
// DefaultDeployment.
func ReadDeployment(file string, document []byte) (*Deployment, error) {
	d := DefaultDeployment()
	err := base.ReadFields(document, map[string]base.FieldReader{
		"group": base.StringField(&d.Group, 128), "site": base.StringField(&d.Site, 128), "route": base.StringField(&d.Route, 128), "tool_route": base.StringField(&d.ToolRoute, 128),
		"zones": intField(&d.Zones, 1, 64), "edges": intField(&d.Gateways, 1, 64), "cores": intField(&d.Cores, 1, 32), "storage": intField(&d.Storage, 3, 32),
		"models": intField(&d.ModelWorkers, 1, 128), "model_capacity": intField(&d.WorkerCapacity, 1, 4096), "answer_tokens": intField(&d.AnswerTokens, 1, 4096),
		"token_gap_ms": durationField(&d.TokenInterval, time.Millisecond, 0.1, 10000), "cache_prefixes": intField(&d.CachedPrefixes, 0, 1<<20), "prefill_ms": durationField(&d.PrefillTime, time.Millisecond, 0, 10000),
		"tools": intField(&d.ToolWorkers, 1, 128), "tool_ms": durationField(&d.ToolTime, time.Millisecond, 0.1, 60000),
	})
	return d, locateError(file, 0, err)
}

// ReadLoad parses a load. Missing fields have the values of DefaultLoad.
func ReadLoad(file string, document []byte) (*Load, error) {
	load := DefaultLoad()
	var shortTurns, longTurns, tokenBudget float64 = float64(load.TurnCounts[0]), float64(load.TurnCounts[1]), float64(load.TokenBudget)
	err := base.ReadFields(document, map[string]base.FieldReader{
		"until_s": durationField(&load.Duration, time.Second, 1, 86400), "turns": base.NumberField(&shortTurns, 1, 100, true), "long_turns": base.NumberField(&longTurns, 1, 1000, true),
		"long_share": base.NumberField(&load.LongConversationShare, 0, 1, false), "urgent_share": base.NumberField(&load.UrgentShare, 0, 1, false),
		"tool_calls": base.BoolField(&load.ToolCalls), "think_s": durationField(&load.ThinkTime, time.Second, 0, 3600), "budget_tokens": base.NumberField(&tokenBudget, 1, 1<<40, true),
		"patience_s": durationField(&load.Patience, time.Second, 1, 3600), "hasty_share": base.NumberField(&load.HastyShare, 0, 1, false), "prompts": intField(&load.SystemPrompts, 1, 1<<20),
		"steps": func(path string, d *jx.Decoder) error {
			if d.Next() != jx.Array {
				return base.DeclineField(path, "must be a list")
			}
			load.Steps = nil
			return d.Arr(func(d *jx.Decoder) error {
				stepPath := fmt.Sprintf("%s[%d]", path, len(load.Steps))
				raw, err := d.Raw()
				if err != nil {
					return err
				}
				var step LoadStep
				err = base.ReadFields(raw, map[string]base.FieldReader{"at_s": durationField(&step.At, time.Second, 0, 86400), "callers_per_s": base.NumberField(&step.CallersPerSecond, 0, 10000, false)})
				if requestErr := base.FindRequestError(err); requestErr != nil {
					requestErr.Field = stepPath + "." + requestErr.Field
					return requestErr
				}
				if len(load.Steps) > 0 && step.At <= load.Steps[len(load.Steps)-1].At {
					return base.DeclineField(stepPath+".at_s", "must be after the previous step")
				}
				load.Steps = append(load.Steps, step)
				return nil
			})
		},
	})
	load.TurnCounts, load.TokenBudget = [2]int{int(shortTurns), int(longTurns)}, int64(tokenBudget)
	if err == nil && len(load.Steps) == 0 {
		err = base.DeclineField("steps", "must not be empty")
	}
	return load, locateError(file, 0, err)
}

// actionNeedsMachine has the actions of a script, and whether each requires the name
// of a machine.
var actionNeedsMachine = map[string]bool{"kill": true, "power": true, "start": true, "freeze": true, "wake": true, "stop": true, "wipe": true,
	"stall": true, "unstall": true, "cut": true, "heal": false}

// ReadScript parses a script with one JSON event per line, ordered by time. Blank
// lines are ignored.
func ReadScript(file string, document []byte, machines []string) ([]ScriptEvent, error) {
	events := []ScriptEvent{}
	for index, line := range bytes.Split(document, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		event := ScriptEvent{Line: index + 1, At: -1}
		err := base.ReadFields(line, map[string]base.FieldReader{"at_s": durationField(&event.At, time.Second, 0, 86400),
			"do": base.StringField(&event.Action, 16), "machine": base.StringField(&event.Machine, 64)})
		needsMachine, known := actionNeedsMachine[event.Action]
		switch {
		case err != nil:
		case event.At < 0:
			err = base.DeclineField("at_s", "is required")
		case !known:
			err = base.DeclineField("do", "must be one of %s", strings.Join(base.SortedKeys(actionNeedsMachine), ", "))
		case needsMachine != (event.Machine != ""):
			err = base.DeclineField("machine", "is required for all actions except heal, which has none")
		case needsMachine && !containsName(machines, event.Machine):
			err = base.DeclineField("machine", "no machine is named %q", event.Machine)
		case len(events) > 0 && event.At < events[len(events)-1].At:
			err = base.DeclineField("at_s", "must not be before the previous event")
		}
		if err != nil {
			return nil, locateError(file, index+1, err)
		}
		events = append(events, event)
	}
	return events, nil
}

// containsName reports whether name is one of names.
func containsName(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
}

// Machines returns the names of all machines of a deployment, including its workers.
func (d *Deployment) Machines() []string {
	names := []string{}
	for _, role := range []struct {
		name  string
		count int
	}{{"storage", d.Storage}, {"core", d.Cores}, {"edge", d.Gateways}, {"model", d.ModelWorkers}, {"app", d.ToolWorkers}} {
		for index := 0; index < role.count; index++ {
			names = append(names, fmt.Sprintf("%s-%d", role.name, index))
		}
	}
	return names
}
