// Package route is the operator's whole configuration of routes, services
// and limits, as one document with one version. A table is immutable and
// swapped whole; a request is matched by host and longest path prefix. How a
// document is written is its codec's matter; what it may say is checked here.
package route

import (
	"strings"
	"time"

	"fordseam/internal/base"
)

// Kind says how often a request of a route may run.
type Kind int

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests run at most once a try.
	KindNonIdempotent
	// KindStream requests run at most once and answer in events.
	KindStream
)

// Share is a service's weight within a route.
type Share struct {
	Service string
	Weight  int
}

// Route is one rule of the table.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           Kind
	Timeout        time.Duration
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	Urgency        int
	MaxAttempts    int
	RetainTurns    bool
	Retention      time.Duration
	Pinned         bool
	// Resumable streams may be continued at another worker after their last event.
	Resumable bool
	Shares    []Share

	models bool
}

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// CallsModel tells whether the route's requests call a model.
func (r *Route) CallsModel() bool { return r.models }

// Engine is what is published of a service's model workers.
type Engine struct {
	Slots          int
	CacheTokens    int
	TokensPerEvent int
}

// Service is a pool of workers that do the same.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine
}

// Limits bound what a client may send.
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

	// hosts are a host's routes by prefix.
	hosts  map[string]map[string]*Route
	retain time.Duration
}

// MaxRetention is the longest time for which a route keeps anything.
func (t *Table) MaxRetention() time.Duration { return t.retain }

// BuildIndex prepares matching and lists the faults of a table: the first field
// at fault as an error, or nil.
func (t *Table) BuildIndex() error {
	t.hosts = map[string]map[string]*Route{}
	seen := map[string]bool{}
	for place := range t.Routes {
		r := &t.Routes[place]
		field := "routes[" + string(base.Encode(place)) + "]"
		switch {
		case r.Host == "":
			return base.DeclineField(field+".host", "must be given")
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return base.DeclineField(field+".prefix", "must start and end with a slash")
		case seen[strings.ToLower(r.Host)+" "+r.Prefix]:
			return base.DeclineField(field+".prefix", "another route has the same host and prefix")
		case r.Timeout <= 0:
			return base.DeclineField(field+".timeout", "must be above 0")
		case len(r.Shares) == 0:
			return base.DeclineField(field+".service", "must be given")
		}
		sum := 0
		for _, share := range r.Shares {
			if t.Services[share.Service] == nil {
				return base.DeclineField(field+".service", "there is no service %q", share.Service)
			}
			if share.Weight < 0 {
				return base.DeclineField(field+".weight", "must not be below 0")
			}
			sum += share.Weight
			r.models = r.models || t.Services[share.Service].Engine != nil
		}
		if sum == 0 {
			return base.DeclineField(field+".weight", "the weights sum to 0")
		}
		t.retain = max(t.retain, r.Retention)
		host := strings.ToLower(r.Host)
		seen[host+" "+r.Prefix] = true
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	return nil
}

// Match finds the route of the host whose prefix is the longest that begins
// the path.
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

// PickService chooses a service by the shares' weights; roll is a number drawn
// from 0 up to the sum of weights.
func (r *Route) PickService(roll func(n int64) int64) string {
	sum := 0
	for _, share := range r.Shares {
		sum += share.Weight
	}
	at := int(roll(int64(sum)))
	for _, share := range r.Shares {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return r.Shares[0].Service
}
