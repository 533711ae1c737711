package account

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const written = `{"id":"f8e1","site":"a-site","why":"a reason","days":[
{"name":"quiet-1","G":0.8586,"parts":[["whole day",0.6,1.0],["worst windows",0.25,0.996],["worst class",0.15,1.0]],
 "prices":[["machine-seconds",4071.6,0.1249],["probes",0.0,0.0],["GB between zones",0.05,0.0067]],"rules":{}},
{"name":"trouble-1","G":0.7,"parts":[["whole day",0.6,0.9],["worst windows",0.25,0.5],["worst class",0.15,0.9]],
 "prices":[["machine-seconds",5662.9,0.08]],"rules":{"BUDGET":76,"LOST":0}}]}`

func entry(t *testing.T, text string) (*JournalEntry, error) {
	path := filepath.Join(t.TempDir(), "entry.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return ReadEntry(path)
}

func TestLossesAddUpToTheWholeLoss(t *testing.T) {
	is := is.New(t)
	read, err := entry(t, written)
	is.NoErr(err)
	for _, day := range read.Days {
		sum := 0.0
		for _, loss := range day.Losses() {
			sum += loss.Share
		}
		is.True(math.Abs(sum-(1-day.Score)) < 1e-9)
	}
	is.Equal(read.Days[1].Losses()[0].Cause, "worth not earned: worst windows")
	is.Equal(read.Days[1].Violations(), []string{"BUDGET 76"})
}

func TestTheTablesColumnsAddUp(t *testing.T) {
	is := is.New(t)
	read, err := entry(t, written)
	is.NoErr(err)
	causes, shares := lossesByCause(read.Days)
	for place, day := range read.Days {
		sum := 0.0
		for _, cause := range causes {
			sum += shares[cause][place]
		}
		is.True(math.Abs(sum-(1-day.Score)) < 1e-9)
	}
	var out strings.Builder
	is.NoErr(WriteTable(&out, read.Days))
	is.True(strings.Contains(out.String(), "| **all that was lost** | 0.1414 | 0.3000 |"))
}

func TestAPlotIsWritten(t *testing.T) {
	is := is.New(t)
	read, err := entry(t, written)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "losses.svg")
	is.NoErr(WritePlot(path, "losses", read.Days))
	drawn, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(drawn), "<svg"))
}

func TestEntriesThatCannotBeReadAreNamed(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "{", `{"days":[]}`, `{"days":[{"parts":[[1,2]]}]}`} {
		_, err := entry(t, text)
		is.True(err != nil)
	}
	_, err := ReadEntry(filepath.Join(t.TempDir(), "missing.json"))
	is.True(err != nil)
}
