// The platform's list over HTTP.

package sockets

import (
	"net"

	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// InstanceListServer is the list of instances with its listener.
type InstanceListServer struct {
	Address string
	server  *fasthttp.Server
	ended   chan struct{}
}

// ListenInstanceList opens the list at an address.
func ListenInstanceList(list *platform.Instances, address string) (*InstanceListServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "list of instances")
	}
	s := &InstanceListServer{Address: listener.Addr().String(), ended: make(chan struct{})}
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
		defer close(s.ended)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Close ends it.
func (s *InstanceListServer) Close() {
	_ = s.server.Shutdown()
	<-s.ended
}
