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

	credentialCache sync.Map
	inFlight        atomic.Int64
}

// visitLimit bounds the requests a gateway has in hand. Admission never
// waits: one more is declined at once.
const maxInFlight = 2048

// plan is a request understood and checked: what is left is to act.
type action struct {
	run func(ctx *base.Ctx) (*Response, error)
}

// Handle answers one request.
func (h *Handler) Handle(ctx *base.Ctx, r *Request) *Response {
	h.Counters.Add("requests", 1)
	parsed, err := h.parse(r)
	if err != nil {
		h.Counters.Add("requests_declined_bad", 1)
		return ErrorResponse(err)
	}
	defer h.inFlight.Add(-1)
	if h.inFlight.Add(1) > maxInFlight {
		h.Counters.Add("requests_declined_full", 1)
		return ErrorResponse(base.Busy(429, "overloaded", 1, "this gateway has %d requests in hand", maxInFlight))
	}
	if err := h.Follower.WaitForLease(ctx); err != nil {
		return ErrorResponse(err)
	}
	if h.Settings.Load() == nil {
		return ErrorResponse(base.Busy(503, "no_settings", 2, "no settings have been applied"))
	}
	response, err := parsed.run(ctx)
	if err != nil {
		return ErrorResponse(err)
	}
	return response
}

func (h *Handler) bodyLimit() int {
	if tree := h.Settings.Load(); tree != nil {
		return tree.BodyLimit()
	}
	return 1 << 20
}

func unknownPathError() error {
	return base.Decline(404, "unknown_path", "there is nothing at this path with this method")
}

