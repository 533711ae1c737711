package account

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const entryJSON = `{"id":"f8e1","site":"a-site","why":"a reason","days":[
{"name":"quiet-1","G":0.8586,"parts":[["whole day",0.6,1.0],["worst windows",0.25,0.996],["worst class",0.15,1.0]],
 "prices":[["machine-seconds",4071.6,0.1249],["probes",0.0,0.0],["GB between zones",0.05,0.0067]],"rules":{}},
{"name":"trouble-1","G":0.7,"parts":[["whole day",0.6,0.9],["worst windows",0.25,0.5],["worst class",0.15,0.9]],
 "prices":[["machine-seconds",5662.9,0.08]],"rules":{"BUDGET":76,"LOST":0}}]}`

func readTestEntry(t *testing.T, content string) (*JournalEntry, error) {
	path := filepath.Join(t.TempDir(), "entry.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return ReadEntry(path)
}

func TestLossesAddUpToTotalLoss(t *testing.T) {
	is := is.New(t)
	entry, err := readTestEntry(t, entryJSON)
	is.NoErr(err)
	for _, day := range entry.Days {
		sum := 0.0
		for _, loss := range day.Losses() {
			sum += loss.Share
		}
		is.True(math.Abs(sum-(1-day.Score)) < 1e-9)
	}
	is.Equal(entry.Days[1].Losses()[0].Cause, "unearned score: worst windows")
	is.Equal(entry.Days[1].Violations(), []string{"BUDGET 76"})
}

func TestTableColumnsAddUpToTotalLoss(t *testing.T) {
	is := is.New(t)
	entry, err := readTestEntry(t, entryJSON)
	is.NoErr(err)
	causes, shares := lossesByCause(entry.Days)
	for index, day := range entry.Days {
		sum := 0.0
		for _, cause := range causes {
			sum += shares[cause][index]
		}
		is.True(math.Abs(sum-(1-day.Score)) < 1e-9)
	}
	var out strings.Builder
	is.NoErr(WriteTable(&out, entry.Days))
	is.True(strings.Contains(out.String(), "| **total loss** | 0.1414 | 0.3000 |"))
}

func TestWritePlotWritesSVG(t *testing.T) {
	is := is.New(t)
	entry, err := readTestEntry(t, entryJSON)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "losses.svg")
	is.NoErr(WritePlot(path, "losses", entry.Days))
	content, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(content), "<svg"))
}

func TestReadEntryRejectsInvalidFiles(t *testing.T) {
	is := is.New(t)
	for _, content := range []string{"", "{", `{"days":[]}`, `{"days":[{"parts":[[1,2]]}]}`} {
		_, err := readTestEntry(t, content)
		is.True(err != nil)
	}
	_, err := ReadEntry(filepath.Join(t.TempDir(), "missing.json"))
	is.True(err != nil)
}
