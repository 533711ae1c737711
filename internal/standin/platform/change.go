package platform

import (
	"bytes"
	"fmt"
	"math/rand/v2"
)

// Kinds of invalid configurations.
const (
	Unreadable      = "unreadable"
	WrongType       = "wrong type"
	UnknownService  = "unknown service"
	DuplicateRoute  = "same host and prefix"
	ZeroWeights     = "weights sum to 0"
	ZeroDeadline    = "deadline of 0"
	StaleGeneration = "generation not above the current one"
)

// InvalidKinds lists the kinds of invalid configurations.
var InvalidKinds = []string{Unreadable, WrongType, UnknownService, DuplicateRoute, ZeroWeights, ZeroDeadline, StaleGeneration}

// ConfigGenerator draws the configurations that operators send in a run: the initial one,
// changes that split, add and remove routes or change deadlines, and invalid ones.
type ConfigGenerator struct {
	Deployment *Deployment
	Names      *Names
	Rng        *rand.Rand
	idleRoutes int
}

// Initial draws the configuration that is sent before traffic starts.
func (g *ConfigGenerator) Initial() *Config {
	c := &Config{Generation: 1 + uint64(g.Rng.IntN(5)), Limits: Limits{16384, 4194304, 3000, 15000}}
	for index := range g.Deployment.Services {
		c.Services = append(c.Services, g.newService(&g.Deployment.Services[index]))
	}
	for index := range g.Deployment.Classes {
		class := &g.Deployment.Classes[index]
		c.Routes = append(c.Routes, g.newRoute(c, class, g.Names.Hosts[class.Name], g.Names.Prefixes[class.Name]))
	}
	for range 4 {
		g.AddIdleRoute(c)
	}
	return c
}

// newService returns what a configuration says about a service.
func (g *ConfigGenerator) newService(spec *ServiceSpec) Service {
	service := Service{Name: g.Names.Services[spec.Name], HealthPath: PathHealth, MaxConns: spec.MaxConns}
	if spec.Engine != nil {
		service.Engine = &Engine{Capacity: spec.Capacity, CacheTokens: spec.Engine.CacheTokens, Stride: spec.Engine.TokensPerEvent, Models: []string{g.Names.Model}}
	}
	return service
}

// newRoute returns the route of a class of requests under a host and path prefix, to a
// service that the configuration lists.
func (g *ConfigGenerator) newRoute(c *Config, class *RequestClass, host, prefix string) Route {
	r := Route{Name: "r-" + randomName(g.Rng), Host: host, Prefix: prefix, Kind: class.Kind, DeadlineMs: float64(class.Deadline.Milliseconds()),
		TargetMs: float64(class.TargetLatency.Milliseconds()), Urgency: class.Urgency, Service: g.listedService(c, class.Service), MaxTries: class.MaxTries}
	if class.Kind == Streaming {
		r.Retained, r.RetainS = class.Retain > 0, max(class.Retain, class.SpendRetention).Seconds()
		r.Pinned, r.Resumable, r.GapTargetMs = true, class.Resumable, float64(class.GapTarget.Milliseconds())
	}
	return r
}

// listedService returns the name of a service of the deployment if the configuration lists
// it, or else of its alternative.
func (g *ConfigGenerator) listedService(c *Config, service string) string {
	name := g.Names.Services[service]
	if c.FindService(name) != nil {
		return name
	}
	for _, spec := range g.Deployment.Services {
		if spec.AlternativeTo == service {
			return g.Names.Services[spec.Name]
		}
	}
	return name
}

// AddIdleRoute adds a route to a configuration that gets no traffic, for an idempotent class if
// there is one.
func (g *ConfigGenerator) AddIdleRoute(c *Config) {
	g.idleRoutes++
	idempotent := g.Deployment.Classes[0]
	for _, class := range g.Deployment.Classes {
		if class.Kind == Idempotent {
			idempotent = class
		}
	}
	c.Routes = append(c.Routes, g.newRoute(c, &idempotent, fmt.Sprintf("idle%d.example", g.Rng.IntN(3)), fmt.Sprintf("/%s-%d/", randomName(g.Rng), g.idleRoutes)))
}

// idleRouteIndexes lists the indexes of routes that get no traffic.
func (g *ConfigGenerator) idleRouteIndexes(c *Config) (indexes []int) {
	for index, r := range c.Routes {
		used := false
		for _, class := range g.Deployment.Classes {
			used = used || r.Host == g.Names.Hosts[class.Name] && r.Prefix == g.Names.Prefixes[class.Name]
		}
		if !used {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// NextValid draws a valid change of a configuration. The generation increases by 1 to 4.
func (g *ConfigGenerator) NextValid(base *Config) *Config {
	c := base.Clone()
	c.Generation += 1 + uint64(g.Rng.IntN(4))
	idle := g.idleRouteIndexes(c)
	switch choice := g.Rng.IntN(4); {
	case choice == 0 && len(idle) > 2:
		index := idle[g.Rng.IntN(len(idle))]
		c.Routes = append(c.Routes[:index], c.Routes[index+1:]...)
	case choice == 1 && len(idle) > 0:
		r := &c.Routes[idle[g.Rng.IntN(len(idle))]]
		r.Shares = []Share{{r.Service, 90}, {c.Services[g.Rng.IntN(len(c.Services))].Name, 10}}
		if r.Shares[0].Service == "" || r.Shares[0].Service == r.Shares[1].Service {
			r.Shares = nil
		} else {
			r.Service = ""
		}
		if r.Shares == nil && r.Service == "" {
			r.Service = g.listedService(c, "app")
		}
	case choice == 2:
		r := &c.Routes[g.Rng.IntN(len(c.Routes))]
		r.DeadlineMs += 100
	}
	g.AddIdleRoute(c)
	return c
}

// Invalid draws an invalid change of a configuration. It also adds a route, so that traffic on
// it shows if the configuration comes into force. The configuration is nil for the kinds that
// can't be parsed.
func (g *ConfigGenerator) Invalid(base *Config, kind string) (c *Config, raw []byte, fault string) {
	c = base.Clone()
	c.Generation += 1 + uint64(g.Rng.IntN(4))
	g.AddIdleRoute(c)
	last := &c.Routes[len(c.Routes)-1]
	switch kind {
	case Unreadable:
		raw = c.Encode()
		return nil, raw[:len(raw)-1-g.Rng.IntN(len(raw)/2)], kind
	case WrongType:
		raw = bytes.Replace(c.Encode(), []byte(`"route_table":[`), []byte(`"route_table":7,"was":[`), 1)
		return nil, raw, kind
	case UnknownService:
		last.Service = "nobody" + randomName(g.Rng)
	case DuplicateRoute:
		duplicate := *last
		duplicate.Name += "-again"
		c.Routes = append(c.Routes, duplicate)
	case ZeroWeights:
		last.Shares, last.Service = []Share{{last.Service, 0}}, ""
	case ZeroDeadline:
		last.DeadlineMs = 0
	case StaleGeneration:
		c.Generation = base.Generation
	}
	return c, c.Encode(), kind
}
