// A deployment's shape: zones, machines, services, kinds of request and how
// often they come. Names of services, hosts and paths are drawn anew for each
// run, as the platform does.

package platform

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Draw is a quantity drawn round a mean, never above its most.
type Draw struct{ Mean, Spread, Most float64 }

// Value draws once.
func (d Draw) Value(rng *rand.Rand) float64 {
	if d.Spread == 0 {
		return d.Mean
	}
	value := d.Mean * math.Exp(d.Spread*rng.NormFloat64()-d.Spread*d.Spread/2)
	if d.Most > 0 {
		value = min(value, d.Most)
	}
	return value
}

// ToolUse is a tool that a program calls between its turns.
type ToolUse struct {
	Class string
	Share float64
	Times int
}

// Class is a kind of request. Those of programs are turns; tools are called by
// programs and have no rate of their own.
type Class struct {
	Name     string
	Kind     Kind
	Service  string
	Method   string
	PerS     float64 // programs a second in each zone
	Aim      time.Duration
	Deadline time.Duration
	Pause    time.Duration
	// Retain is how long turns are kept, 0 where they are not; Spending is then how
	// long the route says that what programs spent is.
	Retain   time.Duration
	Spending time.Duration
	// Resumable streams may be continued after their last event.
	Resumable bool
	Further   int // tries after the first
	MaxTries  int
	Urgency   int
	Body      Draw // bytes
	Answer    Draw // bytes
	Work      Draw // ms
	Errors    float64

	Events  Draw
	Prompt  Draw // tokens of a turn's own
	Shared  Draw // tokens of the prompt all programs of a topic share
	Topics  int
	Turns   Draw
	Think   Draw // ms
	Fan     float64
	Width   Draw
	Runaway float64
	AimX    float64
	Tools   []ToolUse
}

// ServiceShape is a service and its workers.
type ServiceShape struct {
	Name     string
	Workers  int
	Capacity int
	Queue    int
	MaxConns int
	Engine   *EngineShape
}

// EngineShape is how a model worker's engine runs.
type EngineShape struct {
	Step        time.Duration
	StepPerSlot time.Duration
	PromptPerMs float64
	Chunk       int
	CacheTokens int
	Stride      int
	ReportLag   time.Duration
	EventBytes  int
}

// Site is a deployment.
type Site struct {
	Name     string
	Region   string
	Zones    []string
	Edges    int
	Cores    int
	Storage  int
	Services []ServiceShape
	Classes  []Class
	Clients  int // in each zone
	Bounds   Bounds
	ListPerS float64
	Lead     time.Duration
}

// Class gives a kind of request by its name.
func (s *Site) Class(name string) *Class {
	for place := range s.Classes {
		if s.Classes[place].Name == name {
			return &s.Classes[place]
		}
	}
	return nil
}

// Stride is how many tokens an event of the site's engines holds.
func (s *Site) Stride() int {
	for _, service := range s.Services {
		if service.Engine != nil {
			return service.Engine.Stride
		}
	}
	return 1
}

func tillEngine() *EngineShape {
	return &EngineShape{Step: 6120 * time.Microsecond, StepPerSlot: 23 * time.Microsecond, PromptPerMs: 32.4, Chunk: 4096, CacheTokens: 257309, Stride: 2,
		ReportLag: 100 * time.Millisecond, EventBytes: 40}
}

