// The platform's entry: it asks every node each second whether it is ready,
// and hands each new connection of a client to a node of the client's zone,
// chosen by a hash of the client.
package sockets

import (
	"fmt"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

// EntryNode is an edge machine as the entry knows it.
type EntryNode struct {
	Name, Zone, Front, Readiness string

	missed int
	in     bool
}

// VirtualEntry is the entry.
type VirtualEntry struct {
	mu    sync.Mutex
	nodes []*EntryNode
	tries map[string]int
	over  chan struct{}
	ended sync.WaitGroup
}

// Open begins to ask the nodes.
func (e *VirtualEntry) Open(nodes []*EntryNode) {
	e.nodes, e.tries, e.over = nodes, map[string]int{}, make(chan struct{})
	for _, node := range nodes {
		e.ended.Add(1)
		go e.poll(node)
	}
}

// Add begins to ask one more node.
func (e *VirtualEntry) Add(node *EntryNode) {
	e.mu.Lock()
	e.nodes = append(e.nodes, node)
	e.mu.Unlock()
	e.ended.Add(1)
	go e.poll(node)
}

// Close ends it.
func (e *VirtualEntry) Close() {
	close(e.over)
	e.ended.Wait()
}

func (e *VirtualEntry) poll(node *EntryNode) {
	defer e.ended.Done()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+node.Readiness+platform.PathReadiness, time.Second)
		e.mu.Lock()
		if err == nil && status == 200 {
			node.missed, node.in = 0, true
		} else if node.missed++; node.missed >= 2 {
			node.in = false
		}
		e.mu.Unlock()
		select {
		case <-e.over:
			return
		case <-ticker.C:
		}
	}
}

// Ready counts the nodes that are in.
func (e *VirtualEntry) Ready() (ready int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, node := range e.nodes {
		if node.in {
			ready++
		}
	}
	return ready
}

// In lists the nodes that are in.
func (e *VirtualEntry) In() []EntryNode {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []EntryNode
	for _, node := range e.nodes {
		if node.in {
			list = append(list, *node)
		}
	}
	return list
}

// Pick chooses the node of a client's next connection; further tries reach others.
func (e *VirtualEntry) Pick(zone, client string, again bool) (node, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inZone := base.Filter(e.nodes, func(n *EntryNode) bool { return n.Zone == zone })
	list := base.Filter(inZone, func(n *EntryNode) bool { return n.in })
	switch {
	case len(list) == 0:
		if list = base.Filter(e.nodes, func(n *EntryNode) bool { return n.in }); len(list) == 0 {
			list = e.nodes
		}
	case 2*len(list) < len(inZone):
		list = inZone
	}
	if again {
		e.tries[client]++
	}
	chosen := list[(base.Hash64(client)+uint64(e.tries[client]))%uint64(len(list))]
	return chosen.Name, chosen.Front
}

// Probe is the node of a probe's try, with its address.
func Probe(node EntryNode) string { return fmt.Sprintf("%s@%s", node.Name, node.Front) }
