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
	"fordseam/internal/memory"
	"fordseam/internal/session"
	"fordseam/internal/settings"
	"fordseam/internal/toolcall"
	"fordseam/internal/worker"
)

// Handler serves the HTTP API of a gateway: programs, sessions, turns and tool calls
// for callers (front.go, access.go, tool.go), and the worker list and usage reports
// for the platform (platform.go).
type Handler struct {
	Clock        base.Clock
	Bounds       *base.AtomicPointer[base.Bounds]
	Counters     *base.Counters
	Follower     *feed.Follower
	Settings     *base.AtomicPointer[settings.Tree]
	Budget       *budget.Client
	Sessions     *session.Manager
	Tools        *toolcall.Client
	Workers      *worker.Client
	UsageReports *worker.UsageReports
	Picker       *worker.Picker
	Backends     base.BackendClient
	Access       *access.Guard
	// Memory is what answers of workers count to; nil sets no bound.
	Memory *memory.Budget

	credentialCache sync.Map
	inFlight        atomic.Int64
}

// maxInFlight is the number of requests that a gateway handles at the same time.
// Admission never waits: a request above the limit is declined at once.
const maxInFlight = 2048

// action carries out a request that has been parsed and validated.
type action struct {
	run func(ctx *base.Ctx) (*Response, error)
}

// Handle parses, validates and carries out one request.
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
		return ErrorResponse(base.Busy(429, "overloaded", 1, "this gateway already handles %d requests", maxInFlight))
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

// bodyLimit returns the largest request body accepted, in bytes.
func (h *Handler) bodyLimit() int {
	if tree := h.Settings.Load(); tree != nil {
		return tree.BodyLimit()
	}
	return 1 << 20
}

// unknownPathError is the error of a request to a path and method without an endpoint.
func unknownPathError() error {
	return base.Decline(404, "unknown_path", "no endpoint has this path and method")
}

// parse finds the endpoint of a request and validates the request without side
// effects.
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
		return h.parseCreateSession(r, parts[0])
	case "POST tools/*":
		return h.parseToolCall(r, parts[0], parts[2])
	}
	if len(parts) >= 3 && parts[1] == "sessions" {
		return h.parseSessionRequest(r, parts[0], parts[2], parts[3:])
	}
	return nil, unknownPathError()
}

// pathPattern replaces every second path segment, which is a name, by "*".
func pathPattern(parts []string) string {
	pattern := slices.Clone(parts)
	for i := 1; i < len(pattern); i += 2 {
		pattern[i] = "*"
	}
	return strings.Join(pattern, "/")
}

// newSecret returns a new credential and the digest under which it is stored.
func (h *Handler) newSecret() (secret, digest string) {
	secret = base.NewID(h.Clock, "") + base.NewID(h.Clock, "")
	return secret, base.Digest([]byte(secret))
}

func (h *Handler) parseCreateProgram(r *Request) (*action, error) {
	var name, group, site, parent, urgency string
	var tokens, deadline float64
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"program": base.StringField(&name, 64), "group": base.StringField(&group, 128), "site": base.StringField(&site, 128), "parent": base.StringField(&parent, 128),
		"urgency": base.StringField(&urgency, 16), "budget_tokens": base.NumberField(&tokens, 1, 1<<40, true),
		"deadline_s": base.NumberField(&deadline, 0.1, 30*86400, false),
	})
	if err != nil {
		return nil, err
	}
	if name != "" {
		if err := validateName("program", name); err != nil {
			return nil, err
		}
		if strings.ContainsAny(name, ".:") {
			return nil, base.DeclineField("program", "must not contain a dot or colon")
		}
	}
	switch {
	case !worker.ValidUrgency(urgency):
		return nil, base.DeclineField("urgency", `must be "low", "normal" or "urgent"`)
	case parent != "" && (tokens != 0 || deadline != 0 || group != "" || site != ""):
		return nil, base.DeclineField("parent", "a program with a parent inherits its group, site, budget and deadline and must not set them")
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
	created, err := h.Budget.Create(ctx.WithTimeout(h.Bounds.Load().Recovery), program)
	if err != nil {
		return nil, err
	}
	h.Counters.Add("programs_created", 1)
	view := programView(created)
	view["secret"] = secret
	return jsonResponse(201, view), nil
}

// programView is the JSON representation of a program.
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

// authorizedProgram is a cached result of a successful check of credentials.
type authorizedProgram struct {
	program   *budget.Program
	checkedAt time.Duration
}

// authorize checks a program's credentials. A successful check is cached by digest
// for a while, so that not every call reads the register; a failed one is not.
func (h *Handler) authorize(ctx *base.Ctx, r *Request, id string) (*budget.Program, error) {
	tokenDigest := bearerDigest(r)
	if cached, ok := h.credentialCache.Load(id + " " + tokenDigest); ok && h.Clock.Now()-cached.(*authorizedProgram).checkedAt < h.Bounds.Load().Recovery*5/2 {
		return cached.(*authorizedProgram).program, nil
	}
	program, err := h.Budget.Get(ctx.WithTimeout(h.Bounds.Load().Recovery), id)
	if err != nil {
		return nil, err
	}
	if program.SecretDigest != tokenDigest {
		return nil, base.Decline(403, "forbidden", "the credentials are not valid for program %q", id)
	}
	h.credentialCache.Store(id+" "+tokenDigest, &authorizedProgram{program, h.Clock.Now()})
	return program, nil
}

// EvictExpired removes expired entries from the cache of authorize.
func (h *Handler) EvictExpired() {
	h.credentialCache.Range(func(key, cached any) bool {
		if h.Clock.Now()-cached.(*authorizedProgram).checkedAt > h.Bounds.Load().Recovery*5/2 {
			h.credentialCache.Delete(key)
		}
		return true
	})
}

// getProgram returns a program's state, for which it always reads the register.
func (h *Handler) getProgram(ctx *base.Ctx, r *Request, id string) (*Response, error) {
	program, err := h.Budget.Get(ctx.WithTimeout(h.Bounds.Load().Recovery), id)
	if err != nil {
		return nil, err
	}
	if program.SecretDigest != bearerDigest(r) {
		return nil, base.Decline(403, "forbidden", "the credentials are not valid for program %q", id)
	}
	return jsonResponse(200, programView(program)), nil
}

func readTerminationMode(r *Request) (budget.Termination, error) {
	var mode string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"mode": base.StringField(&mode, 16)}); err != nil {
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
		program, err := h.Budget.Terminate(ctx.WithTimeout(h.Bounds.Load().Recovery), id, mode)
		if err != nil {
			return nil, err
		}
		return jsonResponse(200, programView(program)), nil
	}}, nil
}

func (h *Handler) parseCreateSession(r *Request, id string) (*action, error) {
	var route string
	var queueSize, timeout, lease float64
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"route": base.StringField(&route, 128), "queue_size": base.NumberField(&queueSize, 1, 1<<20, true),
		"operation_timeout_s": base.NumberField(&timeout, 0.1, 86400, false), "lease_s": base.NumberField(&lease, 0.1, 86400, false),
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
			return nil, base.DeclineField("route", "route %q does not accept sessions", route)
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
				return nil, base.Busy(429, "not_admitted", 2, "the site's policy does not admit this session now")
			}
		}
		secret, digest := h.newSecret()
		record := &session.Record{ID: id + ":" + base.NewID(h.Clock, "s"), Program: id, ProgramSecretDigest: program.SecretDigest, SecretDigest: digest,
			Group: program.Group, Site: program.Site, Route: route, Urgency: program.Urgency, LeaseMs: int64(lease * 1000)}
		record.QueueSize, record.TimeoutMs = session.EffectiveLimits(matched, int(queueSize), time.Duration(timeout*float64(time.Second)))
		created, err := h.Sessions.Create(ctx.WithTimeout(h.Bounds.Load().Recovery), record)
		if err != nil {
			return nil, err
		}
		return jsonResponse(201, struct {
			session.Status
			Secret string `json:"secret"`
		}{session.StatusOf(created), secret}), nil
	}}, nil
}

