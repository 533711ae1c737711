package simulate

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/register"
	"fordseam/internal/session"

	"google.golang.org/protobuf/proto"
)

// protoResponse returns a successful response with an encoded message.
func protoResponse(message proto.Message) *http.Response {
	recorder := httptest.NewRecorder()
	recorder.Header().Set("Content-Type", "application/protobuf")
	raw, _ := proto.Marshal(message)
	_, _ = recorder.Write(raw)
	return recorder.Result()
}

// forwardAndDecode forwards a message and decodes the reply. The response is nil when
// none was received.
func forwardAndDecode[M proto.Message](m *Message, body []byte, reply M) (M, *http.Response) {
	response, err := m.Forward(body)
	if err != nil || response == nil {
		return reply, nil
	}
	raw, _ := io.ReadAll(response.Body)
	response.Body = io.NopCloser(strings.NewReader(string(raw)))
	if response.StatusCode == 200 {
		_ = proto.Unmarshal(raw, reply)
	}
	return reply, response
}

// interceptChange intercepts one operation of the register, or all when op is "".
func interceptChange(op string, modify func(m *Message, request *register.ChangeRequest, pass func(op string, args []byte) (*register.ChangeReply, *http.Response)) *http.Response) func(f *Fleet) {
	return func(f *Fleet) {
		f.Net.Intercept = func(m *Message) *http.Response {
			var request register.ChangeRequest
			if strings.HasSuffix(m.Path, "Register/Change") && proto.Unmarshal(m.Body, &request) == nil && (request.Op == op || op == "") {
				return modify(m, &request, func(op string, args []byte) (*register.ChangeReply, *http.Response) {
					raw, _ := proto.Marshal(&register.ChangeRequest{Group: request.Group, Op: op, Args: args})
					return forwardAndDecode(m, raw, &register.ChangeReply{})
				})
			}
			response, _ := m.Forward(m.Body)
			return response
		}
	}
}

// interceptPath intercepts the messages whose path has a suffix.
func interceptPath(suffix string, modify func(m *Message) *http.Response) func(f *Fleet) {
	return func(f *Fleet) {
		f.Net.Intercept = func(m *Message) *http.Response {
			if strings.HasSuffix(m.Path, suffix) {
				return modify(m)
			}
			response, _ := m.Forward(m.Body)
			return response
		}
	}
}

