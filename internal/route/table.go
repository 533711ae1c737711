// Package route holds the operator's configuration of routes, services and limits.
//
// The configuration is one document with one version. Table is its decoded form,
// which is immutable and replaced as a whole: a request is matched by host and
// longest path prefix. The syntax of the document belongs to its codec, and its
// contents are validated here.
//
// A version is put in force by compare-and-set in the register (change.go), sent to
// every node through the feed, and can be read back exactly as it was submitted. A
// history of accepted changes (history.go) makes submitting a change idempotent.
package route

import (
	"strings"
	"time"

	"fordseam/internal/base"
)

// Kind determines how often a request of a route may run.
type Kind int

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests run at most once per try.
	KindNonIdempotent
	// KindStream requests run at most once and are answered by a stream of events.
	KindStream
)

// Share is the weight of a service within a route.
type Share struct {
	Service string
	Weight  int
}

// Route describes how requests to a host and path prefix are served.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           Kind
	Timeout        time.Duration
	LatencyTarget  time.Duration
	EventGapTarget time.Duration // between two events of a stream
	Urgency        int           // 0 is the most urgent, 9 the least
	MaxAttempts    int
	RetainTurns    bool
	Retention      time.Duration // of retained turns
	Pinned         bool
	// Resumable streams may continue on another worker after their last event.
	Resumable bool
	Shares    []Share

	callsModel bool
	// services are those of Shares, in the same order, as the route's own configuration
	// describes them.
	services []*Service
	// spendRetention is how long what programs spent is kept.
	spendRetention time.Duration
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// CallsModel reports whether one of the route's services is a model service.
func (r *Route) CallsModel() bool { return r.callsModel }

// SpendRetention returns how long the spending of a program is kept after a request of the
// route: the route's own retention, or the longest of any route when it has none.
func (r *Route) SpendRetention() time.Duration { return r.spendRetention }

// Engine describes the model workers of a service.
type Engine struct {
	Slots          int // requests that a worker runs at the same time
	CacheTokens    int
	TokensPerEvent int
}

// Service is a pool of interchangeable workers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine
}

// TokensPerEvent returns how many tokens an event of the service's streams stands for, at
// least one.
func (s *Service) TokensPerEvent() int64 {
	if s.Engine == nil {
		return 1
	}
	return int64(max(1, s.Engine.TokensPerEvent))
}

// Limits bound the requests and idle connections of clients.
type Limits struct {
	MaxHeaderBytes    int
	MaxBodyBytes      int
	HeaderReadTimeout time.Duration
	IdleTimeout       time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits

	// hosts has the routes by host in lower case and path prefix.
	hosts map[string]map[string]*Route
}

// BuildIndex validates the table and prepares it for Match. The error names the first
// invalid field.
func (t *Table) BuildIndex() error {
	t.hosts = map[string]map[string]*Route{}
	seen, maxRetention := map[string]bool{}, time.Duration(0)
	for i := range t.Routes {
		r := &t.Routes[i]
		field := "routes[" + string(base.MustMarshal(i)) + "]"
		switch {
		case r.Host == "":
			return base.DeclineField(field+".host", "must be given")
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return base.DeclineField(field+".prefix", "must start and end with a slash")
		case seen[strings.ToLower(r.Host)+" "+r.Prefix]:
			return base.DeclineField(field+".prefix", "another route has the same host and prefix")
		case r.Timeout <= 0:
			return base.DeclineField(field+".timeout", "must be greater than 0")
		case len(r.Shares) == 0:
			return base.DeclineField(field+".service", "must be given")
		}
		totalWeight := 0
		r.services = nil
		for _, share := range r.Shares {
			service := t.Services[share.Service]
			if service == nil {
				return base.DeclineField(field+".service", "service %q is not defined", share.Service)
			}
			if share.Weight < 0 {
				return base.DeclineField(field+".weight", "must not be negative")
			}
			totalWeight += share.Weight
			r.callsModel = r.callsModel || service.Engine != nil
			r.services = append(r.services, service)
		}
		if totalWeight == 0 {
			return base.DeclineField(field+".weight", "the weights sum to 0")
		}
		maxRetention = max(maxRetention, r.Retention)
		host := strings.ToLower(r.Host)
		seen[host+" "+r.Prefix] = true
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.spendRetention = r.Retention; r.spendRetention == 0 {
			r.spendRetention = maxRetention
		}
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	routes := t.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// PickService picks a service at random by the weights of the shares. randomN returns
// a random number from 0 to n-1. The service is described as in the route's own
// configuration, whichever is in force by then.
func (r *Route) PickService(randomN func(n int64) int64) *Service {
	totalWeight := 0
	for _, share := range r.Shares {
		totalWeight += share.Weight
	}
	offset := int(randomN(int64(totalWeight)))
	for i, share := range r.Shares {
		if offset < share.Weight {
			return r.services[i]
		}
		offset -= share.Weight
	}
	return r.services[0]
}
