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

// tenantTree is a tree in which each tenant's model is denied or not, beside
// the group of the fleet's other callers, who may always call theirs.
func tenantTree(denied map[string]bool) string {
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

// deniedIn reads a tree's denials back.
func deniedIn(document string) map[string]bool {
	denied := map[string]bool{}
	for _, one := range tenants {
		denied[one.team] = strings.Contains(document, `"deny":["`+one.model+`"]`)
	}
	return denied
}

// ruling is one taken change.
type ruling struct {
	denied map[string]bool
	from   time.Duration // asked for: before this it cannot decide
	known  time.Duration // in force at this moment at the latest; below 0 while nobody knows
}

// asking is one request for a team's model, and what came of it.
type asking struct {
	team, gateway     string
	sent, first, told time.Duration
	allowed           bool
	stamp             uint64
}

// accessDay is a day with changes of access.
type accessDay struct {
	f       *Fleet
	rulings map[uint64]*ruling
	askings []asking
	firsts  map[string]time.Duration
	codes   map[string]int
	every   time.Duration
	calm    bool
	going   func() bool
}

// watched notes every request that calls a model.
func (d *accessDay) watched(team string, ask standin.Asker) standin.Asker {
	return func(gateway int, method, path string, header map[string]string, body []byte) (*standin.Answer, error) {
		calls := method == "POST" && (strings.HasSuffix(path, "/turns") || strings.HasSuffix(path, "/sessions"))
		sent := d.f.World.Now()
		answer, err := ask(gateway, method, path, header, body)
		if !calls {
			return answer, err
		}
		first := sent
		if id := header["turn-id"]; id != "" {
			if earlier, ok := d.firsts[path+id]; ok {
				first = earlier
			} else {
				d.firsts[path+id] = sent
			}
		}
		if err != nil {
			d.codes["connection"]++
			return answer, err
		}
		one := asking{team: team, gateway: d.f.Gateways[gateway%len(d.f.Gateways)].Host.Name, sent: sent, first: first, told: d.f.World.Now()}
		var told struct {
			Error base.RequestError `json:"error"`
		}
		if answer.Status < 300 {
			one.allowed = true
			d.codes["allowed"]++
		} else {
			_ = json.Unmarshal(answer.Body, &told)
			d.codes[told.Error.Code]++
			if answer.Status != 403 {
				return answer, err
			}
			one.stamp = told.Error.CurrentVersion
			if told.Error.Code != "model_not_allowed" || told.Error.Execution != base.NotRun || told.Error.Team != team || told.Error.Model == "" || one.stamp == 0 {
				d.f.Tally.Breach("a refusal of access that does not say what decided: %s", answer.Body)
			}
		}
		if id := header["turn-id"]; id != "" && !one.allowed && first == sent {
			d.f.Tally.Refuse(strings.Split(path, "/")[3], id, "model_not_allowed") // it must never run
		}
		d.askings = append(d.askings, one)
		return answer, err
	}
}

// operator takes its tenant's model away and gives it back, again and again.
func (d *accessDay) operator(name string, whose tenant) {
	f := d.f
	for round := 0; d.going(); round++ {
		f.CallerHost.Clock().Sleep(d.every/2 + f.World.Between(0, d.every))
		status, answer := f.OperatorRequest(f.pick(f.Cores), "GET", "/v1/operator/settings", nil)
		var now struct {
			Stamp    uint64          `json:"stamp"`
			Document json.RawMessage `json:"document"`
		}
		if status != 200 || json.Unmarshal(answer, &now) != nil {
			continue
		}
		denied := deniedIn(string(now.Document))
		denied[whose.team] = !denied[whose.team]
		change, from := fmt.Sprintf("%s-%d", name, round), f.World.Now()
		status, answer = f.apply(change, now.Stamp, json.RawMessage(tenantTree(denied)))
		d.resolve(change, now.Stamp, &ruling{denied: denied, from: from, known: -1}, status, answer)
	}
}

func (d *accessDay) resolve(change string, basedOn uint64, made *ruling, status int, answer []byte) {
	f := d.f
	for {
		var told struct {
			Outcome string `json:"outcome"`
			Stamp   uint64 `json:"stamp"`
		}
		_ = json.Unmarshal(answer, &told)
		switch {
		case status == 200 && told.Outcome == "taken":
			f.Tally.Taken(change, basedOn, told.Stamp, f.World.Now())
			d.rulings[told.Stamp] = made
			return
		case status == 200 || status == 409:
			f.Tally.ChangeRefused(change)
			return
		}
		f.CallerHost.Clock().Sleep(300 * time.Millisecond)
		status, answer = f.OperatorRequest(f.pick(f.Cores), "POST", "/v1/operator/settings/outcome", map[string]string{"change": change})
	}
}

// look asks the cores which settings are in force.
func (d *accessDay) look() {
	f := d.f
	for {
		f.CallerHost.Clock().Sleep(50 * time.Millisecond)
		status, answer := f.OperatorRequest(f.living(), "GET", "/v1/operator/access", nil)
		var shown struct {
			InForce uint64 `json:"in_force"`
		}
		if status == 200 && json.Unmarshal(answer, &shown) == nil {
			for _, stamp := range base.SortedKeys(d.rulings) {
				if stamp <= shown.InForce && d.rulings[stamp].known < 0 {
					d.rulings[stamp].known = f.World.Now()
				}
			}
		}
	}
}

// check holds every request to what could decide it.
func (d *accessDay) check() {
	stamps := base.SortedKeys(d.rulings)
	for place, stamp := range stamps {
		if place > 0 && stamps[place-1] != stamp-1 {
			d.f.Tally.Breach("settings %d and %d were taken, and none between", stamps[place-1], stamp)
		}
	}
	// Whoever was refused by a change knows that it is in force.
	for _, one := range d.askings {
		for _, stamp := range stamps {
			if made := d.rulings[stamp]; stamp <= one.stamp && (made.known < 0 || one.told < made.known) {
				made.known = one.told
			}
		}
	}
	fresh, permit := base.DefaultBounds().AccessFreshness(), base.DefaultBounds().Lease()
	for _, one := range d.askings {
		fits, named, could := false, one.allowed, []uint64{}
		for place, stamp := range stamps {
			made := d.rulings[stamp]
			until := time.Duration(1 << 62)
			for _, later := range stamps[place+1:] {
				if known := d.rulings[later].known; known >= 0 {
					until = min(until, known+fresh)
				}
			}
			sent := one.sent
			if one.allowed {
				sent = one.first
			}
			// Where the former and the next say the same a permit is enough, so that
			// an older stamp may still be named.
			named = named || one.stamp == stamp && made.denied[one.team] && one.told >= made.from && sent <= until-fresh+permit
			if one.told < made.from || sent > until {
				continue
			}
			could = append(could, stamp)
			fits = fits || made.denied[one.team] != one.allowed
		}
		if !fits || !named {
			d.f.Tally.Breach("%s at %s, sent at %v and told at %v: allowed %v by %d, which none of %v says", one.team, one.gateway, one.sent, one.told, one.allowed, one.stamp, could)
		}
	}
}

// run plays the day, and gives how many changes came into force.
func (d *accessDay) run(t *testing.T, seed uint64, shape Shape, span time.Duration, harm string, take func(*Fleet)) {
	shape.Settings = tenantTree(nil)
	f := NewFleet(seed, shape)
	defer f.World.Close()
	if take != nil {
		take(f)
	}
	formed(t, f)
	d.f, d.rulings, d.firsts, d.codes = f, map[uint64]*ruling{1: {denied: map[string]bool{}, known: 0}}, map[string]time.Duration{}, map[string]int{}
	end := f.World.Now() + span
	d.going = func() bool { return f.World.Now() < end }
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
			enter(func() { d.operator(fmt.Sprint("operator", place), whose) })
		}
		d.people(enter)
		for _, whose := range tenants {
			for gateway := range f.Gateways {
				enter(func() { d.knock(whose, gateway) })
			}
		}
		f.Net.Faults = NetworkFaults{}
		if harm != "" {
			f.harm(harm, d.going)
		}
	})
	f.CallerHost.Go(d.look)
	if !f.World.Run(end+3*time.Minute, func() bool { return left == 0 && f.harms == 0 }) {
		f.Tally.Breach("callers were left without an end")
	}
	f.Net.Heal()
	f.Net.Faults = NetworkFaults{}
	d.check()
	if refused := d.codes["no_confirmed_settings"]; d.calm && refused > 0 {
		f.Tally.Breach("%d requests found no confirmation though all was calm", refused)
	}
	for _, name := range []string{"turns_dropped", "turns_cut", "turns_failed"} {
		if n := f.Tally.Counts[name]; d.calm && n > 0 {
			f.Tally.Breach("changes alone brought %d %s", n, name)
		}
	}
	f.CheckInvariants()
	t.Logf("seed %d: %d changes, %v, %d turns whole, took hold after %v", seed, len(d.rulings)-1, d.codes, f.Tally.Counts["turns_whole"], d.longest())
}

