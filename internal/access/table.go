// The table of one tree's rules: immutable, swapped whole, and asked without a
// lock. A question is a place of the tree, or a host with a route of the
// operator's; the answer names the team and the model that it was decided on.

package access

import (
	"math/bits"
	"strings"

	"fordseam/internal/base"
)

// ModelSet is some of the models, by their place in the catalogue.
type ModelSet uint64

func (s ModelSet) has(at int) bool { return s&(1<<at) != 0 }

func full(count int) ModelSet { return ModelSet(1)<<count - 1 }

// Scope is a site, or one of its routes.
type Scope struct{ Group, Site, Route string }

// Team is a tenant, with what its group lists and denies.
type Team struct {
	Name, Group, Parent string
	Listed, Denied      ModelSet

	num int
}

type rule struct {
	path           string
	team           *Team
	listed, denied ModelSet
	model          string
}

// Table is what one tree allows.
type Table struct {
	models []string
	index  map[string]int
	teams  map[string]*Team
	places map[Scope]*rule
	hosts  map[string]Scope
	digest string
	rules  *Rules
}

func newTable(rules *Rules, index map[string]int) *Table {
	return &Table{rules: rules, models: rules.Models, index: index, teams: map[string]*Team{}, places: map[Scope]*rule{}, hosts: map[string]Scope{}}
}

func (t *Table) addTeam(name, group, parent string, listed, denied ModelSet) {
	t.teams[name] = &Team{Name: name, Group: group, Parent: parent, Listed: listed, Denied: denied, num: len(t.teams)}
}

func (t *Table) addPlace(at Scope, path, team string, listed, denied ModelSet, model string) {
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

func (t *Table) names(set ModelSet) []string {
	named := make([]string, 0, bits.OnesCount64(uint64(set)))
	for at, name := range t.models {
		if set.has(at) {
			named = append(named, name)
		}
	}
	return named
}

// Request is what a request carries: its place in the tree, or the host it
// names with the operator's route that took it; and the model, which a place
// may know by itself.
type Request struct {
	Scope Scope
	Host  string
	Model string
}

// Decision is what a table says to a question.
type Decision struct {
	Allowed bool
	Team    string
	Model   string
	pair    int // of team and model; below 0 when one is not known
	unknown bool
}

// Decide answers a question.
func (t *Table) Decide(q *Request) Decision { return t.find(q) }

// find answers a question; a table of no rules allows everything.
func (t *Table) find(q *Request) Decision {
	if t == nil {
		return Decision{Allowed: true, Model: q.Model, pair: -1}
	}
	at := q.Scope
	if q.Host != "" {
		site, ok := t.hosts[q.Host]
		if !ok {
			site, ok = t.hosts[AnyHost]
		}
		if !ok {
			return Decision{Model: q.Model, pair: -1, unknown: true}
		}
		at = Scope{site.Group, site.Site, at.Route}
	}
	found := t.places[at]
	if found == nil && q.Host != "" {
		found = t.places[Scope{at.Group, at.Site, ""}]
	}
	if found == nil {
		return Decision{Model: q.Model, pair: -1, unknown: true}
	}
	model := orElse(q.Model, found.model)
	num, known := t.index[model]
	if !known {
		return Decision{Team: found.team.Name, Model: model, pair: -1}
	}
	return Decision{Allowed: (found.listed &^ found.denied).has(num), Team: found.team.Name, Model: model, pair: found.team.num*len(t.models) + num}
}
