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

// ReadPlace reads a settings file into a place.
func ReadPlace(path string, place *Place) error {
	document, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "settings file")
	}
	limit, tolerate := float64(place.Limit), float64(place.Tolerate)
	err = base.ReadFields(document, map[string]base.FieldReader{
		"role": base.StringField(&place.Role, 16), "address": base.StringField(&place.Addr, 64), "public_address": base.StringField(&place.Public, 64),
		"zone": base.StringField(&place.Zone, 128), "cluster": base.StringField(&place.Cluster, 128), "data": base.StringField(&place.Data, 4096), "disk_limit_bytes": base.NumberField(&limit, 0, 1<<50, true),
		"node": base.StringField(&place.Node, 128), "tolerate": base.NumberField(&tolerate, 0, 2, true), "found": base.BoolField(&place.Found),
		"seeds": func(path string, d *jx.Decoder) error {
			if d.Next() != jx.Array {
				return base.DeclineField(path, "must be a list of addresses")
			}
			place.Seeds = nil
			return d.Arr(func(d *jx.Decoder) error {
				var seed string
				err := base.StringField(&seed, 64)(fmt.Sprintf("%s[%d]", path, len(place.Seeds)), d)
				place.Seeds = append(place.Seeds, seed)
				return err
			})
		},
	})
	place.Limit, place.Tolerate = int64(limit), int(tolerate)
	if v := base.FindRequestError(err); v != nil {
		return errors.Errorf("settings file %s: %s: %s", path, v.Field, v.Message)
	}
	return err
}

// Check lists every fault of a place.
func (p *Place) Check(roles ...string) []string {
	faults := []string{}
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	known := false
	for _, role := range roles {
		known = known || role == p.Role
	}
	if !known {
		fault("role: must be one of %s, is %q", strings.Join(roles, ", "), p.Role)
	}
	checkAddr := func(name, addr string) {
		host, port, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
			fault("%s: must be an IP number and a port, is %q", name, addr)
		}
	}
	checkAddr("address", p.Addr)
	checkAddr("public_address", p.Public)
	if p.Addr == p.Public {
		fault("public_address: must differ from address")
	}
	if p.Zone == "" {
		fault("zone: must be given")
	}
	if len(p.Seeds) == 0 || len(p.Seeds) > 3 {
		fault("seeds: one to three addresses of other processes must be given")
	}
	for place, seed := range p.Seeds {
		checkAddr(fmt.Sprintf("seeds[%d]", place), seed)
	}
	if p.Found && p.Tolerate == 0 {
		fault("tolerate: must be 1 or 2 where the machines found the cluster")
	}
	if p.Tolerate < 0 || p.Tolerate > 2 {
		fault("tolerate: must be 0, 1 or 2, is %d", p.Tolerate)
	}
	if p.Role == "storage" && p.Data == "" {
		fault("data: a storage machine needs a data folder")
	}
	return faults
}
