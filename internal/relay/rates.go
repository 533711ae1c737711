// Rates of a service as this node has measured them. They start from what is
// published of such workers and follow the measurements, older ones counting
// less and less.

package relay

import "time"

// mean is a running mean that forgets.
type mean struct {
	value time.Duration
	seen  int
}

const meanSpan = 32

func (m *mean) add(sample time.Duration) {
	m.seen = min(m.seen+1, meanSpan)
	m.value += (sample - m.value) / time.Duration(m.seen)
}

// fit is a line through pairs (tokens read, time to the first event), found by
// least squares; each new pair makes the former ones count less.
type fit struct{ n, x, y, xx, xy float64 }

const fitKeeps = 1 - 1.0/128

// newFit begins with a line that counts as some pairs.
func newFit(first, perToken time.Duration) *fit {
	f := &fit{}
	for tokens := 0.0; tokens <= 4096; tokens += 1024 {
		f.add(tokens, float64(first)+tokens*float64(perToken))
	}
	return f
}

func (f *fit) add(x, y float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*fitKeeps+1, f.x*fitKeeps+x, f.y*fitKeeps+y, f.xx*fitKeeps+x*x, f.xy*fitKeeps+x*y
}

// line is the time to the first event without tokens, and the time a token
// takes to be read.
func (f *fit) line() (first, perToken time.Duration) {
	spread := f.n*f.xx - f.x*f.x
	if spread <= 0 {
		return time.Duration(f.y / f.n), 0
	}
	slope := max(0, (f.n*f.xy-f.x*f.y)/spread)
	return time.Duration(max(0, (f.y-slope*f.x)/f.n)), time.Duration(slope)
}

// Published figures of model workers.
const (
	publishedFirst    = 20 * time.Millisecond
	publishedPerToken = time.Millisecond / 32
	publishedStep     = 6 * time.Millisecond
	publishedCrowd    = publishedStep / 300 // more of a step for each request running
)

// ServiceRates is what a node has learned of a service.
type ServiceRates struct {
	Service        string
	RequestTime    time.Duration // of a request that did not wait
	FirstEventTime time.Duration // to the first event, less reading
	TimePerToken   time.Duration // of prompt
	Workers        int
}

// ServiceRates gives the rates of each service, for operators.
func (r *Relay) ServiceRates() []ServiceRates {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []ServiceRates
	for _, name := range sortedPools(r.pools) {
		p := r.pools[name]
		first, perToken := p.reading.line()
		all = append(all, ServiceRates{name, p.request.value, first, perToken, len(p.workers)})
	}
	return all
}
