package operate

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/register"
	"fordseam/internal/relay"
	"fordseam/internal/route"
)

// RoutesView is the configuration of routes in force and the history of accepted
// versions.
type RoutesView struct {
	Version          uint64                  `json:"version"`
	Document         json.RawMessage         `json:"document,omitempty"`
	AcceptedVersions []route.AcceptedVersion `json:"taken"`
}

// getRoutes shows the configuration of routes in force.
func (h *Handler) getRoutes(ctx *base.Ctx) (any, error) {
	document, err := route.ReadDocument(ctx, h.Register)
	if err != nil {
		return nil, err
	}
	view := RoutesView{Version: document.Version, AcceptedVersions: document.Accepted}
	if document.Version > 0 {
		if view.Document, err = document.Source(); err != nil {
			return nil, err
		}
	}
	return view, nil
}

// parseRoutes parses a document in the deployment's format.
func (h *Handler) parseRoutes(document []byte) (*route.Table, error) {
	if h.ParseRoutes == nil {
		return nil, base.Decline(404, "no_routes", "this deployment does not support operators' routes")
	}
	return h.ParseRoutes(document)
}

// checkRoutes validates a document without applying it.
func (h *Handler) checkRoutes(document []byte) (any, error) {
	table, err := h.parseRoutes(document)
	if err != nil {
		return nil, err
	}
	return map[string]any{"valid": true, "version": table.Version, "routes": len(table.Routes), "services": len(table.Services)}, nil
}

// applyRoutes replaces the configuration of routes, provided that the version that
// the change is based on is still in force.
func (h *Handler) applyRoutes(ctx *base.Ctx, r *front.Request) (any, error) {
	var document json.RawMessage
	basedOn := -1.0
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"based_on": base.NumberField(&basedOn, 0, 1<<52, true), "document": rawField(&document)}); err != nil {
		return nil, err
	}
	switch {
	case basedOn < 0:
		return nil, base.DeclineField("based_on", "must be given")
	case document == nil:
		return nil, base.DeclineField("document", "must be given")
	}
	table, err := h.parseRoutes(document)
	if err != nil {
		return nil, err
	}
	change, err := route.NewChange(uint64(basedOn), table, document)
	if err != nil {
		return nil, err
	}
	if err := route.SubmitChange(ctx, h.Register, change); err != nil {
		return nil, err
	}
	return map[string]any{"version": table.Version}, nil
}

// getRoster shows the workers of the operator's routes.
func (h *Handler) getRoster(ctx *base.Ctx) (any, error) {
	var workers map[string]relay.Worker
	return &workers, h.Register.Change(ctx, register.FeedGroup, "roster.read", struct{}{}, &workers)
}
