// The callers' interface: programs, sessions, turns and tool calls.

package front

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/feed"
	"fordseam/internal/session"
	"fordseam/internal/settings"
	"fordseam/internal/toolcall"
	"fordseam/internal/worker"
)

// Handler is what a gateway shows.
type Handler struct {
	Clock        base.Clock
	Bounds       *base.Table[base.Bounds]
	Counters     *base.Counters
	Follower     *feed.Follower
	Settings     *base.Table[settings.Tree]
	Budget       *budget.Client
	Sessions     *session.Manager
	Tools        *toolcall.Client
	Workers      *worker.Client
	UsageReports *worker.UsageReports
	Picker       *worker.Picker
	Backends     base.Backends
	Access       *access.Guard

	known sync.Map
	open  atomic.Int64
}

// visitLimit bounds the requests a gateway has in hand. Admission never
// waits: one more is declined at once.
const visitLimit = 2048

// plan is a request understood and checked: what is left is to act.
type plan struct {
	act func(ctx *base.Ctx) (*Response, error)
}

// Handle answers one request.
func (f *Handler) Handle(ctx *base.Ctx, r *Request) *Response {
	f.Counters.Add("requests", 1)
	made, err := f.plan(r)
	if err != nil {
		f.Counters.Add("requests_declined_bad", 1)
		return ErrorResponse(err)
	}
	defer f.open.Add(-1)
	if f.open.Add(1) > visitLimit {
		f.Counters.Add("requests_declined_full", 1)
		return ErrorResponse(base.Busy(429, "overloaded", 1, "this gateway has %d requests in hand", visitLimit))
	}
	if err := f.Follower.WaitForLease(ctx); err != nil {
		return ErrorResponse(err)
	}
	if f.Settings.Load() == nil {
		return ErrorResponse(base.Busy(503, "no_settings", 2, "no settings have been applied"))
	}
	response, err := made.act(ctx)
	if err != nil {
		return ErrorResponse(err)
	}
	return response
}

func (f *Handler) bodyLimit() int {
	if tree := f.Settings.Load(); tree != nil {
		return tree.BodyLimit()
	}
	return 1 << 20
}

func unknownPath() error {
	return base.Decline(404, "unknown_path", "there is nothing at this path with this method")
}

func (f *Handler) plan(r *Request) (*plan, error) {
	if limit := f.bodyLimit(); len(r.Body) > limit {
		return nil, base.Decline(413, "body_too_large", "the body is larger than %d bytes", limit)
	}
	parts := strings.Split(strings.Trim(r.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "v1" {
		return nil, unknownPath()
	}
	if parts[1] == "platform" {
		return f.planPlatform(r, parts[2:])
	}
	if parts[1] != "programs" {
		return nil, unknownPath()
	}
	parts = parts[2:]
	if len(parts) == 0 {
		if r.Method != "POST" {
			return nil, unknownPath()
		}
		return f.planCreate(r)
	}
	if err := checkName("program", parts[0]); err != nil {
		return nil, err
	}
	switch r.Method + " " + shape(parts[1:]) {
	case "GET ":
		return &plan{func(ctx *base.Ctx) (*Response, error) { return f.showProgram(ctx, r, parts[0]) }}, nil
	case "POST terminate":
		return f.planTerminate(r, parts[0])
	case "POST sessions":
		return f.planAcquire(r, parts[0])
	case "POST tools/*":
		return f.planTool(r, parts[0], parts[2])
	}
	if len(parts) >= 3 && parts[1] == "sessions" {
		return f.planSession(r, parts[0], parts[2], parts[3:])
	}
	return nil, unknownPath()
}

// shape replaces the names in a path, which stand at odd places.
func shape(parts []string) string {
	shaped := slices.Clone(parts)
	for place := 1; place < len(shaped); place += 2 {
		shaped[place] = "*"
	}
	return strings.Join(shaped, "/")
}

// newSecret gives a credential and the digest that is kept of it.
func (f *Handler) newSecret() (secret, digest string) {
	secret = base.NewID(f.Clock, "") + base.NewID(f.Clock, "")
	return secret, base.Digest([]byte(secret))
}

func (f *Handler) planCreate(r *Request) (*plan, error) {
	var name, group, site, parent, urgency string
	var tokens, deadline float64
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"program": base.Text(&name, 64), "group": base.Text(&group, 128), "site": base.Text(&site, 128), "parent": base.Text(&parent, 128),
		"urgency": base.Text(&urgency, 16), "budget_tokens": base.Number(&tokens, 1, 1<<40, true),
		"deadline_s": base.Number(&deadline, 0.1, 30*86400, false),
	})
	if err != nil {
		return nil, err
	}
	if name != "" {
		if err := checkName("program", name); err != nil {
			return nil, err
		}
		if strings.ContainsAny(name, ".:") {
			return nil, base.DeclineField("program", "may not hold a dot or colon")
		}
	}
	switch {
	case !worker.ValidUrgency(urgency):
		return nil, base.DeclineField("urgency", `must be "low", "normal" or "urgent"`)
	case parent != "" && (tokens != 0 || deadline != 0 || group != "" || site != ""):
		return nil, base.DeclineField("parent", "a helper has its parent's place, budget and deadline and names none")
	case parent == "" && tokens == 0:
		return nil, base.DeclineField("budget_tokens", "must be given")
	case parent == "" && group == "":
		return nil, base.DeclineField("group", "must be given")
	case parent == "" && site == "":
		return nil, base.DeclineField("site", "must be given")
	}
	program := budget.Program{ID: name, Group: group, Site: site, Budget: int64(tokens), Urgency: urgency}
	return &plan{func(ctx *base.Ctx) (*Response, error) { return f.create(ctx, r, program, parent, deadline) }}, nil
}

