// Which models teams may call, changed every few seconds on live traffic while
// machines fail. The checker stands outside: it knows when each change was asked
// for and when it was first known to be in force, and so for each request what
// could decide it. A request of a time when one thing only could be in force
// must have been decided by that.
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

var accessSeeds = flag.Int("access-seeds", 1, "seeds for each day with changes of access")

// tenant is a team with the group and the model that are its own.
type tenant struct{ team, group, model string }

var tenants = []tenant{{"tills", "dukabora", "checkout"}, {"clerks", "plc", "payslip"}}

// tenantSettings is a tree in which each tenant's model is denied or not, beside
// the group of the fleet's other callers, who may always call theirs.
func tenantSettings(denied map[string]bool) string {
	groups := []string{`"g":{"operation_timeout_s":30,"teams":{"shop":{"models":["stand-in"]}},"team":"shop","sites":{"main":{"routes":{
"chat":{"kind":"model","pool":"models","model":"stand-in"},"loyalty":{"kind":"tool","pool":"apps","tool_timeout_s":5},"lookup":{"kind":"tool","pool":"apps","repeatable":true}}}}}`}
	for _, entry := range tenants {
		deny := ""
		if denied[entry.team] {
			deny = `,"deny":["` + entry.model + `"]`
		}
		groups = append(groups, fmt.Sprintf(`%q:{"operation_timeout_s":30,"teams":{%q:{"models":[%q]%s}},"team":%q,"sites":{"main":{"routes":{
"chat":{"kind":"model","pool":"models","model":%q}}}}}`, entry.group, entry.team, entry.model, deny, entry.team, entry.model))
	}
	return `{"models":["stand-in","checkout","payslip"],"pools":{"models":{"kind":"model"},"apps":{"kind":"tool"}},"max_output_tokens":64,"groups":{` + strings.Join(groups, ",") + `}}`
}

// parseDenied reads a tree's denials back.
func parseDenied(document string) map[string]bool {
	denied := map[string]bool{}
	for _, entry := range tenants {
		denied[entry.team] = strings.Contains(document, `"deny":["`+entry.model+`"]`)
	}
	return denied
}

// accessChange is one taken change.
type accessChange struct {
	denied      map[string]bool
	requestedAt time.Duration // asked for: before this it cannot decide
	inForceAt   time.Duration // in force at this moment at the latest; below 0 while nobody knows
}

// accessRequest is one request for a team's model, and what came of it.
type accessRequest struct {
	team, gateway                   string
	sentAt, firstSentAt, answeredAt time.Duration
	allowed                         bool
	version                         uint64
}

// accessRun is a day with changes of access.
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

// recordRequests notes every request that calls a model.
func (r *accessRun) recordRequests(team string, ask standin.Asker) standin.Asker {
	return func(gateway int, method, path string, header map[string]string, body []byte) (*standin.Answer, error) {
		callsModel := method == "POST" && (strings.HasSuffix(path, "/turns") || strings.HasSuffix(path, "/sessions"))
		sent := r.fleet.World.Now()
		answer, err := ask(gateway, method, path, header, body)
		if !callsModel {
			return answer, err
		}
		first := sent
		if id := header["turn-id"]; id != "" {
			if earlier, ok := r.firstSent[path+id]; ok {
				first = earlier
			} else {
				r.firstSent[path+id] = sent
			}
		}
		if err != nil {
			r.responseCounts["connection"]++
			return answer, err
		}
		request := accessRequest{team: team, gateway: r.fleet.Gateways[gateway%len(r.fleet.Gateways)].Host.Name, sentAt: sent, firstSentAt: first, answeredAt: r.fleet.World.Now()}
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
				r.fleet.Tally.Breach("a refusal of access that does not say what decided: %s", answer.Body)
			}
		}
		if id := header["turn-id"]; id != "" && !request.allowed && first == sent {
			r.fleet.Tally.Refuse(strings.Split(path, "/")[3], id, "model_not_allowed") // it must never run
		}
		r.requests = append(r.requests, request)
		return answer, err
	}
}

