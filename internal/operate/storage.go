package operate

import (
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/membership"
	"fordseam/internal/register"

	"github.com/go-faster/jx"
)

// diskClient returns a client of the disk at an address.
func (h *Handler) diskClient(addr string) register.Disk {
	return register.NewDiskProtobufClient("http://"+addr, h.HTTPClient)
}

// initCluster forms the cluster. A repeated call after an incomplete one continues
// with the same cluster identity. Once the cluster exists, the call is rejected.
func (h *Handler) initCluster(ctx *base.Ctx, r *front.Request) (any, error) {
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
	set := &register.DiskSet{Stamp: 1, Cluster: base.NewID(h.Clock, "cluster-")}
	zones := map[string]string{}
	for _, member := range h.View.Known(membership.RoleStorage) {
		zones[member.Addr] = member.Zone
	}
	for _, addr := range addrs {
		state, err := h.diskClient(addr).Format(ctx, &register.FormatRequest{})
		if err != nil {
			return nil, base.Busy(503, "disk_unreachable", 1, "storage node %s: %v; run init again", addr, base.ToRequestError(err).Message)
		}
		for _, entry := range set.Disks {
			if entry.Id == state.Id || entry.Addr == addr {
				return nil, base.DeclineField("disks", "%s is listed twice", addr)
			}
		}
		if len(state.Set.GetDisks()) > 0 {
			if state.Set.Stamp > 1 {
				return nil, base.Decline(409, "cluster_exists", "storage node %s already belongs to cluster %s", addr, state.Set.Cluster)
			}
			set.Cluster = state.Set.Cluster
		}
		set.Disks = append(set.Disks, &register.DiskEntry{Id: state.Id, Addr: addr, Zone: zones[addr], Node: state.Node})
	}
	joined := 0
	for _, addr := range addrs {
		state, err := h.diskClient(addr).Describe(ctx, &register.DescribeRequest{})
		if err == nil && len(state.Set.GetDisks()) > 0 {
			joined++
		}
	}
	if joined == len(addrs) {
		return nil, base.Decline(409, "cluster_exists", "these machines already form cluster %s", set.Cluster)
	}
	for _, entry := range set.Disks {
		ack, err := h.diskClient(entry.Addr).Adopt(ctx, &register.AdoptRequest{Set: set})
		if err != nil || !ack.Ok {
			return nil, base.Busy(503, "disk_unreachable", 1, "storage node %s did not accept the cluster identity (%s); run init again", entry.Addr, ack.GetWhy())
		}
	}
	return map[string]any{"cluster": set.Cluster, "disks": len(set.Disks)}, nil
}

// readDiskSet returns the recorded disk set or, if none is recorded, the one that
// the disks report.
func (h *Handler) readDiskSet(ctx *base.Ctx) (*register.DiskSetRecord, error) {
	var record *register.DiskSetRecord
	if err := h.Register.Change(ctx, register.FeedGroup, "disks.get", struct{}{}, &record); err != nil {
		return nil, err
	}
	if record == nil {
		record = &register.DiskSetRecord{Current: h.Server.LookupDiskSet(), Settled: true, SettledShards: register.ShardCount}
	}
	return record, nil
}

// admitDisk adds a blank disk to the set as a learner. It gets a vote once it has
// been filled.
func (h *Handler) admitDisk(ctx *base.Ctx, r *front.Request) (any, error) {
	var addr string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"address": base.StringField(&addr, 64)}); err != nil {
		return nil, err
	}
	if addr == "" {
		return nil, base.DeclineField("address", "must be the address of a storage machine")
	}
	record, err := h.readDiskSet(ctx)
	if err != nil {
		return nil, err
	}
	state, err := h.diskClient(addr).Format(ctx, &register.FormatRequest{})
	if err != nil {
		return nil, base.Busy(503, "disk_unreachable", 1, "storage node %s: %v", addr, base.ToRequestError(err).Message)
	}
	if state.Set != nil && (state.Set.Cluster != record.Current.Cluster || state.Retired) {
		return nil, base.Decline(409, "disk_not_blank", "the disk at %s was retired or belongs to another cluster; empty its data folder first", addr)
	}
	zone := ""
	for _, member := range h.View.Known(membership.RoleStorage) {
		if member.Addr == addr {
			zone = member.Zone
		}
	}
	return register.AdmitDisk(ctx, h.Register, record.Current, &register.DiskEntry{Id: state.Id, Addr: addr, Zone: zone, Node: state.Node})
}

// retireDisk removes a disk from the set.
func (h *Handler) retireDisk(ctx *base.Ctx, r *front.Request) (any, error) {
	var id string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"disk": base.StringField(&id, 64)}); err != nil {
		return nil, err
	}
	if id == "" {
		return nil, base.DeclineField("disk", "must be the id of a disk")
	}
	record, err := h.readDiskSet(ctx)
	if err != nil {
		return nil, err
	}
	return register.RetireDisk(ctx, h.Register, record.Current, id)
}

// retireNode retires all disks of a machine, given its name.
func (h *Handler) retireNode(ctx *base.Ctx, r *front.Request) (any, error) {
	var name string
	if err := base.ReadFields(r.Body, map[string]base.FieldReader{"node": base.StringField(&name, 128)}); err != nil {
		return nil, err
	}
	return retirementState(register.RetireNode(ctx, h.Register, name))
}

// retirementState is the response to starting or querying a retirement.
func retirementState(retirement *register.Retirement, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return map[string]string{"node": retirement.Node, "state": retirement.State()}, nil
}

// DiskView is a disk in the list of disks.
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

// listStorage lists the disks of the set and the disks that are not part of it.
func (h *Handler) listStorage(ctx *base.Ctx) (any, error) {
	record, err := h.readDiskSet(ctx)
	if err != nil {
		return nil, err
	}
	set := record.Current
	if set == nil {
		return nil, base.Busy(503, "no_disks", 1, "no disk set is known; check that init was run")
	}
	var mu sync.Mutex
	highestSeqs := map[uint32]uint64{}
	states := map[string]*register.DiskState{}
	zones := map[string]string{}
	for _, entry := range set.Disks {
		zones[entry.Addr] = entry.Zone
	}
	for _, member := range h.View.Known(membership.RoleStorage) {
		zones[member.Addr] = member.Zone
	}
	base.CallAll(h.Clock, base.SortedKeys(zones), h.Bounds.Load().DiskTimeout(), func(ctx *base.Ctx, addr string) {
		state, err := h.diskClient(addr).Describe(ctx, &register.DescribeRequest{})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		states[addr] = state
		for shard, seq := range state.Seqs {
			highestSeqs[shard] = max(highestSeqs[shard], seq)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	views := []DiskView{}
	listed := map[string]bool{}
	for _, entry := range set.Disks {
		view := DiskView{ID: entry.Id, Addr: entry.Addr, Zone: zones[entry.Addr], Node: entry.Node, Voting: !entry.Learner}
		if state := states[entry.Addr]; state != nil && state.Id == entry.Id {
			view.Alive, view.UsedBytes, view.MissingEntries = true, state.UsedBytes, missingEntries(state, highestSeqs)
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

// StorageView is the list of disks and the progress of a change of the disk set.
type StorageView struct {
	Cluster       string     `json:"cluster"`
	Version       uint64     `json:"stamp"`
	ChangePending bool       `json:"change_under_way"`
	SettledShards int        `json:"settled_slots"`
	TotalShards   int        `json:"all_slots"`
	Disks         []DiskView `json:"disks"`
}

// missingEntries returns by shard how far a disk is behind the newest entry of any
// disk.
func missingEntries(state *register.DiskState, highestSeqs map[uint32]uint64) map[uint32]uint64 {
	missing := map[uint32]uint64{}
	for shard, seq := range highestSeqs {
		if state.Seqs[shard] < seq {
			missing[shard] = seq - state.Seqs[shard]
		}
	}
	return missing
}
