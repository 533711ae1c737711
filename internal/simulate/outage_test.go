// Tests of the loss of many machines at once, of partitions and of planned stops: what was
// acknowledged must survive, and nothing else may be acknowledged.
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
				f.World.Int64N(2) // changes the draws that follow
			}
			program, secret := call.createProgram(1000, nil)
			path, key := call.openSession(0, program, secret, nil)
			outcome, _, _ := call.sendTurn(1, path, key, program, "a", "").finalResult()
			is.Equal(outcome, "success")
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
			lost := f.pickMachine(f.Storage) // this disk does not come back
			for len(pending) > 0 {
				index := f.World.Int64N(int64(len(pending)))
				if pending[index] != lost {
					f.Start(pending[index])
				}
				pending = append(pending[:index], pending[index+1:]...)
				call.sleep(f.World.Between(0, 300*time.Millisecond))
			}
			took := f.waitUntilServing(time.Minute)
			is.True(took < 12*time.Second) // within recover_bound_s
			for _, m := range f.Gateways {
				is.Equal(m.gateway.SettingsVersion(), uint64(2))
			}
			after := call.send(1, "GET", "/v1/programs/"+program, secret, nil)
			is.Equal(after.field("spent_tokens"), before.field("spent_tokens"))
			replayed := call.send(2, "POST", tool, secret, `{"points":1}`, "idempotency-key", "k")
			is.Equal(replayed.Header["Idempotent-Replayed"], "true")
			outcome, _, _ = call.sendTurn(2, path, key, program, "b", "a").finalResult()
			is.Equal(outcome, "success")
			is.Equal(f.toolWorkerRuns(program+"/k"), 1)
		})
	}
}

// The machine whose disk acknowledged a change first is lost with its disk right after.
func TestDiskLossAfterAcknowledgement(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
			program, secret := call.createProgram(1000, nil)
			path, key := call.openSession(0, program, secret, nil)
			outcome, _, _ := call.sendTurn(1, path, key, program, "a", "").finalResult()
			is.Equal(outcome, "success")
			f.PowerLoss(f.Storage[lost])
			f.Storage[lost].Disk.Wipe()
			for _, m := range append(append([]*Machine{}, f.Cores...), f.Gateways...) {
				f.Kill(m)
			}
			for _, m := range append(append([]*Machine{}, f.Cores...), f.Gateways...) {
				f.Start(m)
			}
			f.Start(f.Storage[lost]) // returns with an empty disk and without a vote
			f.waitUntilServing(time.Minute)
			after := call.sendTurn(1, path, key, program, "b", "a")
			outcome, _, _ = after.finalResult()
			is.Equal(after.Raw, "")
			is.Equal(outcome, "success")
			is.True(f.Storage[lost].storage.Ready() != nil)
		})
	}
}

// In a partition, the side without a majority of disks refuses and the other side continues.
// After healing no machine returns to older settings.
func TestPartitionOfCoreAndStorage(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, call *apiClient) {
		minority := map[string]bool{f.Storage[0].Host.Name: true, f.Cores[0].Host.Name: true, f.Cores[1].Host.Name: true,
			f.Gateways[0].Host.Name: true, f.Gateways[1].Host.Name: true}
		f.Net.Isolate(minority)
		call.sleep(8 * time.Second)
		program, secret := "", ""
		for attempt := 0; program == "" || program == "<nil>"; attempt++ {
			created := call.send(3, "POST", "/v1/programs", "", map[string]any{"group": "g", "site": "main", "budget_tokens": 1000})
			program, secret = created.field("program"), created.field("secret")
			is.True(attempt < 20)
		}
		path, key := call.openSession(4, program, secret, nil)
		outcome, _, _ := call.sendTurn(3, path, key, program, "a", "").finalResult()
		is.Equal(outcome, "success")
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
		outcome, _, _ = call.sendTurn(0, path, key, program, "b", "a").finalResult()
		is.Equal(outcome, "success")
	})
}

