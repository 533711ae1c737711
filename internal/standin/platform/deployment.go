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

// Distribution is a quantity drawn round a mean, never above its most.
type Distribution struct{ Mean, Spread, Max float64 }

// Sample draws once.
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

// ToolUse is a tool that a program calls between its turns.
type ToolUse struct {
	Class       string
	Probability float64
	MaxCalls    int
}

// RequestClass is a kind of request. Those of programs are turns; tools are called by
// programs and have no rate of their own.
type RequestClass struct {
	Name              string
	Kind              Kind
	Service           string
	Method            string
	ProgramsPerSecond float64 // programs a second in each zone
	TargetLatency     time.Duration
	Deadline          time.Duration
	GapTarget         time.Duration
	// Retain is how long turns are kept, 0 where they are not; Spending is then how
	// long the route says that what programs spent is.
	Retain         time.Duration
	SpendRetention time.Duration
	// Resumable streams may be continued after their last event.
	Resumable   bool
	Retries     int // tries after the first
	MaxTries    int
	Urgency     int
	BodyBytes   Distribution // bytes
	AnswerBytes Distribution // bytes
	WorkMs      Distribution // ms
	ErrorRate   float64

	Events              Distribution
	PromptTokens        Distribution // tokens of a turn's own
	SharedPromptTokens  Distribution // tokens of the prompt all programs of a topic share
	Topics              int
	Turns               Distribution
	ThinkMs             Distribution // ms
	SubagentProbability float64
	SubagentCount       Distribution
	RunawayProbability  float64
	TargetFactor        float64
	Tools               []ToolUse
}

// ServiceSpec is a service and its workers.
type ServiceSpec struct {
	Name      string
	Workers   int
	Capacity  int
	QueueSize int
	MaxConns  int
	Engine    *EngineSpec
}

// EngineSpec is how a model worker's engine runs.
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

// Deployment is a deployment.
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

// Class gives a kind of request by its name.
func (s *Deployment) Class(name string) *RequestClass {
	for index := range s.Classes {
		if s.Classes[index].Name == name {
			return &s.Classes[index]
		}
	}
	return nil
}

// TokensPerEvent is how many tokens an event of the site's engines holds.
func (s *Deployment) TokensPerEvent() int {
	for _, service := range s.Services {
		if service.Engine != nil {
			return service.Engine.TokensPerEvent
		}
	}
	return 1
}

func modelEngine() *EngineSpec {
	return &EngineSpec{StepTime: 6120 * time.Microsecond, StepTimePerJob: 23 * time.Microsecond, PromptTokensPerMs: 32.4, MaxPromptTokensPerStep: 4096, CacheTokens: 257309, TokensPerEvent: 2,
		ReportLag: 100 * time.Millisecond, EventBytes: 40}
}

