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

// TestReplacingLostDisk replaces a lost disk by an empty machine at a new address during
// conversations and further faults; then another disk is lost.
func TestReplacingLostDisk(t *testing.T) {
	faults := map[string]func(f *Fleet){
		"in quiet":          func(*Fleet) {},
		"a core killed":     func(f *Fleet) { f.crash(f.Cores[0], 2*time.Second, false) },
		"all cores killed":  func(f *Fleet) { f.crash(f.Cores[0], 2*time.Second, false); f.crash(f.Cores[1], time.Second, false) },
		"the new disk down": func(f *Fleet) { f.crash(f.Storage[3], 2*time.Second, true) },
		"in a partition": func(f *Fleet) {
			f.Net.Isolate(map[string]bool{f.Storage[1].Host.Name: true, f.Cores[0].Host.Name: true})
			f.scheduleRecovery(5*time.Second, f.Net.Heal)
		},
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
				remaining := f.StartCallers(4, 12, true, func(c *standin.Caller) {
					c.AfterTurn = func(int) { c.Clock.Sleep(f.World.Between(0, 2*time.Second)) }
				})
				client.sleep(time.Second)
				lost := f.FindDisk(f.Storage[0].Host.Name)
				is.True(lost.Voting)
				f.PowerLoss(f.Storage[0])
				f.Storage[0].Disk.Wipe()
				added := f.AddMachine("storage")
				client.sleep(time.Second)
				status, code := f.RequestDiskChange("admit", "address", added.Host.Name+":1")
				is.Equal(fmt.Sprint(status, code), "200")
				client.sleep(300 * time.Millisecond)
				injectFault(f)
				is.True(f.AwaitDiskChange(2 * time.Minute))
				is.True(f.FindDisk(added.Host.Name).Voting)
				if name == "in quiet" {
					is.True(f.CounterTotal("repairs_paced") > 0) // the 32 shards are not sent all at once
				}
				status, code = f.RequestDiskChange("retire", "disk", lost.ID)
				is.Equal(fmt.Sprint(status, code), "200")
				is.True(f.AwaitDiskChange(2 * time.Minute))
				is.Equal(len(f.StorageStatus().Disks), 3)
				f.PowerLoss(f.Storage[1]) // the next loss, which is permanent
				for remaining() > 0 {
					client.sleep(time.Second)
				}
				is.Equal(f.Tally.Counts["conversations_whole"], 4)
			})
		})
	}
}

// TestRetiringDisk: a retired disk is emptied and stays out of the cluster, also after a
// restart.
func TestRetiringDisk(t *testing.T) {
	shape := SmallShape()
	shape.Storage = 4
	runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		client.sendTurn(0, path, key, program, "a", "")
		retired := f.FindDisk(f.Storage[0].Host.Name)
		status, code := f.RequestDiskChange("retire", "disk", "none")
		is.Equal(fmt.Sprint(status, code), "404unknown_disk")
		status, _ = f.RequestDiskChange("retire", "disk", retired.ID)
		is.Equal(status, 200)
		is.True(f.AwaitDiskChange(time.Minute))
		is.True(f.Storage[0].storage.Ready() != nil)
		is.Equal(f.Storage[0].storage.Store.KeyCount(), 0) // emptied
		next := f.FindDisk(f.Storage[1].Host.Name)
		status, code = f.RequestDiskChange("retire", "disk", next.ID)
		is.Equal(fmt.Sprint(status, code), "409too_few_disks")
		// A removed machine that returns is refused until it is wiped.
		f.Kill(f.Storage[0])
		f.Start(f.Storage[0])
		client.sleep(2 * time.Second)
		is.True(f.Storage[0].storage.Ready() != nil)
		status, code = f.RequestDiskChange("admit", "address", f.Storage[0].Host.Name+":1")
		is.Equal(fmt.Sprint(status, code), "409disk_not_blank")
		f.Kill(f.Storage[1]) // two of three disks suffice
		verdict, _, _ := client.sendTurn(1, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
	})
}

// TestNewMachinesMoveFewShards: when a core joins, at most half of the shards move, all of
// them to the new core. A gateway that joins becomes ready and serves.
func TestNewMachinesMoveFewShards(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, client *apiClient) {
		findLeaders := func() map[uint32]string {
			leaders := map[uint32]string{}
			for _, m := range f.Cores {
				shards, _ := m.core.RegisterServer.Status()
				for _, shard := range shards {
					leaders[shard] = m.Host.Name
				}
			}
			return leaders
		}
		client.sleep(5 * time.Second)
		before := findLeaders()
		is.Equal(len(before), 32)
		added := f.AddMachine("core")
		client.sleep(8 * time.Second)
		after := findLeaders()
		is.Equal(len(after), 32)
		moved := 0
		for shard, leader := range after {
			if leader != before[shard] {
				moved++
				is.Equal(leader, added.Host.Name) // shards move only to the new core
			}
		}
		is.True(moved > 0 && moved <= 16)
		program, secret := client.createProgram(1000, nil)
		edge := f.AddMachine("edge")
		client.sleep(3 * time.Second)
		path, key := client.openSession(len(f.Gateways)-1, program, secret, nil)
		is.True(edge.gateway.Ready() == nil)
		verdict, _, _ := client.sendTurn(0, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
	})
}