// A planned stop finishes the requests that were read and hands sessions over: callers see
// no failures except refused connections.
func TestPlannedStopsDropNoRequests(t *testing.T) {
	t.Parallel()
	runSeeds(t, *seedCount, KiondoShape(), func(t *testing.T, f *Fleet) {
		is := is.New(t)
		waitUntilFormed(t, f)
		remaining := f.StartCallers(12, 8, true, func(c *standin.Caller) {
			c.AfterTurn = func(int) {
				c.Gateway = int(f.World.Int64N(int64(len(f.Gateways)))) // so that turns are forwarded to their owners
				c.Clock.Sleep(f.World.Between(0, time.Second))
			}
		})
		f.CallerHost.Go(func() {
			for round := 0; remaining() > 0; round++ {
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
		is.True(f.World.Run(f.World.Now()+5*time.Minute, func() bool { return remaining() == 0 }))
		t.Logf("%v", f.Tally.Counts)
		is.Equal(f.Tally.Counts["conversations_whole"], 12)
		is.Equal(f.Tally.Counts["turns_dropped"], 0)
		is.Equal(f.Tally.Counts["final_cut_cut"], 0)
		is.Equal(f.Tally.Counts["cut_connections"], 0)
	})
}

// A frozen owner thaws after another gateway took over its run: it must not send anything
// that it still held.
func TestThawedOwnerSendsNothing(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		outcome, _, _ := call.sendTurn(1, path, key, program, "a", "").finalResult()
		is.Equal(outcome, "success")
		answers := map[string]apiResponse{}
		for _, id := range []string{"b", "c", "d"} {
			f.CallerHost.Go(func() { answers[id] = call.sendTurn(0, path, key, program, id, "") })
		}
		call.sleep(3 * time.Millisecond)
		f.Gateways[0].Host.Freeze()
		frozen := f.World.Now()
		outcome, _, _ = call.sendTurn(1, path, key, program, "e", "a").finalResult()
		is.Equal(outcome, "success")
		is.True(f.World.Now()-frozen < 4*time.Second) // the owner was taken for lost, not slow, and taken over
		sent := f.Gateways[0].Counters.Snapshot()["legs_sent"]
		f.Gateways[0].Host.Thaw()
		call.sleep(20 * time.Second)
		is.Equal(f.Gateways[0].Counters.Snapshot()["legs_sent"], sent)
		for _, id := range []string{"b", "c", "d"} {
			outcome, execution, _ := answers[id].finalResult()
			if answers[id].Status != 200 {
				execution = answers[id].field("error", "request")
			}
			if execution == "not_run" {
				is.Equal(f.modelWorkerRuns(program, id), 0)
			}
			// A successful turn ran through the session's new owner.
			if outcome == "success" {
				is.True(f.modelWorkerRuns(program, id) >= 1)
			}
		}
		status := call.send(1, "GET", path, key, nil)
		is.Equal(status.field("epoch"), "2")
	})
}

// With two of three disks stalled nothing is acknowledged. What only the third disk received
// is fenced before it is reported as refused.
func TestMinorityOfDisksAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		f.Storage[1].Disk.SyncStalled, f.Storage[2].Disk.SyncStalled = true, true
		status, _ := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/apply", map[string]any{"change": "lone", "based_on": 1, "document": f.settingsWithMarker("lone")})
		is.Equal(status, 504) // outcome unknown
		reply := call.sendTurn(0, path, key, program, "a", "")
		outcome, _, _ := reply.finalResult()
		is.True(outcome != "success")
		is.True(call.send(1, "POST", "/v1/programs", "", map[string]any{"group": "g", "site": "main", "budget_tokens": 10}).Status != 201)
		is.True(call.send(1, "POST", "/v1/programs/"+program+"/tools/loyalty", secret, `{}`, "idempotency-key", "k").Status != 200)
		is.Equal(f.toolWorkerRuns(program+"/k"), 0) // without a claim the tool is not called
		f.PowerLoss(f.Storage[0])                   // the only disk that may hold the change is down
		f.Storage[1].Disk.SyncStalled, f.Storage[2].Disk.SyncStalled = false, false
		var answer []byte
		for status = 0; status != 200; call.sleep(200 * time.Millisecond) {
			status, answer = f.OperatorRequest(f.Cores[1], "POST", "/v1/operator/settings/outcome", map[string]string{"change": "lone"})
		}
		f.resolveOutcome("lone", 1, status, answer)
		f.Start(f.Storage[0]) // the disk returns; a refused change must still not come into force
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

// A core that is isolated with a gateway must neither extend that gateway's lease nor answer
// operators from its memory while others change the settings.
func TestIsolatedLeaderConfirmsNothing(t *testing.T) {
	t.Parallel()
	runScript(t, KiondoShape(), func(is *is.I, f *Fleet, call *apiClient) {
		var leader, other *Machine
		for _, m := range f.Cores {
			shards, _ := m.core.RegisterServer.Status()
			if slices.Contains(shards, 0) {
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

// A turn whose attempt was lost with its owner must not be reported as not run, whatever
// stops its next attempt.
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
		outcome, execution, code := call.sendTurn(1, path, key, program, "a", "").finalResult()
		is.Equal(outcome+" "+execution+" "+code, "failed may_have_run worker_lost") // the lost attempt's tokens count as spent
		is.Equal(f.modelWorkerRuns(program, "a"), 1)
		_, execution, code = call.sendTurn(1, path, key, program, "b", "").finalResult()
		is.Equal(execution+" "+code, "not_run over_budget")
	})
}

// A turn that was reported as not run stays so when its owner is lost and the same Turn-Id
// is sent again.
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
		_, execution, code := answers["full"].finalResult()
		is.Equal(code+" "+execution, "queue_full not_run")
		is.Equal(call.send(1, "POST", path+"/turns/waits/cancel", key, nil).field("state"), "Cancelled")
		limited, limitedSecret := call.createProgram(1, nil)
		limitedPath, limitedKey := call.openSession(0, limited, limitedSecret, nil)
		outcome, _, _ := call.sendTurn(0, limitedPath, limitedKey, limited, "first", "").finalResult()
		is.Equal(outcome, "success")
		_, execution, code = call.sendTurn(0, limitedPath, limitedKey, limited, "over", "").finalResult()
		is.Equal(code+" "+execution, "over_budget not_run")
		f.Kill(f.Gateways[0])
		for _, id := range []string{"full", "waits"} {
			_, execution, code = call.sendTurn(1, path, key, program, id, "").finalResult()
			is.Equal(id+" "+code+" "+execution, id+" turn_refused not_run")
			is.Equal(f.modelWorkerRuns(program, id), 0)
		}
		outcome, _, _ = call.sendTurn(1, path, key, program, "new", "").finalResult()
		is.Equal(outcome, "success")
	})
}

