package base

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

type ctxKey struct{}

// CtxKey is the key under which Ctx.Value returns the Ctx itself, so that it can
// be found from a context derived from it.
var CtxKey any = ctxKey{}

// Ctx is the context of a request. Nodes tell each other only the time that is
// left and never a point in time, because their clocks differ.
type Ctx struct {
	context.Context
	Clock Clock
	// ExpiresAt is the deadline on this node's monotonic clock.
	ExpiresAt time.Duration
}

// NewCtx returns a context that expires after the timeout.
func NewCtx(clock Clock, timeout time.Duration) *Ctx {
	return &Ctx{Context: context.Background(), Clock: clock, ExpiresAt: clock.Now() + timeout}
}

// WithTimeout returns a copy that expires with c, or after the timeout if that
// is earlier.
func (c *Ctx) WithTimeout(timeout time.Duration) *Ctx {
	derived := *c
	derived.ExpiresAt = min(c.ExpiresAt, c.Clock.Now()+timeout)
	return &derived
}

// Remaining is the time until the deadline, 0 after it.
func (c *Ctx) Remaining() time.Duration { return max(0, c.ExpiresAt-c.Clock.Now()) }

// Expired reports whether the deadline has passed.
func (c *Ctx) Expired() bool { return c.Remaining() == 0 }

// Value implements context.Context and returns c itself for CtxKey.
func (c *Ctx) Value(key any) any {
	if _, ok := key.(ctxKey); ok {
		return c
	}
	return c.Context.Value(key)
}

// MessageIDHeader carries the id of a message between nodes. The reply repeats
// it: a reply with another id belongs to another message.
const MessageIDHeader = "Seq"

const (
	remainingHeader   = "Fordseam-Within-Ms"
	contentTypeHeader = "Content-Type"
	protobufType      = "application/protobuf"
)

// CtxFromContext returns the Ctx that a context was derived from, or a new one
// with a timeout of ten seconds.
func CtxFromContext(parent context.Context, clock Clock) *Ctx {
	if ctx, ok := parent.Value(ctxKey{}).(*Ctx); ok {
		return ctx
	}
	return &Ctx{Context: parent, Clock: clock, ExpiresAt: clock.Now() + 10*time.Second}
}

// SetMessageHeaders sets the remaining time on a message to another node and
// removes the headers that are the same on every message, to keep it small.
func SetMessageHeaders(r *http.Request, remaining time.Duration) {
	for _, name := range []string{"Accept", "Twirp-Version"} {
		r.Header.Del(name)
	}
	if r.Header.Get(contentTypeHeader) == protobufType {
		r.Header.Del(contentTypeHeader)
	}
	r.Header.Set("User-Agent", "")
	r.Header.Set(remainingHeader, strconv.FormatInt(remaining.Milliseconds(), 10))
}

// compactWriter omits the headers that are the same on every successful reply.
type compactWriter struct{ http.ResponseWriter }

func (w compactWriter) WriteHeader(status int) {
	w.Header()["Date"] = nil
	if status == http.StatusOK && w.Header().Get(contentTypeHeader) == protobufType {
		w.Header()[contentTypeHeader] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

// HandleMessages wraps the handler of messages from other nodes: it makes a Ctx
// with the sender's remaining time and restores the content type that
// SetMessageHeaders removes.
func HandleMessages(clock Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		timeout := 10 * time.Second
		if ms, err := strconv.ParseInt(r.Header.Get(remainingHeader), 10, 64); err == nil && ms > 0 {
			timeout = time.Duration(ms) * time.Millisecond
		}
		if r.Header.Get(contentTypeHeader) == "" {
			r.Header.Set(contentTypeHeader, protobufType)
		}
		if id := r.Header.Get(MessageIDHeader); id != "" {
			w.Header().Set(MessageIDHeader, id)
		}
		ctx := &Ctx{Context: r.Context(), Clock: clock, ExpiresAt: clock.Now() + timeout}
		next.ServeHTTP(compactWriter{w}, r.WithContext(ctx))
	})
}

// Cleanup is a stack of clean-up functions, run in reverse order.
type Cleanup struct{ steps []func() }

// Push adds a function.
func (c *Cleanup) Push(step func()) { c.steps = append(c.steps, step) }

// Disarm removes all functions without running them.
func (c *Cleanup) Disarm() { c.steps = nil }

// Run runs the functions, the last one first, and removes them.
func (c *Cleanup) Run() {
	for last := len(c.steps) - 1; last >= 0; last-- {
		c.steps[last]()
	}
	c.steps = nil
}

// HTTPClient sends messages to other nodes, one HTTP exchange per call. Its
// errors wrap NotSent if no byte was sent.
type HTTPClient interface {
	Do(*http.Request) (*http.Response, error)
}
