package platform

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Distribution is a log-normal distribution with a mean, a spread (0 makes it constant) and a
// maximum (0 means none).
type Distribution struct{ Mean, Spread, Max float64 }

// Sample draws a value.
func (d Distribution) Sample(rng *rand.Rand) float64 {
	if d.Spread == 0 {
		return d.Mean
	}
	value := d.Mean * math.Exp(d.Spread*rng.NormFloat64()-d.Spread*d.Spread/2)
	if d.Max > 0 {
		value = min(value, d.Max)
	}
	return value
}

// ToolUse says how programs call a tool between turns: up to MaxCalls times, each with a
// probability.
type ToolUse struct {
	Class       string
	Probability float64
	MaxCalls    int
}

// RequestClass is a class of requests: the turns of programs, or the calls of a tool, which
// programs make and which have no rate of their own.
type RequestClass struct {
	Name              string
	Kind              Kind
	Service           string
	Method            string
	ProgramsPerSecond float64 // in each zone
	TargetLatency     time.Duration
	Deadline          time.Duration
	GapTarget         time.Duration
	// Retain is how long turns are retained, 0 if they aren't. SpendRetention is how long
	// the route retains what programs spent, if that is longer.
	Retain         time.Duration
	SpendRetention time.Duration
	// Resumable streams may be continued after their last event.
	Resumable   bool
	Retries     int // by the client, after the first try
	MaxTries    int
	Urgency     int
	BodyBytes   Distribution
	AnswerBytes Distribution
	WorkMs      Distribution
	ErrorRate   float64

	Events              Distribution
	PromptTokens        Distribution // new tokens of a turn
	SharedPromptTokens  Distribution // tokens of the prompt that all programs of a topic share
	Topics              int
	Turns               Distribution
	ThinkMs             Distribution
	SubagentProbability float64
	SubagentCount       Distribution
	RunawayProbability  float64
	TargetFactor        float64
	Tools               []ToolUse
}

// ServiceSpec describes a service and its workers; Engine is set for model services.
type ServiceSpec struct {
	Name string
	// AlternativeTo names the service that this one can take the place of in a
	// configuration, if any.
	AlternativeTo string
	Workers       int
	Capacity      int
	QueueSize     int
	MaxConns      int
	Engine        *EngineSpec
}

// EngineSpec describes the speed and memory of a model worker's engine.
type EngineSpec struct {
	StepTime               time.Duration
	StepTimePerJob         time.Duration
	PromptTokensPerMs      float64
	MaxPromptTokensPerStep int
	CacheTokens            int
	TokensPerEvent         int
	ReportLag              time.Duration
	EventBytes             int
}

// Deployment describes a deployment: zones, machines, services, and the classes of requests
// with their rates. Names of services, hosts and paths are drawn for each run, as on the
// platform.
type Deployment struct {
	Name               string
	Region             string
	Zones              []string
	Edges              int
	Cores              int
	Storage            int
	Services           []ServiceSpec
	Classes            []RequestClass
	ClientsPerZone     int // in each zone
	Bounds             Bounds
	ListCallsPerSecond float64
	LeadTime           time.Duration
}

// Class returns the class of requests with a name, or nil.
func (d *Deployment) Class(name string) *RequestClass {
	for index := range d.Classes {
		if d.Classes[index].Name == name {
			return &d.Classes[index]
		}
	}
	return nil
}

// TokensPerEvent returns how many tokens an event of the deployment's engines holds.
func (d *Deployment) TokensPerEvent() int {
	for _, service := range d.Services {
		if service.Engine != nil {
			return service.Engine.TokensPerEvent
		}
	}
	return 1
}

// modelEngine returns the engine of the model workers of all deployments.
func modelEngine() *EngineSpec {
	return &EngineSpec{StepTime: 6120 * time.Microsecond, StepTimePerJob: 23 * time.Microsecond, PromptTokensPerMs: 32.4, MaxPromptTokensPerStep: 4096, CacheTokens: 257309, TokensPerEvent: 2,
		ReportLag: 100 * time.Millisecond, EventBytes: 40}
}

