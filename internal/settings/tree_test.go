package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validDocument = `{"pools":{"m":{"kind":"model"},"a":{"kind":"tool"}},"queue_size":16,
"groups":{"g":{"queue_size":8,"sites":{"s":{"pool":"m","routes":{
"chat":{"kind":"model","queue_size":4},"pay":{"kind":"tool","pool":"a","path":"/pay"}}}}}}}`

// Each invalid document is rejected as a whole, and the first violation has the
// path of what is wrong.
func TestViolationsAreReportedWithTheirPath(t *testing.T) {
	rows := []struct{ name, document, path string }{
		{"not an object", `[]`, "$"},
		{"broken", `{"queue_size":`, "$"},
		{"two values", `{} {}`, "$"},
		{"unknown key", `{"queue_sise":1}`, "$.queue_sise"},
		{"wrong type", `{"queue_size":"8"}`, "$.queue_size"},
		{"not a whole number", `{"queue_size":1.5}`, "$.queue_size"},
		{"out of range", `{"queue_size":0}`, "$.queue_size"},
		{"given twice", `{"queue_size":1,"queue_size":2}`, "$.queue_size"},
		{"level given twice", `{"groups":{"g":{},"g":{}}}`, "$.groups.g"},
		{"dangling pool", `{"pool":"none"}`, "$.pool"},
		{"lower level exceeds", `{"queue_size":4,"groups":{"g":{"queue_size":5}}}`, "$.groups.g.queue_size"},
		{"lower level exceeds one further up", `{"queue_size":4,"groups":{"g":{"sites":{"s":{"queue_size":9}}}}}`, "$.groups.g.sites.s.queue_size"},
		{"route key above a route", `{"repeatable":true}`, "$.repeatable"},
		{"route without kind", `{"pools":{"m":{"kind":"model"}},"groups":{"g":{"sites":{"s":{"routes":{"r":{"pool":"m"}}}}}}}`, "$.groups.g.sites.s.routes.r.kind"},
		{"pool of another kind", `{"pools":{"m":{"kind":"model"}},"groups":{"g":{"sites":{"s":{"routes":{"r":{"pool":"m","kind":"tool"}}}}}}}`, "$.groups.g.sites.s.routes.r.pool"},
		{"dangling fallback", `{"pools":{"m":{"kind":"model"}},"groups":{"g":{"sites":{"s":{"routes":{"r":{"pool":"m","kind":"model","fallback":"q"}}}}}}}`, "$.groups.g.sites.s.routes.r.fallback"},
		{"cycle", `{"pools":{"m":{"kind":"model"}},"groups":{"g":{"sites":{"s":{"routes":{"r":{"pool":"m","kind":"model","fallback":"q"},"q":{"pool":"m","kind":"model","fallback":"r"}}}}}}}`, "$.groups.g.sites.s.routes.q.fallback"},
		{"bounds do not fit", `{"bounds":{"settings_bound_s":10,"recover_bound_s":12}}`, "$.bounds.recover_bound_s"},
		{"faulty policy", `{"policy":"def admit(s): return 1"}`, "$.policy"},
		{"feed request longer than a lease", `{"bounds":{"settings_bound_s":0.5}}`, "$.bounds.settings_bound_s"},
		{"suspected between heartbeats", `{"bounds":{"leave_bound_s":3,"recover_bound_s":4}}`, "$.bounds.recover_bound_s"},
		{"retention too short", `{"bounds":{"retain_s":5}}`, "$.bounds.retain_s"},
		{"bad name", `{"groups":{"a/b":{}}}`, "$.groups"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			tree, violations := Parse([]byte(row.document))
			is.True(tree == nil)
			is.True(len(violations) > 0)
			is.Equal(violations[0].Path, row.path)
		})
	}
}

func TestEveryViolationIsListed(t *testing.T) {
	is := is.New(t)
	_, violations := Parse([]byte(`{"queue_size":0,"nonsense":1,"pools":{"m":{"kind":"x"}}}`))
	is.Equal(len(violations), 3)
}

// A level inherits what it does not set from the levels above.
func TestLevelsInheritValues(t *testing.T) {
	is := is.New(t)
	tree, violations := Parse([]byte(validDocument))
	is.Equal(len(violations), 0)
	chat, err := tree.Route("g", "s", "chat")
	is.NoErr(err)
	is.Equal(chat.QueueSize, 4)
	is.Equal(chat.Pool, "m")
	is.Equal(chat.OperationTimeout.Seconds(), 300.0)
	pay, err := tree.Route("g", "s", "pay")
	is.NoErr(err)
	is.Equal(pay.QueueSize, 8)
	is.Equal(pay.Pool, "a")
	is.True(!pay.Repeatable)
	values, err := tree.Effective("g", "s", "chat")
	is.NoErr(err)
	fromLevel := map[string]string{}
	for _, value := range values {
		fromLevel[value.Key] = value.From
	}
	is.Equal(fromLevel["queue_size"], "$.groups.g.sites.s.routes.chat")
	is.Equal(fromLevel["pool"], "$.groups.g.sites.s")
	is.Equal(fromLevel["tool_timeout_s"], "default")
	_, err = tree.Route("g", "s", "none")
	is.True(strings.Contains(err.Error(), "unknown_route"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"groups":{"g":{"sites":{}}}}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		tree, violations := Parse(document)
		if (tree == nil) == (len(violations) == 0) {
			t.Fatalf("a document is either a tree or has faults: %v", violations)
		}
	})
}
