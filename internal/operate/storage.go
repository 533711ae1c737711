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

func (o *Handler) diskClient(addr string) register.Disk {
	return register.NewDiskProtobufClient("http://"+addr, o.HTTPClient)
}

// initCluster forms the cluster once. It may be asked again after it broke off and
// then goes on with the identity it began with; where a cluster stands, it
// is declined.
func (o *Handler) initCluster(ctx *base.Ctx, r *front.Request) (any, error) {
	var addrs []string
	err := base.ReadFields(r.Body, map[string]base.FieldReader{"disks": func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Array {
			return base.DeclineField(path, "must be a list of storage addresses")
		}
		return d.Arr(func(d *jx.Decoder) error {
			var addr string
			err := base.StringField(&addr, 64)(path, d)
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
		state, err := o.diskClient(addr).Format(ctx, &register.FormatRequest{})
		if err != nil {
			return nil, base.Busy(503, "disk_unreachable", 1, "%s: %v; ask again", addr, base.ToRequestError(err).Message)
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
		set.Disks = append(set.Disks, &register.DiskEntry{Id: state.Id, Addr: addr, Zone: zones[addr], Node: state.Node})
	}
	members := 0
	for _, addr := range addrs {
		state, err := o.diskClient(addr).Describe(ctx, &register.DescribeRequest{})
		if err == nil && len(state.Set.GetDisks()) > 0 {
			members++
		}
	}
	if members == len(addrs) {
		return nil, base.Decline(409, "cluster_exists", "these machines already form cluster %s", set.Cluster)
	}
	for _, entry := range set.Disks {
		ack, err := o.diskClient(entry.Addr).Adopt(ctx, &register.AdoptRequest{Set: set})
		if err != nil || !ack.Ok {
			return nil, base.Busy(503, "disk_unreachable", 1, "%s did not take the cluster identity (%s); ask again", entry.Addr, ack.GetWhy())
		}
	}
	return map[string]any{"cluster": set.Cluster, "disks": len(set.Disks)}, nil
}

// readDiskSet is the recorded set, or the one the disks themselves go by.
func (o *Handler) readDiskSet(ctx *base.Ctx) (*register.DiskSetRecord, error) {
	var record *register.DiskSetRecord
	if err := o.Register.Change(ctx, register.FeedGroup, "disks.get", struct{}{}, &record); err != nil {
		return nil, err
	}
	if record == nil {
		record = &register.DiskSetRecord{Current: o.Server.LookupDiskSet(), Settled: true, SettledShards: register.ShardCount}
	}
	return record, nil
}

// admitDisk takes a blank disk into the set: it is filled first, and then has a
// vote.
func (o *Handler) admitDisk(ctx *base.Ctx, r *front.Request) (any, error) {
	var addr string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"address": base.StringField(&addr, 64)}); err != nil {
		return nil, err
	}
	if addr == "" {
		return nil, base.DeclineField("address", "must be the address of a storage machine")
	}
	record, err := o.readDiskSet(ctx)
	if err != nil {
		return nil, err
	}
	state, err := o.diskClient(addr).Format(ctx, &register.FormatRequest{})
	if err != nil {
		return nil, base.Busy(503, "disk_unreachable", 1, "%s: %v", addr, base.ToRequestError(err).Message)
	}
	if state.Set != nil && (state.Set.Cluster != record.Current.Cluster || state.Retired) {
		return nil, base.Decline(409, "disk_not_blank", "the disk at %s was retired or is another cluster's; empty its folder first", addr)
	}
	zone := ""
	for _, member := range o.View.Known(membership.RoleStorage) {
		if member.Addr == addr {
			zone = member.Zone
		}
	}
	return register.AdmitDisk(ctx, o.Register, record.Current, &register.DiskEntry{Id: state.Id, Addr: addr, Zone: zone, Node: state.Node})
}

func (o *Handler) retireDisk(ctx *base.Ctx, r *front.Request) (any, error) {
	var id string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"disk": base.StringField(&id, 64)}); err != nil {
		return nil, err
	}
	if id == "" {
		return nil, base.DeclineField("disk", "must be a disk's id")
	}
	record, err := o.readDiskSet(ctx)
	if err != nil {
		return nil, err
	}
	return register.RetireDisk(ctx, o.Register, record.Current, id)
}

