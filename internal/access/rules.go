// Package access holds which models a team may call. Teams and their models are
// set at a group of the settings tree and hold for its sites and routes; a lower
// level may narrow what stands above and never widen it. This file judges the
// rules as they were written: every fault is listed with its path, and rules
// with any fault are never in force.
package access

import (
	"fmt"
	"slices"
	"strings"

	"fordseam/internal/base"
)

// TeamRules is what one level says of a team; nil lists were not given.
type TeamRules struct {
	Path   string
	Models []string
	Deny   []string
	Parent string
}

// Level is a group, site or route as far as access goes.
type Level struct {
	Path  string
	Team  string
	Teams map[string]*TeamRules
	Hosts []string
	// Model, Kind and Fallback are a route's, with what it inherits.
	Model    string
	Kind     string
	Fallback string
	Children map[string]*Level
}

// Rules are all that a tree says of access.
type Rules struct {
	// Models are all there are; nil where the tree names none.
	Models []string
	Groups map[string]*Level
}

// Violation is one thing wrong with the rules.
type Violation struct{ Path, Message string }

// MaxModels bounds the models that rules may speak of.
const MaxModels = 64

// AnyHost stands for every host that no site names.
const AnyHost = "*"

type checker struct {
	rules  *Rules
	index  map[string]int
	home   map[string]string // a team's group
	faults []Violation
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, Violation{path, fmt.Sprintf(format, args...)})
}

