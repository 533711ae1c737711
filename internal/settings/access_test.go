// The tables of the rule of access: which documents are refused and by which
// field, and what those that are taken allow.
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

// duka has tills that call the checkout model, and a pay office's assistants.
const duka = `{"models":["checkout","produce","payslip"],"pools":{"m":{"kind":"model"}},"groups":{
"duka":{"teams":{"duka-bora":{"models":["checkout","produce"]},"tills":{"parent":"duka-bora"},"night":{"parent":"tills","deny":["produce"]}},"team":"duka-bora",
 "sites":{"westlands":{"team":"tills","pool":"m","hosts":["tills.example"],"routes":{
   "chat":{"kind":"model","model":"checkout","fallback":"help"},
   "help":{"kind":"model","model":"checkout"},
   "weigh":{"kind":"model","model":"produce","teams":{"tills":{"deny":["produce"]}}},
   "late":{"kind":"model","model":"checkout","team":"night"}}}}},
"plc":{"teams":{"clerks":{"models":["payslip"]}},"team":"clerks","sites":{"main":{"pool":"m","hosts":["pay.example"],"routes":{"ask":{"kind":"model","model":"payslip"}}}}}}}`

func TestFaultyAccessIsRefusedByItsField(t *testing.T) {
	is := is.New(t)
	_, faults := Parse([]byte(duka))
	is.Equal(len(faults), 0)
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
		{"empty catalogue", `{"models":["checkout","produce","payslip"]`, `{"models":[]`, "$.models"},
		{"no catalogue", `"models":["checkout","produce","payslip"],"pools"`, `"pools"`, "$.groups.duka.teams.duka-bora.models[0]"},
		{"model named twice", `["checkout","produce","payslip"]`, `["checkout","produce","payslip","produce"]`, "$.models[3]"},
		{"more for a team under another", `"tills":{"parent":"duka-bora"}`, `"tills":{"parent":"duka-bora","models":["payslip"]}`, "$.groups.duka.teams.tills.models[0]"},
		{"more at a site", `"westlands":{"team":"tills"`, `"westlands":{"teams":{"tills":{"models":["checkout","produce","payslip"]}},"team":"tills"`, site + ".teams.tills.models[2]"},
		{"more at a route than at its site", `"chat":{"kind":"model","model":"checkout"`, `"chat":{"teams":{"tills":{"models":["payslip"]}},"kind":"model","model":"checkout"`, site + ".routes.chat.teams.tills.models[0]"},
		{"another team's model at a route", `"chat":{"kind":"model","model":"checkout"`, `"chat":{"kind":"model","model":"payslip"`, site + ".routes.chat.model"},
		{"another team's model inherited", `"late":{"kind":"model","model":"checkout"`, `"late":{"kind":"model","model":"unheard-of"`, site + ".routes.late.model"},
		{"route without model", `"late":{"kind":"model","model":"checkout"`, `"late":{"kind":"model"`, site + ".routes.late.model"},
		{"a fallback to what is denied there", `"fallback":"help"`, `"fallback":"weigh"`, site + ".routes.chat.fallback"},
		{"a fallback beyond the route's rules", `"chat":{"kind":"model","model":"checkout","fallback":"help"}`, `"chat":{"kind":"model","model":"checkout","fallback":"weigh","teams":{"tills":{"models":["checkout"]}}}`, site + ".routes.chat.fallback"},
		{"another group's team", `"westlands":{"team":"tills"`, `"westlands":{"team":"clerks"`, site + ".team"},
		{"unknown team", `"team":"night"`, `"team":"day"`, site + ".routes.late.team"},
		{"a team above the one above", `"team":"night"`, `"team":"duka-bora"`, site + ".routes.late.team"},
		{"rules for an unknown team", `"weigh":{"kind":"model","model":"produce","teams":{"tills"`, `"weigh":{"kind":"model","model":"produce","teams":{"clerks"`, site + ".routes.weigh.teams.clerks"},
		{"a team set in two groups", `"teams":{"clerks":{"models":["payslip"]}},"team":"clerks"`, `"teams":{"tills":{"models":["payslip"]}},"team":"tills"`, "$.groups.plc.teams.tills"},
		{"a group without teams", `"teams":{"clerks":{"models":["payslip"]}},"team":"clerks",`, ``, "$.groups.plc.teams"},
		{"a site without team", `"teams":{"clerks":{"models":["payslip"]}},"team":"clerks"`, `"teams":{"clerks":{"models":["payslip"]}}`, "$.groups.plc.sites.main.team"},
		{"a parent below the group", `"weigh":{"kind":"model","model":"produce","teams":{"tills":{`, `"weigh":{"kind":"model","model":"produce","teams":{"tills":{"parent":"night",`, site + ".routes.weigh.teams.tills.parent"},
		{"a host of two sites", `"hosts":["pay.example"]`, `"hosts":["tills.example"]`, "$.groups.plc.sites.main.hosts[0]"},
		{"a host with a port", `"hosts":["pay.example"]`, `"hosts":["pay.example:80"]`, "$.groups.plc.sites.main.hosts[0]"},
		{"a host in upper case", `"hosts":["pay.example"]`, `"hosts":["Pay.example"]`, "$.groups.plc.sites.main.hosts[0]"},
		{"no hosts", `"hosts":["pay.example"]`, `"hosts":[]`, "$.groups.plc.sites.main.hosts"},
		{"teams at the top", `{"models"`, `{"teams":{"x":{"models":["checkout"]}},"models"`, "$.teams"},
		{"team at the top", `{"models"`, `{"team":"tills","models"`, "$.team"},
		{"hosts at a route", `"ask":{`, `"ask":{"hosts":["x.example"],`, "$.groups.plc.sites.main.routes.ask.hosts"},
		{"unknown key of a team", `"clerks":{"models"`, `"clerks":{"modles":[],"models"`, "$.groups.plc.teams.clerks.modles"},
		{"models that are no list", `"clerks":{"models":["payslip"]`, `"clerks":{"models":"payslip"`, "$.groups.plc.teams.clerks.models"},
		{"a model that is no name", `"clerks":{"models":["payslip"]`, `"clerks":{"models":[7]`, "$.groups.plc.teams.clerks.models[0]"},
		{"a team given twice", `"teams":{"clerks":{"models":["payslip"]}}`, `"teams":{"clerks":{"models":["payslip"]},"clerks":{"models":["payslip"]}}`, "$.groups.plc.teams.clerks"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			document := strings.Replace(duka, row.old, row.new, 1)
			is.True(document != duka)
			tree, faults := Parse([]byte(document))
			is.True(tree == nil)
			is.True(len(faults) > 0)
			is.Equal(faults[0].Path, row.path)
		})
	}
}

