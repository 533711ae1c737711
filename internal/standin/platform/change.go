// The operator's documents: the first configuration, changes that move, split,
// add and remove routes or change time-outs, and invalid ones of every kind.
// An invalid one that can be read also adds a route of its own, so that it
// shows when it is in force.

package platform

import (
	"bytes"
	"fmt"
	"math/rand/v2"
)

// Invalid kinds of documents.
const (
	Unreadable     = "unreadable"
	WrongType      = "wrong type"
	UnknownService = "unknown service"
	SameRoute      = "same host and prefix"
	NoWeight       = "weights sum to 0"
	NoDeadline     = "deadline of 0"
	OldGeneration  = "generation not above the current one"
)

// InvalidKinds lists them.
var InvalidKinds = []string{Unreadable, WrongType, UnknownService, SameRoute, NoWeight, NoDeadline, OldGeneration}

// Drafts makes documents of one run.
type Drafts struct {
	Site  *Site
	Words *Words
	Rng   *rand.Rand
	extra int
}

// First is the configuration sent before traffic starts.
func (d *Drafts) First() *Config {
	c := &Config{Generation: 1 + uint64(d.Rng.IntN(5)), Limits: Limits{16384, 4194304, 3000, 15000}}
	for _, shape := range d.Site.Services {
		service := Service{Name: d.Words.Services[shape.Name], HealthPath: PathHealth, MaxConns: shape.MaxConns}
		if shape.Engine != nil {
			service.Engine = &Engine{Capacity: shape.Capacity, CacheTokens: shape.Engine.CacheTokens, Stride: shape.Engine.Stride, Models: []string{d.Words.Model}}
		}
		c.Services = append(c.Services, service)
	}
	for place := range d.Site.Classes {
		class := &d.Site.Classes[place]
		c.Routes = append(c.Routes, d.route(class, d.Words.Hosts[class.Name], d.Words.Prefixes[class.Name]))
	}
	for range 4 {
		d.Add(c)
	}
	return c
}

func (d *Drafts) route(class *Class, host, prefix string) Route {
	r := Route{Name: "r-" + drawWord(d.Rng), Host: host, Prefix: prefix, Kind: class.Kind, DeadlineMs: float64(class.Deadline.Milliseconds()),
		TargetMs: float64(class.Aim.Milliseconds()), Urgency: class.Urgency, Service: d.Words.Services[class.Service], MaxTries: class.MaxTries}
	if class.Kind == Streaming {
		r.Retained, r.RetainS = class.Retain > 0, max(class.Retain, class.Spending).Seconds()
		r.Pinned, r.Resumable, r.GapTargetMs = true, class.Resumable, float64(class.Pause.Milliseconds())
	}
	return r
}

// Add puts an idle route of a plain repeatable kind into a configuration.
func (d *Drafts) Add(c *Config) {
	d.extra++
	plain := d.Site.Classes[0]
	for _, class := range d.Site.Classes {
		if class.Kind == Idempotent {
			plain = class
		}
	}
	c.Routes = append(c.Routes, d.route(&plain, fmt.Sprintf("idle%d.example", d.Rng.IntN(3)), fmt.Sprintf("/%s-%d/", drawWord(d.Rng), d.extra)))
}

// idle lists the places of routes that carry no class's requests.
func (d *Drafts) idle(c *Config) (places []int) {
	for place, r := range c.Routes {
		used := false
		for _, class := range d.Site.Classes {
			used = used || r.Host == d.Words.Hosts[class.Name] && r.Prefix == d.Words.Prefixes[class.Name]
		}
		if !used {
			places = append(places, place)
		}
	}
	return places
}

// Next is a valid change on top of a configuration: its generation climbs in
// uneven steps.
func (d *Drafts) Next(base *Config) *Config {
	c := base.Clone()
	c.Generation += 1 + uint64(d.Rng.IntN(4))
	idle := d.idle(c)
	switch what := d.Rng.IntN(4); {
	case what == 0 && len(idle) > 2:
		place := idle[d.Rng.IntN(len(idle))]
		c.Routes = append(c.Routes[:place], c.Routes[place+1:]...)
	case what == 1 && len(idle) > 0:
		r := &c.Routes[idle[d.Rng.IntN(len(idle))]]
		r.Shares = []Share{{r.Service, 90}, {c.Services[d.Rng.IntN(len(c.Services))].Name, 10}}
		if r.Shares[0].Service == "" || r.Shares[0].Service == r.Shares[1].Service {
			r.Shares = nil
		} else {
			r.Service = ""
		}
		if r.Shares == nil && r.Service == "" {
			r.Service = d.Words.Services["app"]
		}
	case what == 2:
		r := &c.Routes[d.Rng.IntN(len(c.Routes))]
		r.DeadlineMs += 100
	}
	d.Add(c)
	return c
}

// Invalid makes an invalid document on top of a configuration.
func (d *Drafts) Invalid(base *Config, kind string) (c *Config, raw []byte, fault string) {
	c = base.Clone()
	c.Generation += 1 + uint64(d.Rng.IntN(4))
	d.Add(c)
	last := &c.Routes[len(c.Routes)-1]
	switch kind {
	case Unreadable:
		raw = c.Encode()
		return nil, raw[:len(raw)-1-d.Rng.IntN(len(raw)/2)], kind
	case WrongType:
		raw = bytes.Replace(c.Encode(), []byte(`"route_table":[`), []byte(`"route_table":7,"was":[`), 1)
		return nil, raw, kind
	case UnknownService:
		last.Service = "nobody" + drawWord(d.Rng)
	case SameRoute:
		again := *last
		again.Name += "-again"
		c.Routes = append(c.Routes, again)
	case NoWeight:
		last.Shares, last.Service = []Share{{last.Service, 0}}, ""
	case NoDeadline:
		last.DeadlineMs = 0
	case OldGeneration:
		c.Generation = base.Generation
	}
	return c, c.Encode(), kind
}
