package simulate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/standin"

	"github.com/matryer/is"
)

// apiClient sends single requests to the gateways as a caller.
type apiClient struct {
	fleet       *Fleet
	sendRequest standin.RequestFunc
}

// apiResponse is a response with all events of its stream.
type apiResponse struct {
	Status int
	Raw    string
	JSON   map[string]any
	Header map[string]string
	Events []standin.Event
}

// field returns a field of the JSON body by its path, "" when its parent is no object.
func (a apiResponse) field(names ...string) string {
	var value any = a.JSON
	for _, name := range names {
		inner, ok := value.(map[string]any)
		if !ok {
			return ""
		}
		value = inner[name]
	}
	return fmt.Sprint(value)
}

// finalResult returns how a turn ended, taken from an error status or from the last
// event of the stream: the verdict, whether the turn ran, and the error code.
func (a apiResponse) finalResult() (verdict, ran, code string) {
	if a.Status >= 400 {
		verdict = map[string]string{"not_run": "refused"}[a.field("error", "request")]
		if verdict == "" {
			verdict = "failed"
		}
		return verdict, a.field("error", "request"), a.field("error", "code")
	}
	if len(a.Events) == 0 || a.Events[len(a.Events)-1].Kind != "final" {
		return "none", "", ""
	}
	var final struct {
		Verdict string            `json:"verdict"`
		Ran     string            `json:"request"`
		Error   map[string]string `json:"error"`
	}
	_ = json.Unmarshal(a.Events[len(a.Events)-1].Data, &final)
	return final.Verdict, final.Ran, final.Error["code"]
}

func (t *apiClient) send(gateway int, method, path, secret string, body any, headers ...string) apiResponse {
	header := map[string]string{"authorization": "Bearer " + secret}
	for index := 0; index+1 < len(headers); index += 2 {
		header[headers[index]] = headers[index+1]
	}
	var raw []byte
	switch value := body.(type) {
	case nil:
	case string:
		raw = []byte(value)
	default:
		raw = base.MustMarshal(value)
	}
	answer, err := t.sendRequest(gateway, method, path, header, raw)
	if err != nil {
		return apiResponse{Raw: err.Error()}
	}
	response := apiResponse{Status: answer.Status, Raw: string(answer.Body), Header: answer.Header}
	_ = json.Unmarshal(answer.Body, &response.JSON)
	for answer.NextEvent != nil {
		event, ok := answer.NextEvent()
		if !ok {
			break
		}
		response.Events = append(response.Events, event)
	}
	return response
}

func (t *apiClient) createProgram(tokens int, extraFields map[string]any) (id, secret string) {
	body := map[string]any{"group": "g", "site": "main", "budget_tokens": tokens}
	for name, value := range extraFields {
		body[name] = value
	}
	created := t.send(0, "POST", "/v1/programs", "", body)
	return created.field("program"), created.field("secret")
}

func (t *apiClient) openSession(gateway int, program, secret string, extraFields map[string]any) (path, key string) {
	body := map[string]any{"route": "chat"}
	for name, value := range extraFields {
		body[name] = value
	}
	created := t.send(gateway, "POST", "/v1/programs/"+program+"/sessions", secret, body)
	return "/v1/programs/" + program + "/sessions/" + created.field("session"), created.field("secret")
}

func turnBody(program, turn string) map[string]any {
	return map[string]any{"messages": []standin.Message{{Role: "user", Content: "question " + standin.TurnTag(program, turn)}}, "max_output_tokens": 8}
}

func (t *apiClient) sendTurn(gateway int, path, key, program, id, previous string) apiResponse {
	headers := []string{"turn-id", id}
	if previous != "" {
		headers = append(headers, "previous-turn", previous)
	}
	return t.send(gateway, "POST", path+"/turns", key, turnBody(program, id), headers...)
}

func newFrontRequest(method, path, secret string, query map[string]string) *front.Request {
	return &front.Request{Method: method, Path: path, Query: query, Header: map[string]string{"authorization": "Bearer " + secret}}
}

func (t *apiClient) sleep(d time.Duration) { t.fleet.CallerHost.Clock().Sleep(d) }

