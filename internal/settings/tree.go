// Package settings holds the operators' configuration: a tree of default
// values, groups, sites and routes, in which each level only sets what differs
// from the level above. Some values are limits that a lower level may only
// tighten. Parse validates a document as a whole and reports every violation
// with its path; a document with a violation is never stored.
//
// A change of the settings is accepted or refused by the leader of the feed's
// shard, by compare-and-set on the version that it was based on. A sender that
// does not know the outcome of a change asks for it by the change's id. The
// change either turns out to be accepted, or its id is stored as refused on a
// majority before that answer is given, so that a late copy can never take
// effect.
package settings

import (
	"slices"
	"strings"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/policy"
)

// Violation is one error in a document, with the path of the value.
type Violation struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// valueKind is the type of a value.
type valueKind int

const (
	kindInt valueKind = iota
	kindSeconds
	kindBool
	kindText
)

// fieldSpec describes a value that a document may set.
type fieldSpec struct {
	name         string
	kind         valueKind
	min          float64
	max          float64
	defaultValue any
	capped       bool // a level may not exceed the levels above
	routeOnly    bool
	minDepth     int // 0 if the root may set it, 1 for groups, 2 for sites
}

// levelSpecs describes the values of groups, sites and routes, and of the root.
var levelSpecs = []fieldSpec{
	{name: "queue_size", kind: kindInt, min: 1, max: 1024, defaultValue: 32.0, capped: true},
	{name: "operation_timeout_s", kind: kindSeconds, min: 0.1, max: 3600, defaultValue: 300.0, capped: true},
	{name: "tool_timeout_s", kind: kindSeconds, min: 0.1, max: 600, defaultValue: 30.0, capped: true},
	{name: "max_output_tokens", kind: kindInt, min: 1, max: 1 << 20, defaultValue: 1024.0, capped: true},
	{name: "max_body_bytes", kind: kindInt, min: 256, max: 16 << 20, defaultValue: float64(1 << 20), capped: true},
	{name: "legs", kind: kindInt, min: 1, max: 8, defaultValue: 2.0, capped: true},
	{name: "waiting", kind: kindInt, min: 0, max: 65536, defaultValue: 256.0, capped: true},
	{name: "model", kind: kindText, defaultValue: ""},
	{name: "pool", kind: kindText, defaultValue: ""},
	{name: "policy", kind: kindText, defaultValue: ""},
	{name: "team", kind: kindText, defaultValue: "", minDepth: 1},
	{name: "kind", kind: kindText, defaultValue: "", routeOnly: true},
	{name: "repeatable", kind: kindBool, defaultValue: false, routeOnly: true},
	{name: "path", kind: kindText, defaultValue: "", routeOnly: true},
	{name: "fallback", kind: kindText, defaultValue: "", routeOnly: true},
}

// boundSpecs describes the bounds, which only the root sets.
var boundSpecs = []fieldSpec{
	{name: "settings_bound_s", kind: kindSeconds, min: 0.5, max: 60, defaultValue: 2.0},
	{name: "leave_bound_s", kind: kindSeconds, min: 0.5, max: 60, defaultValue: 3.0},
	{name: "recover_bound_s", kind: kindSeconds, min: 2, max: 600, defaultValue: 12.0},
	{name: "retain_s", kind: kindSeconds, min: 1, max: 7 * 86400, defaultValue: 600.0},
}

// findSpec returns the description of a value, or nil.
func findSpec(specs []fieldSpec, name string) *fieldSpec {
	for i := range specs {
		if specs[i].name == name {
			return &specs[i]
		}
	}
	return nil
}

// treeLevel is the root, a group, a site or a route as the document sets it.
type treeLevel struct {
	path     string
	values   map[string]any
	children map[string]*treeLevel
	teams    map[string]*access.TeamRules
	hosts    []string
}

// Tree is one complete and valid set of settings.
type Tree struct {
	root        *treeLevel
	pools       map[string]string
	policies    map[string]*policy.Policy
	bounds      base.Bounds
	boundValues map[string]any
	models      []string
	access      *access.Table
}

// checkDocument validates what depends on several parts of the document.
func (p *parser) checkDocument(tree *Tree, boundValues map[string]any) {
	p.checkLevel(tree, tree.root, map[string]any{}, 0)
	for _, groupName := range base.SortedKeys(tree.root.children) {
		for _, siteName := range base.SortedKeys(tree.root.children[groupName].children) {
			site := tree.root.children[groupName].children[siteName]
			for _, routeName := range base.SortedKeys(site.children) {
				p.checkRoute(tree, groupName, siteName, site, routeName)
			}
		}
	}
	if len(p.violations) == 0 {
		p.checkAccess(tree)
	}
}

// checkLevel validates the values of a level against those it inherits, and
// then the levels below. It also compiles the policies.
func (p *parser) checkLevel(tree *Tree, level *treeLevel, inherited map[string]any, depth int) {
	effective := map[string]any{}
	for name, value := range inherited {
		effective[name] = value
	}
	for _, name := range base.SortedKeys(level.values) {
		value := level.values[name]
		if spec := findSpec(levelSpecs, name); spec.capped {
			if limit, ok := inherited[name].(float64); ok && value.(float64) > limit {
				p.reject(level.path+"."+name, "%v exceeds the %v of the level above", value, limit)
			}
		}
		effective[name] = value
	}
	if pool, ok := level.values["pool"].(string); ok && tree.pools[pool] == "" {
		p.reject(level.path+".pool", "no pool is named %q", pool)
	}
	if source, ok := level.values["policy"].(string); ok && source != "" && tree.policies[source] == nil {
		compiled, err := policy.Compile(source)
		if err != nil {
			p.reject(level.path+".policy", "%v", err)
		}
		tree.policies[source] = compiled
	}
	for _, name := range base.SortedKeys(level.children) {
		p.checkLevel(tree, level.children[name], effective, depth+1)
	}
}

