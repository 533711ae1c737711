package settings

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"

	"github.com/matryer/is"
)

// groceryDocument has a grocery's tills, which call the checkout model, and a
// pay office whose clerks call another one.
const groceryDocument = `{"models":["checkout","produce","payslip"],"pools":{"m":{"kind":"model"}},"groups":{
"duka":{"teams":{"duka-bora":{"models":["checkout","produce"]},"tills":{"parent":"duka-bora"},"night":{"parent":"tills","deny":["produce"]}},"team":"duka-bora",
 "sites":{"westlands":{"team":"tills","pool":"m","hosts":["tills.example"],"routes":{
   "chat":{"kind":"model","model":"checkout","fallback":"help"},
   "help":{"kind":"model","model":"checkout"},
   "weigh":{"kind":"model","model":"produce","teams":{"tills":{"deny":["produce"]}}},
   "late":{"kind":"model","model":"checkout","team":"night"}}}}},
"plc":{"teams":{"clerks":{"models":["payslip"]}},"team":"clerks","sites":{"main":{"pool":"m","hosts":["pay.example"],"routes":{"ask":{"kind":"model","model":"payslip"}}}}}}}`

// Each invalid rule of access is rejected with the path of its field.
func TestInvalidAccessRulesAreRejectedByField(t *testing.T) {
	is := is.New(t)
	_, violations := Parse([]byte(groceryDocument))
	is.Equal(len(violations), 0)
	const site = "$.groups.duka.sites.westlands"
	rows := []struct{ name, old, new, path string }{
		{"unknown model of a team", `"models":["payslip"]`, `"models":["payslips"]`, "$.groups.plc.teams.clerks.models[0]"},
		{"unknown model denied", `"deny":["produce"]}},"team":"duka-bora"`, `"deny":["bread"]}},"team":"duka-bora"`, "$.groups.duka.teams.night.deny[0]"},
		{"unknown parent", `"parent":"duka-bora"`, `"parent":"duka-nzuri"`, "$.groups.duka.teams.tills.parent"},
		{"loop", `"duka-bora":{"models":["checkout","produce"]}`, `"duka-bora":{"parent":"night"}`, "$.groups.duka.teams.duka-bora.parent"},
		{"its own parent", `"duka-bora":{"models":["checkout","produce"]}`, `"duka-bora":{"parent":"duka-bora"}`, "$.groups.duka.teams.duka-bora.parent"},
		{"empty models", `"models":["payslip"]`, `"models":[]`, "$.groups.plc.teams.clerks.models"},
		{"empty deny", `"deny":["produce"]}},"team":"duka-bora"`, `"deny":[]}},"team":"duka-bora"`, "$.groups.duka.teams.night.deny"},
		{"no models at all", `"clerks":{"models":["payslip"]}`, `"clerks":{}`, "$.groups.plc.teams.clerks.models"},
		{"empty teams", `"teams":{"clerks":{"models":["payslip"]}},"team":"clerks"`, `"teams":{}`, "$.groups.plc.teams"},
		{"empty list of models", `{"models":["checkout","produce","payslip"]`, `{"models":[]`, "$.models"},
		{"no list of models", `"models":["checkout","produce","payslip"],"pools"`, `"pools"`, "$.groups.duka.teams.duka-bora.models[0]"},
		{"model listed twice", `["checkout","produce","payslip"]`, `["checkout","produce","payslip","produce"]`, "$.models[3]"},
		{"child team with a model that its parent lacks", `"tills":{"parent":"duka-bora"}`, `"tills":{"parent":"duka-bora","models":["payslip"]}`, "$.groups.duka.teams.tills.models[0]"},
		{"site adds a model", `"westlands":{"team":"tills"`, `"westlands":{"teams":{"tills":{"models":["checkout","produce","payslip"]}},"team":"tills"`, site + ".teams.tills.models[2]"},
		{"route adds a model", `"chat":{"kind":"model","model":"checkout"`, `"chat":{"teams":{"tills":{"models":["payslip"]}},"kind":"model","model":"checkout"`, site + ".routes.chat.teams.tills.models[0]"},
		{"another team's model at a route", `"chat":{"kind":"model","model":"checkout"`, `"chat":{"kind":"model","model":"payslip"`, site + ".routes.chat.model"},
		{"another team's model inherited", `"late":{"kind":"model","model":"checkout"`, `"late":{"kind":"model","model":"unheard-of"`, site + ".routes.late.model"},
		{"route without model", `"late":{"kind":"model","model":"checkout"`, `"late":{"kind":"model"`, site + ".routes.late.model"},
		{"fallback to a model denied at its route", `"fallback":"help"`, `"fallback":"weigh"`, site + ".routes.chat.fallback"},
		{"fallback to a model the route does not list", `"chat":{"kind":"model","model":"checkout","fallback":"help"}`, `"chat":{"kind":"model","model":"checkout","fallback":"weigh","teams":{"tills":{"models":["checkout"]}}}`, site + ".routes.chat.fallback"},
		{"another group's team", `"westlands":{"team":"tills"`, `"westlands":{"team":"clerks"`, site + ".team"},
		{"unknown team", `"team":"night"`, `"team":"day"`, site + ".routes.late.team"},
		{"team above the inherited one", `"team":"night"`, `"team":"duka-bora"`, site + ".routes.late.team"},
		{"rules for an unknown team", `"weigh":{"kind":"model","model":"produce","teams":{"tills"`, `"weigh":{"kind":"model","model":"produce","teams":{"clerks"`, site + ".routes.weigh.teams.clerks"},
		{"a team set in two groups", `"teams":{"clerks":{"models":["payslip"]}},"team":"clerks"`, `"teams":{"tills":{"models":["payslip"]}},"team":"tills"`, "$.groups.plc.teams.tills"},
		{"a group without teams", `"teams":{"clerks":{"models":["payslip"]}},"team":"clerks",`, ``, "$.groups.plc.teams"},
		{"a site without team", `"teams":{"clerks":{"models":["payslip"]}},"team":"clerks"`, `"teams":{"clerks":{"models":["payslip"]}}`, "$.groups.plc.sites.main.team"},
		{"parent set below the group", `"weigh":{"kind":"model","model":"produce","teams":{"tills":{`, `"weigh":{"kind":"model","model":"produce","teams":{"tills":{"parent":"night",`, site + ".routes.weigh.teams.tills.parent"},
		{"a host of two sites", `"hosts":["pay.example"]`, `"hosts":["tills.example"]`, "$.groups.plc.sites.main.hosts[0]"},
		{"a host with a port", `"hosts":["pay.example"]`, `"hosts":["pay.example:80"]`, "$.groups.plc.sites.main.hosts[0]"},
		{"a host in upper case", `"hosts":["pay.example"]`, `"hosts":["Pay.example"]`, "$.groups.plc.sites.main.hosts[0]"},
		{"no hosts", `"hosts":["pay.example"]`, `"hosts":[]`, "$.groups.plc.sites.main.hosts"},
		{"teams at the root", `{"models"`, `{"teams":{"x":{"models":["checkout"]}},"models"`, "$.teams"},
		{"team at the root", `{"models"`, `{"team":"tills","models"`, "$.team"},
		{"hosts at a route", `"ask":{`, `"ask":{"hosts":["x.example"],`, "$.groups.plc.sites.main.routes.ask.hosts"},
		{"unknown key of a team", `"clerks":{"models"`, `"clerks":{"modles":[],"models"`, "$.groups.plc.teams.clerks.modles"},
		{"models not a list", `"clerks":{"models":["payslip"]`, `"clerks":{"models":"payslip"`, "$.groups.plc.teams.clerks.models"},
		{"model not a string", `"clerks":{"models":["payslip"]`, `"clerks":{"models":[7]`, "$.groups.plc.teams.clerks.models[0]"},
		{"a team given twice", `"teams":{"clerks":{"models":["payslip"]}}`, `"teams":{"clerks":{"models":["payslip"]},"clerks":{"models":["payslip"]}}`, "$.groups.plc.teams.clerks"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			document := strings.Replace(groceryDocument, row.old, row.new, 1)
			is.True(document != groceryDocument)
			tree, violations := Parse([]byte(document))
			is.True(tree == nil)
			is.True(len(violations) > 0)
			is.Equal(violations[0].Path, row.path)
		})
	}
}