// runScript runs a caller's steps on a fleet with seed 1 and checks the invariants.
func runScript(t *testing.T, shape Shape, steps func(is *is.I, f *Fleet, client *apiClient)) {
	t.Helper()
	runSeeds(t, 1, shape, func(t *testing.T, f *Fleet) {
		is := is.New(t)
		waitUntilFormed(t, f)
		done := false
		f.CallerHost.Go(func() {
			defer func() { done = true }()
			steps(is, f, &apiClient{f, f.RequestSender(f.CallerHost)})
		})
		is.True(f.World.Run(f.World.Now()+time.Hour, func() bool { return done })) // the steps ended within an hour
	})
}

// modelWorkerRuns counts how often a turn was sent to any model worker.
func (f *Fleet) modelWorkerRuns(program, turn string) int {
	total := 0
	for _, model := range f.Models {
		runs, _, _, _ := model.Stats()
		total += runs[program+"|"+turn]
	}
	return total
}

func (f *Fleet) toolWorkerRuns(key string) int {
	total := 0
	for _, tool := range f.Tools {
		total += tool.RunsByKey()[key]
	}
	return total
}

func TestTurnIDJoinsAndReplaysOneRun(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		joined := make([]apiResponse, 2)
		remaining := 2
		for index := range joined {
			f.CallerHost.Go(func() { joined[index] = client.sendTurn(index, path, key, program, "t1", ""); remaining-- })
		}
		for remaining > 0 {
			client.sleep(50 * time.Millisecond)
		}
		first, second := joined[0], joined[1]
		is.Equal(len(first.Events), 7)
		is.Equal(fmt.Sprint(first.Events), fmt.Sprint(second.Events))
		replay := client.send(1, "POST", path+"/turns", key, turnBody(program, "t1"), "turn-id", "t1", "last-event-id", first.Events[3].ID)
		is.Equal(fmt.Sprint(replay.Events), fmt.Sprint(first.Events[4:]))
		is.Equal(f.modelWorkerRuns(program, "t1"), 1)
		other := client.send(2, "POST", path+"/turns", key, turnBody(program, "else"), "turn-id", "t1")
		is.Equal(other.Status, 409)
		is.Equal(other.field("error", "code"), "turn_id_reused")
	})
}

