package simulate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/ledger"
	"fordseam/internal/line"
	"fordseam/internal/register"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"google.golang.org/protobuf/proto"
)

// interceptFeed changes the replies to the feed's followers.
func interceptFeed(modify func(m *Message, reply *feed.FollowReply)) func(f *Fleet) {
	return interceptPath("Feed/Follow", func(m *Message) *http.Response {
		reply, response := forwardAndDecode(m, m.Body, &feed.FollowReply{})
		if response == nil || response.StatusCode != 200 {
			return response
		}
		modify(m, reply)
		return protoResponse(reply)
	})
}

// interceptLedger changes the replies of the storage machines to gateways.
func interceptLedger(f *Fleet, begin func(request *ledger.BeginRequest, reply *ledger.BeginReply), write func(reply *ledger.WriteReply), chain func(reply *ledger.ChainReply)) {
	f.Net.Intercept = func(m *Message) *http.Response {
		pass := func(reply proto.Message, change func()) *http.Response {
			_, response := forwardAndDecode(m, m.Body, reply)
			if response == nil || response.StatusCode != 200 {
				return response
			}
			change()
			return protoResponse(reply)
		}
		switch {
		case begin != nil && strings.HasSuffix(m.Path, "Ledger/Begin"):
			var request ledger.BeginRequest
			_ = proto.Unmarshal(m.Body, &request)
			reply := &ledger.BeginReply{}
			return pass(reply, func() { begin(&request, reply) })
		case write != nil && (strings.HasSuffix(m.Path, "Ledger/Finish") || strings.HasSuffix(m.Path, "Ledger/Settle")):
			reply := &ledger.WriteReply{}
			return pass(reply, func() { write(reply) })
		case chain != nil && strings.HasSuffix(m.Path, "Ledger/Chain"):
			reply := &ledger.ChainReply{}
			return pass(reply, func() { chain(reply) })
		}
		response, _ := m.Forward(m.Body)
		return response
	}
}

// delayCatchUp makes storage machines fetch missing turns slowly, though within the time
// that they have to catch up.
func delayCatchUp(f *Fleet) {
	pass := f.Net.Intercept
	f.Net.Intercept = func(m *Message) *http.Response {
		if strings.HasSuffix(m.Path, "Ledger/Offer") {
			m.From.Clock().Sleep(time.Second)
		}
		if pass != nil {
			return pass(m)
		}
		response, _ := m.Forward(m.Body)
		return response
	}
}

func TestSlowCatchUpLosesNothing(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		outcome := FindTierScenario("stores wiped in turn, owners killed").RunWith(seed, TierShapes["small"](), func(t *Tier) { delayCatchUp(t.Fleet) })
		for _, breach := range outcome.Breaches {
			t.Errorf("seed %d: %s", seed, breach)
		}
	}
}

