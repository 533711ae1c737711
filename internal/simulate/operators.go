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

// defaultModelField is replaced in the settings document to mark a change.
const defaultModelField = `"model":"stand-in"`

// settingsWithMarker returns the fleet's settings document with a marker in it.
func (f *Fleet) settingsWithMarker(marker string) json.RawMessage {
	return json.RawMessage(strings.Replace(f.Shape.Settings, defaultModelField, `"model":"`+marker+`"`, 1))
}

// settingsMarker returns the marker in a document, "" without one.
func settingsMarker(document []byte) string {
	_, rest, _ := strings.Cut(string(document), `"model":"`)
	marker, _, _ := strings.Cut(rest, `"`)
	if marker == "stand-in" {
		return ""
	}
	return marker
}

// RunOperator applies one change after another, each based on the version last seen, while
// running returns true. Every sixth change is invalid. Several operators may run at once;
// the tally records every outcome.
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

// applyAndResolve applies a change, waits until its outcome is known and returns the version
// in force.
func (f *Fleet) applyAndResolve(change string, version uint64) uint64 {
	status, answer := f.applySettings(change, version, f.settingsWithMarker(change))
	return f.resolveOutcome(change, version, status, answer)
}

// applySettings sends a change of the settings to a random core.
func (f *Fleet) applySettings(change string, version uint64, document json.RawMessage) (status int, answer []byte) {
	return f.OperatorRequest(f.pickMachine(f.Cores), "POST", "/v1/operator/settings/apply", map[string]any{"change": change, "based_on": version, "document": document})
}

// applyInvalidSettings applies a change that must be refused.
func (f *Fleet) applyInvalidSettings(change string, version uint64) {
	document := strings.Replace(string(f.settingsWithMarker(change)), `"pools"`, `"queue_size":0,"pools"`, 1)
	status, answer := f.applySettings(change, version, json.RawMessage(document))
	if status == 200 {
		f.Tally.Breach("invalid change %s was acknowledged: %s", change, answer)
	}
	f.Tally.RecordChangeRefused(change)
}

// resolveOutcome asks for the outcome of a change until it is known.
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
			f.Tally.RecordChangeAccepted(change, basedOn, reply.Stamp, f.World.Now())
			return reply.Stamp
		case status == 200 || status == 409:
			f.Tally.RecordChangeRefused(change)
			return max(reply.Stamp, reply.Error.CurrentVersion)
		}
		f.Tally.Count("settings_unknown")
		f.CallerHost.Clock().Sleep(300 * time.Millisecond)
		status, answer = f.OperatorRequest(f.pickMachine(f.Cores), "POST", "/v1/operator/settings/outcome", map[string]string{"change": change})
	}
	return 0
}

// WatchGateways records which settings each serving gateway shows, for as long as the world
// runs.
func (f *Fleet) WatchGateways() {
	for {
		for _, m := range f.Gateways {
			if m.Serving() {
				var record settings.Record
				_ = json.Unmarshal(m.gateway.Follower.Snapshot().Values[settings.Key], &record)
				f.Tally.RecordServedSettings(m.Host.Name, record.Version, settingsMarker(record.Document), f.World.Now())
			}
		}
		f.CallerHost.Clock().Sleep(40 * time.Millisecond)
	}
}

// CheckStoredSettings gives the tally the settings that a core reads from the register.
func (f *Fleet) CheckStoredSettings() {
	for attempt := 0; attempt < 100; attempt++ {
		status, answer := f.OperatorRequest(f.Cores[attempt%len(f.Cores)], "GET", "/v1/operator/settings", nil)
		var record settings.Record
		if status == 200 && json.Unmarshal(answer, &record) == nil {
			f.Tally.RecordStoredSettings(record.Version, settingsMarker(record.Document))
			return
		}
		f.CallerHost.Clock().Sleep(100 * time.Millisecond)
	}
}

// reportedState is what a worker reports about itself.
type reportedState struct {
	incarnation string
	leaving     bool
}

// RunPlatform removes workers one at a time, from the worker list or by a report that they
// are leaving, and brings each back a few seconds later, while running returns true.
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
			f.Tally.RecordWorkerLeaving(listed.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.RecordWorkerReturned(listed.ID)
			f.patchWorkerList(map[string]any{"put": []any{listed}})
		} else {
			f.reportedStates[listed.ID] = reportedState{f.reportedStates[listed.ID].incarnation, true}
			f.reportUsage(listed.ID)
			f.Tally.RecordWorkerLeaving(listed.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.RecordWorkerReturned(listed.ID)
			f.reportedStates[listed.ID] = reportedState{fmt.Sprint("life-", round), false}
			f.reportUsage(listed.ID)
		}
		delete(away, listed.ID)
	}
}

// patchWorkerList repeats a patch of the worker list until it is known to be accepted.
func (f *Fleet) patchWorkerList(body map[string]any) {
	f.WorkerList.Stamp++
	body["stamp"] = f.WorkerList.Stamp
	f.sendUntilAccepted("PATCH", "/v1/platform/workers", func() any { return body }, f.WorkerList.Stamp)
}

// reportUsage repeats a worker's usage report until a gateway has accepted it.
func (f *Fleet) reportUsage(id string) {
	f.sendUntilAccepted("POST", "/v1/platform/workers/"+id+"/usage", func() any { return f.usageReport(id) }, 0)
}

// usageReport returns a worker's next usage report.
func (f *Fleet) usageReport(id string) map[string]any {
	load := 0
	if model := f.modelsByID[id]; model != nil {
		load = model.ActiveAnswers()
	}
	f.reportCount++
	return map[string]any{"number": f.World.Now().Milliseconds() + f.reportCount, "load": load, "incarnation": f.reportedStates[id].incarnation, "leaving": f.reportedStates[id].leaving}
}

// sendUntilAccepted repeats a request to random gateways until it succeeds, or until a
// refusal shows that the worker list already has the version.
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

// StorageStatus returns the state of the disks as the operator API shows it.
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

// FindDisk returns the disk at a host, an empty view if there is none.
func (f *Fleet) FindDisk(host string) operate.DiskView {
	for _, disk := range f.StorageStatus().Disks {
		if disk.Addr == host+":1" {
			return disk
		}
	}
	return operate.DiskView{}
}

// RequestDiskChange repeats a request to change the disk set until it is accepted or
// refused, and returns status and error code.
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

// AwaitDiskChange waits until no change of the disk set is pending and reports whether that
// was within the limit.
func (f *Fleet) AwaitDiskChange(limit time.Duration) bool {
	for end := f.World.Now() + limit; f.World.Now() < end; f.CallerHost.Clock().Sleep(200 * time.Millisecond) {
		if view := f.StorageStatus(); !view.ChangePending && view.SettledShards == view.TotalShards {
			return true
		}
	}
	return false
}

// replaceDisk removes a random storage machine with its disk for good and adds one with an
// empty disk at a new address.
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
