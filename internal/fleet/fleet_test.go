package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/fleet/fleettest"
	"fordseam/internal/standin"

	"github.com/matryer/is"
)

// startRealFleet starts a small fleet of processes with its simulated workers.
func startRealFleet(t *testing.T) (*Fleet, *Workers, string) {
	is := is.New(t)
	binDir, err := fleettest.BuildDaemons()
	is.NoErr(err)
	dir := t.TempDir()
	f, err := New(Shapes["small"], dir, binDir, rand.IntN(50000))
	is.NoErr(err)
	t.Cleanup(f.Stop)
	workers, err := f.StartWorkers(5, 2*time.Millisecond)
	is.NoErr(err)
	t.Cleanup(workers.Stop)
	is.NoErr(f.SetUp(workers, time.Minute))
	return f, workers, dir
}

// TestRealFleetSurvivesPlannedRestartsAndFullOutage gracefully restarts machines of all
// roles under load while the settings change, and checks that no request that was read
// is dropped. Then it kills all processes, and checks that the acknowledged settings are
// still in force and that a new conversation completes.
func TestRealFleetSurvivesPlannedRestartsAndFullOutage(t *testing.T) {
	is := is.New(t)
	f, workers, dir := startRealFleet(t)
	tally := standin.NewTally()
	run := newChaosRun(f, workers, tally, os.Stderr)
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		f.RunCallers(tally, 4, 5, 100*time.Millisecond, func(int) bool { return !run.done.Load() })
	}()
	version := uint64(1)
	for round, process := range []*Process{f.Gateways[0], f.Cores[0], f.Storage[1], f.Gateways[1]} {
		version = run.applySettings(fmt.Sprint("planned-", round), version)
		if err := run.restart(process, syscall.SIGTERM); err != nil {
			log, _ := os.ReadFile(filepath.Join(dir, process.Name+".log"))
			t.Fatalf("%v\n%s", err, log)
		}
		log, err := os.ReadFile(filepath.Join(dir, process.Name+".log"))
		is.NoErr(err)
		is.True(!strings.Contains(string(log), "still open")) // all requests that were read were answered
	}
	run.done.Store(true)
	<-callersDone
	t.Logf("what callers saw: %v", tally.Counts) // names what cut a turn
	for _, name := range []string{"turns_dropped", "turns_cut", "final_cut_cut"} {
		is.Equal(name+fmt.Sprint(tally.Counts[name]), name+"0")
	}
	is.True(tally.Counts["conversations_whole"] > 0)
	is.Equal(version, uint64(5))
	is.NoErr(run.killAndRestartAll(nil, 2*time.Minute))
	caller := &standin.Caller{Name: "after", Clock: base.NewRealClock(), Send: f.RequestSender(), Gateways: len(f.Gateways), Group: "small", Site: "main", PiecesPerTurn: 5, TurnTimeout: time.Minute, Tally: tally}
	is.True(caller.Start(1000))
	caller.RunConversation(2, true)
	is.NoErr(run.recordCurrentSettings())
	tally.CheckWorkers(workers.Models, workers.Tools, 5)
	is.Equal(fmt.Sprint(tally.Breaches), "[]")
}

// TestRealFleetSurvivesOwnerLoss kills the gateway that owns a session in the middle of
// its conversation, and checks that the conversation completes and that the other
// processes stop cleanly.
func TestRealFleetSurvivesOwnerLoss(t *testing.T) {
	is := is.New(t)
	f, workers, dir := startRealFleet(t)

	tally := standin.NewTally()
	sendRequest := f.RequestSender()
	killedName := ""
	caller := &standin.Caller{Name: "till", Clock: base.NewRealClock(), Send: sendRequest, Gateways: len(f.Gateways), Group: "small", Site: "main", PiecesPerTurn: 5,
		TurnTimeout: time.Minute, Tally: tally}
	caller.AfterTurn = func(turn int) {
		if turn != 2 {
			return
		}
		path, secret := caller.Session()
		answer, err := sendRequest(1, "GET", path, map[string]string{"authorization": "Bearer " + secret}, nil)
		is.NoErr(err)
		var status struct {
			Owner string `json:"owner"`
		}
		is.NoErr(json.Unmarshal(answer.Body, &status))
		for _, process := range f.Gateways {
			if strings.HasPrefix(status.Owner, process.Addr) {
				process.Kill()
				killedName = process.Name
			}
		}
	}
	is.True(caller.Start(1000))
	caller.RunConversation(5, true)
	tally.CheckWorkers(workers.Models, workers.Tools, 5)
	is.True(killedName != "")
	is.Equal(fmt.Sprint(tally.Breaches), "[]")
	is.Equal(tally.Counts["conversations_whole"], 1)
	is.Equal(tally.Counts["turns_whole"], 5)
	is.Equal(tally.Counts["tools_done"], 3)

	// The other processes must exit with code 0 on SIGTERM.
	for _, process := range f.All() {
		if process.Name == killedName {
			continue
		}
		process.Signal(syscall.SIGTERM)
	}
	for _, process := range f.All() {
		exitCode, exited := process.Wait(time.Minute)
		is.True(exited)
		if process.Name != killedName {
			if exitCode != 0 {
				log, _ := os.ReadFile(filepath.Join(dir, process.Name+".log"))
				t.Logf("%s\n%s", process.Name, log)
			}
			is.Equal(process.Name+fmt.Sprint(exitCode), process.Name+"0")
		}
	}
}

// TestPrepareDirEmptiesOnlyFleetDirs checks that a directory that did not belong
// to a fleet is not emptied.
func TestPrepareDirEmptiesOnlyFleetDirs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(PrepareDir(dir))
	is.NoErr(os.WriteFile(filepath.Join(dir, "edge-1.log"), []byte("x"), 0o600))
	is.NoErr(PrepareDir(dir))
	entries, err := os.ReadDir(dir)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	foreignDir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(foreignDir, "payroll.db"), []byte("x"), 0o600))
	is.True(PrepareDir(foreignDir) != nil)
	content, err := os.ReadFile(filepath.Join(foreignDir, "payroll.db"))
	is.NoErr(err)
	is.Equal(string(content), "x")
}
