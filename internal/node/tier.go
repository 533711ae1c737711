// A gateway that serves an operator's routes: what the feed tells it, when it
// is ready, and the joints between lines, ledger and relay.
package node

import (
	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/line"
	"fordseam/internal/membership"
	"fordseam/internal/register"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/apex/log"
)

// learn takes what a frame of the feed says of routes, workers and disks.
func (g *Gateway) learn(frame *feed.Frame) {
	if disks := register.DisksOf(frame.Values); disks != nil {
		g.disks.Swap(disks)
	}
	written := frame.Values[route.DocumentKey]
	if len(written) == len(g.written) && (len(written) == 0 || &written[0] == &g.written[0]) {
		// the very same as in the frame before
	} else if document := route.DocumentOf(frame.Values); document != nil && g.Table != nil {
		g.written = written
		if now := g.Routes.Load(); now == nil || now.Version != document.Version {
			written, err := document.Written()
			if err == nil {
				var table *route.Table
				if table, err = g.Table(written); err == nil {
					g.Routes.Swap(table)
					g.env.Counters.Add("routes_changed", 1)
				}
			}
			if err != nil {
				log.WithError(err).WithField("version", document.Version).Error("the configuration cannot be read here")
			}
		}
	}
	if workers, changed := g.roster.Read(frame.Values); changed {
		g.Relay.Swap(workers)
	}
}

// Serves says whether clients of the operator's routes may be sent here.
func (g *Gateway) Serves() error {
	switch {
	case g.Routes.Load() == nil:
		return base.Busy(503, "no_settings", 1, "no configuration is in force yet")
	case g.view.Self().Leaving:
		return base.Busy(503, "draining", 1, "this node is leaving")
	}
	return nil
}

// connShare is this gateway's part of a service's connections to each worker:
// all gateways together keep below what a worker takes.
func (g *Gateway) connShare(service *route.Service) int {
	if service.MaxConns <= 0 {
		return 0
	}
	gateways := max(1, g.Follower.Gateways(), len(g.view.Present(membership.RoleEdge)))
	return max(1, service.MaxConns*3/4/gateways)
}

// answerLimit bounds a whole answer of a worker.
const answerLimit = 16 << 20

// offering lets lines send turns by the relay.
type offering struct{ gateway *Gateway }

type offered struct{ *relay.Reply }

func (o offered) Status() int   { return o.Reply.Status }
func (o offered) Streams() bool { return !o.Whole() }

func (o offering) Offer(ctx *base.Ctx, matched *route.Route, service string, call *relay.Call, body []byte) (line.Reply, error) {
	known := o.gateway.Routes.Load().Services[service]
	if known == nil {
		return nil, base.Busy(503, "no_service", 1, "the service is not configured any more")
	}
	reply, err := o.gateway.Relay.Offer(ctx, matched, known, call, body)
	if err != nil {
		return nil, err
	}
	return offered{reply}, nil
}