// newDeployment returns a deployment with a model service and an app service. Its programs are
// of the classes lookup and dispute, at the given rate per second and zone in all; the other
// classes are their tools.
func newDeployment(name, region string, zones []string, edges, models, apps int, rate float64) *Deployment {
	ms := time.Millisecond
	tools := []ToolUse{{"receipt", 0.7, 2}, {"posting", 0.4, 1}, {"ping", 0.2, 1}}
	turn := RequestClass{Kind: Streaming, Service: "model", Method: "POST", TargetLatency: 250 * ms, Deadline: 6000 * ms, GapTarget: 400 * ms, Retain: 60 * time.Second, Retries: 1,
		MaxTries: 2, BodyBytes: Distribution{5100, 0, 31000}, Events: Distribution{17, 0.8, 68}, SharedPromptTokens: Distribution{2560, 0.3, 5120}, Topics: 8, SubagentCount: Distribution{3, 0.3, 6}, RunawayProbability: 0.03, Tools: tools}
	lookup, dispute := turn, turn
	lookup.Name, lookup.ProgramsPerSecond, lookup.PromptTokens, lookup.Turns, lookup.ThinkMs, lookup.SubagentProbability, lookup.TargetFactor, lookup.Urgency = "lookup", rate*0.72, Distribution{1030, 0.7, 5140}, Distribution{3, 0.4, 6}, Distribution{150, 0.6, 600}, 0.05, 3, 1
	dispute.Name, dispute.ProgramsPerSecond, dispute.PromptTokens, dispute.Turns, dispute.ThinkMs, dispute.SubagentProbability, dispute.TargetFactor = "dispute", rate*0.28, Distribution{514, 0.7, 2570}, Distribution{7, 0.4, 14}, Distribution{60, 0.6, 240}, 0.15, 2.5
	return &Deployment{Name: name, Region: region, Zones: zones, Edges: edges, Cores: 4, Storage: 4, ClientsPerZone: 10, Bounds: DefaultBounds(), ListCallsPerSecond: 40, LeadTime: 10 * time.Second,
		Services: []ServiceSpec{
			{Name: "model", Workers: models, Capacity: 96, QueueSize: 288, MaxConns: 480, Engine: modelEngine()},
			{Name: "app", Workers: apps, Capacity: 6, QueueSize: 24, MaxConns: 96},
		},
		Classes: []RequestClass{lookup, dispute,
			{Name: "receipt", Kind: Idempotent, Service: "app", Method: "GET", TargetLatency: 250 * ms, Deadline: 1500 * ms, Retries: 1, MaxTries: 2, Urgency: 2,
				AnswerBytes: Distribution{800, 0.5, 4800}, WorkMs: Distribution{52, 1, 213}},
			{Name: "posting", Kind: NonIdempotent, Service: "app", Method: "POST", TargetLatency: 800 * ms, Deadline: 6000 * ms, Retries: 1, MaxTries: 1, Urgency: 2,
				BodyBytes: Distribution{600, 0.5, 3600}, AnswerBytes: Distribution{800, 0.5, 4800}, WorkMs: Distribution{208, 1, 1500}, ErrorRate: 0.01},
			{Name: "ping", Kind: NonIdempotent, Service: "app", Method: "POST", TargetLatency: 600 * ms, Deadline: 3000 * ms, Retries: 2, MaxTries: 2, Urgency: 2,
				BodyBytes: Distribution{600, 0.5, 3600}, AnswerBytes: Distribution{800, 0.5, 4800}, WorkMs: Distribution{139, 1, 593}},
		}}
}

// Deployments returns the known deployments and a small one for tests, by name.
func Deployments() map[string]*Deployment {
	small := newDeployment("small", "home", []string{"zone-a", "zone-b"}, 2, 2, 2, 1.5)
	small.Cores, small.Storage, small.LeadTime = 3, 3, 3*time.Second
	return map[string]*Deployment{
		"kiondo":    newDeployment("kiondo", "nairobi", []string{"westlands", "industrial-area", "karen", "thika-road"}, 6, 9, 8, 4),
		"ljubljana": newDeployment("ljubljana", "si-central", []string{"lj-hall-a", "lj-hall-b", "kr-hall", "nm-hall"}, 9, 12, 11, 5),
		"small":     small,
	}
}

// WithAlternatives returns a copy of the deployment in which each service has an alternative
// with workers of its own, so that configurations can move routes between services and drop
// those that no route names.
func (d *Deployment) WithAlternatives() *Deployment {
	copied := *d
	copied.Classes = slices.Clone(d.Classes)
	copied.Services = slices.Clone(d.Services)
	for _, service := range d.Services {
		service.Name, service.AlternativeTo = service.Name+"-2", service.Name
		copied.Services = append(copied.Services, service)
	}
	return &copied
}

// Names are the names drawn for a run.
type Names struct {
	Services map[string]string // by the name in ServiceSpec
	Hosts    map[string]string // by class
	Prefixes map[string]string // by class
	Model    string
}

// MachineName returns a machine's name, made of its class, zone and number.
func MachineName(class, zone string, number int) string {
	return fmt.Sprintf("%s-%s-%d", class, zone, number)
}

// randomName draws a pronounceable name with a number.
func randomName(rng *rand.Rand) string {
	const first, second = "bdfghklmnprstvwz", "aeiou"
	word := ""
	for range 2 {
		word += string(first[rng.IntN(len(first))]) + string(second[rng.IntN(len(second))])
	}
	return fmt.Sprintf("%s%03d", word, rng.IntN(1000))
}

// DrawNames draws the names of services, hosts and path prefixes.
func (d *Deployment) DrawNames(rng *rand.Rand) *Names {
	names := &Names{Services: map[string]string{}, Hosts: map[string]string{}, Prefixes: map[string]string{}, Model: "m"}
	for index, service := range d.Services {
		names.Services[service.Name] = randomName(rng) + string(rune('a'+index))
	}
	host := randomName(rng) + ".example"
	for index, class := range d.Classes {
		names.Hosts[class.Name] = host
		names.Prefixes[class.Name] = fmt.Sprintf("/%s%d/", randomName(rng), index)
	}
	return names
}

// RandomID draws a try's id, in the form that clients use.
func RandomID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }
