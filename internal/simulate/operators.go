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

const plainModel = `"model":"stand-in"`

// marked is the fleet's settings document with a change's mark in it.
func (f *Fleet) marked(change string) json.RawMessage {
	return json.RawMessage(strings.Replace(f.Shape.Settings, plainModel, `"model":"`+change+`"`, 1))
}

// markOf finds the mark in a document; a document without one gives "".
func markOf(document []byte) string {
	_, rest, _ := strings.Cut(string(document), `"model":"`)
	mark, _, _ := strings.Cut(rest, `"`)
	if mark == "stand-in" {
		return ""
	}
	return mark
}

// RunOperator applies changes one after another, each based on the stamp it
// last saw, while it is wanted.
func (f *Fleet) RunOperator(name string, going func() bool) {
	clock := f.CallerHost.Clock()
	stamp := uint64(1)
	for round := 0; going(); round++ {
		change := fmt.Sprintf("%s-%d", name, round)
		if round%6 == 5 {
			f.invalid(change, stamp)
		} else {
			stamp = max(stamp, f.change(change, stamp))
		}
		clock.Sleep(f.World.Between(100*time.Millisecond, 1200*time.Millisecond))
	}
}

// change takes one change to its known end and gives the stamp that stands.
func (f *Fleet) change(change string, stamp uint64) uint64 {
	status, answer := f.apply(change, stamp, f.marked(change))
	return f.resolve(change, stamp, status, answer)
}

func (f *Fleet) apply(change string, stamp uint64, document json.RawMessage) (status int, answer []byte) {
	return f.OperatorRequest(f.pick(f.Cores), "POST", "/v1/operator/settings/apply", map[string]any{"change": change, "based_on": stamp, "document": document})
}

// invalid asks for a change that must never be taken.
func (f *Fleet) invalid(change string, stamp uint64) {
	document := strings.Replace(string(f.marked(change)), `"pools"`, `"queue_size":0,"pools"`, 1)
	status, answer := f.apply(change, stamp, json.RawMessage(document))
	if status == 200 {
		f.Tally.Breach("invalid change %s was acknowledged: %s", change, answer)
	}
	f.Tally.ChangeRefused(change)
}

// resolve asks by the change's id until its outcome is known.
func (f *Fleet) resolve(change string, basedOn uint64, status int, answer []byte) uint64 {
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
		status, answer = f.OperatorRequest(f.pick(f.Cores), "POST", "/v1/operator/settings/outcome", map[string]string{"change": change})
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
				f.Tally.Showed(m.Host.Name, record.Version, markOf(record.Document), f.World.Now())
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
			f.Tally.Stands(record.Version, markOf(record.Document))
			return
		}
		f.CallerHost.Clock().Sleep(100 * time.Millisecond)
	}
}

// life is what a worker says of itself in its reports.
type life struct {
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
		others := base.Filter(f.WorkerList.Workers, func(other workerOf) bool { return other.Pool == one.Pool && other.ID != one.ID && !away[other.ID] })
		if away[one.ID] || len(others) == 0 {
			continue
		}
		away[one.ID] = true
		if f.World.Chance(0.5) {
			f.patch(map[string]any{"remove": []string{one.ID}})
			f.Tally.Leaves(one.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.Returns(one.ID)
			f.patch(map[string]any{"put": []any{one}})
		} else {
			f.lives[one.ID] = life{f.lives[one.ID].incarnation, true}
			f.tellUsage(one.ID)
			f.Tally.Leaves(one.ID, f.World.Now())
			clock.Sleep(f.World.Between(4*time.Second, 6*time.Second))
			f.Tally.Returns(one.ID)
			f.lives[one.ID] = life{fmt.Sprint("life-", round), false}
			f.tellUsage(one.ID)
		}
		delete(away, one.ID)
	}
}

// patch changes the list until it is known to have been taken.
func (f *Fleet) patch(body map[string]any) {
	f.WorkerList.Stamp++
	body["stamp"] = f.WorkerList.Stamp
	f.untilTold("PATCH", "/v1/platform/workers", func() any { return body }, f.WorkerList.Stamp)
}

// tellUsage makes one report of a worker until a gateway has taken it.
func (f *Fleet) tellUsage(id string) {
	f.untilTold("POST", "/v1/platform/workers/"+id+"/usage", func() any { return f.usage(id) }, 0)
}

func (f *Fleet) usage(id string) map[string]any {
	load := 0
	if model := f.models[id]; model != nil {
		load = model.Busy()
	}
	f.reports++
	return map[string]any{"number": f.World.Now().Milliseconds() + f.reports, "load": load, "incarnation": f.lives[id].incarnation, "leaving": f.lives[id].leaving}
}

func (f *Fleet) untilTold(method, path string, body func() any, stamp uint64) {
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
	if lost.gone || !lost.Host.alive || lost.Host.frozen {
		return
	}
	id := f.FindDisk(lost.Host.Name).ID
	if id == "" {
		return
	}
	f.PowerLoss(lost)
	lost.gone = true
	lost.Disk.Wipe()
	fresh := f.AddMachine("storage")
	if f.Shape.Tolerate > 0 {
		if f.until(time.Minute, f.whole) < time.Minute {
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