func TestInvalidRequestsAreRejectedWithField(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, _ *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		programPath := "/v1/programs/" + program
		rows := []struct {
			method, path, secret string
			body                 any
			headers              []string
			status               int
			field                string
		}{
			{"POST", "/v1/programs", "", `{"group":`, nil, 400, "body"},
			{"POST", "/v1/programs", "", `{"group":"g","site":"main"}`, nil, 400, "budget_tokens"},
			{"POST", "/v1/programs", "", `{"group":"g","site":"main","budget_tokens":0}`, nil, 400, "budget_tokens"},
			{"POST", "/v1/programs", "", `{"group":"g","site":"main","budget_tokens":1.5}`, nil, 400, "budget_tokens"},
			{"POST", "/v1/programs", "", `{"group":"g","group":"g"}`, nil, 400, "group"},
			{"POST", "/v1/programs", "", `{"colour":1}`, nil, 400, "colour"},
			{"POST", "/v1/programs", "", `{"group":"g","site":"main","budget_tokens":1,"urgency":"panic"}`, nil, 400, "urgency"},
			{"POST", "/v1/programs", "", `{"group":"g","site":"none","budget_tokens":1}`, nil, 404, ""},
			{"POST", programPath + "/sessions", secret, `{"route":"none"}`, nil, 404, ""},
			{"POST", programPath + "/sessions", secret, `{"route":"loyalty"}`, nil, 400, "route"},
			{"POST", programPath + "/sessions", secret, `{"route":"chat","queue_size":0}`, nil, 400, "queue_size"},
			{"POST", programPath + "/sessions", "wrong", `{"route":"chat"}`, nil, 403, ""},
			{"POST", "/v1/programs/none/sessions", "wrong", `{"route":"chat"}`, nil, 404, ""},
			{"GET", programPath, "wrong", nil, nil, 403, ""},
			{"GET", path, "wrong", nil, nil, 403, ""},
			{"GET", programPath + "/sessions/" + program + ":none", key, nil, nil, 404, ""},
			{"POST", path + "/turns", key, `{}`, []string{"turn-id", "t"}, 400, "messages"},
			{"POST", path + "/turns", key, `{"messages":[]}`, nil, 400, "messages"},
			{"POST", path + "/turns", key, `{"messages":[{"role":"king","content":""}]}`, nil, 400, "messages[0].role"},
			{"POST", path + "/turns", key, `{"messages":[{"role":"user","content":3}]}`, nil, 400, "messages[0].content"},
			{"POST", path + "/turns", key, turnBody(program, "t"), []string{"turn-id", "a b"}, 400, "Turn-Id"},
			{"POST", path + "/turns", key, turnBody(program, "t"), []string{"last-event-id", "x"}, 400, "Last-Event-ID"},
			{"POST", path + "/turns", key, `{"messages":[{"role":"user","content":"` + strings.Repeat("x", 1<<20) + `"}]}`, nil, 413, ""},
			{"GET", path + "/turns/none", key, nil, nil, 404, ""},
			{"POST", path + "/terminate", key, `{"mode":"Soft"}`, nil, 400, "mode"},
			{"POST", programPath + "/tools/loyalty", secret, `{}`, nil, 400, "Idempotency-Key"},
			{"POST", programPath + "/tools/chat", secret, `{}`, []string{"idempotency-key", "k"}, 400, "route"},
			{"POST", programPath + "/tools/none", secret, `{}`, []string{"idempotency-key", "k"}, 404, ""},
			{"PUT", "/v1/platform/workers", "", `{"workers":[]}`, nil, 400, "stamp"},
			{"PUT", "/v1/platform/workers", "", `{"stamp":1,"workers":[]}`, nil, 409, ""},
			{"PUT", "/v1/platform/workers", "", `{"stamp":9,"workers":[{"id":"a","addr":"x:1","pool":"models"},{"id":"a","addr":"x:1","pool":"models"}]}`, nil, 400, "workers[1].id"},
			{"PUT", "/v1/platform/workers", "", `{"stamp":9,"workers":[{"id":"a","speed":1}]}`, nil, 400, "workers[0].speed"},
			{"POST", "/v1/platform/workers/a/usage", "", `{"load":1}`, nil, 400, "number"},
			{"DELETE", path, key, nil, nil, 404, ""},
		}
		for _, row := range rows {
			response := client.send(1, row.method, row.path, row.secret, row.body, row.headers...)
			name := row.method + " " + row.path + " " + fmt.Sprint(row.headers, row.status, row.field)
			is.Equal(name+fmt.Sprint(response.Status), name+fmt.Sprint(row.status))
			is.Equal(response.field("error", "request"), "not_run")
			is.True(response.field("error", "code") != "")
			if row.field != "" {
				is.Equal(response.field("error", "field"), row.field)
			}
		}
	})
}

func TestTurnListingPagesByCursor(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, _ *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		for _, id := range []string{"a", "b", "c"} {
			verdict, _, _ := client.sendTurn(1, path, key, program, id, "").finalResult()
			is.Equal(verdict, "success")
		}
		listed, cursor := "", ""
		listTurns := func(query map[string]string) (response map[string]any, status int) {
			edge := client.fleet.Gateways[2]
			reply := edge.gateway.Front.Handle(base.NewCtx(edge.Host.Clock(), time.Minute), newFrontRequest("GET", path+"/turns", key, query))
			_ = json.Unmarshal(reply.Body, &response)
			return response, reply.Status
		}
		for page := 0; page < 3; page++ {
			query := map[string]string{"limit": "1"}
			if cursor != "" {
				query["cursor"] = cursor
			}
			response, status := listTurns(query)
			is.Equal(status, 200)
			listed += response["turns"].([]any)[0].(map[string]any)["turn"].(string)
			cursor = response["next_cursor"].(string)
		}
		is.Equal(listed, "abc")
		is.Equal(cursor, "")
		for _, query := range []map[string]string{{"limit": "0"}, {"limit": "1001"}, {"limit": "x"}, {"cursor": "zzz"}, {"page": "1"}, {"cursor": "djE6b3RoZXI6MQ"}} {
			response, status := listTurns(query)
			is.Equal(status, 400)
			is.True(response["error"].(map[string]any)["field"] != "")
		}
		read := client.send(2, "GET", path+"/turns/b", key, nil)
		is.Equal(read.field("state"), "Succeeded")
		is.True(strings.Contains(read.field("answer"), "3 messages"))
	})
}