func TestATreeWithoutTeamsAllowsEverything(t *testing.T) {
	is := is.New(t)
	tree, violations := Parse([]byte(validDocument))
	is.Equal(len(violations), 0)
	is.True(tree.Access() == nil)
	is.Equal(tree.Access().Digest(), "")
	_, violations = Parse([]byte(`{"models":["a"],"pools":{"m":{"kind":"model"}},"groups":{"g":{"sites":{"s":{"pool":"m","routes":{"r":{"kind":"model","model":"b"}}}}}}}`))
	is.Equal(len(violations), 1)
	is.Equal(violations[0].Path, "$.groups.g.sites.s.routes.r.model") // where the tree lists models, routes may only name these
}

func TestDecisions(t *testing.T) {
	is := is.New(t)
	tree, violations := Parse([]byte(groceryDocument))
	is.Equal(len(violations), 0)
	table := tree.Access()
	routeRequest := func(site, route string) access.Request {
		group, name, _ := strings.Cut(site, "/")
		return access.Request{Scope: access.Scope{Group: group, Site: name, Route: route}}
	}
	hostRequest := func(host, route, model string) access.Request {
		return access.Request{Host: host, Scope: access.Scope{Route: route}, Model: model}
	}
	rows := []struct {
		asked   access.Request
		team    string
		allowed bool
	}{
		{routeRequest("duka/westlands", "chat"), "tills", true},
		{routeRequest("duka/westlands", "weigh"), "tills", false},
		{routeRequest("duka/westlands", "late"), "night", true},
		{routeRequest("plc/main", "ask"), "clerks", true},
		{routeRequest("plc/main", "none"), "", false},
		{hostRequest("tills.example", "till-dispute", "checkout"), "tills", true},
		{hostRequest("tills.example", "till-dispute", "produce"), "tills", true},
		{hostRequest("tills.example", "till-dispute", "payslip"), "tills", false},
		{hostRequest("tills.example", "till-dispute", "never-heard-of"), "tills", false},
		{hostRequest("tills.example", "till-dispute", ""), "tills", false},
		{hostRequest("tills.example", "chat", ""), "tills", true},
		{hostRequest("tills.example", "weigh", "produce"), "tills", false},
		{hostRequest("tills.example", "late", "produce"), "night", false},
		{hostRequest("pay.example", "x", "payslip"), "clerks", true},
		{hostRequest("pay.example", "x", "checkout"), "clerks", false},
		{hostRequest("other.example", "x", "checkout"), "", false},
	}
	for _, row := range rows {
		t.Run(fmt.Sprint(row.asked), func(t *testing.T) {
			is := is.New(t)
			decision := table.Decide(&row.asked)
			is.Equal(decision.Team, row.team)
			is.Equal(decision.Allowed, row.allowed)
		})
	}
	open, violations := Parse([]byte(strings.Replace(groceryDocument, `"hosts":["pay.example"]`, `"hosts":["pay.example","*"]`, 1)))
	is.Equal(len(violations), 0)
	request := hostRequest("other.example", "x", "payslip")
	is.Equal(open.Access().Decide(&request).Team, "clerks")
}