func (f *Handler) create(ctx *base.Ctx, r *Request, program budget.Program, parent string, deadline float64) (*Response, error) {
	if program.ID == "" {
		program.ID = base.NewID(f.Clock, "p")
	}
	program.Root = program.ID
	if parent != "" {
		if _, err := f.admit(ctx, r, parent); err != nil {
			return nil, err
		}
		program.ID, program.Root = parent+"."+program.ID, budget.RegisterGroup(parent)
	} else if _, err := f.Settings.Load().Effective(program.Group, program.Site); err != nil {
		return nil, err
	}
	if deadline > 0 {
		program.DeadlineMs = max(1, int64(deadline*1000))
	}
	secret, digest := f.newSecret()
	program.SecretDigest = digest
	made, err := f.Budget.Create(ctx.Within(f.Bounds.Load().Recover), program)
	if err != nil {
		return nil, err
	}
	f.Counters.Add("programs_created", 1)
	shown := showProgram(made)
	shown["secret"] = secret
	return answer(201, shown), nil
}

func showProgram(p *budget.Program) map[string]any {
	shown := map[string]any{"program": p.ID, "group": p.Group, "site": p.Site, "urgency": p.Urgency, "termination": p.Termination}
	if p.Root != p.ID {
		shown["parent"] = p.ID[:strings.LastIndex(p.ID, ".")]
		return shown
	}
	shown["budget_tokens"], shown["spent_tokens"], shown["reserved_tokens"] = p.Budget, p.Spent, p.Outstanding()
	shown["left_tokens"] = p.Budget - p.Spent - p.Outstanding()
	if p.Deadline > 0 {
		shown["deadline_s"], shown["deadline_left_s"] = float64(p.DeadlineMs)/1000, float64(p.RemainingMs)/1000
	}
	return shown
}

type opened struct {
	program *budget.Program
	at      time.Duration
}

// admit checks a program's credentials. A right answer is kept for a while,
// by digest, so that not every call asks the register; a wrong one is not.
func (f *Handler) admit(ctx *base.Ctx, r *Request, id string) (*budget.Program, error) {
	given := bearer(r)
	if kept, ok := f.known.Load(id + " " + given); ok && f.Clock.Now()-kept.(*opened).at < f.Bounds.Load().Recover*5/2 {
		return kept.(*opened).program, nil
	}
	found, err := f.Budget.Get(ctx.Within(f.Bounds.Load().Recover), id)
	if err != nil {
		return nil, err
	}
	if found.SecretDigest != given {
		return nil, base.Decline(403, "forbidden", "the credentials do not open this program")
	}
	f.known.Store(id+" "+given, &opened{found, f.Clock.Now()})
	return found, nil
}