func TestATreeWithoutTeamsAllowsEverything(t *testing.T) {
	is := is.New(t)
	tree, faults := Parse([]byte(whole))
	is.Equal(len(faults), 0)
	is.True(tree.Access() == nil)
	is.Equal(tree.Access().Digest(), "")
	_, faults = Parse([]byte(`{"models":["a"],"pools":{"m":{"kind":"model"}},"groups":{"g":{"sites":{"s":{"pool":"m","routes":{"r":{"kind":"model","model":"b"}}}}}}}`))
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Path, "$.groups.g.sites.s.routes.r.model") // where models are named, routes may name no other
}

func TestWhatATeamMayCall(t *testing.T) {
	is := is.New(t)
	tree, faults := Parse([]byte(duka))
	is.Equal(len(faults), 0)
	table := tree.Access()
	own := func(site, route string) access.Request {
		group, name, _ := strings.Cut(site, "/")
		return access.Request{Scope: access.Scope{Group: group, Site: name, Route: route}}
	}
	call := func(host, route, model string) access.Request {
		return access.Request{Host: host, Scope: access.Scope{Route: route}, Model: model}
	}
	rows := []struct {
		asked   access.Request
		team    string
		allowed bool
	}{
		{own("duka/westlands", "chat"), "tills", true},
		{own("duka/westlands", "weigh"), "tills", false},
		{own("duka/westlands", "late"), "night", true},
		{own("plc/main", "ask"), "clerks", true},
		{own("plc/main", "none"), "", false},
		{call("tills.example", "till-dispute", "checkout"), "tills", true},
		{call("tills.example", "till-dispute", "produce"), "tills", true},
		{call("tills.example", "till-dispute", "payslip"), "tills", false},
		{call("tills.example", "till-dispute", "never-heard-of"), "tills", false},
		{call("tills.example", "till-dispute", ""), "tills", false},
		{call("tills.example", "chat", ""), "tills", true},
		{call("tills.example", "weigh", "produce"), "tills", false},
		{call("tills.example", "late", "produce"), "night", false},
		{call("pay.example", "x", "payslip"), "clerks", true},
		{call("pay.example", "x", "checkout"), "clerks", false},
		{call("other.example", "x", "checkout"), "", false},
	}
	for _, row := range rows {
		t.Run(fmt.Sprint(row.asked), func(t *testing.T) {
			is := is.New(t)
			found := table.Decide(&row.asked)
			is.Equal(found.Team, row.team)
			is.Equal(found.Allowed, row.allowed)
		})
	}
	open, faults := Parse([]byte(strings.Replace(duka, `"hosts":["pay.example"]`, `"hosts":["pay.example","*"]`, 1)))
	is.Equal(len(faults), 0)
	asked := call("other.example", "x", "payslip")
	is.Equal(open.Access().Decide(&asked).Team, "clerks")
}

