package simulate

import (
	"fmt"
	"io"
	"time"

	"fordseam/internal/base"
)

// ShapeOfSize returns the shape of a fleet with a number of nodes: four cores and one
// more per 30 nodes, up to maxCores, as many storage machines, up to 9, and gateways.
func ShapeOfSize(nodes, maxCores int) Shape {
	shape := KiondoShape()
	shape.Cores = min(4+nodes/30, maxCores)
	shape.Storage = min(shape.Cores, 9)
	shape.Gateways = nodes - shape.Cores - shape.Storage
	shape.ModelWorkers, shape.ToolWorkers = 2, 2
	return shape
}

// roleTraffic is the traffic per second of a role's machines: the mean, and the
// traffic of the machine that sent and received most bytes.
type roleTraffic struct {
	role                          string
	meanCalls, meanBytes          float64
	maxCalls, maxBytes, maxServed float64
	busiestHost                   string
}

// WriteIdleTraffic measures the traffic between the nodes of an idle fleet and writes
// it by kind of call and for the busiest machine of each role. docs/CAPACITY.md takes
// the growth with the size of the fleet from it.
func WriteIdleTraffic(out io.Writer, seed uint64, shape Shape, span time.Duration) error {
	f := NewFleet(seed, shape)
	defer f.World.Close()
	formed := false
	f.CallerHost.Go(func() {
		f.SetUp()
		formed = true
	})
	if !f.World.Run(5*time.Minute, func() bool { return formed }) {
		return fmt.Errorf("a fleet of %d nodes did not form within 5 minutes", len(f.All()))
	}
	f.World.Run(f.World.Now()+20*time.Second, nil)
	f.Net.TrafficByPath, f.Net.TrafficByHost = map[string]*PathTraffic{}, map[string]*HostTraffic{}
	f.World.Run(f.World.Now()+span, nil)
	fmt.Fprintf(out, "%d nodes: %d gateways, %d cores, %d storage machines, idle for %v\n", len(f.All()), shape.Gateways, shape.Cores, shape.Storage, span)
	f.Net.writeTraffic(out, f, span)
	return nil
}

// writeTraffic writes the traffic that was counted over a span: by kind of call, and
// by role.
func (n *Net) writeTraffic(out io.Writer, f *Fleet, span time.Duration) {
	nodeSeconds := span.Seconds() * float64(len(f.All()))
	for _, path := range base.SortedKeys(n.TrafficByPath) {
		traffic := n.TrafficByPath[path]
		fmt.Fprintf(out, "  %-46s %7.3f calls %8.1f bytes per node and second, %6.0f bytes per call\n", path, float64(traffic.Calls)/nodeSeconds, float64(traffic.Bytes)/nodeSeconds, float64(traffic.Bytes)/float64(max(1, traffic.Calls)))
	}
	for _, load := range []roleTraffic{n.trafficOf("gateway", f.Gateways, span), n.trafficOf("core", f.Cores, span), n.trafficOf("storage", f.Storage, span)} {
		fmt.Fprintf(out, "  %-8s mean %7.1f calls %9.0f bytes per second; busiest (%s) %7.1f calls %9.0f bytes, %7.1f calls received\n",
			load.role, load.meanCalls, load.meanBytes, load.busiestHost, load.maxCalls, load.maxBytes, load.maxServed)
	}
}

// trafficOf summarizes the traffic of a role's machines over a span.
func (n *Net) trafficOf(role string, machines []*Machine, span time.Duration) roleTraffic {
	sum := roleTraffic{role: role}
	for _, m := range machines {
		traffic := n.TrafficByHost[m.Host.Name]
		if traffic == nil {
			continue
		}
		calls := float64(traffic.RequestsSent+traffic.RequestsReceived) / span.Seconds()
		bytes := float64(traffic.Bytes) / span.Seconds()
		sum.meanCalls += calls / float64(len(machines))
		sum.meanBytes += bytes / float64(len(machines))
		if bytes > sum.maxBytes {
			sum.busiestHost = m.Host.Name
			sum.maxCalls, sum.maxBytes = calls, bytes
			sum.maxServed = float64(traffic.RequestsReceived) / span.Seconds()
		}
	}
	return sum
}
