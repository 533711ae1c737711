package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/operate"
	"fordseam/internal/settings"
	"fordseam/internal/standin"

	"github.com/juju/errors"
)

// chaosRun is a scripted scenario of faults and planned operations on a fleet under
// load. The tally checks what callers and workers observed, and the settings versions
// that gateways report.
type chaosRun struct {
	fleet   *Fleet
	workers *Workers
	tally   *standin.Tally
	out     io.Writer
	clock   base.Clock
	done    atomic.Bool
}

func newChaosRun(f *Fleet, workers *Workers, tally *standin.Tally, out io.Writer) *chaosRun {
	for _, model := range workers.Models {
		model.OnRun = tally.RecordWorkStarted
	}
	return &chaosRun{fleet: f, workers: workers, tally: tally, out: out, clock: workers.Clock}
}

// RunChaos runs the chaos scenario: under load, workers are replaced, machines are
// frozen, killed and stopped, a disk is lost and replaced, operators make conflicting
// changes, and finally all machines are killed at once. It returns when the callers
// have ended their conversations.
func (f *Fleet) RunChaos(workers *Workers, tally *standin.Tally, callers, answerTokens int, out io.Writer) error {
	run := newChaosRun(f, workers, tally, out)
	var group sync.WaitGroup
	group.Add(2)
	go func() {
		defer group.Done()
		f.RunCallers(tally, callers, answerTokens, 300*time.Millisecond, func(int) bool { return !run.done.Load() })
	}()
	go func() {
		defer group.Done()
		run.watchGatewaySettings()
	}()
	steps := []struct {
		name string
		do   func() error
	}{
		{"workers are replaced one by one", run.replaceWorkers},
		{"a gateway is frozen and resumed", func() error { return run.freeze(f.Gateways[0], 4*time.Second) }},
		{"a core is frozen and resumed", func() error { return run.freeze(f.Cores[1], 4*time.Second) }},
		{"a gateway is stopped and restarted", func() error { return run.restart(f.Gateways[1], syscall.SIGTERM) }},
		{"a core is stopped and restarted", func() error { return run.restart(f.Cores[0], syscall.SIGTERM) }},
		{"a gateway is killed and restarted", func() error { return run.restart(f.Gateways[2], syscall.SIGKILL) }},
		{"a core is killed and restarted", func() error { return run.restart(f.Cores[1], syscall.SIGKILL) }},
		{"a storage machine is killed and restarted", func() error { return run.restart(f.Storage[1], syscall.SIGKILL) }},
		{"a disk is lost and its machine is replaced", run.replaceDisk},
		{"two operators make conflicting changes while a core is killed", run.applyConcurrently},
		{"all machines are killed at once, one storage machine stays down", run.measureFullOutage},
	}
	var stepErr error
	for _, step := range steps {
		start := run.clock.Now()
		if stepErr = step.do(); stepErr != nil {
			stepErr = errors.Annotate(stepErr, step.name)
			break
		}
		_, _ = fmt.Fprintf(out, "%6.1fs  %s (%.1fs)\n", run.clock.Now().Seconds(), step.name, (run.clock.Now() - start).Seconds())
		run.clock.Sleep(time.Second)
	}
	run.done.Store(true)
	group.Wait()
	return stepErr
}

// replaceWorkers replaces three workers one by one: the list gets the new worker
// instead of the old one, which ends 3.5 s later.
func (run *chaosRun) replaceWorkers() error {
	version := run.workers.List.Stamp
	for index := range 3 {
		old := run.workers.List.Workers[index]
		replacement, err := run.fleet.startWorker(run.workers, old.Pool, fmt.Sprintf("%s-next", old.ID))
		if err != nil {
			return err
		}
		version++
		body := map[string]any{"stamp": version, "put": []any{replacement}, "remove": []string{old.ID}}
		if err := retry(run.clock, run.clock.Now()+10*time.Second, func() error {
			return CallJSON("PATCH", run.fleet.Gateways[index%len(run.fleet.Gateways)].PublicAddr, "/v1/platform/workers", body, nil)
		}); err != nil {
			return err
		}
		run.tally.RecordWorkerLeaving(old.ID, run.clock.Now())
		run.clock.Sleep(3500 * time.Millisecond)
		_ = run.workers.servers[old.ID].Close()
	}
	return nil
}