func siteOf(name, region string, zones []string, edges, models, apps int, rate float64) *Site {
	ms := time.Millisecond
	tools := []ToolUse{{"receipt", 0.7, 2}, {"posting", 0.4, 1}, {"ping", 0.2, 1}}
	turn := Class{Kind: Streaming, Service: "model", Method: "POST", Aim: 250 * ms, Deadline: 6000 * ms, Pause: 400 * ms, Retain: 60 * time.Second, Further: 1,
		MaxTries: 2, Body: Draw{5100, 0, 31000}, Events: Draw{17, 0.8, 68}, Shared: Draw{2560, 0.3, 5120}, Topics: 8, Width: Draw{3, 0.3, 6}, Runaway: 0.03, Tools: tools}
	short, long := turn, turn
	short.Name, short.PerS, short.Prompt, short.Turns, short.Think, short.Fan, short.AimX, short.Urgency = "lookup", rate*0.72, Draw{1030, 0.7, 5140}, Draw{3, 0.4, 6}, Draw{150, 0.6, 600}, 0.05, 3, 1
	long.Name, long.PerS, long.Prompt, long.Turns, long.Think, long.Fan, long.AimX = "dispute", rate*0.28, Draw{514, 0.7, 2570}, Draw{7, 0.4, 14}, Draw{60, 0.6, 240}, 0.15, 2.5
	return &Site{Name: name, Region: region, Zones: zones, Edges: edges, Cores: 4, Storage: 4, Clients: 10, Bounds: DefaultBounds(), ListPerS: 40, Lead: 10 * time.Second,
		Services: []ServiceShape{
			{Name: "model", Workers: models, Capacity: 96, Queue: 288, MaxConns: 480, Engine: tillEngine()},
			{Name: "app", Workers: apps, Capacity: 6, Queue: 24, MaxConns: 96},
		},
		Classes: []Class{short, long,
			{Name: "receipt", Kind: Idempotent, Service: "app", Method: "GET", Aim: 250 * ms, Deadline: 1500 * ms, Further: 1, MaxTries: 2, Urgency: 2,
				Answer: Draw{800, 0.5, 4800}, Work: Draw{52, 1, 213}},
			{Name: "posting", Kind: NonIdempotent, Service: "app", Method: "POST", Aim: 800 * ms, Deadline: 6000 * ms, Further: 1, MaxTries: 1, Urgency: 2,
				Body: Draw{600, 0.5, 3600}, Answer: Draw{800, 0.5, 4800}, Work: Draw{208, 1, 1500}, Errors: 0.01},
			{Name: "ping", Kind: NonIdempotent, Service: "app", Method: "POST", Aim: 600 * ms, Deadline: 3000 * ms, Further: 2, MaxTries: 2, Urgency: 2,
				Body: Draw{600, 0.5, 3600}, Answer: Draw{800, 0.5, 4800}, Work: Draw{139, 1, 593}},
		}}
}

// Sites are the deployments known today, and a small one for tests.
func Sites() map[string]*Site {
	small := siteOf("small", "home", []string{"zone-a", "zone-b"}, 2, 2, 2, 1.5)
	small.Cores, small.Storage, small.Lead = 3, 3, 3*time.Second
	return map[string]*Site{
		"kiondo":    siteOf("kiondo", "nairobi", []string{"westlands", "industrial-area", "karen", "thika-road"}, 6, 9, 8, 4),
		"ljubljana": siteOf("ljubljana", "si-central", []string{"lj-hall-a", "lj-hall-b", "kr-hall", "nm-hall"}, 9, 12, 11, 5),
		"small":     small,
	}
}

// Words are the names a run drew.
type Words struct {
	Services map[string]string // by the shape's name
	Hosts    map[string]string // by class
	Prefixes map[string]string // by class
	Model    string
}

// Place makes a machine's name of its class, zone and number.
func Place(class, zone string, number int) string {
	return fmt.Sprintf("%s-%s-%d", class, zone, number)
}

func drawWord(rng *rand.Rand) string {
	const first, second = "bdfghklmnprstvwz", "aeiou"
	word := ""
	for range 2 {
		word += string(first[rng.IntN(len(first))]) + string(second[rng.IntN(len(second))])
	}
	return fmt.Sprintf("%s%03d", word, rng.IntN(1000))
}

// DrawWords names services, hosts and paths.
func (s *Site) DrawWords(rng *rand.Rand) *Words {
	w := &Words{Services: map[string]string{}, Hosts: map[string]string{}, Prefixes: map[string]string{}, Model: "m"}
	for place, service := range s.Services {
		w.Services[service.Name] = drawWord(rng) + string(rune('a'+place))
	}
	host := drawWord(rng) + ".example"
	for place, class := range s.Classes {
		w.Hosts[class.Name] = host
		w.Prefixes[class.Name] = fmt.Sprintf("/%s%d/", drawWord(rng), place)
	}
	return w
}

// HexID draws an id as clients do.
func HexID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }
