// What the tree says of access: the models there are, a group's teams and what
// lower levels say of them, and the hosts by which requests of the operator's
// routes show their site. The rules themselves are judged in package access.

package settings

import (
	"fmt"
	"strings"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"

	"github.com/go-faster/jx"
)

const nameLimit = 128

// list reads a list of names.
func (r *reader) list(decoder *jx.Decoder, path string, into *[]string) error {
	if decoder.Next() != jx.Array {
		r.fault(path, "must be a list")
		return decoder.Skip()
	}
	*into = []string{}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		at := fmt.Sprintf("%s[%d]", path, len(*into))
		if decoder.Next() != jx.String {
			r.fault(at, "must be a string")
			return decoder.Skip()
		}
		name, err := decoder.Str()
		if name == "" || len(name) > nameLimit || strings.ContainsAny(name, "/ ") {
			r.fault(at, "name %q must be 1 to %d characters without slash or space", name, nameLimit)
		}
		*into = append(*into, name)
		return err
	})
}

func (r *reader) teams(decoder *jx.Decoder, at *level) error {
	at.teams = map[string]*access.TeamRules{}
	path := at.path + ".teams"
	err := r.object(decoder, path, func(name string) (bool, error) {
		entry := &access.TeamRules{Path: path + "." + name}
		at.teams[name] = entry
		if name == "" || len(name) > nameLimit || strings.ContainsAny(name, "/. ") {
			r.fault(path, "name %q must be 1 to %d characters without slash, dot or space", name, nameLimit)
		}
		return true, r.object(decoder, entry.Path, func(key string) (bool, error) {
			switch key {
			case "models":
				return true, r.list(decoder, entry.Path+".models", &entry.Models)
			case "deny":
				return true, r.list(decoder, entry.Path+".deny", &entry.Deny)
			case "parent":
				values := map[string]any{}
				err := r.scalar(decoder, entry.Path, &spec{name: "parent", kind: kindText}, values)
				entry.Parent, _ = values["parent"].(string)
				return true, err
			}
			return false, nil
		})
	})
	if err == nil && len(at.teams) == 0 {
		r.fault(path, "must not be empty")
	}
	return err
}

func (r *reader) hosts(decoder *jx.Decoder, at *level) error {
	path := at.path + ".hosts"
	if err := r.list(decoder, path, &at.hosts); err != nil {
		return err
	}
	if at.hosts != nil && len(at.hosts) == 0 {
		r.fault(path, "must not be empty")
	}
	for place, host := range at.hosts {
		if strings.Contains(host, ":") || host != strings.ToLower(host) {
			r.fault(fmt.Sprintf("%s[%d]", path, place), "must be in lower case and without a port")
		}
	}
	return nil
}

// checkAccess judges the rules; what they need of a route is what it inherits.
func (r *reader) checkAccess(tree *Tree) {
	rules := &access.Rules{Models: tree.models, Groups: map[string]*access.Level{}}
	for name, group := range tree.root.children {
		rules.Groups[name] = shown(group)
		for siteName, site := range group.children {
			made := shown(site)
			rules.Groups[name].Children[siteName] = made
			for routeName, route := range site.children {
				below := shown(route)
				if found, err := tree.Route(name, siteName, routeName); err == nil {
					below.Model, below.Kind, below.Fallback = found.Model, found.Kind, found.Fallback
				}
				made.Children[routeName] = below
			}
		}
	}
	table, faults := access.Compile(rules)
	tree.access = table
	for _, one := range faults {
		r.fault(one.Path, "%s", one.Message)
	}
}

func shown(at *level) *access.Level {
	team, _ := at.values["team"].(string)
	return &access.Level{Path: at.path, Team: team, Teams: at.teams, Hosts: at.hosts, Children: map[string]*access.Level{}}
}

// Access is what the tree allows; nil, which allows everything, where no team
// is set.
func (t *Tree) Access() *access.Table {
	if t == nil {
		return nil
	}
	return t.access
}

// BoundsWithDefaults are the tree's bounds, with those of a process's place where the
// document sets none.
func (t *Tree) BoundsWithDefaults(place *base.Bounds) base.Bounds {
	if place == nil {
		return t.bounds
	}
	bounds := t.bounds
	for name, into := range map[string]struct{ own, given *time.Duration }{
		"settings_bound_s": {&bounds.Settings, &place.Settings}, "leave_bound_s": {&bounds.Leave, &place.Leave},
		"recover_bound_s": {&bounds.Recover, &place.Recover}, "retain_s": {&bounds.Retain, &place.Retain},
	} {
		if _, set := t.limits[name]; !set {
			*into.own = *into.given
		}
	}
	return bounds
}
