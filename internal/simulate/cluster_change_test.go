// Disks replaced, added and retired under traffic; machines that come and go.
package simulate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/standin"

	"github.com/matryer/is"
)

// A lost disk is replaced by an empty machine at a new address while callers
// converse, with every kind of trouble on the way; then another disk is lost.
func TestReplacingLostDisk(t *testing.T) {
	troubles := map[string]func(f *Fleet){
		"in quiet":          func(*Fleet) {},
		"a core killed":     func(f *Fleet) { f.crash(f.Cores[0], 2*time.Second, false) },
		"all cores killed":  func(f *Fleet) { f.crash(f.Cores[0], 2*time.Second, false); f.crash(f.Cores[1], time.Second, false) },
		"the new disk down": func(f *Fleet) { f.crash(f.Storage[3], 2*time.Second, true) },
		"in a partition": func(f *Fleet) {
			f.Net.Isolate(map[string]bool{f.Storage[1].Host.Name: true, f.Cores[0].Host.Name: true})
			f.scheduleRecovery(5*time.Second, f.Net.Heal)
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
				left := f.StartCallers(4, 12, true, func(c *standin.Caller) {
					c.AfterTurn = func(int) { c.Clock.Sleep(f.World.Between(0, 2*time.Second)) }
				})
				call.sleep(time.Second)
				lost := f.FindDisk(f.Storage[0].Host.Name)
				is.True(lost.Voting)
				f.PowerLoss(f.Storage[0])
				f.Storage[0].Disk.Wipe()
				fresh := f.AddMachine("storage")
				call.sleep(time.Second)
				status, code := f.RequestDiskChange("admit", "address", fresh.Host.Name+":1")
				is.Equal(fmt.Sprint(status, code), "200")
				call.sleep(300 * time.Millisecond)
				trouble(f)
				is.True(f.AwaitDiskChange(2 * time.Minute))
				is.True(f.FindDisk(fresh.Host.Name).Voting)
				if name == "in quiet" {
					is.True(f.CounterTotal("repairs_paced") > 0) // 32 slots were not sent at once
				}
				status, code = f.RequestDiskChange("retire", "disk", lost.ID)
				is.Equal(fmt.Sprint(status, code), "200")
				is.True(f.AwaitDiskChange(2 * time.Minute))
				is.Equal(len(f.StorageStatus().Disks), 3)
				f.PowerLoss(f.Storage[1]) // the next loss, for good
				for left() > 0 {
					call.sleep(time.Second)
				}
				is.Equal(f.Tally.Counts["conversations_whole"], 4)
			})
		})
	}
}

func TestRetiringDisk(t *testing.T) {
	shape := SmallShape()
	shape.Storage = 4
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		call.sendTurn(0, path, key, program, "a", "")
		gone := f.FindDisk(f.Storage[0].Host.Name)
		status, code := f.RequestDiskChange("retire", "disk", "none")
		is.Equal(fmt.Sprint(status, code), "404unknown_disk")
		status, _ = f.RequestDiskChange("retire", "disk", gone.ID)
		is.Equal(status, 200)
		is.True(f.AwaitDiskChange(time.Minute))
		is.True(f.Storage[0].storage.Ready() != nil)
		is.Equal(f.Storage[0].storage.Store.KeyCount(), 0) // emptied
		next := f.FindDisk(f.Storage[1].Host.Name)
		status, code = f.RequestDiskChange("retire", "disk", next.ID)
		is.Equal(fmt.Sprint(status, code), "409too_few_disks")
		// A removed machine that returns is refused, until it is emptied.
		f.Kill(f.Storage[0])
		f.Start(f.Storage[0])
		call.sleep(2 * time.Second)
		is.True(f.Storage[0].storage.Ready() != nil)
		status, code = f.RequestDiskChange("admit", "address", f.Storage[0].Host.Name+":1")
		is.Equal(fmt.Sprint(status, code), "409disk_not_blank")
		f.Kill(f.Storage[1]) // two of three must do
		verdict, _, _ := call.sendTurn(1, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
	})
}

