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

// Sized is a fleet of a size, a fifth of it cores and storage machines up to
// most each.
func Sized(nodes, most int) Shape {
	shape := KiondoShape()
	shape.Cores = min(4+nodes/30, most)
	shape.Storage = min(shape.Cores, 9)
	shape.Edges = nodes - shape.Cores - shape.Storage
	shape.Models, shape.Tools = 2, 2
	return shape
}

// busiest is a role's machines at rest: their mean and their most.
type busiest struct {
	machines                     int
	calls, bytes                 float64
	mostCalls, mostBytes, served float64
	most                         string
}

// WriteTalk measures a fleet of a shape at rest over a span.
func WriteTalk(out io.Writer, seed uint64, shape Shape, span time.Duration) error {
	f := NewFleet(seed, shape)
	defer f.World.Close()
	begun := false
	f.Callers.Go(func() {
		f.Form()
		begun = true
	})
	if !f.World.Run(5*time.Minute, func() bool { return begun }) {
		return fmt.Errorf("the fleet of %d did not form", len(f.All()))
	}
	f.World.Run(f.World.Now()+20*time.Second, nil)
	f.Net.Talk, f.Net.By = map[string]*Talk{}, map[string]*Share{}
	f.World.Run(f.World.Now()+span, nil)
	nodes := len(f.All())
	share := span.Seconds() * float64(nodes)
	fmt.Fprintf(out, "%d nodes: %d gateways, %d cores, %d storage machines, %v at rest\n", nodes, shape.Edges, shape.Cores, shape.Storage, span)
	for _, path := range base.SortedKeys(f.Net.Talk) {
		talk := f.Net.Talk[path]
		fmt.Fprintf(out, "  %-46s %7.3f calls %8.1f bytes a node and second, %6.0f bytes a call\n", path, float64(talk.Calls)/share, float64(talk.Bytes)/share, float64(talk.Bytes)/float64(max(1, talk.Calls)))
	}
	for _, role := range []struct {
		name string
		list []*Machine
	}{{"gateway", f.Edges}, {"core", f.Cores}, {"storage", f.Storage}} {
		sum := busiest{machines: len(role.list)}
		for _, m := range role.list {
			mine := f.Net.By[m.Host.Name]
			if mine == nil {
				continue
			}
			calls, bytes := float64(mine.Asked+mine.Served)/span.Seconds(), float64(mine.Bytes)/span.Seconds()
			sum.calls += calls / float64(sum.machines)
			sum.bytes += bytes / float64(sum.machines)
			if bytes > sum.mostBytes {
				sum.mostCalls, sum.mostBytes, sum.most, sum.served = calls, bytes, m.Host.Name, float64(mine.Served)/span.Seconds()
			}
		}
		fmt.Fprintf(out, "  %-8s mean %7.1f calls %9.0f bytes a second; most (%s) %7.1f calls %9.0f bytes, %7.1f of the calls served\n",
			role.name, sum.calls, sum.bytes, sum.most, sum.mostCalls, sum.mostBytes, sum.served)
	}
	return nil
}
