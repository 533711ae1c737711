// Package operate is the operators' interface on a core, spoken to by the
// controller's subcommands over HTTP and JSON.
package operate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/front"
	"fordseam/internal/membership"
	"fordseam/internal/register"
	"fordseam/internal/route"
	"fordseam/internal/settings"
	"fordseam/internal/worker"

	"github.com/go-faster/jx"
)

// Handler answers operators.
type Handler struct {
	Clock      base.Clock
	HTTPClient base.HTTPClient
	View       *membership.View
	Bounds     *base.AtomicPointer[base.Bounds]
	Register   *register.Client
	Server     *register.Server
	Counters   *base.Counters
	// FeedValues is the newest that this core has heard of the feed.
	FeedValues func() map[string][]byte
	// ParseRoutes reads an operator's document of routes; nil where there are none.
	ParseRoutes func(written []byte) (*route.Table, error)
}

// Handle answers one request.
func (o *Handler) Handle(ctx *base.Ctx, r *front.Request) *front.Response {
	body, err := o.dispatch(ctx.WithTimeout(o.Bounds.Load().Recovery), r)
	if err != nil {
		return front.ErrorResponse(err)
	}
	return &front.Response{Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: append(base.MustMarshal(body), '\n')}
}

func rawField(target *json.RawMessage) base.FieldReader {
	return func(_ string, d *jx.Decoder) error {
		value, err := d.Raw()
		*target = append(json.RawMessage(nil), value...)
		return err
	}
}

func (o *Handler) dispatch(ctx *base.Ctx, r *front.Request) (any, error) {
	switch r.Method + " " + r.Path {
	case "POST /v1/operator/init":
		return o.initCluster(ctx, r)
	case "GET /v1/operator/settings":
		return o.readSettings(ctx)
	case "POST /v1/operator/settings/check":
		return o.checkSettings(r.Body)
	case "POST /v1/operator/settings/apply":
		return o.applySettings(ctx, r)
	case "POST /v1/operator/settings/outcome":
		return o.settingsOutcome(ctx, r)
	case "GET /v1/operator/settings/effective":
		return o.effectiveSettings(ctx, r)
	case "GET /v1/operator/access":
		return o.getAccess(ctx)
	case "GET /v1/operator/access/check":
		return o.explainAccess(ctx, r)
	case "POST /v1/operator/access/diff":
		return o.diffAccess(ctx, r.Body)
	case "GET /v1/operator/status":
		return o.getStatus(ctx), nil
	case "POST /v1/operator/settings/diff":
		return o.diffSettings(ctx, r.Body)
	case "GET /v1/operator/workers":
		return (&worker.Client{Register: o.Register}).List(ctx)
	case "GET /v1/operator/storage":
		return o.listStorage(ctx)
	case "POST /v1/operator/storage/admit":
		return o.admitDisk(ctx, r)
	case "POST /v1/operator/storage/retire":
		return o.retireDisk(ctx, r)
	case "GET /v1/operator/routes":
		return o.getRoutes(ctx)
	case "POST /v1/operator/routes/check":
		return o.checkRoutes(r.Body)
	case "POST /v1/operator/routes/apply":
		return o.applyRoutes(ctx, r)
	case "GET /v1/operator/roster":
		return o.getRoster(ctx)
	case "POST /v1/operator/storage/empty":
		return o.retireNode(ctx, r)
	case "GET /v1/operator/storage/empty":
		return retirementState(register.GetRetirement(ctx, o.Register, r.Query["node"]))
	case "POST /v1/operator/terminate":
		return o.terminateProgram(ctx, r)
	}
	return nil, base.Decline(404, "unknown_path", "there is nothing at this path")
}

func (o *Handler) readSettings(ctx *base.Ctx) (*settings.Record, error) {
	var record settings.Record
	return &record, o.Register.Read(ctx, register.FeedGroup, "settings.get", struct{}{}, &record)
}

func (o *Handler) checkSettings(document []byte) (any, error) {
	if _, violations := settings.Parse(document); len(violations) > 0 {
		return nil, settings.InvalidDocument(violations)
	}
	return map[string]bool{"valid": true}, nil
}

func (o *Handler) applySettings(ctx *base.Ctx, r *front.Request) (any, error) {
	var change settings.Change
	basedOn := -1.0
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"change": base.StringField(&change.ID, 128), "based_on": base.NumberField(&basedOn, 0, 1<<52, true), "document": rawField(&change.Document)})
	if err != nil {
		return nil, err
	}
	switch {
	case change.ID == "" || strings.ContainsAny(change.ID, "/ "):
		return nil, base.DeclineField("change", "must be a name without slash or space")
	case basedOn < 0:
		return nil, base.DeclineField("based_on", "must be given")
	case change.Document == nil:
		return nil, base.DeclineField("document", "must be given")
	}
	if _, err := o.checkSettings(change.Document); err != nil {
		return nil, err
	}
	change.BasedOn = uint64(basedOn)
	var outcome settings.Outcome
	if err := o.Register.Change(ctx, register.FeedGroup, "settings.apply", change, &outcome); err != nil {
		v := base.ToRequestError(err)
		if v.Execution == base.MayHaveRun {
			v = base.Indeterminate(504, "unknown", "the outcome is not known; ask again with change %s", change.ID)
		}
		return nil, v
	}
	return outcome, nil
}

func (o *Handler) settingsOutcome(ctx *base.Ctx, r *front.Request) (any, error) {
	var change settings.Change
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"change": base.StringField(&change.ID, 128)}); err != nil {
		return nil, err
	}
	if change.ID == "" {
		return nil, base.DeclineField("change", "must be given")
	}
	change.Document = json.RawMessage("null")
	var outcome settings.Outcome
	return &outcome, o.Register.Change(ctx, register.FeedGroup, "settings.outcome", change, &outcome)
}

func (o *Handler) effectiveSettings(ctx *base.Ctx, r *front.Request) (any, error) {
	record, err := o.readSettings(ctx)
	if err != nil {
		return nil, err
	}
	tree, violations := settings.Parse(record.Document)
	if len(violations) > 0 {
		return nil, base.Decline(404, "no_settings", "no settings have been applied")
	}
	if r.Query["group"] == "" && r.Query["site"] != "" || r.Query["site"] == "" && r.Query["route"] != "" {
		return nil, base.DeclineField("site", "a level needs the levels above it")
	}
	values, err := tree.Effective(r.Query["group"], r.Query["site"], r.Query["route"])
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "values": values}, nil
}

// MemberView is a node in the status.
type MemberView struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Zone           string `json:"zone"`
	Addr           string `json:"addr"`
	Public         string `json:"public,omitempty"`
	Alive          bool   `json:"alive"`
	Leaving        bool   `json:"leaving,omitempty"`
	NotReadyReason string `json:"unwell,omitempty"`
}

// StatusView is a core's view of the fleet.
type StatusView struct {
	Core           string       `json:"core"`
	OwnedShards    []uint32     `json:"slots_owned"`
	DiskSetVersion uint64       `json:"disk_set_stamp"`
	Cluster        string       `json:"cluster"`
	Members        []MemberView `json:"members"`
	// ReconcileStatus says what is being done about the disks; the core that owns slot 0
	// knows, the others see only what is being filled.
	ReconcileStatus []string         `json:"mending"`
	Counters        map[string]int64 `json:"counters"`
	// Access says who holds which settings, where teams have rules.
	Access *AccessState `json:"access,omitempty"`
	// Unwell names what needs an operator's eye; empty when all is well.
	Problems []string `json:"unwell"`
}

func (o *Handler) getStatus(ctx *base.Ctx) StatusView {
	owned, set := o.Server.Status()
	view := StatusView{Core: o.View.SelfID(), OwnedShards: owned, DiskSetVersion: set.GetStamp(), Cluster: set.GetCluster(), Counters: o.Counters.Snapshot()}
	for _, role := range []string{membership.RoleGateway, membership.RoleCore, membership.RoleStorage} {
		for _, member := range o.View.Known(role) {
			_, alive := o.View.Find(member.Id)
			view.Members = append(view.Members, MemberView{member.Id, role, member.Zone, member.Addr, member.PublicAddr, alive, member.Leaving, member.Unwell})
		}
	}
	view.ReconcileStatus = append([]string{}, o.Server.ReconcileStatus()...)
	if len(view.ReconcileStatus) == 0 {
		for _, entry := range set.GetDisks() {
			if entry.Learner {
				view.ReconcileStatus = append(view.ReconcileStatus, fmt.Sprintf("disk %s at %s is being filled", entry.Id, entry.Addr))
			}
		}
	}
	view.Access = o.accessStatus(ctx)
	view.Problems = o.findProblems(view.Members, set)
	return view
}

// findProblems looks over the machines, the disks of the set and the slots.
func (o *Handler) findProblems(members []MemberView, set *register.DiskSet) []string {
	problems := []string{}
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	for _, member := range members {
		switch {
		case !member.Alive:
			report("%s %s in %s is silent", member.Role, member.Addr, member.Zone)
		case member.Leaving:
			report("%s %s in %s is leaving", member.Role, member.Addr, member.Zone)
		case member.NotReadyReason != "":
			report("%s %s in %s is not ready: %s", member.Role, member.Addr, member.Zone, member.NotReadyReason)
		}
	}
	if set == nil {
		report("no disk set is known; was init run, and do the storage machines run?")
		return problems
	}
	var mu sync.Mutex
	answering, voting, owned := 0, 0, map[uint32]bool{}
	base.CallAll(o.Clock, set.Disks, o.Bounds.Load().DiskTimeout(), func(ctx *base.Ctx, entry *register.DiskEntry) {
		state, err := o.diskClient(entry.Addr).Describe(ctx, &register.DescribeRequest{})
		mu.Lock()
		defer mu.Unlock()
		healthy := err == nil && state.Id == entry.Id
		if !entry.Learner {
			voting++
		}
		if healthy && !entry.Learner {
			answering++
		}
		if !healthy {
			problems = append(problems, fmt.Sprintf("disk %s at %s does not answer; %s", entry.Id, entry.Addr, o.lostDiskAdvice()))
		}
	})
	base.CallAll(o.Clock, o.View.Live(membership.RoleCore), o.Bounds.Load().DiskTimeout(), func(ctx *base.Ctx, member *membership.Member) {
		reply, err := register.NewRegisterProtobufClient("http://"+member.Addr, o.HTTPClient).Census(ctx, &register.CensusRequest{Set: set})
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			for _, num := range reply.Owned {
				owned[num] = true
			}
		}
	})
	mu.Lock()
	defer mu.Unlock()
	switch need := voting/2 + 1; {
	case answering < need:
		report("%d of %d disks answer, %d must: nothing can be changed", answering, voting, need)
	case answering == need && voting > need:
		report("%d of %d disks answer, %d must: no other may be lost", answering, voting, need)
	}
	if missing := register.ShardCount - len(owned); missing > 0 {
		report("%d of %d slots have no owner", missing, register.ShardCount)
	}
	slices.Sort(problems)
	return problems
}

// lostDiskAdvice is what to do about a lost disk.
func (o *Handler) lostDiskAdvice() string {
	if o.Server.ReconcileEnabled() {
		return "if it is lost, start an empty storage machine; it takes its place"
	}
	return "if it is lost, retire it and admit another"
}

// diffSettings shows what a document would change, before it is applied.
func (o *Handler) diffSettings(ctx *base.Ctx, document []byte) (any, error) {
	if _, err := o.checkSettings(document); err != nil {
		return nil, err
	}
	current, err := o.readSettings(ctx)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": current.Version, "differences": settings.Diff(current.Document, document)}, nil
}

func (o *Handler) terminateProgram(ctx *base.Ctx, r *front.Request) (any, error) {
	var program, mode string
	err := base.ReadFields(r.Body, map[string]base.FieldReader{"program": base.StringField(&program, 128), "mode": base.StringField(&mode, 16)})
	if err != nil {
		return nil, err
	}
	if program == "" {
		return nil, base.DeclineField("program", "must be given")
	}
	if !budget.Termination(mode).Valid() {
		return nil, base.DeclineField("mode", `must be "Drain" or "Immediate"`)
	}
	terminated, err := (&budget.Client{Register: o.Register}).Terminate(ctx, program, budget.Termination(mode))
	if err != nil {
		return nil, err
	}
	return map[string]any{"program": terminated.ID, "termination": terminated.Termination}, nil
}