// retireNode retires a machine by its name.
func (o *Handler) retireNode(ctx *base.Ctx, r *front.Request) (any, error) {
	var node string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"node": base.StringField(&node, 128)}); err != nil {
		return nil, err
	}
	return retirementState(register.RetireNode(ctx, o.Register, node))
}

func retirementState(retirement *register.Retirement, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return map[string]string{"node": retirement.Node, "state": retirement.State()}, nil
}

// DiskView is a disk in the listing.
type DiskView struct {
	ID             string            `json:"id"`
	Addr           string            `json:"addr"`
	Zone           string            `json:"zone"`
	Node           string            `json:"node,omitempty"`
	Voting         bool              `json:"voting"`
	Alive          bool              `json:"alive"`
	UsedBytes      int64             `json:"used_bytes"`
	MissingEntries map[uint32]uint64 `json:"behind,omitempty"`
}

func (o *Handler) listStorage(ctx *base.Ctx) (any, error) {
	record, err := o.readDiskSet(ctx)
	if err != nil {
		return nil, err
	}
	set := record.Current
	if set == nil {
		return nil, base.Busy(503, "no_disks", 1, "no disk set is known; was init run?")
	}
	var mu sync.Mutex
	highest := map[uint32]uint64{}
	states := map[string]*register.DiskState{}
	zones := map[string]string{}
	for _, entry := range set.Disks {
		zones[entry.Addr] = entry.Zone
	}
	for _, member := range o.View.Known(membership.RoleStorage) {
		zones[member.Addr] = member.Zone
	}
	base.CallAll(o.Clock, base.SortedKeys(zones), o.Bounds.Load().DiskTimeout(), func(ctx *base.Ctx, addr string) {
		state, err := o.diskClient(addr).Describe(ctx, &register.DescribeRequest{})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		states[addr] = state
		for slot, seq := range state.Seqs {
			highest[slot] = max(highest[slot], seq)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	views := []DiskView{}
	listed := map[string]bool{}
	for _, entry := range set.Disks {
		view := DiskView{ID: entry.Id, Addr: entry.Addr, Zone: zones[entry.Addr], Node: entry.Node, Voting: !entry.Learner}
		if state := states[entry.Addr]; state != nil && state.Id == entry.Id {
			view.Alive, view.UsedBytes, view.MissingEntries = true, state.UsedBytes, missingEntries(state, highest)
		}
		listed[entry.Id] = true
		views = append(views, view)
	}
	for _, addr := range base.SortedKeys(states) {
		if state := states[addr]; !listed[state.Id] {
			views = append(views, DiskView{ID: state.Id, Addr: addr, Zone: zones[addr], Node: state.Node, Alive: true, UsedBytes: state.UsedBytes})
		}
	}
	return StorageView{Cluster: set.Cluster, Version: set.Stamp, ChangePending: record.ChangePending(), SettledShards: record.SettledShards, TotalShards: register.ShardCount, Disks: views}, nil
}

// StorageView is the listing of the disks.
type StorageView struct {
	Cluster       string     `json:"cluster"`
	Version       uint64     `json:"stamp"`
	ChangePending bool       `json:"change_under_way"`
	SettledShards int        `json:"settled_slots"`
	TotalShards   int        `json:"all_slots"`
	Disks         []DiskView `json:"disks"`
}

func missingEntries(state *register.DiskState, highest map[uint32]uint64) map[uint32]uint64 {
	missing := map[uint32]uint64{}
	for slot, seq := range highest {
		if state.Seqs[slot] < seq {
			missing[slot] = seq - state.Seqs[slot]
		}
	}
	return missing
}