// freeze stops a process with SIGSTOP for a time, and waits until it is ready again.
func (run *chaosRun) freeze(process *Process, duration time.Duration) error {
	process.Signal(syscall.SIGSTOP)
	run.clock.Sleep(duration)
	process.Signal(syscall.SIGCONT)
	return WaitUntilReady([]*Process{process}, 20*time.Second)
}

// restart ends a process with a signal and starts it again. SIGTERM must give exit
// code 0.
func (run *chaosRun) restart(process *Process, signal syscall.Signal) error {
	process.Signal(signal)
	exitCode, exited := process.Wait(30 * time.Second)
	if !exited || (signal == syscall.SIGTERM && exitCode != 0) {
		return errors.Errorf("%s: exited: %v, exit code %d", process.Name, exited, exitCode)
	}
	run.clock.Sleep(time.Second)
	if err := run.fleet.Start(process); err != nil {
		return err
	}
	return WaitUntilReady([]*Process{process}, 20*time.Second)
}

// callAnyCore calls randomly chosen cores until a call succeeds, for at most 30 s.
func (run *chaosRun) callAnyCore(call func(process *Process) error) error {
	return retry(run.clock, run.clock.Now()+30*time.Second, func() error {
		return call(run.fleet.Cores[rand.IntN(len(run.fleet.Cores))])
	})
}

// waitUntilSettled waits until no disk change is pending and all shards are settled.
func (run *chaosRun) waitUntilSettled() error {
	return run.callAnyCore(func(process *Process) error {
		var storage operate.StorageView
		if err := CallJSON("GET", process.PublicAddr, "/v1/operator/storage", nil, &storage); err != nil {
			return err
		}
		if storage.ChangePending || storage.SettledShards != storage.TotalShards {
			return errors.Errorf("%d of %d shards settled", storage.SettledShards, storage.TotalShards)
		}
		return nil
	})
}

// replaceDisk kills the last storage machine and deletes its data, starts a new
// machine, and has the operator retire the lost disk and admit the new one.
func (run *chaosRun) replaceDisk() error {
	f := run.fleet
	lost := f.Storage[len(f.Storage)-1]
	var storage operate.StorageView
	if err := run.callAnyCore(func(process *Process) error {
		return CallJSON("GET", process.PublicAddr, "/v1/operator/storage", nil, &storage)
	}); err != nil {
		return err
	}
	diskID := ""
	for _, disk := range storage.Disks {
		if disk.Addr == lost.Addr {
			diskID = disk.ID
		}
	}
	lost.Kill()
	if err := os.RemoveAll(lost.DataDir); err != nil {
		return err
	}
	index := len(f.Storage)
	if err := f.addProcess(&f.Storage, "storage", index); err != nil {
		return err
	}
	replacement := f.Storage[index]
	f.Storage = append(f.Storage[:index-1], replacement)
	if err := f.Start(replacement); err != nil {
		return err
	}
	submit := func(operation string, body map[string]string) error {
		if err := run.callAnyCore(func(process *Process) error {
			return CallJSON("POST", process.PublicAddr, "/v1/operator/storage/"+operation, body, nil)
		}); err != nil {
			return err
		}
		return run.waitUntilSettled()
	}
	if err := submit("retire", map[string]string{"disk": diskID}); err != nil {
		return err
	}
	return submit("admit", map[string]string{"address": replacement.Addr})
}

// applyConcurrently has two operators apply settings concurrently, six times each,
// while a core is killed and restarted.
func (run *chaosRun) applyConcurrently() error {
	var group sync.WaitGroup
	for operator := range 2 {
		group.Add(1)
		go func() {
			defer group.Done()
			version := uint64(1)
			for round := range 6 {
				version = run.applySettings(fmt.Sprintf("op%d-%d", operator, round), version)
				run.clock.Sleep(time.Duration(200+rand.IntN(400)) * time.Millisecond)
			}
		}()
	}
	run.clock.Sleep(500 * time.Millisecond)
	err := run.restart(run.fleet.Cores[0], syscall.SIGKILL)
	group.Wait()
	if err != nil {
		return err
	}
	return run.recordCurrentSettings()
}

