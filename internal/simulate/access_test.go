// Tests of model access rules that change every few seconds under traffic and machine
// failures. The checker is independent of the code under test: it knows when each change was
// requested and when it was first observed in force, and so which versions of the rules
// could decide each request. Every answer must agree with one of them.
package simulate

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/register"
	"fordseam/internal/standin"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

var accessSeeds = flag.Int("access-seeds", 1, "seeds for each run with changes of access")

// tenant is a team with a group and a model of its own.
type tenant struct{ name, group, model string }

var tenants = []tenant{{"tills", "dukabora", "checkout"}, {"clerks", "plc", "payslip"}}

// tenantSettings returns a settings document that denies the models of the given teams. The
// other callers' group may always call its model.
func tenantSettings(denied map[string]bool) string {
	groups := []string{`"g":{"operation_timeout_s":30,"teams":{"shop":{"models":["stand-in"]}},"team":"shop","sites":{"main":{"routes":{
"chat":{"kind":"model","pool":"models","model":"stand-in"},"loyalty":{"kind":"tool","pool":"apps","tool_timeout_s":5},"lookup":{"kind":"tool","pool":"apps","repeatable":true}}}}}`}
	for _, entry := range tenants {
		deny := ""
		if denied[entry.name] {
			deny = `,"deny":["` + entry.model + `"]`
		}
		groups = append(groups, fmt.Sprintf(`%q:{"operation_timeout_s":30,"teams":{%q:{"models":[%q]%s}},"team":%q,"sites":{"main":{"routes":{
"chat":{"kind":"model","pool":"models","model":%q}}}}}`, entry.group, entry.name, entry.model, deny, entry.name, entry.model))
	}
	return `{"models":["stand-in","checkout","payslip"],"pools":{"models":{"kind":"model"},"apps":{"kind":"tool"}},"max_output_tokens":64,"groups":{` + strings.Join(groups, ",") + `}}`
}

// parseDenied returns the teams whose model a settings document denies.
func parseDenied(document string) map[string]bool {
	denied := map[string]bool{}
	for _, entry := range tenants {
		denied[entry.name] = strings.Contains(document, `"deny":["`+entry.model+`"]`)
	}
	return denied
}

// accessChange is an accepted change of the access rules.
type accessChange struct {
	denied      map[string]bool
	requestedAt time.Duration // no request answered before this can be decided by the change
	inForceAt   time.Duration // first time it was known to be in force; negative while unknown
}

// accessRequest is a request for a team's model and its answer.
type accessRequest struct {
	team, gateway                   string
	sentAt, firstSentAt, answeredAt time.Duration
	allowed                         bool
	version                         uint64
}

// accessRun changes access rules while callers send requests, and checks every answer.
type accessRun struct {
	fleet          *Fleet
	changes        map[uint64]*accessChange
	requests       []accessRequest
	firstSent      map[string]time.Duration
	responseCounts map[string]int
	changeInterval time.Duration
	noFaults       bool
	running        func() bool
}

// recordRequests wraps ask and records every request that calls a model.
func (r *accessRun) recordRequests(team string, ask standin.RequestFunc) standin.RequestFunc {
	return func(gateway int, method, path string, header map[string]string, body []byte) (*standin.Response, error) {
		callsModel := method == "POST" && (strings.HasSuffix(path, "/turns") || strings.HasSuffix(path, "/sessions"))
		sentAt := r.fleet.World.Now()
		answer, err := ask(gateway, method, path, header, body)
		if !callsModel {
			return answer, err
		}
		firstSentAt := sentAt
		if id := header["turn-id"]; id != "" {
			if earlier, ok := r.firstSent[path+id]; ok {
				firstSentAt = earlier
			} else {
				r.firstSent[path+id] = sentAt
			}
		}
		if err != nil {
			r.responseCounts["connection"]++
			return answer, err
		}
		request := accessRequest{team: team, gateway: r.fleet.Gateways[gateway%len(r.fleet.Gateways)].Host.Name, sentAt: sentAt, firstSentAt: firstSentAt, answeredAt: r.fleet.World.Now()}
		var reply struct {
			Error base.RequestError `json:"error"`
		}
		if answer.Status < 300 {
			request.allowed = true
			r.responseCounts["allowed"]++
		} else {
			_ = json.Unmarshal(answer.Body, &reply)
			r.responseCounts[reply.Error.Code]++
			if answer.Status != 403 {
				return answer, err
			}
			request.version = reply.Error.CurrentVersion
			if reply.Error.Code != "model_not_allowed" || reply.Error.Execution != base.NotRun || reply.Error.Team != team || reply.Error.Model == "" || request.version == 0 {
				r.fleet.Tally.Breach("access refusal without team, model, version or execution state: %s", answer.Body)
			}
		}
		if id := header["turn-id"]; id != "" && !request.allowed && firstSentAt == sentAt {
			r.fleet.Tally.RecordRefusedTurn(strings.Split(path, "/")[3], id, "model_not_allowed") // a refused turn must never run
		}
		r.requests = append(r.requests, request)
		return answer, err
	}
}