func newDeployment(name, region string, zones []string, edges, models, apps int, rate float64) *Deployment {
	ms := time.Millisecond
	tools := []ToolUse{{"receipt", 0.7, 2}, {"posting", 0.4, 1}, {"ping", 0.2, 1}}
	turn := RequestClass{Kind: Streaming, Service: "model", Method: "POST", TargetLatency: 250 * ms, Deadline: 6000 * ms, GapTarget: 400 * ms, Retain: 60 * time.Second, Retries: 1,
		MaxTries: 2, BodyBytes: Distribution{5100, 0, 31000}, Events: Distribution{17, 0.8, 68}, SharedPromptTokens: Distribution{2560, 0.3, 5120}, Topics: 8, SubagentCount: Distribution{3, 0.3, 6}, RunawayProbability: 0.03, Tools: tools}
	short, long := turn, turn
	short.Name, short.ProgramsPerSecond, short.PromptTokens, short.Turns, short.ThinkMs, short.SubagentProbability, short.TargetFactor, short.Urgency = "lookup", rate*0.72, Distribution{1030, 0.7, 5140}, Distribution{3, 0.4, 6}, Distribution{150, 0.6, 600}, 0.05, 3, 1
	long.Name, long.ProgramsPerSecond, long.PromptTokens, long.Turns, long.ThinkMs, long.SubagentProbability, long.TargetFactor = "dispute", rate*0.28, Distribution{514, 0.7, 2570}, Distribution{7, 0.4, 14}, Distribution{60, 0.6, 240}, 0.15, 2.5
	return &Deployment{Name: name, Region: region, Zones: zones, Edges: edges, Cores: 4, Storage: 4, ClientsPerZone: 10, Bounds: DefaultBounds(), ListCallsPerSecond: 40, LeadTime: 10 * time.Second,
		Services: []ServiceSpec{
			{Name: "model", Workers: models, Capacity: 96, QueueSize: 288, MaxConns: 480, Engine: modelEngine()},
			{Name: "app", Workers: apps, Capacity: 6, QueueSize: 24, MaxConns: 96},
		},
		Classes: []RequestClass{short, long,
			{Name: "receipt", Kind: Idempotent, Service: "app", Method: "GET", TargetLatency: 250 * ms, Deadline: 1500 * ms, Retries: 1, MaxTries: 2, Urgency: 2,
				AnswerBytes: Distribution{800, 0.5, 4800}, WorkMs: Distribution{52, 1, 213}},
			{Name: "posting", Kind: NonIdempotent, Service: "app", Method: "POST", TargetLatency: 800 * ms, Deadline: 6000 * ms, Retries: 1, MaxTries: 1, Urgency: 2,
				BodyBytes: Distribution{600, 0.5, 3600}, AnswerBytes: Distribution{800, 0.5, 4800}, WorkMs: Distribution{208, 1, 1500}, ErrorRate: 0.01},
			{Name: "ping", Kind: NonIdempotent, Service: "app", Method: "POST", TargetLatency: 600 * ms, Deadline: 3000 * ms, Retries: 2, MaxTries: 2, Urgency: 2,
				BodyBytes: Distribution{600, 0.5, 3600}, AnswerBytes: Distribution{800, 0.5, 4800}, WorkMs: Distribution{139, 1, 593}},
		}}
}

// Deployments are the deployments known today, and a small one for tests.
func Deployments() map[string]*Deployment {
	small := newDeployment("small", "home", []string{"zone-a", "zone-b"}, 2, 2, 2, 1.5)
	small.Cores, small.Storage, small.LeadTime = 3, 3, 3*time.Second
	return map[string]*Deployment{
		"kiondo":    newDeployment("kiondo", "nairobi", []string{"westlands", "industrial-area", "karen", "thika-road"}, 6, 9, 8, 4),
		"ljubljana": newDeployment("ljubljana", "si-central", []string{"lj-hall-a", "lj-hall-b", "kr-hall", "nm-hall"}, 9, 12, 11, 5),
		"small":     small,
	}
}

// Names are the names a run drew.
type Names struct {
	Services map[string]string // by the shape's name
	Hosts    map[string]string // by class
	Prefixes map[string]string // by class
	Model    string
}

// MachineName makes a machine's name of its class, zone and number.
func MachineName(class, zone string, number int) string {
	return fmt.Sprintf("%s-%s-%d", class, zone, number)
}

func randomName(rng *rand.Rand) string {
	const first, second = "bdfghklmnprstvwz", "aeiou"
	word := ""
	for range 2 {
		word += string(first[rng.IntN(len(first))]) + string(second[rng.IntN(len(second))])
	}
	return fmt.Sprintf("%s%03d", word, rng.IntN(1000))
}

// DrawNames names services, hosts and paths.
func (s *Deployment) DrawNames(rng *rand.Rand) *Names {
	w := &Names{Services: map[string]string{}, Hosts: map[string]string{}, Prefixes: map[string]string{}, Model: "m"}
	for index, service := range s.Services {
		w.Services[service.Name] = randomName(rng) + string(rune('a'+index))
	}
	host := randomName(rng) + ".example"
	for index, class := range s.Classes {
		w.Hosts[class.Name] = host
		w.Prefixes[class.Name] = fmt.Sprintf("/%s%d/", randomName(rng), index)
	}
	return w
}

// RandomID draws an id as clients do.
func RandomID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }
