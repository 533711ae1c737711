// The same question gives the same bytes, and bad files are named by line
// and field.
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

func small() *Question {
	d := Kiondo()
	d.Group, d.Edges, d.Cores, d.Storage, d.Models, d.Tools, d.Zones = "g", 3, 2, 3, 2, 1, 2
	l := Saturday()
	l.Steps, l.Until = []Step{{0, 2}, {2 * time.Second, 8}}, 5*time.Second
	return &Question{Deployment: d, Load: l, Settings: []byte(simulate.DefaultSettings), Seed: 7,
		Script: []Event{{At: time.Second, Do: "kill", Machine: "edge-1"}, {At: 2 * time.Second, Do: "power", Machine: "storage-0"},
			{At: 3 * time.Second, Do: "start", Machine: "storage-0"}, {At: 3 * time.Second, Do: "freeze", Machine: "core-0"}}}
}

func TestSameInputSameBytes(t *testing.T) {
	is := is.New(t)
	written := [2]bytes.Buffer{}
	for place := range written {
		report, err := Answer(small())
		is.NoErr(err)
		is.True(report.Phases[1].Whole > 0)
		is.Equal(len(report.Breaches), 0)
		written[place].Write(base.MustMarshal(report))
		Write(&written[place], []string{"settings"}, []*Report{report})
	}
	is.Equal(written[0].String(), written[1].String())
	other := small()
	other.Seed = 8
	report, err := Answer(other)
	is.NoErr(err)
	is.True(!strings.HasPrefix(written[0].String(), string(base.MustMarshal(report))))
}

func TestBadFilesAreNamedByLineAndField(t *testing.T) {
	machines := Kiondo().Machines()
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
	wrong := small()
	wrong.Deployment.Route = "none"
	_, err = Answer(wrong)
	is.True(err != nil && strings.Contains(err.Error(), "unknown_route"))
}
