// Access as operators see it: what each team may call and why, what a document
// would change, and who holds which settings.

package operate

import (
	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/front"
	"fordseam/internal/register"
	"fordseam/internal/settings"
)

// AccessState is how far a change of the rules has come.
type AccessState struct {
	// Version is of the settings that stand; InForce of those whose rules decide.
	Version uint64              `json:"stamp"`
	InForce uint64              `json:"in_force"`
	Holders []feed.NodeSettings `json:"holders"`
}

// AccessView is the whole of it.
type AccessView struct {
	AccessState
	// Unrestricted tells that no teams are set, so that everything is allowed.
	Unrestricted bool              `json:"open"`
	Teams        []access.TeamView `json:"teams"`
}

// readRules gives the rules that stand, in force or not yet.
func (o *Handler) readRules(ctx *base.Ctx) (*settings.Record, *access.Table, error) {
	record, err := o.readSettings(ctx)
	if err != nil {
		return nil, nil, err
	}
	tree, _ := settings.Parse(record.Document)
	return record, tree.Access(), nil
}

func (o *Handler) readHolders(ctx *base.Ctx) ([]feed.NodeSettings, error) {
	nodes := []feed.NodeSettings{}
	err := o.Register.Change(ctx, register.FeedGroup, "access.holders", struct{}{}, &nodes)
	return nodes, err
}

func (o *Handler) readAccessState(ctx *base.Ctx, record *settings.Record) (AccessState, error) {
	state := AccessState{Version: record.Version, InForce: record.Version}
	pending, err := access.ReadPending(ctx, o.Register)
	if err != nil {
		return state, err
	}
	if pending != nil {
		state.InForce = pending.InForce
	}
	state.Holders, err = o.readHolders(ctx)
	return state, err
}

func (o *Handler) getAccess(ctx *base.Ctx) (any, error) {
	record, table, err := o.readRules(ctx)
	if err != nil {
		return nil, err
	}
	state, err := o.readAccessState(ctx, record)
	return AccessView{AccessState: state, Unrestricted: table == nil, Teams: table.Teams()}, err
}

// accessStatus is nil where there are no rules, or nobody can say.
func (o *Handler) accessStatus(ctx *base.Ctx) *AccessState {
	values := o.FeedValues()
	pending := access.PendingFromFeed(values)
	if pending == nil && !settings.HasTeams(values) {
		return nil
	}
	state := &AccessState{Version: settings.VersionFromFeed(values), Holders: []feed.NodeSettings{}}
	state.InForce = state.Version
	if pending != nil {
		state.InForce = pending.InForce
	}
	if holders, err := o.readHolders(ctx.WithTimeout(o.Bounds.Load().CoreCallTimeout())); err == nil {
		state.Holders = holders
	}
	return state
}

func (o *Handler) explainAccess(ctx *base.Ctx, r *front.Request) (any, error) {
	team, model := r.Query["team"], r.Query["model"]
	switch {
	case team == "":
		return nil, base.DeclineField("team", "must be given")
	case model == "":
		return nil, base.DeclineField("model", "must be given")
	}
	record, table, err := o.readRules(ctx)
	if err != nil {
		return nil, err
	}
	reasons, err := table.Explain(team, model)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "reasons": reasons}, nil
}

func (o *Handler) diffAccess(ctx *base.Ctx, document []byte) (any, error) {
	tree, violations := settings.Parse(document)
	if len(violations) > 0 {
		return nil, settings.InvalidDocument(violations)
	}
	record, table, err := o.readRules(ctx)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "changes": access.Diff(table, tree.Access())}, nil
}
