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
	// Stamp is of the settings that stand; InForce of those whose rules decide.
	Stamp   uint64              `json:"stamp"`
	InForce uint64              `json:"in_force"`
	Holders []feed.NodeSettings `json:"holders"`
}

// AccessView is the whole of it.
type AccessView struct {
	AccessState
	// Open tells that no teams are set, so that everything is allowed.
	Open  bool              `json:"open"`
	Teams []access.TeamView `json:"teams"`
}

// held gives the rules that stand, in force or not yet.
func (o *Operate) held(ctx *base.Ctx) (*settings.Record, *access.Table, error) {
	record, err := o.settings(ctx)
	if err != nil {
		return nil, nil, err
	}
	tree, _ := settings.Parse(record.Document)
	return record, tree.Access(), nil
}

func (o *Operate) holders(ctx *base.Ctx) ([]feed.NodeSettings, error) {
	found := []feed.NodeSettings{}
	err := o.Register.Change(ctx, register.FeedGroup, "access.holders", struct{}{}, &found)
	return found, err
}

func (o *Operate) stateOf(ctx *base.Ctx, record *settings.Record) (AccessState, error) {
	state := AccessState{Stamp: record.Version, InForce: record.Version}
	pending, err := access.ReadPending(ctx, o.Register)
	if err != nil {
		return state, err
	}
	if pending != nil {
		state.InForce = pending.InForce
	}
	state.Holders, err = o.holders(ctx)
	return state, err
}

func (o *Operate) access(ctx *base.Ctx) (any, error) {
	record, table, err := o.held(ctx)
	if err != nil {
		return nil, err
	}
	state, err := o.stateOf(ctx, record)
	return AccessView{AccessState: state, Open: table == nil, Teams: table.Teams()}, err
}

// accessState is nil where there are no rules, or nobody can say.
func (o *Operate) accessState(ctx *base.Ctx) *AccessState {
	values := o.Frame()
	pending := access.PendingFromFeed(values)
	if pending == nil && !settings.HasTeams(values) {
		return nil
	}
	state := &AccessState{Stamp: settings.VersionFromFeed(values), Holders: []feed.NodeSettings{}}
	state.InForce = state.Stamp
	if pending != nil {
		state.InForce = pending.InForce
	}
	if holders, err := o.holders(ctx.WithTimeout(o.Bounds.Load().CoreCallTimeout())); err == nil {
		state.Holders = holders
	}
	return state
}

func (o *Operate) accessCheck(ctx *base.Ctx, r *front.Request) (any, error) {
	team, model := r.Query["team"], r.Query["model"]
	switch {
	case team == "":
		return nil, base.DeclineField("team", "must be given")
	case model == "":
		return nil, base.DeclineField("model", "must be given")
	}
	record, table, err := o.held(ctx)
	if err != nil {
		return nil, err
	}
	reasons, err := table.Explain(team, model)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "reasons": reasons}, nil
}

func (o *Operate) accessDiff(ctx *base.Ctx, document []byte) (any, error) {
	tree, faults := settings.Parse(document)
	if len(faults) > 0 {
		return nil, settings.InvalidDocument(faults)
	}
	record, table, err := o.held(ctx)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "changes": access.Diff(table, tree.Access())}, nil
}
