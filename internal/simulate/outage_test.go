// Losses of many machines at once, planned stops, and what must outlive them.
package simulate

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"fordseam/internal/standin"

	"github.com/matryer/is"
)

func TestTotalOutageKeepsAcknowledgedState(t *testing.T) {
	t.Parallel()
	for seed := 0; seed < *seedCount+1; seed++ {
		runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
			for range seed {
				f.World.Int64N(2) // another draw, another run
			}
			program, secret := call.createProgram(1000, nil)
			path, key := call.openSession(0, program, secret, nil)
			verdict, _, _ := call.sendTurn(1, path, key, program, "a", "").finalResult()
			is.Equal(verdict, "success")
			tool := "/v1/programs/" + program + "/tools/loyalty"
			is.Equal(call.send(1, "POST", tool, secret, `{"points":1}`, "idempotency-key", "k").Status, 200)
			before := call.send(1, "GET", "/v1/programs/"+program, secret, nil)
			status, _ := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/apply", map[string]any{"change": "last", "based_on": 1, "document": f.settingsWithMarker("last")})
			is.Equal(status, 200)
			for _, m := range f.All() {
				f.PowerLoss(m)
			}
			call.sleep(time.Second)
			pending := f.All()
			lost := f.pickMachine(f.Storage) // one disk does not come back
			for len(pending) > 0 {
				index := f.World.Int64N(int64(len(pending)))
				if pending[index] != lost {
					f.Start(pending[index])
				}
				pending = append(pending[:index], pending[index+1:]...)
				call.sleep(f.World.Between(0, 300*time.Millisecond))
			}
			took := f.waitUntilServing(time.Minute)
			is.True(took < 12*time.Second) // inside recover_bound_s
			for _, m := range f.Gateways {
				is.Equal(m.gateway.SettingsVersion(), uint64(2))
			}
			after := call.send(1, "GET", "/v1/programs/"+program, secret, nil)
			is.Equal(after.field("spent_tokens"), before.field("spent_tokens"))
			again := call.send(2, "POST", tool, secret, `{"points":1}`, "idempotency-key", "k")
			is.Equal(again.Header["Idempotent-Replayed"], "true")
			verdict, _, _ = call.sendTurn(2, path, key, program, "b", "a").finalResult()
			is.Equal(verdict, "success")
			is.Equal(f.toolWorkerRuns(program+"/k"), 1)
		})
	}
}

// The machine with the disk that acknowledged something first is lost with
// its disk, for ever, just after.
func TestDiskLossAfterAcknowledgment(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
			program, secret := call.createProgram(1000, nil)
			path, key := call.openSession(0, program, secret, nil)
			verdict, _, _ := call.sendTurn(1, path, key, program, "a", "").finalResult()
			is.Equal(verdict, "success")
			f.PowerLoss(f.Storage[lost])
			f.Storage[lost].Disk.Wipe()
			for _, m := range append(append([]*Machine{}, f.Cores...), f.Gateways...) {
				f.Kill(m)
			}
			for _, m := range append(append([]*Machine{}, f.Cores...), f.Gateways...) {
				f.Start(m)
			}
			f.Start(f.Storage[lost]) // comes back blank: it has no vote
			f.waitUntilServing(time.Minute)
			after := call.sendTurn(1, path, key, program, "b", "a")
			verdict, _, _ = after.finalResult()
			is.Equal(after.Raw, "")
			is.Equal(verdict, "success")
			is.True(f.Storage[lost].storage.Ready() != nil)
		})
	}
}

