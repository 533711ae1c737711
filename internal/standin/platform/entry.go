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

	missed int
	in     bool
}

// LoadBalancer hands clients' connections to nodes.
type LoadBalancer struct {
	mu    sync.Mutex
	nodes []*EdgeNode
	tries map[string]int
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
		node.missed, node.in = 0, true
	} else if node.missed++; node.missed >= 2 {
		node.in = false
	}
}

// CountReady counts the nodes that are in.
func (e *LoadBalancer) CountReady() (ready int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, node := range e.nodes {
		if node.in {
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
		if node.in {
			list = append(list, *node)
		}
	}
	return list
}

// Pick chooses the node of a client's next connection; further tries reach others.
func (e *LoadBalancer) Pick(zone, client string, again bool) (node, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inZone := base.Filter(e.nodes, func(n *EdgeNode) bool { return n.Zone == zone })
	list := base.Filter(inZone, func(n *EdgeNode) bool { return n.in })
	switch {
	case len(list) == 0:
		if list = base.Filter(e.nodes, func(n *EdgeNode) bool { return n.in }); len(list) == 0 {
			list = e.nodes
		}
	case 2*len(list) < len(inZone):
		list = inZone
	}
	if e.tries == nil {
		e.tries = map[string]int{}
	}
	if again {
		e.tries[client]++
	}
	chosen := list[(base.Hash64(client)+uint64(e.tries[client]))%uint64(len(list))]
	return chosen.Name, chosen.Front
}

// ProbeTarget is the node of a probe's try, with its address.
func ProbeTarget(node EdgeNode) string { return fmt.Sprintf("%s@%s", node.Name, node.Front) }
