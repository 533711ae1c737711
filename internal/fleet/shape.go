// Package fleet runs a whole fleet on one machine: the daemons as processes
// on loopback addresses, one address a machine, with stand-in workers and
// callers round them. It is the only part of the project that starts
// processes.
package fleet

import (
	"fmt"
	"net"
)

// Shape is a deployment's size.
type Shape struct {
	Name       string
	Group      string
	Zones      []string
	Gateways   int
	Cores      int
	Storage    int
	Models     int
	Tools      int
	TurnCounts [2]int
}

// Shapes are the deployments known today, and a small one for tests.
var Shapes = map[string]Shape{
	"kiondo":    {"kiondo", "kiondo", []string{"zone-a", "zone-b", "zone-c", "zone-d"}, 6, 4, 4, 9, 4, [2]int{3, 5}},
	"ljubljana": {"ljubljana", "ljubljana", []string{"hall-1", "hall-2", "hall-3", "hall-4"}, 9, 4, 4, 12, 5, [2]int{3, 7}},
	"small":     {"small", "small", []string{"zone-a", "zone-b"}, 3, 2, 3, 2, 1, [2]int{2, 3}},
}

// Settings is the document a shape starts with.
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

// freeAddr finds a free port on one machine's address.
func freeAddr(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