func TestCheckSaysWhy(t *testing.T) {
	is := is.New(t)
	tree, _ := Parse([]byte(duka))
	reasons, err := tree.Access().Explain("tills", "produce")
	is.NoErr(err)
	why := map[string]access.Reason{}
	for _, one := range reasons {
		why[one.Path] = one
	}
	is.Equal(why["$.groups.duka.teams.tills"].Allowed, true)
	is.Equal(why["$.groups.duka.teams.tills"].Why, "listed in $.groups.duka.teams.duka-bora.models")
	is.Equal(why["$.groups.duka.sites.westlands.routes.weigh"].Why, "denied by $.groups.duka.sites.westlands.routes.weigh.teams.tills.deny")
	is.Equal(why["$.groups.duka.sites.westlands.routes.late"].Why, "denied by $.groups.duka.teams.night.deny")
	reasons, err = tree.Access().Explain("clerks", "checkout")
	is.NoErr(err)
	is.Equal(reasons[0].Why, "not listed in $.groups.plc.teams.clerks.models")
	_, err = tree.Access().Explain("nobody", "checkout")
	is.True(strings.Contains(err.Error(), "nobody"))
	_, err = tree.Access().Explain("clerks", "nothing")
	is.True(strings.Contains(err.Error(), "nothing"))
}

func TestDiffOfAccess(t *testing.T) {
	is := is.New(t)
	was, _ := Parse([]byte(duka))
	now, faults := Parse([]byte(strings.Replace(duka, `"duka-bora":{"models"`, `"duka-bora":{"deny":["produce"],"models"`, 1)))
	is.Equal(len(faults), 0)
	is.True(was.Access().Digest() != now.Access().Digest())
	changes := access.Diff(was.Access(), now.Access())
	is.True(len(changes) > 0)
	for _, one := range changes {
		is.Equal(one.Model, "produce")
		is.Equal(one.Effect, "refused")
	}
	is.Equal(len(access.Diff(was.Access(), was.Access())), 0)
	same, _ := Parse([]byte(strings.Replace(duka, `"groups"`, `"queue_size":4,"groups"`, 1)))
	is.Equal(same.Access().Digest(), was.Access().Digest()) // other values do not change what teams may call
}

func TestAPlaceKeepsTheBoundsThatADocumentDoesNotSet(t *testing.T) {
	is := is.New(t)
	place := &base.Bounds{Settings: 3 * time.Second, Leave: 4 * time.Second, Recover: 20 * time.Second, Retain: time.Minute}
	tree, faults := Parse([]byte(`{"bounds":{"leave_bound_s":2}}`))
	is.Equal(len(faults), 0)
	is.Equal(tree.BoundsWithDefaults(place), base.Bounds{Settings: 3 * time.Second, Leave: 2 * time.Second, Recover: 20 * time.Second, Retain: time.Minute})
	is.Equal(tree.BoundsWithDefaults(nil), tree.Bounds())
}

// A frame of the feed is read once for each tree, and a change under way gives
// both tables, also to a node that has only just begun.
func TestANodeKnowsWhatIsInForceAndWhatIsNext(t *testing.T) {
	is := is.New(t)
	was, next := []byte(duka), []byte(strings.Replace(duka, `"tills":{"parent":"duka-bora"}`, `"tills":{"parent":"duka-bora","deny":["checkout"]}`, 1))
	next = []byte(strings.Replace(string(next), `"chat":{"kind":"model","model":"checkout","fallback":"help"}`, `"chat":{"kind":"model","model":"checkout"}`, 1))
	asked := &access.Request{Scope: access.Scope{Group: "duka", Site: "westlands", Route: "chat"}}
	key := func(stamp uint64, document []byte) []byte {
		return base.Encode(Record{Stamp: stamp, Document: document, Access: "x"})
	}
	packed := func() []byte {
		var into bytes.Buffer
		writer, _ := flate.NewWriter(&into, flate.BestSpeed)
		_, _ = writer.Write(was)
		_ = writer.Close()
		return into.Bytes()
	}()
	under := base.Encode(access.Pending{InForce: 1, Target: 2, CompressedDocument: packed})
	before, during, after := map[string][]byte{Key: key(1, was)}, map[string][]byte{Key: key(2, next), access.PendingKey: under}, map[string][]byte{Key: key(2, next)}
	for _, frames := range [][]map[string][]byte{{before, during, after}, {during, after}, {before, after}} {
		known := &FeedCache{}
		for _, frame := range frames {
			_, tree, _ := known.Update(frame)
			is.True(tree != nil)
			force, coming := known.AccessTables()
			_, changing := frame[access.PendingKey]
			is.Equal(coming != nil, changing)
			is.Equal(force.Stamp == 1, changing || string(frame[Key]) == string(before[Key]))
			is.Equal(force.Table.Decide(asked).Allowed, force.Stamp == 1)
			if coming != nil {
				is.Equal(coming.Stamp, uint64(2))
				is.True(!coming.Table.Decide(asked).Allowed)
			}
			_, again, fresh := known.Update(frame)
			is.True(again == tree && !fresh)
		}
	}
	known := &FeedCache{}
	_, tree, fresh := known.Update(map[string][]byte{})
	is.True(tree == nil && !fresh)
}
