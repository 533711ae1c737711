package relay

import "time"

// runningMean is a mean in which older samples count less and less.
type runningMean struct {
	value   time.Duration
	samples int
}

// meanWindow is the number of samples after which the weight of a new sample no
// longer decreases.
const meanWindow = 32

func (m *runningMean) add(sample time.Duration) {
	m.samples = min(m.samples+1, meanWindow)
	m.value += (sample - m.value) / time.Duration(m.samples)
}

// linearFit is a least-squares line through pairs of prefilled tokens and the time
// to the first event. Older pairs count less with each new one.
type linearFit struct{ n, x, y, xx, xy float64 }

// fitDecay is the factor by which a new pair reduces the weight of older pairs.
const fitDecay = 1 - 1.0/128

// newLinearFit returns a fit that starts with five pairs on the given line.
func newLinearFit(firstEvent, perToken time.Duration) *linearFit {
	f := &linearFit{}
	for tokens := 0.0; tokens <= 4096; tokens += 1024 {
		f.add(tokens, float64(firstEvent)+tokens*float64(perToken))
	}
	return f
}

func (f *linearFit) add(x, y float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*fitDecay+1, f.x*fitDecay+x, f.y*fitDecay+y, f.xx*fitDecay+x*x, f.xy*fitDecay+x*y
}

// estimate returns the time to the first event without any prefill, and the prefill
// time of a token.
func (f *linearFit) estimate() (firstEvent, perToken time.Duration) {
	variance := f.n*f.xx - f.x*f.x
	if variance <= 0 {
		return time.Duration(f.y / f.n), 0
	}
	slope := max(0, (f.n*f.xy-f.x*f.y)/variance)
	return time.Duration(max(0, (f.y-slope*f.x)/f.n)), time.Duration(slope)
}

// Published figures of model workers, used until there are measurements.
const (
	publishedFirstEvent    = 20 * time.Millisecond
	publishedPerToken      = time.Millisecond / 32
	publishedStep          = 6 * time.Millisecond
	publishedBatchSlowdown = publishedStep / 300 // added to a step by each running request
)

// ServiceRates holds what a node has measured of a service. The measurements start
// from the published figures.
type ServiceRates struct {
	Service        string
	RequestTime    time.Duration // of a request that did not wait at the worker
	FirstEventTime time.Duration // to the first event, without prefill
	TimePerToken   time.Duration // prefill of a prompt token
	Workers        int
}

// ServiceRates returns the rates of each service, for operators.
func (r *Relay) ServiceRates() []ServiceRates {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rates []ServiceRates
	for _, name := range sortedServiceNames(r.pools) {
		p := r.pools[name]
		firstEvent, perToken := p.prefill.estimate()
		rates = append(rates, ServiceRates{name, p.requestTime.value, firstEvent, perToken, len(p.workers)})
	}
	return rates
}