func TestSessionQueueIsBoundedAndOrdered(t *testing.T) {
	shape := SmallShape()
	shape.PieceInterval = 300 * time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(10000, nil)
		path, key := client.openSession(0, program, secret, map[string]any{"queue_size": 2})
		answers := map[string]apiResponse{}
		for _, id := range []string{"a", "b", "c", "d"} {
			f.CallerHost.Go(func() { answers[id] = client.sendTurn(0, path, key, program, id, "") })
			client.sleep(20 * time.Millisecond)
		}
		client.sleep(50 * time.Millisecond)
		is.Equal(answers["d"].Status, 429) // one runs, two wait, the fourth is rejected at once
		is.Equal(answers["d"].field("error", "code"), "queue_full")
		is.True(answers["d"].Header["Retry-After"] != "")
		status := client.send(1, "GET", path, key, nil) // reads bypass the queue
		is.Equal(status.field("queued"), "2")
		is.Equal(status.field("running_turn"), "a")
		again := client.sendTurn(1, path, key, program, "d", "")
		is.Equal(again.Status, 429) // a rejected id stays rejected
		cancelled := client.send(2, "POST", path+"/turns/c/cancel", key, nil)
		is.Equal(cancelled.field("state"), "Cancelled")
		for len(answers) < 4 {
			client.sleep(100 * time.Millisecond)
		}
		verdict, ran, _ := answers["c"].finalResult()
		is.Equal(verdict+ran, "refusednot_run")
		for _, id := range []string{"a", "b"} {
			verdict, _, _ := answers[id].finalResult()
			is.Equal(verdict, "success")
		}
		is.Equal(f.modelWorkerRuns(program, "c")+f.modelWorkerRuns(program, "d"), 0)
	})
}

func TestDrainFinishesAcceptedTurns(t *testing.T) {
	shape := SmallShape()
	shape.PieceInterval = 100 * time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(10000, nil)
		path, key := client.openSession(0, program, secret, nil)
		var running apiResponse
		f.CallerHost.Go(func() { running = client.sendTurn(1, path, key, program, "a", "") })
		client.sleep(150 * time.Millisecond)
		closing := client.send(2, "POST", path+"/close", key, nil)
		is.Equal(closing.field("phase"), "Finalizing")
		late := client.sendTurn(0, path, key, program, "b", "")
		is.Equal(late.Status, 503)
		is.Equal(late.field("error", "request"), "not_run")
		for running.Status == 0 {
			client.sleep(100 * time.Millisecond)
		}
		verdict, _, _ := running.finalResult()
		is.Equal(verdict, "success")
		client.sleep(time.Second)
		after := client.send(1, "GET", path, key, nil)
		is.Equal(after.field("phase"), "Succeeded")
		is.Equal(client.sendTurn(1, path, key, program, "c", "").field("error", "code"), "run_over")
		next := client.sendTurn(1, path, key, program, "d", "a") // the chain is kept after its Run ended
		verdict, _, _ = next.finalResult()
		is.Equal(verdict, "success")
		status := client.send(0, "GET", path, key, nil)
		is.Equal(status.field("phase"), "Ready")
		is.Equal(status.field("epoch"), "2")
		is.True(status.field("run") != after.field("run"))
		is.Equal(f.modelWorkerRuns(program, "b"), 0)
	})
}

func TestTerminationOnlyEscalates(t *testing.T) {
	shape := SmallShape()
	shape.PieceInterval = 400 * time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(10000, nil)
		path, key := client.openSession(0, program, secret, nil)
		var running, queued apiResponse
		f.CallerHost.Go(func() { running = client.sendTurn(1, path, key, program, "a", "") })
		client.sleep(50 * time.Millisecond)
		f.CallerHost.Go(func() { queued = client.sendTurn(1, path, key, program, "b", "") })
		client.sleep(600 * time.Millisecond)
		is.Equal(client.send(0, "POST", path+"/terminate", key, `{"mode":"Drain"}`).field("termination"), "Drain")
		is.Equal(client.send(0, "POST", path+"/terminate", key, `{"mode":"Immediate"}`).field("termination"), "Immediate")
		is.Equal(client.send(0, "POST", path+"/close", key, nil).field("termination"), "Immediate")
		for running.Status == 0 || queued.Status == 0 {
			client.sleep(50 * time.Millisecond)
		}
		verdict, ran, _ := queued.finalResult()
		is.Equal(verdict+ran, "refusednot_run")
		_, ran, _ = running.finalResult()
		is.Equal(ran, "may_have_run")
		client.sleep(time.Second)
		is.Equal(client.send(2, "GET", path, key, nil).field("phase"), "Cancelled")
		is.Equal(f.modelWorkerRuns(program, "b"), 0)
	})
}

