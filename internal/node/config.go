// A process learns its place from a settings file, from flags, or both, the
// flags winning. Everything is checked before anything starts, and each
// fault is named.

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

// ReadConfigFile reads a settings file into a place.
func ReadConfigFile(path string, config *Config) error {
	document, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "settings file")
	}
	limit, tolerate := float64(config.DiskLimitBytes), float64(config.FaultTolerance)
	err = base.ReadFields(document, map[string]base.FieldReader{
		"role": base.StringField(&config.Role, 16), "address": base.StringField(&config.Addr, 64), "public_address": base.StringField(&config.PublicAddr, 64),
		"zone": base.StringField(&config.Zone, 128), "cluster": base.StringField(&config.Cluster, 128), "data": base.StringField(&config.DataDir, 4096), "disk_limit_bytes": base.NumberField(&limit, 0, 1<<50, true),
		"node": base.StringField(&config.NodeName, 128), "tolerate": base.NumberField(&tolerate, 0, 2, true), "found": base.BoolField(&config.Bootstrap),
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
	config.DiskLimitBytes, config.FaultTolerance = int64(limit), int(tolerate)
	if v := base.FindRequestError(err); v != nil {
		return errors.Errorf("settings file %s: %s: %s", path, v.Field, v.Message)
	}
	return err
}

// Validate lists every fault of a place.
func (p *Config) Validate(roles ...string) []string {
	violations := []string{}
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	known := false
	for _, role := range roles {
		known = known || role == p.Role
	}
	if !known {
		report("role: must be one of %s, is %q", strings.Join(roles, ", "), p.Role)
	}
	checkAddr := func(name, addr string) {
		host, port, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
			report("%s: must be an IP number and a port, is %q", name, addr)
		}
	}
	checkAddr("address", p.Addr)
	checkAddr("public_address", p.PublicAddr)
	if p.Addr == p.PublicAddr {
		report("public_address: must differ from address")
	}
	if p.Zone == "" {
		report("zone: must be given")
	}
	if len(p.Seeds) == 0 || len(p.Seeds) > 3 {
		report("seeds: one to three addresses of other processes must be given")
	}
	for i, seed := range p.Seeds {
		checkAddr(fmt.Sprintf("seeds[%d]", i), seed)
	}
	if p.Bootstrap && p.FaultTolerance == 0 {
		report("tolerate: must be 1 or 2 where the machines found the cluster")
	}
	if p.FaultTolerance < 0 || p.FaultTolerance > 2 {
		report("tolerate: must be 0, 1 or 2, is %d", p.FaultTolerance)
	}
	if p.Role == "storage" && p.DataDir == "" {
		report("data: a storage machine needs a data folder")
	}
	return violations
}
