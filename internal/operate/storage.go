// Storage as operators see it: forming the cluster once, and the disks.
package operate

import (
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/membership"
	"fordseam/internal/register"

	"github.com/go-faster/jx"
)

func (o *Operate) disk(addr string) register.Disk {
	return register.NewDiskProtobufClient("http://"+addr, o.Wire)
}

// init forms the cluster once. It may be asked again after it broke off and
// then goes on with the identity it began with; where a cluster stands, it
// is declined.
func (o *Operate) init(ctx *base.Ctx, r *front.Request) (any, error) {
	var addrs []string
	err := base.ReadFields(r.Body, map[string]base.FieldReader{"disks": func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Array {
			return base.DeclineField(path, "must be a list of storage addresses")
		}
		return d.Arr(func(d *jx.Decoder) error {
			var addr string
			err := base.Text(&addr, 64)(path, d)
			addrs = append(addrs, addr)
			return err
		})
	}})
	if err != nil {
		return nil, err
	}
	if len(addrs) < 3 {
		return nil, base.DeclineField("disks", "must name at least three storage machines")
	}
	set := &register.DiskSet{Stamp: 1, Cluster: base.NewID(o.Clock, "cluster-")}
	zones := map[string]string{}
	for _, member := range o.View.Known(membership.RoleStorage) {
		zones[member.Addr] = member.Zone
	}
	for _, addr := range addrs {
		state, err := o.disk(addr).Format(ctx, &register.FormatRequest{})
		if err != nil {
			return nil, base.Busy(503, "disk_unreachable", 1, "%s: %v; ask again", addr, base.FromWire(err).Message)
		}
		for _, entry := range set.Disks {
			if entry.Id == state.Id || entry.Addr == addr {
				return nil, base.DeclineField("disks", "%s is listed twice", addr)
			}
		}
		if len(state.Set.GetDisks()) > 0 {
			if state.Set.Stamp > 1 {
				return nil, base.Decline(409, "cluster_exists", "%s already belongs to cluster %s", addr, state.Set.Cluster)
			}
			set.Cluster = state.Set.Cluster
		}
		set.Disks = append(set.Disks, &register.DiskEntry{Id: state.Id, Addr: addr, Zone: zones[addr]})
	}
	formed := 0
	for _, addr := range addrs {
		state, err := o.disk(addr).Describe(ctx, &register.DescribeRequest{})
		if err == nil && len(state.Set.GetDisks()) > 0 {
			formed++
		}
	}
	if formed == len(addrs) {
		return nil, base.Decline(409, "cluster_exists", "these machines already form cluster %s", set.Cluster)
	}
	for _, entry := range set.Disks {
		ack, err := o.disk(entry.Addr).Adopt(ctx, &register.AdoptRequest{Set: set})
		if err != nil || !ack.Ok {
			return nil, base.Busy(503, "disk_unreachable", 1, "%s did not take the cluster identity (%s); ask again", entry.Addr, ack.GetWhy())
		}
	}
	return map[string]any{"cluster": set.Cluster, "disks": len(set.Disks)}, nil
}

// DiskView is a disk in the listing.
type DiskView struct {
	ID     string            `json:"id"`
	Addr   string            `json:"addr"`
	Zone   string            `json:"zone"`
	Voting bool              `json:"voting"`
	Alive  bool              `json:"alive"`
	Used   int64             `json:"used_bytes"`
	Behind map[uint32]uint64 `json:"behind,omitempty"`
}

func (o *Operate) storage(ctx *base.Ctx) (any, error) {
	set := o.Owner.Set()
	if set == nil {
		return nil, base.Busy(503, "no_disks", 1, "no disk set is known; was init run?")
	}
	var mu sync.Mutex
	highest := map[uint32]uint64{}
	states := map[string]*register.DiskState{}
	bell := base.NewBell(o.Clock)
	members := o.View.Known(membership.RoleStorage)
	left := len(members)
	for _, member := range members {
		o.Clock.Go(func() {
			state, err := o.disk(member.Addr).Describe(base.NewCtx(o.Clock, o.Bounds.Load().DiskLimit()), &register.DescribeRequest{})
			mu.Lock()
			if err == nil {
				states[member.Addr] = state
				for slot, seq := range state.Seqs {
					highest[slot] = max(highest[slot], seq)
				}
			}
			left--
			mu.Unlock()
			bell.Ring()
		})
	}
	for {
		next := bell.Next()
		mu.Lock()
		over := left == 0
		mu.Unlock()
		if over || !next.Wait(ctx.Left()) {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	shown := []DiskView{}
	listed := map[string]bool{}
	for _, entry := range set.Disks {
		view := DiskView{ID: entry.Id, Addr: entry.Addr, Zone: entry.Zone, Voting: true}
		if state := states[entry.Addr]; state != nil && state.Id == entry.Id {
			view.Alive, view.Used, view.Behind = true, state.UsedBytes, behind(state, highest)
		}
		listed[entry.Id] = true
		shown = append(shown, view)
	}
	for _, addr := range base.SortedKeys(states) {
		if state := states[addr]; !listed[state.Id] {
			shown = append(shown, DiskView{ID: state.Id, Addr: addr, Alive: true, Used: state.UsedBytes})
		}
	}
	return map[string]any{"cluster": set.Cluster, "stamp": set.Stamp, "disks": shown}, nil
}

func behind(state *register.DiskState, highest map[uint32]uint64) map[uint32]uint64 {
	lacking := map[uint32]uint64{}
	for slot, seq := range highest {
		if state.Seqs[slot] < seq {
			lacking[slot] = seq - state.Seqs[slot]
		}
	}
	return lacking
}
