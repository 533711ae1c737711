// Package access decides which models a team may call. Teams and their models
// are set at a group of the settings tree and apply to its sites and routes; a
// lower level may narrow what the levels above allow and never widen it.
// Compile validates the rules of a tree: it reports every violation with its
// path, and rules with a violation never take effect. The Guard of a gateway
// applies the compiled Table to requests.
//
// New rules take effect in two steps, both of them changes of the feed's shard.
// Together with the settings that contain new rules, the feed publishes a
// Pending change, which says which rules still apply. The Activator of the
// leader removes it once no node can authorize requests any more that does not
// know the new rules. The feed revision at which it is removed is where the new
// rules take effect.
package access

import (
	"fmt"
	"slices"
	"strings"

	"fordseam/internal/base"
)

// TeamRules is what one level sets for a team. A nil list means that the level
// does not set it.
type TeamRules struct {
	Path   string
	Models []string
	Deny   []string
	Parent string
}

// Level is a group, a site or a route with its settings that concern access.
type Level struct {
	Path  string
	Team  string
	Teams map[string]*TeamRules
	Hosts []string
	// Model, Kind and Fallback are only used for a route and include what it
	// inherits.
	Model    string
	Kind     string
	Fallback string
	Children map[string]*Level
}

// Rules are all settings of a tree that concern access.
type Rules struct {
	// Models lists every model; nil if the tree does not list any.
	Models []string
	Groups map[string]*Level
}

// Violation is one error in the rules, with the path of the setting.
type Violation struct{ Path, Message string }

// MaxModels is the most models that a tree may list: a ModelSet has a bit for
// each.
const MaxModels = 64

// AnyHost in the hosts of a site stands for every host that no site lists.
const AnyHost = "*"

// compiler validates rules and builds their table.
type compiler struct {
	rules      *Rules
	modelIndex map[string]int
	teamGroup  map[string]string // the group of each team
	violations []Violation
}

// reject adds a violation.
func (c *compiler) reject(path, format string, args ...any) {
	c.violations = append(c.violations, Violation{path, fmt.Sprintf(format, args...)})
}

// Compile validates the rules and returns their table, or nil if no team is
// set.
func Compile(rules *Rules) (*Table, []Violation) {
	c := &compiler{rules: rules, modelIndex: map[string]int{}, teamGroup: map[string]string{}}
	c.indexModels()
	hasTeams := false
	for _, name := range base.SortedKeys(rules.Groups) {
		hasTeams = hasTeams || len(rules.Groups[name].Teams) > 0
	}
	for _, name := range base.SortedKeys(rules.Groups) {
		c.checkGroup(name, rules.Groups[name], hasTeams)
	}
	if hasTeams && rules.Models == nil {
		c.reject("$.models", "must list every model, because teams are set")
	}
	if !hasTeams && rules.Models != nil {
		c.checkRouteModels()
	}
	if len(c.violations) > 0 || !hasTeams {
		return nil, c.violations
	}
	table := newTable(rules, c.modelIndex)
	hosts := map[string]string{}
	for _, name := range base.SortedKeys(rules.Groups) {
		c.addScopes(table, name, rules.Groups[name], hosts)
	}
	if len(c.violations) > 0 {
		return nil, c.violations
	}
	table.computeDigest()
	return table, nil
}

// indexModels validates the list of models and numbers them.
func (c *compiler) indexModels() {
	if c.rules.Models != nil && len(c.rules.Models) == 0 {
		c.reject("$.models", "must not be empty")
	}
	if len(c.rules.Models) > MaxModels {
		c.reject("$.models", "must list at most %d models", MaxModels)
	}
	for i, name := range c.rules.Models {
		if _, duplicate := c.modelIndex[name]; duplicate {
			c.reject(fmt.Sprintf("$.models[%d]", i), "%q is listed twice", name)
		}
		c.modelIndex[name] = i
	}
}

// checkRouteModels checks that routes only name listed models, for a tree
// without teams.
func (c *compiler) checkRouteModels() {
	for _, group := range base.SortedKeys(c.rules.Groups) {
		for _, site := range base.SortedKeys(c.rules.Groups[group].Children) {
			routes := c.rules.Groups[group].Children[site].Children
			for _, name := range base.SortedKeys(routes) {
				if _, known := c.modelIndex[routes[name].Model]; !known && routes[name].Kind == "model" {
					c.reject(routes[name].Path+".model", "no model is named %q", routes[name].Model)
				}
			}
		}
	}
}