// A refusal that cannot be stored must not be reported as not run.
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
		start := f.World.Now()
		refused := call.sendTurn(0, path, key, program, "full", "")
		is.True(f.World.Now()-start < 500*time.Millisecond) // without a wait for the disks
		is.Equal(refused.field("error", "request"), "may_have_run")
		is.True(refused.Header["Retry-After"] != "")
	})
}

// The owner's lease expires and it reloads the chain while the reply to the change that
// finished a turn is still on its way. The chain must contain the turn once.
func TestFinishedTurnIsInReloadedChainOnce(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		owner, replyHeld, followsBlocked, reloaded := f.Gateways[0].Host, false, false, false
		f.Net.Intercept = func(m *Message) *http.Response {
			for m.From == owner && followsBlocked && strings.HasSuffix(m.Path, "/Follow") {
				owner.Clock().Sleep(20 * time.Millisecond)
			}
			response, _ := m.Forward(m.Body)
			if m.From == owner && !replyHeld && bytes.Contains(m.Body, []byte("session.finish")) {
				replyHeld, followsBlocked = true, true
				owner.Clock().Sleep(1500 * time.Millisecond)
				for followsBlocked = false; !reloaded; {
					owner.Clock().Sleep(20 * time.Millisecond)
				}
			}
			return response
		}
		f.CallerHost.Go(func() { call.sendTurn(0, path, key, program, "a", "") })
		for !replyHeld || followsBlocked {
			call.sleep(10 * time.Millisecond)
		}
		for call.send(0, "GET", path, key, nil).field("turns") != "1" {
			call.sleep(50 * time.Millisecond)
		}
		reloaded = true
		is.True(f.Gateways[0].gateway.Follower.LeaseExpirations() > 0)
		call.sleep(200 * time.Millisecond)
		f.Net.Intercept = nil
		next := call.sendTurn(0, path, key, program, "b", "a")
		outcome, _, _ := next.finalResult()
		is.Equal(outcome, "success")
		is.True(strings.Contains(string(next.Events[0].Data), "3 messages")) // two of turn a and one of turn b
	})
}
