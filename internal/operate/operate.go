// Package operate implements the operators' API of a core. The subcommands of the
// controller call it with JSON over HTTP.
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

// Handler serves the operators' API.
type Handler struct {
	Clock      base.Clock
	HTTPClient base.HTTPClient
	View       *membership.View
	Bounds     *base.AtomicPointer[base.Bounds]
	Register   *register.Client
	Server     *register.Server
	Counters   *base.Counters
	// FeedValues returns the latest values of the feed that this core has received.
	FeedValues func() map[string][]byte
	// ParseRoutes parses an operator's document of routes. It is nil in a deployment
	// without such routes.
	ParseRoutes func(document []byte) (*route.Table, error)
}

// Handle serves one request within the recovery bound.
func (h *Handler) Handle(ctx *base.Ctx, r *front.Request) *front.Response {
	result, err := h.dispatch(ctx.WithTimeout(h.Bounds.Load().Recovery), r)
	if err != nil {
		return front.ErrorResponse(err)
	}
	return &front.Response{Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: append(base.MustMarshal(result), '\n')}
}

// rawField reads a value of any type without decoding it.
func rawField(target *json.RawMessage) base.FieldReader {
	return func(_ string, d *jx.Decoder) error {
		value, err := d.Raw()
		*target = append(json.RawMessage(nil), value...)
		return err
	}
}

// dispatch calls the method for a request and returns the value for the body.
func (h *Handler) dispatch(ctx *base.Ctx, r *front.Request) (any, error) {
	switch r.Method + " " + r.Path {
	case "POST /v1/operator/init":
		return h.initCluster(ctx, r)
	case "GET /v1/operator/settings":
		return h.readSettings(ctx)
	case "POST /v1/operator/settings/check":
		return h.checkSettings(r.Body)
	case "POST /v1/operator/settings/apply":
		return h.applySettings(ctx, r)
	case "POST /v1/operator/settings/outcome":
		return h.settingsOutcome(ctx, r)
	case "GET /v1/operator/settings/effective":
		return h.effectiveSettings(ctx, r)
	case "GET /v1/operator/access":
		return h.getAccess(ctx)
	case "GET /v1/operator/access/check":
		return h.explainAccess(ctx, r)
	case "POST /v1/operator/access/diff":
		return h.diffAccess(ctx, r.Body)
	case "GET /v1/operator/status":
		return h.getStatus(ctx), nil
	case "POST /v1/operator/settings/diff":
		return h.diffSettings(ctx, r.Body)
	case "GET /v1/operator/workers":
		return (&worker.Client{Register: h.Register}).List(ctx)
	case "GET /v1/operator/storage":
		return h.listStorage(ctx)
	case "POST /v1/operator/storage/admit":
		return h.admitDisk(ctx, r)
	case "POST /v1/operator/storage/retire":
		return h.retireDisk(ctx, r)
	case "GET /v1/operator/routes":
		return h.getRoutes(ctx)
	case "POST /v1/operator/routes/check":
		return h.checkRoutes(r.Body)
	case "POST /v1/operator/routes/apply":
		return h.applyRoutes(ctx, r)
	case "GET /v1/operator/roster":
		return h.getRoster(ctx)
	case "POST /v1/operator/storage/empty":
		return h.retireNode(ctx, r)
	case "GET /v1/operator/storage/empty":
		return retirementState(register.GetRetirement(ctx, h.Register, r.Query["node"]))
	case "POST /v1/operator/terminate":
		return h.terminateProgram(ctx, r)
	}
	return nil, base.Decline(404, "unknown_path", "no resource exists at this path")
}

// readSettings returns the latest settings.
func (h *Handler) readSettings(ctx *base.Ctx) (*settings.Record, error) {
	var record settings.Record
	return &record, h.Register.Read(ctx, register.FeedGroup, "settings.get", struct{}{}, &record)
}

// checkSettings validates a document without applying it.
func (h *Handler) checkSettings(document []byte) (any, error) {
	if _, violations := settings.Parse(document); len(violations) > 0 {
		return nil, settings.InvalidDocument(violations)
	}
	return map[string]bool{"valid": true}, nil
}

// applySettings replaces the settings, provided that the version that the change is
// based on is still the latest. The change's id lets operators query the outcome.
func (h *Handler) applySettings(ctx *base.Ctx, r *front.Request) (any, error) {
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
	if _, err := h.checkSettings(change.Document); err != nil {
		return nil, err
	}
	change.BasedOn = uint64(basedOn)
	var outcome settings.Outcome
	if err := h.Register.Change(ctx, register.FeedGroup, "settings.apply", change, &outcome); err != nil {
		requestErr := base.ToRequestError(err)
		if requestErr.Execution == base.MayHaveRun {
			requestErr = base.Indeterminate(504, "unknown", "the outcome is unknown; query it with change %s", change.ID)
		}
		return nil, requestErr
	}
	return outcome, nil
}

// settingsOutcome returns the outcome of a change of the settings.
func (h *Handler) settingsOutcome(ctx *base.Ctx, r *front.Request) (any, error) {
	var change settings.Change
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"change": base.StringField(&change.ID, 128)}); err != nil {
		return nil, err
	}
	if change.ID == "" {
		return nil, base.DeclineField("change", "must be given")
	}
	change.Document = json.RawMessage("null")
	var outcome settings.Outcome
	return &outcome, h.Register.Change(ctx, register.FeedGroup, "settings.outcome", change, &outcome)
}

