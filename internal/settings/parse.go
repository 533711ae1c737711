package settings

import (
	"fmt"
	"math"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/policy"

	"github.com/go-faster/jx"
)

// parser reads a document field by field and collects its violations.
type parser struct {
	violations []Violation
}

// reject adds a violation.
func (p *parser) reject(path, format string, args ...any) {
	p.violations = append(p.violations, Violation{Path: path, Message: fmt.Sprintf(format, args...)})
}

// childKeys holds, for each depth of the tree, the key of the levels below.
var childKeys = []string{"groups", "sites", "routes", ""}

// Parse reads and validates a document. The tree is nil if there are
// violations.
func Parse(document []byte) (*Tree, []Violation) {
	p := &parser{}
	tree := &Tree{root: &treeLevel{path: "$", values: map[string]any{}, children: map[string]*treeLevel{}}, pools: map[string]string{}, policies: map[string]*policy.Policy{}}
	boundValues := map[string]any{}
	decoder := jx.DecodeBytes(document)
	if decoder.Next() != jx.Object {
		p.reject("$", "must be a JSON object")
		return nil, p.violations
	}
	err := p.parseObject(decoder, "$", func(key string) (bool, error) {
		switch key {
		case "bounds":
			return true, p.parseFields(decoder, "$.bounds", boundSpecs, boundValues)
		case "pools":
			return true, p.parsePools(decoder, tree)
		case "models":
			return true, p.parseNames(decoder, "$.models", &tree.models)
		}
		return p.parseLevelField(decoder, tree.root, key, 0)
	})
	if err == nil {
		if trailing := decoder.Skip(); trailing == nil {
			p.reject("$", "more than one JSON value")
		}
	} else {
		p.reject("$", "not valid JSON: %v", err)
	}
	if len(p.violations) == 0 {
		p.checkDocument(tree, boundValues)
	}
	if len(p.violations) > 0 {
		return nil, p.violations
	}
	seconds := func(name string) time.Duration {
		value, ok := boundValues[name].(float64)
		if !ok {
			value = findSpec(boundSpecs, name).defaultValue.(float64)
		}
		return time.Duration(value * float64(time.Second))
	}
	tree.boundValues = boundValues
	tree.bounds = base.Bounds{SettingsApply: seconds("settings_bound_s"), Drain: seconds("leave_bound_s"),
		Recovery: seconds("recover_bound_s"), Retention: seconds("retain_s")}
	if tree.bounds.Recovery < 2*tree.bounds.SettingsApply {
		p.reject("$.bounds.recover_bound_s", "must be at least twice settings_bound_s")
	}
	if tree.bounds.Lease()+tree.bounds.LeaseWait() > tree.bounds.SettingsApply*95/100 {
		p.reject("$.bounds.settings_bound_s", "the lease and the hold time do not fit inside it")
	}
	if tree.bounds.FollowTimeout() >= tree.bounds.Lease() {
		p.reject("$.bounds.settings_bound_s", "too short for this leave_bound_s: one request to the feed could take longer than a lease")
	}
	if tree.bounds.SuspectTimeout() < 4*tree.bounds.HeartbeatInterval() {
		p.reject("$.bounds.recover_bound_s", "too short for this leave_bound_s: nodes would be suspected between two heartbeats")
	}
	if tree.bounds.Retention < tree.bounds.Recovery {
		p.reject("$.bounds.retain_s", "must be at least recover_bound_s")
	}
	if len(p.violations) > 0 {
		return nil, p.violations
	}
	return tree, nil
}

// parseObject reads an object with a callback for each key, which reports
// whether it recognizes the key. Duplicate and unknown keys are rejected.
func (p *parser) parseObject(decoder *jx.Decoder, path string, field func(key string) (bool, error)) error {
	if decoder.Next() != jx.Object {
		p.reject(path, "must be an object")
		return decoder.Skip()
	}
	seen := map[string]bool{}
	return decoder.ObjBytes(func(decoder *jx.Decoder, raw []byte) error {
		key := string(raw)
		if seen[key] {
			p.reject(path+"."+key, "given twice")
			return decoder.Skip()
		}
		seen[key] = true
		recognized, err := field(key)
		if err != nil {
			return err
		}
		if !recognized {
			p.reject(path+"."+key, "unknown key")
			return decoder.Skip()
		}
		return nil
	})
}

// parseFields reads an object that consists of the specified fields.
func (p *parser) parseFields(decoder *jx.Decoder, path string, specs []fieldSpec, values map[string]any) error {
	return p.parseObject(decoder, path, func(key string) (bool, error) {
		spec := findSpec(specs, key)
		if spec == nil {
			return false, nil
		}
		return true, p.parseField(decoder, path, spec, values)
	})
}

// parseField reads the value of one field.
func (p *parser) parseField(decoder *jx.Decoder, path string, spec *fieldSpec, values map[string]any) error {
	path += "." + spec.name
	wantType := map[valueKind]jx.Type{kindInt: jx.Number, kindSeconds: jx.Number, kindBool: jx.Bool, kindText: jx.String}[spec.kind]
	if decoder.Next() != wantType {
		p.reject(path, "must be a %s", wantType)
		return decoder.Skip()
	}
	switch wantType {
	case jx.Bool:
		value, err := decoder.Bool()
		values[spec.name] = value
		return err
	case jx.String:
		value, err := decoder.Str()
		values[spec.name] = value
		return err
	}
	value, err := decoder.Float64()
	if err != nil {
		return err
	}
	if spec.kind == kindInt && value != math.Trunc(value) {
		p.reject(path, "must be a whole number")
	} else if value < spec.min || value > spec.max {
		p.reject(path, "must be between %v and %v", spec.min, spec.max)
	}
	values[spec.name] = value
	return nil
}

// parsePools reads the pools and their kinds.
func (p *parser) parsePools(decoder *jx.Decoder, tree *Tree) error {
	return p.parseObject(decoder, "$.pools", func(name string) (bool, error) {
		path := "$.pools." + name
		values := map[string]any{}
		poolSpecs := []fieldSpec{{name: "kind", kind: kindText}}
		err := p.parseFields(decoder, path, poolSpecs, values)
		kind, _ := values["kind"].(string)
		if kind != "model" && kind != "tool" {
			p.reject(path+".kind", `must be "model" or "tool"`)
		}
		tree.pools[name] = kind
		return true, err
	})
}

// parseLevelField reads one key of a level: its children, its access rules or a
// value.
func (p *parser) parseLevelField(decoder *jx.Decoder, level *treeLevel, key string, depth int) (bool, error) {
	if key == childKeys[depth] && depth < 3 {
		return true, p.parseObject(decoder, level.path+"."+key, func(name string) (bool, error) {
			if name == "" || strings.ContainsAny(name, "/. ") {
				p.reject(level.path+"."+key, "name %q must not be empty or contain a slash, dot or space", name)
			}
			child := &treeLevel{path: level.path + "." + key + "." + name, values: map[string]any{}, children: map[string]*treeLevel{}}
			level.children[name] = child
			return true, p.parseObject(decoder, child.path, func(childKey string) (bool, error) {
				return p.parseLevelField(decoder, child, childKey, depth+1)
			})
		})
	}
	switch {
	case key == "teams" && depth > 0:
		return true, p.parseTeams(decoder, level)
	case key == "hosts" && depth == 2:
		return true, p.parseHosts(decoder, level)
	}
	spec := findSpec(levelSpecs, key)
	if spec == nil || (spec.routeOnly && depth != 3) || depth < spec.minDepth {
		return false, nil
	}
	return true, p.parseField(decoder, level.path, spec, level.values)
}