func (h *Handler) parse(r *Request) (*action, error) {
	if limit := h.bodyLimit(); len(r.Body) > limit {
		return nil, base.Decline(413, "body_too_large", "the body is larger than %d bytes", limit)
	}
	parts := strings.Split(strings.Trim(r.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "v1" {
		return nil, unknownPathError()
	}
	if parts[1] == "platform" {
		return h.parsePlatform(r, parts[2:])
	}
	if parts[1] != "programs" {
		return nil, unknownPathError()
	}
	parts = parts[2:]
	if len(parts) == 0 {
		if r.Method != "POST" {
			return nil, unknownPathError()
		}
		return h.parseCreateProgram(r)
	}
	if err := validateName("program", parts[0]); err != nil {
		return nil, err
	}
	switch r.Method + " " + pathPattern(parts[1:]) {
	case "GET ":
		return &action{func(ctx *base.Ctx) (*Response, error) { return h.getProgram(ctx, r, parts[0]) }}, nil
	case "POST terminate":
		return h.parseTerminateProgram(r, parts[0])
	case "POST sessions":
		return h.parseAcquireSession(r, parts[0])
	case "POST tools/*":
		return h.parseToolCall(r, parts[0], parts[2])
	}
	if len(parts) >= 3 && parts[1] == "sessions" {
		return h.parseSessionRequest(r, parts[0], parts[2], parts[3:])
	}
	return nil, unknownPathError()
}

// shape replaces the names in a path, which stand at odd places.
func pathPattern(parts []string) string {
	pattern := slices.Clone(parts)
	for i := 1; i < len(pattern); i += 2 {
		pattern[i] = "*"
	}
	return strings.Join(pattern, "/")
}

// newSecret gives a credential and the digest that is kept of it.
func (h *Handler) newSecret() (secret, digest string) {
	secret = base.NewID(h.Clock, "") + base.NewID(h.Clock, "")
	return secret, base.Digest([]byte(secret))
}

func (h *Handler) parseCreateProgram(r *Request) (*action, error) {
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
		if err := validateName("program", name); err != nil {
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
	return &action{func(ctx *base.Ctx) (*Response, error) { return h.createProgram(ctx, r, program, parent, deadline) }}, nil
}

func (h *Handler) createProgram(ctx *base.Ctx, r *Request, program budget.Program, parent string, deadline float64) (*Response, error) {
	if program.ID == "" {
		program.ID = base.NewID(h.Clock, "p")
	}
	program.Root = program.ID
	if parent != "" {
		if _, err := h.authorize(ctx, r, parent); err != nil {
			return nil, err
		}
		program.ID, program.Root = parent+"."+program.ID, budget.RegisterGroup(parent)
	} else if _, err := h.Settings.Load().Effective(program.Group, program.Site); err != nil {
		return nil, err
	}
	if deadline > 0 {
		program.DeadlineMs = max(1, int64(deadline*1000))
	}
	secret, digest := h.newSecret()
	program.SecretDigest = digest
	created, err := h.Budget.Create(ctx.Within(h.Bounds.Load().Recover), program)
	if err != nil {
		return nil, err
	}
	h.Counters.Add("programs_created", 1)
	view := programView(created)
	view["secret"] = secret
	return jsonResponse(201, view), nil
}

func programView(p *budget.Program) map[string]any {
	view := map[string]any{"program": p.ID, "group": p.Group, "site": p.Site, "urgency": p.Urgency, "termination": p.Termination}
	if p.Root != p.ID {
		view["parent"] = p.ID[:strings.LastIndex(p.ID, ".")]
		return view
	}
	view["budget_tokens"], view["spent_tokens"], view["reserved_tokens"] = p.Budget, p.Spent, p.Outstanding()
	view["left_tokens"] = p.Budget - p.Spent - p.Outstanding()
	if p.Deadline > 0 {
		view["deadline_s"], view["deadline_left_s"] = float64(p.DeadlineMs)/1000, float64(p.RemainingMs)/1000
	}
	return view
}

type authorizedProgram struct {
	program   *budget.Program
	checkedAt time.Duration
}

// admit checks a program's credentials. A right answer is kept for a while,
// by digest, so that not every call asks the register; a wrong one is not.
func (h *Handler) authorize(ctx *base.Ctx, r *Request, id string) (*budget.Program, error) {
	tokenDigest := bearerDigest(r)
	if cached, ok := h.credentialCache.Load(id + " " + tokenDigest); ok && h.Clock.Now()-cached.(*authorizedProgram).checkedAt < h.Bounds.Load().Recover*5/2 {
		return cached.(*authorizedProgram).program, nil
	}
	found, err := h.Budget.Get(ctx.Within(h.Bounds.Load().Recover), id)
	if err != nil {
		return nil, err
	}
	if found.SecretDigest != tokenDigest {
		return nil, base.Decline(403, "forbidden", "the credentials do not open this program")
	}
	h.credentialCache.Store(id+" "+tokenDigest, &authorizedProgram{found, h.Clock.Now()})
	return found, nil
}

// EvictExpired drops what admit kept for too long.
func (h *Handler) EvictExpired() {
	h.credentialCache.Range(func(key, cached any) bool {
		if h.Clock.Now()-cached.(*authorizedProgram).checkedAt > h.Bounds.Load().Recover*5/2 {
			h.credentialCache.Delete(key)
		}
		return true
	})
}

func (h *Handler) getProgram(ctx *base.Ctx, r *Request, id string) (*Response, error) {
	program, err := h.Budget.Get(ctx.Within(h.Bounds.Load().Recover), id)
	if err != nil {
		return nil, err
	}
	if program.SecretDigest != bearerDigest(r) {
		return nil, base.Decline(403, "forbidden", "the credentials do not open this program")
	}
	return jsonResponse(200, programView(program)), nil
}

func readTerminationMode(r *Request) (budget.Termination, error) {
	var mode string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"mode": base.Text(&mode, 16)}); err != nil {
		return "", err
	}
	if !budget.Termination(mode).Valid() {
		return "", base.DeclineField("mode", `must be "Drain" or "Immediate"`)
	}
	return budget.Termination(mode), nil
}

func (h *Handler) parseTerminateProgram(r *Request, id string) (*action, error) {
	mode, err := readTerminationMode(r)
	if err != nil {
		return nil, err
	}
	return &action{func(ctx *base.Ctx) (*Response, error) {
		if _, err := h.authorize(ctx, r, id); err != nil {
			return nil, err
		}
		program, err := h.Budget.Terminate(ctx.Within(h.Bounds.Load().Recover), id, mode)
		if err != nil {
			return nil, err
		}
		return jsonResponse(200, programView(program)), nil
	}}, nil
}

func (h *Handler) parseAcquireSession(r *Request, id string) (*action, error) {
	var route string
	var queueSize, timeout, lease float64
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"route": base.Text(&route, 128), "queue_size": base.Number(&queueSize, 1, 1<<20, true),
		"operation_timeout_s": base.Number(&timeout, 0.1, 86400, false), "lease_s": base.Number(&lease, 0.1, 86400, false),
	})
	if err != nil {
		return nil, err
	}
	if route == "" {
		return nil, base.DeclineField("route", "must be given")
	}
	return &action{func(ctx *base.Ctx) (*Response, error) {
		program, err := h.authorize(ctx, r, id)
		if err != nil {
			return nil, err
		}
		matched, err := h.Settings.Load().Route(program.Group, program.Site, route)
		if err != nil {
			return nil, err
		}
		if matched.Kind != "model" {
			return nil, base.DeclineField("route", "route %q is not for sessions", route)
		}
		if err := h.Access.Authorize(ctx, &access.Request{Scope: access.Scope{Group: program.Group, Site: program.Site, Route: route}}); err != nil {
			return nil, err
		}
		if matched.Policy != nil {
			allowed, err := matched.Policy.Admit(program.Urgency, route, h.Sessions.OwnedCount())
			if err != nil {
				h.Counters.Add("policy_faults", 1)
			}
			if !allowed {
				return nil, base.Busy(429, "not_admitted", 2, "the site's policy takes no such session now")
			}
		}
		secret, digest := h.newSecret()
		record := &session.Record{ID: id + ":" + base.NewID(h.Clock, "s"), Program: id, ProgramSecretDigest: program.SecretDigest, SecretDigest: digest,
			Group: program.Group, Site: program.Site, Route: route, Urgency: program.Urgency, LeaseMs: int64(lease * 1000)}
		record.QueueSize, record.TimeoutMs = session.EffectiveLimits(matched, int(queueSize), time.Duration(timeout*float64(time.Second)))
		acquired, err := h.Sessions.Create(ctx.Within(h.Bounds.Load().Recover), record)
		if err != nil {
			return nil, err
		}
		return jsonResponse(201, struct {
			session.Status
			Secret string `json:"secret"`
		}{session.StatusOf(acquired), secret}), nil
	}}, nil
}

