package simulate

import (
	"fmt"
	"time"
)

// Shape describes a simulated deployment: its machines, workers and zones, and how
// conversations and workers behave.
type Shape struct {
	Name  string
	Group string
	// ConversationTurns are the numbers of turns of a short and of a long conversation.
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
	// FaultTolerance is how many disks may be lost at once; 0 when operators repair
	// the disk set. Bootstrap has the machines form the cluster without an operator.
	FaultTolerance int
	Bootstrap      bool
	// ZoneNames are the names of the zones; "zone-0", "zone-1" and so on unless set.
	ZoneNames []string
	// ModelPool and ToolPool are the workers' pools; "models" and "apps" unless set.
	ModelPool string
	ToolPool  string
}

// zone returns the zone of the machine at an index among the machines of its role.
func (s *Shape) zone(index int) string {
	if len(s.ZoneNames) > 0 {
		return s.ZoneNames[index%len(s.ZoneNames)]
	}
	return fmt.Sprintf("zone-%d", index%s.Zones)
}

// SmallShape is the smallest fleet in which every role has a second machine.
func SmallShape() Shape {
	return Shape{Name: "small", Group: "g", ConversationTurns: [2]int{2, 4}, Zones: 2, Gateways: 3, Cores: 2, Storage: 3, ModelWorkers: 2, ToolWorkers: 2, WorkerCapacity: 16, PiecesPerTurn: 6, PieceInterval: 20 * time.Millisecond, Settings: DefaultSettings}
}

// KiondoShape is the first deployment.
func KiondoShape() Shape {
	return Shape{Name: "kiondo", Group: "g", ConversationTurns: [2]int{3, 5}, Zones: 4, Gateways: 6, Cores: 4, Storage: 4, ModelWorkers: 9, ToolWorkers: 4, WorkerCapacity: 16, PiecesPerTurn: 6, PieceInterval: 20 * time.Millisecond, Settings: DefaultSettings}
}

// LjubljanaShape is the second deployment.
func LjubljanaShape() Shape {
	return Shape{Name: "ljubljana", Group: "g", ConversationTurns: [2]int{3, 7}, Zones: 4, Gateways: 9, Cores: 4, Storage: 4, ModelWorkers: 12, ToolWorkers: 5, WorkerCapacity: 16, PiecesPerTurn: 6, PieceInterval: 20 * time.Millisecond, Settings: DefaultSettings}
}

// WideShape has more gateways than the leader of the feed answers itself, so that
// followers form a tree.
func WideShape() Shape {
	shape := KiondoShape()
	shape.Name, shape.Gateways, shape.Cores, shape.Storage = "wide", 28, 5, 5
	return shape
}

// Shapes are the shapes that scenarios can run at, by name.
var Shapes = map[string]func() Shape{"small": SmallShape, "kiondo": KiondoShape, "ljubljana": LjubljanaShape, "wide": WideShape}

// DefaultSettings is the settings document that simulated fleets start with.
const DefaultSettings = `{"pools":{"models":{"kind":"model"},"apps":{"kind":"tool"}},"max_output_tokens":64,
"groups":{"g":{"operation_timeout_s":30,"sites":{"main":{"routes":{
"chat":{"kind":"model","pool":"models","model":"stand-in"},
"loyalty":{"kind":"tool","pool":"apps","tool_timeout_s":5},
"lookup":{"kind":"tool","pool":"apps","repeatable":true}}}}}}}`
