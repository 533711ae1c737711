package access

import (
	"math/bits"
	"strings"

	"fordseam/internal/base"
)

// ModelSet is a set of models, as bits at their positions in the tree's list.
type ModelSet uint64

func (s ModelSet) has(modelIndex int) bool { return s&(1<<modelIndex) != 0 }

func allModels(count int) ModelSet { return ModelSet(1)<<count - 1 }

// Scope names a site, or one of its routes.
type Scope struct{ Group, Site, Route string }

// Team is a tenant, with the models that its group lists and denies.
type Team struct {
	Name, Group, Parent string
	Listed, Denied      ModelSet

	index int
}

// scopeRule is what applies to the requests of a scope: their team, its models
// there, and the model that the scope sets.
type scopeRule struct {
	path           string
	team           *Team
	listed, denied ModelSet
	model          string
}

// Table is the compiled rules of one tree. It is immutable, so it is read
// without a lock and replaced as a whole.
type Table struct {
	models     []string
	modelIndex map[string]int
	teams      map[string]*Team
	scopes     map[Scope]*scopeRule
	hosts      map[string]Scope
	digest     string
	rules      *Rules
}

func newTable(rules *Rules, modelIndex map[string]int) *Table {
	return &Table{rules: rules, models: rules.Models, modelIndex: modelIndex, teams: map[string]*Team{}, scopes: map[Scope]*scopeRule{}, hosts: map[string]Scope{}}
}

func (t *Table) addTeam(name, group, parent string, listed, denied ModelSet) {
	t.teams[name] = &Team{Name: name, Group: group, Parent: parent, Listed: listed, Denied: denied, index: len(t.teams)}
}

func (t *Table) addScope(scope Scope, path, team string, listed, denied ModelSet, model string) {
	t.scopes[scope] = &scopeRule{path, t.teams[team], listed, denied, model}
}

// computeDigest sets the digest, which covers everything that decisions depend
// on.
func (t *Table) computeDigest() {
	text := &strings.Builder{}
	writeLine := func(parts ...string) { text.WriteString(strings.Join(parts, "\x00") + "\n") }
	for _, scope := range sortedScopes(t.scopes) {
		rule := t.scopes[scope]
		writeLine(append([]string{scope.Group, scope.Site, scope.Route, rule.team.Name, rule.model}, t.names(rule.listed&^rule.denied)...)...)
	}
	for _, host := range base.SortedKeys(t.hosts) {
		writeLine(host, t.hosts[host].Group, t.hosts[host].Site)
	}
	for _, name := range base.SortedKeys(t.teams) {
		writeLine(append([]string{name}, t.names(t.teams[name].Listed&^t.teams[name].Denied)...)...)
	}
	t.digest = base.Digest([]byte(text.String()))
}

// Digest returns a digest that differs for tables that decide differently, or
// "" for a nil table.
func (t *Table) Digest() string {
	if t == nil {
		return ""
	}
	return t.digest
}

// names returns the names of the models in a set, in the order of the tree's
// list.
func (t *Table) names(set ModelSet) []string {
	names := make([]string, 0, bits.OnesCount64(uint64(set)))
	for i, name := range t.models {
		if set.has(i) {
			names = append(names, name)
		}
	}
	return names
}

// Request describes a call to authorize: a scope of the tree, or a host
// together with the platform operator's route that matched; and a model, which
// the scope may set itself.
type Request struct {
	Scope Scope
	Host  string
	Model string
}

// Decision is a table's answer to a request.
type Decision struct {
	Allowed     bool
	Team        string
	Model       string
	countIndex  int // of the pair of team and model; -1 if one is unknown
	unknownTeam bool
}

// Decide decides a request.
func (t *Table) Decide(request *Request) Decision { return t.lookup(request) }

// lookup decides a request. A nil table allows everything.
func (t *Table) lookup(request *Request) Decision {
	if t == nil {
		return Decision{Allowed: true, Model: request.Model, countIndex: -1}
	}
	scope := request.Scope
	if request.Host != "" {
		site, ok := t.hosts[request.Host]
		if !ok {
			site, ok = t.hosts[AnyHost]
		}
		if !ok {
			return Decision{Model: request.Model, countIndex: -1, unknownTeam: true}
		}
		scope = Scope{site.Group, site.Site, scope.Route}
	}
	rule := t.scopes[scope]
	if rule == nil && request.Host != "" {
		rule = t.scopes[Scope{scope.Group, scope.Site, ""}]
	}
	if rule == nil {
		return Decision{Model: request.Model, countIndex: -1, unknownTeam: true}
	}
	model := firstNonEmpty(request.Model, rule.model)
	index, known := t.modelIndex[model]
	if !known {
		return Decision{Team: rule.team.Name, Model: model, countIndex: -1}
	}
	return Decision{Allowed: (rule.listed &^ rule.denied).has(index), Team: rule.team.Name, Model: model, countIndex: rule.team.index*len(t.models) + index}
}
