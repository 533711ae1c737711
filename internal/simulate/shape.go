// The deployments that are simulated: how many machines, workers and zones.

package simulate

import (
	"fmt"
	"time"
)

// Shape is the size of a simulated fleet.
type Shape struct {
	Name  string
	Group string
	// Turns are those of a short conversation and of a long one.
	ConversationTurns [2]int
	Zones             int
	Gateways          int
	Cores             int
	Storage           int
	ModelWorkers      int
	ToolWorkers       int
	WorkerCapacity    int
	PiecesPerTurn     int
	PieceInterval     time.Duration
	PrefillTime       time.Duration
	CachedPrefixes    int
	Settings          string
	// Tolerate is how many disks may be lost at once, 0 where operators mend the
	// disk set; Found has the machines form the cluster by themselves.
	FaultTolerance int
	Bootstrap      bool
	// ZoneNames are the zones, "zone-0" and on unless given.
	ZoneNames []string
	// ModelPool and ToolPool are "models" and "apps" unless set.
	ModelPool string
	ToolPool  string
}

// zone is the zone of a machine by its place among its like.
func (s *Shape) zone(place int) string {
	if len(s.ZoneNames) > 0 {
		return s.ZoneNames[place%len(s.ZoneNames)]
	}
	return fmt.Sprintf("zone-%d", place%s.Zones)
}

// SmallShape is enough for every duty to have a second machine.
func SmallShape() Shape {
	return Shape{Name: "small", Group: "g", ConversationTurns: [2]int{2, 4}, Zones: 2, Gateways: 3, Cores: 2, Storage: 3, ModelWorkers: 2, ToolWorkers: 2, WorkerCapacity: 16, PiecesPerTurn: 6, PieceInterval: 20 * time.Millisecond, Settings: DefaultSettings}
}

// KiondoShape is the first deployment's.
func KiondoShape() Shape {
	return Shape{Name: "kiondo", Group: "g", ConversationTurns: [2]int{3, 5}, Zones: 4, Gateways: 6, Cores: 4, Storage: 4, ModelWorkers: 9, ToolWorkers: 4, WorkerCapacity: 16, PiecesPerTurn: 6, PieceInterval: 20 * time.Millisecond, Settings: DefaultSettings}
}

// LjubljanaShape is the second deployment's.
func LjubljanaShape() Shape {
	return Shape{Name: "ljubljana", Group: "g", ConversationTurns: [2]int{3, 7}, Zones: 4, Gateways: 9, Cores: 4, Storage: 4, ModelWorkers: 12, ToolWorkers: 5, WorkerCapacity: 16, PiecesPerTurn: 6, PieceInterval: 20 * time.Millisecond, Settings: DefaultSettings}
}

// WideShape has more gateways than the feed's owner tells by itself.
func WideShape() Shape {
	shape := KiondoShape()
	shape.Name, shape.Gateways, shape.Cores, shape.Storage = "wide", 28, 5, 5
	return shape
}

// Shapes are the sizes that scenarios run at.
var Shapes = map[string]func() Shape{"small": SmallShape, "kiondo": KiondoShape, "ljubljana": LjubljanaShape, "wide": WideShape}

// DefaultSettings is the document simulated fleets start with.
const DefaultSettings = `{"pools":{"models":{"kind":"model"},"apps":{"kind":"tool"}},"max_output_tokens":64,
"groups":{"g":{"operation_timeout_s":30,"sites":{"main":{"routes":{
"chat":{"kind":"model","pool":"models","model":"stand-in"},
"loyalty":{"kind":"tool","pool":"apps","tool_timeout_s":5},
"lookup":{"kind":"tool","pool":"apps","repeatable":true}}}}}}}`