// Split in two, the side without a majority of disks declines, the other
// goes on, and healing brings nobody back to older settings.
func TestPartitionOfCoreAndStorage(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, call *apiClient) {
		minority := map[string]bool{f.Storage[0].Host.Name: true, f.Cores[0].Host.Name: true, f.Cores[1].Host.Name: true,
			f.Gateways[0].Host.Name: true, f.Gateways[1].Host.Name: true}
		f.Net.Isolate(minority)
		call.sleep(8 * time.Second)
		program, secret := "", ""
		for tries := 0; program == "" || program == "<nil>"; tries++ {
			made := call.send(3, "POST", "/v1/programs", "", map[string]any{"group": "g", "site": "main", "budget_tokens": 1000})
			program, secret = made.field("program"), made.field("secret")
			is.True(tries < 20)
		}
		path, key := call.openSession(4, program, secret, nil)
		verdict, _, _ := call.sendTurn(3, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
		is.Equal(call.send(0, "GET", "/v1/programs/"+program, secret, nil).Status, 503)
		status, answer := f.OperatorRequest(f.Cores[2], "POST", "/v1/operator/settings/apply", map[string]any{"change": "new", "based_on": 1, "document": f.settingsWithMarker("new")})
		f.resolveOutcome("new", 1, status, answer)
		is.Equal(f.Tally.Counts["settings_taken"], 1)
		status, _ = f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/apply", map[string]any{"change": "old", "based_on": 1, "document": f.settingsWithMarker("old")})
		is.True(status == 503 || status == 504)
		f.Net.Heal()
		call.sleep(6 * time.Second)
		status, answer = f.OperatorRequest(f.Cores[1], "POST", "/v1/operator/settings/outcome", map[string]string{"change": "old"})
		is.Equal(status, 200)
		f.resolveOutcome("old", 1, status, answer)
		is.Equal(f.Tally.Counts["settings_refused"], 1)
		for _, m := range f.Gateways {
			is.Equal(m.gateway.SettingsVersion(), uint64(2))
		}
		verdict, _, _ = call.sendTurn(0, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
	})
}

// A planned stop finishes what was read and hands sessions over: callers see
// no failure but connections refused where nothing listens.
func TestPlannedStopsDropNoRequests(t *testing.T) {
	t.Parallel()
	runSeeds(t, *seedCount, KiondoShape(), func(t *testing.T, f *Fleet) {
		is := is.New(t)
		waitUntilFormed(t, f)
		left := f.StartCallers(12, 8, true, func(c *standin.Caller) {
			c.Between = func(int) {
				c.Home = int(f.World.Int64N(int64(len(f.Gateways)))) // so that turns are carried to their owners
				c.Clock.Sleep(f.World.Between(0, time.Second))
			}
		})
		f.CallerHost.Go(func() {
			for round := 0; left() > 0; round++ {
				m := f.Gateways[round%len(f.Gateways)]
				if round%3 == 2 {
					m = f.Cores[round%len(f.Cores)]
				}
				f.Stop(m)
				f.CallerHost.Clock().Sleep(500 * time.Millisecond)
				f.Start(m)
				f.CallerHost.Clock().Sleep(2 * time.Second)
			}
		})
		is.True(f.World.Run(f.World.Now()+5*time.Minute, func() bool { return left() == 0 }))
		t.Logf("%v", f.Tally.Counts)
		is.Equal(f.Tally.Counts["conversations_whole"], 12)
		is.Equal(f.Tally.Counts["turns_dropped"], 0)
		is.Equal(f.Tally.Counts["final_cut_cut"], 0)
		is.Equal(f.Tally.Counts["cut_connections"], 0)
	})
}

// A frozen owner wakes after its Run was succeeded: nothing it had in hand
// goes out any more.
func TestThawedOwnerSendsNothing(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		verdict, _, _ := call.sendTurn(1, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
		answers := map[string]apiResponse{}
		for _, id := range []string{"b", "c", "d"} {
			f.CallerHost.Go(func() { answers[id] = call.sendTurn(0, path, key, program, id, "") })
		}
		call.sleep(3 * time.Millisecond)
		f.Gateways[0].Host.Freeze()
		frozen := f.World.Now()
		verdict, _, _ = call.sendTurn(1, path, key, program, "e", "a").finalResult()
		is.Equal(verdict, "success")
		is.True(f.World.Now()-frozen < 4*time.Second) // it was told from a slow one, and succeeded
		sent := f.Gateways[0].Counters.Snapshot()["legs_sent"]
		f.Gateways[0].Host.Thaw()
		call.sleep(20 * time.Second)
		is.Equal(f.Gateways[0].Counters.Snapshot()["legs_sent"], sent)
		for _, id := range []string{"b", "c", "d"} {
			verdict, ran, _ := answers[id].finalResult()
			if answers[id].Status != 200 {
				ran = answers[id].field("error", "request")
			}
			if ran == "not_run" {
				is.Equal(f.modelWorkerRuns(program, id), 0)
			}
			// What went on did so through the session's new owner.
			if verdict == "success" {
				is.True(f.modelWorkerRuns(program, id) >= 1)
			}
		}
		status := call.send(1, "GET", path, key, nil)
		is.Equal(status.field("epoch"), "2")
	})
}

