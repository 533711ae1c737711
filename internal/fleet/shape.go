// Package fleet runs a whole fleet on one machine: each daemon is a process with a
// loopback address of its own, and the workers and callers are simulated. It is the
// only package of the project that starts processes.
package fleet

import (
	"fmt"
	"net"
)

// Shape is the size of a deployment: its zones and the number of machines and workers
// of each kind. TurnCounts are the numbers of turns of a short and a long conversation.
type Shape struct {
	Name         string
	Group        string
	Zones        []string
	Gateways     int
	Cores        int
	Storage      int
	ModelWorkers int
	ToolWorkers  int
	TurnCounts   [2]int
}

// Shapes has the known deployments, and a small one for tests.
var Shapes = map[string]Shape{
	"kiondo":    {"kiondo", "kiondo", []string{"zone-a", "zone-b", "zone-c", "zone-d"}, 6, 4, 4, 9, 4, [2]int{3, 5}},
	"ljubljana": {"ljubljana", "ljubljana", []string{"hall-1", "hall-2", "hall-3", "hall-4"}, 9, 4, 4, 12, 5, [2]int{3, 7}},
	"small":     {"small", "small", []string{"zone-a", "zone-b"}, 3, 2, 3, 2, 1, [2]int{2, 3}},
}

// Settings returns the initial settings document.
func (s Shape) Settings() string {
	return fmt.Sprintf(`{
  "pools": {"models": {"kind": "model"}, "apps": {"kind": "tool"}},
  "max_output_tokens": 256,
  "groups": {"%s": {
    "operation_timeout_s": 60,
    "sites": {"main": {
      "routes": {
        "chat": {"kind": "model", "pool": "models", "model": "stand-in"},
        "loyalty": {"kind": "tool", "pool": "apps", "tool_timeout_s": 10},
        "lookup": {"kind": "tool", "pool": "apps", "repeatable": true}
      }}}}}
}`, s.Group)
}

// freeAddr returns the given host with a port that is free.
func freeAddr(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
