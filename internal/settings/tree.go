// Package settings is the operators' tree: defaults, then group, site and
// route, each changing only what differs. A document is read field by field
// and judged whole: every fault is listed with its path, and a document with
// any fault is never stored. A lower level may tighten a bounded value and
// not exceed the level above.
package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/policy"

	"github.com/go-faster/jx"
)

// Fault is one thing wrong with a document.
type Fault struct {
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
	teams    map[string]*access.Entry
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

type reader struct {
	faults []Fault
}

func (r *reader) fault(path, format string, args ...any) {
	r.faults = append(r.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

var depths = []string{"groups", "sites", "routes", ""}

// Read judges a document. The tree is nil when there are faults.
func Read(document []byte) (*Tree, []Fault) {
	r := &reader{}
	tree := &Tree{root: &level{path: "$", values: map[string]any{}, children: map[string]*level{}}, pools: map[string]string{}, policies: map[string]*policy.Policy{}}
	limits := map[string]any{}
	decoder := jx.DecodeBytes(document)
	if decoder.Next() != jx.Object {
		r.fault("$", "must be a JSON object")
		return nil, r.faults
	}
	err := r.object(decoder, "$", func(key string) (bool, error) {
		switch key {
		case "bounds":
			return true, r.scalars(decoder, "$.bounds", boundSpecs, limits)
		case "pools":
			return true, r.pools(decoder, tree)
		case "models":
			return true, r.list(decoder, "$.models", &tree.models)
		}
		return r.field(decoder, tree.root, key, 0)
	})
	if err == nil {
		if trailing := decoder.Skip(); trailing == nil {
			r.fault("$", "more than one JSON value")
		}
	} else {
		r.fault("$", "not valid JSON: %v", err)
	}
	if len(r.faults) == 0 {
		r.check(tree, limits)
	}
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	seconds := func(name string) time.Duration {
		value, ok := limits[name].(float64)
		if !ok {
			value = specOf(boundSpecs, name).initial.(float64)
		}
		return time.Duration(value * float64(time.Second))
	}
	tree.limits = limits
	tree.bounds = base.Bounds{Settings: seconds("settings_bound_s"), Leave: seconds("leave_bound_s"),
		Recover: seconds("recover_bound_s"), Retain: seconds("retain_s")}
	if tree.bounds.Recover < 2*tree.bounds.Settings {
		r.fault("$.bounds.recover_bound_s", "must be at least twice settings_bound_s")
	}
	if tree.bounds.Permit()+tree.bounds.Hold() > tree.bounds.Settings*95/100 {
		r.fault("$.bounds.settings_bound_s", "permit and hold do not fit inside it")
	}
	if tree.bounds.Follow() >= tree.bounds.Permit() {
		r.fault("$.bounds.settings_bound_s", "too short beside leave_bound_s: one try at the feed would outlast a permit")
	}
	if tree.bounds.Suspect() < 4*tree.bounds.Beat() {
		r.fault("$.bounds.recover_bound_s", "too short beside leave_bound_s: nodes would be suspected between beats")
	}
	if tree.bounds.Retain < tree.bounds.Recover {
		r.fault("$.bounds.retain_s", "must be at least recover_bound_s")
	}
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return tree, nil
}

// object walks an object's fields and lists duplicates and unknown keys.
func (r *reader) object(decoder *jx.Decoder, path string, field func(key string) (bool, error)) error {
	if decoder.Next() != jx.Object {
		r.fault(path, "must be an object")
		return decoder.Skip()
	}
	seen := map[string]bool{}
	return decoder.ObjBytes(func(decoder *jx.Decoder, raw []byte) error {
		key := string(raw)
		if seen[key] {
			r.fault(path+"."+key, "given twice")
			return decoder.Skip()
		}
		seen[key] = true
		known, err := field(key)
		if err != nil {
			return err
		}
		if !known {
			r.fault(path+"."+key, "unknown key")
			return decoder.Skip()
		}
		return nil
	})
}

func (r *reader) scalars(decoder *jx.Decoder, path string, list []spec, into map[string]any) error {
	return r.object(decoder, path, func(key string) (bool, error) {
		found := specOf(list, key)
		if found == nil {
			return false, nil
		}
		return true, r.scalar(decoder, path, found, into)
	})
}

func (r *reader) scalar(decoder *jx.Decoder, path string, found *spec, into map[string]any) error {
	path += "." + found.name
	wanted := map[valueKind]jx.Type{kindInt: jx.Number, kindSeconds: jx.Number, kindBool: jx.Bool, kindText: jx.String}[found.kind]
	if decoder.Next() != wanted {
		r.fault(path, "must be a %s", wanted)
		return decoder.Skip()
	}
	switch wanted {
	case jx.Bool:
		value, err := decoder.Bool()
		into[found.name] = value
		return err
	case jx.String:
		value, err := decoder.Str()
		into[found.name] = value
		return err
	}
	value, err := decoder.Float64()
	if err != nil {
		return err
	}
	if found.kind == kindInt && value != math.Trunc(value) {
		r.fault(path, "must be a whole number")
	} else if value < found.low || value > found.high {
		r.fault(path, "must be between %v and %v", found.low, found.high)
	}
	into[found.name] = value
	return nil
}

func (r *reader) pools(decoder *jx.Decoder, tree *Tree) error {
	return r.object(decoder, "$.pools", func(name string) (bool, error) {
		path := "$.pools." + name
		values := map[string]any{}
		poolSpecs := []spec{{name: "kind", kind: kindText}}
		err := r.scalars(decoder, path, poolSpecs, values)
		kind, _ := values["kind"].(string)
		if kind != "model" && kind != "tool" {
			r.fault(path+".kind", `must be "model" or "tool"`)
		}
		tree.pools[name] = kind
		return true, err
	})
}

func (r *reader) field(decoder *jx.Decoder, at *level, key string, depth int) (bool, error) {
	if key == depths[depth] && depth < 3 {
		return true, r.object(decoder, at.path+"."+key, func(name string) (bool, error) {
			if name == "" || strings.ContainsAny(name, "/. ") {
				r.fault(at.path+"."+key, "name %q must not be empty or hold a slash, dot or space", name)
			}
			child := &level{path: at.path + "." + key + "." + name, values: map[string]any{}, children: map[string]*level{}}
			at.children[name] = child
			return true, r.object(decoder, child.path, func(inner string) (bool, error) {
				return r.field(decoder, child, inner, depth+1)
			})
		})
	}
	switch {
	case key == "teams" && depth > 0:
		return true, r.teams(decoder, at)
	case key == "hosts" && depth == 2:
		return true, r.hosts(decoder, at)
	}
	found := specOf(specs, key)
	if found == nil || (found.routeOnly && depth != 3) || depth < found.below {
		return false, nil
	}
	return true, r.scalar(decoder, at.path, found, at.values)
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
	route, err := tree.Match(groupName, siteName, routeName)
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
		at, err = tree.Match(groupName, siteName, visited[len(visited)-1])
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

// Origin is one value in force and the level it came from.
type Origin struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	From  string `json:"from"`
}

// Effective lists the values in force at a level: a group, a site or a
// route; empty names stop higher up.
func (t *Tree) Effective(names ...string) ([]Origin, error) {
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
	found := []Origin{}
	for _, one := range specs {
		if one.routeOnly && len(chain) < 4 {
			continue
		}
		origin := Origin{Key: one.name, Value: one.initial, From: "default"}
		for _, at := range chain {
			if value, ok := at.values[one.name]; ok {
				origin.Value, origin.From = value, at.path
			}
		}
		found = append(found, origin)
	}
	return found, nil
}

// Match gives a route's settings.
func (t *Tree) Match(group, site, name string) (*Route, error) {
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