func TestExplainGivesReasons(t *testing.T) {
	is := is.New(t)
	tree, _ := Parse([]byte(groceryDocument))
	reasons, err := tree.Access().Explain("tills", "produce")
	is.NoErr(err)
	reasonByPath := map[string]access.Reason{}
	for _, reason := range reasons {
		reasonByPath[reason.Path] = reason
	}
	is.Equal(reasonByPath["$.groups.duka.teams.tills"].Allowed, true)
	is.Equal(reasonByPath["$.groups.duka.teams.tills"].Why, "listed in $.groups.duka.teams.duka-bora.models")
	is.Equal(reasonByPath["$.groups.duka.sites.westlands.routes.weigh"].Why, "denied by $.groups.duka.sites.westlands.routes.weigh.teams.tills.deny")
	is.Equal(reasonByPath["$.groups.duka.sites.westlands.routes.late"].Why, "denied by $.groups.duka.teams.night.deny")
	reasons, err = tree.Access().Explain("clerks", "checkout")
	is.NoErr(err)
	is.Equal(reasons[0].Why, "not listed in $.groups.plc.teams.clerks.models")
	_, err = tree.Access().Explain("nobody", "checkout")
	is.True(strings.Contains(err.Error(), "nobody"))
	_, err = tree.Access().Explain("clerks", "nothing")
	is.True(strings.Contains(err.Error(), "nothing"))
}

