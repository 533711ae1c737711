// Short runs of real processes: an owner is killed in the middle of a
// conversation; machines of each role are told to stop under load; and all of
// them are killed.
package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"

	"github.com/matryer/is"
)

// built has the daemons under the race detector, built once.
var built = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "fordseam-daemons")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-race", "-o", folder+"/", "./cmd/fordseam-gateway", "./cmd/fordseam-controller")
	build.Dir = "../.."
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, output)
	}
	return folder, nil
})

// realFleet starts a small fleet of processes with its parties.
func realFleet(t *testing.T) (*Fleet, *Workers, string) {
	is := is.New(t)
	binaries, err := built()
	is.NoErr(err)
	folder := t.TempDir()
	f, err := New(Shapes["small"], folder, binaries, rand.IntN(50000))
	is.NoErr(err)
	t.Cleanup(f.Stop)
	parties, err := f.StartWorkers(5, 2*time.Millisecond)
	is.NoErr(err)
	t.Cleanup(parties.Stop)
	is.NoErr(f.SetUp(parties, time.Minute))
	return f, parties, folder
}

// Under load, a machine of each role is told to stop and comes back while the
// settings change: nothing that was read is dropped. Then everything is killed,
// and what was acknowledged is there again.
func TestRealFleetThroughPlannedStopsAndAnOutage(t *testing.T) {
	is := is.New(t)
	f, parties, folder := realFleet(t)
	tally := standin.NewTally()
	d := newChaosRun(f, parties, tally, os.Stderr)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.RunCallers(tally, 4, 5, 100*time.Millisecond, func(int) bool { return !d.done.Load() })
	}()
	stamp := uint64(1)
	for round, p := range []*Process{f.Gateways[0], f.Cores[0], f.Storage[1], f.Gateways[1]} {
		stamp = d.applySettings(fmt.Sprint("planned-", round), stamp)
		if err := d.restart(p, syscall.SIGTERM); err != nil {
			written, _ := os.ReadFile(filepath.Join(folder, p.Name+".log"))
			t.Fatalf("%v\n%s", err, written)
		}
		written, err := os.ReadFile(filepath.Join(folder, p.Name+".log"))
		is.NoErr(err)
		is.True(!strings.Contains(string(written), "still open")) // each answered all that it had read
	}
	d.done.Store(true)
	<-ended
	for _, name := range []string{"turns_dropped", "turns_cut", "final_cut_cut"} {
		is.Equal(name+fmt.Sprint(tally.Counts[name]), name+"0")
	}
	is.True(tally.Counts["conversations_whole"] > 0)
	is.Equal(stamp, uint64(5))
	is.NoErr(d.killAndRestartAll(nil, 2*time.Minute))
	c := &standin.Caller{Name: "after", Clock: base.NewRealClock(), Send: f.Asker(), Gateways: len(f.Gateways), Group: "small", Site: "main", PiecesPerTurn: 5, TurnTimeout: time.Minute, Tally: tally}
	is.True(c.Start(1000))
	c.RunConversation(2, true)
	is.NoErr(d.recordCurrentSettings())
	tally.CheckWorkers(parties.Models, parties.Tools, 5)
	is.Equal(fmt.Sprint(tally.Breaches), "[]")
}

func TestRealFleetSurvivesTheLossOfAnOwner(t *testing.T) {
	is := is.New(t)
	f, parties, folder := realFleet(t)

	tally := standin.NewTally()
	ask := f.Asker()
	killed := ""
	c := &standin.Caller{Name: "till", Clock: base.NewRealClock(), Send: ask, Gateways: len(f.Gateways), Group: "small", Site: "main", PiecesPerTurn: 5,
		TurnTimeout: time.Minute, Tally: tally}
	c.AfterTurn = func(turn int) {
		if turn != 2 {
			return
		}
		path, secret := c.Session()
		answer, err := ask(1, "GET", path, map[string]string{"authorization": "Bearer " + secret}, nil)
		is.NoErr(err)
		var status struct {
			Owner string `json:"owner"`
		}
		is.NoErr(json.Unmarshal(answer.Body, &status))
		for _, p := range f.Gateways {
			if strings.HasPrefix(status.Owner, p.Addr) {
				p.Kill()
				killed = p.Name
			}
		}
	}
	is.True(c.Start(1000))
	c.RunConversation(5, true)
	tally.CheckWorkers(parties.Models, parties.Tools, 5)
	is.True(killed != "")
	is.Equal(fmt.Sprint(tally.Breaches), "[]")
	is.Equal(tally.Counts["conversations_whole"], 1)
	is.Equal(tally.Counts["turns_whole"], 5)
	is.Equal(tally.Counts["tools_done"], 3)

	// The rest stop when told to, with a clean exit.
	for _, p := range f.All() {
		if p.Name == killed {
			continue
		}
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range f.All() {
		code, ended := p.Wait(time.Minute)
		is.True(ended)
		if p.Name != killed {
			if code != 0 {
				written, _ := os.ReadFile(filepath.Join(folder, p.Name+".log"))
				t.Logf("%s\n%s", p.Name, written)
			}
			is.Equal(p.Name+fmt.Sprint(code), p.Name+"0")
		}
	}
}

// A folder that is not a fleet's is never emptied.
func TestOnlyAFleetsFolderIsEmptied(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(PrepareFolder(folder))
	is.NoErr(os.WriteFile(filepath.Join(folder, "edge-1.log"), []byte("x"), 0o600))
	is.NoErr(PrepareFolder(folder))
	entries, err := os.ReadDir(folder)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	other := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(other, "payroll.db"), []byte("x"), 0o600))
	is.True(PrepareFolder(other) != nil)
	kept, err := os.ReadFile(filepath.Join(other, "payroll.db"))
	is.NoErr(err)
	is.Equal(string(kept), "x")
}
