// Reading a document of settings field by field, with the path of every fault.

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

type reader struct {
	faults []Violation
}

func (r *reader) fault(path, format string, args ...any) {
	r.faults = append(r.faults, Violation{Path: path, Message: fmt.Sprintf(format, args...)})
}

var depths = []string{"groups", "sites", "routes", ""}

// Parse judges a document. The tree is nil when there are faults.
func Parse(document []byte) (*Tree, []Violation) {
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