func TestAccessDiff(t *testing.T) {
	is := is.New(t)
	before, _ := Parse([]byte(groceryDocument))
	after, violations := Parse([]byte(strings.Replace(groceryDocument, `"duka-bora":{"models"`, `"duka-bora":{"deny":["produce"],"models"`, 1)))
	is.Equal(len(violations), 0)
	is.True(before.Access().Digest() != after.Access().Digest())
	differences := access.Diff(before.Access(), after.Access())
	is.True(len(differences) > 0)
	for _, difference := range differences {
		is.Equal(difference.Model, "produce")
		is.Equal(difference.Effect, "refused")
	}
	is.Equal(len(access.Diff(before.Access(), before.Access())), 0)
	unrelated, _ := Parse([]byte(strings.Replace(groceryDocument, `"groups"`, `"queue_size":4,"groups"`, 1)))
	is.Equal(unrelated.Access().Digest(), before.Access().Digest()) // other values do not change what teams may call
}

func TestBoundsWithDefaults(t *testing.T) {
	is := is.New(t)
	defaults := &base.Bounds{SettingsApply: 3 * time.Second, Drain: 4 * time.Second, Recovery: 20 * time.Second, Retention: time.Minute}
	tree, violations := Parse([]byte(`{"bounds":{"leave_bound_s":2}}`))
	is.Equal(len(violations), 0)
	is.Equal(tree.BoundsWithDefaults(defaults), base.Bounds{SettingsApply: 3 * time.Second, Drain: 2 * time.Second, Recovery: 20 * time.Second, Retention: time.Minute})
	is.Equal(tree.BoundsWithDefaults(nil), tree.Bounds())
}

// A document is parsed once for each version, and a snapshot with a pending
// change gives both tables, also to a node that starts during the change.
func TestFeedCacheDuringAChange(t *testing.T) {
	is := is.New(t)
	oldDocument, newDocument := []byte(groceryDocument), []byte(strings.Replace(groceryDocument, `"tills":{"parent":"duka-bora"}`, `"tills":{"parent":"duka-bora","deny":["checkout"]}`, 1))
	newDocument = []byte(strings.Replace(string(newDocument), `"chat":{"kind":"model","model":"checkout","fallback":"help"}`, `"chat":{"kind":"model","model":"checkout"}`, 1))
	request := &access.Request{Scope: access.Scope{Group: "duka", Site: "westlands", Route: "chat"}}
	encodeRecord := func(version uint64, document []byte) []byte {
		return base.MustMarshal(Record{Version: version, Document: document, Access: "x"})
	}
	compressed := func() []byte {
		var buffer bytes.Buffer
		writer, _ := flate.NewWriter(&buffer, flate.BestSpeed)
		_, _ = writer.Write(oldDocument)
		_ = writer.Close()
		return buffer.Bytes()
	}()
	pending := base.MustMarshal(access.Pending{InForce: 1, Target: 2, CompressedDocument: compressed})
	before, during, after := map[string][]byte{Key: encodeRecord(1, oldDocument)}, map[string][]byte{Key: encodeRecord(2, newDocument), access.PendingKey: pending}, map[string][]byte{Key: encodeRecord(2, newDocument)}
	for _, snapshots := range [][]map[string][]byte{{before, during, after}, {during, after}, {before, after}} {
		cache := &FeedCache{}
		for _, values := range snapshots {
			_, tree, _ := cache.Update(values)
			is.True(tree != nil)
			inForce, next := cache.AccessTables()
			_, pendingChange := values[access.PendingKey]
			is.Equal(next != nil, pendingChange)
			is.Equal(inForce.Version == 1, pendingChange || string(values[Key]) == string(before[Key]))
			is.Equal(inForce.Table.Decide(request).Allowed, inForce.Version == 1)
			if next != nil {
				is.Equal(next.Version, uint64(2))
				is.True(!next.Table.Decide(request).Allowed)
			}
			_, again, changed := cache.Update(values)
			is.True(again == tree && !changed)
		}
	}
	cache := &FeedCache{}
	_, tree, changed := cache.Update(map[string][]byte{})
	is.True(tree == nil && !changed)
}
