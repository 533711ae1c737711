// A chaos scenario: under callers' load, workers are replaced, machines are frozen,
// killed and told to stop, a disk is lost and replaced, operators collide, and
// at last everything falls at once. What callers and workers saw is checked
// from the outside, and so are the settings that gateways show.

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

type chaosRun struct {
	fleet   *Fleet
	workers *Workers
	tally   *standin.Tally
	out     io.Writer
	clock   base.Clock
	done    atomic.Bool
}

func newChaosRun(f *Fleet, parties *Workers, tally *standin.Tally, out io.Writer) *chaosRun {
	for _, model := range parties.Models {
		model.OnRun = tally.RecordWorkStarted
	}
	return &chaosRun{fleet: f, workers: parties, tally: tally, out: out, clock: parties.Clock}
}

// RunChaos runs the whole script and waits for the callers' last words.
func (f *Fleet) RunChaos(parties *Workers, tally *standin.Tally, callers, pieces int, out io.Writer) error {
	d := newChaosRun(f, parties, tally, out)
	var group sync.WaitGroup
	group.Add(2)
	go func() {
		defer group.Done()
		f.RunCallers(tally, callers, pieces, 300*time.Millisecond, func(int) bool { return !d.done.Load() })
	}()
	go func() {
		defer group.Done()
		d.watchGatewaySettings()
	}()
	steps := []struct {
		name string
		do   func() error
	}{
		{"workers are replaced one by one", d.replaceWorkers},
		{"a gateway is frozen and woken", func() error { return d.freeze(f.Gateways[0], 4*time.Second) }},
		{"a core is frozen and woken", func() error { return d.freeze(f.Cores[1], 4*time.Second) }},
		{"a gateway is told to stop and comes back", func() error { return d.restart(f.Gateways[1], syscall.SIGTERM) }},
		{"a core is told to stop and comes back", func() error { return d.restart(f.Cores[0], syscall.SIGTERM) }},
		{"a gateway is killed", func() error { return d.restart(f.Gateways[2], syscall.SIGKILL) }},
		{"a core is killed", func() error { return d.restart(f.Cores[1], syscall.SIGKILL) }},
		{"a storage machine is killed", func() error { return d.restart(f.Storage[1], syscall.SIGKILL) }},
		{"a disk is lost and its machine replaced", d.replaceDisk},
		{"two operators collide while a core is killed", d.applyConcurrently},
		{"everything falls at once, one disk stays away", d.measureFullOutage},
	}
	var failed error
	for _, step := range steps {
		began := d.clock.Now()
		if failed = step.do(); failed != nil {
			failed = errors.Annotate(failed, step.name)
			break
		}
		_, _ = fmt.Fprintf(out, "%6.1fs  %s (%.1fs)\n", d.clock.Now().Seconds(), step.name, (d.clock.Now() - began).Seconds())
		d.clock.Sleep(time.Second)
	}
	d.done.Store(true)
	group.Wait()
	return failed
}

func (d *chaosRun) replaceWorkers() error {
	stamp := d.workers.List.Stamp
	for place := range 3 {
		old := d.workers.List.Workers[place]
		fresh, err := d.fleet.startWorker(d.workers, old.Pool, fmt.Sprintf("%s-next", old.ID))
		if err != nil {
			return err
		}
		stamp++
		body := map[string]any{"stamp": stamp, "put": []any{fresh}, "remove": []string{old.ID}}
		if err := retry(d.clock, d.clock.Now()+10*time.Second, func() error {
			return CallJSON("PATCH", d.fleet.Gateways[place%len(d.fleet.Gateways)].PublicAddr, "/v1/platform/workers", body, nil)
		}); err != nil {
			return err
		}
		d.tally.RecordWorkerLeaving(old.ID, d.clock.Now())
		d.clock.Sleep(3500 * time.Millisecond)
		_ = d.workers.servers[old.ID].Close()
	}
	return nil
}

func (d *chaosRun) freeze(p *Process, span time.Duration) error {
	p.Signal(syscall.SIGSTOP)
	d.clock.Sleep(span)
	p.Signal(syscall.SIGCONT)
	return AwaitReady([]*Process{p}, 20*time.Second)
}

func (d *chaosRun) restart(p *Process, how syscall.Signal) error {
	p.Signal(how)
	code, ended := p.Wait(30 * time.Second)
	if !ended || (how == syscall.SIGTERM && code != 0) {
		return errors.Errorf("%s: ended %v with code %d", p.Name, ended, code)
	}
	d.clock.Sleep(time.Second)
	if err := d.fleet.Start(p); err != nil {
		return err
	}
	return AwaitReady([]*Process{p}, 20*time.Second)
}

// callAnyCore gives some core that answers.
func (d *chaosRun) callAnyCore(call func(p *Process) error) error {
	return retry(d.clock, d.clock.Now()+30*time.Second, func() error {
		return call(d.fleet.Cores[rand.IntN(len(d.fleet.Cores))])
	})
}

func (d *chaosRun) waitUntilSettled() error {
	return d.callAnyCore(func(p *Process) error {
		var shown operate.StorageView
		if err := CallJSON("GET", p.PublicAddr, "/v1/operator/storage", nil, &shown); err != nil {
			return err
		}
		if shown.ChangePending || shown.SettledShards != shown.TotalShards {
			return errors.Errorf("%d of %d slots settled", shown.SettledShards, shown.TotalShards)
		}
		return nil
	})
}

