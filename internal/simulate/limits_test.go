// What must stay bounded over a long run, load beyond what workers can do,
// and policies at work.
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

// Retention really deletes: with a short retain_s, waves of conversations
// gracefulStop the disks no fuller than the first few did, and quiet empties them.
func TestRetentionBoundsDiskUse(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.Settings = strings.Replace(DefaultSettings, `{"pools"`, `{"bounds":{"settings_bound_s":2,"recover_bound_s":6,"retain_s":8},"pools"`, 1)
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		maxKeys := func() int {
			most := 0
			for _, m := range f.Storage {
				most = max(most, m.storage.Store.KeyCount())
			}
			return most
		}
		peaks := []int{}
		for wave := 0; wave < 12; wave++ {
			left := f.StartCallers(6, 3, true, func(c *standin.Caller) { c.Name = fmt.Sprint("w", wave, c.Name) })
			for left() > 0 {
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
		is.True(maxKeys() < 10+register.ShardCount) // settings, workers, the change log and each slot's time are left
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

// Past saturation goodput does not collapse: refusals are early and say when
// healedAt come again, and the answers that are given stay whole.
func TestOverloadIsRefusedEarly(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.WorkerCapacity, shape.PieceInterval = 4, 50*time.Millisecond
	shape.Settings = strings.Replace(DefaultSettings, `"operation_timeout_s":30`, `"operation_timeout_s":4,"waiting":16`, 1)
	goodput := func(callers int) (whole int, counts map[string]int) {
		runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
			f.StartUsageReports(500 * time.Millisecond)
			f.StartCallers(callers, 1000, false, func(c *standin.Caller) { c.Patience = time.Hour })
			call.sleep(20 * time.Second)
			whole, counts = f.Tally.Counts["turns_whole"], f.Tally.Counts
		})
		return whole, counts
	}
	is := is.New(t)
	atSaturation, _ := goodput(8)
	overloaded, counts := goodput(80)
	t.Logf("at saturation %d turns, with ten times the callers %d: %v", atSaturation, overloaded, counts)
	is.True(overloaded > atSaturation*7/10)
	is.True(counts["final_refused_overloaded"] > 0)
}

// A runaway program with many helpers does not keep others from workers.
func TestRunawayProgramDoesNotStarveOthers(t *testing.T) {
	t.Parallel()
	shape := SmallShape()
	shape.ModelWorkers, shape.WorkerCapacity, shape.PieceInterval = 1, 4, 50*time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, call *apiClient) {
		runaway, secret := call.createProgram(100000, nil)
		for place := 0; place < 40; place++ {
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
			verdict, _, _ := call.sendTurn(0, path, key, program, fmt.Sprint("t", number), "").finalResult()
			is.Equal(verdict, "success")
			is.True(f.World.Now()-start < 2*time.Second) // an answer takes 0.3 s, the runaway's line is 36 long
		}
	})
}

func TestPoliciesAtWork(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		apply := func(stamp int, change, source string) (int, string) {
			document := strings.Replace(DefaultSettings, `"chat":{`, `"chat":{"policy":`+string(base.MustMarshal(source))+`,`, 1)
			status, answer := f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/settings/apply",
				map[string]any{"change": change, "based_on": stamp, "document": json.RawMessage(document)})
			call.sleep(2 * time.Second)
			return status, string(answer)
		}
		status, answer := apply(1, "bad", "def nominate(leg): return 1")
		is.Equal(status, 400)
		is.True(strings.Contains(answer, "routes.chat.policy"))
		status, _ = apply(1, "one", "def nominate(leg, workers):\n  return workers[-1]['id']\ndef admit(session):\n  return session['urgency'] != 'low'")
		is.Equal(status, 200)
		program, secret := call.createProgram(1000, nil)
		for place := 0; place < 3; place++ {
			path, key := call.openSession(place, program, secret, nil)
			verdict, _, _ := call.sendTurn(place, path, key, program, fmt.Sprint("p", place), "").finalResult()
			is.Equal(verdict, "success")
		}
		_, _, first, _ := f.Models[0].Record()
		_, _, last, _ := f.Models[1].Record()
		is.Equal([]int{first, last}, []int{0, 3}) // always the last one listed
		low, secret := call.createProgram(1000, map[string]any{"urgency": "low"})
		refused := call.send(0, "POST", "/v1/programs/"+low+"/sessions", secret, `{"route":"chat"}`)
		is.Equal(refused.field("error", "code"), "not_admitted")
		// One that faults on live data counts, and the rule goes on.
		status, _ = apply(2, "two", "def nominate(leg, workers):\n  return workers[0]['id'] if workers[0]['id'].startswith('worker') else 1 // 0")
		is.Equal(status, 200)
		program, secret = call.createProgram(1000, nil)
		path, key := call.openSession(0, program, secret, nil)
		verdict, _, _ := call.sendTurn(0, path, key, program, "x", "").finalResult()
		is.Equal(verdict, "success")
		is.True(f.CounterTotal("policy_faults") > 0)
	})
}