func TestBudgetIsSharedWithHelperPrograms(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(30, nil)
		helper := client.send(1, "POST", "/v1/programs", secret, map[string]any{"parent": program, "program": "helper"})
		is.Equal(helper.Status, 201)
		is.Equal(client.send(1, "POST", "/v1/programs", "wrong", map[string]any{"parent": program}).Status, 403)
		paths := [][3]string{}
		for index := 0; index < 6; index++ {
			owner, ownerSecret := program, secret
			if index%2 == 1 {
				owner, ownerSecret = helper.field("program"), helper.field("secret")
			}
			path, key := client.openSession(index, owner, ownerSecret, nil)
			paths = append(paths, [3]string{path, key, owner})
		}
		answers := make([]apiResponse, len(paths))
		remaining := len(paths)
		for index, session := range paths {
			f.CallerHost.Go(func() {
				answers[index] = client.sendTurn(index, session[0], session[1], session[2], fmt.Sprint("t", index), "")
				remaining--
			})
		}
		for remaining > 0 {
			client.sleep(100 * time.Millisecond)
		}
		completed, overBudget := 0, 0
		for index, answer := range answers {
			verdict, ran, code := answer.finalResult()
			if verdict == "success" {
				completed++
			}
			if code == "over_budget" {
				overBudget++
				is.Equal(ran, "not_run")
				is.Equal(f.modelWorkerRuns(paths[index][2], fmt.Sprint("t", index)), 0)
			}
		}
		is.True(completed >= 3 && overBudget >= 1)
		produced := int64(0)
		for _, model := range f.Models {
			_, tokens, _, _ := model.Stats()
			for _, n := range tokens {
				produced += n
			}
		}
		is.True(produced <= 30)
		programView := client.send(2, "GET", "/v1/programs/"+program, secret, nil)
		is.Equal(programView.field("spent_tokens"), fmt.Sprint(produced))
		is.Equal(programView.field("reserved_tokens"), "0")
	})
}

func TestDeadlineAndProgramTermination(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, map[string]any{"deadline_s": 5})
		path, key := client.openSession(0, program, secret, nil)
		verdict, _, _ := client.sendTurn(1, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
		client.sleep(6 * time.Second)
		_, ran, code := client.sendTurn(1, path, key, program, "b", "").finalResult()
		is.Equal(code+ran, "past_deadlinenot_run")
		is.Equal(f.modelWorkerRuns(program, "b"), 0)

		ending, secret := client.createProgram(1000, nil)
		path, key = client.openSession(0, ending, secret, nil)
		is.Equal(client.send(1, "POST", "/v1/programs/"+ending+"/terminate", secret, `{"mode":"Drain"}`).field("termination"), "Drain")
		is.Equal(client.send(1, "POST", "/v1/programs/"+ending+"/sessions", secret, `{"route":"chat"}`).Status, 503)
		is.Equal(client.send(1, "POST", "/v1/programs/"+ending+"/tools/loyalty", secret, `{}`, "idempotency-key", "k").Status, 503)
		client.sleep(2 * time.Second)
		is.Equal(client.send(2, "GET", path, key, nil).field("phase"), "Succeeded")
	})
}

func TestLeaseExpiryEndsRunAndKeepsHistory(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, _ *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, map[string]any{"lease_s": 2})
		for index := 0; index < 4; index++ { // requests that reach the owner renew the lease
			client.sleep(1500 * time.Millisecond)
			is.Equal(client.send(1, "POST", path+"/renew", key, nil).field("phase"), "Ready")
		}
		verdict, _, _ := client.sendTurn(1, path, key, program, "a", "").finalResult()
		is.Equal(verdict, "success")
		client.sleep(4 * time.Second)
		ended := client.send(2, "GET", path, key, nil)
		is.Equal(ended.field("phase"), "Failed")
		is.Equal(ended.field("reason"), "lease_expired")
		verdict, _, _ = client.sendTurn(1, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
		is.Equal(client.send(2, "GET", path, key, nil).field("turns"), "2")
	})
}