// With two of three disks stalled nothing is acknowledged; what the third
// disk alone was given is fenced before it is called refused.
func TestMinorityOfDisksAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		f.Storage[1].Disk.SyncStalled, f.Storage[2].Disk.SyncStalled = true, true
		status, _ := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/apply", map[string]any{"change": "lone", "based_on": 1, "document": f.settingsWithMarker("lone")})
		is.Equal(status, 504) // unknown
		got := call.sendTurn(0, path, key, program, "a", "")
		verdict, _, _ := got.finalResult()
		is.True(verdict != "success")
		is.True(call.send(1, "POST", "/v1/programs", "", map[string]any{"group": "g", "site": "main", "budget_tokens": 10}).Status != 201)
		is.True(call.send(1, "POST", "/v1/programs/"+program+"/tools/loyalty", secret, `{}`, "idempotency-key", "k").Status != 200)
		is.Equal(f.toolWorkerRuns(program+"/k"), 0) // no claim, no call
		f.PowerLoss(f.Storage[0])                   // the one disk that may have it is away
		f.Storage[1].Disk.SyncStalled, f.Storage[2].Disk.SyncStalled = false, false
		var answer []byte
		for status = 0; status != 200; call.sleep(200 * time.Millisecond) {
			status, answer = f.OperatorRequest(f.Cores[1], "POST", "/v1/operator/settings/outcome", map[string]string{"change": "lone"})
		}
		f.resolveOutcome("lone", 1, status, answer)
		f.Start(f.Storage[0]) // back, and still it never comes into force if it was refused
		call.sleep(3 * time.Second)
		f.Kill(f.Storage[1])
		call.sleep(5 * time.Second)
		refused := f.Tally.Counts["settings_refused"]
		if refused == 1 {
			for _, m := range f.Gateways {
				is.Equal(m.gateway.SettingsVersion(), uint64(1))
			}
		}
		is.Equal(refused+f.Tally.Counts["settings_taken"], 1)
	})
}

// A core that is cut off with a gateway cannot keep that gateway serving, nor
// answer operators from what it remembers, while others change the settings.
func TestIsolatedLeaderConfirmsNothing(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, call *apiClient) {
		var leader, other *Machine
		for _, m := range f.Cores {
			slots, _ := m.core.RegisterServer.Status()
			if slices.Contains(slots, 0) {
				leader = m
			} else {
				other = m
			}
		}
		is.True(leader != nil && other != nil)
		f.Net.Isolate(map[string]bool{leader.Host.Name: true, f.Gateways[0].Host.Name: true})
		status := 0
		for status != 200 {
			status, _ = f.OperatorRequest(other, "POST", "/v1/operator/settings/apply", map[string]any{"change": "new", "based_on": 1, "document": f.settingsWithMarker("new")})
			call.sleep(100 * time.Millisecond)
		}
		call.sleep(2 * time.Second)
		is.True(!f.Gateways[0].gateway.Follower.HasLease())
		status, _ = f.OperatorRequest(leader, "GET", "/v1/operator/settings", nil)
		is.Equal(status, 503)
		for _, m := range f.Gateways[1:] {
			is.True(m.gateway.Follower.HasLease())
			is.Equal(m.gateway.SettingsVersion(), uint64(2))
		}
	})
}

// A turn whose leg was lost with its owner is not called not run, whatever
// stopsMachines its next leg.
func TestLostAttemptIsNotReportedAsNotRun(t *testing.T) {
	shape := SmallShape()
	shape.PieceInterval = 300 * time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(8, nil)
		path, key := call.openSession(0, program, secret, nil)
		f.CallerHost.Go(func() { call.sendTurn(0, path, key, program, "a", "") })
		call.sleep(700 * time.Millisecond)
		is.Equal(f.modelWorkerRuns(program, "a"), 1)
		f.Kill(f.Gateways[0])
		verdict, ran, code := call.sendTurn(1, path, key, program, "a", "").finalResult()
		is.Equal(verdict+" "+ran+" "+code, "failed may_have_run worker_lost") // the lost leg counts as spent
		is.Equal(f.modelWorkerRuns(program, "a"), 1)
		_, ran, code = call.sendTurn(1, path, key, program, "b", "").finalResult()
		is.Equal(ran+" "+code, "not_run over_budget")
	})
}

