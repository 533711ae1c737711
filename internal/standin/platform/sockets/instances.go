package sockets

import (
	"net"

	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// InstanceListServer serves the platform's list of instances over HTTP.
type InstanceListServer struct {
	Address string
	server  *fasthttp.Server
	stopped chan struct{}
}

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