// checkRoute validates the kind, pool and fallbacks of a route.
func (p *parser) checkRoute(tree *Tree, groupName, siteName string, site *treeLevel, routeName string) {
	path := site.children[routeName].path
	route, err := tree.Route(groupName, siteName, routeName)
	if err != nil {
		p.reject(path, "%v", err)
		return
	}
	if route.Kind != "model" && route.Kind != "tool" {
		p.reject(path+".kind", `must be "model" or "tool"`)
	}
	if route.Pool == "" {
		p.reject(path+".pool", "no pool is set here or at a level above")
	} else if tree.pools[route.Pool] != route.Kind {
		p.reject(path+".pool", "pool %q is of kind %q, the route of kind %q", route.Pool, tree.pools[route.Pool], route.Kind)
	}
	chain := []string{routeName}
	for current := route; current.Fallback != ""; {
		if slices.Contains(chain, current.Fallback) {
			p.reject(path+".fallback", "cycle: %s", strings.Join(append(chain, current.Fallback), " > "))
			return
		}
		fallback, ok := site.children[current.Fallback]
		if !ok {
			p.reject(path+".fallback", "no route is named %q in this site", current.Fallback)
			return
		}
		chain = append(chain, current.Fallback)
		if kind, _ := fallback.values["kind"].(string); kind != route.Kind {
			p.reject(path+".fallback", "route %q is of another kind", current.Fallback)
			return
		}
		current, err = tree.Route(groupName, siteName, chain[len(chain)-1])
		if err != nil {
			return
		}
	}
}

// Route is the settings of one route, including the values that it inherits.
// MaxAttempts (the setting legs) limits the calls to workers for one turn or
// tool call, and MaxWaiting (the setting waiting) the attempts that may wait
// for a worker on one gateway.
type Route struct {
	Group, Site, Name string
	QueueSize         int
	OperationTimeout  time.Duration
	ToolTimeout       time.Duration
	MaxOutputTokens   int64
	MaxBodyBytes      int
	MaxAttempts       int
	MaxWaiting        int
	Model             string
	Pool              string
	Kind              string
	Repeatable        bool
	Path              string
	Fallback          string
	Policy            *policy.Policy
}

// EffectiveValue is a value in force, and the path of the level that sets it.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	From  string `json:"from"`
}

// Effective returns the values in force at the level that the names of a group,
// a site and a route lead to. An empty name stops at the level above.
func (t *Tree) Effective(names ...string) ([]EffectiveValue, error) {
	path := []*treeLevel{t.root}
	for depth, name := range names {
		if name == "" {
			break
		}
		child, ok := path[len(path)-1].children[name]
		if !ok {
			return nil, base.Decline(404, "unknown_"+strings.TrimSuffix(childKeys[depth], "s"), "no %s is named %q", strings.TrimSuffix(childKeys[depth], "s"), name)
		}
		path = append(path, child)
	}
	effective := []EffectiveValue{}
	for _, spec := range levelSpecs {
		if spec.routeOnly && len(path) < 4 {
			continue
		}
		entry := EffectiveValue{Key: spec.name, Value: spec.defaultValue, From: "default"}
		for _, level := range path {
			if value, ok := level.values[spec.name]; ok {
				entry.Value, entry.From = value, level.path
			}
		}
		effective = append(effective, entry)
	}
	return effective, nil
}

// Route returns the settings of a route.
func (t *Tree) Route(group, site, name string) (*Route, error) {
	effective, err := t.Effective(group, site, name)
	if err != nil {
		return nil, err
	}
	values := map[string]any{}
	for _, field := range effective {
		values[field.Key] = field.Value
	}
	number := func(key string) float64 { value, _ := values[key].(float64); return value }
	text := func(key string) string { value, _ := values[key].(string); return value }
	seconds := func(key string) time.Duration { return time.Duration(number(key) * float64(time.Second)) }
	repeatable, _ := values["repeatable"].(bool)
	return &Route{Group: group, Site: site, Name: name, QueueSize: int(number("queue_size")),
		OperationTimeout: seconds("operation_timeout_s"), ToolTimeout: seconds("tool_timeout_s"),
		MaxOutputTokens: int64(number("max_output_tokens")), MaxBodyBytes: int(number("max_body_bytes")),
		MaxAttempts: int(number("legs")), MaxWaiting: int(number("waiting")), Model: text("model"), Pool: text("pool"), Kind: text("kind"),
		Repeatable: repeatable, Path: text("path"), Fallback: text("fallback"),
		Policy: t.policies[text("policy")]}, nil
}

// Bounds returns the bounds that the document sets, and the default ones for
// the rest.
func (t *Tree) Bounds() base.Bounds { return t.bounds }

// PoolKind returns the kind of a pool, or "" if there is no such pool.
func (t *Tree) PoolKind(name string) string { return t.pools[name] }

// BodyLimit returns the size of the largest request body that any route
// accepts.
func (t *Tree) BodyLimit() int {
	if value, ok := t.root.values["max_body_bytes"].(float64); ok {
		return int(value)
	}
	return int(findSpec(levelSpecs, "max_body_bytes").defaultValue.(float64))
}
