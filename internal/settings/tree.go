// Package settings is the operators' tree: defaults, then group, site and
// route, each changing only what differs. A document is read field by field
// and judged whole: every fault is listed with its path, and a document with
// any fault is never stored. A lower level may tighten a bounded value and
// not exceed the level above.
package settings

import (
	"slices"
	"strings"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/policy"
)

// Violation is one thing wrong with a document.
type Violation struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

type valueKind int

const (
	kindInt valueKind = iota
	kindSeconds
	kindBool
	kindText
)

type spec struct {
	name      string
	kind      valueKind
	low       float64
	high      float64
	initial   any
	capped    bool
	routeOnly bool
	below     int // the highest level that may set it
}

var specs = []spec{
	{name: "queue_size", kind: kindInt, low: 1, high: 1024, initial: 32.0, capped: true},
	{name: "operation_timeout_s", kind: kindSeconds, low: 0.1, high: 3600, initial: 300.0, capped: true},
	{name: "tool_timeout_s", kind: kindSeconds, low: 0.1, high: 600, initial: 30.0, capped: true},
	{name: "max_output_tokens", kind: kindInt, low: 1, high: 1 << 20, initial: 1024.0, capped: true},
	{name: "max_body_bytes", kind: kindInt, low: 256, high: 16 << 20, initial: float64(1 << 20), capped: true},
	{name: "legs", kind: kindInt, low: 1, high: 8, initial: 2.0, capped: true},
	{name: "waiting", kind: kindInt, low: 0, high: 65536, initial: 256.0, capped: true},
	{name: "model", kind: kindText, initial: ""},
	{name: "pool", kind: kindText, initial: ""},
	{name: "policy", kind: kindText, initial: ""},
	{name: "team", kind: kindText, initial: "", below: 1},
	{name: "kind", kind: kindText, initial: "", routeOnly: true},
	{name: "repeatable", kind: kindBool, initial: false, routeOnly: true},
	{name: "path", kind: kindText, initial: "", routeOnly: true},
	{name: "fallback", kind: kindText, initial: "", routeOnly: true},
}

var boundSpecs = []spec{
	{name: "settings_bound_s", kind: kindSeconds, low: 0.5, high: 60, initial: 2.0},
	{name: "leave_bound_s", kind: kindSeconds, low: 0.5, high: 60, initial: 3.0},
	{name: "recover_bound_s", kind: kindSeconds, low: 2, high: 600, initial: 12.0},
	{name: "retain_s", kind: kindSeconds, low: 1, high: 7 * 86400, initial: 600.0},
}

func specOf(list []spec, name string) *spec {
	for place := range list {
		if list[place].name == name {
			return &list[place]
		}
	}
	return nil
}

type level struct {
	path     string
	values   map[string]any
	children map[string]*level
	teams    map[string]*access.TeamRules
	hosts    []string
}

// Tree is one whole, valid set of settings.
type Tree struct {
	root     *level
	pools    map[string]string
	policies map[string]*policy.Policy
	bounds   base.Bounds
	limits   map[string]any
	models   []string
	access   *access.Table
}

// check looks at what only the whole document can show.
func (r *reader) check(tree *Tree, limits map[string]any) {
	r.descend(tree, tree.root, map[string]any{}, 0)
	for _, groupName := range base.SortedKeys(tree.root.children) {
		for _, siteName := range base.SortedKeys(tree.root.children[groupName].children) {
			site := tree.root.children[groupName].children[siteName]
			for _, routeName := range base.SortedKeys(site.children) {
				r.checkRoute(tree, groupName, siteName, site, routeName)
			}
		}
	}
	if len(r.faults) == 0 {
		r.checkAccess(tree)
	}
}

func (r *reader) descend(tree *Tree, at *level, above map[string]any, depth int) {
	merged := map[string]any{}
	for name, value := range above {
		merged[name] = value
	}
	for _, name := range base.SortedKeys(at.values) {
		value := at.values[name]
		if found := specOf(specs, name); found.capped {
			if limit, ok := above[name].(float64); ok && value.(float64) > limit {
				r.fault(at.path+"."+name, "%v is more than the %v of the level above", value, limit)
			}
		}
		merged[name] = value
	}
	if pool, ok := at.values["pool"].(string); ok && tree.pools[pool] == "" {
		r.fault(at.path+".pool", "no pool is named %q", pool)
	}
	if source, ok := at.values["policy"].(string); ok && source != "" && tree.policies[source] == nil {
		compiled, err := policy.Compile(source)
		if err != nil {
			r.fault(at.path+".policy", "%v", err)
		}
		tree.policies[source] = compiled
	}
	for _, name := range base.SortedKeys(at.children) {
		r.descend(tree, at.children[name], merged, depth+1)
	}
}