// runOperator alternately denies and allows its team's model.
func (r *accessRun) runOperator(name string, team tenant) {
	f := r.fleet
	for round := 0; r.running(); round++ {
		f.CallerHost.Clock().Sleep(r.changeInterval/2 + f.World.Between(0, r.changeInterval))
		status, answer := f.OperatorRequest(f.pickMachine(f.Cores), "GET", "/v1/operator/settings", nil)
		var current struct {
			Stamp    uint64          `json:"stamp"`
			Document json.RawMessage `json:"document"`
		}
		if status != 200 || json.Unmarshal(answer, &current) != nil {
			continue
		}
		denied := parseDenied(string(current.Document))
		denied[team.name] = !denied[team.name]
		change, requestedAt := fmt.Sprintf("%s-%d", name, round), f.World.Now()
		status, answer = f.applySettings(change, current.Stamp, json.RawMessage(tenantSettings(denied)))
		r.resolveOutcome(change, current.Stamp, &accessChange{denied: denied, requestedAt: requestedAt, inForceAt: -1}, status, answer)
	}
}

// resolveOutcome asks for the outcome of a change until it is known, and records an accepted
// change under its version.
func (r *accessRun) resolveOutcome(change string, basedOn uint64, applied *accessChange, status int, answer []byte) {
	f := r.fleet
	for {
		var reply struct {
			Outcome string `json:"outcome"`
			Stamp   uint64 `json:"stamp"`
		}
		_ = json.Unmarshal(answer, &reply)
		switch {
		case status == 200 && reply.Outcome == "taken":
			f.Tally.RecordChangeAccepted(change, basedOn, reply.Stamp, f.World.Now())
			r.changes[reply.Stamp] = applied
			return
		case status == 200 || status == 409:
			f.Tally.RecordChangeRefused(change)
			return
		}
		f.CallerHost.Clock().Sleep(300 * time.Millisecond)
		status, answer = f.OperatorRequest(f.pickMachine(f.Cores), "POST", "/v1/operator/settings/outcome", map[string]string{"change": change})
	}
}

// pollInForce asks the cores which version is in force and records when each version was
// first seen in force.
func (r *accessRun) pollInForce() {
	f := r.fleet
	for {
		f.CallerHost.Clock().Sleep(50 * time.Millisecond)
		status, answer := f.OperatorRequest(f.liveCore(), "GET", "/v1/operator/access", nil)
		var view struct {
			InForce uint64 `json:"in_force"`
		}
		if status == 200 && json.Unmarshal(answer, &view) == nil {
			for _, version := range base.SortedKeys(r.changes) {
				if version <= view.InForce && r.changes[version].inForceAt < 0 {
					r.changes[version].inForceAt = f.World.Now()
				}
			}
		}
	}
}

// checkDecisions checks each recorded answer against the versions that could decide the
// request.
func (r *accessRun) checkDecisions() {
	versions := base.SortedKeys(r.changes)
	for index, version := range versions {
		if index > 0 && versions[index-1] != version-1 {
			r.fleet.Tally.Breach("settings versions %d and %d were accepted, but none in between", versions[index-1], version)
		}
	}
	// A refusal that names a version shows that this version is in force.
	for _, request := range r.requests {
		for _, version := range versions {
			if change := r.changes[version]; version <= request.version && (change.inForceAt < 0 || request.answeredAt < change.inForceAt) {
				change.inForceAt = request.answeredAt
			}
		}
	}
	freshness, lease := base.DefaultBounds().AccessFreshness(), base.DefaultBounds().Lease()
	for _, request := range r.requests {
		explained, versionMatches, candidates := false, request.allowed, []uint64{}
		for index, version := range versions {
			change := r.changes[version]
			until := time.Duration(1 << 62)
			for _, later := range versions[index+1:] {
				if inForceAt := r.changes[later].inForceAt; inForceAt >= 0 {
					until = min(until, inForceAt+freshness)
				}
			}
			startedAt := request.sentAt
			if request.allowed {
				startedAt = request.firstSentAt
			}
			// While two successive versions agree on the team, a lease is enough to answer,
			// so a refusal may still name the older version.
			versionMatches = versionMatches || request.version == version && change.denied[request.team] && request.answeredAt >= change.requestedAt && startedAt <= until-freshness+lease
			if request.answeredAt < change.requestedAt || startedAt > until {
				continue
			}
			candidates = append(candidates, version)
			explained = explained || change.denied[request.team] != request.allowed
		}
		if !explained || !versionMatches {
			r.fleet.Tally.Breach("%s at %s, sent at %v and answered at %v: allowed %v by version %d, which disagrees with all of versions %v", request.team, request.gateway, request.sentAt, request.answeredAt, request.allowed, request.version, candidates)
		}
	}
}