func (d *accessDay) inForce(stamp uint64) bool {
	status, answer := d.f.OperatorRequest(d.f.living(), "GET", "/v1/operator/access", nil)
	var shown struct {
		InForce uint64 `json:"in_force"`
	}
	return status == 200 && json.Unmarshal(answer, &shown) == nil && shown.InForce >= stamp
}

// people are the tenants' callers, and a few of the group that may always call.
func (d *accessDay) people(enter func(func())) {
	f := d.f
	for caller := range len(f.Gateways) * 3 {
		whose := tenant{"shop", "g", "stand-in"}
		if caller%3 > 0 {
			whose = tenants[caller%3-1]
		}
		enter(func() {
			for round := 0; d.going(); round++ {
				c := f.caller(fmt.Sprintf("%s%d-%d", whose.team, caller, round), caller+round)
				c.Group, c.Ask, c.Patience = whose.group, d.watched(whose.team, f.Asker(f.CallerHost)), 15*time.Second
				c.Between = func(int) { c.Clock.Sleep(f.World.Between(0, 300*time.Millisecond)) }
				if c.Start(int64(4 * f.Shape.Pieces * 8)) {
					c.Converse(4, whose.team == "shop")
				}
				c.Clock.Sleep(f.World.Between(20*time.Millisecond, 120*time.Millisecond))
			}
		})
	}
}

