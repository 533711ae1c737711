// The table of one tree's rules: immutable, swapped whole, and asked without a
// lock. A question is a place of the tree, or a host with a route of the
// operator's; the answer names the team and the model that it was decided on.

package access

import (
	"math/bits"
	"strings"

	"fordseam/internal/base"
)

// Set is some of the models, by their place in the catalogue.
type Set uint64

func (s Set) has(at int) bool { return s&(1<<at) != 0 }

func full(count int) Set { return Set(1)<<count - 1 }

// Place is a site, or one of its routes.
type Place struct{ Group, Site, Route string }

// Team is a tenant, with what its group lists and denies.
type Team struct {
	Name, Group, Parent string
	Listed, Denied      Set

	num int
}

type rule struct {
	path           string
	team           *Team
	listed, denied Set
	model          string
}

// Table is what one tree allows.
type Table struct {
	models []string
	index  map[string]int
	teams  map[string]*Team
	places map[Place]*rule
	hosts  map[string]Place
	digest string
	rules  *Rules
}

func newTable(rules *Rules, index map[string]int) *Table {
	return &Table{rules: rules, models: rules.Models, index: index, teams: map[string]*Team{}, places: map[Place]*rule{}, hosts: map[string]Place{}}
}

func (t *Table) addTeam(name, group, parent string, listed, denied Set) {
	t.teams[name] = &Team{Name: name, Group: group, Parent: parent, Listed: listed, Denied: denied, num: len(t.teams)}
}

func (t *Table) addPlace(at Place, path, team string, listed, denied Set, model string) {
	t.places[at] = &rule{path, t.teams[team], listed, denied, model}
}

// seal names the table by what it decides.
func (t *Table) seal() {
	text := &strings.Builder{}
	say := func(parts ...string) { text.WriteString(strings.Join(parts, "\x00") + "\n") }
	for _, path := range sortedPlaces(t.places) {
		r := t.places[path]
		say(append([]string{path.Group, path.Site, path.Route, r.team.Name, r.model}, t.names(r.listed&^r.denied)...)...)
	}
	for _, host := range base.SortedKeys(t.hosts) {
		say(host, t.hosts[host].Group, t.hosts[host].Site)
	}
	for _, name := range base.SortedKeys(t.teams) {
		say(append([]string{name}, t.names(t.teams[name].Listed&^t.teams[name].Denied)...)...)
	}
	t.digest = base.Digest([]byte(text.String()))
}

// Digest tells tables apart that decide differently; empty for none.
func (t *Table) Digest() string {
	if t == nil {
		return ""
	}
	return t.digest
}

func (t *Table) names(set Set) []string {
	named := make([]string, 0, bits.OnesCount64(uint64(set)))
	for at, name := range t.models {
		if set.has(at) {
			named = append(named, name)
		}
	}
	return named
}

// Question is what a request carries: its place in the tree, or the host it
// names with the operator's route that took it; and the model, which a place
// may know by itself.
type Question struct {
	Place Place
	Host  string
	Model string
}

// Finding is what a table says to a question.
type Finding struct {
	Allowed bool
	Team    string
	Model   string
	pair    int // of team and model; below 0 when one is not known
	unknown bool
}

// Decide answers a question.
func (t *Table) Decide(q *Question) Finding { return t.find(q) }

// find answers a question; a table of no rules allows everything.
func (t *Table) find(q *Question) Finding {
	if t == nil {
		return Finding{Allowed: true, Model: q.Model, pair: -1}
	}
	at := q.Place
	if q.Host != "" {
		site, ok := t.hosts[q.Host]
		if !ok {
			site, ok = t.hosts[AnyHost]
		}
		if !ok {
			return Finding{Model: q.Model, pair: -1, unknown: true}
		}
		at = Place{site.Group, site.Site, at.Route}
	}
	found := t.places[at]
	if found == nil && q.Host != "" {
		found = t.places[Place{at.Group, at.Site, ""}]
	}
	if found == nil {
		return Finding{Model: q.Model, pair: -1, unknown: true}
	}
	model := orElse(q.Model, found.model)
	num, known := t.index[model]
	if !known {
		return Finding{Team: found.team.Name, Model: model, pair: -1}
	}
	return Finding{Allowed: (found.listed &^ found.denied).has(num), Team: found.team.Name, Model: model, pair: found.team.num*len(t.models) + num}
}