// checkGroup validates the teams of a group, and what its sites and routes set
// for them.
func (c *compiler) checkGroup(name string, group *Level, teamsRequired bool) {
	if teamsRequired && len(group.Teams) == 0 {
		c.reject(group.Path+".teams", "teams are set elsewhere in the tree, so every group must set its own")
	}
	for _, team := range base.SortedKeys(group.Teams) {
		rules := group.Teams[team]
		if other, exists := c.teamGroup[team]; exists {
			c.reject(rules.Path, "team %q is already set in group %q", team, other)
		}
		c.teamGroup[team] = name
		c.checkModelLists(rules)
		switch {
		case rules.Parent == "" && rules.Models == nil:
			c.reject(rules.Path+".models", "is required for a team without a parent")
		case rules.Parent != "" && group.Teams[rules.Parent] == nil:
			c.reject(rules.Path+".parent", "no team of the group is named %q", rules.Parent)
		case rules.Parent != "":
			if cycle := parentCycle(group, team); cycle != nil {
				c.reject(rules.Path+".parent", "cycle of parents: %s", strings.Join(cycle, " > "))
			}
		}
	}
	if len(c.violations) > 0 {
		return
	}
	for _, team := range base.SortedKeys(group.Teams) {
		if rules := group.Teams[team]; rules.Parent != "" {
			listed, _ := c.modelSets(rules.Parent, group)
			c.checkSubset(rules, listed, "team "+rules.Parent)
		}
	}
	c.checkTeam(group, group, "")
	for _, siteName := range base.SortedKeys(group.Children) {
		site := group.Children[siteName]
		c.checkOverrides(group, site, []*Level{group})
		siteTeam := c.checkTeam(group, site, group.Team)
		for _, routeName := range base.SortedKeys(site.Children) {
			route := site.Children[routeName]
			c.checkOverrides(group, route, []*Level{group, site})
			c.checkTeam(group, route, siteTeam)
		}
	}
}

// parentCycle returns the cycle of parents that starts from a team, or nil.
func parentCycle(group *Level, team string) []string {
	chain := []string{team}
	for rules := group.Teams[team]; rules != nil && rules.Parent != ""; rules = group.Teams[rules.Parent] {
		visited := slices.Contains(chain, rules.Parent)
		chain = append(chain, rules.Parent)
		if visited {
			return chain
		}
	}
	return nil
}

// checkModelLists validates each list of a team's rules by itself.
func (c *compiler) checkModelLists(rules *TeamRules) {
	for field, list := range map[string][]string{".models": rules.Models, ".deny": rules.Deny} {
		if list != nil && len(list) == 0 {
			c.reject(rules.Path+field, "must not be empty")
		}
		for i, name := range list {
			if _, known := c.modelIndex[name]; !known {
				c.reject(fmt.Sprintf("%s%s[%d]", rules.Path, field, i), "no model is named %q", name)
			}
			if slices.Contains(list[:i], name) {
				c.reject(fmt.Sprintf("%s%s[%d]", rules.Path, field, i), "%q is listed twice", name)
			}
		}
	}
}

// checkSubset checks that a team's models are among those allowed by source, a
// level or team above.
func (c *compiler) checkSubset(rules *TeamRules, allowed ModelSet, source string) {
	for i, name := range rules.Models {
		if modelIndex, known := c.modelIndex[name]; known && !allowed.has(modelIndex) {
			c.reject(fmt.Sprintf("%s.models[%d]", rules.Path, i), "%q is not among the models of %s; a lower level may only narrow the list", name, source)
		}
	}
}

// checkOverrides validates what a site or a route sets for the teams of its
// group. parents leads from the group to the level above it.
func (c *compiler) checkOverrides(group, level *Level, parents []*Level) {
	for _, team := range base.SortedKeys(level.Teams) {
		rules := level.Teams[team]
		if group.Teams[team] == nil {
			c.reject(rules.Path, "no team of the group is named %q", team)
			continue
		}
		c.checkModelLists(rules)
		if rules.Parent != "" {
			c.reject(rules.Path+".parent", "may only be set at the group")
		}
		listed, _ := c.modelSets(team, parents...)
		c.checkSubset(rules, listed, "the level above")
	}
}

// checkTeam validates the team that the requests of a level belong to, and
// returns it. It must be the inherited team or one below that.
func (c *compiler) checkTeam(group, level *Level, inherited string) string {
	if level.Team == "" {
		return inherited
	}
	if group.Teams[level.Team] == nil {
		c.reject(level.Path+".team", "no team of the group is named %q", level.Team)
		return inherited
	}
	if inherited != "" && !slices.Contains(lineage(group, level.Team), inherited) {
		c.reject(level.Path+".team", "team %q is neither team %q, which the level above sets, nor a team below that", level.Team, inherited)
	}
	return level.Team
}

