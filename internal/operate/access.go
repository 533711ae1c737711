package operate

import (
	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/front"
	"fordseam/internal/register"
	"fordseam/internal/settings"
)

// AccessState is the progress of a change of the access rules.
type AccessState struct {
	// Version is the version of the latest settings. InForce is the version of the
	// settings whose rules decide.
	Version uint64 `json:"stamp"`
	InForce uint64 `json:"in_force"`
	// Holders are the versions that the nodes hold.
	Holders []feed.NodeSettings `json:"holders"`
}

// AccessView is the response to a query of the access rules.
type AccessView struct {
	AccessState
	// Unrestricted reports that no teams are configured, so that every call is
	// allowed.
	Unrestricted bool              `json:"open"`
	Teams        []access.TeamView `json:"teams"`
}

// readRules returns the latest settings and their access rules, whether these are
// already in force or not.
func (h *Handler) readRules(ctx *base.Ctx) (*settings.Record, *access.Table, error) {
	record, err := h.readSettings(ctx)
	if err != nil {
		return nil, nil, err
	}
	tree, _ := settings.Parse(record.Document)
	return record, tree.Access(), nil
}

// readHolders returns the versions of the settings that the nodes hold.
func (h *Handler) readHolders(ctx *base.Ctx) ([]feed.NodeSettings, error) {
	nodes := []feed.NodeSettings{}
	err := h.Register.Change(ctx, register.FeedGroup, "access.holders", struct{}{}, &nodes)
	return nodes, err
}

func (h *Handler) readAccessState(ctx *base.Ctx, record *settings.Record) (AccessState, error) {
	state := AccessState{Version: record.Version, InForce: record.Version}
	pending, err := access.ReadPending(ctx, h.Register)
	if err != nil {
		return state, err
	}
	if pending != nil {
		state.InForce = pending.InForce
	}
	state.Holders, err = h.readHolders(ctx)
	return state, err
}

// getAccess shows what each team may call.
func (h *Handler) getAccess(ctx *base.Ctx) (any, error) {
	record, table, err := h.readRules(ctx)
	if err != nil {
		return nil, err
	}
	state, err := h.readAccessState(ctx, record)
	return AccessView{AccessState: state, Unrestricted: table == nil, Teams: table.Teams()}, err
}

// accessStatus returns the access state for the status of the fleet, or nil if
// there are no access rules. It uses the values of the feed and leaves Holders
// empty if the register does not answer, because the status must not depend on it.
func (h *Handler) accessStatus(ctx *base.Ctx) *AccessState {
	values := h.FeedValues()
	pending := access.PendingFromFeed(values)
	if pending == nil && !settings.HasTeams(values) {
		return nil
	}
	state := &AccessState{Version: settings.VersionFromFeed(values), Holders: []feed.NodeSettings{}}
	state.InForce = state.Version
	if pending != nil {
		state.InForce = pending.InForce
	}
	if holders, err := h.readHolders(ctx.WithTimeout(h.Bounds.Load().CoreCallTimeout())); err == nil {
		state.Holders = holders
	}
	return state
}

// explainAccess shows whether a team may call a model, and why.
func (h *Handler) explainAccess(ctx *base.Ctx, r *front.Request) (any, error) {
	team, model := r.Query["team"], r.Query["model"]
	switch {
	case team == "":
		return nil, base.DeclineField("team", "must be given")
	case model == "":
		return nil, base.DeclineField("model", "must be given")
	}
	record, table, err := h.readRules(ctx)
	if err != nil {
		return nil, err
	}
	reasons, err := table.Explain(team, model)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "reasons": reasons}, nil
}

// diffAccess shows how a document would change the access of teams.
func (h *Handler) diffAccess(ctx *base.Ctx, document []byte) (any, error) {
	tree, violations := settings.Parse(document)
	if len(violations) > 0 {
		return nil, settings.InvalidDocument(violations)
	}
	record, table, err := h.readRules(ctx)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "changes": access.Diff(table, tree.Access())}, nil
}