// runOperator takes its tenant's model away and gives it back, again and again.
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
		denied[team.team] = !denied[team.team]
		change, from := fmt.Sprintf("%s-%d", name, round), f.World.Now()
		status, answer = f.applySettings(change, current.Stamp, json.RawMessage(tenantSettings(denied)))
		r.resolveOutcome(change, current.Stamp, &accessChange{denied: denied, requestedAt: from, inForceAt: -1}, status, answer)
	}
}

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
			f.Tally.Taken(change, basedOn, reply.Stamp, f.World.Now())
			r.changes[reply.Stamp] = applied
			return
		case status == 200 || status == 409:
			f.Tally.ChangeRefused(change)
			return
		}
		f.CallerHost.Clock().Sleep(300 * time.Millisecond)
		status, answer = f.OperatorRequest(f.pickMachine(f.Cores), "POST", "/v1/operator/settings/outcome", map[string]string{"change": change})
	}
}

// pollInForce asks the cores which settings are in force.
func (r *accessRun) pollInForce() {
	f := r.fleet
	for {
		f.CallerHost.Clock().Sleep(50 * time.Millisecond)
		status, answer := f.OperatorRequest(f.liveCore(), "GET", "/v1/operator/access", nil)
		var view struct {
			InForce uint64 `json:"in_force"`
		}
		if status == 200 && json.Unmarshal(answer, &view) == nil {
			for _, stamp := range base.SortedKeys(r.changes) {
				if stamp <= view.InForce && r.changes[stamp].inForceAt < 0 {
					r.changes[stamp].inForceAt = f.World.Now()
				}
			}
		}
	}
}

// checkDecisions holds every request to what could decide it.
func (r *accessRun) checkDecisions() {
	versions := base.SortedKeys(r.changes)
	for index, version := range versions {
		if index > 0 && versions[index-1] != version-1 {
			r.fleet.Tally.Breach("settings %d and %d were taken, and none between", versions[index-1], version)
		}
	}
	// Whoever was refused by a change knows that it is in force.
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
				if known := r.changes[later].inForceAt; known >= 0 {
					until = min(until, known+freshness)
				}
			}
			startedAt := request.sentAt
			if request.allowed {
				startedAt = request.firstSentAt
			}
			// Where the former and the next say the same a permit is enough, so that
			// an older stamp may still be named.
			versionMatches = versionMatches || request.version == version && change.denied[request.team] && request.answeredAt >= change.requestedAt && startedAt <= until-freshness+lease
			if request.answeredAt < change.requestedAt || startedAt > until {
				continue
			}
			candidates = append(candidates, version)
			explained = explained || change.denied[request.team] != request.allowed
		}
		if !explained || !versionMatches {
			r.fleet.Tally.Breach("%s at %s, sent at %v and told at %v: allowed %v by %d, which none of %v says", request.team, request.gateway, request.sentAt, request.answeredAt, request.allowed, request.version, candidates)
		}
	}
}

// result plays the day, and gives how many changes came into force.
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
	// The first rules come into force in two steps like any others.
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
		f.Tally.Breach("callers were left without an end")
	}
	f.Net.Heal()
	f.Net.Faults = NetworkFaults{}
	r.checkDecisions()
	if unconfirmed := r.responseCounts["no_confirmed_settings"]; r.noFaults && unconfirmed > 0 {
		f.Tally.Breach("%d requests found no confirmation though all was calm", unconfirmed)
	}
	for _, name := range []string{"turns_dropped", "turns_cut", "turns_failed"} {
		if n := f.Tally.Counts[name]; r.noFaults && n > 0 {
			f.Tally.Breach("changes alone brought %d %s", n, name)
		}
	}
	f.CheckInvariants()
	t.Logf("seed %d: %d changes, %v, %d turns whole, took hold after %v", seed, len(r.changes)-1, r.responseCounts, f.Tally.Counts["turns_whole"], r.longestActivation())
}

func (r *accessRun) inForce(version uint64) bool {
	status, answer := r.fleet.OperatorRequest(r.fleet.liveCore(), "GET", "/v1/operator/access", nil)
	var view struct {
		InForce uint64 `json:"in_force"`
	}
	return status == 200 && json.Unmarshal(answer, &view) == nil && view.InForce >= version
}