// TestDisabledMechanismsAreDetected disables each mechanism that guards an invariant,
// from outside the daemons' code where possible. The checks that every run makes must
// then report a violation for some seed; otherwise nothing would show that the
// mechanism is needed or that the checks work.
func TestDisabledMechanismsAreDetected(t *testing.T) {
	rows := []struct {
		mechanism string
		scenario  string
		shape     string
		disable   func(f *Fleet)
		breach    string
	}{
		{"the claim on a tool call's key", "workers in trouble", "small", interceptChange("toolcall.claim", func(_ *Message, _ *register.ChangeRequest, _ func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			return protoResponse(&register.ChangeReply{Result: []byte(`{"go":true}`)})
		}), "ran 2 times"},
		{"the reservation of tokens", "nothing but load", "small", interceptChange("session.reserve", func(_ *Message, request *register.ChangeRequest, pass func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			var args struct {
				Tokens int64 `json:"tokens"`
			}
			_ = json.Unmarshal(request.Args, &args)
			reply, response := pass("session.get", request.Args)
			if response == nil || len(reply.Result) == 0 {
				return response
			}
			var result map[string]any
			_ = json.Unmarshal(reply.Result, &result)
			result["granted"] = args.Tokens
			return protoResponse(&register.ChangeReply{Result: base.MustMarshal(result)})
		}), "tokens of a budget of"},
		{"the memory of lost legs", "everything at once", "small", interceptChange("", func(m *Message, request *register.ChangeRequest, pass func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			reply, response := pass(request.Op, request.Args)
			if request.Op == "session.refuse" && response != nil && len(reply.Result) > 0 {
				return protoResponse(&register.ChangeReply{Result: []byte(`{"refused":true}`)}) // without the mechanism, such a turn is refused and not marked
			}
			if response == nil || !strings.Contains(string(reply.Result), `"unsure"`) {
				return response
			}
			var result map[string]any
			_ = json.Unmarshal(reply.Result, &result)
			delete(result["record"].(map[string]any), "unsure")
			return protoResponse(&register.ChangeReply{Result: base.MustMarshal(result)})
		}), "was refused"},
		{"the chain on a majority", "edges killed", "small", interceptChange("session.finish", func(_ *Message, request *register.ChangeRequest, pass func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			_, response := pass("session.get", request.Args)
			return response
		}), "history of"},
		{"the fence of a request whose reply was lost", "a storm", "small", interceptPath("Owner/Withdraw", func(*Message) *http.Response {
			return protoResponse(&session.WithdrawReply{Fenced: true})
		}), "was refused"},
		{"pieces pulled by place", "edges killed", "small", interceptPath("Owner/Pull", func(m *Message) *http.Response {
			var request session.PullRequest
			_ = proto.Unmarshal(m.Body, &request)
			request.Place = max(request.Place, 1) - 1
			raw, _ := proto.Marshal(&request)
			response, _ := m.Forward(raw)
			return response
		}), "pieces skipped, repeated or mixed in from another run"},
		{"the end mark of an answer", "workers in trouble", "small", func(f *Fleet) { f.disabled.endMarker = true }, "was reported complete but reads"},
		{"the stamp that a change is based on", "nothing but load", "small", interceptChange("settings.apply", func(_ *Message, request *register.ChangeRequest, pass func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			current, response := pass("settings.get", []byte("{}"))
			var record struct {
				Stamp uint64 `json:"stamp"`
			}
			var change map[string]any
			if response == nil || json.Unmarshal(current.Result, &record) != nil {
				return response
			}
			_ = json.Unmarshal(request.Args, &change)
			change["based_on"] = record.Stamp
			_, response = pass("settings.apply", base.MustMarshal(change))
			return response
		}), "a losing change was acknowledged"},
		{"the fence of a refused change", "a zone lost", "small", interceptChange("settings.outcome", func(*Message, *register.ChangeRequest, func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			return protoResponse(&register.ChangeReply{Result: []byte(`{"outcome":"refused","stamp":1}`)})
		}), "refused change"},
		{"the permit", "a machine cut off", "small", interceptPath("Feed/Follow", func(m *Message) *http.Response {
			var request feed.FollowRequest
			_ = proto.Unmarshal(m.Body, &request)
			response, _ := m.Forward(m.Body)
			if response == nil && request.Place > 0 {
				return protoResponse(&feed.FollowReply{Place: request.Place})
			}
			return response
		}), "serves settings of stamp"},
		{"an owner's proof of its epoch", "a zone cut off", "kiondo", interceptPath("Disk/Confirm", func(*Message) *http.Response {
			return protoResponse(&register.Ack{Ok: true})
		}), "serves settings of stamp"},
		{"the fence of a former owner's epoch", "cores frozen and woken", "small", func(f *Fleet) {
			f.Net.Intercept = func(m *Message) *http.Response {
				if !strings.Contains(m.Path, "register.Disk/") || strings.HasSuffix(m.Path, "Promise") {
					response, _ := m.Forward(m.Body)
					return response
				}
				ack, response := forwardAndDecode(m, m.Body, &register.Ack{})
				if response == nil || ack.Why != "epoch" {
					return response
				}
				var request register.AppendRequest
				_ = proto.Unmarshal(m.Body, &request)
				for _, entry := range request.Entries {
					ack.Seq = entry.Seq
				}
				return protoResponse(&register.Ack{Ok: true, Seq: ack.Seq})
			}
		}, "history of"},
		{"a majority of disks", "total outages", "small", interceptPath("Disk/Append", func(m *Message) *http.Response {
			var request register.AppendRequest
			_ = proto.Unmarshal(m.Body, &request)
			if m.To.Name == "storage-0" || len(request.Entries) == 0 {
				response, _ := m.Forward(m.Body)
				return response
			}
			return protoResponse(&register.Ack{Ok: true, Seq: request.Entries[len(request.Entries)-1].Seq})
		}), "history of"},
		{"syncing before the answer", "total outages", "small", func(f *Fleet) {
			for _, m := range f.Storage {
				m.Disk.IgnoresSync = true
			}
		}, "service was back"},
		{"news of leaving workers", "nothing but load", "small", interceptPath("Feed/Follow", func(m *Message) *http.Response {
			reply, response := forwardAndDecode(m, m.Body, &feed.FollowReply{})
			if response == nil || response.StatusCode != 200 {
				return response
			}
			reply.Puts = base.Filter(reply.Puts, func(put *register.Put) bool {
				return !strings.HasPrefix(put.Key, "feed/leaving/") && (put.Key != "feed/workers" || strings.Contains(string(put.Value), `"stamp":1,`))
			})
			return protoResponse(reply)
		}), "got new work"},
		{"the hand-over of a planned stop", "planned stops", "small", func(f *Fleet) { f.disabled.gracefulStop = true }, "planned stop"},
		{"addresses to begin with", "total outages", "small", func(f *Fleet) {
			f.CallerHost.Go(func() { f.CallerHost.Clock().Sleep(1); f.disabled.seeds = true })
		}, "service was back"},
	}
	for _, row := range rows {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 48 // the first seed with a violation ends the search
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				scenario := *FindScenario(row.scenario)
				scenario.Timeout = time.Minute // a permanent fault shows within the first minute
				outcome := scenario.RunWith(seed, Shapes[row.shape](), row.disable)
				for _, breach := range outcome.Breaches {
					if strings.Contains(breach, row.breach) {
						t.Logf("without %s, %q at size %s: seed %d: %s", row.mechanism, row.scenario, row.shape, seed, breach)
						return
					}
				}
				t.Logf("seed %d: %q", seed, outcome.Breaches)
			}
			t.Errorf("none of %d seeds of %q reported a breach with %q", maxSeeds, row.scenario, row.breach)
		})
	}
}