// parseSessionRequest parses a request to a session; parts is its path below the
// session.
func (h *Handler) parseSessionRequest(r *Request, program, id string, parts []string) (*action, error) {
	request := &session.Request{Program: program, Session: id, Bearer: bearerDigest(r)}
	if err := validateName("session", id); err != nil {
		return nil, err
	}
	var err error
	switch r.Method + " " + pathPattern(parts) {
	case "GET ":
		request.Kind = session.KindStatus
	case "GET turns":
		err = readTurnListing(r, request)
	case "GET turns/*":
		request.Kind, request.Turn = session.KindReadTurn, parts[1]
		err = validateName("turn", request.Turn)
	case "POST turns/*/cancel":
		request.Kind, request.Turn = session.KindCancelTurn, parts[1]
		err = validateName("turn", request.Turn)
	case "POST renew":
		request.Kind = session.KindRenewLease
	case "POST close":
		request.Kind = session.KindClose
	case "POST terminate":
		var mode budget.Termination
		mode, err = readTerminationMode(r)
		request.Kind = map[budget.Termination]string{budget.Drain: session.KindClose}[mode]
		if request.Kind == "" {
			request.Kind = session.KindTerminate
		}
	case "POST turns":
		err = readTurnRequest(r, request)
	default:
		err = unknownPathError()
	}
	if err != nil {
		return nil, err
	}
	return &action{func(ctx *base.Ctx) (*Response, error) { return h.runSessionRequest(ctx, request) }}, nil
}

// runSessionRequest passes a request to the session's owner, which may be another
// gateway.
func (h *Handler) runSessionRequest(ctx *base.Ctx, request *session.Request) (*Response, error) {
	request.ID = base.NewID(h.Clock, "v")
	clientNamed := request.Turn != ""
	if request.Kind == session.KindSubmitTurn && !clientNamed {
		request.Turn = base.NewID(h.Clock, "t")
	}
	if err := h.checkModelAccess(ctx, request, clientNamed); err != nil {
		return nil, err
	}
	reply, err := h.Sessions.Handle(ctx.WithTimeout(2*h.Bounds.Load().Recovery), request)
	if err != nil {
		return nil, err
	}
	if reply.Stream != nil {
		if refused := reply.Stream.EarlyFailure(h.Bounds.Load().CoreCallTimeout()); refused != nil {
			return nil, refused
		}
		header := map[string]string{"Content-Type": "text/event-stream", "Cache-Control": "no-store", "Turn-Id": request.Turn}
		return &Response{Status: 200, Header: header, Stream: reply.Stream}, nil
	}
	if page, ok := listingPage(request, reply.Body); ok {
		return jsonResponse(200, page), nil
	}
	return jsonResponse(reply.Status, reply.Body), nil
}

func readTurnListing(r *Request, request *session.Request) (err error) {
	request.Kind = session.KindListTurns
	for _, name := range base.SortedKeys(r.Query) {
		if name != "limit" && name != "cursor" {
			return base.DeclineField(name, "unknown query parameter")
		}
	}
	if request.Limit, err = parseLimit(r.Query["limit"]); err != nil {
		return err
	}
	request.After, err = decodeCursor(request.Session, r.Query["cursor"])
	return err
}

func readTurnRequest(r *Request, request *session.Request) error {
	request.Kind, request.Turn, request.Previous = session.KindSubmitTurn, r.Header["turn-id"], r.Header["previous-turn"]
	for name, value := range map[string]string{"Turn-Id": request.Turn, "Previous-Turn": request.Previous} {
		if value != "" {
			if err := validateName(name, value); err != nil {
				return err
			}
		}
	}
	if lastEventID := r.Header["last-event-id"]; lastEventID != "" {
		attempt, pieceText, ok := strings.Cut(lastEventID, "#")
		piece, err := strconv.ParseUint(pieceText, 10, 64)
		if !ok || err != nil {
			return base.DeclineField("Last-Event-ID", "not a valid event id of this turn")
		}
		request.LastAttempt, request.LastPiece = attempt, piece
	}
	var maxTokens float64
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"messages": readMessages(&request.Messages), "max_output_tokens": base.NumberField(&maxTokens, 1, 1<<20, true),
	}); err != nil {
		return err
	}
	if request.Messages == nil {
		return base.DeclineField("messages", "must be given")
	}
	request.MaxTokens = int64(maxTokens)
	return nil
}