// lineage returns a team followed by its ancestors.
func lineage(group *Level, team string) []string {
	teams := []string{}
	for team != "" && !slices.Contains(teams, team) {
		teams = append(teams, team)
		if rules := group.Teams[team]; rules != nil {
			team = rules.Parent
		} else {
			team = ""
		}
	}
	return teams
}

// modelSets returns the models listed for a team at a level and those denied
// there. chain leads from the group to the level.
func (c *compiler) modelSets(team string, chain ...*Level) (listed, denied ModelSet) {
	listed = allModels(len(c.rules.Models))
	for _, ancestor := range lineage(chain[0], team) {
		for _, level := range chain {
			if rules := level.Teams[ancestor]; rules != nil {
				if rules.Models != nil {
					listed &= c.modelSet(rules.Models)
				}
				denied |= c.modelSet(rules.Deny)
			}
		}
	}
	return listed, denied
}

// modelSet returns the set of the named models; unknown names are left out.
func (c *compiler) modelSet(names []string) (set ModelSet) {
	for _, name := range names {
		if i, known := c.modelIndex[name]; known {
			set |= 1 << i
		}
	}
	return set
}

// addScopes adds the teams, sites and routes of a group to the table.
func (c *compiler) addScopes(table *Table, groupName string, group *Level, hosts map[string]string) {
	for _, team := range base.SortedKeys(group.Teams) {
		listed, denied := c.modelSets(team, group)
		table.addTeam(team, groupName, group.Teams[team].Parent, listed, denied)
	}
	for _, siteName := range base.SortedKeys(group.Children) {
		site := group.Children[siteName]
		team := firstNonEmpty(site.Team, group.Team)
		if team == "" {
			c.reject(site.Path+".team", "is required here or at the group, because the group sets teams")
			continue
		}
		listed, denied := c.modelSets(team, group, site)
		c.checkNotEmpty(site, team, listed)
		table.addScope(Scope{groupName, siteName, ""}, site.Path, team, listed, denied, "")
		for i, host := range site.Hosts {
			path := fmt.Sprintf("%s.hosts[%d]", site.Path, i)
			if other, exists := hosts[host]; exists {
				c.reject(path, "%q is already a host of %s", host, other)
			}
			hosts[host] = site.Path
			table.hosts[host] = Scope{groupName, siteName, ""}
		}
		for _, routeName := range base.SortedKeys(site.Children) {
			c.addRoute(table, Scope{groupName, siteName, routeName}, team, group, site)
		}
	}
}

// checkNotEmpty rejects a level at which no model is listed for its team.
func (c *compiler) checkNotEmpty(level *Level, team string, listed ModelSet) {
	if listed == 0 {
		c.reject(level.Path+".team", "no model remains for team %q at this level", team)
	}
}

// addRoute adds a route to the table. Its team must be allowed to call its
// model and the models of all its fallbacks.
func (c *compiler) addRoute(table *Table, scope Scope, inherited string, group, site *Level) {
	route := site.Children[scope.Route]
	team := firstNonEmpty(route.Team, inherited)
	listed, denied := c.modelSets(team, group, site, route)
	c.checkNotEmpty(route, team, listed)
	table.addScope(scope, route.Path, team, listed, denied, route.Model)
	if route.Kind != "model" {
		return
	}
	modelIndex, known := c.modelIndex[route.Model]
	switch {
	case !known:
		c.reject(route.Path+".model", "no model is named %q", route.Model)
	case !listed.has(modelIndex):
		c.reject(route.Path+".model", "team %q may not call %q here; list the model for the team, or deny it to have its calls refused", team, route.Model)
	}
	for fallback := route.Fallback; fallback != ""; {
		next := site.Children[fallback]
		if next == nil || next == route {
			return // package settings reports unknown fallbacks and cycles
		}
		nextListed, nextDenied := c.modelSets(firstNonEmpty(next.Team, inherited), group, site, next)
		if modelIndex, known := c.modelIndex[next.Model]; !known || !(listed & nextListed &^ denied &^ nextDenied).has(modelIndex) {
			c.reject(route.Path+".fallback", "team %q may not call %q, the model of route %q", team, next.Model, fallback)
			return
		}
		fallback = next.Fallback
	}
}

func firstNonEmpty(preferred, fallback string) string {
	if preferred == "" {
		return fallback
	}
	return preferred
}
