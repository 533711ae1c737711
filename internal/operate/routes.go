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
	Version  uint64                  `json:"version"`
	Document json.RawMessage         `json:"document,omitempty"`
	Taken    []route.AcceptedVersion `json:"taken"`
}

func (o *Operate) routes(ctx *base.Ctx) (any, error) {
	found, err := route.ReadDocument(ctx, o.Register)
	if err != nil {
		return nil, err
	}
	shown := RoutesView{Version: found.Version, Taken: found.Accepted}
	if found.Version > 0 {
		if shown.Document, err = found.Source(); err != nil {
			return nil, err
		}
	}
	return shown, nil
}

// readTable reads a document by the deployment's codec.
func (o *Operate) readTable(document []byte) (*route.Table, error) {
	if o.Table == nil {
		return nil, base.Decline(404, "no_routes", "this deployment has no operator's routes")
	}
	return o.Table(document)
}

func (o *Operate) checkRoutes(document []byte) (any, error) {
	table, err := o.readTable(document)
	if err != nil {
		return nil, err
	}
	return map[string]any{"valid": true, "version": table.Version, "routes": len(table.Routes), "services": len(table.Services)}, nil
}

func (o *Operate) applyRoutes(ctx *base.Ctx, r *front.Request) (any, error) {
	var document json.RawMessage
	based := -1.0
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"based_on": base.NumberField(&based, 0, 1<<52, true), "document": raw(&document)}); err != nil {
		return nil, err
	}
	switch {
	case based < 0:
		return nil, base.DeclineField("based_on", "must be given")
	case document == nil:
		return nil, base.DeclineField("document", "must be given")
	}
	table, err := o.readTable(document)
	if err != nil {
		return nil, err
	}
	change, err := route.NewChange(uint64(based), table, document)
	if err != nil {
		return nil, err
	}
	if err := route.SubmitChange(ctx, o.Register, change); err != nil {
		return nil, err
	}
	return map[string]any{"version": table.Version}, nil
}

func (o *Operate) roster(ctx *base.Ctx) (any, error) {
	var found map[string]relay.Worker
	return &found, o.Register.Change(ctx, register.FeedGroup, "roster.read", struct{}{}, &found)
}
