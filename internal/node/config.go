package node

import (
	"fmt"
	"net"
	"os"
	"strings"

	"fordseam/internal/base"

	"github.com/go-faster/jx"
	"github.com/juju/errors"
)

// ReadConfigFile reads a settings file into config.
func ReadConfigFile(path string, config *Config) error {
	document, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "cannot read the settings file")
	}
	diskLimit, memoryLimit, faultTolerance := float64(config.DiskLimitBytes), float64(config.MemoryBytes), float64(config.FaultTolerance)
	err = base.ReadFields(document, map[string]base.FieldReader{
		"role": base.StringField(&config.Role, 16), "address": base.StringField(&config.Addr, 64), "public_address": base.StringField(&config.PublicAddr, 64),
		"zone": base.StringField(&config.Zone, 128), "cluster": base.StringField(&config.Cluster, 128), "data": base.StringField(&config.DataDir, 4096), "disk_limit_bytes": base.NumberField(&diskLimit, 0, 1<<50, true),
		"memory_limit_bytes": base.NumberField(&memoryLimit, 0, 1<<50, true),
		"node":               base.StringField(&config.NodeName, 128), "tolerate": base.NumberField(&faultTolerance, 0, 2, true), "found": base.BoolField(&config.Bootstrap),
		"seeds": func(path string, d *jx.Decoder) error {
			if d.Next() != jx.Array {
				return base.DeclineField(path, "must be a list of addresses")
			}
			config.Seeds = nil
			return d.Arr(func(d *jx.Decoder) error {
				var seed string
				err := base.StringField(&seed, 64)(fmt.Sprintf("%s[%d]", path, len(config.Seeds)), d)
				config.Seeds = append(config.Seeds, seed)
				return err
			})
		},
	})
	config.DiskLimitBytes, config.MemoryBytes, config.FaultTolerance = int64(diskLimit), int64(memoryLimit), int(faultTolerance)
	if requestErr := base.FindRequestError(err); requestErr != nil {
		return errors.Errorf("settings file %s: %s: %s", path, requestErr.Field, requestErr.Message)
	}
	return err
}

// Validate returns all violations, each beginning with the name of the field. It
// runs before anything is started.
func (c *Config) Validate(allowedRoles ...string) []string {
	violations := []string{}
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	allowed := false
	for _, role := range allowedRoles {
		allowed = allowed || role == c.Role
	}
	if !allowed {
		report("role: must be one of %s, is %q", strings.Join(allowedRoles, ", "), c.Role)
	}
	checkAddr := func(name, addr string) {
		host, port, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
			report("%s: must be an IP address and a port, is %q", name, addr)
		}
	}
	checkAddr("address", c.Addr)
	checkAddr("public_address", c.PublicAddr)
	if c.Addr == c.PublicAddr {
		report("public_address: must differ from address")
	}
	if c.Zone == "" {
		report("zone: must be set")
	}
	if len(c.Seeds) == 0 || len(c.Seeds) > 3 {
		report("seeds: must be one to three addresses of other processes")
	}
	for i, seed := range c.Seeds {
		checkAddr(fmt.Sprintf("seeds[%d]", i), seed)
	}
	if c.Bootstrap && c.FaultTolerance == 0 {
		report("tolerate: must be 1 or 2 if found is set")
	}
	if c.FaultTolerance < 0 || c.FaultTolerance > 2 {
		report("tolerate: must be 0, 1 or 2, is %d", c.FaultTolerance)
	}
	if c.MemoryBytes > 0 && c.MemoryBytes < minMemoryBytes {
		report("memory_limit_bytes: must be at least %d, is %d", minMemoryBytes, c.MemoryBytes)
	}
	if c.Role == "storage" && c.DataDir == "" {
		report("data: must name a data folder for a storage node")
	}
	return violations
}
