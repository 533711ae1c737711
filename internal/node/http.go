package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/clientconn"
	"fordseam/internal/front"
	"fordseam/internal/memory"
	"fordseam/internal/route"
	"fordseam/internal/session"

	"github.com/valyala/fasthttp"
)

const maxBodyBytes = 16 << 20

// Handler answers public requests.
type Handler func(ctx *base.Ctx, r *front.Request) *front.Response

// PublicServer is the HTTP server of the public address.
type PublicServer struct {
	server *fasthttp.Server
	conns  *clientconn.Tracker
	ready  func() error
}

// NewPublicServer returns a server that passes requests to the handler and serves
// /healthz, /readyz and /counters itself. It keeps at most maxConns connections; 0 sets no
// bound.
func NewPublicServer(env Env, maxConns int, ready func() error, handler Handler) *PublicServer {
	p := &PublicServer{ready: ready}
	clock, counters := env.Clock, env.Counters
	p.server = &fasthttp.Server{
		Name: "fordseam", MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true, ReadTimeout: 60 * time.Second, IdleTimeout: 60 * time.Second,
		NoDefaultServerHeader: true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			requestErr := base.Decline(400, "bad_request", "the request could not be read")
			if errors.Is(err, fasthttp.ErrBodyTooLarge) {
				requestErr = base.Decline(413, "body_too_large", "the body is larger than %d bytes", maxBodyBytes)
			}
			writeResponse(ctx, front.ErrorResponse(requestErr))
		},
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch path := string(ctx.Path()); path {
			case "/healthz":
				ctx.SetBodyString("ok\n")
			case "/readyz":
				if err := ready(); err != nil {
					writeResponse(ctx, front.ErrorResponse(err))
					return
				}
				ctx.SetBodyString("ready\n")
			case "/counters":
				ctx.SetContentType("application/json")
				ctx.SetBody(encodeCounters(counters))
			default:
				writeResponse(ctx, handler(base.NewCtx(clock, 10*time.Minute), parseRequest(ctx, path)))
			}
		},
	}
	tracker := clientconn.NewTracker(clock, counters, func() route.Limits { return route.Limits{MaxBodyBytes: maxBodyBytes} })
	tracker.Memory, tracker.MaxConns = env.Memory, maxConns
	tracker.RefuseBody = func(ctx *fasthttp.RequestCtx, err error) {
		writeResponse(ctx, front.ErrorResponse(memory.RequestError(err)))
	}
	tracker.AttachBodies(p.server)
	p.conns = tracker
	return p
}

// encodeCounters encodes the counters of the process with what it uses at the moment.
func encodeCounters(counters *base.Counters) []byte {
	snapshot := counters.Snapshot()
	maps.Copy(snapshot, resourceCounters())
	return append(base.MustMarshal(snapshot), '\n')
}

// withCounters serves the counters of the process beside the messages of other nodes.
func withCounters(handler http.Handler, counters *base.Counters) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encodeCounters(counters))
	})
	return mux
}

// parseRequest converts a request, whose body it shares, into the form that handlers use.
func parseRequest(ctx *fasthttp.RequestCtx, path string) *front.Request {
	r := &front.Request{Method: string(ctx.Method()), Path: path, Query: map[string]string{}, Header: map[string]string{},
		Body: ctx.PostBody()}
	for name, value := range ctx.QueryArgs().All() {
		r.Query[string(name)] = string(value)
	}
	for name, value := range ctx.Request.Header.All() {
		r.Header[strings.ToLower(string(name))] = string(value)
	}
	return r
}

// writeResponse sends a response: a body unchanged, or a stream as server-sent
// events with one event per piece and exactly one final event.
func writeResponse(ctx *fasthttp.RequestCtx, response *front.Response) {
	ctx.SetStatusCode(response.Status)
	for _, name := range base.SortedKeys(response.Header) {
		ctx.Response.Header.Set(name, response.Header[name])
	}
	if response.Stream == nil {
		ctx.SetBody(response.Body)
		return
	}
	stream := response.Stream
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for {
			pieces, attempt, done := stream.Next()
			if len(pieces) == 0 {
				_, _ = w.WriteString(": waiting\n\n")
			}
			for _, piece := range pieces {
				_, _ = w.Write(FormatEvent(piece, attempt))
			}
			if w.Flush() != nil || done {
				return
			}
		}
	})
}

// FormatEvent formats a piece of a stream as a server-sent event.
func FormatEvent(piece *session.Piece, attempt string) []byte {
	if piece.Final {
		return fmt.Appendf(nil, "id: %s#%d\nevent: final\ndata: %s\n\n", attempt, piece.Place, piece.Data)
	}
	return fmt.Appendf(nil, "id: %s#%d\nevent: piece\ndata: %s\n\n", attempt, piece.Place, base.MustMarshal(map[string]string{"text": string(piece.Data)}))
}

// ServeRequest serves one request with a handler of the product's own API.
func ServeRequest(r *fasthttp.RequestCtx, handler Handler, ctx *base.Ctx) {
	writeResponse(r, handler(ctx, parseRequest(r, string(r.Path()))))
}

// Serve accepts connections until Shutdown.
func (p *PublicServer) Serve(listener net.Listener) error {
	return p.server.Serve(p.conns.Listen(listener))
}

// Shutdown stops accepting requests and waits for those that have been read.
func (p *PublicServer) Shutdown(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.server.ShutdownWithContext(ctx)
}

// NotFound is the handler of processes without a public API.
func NotFound(*base.Ctx, *front.Request) *front.Response {
	return front.ErrorResponse(base.Decline(404, "unknown_path", "no resource exists at this path"))
}