// Duties move only as far as they must when a core or gateway comes.
func TestNewMachinesMoveFewShards(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, call *apiClient) {
		owners := func() map[uint32]string {
			found := map[uint32]string{}
			for _, m := range f.Cores {
				slots, _ := m.core.RegisterServer.Status()
				for _, num := range slots {
					found[num] = m.Host.Name
				}
			}
			return found
		}
		call.sleep(5 * time.Second)
		before := owners()
		is.Equal(len(before), 32)
		fresh := f.AddMachine("core")
		call.sleep(8 * time.Second)
		after := owners()
		is.Equal(len(after), 32)
		moved := 0
		for num, owner := range after {
			if owner != before[num] {
				moved++
				is.Equal(owner, fresh.Host.Name) // what moved went to the newcomer
			}
		}
		is.True(moved > 0 && moved <= 16)
		program, secret := call.createProgram(1000, nil)
		edge := f.AddMachine("edge")
		call.sleep(3 * time.Second)
		path, key := call.openSession(len(f.Gateways)-1, program, secret, nil)
		is.True(edge.gateway.Ready() == nil)
		verdict, _, _ := call.sendTurn(0, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
	})
}

// The cluster is formed once; nothing forms it again by itself or by hand.
func TestClusterIsBootstrappedOnce(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		cluster := f.StorageStatus().Cluster
		addrs := []string{"storage-0:1", "storage-1:1", "storage-2:1"}
		status, answer := f.OperatorRequest(f.Cores[1], "POST", "/v1/operator/init", map[string]any{"disks": addrs})
		is.Equal(status, 409)
		is.True(strings.Contains(string(answer), "cluster_exists"))
		for _, bad := range []any{[]string{"storage-0:1"}, []string{"storage-0:1", "storage-0:1", "storage-1:1"}, "storage-0:1"} {
			status, answer = f.OperatorRequest(f.Cores[1], "POST", "/v1/operator/init", map[string]any{"disks": bad})
			is.Equal(status, 400)
			is.True(strings.Contains(string(answer), `"field":"disks"`))
		}
		for _, m := range f.All() {
			f.PowerLoss(m)
			m.Disk.Wipe()
		}
		for _, m := range f.All() {
			f.Start(m)
		}
		call.sleep(20 * time.Second)
		for _, m := range f.Storage {
			is.True(m.storage.Ready() != nil) // blank, and no cluster by itself
		}
		for _, m := range f.Gateways {
			is.True(m.gateway.Ready() != nil)
		}
		is.True(cluster != "")
	})
}

// The owner is lost while its understudy is leaving: another goes on.
func TestTakeOverWhileStandbyDrains(t *testing.T) {
	shape := SmallShape()
	shape.Gateways = 4
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		verdict, _, _ := call.sendTurn(2, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
		understudy := call.send(2, "GET", path, key, nil).field("understudy")
		for _, m := range f.Gateways {
			if strings.HasPrefix(understudy, m.Host.Name) {
				f.CallerHost.Go(func() { f.Stop(m) })
			}
		}
		call.sleep(10 * time.Millisecond)
		f.Kill(f.Gateways[0])
		verdict, _, _ = call.sendTurn(2, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
		after := call.send(2, "GET", path, key, nil)
		is.True(after.field("owner") != understudy)
		is.Equal(after.field("turns"), "2")
	})
}

// All seeds but one dead: machines still find the fleet.
func TestOneSeedIsEnough(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, call *apiClient) {
		f.Kill(f.Cores[0])
		f.Kill(f.Cores[len(f.Cores)-1])
		call.sleep(5 * time.Second)
		fresh := f.AddMachine("edge")
		call.sleep(4 * time.Second)
		is.True(fresh.gateway.Ready() == nil)
	})
}

