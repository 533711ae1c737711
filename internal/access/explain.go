// What the rules come to, for operators: what each team may call, why at each
// place, and what another tree would give or take.

package access

import (
	"slices"

	"fordseam/internal/base"
)

// TeamView is a team with what its group gives it.
type TeamView struct {
	Team   string   `json:"team"`
	Group  string   `json:"group"`
	Parent string   `json:"parent,omitempty"`
	Models []string `json:"models"`
	Denied []string `json:"denied,omitempty"`
}

// Teams lists every team.
func (t *Table) Teams() []TeamView {
	shown := []TeamView{}
	if t == nil {
		return shown
	}
	for _, name := range base.SortedKeys(t.teams) {
		team := t.teams[name]
		shown = append(shown, TeamView{name, team.Group, team.Parent, t.names(team.Listed &^ team.Denied), t.names(team.Listed & team.Denied)})
	}
	return shown
}

// Reason is what holds for a team and a model at one place.
type Reason struct {
	Path    string `json:"place"`
	Team    string `json:"team"`
	Allowed bool   `json:"allowed"`
	Why     string `json:"why"`
}

// Explain tells whether a team may call a model, at its group and wherever its
// requests come from or a lower level says otherwise.
func (t *Table) Explain(team, model string) ([]Reason, error) {
	if t == nil {
		return []Reason{{Path: "$", Team: team, Allowed: true, Why: "no teams are set: everything is allowed"}}, nil
	}
	found := t.teams[team]
	if found == nil {
		return nil, base.DeclineField("team", "no team is named %q", team)
	}
	at, known := t.index[model]
	if !known {
		return nil, base.DeclineField("model", "no model is named %q", model)
	}
	c := &checker{rules: t.rules, index: t.index}
	group := t.rules.Groups[found.Group]
	reasons := []Reason{c.reason(group.Teams[team].Path, team, at, group)}
	for _, place := range sortedPlaces(t.places) {
		if r := t.places[place]; place.Group == found.Group && slices.Contains(lineage(group, r.team.Name), team) {
			chain := []*Level{group, group.Children[place.Site]}
			if place.Route != "" {
				chain = append(chain, group.Children[place.Site].Children[place.Route])
			}
			reasons = append(reasons, c.reason(r.path, r.team.Name, at, chain...))
		}
	}
	return reasons, nil
}

// reason finds the level that takes a model away, or the one that gives it.
func (c *checker) reason(path, team string, at int, chain ...*Level) Reason {
	said := Reason{Path: path, Team: team, Allowed: true}
	for _, one := range lineage(chain[0], team) {
		for _, level := range chain {
			entry := level.Teams[one]
			switch {
			case entry == nil:
			case c.set(entry.Deny).has(at):
				return Reason{path, team, false, "denied by " + entry.Path + ".deny"}
			case entry.Models != nil && !c.set(entry.Models).has(at):
				said = Reason{path, team, false, "not listed in " + entry.Path + ".models"}
			case entry.Models != nil && said.Allowed:
				said.Why = "listed in " + entry.Path + ".models"
			}
		}
	}
	return said
}

// Difference is what another tree gives a team, or takes from it, at a place.
type Difference struct {
	Path   string `json:"place"`
	Team   string `json:"team"`
	Model  string `json:"model"`
	Effect string `json:"change"`
}

// Diff tells what a table would change; no table allows everything, and stands
// in the list as such.
func Diff(was, now *Table) []Difference {
	changes := []Difference{}
	switch {
	case was == nil && now == nil:
		return changes
	case was == nil:
		changes = append(changes, Difference{"$", "", "", "only teams may call models from now on"})
	case now == nil:
		return append(changes, Difference{"$", "", "", "everything is allowed from now on"})
	}
	former, next := was.allowed(), now.allowed()
	keys := map[allowance]bool{}
	for key := range former {
		keys[key] = true
	}
	for key := range next {
		keys[key] = true
	}
	all := make([]allowance, 0, len(keys))
	for key := range keys {
		all = append(all, key)
	}
	slices.SortFunc(all, func(a, b allowance) int { return slices.Compare(a[:], b[:]) })
	for _, key := range all {
		switch {
		case next[key] && !former[key]:
			changes = append(changes, Difference{key[0], key[1], key[2], "allowed"})
		case former[key] && !next[key]:
			changes = append(changes, Difference{key[0], key[1], key[2], "refused"})
		}
	}
	return changes
}

type allowance [3]string

func (t *Table) allowed() map[allowance]bool {
	found := map[allowance]bool{}
	if t == nil {
		return found
	}
	for _, r := range t.places {
		for _, model := range t.names(r.listed &^ r.denied) {
			found[allowance{r.path, r.team.Name, model}] = true
		}
	}
	for _, team := range t.teams {
		for _, model := range t.names(team.Listed &^ team.Denied) {
			found[allowance{t.rules.Groups[team.Group].Teams[team.Name].Path, team.Name, model}] = true
		}
	}
	return found
}

func sortedPlaces(places map[Scope]*rule) []Scope {
	sorted := make([]Scope, 0, len(places))
	for place := range places {
		sorted = append(sorted, place)
	}
	slices.SortFunc(sorted, func(a, b Scope) int {
		return slices.Compare([]string{a.Group, a.Site, a.Route}, []string{b.Group, b.Site, b.Route})
	})
	return sorted
}
