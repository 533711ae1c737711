package relay

// DrawCandidates makes the relay choose among a number of workers drawn at random
// in its own zone, and as many in other zones.
func (r *Relay) DrawCandidates(draws int) {
	r.filterCandidates = func(candidates []*workerState) []*workerState {
		inZone := 0
		for i, s := range candidates {
			if s.zone == r.Zone {
				candidates[inZone], candidates[i] = candidates[i], candidates[inZone]
				inZone++
			}
		}
		var drawn []*workerState
		for _, group := range [][]*workerState{candidates[:inZone], candidates[inZone:]} {
			for i := 0; i < draws && i < len(group); i++ {
				other := i + int(r.Clock.Int64N(int64(len(group)-i)))
				group[i], group[other] = group[other], group[i]
				drawn = append(drawn, group[i])
			}
		}
		return drawn
	}
}

// UncachedTokens is how many tokens of a prompt a worker would have to prefill.
func (r *Relay) UncachedTokens(worker string, call *Call) int {
	return (&dispatch{call: call}).uncachedTokensAt(r.states[worker])
}

// ServingWorkers returns the workers of a service that may be chosen, with their
// addresses, in the list's order.
func (r *Relay) ServingWorkers(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for _, s := range r.pool(service).workers {
		if s.serving.Load() {
			all = append(all, s.ID+"@"+s.Addr)
		}
	}
	return all
}

// Exported for the tests of the roster's changes.
var (
	RosterChanges  = rosterChanges
	CompareWorkers = compareWorkers
)

const MaxChangeWorkers = maxChangeWorkers

// ReportLoad sets how many requests of other nodes all workers have reported just now.
func (r *Relay) ReportLoad(requests float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.meanOtherRequests = requests
		for _, s := range p.workers {
			s.loadReported, s.otherRequests, s.loadReportedAt = true, requests, r.Clock.Now()
		}
	}
}