// Bad input at the operators' interface is declined by name, nothing done.
func TestInvalidOperatorRequestsAreRejected(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		before := f.StorageStatus()
		rows := []struct {
			path   string
			body   any
			status int
			field  string
		}{
			{"storage/admit", map[string]any{}, 400, "address"},
			{"storage/admit", map[string]any{"address": 3}, 400, "address"},
			{"storage/admit", map[string]any{"address": "storage-0:1"}, 409, ""},
			{"storage/admit", map[string]any{"address": "nowhere:1"}, 503, ""},
			{"storage/retire", map[string]any{"disk": ""}, 400, "disk"},
			{"storage/retire", map[string]any{"disc": "x"}, 400, "disc"},
			{"storage/retire", map[string]any{"disk": "none"}, 404, ""},
			{"storage/retire", map[string]any{"disk": before.Disks[0].ID}, 409, ""},
			{"settings/apply", map[string]any{"based_on": 1, "document": map[string]any{}}, 400, "change"},
			{"settings/apply", map[string]any{"change": "a b", "based_on": 1, "document": map[string]any{}}, 400, "change"},
			{"settings/apply", map[string]any{"change": "a", "document": map[string]any{}}, 400, "based_on"},
			{"settings/apply", map[string]any{"change": "a", "based_on": -1, "document": map[string]any{}}, 400, "based_on"},
			{"settings/apply", map[string]any{"change": "a", "based_on": 1}, 400, "document"},
			{"settings/apply", map[string]any{"change": "a", "based_on": 0, "document": map[string]any{}}, 409, ""},
			{"settings/outcome", map[string]any{}, 400, "change"},
			{"settings/check", map[string]any{"pool": "none"}, 400, "$.pool"},
			{"terminate", map[string]any{"mode": "Drain"}, 400, "program"},
			{"terminate", map[string]any{"program": "p", "mode": "Gently"}, 400, "mode"},
			{"terminate", map[string]any{"program": "none", "mode": "Drain"}, 404, ""},
			{"nothing", map[string]any{}, 404, ""},
		}
		for _, row := range rows {
			status, answer := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/"+row.path, row.body)
			var told struct {
				Error struct {
					Ran   string `json:"request"`
					Field string `json:"field"`
				} `json:"error"`
			}
			is.NoErr(json.Unmarshal(answer, &told))
			name := fmt.Sprint(row.path, row.body)
			is.Equal(fmt.Sprint(name, status, told.Error.Field), fmt.Sprint(name, row.status, row.field))
			is.Equal(told.Error.Ran, "not_run")
		}
		after := f.StorageStatus()
		is.Equal(after.Version, before.Version)
		status, answer := f.OperatorRequest(f.Cores[1], "GET", "/v1/operator/settings", nil)
		is.Equal(status, 200)
		is.True(strings.Contains(string(answer), `"stamp":1`))
	})
}

// All three seed machines are replaced at new addresses, one by one, and then
// everything falls at once. With the cluster's name in their places the
// machines find each other by what the disks remember; without it, operators
// start them with new seeds.
func TestTotalOutageAfterAllSeedsReplaced(t *testing.T) {
	for _, way := range []string{"cluster named", "new seeds"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
				cluster := f.StorageStatus().Cluster
				f.SeedAddrs = []string{"core-0:1", "core-1:1", "storage-0:1"}
				program, secret := call.createProgram(1000, nil)
				path, key := call.openSession(0, program, secret, nil)
				verdict, _, _ := call.sendTurn(1, path, key, program, "a", "").finalResult()
				is.Equal(verdict, "success")
				for place := range 2 {
					f.AddMachine("core")
					call.sleep(2 * time.Second)
					f.Kill(f.Cores[place])
					f.Cores[place].removed = true
				}
				f.Cores = f.Cores[2:]
				lost := f.FindDisk("storage-0").ID
				f.AddMachine("storage")
				call.sleep(time.Second)
				status, _ := f.RequestDiskChange("admit", "address", "storage-3:1")
				is.Equal(status, 200)
				is.True(f.AwaitDiskChange(time.Minute))
				status, _ = f.RequestDiskChange("retire", "disk", lost)
				is.Equal(status, 200)
				is.True(f.AwaitDiskChange(time.Minute))
				f.Kill(f.Storage[0])
				f.Storage[0].removed = true
				call.sleep(10 * time.Second)
				if way == "cluster named" {
					f.ClusterID = cluster
				} else {
					f.SeedAddrs = []string{"core-2:1", "storage-3:1", "storage-1:1"}
				}
				f.totalOutage()
				is.Equal(len(f.Tally.Breaches), 0)
				verdict, _, _ = call.sendTurn(1, path, key, program, "b", "a").finalResult()
				is.Equal(verdict, "success")
			})
		})
	}
}
