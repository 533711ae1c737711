package platform

import (
	"fmt"
	"sync"

	"fordseam/internal/base"
)

// EdgeNode is an edge machine behind the load balancer, with its addresses.
type EdgeNode struct {
	Name, Zone, Front, Readiness string

	failedProbes int
	ready        bool
}

// LoadBalancer is the platform's entry point. It assigns each new connection of a client to a
// ready node of the client's zone, chosen by a hash of the client. A node is ready after a
// successful readiness probe, until two probes in a row have failed.
type LoadBalancer struct {
	mu      sync.Mutex
	nodes   []*EdgeNode
	retries map[string]int
}

// Add adds a node, which isn't ready until a probe succeeds.
func (e *LoadBalancer) Add(node *EdgeNode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes = append(e.nodes, node)
}

// RecordProbe records the result of one readiness probe of a node.
func (e *LoadBalancer) RecordProbe(node *EdgeNode, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ready {
		node.failedProbes, node.ready = 0, true
	} else if node.failedProbes++; node.failedProbes >= 2 {
		node.ready = false
	}
}

// CountReady returns the number of ready nodes.
func (e *LoadBalancer) CountReady() (ready int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, node := range e.nodes {
		if node.ready {
			ready++
		}
	}
	return ready
}

// ReadyNodes lists the ready nodes.
func (e *LoadBalancer) ReadyNodes() []EdgeNode {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []EdgeNode
	for _, node := range e.nodes {
		if node.ready {
			list = append(list, *node)
		}
	}
	return list
}

// Pick chooses the node for a client's next connection; with retry set, it moves on to another
// one. It falls back to all nodes of the zone when fewer than half of them are ready, to
// ready nodes of other zones when none is, and to all nodes when there is no ready node.
func (e *LoadBalancer) Pick(zone, client string, retry bool) (node, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inZone := base.Filter(e.nodes, func(n *EdgeNode) bool { return n.Zone == zone })
	candidates := base.Filter(inZone, func(n *EdgeNode) bool { return n.ready })
	switch {
	case len(candidates) == 0:
		if candidates = base.Filter(e.nodes, func(n *EdgeNode) bool { return n.ready }); len(candidates) == 0 {
			candidates = e.nodes
		}
	case 2*len(candidates) < len(inZone):
		candidates = inZone
	}
	if e.retries == nil {
		e.retries = map[string]int{}
	}
	if retry {
		e.retries[client]++
	}
	chosen := candidates[(base.Hash64(client)+uint64(e.retries[client]))%uint64(len(candidates))]
	return chosen.Name, chosen.Front
}

// ProbeTarget returns the value of Try.Node for a probe: the node's name and address.
func ProbeTarget(node EdgeNode) string { return fmt.Sprintf("%s@%s", node.Name, node.Front) }