// A turn told not run stays so when its owner is lost and the same Turn-Id is
// asked again.
func TestRefusalSurvivesOwnerLoss(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.PieceInterval = 300 * time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, map[string]any{"queue_size": 1})
		answers := map[string]apiResponse{}
		for _, id := range []string{"runs", "waits", "full"} {
			f.CallerHost.Go(func() { answers[id] = call.sendTurn(0, path, key, program, id, "") })
			call.sleep(20 * time.Millisecond)
		}
		call.sleep(200 * time.Millisecond)
		_, ran, code := answers["full"].finalResult()
		is.Equal(code+" "+ran, "queue_full not_run")
		is.Equal(call.send(1, "POST", path+"/turns/waits/cancel", key, nil).field("state"), "Cancelled")
		poor, poorSecret := call.createProgram(1, nil)
		poorPath, poorKey := call.openSession(0, poor, poorSecret, nil)
		verdict, _, _ := call.sendTurn(0, poorPath, poorKey, poor, "first", "").finalResult()
		is.Equal(verdict, "success")
		_, ran, code = call.sendTurn(0, poorPath, poorKey, poor, "over", "").finalResult()
		is.Equal(code+" "+ran, "over_budget not_run")
		f.Kill(f.Gateways[0])
		for _, id := range []string{"full", "waits"} {
			_, ran, code = call.sendTurn(1, path, key, program, id, "").finalResult()
			is.Equal(id+" "+code+" "+ran, id+" turn_refused not_run")
			is.Equal(f.modelWorkerRuns(program, id), 0)
		}
		verdict, _, _ = call.sendTurn(1, path, key, program, "new", "").finalResult()
		is.Equal(verdict, "success")
	})
}

// A refusal that cannot be kept is not called not run.
func TestUnstoredRefusalIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.PieceInterval = 300 * time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, map[string]any{"queue_size": 1})
		for _, id := range []string{"runs", "waits"} {
			f.CallerHost.Go(func() { call.sendTurn(0, path, key, program, id, "") })
			call.sleep(20 * time.Millisecond)
		}
		f.Storage[0].Disk.SyncStalled, f.Storage[1].Disk.SyncStalled = true, true
		began := f.World.Now()
		got := call.sendTurn(0, path, key, program, "full", "")
		is.True(f.World.Now()-began < 500*time.Millisecond) // and it is told at once
		is.Equal(got.field("error", "request"), "may_have_run")
		is.True(got.Header["Retry-After"] != "")
	})
}

// The owner's permit lapses and its chain is read anew while the answer to the
// applyAndResolve that finished a turn is still on its way: the turn is in it once.
func TestFinishedTurnIsInReloadedChainOnce(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		owner, held, silent, read := f.Gateways[0].Host, false, false, false
		f.Net.Intercept = func(m *Message) *http.Response {
			for m.From == owner && silent && strings.HasSuffix(m.Path, "/Follow") {
				owner.Clock().Sleep(20 * time.Millisecond)
			}
			response, _ := m.Forward(m.Body)
			if m.From == owner && !held && bytes.Contains(m.Body, []byte("session.finish")) {
				held, silent = true, true
				owner.Clock().Sleep(1500 * time.Millisecond)
				for silent = false; !read; {
					owner.Clock().Sleep(20 * time.Millisecond)
				}
			}
			return response
		}
		f.CallerHost.Go(func() { call.sendTurn(0, path, key, program, "a", "") })
		for !held || silent {
			call.sleep(10 * time.Millisecond)
		}
		for call.send(0, "GET", path, key, nil).field("turns") != "1" {
			call.sleep(50 * time.Millisecond)
		}
		read = true
		is.True(f.Gateways[0].gateway.Follower.LeaseExpirations() > 0)
		call.sleep(200 * time.Millisecond)
		f.Net.Intercept = nil
		next := call.sendTurn(0, path, key, program, "b", "a")
		verdict, _, _ := next.finalResult()
		is.Equal(verdict, "success")
		is.True(strings.Contains(string(next.Events[0].Data), "3 messages")) // a's two and b's own
	})
}
