// Ctx is the one context of a visit: it carries the clock, the moment by
// which the visit must end on this node's monotonic clock, and a stack of
// clean-ups run in reverse. Between nodes only the time left travels, never
// a moment, since clocks differ.

package base

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

type ctxKey struct{}

// CtxKey finds our context from a plain one made out of it.
var CtxKey any = ctxKey{}

type Ctx struct {
	context.Context
	Clock     Clock
	ExpiresAt time.Duration
}

// NewCtx starts a context that ends after limit.
func NewCtx(clock Clock, limit time.Duration) *Ctx {
	return &Ctx{Context: context.Background(), Clock: clock, ExpiresAt: clock.Now() + limit}
}

// WithTimeout narrows the context to at most limit from now.
func (c *Ctx) WithTimeout(limit time.Duration) *Ctx {
	narrowed := *c
	narrowed.ExpiresAt = min(c.ExpiresAt, c.Clock.Now()+limit)
	return &narrowed
}

func (c *Ctx) Remaining() time.Duration { return max(0, c.ExpiresAt-c.Clock.Now()) }
func (c *Ctx) Expired() bool            { return c.Remaining() == 0 }

func (c *Ctx) Value(key any) any {
	if _, ok := key.(ctxKey); ok {
		return c
	}
	return c.Context.Value(key)
}

// MessageIDHeader carries a message's id there and back between nodes: an
// answer with another id belongs to another message.
const MessageIDHeader = "Seq"

const (
	withinHeader = "Fordseam-Within-Ms"
	contentType  = "Content-Type"
	messageType  = "application/protobuf"
)

// CtxFromContext finds our context inside a plain one, or makes a short one.
func CtxFromContext(plain context.Context, clock Clock) *Ctx {
	if found, ok := plain.Value(ctxKey{}).(*Ctx); ok {
		return found
	}
	return &Ctx{Context: plain, Clock: clock, ExpiresAt: clock.Now() + 10*time.Second}
}

// SetMessageHeaders writes the time left on a message to a partner, and takes off
// the headers that say the same on every message.
func SetMessageHeaders(r *http.Request, left time.Duration) {
	for _, name := range []string{"Accept", "Twirp-Version"} {
		r.Header.Del(name)
	}
	if r.Header.Get(contentType) == messageType {
		r.Header.Del(contentType)
	}
	r.Header.Set("User-Agent", "")
	r.Header.Set(withinHeader, strconv.FormatInt(left.Milliseconds(), 10))
}

// lean is a reply that goes out without the headers every good one would have.
type lean struct{ http.ResponseWriter }

func (w lean) WriteHeader(status int) {
	w.Header()["Date"] = nil
	if status == http.StatusOK && w.Header().Get(contentType) == messageType {
		w.Header()[contentType] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

// HandleMessages wraps a handler so that its context is ours again, and its messages
// have the type that partners leave out.
func HandleMessages(clock Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := 10 * time.Second
		if ms, err := strconv.ParseInt(r.Header.Get(withinHeader), 10, 64); err == nil && ms > 0 {
			limit = time.Duration(ms) * time.Millisecond
		}
		if r.Header.Get(contentType) == "" {
			r.Header.Set(contentType, messageType)
		}
		if id := r.Header.Get(MessageIDHeader); id != "" {
			w.Header().Set(MessageIDHeader, id)
		}
		received := &Ctx{Context: r.Context(), Clock: clock, ExpiresAt: clock.Now() + limit}
		next.ServeHTTP(lean{w}, r.WithContext(received))
	})
}

// Cleanup is a stack of deferred clean-ups that can be disarmed.
type Cleanup struct{ steps []func() }

func (c *Cleanup) Push(step func()) { c.steps = append(c.steps, step) }
func (c *Cleanup) Disarm()          { c.steps = nil }
func (c *Cleanup) Run() {
	for last := len(c.steps) - 1; last >= 0; last-- {
		c.steps[last]()
	}
	c.steps = nil
}

// HTTPClient is the way to partners: one HTTP exchange. Its errors wrap NotSent
// when no byte left this node.
type HTTPClient interface {
	Do(*http.Request) (*http.Response, error)
}
