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
func (f *Fleet) settingsWithMarker(marker string) json.RawMessage {
	return json.RawMessage(strings.Replace(f.Shape.Settings, defaultModelField, `"model":"`+marker+`"`, 1))
}

// settingsMarker finds the mark in a document; a document without one gives "".
func settingsMarker(document []byte) string {
	_, rest, _ := strings.Cut(string(document), `"model":"`)
	marker, _, _ := strings.Cut(rest, `"`)
	if marker == "stand-in" {
		return ""
	}
	return marker
}

// RunOperator applies changes one after another, each based on the stamp it
// lastTurn saw, while it is wanted.
func (f *Fleet) RunOperator(name string, running func() bool) {
	clock := f.CallerHost.Clock()
	version := uint64(1)
	for round := 0; running(); round++ {
		change := fmt.Sprintf("%s-%d", name, round)
		if round%6 == 5 {
			f.applyInvalidSettings(change, version)
		} else {
			version = max(version, f.applyAndResolve(change, version))
		}
		clock.Sleep(f.World.Between(100*time.Millisecond, 1200*time.Millisecond))
	}
}

// applyAndResolve takes one change to its known end and gives the stamp that stands.
func (f *Fleet) applyAndResolve(change string, version uint64) uint64 {
	status, answer := f.applySettings(change, version, f.settingsWithMarker(change))
	return f.resolveOutcome(change, version, status, answer)
}

func (f *Fleet) applySettings(change string, version uint64, document json.RawMessage) (status int, answer []byte) {
	return f.OperatorRequest(f.pickMachine(f.Cores), "POST", "/v1/operator/settings/apply", map[string]any{"change": change, "based_on": version, "document": document})
}

// applyInvalidSettings asks for a change that must never be taken.
func (f *Fleet) applyInvalidSettings(change string, version uint64) {
	document := strings.Replace(string(f.settingsWithMarker(change)), `"pools"`, `"queue_size":0,"pools"`, 1)
	status, answer := f.applySettings(change, version, json.RawMessage(document))
	if status == 200 {
		f.Tally.Breach("invalid change %s was acknowledged: %s", change, answer)
	}
	f.Tally.ChangeRefused(change)
}

// resolveOutcome asks by the change's id until its outcome is known.
func (f *Fleet) resolveOutcome(change string, basedOn uint64, status int, answer []byte) uint64 {
	for attempt := 0; attempt < 400; attempt++ {
		var reply struct {
			Outcome string            `json:"outcome"`
			Stamp   uint64            `json:"stamp"`
			Error   base.RequestError `json:"error"`
		}
		_ = json.Unmarshal(answer, &reply)
		switch {
		case status == 200 && reply.Outcome == "taken":
			f.Tally.Taken(change, basedOn, reply.Stamp, f.World.Now())
			return reply.Stamp
		case status == 200 || status == 409:
			f.Tally.ChangeRefused(change)
			return max(reply.Stamp, reply.Error.CurrentVersion)
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
	for attempt := 0; attempt < 100; attempt++ {
		status, answer := f.OperatorRequest(f.Cores[attempt%len(f.Cores)], "GET", "/v1/operator/settings", nil)
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
func (f *Fleet) RunPlatform(running func() bool) {
	clock := f.CallerHost.Clock()
	away := map[string]bool{}
	for round := 0; running(); round++ {
		clock.Sleep(f.World.Between(time.Second, 3*time.Second))
		listed := f.WorkerList.Workers[f.World.Int64N(int64(len(f.WorkerList.Workers)))]
		others := base.Filter(f.WorkerList.Workers, func(other listedWorker) bool {
			return other.Pool == listed.Pool && other.ID != listed.ID && !away[other.ID]
		})
		if away[listed.ID] || len(others) == 0 {
			continue
		}
		away[listed.ID] = true
		if f.World.Chance(0.5) {
			f.patchWorkerList(map[string]any{"remove": []string{listed.ID}})
			f.Tally.Leaves(listed.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.Returns(listed.ID)
			f.patchWorkerList(map[string]any{"put": []any{listed}})
		} else {
			f.reportedStates[listed.ID] = reportedState{f.reportedStates[listed.ID].incarnation, true}
			f.reportUsage(listed.ID)
			f.Tally.Leaves(listed.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.Returns(listed.ID)
			f.reportedStates[listed.ID] = reportedState{fmt.Sprint("life-", round), false}
			f.reportUsage(listed.ID)
		}
		delete(away, listed.ID)
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

func (f *Fleet) sendUntilAccepted(method, path string, body func() any, version uint64) {
	ask := f.RequestSender(f.CallerHost)
	for attempt := int(f.World.Int64N(int64(len(f.Gateways)))); ; attempt++ {
		answer, err := ask(attempt, method, path, nil, base.MustMarshal(body()))
		if err == nil {
			var reply struct {
				Error base.RequestError `json:"error"`
			}
			_ = json.Unmarshal(answer.Body, &reply)
			if answer.Status == 200 || version > 0 && reply.Error.CurrentVersion >= version {
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
			var view operate.StorageView
			if status == 200 && json.Unmarshal(answer, &view) == nil {
				return view
			}
		}
		f.CallerHost.Clock().Sleep(200 * time.Millisecond)
	}
}

// FindDisk is the disk of a machine.
func (f *Fleet) FindDisk(host string) operate.DiskView {
	for _, disk := range f.StorageStatus().Disks {
		if disk.Addr == host+":1" {
			return disk
		}
	}
	return operate.DiskView{}
}

// RequestDiskChange asks for a change of the disks until it is under way or refused.
func (f *Fleet) RequestDiskChange(action, field, value string) (status int, code string) {
	for attempt := 0; ; attempt++ {
		core := f.Cores[attempt%len(f.Cores)]
		status, answer := f.OperatorRequest(core, "POST", "/v1/operator/storage/"+action, map[string]string{field: value})
		var reply struct {
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		_ = json.Unmarshal(answer, &reply)
		if status == 200 || (status >= 400 && status < 500 && reply.Error.Code != "disks_moving") || attempt > 300 {
			return status, reply.Error.Code
		}
		f.CallerHost.Clock().Sleep(200 * time.Millisecond)
	}
}

// AwaitDiskChange waits until no change of the disks is under way.
func (f *Fleet) AwaitDiskChange(limit time.Duration) bool {
	for end := f.World.Now() + limit; f.World.Now() < end; f.CallerHost.Clock().Sleep(200 * time.Millisecond) {
		if view := f.StorageStatus(); !view.ChangePending && view.SettledShards == view.TotalShards {
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
	replacement := f.AddMachine("storage")
	if f.Shape.FaultTolerance > 0 {
		if f.waitUntil(time.Minute, f.diskSetComplete) < time.Minute {
			f.Tally.Count("disks_replaced")
		}
		return
	}
	f.CallerHost.Clock().Sleep(time.Second)
	if status, _ := f.RequestDiskChange("admit", "address", replacement.Host.Name+":1"); status == 200 && f.AwaitDiskChange(time.Minute) {
		f.Tally.Count("disks_admitted")
	}
	if status, _ := f.RequestDiskChange("retire", "disk", id); status == 200 && f.AwaitDiskChange(time.Minute) {
		f.Tally.Count("disks_retired")
	}
}