func TestToolCallWithLostAnswerIsNotRepeated(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(100, nil)
		path := "/v1/programs/" + program + "/tools/loyalty"
		for _, tool := range f.Tools {
			tool.NextFault = func() standin.Fault { return standin.FaultNoResponse } // the call runs and its answer is lost
		}
		first := client.send(0, "POST", path, secret, `{"points":1}`, "idempotency-key", "k1")
		is.Equal(first.field("error", "request"), "may_have_run")
		for _, tool := range f.Tools {
			tool.NextFault = nil
		}
		again := client.send(1, "POST", path, secret, `{"points":1}`, "idempotency-key", "k1")
		is.Equal(again.field("error", "request"), "may_have_run")
		is.Equal(f.toolWorkerRuns(program+"/k1"), 1)
		done := client.send(1, "POST", path, secret, `{"points":2}`, "idempotency-key", "k2")
		is.Equal(done.Status, 200)
		replayed := client.send(2, "POST", path, secret, `{"points":2}`, "idempotency-key", "k2")
		is.Equal(replayed.Raw, done.Raw)
		is.Equal(replayed.Header["Idempotent-Replayed"], "true")
		is.Equal(f.toolWorkerRuns(program+"/k2"), 1)
		is.Equal(client.send(2, "POST", path, secret, `{"points":3}`, "idempotency-key", "k2").field("error", "code"), "key_reused")
		// A call to an unreachable worker has not run, so another worker gets it.
		f.World.Hosts["app-0"].Kill()
		for index := 0; index < 4; index++ {
			is.Equal(client.send(index, "POST", path, secret, `{}`, "idempotency-key", fmt.Sprint("up", index)).Status, 200)
		}
		f.World.Hosts["app-1"].Kill()
		down := client.send(0, "POST", path, secret, `{}`, "idempotency-key", "down")
		is.Equal(down.Status, 503)
		is.Equal(down.field("error", "request"), "not_run")
		f.World.Hosts["app-1"].alive = true
		client.sleep(2 * time.Second)
		is.Equal(client.send(0, "POST", path, secret, `{}`, "idempotency-key", "down").Status, 200) // it has not run, so it may run now
		is.Equal(f.toolWorkerRuns(program+"/down"), 1)
	})
}

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	for _, variant := range []string{"report", "list", "refusal", "closing"} {
		t.Run(variant, func(t *testing.T) {
			runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
				program, secret := client.createProgram(100000, nil)
				path, key := client.openSession(0, program, secret, nil)
				previous := ""
				for num := 0; num < 3; num++ {
					id := fmt.Sprint("t", num)
					client.sendTurn(num, path, key, program, id, previous)
					previous = id
				}
				leaving := f.Models[0]
				if f.Models[1].LastRunTime() > leaving.LastRunTime() {
					leaving = f.Models[1]
				}
				switch variant {
				case "report":
					is.Equal(client.send(2, "POST", "/v1/platform/workers/"+leaving.ID+"/usage", "", `{"number":5,"leaving":true}`).Status, 200)
				case "list":
					is.Equal(client.send(2, "PATCH", "/v1/platform/workers", "", map[string]any{"stamp": 2, "remove": []string{leaving.ID}}).Status, 200)
				case "closing":
					leaving.CloseConnections = true
				case "refusal":
					leaving.NextFault = func() standin.Fault { return standin.FaultUnavailable }
				}
				knownAt := f.World.Now()
				for num := 3; num < 30; num++ {
					id := fmt.Sprint("t", num)
					verdict, _, _ := client.sendTurn(num, path, key, program, id, previous).finalResult()
					is.Equal(verdict, "success")
					previous = id
					if (variant == "refusal" || variant == "closing") && num == 5 {
						leaving.NextFault, leaving.CloseConnections = nil, false // it would accept requests again
						knownAt = f.World.Now()
					}
				}
				is.True(f.World.Now() > knownAt+3*time.Second)
				is.True(leaving.LastRunTime() <= knownAt+3*time.Second)
				if variant != "list" {
					returned := client.send(1, "POST", "/v1/platform/workers/"+leaving.ID+"/usage", "", `{"number":9,"incarnation":"two","leaving":false}`)
					is.Equal(returned.Status, 200)
				}
			})
		})
	}
}