// run plays the run with one seed and adds what it finds to the tally's breaches.
func (r *accessRun) run(t *testing.T, seed uint64, shape Shape, span time.Duration, fault string, prepare func(*Fleet)) {
	shape.Settings = tenantSettings(nil)
	f := NewFleet(seed, shape)
	defer f.World.Close()
	if prepare != nil {
		prepare(f)
	}
	waitUntilFormed(t, f)
	r.fleet, r.changes, r.firstSent, r.responseCounts = f, map[uint64]*accessChange{1: {denied: map[string]bool{}, inForceAt: 0}}, map[string]time.Duration{}, map[string]int{}
	end := f.World.Now() + span
	r.running = func() bool { return f.World.Now() < end }
	remaining := 0
	spawn := func(task func()) {
		remaining++
		f.CallerHost.Go(func() { task(); remaining-- })
	}
	// The first rules are activated in two steps, like any later change.
	spawn(func() {
		for !r.inForce(1) {
			f.CallerHost.Clock().Sleep(100 * time.Millisecond)
		}
		for index, team := range tenants {
			spawn(func() { r.runOperator(fmt.Sprint("operator", index), team) })
		}
		r.startCallers(spawn)
		for _, team := range tenants {
			for gateway := range f.Gateways {
				spawn(func() { r.runPinnedCaller(team, gateway) })
			}
		}
		f.Net.Faults = NetworkFaults{}
		if fault != "" {
			f.startScenarioFaults(fault, r.running)
		}
	})
	f.CallerHost.Go(r.pollInForce)
	if !f.World.Run(end+3*time.Minute, func() bool { return remaining == 0 && f.pendingFaults == 0 }) {
		f.Tally.Breach("callers did not finish")
	}
	f.Net.Heal()
	f.Net.Faults = NetworkFaults{}
	r.checkDecisions()
	if unconfirmed := r.responseCounts["no_confirmed_settings"]; r.noFaults && unconfirmed > 0 {
		f.Tally.Breach("%d requests were refused for unconfirmed settings although no fault was injected", unconfirmed)
	}
	for _, name := range []string{"turns_dropped", "turns_cut", "turns_failed"} {
		if n := f.Tally.Counts[name]; r.noFaults && n > 0 {
			f.Tally.Breach("changes without faults caused %d %s", n, name)
		}
	}
	f.CheckInvariants()
	t.Logf("seed %d: %d changes, responses %v, %d turns completed, longest activation %v", seed, len(r.changes)-1, r.responseCounts, f.Tally.Counts["turns_whole"], r.longestActivation())
}

// inForce reports whether a core says that a version is in force.
func (r *accessRun) inForce(version uint64) bool {
	status, answer := r.fleet.OperatorRequest(r.fleet.liveCore(), "GET", "/v1/operator/access", nil)
	var view struct {
		InForce uint64 `json:"in_force"`
	}
	return status == 200 && json.Unmarshal(answer, &view) == nil && view.InForce >= version
}

// startCallers starts the tenants' callers and some callers of the group that is always
// allowed.
func (r *accessRun) startCallers(spawn func(func())) {
	f := r.fleet
	for caller := range len(f.Gateways) * 3 {
		team := tenant{"shop", "g", "stand-in"}
		if caller%3 > 0 {
			team = tenants[caller%3-1]
		}
		spawn(func() {
			for round := 0; r.running(); round++ {
				c := f.caller(fmt.Sprintf("%s%d-%d", team.name, caller, round), caller+round)
				c.Group, c.Send, c.TurnTimeout = team.group, r.recordRequests(team.name, f.RequestSender(f.CallerHost)), 15*time.Second
				c.AfterTurn = func(int) { c.Clock.Sleep(f.World.Between(0, 300*time.Millisecond)) }
				if c.Start(int64(4 * f.Shape.PiecesPerTurn * 8)) {
					c.RunConversation(4, team.name == "shop")
				}
				c.Clock.Sleep(f.World.Between(20*time.Millisecond, 120*time.Millisecond))
			}
		})
	}
}

