// What a fleet at rest says, by size: the calls and bytes of each kind, and of
// the busiest machine of each role. The slope over sizes is the growth that
// docs/CAPACITY.md speaks of.

package simulate

import (
	"fmt"
	"io"
	"time"

	"fordseam/internal/base"
)

// ShapeOfSize is a fleet of a size, a fifth of it cores and storage machines up to
// most each.
func ShapeOfSize(nodes, most int) Shape {
	shape := KiondoShape()
	shape.Cores = min(4+nodes/30, most)
	shape.Storage = min(shape.Cores, 9)
	shape.Gateways = nodes - shape.Cores - shape.Storage
	shape.ModelWorkers, shape.ToolWorkers = 2, 2
	return shape
}

// busiest is what a role's machines said a second: their mean and their most.
type busiest struct {
	role                         string
	calls, bytes                 float64
	mostCalls, mostBytes, served float64
	most                         string
}

// WriteIdleTraffic measures a fleet of a shape at rest over a span.
func WriteIdleTraffic(out io.Writer, seed uint64, shape Shape, span time.Duration) error {
	f := NewFleet(seed, shape)
	defer f.World.Close()
	begun := false
	f.CallerHost.Go(func() {
		f.SetUp()
		begun = true
	})
	if !f.World.Run(5*time.Minute, func() bool { return begun }) {
		return fmt.Errorf("the fleet of %d did not form", len(f.All()))
	}
	f.World.Run(f.World.Now()+20*time.Second, nil)
	f.Net.TrafficByPath, f.Net.TrafficByHost = map[string]*PathTraffic{}, map[string]*HostTraffic{}
	f.World.Run(f.World.Now()+span, nil)
	fmt.Fprintf(out, "%d nodes: %d gateways, %d cores, %d storage machines, %v at rest\n", len(f.All()), shape.Gateways, shape.Cores, shape.Storage, span)
	f.Net.writeTalk(out, f, span)
	return nil
}

// writeTalk writes what was counted over a span: by kind, and by role.
func (n *Net) writeTalk(out io.Writer, f *Fleet, span time.Duration) {
	share := span.Seconds() * float64(len(f.All()))
	for _, path := range base.SortedKeys(n.TrafficByPath) {
		talk := n.TrafficByPath[path]
		fmt.Fprintf(out, "  %-46s %7.3f calls %8.1f bytes a node and second, %6.0f bytes a call\n", path, float64(talk.Calls)/share, float64(talk.Bytes)/share, float64(talk.Bytes)/float64(max(1, talk.Calls)))
	}
	for _, load := range []busiest{n.loadOf("gateway", f.Gateways, span), n.loadOf("core", f.Cores, span), n.loadOf("storage", f.Storage, span)} {
		fmt.Fprintf(out, "  %-8s mean %7.1f calls %9.0f bytes a second; most (%s) %7.1f calls %9.0f bytes, %7.1f of the calls served\n",
			load.role, load.calls, load.bytes, load.most, load.mostCalls, load.mostBytes, load.served)
	}
}

// loadOf sums up what the machines of a role said over a span.
func (n *Net) loadOf(role string, machines []*Machine, span time.Duration) busiest {
	sum := busiest{role: role}
	for _, m := range machines {
		mine := n.TrafficByHost[m.Host.Name]
		if mine == nil {
			continue
		}
		calls := float64(mine.RequestsSent+mine.RequestsReceived) / span.Seconds()
		bytes := float64(mine.Bytes) / span.Seconds()
		sum.calls += calls / float64(len(machines))
		sum.bytes += bytes / float64(len(machines))
		if bytes > sum.mostBytes {
			sum.most = m.Host.Name
			sum.mostCalls, sum.mostBytes = calls, bytes
			sum.served = float64(mine.RequestsReceived) / span.Seconds()
		}
	}
	return sum
}
