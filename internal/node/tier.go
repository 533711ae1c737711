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

// learn takes what a frame of the feed says of routes, workers and disks.
func (g *Gateway) learn(frame *feed.Frame) {
	if disks := register.DisksOf(frame.Values); disks != nil {
		g.disks.Swap(disks)
	}
	if document := route.DocumentOf(frame.Values); document != nil && g.Table != nil {
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
	g.Relay.Swap(relay.RosterOf(frame.Values))
}

// Allows says whether a client's request may call the model it names. It goes
// before anything else is done for the request.
func (g *Gateway) Allows(ctx *base.Ctx, matched *route.Route, call *relay.Call) error {
	if !g.Access.Rules() || !matched.Models() {
		return nil
	}
	host, _, _ := strings.Cut(call.Host, ":")
	return g.Access.Allows(ctx, &access.Question{Host: strings.ToLower(host), Place: access.Place{Route: matched.Name}, Model: call.Model})
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
	return max(1, service.MaxConns*3/4/max(1, len(g.view.Present(membership.RoleEdge))))
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