func TestUnderstudyContinuesFromItsCopy(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(10000, nil)
		path, key := client.openSession(0, program, secret, nil)
		for num, previous := range []string{"", "t0", "t1"} {
			verdict, _, _ := client.sendTurn(1, path, key, program, fmt.Sprint("t", num), previous).finalResult()
			is.Equal(verdict, "success")
		}
		before := client.send(1, "GET", path, key, nil)
		is.True(strings.HasPrefix(before.field("owner"), "edge-0"))
		is.True(strings.HasPrefix(before.field("understudy"), "edge-1")) // the standby is in the other zone
		f.Kill(f.Gateways[0])
		startedAt := f.World.Now()
		verdict, _, _ := client.sendTurn(2, path, key, program, "t3", "t2").finalResult()
		is.Equal(verdict, "success")
		is.True(f.World.Now()-startedAt < 2*time.Second) // the takeover is a short pause
		after := client.send(2, "GET", path, key, nil)
		is.Equal(after.field("owner"), before.field("understudy"))
		is.Equal(after.field("epoch"), "2")
		is.Equal(f.CounterTotal("chains_read_from_register"), int64(0))
		// After the next loss, the new standby has caught up and takes over.
		client.sleep(2 * time.Second)
		f.Kill(f.Gateways[1])
		verdict, _, _ = client.sendTurn(2, path, key, program, "t4", "t3").finalResult()
		is.Equal(verdict, "success")
		is.Equal(client.send(2, "GET", path, key, nil).field("turns"), "5")
	})
}

// TestOwnerChecksAssignmentAndForwardsOnce: a node refuses a request for an assignment
// that it does not hold and does not forward it again.
func TestOwnerChecksAssignmentAndForwardsOnce(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		client.sendTurn(0, path, key, program, "a", "")
		forwarded := f.CounterTotal("visits_forwarded")
		is.Equal(client.send(1, "GET", path, key, nil).Status, 200)
		is.Equal(f.CounterTotal("visits_forwarded"), forwarded+1)
		// Two changes of owner leave gateway 2 with an old assignment, which it looks up
		// once more.
		is.Equal(client.send(2, "GET", path, key, nil).Status, 200)
		f.Kill(f.Gateways[0])
		f.Start(f.Gateways[0]) // a new incarnation at the same address, which others take for the old one
		verdict, _, _ := client.sendTurn(1, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
		is.Equal(client.send(2, "GET", path, key, nil).field("epoch"), "2")
		verdict, _, _ = client.sendTurn(0, path, key, program, "c", "b").finalResult()
		is.Equal(verdict, "success")
	})
}

func reverse(list []string) []string {
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	return reversed
}

// TestUrgentProgramsGoFirstWithoutStarvation: when workers are full, urgent programs go
// first, and programs of low urgency still finish.
func TestUrgentProgramsGoFirstWithoutStarvation(t *testing.T) {
	shape := SmallShape()
	shape.ModelWorkers, shape.WorkerCapacity, shape.PieceInterval = 1, 1, 100*time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
		order := []string{}
		remaining := 0
		start := func(name, urgency string) {
			program, secret := client.createProgram(1000, map[string]any{"urgency": urgency})
			path, key := client.openSession(0, program, secret, nil)
			remaining++
			f.CallerHost.Go(func() {
				verdict, _, _ := client.sendTurn(0, path, key, program, "t", "").finalResult()
				order = append(order, name+" "+verdict)
				remaining--
			})
			client.sleep(30 * time.Millisecond)
		}
		start("first", "low")
		start("low", "low")
		start("urgent", "urgent")
		for remaining > 0 {
			client.sleep(100 * time.Millisecond)
		}
		is.Equal(order, []string{"first success", "urgent success", "low success"})
		for index := 0; index < 8; index++ {
			start("old", "low")
			start("rush", "urgent")
		}
		for remaining > 0 {
			client.sleep(100 * time.Millisecond)
		}
		is.True(slices.Index(order, "old success") < len(order)-slices.Index(reverse(order), "rush success")-1) // an old program ends before the last urgent one
		for _, result := range order {
			is.True(strings.HasSuffix(result, " success"))
		}
	})
}

