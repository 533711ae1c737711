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
	for _, one := range tenants {
		deny := ""
		if denied[one.team] {
			deny = `,"deny":["` + one.model + `"]`
		}
		groups = append(groups, fmt.Sprintf(`%q:{"operation_timeout_s":30,"teams":{%q:{"models":[%q]%s}},"team":%q,"sites":{"main":{"routes":{
"chat":{"kind":"model","pool":"models","model":%q}}}}}`, one.group, one.team, one.model, deny, one.team, one.model))
	}
	return `{"models":["stand-in","checkout","payslip"],"pools":{"models":{"kind":"model"},"apps":{"kind":"tool"}},"max_output_tokens":64,"groups":{` + strings.Join(groups, ",") + `}}`
}

// parseDenied reads a tree's denials back.
func parseDenied(document string) map[string]bool {
	denied := map[string]bool{}
	for _, one := range tenants {
		denied[one.team] = strings.Contains(document, `"deny":["`+one.model+`"]`)
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
func (d *accessRun) recordRequests(team string, ask standin.Asker) standin.Asker {
	return func(gateway int, method, path string, header map[string]string, body []byte) (*standin.Answer, error) {
		calls := method == "POST" && (strings.HasSuffix(path, "/turns") || strings.HasSuffix(path, "/sessions"))
		sent := d.fleet.World.Now()
		answer, err := ask(gateway, method, path, header, body)
		if !calls {
			return answer, err
		}
		first := sent
		if id := header["turn-id"]; id != "" {
			if earlier, ok := d.firstSent[path+id]; ok {
				first = earlier
			} else {
				d.firstSent[path+id] = sent
			}
		}
		if err != nil {
			d.responseCounts["connection"]++
			return answer, err
		}
		one := accessRequest{team: team, gateway: d.fleet.Gateways[gateway%len(d.fleet.Gateways)].Host.Name, sentAt: sent, firstSentAt: first, answeredAt: d.fleet.World.Now()}
		var told struct {
			Error base.RequestError `json:"error"`
		}
		if answer.Status < 300 {
			one.allowed = true
			d.responseCounts["allowed"]++
		} else {
			_ = json.Unmarshal(answer.Body, &told)
			d.responseCounts[told.Error.Code]++
			if answer.Status != 403 {
				return answer, err
			}
			one.version = told.Error.CurrentVersion
			if told.Error.Code != "model_not_allowed" || told.Error.Execution != base.NotRun || told.Error.Team != team || told.Error.Model == "" || one.version == 0 {
				d.fleet.Tally.Breach("a refusal of access that does not say what decided: %s", answer.Body)
			}
		}
		if id := header["turn-id"]; id != "" && !one.allowed && first == sent {
			d.fleet.Tally.Refuse(strings.Split(path, "/")[3], id, "model_not_allowed") // it must never run
		}
		d.requests = append(d.requests, one)
		return answer, err
	}
}

// runOperator takes its tenant's model away and gives it back, again and again.
func (d *accessRun) runOperator(name string, whose tenant) {
	f := d.fleet
	for round := 0; d.running(); round++ {
		f.CallerHost.Clock().Sleep(d.changeInterval/2 + f.World.Between(0, d.changeInterval))
		status, answer := f.OperatorRequest(f.pickMachine(f.Cores), "GET", "/v1/operator/settings", nil)
		var now struct {
			Stamp    uint64          `json:"stamp"`
			Document json.RawMessage `json:"document"`
		}
		if status != 200 || json.Unmarshal(answer, &now) != nil {
			continue
		}
		denied := parseDenied(string(now.Document))
		denied[whose.team] = !denied[whose.team]
		change, from := fmt.Sprintf("%s-%d", name, round), f.World.Now()
		status, answer = f.applySettings(change, now.Stamp, json.RawMessage(tenantSettings(denied)))
		d.resolveOutcome(change, now.Stamp, &accessChange{denied: denied, requestedAt: from, inForceAt: -1}, status, answer)
	}
}

func (d *accessRun) resolveOutcome(change string, basedOn uint64, made *accessChange, status int, answer []byte) {
	f := d.fleet
	for {
		var told struct {
			Outcome string `json:"outcome"`
			Stamp   uint64 `json:"stamp"`
		}
		_ = json.Unmarshal(answer, &told)
		switch {
		case status == 200 && told.Outcome == "taken":
			f.Tally.Taken(change, basedOn, told.Stamp, f.World.Now())
			d.changes[told.Stamp] = made
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
func (d *accessRun) pollInForce() {
	f := d.fleet
	for {
		f.CallerHost.Clock().Sleep(50 * time.Millisecond)
		status, answer := f.OperatorRequest(f.liveCore(), "GET", "/v1/operator/access", nil)
		var shown struct {
			InForce uint64 `json:"in_force"`
		}
		if status == 200 && json.Unmarshal(answer, &shown) == nil {
			for _, stamp := range base.SortedKeys(d.changes) {
				if stamp <= shown.InForce && d.changes[stamp].inForceAt < 0 {
					d.changes[stamp].inForceAt = f.World.Now()
				}
			}
		}
	}
}

// checkDecisions holds every request to what could decide it.
func (d *accessRun) checkDecisions() {
	stamps := base.SortedKeys(d.changes)
	for place, stamp := range stamps {
		if place > 0 && stamps[place-1] != stamp-1 {
			d.fleet.Tally.Breach("settings %d and %d were taken, and none between", stamps[place-1], stamp)
		}
	}
	// Whoever was refused by a change knows that it is in force.
	for _, one := range d.requests {
		for _, stamp := range stamps {
			if made := d.changes[stamp]; stamp <= one.version && (made.inForceAt < 0 || one.answeredAt < made.inForceAt) {
				made.inForceAt = one.answeredAt
			}
		}
	}
	fresh, permit := base.DefaultBounds().AccessFreshness(), base.DefaultBounds().Lease()
	for _, one := range d.requests {
		fits, named, could := false, one.allowed, []uint64{}
		for place, stamp := range stamps {
			made := d.changes[stamp]
			until := time.Duration(1 << 62)
			for _, later := range stamps[place+1:] {
				if known := d.changes[later].inForceAt; known >= 0 {
					until = min(until, known+fresh)
				}
			}
			sent := one.sentAt
			if one.allowed {
				sent = one.firstSentAt
			}
			// Where the former and the next say the same a permit is enough, so that
			// an older stamp may still be named.
			named = named || one.version == stamp && made.denied[one.team] && one.answeredAt >= made.requestedAt && sent <= until-fresh+permit
			if one.answeredAt < made.requestedAt || sent > until {
				continue
			}
			could = append(could, stamp)
			fits = fits || made.denied[one.team] != one.allowed
		}
		if !fits || !named {
			d.fleet.Tally.Breach("%s at %s, sent at %v and told at %v: allowed %v by %d, which none of %v says", one.team, one.gateway, one.sentAt, one.answeredAt, one.allowed, one.version, could)
		}
	}
}

// result plays the day, and gives how many changes came into force.
func (d *accessRun) run(t *testing.T, seed uint64, shape Shape, span time.Duration, harm string, take func(*Fleet)) {
	shape.Settings = tenantSettings(nil)
	f := NewFleet(seed, shape)
	defer f.World.Close()
	if take != nil {
		take(f)
	}
	formed(t, f)
	d.fleet, d.changes, d.firstSent, d.responseCounts = f, map[uint64]*accessChange{1: {denied: map[string]bool{}, inForceAt: 0}}, map[string]time.Duration{}, map[string]int{}
	end := f.World.Now() + span
	d.running = func() bool { return f.World.Now() < end }
	left := 0
	enter := func(task func()) {
		left++
		f.CallerHost.Go(func() { task(); left-- })
	}
	// The first rules come into force in two steps like any others.
	enter(func() {
		for !d.inForce(1) {
			f.CallerHost.Clock().Sleep(100 * time.Millisecond)
		}
		for place, whose := range tenants {
			enter(func() { d.runOperator(fmt.Sprint("operator", place), whose) })
		}
		d.startCallers(enter)
		for _, whose := range tenants {
			for gateway := range f.Gateways {
				enter(func() { d.runPinnedCaller(whose, gateway) })
			}
		}
		f.Net.Faults = NetworkFaults{}
		if harm != "" {
			f.startScenarioFaults(harm, d.running)
		}
	})
	f.CallerHost.Go(d.pollInForce)
	if !f.World.Run(end+3*time.Minute, func() bool { return left == 0 && f.pendingFaults == 0 }) {
		f.Tally.Breach("callers were left without an end")
	}
	f.Net.Heal()
	f.Net.Faults = NetworkFaults{}
	d.checkDecisions()
	if refused := d.responseCounts["no_confirmed_settings"]; d.noFaults && refused > 0 {
		f.Tally.Breach("%d requests found no confirmation though all was calm", refused)
	}
	for _, name := range []string{"turns_dropped", "turns_cut", "turns_failed"} {
		if n := f.Tally.Counts[name]; d.noFaults && n > 0 {
			f.Tally.Breach("changes alone brought %d %s", n, name)
		}
	}
	f.CheckInvariants()
	t.Logf("seed %d: %d changes, %v, %d turns whole, took hold after %v", seed, len(d.changes)-1, d.responseCounts, f.Tally.Counts["turns_whole"], d.longestActivation())
}

func (d *accessRun) inForce(stamp uint64) bool {
	status, answer := d.fleet.OperatorRequest(d.fleet.liveCore(), "GET", "/v1/operator/access", nil)
	var shown struct {
		InForce uint64 `json:"in_force"`
	}
	return status == 200 && json.Unmarshal(answer, &shown) == nil && shown.InForce >= stamp
}

// startCallers are the tenants' callers, and a few of the group that may always call.
func (d *accessRun) startCallers(enter func(func())) {
	f := d.fleet
	for caller := range len(f.Gateways) * 3 {
		whose := tenant{"shop", "g", "stand-in"}
		if caller%3 > 0 {
			whose = tenants[caller%3-1]
		}
		enter(func() {
			for round := 0; d.running(); round++ {
				c := f.caller(fmt.Sprintf("%s%d-%d", whose.team, caller, round), caller+round)
				c.Group, c.Ask, c.Patience = whose.group, d.recordRequests(whose.team, f.Asker(f.CallerHost)), 15*time.Second
				c.Between = func(int) { c.Clock.Sleep(f.World.Between(0, 300*time.Millisecond)) }
				if c.Start(int64(4 * f.Shape.Pieces * 8)) {
					c.Converse(4, whose.team == "shop")
				}
				c.Clock.Sleep(f.World.Between(20*time.Millisecond, 120*time.Millisecond))
			}
		})
	}
}

// runPinnedCaller asks one gateway for turns of one session, again and again, without ever
// moving to another: what that gateway holds is what decides.
func (d *accessRun) runPinnedCaller(whose tenant, gateway int) {
	f := d.fleet
	c := f.caller(fmt.Sprintf("knock-%s-%d", whose.team, gateway), gateway)
	c.Group, c.Ask = whose.group, f.Asker(f.CallerHost)
	for d.running() && !c.Start(1<<20) {
		c = f.caller(fmt.Sprintf("%s-", c.Name), gateway)
		c.Group, c.Ask = whose.group, f.Asker(f.CallerHost)
		c.Clock.Sleep(200 * time.Millisecond)
	}
	path, secret := c.Session()
	program := strings.Split(path, "/")[3]
	ask := d.recordRequests(whose.team, f.Asker(f.CallerHost))
	for round := 0; d.running(); round++ {
		c.Clock.Sleep(f.World.Between(100*time.Millisecond, 200*time.Millisecond))
		f.CallerHost.Go(func() {
			id := fmt.Sprint("k", round)
			body := map[string]any{"messages": []standin.Message{{Role: "user", Content: "knock " + standin.Tag(program, id)}}, "max_output_tokens": f.Shape.Pieces + 2}
			_, _ = ask(gateway, "POST", path+"/turns", map[string]string{"authorization": "Bearer " + secret, "turn-id": id}, base.MustMarshal(body))
		})
	}
}

// longestActivation is the longest that a change took from being asked for to be known in
// force.
func (d *accessRun) longestActivation() (longest time.Duration) {
	for _, made := range d.changes {
		if made.inForceAt >= 0 {
			longest = max(longest, made.inForceAt-made.requestedAt)
		}
	}
	return longest
}

func TestAccessChangesUnderFaults(t *testing.T) {
	saturday, monthEnd := KiondoShape(), LjubljanaShape()
	rows := []struct {
		name  string
		shape Shape
		harm  string
	}{
		{"calm", SmallShape(), ""},
		{"Saturday rush, calm", saturday, ""},
		{"Saturday rush, edges killed", saturday, "edges killed"},
		{"Saturday rush, edges frozen", saturday, "edges frozen and woken"},
		{"Saturday rush, cores killed", saturday, "cores killed"},
		{"Saturday rush, rolling restarts", saturday, "planned stops"},
		{"Saturday rush, a machine cut off", saturday, "a machine cut off"},
		{"Saturday rush, a storm", saturday, "a storm"},
		{"month-end, calm", monthEnd, ""},
		{"month-end, cores frozen", monthEnd, "cores frozen and woken"},
		{"month-end, a zone cut off", monthEnd, "a zone cut off"},
		{"month-end, late messages", monthEnd, "messages lost, late and twice"},
		{"month-end, rolling restarts", monthEnd, "planned stops"},
		{"month-end, everything at once", monthEnd, "everything at once"},
		{"month-end, disks lose power", monthEnd, "disks lose power"},
		{"small, a storm", SmallShape(), "a storm"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(*accessSeeds); seed++ {
				d := &accessRun{changeInterval: 3 * time.Second, noFaults: row.harm == ""}
				d.run(t, seed, row.shape, 24*time.Second, row.harm, nil)
				for _, breach := range d.fleet.Tally.Breaches {
					t.Errorf("seed %d: %s", seed, breach)
				}
				is := is.New(t)
				is.True(d.responseCounts["allowed"] > 0)
				is.True(d.responseCounts["model_not_allowed"] > 0)
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
		{"the two steps", "a machine cut off", onPath("Feed/Follow", func(m *Message) *http.Response {
			reply, response := passed(m, m.Body, &feed.FollowReply{})
			if response == nil || response.StatusCode != 200 || !strings.HasPrefix(m.From.Name, "edge") {
				return response
			}
			reply.Puts = base.Filter(reply.Puts, func(put *register.Put) bool { return put.Key != access.PendingKey })
			return replied(reply)
		})},
		{"the permit", "a machine cut off", onPath("Feed/Follow", func(m *Message) *http.Response {
			var asked feed.FollowRequest
			_ = proto.Unmarshal(m.Body, &asked)
			response, _ := m.Forward(m.Body)
			if response == nil && asked.Place > 0 {
				return replied(&feed.FollowReply{Place: asked.Place})
			}
			return response
		})},
	}
	for _, row := range rows {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 12; seed++ {
				d := &accessRun{changeInterval: 3 * time.Second}
				d.run(t, seed, SmallShape(), 40*time.Second, row.harm, row.take)
				if place := slices.IndexFunc(d.fleet.Tally.Breaches, func(breach string) bool { return strings.Contains(breach, "which none of") }); place >= 0 {
					t.Logf("without %s, seed %d: %s", row.mechanism, seed, d.fleet.Tally.Breaches[place])
					return
				}
			}
			t.Errorf("no seed was caught without %s", row.mechanism)
		})
	}
}
