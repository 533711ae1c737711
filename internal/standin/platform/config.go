package platform

import (
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/jx"
	"github.com/juju/errors"
)

// Share is a service's weight within a route.
type Share struct {
	Service string
	Weight  int
}

// Route says how requests to a host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	DeadlineMs  float64
	TargetMs    float64
	Urgency     int
	Service     string
	Shares      []Share
	MaxTries    int
	Retained    bool
	RetainS     float64
	Pinned      bool
	Resumable   bool
	GapTargetMs float64
}

// Engine is what a configuration says about a service's model workers.
type Engine struct {
	Capacity    int
	CacheTokens int
	Stride      int
	Models      []string
}

// Service is a pool of interchangeable workers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine
}

// Limits restrict what clients may send.
type Limits struct {
	HeaderBytes  int
	MaxBodyBytes int
	HeaderReadMs int
	IdleMs       int
}

// Config is one version of an operator's configuration. The checker always compares what the
// system did with the Config that was sent, never with one parsed from an answer.
type Config struct {
	Generation uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
}

// Clone returns a copy whose routes and services can be changed independently.
func (c *Config) Clone() *Config {
	copied := *c
	copied.Routes = slices.Clone(c.Routes)
	for index := range copied.Routes {
		copied.Routes[index].Shares = slices.Clone(copied.Routes[index].Shares)
	}
	copied.Services = slices.Clone(c.Services)
	return &copied
}

// Allows reports whether the route lets a service run its requests.
func (r *Route) Allows(service string) bool {
	if len(r.Shares) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Match returns the route of the host with the longest prefix of the target's path, or nil.
func (c *Config) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	var best *Route
	for index := range c.Routes {
		r := &c.Routes[index]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// FindService returns the service with a name, or nil.
func (c *Config) FindService(name string) *Service {
	for index := range c.Services {
		if c.Services[index].Name == name {
			return &c.Services[index]
		}
	}
	return nil
}

// InvalidReason returns why the configuration is invalid on top of the current generation, or
// an empty string.
func (c *Config) InvalidReason(current uint64) string {
	if c.Generation <= current {
		return "generation is not above the current one"
	}
	seen := map[string]bool{}
	for _, r := range c.Routes {
		key := strings.ToLower(r.Host) + " " + r.Prefix
		if seen[key] {
			return "two routes have the same host and prefix"
		}
		seen[key] = true
		if r.DeadlineMs <= 0 {
			return "a deadline_ms is 0"
		}
		shares, sum := r.Shares, 0
		if len(shares) == 0 {
			shares = []Share{{r.Service, 1}}
		}
		for _, share := range shares {
			if c.FindService(share.Service) == nil {
				return "a route names an unknown service"
			}
			sum += share.Weight
		}
		if sum <= 0 {
			return "a route's weights sum to 0"
		}
	}
	return ""
}

// Encode returns the JSON document that an operator sends.
func (c *Config) Encode() []byte {
	e := &jx.Encoder{}
	e.Obj(func(e *jx.Encoder) {
		e.Field("generation", func(e *jx.Encoder) { e.UInt64(c.Generation) })
		e.Field("route_table", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for index := range c.Routes {
					c.Routes[index].encode(e)
				}
			})
		})
		e.Field("backends", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for index := range c.Services {
					c.Services[index].encode(e)
				}
			})
		})
		e.Field("limits", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				e.Field("header_bytes", func(e *jx.Encoder) { e.Int(c.Limits.HeaderBytes) })
				e.Field("max_body_bytes", func(e *jx.Encoder) { e.Int(c.Limits.MaxBodyBytes) })
				e.Field("header_read_ms", func(e *jx.Encoder) { e.Int(c.Limits.HeaderReadMs) })
				e.Field("idle_ms", func(e *jx.Encoder) { e.Int(c.Limits.IdleMs) })
			})
		})
	})
	return e.Bytes()
}