// knock asks one gateway for turns of one session, again and again, without ever
// moving to another: what that gateway holds is what decides.
func (d *accessDay) knock(whose tenant, gateway int) {
	f := d.f
	c := f.caller(fmt.Sprintf("knock-%s-%d", whose.team, gateway), gateway)
	c.Group, c.Ask = whose.group, f.Asker(f.CallerHost)
	for d.going() && !c.Start(1<<20) {
		c = f.caller(fmt.Sprintf("%s-", c.Name), gateway)
		c.Group, c.Ask = whose.group, f.Asker(f.CallerHost)
		c.Clock.Sleep(200 * time.Millisecond)
	}
	path, secret := c.Session()
	program := strings.Split(path, "/")[3]
	ask := d.watched(whose.team, f.Asker(f.CallerHost))
	for round := 0; d.going(); round++ {
		c.Clock.Sleep(f.World.Between(100*time.Millisecond, 200*time.Millisecond))
		f.CallerHost.Go(func() {
			id := fmt.Sprint("k", round)
			body := map[string]any{"messages": []standin.Message{{Role: "user", Content: "knock " + standin.Tag(program, id)}}, "max_output_tokens": f.Shape.Pieces + 2}
			_, _ = ask(gateway, "POST", path+"/turns", map[string]string{"authorization": "Bearer " + secret, "turn-id": id}, base.MustMarshal(body))
		})
	}
}

// longest is the longest that a change took from being asked for to be known in
// force.
func (d *accessDay) longest() (longest time.Duration) {
	for _, made := range d.rulings {
		if made.known >= 0 {
			longest = max(longest, made.known-made.from)
		}
	}
	return longest
}

func TestAccessChangesTogether(t *testing.T) {
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
				d := &accessDay{every: 3 * time.Second, calm: row.harm == ""}
				d.run(t, seed, row.shape, 24*time.Second, row.harm, nil)
				for _, breach := range d.f.Tally.Breaches {
					t.Errorf("seed %d: %s", seed, breach)
				}
				is := is.New(t)
				is.True(d.codes["allowed"] > 0)
				is.True(d.codes["model_not_allowed"] > 0)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// Without the mark of a change under way gateways go by the newest tree that
// each has heard of, and without permits by whatever they hold.
func TestAccessMechanismsTakenAwayAreCaught(t *testing.T) {
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
				d := &accessDay{every: 3 * time.Second}
				d.run(t, seed, SmallShape(), 40*time.Second, row.harm, row.take)
				if place := slices.IndexFunc(d.f.Tally.Breaches, func(breach string) bool { return strings.Contains(breach, "which none of") }); place >= 0 {
					t.Logf("without %s, seed %d: %s", row.mechanism, seed, d.f.Tally.Breaches[place])
					return
				}
			}
			t.Errorf("no seed was caught without %s", row.mechanism)
		})
	}
}