func (r *reader) checkRoute(tree *Tree, groupName, siteName string, site *level, routeName string) {
	path := site.children[routeName].path
	route, err := tree.Route(groupName, siteName, routeName)
	if err != nil {
		r.fault(path, "%v", err)
		return
	}
	if route.Kind != "model" && route.Kind != "tool" {
		r.fault(path+".kind", `must be "model" or "tool"`)
	}
	if route.Pool == "" {
		r.fault(path+".pool", "no pool is set here or above")
	} else if tree.pools[route.Pool] != route.Kind {
		r.fault(path+".pool", "pool %q is of kind %q, the route of kind %q", route.Pool, tree.pools[route.Pool], route.Kind)
	}
	visited := []string{routeName}
	for at := route; at.Fallback != ""; {
		if slices.Contains(visited, at.Fallback) {
			r.fault(path+".fallback", "cycle: %s", strings.Join(append(visited, at.Fallback), " > "))
			return
		}
		next, ok := site.children[at.Fallback]
		if !ok {
			r.fault(path+".fallback", "no route is named %q in this site", at.Fallback)
			return
		}
		visited = append(visited, at.Fallback)
		if kind, _ := next.values["kind"].(string); kind != route.Kind {
			r.fault(path+".fallback", "route %q is of another kind", at.Fallback)
			return
		}
		at, err = tree.Route(groupName, siteName, visited[len(visited)-1])
		if err != nil {
			return
		}
	}
}

// Route is one route's settings with everything inherited.
type Route struct {
	Group, Site, Name string
	QueueSize         int
	OperationTimeout  time.Duration
	ToolTimeout       time.Duration
	MaxOutputTokens   int64
	MaxBodyBytes      int
	Legs              int
	Waiting           int
	Model             string
	Pool              string
	Kind              string
	Repeatable        bool
	Path              string
	Fallback          string
	Policy            *policy.Policy
}

// EffectiveValue is one value in force and the level it came from.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	From  string `json:"from"`
}

// Effective lists the values in force at a level: a group, a site or a
// route; empty names stop higher up.
func (t *Tree) Effective(names ...string) ([]EffectiveValue, error) {
	chain := []*level{t.root}
	for depth, name := range names {
		if name == "" {
			break
		}
		child, ok := chain[len(chain)-1].children[name]
		if !ok {
			return nil, base.Decline(404, "unknown_"+strings.TrimSuffix(depths[depth], "s"), "no %s is named %q", strings.TrimSuffix(depths[depth], "s"), name)
		}
		chain = append(chain, child)
	}
	found := []EffectiveValue{}
	for _, one := range specs {
		if one.routeOnly && len(chain) < 4 {
			continue
		}
		origin := EffectiveValue{Key: one.name, Value: one.initial, From: "default"}
		for _, at := range chain {
			if value, ok := at.values[one.name]; ok {
				origin.Value, origin.From = value, at.path
			}
		}
		found = append(found, origin)
	}
	return found, nil
}

// Route gives a route's settings.
func (t *Tree) Route(group, site, name string) (*Route, error) {
	found, err := t.Effective(group, site, name)
	if err != nil {
		return nil, err
	}
	values := map[string]any{}
	for _, origin := range found {
		values[origin.Key] = origin.Value
	}
	number := func(key string) float64 { value, _ := values[key].(float64); return value }
	text := func(key string) string { value, _ := values[key].(string); return value }
	seconds := func(key string) time.Duration { return time.Duration(number(key) * float64(time.Second)) }
	repeatable, _ := values["repeatable"].(bool)
	return &Route{Group: group, Site: site, Name: name, QueueSize: int(number("queue_size")),
		OperationTimeout: seconds("operation_timeout_s"), ToolTimeout: seconds("tool_timeout_s"),
		MaxOutputTokens: int64(number("max_output_tokens")), MaxBodyBytes: int(number("max_body_bytes")),
		Legs: int(number("legs")), Waiting: int(number("waiting")), Model: text("model"), Pool: text("pool"), Kind: text("kind"),
		Repeatable: repeatable, Path: text("path"), Fallback: text("fallback"),
		Policy: t.policies[text("policy")]}, nil
}

// Bounds are the promised times in the tree.
func (t *Tree) Bounds() base.Bounds { return t.bounds }

// PoolKind tells what a pool is for, or nothing when there is none.
func (t *Tree) PoolKind(name string) string { return t.pools[name] }

// BodyLimit is the largest request body taken anywhere in the tree.
func (t *Tree) BodyLimit() int {
	if value, ok := t.root.values["max_body_bytes"].(float64); ok {
		return int(value)
	}
	return int(specOf(specs, "max_body_bytes").initial.(float64))
}
