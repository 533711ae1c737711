// Package operate is the operators' interface on a core, spoken to by the
// controller's subcommands over HTTP and JSON.
package operate

import (
	"encoding/json"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/front"
	"fordseam/internal/membership"
	"fordseam/internal/register"
	"fordseam/internal/settings"
	"fordseam/internal/worker"

	"github.com/go-faster/jx"
)

// Operate answers operators.
type Operate struct {
	Clock    base.Clock
	Wire     base.Wire
	View     *membership.View
	Bounds   *base.Table[base.Bounds]
	Register *register.Client
	Owner    *register.Owner
	Counters *base.Counters
}

// Handle answers one request.
func (o *Operate) Handle(ctx *base.Ctx, r *front.Request) *front.Response {
	body, err := o.answer(ctx.Within(o.Bounds.Load().Recover), r)
	if err != nil {
		return front.Failure(err)
	}
	return &front.Response{Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: append(base.Encode(body), '\n')}
}

func raw(into *json.RawMessage) base.FieldReader {
	return func(_ string, d *jx.Decoder) error {
		value, err := d.Raw()
		*into = append(json.RawMessage(nil), value...)
		return err
	}
}

func (o *Operate) answer(ctx *base.Ctx, r *front.Request) (any, error) {
	switch r.Method + " " + r.Path {
	case "POST /v1/operator/init":
		return o.init(ctx, r)
	case "GET /v1/operator/settings":
		return o.settings(ctx)
	case "POST /v1/operator/settings/check":
		return o.check(r.Body)
	case "POST /v1/operator/settings/apply":
		return o.apply(ctx, r)
	case "POST /v1/operator/settings/outcome":
		return o.outcome(ctx, r)
	case "GET /v1/operator/settings/effective":
		return o.effective(ctx, r)
	case "GET /v1/operator/status":
		return o.status(), nil
	case "GET /v1/operator/workers":
		return (&worker.Client{Register: o.Register}).List(ctx)
	case "GET /v1/operator/storage":
		return o.storage(ctx)
	case "POST /v1/operator/storage/admit":
		return o.admit(ctx, r)
	case "POST /v1/operator/storage/retire":
		return o.retire(ctx, r)
	case "POST /v1/operator/terminate":
		return o.terminate(ctx, r)
	}
	return nil, base.Decline(404, "unknown_path", "there is nothing at this path")
}

func (o *Operate) settings(ctx *base.Ctx) (*settings.Record, error) {
	var record settings.Record
	return &record, o.Register.Change(ctx, register.FeedGroup, "settings.get", struct{}{}, &record)
}

func (o *Operate) check(document []byte) (any, error) {
	if _, faults := settings.Read(document); len(faults) > 0 {
		return nil, settings.FaultVerdict(faults)
	}
	return map[string]bool{"valid": true}, nil
}

func (o *Operate) apply(ctx *base.Ctx, r *front.Request) (any, error) {
	var change settings.Change
	stamp := -1.0
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"change": base.Text(&change.ID, 128), "based_on": base.Number(&stamp, 0, 1<<52, true), "document": raw(&change.Document)})
	if err != nil {
		return nil, err
	}
	switch {
	case change.ID == "" || strings.ContainsAny(change.ID, "/ "):
		return nil, base.DeclineField("change", "must be a name without slash or space")
	case stamp < 0:
		return nil, base.DeclineField("based_on", "must be given")
	case change.Document == nil:
		return nil, base.DeclineField("document", "must be given")
	}
	if _, err := o.check(change.Document); err != nil {
		return nil, err
	}
	change.BasedOn = uint64(stamp)
	var outcome settings.Outcome
	if err := o.Register.Change(ctx, register.FeedGroup, "settings.apply", change, &outcome); err != nil {
		v := base.FromWire(err)
		if v.Ran == base.MayHaveRun {
			v = base.Unsure(504, "unknown", "the outcome is not known; ask again with change %s", change.ID)
		}
		return nil, v
	}
	return outcome, nil
}

func (o *Operate) outcome(ctx *base.Ctx, r *front.Request) (any, error) {
	var change settings.Change
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"change": base.Text(&change.ID, 128)}); err != nil {
		return nil, err
	}
	if change.ID == "" {
		return nil, base.DeclineField("change", "must be given")
	}
	change.Document = json.RawMessage("null")
	var outcome settings.Outcome
	return &outcome, o.Register.Change(ctx, register.FeedGroup, "settings.outcome", change, &outcome)
}

func (o *Operate) effective(ctx *base.Ctx, r *front.Request) (any, error) {
	record, err := o.settings(ctx)
	if err != nil {
		return nil, err
	}
	tree, faults := settings.Read(record.Document)
	if len(faults) > 0 {
		return nil, base.Decline(404, "no_settings", "no settings have been applied")
	}
	if r.Query["group"] == "" && r.Query["site"] != "" || r.Query["site"] == "" && r.Query["route"] != "" {
		return nil, base.DeclineField("site", "a level needs the levels above it")
	}
	origins, err := tree.Effective(r.Query["group"], r.Query["site"], r.Query["route"])
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Stamp, "values": origins}, nil
}

// MemberView is a node in the status.
type MemberView struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Addr    string `json:"addr"`
	Public  string `json:"public,omitempty"`
	Alive   bool   `json:"alive"`
	Leaving bool   `json:"leaving,omitempty"`
}

// StatusView is a core's view of the fleet.
type StatusView struct {
	Core     string           `json:"core"`
	Slots    []uint32         `json:"slots_owned"`
	SetStamp uint64           `json:"disk_set_stamp"`
	Cluster  string           `json:"cluster"`
	Members  []MemberView     `json:"members"`
	Counters map[string]int64 `json:"counters"`
}

func (o *Operate) status() StatusView {
	owned, set := o.Owner.Frame()
	shown := StatusView{Core: o.View.Me(), Slots: owned, SetStamp: set.GetStamp(), Cluster: set.GetCluster(), Counters: o.Counters.Frame()}
	for _, role := range []string{membership.RoleEdge, membership.RoleCore, membership.RoleStorage} {
		for _, member := range o.View.Known(role) {
			_, alive := o.View.Find(member.Id)
			shown.Members = append(shown.Members, MemberView{member.Id, role, member.Zone, member.Addr, member.PublicAddr, alive, member.Leaving})
		}
	}
	return shown
}

func (o *Operate) terminate(ctx *base.Ctx, r *front.Request) (any, error) {
	var program, mode string
	err := base.ReadFields(r.Body, map[string]base.FieldReader{"program": base.Text(&program, 128), "mode": base.Text(&mode, 16)})
	if err != nil {
		return nil, err
	}
	if program == "" {
		return nil, base.DeclineField("program", "must be given")
	}
	if !budget.Termination(mode).Known() {
		return nil, base.DeclineField("mode", `must be "Drain" or "Immediate"`)
	}
	ended, err := (&budget.Client{Register: o.Register}).Terminate(ctx, program, budget.Termination(mode))
	if err != nil {
		return nil, err
	}
	return map[string]any{"program": ended.ID, "termination": ended.Termination}, nil
}
