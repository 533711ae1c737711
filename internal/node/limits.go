package node

import (
	"runtime/debug"
	"syscall"
)

// Connections are how many connections of each kind a process keeps open. 0 sets no bound.
type Connections struct {
	Clients int // callers, clients or operators
	Nodes   int // that other nodes have opened
	Probes  int // of the platform's readiness checks
}

// Connections divides the descriptors of the process: the rest is for connections to workers
// and to other nodes, and for files.
func (c *Config) Connections() Connections {
	if c.Role == "edge" {
		return Connections{Clients: c.MaxDescriptors / 2, Nodes: c.MaxDescriptors / 5, Probes: c.MaxDescriptors / 40}
	}
	return Connections{Clients: c.MaxDescriptors / 8, Nodes: c.MaxDescriptors / 2}
}

const (
	// minMemoryBytes is the least memory with which a process can serve.
	minMemoryBytes = 64 << 20
	// heapPercent is the share of the memory that the heap should not exceed.
	heapPercent = 60
)

// LimitHeap makes the runtime collect garbage early enough for a process that may use so much
// memory; 0 means that this is not known.
func LimitHeap(machineBytes int64) {
	if machineBytes > 0 {
		debug.SetMemoryLimit(machineBytes * heapPercent / 100)
	}
}

// defaultMemoryBytes is the memory that a process takes into account if its settings do not
// say how much it has: half of the machine's.
func defaultMemoryBytes() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit) / 2
}