// TestDisabledTierMechanismsAreDetected disables each mechanism that a rule of the
// platform depends on, from outside the daemons' code. The checker must then report a
// violation of that rule for some seed.
func TestDisabledTierMechanismsAreDetected(t *testing.T) {
	rows := []struct {
		mechanism string
		scenario  string
		disable   func(t *Tier)
		breach    string
		shape     string // small unless set
	}{
		{"the fence of a Run that was succeeded", "sessions wander, edges frozen", func(t *Tier) {
			interceptLedger(t.Fleet, func(request *ledger.BeginRequest, reply *ledger.BeginReply) {
				if reply.Ack.GetWhy() == "held" {
					reply.Ack, reply.Holder = &ledger.Ack{Whole: true}, request.Claim
				}
			}, nil, nil)
		}, "BUDGET", ""},
		{"writes on one store more than may be lost", "stores wiped in turn, owners killed", func(t *Tier) {
			first := map[string]string{}
			t.Net.Intercept = func(m *Message) *http.Response {
				isFirstStore := func(program, turn string) bool {
					key := m.Path + " " + program + " " + turn
					if first[key] == "" {
						first[key] = m.To.Name
					}
					return first[key] == m.To.Name
				}
				switch {
				case strings.HasSuffix(m.Path, "Ledger/Begin"):
					var request ledger.BeginRequest
					if _ = proto.Unmarshal(m.Body, &request); !isFirstStore(request.Program, request.Turn) {
						return protoResponse(&ledger.BeginReply{Ack: &ledger.Ack{Whole: true}, Holder: request.Claim})
					}
				case strings.HasSuffix(m.Path, "Ledger/Finish"):
					var request ledger.FinishRequest
					if _ = proto.Unmarshal(m.Body, &request); !isFirstStore(request.Program, request.Turn) {
						return protoResponse(&ledger.WriteReply{Ack: &ledger.Ack{Whole: true}, Holder: request.Claim})
					}
				}
				response, _ := m.Forward(m.Body)
				return response
			}
		}, "LOST", ""},
		{"the wholeness of blank stores", "stores wiped in turn, owners killed", func(t *Tier) {
			markWhole := func(ack *ledger.Ack) {
				if ack.GetWhy() == "" || ack.GetWhy() == "blank" {
					ack.Why, ack.Whole = "", true
				}
			}
			interceptLedger(t.Fleet, func(request *ledger.BeginRequest, reply *ledger.BeginReply) {
				if markWhole(reply.Ack); reply.Holder == nil {
					reply.Holder = request.Claim
				}
			}, func(reply *ledger.WriteReply) { markWhole(reply.Ack) }, func(reply *ledger.ChainReply) { markWhole(reply.Ack) })
			delayCatchUp(t.Fleet)
		}, "LOST", ""},
		{"the reservation of tokens", "quiet", func(t *Tier) {
			for index := range t.Site.Classes {
				t.Site.Classes[index].RunawayProbability = 0.3
			}
			interceptLedger(t.Fleet, func(_ *ledger.BeginRequest, reply *ledger.BeginReply) { reply.Others = nil }, nil, nil)
		}, "BUDGET", ""},
		{"the reservation of tokens of turns that are not kept", "quiet", func(t *Tier) {
			interceptLedger(t.Fleet, func(_ *ledger.BeginRequest, reply *ledger.BeginReply) { reply.Others = nil }, nil, nil)
		}, "BUDGET", "roaming"},
		{"the worker's id on each request", "workers crash", func(t *Tier) { t.disabled.expectedID = true }, "ROUTE", ""},
		{"the id that an answer carries back", "answers garbled, cut, late and extra", func(t *Tier) { t.disabled.answerID = true }, "MIXED", ""},
		{"proof that a worker has not run a request", "answer_lost at plain workers", func(t *Tier) { t.disabled.notRunProof = true }, "TWICE", ""},
		{"proof that a refused request has not run", "answer_lost at plain workers", func(t *Tier) { t.disabled.notRunProof = true }, "REFUSED", ""},
		{"pieces pulled by place", "sessions wander, edges killed", func(t *Tier) {
			interceptPath("line.Owner/Pull", func(m *Message) *http.Response {
				var request line.PullRequest
				_ = proto.Unmarshal(m.Body, &request)
				request.Place = max(request.Place, 1) - 1
				raw, _ := proto.Marshal(&request)
				response, _ := m.Forward(raw)
				return response
			})(t.Fleet)
		}, "ORDER", ""},
		{"a turn's place in its chain", "sessions wander, edges killed", func(t *Tier) {
			interceptLedger(t.Fleet, nil, nil, func(reply *ledger.ChainReply) {
				for _, turn := range reply.Turns {
					turn.Previous = ""
				}
			})
		}, "UNASKED", ""},
		{"news of workers that leave", "release of plain workers", func(t *Tier) {
			interceptFeed(func(_ *Message, reply *feed.FollowReply) {
				reply.Puts = base.Filter(reply.Puts, func(put *register.Put) bool {
					return !strings.HasPrefix(put.Key, relay.RosterKeyPrefix) || len(put.Value) > 0 && !strings.Contains(string(put.Value), `"d":true`)
				})
			})(t.Fleet)
		}, "DRAIN", ""},
		{"the last look at the list before a request leaves", "release with a short drain, connections slow to come up", func(t *Tier) { t.disabled.finalListCheck = true }, "DRAIN", ""},
		{"a follower's place that never falls", "config_change", func(t *Tier) {
			// An older reply that is taken for a new one brings the older configuration back.
			var older []byte
			replyCount := map[string]int{}
			interceptFeed(func(m *Message, reply *feed.FollowReply) {
				for _, put := range reply.Puts {
					if put.Key != route.FeedKey {
						continue
					}
					if older == nil {
						older = put.Value
					}
					if replyCount[m.From.Name]++; replyCount[m.From.Name]%2 == 1 {
						put.Value = older
					}
				}
			})(t.Fleet)
		}, "CONFIG", ""},
		{"the version that a configuration builds on", "config_race", func(t *Tier) {
			interceptChange("route.change", func(_ *Message, request *register.ChangeRequest, pass func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
				var response *http.Response
				for range 5 {
					var current *register.ChangeReply
					var document route.Document
					var change map[string]any
					current, response = pass("route.read", []byte("{}"))
					if response == nil || json.Unmarshal(current.Result, &document) != nil {
						return response
					}
					_ = json.Unmarshal(request.Args, &change)
					change["base"] = document.Version
					if _, response = pass("route.change", base.MustMarshal(change)); response == nil || response.StatusCode == 200 {
						break
					}
				}
				return response
			})(t.Fleet)
		}, "CONFIG", ""},
		{"syncing before the answer", "closing power", func(t *Tier) {
			for _, m := range t.Storage {
				m.Disk.IgnoresSync = true
			}
		}, "RECOVER", ""},
		{"the hand-over of a planned stop", "roll_term", func(t *Tier) { t.disabled.gracefulStop = true }, "LOST", ""},
	}
	for _, row := range rows {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 48 // the first seed with a violation ends the search
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				outcome := FindTierScenario(row.scenario).RunWith(seed, TierShapes[cmp.Or(row.shape, "small")](), row.disable)
				for _, breach := range outcome.Breaches {
					if strings.HasPrefix(breach, row.breach+":") {
						t.Logf("without %s, %q: seed %d: %s", row.mechanism, row.scenario, seed, breach)
						return
					}
				}
				t.Logf("seed %d: %s", seed, fmt.Sprintf("%q", outcome.Breaches))
			}
			t.Errorf("none of %d seeds of %q reported a breach of %s", maxSeeds, row.scenario, row.breach)
		})
	}
}