// effectiveSettings shows the values in effect for a group, site or route, and the
// level that each comes from.
func (h *Handler) effectiveSettings(ctx *base.Ctx, r *front.Request) (any, error) {
	record, err := h.readSettings(ctx)
	if err != nil {
		return nil, err
	}
	tree, violations := settings.Parse(record.Document)
	if len(violations) > 0 {
		return nil, base.Decline(404, "no_settings", "no settings have been applied")
	}
	if r.Query["group"] == "" && r.Query["site"] != "" || r.Query["site"] == "" && r.Query["route"] != "" {
		return nil, base.DeclineField("site", "a group is needed for a site, and a site for a route")
	}
	values, err := tree.Effective(r.Query["group"], r.Query["site"], r.Query["route"])
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": record.Version, "values": values}, nil
}

// MemberView is a node in the status of the fleet.
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

// StatusView is the status of the fleet as one core sees it.
type StatusView struct {
	Core           string       `json:"core"`
	OwnedShards    []uint32     `json:"slots_owned"`
	DiskSetVersion uint64       `json:"disk_set_stamp"`
	Cluster        string       `json:"cluster"`
	Members        []MemberView `json:"members"`
	// ReconcileStatus lists the ongoing changes of the disk set. Only the leader of
	// shard 0 knows all of them; other cores list only the disks being filled.
	ReconcileStatus []string         `json:"mending"`
	Counters        map[string]int64 `json:"counters"`
	// Access is the state of the access rules, if there are any.
	Access *AccessState `json:"access,omitempty"`
	// Problems lists what an operator should look at; empty if there is nothing.
	Problems []string `json:"unwell"`
}

// getStatus shows the status of the fleet.
func (h *Handler) getStatus(ctx *base.Ctx) StatusView {
	shards, diskSet := h.Server.Status()
	view := StatusView{Core: h.View.SelfID(), OwnedShards: shards, DiskSetVersion: diskSet.GetStamp(), Cluster: diskSet.GetCluster(), Counters: h.Counters.Snapshot()}
	for _, role := range []string{membership.RoleGateway, membership.RoleCore, membership.RoleStorage} {
		for _, member := range h.View.Known(role) {
			_, alive := h.View.Find(member.Id)
			view.Members = append(view.Members, MemberView{member.Id, role, member.Zone, member.Addr, member.PublicAddr, alive, member.Leaving, member.Unwell})
		}
	}
	view.ReconcileStatus = append([]string{}, h.Server.ReconcileStatus()...)
	if len(view.ReconcileStatus) == 0 {
		for _, entry := range diskSet.GetDisks() {
			if entry.Learner {
				view.ReconcileStatus = append(view.ReconcileStatus, fmt.Sprintf("disk %s at %s is being filled", entry.Id, entry.Addr))
			}
		}
	}
	view.Access = h.accessStatus(ctx)
	view.Problems = h.findProblems(view.Members, diskSet)
	return view
}

// findProblems checks the nodes, the disks of the set and the leaders of shards.
func (h *Handler) findProblems(members []MemberView, set *register.DiskSet) []string {
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
		report("no disk set is known; check that init was run and that the storage nodes are up")
		return problems
	}
	var mu sync.Mutex
	answering, voting, ledShards := 0, 0, map[uint32]bool{}
	base.CallAll(h.Clock, set.Disks, h.Bounds.Load().DiskTimeout(), func(ctx *base.Ctx, entry *register.DiskEntry) {
		state, err := h.diskClient(entry.Addr).Describe(ctx, &register.DescribeRequest{})
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
			problems = append(problems, fmt.Sprintf("disk %s at %s does not answer; %s", entry.Id, entry.Addr, h.lostDiskAdvice()))
		}
	})
	base.CallAll(h.Clock, h.View.Live(membership.RoleCore), h.Bounds.Load().DiskTimeout(), func(ctx *base.Ctx, member *membership.Member) {
		reply, err := register.NewRegisterProtobufClient("http://"+member.Addr, h.HTTPClient).Census(ctx, &register.CensusRequest{Set: set})
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			for _, num := range reply.Owned {
				ledShards[num] = true
			}
		}
	})
	mu.Lock()
	defer mu.Unlock()
	switch majority := voting/2 + 1; {
	case answering < majority:
		report("%d of %d disks answer, %d must: nothing can be changed", answering, voting, majority)
	case answering == majority && voting > majority:
		report("%d of %d disks answer, %d must: no other may be lost", answering, voting, majority)
	}
	if missing := register.ShardCount - len(ledShards); missing > 0 {
		report("%d of %d slots have no owner", missing, register.ShardCount)
	}
	slices.Sort(problems)
	return problems
}

// lostDiskAdvice tells the operator what to do about a lost disk.
func (h *Handler) lostDiskAdvice() string {
	if h.Server.ReconcileEnabled() {
		return "if it is lost, start a storage machine with an empty disk; it replaces the lost one"
	}
	return "if it is lost, retire it and admit another"
}

// diffSettings shows what a document would change.
func (h *Handler) diffSettings(ctx *base.Ctx, document []byte) (any, error) {
	if _, err := h.checkSettings(document); err != nil {
		return nil, err
	}
	current, err := h.readSettings(ctx)
	if err != nil {
		return nil, err
	}
	return map[string]any{"stamp": current.Version, "differences": settings.Diff(current.Document, document)}, nil
}

// terminateProgram terminates a program after draining it or immediately.
func (h *Handler) terminateProgram(ctx *base.Ctx, r *front.Request) (any, error) {
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
	terminated, err := (&budget.Client{Register: h.Register}).Terminate(ctx, program, budget.Termination(mode))
	if err != nil {
		return nil, err
	}
	return map[string]any{"program": terminated.ID, "termination": terminated.Termination}, nil
}
