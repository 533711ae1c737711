// The fleet's other hands in a run: operators who change the settings at
// once and resolve what they were not told, the platform that takes workers
// off its list and puts them back, and those who replace disks. What they
// are told goes into the ledger, and so does what gateways show meanwhile.

package simulate

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/operate"
	"fordseam/internal/settings"
)

const defaultModelField = `"model":"stand-in"`

// settingsWithMarker is the fleet's settings document with a change's mark in it.
func (f *Fleet) settingsWithMarker(change string) json.RawMessage {
	return json.RawMessage(strings.Replace(f.Shape.Settings, defaultModelField, `"model":"`+change+`"`, 1))
}

// settingsMarker finds the mark in a document; a document without one gives "".
func settingsMarker(document []byte) string {
	_, rest, _ := strings.Cut(string(document), `"model":"`)
	mark, _, _ := strings.Cut(rest, `"`)
	if mark == "stand-in" {
		return ""
	}
	return mark
}

// RunOperator applies changes one after another, each based on the stamp it
// lastTurn saw, while it is wanted.
func (f *Fleet) RunOperator(name string, going func() bool) {
	clock := f.CallerHost.Clock()
	stamp := uint64(1)
	for round := 0; going(); round++ {
		change := fmt.Sprintf("%s-%d", name, round)
		if round%6 == 5 {
			f.applyInvalidSettings(change, stamp)
		} else {
			stamp = max(stamp, f.applyAndResolve(change, stamp))
		}
		clock.Sleep(f.World.Between(100*time.Millisecond, 1200*time.Millisecond))
	}
}

// applyAndResolve takes one change to its known end and gives the stamp that stands.
func (f *Fleet) applyAndResolve(change string, stamp uint64) uint64 {
	status, answer := f.applySettings(change, stamp, f.settingsWithMarker(change))
	return f.resolveOutcome(change, stamp, status, answer)
}

func (f *Fleet) applySettings(change string, stamp uint64, document json.RawMessage) (status int, answer []byte) {
	return f.OperatorRequest(f.pickMachine(f.Cores), "POST", "/v1/operator/settings/apply", map[string]any{"change": change, "based_on": stamp, "document": document})
}

// applyInvalidSettings asks for a change that must never be taken.
func (f *Fleet) applyInvalidSettings(change string, stamp uint64) {
	document := strings.Replace(string(f.settingsWithMarker(change)), `"pools"`, `"queue_size":0,"pools"`, 1)
	status, answer := f.applySettings(change, stamp, json.RawMessage(document))
	if status == 200 {
		f.Tally.Breach("invalid change %s was acknowledged: %s", change, answer)
	}
	f.Tally.ChangeRefused(change)
}

// resolveOutcome asks by the change's id until its outcome is known.
func (f *Fleet) resolveOutcome(change string, basedOn uint64, status int, answer []byte) uint64 {
	for tries := 0; tries < 400; tries++ {
		var told struct {
			Outcome string            `json:"outcome"`
			Stamp   uint64            `json:"stamp"`
			Error   base.RequestError `json:"error"`
		}
		_ = json.Unmarshal(answer, &told)
		switch {
		case status == 200 && told.Outcome == "taken":
			f.Tally.Taken(change, basedOn, told.Stamp, f.World.Now())
			return told.Stamp
		case status == 200 || status == 409:
			f.Tally.ChangeRefused(change)
			return max(told.Stamp, told.Error.CurrentVersion)
		}
		f.Tally.Count("settings_unknown")
		f.CallerHost.Clock().Sleep(300 * time.Millisecond)
		status, answer = f.OperatorRequest(f.pickMachine(f.Cores), "POST", "/v1/operator/settings/outcome", map[string]string{"change": change})
	}
	return 0
}

// WatchGateways looks at every gateway that serves, for as long as the world runs.
func (f *Fleet) WatchGateways() {
	for {
		for _, m := range f.Gateways {
			if m.Serving() {
				var record settings.Record
				_ = json.Unmarshal(m.gateway.Follower.Snapshot().Values[settings.Key], &record)
				f.Tally.Showed(m.Host.Name, record.Version, settingsMarker(record.Document), f.World.Now())
			}
		}
		f.CallerHost.Clock().Sleep(40 * time.Millisecond)
	}
}

// CheckStoredSettings looks at what the control state holds, once some core says so.
func (f *Fleet) CheckStoredSettings() {
	for tries := 0; tries < 100; tries++ {
		status, answer := f.OperatorRequest(f.Cores[tries%len(f.Cores)], "GET", "/v1/operator/settings", nil)
		var record settings.Record
		if status == 200 && json.Unmarshal(answer, &record) == nil {
			f.Tally.Stands(record.Version, settingsMarker(record.Document))
			return
		}
		f.CallerHost.Clock().Sleep(100 * time.Millisecond)
	}
}

// reportedState is what a worker says of itself in its reports.
type reportedState struct {
	incarnation string
	leaving     bool
}