// Compile judges the rules and gives their table; nil where no team is set.
func Compile(rules *Rules) (*Table, []Violation) {
	c := &checker{rules: rules, index: map[string]int{}, home: map[string]string{}}
	c.catalogue()
	teams := false
	for _, name := range base.SortedKeys(rules.Groups) {
		teams = teams || len(rules.Groups[name].Teams) > 0
	}
	for _, name := range base.SortedKeys(rules.Groups) {
		c.group(name, rules.Groups[name], teams)
	}
	if teams && rules.Models == nil {
		c.fault("$.models", "must name all models where teams are set")
	}
	if !teams && rules.Models != nil {
		c.known()
	}
	if len(c.faults) > 0 || !teams {
		return nil, c.faults
	}
	table := newTable(rules, c.index)
	hosts := map[string]string{}
	for _, name := range base.SortedKeys(rules.Groups) {
		c.places(table, name, rules.Groups[name], hosts)
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	table.seal()
	return table, nil
}

func (c *checker) catalogue() {
	if c.rules.Models != nil && len(c.rules.Models) == 0 {
		c.fault("$.models", "must not be empty")
	}
	if len(c.rules.Models) > MaxModels {
		c.fault("$.models", "must be at most %d", MaxModels)
	}
	for place, name := range c.rules.Models {
		if _, twice := c.index[name]; twice {
			c.fault(fmt.Sprintf("$.models[%d]", place), "%q is named twice", name)
		}
		c.index[name] = place
	}
}

// known holds routes to the models there are, where no teams are set.
func (c *checker) known() {
	for _, group := range base.SortedKeys(c.rules.Groups) {
		for _, site := range base.SortedKeys(c.rules.Groups[group].Children) {
			routes := c.rules.Groups[group].Children[site].Children
			for _, name := range base.SortedKeys(routes) {
				if _, known := c.index[routes[name].Model]; !known && routes[name].Kind == "model" {
					c.fault(routes[name].Path+".model", "no model is named %q", routes[name].Model)
				}
			}
		}
	}
}

// group judges the teams of a group and what its sites and routes name.
func (c *checker) group(name string, group *Level, teams bool) {
	if teams && len(group.Teams) == 0 {
		c.fault(group.Path+".teams", "teams are set elsewhere in the tree, so every group must set its own")
	}
	for _, team := range base.SortedKeys(group.Teams) {
		entry := group.Teams[team]
		if other, taken := c.home[team]; taken {
			c.fault(entry.Path, "team %q is set in group %q already", team, other)
		}
		c.home[team] = name
		c.names(entry)
		switch {
		case entry.Parent == "" && entry.Models == nil:
			c.fault(entry.Path+".models", "must be given for a team without parent")
		case entry.Parent != "" && group.Teams[entry.Parent] == nil:
			c.fault(entry.Path+".parent", "no team of the group is named %q", entry.Parent)
		case entry.Parent != "":
			if loop := loopFrom(group, team); loop != nil {
				c.fault(entry.Path+".parent", "loop: %s", strings.Join(loop, " > "))
			}
		}
	}
	if len(c.faults) > 0 {
		return
	}
	for _, team := range base.SortedKeys(group.Teams) {
		if entry := group.Teams[team]; entry.Parent != "" {
			listed, _ := c.sets(entry.Parent, group)
			c.within(entry, listed, "team "+entry.Parent)
		}
	}
	c.team(group, group, "")
	for _, siteName := range base.SortedKeys(group.Children) {
		site := group.Children[siteName]
		c.below(group, site, []*Level{group})
		above := c.team(group, site, group.Team)
		for _, routeName := range base.SortedKeys(site.Children) {
			route := site.Children[routeName]
			c.below(group, route, []*Level{group, site})
			c.team(group, route, above)
		}
	}
}

func loopFrom(group *Level, team string) []string {
	chain := []string{team}
	for at := group.Teams[team]; at != nil && at.Parent != ""; at = group.Teams[at.Parent] {
		again := slices.Contains(chain, at.Parent)
		chain = append(chain, at.Parent)
		if again {
			return chain
		}
	}
	return nil
}

// names judges the lists of an entry by themselves.
func (c *checker) names(entry *TeamRules) {
	for field, list := range map[string][]string{".models": entry.Models, ".deny": entry.Deny} {
		if list != nil && len(list) == 0 {
			c.fault(entry.Path+field, "must not be empty")
		}
		for place, name := range list {
			if _, known := c.index[name]; !known {
				c.fault(fmt.Sprintf("%s%s[%d]", entry.Path, field, place), "no model is named %q", name)
			}
			if slices.Contains(list[:place], name) {
				c.fault(fmt.Sprintf("%s%s[%d]", entry.Path, field, place), "%q is named twice", name)
			}
		}
	}
}

// within holds an entry's models to what stands above.
func (c *checker) within(entry *TeamRules, above ModelSet, whose string) {
	for place, name := range entry.Models {
		if at, known := c.index[name]; known && !above.has(at) {
			c.fault(fmt.Sprintf("%s.models[%d]", entry.Path, place), "%q is not among the models of %s; a lower level may only narrow", name, whose)
		}
	}
}

// below judges what a site or a route says of its group's teams.
func (c *checker) below(group, at *Level, above []*Level) {
	for _, team := range base.SortedKeys(at.Teams) {
		entry := at.Teams[team]
		if group.Teams[team] == nil {
			c.fault(entry.Path, "no team of the group is named %q", team)
			continue
		}
		c.names(entry)
		if entry.Parent != "" {
			c.fault(entry.Path+".parent", "is set at the group")
		}
		listed, _ := c.sets(team, above...)
		c.within(entry, listed, "the level above")
	}
}

// team judges whom a level's requests belong to and gives it: only the team
// that stands above, or one under it.
func (c *checker) team(group, at *Level, above string) string {
	if at.Team == "" {
		return above
	}
	if group.Teams[at.Team] == nil {
		c.fault(at.Path+".team", "no team of the group is named %q", at.Team)
		return above
	}
	if above != "" && !slices.Contains(lineage(group, at.Team), above) {
		c.fault(at.Path+".team", "%q is not %q of the level above, nor under it", at.Team, above)
	}
	return at.Team
}

// lineage is a team and those it is under.
func lineage(group *Level, team string) []string {
	line := []string{}
	for team != "" && !slices.Contains(line, team) {
		line = append(line, team)
		if entry := group.Teams[team]; entry != nil {
			team = entry.Parent
		} else {
			team = ""
		}
	}
	return line
}

// sets gives the models listed for a team at a level, and those denied there;
// chain leads from the group to the level.
func (c *checker) sets(team string, chain ...*Level) (listed, denied ModelSet) {
	listed = full(len(c.rules.Models))
	for _, one := range lineage(chain[0], team) {
		for _, at := range chain {
			if entry := at.Teams[one]; entry != nil {
				if entry.Models != nil {
					listed &= c.set(entry.Models)
				}
				denied |= c.set(entry.Deny)
			}
		}
	}
	return listed, denied
}

func (c *checker) set(names []string) (set ModelSet) {
	for _, name := range names {
		if at, known := c.index[name]; known {
			set |= 1 << at
		}
	}
	return set
}

// places puts a group's sites and routes into the table.
func (c *checker) places(table *Table, groupName string, group *Level, hosts map[string]string) {
	for _, team := range base.SortedKeys(group.Teams) {
		listed, denied := c.sets(team, group)
		table.addTeam(team, groupName, group.Teams[team].Parent, listed, denied)
	}
	for _, siteName := range base.SortedKeys(group.Children) {
		site := group.Children[siteName]
		team := orElse(site.Team, group.Team)
		if team == "" {
			c.fault(site.Path+".team", "must be given here or at the group, whose teams are set")
			continue
		}
		listed, denied := c.sets(team, group, site)
		c.left(site, team, listed)
		table.addPlace(Scope{groupName, siteName, ""}, site.Path, team, listed, denied, "")
		for place, host := range site.Hosts {
			path := fmt.Sprintf("%s.hosts[%d]", site.Path, place)
			if other, taken := hosts[host]; taken {
				c.fault(path, "%q is a host of %s already", host, other)
			}
			hosts[host] = site.Path
			table.hosts[host] = Scope{groupName, siteName, ""}
		}
		for _, routeName := range base.SortedKeys(site.Children) {
			c.route(table, Scope{groupName, siteName, routeName}, team, group, site)
		}
	}
}

// left faults a level at which nothing is listed for its team.
func (c *checker) left(at *Level, team string, listed ModelSet) {
	if listed == 0 {
		c.fault(at.Path+".team", "no model is left for team %q here", team)
	}
}

func (c *checker) route(table *Table, place Scope, above string, group, site *Level) {
	route := site.Children[place.Route]
	team := orElse(route.Team, above)
	listed, denied := c.sets(team, group, site, route)
	c.left(route, team, listed)
	table.addPlace(place, route.Path, team, listed, denied, route.Model)
	if route.Kind != "model" {
		return
	}
	at, known := c.index[route.Model]
	switch {
	case !known:
		c.fault(route.Path+".model", "no model is named %q", route.Model)
	case !listed.has(at):
		c.fault(route.Path+".model", "team %q may not call %q here; list the model for the team, or deny it to have its calls refused", team, route.Model)
	}
	for named := route.Fallback; named != ""; {
		next := site.Children[named]
		if next == nil || next == route {
			return // faulted as a fallback
		}
		theirs, denies := c.sets(orElse(next.Team, above), group, site, next)
		if at, known := c.index[next.Model]; !known || !(listed & theirs &^ denied &^ denies).has(at) {
			c.fault(route.Path+".fallback", "team %q may not call %q, the model of route %q", team, next.Model, named)
			return
		}
		named = next.Fallback
	}
}

func orElse(given, otherwise string) string {
	if given == "" {
		return otherwise
	}
	return given
}
