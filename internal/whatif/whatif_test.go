package whatif

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/simulate"

	"github.com/matryer/is"
)

func smallScenario() *Scenario {
	deployment := DefaultDeployment()
	deployment.Group, deployment.Gateways, deployment.Cores, deployment.Storage, deployment.ModelWorkers, deployment.ToolWorkers, deployment.Zones = "g", 3, 2, 3, 2, 1, 2
	load := DefaultLoad()
	load.Steps, load.Duration = []LoadStep{{0, 2}, {2 * time.Second, 8}}, 5*time.Second
	return &Scenario{Deployment: deployment, Load: load, Settings: []byte(simulate.DefaultSettings), Seed: 7,
		Script: []ScriptEvent{{At: time.Second, Action: "kill", Machine: "edge-1"}, {At: 2 * time.Second, Action: "power", Machine: "storage-0"},
			{At: 3 * time.Second, Action: "start", Machine: "storage-0"}, {At: 3 * time.Second, Action: "freeze", Machine: "core-0"}}}
}

// TestOutputIsDeterministic checks that the same scenario gives the same bytes, and
// another seed gives others.
func TestOutputIsDeterministic(t *testing.T) {
	is := is.New(t)
	outputs := [2]bytes.Buffer{}
	for index := range outputs {
		report, err := Simulate(smallScenario())
		is.NoErr(err)
		is.True(report.Phases[1].CompletedTurns > 0)
		is.Equal(len(report.InvariantViolations), 0)
		outputs[index].Write(base.MustMarshal(report))
		WriteComparison(&outputs[index], []string{"settings"}, []*Report{report})
	}
	is.Equal(outputs[0].String(), outputs[1].String())
	other := smallScenario()
	other.Seed = 8
	report, err := Simulate(other)
	is.NoErr(err)
	is.True(!strings.HasPrefix(outputs[0].String(), string(base.MustMarshal(report))))
}

// TestInputErrorsNameLineAndField checks that errors in input files name the file,
// the line and the field.
func TestInputErrorsNameLineAndField(t *testing.T) {
	machines := DefaultDeployment().Machines()
	rows := []struct{ script, want string }{
		{`{"at_s":1,"do":"kill"}`, "f: line 1: machine: "},
		{"{\"at_s\":1,\"do\":\"heal\"}\n\n{\"at_s\":2,\"do\":\"jump\",\"machine\":\"edge-1\"}", "f: line 3: do: "},
		{`{"at_s":1,"do":"kill","machine":"edge-99"}`, "f: line 1: machine: "},
		{`{"do":"heal"}`, "f: line 1: at_s: "},
		{"{\"at_s\":5,\"do\":\"heal\"}\n{\"at_s\":4,\"do\":\"heal\"}", "f: line 2: at_s: "},
		{`{"at_s":"x","do":"heal"}`, "f: line 1: at_s: "},
		{`{"at_s":1,"do":"heal","why":1}`, "f: line 1: why: "},
		{`{"at_s":1`, "f: line 1: body: "},
	}
	for _, row := range rows {
		is := is.New(t)
		_, err := ReadScript("f", []byte(row.script), machines)
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), row.want))
	}
	is := is.New(t)
	_, err := ReadLoad("l", []byte(`{"steps":[{"at_s":0,"callers_per_s":1},{"at_s":0,"callers_per_s":2}]}`))
	is.True(strings.HasPrefix(err.Error(), "l: steps[1].at_s: "))
	_, err = ReadLoad("l", []byte(`{"steps":[]}`))
	is.True(strings.HasPrefix(err.Error(), "l: steps: "))
	_, err = ReadDeployment("d", []byte(`{"edges":0}`))
	is.True(strings.HasPrefix(err.Error(), "d: edges: "))
	unknownRoute := smallScenario()
	unknownRoute.Deployment.Route = "none"
	_, err = Simulate(unknownRoute)
	is.True(err != nil && strings.Contains(err.Error(), "unknown_route"))
}
