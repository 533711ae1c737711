// The platform's entry over HTTP: it asks every node each second whether it
// is ready.

package sockets

import (
	"sync"
	"time"

	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

// LoadBalancer is the entry.
type LoadBalancer struct {
	platform.LoadBalancer
	over  chan struct{}
	ended sync.WaitGroup
}

// Start begins to ask the nodes.
func (e *LoadBalancer) Start(nodes []*platform.EdgeNode) {
	e.over = make(chan struct{})
	for _, node := range nodes {
		e.Add(node)
	}
}

// Add begins to ask one more node.
func (e *LoadBalancer) Add(node *platform.EdgeNode) {
	e.LoadBalancer.Add(node)
	e.ended.Add(1)
	go e.poll(node)
}

// Close ends it.
func (e *LoadBalancer) Close() {
	close(e.over)
	e.ended.Wait()
}

func (e *LoadBalancer) poll(node *platform.EdgeNode) {
	defer e.ended.Done()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+node.Readiness+platform.PathReadiness, time.Second)
		e.RecordProbe(node, err == nil && status == 200)
		select {
		case <-e.over:
			return
		case <-ticker.C:
		}
	}
}
