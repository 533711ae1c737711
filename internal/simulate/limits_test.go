// Tests of resource bounds over long runs, of load beyond capacity, and of policies.
package simulate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
	"fordseam/internal/standin"

	"github.com/matryer/is"
)

// With a short retain_s, waves of conversations must not fill the disks beyond what the
// first waves did, and an idle fleet must delete almost all keys.
func TestRetentionBoundsDiskUse(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Settings = strings.Replace(DefaultSettings, `{"pools"`, `{"bounds":{"settings_bound_s":2,"recover_bound_s":6,"retain_s":8},"pools"`, 1)
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		maxKeys := func() int {
			highest := 0
			for _, m := range f.Storage {
				highest = max(highest, m.storage.Store.KeyCount())
			}
			return highest
		}
		peaks := []int{}
		for wave := 0; wave < 12; wave++ {
			remaining := f.StartCallers(6, 3, true, func(c *standin.Caller) { c.Name = fmt.Sprint("w", wave, c.Name) })
			for remaining() > 0 {
				call.sleep(200 * time.Millisecond)
			}
			peaks = append(peaks, maxKeys())
			call.sleep(8 * time.Second)
		}
		early := max(peaks[4], peaks[5])
		for _, peak := range peaks[6:] {
			is.True(peak <= early*3/2)
		}
		call.sleep(2 * time.Minute)
		is.True(maxKeys() < 10+register.ShardCount) // settings, workers, the change log and each shard's time remain
		for _, m := range f.Gateways {
			sessions, copies, streams := m.gateway.Sessions.Sizes()
			is.Equal(copies, 0)
			is.Equal(streams, 0)
			is.Equal(sessions, 0)
		}
		for _, m := range f.Storage {
			is.True(m.Disk.Size("log-0")+m.Disk.Size("log-1") < 20<<20)
		}
	})
}

// Beyond saturation the goodput must not collapse: requests are refused early, and accepted
// turns still complete.
func TestOverloadIsRefusedEarly(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.WorkerCapacity, shape.PieceInterval = 4, 50*time.Millisecond
	shape.Settings = strings.Replace(DefaultSettings, `"operation_timeout_s":30`, `"operation_timeout_s":4,"waiting":16`, 1)
	goodput := func(callers int) (completed int, counts map[string]int) {
		runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
			f.StartUsageReports(500 * time.Millisecond)
			f.StartCallers(callers, 1000, false, func(c *standin.Caller) { c.TurnTimeout = time.Hour })
			call.sleep(20 * time.Second)
			completed, counts = f.Tally.Counts["turns_whole"], f.Tally.Counts
		})
		return completed, counts
	}
	is := is.New(t)
	atSaturation, _ := goodput(8)
	overloaded, counts := goodput(80)
	t.Logf("%d turns at saturation, %d with ten times as many callers: %v", atSaturation, overloaded, counts)
	is.True(overloaded > atSaturation*7/10)
	is.True(counts["final_refused_overloaded"] > 0)
}

// A runaway program with many sessions must not keep other programs from the workers.
func TestRunawayProgramDoesNotStarveOthers(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.ModelWorkers, shape.WorkerCapacity, shape.PieceInterval = 1, 4, 50*time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		runaway, secret := call.createProgram(100000, nil)
		for i := 0; i < 40; i++ {
			path, key := call.openSession(0, runaway, secret, nil)
			f.CallerHost.Go(func() {
				for number := 0; number < 100; number++ {
					call.sendTurn(0, path, key, runaway, fmt.Sprint("t", number), "")
				}
			})
		}
		call.sleep(2 * time.Second)
		program, secret := call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		for number := 0; number < 5; number++ {
			start := f.World.Now()
			outcome, _, _ := call.sendTurn(0, path, key, program, fmt.Sprint("t", number), "").finalResult()
			is.Equal(outcome, "success")
			is.True(f.World.Now()-start < 2*time.Second) // a turn takes 0.3 s; 36 turns of the runaway program are queued
		}
	})
}

func TestPoliciesAtWork(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		apply := func(version int, change, source string) (int, string) {
			document := strings.Replace(DefaultSettings, `"chat":{`, `"chat":{"policy":`+string(base.MustMarshal(source))+`,`, 1)
			status, answer := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/apply",
				map[string]any{"change": change, "based_on": version, "document": json.RawMessage(document)})
			call.sleep(2 * time.Second)
			return status, string(answer)
		}
		status, answer := apply(1, "bad", "def nominate(leg): return 1")
		is.Equal(status, 400)
		is.True(strings.Contains(answer, "routes.chat.policy"))
		status, _ = apply(1, "one", "def nominate(leg, workers):\n  return workers[-1]['id']\ndef admit(session):\n  return session['urgency'] != 'low'")
		is.Equal(status, 200)
		program, secret := call.createProgram(1000, nil)
		for i := 0; i < 3; i++ {
			path, key := call.openSession(i, program, secret, nil)
			outcome, _, _ := call.sendTurn(i, path, key, program, fmt.Sprint("p", i), "").finalResult()
			is.Equal(outcome, "success")
		}
		_, _, first, _ := f.Models[0].Stats()
		_, _, last, _ := f.Models[1].Stats()
		is.Equal([]int{first, last}, []int{0, 3}) // always the last worker listed
		lowUrgency, secret := call.createProgram(1000, map[string]any{"urgency": "low"})
		refused := call.send(0, "POST", "/v1/programs/"+lowUrgency+"/sessions", secret, `{"route":"chat"}`)
		is.Equal(refused.field("error", "code"), "not_admitted")
		// A policy that fails on live data is counted, and the default choice applies.
		status, _ = apply(2, "two", "def nominate(leg, workers):\n  return workers[0]['id'] if workers[0]['id'].startswith('worker') else 1 // 0")
		is.Equal(status, 200)
		program, secret = call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		outcome, _, _ := call.sendTurn(0, path, key, program, "x", "").finalResult()
		is.Equal(outcome, "success")
		is.True(f.CounterTotal("policy_faults") > 0)
	})
}