// recordCurrentSettings reads the settings in force from a core and records them in
// the tally. The name of the model shows which change they are from.
func (run *chaosRun) recordCurrentSettings() error {
	var current settings.Record
	if err := run.callAnyCore(func(process *Process) error {
		return CallJSON("GET", process.PublicAddr, "/v1/operator/settings", nil, &current)
	}); err != nil {
		return err
	}
	_, rest, _ := strings.Cut(string(current.Document), `"model": "`)
	model, _, _ := strings.Cut(rest, `"`)
	if model == "stand-in" {
		model = ""
	}
	run.tally.RecordStoredSettings(current.Version, model)
	return nil
}

// applySettings submits a change and asks for its outcome until that is known. It
// returns the newest settings version that it has seen.
func (run *chaosRun) applySettings(changeID string, version uint64) uint64 {
	document := strings.Replace(run.fleet.Shape.Settings(), `"model": "stand-in"`, `"model": "`+changeID+`"`, 1)
	body := map[string]any{"change": changeID, "based_on": version, "document": json.RawMessage(document)}
	path := "/v1/operator/settings/apply"
	var reply struct {
		Outcome string            `json:"outcome"`
		Stamp   uint64            `json:"stamp"`
		Error   base.RequestError `json:"error"`
	}
	for attempt := 0; attempt < 100; attempt++ {
		status, responseBody, err := SendRequest("POST", run.fleet.Cores[rand.IntN(len(run.fleet.Cores))].PublicAddr, path, body)
		_ = json.Unmarshal(responseBody, &reply)
		switch {
		case err == nil && status == 200 && reply.Outcome == "taken":
			run.tally.RecordChangeAccepted(changeID, version, reply.Stamp, run.clock.Now())
			return reply.Stamp
		case err == nil && (status == 200 || status == 409):
			run.tally.RecordChangeRefused(changeID)
			return max(version, reply.Stamp, reply.Error.CurrentVersion)
		}
		run.tally.Count("settings_unknown")
		path, body = "/v1/operator/settings/outcome", map[string]any{"change": changeID}
		run.clock.Sleep(200 * time.Millisecond)
	}
	run.tally.Breach("change %s has no outcome", changeID)
	return version
}

// watchGatewaySettings polls all gateways for the settings version that they use, and
// records it in the tally.
func (run *chaosRun) watchGatewaySettings() {
	for !run.done.Load() {
		for _, process := range run.fleet.Gateways {
			requestedAt := run.clock.Now()
			var current struct {
				Stamp uint64 `json:"stamp"`
			}
			if CallJSON("GET", process.PublicAddr, "/v1/platform/settings", nil, &current) != nil {
				continue
			}
			run.tally.RecordServedSettings(process.Name, current.Stamp, "", requestedAt)
		}
		run.clock.Sleep(50 * time.Millisecond)
	}
}

// measureFullOutage kills all processes, restarts all but one storage machine, and
// measures the time until all gateways are ready. It starts the missing machine at
// the end.
func (run *chaosRun) measureFullOutage() error {
	absent := run.fleet.Storage[rand.IntN(len(run.fleet.Storage))]
	start := run.clock.Now()
	if err := run.killAndRestartAll(absent, 60*time.Second); err != nil {
		return err
	}
	outage := run.clock.Now() - start
	_, _ = fmt.Fprintf(run.out, "         all gateways are ready %.2fs after all machines were killed\n", outage.Seconds())
	run.tally.RecordRecovery(outage)
	if err := run.recordCurrentSettings(); err != nil {
		return err
	}
	return run.fleet.Start(absent)
}

// killAndRestartAll kills all processes and starts them again in random order, except
// for absent.
func (run *chaosRun) killAndRestartAll(absent *Process, timeout time.Duration) error {
	processes := run.fleet.All()
	for _, process := range processes {
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		process.Wait(10 * time.Second)
	}
	for _, index := range rand.Perm(len(processes)) {
		if processes[index] != absent {
			if err := run.fleet.Start(processes[index]); err != nil {
				return err
			}
		}
	}
	return WaitUntilReady(run.fleet.Gateways, timeout)
}