// RunPlatform takes workers away one by one, off the list or by their own
// report, and brings each back later, while it is wanted.
func (f *Fleet) RunPlatform(going func() bool) {
	clock := f.CallerHost.Clock()
	away := map[string]bool{}
	for round := 0; going(); round++ {
		clock.Sleep(f.World.Between(time.Second, 3*time.Second))
		one := f.WorkerList.Workers[f.World.Int64N(int64(len(f.WorkerList.Workers)))]
		others := base.Filter(f.WorkerList.Workers, func(other listedWorker) bool { return other.Pool == one.Pool && other.ID != one.ID && !away[other.ID] })
		if away[one.ID] || len(others) == 0 {
			continue
		}
		away[one.ID] = true
		if f.World.Chance(0.5) {
			f.patchWorkerList(map[string]any{"remove": []string{one.ID}})
			f.Tally.Leaves(one.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.Returns(one.ID)
			f.patchWorkerList(map[string]any{"put": []any{one}})
		} else {
			f.reportedStates[one.ID] = reportedState{f.reportedStates[one.ID].incarnation, true}
			f.reportUsage(one.ID)
			f.Tally.Leaves(one.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.Returns(one.ID)
			f.reportedStates[one.ID] = reportedState{fmt.Sprint("life-", round), false}
			f.reportUsage(one.ID)
		}
		delete(away, one.ID)
	}
}

// patchWorkerList changes the list until it is known to have been taken.
func (f *Fleet) patchWorkerList(body map[string]any) {
	f.WorkerList.Stamp++
	body["stamp"] = f.WorkerList.Stamp
	f.sendUntilAccepted("PATCH", "/v1/platform/workers", func() any { return body }, f.WorkerList.Stamp)
}

// reportUsage makes one report of a worker until a gateway has taken it.
func (f *Fleet) reportUsage(id string) {
	f.sendUntilAccepted("POST", "/v1/platform/workers/"+id+"/usage", func() any { return f.usageReport(id) }, 0)
}

func (f *Fleet) usageReport(id string) map[string]any {
	load := 0
	if model := f.modelsByID[id]; model != nil {
		load = model.Busy()
	}
	f.reportCount++
	return map[string]any{"number": f.World.Now().Milliseconds() + f.reportCount, "load": load, "incarnation": f.reportedStates[id].incarnation, "leaving": f.reportedStates[id].leaving}
}

func (f *Fleet) sendUntilAccepted(method, path string, body func() any, stamp uint64) {
	ask := f.Asker(f.CallerHost)
	for tries := int(f.World.Int64N(int64(len(f.Gateways)))); ; tries++ {
		answer, err := ask(tries, method, path, nil, base.MustMarshal(body()))
		if err == nil {
			var told struct {
				Error base.RequestError `json:"error"`
			}
			_ = json.Unmarshal(answer.Body, &told)
			if answer.Status == 200 || stamp > 0 && told.Error.CurrentVersion >= stamp {
				return
			}
		}
		f.CallerHost.Clock().Sleep(200 * time.Millisecond)
	}
}

// StorageStatus lists the disks as an operator sees them.
func (f *Fleet) StorageStatus() operate.StorageView {
	for {
		for _, m := range f.Cores {
			status, answer := f.OperatorRequest(m, "GET", "/v1/operator/storage", nil)
			var shown operate.StorageView
			if status == 200 && json.Unmarshal(answer, &shown) == nil {
				return shown
			}
		}
		f.CallerHost.Clock().Sleep(200 * time.Millisecond)
	}
}

// FindDisk is the disk of a machine.
func (f *Fleet) FindDisk(host string) operate.DiskView {
	for _, one := range f.StorageStatus().Disks {
		if one.Addr == host+":1" {
			return one
		}
	}
	return operate.DiskView{}
}

// RequestDiskChange asks for a change of the disks until it is under way or refused.
func (f *Fleet) RequestDiskChange(what, field, named string) (status int, code string) {
	for tries := 0; ; tries++ {
		core := f.Cores[tries%len(f.Cores)]
		status, answer := f.OperatorRequest(core, "POST", "/v1/operator/storage/"+what, map[string]string{field: named})
		var told struct {
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		_ = json.Unmarshal(answer, &told)
		if status == 200 || (status >= 400 && status < 500 && told.Error.Code != "disks_moving") || tries > 300 {
			return status, told.Error.Code
		}
		f.CallerHost.Clock().Sleep(200 * time.Millisecond)
	}
}

// AwaitDiskChange waits until no change of the disks is under way.
func (f *Fleet) AwaitDiskChange(limit time.Duration) bool {
	for end := f.World.Now() + limit; f.World.Now() < end; f.CallerHost.Clock().Sleep(200 * time.Millisecond) {
		if shown := f.StorageStatus(); !shown.ChangePending && shown.SettledShards == shown.TotalShards {
			return true
		}
	}
	return false
}

// replaceDisk loses a machine with its disk for ever, and has an empty one at
// a new address take its place.
func (f *Fleet) replaceDisk() {
	lost := f.Storage[f.World.Int64N(int64(len(f.Storage)))]
	if lost.removed || !lost.Host.alive || lost.Host.frozen {
		return
	}
	id := f.FindDisk(lost.Host.Name).ID
	if id == "" {
		return
	}
	f.PowerLoss(lost)
	lost.removed = true
	lost.Disk.Wipe()
	fresh := f.AddMachine("storage")
	if f.Shape.Tolerate > 0 {
		if f.waitUntil(time.Minute, f.diskSetComplete) < time.Minute {
			f.Tally.Count("disks_replaced")
		}
		return
	}
	f.CallerHost.Clock().Sleep(time.Second)
	if status, _ := f.RequestDiskChange("admit", "address", fresh.Host.Name+":1"); status == 200 && f.AwaitDiskChange(time.Minute) {
		f.Tally.Count("disks_admitted")
	}
	if status, _ := f.RequestDiskChange("retire", "disk", id); status == 200 && f.AwaitDiskChange(time.Minute) {
		f.Tally.Count("disks_retired")
	}
}
