package sockets

import (
	"sync"
	"time"

	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

// LoadBalancer runs the readiness checks of the platform's load balancer over HTTP:
// it polls each node once a second.
type LoadBalancer struct {
	platform.LoadBalancer
	closed  chan struct{}
	pollers sync.WaitGroup
}

// Start adds the nodes and starts to poll them.
func (e *LoadBalancer) Start(nodes []*platform.EdgeNode) {
	e.closed = make(chan struct{})
	for _, node := range nodes {
		e.Add(node)
	}
}

// Add adds a node and starts to poll it.
func (e *LoadBalancer) Add(node *platform.EdgeNode) {
	e.LoadBalancer.Add(node)
	e.pollers.Add(1)
	go e.poll(node)
}

// Close stops polling and waits for the polls in progress.
func (e *LoadBalancer) Close() {
	close(e.closed)
	e.pollers.Wait()
}

// poll requests a node's readiness each second until the load balancer is closed.
func (e *LoadBalancer) poll(node *platform.EdgeNode) {
	defer e.pollers.Done()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+node.Readiness+platform.PathReadiness, time.Second)
		e.RecordProbe(node, err == nil && status == 200)
		select {
		case <-e.closed:
			return
		case <-ticker.C:
		}
	}
}