func (r *Route) encode(e *jx.Encoder) {
	text := func(name, value string) { e.Field(name, func(e *jx.Encoder) { e.Str(value) }) }
	number := func(name string, value float64) { e.Field(name, func(e *jx.Encoder) { e.Float64(value) }) }
	boolean := func(name string, value bool) { e.Field(name, func(e *jx.Encoder) { e.Bool(value) }) }
	e.Obj(func(e *jx.Encoder) {
		text("name", r.Name)
		text("hostname", r.Host)
		text("path_prefix", r.Prefix)
		text("route_kind", string(r.Kind))
		number("deadline_ms", r.DeadlineMs)
		number("target_ms", r.TargetMs)
		number("urgency", float64(r.Urgency))
		if len(r.Shares) > 0 {
			e.Field("shares", func(e *jx.Encoder) {
				e.Arr(func(e *jx.Encoder) {
					for _, share := range r.Shares {
						e.Obj(func(e *jx.Encoder) {
							e.Field("backend", func(e *jx.Encoder) { e.Str(share.Service) })
							e.Field("share", func(e *jx.Encoder) { e.Int(share.Weight) })
						})
					}
				})
			})
		} else {
			text("backend", r.Service)
		}
		number("max_tries", float64(r.MaxTries))
		if r.Retained || r.RetainS > 0 {
			boolean("retained", r.Retained)
			number("retain_s", r.RetainS)
		}
		if r.Kind == Streaming {
			boolean("pinned", r.Pinned)
			boolean("resumable", r.Resumable)
			number("gap_target_ms", r.GapTargetMs)
		}
	})
}

func (s *Service) encode(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("name", func(e *jx.Encoder) { e.Str(s.Name) })
		e.Field("health_path", func(e *jx.Encoder) { e.Str(s.HealthPath) })
		e.Field("max_conns", func(e *jx.Encoder) { e.Int(s.MaxConns) })
		e.Field("protocol", func(e *jx.Encoder) { e.Str("h1") })
		e.Field("tls", func(e *jx.Encoder) { e.Bool(false) })
		if s.Engine == nil {
			return
		}
		e.Field("engine", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				e.Field("capacity", func(e *jx.Encoder) { e.Int(s.Engine.Capacity) })
				e.Field("cache_tokens", func(e *jx.Encoder) { e.Int(s.Engine.CacheTokens) })
				e.Field("token_kv_bytes", func(e *jx.Encoder) { e.Int(131072) })
				e.Field("link_mbps", func(e *jx.Encoder) { e.Float64(550000) })
				e.Field("stream_stride", func(e *jx.Encoder) { e.Int(s.Engine.Stride) })
				e.Field("model_list", func(e *jx.Encoder) {
					e.Arr(func(e *jx.Encoder) {
						for _, model := range s.Engine.Models {
							e.Obj(func(e *jx.Encoder) { e.Field("name", func(e *jx.Encoder) { e.Str(model) }) })
						}
					})
				})
			})
		})
	})
}

// decodeValue decodes any JSON value, so that documents compare equal whatever the order of
// their fields and the notation of their numbers.
func decodeValue(d *jx.Decoder) (any, error) {
	switch d.Next() {
	case jx.Object:
		object := map[string]any{}
		err := d.Obj(func(d *jx.Decoder, key string) (err error) {
			object[key], err = decodeValue(d)
			return err
		})
		return object, err
	case jx.Array:
		list := []any{}
		err := d.Arr(func(d *jx.Decoder) error {
			item, err := decodeValue(d)
			list = append(list, item)
			return err
		})
		return list, err
	case jx.String:
		return d.Str()
	case jx.Number:
		return d.Float64()
	case jx.Bool:
		return d.Bool()
	case jx.Null:
		return nil, d.Null()
	}
	return nil, errors.New("not a JSON value")
}

// ParseJSON decodes a document of one JSON value into maps, slices and plain values.
func ParseJSON(raw []byte) (any, error) {
	d := jx.DecodeBytes(raw)
	value, err := decodeValue(d)
	if err != nil {
		return nil, errors.Annotate(err, "document")
	}
	if d.Skip() == nil {
		return nil, errors.New("document: more than one JSON value")
	}
	return value, nil
}

// SameDocument reports whether two JSON documents have the same content.
func SameDocument(a, b []byte) bool {
	left, errA := ParseJSON(a)
	right, errB := ParseJSON(b)
	return errA == nil && errB == nil && reflect.DeepEqual(left, right)
}

// GenerationOf returns a document's generation, or 0 if it has none.
func GenerationOf(raw []byte) uint64 {
	value, err := ParseJSON(raw)
	if err != nil {
		return 0
	}
	object, _ := value.(map[string]any)
	generation, _ := object["generation"].(float64)
	return uint64(generation)
}