// EvictExpired drops what admit kept for too long.
func (f *Handler) EvictExpired() {
	f.known.Range(func(key, kept any) bool {
		if f.Clock.Now()-kept.(*opened).at > f.Bounds.Load().Recover*5/2 {
			f.known.Delete(key)
		}
		return true
	})
}

func (f *Handler) showProgram(ctx *base.Ctx, r *Request, id string) (*Response, error) {
	program, err := f.Budget.Get(ctx.Within(f.Bounds.Load().Recover), id)
	if err != nil {
		return nil, err
	}
	if program.SecretDigest != bearer(r) {
		return nil, base.Decline(403, "forbidden", "the credentials do not open this program")
	}
	return answer(200, showProgram(program)), nil
}

func readMode(r *Request) (budget.Termination, error) {
	var mode string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"mode": base.Text(&mode, 16)}); err != nil {
		return "", err
	}
	if !budget.Termination(mode).Valid() {
		return "", base.DeclineField("mode", `must be "Drain" or "Immediate"`)
	}
	return budget.Termination(mode), nil
}

func (f *Handler) planTerminate(r *Request, id string) (*plan, error) {
	mode, err := readMode(r)
	if err != nil {
		return nil, err
	}
	return &plan{func(ctx *base.Ctx) (*Response, error) {
		if _, err := f.admit(ctx, r, id); err != nil {
			return nil, err
		}
		program, err := f.Budget.Terminate(ctx.Within(f.Bounds.Load().Recover), id, mode)
		if err != nil {
			return nil, err
		}
		return answer(200, showProgram(program)), nil
	}}, nil
}

func (f *Handler) planAcquire(r *Request, id string) (*plan, error) {
	var route string
	var queue, timeout, lease float64
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"route": base.Text(&route, 128), "queue_size": base.Number(&queue, 1, 1<<20, true),
		"operation_timeout_s": base.Number(&timeout, 0.1, 86400, false), "lease_s": base.Number(&lease, 0.1, 86400, false),
	})
	if err != nil {
		return nil, err
	}
	if route == "" {
		return nil, base.DeclineField("route", "must be given")
	}
	return &plan{func(ctx *base.Ctx) (*Response, error) {
		program, err := f.admit(ctx, r, id)
		if err != nil {
			return nil, err
		}
		matched, err := f.Settings.Load().Route(program.Group, program.Site, route)
		if err != nil {
			return nil, err
		}
		if matched.Kind != "model" {
			return nil, base.DeclineField("route", "route %q is not for sessions", route)
		}
		if err := f.Access.Authorize(ctx, &access.Request{Scope: access.Scope{Group: program.Group, Site: program.Site, Route: route}}); err != nil {
			return nil, err
		}
		if matched.Policy != nil {
			allowed, err := matched.Policy.Admit(program.Urgency, route, f.Sessions.OwnedCount())
			if err != nil {
				f.Counters.Add("policy_faults", 1)
			}
			if !allowed {
				return nil, base.Busy(429, "not_admitted", 2, "the site's policy takes no such session now")
			}
		}
		secret, digest := f.newSecret()
		record := &session.Record{ID: id + ":" + base.NewID(f.Clock, "s"), Program: id, ProgramSecretDigest: program.SecretDigest, SecretDigest: digest,
			Group: program.Group, Site: program.Site, Route: route, Urgency: program.Urgency, LeaseMs: int64(lease * 1000)}
		record.QueueSize, record.TimeoutMs = session.EffectiveLimits(matched, int(queue), time.Duration(timeout*float64(time.Second)))
		made, err := f.Sessions.Create(ctx.Within(f.Bounds.Load().Recover), record)
		if err != nil {
			return nil, err
		}
		return answer(201, struct {
			session.Status
			Secret string `json:"secret"`
		}{session.StatusOf(made), secret}), nil
	}}, nil
}

