// The operator's routes and the roster of workers, as
// operators see and change them.

package operate

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/register"
	"fordseam/internal/relay"
	"fordseam/internal/route"
)

// RoutesView is the configuration of routes in force.
type RoutesView struct {
	Version          uint64                  `json:"version"`
	Document         json.RawMessage         `json:"document,omitempty"`
	AcceptedVersions []route.AcceptedVersion `json:"taken"`
}

func (o *Handler) getRoutes(ctx *base.Ctx) (any, error) {
	document, err := route.ReadDocument(ctx, o.Register)
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

// parseRoutes reads a document by the deployment's codec.
func (o *Handler) parseRoutes(document []byte) (*route.Table, error) {
	if o.ParseRoutes == nil {
		return nil, base.Decline(404, "no_routes", "this deployment has no operator's routes")
	}
	return o.ParseRoutes(document)
}

func (o *Handler) checkRoutes(document []byte) (any, error) {
	table, err := o.parseRoutes(document)
	if err != nil {
		return nil, err
	}
	return map[string]any{"valid": true, "version": table.Version, "routes": len(table.Routes), "services": len(table.Services)}, nil
}

func (o *Handler) applyRoutes(ctx *base.Ctx, r *front.Request) (any, error) {
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
	table, err := o.parseRoutes(document)
	if err != nil {
		return nil, err
	}
	change, err := route.NewChange(uint64(basedOn), table, document)
	if err != nil {
		return nil, err
	}
	if err := route.SubmitChange(ctx, o.Register, change); err != nil {
		return nil, err
	}
	return map[string]any{"version": table.Version}, nil
}

func (o *Handler) getRoster(ctx *base.Ctx) (any, error) {
	var workers map[string]relay.Worker
	return &workers, o.Register.Change(ctx, register.FeedGroup, "roster.read", struct{}{}, &workers)
}
