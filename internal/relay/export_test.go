// Another way of choosing, to compare: the best of a few that are drawn. And
// what is believed of a worker.
package relay

// Draw lets the relay choose among so many workers drawn in the own zone, and
// as many drawn elsewhere.
func (r *Relay) Draw(draws int) {
	r.narrow = func(open []*state) []*state {
		near := 0
		for place, s := range open {
			if s.Zone == r.Zone {
				open[near], open[place] = open[place], open[near]
				near++
			}
		}
		var drawn []*state
		for _, group := range [][]*state{open[:near], open[near:]} {
			for place := 0; place < draws && place < len(group); place++ {
				other := place + int(r.Clock.Int64N(int64(len(group)-place)))
				group[place], group[other] = group[other], group[place]
				drawn = append(drawn, group[place])
			}
		}
		return drawn
	}
}

// Unread is how many tokens a worker would have to read of a prompt.
func (r *Relay) Unread(worker string, call *Call) int {
	return (&offer{call: call}).unreadAt(r.known[worker])
}

// Serving are the workers of a service that may be chosen, with their
// addresses, in the list's order.
func (r *Relay) Serving(service string) []string {
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

// The changes of the roster as the duty cuts them.
var (
	ChangesTo = changesTo
	InOrder   = inOrder
)

const RosterPart = rosterPart
