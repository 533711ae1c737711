package settings

import (
	"fmt"
	"strings"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"

	"github.com/go-faster/jx"
)

// maxNameLength limits the names of teams, models and hosts.
const maxNameLength = 128

// parseNames reads a list of names.
func (p *parser) parseNames(decoder *jx.Decoder, path string, dest *[]string) error {
	if decoder.Next() != jx.Array {
		p.reject(path, "must be a list")
		return decoder.Skip()
	}
	*dest = []string{}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		itemPath := fmt.Sprintf("%s[%d]", path, len(*dest))
		if decoder.Next() != jx.String {
			p.reject(itemPath, "must be a string")
			return decoder.Skip()
		}
		name, err := decoder.Str()
		if name == "" || len(name) > maxNameLength || strings.ContainsAny(name, "/ ") {
			p.reject(itemPath, "name %q must be 1 to %d characters without slash or space", name, maxNameLength)
		}
		*dest = append(*dest, name)
		return err
	})
}

// parseTeams reads what a level sets for its teams.
func (p *parser) parseTeams(decoder *jx.Decoder, level *treeLevel) error {
	level.teams = map[string]*access.TeamRules{}
	path := level.path + ".teams"
	err := p.parseObject(decoder, path, func(name string) (bool, error) {
		rules := &access.TeamRules{Path: path + "." + name}
		level.teams[name] = rules
		if name == "" || len(name) > maxNameLength || strings.ContainsAny(name, "/. ") {
			p.reject(path, "name %q must be 1 to %d characters without slash, dot or space", name, maxNameLength)
		}
		return true, p.parseObject(decoder, rules.Path, func(key string) (bool, error) {
			switch key {
			case "models":
				return true, p.parseNames(decoder, rules.Path+".models", &rules.Models)
			case "deny":
				return true, p.parseNames(decoder, rules.Path+".deny", &rules.Deny)
			case "parent":
				values := map[string]any{}
				err := p.parseField(decoder, rules.Path, &fieldSpec{name: "parent", kind: kindText}, values)
				rules.Parent, _ = values["parent"].(string)
				return true, err
			}
			return false, nil
		})
	})
	if err == nil && len(level.teams) == 0 {
		p.reject(path, "must not be empty")
	}
	return err
}

// parseHosts reads the hosts of a site, by which requests of the platform
// operator's routes are assigned to it.
func (p *parser) parseHosts(decoder *jx.Decoder, level *treeLevel) error {
	path := level.path + ".hosts"
	if err := p.parseNames(decoder, path, &level.hosts); err != nil {
		return err
	}
	if level.hosts != nil && len(level.hosts) == 0 {
		p.reject(path, "must not be empty")
	}
	for i, host := range level.hosts {
		if strings.Contains(host, ":") || host != strings.ToLower(host) {
			p.reject(fmt.Sprintf("%s[%d]", path, i), "must be in lower case and without a port")
		}
	}
	return nil
}

// checkAccess compiles the tree's access rules, with the values that each route
// inherits.
func (p *parser) checkAccess(tree *Tree) {
	rules := &access.Rules{Models: tree.models, Groups: map[string]*access.Level{}}
	for name, group := range tree.root.children {
		rules.Groups[name] = accessLevel(group)
		for siteName, site := range group.children {
			accessSite := accessLevel(site)
			rules.Groups[name].Children[siteName] = accessSite
			for routeName, route := range site.children {
				accessRoute := accessLevel(route)
				if effective, err := tree.Route(name, siteName, routeName); err == nil {
					accessRoute.Model, accessRoute.Kind, accessRoute.Fallback = effective.Model, effective.Kind, effective.Fallback
				}
				accessSite.Children[routeName] = accessRoute
			}
		}
	}
	table, violations := access.Compile(rules)
	tree.access = table
	for _, violation := range violations {
		p.reject(violation.Path, "%s", violation.Message)
	}
}

// accessLevel returns the access rules of a level, without its children.
func accessLevel(level *treeLevel) *access.Level {
	team, _ := level.values["team"].(string)
	return &access.Level{Path: level.path, Team: team, Teams: level.teams, Hosts: level.hosts, Children: map[string]*access.Level{}}
}

// Access returns the compiled access rules. They are nil, which allows
// everything, if no team is set.
func (t *Tree) Access() *access.Table {
	if t == nil {
		return nil
	}
	return t.access
}

// BoundsWithDefaults returns the tree's bounds, with those of defaults for each
// that the document does not set.
func (t *Tree) BoundsWithDefaults(defaults *base.Bounds) base.Bounds {
	if defaults == nil {
		return t.bounds
	}
	bounds := t.bounds
	for name, target := range map[string]struct{ own, given *time.Duration }{
		"settings_bound_s": {&bounds.SettingsApply, &defaults.SettingsApply}, "leave_bound_s": {&bounds.Drain, &defaults.Drain},
		"recover_bound_s": {&bounds.Recovery, &defaults.Recovery}, "retain_s": {&bounds.Retention, &defaults.Retention},
	} {
		if _, set := t.boundValues[name]; !set {
			*target.own = *target.given
		}
	}
	return bounds
}