// startCallers are the tenants' callers, and a few of the group that may always call.
func (r *accessRun) startCallers(spawn func(func())) {
	f := r.fleet
	for caller := range len(f.Gateways) * 3 {
		team := tenant{"shop", "g", "stand-in"}
		if caller%3 > 0 {
			team = tenants[caller%3-1]
		}
		spawn(func() {
			for round := 0; r.running(); round++ {
				c := f.caller(fmt.Sprintf("%s%d-%d", team.team, caller, round), caller+round)
				c.Group, c.Ask, c.Patience = team.group, r.recordRequests(team.team, f.RequestSender(f.CallerHost)), 15*time.Second
				c.Between = func(int) { c.Clock.Sleep(f.World.Between(0, 300*time.Millisecond)) }
				if c.Start(int64(4 * f.Shape.PiecesPerTurn * 8)) {
					c.Converse(4, team.team == "shop")
				}
				c.Clock.Sleep(f.World.Between(20*time.Millisecond, 120*time.Millisecond))
			}
		})
	}
}

// runPinnedCaller asks one gateway for turns of one session, again and again, without ever
// moving to another: what that gateway holds is what decides.
func (r *accessRun) runPinnedCaller(team tenant, gateway int) {
	f := r.fleet
	c := f.caller(fmt.Sprintf("knock-%s-%d", team.team, gateway), gateway)
	c.Group, c.Ask = team.group, f.RequestSender(f.CallerHost)
	for r.running() && !c.Start(1<<20) {
		c = f.caller(fmt.Sprintf("%s-", c.Name), gateway)
		c.Group, c.Ask = team.group, f.RequestSender(f.CallerHost)
		c.Clock.Sleep(200 * time.Millisecond)
	}
	path, secret := c.Session()
	program := strings.Split(path, "/")[3]
	ask := r.recordRequests(team.team, f.RequestSender(f.CallerHost))
	for round := 0; r.running(); round++ {
		c.Clock.Sleep(f.World.Between(100*time.Millisecond, 200*time.Millisecond))
		f.CallerHost.Go(func() {
			id := fmt.Sprint("k", round)
			body := map[string]any{"messages": []standin.Message{{Role: "user", Content: "knock " + standin.Tag(program, id)}}, "max_output_tokens": f.Shape.PiecesPerTurn + 2}
			_, _ = ask(gateway, "POST", path+"/turns", map[string]string{"authorization": "Bearer " + secret, "turn-id": id}, base.MustMarshal(body))
		})
	}
}

// longestActivation is the longest that a change took from being asked for to be known in
// force.
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
		harm  string
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
				run := &accessRun{changeInterval: 3 * time.Second, noFaults: row.harm == ""}
				run.run(t, seed, row.shape, 24*time.Second, row.harm, nil)
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

// Without the mark of a change under way gateways go by the newest tree that
// each has heard of, and without permits by whatever they hold.
func TestDisabledAccessMechanismsAreDetected(t *testing.T) {
	rows := []struct {
		mechanism, harm string
		take            func(f *Fleet)
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
			var asked feed.FollowRequest
			_ = proto.Unmarshal(m.Body, &asked)
			response, _ := m.Forward(m.Body)
			if response == nil && asked.Place > 0 {
				return protoResponse(&feed.FollowReply{Place: asked.Place})
			}
			return response
		})},
	}
	for _, row := range rows {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 12; seed++ {
				run := &accessRun{changeInterval: 3 * time.Second}
				run.run(t, seed, SmallShape(), 40*time.Second, row.harm, row.take)
				if index := slices.IndexFunc(run.fleet.Tally.Breaches, func(breach string) bool { return strings.Contains(breach, "which none of") }); index >= 0 {
					t.Logf("without %s, seed %d: %s", row.mechanism, seed, run.fleet.Tally.Breaches[index])
					return
				}
			}
			t.Errorf("no seed was caught without %s", row.mechanism)
		})
	}
}
