package sockets

import (
	"net"
	"sync"
	"time"

	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// InstanceListServer serves the platform's list of instances over HTTP.
type InstanceListServer struct {
	Address string
	server  *fasthttp.Server
	stopped chan struct{}

	mu           sync.Mutex
	endless      platform.EndlessForm
	endlessBytes int64
}

// SetEndless makes the list answer each call without end, or as usual if form is empty.
func (s *InstanceListServer) SetEndless(form platform.EndlessForm) {
	s.mu.Lock()
	s.endless = form
	s.mu.Unlock()
}

// MostEndlessBytes returns the most bytes that a connection took of one endless answer, buffers
// of sockets included.
func (s *InstanceListServer) MostEndlessBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endlessBytes
}

// ForgetEndless makes MostEndlessBytes begin anew.
func (s *InstanceListServer) ForgetEndless() {
	s.mu.Lock()
	s.endlessBytes = 0
	s.mu.Unlock()
}

// serveEndless answers a call without end if the list is to do so.
func (s *InstanceListServer) serveEndless(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	form := s.endless
	s.mu.Unlock()
	if form == "" {
		return false
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		startedAt := time.Now()
		taken := form.Write(200, [][2]string{{"Content-Type", "application/json"}}, func() time.Duration { return time.Since(startedAt) }, func(block []byte) error {
			_ = conn.SetWriteDeadline(time.Now().Add(endlessWriteTimeout))
			_, err := conn.Write(block)
			return err
		})
		s.mu.Lock()
		s.endlessBytes = max(s.endlessBytes, taken)
		s.mu.Unlock()
	})
	return true
}

// endlessWriteTimeout is how long the caller of an endless answer may read nothing.
const endlessWriteTimeout = 5 * time.Second

// ListenInstanceList starts to serve the list on the given address.
func ListenInstanceList(list *platform.Instances, address string) (*InstanceListServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for the instance list")
	}
	s := &InstanceListServer{Address: listener.Addr().String(), stopped: make(chan struct{})}
	s.server = &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if !ctx.IsGet() || string(ctx.Path()) != platform.PathInstances {
			ctx.SetStatusCode(404)
			return
		}
		if s.serveEndless(ctx) {
			return
		}
		status, body := list.FetchPage(string(ctx.QueryArgs().Peek("zone")), string(ctx.QueryArgs().Peek("page_token")))
		ctx.SetStatusCode(status)
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}}
	go func() {
		defer close(s.stopped)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Close stops the server and waits for it to end.
func (s *InstanceListServer) Close() {
	_ = s.server.Shutdown()
	<-s.stopped
}
