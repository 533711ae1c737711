package node

import (
	"strings"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/line"
	"fordseam/internal/membership"
	"fordseam/internal/memory"
	"fordseam/internal/register"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/apex/log"
)

// applySnapshot takes over the routes, workers and disks of a snapshot of the feed.
func (g *Gateway) applySnapshot(snapshot *feed.Snapshot) {
	if diskSet := register.DiskSetIn(snapshot.Values); diskSet != nil {
		g.diskSet.Store(diskSet)
	}
	value := snapshot.Values[route.FeedKey]
	if len(value) == len(g.routesValue) && (len(value) == 0 || &value[0] == &g.routesValue[0]) {
		// the same slice as in the previous snapshot: nothing to parse
	} else if document := route.DocumentFromFeed(snapshot.Values); document != nil && g.ParseRoutes != nil {
		g.routesValue = value
		if current := g.Routes.Load(); current == nil || current.Version != document.Version {
			source, err := document.Source()
			if err == nil {
				var table *route.Table
				if table, err = g.ParseRoutes(source); err == nil {
					g.Routes.Store(table)
					g.routesChanged.Notify()
					log.WithField("version", table.Version).Info("routes in force")
					g.env.Counters.Add("routes_changed", 1)
				}
			}
			if err != nil {
				log.WithError(err).WithField("version", document.Version).Error("cannot read the configuration of routes")
			}
		}
	}
	if workers, changed := g.rosterDecoder.Decode(snapshot.Values); changed {
		g.Relay.SetWorkers(workers)
	}
}

// WaitForRoutes returns the routes in force, or nil. A gateway that has just
// started waits for them briefly, which costs a client less than a retry.
func (g *Gateway) WaitForRoutes(ctx *base.Ctx) *route.Table {
	end := g.env.Clock.Now() + min(ctx.Remaining(), g.bounds.Load().LeaseWait())
	for {
		next := g.routesChanged.Next()
		table := g.Routes.Load()
		if table != nil || !next.Wait(max(0, end-g.env.Clock.Now())) {
			return table
		}
	}
}

// Authorize returns an error if a client's request may not call the model that it
// names. It runs before anything else is done for the request.
func (g *Gateway) Authorize(ctx *base.Ctx, rt *route.Route, call *relay.Call) error {
	if !g.Access.HasRules() || !rt.CallsModel() {
		return nil
	}
	host, _, _ := strings.Cut(call.Host, ":")
	return g.Access.Authorize(ctx, &access.Request{Host: strings.ToLower(host), Scope: access.Scope{Route: rt.Name}, Model: call.Model})
}

// RoutesReady returns nil if clients of the operator's routes may be sent here.
func (g *Gateway) RoutesReady() error {
	switch {
	case g.Routes.Load() == nil:
		return base.Busy(503, "no_settings", 1, "no configuration is in force yet")
	case g.view.Self().Leaving:
		return base.Busy(503, "draining", 1, "this node is leaving")
	}
	return nil
}

// ClientLimits returns the limits in force for client connections; all are 0
// before the first configuration.
func (g *Gateway) ClientLimits() route.Limits {
	if table := g.Routes.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// Response is the response to a client of the operator's routes: a complete body,
// or a stream that is forwarded as it arrives.
type Response struct {
	Status  int
	Headers []relay.Header
	Body    []byte
	Stream  *line.Reader
	// Memory counts the body, and is closed once the body is not held any more.
	Memory *memory.Lease
}

// Handle serves one request of a client. The matching route decides where it goes:
// a turn goes to the owner of its session; a stream outside of any program and a
// plain request go to a worker. Errors are of type base.RequestError.
func (g *Gateway) Handle(call *relay.Call) (*Response, error) {
	table := g.Routes.Load()
	if table == nil {
		table = g.WaitForRoutes(base.NewCtx(g.env.Clock, call.Deadline))
	}
	if table == nil {
		return nil, base.BusyFor(503, "no_settings", g.bounds.Load().Recovery/60, "no configuration is in force yet")
	}
	rt := table.Match(call.Host, call.Target)
	if rt == nil {
		return nil, base.Decline(404, "no_route", "no route matches this request")
	}
	clock, timeout := g.env.Clock, rt.Timeout
	if call.Deadline > 0 {
		timeout = min(timeout, call.Deadline)
	}
	call.Deadline = timeout
	ctx := base.NewCtx(clock, timeout)
	if err := g.Authorize(ctx, rt, call); err != nil {
		return nil, err
	}
	switch {
	case rt.Kind == route.KindStream && line.IsTurn(rt, call):
		stream, err := g.Lines.SubmitTurn(ctx, rt, call)
		if err != nil {
			return nil, err
		}
		return streamResponse(stream, ctx)
	case rt.Kind == route.KindStream:
		return streamResponse(g.Lines.PassThrough(ctx, rt, call), ctx)
	}
	reply, err := g.Relay.Dispatch(ctx, rt, rt.PickService(clock.Int64N), call, call.Body)
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	body, err := reply.Body(ctx.Remaining())
	if err != nil {
		return nil, err
	}
	return &Response{Status: reply.Status, Headers: reply.Headers(), Body: body, Memory: reply.TakeMemory()}, nil
}

// streamResponse waits for the head of a stream and returns the response.
func streamResponse(stream *line.Stream, ctx *base.Ctx) (*Response, error) {
	head, err := stream.Head(ctx.Remaining(), ctx.Clock)
	if err != nil {
		return nil, err
	}
	return &Response{Status: head.Status, Headers: head.Headers, Stream: line.NewReader(stream, ctx.Clock, ctx.Remaining())}, nil
}

// maxConnsPerWorker is this gateway's share of the connections to each worker of a
// service, so that all gateways together stay below the worker's limit.
func (g *Gateway) maxConnsPerWorker(service *route.Service) int {
	if service.MaxConns <= 0 {
		return 0
	}
	return connectionShare(service.MaxConns, max(1, g.Follower.GatewayCount(), len(g.view.Live(membership.RoleGateway))))
}

// connectionShare divides three quarters of a worker's connection limit among the
// gateways. It rounds up if all shares together stay within the limit, and returns
// at least 1.
func connectionShare(maxConns, gateways int) int {
	share := (maxConns*3/4 + gateways - 1) / gateways
	if share*gateways > maxConns {
		share = maxConns * 3 / 4 / gateways
	}
	return max(1, share)
}

// maxResponseBytes limits a buffered response of a worker.
const maxResponseBytes = 16 << 20

// relayAdapter lets line send turns to workers through the relay.
type relayAdapter struct{ gateway *Gateway }

// relayReply is a reply of the relay as a line.Reply.
type relayReply struct{ *relay.Reply }

func (r relayReply) Status() int    { return r.Reply.Status }
func (r relayReply) IsStream() bool { return !r.Buffered() }

func (a relayAdapter) Send(ctx *base.Ctx, rt *route.Route, service *route.Service, call *relay.Call, body []byte) (line.Reply, error) {
	reply, err := a.gateway.Relay.Dispatch(ctx, rt, service, call, body)
	if err != nil {
		return nil, err
	}
	return relayReply{reply}, nil
}