// TestWorkerFaultsAreNeverReportedAsSuccess runs a turn under each fault of a model
// worker.
func TestWorkerFaultsAreNeverReportedAsSuccess(t *testing.T) {
	shape := SmallShape()
	shape.Settings = strings.Replace(DefaultSettings, `"operation_timeout_s":30`, `"operation_timeout_s":10,"legs":1`, 1)
	for fault, want := range map[standin.Fault]string{
		standin.FaultCut: "cut may_have_run", standin.FaultMalformed: "cut may_have_run", standin.FaultNoFinishReason: "cut may_have_run", standin.FaultIgnoreTokenLimit: "cut may_have_run",
		standin.FaultHang: "cut may_have_run", standin.FaultInternalError: "failed may_have_run", standin.FaultNoResponse: "failed may_have_run", standin.FaultUnavailable: "refused not_run",
	} {
		t.Run(string(fault), func(t *testing.T) {
			runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
				for _, model := range f.Models {
					model.NextFault = func() standin.Fault { return fault }
				}
				program, secret := client.createProgram(100, nil)
				path, key := client.openSession(0, program, secret, nil)
				body := turnBody(program, "t")
				body["max_output_tokens"] = 3 // the worker has six pieces, so an overrun is seen
				response := client.send(1, "POST", path+"/turns", key, body, "turn-id", "t")
				verdict, ran, _ := response.finalResult()
				is.Equal(verdict+" "+ran, want)
				is.Equal(client.send(1, "GET", path+"/turns/t", key, nil).field("answer"), "<nil>")
				if ran == "not_run" {
					is.Equal(f.modelWorkerRuns(program, "t"), 0)
				} else { // a turn that is not known to have ended is charged in full
					is.Equal(client.send(1, "GET", "/v1/programs/"+program, secret, nil).field("spent_tokens"), "3")
				}
			})
		})
	}
}

// TestLeavingBusyWorkerFinishesItsRequest: a worker that leaves while it is busy finishes
// its request and gets no other.
func TestLeavingBusyWorkerFinishesItsRequest(t *testing.T) {
	shape := SmallShape()
	shape.PieceInterval = 500 * time.Millisecond
	runScript(t, shape, func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		var running apiResponse
		f.CallerHost.Go(func() { running = client.sendTurn(1, path, key, program, "a", "") })
		client.sleep(700 * time.Millisecond)
		busy := f.Models[0]
		if f.Models[1].ActiveAnswers() > 0 {
			busy = f.Models[1]
		}
		is.Equal(busy.ActiveAnswers(), 1)
		is.Equal(client.send(2, "PATCH", "/v1/platform/workers", "", map[string]any{"stamp": 2, "remove": []string{busy.ID}}).Status, 200)
		is.Equal(client.send(2, "POST", "/v1/platform/workers/"+busy.ID+"/usage", "", `{"number":5,"leaving":true}`).Status, 200)
		for running.Status == 0 {
			client.sleep(100 * time.Millisecond)
		}
		verdict, _, _ := running.finalResult()
		is.Equal(verdict, "success")
		verdict, _, _ = client.sendTurn(1, path, key, program, "b", "a").finalResult()
		is.Equal(verdict, "success")
		_, _, runs, _ := busy.Stats()
		is.Equal(runs, 1) // the next turn went to the other worker
	})
}

// TestDelayedAttemptSkipsWorkerThatLeft: a gateway that is isolated from the cores holds
// an attempt of a turn; once it has the control state again, it does not send the
// attempt to a worker that has left meanwhile.
func TestDelayedAttemptSkipsWorkerThatLeft(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, client *apiClient) {
		program, secret := client.createProgram(1000, nil)
		path, key := client.openSession(0, program, secret, nil)
		client.sendTurn(0, path, key, program, "a", "")
		lastUsed, other := f.Models[0], f.Models[1]
		if other.LastRunTime() > lastUsed.LastRunTime() {
			lastUsed, other = other, lastUsed
		}
		for _, m := range f.Cores {
			f.Net.CutLink(f.Gateways[0].Host.Name, m.Host.Name)
		}
		var delayedTurn apiResponse
		f.CallerHost.Go(func() { delayedTurn = client.sendTurn(0, path, key, program, "b", "a") })
		client.sleep(200 * time.Millisecond)
		is.Equal(client.send(1, "PATCH", "/v1/platform/workers", "", map[string]any{"stamp": 2, "remove": []string{lastUsed.ID}}).Status, 200)
		removedAt := f.World.Now()
		client.sleep(4 * time.Second)
		f.Net.Heal()
		for delayedTurn.Status == 0 {
			client.sleep(100 * time.Millisecond)
		}
		verdict, _, _ := delayedTurn.finalResult()
		is.Equal(verdict, "success")
		is.True(lastUsed.LastRunTime() < removedAt && other.LastRunTime() > removedAt)
	})
}
