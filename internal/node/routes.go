// A gateway that serves an operator's routes: what the feed tells it, when it
// is ready, and the joints between lines, ledger and relay.

package node

import (
	"strings"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/line"
	"fordseam/internal/membership"
	"fordseam/internal/register"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/apex/log"
)

// applySnapshot takes what a frame of the feed says of routes, workers and disks.
func (g *Gateway) applySnapshot(frame *feed.Snapshot) {
	if disks := register.DiskSetIn(frame.Values); disks != nil {
		g.diskSet.Store(disks)
	}
	written := frame.Values[route.FeedKey]
	if len(written) == len(g.routesValue) && (len(written) == 0 || &written[0] == &g.routesValue[0]) {
		// the very same as in the frame before
	} else if document := route.DocumentFromFeed(frame.Values); document != nil && g.ParseRoutes != nil {
		g.routesValue = written
		if now := g.Routes.Load(); now == nil || now.Version != document.Version {
			written, err := document.Source()
			if err == nil {
				var table *route.Table
				if table, err = g.ParseRoutes(written); err == nil {
					g.Routes.Store(table)
					g.routesChanged.Notify()
					log.WithField("version", table.Version).Info("routes in force")
					g.env.Counters.Add("routes_changed", 1)
				}
			}
			if err != nil {
				log.WithError(err).WithField("version", document.Version).Error("the configuration cannot be read here")
			}
		}
	}
	if workers, changed := g.rosterDecoder.Decode(frame.Values); changed {
		g.Relay.SetWorkers(workers)
	}
}

// WaitForRoutes gives the routes in force. A gateway that has just started waits a
// little for them: to be told to come back costs a client more.
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

// Authorize says whether a client's request may call the model it names. It goes
// before anything else is done for the request.
func (g *Gateway) Authorize(ctx *base.Ctx, matched *route.Route, call *relay.Call) error {
	if !g.Access.HasRules() || !matched.CallsModel() {
		return nil
	}
	host, _, _ := strings.Cut(call.Host, ":")
	return g.Access.Authorize(ctx, &access.Request{Host: strings.ToLower(host), Scope: access.Scope{Route: matched.Name}, Model: call.Model})
}

// RoutesReady says whether clients of the operator's routes may be sent here.
func (g *Gateway) RoutesReady() error {
	switch {
	case g.Routes.Load() == nil:
		return base.Busy(503, "no_settings", 1, "no configuration is in force yet")
	case g.view.Self().Leaving:
		return base.Busy(503, "draining", 1, "this node is leaving")
	}
	return nil
}

// ClientLimits are the bounds on clients in force; all 0 before the first
// configuration.
func (g *Gateway) ClientLimits() route.Limits {
	if table := g.Routes.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// Response is what a client of the operator's routes gets: a whole body, or a
// stream to be passed on as it comes.
type Response struct {
	Status  int
	Headers []relay.Header
	Body    []byte
	Stream  *line.Reader
}

// Handle answers one request of a client. The route in force decides where it
// goes: turns to their session's owner, streams that belong to no program and
// plain requests to a worker. An error is a verdict.
func (g *Gateway) Handle(call *relay.Call) (*Response, error) {
	table := g.Routes.Load()
	if table == nil {
		table = g.WaitForRoutes(base.NewCtx(g.env.Clock, call.Deadline))
	}
	if table == nil {
		return nil, base.BusyFor(503, "no_settings", g.bounds.Load().Recovery/60, "no configuration is in force yet")
	}
	matched := table.Match(call.Host, call.Target)
	if matched == nil {
		return nil, base.Decline(404, "no_route", "no route takes this request")
	}
	clock, limit := g.env.Clock, matched.Timeout
	if call.Deadline > 0 {
		limit = min(limit, call.Deadline)
	}
	call.Deadline = limit
	ctx := base.NewCtx(clock, limit)
	if err := g.Authorize(ctx, matched, call); err != nil {
		return nil, err
	}
	switch {
	case matched.Kind == route.KindStream && line.IsTurn(matched, call):
		stream, err := g.Lines.SubmitTurn(ctx, call)
		if err != nil {
			return nil, err
		}
		return streamResponse(stream, ctx)
	case matched.Kind == route.KindStream:
		return streamResponse(g.Lines.PassThrough(ctx, matched, call), ctx)
	}
	reply, err := g.Relay.Dispatch(ctx, matched, table.Services[matched.PickService(clock.Int64N)], call, call.Body)
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	body, err := reply.Body(ctx.Remaining())
	if err != nil {
		return nil, err
	}
	return &Response{Status: reply.Status, Headers: reply.Headers(), Body: body}, nil
}

// streamResponse answers with a stream, once its head has come.
func streamResponse(stream *line.Stream, ctx *base.Ctx) (*Response, error) {
	head, err := stream.Head(ctx.Remaining(), ctx.Clock)
	if err != nil {
		return nil, err
	}
	return &Response{Status: head.Status, Headers: head.Headers, Stream: line.NewReader(stream, ctx.Clock, ctx.Remaining())}, nil
}

// maxConnsPerWorker is this gateway's part of a service's connections to each worker:
// all gateways together keep below what a worker takes.
func (g *Gateway) maxConnsPerWorker(service *route.Service) int {
	if service.MaxConns <= 0 {
		return 0
	}
	return connectionShare(service.MaxConns, max(1, g.Follower.GatewayCount(), len(g.view.Live(membership.RoleGateway))))
}

// connectionShare cuts three quarters of what a worker takes into equal parts, rounded
// up where all parts together stay within the whole.
func connectionShare(maxConns, gateways int) int {
	share := (maxConns*3/4 + gateways - 1) / gateways
	if share*gateways > maxConns {
		share = maxConns * 3 / 4 / gateways
	}
	return max(1, share)
}

// maxResponseBytes bounds a whole answer of a worker.
const maxResponseBytes = 16 << 20

// relayAdapter lets lines send turns by the relay.
type relayAdapter struct{ gateway *Gateway }

type relayReply struct{ *relay.Reply }

func (o relayReply) Status() int    { return o.Reply.Status }
func (o relayReply) IsStream() bool { return !o.Buffered() }

func (o relayAdapter) Send(ctx *base.Ctx, matched *route.Route, service string, call *relay.Call, body []byte) (line.Reply, error) {
	known := o.gateway.Routes.Load().Services[service]
	if known == nil {
		return nil, base.Busy(503, "no_service", 1, "the service is not configured any more")
	}
	reply, err := o.gateway.Relay.Dispatch(ctx, matched, known, call, body)
	if err != nil {
		return nil, err
	}
	return relayReply{reply}, nil
}