// runPinnedCaller sends turns of one session to one gateway only and never moves to another,
// so that the rules of that gateway alone decide.
func (r *accessRun) runPinnedCaller(team tenant, gateway int) {
	f := r.fleet
	caller := f.caller(fmt.Sprintf("knock-%s-%d", team.name, gateway), gateway)
	caller.Group, caller.Send = team.group, f.RequestSender(f.CallerHost)
	for r.running() && !caller.Start(1<<20) {
		caller = f.caller(fmt.Sprintf("%s-", caller.Name), gateway)
		caller.Group, caller.Send = team.group, f.RequestSender(f.CallerHost)
		caller.Clock.Sleep(200 * time.Millisecond)
	}
	path, secret := caller.Session()
	program := strings.Split(path, "/")[3]
	ask := r.recordRequests(team.name, f.RequestSender(f.CallerHost))
	for round := 0; r.running(); round++ {
		caller.Clock.Sleep(f.World.Between(100*time.Millisecond, 200*time.Millisecond))
		f.CallerHost.Go(func() {
			id := fmt.Sprint("k", round)
			body := map[string]any{"messages": []standin.Message{{Role: "user", Content: "knock " + standin.TurnTag(program, id)}}, "max_output_tokens": f.Shape.PiecesPerTurn + 2}
			_, _ = ask(gateway, "POST", path+"/turns", map[string]string{"authorization": "Bearer " + secret, "turn-id": id}, base.MustMarshal(body))
		})
	}
}

// longestActivation returns the longest time from the request of a change until it was known
// to be in force.
func (r *accessRun) longestActivation() (longest time.Duration) {
	for _, change := range r.changes {
		if change.inForceAt >= 0 {
			longest = max(longest, change.inForceAt-change.requestedAt)
		}
	}
	return longest
}

func TestAccessChangesUnderFaults(t *testing.T) {
	kiondo, ljubljana := KiondoShape(), LjubljanaShape()
	rows := []struct {
		name  string
		shape Shape
		fault string
	}{
		{"calm", SmallShape(), ""},
		{"Saturday rush, calm", kiondo, ""},
		{"Saturday rush, edges killed", kiondo, "edges killed"},
		{"Saturday rush, edges frozen", kiondo, "edges frozen and woken"},
		{"Saturday rush, cores killed", kiondo, "cores killed"},
		{"Saturday rush, rolling restarts", kiondo, "planned stops"},
		{"Saturday rush, a machine cut off", kiondo, "a machine cut off"},
		{"Saturday rush, a storm", kiondo, "a storm"},
		{"month-end, calm", ljubljana, ""},
		{"month-end, cores frozen", ljubljana, "cores frozen and woken"},
		{"month-end, a zone cut off", ljubljana, "a zone cut off"},
		{"month-end, late messages", ljubljana, "messages lost, late and twice"},
		{"month-end, rolling restarts", ljubljana, "planned stops"},
		{"month-end, everything at once", ljubljana, "everything at once"},
		{"month-end, disks lose power", ljubljana, "disks lose power"},
		{"small, a storm", SmallShape(), "a storm"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(*accessSeeds); seed++ {
				run := &accessRun{changeInterval: 3 * time.Second, noFaults: row.fault == ""}
				run.run(t, seed, row.shape, 24*time.Second, row.fault, nil)
				for _, breach := range run.fleet.Tally.Breaches {
					t.Errorf("seed %d: %s", seed, breach)
				}
				is := is.New(t)
				is.True(run.responseCounts["allowed"] > 0)
				is.True(run.responseCounts["model_not_allowed"] > 0)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// Without the record of a pending change, gateways apply the newest settings that each of
// them has received; without leases, they apply whatever they hold. The checker must detect
// both.
func TestDisabledAccessMechanismsAreDetected(t *testing.T) {
	rows := []struct {
		mechanism, fault string
		disable          func(f *Fleet)
	}{
		{"the two steps", "a machine cut off", interceptPath("Feed/Follow", func(m *Message) *http.Response {
			reply, response := forwardAndDecode(m, m.Body, &feed.FollowReply{})
			if response == nil || response.StatusCode != 200 || !strings.HasPrefix(m.From.Name, "edge") {
				return response
			}
			reply.Puts = base.Filter(reply.Puts, func(put *register.Put) bool { return put.Key != access.PendingKey })
			return protoResponse(reply)
		})},
		{"the permit", "a machine cut off", interceptPath("Feed/Follow", func(m *Message) *http.Response {
			var request feed.FollowRequest
			_ = proto.Unmarshal(m.Body, &request)
			response, _ := m.Forward(m.Body)
			if response == nil && request.Place > 0 {
				return protoResponse(&feed.FollowReply{Place: request.Place})
			}
			return response
		})},
	}
	for _, row := range rows {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 12; seed++ {
				run := &accessRun{changeInterval: 3 * time.Second}
				run.run(t, seed, SmallShape(), 40*time.Second, row.fault, row.disable)
				if index := slices.IndexFunc(run.fleet.Tally.Breaches, func(breach string) bool { return strings.Contains(breach, "which disagrees with all of") }); index >= 0 {
					t.Logf("without %s, seed %d: %s", row.mechanism, seed, run.fleet.Tally.Breaches[index])
					return
				}
			}
			t.Errorf("no seed detected the missing mechanism: %s", row.mechanism)
		})
	}
}