// TestClusterIsBootstrappedOnce: an existing cluster cannot be bootstrapped again by an
// operator, nor do machines bootstrap by themselves after all disks were wiped.
func TestClusterIsBootstrappedOnce(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
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
		client.sleep(20 * time.Second)
		for _, m := range f.Storage {
			is.True(m.storage.Ready() != nil) // it stays blank and bootstraps no cluster
		}
		for _, m := range f.Gateways {
			is.True(m.gateway.Ready() != nil)
		}
		is.True(cluster != "")
	})
}

// TestTakeOverWhileStandbyDrains: when the owner is lost while its standby is stopping,
// another gateway continues the session.
func TestTakeOverWhileStandbyDrains(t *testing.T) {
	shape := SmallShape()
	shape.Gateways = 4
	runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		verdict, _, _ := client.sendTurn(2, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
		standby := client.send(2, "GET", path, key, nil).field("understudy")
		for _, m := range f.Gateways {
			if strings.HasPrefix(standby, m.Host.Name) {
				f.CallerHost.Go(func() { f.Stop(m) })
			}
		}
		client.sleep(10 * time.Millisecond)
		f.Kill(f.Gateways[0])
		verdict, _, _ = client.sendTurn(2, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
		after := client.send(2, "GET", path, key, nil)
		is.True(after.field("owner") != standby)
		is.Equal(after.field("turns"), "2")
	})
}

// TestOneSeedIsEnough: a new machine joins the fleet when all of its seeds but one are
// down.
func TestOneSeedIsEnough(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, client *apiClient) {
		f.Kill(f.Cores[0])
		f.Kill(f.Cores[len(f.Cores)-1])
		client.sleep(5 * time.Second)
		added := f.AddMachine("edge")
		client.sleep(4 * time.Second)
		is.True(added.gateway.Ready() == nil)
	})
}

// TestInvalidOperatorRequestsAreRejected: invalid requests to the operators' API are
// rejected with the name of the field and change nothing.
func TestInvalidOperatorRequestsAreRejected(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
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
			var response struct {
				Error struct {
					Ran   string `json:"request"`
					Field string `json:"field"`
				} `json:"error"`
			}
			is.NoErr(json.Unmarshal(answer, &response))
			name := fmt.Sprint(row.path, row.body)
			is.Equal(fmt.Sprint(name, status, response.Error.Field), fmt.Sprint(name, row.status, row.field))
			is.Equal(response.Error.Ran, "not_run")
		}
		after := f.StorageStatus()
		is.Equal(after.Version, before.Version)
		status, answer := f.OperatorRequest(f.Cores[1], "GET", "/v1/operator/settings", nil)
		is.Equal(status, 200)
		is.True(strings.Contains(string(answer), `"stamp":1`))
	})
}

// TestTotalOutageAfterAllSeedsReplaced replaces all three seed machines at new addresses,
// one by one, and then restarts everything at once. If the machines are configured with
// the cluster's id, they find each other by the addresses stored on the disks; otherwise
// operators start them with new seeds.
func TestTotalOutageAfterAllSeedsReplaced(t *testing.T) {
	for _, variant := range []string{"cluster named", "new seeds"} {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
				cluster := f.StorageStatus().Cluster
				f.SeedAddrs = []string{"core-0:1", "core-1:1", "storage-0:1"}
				program, secret := client.createProgram(1000, nil)
				path, key := client.openSession(0, program, secret, nil)
				verdict, _, _ := client.sendTurn(1, path, key, program, "a", "").finalResult()
				is.Equal(verdict, "success")
				for index := range 2 {
					f.AddMachine("core")
					client.sleep(2 * time.Second)
					f.Kill(f.Cores[index])
					f.Cores[index].removed = true
				}
				f.Cores = f.Cores[2:]
				lost := f.FindDisk("storage-0").ID
				f.AddMachine("storage")
				client.sleep(time.Second)
				status, _ := f.RequestDiskChange("admit", "address", "storage-3:1")
				is.Equal(status, 200)
				is.True(f.AwaitDiskChange(time.Minute))
				status, _ = f.RequestDiskChange("retire", "disk", lost)
				is.Equal(status, 200)
				is.True(f.AwaitDiskChange(time.Minute))
				f.Kill(f.Storage[0])
				f.Storage[0].removed = true
				client.sleep(10 * time.Second)
				if variant == "cluster named" {
					f.ClusterID = cluster
				} else {
					f.SeedAddrs = []string{"core-2:1", "storage-3:1", "storage-1:1"}
				}
				f.totalOutage()
				is.Equal(len(f.Tally.Breaches), 0)
				verdict, _, _ = client.sendTurn(1, path, key, program, "b", "a").finalResult()
				is.Equal(verdict, "success")
			})
		})
	}
}
