// The platform's entry as it decides: a node is in while it says that it is
// ready, and out after two misses; each new connection of a client goes to a
// node of the client's zone, chosen by a hash of the client.

package platform

import (
	"fmt"
	"sync"

	"fordseam/internal/base"
)

// EdgeNode is an edge machine as the entry knows it.
type EdgeNode struct {
	Name, Zone, Front, Readiness string

	failedProbes int
	ready        bool
}

// LoadBalancer hands clients' connections to nodes.
type LoadBalancer struct {
	mu      sync.Mutex
	nodes   []*EdgeNode
	retries map[string]int
}

// Add makes a node known; it is out until it was heard.
func (e *LoadBalancer) Add(node *EdgeNode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes = append(e.nodes, node)
}

// RecordProbe notes one answer of a node to the question whether it is ready.
func (e *LoadBalancer) RecordProbe(node *EdgeNode, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ready {
		node.failedProbes, node.ready = 0, true
	} else if node.failedProbes++; node.failedProbes >= 2 {
		node.ready = false
	}
}

// CountReady counts the nodes that are in.
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

// ReadyNodes lists the nodes that are in.
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

// Pick chooses the node of a client's next connection; further tries reach others.
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

// ProbeTarget is the node of a probe's try, with its address.
func ProbeTarget(node EdgeNode) string { return fmt.Sprintf("%s@%s", node.Name, node.Front) }