func (f *Handler) planSession(r *Request, program, id string, rest []string) (*plan, error) {
	v := &session.Request{Program: program, Session: id, Bearer: bearer(r)}
	if err := checkName("session", id); err != nil {
		return nil, err
	}
	var err error
	switch r.Method + " " + shape(rest) {
	case "GET ":
		v.Kind = session.KindStatus
	case "GET turns":
		err = readListing(r, v)
	case "GET turns/*":
		v.Kind, v.Turn = session.KindReadTurn, rest[1]
		err = checkName("turn", v.Turn)
	case "POST turns/*/cancel":
		v.Kind, v.Turn = session.KindCancelTurn, rest[1]
		err = checkName("turn", v.Turn)
	case "POST renew":
		v.Kind = session.KindRenewLease
	case "POST close":
		v.Kind = session.KindClose
	case "POST terminate":
		var mode budget.Termination
		mode, err = readMode(r)
		v.Kind = map[budget.Termination]string{budget.Drain: session.KindClose}[mode]
		if v.Kind == "" {
			v.Kind = session.KindTerminate
		}
	case "POST turns":
		err = readTurn(r, v)
	default:
		err = unknownPath()
	}
	if err != nil {
		return nil, err
	}
	return &plan{func(ctx *base.Ctx) (*Response, error) { return f.visit(ctx, v) }}, nil
}

func (f *Handler) visit(ctx *base.Ctx, v *session.Request) (*Response, error) {
	v.ID = base.NewID(f.Clock, "v")
	given := v.Turn != ""
	if v.Kind == session.KindSubmitTurn && !given {
		v.Turn = base.NewID(f.Clock, "t")
	}
	if err := f.allowed(ctx, v, given); err != nil {
		return nil, err
	}
	reply, err := f.Sessions.Handle(ctx.Within(2*f.Bounds.Load().Recover), v)
	if err != nil {
		return nil, err
	}
	if reply.Stream != nil {
		if refused := reply.Stream.EarlyFailure(f.Bounds.Load().Call()); refused != nil {
			return nil, refused
		}
		header := map[string]string{"Content-Type": "text/event-stream", "Cache-Control": "no-store", "Turn-Id": v.Turn}
		return &Response{Status: 200, Header: header, Stream: reply.Stream}, nil
	}
	if page, ok := showPage(v, reply.Body); ok {
		return answer(200, page), nil
	}
	return answer(reply.Status, reply.Body), nil
}

func readListing(r *Request, v *session.Request) (err error) {
	v.Kind = session.KindListTurns
	for _, name := range base.SortedKeys(r.Query) {
		if name != "limit" && name != "cursor" {
			return base.DeclineField(name, "unknown query parameter")
		}
	}
	if v.Limit, err = readLimit(r.Query["limit"]); err != nil {
		return err
	}
	v.After, err = readCursor(v.Session, r.Query["cursor"])
	return err
}

func readTurn(r *Request, v *session.Request) error {
	v.Kind, v.Turn, v.Previous = session.KindSubmitTurn, r.Header["turn-id"], r.Header["previous-turn"]
	for name, given := range map[string]string{"Turn-Id": v.Turn, "Previous-Turn": v.Previous} {
		if given != "" {
			if err := checkName(name, given); err != nil {
				return err
			}
		}
	}
	if last := r.Header["last-event-id"]; last != "" {
		leg, place, ok := strings.Cut(last, "#")
		at, err := strconv.ParseUint(place, 10, 64)
		if !ok || err != nil {
			return base.DeclineField("Last-Event-ID", "not an event id of this turn")
		}
		v.LastAttempt, v.LastPiece = leg, at
	}
	var most float64
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"messages": messages(&v.Messages), "max_output_tokens": base.Number(&most, 1, 1<<20, true),
	}); err != nil {
		return err
	}
	if v.Messages == nil {
		return base.DeclineField("messages", "must be given")
	}
	v.MaxTokens = int64(most)
	return nil
}
