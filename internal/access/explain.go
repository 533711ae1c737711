package access

import (
	"slices"

	"fordseam/internal/base"
)

// TeamView is a team with the models that its group lists and denies, for
// operators.
type TeamView struct {
	Team   string   `json:"team"`
	Group  string   `json:"group"`
	Parent string   `json:"parent,omitempty"`
	Models []string `json:"models"`
	Denied []string `json:"denied,omitempty"`
}

// Teams returns every team.
func (t *Table) Teams() []TeamView {
	teams := []TeamView{}
	if t == nil {
		return teams
	}
	for _, name := range base.SortedKeys(t.teams) {
		team := t.teams[name]
		teams = append(teams, TeamView{name, team.Group, team.Parent, t.names(team.Listed &^ team.Denied), t.names(team.Listed & team.Denied)})
	}
	return teams
}

// Reason says whether a team may call a model at one level, and which setting
// decides that.
type Reason struct {
	Path    string `json:"place"`
	Team    string `json:"team"`
	Allowed bool   `json:"allowed"`
	Why     string `json:"why"`
}

// Explain reports whether a team may call a model: at its group, and at each
// site and route whose requests belong to the team or a team below it.
func (t *Table) Explain(team, model string) ([]Reason, error) {
	if t == nil {
		return []Reason{{Path: "$", Team: team, Allowed: true, Why: "no teams are set: everything is allowed"}}, nil
	}
	info := t.teams[team]
	if info == nil {
		return nil, base.DeclineField("team", "no team is named %q", team)
	}
	modelIndex, known := t.modelIndex[model]
	if !known {
		return nil, base.DeclineField("model", "no model is named %q", model)
	}
	c := &compiler{rules: t.rules, modelIndex: t.modelIndex}
	group := t.rules.Groups[info.Group]
	reasons := []Reason{c.explainAt(group.Teams[team].Path, team, modelIndex, group)}
	for _, scope := range sortedScopes(t.scopes) {
		if rule := t.scopes[scope]; scope.Group == info.Group && slices.Contains(lineage(group, rule.team.Name), team) {
			chain := []*Level{group, group.Children[scope.Site]}
			if scope.Route != "" {
				chain = append(chain, group.Children[scope.Site].Children[scope.Route])
			}
			reasons = append(reasons, c.explainAt(rule.path, rule.team.Name, modelIndex, chain...))
		}
	}
	return reasons, nil
}

// explainAt finds the setting that takes a model away at a level, or the one
// that allows it. chain leads from the group to the level.
func (c *compiler) explainAt(path, team string, modelIndex int, chain ...*Level) Reason {
	result := Reason{Path: path, Team: team, Allowed: true}
	for _, ancestor := range lineage(chain[0], team) {
		for _, level := range chain {
			rules := level.Teams[ancestor]
			switch {
			case rules == nil:
			case c.modelSet(rules.Deny).has(modelIndex):
				return Reason{path, team, false, "denied by " + rules.Path + ".deny"}
			case rules.Models != nil && !c.modelSet(rules.Models).has(modelIndex):
				result = Reason{path, team, false, "not listed in " + rules.Path + ".models"}
			case rules.Models != nil && result.Allowed:
				result.Why = "listed in " + rules.Path + ".models"
			}
		}
	}
	return result
}

// Difference is a model that another tree allows or refuses to a team at a
// level.
type Difference struct {
	Path   string `json:"place"`
	Team   string `json:"team"`
	Model  string `json:"model"`
	Effect string `json:"change"`
}

// Diff compares two tables. A nil table allows everything, and a change from or
// to one is an entry of its own.
func Diff(before, after *Table) []Difference {
	differences := []Difference{}
	switch {
	case before == nil && after == nil:
		return differences
	case before == nil:
		differences = append(differences, Difference{"$", "", "", "only teams may call models from now on"})
	case after == nil:
		return append(differences, Difference{"$", "", "", "everything is allowed from now on"})
	}
	oldGrants, newGrants := before.grants(), after.grants()
	keys := map[grant]bool{}
	for key := range oldGrants {
		keys[key] = true
	}
	for key := range newGrants {
		keys[key] = true
	}
	all := make([]grant, 0, len(keys))
	for key := range keys {
		all = append(all, key)
	}
	slices.SortFunc(all, func(a, b grant) int { return slices.Compare(a[:], b[:]) })
	for _, key := range all {
		switch {
		case newGrants[key] && !oldGrants[key]:
			differences = append(differences, Difference{key[0], key[1], key[2], "allowed"})
		case oldGrants[key] && !newGrants[key]:
			differences = append(differences, Difference{key[0], key[1], key[2], "refused"})
		}
	}
	return differences
}

// grant is the path of a level, a team and a model that it may call there.
type grant [3]string

// grants returns everything that the table allows.
func (t *Table) grants() map[grant]bool {
	granted := map[grant]bool{}
	if t == nil {
		return granted
	}
	for _, rule := range t.scopes {
		for _, model := range t.names(rule.listed &^ rule.denied) {
			granted[grant{rule.path, rule.team.Name, model}] = true
		}
	}
	for _, team := range t.teams {
		for _, model := range t.names(team.Listed &^ team.Denied) {
			granted[grant{t.rules.Groups[team.Group].Teams[team.Name].Path, team.Name, model}] = true
		}
	}
	return granted
}

func sortedScopes(rules map[Scope]*scopeRule) []Scope {
	sorted := make([]Scope, 0, len(rules))
	for scope := range rules {
		sorted = append(sorted, scope)
	}
	slices.SortFunc(sorted, func(a, b Scope) int {
		return slices.Compare([]string{a.Group, a.Site, a.Route}, []string{b.Group, b.Site, b.Route})
	})
	return sorted
}
