package simulate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetentionAndDeadlinesSurviveCoreLoss loses every core several times within the
// retention and deadline periods. These periods are measured in time that the shards
// count themselves, not by the machines' wall clocks, so nothing expires early and a
// deadline that has passed takes effect.
func TestRetentionAndDeadlinesSurviveCoreLoss(t *testing.T) {
	t.Parallel()
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		verdict, _, _ := client.sendTurn(1, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
		is.Equal(client.send(1, "POST", path+"/close", key, nil).field("phase"), "Succeeded")
		tool := "/v1/programs/" + program + "/tools/loyalty"
		is.Equal(client.send(1, "POST", tool, secret, `{"points":1}`, "idempotency-key", "k").Status, 200)
		shortProgram, shortSecret := client.createProgram(1000, map[string]any{"deadline_s": 100})
		shortPath, shortKey := client.openSession(0, shortProgram, shortSecret, nil)
		verdict, _, _ = client.sendTurn(1, shortPath, shortKey, shortProgram, "a", "").finalResult()
		is.Equal(verdict, "success")
		for round := 0; round < 8; round++ { // 80 s in all, with an expiry sweep under each leader
			f.crash(f.Cores[round%2], time.Second, false)
			client.sleep(10 * time.Second)
		}
		verdict, _, _ = client.sendTurn(1, shortPath, shortKey, shortProgram, "b", "a").finalResult()
		is.Equal(verdict, "success")
		verdict, _, _ = client.sendTurn(1, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
		again := client.send(2, "POST", tool, secret, `{"points":1}`, "idempotency-key", "k")
		is.Equal(again.Header["Idempotent-Replayed"], "true")
		is.Equal(f.toolWorkerRuns(program+"/k"), 1)
		client.sleep(60 * time.Second)
		_, ran, code := client.sendTurn(1, shortPath, shortKey, shortProgram, "c", "b").finalResult()
		is.Equal(code+" "+ran, "past_deadline not_run")
	})
}