func (d *chaosRun) replaceDisk() error {
	f := d.fleet
	lost := f.Storage[len(f.Storage)-1]
	var shown operate.StorageView
	if err := d.callAnyCore(func(p *Process) error { return CallJSON("GET", p.PublicAddr, "/v1/operator/storage", nil, &shown) }); err != nil {
		return err
	}
	id := ""
	for _, disk := range shown.Disks {
		if disk.Addr == lost.Addr {
			id = disk.ID
		}
	}
	lost.Kill()
	if err := os.RemoveAll(lost.DataDir); err != nil {
		return err
	}
	place := len(f.Storage)
	if err := f.addProcess(&f.Storage, "storage", place); err != nil {
		return err
	}
	fresh := f.Storage[place]
	f.Storage = append(f.Storage[:place-1], fresh)
	if err := f.Start(fresh); err != nil {
		return err
	}
	change := func(what string, body map[string]string) error {
		if err := d.callAnyCore(func(p *Process) error { return CallJSON("POST", p.PublicAddr, "/v1/operator/storage/"+what, body, nil) }); err != nil {
			return err
		}
		return d.waitUntilSettled()
	}
	if err := change("retire", map[string]string{"disk": id}); err != nil {
		return err
	}
	return change("admit", map[string]string{"address": fresh.Addr})
}

// applyConcurrently has two operators apply at once, again and again.
func (d *chaosRun) applyConcurrently() error {
	var group sync.WaitGroup
	for operator := range 2 {
		group.Add(1)
		go func() {
			defer group.Done()
			stamp := uint64(1)
			for round := range 6 {
				stamp = d.applySettings(fmt.Sprintf("op%d-%d", operator, round), stamp)
				d.clock.Sleep(time.Duration(200+rand.IntN(400)) * time.Millisecond)
			}
		}()
	}
	d.clock.Sleep(500 * time.Millisecond)
	err := d.restart(d.fleet.Cores[0], syscall.SIGKILL)
	group.Wait()
	if err != nil {
		return err
	}
	return d.recordCurrentSettings()
}

// recordCurrentSettings looks at the settings that the control state holds.
func (d *chaosRun) recordCurrentSettings() error {
	var now settings.Record
	if err := d.callAnyCore(func(p *Process) error { return CallJSON("GET", p.PublicAddr, "/v1/operator/settings", nil, &now) }); err != nil {
		return err
	}
	_, rest, _ := strings.Cut(string(now.Document), `"model": "`)
	mark, _, _ := strings.Cut(rest, `"`)
	if mark == "stand-in" {
		mark = ""
	}
	d.tally.RecordStoredSettings(now.Version, mark)
	return nil
}

// applySettings takes one change to a known end and gives the stamp that stands.
func (d *chaosRun) applySettings(change string, stamp uint64) uint64 {
	document := strings.Replace(d.fleet.Shape.Settings(), `"model": "stand-in"`, `"model": "`+change+`"`, 1)
	body := map[string]any{"change": change, "based_on": stamp, "document": json.RawMessage(document)}
	path := "/v1/operator/settings/apply"
	var told struct {
		Outcome string            `json:"outcome"`
		Stamp   uint64            `json:"stamp"`
		Error   base.RequestError `json:"error"`
	}
	for tries := 0; tries < 100; tries++ {
		status, answer, err := SendRequest("POST", d.fleet.Cores[rand.IntN(len(d.fleet.Cores))].PublicAddr, path, body)
		_ = json.Unmarshal(answer, &told)
		switch {
		case err == nil && status == 200 && told.Outcome == "taken":
			d.tally.RecordChangeAccepted(change, stamp, told.Stamp, d.clock.Now())
			return told.Stamp
		case err == nil && (status == 200 || status == 409):
			d.tally.RecordChangeRefused(change)
			return max(stamp, told.Stamp, told.Error.CurrentVersion)
		}
		d.tally.Count("settings_unknown")
		path, body = "/v1/operator/settings/outcome", map[string]any{"change": change}
		d.clock.Sleep(200 * time.Millisecond)
	}
	d.tally.Breach("change %s has no outcome", change)
	return stamp
}

// watchGatewaySettings asks every gateway for the stamp it serves by.
func (d *chaosRun) watchGatewaySettings() {
	for !d.done.Load() {
		for _, p := range d.fleet.Gateways {
			asked := d.clock.Now()
			var now struct {
				Stamp uint64 `json:"stamp"`
			}
			if CallJSON("GET", p.PublicAddr, "/v1/platform/settings", nil, &now) != nil {
				continue
			}
			d.tally.RecordServedSettings(p.Name, now.Stamp, "", asked)
		}
		d.clock.Sleep(50 * time.Millisecond)
	}
}

// measureFullOutage kills everything and brings it back, one disk missing, and times it.
func (d *chaosRun) measureFullOutage() error {
	away := d.fleet.Storage[rand.IntN(len(d.fleet.Storage))]
	began := d.clock.Now()
	if err := d.killAndRestartAll(away, 60*time.Second); err != nil {
		return err
	}
	took := d.clock.Now() - began
	_, _ = fmt.Fprintf(d.out, "         all gateways serve again %.2fs after all fell\n", took.Seconds())
	d.tally.RecordRecovery(took)
	if err := d.recordCurrentSettings(); err != nil {
		return err
	}
	return d.fleet.Start(away)
}

// fall kills everything and starts all but one again, in any order.
func (d *chaosRun) killAndRestartAll(away *Process, limit time.Duration) error {
	all := d.fleet.All()
	for _, p := range all {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range all {
		p.Wait(10 * time.Second)
	}
	for _, place := range rand.Perm(len(all)) {
		if all[place] != away {
			if err := d.fleet.Start(all[place]); err != nil {
				return err
			}
		}
	}
	return AwaitReady(d.fleet.Gateways, limit)
}
