package platform

import (
	"fmt"
	"strings"
	"time"
)

// Settings is the content of the settings file that the platform gives to each process.
type Settings struct {
	Node, Role, Class, Serves, IP, Zone, Region string
	Zones                                       []string
	Front, Readiness, Control                   string
	Ports                                       [2]int
	Seeds                                       []string
	Bootstrap, LossCounted                      bool
	DataDir                                     string
	FaultTolerance                              int
	Bounds                                      Bounds
	ListAddress                                 string
	ListCallsPerSecond                          float64
	// MemoryMB, if above 0, replaces the memory of the machine class.
	MemoryMB int
}

// classLimits are the resource limits of a machine class.
type classLimits struct {
	cpu                        float64
	memoryMB, maxFDs, linkMbps int
	diskMB                     int
}

var limitsByClass = map[string]classLimits{
	ClassEdge:    {0.4, 284, 4100, 1000, 0},
	ClassCore:    {0.48, 280, 4096, 1000, 128},
	ClassStorage: {0.8, 284, 8200, 600, 300},
}

// MaxDescriptors returns how many descriptors a process on a machine class may have open.
func MaxDescriptors(class string) int { return limitsByClass[class].maxFDs }

// YAML returns the settings file with every field that it has on the platform.
func (s *Settings) YAML() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name: %q", s.Node)
	line("role: %q", s.Role)
	line("machine_class: %q", s.Class)
	line("serves:")
	line("  - %q", s.Serves)
	line("ip: %q", s.IP)
	line("zone: %q", s.Zone)
	line("region: %q", s.Region)
	line("zones:")
	for _, zone := range s.Zones {
		line("  %s: %q", zone, s.Region)
	}
	switch s.Serves {
	case ClassEdge:
		line("bind_addrs:")
		line("  front: %q", s.Front)
		line("  readiness: %q", s.Readiness)
	case "control":
		line("bind_addrs:")
		line("  control: %q", s.Control)
	default:
		line("bind_addrs: {}")
	}
	line("port_range:")
	line("  - %d", s.Ports[0])
	line("  - %d", s.Ports[1])
	line("seed_nodes:")
	for _, seed := range s.Seeds {
		line("  - %q", seed)
	}
	line("bootstrap: %v", s.Bootstrap)
	line("loss_counted: %v", s.LossCounted)
	limits := limitsByClass[s.Class]
	if s.MemoryMB > 0 {
		limits.memoryMB = s.MemoryMB
	}
	line("limits:")
	line("  cpu_fraction: %v", limits.cpu)
	line("  cores: 1")
	line("  memory_mb: %d", limits.memoryMB)
	line("  max_fds: %d", limits.maxFDs)
	line("  link_mbps: %d.0", limits.linkMbps)
	line("  disk_mb: %d", limits.diskMB)
	if s.DataDir == "" {
		line("data_dir: null")
	} else {
		line("data_dir: %q", s.DataDir)
	}
	line("discovery: \"platform\"")
	line("entry_kind: \"virtual_ip\"")
	line("heartbeat_ms: 1200")
	line("invariants:")
	for _, name := range []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine"} {
		line("  - %q", name)
	}
	line("fault_budget:")
	line("  machines: %d", s.FaultTolerance)
	line("  zones: 0")
	line("  regions: 0")
	s.writeBounds(line)
	line("platform_api:")
	line("  address: %q", s.ListAddress)
	line("  rate_per_s: %.1f", s.ListCallsPerSecond)
	line("  duties: []")
	line("  max_lag_ms: %d", s.Bounds.ListMaxLag.Milliseconds())
	return b.String()
}

// writeBounds writes the bounds section, each bound in the unit that its name ends with.
func (s *Settings) writeBounds(line func(string, ...any)) {
	line("bounds:")
	for _, bound := range []struct {
		name  string
		unit  time.Duration
		value time.Duration
	}{
		{"seed_lag_s", time.Second, s.Bounds.SeedLag}, {"reuse_after_s", time.Second, s.Bounds.ReuseAfter}, {"contact_ms", time.Millisecond, s.Bounds.Contact},
		{"ack_ms", time.Millisecond, s.Bounds.Ack}, {"catch_up_s", time.Second, s.Bounds.CatchUp}, {"drain_ms", time.Millisecond, s.Bounds.Drain},
		{"grace_s", time.Second, s.Bounds.Grace}, {"loss_slack_ms", time.Millisecond, s.Bounds.LossSlack}, {"apply_ms", time.Millisecond, s.Bounds.Apply},
		{"revert_slack_ms", time.Millisecond, s.Bounds.RevertSlack}, {"stretch_ms", time.Millisecond, s.Bounds.Stretch},
		{"recovery_s", time.Second, s.Bounds.Recovery}, {"pass_ms", time.Millisecond, s.Bounds.Pass}, {"finish_s", time.Second, s.Bounds.Finish},
		{"settle_ms", time.Millisecond, s.Bounds.Settle},
	} {
		line("  %s: %v", bound.name, float64(bound.value)/float64(bound.unit))
	}
}