func (h *Handler) parseSessionRequest(r *Request, program, id string, rest []string) (*action, error) {
	visit := &session.Request{Program: program, Session: id, Bearer: bearerDigest(r)}
	if err := validateName("session", id); err != nil {
		return nil, err
	}
	var err error
	switch r.Method + " " + pathPattern(rest) {
	case "GET ":
		visit.Kind = session.KindStatus
	case "GET turns":
		err = readTurnListing(r, visit)
	case "GET turns/*":
		visit.Kind, visit.Turn = session.KindReadTurn, rest[1]
		err = validateName("turn", visit.Turn)
	case "POST turns/*/cancel":
		visit.Kind, visit.Turn = session.KindCancelTurn, rest[1]
		err = validateName("turn", visit.Turn)
	case "POST renew":
		visit.Kind = session.KindRenewLease
	case "POST close":
		visit.Kind = session.KindClose
	case "POST terminate":
		var mode budget.Termination
		mode, err = readTerminationMode(r)
		visit.Kind = map[budget.Termination]string{budget.Drain: session.KindClose}[mode]
		if visit.Kind == "" {
			visit.Kind = session.KindTerminate
		}
	case "POST turns":
		err = readTurnRequest(r, visit)
	default:
		err = unknownPathError()
	}
	if err != nil {
		return nil, err
	}
	return &action{func(ctx *base.Ctx) (*Response, error) { return h.runVisit(ctx, visit) }}, nil
}

func (h *Handler) runVisit(ctx *base.Ctx, visit *session.Request) (*Response, error) {
	visit.ID = base.NewID(h.Clock, "v")
	clientNamed := visit.Turn != ""
	if visit.Kind == session.KindSubmitTurn && !clientNamed {
		visit.Turn = base.NewID(h.Clock, "t")
	}
	if err := h.checkModelAccess(ctx, visit, clientNamed); err != nil {
		return nil, err
	}
	reply, err := h.Sessions.Handle(ctx.Within(2*h.Bounds.Load().Recover), visit)
	if err != nil {
		return nil, err
	}
	if reply.Stream != nil {
		if refused := reply.Stream.EarlyFailure(h.Bounds.Load().Call()); refused != nil {
			return nil, refused
		}
		header := map[string]string{"Content-Type": "text/event-stream", "Cache-Control": "no-store", "Turn-Id": visit.Turn}
		return &Response{Status: 200, Header: header, Stream: reply.Stream}, nil
	}
	if page, ok := listingPage(visit, reply.Body); ok {
		return jsonResponse(200, page), nil
	}
	return jsonResponse(reply.Status, reply.Body), nil
}

func readTurnListing(r *Request, visit *session.Request) (err error) {
	visit.Kind = session.KindListTurns
	for _, name := range base.SortedKeys(r.Query) {
		if name != "limit" && name != "cursor" {
			return base.DeclineField(name, "unknown query parameter")
		}
	}
	if visit.Limit, err = parseLimit(r.Query["limit"]); err != nil {
		return err
	}
	visit.After, err = decodeCursor(visit.Session, r.Query["cursor"])
	return err
}

func readTurnRequest(r *Request, visit *session.Request) error {
	visit.Kind, visit.Turn, visit.Previous = session.KindSubmitTurn, r.Header["turn-id"], r.Header["previous-turn"]
	for name, value := range map[string]string{"Turn-Id": visit.Turn, "Previous-Turn": visit.Previous} {
		if value != "" {
			if err := validateName(name, value); err != nil {
				return err
			}
		}
	}
	if lastEventID := r.Header["last-event-id"]; lastEventID != "" {
		leg, number, ok := strings.Cut(lastEventID, "#")
		position, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil {
			return base.DeclineField("Last-Event-ID", "not an event id of this turn")
		}
		visit.LastAttempt, visit.LastPiece = leg, position
	}
	var maxTokens float64
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"messages": readMessages(&visit.Messages), "max_output_tokens": base.Number(&maxTokens, 1, 1<<20, true),
	}); err != nil {
		return err
	}
	if visit.Messages == nil {
		return base.DeclineField("messages", "must be given")
	}
	visit.MaxTokens = int64(maxTokens)
	return nil
}
